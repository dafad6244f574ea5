//! A process's own place among the lives: it enrols, holds a lease on being there, and hears when it is over.
//!
//! The lease ends a stated span after the question, as the rules' own does. An answer that says that this process is
//! not enrolled any more ends its life for good: it gives up what it had in hand, and enrols anew under another number.

use std::collections::BTreeMap;
use std::rc::Rc;

use sandgap_fleet::Time;
use sandgap_fleet::lease::{Lease, Right};

use crate::lives::{Claim, Enrolled, Epoch, Life, LifeEntry, drawn};
use crate::terms::Span;
use crate::words::Tenure;

/// Who is enrolled.
pub type Roll = Rc<BTreeMap<Life, Enrolled>>;

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// This process has a number and may act under it.
    Begun(Life),
    /// It may not any more, and never will again under that one.
    Ended(Life),
    /// It is the heir to what another left.
    Heir(Claim),
    /// Who is enrolled, and who ended a while ago.
    Roll(u64, Roll, Roll),
}

/// See the module.
#[derive(Debug)]
pub struct Holder {
    me: Enrolled,
    life: Option<Life>,
    lease: Lease,
    /// What it is heir to, and whether that has been settled here.
    claims: BTreeMap<Epoch, (Claim, bool)>,
    roll: (u64, Roll),
    /// A list that is newer than the one known here.
    newer: bool,
    /// It has taken leave: nothing is done under this life any more, nor under another.
    leaving: bool,
}

impl Holder {
    /// One that is not enrolled yet. The draw is chance, anew at each start, and not 0.
    pub fn new(me: Enrolled) -> Self {
        let (life, lease, claims, roll) = Default::default();
        Holder { me, life, lease, claims, roll, newer: false, leaving: false }
    }

    /// What tells this process from others.
    pub fn draw(&self) -> u64 {
        self.me.draw
    }

    /// Its number, if it has one and has not heard that it is over.
    pub fn life(&self) -> Option<Life> {
        self.life
    }

    /// Whether it has taken leave and that has been heard.
    pub fn has_left(&self) -> bool {
        self.leaving && self.life.is_none()
    }

