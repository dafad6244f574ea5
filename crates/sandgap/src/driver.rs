//! Runs the sans-IO core of [`sandgap_driver`] on the process's clock: feeds it the socket events in order and
//! carries out its effects on the sockets.

use std::cell::{Cell, RefCell};
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

use crate::diagnostics::{Diagnostics, Event};
use crate::discovery::{self, ListReader};
use crate::event::{
    Answer, AnswerBy, Arrival, Attempt, BackendPool, Endpoint, Exchange, GiveUp, Input, InputSender, Lease,
    Reply, Report, StatusQuery, StatusReply,
};
use crate::limit_report::LimitReport;
use crate::note;
use crate::peers::Peers;
use crate::serving::Serving;
use crate::view::{self, View};

/// Inputs handled between two checks of the timers; each takes a few microseconds.
const MAX_BATCH: usize = 32;
/// Interval between checks of idle connections and of the estimated limits.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The components that the driver depends on.
pub struct Dependencies {
    /// The queue to which attempts report.
    pub input_sender: InputSender,
    /// The upstream side of each protocol.
    pub pools: Vec<Rc<dyn BackendPool>>,
    /// The other proxies, if messages may be sent to them.
    pub peers: Option<Rc<Peers>>,
    /// Current address of the discovery service, if there is one.
    pub discovery: Option<watch::Receiver<SocketAddr>>,
    /// Reads the lists of discovery.
    pub lists: Rc<ListReader>,
    /// Notified when the decision library requests a discovery subscription.
    pub subscribe: Rc<Notify>,
    /// Notified once a list of backends is known.
    pub serving: Rc<Serving>,
    /// Event counters and the trace.
    pub diagnostics: Rc<Diagnostics>,
    /// Age of the state on which attempts are decided.
    pub view: Rc<View>,
}

/// Per-request state: the request as it is forwarded, and the channel for its answer.
struct RequestContext {
    exchange: Rc<dyn Exchange>,
    lease: Option<Rc<dyn Lease>>,
    answer: Option<oneshot::Sender<Answer>>,
    /// Its attempts, by number.
    attempts: RefCell<Vec<(u32, Rc<GiveUp>)>>,
    /// Outcome of the latest attempt that has ended.
    last_outcome: Cell<Option<Outcome>>,
}

impl RequestContext {
    /// Remembers an attempt that starts.
    fn begin_attempt(&self, number: u32) -> Rc<GiveUp> {
        let give_up = Rc::<GiveUp>::default();
        self.attempts.borrow_mut().push((number, give_up.clone()));
        give_up
    }
}

/// Carries out the core's effects on sockets, peers and discovery.
struct SocketEffects {
    dependencies: Dependencies,
    start: Instant,
}

impl Effects for SocketEffects {
    type Context = RequestContext;
    type Reply = Reply;

    fn attempt(&mut self, context: &RequestContext, attempt: core::Attempt) {
        let core::Attempt { request, number, endpoint, wanted, until, answer_by, is_alone, write_before } =
            attempt;
        let diagnostics = &self.dependencies.diagnostics;
        if number > 0 {
            diagnostics.count(Event::Retry, context.last_outcome.get().map_or("none", outcome_name));
        }
        diagnostics.trace("attempt", || {
            let left = (self.start + until).saturating_duration_since(Instant::now()).as_secs_f64();
            json!({"request": request.0, "attempt": number, "backend": endpoint.address, "left_s": left})
        });
        let report =
            Report::new(self.dependencies.input_sender.clone(), request, number, endpoint.begin_attempt());
        let until = self.start + until;
        let answer_by = AnswerBy { start: self.start, after: answer_by };
        let before = write_before.map(|at| self.start + at);
        let lease = context.lease.clone();
        let give_up = context.begin_attempt(number);
        let attempt =
            Attempt { endpoint, wanted, lease, until, answer_by, is_alone, before, give_up, report };
        context.exchange.clone().attempt(attempt);
    }

