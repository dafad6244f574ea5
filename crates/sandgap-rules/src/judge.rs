//! The four rules, one request's history at a time.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::Micros;
use crate::latencies::Latencies;
use crate::record::{Effect, End, Ran, Rule, Verdict};

/// What a backend may be told beyond what its client has left, by the operators' terms.
const TOLD_SLACK: Micros = 150_000;

/// What the rules need beside the records.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Grace after a drain was told.
    pub grace: Micros,
    /// Added to each time limit: what sockets may cost.
    pub slack: Micros,
    /// Spans in which this machine kept the observer itself waiting.
    pub stalls: Vec<(Micros, Micros)>,
    /// Nothing is sent later than this after its client has left; `None` where a proxy can't always hear of it.
    pub after_leaving: Option<Micros>,
    /// A proxy that stood still may go on by what it knew before: so in a model that has no sockets to be read first.
    pub pauses_excuse: bool,
}

/// One asking of a request.
#[derive(Clone, Copy, Debug)]
pub struct Asking {
    /// Which proxy, and which process of it.
    pub proxy: u16,
    /// When.
    pub at: Micros,
    /// When its client gives up.
    pub deadline: Micros,
    /// When and how it ended, if it has.
    pub end: Option<(Micros, End)>,
}

/// One attempt, as its backend saw it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Numbered over all backends.
    pub number: u32,
    /// The backend.
    pub backend: u16,
    /// Its cell.
    pub cell: u16,
    /// From which proxy.
    pub proxy: u16,
    /// When its first byte came.
    pub first: Micros,
    /// When its last byte came.
    pub last: Micros,
    /// How long it was told that the client waits, if it was.
    pub told: Option<Micros>,
    /// How it ended there, if it has.
    pub ran: Option<Ran>,
}

/// All that was seen of one request.
#[derive(Clone, Debug)]
pub struct History {
    /// The effect of its class.
    pub effect: Effect,
    /// Its askings, in order.
    pub askings: SmallVec<[Asking; 1]>,
    /// Its attempts, in the order in which they were seen.
    pub sent: SmallVec<[Sent; 1]>,
}

impl History {
    /// A request of which nothing was seen yet.
    pub fn new(effect: Effect) -> Self {
        History { effect, askings: SmallVec::new(), sent: SmallVec::new() }
    }
}

/// What proxies were told and what befell them.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// By proxy and backend, in order, each entry a change: told again, a drain does not begin anew.
    told: FxHashMap<(u16, u16), Vec<(Micros, bool)>>,
    killed: FxHashMap<u16, Vec<Micros>>,
    paused: FxHashMap<u16, Vec<(Micros, Micros)>>,
}

impl News {
    /// A proxy was told whether a backend may get something new.
    pub fn told(&mut self, proxy: u16, backend: u16, up: bool, at: Micros) {
        let all = self.told.entry((proxy, backend)).or_default();
        if all.last().is_none_or(|l| l.1 != up) {
            all.push((at, up));
        }
    }

    /// A proxy's process was killed.
    pub fn killed(&mut self, proxy: u16, at: Micros) {
        self.killed.entry(proxy).or_default().push(at);
    }

    /// A proxy's process stood still.
    pub fn paused(&mut self, proxy: u16, from: Micros, to: Micros) {
        self.paused.entry(proxy).or_default().push((from, to));
    }

    /// Forgets what newer news has overtaken before a time.
    pub fn forget(&mut self, before: Micros) {
        for all in self.told.values_mut() {
            let stays = all.iter().rposition(|t| t.0 <= before).unwrap_or(0);
            all.drain(..stays);
        }
        self.killed.values_mut().for_each(|k| k.retain(|at| *at >= before));
        self.paused.values_mut().for_each(|p| p.retain(|(_, to)| *to >= before));
    }

    /// The news of a backend in force at a proxy at a time, and since when; `None` if it was never told of it.
    fn in_force(&self, proxy: u16, backend: u16, at: Micros) -> Option<Option<(Micros, bool)>> {
        let all = self.told.get(&(proxy, backend))?;
        Some(all.iter().rev().find(|t| t.0 <= at).copied())
    }
}

/// Whether the rules hold, so far.
#[derive(Clone, Debug)]
pub struct Judge {
    terms: Terms,
    /// What proxies were told and what befell them.
    pub news: News,
    pub(crate) verdict: Verdict,
    latencies: Latencies,
}

impl Judge {
    /// A judge that has seen nothing.
    pub fn new(terms: Terms) -> Self {
        Judge { terms, news: News::default(), verdict: Verdict::default(), latencies: Latencies::default() }
    }

