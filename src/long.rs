//! Requests and answers that take long to transfer. A slow client is not a slow server, so a server is charged for a
//! request only from the last byte of the request to the first byte of the answer.
use crate::choice::{
    ANSWER_MARGIN_MS, CLASS_BACKOFF_FACTOR, CLOSE_FAILURE_RATE, FAIR_LATENCIES, TICK_MS, close_server,
};
use crate::interface::*;
use crate::state::{Attempt, Balancer, Request};

/// Time between the decision to give up a paused answer and the send that replaces it, in ms.
const RETRY_LEAD_MS: Millis = 2.0 * TICK_MS;

/// Largest part of a request's time that is kept for the replacement of a paused answer.
const MAX_REPLACEMENT_PART: f64 = 0.25;

impl Attempt {
    /// Whether its answer has begun and its end is awaited.
    pub fn is_responding(&self) -> bool {
        !self.has_ended() && self.responded_after.is_some()
    }
}

impl Request {
    /// Whether an answer has begun and its end is awaited.
    pub fn is_responding(&self) -> bool {
        self.attempts.iter().any(Attempt::is_responding)
    }

    /// Whether an attempt is in flight whose answer has not begun.
    pub fn awaits_response(&self) -> bool {
        self.attempts.iter().any(|a| !a.has_ended() && !a.is_responding())
    }
}

impl Balancer {
    /// A long upload has begun. Until it is complete, the request takes no slot and no timeout applies.
    pub(crate) fn uploading(&mut self, now: Millis, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.last_mut().filter(|a| !a.has_ended() && !a.silent) else { return };
        (a.silent, a.sent) = (true, f64::INFINITY);
        (r.aim_at, r.due_at) = (f64::INFINITY, f64::INFINITY);
        let k = a.server;
        if std::mem::take(&mut a.is_trial) {
            self.servers[k].by_class[r.class].is_tested = false; // an upload may take long without telling anything
        }
        self.servers[k].own_attempts -= 1;
        self.running.retain(|o| *o != id);
        self.update_open(k, now);
    }

