//! Admission and eviction of connections: how many are accepted, and which are closed when sockets run short.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::ReadBuf;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Frontend;
use super::answer::CountGuard;
use super::closing::CloseReason;
use super::limits::{
    BACKEND_FREE_DIVISOR, BACKEND_RESERVE_DIVISOR, HEAD_TIMEOUT, MAX_IDLE, MAX_READ_AHEAD, MIN_STAGE_AGE,
    PARK_AFTER, READER_TIMEOUT,
};
use super::receiving::Eviction;
use crate::body::Upload;
use crate::socket::Socket;
use crate::view::View;

/// Stage of a connection. The order of the variants is the order of eviction.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// Refused; remaining input is being discarded.
    Refused,
    /// Nothing has been received yet.
    Silent,
    /// Between requests.
    Idle,
    /// A part of a request head has been received.
    ReadingHead,
    /// A request is open. Such connections are never evicted.
    Busy,
}

/// State of a client's connection.
pub(super) struct Client {
    /// Connection number, never reused within a process.
    pub(super) number: u64,
    pub(super) stage: Cell<Stage>,
    /// Orders the connections of a stage, oldest first.
    pub(super) sequence: Cell<u64>,
    /// When the current stage was entered.
    pub(super) since: Cell<Instant>,
    /// Deadline for the complete head of the next request.
    pub(super) head_deadline: Cell<Instant>,
    pub(super) accepted: Instant,
    /// Earliest time at which the connection may have entered the accept queue; cleared by its first request.
    pub(super) queued_since: Cell<Option<Instant>>,
    /// The client has closed its sending side.
    pub(super) is_read_closed: Cell<bool>,
    /// The current request has been read completely.
    pub(super) is_request_read: Cell<bool>,
    /// The HTTP library has taken the whole answer, but may not have written it.
    pub(super) is_answer_taken: Cell<bool>,
    /// The connection closes with the answer.
    pub(super) closes_after_answer: Cell<bool>,
    /// Counts the long answer that is being written.
    long_answer: RefCell<Option<CountGuard>>,
    /// The system has been told how long a client may read nothing.
    has_reader_timeout: Cell<bool>,
    /// The answer being sent is delimited only by the close of the connection.
    pub(super) is_close_delimited: Cell<bool>,
    /// The request has been read, except for the rest of a long body, and awaits its answer.
    awaits_answer: Cell<bool>,
    /// A body is being received that is not yet known to be long.
    is_receiving: Cell<bool>,
    /// Tells the request being received that it is given up.
    pub(super) eviction: Eviction,
    /// The rest of that long body.
    pending_upload: RefCell<Option<Rc<Upload>>>,
    /// Bytes received after that request, not yet passed to the parser.
    pub(super) read_ahead_bytes: RefCell<Vec<u8>>,
    /// When the last of these bytes arrived.
    pub(super) read_ahead_at: Cell<Instant>,
    /// When the last bytes passed to the parser arrived: a request found in them is at least as old.
    pub(super) last_read: Cell<Instant>,
    /// More was received after a request than is kept.
    pub(super) read_ahead_overflowed: Cell<bool>,
    /// Reason of the latest request to close.
    pub(super) close_reason: Cell<CloseReason>,
    pub(super) close: Notify,
    /// Notified when an idle connection should free its parser.
    pub(super) park: Notify,
    /// The connection holds a parser.
    pub(super) has_parser: Cell<bool>,
    /// There is no memory to read the request.
    pub(super) lacks_memory: Cell<bool>,
    /// The bytes of the current head, until its request has been handled.
    pub(super) head: RefCell<Vec<u8>>,
}

