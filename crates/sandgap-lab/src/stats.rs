//! Means with what they are worth: Student's intervals over independent replications or batch means, and whether
//! two of them can be told apart (Welch).

use serde::{Deserialize, Serialize};

/// A mean and half the width of its 95% interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Mean.
    pub mean: f64,
    /// Half the width; not a number where one sample tells nothing of it.
    pub half: f64,
    /// Standard deviation of the samples.
    pub deviation: f64,
    /// Samples.
    pub count: usize,
}

/// Two-sided 95% points of Student's t by degrees of freedom from 1.
const T: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// The two-sided 95% point of Student's t.
pub fn student(freedom: f64) -> f64 {
    if freedom < 1.0 {
        return f64::INFINITY;
    }
    match T.get(freedom.floor() as usize - 1) {
        Some(t) => *t,
        None => 1.96 + 2.4 / freedom, // within 0.002 of the table's continuation
    }
}

/// The mean of independent samples: replications, each of its own seed. Sums go in the order of the samples, so
/// that the result does not depend on which thread was first.
pub fn independent(samples: &[f64]) -> Estimate {
    let n = samples.len() as f64;
    let mean = samples.iter().sum::<f64>() / n.max(1.0);
    let square = samples.iter().map(|x| (x - mean).powi(2)).sum::<f64>();
    let deviation = if samples.len() > 1 { (square / (n - 1.0)).sqrt() } else { f64::NAN };
    Estimate { mean, half: student(n - 1.0) * deviation / n.sqrt(), deviation, count: samples.len() }
}

/// The mean of one long run from its batches. Neighbours that resemble each other make the interval too narrow:
/// where the first autocorrelation is positive it is widened by that.
pub fn batches(samples: &[f64]) -> Estimate {
    let plain = independent(samples);
    let n = samples.len();
    if n < 4 || plain.deviation.is_nan() || plain.deviation <= 0.0 {
        return plain;
    }
    let product = samples.windows(2).map(|w| (w[0] - plain.mean) * (w[1] - plain.mean)).sum::<f64>();
    let r = (product / (plain.deviation.powi(2) * (n - 1) as f64)).clamp(0.0, 0.9);
    Estimate { half: plain.half * ((1.0 + r) / (1.0 - r)).sqrt(), ..plain }
}

/// What can be said of two means.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Second less first.
    pub mean: f64,
    /// Half the width of its 95% interval.
    pub half: f64,
}

impl Difference {
    /// Whether noise alone would rarely make this.
    pub fn is_told_apart(&self) -> bool {
        self.mean.abs() > self.half // false also where the width is no number
    }
}

/// The difference of two independent means (Welch).
pub fn difference(a: &Estimate, b: &Estimate) -> Difference {
    let part = |e: &Estimate| e.deviation.powi(2) / e.count as f64;
    let (va, vb) = (part(a), part(b));
    let freedom = |v: f64, e: &Estimate| v.powi(2) / (e.count as f64 - 1.0).max(1e-9);
    let bottom = freedom(va, a) + freedom(vb, b);
    let df = if bottom > 0.0 { (va + vb).powi(2) / bottom } else { f64::INFINITY };
    let t = if df.is_finite() { student(df) } else { 1.96 };
    Difference { mean: b.mean - a.mean, half: t * (va + vb).sqrt() }
}

/// The difference where each sample of one belongs with the same sample of the other: same seed, same load.
pub fn paired(a: &[f64], b: &[f64]) -> Difference {
    let all: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
    let e = independent(&all);
    Difference { mean: e.mean, half: e.half }
}

#[cfg(test)]
mod tests {
    use rand_distr::{Distribution, StandardNormal};

    use super::*;
    use crate::streams::stream;

    #[test]
    fn intervals_hold_the_truth_as_often_as_they_say() {
        let mut rng = stream(1, "stats", 0);
        let (mut held, mut apart, tries) = (0, 0, 4000);
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
            held += usize::from(a.mean.abs() <= a.half);
            apart += usize::from(difference(&a, &b).is_told_apart());
        }
        let (held, apart) = (held as f64 / f64::from(tries), apart as f64 / f64::from(tries));
        assert!((held - 0.95).abs() < 0.015, "{held}");
        assert!(apart < 0.065, "{apart}");
    }

    #[test]
    fn one_sample_tells_nothing_apart() {
        let (a, b) = (independent(&[1.0]), independent(&[9.0]));
        assert!(!difference(&a, &b).is_told_apart() && !paired(&[1.0], &[9.0]).is_told_apart());
    }

    #[test]
    fn batches_that_follow_each_other_are_not_taken_for_independent() {
        let slow: Vec<f64> = (0..40).map(|i| (f64::from(i) / 6.0).sin()).collect();
        assert!(batches(&slow).half > 2.0 * independent(&slow).half);
    }
}
