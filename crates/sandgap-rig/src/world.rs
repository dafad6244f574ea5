//! State shared by all simulated peers of a run.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::Notify;

use crate::clock::{Clock, Micros};
use crate::schedule::Plan;
use sandgap_rules::{Ledger, Record, Writer};

/// A run's clock, plan and ledger.
pub struct World {
    /// The clock.
    pub clock: Clock,
    /// The plan of the run.
    pub plan: Plan,
    /// Prefix that distinguishes the request ids of this run from those of others.
    pub id_prefix: String,
    ledger: RefCell<Ledger>,
    written: RefCell<BTreeMap<Writer, u64>>,
    attempts: Cell<u32>,
    open: Cell<u32>,
    idle: Notify,
}

impl World {
    /// A run that has not begun.
    pub fn new(plan: Plan, ledger: Ledger) -> Rc<Self> {
        let id_prefix = format!("{:x}-{:x}", std::process::id(), plan.seed);
        Rc::new(World {
            clock: Clock::default(),
            plan,
            id_prefix,
            ledger: RefCell::new(ledger),
            written: RefCell::default(),
            attempts: Cell::new(0),
            open: Cell::new(0),
            idle: Notify::new(),
        })
    }

    /// The current time of the run.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Adds a record to the ledger and counts it for its writer.
    pub fn record(&self, writer: Writer, record: Record) {
        *self.written.borrow_mut().entry(writer).or_default() += 1;
        self.ledger.borrow_mut().put(writer, record);
    }

    /// The ledger.
    pub fn ledger(&self) -> std::cell::Ref<'_, Ledger> {
        self.ledger.borrow()
    }

    /// The number of records that each writer wrote.
    pub fn written(&self) -> BTreeMap<Writer, u64> {
        self.written.borrow().clone()
    }

    /// Begins an attempt and returns its number; it is open until [`World::end_attempt`].
    pub fn begin_attempt(&self) -> u32 {
        self.open.set(self.open.get() + 1);
        self.attempts.replace(self.attempts.get() + 1)
    }

    /// Ends an attempt.
    pub fn end_attempt(&self) {
        self.open.set(self.open.get() - 1);
        self.idle.notify_waiters();
    }

    /// Waits until no attempt is open at any backend.
    pub async fn attempts_ended(&self) {
        loop {
            let idle = self.idle.notified();
            if self.open.get() == 0 {
                return;
            }
            idle.await;
        }
    }

    /// The id of a request, as clients send it.
    pub fn request_id(&self, request: usize) -> String {
        format!("{}-{request}", self.id_prefix)
    }

    /// The request with an id; `None` if the id is not of this run.
    pub fn request_number(&self, id: &str) -> Option<u32> {
        let number = id.strip_prefix(&self.id_prefix)?.strip_prefix('-')?.parse().ok()?;
        ((number as usize) < self.plan.requests.len()).then_some(number)
    }
}

/// Loopback addresses that no other run on this machine draws: the third byte and part of the second depend on the process id,
/// the last byte on the order of the draws.
pub struct Addresses {
    base: u32,
    next: Cell<u32>,
}

static RUNS: AtomicU32 = AtomicU32::new(0);

impl Default for Addresses {
    fn default() -> Self {
        // 127.64.0.0 to 127.127.255.255 holds 2^14 blocks of 256.
        let block = std::process::id().wrapping_mul(0x9E37_79B1) >> 18;
        // Parallel runs in one process begin at different IP addresses.
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let next = run.wrapping_mul(37) % 250 + 1;
        Addresses { base: (127 << 24) | (64 << 16) | (block << 8), next: Cell::new(next) }
    }
}

impl Addresses {
    /// The address of the network between proxies; [`Addresses::draw`] never returns it.
    pub fn network(&self) -> IpAddr {
        IpAddr::V4(Ipv4Addr::from(self.base + 253))
    }

    /// An address with a port that was free a moment ago. No other run binds this IP address.
    ///
    /// # Errors
    /// The system's, if no port is available.
    pub fn draw(&self) -> std::io::Result<SocketAddr> {
        let n = self.next.replace(self.next.get() % 250 + 1);
        let ip = IpAddr::V4(Ipv4Addr::from(self.base + n));
        TcpListener::bind((ip, 0))?.local_addr()
    }
}
