//! Takeover in virtual time: the daemon's own [`sandgap_agree::Agent`]s and [`sandgap_takeover::Hands`], with clients
//! that come back under the same identity, backends that drop repeats for a while, and everything between them cut,
//! lost, late, doubled, paused and killed.
//!
//! What a proxy's front and decision module do with a request is a plain stand-in, [`proxy`].

pub mod judge;
pub mod proxy;
pub mod world;

use crate::agree;
use crate::calendar::{MS, Nanos};
pub use judge::Findings;
pub use world::World;

/// Something wrong by intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Flaw {
    /// The first byte goes before the keepers have the step.
    SendBeforeKeeping,
    /// That an attempt goes out is told to nobody.
    SentNotRecorded,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Proxies, net, faults.
    pub fleet: agree::Setup,
    /// Others that keep each request.
    pub keepers: usize,
    /// Between two requests, in the mean.
    pub every: Nanos,
    /// Something wrong by intent.
    pub flaw: Option<Flaw>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup { fleet: agree::Setup::default(), keepers: 1, every: 8 * MS, flaw: None }
    }
}

/// Plays one seed.
pub fn play(setup: &Setup, seed: u64) -> Findings {
    World::new(*setup, seed).play()
}

/// Plays many seeds side by side and adds up what was found.
pub fn hunt(setup: &Setup, seeds: std::ops::Range<u64>) -> Findings {
    agree::play_all(seeds, |seed| play(setup, seed), Findings::merge)
}

#[cfg(test)]
mod tests {
    use super::*;

    const SEEDS: u64 = 16;

    #[test]
    fn nothing_runs_twice_and_nobody_gets_two_answers() {
        for keepers in [1, 2] {
            let found = hunt(&Setup { keepers, ..Setup::default() }, 0..SEEDS);
            assert!(found.broken.is_empty(), "{found}");
            assert!(found.lost > 0 && found.answered > 0, "{found}");
        }
    }

    #[test]
    fn without_faults_every_request_is_answered_and_nobody_inherits() {
        let fleet = agree::Setup { faults: false, ..agree::Setup::default() };
        let found = hunt(&Setup { fleet, ..Setup::default() }, 0..2);
        assert!(found.broken.is_empty() && found.lost == 0, "{found}");
        assert!(found.answered * 100 >= found.requests * 97, "{found}");
    }

    #[test]
    fn each_flaw_is_found() {
        // What a lease, an epoch or a record guards against singly is the model's: few seeds meet those.
        for (flaw, from) in [(Flaw::SendBeforeKeeping, 4), (Flaw::SentNotRecorded, 0)] {
            let setup = Setup { flaw: Some(flaw), ..Setup::default() };
            let found = (from..40).any(|n| !hunt(&setup, n * 16..n * 16 + 16).broken.is_empty());
            assert!(found, "{flaw:?}");
        }
    }

    #[test]
    fn the_same_seed_gives_the_same_run() {
        let (a, b) = (play(&Setup::default(), 7), play(&Setup::default(), 7));
        assert_eq!((a.requests, a.answered, a.words), (b.requests, b.answered, b.words));
    }
}
