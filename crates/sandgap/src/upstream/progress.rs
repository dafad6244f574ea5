//! What has been written of a request, followed on its way onto the socket: the first byte is held back where it may not
//! go, and the last one proves whether the request may have run.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use sandgap_driver::permit::{Denial, SendFacts};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::{Instant, sleep, sleep_until};

use super::Payload;
use crate::body::Upload;
use crate::event::{AnswerBy, Endpoint, Lease};
use crate::socket::Socket;
use crate::view::View;

/// Once an answer has begun, a part of it must come at least every so often. An answer that is told longer than it
/// is would else keep its request until the client gives up.
const STALL: Duration = Duration::from_millis(500);
/// Span between looks for a long request that is held up: its deadline moves when its last byte has come.
const LOOK_HELD_UP: Duration = Duration::from_millis(50);

/// Follows the bytes of a request onto the socket, and holds the first one back where it may not go.
#[derive(Default)]
pub(super) struct WriteProgress {
    /// What must still hold when the first byte is written; there is none between requests.
    pub(super) precondition: RefCell<Option<SendPrecondition>>,
    pub(super) begun: Cell<bool>,
    /// Why it was held back, if it was.
    pub(super) denied: Cell<Option<Denial>>,
    /// How much of the blank line that ends the head has been seen.
    blank: Cell<usize>,
    /// Bytes of the body still to be written.
    left: Cell<u64>,
    /// A body whose length is not told ends with its last chunk.
    chunked: RefCell<Option<Rc<Upload>>>,
    tail: Cell<[u8; LAST_CHUNK.len()]>,
    /// Since when the backend has taken nothing of what is to be written.
    blocked: Cell<Option<Instant>>,
    /// Told when a request's last byte is written.
    finished: Notify,
    /// When the last part of an answer came that has not come to its end.
    partial: Cell<Option<Instant>>,
    /// The answer's head has come: what stops now is its body.
    in_body: Cell<bool>,
    read: Notify,
}

/// The backend must still take work, the request still lack its answer, and a repeat still be dropped: each may have
/// changed while the connection came up.
pub(super) struct SendPrecondition {
    pub(super) endpoint: Rc<Endpoint>,
    pub(super) wanted: Rc<Cell<bool>>,
    pub(super) lease: Option<Rc<dyn Lease>>,
    pub(super) before: Option<Instant>,
    /// When its client gives up.
    pub(super) until: Instant,
    /// When its head was made.
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

const BLANK: &[u8] = b"\r\n\r\n";
const LAST_CHUNK: [u8; 5] = *b"0\r\n\r\n";

impl WriteProgress {
    pub(super) fn start(&self, precondition: SendPrecondition, body: &Payload) {
        self.precondition.replace(Some(precondition));
        self.begun.set(false);
        self.denied.set(None);
        self.blank.set(0);
        let (left, chunked) = match body {
            Payload::Short(bytes) => (bytes.len() as u64, None),
            Payload::Long(upload) => {
                (upload.length().unwrap_or(0), Some(upload).filter(|u| u.length().is_none()))
            }
        };
        self.left.set(left);
        self.chunked.replace(chunked.cloned());
        self.tail.take();
        self.blocked.set(None);
        self.partial.set(None);
        self.in_body.set(false);
    }

    /// The answer's head has come.
    pub(super) fn body_begins(&self) {
        self.in_body.set(true);
        self.partial.set(Some(Instant::now()));
        self.read.notify_one();
    }

    /// Notes what has been read of an answer. What stops at a blank line may be an interim answer's whole head,
    /// after which the real one takes its time.
    pub(super) fn got(&self, bytes: &[u8]) {
        self.partial.set((self.in_body.get() || !bytes.ends_with(BLANK)).then(Instant::now));
        self.read.notify_one();
    }

    /// Waits until the request's last byte is written.
    pub(super) async fn finished(&self) {
        while !self.complete() {
            self.finished.notified().await; // perhaps of a request before it
        }
    }

    /// Waits until a long request's client has waited for long enough, or its backend has taken nothing for `most`.
    pub(super) async fn held_up(&self, answer_by: &AnswerBy, most: Duration) {
        let is_deaf = || self.blocked.get().is_some_and(|since| since.elapsed() >= most);
        while Instant::now() < answer_by.instant() && !is_deaf() {
            sleep(LOOK_HELD_UP).await;
        }
    }

