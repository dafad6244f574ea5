//! The four rules, checked against the history of one request at a time.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::Micros;
use crate::latencies::Latencies;
use crate::record::{AttemptEnd, Effect, End, Rule, Verdict};

/// By how much the time passed on to a backend may exceed what the client has left, by the operators' terms, µs.
const TOLD_SLACK: Micros = 150_000;

/// Parameters of the rules.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Time after a proxy was told of a drain in which it may still send to the backend.
    pub grace: Micros,
    /// Tolerance added to each time limit, for the delay of sockets and schedulers.
    pub slack: Micros,
    /// Spans in which the machine delayed the observing process itself.
    pub stalls: Vec<(Micros, Micros)>,
    /// How many attempts of one request a proxy may have out at once.
    pub max_concurrent_attempts: u32,
    /// How long after a client has left an attempt may still start; `None` where a proxy can't always learn that it left.
    pub after_leaving: Option<Micros>,
    /// Whether a proxy that was paused may continue by what it knew before the pause, as in the simulator, where no sockets have to
    /// be read first.
    pub pauses_excuse: bool,
}

/// A request as a client sent it to one proxy; after a failed connection a client may send it again.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Which proxy, and which process of it.
    pub proxy: u16,
    /// When the client began to send it.
    pub at: Micros,
    /// When the client gives up.
    pub deadline: Micros,
    /// When and how it ended, if it has.
    pub end: Option<(Micros, End)>,
}

/// One attempt, as its backend observed it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// The attempt's number, unique over all backends.
    pub number: u32,
    /// The backend.
    pub backend: u16,
    /// The backend's cell.
    pub cell: u16,
    /// The proxy that sent it.
    pub proxy: u16,
    /// When its first byte arrived.
    pub first: Micros,
    /// When its last byte arrived.
    pub last: Micros,
    /// The remaining time that the proxy passed on to the backend, if it did.
    pub told: Option<Micros>,
    /// How it ended at the backend, if it has.
    pub ran: Option<AttemptEnd>,
    /// Until when it was out on an open connection, as far as that was seen.
    pub out_until: Option<Micros>,
}

/// Everything observed of one request.
#[derive(Clone, Debug)]
pub struct History {
    /// The effect of the request's class.
    pub effect: Effect,
    /// Its submissions by the client, in order.
    pub submissions: SmallVec<[Submission; 1]>,
    /// Its attempts, in the order in which they were recorded.
    pub sent: SmallVec<[Sent; 1]>,
}

impl History {
    /// The empty history of a request.
    pub fn new(effect: Effect) -> Self {
        History { effect, submissions: SmallVec::new(), sent: SmallVec::new() }
    }
}

/// What proxies were told of backends, and when their processes were killed or paused.
#[derive(Clone, Debug, Default)]
pub struct ProxyHistory {
    /// Changes of health by proxy and backend, in order. A repeated drain is no change and does not restart the grace.
    told: FxHashMap<(u16, u16), Vec<(Micros, bool)>>,
    killed: FxHashMap<u16, Vec<Micros>>,
    paused: FxHashMap<u16, Vec<(Micros, Micros)>>,
}

impl ProxyHistory {
    /// A proxy was told whether a backend may receive new requests.
    pub fn health_told(&mut self, proxy: u16, backend: u16, up: bool, at: Micros) {
        let all = self.told.entry((proxy, backend)).or_default();
        if all.last().is_none_or(|l| l.1 != up) {
            all.push((at, up));
        }
    }

    /// A proxy's process was killed.
    pub fn killed(&mut self, proxy: u16, at: Micros) {
        self.killed.entry(proxy).or_default().push(at);
    }

    /// A proxy's process was paused.
    pub fn paused(&mut self, proxy: u16, from: Micros, to: Micros) {
        self.paused.entry(proxy).or_default().push((from, to));
    }

    /// Drops what was superseded before the given time.
    pub fn forget(&mut self, before: Micros) {
        for all in self.told.values_mut() {
            let keep_from = all.iter().rposition(|t| t.0 <= before).unwrap_or(0);
            all.drain(..keep_from);
        }
        self.killed.values_mut().for_each(|k| k.retain(|at| *at >= before));
        self.paused.values_mut().for_each(|p| p.retain(|(_, to)| *to >= before));
    }

