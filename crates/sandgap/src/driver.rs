//! Runs the core of [`sandgap_driver`] on the process's clock: what the sockets see goes in, in order, and what it
//! says is done on them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustc_hash::FxHashMap;
use sandgap_driver::permit::{Denial, Violation};
use sandgap_driver::{self as core, Cause, Core, Effects, Time};
use serde_json::json;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};
use wharfhitch::settings::{Names, number_of};
use wharfhitch::{BackendId, Balancer, Outcome, RequestId, Scope};

use crate::beliefs::Beliefs;
use crate::diagnostics::{Diagnostics, Event};
use crate::discovery;
use crate::drains::Drains;
use crate::event::{
    Answer, AnswerBy, Arrival, Attempt, Back, Endpoint, Exchange, Inbox, Input, Lease, Reply, Report,
    StatusQuery, StatusReply,
};
use crate::note;
use crate::peers::Peers;
use crate::serving::Serving;
use crate::view::{self, View};

/// Inputs taken between two looks at the timers; a few microseconds each.
const BATCH: usize = 32;
const SWEEP: Duration = Duration::from_secs(1); // between looks at idle connections and at beliefs

/// What the driver needs of the other parts.
pub struct Parts {
    /// Where attempts report.
    pub inbox: Inbox,
    /// The senders of each protocol.
    pub backs: Vec<Rc<dyn Back>>,
    /// The other proxies, if they may be told anything.
    pub peers: Option<Rc<Peers>>,
    /// Where discovery is at present, if there is one.
    pub discovery: Option<watch::Receiver<SocketAddr>>,
    /// Told when the module wants a watch.
    pub watch: Rc<Notify>,
    /// Told once discovery has told the list.
    pub serving: Rc<Serving>,
    /// Counts and traces what happens.
    pub diagnostics: Rc<Diagnostics>,
    /// How old the view is by which attempts are made.
    pub view: Rc<View>,
}

/// What is kept with a request: the form in which it goes on, and whoever waits for its answer.
struct RequestContext {
    exchange: Rc<dyn Exchange>,
    lease: Option<Rc<dyn Lease>>,
    answer: Option<oneshot::Sender<Answer>>,
    /// How its last attempt ended, if one has.
    last: Cell<Option<Outcome>>,
}

/// The world of sockets, as the core sees it.
struct Sockets {
    parts: Parts,
    start: Instant,
}

impl Effects for Sockets {
    type Held = RequestContext;
    type Reply = Reply;

    fn attempt(&mut self, held: &RequestContext, attempt: core::Attempt) {
        let core::Attempt { request, number, endpoint, wanted, until, answer_by, before } = attempt;
        let diagnostics = &self.parts.diagnostics;
        if number > 0 {
            diagnostics.count(Event::Retry, held.last.get().map_or("none", outcome_name));
        }
        diagnostics.trace("attempt", || {
            let left = (self.start + until).saturating_duration_since(Instant::now()).as_secs_f64();
            json!({"request": request.0, "attempt": number, "backend": endpoint.address, "left_s": left})
        });
        let report = Report::new(self.parts.inbox.clone(), request, number, endpoint.hold());
        let until = self.start + until;
        let answer_by = AnswerBy { start: self.start, after: answer_by };
        let before = before.map(|at| self.start + at);
        let lease = held.lease.clone();
        let attempt = Attempt { endpoint, wanted, lease, until, answer_by, before, report };
        held.exchange.clone().attempt(attempt);
    }

    fn may_send(&self, held: &RequestContext) -> bool {
        held.lease.as_ref().is_none_or(|l| l.holds())
    }

    fn answer(&mut self, held: &mut RequestContext, request: RequestId, answer: Answer, cause: Cause) {
        let word = match &answer {
            Answer::Served(_) => "served",
            Answer::Refused(_) => "refused",
            Answer::Failed => "failed",
        };
        self.parts
            .diagnostics
            .trace("answered", || json!({"request": request.0, "answer": word, "cause": cause.name()}));
        if let Some(sender) = held.answer.take() {
            let _ = sender.send(answer); // a client that has just left needs none
        }
    }

    fn is_spent(&self, held: &RequestContext) -> bool {
        held.exchange.is_spent()
    }

    fn retire(&mut self, endpoint: &Endpoint) {
        self.parts.backs.iter().for_each(|b| b.retire(endpoint));
    }

    fn broadcast(&mut self, bytes: Vec<u8>) {
        if let Some(peers) = &self.parts.peers {
            peers.tell(&bytes);
        }
    }

    fn subscribe(&mut self) {
        self.parts.watch.notify_one();
    }

