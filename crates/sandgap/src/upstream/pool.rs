//! Connection pool for backends: reuse, retirement, and the shared socket budget.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sandgap_driver::stalls::Stall;
use sandgap_driver::stream_admission::StreamAdmission;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};

use super::connection::{Connection, Exchanges, Liveness};
use super::reuse::Reuse;
use super::stall_watch::Stalls;
use crate::diagnostics::{Diagnostics, Event};
use crate::event::{BackendPool, Endpoint};
use crate::memory::Memory;
use crate::view::View;

/// A pooled connection is closed after this fraction of the idle time after which backends close it.
const IDLE_FRACTION: f64 = 0.7;
/// Longest wait for a connection that pauses after an answer. Waiting is cheaper than another connection, which costs the
/// backend, too.
const MAX_WAIT: Duration = Duration::from_millis(10);
/// Maximum wait until a connection is ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by all attempts: timeouts, the pool and the socket budget.
pub struct Upstreams {
    pub(super) diagnostics: Rc<Diagnostics>,
    /// Age of the state on which attempts are decided.
    view: Rc<View>,
    dial_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    sockets: Arc<Semaphore>,
    /// Attempts that wait for a socket.
    waiting: Cell<usize>,
    /// Maximum number of sockets to backends.
    max_sockets: usize,
    /// Sockets currently available to backends, see [`Upstreams::set_available`].
    available: Cell<usize>,
    /// Budgets for what backends make the process hold.
    pub(super) memory: Rc<Memory>,
    /// Connections opened so far.
    opened: Cell<u64>,
    pub(super) reuse: Rc<Reuse>,
    /// Finds backends that begin answers and then hang.
    pub(super) stalls: Stalls,
    /// Which answers of unknown length may begin.
    pub(super) streams: Rc<StreamAdmission>,
    /// When the process ends, once it has been told to.
    pub(super) shutdown_at: Cell<Option<Instant>>,
}

