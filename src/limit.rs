//! The number of requests that a server can hold at once, learned from its answers; the listed rating is only a prior.
//!
//! A server's mean latency is kept for each number of requests held (a curve over levels, fading with age). By
//! Little's law the curve gives the throughput: X(n) = n / L(n). The estimated limit is where X stops growing. Nothing
//! is assumed above the levels visited so far; a probe visits the next one while demand waits. The code uses no I/O, no
//! clock and no randomness. `docs/limits-design.md` compares it with alternatives. Times are in ms.
use crate::interface::Millis;

/// Levels of the curve: 1, 2, 3, then two for each doubling; the last holds all from 1448 requests on.
pub const LEVELS: usize = 21;
/// Greatest limit, in requests: bounds the work whatever the answers suggest.
pub const MAX_LIMIT: f64 = 1024.0;
/// Lower bound of latencies that count as measurements, in ms.
const MIN_LATENCY_MS: Millis = 1e-6;
/// Upper bound of latencies that count as measurements, in ms.
const MAX_LATENCY_MS: Millis = 1e7;
/// Half-life of an answer's weight, in ms: interference by neighbours comes and goes within seconds.
const HALF_LIFE_MS: Millis = 2000.0;
/// Answers over which a level's latency is averaged.
const LEVEL_MAX_ANSWERS: f64 = 64.0;
/// Answers over which the latency since the last change of the limit is averaged.
const PERIOD_MAX_ANSWERS: f64 = 200.0;
/// Answers from which on a level counts as known.
const MIN_ANSWERS: f64 = 5.0;
/// Answers from which on the lowest level counts as known: low levels are passed through quickly.
const LOWEST_LEVEL_MIN_ANSWERS: f64 = 2.0;
/// Cap on an answer's latency in its level's mean, as a multiple of that mean.
const LEVEL_OUTLIER_FACTOR: f64 = 4.0;
/// Fraction of the best throughput from which on more requests do not gain enough for the longer wait.
const FLAT_THROUGHPUT: f64 = 0.9;
/// Fraction of a probe's added requests that must turn into throughput.
const PROBE_MIN_GAIN: f64 = 0.5;
/// Confidence required for a probe's gain, in standard errors.
const GAIN_CONFIDENCE: f64 = 2.0;
/// Requests held per request worked on: a few more than fit keep a server busy.
const HELD_PER_ACTIVE: f64 = 1.15;
/// Fraction of its slots at or below which a server's latency has to be known; otherwise a reduction is tried.
const KNOWN_LOAD_FRACTION: f64 = 0.67;
/// Interval between such reductions, in ms.
const REDUCTION_INTERVAL_MS: Millis = 8000.0;
/// Answers that a probe must be expected to bring.
const PROBE_MIN_ANSWERS: f64 = 8.0;
/// Assumed relative spread of a single latency when a cut is considered.
const LATENCY_DEVIATION: f64 = 0.5;
/// Ratio of the highest level's latency to the lowest level's from which on a cut is considered, and the largest
/// fraction of the slots to which it may cut.
const CUT_BOUNDS: (f64, f64) = (1.5, 0.9);
/// The same while the rating applies.
const CUT_BOUNDS_RATED: (f64, f64) = (2.0, 0.65);
/// Shortest and longest duration of a probe, in ms.
const PROBE_MS: (Millis, Millis) = (400.0, 1500.0);
/// Duration of a probe in latencies, within those bounds.
const PROBE_LATENCIES: f64 = 20.0;
/// Additional duration of a probe joined from a peer, in ms, so that the message of its end can arrive.
const JOINED_EXTRA_MS: Millis = 100.0;
/// First and longest pause after a failed probe, in ms: doubles with each failure.
const REST_MS: (Millis, Millis) = (1000.0, 30_000.0);
/// Fraction of the servers probed at once while all ratings may be accurate.
const PROBED_FRACTION: f64 = 0.125;
/// Time in which peers learn of a change of the limit, in ms.
const PROPAGATION_MS: Millis = 50.0;
/// Failed probes that one successful probe offsets, and the maximum that can accumulate.
const IGNORED_FAILURES: (u32, u32) = (4, 12);
/// Weight of one request in the fraction of requests rejected.
const REJECTION_GAIN: f64 = 0.1;
/// Fraction of requests rejected from which on rejections are not due to chance, where other proxies send too.
const REJECTION_THRESHOLD: f64 = 0.3;
/// Fraction of the slots that one rejection removes when all requests are rejected.
const REJECTION_CUT: f64 = 0.5;

