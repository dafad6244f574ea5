//! Messages between proxies about in-flight requests, sent on one channel of the fleet's links.

use std::rc::Rc;
use std::time::Duration;

use sandgap_agree::lives::{Epoch, ProcessId, Succession};
use serde::{Deserialize, Serialize};

use crate::identity::{Content, Identity};
use crate::record::{End, Record};

/// The bytes of a request, as the front encoded them.
pub type Bytes = Rc<[u8]>;

/// The process that acts for a request: its owner under epoch 0, or a successor under the epoch of its succession.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Actor {
    /// 0 for the owner that accepted it; of two actors, the one with the higher epoch prevails.
    pub epoch: Epoch,
    /// The acting process.
    pub life: ProcessId,
}

/// A request from an owner to a keeper to store a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keep {
    /// The owner's sequence number of the request.
    pub seq: u64,
    /// The process that acts for the request.
    pub actor: Actor,
    /// The record as of this step.
    pub record: Record,
    /// Whether nothing has been done for the request yet: the first keeper then checks who else may know the identity.
    pub fresh: bool,
    /// Time left until the client's deadline.
    pub left: Duration,
    /// The bytes of the request; sent with the first step, and again if the keeper does not have them.
    pub request: Option<Bytes>,
}

/// A keeper's decision on a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The step is stored.
    Kept,
    /// The keeper does not have the request's bytes.
    MissingRequest,
    /// Another process acts for this identity.
    Held(Actor),
    /// The request has ended.
    Ended(End),
    /// The identity is in use for a different content.
    Differs,
    /// The keeper is at its limit of entries or bytes, or the request is too large.
    Full,
    /// A successor has taken over from the sender, which may no longer act.
    Superseded(Epoch),
    /// All processes that may have known this identity were lost recently: for this long it is unknown whether it ran.
    Indeterminate(Duration),
}

/// A keeper's reply to a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepReply {
    /// The owner's sequence number of the request.
    pub seq: u64,
    /// The step that the reply is for.
    pub step: u32,
    /// The keeper's decision.
    pub verdict: Verdict,
    /// Processes that have to be asked before the step counts.
    pub ask_also: Vec<ProcessId>,
}

/// A message between proxies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a keeper to store a step.
    Keep(Box<Keep>),
    /// The keeper's reply.
    KeepReply(KeepReply),
    /// Asks whether an identity is known: the sender's sequence number, the identity and the content.
    Find(u64, Identity, Content),
    /// The reply: what is known (`None` for nothing), and which other processes have to be asked.
    FindReply(u64, Option<Verdict>, Vec<ProcessId>),
    /// From a successor: asks for the records kept of an ended process, after the given identity.
    QueryOrphans(u64, Succession, Option<Identity>),
    /// One page of the reply: the query's number, the succession's epoch, the records, and whether more pages follow.
    Orphans(u64, Epoch, Vec<Orphan>, bool),
}

/// A message with its sender and recipient. A message to an earlier process of a name is not accepted by a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: ProcessId,
    /// The recipient.
    pub to: ProcessId,
    /// The message.
    pub message: Message,
}

/// An unfinished request of an owner that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orphan {
    /// The record.
    pub record: Record,
    /// Time left until the client's deadline.
    pub left: Duration,
    /// Another process still had to be asked whether it knows the identity: no attempt was sent.
    pub unverified: bool,
    /// Time for which the group is still guaranteed to drop repeats.
    pub window: Option<Duration>,
    /// The bytes of the request.
    pub request: Bytes,
}

impl Envelope {
    /// Encodes the envelope.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default() // plain data always encodes
    }

    /// Decodes an envelope; `None` for invalid bytes, which are treated as a lost message.
    pub fn decode(bytes: &[u8]) -> Option<Envelope> {
        match postcard::take_from_bytes(bytes) {
            Ok((envelope, [])) => Some(envelope),
            _ => None,
        }
    }
}
