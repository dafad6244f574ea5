//! Watches a long answer from its first byte to its end.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};
use wharfhitch::{Outcome, RequestId};

use crate::body::{AnswerEnd, AnswerProgress};
use crate::diagnostics::{Diagnostics, Event};
use crate::event::AnswerBy;

/// Idle time after which a stream that nobody ends is closed: a peer that has vanished without a word would hold its
/// connection forever.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Lowest mean rate, in bytes a second, of an answer that may be long and has not passed 64 KiB by its client's deadline.
const MIN_RATE: f64 = 4096.0;
/// Interval between checks of a long answer.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The same for an answer that may still be short and whose deadline has passed, while its client has not read what has
/// arrived of it.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a long answer has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The backend has written all of it, and it has been passed on.
    Complete,
    /// The backend has broken off.
    BackendFailed,
    /// The client has left, or reads nothing.
    ClientLeft,
    /// The backend has been silent for [`STREAM_IDLE_TIMEOUT`].
    Idle,
    /// The client's deadline has passed, and the answer may be a short one that has stalled.
    GivenUp,
}

impl StreamEnd {
    /// Name in logs and counters.
    fn name(self) -> &'static str {
        match self {
            StreamEnd::Complete => "complete",
            StreamEnd::BackendFailed => "backend_failed",
            StreamEnd::ClientLeft => "client_left",
            StreamEnd::Idle => "idle",
            StreamEnd::GivenUp => "given_up",
        }
    }

    /// What the attempt's end says about the backend. A client that leaves or reads nothing is not its fault.
    pub(super) fn outcome(self) -> Outcome {
        match self {
            StreamEnd::Complete | StreamEnd::ClientLeft => Outcome::Served,
            StreamEnd::BackendFailed | StreamEnd::Idle | StreamEnd::GivenUp => Outcome::Reset,
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

/// Waits for the end of a long answer, and records its begin and end.
pub(super) async fn follow(
    id: StreamId<'_>, progress: &AnswerProgress, end: AnswerEnd, answer_by: &AnswerBy,
) -> StreamEnd {
    id.record_begin(progress, answer_by);
    let end = wait_for_end(progress, end, answer_by).await;
    id.record_end(progress, end);
    end
}

/// Waits for the end of a long answer. An answer that may still be short is cut off after the client's deadline once its
/// backend has been silent for as long as it had until then, or if it trickles: it may be a long one that is written slowly.
async fn wait_for_end(progress: &AnswerProgress, mut end: AnswerEnd, answer_by: &AnswerBy) -> StreamEnd {
    let began = Instant::now();
    loop {
        let left = answer_by.instant().saturating_duration_since(Instant::now());
        let wait = match progress.may_be_short() {
            true if left.is_zero() => OVERDUE_CHECK_INTERVAL,
            true => left.min(CHECK_INTERVAL),
            false => CHECK_INTERVAL,
        };
        tokio::select! {
            biased;
            end = &mut end => return match end {
                Ok(true) => StreamEnd::Complete,
                Ok(false) => StreamEnd::BackendFailed,
                Err(_) => StreamEnd::ClientLeft,
            },
            () = sleep(wait) => {
                let is_overdue = progress.may_be_short() && Instant::now() >= answer_by.instant();
                let available = answer_by.instant().saturating_duration_since(began);
                let has_stalled = progress.silence() >= available || progress.rate() < MIN_RATE;
                if progress.silence() >= STREAM_IDLE_TIMEOUT {
                    return StreamEnd::Idle; // the connection is closed, and the client sees a truncated answer
                }
                if is_overdue && progress.waits_for_backend() && has_stalled {
                    return StreamEnd::GivenUp;
                }
            }
        }
    }
}