impl Client {
    /// Creates the state of an accepted connection, which may have been in the accept queue since `queued_since`.
    pub(super) fn new(number: u64, queued_since: Instant) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Client {
            number,
            stage: Cell::new(Stage::Busy),
            sequence: Cell::new(0),
            since: Cell::new(now),
            head_deadline: Cell::new(now + HEAD_TIMEOUT),
            accepted: now,
            queued_since: Cell::new(Some(queued_since)),
            is_read_closed: Cell::new(false),
            is_request_read: Cell::new(false),
            is_answer_taken: Cell::new(false),
            closes_after_answer: Cell::new(false),
            long_answer: RefCell::default(),
            has_reader_timeout: Cell::new(false),
            is_close_delimited: Cell::new(false),
            awaits_answer: Cell::new(false),
            is_receiving: Cell::new(false),
            eviction: Eviction::default(),
            pending_upload: RefCell::default(),
            read_ahead_bytes: RefCell::default(),
            read_ahead_at: Cell::new(now),
            last_read: Cell::new(now),
            read_ahead_overflowed: Cell::new(false),
            close_reason: Cell::new(CloseReason::TimeUp),
            close: Notify::new(),
            park: Notify::new(),
            has_parser: Cell::new(false),
            lacks_memory: Cell::new(false),
            head: RefCell::default(),
        })
    }

    /// Whether more of the request's body is awaited from the client, and everything that has arrived of it has been read.
    pub(super) fn awaits_body(&self) -> bool {
        self.is_receiving.get() || self.pending_upload.borrow().as_ref().is_some_and(|u| u.awaits_client())
    }

    /// Records whether a body is being received that is not yet known to be long.
    pub(super) fn set_receiving(&self, is_receiving: bool) {
        self.is_receiving.set(is_receiving);
    }

    /// A long answer begins, which counts until it has been written.
    pub(super) fn begin_long_answer(&self, count: CountGuard) {
        self.long_answer.replace(Some(count));
    }

    /// The connection has ended: nothing more is written.
    pub(super) fn end_answer(&self) {
        drop(self.long_answer.take());
    }

    /// The socket accepts no more of an answer: a client that reads nothing for too long is treated as disconnected.
    pub(super) fn writing_blocked(&self, stream: &Socket) {
        if !self.has_reader_timeout.replace(true) {
            stream.set_reader_timeout(READER_TIMEOUT);
        }
    }

    /// Requests that the connection closes; see [`super::closing`].
    pub(super) fn ask_to_close(&self, reason: CloseReason) {
        self.close_reason.set(reason);
        self.close.notify_one();
    }

    /// Waits until the client disconnects while its answer is awaited or a long one is written.
    pub(super) async fn disconnected(&self, stream: &Socket, view: &View) {
        let mut peer_closed = None;
        poll_fn(|cx| self.poll_disconnected(stream, view, &mut peer_closed, cx)).await;
    }

    /// The parser notices a disconnect only while no unread bytes follow the request. This function therefore reads
    /// ahead: bytes after the request and, within a budget, the rest of a long body. For a disconnect behind bytes that
    /// stay unread it relies on the system, which reports it if the bytes fit its buffer.
    fn poll_disconnected<'a>(
        &self, stream: &'a Socket, view: &View, peer_closed: &mut Option<PeerClosed<'a>>, cx: &mut Context,
    ) -> Poll<()> {
        // Uninitialized, as this runs at every poll of the connection.
        let mut bytes = [MaybeUninit::uninit(); MAX_READ_AHEAD];
        while self.awaits_answer.get() {
            if self.is_upload_unread(cx) {
                return self.poll_peer_closed(stream, peer_closed, cx);
            }
            let mut buf = ReadBuf::uninit(&mut bytes);
            let is_ok = std::task::ready!(stream.poll_read(cx, &mut buf)).is_ok();
            if !is_ok || buf.filled().is_empty() {
                self.is_read_closed.set(true);
                return Poll::Ready(());
            }
            let mut ahead = self.read_ahead_bytes.borrow_mut();
            let kept = buf.filled().len().min(MAX_READ_AHEAD - ahead.len());
            ahead.extend_from_slice(&buf.filled()[..kept]);
            self.read_ahead_at.set(view.arrived_at());
            self.read_ahead_overflowed.set(self.read_ahead_overflowed.get() || kept < buf.filled().len());
        }
        if self.long_answer.borrow().is_some() {
            return self.poll_peer_closed(stream, peer_closed, cx);
        }
        Poll::Pending
    }

    /// Waits until the system reports that the client has closed, without reading.
    fn poll_peer_closed<'a>(
        &self, stream: &'a Socket, peer_closed: &mut Option<PeerClosed<'a>>, cx: &mut Context,
    ) -> Poll<()> {
        let peer_closed = peer_closed.get_or_insert_with(|| Box::pin(stream.peer_closed()));
        std::task::ready!(peer_closed.as_mut().poll(cx));
        self.is_read_closed.set(true);
        Poll::Ready(())
    }

    /// Reads ahead in a long request within its budget, and returns whether more of it is to come.
    fn is_upload_unread(&self, cx: &mut Context) -> bool {
        let upload = self.pending_upload.borrow();
        let Some(upload) = upload.as_ref() else { return false };
        upload.poll_read_ahead(cx);
        !upload.is_read()
    }

    /// Whether the buffered head has exactly one Transfer-Encoding and no Content-Length header. Returns false for a
    /// head that arrived together with the previous request, as it is not in the buffer.
    pub(super) fn has_chunked_framing_only(&self) -> bool {
        let head = self.head.borrow();
        let Some(end) = head.windows(4).position(|w| w == b"\r\n\r\n") else { return false };
        let lines = head[..end].split(|b| *b == b'\n');
        let names: Vec<&[u8]> =
            lines.filter_map(|l| Some(l[..l.iter().position(|b| *b == b':')?].trim_ascii())).collect();
        let count = |name: &[u8]| names.iter().filter(|n| n.eq_ignore_ascii_case(name)).count();
        count(b"transfer-encoding") == 1 && count(b"content-length") == 0
    }
}

/// Completes when the system reports that the peer has closed.
type PeerClosed<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Guard: the client awaits its answer while this exists.
pub(super) struct AwaitingAnswer<'a>(&'a Client);