    /// A cold backend was pushed over.
    pub fn fell(&mut self, backend: u16, at: Micros) {
        let what = format!("backend {backend} was pushed over at {:.3} s", at as f64 / 1e6);
        self.verdict.broken(Rule::NoColdPushedOver, None, what);
    }

    /// What is to be said in the end.
    pub fn verdict(mut self) -> Verdict {
        let at = |q| self.latencies.quantile_ms(q).unwrap_or(0.0);
        (self.verdict.figures.p50_ms, self.verdict.figures.p99_ms) = (at(0.5), at(0.99));
        self.verdict
    }

    /// Judges all that was seen of a request.
    pub fn request(&mut self, r: u32, h: &History) {
        for (i, a) in h.askings.iter().enumerate() {
            self.end(r, h, a, h.askings.get(i + 1).map(|n| n.at));
        }
        if !h.askings.is_empty() {
            self.verdict.figures.asked += 1;
            self.repeats(r, h);
        } else if !h.sent.is_empty() {
            let what = format!("request {r} reached a backend and was never asked");
            self.verdict.broken(Rule::NoRequestLost, Some(r), what);
        }
        self.verdict.figures.attempts += h.sent.len() as u32;
        for s in &h.sent {
            if s.ran.is_none() {
                self.verdict.incomplete(format!("attempt {} of request {r} has no end", s.number));
            }
            debug_assert!(s.first <= s.last);
            self.drained(r, s);
            self.passed_on(r, h, s);
        }
    }

    /// Time that the machine or a pause took from a proxy between two times.
    fn stood(&self, proxy: u16, from: Micros, to: Micros) -> Micros {
        self.paused(proxy, from, to) + self.stalled(from, to)
    }

    /// Time that a pause took from a proxy between two times.
    fn paused(&self, proxy: u16, from: Micros, to: Micros) -> Micros {
        self.news.paused.get(&proxy).map_or(0, |pauses| overlap(pauses, from, to))
    }

    /// Time that the machine took from everybody between two times.
    fn stalled(&self, from: Micros, to: Micros) -> Micros {
        overlap(&self.terms.stalls, from, to)
    }

    /// Until when a proxy may send what it was told not to send at `at`, `span` later at the latest. One that stood still
    /// then reads what it was told before it sends anything.
    fn last_send(&self, proxy: u16, at: Micros, span: Micros, sent: Micros) -> Micros {
        let limit = at + span + self.terms.slack + self.stalled(at, sent);
        if self.terms.pauses_excuse {
            return limit + self.paused(proxy, at, sent);
        }
        let pauses = self.news.paused.get(&proxy).into_iter().flatten();
        let stood_then = pauses.filter(|(from, to)| *from <= limit && limit <= *to);
        stood_then.map(|(_, to)| *to).fold(limit, Micros::max)
    }

    /// Whether the process that was asked died before the answer was due.
    fn died(&self, a: &Asking) -> bool {
        let due = a.deadline + self.terms.slack;
        self.news.killed.get(&a.proxy).is_some_and(|k| k.iter().any(|at| *at >= a.at && *at <= due))
    }

