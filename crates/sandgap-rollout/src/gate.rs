//! Sequential test of whether targets with a release fail more often than targets without it over the same time. The
//! test may be evaluated at any time and any number of times.
//!
//! Two e-processes are updated with the attempts since the last look. One tests the hypothesis *the new version fails
//! no more often than the old one*, the other *the new version fails more often by at least the margin*. Each is a
//! likelihood ratio of the rates observed so far to the closest rates that its hypothesis allows (the reverse
//! information projection of a block of two samples: Turner, Ly and Grünwald, "Generic E-variables for exact sequential
//! k-sample tests that allow for optional stopping", 2024, theorems 1 and 2). Under its hypothesis neither ever exceeds
//! 1 / a with a probability above a (Ville's inequality), however often it is evaluated. So a release that is as good
//! as the old version is halted with a probability of at most [`ErrorLimits::false_halt`], and one that is worse by the
//! margin passes with a probability of at most [`ErrorLimits::false_pass`].
//!
//! A disturbance that affects both groups alike changes both rates but neither ratio. Few requests give no finding, and
//! an open finding does not count as *good*.

use serde::{Deserialize, Serialize};

/// Attempts that have ended, and those of them that failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Number of attempts that have ended.
    pub all: u64,
    /// Number of them that failed.
    pub failed: u64,
}

impl AttemptCounts {
    /// Difference to an earlier count; `None` if a counter is lower than before, for instance after a restart.
    pub fn since(self, earlier: AttemptCounts) -> Option<AttemptCounts> {
        let (all, failed) = (self.all.checked_sub(earlier.all)?, self.failed.checked_sub(earlier.failed)?);
        Some(AttemptCounts { all, failed })
    }

    /// Sum of both counts.
    #[must_use]
    pub fn plus(self, other: AttemptCounts) -> AttemptCounts {
        AttemptCounts { all: self.all + other.all, failed: self.failed + other.failed }
    }

    /// Estimated failure rate, never 0 or 1 (Krichevsky-Trofimov estimator).
    fn rate(self) -> f64 {
        (self.failed as f64 + 0.5) / (self.all as f64 + 1.0)
    }

    /// Log-likelihood ratio of these counts under one rate versus another.
    fn ratio(self, under: f64, than: f64) -> f64 {
        let (failed, well) = (self.failed as f64, (self.all - self.failed) as f64);
        failed * (under / than).ln() + well * ((1.0 - under) / (1.0 - than)).ln()
    }
}

/// Limits on the error probabilities of a finding, and the margin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorLimits {
    /// Maximum probability of halting a good release.
    pub false_halt: f64,
    /// Maximum probability of passing a release that is worse by the margin.
    pub false_pass: f64,
    /// Increase of the failure rate that warrants a halt, as a fraction of attempts.
    pub margin: f64,
}

impl ErrorLimits {
    /// Halts at most one good release in 1,000 and passes at most one bad release in 20.
    pub fn new(margin: f64) -> Self {
        ErrorLimits { false_halt: 0.001, false_pass: 0.05, margin }
    }
}

/// Result of the test so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Not decided yet.
    Open,
    /// The new version is not worse by the margin.
    Good,
    /// The new version fails more often than the old one.
    Bad,
}

/// State of the sequential test; see the module documentation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gate {
    old: AttemptCounts,
    new: AttemptCounts,
    /// Log e-value against *the new version fails no more often than the old one*.
    log_e_worse: f64,
    /// Log e-value against *the new version fails more often by at least the margin*.
    log_e_good: f64,
}

impl Gate {
    /// Adds the attempts that ended since the last look, at targets without and with the release.
    pub fn update(&mut self, limits: ErrorLimits, old: AttemptCounts, new: AttemptCounts) {
        if new.all > 0 && old.all > 0 {
            let (rate_old, rate_new) = (self.old.rate(), self.new.rate());
            self.log_e_worse += log_e_value(old, new, rate_old, rate_new, 0.0, rate_new > rate_old);
            let better = rate_new < rate_old + limits.margin;
            self.log_e_good += log_e_value(old, new, rate_old, rate_new, limits.margin, better);
        }
        (self.old, self.new) = (self.old.plus(old), self.new.plus(new));
    }

    /// The finding at this point.
    pub fn finding(&self, limits: ErrorLimits) -> Finding {
        if self.log_e_worse >= -limits.false_halt.ln() {
            Finding::Bad
        } else if self.log_e_good >= -limits.false_pass.ln() {
            Finding::Good
        } else {
            Finding::Open
        }
    }

    /// The counts so far: at targets without the release, and with it.
    pub fn seen(&self) -> (AttemptCounts, AttemptCounts) {
        (self.old, self.new)
    }
}

