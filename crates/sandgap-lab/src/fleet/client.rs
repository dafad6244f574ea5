//! Clients and the front: tasks, tries, and how clients react to their answers.

use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use sandgap_driver::Arrival;
use sandgap_rules::End;
use wharfhitch::{ClassId, Effect, RequestId, TenantId};

use super::{
    EXPIRY_INTERVAL, Event, Fleet, IN_FLIGHT, LATE_ANSWER_WAIT, Load, MS, NO_USER, Nanos, PendingRequest,
    RunError, SECOND, Task, duration, micros, nanos, pick_index, stream,
};
use crate::defects::{Defect, SOME};
use crate::file::Retry;
use crate::measure::Ended;
use crate::rivals::PolicyKind;

/// The retry delay of a client that was given none, before the random extra.
const DEFAULT_RETRY_DELAY: Nanos = SECOND;

impl Fleet<'_> {
    /// Schedules the next arrival of an open load.
    pub(super) fn next_arrival(&mut self, now: Nanos) {
        let at = match &self.experiment.load {
            Load::Replay { speed, .. } => {
                self.plan.recorded.get(self.tasks as usize).map(|r| nanos(r.at_ms / speed))
            }
            _ => self.source.next_at(),
        };
        if let Some(at) = at.filter(|at| *at < self.measures.end()) {
            self.calendar.push(at.max(now), Event::Arrival);
        }
    }

    /// Starts a task of an open load and schedules the next one.
    pub(super) fn arrive(&mut self, now: Nanos) -> Result<(), RunError> {
        self.new_task(now, NO_USER)?;
        self.next_arrival(now);
        Ok(())
    }

    /// A user of a closed loop starts a task, unless the load has ended.
    pub(super) fn user_ready(&mut self, now: Nanos, user: u32) -> Result<(), RunError> {
        if now < self.measures.end() { self.new_task(now, user) } else { Ok(()) }
    }

    /// Draws a task from its own random stream and submits it.
    fn new_task(&mut self, now: Nanos, user: u32) -> Result<(), RunError> {
        let number = self.tasks;
        self.tasks += 1;
        if self.requests.held() >= IN_FLIGHT {
            return Err(RunError::Overrun(now / SECOND));
        }
        if self.plan.keep.as_ref().is_some_and(|k| !k.iter().any(|r| (r.0..r.1).contains(&number))) {
            return Ok(());
        }
        // Each task has a random stream of its own, so that what a policy does to one task changes no other's draws.
        let mut rng = stream(self.plan.seed, "task", u64::from(number));
        let (mut class, mut tenant) = (
            pick_index(&self.class_distribution, rng.random()),
            pick_index(&self.tenant_distribution, rng.random()),
        );
        if let Some(line) = self.plan.recorded.get(number as usize) {
            let named = |what, name: &Option<String>, all: Vec<&String>, drawn| match name {
                None => Ok(drawn),
                Some(n) => all.iter().position(|c| *c == n).ok_or(RunError::Unknown(what, n.clone())),
            };
            class = named(
                "class",
                &line.class,
                self.experiment.classes.iter().map(|c| &c.name).collect(),
                class,
            )?;
            tenant = named(
                "tenant",
                &line.tenant,
                self.experiment.tenants.iter().map(|t| &t.name).collect(),
                tenant,
            )?;
        }
        let spec = &self.experiment.classes[class];
        let patience_part =
            self.experiment.clients.patience + (1.0 - self.experiment.clients.patience) * rng.random::<f64>();
        let mut work = spec.work.draw(&mut rng);
        let mut patience = spec.deadline_ms * patience_part;
        if let Some(line) = self.plan.recorded.get(number as usize) {
            work = line.work_ms.unwrap_or(work);
            patience = line.timeout_ms.unwrap_or(patience);
        }
        let leaves_after = (rng.random::<f64>() < self.experiment.clients.leave)
            .then(|| nanos(2.0 * work * rng.random::<f64>()));
        self.submit(
            now,
            Task {
                number,
                class: class as u16,
                tenant: tenant as u16,
                first_try: now,
                retries: 0,
                user,
                work,
                patience: nanos(patience).max(1),
                leaves_after,
            },
        );
        Ok(())
    }

    /// A client submits a task through the front, for the first time or as a retry.
    pub(super) fn submit(&mut self, now: Nanos, task: Task) {
        let in_rotation = self.proxies.iter().filter(|p| p.front).count();
        let nth = if in_rotation > 0 { self.front_rng.random_range(0..in_rotation) } else { 0 };
        let found = self.proxies.iter().enumerate().filter(|(_, p)| p.front).nth(nth);
        let Some((p, proxy)) = found.filter(|(_, p)| p.running && p.accepting) else {
            return self.end_try(now, task, Ended::Untaken, None);
        };
        let (process, paused, deadline) = (proxy.process, proxy.paused_until, now + task.patience);
        let (effect, leaves_after) =
            (self.experiment.classes[usize::from(task.class)].effect(), task.leaves_after);
        let number =
            self.requests.add(PendingRequest { task, proxy: p as u16, process, deadline, read: false });
        self.measures.requests += 1;
        self.rules.submitted(number, effect, process, micros(now), micros(deadline));
        self.trace_line(now, number, || {
            format!("task {} sent to proxy {p} (process {process})", task.number)
        });
        if let Some(after) = leaves_after.filter(|l| *l < task.patience) {
            self.calendar.push(now + after, Event::ClientLeaves(number));
        }
        if paused > now {
            self.calendar.push(paused, Event::ReadRequest(number));
        } else {
            self.read_request(now, number);
        }
    }

    /// The proxy reads a request and passes it to its core.
    pub(super) fn read_request(&mut self, now: Nanos, number: u32) {
        let Some(r) = self.requests.get_mut(number) else { return };
        let proxy = &mut self.proxies[usize::from(r.proxy)];
        if proxy.process != r.process || !proxy.running {
            return;
        }
        if proxy.paused_until > now {
            return self.calendar.push(proxy.paused_until, Event::ReadRequest(number));
        }
        r.read = true;
        if self.experiment.fleet.defect == Some(Defect::Forges) && number % SOME == SOME - 1 {
            return self.end_request(now, number, End::Served(None), Ended::Served, None);
        }
        let (p, task) = (r.proxy, r.task);
        let arrival = Arrival {
            upload: None,
            id: RequestId(u64::from(number)),
            class: ClassId(usize::from(task.class)),
            effect: match self.plan.policy {
                PolicyKind::Sandgap => self.experiment.classes[usize::from(task.class)].library_effect(),
                _ => Effect::Safe, // so that a rival's mistakes reach the rule checker
            },
            max_concurrent_attempts: match self.plan.policy {
                PolicyKind::Sandgap => self.experiment.fleet.max_concurrent_attempts(),
                _ => u32::MAX, // as for the effect
            },
            tenant: (!self.experiment.tenants.is_empty()).then_some(TenantId(usize::from(task.tenant))),
            key: None,
            hint: None,
            deadline: duration(r.deadline),
            context: (),
        };
        proxy.core.request(duration(now), arrival);
        self.apply_commands(now, p);
    }

    /// A client disconnects, or has given up after its deadline.
    pub(super) fn client_leaves(&mut self, now: Nanos, number: u32) {
        let Some(r) = self.requests.get(number) else { return };
        let (p, process, read) = (r.proxy, r.process, r.read);
        let gave_up = now > r.deadline;
        let (end, ended) = if gave_up { (End::NoResponse, Ended::Lost) } else { (End::Left, Ended::Left) };
        self.end_request(now, number, end, ended, None);
        if read {
            self.client_gone(now, p, process, number);
        }
    }

    /// A proxy learns that a client has disconnected; a paused proxy learns it when it resumes.
    pub(super) fn client_gone(&mut self, now: Nanos, p: u16, process: u16, number: u32) {
        let proxy = &mut self.proxies[usize::from(p)];
        if !proxy.running || proxy.process != process {
            return;
        }
        if proxy.paused_until > now {
            return self.calendar.push(proxy.paused_until, Event::ClientGone(p, process, number));
        }
        proxy.core.client_disconnected(duration(now), RequestId(u64::from(number)));
        self.apply_commands(now, p);
    }

    /// Records how a request ended.
    pub(super) fn end_request(
        &mut self, now: Nanos, number: u32, end: End, ended: Ended, after: Option<f64>,
    ) {
        let Some(r) = self.requests.remove(number) else { return };
        self.rules.finished(number, micros(now), end);
        self.trace_line(now, number, || format!("{end:?}"));
        self.end_try(now, r.task, ended, after);
    }

    /// A client reacts to the end of a try: it retries, or its task has ended.
    fn end_try(&mut self, now: Nanos, mut task: Task, ended: Ended, after: Option<f64>) {
        let wait = match (self.experiment.clients.retry, ended) {
            (_, Ended::Served | Ended::Left) | (Retry::Never, _) => None,
            (Retry::Well, Ended::Refused | Ended::Untaken) => {
                let delay = after.map_or(DEFAULT_RETRY_DELAY, nanos);
                let extra: f64 = Exp1.sample(&mut self.choices_rng);
                Some(delay + (delay as f64 * extra.min(4.0) * 0.5) as Nanos)
            }
            (Retry::Well, _) => None,
            (Retry::Badly, _) => Some(MS),
        };
        if let Some(wait) =
            wait.filter(|_| task.retries < self.experiment.clients.tries && now < self.measures.end())
        {
            task.retries += 1;
            let n = self.retries.add(task);
            return self.calendar.push(now + wait, Event::Retry(n));
        }
        self.measures.task(self.experiment, usize::from(task.class), task.first_try, now, ended);
        if task.user != NO_USER
            && let Load::Closed { think, .. } = &self.experiment.load
        {
            let mut rng = stream(self.plan.seed, "think", u64::from(task.number));
            self.calendar.push(now + nanos(think.draw(&mut rng)).max(1), Event::UserReady(task.user));
        }
    }

    /// Ends the requests whose client has given up.
    pub(super) fn end_expired_requests(&mut self, now: Nanos) {
        let expired = |(n, r): (u32, &PendingRequest)| (now > r.deadline + LATE_ANSWER_WAIT).then_some(n);
        let all: Vec<u32> = self.requests.iter().filter_map(expired).collect();
        all.into_iter().for_each(|n| self.client_leaves(now, n));
        self.calendar.push(now + EXPIRY_INTERVAL, Event::EndExpired);
    }
}