impl Upstreams {
    /// Takes the timeouts from the settings and the maximum number of sockets of all attempts together; `memory` bounds what
    /// backends make the process hold.
    pub fn new(
        connections: &wharfhitch::settings::Connections, sockets: usize, diagnostics: Rc<Diagnostics>,
        view: Rc<View>, memory: Rc<Memory>,
    ) -> Self {
        let new = Upstreams {
            reuse: Reuse::new(diagnostics.clone()),
            diagnostics,
            view,
            dial_timeout: Cell::default(),
            idle_limit: Cell::default(),
            sockets: Arc::new(Semaphore::new(sockets)),
            waiting: Cell::default(),
            max_sockets: sockets,
            available: Cell::new(sockets),
            memory,
            opened: Cell::default(),
            stalls: Stalls::new(),
            streams: StreamAdmission::new(sockets),
            shutdown_at: Cell::default(),
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

    /// The process has been told to end, and has answered everything by `at`.
    pub fn shut_down(&self, at: Instant) {
        self.shutdown_at.set(Some(self.shutdown_at.get().map_or(at, |earlier| earlier.min(at))));
    }

    /// Shares the sockets with another process: closes idle connections until at most `target` sockets are in use or none is
    /// idle.
    pub fn shrink(&self, target: usize) {
        self.streams.set_sockets(target.min(self.max_sockets));
        while self.in_use() > target && self.reuse.idle.close_oldest() {}
    }

    /// Closes the connection that has been idle longest, across all endpoints. False if there is none.
    pub fn close_idle(&self) -> bool {
        self.reuse.idle.close_oldest()
    }

    /// Takes a connection from the pool or opens one.
    pub(super) async fn connection(&self, endpoint: &Rc<Endpoint>) -> io::Result<Connection> {
        loop {
            let now = Instant::now();
            let Some(idle) = self.reuse.idle.take(endpoint.number, now, now + MAX_WAIT) else { break };
            if idle.since.elapsed() >= self.idle_limit.get() || !self.is_alive(endpoint, &idle.connection) {
                continue;
            }
            if idle.usable_from > Instant::now() {
                sleep_until(idle.usable_from).await;
                // Its backend may have lost trust meanwhile.
                let is_usable = self.reuse.is_usable(endpoint, &idle.connection);
                if !is_usable || !self.is_alive(endpoint, &idle.connection) {
                    continue;
                }
            }
            let is_quiet = idle.quiet_from <= Instant::now();
            self.diagnostics.count(Event::Upstream, if is_quiet { "reused_quiet" } else { "reused_soon" });
            return Ok(idle.connection);
        }
        // Boxed, so that the many attempts that reuse a connection don't reserve memory for these futures.
        let permit = Box::pin(self.socket_permit()).await?;
        Box::pin(timeout(self.dial_timeout.get(), self.open(endpoint, permit))).await?
    }

    /// Whether a pooled connection may carry another request.
    fn is_alive(&self, endpoint: &Endpoint, connection: &Connection) -> bool {
        let liveness = connection.liveness();
        if liveness == Liveness::Unsolicited {
            self.reuse.unsolicited(endpoint, &connection.exchanges);
        }
        liveness == Liveness::Alive
    }

    /// Waits for a socket, for as long as a connection may take to be established. An idle connection is closed for it.
    ///
    /// # Errors
    /// `QuotaExceeded`: there is none, which is not the backend's fault.
    async fn socket_permit(&self) -> io::Result<OwnedSemaphorePermit> {
        if self.sockets.available_permits() == 0 {
            self.close_idle();
        } else if self.in_use() >= self.available.get() {
            self.close_idle();
            yield_now().await; // lets the connection's task release the socket
        }
        // Without another turn before this, so that no later attempt takes the socket of the connection that was closed.
        let _waiting = Waiting::new(&self.waiting);
        let permit = timeout(self.dial_timeout.get(), self.sockets.clone().acquire_owned()).await;
        let permit = permit.map_err(|_| io::ErrorKind::QuotaExceeded)?.map_err(io::Error::other)?;
        if self.in_use() > self.available.get() {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        Ok(permit)
    }

    async fn open(&self, endpoint: &Rc<Endpoint>, permit: OwnedSemaphorePermit) -> io::Result<Connection> {
        let number = self.opened.get() + 1;
        self.opened.set(number);
        let (reuse, from) = (Rc::downgrade(&self.reuse), endpoint.clone());
        let on_unsolicited = move |exchanges: &Exchanges| {
            if let Some(reuse) = reuse.upgrade() {
                reuse.unsolicited(&from, exchanges);
            }
        };
        let opened =
            Connection::open(endpoint.address, number, permit, self.view.clone(), on_unsolicited).await?;
        self.diagnostics.count(Event::Upstream, "opened");
        Ok(opened)
    }

    /// Returns a connection to the pool once it is ready for another request. If an attempt waits for a socket, the connection
    /// that has been idle longest is closed for it.
    pub(super) async fn keep(&self, endpoint: &Endpoint, mut connection: Connection, keep: bool) {
        if keep && matches!(timeout(READY_TIMEOUT, connection.sender.ready()).await, Ok(Ok(()))) {
            self.reuse.keep(endpoint, connection);
            if self.waiting.get() > 0 {
                self.close_idle();
            }
        }
    }
}

/// Counts an attempt that waits for a socket while this exists.
struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl BackendPool for Upstreams {
    fn retire(&self, endpoint: &Endpoint) {
        self.reuse.idle.close(endpoint.number);
        self.stalls.forget(endpoint.number);
    }

    fn review_stalls(&self) -> Vec<Stall> {
        let changes = self.stalls.review();
        for change in &changes {
            self.diagnostics.count(Event::Stall, if change.is_stalled { "stalled" } else { "went_on" });
        }
        changes
    }

    fn sweep(&self) {
        let now = Instant::now();
        self.reuse.idle.sweep(|idle| now - idle.since >= self.idle_limit.get());
        self.reuse.prune();
    }
}

#[cfg(test)]
mod tests;