/// Log e-value of one block against *the new rate equals the old rate plus the margin*. It is 0 (no evidence) unless
/// the rates observed so far lie on the tested side of that hypothesis.
fn log_e_value(
    old: AttemptCounts, new: AttemptCounts, rate_old: f64, rate_new: f64, margin: f64, on_side: bool,
) -> f64 {
    if !on_side {
        return 0.0;
    }
    let at = closest_rate(old.all as f64, new.all as f64, rate_old, rate_new, margin);
    old.ratio(rate_old, at) + new.ratio(rate_new, at + margin)
}

/// Finds the old rate for which the pair of rates a margin apart is closest to the two given rates, by the KL
/// divergence of a block's two samples. The divergence is convex, so a ternary search finds the minimum.
fn closest_rate(n_old: f64, n_new: f64, rate_old: f64, rate_new: f64, margin: f64) -> f64 {
    let divergence = |p: f64, q: f64| p * (p / q).ln() + (1.0 - p) * ((1.0 - p) / (1.0 - q)).ln();
    let cost = |at: f64| n_old * divergence(rate_old, at) + n_new * divergence(rate_new, at + margin);
    let (mut low, mut high) = (1e-9, 1.0 - margin - 1e-9);
    for _ in 0..80 {
        let third = (high - low) / 3.0;
        if cost(low + third) < cost(high - third) { high -= third } else { low += third }
    }
    low.midpoint(high)
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: ErrorLimits = ErrorLimits { false_halt: 0.001, false_pass: 0.05, margin: 0.01 };

    fn draw_attempts(rng: &mut fastrand::Rng, all: u64, rate: f64) -> AttemptCounts {
        AttemptCounts { all, failed: (0..all).filter(|_| rng.f64() < rate).count() as u64 }
    }

    /// Evaluates batch after batch until there is a finding; both rates may change together between looks.
    fn simulate(
        seed: u64, looks: usize, batch: (u64, u64), rates: impl Fn(usize) -> (f64, f64),
    ) -> (Finding, usize) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut gate = Gate::default();
        for n in 0..looks {
            let (old, new) = rates(n);
            let (old, new) = (draw_attempts(&mut rng, batch.0, old), draw_attempts(&mut rng, batch.1, new));
            gate.update(LIMITS, old, new);
            if gate.finding(LIMITS) != Finding::Open {
                return (gate.finding(LIMITS), n + 1);
            }
        }
        (Finding::Open, looks)
    }

    fn count(finding: Finding, runs: &[(Finding, usize)]) -> usize {
        runs.iter().filter(|(f, _)| *f == finding).count()
    }

    #[test]
    fn good_releases_are_rarely_halted_with_repeated_looks() {
        let runs: Vec<_> = (0..2000).map(|s| simulate(s, 300, (40, 10), |_| (0.02, 0.02))).collect();
        assert!(count(Finding::Bad, &runs) <= 6, "{}", count(Finding::Bad, &runs));
        // A margin of half the failure rate takes some thousand requests at the released targets to find good.
        let runs: Vec<_> = (0..200).map(|s| simulate(s, 900, (40, 10), |_| (0.02, 0.02))).collect();
        assert!(count(Finding::Good, &runs) > 180, "{}", count(Finding::Good, &runs));
    }

    #[test]
    fn bad_releases_are_found_and_rarely_passed() {
        let runs: Vec<_> = (0..1000).map(|s| simulate(s, 400, (40, 10), |_| (0.02, 0.08))).collect();
        assert!(count(Finding::Bad, &runs) > 940, "{}", count(Finding::Bad, &runs));
        // Worse by exactly the margin: the case that the false-pass limit covers.
        let runs: Vec<_> = (0..1000).map(|s| simulate(s, 300, (40, 10), |_| (0.02, 0.03))).collect();
        assert!(count(Finding::Good, &runs) <= 65, "{}", count(Finding::Good, &runs));
    }

    #[test]
    fn a_disturbance_of_both_groups_does_not_halt_the_release() {
        let disturbance = |n: usize| if n % 50 < 10 { (0.4, 0.4) } else { (0.01, 0.01) };
        let runs: Vec<_> = (0..1000).map(|s| simulate(s, 300, (40, 10), disturbance)).collect();
        assert!(count(Finding::Bad, &runs) <= 4, "{}", count(Finding::Bad, &runs));
    }

    #[test]
    fn few_requests_leave_the_finding_open() {
        let runs: Vec<_> = (0..200).map(|s| simulate(s, 20, (3, 1), |_| (0.0, 0.0))).collect();
        assert_eq!(count(Finding::Open, &runs), 200);
        let mut gate = Gate::default();
        (0..1000).for_each(|_| {
            gate.update(LIMITS, AttemptCounts { all: 100, failed: 1 }, AttemptCounts::default())
        });
        assert_eq!(gate.finding(LIMITS), Finding::Open, "no requests reached released targets");
    }

    #[test]
    fn counts_that_were_reset_have_no_difference() {
        let ended = |all, failed| AttemptCounts { all, failed };
        assert_eq!(ended(9, 2).since(ended(5, 1)), Some(ended(4, 1)));
        assert_eq!(ended(3, 0).since(ended(5, 0)), None);
    }
}
