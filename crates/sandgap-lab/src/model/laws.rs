//! Probability distributions for work, delays and think times.
//!
//! Exponential is the model of the paper behind the decision library (Shenker and Weinrib, 1989). Lognormal fits the
//! body of the service times of web requests; a bounded Pareto has their heavy tail without an infinite moment
//! (Harchol-Balter, "Performance Modeling and Design of Computer Systems", ch. 20). Bimodal models a cache that hits
//! or misses.

use rand::RngExt;
use rand_distr::{Distribution, Exp1, StandardNormal};
use serde::{Deserialize, Serialize};

use crate::file::Checks;
use crate::streams::Stream;

/// A distribution of durations in milliseconds. All but `Uniform` are scaled so that the mean is the stated one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "law", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Law {
    /// Always the same value.
    Constant {
        /// The value.
        mean_ms: f64,
    },
    /// Uniform between two bounds.
    Uniform {
        /// The lower bound.
        least_ms: f64,
        /// The upper bound.
        most_ms: f64,
    },
    /// Exponential, thus memoryless.
    Exponential {
        /// Mean.
        mean_ms: f64,
    },
    /// Lognormal.
    Lognormal {
        /// Mean.
        mean_ms: f64,
        /// Standard deviation divided by the mean.
        cv: f64,
    },
    /// One of two values, a short and a long one.
    Bimodal {
        /// Mean over both.
        mean_ms: f64,
        /// Part of the draws that gives the long one.
        slow_part: f64,
        /// The long one divided by the short one.
        slow_times: f64,
    },
    /// Pareto, bounded at both ends.
    Pareto {
        /// Mean.
        mean_ms: f64,
        /// Its exponent; a smaller one has a heavier tail.
        shape: f64,
        /// The upper bound divided by the lower bound.
        most_times: f64,
    },
}

impl Default for Law {
    fn default() -> Self {
        Law::Constant { mean_ms: 0.0 }
    }
}

impl Law {
    /// Draws a duration, ms.
    pub fn draw(&self, rng: &mut Stream) -> f64 {
        match *self {
            Law::Constant { mean_ms } => mean_ms,
            Law::Uniform { least_ms, most_ms } => least_ms + (most_ms - least_ms) * rng.random::<f64>(),
            Law::Exponential { mean_ms } => {
                let x: f64 = Exp1.sample(rng);
                mean_ms * x
            }
            Law::Lognormal { mean_ms, cv } => {
                let variance = (1.0 + cv * cv).ln();
                let x: f64 = StandardNormal.sample(rng);
                mean_ms * (variance.sqrt() * x - variance / 2.0).exp()
            }
            Law::Bimodal { mean_ms, slow_part, slow_times } => {
                let short = mean_ms / (1.0 - slow_part + slow_part * slow_times);
                short * if rng.random::<f64>() < slow_part { slow_times } else { 1.0 }
            }
            Law::Pareto { mean_ms, shape, most_times } => {
                // By inversion: x = (1 - u (1 - H^-a))^(-1/a) on [1, H].
                let u: f64 = rng.random();
                let x = (1.0 - u * (1.0 - most_times.powf(-shape))).powf(-1.0 / shape);
                mean_ms * x / bounded_pareto_mean(shape, most_times)
            }
        }
    }

    /// The mean, ms.
    pub fn mean_ms(&self) -> f64 {
        match *self {
            Law::Uniform { least_ms, most_ms } => (least_ms + most_ms) / 2.0,
            Law::Constant { mean_ms }
            | Law::Exponential { mean_ms }
            | Law::Lognormal { mean_ms, .. }
            | Law::Bimodal { mean_ms, .. }
            | Law::Pareto { mean_ms, .. } => mean_ms,
        }
    }

    /// Reports values that are out of range; `at` is the distribution's own key.
    pub fn check(&self, at: &str, checks: &mut Checks) {
        let key = |name: &str| format!("{at}.{name}");
        match *self {
            Law::Constant { mean_ms } | Law::Exponential { mean_ms } => {
                checks.within(&key("mean_ms"), mean_ms, 0.0, 1e9);
            }
            Law::Uniform { least_ms, most_ms } => {
                checks.within(&key("least_ms"), least_ms, 0.0, 1e9);
                checks.within(&key("most_ms"), most_ms, least_ms.max(0.0), 1e9);
            }
            Law::Lognormal { mean_ms, cv } => {
                checks.within(&key("mean_ms"), mean_ms, 0.0, 1e9);
                checks.within(&key("cv"), cv, 0.0, 20.0);
            }
            Law::Bimodal { mean_ms, slow_part, slow_times } => {
                checks.within(&key("mean_ms"), mean_ms, 0.0, 1e9);
                checks.within(&key("slow_part"), slow_part, 0.0, 1.0);
                checks.within(&key("slow_times"), slow_times, 1.0, 1e6);
            }
            Law::Pareto { mean_ms, shape, most_times } => {
                checks.within(&key("mean_ms"), mean_ms, 0.0, 1e9);
                checks.within(&key("shape"), shape, 0.1, 20.0);
                checks.within(&key("most_times"), most_times, 1.001, 1e9);
            }
        }
    }
}

/// The mean of a Pareto distribution with exponent `a`, bounded to [1, `h`].
fn bounded_pareto_mean(a: f64, h: f64) -> f64 {
    let norm = a / (1.0 - h.powf(-a));
    if (a - 1.0).abs() < 1e-9 { norm * h.ln() } else { norm * (1.0 - h.powf(1.0 - a)) / (a - 1.0) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::streams::stream;

    #[test]
    fn every_law_has_its_stated_mean() {
        for law in [
            Law::Constant { mean_ms: 20.0 },
            Law::Uniform { least_ms: 10.0, most_ms: 30.0 },
            Law::Exponential { mean_ms: 20.0 },
            Law::Lognormal { mean_ms: 20.0, cv: 1.5 },
            Law::Bimodal { mean_ms: 20.0, slow_part: 0.1, slow_times: 20.0 },
            Law::Pareto { mean_ms: 20.0, shape: 1.5, most_times: 1000.0 },
            Law::Pareto { mean_ms: 20.0, shape: 1.0, most_times: 100.0 },
        ] {
            let mut rng = stream(1, "law", 0);
            let n = 2_000_000;
            let mean = (0..n).map(|_| law.draw(&mut rng)).sum::<f64>() / f64::from(n);
            assert!((mean / law.mean_ms() - 1.0).abs() < 0.02, "{law:?}: {mean}");
        }
    }
}
