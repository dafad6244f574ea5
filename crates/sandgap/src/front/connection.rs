//! One client's connection, from its accept to its end.

use std::convert::Infallible;
use std::io;
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
use super::admission::{Client, Stage};
use super::answer::{Reason, plain};
use super::closing::{self, Closing};
use super::limits::{BUSY, CUT, GRACE, HEAD_SIZE, LINGER, READER, WHOLE};
use crate::body::Answering;
use crate::diagnostics::Event;
use crate::socket::Socket;

impl Frontend {
    /// Serves a connection to its end.
    pub(super) async fn connection(self: &Rc<Self>, stream: Socket, client: &Rc<Client>) {
        let reason = self.serve_connection(stream, client).await;
        self.diagnostics.count(Event::Close, reason);
        self.diagnostics.trace("closed", || json!({"connection": client.number, "reason": reason}));
    }

    /// Serves a connection and tells why it has ended.
    async fn serve_connection(self: &Rc<Self>, stream: Socket, client: &Rc<Client>) -> &'static str {
        let service = service_fn(|request| {
            let (front, client, stream) = (self.clone(), client.clone(), stream.clone());
            async move {
                if client.stage.get() == Stage::Idle {
                    client.due.set(Instant::now() + WHOLE); // its head came along with the request before
                }
                client.whole.set(false);
                let old = request.version() == Version::HTTP_10;
                // A request that came while its connection was waiting to be accepted is as old as that.
                let queued = client.queued.take().filter(|_| client.accepted.elapsed() < GRACE);
                let came = queued.unwrap_or_else(|| client.heard.get());
                front.turn(&client, Stage::Busy);
                let over = front.busy.get() > front.budget.get() / BUSY.1 * BUSY.0;
                let mut response = if over {
                    plain(StatusCode::SERVICE_UNAVAILABLE, "too many connections")
                } else {
                    front.respond(request, came, &client).await
                };
                client.head.borrow_mut().clear();
                if let Some(Reason(reason)) = response.extensions().get() {
                    front.diagnostics.count(Event::Refusal, reason);
                }
                let long = matches!(response.body(), Answering::Long(..));
                let told = response.body().size_hint().exact().is_some();
                client.unframed.set(old && long && !told);
                if long {
                    stream.wait_for_reader(READER);
                }
                // Where one request was wrong, nobody knows where the next one would begin.
                let spoilt = client.flooded.get() || response.status().is_client_error();
                if over || spoilt || front.serving.sends_away() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                } else if !long {
                    front.turn(&client, Stage::Idle);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let io = Heard { stream: stream.clone(), client: client.clone(), front: self.clone() };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(HEAD_SIZE)
            .serve_connection(TokioIo::new(io), service);
        let disconnected = client.disconnected(&stream, self.upstreams.view());
        tokio::pin!(connection, disconnected);
        let mut cut = None;
        let mut closed_idle = None;
        let outcome = loop {
            let wait = cut.unwrap_or_else(Instant::now);
            tokio::select! {
                biased; // what has come in counts before a wish to close
                outcome = connection.as_mut() => break outcome,
                () = &mut disconnected => return "client_left", // and its request goes with it
                () = client.close.notified() => {
                    let (stage, reason) = (client.stage.get(), client.close_reason.get());
                    match closing::decide(stage, reason, || stream.is_quiet()) {
                        Closing::Now => return reason.name(),
                        // A later look closes the rest.
                        Closing::ReadFirst => {
                            self.turn(client, stage);
                            continue;
                        }
                        Closing::Keep => continue,
                        Closing::AfterAnswer => {}
                    }
                    if stage == Stage::Idle {
                        closed_idle = Some(client.ticket.get());
                    }
                    connection.as_mut().graceful_shutdown();
                    cut = cut.or(Some(Instant::now() + CUT));
                }
                // An answer that nobody reads would hold its socket for ever.
                () = sleep_until(wait), if cut.is_some() => {
                    if client.stage.get() != Stage::Busy {
                        return "nothing_moved";
                    }
                    cut = Some(Instant::now() + CUT);
                }
            }
        };
        // Of an answer that only the connection's end delimits, a reset alone tells that it is not whole.
        if outcome.is_err() && client.unframed.get() {
            stream.reset_at_close();
            return "answer_cut";
        }
        // A request that crosses the close of an idle connection must not be read and dropped: only a reset tells the
        // client that nobody has taken it.
        if closed_idle == Some(client.ticket.get()) {
            return client.close_reason.get().name();
        }
        // Malformed HTTP has been answered by hyper; a client that left needs nothing.
        if !client.ended.get() {
            self.turn(client, Stage::Refused);
            tokio::select! {
                _ = timeout(LINGER.0, linger(&stream, client)) => {}
                () = client.close.notified() => {}
            }
        }
        if outcome.is_err() { "broken" } else { "ended" }
    }
}

/// A client's socket. It notes when a request begins, and when the client has ended its sending.
struct Heard {
    stream: Socket,
    client: Rc<Client>,
    front: Rc<Frontend>,
}

impl AsyncRead for Heard {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let mut ahead = self.client.ahead.borrow_mut();
        if ahead.is_empty() {
            std::task::ready!(self.stream.poll_read(cx, buf))?;
            self.client.heard.set(self.front.upstreams.view().arrived_at());
        } else {
            let now = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..now]);
            ahead.drain(..now);
            self.client.heard.set(self.client.ahead_came.get());
        }
        drop(ahead);
        if buf.filled().len() == before {
            self.client.ended.set(true);
        }
        let stage = self.client.stage.get();
        if matches!(stage, Stage::Silent | Stage::Idle | Stage::Begun) {
            let mut head = self.client.head.borrow_mut();
            let room = HEAD_SIZE.saturating_sub(head.len());
            head.extend_from_slice(&buf.filled()[before..][..room.min(buf.filled().len() - before)]);
        }
        if matches!(stage, Stage::Silent | Stage::Idle) {
            if stage == Stage::Idle {
                self.client.due.set(Instant::now() + WHOLE);
            }
            self.front.turn(&self.client, Stage::Begun);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Heard {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.stream.poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.end_sending())
    }
}

/// Ends the sending and waits until the client ends its own, within bounds. What it still sends of a request that was
/// not read whole is read and dropped, as a close over it would reset the connection before the answer has been read.
/// But behind a request that was read whole stands the answer, and what comes then is a request that crosses the close:
/// it stays unread, so that the close resets it and its client knows that nobody has taken it.
async fn linger(stream: &Socket, client: &Client) {
    if stream.end_sending().is_err() {
        return;
    }
    let spoilt = client.flooded.get() || !client.ahead.borrow().is_empty();
    if client.whole.get() && !spoilt {
        stream.heard().await;
    } else {
        stream.drain(LINGER.1).await;
    }
}
