//! A stand-in for a proxy's front and decision module: it accepts a request, sends it, repeats it where that is
//! allowed, and ends it. Each attempt and each answer first needs the keepers' confirmation and the right to act.

use std::collections::BTreeMap;
use std::time::Duration;

use sandgap_agree::lives::next_random;
use sandgap_fleet::Time;
use sandgap_takeover::owner::StopReason;
use sandgap_takeover::takeover::ResumedRequest;
use sandgap_takeover::{Answer, Effect, End, Plan, Sent, Takeover};

use super::Flaw;
use super::checker::ClientResult;
use crate::calendar::Nanos;

/// How long a cell deduplicates repeats.
pub const DEDUP_WINDOW: Duration = Duration::from_millis(2500);
/// Number of cells; each backend belongs to one.
pub const CELLS: u64 = 2;
/// Maximum number of attempts for a request.
const MAX_ATTEMPTS: u32 = 3;

/// What an active request waits for.
#[derive(Clone, Debug, PartialEq)]
enum Pending {
    /// The keepers' confirmation of its record.
    Kept,
    /// The keepers' confirmation of an attempt: the backend and the step.
    SendConfirmed(u64, u32),
    /// The backend's answer.
    Reply,
    /// The keepers' confirmation of its end: the client's result and the step.
    EndConfirmed(ClientResult, u32),
}

/// A request that this proxy works on.
pub struct ActiveRequest {
    /// Number of the request at the checker.
    pub index: usize,
    effect: Effect,
    pending: Pending,
    attempts: u32,
    /// The cell and until when it deduplicates repeats, once the request may have run there.
    dedup: Option<(u64, Time)>,
    deadline: Time,
    /// Whether its keepers have its record.
    pub kept: bool,
}

/// What the simulation has to do for a proxy.
pub enum Action {
    /// Send an attempt: the backend, the request's number at this proxy, the attempt's number.
    Send(u64, u64, u32),
    /// Tell a client its result.
    Tell(usize, ClientResult),
    /// A request that was taken over goes on.
    Resumed(usize),
}

/// The state of one proxy's stand-in.
pub struct Proxy {
    /// Requests that it works on, by their number at this proxy.
    pub active: BTreeMap<u64, ActiveRequest>,
    flaw: Option<Flaw>,
    random_state: u64,
}

fn client_result(end: &End) -> ClientResult {
    match end {
        End::Answered(Answer::Whole(_, _, body)) => {
            ClientResult::Answer(body.first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes)))
        }
        End::Answered(Answer::Digest(..)) => ClientResult::Retry,
        End::Unknown => ClientResult::Unknown,
        End::Refused => ClientResult::Refused,
    }
}

impl Proxy {
    /// A proxy without requests; `random_state` seeds its draws.
    pub fn new(flaw: Option<Flaw>, random_state: u64) -> Self {
        Proxy { active: BTreeMap::new(), flaw, random_state }
    }

    /// Adds a client's request that waits for its keepers.
    pub fn accept(&mut self, seq: u64, index: usize, effect: Effect, deadline: Time) {
        let pending = Pending::Kept;
        let request =
            ActiveRequest { index, effect, pending, attempts: 0, dedup: None, deadline, kept: false };
        self.active.insert(seq, request);
    }

    fn draw_below(&mut self, limit: u64) -> u64 {
        self.random_state = next_random(self.random_state);
        (self.random_state >> 33) % limit
    }

    /// Continues a request that was taken over.
    pub fn resume(
        &mut self, now: Time, resumed: ResumedRequest, index: usize, takeover: &mut Takeover,
        actions: &mut Vec<Action>,
    ) {
        let ResumedRequest { seq, record, deadline, plan, .. } = resumed;
        let cell = record.sent.first().and_then(|s| s.cell.as_ref()?.parse().ok());
        let dedup = match (plan, cell) {
            (Plan::Repeat(until), Some(cell)) => Some((cell, until)),
            _ => None,
        };
        let attempts = record.sent.iter().map(|s| s.attempt + 1).max().unwrap_or(0);
        let request = ActiveRequest {
            index,
            effect: record.effect,
            pending: Pending::Kept,
            attempts,
            dedup,
            deadline,
            kept: true,
        };
        self.active.insert(seq, request);
        actions.push(Action::Resumed(index));
        self.send(now, seq, takeover);
    }

    fn send(&mut self, now: Time, seq: u64, takeover: &mut Takeover) {
        let backend = self.draw_below(4 / CELLS);
        let any_cell = self.draw_below(CELLS);
        let Some(request) = self.active.get_mut(&seq) else { return };
        let cell = request.dedup.map_or(any_cell, |(cell, _)| cell);
        let backend = backend * CELLS + cell;
        let window = (request.effect == Effect::Keyed).then_some(DEDUP_WINDOW);
        let sent = Sent {
            attempt: request.attempts,
            backend: format!("b{backend}"),
            zone: None,
            cell: Some(cell.to_string()),
            window,
        };
        request.attempts += 1;
        if self.flaw == Some(Flaw::SentNotRecorded) {
            request.pending = Pending::SendConfirmed(backend, 0);
            return;
        }
        if let Some(step) = takeover.sending(now, seq, sent) {
            request.pending = Pending::SendConfirmed(backend, step);
        }
    }

    fn end(&mut self, now: Time, seq: u64, end: End, takeover: &mut Takeover) {
        let Some(request) = self.active.get_mut(&seq) else { return };
        let result = client_result(&end);
        if let Some(step) = takeover.ended(now, seq, end) {
            request.pending = Pending::EndConfirmed(result, step);
        }
    }

