//! The body of a client's long request as it is sent to a backend.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use super::read_delay::ReadDelay;
use super::{BodyError, BufferedBody, MAX_REQUEST_BODY, Pace};
use crate::memory::{MemoryGauge, Step};
use crate::view::View;

/// Why a request's body could not be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It is longer than [`MAX_REQUEST_BODY`].
    TooLong,
    /// It arrived too slowly.
    TooSlow,
    /// Its connection failed, or it is malformed.
    Malformed,
    /// There is no memory to buffer it.
    NoMemory,
    /// It was given up to make room, as its client had stopped sending.
    Evicted,
}

/// Size of a read-ahead buffer in bytes.
const BUFFER_BYTES: usize = 64 << 10;
/// Interval between checks for a client that has stopped sending.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a part of a body that is received at once: the size of the parser's buffer.
const MAX_PART_BYTES: usize = 16 << 10;

/// Read-ahead memory shared by all requests whose backends are not yet reading the rest of their bodies.
pub struct ReadAheadBudget {
    /// Maximum number of buffers.
    max_buffers: Cell<usize>,
    /// Number of buffers in use.
    used_buffers: Cell<usize>,
    /// Tasks waiting for a free buffer, each listed once.
    waiting: RefCell<Vec<Waker>>,
    /// Everything that the process holds.
    gauge: Rc<MemoryGauge>,
}

impl ReadAheadBudget {
    /// Creates a budget of `bytes`, within what the gauge admits.
    pub fn new(bytes: usize, gauge: Rc<MemoryGauge>) -> Rc<Self> {
        Rc::new(ReadAheadBudget {
            gauge,
            max_buffers: Cell::new(bytes / BUFFER_BYTES),
            used_buffers: Cell::default(),
            waiting: RefCell::default(),
        })
    }

    /// Changes the budget to `bytes`. Buffers in use beyond that stay in use until they are released.
    pub fn set_limit(&self, bytes: usize) {
        self.max_buffers.set(bytes / BUFFER_BYTES);
        self.wake_all();
    }

    fn poll_take(&self, cx: &mut Context) -> Poll<()> {
        let is_admitted = self.gauge.admits(Step::ReadAhead);
        if is_admitted && self.used_buffers.get() < self.max_buffers.get() {
            self.used_buffers.set(self.used_buffers.get() + 1);
            return Poll::Ready(());
        }
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|waker| waker.will_wake(cx.waker())) {
            waiting.push(cx.waker().clone());
        }
        Poll::Pending
    }

    fn release(&self, buffers: usize) {
        self.used_buffers.set(self.used_buffers.get() - buffers);
        if buffers > 0 {
            self.wake_all();
        }
    }

    /// Lets the waiting tasks try again, as there may be room now.
    pub fn wake_all(&self) {
        self.waiting.take().into_iter().for_each(Waker::wake);
    }
}

/// The part of a body that was read before an attempt requested it.
struct ReadAhead {
    buffers: VecDeque<BytesMut>,
    budget: Rc<ReadAheadBudget>,
}

impl ReadAhead {
    /// Waits until there is room for a next part of any size.
    fn poll_room(&mut self, cx: &mut Context) -> Poll<()> {
        if self.buffers.back().is_none_or(|buffer| buffer.capacity() - buffer.len() < MAX_PART_BYTES) {
            ready!(self.budget.poll_take(cx));
            self.buffers.push_back(BytesMut::with_capacity(BUFFER_BYTES));
        }
        Poll::Ready(())
    }

    fn push(&mut self, data: &[u8]) {
        if let Some(buffer) = self.buffers.back_mut() {
            buffer.extend_from_slice(data);
        }
    }

    fn pop(&mut self) -> Option<Bytes> {
        let buffer = self.buffers.pop_front()?;
        self.budget.release(1);
        Some(buffer.freeze())
    }
}

