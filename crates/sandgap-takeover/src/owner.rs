//! Replicates a proxy's own requests: each step is sent to the keepers, and counts once all of them have stored it.

use std::collections::BTreeMap;
use std::time::Duration;

use sandgap_agree::enrolment::MemberList;
use sandgap_agree::lives::ProcessId;
use sandgap_fleet::Time;

use crate::identity::keepers;
use crate::limits::{JOIN_POLL_INTERVAL, MAX_ASKED_LIVES, RESEND_INTERVAL};
use crate::messages::{Actor, Bytes, Keep, KeepReply, Message, Verdict};
use crate::record::{End, Record, Sent};

/// Settings of the owner.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Proxies other than the owner that keep each request.
    pub keepers: usize,
    /// Timeout for the keepers to confirm a step.
    pub keeper_timeout: Duration,
}

/// Why a request can't continue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// No keeper confirmed the step within the timeout.
    NoKeeper,
    /// A keeper is at its limit.
    Full,
    /// Another process acts for this identity: join the request there.
    Held(Actor),
    /// The request has ended.
    Ended(End),
    /// The identity is in use for a different content.
    Differs,
    /// For this long it is unknown whether the request ran.
    Indeterminate(Duration),
    /// A successor has taken over from this process, or the request has ended or has too many attempts.
    Superseded,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Send this message to a process, possibly to this process's own keeper.
    Send(ProcessId, Message),
    /// All keepers have stored the request's steps up to this one: the actions that they precede may be taken.
    StepConfirmed(u64, u32),
    /// The request can't continue.
    Stopped(u64, StopReason),
}

/// A request in flight, and the replication of its current step.
struct InFlight {
    actor: Actor,
    record: Record,
    deadline: Time,
    request: Bytes,
    /// The latest step confirmed by each keeper.
    confirmed: BTreeMap<ProcessId, u32>,
    /// Processes that have to be asked before the first step counts, and those already asked. Each is asked once, as
    /// two of them may name each other.
    pending_queries: Vec<ProcessId>,
    asked: Vec<ProcessId>,
    /// When the current step was first sent to keepers, and when it is resent.
    since: Time,
    resend_at: Time,
    /// The last step that all keepers confirmed.
    cleared: Option<u32>,
    /// Whether the current step was stopped.
    stopped: bool,
    /// Whether the request was retried, or stopped for want of keepers.
    retried: bool,
    /// Another process acts for the identity: the request waits for its end, or until the keeper accepts this one.
    joined: Option<Actor>,
}

impl InFlight {
    /// Whether a reply to the current step is still outstanding.
    fn is_waiting(&self) -> bool {
        !self.is_confirmed() && !self.stopped
    }

    fn is_confirmed(&self) -> bool {
        let all = |life: &ProcessId| self.confirmed.get(life).is_some_and(|step| *step >= self.record.step);
        self.pending_queries.is_empty()
            && !self.record.keepers.is_empty()
            && self.record.keepers.iter().all(all)
    }
}

/// Chooses the keepers of a record: its current keepers that are still enrolled, then others until there are enough.
fn choose_keepers(
    record: &Record, current: &[ProcessId], member_list: &MemberList, owner: ProcessId, count: usize,
) -> Vec<ProcessId> {
    let mut all: Vec<ProcessId> =
        current.iter().copied().filter(|keeper| member_list.contains_key(keeper)).collect();
    for keeper in keepers(record.identity, member_list, owner, count) {
        if !all.contains(&keeper) && all.iter().filter(|k| **k != owner).count() < count {
            all.push(keeper);
        }
    }
    all
}

/// Replicates the requests of one process; see the module.
pub struct Owner {
    life: ProcessId,
    settings: Settings,
    member_list: MemberList,
    requests: BTreeMap<u64, InFlight>,
    next: u64,
}

impl Owner {
    /// Creates an owner without requests.
    pub fn new(life: ProcessId, settings: Settings) -> Self {
        Owner { life, settings, member_list: MemberList::default(), requests: BTreeMap::new(), next: 1 }
    }

    /// Number of requests in flight.
    pub fn held(&self) -> usize {
        self.requests.len()
    }

    /// The record of a request.
    pub fn record(&self, seq: u64) -> Option<&Record> {
        self.requests.get(&seq).map(|own| &own.record)
    }

