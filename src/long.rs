//! Requests and answers that take long to pass. A slow reader or writer is not a slow server: a server is charged for a
//! request from the request's last byte to the answer's first.
use crate::interface::*;
use crate::state::Balancer;

impl Balancer {
    /// A request has begun to go out and may take long: meanwhile it takes no slot, and no time-out counts.
    pub(crate) fn uploading(&mut self, now: Millis, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.last_mut().filter(|a| !a.over && !a.silent) else { return };
        (a.silent, a.sent) = (true, f64::INFINITY);
        (r.aim, r.due) = (f64::INFINITY, f64::INFINITY);
        let k = a.server;
        self.servers[k].own -= 1;
        self.running.retain(|o| *o != id);
        self.place(k, now);
    }

    /// It has gone out: from now on its server is at work, and its client waits.
    pub(crate) fn uploaded(&mut self, now: Millis, id: RequestId, budget: Millis) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        (r.aim, r.due) = (now + self.cfg.classes[r.class].aim.min(budget), now + budget);
        let Some(a) = r.attempts.last_mut().filter(|a| !a.over && a.sent.is_infinite()) else { return };
        (a.silent, a.sent) = (false, now);
        let s = &mut self.servers[a.server];
        s.progress = if s.own == 0 { now } else { s.progress };
        s.own += 1;
        self.running.push(id);
        let k = a.server;
        self.place(k, now);
    }

    /// The client owns an answer that has begun. Its server has done its work: what is left is up to who reads.
    pub(crate) fn started(&mut self, now: Millis, id: RequestId, attempt: usize) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.started = true;
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| !a.over) else { return };
        let k = a.server;
        self.servers[k].progress = now;
        if !std::mem::replace(&mut a.silent, true) {
            self.servers[k].own -= 1;
        }
        self.running.retain(|o| *o != id);
        self.place(k, now);
    }
}
