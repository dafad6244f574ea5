//! Lives: each process of a proxy under a number that the log gives once, who of them may still act, and who is the
//! heir to what one that ended left behind.
//!
//! A life acts under a lease like the rules' own, see [`crate::follower`]. Once a *fence* against it is in the log, no
//! question asked from then on is answered with a lease for it; so the last one ends T later, and only then is an heir
//! named, under an epoch that is given once. Budgets are divided among the same lives.

use std::collections::BTreeMap;
use std::time::Duration;

use sandgap_fleet::Time;
use serde::{Deserialize, Serialize};

use crate::limits::{ESTATES, MEMBERS, cut};
use crate::terms::Span;

/// The number of a process: given by the log in the order of enrolment, never twice.
pub type Life = u64;
/// Under which an heir acts: each claim has a higher one than all before it.
pub type Epoch = u64;

/// A process that is enrolled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Enrolled {
    /// Drawn by the process at its start: the same wish that arrives twice counts once.
    pub draw: u64,
    /// The name under which it is reached.
    pub name: String,
    /// Where it stands.
    pub zone: Option<String>,
}

/// What a life left behind that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Estate {
    /// Who it was.
    pub was: Enrolled,
    /// It said itself that it acts no more: nobody has to wait.
    pub told: bool,
    /// The heir, and its epoch; none yet at first.
    pub heir: Option<(Life, Epoch)>,
}

impl Estate {
    /// Of the heir that it has; 0 for none.
    fn epoch(&self) -> Epoch {
        self.heir.map_or(0, |(_, epoch)| epoch)
    }
}

/// The right to act for a life that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Which life ended.
    pub life: Life,
    /// The name that it had.
    pub name: String,
    /// Under which its heir acts.
    pub epoch: Epoch,
}

/// An entry of the log about lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LifeEntry {
    /// A process wants a number.
    Enrol(Enrolled),
    /// Nothing is leased to a life any more; `told` where it said so itself.
    Fence {
        /// Which.
        life: Life,
        /// See [`Estate::told`].
        told: bool,
    },
    /// Another life acts for one that ended.
    Claim {
        /// The one that ended.
        life: Life,
        /// The heir.
        heir: Life,
        /// The epoch of the heir whose place it takes; 0 for none. Of two leaders' claims one counts.
        after: Epoch,
    },
    /// What it left has been settled.
    Settle(Claim),
    /// It ended long enough ago.
    Forget(Life),
}

/// All lives, as the log has them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lives {
    /// Grows with each change of who is enrolled.
    roll: u64,
    last: Life,
    epoch: Epoch,
    enrolled: BTreeMap<Life, Enrolled>,
    estates: BTreeMap<Life, Estate>,
    /// Who ended a while ago: who comes now has to know whom it did not meet.
    departed: BTreeMap<Life, Enrolled>,
}

impl Lives {
    /// How often the enrolled ones have changed: of two lists the one with the higher number is newer.
    pub fn roll(&self) -> u64 {
        self.roll
    }

    /// Who is enrolled.
    pub fn enrolled(&self) -> &BTreeMap<Life, Enrolled> {
        &self.enrolled
    }

    /// What has not been settled.
    pub fn estates(&self) -> &BTreeMap<Life, Estate> {
        &self.estates
    }

    /// Who ended a while ago.
    pub fn departed(&self) -> &BTreeMap<Life, Enrolled> {
        &self.departed
    }

    /// The life of a process, if it is enrolled.
    pub fn life_of(&self, draw: u64) -> Option<Life> {
        self.enrolled.iter().find(|(_, e)| e.draw == draw).map(|(life, _)| *life)
    }

    /// What a life is heir to.
    pub fn claims_of(&self, heir: Life) -> Vec<Claim> {
        let of = |(life, estate): (&Life, &Estate)| {
            let (_, epoch) = estate.heir.filter(|(h, _)| *h == heir)?;
            Some(Claim { life: *life, name: estate.was.name.clone(), epoch })
        };
        self.estates.iter().filter_map(of).collect()
    }

