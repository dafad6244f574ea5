//! Simulation of rule agreement in virtual time. It runs the daemon's own [`sandgap_agree::Agent`]s over a network that
//! partitions, loses, delays, duplicates and reorders messages, with clocks that drift, processes that are paused,
//! killed and restarted with or without their disks, and publishers that change the rules meanwhile.
//!
//! The checker judges what the proxies *could* have done: a proxy that holds a lease may act at any moment until it
//! ends, whether a request came or not.

pub mod checker;
pub mod faults;
pub mod host;
pub mod simulation;
pub mod succession;

use std::time::Duration;

use rayon::prelude::*;
use sandgap_agree::LeaseBound;
use sandgap_agree::Timing;
use sandgap_fleet::Drift;

use crate::calendar::{MS, Nanos, SECOND};
pub use checker::Findings;
pub use simulation::Simulation;

/// A flaw injected on purpose, to test that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Flaw {
    /// Disks report writes as durable that they have not made.
    Unsynced,
    /// Voters that keep versions apart don't wait for old leases to end.
    NoWait,
    /// Proxies hold their leases 1.5 times as long as stated.
    LongLease,
    /// Clocks drift by up to 60 times the stated drift.
    Drift,
    /// Voters name successors before old leases have ended.
    HeirTooSoon,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of voters.
    pub voters: usize,
    /// Number of proxies that do not vote.
    pub observers: usize,
    /// The stated time T for which two contradicting versions may be acted on together.
    pub bound: Duration,
    /// The stated clock drift, ppm; each clock's rate is drawn within it.
    pub drift_ppm: u32,
    /// Whether contradicting versions are kept apart, so that they are never acted on together.
    pub apart: bool,
    /// Duration of the phase with faults and publications, ns; afterwards all faults are healed.
    pub fault_phase: Nanos,
    /// Mean interval between publications, ns.
    pub publish_interval: Nanos,
    /// Whether faults are injected at all.
    pub faults: bool,
    /// If set, a single partition of this shape for most of the time replaces all other faults.
    pub partition: Option<faults::PartitionShape>,
    /// A flaw injected on purpose.
    pub flaw: Option<Flaw>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            voters: 5,
            observers: 12,
            bound: Duration::from_secs(1),
            drift_ppm: 1000,
            apart: false,
            fault_phase: 12 * SECOND,
            publish_interval: 400 * MS,
            faults: true,
            partition: None,
            flaw: None,
        }
    }
}

impl Setup {
    /// The agreement timing that the proxies are configured with.
    pub fn timing(&self) -> Timing {
        Timing::new(LeaseBound { bound: self.bound, drift: Drift::ppm(self.drift_ppm) }, self.apart)
    }
}

/// Runs one seed.
pub fn run(setup: &Setup, seed: u64) -> Findings {
    Simulation::new(*setup, seed).run()
}

/// Runs many seeds in parallel and adds up their findings.
pub fn run_seeds(setup: &Setup, seeds: std::ops::Range<u64>) -> Findings {
    run_parallel(seeds, |seed| run(setup, seed), Findings::merge)
}

/// Runs seeds in parallel and merges their findings in the order of the seeds.
pub fn run_parallel<F: Default + Send>(
    seeds: std::ops::Range<u64>, run: impl Fn(u64) -> F + Send + Sync, merge: impl Fn(F, F) -> F,
) -> F {
    let findings: Vec<F> = seeds.into_par_iter().map(run).collect();
    findings.into_iter().reduce(merge).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    const SEEDS: u64 = 24;

    #[test]
    fn versions_overlap_for_no_longer_than_stated_and_all_recover() {
        let found = run_seeds(&Setup::default(), 0..SEEDS);
        assert!(found.violations.is_empty(), "{:?}", found.violations);
        assert!(found.switches > 5 * SEEDS && found.longest_overlap > 0, "{found}");
        assert!(found.successor_delays.len() > SEEDS as usize, "{found}");
    }

    #[test]
    fn kept_apart_they_do_not_overlap_at_all() {
        let found = run_seeds(&Setup { apart: true, ..Setup::default() }, 0..SEEDS);
        assert!(found.violations.is_empty(), "{:?}", found.violations);
        assert!(found.switches > SEEDS && found.longest_overlap == 0, "{found}");
    }

    #[test]
    fn without_faults_no_lease_lapses_and_all_switch_within_200_ms() {
        let found = run_seeds(&Setup { faults: false, ..Setup::default() }, 0..4);
        assert!(
            found.violations.is_empty() && found.unavailable == 0 && found.successor_delays.is_empty(),
            "{found}"
        );
        assert!(found.switch_delays.iter().all(|d| *d < 200 * MS), "{found}");
    }

    #[test]
    fn each_flaw_is_found() {
        for flaw in [Flaw::Unsynced, Flaw::NoWait, Flaw::LongLease, Flaw::Drift, Flaw::HeirTooSoon] {
            let apart = flaw == Flaw::NoWait;
            let setup = Setup { flaw: Some(flaw), apart, ..Setup::default() };
            let found = (0..40).any(|n| !run_seeds(&setup, n * 16..n * 16 + 16).violations.is_empty());
            assert!(found, "{flaw:?}");
        }
    }

    #[test]
    fn the_same_seed_gives_the_same_run() {
        let (a, b) = (run(&Setup::default(), 7), run(&Setup::default(), 7));
        assert_eq!(
            (a.messages, a.longest_overlap, a.switch_delays.clone()),
            (b.messages, b.longest_overlap, b.switch_delays)
        );
    }
}
