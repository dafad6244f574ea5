//! Bodies that pass on as they come. Each side is asked for the next chunk only when the other has taken the one before,
//! so that whoever is slower sets the pace and a long body takes no more room than a short one.

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::sync::oneshot;
use tokio::time::{Instant, Sleep, sleep_until};

/// Bytes up to which a body is held whole and may be sent again, by the protocol.
pub const WHOLE: usize = 64 << 10;
/// Longest body of a request.
pub const LONGEST: u64 = 32 << 20;
/// Longest answer: twice the longest that backends give; more is spoilt.
pub const LONGEST_ANSWER: u64 = 64 << 20;
/// A client may keep us waiting this long at first ...
const GRACE: Duration = Duration::from_millis(700);
/// ... a second more for so many bytes that have come, half of what a slow one sends ...
const LEAST_RATE: f64 = 32e3;
/// ... and so long at once.
const CREDIT: Duration = Duration::from_secs(5);

/// Why a body has not passed.
pub type Broken = Box<dyn std::error::Error + Send + Sync>;

/// Makes one piece of chunks. Most bodies come in one, which is not copied.
pub fn join(mut chunks: Vec<Bytes>) -> Bytes {
    if chunks.len() > 1 { chunks.concat().into() } else { chunks.pop().unwrap_or_default() }
}

/// How long a peer may keep us waiting, by what it has sent: a bucket of time that bytes fill.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    waiting: Option<Instant>,
    credit: Duration,
    waited: bool,
    passed: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { waiting: None, credit: GRACE, waited: false, passed: 0 }
    }
}

impl Pace {
    /// Nothing is there at present; returns until when that may last.
    pub fn blocked(&mut self, now: Instant) -> Instant {
        *self.waiting.get_or_insert(now) + self.credit
    }

    /// Some bytes have come.
    pub fn moved(&mut self, now: Instant, bytes: usize) {
        let waited = self.waiting.take().map_or(Duration::ZERO, |since| now - since);
        self.waited |= waited > Duration::from_millis(1);
        let earned = Duration::from_secs_f64(bytes as f64 / LEAST_RATE);
        self.credit = (self.credit.saturating_sub(waited) + earned).min(CREDIT);
        self.passed += bytes as u64;
    }

    /// Bytes that have come.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Whether the peer has been waited for at all.
    pub fn has_waited(&self) -> bool {
        self.waited
    }
}

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

/// A long request's body: its first part, kept until more has gone out, and the rest as it comes.
pub struct Upload {
    first: RefCell<Bytes>,
    rest: RefCell<Incoming>,
    pace: Cell<Pace>,
    length: Option<u64>,
    spent: Cell<bool>,
    ended: Cell<bool>,
    trouble: Cell<Option<Trouble>>,
}

impl Upload {
    /// A body of which `first` has come, at that pace; its whole length, where that is told.
    pub fn new(first: Bytes, rest: Incoming, pace: Pace, length: Option<u64>) -> Rc<Self> {
        Rc::new(Upload {
            first: RefCell::new(first),
            rest: RefCell::new(rest),
            pace: Cell::new(pace),
            length,
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
        self.ended.get() || self.length.is_some_and(|length| self.pace.get().passed() >= length)
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

    /// The next chunk after the first part.
    fn poll_rest(
        &self, cx: &mut Context, timer: &mut Option<Pin<Box<Sleep>>>,
    ) -> Poll<Option<Result<Bytes, Broken>>> {
        let mut pace = self.pace.get();
        loop {
            let frame = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx);
            let Poll::Ready(frame) = frame else {
                let until = pace.blocked(Instant::now());
                self.pace.set(pace);
                let timer = timer.get_or_insert_with(|| Box::pin(sleep_until(until)));
                timer.as_mut().reset(until);
                ready!(timer.as_mut().poll(cx));
                return Poll::Ready(Some(Err(self.fail(Trouble::TooSlow))));
            };
            *timer = None;
            return Poll::Ready(match frame {
                None => {
                    self.ended.set(true);
                    None
                }
                Some(Err(_)) => Some(Err(self.fail(Trouble::Malformed))),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue }; // trailers may be left out (RFC 9110, 6.5.1)
                    pace.moved(Instant::now(), data.len());
                    self.pace.set(pace);
                    self.spent.set(true);
                    self.first.take();
                    if pace.passed() > LONGEST {
                        Some(Err(self.fail(Trouble::TooLong)))
                    } else {
                        Some(Ok(data))
                    }
                }
            });
        }
    }
}

