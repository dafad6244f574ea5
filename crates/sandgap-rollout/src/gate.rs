//! Whether what has been released fails more often than what has not, in the same minutes: a test that may be looked at
//! as often as one likes.
//!
//! Two e-processes over what came since the last look. One bets against *the new fails no more often than the old*,
//! the other against *the new fails more often by the margin at least*. Each is a likelihood ratio of the rates seen so
//! far to the closest ones that its hypothesis allows (the reverse information projection of a block of two samples:
//! Turner, Ly and Grünwald, "Generic E-variables for exact sequential k-sample tests that allow for optional stopping",
//! 2024, theorems 1 and 2). Under the hypothesis neither ever exceeds 1 / a with a probability above a (Ville's
//! inequality), however often it is looked at; so a release that is as good as the old one is halted once in 1 /
//! [`Terms::halts`], and one that is worse by the margin is passed once in 1 / [`Terms::passes`].
//!
//! What hurts both alike moves both rates, and neither ratio. Few requests move nothing: then there is no verdict, and
//! no verdict is not *good*.

use serde::{Deserialize, Serialize};

/// Attempts that have ended, and those of them that failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// All.
    pub all: u64,
    /// Failed ones.
    pub failed: u64,
}

impl Ended {
    /// What has come since an earlier count; nothing where it is no later one.
    pub fn since(self, earlier: Ended) -> Option<Ended> {
        let (all, failed) = (self.all.checked_sub(earlier.all)?, self.failed.checked_sub(earlier.failed)?);
        Some(Ended { all, failed })
    }

    /// Both together.
    #[must_use]
    pub fn and(self, other: Ended) -> Ended {
        Ended { all: self.all + other.all, failed: self.failed + other.failed }
    }

    /// The rate that it speaks for, never 0 or 1 (Krichevsky and Trofimov's estimate).
    fn rate(self) -> f64 {
        (self.failed as f64 + 0.5) / (self.all as f64 + 1.0)
    }

    /// The logarithm of how much likelier this is under one rate than under another.
    fn ratio(self, under: f64, than: f64) -> f64 {
        let (failed, well) = (self.failed as f64, (self.all - self.failed) as f64);
        failed * (under / than).ln() + well * ((1.0 - under) / (1.0 - than)).ln()
    }
}

/// What a verdict may be wrong by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// A good release is halted with this probability at most.
    pub halts: f64,
    /// One that is worse by the margin is passed with this probability at most.
    pub passes: f64,
    /// Failures more, as a part of all, that are worth a halt.
    pub margin: f64,
}

impl Terms {
    /// One good release in 1,000 halted, one bad one in 20 passed.
    pub fn new(margin: f64) -> Self {
        Terms { halts: 0.001, passes: 0.05, margin }
    }
}

/// What is known so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Neither.
    Open,
    /// Not worse by the margin.
    Good,
    /// Worse.
    Bad,
}

/// See the module.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gate {
    old: Ended,
    new: Ended,
    worse: f64,
    fine: f64,
}

impl Gate {
    /// What has ended since the last look, at what is not released yet and at what is.
    pub fn look(&mut self, terms: Terms, old: Ended, new: Ended) {
        if new.all > 0 && old.all > 0 {
            let (rate_old, rate_new) = (self.old.rate(), self.new.rate());
            self.worse += bet(old, new, rate_old, rate_new, 0.0, rate_new > rate_old);
            let better = rate_new < rate_old + terms.margin;
            self.fine += bet(old, new, rate_old, rate_new, terms.margin, better);
        }
        (self.old, self.new) = (self.old.and(old), self.new.and(new));
    }

    /// What is known by now.
    pub fn finding(&self, terms: Terms) -> Finding {
        if self.worse >= -terms.halts.ln() {
            Finding::Bad
        } else if self.fine >= -terms.passes.ln() {
            Finding::Good
        } else {
            Finding::Open
        }
    }

    /// What it rests on: what is not released yet, and what is.
    pub fn seen(&self) -> (Ended, Ended) {
        (self.old, self.new)
    }
}

