//! Every decision of one proxy, in the order in which a request meets them: queue and threshold; speeds
//! and slots; health; attempts, time-outs, final answers; cold starts and drains; discovery and peers.
//!
//! Types, settings, events and actions: `src/interface.rs`. Records and plumbing: `src/state.rs`. Mechanism
//! and extensions: `docs/design.md`; formula numbers are those of the paper named there. Times are in ms.
use crate::interface::*;
use crate::message::{HEAD, MESSAGE, pack, pack_limits};
use crate::slots::{CLASS_KNOWN, FULLNESS};
use crate::state::*;

const TICK: Millis = 20.0; // how often waiting and running requests are looked over: within a rule's slack
const REVIEW: u64 = 5; // ticks between looks at all servers
const LEAST: Millis = 6.0; // a running request is answered for this long before it is of no more use
const MARGIN: Millis = 2.0 * TICK + 5.0; // a final answer goes out this long before it is due
pub(crate) const BANDS: usize = 48; // speed bands: servers of like speed tie, and ties are broken at random
pub(crate) const BAND_RATIO: f64 = 1.2; // speeds within this ratio tie: finer differences are noise
const SAMPLES: f64 = 12.0; // answers over which a server's latency is averaged
const OUTLIER: f64 = 2.0; // times its mean to which an answer counts in the mean of a kind
const KIND_WEIGHT: f64 = 6.0; // a server with fewer answers than this is judged mostly by its kind's mean
const CLASS_SAMPLES: f64 = 100.0; // answers over which a class's or a kind's latency is averaged
pub(crate) const SPREAD_SAMPLES: f64 = 1000.0; // answers over which their spread is averaged: tails are rare
pub(crate) const RATE_SPAN: Millis = 2000.0; // span over which the arrival rate is averaged
const LOOK: usize = 6; // requests looked at before a decision gives up on finding one that may go
const CROWDED: f64 = 1.6; // latency over its calm level at which a kind counts as crowded
const CALM_CREEP: f64 = 1.001; // by which the calm level may rise in a review: a tenth in ten seconds
const CALM_LEAP: f64 = 1.01; // and where the fewest slots bring no calm: it was taken for too low
const CALM_SAMPLES: f64 = 60.0; // answers before a kind's latency is measured: the least of few is too low
const THROTTLE_MIN: f64 = 0.3; // the least part of its slots that a crowded kind keeps
pub(crate) const UNMEASURED: f64 = 0.5; // part of a new kind's slots, lest a jam from the start pass for calm
pub(crate) const LATE: f64 = 0.5; // part of the aim past which an answer says that the pooled servers are crowded
pub(crate) const WINDOW_LEAST: f64 = 4.0; // requests that a proxy may always have out
const BORROW: usize = 3; // bands by which another proxy's slot counts slower: both may take it at once
const PULL: f64 = 3.0; // a crossing's price, as a delay, is counted this many times: aims leave slack
const SLACK_SCALE: f64 = 0.5; // part of the aim over which slack takes a request's urgency away
const FAIL_GAIN: f64 = 0.3; // weight of a failure in a server's failure mean: two in a row close it
const FAIL_CLOSE: f64 = 0.4; // failure mean above which a server is closed ...
const AMBIENT: (f64, f64) = (3.0, 0.85); // ... or this many times that of a middling one, up to a bound
pub(crate) const BACKOFF: Millis = 250.0; // first closing; doubles with each failed trial
const BACKOFF_MAX: Millis = 4000.0; // longest closing: a mended server is found again within this
const HANG: f64 = 5.0; // silence of this many expected latencies marks a server as hung
const FAIR: f64 = 3.0; // expected latencies within which most attempts are answered
const CLASS_BACKOFF: f64 = 4.0; // times as long a server stays closed to a class alone
const ALL_ILL: f64 = 0.9; // with more than this part closed, as a whole or to a class, it is not believed
const DISTRUST: f64 = 0.5; // nor with more than this part, if as few attempts are served
const COMEBACK: (Millis, Millis) = (50.0, BACKOFF_MAX); // spans for which a refused client is sent away
const RETRY_SHARE: f64 = 0.15; // further attempts per arrival: what a proxy may add in a storm
const COLD_SHARE: f64 = 0.5; // part of what pushes a cold server over that the proxies together send it
const COLD_KEPT: f64 = 0.25; // part of the span of a fall for which a send that it may have is kept for it
const COLD_PART: f64 = 0.25; // part of a cold server's budget that one request may take
const NEWS: f64 = 0.3; // part of a request's time within which others' word must come to show idleness
/// Span after which discovery is asked again: what it has to tell counts as told in 6 s, however often a call fails.
pub const ASK_AGAIN: (Millis, Millis) = (100.0, 450.0);
const TELL_SHARE: f64 = 0.6; // full messages a proxy may spend for each request it gets
pub(crate) const STALE: Millis = 500.0; // what a peer told longer ago no longer counts