/// A request's body on its way to a backend.
pub enum Sending {
    /// A short one.
    Whole(Option<Bytes>),
    /// A long one; it goes out once.
    Long(Rc<Upload>, Option<Bytes>, Option<Pin<Box<Sleep>>>),
}

impl Sending {
    /// A long one, from its start.
    pub fn long(upload: &Rc<Upload>) -> Self {
        Sending::Long(upload.clone(), Some(upload.first.borrow().clone()), None)
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
                None => upload.poll_rest(cx, timer).map(|next| next.map(|data| data.map(Frame::data))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Sending::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Sending::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Sending::Long(upload, ..) => upload.length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// Where a long answer stands, for whoever looks after its backend.
pub struct Progress {
    last: Cell<Instant>,
    waits: Cell<bool>,
}

impl Progress {
    /// How long the backend has been waited for at present.
    pub fn silence(&self) -> Duration {
        if self.waits.get() { self.last.get().elapsed() } else { Duration::ZERO }
    }
}

/// A long answer as it comes.
pub struct Stream {
    first: Option<Bytes>,
    rest: Incoming,
    left: Option<u64>,
    passed: u64,
    /// Why it has broken off, to be told once what came before has been written.
    broken: Option<Broken>,
    progress: Rc<Progress>,
    end: Option<oneshot::Sender<bool>>,
}

/// Tells whether a long answer has passed whole; an error where its reader has left.
pub type End = oneshot::Receiver<bool>;

impl Stream {
    /// An answer of which `first` has come.
    pub fn new(first: Bytes, rest: Incoming) -> (Self, Rc<Progress>, End) {
        let progress = Rc::new(Progress { last: Cell::new(Instant::now()), waits: Cell::new(false) });
        let (end, ended) = oneshot::channel();
        let left = rest.size_hint().exact().map(|rest| rest + first.len() as u64);
        let first = Some(first).filter(|f| !f.is_empty());
        (
            Stream { first, rest, left, passed: 0, broken: None, progress: progress.clone(), end: Some(end) },
            progress,
            ended,
        )
    }

    fn end(&mut self, whole: bool) {
        if let Some(end) = self.end.take() {
            let _ = end.send(whole); // nobody may look after it any more
        }
    }

    fn pass(&mut self, data: &Bytes) -> Result<(), Broken> {
        self.passed += data.len() as u64;
        self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
        if self.passed > LONGEST_ANSWER {
            self.end(false);
            return Err("the answer is too long".into());
        }
        Ok(())
    }

    fn poll(&mut self, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if let Some(first) = self.first.take() {
            self.pass(&first)?;
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if let Some(broken) = self.broken.take() {
            return Poll::Ready(Some(Err(broken)));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(cx);
        if self.progress.waits.replace(frame.is_pending()) != frame.is_pending() || frame.is_ready() {
            self.progress.last.set(Instant::now());
        }
        Poll::Ready(match ready!(frame) {
            None => {
                self.end(true);
                None
            }
            Some(Err(e)) => {
                // Hyper writes what it has while it waits, and nothing more after an error.
                self.end(false);
                self.broken = Some(e.into());
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.pass(&data.clone())?;
                }
                Some(Ok(frame))
            }
        })
    }
}

/// An answer's body on its way to a client.
pub enum Answering {
    /// A short one.
    Whole(Option<Bytes>),
    /// A long one, and what is held until it has ended.
    Long(Box<Stream>, Option<Box<dyn Any>>),
}

impl From<Bytes> for Answering {
    fn from(bytes: Bytes) -> Self {
        Answering::Whole(Some(bytes))
    }
}

impl HttpBody for Answering {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Answering::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Answering::Long(stream, _) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Answering::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Answering::Long(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answering::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Answering::Long(stream, _) => stream.left.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_peer_is_waited_for_by_what_it_has_sent() {
        let start = Instant::now();
        let ms = Duration::from_millis;
        let mut pace = Pace::default();
        assert_eq!(pace.blocked(start), start + GRACE);
        assert_eq!(pace.blocked(start + ms(100)), start + GRACE, "it has been waited for since the start");
        pace.moved(start + ms(500), 32_000);
        assert!(pace.has_waited());
        assert_eq!(pace.blocked(start + ms(900)), start + ms(900) + ms(1000) + GRACE - ms(500));
        // At twice the least rate it is never cut off, however long that lasts.
        let (mut pace, mut now) = (Pace::default(), start);
        for _ in 0..500 {
            assert!(pace.blocked(now) > now + ms(500));
            now += ms(500);
            pace.moved(now, 32_000);
        }
        assert_eq!(pace.blocked(now), now + CREDIT, "one that then falls silent is");
    }
}