    fn fetch_list(&mut self) {
        if let Some(discovery) = &self.parts.discovery {
            let address = *discovery.borrow();
            tokio::task::spawn_local(discovery::fetch(address, self.parts.inbox.clone()));
        }
    }

    fn listed(&mut self, scope: Scope, some: bool) {
        match scope {
            Scope::Full => self.parts.serving.listed(),
            Scope::Cached if some => self.parts.serving.listed(),
            Scope::Cached | Scope::Delta | Scope::Failed => {}
        }
    }

    fn violation(&mut self, violation: Violation, request: RequestId) {
        note!(error: "a rule would have been broken: {} of request {}", violation.name(), request.0);
        self.parts.diagnostics.count(Event::Violation, violation.name());
        let fields = || json!({"request": request.0, "reason": violation.name()});
        self.parts.diagnostics.trace("violation", fields);
    }

    fn late_answer(&mut self, request: RequestId) {
        self.parts.diagnostics.count(Event::Late, "answer");
        self.parts.diagnostics.trace("late_answer", || json!({"request": request.0}));
    }

    fn denied(&mut self, request: RequestId, attempt: u32, denial: Denial) {
        self.parts.diagnostics.count(Event::Denial, denial.name());
        let fields = || json!({"request": request.0, "attempt": attempt, "reason": denial.name()});
        self.parts.diagnostics.trace("denied", fields);
    }
}

/// Runs the module on what comes in.
pub struct Driver {
    core: Core<Balancer, Sockets>,
    start: Instant,
    beliefs: Beliefs,
    /// Drains by hand over a list from discovery, where rules are agreed.
    drains: Option<Drains>,
}