impl ReadAhead {
    /// Frees all buffers.
    fn clear(&mut self) {
        self.budget.release(self.buffers.len());
        self.buffers.clear();
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Called with the time at which a request's last byte arrived.
type OnReceived = Box<dyn FnOnce(Instant)>;

/// A long request's body: its first part, kept until more has been sent, and the rest, streamed as it arrives.
pub struct Upload {
    first: RefCell<BufferedBody>,
    ahead: RefCell<ReadAhead>,
    rest: RefCell<Incoming>,
    /// Gives the earliest time at which bytes read now may have arrived.
    view: Rc<View>,
    pace: Cell<Pace>,
    length: Option<u64>,
    /// An attempt is waiting for the next part, and is woken once it arrives.
    is_requested: Cell<bool>,
    /// The end of the body has been read.
    is_end_read: Cell<bool>,
    /// Latest time at which the last byte may have arrived from the client.
    received_at: Cell<Option<Instant>>,
    /// For how long its last byte may have waited unread.
    read_delay: Cell<ReadDelay>,
    /// Called once when the last byte has arrived.
    on_received: RefCell<Option<OnReceived>>,
    /// More than the kept first part has been sent, or the body has failed.
    is_spent: Cell<bool>,
    /// The complete body has been passed to an attempt.
    has_ended: Cell<bool>,
    fault: Cell<Option<BodyFault>>,
}

impl Upload {
    /// Creates a body of which `first` has been received, at that pace, and `rest` arrives; `length` is the declared total
    /// length.
    pub fn new(
        first: BufferedBody, rest: Incoming, pace: Pace, length: Option<u64>, budget: Rc<ReadAheadBudget>,
        view: Rc<View>,
    ) -> Rc<Self> {
        Rc::new(Upload {
            first: RefCell::new(first),
            ahead: RefCell::new(ReadAhead { buffers: VecDeque::new(), budget }),
            rest: RefCell::new(rest),
            view,
            pace: Cell::new(pace),
            length,
            is_requested: Cell::new(false),
            is_end_read: Cell::new(false),
            received_at: Cell::default(),
            read_delay: Cell::new(ReadDelay::new(Instant::now())),
            on_received: RefCell::default(),
            is_spent: Cell::new(false),
            has_ended: Cell::new(false),
            fault: Cell::default(),
        })
    }

    /// Whether it can't be sent again: more than the kept part has been sent, or the body has failed.
    pub fn is_spent(&self) -> bool {
        self.is_spent.get()
    }

    /// Whether the complete body has been passed to an attempt.
    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Whether the complete body has been received.
    pub fn is_read(&self) -> bool {
        self.is_end_read.get() || self.length.is_some_and(|length| self.pace.get().passed() >= length)
    }

    /// When its last byte arrived from the client, if it has.
    pub fn received_at(&self) -> Option<Instant> {
        self.received_at.get()
    }

    /// For how long its last byte, if the client has written it, may have waited unread; zero once it has been read.
    pub fn read_delay(&self) -> Duration {
        match self.received_at.get() {
            Some(_) => Duration::ZERO,
            None => self.read_delay.get().get(Instant::now()),
        }
    }

    /// Records that its last byte arrived at `at`; only the first call counts.
    pub fn set_received(&self, at: Instant) {
        if self.received_at.get().is_none() {
            self.received_at.set(Some(at));
            if let Some(callback) = self.on_received.take() {
                callback(at);
            }
        }
    }

    /// Calls `callback` when its last byte has arrived, or immediately if it has.
    pub fn on_received(&self, callback: impl FnOnce(Instant) + 'static) {
        match self.received_at.get() {
            Some(at) => callback(at),
            None => drop(self.on_received.replace(Some(Box::new(callback)))),
        }
    }

    /// From now on the last byte may arrive unread.
    fn pause(&self) {
        let mut read_delay = self.read_delay.get();
        read_delay.pause(Instant::now());
        self.read_delay.set(read_delay);
    }

    /// Everything that has arrived is read, and the client is awaited.
    fn wait(&self) {
        let mut read_delay = self.read_delay.get();
        read_delay.wait(Instant::now());
        self.read_delay.set(read_delay);
    }

    /// Records that the last byte has been read.
    fn end_received(&self) {
        let arrived_at = self.view.arrived_at();
        self.set_received(arrived_at.checked_sub(self.read_delay()).unwrap_or(arrived_at));
    }

    /// Whether everything received has been read, and more is awaited from the client.
    pub fn awaits_client(&self) -> bool {
        self.read_delay.get().awaits_client() && !self.is_read()
    }

    /// Number of bytes that have been read from the client.
    pub fn bytes_read(&self) -> u64 {
        self.pace.get().passed()
    }

    /// Declared total length, if any.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Why the body could not be received, if it failed.
    pub fn fault(&self) -> Option<BodyFault> {
        self.fault.get()
    }

    /// Gives the body up and frees what is buffered of it.
    pub fn abandon(&self, fault: BodyFault) {
        self.mark_spent();
        self.fault.set(Some(fault));
        self.ahead.borrow_mut().clear();
    }

    fn fail(&self, fault: BodyFault) -> BodyError {
        self.is_spent.set(true);
        self.fault.set(Some(fault));
        "the request body was not received completely".into()
    }

    /// Reads the next part from the connection; `None` at the end.
    fn poll_part(&self, cx: &mut Context) -> Poll<Result<Option<Bytes>, BodyFault>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx) else {
                self.wait();
                self.start_wait();
                return Poll::Pending;
            };
            let Some(frame) = frame else {
                self.is_end_read.set(true);
                self.end_received();
                return Poll::Ready(Ok(None));
            };
            let Ok(frame) = frame else { return Poll::Ready(Err(BodyFault::Malformed)) };
            let Ok(data) = frame.into_data() else { continue }; // trailers may be discarded (RFC 9110, 6.5.1)
            let mut pace = self.pace.get();
            pace.received(Instant::now(), data.len());
            self.pace.set(pace);
            self.pause(); // until the next part is read or awaited
            if self.is_read() {
                self.end_received();
            }
            let fits = pace.passed() <= MAX_REQUEST_BODY;
            return Poll::Ready(if fits { Ok(Some(data)) } else { Err(BodyFault::TooLong) });
        }
    }

    /// Reads ahead within the budget while no attempt is waiting for the next part, because there is no attempt or its
    /// backend is slow. The client's timeout counts from its last byte, and a disconnect is seen only behind unread bytes;
    /// the system reports that only once these fit its own buffer.
    pub fn poll_read_ahead(&self, cx: &mut Context) {
        let mut ahead = self.ahead.borrow_mut();
        while !self.is_read() && !self.is_requested.get() && self.fault.get().is_none() {
            if ahead.poll_room(cx).is_pending() {
                return self.pause();
            }
            match self.poll_part(cx) {
                Poll::Ready(Ok(Some(data))) => ahead.push(&data),
                Poll::Ready(Err(fault)) => self.fault.set(Some(fault)),
                Poll::Ready(Ok(None)) | Poll::Pending => return,
            }
        }
    }

    /// Starts or continues a wait for the client; returns its deadline.
    fn start_wait(&self) -> Instant {
        let mut pace = self.pace.get();
        let until = pace.blocked(Instant::now());
        self.pace.set(pace);
        until
    }

    /// Waits until the client has sent nothing for too long, whether or not an attempt is waiting for more.
    pub async fn stopped(&self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            if self.awaits_client() && self.start_wait() <= Instant::now() {
                return;
            }
        }
    }

    /// Returns the next chunk after the first part to an attempt.
    fn poll_rest(
        &self, cx: &mut Context, timer: &mut Option<Pin<Box<Sleep>>>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        self.is_requested.set(false);
        if let Some(fault) = self.fault.get() {
            return Poll::Ready(Some(Err(self.fail(fault))));
        }
        if let Some(data) = self.ahead.borrow_mut().pop() {
            self.mark_spent();
            return Poll::Ready(Some(Ok(data)));
        }
        if self.is_end_read.get() {
            self.has_ended.set(true);
            return Poll::Ready(None);
        }
        let Poll::Ready(part) = self.poll_part(cx) else {
            let until = self.start_wait();
            let timer = timer.get_or_insert_with(|| Box::pin(sleep_until(until)));
            timer.as_mut().reset(until);
            self.is_requested.set(true);
            ready!(timer.as_mut().poll(cx));
            self.is_requested.set(false);
            return Poll::Ready(Some(Err(self.fail(BodyFault::TooSlow))));
        };
        *timer = None;
        Poll::Ready(match part {
            Ok(None) => {
                self.has_ended.set(true);
                None
            }
            Ok(Some(data)) => {
                self.mark_spent();
                Some(Ok(data))
            }
            Err(fault) => Some(Err(self.fail(fault))),
        })
    }

    /// More than the first part is sent: the body can't be sent again, and the first part is freed.
    fn mark_spent(&self) {
        self.is_spent.set(true);
        self.first.take();
    }
}

/// An attempt's reader of a long request's body.
pub struct UploadReader(Rc<Upload>);

impl Drop for UploadReader {
    fn drop(&mut self) {
        self.0.is_requested.set(false);
    }
}

/// The body of a request to a backend.
pub enum RequestBody {
    /// A short body, or what remains of it.
    Short(BufferedBody),
    /// A long body, which can be sent only once: its first part, or what remains of it, and the rest.
    Long(UploadReader, BufferedBody, Option<Pin<Box<Sleep>>>),
}

impl RequestBody {
    /// A long body, from its start.
    pub fn long(upload: &Rc<Upload>) -> Self {
        RequestBody::Long(UploadReader(upload.clone()), upload.first.borrow().clone(), None)
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            RequestBody::Short(body) => Poll::Ready(body.pop().map(|block| Ok(Frame::data(block)))),
            RequestBody::Long(upload, first, timer) => match first.pop() {
                Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
                None => upload.0.poll_rest(cx, timer).map(|next| next.map(|data| data.map(Frame::data))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, RequestBody::Short(body) if body.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Short(body) => SizeHint::with_exact(body.len() as u64),
            RequestBody::Long(upload, ..) => {
                upload.0.length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