    /// The health of a backend that a proxy knew at a time, and since when; `None` if it was never told of the backend.
    fn health_at(&self, proxy: u16, backend: u16, at: Micros) -> Option<Option<(Micros, bool)>> {
        let all = self.told.get(&(proxy, backend))?;
        Some(all.iter().rev().find(|t| t.0 <= at).copied())
    }
}

/// Checks histories against the rules and accumulates the verdict.
#[derive(Clone, Debug)]
pub struct Checker {
    terms: Terms,
    /// What proxies were told of backends, and when their processes were killed or paused.
    pub proxies: ProxyHistory,
    pub(crate) verdict: Verdict,
    latencies: Latencies,
}

impl Checker {
    /// A checker without records.
    pub fn new(terms: Terms) -> Self {
        Checker {
            terms,
            proxies: ProxyHistory::default(),
            verdict: Verdict::default(),
            latencies: Latencies::default(),
        }
    }

    /// A cold backend failed from overload.
    pub fn backend_overloaded(&mut self, backend: u16, at: Micros) {
        let what = format!("backend {backend} was overloaded while cold at {:.3} s", at as f64 / 1e6);
        self.verdict.broken(Rule::NoColdPushedOver, None, what);
    }

    /// The verdict on everything checked.
    pub fn verdict(mut self) -> Verdict {
        let at = |q| self.latencies.quantile_ms(q).unwrap_or(0.0);
        (self.verdict.figures.p50_ms, self.verdict.figures.p99_ms) = (at(0.5), at(0.99));
        self.verdict
    }

    /// Checks the history of a request.
    pub fn request(&mut self, r: u32, h: &History) {
        for (i, a) in h.submissions.iter().enumerate() {
            self.check_end(r, h, a, h.submissions.get(i + 1).map(|n| n.at));
        }
        self.check_concurrent_attempts(r, h);
        if !h.submissions.is_empty() {
            self.verdict.figures.asked += 1;
            self.check_attempts(r, h);
        } else if !h.sent.is_empty() {
            let what = format!("request {r} reached a backend and was never sent by a client");
            self.verdict.broken(Rule::NoRequestLost, Some(r), what);
        }
        self.verdict.figures.attempts += h.sent.len() as u32;
        for s in &h.sent {
            if s.ran.is_none() {
                self.verdict.incomplete(format!("attempt {} of request {r} has no end", s.number));
            }
            debug_assert!(s.first <= s.last);
            self.check_drain(r, s);
            self.check_told_time(r, h, s);
        }
    }

    /// Time between two times in which a proxy could not run, because of a pause or a stall of the machine.
    fn unavailable_time(&self, proxy: u16, from: Micros, to: Micros) -> Micros {
        self.paused_time(proxy, from, to) + self.stalled_time(from, to)
    }

    /// Time between two times in which a proxy was paused.
    fn paused_time(&self, proxy: u16, from: Micros, to: Micros) -> Micros {
        self.proxies.paused.get(&proxy).map_or(0, |pauses| overlap(pauses, from, to))
    }

    /// Time between two times in which the machine was stalled.
    fn stalled_time(&self, from: Micros, to: Micros) -> Micros {
        overlap(&self.terms.stalls, from, to)
    }

    /// Until when a proxy may send what an event at `at` forbids it to send from `span` later. A proxy that is paused at
    /// that limit gets until the end of the pause: it reads what it was told before it sends anything.
    fn send_limit(&self, proxy: u16, at: Micros, span: Micros, sent: Micros) -> Micros {
        let limit = at + span + self.terms.slack + self.stalled_time(at, sent);
        if self.terms.pauses_excuse {
            return limit + self.paused_time(proxy, at, sent);
        }
        let pauses = self.proxies.paused.get(&proxy).into_iter().flatten();
        let paused_then = pauses.filter(|(from, to)| *from <= limit && limit <= *to);
        paused_then.map(|(_, to)| *to).fold(limit, Micros::max)
    }

