//! The body of a backend's answer as it is sent to a client.

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

use super::{BodyError, BufferedBody, MAX_BUFFERED_BODY, detach};

/// Progress of a long answer, for the task that watches its backend.
pub struct AnswerProgress {
    /// When the backend last sent something or the wait for it began.
    last_change: Cell<Instant>,
    /// The next bytes are awaited from the backend.
    awaits_backend: Cell<bool>,
    /// The declared length is that of a long answer.
    is_declared_long: bool,
    /// Bytes passed on to the client.
    passed: Cell<u64>,
    /// Bytes that had been received when the answer began.
    gathered: usize,
    /// When the answer began.
    began: Instant,
}

impl AnswerProgress {
    /// How long the backend has currently been awaited.
    pub fn silence(&self) -> Duration {
        if self.awaits_backend.get() { self.last_change.get().elapsed() } else { Duration::ZERO }
    }

    /// Mean rate in bytes a second since the answer began.
    pub fn rate(&self) -> f64 {
        self.passed.get() as f64 / self.began.elapsed().as_secs_f64().max(f64::EPSILON)
    }

    /// Whether the answer may still turn out short. For a short answer the last byte counts, not the first.
    pub fn may_be_short(&self) -> bool {
        !self.is_declared_long && self.passed.get() <= MAX_BUFFERED_BODY as u64
    }

    /// Bytes passed on to the client.
    pub fn passed(&self) -> u64 {
        self.passed.get()
    }

    /// Bytes that had been received when the answer began.
    pub fn gathered(&self) -> usize {
        self.gathered
    }

    /// Time since the answer began.
    pub fn age(&self) -> Duration {
        self.began.elapsed()
    }

    /// Name of the kind of answer in counters.
    pub fn kind(&self) -> &'static str {
        match (self.is_declared_long, self.gathered > MAX_BUFFERED_BODY) {
            (true, _) => "declared_long",
            (false, true) => "over_64_kib",
            (false, false) => "may_be_short",
        }
    }

    /// Whether the next bytes are awaited from the backend, rather than held up by the client.
    pub fn waits_for_backend(&self) -> bool {
        self.awaits_backend.get()
    }
}

/// A long answer, streamed as it arrives.
pub struct AnswerStream {
    first: BufferedBody,
    rest: Incoming,
    /// Bytes that remain, if the length is declared.
    left: Option<u64>,
    /// The error that ended the answer, returned once the bytes before it have been written.
    error: Option<BodyError>,
    progress: Rc<AnswerProgress>,
    end: Option<oneshot::Sender<bool>>,
}

/// Resolves to whether a long answer was passed on completely; fails if its client has disconnected.
pub type AnswerEnd = oneshot::Receiver<bool>;

impl AnswerStream {
    /// Creates the stream of an answer of which `first` has been received.
    pub fn new(first: BufferedBody, rest: Incoming) -> (Self, Rc<AnswerProgress>, AnswerEnd) {
        let left = rest.size_hint().exact().map(|rest| rest + first.len() as u64);
        let progress = Rc::new(AnswerProgress {
            last_change: Cell::new(Instant::now()),
            awaits_backend: Cell::new(false),
            is_declared_long: left.is_some_and(|length| length > MAX_BUFFERED_BODY as u64),
            passed: Cell::new(0),
            gathered: first.len(),
            began: Instant::now(),
        });
        let (end, ended) = oneshot::channel();
        (
            AnswerStream { first, rest, left, error: None, progress: progress.clone(), end: Some(end) },
            progress,
            ended,
        )
    }

    fn end(&mut self, is_complete: bool) {
        if let Some(end) = self.end.take() {
            let _ = end.send(is_complete); // the receiver may have been dropped
        }
    }

    /// Accounts for bytes passed on.
    fn pass(&mut self, data: &Bytes) {
        self.progress.passed.set(self.progress.passed.get() + data.len() as u64);
        self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
    }

    fn poll(&mut self, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(first) = self.first.pop() {
            self.pass(&first);
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(cx);
        if self.progress.awaits_backend.replace(frame.is_pending()) != frame.is_pending() || frame.is_ready()
        {
            self.progress.last_change.set(Instant::now());
        }
        Poll::Ready(match ready!(frame) {
            None => {
                self.end(true);
                None
            }
            Some(Err(e)) => {
                // Hyper flushes its buffer while it waits, but writes nothing after an error.
                self.end(false);
                self.error = Some(e.into());
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => {
                    self.pass(&data);
                    Some(Ok(Frame::data(detach(data))))
                }
                Err(trailers) => Some(Ok(trailers)),
            },
        })
    }
}

/// The body of a response to a client.
pub struct AnswerBody {
    content: Content,
    /// Dropped once the HTTP library has taken the whole body.
    _guard: Option<Box<dyn Any>>,
}

/// The content of an answer's body.
enum Content {
    /// A short answer, or what remains of it.
    Short(BufferedBody),
    /// A long answer.
    Long(Box<AnswerStream>),
}

impl AnswerBody {
    /// A long answer, streamed as it arrives.
    pub fn long(stream: AnswerStream) -> Self {
        AnswerBody { content: Content::Long(Box::new(stream)), _guard: None }
    }

    /// The content of a short answer; `None` for a long one.
    pub fn short(&self) -> Option<&BufferedBody> {
        match &self.content {
            Content::Short(body) => Some(body),
            Content::Long(_) => None,
        }
    }

    /// Attaches a guard that is dropped once the HTTP library has taken the whole body.
    pub fn with_guard(self, guard: Box<dyn Any>) -> Self {
        AnswerBody { _guard: Some(guard), ..self }
    }
}

impl From<BufferedBody> for AnswerBody {
    fn from(body: BufferedBody) -> Self {
        AnswerBody { content: Content::Short(body), _guard: None }
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        BufferedBody::from(bytes).into()
    }
}

impl HttpBody for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut self.get_mut().content {
            Content::Short(body) => Poll::Ready(body.pop().map(|block| Ok(Frame::data(block)))),
            Content::Long(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.short().is_some_and(BufferedBody::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Short(body) => SizeHint::with_exact(body.len() as u64),
            Content::Long(stream) => stream.left.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
