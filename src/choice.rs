//! Decisions of one proxy, in the order in which a request meets them: queue and threshold; speeds and slots;
//! health; attempts, timeouts, final answers; cold starts and drains; discovery and peers.
//!
//! Types, settings, events and actions are in `src/interface.rs`, records and bookkeeping in `src/state.rs`.
//! `docs/design.md` describes the mechanism and its extensions; formula numbers are those of the paper named
//! there. Times are in ms.
use crate::interface::*;
use crate::message::{HEADER_BYTES, MESSAGE_BYTES, pack, pack_limits};
use crate::slots::{CLASS_MIN_ANSWERS, REQUESTS_PER_CORE};
use crate::state::*;

/// Interval between checks of waiting and running requests, in ms; below the tolerance of the rules.
pub(crate) const TICK_MS: Millis = 20.0;
/// Ticks between reviews of all servers.
const REVIEW_TICKS: u64 = 5;
/// Time before the end of a running request's usefulness at which its final answer is sent, in ms.
const ANSWER_LEAD_MS: Millis = 6.0;
/// Time before its due time at which a final answer is sent, in ms.
pub(crate) const ANSWER_MARGIN_MS: Millis = 2.0 * TICK_MS + 5.0;
/// Number of speed bands. Servers of one band tie, and ties are broken at random.
pub(crate) const SPEED_BANDS: usize = 48;
/// Ratio of speeds within which servers tie; finer differences are noise.
pub(crate) const BAND_RATIO: f64 = 1.2;
/// Answers over which a server's latency is averaged.
const SERVER_LATENCY_SAMPLES: f64 = 12.0;
/// An answer counts in the mean of its kind with at most this multiple of that mean.
const KIND_OUTLIER_FACTOR: f64 = 2.0;
/// Weight of the kind's mean in a server's latency, in answers; a server with fewer answers follows mostly its kind.
const KIND_WEIGHT_SAMPLES: f64 = 6.0;
/// Answers over which the latency of a class or a kind is averaged.
const CLASS_LATENCY_SAMPLES: f64 = 100.0;
/// Answers over which the spread of latency is averaged; long, because tail values are rare.
pub(crate) const LATENCY_SPREAD_SAMPLES: f64 = 1000.0;
/// Time constant of the average arrival rate, in ms.
pub(crate) const ARRIVAL_RATE_SPAN_MS: Millis = 2000.0;
/// Waiting requests examined in vain before a pass over the queues gives up.
const MAX_QUEUE_LOOKS: usize = 6;
/// Latency at which a kind counts as congested, as a multiple of its baseline.
const CONGESTED_RATIO: f64 = 1.6;
/// Factor by which the baseline latency may rise per review: about 10 % in ten seconds.
const BASELINE_RISE: f64 = 1.001;
/// The same factor at the minimum throttle: if the fewest slots don't end the congestion, the baseline was too low.
const BASELINE_FAST_RISE: f64 = 1.01;
/// Answers before a kind's baseline latency is taken: the minimum of a few samples is too low.
const BASELINE_MIN_SAMPLES: f64 = 60.0;
/// Smallest fraction of its slots that a congested kind keeps.
const MIN_THROTTLE: f64 = 0.3;
/// Fraction of its slots that a kind gets before it is measured, so that congestion at start is not taken as baseline.
pub(crate) const UNMEASURED_THROTTLE: f64 = 0.5;
/// Fraction of the aim above which an answer's latency shows that the shared servers are congested.
pub(crate) const LATE_AIM_FRACTION: f64 = 0.5;
/// Minimum in-flight window of a proxy, in requests.
pub(crate) const MIN_WINDOW: f64 = 4.0;
/// Bands by which another proxy's slot ranks slower than an own one, as two proxies may take it at once.
const BORROW_BAND_PENALTY: usize = 3;
/// Factor on the price of crossing zones when it is counted as a delay, since aims leave slack.
const CROSSING_PRICE_FACTOR: f64 = 3.0;
/// Scale on which slack lowers a request's priority, as a fraction of the aim.
const SLACK_SCALE: f64 = 0.5;
/// Weight of a failure in a server's failure rate (a moving average); two in a row close the server.
const FAILURE_GAIN: f64 = 0.3;
/// Failure rate above which a server is closed, unless [`AMBIENT_FAILURE`] gives a higher threshold.
pub(crate) const CLOSE_FAILURE_RATE: f64 = 0.4;
/// Multiple of the median server's failure rate that also has to be exceeded, and the upper bound of that threshold.
const AMBIENT_FAILURE: (f64, f64) = (3.0, 0.85);
/// Duration of the first closing, in ms; doubles with each failed trial.
pub(crate) const FIRST_BACKOFF_MS: Millis = 250.0;
/// Longest closing, in ms: a recovered server is found again within this time.
const MAX_BACKOFF_MS: Millis = 4000.0;
/// Silence after which a server counts as hung, in expected latencies.
const HANG_LATENCIES: f64 = 5.0;
/// Time within which most attempts are answered, in expected latencies.
pub(crate) const FAIR_LATENCIES: f64 = 3.0;
/// Factor by which the closing of a server for one class lasts longer than a closing for all classes.
pub(crate) const CLASS_BACKOFF_FACTOR: f64 = 4.0;
/// Fraction of servers closed, in total or for one class, above which closings are ignored.
const DISTRUST_CLOSED_FRACTION: f64 = 0.9;
/// Fraction of servers closed above which closings are ignored if no larger fraction of attempts is served.
const DISTRUST_FAILING_FRACTION: f64 = 0.5;
/// Bounds of the `retry_after` given to refused clients, in ms.
const RETRY_AFTER_MS: (Millis, Millis) = (50.0, MAX_BACKOFF_MS);
/// Retries that each arrival adds to the retry budget: the most that a proxy adds to the load in a retry storm.
const RETRIES_PER_ARRIVAL: f64 = 0.15;
/// Load that all proxies together send to a cold server, as a fraction of the load that makes it fall over.
const COLD_LOAD_FRACTION: f64 = 0.5;
/// Time for which unused sends to a cold server accumulate, as a fraction of the `fall_ms` limit.
const COLD_BURST_FRACTION: f64 = 0.25;
/// Largest fraction of a cold server's budget that one request may take.
const COLD_REQUEST_FRACTION: f64 = 0.25;
/// Age up to which peers' messages can show that a server is idle, as a fraction of a request's latency.
const IDLE_NEWS_FRACTION: f64 = 0.3;
/// Bounds of the delay before discovery is asked again, in ms. However often a call fails, a change of the list
/// counts as announced within 6 s.
pub const DISCOVERY_RETRY_MS: (Millis, Millis) = (100.0, 450.0);
/// Full messages that a proxy may spend for each request it receives.
const MESSAGES_PER_REQUEST: f64 = 0.6;
/// Age at which a peer's message expires, in ms.
pub(crate) const PEER_STALE_MS: Millis = 500.0;

