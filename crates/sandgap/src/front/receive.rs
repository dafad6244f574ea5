//! Receiving a request's body: a short one whole, a long one's first part.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::body::{self, Pace, ReadAheadBudget, Trouble, Upload};
use crate::upstream::Payload;
use crate::view::View;

/// A body, and whether its client has been waited for: then its time counts from here.
pub(super) struct Received {
    pub(super) body: Payload,
    pub(super) late: bool,
}

/// What a client is told of its body's fault.
pub(super) fn told(trouble: Trouble) -> (StatusCode, &'static str) {
    match trouble {
        Trouble::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        Trouble::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body came too late"),
        Trouble::Malformed => (StatusCode::BAD_REQUEST, "the body is malformed"),
    }
}

/// Receives what has to be there before a request can go on. One that is told to be too long never comes here.
pub(super) async fn receive(
    mut incoming: Incoming, read_ahead: &Rc<ReadAheadBudget>, view: &Rc<View>,
) -> Result<Received, Trouble> {
    let length = incoming.size_hint().exact();
    let mut pace = Pace::default();
    let mut have: Vec<Bytes> = Vec::new();
    loop {
        let until = pace.blocked(Instant::now());
        let frame = timeout_at(until, incoming.frame()).await.map_err(|_| Trouble::TooSlow)?;
        let Some(frame) = frame else {
            return Ok(Received { body: Payload::Short(body::join(have)), late: pace.has_waited() });
        };
        let Ok(data) = frame.map_err(|_| Trouble::Malformed)?.into_data() else { continue };
        pace.moved(Instant::now(), data.len());
        have.push(data);
        if pace.passed() > body::WHOLE as u64 {
            let (budget, view) = (read_ahead.clone(), view.clone());
            let upload = Upload::new(body::join(have), incoming, pace, length, budget, view);
            return Ok(Received { body: Payload::Long(upload), late: pace.has_waited() });
        }
    }
}
