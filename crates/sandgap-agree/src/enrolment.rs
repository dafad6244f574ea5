//! The enrolment of this process: it enrols as a life, holds a lease on it, and learns when the life has ended.
//!
//! Like the lease on the rules, this lease ends a fixed time after the request. A grant that says that this process is
//! no longer enrolled ends its life for good: the process gives up its requests in flight and enrols as a new life.

use std::collections::BTreeMap;
use std::rc::Rc;

use sandgap_fleet::Time;
use sandgap_fleet::lease::{Lease, LeasePermission};

use crate::lives::{Enrolled, Epoch, LifeEntry, ProcessId, Succession, next_random};
use crate::messages::EnrolmentState;
use crate::timing::LeaseBound;

/// The membership list: enrolled lives.
pub type MemberList = Rc<BTreeMap<ProcessId, Enrolled>>;

/// A change of the enrolment or of the membership list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnrolmentEvent {
    /// This process is enrolled under this life and may act.
    Enrolled(ProcessId),
    /// This life has ended and never acts again.
    Ended(ProcessId),
    /// This process has become the successor to an ended life.
    BecameSuccessor(Succession),
    /// A new membership list: its number, the enrolled lives, and those that ended recently.
    Members(u64, MemberList, MemberList),
}

/// The enrolment of a process, see the module.
#[derive(Debug)]
pub struct Enrolment {
    me: Enrolled,
    life: Option<ProcessId>,
    lease: Lease,
    /// The ended lives for which it acts, and whether it has settled their requests.
    successions: BTreeMap<Epoch, (Succession, bool)>,
    member_list: (u64, MemberList),
    /// Whether a newer membership list is known to exist.
    list_outdated: bool,
    /// Whether it is shutting down: it acts neither under this life nor under a new one.
    leaving: bool,
}

impl Enrolment {
    /// A process that is not enrolled yet. `me.process_token` is random, new at each start, and not 0.
    pub fn new(me: Enrolled) -> Self {
        let (life, lease, successions, member_list) = Default::default();
        Enrolment { me, life, lease, successions, member_list, list_outdated: false, leaving: false }
    }

    /// The random number that identifies this process.
    pub fn process_token(&self) -> u64 {
        self.me.process_token
    }

