//! How many requests a server can hold at once, learned from its answers; the roster's rating is but the prior.
//!
//! For each number of requests held, a server's mean latency is kept (a curve over levels, fading with age). By
//! Little's law the curve tells throughput: X(n) = n / L(n). The believed limit is where X stops growing; above
//! the levels visited so far nothing is believed, and a probe visits the next one while demand waits. No I/O, no
//! clock, no chance. Weighed against others in `docs/limits-design.md`. Times are in ms.
use crate::interface::Millis;

/// Levels of the curve: 1, 2, 3, then two for each doubling; the last holds all from 1448 requests on.
pub const LEVELS: usize = 21;
/// Greatest limit that is ever believed, requests: a bound on work, whatever answers say.
pub const MOST: f64 = 1024.0;
const LEAST_MS: Millis = 1e-6; // latencies past these bounds are no measurement
const MOST_MS: Millis = 1e7;
const HALF_LIFE: Millis = 2000.0; // of what an answer tells: a neighbour comes and goes within seconds
const FULL_WEIGHT: f64 = 64.0; // answers over which a level's latency is averaged
const SPAN_WEIGHT: f64 = 200.0; // answers over which a span's latency is averaged
const KNOWN: f64 = 5.0; // answers that make a level known
const GLIMPSE: f64 = 2.0; // answers that are enough for the least latency: low levels are passed quickly
const OUTLIER: f64 = 4.0; // times its level's mean to which an answer counts
const FLAT: f64 = 0.9; // part of the best throughput from which on more requests bring nothing worth a wait
const GAIN: f64 = 0.5; // part of a probe's added requests that must turn into throughput
const SURE: f64 = 2.0; // standard errors by which a probe's gain must be past doubt
const ROOM: f64 = 1.15; // requests for each that is worked on: a few more than fit keep a server busy
const SEEN: f64 = 0.67; // part of its slots at which a server's latency must be known, else it is looked at
const LOOKS: Millis = 8000.0; // between such looks
const FLOW: f64 = 8.0; // answers that a probe must be expected to bring
const SPREAD: f64 = 0.5; // of one latency about its mean, where a cut is looked into
const CREST: (f64, f64) = (1.5, 0.9); // latency over its least from which on a cut is considered, and how deep
const CREST_RATED: (f64, f64) = (2.0, 0.65); // the same while the rating stands
const PROBE: (Millis, Millis) = (400.0, 1500.0); // a probe's least and longest span
const SPANS: f64 = 20.0; // latencies that a probe lasts, within those bounds
const JOINED: Millis = 100.0; // by which a joined probe lasts longer, for the word of its end to come
const REST: (Millis, Millis) = (1000.0, 30_000.0); // rest after a failed probe: doubles with each failure
const FEW: f64 = 0.125; // part of the servers tried at once while all ratings may be right
const SETTLE: Millis = 50.0; // in which others hear of a move
const WRONG: (u32, u32) = (4, 12); // probes in vain that one which brought something makes up for, and at most
const FULL_GAIN: f64 = 0.1; // weight of one request in the part that is turned away
const FULL_PART: f64 = 0.3; // part from which on it is no chance, where others send too
const FULL_CUT: f64 = 0.5; // part of the slots that a 'full' takes at once, where all are turned away

/// Why a limit moved last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Nothing learned yet: the roster's rating stands.
    Rating,
    /// A probe is out.
    Probing,
    /// A probe brought throughput.
    Grew,
    /// A probe brought only latency.
    NoGain,
    /// A look at fewer requests found that what is held fits.
    Fits,
    /// A probe ended without telling either way.
    Unclear,
    /// Latency grew as much as what was held.
    Crowded,
    /// The server turned requests away.
    Full,
    /// Another proxy told.
    Told,
}