impl Driver {
    /// A driver with nothing in it yet. The module's clock starts here.
    pub fn new(balancer: Balancer, names: Names, parts: Parts, beliefs: Beliefs) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = Instant::now();
        let core = Core::new(balancer, Sockets { parts, start }, names, unix.as_secs_f64() * 1000.0);
        Driver { core, start, beliefs, drains: None }
    }

    /// Takes inputs and timers for as long as the process runs.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut sweep = Instant::now() + SWEEP;
        // One timer for all that is due, set anew only when it must fire sooner or has fired: each setting may
        // cost a system call to wake the runtime that is awake.
        let timer = sleep_until(sweep);
        tokio::pin!(timer);
        loop {
            let next = self.core.next_due().map_or(sweep, |at| (self.start + at).min(sweep));
            if next < timer.deadline() || timer.is_elapsed() {
                timer.as_mut().reset(next);
            }
            let input = tokio::select! {
                biased;
                () = &mut timer => None,
                input = inputs.recv() => match input {
                    Some(input) => Some(input),
                    None => return,
                },
            };
            match self.core.effects.parts.view.standstill() {
                Some(span) => self.catch_up(span, input, &mut inputs).await,
                None => self.take_batch(input, &mut inputs),
            }
            self.core.fire(self.now());
            let now = Instant::now();
            self.core.effects.parts.view.renew(now);
            if now >= sweep {
                self.core.effects.parts.backs.iter().for_each(|b| b.sweep());
                let believed = self.core.decider().beliefs();
                let counts = self.core.effects.parts.diagnostics.counts();
                self.beliefs.look(now.into_std(), believed, &counts, |b| self.core.address(b));
                sweep = now + SWEEP;
            }
        }
    }

    /// Takes an input and what else has come in meanwhile, but no more than leaves timers on time.
    fn take_batch(&mut self, input: Option<Input>, inputs: &mut mpsc::UnboundedReceiver<Input>) {
        input.into_iter().for_each(|input| self.take(input));
        for _ in 0..BATCH {
            let Ok(input) = inputs.try_recv() else { break };
            self.take(input);
        }
    }

    /// After a standstill takes in all that has come before anything is decided by the clock, news of backends first. What
    /// is to be sent meanwhile begins only after that: attempts are tasks of their own, and this doesn't wait for any.
    async fn catch_up(
        &mut self, span: Duration, input: Option<Input>, inputs: &mut mpsc::UnboundedReceiver<Input>,
    ) {
        self.note_standstill(span);
        view::settle().await;
        let mut backlog: Vec<Input> = input.into_iter().collect();
        while let Ok(input) = inputs.try_recv() {
            backlog.push(input);
        }
        let (news, others): (Vec<Input>, Vec<Input>) =
            backlog.into_iter().partition(Input::is_news_of_backends);
        news.into_iter().chain(others).for_each(|input| self.take(input));
    }

    fn note_standstill(&self, span: Duration) {
        note!(warn: "the process stood still for {} ms", span.as_millis());
        let diagnostics = &self.core.effects.parts.diagnostics;
        diagnostics.count(Event::Standstill, standstill_name(span));
        diagnostics.trace("standstill", || json!({"ms": span.as_millis() as u64}));
    }

    /// What is under way, after all that was put in before this was asked.
    fn look(&self, look: StatusQuery) {
        let StatusQuery { at, measured, cohort, answer } = look;
        let id = |name: &str| BackendId(number_of(name));
        let sights = at.iter().map(|name| (name.clone(), self.core.held_at(id(name)))).collect();
        let believed: FxHashMap<BackendId, f64> = match measured.is_empty() {
            true => FxHashMap::default(),
            false => self.core.decider().beliefs().map(|b| (b.backend, b.limit)).collect(),
        };
        let holds = |name: String| {
            let limit = believed.get(&id(&name))?;
            Some((name, (limit.clamp(0.0, 1e9) * 1000.0) as u64))
        };
        let holds = measured.into_iter().filter_map(holds).collect();
        let held = self.core.held_at_all();
        let of = |(a, f): (u64, u64), (all, failed): (u64, u64)| (a + all, f + failed);
        let new = cohort.iter().map(|name| self.core.ended_at(id(name))).fold((0, 0), of);
        let ended = [new, self.core.ended_at_all()];
        let _ = answer.send(StatusReply { sights, held, holds, ended }); // whoever asked may have ended
    }

    fn now(&self) -> Time {
        self.start.elapsed()
    }

    fn take(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Request(arrival) => {
                let Arrival {
                    id,
                    class,
                    effect,
                    tenant,
                    key,
                    hint,
                    deadline,
                    upload,
                    exchange,
                    lease,
                    answer,
                } = *arrival;
                let deadline = deadline.saturating_duration_since(self.start);
                let held = RequestContext { exchange, lease, answer: Some(answer), last: Cell::new(None) };
                let arrival = core::Arrival { id, class, effect, tenant, key, hint, deadline, upload, held };
                self.core.request(now, arrival);
            }
            Input::Received(id, at) => self.core.received(id, at.saturating_duration_since(self.start)),
            Input::Uploaded(id) => self.core.uploaded(now, id),
            Input::End(at) => self.core.end_by(at.saturating_duration_since(self.start)),
            Input::Started { request, attempt, reply } => self.core.started(now, request, attempt, reply),
            Input::Gone(id) => {
                let diagnostics = &self.core.effects.parts.diagnostics;
                diagnostics.trace("client_left", || json!({"request": id.0}));
                self.core.client_disconnected(now, id);
            }
            Input::Ended { request, attempt, latency, outcome, reply } => {
                let diagnostics = &self.core.effects.parts.diagnostics;
                diagnostics.count(Event::Attempt, outcome_name(outcome));
                diagnostics.trace("ended", || {
                    let outcome = outcome_name(outcome);
                    json!({"request": request.0, "attempt": attempt, "outcome": outcome, "took_ms": latency})
                });
                if let Some(held) = self.core.context(request) {
                    held.last.set(Some(outcome));
                }
                self.core.ended(now, request, attempt, latency, outcome, reply);
            }
            Input::Change(change) => self.core.change(now, *change),
            Input::DiscoveryAlive => self.core.discovery_alive(now),
            Input::List(scope, mut hosts) => {
                if let Some(drains) = &mut self.drains {
                    drains.overlay(scope, &mut hosts);
                }
                self.core.list(now, scope, hosts);
            }
            Input::UncertainList(scope, mut hosts) => {
                if let Some(drains) = &mut self.drains {
                    drains.overlay(scope, &mut hosts);
                }
                self.core.uncertain_list(now, scope, hosts);
            }
            Input::Remembered(hosts) => {
                if !self.core.effects.parts.serving.has_list() {
                    note!(warn: "discovery is silent: the list of the process before is served from");
                    self.take(Input::List(Scope::Cached, hosts));
                }
            }
            Input::Drains(names) => {
                let lines = self.drains.get_or_insert_default().change(names);
                self.core.list(now, Scope::Delta, lines);
            }
            Input::StatusQuery(look) => self.look(*look),
            Input::Datagram { from, bytes } => self.core.message(now, from, bytes),
        }
    }
}

/// A standstill's word for logs and counters: the least promise that it can break.
fn standstill_name(span: Duration) -> &'static str {
    match span.as_millis() {
        ..100 => "under_100_ms",
        100..500 => "under_500_ms",
        _ => "over_500_ms",
    }
}

/// An outcome's word for logs and counters.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Full => "turned_away",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not_sent",
    }
}
