//! What proxies do, and what becomes of it at the servers.

use rand::RngExt;
use sandgap_driver::permit::Violation;
use sandgap_driver::{Answer, Attempt};
use sandgap_rules::{End, Ran, Sent};
use wharfhitch::RequestId;

use super::{Ends, Event, Fleet, Gate, MS, Mode, Nanos, Out, RAW, time, us};
use crate::defects::{Defect, SOME};
use crate::measure::Ended;
use crate::model::server::Taken;
use crate::proxy::{self, Command};
use crate::rivals::PolicyKind;

/// A defect sends again at most this often.
const RESENDS: u32 = 2;

impl Fleet<'_> {
    /// Does what a proxy's core has noted, and sees to its next timer.
    pub(super) fn after(&mut self, now: Nanos, p: u16) {
        let i = usize::from(p);
        while !self.proxies[i].core.effects.commands.is_empty() {
            let mut commands = std::mem::take(&mut self.proxies[i].core.effects.commands);
            for command in commands.drain(..) {
                match command {
                    Command::Attempt(attempt) => self.begin(now, p, attempt),
                    Command::Answer(id, answer) => self.answered(now, p, id, answer),
                    Command::Tell(bytes) => self.broadcast(now, p, &bytes),
                    Command::Subscribe => {
                        self.proxies[i].subscribed = true;
                        self.ask_whole(now, p);
                    }
                    Command::Fetch => self.ask_whole(now, p),
                    // Rivals want much that may not be, and the core sees to it that it is not done.
                    Command::Violation(violation) => {
                        let counts =
                            self.plan.policy == PolicyKind::Sandgap || violation == Violation::SendOfUnknown;
                        if counts && !self.odd.contains(&violation.name()) {
                            self.odd.push(violation.name());
                        }
                    }
                }
            }
            // What was noted meanwhile comes next; the vessel goes back for its room.
            let later = std::mem::replace(&mut self.proxies[i].core.effects.commands, commands);
            self.proxies[i].core.effects.commands.extend(later);
        }
        let proxy = &mut self.proxies[i];
        if let Some(at) = proxy.core.next_due() {
            let at = (at.as_nanos() as Nanos).max(now);
            if at < proxy.armed {
                proxy.armed = at;
                self.cal.push(at, Event::Due(p, proxy.process));
            }
        }
    }

    /// A proxy's timer is due.
    pub(super) fn due(&mut self, now: Nanos, p: u16, process: u16) {
        let proxy = &mut self.proxies[usize::from(p)];
        if proxy.process != process || !proxy.runs || proxy.armed != now {
            return; // of an older process, or overtaken by a sooner one
        }
        if proxy.paused > now {
            proxy.armed = proxy.paused;
            return self.cal.push(proxy.paused, Event::Due(p, process));
        }
        proxy.armed = Nanos::MAX;
        proxy.core.run_due_timers(time(now));
        self.after(now, p);
    }

    fn begin(&mut self, now: Nanos, p: u16, attempt: Attempt) {
        let Attempt { request, number, endpoint, wanted, until, answer_by: _, write_before: before } =
            attempt;
        let mut server = proxy::server(endpoint.address);
        if self.e.fleet.defect == Some(Defect::PushesCold)
            && let Some(newest) = self.newest(p)
        {
            server = newest;
        }
        let request = request.0 as u32;
        let work = self.requests.get(request).map_or(0.0, |r| r.task.work);
        let until = (until.as_nanos() as Nanos).max(now);
        let process = self.proxies[usize::from(p)].process;
        let mut out = Out::new(request, (p, process), server, (now, until), work);
        (out.number, out.gate) = (number, Some(Gate { wanted, endpoint, before }));
        let n = self.attempts.add(out);
        self.cal.push(until, Event::TimedOut(n));
        let dial = self.e.network.dial;
        let dial = if dial.mean_ms() > 0.0 { crate::calendar::nanos(dial.draw(&mut self.net)) } else { 0 };
        if dial > 0 { self.cal.push(now + dial, Event::FirstByte(n)) } else { self.first_byte(now, n) }
    }

    /// The newest server that a proxy knows, for a defect.
    fn newest(&self, p: u16) -> Option<u32> {
        let known = self.changes.iter().take(self.proxies[usize::from(p)].version as usize).map(|c| c.0);
        let cold = known.filter(|s| {
            let place = &self.places[*s as usize];
            place.lives && place.born_ms > 0.0 && place.health == "up"
        });
        cold.max_by(|a, b| self.places[*a as usize].born_ms.total_cmp(&self.places[*b as usize].born_ms))
    }

    /// The first byte of an attempt is about to go.
    pub(super) fn first_byte(&mut self, now: Nanos, n: u32) {
        let Some(a) = self.attempts.get_mut(n) else { return };
        let proxy = &self.proxies[usize::from(a.proxy)];
        if proxy.process != a.process || !proxy.runs {
            (a.told, a.over) = (true, true);
            self.attempts.remove(n);
            return;
        }
        if proxy.paused > now {
            return self.cal.push(proxy.paused, Event::FirstByte(n));
        }
        if a.told {
            a.over = true; // timed out while it was dialling
            return self.drop_if_done(n);
        }
        let shut = |g: Gate| {
            !g.wanted.get() || !g.endpoint.is_open() || g.before.is_some_and(|before| time(now) >= before)
        };
        if a.gate.take().is_some_and(shut) {
            a.over = true;
            return self.end_with(now, n, Ends::NotSent, 0);
        }
        let (s, p, crosses) = (a.server, a.proxy, self.crosses(n));
        let delay = self.e.network.to_server(crosses, &mut self.net);
        let place = &self.places[s as usize];
        if !place.lives || place.mode == Mode::Refuse {
            if let Some(a) = self.attempts.get_mut(n) {
                a.over = true;
            }
            return self.end_with(now, n, Ends::ConnectFailed, delay);
        }
        if self.cut.contains(&(u32::from(p), s)) {
            if let Some(a) = self.attempts.get_mut(n) {
                a.over = true; // lost on the way: it is never there and never answered
            }
            return;
        }
        let place = &mut self.places[s as usize];
        place.on_way += 1;
        place.idle = false;
        let Some(a) = self.attempts.get(n) else { return };
        let (at, request) = (us(now), a.request);
        let sent = Sent {
            number: n,
            backend: s as u16,
            cell: place.cell,
            proxy: a.process,
            first: at,
            last: at,
            told: None,
            ran: None,
        };
        self.rules.came(request, sent);
        self.measures.attempts += 1;
        self.measures.crossings += u64::from(crosses);
        self.say(now, request, || format!("attempt {n} goes to server {s}"));
        self.touch(s);
        self.cal.push(now + delay, Event::Deliver(n));
    }

    fn crosses(&self, n: u32) -> bool {
        let Some(a) = self.attempts.get(n) else { return false };
        let zone = self.places[a.server as usize].zone;
        zone.is_some_and(|z| z != self.proxies[usize::from(a.proxy)].zone)
    }

    /// An attempt is at its server.
    pub(super) fn deliver(&mut self, now: Nanos, n: u32) {
        let Some(a) = self.attempts.get_mut(n) else { return };
        let (s, work) = (a.server, a.work);
        let place = &mut self.places[s as usize];
        place.on_way -= 1;
        let fails = matches!(place.mode, Mode::Errors(part) if self.whims.random::<f64>() < part);
        match place.mode {
            _ if !place.lives => self.over_with(now, n, Ran::Never, Some(Ends::Reset)),
            _ if fails => self.over_with(now, n, Ran::Perhaps, Some(Ends::Error)),
            Mode::Hang | Mode::BlackHole => self.over_with(now, n, Ran::Perhaps, None),
            Mode::ResetBefore | Mode::Refuse => self.over_with(now, n, Ran::Never, Some(Ends::ConnectFailed)),
            Mode::Normal | Mode::Errors(_) | Mode::ResetAfter => {
                if place.mode == Mode::ResetAfter {
                    a.outcome = Ends::Reset;
                }
                match place.server.take(now, n, work) {
                    Taken::In => self.announce(now, s),
                    Taken::Full => self.over_with(now, n, Ran::Never, Some(Ends::Full)),
                    Taken::Falls => {
                        self.over_with(now, n, Ran::Perhaps, Some(Ends::Reset));
                        self.rules.fell(s as u16, us(now));
                        self.measures.fallen += 1;
                        self.end_place(now, s);
                    }
                }
            }
        }
        self.touch(s);
    }

    /// Puts a server's next completion on the calendar.
    pub(super) fn announce(&mut self, now: Nanos, s: u32) {
        if let Some((at, stamp)) = self.places[s as usize].server.announce(now) {
            self.cal.push(at, Event::Done(s, stamp));
        }
    }

    /// A server has completed something.
    pub(super) fn completed(&mut self, now: Nanos, s: u32, stamp: u32) {
        let server = &mut self.places[s as usize].server;
        if server.stamp() != stamp {
            return;
        }
        let mut done = std::mem::take(&mut self.done);
        server.heard();
        server.done(now, &mut done);
        for n in done.drain(..) {
            let whole = self.attempts.get(n).is_some_and(|a| a.outcome == Ends::Served);
            let ran = if whole { Ran::Answered } else { Ran::Perhaps };
            self.over_with(now, n, ran, Some(if whole { Ends::Served } else { Ends::Reset }));
        }
        self.done = done;
        self.announce(now, s);
        self.touch(s);
    }

    /// A server's process ends: all that it holds is reset.
    pub(super) fn end_place(&mut self, now: Nanos, s: u32) {
        let place = &mut self.places[s as usize];
        place.lives = false;
        let mut held = Vec::new();
        place.server.clear(now, &mut held);
        held.into_iter().for_each(|n| self.over_with(now, n, Ran::Perhaps, Some(Ends::Reset)));
        self.touch(s);
    }

    /// An attempt has ended at its server; its proxy hears of it, if of anything.
    fn over_with(&mut self, now: Nanos, n: u32, ran: Ran, outcome: Option<Ends>) {
        let Some(a) = self.attempts.get_mut(n) else { return };
        a.over = true;
        self.rules.over(a.request, n, us(now), ran);
        let (request, told) = (a.request, a.told);
        match outcome.filter(|_| !told) {
            Some(outcome) => {
                let crosses = self.crosses(n);
                let delay = self.e.network.to_server(crosses, &mut self.net);
                self.end_with(now, n, outcome, delay);
            }
            None => self.drop_if_done(n),
        }
        self.say(now, request, || format!("attempt {n} ended at its server: {ran:?}"));
    }

    fn end_with(&mut self, now: Nanos, n: u32, outcome: Ends, delay: Nanos) {
        if let Some(a) = self.attempts.get_mut(n) {
            a.outcome = outcome;
            self.cal.push(now + delay, Event::Reply(n));
        }
    }

    fn drop_if_done(&mut self, n: u32) {
        if self.attempts.get(n).is_some_and(|a| a.told && a.over) {
            self.attempts.remove(n);
        }
    }

    /// The end of an attempt is at its proxy.
    pub(super) fn reply(&mut self, now: Nanos, n: u32) {
        let Some(a) = self.attempts.get(n).filter(|a| !a.told) else { return };
        let outcome = a.outcome;
        if self.e.fleet.defect == Some(Defect::Resends)
            && !matches!(outcome, Ends::Served | Ends::NotSent)
            && self.resend_in_place(now, n)
        {
            return;
        }
        self.tell_end(now, n, outcome, Event::Reply(n));
    }

    /// An attempt has lasted as long as it may.
    pub(super) fn timed_out(&mut self, now: Nanos, n: u32) {
        if self.attempts.get(n).is_some_and(|a| !a.told) {
            self.tell_end(now, n, Ends::TimedOut, Event::TimedOut(n));
        }
    }

    fn tell_end(&mut self, now: Nanos, n: u32, outcome: Ends, again: Event) {
        let Some(a) = self.attempts.get_mut(n) else { return };
        let (p, request, number, sent) = (a.proxy, a.request, a.number, a.sent);
        let proxy = &mut self.proxies[usize::from(p)];
        if proxy.process != a.process || !proxy.runs {
            a.told = true;
            return self.drop_if_done(n);
        }
        if proxy.paused > now {
            return self.cal.push(proxy.paused, again);
        }
        a.told = true;
        let latency = (now - sent) as f64 / MS as f64;
        self.say(now, request, || format!("attempt {n} ended at its proxy: {outcome:?}"));
        if number != RAW {
            let reply = (outcome == Ends::Served).then_some(n);
            let core = &mut self.proxies[usize::from(p)].core;
            core.ended(time(now), RequestId(u64::from(request)), number, latency, outcome, reply);
            self.after(now, p);
        }
        self.drop_if_done(n);
    }

    fn answered(&mut self, now: Nanos, p: u16, id: RequestId, answer: Answer<u32>) {
        let number = id.0 as u32;
        let proxy = &mut self.proxies[usize::from(p)];
        proxy.answers += 1;
        let odd = proxy.answers.is_multiple_of(SOME);
        let (mut end, mut ended, after) = match answer {
            Answer::Served(n) => (End::Served(Some(n)), Ended::Served, None),
            Answer::Refused(after) => (End::Refused, Ended::Refused, after),
            Answer::Failed => (End::Failed, Ended::Failed, None),
        };
        match self.e.fleet.defect {
            Some(Defect::DropsAnswers) if odd => (end, ended) = (End::Broken, Ended::Lost),
            Some(Defect::RefusesRan) if end == End::Failed => (end, ended) = (End::Refused, Ended::Refused),
            Some(Defect::AnswersLate) if odd => {
                if let Some(deadline) = self.requests.get(number).map(|r| r.deadline) {
                    let stamp = if let End::Served(Some(n)) = end { n } else { RAW };
                    self.cal.push(deadline.max(now) + 200 * MS, Event::LateAnswer(number, stamp));
                }
                return;
            }
            Some(Defect::SendsAfter) if odd => self.resend_later(now, p, number),
            _ => {}
        }
        self.finish(now, number, end, ended, after);
    }

    /// A defect's answer that was held back.
    pub(super) fn late_answer(&mut self, now: Nanos, number: u32, stamp: u32) {
        let (end, ended) = if stamp == RAW {
            (End::Failed, Ended::Failed)
        } else {
            (End::Served(Some(stamp)), Ended::Served)
        };
        self.finish(now, number, end, ended, None);
    }

    /// A defect: the same again at another server, in place of the end of an attempt.
    fn resend_in_place(&mut self, now: Nanos, n: u32) -> bool {
        let Some(a) = self.attempts.get_mut(n) else { return false };
        let Some(r) = self.requests.get(a.request).filter(|r| r.task.tries < RESENDS) else { return false };
        if now >= r.deadline {
            return false;
        }
        a.told = true;
        let (request, number, p, until, work) = (a.request, a.number, a.proxy, a.until, a.work);
        if let Some(r) = self.requests.get_mut(request) {
            r.task.tries += 1;
        }
        self.drop_if_done(n);
        self.raw(now, request, number, p, until, work)
    }

    fn resend_later(&mut self, now: Nanos, p: u16, request: u32) {
        let Some(work) = self.requests.get(request).map(|r| r.task.work) else { return };
        let n = self.attempts.add(self.stray(request, p, now, work, now + 10_000 * MS));
        self.cal.push(now + 150 * MS, Event::Resend(n));
    }

    /// An attempt that the core knows nothing of, at any server on the list.
    fn stray(&self, request: u32, p: u16, now: Nanos, work: f64, until: Nanos) -> Out {
        let up: Vec<usize> = (0..self.places.len()).filter(|s| self.places[*s].health == "up").collect();
        let server = up.get(now as usize / 1000 % up.len().max(1)).map_or(0, |s| *s as u32);
        Out::new(request, (p, self.proxies[usize::from(p)].process), server, (now, until), work)
    }

    fn raw(&mut self, now: Nanos, request: u32, number: u32, p: u16, until: Nanos, work: f64) -> bool {
        if !self.places.iter().any(|s| s.health == "up") {
            return false;
        }
        let mut out = self.stray(request, p, now, work, until);
        out.number = number;
        let n = self.attempts.add(out);
        self.cal.push(until.max(now), Event::TimedOut(n));
        self.first_byte(now, n);
        true
    }

    /// All attempts of a process that is gone: nobody hears their end.
    pub(super) fn forget(&mut self, process: u16) {
        let mine = |(n, a): (u32, &Out)| (a.process == process && !a.told).then_some(n);
        let all: Vec<u32> = self.attempts.iter().filter_map(mine).collect();
        for n in all {
            if let Some(a) = self.attempts.get_mut(n) {
                a.told = true;
            }
            self.drop_if_done(n);
        }
    }
}
