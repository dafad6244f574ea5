//! Checks the four rules on seeded random but legal event streams with an independent checker.
mod common;
use common::*;
use wharfhitch::*;

enum Due {
    Timer(u64),
    Ended(u64, u32, Millis, Outcome),
    Paused(u64, u32),
    Message(Vec<u8>),
}

/// A random environment of one proxy. It does not model servers, it only generates legal event streams.
struct RandomEnvironment {
    rng: fastrand::Rng,
    now: Millis,
    balancer: Balancer,
    settings: Settings,
    checker: Checker,
    due: Vec<(Millis, Due)>,
    list: Vec<Backend>,
    ends: std::collections::HashMap<u64, (Millis, u32, bool)>,
    /// Attempts whose answers were given up as they paused; what was due of them does not come.
    given_up: std::collections::HashSet<(u64, u32)>,
    next: u64,
    tamper: fn(&mut Vec<Action>),
}

impl RandomEnvironment {
    fn new(seed: u64, settings: Settings, tamper: fn(&mut Vec<Action>)) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let list = (0..rng.u64(0..14)).map(server).collect();
        RandomEnvironment {
            balancer: Balancer::new(settings.clone(), seed),
            checker: Checker::new(settings.clone(), 60.0),
            rng,
            now: 5000.0,
            settings,
            due: vec![],
            list,
            ends: Default::default(),
            given_up: Default::default(),
            next: 0,
            tamper,
        }
    }

    fn give(&mut self, event: Event) {
        self.checker.event(self.now, &event);
        let mut out = vec![];
        self.balancer.handle(self.now, event, &mut out);
        (self.tamper)(&mut out);
        for action in out {
            self.checker.action(self.now, &action);
            match action {
                Action::Timer { token, at } => {
                    let late = self.rng.f64() * 5.0;
                    self.due.push((at.max(self.now) + late, Due::Timer(token)));
                }
                Action::Send { request, .. } => self.attempt(request.0),
                // Its server may be known to go on, so that nothing is done.
                Action::GiveUpPaused { request, attempt } => {
                    if self.rng.f64() < 0.7 && self.given_up.insert((request.0, attempt)) {
                        self.due.push((self.now, Due::Ended(request.0, attempt, 500.0, Outcome::Cancelled)));
                    }
                }
                Action::Refuse { request, .. } | Action::Fail(request) => {
                    if let Some(e) = self.ends.get_mut(&request.0) {
                        e.2 = true;
                    }
                }
                Action::Broadcast(bytes) => {
                    assert!(bytes.len() <= 256);
                    if self.rng.f64() < 0.5 {
                        self.due.push((self.now + 10.0, Due::Message(bytes))); // as if a peer had sent the same
                    }
                }
                Action::Subscribe | Action::FetchList => {
                    let scope = if self.rng.bool() { Scope::Full } else { Scope::Failed };
                    let entries = if scope == Scope::Full { self.list.clone() } else { vec![] };
                    self.give(Event::List { scope, entries });
                }
            }
        }
    }

    fn attempt(&mut self, id: u64) {
        let Some(e) = self.ends.get_mut(&id) else { return };
        let (due, n) = (e.0, e.1);
        e.1 += 1;
        let x = self.rng.f64();
        let (latency, outcome) = match x {
            x if x < 0.70 => (10.0 + self.rng.f64() * 100.0, Outcome::Served),
            x if x < 0.76 => (5.0, Outcome::Error),
            x if x < 0.82 => (1.0, Outcome::Full),
            x if x < 0.86 => (50.0, Outcome::ConnectFailed),
            x if x < 0.90 => (self.rng.f64() * 500.0, Outcome::Reset),
            x if x < 0.92 => (0.0, Outcome::NotSent),
            _ => (1e9, Outcome::TimedOut),
        };
        let (latency, outcome) =
            if self.now + latency > due { (due - self.now, Outcome::TimedOut) } else { (latency, outcome) };
        if latency > 20.0 && self.rng.f64() < 0.15 {
            self.due.push((self.now + latency / 2.0, Due::Paused(id, n)));
        }
        self.due.push((self.now + latency, Due::Ended(id, n, latency, outcome)));
    }

    fn change_list(&mut self) {
        let n = self.list.len() as u64;
        let mut entries = vec![];
        match self.rng.u32(0..6) {
            0 => {
                let fresh = Backend { since: Some(self.now), ..server(100 + self.next) };
                self.list.push(fresh.clone());
                entries.push(fresh);
            }
            1 | 2 if n > 0 => {
                let k = self.rng.usize(0..self.list.len());
                let states = [State::Draining, State::Removed, State::Up];
                self.list[k].state = states[self.rng.usize(0..3)];
                entries.push(self.list[k].clone());
            }
            3 if n > 0 => {
                let k = self.rng.usize(0..self.list.len());
                (self.list[k].state, self.list[k].since) = (State::Up, Some(self.now - 300.0));
                entries.push(self.list[k].clone());
                entries.push(self.list[k].clone()); // a repeated entry is harmless
            }
            4 => return self.give(Event::List { scope: Scope::Failed, entries: vec![] }),
            _ => {
                self.list.retain(|b| b.state != State::Removed);
                let entries = self.list.clone();
                return self.give(full(entries));
            }
        }
        self.give(Event::List { scope: Scope::Delta, entries });
    }

    fn run(mut self, span: Millis) -> Vec<String> {
        let end = self.now + span;
        let entries = self.list.clone();
        self.give(Event::List { scope: Scope::Cached, entries });
        let mut arrival = self.now;
        while self.now < end + 4000.0 {
            let first = (0..self.due.len()).min_by(|a, b| self.due[*a].0.total_cmp(&self.due[*b].0));
            let at = first.map_or(f64::INFINITY, |i| self.due[i].0);
            if arrival <= at && arrival < end {
                self.now = self.now.max(arrival);
                arrival += -(self.rng.f64() + 1e-9).ln() * if self.rng.f64() < 0.1 { 60.0 } else { 6.0 };
                self.step();
            } else {
                let Some(i) = first else { break };
                let (at, due) = self.due.swap_remove(i);
                self.now = self.now.max(at);
                match due {
                    Due::Timer(token) => self.give(Event::Timer(token)),
                    Due::Message(bytes) => self.give(Event::Message { from: 1, bytes }),
                    Due::Ended(id, attempt, _, outcome)
                        if outcome != Outcome::Cancelled && self.given_up.contains(&(id, attempt)) => {}
                    Due::Paused(id, attempt) => {
                        let is_open = self.ends.get(&id).is_some_and(|e| !e.2);
                        if is_open && !self.given_up.contains(&(id, attempt)) {
                            self.give(Event::Paused { request: RequestId(id), attempt });
                        }
                    }
                    Due::Ended(id, attempt, latency, outcome) => {
                        let Some(e) = self.ends.get_mut(&id) else { continue };
                        e.2 |= outcome == Outcome::Served;
                        let closed = e.2;
                        let request = RequestId(id);
                        self.give(Event::Ended { request, attempt, latency, outcome, closed });
                    }
                }
            }
            self.checker.check_overdue(self.now);
        }
        self.checker.breaches
    }

    fn step(&mut self) {
        match self.rng.u32(0..400) {
            0..6 => self.change_list(),
            6 => {
                // Kill and restart: no event of its former requests arrives any more.
                self.balancer = Balancer::new(self.settings.clone(), self.next);
                self.checker.restart();
                self.ends.clear();
                self.due.clear();
                let entries = self.list.clone();
                self.give(Event::List { scope: Scope::Cached, entries });
            }
            7..10 => self.give(Event::Message { from: self.next as u32 % 9, bytes: vec![1, 0, 9, 3] }),
            10..14 => self.give(ended(self.next + 999, 3, 1.0, Outcome::Error)), // of an unknown request
            14..20 => {
                if let Some(id) = self.ends.keys().min().copied() {
                    self.ends.get_mut(&id).unwrap().2 = true;
                    self.give(Event::Abandoned(RequestId(id)));
                    self.ends.retain(|_, e| !e.2 || e.1 > 0);
                }
            }
            _ => {
                let class = self.rng.usize(0..self.settings.classes.len());
                let c = &self.settings.classes[class];
                let budget = c.deadline * [0.005, 0.34, 0.7, 1.0][self.rng.usize(0..4)];
                let key = self.rng.bool().then(|| Key(self.rng.u64(0..20)));
                let tenant = (!self.settings.tenants.is_empty()).then_some(TenantId(0));
                let id = RequestId(self.next);
                self.ends.insert(self.next, (self.now + budget, 0, false));
                self.next += 1;
                self.give(Event::Request { id, class: ClassId(class), tenant, key, budget, hint: None });
            }
        }
    }
}

