//! A server: cores that work through requests, a bound on what it takes, a cold start that falls over when it is
//! pushed, and slowness of its own.
//!
//! Work progresses on one clock of the server: all requests in service get the same rate, so that one completion
//! is known to be the next without touching the others (the virtual time of processor sharing). Sources: queue
//! and sharing as in Kleinrock, "Queueing Systems" II; thrashing as a power law past a point; the cold start as
//! the operators' rule tells it (sent more than a multiple of its present capacity for a span, it falls over).

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::calendar::{MS, Nanos, nanos};
use crate::file::Checks;

/// How requests share the cores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Discipline {
    /// One request a core, the rest wait in turn.
    #[default]
    Queue,
    /// All at once share the cores.
    Shared,
}

/// What a server is like.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Build {
    /// Cores; 0 for a server that takes any number of requests at once and slows none.
    pub cores: u32,
    /// Work done in a millisecond on a core, ms on a standard core.
    pub speed: f64,
    /// How requests share the cores.
    pub discipline: Discipline,
    /// Requests that may wait for a core, where they queue.
    pub queue: u32,
    /// Requests that it takes at once, waiting ones included; one more is turned away unseen.
    pub cap: u32,
    /// Requests a core past which it gets less done.
    pub thrash_at: f64,
    /// How much less: with twice that many, the work done shrinks by 2 to this power.
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
    /// Notes what is out of bounds.
    pub fn check(&self, at: &str, checks: &mut Checks) {
        checks.within(&format!("{at}.cores"), f64::from(self.cores), 0.0, 100_000.0);
        checks.within(&format!("{at}.speed"), self.speed, 1e-6, 1e6);
        checks.within(&format!("{at}.cap"), f64::from(self.cap), 1.0, f64::from(u32::MAX));
        checks.within(&format!("{at}.thrash_at"), self.thrash_at, 1.0, 1e9);
        checks.within(&format!("{at}.thrash"), self.thrash, 0.0, 10.0);
    }
}

/// The figures of a cold start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdRule {
    /// Part of its capacity that a fresh server has.
    pub start: f64,
    /// Span after which it has all of it, ms.
    pub warm_ms: f64,
    /// Work beyond this multiple of what it can do...
    pub multiple: f64,
    /// ...for this span makes it fall over, ms.
    pub span_ms: f64,
}

impl Default for ColdRule {
    fn default() -> Self {
        ColdRule { start: 0.3, warm_ms: 8700.0, multiple: 2.5, span_ms: 1500.0 }
    }
}

impl ColdRule {
    /// Notes what is out of bounds.
    pub fn check(&self, checks: &mut Checks) {
        checks.within("cold.start", self.start, 0.01, 1.0);
        checks.within("cold.warm_ms", self.warm_ms, 1.0, 1e8);
        checks.within("cold.multiple", self.multiple, 1.0, 1e6);
        checks.within("cold.span_ms", self.span_ms, 1.0, 1e6);
    }
}

/// Steps in which a cold server warms.
const WARM_STEPS: f64 = 50.0;
/// A few requests more than the rule's sum are chance, not a push: so many times the work of the one in hand.
const CHANCE: f64 = 4.0;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It runs or waits.
    In,
    /// Turned away: it never runs.
    Full,
    /// The server falls over under it.
    Falls,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    /// The server's clock at its end.
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
    /// The first to end is the greatest, as the heap gives that; ties by number.
    fn cmp(&self, other: &Self) -> Ordering {
        other.end.total_cmp(&self.end).then(other.attempt.cmp(&self.attempt))
    }
}

/// A running server.
#[derive(Clone, Debug)]
pub struct Server {
    /// What it is like.
    pub build: Build,
    rule: ColdRule,
    born: Option<Nanos>,
    /// Work that each request in service has got since the beginning, ms.
    clock: f64,
    clock_at: Nanos,
    /// Of each request in service, per nanosecond.
    rate: f64,
    serving: BinaryHeap<Job>,
    waiting: VecDeque<(u32, f64)>,
    /// Part of its speed that it has; 0 where it hangs.
    vigour: f64,
    /// Work sent lately, while cold.
    sent: VecDeque<(Nanos, f64)>,
    sent_sum: f64,
    fallen: bool,
    /// The completion that was last announced, and its stamp.
    announced: Option<Nanos>,
    stamp: u32,
}

