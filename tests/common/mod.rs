//! Settings for tests, a test harness that drives a balancer, and a checker of the four rules.
#![allow(dead_code)] // each test file uses a different part
use std::collections::{BTreeMap, HashMap};
use wharfhitch::*;

pub fn class(effect: Effect, aim: Millis) -> Class {
    Class { aim, deadline: 2.5 * aim, aim_stretch: 0.0, worth: 1.0, late_worth: 0.0, effect }
}

pub const KEYED: Effect = Effect::Keyed { group: Group::Cell, window: 2000.0 };

/// Three classes (safe, unsafe, keyed by cell), pushed lists, ratings that give the size.
pub fn settings(proxies: u32) -> Settings {
    Settings {
        proxy_index: 0,
        proxies,
        zone: Some(ZoneId(0)),
        classes: vec![class(Effect::Safe, 800.0), class(Effect::Unsafe, 1200.0), class(KEYED, 800.0)],
        tenants: vec![],
        over_share_worth: 0.1,
        worth_by_work: false,
        discovery: Discovery::Pushed,
        rating: Rating::Size,
        warm_keys: false,
        messages_allowed: false,
        prices: Prices::default(),
        limits: Limits {
            start_capacity: 0.2,
            cold_ms: 10_000.0,
            fall_multiple: 3.0,
            fall_ms: 2000.0,
            max_attempts: 4,
            second_copies: true,
            may_cancel: true,
            max_held: usize::MAX,
        },
    }
}

pub fn server(id: u64) -> Backend {
    Backend {
        id: BackendId(id),
        zone: Some(ZoneId(0)),
        kind: Some(KindId(0)),
        cell: Some(CellId(id / 3)),
        state: State::Up,
        rating: 2.0,
        since: None,
    }
}

pub fn full(entries: Vec<Backend>) -> Event {
    Event::List { scope: Scope::Full, entries }
}

pub fn request(id: u64, class: usize, budget: Millis) -> Event {
    Event::Request { id: RequestId(id), class: ClassId(class), tenant: None, key: None, budget, hint: None }
}

pub fn ended(id: u64, attempt: u32, latency: Millis, outcome: Outcome) -> Event {
    let closed = outcome == Outcome::Served;
    Event::Ended { request: RequestId(id), attempt, latency, outcome, closed }
}

/// A balancer with a manual clock; its timers fire when the test advances the time.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Millis,
    timers: Vec<(Millis, u64)>,
}

impl Harness {
    pub fn new(settings: Settings, servers: Vec<Backend>) -> Self {
        Harness::seeded(settings, servers, 7)
    }

    pub fn seeded(settings: Settings, servers: Vec<Backend>, seed: u64) -> Self {
        let mut harness = Harness { balancer: Balancer::new(settings, seed), now: 1000.0, timers: vec![] };
        harness.give(full(servers));
        harness
    }

    /// Delivers an event at the present time; returns the resulting actions except timers.
    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let mut out = vec![];
        self.balancer.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { token, at } = action {
                self.timers.push((*at, *token));
            }
        }
        out.retain(|a| !matches!(a, Action::Timer { .. }));
        out
    }

    /// Advances the clock, firing only timers; returns the resulting actions.
    pub fn pass(&mut self, span: Millis) -> Vec<Action> {
        let end = self.now + span;
        let mut out = vec![];
        while let Some(i) =
            (0..self.timers.len()).min_by(|a, b| self.timers[*a].0.total_cmp(&self.timers[*b].0))
        {
            if self.timers[i].0 > end {
                break;
            }
            let (at, token) = self.timers.swap_remove(i);
            self.now = self.now.max(at);
            out.extend(self.give(Event::Timer(token)));
        }
        self.now = end;
        out
    }

    /// Serves unsafe requests, one every `every` ms for `span` ms; `latency` gets the server and the number of requests
    /// already there. Returns request and server of each send, and the servers of requests still in flight.
    pub fn drive(
        &mut self, span: u64, every: u64, latency: impl Fn(u64, usize) -> Millis,
    ) -> (Vec<(u64, u64)>, Vec<u64>) {
        let mut all = vec![];
        let mut out: Vec<(u64, u64, Millis, Millis)> = vec![]; // request, server, end time, latency
        for step in 0..span {
            let mut actions = self.pass(1.0);
            if step % every == 0 {
                actions.extend(self.give(request(1000 + step, 1, 3000.0)));
            }
            let now = self.now;
            let (over, still) = out.into_iter().partition::<Vec<_>, _>(|o| o.2 <= now);
            out = still;
            for (id, _, _, latency) in over {
                actions.extend(self.give(ended(id, 0, latency, Outcome::Served)));
            }
            for (id, to) in sends(&actions) {
                let latency = latency(to, out.iter().filter(|o| o.1 == to).count());
                out.push((id, to, now + latency, latency));
                all.push((id, to));
            }
        }
        (all, out.iter().map(|o| o.1).collect())
    }

    /// Serves requests one after the other, each in `latency(server)`, so that the balancer learns the speeds.
    pub fn train(&mut self, first: u64, count: u64, latency: impl Fn(u64) -> Millis) {
        for id in first..first + count {
            let sent = sends(&self.give(request(id, 0, 2000.0)));
            let Some(&(_, to)) = sent.first() else {
                self.pass(2100.0);
                continue;
            };
            self.pass(latency(to));
            self.give(ended(id, 0, latency(to), Outcome::Served));
        }
    }
}

