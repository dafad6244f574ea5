//! Lives: each process of a proxy is enrolled under a number that the log assigns once. This module tracks which lives
//! may act, and which life (the *heir*) settles the unfinished requests (the *estate*) of one that has ended.
//!
//! A life acts under a lease like the one on the rules, see [`crate::follower`]. Once a *fence* against it is
//! committed, no later lease request is granted for it, so its last lease ends T later. Only then is an heir named,
//! under a unique epoch. Budgets are divided among the same lives.

use std::collections::BTreeMap;
use std::time::Duration;

use sandgap_fleet::Time;
use serde::{Deserialize, Serialize};

use crate::limits::{MAX_ESTATES, MAX_MEMBERS, cut};
use crate::terms::Span;

/// The number of a process, assigned by the log in the order of enrolment and never reused.
pub type Life = u64;
/// The fencing number under which an heir acts: each claim has a higher one than all earlier claims.
pub type Epoch = u64;

/// An enrolled process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Enrolled {
    /// A random number drawn by the process at its start, by which a duplicate enrolment is recognized.
    pub draw: u64,
    /// The proxy's name.
    pub name: String,
    /// The proxy's zone.
    pub zone: Option<String>,
}

/// An ended life whose requests have not been settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Estate {
    /// The process that ended.
    pub was: Enrolled,
    /// Whether the process itself announced its end: then an heir need not wait for its lease to end.
    pub told: bool,
    /// The heir and its epoch; `None` until one is named.
    pub heir: Option<(Life, Epoch)>,
}

impl Estate {
    /// The epoch of its heir; 0 without one.
    fn epoch(&self) -> Epoch {
        self.heir.map_or(0, |(_, epoch)| epoch)
    }
}

/// The right of an heir to act for an ended life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The ended life.
    pub life: Life,
    /// The name of its proxy.
    pub name: String,
    /// The epoch under which the heir acts.
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
        life: Life,
        /// See [`Estate::told`].
        told: bool,
    },
    /// Names the heir of an ended life.
    Claim {
        /// The ended life.
        life: Life,
        /// The heir.
        heir: Life,
        /// The epoch of the heir that it replaces; 0 for none. Of claims by two leaders only one matches and takes
        /// effect.
        after: Epoch,
    },
    /// The heir has settled the requests of an ended life.
    Settle(Claim),
    /// Removes a life from the recently ended ones.
    Forget(Life),
}

/// All lives, as committed to the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lives {
    /// Increases with each change of the enrolled lives.
    roll: u64,
    last: Life,
    epoch: Epoch,
    enrolled: BTreeMap<Life, Enrolled>,
    estates: BTreeMap<Life, Estate>,
    /// Recently ended lives. A newly enrolled process has to know of lives that ended before it came.
    departed: BTreeMap<Life, Enrolled>,
}

impl Lives {
    /// The number of the membership list: of two lists the one with the higher number is newer.
    pub fn roll(&self) -> u64 {
        self.roll
    }

    /// The enrolled lives.
    pub fn enrolled(&self) -> &BTreeMap<Life, Enrolled> {
        &self.enrolled
    }

    /// The ended lives whose requests have not been settled.
    pub fn estates(&self) -> &BTreeMap<Life, Estate> {
        &self.estates
    }

    /// The recently ended lives.
    pub fn departed(&self) -> &BTreeMap<Life, Enrolled> {
        &self.departed
    }

    /// The life of a process, if it is enrolled.
    pub fn life_of(&self, draw: u64) -> Option<Life> {
        self.enrolled.iter().find(|(_, e)| e.draw == draw).map(|(life, _)| *life)
    }

    /// The claims of an heir.
    pub fn claims_of(&self, heir: Life) -> Vec<Claim> {
        let of = |(life, estate): (&Life, &Estate)| {
            let (_, epoch) = estate.heir.filter(|(h, _)| *h == heir)?;
            Some(Claim { life: *life, name: estate.was.name.clone(), epoch })
        };
        self.estates.iter().filter_map(of).collect()
    }

