//! What the agreed log builds: versions of the rulebook, which of them stands, which is put forward. Every voter
//! applies the same entries in the same order and so has the same state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::contradict::contradicts;
use crate::limits::{HISTORY, HISTORY_BYTES, cut};
use crate::lives::{LifeEntry, Lives};
use crate::rider::Tag;
use crate::rulebook::{Digest, Rulebook, Version, digest};

/// A voter's seat: who sits there. A voter that lost its disk gets a new seat, never its old one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// The proxy's name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A rulebook is put forward.
    Propose(Proposal),
    /// The version in force ends for the rules that the next one contradicts: nobody is given a lease on it.
    Close(Version),
    /// The version put forward is in force.
    Switch(Version),
    /// It will not be; by proxy, why.
    Abandon(Version, Vec<(String, String)>),
    /// About processes and what they left.
    Life(LifeEntry),
    /// Of a state machine that the log carries, see [`crate::rider`].
    Rider(Tag, Vec<u8>),
}

/// A rulebook that somebody wants in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Drawn by the publisher: the same proposal that arrives twice counts once.
    pub id: u64,
    /// The version in force that the publisher saw.
    pub parent: Version,
    /// The rulebook's bytes.
    pub book: Vec<u8>,
    /// Who publishes.
    pub by: String,
    /// Why.
    pub why: String,
}

/// What has become of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// Put forward; proxies look at it.
    Pending,
    /// In force, now or once.
    Stood,
    /// Abandoned; by proxy, why.
    Abandoned(Vec<(String, String)>),
}

/// One version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The content's name.
    pub digest: Digest,
    /// The proposal's number.
    pub id: u64,
    /// Who published it.
    pub by: String,
    /// Why.
    pub why: String,
    /// What has become of it.
    pub fate: Fate,
    /// Whether it contradicts the version before it.
    pub contradicts: bool,
    book: Rc<[u8]>,
}

impl Record {
    /// The rulebook's bytes.
    pub fn book(&self) -> &Rc<[u8]> {
        &self.book
    }
}

/// What a proposal came to at its place in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is version n, and proxies look at it.
    PutForward(Version),
    /// It came twice: it is version n.
    Again(Version),
    /// The version that its publisher saw is not the one in force.
    Lost {
        /// The one in force.
        standing: Version,
    },
    /// Another one is under way.
    Busy(Version),
    /// It can't be read.
    Unreadable(String),
}

/// The state that the log builds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The version in force; 0 before the first.
    standing: Version,
    /// Whether it has been closed, ahead of the next.
    closed: bool,
    /// The one put forward.
    pending: Option<Version>,
    /// Numbers given so far.
    last: Version,
    versions: BTreeMap<Version, Record>,
    /// Voters by seat.
    pub seats: BTreeMap<u64, Seat>,
    /// Who may act, and for whom.
    lives: Lives,
}

impl Machine {
    /// A state with nothing in force yet.
    pub fn new(seats: BTreeMap<u64, Seat>) -> Self {
        Machine { seats, ..Machine::default() }
    }

    /// Leaves room for numbers that a lost majority may have given since.
    pub(crate) fn skip(&mut self, numbers: Version) {
        self.last += numbers;
        self.lives.skip(numbers);
    }

    /// The version in force; 0 before the first.
    pub fn standing(&self) -> Version {
        self.standing
    }

    /// Whether the version in force has been closed, ahead of the next.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// The version that is put forward.
    pub fn pending(&self) -> Option<Version> {
        self.pending
    }

    /// A version that is kept.
    pub fn version(&self, version: Version) -> Option<&Record> {
        self.versions.get(&version)
    }

