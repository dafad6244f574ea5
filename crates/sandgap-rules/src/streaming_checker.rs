//! Checks the rules over a run of any length: a request is checked soon after its last record and then dropped. Memory is
//! bounded by the requests in flight and the number of backends and proxies.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::Micros;
use crate::checker::{Checker, History, Sent, Submission, Terms};
use crate::limits::{CHECK_DELAY, CHECK_DELAY_UNANSWERED, EVENT_RETENTION, MAX_OPEN_REQUESTS};
use crate::record::{AttemptEnd, Effect, End, Rule, Verdict};

/// Interval between removals of superseded events.
const CLEANUP_INTERVAL: Micros = EVENT_RETENTION / 4;

/// Checks a run while it is in progress.
#[derive(Clone, Debug)]
pub struct StreamingChecker {
    checker: Checker,
    open: FxHashMap<u32, History>,
    /// Requests whose history was complete, with the time of their check: those with a response, and the others.
    ended: [VecDeque<(Micros, u32)>; 2],
    cleaned: Micros,
    now: Micros,
}

impl StreamingChecker {
    /// A stream without records.
    pub fn new(terms: Terms) -> Self {
        let (open, ended) = (FxHashMap::default(), Default::default());
        StreamingChecker { checker: Checker::new(terms), open, ended, cleaned: 0, now: 0 }
    }

    /// A client has sent a request to a proxy. Request numbers are never reused.
    pub fn submitted(&mut self, request: u32, effect: Effect, proxy: u16, at: Micros, deadline: Micros) {
        self.advance_to(at);
        if self.open.len() >= MAX_OPEN_REQUESTS {
            return self
                .checker
                .verdict
                .incomplete(format!("more than {MAX_OPEN_REQUESTS} requests open at once"));
        }
        let history = self.open.entry(request).or_insert_with(|| History::new(effect));
        history.submissions.push(Submission { proxy, at, deadline, end: None });
    }

    /// The client's last submission of a request has ended.
    pub fn finished(&mut self, request: u32, at: Micros, end: End) {
        self.advance_to(at);
        match self.open.get_mut(&request).and_then(|h| h.submissions.last_mut()) {
            Some(last) if last.end.is_none() => last.end = Some((at, end)),
            _ => {
                let what = format!("request {request} ended twice");
                return self.checker.verdict.broken(Rule::NoRequestLost, Some(request), what);
            }
        }
        self.schedule_check(request);
    }

    /// An attempt has arrived at a backend.
    pub fn attempt_received(&mut self, request: u32, sent: Sent) {
        self.advance_to(sent.first);
        match self.open.get_mut(&request) {
            Some(h) => h.sent.push(sent),
            None => {
                let what = format!("request {request} went to backend {} long after its end", sent.backend);
                self.checker.verdict.broken(Rule::NoRequestLost, Some(request), what);
            }
        }
    }

    /// An attempt has ended at its backend.
    pub fn attempt_ended(&mut self, request: u32, number: u32, at: Micros, ran: AttemptEnd) {
        self.advance_to(at);
        let Some(h) = self.open.get_mut(&request) else { return };
        if let Some(s) = h.sent.iter_mut().find(|s| s.number == number) {
            s.ran = Some(ran);
            s.out_until = Some(s.out_until.map_or(at, |earlier| earlier.min(at)));
        }
        self.schedule_check(request);
    }

    /// A proxy has closed the connection of an attempt.
    pub fn attempt_closed(&mut self, request: u32, number: u32, at: Micros) {
        self.advance_to(at);
        let sent = self.open.get_mut(&request).and_then(|h| h.sent.iter_mut().find(|s| s.number == number));
        if let Some(s) = sent {
            s.out_until = s.out_until.or(Some(at));
        }
    }

    /// A proxy was told whether a backend may receive new requests.
    pub fn health_told(&mut self, proxy: u16, backend: u16, up: bool, at: Micros) {
        self.advance_to(at);
        self.checker.proxies.health_told(proxy, backend, up, at);
    }

    /// A proxy's process was killed.
    pub fn killed(&mut self, proxy: u16, at: Micros) {
        self.checker.proxies.killed(proxy, at);
    }

    /// A proxy's process was paused; the pause has ended.
    pub fn paused(&mut self, proxy: u16, from: Micros, to: Micros) {
        self.checker.proxies.paused(proxy, from, to);
    }

    /// A cold backend failed from overload.
    pub fn backend_overloaded(&mut self, backend: u16, at: Micros) {
        self.checker.backend_overloaded(backend, at);
    }

    /// Number of requests that are not checked yet.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Checks the remaining requests, in the order of their numbers, and returns the verdict.
    pub fn verdict(mut self) -> Verdict {
        let mut remaining: Vec<(u32, History)> = self.open.drain().collect();
        remaining.sort_unstable_by_key(|(r, _)| *r);
        remaining.iter().for_each(|(r, h)| self.checker.request(*r, h));
        self.checker.verdict()
    }

