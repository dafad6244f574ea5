//! Handles a request from its head to its single final answer.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri};
use serde_json::json;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::Instant;
use wharfhitch::{Effect, RequestId};

use super::admission::{AwaitingAnswer, Client};
use super::head::{ParsedHead, target};
use super::limits::MAX_EVICTION_TURNS;
use super::receive::{Receiver, error_response};
use super::{Frontend, RequestProgress};
use crate::body::{self, AnswerBody, BodyFault, Upload};
use crate::event::{Answer, Arrival, Input, InputSender};
use crate::memory::Step;
use crate::upstream::{Forwarded, Outgoing, Payload, Reply, strip};

impl Frontend {
    /// Answers a request whose head arrived at `arrived`.
    pub(super) async fn respond(
        self: &Rc<Self>, request: Request<Incoming>, arrived: Instant, client: &Rc<Client>,
    ) -> Response<AnswerBody> {
        if request.uri().path() == "/up" {
            let up = self.serving.is_up();
            return plain(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let (head, body) = request.into_parts();
        let parsed = match self.check(&head.method, &head.uri, &head.headers) {
            Ok(parsed) => parsed,
            Err((status, text)) => return plain(status, text),
        };
        let taken = match parsed.acceptance.transpose() {
            Ok(taken) => taken,
            Err(wait) => return refused(Some(wait.as_secs_f64() * 1000.0)),
        };
        // With both Transfer-Encoding and Content-Length the length is ambiguous and may hide a second request (request
        // smuggling), and hyper shows only one of the headers.
        if head.headers.contains_key(header::TRANSFER_ENCODING) && !client.has_chunked_framing_only() {
            return plain(StatusCode::LENGTH_REQUIRED, "the length must be told once");
        }
        drop(client.head.take());
        let head_bytes = head_size(&head.uri, &head.headers);
        if !self.has_memory(Step::Request(head_bytes)).await {
            return no_memory();
        }
        if body.size_hint().lower() > body::MAX_REQUEST_BODY {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        let Some(open_id) = self.request_ids.take(&parsed.id) else {
            return plain(StatusCode::CONFLICT, "a request with this id is open");
        };
        let receiving_guard = (!body.is_end_stream()).then(|| self.receiving.add(client));
        let receiver = Receiver {
            client,
            memory: &self.memory,
            receiving: &self.receiving,
            view: self.upstreams.view(),
        };
        let received = match receiver.receive(body).await {
            Ok(received) => received,
            Err(fault) => return unreceived(fault),
        };
        if !self.has_memory(Step::Forward(head_bytes)).await {
            return no_memory();
        }
        let reserved = self.memory.gauge.reserve_request(head_bytes);
        // The client's timeout counts from its last byte.
        let arrived = if received.has_waited { client.last_read.get() } else { arrived };
        let deadline = arrived + parsed.patience;
        let body = received.body;
        let upload = match &body {
            Payload::Long(upload) => Some(upload.clone()),
            Payload::Short(_) => None,
        };
        if let Some(upload) = upload.as_ref().filter(|u| u.is_read()) {
            upload.set_received(arrived);
        }
        let receiving_guard = receiving_guard.filter(|_| upload.is_some());
        if upload.is_some() && !self.has_room_for_upload().await {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "too many long requests");
        }
        let uploading = upload.as_ref().map(|_| CountGuard::new(self, |f| &f.long_requests));
        let mut headers = head.headers;
        strip(&mut headers);
        let lease = taken.and_then(|taken| {
            // Overwrites a version header from the client: only the proxy sets it.
            if let Some((name, version)) = taken.header {
                headers.insert(name, version);
            }
            taken.lease
        });
        let id = RequestId(self.next_number());
        let (answer, answered) = oneshot::channel();
        let ParsedHead { class, effect, tenant, key, hint, generation, patience, .. } = parsed;
        let max_concurrent_attempts = generation.max_concurrent_attempts();
        self.diagnostics.trace("asked", || {
            let left = deadline.saturating_duration_since(Instant::now()).as_secs_f64();
            json!({"request": id.0, "id": &*parsed.id, "connection": client.number, "left_s": left})
        });
        let is_repeatable = effect != Effect::Unsafe;
        let uri = target(&head.uri);
        let message = Outgoing { class, is_repeatable, method: head.method, uri, headers, body, patience };
        let progress = open_id.progress.clone();
        self.input_sender.send(Input::Request(Box::new(Arrival {
            id,
            class,
            effect,
            max_concurrent_attempts,
            tenant,
            key,
            hint,
            deadline,
            upload: upload.as_ref().map(|_| patience),
            exchange: Rc::new(Forwarded {
                message,
                upstreams: self.upstreams.clone(),
                progress: progress.clone(),
                hold: (open_id, generation, uploading),
            }),
            lease,
            answer,
        })));
        if let Some(upload) = &upload {
            let input_sender = self.input_sender.clone();
            upload.on_received(move |at| input_sender.send(Input::Received(id, at)));
        }
        // Hyper drops this future when the client disconnects.
        let input_sender = &self.input_sender;
        let mut disconnect_guard = DisconnectGuard { input_sender, id, progress, is_waiting: true };
        let awaiting = AwaitingAnswer::new(client, upload.as_ref());
        let answer = tokio::select! {
            biased;
            answer = answered => answer,
            // The guard reports the disconnect to the driver.
            fault = stopped(upload.as_deref(), client) => return unreceived(fault),
        };
        drop((awaiting, receiving_guard, reserved));
        disconnect_guard.is_waiting = false;
        if let (Some(fault), Ok(Answer::Refused(_) | Answer::Failed)) =
            (upload.and_then(|u| u.fault()), &answer)
        {
            return unreceived(fault);
        }
        match answer {
            Ok(Answer::Served(reply)) => {
                let Ok(reply) = reply.downcast::<Reply>() else {
                    // The reply was not made by the HTTP upstream.
                    return plain(StatusCode::BAD_GATEWAY, "failed");
                };
                if reply.body.short().is_none() {
                    let length = reply.body.size_hint().exact();
                    let is_long = length.is_none_or(|length| length > body::MAX_BUFFERED_BODY as u64);
                    // It would hold memory for as long as its client reads. A safe request may be refused although it has run.
                    if is_long && effect == Effect::Safe && !self.has_memory(Step::LongAnswer).await {
                        return no_memory();
                    }
                    client.begin_long_answer(CountGuard::new(self, |f| &f.long_answers));
                }
                let mut response = Response::new(reply.body);
                *response.headers_mut() = reply.headers;
                response
            }
            Ok(Answer::Refused(retry_after_ms)) => refused(retry_after_ms),
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
        }
    }
}

impl Frontend {
    /// Whether another long request may be in progress. If there are too many, one is given up whose client has stopped
    /// sending.
    async fn has_room_for_upload(&self) -> bool {
        let has_room = || self.long_requests.get() < self.memory.max_uploads.get();
        if !has_room() && !self.receiving.evict_most_stalled(self.now()) {
            return false;
        }
        for _ in 0..MAX_EVICTION_TURNS {
            if has_room() {
                return true;
            }
            yield_now().await;
        }
        has_room()
    }

    /// The time up to which everything that has arrived has been read.
    pub(super) fn now(&self) -> Instant {
        self.upstreams.view().arrived_at()
    }
}

/// Waits until a long request is given up because its client has stopped sending; never returns for other requests.
async fn stopped(upload: Option<&Upload>, client: &Client) -> BodyFault {
    let Some(upload) = upload else { return std::future::pending().await };
    let fault = tokio::select! {
        biased;
        () = upload.stopped() => BodyFault::TooSlow,
        () = client.eviction.evicted() => BodyFault::Evicted,
    };
    upload.abandon(fault);
    fault
}

/// The answer to a request whose body was not received completely. What may still come of it ends the connection.
fn unreceived(fault: BodyFault) -> Response<AnswerBody> {
    let (status, text) = error_response(fault);
    let mut response = plain(status, text);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Size of a request's head in bytes.
fn head_size(uri: &Uri, headers: &HeaderMap) -> usize {
    let target = uri.path_and_query().map_or(0, |target| target.as_str().len());
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum::<usize>() + target
}

/// The answer to a request for which there is no memory. Its connection closes, which frees what it holds.
fn no_memory() -> Response<AnswerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, NO_MEMORY);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A refusal, with `Retry-After` if the delay in ms is known.
fn refused(retry_after_ms: Option<f64>) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again");
    if let Some(retry_after) = retry_after_ms.and_then(|ms| format!("{:.3}", ms / 1000.0).parse().ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, retry_after);
    }
    response
}