fn variants() -> Vec<Settings> {
    let base = settings(4);
    let mut all = vec![base.clone(), Settings { warm_keys: true, ..base.clone() }];
    all.push(Settings { messages_allowed: true, proxies: 9, ..base.clone() });
    all.push(Settings {
        messages_allowed: true,
        warm_keys: true,
        discovery: Discovery::OnRequest,
        ..base.clone()
    });
    let mut one = Settings { rating: Rating::Silent, tenants: vec![Tenant { allowance_per_s: 3.0 }], ..base };
    one.limits.max_attempts = 2;
    one.classes.remove(0);
    one.classes[1].effect = Effect::Keyed { group: Group::Zone, window: 300.0 };
    all.push(one);
    let mut late = settings(4);
    late.classes.iter_mut().for_each(|c| c.late_worth = 0.3);
    late.classes[2].effect = Effect::Keyed { group: Group::All, window: 600.0 };
    all.push(late);
    let mut one_at_once = settings(4);
    one_at_once.limits.second_copies = false;
    all.push(one_at_once);
    all
}

#[test]
fn the_four_rules_hold_over_random_streams() {
    for (v, settings) in variants().into_iter().enumerate() {
        for seed in 0..12 {
            let breaches = RandomEnvironment::new(seed, settings.clone(), |_| {}).run(20_000.0);
            assert!(
                breaches.is_empty(),
                "variant {v}, seed {seed}: {:?}",
                &breaches[..breaches.len().min(3)]
            );
        }
    }
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = Harness::new(settings(4), (0..9).map(server).collect());
        let mut all = vec![];
        for id in 0..200 {
            all.extend(harness.give(request(id, id as usize % 3, 1500.0)));
            all.extend(harness.pass(7.0));
            if id >= 8 {
                all.extend(harness.give(ended(id - 8, 0, 56.0, Outcome::Served)));
            }
        }
        all
    };
    assert_eq!(run(), run());
}