    /// Accepts a request with its `record` at step 0; its keepers are chosen here. A successor accepts an inherited
    /// request under its succession's epoch, with the steps that it knows of.
    pub fn accept(
        &mut self, now: Time, epoch: u64, mut record: Record, left: Duration, request: Bytes,
        orders: &mut Vec<Order>,
    ) -> u64 {
        let seq = self.next;
        self.next += 1;
        // An inherited request keeps its keepers: a retry of its client looks for it there.
        let current: &[ProcessId] = if epoch > 0 { &record.keepers } else { &[] };
        record.keepers =
            choose_keepers(&record, current, &self.member_list, self.life, self.settings.keepers);
        let own = InFlight {
            actor: Actor { epoch, life: self.life },
            record,
            deadline: now + left,
            request,
            confirmed: BTreeMap::new(),
            pending_queries: Vec::new(),
            asked: Vec::new(),
            since: now,
            resend_at: now + RESEND_INTERVAL,
            cleared: None,
            stopped: false,
            retried: false,
            joined: None,
        };
        self.requests.insert(seq, own);
        self.send_step(now, seq, orders);
        seq
    }

    /// Records an attempt, which may be sent once [`Order::StepConfirmed`] names the returned step.
    pub fn sending(&mut self, now: Time, seq: u64, sent: Sent, orders: &mut Vec<Order>) -> Option<u32> {
        let next = self.requests.get(&seq)?.record.sending(sent);
        match next {
            Some(record) => Some(self.advance(now, seq, record, orders)),
            None => {
                orders.push(Order::Stopped(seq, StopReason::Superseded));
                None
            }
        }
    }

    /// Removes an attempt that was not sent, or was rejected without being processed.
    pub fn unsent(&mut self, now: Time, seq: u64, attempt: u32, orders: &mut Vec<Order>) {
        if let Some(record) = self.requests.get(&seq).map(|own| own.record.unsent(attempt)) {
            self.advance(now, seq, record, orders);
        }
    }

    /// Records the end, which the client may be told once [`Order::StepConfirmed`] names the returned step.
    pub fn ended(&mut self, now: Time, seq: u64, end: End, orders: &mut Vec<Order>) -> Option<u32> {
        let record = self.requests.get(&seq)?.record.ended(end);
        Some(self.advance(now, seq, record, orders))
    }

    /// Forgets a request; no further message is sent for it.
    pub fn release(&mut self, seq: u64) {
        self.requests.remove(&seq);
    }

    fn advance(&mut self, now: Time, seq: u64, record: Record, orders: &mut Vec<Order>) -> u32 {
        let step = record.step;
        if let Some(own) = self.requests.get_mut(&seq) {
            own.record = record;
            (own.since, own.stopped) = (now, false);
        }
        self.send_step(now, seq, orders);
        step
    }

    /// Sends the current step to the keepers that have not confirmed it.
    fn send_step(&mut self, now: Time, seq: u64, orders: &mut Vec<Order>) {
        let Some(own) = self.requests.get_mut(&seq) else { return };
        own.resend_at = now + if own.joined.is_some() { JOIN_POLL_INTERVAL } else { RESEND_INTERVAL };
        let has_other_keepers = own.record.keepers.iter().any(|life| *life != self.life);
        if !has_other_keepers {
            // Stopped immediately the first time; a retried request is stopped only after the timeout.
            if !std::mem::replace(&mut own.retried, true) {
                own.stopped = true;
                orders.push(Order::Stopped(seq, StopReason::NoKeeper));
            }
            return;
        }
        // The first keeper decides which process owns the identity. The others get the record only after it has
        // confirmed; otherwise two concurrent owners could each be accepted by a different keeper.
        // They also wait for the replies of processes that may know the identity: from their copy a successor would
        // conclude that the request may be sent.
        let first_confirmed =
            own.record.keepers.first().is_some_and(|first| own.confirmed.contains_key(first));
        let all_may_store = first_confirmed && own.pending_queries.is_empty();
        let recipients = if all_may_store { own.record.keepers.len() } else { 1 };
        for life in &own.record.keepers[..recipients] {
            if own.confirmed.get(life).is_none_or(|step| *step < own.record.step) {
                // A keeper that has an earlier step has the request's bytes.
                let request = (!own.confirmed.contains_key(life)).then(|| own.request.clone());
                let left = own.deadline.saturating_sub(now);
                let (actor, record) = (own.actor, own.record.clone());
                let fresh = own.cleared.is_none() && actor.epoch == 0 && record.end.is_none();
                let keep = Keep { seq, actor, record, fresh, left, request };
                orders.push(Order::Send(*life, Message::Keep(Box::new(keep))));
            }
        }
        for life in &own.pending_queries {
            let Record { identity, content, .. } = own.record;
            orders.push(Order::Send(*life, Message::Find(seq, identity, content)));
        }
    }

