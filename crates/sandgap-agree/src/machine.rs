//! The replicated state machine: versions of the rulebook, the one in force and the pending one. Every voter applies
//! the same entries in the same order and so has the same state. Its types are encoded with postcard: the order and the
//! types of fields and variants are the format of the log and the snapshot.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::contradictions::contradicts;
use crate::limits::{MAX_VERSIONS, MAX_VERSIONS_BYTES, truncate_text};
use crate::lives::{LifeEntry, Lives};
use crate::rider::Tag;
use crate::rulebook::{Digest, Rulebook, Version, digest};

/// A voter's seat (its raft node). A voter that has lost its disk gets a new seat, never its old one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// The proxy's name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// Proposes a rulebook.
    Propose(Proposal),
    /// Closes the version in force ahead of this pending version, which contradicts it: no more leases on it are
    /// granted.
    Close(Version),
    /// Puts the pending version in force.
    Switch(Version),
    /// Abandons the pending version, with a reason for each proxy that prevents it.
    Abandon(Version, Vec<(String, String)>),
    /// Changes the lives of processes.
    Life(LifeEntry),
    /// An entry of another state machine that shares the log, see [`crate::rider`].
    Rider(Tag, Vec<u8>),
}

/// A rulebook to be put in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// A random number drawn by the publisher, by which a duplicate of the proposal is recognized.
    pub id: u64,
    /// The version in force that the publisher saw.
    pub parent: Version,
    /// The rulebook's bytes.
    pub book: Vec<u8>,
    /// Who publishes it.
    pub by: String,
    /// The publisher's reason.
    pub why: String,
}

/// The state of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionState {
    /// Proposed; proxies check it.
    Pending,
    /// In force now, or in the past.
    #[serde(rename = "Stood")]
    InForce,
    /// Abandoned, with a reason for each proxy that prevented it.
    Abandoned(Vec<(String, String)>),
}

/// A version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The digest of its rulebook.
    pub digest: Digest,
    /// The id of its proposal.
    pub id: u64,
    /// Who published it.
    pub by: String,
    /// The publisher's reason.
    pub why: String,
    /// Its state.
    pub state: VersionState,
    /// Whether it contradicts the version that was in force when it was proposed.
    pub contradicts: bool,
    book: Rc<[u8]>,
}

impl Record {
    /// The rulebook's bytes.
    pub fn book(&self) -> &Rc<[u8]> {
        &self.book
    }
}

/// The result of applying a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is pending under this version, and proxies check it.
    Pending(Version),
    /// It is a duplicate of the proposal that has this version.
    Duplicate(Version),
    /// The version that its publisher saw is not the one in force.
    StaleParent {
        /// The version in force.
        standing: Version,
    },
    /// Another version is pending.
    OtherPending(Version),
    /// The rulebook can't be decoded.
    Unreadable(String),
}

/// The state of the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesMachine {
    /// The version in force; 0 before the first.
    standing: Version,
    /// Whether it has been closed ahead of the pending one.
    closed: bool,
    /// The pending version.
    pending: Option<Version>,
    /// The highest version number assigned so far.
    last: Version,
    versions: BTreeMap<Version, Record>,
    /// Voters by seat number.
    pub seats: BTreeMap<u64, Seat>,
    /// The lives of processes.
    lives: Lives,
}

impl RulesMachine {
    /// The initial state, with no version in force.
    pub fn new(seats: BTreeMap<u64, Seat>) -> Self {
        RulesMachine { seats, ..RulesMachine::default() }
    }

    /// Skips numbers that a lost majority may have assigned.
    pub(crate) fn skip_numbers(&mut self, count: Version) {
        self.last += count;
        self.lives.skip_numbers(count);
    }

    /// The version in force; 0 before the first.
    pub fn standing(&self) -> Version {
        self.standing
    }

    /// Whether the version in force has been closed ahead of the pending one.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// The pending version.
    pub fn pending(&self) -> Option<Version> {
        self.pending
    }

    /// A version, if it is still kept.
    pub fn version(&self, version: Version) -> Option<&Record> {
        self.versions.get(&version)
    }

