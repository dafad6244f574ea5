//! A client's long request on its way to a backend.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use super::{Broken, LONGEST, Pace};
use crate::view::View;

/// What is wrong with a long request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It is longer than [`LONGEST`].
    TooLong,
    /// It came too slowly.
    TooSlow,
    /// Its connection or its form broke.
    Malformed,
}

/// Bytes that are read ahead into one piece of memory.
const PIECE: usize = 64 << 10;
/// What the systems of both sides hold of a connection at most, by their usual settings (tcp(7), tcp_wmem and tcp_rmem): with
/// more than that still to come, a client can't have written its last byte.
const MOST_UNREAD: u64 = 10 << 20;
/// Span between looks for a client that has stopped sending.
const LOOK: Duration = Duration::from_millis(100);
/// Largest part of a body that comes at once: what the parser's buffer holds.
const LARGEST_PART: usize = 16 << 10;

/// Memory that all requests together may read ahead into, while nobody asks for the rest of their bodies.
pub struct ReadAheadBudget {
    /// Pieces that are left.
    left: Cell<usize>,
    /// Those that found none left; each stands here once.
    waiting: RefCell<Vec<Waker>>,
}

impl ReadAheadBudget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(ReadAheadBudget { left: Cell::new(bytes / PIECE), waiting: RefCell::default() })
    }

    fn poll_take(&self, cx: &mut Context) -> Poll<()> {
        if let Some(left) = self.left.get().checked_sub(1) {
            self.left.set(left);
            return Poll::Ready(());
        }
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|waker| waker.will_wake(cx.waker())) {
            waiting.push(cx.waker().clone());
        }
        Poll::Pending
    }

    fn give_back(&self, pieces: usize) {
        self.left.set(self.left.get() + pieces);
        if pieces > 0 {
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }
}

/// What has been read of a body before it was asked for.
struct ReadAhead {
    pieces: VecDeque<BytesMut>,
    budget: Rc<ReadAheadBudget>,
}

impl ReadAhead {
    /// Waits for room for the next part, whatever its size.
    fn poll_room(&mut self, cx: &mut Context) -> Poll<()> {
        if self.pieces.back().is_none_or(|piece| piece.capacity() - piece.len() < LARGEST_PART) {
            ready!(self.budget.poll_take(cx));
            self.pieces.push_back(BytesMut::with_capacity(PIECE));
        }
        Poll::Ready(())
    }

    fn push(&mut self, data: &[u8]) {
        if let Some(piece) = self.pieces.back_mut() {
            piece.extend_from_slice(data);
        }
    }

    fn pop(&mut self) -> Option<Bytes> {
        let piece = self.pieces.pop_front()?;
        self.budget.give_back(1);
        Some(piece.freeze())
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.budget.give_back(self.pieces.len());
    }
}

/// Told when a request's last byte came.
type OnReceived = Box<dyn FnOnce(Instant)>;

/// A long request's body: its first part, kept until more has gone out, and the rest as it comes.
pub struct Upload {
    first: RefCell<Bytes>,
    ahead: RefCell<ReadAhead>,
    rest: RefCell<Incoming>,
    /// Tells since when what is read may have stood unread.
    view: Rc<View>,
    pace: Cell<Pace>,
    length: Option<u64>,
    /// An attempt waits for the next part at present, and is woken once that has come.
    asked: Cell<bool>,
    /// Its end has been read.
    read: Cell<bool>,
    /// When its last byte came from the client, at the latest.
    received: Cell<Option<Instant>>,
    /// All that has come is read, and more is awaited.
    starved: Cell<bool>,
    /// Since when its last byte may stand unread for want of room.
    unread_since: Cell<Option<Instant>>,
    /// Told once when its last byte has come.
    on_received: RefCell<Option<OnReceived>>,
    spent: Cell<bool>,
    ended: Cell<bool>,
    trouble: Cell<Option<Trouble>>,
}

impl Upload {
    /// A body of which `first` has come, at that pace; its whole length, where that is told.
    pub fn new(
        first: Bytes, rest: Incoming, pace: Pace, length: Option<u64>, budget: Rc<ReadAheadBudget>,
        view: Rc<View>,
    ) -> Rc<Self> {
        Rc::new(Upload {
            first: RefCell::new(first),
            ahead: RefCell::new(ReadAhead { pieces: VecDeque::new(), budget }),
            rest: RefCell::new(rest),
            view,
            pace: Cell::new(pace),
            length,
            asked: Cell::new(false),
            read: Cell::new(false),
            received: Cell::default(),
            starved: Cell::default(),
            unread_since: Cell::default(),
            on_received: RefCell::default(),
            spent: Cell::new(false),
            ended: Cell::new(false),
            trouble: Cell::default(),
        })
    }

    /// Whether more than the part that is kept has gone out, or never will.
    pub fn is_spent(&self) -> bool {
        self.spent.get()
    }

    /// Whether all of it has been handed on.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Whether all of it has come in.
    pub fn is_read(&self) -> bool {
        self.read.get() || self.length.is_some_and(|length| self.pace.get().passed() >= length)
    }

    /// When its last byte came from the client, if it has.
    pub fn received_at(&self) -> Option<Instant> {
        self.received.get()
    }

    /// Its last byte came at `at`.
    pub fn set_received(&self, at: Instant) {
        if self.received.get().is_none() {
            self.received.set(Some(at));
            if let Some(tell) = self.on_received.take() {
                tell(at);
            }
        }
    }

    /// Has `tell` told when its last byte has come, at once if it has.
    pub fn on_received(&self, tell: impl FnOnce(Instant) + 'static) {
        match self.received.get() {
            Some(at) => tell(at),
            None => drop(self.on_received.replace(Some(Box::new(tell)))),
        }
    }

