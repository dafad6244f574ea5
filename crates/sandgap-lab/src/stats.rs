//! Means with confidence intervals: Student's t over independent replications or batch means, and tests whether two
//! means differ significantly (Welch).

use serde::{Deserialize, Serialize};

/// A mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Mean of the samples.
    pub mean: f64,
    /// Half the width of the interval; NaN for a single sample.
    pub half: f64,
    /// Standard deviation of the samples; NaN for a single one.
    pub deviation: f64,
    /// Number of samples.
    pub count: usize,
}

/// Two-sided 95% quantiles of Student's t by degrees of freedom, starting at 1.
const STUDENT_T: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// The two-sided 95% quantile of Student's t; infinite below one degree of freedom.
pub fn student_t(degrees: f64) -> f64 {
    if degrees < 1.0 {
        return f64::INFINITY;
    }
    match STUDENT_T.get(degrees.floor() as usize - 1) {
        Some(t) => *t,
        None => 1.96 + 2.4 / degrees, // within 0.002 of the table's continuation
    }
}

/// The mean of independent samples, such as replications with different seeds. Sums run in the order of the samples,
/// so the result does not depend on which thread finished first.
pub fn independent(samples: &[f64]) -> Estimate {
    let n = samples.len() as f64;
    let mean = samples.iter().sum::<f64>() / n.max(1.0);
    let sum_of_squares = samples.iter().map(|x| (x - mean).powi(2)).sum::<f64>();
    let deviation = if samples.len() > 1 { (sum_of_squares / (n - 1.0)).sqrt() } else { f64::NAN };
    Estimate { mean, half: student_t(n - 1.0) * deviation / n.sqrt(), deviation, count: samples.len() }
}

/// The mean of one long run from the means of its batches. Correlated neighbours would make the interval too narrow,
/// so it is widened by the lag-1 autocorrelation where that is positive.
pub fn batches(samples: &[f64]) -> Estimate {
    let uncorrected = independent(samples);
    let n = samples.len();
    if n < 4 || uncorrected.deviation.is_nan() || uncorrected.deviation <= 0.0 {
        return uncorrected;
    }
    let product =
        samples.windows(2).map(|w| (w[0] - uncorrected.mean) * (w[1] - uncorrected.mean)).sum::<f64>();
    let correlation = (product / (uncorrected.deviation.powi(2) * (n - 1) as f64)).clamp(0.0, 0.9);
    Estimate { half: uncorrected.half * ((1.0 + correlation) / (1.0 - correlation)).sqrt(), ..uncorrected }
}

/// The difference of two means with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The second mean less the first.
    pub mean: f64,
    /// Half the width of the interval.
    pub half: f64,
}

impl Difference {
    /// Whether the difference is significant at the 95% level.
    pub fn is_significant(&self) -> bool {
        self.mean.abs() > self.half // also false if the width is NaN
    }
}

/// The difference of two independent means, by Welch's t interval.
pub fn difference(a: &Estimate, b: &Estimate) -> Difference {
    let variance = |e: &Estimate| e.deviation.powi(2) / e.count as f64;
    let (va, vb) = (variance(a), variance(b));
    let term = |v: f64, e: &Estimate| v.powi(2) / (e.count as f64 - 1.0).max(1e-9);
    let denominator = term(va, a) + term(vb, b);
    let df = if denominator > 0.0 { (va + vb).powi(2) / denominator } else { f64::INFINITY };
    let t = if df.is_finite() { student_t(df) } else { 1.96 };
    Difference { mean: b.mean - a.mean, half: t * (va + vb).sqrt() }
}

/// The mean difference of paired samples, such as runs with the same seed and load.
pub fn paired(a: &[f64], b: &[f64]) -> Difference {
    let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
    let e = independent(&differences);
    Difference { mean: e.mean, half: e.half }
}

#[cfg(test)]
mod tests {
    use rand_distr::{Distribution, StandardNormal};

    use super::*;
    use crate::streams::stream;

    #[test]
    fn intervals_cover_the_true_mean_at_their_stated_rate() {
        let mut rng = stream(1, "stats", 0);
        let (mut covered, mut significant, tries) = (0, 0, 4000);
        for _ in 0..tries {
            let mut draw = || {
                (0..8)
                    .map(|_| {
                        let x: f64 = StandardNormal.sample(&mut rng);
                        x
                    })
                    .collect::<Vec<f64>>()
            };
            let (a, b) = (independent(&draw()), independent(&draw()));
            covered += usize::from(a.mean.abs() <= a.half);
            significant += usize::from(difference(&a, &b).is_significant());
        }
        let (covered, significant) =
            (covered as f64 / f64::from(tries), significant as f64 / f64::from(tries));
        assert!((covered - 0.95).abs() < 0.015, "{covered}");
        assert!(significant < 0.065, "{significant}");
    }

    #[test]
    fn single_samples_are_never_significantly_different() {
        let (a, b) = (independent(&[1.0]), independent(&[9.0]));
        assert!(!difference(&a, &b).is_significant() && !paired(&[1.0], &[9.0]).is_significant());
    }

    #[test]
    fn correlated_batches_widen_the_interval() {
        let slow: Vec<f64> = (0..40).map(|i| (f64::from(i) / 6.0).sin()).collect();
        assert!(batches(&slow).half > 2.0 * independent(&slow).half);
    }
}
