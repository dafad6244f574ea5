//! One connection to a backend: its socket, the HTTP client on it, and the exchanges that it has carried.

use std::cell::{Cell, RefCell};
use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sandgap_driver::reuse::ConnectionHistory;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use wharfhitch::RequestId;

use super::progress::{TrackedStream, WriteProgress};
use crate::body::RequestBody;
use crate::socket::{Received, Socket};
use crate::view::View;

/// Buffer size of a connection: room for any head; long bodies pass through it in pieces.
const BUFFER_BYTES: usize = 16 << 10;

/// A connection to a backend; dropping it closes the socket.
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    pub(super) write_progress: Rc<WriteProgress>,
    pub(super) exchanges: Rc<Exchanges>,
    stream: Socket,
    /// Permit of the socket budget, shared with the stream: the socket counts until both have been dropped.
    _permit: Rc<OwnedSemaphorePermit>,
    driver: JoinHandle<()>,
}

/// The exchanges of a connection.
pub(super) struct Exchanges {
    pub(super) history: RefCell<ConnectionHistory>,
    opened: Instant,
    /// The latest request whose answer has ended, for logs.
    pub(super) last_request: Cell<Option<RequestId>>,
}

impl Exchanges {
    /// Age of the connection.
    pub(super) fn age(&self) -> Duration {
        self.opened.elapsed()
    }
}

/// Whether a pooled connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Liveness {
    /// It is open, and nothing has arrived on it.
    Alive,
    /// It has ended.
    Ended,
    /// Bytes have arrived that no request asked for.
    Unsolicited,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects to a backend. `on_unsolicited` is called if it sends bytes that no request asked for.
    pub(super) async fn open(
        address: SocketAddr, number: u64, permit: OwnedSemaphorePermit, view: Rc<View>,
        on_unsolicited: impl FnOnce(&Exchanges) + 'static,
    ) -> io::Result<Self> {
        let stream = Socket::new(TcpStream::connect(address).await?);
        let write_progress = Rc::new(WriteProgress::default());
        let exchanges = Rc::new(Exchanges {
            history: RefCell::new(ConnectionHistory::new(number)),
            opened: Instant::now(),
            last_request: Cell::default(),
        });
        let permit = Rc::new(permit);
        let io = TrackedStream {
            stream: stream.clone(),
            write_progress: write_progress.clone(),
            view,
            _permit: permit.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(io))
            .await
            .map_err(io::Error::other)?;
        let recorded = exchanges.clone();
        let driver = tokio::task::spawn_local(async move {
            // Other errors are reported by the request.
            if connection.await.is_err_and(|e| is_unsolicited(&e)) {
                on_unsolicited(&recorded);
            }
        });
        Ok(Connection { sender, write_progress, exchanges, stream, _permit: permit, driver })
    }

    /// Whether another request may be written.
    pub(super) fn liveness(&self) -> Liveness {
        match self.stream.received() {
            Received::Nothing if self.sender.is_ready() => Liveness::Alive,
            Received::Nothing | Received::End => Liveness::Ended,
            Received::Bytes => Liveness::Unsolicited,
        }
    }

    /// Whether the HTTP client on the connection has ended.
    #[cfg(test)]
    pub(super) fn is_finished(&self) -> bool {
        self.driver.is_finished()
    }
}

/// Whether an error of the HTTP client says that bytes arrived while no answer was due. Hyper has no predicate for this
/// kind: it is the one without a cause that none of its other predicates names.
fn is_unsolicited(error: &hyper::Error) -> bool {
    let is_other = error.is_parse()
        || error.is_user()
        || error.is_canceled()
        || error.is_closed()
        || error.is_incomplete_message()
        || error.is_body_write_aborted()
        || error.is_timeout();
    !is_other && error.source().is_none()
}
