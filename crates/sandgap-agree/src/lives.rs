//! Lives: each process of a proxy is enrolled under a number that the log assigns once. This module tracks which lives
//! may act, and which life (the *successor*) settles the unfinished requests (the *unsettled life*) of one that has
//! ended.
//!
//! A life acts under a lease like the one on the rules, see [`crate::follower`]. Once a *fence* against it is
//! committed, no later lease request is granted for it, so its last lease ends T later. Only then is a successor named,
//! under a unique epoch. Budgets are divided among the same lives.

use std::collections::BTreeMap;
use std::time::Duration;

use sandgap_fleet::Time;
use serde::{Deserialize, Serialize};

use crate::limits::{MAX_MEMBERS, MAX_UNSETTLED_LIVES, truncate_text};
use crate::timing::LeaseBound;

/// The number of a process, assigned by the log in the order of enrolment and never reused.
pub type ProcessId = u64;
/// The fencing number under which a successor acts: each succession has a higher one than all earlier successions.
pub type Epoch = u64;

/// An enrolled process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Enrolled {
    /// A random number chosen by the process at its start, by which a duplicate enrolment is recognized.
    pub process_token: u64,
    /// The proxy's name.
    pub name: String,
    /// The proxy's zone.
    pub zone: Option<String>,
}

/// An ended life whose requests have not been settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsettledLife {
    /// The process that ended.
    pub was: Enrolled,
    /// Whether the process itself announced its end: then a successor need not wait for its lease to end.
    pub told: bool,
    /// The successor and its epoch; `None` until one is named.
    pub successor: Option<(ProcessId, Epoch)>,
}

impl UnsettledLife {
    /// The epoch of its successor; 0 without one.
    fn epoch(&self) -> Epoch {
        self.successor.map_or(0, |(_, epoch)| epoch)
    }
}

/// The right of a successor to act for an ended life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Succession {
    /// The ended life.
    pub life: ProcessId,
    /// The name of its proxy.
    pub name: String,
    /// The epoch under which the successor acts.
    pub epoch: Epoch,
}

/// A log entry about lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LifeEntry {
    /// Enrols a process.
    Enrol(Enrolled),
    /// Ends a life: no more leases are granted to it.
    Fence {
        /// The life that ends.
        life: ProcessId,
        /// See [`UnsettledLife::told`].
        told: bool,
    },
    /// Names the successor of an ended life.
    Succession {
        /// The ended life.
        life: ProcessId,
        /// The successor.
        successor: ProcessId,
        /// The epoch of the successor that it replaces; 0 for none. Of successions by two leaders only one matches and
        /// takes effect.
        after: Epoch,
    },
    /// The successor has settled the requests of an ended life.
    Settle(Succession),
    /// Removes a life from the recently ended ones.
    Forget(ProcessId),
}

/// All lives, as committed to the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lives {
    /// Increases with each change of the enrolled lives.
    list_number: u64,
    last: ProcessId,
    epoch: Epoch,
    enrolled: BTreeMap<ProcessId, Enrolled>,
    unsettled: BTreeMap<ProcessId, UnsettledLife>,
    /// Recently ended lives. A newly enrolled process has to know of lives that ended before it came.
    recently_ended: BTreeMap<ProcessId, Enrolled>,
}

impl Lives {
    /// The number of the membership list: of two lists the one with the higher number is newer.
    pub fn list_number(&self) -> u64 {
        self.list_number
    }

    /// The enrolled lives.
    pub fn enrolled(&self) -> &BTreeMap<ProcessId, Enrolled> {
        &self.enrolled
    }

    /// The ended lives whose requests have not been settled.
    pub fn unsettled(&self) -> &BTreeMap<ProcessId, UnsettledLife> {
        &self.unsettled
    }

    /// The recently ended lives.
    pub fn recently_ended(&self) -> &BTreeMap<ProcessId, Enrolled> {
        &self.recently_ended
    }

