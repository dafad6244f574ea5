//! The ledger: what each client asked and got, what each backend was sent and ran, what each proxy was told, and
//! whether the four rules held. No I/O; the same records give the same verdict.
//!
//! A ledger never passes on faith: every writer counts its lines apart from the ledger, and a line that is
//! missing, a request without an end or an attempt without one makes the verdict `incomplete`.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::judge::{Asking, History, Judge, Sent, Terms};
use crate::limits::RECORDS;
use crate::record::{Effect, Record, Rule, Verdict, Writer};

/// All lines of a run.
#[derive(Default)]
pub struct Ledger {
    records: Vec<Record>,
    kept: BTreeMap<Writer, u64>,
    lose_every: Option<u64>,
    offered: u64,
}

impl Ledger {
    /// For tests: a ledger that loses every so many lines, to show that its verdict says so.
    pub fn that_loses(every: u64) -> Self {
        Ledger { lose_every: Some(every), ..Ledger::default() }
    }

    /// Adds a line; past the bound it is lost, and the verdict says so.
    pub fn put(&mut self, writer: Writer, record: Record) {
        self.offered += 1;
        if self.records.len() >= RECORDS || self.lose_every.is_some_and(|n| self.offered.is_multiple_of(n)) {
            return;
        }
        *self.kept.entry(writer).or_default() += 1;
        self.records.push(record);
    }

    /// Checks the rules. `effects` are those of the requests by their numbers; `written` is what each writer
    /// says it wrote, counted apart from this ledger.
    pub fn check(&self, effects: &[Effect], terms: &Terms, written: &BTreeMap<Writer, u64>) -> Verdict {
        let mut check = Check::new(effects, terms);
        for (writer, count) in written {
            let kept = self.kept.get(writer).copied().unwrap_or(0);
            if kept != *count {
                check
                    .judge
                    .verdict
                    .incomplete(format!("{writer:?} wrote {count} lines, the ledger has {kept}"));
            }
        }
        self.records.iter().for_each(|r| check.sort(r));
        for (r, history) in check.histories.iter().enumerate() {
            check.judge.request(r as u32, history);
        }
        check.judge.verdict()
    }
}

/// The records of a ledger, sorted by request.
struct Check {
    histories: Vec<History>,
    /// Of each attempt, its request and its place there.
    by_number: FxHashMap<u32, (u32, usize)>,
    judge: Judge,
}

impl Check {
    fn new(effects: &[Effect], terms: &Terms) -> Self {
        let histories = effects.iter().map(|e| History::new(*e)).collect();
        Check { histories, by_number: FxHashMap::default(), judge: Judge::new(terms.clone()) }
    }

    fn sort(&mut self, record: &Record) {
        let verdict = &mut self.judge.verdict;
        match *record {
            Record::Asked { request, proxy, at, deadline } => {
                match self.histories.get_mut(request as usize) {
                    Some(h) => h.askings.push(Asking { proxy, at, deadline, end: None }),
                    None => verdict.incomplete(format!("request {request} was asked and never drawn")),
                }
            }
            Record::Got { request, at, end } => {
                match self.histories.get_mut(request as usize).and_then(|h| h.askings.last_mut()) {
                    Some(last) if last.end.is_none() => last.end = Some((at, end)),
                    Some(_) => verdict.broken(
                        Rule::NoRequestLost,
                        Some(request),
                        format!("request {request} ended twice"),
                    ),
                    None => verdict.incomplete(format!("request {request} ended and was never asked")),
                }
            }
            Record::Came { attempt, request, backend, cell, proxy, first, last, told } => {
                let sent = Sent { number: attempt, backend, cell, proxy, first, last, told, ran: None };
                match request.and_then(|r| Some((r, self.histories.get_mut(r as usize)?))) {
                    Some((r, history)) => {
                        self.by_number.insert(attempt, (r, history.sent.len()));
                        history.sent.push(sent);
                    }
                    None => {
                        let what = format!("backend {backend} got from proxy {proxy} what no client asked");
                        verdict.broken(Rule::NoRequestLost, None, what);
                        verdict.figures.attempts += 1;
                    }
                }
            }
            Record::Over { attempt, ran } => match self.by_number.get(&attempt) {
                Some(&(r, i)) => self.histories[r as usize].sent[i].ran = Some(ran),
                None => verdict.incomplete(format!("attempt {attempt} ended and never came")),
            },
            Record::Told { proxy, backend, up, at } => self.judge.news.told(proxy, backend, up, at),
            Record::Killed { proxy, at } => self.judge.news.killed(proxy, at),
            Record::Paused { proxy, from, to } => self.judge.news.paused(proxy, from, to),
            Record::Fell { backend, at } => self.judge.fell(backend, at),
        }
    }
}

#[cfg(test)]
mod tests;
