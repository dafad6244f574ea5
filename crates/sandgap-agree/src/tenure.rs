//! The enrolment of this process: it enrols as a life, holds a lease on it, and learns when the life has ended.
//!
//! Like the lease on the rules, this lease ends a fixed time after the request. A grant that says that this process is
//! no longer enrolled ends its life for good: the process gives up its requests in flight and enrols as a new life.

use std::collections::BTreeMap;
use std::rc::Rc;

use sandgap_fleet::Time;
use sandgap_fleet::lease::{Lease, LeasePermission};

use crate::lives::{Claim, Enrolled, Epoch, Life, LifeEntry, drawn};
use crate::messages::EnrolmentState;
use crate::terms::Span;

/// The membership list: enrolled lives.
pub type Roll = Rc<BTreeMap<Life, Enrolled>>;

/// A change of the enrolment or of the membership list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// This process is enrolled under this life and may act.
    Begun(Life),
    /// This life has ended and never acts again.
    Ended(Life),
    /// This process has become the heir to an ended life.
    Heir(Claim),
    /// A new membership list: its number, the enrolled lives, and those that ended recently.
    Roll(u64, Roll, Roll),
}

/// The enrolment of a process, see the module.
#[derive(Debug)]
pub struct Holder {
    me: Enrolled,
    life: Option<Life>,
    lease: Lease,
    /// The ended lives for which it acts, and whether it has settled their requests.
    claims: BTreeMap<Epoch, (Claim, bool)>,
    roll: (u64, Roll),
    /// Whether a newer membership list is known to exist.
    roll_outdated: bool,
    /// Whether it is shutting down: it acts neither under this life nor under a new one.
    leaving: bool,
}

impl Holder {
    /// A process that is not enrolled yet. `me.draw` is random, new at each start, and not 0.
    pub fn new(me: Enrolled) -> Self {
        let (life, lease, claims, roll) = Default::default();
        Holder { me, life, lease, claims, roll, roll_outdated: false, leaving: false }
    }

    /// The random number that identifies this process.
    pub fn draw(&self) -> u64 {
        self.me.draw
    }

    /// Its life, if it is enrolled and has not learned that the life has ended.
    pub fn life(&self) -> Option<Life> {
        self.life
    }

    /// Whether it has left and a grant has confirmed that.
    pub fn has_left(&self) -> bool {
        self.leaving && self.life.is_none()
    }

