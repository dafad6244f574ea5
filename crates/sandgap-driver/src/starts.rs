//! Start times of backends on the proxy's monotonic clock.
//!
//! The list gives a start as Unix time, and this machine's wall clock may be wrong. Two bounds need no wall clock: a backend
//! has started by the time its start is first reported; and a start that is new to an up-to-date proxy lies after the last
//! time that discovery was known to be complete. The wall clock only chooses a time between these bounds.

use rustc_hash::FxHashMap;
use wharfhitch::{BackendId, Millis};

use crate::core::Time;

/// Start times kept for backends that have left the list, so that one that returns does not count as newly started.
const MAX_UNLISTED: usize = 4096;

/// Start of one process of a backend.
struct Start {
    /// Unix time from the list.
    start_time_ms: Millis,
    /// Time on the proxy's own clock.
    started_at: Millis,
}

/// Start times of backends, each determined once.
pub(crate) struct Starts {
    /// Unix time of the monotonic clock's zero, as the wall clock showed it then.
    unix_zero: Millis,
    known: FxHashMap<BackendId, Start>,
    /// When the proxy last knew everything that discovery had to report.
    complete_at: Option<Time>,
}

impl Starts {
    pub(crate) fn new(unix_zero: Millis) -> Self {
        Starts { unix_zero, known: FxHashMap::default(), complete_at: None }
    }

    /// Records that discovery has reported everything that it has.
    pub(crate) fn record_complete(&mut self, now: Time) {
        self.complete_at = Some(now);
    }

    /// When a backend started, from `start_time_ms` of a list that arrives now; `None` for long ago.
    pub(crate) fn started_at(
        &mut self, now: Time, backend: BackendId, start_time_ms: Millis,
    ) -> Option<Millis> {
        if !start_time_ms.is_finite() || start_time_ms <= 0.0 {
            return None;
        }
        if let Some(start) = self.known.get(&backend).filter(|s| s.start_time_ms == start_time_ms) {
            return Some(start.started_at);
        }
        let ms = |time: Time| time.as_secs_f64() * 1000.0;
        let earliest = self.complete_at.map_or(f64::NEG_INFINITY, ms);
        let started_at = (start_time_ms - self.unix_zero).clamp(earliest, ms(now).max(earliest));
        self.known.insert(backend, Start { start_time_ms, started_at });
        Some(started_at)
    }

    /// Removes backends that have left the list, once there are more than [`MAX_UNLISTED`].
    pub(crate) fn prune(&mut self, is_listed: impl Fn(&BackendId) -> bool) {
        let listed = self.known.keys().filter(|id| is_listed(id)).count();
        if self.known.len() - listed > MAX_UNLISTED {
            self.known.retain(|id, _| is_listed(id));
        }
    }
}
