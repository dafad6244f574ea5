//! Fleet membership and failure detection: SWIM with suspicion, incarnations and indirect probes (Das, Gupta and Motivala,
//! DSN 2002), implemented by the sans-IO `foca` engine. This wrapper takes time and the random seed from the caller, so
//! that the same input gives the same output.
//!
//! A slow member is probed indirectly through others before it is suspected, and has time to refute the suspicion.
//! Membership only decides which peers to contact and to wait for. Safety does not depend on it; leases provide that (see
//! [`crate::lease`]).

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
use crate::limits::{MAX_GOSSIP_BYTES, MAX_MEMBERS, MAX_SEEDS, REJOIN_INTERVAL};

/// A process of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The proxy's name, used by one process at a time.
    pub name: String,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Distinguishes processes of the same name: a later one has a higher number.
    pub incarnation: u64,
    /// Zone, if set.
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

/// A message to be sent to another member.
#[derive(Debug)]
pub struct Gossip {
    /// Receiver.
    pub to: Identity,
    /// Encoded message of at most [`MAX_GOSSIP_BYTES`].
    pub bytes: Vec<u8>,
}

/// Timing of the failure detection.
#[derive(Clone, Copy, Debug)]
pub struct ProbeTiming {
    /// Probe interval; longer than two round trips.
    pub probe: Duration,
    /// Time that a suspected member has to refute the suspicion.
    pub suspect: Duration,
}

impl Default for ProbeTiming {
    fn default() -> Self {
        ProbeTiming { probe: Duration::from_millis(500), suspect: Duration::from_secs(2) }
    }
}

/// A scheduled timer, ordered by time and then by number.
struct ScheduledTimer {
    at: Time,
    number: u64,
    timer: Timer<Identity>,
}

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for ScheduledTimer {}

impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledTimer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// This process's view of the fleet's members.
pub struct Members {
    engine: Foca<Identity, PostcardCodec, StdRng, NoCustomBroadcast>,
    me: Identity,
    out: AccumulatingRuntime<Identity>,
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    last_timer_number: u64,
    /// Names and addresses of the members that this one announces itself to, see [`Members::join`].
    seeds: Vec<(String, SocketAddr)>,
    /// When it announces itself to the seeds again, if no other member is known by then.
    rejoin_at: Option<Time>,
    /// Interval of these announcements.
    rejoin_interval: Duration,
}

impl Members {
    /// A fleet with no other known member.
    pub fn new(me: Identity, timing: ProbeTiming, seed: u64) -> Self {
        let non_zero = |n| NonZeroUsize::new(n).expect("not zero");
        let periodic =
            |frequency, members| Some(PeriodicParams { frequency, num_members: non_zero(members) });
        let config = Config {
            probe_period: timing.probe,
            probe_rtt: timing.probe / 3,
            suspect_to_down_after: timing.suspect,
            max_packet_size: non_zero(MAX_GOSSIP_BYTES),
            notify_down_members: true,
            periodic_announce: periodic(timing.probe * 20, 1),
            // Finds partitioned members again soon after the partition has healed.
            periodic_announce_to_down_members: periodic(timing.probe * 4, 2),
            // Gossiping more often would cost a proxy more than it gains: membership only decides which peers to contact.
            periodic_gossip: periodic(timing.probe, 2),
            ..Config::simple()
        };
        let engine = Foca::new(me.clone(), config, StdRng::seed_from_u64(seed), PostcardCodec);
        let (out, timers) = (AccumulatingRuntime::new(), BinaryHeap::new());
        // Jitter, so that proxies whose first announcements were lost in a burst don't retry all at once.
        let rejoin_interval = REJOIN_INTERVAL + REJOIN_INTERVAL * (seed % 256) as u32 / 256;
        Members {
            engine,
            me,
            out,
            timers,
            last_timer_number: 0,
            seeds: Vec::new(),
            rejoin_at: None,
            rejoin_interval,
        }
    }

    /// Announces this process to a seed member given by name and address. Repeated as long as no other member is known, since
    /// an announcement may be lost when many proxies join at once.
    pub fn join(&mut self, now: Time, name: &str, address: SocketAddr) -> Vec<Gossip> {
        if self.seeds.len() < MAX_SEEDS && !self.seeds.iter().any(|(seed, _)| seed == name) {
            self.seeds.push((name.to_owned(), address));
        }
        self.rejoin_at = Some(now + self.rejoin_interval);
        self.announce(now, name, address)
    }

    fn announce(&mut self, now: Time, name: &str, address: SocketAddr) -> Vec<Gossip> {
        let other = Identity { name: name.into(), address, incarnation: 0, zone: None };
        // Fails only if the message exceeds the maximum size, which can't happen with names of bounded length.
        let _ = self.engine.announce(other, &mut self.out);
        self.collect(now)
    }

    /// Handles another member's message. A malformed message is ignored, as if it had been lost.
    pub fn handle_message(&mut self, now: Time, bytes: &[u8]) -> Vec<Gossip> {
        if self.engine.iter_membership_state().len() < MAX_MEMBERS {
            let _ = self.engine.handle_data(bytes, &mut self.out);
        }
        self.collect(now)
    }

    /// When the next timer fires.
    pub fn next_due(&self) -> Option<Time> {
        let due = self.timers.peek().map(|Reverse(due)| due.at);
        due.into_iter().chain(self.rejoin_at).min()
    }

    /// Runs all timers that are due.
    pub fn run_due_timers(&mut self, now: Time) -> Vec<Gossip> {
        let mut out = Vec::new();
        while self.timers.peek().is_some_and(|Reverse(due)| due.at <= now) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            // The engine ignores a timer that fires too late for its probe.
            let _ = self.engine.handle_timer(due.timer, &mut self.out);
            out.extend(self.collect(now));
        }
        if self.rejoin_at.is_some_and(|at| at <= now) {
            self.rejoin_at = Some(now + self.rejoin_interval);
            if self.engine.num_members() == 0 {
                for (name, address) in self.seeds.clone() {
                    out.extend(self.announce(now, &name, address));
                }
            }
        }
        out
    }

    /// Leaves the fleet gracefully, so that the others need not detect a failure.
    pub fn leave(&mut self, now: Time) -> Vec<Gossip> {
        let _ = self.engine.leave_cluster(&mut self.out);
        self.collect(now)
    }

    /// All members believed to be alive, including this one, sorted by name.
    pub fn present(&self) -> Vec<Identity> {
        let others = self.engine.iter_members().map(|m| m.id().clone());
        let mut all: Vec<Identity> = others.chain([self.me.clone()]).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// The identity of another member, if it is believed to be alive.
    pub fn find(&self, name: &str) -> Option<&Identity> {
        self.engine.iter_members().map(foca::Member::id).find(|m| m.name == name)
    }

    fn collect(&mut self, now: Time) -> Vec<Gossip> {
        while let Some((after, timer)) = self.out.to_schedule() {
            self.last_timer_number += 1;
            self.timers.push(Reverse(ScheduledTimer {
                at: now + after,
                number: self.last_timer_number,
                timer,
            }));
        }
        while let Some(notification) = self.out.to_notify() {
            if let foca::OwnedNotification::Rejoin(me) = notification {
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
