//! Attempts at backends. One attempt is one request on one connection, and nothing is ever resent here.

mod attempt;
mod pool;
mod progress;
mod response;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use tokio::time::Instant;

use crate::body::{Answering, Sending, Upload};
use crate::event::{Attempt, Exchange};
pub use pool::Upstreams;

const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");

/// A client's request in the form in which it goes on.
pub struct Outgoing {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Without those of one connection alone.
    pub headers: HeaderMap,
    /// What goes with it.
    pub body: Payload,
    /// How long the client waits, from the request's last byte.
    pub patience: Duration,
}

/// A request's body.
pub enum Payload {
    /// At most [`crate::body::WHOLE`] bytes.
    Short(Bytes),
    /// More, as they come.
    Long(Rc<Upload>),
}

/// A backend's answer.
pub struct Reply {
    /// Without those of one connection alone.
    pub headers: HeaderMap,
    /// Whole, or as it comes.
    pub body: Answering,
}

/// A client's request and the connections by which it goes on. `T` is what is held until it is done with.
pub struct Forwarded<T> {
    /// The request.
    pub message: Outgoing,
    /// How it reaches backends.
    pub upstreams: Rc<Upstreams>,
    /// Held as long as the request.
    pub hold: T,
}

impl<T: 'static> Exchange for Forwarded<T> {
    fn attempt(self: Rc<Self>, attempt: Attempt) {
        tokio::task::spawn_local(async move { self.upstreams.attempt(&self.message, attempt).await });
    }

    fn is_spent(&self) -> bool {
        matches!(&self.message.body, Payload::Long(upload) if upload.is_spent())
    }
}

/// Takes out the headers that concern one connection alone, and the length, which is set anew.
pub fn strip(headers: &mut HeaderMap) {
    const FIXED: [HeaderName; 9] = [
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
    const NAMED: [&str; 2] = ["keep-alive", "proxy-connection"];
    let mut out: Vec<HeaderName> = Vec::new(); // allocates nothing where nothing goes
    for name in headers.keys() {
        if FIXED.contains(name) || NAMED.contains(&name.as_str()) {
            out.push(name.clone());
        }
    }
    if out.contains(&header::CONNECTION) {
        let named = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
        out.extend(named.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse().ok()));
    }
    for name in &out {
        headers.remove(name);
    }
}

impl Outgoing {
    /// When the client of a long request gives up, if its last byte came now at the latest.
    pub(super) fn patience_ends(&self, upload: &Upload) -> Instant {
        upload.received_at().unwrap_or_else(Instant::now) + self.patience
    }

    /// The request for one attempt; `X-Timeout` tells how long this proxy will wait.
    fn request(&self, until: Instant) -> Option<Request<Sending>> {
        let (body, until) = match &self.body {
            Payload::Short(bytes) => (Sending::Whole(Some(bytes.clone()).filter(|b| !b.is_empty())), until),
            Payload::Long(upload) => (Sending::long(upload), self.patience_ends(upload).min(until)),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        // Whole milliseconds: what an integer costs to write is a part of what a float does.
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
    fn headers_of_one_connection_go_no_further() {
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
