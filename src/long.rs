//! Requests and answers that take long to transfer. A slow client is not a slow server, so a server is charged for a
//! request only from the last byte of the request to the first byte of the answer.
use crate::interface::*;
use crate::state::Balancer;

impl Balancer {
    /// A long upload has begun. Until it is complete, the request takes no slot and no timeout applies.
    pub(crate) fn uploading(&mut self, now: Millis, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.last_mut().filter(|a| !a.ended && !a.silent) else { return };
        (a.silent, a.sent) = (true, f64::INFINITY);
        (r.aim_at, r.due_at) = (f64::INFINITY, f64::INFINITY);
        let k = a.server;
        self.servers[k].own_attempts -= 1;
        self.running.retain(|o| *o != id);
        self.update_open(k, now);
    }

    /// The upload is complete: from now on the server works on the request and the client waits.
    pub(crate) fn uploaded(&mut self, now: Millis, id: RequestId, budget: Millis) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        (r.aim_at, r.due_at) = (now + self.cfg.classes[r.class].aim.min(budget), now + budget);
        let Some(a) = r.attempts.last_mut().filter(|a| !a.ended && a.sent.is_infinite()) else { return };
        (a.silent, a.sent) = (false, now);
        let s = &mut self.servers[a.server];
        s.last_progress = if s.own_attempts == 0 { now } else { s.last_progress };
        s.own_attempts += 1;
        self.running.push(id);
        let k = a.server;
        self.update_open(k, now);
    }

    /// The answer has begun and cannot be replaced. The server's work is done; the rest depends on how fast the client
    /// reads.
    pub(crate) fn started(&mut self, now: Millis, id: RequestId, attempt: usize) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.started = true;
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| !a.ended) else { return };
        let k = a.server;
        self.servers[k].last_progress = now;
        if !std::mem::replace(&mut a.silent, true) {
            self.servers[k].own_attempts -= 1;
        }
        self.running.retain(|o| *o != id);
        self.update_open(k, now);
    }
}