/// The largest τ in 0..=m(R−1) for which (3.3) is negative.
///
/// τ/(1−ρ) + (ρ^τ−1)/(1−ρ)² is the sum of g_k over k < τ, with g_0 = 0 and g_{k+1} = 1 + ρ·g_k. This form has
/// no division and also holds at ρ = 1, so that value needs no special case.
pub fn threshold(m: f64, rho: f64, ratio: f64) -> u32 {
    let top = m * (ratio - 1.0);
    let (mut blocked, load) = (1.0, m * rho); // Erlang B by its stable recursion
    for k in 1..=(m.round() as u32).max(1) {
        blocked = load * blocked / (f64::from(k) + load * blocked);
    }
    let (mut tau, mut sum, mut g) = (0, 0.0, 0.0);
    while f64::from(tau + 1) <= top {
        sum += g;
        g = 1.0 + rho * g;
        if f64::from(tau + 1) + top * (rho - 1.0) + blocked * rho * (sum - top) >= 0.0 {
            break;
        }
        tau += 1;
    }
    tau
}

/// Closes a server for a time that doubles with each call. It is reopened on trial, one request at a time.
pub(crate) fn close_server(h: &mut Health, now: Millis, span: Millis) {
    (h.closed_until, h.backoff, h.on_trial) = (now + span, (2.0 * h.backoff).min(MAX_BACKOFF_MS), true);
}