    fn give_up_paused(&mut self, context: &RequestContext, request: RequestId, attempt: u32) {
        let attempts = context.attempts.borrow();
        if let Some((_, give_up)) = attempts.iter().find(|(number, _)| *number == attempt) {
            self.dependencies
                .diagnostics
                .trace("give_up_paused", || json!({"request": request.0, "attempt": attempt}));
            give_up.request();
        }
    }

    fn may_send(&self, context: &RequestContext) -> bool {
        context.lease.as_ref().is_none_or(|l| l.holds())
    }

    fn answer(&mut self, context: &mut RequestContext, request: RequestId, answer: Answer, cause: Cause) {
        let answer_name = match &answer {
            Answer::Served(_) => "served",
            Answer::Refused(_) => "refused",
            Answer::Failed => "failed",
        };
        self.dependencies.diagnostics.trace(
            "answered",
            || json!({"request": request.0, "answer": answer_name, "cause": cause.name()}),
        );
        if let Some(sender) = context.answer.take() {
            let _ = sender.send(answer); // fails if the client has just disconnected
        }
    }

    fn is_body_consumed(&self, context: &RequestContext) -> bool {
        context.exchange.is_spent()
    }

    fn retire(&mut self, endpoint: &Endpoint) {
        self.dependencies.pools.iter().for_each(|pool| pool.retire(endpoint));
    }

    fn broadcast(&mut self, bytes: Vec<u8>) {
        if let Some(peers) = &self.dependencies.peers {
            peers.broadcast(&bytes);
        }
    }

    fn subscribe(&mut self) {
        self.dependencies.subscribe.notify_one();
    }

    fn fetch_list(&mut self) {
        if let Some(discovery) = &self.dependencies.discovery {
            let address = *discovery.borrow();
            let (lists, input_sender) = (&self.dependencies.lists, &self.dependencies.input_sender);
            tokio::task::spawn_local(discovery::fetch(address, lists.clone(), input_sender.clone()));
        }
    }

    fn listed(&mut self, scope: Scope, has_entries: bool) {
        match scope {
            Scope::Full => self.dependencies.serving.set_has_list(),
            Scope::Cached if has_entries => self.dependencies.serving.set_has_list(),
            Scope::Cached | Scope::Delta | Scope::Failed => {}
        }
    }

    fn violation(&mut self, violation: Violation, request: RequestId) {
        note!(
            error: "internal error: a safety rule would have been violated: {} in request {}",
            violation.name(),
            request.0
        );
        self.dependencies.diagnostics.count(Event::Violation, violation.name());
        let fields = || json!({"request": request.0, "reason": violation.name()});
        self.dependencies.diagnostics.trace("violation", fields);
    }

    fn late_answer(&mut self, request: RequestId) {
        self.dependencies.diagnostics.count(Event::Late, "answer");
        self.dependencies.diagnostics.trace("late_answer", || json!({"request": request.0}));
    }

    fn denied(&mut self, request: RequestId, attempt: u32, denial: Denial) {
        self.dependencies.diagnostics.count(Event::Denial, denial.name());
        let fields = || json!({"request": request.0, "attempt": attempt, "reason": denial.name()});
        self.dependencies.diagnostics.trace("denied", fields);
    }
}

/// Event loop that runs the decision library on incoming events.
pub struct Driver {
    core: Core<Balancer, SocketEffects>,
    start: Instant,
    limit_report: LimitReport,
}

