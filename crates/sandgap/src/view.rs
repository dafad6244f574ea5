//! How old the proxy's view of its backends and clients is.
//!
//! The driver takes in what the sockets have brought many times a second. A process that stood still in between, as it was
//! stopped or had no processor, knows neither the drains that were told meanwhile nor the clients that left. When it goes on,
//! its timers have fired and its connections have come up, and all of that may be looked at before the news is: nothing is
//! sent by such a view. The driver first lets everything be read that has come ([`settle`]), and a request's first byte waits
//! until the driver has acted on it ([`View::poll_current`]). What is read then may have come at any time since
//! ([`View::arrived_at`]): its client has waited for as long.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

pub use sandgap_driver::permit::MAX_VIEW_AGE;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Turns of the runtime that let everything be read that has come, each with a look at all sockets: a long list takes two
/// for each piece in which it is read.
const TURNS: usize = 32;
/// A turn of a busy process is long; after this time [`LEAST_TURNS`] are enough.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Turns from a short list's bytes to the driver: the connection's, its reader's, and one to spare.
const LEAST_TURNS: usize = 3;
/// Further standstills in the middle of that are waited out so often; past it the process is merely slow.
const MAX_INTERRUPTIONS: usize = 3;

/// When the driver last had taken in all that had come, and who waits until it has again.
pub struct View {
    caught_up: Cell<Instant>,
    /// One for each connection at most.
    waiting: RefCell<Vec<Waker>>,
}

impl Default for View {
    fn default() -> Self {
        View { caught_up: Cell::new(Instant::now()), waiting: RefCell::default() }
    }
}

impl View {
    /// The driver has taken in all that had come by now.
    pub fn renew(&self, now: Instant) {
        self.caught_up.set(now);
        self.waiting.take().into_iter().for_each(Waker::wake);
    }

    /// How long the process has stood still, if it has.
    pub fn standstill(&self) -> Option<Duration> {
        Some(self.caught_up.get().elapsed()).filter(|age| *age > MAX_VIEW_AGE)
    }

    /// The earliest moment at which that may have come which is read from a socket now.
    pub fn arrived_at(&self) -> Instant {
        let (now, caught_up) = (Instant::now(), self.caught_up.get());
        if now.saturating_duration_since(caught_up) > MAX_VIEW_AGE { caught_up } else { now }
    }

    /// Waits until the driver has caught up, where it has not.
    pub fn poll_current(&self, cx: &Context) -> Poll<()> {
        if self.standstill().is_none() {
            return Poll::Ready(());
        }
        self.waiting.borrow_mut().push(cx.waker().clone());
        Poll::Pending
    }
}

/// Lets everything be read that has come while the process stood still.
pub async fn settle() {
    let start = Instant::now();
    let (mut last, mut turns, mut interruptions) = (start, 0, 0);
    while interruptions <= MAX_INTERRUPTIONS {
        yield_now().await;
        let now = Instant::now();
        turns += 1;
        if now - last > MAX_VIEW_AGE {
            (turns, interruptions) = (0, interruptions + 1);
        }
        last = now;
        let is_slow = now - start >= SETTLE_TIME;
        if turns >= TURNS || is_slow && turns >= LEAST_TURNS {
            return;
        }
    }
}
