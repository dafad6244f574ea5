//! The virtual driver's outside: where the daemon has sockets, this notes what is to be done, and the fleet does
//! it in virtual time. The core above it is the daemon's own.

use sandgap_driver::permit::Violation;
use sandgap_driver::{Answer, Attempt, Cause, Core, Effects, Endpoint};
use std::net::{Ipv4Addr, SocketAddr};
use wharfhitch::{RequestId, Scope};

use crate::calendar::Nanos;
use crate::rivals::Timed;

/// Something that the core wants done.
pub enum Command {
    /// Begin an attempt.
    Attempt(Attempt),
    /// Give an answer; that of a server bears the number of the attempt that made it.
    Answer(RequestId, Answer<u32>),
    /// Tell the other proxies.
    Tell(Vec<u8>),
    /// Have changes of the list told from now on.
    Subscribe,
    /// Have the list told once.
    Fetch,
    /// The module wanted what may not be.
    Violation(Violation),
}

/// Notes what is to be done.
#[derive(Default)]
pub struct Notes {
    /// In order.
    pub commands: Vec<Command>,
}

impl Effects for Notes {
    type Held = ();
    type Reply = u32;

    fn attempt(&mut self, (): &(), attempt: Attempt) {
        self.commands.push(Command::Attempt(attempt));
    }

    fn answer(&mut self, (): &mut (), request: RequestId, answer: Answer<u32>, _: Cause) {
        self.commands.push(Command::Answer(request, answer));
    }

    fn retire(&mut self, _: &Endpoint) {}

    fn broadcast(&mut self, bytes: Vec<u8>) {
        self.commands.push(Command::Tell(bytes));
    }

    fn subscribe(&mut self) {
        self.commands.push(Command::Subscribe);
    }

    fn fetch_list(&mut self) {
        self.commands.push(Command::Fetch);
    }

    fn listed(&mut self, _: Scope, _: bool) {}

    fn violation(&mut self, violation: Violation, _: RequestId) {
        self.commands.push(Command::Violation(violation));
    }
}

/// A proxy: one process after another at one place.
pub struct Proxy {
    /// The daemon's core with whoever decides.
    pub core: Core<Timed, Notes>,
    /// The number of its process, never used twice.
    pub process: u16,
    /// Whether it takes requests.
    pub takes: bool,
    /// Whether its process runs.
    pub runs: bool,
    /// Whether the front sends to it.
    pub front: bool,
    /// It stands still until then.
    pub paused: Nanos,
    /// The next look at its timers, as announced.
    pub armed: Nanos,
    /// Whether changes of the list are told to it.
    pub subscribed: bool,
    /// Whether discovery is silent to it.
    pub split: bool,
    /// The version of the list that it knows.
    pub version: u64,
    /// Its zone.
    pub zone: usize,
    /// Answers so far, for defects that meet some of them.
    pub answers: u32,
}

/// The address that stands for a server.
pub fn address(server: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(server), 1))
}

/// The server that an address stands for.
pub fn server(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(a) => u32::from(*a.ip()),
        SocketAddr::V6(_) => u32::MAX,
    }
}
