//! Serves one client connection, from accept to close.

use std::convert::Infallible;
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::body::Body as _;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, sleep_until, timeout};

use super::Frontend;
use super::admission::{AnswerGuard, Client, Stage};
use super::answer::{NO_MEMORY, Reason, plain};
use super::closing::{self, CloseAction};
use super::limits::{
    CLOSE_CHECK_INTERVAL, FIRST_BYTE_GRACE, HEAD_TIMEOUT, LINGER, MAX_BUSY_PART, MAX_HEAD_BYTES,
};
use crate::diagnostics::Event;
use crate::memory::Step;
use crate::socket::{Received, Socket};

impl Frontend {
    /// Serves a connection until it closes and records why.
    pub(super) async fn connection(self: &Rc<Self>, stream: Socket, client: &Rc<Client>) {
        let reason = self.serve_connection(stream, client).await;
        client.end_answer();
        self.diagnostics.count(Event::Close, reason);
        self.diagnostics.trace("closed", || json!({"connection": client.number, "reason": reason}));
    }

    /// Serves a connection and returns why it has closed.
    async fn serve_connection(self: &Rc<Self>, stream: Socket, client: &Rc<Client>) -> &'static str {
        let outcome = loop {
            if client.read_ahead_bytes.borrow().is_empty()
                && let Some(reason) = self.parked(&stream, client).await
            {
                return reason;
            }
            if !self.has_memory(Step::Head(0)).await {
                client.lacks_memory.set(true);
                break Ok(());
            }
            // Boxed, so that a connection without a parser takes little memory. The parser and its buffers are freed before
            // the wait for the client's close.
            client.has_parser.set(true);
            let end = Box::pin(self.serve_requests(&stream, client)).await;
            client.has_parser.set(false);
            match end {
                RequestsEnd::Closed(reason) => return reason,
                RequestsEnd::Finished(outcome) => break outcome,
                RequestsEnd::Parked => {}
            }
        };
        if client.lacks_memory.get() {
            self.refuse(&stream, client).await;
            return "no_memory";
        }
        // For a close-delimited answer only a reset shows the client that it is incomplete.
        if outcome.is_err() && client.is_close_delimited.get() {
            stream.set_reset_on_close();
            return "answer_cut";
        }
        // Hyper has answered malformed HTTP.
        self.linger(&stream, client).await;
        if outcome.is_err() { "broken" } else { "ended" }
    }

    /// Waits without a parser until the client sends something or the connection is closed; then returns why.
    async fn parked(&self, stream: &Socket, client: &Client) -> Option<&'static str> {
        loop {
            tokio::select! {
                biased; // received data takes precedence over a request to close
                () = stream.readable() => {}
                () = client.close.notified() => {
                    // A request that crosses the close is served.
                    if stream.is_quiet() {
                        return Some(client.close_reason.get().name());
                    }
                }
            }
            match stream.received() {
                Received::Nothing => {}
                Received::Bytes => return None,
                Received::End => return Some("ended"),
            }
        }
    }

    /// Refuses a request that can't be read for lack of memory, without a parser.
    async fn refuse(self: &Rc<Self>, stream: &Socket, client: &Rc<Client>) {
        self.diagnostics.count(Event::Refusal, NO_MEMORY);
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{NO_MEMORY}",
            NO_MEMORY.len()
        );
        // The send buffer is empty, as the answers before have been written.
        let _ = poll_fn(|cx| Poll::Ready(stream.poll_write(cx, refusal.as_bytes()))).await;
        client.is_request_read.set(false);
        self.linger(stream, client).await;
    }

    /// Waits for the close of a client that has been answered for the last time. One that has closed its side needs no wait.
    async fn linger(&self, stream: &Socket, client: &Rc<Client>) {
        if client.is_read_closed.get() {
            return;
        }
        self.set_stage(client, Stage::Refused);
        tokio::select! {
            biased; // a close over unread bytes would reset the connection before the client has read the answer
            _ = timeout(LINGER.0, linger(stream, client)) => {}
            () = client.close.notified() => {}
        }
    }

    /// Serves the requests of a connection, up to the last answer.
    async fn serve_requests(self: &Rc<Self>, stream: &Socket, client: &Rc<Client>) -> RequestsEnd {
        let service = service_fn(|request| {
            let (front, client) = (self.clone(), client.clone());
            async move {
                if client.stage.get() == Stage::Idle {
                    // Its head arrived together with the previous request.
                    client.head_deadline.set(Instant::now() + HEAD_TIMEOUT);
                }
                client.is_request_read.set(false);
                client.is_answer_taken.set(false);
                let is_http10 = request.version() == Version::HTTP_10;
                // A request that arrived while its connection was in the accept queue counts from then.
                let queued =
                    client.queued_since.take().filter(|_| client.accepted.elapsed() < FIRST_BYTE_GRACE);
                let arrived = queued.unwrap_or_else(|| client.last_read.get());
                front.set_stage(&client, Stage::Busy);
                let is_over_limit = front.busy.get() > front.budget.get() / MAX_BUSY_PART.1 * MAX_BUSY_PART.0;
                // A client that has stopped half-way makes room; this one is served then, as the limit leaves a reserve.
                let is_over_limit = is_over_limit && !front.receiving.evict_most_stalled(front.now());
                let mut response = if is_over_limit {
                    plain(StatusCode::SERVICE_UNAVAILABLE, "too many connections")
                } else {
                    front.respond(request, arrived, &client).await
                };
                drop(client.head.take());
                if let Some(Reason(reason)) = response.extensions().get() {
                    front.diagnostics.count(Event::Refusal, reason);
                }
                let is_long = response.body().short().is_none();
                let has_length = response.body().size_hint().exact().is_some();
                client.is_close_delimited.set(is_http10 && is_long && !has_length);
                // After a malformed request the start of the next one is unknown.
                let is_out_of_sync =
                    client.read_ahead_overflowed.get() || response.status().is_client_error();
                let closes = is_over_limit || is_out_of_sync || front.serving.sends_away();
                if closes {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                client.closes_after_answer.set(closes);
                Ok::<_, Infallible>(response.map(|body| body.with_guard(Box::new(AnswerGuard(client)))))
            }
        });
        let io = ClientStream { stream: stream.clone(), client: client.clone(), front: self.clone() };
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(io), service);
        let disconnected = client.disconnected(stream, self.upstreams.view());
        tokio::pin!(disconnected);
        let mut cut_at = None;
        let mut closed_idle = None;
        let outcome = loop {
            let cut_time = cut_at.unwrap_or_else(Instant::now);
            tokio::select! {
                biased; // received data takes precedence over a request to close
                outcome = &mut connection => break outcome,
                // Dropping the service future cancels the request.
                () = &mut disconnected => return RequestsEnd::Closed("client_left"),
                () = client.close.notified() => {
                    let (stage, reason) = (client.stage.get(), client.close_reason.get());
                    match closing::decide(stage, reason, || stream.is_quiet()) {
                        CloseAction::Now => return RequestsEnd::Closed(reason.name()),
                        // It is asked to close again after the next sweep.
                        CloseAction::ReadFirst => {
                            self.set_stage(client, stage);
                            continue;
                        }
                        CloseAction::Keep => continue,
                        CloseAction::Refuse => {
                            client.lacks_memory.set(true);
                            break Ok(());
                        }
                        CloseAction::AfterAnswer => {}
                    }
                    if stage == Stage::Idle {
                        closed_idle = Some(client.sequence.get());
                    }
                    Pin::new(&mut connection).graceful_shutdown();
                    cut_at = cut_at.or(Some(Instant::now() + CLOSE_CHECK_INTERVAL));
                }
                () = client.park.notified() => {
                    if client.stage.get() == Stage::Idle && client.is_request_read.get() && cut_at.is_none() {
                        // Bytes of a next request that arrived behind the last one.
                        let unparsed = connection.into_parts().read_buf;
                        client.read_ahead_bytes.borrow_mut().extend_from_slice(&unparsed);
                        client.read_ahead_at.set(client.last_read.get());
                        return RequestsEnd::Parked;
                    }
                }
                // An answer that the client doesn't read would hold its socket forever.
                () = sleep_until(cut_time), if cut_at.is_some() => {
                    if client.stage.get() != Stage::Busy {
                        return RequestsEnd::Closed("nothing_moved");
                    }
                    cut_at = Some(Instant::now() + CLOSE_CHECK_INTERVAL);
                }
            }
        };
        // A request that crosses the close of an idle connection must not be read and dropped: only a reset shows the
        // client that it was not accepted.
        let is_answer_cut = outcome.is_err() && client.is_close_delimited.get();
        if closed_idle == Some(client.sequence.get()) && !is_answer_cut {
            return RequestsEnd::Closed(client.close_reason.get().name());
        }
        RequestsEnd::Finished(outcome)
    }
}

