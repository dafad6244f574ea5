//! The ledger of a run: what each client requested and received, what each backend received and executed, what discovery told
//! each proxy, and whether the four rules held. No I/O; the same records give the same verdict.
//!
//! A missing record can't turn into a pass: every writer counts its records independently of the ledger, and a record that is
//! missing, or a request or an attempt without an end, makes the verdict `incomplete`.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::checker::{Checker, History, Sent, Submission, Terms};
use crate::limits::MAX_RECORDS;
use crate::record::{Effect, Record, Rule, Verdict, Writer};

/// All records of a run.
#[derive(Default)]
pub struct Ledger {
    records: Vec<Record>,
    kept: BTreeMap<Writer, u64>,
    lose_every: Option<u64>,
    offered: u64,
}

impl Ledger {
    /// For tests: a ledger that loses every n-th record, to show that the verdict reports it.
    pub fn losing_every(n: u64) -> Self {
        Ledger { lose_every: Some(n), ..Ledger::default() }
    }

    /// Adds a record. Beyond the bound it is lost, and the verdict reports that.
    pub fn put(&mut self, writer: Writer, record: Record) {
        self.offered += 1;
        if self.records.len() >= MAX_RECORDS
            || self.lose_every.is_some_and(|n| self.offered.is_multiple_of(n))
        {
            return;
        }
        *self.kept.entry(writer).or_default() += 1;
        self.records.push(record);
    }

    /// Checks the rules. `effects` holds the effect of each request by its number, `written` the number of records that each
    /// writer wrote, counted independently of this ledger.
    pub fn check(&self, effects: &[Effect], terms: &Terms, written: &BTreeMap<Writer, u64>) -> Verdict {
        let mut check = LedgerCheck::new(effects, terms);
        for (writer, count) in written {
            let kept = self.kept.get(writer).copied().unwrap_or(0);
            if kept != *count {
                check
                    .checker
                    .verdict
                    .incomplete(format!("{writer:?} wrote {count} records, the ledger has {kept}"));
            }
        }
        self.records.iter().for_each(|r| check.add(r));
        for (r, history) in check.histories.iter().enumerate() {
            check.checker.request(r as u32, history);
        }
        check.checker.verdict()
    }
}

/// The records of a ledger, grouped by request.
struct LedgerCheck {
    histories: Vec<History>,
    /// For each attempt, its request and its index in that request's history.
    by_attempt: FxHashMap<u32, (u32, usize)>,
    checker: Checker,
}

impl LedgerCheck {
    fn new(effects: &[Effect], terms: &Terms) -> Self {
        let histories = effects.iter().map(|e| History::new(*e)).collect();
        LedgerCheck { histories, by_attempt: FxHashMap::default(), checker: Checker::new(terms.clone()) }
    }

    fn add(&mut self, record: &Record) {
        let verdict = &mut self.checker.verdict;
        match *record {
            Record::Submitted { request, proxy, at, deadline } => {
                match self.histories.get_mut(request as usize) {
                    Some(h) => h.submissions.push(Submission { proxy, at, deadline, end: None }),
                    None => verdict.incomplete(format!("request {request} was sent and is not in the plan")),
                }
            }
            Record::Finished { request, at, end } => {
                match self.histories.get_mut(request as usize).and_then(|h| h.submissions.last_mut()) {
                    Some(last) if last.end.is_none() => last.end = Some((at, end)),
                    Some(_) => verdict.broken(
                        Rule::NoRequestLost,
                        Some(request),
                        format!("request {request} ended twice"),
                    ),
                    None => verdict.incomplete(format!("request {request} ended and was never sent")),
                }
            }
            Record::AttemptReceived { attempt, request, backend, cell, proxy, first, last, told } => {
                let (ran, out_until) = (None, None);
                let sent = Sent { number: attempt, backend, cell, proxy, first, last, told, ran, out_until };
                match request.and_then(|r| Some((r, self.histories.get_mut(r as usize)?))) {
                    Some((r, history)) => {
                        self.by_attempt.insert(attempt, (r, history.sent.len()));
                        history.sent.push(sent);
                    }
                    None => {
                        let what = format!(
                            "backend {backend} received a request from proxy {proxy} that no client sent"
                        );
                        verdict.broken(Rule::NoRequestLost, None, what);
                        verdict.figures.attempts += 1;
                    }
                }
            }
            Record::AttemptEnded { attempt, ran, out_until } => match self.by_attempt.get(&attempt) {
                Some(&(r, i)) => {
                    let sent = &mut self.histories[r as usize].sent[i];
                    (sent.ran, sent.out_until) = (Some(ran), out_until);
                }
                None => verdict.incomplete(format!("attempt {attempt} ended and was never received")),
            },
            Record::HealthTold { proxy, backend, up, at } => {
                self.checker.proxies.health_told(proxy, backend, up, at)
            }
            Record::ProxyKilled { proxy, at } => self.checker.proxies.killed(proxy, at),
            Record::ProxyPaused { proxy, from, to } => self.checker.proxies.paused(proxy, from, to),
            Record::BackendOverloaded { backend, at } => self.checker.backend_overloaded(backend, at),
        }
    }
}

#[cfg(test)]
mod tests;
