//! Tracks how much of a request has been written to the socket. The first byte is held back if sending is not permitted;
//! whether the last byte was written decides whether the request may have run.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use sandgap_driver::permit::{Denial, SendFacts};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::{Instant, sleep, sleep_until};

use super::Payload;
use super::stall_watch::StallWatch;
use crate::body::Upload;
use crate::event::{AnswerBy, Endpoint, Lease};
use crate::socket::Socket;
use crate::view::View;

/// An answer whose body is not complete this long after its head is reported, so that its backend is not taken for hung.
const RESPONDING_DELAY: Duration = Duration::from_millis(10);
/// Gap between parts of an answer after which another backend may be tried beside it. The answer is still awaited.
const PAUSE_BEFORE_RETRY: Duration = Duration::from_millis(500);
/// Interval between checks for a blocked long request: its deadline changes when its last byte arrives.
const HELD_UP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Tracks the bytes of a request written to the socket, and holds back the first one if sending is not permitted.
#[derive(Default)]
pub(super) struct WriteProgress {
    /// Condition checked when the first byte is written; `None` between requests.
    pub(super) precondition: RefCell<Option<SendPrecondition>>,
    /// The first byte has been written.
    pub(super) has_begun: Cell<bool>,
    /// Why the first byte was held back, if it was.
    pub(super) denied: Cell<Option<Denial>>,
    /// How many bytes of [`HEAD_END`] have been matched.
    head_end_matched: Cell<usize>,
    /// Bytes of the body that remain to be written.
    body_left: Cell<u64>,
    /// A body of unknown length, sent chunked, which ends with its last chunk.
    chunked_body: RefCell<Option<Rc<Upload>>>,
    /// The last bytes of that body that were written.
    chunked_tail: Cell<[u8; LAST_CHUNK.len()]>,
    /// Since when the socket has accepted no bytes.
    blocked_since: Cell<Option<Instant>>,
    /// Notified when a request's last byte is written.
    finished: Notify,
    /// When the latest part of an incomplete answer arrived.
    last_part_at: Cell<Option<Instant>>,
    /// The answer's head has been received; its body follows.
    in_body: Cell<bool>,
    /// When the answer's head was received.
    head_at: Cell<Option<Instant>>,
    /// The latest lateness that has been reported.
    reported: Cell<Option<Lateness>>,
    /// The answer's head was received before the request's last byte was written.
    pub(super) is_answer_early: Cell<bool>,
    /// Notified when a part of an answer is read.
    part_read: Notify,
    /// Watches an answer that has begun and is incomplete.
    watch: RefCell<Option<StallWatch>>,
}

/// Conditions for sending the first byte: the backend still accepts requests, the request is still unanswered, and a
/// duplicate would still be dropped. Each may have changed while the connection was established.
pub(super) struct SendPrecondition {
    pub(super) endpoint: Rc<Endpoint>,
    pub(super) wanted: Rc<Cell<bool>>,
    pub(super) lease: Option<Rc<dyn Lease>>,
    pub(super) before: Option<Instant>,
    /// When the client stops waiting.
    pub(super) until: Instant,
    /// When the request's head was built.
    pub(super) head_made: Instant,
}

impl SendPrecondition {
    /// Whether the first byte may be written now.
    fn check(&self) -> Result<(), Denial> {
        let now = Instant::now();
        let facts = SendFacts {
            wanted: self.wanted.get(),
            endpoint_open: self.endpoint.is_open(),
            lease_holds: self.lease.as_ref().is_none_or(|l| l.holds()),
            time_left: self.until.saturating_duration_since(now),
            repeat_dropped: self.before.is_none_or(|before| now < before),
            head_age: now.saturating_duration_since(self.head_made),
        };
        facts.may_send()
    }
}

/// How an answer that has begun is late. Neither says that its backend has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lateness {
    /// Its body is still being written.
    Responding,
    /// Nothing of it has arrived for [`PAUSE_BEFORE_RETRY`].
    Paused,
}

/// Why a long request is given up while it is being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UploadHeldUp {
    /// The client's deadline, or that of the shutdown, has passed.
    Deadline,
    /// The client's deadline may have passed, as its last byte may have been written and not been read.
    MayBeOverdue,
    /// The backend has accepted no bytes for as long as the client waits.
    BackendBlocked,
}

impl UploadHeldUp {
    /// Name in logs and counters.
    pub(super) fn name(self) -> &'static str {
        match self {
            UploadHeldUp::Deadline => "deadline",
            UploadHeldUp::MayBeOverdue => "may_be_overdue",
            UploadHeldUp::BackendBlocked => "backend_blocked",
        }
    }
}

const HEAD_END: &[u8] = b"\r\n\r\n";
const LAST_CHUNK: [u8; 5] = *b"0\r\n\r\n";