    /// The rest is not read for want of room: the last byte may have come from now on.
    fn pause(&self) {
        self.starved.set(false);
        let left = self.length.map_or(0, |length| length.saturating_sub(self.pace.get().passed()));
        if left <= MOST_UNREAD && self.unread_since.get().is_none() {
            self.unread_since.set(Some(Instant::now()));
        }
    }

    /// Its whole length, where that is told.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// What is wrong with it, if anything.
    pub fn trouble(&self) -> Option<Trouble> {
        self.trouble.get()
    }

    fn fail(&self, trouble: Trouble) -> Broken {
        self.spent.set(true);
        self.trouble.set(Some(trouble));
        "the request's body has not come whole".into()
    }

    /// The next part from the connection; `None` at the end.
    fn poll_part(&self, cx: &mut Context) -> Poll<Result<Option<Bytes>, Trouble>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx) else {
                self.unread_since.set(None); // all that has come is read
                self.starved.set(true);
                self.waits_until();
                return Poll::Pending;
            };
            let Some(frame) = frame else {
                self.read.set(true);
                self.set_received(self.unread_since.get().unwrap_or_else(|| self.view.arrived_at()));
                return Poll::Ready(Ok(None));
            };
            let Ok(frame) = frame else { return Poll::Ready(Err(Trouble::Malformed)) };
            let Ok(data) = frame.into_data() else { continue }; // trailers may be left out (RFC 9110, 6.5.1)
            let mut pace = self.pace.get();
            pace.moved(Instant::now(), data.len());
            self.pace.set(pace);
            self.starved.set(false);
            if self.is_read() {
                self.set_received(self.unread_since.get().unwrap_or_else(|| self.view.arrived_at()));
            }
            let fits = pace.passed() <= LONGEST;
            return Poll::Ready(if fits { Ok(Some(data)) } else { Err(Trouble::TooLong) });
        }
    }

    /// Reads on while no attempt waits for the next part, be it that there is none or that its backend is slow, within the
    /// budget: the client's time counts from its last byte, and an end of its sending stands behind what nobody has read;
    /// the system tells of that only once it fits its own buffer.
    pub fn poll_read_ahead(&self, cx: &mut Context) {
        let mut ahead = self.ahead.borrow_mut();
        while !self.is_read() && !self.asked.get() && self.trouble.get().is_none() {
            if ahead.poll_room(cx).is_pending() {
                return self.pause();
            }
            match self.poll_part(cx) {
                Poll::Ready(Ok(Some(data))) => ahead.push(&data),
                Poll::Ready(Err(trouble)) => self.trouble.set(Some(trouble)),
                Poll::Ready(Ok(None)) | Poll::Pending => return,
            }
        }
    }

    /// The client is waited for; returns until when.
    fn waits_until(&self) -> Instant {
        let mut pace = self.pace.get();
        let until = pace.blocked(Instant::now());
        self.pace.set(pace);
        until
    }

    /// Waits until the client has stopped sending for too long, whether or not an attempt waits for more.
    pub async fn stopped(&self) {
        loop {
            sleep(LOOK).await;
            if self.starved.get() && !self.is_read() && self.waits_until() <= Instant::now() {
                return self.trouble.set(Some(Trouble::TooSlow));
            }
        }
    }

    /// The next chunk after the first part.
    fn poll_rest(
        &self, cx: &mut Context, timer: &mut Option<Pin<Box<Sleep>>>,
    ) -> Poll<Option<Result<Bytes, Broken>>> {
        self.asked.set(false);
        if let Some(trouble) = self.trouble.get() {
            return Poll::Ready(Some(Err(self.fail(trouble))));
        }
        if let Some(data) = self.ahead.borrow_mut().pop() {
            self.hand_on();
            return Poll::Ready(Some(Ok(data)));
        }
        if self.read.get() {
            self.ended.set(true);
            return Poll::Ready(None);
        }
        let Poll::Ready(part) = self.poll_part(cx) else {
            let until = self.waits_until();
            let timer = timer.get_or_insert_with(|| Box::pin(sleep_until(until)));
            timer.as_mut().reset(until);
            self.asked.set(true);
            ready!(timer.as_mut().poll(cx));
            self.asked.set(false);
            return Poll::Ready(Some(Err(self.fail(Trouble::TooSlow))));
        };
        *timer = None;
        Poll::Ready(match part {
            Ok(None) => {
                self.ended.set(true);
                None
            }
            Ok(Some(data)) => {
                self.hand_on();
                Some(Ok(data))
            }
            Err(trouble) => Some(Err(self.fail(trouble))),
        })
    }

    /// More than the first part goes out: it can't go out again.
    fn hand_on(&self) {
        self.spent.set(true);
        self.first.take();
    }
}

/// A long request's body as one attempt asks for it.
pub struct Draw(Rc<Upload>);

impl Drop for Draw {
    fn drop(&mut self) {
        self.0.asked.set(false);
    }
}

/// A request's body on its way to a backend.
pub enum Sending {
    /// A short one.
    Whole(Option<Bytes>),
    /// A long one; it goes out once.
    Long(Draw, Option<Bytes>, Option<Pin<Box<Sleep>>>),
}

impl Sending {
    /// A long one, from its start.
    pub fn long(upload: &Rc<Upload>) -> Self {
        Sending::Long(Draw(upload.clone()), Some(upload.first.borrow().clone()), None)
    }
}

impl HttpBody for Sending {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Sending::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Sending::Long(upload, first, timer) => match first.take().filter(|f| !f.is_empty()) {
                Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
                None => upload.0.poll_rest(cx, timer).map(|next| next.map(|data| data.map(Frame::data))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Sending::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Sending::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Sending::Long(upload, ..) => upload.0.length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