    /// All versions that are kept, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = (Version, &Record)> {
        self.versions.iter().map(|(v, r)| (*v, r))
    }

    /// Who may act, and for whom.
    pub fn lives(&self) -> &Lives {
        &self.lives
    }

    /// Applies an entry that a majority has. Returns what a proposal came to.
    pub fn apply(&mut self, entry: Entry) -> Option<(u64, Verdict)> {
        match entry {
            Entry::Propose(proposal) => Some((proposal.id, self.propose(proposal))),
            // Entries about a version that is not the one put forward come from a leader that was overtaken.
            Entry::Close(version) => {
                self.closed |= self.pending == Some(version);
                None
            }
            Entry::Switch(version) => {
                if self.pending == Some(version) {
                    (self.standing, self.pending, self.closed) = (version, None, false);
                    self.fate(version, Fate::Stood);
                    self.forget();
                }
                None
            }
            Entry::Life(entry) => {
                self.lives.apply(entry);
                None
            }
            Entry::Rider(..) => None, // its own machine's
            Entry::Abandon(version, why) => {
                if self.pending == Some(version) {
                    (self.pending, self.closed) = (None, false);
                    let why = why.into_iter().map(|(who, why)| (cut(&who), cut(&why))).collect();
                    self.fate(version, Fate::Abandoned(why));
                }
                None
            }
        }
    }

    fn propose(&mut self, proposal: Proposal) -> Verdict {
        let Proposal { id, parent, book, by, why } = proposal;
        if let Some((version, _)) = self.versions.iter().find(|(_, r)| r.id == id) {
            return Verdict::Again(*version);
        }
        if parent != self.standing {
            return Verdict::Lost { standing: self.standing };
        }
        if let Some(pending) = self.pending {
            return Verdict::Busy(pending);
        }
        let read = match Rulebook::decode(&book) {
            Ok(read) => read,
            Err(e) => return Verdict::Unreadable(e.to_string()),
        };
        let old = self.versions.get(&self.standing).and_then(|old| Rulebook::decode(&old.book).ok());
        let contradicts = old.is_some_and(|old| !contradicts(&old, &read).is_empty());
        self.last += 1;
        let (by, why, fate) = (cut(&by), cut(&why), Fate::Pending);
        let record = Record { digest: digest(&book), id, by, why, fate, contradicts, book: book.into() };
        self.versions.insert(self.last, record);
        self.pending = Some(self.last);
        self.forget();
        Verdict::PutForward(self.last)
    }

    fn fate(&mut self, version: Version, fate: Fate) {
        if let Some(record) = self.versions.get_mut(&version) {
            record.fate = fate;
        }
    }

    /// Forgets the oldest versions beyond the bounds, but not those in force or put forward.
    fn forget(&mut self) {
        let bytes = |all: &BTreeMap<Version, Record>| all.values().map(|r| r.book.len()).sum::<usize>();
        while self.versions.len() > HISTORY || bytes(&self.versions) > HISTORY_BYTES {
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

    fn propose(machine: &mut Machine, id: u64, parent: Version) -> Verdict {
        let mut book = example();
        book.limits.max_attempts = id as u32 + 1;
        let book = book.encode().expect("small");
        let proposal = Proposal { id, parent, book, by: "me".into(), why: String::new() };
        machine.apply(Entry::Propose(proposal)).expect("a verdict").1
    }

    #[test]
    fn one_of_two_publishers_wins_and_the_other_is_told() {
        let mut machine = Machine::default();
        assert_eq!(propose(&mut machine, 1, 0), Verdict::PutForward(1));
        assert_eq!(propose(&mut machine, 2, 0), Verdict::Busy(1));
        assert_eq!(propose(&mut machine, 1, 0), Verdict::Again(1));
        machine.apply(Entry::Switch(1));
        assert_eq!(propose(&mut machine, 3, 0), Verdict::Lost { standing: 1 });
        assert_eq!(propose(&mut machine, 3, 1), Verdict::PutForward(2));
        assert!(machine.version(2).expect("kept").contradicts);
    }

    #[test]
    fn words_of_an_overtaken_leader_change_nothing() {
        let mut machine = Machine::default();
        propose(&mut machine, 1, 0);
        machine.apply(Entry::Abandon(1, vec![("p3".into(), "no such zone".into())]));
        machine.apply(Entry::Switch(1));
        machine.apply(Entry::Close(1));
        assert_eq!((machine.standing(), machine.pending(), machine.is_closed()), (0, None, false));
        assert_eq!(propose(&mut machine, 2, 0), Verdict::PutForward(2), "numbers are never given twice");
        machine.apply(Entry::Abandon(1, vec![]));
        assert_eq!(machine.pending(), Some(2));
    }

    #[test]
    fn history_is_bounded_and_keeps_what_stands() {
        let mut machine = Machine::default();
        propose(&mut machine, 1, 0);
        machine.apply(Entry::Switch(1));
        for id in 2..3 * HISTORY as u64 {
            assert!(matches!(propose(&mut machine, id, 1), Verdict::PutForward(_)));
            let pending = machine.pending().expect("just put forward");
            machine.apply(Entry::Abandon(pending, vec![]));
        }
        assert!(machine.versions().count() <= HISTORY);
        assert!(machine.version(1).is_some());
    }

    #[test]
    fn what_can_t_be_read_is_refused_by_its_publisher_s_name() {
        let mut machine = Machine::default();
        let proposal = Proposal { id: 1, parent: 0, book: vec![9; 9], by: "x".into(), why: "y".into() };
        let (id, verdict) = machine.apply(Entry::Propose(proposal)).expect("a verdict");
        assert!(id == 1 && matches!(verdict, Verdict::Unreadable(_)));
        assert_eq!(machine.pending(), None);
    }
}
