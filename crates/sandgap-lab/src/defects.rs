//! Defects that make a simulated driver break one rule each, to show that the checker detects it. They act in place
//! of the daemon's sockets: the core is unchanged and does not learn what they do.

use serde::{Deserialize, Serialize};

/// A defect of a driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Defect {
    /// Resends every failed attempt, even of unsafe requests.
    Resends,
    /// Keeps sending to servers that drain.
    IgnoresDrains,
    /// Drops the answer of one request in fifty.
    DropsAnswers,
    /// Reports failed requests as refused, although they may have run.
    RefusesRan,
    /// Delays one answer in fifty past its deadline.
    AnswersLate,
    /// Fabricates the answer of one request in fifty.
    Forges,
    /// Sends everything to the newest server.
    PushesCold,
    /// Resends one request in fifty after its answer.
    SendsAfter,
    /// Sends a copy of each request beside its first attempt.
    Copies,
}

/// All defects.
pub const DEFECTS: [Defect; 9] = [
    Defect::Resends,
    Defect::IgnoresDrains,
    Defect::DropsAnswers,
    Defect::RefusesRan,
    Defect::AnswersLate,
    Defect::Forges,
    Defect::PushesCold,
    Defect::SendsAfter,
    Defect::Copies,
];

/// One request in this many is affected by a defect that would mask all others if it affected every request.
pub const SOME: u32 = 50;