    /// Skips numbers that a lost majority may have assigned, and ends all known lives: processes that still run enrol
    /// again.
    pub(crate) fn skip_numbers(&mut self, count: u64) {
        self.last += count;
        self.roll += count;
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
                self.roll += 1;
                if self.estates.len() >= MAX_ESTATES {
                    self.estates.pop_first(); // not settled while thousands of other lives ended
                }
                if self.departed.len() >= MAX_ESTATES {
                    self.departed.pop_first();
                }
                self.departed.insert(life, was.clone());
                self.estates.insert(life, Estate { was, told, heir: None });
            }
            LifeEntry::Claim { life, heir, after } => {
                let Some(estate) = self.estates.get_mut(&life).filter(|e| e.epoch() == after) else { return };
                if !self.enrolled.contains_key(&heir) {
                    return;
                }
                self.epoch += 1;
                estate.heir = Some((heir, self.epoch));
            }
            LifeEntry::Forget(life) => drop(self.departed.remove(&life)),
            LifeEntry::Settle(claim) => {
                if self.estates.get(&claim.life).is_some_and(|e| e.epoch() == claim.epoch) {
                    self.estates.remove(&claim.life);
                }
            }
        }
    }

    fn enrol(&mut self, who: Enrolled) {
        let known = self.life_of(who.draw).is_some();
        if known || self.enrolled.len() >= MAX_MEMBERS {
            return;
        }
        self.last += 1;
        self.roll += 1;
        let who = Enrolled { name: cut(&who.name), zone: who.zone.as_deref().map(cut), ..who };
        self.enrolled.insert(self.last, who);
    }
}

/// The next number of a pseudorandom sequence (Knuth's 64-bit linear congruential generator, The Art of Computer
/// Programming, volume 2, section 3.3.4). Its upper bits are the more random ones.
pub fn drawn(last: u64) -> u64 {
    last.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f)
}

/// The leader's observations of lives outside the log, and the entries that follow from them. A new leader starts with
/// none, and waits as long as the previous leader could have had to.
#[derive(Debug, Default)]
pub struct LifeMonitor {
    /// When each process last asked for a lease, by its draw.
    last_asked: BTreeMap<u64, Time>,
    /// When each ended life was first seen in the log here.
    ended: BTreeMap<Life, Time>,
    /// Proxies that refused a connection, and when that was reported.
    unreachable: BTreeMap<String, Time>,
}