    /// How one asking ended.
    fn end(&mut self, r: u32, h: &History, a: &Asking, next: Option<Micros>) {
        let Some((at, end)) = a.end else {
            return self.verdict.incomplete(format!("request {r} has no end"));
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
        let breach = match end {
            End::Served(_) | End::Refused | End::Failed if late => {
                let by = (at - a.deadline) as f64 / 1000.0;
                lost(&format!("{end:?} {by:.0} ms after its deadline"))
            }
            End::Served(stamp) => {
                self.latencies.add(at - a.at);
                let made = |s: &Sent| Some(s.number) == stamp && s.ran == Some(Ran::Answered);
                if h.sent.iter().any(made) {
                    return;
                }
                lost("served with what no backend made for it")
            }
            End::Broken | End::Silent if self.died(a) || self.stood(a.proxy, a.at, at) > 0 => {
                self.verdict.figures.excused += 1;
                return;
            }
            End::Broken => lost("its connection ended without an answer"),
            End::Silent => lost("no answer"),
            End::Crossed => {
                // A proxy that had read it, for a backend knows of it, has lost it.
                let until = next.unwrap_or(at);
                let read = |s: &Sent| s.proxy == a.proxy && s.first >= a.at && s.first < until;
                if !h.sent.iter().any(read) || self.died(a) {
                    return;
                }
                lost("sent on, then dropped")
            }
            End::Refused | End::Failed | End::Left => return,
        };
        self.verdict.broken(Rule::NoRequestLost, Some(r), breach);
    }

    /// What a request's attempts did, against its class and its end.
    fn repeats(&mut self, r: u32, h: &History) {
        let Some(last) = h.askings.last() else { return };
        let refused = matches!(last.end, Some((_, End::Refused)));
        if let Some((at, End::Served(_) | End::Refused | End::Failed)) = last.end {
            for s in &h.sent {
                let limit = at + self.terms.slack + self.stood(s.proxy, at, s.first);
                if s.first > limit {
                    let by = (s.first - at) as f64 / 1000.0;
                    let text =
                        format!("request {r} went to backend {} {by:.0} ms after its answer", s.backend);
                    self.verdict.broken(Rule::NoRequestLost, Some(r), text);
                }
            }
        }
        if let (Some((at, End::Left)), Some(span)) = (last.end, self.terms.after_leaving) {
            for s in h.sent.iter().filter(|s| s.proxy == last.proxy) {
                if s.first > self.last_send(s.proxy, at, span, s.first) {
                    let by = (s.first - at) as f64 / 1000.0;
                    let text =
                        format!("request {r} went to backend {} {by:.0} ms after its client left", s.backend);
                    self.verdict.broken(Rule::NoRequestLost, Some(r), text);
                }
            }
        }
        if h.sent.len() < 2 && !(refused && h.effect != Effect::Safe) {
            return; // one attempt repeats nothing
        }
        let mut sent = h.sent.clone();
        sent.sort_by_key(|s| s.first);
        // What a process held when it died is its client's to ask again: only its own attempts are held together.
        let dead = |s: &Sent| {
            let asking = h.askings.iter().rev().find(|a| a.proxy == s.proxy && a.at <= s.last);
            asking.filter(|a| self.died(a)).map(|a| a.at)
        };
        let mut groups: BTreeMap<Option<Micros>, Vec<&Sent>> = BTreeMap::new();
        let ran = sent.iter().filter(|s| s.ran != Some(Ran::Never));
        ran.for_each(|s| groups.entry(dead(s)).or_default().push(s));
        let own = groups.get(&None).is_some_and(|g| !g.is_empty());
        if refused && h.effect != Effect::Safe && own {
            let text = format!("request {r} was refused and may have run");
            self.verdict.broken(Rule::NothingTwice, Some(r), text);
        }
        for group in groups.values() {
            self.group(r, h.effect, group);
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
                self.verdict.broken(Rule::NothingTwice, Some(r), text);
            }
        }
    }

    /// Whether an attempt told its backend more time than its client had left.
    fn passed_on(&mut self, r: u32, h: &History, s: &Sent) {
        let Some(told) = s.told else { return };
        // A client's time runs from its last byte, which of a long request may come after its first at the backend.
        let asking = h.askings.iter().rev().find(|a| a.proxy == s.proxy && a.at <= s.last);
        let Some(asking) = asking else { return };
        let paused = if self.terms.pauses_excuse { self.paused(s.proxy, asking.at, s.last) } else { 0 };
        let slack = TOLD_SLACK + self.terms.slack + self.stalled(asking.at, s.last) + paused;
        let over = (s.first + told).saturating_sub(asking.deadline + slack);
        if over > 0 {
            let by = over as f64 / 1000.0;
            let text =
                format!("request {r} told backend {} {by:.0} ms more than its client had left", s.backend);
            self.verdict.broken(Rule::DeadlinesPassedOn, Some(r), text);
        }
    }

    /// Whether an attempt went out in spite of a drain.
    fn drained(&mut self, r: u32, s: &Sent) {
        let Some(news) = self.news.in_force(s.proxy, s.backend, s.first) else {
            let what = format!("proxy {} was never told of {}", s.proxy, s.backend);
            return self.verdict.broken(Rule::DrainsKept, Some(r), what);
        };
        let Some((at, false)) = news else { return };
        if s.first > self.last_send(s.proxy, at, self.terms.grace, s.first) {
            let by = (s.first - at) as f64 / 1000.0;
            let text = format!(
                "proxy {} sent request {r} to backend {} {by:.0} ms after its drain was told",
                s.proxy, s.backend
            );
            self.verdict.broken(Rule::DrainsKept, Some(r), text);
        }
    }
}

/// Time of some spans that lies between two times.
fn overlap(spans: &[(Micros, Micros)], from: Micros, to: Micros) -> Micros {
    spans.iter().map(|(a, b)| (*b).min(to).saturating_sub((*a).max(from))).sum()
}
