//! Receives a request's body: all of a short one, or the first part of a long one.

use std::rc::Rc;

use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

use super::admission::Client;
use super::receiving::Receiving;
use crate::body::{self, BodyBuffer, BodyFault, Pace, Unbuffered, Upload};
use crate::memory::{Memory, Step};
use crate::upstream::Payload;
use crate::view::View;

/// A received body.
pub(super) struct Received {
    pub(super) body: Payload,
    /// The proxy had to wait for bytes of the body, so the client's timeout counts from the last bytes received, not from
    /// the arrival of the request's head.
    pub(super) has_waited: bool,
}

/// The status and text with which a request is answered whose body could not be received.
pub(super) fn error_response(fault: BodyFault) -> (StatusCode, &'static str) {
    match fault {
        BodyFault::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        BodyFault::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body came too late"),
        BodyFault::Malformed => (StatusCode::BAD_REQUEST, "the body is malformed"),
        BodyFault::Evicted => {
            (StatusCode::SERVICE_UNAVAILABLE, "the body came too late, and others need its room")
        }
        BodyFault::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "too many bodies"),
    }
}

/// What the bodies of a connection's requests are received with.
pub(super) struct Receiver<'a> {
    pub(super) client: &'a Client,
    pub(super) memory: &'a Memory,
    pub(super) receiving: &'a Receiving,
    pub(super) view: &'a Rc<View>,
}

/// Marks a client as one whose body is being received, while this exists.
struct ReceivingMark<'a>(&'a Client);

impl Drop for ReceivingMark<'_> {
    fn drop(&mut self) {
        self.0.set_receiving(false);
    }
}

impl Receiver<'_> {
    /// Receives as much of the body as is needed before the request can be forwarded: all of a body of up to
    /// [`body::MAX_BUFFERED_BODY`] bytes, or a little more than that of a longer one, whose rest is read while it is
    /// forwarded. What is buffered is reserved. The caller has refused bodies whose declared length is too large.
    pub(super) async fn receive(&self, mut incoming: Incoming) -> Result<Received, BodyFault> {
        self.client.set_receiving(true);
        let _mark = ReceivingMark(self.client);
        let length = incoming.size_hint().exact();
        let mut pace = Pace::default();
        let mut buffer = BodyBuffer::new(&self.memory.request_bodies, length);
        loop {
            let wait_until = pace.blocked(Instant::now());
            let frame = tokio::select! {
                biased;
                frame = timeout_at(wait_until, incoming.frame()) => frame.map_err(|_| BodyFault::TooSlow)?,
                () = self.client.eviction.evicted() => return Err(BodyFault::Evicted),
            };
            let Some(frame) = frame else {
                return Ok(Received { body: Payload::Short(buffer.finish()), has_waited: pace.has_waited() });
            };
            let Ok(data) = frame.map_err(|_| BodyFault::Malformed)?.into_data() else { continue };
            pace.received(Instant::now(), data.len());
            self.push(&mut buffer, &data, pace.has_waited()).await?;
            // `passed` is the number of bytes received so far.
            if pace.passed() > body::MAX_BUFFERED_BODY as u64 {
                let (budget, view) = (self.memory.read_ahead.clone(), self.view.clone());
                let upload = Upload::new(buffer.finish(), incoming, pace, length, budget, view);
                return Ok(Received { body: Payload::Long(upload), has_waited: pace.has_waited() });
            }
        }
    }

    /// Buffers a part. Without room for it, a request is given up whose client has stopped sending.
    async fn push(&self, buffer: &mut BodyBuffer, mut part: &[u8], is_slow: bool) -> Result<(), BodyFault> {
        loop {
            let has_room = self.memory.gauge.admits(Step::Body { held: buffer.len(), is_slow });
            let pushed = if has_room { buffer.push(part) } else { Err(Unbuffered(part)) };
            let Err(Unbuffered(rest)) = pushed else { return Ok(()) };
            if !self.receiving.evict_most_stalled(self.view.arrived_at()) {
                return Err(BodyFault::NoMemory);
            }
            yield_now().await; // lets the task of that request free its memory
            part = rest;
        }
    }
}
