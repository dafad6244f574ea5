//! Connection pool for backends: reuse, rest times, retirement, and the shared socket budget.

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
use crate::body::RequestBody;
use crate::diagnostics::Diagnostics;
use crate::event::{BackendPool, Endpoint};
use crate::socket::Socket;
use crate::view::View;

/// A pooled connection is closed after this fraction of the idle time after which backends close it.
const IDLE_FRACTION: f64 = 0.7;
/// Rest time of a connection after an answer: the answer's duration divided by the first value, at most the second. A
/// spurious second answer may arrive some milliseconds late and would be taken for the answer to the next request. The
/// divisor bounds the cost. Waiting is cheaper than another connection, which costs the backend too: with 30 ms and a new
/// connection dialled meanwhile, a tenth of the score of short days was lost.
const REST: (u32, Duration) = (8, Duration::from_millis(10));
/// Maximum wait until a connection is ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// Buffer size of a connection: room for any head; long bodies pass through it in pieces.
const BUFFER_BYTES: usize = 16 << 10;

/// An idle connection in the pool.
struct Idle {
    connection: Connection,
    since: Instant,
    /// Not reused before this time, see [`REST`].
    usable_at: Instant,
}

/// A connection to a backend; dropping it closes the socket.
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    pub(super) write_progress: Rc<WriteProgress>,
    stream: Socket,
    /// Permit of the socket budget, shared with the stream: the socket counts until both have been dropped.
    _permit: Rc<OwnedSemaphorePermit>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Whether a request may be written: the backend has neither closed the connection nor sent unsolicited bytes.
    fn is_alive(&self) -> bool {
        self.sender.is_ready() && self.stream.is_quiet()
    }
}

/// State shared by all attempts: timeouts, the pool and the socket budget.
pub struct Upstreams {
    pub(super) diagnostics: Rc<Diagnostics>,
    /// Age of the state on which attempts are decided.
    view: Rc<View>,
    dial_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    sockets: Arc<Semaphore>,
    /// Maximum number of sockets to backends.
    max_sockets: usize,
    /// Sockets currently available to backends, see [`Upstreams::set_available`].
    available: Cell<usize>,
    /// Idle connections by endpoint number, in the order of their last use. Each holds a permit, so the socket budget
    /// bounds their total number.
    idle: RefCell<FxHashMap<u64, Vec<Idle>>>,
}

impl Upstreams {
    /// Takes the timeouts from the settings and the maximum number of sockets of all attempts together.
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
            max_sockets: sockets,
            available: Cell::new(sockets),
            idle: RefCell::default(),
        };
        new.change(connections);
        new
    }

    /// Event counters and the trace.
    pub fn diagnostics(&self) -> &Rc<Diagnostics> {
        &self.diagnostics
    }

    /// Age of the state on which attempts are decided.
    pub fn view(&self) -> &Rc<View> {
        &self.view
    }

    /// Applies changed timeouts.
    pub fn change(&self, connections: &wharfhitch::settings::Connections) {
        let span = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3.6e6) / 1000.0);
        self.dial_timeout.set(span(connections.dial_timeout));
        self.idle_limit.set(span(connections.idle_close * IDLE_FRACTION));
    }

    /// Number of sockets in use.
    pub fn in_use(&self) -> usize {
        self.max_sockets - self.sockets.available_permits()
    }

    /// Sets how many sockets are available to backends; clients hold the others.
    pub fn set_available(&self, sockets: usize) {
        self.available.set(sockets);
    }

    /// Closes idle connections until at most `target` sockets are in use or none is idle.
    pub fn shrink(&self, target: usize) {
        while self.in_use() > target && self.idle.borrow().values().any(|all| !all.is_empty()) {
            self.close_idle();
        }
    }

    /// Closes the connection that has been idle longest, across all endpoints.
    pub fn close_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = |all: &Vec<Idle>| all.first().map(|i| i.since);
        if let Some(all) = idle.values_mut().filter(|a| !a.is_empty()).min_by_key(|a| oldest(a)) {
            all.remove(0);
        }
    }

    /// Adds an idle connection to the pool, unless its endpoint has been closed.
    fn return_idle(&self, endpoint: &Endpoint, connection: Connection, took: Duration) {
        if endpoint.is_open() {
            let since = Instant::now();
            let idle = Idle { connection, since, usable_at: since + (took / REST.0).min(REST.1) };
            self.idle.borrow_mut().entry(endpoint.number).or_default().push(idle);
        }
    }

    /// Takes the most recently used of the rested connections, as it is the least likely to have been closed; if none has
    /// rested, the one that has rested longest.
    fn take_idle(&self, endpoint: &Endpoint) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let all = idle.get_mut(&endpoint.number)?;
        let now = Instant::now();
        let rested = all.iter().rposition(|i| i.usable_at <= now);
        (!all.is_empty()).then(|| all.remove(rested.unwrap_or(0)))
    }

    /// Takes a connection from the pool or opens one.
    pub(super) async fn connection(&self, endpoint: &Endpoint) -> io::Result<Connection> {
        while let Some(idle) = self.take_idle(endpoint) {
            if idle.since.elapsed() >= self.idle_limit.get() || !idle.connection.is_alive() {
                continue;
            }
            if idle.usable_at > Instant::now() {
                sleep_until(idle.usable_at).await;
                if !idle.connection.is_alive() {
                    continue;
                }
            }
            return Ok(idle.connection);
        }
        // Boxed, so that the many attempts that reuse a connection don't reserve memory for this future.
        Box::pin(timeout(self.dial_timeout.get(), self.open(endpoint.address))).await?
    }

    async fn open(&self, address: SocketAddr) -> io::Result<Connection> {
        if self.sockets.available_permits() == 0 || self.in_use() >= self.available.get() {
            self.close_idle();
            yield_now().await; // lets the connection's task release the socket
        }
        let permit = self.sockets.clone().acquire_owned().await.map_err(io::Error::other)?;
        if self.in_use() > self.available.get() {
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
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(io))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            let _ = connection.await; // errors are reported by the request
        });
        Ok(Connection { sender, write_progress, stream, _permit: permit, driver })
    }

    /// Returns a connection to the pool once it is ready for another request.
    pub(super) async fn keep(
        &self, endpoint: &Endpoint, mut connection: Connection, keep: bool, took: Duration,
    ) {
        if keep && matches!(timeout(READY_TIMEOUT, connection.sender.ready()).await, Ok(Ok(()))) {
            self.return_idle(endpoint, connection, took);
        }
    }
}

impl BackendPool for Upstreams {
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
