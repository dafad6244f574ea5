//! Tracks how old the proxy's knowledge of its backends and clients is.
//!
//! The driver handles socket events many times a second. A process that stood still in between, because it was stopped or
//! got no CPU time, knows neither of drains announced meanwhile nor of clients that disconnected. When it resumes, timers
//! have fired and connections have been established, and these may be handled before the updates. Nothing may be sent in
//! that state: the driver first lets all received data be read ([`settle`]), and a request's first byte waits until the
//! driver has handled it ([`View::poll_current`]). Data read then may have arrived at any time since the standstill began
//! ([`View::arrived_at`]), and its client has waited for that long.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

pub use sandgap_driver::permit::MAX_VIEW_AGE;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Turns of the runtime after which all received data has been read. Each turn polls all sockets; a long list takes two
/// turns for each chunk.
const MAX_TURNS: usize = 32;
/// Turns of a busy process are long; after this time [`MIN_TURNS`] are enough.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Turns from a short list's bytes to the driver: the connection's task, its reader's, and one spare.
const MIN_TURNS: usize = 3;
/// How many further standstills restart the count of turns; after that the process is considered slow.
const MAX_INTERRUPTIONS: usize = 3;

/// When the driver last had handled all received data, and the tasks that wait until it has again.
pub struct View {
    caught_up: Cell<Instant>,
    /// At most one for each connection.
    waiting: RefCell<Vec<Waker>>,
}

impl Default for View {
    fn default() -> Self {
        View { caught_up: Cell::new(Instant::now()), waiting: RefCell::default() }
    }
}

impl View {
    /// Records that the driver has handled all data received by `now`.
    pub fn mark_caught_up(&self, now: Instant) {
        self.caught_up.set(now);
        self.waiting.take().into_iter().for_each(Waker::wake);
    }

    /// Length of the current standstill, if there is one.
    pub fn standstill(&self) -> Option<Duration> {
        Some(self.caught_up.get().elapsed()).filter(|age| *age > MAX_VIEW_AGE)
    }

    /// The earliest time at which data that is read from a socket now may have arrived.
    pub fn arrived_at(&self) -> Instant {
        let (now, caught_up) = (Instant::now(), self.caught_up.get());
        if now.saturating_duration_since(caught_up) > MAX_VIEW_AGE { caught_up } else { now }
    }

    /// Waits until the driver has caught up after a standstill.
    pub fn poll_current(&self, cx: &Context) -> Poll<()> {
        if self.standstill().is_none() {
            return Poll::Ready(());
        }
        self.waiting.borrow_mut().push(cx.waker().clone());
        Poll::Pending
    }
}

/// Yields until all data received during a standstill has been read.
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
        if turns >= MAX_TURNS || is_slow && turns >= MIN_TURNS {
            return;
        }
    }
}
