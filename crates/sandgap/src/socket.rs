//! A connected socket with two users on one thread: hyper, which reads and writes it, and the one who looks
//! after the connection.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket; clones are the same one. It is borrowed for the length of one system call at a time.
///
/// Reads go through [`TcpStream`]'s own `poll_read`: it neither clears the buffer first nor asks the system
/// again after a read that did not fill it.
#[derive(Clone)]
pub struct Socket(Rc<RefCell<TcpStream>>);

impl Socket {
    /// Takes over a connection; small writes go out at once.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // slower without, no worse
        Socket(Rc::new(RefCell::new(stream)))
    }

    /// Reads what there is.
    pub fn poll_read(&self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buf)
    }

    /// Writes what there is room for.
    pub fn poll_write(&self, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(cx, bytes)
    }

    /// Tells the other side that nothing more comes.
    ///
    /// # Errors
    /// The system's, where the connection has ended before.
    pub fn end_sending(&self) -> io::Result<()> {
        SockRef::from(&*self.0.borrow()).shutdown(Shutdown::Write)
    }

    /// Ends the connection once the other side has taken nothing of what is written for so long (RFC 5482).
    pub fn wait_for_reader(&self, most: std::time::Duration) {
        let _ = SockRef::from(&*self.0.borrow()).set_tcp_user_timeout(Some(most)); // it waits longer without
    }

    /// Whether the other side has neither ended the connection nor said anything that has not been read. The
    /// runtime may not have seen it yet, so the system is asked.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.0.borrow()).peek(&mut byte) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Waits until the other side says something or ends, and leaves that unread.
    pub async fn heard(&self) {
        let mut byte = [0];
        let _ = poll_fn(|cx| self.0.borrow().poll_peek(cx, &mut ReadBuf::new(&mut byte))).await; // an end, too
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
