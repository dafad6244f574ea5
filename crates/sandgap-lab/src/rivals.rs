//! Other ways to choose a server, on the same model and behind the same core, to hold the module against.
//!
//! | rival | source |
//! | --- | --- |
//! | random, round robin, least requests | the usual choices of reverse proxies; least requests counts this proxy's own |
//! | power of two | Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS 2001 |
//! | peak EWMA | Finagle's and Linkerd's balancer: a latency mean that jumps up and decays, times requests out |
//! | join idle queue | Lu et al., "Join-Idle-Queue", Performance Evaluation 2011; idle servers report without delay |
//! | oracle | knows each server's present speed, load and limit, at all proxies at once; never the future |
//!
//! All of them send at once (the oracle holds while every server is at its best), try another server where the
//! class allows it, and answer like the module: refused where nothing may have run, else failed.

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

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The decision module.
    Sandgap,
    /// Any server.
    Random,
    /// One after another.
    RoundRobin,
    /// The one with the fewest of this proxy's requests.
    LeastRequests,
    /// The less loaded of two at random.
    PowerOfTwo,
    /// The cheaper of two at random by latency and load.
    PeakEwma,
    /// One that has reported itself idle, else any.
    JoinIdleQueue,
    /// The one that is truly fastest now.
    Oracle,
}

impl PolicyKind {
    /// Its name, as files spell it.
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => format!("{self:?}"),
        }
    }

    /// Whether it goes by what only the model knows.
    pub fn wants_truth(self) -> bool {
        matches!(self, PolicyKind::JoinIdleQueue | PolicyKind::Oracle)
    }
}

/// What is true of the servers now, for those rivals that may know it.
#[derive(Debug, Default)]
pub struct Truth {
    /// What one more request would get at each server, ms of work in a ms; 0 where it would get nothing or where
    /// the server is at its best already.
    pub next_rate: FxHashMap<BackendId, f64>,
    /// Idle servers, as told to each proxy.
    pub idle: Vec<VecDeque<BackendId>>,
}

/// The latency mean of peak EWMA decays with this time, ms (Linkerd's default).
const DECAY: Millis = 10_000.0;
/// Its first guess, ms.
const FIRST_GUESS: Millis = 30.0;
/// A request with less time left than this is answered at once.
const MARGIN: Millis = 5.0;
/// How often the oracle looks again while it holds requests, ms.
const LOOK: Millis = 1.0;

struct Known {
    id: BackendId,
    cell: Option<CellId>,
    up: bool,
    out: u32,
    mean: f64,
    mean_at: Millis,
}

struct Asked {
    class: usize,
    due: Millis,
    tried: Vec<(usize, Millis)>,
    /// The first attempt that may have run, by its place among the tried.
    ran: Option<usize>,
    out: bool,
}

/// A rival.
pub struct Rival {
    kind: PolicyKind,
    classes: Vec<Class>,
    max_attempts: usize,
    me: usize,
    rng: Stream,
    servers: Vec<Known>,
    index: FxHashMap<BackendId, usize>,
    up: Vec<usize>,
    turn: usize,
    asked: FxHashMap<RequestId, Asked>,
    held: VecDeque<RequestId>,
    timer: bool,
    truth: Rc<RefCell<Truth>>,
}

impl Rival {
    /// A rival that knows nothing yet.
    pub fn new(kind: PolicyKind, cfg: &Settings, rng: Stream, truth: Rc<RefCell<Truth>>) -> Self {
        Rival {
            kind,
            classes: cfg.classes.clone(),
            max_attempts: cfg.limits.max_attempts as usize,
            me: cfg.proxy_index as usize,
            rng,
            servers: Vec::new(),
            index: FxHashMap::default(),
            up: Vec::new(),
            turn: 0,
            asked: FxHashMap::default(),
            held: VecDeque::new(),
            timer: false,
            truth,
        }
    }

    fn list(&mut self, scope: Scope, entries: Vec<wharfhitch::Backend>) {
        if scope == Scope::Full {
            self.servers.iter_mut().for_each(|s| s.up = false);
        }
        for e in entries {
            let k = *self.index.entry(e.id).or_insert_with(|| {
                let (cell, mean) = (e.cell, FIRST_GUESS);
                self.servers.push(Known { id: e.id, cell, up: false, out: 0, mean, mean_at: 0.0 });
                self.servers.len() - 1
            });
            self.servers[k].up = e.state == State::Up;
        }
        self.up = (0..self.servers.len()).filter(|k| self.servers[*k].up).collect();
    }

    /// Sends a request, holds it, or gives it its answer.
    fn go(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.asked.get(&id) else { return };
        if r.due - now < MARGIN || r.tried.len() >= self.max_attempts {
            return self.answer(id, out);
        }
        let cell = r.ran.map(|i| (self.servers[r.tried[i].0].cell, r.tried[i].1));
        let effect = self.classes[r.class].effect;
        let free = cell.is_none() || effect == Effect::Safe;
        let found = match (cell, effect) {
            _ if free => self.choose(now, id),
            (None, _) | (_, Effect::Safe | Effect::Unsafe) => None,
            (Some((cell, sent)), Effect::Keyed { window, .. }) => {
                let r = &self.asked[&id];
                let fits = |k: &usize| cell.is_some() && self.servers[*k].cell == cell;
                let fits = |k: &usize| now - sent < window - 1.0 && fits(k) && !tried(r, *k);
                self.up.iter().copied().filter(fits).min_by_key(|k| self.servers[*k].out)
            }
        };
        let Some(k) = found else {
            if self.kind == PolicyKind::Oracle && cell.is_none() {
                self.held.push_back(id);
                return self.look_again(now, out);
            }
            return self.answer(id, out);
        };
        let Some(r) = self.asked.get_mut(&id) else { return };
        r.tried.push((k, now));
        r.out = true;
        self.servers[k].out += 1;
        out.push(Action::Send { request: id, backend: self.servers[k].id, timeout: None, before: None });
    }