    /// The life of a process, if it is enrolled.
    pub fn life_of(&self, process_token: u64) -> Option<ProcessId> {
        self.enrolled.iter().find(|(_, e)| e.process_token == process_token).map(|(life, _)| *life)
    }

    /// The successions of a successor.
    pub fn successions_of(&self, successor: ProcessId) -> Vec<Succession> {
        let of = |(life, unsettled_life): (&ProcessId, &UnsettledLife)| {
            let (_, epoch) = unsettled_life.successor.filter(|(h, _)| *h == successor)?;
            Some(Succession { life: *life, name: unsettled_life.was.name.clone(), epoch })
        };
        self.unsettled.iter().filter_map(of).collect()
    }

    /// Skips numbers that a lost majority may have assigned, and ends all known lives: processes that still run enrol
    /// again.
    pub(crate) fn skip_numbers(&mut self, count: u64) {
        self.last += count;
        self.list_number += count;
        self.epoch += count;
        for life in self.enrolled.keys().copied().collect::<Vec<_>>() {
            self.apply(LifeEntry::Fence { life, told: false });
        }
    }

    /// Applies a committed entry.
    pub fn apply(&mut self, entry: LifeEntry) {
        match entry {
            LifeEntry::Enrol(who) => self.enrol(who),
            LifeEntry::Fence { life, told } => {
                let Some(was) = self.enrolled.remove(&life) else { return };
                self.list_number += 1;
                if self.unsettled.len() >= MAX_UNSETTLED_LIVES {
                    self.unsettled.pop_first(); // not settled while thousands of other lives ended
                }
                if self.recently_ended.len() >= MAX_UNSETTLED_LIVES {
                    self.recently_ended.pop_first();
                }
                self.recently_ended.insert(life, was.clone());
                self.unsettled.insert(life, UnsettledLife { was, told, successor: None });
            }
            LifeEntry::Succession { life, successor, after } => {
                let Some(unsettled_life) = self.unsettled.get_mut(&life).filter(|e| e.epoch() == after)
                else {
                    return;
                };
                if !self.enrolled.contains_key(&successor) {
                    return;
                }
                self.epoch += 1;
                unsettled_life.successor = Some((successor, self.epoch));
            }
            LifeEntry::Forget(life) => drop(self.recently_ended.remove(&life)),
            LifeEntry::Settle(succession) => {
                if self.unsettled.get(&succession.life).is_some_and(|e| e.epoch() == succession.epoch) {
                    self.unsettled.remove(&succession.life);
                }
            }
        }
    }

    fn enrol(&mut self, who: Enrolled) {
        let known = self.life_of(who.process_token).is_some();
        if known || self.enrolled.len() >= MAX_MEMBERS {
            return;
        }
        self.last += 1;
        self.list_number += 1;
        let who =
            Enrolled { name: truncate_text(&who.name), zone: who.zone.as_deref().map(truncate_text), ..who };
        self.enrolled.insert(self.last, who);
    }
}

/// The next number of a pseudorandom sequence (Knuth's 64-bit linear congruential generator, The Art of Computer
/// Programming, volume 2, section 3.3.4). Its upper bits are the more random ones.
pub fn next_random(last: u64) -> u64 {
    last.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f)
}

/// The leader's observations of lives outside the log, and the entries that follow from them. A new leader starts with
/// none, and waits as long as the previous leader could have had to.
#[derive(Debug, Default)]
pub struct LifeMonitor {
    /// When each process last asked for a lease, by its process token.
    last_asked: BTreeMap<u64, Time>,
    /// When each ended life was first seen in the log here.
    ended: BTreeMap<ProcessId, Time>,
    /// Proxies that refused a connection, and when that was reported.
    unreachable: BTreeMap<String, Time>,
}

impl LifeMonitor {
    /// Records a lease request of a process.
    pub fn record_ask(&mut self, now: Time, process_token: u64) {
        if process_token != 0
            && (self.last_asked.len() < 2 * MAX_MEMBERS || self.last_asked.contains_key(&process_token))
        {
            self.last_asked.insert(process_token, now);
        }
    }

