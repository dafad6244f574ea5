//! The core owns the policy, passes events to it and performs the actions that it returns, in order. The policy is the
//! decision library's [`Balancer`], or in the simulator another one for comparison.

mod backends;

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use wharfhitch::settings::Names;
use wharfhitch::{
    Action, Backend, BackendId, Balancer, Change, ClassId, Effect, Event, Key, Millis, Outcome, RequestId,
    Scope, TenantId,
};

use crate::address_owners::AddressOwners;
use crate::closings::Closings;
use crate::endpoint::Endpoint;
use crate::list_admission::ListedBackends;
use crate::permit::{Attempts, Denial, MAX_ANSWER_DELAY, SendFacts, Violation};
use crate::stalls::Stall;
use crate::starts::Starts;

/// Time since the process started, on a monotonic clock.
pub type Time = Duration;

/// An unanswered request is answered this long before its client's deadline, so that the answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(4);
/// Stands for "no deadline" on a long request that is forwarded while its client is still sending it. The transport
/// detects a client or backend that stalls in the middle of the body.
const NO_DEADLINE: Duration = Duration::from_secs(1 << 32);

/// Chooses the backend of each attempt and decides on retries and refusals.
pub trait Policy {
    /// Handles an event and appends the resulting actions in order; see [`Balancer::handle`].
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>);
}

impl Policy for Balancer {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }
}

/// What the core does to its environment: each method is one side effect or a question about the environment. Not to be
/// confused with [`Effect`], which says whether a request may be executed more than once.
///
/// The core calls the methods in the order in which they are to take effect. None may call back into the core.
pub trait Effects {
    /// Data that the implementer keeps with a request until it is answered and its last attempt has ended.
    type Context;
    /// A backend's complete answer.
    type Reply;

    /// Starts an attempt. The implementer of this trait has to see to it that [`Core::ended`] is called exactly once for
    /// it, after this method has returned.
    fn attempt(&mut self, context: &Self::Context, attempt: Attempt);
    /// Gives up an attempt whose answer has paused; see [`Action::GiveUpPaused`]. Its end is reported like any other. The
    /// attempt goes on where the implementer knows no pauses.
    fn give_up_paused(&mut self, _context: &Self::Context, _request: RequestId, _attempt: u32) {}
    /// Gives a request its only answer.
    fn answer(
        &mut self, context: &mut Self::Context, request: RequestId, answer: Answer<Self::Reply>, cause: Cause,
    );
    /// Whether the lease under which the request was accepted still holds, or it needs none; called before each attempt.
    /// If it does not hold, the attempt is denied and the request is answered at once.
    fn may_send(&self, _context: &Self::Context) -> bool {
        true
    }
    /// Whether a request can't be sent again because part of its body was sent and not buffered.
    fn is_body_consumed(&self, _context: &Self::Context) -> bool {
        false
    }
    /// An endpoint gets no new attempts because it is draining, gone or replaced; resources kept for it can be released.
    /// A draining endpoint may be opened again later, and one that is already closed may be reported again.
    fn retire(&mut self, endpoint: &Endpoint);
    /// Sends bytes to every other proxy.
    fn broadcast(&mut self, bytes: Vec<u8>);
    /// Subscribes to the list of backends.
    fn subscribe(&mut self);
    /// Fetches the list of backends once.
    fn fetch_list(&mut self);
    /// A list of this scope has been applied; `has_backends` is true if it has any entries, including those that only
    /// say that a backend is draining or removed.
    fn listed(&mut self, scope: Scope, has_backends: bool);
    /// The policy requested an action that is not allowed; it was not performed.
    fn violation(&mut self, violation: Violation, request: RequestId);
    /// An answer is given more than [`MAX_ANSWER_DELAY`] after its client's deadline: there was a standstill of the process
    /// or its machine, or the answer was delayed elsewhere.
    fn late_answer(&mut self, _request: RequestId) {}
    /// An attempt that the policy requested was not started.
    fn denied(&mut self, _request: RequestId, _attempt: u32, _denial: Denial) {}
}