/// The largest τ in 0..=m(R−1) for which (3.3) is negative.
///
/// τ/(1−ρ) + (ρ^τ−1)/(1−ρ)² is the sum of g_k over k < τ, with g_0 = 0 and g_{k+1} = 1 + ρ·g_k. That form
/// divides by nothing and holds at ρ = 1 too, so ρ needs no nudge.
pub fn threshold(m: f64, rho: f64, ratio: f64) -> u32 {
    let top = m * (ratio - 1.0);
    let (mut blocked, load) = (1.0, m * rho); // Erlang-B by its stable recursion
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

/// Closes a server for a while, longer each time; it comes back by one request at a time.
fn close(h: &mut Health, now: Millis, span: Millis) {
    (h.closed, h.backoff, h.trial) = (now + span, (2.0 * h.backoff).min(BACKOFF_MAX), true);
}

#[allow(clippy::too_many_arguments)]
impl Balancer {
    /// Takes in one event and appends what is to be done, in order. `now` never runs backwards.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if self.ticks == 0 {
            (self.ticks, self.rate_at, self.told_at) = (1, now, now);
            out.push(Action::Timer { token: 0, at: now + self.rng.f64() * TICK });
        }
        match event {
            Event::List { scope, entries } => self.list(now, scope, entries),
            Event::Settings(change) => self.change(now, *change),
            Event::Request { id, class, tenant, key, budget, hint } => {
                self.arrive(now, id, class.0, tenant, key, budget, hint, out);
            }
            Event::Uploading(id) => self.uploading(now, id),
            Event::Uploaded { request, budget } => self.uploaded(now, request, budget),
            Event::Started { request, attempt } => self.started(now, request, attempt as usize),
            Event::Ended { request, attempt, latency, outcome, closed, .. } => {
                self.ended(now, request, attempt as usize, latency, outcome, closed, out);
            }
            Event::Abandoned(id) => self.finish(id),
            Event::Timer(0) => self.tick(now, out),
            Event::Timer(token) => self.answer(now, RequestId(token - 1), out), // its time is up
            Event::Message { from, bytes } => return self.hear(now, from as usize, &bytes),
        }
        self.pump(now, out);
        self.shed(now, out);
    }

    // ---- queue and threshold ----

    fn arrive(
        &mut self, now: Millis, id: RequestId, class: usize, tenant: Option<TenantId>, key: Option<Key>,
        budget: Millis, hint: Option<Millis>, out: &mut Vec<Action>,
    ) {
        self.arrivals += 1.0;
        self.retries = (self.retries + RETRY_SHARE).min(20.0);
        self.credit = (self.credit + TELL_SHARE * MESSAGE as f64 / f64::from(self.cfg.proxies))
            .min(2.0 * MESSAGE as f64);
        let over_share = tenant.is_some_and(|t| !self.within_share(t.0));
        let home = key.filter(|_| self.cfg.warm_keys).and_then(|key| self.home(key, now));
        let (size, aim) = self.size_and_aim(class, hint);
        let (aim, key) = (now + aim.min(budget), key.map_or(0, |k| k.0));
        let request = Request::new(class, size, over_share, aim, now + budget, key, home);
        self.requests.insert(id, request);
        if budget < MARGIN {
            return self.answer(now, id, out); // the next look could come too late for an answer in time
        }
        self.enqueue(id, false);
    }

    /// The server that a key's requests prefer: the same at every proxy, without a word between them.
    fn home(&mut self, key: Key, now: Millis) -> Option<usize> {
        let up = |s: &Server| s.told.is_none() && (s.health.closed <= now || self.doubt);
        let near = |a: &usize, b: &usize| self.score(*a, key.0).total_cmp(&self.score(*b, key.0));
        (0..self.servers.len()).filter(|&k| up(&self.servers[k])).min_by(near)
    }

    /// Sends waiting requests while the threshold lets them go, the most pressing first.
    fn pump(&mut self, now: Millis, out: &mut Vec<Action>) {
        // A queue whose head must wait is passed over: those behind it are no more pressing. Only with homes
        // or after an attempt do requests differ in where they may go, and a few more are looked at.
        let (mut skip, mut looks) = (vec![0usize; self.queues.len()], LOOK);
        while self.waiting > 0 && looks > 0 && self.running.len() < self.most_out() {
            let mut best: Option<(f64, usize, RequestId)> = None;
            for (q, &skipped) in skip.iter().enumerate() {
                let Some(id) = self.waiting_at(q, skipped) else { continue };
                let press = self.press(&self.requests[&id], now);
                if best.is_none_or(|b| press > b.0) {
                    best = Some((press, q, id));
                }
            }
            let Some((_, q, id)) = best else { return };
            if let Some(k) = self.choose(now, id) {
                self.queues[q].remove(skip[q]);
                self.send(now, id, k, out);
            } else {
                let r = &self.requests[&id];
                skip[q] = if r.home.is_some() || !r.attempts.is_empty() { skip[q] + 1 } else { usize::MAX };
                looks -= 1;
            }
        }
    }

    /// What a request is worth for the time it takes.
    fn value(&self, r: &Request) -> f64 {
        let (c, work) = (&self.cfg.classes[r.class], self.class_ms[r.class].0.max(0.1) * r.size);
        let worth = if self.cfg.worth_by_work { c.worth * r.size } else { c.worth };
        worth / work * if r.over_share { self.cfg.over_share_worth } else { 1.0 }
    }

    /// How pressing a request is: its value, discounted by its slack. Worth decides under overload, urgency
    /// else.
    fn press(&self, r: &Request, now: Millis) -> f64 {
        let (c, work) = (&self.cfg.classes[r.class], self.class_ms[r.class].0.max(0.1) * r.size);
        let slack = r.aim - now - work;
        let part = if slack < 0.0 { c.late_worth } else { 1.0 };
        part * self.value(r) * (-slack.max(0.0) / (SLACK_SCALE * c.aim.max(1.0))).exp()
    }

    /// Gives up what waits beyond the requests that may be held, the least valuable first and among their
    /// like the last to come, which would wait longest. Held on, they would keep better ones out.
    fn shed(&mut self, now: Millis, out: &mut Vec<Action>) {
        let most = self.cfg.limits.most_held;
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

    /// Gives a server's free slots to those who wait for it as their home, the most pressing first.
    fn serve(&mut self, now: Millis, k: usize, out: &mut Vec<Action>) {
        while self.servers[k].wanted > 0 && self.servers[k].free && self.running.len() < self.most_out() {
            let requests = &self.requests;
            self.servers[k].line.retain(|id| requests.get(id).is_some_and(|r| r.waiting));
            let press = |id: &RequestId| self.press(&requests[id], now);
            let fits = |r: &Request| !r.may_have_run() && self.suits(k, r, now);
            let line = self.servers[k].line.iter().filter(|id| fits(&requests[id]));
            let Some(&id) = line.max_by(|a, b| press(a).total_cmp(&press(b))) else { return };
            self.send(now, id, k, out);
        }
    }

    /// The server to which a request goes now, or `None` to hold it: the paper's D policy.
    fn choose(&mut self, now: Millis, id: RequestId) -> Option<usize> {
        let r = self.requests.get(&id)?;
        if let Some((first, group, until)) = self.bound(r) {
            // Resent only where its repeat is dropped, and only while it is remembered.
            let (all, first) = (&self.servers, &self.servers[first]);
            let near = |k: &usize| all[*k].drops_repeats_of(first, group) && all[*k].open();
            let fits = |k: &usize| near(k) && self.suits(*k, r, now);
            let best = (0..all.len()).filter(fits).min_by(|a, b| all[*a].cost.total_cmp(&all[*b].cost));
            return best.filter(|_| now < until);
        }
        // A server back from a closing is tried with what may be repeated, if there is such traffic at all.
        let safe_class = |c: &Class| c.effect == Effect::Safe;
        let safe = safe_class(&self.cfg.classes[r.class]) || !self.some_safe;
        let home = r.home.filter(|&h| !r.tried(h));
        // Near its aim a request goes to any open server: holding it further would cost its worth.
        let urgent = r.aim - now < 1.5 * self.usual(r) + 2.0 * TICK;
        let (mut m, mut sum) = (0.0, 0.0);
        for band in &self.bands.bands {
            let n = band.open.len();
            let start = if n > 1 { self.rng.usize(0..n) } else { 0 };
            let fits = |k: &usize| {
                let s = &self.servers[*k];
                // ... or where what may be repeated is what it leaves unanswered.
                let mute = || self.cfg.classes.iter().zip(&s.by_class).any(|(c, h)| safe_class(c) && h.trial);
                let sound = safe || !s.health.trial || self.doubt || mute();
                sound && (urgent || s.free || home.is_some()) && self.suits(*k, r, now)
            };
            // Ties are broken at random; with a key, by its hash, so that its overflow too meets it again.
            let near = |a: &usize, b: &usize| self.score(*a, r.key).total_cmp(&self.score(*b, r.key));
            let found = match home {
                Some(_) => band.open.iter().map(|&k| k as usize).filter(fits).min_by(near),
                None => (0..n.min(8)).map(|i| band.open[(start + i) % n] as usize).find(fits),
            };
            let Some(k) = found else {
                (m, sum) = (m + band.slots, sum + band.slots * band.speed);
                continue;
            };
            let Some((h, s)) = home.map(|h| (h, &self.servers[h])) else {
                // Of the faster servers those closed to this class won't come free for it.
                let (m, sum) = (m * (1.0 - self.blocked[r.class]), sum * (1.0 - self.blocked[r.class]));
                let go = m < 0.01 || urgent || {
                    let tau = threshold(m, self.rate * self.mean / sum, sum / m / band.speed);
                    self.waiting > tau as usize
                };
                return go.then_some(k);
            };
            let warm = self.gain / s.cost; // for its key the home is a faster server
            if s.free {
                return Some(h);
            }
            // The home's slots are the faster ones, and those who wait for it over all proxies the queue.
            let n = f64::from(self.cfg.proxies);
            let rho = self.rate * n * s.info.rating / self.rating * self.mean / (s.room * warm);
            let tau = threshold(s.room, rho, warm / band.speed);
            let go = urgent || f64::from(s.wanted) * n > f64::from(tau);
            return go.then_some(k);
        }
        home.filter(|&h| self.servers[h].free)
    }

    /// Whether a server may get a request: first time there, its class not closed there (some servers leave
    /// one class unanswered and serve the rest), and nothing heavy while it is cold.
    fn suits(&self, k: usize, r: &Request, now: Millis) -> bool {
        let (s, l) = (&self.servers[k], &self.cfg.limits);
        let closed = s.by_class[r.class].closed > now && self.blocked[r.class] <= ALL_ILL;
        let heavy = s.fresh && self.usual(r) > COLD_PART * l.fall_multiple * s.warmth * l.fall;
        !r.tried(k) && !closed && !heavy
    }

    // ---- speeds and slots ----

    /// Judges anew how fast a server is, crossings counted as a delay.
    fn rate(&mut self, k: usize, warmth: f64, now: Millis) {
        let s = &self.servers[k];
        let kind = self.kinds[s.kind].slow.0;
        let slow = (s.slow.0 * s.slow.1 + kind * KIND_WEIGHT) / (s.slow.1 + KIND_WEIGHT);
        let crosses = s.info.zone.is_some() && s.info.zone != self.cfg.zone;
        let cross = PULL * self.cfg.prices.cross_zone * self.longest_aim / self.mean;
        let cost = slow / warmth + if crosses { cross } else { 0.0 };
        let s = &mut self.servers[k];
        (s.cost, s.warmth, s.band) = (cost, warmth, self.bands.of(cost));
        self.place(k, now);
    }

    /// Judges anew whether a server is open, and to whom.
    pub(crate) fn place(&mut self, k: usize, now: Millis) {
        let (s, ticks) = (&self.servers[k], self.ticks / REVIEW);
        let (band, warmth) = (s.band, s.warmth);
        let ill = s.health.closed > now || s.blame > 1 && now - s.progress > STALE;
        // Doubt opens servers that look ill, not those that are merely full.
        let usable = s.told.is_none() && (!ill || self.doubt && !s.full);
        let cold = s.fresh && warmth < 1.0;
        let allowed = usable && (!s.health.trial || s.own == 0) && (!cold || s.tokens >= 1.0);
        let (held, room) = (f64::from(s.held()), s.room * warmth);
        let own = allowed && f64::from(s.own) < s.mine.max(if self.cfg.warm_keys { 1.0 } else { 0.0 });
        let (free, open) = if !self.cfg.may_tell {
            (own, own.then_some(band)) // no word from others: only what is surely this proxy's
        } else if own && held < room && s.mine > 0.0 {
            (true, Some(band))
        } else {
            // All proxies see the same idle slots of others. Each may borrow at a random part of the servers
            // only, drawn anew every few ticks, so that about one proxy comes for each idle slot.
            let chance = (room - held) / f64::from(self.cfg.proxies);
            let lucky = draw(s.info.id.0 ^ ticks, u64::from(self.cfg.me)) < chance;
            let free = allowed && held + 0.5 < room;
            (free, (free && lucky).then(|| (band + BORROW).min(BANDS - 1)))
        };
        let slots = if usable { s.mine * warmth } else { 0.0 };
        self.servers[k].free = free;
        self.bands.file(&mut self.servers, k, band, slots, open);
    }

    /// Learns from an answer how slow a server is; failures and cold servers prove nothing of their like.
    fn learn(&mut self, k: usize, class: usize, latency: Millis, home: bool, lone: bool) {
        self.learn_gain(k, class, latency, home, CLASS_SAMPLES);
        let s = &mut self.servers[k];
        let warmth = s.warmth;
        let factor = if home { 1.0 / self.gain } else { 1.0 } / warmth;
        let sample = (latency / (self.class_ms[class].0.max(0.01) * factor)).min(20.0);
        let relative = (sample / s.slow.0.max(0.05)).min(HANG); // more counts as silence
        average(&mut self.spread, relative * relative, SPREAD_SAMPLES);
        average(&mut s.slow, sample, SAMPLES);
        if warmth >= 1.0 {
            average(&mut self.class_ms[class], latency / (s.slow.0.max(0.05) * factor), CLASS_SAMPLES);
            let kind = &mut self.kinds[s.kind];
            let usual = sample.min(OUTLIER * kind.slow.0); // a few slow servers are not the kind
            average(&mut kind.slow, usual, CLASS_SAMPLES);
            if lone {
                average(&mut kind.lone, usual * self.mean, CLASS_SAMPLES);
            }
        }
    }

    // ---- health ----

    /// Judges a server by how an attempt ended or that it is silent, as a whole and for the class alone: some
    /// fail or ignore one class and look well by the others. Should help too where a build breaks one class
    /// or a class's own dependency fails; harms where a kind is slow by nature at one class. A class's
    /// closing is longer, as each trial may cost a request.
    fn judge(&mut self, k: usize, class: usize, good: bool, full: bool, now: Millis) {
        let s = &mut self.servers[k];
        (s.progress, s.full) = if good { (now, s.full) } else { (s.progress, full) };
        let jitter = 0.75 + 0.5 * self.rng.f64();
        // What befalls all alike is no fault of one: closed for it one by one, they would leave nobody to
        // serve, and the few requests that still go out would meet the more failures.
        let limit = |i: usize| FAIL_CLOSE.max((AMBIENT.0 * self.ambient[i]).min(AMBIENT.1));
        let whole = (&mut s.health, limit(0), 1.0);
        for (h, limit, longer) in [whole, (&mut s.by_class[class], limit(class + 1), CLASS_BACKOFF)] {
            if good {
                h.fails *= 1.0 - FAIL_GAIN / 2.0;
                h.trial &= h.fails > limit / 2.0;
                h.backoff = if h.trial { h.backoff } else { BACKOFF };
                // An answer also lifts a closing that was mere slowness.
                h.closed = if h.fails < limit { h.closed.min(now) } else { h.closed };
            } else {
                h.fails += FAIL_GAIN * (1.0 - h.fails);
                if h.fails > limit && h.closed <= now {
                    close(h, now, longer * h.backoff * jitter);
                }
            }
        }
    }

    // ---- attempts, time-outs, final answers ----

    fn send(&mut self, now: Millis, id: RequestId, k: usize, out: &mut Vec<Action>) {
        // Did it find the server idle? Only others' word tells.
        let lone = self.cfg.may_tell && self.news < NEWS * self.mean && self.servers[k].held() == 0;
        let before = self.bound(&self.requests[&id]).map(|(.., until)| until);
        self.begin(now, id, k, lone);
        let s = &mut self.servers[k];
        s.progress = if s.own == 0 { now } else { s.progress };
        s.own += 1;
        s.tokens -= 1.0;
        out.push(Action::Send { request: id, backend: s.info.id, timeout: None, before });
        self.place(k, now);
    }

    fn ended(
        &mut self, now: Millis, id: RequestId, attempt: usize, latency: Millis, outcome: Outcome,
        closed: bool, out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| !a.over) else { return };
        (a.over, a.ran) = (true, outcome.may_have_run());
        let (k, lone, silent, sent, held) = (a.server, a.lone, a.silent, a.sent, f64::from(a.held));
        let (class, size, home) = (r.class, r.size, r.home);
        r.done |= closed;
        self.running.retain(|o| *o != id);
        if !silent && matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            // Given up, yet it may still occupy the server: its slot stays taken until it plausibly ends.
            self.ghosts.push_back((now + 2.0 * self.class_ms[class].0, k));
        } else {
            self.servers[k].own -= u32::from(!silent); // a silent one gave it back before
        }
        if !matches!(outcome, Outcome::NotSent | Outcome::Cancelled) {
            self.success += (f64::from(u8::from(outcome == Outcome::Served)) - self.success) / CLASS_SAMPLES;
        }
        // One sent shortly before its client gave up had no fair chance: that it timed out proves nothing.
        let fair = FAIR * self.class_ms[class].0 * size * self.servers[k].slow.0 / self.servers[k].warmth;
        match outcome {
            Outcome::Served => {
                self.fit_window(latency < LATE * self.cfg.classes[class].aim);
                let mean = 0.5 * (held + f64::from(self.seen(k) + 1));
                self.weigh(now, k, class, sent, mean, latency / size, home == Some(k));
                self.learn(k, class, latency / size, home == Some(k), lone);
                self.judge(k, class, true, false, now);
            }
            Outcome::NotSent | Outcome::Cancelled => {}
            Outcome::TimedOut if silent || latency < fair => {} // blamed already, or not to blame
            Outcome::Full if self.turned_away(now, k, sent, held) => {}
            _ => self.judge(k, class, false, outcome == Outcome::Full, now),
        }
        if outcome == Outcome::Full {
            self.fit_window(false);
        }
        self.place(k, now);
        self.serve(now, k, out);
        let r = &self.requests[&id];
        if r.done {
            return self.finish(id);
        }
        let time = now + self.usual(r) < r.due - MARGIN;
        // No storms: further attempts come out of a budget that arrivals fill.
        if time && self.may_repeat(r, now) && self.retries >= 1.0 {
            self.retries -= 1.0;
            self.enqueue(id, true);
        } else {
            self.answer(now, id, out);
        }
    }

    /// Gives the final answer: a refusal where it surely had no effect, or where whoever comes back when told to
    /// still finds his repeat dropped; else a failure.
    fn answer(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done && !r.started) else { return };
        let back = self.comeback(id);
        let dropped = |(_, group, until)| group == Group::All && now + back < until;
        let harmless = self.cfg.classes[r.class].effect == Effect::Safe
            || !r.may_have_run()
            || self.bound(r).is_some_and(dropped);
        let refuse = Action::Refuse { request: id, retry_after: Some(back) };
        out.push(if harmless { refuse } else { Action::Fail(id) });
        self.finish(id);
    }

    /// After which span a refused client should come back: when this proxy's own slots have most likely
    /// served all who wait now, drawn out a little so that those refused together don't return together.
    fn comeback(&self, id: RequestId) -> Millis {
        let served = self.bands.bands.iter().map(|b| b.slots * b.speed).sum::<f64>() / self.mean;
        let wait = (self.waiting as f64 + 1.0) / served.max(1e-9);
        wait.clamp(COMEBACK.0, COMEBACK.1) * (0.75 + 0.5 * draw(id.0, 0))
    }

    /// When a request stops being of use: at its aim, unless a late answer earns something and has room.
    fn end(&self, r: &Request) -> Millis {
        let late = self.cfg.classes[r.class].late_worth > 0.0;
        let crowded = r.waiting && self.waiting > self.running.len();
        if late && !crowded { r.due } else { r.aim.min(r.due) }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        out.push(Action::Timer { token: 0, at: now + TICK });
        self.ticks += 1;
        self.settle(now, TICK);
        for q in 0..self.queues.len() {
            let late = |r: &Request| now + MARGIN.max(0.5 * self.usual(r)) > self.end(r);
            let useless = |id: &RequestId| self.requests.get(id).is_some_and(|r| r.waiting && late(r));
            let ids: Vec<RequestId> = self.queues[q].iter().copied().filter(useless).collect();
            ids.into_iter().for_each(|id| self.answer(now, id, out));
        }
        for i in (0..self.running.len()).rev() {
            self.watch(now, self.running[i], out);
        }
        if self.ticks.is_multiple_of(REVIEW) {
            self.review(now);
        }
        if self.cfg.discovery == Discovery::OnRequest && !self.subscribed && now >= self.ask_at {
            self.subscribed = true;
            out.push(Action::Subscribe);
        }
        self.tell(now, out);
    }

    /// Looks after a running request: is its server hung, is it still of use?
    fn watch(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let usual = self.usual(r);
        let patience =
            |a: &Attempt| HANG * usual * self.servers[a.server].slow.0.max(1.0) / self.warmth(a.server, now);
        let silent = |a: &Attempt| !a.over && !a.silent && now - a.sent > patience(a);
        if let Some(i) = r.attempts.iter().position(silent) {
            let (k, class, s) = (r.attempts[i].server, r.class, &self.servers[r.attempts[i].server]);
            let hung = s.health.closed <= now && now - s.progress > patience(&r.attempts[i]);
            self.judge(k, class, false, false, now);
            let s = &mut self.servers[k];
            if hung {
                let span = s.health.backoff.max(HANG * usual); // nothing else has moved there
                close(&mut s.health, now, span);
            }
            s.own -= 1; // the slot is free for other classes
            self.requests.get_mut(&id).expect("just seen").attempts[i].silent = true;
            self.place(k, now);
        }
        let r = &self.requests[&id];
        if !r.done && !r.started && now + 1.5 * TICK > self.end(r) {
            out.push(Action::Timer { token: id.0 + 1, at: self.end(r) - LEAST });
        }
    }

    /// Whether another attempt is allowed, by the request's effect and the count of attempts.
    fn may_repeat(&self, r: &Request, now: Millis) -> bool {
        let harmless = self.cfg.classes[r.class].effect == Effect::Safe || !r.may_have_run();
        let dropped = || self.bound(r).is_some_and(|(.., until)| now < until);
        (harmless || dropped()) && r.attempts.len() < self.most_attempts[r.class] as usize
    }

    // ---- cold starts and drains ----

    /// Looks over all servers: slots, budgets of cold ones, closings that end, how many look ill.
    fn review(&mut self, now: Millis) {
        self.mean = self.mean_latency();
        for (terms, class) in self.terms.iter_mut().zip(&self.class_ms) {
            // Before a class's weight is known its answers tell nothing of crowds.
            *terms = if class.1 < CLASS_KNOWN { 0.0 } else { self.mean / class.0.max(0.01) };
        }
        self.mean_room = self.servers.iter().map(|s| s.room).sum::<f64>() / self.servers.len().max(1) as f64;
        for kind in self.kinds.iter_mut().filter(|k| k.slow.1 >= CALM_SAMPLES) {
            // Overfilled servers are slow all alike and look as if they had more cores: against that jam
            // a kind whose latency has left its calm level gets fewer slots until it is back.
            let latency = kind.slow.0 * self.mean;
            kind.throttle = if kind.calm.is_finite() { kind.throttle } else { 1.0 }; // at last measured
            let creep = if kind.throttle > THROTTLE_MIN { CALM_CREEP } else { CALM_LEAP };
            kind.calm = latency.min(kind.calm * creep);
            kind.core = if kind.lone.1 >= KIND_WEIGHT { kind.lone.0 } else { kind.calm };
            let calm = kind.calm.max(kind.core * (1.0 + 0.5 / kind.cores));
            let step = (CROWDED * calm / latency).clamp(0.95, 1.02);
            kind.throttle = (kind.throttle * step).clamp(THROTTLE_MIN, 1.0);
        }
        self.slowest = self.kinds.iter().map(|k| k.core).filter(|c| c.is_finite()).fold(0.0, f64::max);
        self.reclaim(now);
        self.limits(now);
        let (up, ill) = self.census(now);
        self.doubt = ill > ALL_ILL * up || ill > DISTRUST * up && self.success < DISTRUST;
        for k in 0..self.servers.len() {
            if k as u64 % 8 == self.ticks / REVIEW % 8 {
                self.size(k); // slots change slowly: an eighth of the servers each time
            }
            let warmth = self.warmth(k, now);
            let s = &mut self.servers[k];
            if s.fresh && warmth < 1.0 {
                // An equal part of what its like can do, cut to what it surely can: so it stands in any case.
                // By its calm latency, as waits in a crowd are not work, and by no more than its rating: what was
                // learned is of the process before it.
                let kind = &self.kinds[s.kind];
                let surely = if self.cfg.rating == Rating::Size { s.prior } else { 1.0 };
                let capacity =
                    s.room.min(surely) / FULLNESS / kind.core.min(self.mean * kind.slow.0.max(0.2));
                let rate = COLD_SHARE * self.cfg.limits.fall_multiple * warmth * capacity
                    / f64::from(self.cfg.proxies);
                s.tokens += rate * (now - s.tokens_at);
                s.tokens_at = now;
                // What is not used lapses: saved by many proxies, it would all come at once in a surge.
                let saved = s.tokens - 1.0 - rate * COLD_KEPT * self.cfg.limits.fall;
                s.tokens -= saved.max(0.0).ceil();
            }
            self.rate(k, warmth, now);
        }
    }

    // ---- discovery and peers ----

    fn list(&mut self, now: Millis, scope: Scope, entries: Vec<Backend>) {
        if scope == Scope::Failed {
            // Ask again, but not all proxies at once.
            let spread = (ASK_AGAIN.1 - ASK_AGAIN.0) * self.rng.f64();
            (self.subscribed, self.ask_at) = (false, now + ASK_AGAIN.0 + spread);
            return;
        }
        for k in self.record_all(now, scope == Scope::Full, entries) {
            let s = &mut self.servers[k];
            if s.restarted {
                // A new process: cold, and nothing known against it. The random start of its budget keeps
                // the proxies from all sending their first request at once.
                (s.restarted, s.fresh, s.tokens, s.tokens_at) = (false, true, self.rng.f64(), now);
                s.forgive(now);
            }
            self.size(k);
            self.rate(k, self.warmth(k, now), now);
        }
    }

    /// Tells the other proxies what this one holds where, as often as its budget of bytes allows.
    fn tell(&mut self, now: Millis, out: &mut Vec<Action>) {
        let cost = (HEAD + 2 * (self.running.len() + self.ghosts.len())) as f64;
        let due = self.credit >= cost || now - self.told_at > STALE / 2.0;
        if self.cfg.may_tell && self.cfg.proxies > 1 && due {
            self.news += 0.1 * (now - self.told_at - self.news); // others tell about as often
            (self.credit, self.told_at) = (self.credit - cost, now);
            out.push(Action::Broadcast(pack(self.cfg.zone, &self.servers, now)));
        }
        if self.cfg.may_tell && self.cfg.proxies > 1 && self.servers.iter().any(|s| s.news) {
            let news = |s: &mut Server| std::mem::take(&mut s.news).then(|| (s.info.id, s.limit.known()));
            out.push(Action::Broadcast(pack_limits(self.servers.iter_mut().filter_map(news))));
        }
    }
}
