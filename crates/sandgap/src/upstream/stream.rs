//! Watches a long answer from its first byte to its end.

use std::cell::Cell;
use std::time::Duration;

use sandgap_driver::stream_admission::StreamSlot;
use serde_json::json;
use tokio::time::{Instant, sleep};
use wharfhitch::{Outcome, RequestId};

use super::stall_watch::StallWatch;
use crate::body::{AnswerEnd, AnswerProgress, STREAM_IDLE_TIMEOUT};
use crate::diagnostics::{Diagnostics, Event};
use crate::event::AnswerBy;

/// Lowest mean rate, in bytes a second, of an answer that may be short and that a process waits for which is told to end.
const MIN_RATE_AT_SHUTDOWN: f64 = 4096.0;
/// Silence of a backend after which the client's leaving says nothing good about it.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// Interval between checks of a long answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Why a long answer has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The backend has written all of it, and it has been passed on.
    Complete,
    /// The backend has broken off.
    BackendFailed,
    /// The client has left, or reads nothing.
    ClientLeft,
    /// The client has left while the backend was silent.
    ClientLeftSilence,
    /// The backend has been silent for [`STREAM_IDLE_TIMEOUT`].
    Idle,
    /// The process ends, and the backend has nearly stopped.
    Shutdown,
}

impl StreamEnd {
    /// Name in logs and counters.
    fn name(self) -> &'static str {
        match self {
            StreamEnd::Complete => "complete",
            StreamEnd::BackendFailed => "backend_failed",
            StreamEnd::ClientLeft => "client_left",
            StreamEnd::ClientLeftSilence => "client_left_silence",
            StreamEnd::Idle => "idle",
            StreamEnd::Shutdown => "shutdown",
        }
    }

    /// What the attempt's end says about the backend. A client that leaves or reads nothing is not its fault; one that leaves
    /// a silent backend says nothing.
    pub(super) fn outcome(self) -> Outcome {
        match self {
            StreamEnd::Complete | StreamEnd::ClientLeft => Outcome::Served,
            StreamEnd::BackendFailed | StreamEnd::Idle => Outcome::Reset,
            StreamEnd::ClientLeftSilence | StreamEnd::Shutdown => Outcome::Cancelled,
        }
    }

    /// Whether the connection may carry another request.
    pub(super) fn is_reusable(self) -> bool {
        self == StreamEnd::Complete
    }
}

/// The ids of an answer in logs.
pub(super) struct StreamId<'a> {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) backend: std::net::SocketAddr,
    pub(super) diagnostics: &'a Diagnostics,
}

impl StreamId<'_> {
    /// Records that the first bytes of a long answer are passed on.
    fn record_begin(&self, progress: &AnswerProgress, answer_by: &AnswerBy) {
        self.diagnostics.count(Event::Stream, progress.kind());
        self.diagnostics.trace("stream_begun", || {
            let left = answer_by.instant().saturating_duration_since(Instant::now()).as_secs_f64();
            json!({"request": self.request.0, "attempt": self.attempt, "backend": self.backend,
                "kind": progress.kind(), "gathered": progress.gathered(), "left_s": left})
        });
    }

    /// Records why a long answer has ended.
    fn record_end(&self, progress: &AnswerProgress, end: StreamEnd) {
        self.diagnostics.count(Event::StreamEnd, end.name());
        self.diagnostics.trace("stream_ended", || {
            json!({"request": self.request.0, "attempt": self.attempt, "backend": self.backend,
                "reason": end.name(), "passed": progress.passed(),
                "silent_ms": progress.silence().as_secs_f64() * 1000.0,
                "took_ms": progress.age().as_secs_f64() * 1000.0})
        });
    }
}

/// A long answer that is being passed on.
pub(super) struct Stream<'a> {
    pub(super) progress: &'a AnswerProgress,
    pub(super) end: AnswerEnd,
    /// Held until the answer has shown that it is long.
    pub(super) slot: Option<StreamSlot>,
    /// Notices if its backend hangs.
    pub(super) watch: StallWatch,
    /// When the process ends, once it has been told to.
    pub(super) shutdown_at: &'a Cell<Option<Instant>>,
}

/// Waits for the end of a long answer, and records its begin and end.
pub(super) async fn follow(id: StreamId<'_>, stream: Stream<'_>, answer_by: &AnswerBy) -> StreamEnd {
    let progress = stream.progress;
    id.record_begin(progress, answer_by);
    let end = stream.wait_for_end().await;
    id.record_end(progress, end);
    end
}

impl Stream<'_> {
    /// Waits for the end of the answer: its backend's, its client's leaving or the process's own. How long its backend pauses
    /// and how much it has written tell nothing.
    async fn wait_for_end(mut self) -> StreamEnd {
        loop {
            tokio::select! {
                biased;
                end = &mut self.end => return match end {
                    Ok(true) => StreamEnd::Complete,
                    Ok(false) => StreamEnd::BackendFailed,
                    Err(_) if self.watch.silence() >= MIN_SILENCE => StreamEnd::ClientLeftSilence,
                    Err(_) => StreamEnd::ClientLeft,
                },
                () = sleep(CHECK_INTERVAL) => {}
            }
            self.watch.set_waits_for_client(!self.progress.waits_for_backend());
            if !self.progress.may_be_short() {
                self.slot = None;
            }
            if self.progress.silence() >= STREAM_IDLE_TIMEOUT {
                return StreamEnd::Idle; // the connection is closed, and the client sees a truncated answer
            }
            if self.holds_up_shutdown() {
                return StreamEnd::Shutdown;
            }
        }
    }

    /// Whether the process should have ended and the backend has nearly stopped.
    fn holds_up_shutdown(&self) -> bool {
        self.shutdown_at.get().is_some_and(|at| at <= Instant::now())
            && self.progress.may_be_short()
            && self.progress.waits_for_backend()
            && self.progress.rate() < MIN_RATE_AT_SHUTDOWN
    }
}
