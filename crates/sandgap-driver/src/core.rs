//! The core: sole owner of the module, feeds it what was seen and has done what it says, in order.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use wharfhitch::settings::{Names, index_of, number_of};
use wharfhitch::{
    Action, Backend, BackendId, Balancer, CellId, Change, ClassId, Effect, Event, Key, KindId, Millis,
    Outcome, RequestId, Scope, State, TenantId, ZoneId,
};

use crate::closings::Closings;
use crate::endpoint::{DRAINING, Endpoint, Host, UP};
use crate::permit::{Attempts, Denial, LATEST_ANSWER, Place, SendFacts, Violation};
use crate::starts::Starts;

/// Time since this process began, on a clock that never runs backwards.
pub type Time = Duration;

/// What the client is told has to be on its way this long before the client gives up, whatever happens.
const LAST_RESORT: Duration = Duration::from_millis(4);
/// Deadline of a long request whose client has not sent its last byte yet: none, in effect. Whoever carries the request
/// looks after a client or a backend that stops in the middle.
const OPEN_ENDED: Duration = Duration::from_secs(1 << 32);
/// Zones and kinds that are told apart: a bound, whatever discovery comes up with over the years.
const NAMES: usize = 250;

/// Decides server, retry and refusal: the module, or in the laboratory a rival on the same model.
pub trait Policy {
    /// Takes in an event and appends what is to be done, in order; see [`Balancer::handle`].
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>);
}

impl Policy for Balancer {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }
}

/// Does what the core says. Calls come in the order in which things are to happen; none may call back.
pub trait Effects {
    /// What is kept with a request until its answer is given and its last attempt has ended.
    type Held;
    /// A backend's whole answer.
    type Reply;

    /// Begins an attempt. Its end must be told exactly once with [`Core::ended`], whatever happens.
    fn attempt(&mut self, held: &Self::Held, attempt: Attempt);
    /// Gives a request its one final answer.
    fn answer(
        &mut self, held: &mut Self::Held, request: RequestId, answer: Answer<Self::Reply>, cause: Cause,
    );
    /// Whether an attempt may begin now; asked at each. A request for which it may not is given up at once.
    fn may_send(&self, _held: &Self::Held) -> bool {
        true
    }
    /// Whether a request can't be sent again, as a part of it has gone out and is kept nowhere.
    fn is_spent(&self, _held: &Self::Held) -> bool {
        false
    }
    /// Nothing new goes to an endpoint any more: what is kept for it may go.
    fn retire(&mut self, endpoint: &Endpoint);
    /// Sends bytes to every other proxy.
    fn broadcast(&mut self, bytes: Vec<u8>);
    /// Asks for a watch of the list.
    fn subscribe(&mut self);
    /// Asks for the list once.
    fn fetch_list(&mut self);
    /// A list of this scope is in force; `some` if it names any backend.
    fn listed(&mut self, scope: Scope, some: bool);
    /// The module wanted what may not be, and it was not done.
    fn violation(&mut self, violation: Violation, request: RequestId);
    /// An answer comes more than [`LATEST_ANSWER`] after its client's time: this process or its machine stood still, or
    /// something held the answer up.
    fn late_answer(&mut self, _request: RequestId) {}
    /// An attempt that the module wanted was not begun.
    fn denied(&mut self, _request: RequestId, _attempt: u32, _denial: Denial) {}
}

/// The one final answer.
#[derive(Debug)]
pub enum Answer<R> {
    /// A backend's answer.
    Served(R),
    /// Trying again is harmless, after a while if one is named.
    Refused(Option<Millis>),
    /// No word on what was done.
    Failed,
}

/// Why a request has got its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A backend gave it.
    Backend,
    /// The module decided so.
    Policy,
    /// Its client's time, or the process's, was over.
    Deadline,
    /// No attempt may begin for it any more.
    Denied,
}

impl Cause {
    /// A word for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Backend => "backend",
            Cause::Policy => "policy",
            Cause::Deadline => "deadline",
            Cause::Denied => "denied",
        }
    }
}

