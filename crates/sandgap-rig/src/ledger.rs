//! The ledger: what each client asked and got, what each backend was sent and ran, what each proxy was told, and
//! whether the four rules held. No I/O; the same records give the same verdict.
//!
//! A ledger never passes on faith: every writer counts its lines apart from the ledger, and a line that is
//! missing, a request without an end or an attempt without one makes the verdict `incomplete`.

use std::collections::BTreeMap;
use std::fmt;

use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::clock::{Micros, quantile_ms};
use crate::limits::{RECORDS, SPELLED};

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

/// The four rules.
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
}

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// What was seen.
    pub what: String,
}

/// What the checks need beside the records.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The effect of each request's class.
    pub effects: Vec<Effect>,
    /// Grace after a drain was told.
    pub grace: Micros,
    /// Added to each time limit: what sockets may cost.
    pub slack: Micros,
    /// Spans in which this machine kept the rig itself waiting.
    pub stalls: Vec<(Micros, Micros)>,
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
    /// Median time of a served answer, ms.
    pub p50_ms: f64,
    /// 99th percentile of it, ms.
    pub p99_ms: f64,
}

/// The end of a run.
#[derive(Clone, Debug, Serialize)]
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

    /// Checks the rules. `written` is what each writer says it wrote, counted apart from this ledger.
    pub fn check(&self, terms: &Terms, written: &BTreeMap<Writer, u64>) -> Verdict {
        let mut check = Check::new(terms);
        for (writer, count) in written {
            let kept = self.kept.get(writer).copied().unwrap_or(0);
            if kept != *count {
                check.incomplete(format!("{writer:?} wrote {count} lines, the ledger has {kept}"));
            }
        }
        self.records.iter().for_each(|r| check.sort(r));
        check.requests();
        check.attempts();
        check.end()
    }
}

/// One asking of a request.
#[derive(Clone, Copy)]
struct Asking {
    proxy: u16,
    at: Micros,
    deadline: Micros,
    end: Option<(Micros, End)>,
}

#[derive(Clone, Copy)]
struct Sent {
    number: u32,
    backend: u16,
    cell: u16,
    proxy: u16,
    first: Micros,
    last: Micros,
    ran: Option<Ran>,
}

struct Check<'a> {
    terms: &'a Terms,
    askings: Vec<Vec<Asking>>,
    sent: Vec<Vec<Sent>>,
    /// Of each attempt, its request and its place there.
    by_number: FxHashMap<u32, (u32, usize)>,
    told: FxHashMap<(u16, u16), Vec<(Micros, bool)>>,
    killed: FxHashMap<u16, Vec<Micros>>,
    paused: FxHashMap<u16, Vec<(Micros, Micros)>>,
    verdict: Verdict,
    latencies: Vec<Micros>,
}

impl<'a> Check<'a> {
    fn new(terms: &'a Terms) -> Self {
        let n = terms.effects.len();
        Check {
            terms,
            askings: vec![Vec::new(); n],
            sent: vec![Vec::new(); n],
            by_number: FxHashMap::default(),
            told: FxHashMap::default(),
            killed: FxHashMap::default(),
            paused: FxHashMap::default(),
            verdict: Verdict {
                figures: Figures::default(),
                breaches: Vec::new(),
                counts: BTreeMap::new(),
                incomplete: Vec::new(),
            },
            latencies: Vec::new(),
        }
    }

    fn incomplete(&mut self, why: String) {
        if self.verdict.incomplete.len() < SPELLED {
            self.verdict.incomplete.push(why);
        }
    }

    fn broken(&mut self, rule: Rule, what: String) {
        *self.verdict.counts.entry(rule).or_default() += 1;
        if self.verdict.breaches.len() < SPELLED {
            self.verdict.breaches.push(Breach { rule, what });
        }
    }

    /// Time that the machine or a pause took from a proxy between two times.
    fn stood(&self, proxy: u16, from: Micros, to: Micros) -> Micros {
        let overlap = |(a, b): &(Micros, Micros)| (*b).min(to).saturating_sub((*a).max(from));
        let paused = self.paused.get(&proxy).map_or(0, |p| p.iter().map(overlap).sum());
        paused + self.terms.stalls.iter().map(overlap).sum::<Micros>()
    }