impl WriteProgress {
    /// Starts tracking a new request.
    pub(super) fn start(&self, precondition: SendPrecondition, body: &Payload) {
        self.precondition.replace(Some(precondition));
        self.has_begun.set(false);
        self.denied.set(None);
        self.head_end_matched.set(0);
        let (left, chunked) = match body {
            Payload::Short(body) => (body.len() as u64, None),
            Payload::Long(upload) => {
                (upload.length().unwrap_or(0), Some(upload).filter(|u| u.length().is_none()))
            }
        };
        self.body_left.set(left);
        self.chunked_body.replace(chunked.cloned());
        self.chunked_tail.take();
        self.blocked_since.set(None);
        self.last_part_at.set(None);
        self.in_body.set(false);
        self.head_at.set(None);
        self.reported.set(None);
        self.is_answer_early.set(false);
    }

    /// Records that the answer's head has been received.
    pub(super) fn answer_head_received(&self) {
        self.in_body.set(true);
        self.is_answer_early.set(!self.is_complete());
        let now = Instant::now();
        self.last_part_at.set(Some(now));
        self.head_at.set(Some(now));
        self.part_read.notify_one();
    }

    /// Records bytes read of an answer. Bytes that end with an empty line may be a complete interim response (1xx), after
    /// which the final one may take longer.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        if let Some(watch) = &*self.watch.borrow() {
            watch.received();
        }
        self.last_part_at.set((self.in_body.get() || !bytes.ends_with(HEAD_END)).then(Instant::now));
        self.part_read.notify_one();
    }

    /// The present answer is watched for a stall from now on, unless it is already.
    pub(super) fn watch_answer(&self, begin: impl FnOnce() -> StallWatch) -> StallWatch {
        self.watch.borrow_mut().get_or_insert_with(begin).clone()
    }

    /// The present answer is no longer watched; what has watched it.
    pub(super) fn unwatch_answer(&self) -> Option<StallWatch> {
        self.watch.take()
    }

    /// Whether the present answer has paused, and its backend is not known to go on by `until`.
    pub(super) fn may_be_given_up(&self, until: Instant) -> bool {
        let is_paused = self.last_part_at.get().is_some_and(|at| at.elapsed() >= PAUSE_BEFORE_RETRY);
        is_paused && !self.is_expected_by(until)
    }

    /// Whether an earlier answer of the present one's backend has stalled, and nothing has come of any since.
    pub(super) fn follows_stalled(&self) -> bool {
        self.watch.borrow().as_ref().is_some_and(StallWatch::follows_stalled)
    }

    /// Whether the backend of the present answer is known to go on after such a pause, and by `until`.
    pub(super) fn is_expected_by(&self, until: Instant) -> bool {
        self.watch.borrow().as_ref().is_some_and(|watch| watch.is_expected_by(until))
    }

    /// Waits until the request's last byte is written.
    pub(super) async fn finished(&self) {
        while !self.is_complete() {
            self.finished.notified().await; // the notification may be of an earlier request
        }
    }

    /// Waits until a long request is held up that is being sent, and returns why.
    pub(super) async fn held_up(
        &self, answer_by: &AnswerBy, patience: Duration, upload: &Upload,
    ) -> UploadHeldUp {
        let is_blocked = || self.blocked_since.get().is_some_and(|since| since.elapsed() >= patience);
        let is_overdue = || upload.read_delay() + HELD_UP_CHECK_INTERVAL >= patience;
        loop {
            if Instant::now() >= answer_by.instant() {
                return UploadHeldUp::Deadline;
            }
            if is_blocked() {
                return UploadHeldUp::BackendBlocked;
            }
            if is_overdue() {
                return UploadHeldUp::MayBeOverdue;
            }
            sleep(HELD_UP_CHECK_INTERVAL).await;
        }
    }

    /// Waits until an answer is late in a way that has not been reported for it.
    pub(super) async fn late(&self) -> Lateness {
        loop {
            let now = Instant::now();
            let reported = self.reported.get();
            let responding =
                self.head_at.get().filter(|_| reported.is_none()).map(|at| at + RESPONDING_DELAY);
            let paused = self.last_part_at.get().filter(|_| reported != Some(Lateness::Paused));
            let paused = paused.map(|at| at + PAUSE_BEFORE_RETRY);
            let lateness = match (responding, paused) {
                (_, Some(at)) if at <= now => Lateness::Paused,
                (Some(at), _) if at <= now => Lateness::Responding,
                (Some(at), _) | (None, Some(at)) => {
                    sleep_until(at).await;
                    continue;
                }
                (None, None) => {
                    self.part_read.notified().await;
                    continue;
                }
            };
            self.reported.set(Some(lateness));
            return lateness;
        }
    }

    /// Whether a part of the answer has arrived within the later half of the time since `sent`.
    pub(super) fn is_advancing(&self, sent: Instant) -> bool {
        self.last_part_at.get().is_some_and(|at| at.elapsed() < sent.elapsed() / 2)
    }

    /// Whether a write is permitted.
    pub(super) fn may_write(&self) -> bool {
        if self.has_begun.get() {
            return true;
        }
        let precondition = self.precondition.borrow();
        let denial = precondition.as_ref().map_or(Err(Denial::Answered), SendPrecondition::check).err();
        self.denied.set(denial);
        denial.is_none()
    }

    /// Records bytes written to the socket.
    pub(super) fn record_write(&self, bytes: &[u8]) {
        self.has_begun.set(self.has_begun.get() || !bytes.is_empty());
        let mut rest = bytes;
        while self.head_end_matched.get() < HEAD_END.len() {
            let Some((&byte, after)) = rest.split_first() else { return };
            rest = after;
            let seen = self.head_end_matched.get();
            self.head_end_matched.set(if byte == HEAD_END[seen] {
                seen + 1
            } else {
                usize::from(byte == b'\r')
            });
        }
        self.body_left.set(self.body_left.get().saturating_sub(rest.len() as u64));
        if self.chunked_body.borrow().is_some() {
            let mut tail = self.chunked_tail.get();
            let kept = rest.len().min(tail.len());
            tail.rotate_left(kept);
            let at = tail.len() - kept;
            tail[at..].copy_from_slice(&rest[rest.len() - kept..]);
            self.chunked_tail.set(tail);
        }
        if self.is_complete() {
            self.finished.notify_one();
        }
    }

    /// Whether the request's last byte has been written; from then on the request may have run.
    pub(super) fn is_complete(&self) -> bool {
        let is_body_complete = match &*self.chunked_body.borrow() {
            Some(upload) => upload.has_ended() && self.chunked_tail.get() == LAST_CHUNK,
            None => self.body_left.get() == 0,
        };
        self.head_end_matched.get() == HEAD_END.len() && is_body_complete
    }
}

