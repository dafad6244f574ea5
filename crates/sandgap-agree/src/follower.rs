//! The part that every proxy has in agreed rules: it asks for leases, checks versions, and decides under which version
//! a request may be taken now, if any.
//!
//! A lease covers the *freshness of the knowledge*, not one version: a grant says what was in force at some moment
//! after the request. For a fixed time after the request, the proxy may act on that version, or on any later one that
//! it has learned of: a version unknown to it came into force after the request, less than that time ago.
//! `docs/agree-design.md` derives the bound T from this.

use std::collections::BTreeMap;
use std::rc::Rc;

use sandgap_fleet::Time;
use sandgap_fleet::lease::{Lease, LeasePermission, RequestTracker};

use crate::enrolment::{Enrolment, EnrolmentEvent};
use crate::limits::{MAX_RIDER_MESSAGE_BYTES, MAX_RIDER_MESSAGES};
use crate::messages::{Grant, Report, RulesState};
use crate::rider::{RiderMessages, Tag};
use crate::rulebook::{Digest, Rulebook, Version, digest};
use crate::timing::LeaseBound;

/// Most rulebooks held: that of the active version, of the one in force, of the pending one, and an earlier one.
const MAX_HELD_BOOKS: usize = 4;

/// A rulebook that this proxy holds, and whether it can use it.
#[derive(Clone, Debug)]
struct HeldBook {
    digest: Digest,
    book: Rc<Rulebook>,
    /// `None` until [`Follower::checked`] is called.
    usable: Option<Result<(), String>>,
}

/// What the caller has to do about a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Fetch the rulebook of this version.
    Fetch(Version),
    /// Check whether this proxy can use it, and call [`Follower::checked`].
    Check(Version, Rc<Rulebook>),
    /// Act on it from now on: new requests are taken under it. Call [`Follower::in_effect`] once it is in effect; until
    /// then reports name the version before.
    Act(Version, Rc<Rulebook>),
}

/// The right to take one request now, under a version.
#[derive(Debug)]
pub struct TakePermission<'a> {
    /// The version.
    pub version: Version,
    /// The lease behind it.
    pub permission: LeasePermission<'a>,
}

/// A proxy's state about agreed rules, see the module.
#[derive(Debug)]
pub struct Follower {
    lease_bound: LeaseBound,
    tracker: RequestTracker,
    /// The last known version in force and pending version.
    known: RulesState,
    /// The version acted on; 0 for none.
    acting: Version,
    /// The version whose effects the caller has confirmed; 0 for none. It is what reports name.
    in_effect: Version,
    /// The lease on the version acted on.
    lease: Lease,
    /// The lease on a newer version that is not acted on yet. It does not cover the older one, which may have ended
    /// long ago.
    ahead_lease: Lease,
    held: BTreeMap<Version, HeldBook>,
    /// Why the version in force can't be used, if it can't.
    unusable: Option<String>,
    looked: Option<(Version, Option<String>)>,
    /// Requests refused for lack of a lease.
    refused: u64,
    /// The enrolment of this process, if it wants one.
    enrolment: Option<Enrolment>,
    /// Messages to the riders of the log, sent with each lease request.
    rider_messages: RiderMessages,
}

impl Follower {
    /// A follower without any knowledge. `first` is random at each start, see [`RequestTracker`].
    pub fn new(lease_bound: LeaseBound, first: u64) -> Self {
        Follower {
            lease_bound,
            tracker: RequestTracker::new(first),
            known: RulesState::default(),
            acting: 0,
            in_effect: 0,
            lease: Lease::default(),
            ahead_lease: Lease::default(),
            held: BTreeMap::new(),
            unusable: None,
            looked: None,
            refused: 0,
            enrolment: None,
            rider_messages: RiderMessages::new(),
        }
    }

    /// Sets the message to a rider of the log that is sent with each lease request; empty for none.
    pub fn set_rider_message(&mut self, tag: Tag, bytes: Vec<u8>) {
        self.rider_messages.retain(|(t, _)| *t != tag);
        if !bytes.is_empty()
            && bytes.len() <= MAX_RIDER_MESSAGE_BYTES
            && self.rider_messages.len() < MAX_RIDER_MESSAGES
        {
            self.rider_messages.push((tag, bytes));
        }
    }

    /// Makes this process enrol as a life from now on.
    pub fn enrol(&mut self, enrolment: Enrolment) {
        self.enrolment = Some(enrolment);
    }

    /// The enrolment of this process, if it wants one.
    pub fn enrolment(&self) -> Option<&Enrolment> {
        self.enrolment.as_ref()
    }

