//! Reads a backend's answer: all of a short one, or the first part of a long one.

use std::hash::Hasher as _;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{self, HeaderMap};
use hyper::{Request, StatusCode};
use rustc_hash::FxHasher;
use sandgap_driver::reuse::AnswerKind;
use tokio::time::{Instant, sleep};
use wharfhitch::Outcome;

use super::progress::WriteProgress;
use super::{Reply, strip};
use crate::body::{self, AnswerBody, AnswerEnd, AnswerProgress, AnswerStream, BodyError, RequestBody};
use crate::event::AnswerBy;

/// Maximum time for which the start of an answer with a long declared length is buffered before it is passed on. A
/// failure within that time can still be answered as failed or retried at another backend.
const MAX_GATHER_DECLARED: Duration = Duration::from_millis(150);
/// An answer of unknown length is most likely a short one, whose last byte counts. It is buffered for the time left
/// divided by this, so that a truncated answer can be retried elsewhere and the first bytes of a long answer are still
/// in time.
const GATHER_DIVISOR: u32 = 2;
/// Upper bound of that time, for when the request is still being received and no deadline applies yet.
const MAX_GATHER: Duration = Duration::from_secs(10);

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
            ResponsePart::Whole(Outcome::Served, Some(reply), _) => match &reply.body {
                AnswerBody::Whole(bytes) => AnswerKind::Success(hash(bytes.as_deref().unwrap_or_default())),
                AnswerBody::Long(..) => AnswerKind::LongSuccess,
            },
            ResponsePart::Whole(Outcome::Full, ..) => AnswerKind::Rejection,
            ResponsePart::Whole(..) => AnswerKind::Failure,
            ResponsePart::Long(..) => AnswerKind::LongSuccess,
        }
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

/// Sends a request and reads the answer, or the first part of a long one.
pub(super) async fn exchange(
    sender: &mut SendRequest<RequestBody>, request: Request<RequestBody>, write_progress: &WriteProgress,
    answer_by: &AnswerBy,
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
            return Ok(match gather(body, length, answer_by).await? {
                Gathered::Whole(bytes) => {
                    ResponsePart::Whole(Outcome::Served, Some(Reply { headers, body: bytes.into() }), keep)
                }
                Gathered::Partial(first, rest) => {
                    let (stream, progress, end) = AnswerStream::new(first, rest);
                    ResponsePart::Long(
                        Reply { headers, body: AnswerBody::Long(Box::new(stream), None) },
                        progress,
                        end,
                    )
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
    let rest = Limited::new(body, body::MAX_BUFFERED_BODY).collect().await;
    Ok(ResponsePart::Whole(
        outcome,
        None,
        keep && rest.is_ok() && head.status != StatusCode::SWITCHING_PROTOCOLS,
    ))
}

/// Whether an answer has `Connection: close`.
fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|value| value.trim().eq_ignore_ascii_case("close"))
}

/// A buffered answer body.
enum Gathered {
    /// The complete body.
    Whole(Bytes),
    /// The first part and the stream of the rest.
    Partial(Bytes, Incoming),
}

/// Buffers a short answer completely, and a long one only until it is known to be long.
async fn gather(
    mut incoming: Incoming, length: Option<u64>, answer_by: &AnswerBy,
) -> Result<Gathered, BodyError> {
    let max_wait = match length {
        Some(length) if length <= body::MAX_BUFFERED_BODY as u64 => {
            return Ok(Gathered::Whole(incoming.collect().await?.to_bytes()));
        }
        Some(length) if length > body::MAX_ANSWER_BODY => {
            return Err("the response exceeds the maximum length".into());
        }
        Some(_) => MAX_GATHER_DECLARED,
        None => {
            let left = answer_by.instant().saturating_duration_since(Instant::now());
            (left / GATHER_DIVISOR).min(MAX_GATHER)
        }
    };
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut size = 0;
    let timer = sleep(max_wait);
    tokio::pin!(timer);
    loop {
        let frame = tokio::select! {
            biased;
            frame = incoming.frame() => frame,
            () = &mut timer, if size > 0 => return Ok(Gathered::Partial(body::join(chunks), incoming)),
        };
        let Some(frame) = frame else { return Ok(Gathered::Whole(body::join(chunks))) };
        if let Ok(data) = frame?.into_data() {
            size += data.len();
            chunks.push(data);
        }
        if size > body::MAX_BUFFERED_BODY {
            return Ok(Gathered::Partial(body::join(chunks), incoming));
        }
    }
}
