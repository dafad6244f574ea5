//! Reading a backend's answer: a short one whole, the beginning of a long one.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{self, HeaderMap};
use hyper::{Request, StatusCode};
use tokio::time::{Instant, sleep};
use wharfhitch::Outcome;

use super::progress::WriteProgress;
use super::{Reply, strip};
use crate::body::{self, Answering, Broken, End, Progress, Sending, Stream};
use crate::event::AnswerBy;

/// The reader of an answer that is told to be long has what has come so far after this span at the latest. What breaks
/// before can still be answered as failed, or made good elsewhere.
const GATHER_LONG: Duration = Duration::from_millis(150);
/// An answer whose length is not told is most likely a short one, of which the last byte counts. It is gathered for this
/// part of the time left, so that one that stops short can be made good elsewhere, and the first bytes of one that turns
/// out long are still in time.
const GATHER_PART: u32 = 2;
/// And for no longer than this, where its request still comes in and no deadline counts yet.
const LONGEST_GATHER: Duration = Duration::from_secs(10);

/// Whether an answer says, once and plainly, that its request was not processed.
fn is_unseen(headers: &HeaderMap) -> bool {
    let mut words = headers.get_all("x-not-processed").iter();
    words.next().is_some_and(|v| v.as_bytes().trim_ascii() == b"1") && words.next().is_none()
}

/// What has come of an answer.
pub(super) enum ResponsePart {
    /// All of it; the flag says whether the connection may be kept.
    Whole(Outcome, Option<Reply>, bool),
    /// The beginning of a long one.
    Long(Reply, Rc<Progress>, End),
}

/// Sends a request and reads the answer, or the beginning of a long one.
pub(super) async fn exchange(
    sender: &mut SendRequest<Sending>, request: Request<Sending>, write_progress: &WriteProgress,
    answer_by: &AnswerBy,
) -> Result<ResponsePart, Broken> {
    let answer = sender.send_request(request).await?;
    write_progress.body_begins();
    let (head, body) = answer.into_parts();
    let length = body.size_hint().exact();
    // A body that only the connection's end delimits may be cut short and nobody could tell, unless the head says
    // that it will end so.
    let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    if length.is_none() && !chunked && !closes(&head.headers) {
        return Err("the answer's length is not told".into());
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
                Gathered::Begun(first, rest) => {
                    let (stream, progress, end) = Stream::new(first, rest);
                    ResponsePart::Long(
                        Reply { headers, body: Answering::Long(Box::new(stream), None) },
                        progress,
                        end,
                    )
                }
            });
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unseen(&head.headers) => {
            Outcome::Full
        }
        _ => Outcome::Error,
    };
    let whole = Limited::new(body, body::WHOLE).collect().await;
    Ok(ResponsePart::Whole(
        outcome,
        None,
        keep && whole.is_ok() && head.status != StatusCode::SWITCHING_PROTOCOLS,
    ))
}

/// Whether an answer says that its connection ends with it.
fn closes(headers: &HeaderMap) -> bool {
    let words = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    words.flat_map(|v| v.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close"))
}

enum Gathered {
    Whole(Bytes),
    Begun(Bytes, Incoming),
}

/// Gathers a short answer whole, and of a long one no more than it takes to tell that it is long.
async fn gather(
    mut incoming: Incoming, length: Option<u64>, answer_by: &AnswerBy,
) -> Result<Gathered, Broken> {
    let span = match length {
        Some(length) if length <= body::WHOLE as u64 => {
            return Ok(Gathered::Whole(incoming.collect().await?.to_bytes()));
        }
        Some(length) if length > body::LONGEST_ANSWER => return Err("the answer is too long".into()),
        Some(_) => GATHER_LONG,
        None => {
            let left = answer_by.instant().saturating_duration_since(Instant::now());
            (left / GATHER_PART).min(LONGEST_GATHER)
        }
    };
    let mut have: Vec<Bytes> = Vec::new();
    let mut size = 0;
    let patience = sleep(span);
    tokio::pin!(patience);
    loop {
        let frame = tokio::select! {
            biased;
            frame = incoming.frame() => frame,
            () = &mut patience, if size > 0 => return Ok(Gathered::Begun(body::join(have), incoming)),
        };
        let Some(frame) = frame else { return Ok(Gathered::Whole(body::join(have))) };
        if let Ok(data) = frame?.into_data() {
            size += data.len();
            have.push(data);
        }
        if size > body::WHOLE {
            return Ok(Gathered::Begun(body::join(have), incoming));
        }
    }
}
