//! A connected socket with two users on one thread: hyper, which reads and writes it, and the one who looks
//! after the connection.

use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::task::{Context, Poll};

use sandgap_socket::SharedStream;
use socket2::SockRef;
use tokio::io::{Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Listens on an address that no other process listens on.
///
/// # Errors
/// The system's, where the address can't be used.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// A socket; clones are the same one. Reads and writes go on until the system says that there is no more, see
/// [`sandgap_socket`].
#[derive(Clone)]
pub struct Socket(SharedStream<TcpStream>);

impl Socket {
    /// Takes over a connection; small writes go out at once.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // slower without, no worse
        Socket(stream.into())
    }

    /// Reads what there is.
    pub fn poll_read(&self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        self.0.poll_read_some(cx, buf)
    }

    /// Writes what there is room for.
    pub fn poll_write(&self, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.0.poll_write_some(cx, bytes)
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
        loop {
            match SockRef::from(&*self.0).peek(&mut byte) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == io::ErrorKind::WouldBlock,
                Ok(_) => return false,
            }
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
