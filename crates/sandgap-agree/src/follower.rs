//! What every proxy does with agreed rules: it asks for leases, looks at versions, and says under which version a
//! request may be taken now, if any.
//!
//! A lease is on *how fresh the knowledge is*, not on one version: an answer says what stood at some moment after the
//! question. Until a span after the asking, the proxy may act on that version, or on any later one that it has heard
//! of: whatever it does not know of has come into force after the asking, less than the span ago. `docs/agree-design.md`
//! turns this into the bound T.

use std::collections::BTreeMap;
use std::rc::Rc;

use sandgap_fleet::Time;
use sandgap_fleet::lease::{Asker, Lease, Right};

use crate::limits::{RIDERS, TOLD};
use crate::rider::{Tag, Told};
use crate::rulebook::{Digest, Rulebook, Version, digest};
use crate::tenure::{Holder, Turn};
use crate::terms::Span;
use crate::words::{Grant, Report, Standing};

/// Versions of which the book is held: the one acted on, the one in force, the one put forward, and one that was.
const HELD: usize = 4;

/// A rulebook that this proxy has, and whether it can use it.
#[derive(Clone, Debug)]
struct Held {
    digest: Digest,
    book: Rc<Rulebook>,
    /// `None` until the shell has said.
    usable: Option<Result<(), String>>,
}

/// What there is to do about versions.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Ask for this version's book.
    Fetch(Version),
    /// Say whether this proxy can use it, with [`Follower::checked`].
    Check(Version, Rc<Rulebook>),
    /// Act on it from now on: requests that come are taken under it.
    Act(Version, Rc<Rulebook>),
}

/// The right to take one request now, under a version.
#[derive(Debug)]
pub struct Taking<'a> {
    /// The version.
    pub version: Version,
    /// The lease behind it.
    pub right: Right<'a>,
}

/// A proxy's part in agreed rules.
#[derive(Debug)]
pub struct Follower {
    span: Span,
    asker: Asker,
    /// What stands, as heard last.
    known: Standing,
    /// The version acted on; 0 for none.
    acting: Version,
    /// On the version acted on.
    lease: Lease,
    /// On a newer one that is not acted on yet. It says nothing of the older one, which may have ended long ago.
    ahead: Lease,
    held: BTreeMap<Version, Held>,
    /// Why the version in force can't be used, where it can't.
    unusable: Option<String>,
    looked: Option<(Version, Option<String>)>,
    /// Requests refused for the want of a lease.
    refused: u64,
    /// Its place among the lives, where it wants one.
    holder: Option<Holder>,
    /// What it says to riders of the log with each question.
    telling: Told,
}

impl Follower {
    /// One that knows nothing. `first` is drawn by chance at each start, see [`Asker`].
    pub fn new(span: Span, first: u64) -> Self {
        Follower {
            span,
            asker: Asker::new(first),
            known: Standing::default(),
            acting: 0,
            lease: Lease::default(),
            ahead: Lease::default(),
            held: BTreeMap::new(),
            unusable: None,
            looked: None,
            refused: 0,
            holder: None,
            telling: Told::new(),
        }
    }

    /// What a rider of the log is told with each question from now on; empty for nothing.
    pub fn tell(&mut self, tag: Tag, bytes: Vec<u8>) {
        self.telling.retain(|(t, _)| *t != tag);
        if !bytes.is_empty() && bytes.len() <= TOLD && self.telling.len() < RIDERS {
            self.telling.push((tag, bytes));
        }
    }

    /// From now on this process wants a place among the lives.
    pub fn enlist(&mut self, holder: Holder) {
        self.holder = Some(holder);
    }

    /// Its place among the lives, where it wants one.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// The same, to be changed.
    pub fn holder_mut(&mut self) -> Option<&mut Holder> {
        self.holder.as_mut()
    }

    /// Numbers a question that goes out now, and says how this proxy stands.
    pub fn ask(&mut self, now: Time) -> (u64, Report) {
        let number = self.asker.ask(now);
        let lease_ms = u32::try_from(self.lease.left(now).as_millis()).unwrap_or(u32::MAX);
        let looked = self.looked.clone();
        let draw = self.holder.as_ref().map_or(0, Holder::draw);
        let (acting, refused, told) = (self.acting, self.refused, self.telling.clone());
        let report = Report { serial: number, acting, looked, lease_ms, refused, draw, told };
        (number, report)
    }

    /// An answer has come.
    pub fn granted(&mut self, now: Time, grant: &Grant, turns: &mut Vec<Turn>) -> Vec<Step> {
        let Some(asked) = self.asker.answered(grant.number) else { return Vec::new() };
        if let (Some(holder), Some(tenure)) = (&mut self.holder, &grant.tenure) {
            holder.granted(asked, tenure, self.span, turns);
        }
        let steps = self.heard(now, &grant.standing);
        let standing = &grant.standing;
        // What stood then is older than what is known now, or just that: then the knowledge is as fresh as the asking.
        if standing.version <= self.acting && !self.known.closed {
            self.lease.granted(asked, self.span.bound, self.span.drift);
        } else if standing.version == self.known.version && !standing.closed {
            self.ahead.granted(asked, self.span.bound, self.span.drift);
        }
        steps
    }