    /// Waits until an answer has begun and not come to its end for too long.
    pub(super) async fn stalled(&self) {
        loop {
            match self.partial.get() {
                Some(since) if since.elapsed() >= STALL => return,
                Some(since) => sleep_until(since + STALL).await,
                None => self.read.notified().await,
            }
        }
    }

    /// Whether a write may go on.
    pub(super) fn may_write(&self) -> bool {
        if self.begun.get() {
            return true;
        }
        let precondition = self.precondition.borrow();
        let denial = precondition.as_ref().map_or(Err(Denial::Answered), SendPrecondition::check).err();
        self.denied.set(denial);
        denial.is_none()
    }

    pub(super) fn wrote(&self, bytes: &[u8]) {
        self.begun.set(self.begun.get() || !bytes.is_empty());
        let mut rest = bytes;
        while self.blank.get() < BLANK.len() {
            let Some((&byte, after)) = rest.split_first() else { return };
            rest = after;
            let seen = self.blank.get();
            self.blank.set(if byte == BLANK[seen] { seen + 1 } else { usize::from(byte == b'\r') });
        }
        self.left.set(self.left.get().saturating_sub(rest.len() as u64));
        if self.chunked.borrow().is_some() {
            let mut tail = self.tail.get();
            let kept = rest.len().min(tail.len());
            tail.rotate_left(kept);
            let at = tail.len() - kept;
            tail[at..].copy_from_slice(&rest[rest.len() - kept..]);
            self.tail.set(tail);
        }
        if self.complete() {
            self.finished.notify_one();
        }
    }

    /// Whether the request's last byte has been written: from then on it may have run.
    pub(super) fn complete(&self) -> bool {
        let whole = match &*self.chunked.borrow() {
            Some(upload) => upload.has_ended() && self.tail.get() == LAST_CHUNK,
            None => self.left.get() == 0,
        };
        self.blank.get() == BLANK.len() && whole
    }
}

/// The socket under a connection, with its write_progress. It holds its part of the budget of sockets.
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
        self.write_progress.got(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        // Whatever the precondition asks about may have changed while the process stood still.
        if !self.write_progress.begun.get() {
            std::task::ready!(self.view.poll_current(cx));
        }
        if !self.write_progress.may_write() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        let Poll::Ready(wrote) = self.stream.poll_write(cx, bytes) else {
            let blocked = &self.write_progress.blocked;
            blocked.set(blocked.get().or_else(|| Some(Instant::now())));
            return Poll::Pending;
        };
        let n = wrote?;
        self.write_progress.blocked.set(None);
        self.write_progress.wrote(&bytes[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.end_sending())
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
            &Payload::Short(Bytes::from_static(body)),
        );
        (write_progress, endpoint, wanted)
    }

    #[test]
    fn a_request_is_complete_with_its_last_byte_however_it_is_cut() {
        let text = b"POST /x HTTP/1.1\r\nA: b\r\n\r\n\r\n\r\nbody";
        for cut in 1..text.len() {
            let (write_progress, ..) = started(b"\r\n\r\nbody");
            write_progress.wrote(&text[..cut]);
            assert!(write_progress.begun.get() && !write_progress.complete(), "cut at {cut}");
            write_progress.wrote(&text[cut..]);
            assert!(write_progress.complete(), "cut at {cut}");
        }
    }

    #[test]
    fn the_first_byte_waits_for_an_open_backend_and_a_wanted_request() {
        let (write_progress, endpoint, _) = started(b"");
        endpoint.set_open(false);
        assert!(!write_progress.may_write() && write_progress.denied.get() == Some(Denial::EndpointClosed));
        let (write_progress, _, wanted) = started(b"");
        wanted.set(false);
        assert!(!write_progress.may_write());
        let (write_progress, endpoint, _) = started(b"");
        assert!(write_progress.may_write());
        write_progress.wrote(b"G");
        endpoint.set_open(false); // what has begun is finished
        assert!(write_progress.may_write());
        assert!(!WriteProgress::default().may_write(), "nothing is written between requests");
    }
}
