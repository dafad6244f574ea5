//! Baseline policies to choose a server, on the same simulated servers and behind the same driver core, to compare the
//! decision module with.
//!
//! | baseline | source |
//! | --- | --- |
//! | random, round robin, least requests | the usual choices of reverse proxies; least requests counts this proxy's own |
//! | power of two | Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS 2001 |
//! | peak EWMA | Finagle's and Linkerd's balancer: a latency mean that jumps up and decays, times the outstanding requests |
//! | join idle queue | Lu et al., "Join-Idle-Queue", Performance Evaluation 2011; idle servers report without delay |
//! | oracle | knows each server's present speed, load and limit, at all proxies at once; never the future |
//!
//! All of them send at once (the oracle holds requests while every server is at its best throughput), try another
//! server where the class allows it, and answer like the module: refused where nothing may have run, else failed.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use rand::RngExt;
use rustc_hash::FxHashMap;
use sandgap_driver::Policy;
use serde::{Deserialize, Serialize};
use wharfhitch::{
    Action, BackendId, Balancer, CellId, Class, Effect, Event, Millis, Outcome, RequestId, Scope, Settings,
    State,
};

use crate::streams::Stream;

/// The policy that decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The decision module.
    Sandgap,
    /// A random server.
    Random,
    /// The servers in turn.
    RoundRobin,
    /// The server with the fewest requests of this proxy.
    LeastRequests,
    /// The less loaded of two random servers.
    PowerOfTwo,
    /// The cheaper of two random servers by latency and load.
    PeakEwma,
    /// A server that has reported itself idle, else a random one.
    JoinIdleQueue,
    /// The server that is really the fastest now.
    Oracle,
}

impl PolicyKind {
    /// Its name as written in files.
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => format!("{self:?}"),
        }
    }

    /// Whether it uses knowledge that only the simulator has.
    pub fn wants_truth(self) -> bool {
        matches!(self, PolicyKind::JoinIdleQueue | PolicyKind::Oracle)
    }
}

/// The true state of the servers now, for the baselines that may know it.
#[derive(Debug, Default)]
pub struct Truth {
    /// The rate that one more request would get at each server, ms of work per ms; 0 where it would get nothing or where
    /// the server is at its best throughput already.
    pub next_rate: FxHashMap<BackendId, f64>,
    /// Idle servers as reported to each proxy.
    pub idle: Vec<VecDeque<BackendId>>,
}

/// Time constant of the decay of peak EWMA's latency mean, ms (Linkerd's default).
const DECAY_TIME: Millis = 10_000.0;
/// Its initial latency estimate, ms.
const INITIAL_MEAN: Millis = 30.0;
/// A request with less time left than this is refused or failed at once, ms.
const MARGIN: Millis = 5.0;
/// Interval at which the oracle tries again while it holds requests, ms.
const RETRY_INTERVAL: Millis = 1.0;

struct ServerState {
    id: BackendId,
    cell: Option<CellId>,
    up: bool,
    outstanding: u32,
    mean: f64,
    mean_at: Millis,
}

struct RequestState {
    class: usize,
    due: Millis,
    tried: Vec<(usize, Millis)>,
    /// The first attempt that may have run, as an index into `tried`.
    ran: Option<usize>,
    outstanding: bool,
}

/// A baseline policy at one proxy.
pub struct Rival {
    kind: PolicyKind,
    classes: Vec<Class>,
    max_attempts: usize,
    proxy_index: usize,
    rng: Stream,
    servers: Vec<ServerState>,
    index: FxHashMap<BackendId, usize>,
    up: Vec<usize>,
    turn: usize,
    requests: FxHashMap<RequestId, RequestState>,
    held: VecDeque<RequestId>,
    timer: bool,
    truth: Rc<RefCell<Truth>>,
}

impl Rival {
    /// A baseline that knows no servers and requests yet.
    pub fn new(kind: PolicyKind, cfg: &Settings, rng: Stream, truth: Rc<RefCell<Truth>>) -> Self {
        Rival {
            kind,
            classes: cfg.classes.clone(),
            max_attempts: cfg.limits.max_attempts as usize,
            proxy_index: cfg.proxy_index as usize,
            rng,
            servers: Vec::new(),
            index: FxHashMap::default(),
            up: Vec::new(),
            turn: 0,
            requests: FxHashMap::default(),
            held: VecDeque::new(),
            timer: false,
            truth,
        }
    }