    /// Handles a keeper's reply to a step.
    pub fn handle_keep_reply(
        &mut self, now: Time, from: ProcessId, reply: KeepReply, orders: &mut Vec<Order>,
    ) {
        let KeepReply { seq, step, verdict, ask_also } = reply;
        let Some(own) = self.requests.get_mut(&seq) else { return };
        if !own.record.keepers.contains(&from) {
            return;
        }
        match verdict {
            Verdict::Kept => {
                own.joined = None;
                let first = own.confirmed.is_empty();
                let confirmed_step = own.confirmed.entry(from).or_insert(step);
                *confirmed_step = (*confirmed_step).max(step);
                if first {
                    own.since = now;
                }
                let undecided = own.cleared.is_none();
                if undecided && self.ask(now, seq, &ask_also, orders) {
                    return;
                }
                if first {
                    self.send_step(now, seq, orders);
                }
                self.clear(seq, orders);
            }
            Verdict::MissingRequest => {
                own.confirmed.remove(&from);
                self.send_step(now, seq, orders);
            }
            Verdict::Held(actor) if own.cleared.is_none() => own.joined = Some(actor),
            other => self.stop(seq, other, orders),
        }
    }

    /// Retries a step that no keeper confirmed within the timeout.
    pub fn retry(&mut self, now: Time, seq: u64, orders: &mut Vec<Order>) {
        if let Some(own) = self.requests.get_mut(&seq) {
            (own.since, own.stopped, own.retried) = (now, false, true);
            self.send_step(now, seq, orders);
        }
    }

    /// All requests in flight.
    pub fn all(&self) -> impl Iterator<Item = u64> {
        self.requests.keys().copied()
    }

    /// The client's deadline of a request.
    pub fn deadline(&self, seq: u64) -> Option<Time> {
        self.requests.get(&seq).map(|own| own.deadline)
    }

    /// Handles another process's reply on whether it knows the identity.
    pub fn handle_find_reply(
        &mut self, now: Time, from: ProcessId, seq: u64, verdict: Option<Verdict>, ask_also: &[ProcessId],
        orders: &mut Vec<Order>,
    ) {
        let Some(own) = self.requests.get_mut(&seq).filter(|own| own.pending_queries.contains(&from)) else {
            return;
        };
        own.pending_queries.retain(|life| *life != from);
        own.joined = None;
        match verdict {
            // The reply names this request itself.
            Some(Verdict::Held(actor)) if actor == own.actor => {}
            Some(Verdict::Held(actor)) if own.cleared.is_none() => {
                own.joined = Some(actor);
                own.pending_queries.push(from); // asked again until the other request has ended
                own.resend_at = now + JOIN_POLL_INTERVAL;
                return;
            }
            Some(verdict) => return self.stop(seq, verdict, orders),
            None => {}
        }
        let asks = self.ask(now, seq, ask_also, orders);
        let unanswered = self.requests.get(&seq).is_some_and(|own| !own.pending_queries.is_empty());
        if !asks && !unanswered {
            self.send_step(now, seq, orders);
            self.clear(seq, orders);
        }
    }

    /// Asks the processes that have not been asked yet; returns whether there were any.
    fn ask(&mut self, now: Time, seq: u64, lives: &[ProcessId], orders: &mut Vec<Order>) -> bool {
        let Some(own) = self.requests.get_mut(&seq) else { return false };
        let before = own.pending_queries.len();
        for life in lives {
            if !own.confirmed.contains_key(life)
                && !own.asked.contains(life)
                && own.asked.len() < MAX_ASKED_LIVES
            {
                own.pending_queries.push(*life);
                own.asked.push(*life);
            }
        }
        let asks = own.pending_queries.len() > before;
        if asks {
            self.send_step(now, seq, orders);
        }
        asks
    }

