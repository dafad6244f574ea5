//! The simulated host of a process: a clock, a disk with write latency and a timer; and the network between hosts,
//! which partitions, loses, delays, duplicates and reorders messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Range;

use rand::RngExt;
use sandgap_agree::log::{Damaged, Saved};
use sandgap_agree::machine::Seat;
use sandgap_agree::rider::Riders;
use sandgap_agree::voter::new_seat_number;
use sandgap_agree::{Agent, Timing};
use sandgap_fleet::Time;

use super::faults::Fault;
use crate::calendar::{MS, Nanos, SECOND};
use crate::skew::Skewed;
use crate::streams::Stream;

/// Time of one disk write, ns.
const DISK_WRITE_TIME: Range<Nanos> = 100_000..4 * MS;
/// Time that a message takes from one host to another, ns.
pub const LINK_DELAY: Range<Nanos> = 100_000..3 * MS;
/// Interval at which processes learn who else is up, ns; in the daemon the membership decides that.
pub const MEMBERSHIP_INTERVAL: Nanos = 500 * MS;

/// A host that runs one process at a time. Events of type `E` are deferred here while the process is paused.
pub struct Host<E> {
    /// Name of the proxy.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its clock.
    pub clock: Skewed,
    /// Number of the current process, raised at each start and stop: an event for a dead process reaches no later
    /// one.
    pub incarnation: u32,
    /// Whether its process is paused.
    pub paused: bool,
    /// Events to handle when the process resumes.
    pub deferred: VecDeque<E>,
    /// Contents of its disk, if it votes.
    pub disk: Option<Saved>,
    /// The disk starts no write before this time.
    pub disk_stalled_until: Nanos,
    /// When the disk will have done all writes given to it.
    disk_busy_until: Nanos,
    /// The local time for which the timer is set.
    timer_at: Option<Time>,
}

impl<E> Host<E> {
    /// A host without a process; its clock's rate is drawn within the fraction `max_drift` of true time.
    pub fn new(n: usize, max_drift: f64, rng: &mut Stream) -> Self {
        Host {
            name: format!("p{n}"),
            address: ([127, 0, 0, 1], n as u16 + 1).into(),
            clock: Skewed {
                rate: 1.0 + max_drift * rng.random_range(-1.0..=1.0),
                offset: rng.random_range(0..1000 * SECOND),
            },
            incarnation: 0,
            paused: false,
            deferred: VecDeque::new(),
            disk: None,
            disk_stalled_until: 0,
            disk_busy_until: 0,
            timer_at: None,
        }
    }

    /// Starts a process, with the host's disk or with a blank one.
    ///
    /// # Errors
    /// If the contents of the disk are damaged; the agent then runs without a vote.
    pub fn start(
        &mut self, now: Nanos, with_disk: bool, timing: Timing, voters: Vec<(String, SocketAddr)>,
        random: u64,
    ) -> (Agent, Result<(), Damaged>) {
        self.incarnation += 1;
        (self.timer_at, self.paused, self.disk_busy_until) = (None, false, now);
        self.deferred.clear();
        let local = self.clock.local(now);
        let mut agent = Agent::new(local, &self.name, timing, voters, random);
        agent.enrol(None);
        if !with_disk && self.disk.is_some() {
            self.disk = Some(Saved::empty(random.max(1)));
        }
        let votes = match &self.disk {
            Some(saved) => agent.vote(local, saved, Riders::none(), self.address),
            None => Ok(()),
        };
        (agent, votes)
    }

    /// Ends the process and drops its deferred events.
    pub fn stop(&mut self) {
        self.incarnation += 1;
        self.paused = false;
        self.deferred.clear();
    }

    /// Queues a disk write and returns when it will be durable.
    pub fn queue_write(&mut self, now: Nanos, rng: &mut Stream) -> Nanos {
        let write_time = rng.random_range(DISK_WRITE_TIME);
        self.disk_busy_until = self.disk_busy_until.max(now).max(self.disk_stalled_until) + write_time;
        self.disk_busy_until
    }

    /// Sets the timer for a local time and returns the true time, or `None` if it is already set for no later time.
    pub fn arm_timer(&mut self, now: Nanos, due: Time) -> Option<Nanos> {
        if self.timer_at.is_some_and(|at| due >= at) {
            return None;
        }
        self.timer_at = Some(due);
        Some(self.clock.shown(due).max(now))
    }

    /// Notes that the timer has fired.
    pub fn timer_fired(&mut self) {
        self.timer_at = None;
    }
}

/// Gives each voter a disk with the founding state of the fleet: all voters with their seats.
pub fn found_voter_disks<'a, E: 'a>(hosts: impl Iterator<Item = &'a mut Host<E>>) {
    let voters: Vec<&mut Host<E>> = hosts.collect();
    let seat = |host: &Host<E>| Seat { name: host.name.clone(), address: host.address };
    let seats: BTreeMap<u64, Seat> =
        voters.iter().map(|host| (new_seat_number(&host.name, 0), seat(host))).collect();
    for host in voters {
        host.disk = Some(Saved::initial(new_seat_number(&host.name, 0), &seats));
    }
}

/// The network between processes.
#[derive(Default)]
pub struct Network {
    cut_links: BTreeSet<(usize, usize)>,
    loss: f64,
    duplicates: f64,
    max_delay: Nanos,
}

impl Network {
    /// Applies a network fault; other faults are ignored.
    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Partition(links) => self.cut_links = links.iter().copied().collect(),
            Fault::Heal => *self = Network::default(),
            Fault::Degrade(loss, duplicates, delay) => {
                (self.loss, self.duplicates, self.max_delay) = (*loss, *duplicates, *delay);
            }
            _ => {}
        }
    }

    /// Arrival times of a message sent now, one for each copy; empty if it is lost.
    pub fn arrival_times(&self, now: Nanos, from: usize, to: usize, rng: &mut Stream) -> Vec<Nanos> {
        if self.cut_links.contains(&(from, to)) || self.loss > 0.0 && rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if self.duplicates > 0.0 && rng.random_bool(self.duplicates) { 2 } else { 1 };
        let mut arrival = || {
            let extra = if self.max_delay > 0 { rng.random_range(0..=self.max_delay) } else { 0 };
            now + rng.random_range(LINK_DELAY) + extra
        };
        (0..copies).map(|_| arrival()).collect()
    }
}
