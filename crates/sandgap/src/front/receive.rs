//! Receives a request's body: all of a short one, or the first part of a long one.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::body::{self, BodyFault, Pace, ReadAheadBudget, Upload};
use crate::upstream::Payload;
use crate::view::View;

/// A received body.
pub(super) struct Received {
    pub(super) body: Payload,
    /// The body was waited for, so the client's timeout counts from now.
    pub(super) has_waited: bool,
}

/// The status and text for a client whose body failed.
pub(super) fn error_response(fault: BodyFault) -> (StatusCode, &'static str) {
    match fault {
        BodyFault::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        BodyFault::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body came too late"),
        BodyFault::Malformed => (StatusCode::BAD_REQUEST, "the body is malformed"),
    }
}

/// Receives what is needed before a request can be forwarded. The caller has refused bodies whose declared length is
/// too large.
pub(super) async fn receive(
    mut incoming: Incoming, read_ahead: &Rc<ReadAheadBudget>, view: &Rc<View>,
) -> Result<Received, BodyFault> {
    let length = incoming.size_hint().exact();
    let mut pace = Pace::default();
    let mut chunks: Vec<Bytes> = Vec::new();
    loop {
        let until = pace.blocked(Instant::now());
        let frame = timeout_at(until, incoming.frame()).await.map_err(|_| BodyFault::TooSlow)?;
        let Some(frame) = frame else {
            return Ok(Received { body: Payload::Short(body::join(chunks)), has_waited: pace.has_waited() });
        };
        let Ok(data) = frame.map_err(|_| BodyFault::Malformed)?.into_data() else { continue };
        pace.received(Instant::now(), data.len());
        chunks.push(data);
        if pace.passed() > body::MAX_BUFFERED_BODY as u64 {
            let (budget, view) = (read_ahead.clone(), view.clone());
            let upload = Upload::new(body::join(chunks), incoming, pace, length, budget, view);
            return Ok(Received { body: Payload::Long(upload), has_waited: pace.has_waited() });
        }
    }
}
