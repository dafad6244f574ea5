//! Drivers that break one rule each, to show that the checks see it. They sit where the daemon's sockets would:
//! the core under them is whole, and what they do it never hears of.

use serde::{Deserialize, Serialize};

/// What is wrong with a driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Defect {
    /// Sends again whatever failed, unsafe requests too.
    Resends,
    /// Goes on sending to servers that drain.
    IgnoresDrains,
    /// Drops the answer of one request in fifty.
    DropsAnswers,
    /// Refuses what may have run.
    RefusesRan,
    /// Holds one answer in fifty back past its deadline.
    AnswersLate,
    /// Makes one answer in fifty up.
    Forges,
    /// Sends everything to the newest server.
    PushesCold,
    /// Sends one request in fifty once more after its answer.
    SendsAfter,
}

/// All of them.
pub const DEFECTS: [Defect; 8] = [
    Defect::Resends,
    Defect::IgnoresDrains,
    Defect::DropsAnswers,
    Defect::RefusesRan,
    Defect::AnswersLate,
    Defect::Forges,
    Defect::PushesCold,
    Defect::SendsAfter,
];

/// One request in so many meets a defect that would otherwise hide all others.
pub const SOME: u32 = 50;
