//! Measurements of a run. They take bounded memory and don't depend on wall time, threads or hash order.

use serde::Serialize;

use crate::calendar::{Nanos, SECOND};
use crate::file::Experiment;
use crate::limits::WINDOWS;
use sandgap_rules::{Latencies, Verdict};

/// How a task (a client's first try with all its retries) ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The client got an answer.
    Served,
    /// The client was refused and does not retry.
    Refused,
    /// The request failed and its client does not retry.
    Failed,
    /// The client gave up waiting.
    Left,
    /// No answer came, or its proxy died.
    Lost,
    /// No proxy accepted it.
    Untaken,
}

/// Sums over counted tasks.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Sums {
    /// Number of tasks.
    pub asked: u64,
    /// Tasks served.
    pub served: u64,
    /// Tasks served within their class's aim, measured from the first try.
    pub in_time: u64,
    /// Tasks refused.
    pub refused: u64,
    /// Tasks failed.
    pub failed: u64,
    /// Tasks whose client gave up.
    pub left: u64,
    /// Tasks without an answer.
    pub lost: u64,
    /// Tasks that no proxy accepted.
    pub untaken: u64,
    /// Worth of all tasks.
    pub worth: f64,
    /// Worth of the tasks served in time.
    pub worth_in_time: f64,
}

impl Sums {
    /// Worth of tasks served in time over the worth of all tasks; 1 without tasks.
    pub fn goodput(&self) -> f64 {
        if self.worth > 0.0 { self.worth_in_time / self.worth } else { 1.0 }
    }

    /// `of` as a fraction of all tasks; 0 without tasks.
    pub fn part(&self, of: u64) -> f64 {
        if self.asked > 0 { of as f64 / self.asked as f64 } else { 0.0 }
    }

    fn add(&mut self, worth: f64, ended: Ended, in_time: bool) {
        self.asked += 1;
        self.worth += worth;
        if in_time {
            self.in_time += 1;
            self.worth_in_time += worth;
        }
        *match ended {
            Ended::Served => &mut self.served,
            Ended::Refused => &mut self.refused,
            Ended::Failed => &mut self.failed,
            Ended::Left => &mut self.left,
            Ended::Lost => &mut self.lost,
            Ended::Untaken => &mut self.untaken,
        } += 1;
    }
}

/// Measurements of a run.
#[derive(Clone, Debug)]
pub struct Measures {
    /// Sums over all counted tasks.
    pub all: Sums,
    /// Sums of counted tasks by class.
    pub by_class: Vec<Sums>,
    /// Sums of all tasks by the time of their first try, one for each window.
    pub course: Vec<Sums>,
    /// Length of a window of the course, ns.
    pub window: Nanos,
    /// Latencies of served tasks, from the first try to the answer.
    pub latencies: Latencies,
    /// Sum of these latencies, s, for the mean.
    pub latency_sum: f64,
    /// Requests that clients sent over the whole run, including retries.
    pub requests: u64,
    /// Attempts that proxies began over the whole run.
    pub attempts: u64,
    /// Of these, attempts that crossed zones.
    pub crossings: u64,
    /// Datagrams that proxies sent.
    pub datagrams: u64,
    /// Cold servers that load pushed over.
    pub fallen: u64,
    /// Events that the simulator handled.
    pub events: u64,
    counted_from: Nanos,
    counted_to: Nanos,
}

impl Measures {
    /// Empty measurements for an experiment; tasks count from the end of its warm-up to the end of its load.
    pub fn new(e: &Experiment) -> Self {
        let from = (e.warm_seconds * SECOND as f64) as Nanos;
        let to = from + (e.seconds * SECOND as f64) as Nanos;
        let window = (to / WINDOWS as Nanos).max(SECOND / 4);
        Measures {
            all: Sums::default(),
            by_class: vec![Sums::default(); e.classes.len()],
            course: vec![Sums::default(); (to / window + 1) as usize],
            window,
            latencies: Latencies::default(),
            latency_sum: 0.0,
            requests: 0,
            attempts: 0,
            crossings: 0,
            datagrams: 0,
            fallen: 0,
            events: 0,
            counted_from: from,
            counted_to: to,
        }
    }

    /// When the load ends, ns.
    pub fn end(&self) -> Nanos {
        self.counted_to
    }

    /// Records the end of a task that started at `first`.
    pub fn task(&mut self, e: &Experiment, class: usize, first: Nanos, now: Nanos, ended: Ended) {
        let spec = &e.classes[class];
        let latency = now - first;
        let in_time = ended == Ended::Served && latency as f64 <= spec.aim_ms * 1e6;
        if let Some(w) = self.course.get_mut((first / self.window) as usize) {
            w.add(spec.worth, ended, in_time);
        }
        if first < self.counted_from || first >= self.counted_to {
            return;
        }
        self.all.add(spec.worth, ended, in_time);
        self.by_class[class].add(spec.worth, ended, in_time);
        if ended == Ended::Served {
            self.latencies.add(latency / 1000);
            self.latency_sum += latency as f64 / SECOND as f64;
        }
    }

    /// Mean latency of served tasks, ms; 0 without any.
    pub fn mean_ms(&self) -> f64 {
        if self.all.served > 0 { self.latency_sum * 1000.0 / self.all.served as f64 } else { 0.0 }
    }
}

/// The outcome of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Measurements.
    pub measures: Measures,
    /// Verdict of the rules.
    pub verdict: Verdict,
    /// Invalid actions of the decision module, each kind once.
    pub violations: Vec<&'static str>,
    /// Wall time spent in decisions, s, and their number, if timed; never part of a result.
    pub decided: Option<(f64, u64)>,
}
