//! Messages that proxies exchange about rules, on one channel of the fleet's links. They are encoded with postcard:
//! the order and the types of fields and variants are the wire format.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::lives::{Enrolled, LifeEntry, ProcessId, Succession};
use crate::machine::{Proposal, Verdict};
use crate::rider::{RiderMessages, Tag};
use crate::rulebook::{Digest, Version};

/// The version in force and the pending one, as committed by a majority.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesState {
    /// The index up to which the log had been applied: of two states the one with the higher index is newer.
    pub index: u64,
    /// The version in force; 0 before the first.
    pub version: Version,
    /// The digest of its rulebook.
    pub digest: Digest,
    /// Whether it has been closed ahead of the next version: no proxy acts on it any more.
    pub closed: bool,
    /// The pending version, if any, and its digest.
    pub pending: Option<(Version, Digest)>,
}

/// The state of a proxy, sent with each lease request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The number of the lease request: of two reports of one process the later one has the higher number.
    pub serial: u64,
    /// The version that it acts on and whose effects hold there; 0 for none.
    pub acting: Version,
    /// The latest proposed version that it has checked, and why it can't use it, if so.
    pub looked: Option<(Version, Option<String>)>,
    /// Remaining time of its lease when it asks, in ms.
    pub lease_ms: u32,
    /// Requests that it has refused for lack of a lease, since its start.
    pub refused: u64,
    /// The random number that identifies its process, if it is or wants to be enrolled; else 0.
    #[serde(rename = "draw")]
    pub process_token: u64,
    /// Its messages to the riders of the log.
    #[serde(rename = "told")]
    pub rider_messages: RiderMessages,
}

/// A lease request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The number that the grant repeats.
    pub number: u64,
    /// The proxy that asks, if another proxy relays the request.
    pub origin: Option<String>,
    /// The state of the proxy that asks.
    pub report: Report,
}

/// The answer to a lease request: what was in force at some moment after the request arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the lease request.
    pub number: u64,
    /// The proxy that it is for, if another proxy relays it.
    pub origin: Option<String>,
    /// The version in force and the pending one.
    pub standing: RulesState,
    /// The voters, with their addresses.
    pub voters: Vec<(String, SocketAddr)>,
    /// The enrolment of the process that asked, if its report has a process token.
    pub enrolment: Option<EnrolmentState>,
    /// The messages of the log's riders to the proxy that asked.
    pub rider_messages: RiderMessages,
}

/// The enrolment of a process, at some moment after it asked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnrolmentState {
    /// Its life, if it is enrolled.
    pub life: Option<ProcessId>,
    /// The ended lives for which it acts.
    pub successions: Vec<Succession>,
    /// The number of the membership list, see [`crate::lives::Lives::list_number`].
    pub list_number: u64,
}

/// A member, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Time since its last report, in ms.
    pub ago_ms: u64,
    /// Its last report.
    pub report: Report,
}

/// A version, as `history` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSummary {
    /// Its number.
    pub version: Version,
    /// The digest of its rulebook.
    pub digest: Digest,
    /// Its state.
    #[serde(rename = "fate")]
    pub state: crate::machine::VersionState,
    /// Whether it contradicts the version that was in force when it was proposed.
    pub contradicts: bool,
    /// Who published it.
    pub by: String,
    /// The publisher's reason.
    pub why: String,
}

/// The state of the fleet, as one voter knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The voter that answers.
    pub voter: String,
    /// The leader, as far as it knows.
    pub leader: Option<String>,
    /// The version in force and the pending one.
    pub standing: RulesState,
    /// The voters.
    pub voters: Vec<(String, SocketAddr)>,
    /// The members, if the voter that answers is the leader and has led for long enough to have heard of all; else empty.
    pub members: Vec<MemberStatus>,
    /// The versions that are kept.
    pub history: Vec<VersionSummary>,
}

/// A change of the set of voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterChange {
    /// Adds a voter.
    Add(String, SocketAddr),
    /// Removes a voter.
    Remove(String),
    /// Replaces the seat of a voter that has lost its disk by a new one.
    Rebuild {
        /// Its name.
        name: String,
        /// Its address.
        address: SocketAddr,
        /// The number of the new seat.
        id: u64,
    },
}

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Between voters: the number of the receiving seat, and a message in the consensus engine's encoding.
    Raft(u64, Vec<u8>),
    /// A lease request, to a voter, or to any proxy that can reach one.
    Ask(Ask),
    /// The answer to a lease request.
    Grant(Grant),
    /// The version in force or the pending one has changed. Grants no lease.
    News(RulesState),
    /// Requests a rulebook.
    Fetch(Version),
    /// The bytes of a rulebook.
    Book(Version, Vec<u8>),
    /// From a voter to the leader: the reports that it received with lease requests.
    Reports(Vec<(String, Report)>),
    /// Proposes a rulebook.
    Publish(Proposal),
    /// The verdict on the proposal with this id.
    Published(u64, Verdict),
    /// The proposal with this id can't be made now, and why.
    Unpublished(u64, String),
    /// Requests the status of the fleet.
    Query(u64),
    /// The answer to a query.
    Status(u64, Status),
    /// Requests a change of the set of voters.
    ChangeVoters(u64, VoterChange),
    /// The result of that change: empty on success, else the reason.
    VotersChanged(u64, String),
    /// To a voter: a process asks to be enrolled, has ended, or has settled the requests of an ended life.
    Life(LifeEntry),
    /// To the leader: the proxy of this name refuses connections.
    Unreachable(String),
    /// Requests the membership list, if its number is higher than this one.
    FetchMembers(u64),
    /// The membership list: its number, the enrolled lives, and those that ended recently.
    Members(u64, Vec<(ProcessId, Enrolled)>, Vec<(ProcessId, Enrolled)>),
    /// To a proxy: it has become a successor and should ask for its successions.
    BecameSuccessor,
    /// Proposes an entry of a rider, under a number that the answer repeats.
    ProposeRiderEntry(u64, Tag, Vec<u8>),
    /// The result of applying that entry.
    RiderEntryApplied(u64, Vec<u8>),
    /// The entry can't be proposed or the question can't be answered, and why.
    RiderRefused(u64, String),
    /// Queries a rider, under a number that the answer repeats.
    QueryRider(u64, Tag, Vec<u8>),
    /// The rider's answer, and whether the voter that gives it is the leader.
    RiderAnswer(u64, bool, Vec<u8>),
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default() // encoding plain data can't fail
    }

    /// Decodes a message; `None` for invalid bytes, which the caller drops like a lost message.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
