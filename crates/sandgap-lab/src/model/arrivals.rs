//! When requests arrive. Open loads, as a public service has them, don't wait for answers; a closed loop does
//! (Schroeder, Wierman and Harchol-Balter, "Open versus closed: a cautionary tale", NSDI 2006).

use std::path::Path;

use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use serde::{Deserialize, Serialize};

use crate::calendar::{Nanos, SECOND, nanos};
use crate::file::Checks;
use crate::limits::RATE;
use crate::model::laws::Law;
use crate::streams::Stream;

/// The arrival process of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Load {
    /// A Poisson process of constant rate.
    Poisson {
        /// Requests a second over all proxies.
        rate: f64,
    },
    /// A daily cycle: a Poisson process whose rate follows a sine.
    Diurnal {
        /// Mean rate, requests a second.
        rate: f64,
        /// Amplitude as a part of the mean, 0 to 1.
        swing: f64,
        /// Length of the day, s.
        period_s: f64,
    },
    /// A constant rate with one burst.
    Burst {
        /// Rate outside the burst, requests a second.
        rate: f64,
        /// The rate in the burst over that outside.
        times: f64,
        /// When it begins, s.
        at_s: f64,
        /// How long it lasts, s.
        for_s: f64,
    },
    /// A Markov-modulated Poisson process: two rates, each held for an exponential time.
    Mmpp {
        /// The lower rate, requests a second.
        rate: f64,
        /// The higher rate over the lower one.
        times: f64,
        /// Mean time at the lower rate, s.
        calm_s: f64,
        /// Mean time at the higher rate, s.
        burst_s: f64,
    },
    /// A fixed number of users, each of whom thinks, sends a request and waits for its end.
    Closed {
        /// How many users.
        users: u32,
        /// Time between the end of a task and the user's next request.
        think: Law,
    },
    /// Arrivals from a CSV file with the column `at_ms` and the optional columns `class` and `tenant`, both by name,
    /// `work_ms` and `timeout_ms`.
    Replay {
        /// The file, relative to the experiment file's folder.
        file: String,
        /// Arrival times are divided by this.
        #[serde(default = "one")]
        speed: f64,
    },
}

fn one() -> f64 {
    1.0
}

impl Load {
    /// Reports values that are out of range.
    pub fn check(&self, checks: &mut Checks) {
        match self {
            Load::Poisson { rate } => checks.within("load.rate", *rate, 1e-6, RATE),
            Load::Diurnal { rate, swing, period_s } => {
                checks.within("load.rate", *rate, 1e-6, RATE);
                checks.within("load.swing", *swing, 0.0, 1.0);
                checks.within("load.period_s", *period_s, 1e-3, 1e8);
            }
            Load::Burst { rate, times, at_s, for_s } => {
                checks.within("load.rate", *rate, 1e-6, RATE);
                checks.within("load.times", *times, 0.0, 1000.0);
                checks.within("load.at_s", *at_s, 0.0, 1e8);
                checks.within("load.for_s", *for_s, 0.0, 1e8);
            }
            Load::Mmpp { rate, times, calm_s, burst_s } => {
                checks.within("load.rate", *rate, 1e-6, RATE);
                checks.within("load.times", *times, 1.0, 1000.0);
                checks.within("load.calm_s", *calm_s, 1e-3, 1e8);
                checks.within("load.burst_s", *burst_s, 1e-3, 1e8);
            }
            Load::Closed { users, think } => {
                checks.within("load.users", f64::from(*users), 1.0, 1e6);
                think.check("load.think", checks);
            }
            Load::Replay { speed, .. } => checks.within("load.speed", *speed, 1e-6, 1e6),
        }
    }
}

/// One line of a recorded load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Recorded {
    /// Arrival time since the beginning of the record, ms.
    pub at_ms: f64,
    /// Its class, by name; drawn where it is left out.
    pub class: Option<String>,
    /// Its tenant, by name; drawn where it is left out.
    pub tenant: Option<String>,
    /// Its work on a standard core, ms; drawn where it is left out.
    pub work_ms: Option<f64>,
    /// How long its client waits, ms; drawn where it is left out.
    pub timeout_ms: Option<f64>,
}

/// Reads a recorded load.
///
/// # Errors
/// What is wrong with the file, with the line where one is at fault.
pub fn recorded(path: &Path) -> Result<Vec<Recorded>, String> {
    let error_in = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let size = std::fs::metadata(path).map_err(|e| error_in(&e))?.len();
    if size > crate::limits::FILE {
        return Err(error_in(&format!("{size} bytes are more than {}", crate::limits::FILE)));
    }
    let mut reader = csv::Reader::from_path(path).map_err(|e| error_in(&e))?;
    let mut all: Vec<Recorded> = Vec::new();
    for (i, line) in reader.deserialize().enumerate() {
        let line: Recorded = line.map_err(|e| error_in(&e))?;
        let last = all.last().map_or(0.0, |l| l.at_ms);
        let is_duration = |x: Option<f64>| x.is_none_or(|x| x.is_finite() && x >= 0.0);
        if !(is_duration(line.work_ms) && is_duration(line.timeout_ms)) {
            return Err(error_in(&format!(
                "line {}: work_ms or timeout_ms is negative or not finite",
                i + 2
            )));
        }
        if !(line.at_ms.is_finite() && line.at_ms >= last) {
            return Err(error_in(&format!(
                "line {}: at_ms is negative, not finite or less than that of the line before",
                i + 2
            )));
        }
        all.push(line);
    }
    Ok(all)
}

