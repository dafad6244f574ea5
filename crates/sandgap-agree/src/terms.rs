//! What an installation states about time, on which all parts of a proxy stand.

use std::time::Duration;

use sandgap_fleet::Drift;

use crate::limits::HOLD;

/// What the stated time asks of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// T: contradicting rules are acted on together for no longer than this, in true time.
    pub bound: Duration,
    /// How far a clock may drift.
    pub drift: Drift,
}

/// What the installation states.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The stated time, and the drift of clocks.
    pub span: Span,
    /// Between two looks of a voter.
    pub tick: Duration,
    /// Contradicting versions are kept apart by waiting until old leases have ended, instead of letting them overlap
    /// for T at the most.
    pub apart: bool,
    /// See [`HOLD`].
    pub hold: Duration,
}

impl Terms {
    /// Terms for a stated time: the voters' pace follows it, so that a lost leader is followed by another within
    /// half of it, and leases do not lapse meanwhile.
    pub fn new(span: Span, apart: bool) -> Self {
        Terms { span, tick: (span.bound / 50).max(Duration::from_millis(5)), apart, hold: HOLD }
    }

    /// A proxy that has not been heard of for so long holds no lease: T, and as much again as a question may be on
    /// its way.
    pub fn live(&self) -> Duration {
        self.span.drift.at_least(self.span.bound) + self.span.bound / 2
    }
}
