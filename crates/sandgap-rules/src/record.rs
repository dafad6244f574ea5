//! The records of a run and its verdict.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::Micros;
use crate::limits::MAX_DETAILS;

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Within one cell, for this span after the first attempt was sent.
    Keyed(Micros),
    /// At most once.
    Unsafe,
}

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Status 200, and the attempt that the body names, if it names one.
    Served(Option<u32>),
    /// Status 429 or 503.
    Refused,
    /// A complete response with any other status.
    Failed,
    /// The connection ended without a response or within one.
    Broken,
    /// No response had arrived when the client stopped waiting, well past its deadline.
    NoResponse,
    /// The client left before the response.
    Left,
    /// A reused connection was closed before a byte of the response arrived: the client may send the request again.
    ClosedBeforeResponse,
}

/// How an attempt ended at its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole response was written.
    Answered,
    /// It ran, or has to be assumed to have run: failed, cut off, reset or hung.
    MayHaveRun,
    /// Rejected without processing, with a response that says so.
    NotProcessed,
}

/// An observation.
#[derive(Clone, Copy, Debug)]
pub enum Record {
    /// A client has written the last byte of a request.
    Submitted {
        /// The request.
        request: u32,
        /// Which proxy, and which process of it.
        proxy: u16,
        /// When the client began to write it.
        at: Micros,
        /// When the client gives up.
        deadline: Micros,
    },
    /// The client's last submission of a request has ended.
    Finished {
        /// The request.
        request: u32,
        /// When it happened.
        at: Micros,
        /// How it ended.
        end: End,
    },
    /// A backend has read the last byte of a request.
    AttemptReceived {
        /// The attempt's number, unique over all backends.
        attempt: u32,
        /// The request; `None` if no client sent it.
        request: Option<u32>,
        /// The backend.
        backend: u16,
        /// The backend's cell.
        cell: u16,
        /// The proxy that sent it.
        proxy: u16,
        /// When its first byte arrived; data that a black hole left unread counts from the start of that fault.
        first: Micros,
        /// When its last byte was read.
        last: Micros,
        /// The remaining time that the proxy passed on to the backend, if it did.
        told: Option<Micros>,
    },
    /// An attempt has ended at its backend.
    AttemptEnded {
        /// The attempt.
        attempt: u32,
        /// Whether it ran.
        ran: AttemptEnd,
        /// Until when it was out on an open connection, if its backend has seen that.
        out_until: Option<Micros>,
    },
    /// Discovery has told a proxy the health of a backend.
    HealthTold {
        /// The proxy.
        proxy: u16,
        /// The backend.
        backend: u16,
        /// Whether the backend may receive new requests.
        up: bool,
        /// When it happened.
        at: Micros,
    },
    /// A proxy's process was killed; the clients have to repeat the requests that it held.
    ProxyKilled {
        /// The proxy.
        proxy: u16,
        /// When the signal was sent.
        at: Micros,
    },
    /// A proxy's process was suspended for a while.
    ProxyPaused {
        /// The proxy.
        proxy: u16,
        /// When the pause began.
        from: Micros,
        /// When it ended.
        to: Micros,
    },
    /// A cold backend failed from overload.
    BackendOverloaded {
        /// The backend.
        backend: u16,
        /// When it happened.
        at: Micros,
    },
}

/// A source of records; each counts the records that it writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Writer {
    /// The clients.
    Clients,
    /// The backends.
    Backends,
    /// Discovery.
    Discovery,
    /// The scenario's runner.
    Runner,
}

/// The four rules, and the deadlines passed on to backends, which belong to the first rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request gets one final response in time, and no attempt starts after it.
    NoRequestLost,
    /// No request is executed again, or refused after it may have run, against its class, and no more attempts of it are out
    /// at once than are permitted.
    NothingTwice,
    /// No new attempt goes to a backend later than the grace after the proxy was told of its drain.
    DrainsKept,
    /// No cold backend is overloaded.
    NoColdPushedOver,
    /// A proxy passes on no more time to a backend than the client has left.
    DeadlinesPassedOn,
}

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// The request, if the breach concerns a single one.
    pub request: Option<u32>,
    /// Description of the breach.
    pub what: String,
}

/// Counts of the requests' outcomes, and response times.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests that clients sent to a proxy.
    pub asked: u32,
    /// Submissions that were served.
    pub served: u32,
    /// Submissions that were refused.
    pub refused: u32,
    /// Submissions that failed.
    pub failed: u32,
    /// Submissions whose client left before the response.
    pub left: u32,
    /// Submissions without a response because the proxy was killed or suspended, or the machine stalled.
    pub excused: u32,
    /// Attempts that backends received.
    pub attempts: u32,
    /// Median response time of served requests, ms, to three digits.
    pub p50_ms: f64,
    /// 99th percentile of the response time of served requests, ms, to three digits.
    pub p99_ms: f64,
}

/// The result of checking a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Counts and response times.
    pub figures: Figures,
    /// Descriptions of the first breaches, up to a limit.
    pub breaches: Vec<Breach>,
    /// Number of breaches of each rule.
    pub counts: BTreeMap<Rule, usize>,
    /// Why the records are not sufficient for a verdict; empty if they are.
    pub incomplete: Vec<String>,
}

impl Verdict {
    /// Adds a breach; only the first ones keep their description, all are counted.
    pub(crate) fn broken(&mut self, rule: Rule, request: Option<u32>, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < MAX_DETAILS {
            self.breaches.push(Breach { rule, request, what });
        }
    }

    /// Adds a reason why the records are not sufficient for a verdict.
    pub(crate) fn incomplete(&mut self, why: String) {
        if self.incomplete.len() < MAX_DETAILS {
            self.incomplete.push(why);
        }
    }

    /// Whether the records are sufficient and no rule was broken.
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