    /// The right to act under its number now.
    pub fn right(&self, now: Time) -> Option<Right<'_>> {
        self.life.filter(|_| !self.leaving)?;
        self.lease.right(now)
    }

    /// Who is enrolled, as heard last.
    pub fn roll(&self) -> &(u64, Roll) {
        &self.roll
    }

    /// An answer to what was asked at `asked`.
    pub fn granted(&mut self, asked: Time, tenure: &Tenure, span: Span, turns: &mut Vec<Turn>) {
        self.newer = tenure.roll > self.roll.0;
        match (self.life, tenure.life) {
            (None, Some(life)) if !self.leaving => {
                self.life = Some(life);
                self.lease.granted(asked, span.bound, span.drift);
                turns.push(Turn::Begun(life));
            }
            (Some(old), Some(life)) if old == life => {
                self.lease.granted(asked, span.bound, span.drift);
            }
            (Some(old), _) => self.end(old, turns),
            (None, _) => {}
        }
        if self.life.is_some() && self.life == tenure.life {
            self.inherit(&tenure.claims, turns);
        }
    }

    fn end(&mut self, old: Life, turns: &mut Vec<Turn>) {
        self.life = None;
        self.lease.give_back();
        self.claims.clear();
        // The next number is another process's, as far as the log knows.
        self.me.draw = drawn(self.me.draw).max(1);
        turns.push(Turn::Ended(old));
    }

    fn inherit(&mut self, claims: &[Claim], turns: &mut Vec<Turn>) {
        self.claims.retain(|epoch, _| claims.iter().any(|c| c.epoch == *epoch));
        for claim in claims {
            self.claims.entry(claim.epoch).or_insert_with(|| {
                turns.push(Turn::Heir(claim.clone()));
                (claim.clone(), false)
            });
        }
    }

    /// A list of who is enrolled.
    pub fn heard_roll(
        &mut self, roll: u64, all: Vec<(Life, Enrolled)>, departed: Vec<(Life, Enrolled)>,
        turns: &mut Vec<Turn>,
    ) {
        if roll > self.roll.0 {
            self.roll = (roll, Rc::new(all.into_iter().collect()));
            self.newer = false;
            let departed = Rc::new(departed.into_iter().collect());
            turns.push(Turn::Roll(roll, self.roll.1.clone(), departed));
        }
    }

    /// Whether a newer list is to be asked for, and since which.
    pub fn wants_roll(&self) -> Option<u64> {
        self.newer.then_some(self.roll.0)
    }

    /// What another left has been settled.
    pub fn settle(&mut self, epoch: Epoch) {
        if let Some((_, settled)) = self.claims.get_mut(&epoch) {
            *settled = true;
        }
    }

    /// Takes leave: from here on nothing is done under this life.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.lease.give_back();
    }

    /// What is to be put into the log. Said again with each question until an answer shows that it is there.
    pub fn wishes(&self) -> Vec<LifeEntry> {
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
        h.granted(ms(asked), &Tenure { life, claims: claims.to_vec(), roll: 1 }, span(), &mut turns);
        turns
    }

    fn claim(epoch: Epoch) -> Claim {
        Claim { life: 3, name: "p3".into(), epoch }
    }

    #[test]
    fn it_acts_once_it_has_a_number_and_until_its_lease_ends() {
        let mut h = holder();
        assert!(matches!(h.wishes()[..], [LifeEntry::Enrol(_)]));
        assert!(grant(&mut h, 0, None, &[]).is_empty());
        assert_eq!(grant(&mut h, 100, Some(5), &[]), [Turn::Begun(5)]);
        assert!(h.wishes().is_empty());
        assert!(h.right(ms(1099)).is_some());
        assert!(h.right(ms(1100)).is_none());
    }

    #[test]
    fn an_answer_that_knows_it_no_more_ends_its_life_for_good() {
        let mut h = holder();
        grant(&mut h, 0, Some(5), &[claim(9)]);
        assert_eq!(grant(&mut h, 100, None, &[]), [Turn::Ended(5)]);
        assert!(h.right(ms(101)).is_none());
        assert_ne!(h.draw(), 77, "its old draw must not bring the old number back");
        assert_eq!(grant(&mut h, 200, Some(6), &[claim(9)])[0], Turn::Begun(6));
        assert_eq!(grant(&mut h, 300, Some(8), &[]), [Turn::Ended(6)], "the number is another's");
    }

    #[test]
    fn a_claim_is_told_once_and_settled_until_the_log_has_it() {
        let mut h = holder();
        grant(&mut h, 0, Some(5), &[]);
        assert_eq!(grant(&mut h, 1, Some(5), &[claim(9)]), [Turn::Heir(claim(9))]);
        assert!(grant(&mut h, 2, Some(5), &[claim(9)]).is_empty());
        h.settle(9);
        assert_eq!(h.wishes(), [LifeEntry::Settle(claim(9))]);
        grant(&mut h, 3, Some(5), &[]);
        assert!(h.wishes().is_empty());
    }

    #[test]
    fn who_has_taken_leave_does_nothing_more_and_says_so_until_it_is_heard() {
        let mut h = holder();
        grant(&mut h, 0, Some(5), &[]);
        h.leave();
        assert!(h.right(ms(1)).is_none());
        assert!(grant(&mut h, 2, Some(5), &[]).is_empty());
        assert!(h.right(ms(3)).is_none(), "a late answer gives nothing back");
        assert_eq!(h.wishes(), [LifeEntry::Fence { life: 5, told: true }]);
        assert_eq!(grant(&mut h, 4, None, &[]), [Turn::Ended(5)]);
        assert!(h.has_left() && h.wishes().is_empty());
    }

    #[test]
    fn older_lists_change_nothing() {
        let mut h = holder();
        grant(&mut h, 0, Some(5), &[]);
        assert_eq!(h.wants_roll(), Some(0));
        let mut turns = Vec::new();
        let me = (5, Enrolled { draw: 77, name: "p1".into(), zone: None });
        h.heard_roll(4, vec![me], vec![], &mut turns);
        h.heard_roll(3, vec![], vec![], &mut turns);
        assert_eq!((turns.len(), h.roll().1.len(), h.wants_roll()), (1, 1, None));
    }
}
