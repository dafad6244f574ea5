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
const HALF_LIFE: Millis = 2000.0; // of what an answer tells: a neighbour comes and goes within seconds
const FULL_WEIGHT: f64 = 64.0; // answers over which a level's latency is averaged
const KNOWN: f64 = 5.0; // answers that make a level known
const GLIMPSE: f64 = 2.0; // answers that are enough for the least latency: low levels are passed quickly
const OUTLIER: f64 = 4.0; // times its level's mean to which an answer counts
const FLAT: f64 = 0.9; // part of the best throughput from which on more requests bring nothing worth a wait
const GAIN: f64 = 0.4; // part of a probe's added requests that must turn into throughput
const ROOM: f64 = 1.15; // requests for each that is worked on: a few more than fit keep a server busy
const CREST: f64 = 1.5; // latency over its least from which on a cut below the visited levels is looked into
const PROBE: (Millis, Millis) = (60.0, 1500.0); // a probe's least and longest span
const SPANS: f64 = 6.0; // latencies that a probe lasts, within those bounds
const REST: (Millis, Millis) = (500.0, 16_000.0); // rest after a failed probe: doubles with each failure
const FULL_CUT: f64 = 0.75; // to which a 'full' cuts at once where others' requests are not all known

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
        f64::from(self.weight) * (-(now - self.at) / HALF_LIFE).exp2()
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

#[derive(Clone, Copy, Debug)]
struct Probe {
    from: f64,
    until: Millis,
}

/// What is believed of one server. Concurrency counts the requests of all proxies.
#[derive(Clone, Debug)]
pub struct Limit {
    levels: [Level; LEVELS],
    slots: f64,
    learned: bool,
    probe: Option<Probe>,
    since: Millis, // answers to requests sent before this tell of another limit
    rest: Millis,
    rest_until: Millis,
    leap: usize,
    new: bool,
    why: Why,
    moved: Millis,
}