/// A request as it comes in.
pub struct Arrival<H> {
    /// Its number, never used twice.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Whether it may run again.
    pub effect: Effect,
    /// Its tenant, where requests have one.
    pub tenant: Option<TenantId>,
    /// What it concerns.
    pub key: Option<Key>,
    /// Its expected work.
    pub hint: Option<Millis>,
    /// When the client gives up.
    pub deadline: Time,
    /// Of one that may go out while it still comes in: how long the client waits from its last byte, see
    /// [`Core::received`].
    pub upload: Option<Time>,
    /// What is kept with it.
    pub held: H,
}

/// One attempt: of what, where to and until when.
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Counted from 0.
    pub number: u32,
    /// Where it goes; nothing may be written once it is no longer open.
    pub endpoint: Rc<Endpoint>,
    /// Cleared once the request has its answer; nothing may be written from then on.
    pub wanted: Rc<Cell<bool>>,
    /// When it is given up.
    pub until: Time,
    /// When the client's answer has to be on its way whole, unless it is a long one. It moves when a long request has
    /// gone out and when the process ends.
    pub answer_by: Rc<Cell<Time>>,
    /// Nothing of it may be written from then on, if it may be a repeat.
    pub before: Option<Time>,
}

/// A request that lacks its answer or has attempts out.
struct PendingRequest<H> {
    /// Whether it lacks its answer.
    open: bool,
    /// The same, for attempts on their way.
    wanted: Rc<Cell<bool>>,
    held: H,
    effect: Effect,
    deadline: Time,
    /// The deadline less [`LAST_RESORT`], for attempts on their way.
    answer_by: Rc<Cell<Time>>,
    /// See [`Arrival::upload`].
    upload: Option<Time>,
    /// When the last byte of a long one came from its client, if it has.
    received: Option<Time>,
    /// A long one is on its way to a backend.
    uploading: bool,
    attempts: Attempts,
    out: u32,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    LastResort(RequestId),
    Reopening(BackendId),
}

impl<H> PendingRequest<H> {
    /// Sets when its client gives up, and returns when the last resort answers.
    fn set_deadline(&mut self, deadline: Time) -> Time {
        let last = deadline.saturating_sub(LAST_RESORT);
        self.deadline = deadline;
        self.answer_by.set(last);
        last
    }
}

/// Runs a module on what comes in. Its maps are bounded by the requests that whoever feeds it lets in.
pub struct Core<D, O: Effects> {
    decider: D,
    /// Does what is to be done.
    pub effects: O,
    names: Names,
    starts: Starts,
    closings: Closings,
    endpoints: FxHashMap<BackendId, Rc<Endpoint>>,
    /// Endpoints numbered so far.
    numbered: u64,
    pending: FxHashMap<RequestId, PendingRequest<O::Held>>,
    due: BinaryHeap<Reverse<(Time, Due)>>,
    actions: Vec<Action>,
    /// The time of the input in hand.
    now: Time,
    /// Attempts that were never begun, to be told after the actions in hand.
    moot: VecDeque<(RequestId, u32)>,
    /// Uploads that have begun, to be told after the actions in hand.
    begun: Vec<RequestId>,
    /// Requests that may not be sent any more, to be given up after the actions in hand.
    unsent: Vec<RequestId>,
    /// When the last answer has to be out, once this process has been told to end.
    end: Option<Time>,
}

impl<D: Policy, O: Effects> Core<D, O> {
    /// A core with nothing in it yet; `unix_zero` is the Unix time in ms at which [`Time`] is zero.
    pub fn new(decider: D, effects: O, names: Names, unix_zero: Millis) -> Self {
        Core {
            decider,
            effects,
            names,
            starts: Starts::new(unix_zero),
            closings: Closings::default(),
            endpoints: FxHashMap::default(),
            numbered: 0,
            pending: FxHashMap::default(),
            due: BinaryHeap::new(),
            actions: Vec::new(),
            now: Time::ZERO,
            moot: VecDeque::new(),
            begun: Vec::new(),
            unsent: Vec::new(),
            end: None,
        }
    }

