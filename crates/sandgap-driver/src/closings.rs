//! Backends that were told to drain or to be gone of late, and lists that may be too old to take that back.

use std::time::Duration;

use rustc_hash::FxHashMap;
use wharfhitch::BackendId;

use crate::core::Time;
use crate::endpoint::Host;

/// A list that may be older opens a closed backend again only after this span: whatever discovery has to tell counts as told
/// 6 s later, so that by then any service knows what another one had told.
pub const REOPEN_AFTER: Duration = Duration::from_secs(6);

struct Closing {
    told_at: Time,
    /// Start of the process that was closed.
    born_ms: f64,
    /// An uncertain list's word that it takes work again.
    held_back: Option<Host>,
}

/// The closings of late. Bounded by the backends on the lists of [`REOPEN_AFTER`].
#[derive(Default)]
pub(crate) struct Closings(FxHashMap<BackendId, Closing>);

impl Closings {
    /// A backend has been told to drain or to be gone; what says so may leave out when it started.
    pub(crate) fn closed(&mut self, now: Time, id: BackendId, born_ms: f64) {
        let known = self.0.get(&id).map_or(0.0, |closing| closing.born_ms);
        let born_ms = born_ms.max(known);
        self.0.insert(id, Closing { told_at: now, born_ms, held_back: None });
    }

    /// A list that is surely newer says that it takes work.
    pub(crate) fn opened(&mut self, id: BackendId) {
        self.0.remove(&id);
    }

    /// Keeps an uncertain list's word that a backend takes work; returns when it counts, if it doesn't yet.
    pub(crate) fn hold_back(&mut self, now: Time, id: BackendId, host: &Host) -> Option<Time> {
        let closing = self.0.get_mut(&id)?;
        let counts_at = closing.told_at + REOPEN_AFTER;
        if now >= counts_at || host.born_ms > closing.born_ms {
            self.0.remove(&id);
            return None;
        }
        closing.held_back = Some(host.clone());
        Some(counts_at)
    }

    /// What was held back of a backend and counts by now.
    pub(crate) fn due(&mut self, now: Time, id: BackendId) -> Option<Host> {
        let closing = self.0.get_mut(&id)?;
        if now < closing.told_at + REOPEN_AFTER {
            return None; // it was closed again since, which has its own time
        }
        let host = closing.held_back.take();
        self.0.remove(&id);
        host
    }

    /// Forgets what no list can take back any more.
    pub(crate) fn forget_old(&mut self, now: Time) {
        self.0.retain(|_, closing| closing.held_back.is_some() || now < closing.told_at + REOPEN_AFTER);
    }
}