impl LifeMonitor {
    /// Records a lease request of a process.
    pub fn record_ask(&mut self, now: Time, draw: u64) {
        if draw != 0 && (self.last_asked.len() < 2 * MAX_MEMBERS || self.last_asked.contains_key(&draw)) {
            self.last_asked.insert(draw, now);
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
        let known = |life: &Life| lives.estates.contains_key(life) || lives.departed.contains_key(life);
        self.ended.retain(|life, _| known(life));
        for life in lives.estates.keys().chain(lives.departed.keys()) {
            self.ended.entry(*life).or_insert(now);
        }
    }

    /// Expires observations that are no longer needed.
    pub fn expire(&mut self, now: Time, lives: &Lives, live: Duration) {
        self.last_asked.retain(|draw, at| now < *at + live * 20 || lives.life_of(*draw).is_some());
        self.unreachable.retain(|_, at| now < *at + live);
    }

    /// The entries that a leader that has led since `led` should propose now. `retention` is how long ended lives are
    /// remembered.
    pub fn due_entries(
        &self, now: Time, led: Time, lives: &Lives, span: Span, retention: Duration,
    ) -> Vec<LifeEntry> {
        let old = |life: &&Life| self.ended.get(*life).is_some_and(|at| now > *at + retention);
        let mut all: Vec<LifeEntry> =
            lives.departed.keys().filter(old).map(|life| LifeEntry::Forget(*life)).collect();
        self.fence(now, led, lives, span, &mut all);
        self.claim(now, lives, span, &mut all);
        all
    }

    /// Fences lives that have not asked for a lease for 3/5 of T, or whose proxy refuses connections. A process that is
    /// fenced wrongly enrols again, and its requests in flight go to an heir: this costs work but is safe.
    fn fence(&self, now: Time, led: Time, lives: &Lives, span: Span, all: &mut Vec<LifeEntry>) {
        let silence = span.bound * 3 / 5;
        let over = |(_, who): &(&Life, &Enrolled)| {
            let asked = self.last_asked.get(&who.draw).copied().unwrap_or(led).max(led);
            let gone = self.unreachable.get(&who.name).is_some_and(|at| *at > asked);
            now > asked + silence || gone
        };
        let fence = |(life, _): (&Life, &Enrolled)| LifeEntry::Fence { life: *life, told: false };
        all.extend(lives.enrolled.iter().filter(over).map(fence));
    }

    /// Names heirs for estates whose heir is missing or has ended, once all leases of the ended lives have run out.
    fn claim(&self, now: Time, lives: &Lives, span: Span, all: &mut Vec<LifeEntry>) {
        let wait = span.drift.at_least(span.bound);
        let ended = |life: &Life| match lives.estates.get(life) {
            Some(estate) => estate.told || self.ended.get(life).is_some_and(|at| now > *at + wait),
            None => true, // settled already
        };
        let needs_heir = |(life, estate): &(&Life, &Estate)| match estate.heir {
            Some((heir, _)) => !lives.enrolled.contains_key(&heir) && ended(life) && ended(&heir),
            None => ended(life),
        };
        // Every leader chooses the same heir, and different lives get different heirs: the requests of processes that
        // end together are spread.
        let heir =
            |life: Life| lives.enrolled.keys().copied().max_by_key(|heir| weight(&life.to_le_bytes(), *heir));
        let claim = |(life, estate): (&Life, &Estate)| {
            Some(LifeEntry::Claim { life: *life, heir: heir(*life)?, after: estate.epoch() })
        };
        all.extend(lives.estates.iter().filter(needs_heir).filter_map(claim));
    }
}

/// Rendezvous hashing weight of a life for a key: the life with the highest weight is chosen, the same one on every
/// node (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking
/// 6, 1998).
pub fn weight(key: &[u8], life: Life) -> u64 {
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

    fn span() -> Span {
        Span { bound: T, drift: Drift::ppm(1000) }
    }

    fn enrol(lives: &mut Lives, draw: u64) -> Life {
        lives.apply(LifeEntry::Enrol(Enrolled { draw, name: format!("p{draw}"), zone: None }));
        lives.life_of(draw).expect("room")
    }

    fn three_lives() -> (Lives, LifeMonitor) {
        let mut lives = Lives::default();
        assert_eq!([7, 8, 9].map(|draw| enrol(&mut lives, draw)), [1, 2, 3]);
        (lives, LifeMonitor::default())
    }

    fn record_asks(monitor: &mut LifeMonitor, now: u64, draws: &[u64]) {
        draws.iter().for_each(|draw| monitor.record_ask(ms(now), *draw));
    }

    #[test]
    fn a_duplicate_enrolment_counts_once_and_numbers_are_never_reused() {
        let (mut lives, _) = three_lives();
        assert_eq!((enrol(&mut lives, 8), lives.roll()), (2, 3));
        lives.apply(LifeEntry::Fence { life: 2, told: false });
        assert_eq!(enrol(&mut lives, 8), 4, "a late duplicate of its enrolment does not revive the old life");
    }

    #[test]
    fn a_silent_life_is_fenced_and_gets_an_heir_after_its_lease() {
        let (mut lives, mut monitor) = three_lives();
        record_asks(&mut monitor, 100, &[7, 8, 9]);
        record_asks(&mut monitor, 650, &[7, 9]);
        assert!(monitor.due_entries(ms(700), ms(0), &lives, span(), ms(60_000)).is_empty());
        let fence = monitor.due_entries(ms(701), ms(0), &lives, span(), ms(60_000)).remove(0);
        assert_eq!(fence, LifeEntry::Fence { life: 2, told: false });
        lives.apply(fence);
        monitor.record_ended(ms(710), &lives);
        record_asks(&mut monitor, 1650, &[7, 9]);
        let early = monitor.due_entries(ms(1711), ms(0), &lives, span(), ms(60_000));
        assert!(early.is_empty(), "on a slow clock its lease may not have ended");
        let claim = monitor.due_entries(ms(1712), ms(0), &lives, span(), ms(60_000)).remove(0);
        assert!(matches!(claim, LifeEntry::Claim { life: 2, heir: 1 | 3, .. }), "{claim:?}");
        lives.apply(claim);
        monitor.record_ended(ms(1715), &lives);
        assert!(monitor.due_entries(ms(1716), ms(0), &lives, span(), ms(60_000)).is_empty());
        record_asks(&mut monitor, 9000, &[7, 9]);
        assert!(lives.departed().contains_key(&2));
        assert_eq!(monitor.due_entries(ms(9000), ms(0), &lives, span(), ms(5000)), [LifeEntry::Forget(2)]);
    }

    #[test]
    fn an_announced_end_needs_no_wait_and_a_new_leader_waits_again() {
        let (mut lives, mut monitor) = three_lives();
        record_asks(&mut monitor, 100, &[7, 8, 9]);
        lives.apply(LifeEntry::Fence { life: 1, told: true });
        monitor.record_ended(ms(110), &lives);
        assert!(matches!(
            monitor.due_entries(ms(111), ms(0), &lives, span(), ms(60_000))[..],
            [LifeEntry::Claim { life: 1, .. }]
        ));
        lives.apply(LifeEntry::Fence { life: 2, told: false });
        let (mut other, led) = (LifeMonitor::default(), ms(5000));
        other.record_ended(ms(5000), &lives);
        record_asks(&mut other, 5500, &[9]);
        lives.apply(LifeEntry::Claim { life: 1, heir: 3, after: 0 });
        assert!(other.due_entries(ms(5900), led, &lives, span(), ms(60_000)).is_empty());
        record_asks(&mut other, 6000, &[9]);
        assert_eq!(
            other.due_entries(ms(6002), led, &lives, span(), ms(60_000)),
            [LifeEntry::Claim { life: 2, heir: 3, after: 0 }]
        );
    }

    #[test]
    fn a_refused_connection_fences_a_life_unless_it_has_asked_since() {
        let (lives, mut monitor) = three_lives();
        record_asks(&mut monitor, 100, &[7, 8, 9]);
        monitor.record_unreachable(ms(150), "p8");
        assert_eq!(
            monitor.due_entries(ms(151), ms(0), &lives, span(), ms(60_000)),
            [LifeEntry::Fence { life: 2, told: false }]
        );
        record_asks(&mut monitor, 160, &[8]);
        assert!(monitor.due_entries(ms(161), ms(0), &lives, span(), ms(60_000)).is_empty());
    }

    #[test]
    fn an_ended_heir_is_replaced_once_its_own_lease_has_ended() {
        let (mut lives, mut monitor) = three_lives();
        lives.apply(LifeEntry::Fence { life: 1, told: true });
        lives.apply(LifeEntry::Claim { life: 1, heir: 2, after: 0 });
        // A claim of another leader that was in flight has no effect.
        lives.apply(LifeEntry::Claim { life: 1, heir: 3, after: 0 });
        monitor.record_ended(ms(0), &lives);
        let first = lives.claims_of(2)[0].clone();
        lives.apply(LifeEntry::Fence { life: 2, told: false });
        monitor.record_ended(ms(100), &lives);
        record_asks(&mut monitor, 1000, &[9]);
        assert!(monitor.due_entries(ms(1000), ms(0), &lives, span(), ms(60_000)).is_empty());
        let claim = LifeEntry::Claim { life: 1, heir: 3, after: first.epoch };
        assert!(monitor.due_entries(ms(1102), ms(0), &lives, span(), ms(60_000)).contains(&claim));
        lives.apply(claim);
        let second = lives.claims_of(3)[0].clone();
        assert!(second.epoch > first.epoch);
        lives.apply(LifeEntry::Settle(first));
        assert!(lives.estates().contains_key(&1), "a replaced heir can't settle");
        lives.apply(LifeEntry::Settle(second));
        assert!(!lives.estates().contains_key(&1));
    }

    #[test]
    fn unsettled_lives_are_bounded() {
        let mut lives = Lives::default();
        for draw in 1..2 * MAX_ESTATES as u64 {
            let life = enrol(&mut lives, draw);
            lives.apply(LifeEntry::Fence { life, told: false });
        }
        assert_eq!(lives.estates().len(), MAX_ESTATES);
        assert_eq!(lives.enrolled().len(), 0);
    }
}
