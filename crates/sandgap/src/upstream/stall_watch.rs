//! Applies [`sandgap_driver::stalls`] on the process's clock.

use std::rc::Rc;
use std::time::Duration;

use sandgap_driver::Time;
use sandgap_driver::stalls::{AnswerWatch, Stall, StallDetector};
use tokio::time::Instant;
use wharfhitch::ClassId;

/// Finds backends that begin answers and then hang.
pub(super) struct Stalls {
    detector: StallDetector,
    start: Instant,
}

impl Stalls {
    pub(super) fn new() -> Self {
        Stalls { detector: StallDetector::default(), start: Instant::now() }
    }

    fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// Watches an answer that has begun and is incomplete.
    pub(super) fn begin(&self, endpoint: u64, class: ClassId) -> StallWatch {
        StallWatch { watch: self.detector.begin(self.now(), endpoint, class), start: self.start }
    }

    /// A backend has given a whole answer that was not watched.
    pub(super) fn completed(&self, endpoint: u64, class: ClassId) {
        self.detector.completed(self.now(), endpoint, class);
    }

    /// An endpoint gets no more requests.
    pub(super) fn forget(&self, endpoint: u64) {
        self.detector.forget(endpoint);
    }

    /// What has changed.
    pub(super) fn review(&self) -> Vec<Stall> {
        self.detector.review(self.now())
    }
}

/// Watches one answer.
#[derive(Clone)]
pub(super) struct StallWatch {
    watch: Rc<AnswerWatch>,
    start: Instant,
}

impl StallWatch {
    /// Bytes of it have arrived.
    pub(super) fn received(&self) {
        self.watch.received(self.start.elapsed());
    }

    /// Whether the client, and not the backend, is awaited.
    pub(super) fn set_waits_for_client(&self, waits: bool) {
        self.watch.set_waits_for_client(self.start.elapsed(), waits);
    }

    /// Whether an earlier answer of its backend has stalled until it was given up, and nothing has come of any since.
    pub(super) fn follows_stalled(&self) -> bool {
        self.watch.follows_stalled()
    }

    /// Whether its backend is known to go on after as long a pause as the present one, and by `until`.
    pub(super) fn is_expected_by(&self, until: Instant) -> bool {
        self.watch.is_expected_by(self.start.elapsed(), until.saturating_duration_since(self.start))
    }

    /// For how long its backend has been silent.
    pub(super) fn silence(&self) -> Duration {
        self.watch.silence(self.start.elapsed())
    }

    /// Its backend has completed it, or it has ended otherwise.
    pub(super) fn end(&self, is_complete: bool) {
        self.watch.end(self.start.elapsed(), is_complete);
    }
}
