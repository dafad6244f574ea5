//! The takeover state of one proxy: its own requests, those that it keeps for others, and those that it inherits.
//!
//! The caller passes in the changes of the process's life (see [`sandgap_agree::enrolment`]) and the envelopes of other
//! proxies. With each envelope it states whether the process has the right to act; without it the envelope is ignored.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use sandgap_agree::enrolment::{EnrolmentEvent, MemberList};
use sandgap_agree::lives::{Epoch, ProcessId, Succession};
use sandgap_fleet::{Drift, Time};

use crate::keeper::{self, Keeper};
use crate::limits::RESEND_INTERVAL;
use crate::messages::{Bytes, Envelope, KeepReply, Message};
use crate::owner::{self, Order, Owner, StopReason};
use crate::record::{End, Plan, Record, Sent};
use crate::successor::Successor;

/// Settings of takeover.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Bound on clock drift.
    pub drift: Drift,
    /// Proxies other than the owner that keep each request.
    pub keepers: usize,
    /// Timeout for the keepers to confirm a step.
    pub keeper_timeout: Duration,
    /// How long an ended request is remembered.
    pub retention: Duration,
    /// Limit on concurrently resumed inherited requests.
    pub max_concurrent_resumes: usize,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this envelope to the proxy with this name.
    Send(String, Envelope),
    /// All keepers have stored the request's steps up to this one: the actions that they precede may be taken while the
    /// process has the right to act.
    StepConfirmed(u64, u32),
    /// The request can't continue.
    Stopped(u64, StopReason),
    /// An inherited request may continue according to its plan.
    Resume(Box<ResumedRequest>),
    /// All requests inherited under this epoch have ended.
    Settled(Epoch),
    /// This process may no longer act for its in-flight requests: each of these ends here.
    LifeEnded(Vec<u64>),
    /// A log message.
    Log(String),
}

/// An inherited request that may continue.
#[derive(Clone, Debug, PartialEq)]
pub struct ResumedRequest {
    /// Its sequence number in this process.
    pub seq: u64,
    /// Its record.
    pub record: Record,
    /// The bytes of the request.
    pub request: Bytes,
    /// The client's deadline.
    pub deadline: Time,
    /// How it may continue: [`Plan::Send`] or [`Plan::Repeat`].
    pub plan: Plan,
}

/// Outcome counts of the requests inherited under one succession.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcomes {
    sent: u64,
    repeated: u64,
    unknown: u64,
    refused: u64,
    handled_elsewhere: u64,
}

/// An inherited request that has not ended.
struct Inherited {
    epoch: Epoch,
    request: Bytes,
    plan: Plan,
    /// When it is retried, if no keeper was available.
    retry_at: Option<Time>,
    /// The step after which it may continue, or after which it has ended.
    step: u32,
    resumed: bool,
    over: bool,
}

/// The state of one life of the process.
struct LifeState {
    life: ProcessId,
    owner: Owner,
    keeper: Keeper,
}

/// The takeover state of one proxy; see the module.
pub struct Takeover {
    settings: Settings,
    current: Option<LifeState>,
    member_list: (u64, MemberList),
    recently_ended: MemberList,
    successors: BTreeMap<Epoch, (Successor, Outcomes)>,
    inherited: BTreeMap<u64, Inherited>,
    outputs: VecDeque<Output>,
    /// Envelopes to this process itself.
    loopback: VecDeque<Envelope>,
    /// Time of the next expiry check.
    expiry_check_at: Time,
}

