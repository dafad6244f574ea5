//! Clocks of processes, each with an offset and a rate of its own.

use std::time::Duration;

use sandgap_fleet::Time;

use crate::calendar::Nanos;

/// A process's clock.
#[derive(Clone, Copy, Debug)]
pub struct Skewed {
    /// Its rate: local time per true time.
    pub rate: f64,
    /// Its local time at true time 0, ns.
    pub offset: Nanos,
}

impl Skewed {
    /// The local time at a true time.
    pub fn local(&self, now: Nanos) -> Time {
        Duration::from_nanos(self.offset + (now as f64 * self.rate) as Nanos)
    }

    /// The first true time at which a local time is reached.
    pub fn shown(&self, local: Time) -> Nanos {
        let span = (local.as_nanos() as u64).saturating_sub(self.offset);
        (span as f64 / self.rate).ceil() as Nanos
    }
}
