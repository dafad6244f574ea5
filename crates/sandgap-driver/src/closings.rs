//! Recent closings of backends (draining or removed), which a list that may be outdated must not undo too early.

use std::time::Duration;

use rustc_hash::FxHashMap;
use wharfhitch::BackendId;

use crate::core::Time;
use crate::endpoint::Host;

/// A list that may be outdated reopens a closed backend only after this time. Discovery is assumed to deliver any change
/// within 6 s, so that by then every service knows what another one had announced.
pub const REOPEN_AFTER: Duration = Duration::from_secs(6);

struct Closing {
    /// When the closing was announced.
    closed_at: Time,
    /// Start time of the process that was closed.
    start_time_ms: f64,
    /// Entry of an uncertain list that says that the backend accepts requests again.
    deferred: Option<Host>,
}

/// Recent closings. Their number is bounded by the backends listed within [`REOPEN_AFTER`].
#[derive(Default)]
pub(crate) struct Closings(FxHashMap<BackendId, Closing>);

impl Closings {
    /// Records that a backend drains or is gone; `start_time_ms` may be 0 if the list entry lacks the start time.
    pub(crate) fn record_closing(&mut self, now: Time, id: BackendId, start_time_ms: f64) {
        let known = self.0.get(&id).map_or(0.0, |closing| closing.start_time_ms);
        let start_time_ms = start_time_ms.max(known);
        self.0.insert(id, Closing { closed_at: now, start_time_ms, deferred: None });
    }

    /// Records that a certainly newer list says that the backend accepts requests.
    pub(crate) fn record_opening(&mut self, id: BackendId) {
        self.0.remove(&id);
    }

    /// Handles an uncertain list's entry that says that a backend accepts requests. If it must wait, stores it and returns
    /// when it takes effect.
    pub(crate) fn defer_opening(&mut self, now: Time, id: BackendId, host: &Host) -> Option<Time> {
        let closing = self.0.get_mut(&id)?;
        let effective_at = closing.closed_at + REOPEN_AFTER;
        if now >= effective_at || host.start_time_ms > closing.start_time_ms {
            self.0.remove(&id);
            return None;
        }
        closing.deferred = Some(host.clone());
        Some(effective_at)
    }

    /// Takes the deferred entry of a backend, if it takes effect by now.
    pub(crate) fn take_due(&mut self, now: Time, id: BackendId) -> Option<Host> {
        let closing = self.0.get_mut(&id)?;
        if now < closing.closed_at + REOPEN_AFTER {
            return None; // it was closed again meanwhile, which has its own timer
        }
        let host = closing.deferred.take();
        self.0.remove(&id);
        host
    }

    /// Removes closings that no outdated list can undo any more.
    pub(crate) fn remove_expired(&mut self, now: Time) {
        self.0.retain(|_, closing| closing.deferred.is_some() || now < closing.closed_at + REOPEN_AFTER);
    }
}
