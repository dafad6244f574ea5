//! One attempt: one request on one connection, from the pool to its outcome.

use std::io;
use std::time::Duration;

use sandgap_driver::permit::Denial;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use wharfhitch::Outcome;

use super::progress::SendPrecondition;
use super::response::{ResponsePart, exchange};
use super::{Outgoing, Payload, Upstreams};
use crate::body::{End, Progress};
use crate::diagnostics::Event;
use crate::event::{self, AnswerBy, Attempt};
use crate::retry;

/// A backend that says nothing for this long within a long answer has gone.
const SILENCE: Duration = Duration::from_secs(10);
/// Span between looks for that.
const LOOK: Duration = Duration::from_secs(1);
/// The same where the time of an answer that may be short is over, but its reader has not taken what there is of it.
const LOOK_OVERDUE: Duration = Duration::from_millis(100);

impl Upstreams {
    /// Makes one attempt and tells how it ended; the report gets that before the connection is pooled.
    pub(super) async fn attempt(&self, message: &Outgoing, attempt: Attempt) {
        let Attempt { endpoint, wanted, lease, mut until, answer_by, before, mut report } = attempt;
        let request_number = report.request();
        let mut uploads = match &message.body {
            Payload::Long(upload) if upload.is_spent() => return report.tell(Outcome::NotSent, None),
            Payload::Long(upload) => Some(upload),
            Payload::Short(_) => None,
        };
        // Whatever goes wrong before the request's last byte is written proves that it never ran.
        let mut connection = match timeout_at(until, self.connection(&endpoint)).await {
            Ok(Ok(connection)) => connection,
            // No descriptor, port or route is left, which is no fault of the backend's.
            Ok(Err(e)) if e.kind() == io::ErrorKind::QuotaExceeded || retry::is_local(&e) => {
                return report.tell(Outcome::NotSent, None);
            }
            Ok(Err(_)) | Err(_) => return report.tell(Outcome::ConnectFailed, None),
        };
        if !endpoint.is_open() || !wanted.get() {
            return report.tell(Outcome::NotSent, None);
        }
        let head_made = Instant::now();
        let Some(request) = message.request(until) else { return report.tell(Outcome::NotSent, None) };
        let write_progress = connection.write_progress.clone();
        write_progress.start(
            SendPrecondition { endpoint: endpoint.clone(), wanted, lease, before, until, head_made },
            &message.body,
        );
        let sender = &mut connection.sender;
        let answer = async {
            tokio::select! {
                biased;
                answer = exchange(sender, request, &write_progress, &answer_by) => answer,
                () = write_progress.stalled() => Err("the answer has no end".into()),
            }
        };
        // A long request may take its time; the backend's begins with its last byte, the client's has by then.
        let answer = {
            tokio::pin!(answer);
            loop {
                tokio::select! {
                    biased;
                    answer = &mut answer => break Some(answer),
                    () = write_progress.finished(), if uploads.is_some() => {
                        report.uploaded();
                        until = uploads.take().map_or(until, |upload| message.patience_ends(upload));
                    }
                    () = sleep_until(until), if uploads.is_none() => break None,
                    () = write_progress.held_up(&answer_by, message.patience), if uploads.is_some() => break None,
                    // Its last byte would come when its repeat is no longer dropped.
                    () = sleep_until(before.unwrap_or(until)), if uploads.is_some() && before.is_some() => break None,
                }
            }
        };
        let took = report.sent().elapsed();
        match answer {
            Some(Ok(ResponsePart::Whole(outcome, reply, keep))) => {
                report.tell(outcome, reply.map(|r| Box::new(r) as event::Reply));
                write_progress.precondition.replace(None);
                self.keep(&endpoint, connection, keep && write_progress.complete(), took).await;
            }
            Some(Ok(ResponsePart::Long(reply, progress, end))) => {
                report.started(Box::new(reply));
                write_progress.precondition.replace(None);
                let (outcome, keep) = follow(&progress, end, &answer_by).await;
                report.tell(outcome, None);
                self.keep(&endpoint, connection, keep && write_progress.complete(), took).await;
            }
            Some(Err(_)) if write_progress.denied.get().is_some() && !write_progress.begun.get() => {
                let reason = write_progress.denied.get().map_or("", Denial::name);
                self.diagnostics.count(Event::Denial, reason);
                let fields = || json!({"request": request_number.0, "reason": reason});
                self.diagnostics.trace("held_back", fields);
                report.tell(Outcome::NotSent, None);
            }
            Some(Err(_)) | None if !write_progress.complete() => report.tell(Outcome::ConnectFailed, None),
            Some(Err(_)) => report.tell(Outcome::Reset, None),
            None => report.tell(Outcome::TimedOut, None), // the connection is dropped, never used again
        }
    }
}

/// Waits for the end of a long answer; the flag says whether its connection may be kept. A reader that leaves or
/// takes nothing is no fault of the backend. One that has not shown to be long ends with its client's time: the reader
/// sees it cut.
async fn follow(progress: &Progress, mut end: End, answer_by: &AnswerBy) -> (Outcome, bool) {
    loop {
        let left = answer_by.instant().saturating_duration_since(Instant::now());
        let look = match progress.may_be_short() {
            true if left.is_zero() => LOOK_OVERDUE,
            true => left.min(LOOK),
            false => LOOK,
        };
        tokio::select! {
            biased;
            end = &mut end => return match end {
                Ok(true) => (Outcome::Served, true),
                Ok(false) => (Outcome::Reset, false),
                Err(_) => (Outcome::Served, false),
            },
            () = sleep(look) => {
                let over = progress.may_be_short() && Instant::now() >= answer_by.instant();
                if progress.silence() >= SILENCE || over && progress.waits_for_backend() {
                    return (Outcome::Reset, false); // the connection goes, and the reader sees the answer cut
                }
            }
        }
    }
}