    /// The upload is complete: from now on the server works on the request and the client waits.
    pub(crate) fn uploaded(&mut self, now: Millis, id: RequestId, budget: Millis) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        (r.aim_at, r.due_at) = (now + self.cfg.classes[r.class].aim.min(budget), now + budget);
        let Some(a) = r.attempts.last_mut().filter(|a| !a.has_ended() && a.sent.is_infinite()) else {
            return;
        };
        (a.silent, a.sent) = (false, now);
        let s = &mut self.servers[a.server];
        s.last_progress = if s.own_attempts == 0 { now } else { s.last_progress };
        s.own_attempts += 1;
        self.running.push(id);
        let k = a.server;
        self.update_open(k, now);
    }

    /// The head of an answer has arrived and its body is being written. The server answers, so it is neither hung nor as slow
    /// as the body is long; only the client's time ends the wait.
    pub(crate) fn responding(&mut self, now: Millis, id: RequestId, attempt: usize) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| !a.has_ended() && a.sent.is_finite()) else {
            return;
        };
        if a.responded_after.is_some() {
            return;
        }
        a.responded_after = Some(now - a.sent);
        let k = a.server;
        let holds_slot = !std::mem::replace(&mut a.silent, true);
        let is_awaited = r.awaits_response();
        self.servers[k].last_progress = now;
        self.servers[k].own_attempts -= u32::from(holds_slot);
        if !is_awaited {
            self.running.retain(|o| *o != id);
        }
        self.update_open(k, now);
    }

    /// An answer that has begun pauses. Its server may go on; if the request may be repeated, another server is tried beside
    /// it, and the first complete answer counts.
    pub(crate) fn paused(&mut self, now: Millis, id: RequestId, attempt: usize) {
        self.responding(now, id, attempt);
        let Some(r) = self.requests.get(&id) else { return };
        if r.done || r.started || r.waiting || r.awaits_response() {
            return;
        }
        if self.may_send_beside(r) {
            self.retry(now, id);
        } else if !self.paused.contains(&id) {
            self.paused.push(id); // it waits; see `give_up_paused`
        }
    }

    /// Gives up paused answers beside which no other attempt is allowed, at the latest time at which another server is
    /// likely to answer in their place. Until then they may go on.
    pub(crate) fn give_up_paused(&mut self, now: Millis, out: &mut Vec<Action>) {
        let mut paused = std::mem::take(&mut self.paused);
        paused.retain(|id| self.requests.get(id).is_some_and(|r| !r.done && !r.started));
        for id in &paused {
            let r = &self.requests[id];
            let is_due = !r.waiting && !r.awaits_response() && now >= self.latest_retry_at(r);
            if let Some(attempt) = r.attempts.iter().position(Attempt::is_responding)
                && is_due
                && self.can_be_replaced(r, now)
            {
                out.push(Action::GiveUpPaused { request: *id, attempt: attempt as u32 });
            }
        }
        self.paused = paused;
    }

    /// The time until which another attempt is likely to be answered before the client gives up. It lies in the last part
    /// of the request's time, however slow its class is expected to be.
    fn latest_retry_at(&self, r: &Request) -> Millis {
        let first_sent = r.attempts.first().map_or(r.due_at, |a| a.sent);
        let longest = MAX_REPLACEMENT_PART * (r.due_at - first_sent);
        let retry = ANSWER_MARGIN_MS + FAIR_LATENCIES * self.replacement_latency(r) + RETRY_LEAD_MS;
        r.due_at - retry.min(longest)
    }

    /// Latency expected of another attempt at the fastest open server.
    pub(crate) fn replacement_latency(&self, r: &Request) -> Millis {
        let fastest = self.bands.bands.iter().find(|band| !band.open.is_empty());
        self.expected_latency(r) / fastest.map_or(1.0, |band| band.speed)
    }

    /// Whether another attempt may be made, and a server can take it now.
    fn can_be_replaced(&self, r: &Request, now: Millis) -> bool {
        let bound = self.dedup_bound(r);
        let is_near = |k: usize| {
            bound
                .is_none_or(|(first, group, _)| self.servers[k].drops_repeats_of(&self.servers[first], group))
        };
        let takes = |k: usize| self.servers[k].open() && is_near(k) && self.may_receive(k, r, now);
        self.cfg.limits.may_cancel
            && now + self.replacement_latency(r) < r.due_at - ANSWER_MARGIN_MS
            && self.retry_budget >= 1.0
            && self.may_repeat(r, now)
            && (0..self.servers.len()).any(takes)
    }

    /// A server that was taken for hung has answered: unless it has also failed, it is open again, and not only on trial.
    pub(crate) fn absolve(&mut self, k: usize, class: usize, now: Millis) {
        let s = &mut self.servers[k];
        for h in [&mut s.health, &mut s.by_class[class]] {
            if h.failure_rate < CLOSE_FAILURE_RATE {
                (h.on_trial, h.closed_until) = (false, h.closed_until.min(now));
            }
        }
    }

    /// The answers of a server in a class hang, or go on again. While they hang it is closed for the class, each time for longer,
    /// and is tested with one request at a time.
    pub(crate) fn stalled(&mut self, now: Millis, backend: BackendId, class: usize, is_stalled: bool) {
        let Some(&k) = self.by_id.get(&backend) else { return };
        let Some(health) = self.servers[k].by_class.get_mut(class) else { return };
        health.is_stalled = is_stalled;
        if is_stalled {
            close_server(health, now, CLASS_BACKOFF_FACTOR * health.backoff);
        } else {
            health.closed_until = health.closed_until.min(now);
            health.on_trial &= health.failure_rate >= CLOSE_FAILURE_RATE;
        }
        self.update_open(k, now);
    }

    /// The answer has begun and cannot be replaced. The server's work is done; the rest depends on how fast the client
    /// reads.
    pub(crate) fn started(&mut self, now: Millis, id: RequestId, attempt: usize) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.started = true;
        self.dequeue(id); // a further attempt may wait since the answer paused
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| !a.has_ended()) else { return };
        let k = a.server;
        self.servers[k].last_progress = now;
        if !std::mem::replace(&mut a.silent, true) {
            self.servers[k].own_attempts -= 1;
        }
        self.running.retain(|o| *o != id);
        self.update_open(k, now);
    }
}