    /// Requests that lack their answer or have attempts out.
    pub fn held(&self) -> usize {
        self.pending.len()
    }

    /// What is kept with a request, if it is held.
    pub fn context(&self, request: RequestId) -> Option<&O::Held> {
        self.pending.get(&request).map(|live| &live.held)
    }

    /// Who decides.
    pub fn decider(&self) -> &D {
        &self.decider
    }

    /// Where a backend's process listens, if it is on the list.
    pub fn address(&self, backend: BackendId) -> Option<std::net::SocketAddr> {
        self.endpoints.get(&backend).map(|e| e.address)
    }

    /// Attempts at a backend that have not come to their end.
    pub fn held_at(&self, backend: BackendId) -> u32 {
        self.endpoints.get(&backend).map_or(0, |e| e.held())
    }

    /// Attempts at a backend that were served or failed, and those that failed.
    pub fn ended_at(&self, backend: BackendId) -> (u64, u64) {
        self.endpoints.get(&backend).map_or((0, 0), |e| e.ended())
    }

    /// The same at all that are on the list.
    pub fn ended_at_all(&self) -> (u64, u64) {
        let both = |(a, f): (u64, u64), (all, failed): (u64, u64)| (a + all, f + failed);
        self.endpoints.values().map(|e| e.ended()).fold((0, 0), both)
    }

    /// Attempts at all that are on the list that have not come to their end.
    pub fn held_at_all(&self) -> u32 {
        self.endpoints.values().map(|e| e.held()).sum()
    }

    /// When something is due next. Last resorts of requests that have their answer by now are dropped here:
    /// nearly all do, and each would wake the process for nothing.
    pub fn next_due(&mut self) -> Option<Time> {
        loop {
            let Reverse((at, due)) = self.due.peek()?;
            match due {
                Due::LastResort(id) if self.pending.get(id).is_none_or(|l| !l.open) => {
                    self.due.pop();
                }
                _ => return Some(*at),
            }
        }
    }