    /// Records that a proxy refused a connection.
    pub fn record_unreachable(&mut self, now: Time, name: &str) {
        if self.unreachable.len() < MAX_MEMBERS {
            self.unreachable.insert(name.to_owned(), now);
        }
    }

    /// Records newly ended lives. Every voter calls it after applying entries, leader or not.
    pub fn record_ended(&mut self, now: Time, lives: &Lives) {
        let known =
            |life: &ProcessId| lives.unsettled.contains_key(life) || lives.recently_ended.contains_key(life);
        self.ended.retain(|life, _| known(life));
        for life in lives.unsettled.keys().chain(lives.recently_ended.keys()) {
            self.ended.entry(*life).or_insert(now);
        }
    }

    /// Expires observations that are no longer needed.
    pub fn expire(&mut self, now: Time, lives: &Lives, live: Duration) {
        self.last_asked
            .retain(|process_token, at| now < *at + live * 20 || lives.life_of(*process_token).is_some());
        self.unreachable.retain(|_, at| now < *at + live);
    }

    /// The entries that a leader that has led since `led` should propose now. `retention` is how long ended lives are
    /// remembered.
    pub fn due_entries(
        &self, now: Time, led: Time, lives: &Lives, lease_bound: LeaseBound, retention: Duration,
    ) -> Vec<LifeEntry> {
        let old = |life: &&ProcessId| self.ended.get(*life).is_some_and(|at| now > *at + retention);
        let mut all: Vec<LifeEntry> =
            lives.recently_ended.keys().filter(old).map(|life| LifeEntry::Forget(*life)).collect();
        self.fence(now, led, lives, lease_bound, &mut all);
        self.name_successors(now, lives, lease_bound, &mut all);
        all
    }

    /// Fences lives that have not asked for a lease for 3/5 of T, or whose proxy refuses connections. A process that is
    /// fenced wrongly enrols again, and its requests in flight go to a successor: this costs work but is safe.
    fn fence(&self, now: Time, led: Time, lives: &Lives, lease_bound: LeaseBound, all: &mut Vec<LifeEntry>) {
        let silence = lease_bound.bound * 3 / 5;
        let over = |(_, who): &(&ProcessId, &Enrolled)| {
            let asked = self.last_asked.get(&who.process_token).copied().unwrap_or(led).max(led);
            let gone = self.unreachable.get(&who.name).is_some_and(|at| *at > asked);
            now > asked + silence || gone
        };
        let fence = |(life, _): (&ProcessId, &Enrolled)| LifeEntry::Fence { life: *life, told: false };
        all.extend(lives.enrolled.iter().filter(over).map(fence));
    }

    /// Names successors for unsettled lives whose successor is missing or has ended, once all leases of the ended lives
    /// have run out.
    fn name_successors(&self, now: Time, lives: &Lives, lease_bound: LeaseBound, all: &mut Vec<LifeEntry>) {
        let wait = lease_bound.drift.at_least(lease_bound.bound);
        let ended = |life: &ProcessId| match lives.unsettled.get(life) {
            Some(unsettled_life) => {
                unsettled_life.told || self.ended.get(life).is_some_and(|at| now > *at + wait)
            }
            None => true, // settled already
        };
        let needs_successor =
            |(life, unsettled_life): &(&ProcessId, &UnsettledLife)| match unsettled_life.successor {
                Some((successor, _)) => {
                    !lives.enrolled.contains_key(&successor) && ended(life) && ended(&successor)
                }
                None => ended(life),
            };
        // Every leader chooses the same successor, and different lives get different successors: the requests of
        // processes that end together are spread.
        let successor = |life: ProcessId| {
            lives
                .enrolled
                .keys()
                .copied()
                .max_by_key(|successor| rendezvous_weight(&life.to_le_bytes(), *successor))
        };
        let succession = |(life, unsettled_life): (&ProcessId, &UnsettledLife)| {
            Some(LifeEntry::Succession {
                life: *life,
                successor: successor(*life)?,
                after: unsettled_life.epoch(),
            })
        };
        all.extend(lives.unsettled.iter().filter(needs_successor).filter_map(succession));
    }
}