/// Guard that adds one to a counter while it exists.
pub(super) struct CountGuard {
    front: Rc<Frontend>,
    count: fn(&Frontend) -> &Cell<usize>,
}

impl CountGuard {
    fn new(front: &Rc<Frontend>, count: fn(&Frontend) -> &Cell<usize>) -> Self {
        count(front).set(count(front).get() + 1);
        CountGuard { front: front.clone(), count }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = (self.count)(&self.front);
        count.set(count.get() - 1);
        self.front.released.notify_waiters();
    }
}

/// Reports to the driver that the client disconnected, if dropped before the answer.
struct DisconnectGuard<'a> {
    input_sender: &'a InputSender,
    id: RequestId,
    progress: Rc<RequestProgress>,
    is_waiting: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            self.progress.was_abandoned.set(true);
            self.input_sender.send(Input::Disconnected(self.id));
        }
    }
}

/// The text of a refusal for lack of memory.
pub(super) const NO_MEMORY: &str = "too little memory";

/// Why a client gets no backend's answer; attached to the response for the counters.
#[derive(Clone, Copy)]
pub(super) struct Reason(pub(super) &'static str);

/// A response generated by the proxy.
pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(Bytes::from_static(text.as_bytes()).into());
    *response.status_mut() = status;
    if !text.is_empty() {
        response.extensions_mut().insert(Reason(text));
    }
    response
}
