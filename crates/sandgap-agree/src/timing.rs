//! Timing parameters of an installation.

use std::time::Duration;

use sandgap_fleet::Drift;

use crate::limits::PROPOSAL_TIMEOUT;

/// The bound T and the clock drift, from which lease lengths follow.
#[derive(Clone, Copy, Debug)]
pub struct LeaseBound {
    /// T: the longest time for which proxies may act on contradicting rules at once, in true time.
    pub bound: Duration,
    /// How far a clock may drift from true time.
    pub drift: Drift,
}

/// The timing parameters of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The bound T and the clock drift.
    pub lease_bound: LeaseBound,
    /// The interval of a voter's timer.
    pub tick: Duration,
    /// Whether contradicting versions are kept apart by waiting until the old leases have ended, instead of letting
    /// them overlap for at most T.
    pub keep_apart: bool,
    /// See [`PROPOSAL_TIMEOUT`].
    pub proposal_timeout: Duration,
}

impl Timing {
    /// Derives the parameters from the bound T. The tick follows it, so that a lost leader is replaced within half of
    /// T, before leases lapse.
    pub fn new(lease_bound: LeaseBound, keep_apart: bool) -> Self {
        Timing {
            lease_bound,
            tick: (lease_bound.bound / 50).max(Duration::from_millis(5)),
            keep_apart,
            proposal_timeout: PROPOSAL_TIMEOUT,
        }
    }

    /// After this long without a lease request, a proxy holds no lease: T, plus half of T for the time that a request
    /// may be under way.
    pub fn lease_horizon(&self) -> Duration {
        self.lease_bound.drift.at_least(self.lease_bound.bound) + self.lease_bound.bound / 2
    }
}
