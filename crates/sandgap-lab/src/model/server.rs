//! A server: cores that work through requests, admission limits, a cold start during which overload crashes it, and a
//! variable speed.
//!
//! Work progresses on one clock of the server: all requests in service get the same rate, so the next completion is
//! known without updating the others (the virtual time of processor sharing). Sources: queue and sharing as in
//! Kleinrock, "Queueing Systems" II; thrashing as a power law past a point; the cold start as in the operators' rule
//! (a cold server that is sent more than a multiple of its present capacity over a span falls over).

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::calendar::{MS, Nanos, nanos};
use crate::file::Checks;

/// How requests share the cores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Discipline {
    /// One request per core; the rest wait, first come, first served.
    #[default]
    Queue,
    /// All requests share the cores at once.
    Shared,
}

/// A server's capacity and limits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Build {
    /// Number of cores; 0 for a server that runs any number of requests at once without slowing down.
    pub cores: u32,
    /// Speed of a core: work done in a millisecond, in ms on a standard core.
    pub speed: f64,
    /// How requests share the cores.
    pub discipline: Discipline,
    /// Requests that may wait for a core, under [`Discipline::Queue`].
    pub queue: u32,
    /// Requests that it holds at once, waiting ones included; one more is rejected without running.
    pub cap: u32,
    /// Requests per core above which its throughput drops.
    pub thrash_at: f64,
    /// Exponent of that drop: at twice that many requests, throughput shrinks by 2 to this power.
    pub thrash: f64,
}

impl Default for Build {
    fn default() -> Self {
        Build {
            cores: 4,
            speed: 1.0,
            discipline: Discipline::Queue,
            queue: 4,
            cap: u32::MAX,
            thrash_at: 1e9,
            thrash: 0.0,
        }
    }
}

impl Build {
    /// Reports values that are out of range; `at` is the build's own key.
    pub fn check(&self, at: &str, checks: &mut Checks) {
        checks.within(&format!("{at}.cores"), f64::from(self.cores), 0.0, 100_000.0);
        checks.within(&format!("{at}.speed"), self.speed, 1e-6, 1e6);
        checks.within(&format!("{at}.cap"), f64::from(self.cap), 1.0, f64::from(u32::MAX));
        checks.within(&format!("{at}.thrash_at"), self.thrash_at, 1.0, 1e9);
        checks.within(&format!("{at}.thrash"), self.thrash, 0.0, 10.0);
    }
}

/// The parameters of a cold start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdRule {
    /// Part of its capacity that a new server has.
    pub start: f64,
    /// Time until it has all of it, ms; it grows linearly.
    pub warm_ms: f64,
    /// A cold server falls over if it is sent more work than this multiple of its present capacity...
    pub multiple: f64,
    /// ...over this span, ms.
    pub span_ms: f64,
}

impl Default for ColdRule {
    fn default() -> Self {
        ColdRule { start: 0.3, warm_ms: 8700.0, multiple: 2.5, span_ms: 1500.0 }
    }
}

impl ColdRule {
    /// Reports values that are out of range.
    pub fn check(&self, checks: &mut Checks) {
        checks.within("cold.start", self.start, 0.01, 1.0);
        checks.within("cold.warm_ms", self.warm_ms, 1.0, 1e8);
        checks.within("cold.multiple", self.multiple, 1.0, 1e6);
        checks.within("cold.span_ms", self.span_ms, 1.0, 1e6);
    }
}

/// Number of steps in which a cold server's rate is updated.
const WARM_STEPS: f64 = 50.0;
/// Work beyond the rule's limit that is put down to chance, not overload, as a multiple of the present request's.
const OVERLOAD_MARGIN: f64 = 4.0;

/// How a server receives a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It runs or waits for a core.
    In,
    /// Rejected because the server is full: it never runs.
    Full,
    /// The server falls over, or already has.
    Falls,
}

/// A request in service.
#[derive(Clone, Copy, Debug)]
struct Job {
    /// The server's clock when it completes.
    end: f64,
    attempt: u32,
}

impl PartialEq for Job {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Job {}

impl PartialOrd for Job {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Job {
    /// The first to complete is the greatest, as a heap pops the greatest; ties go by the lower number.
    fn cmp(&self, other: &Self) -> Ordering {
        other.end.total_cmp(&self.end).then(other.attempt.cmp(&self.attempt))
    }
}

/// A running server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its capacity and limits.
    pub build: Build,
    rule: ColdRule,
    born: Option<Nanos>,
    /// Work done for each request in service since the clock was last reset, ms.
    clock: f64,
    clock_at: Nanos,
    /// Work done for each request in service, ms per nanosecond.
    rate: f64,
    serving: BinaryHeap<Job>,
    waiting: VecDeque<(u32, f64)>,
    /// Part of its speed that it has at present; 0 while it hangs.
    speed_part: f64,
    /// Work received within the rule's span, while cold: time and ms, and the sum.
    received: VecDeque<(Nanos, f64)>,
    received_sum: f64,
    fallen: bool,
    /// The completion that was last announced, and the stamp of that announcement.
    announced: Option<Nanos>,
    stamp: u32,
}

impl Server {
    /// A server that starts cold at `born`, or one that is warm if `born` is `None`.
    pub fn new(build: Build, rule: ColdRule, born: Option<Nanos>) -> Self {
        let mut server = Server {
            build,
            rule,
            born,
            clock: 0.0,
            clock_at: born.unwrap_or(0),
            rate: 0.0,
            serving: BinaryHeap::new(),
            waiting: VecDeque::new(),
            speed_part: 1.0,
            received: VecDeque::new(),
            received_sum: 0.0,
            fallen: false,
            announced: None,
            stamp: 0,
        };
        server.update_rate(born.unwrap_or(0));
        server
    }