#[allow(clippy::too_many_arguments)]
impl Balancer {
    /// Handles one event and appends the resulting actions to `out`, in order. `now` must never decrease.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if self.ticks == 0 {
            (self.ticks, self.rate_at, self.last_message_at) = (1, now, now);
            out.push(Action::Timer { token: 0, at: now + self.rng.f64() * TICK_MS });
        }
        match event {
            Event::List { scope, entries } => self.update_list(now, scope, entries),
            Event::Settings(change) => self.apply_settings(now, *change),
            Event::Request { id, class, tenant, key, budget, hint } => {
                self.admit(now, id, class.0, tenant, key, budget, hint, out);
            }
            Event::Uploading(id) => self.uploading(now, id),
            Event::Uploaded { request, budget } => self.uploaded(now, request, budget),
            Event::Started { request, attempt } => self.started(now, request, attempt as usize),
            Event::Responding { request, attempt } => self.responding(now, request, attempt as usize),
            Event::Paused { request, attempt } => self.paused(now, request, attempt as usize),
            Event::Stalled { backend, class, is_stalled } => self.stalled(now, backend, class.0, is_stalled),
            Event::Ended { request, attempt, latency, outcome, closed, .. } => {
                self.ended(now, request, attempt as usize, latency, outcome, closed, out);
            }
            Event::Abandoned(id) => self.finish(id),
            Event::Timer(0) => self.tick(now, out),
            Event::Timer(token) => self.answer(now, RequestId(token - 1), out), // the deadline has been reached
            Event::Message { from, bytes } => return self.receive(now, from as usize, &bytes),
        }
        self.send_waiting(now, out);
        self.shed(now, out);
    }

    // ---- queue and threshold ----

    fn admit(
        &mut self, now: Millis, id: RequestId, class: usize, tenant: Option<TenantId>, key: Option<Key>,
        budget: Millis, hint: Option<Millis>, out: &mut Vec<Action>,
    ) {
        self.arrivals += 1.0;
        self.retry_budget = (self.retry_budget + RETRIES_PER_ARRIVAL).min(20.0);
        self.message_credit = (self.message_credit
            + MESSAGES_PER_REQUEST * MESSAGE_BYTES as f64 / f64::from(self.cfg.proxies))
        .min(2.0 * MESSAGE_BYTES as f64);
        let over_share = tenant.is_some_and(|t| !self.take_allowance(t.0));
        let home = key.filter(|_| self.cfg.warm_keys).and_then(|key| self.home_server(key, now));
        let (size, aim) = self.size_and_aim(class, hint);
        let (aim, key) = (now + aim.min(budget), key.map_or(0, |k| k.0));
        let request = Request::new(class, size, over_share, aim, now + budget, key, home);
        self.requests.insert(id, request);
        if budget < ANSWER_MARGIN_MS {
            return self.answer(now, id, out); // the next tick could come too late for a timely answer
        }
        self.enqueue(id, false);
    }

    /// The preferred (home) server of a key, by a hash that gives the same server at every proxy without messages.
    fn home_server(&mut self, key: Key, now: Millis) -> Option<usize> {
        let up =
            |s: &Server| s.withdrawn_at.is_none() && (s.health.closed_until <= now || self.distrust_health);
        let near = |a: &usize, b: &usize| self.score(*a, key.0).total_cmp(&self.score(*b, key.0));
        (0..self.servers.len()).filter(|&k| up(&self.servers[k])).min_by(near)
    }

    /// Sends waiting requests while the threshold permits, highest priority first.
    fn send_waiting(&mut self, now: Millis, out: &mut Vec<Action>) {
        // A queue whose head must wait is skipped, as later entries have no higher priority. Requests of one queue
        // differ in the servers they may use only if they have a home server or a previous attempt; then a few
        // more are examined.
        let (mut skip, mut looks_left) = (vec![0usize; self.queues.len()], MAX_QUEUE_LOOKS);
        while self.waiting > 0 && looks_left > 0 && self.running.len() < self.max_in_flight() {
            let mut best: Option<(f64, usize, RequestId)> = None;
            for (q, &skipped) in skip.iter().enumerate() {
                let Some(id) = self.waiting_at(q, skipped) else { continue };
                let priority = self.priority(&self.requests[&id], now);
                if best.is_none_or(|b| priority > b.0) {
                    best = Some((priority, q, id));
                }
            }
            let Some((_, q, id)) = best else { return };
            if let Some(k) = self.choose(now, id) {
                self.queues[q].remove(skip[q]);
                self.send(now, id, k, out);
            } else {
                let r = &self.requests[&id];
                skip[q] = if r.home.is_some() || !r.attempts.is_empty() { skip[q] + 1 } else { usize::MAX };
                looks_left -= 1;
            }
        }
    }

    /// A request's worth per unit of time that it takes.
    fn value(&self, r: &Request) -> f64 {
        let (c, work) = (&self.cfg.classes[r.class], self.class_ms[r.class].0.max(0.1) * r.size);
        let worth = if self.cfg.worth_by_work { c.worth * r.size } else { c.worth };
        worth / work * if r.over_share { self.cfg.over_share_worth } else { 1.0 }
    }

    /// A request's priority: its value, discounted by its slack. Under overload worth decides, otherwise urgency.
    fn priority(&self, r: &Request, now: Millis) -> f64 {
        let (c, work) = (&self.cfg.classes[r.class], self.class_ms[r.class].0.max(0.1) * r.size);
        let slack = r.aim_at - now - work;
        let part = if slack < 0.0 { c.late_worth } else { 1.0 };
        part * self.value(r) * (-slack.max(0.0) / (SLACK_SCALE * c.aim.max(1.0))).exp()
    }

    /// Sheds waiting requests above the `most_held` limit: the least valuable first, and among equals the newest,
    /// which would wait longest. Otherwise they would keep out more valuable requests.
    fn shed(&mut self, now: Millis, out: &mut Vec<Action>) {
        let most = self.cfg.limits.max_held;
        let over =
            |s: &Self| s.requests.len() > most && s.requests.values().filter(|r| !r.done).count() > most;
        while self.waiting > 0 && over(self) {
            let waits = |id: &&RequestId| self.requests.get(id).is_some_and(|r| r.waiting);
            let last = self.queues.iter().filter_map(|q| q.iter().rev().find(waits));
            let value = |id: &RequestId| self.value(&self.requests[id]);
            let Some(&id) = last.min_by(|a, b| value(a).total_cmp(&value(b))) else { return };
            self.answer(now, id, out);
        }
    }

    /// Gives a server's free slots to the requests that wait for it as their home, highest priority first.
    fn serve_home_queue(&mut self, now: Millis, k: usize, out: &mut Vec<Action>) {
        while self.servers[k].home_waiting > 0
            && self.servers[k].free_for_home
            && self.running.len() < self.max_in_flight()
        {
            let requests = &self.requests;
            self.servers[k].home_queue.retain(|id| requests.get(id).is_some_and(|r| r.waiting));
            let priority = |id: &RequestId| self.priority(&requests[id], now);
            let fits = |r: &Request| !r.may_have_run() && self.may_receive(k, r, now);
            let candidates = self.servers[k].home_queue.iter().filter(|id| fits(&requests[id]));
            let Some(&id) = candidates.max_by(|a, b| priority(a).total_cmp(&priority(b))) else { return };
            self.send(now, id, k, out);
        }
    }

    /// The server to which a request is sent now, or `None` to keep it waiting: the D policy of the paper.
    fn choose(&mut self, now: Millis, id: RequestId) -> Option<usize> {
        let r = self.requests.get(&id)?;
        if let Some((first, group, until)) = self.dedup_bound(r) {
            // Retried only on servers that drop its duplicate, and only within the dedup window.
            let (all, first) = (&self.servers, &self.servers[first]);
            let near = |k: &usize| all[*k].drops_repeats_of(first, group) && all[*k].open();
            let fits = |k: &usize| near(k) && self.may_receive(*k, r, now);
            let best = (0..all.len()).filter(fits).min_by(|a, b| all[*a].cost.total_cmp(&all[*b].cost));
            return best.filter(|_| now < until);
        }
        // A server on trial gets only requests that may be repeated, if any class is safe ...
        let safe_class = |c: &Class| c.effect == Effect::Safe;
        let safe = safe_class(&self.cfg.classes[r.class]) || !self.has_safe_class;
        let home = r.home.filter(|&h| !r.tried(h));
        // Near its aim a request may use any open server: waiting longer would lose its worth.
        let urgent = r.aim_at - now < 1.5 * self.expected_latency(r) + 2.0 * TICK_MS;
        let (mut m, mut sum) = (0.0, 0.0);
        for (index, band) in self.bands.bands.iter().enumerate() {
            let n = band.open.len();
            let start = if n > 1 { self.rng.usize(0..n) } else { 0 };
            let fits = |k: &usize| {
                let s = &self.servers[*k];
                // ... unless a safe class itself is on trial there: then other requests may test the server as well.
                let fails_safe_class =
                    || self.cfg.classes.iter().zip(&s.by_class).any(|(c, h)| safe_class(c) && h.on_trial);
                let trial_allowed = safe || !s.health.on_trial || self.distrust_health || fails_safe_class();
                trial_allowed && (urgent || s.free_for_home || home.is_some()) && self.may_receive(*k, r, now)
            };
            // Ties are broken at random, or by the key's hash, so that a key's overflow returns to the same servers.
            let near = |a: &usize, b: &usize| self.score(*a, r.key).total_cmp(&self.score(*b, r.key));
            let found = match home {
                Some(_) => band.open.iter().map(|&k| k as usize).filter(fits).min_by(near),
                None => (0..n.min(8)).map(|i| band.open[(start + i) % n] as usize).find(fits),
            };
            let Some(k) = found else {
                // Servers that the request has tried will not become available for it.
                let slots = self.bands.untried_slots(index, &self.servers, r);
                (m, sum) = (m + slots, sum + slots * band.speed);
                continue;
            };
            let Some((h, s)) = home.map(|h| (h, &self.servers[h])) else {
                // Faster servers that are closed to this class will not become available for it.
                let (m, sum) =
                    (m * (1.0 - self.closed_fraction[r.class]), sum * (1.0 - self.closed_fraction[r.class]));
                let go = m < 0.01 || urgent || {
                    let tau = threshold(m, self.arrival_rate * self.mean_ms / sum, sum / m / band.speed);
                    self.waiting > tau as usize
                };
                return go.then_some(k);
            };
            let warm = self.warm_gain / s.cost; // relative speed of the home server for its key
            if s.free_for_home {
                return Some(h);
            }
            // Here the home's slots are the fast servers, and the requests of all proxies that wait for it the queue.
            let n = f64::from(self.cfg.proxies);
            let rho = self.arrival_rate * n * s.info.rating / self.total_rating * self.mean_ms
                / (s.total_slots * warm);
            let tau = threshold(s.total_slots, rho, warm / band.speed);
            let go = urgent || f64::from(s.home_waiting) * n > f64::from(tau);
            return go.then_some(k);
        }
        home.filter(|&h| self.servers[h].free_for_home)
    }

    /// Whether a server may receive a request: it has not been tried or may be tried again, is not closed for the
    /// class (some servers leave one class unanswered and serve the rest), and the request is not heavy for a cold
    /// server.
    pub(crate) fn may_receive(&self, k: usize, r: &Request, now: Millis) -> bool {
        let (s, l) = (&self.servers[k], &self.cfg.limits);
        let closed =
            s.is_closed_for(r.class, now) && self.closed_fraction[r.class] <= DISTRUST_CLOSED_FRACTION;
        let heavy = s.in_cold_start
            && self.expected_latency(r)
                > COLD_REQUEST_FRACTION * l.fall_multiple * s.warm_fraction * l.fall_ms;
        (!r.tried(k) || self.may_return(k, r, now)) && !closed && !heavy
    }

    // ---- speeds and slots ----

    /// Updates a server's relative cost and speed band; crossing zones counts as a delay.
    fn update_cost(&mut self, k: usize, warm_fraction: f64, now: Millis) {
        let s = &self.servers[k];
        let kind = self.kinds[s.kind].relative_latency.0;
        let relative_latency = (s.relative_latency.0 * s.relative_latency.1 + kind * KIND_WEIGHT_SAMPLES)
            / (s.relative_latency.1 + KIND_WEIGHT_SAMPLES);
        let crosses = s.info.zone.is_some() && s.info.zone != self.cfg.zone;
        let cross = CROSSING_PRICE_FACTOR * self.cfg.prices.cross_zone * self.longest_aim / self.mean_ms;
        let cost = relative_latency / warm_fraction + if crosses { cross } else { 0.0 };
        let s = &mut self.servers[k];
        (s.cost, s.warm_fraction, s.band) = (cost, warm_fraction, self.bands.of(cost));
        self.update_open(k, now);
    }

    /// Updates whether a server is open, and whether for all requests or only for those with their home there.
    pub(crate) fn update_open(&mut self, k: usize, now: Millis) {
        let (s, ticks) = (&self.servers[k], self.ticks / REVIEW_TICKS);
        let (band, warm_fraction) = (s.band, s.warm_fraction);
        let unhealthy =
            s.health.closed_until > now || s.peer_blames > 1 && now - s.last_progress > PEER_STALE_MS;
        // Distrust of health reopens servers that look unhealthy, not those that are merely full.
        let usable = s.withdrawn_at.is_none() && (!unhealthy || self.distrust_health && !s.last_failure_full);
        let cold = s.in_cold_start && warm_fraction < 1.0;
        let allowed =
            usable && (!s.health.on_trial || s.own_attempts == 0) && (!cold || s.cold_tokens >= 1.0);
        let (held, usable_slots) = (f64::from(s.held()), s.total_slots * warm_fraction);
        let own = allowed
            && f64::from(s.own_attempts) < s.own_slots.max(if self.cfg.warm_keys { 1.0 } else { 0.0 });
        let (free, open) = if !self.cfg.messages_allowed {
            (own, own.then_some(band)) // without messages from peers, only this proxy's own slots are safe to use
        } else if own && held < usable_slots && s.own_slots > 0.0 {
            (true, Some(band))
        } else {
            // All proxies see the same idle slots of other proxies. Each may borrow only from a random subset of
            // the servers, redrawn every few ticks, so that about one proxy uses each idle slot.
            let chance = (usable_slots - held) / f64::from(self.cfg.proxies);
            let may_borrow = hash_to_unit(s.info.id.0 ^ ticks, u64::from(self.cfg.proxy_index)) < chance;
            let free = allowed && held + 0.5 < usable_slots;
            (free, (free && may_borrow).then(|| (band + BORROW_BAND_PENALTY).min(SPEED_BANDS - 1)))
        };
        let slots = if usable { s.own_slots * warm_fraction } else { 0.0 };
        self.servers[k].free_for_home = free;
        self.bands.file(&mut self.servers, k, band, slots, open);
    }

    /// Updates latency averages from an answer. Cold servers do not count in the means of their class and kind.
    fn learn_latency(&mut self, k: usize, class: usize, latency: Millis, home: bool, found_idle: bool) {
        self.learn_gain(k, class, latency, home, CLASS_LATENCY_SAMPLES);
        let s = &mut self.servers[k];
        let warm_fraction = s.warm_fraction;
        let factor = if home { 1.0 / self.warm_gain } else { 1.0 } / warm_fraction;
        let sample = (latency / (self.class_ms[class].0.max(0.01) * factor)).min(20.0);
        let relative = (sample / s.relative_latency.0.max(0.05)).min(HANG_LATENCIES); // larger values count as silence
        average(&mut self.latency_spread, relative * relative, LATENCY_SPREAD_SAMPLES);
        average(&mut s.relative_latency, sample, SERVER_LATENCY_SAMPLES);
        if warm_fraction >= 1.0 {
            average(
                &mut self.class_ms[class],
                latency / (s.relative_latency.0.max(0.05) * factor),
                CLASS_LATENCY_SAMPLES,
            );
            let kind = &mut self.kinds[s.kind];
            // Limits the effect of a few slow servers on the mean of the kind.
            let usual = sample.min(KIND_OUTLIER_FACTOR * kind.relative_latency.0);
            average(&mut kind.relative_latency, usual, CLASS_LATENCY_SAMPLES);
            if found_idle {
                average(&mut kind.idle_latency, usual * self.mean_ms, CLASS_LATENCY_SAMPLES);
            }
        }
    }

    // ---- health ----

    /// Updates a server's health from an attempt's outcome or its silence, in total and for the class, because
    /// some servers fail or ignore one class and look healthy by the others. This should also help where a build
    /// breaks one class or a class's own dependency fails; it does harm where a kind is inherently slow at one
    /// class. The closing for a class is longer, as each trial may cost a request.
    fn record_result(&mut self, k: usize, class: usize, good: bool, full: bool, now: Millis) {
        let s = &mut self.servers[k];
        (s.last_progress, s.last_failure_full) =
            if good { (now, s.last_failure_full) } else { (s.last_progress, full) };
        let jitter = 0.75 + 0.5 * self.rng.f64();
        // A failure common to all servers is no reason to close one: closing them one by one would leave none to
        // serve, and the few requests still sent would fail even more often.
        let limit = |i: usize| {
            CLOSE_FAILURE_RATE.max((AMBIENT_FAILURE.0 * self.median_failures[i]).min(AMBIENT_FAILURE.1))
        };
        let overall = (&mut s.health, limit(0), 1.0);
        for (h, limit, longer) in [overall, (&mut s.by_class[class], limit(class + 1), CLASS_BACKOFF_FACTOR)]
        {
            if good {
                h.failure_rate *= 1.0 - FAILURE_GAIN / 2.0;
                h.on_trial &= h.failure_rate > limit / 2.0;
                h.backoff = if h.on_trial { h.backoff } else { FIRST_BACKOFF_MS };
                // An answer also ends a closing that was caused by slowness only.
                h.closed_until =
                    if h.failure_rate < limit { h.closed_until.min(now) } else { h.closed_until };
            } else {
                h.failure_rate += FAILURE_GAIN * (1.0 - h.failure_rate);
                if h.failure_rate > limit && h.closed_until <= now {
                    close_server(h, now, longer * h.backoff * jitter);
                }
            }
        }
    }

    // ---- attempts, timeouts, final answers ----

    fn send(&mut self, now: Millis, id: RequestId, k: usize, out: &mut Vec<Action>) {
        // Only recent messages from peers can show that the server was idle.
        let found_idle = self.cfg.messages_allowed
            && self.message_interval < IDLE_NEWS_FRACTION * self.mean_ms
            && self.servers[k].held() == 0;
        let before = self.dedup_bound(&self.requests[&id]).map(|(.., until)| until);
        self.record_send(now, id, k, found_idle);
        let s = &mut self.servers[k];
        s.last_progress = if s.own_attempts == 0 { now } else { s.last_progress };
        s.own_attempts += 1;
        s.cold_tokens -= 1.0;
        out.push(Action::Send { request: id, backend: s.info.id, timeout: None, before });
        self.update_open(k, now);
    }

    fn ended(
        &mut self, now: Millis, id: RequestId, attempt: usize, latency: Millis, outcome: Outcome,
        closed: bool, out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| !a.has_ended()) else { return };
        a.end = Some(AttemptEnd { at: now, outcome });
        let (k, found_idle, silent, sent, held) =
            (a.server, a.found_idle, a.silent, a.sent, f64::from(a.held));
        let responded_after = a.responded_after;
        if outcome == Outcome::Cancelled && responded_after.is_some() {
            r.aim_at = r.due_at; // what replaces a begun answer is awaited as long as that was
        }
        let a = &mut r.attempts[attempt];
        let (class, size, home) = (r.class, r.size, r.home);
        if std::mem::take(&mut a.is_trial) {
            self.servers[k].by_class[class].is_tested = false;
        }
        r.done |= closed;
        if r.done || !r.awaits_response() {
            self.running.retain(|o| *o != id);
        }
        if !silent && matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            // Given up, but the server may still work on it: its slot stays taken until it has plausibly ended.
            self.abandoned_slots.push_back((now + 2.0 * self.class_ms[class].0, k));
        } else {
            self.servers[k].own_attempts -= u32::from(!silent); // a silent attempt has already released its slot
        }
        if !matches!(outcome, Outcome::NotSent | Outcome::Cancelled) {
            self.served_rate +=
                (f64::from(u8::from(outcome == Outcome::Served)) - self.served_rate) / CLASS_LATENCY_SAMPLES;
        }
        // A timeout is no sign of failure if the attempt was sent shortly before its client gave up.
        let fair = FAIR_LATENCIES * self.class_ms[class].0 * size * self.servers[k].relative_latency.0
            / self.servers[k].warm_fraction;
        let is_blamed = silent && responded_after.is_none();
        match outcome {
            Outcome::Served => {
                let latency = responded_after.unwrap_or(latency);
                self.adjust_window(latency < LATE_AIM_FRACTION * self.cfg.classes[class].aim);
                let mean = 0.5 * (held + f64::from(self.estimated_held(k) + 1));
                self.record_answer(now, k, class, sent, mean, latency / size, home == Some(k));
                self.learn_latency(k, class, latency / size, home == Some(k), found_idle);
                self.record_result(k, class, true, false, now);
                self.servers[k].by_class[class].is_stalled = false;
                if is_blamed && !self.requests[&id].started {
                    self.absolve(k, class, now);
                }
            }
            Outcome::NotSent | Outcome::Cancelled => {}
            Outcome::TimedOut if is_blamed || latency < fair => {} // already counted as a failure, or none
            _ if outcome.is_rejection() && self.record_rejection(now, k, sent, held) => {}
            _ => self.record_result(k, class, false, outcome.is_rejection(), now),
        }
        if outcome.is_rejection() {
            self.adjust_window(false);
        }
        self.update_open(k, now);
        self.serve_home_queue(now, k, out);
        let r = &self.requests[&id];
        if r.done {
            return self.finish(id);
        }
        if r.waiting || r.awaits_response() {
            return; // another attempt is under way
        }
        if !self.retry(now, id) {
            self.answer(now, id, out);
        }
    }

    /// Gives the final answer: a refusal if the request certainly had no effect, or if a retry at the suggested
    /// time would still be dropped as a duplicate; otherwise a failure. An answer that a server is writing is awaited
    /// until the client gives up.
    fn answer(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done && !r.started) else { return };
        if r.is_responding() && now + ANSWER_LEAD_MS < r.due_at {
            return self.dequeue(id);
        }
        let back = self.retry_after(id);
        let dropped = |(_, group, until)| group == Group::All && now + back < until;
        let harmless = self.is_harmless(r) || self.dedup_bound(r).is_some_and(dropped);
        let refuse = Action::Refuse { request: id, retry_after: Some(back) };
        out.push(if harmless { refuse } else { Action::Fail(id) });
        self.finish(id);
    }

    /// Time after which a refused client should retry: when this proxy's own slots have probably served all
    /// requests that wait now, with jitter so that clients refused together do not return together.
    fn retry_after(&self, id: RequestId) -> Millis {
        let served = self.bands.bands.iter().map(|b| b.slots * b.speed).sum::<f64>() / self.mean_ms;
        let wait = (self.waiting as f64 + 1.0) / served.max(1e-9);
        wait.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1) * (0.75 + 0.5 * hash_to_unit(id.0, 0))
    }

    /// Time until which answering a request is useful: its aim, or its due time if late answers have worth and the
    /// queue is no longer than the requests in flight.
    fn useful_until(&self, r: &Request) -> Millis {
        let late = self.cfg.classes[r.class].late_worth > 0.0;
        let congested = r.waiting && self.waiting > self.running.len();
        if late && !congested { r.due_at } else { r.aim_at.min(r.due_at) }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        out.push(Action::Timer { token: 0, at: now + TICK_MS });
        self.ticks += 1;
        self.update_counters(now, TICK_MS);
        for q in 0..self.queues.len() {
            let late = |r: &Request| {
                now + ANSWER_MARGIN_MS.max(0.5 * self.expected_latency(r)) > self.useful_until(r)
            };
            let useless = |id: &RequestId| self.requests.get(id).is_some_and(|r| r.waiting && late(r));
            let ids: Vec<RequestId> = self.queues[q].iter().copied().filter(useless).collect();
            ids.into_iter().for_each(|id| self.answer(now, id, out));
        }
        for i in (0..self.running.len()).rev() {
            self.check_running(now, self.running[i], out);
        }
        self.give_up_paused(now, out);
        if self.ticks.is_multiple_of(REVIEW_TICKS) {
            self.review(now);
        }
        if self.cfg.discovery == Discovery::OnRequest && !self.subscribed && now >= self.subscribe_at {
            self.subscribed = true;
            out.push(Action::Subscribe);
        }
        self.broadcast_state(now, out);
    }

    /// Checks a running request: whether its server is hung, and whether an answer is still useful.
    fn check_running(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let usual = self.expected_latency(r);
        let patience = |a: &Attempt| {
            HANG_LATENCIES * usual * self.servers[a.server].relative_latency.0.max(1.0)
                / self.warm_fraction(a.server, now)
        };
        let silent = |a: &Attempt| !a.has_ended() && !a.silent && now - a.sent > patience(a);
        if let Some(i) = r.attempts.iter().position(silent) {
            let (k, class, s) = (r.attempts[i].server, r.class, &self.servers[r.attempts[i].server]);
            let hung = s.health.closed_until <= now && now - s.last_progress > patience(&r.attempts[i]);
            self.record_result(k, class, false, false, now);
            let s = &mut self.servers[k];
            if hung {
                let span = s.health.backoff.max(HANG_LATENCIES * usual); // no other attempt has progressed there either
                close_server(&mut s.health, now, span);
            }
            s.own_attempts -= 1; // releases the slot for other classes
            self.requests.get_mut(&id).expect("just seen").attempts[i].silent = true;
            self.update_open(k, now);
        }
        let r = &self.requests[&id];
        if !r.done && !r.started && now + 1.5 * TICK_MS > self.useful_until(r) {
            out.push(Action::Timer { token: id.0 + 1, at: self.useful_until(r) - ANSWER_LEAD_MS });
        }
    }

    // ---- cold starts and drains ----

    /// Reviews all servers: slots, budgets of cold servers, ended closings, and the number that look unhealthy.
    fn review(&mut self, now: Millis) {
        self.mean_ms = self.mean_latency();
        for (class_scale, class) in self.class_scale.iter_mut().zip(&self.class_ms) {
            // Until a class's latency is known, its answers say nothing about congestion.
            *class_scale = if class.1 < CLASS_MIN_ANSWERS { 0.0 } else { self.mean_ms / class.0.max(0.01) };
        }
        self.mean_slots =
            self.servers.iter().map(|s| s.total_slots).sum::<f64>() / self.servers.len().max(1) as f64;
        for kind in self.kinds.iter_mut().filter(|k| k.relative_latency.1 >= BASELINE_MIN_SAMPLES) {
            // Overloaded servers are all equally slow and look as if they had more cores. To end such congestion,
            // a kind whose latency exceeds its baseline gets fewer slots until the latency is back.
            let latency = kind.relative_latency.0 * self.mean_ms;
            kind.throttle = if kind.baseline.is_finite() { kind.throttle } else { 1.0 }; // first measurement
            let creep = if kind.throttle > MIN_THROTTLE { BASELINE_RISE } else { BASELINE_FAST_RISE };
            kind.baseline = latency.min(kind.baseline * creep);
            kind.core_latency =
                if kind.idle_latency.1 >= KIND_WEIGHT_SAMPLES { kind.idle_latency.0 } else { kind.baseline };
            let baseline = kind.baseline.max(kind.core_latency * (1.0 + 0.5 / kind.cores));
            let step = (CONGESTED_RATIO * baseline / latency).clamp(0.95, 1.02);
            kind.throttle = (kind.throttle * step).clamp(MIN_THROTTLE, 1.0);
        }
        self.slowest_core_ms =
            self.kinds.iter().map(|k| k.core_latency).filter(|c| c.is_finite()).fold(0.0, f64::max);
        self.reclaim_vacant(now);
        self.review_limits(now);
        let (listed, closed) = self.count_servers(now);
        self.distrust_health = closed > DISTRUST_CLOSED_FRACTION * listed
            || closed > DISTRUST_FAILING_FRACTION * listed && self.served_rate < DISTRUST_FAILING_FRACTION;
        for k in 0..self.servers.len() {
            if k as u64 % 8 == self.ticks / REVIEW_TICKS % 8 {
                self.update_slots(k); // slots change slowly: an eighth of the servers per review
            }
            let warm_fraction = self.warm_fraction(k, now);
            let s = &mut self.servers[k];
            if s.in_cold_start && warm_fraction < 1.0 {
                // An equal share of the capacity of its kind, reduced to the fraction certainly available, so that
                // the server never falls over. Uses the baseline latency, because waits under congestion are not
                // work, and at most the rating, because learned limits belong to the previous process.
                let kind = &self.kinds[s.kind];
                let rated = if self.cfg.rating == Rating::Size { s.rated_slots } else { 1.0 };
                let capacity = s.total_slots.min(rated)
                    / REQUESTS_PER_CORE
                    / kind.core_latency.min(self.mean_ms * kind.relative_latency.0.max(0.2));
                let rate = COLD_LOAD_FRACTION * self.cfg.limits.fall_multiple * warm_fraction * capacity
                    / f64::from(self.cfg.proxies);
                s.cold_tokens += rate * (now - s.cold_tokens_at);
                s.cold_tokens_at = now;
                // Unused sends expire: saved up by many proxies, they could all arrive at once in a surge.
                let excess = s.cold_tokens - 1.0 - rate * COLD_BURST_FRACTION * self.cfg.limits.fall_ms;
                s.cold_tokens -= excess.max(0.0).ceil();
            }
            self.update_cost(k, warm_fraction, now);
        }
    }

    // ---- discovery and peers ----

    fn update_list(&mut self, now: Millis, scope: Scope, entries: Vec<Backend>) {
        if scope == Scope::Failed {
            // Ask again, with jitter so that the proxies do not ask all at once.
            let spread = (DISCOVERY_RETRY_MS.1 - DISCOVERY_RETRY_MS.0) * self.rng.f64();
            (self.subscribed, self.subscribe_at) = (false, now + DISCOVERY_RETRY_MS.0 + spread);
            return;
        }
        for k in self.record_all(now, scope == Scope::Full, entries) {
            let s = &mut self.servers[k];
            if s.restarted {
                // A new process is cold and its health record is reset. The random initial budget keeps the
                // proxies from all sending their first request at once.
                (s.restarted, s.in_cold_start, s.cold_tokens, s.cold_tokens_at) =
                    (false, true, self.rng.f64(), now);
                s.reset_health(now);
            }
            self.update_slots(k);
            self.update_cost(k, self.warm_fraction(k, now), now);
        }
    }

    /// Tells the other proxies which servers hold this proxy's attempts, as often as its byte budget allows.
    fn broadcast_state(&mut self, now: Millis, out: &mut Vec<Action>) {
        let cost = (HEADER_BYTES + 2 * (self.running.len() + self.abandoned_slots.len())) as f64;
        let due = self.message_credit >= cost || now - self.last_message_at > PEER_STALE_MS / 2.0;
        if self.cfg.messages_allowed && self.cfg.proxies > 1 && due {
            // Peers send about as often, so this also estimates the age of their messages.
            self.message_interval += 0.1 * (now - self.last_message_at - self.message_interval);
            (self.message_credit, self.last_message_at) = (self.message_credit - cost, now);
            out.push(Action::Broadcast(pack(self.cfg.zone, &self.servers, now)));
        }
        if self.cfg.messages_allowed && self.cfg.proxies > 1 && self.servers.iter().any(|s| s.limit_changed) {
            let changed =
                |s: &mut Server| std::mem::take(&mut s.limit_changed).then(|| (s.info.id, s.limit.known()));
            out.push(Action::Broadcast(pack_limits(self.servers.iter_mut().filter_map(changed))));
        }
    }
}
