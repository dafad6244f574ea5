//! The rules over a run of any length: a request is judged soon after its last line and then forgotten. What is
//! kept is bounded by the requests in flight and by how many backends and proxies there are.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::Micros;
use crate::judge::{Asking, History, Judge, Sent, Terms};
use crate::limits::{LINGER, LINGER_UNANSWERED, MEMORY, OPEN};
use crate::record::{Effect, End, Ran, Rule, Verdict};

/// Looks at what may be forgotten are this far apart.
const SWEEP: Micros = MEMORY / 4;

/// A judge of a run that goes on.
#[derive(Clone, Debug)]
pub struct Stream {
    judge: Judge,
    open: FxHashMap<u32, History>,
    /// Requests whose lines looked complete, by when they are to be judged: those that got an answer, and the rest.
    ended: [VecDeque<(Micros, u32)>; 2],
    swept: Micros,
    now: Micros,
}

impl Stream {
    /// A stream that has seen nothing.
    pub fn new(terms: Terms) -> Self {
        let (open, ended) = (FxHashMap::default(), Default::default());
        Stream { judge: Judge::new(terms), open, ended, swept: 0, now: 0 }
    }

    /// A client has asked. A number is never used for two requests.
    pub fn asked(&mut self, request: u32, effect: Effect, proxy: u16, at: Micros, deadline: Micros) {
        self.move_to(at);
        if self.open.len() >= OPEN {
            return self.judge.verdict.incomplete(format!("more than {OPEN} requests open at once"));
        }
        let history = self.open.entry(request).or_insert_with(|| History::new(effect));
        history.askings.push(Asking { proxy, at, deadline, end: None });
    }

    /// A client has an end to what it asked last.
    pub fn got(&mut self, request: u32, at: Micros, end: End) {
        self.move_to(at);
        match self.open.get_mut(&request).and_then(|h| h.askings.last_mut()) {
            Some(last) if last.end.is_none() => last.end = Some((at, end)),
            _ => {
                let what = format!("request {request} ended twice");
                return self.judge.verdict.broken(Rule::NoRequestLost, Some(request), what);
            }
        }
        self.look(request);
    }

    /// An attempt has gone to a backend.
    pub fn came(&mut self, request: u32, sent: Sent) {
        self.move_to(sent.first);
        match self.open.get_mut(&request) {
            Some(h) => h.sent.push(sent),
            None => {
                let what = format!("request {request} went to backend {} long after its end", sent.backend);
                self.judge.verdict.broken(Rule::NoRequestLost, Some(request), what);
            }
        }
    }

    /// An attempt has ended at its backend.
    pub fn over(&mut self, request: u32, number: u32, at: Micros, ran: Ran) {
        self.move_to(at);
        let Some(h) = self.open.get_mut(&request) else { return };
        if let Some(s) = h.sent.iter_mut().find(|s| s.number == number) {
            s.ran = Some(ran);
        }
        self.look(request);
    }

    /// A proxy was told whether a backend may get something new.
    pub fn told(&mut self, proxy: u16, backend: u16, up: bool, at: Micros) {
        self.move_to(at);
        self.judge.news.told(proxy, backend, up, at);
    }

    /// A proxy's process was killed.
    pub fn killed(&mut self, proxy: u16, at: Micros) {
        self.judge.news.killed(proxy, at);
    }

    /// A proxy's process stood still until now.
    pub fn paused(&mut self, proxy: u16, from: Micros, to: Micros) {
        self.judge.news.paused(proxy, from, to);
    }

    /// A cold backend was pushed over.
    pub fn fell(&mut self, backend: u16, at: Micros) {
        self.judge.fell(backend, at);
    }

    /// Requests that are not judged yet.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Judges what is still open, in the order of the requests' numbers.
    pub fn verdict(mut self) -> Verdict {
        let mut left: Vec<(u32, History)> = self.open.drain().collect();
        left.sort_unstable_by_key(|(r, _)| *r);
        left.iter().for_each(|(r, h)| self.judge.request(*r, h));
        self.judge.verdict()
    }

