//! Connection pool for backends: reuse, rest times, retirement, and the shared socket budget.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};

use super::connection::{Connection, Exchanges, Liveness};
use crate::diagnostics::{Diagnostics, Event};
use crate::event::{BackendPool, Endpoint};
use crate::note;
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
/// Shortest interval between two log lines about unsolicited bytes.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// An idle connection in the pool.
struct Idle {
    connection: Connection,
    since: Instant,
    /// Not reused before this time, see [`REST`].
    usable_at: Instant,
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
    /// Connections opened so far.
    opened: Cell<u64>,
    /// When unsolicited bytes were last logged.
    unsolicited_logged: Rc<Cell<Option<Instant>>>,
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
            opened: Cell::default(),
            unsolicited_logged: Rc::default(),
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
            if idle.since.elapsed() >= self.idle_limit.get()
                || !self.is_alive(endpoint.address, &idle.connection)
            {
                continue;
            }
            if idle.usable_at > Instant::now() {
                sleep_until(idle.usable_at).await;
                if !self.is_alive(endpoint.address, &idle.connection) {
                    continue;
                }
            }
            self.diagnostics.count(Event::Upstream, "reused");
            return Ok(idle.connection);
        }
        // Boxed, so that the many attempts that reuse a connection don't reserve memory for this future.
        Box::pin(timeout(self.dial_timeout.get(), self.open(endpoint.address))).await?
    }

    /// Whether a pooled connection may carry another request.
    fn is_alive(&self, address: SocketAddr, connection: &Connection) -> bool {
        let liveness = connection.liveness();
        if liveness == Liveness::Unsolicited {
            self.unsolicited_report(address).write(&connection.exchanges);
        }
        liveness == Liveness::Alive
    }

    fn unsolicited_report(&self, address: SocketAddr) -> UnsolicitedReport {
        let (diagnostics, logged) = (self.diagnostics.clone(), self.unsolicited_logged.clone());
        UnsolicitedReport { address, diagnostics, logged }
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
        let report = self.unsolicited_report(address);
        let number = self.opened.get() + 1;
        self.opened.set(number);
        let on_unsolicited = move |exchanges: &Exchanges| report.write(exchanges);
        let opened = Connection::open(address, number, permit, self.view.clone(), on_unsolicited).await?;
        self.diagnostics.count(Event::Upstream, "opened");
        Ok(opened)
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

/// Counts, traces and logs bytes of a backend that no request asked for.
struct UnsolicitedReport {
    address: SocketAddr,
    diagnostics: Rc<Diagnostics>,
    logged: Rc<Cell<Option<Instant>>>,
}

impl UnsolicitedReport {
    fn write(&self, exchanges: &Exchanges) {
        let (connection, answers) = (exchanges.connection, exchanges.answers.get());
        let (quiet, age) = (exchanges.quiet(), exchanges.age());
        let request = exchanges.last_request().map(|request| request.0);
        self.diagnostics.count(Event::Unsolicited, if answers == 0 { "first" } else { "after_answer" });
        self.diagnostics.trace("unsolicited", || {
            json!({"backend": self.address, "connection": connection, "answers": answers, "last_request": request,
                "quiet_ms": quiet.map(ms), "age_ms": ms(age)})
        });
        if self.logged.get().is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged.set(Some(Instant::now()));
        let quiet = quiet.map_or(0.0, ms);
        note!(
            warn: "backend {} has sent bytes that no request asked for on connection {connection}, {quiet:.1} ms after \
            answer {answers}; the connection is closed",
            self.address
        );
    }
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

impl BackendPool for Upstreams {
    fn retire(&self, endpoint: &Endpoint) {
        self.idle.borrow_mut().remove(&endpoint.number);
    }

    fn sweep(&self) {
        let now = Instant::now();
        let fresh =
            |i: &Idle| now - i.since < self.idle_limit.get() && i.connection.liveness() == Liveness::Alive;
        self.idle.borrow_mut().retain(|_, all| {
            all.retain(fresh);
            !all.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