    /// Handles the confirmation that all keepers have a step.
    pub fn confirmed(
        &mut self, now: Time, seq: u64, step: u32, may_act: bool, takeover: &mut Takeover,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.active.get_mut(&seq) else { return };
        request.kept = true;
        match request.pending.clone() {
            Pending::Kept => {
                self.send(now, seq, takeover);
                self.send_unconfirmed(now, seq, may_act, takeover, actions);
            }
            Pending::SendConfirmed(backend, confirmed_step) if step >= confirmed_step => {
                self.send_attempt(now, seq, backend, may_act, takeover, actions);
            }
            Pending::EndConfirmed(result, confirmed_step) if step >= confirmed_step => {
                let Some(request) = self.active.remove(&seq) else { return };
                let result = if may_act { result } else { ClientResult::Retry };
                actions.push(Action::Tell(request.index, result));
                takeover.release(seq);
            }
            _ => {}
        }
    }

    /// Sends an attempt without the keepers' confirmation, where a flaw asks for that.
    fn send_unconfirmed(
        &mut self, now: Time, seq: u64, may_act: bool, takeover: &mut Takeover, actions: &mut Vec<Action>,
    ) {
        let unconfirmed = matches!(self.flaw, Some(Flaw::SendBeforeKeeping | Flaw::SentNotRecorded));
        if let Some(Pending::SendConfirmed(backend, _)) =
            self.active.get(&seq).map(|request| request.pending.clone()).filter(|_| unconfirmed)
        {
            self.send_attempt(now, seq, backend, may_act, takeover, actions);
        }
    }

    fn send_attempt(
        &mut self, now: Time, seq: u64, backend: u64, may_act: bool, takeover: &mut Takeover,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.active.get_mut(&seq) else { return };
        if !may_act {
            return; // the lease has lapsed: a successor goes on, or this process once it holds the lease again
        }
        let deduplicated = request.dedup.is_none_or(|(_, until)| now < until);
        if !deduplicated || now >= request.deadline {
            let ran = request.dedup.is_some() || request.effect == Effect::Unsafe && request.attempts > 1;
            takeover.unsent(now, seq, request.attempts - 1);
            let end = if ran { End::Unknown } else { End::Refused };
            return self.end(now, seq, end, takeover);
        }
        if request.effect == Effect::Keyed && request.dedup.is_none() {
            request.dedup = Some((backend % CELLS, now + DEDUP_WINDOW));
        }
        request.pending = Pending::Reply;
        actions.push(Action::Send(backend, seq, request.attempts - 1));
    }

    /// Handles a backend's answer, or `None` for a broken connection.
    pub fn reply(
        &mut self, now: Time, seq: u64, answer: Option<u64>, may_act: bool, takeover: &mut Takeover,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.active.get_mut(&seq).filter(|request| request.pending == Pending::Reply)
        else {
            return;
        };
        match answer {
            Some(answer) => {
                let body = answer.to_le_bytes().to_vec();
                self.end(now, seq, End::Answered(Answer::Whole(200, Vec::new(), body)), takeover);
            }
            None if request.effect == Effect::Unsafe => self.end(now, seq, End::Unknown, takeover),
            None if request.attempts >= MAX_ATTEMPTS || now >= request.deadline => {
                let end = if request.effect == Effect::Safe { End::Refused } else { End::Unknown };
                self.end(now, seq, end, takeover);
            }
            None => {
                self.send(now, seq, takeover);
                self.send_unconfirmed(now, seq, may_act, takeover, actions);
            }
        }
    }

    /// Handles that a request can't go on.
    pub fn stop(
        &mut self, now: Time, seq: u64, why: StopReason, takeover: &mut Takeover, actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.active.get_mut(&seq) else { return };
        match why {
            StopReason::Ended(end) => {
                actions.push(Action::Tell(request.index, client_result(&end)));
                self.active.remove(&seq);
                takeover.release(seq);
            }
            // Tells the client to retry; the record ends once a keeper is reachable.
            StopReason::NoKeeper | StopReason::Full => {
                actions.push(Action::Tell(request.index, ClientResult::Retry));
                match request.pending {
                    // A keeper may have the record although its confirmation never arrived; it has to end there.
                    Pending::Kept => {
                        let step = takeover.ended(now, seq, End::Refused).unwrap_or_default();
                        request.pending = Pending::EndConfirmed(ClientResult::Retry, step);
                    }
                    _ if now < request.deadline + DEDUP_WINDOW => takeover.retry(now, seq),
                    _ => {
                        self.active.remove(&seq);
                        takeover.release(seq);
                    }
                }
            }
            StopReason::Held(_)
            | StopReason::Differs
            | StopReason::Indeterminate(_)
            | StopReason::Superseded => {
                actions.push(Action::Tell(request.index, ClientResult::Retry));
                self.active.remove(&seq);
                takeover.release(seq);
            }
        }
    }

    /// Drops all active requests, since this process no longer may act for them.
    pub fn drop_all(&mut self, actions: &mut Vec<Action>) {
        for request in std::mem::take(&mut self.active).into_values() {
            actions.push(Action::Tell(request.index, ClientResult::Retry));
        }
    }
}

/// Converts virtual time to a duration.
pub fn duration(ns: Nanos) -> Duration {
    Duration::from_nanos(ns)
}
