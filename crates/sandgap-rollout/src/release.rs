//! A release: which targets change to what, in waves, and how far that has come. States and what leads from one to
//! another; the ledger keeps them, and a leader proposes.
//!
//! | from | to | by |
//! | --- | --- | --- |
//! | planned | wave 0 | hand |
//! | wave k | soaking k | a leader, once each target of it runs the release and is back |
//! | soaking k | wave k + 1, done | a leader, once the soak is over and the gate has found it good |
//! | wave, soaking | halted | hand, the gate, or no finding in time |
//! | halted | where it was | hand |
//! | wave, soaking, halted, done | going back | hand, or a leader where the plan says so |
//! | going back | went back | a leader, once no target runs the release |

use serde::{Deserialize, Serialize};

use crate::target::Target;

/// What is wanted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Drawn by whoever plans: the same plan that arrives twice counts once.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// What targets run before it, and again after the way back.
    pub from: String,
    /// What they run after it.
    pub to: String,
    /// Targets, wave by wave; the first one is the canary.
    pub waves: Vec<Vec<Target>>,
    /// How long a wave is watched at least, ms.
    pub soak_ms: u64,
    /// How much longer a finding is waited for before the release is halted, ms.
    pub patience_ms: u64,
    /// Failures more, in thousandths of all, that are worth a halt.
    pub margin: u32,
    /// Goes back by itself when the gate has found it bad.
    pub backs: bool,
    /// Who plans.
    pub by: String,
    /// Why.
    pub why: String,
}

impl Plan {
    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.waves.iter().flatten()
    }
}

/// How far it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Nothing has begun.
    Planned,
    /// Targets of this wave go out, change and come back.
    Wave(usize),
    /// All of this wave are back, and watched.
    Soaking(usize),
    /// Nothing more goes out.
    Halted {
        /// Who halted it.
        by: String,
        /// Why.
        why: String,
        /// Where it was.
        wave: usize,
        /// It was going back.
        back: bool,
    },
    /// All that run the release go back.
    GoingBack,
    /// All waves have passed.
    Done,
    /// None runs it any more.
    WentBack,
}

impl Stage {
    /// Whether targets may go out for it.
    pub fn takes_out(&self) -> bool {
        matches!(self, Stage::Wave(_) | Stage::GoingBack)
    }

    /// Whether nothing more comes of it.
    pub fn has_ended(&self) -> bool {
        matches!(self, Stage::Done | Stage::WentBack)
    }

    /// The wave that it is in.
    pub fn wave(&self) -> Option<usize> {
        match self {
            Stage::Wave(k) | Stage::Soaking(k) | Stage::Halted { wave: k, .. } => Some(*k),
            _ => None,
        }
    }
}

impl std::fmt::Display for Stage {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Stage::Planned => write!(f, "planned"),
            Stage::Wave(k) => write!(f, "wave {}", k + 1),
            Stage::Soaking(k) => write!(f, "wave {} is watched", k + 1),
            Stage::Halted { by, why, back: true, .. } => write!(f, "halted on the way back by {by}: {why}"),
            Stage::Halted { by, why, wave, .. } => write!(f, "halted in wave {} by {by}: {why}", wave + 1),
            Stage::GoingBack => write!(f, "going back"),
            Stage::Done => write!(f, "done"),
            Stage::WentBack => write!(f, "went back"),
        }
    }
}

/// A plan and how far it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// What is wanted.
    pub plan: Plan,
    /// How far it is.
    pub stage: Stage,
}

/// A number that tells texts apart (FNV-1a, 64 bits, Fowler, Noll and Vo); no secret.
pub(crate) fn number_of(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
