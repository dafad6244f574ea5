//! A release: which targets change to which version, in waves, and its current stage. The ledger stores and checks the
//! stage; a leader proposes transitions.
//!
//! | from | to | by |
//! | --- | --- | --- |
//! | planned | wave 0 | operator |
//! | wave k | soaking k | leader, once each target of the wave runs the release and is back |
//! | soaking k | wave k + 1, done | leader, once the soak is over and the gate reports good, or no target runs the old version |
//! | wave, soaking | halted | operator, the gate, or no finding in time |
//! | halted | wave k or going back, as before | operator |
//! | wave, soaking, halted, done | going back | operator, or leader if the plan allows it |
//! | going back | went back | leader, once no target runs the release |

use serde::{Deserialize, Serialize};

use crate::target::Target;

/// Plan of a release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Id chosen by the client; a duplicate plan with the same id has no further effect.
    pub id: u64,
    /// Name of the release.
    pub name: String,
    /// Version that targets run before the release and after a rollback.
    pub from: String,
    /// Version that targets run after the release.
    pub to: String,
    /// Targets of each wave; the first wave is the canary.
    pub waves: Vec<Vec<Target>>,
    /// Minimum soak time of a wave, ms.
    pub soak_ms: u64,
    /// Time to wait for a finding after the soak before the release is halted, ms.
    pub patience_ms: u64,
    /// Increase of the failure rate that warrants a halt, in per mille of attempts.
    pub margin: u32,
    /// Rolls back automatically when the gate reports bad.
    pub auto_rollback: bool,
    /// Name of the operator.
    pub by: String,
    /// Reason.
    pub why: String,
}

impl Plan {
    /// All targets of all waves.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.waves.iter().flatten()
    }
}

/// Stage of a release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Not started.
    Planned,
    /// Targets of this wave are taken out, changed and returned.
    Wave(usize),
    /// All targets of this wave are back and under observation.
    Soaking(usize),
    /// Halted; no further targets are taken out.
    Halted {
        /// Who halted the release.
        by: String,
        /// Reason.
        why: String,
        /// Wave in which it was halted.
        wave: usize,
        /// Whether it was halted during a rollback.
        back: bool,
    },
    /// Targets that run the release are rolled back.
    RollingBack,
    /// All waves are complete.
    Done,
    /// The rollback is complete; no target runs the release.
    RolledBack,
}

impl Stage {
    /// Whether targets may be taken out in this stage.
    pub fn takes_out(&self) -> bool {
        matches!(self, Stage::Wave(_) | Stage::RollingBack)
    }

    /// Whether the release has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self, Stage::Done | Stage::RolledBack)
    }

    /// The current wave, or the one in which it was halted.
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
            Stage::RollingBack => write!(f, "going back"),
            Stage::Done => write!(f, "done"),
            Stage::RolledBack => write!(f, "went back"),
        }
    }
}

/// A plan and its current stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The plan.
    pub plan: Plan,
    /// Current stage.
    pub stage: Stage,
}

/// Non-cryptographic hash of a text (64-bit FNV-1a by Fowler, Noll and Vo).
pub(crate) fn hash_text(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
