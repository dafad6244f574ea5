//! Reads a backend's answer: all of a short one, or the first part of a long one.

use std::hash::Hasher as _;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{self, HeaderMap};
use hyper::{Request, StatusCode};
use rustc_hash::FxHasher;
use sandgap_driver::reuse::AnswerKind;
use sandgap_driver::stream_admission::StreamAdmission;
use tokio::time::{Instant, sleep};
use wharfhitch::Outcome;

use super::progress::WriteProgress;
use super::{Reply, strip};
use crate::body::{
    self, AnswerBody, AnswerEnd, AnswerProgress, AnswerStream, BodyBuffer, BodyError, BufferedBody,
    RequestBody, Unbuffered,
};
use crate::diagnostics::{Diagnostics, Event};
use crate::event::AnswerBy;
use crate::memory::{Memory, Step};

/// Maximum time for which the start of an answer with a long declared length is buffered before it is passed on, even if
/// that is only its head. A failure within that time can still be answered as failed or retried at another backend.
const MAX_GATHER_DECLARED: Duration = Duration::from_millis(150);
/// An answer of unknown length is most likely a short one, whose last byte counts. It is buffered for the time left
/// divided by this, so that a truncated answer can be retried elsewhere and the first bytes of a long answer are still
/// in time.
const GATHER_DIVISOR: u32 = 2;
/// Upper bound of that time: a client is owed what its backend has written within 2 s.
const MAX_GATHER: Duration = Duration::from_millis(1500);
/// The same for an answer whose backend is silent and has hung in an earlier one, if another backend may answer in its place:
/// once its start is passed on, none can.
const MAX_GATHER_STALLED: Duration = Duration::from_millis(1900);
/// The start of such an answer is passed on at least this long before the client gives up.
const START_MARGIN: Duration = Duration::from_millis(50);
/// Interval at which an answer that was not admitted is considered again.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(50);

/// What decides when the start of a long answer is passed on.
pub(super) struct StreamConditions<'a> {
    pub(super) answer_by: &'a AnswerBy,
    pub(super) memory: &'a Memory,
    pub(super) admission: &'a StreamAdmission,
    /// Number of the backend's endpoint.
    pub(super) backend: u64,
    /// While its backend is silent, the answer may be given up for another one that can't be made beside it.
    pub(super) may_be_replaced: bool,
    pub(super) diagnostics: &'a Diagnostics,
}

impl StreamConditions<'_> {
    /// Whether an answer of unknown length that began at `begun` is still held back although its backend is silent, because
    /// another one may answer in its place.
    fn awaits_replacement(&self, begun: Instant, write_progress: &WriteProgress) -> bool {
        self.may_be_replaced
            && write_progress.follows_stalled()
            && !write_progress.is_advancing(begun)
            && begun.elapsed() < MAX_GATHER_STALLED
            && Instant::now() + START_MARGIN + ADMISSION_INTERVAL < self.answer_by.instant()
    }
}

/// Whether an answer has exactly one `X-Not-Processed: 1` header, which says that the request was not processed.
fn is_marked_unprocessed(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all("x-not-processed").iter();
    values.next().is_some_and(|v| v.as_bytes().trim_ascii() == b"1") && values.next().is_none()
}

/// What has been read of an answer.
pub(super) enum ResponsePart {
    /// The complete answer; the flag tells whether the connection may be reused.
    Whole(Outcome, Option<Reply>, bool),
    /// The first part of a long answer.
    Long(Reply, Rc<AnswerProgress>, AnswerEnd),
}

impl ResponsePart {
    /// What the answer is, for the check whether it belongs to its request.
    pub(super) fn kind(&self) -> AnswerKind {
        match self {
            ResponsePart::Whole(Outcome::Served, Some(reply), _) => match reply.body.short() {
                Some(body) => AnswerKind::Success(hash(body)),
                None => AnswerKind::LongSuccess,
            },
            ResponsePart::Whole(Outcome::Full, ..) => AnswerKind::Rejection,
            ResponsePart::Whole(..) => AnswerKind::Failure,
            ResponsePart::Long(..) => AnswerKind::LongSuccess,
        }
    }
}

fn hash(body: &BufferedBody) -> u64 {
    let mut hasher = FxHasher::default();
    body.blocks().for_each(|block| hasher.write(block));
    hasher.finish()
}

