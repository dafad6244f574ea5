//! One attempt: one request on one connection, from taking the connection to the outcome.

use std::io;
use std::rc::Rc;

use sandgap_driver::permit::Denial;
use sandgap_driver::reuse::{Exchange, Verdict};
use serde_json::json;
use tokio::time::{Instant, sleep_until, timeout_at};
use wharfhitch::{ClassId, Outcome};

use super::progress::{Lateness, SendPrecondition, UploadHeldUp, WriteProgress};
use super::response::{ResponsePart, StreamConditions, exchange};
use super::stream::{Stream, StreamEnd, StreamId, follow};
use super::{Outgoing, Payload, Upstreams};
use crate::body::{BodyError, Upload};
use crate::diagnostics::Event;
use crate::event::{self, AnswerBy, Attempt};
use crate::retry;

impl Upstreams {
    /// Makes one attempt and reports its outcome before the connection is returned to the pool.
    pub(super) async fn attempt(&self, message: &Outgoing, attempt: Attempt) {
        let Attempt { endpoint, wanted, lease, mut until, answer_by, is_alone, before, give_up, mut report } =
            attempt;
        let request_number = report.request();
        let mut uploads = match &message.body {
            Payload::Long(upload) if upload.is_spent() => return report.finish(Outcome::NotSent, None),
            Payload::Long(upload) => Some(upload),
            Payload::Short(_) => None,
        };
        // If anything fails before the request's last byte is written, the request can't have run.
        let mut connection = match timeout_at(until, self.connection(&endpoint)).await {
            Ok(Ok(connection)) => connection,
            // No descriptor, port or route is available, which is not the backend's fault.
            Ok(Err(e)) if e.kind() == io::ErrorKind::QuotaExceeded || retry::is_local(&e) => {
                return report.finish(Outcome::NotSent, None);
            }
            Ok(Err(_)) | Err(_) => return report.finish(Outcome::ConnectFailed, None),
        };
        if !endpoint.is_open() || !wanted.get() {
            return report.finish(Outcome::NotSent, None);
        }
        let exchanges = connection.exchanges.clone();
        self.reuse.begin(&endpoint, &exchanges);
        let head_made = Instant::now();
        let Some(request) = message.request(until) else { return report.finish(Outcome::NotSent, None) };
        let write_progress = connection.write_progress.clone();
        write_progress.start(
            SendPrecondition { endpoint: endpoint.clone(), wanted, lease, before, until, head_made },
            &message.body,
        );
        let sender = &mut connection.sender;
        let conditions = StreamConditions {
            answer_by: &answer_by,
            memory: &self.memory,
            admission: &self.streams,
            backend: endpoint.number,
            may_be_replaced: is_alone && message.is_repeatable && !message.is_spent(),
            diagnostics: &self.diagnostics,
        };
        let answer = exchange(sender, request, &write_progress, &conditions);
        // A long request has no timeout while it is sent. The backend's time starts with its last byte; the client's
        // timeout has started by then.
        let mut is_given_up = false;
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
                    lateness = write_progress.late(), if uploads.is_none() => {
                        write_progress.watch_answer(|| self.stalls.begin(endpoint.number, message.class));
                        match lateness {
                            Lateness::Responding => report.responding(),
                            Lateness::Paused => report.paused(),
                        }
                    }
                    () = give_up.requested(), if uploads.is_none() => {
                        is_given_up = write_progress.may_be_given_up(until) && !message.is_spent();
                        if is_given_up {
                            break None;
                        }
                    }
                    () = sleep_until(until), if uploads.is_none() => break None,
                    reason = held_up(&write_progress, &answer_by, message, uploads) => {
                        self.diagnostics.count(Event::UploadEnd, reason.name());
                        self.diagnostics.trace("upload_given_up", || {
                            json!({"request": request_number.0, "attempt": report.attempt(),
                                "backend": endpoint.address, "reason": reason.name(),
                                "read": uploads.map_or(0, |upload| upload.bytes_read()),
                                "length": uploads.and_then(|upload| upload.length())})
                        });
                        break None;
                    }
                    // Its last byte would arrive when the backend no longer drops a duplicate.
                    () = sleep_until(before.unwrap_or(until)), if uploads.is_some() && before.is_some() => break None,
                }
            }
        };
        let took = report.sent().elapsed();
        self.diagnostics.trace("exchange", || {
            let history = exchanges.history.borrow();
            json!({"request": request_number.0, "attempt": report.attempt(), "backend": endpoint.address,
                "connection": history.number, "answers_before": history.answers,
                "quiet_ms": self.reuse.quiet_before(&exchanges, took).map(|quiet| quiet.as_secs_f64() * 1000.0),
                "age_ms": exchanges.age().as_secs_f64() * 1000.0, "sent": write_progress.is_complete(),
                "end": end_name(answer.as_ref())})
        });
        let verdict = match &answer {
            Some(Ok(part)) => {
                let exchange = Exchange {
                    class: message.class,
                    question: message.question(),
                    is_repeatable: message.is_repeatable,
                    is_early: write_progress.is_answer_early.get(),
                    until: self.reuse.time(until),
                    answer: part.kind(),
                };
                self.reuse.judge(&endpoint, &exchanges, request_number, exchange, took)
            }
            Some(Err(_)) | None => Verdict::Proven,
        };
        if !matches!(&answer, Some(Ok(ResponsePart::Long(..)))) {
            let is_complete = matches!(&answer, Some(Ok(ResponsePart::Whole(Outcome::Served, ..))));
            self.end_watch(&write_progress, endpoint.number, message.class, is_complete);
        }
        match answer {
            // The request ends as on a broken connection, and the connection is closed.
            Some(Ok(_)) if matches!(verdict, Verdict::Doubtful(_)) => {
                let may_have_run = write_progress.is_complete();
                report.finish(if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed }, None);
            }
            Some(Ok(ResponsePart::Whole(outcome, reply, keep))) => {
                let outcome = match verdict {
                    Verdict::Unproven => Outcome::FullUnproven,
                    Verdict::Proven | Verdict::Doubtful(_) => outcome,
                };
                report.finish(outcome, reply.map(|r| Box::new(r) as event::Reply));
                write_progress.precondition.replace(None);
                self.keep(&endpoint, connection, keep && write_progress.is_complete()).await;
            }
            Some(Ok(ResponsePart::Long(reply, progress, end))) => {
                report.started(Box::new(reply));
                write_progress.precondition.replace(None);
                let id = StreamId {
                    request: request_number,
                    attempt: report.attempt(),
                    backend: endpoint.address,
                    diagnostics: &self.diagnostics,
                };
                let watch = write_progress.watch_answer(|| self.stalls.begin(endpoint.number, message.class));
                let slot = progress.may_be_short().then(|| self.streams.begin(endpoint.number));
                let stream = Stream { progress: &progress, end, slot, watch, shutdown_at: &self.shutdown_at };
                let end = follow(id, stream, &answer_by).await;
                self.end_watch(&write_progress, endpoint.number, message.class, end == StreamEnd::Complete);
                self.reuse.answer_ended(&exchanges);
                report.finish(end.outcome(), None);
                let keep = end.is_reusable() && write_progress.is_complete();
                self.keep(&endpoint, connection, keep).await;
            }
            Some(Err(_)) if write_progress.denied.get().is_some() && !write_progress.has_begun.get() => {
                let reason = write_progress.denied.get().map_or("", Denial::name);
                self.diagnostics.count(Event::Denial, reason);
                let fields = || json!({"request": request_number.0, "reason": reason});
                self.diagnostics.trace("held_back", fields);
                report.finish(Outcome::NotSent, None);
            }
            // The client's fault says nothing about the backend.
            Some(Err(_)) | None if !write_progress.is_complete() && message.has_body_fault() => {
                report.finish(Outcome::NotSent, None);
            }
            Some(Err(_)) | None if !write_progress.is_complete() => {
                report.finish(Outcome::ConnectFailed, None)
            }
            Some(Err(_)) => report.finish(Outcome::Reset, None),
            // Closed before the end is reported, as the report permits the next attempt. A pause is no failure.
            None if is_given_up => {
                drop(connection);
                report.finish(Outcome::Cancelled, None);
            }
            // The connection is closed, not reused. A backend that was still writing has not failed.
            None if write_progress.is_advancing(report.sent()) => report.finish(Outcome::Cancelled, None),
            None => report.finish(Outcome::TimedOut, None),
        }
    }
}

impl Upstreams {
    /// An answer is no longer watched for a stall, as it has ended.
    fn end_watch(&self, write_progress: &WriteProgress, endpoint: u64, class: ClassId, is_complete: bool) {
        match write_progress.unwatch_answer() {
            Some(watch) => watch.end(is_complete),
            None if is_complete => self.stalls.completed(endpoint, class),
            None => {}
        }
    }
}

/// Waits until a long request that is being written is held up; see [`WriteProgress::held_up`].
async fn held_up(
    write_progress: &WriteProgress, answer_by: &AnswerBy, message: &Outgoing, upload: Option<&Rc<Upload>>,
) -> UploadHeldUp {
    match upload {
        Some(upload) => write_progress.held_up(answer_by, message.patience, upload).await,
        None => std::future::pending().await,
    }
}

/// How an exchange ended, for the trace.
fn end_name(answer: Option<&Result<ResponsePart, BodyError>>) -> String {
    match answer {
        Some(Ok(ResponsePart::Whole(outcome, ..))) => format!("answer: {outcome:?}"),
        Some(Ok(ResponsePart::Long(..))) => "a long answer has begun".into(),
        Some(Err(error)) => error.to_string(),
        None => "no answer in time".into(),
    }
}