/// Reason for the last change of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeReason {
    /// Nothing learned yet: the listed rating applies.
    Rating,
    /// A probe is running.
    Probing,
    /// A probe increased throughput.
    Grew,
    /// A probe increased latency only.
    NoGain,
    /// A trial with fewer requests showed that the present number fits.
    Fits,
    /// A probe ended without a conclusive result.
    Unclear,
    /// Latency grew as much as the number of requests held.
    Crowded,
    /// The server rejected requests.
    Full,
    /// Reported by another proxy.
    Told,
}

impl ChangeReason {
    /// The reason in words.
    pub fn text(self) -> &'static str {
        match self {
            ChangeReason::Rating => "roster's rating, nothing learned",
            ChangeReason::Probing => "trying more, as demand waits",
            ChangeReason::Grew => "more requests brought more answers",
            ChangeReason::NoGain => "more requests brought only longer waits",
            ChangeReason::Fits => "fewer requests would bring fewer answers",
            ChangeReason::Unclear => "trying more told nothing",
            ChangeReason::Crowded => "answers slowed as more were held",
            ChangeReason::Full => "it turned requests away",
            ChangeReason::Told => "another proxy told",
        }
    }
}

/// Fading mean latency for one range of requests held.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    latency: f32,
    weight: f32,
    held: f32,
    at: Millis,
}

impl Level {
    fn weight(&self, now: Millis) -> f64 {
        // Most levels of a server are never reached; for those the power is not computed.
        if self.weight > 0.0 {
            f64::from(self.weight) * (-(now - self.at) / HALF_LIFE_MS).exp2()
        } else {
            0.0
        }
    }

    fn add(&mut self, now: Millis, held: f64, latency: Millis) {
        let weight = (self.weight(now) + 1.0).min(LEVEL_MAX_ANSWERS);
        let known = f64::from(self.latency);
        let latency = if weight > MIN_ANSWERS { latency.min(LEVEL_OUTLIER_FACTOR * known) } else { latency };
        self.latency = (known + (latency - known) / weight) as f32;
        self.held += ((held - f64::from(self.held)) / weight) as f32;
        (self.weight, self.at) = (weight as f32, now);
    }
}

/// The level that contains a number of requests.
fn level_of(held: f64) -> usize {
    let at = if held < 4.0 { held.max(1.0) as usize - 1 } else { (2.0 * held.log2()) as usize - 1 };
    at.min(LEVELS - 1)
}

/// The smallest number of requests in a level.
fn level_start(level: usize) -> f64 {
    if level < 3 { level as f64 + 1.0 } else { ((level as f64 + 1.0) / 2.0).exp2().ceil() }
}

/// Statistics of the answers in one period: mean requests held, mean latency, and its variance.
#[derive(Clone, Copy, Debug, Default)]
struct PeriodStats {
    count: f64,
    held: f64,
    latency: Millis,
    square: f64, // mean squared deviation
}

impl PeriodStats {
    fn add(&mut self, held: f64, latency: Millis) {
        self.count = (self.count + 1.0).min(PERIOD_MAX_ANSWERS);
        let deviation = latency - self.latency;
        self.held += (held - self.held) / self.count;
        self.latency += deviation / self.count;
        self.square += (deviation * (latency - self.latency) - self.square) / self.count;
    }

    /// Squared relative error of the mean latency; the relative deviation is taken as at least a tenth.
    fn error(&self) -> f64 {
        (self.square / (self.latency * self.latency)).max(0.01) / self.count
    }
}