/// Sends a request and reads the answer, or the first part of a long one.
pub(super) async fn exchange(
    sender: &mut SendRequest<RequestBody>, request: Request<RequestBody>, write_progress: &WriteProgress,
    conditions: &StreamConditions<'_>,
) -> Result<ResponsePart, BodyError> {
    let answer = sender.send_request(request).await?;
    write_progress.answer_head_received();
    let (head, body) = answer.into_parts();
    let length = body.size_hint().exact();
    // A close-delimited body could be truncated unnoticed, so it is accepted only if the head announces the close.
    let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    if length.is_none() && !chunked && !announces_close(&head.headers) {
        return Err("the response has no length, no chunked encoding and no Connection: close".into());
    }
    let keep = length.is_some() || chunked;
    let outcome = match head.status {
        StatusCode::OK => {
            let mut headers = head.headers;
            strip(&mut headers);
            return Ok(match gather(body, length, conditions, write_progress).await? {
                Gathered::Whole(body) => {
                    ResponsePart::Whole(Outcome::Served, Some(Reply { headers, body: body.into() }), keep)
                }
                Gathered::Partial(first, rest) => {
                    let (stream, progress, end) = AnswerStream::new(first, rest);
                    ResponsePart::Long(Reply { headers, body: AnswerBody::long(stream) }, progress, end)
                }
            });
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
            if is_marked_unprocessed(&head.headers) =>
        {
            Outcome::Full
        }
        _ => Outcome::Error,
    };
    let is_read = discard(body).await;
    Ok(ResponsePart::Whole(outcome, None, keep && is_read && head.status != StatusCode::SWITCHING_PROTOCOLS))
}

/// Whether an answer is known to be long by its declared length.
fn is_declared_long(length: Option<u64>) -> bool {
    length.is_some_and(|length| length > body::MAX_BUFFERED_BODY as u64)
}

/// Reads and drops the body of an answer that is not passed on. Returns whether it was complete and not too long.
async fn discard(mut body: Incoming) -> bool {
    let mut left = body::MAX_BUFFERED_BODY;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        let length = frame.data_ref().map_or(0, |data| data.len());
        match left.checked_sub(length) {
            Some(rest) => left = rest,
            None => return false,
        }
    }
    true
}

/// Whether an answer has `Connection: close`.
fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|value| value.trim().eq_ignore_ascii_case("close"))
}

/// A buffered answer body.
enum Gathered {
    /// The complete body.
    Whole(BufferedBody),
    /// The first part and the stream of the rest.
    Partial(BufferedBody, Incoming),
}

/// Buffers a short answer completely, and a long one only until it is known to be long. One of unknown length that has begun
/// and is incomplete after some time is passed on if it is admitted, see [`sandgap_driver::stream_admission`]: from then on
/// only its backend, its client or the process ends it. Without memory for more, the rest is passed on as it arrives.
async fn gather(
    mut incoming: Incoming, length: Option<u64>, conditions: &StreamConditions<'_>,
    write_progress: &WriteProgress,
) -> Result<Gathered, BodyError> {
    let begun = Instant::now();
    let max_wait = max_wait(length, conditions.answer_by)?;
    let memory = conditions.memory;
    let mut buffer = BodyBuffer::new(&memory.answers, length);
    let mut was_denied = false;
    let timer = sleep(max_wait.unwrap_or_default());
    tokio::pin!(timer);
    loop {
        let frame = tokio::select! {
            biased;
            frame = incoming.frame() => frame,
            () = &mut timer, if max_wait.is_some() && (is_declared_long(length) || !buffer.is_empty()) => {
                if length.is_none() && conditions.awaits_replacement(begun, write_progress) {
                    timer.as_mut().reset(Instant::now() + ADMISSION_INTERVAL);
                    continue;
                }
                if is_declared_long(length) || conditions.admission.admits(conditions.backend) {
                    return Ok(Gathered::Partial(buffer.finish(), incoming));
                }
                if !std::mem::replace(&mut was_denied, true) {
                    conditions.diagnostics.count(Event::Stream, "not_admitted");
                }
                timer.as_mut().reset(Instant::now() + ADMISSION_INTERVAL);
                continue;
            }
        };
        let Some(frame) = frame else { return Ok(Gathered::Whole(buffer.finish())) };
        let Ok(data) = frame?.into_data() else { continue };
        let has_room = memory.gauge.admits(Step::Answer(buffer.len()));
        let pushed = if has_room { buffer.push(&data) } else { Err(Unbuffered(&data)) };
        if let Err(rest) = pushed {
            let mut first = buffer.finish();
            first.append_unreserved(rest); // at most one part
            return Ok(Gathered::Partial(first, incoming));
        }
        if buffer.len() > body::MAX_BUFFERED_BODY {
            return Ok(Gathered::Partial(buffer.finish(), incoming));
        }
    }
}

/// How long the start of an answer is buffered before it is passed on incomplete; `None` for one that is known to be short.
fn max_wait(length: Option<u64>, answer_by: &AnswerBy) -> Result<Option<Duration>, BodyError> {
    match length {
        Some(length) if length <= body::MAX_BUFFERED_BODY as u64 => Ok(None),
        Some(length) if length > body::MAX_ANSWER_BODY => {
            Err("the response exceeds the maximum length".into())
        }
        Some(_) => Ok(Some(MAX_GATHER_DECLARED)),
        None => {
            let left = answer_by.instant().saturating_duration_since(Instant::now());
            Ok(Some((left / GATHER_DIVISOR).min(MAX_GATHER)))
        }
    }
}
