//! The words that proxies say to each other about work in hand, on one channel of the fleet's links.

use std::rc::Rc;
use std::time::Duration;

use sandgap_agree::lives::{Claim, Epoch, Life};
use serde::{Deserialize, Serialize};

use crate::identity::{Content, Identity};
use crate::record::{End, Record};

/// A request's own bytes, as its front put them.
pub type Bytes = Rc<[u8]>;

/// Who acts for a request: its owner under epoch 0, or an heir under the epoch of its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Actor {
    /// 0 for the owner that took it; of two actors the one with the higher epoch counts.
    pub epoch: Epoch,
    /// Which process.
    pub life: Life,
}

/// What an owner asks a keeper to keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keep {
    /// The owner's number for it.
    pub seq: u64,
    /// Who acts for it.
    pub actor: Actor,
    /// All that is known.
    pub record: Record,
    /// Whether nothing has been done under it yet: then the first keeper looks who else may know the identity.
    pub fresh: bool,
    /// How long its client still waits.
    pub left: Duration,
    /// The request itself; sent with the first step, and again where the keeper lacks it.
    pub request: Option<Bytes>,
}

/// What a keeper says of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It has this step.
    Kept,
    /// It lacks the request's bytes.
    Lacks,
    /// Another acts for this identity.
    Held(Actor),
    /// It has ended so.
    Ended(End),
    /// The identity stands for another content.
    Differs,
    /// There is no room.
    Full,
    /// The one that asks has been followed by another: it acts no more.
    Followed(Epoch),
    /// Everybody who may have known this identity was lost a moment ago: nobody can say whether it ran.
    Blind(Duration),
}

/// A keeper's word on a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// The owner's number.
    pub seq: u64,
    /// The step.
    pub step: u32,
    /// What came of it.
    pub verdict: Verdict,
    /// Who else is to be asked before it counts.
    pub also: Vec<Life>,
}

/// Anything that is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Keep this.
    Keep(Box<Keep>),
    /// What came of it.
    Kept(Heard),
    /// Asks whether an identity is known: a number, and who asks.
    Find(u64, Identity, Content),
    /// What is known: `None` for nothing; and who else is to be asked.
    Found(u64, Option<Verdict>, Vec<Life>),
    /// From an heir: what is kept of a life that ended, after an identity.
    Estate(u64, Claim, Option<Identity>),
    /// A part of that: the question's number, the claim's epoch, and whether there is more.
    Left(u64, Epoch, Vec<Remains>, bool),
}

/// A word, with the processes that say and hear it: what is meant for an earlier process of a name reaches no later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Letter {
    /// Who says it.
    pub from: Life,
    /// Who is to hear it.
    pub to: Life,
    /// What is said.
    pub word: Word,
}

/// One request that an owner left behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remains {
    /// The record.
    pub record: Record,
    /// How long its client still waits.
    pub left: Duration,
    /// Somebody else was still to be asked whether it knows the identity: nothing has gone out for it.
    pub doubtful: bool,
    /// For how long its group still surely drops repeats.
    pub window: Option<Duration>,
    /// The request.
    pub request: Bytes,
}

impl Letter {
    /// The bytes of it.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default() // plain data always encodes
    }

    /// Reads one; bytes that are none are passed over, as lost.
    pub fn decode(bytes: &[u8]) -> Option<Letter> {
        match postcard::take_from_bytes(bytes) {
            Ok((letter, [])) => Some(letter),
            _ => None,
        }
    }
}
