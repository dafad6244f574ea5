//! Where requests go: a line of the list of backends, and one process of a backend.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use wharfhitch::State;

use crate::permit::Place;

/// One line of the list of backends.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name, the same at every proxy.
    pub host: String,
    /// Where it is reached; `None` if that can't be read.
    pub dial: Option<SocketAddr>,
    /// Its zone.
    pub site: Option<String>,
    /// Its kind of machine.
    pub class: Option<String>,
    /// Its cell.
    pub block: Option<u64>,
    /// `up`, `draining` or `removed`.
    pub health: String,
    /// Its rating.
    pub share: Option<f64>,
    /// Unix time of its start in milliseconds; 0 for long ago.
    pub born_ms: f64,
}

/// Health of a backend that takes work.
pub(crate) const UP: &str = "up";
/// Health of one that finishes what it has.
pub(crate) const DRAINING: &str = "draining";
/// Health of one that has left.
const REMOVED: &str = "removed";

impl Host {
    /// Whether it takes work; where that can't be read it takes none.
    pub(crate) fn state(&self) -> State {
        match self.health.as_str() {
            UP if self.dial.is_some() => State::Up,
            REMOVED => State::Gone,
            _ => State::Draining,
        }
    }
}

/// One process of a backend at one address. A restart or a new address makes a new one.
pub struct Endpoint {
    /// Never used twice in a process: what backs keep for an endpoint they file under it.
    pub number: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, see [`Host::born_ms`].
    pub born_ms: f64,
    open: Cell<bool>,
    place: Cell<Place>,
    counts: Rc<Counts>,
}

/// Attempts at a backend, whichever of its processes they went to.
#[derive(Default)]
struct Counts {
    /// Those that have not come to their end.
    held: Cell<u32>,
    /// Those that were served or failed.
    ended: Cell<(u64, u64)>,
}

/// Counts an attempt until it is dropped.
pub struct Holding(Rc<Counts>);

impl Holding {
    /// It was served, or has failed.
    pub fn ended(&self, well: bool) {
        let (all, failed) = self.0.ended.get();
        self.0.ended.set((all + 1, failed + u64::from(!well)));
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
    }
}

impl Endpoint {
    /// An endpoint that takes work.
    pub fn new(number: u64, address: SocketAddr, born_ms: f64) -> Rc<Self> {
        Endpoint::after(None, number, address, born_ms)
    }

    /// One that takes the place of another of the same backend.
    pub fn after(old: Option<&Self>, number: u64, address: SocketAddr, born_ms: f64) -> Rc<Self> {
        let counts = old.map(|o| o.counts.clone()).unwrap_or_default();
        let (open, place) = (Cell::new(true), Cell::default());
        Rc::new(Endpoint { number, address, born_ms, open, place, counts })
    }

    /// Counts an attempt that begins.
    pub fn hold(&self) -> Holding {
        self.counts.held.set(self.counts.held.get() + 1);
        Holding(self.counts.clone())
    }

    /// Attempts at this backend that have not come to their end.
    pub fn held(&self) -> u32 {
        self.counts.held.get()
    }

    /// Attempts that were served or failed, and those of them that failed.
    pub fn ended(&self) -> (u64, u64) {
        self.counts.ended.get()
    }

    /// Where it stands among those that drop each other's repeats.
    pub fn place(&self) -> Place {
        self.place.get()
    }

    /// Notes where it stands.
    pub fn set_place(&self, place: Place) {
        self.place.set(place);
    }

    /// Whether something new may go there: it neither drains, nor is it gone or replaced.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Opens or closes it; whoever keeps something for it is told apart, see [`crate::Effects::retire`].
    pub fn set_open(&self, open: bool) {
        self.open.set(open);
    }
}
