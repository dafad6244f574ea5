//! What a run measures. All of it in bounded memory; none of it depends on a clock, a thread or a hash's order.

use serde::Serialize;

use crate::calendar::{Nanos, SECOND};
use crate::file::Experiment;
use crate::limits::WINDOWS;
use sandgap_rules::{Latencies, Verdict};

/// How a task ended: a client's first try and whatever it tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It got an answer.
    Served,
    /// It was refused for good.
    Refused,
    /// It failed for good.
    Failed,
    /// Its client left first.
    Left,
    /// Nothing came, or its proxy died under it.
    Lost,
    /// No proxy took it.
    Untaken,
}

/// Sums over the tasks that are counted.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Sums {
    /// Tasks.
    pub asked: u64,
    /// Served.
    pub served: u64,
    /// Served within the aim, from the first try on.
    pub in_time: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Left.
    pub left: u64,
    /// Lost.
    pub lost: u64,
    /// Not taken.
    pub untaken: u64,
    /// Worth of all.
    pub worth: f64,
    /// Worth of those served in time.
    pub worth_in_time: f64,
}

impl Sums {
    /// Worth in time over worth asked for.
    pub fn goodput(&self) -> f64 {
        if self.worth > 0.0 { self.worth_in_time / self.worth } else { 1.0 }
    }

    /// Part of the tasks.
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

/// What a run measured.
#[derive(Clone, Debug)]
pub struct Measures {
    /// Over all counted tasks.
    pub all: Sums,
    /// By class.
    pub by_class: Vec<Sums>,
    /// By the time of the first try.
    pub course: Vec<Sums>,
    /// Length of a window of the course.
    pub window: Nanos,
    /// Of served tasks, from the first try to the answer.
    pub latencies: Latencies,
    /// The sum of the same, s: for means.
    pub latency_sum: f64,
    /// Requests that clients sent, tries again included, over the whole run.
    pub requests: u64,
    /// Attempts that proxies began, over the whole run.
    pub attempts: u64,
    /// Of them, those that crossed zones.
    pub crossings: u64,
    /// Datagrams that proxies sent.
    pub datagrams: u64,
    /// Servers pushed over.
    pub fallen: u64,
    /// Events of the model.
    pub events: u64,
    from: Nanos,
    to: Nanos,
}

impl Measures {
    /// Nothing yet.
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
            from,
            to,
        }
    }

    /// When the load ends.
    pub fn end(&self) -> Nanos {
        self.to
    }

    /// A task has ended.
    pub fn task(&mut self, e: &Experiment, class: usize, first: Nanos, now: Nanos, ended: Ended) {
        let spec = &e.classes[class];
        let took = now - first;
        let in_time = ended == Ended::Served && took as f64 <= spec.aim_ms * 1e6;
        if let Some(w) = self.course.get_mut((first / self.window) as usize) {
            w.add(spec.worth, ended, in_time);
        }
        if first < self.from || first >= self.to {
            return;
        }
        self.all.add(spec.worth, ended, in_time);
        self.by_class[class].add(spec.worth, ended, in_time);
        if ended == Ended::Served {
            self.latencies.add(took / 1000);
            self.latency_sum += took as f64 / SECOND as f64;
        }
    }

    /// The mean of served tasks, ms.
    pub fn mean_ms(&self) -> f64 {
        if self.all.served > 0 { self.latency_sum * 1000.0 / self.all.served as f64 } else { 0.0 }
    }
}

/// The end of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What it measured.
    pub measures: Measures,
    /// What the rules say.
    pub verdict: Verdict,
    /// What the module did that it must not, the first of each.
    pub odd: Vec<&'static str>,
    /// Wall time in the decider and how often it was asked, where that was timed; never part of a result.
    pub decided: Option<(f64, u64)>,
}