/// A connection's socket with its write progress. Holds its permit of the socket budget.
pub(super) struct TrackedStream {
    pub(super) stream: Socket,
    pub(super) write_progress: Rc<WriteProgress>,
    pub(super) view: Rc<View>,
    pub(super) _permit: Rc<OwnedSemaphorePermit>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        std::task::ready!(self.stream.poll_read(cx, buf))?;
        self.write_progress.record_read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, buffers: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        // The facts behind the precondition may have changed during a standstill of the process.
        if !self.write_progress.has_begun.get() {
            std::task::ready!(self.view.poll_current(cx));
        }
        if !self.write_progress.may_write() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        let Poll::Ready(written) = self.stream.poll_write_vectored(cx, buffers) else {
            let blocked = &self.write_progress.blocked_since;
            blocked.set(blocked.get().or_else(|| Some(Instant::now())));
            return Poll::Pending;
        };
        let n = written?;
        self.write_progress.blocked_since.set(None);
        let mut left = n;
        for buffer in buffers {
            let count = left.min(buffer.len());
            left -= count;
            self.write_progress.record_write(&buffer[..count]);
        }
        Poll::Ready(Ok(n))
    }

    /// Bodies are written from where they are, as a copy would stay allocated while the connection is idle.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown_write())
    }
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;

    use super::*;

    fn started(body: &'static [u8]) -> (WriteProgress, Rc<Endpoint>, Rc<Cell<bool>>) {
        let endpoint = Endpoint::new(1, "127.0.0.1:1".parse().expect("an address"), 0.0);
        let wanted = Rc::new(Cell::new(true));
        let write_progress = WriteProgress::default();
        write_progress.start(
            SendPrecondition {
                endpoint: endpoint.clone(),
                wanted: wanted.clone(),
                lease: None,
                before: None,
                until: Instant::now() + Duration::from_secs(9),
                head_made: Instant::now(),
            },
            &Payload::Short(Bytes::from_static(body).into()),
        );
        (write_progress, endpoint, wanted)
    }

    #[test]
    fn a_request_is_complete_with_its_last_byte_however_it_is_split() {
        let text = b"POST /x HTTP/1.1\r\nA: b\r\n\r\n\r\n\r\nbody";
        for split in 1..text.len() {
            let (write_progress, ..) = started(b"\r\n\r\nbody");
            write_progress.record_write(&text[..split]);
            assert!(write_progress.has_begun.get() && !write_progress.is_complete(), "split at {split}");
            write_progress.record_write(&text[split..]);
            assert!(write_progress.is_complete(), "split at {split}");
        }
    }

    #[test]
    fn the_first_byte_requires_an_open_backend_and_an_unanswered_request() {
        let (write_progress, endpoint, _) = started(b"");
        endpoint.set_open(false);
        assert!(!write_progress.may_write() && write_progress.denied.get() == Some(Denial::EndpointClosed));
        let (write_progress, _, wanted) = started(b"");
        wanted.set(false);
        assert!(!write_progress.may_write());
        let (write_progress, endpoint, _) = started(b"");
        assert!(write_progress.may_write());
        write_progress.record_write(b"G");
        endpoint.set_open(false); // a request that has started is finished
        assert!(write_progress.may_write());
        assert!(!WriteProgress::default().may_write(), "nothing is written between requests");
    }
}
