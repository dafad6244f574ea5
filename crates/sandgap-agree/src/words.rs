//! The words that proxies say to each other about rules, on one channel of the fleet's links.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::lives::{Claim, Enrolled, Life, LifeEntry};
use crate::machine::{Proposal, Verdict};
use crate::rider::{Tag, Told};
use crate::rulebook::{Digest, Version};

/// What is in force and what is put forward, as a majority has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// How far the log had been applied: of two words the one further on is newer.
    pub index: u64,
    /// The version in force; 0 before the first.
    pub version: Version,
    /// Its content's name.
    pub digest: Digest,
    /// It has been closed ahead of the next: nobody acts on it any more.
    pub closed: bool,
    /// The version put forward, if any, and its content's name.
    pub pending: Option<(Version, Digest)>,
}

/// What a proxy says of itself with each question.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The question's number: of two reports of one process the later one has the higher.
    pub serial: u64,
    /// The version that it acts on; 0 for none.
    pub acting: Version,
    /// The latest version put forward that it has looked at, and why it can't use it, if so.
    pub looked: Option<(Version, Option<String>)>,
    /// What is left of its lease as it asks, in ms.
    pub lease_ms: u32,
    /// Requests that it refused for the want of a lease, since its start.
    pub refused: u64,
    /// The chance that its process drew, where it is or wants to be enrolled; else 0.
    pub draw: u64,
    /// What it says to state machines that the log carries.
    pub told: Told,
}

/// A question for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The number that the answer bears.
    pub number: u64,
    /// Who asks, where another proxy passes the question on.
    pub origin: Option<String>,
    /// How the one that asks stands.
    pub report: Report,
}

/// The answer: what stood at some moment after the question came.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The question's number.
    pub number: u64,
    /// For whom, where another proxy passes it on.
    pub origin: Option<String>,
    /// What stood.
    pub standing: Standing,
    /// The voters, with their addresses.
    pub voters: Vec<(String, SocketAddr)>,
    /// How the process that asked stands, where it told its draw.
    pub tenure: Option<Tenure>,
    /// What state machines that the log carries say to the one that asked.
    pub told: Told,
}

/// A process's place among the lives, at some moment after it asked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// Its number, if it is enrolled.
    pub life: Option<Life>,
    /// What it is heir to.
    pub claims: Vec<Claim>,
    /// How often the enrolled ones have changed.
    pub roll: u64,
}

/// One member, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Its name.
    pub name: String,
    /// How long ago it was heard of, in ms.
    pub ago_ms: u64,
    /// What it said.
    pub report: Report,
}

/// One version, as `history` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Its number.
    pub version: Version,
    /// Its content's name.
    pub digest: Digest,
    /// What has become of it.
    pub fate: crate::machine::Fate,
    /// Whether it contradicts the one before.
    pub contradicts: bool,
    /// Who published it.
    pub by: String,
    /// Why.
    pub why: String,
}

/// How the fleet stands, as a voter tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Who tells.
    pub voter: String,
    /// Who leads, as far as it knows.
    pub leader: Option<String>,
    /// What stands.
    pub standing: Standing,
    /// The voters.
    pub voters: Vec<(String, SocketAddr)>,
    /// Members, if the one that tells leads.
    pub members: Vec<Seen>,
    /// Versions that are kept.
    pub history: Vec<Line>,
}

/// Another set of voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seating {
    /// One more.
    Add(String, SocketAddr),
    /// One less.
    Remove(String),
    /// A voter has lost its disk and sits down anew, under another number.
    Rebuild {
        /// Its name.
        name: String,
        /// Where it is reached.
        address: SocketAddr,
        /// Its new number.
        id: u64,
    },
}

/// Anything that is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// Between voters, in the consensus engine's own form; the number of the seat that it is for.
    Raft(u64, Vec<u8>),
    /// A question for a lease, to a voter, or to any proxy that hears one.
    Ask(Ask),
    /// Its answer.
    Grant(Grant),
    /// Something else stands or is put forward. Brings no lease.
    News(Standing),
    /// Asks for a rulebook.
    Fetch(Version),
    /// A rulebook's bytes.
    Book(Version, Vec<u8>),
    /// From a voter to the leader: who asked, and how they stand.
    Reports(Vec<(String, Report)>),
    /// Puts a rulebook forward.
    Publish(Proposal),
    /// What that came to.
    Published(u64, Verdict),
    /// It can't be put forward now, and why.
    Unpublished(u64, String),
    /// Asks how the fleet stands.
    Query(u64),
    /// That.
    Status(u64, Status),
    /// Asks for another set of voters.
    Seat(u64, Seating),
    /// What that came to; empty for well.
    Seated(u64, String),
    /// To a voter: a process wants a number, has ended, or has settled what another left.
    Life(LifeEntry),
    /// To the leader: nothing listens under this name any more.
    Missed(String),
    /// Asks who is enrolled, if that has changed since.
    FetchRoll(u64),
    /// Who is enrolled, by number, how often that has changed, and who ended a while ago.
    Roll(u64, Vec<(Life, Enrolled)>, Vec<(Life, Enrolled)>),
    /// To a proxy: it is the heir to something, and should ask.
    Heir,
    /// Puts an entry of a rider forward, under a number that the answer bears.
    Put(u64, Tag, Vec<u8>),
    /// What that came to.
    Came(u64, Vec<u8>),
    /// It can't be put forward, and why.
    Unput(u64, String),
    /// Asks a rider something, under a number that the answer bears.
    Look(u64, Tag, Vec<u8>),
    /// Its answer, and whether the voter that gives it leads.
    Seen(u64, bool, Vec<u8>),
}

impl Word {
    /// The bytes of it.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default() // plain data always encodes
    }

    /// Reads one; bytes that are none are passed over, as lost.
    pub fn decode(bytes: &[u8]) -> Option<Word> {
        match postcard::take_from_bytes(bytes) {
            Ok((word, [])) => Some(word),
            _ => None,
        }
    }
}
