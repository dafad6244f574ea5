//! Admission and eviction: how many connections are let in, and which give way to others.

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
use super::closing::CloseReason;
use super::limits::{AHEAD, BACKENDS, IDLE_MOST, NEXT, SPARED, WHOLE};
use crate::body::Upload;
use crate::socket::Socket;
use crate::view::View;

/// How far a connection has come. The order is the one in which connections give way to others.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// Refused; only what it still sends is waited for.
    Refused,
    /// It has sent nothing yet.
    Silent,
    /// Between requests.
    Idle,
    /// A part of a head has come.
    Begun,
    /// A request is open. These give way to nobody.
    Busy,
}

/// What is known of a connection.
pub(super) struct Client {
    /// Never used twice in a process.
    pub(super) number: u64,
    pub(super) stage: Cell<Stage>,
    /// Its place among those of its stage, oldest first.
    pub(super) ticket: Cell<u64>,
    /// When the stage began.
    pub(super) since: Cell<Instant>,
    /// When its next request has to be whole.
    pub(super) due: Cell<Instant>,
    pub(super) accepted: Instant,
    /// The earliest time at which it may have come, until its first request has been read.
    pub(super) queued: Cell<Option<Instant>>,
    /// It has ended its sending.
    pub(super) ended: Cell<bool>,
    /// Its request has been read whole.
    pub(super) whole: Cell<bool>,
    /// Of the answer on its way only the connection's end tells where it ends.
    pub(super) unframed: Cell<bool>,
    /// Its request has been read, but for the rest of a long one, and its answer is awaited.
    waits: Cell<bool>,
    /// That rest.
    upload: RefCell<Option<Rc<Upload>>>,
    /// What it has sent behind that request, not yet read by the parser.
    pub(super) ahead: RefCell<Vec<u8>>,
    /// When the last of that came.
    pub(super) ahead_came: Cell<Instant>,
    /// When the last bytes came that the parser has: no request that it finds in them is younger.
    pub(super) heard: Cell<Instant>,
    /// More was sent ahead than is kept.
    pub(super) flooded: Cell<bool>,
    /// Why it was asked to close last.
    pub(super) close_reason: Cell<CloseReason>,
    pub(super) close: Notify,
    /// What has come of a head, until it has been read.
    pub(super) head: RefCell<Vec<u8>>,
}

impl Client {
    /// A connection that has just been accepted; it may have come at `queued` already.
    pub(super) fn new(number: u64, queued: Instant) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Client {
            number,
            stage: Cell::new(Stage::Busy),
            ticket: Cell::new(0),
            since: Cell::new(now),
            due: Cell::new(now + WHOLE),
            accepted: now,
            queued: Cell::new(Some(queued)),
            ended: Cell::new(false),
            whole: Cell::new(false),
            unframed: Cell::new(false),
            waits: Cell::new(false),
            upload: RefCell::default(),
            ahead: RefCell::default(),
            ahead_came: Cell::new(now),
            heard: Cell::new(now),
            flooded: Cell::new(false),
            close_reason: Cell::new(CloseReason::TimeUp),
            close: Notify::new(),
            head: RefCell::default(),
        })
    }

    /// Asks it to close; see [`super::closing`].
    fn ask_to_close(&self, reason: CloseReason) {
        self.close_reason.set(reason);
        self.close.notify_one();
    }

    /// Waits until the client has gone while its answer is awaited.
    pub(super) async fn disconnected(&self, stream: &Socket, view: &View) {
        let mut closing = None;
        poll_fn(|cx| self.poll_disconnected(stream, view, &mut closing, cx)).await;
    }

    /// The parser sees by itself that a client has gone only for as long as nothing unread stands behind the request.
    /// What may be read ahead of it is read here: within a budget the rest of a long body, too. The system tells of an
    /// end behind what then stays unread, if it has room for that.
    fn poll_disconnected<'a>(
        &self, stream: &'a Socket, view: &View, closing: &mut Option<Closing<'a>>, cx: &mut Context,
    ) -> Poll<()> {
        let mut bytes = [MaybeUninit::uninit(); AHEAD]; // not cleared: this is polled with each step of a connection
        while self.waits.get() {
            if self.is_upload_unread(cx) {
                let closing = closing.get_or_insert_with(|| Box::pin(stream.peer_closed()));
                std::task::ready!(closing.as_mut().poll(cx));
                self.ended.set(true);
                return Poll::Ready(());
            }
            let mut buf = ReadBuf::uninit(&mut bytes);
            let came = std::task::ready!(stream.poll_read(cx, &mut buf)).is_ok();
            if !came || buf.filled().is_empty() {
                self.ended.set(true);
                return Poll::Ready(());
            }
            let mut ahead = self.ahead.borrow_mut();
            let kept = buf.filled().len().min(AHEAD - ahead.len());
            ahead.extend_from_slice(&buf.filled()[..kept]);
            self.ahead_came.set(view.arrived_at());
            self.flooded.set(self.flooded.get() || kept < buf.filled().len());
        }
        Poll::Pending
    }

    /// Reads ahead what may be of a long request, and tells whether more of it has still to come.
    fn is_upload_unread(&self, cx: &mut Context) -> bool {
        let upload = self.upload.borrow();
        let Some(upload) = upload.as_ref() else { return false };
        upload.poll_read_ahead(cx);
        !upload.is_read()
    }

    /// Whether the head in hand tells a body's form once: by its chunks, and by no length. A head that came along
    /// with the request before is not at hand, and tells nothing.
    pub(super) fn is_plainly_chunked(&self) -> bool {
        let head = self.head.borrow();
        let Some(end) = head.windows(4).position(|w| w == b"\r\n\r\n") else { return false };
        let lines = head[..end].split(|b| *b == b'\n');
        let names: Vec<&[u8]> =
            lines.filter_map(|l| Some(l[..l.iter().position(|b| *b == b':')?].trim_ascii())).collect();
        let count = |name: &[u8]| names.iter().filter(|n| n.eq_ignore_ascii_case(name)).count();
        count(b"transfer-encoding") == 1 && count(b"content-length") == 0
    }
}