/// Rendezvous hashing weight of a life for a key: the life with the highest weight is chosen, the same one on every
/// node (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking
/// 6, 1998).
pub fn rendezvous_weight(key: &[u8], life: ProcessId) -> u64 {
    let hash = blake3::hash(&[key, &life.to_le_bytes()].concat());
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("eight of thirty-two"))
}

#[cfg(test)]
mod tests {
    use sandgap_fleet::Drift;

    use super::*;

    const T: Duration = Duration::from_secs(1);

    fn ms(ms: u64) -> Time {
        Duration::from_millis(ms)
    }

    fn lease_bound() -> LeaseBound {
        LeaseBound { bound: T, drift: Drift::ppm(1000) }
    }

    fn enrol(lives: &mut Lives, process_token: u64) -> ProcessId {
        lives.apply(LifeEntry::Enrol(Enrolled {
            process_token,
            name: format!("p{process_token}"),
            zone: None,
        }));
        lives.life_of(process_token).expect("room")
    }

    fn three_lives() -> (Lives, LifeMonitor) {
        let mut lives = Lives::default();
        assert_eq!([7, 8, 9].map(|process_token| enrol(&mut lives, process_token)), [1, 2, 3]);
        (lives, LifeMonitor::default())
    }

    fn record_asks(monitor: &mut LifeMonitor, now: u64, tokens: &[u64]) {
        tokens.iter().for_each(|process_token| monitor.record_ask(ms(now), *process_token));
    }

    #[test]
    fn a_duplicate_enrolment_counts_once_and_numbers_are_never_reused() {
        let (mut lives, _) = three_lives();
        assert_eq!((enrol(&mut lives, 8), lives.list_number()), (2, 3));
        lives.apply(LifeEntry::Fence { life: 2, told: false });
        assert_eq!(enrol(&mut lives, 8), 4, "a late duplicate of its enrolment does not revive the old life");
    }

    #[test]
    fn a_silent_life_is_fenced_and_gets_an_heir_after_its_lease() {
        let (mut lives, mut monitor) = three_lives();
        record_asks(&mut monitor, 100, &[7, 8, 9]);
        record_asks(&mut monitor, 650, &[7, 9]);
        assert!(monitor.due_entries(ms(700), ms(0), &lives, lease_bound(), ms(60_000)).is_empty());
        let fence = monitor.due_entries(ms(701), ms(0), &lives, lease_bound(), ms(60_000)).remove(0);
        assert_eq!(fence, LifeEntry::Fence { life: 2, told: false });
        lives.apply(fence);
        monitor.record_ended(ms(710), &lives);
        record_asks(&mut monitor, 1650, &[7, 9]);
        let early = monitor.due_entries(ms(1711), ms(0), &lives, lease_bound(), ms(60_000));
        assert!(early.is_empty(), "on a slow clock its lease may not have ended");
        let succession = monitor.due_entries(ms(1712), ms(0), &lives, lease_bound(), ms(60_000)).remove(0);
        assert!(
            matches!(succession, LifeEntry::Succession { life: 2, successor: 1 | 3, .. }),
            "{succession:?}"
        );
        lives.apply(succession);
        monitor.record_ended(ms(1715), &lives);
        assert!(monitor.due_entries(ms(1716), ms(0), &lives, lease_bound(), ms(60_000)).is_empty());
        record_asks(&mut monitor, 9000, &[7, 9]);
        assert!(lives.recently_ended().contains_key(&2));
        assert_eq!(
            monitor.due_entries(ms(9000), ms(0), &lives, lease_bound(), ms(5000)),
            [LifeEntry::Forget(2)]
        );
    }

