//! Agreed rules in virtual time: the daemon's own [`sandgap_agree::Agent`]s with a net between them that cuts, loses,
//! delays, doubles and reorders, clocks that drift, processes that stand still, die and come back with or without
//! their disks, and publishers that change the rules meanwhile.
//!
//! What is judged is what the proxies *could* have done: a proxy that holds a right may use it at any moment until its
//! lease ends, whether a request came or not.

pub mod faults;
pub mod hands;
pub mod host;
pub mod judge;
pub mod world;

use std::time::Duration;

use rayon::prelude::*;
use sandgap_agree::Span;
use sandgap_agree::Terms;
use sandgap_fleet::Drift;

use crate::calendar::{MS, Nanos, SECOND};
pub use judge::Findings;
pub use world::World;

/// Something wrong by intent: a checker that does not find it is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Flaw {
    /// Disks say that they have kept what they have not.
    Unsynced,
    /// Voters that keep versions apart don't wait for old leases.
    NoWait,
    /// Proxies hold their leases for half as long again as stated.
    LongLease,
    /// Clocks run slower than stated.
    Drift,
    /// Voters name heirs without waiting for old leases.
    HeirTooSoon,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Voters.
    pub voters: usize,
    /// Proxies that do not vote.
    pub observers: usize,
    /// The stated time T.
    pub bound: Duration,
    /// The stated drift, ppm; each clock's rate is drawn within it.
    pub ppm: u32,
    /// Contradicting versions are kept apart.
    pub apart: bool,
    /// How long faults and publications go on; then all is healed.
    pub faulty: Nanos,
    /// Between two publications, about.
    pub publish: Nanos,
    /// Whether there are faults at all.
    pub faults: bool,
    /// One partition of this shape for most of the time, in place of all faults.
    pub only: Option<faults::Shape>,
    /// Something wrong by intent.
    pub flaw: Option<Flaw>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            voters: 5,
            observers: 12,
            bound: Duration::from_secs(1),
            ppm: 1000,
            apart: false,
            faulty: 12 * SECOND,
            publish: 400 * MS,
            faults: true,
            only: None,
            flaw: None,
        }
    }
}

impl Setup {
    /// What the proxies are told.
    pub fn terms(&self) -> Terms {
        Terms::new(Span { bound: self.bound, drift: Drift::ppm(self.ppm) }, self.apart)
    }
}

/// Plays one seed.
pub fn play(setup: &Setup, seed: u64) -> Findings {
    World::new(*setup, seed).play()
}

/// Plays many seeds side by side and adds up what was found.
pub fn hunt(setup: &Setup, seeds: std::ops::Range<u64>) -> Findings {
    play_all(seeds, |seed| play(setup, seed), Findings::merge)
}

/// Plays seeds side by side and adds up what was found, in the order of the seeds.
pub fn play_all<F: Default + Send>(
    seeds: std::ops::Range<u64>, play: impl Fn(u64) -> F + Send + Sync, merge: impl Fn(F, F) -> F,
) -> F {
    let all: Vec<F> = seeds.into_par_iter().map(play).collect();
    all.into_iter().reduce(merge).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    const SEEDS: u64 = 24;

    #[test]
    fn versions_overlap_for_no_longer_than_stated_and_all_come_back() {
        let found = hunt(&Setup::default(), 0..SEEDS);
        assert!(found.broken.is_empty(), "{:?}", found.broken);
        assert!(found.switches > 5 * SEEDS && found.longest > 0, "{found}");
        assert!(found.heirs.len() > SEEDS as usize, "{found}");
    }

    #[test]
    fn kept_apart_they_do_not_overlap_at_all() {
        let found = hunt(&Setup { apart: true, ..Setup::default() }, 0..SEEDS);
        assert!(found.broken.is_empty(), "{:?}", found.broken);
        assert!(found.switches > SEEDS && found.longest == 0, "{found}");
    }

    #[test]
    fn without_faults_nobody_lapses_and_all_switch_at_once() {
        let found = hunt(&Setup { faults: false, ..Setup::default() }, 0..4);
        assert!(found.broken.is_empty() && found.lapsed == 0 && found.heirs.is_empty(), "{found}");
        assert!(found.delays.iter().all(|d| *d < 200 * MS), "{found}");
    }

    #[test]
    fn each_flaw_is_found() {
        for flaw in [Flaw::Unsynced, Flaw::NoWait, Flaw::LongLease, Flaw::Drift, Flaw::HeirTooSoon] {
            let apart = flaw == Flaw::NoWait;
            let setup = Setup { flaw: Some(flaw), apart, ..Setup::default() };
            let found = (0..40).any(|n| !hunt(&setup, n * 16..n * 16 + 16).broken.is_empty());
            assert!(found, "{flaw:?}");
        }
    }

    #[test]
    fn the_same_seed_gives_the_same_run() {
        let (a, b) = (play(&Setup::default(), 7), play(&Setup::default(), 7));
        assert_eq!((a.words, a.longest, a.delays.clone()), (b.words, b.longest, b.delays));
    }
}
