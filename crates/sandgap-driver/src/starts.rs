//! When backends started, on a clock that is never stepped.
//!
//! The list tells a start as Unix time, and this machine's wall clock may be wrong when it is read. Two facts need no wall
//! clock: a backend has started by the time that its start is told; and one whose start is news to a proxy that is told
//! all there is had not started when all was told the time before. The wall clock decides only between the two.

use rustc_hash::FxHashMap;
use wharfhitch::{BackendId, Millis};

use crate::core::Time;

/// Starts of backends that have left the list and are kept besides those on it: one that comes back was not started anew.
const MOST_LEFT: usize = 4096;

/// One process of a backend.
struct Start {
    /// As the list tells it.
    born_ms: Millis,
    /// On the proxy's own clock.
    since: Millis,
}

/// The starts of backends, each settled once.
pub(crate) struct Starts {
    /// Unix time of the clock's zero, by the wall clock as it stood then.
    unix_zero: Millis,
    known: FxHashMap<BackendId, Start>,
    /// When discovery had last told all that it had.
    told_all: Option<Time>,
}

impl Starts {
    pub(crate) fn new(unix_zero: Millis) -> Self {
        Starts { unix_zero, known: FxHashMap::default(), told_all: None }
    }

    /// Discovery has told all that it has.
    pub(crate) fn told_all(&mut self, now: Time) {
        self.told_all = Some(now);
    }

    /// When a backend started by the list's `born_ms`, which is told now; `None` for long ago.
    pub(crate) fn since(&mut self, now: Time, backend: BackendId, born_ms: Millis) -> Option<Millis> {
        if !born_ms.is_finite() || born_ms <= 0.0 {
            return None;
        }
        if let Some(start) = self.known.get(&backend).filter(|s| s.born_ms == born_ms) {
            return Some(start.since);
        }
        let ms = |time: Time| time.as_secs_f64() * 1000.0;
        let earliest = self.told_all.map_or(f64::NEG_INFINITY, ms);
        let since = (born_ms - self.unix_zero).clamp(earliest, ms(now).max(earliest));
        self.known.insert(backend, Start { born_ms, since });
        Some(since)
    }

    /// Forgets backends that have left the list, once there are many.
    pub(crate) fn forget(&mut self, is_listed: impl Fn(&BackendId) -> bool) {
        let listed = self.known.keys().filter(|id| is_listed(id)).count();
        if self.known.len() - listed > MOST_LEFT {
            self.known.retain(|id, _| is_listed(id));
        }
    }
}
