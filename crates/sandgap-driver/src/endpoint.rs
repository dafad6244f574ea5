//! Destinations of requests: an entry of the list of backends, and one process of a backend.

use std::borrow::Cow;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use wharfhitch::State;

use crate::permit::Place;

/// One entry of the list of backends. In discovery's JSON the fields are `host`, `dial`, `site`, `class`, `block`,
/// `health`, `share` and `born_ms`.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Host name, the same at every proxy.
    pub host: String,
    /// Address to connect to; `None` if it can't be parsed.
    pub address: Option<SocketAddr>,
    /// Zone of the backend. Backends share the few names that there are.
    pub zone: Option<Arc<str>>,
    /// Kind of machine that the backend runs on.
    pub kind: Option<Arc<str>>,
    /// Cell of the backend.
    pub cell: Option<u64>,
    /// State: `up`, `draining` or `removed`. Any other text counts as `draining`.
    pub health: Cow<'static, str>,
    /// Rating of the backend's capacity; 1 if it is missing.
    pub rating: Option<f64>,
    /// Unix time in milliseconds at which the backend's process started. 0 if unknown; it is then taken to have started
    /// long ago.
    pub start_time_ms: f64,
}

/// Health of a backend that accepts requests.
pub(crate) const UP: &str = "up";
/// Health of a backend that only finishes requests in flight.
pub(crate) const DRAINING: &str = "draining";
/// Health of a backend that has left.
const REMOVED: &str = "removed";

impl Host {
    /// The value of [`Host::health`] for a text, without memory of its own for the usual ones.
    pub fn health_of(text: &str) -> Cow<'static, str> {
        let usual = [UP, DRAINING, REMOVED].into_iter().find(|usual| *usual == text);
        usual.map_or_else(|| text.to_owned().into(), Cow::Borrowed)
    }

    /// The state that the entry describes; a backend with an unknown health or address gets no requests.
    pub(crate) fn state(&self) -> State {
        match &*self.health {
            UP if self.address.is_some() => State::Up,
            REMOVED => State::Removed,
            _ => State::Draining,
        }
    }
}

/// One process of a backend at one address. A restart or a change of address creates a new endpoint.
pub struct Endpoint {
    /// Unique within this proxy process, never reused; the key of resources kept for the endpoint, such as connections.
    pub number: u64,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Start time of the process, see [`Host::start_time_ms`].
    pub start_time_ms: f64,
    open: Cell<bool>,
    place: Cell<Place>,
    counts: Rc<Counts>,
}

/// Attempts at a backend, shared by all its processes.
#[derive(Default)]
struct Counts {
    /// Attempts in flight.
    in_flight: Cell<u32>,
    /// Number of attempts that were served or failed, and how many of them failed.
    ended: Cell<(u64, u64)>,
}

/// Guard that counts an attempt as in flight until it is dropped.
pub struct InFlightGuard(Rc<Counts>);

impl InFlightGuard {
    /// Counts the attempt as one that has been served, or else has failed. It stays in flight until the guard is dropped.
    pub fn ended(&self, served: bool) {
        let (ended, failed) = self.0.ended.get();
        self.0.ended.set((ended + 1, failed + u64::from(!served)));
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Endpoint {
    /// Creates an endpoint that accepts requests.
    pub fn new(number: u64, address: SocketAddr, start_time_ms: f64) -> Rc<Self> {
        Endpoint::after(None, number, address, start_time_ms)
    }

    /// Creates an endpoint that replaces `old` of the same backend and continues its counts.
    pub fn after(old: Option<&Self>, number: u64, address: SocketAddr, start_time_ms: f64) -> Rc<Self> {
        let counts = old.map(|o| o.counts.clone()).unwrap_or_default();
        let (open, place) = (Cell::new(true), Cell::default());
        Rc::new(Endpoint { number, address, start_time_ms, open, place, counts })
    }

    /// Counts a new attempt.
    pub fn begin_attempt(&self) -> InFlightGuard {
        self.counts.in_flight.set(self.counts.in_flight.get() + 1);
        InFlightGuard(self.counts.clone())
    }

    /// Attempts in flight at this backend.
    pub fn in_flight(&self) -> u32 {
        self.counts.in_flight.get()
    }

    /// Number of attempts at this backend that were served or failed, and how many of them failed.
    pub fn ended(&self) -> (u64, u64) {
        self.counts.ended.get()
    }

    /// The backend's zone and cell, which decide whether it drops a duplicate.
    pub fn place(&self) -> Place {
        self.place.get()
    }

    /// Sets the backend's zone and cell.
    pub fn set_place(&self, place: Place) {
        self.place.set(place);
    }

    /// Whether new attempts may start here: the endpoint is not draining, gone or replaced.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Opens or closes the endpoint to new attempts. Owners of resources for it are notified separately, see
    /// [`crate::Effects::retire`].
    pub fn set_open(&self, open: bool) {
        self.open.set(open);
    }
}
