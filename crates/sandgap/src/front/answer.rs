//! Answering: one request, one final answer.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header;
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};
use wharfhitch::RequestId;

use super::Frontend;
use super::head::{Asked, OpenId, target};
use crate::event::{Answer, Arrival, Inbox, Input};
use crate::upstream::{BODY, Forwarded, Outgoing, Reply, strip};

impl Frontend {
    /// Answers a request that came at `came` and has to be whole when it is `due`.
    pub(super) async fn respond(
        &self, request: Request<Incoming>, came: Instant, due: Instant,
    ) -> Response<Full<Bytes>> {
        if request.uri().path() == "/up" {
            let up = self.serving.is_up();
            return plain(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let (head, body) = request.into_parts();
        let asked = match self.check(&head.method, &head.uri, &head.headers) {
            Ok(asked) => asked,
            Err((status, text)) => return plain(status, text),
        };
        // Its length lies or hides a second request where both are told: hyper shows only one of them.
        if head.headers.contains_key(header::TRANSFER_ENCODING) {
            return plain(StatusCode::LENGTH_REQUIRED, "the length must be told");
        }
        if body.size_hint().lower() > BODY as u64 {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        let Some(open) = OpenId::take(&self.ids, &asked.id) else {
            return plain(StatusCode::CONFLICT, "a request with this id is open");
        };
        let deadline = came + asked.patience;
        let body = match timeout_at(deadline.min(due), Limited::new(body, BODY).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body is malformed"),
            Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body came too late"),
        };
        let mut headers = head.headers;
        strip(&mut headers);
        let id = RequestId(self.number());
        let (answer, answered) = oneshot::channel();
        let message = Outgoing { method: head.method, uri: target(&head.uri), headers, body };
        let Asked { class, tenant, key, hint, generation, .. } = asked;
        self.inbox.put(Input::Request(Box::new(Arrival {
            id,
            class,
            tenant,
            key,
            hint,
            deadline,
            exchange: Rc::new(Forwarded {
                message,
                upstreams: self.upstreams.clone(),
                hold: (open, generation),
            }),
            answer,
        })));
        // Hyper drops this future when the client leaves.
        let mut leaves = Leaves { inbox: &self.inbox, id, waits: true };
        let answer = answered.await;
        leaves.waits = false;
        match answer {
            Ok(Answer::Served(reply)) => {
                let Ok(reply) = reply.downcast::<Reply>() else {
                    return plain(StatusCode::BAD_GATEWAY, "failed"); // no HTTP back made it
                };
                let mut response = Response::new(Full::new(reply.body));
                *response.headers_mut() = reply.headers;
                response
            }
            Ok(Answer::Refused(after)) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again");
                if let Some(after) = after.and_then(|ms| format!("{:.3}", ms / 1000.0).parse().ok()) {
                    response.headers_mut().insert(header::RETRY_AFTER, after);
                }
                response
            }
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
        }
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

pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