impl Driver {
    /// Creates a driver without requests. The decision library's clock starts here.
    pub fn new(
        balancer: Balancer, names: Names, dependencies: Dependencies, limit_report: LimitReport,
    ) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = Instant::now();
        let listed = dependencies.lists.listed().clone();
        let mut core =
            Core::new(balancer, SocketEffects { dependencies, start }, names, unix.as_secs_f64() * 1000.0);
        core.record_listed_in(listed);
        Driver { core, start, limit_report }
    }

    /// Handles inputs and timers until the input channel closes.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut sweep = Instant::now() + SWEEP_INTERVAL;
        // A single timer covers everything that is due. It is reset only when it must fire sooner or has fired: each
        // reset may cost a system call that wakes a runtime which is already awake.
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
            match self.core.effects.dependencies.view.standstill() {
                Some(span) => self.catch_up(span, input, &mut inputs).await,
                None => self.take_batch(input, &mut inputs),
            }
            self.core.run_due_timers(self.now());
            let now = Instant::now();
            self.core.effects.dependencies.view.mark_caught_up(now);
            if now >= sweep {
                self.core.effects.dependencies.pools.iter().for_each(|pool| pool.sweep());
                self.review_stalls();
                let limits = self.core.policy().limit_estimates();
                let counts = self.core.effects.dependencies.diagnostics.counts();
                self.limit_report.update(now.into_std(), limits, &counts, |b| self.core.address(b));
                sweep = now + SWEEP_INTERVAL;
            }
        }
    }

    /// Tells the core which backends' answers hang, or have gone on.
    fn review_stalls(&mut self) {
        let pools = self.core.effects.dependencies.pools.clone();
        for stall in pools.iter().flat_map(|pool| pool.review_stalls()) {
            let address = self.core.stalled(self.now(), stall);
            let fields =
                || json!({"backend": address, "class": stall.class.0, "is_stalled": stall.is_stalled});
            self.core.effects.dependencies.diagnostics.trace("stall", fields);
        }
    }

    /// Handles an input and those queued behind it, up to a bound that keeps timers on time.
    fn take_batch(&mut self, input: Option<Input>, inputs: &mut mpsc::UnboundedReceiver<Input>) {
        input.into_iter().for_each(|input| self.handle(input));
        for _ in 0..MAX_BATCH {
            let Ok(input) = inputs.try_recv() else { break };
            self.handle(input);
        }
    }

    /// After a standstill, handles all queued inputs before any timer, updates of backends first. Attempts started
    /// meanwhile begin to send only after that: they are separate tasks, and this function doesn't wait for them.
    async fn catch_up(
        &mut self, span: Duration, input: Option<Input>, inputs: &mut mpsc::UnboundedReceiver<Input>,
    ) {
        self.report_standstill(span);
        view::settle().await;
        let mut backlog: Vec<Input> = input.into_iter().collect();
        while let Ok(input) = inputs.try_recv() {
            backlog.push(input);
        }
        let (backend_updates, others): (Vec<Input>, Vec<Input>) =
            backlog.into_iter().partition(Input::is_backend_update);
        backend_updates.into_iter().chain(others).for_each(|input| self.handle(input));
    }

    fn report_standstill(&self, span: Duration) {
        note!(warn: "the process stood still for {} ms", span.as_millis());
        let diagnostics = &self.core.effects.dependencies.diagnostics;
        diagnostics.count(Event::Standstill, standstill_name(span));
        diagnostics.trace("standstill", || json!({"ms": span.as_millis() as u64}));
    }

    /// Answers a status query; all inputs queued before it have been handled.
    fn answer_status(&self, query: StatusQuery) {
        let StatusQuery { in_flight_at, limits_of, cohort, answer } = query;
        let id = |name: &str| BackendId(number_of(name));
        let in_flight =
            in_flight_at.iter().map(|name| (name.clone(), self.core.in_flight_at(id(name)))).collect();
        let estimates: FxHashMap<BackendId, f64> = match limits_of.is_empty() {
            true => FxHashMap::default(),
            false => self.core.policy().limit_estimates().map(|b| (b.backend, b.limit)).collect(),
        };
        let limit_of = |name: String| {
            let limit = estimates.get(&id(&name))?;
            Some((name, (limit.clamp(0.0, 1e9) * 1000.0) as u64))
        };
        let limits = limits_of.into_iter().filter_map(limit_of).collect();
        let in_flight_total = self.core.in_flight_at_all();
        let add = |(a, f): (u64, u64), (all, failed): (u64, u64)| (a + all, f + failed);
        let cohort_ended = cohort.iter().map(|name| self.core.ended_at(id(name))).fold((0, 0), add);
        let ended = [cohort_ended, self.core.ended_at_all()];
        // Fails if the asking task has ended.
        let _ = answer.send(StatusReply { in_flight, in_flight_total, limits, ended });
    }

    fn now(&self) -> Time {
        self.start.elapsed()
    }

    fn handle(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Request(arrival) => {
                let Arrival {
                    id,
                    class,
                    effect,
                    max_concurrent_attempts,
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
                let context = RequestContext {
                    exchange,
                    lease,
                    answer: Some(answer),
                    attempts: RefCell::default(),
                    last_outcome: Cell::new(None),
                };
                let arrival = core::Arrival {
                    id,
                    class,
                    effect,
                    max_concurrent_attempts,
                    tenant,
                    key,
                    hint,
                    deadline,
                    upload,
                    context,
                };
                self.core.request(now, arrival);
            }
            Input::Received(id, at) => self.core.received(id, at.saturating_duration_since(self.start)),
            Input::Uploaded(id) => self.core.uploaded(now, id),
            Input::Shutdown(at) => self.core.end_by(at.saturating_duration_since(self.start)),
            Input::Started { request, attempt, reply } => self.core.started(now, request, attempt, reply),
            Input::Responding { request, attempt } => self.core.responding(now, request, attempt),
            Input::Paused { request, attempt } => {
                let diagnostics = &self.core.effects.dependencies.diagnostics;
                diagnostics.count(Event::Upstream, "paused");
                let fields = || json!({"request": request.0, "attempt": attempt});
                diagnostics.trace("paused", fields);
                self.core.paused(now, request, attempt);
            }
            Input::Disconnected(id) => {
                let diagnostics = &self.core.effects.dependencies.diagnostics;
                diagnostics.trace("client_left", || json!({"request": id.0}));
                self.core.client_disconnected(now, id);
            }
            Input::Ended { request, attempt, latency, outcome, reply } => {
                let diagnostics = &self.core.effects.dependencies.diagnostics;
                diagnostics.count(Event::Attempt, outcome_name(outcome));
                diagnostics.trace("ended", || {
                    let outcome = outcome_name(outcome);
                    json!({"request": request.0, "attempt": attempt, "outcome": outcome, "took_ms": latency})
                });
                if let Some(context) = self.core.context(request) {
                    context.last_outcome.set(Some(outcome));
                }
                self.core.ended(now, request, attempt, latency, outcome, reply);
            }
            Input::Change(change) => self.core.change(now, *change),
            Input::DiscoveryAlive => self.core.discovery_alive(now),
            Input::List(scope, hosts) => self.core.list(now, scope, hosts),
            Input::UncertainList(scope, hosts) => self.core.uncertain_list(now, scope, hosts),
            Input::PreviousList(hosts) => {
                if !self.core.effects.dependencies.serving.has_list() {
                    note!(warn: "discovery does not answer; serving from the list of the previous process");
                    self.handle(Input::List(Scope::Cached, hosts));
                }
            }
            Input::ManualDrains { names, in_effect } => {
                self.core.set_manual_drains(now, names.iter().map(String::as_str));
                // Fails if nobody waits for it.
                let _ = in_effect.send(());
            }
            Input::StatusQuery(query) => self.answer_status(*query),
            Input::Datagram { from, bytes } => self.core.message(now, from, bytes),
        }
    }
}

/// Name of a standstill's length for logs and counters, by the strictest time limit that it can break.
fn standstill_name(span: Duration) -> &'static str {
    match span.as_millis() {
        ..100 => "under_100_ms",
        100..500 => "under_500_ms",
        _ => "over_500_ms",
    }
}

/// Name of an outcome for logs and counters.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Full => "turned_away",
        Outcome::FullUnproven => "turned_away_unproven",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not_sent",
    }
}