    fn look(&mut self, request: u32) {
        let Some(h) = self.open.get(&request).filter(|h| complete(h)) else { return };
        let end = h.askings.last().and_then(|a| a.end);
        if matches!(end, Some((_, End::Served(_) | End::Refused | End::Failed))) {
            self.ended[0].push_back((self.now + LINGER, request));
        } else {
            self.ended[1].push_back((self.now + LINGER_UNANSWERED, request));
        }
    }

    fn move_to(&mut self, now: Micros) {
        self.now = self.now.max(now);
        for ended in &mut self.ended {
            while let Some(&(_, r)) = ended.front().filter(|(at, _)| *at <= self.now) {
                ended.pop_front();
                // One that has got a further line since comes up again at that line's end.
                if self.open.get(&r).is_some_and(complete)
                    && let Some(h) = self.open.remove(&r)
                {
                    self.judge.request(r, &h);
                }
            }
        }
        if self.now > self.swept + SWEEP {
            self.swept = self.now;
            self.judge.news.forget(self.now.saturating_sub(MEMORY));
        }
    }
}

fn complete(h: &History) -> bool {
    h.askings.last().is_some_and(|a| a.end.is_some()) && h.sent.iter().all(|s| s.ran.is_some())
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1000;

    fn stream() -> Stream {
        let mut s = Stream::new(Terms {
            grace: 500 * MS,
            slack: 0,
            stalls: Vec::new(),
            after_leaving: None,
            pauses_excuse: true,
        });
        (0..4).for_each(|b| s.told(0, b, true, 0));
        s
    }

    fn sent(number: u32, backend: u16, at: Micros) -> Sent {
        Sent { number, backend, cell: backend / 2, proxy: 0, first: at, last: at, told: None, ran: None }
    }

    #[test]
    fn a_long_run_keeps_only_what_is_in_flight() {
        let mut s = stream();
        for r in 0..100_000u32 {
            let at = Micros::from(r) * MS;
            s.asked(r, Effect::Unsafe, 0, at, at + 100 * MS);
            s.came(r, sent(r, 1, at));
            s.over(r, r, at + 5 * MS, Ran::Answered);
            s.got(r, at + 5 * MS, End::Served(Some(r)));
            assert!(s.open() < 1100);
        }
        let verdict = s.verdict();
        assert!(verdict.passes() && verdict.figures.served == 100_000, "{verdict}");
    }

    #[test]
    fn what_is_sent_after_the_answer_is_seen_soon_and_late() {
        for after in [200 * MS, 5000 * MS] {
            let mut s = stream();
            s.asked(0, Effect::Safe, 0, 0, 100 * MS);
            s.came(0, sent(0, 1, 0));
            s.over(0, 0, 5 * MS, Ran::Answered);
            s.got(0, 5 * MS, End::Served(Some(0)));
            s.came(0, sent(1, 2, after));
            s.over(0, 1, after + MS, Ran::Answered);
            let verdict = s.verdict();
            assert_eq!(verdict.counts.keys().collect::<Vec<_>>(), [&Rule::NoRequestLost], "{after}");
        }
    }

    #[test]
    fn a_client_that_left_binds_a_model_that_cannot_always_hear_of_it_to_nothing() {
        // On sockets it does, see the ledger's tests.
        let mut s = stream();
        s.asked(0, Effect::Safe, 0, 0, 100 * MS);
        s.got(0, 5 * MS, End::Left);
        s.came(0, sent(0, 1, 3000 * MS));
        s.over(0, 0, 3001 * MS, Ran::Answered);
        let verdict = s.verdict();
        assert!(verdict.passes(), "{verdict}");
    }

    #[test]
    fn an_old_drain_still_binds_when_older_news_is_forgotten() {
        let mut s = stream();
        s.told(0, 1, false, 10 * MS);
        let late = 10 * MEMORY;
        s.asked(0, Effect::Safe, 0, late, late + 100 * MS);
        s.came(0, sent(0, 1, late));
        s.over(0, 0, late, Ran::Answered);
        s.got(0, late, End::Served(Some(0)));
        assert_eq!(s.verdict().counts.keys().collect::<Vec<_>>(), [&Rule::DrainsKept]);
    }
}
