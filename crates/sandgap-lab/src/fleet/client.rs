//! Clients and the front layer: tasks, tries, what clients make of their answers.

use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use sandgap_driver::Arrival;
use sandgap_rules::End;
use wharfhitch::{ClassId, Effect, RequestId, TenantId};

use super::{
    Asked, Event, Fleet, GIVES_UP, IN_FLIGHT, Load, MS, NOBODY, Nanos, RunError, SECOND, SWEEP, Task, nanos,
    pick, stream, time, us,
};
use crate::defects::{Defect, SOME};
use crate::file::Retry;
use crate::measure::Ended;
use crate::rivals::PolicyKind;

/// A client that was told nothing of when to come back waits this long, in the mean.
const COMEBACK: Nanos = SECOND;

impl Fleet<'_> {
    /// Puts the next open request on the calendar.
    pub(super) fn next_arrival(&mut self, now: Nanos) {
        let at = match &self.e.load {
            Load::Replay { speed, .. } => {
                self.plan.recorded.get(self.tasks as usize).map(|r| nanos(r.at_ms / speed))
            }
            _ => self.source.next_at(),
        };
        if let Some(at) = at.filter(|at| *at < self.measures.end()) {
            self.cal.push(at.max(now), Event::Arrive);
        }
    }

    pub(super) fn arrive(&mut self, now: Nanos) -> Result<(), RunError> {
        self.new_task(now, NOBODY)?;
        self.next_arrival(now);
        Ok(())
    }

    /// A user of a closed loop asks.
    pub(super) fn user(&mut self, now: Nanos, user: u32) -> Result<(), RunError> {
        if now < self.measures.end() { self.new_task(now, user) } else { Ok(()) }
    }

    fn new_task(&mut self, now: Nanos, user: u32) -> Result<(), RunError> {
        let number = self.tasks;
        self.tasks += 1;
        if self.requests.held() >= IN_FLIGHT {
            return Err(RunError::Overrun(now / SECOND));
        }
        if self.plan.keep.as_ref().is_some_and(|k| !k.iter().any(|r| (r.0..r.1).contains(&number))) {
            return Ok(());
        }
        // Each task draws from a stream of its own: what one policy does to one task changes no other's draw.
        let mut rng = stream(self.plan.seed, "task", u64::from(number));
        let (mut class, mut tenant) =
            (pick(&self.class_parts, rng.random()), pick(&self.tenant_parts, rng.random()));
        if let Some(line) = self.plan.recorded.get(number as usize) {
            let named = |what, name: &Option<String>, all: Vec<&String>, drawn| match name {
                None => Ok(drawn),
                Some(n) => all.iter().position(|c| *c == n).ok_or(RunError::Unknown(what, n.clone())),
            };
            class = named("class", &line.class, self.e.classes.iter().map(|c| &c.name).collect(), class)?;
            tenant = named("tenant", &line.tenant, self.e.tenants.iter().map(|t| &t.name).collect(), tenant)?;
        }
        let spec = &self.e.classes[class];
        let waits = self.e.clients.patience + (1.0 - self.e.clients.patience) * rng.random::<f64>();
        let mut work = spec.work.draw(&mut rng);
        let mut patience = spec.deadline_ms * waits;
        if let Some(line) = self.plan.recorded.get(number as usize) {
            work = line.work_ms.unwrap_or(work);
            patience = line.timeout_ms.unwrap_or(patience);
        }
        let leaves =
            (rng.random::<f64>() < self.e.clients.leave).then(|| nanos(2.0 * work * rng.random::<f64>()));
        self.submit(
            now,
            Task {
                number,
                class: class as u16,
                tenant: tenant as u16,
                first: now,
                tries: 0,
                user,
                work,
                patience: nanos(patience).max(1),
                leaves,
            },
        );
        Ok(())
    }

    /// A client asks, for the first time or again.
    pub(super) fn submit(&mut self, now: Nanos, task: Task) {
        let seen = self.proxies.iter().filter(|p| p.front).count();
        let nth = if seen > 0 { self.front.random_range(0..seen) } else { 0 };
        let found = self.proxies.iter().enumerate().filter(|(_, p)| p.front).nth(nth);
        let Some((p, proxy)) = found.filter(|(_, p)| p.runs && p.takes) else {
            return self.conclude(now, task, Ended::Untaken, None);
        };
        let (process, paused, deadline) = (proxy.process, proxy.paused, now + task.patience);
        let (effect, leaves) = (self.e.classes[usize::from(task.class)].effect(), task.leaves);
        let number = self.requests.add(Asked { task, proxy: p as u16, process, deadline, read: false });
        self.measures.requests += 1;
        self.rules.asked(number, effect, process, us(now), us(deadline));
        self.say(now, number, || format!("task {} asked at proxy {p} (process {process})", task.number));
        if let Some(after) = leaves.filter(|l| *l < task.patience) {
            self.cal.push(now + after, Event::Leave(number));
        }
        if paused > now {
            self.cal.push(paused, Event::Ask(number));
        } else {
            self.ask(now, number);
        }
    }

    /// Its proxy reads a request.
    pub(super) fn ask(&mut self, now: Nanos, number: u32) {
        let Some(r) = self.requests.get_mut(number) else { return };
        let proxy = &mut self.proxies[usize::from(r.proxy)];
        if proxy.process != r.process || !proxy.runs {
            return;
        }
        if proxy.paused > now {
            return self.cal.push(proxy.paused, Event::Ask(number));
        }
        r.read = true;
        if self.e.fleet.defect == Some(Defect::Forges) && number % SOME == SOME - 1 {
            return self.finish(now, number, End::Served(None), Ended::Served, None);
        }
        let (p, task) = (r.proxy, r.task);
        let arrival = Arrival {
            upload: None,
            id: RequestId(u64::from(number)),
            class: ClassId(usize::from(task.class)),
            effect: match self.plan.policy {
                PolicyKind::Sandgap => self.e.classes[usize::from(task.class)].module_effect(),
                _ => Effect::Safe, // a rival's mistakes have to show in the laboratory's own checker
            },
            tenant: (!self.e.tenants.is_empty()).then_some(TenantId(usize::from(task.tenant))),
            key: None,
            hint: None,
            deadline: time(r.deadline),
            held: (),
        };
        proxy.core.request(time(now), arrival);
        self.after(now, p);
    }

    /// A client leaves, or has waited in vain.
    pub(super) fn leave(&mut self, now: Nanos, number: u32) {
        let Some(r) = self.requests.get(number) else { return };
        let (p, process, read) = (r.proxy, r.process, r.read);
        let vain = now > r.deadline;
        let (end, ended) = if vain { (End::Silent, Ended::Lost) } else { (End::Left, Ended::Left) };
        self.finish(now, number, end, ended, None);
        if read {
            self.gone(now, p, process, number);
        }
    }

    /// A proxy hears that a client has left; one that stands still hears it when it goes on.
    pub(super) fn gone(&mut self, now: Nanos, p: u16, process: u16, number: u32) {
        let proxy = &mut self.proxies[usize::from(p)];
        if !proxy.runs || proxy.process != process {
            return;
        }
        if proxy.paused > now {
            return self.cal.push(proxy.paused, Event::Gone(p, process, number));
        }
        proxy.core.client_disconnected(time(now), RequestId(u64::from(number)));
        self.after(now, p);
    }

    /// A request has its end.
    pub(super) fn finish(&mut self, now: Nanos, number: u32, end: End, ended: Ended, after: Option<f64>) {
        let Some(r) = self.requests.remove(number) else { return };
        self.rules.got(number, us(now), end);
        self.say(now, number, || format!("{end:?}"));
        self.conclude(now, r.task, ended, after);
    }

    /// A client makes something of an end: it tries again, or its task has ended.
    fn conclude(&mut self, now: Nanos, mut task: Task, ended: Ended, after: Option<f64>) {
        let wait = match (self.e.clients.retry, ended) {
            (_, Ended::Served | Ended::Left) | (Retry::Never, _) => None,
            (Retry::Well, Ended::Refused | Ended::Untaken) => {
                let told = after.map_or(COMEBACK, nanos);
                let part: f64 = Exp1.sample(&mut self.whims);
                Some(told + (told as f64 * part.min(4.0) * 0.5) as Nanos)
            }
            (Retry::Well, _) => None,
            (Retry::Badly, _) => Some(MS),
        };
        if let Some(wait) = wait.filter(|_| task.tries < self.e.clients.tries && now < self.measures.end()) {
            task.tries += 1;
            let n = self.again.add(task);
            return self.cal.push(now + wait, Event::Again(n));
        }
        self.measures.task(self.e, usize::from(task.class), task.first, now, ended);
        if task.user != NOBODY
            && let Load::Closed { think, .. } = &self.e.load
        {
            let mut rng = stream(self.plan.seed, "think", u64::from(task.number));
            self.cal.push(now + nanos(think.draw(&mut rng)).max(1), Event::User(task.user));
        }
    }

    /// Finds clients that have waited in vain.
    pub(super) fn sweep(&mut self, now: Nanos) {
        let vain = |(n, r): (u32, &Asked)| (now > r.deadline + GIVES_UP).then_some(n);
        let all: Vec<u32> = self.requests.iter().filter_map(vain).collect();
        all.into_iter().for_each(|n| self.leave(now, n));
        self.cal.push(now + SWEEP, Event::Sweep);
    }
}
