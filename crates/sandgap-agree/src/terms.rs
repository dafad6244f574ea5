//! Timing parameters of an installation.

use std::time::Duration;

use sandgap_fleet::Drift;

use crate::limits::PROPOSAL_TIMEOUT;

/// The bound T and the clock drift, from which lease lengths follow.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// T: the longest time for which proxies may act on contradicting rules at once, in true time.
    pub bound: Duration,
    /// How far a clock may drift from true time.
    pub drift: Drift,
}

/// The timing parameters of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The bound T and the clock drift.
    pub span: Span,
    /// The interval of a voter's timer.
    pub tick: Duration,
    /// Whether contradicting versions are kept apart by waiting until the old leases have ended, instead of letting
    /// them overlap for at most T.
    pub apart: bool,
    /// See [`PROPOSAL_TIMEOUT`].
    pub hold: Duration,
}

impl Terms {
    /// Derives the parameters from the bound T. The tick follows it, so that a lost leader is replaced within half of
    /// T, before leases lapse.
    pub fn new(span: Span, apart: bool) -> Self {
        Terms { span, tick: (span.bound / 50).max(Duration::from_millis(5)), apart, hold: PROPOSAL_TIMEOUT }
    }

    /// After this long without a lease request, a proxy holds no lease: T, plus half of T for the time that a request
    /// may be under way.
    pub fn live(&self) -> Duration {
        self.span.drift.at_least(self.span.bound) + self.span.bound / 2
    }
}