    /// All kept versions, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = (Version, &Record)> {
        self.versions.iter().map(|(v, r)| (*v, r))
    }

    /// The lives of processes.
    pub fn lives(&self) -> &Lives {
        &self.lives
    }

    /// Applies a committed entry. For a proposal, returns its id and verdict.
    pub fn apply(&mut self, entry: Entry) -> Option<(u64, Verdict)> {
        match entry {
            Entry::Propose(proposal) => Some((proposal.id, self.propose(proposal))),
            // An entry about a version that is not pending comes from a deposed leader.
            Entry::Close(version) => {
                self.closed |= self.pending == Some(version);
                None
            }
            Entry::Switch(version) => {
                if self.pending == Some(version) {
                    (self.standing, self.pending, self.closed) = (version, None, false);
                    self.set_state(version, VersionState::InForce);
                    self.evict_old_versions();
                }
                None
            }
            Entry::Life(entry) => {
                self.lives.apply(entry);
                None
            }
            Entry::Rider(..) => None, // applied by the rider
            Entry::Abandon(version, why) => {
                if self.pending == Some(version) {
                    (self.pending, self.closed) = (None, false);
                    let why = why
                        .into_iter()
                        .map(|(who, why)| (truncate_text(&who), truncate_text(&why)))
                        .collect();
                    self.set_state(version, VersionState::Abandoned(why));
                }
                None
            }
        }
    }

    fn propose(&mut self, proposal: Proposal) -> Verdict {
        let Proposal { id, parent, book, by, why } = proposal;
        if let Some((version, _)) = self.versions.iter().find(|(_, r)| r.id == id) {
            return Verdict::Duplicate(*version);
        }
        if parent != self.standing {
            return Verdict::StaleParent { standing: self.standing };
        }
        if let Some(pending) = self.pending {
            return Verdict::OtherPending(pending);
        }
        let new = match Rulebook::decode(&book) {
            Ok(new) => new,
            Err(e) => return Verdict::Unreadable(e.to_string()),
        };
        let old = self.versions.get(&self.standing).and_then(|old| Rulebook::decode(&old.book).ok());
        let contradicts = old.is_some_and(|old| !contradicts(&old, &new).is_empty());
        self.last += 1;
        let (by, why, state) = (truncate_text(&by), truncate_text(&why), VersionState::Pending);
        let record = Record { digest: digest(&book), id, by, why, state, contradicts, book: book.into() };
        self.versions.insert(self.last, record);
        self.pending = Some(self.last);
        self.evict_old_versions();
        Verdict::Pending(self.last)
    }

    fn set_state(&mut self, version: Version, state: VersionState) {
        if let Some(record) = self.versions.get_mut(&version) {
            record.state = state;
        }
    }

    /// Evicts the oldest versions beyond the bounds, except the one in force and the pending one.
    fn evict_old_versions(&mut self) {
        let bytes = |all: &BTreeMap<Version, Record>| all.values().map(|r| r.book.len()).sum::<usize>();
        while self.versions.len() > MAX_VERSIONS || bytes(&self.versions) > MAX_VERSIONS_BYTES {
            let (standing, pending) = (self.standing, self.pending);
            let old = self.versions.keys().find(|v| **v != standing && Some(**v) != pending).copied();
            let Some(old) = old else { break };
            self.versions.remove(&old);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::rulebook::example;

    fn propose(machine: &mut RulesMachine, id: u64, parent: Version) -> Verdict {
        let mut book = example();
        book.limits.max_attempts = id as u32 + 1;
        let book = book.encode().expect("small");
        let proposal = Proposal { id, parent, book, by: "me".into(), why: String::new() };
        machine.apply(Entry::Propose(proposal)).expect("a verdict").1
    }

    #[test]
    fn concurrent_and_duplicate_proposals_get_their_verdicts() {
        let mut machine = RulesMachine::default();
        assert_eq!(propose(&mut machine, 1, 0), Verdict::Pending(1));
        assert_eq!(propose(&mut machine, 2, 0), Verdict::OtherPending(1));
        assert_eq!(propose(&mut machine, 1, 0), Verdict::Duplicate(1));
        machine.apply(Entry::Switch(1));
        assert_eq!(propose(&mut machine, 3, 0), Verdict::StaleParent { standing: 1 });
        assert_eq!(propose(&mut machine, 3, 1), Verdict::Pending(2));
        assert!(machine.version(2).expect("kept").contradicts);
    }

    #[test]
    fn entries_of_a_deposed_leader_are_ignored() {
        let mut machine = RulesMachine::default();
        propose(&mut machine, 1, 0);
        machine.apply(Entry::Abandon(1, vec![("p3".into(), "no such zone".into())]));
        machine.apply(Entry::Switch(1));
        machine.apply(Entry::Close(1));
        assert_eq!((machine.standing(), machine.pending(), machine.is_closed()), (0, None, false));
        assert_eq!(propose(&mut machine, 2, 0), Verdict::Pending(2), "version numbers are never reused");
        machine.apply(Entry::Abandon(1, vec![]));
        assert_eq!(machine.pending(), Some(2));
    }

    #[test]
    fn history_is_bounded_and_keeps_the_version_in_force() {
        let mut machine = RulesMachine::default();
        propose(&mut machine, 1, 0);
        machine.apply(Entry::Switch(1));
        for id in 2..3 * MAX_VERSIONS as u64 {
            assert!(matches!(propose(&mut machine, id, 1), Verdict::Pending(_)));
            let pending = machine.pending().expect("just proposed");
            machine.apply(Entry::Abandon(pending, vec![]));
        }
        assert!(machine.versions().count() <= MAX_VERSIONS);
        assert!(machine.version(1).is_some());
    }

    #[test]
    fn an_undecodable_proposal_is_refused_under_its_id() {
        let mut machine = RulesMachine::default();
        let proposal = Proposal { id: 1, parent: 0, book: vec![9; 9], by: "x".into(), why: "y".into() };
        let (id, verdict) = machine.apply(Entry::Propose(proposal)).expect("a verdict");
        assert!(id == 1 && matches!(verdict, Verdict::Unreadable(_)));
        assert_eq!(machine.pending(), None);
    }
}