/// The answer to a request.
#[derive(Debug)]
pub enum Answer<R> {
    /// A backend's answer.
    Served(R),
    /// The request was not executed, or repeating it is safe; the client may retry, after the given time if there is one.
    Refused(Option<Millis>),
    /// Whether the request was executed is unknown.
    Failed,
}

/// Why a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A backend answered.
    Backend,
    /// The policy decided so.
    Policy,
    /// The client's deadline, or the deadline of the shutdown, was near.
    Deadline,
    /// No further attempt is allowed.
    Denied,
}

impl Cause {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Backend => "backend",
            Cause::Policy => "policy",
            Cause::Deadline => "deadline",
            Cause::Denied => "denied",
        }
    }
}

/// An incoming request.
pub struct Arrival<H> {
    /// Request id, never reused.
    pub id: RequestId,
    /// Request class.
    pub class: ClassId,
    /// Whether it may be executed more than once.
    pub effect: Effect,
    /// Maximum number of attempts that it may have in flight at once.
    pub max_concurrent_attempts: u32,
    /// Tenant, if requests have one.
    pub tenant: Option<TenantId>,
    /// Key of the object that the request concerns, if any.
    pub key: Option<Key>,
    /// Expected work.
    pub hint: Option<Millis>,
    /// When the client stops waiting.
    pub deadline: Time,
    /// Only for a long request, which is forwarded while it is still being received: how long the client waits after
    /// having sent its last byte. A length of time, not a point in time; see [`Core::received`].
    pub upload: Option<Time>,
    /// Data kept with the request, see [`Effects::Context`].
    pub context: H,
}

/// An attempt to be started.
pub struct Attempt {
    /// The request that it belongs to.
    pub request: RequestId,
    /// Number within the request, from 0.
    pub number: u32,
    /// Destination; nothing may be written once it is no longer open.
    pub endpoint: Rc<Endpoint>,
    /// Cleared when the request is answered; nothing may be written afterwards.
    pub wanted: Rc<Cell<bool>>,
    /// When the attempt times out.
    pub until: Time,
    /// When a short answer has to be sent completely. It is shared by all attempts of the request and follows its
    /// deadline, which changes when a shutdown starts, and for a long request when forwarding starts, when the last byte
    /// is received from the client meanwhile, and when forwarding ends.
    pub answer_by: Rc<Cell<Time>>,
    /// No other attempt may be made beside it.
    pub is_alone: bool,
    /// Only for an attempt that may be a duplicate of an earlier one: nothing of it may be written from this time on,
    /// because backends no longer drop duplicates then.
    pub write_before: Option<Time>,
}

/// A request that is unanswered or has attempts in flight.
struct PendingRequest<H> {
    /// Whether it is still unanswered.
    open: bool,
    /// Same as `open`, shared with attempts in flight.
    wanted: Rc<Cell<bool>>,
    context: H,
    effect: Effect,
    deadline: Time,
    /// See [`Attempt::answer_by`]: the deadline minus [`ANSWER_MARGIN`], shared with attempts in flight.
    answer_by: Rc<Cell<Time>>,
    /// See [`Arrival::upload`].
    upload: Option<Time>,
    /// When the last byte of a long request was received from its client, if it was.
    received: Option<Time>,
    /// A long request is being forwarded to a backend.
    uploading: bool,
    attempts: Attempts,
    /// Attempts in flight.
    in_flight: u32,
    /// See [`Arrival::max_concurrent_attempts`].
    max_concurrent_attempts: u32,
}

/// What a timer does when it fires.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Policy(u64),
    Deadline(RequestId),
    Reopening(BackendId),
}

impl<H> PendingRequest<H> {
    /// Sets the client's deadline. Returns [`ANSWER_MARGIN`] before it, when [`Core::on_deadline`] answers the request if
    /// it is still unanswered.
    fn set_deadline(&mut self, deadline: Time) -> Time {
        let last = deadline.saturating_sub(ANSWER_MARGIN);
        self.deadline = deadline;
        self.answer_by.set(last);
        last
    }
}