    /// Something else stands or is put forward. Brings no lease; a word from earlier in the log changes nothing.
    pub fn heard(&mut self, now: Time, standing: &Standing) -> Vec<Step> {
        if standing.index < self.known.index {
            return Vec::new();
        }
        if standing.version > self.known.version {
            self.ahead.give_back();
        }
        self.known = standing.clone();
        if self.known.closed {
            self.lease.give_back();
        }
        self.next(now)
    }

    /// A rulebook has come. One that is not what was named is passed over.
    pub fn book(&mut self, version: Version, bytes: &[u8]) -> Vec<Step> {
        let Some(wanted) = self.wanted().find(|(v, _)| *v == version) else { return Vec::new() };
        if self.held.contains_key(&version) || digest(bytes) != wanted.1 {
            return Vec::new();
        }
        match Rulebook::decode(bytes) {
            Ok(book) => {
                let held = Held { digest: wanted.1, book: Rc::new(book), usable: None };
                let check = Step::Check(version, held.book.clone());
                self.held.insert(version, held);
                self.forget();
                vec![check]
            }
            Err(e) => {
                self.looked = Some((version, Some(e.to_string())));
                Vec::new()
            }
        }
    }

    /// Whether this proxy can use a version, and if not, why.
    pub fn checked(&mut self, now: Time, version: Version, usable: Result<(), String>) -> Vec<Step> {
        let Some(held) = self.held.get_mut(&version) else { return Vec::new() };
        held.usable = Some(usable.clone());
        if self.looked.as_ref().is_none_or(|(v, _)| *v <= version) {
            self.looked = Some((version, usable.err()));
        }
        self.next(now)
    }

    /// A version could not be put in force after all: this proxy acts on nothing until another stands.
    pub fn cannot_act(&mut self, version: Version, why: &str) {
        if let Some(held) = self.held.get_mut(&version) {
            held.usable = Some(Err(why.to_owned()));
        }
        if self.acting == version {
            self.acting = 0;
            self.lease.give_back();
            self.unusable = Some(why.to_owned());
        }
    }

    /// What is to be done about what is known: books that are missing, a version to act on.
    fn next(&mut self, now: Time) -> Vec<Step> {
        let missing: Vec<Step> =
            self.wanted().filter(|(v, _)| !self.held.contains_key(v)).map(|(v, _)| Step::Fetch(v)).collect();
        let mut steps = missing;
        let version = self.known.version;
        if version > self.acting
            && let Some(held) = self.held.get(&version).filter(|h| h.digest == self.known.digest)
        {
            match &held.usable {
                Some(Ok(())) => {
                    steps.push(Step::Act(version, held.book.clone()));
                    self.act(now, version);
                }
                Some(Err(why)) => self.unusable = Some(why.clone()),
                None => {}
            }
        }
        steps
    }

    fn act(&mut self, now: Time, version: Version) {
        self.acting = version;
        self.unusable = None;
        // A lease on how fresh the knowledge was is good for what came later, too.
        let ahead = std::mem::take(&mut self.ahead);
        if ahead.left(now) > self.lease.left(now) {
            self.lease = ahead;
        }
        if self.known.closed {
            self.lease.give_back();
        }
        self.forget();
    }

    /// Versions of which the book is needed.
    fn wanted(&self) -> impl Iterator<Item = (Version, Digest)> + use<> {
        let standing = (self.known.version > self.acting).then_some((self.known.version, self.known.digest));
        standing.into_iter().chain(self.known.pending)
    }

    fn forget(&mut self) {
        while self.held.len() > HELD {
            let keep = [self.acting, self.known.version, self.known.pending.map_or(0, |p| p.0)];
            let Some(old) = self.held.keys().find(|v| !keep.contains(v)).copied() else { break };
            self.held.remove(&old);
        }
    }

