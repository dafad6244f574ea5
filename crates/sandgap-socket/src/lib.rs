//! Connected sockets that are read and written until the system itself says that there is no more.
//!
//! The runtime is told once of bytes or room that are there (edge-triggered epoll(7)), and its own streams take a call
//! that moved less than was asked for as news that the buffer is drained or full. But a call may be short for other
//! reasons, too (read(2), write(2)): whoever then waits to be told again waits for an edge that need not come. Here only
//! `EAGAIN` counts as that news. What it costs is one more call where a buffer is in fact drained.

use std::io;
use std::ops::Deref;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// A stream socket that is registered with the runtime. None of the calls here takes anything but `EAGAIN` for news.
pub trait StreamSocket {
    /// Waits until there may be something to read.
    fn poll_read_ready(&self, cx: &mut Context) -> Poll<io::Result<()>>;
    /// Waits until there may be room to write.
    fn poll_write_ready(&self, cx: &mut Context) -> Poll<io::Result<()>>;
    /// Reads what is there, up to the room that is left.
    ///
    /// # Errors
    /// `WouldBlock` where there is nothing; else the system's.
    fn try_read(&self, buf: &mut ReadBuf) -> io::Result<usize>;
    /// Writes what there is room for.
    ///
    /// # Errors
    /// `WouldBlock` where there is none; else the system's.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
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
        }
    };
}

stream_socket!(TcpStream);
stream_socket!(UnixStream);

/// A socket; clones are the same one, and it closes with the last of them.
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
    /// Reads what there is.
    ///
    /// # Errors
    /// The system's.
    pub fn poll_read_some(&self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        poll_until_blocked(cx, |cx| self.0.poll_read_ready(cx), || self.0.try_read(buf)).map_ok(|_| ())
    }

    /// Writes what there is room for.
    ///
    /// # Errors
    /// The system's.
    pub fn poll_write_some(&self, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_until_blocked(cx, |cx| self.0.poll_write_ready(cx), || self.0.try_write(bytes))
    }
}

/// Makes a call when the socket is ready, again where it was interrupted, and waits where it would block.
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
        Poll::Ready(Ok(())) // nothing is held back
    }

    /// Nothing: the sending ends with the last clone. Who wants to end it sooner asks the socket.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