    /// The right to act under its life now.
    pub fn permission(&self, now: Time) -> Option<LeasePermission<'_>> {
        self.life.filter(|_| !self.leaving)?;
        self.lease.permission(now)
    }

    /// The last known membership list, with its number.
    pub fn roll(&self) -> &(u64, Roll) {
        &self.roll
    }

    /// Processes the grant for a lease request made at `asked`.
    pub fn granted(&mut self, asked: Time, tenure: &EnrolmentState, span: Span, turns: &mut Vec<Turn>) {
        self.roll_outdated = tenure.roll > self.roll.0;
        match (self.life, tenure.life) {
            (None, Some(life)) if !self.leaving => {
                self.life = Some(life);
                self.lease.granted(asked, span.bound, span.drift);
                turns.push(Turn::Begun(life));
            }
            (Some(old), Some(life)) if old == life => {
                self.lease.granted(asked, span.bound, span.drift);
            }
            (Some(old), _) => self.end_life(old, turns),
            (None, _) => {}
        }
        if self.life.is_some() && self.life == tenure.life {
            self.update_claims(&tenure.claims, turns);
        }
    }

    fn end_life(&mut self, old: Life, turns: &mut Vec<Turn>) {
        self.life = None;
        self.lease.release();
        self.claims.clear();
        // A new random number, as the log must take the next life for another process.
        self.me.draw = drawn(self.me.draw).max(1);
        turns.push(Turn::Ended(old));
    }

    fn update_claims(&mut self, claims: &[Claim], turns: &mut Vec<Turn>) {
        self.claims.retain(|epoch, _| claims.iter().any(|c| c.epoch == *epoch));
        for claim in claims {
            self.claims.entry(claim.epoch).or_insert_with(|| {
                turns.push(Turn::Heir(claim.clone()));
                (claim.clone(), false)
            });
        }
    }

    /// Takes over a membership list, if it is newer than the known one.
    pub fn receive_roll(
        &mut self, roll: u64, all: Vec<(Life, Enrolled)>, departed: Vec<(Life, Enrolled)>,
        turns: &mut Vec<Turn>,
    ) {
        if roll > self.roll.0 {
            self.roll = (roll, Rc::new(all.into_iter().collect()));
            self.roll_outdated = false;
            let departed = Rc::new(departed.into_iter().collect());
            turns.push(Turn::Roll(roll, self.roll.1.clone(), departed));
        }
    }

    /// The number of the known membership list, if a newer one should be fetched.
    pub fn outdated_roll(&self) -> Option<u64> {
        self.roll_outdated.then_some(self.roll.0)
    }

    /// This process has settled the requests of an ended life.
    pub fn settle(&mut self, epoch: Epoch) {
        if let Some((_, settled)) = self.claims.get_mut(&epoch) {
            *settled = true;
        }
    }

    /// Gives up the lease for a shutdown: from here on nothing is done under this life.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.lease.release();
    }

    /// Entries that voters should propose. Sent with each lease request until a grant shows that they are applied.
    pub fn entries_to_propose(&self) -> Vec<LifeEntry> {
        let settled = self.claims.values().filter(|(_, settled)| *settled);
        let mut all: Vec<LifeEntry> = settled.map(|(c, _)| LifeEntry::Settle(c.clone())).collect();
        match self.life {
            None if !self.leaving => all.push(LifeEntry::Enrol(self.me.clone())),
            Some(life) if self.leaving => all.push(LifeEntry::Fence { life, told: true }),
            _ => {}
        }
        all
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use sandgap_fleet::Drift;

    use super::*;

    fn ms(ms: u64) -> Time {
        Duration::from_millis(ms)
    }

    fn span() -> Span {
        Span { bound: ms(1000), drift: Drift::ppm(0) }
    }

    fn holder() -> Holder {
        Holder::new(Enrolled { draw: 77, name: "p1".into(), zone: None })
    }

    fn grant(h: &mut Holder, asked: u64, life: Option<Life>, claims: &[Claim]) -> Vec<Turn> {
        let mut turns = Vec::new();
        h.granted(ms(asked), &EnrolmentState { life, claims: claims.to_vec(), roll: 1 }, span(), &mut turns);
        turns
    }

    fn claim(epoch: Epoch) -> Claim {
        Claim { life: 3, name: "p3".into(), epoch }
    }

    #[test]
    fn it_acts_from_enrolment_until_its_lease_ends() {
        let mut h = holder();
        assert!(matches!(h.entries_to_propose()[..], [LifeEntry::Enrol(_)]));
        assert!(grant(&mut h, 0, None, &[]).is_empty());
        assert_eq!(grant(&mut h, 100, Some(5), &[]), [Turn::Begun(5)]);
        assert!(h.entries_to_propose().is_empty());
        assert!(h.permission(ms(1099)).is_some());
        assert!(h.permission(ms(1100)).is_none());
    }

    #[test]
    fn a_grant_without_its_life_ends_the_life() {
        let mut h = holder();
        grant(&mut h, 0, Some(5), &[claim(9)]);
        assert_eq!(grant(&mut h, 100, None, &[]), [Turn::Ended(5)]);
        assert!(h.permission(ms(101)).is_none());
        assert_ne!(h.draw(), 77, "a repeated draw would match the old enrolment");
        assert_eq!(grant(&mut h, 200, Some(6), &[claim(9)])[0], Turn::Begun(6));
        assert_eq!(
            grant(&mut h, 300, Some(8), &[]),
            [Turn::Ended(6)],
            "the grant names the life of another process"
        );
    }

    #[test]
    fn a_claim_is_reported_once_and_settled_until_it_is_applied() {
        let mut h = holder();
        grant(&mut h, 0, Some(5), &[]);
        assert_eq!(grant(&mut h, 1, Some(5), &[claim(9)]), [Turn::Heir(claim(9))]);
        assert!(grant(&mut h, 2, Some(5), &[claim(9)]).is_empty());
        h.settle(9);
        assert_eq!(h.entries_to_propose(), [LifeEntry::Settle(claim(9))]);
        grant(&mut h, 3, Some(5), &[]);
        assert!(h.entries_to_propose().is_empty());
    }

    #[test]
    fn a_leaving_process_fences_itself_until_confirmed() {
        let mut h = holder();
        grant(&mut h, 0, Some(5), &[]);
        h.leave();
        assert!(h.permission(ms(1)).is_none());
        assert!(grant(&mut h, 2, Some(5), &[]).is_empty());
        assert!(h.permission(ms(3)).is_none(), "a late grant does not renew the lease");
        assert_eq!(h.entries_to_propose(), [LifeEntry::Fence { life: 5, told: true }]);
        assert_eq!(grant(&mut h, 4, None, &[]), [Turn::Ended(5)]);
        assert!(h.has_left() && h.entries_to_propose().is_empty());
    }

    #[test]
    fn an_older_membership_list_is_ignored() {
        let mut h = holder();
        grant(&mut h, 0, Some(5), &[]);
        assert_eq!(h.outdated_roll(), Some(0));
        let mut turns = Vec::new();
        let me = (5, Enrolled { draw: 77, name: "p1".into(), zone: None });
        h.receive_roll(4, vec![me], vec![], &mut turns);
        h.receive_roll(3, vec![], vec![], &mut turns);
        assert_eq!((turns.len(), h.roll().1.len(), h.outdated_roll()), (1, 1, None));
    }
}
