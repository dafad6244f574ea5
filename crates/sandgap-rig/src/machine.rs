//! A backend's machine, as a model without I/O: cores that work through requests in turn, a short queue, a cold
//! start that falls over when it is pushed.

use std::collections::VecDeque;

/// Milliseconds of the run.
pub type Ms = f64;

/// What a machine is like.
#[derive(Clone, Debug)]
pub struct Build {
    /// Cores; 0 for a machine that takes any number of requests at once.
    pub cores: usize,
    /// Work done per millisecond and core.
    pub speed: f64,
    /// Requests that may wait for a core.
    pub queue: usize,
    /// What the list says of its size; it may be wrong.
    pub share: f64,
}

/// The figures of the rule on cold backends.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    /// Part of its capacity that a fresh machine has.
    pub start: f64,
    /// Span after which it has all of it.
    pub warm_ms: Ms,
    /// Work beyond this multiple of what it can do...
    pub multiple: f64,
    /// ...within this span makes it fall over.
    pub span_ms: Ms,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// It is done at this time.
    Done(Ms),
    /// Queue full: it never runs.
    Full,
    /// The machine falls over under it.
    Falls,
}

/// A running machine.
#[derive(Clone, Debug)]
pub struct Machine {
    build: Build,
    rule: ColdRule,
    born: Option<Ms>,
    /// When each core is free.
    free: Vec<Ms>,
    /// Starts of requests that had to wait; bounded by the queue.
    starts: VecDeque<Ms>,
    /// Work sent lately, while cold; bounded by the rule's span and by falling over.
    sent: VecDeque<(Ms, f64)>,
    /// Everything takes this many times as long.
    pub slow: f64,
    fallen: bool,
}

impl Machine {
    /// A machine that has been up for long, or was born at a time.
    pub fn new(build: Build, rule: ColdRule, born: Option<Ms>) -> Self {
        let free = vec![0.0; build.cores.max(1)];
        let (starts, sent) = (VecDeque::new(), VecDeque::new());
        Machine { build, rule, born, free, starts, sent, slow: 1.0, fallen: false }
    }

    /// Part of its capacity that it has.
    pub fn warmth(&self, now: Ms) -> f64 {
        let Some(born) = self.born else { return 1.0 };
        let part = ((now - born) / self.rule.warm_ms).clamp(0.0, 1.0);
        self.rule.start + (1.0 - self.rule.start) * part
    }

    /// Whether it has fallen over.
    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    /// Takes a request of so many milliseconds of work on a standard core.
    pub fn take(&mut self, now: Ms, work: f64) -> Taken {
        if self.fallen || self.is_pushed(now, work) {
            self.fallen = true;
            return Taken::Falls;
        }
        while self.starts.front().is_some_and(|s| *s <= now) {
            self.starts.pop_front();
        }
        let warmth = self.warmth(now);
        let span = work * self.slow / (self.build.speed * warmth);
        if self.build.cores == 0 {
            return Taken::Done(now + span);
        }
        let core = self.free.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("at least one core");
        if *core > now && self.starts.len() >= self.build.queue {
            return Taken::Full;
        }
        let start = core.max(now);
        *core = start + span;
        if start > now {
            self.starts.push_back(start);
        }
        Taken::Done(start + span)
    }

    fn is_pushed(&mut self, now: Ms, work: f64) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 || self.build.cores == 0 {
            self.sent.clear();
            return false;
        }
        self.sent.push_back((now, work));
        while self.sent.front().is_some_and(|(at, _)| *at < now - self.rule.span_ms) {
            self.sent.pop_front();
        }
        let capacity = self.build.cores as f64 * self.build.speed * warmth;
        let slack = 4.0 * work; // a few requests more are chance, not a push
        let sum: f64 = self.sent.iter().map(|(_, w)| w).sum();
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
    fn cores_work_in_turn_and_the_queue_ends() {
        let mut m = machine(None);
        assert_eq!(m.take(0.0, 10.0), Taken::Done(10.0));
        assert_eq!(m.take(0.0, 20.0), Taken::Done(20.0));
        assert_eq!(m.take(5.0, 10.0), Taken::Done(20.0));
        assert_eq!(m.take(5.0, 10.0), Taken::Full);
        assert_eq!(m.take(10.0, 1.0), Taken::Done(21.0));
    }

    #[test]
    fn a_cold_one_is_slow_and_falls_over_when_pushed() {
        let mut m = machine(Some(0.0));
        assert!(matches!(m.take(0.0, 3.0), Taken::Done(d) if (d - 10.0).abs() < 1e-9));
        // 2.5 times 0.6 cores for 500 ms is 750 ms of work.
        let mut at = 0.0;
        while m.take(at, 10.0) != Taken::Falls {
            at += 1.0;
        }
        assert!((60.0..120.0).contains(&at) && m.has_fallen(), "{at}");
        let mut warm = machine(Some(0.0));
        (0..1000).for_each(|_| assert_ne!(warm.take(1000.0, 10.0), Taken::Falls));
    }
}