    fn sort(&mut self, record: &Record) {
        match *record {
            Record::Asked { request, proxy, at, deadline } => match self.askings.get_mut(request as usize) {
                Some(all) => all.push(Asking { proxy, at, deadline, end: None }),
                None => self.incomplete(format!("request {request} was asked and never drawn")),
            },
            Record::Got { request, at, end } => {
                match self.askings.get_mut(request as usize).and_then(|a| a.last_mut()) {
                    Some(last) if last.end.is_none() => last.end = Some((at, end)),
                    Some(_) => self.broken(Rule::NoRequestLost, format!("request {request} ended twice")),
                    None => self.incomplete(format!("request {request} ended and was never asked")),
                }
            }
            Record::Came { attempt, request, backend, cell, proxy, first, last } => {
                let sent = Sent { number: attempt, backend, cell, proxy, first, last, ran: None };
                match request.and_then(|r| Some((r, self.sent.get_mut(r as usize)?))) {
                    Some((r, all)) => {
                        self.by_number.insert(attempt, (r, all.len()));
                        all.push(sent);
                    }
                    None => self.broken(
                        Rule::NoRequestLost,
                        format!("backend {backend} got from proxy {proxy} what no client asked"),
                    ),
                }
                self.verdict.figures.attempts += 1;
            }
            Record::Over { attempt, ran } => match self.by_number.get(&attempt) {
                Some(&(r, i)) => self.sent[r as usize][i].ran = Some(ran),
                None => self.incomplete(format!("attempt {attempt} ended and never came")),
            },
            Record::Told { proxy, backend, up, at } => {
                self.told.entry((proxy, backend)).or_default().push((at, up));
            }
            Record::Killed { proxy, at } => self.killed.entry(proxy).or_default().push(at),
            Record::Paused { proxy, from, to } => self.paused.entry(proxy).or_default().push((from, to)),
            Record::Fell { backend, at } => self.broken(
                Rule::NoColdPushedOver,
                format!("backend {backend} was pushed over at {:.3} s", at as f64 / 1e6),
            ),
        }
    }

    /// Whether the process that was asked died before the answer was due.
    fn died(&self, a: &Asking) -> bool {
        let due = a.deadline + self.terms.slack;
        self.killed.get(&a.proxy).is_some_and(|k| k.iter().any(|at| *at >= a.at && *at <= due))
    }

    fn requests(&mut self) {
        for r in 0..self.askings.len() {
            let askings = std::mem::take(&mut self.askings[r]);
            for (i, a) in askings.iter().enumerate() {
                let next = askings.get(i + 1).map(|n| n.at);
                self.request(r as u32, a, next);
            }
            if !askings.is_empty() {
                self.verdict.figures.asked += 1;
                self.repeats(r as u32, &askings);
            } else if !self.sent[r].is_empty() {
                self.broken(
                    Rule::NoRequestLost,
                    format!("request {r} reached a backend and was never asked"),
                );
            }
        }
    }

    fn request(&mut self, r: u32, a: &Asking, next: Option<Micros>) {
        let Some((at, end)) = a.end else {
            return self.incomplete(format!("request {r} has no end"));
        };
        let lost = |what: &str| format!("request {r} at proxy {}: {what}", a.proxy);
        let late = at.saturating_sub(a.deadline + self.terms.slack);
        let late = late > self.stood(a.proxy, a.at, at);
        let g = &mut self.verdict.figures;
        match end {
            End::Served(_) => g.served += 1,
            End::Refused => g.refused += 1,
            End::Failed => g.failed += 1,
            End::Left => g.left += 1,
            End::Broken | End::Silent | End::Crossed => {}
        }
        match end {
            End::Served(_) | End::Refused | End::Failed if late => {
                let by = (at - a.deadline) as f64 / 1000.0;
                self.broken(Rule::NoRequestLost, lost(&format!("{end:?} {by:.0} ms after its deadline")));
            }
            End::Served(stamp) => {
                self.latencies.push(at - a.at);
                let made = stamp.and_then(|s| self.by_number.get(&s)).filter(|(of, _)| *of == r);
                match made.map(|&(_, i)| self.sent[r as usize][i].ran) {
                    Some(Some(Ran::Answered)) => {}
                    _ => self.broken(Rule::NoRequestLost, lost("served with what no backend made for it")),
                }
            }
            End::Broken | End::Silent if self.died(a) || self.stood(a.proxy, a.at, at) > 0 => {
                self.verdict.figures.excused += 1;
            }
            End::Broken => self.broken(Rule::NoRequestLost, lost("its connection ended without an answer")),
            End::Silent => self.broken(Rule::NoRequestLost, lost("no answer")),
            // A proxy that had read it, for a backend knows of it, has lost it.
            End::Crossed => {
                let until = next.unwrap_or(at);
                let read = self.sent[r as usize]
                    .iter()
                    .any(|s| s.proxy == a.proxy && s.first >= a.at && s.first < until);
                if read && !self.died(a) {
                    self.broken(Rule::NoRequestLost, lost("sent on, then dropped"));
                }
            }
            End::Refused | End::Failed | End::Left => {}
        }
    }

