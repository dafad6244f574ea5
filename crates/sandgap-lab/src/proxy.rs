//! The effects of a simulated driver: where the daemon uses sockets, this queues commands, which the fleet carries out
//! in virtual time. The core above it is the daemon's own.

use sandgap_driver::permit::Violation;
use sandgap_driver::{Answer, Attempt, Cause, Core, Effects, Endpoint};
use std::net::{Ipv4Addr, SocketAddr};
use wharfhitch::{RequestId, Scope};

use crate::calendar::Nanos;
use crate::rivals::Timed;

/// A command of the core.
pub enum Command {
    /// Start an attempt.
    Attempt(Attempt),
    /// Answer a request; a server's answer carries the number of the attempt that produced it.
    Answer(RequestId, Answer<u32>),
    /// Send a message to all other proxies.
    Broadcast(Vec<u8>),
    /// Subscribe to changes of the server list.
    Subscribe,
    /// Fetch the full server list once.
    FetchList,
    /// The policy asked for something that is not allowed.
    Violation(Violation),
}

/// Queues the commands of a core.
#[derive(Default)]
pub struct CommandQueue {
    /// The queued commands, in order.
    pub commands: Vec<Command>,
}

impl Effects for CommandQueue {
    type Context = ();
    type Reply = u32;

    fn attempt(&mut self, (): &(), attempt: Attempt) {
        self.commands.push(Command::Attempt(attempt));
    }

    fn answer(&mut self, (): &mut (), request: RequestId, answer: Answer<u32>, _: Cause) {
        self.commands.push(Command::Answer(request, answer));
    }

    fn retire(&mut self, _: &Endpoint) {}

    fn broadcast(&mut self, bytes: Vec<u8>) {
        self.commands.push(Command::Broadcast(bytes));
    }

    fn subscribe(&mut self) {
        self.commands.push(Command::Subscribe);
    }

    fn fetch_list(&mut self) {
        self.commands.push(Command::FetchList);
    }

    fn listed(&mut self, _: Scope, _: bool) {}

    fn violation(&mut self, violation: Violation, _: RequestId) {
        self.commands.push(Command::Violation(violation));
    }
}

/// A proxy: the present process and what the simulator knows about it.
pub struct Proxy {
    /// The daemon's core with the policy that decides.
    pub core: Core<Timed, CommandQueue>,
    /// The number of its process, never reused within a run.
    pub process: u16,
    /// Whether it accepts new requests.
    pub accepting: bool,
    /// Whether its process runs.
    pub running: bool,
    /// Whether the front sends requests to it.
    pub front: bool,
    /// It is paused until this time.
    pub paused_until: Nanos,
    /// When its next timer event is due; `Nanos::MAX` for none.
    pub timer_at: Nanos,
    /// Whether discovery sends it changes of the list.
    pub subscribed: bool,
    /// Whether discovery sends it nothing because of a fault.
    pub discovery_silent: bool,
    /// The version of the list that it knows: the length of the change log at that time.
    pub list_version: u64,
    /// Its zone, by number.
    pub zone: usize,
    /// Answers so far, for defects that affect one in [`SOME`](crate::defects::SOME) of them.
    pub answers: u32,
}

/// The address that encodes a server's number.
pub fn address(server: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(server), 1))
}

/// The server whose number an address encodes; `u32::MAX` for an IPv6 address.
pub fn server(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(a) => u32::from(*a.ip()),
        SocketAddr::V6(_) => u32::MAX,
    }
}
