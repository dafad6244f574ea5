//! Retries: whether a request gets another attempt, and whether a server that has failed to take it may get it again.
use crate::choice::{ANSWER_MARGIN_MS, FIRST_BACKOFF_MS};
use crate::interface::*;
use crate::state::{Attempt, Balancer, Request};

/// Largest number of times that the rest of a server doubles for a request.
const MAX_DOUBLINGS: usize = 10;

impl Balancer {
    /// Queues another attempt, if the request may be repeated and there is time. Retries are limited by a budget that arrivals
    /// fill, to prevent retry storms.
    pub(crate) fn retry(&mut self, now: Millis, id: RequestId) -> bool {
        let r = &self.requests[&id];
        let time = self.has_time_to_retry(r, now);
        // Nothing has been sent of it, so that another attempt adds nothing to the load.
        let cost = if r.attempts.last().is_some_and(|a| a.was_not_sent()) { 0.0 } else { 1.0 };
        if !time || !self.may_repeat(r, now) || !self.may_send_beside(r) || self.retry_budget < cost {
            return false;
        }
        self.retry_budget -= cost;
        self.enqueue(id, true);
        true
    }

    /// Whether another attempt is allowed, by the request's effect and its number of attempts.
    pub(crate) fn may_repeat(&self, r: &Request, now: Millis) -> bool {
        let dropped = || self.dedup_bound(r).is_some_and(|(.., until)| now < until);
        (self.is_harmless(r) || dropped()) && r.attempts.len() < self.max_attempts_by_class[r.class] as usize
    }

    /// Whether another attempt can be answered before the client gives up. What replaces a paused answer that was given up
    /// for it goes to the fastest open server.
    pub(crate) fn has_time_to_retry(&self, r: &Request, now: Millis) -> bool {
        let is_replacement = r.attempts.iter().any(Attempt::was_cancelled);
        let latency = if is_replacement { self.replacement_latency(r) } else { self.expected_latency(r) };
        now + latency < r.due_at - ANSWER_MARGIN_MS
    }

    /// Whether the number of attempts in flight allows another one.
    pub(crate) fn may_send_beside(&self, r: &Request) -> bool {
        r.in_flight() < self.max_concurrent_by_class[r.class]
    }

    /// Whether a request may return to a server that has failed to answer it: no attempt is in flight, no other server is left,
    /// and the failure lies back by the time of a first closing, which doubles with each attempt there. A server that
    /// was full is spared.
    pub(crate) fn may_return(&self, k: usize, r: &Request, now: Millis) -> bool {
        let attempts_there = || r.attempts.iter().filter(|a| a.server == k);
        let doublings = attempts_there().count().saturating_sub(1).min(MAX_DOUBLINGS) as i32;
        let rest = FIRST_BACKOFF_MS * 2f64.powi(doublings);
        let has_rested = |a: &Attempt| {
            a.end.as_ref().is_some_and(|end| now - end.at >= rest && !end.outcome.is_rejection())
        };
        self.is_harmless(r)
            && !r.running()
            && attempts_there().all(has_rested)
            && !self.has_untried_server(r, now)
    }

    /// Whether repeating a request can have no second effect, wherever it is sent.
    pub(crate) fn is_harmless(&self, r: &Request) -> bool {
        self.cfg.classes[r.class].effect == Effect::Safe || !r.may_have_run()
    }

    /// Whether a listed server that is not closed has not been tried.
    fn has_untried_server(&self, r: &Request, now: Millis) -> bool {
        self.servers.iter().enumerate().any(|(k, s)| {
            let is_closed = s.health.closed_until > now || s.is_closed_for(r.class, now);
            s.withdrawn_at.is_none() && !is_closed && !r.tried(k)
        })
    }
}