    fn look_again(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.timer {
            self.timer = true;
            out.push(Action::Timer { token: 1, at: now + LOOK });
        }
    }

    fn choose(&mut self, now: Millis, id: RequestId) -> Option<usize> {
        if self.up.is_empty() {
            return None;
        }
        let r = &self.asked[&id];
        let n = self.up.len();
        let any = |rng: &mut Stream| rng.random_range(0..n);
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
                let start = any(&mut self.rng);
                let all = (0..n).map(|i| self.up[(start + i) % n]).filter(|k| !tried(r, *k));
                return all.min_by_key(|k| self.servers[*k].out);
            }
            PolicyKind::JoinIdleQueue => {
                let mut truth = self.truth.borrow_mut();
                while let Some(id) = truth.idle.get_mut(self.me).and_then(VecDeque::pop_front) {
                    if let Some(k) =
                        self.index.get(&id).copied().filter(|k| self.servers[*k].up && !tried(r, *k))
                    {
                        return Some(k);
                    }
                }
            }
            _ => {}
        }
        let two = matches!(self.kind, PolicyKind::PowerOfTwo | PolicyKind::PeakEwma);
        let (a, b) = (self.up[any(&mut self.rng)], self.up[any(&mut self.rng)]);
        let a = if tried(r, a) { self.up.iter().copied().find(|k| !tried(r, *k))? } else { a };
        if !two || tried(r, b) {
            return Some(a);
        }
        let cost = |k: usize| {
            let s = &self.servers[k];
            let mean = s.mean * (-(now - s.mean_at) / DECAY).exp();
            f64::from(s.out + 1) * if self.kind == PolicyKind::PeakEwma { mean } else { 1.0 }
        };
        Some(if cost(b) < cost(a) { b } else { a })
    }

    /// Notes the end of an attempt; whether the request still wants something.
    fn ended(
        &mut self, now: Millis, id: RequestId, attempt: usize, latency: Millis, outcome: Outcome,
        closed: bool,
    ) -> bool {
        let Some(r) = self.asked.get_mut(&id) else { return false };
        let Some(&(k, _)) = r.tried.get(attempt) else { return false };
        r.out = false;
        let s = &mut self.servers[k];
        s.out = s.out.saturating_sub(1);
        // Peak: a slower answer counts in full at once, a faster one by the time that has passed.
        let sample = if outcome == Outcome::Served { latency } else { latency.max(s.mean * 2.0) };
        let keep = (-(now - s.mean_at) / DECAY).exp();
        s.mean = if sample > s.mean { sample } else { s.mean * keep + sample * (1.0 - keep) };
        s.mean_at = now;
        if closed {
            self.asked.remove(&id);
            return false;
        }
        if outcome.may_have_run() && r.ran.is_none() {
            r.ran = Some(attempt);
        }
        true
    }

    fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.asked.remove(&id) else { return };
        let harmless = r.ran.is_none() && !r.out || self.classes[r.class].effect == Effect::Safe;
        out.push(if harmless { Action::Refuse { request: id, retry_after: None } } else { Action::Fail(id) });
    }
}

fn tried(r: &Asked, k: usize) -> bool {
    r.tried.iter().any(|t| t.0 == k)
}

impl Policy for Rival {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::List { scope: Scope::Failed, .. }
            | Event::Started { .. }
            | Event::Uploading(_)
            | Event::Uploaded { .. }
            | Event::Message { .. }
            | Event::Settings(_) => {}
            Event::List { scope, entries } => self.list(scope, entries),
            Event::Request { id, class, budget, .. } => {
                let asked =
                    Asked { class: class.0, due: now + budget, tried: Vec::new(), ran: None, out: false };
                self.asked.insert(id, asked);
                self.go(now, id, out);
            }
            Event::Ended { request, attempt, latency, outcome, closed } => {
                if self.ended(now, request, attempt as usize, latency, outcome, closed) {
                    self.go(now, request, out);
                }
            }
            Event::Abandoned(id) => {
                // What it has out is given up with it.
                if let Some(r) = self.asked.remove(&id).filter(|r| r.out)
                    && let Some((k, _)) = r.tried.last()
                {
                    self.servers[*k].out = self.servers[*k].out.saturating_sub(1);
                }
            }
            Event::Timer(_) => {
                self.timer = false;
                for id in std::mem::take(&mut self.held) {
                    self.go(now, id, out);
                }
            }
        }
    }
}

/// Whoever decides at one proxy.
pub enum AnyPolicy {
    /// The module.
    Sandgap(Box<Balancer>),
    /// A rival.
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

/// Wall time spent in deciding, s, and how often.
pub type Spent = Rc<Cell<(f64, u64)>>;

/// Whoever decides, timed where that is asked for: the one place in the laboratory that looks at a clock.
pub struct Timed {
    /// Whoever decides.
    pub inner: AnyPolicy,
    /// Where the time is added up.
    pub spent: Option<Spent>,
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
