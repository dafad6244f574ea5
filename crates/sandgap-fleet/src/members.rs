//! Who belongs to the fleet and who is missed: SWIM with suspicion, incarnations and the indirect probe (Das, Gupta
//! and Motivala, DSN 2002), by the `foca` engine, which does no I/O. This wraps it so that time and chance come in from
//! outside: the same input gives the same output.
//!
//! A member that is slow is asked after by others before anybody suspects it, and has time to object. What rests on
//! this is only whom to ask and whom to wait for; no safety rests on it, that is the leases' (see [`crate::lease`]).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::time::Duration;

use foca::{AccumulatingRuntime, Config, Foca, NoCustomBroadcast, PeriodicParams, PostcardCodec, Timer};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::limits::{GOSSIP, MEMBERS, REJOIN, SEEDS};

/// One process of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The proxy's name: one process at a time bears it.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Tells its processes apart: a later one has a higher number.
    pub incarnation: u64,
    /// Where it stands.
    pub zone: Option<String>,
}

impl foca::Identity for Identity {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Identity { incarnation: self.incarnation + 1, ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
    }
}

/// What has to be sent to another member.
#[derive(Debug)]
pub struct Gossip {
    /// To whom.
    pub to: Identity,
    /// A message of at most [`GOSSIP`] bytes.
    pub bytes: Vec<u8>,
}

/// How soon a member is missed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// A member is asked in each such span; longer than two ways there and back.
    pub probe: Duration,
    /// A suspect has this long to object.
    pub suspect: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { probe: Duration::from_millis(500), suspect: Duration::from_secs(2) }
    }
}

struct Due {
    at: Time,
    number: u64,
    timer: Timer<Identity>,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// The members as this one sees them.
pub struct Members {
    engine: Foca<Identity, PostcardCodec, StdRng, NoCustomBroadcast>,
    me: Identity,
    out: AccumulatingRuntime<Identity>,
    due: BinaryHeap<Reverse<Due>>,
    numbered: u64,
    /// Those that this one was made known to by name and address, see [`Members::join`].
    seeds: Vec<(String, SocketAddr)>,
    /// When it is made known to them again, if nobody is known by then.
    rejoin: Option<Time>,
    /// How long after each time.
    rejoin_wait: Duration,
}

impl Members {
    /// A fleet of one.
    pub fn new(me: Identity, pace: Pace, seed: u64) -> Self {
        let some = |n| NonZeroUsize::new(n).expect("not zero");
        let each = |frequency, members| Some(PeriodicParams { frequency, num_members: some(members) });
        let config = Config {
            probe_period: pace.probe,
            probe_rtt: pace.probe / 3,
            suspect_to_down_after: pace.suspect,
            max_packet_size: some(GOSSIP),
            notify_down_members: true,
            periodic_announce: each(pace.probe * 20, 1),
            // What was cut off is looked for again soon after the cut has healed.
            periodic_announce_to_down_members: each(pace.probe * 4, 2),
            // More often would cost a proxy more than its requests gain: nothing but whom to ask rests on this.
            periodic_gossip: each(pace.probe, 2),
            ..Config::simple()
        };
        let engine = Foca::new(me.clone(), config, StdRng::seed_from_u64(seed), PostcardCodec);
        let (out, due) = (AccumulatingRuntime::new(), BinaryHeap::new());
        // Drawn apart, so that those whom a crowd kept out don't come back as one.
        let rejoin_wait = REJOIN + REJOIN * (seed % 256) as u32 / 256;
        Members { engine, me, out, due, numbered: 0, seeds: Vec::new(), rejoin: None, rejoin_wait }
    }

    /// Makes this one known to a member of which only name and address are told, and again for as long as it knows
    /// nobody: the way there may be full of others that join.
    pub fn join(&mut self, now: Time, name: &str, address: SocketAddr) -> Vec<Gossip> {
        if self.seeds.len() < SEEDS && !self.seeds.iter().any(|(seed, _)| seed == name) {
            self.seeds.push((name.to_owned(), address));
        }
        self.rejoin = Some(now + self.rejoin_wait);
        self.announce(now, name, address)
    }

    fn announce(&mut self, now: Time, name: &str, address: SocketAddr) -> Vec<Gossip> {
        let other = Identity { name: name.into(), address, incarnation: 0, zone: None };
        // It fails only where the message does not fit, which an identity of bounded names can't bring about.
        let _ = self.engine.announce(other, &mut self.out);
        self.collect(now)
    }

    /// Takes in another member's message. One that can't be read is passed over, as if it had been lost.
    pub fn hear(&mut self, now: Time, bytes: &[u8]) -> Vec<Gossip> {
        if self.engine.iter_membership_state().len() < MEMBERS {
            let _ = self.engine.handle_data(bytes, &mut self.out);
        }
        self.collect(now)
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Time> {
        let due = self.due.peek().map(|Reverse(due)| due.at);
        due.into_iter().chain(self.rejoin).min()
    }

    /// Does what is due by now.
    pub fn fire(&mut self, now: Time) -> Vec<Gossip> {
        let mut out = Vec::new();
        while self.due.peek().is_some_and(|Reverse(due)| due.at <= now) {
            let Some(Reverse(due)) = self.due.pop() else { break };
            // A timer that came too late for its probe is the engine's to pass over.
            let _ = self.engine.handle_timer(due.timer, &mut self.out);
            out.extend(self.collect(now));
        }
        if self.rejoin.is_some_and(|at| at <= now) {
            self.rejoin = Some(now + self.rejoin_wait);
            if self.engine.num_members() == 0 {
                for (name, address) in self.seeds.clone() {
                    out.extend(self.announce(now, &name, address));
                }
            }
        }
        out
    }

    /// Takes leave, so that nobody waits to miss this one.
    pub fn leave(&mut self, now: Time) -> Vec<Gossip> {
        let _ = self.engine.leave_cluster(&mut self.out);
        self.collect(now)
    }

    /// All that are not missed, this one included, by name.
    pub fn present(&self) -> Vec<Identity> {
        let others = self.engine.iter_members().map(|m| m.id().clone());
        let mut all: Vec<Identity> = others.chain([self.me.clone()]).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// Where a member is reached, if it is not missed.
    pub fn find(&self, name: &str) -> Option<&Identity> {
        self.engine.iter_members().map(foca::Member::id).find(|m| m.name == name)
    }

    fn collect(&mut self, now: Time) -> Vec<Gossip> {
        while let Some((after, timer)) = self.out.to_schedule() {
            self.numbered += 1;
            self.due.push(Reverse(Due { at: now + after, number: self.numbered, timer }));
        }
        while let Some(told) = self.out.to_notify() {
            if let foca::OwnedNotification::Rejoin(me) = told {
                self.me = me;
            }
        }
        let mut all = Vec::new();
        while let Some((to, bytes)) = self.out.to_send() {
            all.push(Gossip { to, bytes: bytes.to_vec() });
        }
        all
    }
}

#[cfg(test)]
mod tests;
