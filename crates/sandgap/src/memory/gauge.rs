//! One figure for all memory that the process holds, and the decision whether more may be taken in.
//!
//! The figure is the resident memory, as the system counts it, plus what has been allocated since it was read. Nothing has to
//! be listed for it: whatever holds memory is in it. Before anything is taken in, [`MemoryGauge::admits`] compares the room
//! that is left with what the step needs. Later and smaller steps are admitted with less room than earlier and larger ones, so
//! that what has been begun can be finished, and small requests are served beside large ones.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::allocator::allocated;
use super::resident::{ResidentMemory, Residents};

/// Part of the limit that is kept free, for what the figure does not show in time.
const MARGIN_DIVISOR: usize = 16;
/// The resident memory is read again after this many bytes have been allocated or freed, or after this time.
const READ_INTERVAL: (usize, Duration) = (64 << 10, Duration::from_millis(5));
/// Part that is kept free for the work of a newer process, of what two programs and [`LEAST_OWN_BYTES`] leave.
const SUCCESSOR_DIVISOR: usize = 3;
/// Part by which a process grows until it serves, from what it has when its gauge is created.
const STARTED_DIVISOR: usize = 4;
/// Memory in bytes for the work of a process that comes before the work of a newer one.
const LEAST_OWN_BYTES: usize = 4 << 20;
/// Least working memory in bytes that steps are measured by, however little is left beside the program.
const MIN_WORKING_BYTES: usize = 256 << 10;

/// Memory in bytes that a request may need beside what its head needs: its parser, a connection to a backend, its answer.
const REQUEST_BYTES: usize = 40 << 10;
/// Memory in bytes that a listed backend takes, while the tables that it is in grow.
const BACKEND_BYTES: usize = 4 << 10;
/// Copies of a request's head that exist at once: as read, as a table of fields, as sent on.
const HEAD_COPIES: usize = 5;

/// Something that takes memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reading a request's head, of which so many bytes have been read. Most heads come at once.
    Head(usize),
    /// Taking a request whose head has so many bytes.
    Request(usize),
    /// Sending on a request whose head has so many bytes and whose body has been received.
    Forward(usize),
    /// Buffering more of a request's body.
    Body {
        /// Bytes that are held of it.
        held: usize,
        /// Its client has been waited for.
        is_slow: bool,
    },
    /// Buffering more of an answer, of which so many bytes are held.
    Answer(usize),
    /// Passing on a long answer, whose client may read it slowly.
    LongAnswer,
    /// Reading ahead in a long request.
    ReadAhead,
}

impl Step {
    /// The room in bytes that has to be left before the step, out of `working` bytes.
    fn required_room(self, working: usize) -> usize {
        let part = |bytes: usize, whole: usize| (working as u64 * bytes as u64 / whole as u64) as usize;
        match self {
            Step::Head(0) => working / 8,
            Step::Head(bytes) => working / 4 + part(bytes, 128 << 10),
            Step::Request(head) => working / 16 + request_bytes(head) + part(head, 32 << 10),
            Step::Forward(head) => working / 32 + request_bytes(head),
            Step::Body { held, is_slow: false } => working / 16 + part(held, 256 << 10),
            Step::Body { held, is_slow: true } => working / 4 + part(held, 256 << 10),
            Step::Answer(bytes) => working / 32 + part(bytes, 512 << 10),
            Step::LongAnswer | Step::ReadAhead => working / 4,
        }
    }
}

/// Memory in bytes that a request with a head of this size may need.
fn request_bytes(head: usize) -> usize {
    REQUEST_BYTES + HEAD_COPIES * head
}

/// The resident memory when it was last read.
#[derive(Clone, Copy)]
struct Reading {
    at: Instant,
    /// Bytes that count as held.
    held: usize,
    /// Bytes allocated at that time.
    allocated: usize,
}

/// Measures the memory that the process holds, and during an upgrade what the other process of the proxy holds, too.
pub struct MemoryGauge {
    limit: usize,
    /// Kept free for a newer process, in bytes; 0 during an upgrade or if there is none.
    successor_bytes: Cell<usize>,
    /// Resident memory without allocations, and all of it, when the process started.
    base: (usize, usize),
    resident: ResidentMemory,
    /// The other process of an upgrade.
    other: RefCell<Option<ResidentMemory>>,
    /// Number of processes that share the limit.
    processes: Cell<usize>,
    reading: Cell<Reading>,
    /// Bytes that admitted requests may still need.
    reserved: Cell<usize>,
    allows_upgrades: bool,
}

