//! Stream sockets that are read and written until the system returns `EAGAIN`.
//!
//! Tokio uses edge-triggered epoll(7), and its own streams treat a short read or write as a sign that the buffer is drained
//! or full. But a call may be short for other reasons, too (read(2), write(2)); a task that then waits for readiness waits
//! for an edge that may never come. Here only `EAGAIN` clears readiness. The cost is one more call when a buffer really is
//! drained.

use std::io::{self, IoSlice};
use std::ops::Deref;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// A stream socket that is registered with the runtime. Only `EAGAIN` clears its readiness.
pub trait StreamSocket {
    /// Waits until the socket may be readable.
    fn poll_read_ready(&self, cx: &mut Context) -> Poll<io::Result<()>>;
    /// Waits until the socket may be writable.
    fn poll_write_ready(&self, cx: &mut Context) -> Poll<io::Result<()>>;
    /// Reads available bytes, up to the buffer's remaining capacity.
    ///
    /// # Errors
    /// `WouldBlock` if nothing is available, else the system's error.
    fn try_read(&self, buf: &mut ReadBuf) -> io::Result<usize>;
    /// Writes as many bytes as the send buffer accepts.
    ///
    /// # Errors
    /// `WouldBlock` if the send buffer is full, else the system's error.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Writes as many bytes of several buffers, in order, as the send buffer accepts.
    ///
    /// # Errors
    /// `WouldBlock` if the send buffer is full, else the system's error.
    fn try_write_vectored(&self, buffers: &[IoSlice]) -> io::Result<usize>;
}

macro_rules! stream_socket {
    ($socket:ty) => {
        impl StreamSocket for $socket {
            fn poll_read_ready(&self, cx: &mut Context) -> Poll<io::Result<()>> {
                <$socket>::poll_read_ready(self, cx)
            }

            fn poll_write_ready(&self, cx: &mut Context) -> Poll<io::Result<()>> {
                <$socket>::poll_write_ready(self, cx)
            }

            fn try_read(&self, mut buf: &mut ReadBuf) -> io::Result<usize> {
                self.try_read_buf(&mut buf)
            }

            fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
                <$socket>::try_write(self, bytes)
            }

            fn try_write_vectored(&self, buffers: &[IoSlice]) -> io::Result<usize> {
                <$socket>::try_write_vectored(self, buffers)
            }
        }
    };
}

stream_socket!(TcpStream);
stream_socket!(UnixStream);

/// A reference-counted socket; it closes when the last clone is dropped.
pub struct SharedStream<S>(Rc<S>);

impl<S> Clone for SharedStream<S> {
    fn clone(&self) -> Self {
        SharedStream(self.0.clone())
    }
}

impl<S> Deref for SharedStream<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.0
    }
}

impl<S> From<S> for SharedStream<S> {
    fn from(socket: S) -> Self {
        SharedStream(Rc::new(socket))
    }
}

impl<S: StreamSocket> SharedStream<S> {
    /// Reads available bytes into `buf`, or waits until there are some.
    ///
    /// # Errors
    /// The system's error.
    pub fn poll_read_some(&self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        poll_until_blocked(cx, |cx| self.0.poll_read_ready(cx), || self.0.try_read(buf)).map_ok(|_| ())
    }

    /// Writes as many bytes as the send buffer accepts, or waits until it accepts some.
    ///
    /// # Errors
    /// The system's error.
    pub fn poll_write_some(&self, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_until_blocked(cx, |cx| self.0.poll_write_ready(cx), || self.0.try_write(bytes))
    }

    /// Writes as many bytes of several buffers as the send buffer accepts, or waits until it accepts some.
    ///
    /// # Errors
    /// The system's error.
    pub fn poll_write_some_vectored(&self, cx: &mut Context, buffers: &[IoSlice]) -> Poll<io::Result<usize>> {
        poll_until_blocked(cx, |cx| self.0.poll_write_ready(cx), || self.0.try_write_vectored(buffers))
    }
}

/// Makes a call when the socket is ready; retries it if it was interrupted, and waits if it would block.
fn poll_until_blocked(
    cx: &mut Context, ready: impl Fn(&mut Context) -> Poll<io::Result<()>>,
    mut call: impl FnMut() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(ready(cx))?;
        match call() {
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            outcome => return Poll::Ready(outcome),
        }
    }
}

impl<S: StreamSocket> AsyncRead for SharedStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        self.poll_read_some(cx, buf)
    }
}

impl<S: StreamSocket> AsyncWrite for SharedStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_some(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // nothing is buffered
    }

    /// Does nothing: the write side closes with the last clone. To close it earlier, shut down the socket itself.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