impl Server {
    /// A server that has been up for long, or was born at a time.
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
            vigour: 1.0,
            sent: VecDeque::new(),
            sent_sum: 0.0,
            fallen: false,
            announced: None,
            stamp: 0,
        };
        server.pace(born.unwrap_or(0));
        server
    }

    /// Part of its capacity that it has by its age.
    pub fn warmth(&self, now: Nanos) -> f64 {
        let Some(born) = self.born else { return 1.0 };
        let part = (now.saturating_sub(born)) as f64 / (self.rule.warm_ms * MS as f64);
        self.rule.start + (1.0 - self.rule.start) * part.min(1.0)
    }

    /// How far apart a warming server is to be paced anew; `None` once it is warm.
    pub fn warming(&self, now: Nanos) -> Option<Nanos> {
        (self.warmth(now) < 1.0).then(|| nanos(self.rule.warm_ms / WARM_STEPS).max(1))
    }

    /// Whether it has fallen over.
    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    /// Requests there.
    pub fn held(&self) -> usize {
        self.serving.len() + self.waiting.len()
    }

    /// What each request would get with so many in service at present, ms of work in a ms.
    pub fn rate_with(&self, now: Nanos, serving: usize) -> f64 {
        let speed = self.build.speed * self.vigour * self.warmth(now);
        if self.build.cores == 0 || serving == 0 {
            return speed;
        }
        let per_core = serving as f64 / f64::from(self.build.cores);
        let shared = speed / per_core.max(1.0);
        let over = per_core / self.build.thrash_at;
        if over > 1.0 && self.build.thrash > 0.0 { shared * over.powf(-self.build.thrash) } else { shared }
    }

    /// Takes a request of so much work, ms on a standard core.
    pub fn take(&mut self, now: Nanos, attempt: u32, work: f64) -> Taken {
        if self.fallen || self.is_pushed(now, work) {
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
        self.pace(now);
        Taken::In
    }

    /// Takes out what is done by now.
    pub fn done(&mut self, now: Nanos, out: &mut Vec<u32>) {
        self.advance(now);
        // A completion is announced for the first nanosecond at or after its end.
        while let Some(job) = self.serving.peek().filter(|j| j.end <= self.clock + 1e-9) {
            self.clock = self.clock.max(job.end);
            out.push(job.attempt);
            self.serving.pop();
            if let Some((attempt, work)) = self.waiting.pop_front() {
                self.serving.push(Job { end: self.clock + work.max(1e-9), attempt });
            }
        }
        self.pace(now);
    }

    /// Its speed changes: 1 is its own, 0 hangs.
    pub fn set_vigour(&mut self, now: Nanos, vigour: f64) {
        self.advance(now);
        self.vigour = vigour;
        self.pace(now);
    }

    /// Everything that it holds is gone; told in the order in which it would have ended.
    pub fn clear(&mut self, now: Nanos, out: &mut Vec<u32>) {
        self.advance(now);
        out.extend(std::mem::take(&mut self.serving).into_sorted_vec().iter().rev().map(|j| j.attempt));
        out.extend(self.waiting.drain(..).map(|w| w.0));
        self.pace(now);
    }

    /// The next completion, with the stamp to hold against [`Server::stamp`], if it is not announced yet.
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

    /// The stamp of the completion announced last; one that bears an older stamp has been overtaken.
    pub fn stamp(&self) -> u32 {
        self.stamp
    }

    /// The announced completion is here.
    pub fn heard(&mut self) {
        self.announced = None;
    }

    fn advance(&mut self, now: Nanos) {
        self.clock += (now - self.clock_at) as f64 * self.rate;
        self.clock_at = now;
        if self.serving.is_empty() {
            self.clock = 0.0; // the clock starts anew, so that years don't wear its digits away
        }
    }

    /// Sets the rate by what is in service. Cold servers are paced anew as they warm.
    pub fn pace(&mut self, now: Nanos) {
        if now > self.clock_at {
            self.advance(now);
        }
        self.rate = self.rate_with(now, self.serving.len()) / MS as f64;
    }

    fn is_pushed(&mut self, now: Nanos, work: f64) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 || self.build.cores == 0 {
            self.sent.clear();
            self.sent_sum = 0.0;
            return false;
        }
        self.sent.push_back((now, work));
        self.sent_sum += work;
        let span = nanos(self.rule.span_ms);
        while let Some(&(_, old)) = self.sent.front().filter(|(at, _)| at + span < now) {
            self.sent.pop_front();
            self.sent_sum -= old;
        }
        let capacity = f64::from(self.build.cores) * self.build.speed * warmth;
        self.sent_sum > self.rule.multiple * capacity * self.rule.span_ms + CHANCE * work
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
    fn a_queue_works_in_turn_and_ends() {
        let mut s = server(Build { cores: 2, queue: 1, speed: 2.0, ..Build::default() });
        let taken: Vec<Taken> = (0..4).map(|a| s.take(0, a, 20.0)).collect();
        assert_eq!(taken, [Taken::In, Taken::In, Taken::In, Taken::Full]);
        assert_eq!(run(&mut s, 100 * MS), [(10 * MS, 0), (10 * MS, 1), (20 * MS, 2)]);
    }

    #[test]
    fn sharing_slows_all_alike_and_thrashing_more_than_that() {
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
    fn a_hang_keeps_what_is_there_and_a_return_goes_on_with_it() {
        let mut s = server(Build { cores: 1, ..Build::default() });
        assert_eq!(s.take(0, 7, 10.0), Taken::In);
        s.set_vigour(4 * MS, 0.0);
        assert_eq!(s.announce(4 * MS), None);
        s.set_vigour(50 * MS, 0.5);
        assert_eq!(s.announce(50 * MS).map(|n| n.0), Some(62 * MS));
    }

    #[test]
    fn a_cold_one_is_slow_and_falls_over_when_pushed() {
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