/// Request and server of each send.
pub fn sends(actions: &[Action]) -> Vec<(u64, u64)> {
    let pick = |a: &Action| match a {
        Action::Send { request, backend, .. } => Some((request.0, backend.0)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// Number of refusals among the actions.
pub fn refusals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_))).count()
}

struct SentAttempt {
    server: u64,
    at: Millis,
    ended: bool,
    paused: bool,
    may_have_run: bool,
}

struct OpenRequest {
    class: usize,
    due: Millis,
    sent: Vec<SentAttempt>,
    answered: bool,
}

/// Observes every event and action of one proxy and records each breach of the four rules.
pub struct Checker {
    settings: Settings,
    servers: HashMap<u64, (Backend, Option<Millis>)>,
    open: BTreeMap<u64, OpenRequest>,
    cold: HashMap<u64, Vec<Millis>>,
    pub work: Millis,
    pub breaches: Vec<String>,
}

impl Checker {
    pub fn new(settings: Settings, work: Millis) -> Self {
        let (servers, open, cold, breaches) = Default::default();
        Checker { settings, servers, open, cold, work, breaches }
    }

    /// The proxy was killed: its requests need no answer any more.
    pub fn restart(&mut self) {
        self.open.clear();
        self.servers.clear();
    }

    fn breach(&mut self, now: Millis, text: String) {
        self.breaches.push(format!("at {now:.1}: {text}"));
    }

    pub fn event(&mut self, now: Millis, event: &Event) {
        match event {
            Event::List { scope: Scope::Failed, .. } => {}
            Event::List { scope, entries } => {
                for e in entries {
                    let old = self.servers.get(&e.id.0).and_then(|s| s.1);
                    let withdrawn_at = if e.state == State::Up { None } else { old.or(Some(now)) };
                    if self.servers.get(&e.id.0).is_some_and(|s| s.0.since != e.since) {
                        self.cold.remove(&e.id.0); // a new process has its own budget
                    }
                    self.servers.insert(e.id.0, (e.clone(), withdrawn_at));
                }
                if *scope == Scope::Full {
                    for (id, s) in &mut self.servers {
                        if !entries.iter().any(|e| e.id.0 == *id) {
                            s.1 = s.1.or(Some(now));
                        }
                    }
                }
            }
            Event::Request { id, class, budget, .. } => {
                let open = OpenRequest { class: class.0, due: now + budget, sent: vec![], answered: false };
                self.open.insert(id.0, open);
            }
            Event::Ended { request, attempt, outcome, closed, .. } => {
                if let Some(o) = self.open.get_mut(&request.0) {
                    o.answered |= closed;
                    if let Some(s) = o.sent.get_mut(*attempt as usize) {
                        (s.ended, s.may_have_run) = (true, outcome.may_have_run());
                    }
                }
            }
            Event::Paused { request, attempt } => {
                let sent = self.open.get_mut(&request.0).and_then(|o| o.sent.get_mut(*attempt as usize));
                sent.into_iter().for_each(|s| s.paused = true);
            }
            Event::Abandoned(id) => {
                if let Some(o) = self.open.get_mut(&id.0) {
                    o.answered = true;
                }
            }
            _ => {}
        }
    }