    #[test]
    fn an_announced_end_needs_no_wait_and_a_new_leader_waits_again() {
        let (mut lives, mut monitor) = three_lives();
        record_asks(&mut monitor, 100, &[7, 8, 9]);
        lives.apply(LifeEntry::Fence { life: 1, told: true });
        monitor.record_ended(ms(110), &lives);
        assert!(matches!(
            monitor.due_entries(ms(111), ms(0), &lives, lease_bound(), ms(60_000))[..],
            [LifeEntry::Succession { life: 1, .. }]
        ));
        lives.apply(LifeEntry::Fence { life: 2, told: false });
        let (mut other, led) = (LifeMonitor::default(), ms(5000));
        other.record_ended(ms(5000), &lives);
        record_asks(&mut other, 5500, &[9]);
        lives.apply(LifeEntry::Succession { life: 1, successor: 3, after: 0 });
        assert!(other.due_entries(ms(5900), led, &lives, lease_bound(), ms(60_000)).is_empty());
        record_asks(&mut other, 6000, &[9]);
        assert_eq!(
            other.due_entries(ms(6002), led, &lives, lease_bound(), ms(60_000)),
            [LifeEntry::Succession { life: 2, successor: 3, after: 0 }]
        );
    }

    #[test]
    fn a_refused_connection_fences_a_life_unless_it_has_asked_since() {
        let (lives, mut monitor) = three_lives();
        record_asks(&mut monitor, 100, &[7, 8, 9]);
        monitor.record_unreachable(ms(150), "p8");
        assert_eq!(
            monitor.due_entries(ms(151), ms(0), &lives, lease_bound(), ms(60_000)),
            [LifeEntry::Fence { life: 2, told: false }]
        );
        record_asks(&mut monitor, 160, &[8]);
        assert!(monitor.due_entries(ms(161), ms(0), &lives, lease_bound(), ms(60_000)).is_empty());
    }

    #[test]
    fn an_ended_heir_is_replaced_once_its_own_lease_has_ended() {
        let (mut lives, mut monitor) = three_lives();
        lives.apply(LifeEntry::Fence { life: 1, told: true });
        lives.apply(LifeEntry::Succession { life: 1, successor: 2, after: 0 });
        // A succession of another leader that was in flight has no effect.
        lives.apply(LifeEntry::Succession { life: 1, successor: 3, after: 0 });
        monitor.record_ended(ms(0), &lives);
        let first = lives.successions_of(2)[0].clone();
        lives.apply(LifeEntry::Fence { life: 2, told: false });
        monitor.record_ended(ms(100), &lives);
        record_asks(&mut monitor, 1000, &[9]);
        assert!(monitor.due_entries(ms(1000), ms(0), &lives, lease_bound(), ms(60_000)).is_empty());
        let succession = LifeEntry::Succession { life: 1, successor: 3, after: first.epoch };
        assert!(
            monitor.due_entries(ms(1102), ms(0), &lives, lease_bound(), ms(60_000)).contains(&succession)
        );
        lives.apply(succession);
        let second = lives.successions_of(3)[0].clone();
        assert!(second.epoch > first.epoch);
        lives.apply(LifeEntry::Settle(first));
        assert!(lives.unsettled().contains_key(&1), "a replaced successor can't settle");
        lives.apply(LifeEntry::Settle(second));
        assert!(!lives.unsettled().contains_key(&1));
    }

    #[test]
    fn unsettled_lives_are_bounded() {
        let mut lives = Lives::default();
        for process_token in 1..2 * MAX_UNSETTLED_LIVES as u64 {
            let life = enrol(&mut lives, process_token);
            lives.apply(LifeEntry::Fence { life, told: false });
        }
        assert_eq!(lives.unsettled().len(), MAX_UNSETTLED_LIVES);
        assert_eq!(lives.enrolled().len(), 0);
    }
}
