//! The event loop, and the fault actions.

use rand::RngExt;
use sandgap_rules::{AttemptEnd, End};

use super::{
    EXPIRY_INTERVAL, Event, Fleet, LATE_ANSWER_WAIT, MS, Mode, Nanos, RunError, STOP_DELAY, StepAction,
    micros,
};
use crate::measure::Ended;

impl Fleet<'_> {
    /// Runs all events until the load and its last answer are over.
    pub(super) fn run_events(&mut self) -> Result<(), RunError> {
        // By then every request has ended, even in a fleet that never works off its queues.
        let horizon = self.measures.end() + self.longest_deadline + LATE_ANSWER_WAIT + 2 * EXPIRY_INTERVAL;
        while let Some((now, event)) = self.calendar.pop() {
            if now > horizon {
                break;
            }
            self.measures.events += 1;
            let expiry_checked = matches!(event, Event::EndExpired);
            self.handle_event(now, event)?;
            // After the end of the load, the last answer ends the run: no attempt still in progress changes a result.
            if expiry_checked && now >= self.measures.end() && self.requests.held() + self.retries.held() == 0
            {
                break;
            }
        }
        let waiting: Vec<u32> = self.requests.iter().map(|(n, _)| n).collect();
        for n in waiting {
            self.end_request(horizon, n, End::NoResponse, Ended::Lost, None);
        }
        // Attempts that are still in progress may or may not have run.
        let running: Vec<(u32, u32)> =
            self.attempts.iter().filter(|(_, a)| !a.finished).map(|(n, a)| (n, a.request)).collect();
        running
            .into_iter()
            .for_each(|(n, r)| self.rules.attempt_ended(r, n, micros(horizon), AttemptEnd::MayHaveRun));
        Ok(())
    }

    fn handle_event(&mut self, now: Nanos, event: Event) -> Result<(), RunError> {
        match event {
            Event::Arrival => return self.arrive(now),
            Event::UserReady(u) => return self.user_ready(now, u),
            Event::Retry(n) => {
                if let Some(task) = self.retries.remove(n) {
                    self.submit(now, task);
                }
            }
            Event::FirstByte(n) | Event::Resend(n) => self.first_byte(now, n),
            Event::Delivery(n) => self.deliver(now, n),
            Event::Completion(s, stamp) => self.completion_due(now, s, stamp),
            Event::WarmStep(s) => self.warm_step(now, s),
            Event::AttemptEnd(n) => self.attempt_end_arrives(now, n),
            Event::AttemptTimeout(n) => self.attempt_timed_out(now, n),
            Event::Timer(p, process) => self.timer_due(now, p, process),
            Event::ReadRequest(n) => self.read_request(now, n),
            Event::ClientLeaves(n) => self.client_leaves(now, n),
            Event::ClientGone(p, process, n) => self.client_gone(now, p, process, n),
            Event::LateAnswer(n, stamp) => self.late_answer(now, n, stamp),
            Event::PlanStep(i) => return self.apply_step(now, self.plan.steps[i as usize].what),
            Event::ListChange(p, process, version) => self.list_change_arrives(now, p, process, version),
            Event::FullList(p, process, version) => self.full_list_arrives(now, p, process, version),
            Event::Datagram(p, n) => self.datagram(now, p, n),
            Event::ProxyStop(p, process) => {
                let proxy = &mut self.proxies[usize::from(p)];
                if proxy.process == process && proxy.running {
                    proxy.accepting = false;
                    // By then every request that it held has ended.
                    self.calendar.push(now + self.longest_deadline + 100 * MS, Event::ProxyStart(p));
                }
            }
            Event::ProxyStart(p) => return self.restart(now, p),
            Event::FrontNotices(p, up) => {
                let proxy = &mut self.proxies[usize::from(p)];
                proxy.front = up && proxy.running && proxy.accepting;
            }
            Event::EndExpired => self.end_expired_requests(now),
        }
        Ok(())
    }

    /// A cold server warms up by one step.
    fn warm_step(&mut self, now: Nanos, s: u32) {
        let server = &mut self.servers[s as usize].server;
        server.update_rate(now);
        if let Some(span) = server.warm_step(now) {
            self.calendar.push(now + span, Event::WarmStep(s));
        }
        self.schedule_completion(now, s);
        self.update_truth(s);
    }

    /// Carries out a fault action.
    fn apply_step(&mut self, now: Nanos, what: StepAction) -> Result<(), RunError> {
        self.trace_line(now, u32::MAX, || format!("{what:?}"));
        match what {
            StepAction::Mode(s, mode) => {
                self.servers[s as usize].mode = mode;
                self.set_speed_part(now, s, if mode == Mode::Hang { 0.0 } else { 1.0 });
            }
            StepAction::Vigour(s, part) => self.set_speed_part(now, s, part),
            StepAction::Drain(s) if self.servers[s as usize].health == "up" => {
                self.set_health(now, s, "draining")
            }
            StepAction::Undrain(s) if self.servers[s as usize].health == "draining" => {
                self.set_health(now, s, "up")
            }
            StepAction::Drain(_) | StepAction::Undrain(_) => {}
            StepAction::Remove(s) => {
                if self.servers[s as usize].health != "removed" {
                    self.end_server(now, s);
                    self.set_health(now, s, "removed");
                }
            }
            StepAction::Join(s) => {
                let (group, cell, zone) = {
                    let old = &self.servers[s as usize];
                    (old.group, old.cell, old.zone)
                };
                let new = self.add_server(group, zone.unwrap_or(0), Some((now, cell)))?;
                self.set_health(now, new, "up");
                self.warm_step(now, new);
            }
            StepAction::Silent(on) => self.set_discovery_silent(now, None, on),
            StepAction::Split(p, on) => self.set_discovery_silent(now, Some(p), on),
            StepAction::Stale(back) => {
                let old = (self.changes.len() as u32).saturating_sub(back);
                for p in 0..self.proxies.len() as u16 {
                    let process = self.proxies[usize::from(p)].process;
                    self.calendar.push(now, Event::FullList(p, process, old));
                }
            }
            StepAction::Loss(part) => {
                self.loss = if part < 0.0 { self.experiment.network.loss } else { part }
            }
            StepAction::Partition(p, s, on) => {
                self.partitions.retain(|c| *c != (p, s));
                if on {
                    self.partitions.push((p, s));
                }
            }
            StepAction::Kill(p, span) => self.kill(now, p as u16, span),
            StepAction::Restart(p) => {
                let proxy = &self.proxies[p as usize];
                if proxy.running && proxy.accepting {
                    let noticed = STOP_DELAY / 10 + self.front_rng.random_range(0..STOP_DELAY * 8 / 10);
                    self.calendar.push(now + noticed, Event::FrontNotices(p as u16, false));
                    self.calendar.push(now + STOP_DELAY, Event::ProxyStop(p as u16, proxy.process));
                }
            }
            StepAction::Pause(p, span) => {
                let proxy = &mut self.proxies[p as usize];
                if proxy.running && proxy.paused_until <= now {
                    proxy.paused_until = now + span;
                    self.rules.paused(proxy.process, micros(now), micros(now + span) + 1);
                }
            }
        }
        Ok(())
    }

    /// Sets the part of its speed that a server has.
    fn set_speed_part(&mut self, now: Nanos, s: u32, part: f64) {
        self.servers[s as usize].server.set_vigour(now, part);
        self.schedule_completion(now, s);
        self.update_truth(s);
    }

    /// A proxy's process is killed; every request that it holds is lost.
    fn kill(&mut self, now: Nanos, p: u16, span: Nanos) {
        let proxy = &mut self.proxies[usize::from(p)];
        if !proxy.running {
            return;
        }
        (proxy.running, proxy.accepting) = (false, false);
        let process = proxy.process;
        self.rules.killed(process, micros(now));
        self.abandon_attempts(process);
        let held: Vec<u32> =
            self.requests.iter().filter(|(_, r)| r.process == process).map(|(n, _)| n).collect();
        held.into_iter().for_each(|n| self.end_request(now, n, End::Broken, Ended::Lost, None));
        let notices = crate::calendar::nanos(self.experiment.fleet.front_notices_ms);
        self.calendar.push(now + notices, Event::FrontNotices(p, false));
        self.calendar.push(now + span.max(MS), Event::ProxyStart(p));
    }

    /// Updates the true server states for rival policies that may see them.
    pub(super) fn update_truth(&mut self, s: u32) {
        if !self.wants_truth {
            return;
        }
        let now = self.calendar.now();
        let state = &mut self.servers[s as usize];
        let held = state.server.held() + state.in_transit as usize;
        let available = state.running && state.mode == Mode::Normal && state.health == "up";
        let cores = state.server.build.cores as usize;
        let open = available && (cores == 0 || held < cores);
        let rate = if open { state.server.rate_with(now, held + 1) } else { 0.0 };
        let mut truth = self.truth.borrow_mut();
        truth.next_rate.insert(state.id, rate);
        if available && held == 0 && !state.idle && !truth.idle.is_empty() {
            state.idle = true;
            let proxy = self.choices_rng.random_range(0..truth.idle.len());
            truth.idle[proxy].push_back(state.id);
        }
    }

    /// Adds a trace line, if a trace was asked for.
    pub(super) fn trace_line(&mut self, now: Nanos, request: u32, what: impl FnOnce() -> String) {
        let Some(trace) = self.trace.as_mut() else { return };
        if request == u32::MAX || trace.request.is_none_or(|r| r == request) {
            trace.lines.push((now, request, what()));
        }
    }
}
