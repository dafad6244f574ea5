//! How old the proxy's view of its backends and clients is.
//!
//! The driver takes in what the sockets have brought many times a second. A process that stood still in between, as it was
//! stopped or had no processor, knows neither the drains that were told meanwhile nor the clients that left.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// A view that is older than this comes from before a standstill: the driver wakes at least every 20 ms, and nothing may
/// begin more than 100 ms after its client has left.
pub const MAX_VIEW_AGE: Duration = Duration::from_millis(50);

/// When the driver last had taken in all that had come.
pub struct View {
    caught_up: Cell<Instant>,
}

impl Default for View {
    fn default() -> Self {
        View { caught_up: Cell::new(Instant::now()) }
    }
}

impl View {
    /// The driver has taken in all that had come by now.
    pub fn renew(&self, now: Instant) {
        self.caught_up.set(now);
    }

    /// How long the process has stood still, if it has.
    pub fn standstill(&self) -> Option<Duration> {
        Some(self.caught_up.get().elapsed()).filter(|age| *age > MAX_VIEW_AGE)
    }
}