/// Ends when the system has told that the other side has closed.
type Closing<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// A client's answer is awaited for as long as this lives.
pub(super) struct Awaited<'a>(&'a Client);

impl<'a> Awaited<'a> {
    /// The request has been read, but for the rest of a long one.
    pub(super) fn new(client: &'a Client, upload: Option<&Rc<Upload>>) -> Self {
        client.waits.set(true);
        client.upload.replace(upload.cloned());
        Awaited(client)
    }
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        self.0.waits.set(false);
        let upload = self.0.upload.take();
        self.0.whole.set(upload.is_none_or(|u| u.is_read()));
    }
}

/// See [`Frontend::busy_until_dropped`].
pub(super) struct BusyUntilDropped {
    front: Rc<Frontend>,
    client: Rc<Client>,
}

impl Drop for BusyUntilDropped {
    fn drop(&mut self) {
        if self.client.stage.get() == Stage::Busy {
            self.front.turn(&self.client, Stage::Idle);
        }
    }
}

impl Frontend {
    /// Connections that are let in: what backends leave of the budget, less a little for what they need next. They are
    /// left a part in any case: clients that stay may fill the rest before the first request goes out.
    pub(super) fn most(&self) -> usize {
        let budget = self.budget.get();
        (budget - budget / NEXT).saturating_sub(self.upstreams.in_use().max(budget / BACKENDS))
    }

    /// Moves a connection to another stage.
    pub(super) fn turn(&self, client: &Rc<Client>, stage: Stage) {
        let mut standing = self.standing.borrow_mut();
        match standing.get_mut(client.stage.get() as usize) {
            Some(old) => drop(old.remove(&client.ticket.get())),
            None => self.busy.set(self.busy.get() - 1),
        }
        client.ticket.set(self.number());
        client.stage.set(stage);
        client.since.set(Instant::now());
        match standing.get_mut(stage as usize) {
            Some(new) => drop(new.insert(client.ticket.get(), client.clone())),
            None => self.busy.set(self.busy.get() + 1),
        }
    }

    /// Keeps a connection from giving way until what is returned is dropped.
    pub(super) fn busy_until_dropped(self: &Rc<Self>, client: &Rc<Client>) -> BusyUntilDropped {
        BusyUntilDropped { front: self.clone(), client: client.clone() }
    }

    /// Asks the one that is the first to give way to close, if any has stood long enough; it is asked once. With
    /// `late`, those that have sent nothing are not spared: who comes is at least as likely to.
    pub(super) fn make_room(&self, late: bool) -> bool {
        let mut standing = self.standing.borrow_mut();
        for (stage, (all, spared)) in standing.iter_mut().zip(SPARED).enumerate() {
            let spared = if late && stage <= Stage::Silent as usize { Duration::ZERO } else { spared };
            let oldest = all.first_entry().filter(|e| e.get().since.get().elapsed() >= spared);
            if let Some(oldest) = oldest {
                oldest.remove().ask_to_close(CloseReason::Evicted);
                return true;
            }
        }
        false
    }

    pub(super) fn close_all(&self, stage: Stage) {
        let standing = self.standing.borrow();
        standing[stage as usize].values().for_each(|c| c.ask_to_close(CloseReason::SentAway));
    }

    /// Closes the connections whose time is up.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        let standing = self.standing.borrow();
        let unheard = [Stage::Silent, Stage::Begun];
        let unheard =
            unheard.iter().flat_map(|s| standing[*s as usize].values()).filter(|c| c.due.get() <= now);
        let idle = standing[Stage::Idle as usize].values();
        let idle = idle.take_while(|c| now - c.since.get() >= IDLE_MOST);
        unheard.for_each(|c| c.ask_to_close(CloseReason::TimeUp));
        idle.for_each(|c| c.ask_to_close(CloseReason::IdleTooLong));
        drop(standing);
        self.close_idle();
    }

    /// Connections that hold a request, or may: a part of a head, or bytes that nobody has read yet.
    pub(super) fn unfinished(&self) -> usize {
        let standing = self.standing.borrow();
        self.busy.get() + standing[Stage::Silent as usize].len() + standing[Stage::Begun as usize].len()
    }

    /// Where clients are sent away, nobody stays between requests.
    pub(super) fn close_idle(&self) {
        if self.serving.sends_away() {
            self.close_all(Stage::Idle);
        }
    }
}