    /// Does what is due by now.
    pub fn fire(&mut self, now: Time) {
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, due))) = self.due.pop() else { break };
            match due {
                Due::Module(token) => self.handle(now, Event::Timer(token)),
                Due::LastResort(id) => self.on_deadline(now, id),
                Due::Reopening(id) => self.reopen(now, id),
            }
        }
    }

    /// A whole request has come in.
    pub fn request(&mut self, now: Time, arrival: Arrival<O::Held>) {
        let Arrival { id, class, effect, tenant, key, hint, deadline, upload, held } = arrival;
        let deadline = self.within_end(deadline);
        let last = deadline.saturating_sub(LAST_RESORT);
        let budget = ms(last.saturating_sub(now));
        let wanted = Rc::new(Cell::new(true));
        let answer_by = Rc::new(Cell::new(last));
        let (received, uploading, attempts, out) = (None, false, Attempts::default(), 0);
        let live = PendingRequest {
            open: true,
            wanted,
            held,
            effect,
            deadline,
            answer_by,
            upload,
            received,
            uploading,
            attempts,
            out,
        };
        self.pending.insert(id, live);
        self.due.push(Reverse((last, Due::LastResort(id))));
        self.handle(now, Event::Request { id, class, tenant, key, budget, hint });
    }

    /// This process ends: whatever it has taken has its answer by then, however long its client would wait.
    pub fn end_by(&mut self, end: Time) {
        let end = self.within_end(end);
        self.end = Some(end);
        let last = end.saturating_sub(LAST_RESORT);
        // Those with an answer that has begun keep an attempt, and a short one of these has to end in time, too.
        for (id, live) in self.pending.iter_mut().filter(|(_, l)| l.deadline > end) {
            live.set_deadline(live.deadline.min(end));
            if live.open {
                self.due.push(Reverse((last, Due::LastResort(*id))));
            }
        }
    }

    /// A deadline, or the end of this process if that comes before.
    fn within_end(&self, deadline: Time) -> Time {
        self.end.map_or(deadline, |end| deadline.min(end))
    }

    /// A request's client has left.
    pub fn client_disconnected(&mut self, now: Time, id: RequestId) {
        if self.close(id, |_, _| {}) {
            self.handle(now, Event::Abandoned(id));
        }
    }

    /// The last byte of a long request came from its client at `at`: its client's time runs from there, wherever the
    /// request stands.
    pub fn received(&mut self, id: RequestId, at: Time) {
        let Some(live) = self.pending.get_mut(&id) else { return };
        live.received = Some(at);
        if live.open && live.uploading {
            self.renew_deadline(at, id);
        }
    }

    /// Sets a long request's deadline by what is known of its last byte, and returns when the last resort answers.
    fn renew_deadline(&mut self, now: Time, id: RequestId) -> Option<Time> {
        let live = self.pending.get(&id)?;
        let deadline = self.within_end(live.received.unwrap_or(now) + live.upload?);
        let last = self.pending.get_mut(&id)?.set_deadline(deadline);
        self.due.push(Reverse((last, Due::LastResort(id))));
        Some(last)
    }

    /// A request has gone out whole.
    pub fn uploaded(&mut self, now: Time, id: RequestId) {
        if self.pending.get(&id).is_some_and(|l| l.uploading) {
            self.end_upload(now, id, false);
        }
    }

    /// No more of a request goes out; `spent` where it can't go out again.
    fn end_upload(&mut self, now: Time, id: RequestId, spent: bool) {
        let Some(last) = self.renew_deadline(now, id) else { return };
        if let Some(live) = self.pending.get_mut(&id) {
            live.uploading = false;
        }
        let budget = if spent { 0.0 } else { ms(last.saturating_sub(now)) };
        self.handle(now, Event::Uploaded { request: id, budget });
    }

    /// A long answer has begun, and goes on as it comes. Its end is told with [`Core::ended`].
    pub fn started(&mut self, now: Time, request: RequestId, attempt: u32, reply: O::Reply) {
        if self.pending.get(&request).is_some_and(|l| l.uploading) {
            self.end_upload(now, request, false); // answered before it had gone out whole
        }
        if self.answer(now, request, Answer::Served(reply), Cause::Backend) {
            self.handle(now, Event::Started { request, attempt });
        }
    }

    /// An attempt has ended: one that [`Effects::attempt`] began, once.
    pub fn ended(
        &mut self, now: Time, request: RequestId, attempt: u32, latency: Millis, outcome: Outcome,
        reply: Option<O::Reply>,
    ) {
        let Some(live) = self.pending.get(&request) else { return };
        if live.open && live.upload.is_some() {
            let spent = outcome != Outcome::Served && self.effects.is_spent(&live.held);
            if live.uploading || spent {
                self.end_upload(now, request, spent);
            }
        }
        let Some(live) = self.pending.get_mut(&request) else { return };
        live.out -= 1;
        live.attempts.end(attempt, outcome.may_have_run());
        let was_open = live.open;
        if let (Outcome::Served, Some(reply)) = (outcome, reply) {
            self.answer(now, request, Answer::Served(reply), Cause::Backend);
        }
        let closed = !was_open || outcome == Outcome::Served;
        self.forget(request);
        self.handle(now, Event::Ended { request, attempt, latency, outcome, closed });
    }

    /// The settings have changed.
    pub fn change(&mut self, now: Time, change: Change) {
        self.handle(now, Event::Settings(Box::new(change)));
    }

    /// Another proxy's message.
    pub fn message(&mut self, now: Time, from: u32, bytes: Vec<u8>) {
        self.handle(now, Event::Message { from, bytes });
    }

    /// Discovery has shown that it has nothing new to tell.
    pub fn discovery_alive(&mut self, now: Time) {
        self.starts.told_all(now);
    }

    /// News of the list, newer than all before.
    pub fn list(&mut self, now: Time, scope: Scope, hosts: Vec<Host>) {
        for host in &hosts {
            let id = BackendId(number_of(&host.host));
            match host.state() {
                State::Up => self.closings.opened(id),
                State::Draining | State::Gone => self.note_closing(now, id, host.born_ms),
            }
        }
        self.take_list(now, scope, hosts);
    }

    /// News of the list that may be older than what is known: backends that it closes are closed at once, those that were
    /// closed of late are opened by it only once nobody can be behind any more, see [`crate::REOPEN_AFTER`].
    pub fn uncertain_list(&mut self, now: Time, scope: Scope, hosts: Vec<Host>) {
        let hosts = hosts.into_iter().map(|host| self.hold_back(now, host)).collect();
        self.take_list(now, scope, hosts);
    }

    /// A backend drains or is gone, by a line that may leave out when it started.
    fn note_closing(&mut self, now: Time, id: BackendId, born_ms: f64) {
        let known = self.endpoints.get(&id).map_or(0.0, |endpoint| endpoint.born_ms);
        self.closings.closed(now, id, born_ms.max(known));
    }

    /// A line of an uncertain list as far as it counts now.
    fn hold_back(&mut self, now: Time, mut host: Host) -> Host {
        let id = BackendId(number_of(&host.host));
        if host.state() != State::Up {
            self.note_closing(now, id, host.born_ms);
            return host;
        }
        // Of a process before the one that is known.
        if let Some(known) = self.endpoints.get(&id).filter(|known| known.born_ms > host.born_ms) {
            (host.dial, host.born_ms) = (Some(known.address), known.born_ms);
            host.health = if known.is_open() { UP } else { DRAINING }.into();
            return host;
        }
        if let Some(counts_at) = self.closings.hold_back(now, id, &host) {
            self.due.push(Reverse((counts_at, Due::Reopening(id))));
            host.health = DRAINING.into();
        }
        host
    }

    /// What an uncertain list said of a backend that was closed then counts now, unless there is other news of it.
    fn reopen(&mut self, now: Time, id: BackendId) {
        if let Some(host) = self.closings.due(now, id) {
            self.take_list(now, Scope::Delta, vec![host]);
        }
    }

    fn take_list(&mut self, now: Time, scope: Scope, hosts: Vec<Host>) {
        let whole = matches!(scope, Scope::Full | Scope::Cached);
        let entries: Vec<Backend> = hosts.into_iter().map(|host| self.backend(now, host)).collect();
        if whole {
            let listed: FxHashSet<BackendId> = entries.iter().map(|e| e.id).collect();
            let (effects, closings) = (&mut self.effects, &mut self.closings);
            // Attempts that are out keep what they need of a backend that has left.
            self.endpoints.retain(|id, endpoint| {
                let stays = listed.contains(id);
                if !stays {
                    shut(endpoint, effects);
                    closings.closed(now, *id, endpoint.born_ms);
                }
                stays
            });
        }
        self.closings.forget_old(now);
        if matches!(scope, Scope::Full | Scope::Delta) {
            self.starts.told_all(now);
        }
        if whole {
            self.starts.forget(|id| self.endpoints.contains_key(id));
        }
        let some = !entries.is_empty();
        self.handle(now, Event::List { scope, entries });
        self.effects.listed(scope, some);
    }

    /// Answers a request that nobody else has answered in time. It has failed if it may have run.
    fn on_deadline(&mut self, now: Time, id: RequestId) {
        let Some(live) = self.pending.get(&id) else { return };
        let ends = self.end.is_some_and(|end| end <= now + LAST_RESORT);
        if !ends && live.deadline > now + LAST_RESORT {
            return; // it has moved since, and another is set
        }
        let answer = if live.attempts.count() == 0 { Answer::Refused(None) } else { Answer::Failed };
        if self.answer(now, id, answer, Cause::Deadline) {
            self.handle(now, Event::Abandoned(id));
        }
    }

    /// Uses the right to answer a request, if it is still there; from here on nothing more begins for it.
    fn close(&mut self, id: RequestId, answer: impl FnOnce(&mut O, &mut O::Held)) -> bool {
        let Some(live) = self.pending.get_mut(&id).filter(|l| l.open) else { return false };
        live.open = false;
        live.wanted.set(false);
        answer(&mut self.effects, &mut live.held);
        self.forget(id);
        true
    }

    /// Gives a request its one answer, unless it has it. What may have run is never refused, whoever wants that.
    fn answer(&mut self, now: Time, id: RequestId, answer: Answer<O::Reply>, cause: Cause) -> bool {
        let Some(live) = self.pending.get(&id).filter(|l| l.open) else { return false };
        let refusal = match &answer {
            Answer::Refused(after) => live.attempts.may_refuse(live.effect, now, *after),
            Answer::Served(_) | Answer::Failed => Ok(()),
        };
        if now > live.deadline.saturating_add(LATEST_ANSWER) {
            self.effects.late_answer(id);
        }
        let answer = match refusal {
            Ok(()) => answer,
            Err(_) => {
                self.effects.violation(Violation::RefusalAfterRun, id);
                Answer::Failed
            }
        };
        self.close(id, |effects, held| effects.answer(held, id, answer, cause))
    }

    /// Answers a request that may not be sent any more: refused, if nothing was ever sent.
    fn reject_unsent(&mut self, now: Time, id: RequestId) {
        let first = self.pending.get(&id).is_some_and(|l| l.attempts.count() <= 1);
        let answer = if first { Answer::Refused(None) } else { Answer::Failed };
        if self.answer(now, id, answer, Cause::Denied) {
            self.handle(now, Event::Abandoned(id));
        }
    }

    fn forget(&mut self, id: RequestId) {
        if self.pending.get(&id).is_some_and(|l| !l.open && l.out == 0) {
            self.pending.remove(&id);
        }
    }

    /// Notes where a backend is, and whether something new may go there.
    fn backend(&mut self, now: Time, host: Host) -> Backend {
        let id = BackendId(number_of(&host.host));
        let state = host.state();
        let zone = host.site.and_then(|z| Some(ZoneId(known(&mut self.names.zones, &z)?)));
        let cell = host.block.map(CellId);
        if let Some(address) = host.dial {
            let same = |e: &Rc<Endpoint>| e.address == address && e.born_ms == host.born_ms;
            if !self.endpoints.get(&id).is_some_and(same) {
                self.numbered += 1;
                let old = self.endpoints.get(&id).map(|e| &**e);
                let endpoint = Endpoint::after(old, self.numbered, address, host.born_ms);
                if let Some(old) = self.endpoints.insert(id, endpoint) {
                    shut(&old, &mut self.effects);
                }
            }
        }
        if let Some(endpoint) = self.endpoints.get(&id) {
            endpoint.set_place(Place { zone, cell });
            match state {
                State::Up => endpoint.set_open(true),
                State::Draining | State::Gone => shut(endpoint, &mut self.effects),
            }
        }
        if state == State::Gone {
            self.endpoints.remove(&id);
        }
        Backend {
            id,
            zone,
            kind: host.class.and_then(|k| Some(KindId(known(&mut self.names.kinds, &k)?))),
            cell,
            state,
            rating: host.share.unwrap_or(1.0),
            since: self.starts.since(now, id, host.born_ms),
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        self.now = now;
        let mut actions = std::mem::take(&mut self.actions);
        self.decider.handle(ms(now), event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        while let Some(id) = self.begun.pop() {
            self.handle(now, Event::Uploading(id));
        }
        while let Some(id) = self.unsent.pop() {
            self.reject_unsent(now, id);
        }
        while let Some((request, attempt)) = self.moot.pop_front() {
            self.ended(now, request, attempt, 0.0, Outcome::NotSent, None);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, backend, timeout, before } => {
                self.send(request, backend, timeout, before);
            }
            Action::Refuse { request, retry_after } => {
                self.answer(self.now, request, Answer::Refused(retry_after), Cause::Policy);
            }
            Action::Fail(request) => {
                self.answer(self.now, request, Answer::Failed, Cause::Policy);
            }
            Action::Timer { token, at } => self.due.push(Reverse((time(at), Due::Module(token)))),
            Action::Broadcast(bytes) => self.effects.broadcast(bytes),
            Action::Subscribe => self.effects.subscribe(),
            Action::FetchList => self.effects.fetch_list(),
        }
    }

    /// A long request begins to go out. Its client's time runs only from its last byte: until that has come, no deadline
    /// counts but the end of this process.
    fn begin_upload(&mut self, request: RequestId) {
        let open_ended = self.within_end(OPEN_ENDED);
        let Some(live) = self.pending.get_mut(&request) else { return };
        if live.received.is_some() {
            self.renew_deadline(self.now, request);
            return;
        }
        let last = live.set_deadline(open_ended);
        if self.end.is_some() {
            self.due.push(Reverse((last, Due::LastResort(request))));
        }
    }

    /// Whether an attempt of a request may begin at a backend now.
    fn may_begin(
        &self, request: &PendingRequest<O::Held>, backend: BackendId,
    ) -> Result<Rc<Endpoint>, Denial> {
        let endpoint = self.endpoints.get(&backend).ok_or(Denial::EndpointClosed)?;
        let open_ended = request.upload.is_some() && request.received.is_none();
        let deadline = if open_ended { OPEN_ENDED } else { request.deadline };
        let facts = SendFacts {
            wanted: request.open,
            endpoint_open: endpoint.is_open(),
            lease_holds: self.effects.may_send(&request.held),
            time_left: deadline.saturating_sub(self.now),
            repeat_dropped: true,     // asked next
            head_age: Duration::ZERO, // it is made later
        };
        facts.may_send()?;
        request.attempts.may_repeat(request.effect, self.now, endpoint.place())?;
        Ok(endpoint.clone())
    }

    fn send(
        &mut self, request: RequestId, backend: BackendId, timeout: Option<Millis>, before: Option<Millis>,
    ) {
        let Some(live) = self.pending.get(&request) else {
            return self.effects.violation(Violation::SendOfUnknown, request);
        };
        let (permitted, number) = (self.may_begin(live, backend), live.attempts.count());
        let Some(live) = self.pending.get_mut(&request) else { return };
        live.out += 1;
        let endpoint = match permitted {
            Ok(endpoint) => endpoint,
            Err(denial) => {
                live.attempts.skip(self.now);
                return self.deny(request, number, denial);
            }
        };
        live.attempts.begin(self.now, endpoint.place());
        if live.upload.is_some() {
            live.uploading = true;
            self.begun.push(request);
            self.begin_upload(request);
        }
        let Some(live) = self.pending.get(&request) else { return };
        let until = timeout.map_or(live.deadline, |t| live.deadline.min(self.now + time(t)));
        let (wanted, answer_by) = (live.wanted.clone(), live.answer_by.clone());
        let before = before.map(time);
        let attempt = Attempt { request, number, endpoint, wanted, until, answer_by, before };
        self.effects.attempt(&live.held, attempt);
    }

    /// An attempt that the module wanted does not begin.
    fn deny(&mut self, request: RequestId, number: u32, denial: Denial) {
        self.effects.denied(request, number, denial);
        if let Some(violation) = Violation::of(denial) {
            self.effects.violation(violation, request);
        }
        if matches!(denial, Denial::LeaseLapsed | Denial::DeadlineOver) {
            self.unsent.push(request); // no other attempt would fare better
        }
        self.moot.push_back((request, number));
    }
}

fn ms(time: Time) -> Millis {
    time.as_secs_f64() * 1000.0
}

fn time(at: Millis) -> Time {
    Duration::from_secs_f64(at.clamp(0.0, 1e12) / 1000.0)
}

/// Nothing new goes there any more, and nothing is kept for it.
fn shut<O: Effects>(endpoint: &Endpoint, effects: &mut O) {
    endpoint.set_open(false);
    effects.retire(endpoint);
}

/// The number of a zone or kind; past `NAMES` of them, what is new has none.
fn known(names: &mut Vec<String>, name: &str) -> Option<u32> {
    (names.len() < NAMES || names.iter().any(|n| n == name)).then(|| index_of(names, name) as u32)
}

#[cfg(test)]
mod tests;
