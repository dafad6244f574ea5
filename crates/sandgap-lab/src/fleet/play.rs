//! From the first event to the last.

use rand::RngExt;
use sandgap_rules::{End, Ran};

use super::{Event, Fleet, GIVES_UP, Happening, MS, Mode, Nanos, RunError, STOP_NOTICED, SWEEP, us};
use crate::measure::Ended;

impl Fleet<'_> {
    pub(super) fn play(&mut self) -> Result<(), RunError> {
        // Whatever was asked has its end by then, also in a fleet that never drains.
        let horizon = self.measures.end() + self.longest + GIVES_UP + 2 * SWEEP;
        while let Some((now, event)) = self.cal.pop() {
            if now > horizon {
                break;
            }
            self.measures.events += 1;
            let swept = matches!(event, Event::Sweep);
            self.event(now, event)?;
            // Past the load's end the last answer ends the run; nothing that still runs can change it.
            if swept && now >= self.measures.end() && self.requests.held() + self.again.held() == 0 {
                break;
            }
        }
        let waiting: Vec<u32> = self.requests.iter().map(|(n, _)| n).collect();
        for n in waiting {
            self.finish(horizon, n, End::Silent, Ended::Lost, None);
        }
        // What still runs may run to its end.
        let running: Vec<(u32, u32)> =
            self.attempts.iter().filter(|(_, a)| !a.over).map(|(n, a)| (n, a.request)).collect();
        running.into_iter().for_each(|(n, r)| self.rules.over(r, n, us(horizon), Ran::Perhaps));
        Ok(())
    }

    fn event(&mut self, now: Nanos, event: Event) -> Result<(), RunError> {
        match event {
            Event::Arrive => return self.arrive(now),
            Event::User(u) => return self.user(now, u),
            Event::Again(n) => {
                if let Some(task) = self.again.remove(n) {
                    self.submit(now, task);
                }
            }
            Event::FirstByte(n) | Event::Resend(n) => self.first_byte(now, n),
            Event::Deliver(n) => self.deliver(now, n),
            Event::Done(s, stamp) => self.completed(now, s, stamp),
            Event::Warm(s) => self.warm(now, s),
            Event::Reply(n) => self.reply(now, n),
            Event::TimedOut(n) => self.timed_out(now, n),
            Event::Due(p, process) => self.due(now, p, process),
            Event::Ask(n) => self.ask(now, n),
            Event::Leave(n) => self.leave(now, n),
            Event::Gone(p, process, n) => self.gone(now, p, process, n),
            Event::LateAnswer(n, stamp) => self.late_answer(now, n, stamp),
            Event::Step(i) => return self.step(now, self.plan.steps[i as usize].what),
            Event::News(p, process, version) => self.news(now, p, process, version),
            Event::Whole(p, process, version) => self.whole_at(now, p, process, version),
            Event::Datagram(p, n) => self.datagram(now, p, n),
            Event::Stop(p, process) => {
                let proxy = &mut self.proxies[usize::from(p)];
                if proxy.process == process && proxy.runs {
                    proxy.takes = false;
                    // By then each request that it held has its end.
                    self.cal.push(now + self.longest + 100 * MS, Event::Start(p));
                }
            }
            Event::Start(p) => return self.restart(now, p),
            Event::FrontSees(p, up) => {
                let proxy = &mut self.proxies[usize::from(p)];
                proxy.front = up && proxy.runs && proxy.takes;
            }
            Event::Sweep => self.sweep(now),
        }
        Ok(())
    }

    /// A cold server warms by a step.
    fn warm(&mut self, now: Nanos, s: u32) {
        let server = &mut self.places[s as usize].server;
        server.pace(now);
        if let Some(span) = server.warming(now) {
            self.cal.push(now + span, Event::Warm(s));
        }
        self.announce(now, s);
        self.touch(s);
    }

    fn step(&mut self, now: Nanos, what: Happening) -> Result<(), RunError> {
        self.say(now, u32::MAX, || format!("{what:?}"));
        match what {
            Happening::Mode(s, mode) => {
                self.places[s as usize].mode = mode;
                self.vigour(now, s, if mode == Mode::Hang { 0.0 } else { 1.0 });
            }
            Happening::Vigour(s, part) => self.vigour(now, s, part),
            Happening::Drain(s) if self.places[s as usize].health == "up" => self.change(now, s, "draining"),
            Happening::Undrain(s) if self.places[s as usize].health == "draining" => {
                self.change(now, s, "up")
            }
            Happening::Drain(_) | Happening::Undrain(_) => {}
            Happening::Remove(s) => {
                if self.places[s as usize].health != "removed" {
                    self.end_place(now, s);
                    self.change(now, s, "removed");
                }
            }
            Happening::Join(s) => {
                let (group, cell, zone) = {
                    let old = &self.places[s as usize];
                    (old.group, old.cell, old.zone)
                };
                let new = self.add_place(group, zone.unwrap_or(0), Some((now, cell)))?;
                self.change(now, new, "up");
                self.warm(now, new);
            }
            Happening::Silent(on) => self.hush(now, None, on),
            Happening::Split(p, on) => self.hush(now, Some(p), on),
            Happening::Stale(back) => {
                let old = (self.changes.len() as u32).saturating_sub(back);
                for p in 0..self.proxies.len() as u16 {
                    let process = self.proxies[usize::from(p)].process;
                    self.cal.push(now, Event::Whole(p, process, old));
                }
            }
            Happening::Loss(part) => self.loss = if part < 0.0 { self.e.network.loss } else { part },
            Happening::Partition(p, s, on) => {
                self.cut.retain(|c| *c != (p, s));
                if on {
                    self.cut.push((p, s));
                }
            }
            Happening::Kill(p, span) => self.kill(now, p as u16, span),
            Happening::Restart(p) => {
                let proxy = &self.proxies[p as usize];
                if proxy.runs && proxy.takes {
                    let noticed = STOP_NOTICED / 10 + self.front.random_range(0..STOP_NOTICED * 8 / 10);
                    self.cal.push(now + noticed, Event::FrontSees(p as u16, false));
                    self.cal.push(now + STOP_NOTICED, Event::Stop(p as u16, proxy.process));
                }
            }
            Happening::Pause(p, span) => {
                let proxy = &mut self.proxies[p as usize];
                if proxy.runs && proxy.paused <= now {
                    proxy.paused = now + span;
                    self.rules.paused(proxy.process, us(now), us(now + span) + 1);
                }
            }
        }
        Ok(())
    }

    fn vigour(&mut self, now: Nanos, s: u32, part: f64) {
        self.places[s as usize].server.set_vigour(now, part);
        self.announce(now, s);
        self.touch(s);
    }

    /// A proxy's process dies with all that it holds.
    fn kill(&mut self, now: Nanos, p: u16, span: Nanos) {
        let proxy = &mut self.proxies[usize::from(p)];
        if !proxy.runs {
            return;
        }
        (proxy.runs, proxy.takes) = (false, false);
        let process = proxy.process;
        self.rules.killed(process, us(now));
        self.forget(process);
        let held: Vec<u32> =
            self.requests.iter().filter(|(_, r)| r.process == process).map(|(n, _)| n).collect();
        held.into_iter().for_each(|n| self.finish(now, n, End::Broken, Ended::Lost, None));
        let notices = crate::calendar::nanos(self.e.fleet.front_notices_ms);
        self.cal.push(now + notices, Event::FrontSees(p, false));
        self.cal.push(now + span.max(MS), Event::Start(p));
    }

    /// What those rivals know that may know everything.
    pub(super) fn touch(&mut self, s: u32) {
        if !self.wants_truth {
            return;
        }
        let now = self.cal.now();
        let place = &mut self.places[s as usize];
        let held = place.server.held() + place.on_way as usize;
        let works = place.lives && place.mode == Mode::Normal && place.health == "up";
        let cores = place.server.build.cores as usize;
        let open = works && (cores == 0 || held < cores);
        let rate = if open { place.server.rate_with(now, held + 1) } else { 0.0 };
        let mut truth = self.truth.borrow_mut();
        truth.next_rate.insert(place.id, rate);
        if works && held == 0 && !place.idle && !truth.idle.is_empty() {
            place.idle = true;
            let whom = self.whims.random_range(0..truth.idle.len());
            truth.idle[whom].push_back(place.id);
        }
    }

    /// Notes a line for whoever asked for the story.
    pub(super) fn say(&mut self, now: Nanos, request: u32, what: impl FnOnce() -> String) {
        let Some(trace) = self.trace.as_mut() else { return };
        if request == u32::MAX || trace.request.is_none_or(|r| r == request) {
            trace.lines.push((now, request, what()));
        }
    }
}