    /// Whether the proxy's process was killed before the response was due.
    fn was_killed(&self, a: &Submission) -> bool {
        let due = a.deadline + self.terms.slack;
        self.proxies.killed.get(&a.proxy).is_some_and(|k| k.iter().any(|at| *at >= a.at && *at <= due))
    }

    /// Checks how one submission ended.
    fn check_end(&mut self, r: u32, h: &History, a: &Submission, next: Option<Micros>) {
        let Some((at, end)) = a.end else {
            return self.verdict.incomplete(format!("request {r} has no end"));
        };
        let lost = |what: &str| format!("request {r} at proxy {}: {what}", a.proxy);
        let late = at.saturating_sub(a.deadline + self.terms.slack);
        let late = late > self.unavailable_time(a.proxy, a.at, at);
        let g = &mut self.verdict.figures;
        match end {
            End::Served(_) => g.served += 1,
            End::Refused => g.refused += 1,
            End::Failed => g.failed += 1,
            End::Left => g.left += 1,
            End::Broken | End::NoResponse | End::ClosedBeforeResponse => {}
        }
        let breach = match end {
            End::Served(_) | End::Refused | End::Failed if late => {
                let by = (at - a.deadline) as f64 / 1000.0;
                lost(&format!("{end:?} {by:.0} ms after its deadline"))
            }
            End::Served(stamp) => {
                self.latencies.add(at - a.at);
                let made_by = |s: &Sent| Some(s.number) == stamp && s.ran == Some(AttemptEnd::Answered);
                if h.sent.iter().any(made_by) {
                    return;
                }
                lost("served with a response that no backend made for it")
            }
            End::Broken | End::NoResponse
                if self.was_killed(a) || self.unavailable_time(a.proxy, a.at, at) > 0 =>
            {
                self.verdict.figures.excused += 1;
                return;
            }
            End::Broken => lost("its connection ended without a response"),
            End::NoResponse => lost("no response"),
            End::ClosedBeforeResponse => {
                // If a backend received the request, the proxy had read it and has lost it.
                let until = next.unwrap_or(at);
                let read = |s: &Sent| s.proxy == a.proxy && s.first >= a.at && s.first < until;
                if !h.sent.iter().any(read) || self.was_killed(a) {
                    return;
                }
                lost("sent on, then dropped")
            }
            End::Refused | End::Failed | End::Left => return,
        };
        self.verdict.broken(Rule::NoRequestLost, Some(r), breach);
    }

