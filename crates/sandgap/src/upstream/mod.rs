//! Attempts at backends. One attempt is one request on one connection; this module never resends a request.

mod attempt;
mod connection;
mod idle;
mod pool;
mod progress;
mod response;
mod reuse;
mod stall_watch;
mod stream;

use std::hash::{Hash as _, Hasher as _};
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use rustc_hash::FxHasher;
use tokio::time::Instant;
use wharfhitch::ClassId;

use crate::body::{AnswerBody, BufferedBody, RequestBody, Upload};
use crate::event::{Attempt, Exchange};
use crate::front::RequestProgress;
pub use pool::Upstreams;

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");

/// A client's request as it is forwarded.
pub struct Outgoing {
    /// Class of the request.
    pub class: ClassId,
    /// Whether it may be repeated, so that an equal request may get an equal answer.
    pub is_repeatable: bool,
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers; hop-by-hop headers are removed.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Payload,
    /// How long the client waits after the request's last byte.
    pub patience: Duration,
}

/// A request's body.
pub enum Payload {
    /// At most [`crate::body::MAX_BUFFERED_BODY`] bytes.
    Short(BufferedBody),
    /// A longer body, streamed as it arrives.
    Long(Rc<Upload>),
}

/// A backend's answer.
pub struct Reply {
    /// End-to-end headers; hop-by-hop headers are removed.
    pub headers: HeaderMap,
    /// The body: buffered, or streamed as it arrives.
    pub body: AnswerBody,
}

/// A client's request and the connections over which it is forwarded. `T` is a guard held until the request is done.
pub struct Forwarded<T> {
    /// The request to forward.
    pub message: Outgoing,
    /// Connections to backends.
    pub upstreams: Rc<Upstreams>,
    /// What becomes of it.
    pub progress: Rc<RequestProgress>,
    /// Guard that lives as long as the request.
    pub hold: T,
}

impl<T: 'static> Exchange for Forwarded<T> {
    fn attempt(self: Rc<Self>, attempt: Attempt) {
        self.progress.was_attempted.set(true);
        tokio::task::spawn_local(async move { self.upstreams.attempt(&self.message, attempt).await });
    }

    fn is_spent(&self) -> bool {
        self.message.is_spent()
    }
}

/// Removes hop-by-hop headers and Content-Length, which is set again when the message is sent.
pub fn strip(headers: &mut HeaderMap) {
    const HOP_BY_HOP: [HeaderName; 9] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    const NONSTANDARD_HOP_BY_HOP: [&str; 2] = ["keep-alive", "proxy-connection"];
    let mut to_remove: Vec<HeaderName> = Vec::new(); // doesn't allocate if nothing is removed
    for name in headers.keys() {
        if HOP_BY_HOP.contains(name) || NONSTANDARD_HOP_BY_HOP.contains(&name.as_str()) {
            to_remove.push(name.clone());
        }
    }
    if to_remove.contains(&header::CONNECTION) {
        let named = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
        to_remove.extend(named.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse().ok()));
    }
    for name in &to_remove {
        headers.remove(name);
    }
}

impl Outgoing {
    /// Hash of what the request asks for: its target and its idempotency key.
    fn question(&self) -> u64 {
        let mut hasher = FxHasher::default();
        self.uri.hash(&mut hasher);
        self.headers.get(IDEMPOTENCY_KEY).hash(&mut hasher);
        hasher.finish()
    }

    /// Whether it can't be sent again because a part of its body was sent and not kept.
    fn is_spent(&self) -> bool {
        matches!(&self.body, Payload::Long(upload) if upload.is_spent())
    }

    /// Whether the body could not be received completely from the client.
    pub(super) fn has_body_fault(&self) -> bool {
        matches!(&self.body, Payload::Long(upload) if upload.fault().is_some())
    }

    /// When the client of a long request stops waiting at the earliest; assumes that its last byte arrives now if it has not
    /// yet been read.
    pub(super) fn patience_ends(&self, upload: &Upload) -> Instant {
        let waiting = self.patience.saturating_sub(upload.read_delay());
        upload.received_at().map_or_else(|| Instant::now() + waiting, |at| at + self.patience)
    }

    /// Builds the request for one attempt; `X-Timeout` gives how long this proxy will wait.
    fn request(&self, until: Instant) -> Option<Request<RequestBody>> {
        let (body, until) = match &self.body {
            Payload::Short(body) => (RequestBody::Short(body.clone()), until),
            Payload::Long(upload) => (RequestBody::long(upload), self.patience_ends(upload).min(until)),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        // Whole milliseconds: formatting integers is cheaper than formatting a float.
        let left = until.saturating_duration_since(Instant::now()).as_millis();
        let left = HeaderValue::from_str(&format!("{}.{:03}", left / 1000, left % 1000)).ok()?;
        request.headers_mut().insert(TIMEOUT, left);
        Some(request)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hop_by_hop_headers_are_not_forwarded() {
        let mut headers = HeaderMap::new();
        for (name, value) in
            [("connection", "x-own, close"), ("x-own", "1"), ("x-kept", "2"), ("te", "trailers")]
        {
            headers.insert(name, HeaderValue::from_static(value));
        }
        strip(&mut headers);
        assert_eq!(headers.len(), 1);
        assert!(headers.contains_key("x-kept"));
    }
}