/// Drives a policy with incoming events. The size of its maps is bounded by the number of requests that the caller
/// admits and the number of listed backends.
pub struct Core<P, O: Effects> {
    policy: P,
    /// Performs the effects.
    pub effects: O,
    names: Names,
    starts: Starts,
    closings: Closings,
    endpoints: FxHashMap<BackendId, Rc<Endpoint>>,
    address_owners: AddressOwners,
    /// The backends as the list has them, without manual drains.
    listed: FxHashMap<BackendId, Backend>,
    /// Backends that are drained by hand, whether they are listed or not.
    manual_drains: BTreeSet<BackendId>,
    listed_backends: ListedBackends,
    /// Number of the newest endpoint.
    last_endpoint_number: u64,
    pending: FxHashMap<RequestId, PendingRequest<O::Context>>,
    timers: BinaryHeap<Reverse<(Time, TimerKind)>>,
    actions: Vec<Action>,
    /// The time of the event that is being handled.
    now: Time,
    /// Attempts that were not started, to be reported to the policy after the current actions.
    not_started: VecDeque<(RequestId, u32)>,
    /// Uploads that have started, to be reported to the policy after the current actions.
    started_uploads: Vec<RequestId>,
    /// Requests that may not be sent any more, to be answered after the current actions.
    unsendable: Vec<RequestId>,
    /// Deadline for all answers, once shutdown has been requested.
    shutdown_deadline: Option<Time>,
}

