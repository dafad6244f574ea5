//! A connected socket shared by two users on one thread: hyper, which reads and writes it, and the code that manages
//! the connection.

use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::task::{Context, Poll};

use sandgap_socket::SharedStream;
use socket2::SockRef;
use tokio::io::{Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that are read and discarded at once.
const DISCARD_BYTES: usize = 16 << 10;

/// Listens on an address without sharing it with another process.
///
/// # Errors
/// The system's error if the address can't be used.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// What has arrived on a connection and is unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// Nothing.
    Nothing,
    /// At least one byte.
    Bytes,
    /// The end of the connection, or an error.
    End,
}

/// A shared socket; clones refer to the same one. Reads and writes continue until the system reports that it would
/// block, see [`sandgap_socket`].
#[derive(Clone)]
pub struct Socket(SharedStream<TcpStream>);

impl Socket {
    /// Wraps a connection and disables Nagle's algorithm, so that small writes are sent at once.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // on failure only slower
        Socket(stream.into())
    }

    /// Reads available bytes.
    pub fn poll_read(&self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        self.0.poll_read_some(cx, buf)
    }

    /// Writes as many bytes as the socket accepts.
    pub fn poll_write(&self, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.0.poll_write_some(cx, bytes)
    }

    /// Writes as many bytes of several buffers as the socket accepts.
    pub fn poll_write_vectored(&self, cx: &mut Context, buffers: &[IoSlice]) -> Poll<io::Result<usize>> {
        self.0.poll_write_some_vectored(cx, buffers)
    }

    /// Waits until the peer has closed its sending side or the connection, even if unread bytes precede the close.
    pub async fn peer_closed(&self) {
        // This interest also covers urgent data, but the socket is not registered for that and is never notified of it.
        while let Ok(ready) = self.0.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
        }
    }

    /// Closes the sending side of the connection.
    ///
    /// # Errors
    /// The system's error if the connection has already ended.
    pub fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(&*self.0).shutdown(Shutdown::Write)
    }

    /// Closes the connection once the peer has acknowledged no written data for `timeout` (TCP user timeout, RFC 5482).
    pub fn set_reader_timeout(&self, timeout: std::time::Duration) {
        let _ = SockRef::from(&*self.0).set_tcp_user_timeout(Some(timeout)); // on failure it waits longer
    }

    /// Makes the close reset the connection, so that the peer sees that the data is incomplete.
    pub fn set_reset_on_close(&self) {
        let _ = SockRef::from(&*self.0).set_linger(Some(std::time::Duration::ZERO)); // on failure the close is orderly
    }

    /// What has arrived and is unread. Asks the system, as the runtime may not have noticed yet.
    pub fn received(&self) -> Received {
        let mut byte = [MaybeUninit::uninit()];
        loop {
            match SockRef::from(&*self.0).peek(&mut byte) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Received::Nothing,
                Ok(0) | Err(_) => return Received::End,
                Ok(_) => return Received::Bytes,
            }
        }
    }

    /// Whether the peer has neither closed the connection nor sent unread bytes.
    pub fn is_quiet(&self) -> bool {
        self.received() == Received::Nothing
    }

    /// Waits until the peer sends something or closes, without reading it.
    pub async fn readable(&self) {
        let mut byte = [0];
        // A close also counts as readable.
        let _ = poll_fn(|cx| self.0.poll_peek(cx, &mut ReadBuf::new(&mut byte))).await;
    }

    /// Reads and discards data until the peer closes or `max_bytes` have been read.
    pub async fn discard_input(&self, max_bytes: usize) {
        let mut left = max_bytes;
        while left > 0 {
            // The buffer exists only while it is read into: many connections may wait here.
            let read = poll_fn(|cx| {
                let mut buffer = [MaybeUninit::uninit(); DISCARD_BYTES];
                let mut buf = ReadBuf::uninit(&mut buffer);
                self.poll_read(cx, &mut buf).map_ok(|()| buf.filled().len())
            });
            match read.await {
                Ok(count) if count > 0 => left = left.saturating_sub(count),
                _ => return,
            }
        }
    }
}
