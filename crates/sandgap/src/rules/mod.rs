//! Agreed rules in the daemon: whether a request may be admitted now, and under which version. [`runtime`] drives the
//! agent on sockets and the disk, [`book`] converts settings to rulebooks and back, [`commands`] has the `sandgap
//! fleet` commands, of which `outs` and `releases` hold those about permits and releases, and `watch` reports to
//! leaders for permits.
//!
//! All of this is off unless `[fleet] listen` is set: the front then has no rules and no task runs.

pub mod book;
pub mod commands;
mod kept_version;
mod outs;
mod releases;
pub mod runtime;
mod voter_disk;
mod watch;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HeaderName, HeaderValue};
use rustc_hash::FxHashSet;
use rustix::time::{ClockId, clock_gettime};
use sandgap_agree::rider::Riders;
use sandgap_agree::rulebook::OnLapse;
use sandgap_agree::{Agent, Rulebook, Version};
use sandgap_fleet::Time;
use sandgap_rollout::Rollout;

use crate::event::Lease;

/// A client that is refused for lack of a lease is told to retry after T divided by this.
const RETRY_AFTER_DIVISOR: u32 = 2;

/// The clock for leases. It is monotonic and also advances while the process is stopped or the machine sleeps
/// (CLOCK_BOOTTIME, clock_gettime(2)).
pub fn now() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    Duration::new(at.tv_sec.max(0) as u64, at.tv_nsec.clamp(0, 999_999_999) as u32)
}

/// The result for a request that may be admitted.
pub struct Admission {
    /// The lease, for classes that are refused without one.
    pub lease: Option<Rc<dyn Lease>>,
    /// The header that carries the version to backends, if configured.
    pub header: Option<(HeaderName, HeaderValue)>,
}

/// The state machines that the log carries in addition to rules and the lives of proxies.
pub fn riders() -> Riders {
    Riders::none().with(Rollout::default())
}

/// An agent that [`runtime`] drives and the front queries.
pub type SharedAgent = Rc<RefCell<Agent>>;

/// Decides whether a request may be admitted now, and under which version.
pub struct Rules {
    /// Replaced by another agent at the end of an upgrade, see [`runtime`].
    agent: RefCell<SharedAgent>,
    bound: Duration,
    header: Option<HeaderName>,
    /// Classes that are served without a lease, by the latest known rules.
    serve_without_lease: RefCell<FxHashSet<String>>,
    /// The version kept from before the start, used until one is agreed.
    kept_version: Cell<Version>,
    /// The latest agreed version that this process, under whichever name, has put in force; 0 for none.
    agreed_version: Cell<Version>,
}

impl Rules {
    /// Rules of an agent without any version yet.
    pub fn new(agent: Agent, bound: Duration, header: Option<HeaderName>) -> Rc<Self> {
        let (serve_without_lease, kept_version, agreed_version) = Default::default();
        Rc::new(Rules {
            agent: RefCell::new(Rc::new(RefCell::new(agent))),
            bound,
            header,
            serve_without_lease,
            kept_version,
            agreed_version,
        })
    }

    /// The agent in use.
    fn agent(&self) -> SharedAgent {
        self.agent.borrow().clone()
    }

    /// Switches to another agent.
    fn use_agent(&self, agent: SharedAgent) {
        *self.agent.borrow_mut() = agent;
    }

    /// Admits a request of this class under the current version.
    ///
    /// # Errors
    /// How long the client should wait: the lease has lapsed or there is no version yet, and the class is refused then.
    pub fn admit(self: &Rc<Self>, class: &str) -> Result<Admission, Duration> {
        let agent = self.agent();
        let leased = agent.borrow().take(now()).map(|permission| permission.version);
        let serves = self.serve_without_lease.borrow().contains(class);
        let version = match leased {
            Some(version) => version,
            None if serves && self.last_version() > 0 => self.last_version(),
            None => {
                agent.borrow_mut().count_refused();
                return Err(self.bound / RETRY_AFTER_DIVISOR);
            }
        };
        let header = self.header.clone().map(|name| (name, HeaderValue::from(version)));
        let lease = (!serves).then(|| self.clone() as Rc<dyn Lease>);
        Ok(Admission { lease, header })
    }

    /// The last version in force at this proxy.
    fn last_version(&self) -> Version {
        match self.agent().borrow().follower().acting() {
            0 => self.kept_version.get(),
            version => version,
        }
    }

    /// Records which classes are served without a lease.
    fn record_unleased_classes(&self, book: &Rulebook) {
        let serves = book.classes.iter().filter(|c| c.on_lapse == OnLapse::Serve);
        *self.serve_without_lease.borrow_mut() = serves.map(|c| c.name.clone()).collect();
    }
}

impl Lease for Rules {
    fn holds(&self) -> bool {
        self.agent.borrow().borrow().take(now()).is_some()
    }
}