    /// Its life, if it is enrolled and has not learned that the life has ended.
    pub fn life(&self) -> Option<ProcessId> {
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
    pub fn member_list(&self) -> &(u64, MemberList) {
        &self.member_list
    }

    /// Processes the grant for a lease request made at `asked`.
    pub fn granted(
        &mut self, asked: Time, state: &EnrolmentState, lease_bound: LeaseBound,
        events: &mut Vec<EnrolmentEvent>,
    ) {
        self.list_outdated = state.list_number > self.member_list.0;
        match (self.life, state.life) {
            (None, Some(life)) if !self.leaving => {
                self.life = Some(life);
                self.lease.granted(asked, lease_bound.bound, lease_bound.drift);
                events.push(EnrolmentEvent::Enrolled(life));
            }
            (Some(old), Some(life)) if old == life => {
                self.lease.granted(asked, lease_bound.bound, lease_bound.drift);
            }
            (Some(old), _) => self.record_end(old, events),
            (None, _) => {}
        }
        if self.life.is_some() && self.life == state.life {
            self.update_successions(&state.successions, events);
        }
    }

    fn record_end(&mut self, old: ProcessId, events: &mut Vec<EnrolmentEvent>) {
        self.life = None;
        self.lease.release();
        self.successions.clear();
        // A new random number, as the log must take the next life for another process.
        self.me.process_token = next_random(self.me.process_token).max(1);
        events.push(EnrolmentEvent::Ended(old));
    }

    fn update_successions(&mut self, successions: &[Succession], events: &mut Vec<EnrolmentEvent>) {
        self.successions.retain(|epoch, _| successions.iter().any(|c| c.epoch == *epoch));
        for succession in successions {
            self.successions.entry(succession.epoch).or_insert_with(|| {
                events.push(EnrolmentEvent::BecameSuccessor(succession.clone()));
                (succession.clone(), false)
            });
        }
    }

    /// Takes over a membership list, if it is newer than the known one.
    pub fn receive_member_list(
        &mut self, list_number: u64, all: Vec<(ProcessId, Enrolled)>,
        recently_ended: Vec<(ProcessId, Enrolled)>, events: &mut Vec<EnrolmentEvent>,
    ) {
        if list_number > self.member_list.0 {
            self.member_list = (list_number, Rc::new(all.into_iter().collect()));
            self.list_outdated = false;
            let recently_ended = Rc::new(recently_ended.into_iter().collect());
            events.push(EnrolmentEvent::Members(list_number, self.member_list.1.clone(), recently_ended));
        }
    }

    /// The number of the known membership list, if a newer one should be fetched.
    pub fn outdated_list(&self) -> Option<u64> {
        self.list_outdated.then_some(self.member_list.0)
    }

    /// This process has settled the requests of an ended life.
    pub fn settle(&mut self, epoch: Epoch) {
        if let Some((_, settled)) = self.successions.get_mut(&epoch) {
            *settled = true;
        }
    }

    /// Gives up the lease for a shutdown: from here on nothing is done under this life.
    pub fn end_life(&mut self) {
        self.leaving = true;
        self.lease.release();
    }

    /// Entries that voters should propose. Sent with each lease request until a grant shows that they are applied.
    pub fn entries_to_propose(&self) -> Vec<LifeEntry> {
        let settled = self.successions.values().filter(|(_, settled)| *settled);
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

    fn lease_bound() -> LeaseBound {
        LeaseBound { bound: ms(1000), drift: Drift::ppm(0) }
    }

    fn enrolment() -> Enrolment {
        Enrolment::new(Enrolled { process_token: 77, name: "p1".into(), zone: None })
    }

    fn grant(
        h: &mut Enrolment, asked: u64, life: Option<ProcessId>, successions: &[Succession],
    ) -> Vec<EnrolmentEvent> {
        let mut events = Vec::new();
        h.granted(
            ms(asked),
            &EnrolmentState { life, successions: successions.to_vec(), list_number: 1 },
            lease_bound(),
            &mut events,
        );
        events
    }

    fn succession(epoch: Epoch) -> Succession {
        Succession { life: 3, name: "p3".into(), epoch }
    }

    #[test]
    fn it_acts_from_enrolment_until_its_lease_ends() {
        let mut h = enrolment();
        assert!(matches!(h.entries_to_propose()[..], [LifeEntry::Enrol(_)]));
        assert!(grant(&mut h, 0, None, &[]).is_empty());
        assert_eq!(grant(&mut h, 100, Some(5), &[]), [EnrolmentEvent::Enrolled(5)]);
        assert!(h.entries_to_propose().is_empty());
        assert!(h.permission(ms(1099)).is_some());
        assert!(h.permission(ms(1100)).is_none());
    }

    #[test]
    fn a_grant_without_its_life_ends_the_life() {
        let mut h = enrolment();
        grant(&mut h, 0, Some(5), &[succession(9)]);
        assert_eq!(grant(&mut h, 100, None, &[]), [EnrolmentEvent::Ended(5)]);
        assert!(h.permission(ms(101)).is_none());
        assert_ne!(h.process_token(), 77, "a repeated process token would match the old enrolment");
        assert_eq!(grant(&mut h, 200, Some(6), &[succession(9)])[0], EnrolmentEvent::Enrolled(6));
        assert_eq!(
            grant(&mut h, 300, Some(8), &[]),
            [EnrolmentEvent::Ended(6)],
            "the grant names the life of another process"
        );
    }

    #[test]
    fn a_claim_is_reported_once_and_settled_until_it_is_applied() {
        let mut h = enrolment();
        grant(&mut h, 0, Some(5), &[]);
        assert_eq!(
            grant(&mut h, 1, Some(5), &[succession(9)]),
            [EnrolmentEvent::BecameSuccessor(succession(9))]
        );
        assert!(grant(&mut h, 2, Some(5), &[succession(9)]).is_empty());
        h.settle(9);
        assert_eq!(h.entries_to_propose(), [LifeEntry::Settle(succession(9))]);
        grant(&mut h, 3, Some(5), &[]);
        assert!(h.entries_to_propose().is_empty());
    }

    #[test]
    fn a_leaving_process_fences_itself_until_confirmed() {
        let mut h = enrolment();
        grant(&mut h, 0, Some(5), &[]);
        h.end_life();
        assert!(h.permission(ms(1)).is_none());
        assert!(grant(&mut h, 2, Some(5), &[]).is_empty());
        assert!(h.permission(ms(3)).is_none(), "a late grant does not renew the lease");
        assert_eq!(h.entries_to_propose(), [LifeEntry::Fence { life: 5, told: true }]);
        assert_eq!(grant(&mut h, 4, None, &[]), [EnrolmentEvent::Ended(5)]);
        assert!(h.has_left() && h.entries_to_propose().is_empty());
    }

    #[test]
    fn an_older_membership_list_is_ignored() {
        let mut h = enrolment();
        grant(&mut h, 0, Some(5), &[]);
        assert_eq!(h.outdated_list(), Some(0));
        let mut events = Vec::new();
        let me = (5, Enrolled { process_token: 77, name: "p1".into(), zone: None });
        h.receive_member_list(4, vec![me], vec![], &mut events);
        h.receive_member_list(3, vec![], vec![], &mut events);
        assert_eq!((events.len(), h.member_list().1.len(), h.outdated_list()), (1, 1, None));
    }
}