/// The logarithm of one block's e-variable against *the new rate is at the old one and the margin*, from the side on
/// which the rates seen so far are; nothing is bet where they are not on it.
fn bet(old: Ended, new: Ended, rate_old: f64, rate_new: f64, margin: f64, on_side: bool) -> f64 {
    if !on_side {
        return 0.0;
    }
    let at = closest(old.all as f64, new.all as f64, rate_old, rate_new, margin);
    old.ratio(rate_old, at) + new.ratio(rate_new, at + margin)
}

/// The old rate at which a pair a margin apart is closest to two rates, by the divergence of a block's two samples; it
/// is convex, so that a ternary search finds it.
fn closest(n_old: f64, n_new: f64, rate_old: f64, rate_new: f64, margin: f64) -> f64 {
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

    const TERMS: Terms = Terms { halts: 0.001, passes: 0.05, margin: 0.01 };

    fn drawn(rng: &mut fastrand::Rng, all: u64, rate: f64) -> Ended {
        Ended { all, failed: (0..all).filter(|_| rng.f64() < rate).count() as u64 }
    }

    /// Looks at each batch until there is a finding; both rates may move together from look to look.
    fn play(
        seed: u64, looks: usize, batch: (u64, u64), rates: impl Fn(usize) -> (f64, f64),
    ) -> (Finding, usize) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut gate = Gate::default();
        for n in 0..looks {
            let (old, new) = rates(n);
            let (old, new) = (drawn(&mut rng, batch.0, old), drawn(&mut rng, batch.1, new));
            gate.look(TERMS, old, new);
            if gate.finding(TERMS) != Finding::Open {
                return (gate.finding(TERMS), n + 1);
            }
        }
        (Finding::Open, looks)
    }

    fn count(finding: Finding, plays: &[(Finding, usize)]) -> usize {
        plays.iter().filter(|(f, _)| *f == finding).count()
    }

    #[test]
    fn good_releases_are_hardly_ever_halted_however_often_one_looks() {
        let plays: Vec<_> = (0..2000).map(|s| play(s, 300, (40, 10), |_| (0.02, 0.02))).collect();
        assert!(count(Finding::Bad, &plays) <= 6, "{}", count(Finding::Bad, &plays));
        // Good is found by and by: a margin of half the rate takes some thousand requests at the released.
        let plays: Vec<_> = (0..200).map(|s| play(s, 900, (40, 10), |_| (0.02, 0.02))).collect();
        assert!(count(Finding::Good, &plays) > 180, "{}", count(Finding::Good, &plays));
    }

    #[test]
    fn bad_ones_are_found_and_hardly_ever_passed() {
        let plays: Vec<_> = (0..1000).map(|s| play(s, 400, (40, 10), |_| (0.02, 0.08))).collect();
        assert!(count(Finding::Bad, &plays) > 940, "{}", count(Finding::Bad, &plays));
        // Worse by just the margin: the promise is about these.
        let plays: Vec<_> = (0..1000).map(|s| play(s, 300, (40, 10), |_| (0.02, 0.03))).collect();
        assert!(count(Finding::Good, &plays) <= 65, "{}", count(Finding::Good, &plays));
    }

    #[test]
    fn what_hurts_both_alike_is_no_fault_of_the_release() {
        let storm = |n: usize| if n % 50 < 10 { (0.4, 0.4) } else { (0.01, 0.01) };
        let plays: Vec<_> = (0..1000).map(|s| play(s, 300, (40, 10), storm)).collect();
        assert!(count(Finding::Bad, &plays) <= 4, "{}", count(Finding::Bad, &plays));
    }

    #[test]
    fn a_few_requests_prove_nothing() {
        let plays: Vec<_> = (0..200).map(|s| play(s, 20, (3, 1), |_| (0.0, 0.0))).collect();
        assert_eq!(count(Finding::Open, &plays), 200);
        let mut gate = Gate::default();
        (0..1000).for_each(|_| gate.look(TERMS, Ended { all: 100, failed: 1 }, Ended::default()));
        assert_eq!(gate.finding(TERMS), Finding::Open, "nothing came to what is released");
    }

    #[test]
    fn counts_that_began_anew_are_no_later_ones() {
        let ended = |all, failed| Ended { all, failed };
        assert_eq!(ended(9, 2).since(ended(5, 1)), Some(ended(4, 1)));
        assert_eq!(ended(3, 0).since(ended(5, 0)), None);
    }
}
