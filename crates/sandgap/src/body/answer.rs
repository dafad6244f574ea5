//! A backend's answer on its way to a client.

use std::any::Any;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{Broken, LONGEST_ANSWER, WHOLE};

/// Where a long answer stands, for whoever looks after its backend.
pub struct Progress {
    last: Cell<Instant>,
    waits: Cell<bool>,
    /// Its length is told, and it is a long one.
    told_long: bool,
    /// Bytes that have been passed on.
    passed: Cell<u64>,
}

impl Progress {
    /// How long the backend has been waited for at present.
    pub fn silence(&self) -> Duration {
        if self.waits.get() { self.last.get().elapsed() } else { Duration::ZERO }
    }

    /// Whether nothing shows yet that it is a long one. Its last byte counts then, not its first.
    pub fn may_be_short(&self) -> bool {
        !self.told_long && self.passed.get() <= WHOLE as u64
    }

    /// Whether its backend owes the next byte, and not its reader.
    pub fn waits_for_backend(&self) -> bool {
        self.waits.get()
    }
}

/// A long answer as it comes.
pub struct Stream {
    first: Option<Bytes>,
    rest: Incoming,
    left: Option<u64>,
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
        let left = rest.size_hint().exact().map(|rest| rest + first.len() as u64);
        let progress = Rc::new(Progress {
            last: Cell::new(Instant::now()),
            waits: Cell::new(false),
            told_long: left.is_some_and(|length| length > WHOLE as u64),
            passed: Cell::new(0),
        });
        let (end, ended) = oneshot::channel();
        let first = Some(first).filter(|f| !f.is_empty());
        (
            Stream { first, rest, left, broken: None, progress: progress.clone(), end: Some(end) },
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
        let passed = self.progress.passed.get() + data.len() as u64;
        self.progress.passed.set(passed);
        self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
        if passed > LONGEST_ANSWER {
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