    fn clear(&mut self, seq: u64, orders: &mut Vec<Order>) {
        let Some(own) = self.requests.get_mut(&seq) else { return };
        if own.is_confirmed() && own.cleared.is_none_or(|step| step < own.record.step) {
            own.cleared = Some(own.record.step);
            own.stopped = false;
            orders.push(Order::StepConfirmed(seq, own.record.step));
        }
    }

    fn stop(&mut self, seq: u64, verdict: Verdict, orders: &mut Vec<Order>) {
        let Some(own) = self.requests.get_mut(&seq).filter(|own| !own.stopped) else { return };
        own.stopped = true;
        let why = match verdict {
            Verdict::Full => StopReason::Full,
            Verdict::Held(actor) => StopReason::Held(actor),
            Verdict::Ended(end) => StopReason::Ended(end),
            Verdict::Differs => StopReason::Differs,
            Verdict::Indeterminate(left) => StopReason::Indeterminate(left),
            Verdict::Superseded(_) => StopReason::Superseded,
            Verdict::Kept | Verdict::MissingRequest => StopReason::NoKeeper, // not final verdicts; `handle_keep_reply` handles both
        };
        orders.push(Order::Stopped(seq, why));
    }

    /// Handles a new list of enrolled processes: keepers that ended are replaced. A live keeper is never replaced, as
    /// its copy would become stale and cover less than may have happened.
    pub fn set_member_list(&mut self, now: Time, member_list: MemberList, orders: &mut Vec<Order>) {
        self.member_list = member_list;
        let (member_list, life, count) = (self.member_list.clone(), self.life, self.settings.keepers);
        let mut changed = Vec::new();
        for (seq, own) in &mut self.requests {
            let lives = |life: &ProcessId| member_list.contains_key(life);
            // If a process ended before it replied, the query has to be repeated elsewhere.
            let unanswered = !own.pending_queries.iter().all(lives);
            if own.record.keepers.iter().all(lives) && !unanswered {
                continue;
            }
            if own.cleared.is_none() {
                own.confirmed.clear();
                own.pending_queries.clear();
                own.asked.clear();
            }
            let keepers = choose_keepers(&own.record, &own.record.keepers, &member_list, life, count);
            own.record = Record { keepers, step: own.record.step + 1, ..own.record.clone() };
            (own.since, own.stopped) = (now, false);
            changed.push(*seq);
        }
        for seq in changed {
            self.send_step(now, seq, orders);
        }
    }

    /// The time of the next timer.
    pub fn next_due(&self) -> Option<Time> {
        self.requests.values().filter(|own| own.is_waiting()).map(|own| own.resend_at).min()
    }

