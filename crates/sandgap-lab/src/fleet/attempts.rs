//! Attempts: how proxies send them, what servers do with them, and how their ends come back.

use rand::RngExt;
use sandgap_driver::permit::Violation;
use sandgap_driver::{Answer, Attempt};
use sandgap_rules::{AttemptEnd, End, Sent};
use wharfhitch::RequestId;

use super::{
    AttemptOutcome, AttemptState, Event, Fleet, MS, Mode, NOT_OF_CORE, Nanos, SendCondition, duration, micros,
};
use crate::defects::{Defect, SOME};
use crate::measure::Ended;
use crate::model::server::Taken;
use crate::proxy::{self, Command};
use crate::rivals::PolicyKind;

/// Resends of one request by a defect, at most.
const MAX_RESENDS: u32 = 2;

impl Fleet<'_> {
    /// Carries out the commands that a proxy's core has queued, and arms its next timer.
    pub(super) fn apply_commands(&mut self, now: Nanos, p: u16) {
        let i = usize::from(p);
        while !self.proxies[i].core.effects.commands.is_empty() {
            let mut commands = std::mem::take(&mut self.proxies[i].core.effects.commands);
            for command in commands.drain(..) {
                match command {
                    Command::Attempt(attempt) => self.start_attempt(now, p, attempt),
                    Command::Answer(id, answer) => self.answer_request(now, p, id, answer),
                    Command::Broadcast(bytes) => self.broadcast(now, p, &bytes),
                    Command::Subscribe => {
                        self.proxies[i].subscribed = true;
                        self.request_full_list(now, p);
                    }
                    Command::FetchList => self.request_full_list(now, p),
                    // Rivals often ask for what is not allowed; the core does not carry it out.
                    Command::Violation(violation) => {
                        let counts =
                            self.plan.policy == PolicyKind::Sandgap || violation == Violation::SendOfUnknown;
                        if counts && !self.violations.contains(&violation.name()) {
                            self.violations.push(violation.name());
                        }
                    }
                }
            }
            // Commands queued meanwhile come next; the drained buffer is put back to reuse its capacity.
            let later = std::mem::replace(&mut self.proxies[i].core.effects.commands, commands);
            self.proxies[i].core.effects.commands.extend(later);
        }
        let proxy = &mut self.proxies[i];
        if let Some(at) = proxy.core.next_due() {
            let at = (at.as_nanos() as Nanos).max(now);
            if at < proxy.timer_at {
                proxy.timer_at = at;
                self.calendar.push(at, Event::Timer(p, proxy.process));
            }
        }
    }

    /// A proxy's timer is due.
    pub(super) fn timer_due(&mut self, now: Nanos, p: u16, process: u16) {
        let proxy = &mut self.proxies[usize::from(p)];
        if proxy.process != process || !proxy.running || proxy.timer_at != now {
            return; // of an older process, or replaced by an earlier timer
        }
        if proxy.paused_until > now {
            proxy.timer_at = proxy.paused_until;
            return self.calendar.push(proxy.paused_until, Event::Timer(p, process));
        }
        proxy.timer_at = Nanos::MAX;
        proxy.core.run_due_timers(duration(now));
        self.apply_commands(now, p);
    }

    /// Starts an attempt: its timeout, and its first byte after the connection delay.
    fn start_attempt(&mut self, now: Nanos, p: u16, attempt: Attempt) {
        let Attempt { request, number, endpoint, wanted, until, write_before, .. } = attempt;
        let mut server = proxy::server(endpoint.address);
        if self.experiment.fleet.defect == Some(Defect::PushesCold)
            && let Some(newest) = self.newest_server(p)
        {
            server = newest;
        }
        let request = request.0 as u32;
        let work = self.requests.get(request).map_or(0.0, |r| r.task.work);
        let until = (until.as_nanos() as Nanos).max(now);
        let process = self.proxies[usize::from(p)].process;
        let mut added = AttemptState::new(request, (p, process), server, (now, until), work);
        (added.number, added.condition) = (number, Some(SendCondition { wanted, endpoint, write_before }));
        let n = self.attempts.add(added);
        self.calendar.push(until, Event::AttemptTimeout(n));
        let dial = self.experiment.network.dial;
        let dial =
            if dial.mean_ms() > 0.0 { crate::calendar::nanos(dial.draw(&mut self.network_rng)) } else { 0 };
        if dial > 0 {
            self.calendar.push(now + dial, Event::FirstByte(n))
        } else {
            self.first_byte(now, n)
        }
        if self.experiment.fleet.defect == Some(Defect::Copies) && number == 0 {
            self.send_past_core(now, request, NOT_OF_CORE, p, until, work);
        }
    }

    /// The most recently started server that a proxy knows, for [`Defect::PushesCold`].
    fn newest_server(&self, p: u16) -> Option<u32> {
        let known = self.changes.iter().take(self.proxies[usize::from(p)].list_version as usize).map(|c| c.0);
        let cold = known.filter(|s| {
            let state = &self.servers[*s as usize];
            state.running && state.born_ms > 0.0 && state.health == "up"
        });
        cold.max_by(|a, b| self.servers[*a as usize].born_ms.total_cmp(&self.servers[*b as usize].born_ms))
    }

    /// The first byte of an attempt is about to be sent.
    pub(super) fn first_byte(&mut self, now: Nanos, n: u32) {
        let Some(a) = self.attempts.get_mut(n) else { return };
        let proxy = &self.proxies[usize::from(a.proxy)];
        if proxy.process != a.process || !proxy.running {
            (a.reported, a.finished) = (true, true);
            self.attempts.remove(n);
            return;
        }
        if proxy.paused_until > now {
            return self.calendar.push(proxy.paused_until, Event::FirstByte(n));
        }
        if a.reported {
            a.finished = true; // timed out while the connection was being set up
            return self.remove_if_over(n);
        }
        let fails = |c: SendCondition| {
            !c.wanted.get()
                || !c.endpoint.is_open()
                || c.write_before.is_some_and(|before| duration(now) >= before)
        };
        if a.condition.take().is_some_and(fails) {
            a.finished = true;
            return self.schedule_attempt_end(now, n, AttemptOutcome::NotSent, 0);
        }
        let (s, p, crosses) = (a.server, a.proxy, self.crosses(n));
        let delay = self.experiment.network.to_server(crosses, &mut self.network_rng);
        let state = &self.servers[s as usize];
        if !state.running || state.mode == Mode::Refuse {
            if let Some(a) = self.attempts.get_mut(n) {
                a.finished = true;
            }
            return self.schedule_attempt_end(now, n, AttemptOutcome::ConnectFailed, delay);
        }
        if self.partitions.contains(&(u32::from(p), s)) {
            if let Some(a) = self.attempts.get_mut(n) {
                a.finished = true; // lost on the way: it never arrives and is never answered
            }
            return;
        }
        let state = &mut self.servers[s as usize];
        state.in_transit += 1;
        state.idle = false;
        let Some(a) = self.attempts.get(n) else { return };
        let (at, request) = (micros(now), a.request);
        let sent = Sent {
            number: n,
            backend: s as u16,
            cell: state.cell,
            proxy: a.process,
            first: at,
            last: at,
            told: None,
            ran: None,
            out_until: None,
        };
        self.rules.attempt_received(request, sent);
        self.measures.attempts += 1;
        self.measures.crossings += u64::from(crosses);
        self.trace_line(now, request, || format!("attempt {n} goes to server {s}"));
        self.update_truth(s);
        self.calendar.push(now + delay, Event::Delivery(n));
    }

    /// Whether an attempt crosses zones.
    fn crosses(&self, n: u32) -> bool {
        let Some(a) = self.attempts.get(n) else { return false };
        let zone = self.servers[a.server as usize].zone;
        zone.is_some_and(|z| z != self.proxies[usize::from(a.proxy)].zone)
    }

    /// An attempt arrives at its server.
    pub(super) fn deliver(&mut self, now: Nanos, n: u32) {
        let Some(a) = self.attempts.get_mut(n) else { return };
        let (s, work) = (a.server, a.work);
        let state = &mut self.servers[s as usize];
        state.in_transit -= 1;
        let fails = matches!(state.mode, Mode::Errors(part) if self.choices_rng.random::<f64>() < part);
        match state.mode {
            _ if !state.running => {
                self.attempt_done(now, n, AttemptEnd::NotProcessed, Some(AttemptOutcome::Reset))
            }
            _ if fails => self.attempt_done(now, n, AttemptEnd::MayHaveRun, Some(AttemptOutcome::Error)),
            Mode::Hang | Mode::BlackHole => self.attempt_done(now, n, AttemptEnd::MayHaveRun, None),
            Mode::ResetBefore | Mode::Refuse => {
                self.attempt_done(now, n, AttemptEnd::NotProcessed, Some(AttemptOutcome::ConnectFailed))
            }
            Mode::Normal | Mode::Errors(_) | Mode::ResetAfter => {
                if state.mode == Mode::ResetAfter {
                    a.outcome = AttemptOutcome::Reset;
                }
                match state.server.take(now, n, work) {
                    Taken::In => self.schedule_completion(now, s),
                    Taken::Full => {
                        self.attempt_done(now, n, AttemptEnd::NotProcessed, Some(AttemptOutcome::Full))
                    }
                    Taken::Falls => {
                        self.attempt_done(now, n, AttemptEnd::MayHaveRun, Some(AttemptOutcome::Reset));
                        self.rules.backend_overloaded(s as u16, micros(now));
                        self.measures.fallen += 1;
                        self.end_server(now, s);
                    }
                }
            }
        }
        self.update_truth(s);
    }

    /// Schedules a server's next completion.
    pub(super) fn schedule_completion(&mut self, now: Nanos, s: u32) {
        if let Some((at, stamp)) = self.servers[s as usize].server.announce(now) {
            self.calendar.push(at, Event::Completion(s, stamp));
        }
    }

    /// A server's next completion is due; one with an outdated stamp is ignored.
    pub(super) fn completion_due(&mut self, now: Nanos, s: u32, stamp: u32) {
        let server = &mut self.servers[s as usize].server;
        if server.stamp() != stamp {
            return;
        }
        let mut done = std::mem::take(&mut self.completed_buffer);
        server.heard();
        server.done(now, &mut done);
        for n in done.drain(..) {
            let served = self.attempts.get(n).is_some_and(|a| a.outcome == AttemptOutcome::Served);
            let ran = if served { AttemptEnd::Answered } else { AttemptEnd::MayHaveRun };
            self.attempt_done(
                now,
                n,
                ran,
                Some(if served { AttemptOutcome::Served } else { AttemptOutcome::Reset }),
            );
        }
        self.completed_buffer = done;
        self.schedule_completion(now, s);
        self.update_truth(s);
    }

    /// A server's process ends: every attempt that it holds is reset.
    pub(super) fn end_server(&mut self, now: Nanos, s: u32) {
        let state = &mut self.servers[s as usize];
        state.running = false;
        let mut held = Vec::new();
        state.server.clear(now, &mut held);
        held.into_iter()
            .for_each(|n| self.attempt_done(now, n, AttemptEnd::MayHaveRun, Some(AttemptOutcome::Reset)));
        self.update_truth(s);
    }

    /// An attempt has ended at its server. The proxy learns of `outcome`, or of nothing where it is `None`.
    fn attempt_done(&mut self, now: Nanos, n: u32, ran: AttemptEnd, outcome: Option<AttemptOutcome>) {
        let Some(a) = self.attempts.get_mut(n) else { return };
        a.finished = true;
        self.rules.attempt_ended(a.request, n, micros(now), ran);
        let (request, told) = (a.request, a.reported);
        match outcome.filter(|_| !told) {
            Some(outcome) => {
                let crosses = self.crosses(n);
                let delay = self.experiment.network.to_server(crosses, &mut self.network_rng);
                self.schedule_attempt_end(now, n, outcome, delay);
            }
            None => self.remove_if_over(n),
        }
        self.trace_line(now, request, || format!("attempt {n} ended at its server: {ran:?}"));
    }

    /// Schedules the arrival of an attempt's outcome at its proxy.
    fn schedule_attempt_end(&mut self, now: Nanos, n: u32, outcome: AttemptOutcome, delay: Nanos) {
        if let Some(a) = self.attempts.get_mut(n) {
            a.outcome = outcome;
            self.calendar.push(now + delay, Event::AttemptEnd(n));
        }
    }

    /// Removes an attempt that is over at both its proxy and its server.
    fn remove_if_over(&mut self, n: u32) {
        if self.attempts.get(n).is_some_and(|a| a.reported && a.finished) {
            self.attempts.remove(n);
        }
    }

    /// The outcome of an attempt arrives at its proxy.
    pub(super) fn attempt_end_arrives(&mut self, now: Nanos, n: u32) {
        let Some(a) = self.attempts.get(n).filter(|a| !a.reported) else { return };
        let outcome = a.outcome;
        if self.experiment.fleet.defect == Some(Defect::Resends)
            && !matches!(outcome, AttemptOutcome::Served | AttemptOutcome::NotSent)
            && self.resend_instead(now, n)
        {
            return;
        }
        self.report_attempt_end(now, n, outcome, Event::AttemptEnd(n));
    }

    /// An attempt's time is up.
    pub(super) fn attempt_timed_out(&mut self, now: Nanos, n: u32) {
        if self.attempts.get(n).is_some_and(|a| !a.reported) {
            self.report_attempt_end(now, n, AttemptOutcome::TimedOut, Event::AttemptTimeout(n));
        }
    }

    /// Reports an attempt's outcome to its proxy's core; a paused proxy gets `again` when it resumes.
    fn report_attempt_end(&mut self, now: Nanos, n: u32, outcome: AttemptOutcome, again: Event) {
        let Some(a) = self.attempts.get_mut(n) else { return };
        let (p, request, number, sent) = (a.proxy, a.request, a.number, a.sent);
        let proxy = &mut self.proxies[usize::from(p)];
        if proxy.process != a.process || !proxy.running {
            a.reported = true;
            return self.remove_if_over(n);
        }
        if proxy.paused_until > now {
            return self.calendar.push(proxy.paused_until, again);
        }
        a.reported = true;
        self.rules.attempt_closed(request, n, micros(now));
        let latency = (now - sent) as f64 / MS as f64;
        self.trace_line(now, request, || format!("attempt {n} ended at its proxy: {outcome:?}"));
        if number != NOT_OF_CORE {
            let reply = (outcome == AttemptOutcome::Served).then_some(n);
            let core = &mut self.proxies[usize::from(p)].core;
            core.ended(duration(now), RequestId(u64::from(request)), number, latency, outcome, reply);
            self.apply_commands(now, p);
        }
        self.remove_if_over(n);
    }

    /// The core answers a request; defects alter some of the answers here.
    fn answer_request(&mut self, now: Nanos, p: u16, id: RequestId, answer: Answer<u32>) {
        let number = id.0 as u32;
        let proxy = &mut self.proxies[usize::from(p)];
        proxy.answers += 1;
        let affected = proxy.answers.is_multiple_of(SOME);
        let (mut end, mut ended, after) = match answer {
            Answer::Served(n) => (End::Served(Some(n)), Ended::Served, None),
            Answer::Refused(after) => (End::Refused, Ended::Refused, after),
            Answer::Failed => (End::Failed, Ended::Failed, None),
        };
        match self.experiment.fleet.defect {
            Some(Defect::DropsAnswers) if affected => (end, ended) = (End::Broken, Ended::Lost),
            Some(Defect::RefusesRan) if end == End::Failed => (end, ended) = (End::Refused, Ended::Refused),
            Some(Defect::AnswersLate) if affected => {
                if let Some(deadline) = self.requests.get(number).map(|r| r.deadline) {
                    let stamp = if let End::Served(Some(n)) = end { n } else { NOT_OF_CORE };
                    self.calendar.push(deadline.max(now) + 200 * MS, Event::LateAnswer(number, stamp));
                }
                return;
            }
            Some(Defect::SendsAfter) if affected => self.resend_later(now, p, number),
            _ => {}
        }
        self.end_request(now, number, end, ended, after);
    }

    /// An answer that [`Defect::AnswersLate`] held back.
    pub(super) fn late_answer(&mut self, now: Nanos, number: u32, stamp: u32) {
        let (end, ended) = if stamp == NOT_OF_CORE {
            (End::Failed, Ended::Failed)
        } else {
            (End::Served(Some(stamp)), Ended::Served)
        };
        self.end_request(now, number, end, ended, None);
    }

    /// [`Defect::Resends`]: sends the request again instead of reporting the end of an attempt.
    fn resend_instead(&mut self, now: Nanos, n: u32) -> bool {
        let Some(a) = self.attempts.get_mut(n) else { return false };
        let Some(r) = self.requests.get(a.request).filter(|r| r.task.retries < MAX_RESENDS) else {
            return false;
        };
        if now >= r.deadline {
            return false;
        }
        a.reported = true;
        let (request, number, p, until, work) = (a.request, a.number, a.proxy, a.until, a.work);
        if let Some(r) = self.requests.get_mut(request) {
            r.task.retries += 1;
        }
        self.remove_if_over(n);
        self.send_past_core(now, request, number, p, until, work)
    }

    /// [`Defect::SendsAfter`]: schedules one more attempt 150 ms after the answer.
    fn resend_later(&mut self, now: Nanos, p: u16, request: u32) {
        let Some(work) = self.requests.get(request).map(|r| r.task.work) else { return };
        let n = self.attempts.add(self.attempt_past_core(request, p, now, work, now + 10_000 * MS));
        self.calendar.push(now + 150 * MS, Event::Resend(n));
    }

    /// An attempt that the core does not know of, at any server that is up.
    fn attempt_past_core(&self, request: u32, p: u16, now: Nanos, work: f64, until: Nanos) -> AttemptState {
        let up: Vec<usize> = (0..self.servers.len()).filter(|s| self.servers[*s].health == "up").collect();
        let server = up.get(now as usize / 1000 % up.len().max(1)).map_or(0, |s| *s as u32);
        AttemptState::new(request, (p, self.proxies[usize::from(p)].process), server, (now, until), work)
    }

    /// Sends an attempt that bypasses the core, but reports its end to the core as attempt `number`.
    fn send_past_core(
        &mut self, now: Nanos, request: u32, number: u32, p: u16, until: Nanos, work: f64,
    ) -> bool {
        if !self.servers.iter().any(|s| s.health == "up") {
            return false;
        }
        let mut added = self.attempt_past_core(request, p, now, work, until);
        added.number = number;
        let n = self.attempts.add(added);
        self.calendar.push(until.max(now), Event::AttemptTimeout(n));
        self.first_byte(now, n);
        true
    }

    /// Marks all attempts of a process that is gone as reported: nobody is left to learn how they end.
    pub(super) fn abandon_attempts(&mut self, process: u16) {
        let mine = |(n, a): (u32, &AttemptState)| (a.process == process && !a.reported).then_some(n);
        let all: Vec<u32> = self.attempts.iter().filter_map(mine).collect();
        for n in all {
            if let Some(a) = self.attempts.get_mut(n) {
                a.reported = true;
            }
            self.remove_if_over(n);
        }
    }
}
