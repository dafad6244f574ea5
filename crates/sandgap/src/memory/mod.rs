//! Memory that the process holds. [`MemoryGauge`] keeps the limit: it counts everything. The budgets only divide the room
//! among the kinds of bodies; a budget counts allocated bytes, not received ones, and a reservation lives as long as the
//! allocation that it stands for.

mod allocator;
mod gauge;
mod resident;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::body::{MAX_BUFFERED_BODY, ReadAheadBudget};
pub use gauge::{MemoryGauge, ReservedRoom, Step};

/// Shares of the process's memory limit, in sixteenths.
const REQUEST_BODIES_SHARE: usize = 3;
const ANSWERS_SHARE: usize = 2;
const UPLOADS_SHARE: usize = 4;
const READ_AHEAD_SHARE: usize = 2;
/// Maximum memory of one long request in bytes: the part kept for retries, and a chunk on each side.
const MAX_UPLOAD_BYTES: usize = MAX_BUFFERED_BODY + 2 * (32 << 10);

/// The budgets of one process.
pub struct Memory {
    /// Memory limit of the process in bytes.
    limit: usize,
    /// Everything that the process holds.
    pub gauge: Rc<MemoryGauge>,
    /// Bodies of requests: short ones, and the first parts of long ones.
    pub request_bodies: Arc<MemoryBudget>,
    /// Answers that are buffered until they are complete.
    pub answers: Arc<MemoryBudget>,
    /// What long requests buffer ahead of their backends.
    pub read_ahead: Rc<ReadAheadBudget>,
    /// Maximum number of long requests in progress.
    pub max_uploads: Cell<usize>,
}

impl Memory {
    /// Divides the memory limit of a process, in bytes. With `allows_upgrades`, room is kept for a newer process.
    pub fn new(limit: usize, allows_upgrades: bool) -> Rc<Self> {
        let gauge = MemoryGauge::new(limit, allows_upgrades);
        let memory = Memory {
            limit,
            gauge: gauge.clone(),
            request_bodies: MemoryBudget::new(0),
            answers: MemoryBudget::new(0),
            read_ahead: ReadAheadBudget::new(0, gauge),
            max_uploads: Cell::default(),
        };
        memory.share(1, None);
        Rc::new(memory)
    }

    /// Shares the limit with other processes: during an upgrade two count as one, and the other's process id is known. What is
    /// reserved beyond the new limits stays reserved until it is released.
    pub fn share(&self, processes: usize, other: Option<u32>) {
        self.gauge.share_with(processes, other);
        let share = |sixteenths: usize| self.limit / processes / 16 * sixteenths;
        self.request_bodies.set_limit(share(REQUEST_BODIES_SHARE));
        self.answers.set_limit(share(ANSWERS_SHARE));
        self.read_ahead.set_limit(share(READ_AHEAD_SHARE));
        self.max_uploads.set(share(UPLOADS_SHARE) / MAX_UPLOAD_BYTES);
    }
}

/// A bound on the bytes that may be reserved at once. Counters are atomic only because buffers that carry a reservation
/// must be `Send`.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: AtomicUsize,
    used: AtomicUsize,
}

/// The budget has no room for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory budget is exhausted")]
pub struct BudgetExhausted;

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(MemoryBudget { limit: AtomicUsize::new(limit), used: AtomicUsize::new(0) })
    }

    /// Changes the limit to `limit` bytes. What is reserved beyond it stays reserved until it is released.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Bytes reserved at present.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// An empty reservation.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// Bytes reserved in a budget until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Grows the reservation to `bytes`; a smaller value changes nothing.
    ///
    /// # Errors
    /// [`BudgetExhausted`] if the budget has no room; the reservation stays as it is.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let more = bytes.saturating_sub(self.bytes);
        let used = self.budget.used();
        if more > 0 && used + more > self.budget.limit.load(Ordering::Relaxed) {
            return Err(BudgetExhausted);
        }
        self.budget.used.store(used + more, Ordering::Relaxed); // only one thread reserves
        self.bytes += more;
        Ok(())
    }

    /// Releases everything.
    pub fn release(&mut self) {
        self.budget.used.fetch_sub(std::mem::take(&mut self.bytes), Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}

#[cfg(test)]
mod tests;