    /// Runs the timers that are due.
    pub fn fire(&mut self, now: Time, orders: &mut Vec<Order>) {
        let is_due = |(_, own): &(&u64, &InFlight)| own.resend_at <= now && own.is_waiting();
        let due: Vec<u64> = self.requests.iter().filter(is_due).map(|(seq, _)| *seq).collect();
        for seq in due {
            let Some(own) = self.requests.get_mut(&seq) else { continue };
            let (end, why) = match own.joined {
                Some(actor) => (own.deadline, StopReason::Held(actor)),
                None => (own.since + self.settings.keeper_timeout, StopReason::NoKeeper),
            };
            if now >= end {
                own.stopped = true;
                orders.push(Order::Stopped(seq, why));
            } else {
                self.send_step(now, seq, orders);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::tests::{member_list, ms, record, sent};
    use crate::record::{Answer, Effect, State};

    const ME: ProcessId = 1;

    struct Case {
        owner: Owner,
        orders: Vec<Order>,
        seq: u64,
    }

    impl Case {
        fn new(lives: &[ProcessId], keepers: usize) -> Self {
            let mut owner = Owner::new(ME, Settings { keepers, keeper_timeout: ms(50) });
            let mut orders = Vec::new();
            owner.set_member_list(ms(0), member_list(lives), &mut orders);
            let request = Bytes::from(&b"request"[..]);
            let seq = owner.accept(ms(0), 0, record(Effect::Keyed), ms(1000), request, &mut orders);
            Case { owner, orders, seq }
        }

        /// A request that its keepers have stored, with a first keeper that names another process to ask.
        fn with_older() -> (Self, ProcessId) {
            let mut case = Case::new(&[1, 2, 3, 4], 1);
            let keepers = case.keepers();
            let older = (1..9).find(|life| !keepers.contains(life) && *life != ME).expect("another process");
            let reply = KeepReply { seq: case.seq, step: 0, verdict: Verdict::Kept, ask_also: vec![older] };
            case.owner.handle_keep_reply(ms(1), keepers[0], reply, &mut case.orders);
            for keeper in &keepers[1..] {
                case.reply(1, *keeper, Verdict::Kept);
            }
            (case, older)
        }

        fn keepers(&self) -> Vec<ProcessId> {
            self.owner.record(self.seq).expect("held").keepers.clone()
        }

        fn reply(&mut self, now: u64, from: ProcessId, verdict: Verdict) {
            let step = self.owner.record(self.seq).expect("held").step;
            let reply = KeepReply { seq: self.seq, step, verdict, ask_also: vec![] };
            self.owner.handle_keep_reply(ms(now), from, reply, &mut self.orders);
        }

        /// Orders since the last call.
        fn orders(&mut self) -> Vec<Order> {
            std::mem::take(&mut self.orders)
        }

        fn cleared(&mut self) -> Option<u32> {
            self.orders().into_iter().rev().find_map(|o| match o {
                Order::StepConfirmed(_, step) => Some(step),
                _ => None,
            })
        }
    }

    #[test]
    fn step_counts_once_all_keepers_have_it() {
        let mut case = Case::new(&[1, 2, 3, 4], 2);
        let keepers = case.keepers();
        let to_first_keeper = |o: &Order| matches!(o, Order::Send(to, _) if *to == keepers[0]);
        assert!(
            case.orders().iter().all(to_first_keeper),
            "the first keeper decides before others store the record"
        );
        case.reply(1, keepers[0], Verdict::Kept);
        assert_eq!(case.cleared(), None);
        keepers[1..].iter().for_each(|keeper| case.reply(2, *keeper, Verdict::Kept));
        assert_eq!(case.cleared(), Some(0));
        let step = case.owner.sending(ms(3), case.seq, sent(0), &mut case.orders);
        assert_eq!(step, Some(1));
        // A late reply to the previous step clears nothing.
        let late = KeepReply { seq: case.seq, step: 0, verdict: Verdict::Kept, ask_also: vec![] };
        case.owner.handle_keep_reply(ms(4), keepers[0], late, &mut case.orders);
        let sends_step =
            |o: &Order| matches!(o, Order::Send(_, Message::Keep(keep)) if keep.request.is_none());
        let orders = case.orders();
        assert_eq!(orders.iter().filter(|o| sends_step(o)).count(), keepers.len(), "{orders:?}");
        keepers.iter().for_each(|keeper| case.reply(5, *keeper, Verdict::Kept));
        assert_eq!(case.cleared(), Some(1));
        let end = End::Answered(Answer::Whole(200, vec![], vec![]));
        assert_eq!(case.owner.ended(ms(6), case.seq, end, &mut case.orders), Some(2));
        assert_eq!(case.owner.record(case.seq).expect("held").state(), State::Done);
    }

    #[test]
    fn lost_message_is_resent_and_timeout_stops_the_request() {
        let mut case = Case::new(&[1, 2], 1);
        case.orders();
        case.owner.fire(ms(19), &mut case.orders);
        assert!(case.orders().is_empty());
        assert_eq!(case.owner.next_due(), Some(ms(20)));
        case.owner.fire(ms(20), &mut case.orders);
        assert!(case.orders().iter().all(|o| matches!(o, Order::Send(..))));
        case.owner.fire(ms(60), &mut case.orders);
        assert_eq!(case.orders(), [Order::Stopped(case.seq, StopReason::NoKeeper)]);
        assert_eq!(case.owner.next_due(), None);
    }

    #[test]
    fn process_that_may_know_the_identity_is_asked_first() {
        let (mut case, older) = Case::with_older();
        let orders = case.orders();
        assert!(
            orders.iter().any(|o| matches!(o, Order::Send(to, Message::Find(..)) if *to == older)),
            "{orders:?}"
        );
        let held = Some(Verdict::Held(Actor { epoch: 0, life: 9 }));
        case.owner.handle_find_reply(ms(2), older, case.seq, held, &[], &mut case.orders);
        assert!(case.orders().is_empty(), "it waits for the end of the other request");
        let ended = Some(Verdict::Ended(End::Unknown));
        case.owner.handle_find_reply(ms(30), older, case.seq, ended, &[], &mut case.orders);
        assert_eq!(case.orders(), [Order::Stopped(case.seq, StopReason::Ended(End::Unknown))]);
    }

    #[test]
    fn request_continues_if_the_asked_process_knows_nothing() {
        let (mut case, older) = Case::with_older();
        assert_eq!(case.cleared(), None);
        case.owner.handle_find_reply(ms(2), older, case.seq, None, &[], &mut case.orders);
        assert_eq!(case.cleared(), Some(0));
    }

    #[test]
    fn ended_keeper_is_replaced_and_joining_process_replaces_none() {
        let mut case = Case::new(&[1, 2, 3], 1);
        let before = case.keepers();
        case.owner.set_member_list(ms(5), member_list(&[1, 2, 3, 4, 5, 6, 7, 8]), &mut case.orders);
        assert_eq!(case.keepers(), before);
        let lost = *before.iter().find(|life| **life != ME).expect("another");
        let rest: Vec<ProcessId> = [1, 2, 3, 4, 5].into_iter().filter(|life| *life != lost).collect();
        case.orders();
        case.owner.set_member_list(ms(6), member_list(&rest), &mut case.orders);
        let after = case.keepers();
        assert!(!after.contains(&lost) && after.iter().any(|life| *life != ME), "{after:?}");
        let orders = case.orders();
        let whole = |o: &Order| matches!(o, Order::Send(_, Message::Keep(keep)) if keep.request.is_some());
        assert!(orders.iter().any(whole), "a new keeper gets the request's bytes: {orders:?}");
        after.iter().for_each(|keeper| case.reply(7, *keeper, Verdict::Kept));
        assert_eq!(case.cleared(), Some(1));
    }

    #[test]
    fn single_proxy_has_no_keeper() {
        let mut case = Case::new(&[1], 2);
        assert_eq!(case.orders(), [Order::Stopped(case.seq, StopReason::NoKeeper)]);
    }

    #[test]
    fn duplicate_waits_for_the_end_of_the_other_request() {
        let mut case = Case::new(&[1, 2], 1);
        let first = case.keepers()[0];
        let held = Actor { epoch: 0, life: 9 };
        case.orders();
        case.reply(1, first, Verdict::Held(held));
        case.owner.fire(ms(500), &mut case.orders);
        assert!(matches!(case.orders()[..], [Order::Send(to, Message::Keep(_))] if to == first));
        case.reply(501, first, Verdict::Held(held));
        case.reply(530, first, Verdict::Ended(End::Unknown));
        assert_eq!(case.orders(), [Order::Stopped(case.seq, StopReason::Ended(End::Unknown))]);
        let mut waiting = Case::new(&[1, 2], 1);
        waiting.reply(1, first, Verdict::Held(held));
        waiting.orders();
        waiting.owner.fire(ms(1000), &mut waiting.orders);
        assert_eq!(waiting.orders(), [Order::Stopped(waiting.seq, StopReason::Held(held))]);
    }

    #[test]
    fn each_verdict_stops_the_request_once() {
        for (verdict, why) in [
            (Verdict::Full, StopReason::Full),
            (Verdict::Differs, StopReason::Differs),
            (Verdict::Ended(End::Unknown), StopReason::Ended(End::Unknown)),
            (Verdict::Superseded(3), StopReason::Superseded),
            (Verdict::Indeterminate(ms(7)), StopReason::Indeterminate(ms(7))),
        ] {
            let mut case = Case::new(&[1, 2], 1);
            let keeper = case.keepers()[0];
            case.orders();
            case.reply(1, keeper, verdict.clone());
            case.reply(2, keeper, verdict);
            assert_eq!(case.orders(), [Order::Stopped(case.seq, why)]);
        }
    }
}