/// How the service of a connection's requests has ended.
enum RequestsEnd {
    /// The connection closes at once, for this reason.
    Closed(&'static str),
    /// The last answer has been written, or the connection has failed.
    Finished(hyper::Result<()>),
    /// The connection is idle, and its parser has been freed.
    Parked,
}

/// A client's socket as hyper sees it. Records when a request starts and when the client closes its sending side.
struct ClientStream {
    stream: Socket,
    client: Rc<Client>,
    front: Rc<Frontend>,
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let stage = self.client.stage.get();
        let is_in_head = matches!(stage, Stage::Silent | Stage::Idle | Stage::ReadingHead);
        // The first part of a head fits the buffer that the parser has.
        let step = Step::Head(self.client.head.borrow().len());
        let needs_memory = is_in_head && step != Step::Head(0);
        if needs_memory && !self.front.memory.gauge.admits(step) && !self.stream.is_quiet() {
            self.client.lacks_memory.set(true);
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        let mut ahead = self.client.read_ahead_bytes.borrow_mut();
        if ahead.is_empty() {
            std::task::ready!(self.stream.poll_read(cx, buf))?;
            self.client.last_read.set(self.front.upstreams.view().arrived_at());
        } else {
            let count = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..count]);
            ahead.drain(..count);
            if ahead.is_empty() {
                *ahead = Vec::new();
            }
            self.client.last_read.set(self.client.read_ahead_at.get());
        }
        drop(ahead);
        if buf.filled().len() == before {
            self.client.is_read_closed.set(true);
        }
        if is_in_head {
            let mut head = self.client.head.borrow_mut();
            let room = MAX_HEAD_BYTES.saturating_sub(head.len());
            head.extend_from_slice(&buf.filled()[before..][..room.min(buf.filled().len() - before)]);
        }
        if matches!(stage, Stage::Silent | Stage::Idle) {
            if stage == Stage::Idle {
                self.client.head_deadline.set(Instant::now() + HEAD_TIMEOUT);
            }
            self.front.set_stage(&self.client, Stage::ReadingHead);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, buffers: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream.poll_write_vectored(cx, buffers);
        if written.is_pending() {
            self.client.writing_blocked(&self.stream);
        }
        written
    }

    /// Bodies are written from where they are, as a copy would stay allocated while the connection is idle.
    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called once everything in hyper's buffer has been written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.front.written(&self.client);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        if self.client.lacks_memory.get() {
            return Poll::Ready(Ok(())); // the refusal follows
        }
        Poll::Ready(self.stream.shutdown_write())
    }
}

/// Closes the sending side and waits, within limits, until the client closes its own. If the request was not read
/// completely, the rest is read and dropped, as a close over unread bytes would reset the connection before the client
/// has read the answer. If it was, any further bytes are a request that crosses the close: they stay unread, so that
/// the close resets the connection and the client knows that the request was not accepted.
async fn linger(stream: &Socket, client: &Client) {
    if stream.shutdown_write().is_err() {
        return;
    }
    let is_out_of_sync = client.read_ahead_overflowed.get() || !client.read_ahead_bytes.borrow().is_empty();
    if client.is_request_read.get() && !is_out_of_sync {
        stream.readable().await;
    } else {
        stream.discard_input(LINGER.1).await;
    }
}
