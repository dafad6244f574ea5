//! A model of a backend's machine without I/O: cores that serve requests in order of arrival, a short queue, and a cold
//! start during which overload makes the machine fail.

use std::collections::VecDeque;

/// Milliseconds since the start of the run.
pub type Ms = f64;

/// The properties of a machine.
#[derive(Clone, Debug)]
pub struct Build {
    /// Number of cores; 0 for a machine that serves any number of requests at once.
    pub cores: usize,
    /// Milliseconds of work done per millisecond and core; 1 for a standard core.
    pub speed: f64,
    /// Requests that may wait for a core.
    pub queue: usize,
    /// Its size in the discovery list, which may be wrong.
    pub share: f64,
}

/// The parameters of the rule on cold backends.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    /// Fraction of its capacity that a machine has when it starts.
    pub start: f64,
    /// Time after which it has its full capacity, ms.
    pub warm_ms: Ms,
    /// A cold machine fails if the work sent to it within `span_ms` exceeds this multiple of its present capacity over
    /// that span, plus four times the work of the latest request.
    pub multiple: f64,
    /// The span over which that work is summed, ms.
    pub span_ms: Ms,
}

/// What happens to a request that a machine receives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It finishes at this time.
    Done(Ms),
    /// The queue is full: it never runs.
    Rejected,
    /// The machine fails on it, or has failed before.
    Fails,
}

/// A running machine.
#[derive(Clone, Debug)]
pub struct Machine {
    build: Build,
    rule: ColdRule,
    born: Option<Ms>,
    /// By core, the time from which it is free.
    free_at: Vec<Ms>,
    /// Start times of requests that had to wait; bounded by the queue.
    queued_starts: VecDeque<Ms>,
    /// Work received within the rule's span with its time of arrival, while cold. Cleared once warm; a failed machine
    /// adds nothing to it.
    recent_work: VecDeque<(Ms, f64)>,
    /// Factor by which the service time of every request is multiplied.
    pub slow: f64,
    failed: bool,
}

impl Machine {
    /// A machine that started at a time, or is warm if none is given.
    pub fn new(build: Build, rule: ColdRule, born: Option<Ms>) -> Self {
        let free_at = vec![0.0; build.cores.max(1)];
        let (queued_starts, recent_work) = (VecDeque::new(), VecDeque::new());
        Machine { build, rule, born, free_at, queued_starts, recent_work, slow: 1.0, failed: false }
    }

    /// Fraction of its full capacity that the machine has.
    pub fn warmth(&self, now: Ms) -> f64 {
        let Some(born) = self.born else { return 1.0 };
        let part = ((now - born) / self.rule.warm_ms).clamp(0.0, 1.0);
        self.rule.start + (1.0 - self.rule.start) * part
    }

    /// Whether the machine has failed from overload while cold.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Accepts or rejects a request that takes `work` ms on a standard core.
    pub fn take(&mut self, now: Ms, work: f64) -> Admission {
        if self.failed || self.is_overloaded_cold(now, work) {
            self.failed = true;
            return Admission::Fails;
        }
        while self.queued_starts.front().is_some_and(|s| *s <= now) {
            self.queued_starts.pop_front();
        }
        let warmth = self.warmth(now);
        let service_time = work * self.slow / (self.build.speed * warmth);
        if self.build.cores == 0 {
            return Admission::Done(now + service_time);
        }
        let core = self.free_at.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("at least one core");
        if *core > now && self.queued_starts.len() >= self.build.queue {
            return Admission::Rejected;
        }
        let start = core.max(now);
        *core = start + service_time;
        if start > now {
            self.queued_starts.push_back(start);
        }
        Admission::Done(start + service_time)
    }

    /// Whether this request overloads the machine while it is cold.
    fn is_overloaded_cold(&mut self, now: Ms, work: f64) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 || self.build.cores == 0 {
            self.recent_work.clear();
            return false;
        }
        self.recent_work.push_back((now, work));
        while self.recent_work.front().is_some_and(|(at, _)| *at < now - self.rule.span_ms) {
            self.recent_work.pop_front();
        }
        let capacity = self.build.cores as f64 * self.build.speed * warmth;
        let slack = 4.0 * work; // up to four requests of this size above the limit are chance, not overload
        let sum: f64 = self.recent_work.iter().map(|(_, w)| w).sum();
        sum > self.rule.multiple * capacity * self.rule.span_ms + slack
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RULE: ColdRule = ColdRule { start: 0.3, warm_ms: 1000.0, multiple: 2.5, span_ms: 500.0 };

    fn machine(born: Option<Ms>) -> Machine {
        Machine::new(Build { cores: 2, speed: 1.0, queue: 1, share: 2.0 }, RULE, born)
    }

    #[test]
    fn cores_serve_in_order_and_a_full_queue_rejects() {
        let mut m = machine(None);
        assert_eq!(m.take(0.0, 10.0), Admission::Done(10.0));
        assert_eq!(m.take(0.0, 20.0), Admission::Done(20.0));
        assert_eq!(m.take(5.0, 10.0), Admission::Done(20.0));
        assert_eq!(m.take(5.0, 10.0), Admission::Rejected);
        assert_eq!(m.take(10.0, 1.0), Admission::Done(21.0));
    }

    #[test]
    fn a_cold_machine_is_slow_and_fails_when_overloaded() {
        let mut m = machine(Some(0.0));
        assert!(matches!(m.take(0.0, 3.0), Admission::Done(d) if (d - 10.0).abs() < 1e-9));
        // The limit is 2.5 times 0.6 cores for 500 ms at time 0: 750 ms of work. It grows while the machine warms, and
        // four times the latest request comes on top.
        let mut at = 0.0;
        while m.take(at, 10.0) != Admission::Fails {
            at += 1.0;
        }
        assert!((60.0..120.0).contains(&at) && m.has_failed(), "{at}");
        let mut warm = machine(Some(0.0));
        (0..1000).for_each(|_| assert_ne!(warm.take(1000.0, 10.0), Admission::Fails));
    }
}
