//! Answering: one request, one final answer.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wharfhitch::RequestId;

use super::Frontend;
use super::admission::{Awaited, Client};
use super::head::{Asked, OpenId, target};
use super::receive::{receive, told};
use crate::body::{self, Answering, Trouble, Upload};
use crate::event::{Answer, Arrival, Inbox, Input};
use crate::upstream::{Forwarded, Outgoing, Payload, Reply, strip};

impl Frontend {
    /// Answers a request whose head came at `came`.
    pub(super) async fn respond(
        self: &Rc<Self>, request: Request<Incoming>, came: Instant, client: &Rc<Client>,
    ) -> Response<Answering> {
        if request.uri().path() == "/up" {
            let up = self.serving.is_up();
            return plain(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let (head, body) = request.into_parts();
        let asked = match self.check(&head.method, &head.uri, &head.headers) {
            Ok(asked) => asked,
            Err((status, text)) => return plain(status, text),
        };
        let taken = match asked.taken.transpose() {
            Ok(taken) => taken,
            Err(wait) => return refused(Some(wait.as_secs_f64() * 1000.0)),
        };
        // Its length lies or hides a second request where both are told, and hyper shows only one of them.
        if head.headers.contains_key(header::TRANSFER_ENCODING) && !client.is_plainly_chunked() {
            return plain(StatusCode::LENGTH_REQUIRED, "the length must be told once");
        }
        if body.size_hint().lower() > body::LONGEST {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        let Some(open) = OpenId::take(&self.ids, &asked.id) else {
            return plain(StatusCode::CONFLICT, "a request with this id is open");
        };
        let received = match receive(body, &self.read_ahead, self.upstreams.view()).await {
            Ok(received) => received,
            Err(trouble) => {
                let (status, text) = told(trouble);
                return plain(status, text);
            }
        };
        // A client counts from its last byte.
        let came = if received.late { client.heard.get() } else { came };
        let deadline = came + asked.patience;
        let body = received.body;
        let upload = match &body {
            Payload::Long(upload) => Some(upload.clone()),
            Payload::Short(_) => None,
        };
        if let Some(upload) = upload.as_ref().filter(|u| u.is_read()) {
            upload.set_received(came);
        }
        if upload.is_some() && self.uploading.get() >= self.uploads {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "too many long requests");
        }
        let uploading = upload.as_ref().map(|_| Counted::new(self, |f| &f.uploading));
        let mut headers = head.headers;
        strip(&mut headers);
        let lease = taken.and_then(|taken| {
            // Whatever a client says of the version: the proxy tells it, or nobody does.
            if let Some((name, version)) = taken.header {
                headers.insert(name, version);
            }
            taken.lease
        });
        let id = RequestId(self.number());
        let (answer, answered) = oneshot::channel();
        let Asked { class, effect, tenant, key, hint, generation, patience, .. } = asked;
        self.diagnostics.trace("asked", || {
            let left = deadline.saturating_duration_since(Instant::now()).as_secs_f64();
            json!({"request": id.0, "id": &*asked.id, "connection": client.number, "left_s": left})
        });
        let message = Outgoing { method: head.method, uri: target(&head.uri), headers, body, patience };
        self.inbox.put(Input::Request(Box::new(Arrival {
            id,
            class,
            effect,
            tenant,
            key,
            hint,
            deadline,
            upload: upload.as_ref().map(|_| patience),
            exchange: Rc::new(Forwarded {
                message,
                upstreams: self.upstreams.clone(),
                hold: (open, generation, uploading),
            }),
            lease,
            answer,
        })));
        if let Some(upload) = &upload {
            let inbox = self.inbox.clone();
            upload.on_received(move |at| inbox.put(Input::Received(id, at)));
        }
        // Hyper drops this future when the client leaves.
        let mut leaves = Leaves { inbox: &self.inbox, id, waits: true };
        let awaited = Awaited::new(client, upload.as_ref());
        let answer = tokio::select! {
            biased;
            answer = answered => answer,
            () = stopped(upload.as_deref()) => {
                let (status, text) = told(Trouble::TooSlow);
                return plain(status, text); // the driver hears that nobody waits any more
            }
        };
        drop(awaited);
        leaves.waits = false;
        if let (Some(trouble), Ok(Answer::Refused(_) | Answer::Failed)) =
            (upload.and_then(|u| u.trouble()), &answer)
        {
            let (status, text) = told(trouble);
            return plain(status, text);
        }
        match answer {
            Ok(Answer::Served(reply)) => {
                let Ok(reply) = reply.downcast::<Reply>() else {
                    return plain(StatusCode::BAD_GATEWAY, "failed"); // no HTTP back made it
                };
                let body = match reply.body {
                    // Its connection is busy until it has ended.
                    Answering::Long(stream, _) => {
                        let counted = Counted::new(self, |f| &f.answering);
                        Answering::Long(stream, Some(Box::new((self.busy_until_dropped(client), counted))))
                    }
                    short => short,
                };
                let mut response = Response::new(body);
                *response.headers_mut() = reply.headers;
                response
            }
            Ok(Answer::Refused(after)) => refused(after),
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
        }
    }
}

/// Waits until the client of a long request has stopped in its middle; for ever for others.
async fn stopped(upload: Option<&Upload>) {
    match upload {
        Some(upload) => upload.stopped().await,
        None => std::future::pending().await,
    }
}

/// Told to come again, after so many ms if that is known.
fn refused(after: Option<f64>) -> Response<Answering> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again");
    if let Some(after) = after.and_then(|ms| format!("{:.3}", ms / 1000.0).parse().ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, after);
    }
    response
}

/// One more of something, for as long as it lives.
struct Counted {
    front: Rc<Frontend>,
    count: fn(&Frontend) -> &Cell<usize>,
}

impl Counted {
    fn new(front: &Rc<Frontend>, count: fn(&Frontend) -> &Cell<usize>) -> Self {
        count(front).set(count(front).get() + 1);
        Counted { front: front.clone(), count }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let count = (self.count)(&self.front);
        count.set(count.get() - 1);
        self.front.left.notify_waiters();
    }
}

/// Tells the driver when the client leaves before its answer.
struct Leaves<'a> {
    inbox: &'a Inbox,
    id: RequestId,
    waits: bool,
}

impl Drop for Leaves<'_> {
    fn drop(&mut self) {
        if self.waits {
            self.inbox.put(Input::Gone(self.id));
        }
    }
}

/// Why a client is not given a backend's answer; kept with the answer for the counters.
#[derive(Clone, Copy)]
pub(super) struct Reason(pub(super) &'static str);

/// An answer of the proxy's own.
pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<Answering> {
    let mut response = Response::new(Bytes::from_static(text.as_bytes()).into());
    *response.status_mut() = status;
    if !text.is_empty() {
        response.extensions_mut().insert(Reason(text));
    }
    response
}
