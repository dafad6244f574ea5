//! What every process in virtual time stands on: a clock, a disk that takes its time, a timer; and the net between
//! them, which cuts, loses, delays, doubles and reorders.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Range;

use rand::RngExt;
use sandgap_agree::log::{Damaged, Saved};
use sandgap_agree::machine::Seat;
use sandgap_agree::rider::Riders;
use sandgap_agree::voter::fresh_seat;
use sandgap_agree::{Agent, Terms};
use sandgap_fleet::Time;

use super::faults::Fault;
use crate::calendar::{MS, Nanos, SECOND};
use crate::skew::Skewed;
use crate::streams::Stream;

/// What a disk takes for a write.
const DISK: Range<Nanos> = 100_000..4 * MS;
/// What a word takes.
pub const WAY: Range<Nanos> = 100_000..3 * MS;
/// Between two looks at who is there; the daemon's is its membership's.
pub const LOOK: Nanos = 500 * MS;

/// Where one process after another runs. Events of kind `E` wait here while a process stands still.
pub struct Host<E> {
    /// The proxy's name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its clock.
    pub clock: Skewed,
    /// Counts its processes: what was meant for one that died reaches no later one.
    pub life: u32,
    /// Its process stands still.
    pub paused: bool,
    /// What happens to it once it goes on.
    pub waiting: VecDeque<E>,
    /// What its disk has, if it votes.
    pub disk: Option<Saved>,
    /// Its disk does nothing before this.
    pub stalled: Nanos,
    /// When the disk has done what it was told.
    busy: Nanos,
    /// Its timer is set for this local time.
    armed: Option<Time>,
}

impl<E> Host<E> {
    /// One on which nothing runs yet; its clock's rate is drawn within `part` of true time.
    pub fn new(n: usize, part: f64, rng: &mut Stream) -> Self {
        Host {
            name: format!("p{n}"),
            address: ([127, 0, 0, 1], n as u16 + 1).into(),
            clock: Skewed {
                rate: 1.0 + part * rng.random_range(-1.0..=1.0),
                offset: rng.random_range(0..1000 * SECOND),
            },
            life: 0,
            paused: false,
            waiting: VecDeque::new(),
            disk: None,
            stalled: 0,
            busy: 0,
            armed: None,
        }
    }

    /// Starts a process, with its disk or with a blank one.
    ///
    /// # Errors
    /// Where what the disk has is damaged; the agent goes on without a vote then.
    pub fn start(
        &mut self, now: Nanos, with_disk: bool, terms: Terms, voters: Vec<(String, SocketAddr)>, chance: u64,
    ) -> (Agent, Result<(), Damaged>) {
        self.life += 1;
        (self.armed, self.paused, self.busy) = (None, false, now);
        self.waiting.clear();
        let local = self.clock.local(now);
        let mut agent = Agent::new(local, &self.name, terms, voters, chance);
        agent.enlist(None);
        if !with_disk && self.disk.is_some() {
            self.disk = Some(Saved::blank(chance.max(1)));
        }
        let votes = match &self.disk {
            Some(saved) => agent.vote(local, saved, Riders::none(), self.address),
            None => Ok(()),
        };
        (agent, votes)
    }

    /// Its process is dead.
    pub fn stop(&mut self) {
        self.life += 1;
        self.paused = false;
        self.waiting.clear();
    }

    /// When the disk will have kept a write that is told to it now.
    pub fn writes(&mut self, now: Nanos, rng: &mut Stream) -> Nanos {
        let took = rng.random_range(DISK);
        self.busy = self.busy.max(now).max(self.stalled) + took;
        self.busy
    }

    /// Sets the timer for a local time, unless it goes off before that; returns the true time.
    pub fn arm(&mut self, now: Nanos, due: Time) -> Option<Nanos> {
        if self.armed.is_some_and(|at| due >= at) {
            return None;
        }
        self.armed = Some(due);
        Some(self.clock.shown(due).max(now))
    }

    /// The timer has gone off.
    pub fn fired(&mut self) {
        self.armed = None;
    }
}

/// Founds the voters' stores.
pub fn found<'a, E: 'a>(hosts: impl Iterator<Item = &'a mut Host<E>>) {
    let voters: Vec<&mut Host<E>> = hosts.collect();
    let seat = |host: &Host<E>| Seat { name: host.name.clone(), address: host.address };
    let seats: BTreeMap<u64, Seat> =
        voters.iter().map(|host| (fresh_seat(&host.name, 0), seat(host))).collect();
    for host in voters {
        host.disk = Some(Saved::founding(fresh_seat(&host.name, 0), &seats));
    }
}

/// The net between processes.
#[derive(Default)]
pub struct Net {
    cut: BTreeSet<(usize, usize)>,
    lost: f64,
    doubled: f64,
    late: Nanos,
}

impl Net {
    /// Takes up a fault of the net; others are none of its business.
    pub fn suffer(&mut self, fault: &Fault) {
        match fault {
            Fault::Cut(pairs) => self.cut = pairs.iter().copied().collect(),
            Fault::Heal => *self = Net::default(),
            Fault::Weather(lost, doubled, late) => {
                (self.lost, self.doubled, self.late) = (*lost, *doubled, *late);
            }
            _ => {}
        }
    }

    /// When a word arrives, each copy of it; never, where it is lost.
    pub fn ways(&self, now: Nanos, from: usize, to: usize, rng: &mut Stream) -> Vec<Nanos> {
        if self.cut.contains(&(from, to)) || self.lost > 0.0 && rng.random_bool(self.lost) {
            return Vec::new();
        }
        let copies = if self.doubled > 0.0 && rng.random_bool(self.doubled) { 2 } else { 1 };
        let mut way = || {
            let late = if self.late > 0 { rng.random_range(0..=self.late) } else { 0 };
            now + rng.random_range(WAY) + late
        };
        (0..copies).map(|_| way()).collect()
    }
}