    /// Leaves room for numbers that a lost majority may have given since, and ends all that it knew: who asks is
    /// enrolled anew.
    pub(crate) fn skip(&mut self, numbers: u64) {
        self.last += numbers;
        self.roll += numbers;
        self.epoch += numbers;
        for life in self.enrolled.keys().copied().collect::<Vec<_>>() {
            self.apply(LifeEntry::Fence { life, told: false });
        }
    }

    /// Applies an entry that a majority has.
    pub fn apply(&mut self, entry: LifeEntry) {
        match entry {
            LifeEntry::Enrol(who) => self.enrol(who),
            LifeEntry::Fence { life, told } => {
                let Some(was) = self.enrolled.remove(&life) else { return };
                self.roll += 1;
                if self.estates.len() >= ESTATES {
                    self.estates.pop_first(); // nobody could be found to settle it for thousands of ends
                }
                if self.departed.len() >= ESTATES {
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
        if known || self.enrolled.len() >= MEMBERS {
            return;
        }
        self.last += 1;
        self.roll += 1;
        let who = Enrolled { name: cut(&who.name), zone: who.zone.as_deref().map(cut), ..who };
        self.enrolled.insert(self.last, who);
    }
}

/// The next number of a sequence by chance (Knuth's linear congruence for 64 bits, The Art of Computer Programming,
/// volume 2, section 3.3.4); its upper bits are the better ones.
pub fn drawn(last: u64) -> u64 {
    last.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f)
}

/// What a leader knows of lives beside the log, and what it does about them. A new leader begins with none of it, and
/// waits as long as the last one could have had to.
#[derive(Debug, Default)]
pub struct Watch {
    /// When each process asked last.
    heard: BTreeMap<u64, Time>,
    /// When each end was first seen in the log here.
    ended: BTreeMap<Life, Time>,
    /// Processes that seem to have gone, and when that was said.
    missed: BTreeMap<String, Time>,
}

impl Watch {
    /// A process has asked.
    pub fn heard(&mut self, now: Time, draw: u64) {
        if draw != 0 && (self.heard.len() < 2 * MEMBERS || self.heard.contains_key(&draw)) {
            self.heard.insert(draw, now);
        }
    }

    /// Somebody found that nothing listens under a proxy's name any more.
    pub fn missed(&mut self, now: Time, name: &str) {
        if self.missed.len() < MEMBERS {
            self.missed.insert(name.to_owned(), now);
        }
    }

    /// Notes ends that are in the log by now. Called whenever entries have been applied, by whoever applies them.
    pub fn applied(&mut self, now: Time, lives: &Lives) {
        let known = |life: &Life| lives.estates.contains_key(life) || lives.departed.contains_key(life);
        self.ended.retain(|life, _| known(life));
        for life in lives.estates.keys().chain(lives.departed.keys()) {
            self.ended.entry(*life).or_insert(now);
        }
    }

    /// Forgets what is of no more use.
    pub fn forget(&mut self, now: Time, lives: &Lives, live: Duration) {
        self.heard.retain(|draw, at| now < *at + live * 20 || lives.life_of(*draw).is_some());
        self.missed.retain(|_, at| now < *at + live);
    }

    /// What a leader that has led since `led` puts into the log next.
    ///
    /// `remember` is how long it stays known who has ended.
    pub fn decide(
        &self, now: Time, led: Time, lives: &Lives, span: Span, remember: Duration,
    ) -> Vec<LifeEntry> {
        let old = |life: &&Life| self.ended.get(*life).is_some_and(|at| now > *at + remember);
        let mut all: Vec<LifeEntry> =
            lives.departed.keys().filter(old).map(|life| LifeEntry::Forget(*life)).collect();
        self.fence(now, led, lives, span, &mut all);
        self.claim(now, lives, span, &mut all);
        all
    }

    /// Lives that have not asked for more than half a lease, or whose processes seem to have gone. One that is fenced
    /// wrongly enrols anew, and its work in hand goes to an heir: that costs something, and does no harm.
    fn fence(&self, now: Time, led: Time, lives: &Lives, span: Span, all: &mut Vec<LifeEntry>) {
        let silence = span.bound * 3 / 5;
        let over = |(_, who): &(&Life, &Enrolled)| {
            let asked = self.heard.get(&who.draw).copied().unwrap_or(led).max(led);
            let gone = self.missed.get(&who.name).is_some_and(|at| *at > asked);
            now > asked + silence || gone
        };
        let fence = |(life, _): (&Life, &Enrolled)| LifeEntry::Fence { life: *life, told: false };
        all.extend(lives.enrolled.iter().filter(over).map(fence));
    }

    /// Heirs for what has none that lives, once all leases of those before them have ended.
    fn claim(&self, now: Time, lives: &Lives, span: Span, all: &mut Vec<LifeEntry>) {
        let wait = span.drift.at_least(span.bound);
        let ended = |life: &Life| match lives.estates.get(life) {
            Some(estate) => estate.told || self.ended.get(life).is_some_and(|at| now > *at + wait),
            None => true, // long settled
        };
        let wants = |(life, estate): &(&Life, &Estate)| match estate.heir {
            Some((heir, _)) => !lives.enrolled.contains_key(&heir) && ended(life) && ended(&heir),
            None => ended(life),
        };
        // The same choice at each leader, another for each life: hands of proxies that end together are spread.
        let heir =
            |life: Life| lives.enrolled.keys().copied().max_by_key(|heir| weight(&life.to_le_bytes(), *heir));
        let claim = |(life, estate): (&Life, &Estate)| {
            Some(LifeEntry::Claim { life: *life, heir: heir(*life)?, after: estate.epoch() })
        };
        all.extend(lives.estates.iter().filter(wants).filter_map(claim));
    }
}

/// Rendezvous weight of a life for a key: whoever has the highest is chosen, the same everywhere (Thaler and
/// Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking 6, 1998).
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

    fn three() -> (Lives, Watch) {
        let mut lives = Lives::default();
        assert_eq!([7, 8, 9].map(|draw| enrol(&mut lives, draw)), [1, 2, 3]);
        (lives, Watch::default())
    }

    fn hear(watch: &mut Watch, now: u64, draws: &[u64]) {
        draws.iter().for_each(|draw| watch.heard(ms(now), *draw));
    }

    #[test]
    fn a_wish_that_comes_twice_counts_once_and_no_number_is_given_twice() {
        let (mut lives, _) = three();
        assert_eq!((enrol(&mut lives, 8), lives.roll()), (2, 3));
        lives.apply(LifeEntry::Fence { life: 2, told: false });
        assert_eq!(enrol(&mut lives, 8), 4, "a late copy of its wish brings its old life back to nobody");
    }

    #[test]
    fn who_is_silent_for_long_is_fenced_and_after_t_has_an_heir() {
        let (mut lives, mut watch) = three();
        hear(&mut watch, 100, &[7, 8, 9]);
        hear(&mut watch, 650, &[7, 9]);
        assert!(watch.decide(ms(700), ms(0), &lives, span(), ms(60_000)).is_empty());
        let fence = watch.decide(ms(701), ms(0), &lives, span(), ms(60_000)).remove(0);
        assert_eq!(fence, LifeEntry::Fence { life: 2, told: false });
        lives.apply(fence);
        watch.applied(ms(710), &lives);
        hear(&mut watch, 1650, &[7, 9]);
        let early = watch.decide(ms(1711), ms(0), &lives, span(), ms(60_000));
        assert!(early.is_empty(), "its lease may run on a slow clock");
        let claim = watch.decide(ms(1712), ms(0), &lives, span(), ms(60_000)).remove(0);
        assert!(matches!(claim, LifeEntry::Claim { life: 2, heir: 1 | 3, .. }), "{claim:?}");
        lives.apply(claim);
        watch.applied(ms(1715), &lives);
        assert!(watch.decide(ms(1716), ms(0), &lives, span(), ms(60_000)).is_empty());
        hear(&mut watch, 9000, &[7, 9]);
        assert!(lives.departed().contains_key(&2));
        assert_eq!(watch.decide(ms(9000), ms(0), &lives, span(), ms(5000)), [LifeEntry::Forget(2)]);
    }

    #[test]
    fn who_tells_its_end_is_followed_at_once_and_a_new_leader_waits_anew() {
        let (mut lives, mut watch) = three();
        hear(&mut watch, 100, &[7, 8, 9]);
        lives.apply(LifeEntry::Fence { life: 1, told: true });
        watch.applied(ms(110), &lives);
        assert!(matches!(
            watch.decide(ms(111), ms(0), &lives, span(), ms(60_000))[..],
            [LifeEntry::Claim { life: 1, .. }]
        ));
        lives.apply(LifeEntry::Fence { life: 2, told: false });
        let (mut other, led) = (Watch::default(), ms(5000));
        other.applied(ms(5000), &lives);
        hear(&mut other, 5500, &[9]);
        lives.apply(LifeEntry::Claim { life: 1, heir: 3, after: 0 });
        assert!(other.decide(ms(5900), led, &lives, span(), ms(60_000)).is_empty());
        hear(&mut other, 6000, &[9]);
        assert_eq!(
            other.decide(ms(6002), led, &lives, span(), ms(60_000)),
            [LifeEntry::Claim { life: 2, heir: 3, after: 0 }]
        );
    }

    #[test]
    fn a_refused_dial_speeds_up_a_fence_but_not_one_that_has_asked_since() {
        let (lives, mut watch) = three();
        hear(&mut watch, 100, &[7, 8, 9]);
        watch.missed(ms(150), "p8");
        assert_eq!(
            watch.decide(ms(151), ms(0), &lives, span(), ms(60_000)),
            [LifeEntry::Fence { life: 2, told: false }]
        );
        hear(&mut watch, 160, &[8]);
        assert!(watch.decide(ms(161), ms(0), &lives, span(), ms(60_000)).is_empty());
    }

    #[test]
    fn an_heir_that_ends_is_followed_once_its_own_lease_has_ended_too() {
        let (mut lives, mut watch) = three();
        lives.apply(LifeEntry::Fence { life: 1, told: true });
        lives.apply(LifeEntry::Claim { life: 1, heir: 2, after: 0 });
        // Another leader's claim that was under way changes nothing.
        lives.apply(LifeEntry::Claim { life: 1, heir: 3, after: 0 });
        watch.applied(ms(0), &lives);
        let first = lives.claims_of(2)[0].clone();
        lives.apply(LifeEntry::Fence { life: 2, told: false });
        watch.applied(ms(100), &lives);
        hear(&mut watch, 1000, &[9]);
        assert!(watch.decide(ms(1000), ms(0), &lives, span(), ms(60_000)).is_empty());
        let claim = LifeEntry::Claim { life: 1, heir: 3, after: first.epoch };
        assert!(watch.decide(ms(1102), ms(0), &lives, span(), ms(60_000)).contains(&claim));
        lives.apply(claim);
        let second = lives.claims_of(3)[0].clone();
        assert!(second.epoch > first.epoch);
        lives.apply(LifeEntry::Settle(first));
        assert!(lives.estates().contains_key(&1), "an heir that was followed settles nothing");
        lives.apply(LifeEntry::Settle(second));
        assert!(!lives.estates().contains_key(&1));
    }

    #[test]
    fn ends_without_number_stay_within_bounds() {
        let mut lives = Lives::default();
        for draw in 1..2 * ESTATES as u64 {
            let life = enrol(&mut lives, draw);
            lives.apply(LifeEntry::Fence { life, told: false });
        }
        assert_eq!(lives.estates().len(), ESTATES);
        assert_eq!(lives.enrolled().len(), 0);
    }
}
