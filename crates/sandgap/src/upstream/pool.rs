//! Connections to backends: pooled, rested, retired, and bounded together by the budget of sockets.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::{JoinHandle, yield_now};
use tokio::time::{Instant, sleep_until, timeout};

use super::progress::{TrackedStream, WriteProgress};
use crate::body::Sending;
use crate::diagnostics::Diagnostics;
use crate::event::{Back, Endpoint};
use crate::socket::Socket;
use crate::view::View;

/// A pooled connection is retired after this part of the span after which a backend closes it.
const IDLE_PART: f64 = 0.7;
/// After an answer a connection rests: a second one may come some milliseconds late, and written behind the next request
/// it would pass for that one's. It rests for this part of the time that the answer took, which bounds what that costs,
/// and no longer than this. Waiting is cheaper than another connection, which the backend pays for too: with 30 ms and
/// another one dialled meanwhile a tenth of the short days' score was lost.
const REST: (u32, Duration) = (8, Duration::from_millis(10));
/// Longest wait until a connection is ready for its next request.
const READY: Duration = Duration::from_secs(1);
/// Bytes of a connection's buffer: room for any head, and a long body passes in pieces of it.
const BUFFER: usize = 16 << 10;

struct Idle {
    connection: Connection,
    since: Instant,
    /// It is not used again before, see [`REST`].
    rested: Instant,
}

/// A connection to a backend; dropping it closes the socket.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Sending>,
    pub(super) write_progress: Rc<WriteProgress>,
    stream: Socket,
    /// Its part of the budget, also held by the stream: it counts until the last of them lets go of the socket.
    _permit: Rc<OwnedSemaphorePermit>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Whether a request may be written to it: the backend has neither closed it nor said anything unasked.
    fn is_alive(&self) -> bool {
        self.sender.is_ready() && self.stream.is_quiet()
    }
}
/// What all attempts share: time-outs and the budget of sockets.
pub struct Upstreams {
    pub(super) diagnostics: Rc<Diagnostics>,
    /// How old the view is by which attempts are made.
    view: Rc<View>,
    dial_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    sockets: Arc<Semaphore>,
    most: usize,
    /// Sockets that clients leave to backends at present, see [`Upstreams::leave`].
    left: Cell<usize>,
    /// Idle connections by the number of their endpoint, in the order of their last use. Each holds a permit,
    /// so that the budget of sockets bounds them all together.
    idle: RefCell<FxHashMap<u64, Vec<Idle>>>,
}

impl Upstreams {
    /// Time-outs from the settings, and how many sockets all attempts may hold together.
    pub fn new(
        connections: &wharfhitch::settings::Connections, sockets: usize, diagnostics: Rc<Diagnostics>,
        view: Rc<View>,
    ) -> Self {
        let new = Upstreams {
            diagnostics,
            view,
            dial_timeout: Cell::default(),
            idle_limit: Cell::default(),
            sockets: Arc::new(Semaphore::new(sockets)),
            most: sockets,
            left: Cell::new(sockets),
            idle: RefCell::default(),
        };
        new.change(connections);
        new
    }

    /// Counts and traces what happens.
    pub fn diagnostics(&self) -> &Rc<Diagnostics> {
        &self.diagnostics
    }

    /// How old the view is by which attempts are made.
    pub fn view(&self) -> &Rc<View> {
        &self.view
    }

    /// Takes over other time-outs.
    pub fn change(&self, connections: &wharfhitch::settings::Connections) {
        let span = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3.6e6) / 1000.0);
        self.dial_timeout.set(span(connections.dial_timeout));
        self.idle_limit.set(span(connections.idle_close * IDLE_PART));
    }

    /// Sockets in use.
    pub fn in_use(&self) -> usize {
        self.most - self.sockets.available_permits()
    }

    /// So many sockets are left to backends: clients hold the others.
    pub fn leave(&self, sockets: usize) {
        self.left.set(sockets);
    }

    /// Closes idle connections until no more than so many sockets are in use, or none is idle.
    pub fn shrink(&self, most: usize) {
        while self.in_use() > most && self.idle.borrow().values().any(|all| !all.is_empty()) {
            self.close_idle();
        }
    }

    /// Closes the connection that has stood idle longest, whosever it is.
    pub fn close_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = |all: &Vec<Idle>| all.first().map(|i| i.since);
        if let Some(all) = idle.values_mut().filter(|a| !a.is_empty()).min_by_key(|a| oldest(a)) {
            all.remove(0);
        }
    }

    fn park(&self, endpoint: &Endpoint, connection: Connection, took: Duration) {
        if endpoint.is_open() {
            let since = Instant::now();
            let idle = Idle { connection, since, rested: since + (took / REST.0).min(REST.1) };
            self.idle.borrow_mut().entry(endpoint.number).or_default().push(idle);
        }
    }

    /// Of those that have rested the one used last, as it is the least likely to have been closed; else the one that has
    /// rested longest.
    fn unpark(&self, endpoint: &Endpoint) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let all = idle.get_mut(&endpoint.number)?;
        let now = Instant::now();
        let rested = all.iter().rposition(|i| i.rested <= now);
        (!all.is_empty()).then(|| all.remove(rested.unwrap_or(0)))
    }

    pub(super) async fn connection(&self, endpoint: &Endpoint) -> io::Result<Connection> {
        while let Some(idle) = self.unpark(endpoint) {
            if idle.since.elapsed() >= self.idle_limit.get() || !idle.connection.is_alive() {
                continue;
            }
            if idle.rested > Instant::now() {
                sleep_until(idle.rested).await;
                if !idle.connection.is_alive() {
                    continue;
                }
            }
            return Ok(idle.connection);
        }
        // Boxed, so that the many attempts that need no new connection don't carry the room for one.
        Box::pin(timeout(self.dial_timeout.get(), self.open(endpoint.address))).await?
    }

    async fn open(&self, address: SocketAddr) -> io::Result<Connection> {
        if self.sockets.available_permits() == 0 || self.in_use() >= self.left.get() {
            self.close_idle();
            yield_now().await; // its task lets go of it
        }
        let permit = self.sockets.clone().acquire_owned().await.map_err(io::Error::other)?;
        if self.in_use() > self.left.get() {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let stream = Socket::new(TcpStream::connect(address).await?);
        let write_progress = Rc::new(WriteProgress::default());
        let permit = Rc::new(permit);
        let io = TrackedStream {
            stream: stream.clone(),
            write_progress: write_progress.clone(),
            view: self.view.clone(),
            _permit: permit.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER)
            .handshake(TokioIo::new(io))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            let _ = connection.await; // errors show at the request
        });
        Ok(Connection { sender, write_progress, stream, _permit: permit, driver })
    }

    /// Pools a connection once it is ready for another request.
    pub(super) async fn keep(
        &self, endpoint: &Endpoint, mut connection: Connection, keep: bool, took: Duration,
    ) {
        if keep && matches!(timeout(READY, connection.sender.ready()).await, Ok(Ok(()))) {
            self.park(endpoint, connection, took);
        }
    }
}

impl Back for Upstreams {
    fn retire(&self, endpoint: &Endpoint) {
        self.idle.borrow_mut().remove(&endpoint.number);
    }

    fn sweep(&self) {
        let now = Instant::now();
        let fresh = |i: &Idle| now - i.since < self.idle_limit.get() && i.connection.is_alive();
        self.idle.borrow_mut().retain(|_, all| {
            all.retain(fresh);
            !all.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