impl<P: Policy, O: Effects> Core<P, O> {
    /// Creates an empty core; `unix_zero` is the Unix time in ms at which [`Time`] is zero.
    pub fn new(policy: P, effects: O, names: Names, unix_zero: Millis) -> Self {
        Core {
            policy,
            effects,
            names,
            starts: Starts::new(unix_zero),
            closings: Closings::default(),
            endpoints: FxHashMap::default(),
            address_owners: AddressOwners::default(),
            listed: FxHashMap::default(),
            manual_drains: BTreeSet::new(),
            listed_backends: ListedBackends::default(),
            last_endpoint_number: 0,
            pending: FxHashMap::default(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            now: Time::ZERO,
            not_started: VecDeque::new(),
            started_uploads: Vec::new(),
            unsendable: Vec::new(),
            shutdown_deadline: None,
        }
    }

    /// Number of requests that are unanswered or have attempts in flight.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// The data kept with a request, see [`Effects::Context`]; `None` once it is answered and has no attempts in
    /// flight.
    pub fn context(&self, request: RequestId) -> Option<&O::Context> {
        self.pending.get(&request).map(|pending| &pending.context)
    }

    /// The policy.
    pub fn policy(&self) -> &P {
        &self.policy
    }

    /// Address of a backend that is on the list.
    pub fn address(&self, backend: BackendId) -> Option<std::net::SocketAddr> {
        self.endpoints.get(&backend).map(|e| e.address)
    }

    /// Attempts in flight at a backend.
    pub fn in_flight_at(&self, backend: BackendId) -> u32 {
        self.endpoints.get(&backend).map_or(0, |e| e.in_flight())
    }

    /// Number of attempts at a backend that were served or failed, and how many of them failed.
    pub fn ended_at(&self, backend: BackendId) -> (u64, u64) {
        self.endpoints.get(&backend).map_or((0, 0), |e| e.ended())
    }

    /// Sum of [`Core::ended_at`] over all listed backends.
    pub fn ended_at_all(&self) -> (u64, u64) {
        let add = |(a, f): (u64, u64), (ended, failed): (u64, u64)| (a + ended, f + failed);
        self.endpoints.values().map(|e| e.ended()).fold((0, 0), add)
    }

    /// Attempts in flight at all listed backends.
    pub fn in_flight_at_all(&self) -> u32 {
        self.endpoints.values().map(|e| e.in_flight()).sum()
    }

    /// When the next timer fires. Deadline timers of answered requests are dropped here: nearly all requests are answered
    /// before their timer is due, and each would wake the process for nothing.
    pub fn next_due(&mut self) -> Option<Time> {
        loop {
            let Reverse((at, due)) = self.timers.peek()?;
            match due {
                TimerKind::Deadline(id) if self.pending.get(id).is_none_or(|p| !p.open) => {
                    self.timers.pop();
                }
                _ => return Some(*at),
            }
        }
    }

    /// Runs all timers that are due.
    pub fn run_due_timers(&mut self, now: Time) {
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, due))) = self.timers.pop() else { break };
            match due {
                TimerKind::Policy(token) => self.handle(now, Event::Timer(token)),
                TimerKind::Deadline(id) => self.on_deadline(now, id),
                TimerKind::Reopening(id) => self.reopen(now, id),
            }
        }
    }

    /// A request has arrived: complete, or a long one that is still being received ([`Arrival::upload`]).
    pub fn request(&mut self, now: Time, arrival: Arrival<O::Context>) {
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
            context,
        } = arrival;
        let deadline = self.limit_to_shutdown(deadline);
        let last = deadline.saturating_sub(ANSWER_MARGIN);
        let budget = to_ms(last.saturating_sub(now));
        let wanted = Rc::new(Cell::new(true));
        let answer_by = Rc::new(Cell::new(last));
        let (received, uploading, attempts, in_flight) = (None, false, Attempts::default(), 0);
        let pending = PendingRequest {
            open: true,
            wanted,
            context,
            effect,
            deadline,
            answer_by,
            upload,
            received,
            uploading,
            attempts,
            in_flight,
            max_concurrent_attempts,
        };
        self.pending.insert(id, pending);
        self.timers.push(Reverse((last, TimerKind::Deadline(id))));
        self.handle(now, Event::Request { id, class, tenant, key, budget, hint });
    }

    /// Starts a graceful shutdown: every accepted request is answered by `shutdown_deadline`, even if its client would wait
    /// longer.
    pub fn end_by(&mut self, shutdown_deadline: Time) {
        let shutdown_deadline = self.limit_to_shutdown(shutdown_deadline);
        self.shutdown_deadline = Some(shutdown_deadline);
        let last = shutdown_deadline.saturating_sub(ANSWER_MARGIN);
        for (id, pending) in self.pending.iter_mut().filter(|(_, p)| p.open && p.deadline > shutdown_deadline)
        {
            pending.set_deadline(shutdown_deadline);
            self.timers.push(Reverse((last, TimerKind::Deadline(*id))));
        }
    }

    /// The earlier of a deadline and the shutdown's, if a shutdown has started.
    fn limit_to_shutdown(&self, deadline: Time) -> Time {
        self.shutdown_deadline.map_or(deadline, |shutdown_deadline| deadline.min(shutdown_deadline))
    }

    /// A request's client has left.
    pub fn client_disconnected(&mut self, now: Time, id: RequestId) {
        if self.close(id, |_, _| {}) {
            self.handle(now, Event::Abandoned(id));
        }
    }

    /// The last byte of a long request was received from its client at `at`. The client waits [`Arrival::upload`] from then
    /// on. If the request is being forwarded, its deadline is set accordingly at once; if it is queued, it keeps the
    /// deadline that it has until forwarding starts.
    pub fn received(&mut self, id: RequestId, at: Time) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.received = Some(at);
        if pending.open && pending.uploading {
            self.renew_deadline(at, id);
        }
    }

    /// Sets a long request's deadline to [`Arrival::upload`] after its last byte was received, or after `now` if it has not
    /// been. Sets a timer for it too, and returns when that fires; `None` if this is no long request or it is not held.
    fn renew_deadline(&mut self, now: Time, id: RequestId) -> Option<Time> {
        let pending = self.pending.get(&id)?;
        let deadline = self.limit_to_shutdown(pending.received.unwrap_or(now) + pending.upload?);
        let last = self.pending.get_mut(&id)?.set_deadline(deadline);
        self.timers.push(Reverse((last, TimerKind::Deadline(id))));
        Some(last)
    }

    /// A long request has been forwarded completely.
    pub fn uploaded(&mut self, now: Time, id: RequestId) {
        if self.pending.get(&id).is_some_and(|p| p.uploading) {
            self.end_upload(now, id, false);
        }
    }

    /// Forwarding of a long request has ended. `is_consumed`: it can't be sent again, see [`Effects::is_body_consumed`],
    /// and the policy is told so by a budget of 0.
    fn end_upload(&mut self, now: Time, id: RequestId, is_consumed: bool) {
        let Some(last) = self.renew_deadline(now, id) else { return };
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.uploading = false;
        }
        let budget = if is_consumed { 0.0 } else { to_ms(last.saturating_sub(now)) };
        self.handle(now, Event::Uploaded { request: id, budget });
    }

    /// A long answer has started and is forwarded as it arrives. Its end is reported with [`Core::ended`].
    pub fn started(&mut self, now: Time, request: RequestId, attempt: u32, reply: O::Reply) {
        if self.pending.get(&request).is_some_and(|p| p.uploading) {
            self.end_upload(now, request, false); // the backend answered before the whole request was forwarded
        }
        if self.answer(now, request, Answer::Served(reply), Cause::Backend) {
            self.handle(now, Event::Started { request, attempt });
        }
    }

    /// The head of an answer has arrived, and the backend is writing the body.
    pub fn responding(&mut self, now: Time, request: RequestId, attempt: u32) {
        if self.pending.get(&request).is_some_and(|p| p.open && !p.uploading) {
            self.handle(now, Event::Responding { request, attempt });
        }
    }

    /// The backend of an answer that has begun has paused.
    pub fn paused(&mut self, now: Time, request: RequestId, attempt: u32) {
        if self.pending.get(&request).is_some_and(|p| p.open && !p.uploading) {
            self.handle(now, Event::Paused { request, attempt });
        }
    }

    /// The answers of a backend in a class hang, or have gone on. Returns the backend's address.
    pub fn stalled(&mut self, now: Time, stall: Stall) -> Option<std::net::SocketAddr> {
        let Stall { endpoint: number, class, is_stalled } = stall;
        let (backend, endpoint) = self.endpoints.iter().find(|(_, endpoint)| endpoint.number == number)?;
        let (backend, address) = (*backend, endpoint.address);
        self.handle(now, Event::Stalled { backend, class, is_stalled });
        Some(address)
    }

    /// An attempt has ended; called exactly once for each that [`Effects::attempt`] has started. The core itself calls it
    /// for attempts that were denied, with [`Outcome::NotSent`].
    pub fn ended(
        &mut self, now: Time, request: RequestId, attempt: u32, latency: Millis, outcome: Outcome,
        reply: Option<O::Reply>,
    ) {
        let Some(pending) = self.pending.get(&request) else { return };
        if pending.open && pending.upload.is_some() {
            let is_consumed = outcome != Outcome::Served && self.effects.is_body_consumed(&pending.context);
            if pending.uploading || is_consumed {
                self.end_upload(now, request, is_consumed);
            }
        }
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.in_flight -= 1;
        pending.attempts.end(attempt, outcome.may_have_run());
        let was_open = pending.open;
        if let (Outcome::Served, Some(reply)) = (outcome, reply) {
            self.answer(now, request, Answer::Served(reply), Cause::Backend);
        }
        let closed = !was_open || outcome == Outcome::Served;
        self.remove_if_done(request);
        self.handle(now, Event::Ended { request, attempt, latency, outcome, closed });
    }

    /// The settings have changed.
    pub fn change(&mut self, now: Time, change: Change) {
        self.handle(now, Event::Settings(Box::new(change)));
    }

    /// A message from another proxy has arrived.
    pub fn message(&mut self, now: Time, from: u32, bytes: Vec<u8>) {
        self.handle(now, Event::Message { from, bytes });
    }

    /// Discovery has confirmed that there is no change.
    pub fn discovery_alive(&mut self, now: Time) {
        self.starts.record_complete(now);
    }

    /// Answers a request that is still unanswered near its deadline: refused if the policy has requested no attempt, else
    /// failed.
    fn on_deadline(&mut self, now: Time, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let is_shutdown_near = self.shutdown_deadline.is_some_and(|at| at <= now + ANSWER_MARGIN);
        if !is_shutdown_near && pending.deadline > now + ANSWER_MARGIN {
            // The deadline has moved. It has a timer of its own, unless it is `NO_DEADLINE` for the time being.
            return;
        }
        let answer = if pending.attempts.count() == 0 { Answer::Refused(None) } else { Answer::Failed };
        if self.answer(now, id, answer, Cause::Deadline) {
            self.handle(now, Event::Abandoned(id));
        }
    }

    /// Marks an unanswered request as answered and answers it; no further attempts start for it.
    fn close(&mut self, id: RequestId, answer: impl FnOnce(&mut O, &mut O::Context)) -> bool {
        let Some(pending) = self.pending.get_mut(&id).filter(|p| p.open) else { return false };
        pending.open = false;
        pending.wanted.set(false);
        answer(&mut self.effects, &mut pending.context);
        self.remove_if_done(id);
        true
    }

    /// Answers a request unless it is already answered. A request that may have run and can't be repeated safely is never
    /// refused; it fails instead.
    fn answer(&mut self, now: Time, id: RequestId, answer: Answer<O::Reply>, cause: Cause) -> bool {
        let Some(pending) = self.pending.get(&id).filter(|p| p.open) else { return false };
        let refusal = match &answer {
            Answer::Refused(after) => pending.attempts.may_refuse(pending.effect, now, *after),
            Answer::Served(_) | Answer::Failed => Ok(()),
        };
        if now > pending.deadline.saturating_add(MAX_ANSWER_DELAY) {
            self.effects.late_answer(id);
        }
        let answer = match refusal {
            Ok(()) => answer,
            Err(_) => {
                self.effects.violation(Violation::RefusalAfterRun, id);
                Answer::Failed
            }
        };
        self.close(id, |effects, context| effects.answer(context, id, answer, cause))
    }

    /// Answers a request that may not be sent any more: refused if the attempt that has just been denied was its first,
    /// else failed.
    fn reject_unsendable(&mut self, now: Time, id: RequestId) {
        let is_first = self.pending.get(&id).is_some_and(|p| p.attempts.count() <= 1);
        let answer = if is_first { Answer::Refused(None) } else { Answer::Failed };
        if self.answer(now, id, answer, Cause::Denied) {
            self.handle(now, Event::Abandoned(id));
        }
    }

    /// Removes a request that is answered and has no attempts in flight.
    fn remove_if_done(&mut self, id: RequestId) {
        if self.pending.get(&id).is_some_and(|p| !p.open && p.in_flight == 0) {
            self.pending.remove(&id);
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        self.now = now;
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.handle(to_ms(now), event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        while let Some(id) = self.started_uploads.pop() {
            self.handle(now, Event::Uploading(id));
        }
        while let Some(id) = self.unsendable.pop() {
            self.reject_unsendable(now, id);
        }
        while let Some((request, attempt)) = self.not_started.pop_front() {
            self.ended(now, request, attempt, 0.0, Outcome::NotSent, None);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, backend, timeout, before } => {
                self.send(request, backend, timeout, before);
            }
            Action::GiveUpPaused { request, attempt } => {
                if let Some(pending) = self.pending.get(&request).filter(|p| p.open) {
                    self.effects.give_up_paused(&pending.context, request, attempt);
                }
            }
            Action::Refuse { request, retry_after } => {
                self.answer(self.now, request, Answer::Refused(retry_after), Cause::Policy);
            }
            Action::Fail(request) => {
                self.answer(self.now, request, Answer::Failed, Cause::Policy);
            }
            Action::Timer { token, at } => self.timers.push(Reverse((from_ms(at), TimerKind::Policy(token)))),
            Action::Broadcast(bytes) => self.effects.broadcast(bytes),
            Action::Subscribe => self.effects.subscribe(),
            Action::FetchList => self.effects.fetch_list(),
        }
    }

    /// Starts forwarding a long request. Its deadline counts from the client's last byte; until that is received, the only
    /// deadline is that of a shutdown, if there is one.
    fn begin_upload(&mut self, request: RequestId) {
        let shutdown_or_none = self.limit_to_shutdown(NO_DEADLINE);
        let Some(pending) = self.pending.get_mut(&request) else { return };
        if pending.received.is_some() {
            self.renew_deadline(self.now, request);
            return;
        }
        let last = pending.set_deadline(shutdown_or_none);
        if self.shutdown_deadline.is_some() {
            self.timers.push(Reverse((last, TimerKind::Deadline(request))));
        }
    }

    /// Checks whether an attempt of a request may start at a backend now.
    fn may_begin(
        &self, request: &PendingRequest<O::Context>, backend: BackendId,
    ) -> Result<Rc<Endpoint>, Denial> {
        let endpoint = self.endpoints.get(&backend).ok_or(Denial::EndpointClosed)?;
        let is_still_received = request.upload.is_some() && request.received.is_none();
        let deadline = if is_still_received { NO_DEADLINE } else { request.deadline };
        let facts = SendFacts {
            wanted: request.open,
            endpoint_open: endpoint.is_open(),
            lease_holds: self.effects.may_send(&request.context),
            time_left: deadline.saturating_sub(self.now),
            repeat_dropped: true,     // may_repeat checks this after may_send
            head_age: Duration::ZERO, // there is no head yet
        };
        facts.may_send()?;
        if request.in_flight >= request.max_concurrent_attempts {
            return Err(Denial::TooManyInFlight);
        }
        request.attempts.may_repeat(request.effect, self.now, endpoint.place())?;
        Ok(endpoint.clone())
    }

    fn send(
        &mut self, request: RequestId, backend: BackendId, timeout: Option<Millis>, before: Option<Millis>,
    ) {
        let Some(pending) = self.pending.get(&request) else {
            return self.effects.violation(Violation::SendOfUnknown, request);
        };
        let (permitted, number) = (self.may_begin(pending, backend), pending.attempts.count());
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.in_flight += 1;
        let endpoint = match permitted {
            Ok(endpoint) => endpoint,
            Err(denial) => {
                pending.attempts.skip(self.now);
                return self.deny(request, number, denial);
            }
        };
        pending.attempts.begin(self.now, endpoint.place());
        if pending.upload.is_some() {
            pending.uploading = true;
            self.started_uploads.push(request);
            self.begin_upload(request);
        }
        let Some(pending) = self.pending.get(&request) else { return };
        let until = timeout.map_or(pending.deadline, |t| pending.deadline.min(self.now + from_ms(t)));
        let (wanted, answer_by) = (pending.wanted.clone(), pending.answer_by.clone());
        let is_alone = pending.in_flight >= pending.max_concurrent_attempts;
        let write_before = before.map(from_ms);
        let attempt = Attempt { request, number, endpoint, wanted, until, answer_by, is_alone, write_before };
        self.effects.attempt(&pending.context, attempt);
    }

    /// Denies an attempt that the policy requested.
    fn deny(&mut self, request: RequestId, number: u32, denial: Denial) {
        self.effects.denied(request, number, denial);
        if let Some(violation) = Violation::of(denial) {
            self.effects.violation(violation, request);
        }
        if matches!(denial, Denial::LeaseLapsed | Denial::DeadlineOver) {
            self.unsendable.push(request); // any other attempt would be denied, too
        }
        self.not_started.push_back((request, number));
    }
}

fn to_ms(time: Time) -> Millis {
    time.as_secs_f64() * 1000.0
}

fn from_ms(at: Millis) -> Time {
    Duration::from_secs_f64(at.clamp(0.0, 1e12) / 1000.0)
}

#[cfg(test)]
mod tests;