/// Draws the arrivals of an open load.
pub struct Source {
    load: Load,
    rng: Stream,
    at: f64, // seconds
    /// For an MMPP: whether the higher rate holds, and until when, s.
    high: bool,
    until: f64,
}

impl Source {
    /// A source that starts at time 0.
    pub fn new(load: &Load, rng: Stream) -> Self {
        Source { load: load.clone(), rng, at: 0.0, high: true, until: 0.0 }
    }

    /// The time of the next arrival; `None` for a closed or recorded load.
    pub fn next_at(&mut self) -> Option<Nanos> {
        match self.load {
            Load::Poisson { rate } => self.step(rate),
            Load::Diurnal { rate, swing, period_s } => self.thin(rate * (1.0 + swing), |t| {
                rate * (1.0 + swing * (std::f64::consts::TAU * t / period_s).sin())
            }),
            Load::Burst { rate, times, at_s, for_s } => self.thin(rate * times.max(1.0), |t| {
                if t >= at_s && t < at_s + for_s { rate * times } else { rate }
            }),
            Load::Mmpp { rate, times, calm_s, burst_s } => {
                return self.modulated(rate, times, calm_s, burst_s);
            }
            Load::Closed { .. } | Load::Replay { .. } => return None,
        }
        Some((self.at * SECOND as f64) as Nanos)
    }

    /// Advances by an exponential interval, at `rate` per second.
    fn step(&mut self, rate: f64) {
        let x: f64 = Exp1.sample(&mut self.rng);
        self.at += x / rate;
    }

    /// Lewis and Shedler's thinning: draws candidates at the highest rate and keeps each with the probability of the
    /// rate at its time over the highest.
    fn thin(&mut self, highest: f64, rate: impl Fn(f64) -> f64) {
        loop {
            self.step(highest);
            if self.rng.random::<f64>() * highest <= rate(self.at) {
                return;
            }
        }
    }

    fn modulated(&mut self, rate: f64, times: f64, calm_s: f64, burst_s: f64) -> Option<Nanos> {
        loop {
            if self.at >= self.until {
                self.high = !self.high;
                let x: f64 = Exp1.sample(&mut self.rng);
                self.until = self.at + x * if self.high { burst_s } else { calm_s };
            }
            let last = self.at;
            self.step(if self.high { rate * times } else { rate });
            if self.at < self.until {
                return Some(nanos(self.at * 1000.0));
            }
            // No arrival before the rate changes; the wait is memoryless, so it is drawn again from there.
            self.at = self.until.max(last);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::streams::stream;

    fn count(load: &Load, seconds: u64) -> f64 {
        let mut source = Source::new(load, stream(3, "arrivals", 0));
        let (mut n, mut last) = (0.0, 0);
        while let Some(at) = source.next_at().filter(|at| *at < seconds * SECOND) {
            assert!(at >= last);
            (n, last) = (n + 1.0, at);
        }
        n / seconds as f64
    }

    #[test]
    fn every_load_has_its_stated_mean_rate() {
        for (load, rate) in [
            (Load::Poisson { rate: 200.0 }, 200.0),
            (Load::Diurnal { rate: 200.0, swing: 0.8, period_s: 50.0 }, 200.0),
            (Load::Burst { rate: 100.0, times: 5.0, at_s: 100.0, for_s: 250.0 }, 200.0),
            (Load::Mmpp { rate: 100.0, times: 4.0, calm_s: 2.0, burst_s: 1.0 }, 200.0),
        ] {
            let seen = count(&load, 1000);
            assert!((seen / rate - 1.0).abs() < 0.05, "{load:?}: {seen}");
        }
    }

    #[test]
    fn a_record_whose_times_decrease_is_rejected_with_its_line() {
        let path = std::env::temp_dir().join(format!("sandgap-lab-replay-{}.csv", std::process::id()));
        std::fs::write(&path, "at_ms,class\n1,page\n0.5,page\n").expect("a temporary file");
        let message = recorded(&path).expect_err("its times decrease");
        assert!(message.contains("line 3"), "{message}");
        std::fs::write(&path, "at_ms,tenant\n1,a\n5,b\n").expect("a temporary file");
        assert_eq!(recorded(&path).expect("a valid record").len(), 2);
        let _ = std::fs::remove_file(&path);
    }
}