/// A running trial of another limit.
#[derive(Clone, Copy, Debug)]
struct Probe {
    from: Option<f64>, // the learned limit before it
    slots: f64,        // the slots before it
    until: Millis,
    seen: PeriodStats,
    own: bool,     // begun by this proxy, not joined from a peer
    reduces: bool, // a trial with fewer requests
}

/// The learned limit of one server. Concurrency counts the requests of all proxies.
#[derive(Clone, Debug)]
pub struct Limit {
    levels: [Level; LEVELS],
    slots: Option<f64>,   // `None` while the rating applies
    current: PeriodStats, // answers at the present limit
    probe: Option<Probe>,
    changed_at: Millis, // last change of the limit: answers to earlier requests belong to another limit
    pause_ms: Millis,   // length of the next pause after a failed probe
    pause_until: Millis,
    reduction_at: Millis,   // earliest time of the next trial with fewer requests
    probe_step: usize,      // levels by which the next probe goes up
    rejected_fraction: f64, // moving average of the fraction of requests rejected
    has_new_answers: bool,  // answers have arrived since the last review
    why: ChangeReason,
}

/// A point of the curve: requests held, their latency, and its weight in answers.
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
    /// Creates a limit of which nothing is known.
    pub fn new(now: Millis) -> Self {
        Limit {
            levels: [Level::default(); LEVELS],
            slots: None,
            current: PeriodStats::default(),
            probe: None,
            changed_at: now,
            pause_ms: REST_MS.0,
            pause_until: now,
            reduction_at: now,
            probe_step: 1,
            rejected_fraction: 0.0,
            has_new_answers: false,
            why: ChangeReason::Rating,
        }
    }

    /// Requests that the server should hold; `prior` is the number according to the rating.
    pub fn slots(&self, prior: f64) -> f64 {
        self.slots.unwrap_or(prior)
    }

    /// Whether a limit has replaced the rating.
    pub fn learned(&self) -> bool {
        self.slots.is_some()
    }

    /// Whether a probe has just raised it. A proxy that found spare capacity goes on probing.
    pub fn growing(&self, now: Millis) -> bool {
        self.why == ChangeReason::Grew && now - self.changed_at < REST_MS.0
    }

    /// The limit, if one is learned or being probed, and whether it is only being probed.
    pub fn known(&self) -> (Option<f64>, bool) {
        (self.slots, self.probe.is_some())
    }

    /// Whether a limit is learned, not counting one that is being probed.
    pub fn proven(&self) -> bool {
        self.probe.map_or(self.slots, |p| p.from).is_some()
    }

    /// Reason for the last change.
    pub fn why(&self) -> ChangeReason {
        self.why
    }

    fn set(&mut self, now: Millis, slots: Option<f64>, why: ChangeReason) {
        self.slots = slots.map(|s| s.clamp(1.0, MAX_LIMIT));
        (self.why, self.changed_at) = (why, now);
    }

    /// Records an answer from a server that held `held` requests on average, including this one. `latency` is scaled
    /// to a mean request, so that a heavier mix of classes does not look like congestion.
    pub fn answer(&mut self, now: Millis, sent: Millis, held: f64, latency: Millis) {
        if sent >= self.changed_at && (MIN_LATENCY_MS..MAX_LATENCY_MS).contains(&latency) {
            self.levels[level_of(held)].add(now, held, latency);
            self.probe.as_mut().map_or(&mut self.current, |p| &mut p.seen).add(held, latency);
            self.has_new_answers = true;
            self.rejected_fraction *= 1.0 - REJECTION_GAIN;
        }
    }

    /// Records that the server rejected a request while it held `held` others. Returns whether the limit explains the
    /// rejection, which then does not count as a failure. If `alone` is false, the server may hold requests of
    /// other proxies that this one does not know of.
    pub fn full(&mut self, now: Millis, sent: Millis, held: f64, alone: bool, prior: f64) -> bool {
        if sent < self.changed_at + if alone { 0.0 } else { PROPAGATION_MS } {
            return self.learned(); // sent before all proxies knew of the last change
        }
        let slots = self.slots(prior);
        self.rejected_fraction += REJECTION_GAIN * (1.0 - self.rejected_fraction);
        if !alone && self.rejected_fraction < REJECTION_THRESHOLD {
            return self.learned(); // others may have come first: the requests held are not known that exactly
        }
        let cut = if alone {
            held.max(1.0)
        } else {
            held.max((1.0 - REJECTION_CUT * self.rejected_fraction) * slots)
        };
        // It can hold what it has recently served; the rejection was due to requests of others.
        let cut = cut.max(self.recently_served(now));
        if cut >= slots || slots <= 1.0 {
            return self.learned() && slots > 1.0;
        }
        self.rejected_fraction *= 0.5;
        let before = self.probe.take();
        self.pause_probes(now, before.is_some());
        self.current = PeriodStats::default();
        match before {
            // Back to the limit before the probe; the rating applies again if it did then.
            Some(p) if p.slots > cut - 0.5 => self.set(now, p.from, ChangeReason::Full),
            _ => self.set(now, Some(cut), ChangeReason::Full),
        }
        true
    }

    /// The largest number of requests that the server has recently held and answered.
    fn recently_served(&self, now: Millis) -> f64 {
        let known = |l: &&Level| l.weight(now) >= MIN_ANSWERS;
        self.levels.iter().rev().find(known).map_or(1.0, |l| f64::from(l.held).floor())
    }

    /// Applies a report of another proxy: a limit, or that the rating applies. A `trial` is joined for a limited
    /// time, as the message of its end may be lost. If a probe at the rating has ended there, returns whether the
    /// rating held.
    pub fn told(&mut self, now: Millis, slots: Option<f64>, trial: bool, prior: f64) -> Option<bool> {
        let joined = self.probe.filter(|p| !p.own);
        if trial {
            if self.probe.is_none() {
                let (from, until) = (self.slots, now + PROBE_MS.1 + JOINED_EXTRA_MS);
                let held = self.slots(prior);
                self.probe = Some(Probe {
                    from,
                    slots: held,
                    until,
                    seen: PeriodStats::default(),
                    own: false,
                    reduces: false,
                });
                self.set(now, slots, ChangeReason::Told);
            }
            return None;
        }
        if slots.is_some() == self.learned() && (self.slots(prior) - slots.unwrap_or(prior)).abs() < 0.05 {
            self.probe = self.probe.filter(|p| p.own);
            return joined.filter(|p| p.from.is_none()).map(|_| false);
        }
        let no_gain = joined.is_some_and(|p| slots.unwrap_or(prior) < p.slots + 0.5);
        if no_gain {
            self.pause_probes(now, true); // all proxies pause after it
        }
        (self.probe, self.current) = (None, PeriodStats::default());
        self.set(now, slots, ChangeReason::Told);
        joined.filter(|p| p.from.is_none()).map(|_| no_gain)
    }

    fn pause_probes(&mut self, now: Millis, probed: bool) {
        self.probe_step = 1;
        if probed {
            self.pause_until = now + self.pause_ms;
            self.pause_ms = (2.0 * self.pause_ms).min(REST_MS.1);
        } else {
            self.pause_until = self.pause_until.max(now + REST_MS.0);
        }
    }

    /// The known levels, with latencies made monotonic in the requests held (pool adjacent violators).
    fn curve(&self, now: Millis) -> ([Point; LEVELS], usize) {
        let mut points = [Point::default(); LEVELS];
        let mut n = 0;
        for l in &self.levels {
            let weight = l.weight(now);
            if weight >= if n == 0 { LOWEST_LEVEL_MIN_ANSWERS } else { MIN_ANSWERS } {
                let (held, latency) = (f64::from(l.held), f64::from(l.latency));
                points[n] = Point { held, latency, weight };
                n += 1;
            }
        }
        pool_violators(&mut points[..n]);
        (points, n)
    }

    /// Reviews the limit. `probe`: demand waits, every server is full, and this proxy may probe this one; `may_reduce`:
    /// a trial with fewer requests is allowed if their latency is unknown. Returns the reason if the limit changed.
    pub fn review(&mut self, now: Millis, prior: f64, probe: bool, may_reduce: bool) -> Option<ChangeReason> {
        if !std::mem::take(&mut self.has_new_answers) && !probe && !self.overdue(now) {
            return None;
        }
        match self.probe {
            Some(probe) if probe.own && probe.reduces => return self.finish_reduction(now, prior, probe),
            Some(probe) if probe.own => return self.finish_probe(now, probe),
            Some(probe) if probe.until <= now => {
                self.probe = None; // the message of its end was lost
                self.set(now, probe.from, ChangeReason::Unclear);
                return None;
            }
            Some(_) => return None,
            None => {}
        }
        let (points, n) = self.curve(now);
        let cut = self.cut(now, prior, &points[..n]);
        cut.or_else(|| if probe { self.begin_probe(now, prior, may_reduce, &points[..n]) } else { None })
    }

    fn overdue(&self, now: Millis) -> bool {
        self.probe.is_some_and(|p| p.until <= now)
    }

    /// Evaluates a probe. Weak evidence is enough to abandon it, strong evidence is required to accept it, because the
    /// requests of other proxies are known only roughly and a server that slows down must not keep the added ones.
    fn finish_probe(&mut self, now: Millis, probe: Probe) -> Option<ChangeReason> {
        let (old, new) = (self.current, probe.seen);
        let held_ratio = new.held / old.held;
        let latency_ratio = new.latency / old.latency;
        let known = new.count >= MIN_ANSWERS && held_ratio > 1.1;
        // Throughput is n / L: a fraction of the added requests must show in it.
        let bound = held_ratio / (1.0 + PROBE_MIN_GAIN * (held_ratio - 1.0));
        let error = (old.error() + new.error()).sqrt();
        let gained = known && latency_ratio.ln() + GAIN_CONFIDENCE * error < bound.ln();
        let no_gain = known && latency_ratio.ln() > bound.ln() + error;
        if !gained && !no_gain && !self.overdue(now) {
            return None;
        }
        self.probe = None;
        if gained {
            (self.probe_step, self.pause_ms, self.pause_until, self.current) = (2, REST_MS.0, now, new);
            self.set(now, self.slots, ChangeReason::Grew);
        } else {
            self.pause_probes(now, no_gain);
            self.set(now, probe.from, if no_gain { ChangeReason::NoGain } else { ChangeReason::Unclear });
        }
        Some(self.why)
    }

    /// Removes slots that only add latency. A rating is kept until it is far off.
    fn cut(&mut self, now: Millis, prior: f64, curve: &[Point]) -> Option<ChangeReason> {
        let slots = self.slots(prior);
        let (low, top) = (curve.first()?, curve.last()?);
        let (cut_ratio, part) = if self.learned() { CUT_BOUNDS } else { CUT_BOUNDS_RATED };
        let doubt = |p: &Point| LATENCY_DEVIATION / p.weight.sqrt();
        if top.latency * (1.0 - doubt(top)) < cut_ratio * low.latency * (1.0 + doubt(low)) {
            return None;
        }
        let best = curve.iter().map(Point::rate).fold(0.0, f64::max);
        let knee = curve.iter().position(|p| p.rate() >= FLAT_THROUGHPUT * best).unwrap_or(curve.len() - 1);
        let (below, knee) = (curve[knee.saturating_sub(1)].held, curve[knee].held);
        let least = if knee > 2.0 * below { below } else { knee }; // nothing is known between distant levels
        let sufficient = (HELD_PER_ACTIVE * best * low.latency).clamp(least.min(top.held), top.held);
        if sufficient > part * slots || sufficient > slots - 0.5 {
            return None;
        }
        self.pause_probes(now, false);
        self.current = PeriodStats::default();
        self.set(now, Some(sufficient), ChangeReason::Crowded);
        Some(self.why)
    }

    /// Begins a probe of the next level if the present one is known.
    fn begin_probe(
        &mut self, now: Millis, prior: f64, may_reduce: bool, curve: &[Point],
    ) -> Option<ChangeReason> {
        let (slots, current) = (self.slots(prior), self.current);
        let answers: f64 = self.levels.iter().map(|l| l.weight(now)).sum();
        // The rate of answers, over the time in which they fade or since the last change. With too few answers a probe
        // would end without a result.
        let span = (now - self.changed_at).clamp(1.0, HALF_LIFE_MS / std::f64::consts::LN_2);
        let enough = current.count >= MIN_ANSWERS
            && answers.max(current.count.min(2.0 * MIN_ANSWERS)) / span * PROBE_MS.1 >= PROBE_MIN_ANSWERS;
        if now < self.pause_until || !enough || current.held < 0.7 * slots.floor() {
            return None;
        }
        let unseen = curve.first().is_none_or(|p| p.held > KNOWN_LOAD_FRACTION * slots);
        let reduces = unseen && slots >= 2.0 && now >= self.reduction_at && may_reduce;
        let to = if reduces {
            self.reduction_at = now + REDUCTION_INTERVAL_MS;
            // Low enough to show the doubled latency at which a rating is cut.
            level_start(level_of(slots).saturating_sub(if self.learned() { 2 } else { 4 }))
        } else {
            level_start(level_of(slots.max(current.held)) + self.probe_step).max(slots + 1.0).min(MAX_LIMIT)
        };
        let span = (PROBE_LATENCIES * current.latency).clamp(PROBE_MS.0, PROBE_MS.1);
        let (until, seen) = (now + span, PeriodStats::default());
        self.probe = Some(Probe { from: self.slots, slots, until, seen, own: true, reduces });
        self.set(now, Some(to), ChangeReason::Probing);
        Some(self.why)
    }

    /// Ends a trial with fewer requests: their latency is now known, and a cut may follow.
    fn finish_reduction(&mut self, now: Millis, prior: f64, probe: Probe) -> Option<ChangeReason> {
        if probe.seen.count < 2.0 * MIN_ANSWERS && !self.overdue(now) {
            return None;
        }
        self.probe = None;
        self.set(now, probe.from, ChangeReason::Fits);
        let (points, n) = self.curve(now);
        let cut = self.cut(now, prior, &points[..n]);
        if cut.is_some() {
            (self.reduction_at, self.pause_until) = (now, now); // a further cut may be possible
        }
        cut.or(Some(ChangeReason::Fits))
    }
}