    /// Part of its capacity that it has at its age.
    pub fn warmth(&self, now: Nanos) -> f64 {
        let Some(born) = self.born else { return 1.0 };
        let part = (now.saturating_sub(born)) as f64 / (self.rule.warm_ms * MS as f64);
        self.rule.start + (1.0 - self.rule.start) * part.min(1.0)
    }

    /// Interval between two rate updates of a server that warms up; `None` once it is warm.
    pub fn warm_step(&self, now: Nanos) -> Option<Nanos> {
        (self.warmth(now) < 1.0).then(|| nanos(self.rule.warm_ms / WARM_STEPS).max(1))
    }

    /// Whether it has fallen over.
    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    /// Requests in service or waiting.
    pub fn held(&self) -> usize {
        self.serving.len() + self.waiting.len()
    }

    /// Work done for each request per ms, in ms, if `serving` requests were in service now.
    pub fn rate_with(&self, now: Nanos, serving: usize) -> f64 {
        let speed = self.build.speed * self.speed_part * self.warmth(now);
        if self.build.cores == 0 || serving == 0 {
            return speed;
        }
        let per_core = serving as f64 / f64::from(self.build.cores);
        let shared = speed / per_core.max(1.0);
        let over = per_core / self.build.thrash_at;
        if over > 1.0 && self.build.thrash > 0.0 { shared * over.powf(-self.build.thrash) } else { shared }
    }

    /// Receives a request; `work` is in ms on a standard core.
    pub fn take(&mut self, now: Nanos, attempt: u32, work: f64) -> Taken {
        if self.fallen || self.is_overloaded(now, work) {
            self.fallen = true;
            return Taken::Falls;
        }
        if self.held() as u64 >= u64::from(self.build.cap) {
            return Taken::Full;
        }
        let queues = self.build.discipline == Discipline::Queue && self.build.cores > 0;
        if queues && self.serving.len() >= self.build.cores as usize {
            if self.waiting.len() >= self.build.queue as usize {
                return Taken::Full;
            }
            self.waiting.push_back((attempt, work));
            return Taken::In;
        }
        self.advance(now);
        self.serving.push(Job { end: self.clock + work.max(1e-9), attempt });
        self.update_rate(now);
        Taken::In
    }

    /// Removes the requests that are complete by now and adds them to `out`.
    pub fn done(&mut self, now: Nanos, out: &mut Vec<u32>) {
        self.advance(now);
        // A completion is announced for the first nanosecond at or after it.
        while let Some(job) = self.serving.peek().filter(|j| j.end <= self.clock + 1e-9) {
            self.clock = self.clock.max(job.end);
            out.push(job.attempt);
            self.serving.pop();
            if let Some((attempt, work)) = self.waiting.pop_front() {
                self.serving.push(Job { end: self.clock + work.max(1e-9), attempt });
            }
        }
        self.update_rate(now);
    }

    /// Sets the part of its speed that it has: 1 is normal, 0 hangs.
    pub fn set_vigour(&mut self, now: Nanos, part: f64) {
        self.advance(now);
        self.speed_part = part;
        self.update_rate(now);
    }

    /// Removes all requests and adds them to `out`: those in service in the order of completion, then those waiting.
    pub fn clear(&mut self, now: Nanos, out: &mut Vec<u32>) {
        self.advance(now);
        out.extend(std::mem::take(&mut self.serving).into_sorted_vec().iter().rev().map(|j| j.attempt));
        out.extend(self.waiting.drain(..).map(|w| w.0));
        self.update_rate(now);
    }

    /// The next completion, with a stamp to compare with [`Server::stamp`], unless it was already announced.
    pub fn announce(&mut self, now: Nanos) -> Option<(Nanos, u32)> {
        let next = match self.serving.peek() {
            Some(job) if self.rate > 0.0 => {
                let span = ((job.end - self.clock) / self.rate).max(0.0).ceil();
                Some(self.clock_at.saturating_add(span as Nanos).max(now))
            }
            _ => None,
        };
        if next == self.announced {
            return None;
        }
        self.announced = next;
        self.stamp = self.stamp.wrapping_add(1);
        next.map(|at| (at, self.stamp))
    }

    /// The stamp of the last announcement; one with an older stamp is outdated.
    pub fn stamp(&self) -> u32 {
        self.stamp
    }