    /// Mutable access to the enrolment of this process.
    pub fn enrolment_mut(&mut self) -> Option<&mut Enrolment> {
        self.enrolment.as_mut()
    }

    /// The number and the report of a lease request that is sent now.
    pub fn ask(&mut self, now: Time) -> (u64, Report) {
        let number = self.tracker.record_request(now);
        let lease_ms = u32::try_from(self.lease.left(now).as_millis()).unwrap_or(u32::MAX);
        let looked = self.looked.clone();
        let process_token = self.enrolment.as_ref().map_or(0, Enrolment::process_token);
        let (acting, refused, rider_messages) = (self.in_effect, self.refused, self.rider_messages.clone());
        let report =
            Report { serial: number, acting, looked, lease_ms, refused, process_token, rider_messages };
        (number, report)
    }

    /// Processes a grant.
    pub fn granted(&mut self, now: Time, grant: &Grant, events: &mut Vec<EnrolmentEvent>) -> Vec<Step> {
        let Some(asked) = self.tracker.take_request(grant.number) else { return Vec::new() };
        if let (Some(enrolment), Some(state)) = (&mut self.enrolment, &grant.enrolment) {
            enrolment.granted(asked, state, self.lease_bound, events);
        }
        let steps = self.receive_news(now, &grant.standing);
        let standing = &grant.standing;
        // If the granted version is the active one or an older one, the knowledge here is as fresh as the request.
        if standing.version <= self.acting && !self.known.closed {
            self.lease.granted(asked, self.lease_bound.bound, self.lease_bound.drift);
        } else if standing.version == self.known.version && !standing.closed {
            self.ahead_lease.granted(asked, self.lease_bound.bound, self.lease_bound.drift);
        }
        steps
    }

    /// Processes news of the version in force and the pending one. It grants no lease; news from earlier in the log is
    /// ignored.
    pub fn receive_news(&mut self, now: Time, standing: &RulesState) -> Vec<Step> {
        if standing.index < self.known.index {
            return Vec::new();
        }
        if standing.version > self.known.version {
            self.ahead_lease.release();
        }
        self.known = standing.clone();
        if self.known.closed {
            self.lease.release();
        }
        self.next_steps(now)
    }

    /// Processes a rulebook that has arrived. One that was not requested or has another digest is ignored.
    pub fn receive_book(&mut self, version: Version, bytes: &[u8]) -> Vec<Step> {
        let Some(needed) = self.needed().find(|(v, _)| *v == version) else { return Vec::new() };
        if self.held.contains_key(&version) || digest(bytes) != needed.1 {
            return Vec::new();
        }
        match Rulebook::decode(bytes) {
            Ok(book) => {
                let held = HeldBook { digest: needed.1, book: Rc::new(book), usable: None };
                let check = Step::Check(version, held.book.clone());
                self.held.insert(version, held);
                self.evict_books();
                vec![check]
            }
            Err(e) => {
                self.looked = Some((version, Some(e.to_string())));
                Vec::new()
            }
        }
    }

    /// Records whether this proxy can use a version, and if not, why.
    pub fn checked(&mut self, now: Time, version: Version, usable: Result<(), String>) -> Vec<Step> {
        let Some(held) = self.held.get_mut(&version) else { return Vec::new() };
        held.usable = Some(usable.clone());
        if self.looked.as_ref().is_none_or(|(v, _)| *v <= version) {
            self.looked = Some((version, usable.err()));
        }
        self.next_steps(now)
    }

    /// Records that everything that a version says is in effect at this proxy, so that it may report that it acts on it.
    /// A version that is not acted on any more is ignored.
    pub fn in_effect(&mut self, version: Version) {
        if self.acting == version {
            self.in_effect = version;
        }
    }

    /// Records that a version could not be activated after all: this proxy takes no requests until another version is
    /// in force.
    pub fn cannot_act(&mut self, version: Version, why: &str) {
        if let Some(held) = self.held.get_mut(&version) {
            held.usable = Some(Err(why.to_owned()));
        }
        if self.acting == version {
            (self.acting, self.in_effect) = (0, 0);
            self.lease.release();
            self.unusable = Some(why.to_owned());
        }
    }

    /// The steps that follow from the known state: rulebooks to fetch, and a version to act on.
    fn next_steps(&mut self, now: Time) -> Vec<Step> {
        let missing: Vec<Step> =
            self.needed().filter(|(v, _)| !self.held.contains_key(v)).map(|(v, _)| Step::Fetch(v)).collect();
        let mut steps = missing;
        let version = self.known.version;
        if version > self.acting
            && let Some(held) = self.held.get(&version).filter(|h| h.digest == self.known.digest)
        {
            match &held.usable {
                Some(Ok(())) => {
                    steps.push(Step::Act(version, held.book.clone()));
                    self.activate(now, version);
                }
                Some(Err(why)) => self.unusable = Some(why.clone()),
                None => {}
            }
        }
        steps
    }