/// A level as the curve has it: requests held, their latency, answers behind it.
#[derive(Clone, Copy, Debug, Default)]
struct Point {
    level: usize,
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
            slots: 1.0,
            learned: false,
            probe: None,
            since: now,
            rest: REST.0,
            rest_until: now,
            leap: 1,
            new: false,
            why: Why::Rating,
            moved: now,
        }
    }

    /// Requests that the server should hold, given what the rating says.
    pub fn slots(&self, prior: f64) -> f64 {
        if self.learned { self.slots } else { prior }
    }

    /// Whether the rating no longer counts.
    pub fn learned(&self) -> bool {
        self.learned
    }

    /// Why it moved last, and when.
    pub fn why(&self) -> (Why, Millis) {
        (self.why, self.moved)
    }

    /// A new process has taken the server's place: what it holds is believed, what slows it now is not.
    pub fn restart(&mut self, now: Millis) {
        self.levels = [Level::default(); LEVELS];
        (self.probe, self.since) = (None, now);
    }

    fn set(&mut self, now: Millis, slots: f64, why: Why) {
        (self.slots, self.learned, self.why, self.moved) = (slots.clamp(1.0, MOST), true, why, now);
    }

    /// An answer came from a server that held `held` requests in the mean, this one among them. `latency` is
    /// told in the terms of a mean request, so that a heavier mix of classes passes for no crowd.
    pub fn answer(&mut self, now: Millis, sent: Millis, held: f64, latency: Millis) {
        if sent >= self.since && latency.is_finite() && latency > 0.0 {
            self.levels[level(held)].add(now, held, latency);
            self.new = true;
        }
    }

    /// The server turned a request away while it held `held` others. Returns whether that moved the limit: it is
    /// then no sign of illness. Where `alone` is false other proxies' requests may be there unseen.
    pub fn full(&mut self, now: Millis, sent: Millis, held: f64, alone: bool, prior: f64) -> bool {
        if sent < self.since {
            return self.learned; // sent before the last cut
        }
        let slots = self.slots(prior);
        let cut = if alone { held.max(1.0) } else { held.max(FULL_CUT * slots) };
        if cut >= slots || slots <= 1.0 {
            return false;
        }
        let before = self.probe.take().map(|p| p.from);
        self.fail(now, before.is_some());
        self.since = now;
        self.set(now, cut.max(before.unwrap_or(0.0).min(slots)), Why::Full);
        true
    }

    /// Another proxy told its belief.
    pub fn told(&mut self, now: Millis, slots: f64) {
        if (slots - self.slots).abs() > 0.05 || !self.learned {
            (self.probe, self.since) = (None, now);
            self.set(now, slots, Why::Told);
        }
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
        for (at, l) in self.levels.iter().enumerate() {
            let weight = if l.weight > 0.0 { l.weight(now) } else { 0.0 };
            if weight >= if n == 0 { GLIMPSE } else { KNOWN } {
                let (held, latency) = (f64::from(l.held), f64::from(l.latency));
                points[n] = Point { level: at, held, latency, weight };
                n += 1;
            }
        }
        pool(&mut points[..n]);
        (points, n)
    }

    /// Looks the limit over. `pressed`: demand waits while every server is full; `turn`: this proxy may probe
    /// this server now. Returns whether it moved.
    pub fn review(&mut self, now: Millis, prior: f64, pressed: bool, turn: bool) -> bool {
        if !std::mem::take(&mut self.new) && !(pressed && turn && self.probe.is_none()) && !self.overdue(now) {
            return false;
        }
        let (points, n) = self.curve(now);
        let curve = &points[..n];
        if let Some(probe) = self.probe {
            return self.judge(now, probe, curve);
        }
        if self.cut(now, prior, curve) {
            return true;
        }
        pressed && turn && self.begin(now, prior, curve)
    }

    fn overdue(&self, now: Millis) -> bool {
        self.probe.is_some_and(|p| p.until <= now)
    }

    /// Whether a probe has brought what it must.
    fn judge(&mut self, now: Millis, probe: Probe, curve: &[Point]) -> bool {
        let old = curve.iter().rev().find(|p| p.held < probe.from + 0.5);
        let new = curve.iter().rev().find(|p| p.held > probe.from + 0.5 && p.held > 1.1 * probe.from);
        let (Some(old), Some(new)) = (old, new) else {
            if self.overdue(now) {
                // Nobody came: nothing is learned.
                self.probe = None;
                self.rest_until = now + REST.0;
                self.set(now, probe.from, Why::NoGain);
                return true;
            }
            return false;
        };
        self.probe = None;
        self.since = now;
        let gained = new.rate() / old.rate() - 1.0;
        if gained >= GAIN * (new.held / old.held - 1.0) {
            (self.leap, self.rest, self.rest_until) = (2, REST.0, now);
            self.set(now, self.slots, Why::Grew);
        } else {
            self.fail(now, true);
            self.set(now, probe.from, Why::NoGain);
        }
        true
    }

    /// Takes slots away that bring only latency.
    fn cut(&mut self, now: Millis, prior: f64, curve: &[Point]) -> bool {
        let slots = self.slots(prior);
        let (Some(low), Some(top)) = (curve.first(), curve.last()) else { return false };
        if top.weight < KNOWN || top.latency < CREST * low.latency {
            return false;
        }
        let best = curve.iter().map(Point::rate).fold(0.0, f64::max);
        let knee = curve.iter().find(|p| p.rate() >= FLAT * best).unwrap_or(top);
        let fits = (ROOM * best * low.latency).clamp(knee.held.min(top.held), top.held);
        if fits > 0.9 * slots || fits > slots - 0.5 {
            return false;
        }
        self.fail(now, false);
        self.since = now;
        self.set(now, fits, Why::Crowded);
        true
    }

    /// Begins a probe of the next level, if the present one is known.
    fn begin(&mut self, now: Millis, prior: f64, curve: &[Point]) -> bool {
        let slots = self.slots(prior);
        let here = curve.iter().rev().find(|p| p.held < slots + 0.5);
        let Some(here) = here.filter(|p| now >= self.rest_until && p.held >= 0.7 * slots.floor()) else {
            return false;
        };
        let to = edge(level(slots) + self.leap).max(slots + 1.0).min(MOST);
        let span = (SPANS * here.latency).clamp(PROBE.0, PROBE.1);
        self.probe = Some(Probe { from: slots, until: now + span });
        self.since = now;
        self.set(now, to, Why::Probing);
        true
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

/// Whether it is a proxy's turn, by a draw that all proxies make alike from a seed.
pub(crate) fn turn(seed: u64, me: u32, proxies: u32) -> bool {
    let score = |i: u32| crate::state::draw(seed, u64::from(i));
    (0..proxies).all(|i| i == me || score(i) < score(me))
}