    /// Notes that the announced completion is due.
    pub fn heard(&mut self) {
        self.announced = None;
    }

    /// Advances the clock to now.
    fn advance(&mut self, now: Nanos) {
        self.clock += (now - self.clock_at) as f64 * self.rate;
        self.clock_at = now;
        if self.serving.is_empty() {
            self.clock = 0.0; // restart the clock when idle, so that it keeps its precision over long runs
        }
    }

    /// Updates the rate by the requests in service. A cold server needs this again as it warms up.
    pub fn update_rate(&mut self, now: Nanos) {
        if now > self.clock_at {
            self.advance(now);
        }
        self.rate = self.rate_with(now, self.serving.len()) / MS as f64;
    }

    /// Whether a cold server falls over, by the work received within the rule's span.
    fn is_overloaded(&mut self, now: Nanos, work: f64) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 || self.build.cores == 0 {
            self.received.clear();
            self.received_sum = 0.0;
            return false;
        }
        self.received.push_back((now, work));
        self.received_sum += work;
        let span = nanos(self.rule.span_ms);
        while let Some(&(_, old)) = self.received.front().filter(|(at, _)| at + span < now) {
            self.received.pop_front();
            self.received_sum -= old;
        }
        let capacity = f64::from(self.build.cores) * self.build.speed * warmth;
        self.received_sum > self.rule.multiple * capacity * self.rule.span_ms + OVERLOAD_MARGIN * work
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run(server: &mut Server, until: Nanos) -> Vec<(Nanos, u32)> {
        let (mut all, mut out) = (Vec::new(), Vec::new());
        let mut now = 0;
        while let Some((at, _)) = server.announce(now).filter(|(at, _)| *at <= until) {
            now = at;
            server.heard();
            server.done(now, &mut out);
            all.extend(out.drain(..).map(|a| (now, a)));
        }
        all
    }

    fn server(build: Build) -> Server {
        Server::new(build, ColdRule::default(), None)
    }

    #[test]
    fn a_queue_serves_in_order_and_rejects_when_full() {
        let mut s = server(Build { cores: 2, queue: 1, speed: 2.0, ..Build::default() });
        let taken: Vec<Taken> = (0..4).map(|a| s.take(0, a, 20.0)).collect();
        assert_eq!(taken, [Taken::In, Taken::In, Taken::In, Taken::Full]);
        assert_eq!(run(&mut s, 100 * MS), [(10 * MS, 0), (10 * MS, 1), (20 * MS, 2)]);
    }

    #[test]
    fn sharing_slows_all_requests_alike_and_thrashing_slows_them_more() {
        let shared = Build { cores: 1, discipline: Discipline::Shared, ..Build::default() };
        let mut s = server(shared);
        (0..2).for_each(|a| assert_eq!(s.take(0, a, 10.0 * f64::from(a + 1)), Taken::In));
        assert_eq!(run(&mut s, 100 * MS), [(20 * MS, 0), (30 * MS, 1)]);
        let mut s = server(Build { thrash_at: 1.0, thrash: 1.0, ..shared });
        (0..2).for_each(|a| assert_eq!(s.take(0, a, 10.0), Taken::In));
        assert_eq!(run(&mut s, 100 * MS), [(40 * MS, 0), (40 * MS, 1)]);
        let mut s = server(Build { cap: 1, ..shared });
        assert_eq!((s.take(0, 0, 1.0), s.take(0, 1, 1.0)), (Taken::In, Taken::Full));
    }

    #[test]
    fn a_hung_server_keeps_its_requests_and_resumes_them() {
        let mut s = server(Build { cores: 1, ..Build::default() });
        assert_eq!(s.take(0, 7, 10.0), Taken::In);
        s.set_vigour(4 * MS, 0.0);
        assert_eq!(s.announce(4 * MS), None);
        s.set_vigour(50 * MS, 0.5);
        assert_eq!(s.announce(50 * MS).map(|n| n.0), Some(62 * MS));
    }

    #[test]
    fn a_cold_server_is_slow_and_falls_over_when_overloaded() {
        let rule = ColdRule { start: 0.3, warm_ms: 1000.0, multiple: 2.5, span_ms: 500.0 };
        let build = Build { cores: 2, queue: u32::MAX, ..Build::default() };
        let mut s = Server::new(build, rule, Some(0));
        assert_eq!(s.take(0, 0, 3.0), Taken::In);
        assert_eq!(s.announce(0).map(|n| n.0), Some(10 * MS));
        // 2.5 times 0.6 cores for 500 ms is 750 ms of work.
        let mut at = 0;
        while s.take(at, 1, 10.0) != Taken::Falls {
            at += MS;
        }
        assert!((60 * MS..120 * MS).contains(&at) && s.has_fallen(), "{at}");
        let mut warm = Server::new(build, rule, Some(0));
        (0..1000).for_each(|a| assert_ne!(warm.take(1000 * MS, a, 10.0), Taken::Falls));
    }
}