    fn update_servers(&mut self, scope: Scope, entries: Vec<wharfhitch::Backend>) {
        if scope == Scope::Full {
            self.servers.iter_mut().for_each(|s| s.up = false);
        }
        for e in entries {
            let k = *self.index.entry(e.id).or_insert_with(|| {
                let (cell, mean) = (e.cell, INITIAL_MEAN);
                self.servers.push(ServerState {
                    id: e.id,
                    cell,
                    up: false,
                    outstanding: 0,
                    mean,
                    mean_at: 0.0,
                });
                self.servers.len() - 1
            });
            self.servers[k].up = e.state == State::Up;
        }
        self.up = (0..self.servers.len()).filter(|k| self.servers[*k].up).collect();
    }

    /// Sends a request, holds it, or answers it.
    fn decide(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.due - now < MARGIN || r.tried.len() >= self.max_attempts {
            return self.answer(id, out);
        }
        let cell = r.ran.map(|i| (self.servers[r.tried[i].0].cell, r.tried[i].1));
        let effect = self.classes[r.class].effect;
        let any_server = cell.is_none() || effect == Effect::Safe;
        let found = match (cell, effect) {
            _ if any_server => self.choose(now, id),
            (None, _) | (_, Effect::Safe | Effect::Unsafe) => None,
            (Some((cell, sent)), Effect::Keyed { window, .. }) => {
                let r = &self.requests[&id];
                let fits = |k: &usize| cell.is_some() && self.servers[*k].cell == cell;
                let fits = |k: &usize| now - sent < window - 1.0 && fits(k) && !tried(r, *k);
                self.up.iter().copied().filter(fits).min_by_key(|k| self.servers[*k].outstanding)
            }
        };
        let Some(k) = found else {
            if self.kind == PolicyKind::Oracle && cell.is_none() {
                self.held.push_back(id);
                return self.set_retry_timer(now, out);
            }
            return self.answer(id, out);
        };
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.tried.push((k, now));
        r.outstanding = true;
        self.servers[k].outstanding += 1;
        out.push(Action::Send { request: id, backend: self.servers[k].id, timeout: None, before: None });
    }

    fn set_retry_timer(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.timer {
            self.timer = true;
            out.push(Action::Timer { token: 1, at: now + RETRY_INTERVAL });
        }
    }

    fn choose(&mut self, now: Millis, id: RequestId) -> Option<usize> {
        if self.up.is_empty() {
            return None;
        }
        let r = &self.requests[&id];
        let n = self.up.len();
        let random_index = |rng: &mut Stream| rng.random_range(0..n);
        match self.kind {
            PolicyKind::Oracle => {
                let truth = self.truth.borrow();
                let rate = |k: &usize| truth.next_rate.get(&self.servers[*k].id).copied().unwrap_or(0.0);
                let open = self.up.iter().copied().filter(|k| rate(k) > 0.0 && !tried(r, *k));
                return open.max_by(|a, b| rate(a).total_cmp(&rate(b)));
            }
            PolicyKind::RoundRobin => {
                self.turn += 1;
                let in_turn = (0..n).map(|i| self.up[(self.turn + i) % n]);
                return in_turn.into_iter().find(|k| !tried(r, *k));
            }
            PolicyKind::LeastRequests => {
                let start = random_index(&mut self.rng);
                let all = (0..n).map(|i| self.up[(start + i) % n]).filter(|k| !tried(r, *k));
                return all.min_by_key(|k| self.servers[*k].outstanding);
            }
            PolicyKind::JoinIdleQueue => {
                let mut truth = self.truth.borrow_mut();
                while let Some(id) = truth.idle.get_mut(self.proxy_index).and_then(VecDeque::pop_front) {
                    if let Some(k) =
                        self.index.get(&id).copied().filter(|k| self.servers[*k].up && !tried(r, *k))
                    {
                        return Some(k);
                    }
                }
            }
            _ => {}
        }
        let two_choices = matches!(self.kind, PolicyKind::PowerOfTwo | PolicyKind::PeakEwma);
        let (a, b) = (self.up[random_index(&mut self.rng)], self.up[random_index(&mut self.rng)]);
        let a = if tried(r, a) { self.up.iter().copied().find(|k| !tried(r, *k))? } else { a };
        if !two_choices || tried(r, b) {
            return Some(a);
        }
        let cost = |k: usize| {
            let s = &self.servers[k];
            let mean = s.mean * (-(now - s.mean_at) / DECAY_TIME).exp();
            f64::from(s.outstanding + 1) * if self.kind == PolicyKind::PeakEwma { mean } else { 1.0 }
        };
        Some(if cost(b) < cost(a) { b } else { a })
    }