impl<'a> AwaitingAnswer<'a> {
    /// Marks the request as read, except for the rest of a long body.
    pub(super) fn new(client: &'a Client, upload: Option<&Rc<Upload>>) -> Self {
        client.awaits_answer.set(true);
        client.pending_upload.replace(upload.cloned());
        AwaitingAnswer(client)
    }
}

impl Drop for AwaitingAnswer<'_> {
    fn drop(&mut self) {
        self.0.awaits_answer.set(false);
        let upload = self.0.pending_upload.take();
        self.0.is_request_read.set(upload.is_none_or(|u| u.is_read()));
    }
}

/// Guard of an answer's body: once it is dropped, the HTTP library has taken the answer's last byte into its buffer.
pub(super) struct AnswerGuard(pub(super) Rc<Client>);

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.is_answer_taken.set(true);
    }
}

impl Frontend {
    /// Maximum number of client connections: the budget less the sockets of backends and a reserve for their next ones.
    /// A minimum is always reserved for backends, since idle clients could otherwise take every socket before the first
    /// request is forwarded.
    pub(super) fn max_connections(&self) -> usize {
        let budget = self.budget.get();
        (budget - budget / BACKEND_FREE_DIVISOR)
            .saturating_sub(self.upstreams.in_use().max(budget / BACKEND_RESERVE_DIVISOR))
    }

    /// Moves a connection to another stage and restarts the time in it.
    pub(super) fn set_stage(&self, client: &Rc<Client>, stage: Stage) {
        let mut stages = self.by_stage.borrow_mut();
        match stages.get_mut(client.stage.get() as usize) {
            Some(old) => drop(old.remove(&client.sequence.get())),
            None => self.busy.set(self.busy.get() - 1),
        }
        client.sequence.set(self.next_number());
        client.stage.set(stage);
        client.since.set(Instant::now());
        match stages.get_mut(stage as usize) {
            Some(new) => drop(new.insert(client.sequence.get(), client.clone())),
            None => self.busy.set(self.busy.get() + 1),
        }
    }

    /// Everything that the HTTP library has taken has been written to the socket. If that includes the whole answer, the
    /// connection becomes idle.
    pub(super) fn written(&self, client: &Rc<Client>) {
        if client.is_answer_taken.take() {
            drop(client.long_answer.take());
            if client.stage.get() == Stage::Busy && !client.closes_after_answer.get() {
                self.set_stage(client, Stage::Idle);
            }
        }
    }

    /// Evicts the first connection in eviction order that has been in its stage for the minimum time; each connection is
    /// asked once. With `is_overdue`, connections that have sent nothing have no minimum time: a new connection is at
    /// least as likely to send a request. Returns whether a connection was evicted.
    pub(super) fn make_room(&self, is_overdue: bool) -> bool {
        let mut stages = self.by_stage.borrow_mut();
        for (stage, (all, min_age)) in stages.iter_mut().zip(MIN_STAGE_AGE).enumerate() {
            let min_age =
                if is_overdue && stage <= Stage::Silent as usize { Duration::ZERO } else { min_age };
            let oldest = all.first_entry().filter(|e| e.get().since.get().elapsed() >= min_age);
            if let Some(oldest) = oldest {
                oldest.remove().ask_to_close(CloseReason::Evicted);
                return true;
            }
        }
        false
    }

    /// Asks all connections in a stage to close, as clients are sent away.
    pub(super) fn close_all(&self, stage: Stage) {
        let stages = self.by_stage.borrow();
        stages[stage as usize].values().for_each(|c| c.ask_to_close(CloseReason::SentAway));
    }

    /// Asks connections to close whose head deadline or maximum idle time has passed.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        let stages = self.by_stage.borrow();
        let incomplete = [Stage::Silent, Stage::ReadingHead];
        let incomplete = incomplete
            .iter()
            .flat_map(|s| stages[*s as usize].values())
            .filter(|c| c.head_deadline.get() <= now);
        let idle = stages[Stage::Idle as usize].values();
        let idle = idle.take_while(|c| now - c.since.get() >= MAX_IDLE);
        incomplete.for_each(|c| c.ask_to_close(CloseReason::TimeUp));
        let rests = |c: &&Rc<Client>| c.has_parser.get() && now - c.since.get() >= PARK_AFTER;
        stages[Stage::Idle as usize].values().filter(rests).for_each(|c| c.park.notify_one());
        idle.for_each(|c| c.ask_to_close(CloseReason::IdleTooLong));
        drop(stages);
        self.close_idle();
        self.relieve_memory();
    }

    /// Number of connections that have a request or may have one: a part of a head, or bytes not read yet.
    pub(super) fn unfinished(&self) -> usize {
        let stages = self.by_stage.borrow();
        self.busy.get() + stages[Stage::Silent as usize].len() + stages[Stage::ReadingHead as usize].len()
    }

    /// Asks idle connections to close if clients are being sent away.
    pub(super) fn close_idle(&self) {
        if self.serving.sends_away() {
            self.close_all(Stage::Idle);
        }
    }
}
