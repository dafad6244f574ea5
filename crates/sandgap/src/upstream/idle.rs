//! Idle connections to backends, and the choice of the one that carries the next request.

use std::cell::RefCell;

use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::connection::{Connection, Liveness};

/// An idle connection.
pub(super) struct Idle {
    pub(super) connection: Connection,
    pub(super) since: Instant,
    /// It is not used again before this time.
    pub(super) usable_from: Instant,
    /// From this time on, answers on it prove something about their requests.
    pub(super) quiet_from: Instant,
}

/// Idle connections by endpoint number, each list in the order of last use. Each connection holds a permit, so the socket
/// budget bounds their total number.
#[derive(Default)]
pub(super) struct IdleConnections(RefCell<FxHashMap<u64, Vec<Idle>>>);

impl IdleConnections {
    /// Adds a connection.
    pub(super) fn add(&self, endpoint: u64, idle: Idle) {
        self.0.borrow_mut().entry(endpoint).or_default().push(idle);
    }

    /// Takes the most recently used of the quiet connections, as it is the least likely to have been closed; else the usable
    /// one that has been quiet for longest; else the one that is usable first, if that is at `latest` at the latest.
    pub(super) fn take(&self, endpoint: u64, now: Instant, latest: Instant) -> Option<Idle> {
        let mut connections = self.0.borrow_mut();
        let all = connections.get_mut(&endpoint)?;
        let quiet = all.iter().rposition(|idle| idle.quiet_from <= now);
        let usable = || all.iter().position(|idle| idle.usable_from <= now);
        let usable_soon = || {
            let (position, idle) = all.iter().enumerate().min_by_key(|(_, idle)| idle.usable_from)?;
            (idle.usable_from <= latest).then_some(position)
        };
        let position = quiet.or_else(usable).or_else(usable_soon)?;
        Some(all.remove(position))
    }

    /// Closes all connections of an endpoint.
    pub(super) fn close(&self, endpoint: u64) {
        let closed = self.0.borrow_mut().remove(&endpoint);
        drop(closed); // after the borrow has ended
    }

    /// Closes the connection that has been idle longest, across all endpoints. False if there is none.
    pub(super) fn close_oldest(&self) -> bool {
        let mut connections = self.0.borrow_mut();
        let since = |all: &Vec<Idle>| all.first().map(|idle| idle.since);
        let oldest = connections.values_mut().filter(|all| !all.is_empty()).min_by_key(|all| since(all));
        oldest.map(|all| all.remove(0)).is_some()
    }

    /// Closes the connections that have ended or that `is_expired` names.
    pub(super) fn sweep(&self, is_expired: impl Fn(&Idle) -> bool) {
        self.0.borrow_mut().retain(|_, all| {
            all.retain(|idle| !is_expired(idle) && idle.connection.liveness() == Liveness::Alive);
            !all.is_empty()
        });
    }

    /// The connections of an endpoint.
    #[cfg(test)]
    pub(super) fn all_finished(&self, endpoint: u64) -> bool {
        self.0.borrow()[&endpoint].iter().all(|idle| idle.connection.is_finished())
    }
}