/// Pools neighbouring levels whose latency falls with more requests: a server gets no faster that way, so it is noise.
fn pool_violators(points: &mut [Point]) {
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

/// Whether the ratings of a kind of servers prove accurate. A failed probe pauses probes of the whole kind, longer each
/// time, unless other probes have recently succeeded.
#[derive(Clone, Copy, Debug)]
pub struct Ratings {
    pause_ms: Millis,
    until: Millis,
    wrong: u32, // failed probes that are still to be ignored
}

impl Default for Ratings {
    fn default() -> Self {
        Ratings { pause_ms: REST_MS.0, until: 0.0, wrong: 0 }
    }
}

impl Ratings {
    /// A probe at the rating failed.
    pub fn held(&mut self, now: Millis) {
        if self.wrong > 0 {
            self.wrong -= 1;
        } else if now >= self.until {
            (self.until, self.pause_ms) = (now + self.pause_ms, (2.0 * self.pause_ms).min(REST_MS.1));
        }
    }

    /// A probe at the rating succeeded.
    pub fn failed(&mut self) {
        let wrong = (self.wrong + IGNORED_FAILURES.0).min(IGNORED_FAILURES.1);
        *self = Ratings { wrong, ..Ratings::default() };
    }

    /// Whether a server without a learned limit may be probed, given a random number in [0, 1).
    pub fn may_try(&self, now: Millis, draw: f64) -> bool {
        now >= self.until && (self.wrong > 0 || draw < PROBED_FRACTION)
    }
}
