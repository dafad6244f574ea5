//! Agreed rules in the daemon: whether a request may be taken now, and under which version. [`runtime`] drives the agent
//! on sockets and the disk, [`book`] turns settings into rulebooks and back, [`commands`] is what staff call, `outs` of it
//! what is about permits, `watch` what a proxy does for these.
//!
//! Off unless `[fleet] listen` is set: then the front holds none of this, and no task runs.

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

/// What a client that is refused for the want of a lease is told to wait, as a part of T.
const RETRY: u32 = 2;

/// The clock that leases are counted on: it never runs backwards, and goes on while the process stands still or the
/// machine sleeps (CLOCK_BOOTTIME, clock_gettime(2)).
pub fn now() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    Duration::new(at.tv_sec.max(0) as u64, at.tv_nsec.clamp(0, 999_999_999) as u32)
}

/// What a request that may be taken brings along.
pub struct Taken {
    /// For classes that are refused without a lease.
    pub lease: Option<Rc<dyn Lease>>,
    /// The header that tells backends the version, if the settings want one.
    pub header: Option<(HeaderName, HeaderValue)>,
}

/// The state machines that the log carries beside rules and lives.
pub fn riders() -> Riders {
    Riders::none().with(Rollout::default())
}

/// An agent that its [`runtime`] drives and the front asks.
pub type Shared = Rc<RefCell<Agent>>;

/// Says under which version a request may be taken now.
pub struct Rules {
    /// Another one while an upgrade ends, see [`runtime`].
    agent: RefCell<Shared>,
    bound: Duration,
    header: Option<HeaderName>,
    /// Classes that are served without a lease, by the rules known last.
    serve: RefCell<FxHashSet<String>>,
    /// The version that was kept from before the start, until one is agreed.
    kept: Cell<Version>,
}

impl Rules {
    /// Rules by an agent that knows nothing yet.
    pub fn new(agent: Agent, bound: Duration, header: Option<HeaderName>) -> Rc<Self> {
        let (serve, kept) = Default::default();
        Rc::new(Rules { agent: RefCell::new(Rc::new(RefCell::new(agent))), bound, header, serve, kept })
    }

    /// The agent that counts.
    fn agent(&self) -> Shared {
        self.agent.borrow().clone()
    }

    /// Goes by another agent from now on.
    fn adopt(&self, agent: Shared) {
        *self.agent.borrow_mut() = agent;
    }

    /// Whether a request of this class may be taken now; if not, how long its client should wait.
    ///
    /// # Errors
    /// The wait: the lease has lapsed or there is nothing to act on, and the class is refused then.
    pub fn take(self: &Rc<Self>, class: &str) -> Result<Taken, Duration> {
        let agent = self.agent();
        let leased = agent.borrow().take(now()).map(|taking| taking.version);
        let serves = self.serve.borrow().contains(class);
        let version = match leased {
            Some(version) => version,
            None if serves && self.last() > 0 => self.last(),
            None => {
                agent.borrow_mut().count_refused();
                return Err(self.bound / RETRY);
            }
        };
        let header = self.header.clone().map(|name| (name, HeaderValue::from(version)));
        let lease = (!serves).then(|| self.clone() as Rc<dyn Lease>);
        Ok(Taken { lease, header })
    }

    /// The version that this proxy acted on last.
    fn last(&self) -> Version {
        match self.agent().borrow().follower().acting() {
            0 => self.kept.get(),
            version => version,
        }
    }

    /// Notes which classes are served without a lease.
    fn note(&self, book: &Rulebook) {
        let serves = book.classes.iter().filter(|c| c.on_lapse == OnLapse::Serve);
        *self.serve.borrow_mut() = serves.map(|c| c.name.clone()).collect();
    }
}

impl Lease for Rules {
    fn holds(&self) -> bool {
        self.agent.borrow().borrow().take(now()).is_some()
    }
}
