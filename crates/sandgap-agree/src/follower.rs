//! What every proxy does with agreed rules: it asks for leases, looks at versions, and says under which version a
//! request may be taken now, if any.
//!
//! A lease is on *how fresh the knowledge is*, not on one version: an answer says what stood at some moment after the
//! question. Until a span after the asking, the proxy may act on that version, or on any later one that it has heard
//! of: whatever it does not know of has come into force after the asking, less than the span ago. `docs/agree-design.md`
//! turns this into the bound T.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use sandgap_fleet::lease::{Asker, Lease, Right};
use sandgap_fleet::{Drift, Time};

use crate::rulebook::{Digest, Rulebook, Version, digest};
use crate::words::{Grant, Report, Standing};

/// Versions of which the book is held: the one acted on, the one in force, the one put forward, and one that was.
const HELD: usize = 4;

/// What the stated time asks of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// T: contradicting rules are acted on together for no longer than this, in true time.
    pub bound: Duration,
    /// How far a clock may drift.
    pub drift: Drift,
}

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
        }
    }

    /// Numbers a question that goes out now, and says how this proxy stands.
    pub fn ask(&mut self, now: Time) -> (u64, Report) {
        let number = self.asker.ask(now);
        let lease_ms = u32::try_from(self.lease.left(now).as_millis()).unwrap_or(u32::MAX);
        let looked = self.looked.clone();
        (number, Report { serial: number, acting: self.acting, looked, lease_ms, refused: self.refused })
    }

    /// An answer has come.
    pub fn granted(&mut self, now: Time, grant: &Grant) -> Vec<Step> {
        let Some(asked) = self.asker.answered(grant.number) else { return Vec::new() };
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

    /// When the lease ends, where there is one.
    pub fn lease_end(&self) -> Option<Time> {
        self.lease.end()
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