    fn activate(&mut self, now: Time, version: Version) {
        self.acting = version;
        self.unusable = None;
        // A lease covers the freshness of the knowledge, so it also covers later versions.
        let ahead_lease = std::mem::take(&mut self.ahead_lease);
        if ahead_lease.left(now) > self.lease.left(now) {
            self.lease = ahead_lease;
        }
        if self.known.closed {
            self.lease.release();
        }
        self.evict_books();
    }

    /// Versions whose rulebook is needed, with its digest.
    fn needed(&self) -> impl Iterator<Item = (Version, Digest)> + use<> {
        let standing = (self.known.version > self.acting).then_some((self.known.version, self.known.digest));
        standing.into_iter().chain(self.known.pending)
    }

    fn evict_books(&mut self) {
        while self.held.len() > MAX_HELD_BOOKS {
            let keep = [self.acting, self.known.version, self.known.pending.map_or(0, |p| p.0)];
            let Some(old) = self.held.keys().find(|v| !keep.contains(v)).copied() else { break };
            self.held.remove(&old);
        }
    }

    /// The right to take a request now; `None` if the lease has lapsed or there is no version to act on. To be called
    /// for each request, and again before a request's first byte goes to a backend.
    pub fn take(&self, now: Time) -> Option<TakePermission<'_>> {
        if self.acting == 0 || self.known.closed {
            return None;
        }
        Some(TakePermission { version: self.acting, permission: self.lease.permission(now)? })
    }

    /// Counts a request that was refused for lack of a lease.
    pub fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// The version acted on; 0 for none. Without a lease only classes with [`crate::rulebook::OnLapse::Serve`] may use
    /// it.
    pub fn acting(&self) -> Version {
        self.acting
    }

    /// The rulebook of the version acted on.
    pub fn acting_book(&self) -> Option<&Rc<Rulebook>> {
        self.held.get(&self.acting).map(|h| &h.book)
    }

    /// The last known version in force and pending version.
    pub fn known(&self) -> &RulesState {
        &self.known
    }

    /// Why the version in force can't be used here, if it can't.
    pub fn unusable(&self) -> Option<&str> {
        self.unusable.as_deref()
    }

    /// The bytes of a held rulebook, for another proxy that fetches it.
    pub fn bytes(&self, version: Version) -> Option<Vec<u8>> {
        self.held.get(&version).and_then(|h| h.book.encode().ok())
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use sandgap_fleet::Drift;

    use super::*;
    use crate::rulebook::example;

    const T: u64 = 1000;

    fn ms(ms: u64) -> Time {
        Duration::from_millis(ms)
    }

    fn book(attempts: u32) -> (Vec<u8>, Digest) {
        let mut book = example();
        book.limits.max_attempts = attempts;
        let bytes = book.encode().expect("small");
        let digest = digest(&bytes);
        (bytes, digest)
    }

    fn standing(index: u64, version: Version) -> RulesState {
        RulesState { index, version, digest: book(version as u32).1, closed: false, pending: None }
    }

    fn follower() -> Follower {
        Follower::new(LeaseBound { bound: ms(T), drift: Drift::ppm(0) }, 40)
    }

    fn grant(f: &mut Follower, asked: u64, now: u64, standing: RulesState) -> Vec<Step> {
        let (number, _) = f.ask(ms(asked));
        let grant = Grant {
            number,
            origin: None,
            standing,
            voters: Vec::new(),
            enrolment: None,
            rider_messages: vec![],
        };
        f.granted(ms(now), &grant, &mut Vec::new())
    }

    /// Delivers and checks the rulebook of a known version, so that the follower acts on it.
    fn act(f: &mut Follower, now: u64, version: Version) {
        assert!(
            matches!(f.receive_book(version, &book(version as u32).0)[..], [Step::Check(v, _)] if v == version)
        );
        assert!(matches!(f.checked(ms(now), version, Ok(()))[..], [Step::Act(v, _)] if v == version));
    }

    fn version(f: &Follower, now: u64) -> Option<Version> {
        f.take(ms(now)).map(|t| t.version)
    }

    #[test]
    fn it_takes_no_request_without_rules_and_a_lease() {
        let mut f = follower();
        assert_eq!(version(&f, 0), None);
        assert_eq!(grant(&mut f, 0, 5, standing(1, 1)), [Step::Fetch(1)]);
        assert_eq!(version(&f, 6), None);
        act(&mut f, 10, 1);
        // The lease counts from the request, not from the arrival of the rules.
        assert_eq!((version(&f, 999), version(&f, 1000)), (Some(1), None));
    }

    #[test]
    fn a_grant_of_newer_rules_does_not_renew_the_lease_on_older_ones() {
        let mut f = follower();
        grant(&mut f, 0, 5, standing(1, 1));
        act(&mut f, 10, 1);
        assert_eq!(grant(&mut f, 500, 505, standing(7, 2)), [Step::Fetch(2)]);
        assert_eq!((version(&f, 999), version(&f, 1001)), (Some(1), None));
        // Once it holds the newer rules, the same grant covers them.
        act(&mut f, 1100, 2);
        assert_eq!((version(&f, 1499), version(&f, 1500)), (Some(2), None));
    }

    #[test]
    fn a_lease_covers_later_versions() {
        let mut f = follower();
        grant(&mut f, 0, 5, standing(1, 1));
        act(&mut f, 10, 1);
        assert_eq!(f.receive_news(ms(20), &standing(7, 2)), [Step::Fetch(2)]);
        act(&mut f, 30, 2);
        assert_eq!((version(&f, 999), version(&f, 1000)), (Some(2), None));
    }

    #[test]
    fn news_and_grants_from_earlier_in_the_log_are_ignored() {
        let mut f = follower();
        grant(&mut f, 0, 5, standing(1, 1));
        act(&mut f, 10, 1);
        f.receive_news(ms(20), &RulesState { closed: true, ..standing(9, 1) });
        assert_eq!(version(&f, 21), None);
        f.receive_news(ms(30), &standing(8, 1));
        grant(&mut f, 31, 32, standing(8, 1));
        assert_eq!(version(&f, 33), None, "the close came later in the log");
        grant(&mut f, 40, 45, standing(10, 1));
        assert_eq!(version(&f, 46), Some(1), "the pending version has been abandoned");
    }

    #[test]
    fn rules_with_a_wrong_digest_or_that_are_unusable_are_not_acted_on() {
        let mut f = follower();
        grant(&mut f, 0, 5, standing(1, 1));
        assert!(f.receive_book(1, &book(9).0).is_empty());
        assert!(f.receive_book(3, &book(3).0).is_empty(), "it was not requested");
        assert!(matches!(f.receive_book(1, &book(1).0)[..], [Step::Check(1, _)]));
        assert!(f.checked(ms(9), 1, Err("no such zone".into())).is_empty());
        assert_eq!((version(&f, 10), f.unusable()), (None, Some("no such zone")));
        assert_eq!(f.ask(ms(11)).1.looked, Some((1, Some("no such zone".into()))));
    }

    /// Guards against a report, on which `sandgap fleet wait` rests, that names a version before its drains hold.
    #[test]
    fn a_report_names_a_version_only_once_it_is_in_effect() {
        let mut f = follower();
        let reported = |f: &mut Follower, now| f.ask(ms(now)).1.acting;
        grant(&mut f, 0, 5, standing(1, 1));
        act(&mut f, 10, 1);
        assert_eq!((reported(&mut f, 11), version(&f, 11)), (0, Some(1)));
        f.in_effect(1);
        assert_eq!(reported(&mut f, 12), 1);
        grant(&mut f, 20, 25, standing(7, 2));
        act(&mut f, 30, 2);
        assert_eq!(reported(&mut f, 31), 1);
        f.in_effect(1);
        assert_eq!(reported(&mut f, 32), 1, "it has been replaced meanwhile");
        f.in_effect(2);
        assert_eq!(reported(&mut f, 33), 2);
        f.cannot_act(2, "too many classes are held");
        assert_eq!(reported(&mut f, 34), 0);
    }

    #[test]
    fn a_version_that_could_not_be_activated_gives_no_right() {
        let mut f = follower();
        grant(&mut f, 0, 5, standing(1, 1));
        act(&mut f, 10, 1);
        f.cannot_act(1, "too many classes are held");
        grant(&mut f, 20, 25, standing(1, 1));
        assert_eq!(version(&f, 26), None);
        grant(&mut f, 30, 35, standing(5, 2));
        act(&mut f, 40, 2);
        assert_eq!(version(&f, 41), Some(2));
    }

    #[test]
    fn held_books_are_bounded() {
        let mut f = follower();
        for v in 1..40 {
            f.receive_news(
                ms(v),
                &RulesState { pending: Some((v + 1, book(v as u32 + 1).1)), ..standing(v, v) },
            );
            f.receive_book(v, &book(v as u32).0);
            f.checked(ms(v), v, Ok(()));
        }
        assert!(f.held.len() <= MAX_HELD_BOOKS);
        assert!(f.acting_book().is_some());
    }
}