    /// Checks the attempts of a request against its class and its end.
    fn check_attempts(&mut self, r: u32, h: &History) {
        let Some(last) = h.submissions.last() else { return };
        let refused = matches!(last.end, Some((_, End::Refused)));
        if let Some((at, End::Served(_) | End::Refused | End::Failed)) = last.end {
            for s in &h.sent {
                let limit = at + self.terms.slack + self.unavailable_time(s.proxy, at, s.first);
                if s.first > limit {
                    let by = (s.first - at) as f64 / 1000.0;
                    let text =
                        format!("request {r} went to backend {} {by:.0} ms after its response", s.backend);
                    self.verdict.broken(Rule::NoRequestLost, Some(r), text);
                }
            }
        }
        if let (Some((at, End::Left)), Some(span)) = (last.end, self.terms.after_leaving) {
            for s in h.sent.iter().filter(|s| s.proxy == last.proxy) {
                if s.first > self.send_limit(s.proxy, at, span, s.first) {
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
        // A request that a killed process held may be repeated by its client: the attempts of each such process are checked
        // as a group of their own.
        let killed_submission = |s: &Sent| {
            let submission = h.submissions.iter().rev().find(|a| a.proxy == s.proxy && a.at <= s.last);
            submission.filter(|a| self.was_killed(a)).map(|a| a.at)
        };
        let mut groups: BTreeMap<Option<Micros>, Vec<&Sent>> = BTreeMap::new();
        let ran = sent.iter().filter(|s| s.ran != Some(AttemptEnd::NotProcessed));
        ran.for_each(|s| groups.entry(killed_submission(s)).or_default().push(s));
        let own = groups.get(&None).is_some_and(|g| !g.is_empty());
        if refused && h.effect != Effect::Safe && own {
            let text = format!("request {r} was refused although it may have run");
            self.verdict.broken(Rule::NothingTwice, Some(r), text);
        }
        for group in groups.values() {
            self.check_repeats(r, h.effect, group);
        }
    }

    /// Checks that a proxy had no more attempts of a request out at once than are permitted. An attempt begins with its last
    /// byte, and one whose end was not seen does not count for those after it.
    fn check_concurrent_attempts(&mut self, r: u32, h: &History) {
        for later in &h.sent {
            let begun = later.last + self.terms.slack;
            let is_beside = |s: &&Sent| {
                s.proxy == later.proxy
                    && (s.last, s.number) < (later.last, later.number)
                    && s.out_until.is_some_and(|until| until > begun + self.stalled_time(later.last, until))
            };
            let concurrent = 1 + h.sent.iter().filter(is_beside).count();
            if concurrent > self.terms.max_concurrent_attempts as usize {
                let text = format!(
                    "request {r} had {concurrent} attempts out at once at proxy {} when backend {} got it",
                    later.proxy, later.backend
                );
                self.verdict.broken(Rule::NothingTwice, Some(r), text);
            }
        }
    }

    /// Checks a group of attempts that may have run, in the order in which they were sent.
    fn check_repeats(&mut self, r: u32, effect: Effect, ran: &[&Sent]) {
        for pair in ran.windows(2) {
            let (a, b) = (pair[0], pair[1]);
            let again = match effect {
                Effect::Safe => None,
                Effect::Unsafe => Some("though it must never run twice"),
                Effect::Keyed(_) if b.cell != ran[0].cell => Some("in another cell"),
                Effect::Keyed(window) if b.first > ran[0].first + window + self.terms.slack => {
                    Some("after its deduplication window")
                }
                Effect::Keyed(_) => None,
            };
            if let Some(why) = again {
                let text = format!("request {r} ran at backends {} and {} {why}", a.backend, b.backend);
                self.verdict.broken(Rule::NothingTwice, Some(r), text);
            }
        }
    }

    /// Checks that an attempt passed on no more time to its backend than its client had left.
    fn check_told_time(&mut self, r: u32, h: &History, s: &Sent) {
        let Some(told) = s.told else { return };
        // A client's time starts with the last byte of its request, which for a long request may come after the backend has
        // received the first byte.
        let submission = h.submissions.iter().rev().find(|a| a.proxy == s.proxy && a.at <= s.last);
        let Some(submission) = submission else { return };
        let paused =
            if self.terms.pauses_excuse { self.paused_time(s.proxy, submission.at, s.last) } else { 0 };
        let slack = TOLD_SLACK + self.terms.slack + self.stalled_time(submission.at, s.last) + paused;
        let over = (s.first + told).saturating_sub(submission.deadline + slack);
        if over > 0 {
            let by = over as f64 / 1000.0;
            let text = format!(
                "request {r} passed on {by:.0} ms more to backend {} than its client had left",
                s.backend
            );
            self.verdict.broken(Rule::DeadlinesPassedOn, Some(r), text);
        }
    }

    /// Checks that an attempt did not go to a draining or an unknown backend.
    fn check_drain(&mut self, r: u32, s: &Sent) {
        let Some(health) = self.proxies.health_at(s.proxy, s.backend, s.first) else {
            let what = format!(
                "proxy {} sent request {r} to backend {}, of which it was never told",
                s.proxy, s.backend
            );
            return self.verdict.broken(Rule::DrainsKept, Some(r), what);
        };
        let Some((at, false)) = health else { return };
        if s.first > self.send_limit(s.proxy, at, self.terms.grace, s.first) {
            let by = (s.first - at) as f64 / 1000.0;
            let text = format!(
                "proxy {} sent request {r} to backend {} {by:.0} ms after its drain was told",
                s.proxy, s.backend
            );
            self.verdict.broken(Rule::DrainsKept, Some(r), text);
        }
    }
}

/// Total time of the spans that lies between two times.
fn overlap(spans: &[(Micros, Micros)], from: Micros, to: Micros) -> Micros {
    spans.iter().map(|(a, b)| (*b).min(to).saturating_sub((*a).max(from))).sum()
}