impl Why {
    /// The reason in words.
    pub fn text(self) -> &'static str {
        match self {
            Why::Rating => "roster's rating, nothing learned",
            Why::Probing => "trying more, as demand waits",
            Why::Grew => "more requests brought more answers",
            Why::NoGain => "more requests brought only longer waits",
            Why::Fits => "fewer requests would bring fewer answers",
            Why::Unclear => "trying more told nothing",
            Why::Crowded => "answers slowed as more were held",
            Why::Full => "it turned requests away",
            Why::Told => "another proxy told",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Level {
    latency: f32,
    weight: f32,
    held: f32,
    at: Millis,
}

impl Level {
    fn weight(&self, now: Millis) -> f64 {
        // Most levels of a server are never met: they cost no power of two.
        if self.weight > 0.0 { f64::from(self.weight) * (-(now - self.at) / HALF_LIFE).exp2() } else { 0.0 }
    }

    fn add(&mut self, now: Millis, held: f64, latency: Millis) {
        let weight = (self.weight(now) + 1.0).min(FULL_WEIGHT);
        let known = f64::from(self.latency);
        let latency = if weight > KNOWN { latency.min(OUTLIER * known) } else { latency };
        self.latency = (known + (latency - known) / weight) as f32;
        self.held += ((held - f64::from(self.held)) / weight) as f32;
        (self.weight, self.at) = (weight as f32, now);
    }
}

/// The level of a number of requests.
fn level(held: f64) -> usize {
    let at = if held < 4.0 { held.max(1.0) as usize - 1 } else { (2.0 * held.log2()) as usize - 1 };
    at.min(LEVELS - 1)
}

/// The least number of requests of a level.
fn edge(level: usize) -> f64 {
    if level < 3 { level as f64 + 1.0 } else { ((level as f64 + 1.0) / 2.0).exp2().ceil() }
}

/// Answers of one span: means of what was held and of latency, and how latency spreads.
#[derive(Clone, Copy, Debug, Default)]
struct Span {
    count: f64,
    held: f64,
    latency: Millis,
    square: f64, // mean squared deviation
}

impl Span {
    fn add(&mut self, held: f64, latency: Millis) {
        self.count = (self.count + 1.0).min(SPAN_WEIGHT);
        let off = latency - self.latency;
        self.held += (held - self.held) / self.count;
        self.latency += off / self.count;
        self.square += (off * (latency - self.latency) - self.square) / self.count;
    }

    /// Squared relative error of the mean latency; no server is taken for steadier than a tenth.
    fn error(&self) -> f64 {
        (self.square / (self.latency * self.latency)).max(0.01) / self.count
    }
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    from: Option<f64>, // the limit before it
    slots: f64,        // what that was in slots
    until: Millis,
    seen: Span,
    own: bool,  // begun here, not told of
    down: bool, // a look at fewer requests
}

/// What is believed of one server. Concurrency counts the requests of all proxies.
#[derive(Clone, Debug)]
pub struct Limit {
    levels: [Level; LEVELS],
    slots: Option<f64>, // none while the rating stands
    usual: Span,        // at the present limit
    probe: Option<Probe>,
    since: Millis, // its last move: answers to requests sent before tell of another limit
    rest: Millis,
    rest_until: Millis,
    look_at: Millis,
    leap: usize,
    turned: f64, // part of what was sent that was turned away
    new: bool,
    why: Why,
}

/// A level as the curve has it: requests held, their latency, answers behind it.
#[derive(Clone, Copy, Debug, Default)]
struct Point {
    held: f64,
    latency: Millis,
    weight: f64,
}

impl Point {
    fn rate(&self) -> f64 {
        self.held / self.latency
    }
}

impl Limit {
    /// Nothing is known.
    pub fn new(now: Millis) -> Self {
        Limit {
            levels: [Level::default(); LEVELS],
            slots: None,
            usual: Span::default(),
            probe: None,
            since: now,
            rest: REST.0,
            rest_until: now,
            look_at: now,
            leap: 1,
            turned: 0.0,
            new: false,
            why: Why::Rating,
        }
    }

    /// Requests that the server should hold, given what the rating says.
    pub fn slots(&self, prior: f64) -> f64 {
        self.slots.unwrap_or(prior)
    }

    /// Whether the rating no longer counts.
    pub fn learned(&self) -> bool {
        self.slots.is_some()
    }

    /// Whether it has just grown here: who found room looks on.
    pub fn growing(&self, now: Millis) -> bool {
        self.why == Why::Grew && now - self.since < REST.0
    }

    /// The limit, if one is learned or tried, and whether it is but tried.
    pub fn known(&self) -> (Option<f64>, bool) {
        (self.slots, self.probe.is_some())
    }

    /// Whether a limit is learned, apart from one that is being tried.
    pub fn proven(&self) -> bool {
        self.probe.map_or(self.slots, |p| p.from).is_some()
    }

    /// Why it moved last.
    pub fn why(&self) -> Why {
        self.why
    }

    fn set(&mut self, now: Millis, slots: Option<f64>, why: Why) {
        self.slots = slots.map(|s| s.clamp(1.0, MOST));
        (self.why, self.since) = (why, now);
    }

    /// An answer came from a server that held `held` requests in the mean, this one among them. `latency` is
    /// told in the terms of a mean request, so that a heavier mix of classes passes for no crowd.
    pub fn answer(&mut self, now: Millis, sent: Millis, held: f64, latency: Millis) {
        if sent >= self.since && (LEAST_MS..MOST_MS).contains(&latency) {
            self.levels[level(held)].add(now, held, latency);
            self.probe.as_mut().map_or(&mut self.usual, |p| &mut p.seen).add(held, latency);
            self.new = true;
            self.turned *= 1.0 - FULL_GAIN;
        }
    }

    /// The server turned a request away while it held `held` others. Returns whether that moved the limit: it is
    /// then no sign of illness. Where `alone` is false other proxies' requests may be there unseen.
    pub fn full(&mut self, now: Millis, sent: Millis, held: f64, alone: bool, prior: f64) -> bool {
        if sent < self.since + if alone { 0.0 } else { SETTLE } {
            return self.learned(); // sent before all had heard of the last move
        }
        let slots = self.slots(prior);
        self.turned += FULL_GAIN * (1.0 - self.turned);
        if !alone && self.turned < FULL_PART {
            return self.learned(); // others came first: no limit is known that well
        }
        let cut = if alone { held.max(1.0) } else { held.max((1.0 - FULL_CUT * self.turned) * slots) };
        // What it has served of late it can hold: others came first.
        let cut = cut.max(self.served(now));
        if cut >= slots || slots <= 1.0 {
            return self.learned() && slots > 1.0;
        }
        self.turned *= 0.5;
        let before = self.probe.take();
        self.fail(now, before.is_some());
        self.usual = Span::default();
        match before {
            // Back to where the probe began; the rating stands where it stood.
            Some(p) if p.slots > cut - 0.5 => self.set(now, p.from, Why::Full),
            _ => self.set(now, Some(cut), Why::Full),
        }
        true
    }

    /// The most requests that the server held of late and answered.
    fn served(&self, now: Millis) -> f64 {
        let known = |l: &&Level| l.weight(now) >= KNOWN;
        self.levels.iter().rev().find(known).map_or(1.0, |l| f64::from(l.held).floor())
    }

    /// Another proxy told its belief: a limit, or that the rating stands. A `trial` is joined for a while only, as
    /// the word of its end may be lost. Returns whether a probe at the rating has ended there, and if
    /// so whether the rating held.
    pub fn told(&mut self, now: Millis, slots: Option<f64>, trial: bool, prior: f64) -> Option<bool> {
        let joined = self.probe.filter(|p| !p.own);
        if trial {
            if self.probe.is_none() {
                let (from, until) = (self.slots, now + PROBE.1 + JOINED);
                let held = self.slots(prior);
                self.probe =
                    Some(Probe { from, slots: held, until, seen: Span::default(), own: false, down: false });
                self.set(now, slots, Why::Told);
            }
            return None;
        }
        if slots.is_some() == self.learned() && (self.slots(prior) - slots.unwrap_or(prior)).abs() < 0.05 {
            self.probe = self.probe.filter(|p| p.own);
            return joined.filter(|p| p.from.is_none()).map(|_| false);
        }
        let vain = joined.is_some_and(|p| slots.unwrap_or(prior) < p.slots + 0.5);
        if vain {
            self.fail(now, true); // all rest from it
        }
        (self.probe, self.usual) = (None, Span::default());
        self.set(now, slots, Why::Told);
        joined.filter(|p| p.from.is_none()).map(|_| vain)
    }

    fn fail(&mut self, now: Millis, probed: bool) {
        self.leap = 1;
        if probed {
            self.rest_until = now + self.rest;
            self.rest = (2.0 * self.rest).min(REST.1);
        } else {
            self.rest_until = self.rest_until.max(now + REST.0);
        }
    }

    /// The levels that are known, latencies made to rise with what is held (pooled adjacent violators).
    fn curve(&self, now: Millis) -> ([Point; LEVELS], usize) {
        let mut points = [Point::default(); LEVELS];
        let mut n = 0;
        for l in &self.levels {
            let weight = l.weight(now);
            if weight >= if n == 0 { GLIMPSE } else { KNOWN } {
                let (held, latency) = (f64::from(l.held), f64::from(l.latency));
                points[n] = Point { held, latency, weight };
                n += 1;
            }
        }
        pool(&mut points[..n]);
        (points, n)
    }

    /// Looks the limit over. `probe`: demand waits, every server is full, and this proxy may probe this
    /// one; `look`: it may be tried with fewer instead, where their cost is not known. Returns why it moved, if it did.
    pub fn review(&mut self, now: Millis, prior: f64, probe: bool, look: bool) -> Option<Why> {
        if !std::mem::take(&mut self.new) && !probe && !self.overdue(now) {
            return None;
        }
        match self.probe {
            Some(probe) if probe.own && probe.down => return self.looked(now, prior, probe),
            Some(probe) if probe.own => return self.judge(now, probe),
            Some(probe) if probe.until <= now => {
                self.probe = None; // nobody said how it ended
                self.set(now, probe.from, Why::Unclear);
                return None;
            }
            Some(_) => return None,
            None => {}
        }
        let (points, n) = self.curve(now);
        let cut = self.cut(now, prior, &points[..n]);
        cut.or_else(|| if probe { self.begin(now, prior, look, &points[..n]) } else { None })
    }

    fn overdue(&self, now: Millis) -> bool {
        self.probe.is_some_and(|p| p.until <= now)
    }

    /// Whether a probe has brought what it must. Little evidence ends it, much is asked for to believe it: what
    /// others hold is known roughly, and a server that slows under more must not keep them.
    fn judge(&mut self, now: Millis, probe: Probe) -> Option<Why> {
        let (old, new) = (self.usual, probe.seen);
        let more = new.held / old.held;
        let dearer = new.latency / old.latency;
        let known = new.count >= KNOWN && more > 1.1;
        // Throughput is n / L: a part of what was added must show in it.
        let bound = more / (1.0 + GAIN * (more - 1.0));
        let error = (old.error() + new.error()).sqrt();
        let grew = known && dearer.ln() + SURE * error < bound.ln();
        let vain = known && dearer.ln() > bound.ln() + error;
        if !grew && !vain && !self.overdue(now) {
            return None;
        }
        self.probe = None;
        if grew {
            (self.leap, self.rest, self.rest_until, self.usual) = (2, REST.0, now, new);
            self.set(now, self.slots, Why::Grew);
        } else {
            self.fail(now, vain);
            self.set(now, probe.from, if vain { Why::NoGain } else { Why::Unclear });
        }
        Some(self.why)
    }

    /// Takes slots away that bring only latency. A rating is believed until it is off by far.
    fn cut(&mut self, now: Millis, prior: f64, curve: &[Point]) -> Option<Why> {
        let slots = self.slots(prior);
        let (low, top) = (curve.first()?, curve.last()?);
        let (crest, part) = if self.learned() { CREST } else { CREST_RATED };
        let doubt = |p: &Point| SPREAD / p.weight.sqrt();
        if top.latency * (1.0 - doubt(top)) < crest * low.latency * (1.0 + doubt(low)) {
            return None;
        }
        let best = curve.iter().map(Point::rate).fold(0.0, f64::max);
        let knee = curve.iter().position(|p| p.rate() >= FLAT * best).unwrap_or(curve.len() - 1);
        let (below, knee) = (curve[knee.saturating_sub(1)].held, curve[knee].held);
        let least = if knee > 2.0 * below { below } else { knee }; // between far levels nothing is known
        let fits = (ROOM * best * low.latency).clamp(least.min(top.held), top.held);
        if fits > part * slots || fits > slots - 0.5 {
            return None;
        }
        self.fail(now, false);
        self.usual = Span::default();
        self.set(now, Some(fits), Why::Crowded);
        Some(self.why)
    }

    /// Begins a probe of the next level, if the present one is known.
    fn begin(&mut self, now: Millis, prior: f64, look: bool, curve: &[Point]) -> Option<Why> {
        let (slots, usual) = (self.slots(prior), self.usual);
        let answers: f64 = self.levels.iter().map(|l| l.weight(now)).sum();
        // Faded answers over the span that they fade over, or since the last move: with too few a probe would end
        // without telling.
        let span = (now - self.since).clamp(1.0, HALF_LIFE / std::f64::consts::LN_2);
        let enough =
            usual.count >= KNOWN && answers.max(usual.count.min(2.0 * KNOWN)) / span * PROBE.1 >= FLOW;
        if now < self.rest_until || !enough || usual.held < 0.7 * slots.floor() {
            return None;
        }
        let unseen = curve.first().is_none_or(|p| p.held > SEEN * slots);
        let down = unseen && slots >= 2.0 && now >= self.look_at && look;
        let to = if down {
            self.look_at = now + LOOKS;
            // Deep enough that twice the latency would show, which a rating has to be off by.
            edge(level(slots).saturating_sub(if self.learned() { 2 } else { 4 }))
        } else {
            edge(level(slots.max(usual.held)) + self.leap).max(slots + 1.0).min(MOST)
        };
        let span = (SPANS * usual.latency).clamp(PROBE.0, PROBE.1);
        let (until, seen) = (now + span, Span::default());
        self.probe = Some(Probe { from: self.slots, slots, until, seen, own: true, down });
        self.set(now, Some(to), Why::Probing);
        Some(self.why)
    }

    /// Ends a look at fewer requests: the curve knows now what they would cost, and a cut may follow.
    fn looked(&mut self, now: Millis, prior: f64, probe: Probe) -> Option<Why> {
        if probe.seen.count < 2.0 * KNOWN && !self.overdue(now) {
            return None;
        }
        self.probe = None;
        self.set(now, probe.from, Why::Fits);
        let (points, n) = self.curve(now);
        let cut = self.cut(now, prior, &points[..n]);
        if cut.is_some() {
            (self.look_at, self.rest_until) = (now, now); // there may be more to take away
        }
        cut.or(Some(Why::Fits))
    }
}

/// Pools neighbours whose latencies fall though more is held: chance, as a server gets no faster by holding more.
fn pool(points: &mut [Point]) {
    for end in 1..points.len() {
        let mut start = end;
        while start > 0 && points[start - 1].latency > points[start].latency {
            let from = points[..start].iter().rposition(|p| p.latency != points[start - 1].latency);
            start = from.map_or(0, |i| i + 1);
            let block = &mut points[start..=end];
            let weight: f64 = block.iter().map(|p| p.weight).sum();
            let mean = block.iter().map(|p| p.weight * p.latency).sum::<f64>() / weight;
            block.iter_mut().for_each(|p| p.latency = mean);
        }
    }
}

/// Whether the ratings of a kind of servers prove right: a probe in vain lets all of them rest, longer each time,
/// unless probes have brought something of late.
#[derive(Clone, Copy, Debug)]
pub struct Ratings {
    rest: Millis,
    until: Millis,
    wrong: u32, // probes in vain that are passed over
}

impl Default for Ratings {
    fn default() -> Self {
        Ratings { rest: REST.0, until: 0.0, wrong: 0 }
    }
}

impl Ratings {
    /// A probe at the rating was in vain.
    pub fn held(&mut self, now: Millis) {
        if self.wrong > 0 {
            self.wrong -= 1;
        } else if now >= self.until {
            (self.until, self.rest) = (now + self.rest, (2.0 * self.rest).min(REST.1));
        }
    }

    /// A probe at the rating brought something.
    pub fn failed(&mut self) {
        let wrong = (self.wrong + WRONG.0).min(WRONG.1);
        *self = Ratings { wrong, ..Ratings::default() };
    }

    /// Whether a server of which nothing is learned may be tried, given a draw in [0, 1).
    pub fn may_try(&self, now: Millis, draw: f64) -> bool {
        now >= self.until && (self.wrong > 0 || draw < FEW)
    }
}