    fn schedule_check(&mut self, request: u32) {
        let Some(h) = self.open.get(&request).filter(|h| is_complete(h)) else { return };
        let end = h.submissions.last().and_then(|a| a.end);
        if matches!(end, Some((_, End::Served(_) | End::Refused | End::Failed))) {
            self.ended[0].push_back((self.now + CHECK_DELAY, request));
        } else {
            self.ended[1].push_back((self.now + CHECK_DELAY_UNANSWERED, request));
        }
    }

    fn advance_to(&mut self, now: Micros) {
        self.now = self.now.max(now);
        for ended in &mut self.ended {
            while let Some(&(_, r)) = ended.front().filter(|(at, _)| *at <= self.now) {
                ended.pop_front();
                // A request that has become incomplete again by a further record is queued again when it is complete.
                if self.open.get(&r).is_some_and(is_complete)
                    && let Some(h) = self.open.remove(&r)
                {
                    self.checker.request(r, &h);
                }
            }
        }
        if self.now > self.cleaned + CLEANUP_INTERVAL {
            self.cleaned = self.now;
            self.checker.proxies.forget(self.now.saturating_sub(EVENT_RETENTION));
        }
    }
}

fn is_complete(h: &History) -> bool {
    h.submissions.last().is_some_and(|a| a.end.is_some()) && h.sent.iter().all(|s| s.ran.is_some())
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1000;

    fn stream() -> StreamingChecker {
        let mut s = StreamingChecker::new(Terms {
            grace: 500 * MS,
            max_concurrent_attempts: 1,
            slack: 0,
            stalls: Vec::new(),
            after_leaving: None,
            pauses_excuse: true,
        });
        (0..4).for_each(|b| s.health_told(0, b, true, 0));
        s
    }

    fn sent(number: u32, backend: u16, at: Micros) -> Sent {
        Sent {
            number,
            backend,
            cell: backend / 2,
            proxy: 0,
            first: at,
            last: at,
            told: None,
            ran: None,
            out_until: None,
        }
    }

    #[test]
    fn a_long_run_keeps_only_requests_in_flight() {
        let mut s = stream();
        for r in 0..100_000u32 {
            let at = Micros::from(r) * MS;
            s.submitted(r, Effect::Unsafe, 0, at, at + 100 * MS);
            s.attempt_received(r, sent(r, 1, at));
            s.attempt_ended(r, r, at + 5 * MS, AttemptEnd::Answered);
            s.finished(r, at + 5 * MS, End::Served(Some(r)));
            assert!(s.open() < 1100);
        }
        let verdict = s.verdict();
        assert!(verdict.passes() && verdict.figures.served == 100_000, "{verdict}");
    }

    #[test]
    fn an_attempt_after_the_answer_is_found_shortly_and_long_after_it() {
        for after in [200 * MS, 5000 * MS] {
            let mut s = stream();
            s.submitted(0, Effect::Safe, 0, 0, 100 * MS);
            s.attempt_received(0, sent(0, 1, 0));
            s.attempt_ended(0, 0, 5 * MS, AttemptEnd::Answered);
            s.finished(0, 5 * MS, End::Served(Some(0)));
            s.attempt_received(0, sent(1, 2, after));
            s.attempt_ended(0, 1, after + MS, AttemptEnd::Answered);
            let verdict = s.verdict();
            assert_eq!(verdict.counts.keys().collect::<Vec<_>>(), [&Rule::NoRequestLost], "{after}");
        }
    }

    #[test]
    fn attempts_after_the_client_left_are_allowed_where_proxies_cannot_always_learn_of_it() {
        // For sockets the limit applies, see the tests of the ledger.
        let mut s = stream();
        s.submitted(0, Effect::Safe, 0, 0, 100 * MS);
        s.finished(0, 5 * MS, End::Left);
        s.attempt_received(0, sent(0, 1, 3000 * MS));
        s.attempt_ended(0, 0, 3001 * MS, AttemptEnd::Answered);
        let verdict = s.verdict();
        assert!(verdict.passes(), "{verdict}");
    }

    #[test]
    fn an_old_drain_still_applies_after_older_events_are_dropped() {
        let mut s = stream();
        s.health_told(0, 1, false, 10 * MS);
        let late = 10 * EVENT_RETENTION;
        s.submitted(0, Effect::Safe, 0, late, late + 100 * MS);
        s.attempt_received(0, sent(0, 1, late));
        s.attempt_ended(0, 0, late, AttemptEnd::Answered);
        s.finished(0, late, End::Served(Some(0)));
        assert_eq!(s.verdict().counts.keys().collect::<Vec<_>>(), [&Rule::DrainsKept]);
    }
}