fn assert_detected(tamper: fn(&mut Vec<Action>), what: &str) {
    let all: Vec<String> =
        (0..40).flat_map(|seed| RandomEnvironment::new(seed, settings(4), tamper).run(20_000.0)).collect();
    assert!(all.iter().any(|b| b.contains(what)), "the checker missed '{what}': {:?}", all.first());
}

/// Every start of an attempt has to be counted: a build that sends beside a paused answer where one attempt is permitted.
#[test]
fn the_checker_detects_more_attempts_at_once_than_permitted() {
    let mut one_at_once = settings(4);
    one_at_once.limits.second_copies = false;
    let mut breaches = Vec::new();
    for seed in 0..12 {
        let mut environment = RandomEnvironment::new(seed, settings(4), |_| {});
        environment.checker = Checker::new(one_at_once.clone(), 60.0);
        breaches.extend(environment.run(20_000.0));
    }
    assert!(breaches.iter().any(|b| b.contains("beside as many as are permitted")));
    assert!(breaches.iter().all(|b| b.contains("beside as many as are permitted")), "{breaches:?}");
}

/// The checker must detect breaches: each rule is broken on purpose.
#[test]
fn the_checker_detects_broken_rules() {
    assert_detected(
        |out| {
            let twice: Vec<Action> =
                out.iter().filter(|a| matches!(a, Action::Send { .. })).cloned().collect();
            out.extend(twice);
        },
        "never run twice",
    );
    assert_detected(|out| out.retain(|a| !matches!(a, Action::Refuse { .. } | Action::Fail(_))), "in time");
    assert_detected(
        |out| {
            for a in out.iter_mut() {
                if let Action::Fail(request) = *a {
                    *a = Action::Refuse { request, retry_after: None };
                }
            }
        },
        "which may have run",
    );
    assert_detected(
        |out| {
            for a in out.iter_mut() {
                if let Action::Send { backend, .. } = a {
                    backend.0 = if backend.0 >= 100 { backend.0 } else { 1 };
                }
            }
        },
        "told to drain",
    );
    assert_detected(
        |out| {
            let cold = |a: &&Action| matches!(a, Action::Send { backend, .. } if backend.0 >= 100);
            if let Some(a) = out.iter().find(cold).cloned() {
                out.extend(std::iter::repeat_n(a, 40));
            }
        },
        "pushed cold",
    );
}
