//! Memory of the client side: whether there is room for a step, and who is given up when there is not.

use tokio::task::yield_now;
use tokio::time::Instant;

use super::Frontend;
use super::admission::Stage;
use super::closing::CloseReason;
use super::limits::{MAX_EVICTION_TURNS, MAX_RELIEF, MEMORY_LOG_INTERVAL, MIN_STAGE_AGE};
use crate::memory::Step;
use crate::note;

/// Bytes in a megabyte of log lines, as in `memory_mb`.
const BYTES_PER_MB: f64 = (1 << 20) as f64;

impl Frontend {
    /// Refuses the connection that has been sending a head for longest, if that is for the minimum time. Returns whether
    /// there was one.
    fn evict_slow_head(&self) -> bool {
        let mut stages = self.by_stage.borrow_mut();
        let stage = Stage::ReadingHead as usize;
        let oldest = stages[stage].first_entry();
        let Some(oldest) = oldest.filter(|e| e.get().since.get().elapsed() >= MIN_STAGE_AGE[stage]) else {
            return false;
        };
        oldest.remove().ask_to_close(CloseReason::NoMemory);
        true
    }

    /// Has the idle connections free their parsers. Returns whether there was one.
    fn park_idle(&self) -> bool {
        let stages = self.by_stage.borrow();
        let idle = stages[Stage::Idle as usize].values().filter(|client| client.has_parser.replace(false));
        idle.inspect(|client| client.park.notify_one()).count() > 0
    }

    /// Whether there is memory for a step. If there is not, what holds memory without advancing is given up first: the parsers
    /// of idle connections, heads that arrive slowly, bodies whose clients have stopped, idle connections to backends.
    pub(super) async fn has_memory(&self, step: Step) -> bool {
        for _ in 0..MAX_EVICTION_TURNS {
            if self.memory.gauge.admits(step) {
                return true;
            }
            let has_freed =
                self.park_idle() || self.evict_slow_head() || self.receiving.evict_most_stalled(self.now());
            if !self.upstreams.close_idle() && !has_freed {
                break;
            }
            yield_now().await; // lets the tasks of those that were given up free their memory
        }
        self.memory.gauge.admits(step)
    }

    /// Gives up what is not in use while memory is short.
    pub(super) fn relieve_memory(&self) {
        self.memory.read_ahead.wake_all();
        if !self.memory.gauge.is_short() {
            return;
        }
        self.report_memory();
        self.park_idle();
        for _ in 0..MAX_RELIEF {
            // A connection without a parser holds too little to be given up.
            let has_closed_idle = self.upstreams.close_idle();
            if !self.evict_slow_head() && !has_closed_idle {
                return;
            }
        }
    }

    /// Logs that memory is short, once per interval at most.
    fn report_memory(&self) {
        if self.memory_reported.get().is_some_and(|at| at.elapsed() < MEMORY_LOG_INTERVAL) {
            return;
        }
        self.memory_reported.set(Some(Instant::now()));
        let (gauge, connections) = (&self.memory.gauge, self.open_connections.get());
        note!(
            warn: "memory is short: {:.1} MB held, room for {:.1} MB; {connections} connections, {} with a request",
            gauge.held() as f64 / BYTES_PER_MB,
            gauge.room() as f64 / BYTES_PER_MB,
            self.busy.get()
        );
    }
}