    /// Records the end of an attempt and returns whether the request still needs a decision.
    fn ended(
        &mut self, now: Millis, id: RequestId, attempt: usize, latency: Millis, outcome: Outcome,
        closed: bool,
    ) -> bool {
        let Some(r) = self.requests.get_mut(&id) else { return false };
        let Some(&(k, _)) = r.tried.get(attempt) else { return false };
        r.outstanding = false;
        let s = &mut self.servers[k];
        s.outstanding = s.outstanding.saturating_sub(1);
        // Peak EWMA: a slower answer replaces the mean at once, a faster one is weighted by the time that has passed.
        let sample = if outcome == Outcome::Served { latency } else { latency.max(s.mean * 2.0) };
        let weight = (-(now - s.mean_at) / DECAY_TIME).exp();
        s.mean = if sample > s.mean { sample } else { s.mean * weight + sample * (1.0 - weight) };
        s.mean_at = now;
        if closed {
            self.requests.remove(&id);
            return false;
        }
        if outcome.may_have_run() && r.ran.is_none() {
            r.ran = Some(attempt);
        }
        true
    }

    fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.remove(&id) else { return };
        let refusable = r.ran.is_none() && !r.outstanding || self.classes[r.class].effect == Effect::Safe;
        out.push(if refusable {
            Action::Refuse { request: id, retry_after: None }
        } else {
            Action::Fail(id)
        });
    }
}

fn tried(r: &RequestState, k: usize) -> bool {
    r.tried.iter().any(|t| t.0 == k)
}

impl Policy for Rival {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::List { scope: Scope::Failed, .. }
            | Event::Started { .. }
            | Event::Responding { .. }
            | Event::Paused { .. }
            | Event::Stalled { .. }
            | Event::Uploading(_)
            | Event::Uploaded { .. }
            | Event::Message { .. }
            | Event::Settings(_) => {}
            Event::List { scope, entries } => self.update_servers(scope, entries),
            Event::Request { id, class, budget, .. } => {
                let state = RequestState {
                    class: class.0,
                    due: now + budget,
                    tried: Vec::new(),
                    ran: None,
                    outstanding: false,
                };
                self.requests.insert(id, state);
                self.decide(now, id, out);
            }
            Event::Ended { request, attempt, latency, outcome, closed } => {
                if self.ended(now, request, attempt as usize, latency, outcome, closed) {
                    self.decide(now, request, out);
                }
            }
            Event::Abandoned(id) => {
                // Its outstanding attempt is given up with it.
                if let Some(r) = self.requests.remove(&id).filter(|r| r.outstanding)
                    && let Some((k, _)) = r.tried.last()
                {
                    self.servers[*k].outstanding = self.servers[*k].outstanding.saturating_sub(1);
                }
            }
            Event::Timer(_) => {
                self.timer = false;
                for id in std::mem::take(&mut self.held) {
                    self.decide(now, id, out);
                }
            }
        }
    }
}

/// The policy at one proxy.
pub enum AnyPolicy {
    /// The decision module.
    Sandgap(Box<Balancer>),
    /// A baseline.
    Rival(Box<Rival>),
}

impl Policy for AnyPolicy {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match self {
            AnyPolicy::Sandgap(b) => b.handle(now, event, out),
            AnyPolicy::Rival(r) => r.handle(now, event, out),
        }
    }
}

/// Wall time spent in decisions, s, and their number.
pub type DecisionTime = Rc<Cell<(f64, u64)>>;

/// A policy that is timed on request; no other code that simulated runs use reads a wall clock.
pub struct Timed {
    /// The policy.
    pub inner: AnyPolicy,
    /// Where the time is summed, if timed.
    pub spent: Option<DecisionTime>,
}

impl Policy for Timed {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let Some(spent) = &self.spent else { return self.inner.handle(now, event, out) };
        let start = Instant::now();
        self.inner.handle(now, event, out);
        let (sum, count) = spent.get();
        spent.set((sum + start.elapsed().as_secs_f64(), count + 1));
    }
}
