//! Clocks of processes: each begins anywhere and runs at a rate of its own.

use std::time::Duration;

use sandgap_fleet::Time;

use crate::calendar::Nanos;

/// One process's clock.
#[derive(Clone, Copy, Debug)]
pub struct Skewed {
    /// Of its time to true time.
    pub rate: f64,
    /// Where it began, ns.
    pub offset: Nanos,
}

impl Skewed {
    /// What it shows at a true time.
    pub fn local(&self, now: Nanos) -> Time {
        Duration::from_nanos(self.offset + (now as f64 * self.rate) as Nanos)
    }

    /// The first true time at which it shows a local one.
    pub fn shown(&self, local: Time) -> Nanos {
        let span = (local.as_nanos() as u64).saturating_sub(self.offset);
        (span as f64 / self.rate).ceil() as Nanos
    }
}