    /// The right to take a request now; `None` where the lease has lapsed or there is nothing to act on. Has to be
    /// asked anew for each request, and again before a request's first byte goes to a backend.
    pub fn take(&self, now: Time) -> Option<Taking<'_>> {
        if self.acting == 0 || self.known.closed {
            return None;
        }
        Some(Taking { version: self.acting, right: self.lease.right(now)? })
    }

    /// Counts a request that was refused for the want of a lease.
    pub fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// The version acted on; 0 for none. Without a lease only what is served at any rate may go on under it.
    pub fn acting(&self) -> Version {
        self.acting
    }

    /// Its rulebook.
    pub fn acting_book(&self) -> Option<&Rc<Rulebook>> {
        self.held.get(&self.acting).map(|h| &h.book)
    }

    /// What stands, as heard last.
    pub fn known(&self) -> &Standing {
        &self.known
    }

    /// Why the version in force can't be used here.
    pub fn unusable(&self) -> Option<&str> {
        self.unusable.as_deref()
    }

    /// The bytes of a version that is held, for another proxy that asks.
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
        let name = digest(&bytes);
        (bytes, name)
    }

    fn standing(index: u64, version: Version) -> Standing {
        Standing { index, version, digest: book(version as u32).1, closed: false, pending: None }
    }

    fn follower() -> Follower {
        Follower::new(Span { bound: ms(T), drift: Drift::ppm(0) }, 40)
    }

    fn grant(f: &mut Follower, asked: u64, now: u64, standing: Standing) -> Vec<Step> {
        let (number, _) = f.ask(ms(asked));
        let grant = Grant { number, origin: None, standing, voters: Vec::new(), tenure: None, told: vec![] };
        f.granted(ms(now), &grant, &mut Vec::new())
    }

    /// Fetches, checks and acts on a version that it has heard of.
    fn act(f: &mut Follower, now: u64, version: Version) {
        assert!(matches!(f.book(version, &book(version as u32).0)[..], [Step::Check(v, _)] if v == version));
        assert!(matches!(f.checked(ms(now), version, Ok(()))[..], [Step::Act(v, _)] if v == version));
    }

    fn version(f: &Follower, now: u64) -> Option<Version> {
        f.take(ms(now)).map(|t| t.version)
    }

    #[test]
    fn it_takes_nothing_before_it_has_rules_and_a_lease_on_them() {
        let mut f = follower();
        assert_eq!(version(&f, 0), None);
        assert_eq!(grant(&mut f, 0, 5, standing(1, 1)), [Step::Fetch(1)]);
        assert_eq!(version(&f, 6), None);
        act(&mut f, 10, 1);
        // The lease counts from the question, not from when the rules had come.
        assert_eq!((version(&f, 999), version(&f, 1000)), (Some(1), None));
    }

    #[test]
    fn an_answer_that_tells_of_newer_rules_does_not_renew_the_older() {
        let mut f = follower();
        grant(&mut f, 0, 5, standing(1, 1));
        act(&mut f, 10, 1);
        assert_eq!(grant(&mut f, 500, 505, standing(7, 2)), [Step::Fetch(2)]);
        assert_eq!((version(&f, 999), version(&f, 1001)), (Some(1), None));
        // Once it holds them, the same answer counts for them.
        act(&mut f, 1100, 2);
        assert_eq!((version(&f, 1499), version(&f, 1500)), (Some(2), None));
    }

    #[test]
    fn a_lease_is_good_for_what_is_heard_of_later() {
        let mut f = follower();
        grant(&mut f, 0, 5, standing(1, 1));
        act(&mut f, 10, 1);
        assert_eq!(f.heard(ms(20), &standing(7, 2)), [Step::Fetch(2)]);
        act(&mut f, 30, 2);
        assert_eq!((version(&f, 999), version(&f, 1000)), (Some(2), None));
    }

    #[test]
    fn words_from_earlier_in_the_log_unsay_nothing() {
        let mut f = follower();
        grant(&mut f, 0, 5, standing(1, 1));
        act(&mut f, 10, 1);
        f.heard(ms(20), &Standing { closed: true, ..standing(9, 1) });
        assert_eq!(version(&f, 21), None);
        f.heard(ms(30), &standing(8, 1));
        grant(&mut f, 31, 32, standing(8, 1));
        assert_eq!(version(&f, 33), None, "it was closed after that");
        grant(&mut f, 40, 45, standing(10, 1));
        assert_eq!(version(&f, 46), Some(1), "what was to follow has been abandoned");
    }

    #[test]
    fn rules_of_another_content_or_that_it_can_t_use_are_not_acted_on() {
        let mut f = follower();
        grant(&mut f, 0, 5, standing(1, 1));
        assert!(f.book(1, &book(9).0).is_empty());
        assert!(f.book(3, &book(3).0).is_empty(), "nobody asked for it");
        assert!(matches!(f.book(1, &book(1).0)[..], [Step::Check(1, _)]));
        assert!(f.checked(ms(9), 1, Err("no such zone".into())).is_empty());
        assert_eq!((version(&f, 10), f.unusable()), (None, Some("no such zone")));
        assert_eq!(f.ask(ms(11)).1.looked, Some((1, Some("no such zone".into()))));
    }

    #[test]
    fn a_version_that_could_not_be_put_in_force_gives_no_right() {
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
    fn books_that_are_held_are_bounded() {
        let mut f = follower();
        for v in 1..40 {
            f.heard(ms(v), &Standing { pending: Some((v + 1, book(v as u32 + 1).1)), ..standing(v, v) });
            f.book(v, &book(v as u32).0);
            f.checked(ms(v), v, Ok(()));
        }
        assert!(f.held.len() <= HELD);
        assert!(f.acting_book().is_some());
    }
}