    pub fn action(&mut self, now: Millis, action: &Action) {
        match action {
            Action::Send { request, backend, .. } => self.sent(now, request.0, backend.0),
            Action::Refuse { request, .. } => {
                let Some(o) = self.open.get(&request.0) else {
                    return self.breach(now, format!("refused {request:?}, which is not held"));
                };
                let ran = o.sent.iter().any(|s| !s.ended || s.may_have_run);
                let allowed = match self.settings.classes[o.class].effect {
                    Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
                    _ => !ran,
                };
                if !allowed {
                    self.breach(now, format!("refused {request:?}, which may have run"));
                }
                self.answered(now, request.0);
            }
            Action::Fail(request) => self.answered(now, request.0),
            _ => {}
        }
    }

    fn answered(&mut self, now: Millis, id: u64) {
        match self.open.get_mut(&id) {
            Some(o) if !o.answered => o.answered = true,
            _ => self.breach(now, format!("a second answer for {id}")),
        }
    }

    fn sent(&mut self, now: Millis, id: u64, to: u64) {
        let limits = self.settings.limits;
        let Some((server, withdrawn_at)) = self.servers.get(&to).cloned() else {
            return self.breach(now, format!("sent to {to}, which no list named"));
        };
        if withdrawn_at.is_some_and(|t| now > t) {
            self.breach(now, format!("sent to {to}, told to drain or gone"));
        }
        let Some(o) = self.open.get(&id) else {
            return self.breach(now, format!("sent {id}, which is not held"));
        };
        let effect = self.settings.classes[o.class].effect;
        let in_flight = o.sent.iter().filter(|s| !s.ended).count() as u32;
        let out = o.sent.iter().any(|s| !s.ended && !s.paused);
        let ran = o.sent.iter().find(|s| !s.ended || s.may_have_run);
        let mut wrong = vec![];
        if o.answered {
            wrong.push("after its answer");
        }
        if out {
            wrong.push("twice at once");
        }
        if in_flight >= limits.max_concurrent_attempts() {
            wrong.push("beside as many as are permitted");
        }
        if o.sent.len() as u32 >= limits.max_attempts {
            wrong.push("too often");
        }
        match (effect, ran) {
            (Effect::Unsafe, Some(_)) => wrong.push("again though it must never run twice"),
            (Effect::Keyed { group, window }, Some(first)) => {
                let other = &self.servers[&first.server].0;
                let same = match group {
                    Group::All => true,
                    Group::Zone => other.zone == server.zone,
                    Group::Cell => other.cell == server.cell,
                };
                if !same {
                    wrong.push("outside the group that drops its repeat");
                }
                if now > first.at + window {
                    wrong.push("after its repeat is forgotten");
                }
            }
            _ => {}
        }
        let texts: Vec<String> = wrong.iter().map(|w| format!("sent {id} {w}")).collect();
        texts.into_iter().for_each(|t| self.breach(now, t));
        self.open.get_mut(&id).unwrap().sent.push(SentAttempt {
            server: to,
            at: now,
            ended: false,
            paused: false,
            may_have_run: true,
        });
        if let Some(since) = server.since.filter(|s| now - s < limits.cold_ms) {
            let sent = self.cold.entry(to).or_default();
            sent.push(now);
            sent.retain(|t| *t > now - limits.fall_ms);
            // If every proxy did the same: certain capacity over the window, plus one request per proxy as tolerance.
            let age = ((now - since) / limits.cold_ms).clamp(0.0, 1.0);
            let part = limits.start_capacity + (1.0 - limits.start_capacity) * age;
            let budget = limits.fall_multiple * part * server.rating * limits.fall_ms;
            let alike = f64::from(self.settings.proxies);
            let push = (sent.len() as f64 - 1.0) * alike * self.work;
            if push > budget {
                self.breach(now, format!("pushed cold {to}: {push:.0} ms of work against {budget:.0}"));
            }
        }
    }

    /// Records overdue answers.
    pub fn check_overdue(&mut self, now: Millis) {
        let slack = 20.0;
        let late: Vec<u64> =
            self.open.iter().filter(|(_, o)| !o.answered && now > o.due + slack).map(|(id, _)| *id).collect();
        for id in late {
            self.open.get_mut(&id).unwrap().answered = true;
            self.breach(now, format!("no answer for {id} in time"));
        }
        self.open.retain(|_, o| !o.answered || o.sent.iter().any(|s| !s.ended));
    }
}