impl MemoryGauge {
    /// Creates a gauge for a limit in bytes. With `allows_upgrades`, room is kept for a newer process, so that it can
    /// serve while this one still holds what it had taken in.
    pub fn new(limit: usize, allows_upgrades: bool) -> Rc<Self> {
        let resident = ResidentMemory::of_this_process();
        let now = resident.read().unwrap_or_default();
        let allocated = allocated();
        let gauge = MemoryGauge {
            limit,
            successor_bytes: Cell::default(),
            base: (now.anonymous.saturating_sub(allocated), now.sum()),
            resident,
            other: RefCell::default(),
            processes: Cell::new(1),
            reading: Cell::new(Reading { at: Instant::now(), held: now.sum(), allocated }),
            reserved: Cell::default(),
            allows_upgrades,
        };
        gauge.share_with(1, None);
        Rc::new(gauge)
    }

    /// Shares the limit with other processes, one of which is known by its process id.
    pub fn share_with(&self, processes: usize, other: Option<u32>) {
        self.processes.set(processes);
        self.other.replace(other.filter(|_| processes > 1).map(ResidentMemory::of));
        let is_alone = processes <= 1;
        let all = self.limit - self.limit / MARGIN_DIVISOR;
        let program = self.base.1 + self.base.1 / STARTED_DIVISOR;
        let left = all.saturating_sub(2 * program + LEAST_OWN_BYTES);
        let successor = program + left / SUCCESSOR_DIVISOR;
        self.successor_bytes.set(if is_alone && self.allows_upgrades { successor } else { 0 });
    }

    /// The memory limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes that may be held: by this process, and by all that share the limit if the others are known.
    fn ceilings(&self) -> (usize, usize) {
        let all = self.limit - self.limit / MARGIN_DIVISOR;
        (all / self.processes.get() - self.successor_bytes.get().min(all / 2), all)
    }

    /// The memory in bytes that is left for work beside the program itself.
    fn working_bytes(&self) -> usize {
        self.ceilings().0.saturating_sub(self.base.1).max(MIN_WORKING_BYTES)
    }

    /// Bytes that this process holds.
    pub fn held(&self) -> usize {
        let allocated = allocated();
        let reading = self.reading.get();
        let is_outdated = allocated.abs_diff(reading.allocated) >= READ_INTERVAL.0
            || reading.at.elapsed() >= READ_INTERVAL.1;
        let reading = if is_outdated { self.read(allocated) } else { reading };
        (reading.held + allocated).saturating_sub(reading.allocated)
    }

    /// Reads the resident memory. Half of what the allocator holds without having it allocated can be allocated again
    /// without the process growing.
    fn read(&self, allocated: usize) -> Reading {
        let held = match self.resident.read() {
            Some(Residents { anonymous, file }) => {
                let free = anonymous.saturating_sub(self.base.0 + allocated);
                anonymous + file - free / 2
            }
            None => self.base.1 + allocated,
        };
        let reading = Reading { at: Instant::now(), held, allocated };
        self.reading.set(reading);
        reading
    }

    /// Bytes that may still be taken in.
    pub fn room(&self) -> usize {
        let held = self.held() + self.reserved.get();
        let (own, all) = self.ceilings();
        let others = self.other.borrow().as_ref().and_then(ResidentMemory::read).map_or(0, Residents::sum);
        own.saturating_sub(held).min(all.saturating_sub(held + others))
    }

    /// Whether there is room for a step.
    pub fn admits(&self, step: Step) -> bool {
        self.room() >= step.required_room(self.working_bytes())
    }

    /// Number of further backends that there is room for beside the requests.
    pub fn room_for_backends(&self) -> usize {
        self.room().saturating_sub(self.working_bytes() / 4) / BACKEND_BYTES
    }

    /// Megabytes by which the limit would have to be higher for so many backends, rounded up.
    pub fn megabytes_for_backends(backends: usize) -> usize {
        (backends * BACKEND_BYTES).div_ceil(1 << 20)
    }

    /// Whether room is short, so that what is not in use should be given up.
    pub fn is_short(&self) -> bool {
        self.room() < self.working_bytes() / 4
    }

    /// Reserves what a request with a head of this size may still need, until the returned value is dropped.
    pub fn reserve_request(self: &Rc<Self>, head: usize) -> ReservedRoom {
        let bytes = request_bytes(head);
        self.reserved.set(self.reserved.get() + bytes);
        ReservedRoom { gauge: self.clone(), bytes }
    }
}

/// Room that an admitted request may still need.
pub struct ReservedRoom {
    gauge: Rc<MemoryGauge>,
    bytes: usize,
}

impl Drop for ReservedRoom {
    fn drop(&mut self) {
        let reserved = &self.gauge.reserved;
        reserved.set(reserved.get() - self.bytes);
    }
}

#[cfg(test)]
mod tests;