    /// What a request's attempts did, against its class and its end.
    fn repeats(&mut self, r: u32, askings: &[Asking]) {
        let effect = self.terms.effects[r as usize];
        let mut sent = self.sent[r as usize].clone();
        sent.sort_by_key(|s| s.first);
        let ran: Vec<&Sent> = sent.iter().filter(|s| s.ran != Some(Ran::Never)).collect();
        // What a process held when it died is its client's to ask again: only its own attempts are held together.
        let dead = |s: &Sent| {
            let asking = askings.iter().rev().find(|a| a.proxy == s.proxy && a.at <= s.last);
            asking.filter(|a| self.died(a)).map(|a| a.at)
        };
        let mut groups: BTreeMap<Option<Micros>, Vec<&Sent>> = BTreeMap::new();
        ran.iter().for_each(|s| groups.entry(dead(s)).or_default().push(s));
        let last = askings.last().expect("asked at least once");
        let refused = matches!(last.end, Some((_, End::Refused)));
        let own = groups.get(&None).is_some_and(|g| !g.is_empty());
        if refused && effect != Effect::Safe && own {
            self.broken(Rule::NothingTwice, format!("request {r} was refused and may have run"));
        }
        for group in groups.values() {
            self.group(r, effect, group);
        }
        if let Some((at, End::Served(_) | End::Refused | End::Failed)) = last.end {
            for s in &sent {
                let limit = at + self.terms.slack + self.stood(s.proxy, at, s.first);
                if s.first > limit {
                    let by = (s.first - at) as f64 / 1000.0;
                    let text =
                        format!("request {r} went to backend {} {by:.0} ms after its answer", s.backend);
                    self.broken(Rule::NoRequestLost, text);
                }
            }
        }
    }

    /// Attempts that may have run, of one responsibility, in the order of their sends.
    fn group(&mut self, r: u32, effect: Effect, ran: &[&Sent]) {
        for pair in ran.windows(2) {
            let (a, b) = (pair[0], pair[1]);
            let again = match effect {
                Effect::Safe => None,
                Effect::Unsafe => Some("though it must never run twice"),
                Effect::Keyed(_) if b.cell != ran[0].cell => Some("in another cell"),
                Effect::Keyed(window) if b.first > ran[0].first + window + self.terms.slack => {
                    Some("after its repeats are forgotten")
                }
                Effect::Keyed(_) => None,
            };
            if let Some(why) = again {
                let text = format!("request {r} ran at backends {} and {} {why}", a.backend, b.backend);
                self.broken(Rule::NothingTwice, text);
            }
        }
    }

    fn attempts(&mut self) {
        let all: Vec<(usize, Sent)> =
            self.sent.iter().enumerate().flat_map(|(r, s)| s.iter().map(move |s| (r, *s))).collect();
        for (r, s) in all {
            if s.ran.is_none() {
                self.incomplete(format!("attempt {} of request {r} has no end", s.number));
            }
            debug_assert!(s.first <= s.last);
            let Some(told) = self.told.get(&(s.proxy, s.backend)) else {
                self.broken(Rule::DrainsKept, format!("proxy {} was never told of {}", s.proxy, s.backend));
                continue;
            };
            // The news in force when it was sent, and since when what it said was so.
            let before = told.iter().filter(|(at, _)| *at <= s.first);
            let since = before.fold(None, |since: Option<(Micros, bool)>, &(at, up)| match since {
                Some((_, was)) if was == up => since,
                _ => Some((at, up)),
            });
            if let Some((at, false)) = since {
                let limit = at + self.terms.grace + self.terms.slack + self.stood(s.proxy, at, s.first);
                if s.first > limit {
                    let by = (s.first - at) as f64 / 1000.0;
                    let text = format!(
                        "proxy {} sent request {r} to backend {} {by:.0} ms after its drain was told",
                        s.proxy, s.backend
                    );
                    self.broken(Rule::DrainsKept, text);
                }
            }
        }
    }

    fn end(mut self) -> Verdict {
        self.latencies.sort_unstable();
        let at = |q| quantile_ms(&self.latencies, q).unwrap_or(0.0);
        (self.verdict.figures.p50_ms, self.verdict.figures.p99_ms) = (at(0.5), at(0.99));
        self.verdict
    }
}

#[cfg(test)]
mod tests;
