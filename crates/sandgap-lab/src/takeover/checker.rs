//! Checks what backends ran against what clients were told.

use std::fmt;

use sandgap_takeover::Effect;

use crate::agree::checker::quantile_ms;
use crate::calendar::Nanos;

/// Violations that the summary prints in full; the rest are only counted.
const MAX_LISTED: usize = 8;

/// What a client was told about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// The answer of a run, by the answer's number.
    Answer(u64),
    /// It may have run; the fleet can't tell.
    Unknown,
    /// It never ran and never will; that was recorded.
    Refused,
    /// Nothing is known: the client may retry.
    Retry,
}

/// One request as its client and the backends see it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its effect: whether it may run more than once.
    pub effect: Effect,
    /// How often it took effect at a backend.
    pub runs: u32,
    /// The final result that its client has been told.
    pub result: Option<ClientResult>,
    /// Tries of its client so far.
    pub tries: u32,
    /// The process at which its client waits, and the number of that try.
    pub waiting_at: Option<(usize, u32)>,
    /// The last try to which its client was told that it never ran.
    pub refused_on_try: Option<u32>,
    /// When its owner was killed while the keepers had its record.
    pub orphaned_at: Option<Nanos>,
    /// Whether a successor has resumed it after that.
    pub resumed: bool,
}

/// Results of one or more runs.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Number of runs.
    pub runs: u64,
    /// Violations, each with its seed.
    pub violations: Vec<(u64, String)>,
    /// Number of requests.
    pub requests: u64,
    /// Requests that got an answer.
    pub answered: u64,
    /// Requests whose client was told that the result is unknown.
    pub unknown: u64,
    /// Requests with a record at the keepers whose owner was killed while it worked on them.
    pub orphaned: u64,
    /// Of these, requests that got their answer.
    pub orphaned_answered: u64,
    /// Of these, requests that ended as unknown.
    pub orphaned_unknown: u64,
    /// Time from the kill until a successor resumed the request, ns.
    pub takeover_delays: Vec<Nanos>,
    /// Takeover messages sent between proxies.
    pub messages: u64,
    /// Bytes of these messages.
    pub bytes: u64,
}

impl Findings {
    /// Adds the findings of two runs.
    #[must_use]
    pub fn merge(mut self, other: Findings) -> Findings {
        self.runs += other.runs;
        self.violations.extend(other.violations);
        self.requests += other.requests;
        self.answered += other.answered;
        self.unknown += other.unknown;
        self.orphaned += other.orphaned;
        self.orphaned_answered += other.orphaned_answered;
        self.orphaned_unknown += other.orphaned_unknown;
        self.takeover_delays.extend(other.takeover_delays);
        self.messages += other.messages;
        self.bytes += other.bytes;
        self
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let percent = |n: u64, total: u64| 100.0 * n as f64 / total.max(1) as f64;
        writeln!(
            f,
            "{} runs, {} requests: {:.2}% answered, {:.3}% unknown; {} messages of {:.0} bytes between proxies",
            self.runs,
            self.requests,
            percent(self.answered, self.requests),
            percent(self.unknown, self.requests),
            self.messages,
            self.bytes as f64 / self.messages.max(1) as f64
        )?;
        writeln!(
            f,
            "{} recorded requests lost their owner: {:.2}% got their answer, {:.2}% unknown; until resumed p50 {:.0}, p99 {:.0} ms",
            self.orphaned,
            percent(self.orphaned_answered, self.orphaned),
            percent(self.orphaned_unknown, self.orphaned),
            quantile_ms(&self.takeover_delays, 0.5),
            quantile_ms(&self.takeover_delays, 0.99)
        )?;
        write!(f, "{} violations", self.violations.len())?;
        self.violations
            .iter()
            .take(MAX_LISTED)
            .try_for_each(|(seed, what)| write!(f, "\n  seed {seed}: {what}"))
    }
}

/// Tracks every request.
#[derive(Default)]
pub struct Checker {
    /// All requests, by number.
    pub requests: Vec<Request>,
    /// Descriptions of what broke the rules.
    pub violations: Vec<String>,
}

impl Checker {
    /// Records that a request took effect at a backend.
    pub fn record_run(&mut self, n: usize, origin: &str) {
        let request = &mut self.requests[n];
        request.runs += 1;
        if request.effect != Effect::Safe && request.runs > 1 {
            self.violations.push(format!("request {n} ({:?}) took effect twice ({origin})", request.effect));
        }
        if request.effect != Effect::Safe && request.refused_on_try == Some(request.tries) {
            self.violations
                .push(format!("request {n} took effect after its client had been told that it never would"));
        }
    }

    /// Records what a client was told, and checks it against earlier results and the request's runs.
    pub fn record_result(&mut self, n: usize, result: ClientResult) {
        let request = &mut self.requests[n];
        if result == ClientResult::Retry {
            return;
        }
        if result == ClientResult::Refused {
            request.refused_on_try = Some(request.tries);
            if request.runs > 0 && request.effect != Effect::Safe {
                self.violations.push(format!("request {n} was reported as never run, but it had run"));
            }
            return;
        }
        let safe = request.effect == Effect::Safe;
        let differs = request.result.is_some_and(|before| before != result);
        if differs && !safe {
            self.violations
                .push(format!("the client of request {n} was told {:?} and {result:?}", request.result));
        }
        request.result = Some(result);
    }

    /// Adds the requests and violations of a run to its findings.
    pub fn finish(self, seed: u64, found: &mut Findings) {
        for request in &self.requests {
            let answered = matches!(request.result, Some(ClientResult::Answer(_)));
            let unknown = request.result == Some(ClientResult::Unknown);
            found.requests += 1;
            found.answered += u64::from(answered);
            found.unknown += u64::from(unknown);
            if request.orphaned_at.is_some() {
                found.orphaned += 1;
                found.orphaned_answered += u64::from(answered);
                found.orphaned_unknown += u64::from(unknown);
            }
        }
        found.violations = self.violations.into_iter().map(|b| (seed, b)).collect();
    }
}