/// Interval between two checks for expired records.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Takeover {
    /// Creates the state of a process that has no life yet.
    pub fn new(settings: Settings) -> Self {
        let (current, member_list, recently_ended, successors, inherited, outputs, loopback) =
            Default::default();
        Takeover {
            settings,
            current,
            member_list,
            recently_ended,
            successors,
            inherited,
            outputs,
            loopback,
            expiry_check_at: Time::ZERO,
        }
    }

    /// The next action.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// What is kept for others: number of requests, number of unfinished ones, total bytes.
    pub fn kept(&self) -> (usize, usize, usize) {
        self.current.as_ref().map_or((0, 0, 0), |current| current.keeper.load())
    }

    /// Number of own requests in flight, including inherited ones.
    pub fn held(&self) -> usize {
        self.current.as_ref().map_or(0, |current| current.owner.held())
    }

    /// The record of a request in flight.
    pub fn record(&self, seq: u64) -> Option<&Record> {
        self.current.as_ref()?.owner.record(seq)
    }

    /// Handles a change of this process's life or of the enrolled processes.
    pub fn handle_enrolment(&mut self, now: Time, event: EnrolmentEvent) {
        match event {
            EnrolmentEvent::Enrolled(life) => {
                let Settings { drift, keepers, keeper_timeout, retention, .. } = self.settings;
                let owner = Owner::new(life, owner::Settings { keepers, keeper_timeout });
                let keeper = Keeper::new(life, keeper::Settings { drift, keepers, retention });
                self.current = Some(LifeState { life, owner, keeper });
                self.enrolled(now);
            }
            EnrolmentEvent::Ended(_) => {
                let Some(current) = self.current.take() else { return };
                self.successors.clear();
                self.inherited.clear();
                self.loopback.clear();
                self.outputs.push_back(Output::LifeEnded(current.owner.all().collect()));
            }
            EnrolmentEvent::BecameSuccessor(succession) => self.start_successor(now, succession),
            EnrolmentEvent::Members(number, member_list, recently_ended) => {
                (self.member_list, self.recently_ended) = ((number, member_list), recently_ended);
                self.enrolled(now);
            }
        }
        self.deliver_loopback(now);
    }

    fn enrolled(&mut self, now: Time) {
        let (number, member_list) = self.member_list.clone();
        let Some(current) = self.current.as_mut().filter(|current| member_list.contains_key(&current.life))
        else {
            return;
        };
        let mut orders = Vec::new();
        current.keeper.set_member_list(now, member_list.clone(), &self.recently_ended);
        current.owner.set_member_list(now, member_list.clone(), &mut orders);
        let mut messages = Vec::new();
        for (successor, _) in self.successors.values_mut() {
            successor.set_member_list(now, number, &member_list, &mut messages);
        }
        self.carry_out(now, orders);
        self.send_all(messages);
    }

    fn start_successor(&mut self, now: Time, succession: Succession) {
        // Every possible keeper was enrolled when the succession was made, or is in a later list.
        let least = self.member_list.0;
        let mut successor = Successor::new(
            succession.clone(),
            least,
            self.settings.drift,
            self.settings.max_concurrent_resumes,
        );
        let mut messages = Vec::new();
        successor.set_member_list(now, self.member_list.0, &self.member_list.1.clone(), &mut messages);
        self.successors.insert(succession.epoch, (successor, Outcomes::default()));
        self.send_all(messages);
    }

    /// Runs an operation of the owner and carries out its orders. `None` while this process has no life.
    fn with_owner<R>(&mut self, now: Time, act: impl FnOnce(&mut Owner, &mut Vec<Order>) -> R) -> Option<R> {
        let (current, mut orders) = (self.current.as_mut()?, Vec::new());
        let result = act(&mut current.owner, &mut orders);
        self.carry_out(now, orders);
        self.deliver_loopback(now);
        Some(result)
    }

    /// Accepts a request. `None` while this process has no life.
    pub fn accept(&mut self, now: Time, record: Record, left: Duration, request: Bytes) -> Option<u64> {
        self.with_owner(now, |owner, orders| owner.accept(now, 0, record, left, request, orders))
    }

    /// Records an attempt, which may be sent once [`Output::StepConfirmed`] names the returned step.
    pub fn sending(&mut self, now: Time, seq: u64, sent: Sent) -> Option<u32> {
        self.with_owner(now, |owner, orders| owner.sending(now, seq, sent, orders))?
    }

    /// Removes an attempt that was not sent, or was rejected without being processed.
    pub fn unsent(&mut self, now: Time, seq: u64, attempt: u32) {
        self.with_owner(now, |owner, orders| owner.unsent(now, seq, attempt, orders));
    }

    /// Records the end, which the client may be told once [`Output::StepConfirmed`] names the returned step.
    pub fn ended(&mut self, now: Time, seq: u64, end: End) -> Option<u32> {
        let step = self.current.as_ref()?.owner.record(seq)?.step + 1;
        if let Some(inherited) = self.inherited.get_mut(&seq) {
            (inherited.step, inherited.over) = (step, true);
        }
        self.with_owner(now, |owner, orders| owner.ended(now, seq, end, orders))?
    }

    /// Retries a step that no keeper confirmed within the timeout.
    pub fn retry(&mut self, now: Time, seq: u64) {
        self.with_owner(now, |owner, orders| owner.retry(now, seq, orders));
    }

    /// Forgets a request whose client has its answer, or that was refused before any attempt was sent.
    pub fn release(&mut self, seq: u64) {
        if let Some(current) = &mut self.current {
            current.owner.release(seq);
        }
    }

    /// Handles an envelope of another proxy. Without the right to act it is ignored.
    pub fn handle_envelope(&mut self, now: Time, envelope: Envelope, may_act: bool) {
        let for_this_life = self.current.as_ref().is_some_and(|current| current.life == envelope.to);
        if for_this_life && may_act {
            self.process_envelope(now, envelope);
            self.deliver_loopback(now);
        }
    }

    fn deliver_loopback(&mut self, now: Time) {
        while let Some(envelope) = self.loopback.pop_front() {
            self.process_envelope(now, envelope);
        }
    }

    fn process_envelope(&mut self, now: Time, envelope: Envelope) {
        let Some(current) = self.current.as_mut().filter(|current| current.keeper.is_ready()) else { return };
        let (from, mut orders) = (envelope.from, Vec::new());
        match envelope.message {
            Message::Keep(keep) => {
                let (seq, step) = (keep.seq, keep.record.step);
                let (verdict, ask_also) = current.keeper.keep(now, *keep);
                self.send(from, Message::KeepReply(KeepReply { seq, step, verdict, ask_also }));
            }
            Message::Find(number, identity, content) => {
                let (verdict, ask_also) = current.keeper.find(now, identity, content);
                self.send(from, Message::FindReply(number, verdict, ask_also));
            }
            Message::QueryOrphans(number, succession, after) => {
                let (all, more) = current.keeper.orphans_page(now, &succession, after);
                self.send(from, Message::Orphans(number, succession.epoch, all, more));
            }
            Message::KeepReply(reply) => current.owner.handle_keep_reply(now, from, reply, &mut orders),
            Message::FindReply(seq, verdict, ask_also) => {
                current.owner.handle_find_reply(now, from, seq, verdict, &ask_also, &mut orders)
            }
            Message::Orphans(number, epoch, all, more) => {
                let mut messages = Vec::new();
                if let Some((successor, _)) = self.successors.get_mut(&epoch) {
                    successor.add_page(now, from, number, all, more, &mut messages);
                }
                self.send_all(messages);
            }
        }
        self.carry_out(now, orders);
        self.resume_inherited(now);
    }

    fn send(&mut self, to: ProcessId, message: Message) {
        let Some(from) = self.current.as_ref().map(|current| current.life) else { return };
        let envelope = Envelope { from, to, message };
        if from == to {
            self.loopback.push_back(envelope);
        } else if let Some(who) = self.member_list.1.get(&to) {
            self.outputs.push_back(Output::Send(who.name.clone(), envelope));
        }
    }

    fn send_all(&mut self, all: Vec<(ProcessId, Message)>) {
        all.into_iter().for_each(|(to, message)| self.send(to, message));
    }

    fn carry_out(&mut self, now: Time, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Send(to, message) => self.send(to, message),
                Order::StepConfirmed(seq, step) if self.inherited.contains_key(&seq) => {
                    self.cleared(seq, step)
                }
                Order::StepConfirmed(seq, step) => self.outputs.push_back(Output::StepConfirmed(seq, step)),
                Order::Stopped(seq, why) if self.inherited.contains_key(&seq) => self.stopped(now, seq, why),
                Order::Stopped(seq, why) => self.outputs.push_back(Output::Stopped(seq, why)),
            }
        }
    }

    /// All keepers have stored a step of an inherited request.
    fn cleared(&mut self, seq: u64, step: u32) {
        let Some(inherited) = self.inherited.get_mut(&seq).filter(|i| i.step <= step) else {
            return self.outputs.push_back(Output::StepConfirmed(seq, step));
        };
        if inherited.over {
            self.outputs.push_back(Output::StepConfirmed(seq, step));
            return self.finish(seq);
        }
        if std::mem::replace(&mut inherited.resumed, true) {
            return self.outputs.push_back(Output::StepConfirmed(seq, step));
        }
        let (request, plan) = (inherited.request.clone(), inherited.plan.clone());
        let Some(current) = &self.current else { return };
        let (Some(record), Some(deadline)) = (current.owner.record(seq), current.owner.deadline(seq)) else {
            return;
        };
        let resumed = ResumedRequest { seq, record: record.clone(), request, deadline, plan };
        self.outputs.push_back(Output::Resume(Box::new(resumed)));
    }

    /// An inherited request can't continue: it is retried or dropped, depending on the reason.
    fn stopped(&mut self, now: Time, seq: u64, why: StopReason) {
        match why {
            StopReason::NoKeeper | StopReason::Full => {
                if let Some(inherited) = self.inherited.get_mut(&seq) {
                    inherited.retry_at = Some(now + RESEND_INTERVAL);
                }
            }
            // Another process has it by now, or it has ended.
            _ => {
                if let Some((_, outcomes)) =
                    self.inherited.get(&seq).and_then(|i| self.successors.get_mut(&i.epoch))
                {
                    outcomes.handled_elsewhere += 1;
                }
                self.outputs.push_back(Output::Stopped(seq, why));
                self.finish(seq);
            }
        }
    }

    fn finish(&mut self, seq: u64) {
        self.release(seq);
        let Some(inherited) = self.inherited.remove(&seq) else { return };
        if let Some((successor, _)) = self.successors.get_mut(&inherited.epoch) {
            successor.ended();
        }
    }

    /// Resumes inherited requests up to the concurrency limit.
    fn resume_inherited(&mut self, now: Time) {
        let mut orders = Vec::new();
        for (epoch, (successor, outcomes)) in &mut self.successors {
            let Some(current) = &mut self.current else { return };
            while let Some(next) = successor.next(now) {
                let (record, request, plan) = (next.known.record, next.request, next.plan);
                if plan == Plan::Tell {
                    successor.ended(); // its keepers report the end to the client's retry
                    continue;
                }
                let left = next.known.deadline.saturating_sub(now);
                let end = match &plan {
                    Plan::End(end) => Some(end.clone()),
                    _ => None,
                };
                *match &end {
                    Some(End::Unknown) => &mut outcomes.unknown,
                    Some(_) => &mut outcomes.refused,
                    None if record.sent.is_empty() => &mut outcomes.sent,
                    None => &mut outcomes.repeated,
                } += 1;
                // The first keeper has the steps so far under the ended process: this is the next step.
                let record = Record { step: record.step + 1, ..record };
                let record = match &end {
                    Some(end) => Record { end: Some(end.clone()), ..record },
                    None => record,
                };
                let (step, over) = (record.step, end.is_some());
                let seq = current.owner.accept(now, *epoch, record, left, request.clone(), &mut orders);
                let inherited =
                    Inherited { epoch: *epoch, request, plan, retry_at: None, step, resumed: false, over };
                self.inherited.insert(seq, inherited);
            }
        }
        self.carry_out(now, orders);
        self.settle();
    }

    fn settle(&mut self) {
        let done: Vec<Epoch> = self
            .successors
            .iter()
            .filter(|(_, (successor, _))| successor.is_settled())
            .map(|(epoch, _)| *epoch)
            .collect();
        for epoch in done {
            let Some((successor, outcomes)) = self.successors.remove(&epoch) else { continue };
            let Outcomes { sent, repeated, unknown, refused, handled_elsewhere } = outcomes;
            self.outputs.push_back(Output::Log(format!(
                "takeover from '{}' finished: {} requests inherited: {sent} sent, {repeated} repeated, {unknown} unknown, \
                 {refused} refused, {handled_elsewhere} already handled elsewhere",
                successor.succession().name, successor.inherited()
            )));
            self.outputs.push_back(Output::Settled(epoch));
        }
    }

    /// The time of the next timer.
    pub fn next_due(&self) -> Option<Time> {
        let current = self.current.as_ref()?;
        let successors = self.successors.values().filter_map(|(successor, _)| successor.next_due());
        let retries = self.inherited.values().filter_map(|i| i.retry_at);
        successors.chain(retries).chain(current.owner.next_due()).chain([self.expiry_check_at]).min()
    }

    /// Runs the timers that are due.
    pub fn fire(&mut self, now: Time) {
        let (mut orders, mut messages) = (Vec::new(), Vec::new());
        let Some(current) = &mut self.current else { return };
        current.owner.fire(now, &mut orders);
        if now >= self.expiry_check_at {
            self.expiry_check_at = now + EXPIRY_CHECK_INTERVAL;
            current.keeper.fire(now);
        }
        for (successor, _) in self.successors.values_mut() {
            successor.fire(now, &mut messages);
        }
        self.carry_out(now, orders);
        self.send_all(messages);
        self.deliver_loopback(now);
        self.retry_inherited(now);
        self.resume_inherited(now);
        self.deliver_loopback(now);
    }

    /// Retries inherited requests for which no keeper was available.
    fn retry_inherited(&mut self, now: Time) {
        let due = |i: &mut Inherited| i.retry_at.take_if(|at| *at <= now).is_some();
        let all: Vec<u64> = self.inherited.iter_mut().filter_map(|(seq, i)| due(i).then_some(*seq)).collect();
        all.into_iter().for_each(|seq| self.retry(now, seq));
    }
}
