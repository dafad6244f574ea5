//! A connected socket with two users on one thread: hyper, which reads and writes it, and the one who looks
//! after the connection.

use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;

/// A socket; clones are the same one.
///
/// Reads and writes share it, so they can't go through [`TcpStream`]'s own `poll_read` and `poll_write`, but do what
/// these do: they neither clear the buffer first nor ask the system again after a call that did not fill it.
#[derive(Clone)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    /// Takes over a connection; small writes go out at once.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // slower without, no worse
        Socket(Rc::new(stream))
    }

    /// Reads what there is.
    pub fn poll_read(&self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            let room = buf.remaining();
            match self.0.try_read_buf(buf) {
                Ok(n) => {
                    if 0 < n && n < room {
                        self.forget_readiness(Interest::READABLE);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Writes what there is room for.
    pub fn poll_write(&self, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Ok(n) => {
                    if 0 < n && n < bytes.len() {
                        self.forget_readiness(Interest::WRITABLE);
                    }
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// A call that moved less than was asked for has drained or filled the system's buffer: the next one waits to be
    /// told of more. Nothing can be told in between, as the runtime looks for news on this thread.
    fn forget_readiness(&self, interest: Interest) {
        let _: io::Result<()> = self.0.try_io(interest, || Err(io::ErrorKind::WouldBlock.into()));
    }

    /// Waits until the other side has ended its sending or the connection, also where that stands behind bytes which
    /// nobody has read yet.
    pub async fn peer_closed(&self) {
        // Of urgent data, which is the rest of this interest, the socket is never told: it is not registered for it.
        while let Ok(ready) = self.0.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
        }
    }

    /// Tells the other side that nothing more comes.
    ///
    /// # Errors
    /// The system's, where the connection has ended before.
    pub fn end_sending(&self) -> io::Result<()> {
        SockRef::from(&*self.0).shutdown(Shutdown::Write)
    }

    /// Ends the connection once the other side has taken nothing of what is written for so long (RFC 5482).
    pub fn wait_for_reader(&self, most: std::time::Duration) {
        let _ = SockRef::from(&*self.0).set_tcp_user_timeout(Some(most)); // it waits longer without
    }

    /// Has the close reset the connection, so that the other side sees that what it has is not whole.
    pub fn reset_at_close(&self) {
        let _ = SockRef::from(&*self.0).set_linger(Some(std::time::Duration::ZERO)); // it ends in order without
    }

    /// Whether the other side has neither ended the connection nor said anything that has not been read. The
    /// runtime may not have seen it yet, so the system is asked.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.0).peek(&mut byte) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Waits until the other side says something or ends, and leaves that unread.
    pub async fn heard(&self) {
        let mut byte = [0];
        let _ = poll_fn(|cx| self.0.poll_peek(cx, &mut ReadBuf::new(&mut byte))).await; // an end, too
    }

    /// Reads and drops what comes until the other side ends, or `most` bytes have come.
    pub async fn drain(&self, most: usize) {
        let mut buffer = vec![0; 16 << 10];
        let mut left = most;
        while left > 0 {
            let mut buf = ReadBuf::new(&mut buffer);
            match poll_fn(|cx| self.poll_read(cx, &mut buf)).await {
                Ok(()) if !buf.filled().is_empty() => left = left.saturating_sub(buf.filled().len()),
                _ => return,
            }
        }
    }
}
