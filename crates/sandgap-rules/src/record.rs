//! What is written down of a run, and what is said of it in the end.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::Micros;
use crate::limits::SPELLED;

/// Whether a class may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// As often as one likes.
    Safe,
    /// Within one cell, for this span from the first attempt's send.
    Keyed(Micros),
    /// Never.
    Unsafe,
}

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// 200, and the attempt that its body names, if it names one.
    Served(Option<u32>),
    /// 429 or 503.
    Refused,
    /// Any other whole answer.
    Failed,
    /// The connection ended with no answer or a part of one.
    Broken,
    /// Nothing had come when the client gave up waiting, well past its deadline.
    Silent,
    /// The client left before its answer.
    Left,
    /// The connection, used before, ended without a byte: the client may send once more.
    Crossed,
}

/// How an attempt ended at its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The whole answer was written.
    Answered,
    /// It ran, or is held to have run: failed, cut, reset, hung.
    Perhaps,
    /// Turned away unseen, and said so.
    Never,
}

/// One line.
#[derive(Clone, Copy, Debug)]
pub enum Record {
    /// A client has written a request's last byte.
    Asked {
        /// The request.
        request: u32,
        /// Which proxy and which process of it.
        proxy: u16,
        /// When.
        at: Micros,
        /// When the client gives up.
        deadline: Micros,
    },
    /// A client has an end to what it asked last.
    Got {
        /// The request.
        request: u32,
        /// When.
        at: Micros,
        /// Which.
        end: End,
    },
    /// A backend has read a request's last byte.
    Came {
        /// Numbered over all backends.
        attempt: u32,
        /// The request, if a client sent it.
        request: Option<u32>,
        /// The backend.
        backend: u16,
        /// Its cell.
        cell: u16,
        /// From which proxy.
        proxy: u16,
        /// When its first byte came; what lay unread in a black hole counts from the hole's start.
        first: Micros,
        /// When its last byte came.
        last: Micros,
        /// How long it was told that the client waits, if it was.
        told: Option<Micros>,
    },
    /// An attempt has ended at its backend.
    Over {
        /// The attempt.
        attempt: u32,
        /// How.
        ran: Ran,
    },
    /// Discovery has written news of a backend to a proxy.
    Told {
        /// The proxy.
        proxy: u16,
        /// The backend.
        backend: u16,
        /// Whether it may get something new.
        up: bool,
        /// When.
        at: Micros,
    },
    /// A proxy's process has been killed; what it held is its clients' to ask again.
    Killed {
        /// The proxy.
        proxy: u16,
        /// When the signal went out.
        at: Micros,
    },
    /// A proxy's process stood still for a while.
    Paused {
        /// The proxy.
        proxy: u16,
        /// From.
        from: Micros,
        /// Until.
        to: Micros,
    },
    /// A cold backend was pushed over.
    Fell {
        /// The backend.
        backend: u16,
        /// When.
        at: Micros,
    },
}

/// Who writes; each counts its own lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Writer {
    /// The clients.
    Clients,
    /// The backends.
    Backends,
    /// Discovery.
    Discovery,
    /// Whoever runs the scenario.
    Runner,
}

/// The four rules, and what goes with the first of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One final answer, in time, and nothing goes out afterwards.
    NoRequestLost,
    /// Nothing runs again, or is refused, against its class.
    NothingTwice,
    /// Nothing new later than the grace after a drain was told.
    DrainsKept,
    /// No cold backend is pushed over.
    NoColdPushedOver,
    /// A backend is told no more time than the client has left.
    DeadlinesPassedOn,
}

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// Whose, where it is one request's.
    pub request: Option<u32>,
    /// What was seen.
    pub what: String,
}

/// What became of the requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests that a proxy took.
    pub asked: u32,
    /// Served.
    pub served: u32,
    /// Refused.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// The client left first.
    pub left: u32,
    /// Held by a proxy when it was killed or stood still.
    pub excused: u32,
    /// Attempts that backends got.
    pub attempts: u32,
    /// Median time of a served answer, ms, to three digits.
    pub p50_ms: f64,
    /// 99th percentile of it, ms, to three digits.
    pub p99_ms: f64,
}

/// The end of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Figures.
    pub figures: Figures,
    /// Broken rules, the first of them spelled out.
    pub breaches: Vec<Breach>,
    /// How often each rule was broken.
    pub counts: BTreeMap<Rule, usize>,
    /// Why the ledger can't tell; empty where it can.
    pub incomplete: Vec<String>,
}

impl Verdict {
    /// Notes a broken rule; the first ones are spelled out, all are counted.
    pub(crate) fn broken(&mut self, rule: Rule, request: Option<u32>, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < SPELLED {
            self.breaches.push(Breach { rule, request, what });
        }
    }

    /// Notes why the records are not enough for a verdict.
    pub(crate) fn incomplete(&mut self, why: String) {
        if self.incomplete.len() < SPELLED {
            self.incomplete.push(why);
        }
    }

    /// Whether all four rules were seen to hold.
    pub fn passes(&self) -> bool {
        self.counts.is_empty() && self.incomplete.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let g = &self.figures;
        writeln!(
            f,
            "asked {}  served {}  refused {}  failed {}  left {}  excused {}  attempts {}  p50 {:.1} ms  p99 {:.1} ms",
            g.asked, g.served, g.refused, g.failed, g.left, g.excused, g.attempts, g.p50_ms, g.p99_ms
        )?;
        self.incomplete.iter().try_for_each(|i| writeln!(f, "incomplete: {i}"))?;
        self.breaches.iter().try_for_each(|b| writeln!(f, "broken {:?}: {}", b.rule, b.what))?;
        let total: usize = self.counts.values().sum();
        if total > self.breaches.len() {
            writeln!(f, "... and {} more", total - self.breaches.len())?;
        }
        write!(
            f,
            "verdict: {}",
            if self.passes() {
                "all four rules held"
            } else if self.counts.is_empty() {
                "INCOMPLETE"
            } else {
                "BROKEN"
            }
        )
    }
}
