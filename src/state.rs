//! Records and bookkeeping for the decisions in `src/choice.rs`. Nothing is decided here.
use crate::choice::{
    ARRIVAL_RATE_SPAN_MS, BAND_RATIO, FIRST_BACKOFF_MS, LATENCY_SPREAD_SAMPLES, MIN_WINDOW, PEER_STALE_MS,
    SPEED_BANDS, UNMEASURED_THROTTLE,
};
use crate::interface::*;
use crate::limit::{Limit, Ratings};
use crate::message::{short_id, unpack, unpack_limits};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Health of a server, in total or for one class.
#[derive(Clone)]
pub(crate) struct Health {
    pub failure_rate: f64, // moving average of failures
    pub closed_until: Millis,
    pub backoff: Millis,  // length of the next closing
    pub on_trial: bool,   // reopened after a closing, not yet proven healthy
    pub is_stalled: bool, // answers begin and then hang
    pub is_tested: bool,  // a trial of the stalled class is in flight
}

impl Health {
    /// No failures known.
    pub fn clean(now: Millis) -> Self {
        Health {
            failure_rate: 0.0,
            closed_until: now,
            backoff: FIRST_BACKOFF_MS,
            on_trial: false,
            is_stalled: false,
            is_tested: false,
        }
    }
}

/// State of a server.
pub(crate) struct Server {
    pub info: Backend,
    pub withdrawn_at: Option<Millis>, // when its drain or removal was announced
    pub own_attempts: u32, // this proxy's attempts there, including those given up but plausibly running
    pub peer_attempts: u32, // attempts of other proxies, as reported by them
    pub peer_blames: u32,  // number of other proxies that have closed it
    pub relative_latency: (f64, f64), // mean latency relative to its classes' fleet means, and weight
    pub health: Health,    // for all classes
    pub by_class: Vec<Health>, // for each class
    pub last_failure_full: bool, // its last failure was a rejection because it was full
    pub last_progress: Millis, // time of the last answer, or of the send that ended an idle period
    pub restarted: bool,   // the list has just announced a new process
    pub in_cold_start: bool, // first listed within its cold period: sends are budgeted
    pub cold_tokens: f64,  // sends left in a cold server's budget
    pub cold_tokens_at: Millis,
    pub kind: usize,                     // index of its kind of machine; 0 if unknown
    pub rated_slots: f64,                // slots according to the rating
    pub total_slots: f64,                // slots for all proxies together
    pub own_slots: f64,                  // slots that belong to this proxy
    pub limit: Limit,                    // learned concurrency limit
    pub limit_changed: bool,             // peers have to be told of the limit
    pub band: usize,                     // the speed band of `cost`
    pub warm_fraction: f64,              // fraction of its capacity that is certainly available
    pub cost: f64,   // expected latency relative to the fleet's mean, including zone crossing
    pub weight: f64, // inverse weight in the choice of a key's home server
    pub home_queue: VecDeque<RequestId>, // waiting requests of its keys; may contain some that no longer wait
    pub free_for_home: bool, // can take a request of its keys
    pub home_waiting: u32, // number of waiting requests whose home is this server
    slot_band: usize,
    slots: f64,
    band_position: Option<(usize, usize)>, // band and position in its list while open
}

impl Server {
    pub fn new(info: Backend, classes: usize, now: Millis) -> Self {
        Server {
            info,
            withdrawn_at: None,
            own_attempts: 0,
            peer_attempts: 0,
            peer_blames: 0,
            relative_latency: (1.0, 0.0),
            health: Health::clean(now),
            by_class: vec![Health::clean(now); classes],
            last_failure_full: false,
            last_progress: now,
            restarted: false,
            in_cold_start: false,
            cold_tokens: 0.0,
            cold_tokens_at: now,
            kind: 0,
            rated_slots: 1.0,
            total_slots: 1.0,
            own_slots: 0.0,
            limit: Limit::new(now),
            limit_changed: false,
            band: 0,
            warm_fraction: 1.0,
            cost: 1.0,
            weight: 1.0,
            home_queue: VecDeque::new(),
            free_for_home: false,
            home_waiting: 0,
            slot_band: 0,
            slots: 0.0,
            band_position: None,
        }
    }

    /// Whether it shares a dedup group with the server of an earlier attempt.
    pub fn drops_repeats_of(&self, first: &Server, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => first.info.zone.is_some() && self.info.zone == first.info.zone,
            Group::Cell => first.info.cell.is_some() && self.info.cell == first.info.cell,
        }
    }

    /// Whether requests of a class are kept from it. One whose answers hang gets one at a time, once its closing is over.
    pub fn is_closed_for(&self, class: usize, now: Millis) -> bool {
        let health = &self.by_class[class];
        health.closed_until > now || health.is_stalled && health.is_tested
    }

    /// Resets its health record.
    pub fn reset_health(&mut self, now: Millis) {
        self.health = Health::clean(now);
        self.by_class.fill(Health::clean(now));
    }

    /// Requests in flight there, as far as this proxy knows.
    pub fn held(&self) -> u32 {
        self.own_attempts.saturating_add(self.peer_attempts)
    }

    pub fn open(&self) -> bool {
        self.band_position.is_some()
    }
}

/// State of a kind of machine.
pub(crate) struct Kind {
    pub relative_latency: (f64, f64), // mean relative latency, and its weight
    pub idle_latency: (f64, f64),     // mean latency of requests that found a server idle, and its weight
    pub core_latency: Millis,         // mean latency of a request with a core to itself
    pub cores: f64,                   // inferred number of cores of a server
    pub baseline: Millis,             // lowest recent mean latency
    pub throttle: f64,                // fraction of its slots that may be used
    pub ratings: Ratings,             // whether its servers' ratings prove accurate
}

impl Default for Kind {
    fn default() -> Self {
        Kind {
            relative_latency: (1.0, 0.0),
            idle_latency: (0.0, 0.0),
            core_latency: f64::INFINITY,
            cores: 1.0,
            baseline: f64::INFINITY,
            throttle: UNMEASURED_THROTTLE,
            ratings: Ratings::default(),
        }
    }
}

pub(crate) struct Attempt {
    pub server: usize,
    pub sent: Millis,
    pub end: Option<AttemptEnd>,         // `None` while it is in flight
    pub found_idle: bool,                // it found the server idle
    pub held: u32,                       // requests at the server when it was sent, including itself
    pub silent: bool, // no longer counted at its server: unanswered for too long, still uploading, or answer begun
    pub is_trial: bool, // it tests whether a class goes on whose answers hung there
    pub responded_after: Option<Millis>, // time from the send to the head of its answer, if the body came later
}

/// When and how an attempt ended.
pub(crate) struct AttemptEnd {
    pub at: Millis,
    pub outcome: Outcome,
}

impl Attempt {
    pub fn has_ended(&self) -> bool {
        self.end.is_some()
    }

    /// Whether it runs or may have run.
    pub fn may_have_run(&self) -> bool {
        self.end.as_ref().is_none_or(|end| end.outcome.may_have_run())
    }

    /// Whether it was given up.
    pub fn was_cancelled(&self) -> bool {
        self.end.as_ref().is_some_and(|end| end.outcome == Outcome::Cancelled)
    }

    /// Whether it ended before anything of it was sent.
    pub fn was_not_sent(&self) -> bool {
        self.end.as_ref().is_some_and(|end| end.outcome == Outcome::NotSent)
    }
}

pub(crate) struct Request {
    pub class: usize,
    pub over_share: bool,
    pub size: f64,      // its expected work, relative to its class
    pub aim_at: Millis, // time until which an answer earns the full worth
    pub due_at: Millis, // time at which the client gives up
    pub key: u64,
    pub home: Option<usize>,
    pub attempts: Vec<Attempt>,
    pub waiting: bool,
    pub done: bool,
    pub started: bool,
}

impl Request {
    pub fn new(
        class: usize, size: f64, over_share: bool, aim_at: Millis, due_at: Millis, key: u64,
        home: Option<usize>,
    ) -> Self {
        let (attempts, waiting, done, started) = (Vec::new(), false, false, false);
        Request { class, size, over_share, aim_at, due_at, key, home, attempts, waiting, done, started }
    }

    pub fn running(&self) -> bool {
        self.in_flight() > 0
    }

    /// Number of attempts that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.attempts.iter().filter(|a| !a.has_ended()).count() as u32
    }

    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Whether a server has got the request or has failed to take it. An attempt that was not sent tells nothing about its server.
    pub fn tried(&self, server: usize) -> bool {
        self.tried_servers().any(|tried| tried == server)
    }

    fn tried_servers(&self) -> impl Iterator<Item = usize> {
        self.attempts.iter().filter(|a| !a.was_not_sent()).map(|a| a.server)
    }
}

/// The servers grouped in bands of similar speed, so that the fastest open one is found without a full scan.
pub(crate) struct SpeedBands {
    pub bands: Vec<SpeedBand>,
    per_ln: f64,
}

#[derive(Default)]
pub(crate) struct SpeedBand {
    pub speed: f64, // relative to the fleet's mean
    pub open: Vec<u32>,
    pub slots: f64,
}

impl SpeedBands {
    pub fn new(count: usize, ratio: f64) -> Self {
        let middle = count as f64 / 2.0;
        let speed = |b: usize| ratio.powf(middle - b as f64);
        let bands = (0..count).map(|b| SpeedBand { speed: speed(b), ..SpeedBand::default() }).collect();
        SpeedBands { bands, per_ln: 1.0 / ratio.ln() }
    }

    /// The band for a relative cost.
    pub fn of(&self, cost: f64) -> usize {
        let b = cost.max(1e-9).ln() * self.per_ln + self.bands.len() as f64 / 2.0 + 0.5;
        b.clamp(0.0, self.bands.len() as f64 - 1.0) as usize
    }

    /// Slots of the servers in a band that a request has not tried.
    pub fn untried_slots(&self, band: usize, servers: &[Server], request: &Request) -> f64 {
        let mut tried: Vec<usize> = request.tried_servers().collect();
        tried.sort_unstable();
        tried.dedup();
        let in_band = tried.iter().map(|k| &servers[*k]).filter(|s| s.slot_band == band);
        (self.bands[band].slots - in_band.map(|s| s.slots).sum::<f64>()).max(0.0)
    }

    /// Updates the bands of a server: its own slots count in `slot_band`, and it is listed in `open_band` if open.
    pub fn file(
        &mut self, servers: &mut [Server], k: usize, slot_band: usize, slots: f64, open_band: Option<usize>,
    ) {
        let s = &mut servers[k];
        let old = &mut self.bands[s.slot_band].slots;
        *old -= s.slots;
        if *old < 1e-6 {
            *old = 0.0; // a rounding residue must not count as a slot
        }
        self.bands[slot_band].slots += slots;
        (s.slot_band, s.slots) = (slot_band, slots);
        if s.band_position.map(|p| p.0) == open_band {
            return;
        }
        if let Some((band, at)) = s.band_position.take() {
            self.bands[band].open.swap_remove(at);
            if let Some(&moved) = self.bands[band].open.get(at) {
                servers[moved as usize].band_position = Some((band, at));
            }
        }
        if let Some(band) = open_band {
            servers[k].band_position = Some((band, self.bands[band].open.len()));
            self.bands[band].open.push(k as u32);
        }
    }
}

/// The last report of another proxy.
pub(crate) struct Peer {
    pub heard: Millis,
    pub holds: Vec<usize>,
    pub blames: Vec<usize>,
}

/// Mixes the bits of a number.
pub(crate) fn mix_bits(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A hash of both arguments as a number in [0, 1), the same at every proxy.
pub(crate) fn hash_to_unit(a: u64, b: u64) -> f64 {
    (mix_bits(a ^ mix_bits(b.wrapping_add(0x9e37_79b9_7f4a_7c15))) >> 11) as f64 / (1u64 << 53) as f64
}

/// The proxy that owns a seed, by rendezvous hashing, the same at every proxy.
pub(crate) fn hash_owner(seed: u64, proxies: impl Iterator<Item = u32>) -> Option<u32> {
    let score = |i: u32| hash_to_unit(seed, u64::from(i));
    proxies.max_by(|&a, &b| score(a).total_cmp(&score(b)))
}

/// Waiting requests by class and by whether they exceed their tenant's share, oldest first.
pub(crate) type Queues = Vec<VecDeque<RequestId>>;

/// The decision logic of one proxy, driven by [`Balancer::handle`].
pub struct Balancer {
    pub(crate) cfg: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) servers: Vec<Server>,
    pub(crate) vacant: Vec<usize>, // free indices of `servers`: removed servers that nothing refers to
    pub(crate) by_id: FxHashMap<BackendId, usize>,
    pub(crate) by_short_id: FxHashMap<u16, usize>,
    pub(crate) bands: SpeedBands,
    pub(crate) requests: FxHashMap<RequestId, Request>,
    pub(crate) queues: Queues,
    pub(crate) waiting: usize,
    pub(crate) running: Vec<RequestId>,
    pub(crate) abandoned_slots: VecDeque<(Millis, usize)>, // attempts given up: end of slot use, server
    pub(crate) class_ms: Vec<(f64, f64)>,                  // mean latency by class, and the mean's weight
    pub(crate) kinds: Vec<Kind>,
    pub(crate) live: Vec<bool>,                 // classes that still accept requests
    pub(crate) max_attempts_by_class: Vec<u32>, // attempts allowed for one request of a class
    pub(crate) max_concurrent_by_class: Vec<u32>, // of these, attempts allowed in flight at once
    pub(crate) paused: Vec<RequestId>,          // paused answers beside which no attempt is allowed
    pub(crate) has_safe_class: bool,            // some class in force is safe to repeat
    pub(crate) longest_aim: Millis,
    pub(crate) shortest_aim: Millis,
    pub(crate) closed_fraction: Vec<f64>, // fraction of the servers closed for a class
    pub(crate) latency_spread: (f64, f64), // mean of (latency / expected latency)², weight
    pub(crate) in_flight_window: f64, // requests that this proxy may have in flight where proxies share all slots
    pub(crate) mean_slots: f64,       // mean number of slots of a server
    pub(crate) class_scale: Vec<f64>, // factor that scales a class's latency to a mean request's; 0 if unknown
    pub(crate) mean_ms: Millis,       // mean latency over all classes
    pub(crate) slowest_core_ms: f64,  // latency on a free core of the slowest kind
    pub(crate) total_rating: f64,     // sum of the ratings of listed servers
    pub(crate) warm_gain: f64,        // speedup at a server that has met the key
    pub(crate) home_latency: [(f64, f64); 2], // mean relative latency away from and at home, and weights
    pub(crate) arrivals: f64,         // since `rate_at`
    pub(crate) arrival_rate: f64,     // arrivals per ms
    pub(crate) rate_at: Millis,
    pub(crate) allowance: Vec<f64>, // requests left in each tenant's allowance
    pub(crate) retry_budget: f64,   // retries that the budget still allows
    pub(crate) hints: Vec<(f64, f64)>, // mean hint by class, and the mean's weight
    pub(crate) median_failures: Vec<f64>, // failure rate of the median server, in total and for each class
    pub(crate) distrust_health: bool, // so many servers look unhealthy that closings are ignored
    pub(crate) served_rate: f64,    // moving average of the fraction of attempts that were served
    pub(crate) ticks: u64,
    pub(crate) peers: Vec<Option<Peer>>,
    pub(crate) zones: Vec<Option<ZoneId>>, // the proxies' zones, as reported by them
    pub(crate) message_credit: f64,        // message bytes that may be sent
    pub(crate) last_message_at: Millis,
    pub(crate) message_interval: Millis, // mean interval between this proxy's messages
    pub(crate) subscribed: bool,
    pub(crate) subscribe_at: Millis,
}

impl Balancer {
    /// Creates the state of a proxy that has no information yet; `seed` is the only source of randomness.
    pub fn new(cfg: Settings, seed: u64) -> Self {
        let longest_aim = cfg.classes.iter().map(|c| c.aim).fold(0.0, f64::max);
        let first_guess = (longest_aim / 4.0).max(1.0);
        let mut new = Balancer {
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            vacant: Vec::new(),
            by_id: FxHashMap::default(),
            by_short_id: FxHashMap::default(),
            bands: SpeedBands::new(SPEED_BANDS, BAND_RATIO),
            requests: FxHashMap::default(),
            queues: vec![VecDeque::new(); cfg.classes.len() * 2],
            waiting: 0,
            running: Vec::new(),
            abandoned_slots: VecDeque::new(),
            class_ms: cfg.classes.iter().map(|c| (c.aim / 4.0, 0.0)).collect(),
            kinds: vec![Kind::default()],
            class_scale: vec![0.0; cfg.classes.len()],
            mean_ms: first_guess,
            slowest_core_ms: 0.0,
            longest_aim,
            shortest_aim: longest_aim,
            live: vec![true; cfg.classes.len()],
            max_attempts_by_class: vec![cfg.limits.max_attempts; cfg.classes.len()],
            max_concurrent_by_class: vec![cfg.limits.max_concurrent_attempts(); cfg.classes.len()],
            paused: Vec::new(),
            has_safe_class: false,
            mean_slots: 1.0,
            closed_fraction: vec![0.0; cfg.classes.len()],
            latency_spread: (2.0, 0.2 * LATENCY_SPREAD_SAMPLES),
            in_flight_window: MIN_WINDOW,
            total_rating: 0.0,
            warm_gain: if cfg.warm_keys { 2.0 } else { 1.0 },
            home_latency: [(1.0, 1.0), (1.0, 1.0)],
            arrivals: 0.0,
            arrival_rate: 0.0,
            rate_at: 0.0,
            allowance: vec![1.0; cfg.tenants.len()],
            retry_budget: 2.0,
            hints: vec![(1.0, 0.0); cfg.classes.len()],
            median_failures: vec![0.0; cfg.classes.len() + 1],
            distrust_health: false,
            served_rate: 1.0,
            ticks: 0,
            peers: (0..cfg.proxies).map(|_| None).collect(),
            zones: vec![None; cfg.proxies as usize],
            message_credit: 0.0,
            last_message_at: 0.0,
            message_interval: PEER_STALE_MS,
            subscribed: false,
            subscribe_at: 0.0,
            cfg,
        };
        new.summarize_classes();
        new
    }

    pub(crate) fn enqueue(&mut self, id: RequestId, first: bool) {
        let r = self.requests.get_mut(&id).expect("only known requests wait");
        r.waiting = true;
        self.waiting += 1;
        if let Some(h) = r.home {
            self.servers[h].home_waiting += 1;
            self.servers[h].home_queue.push_back(id);
        }
        let queue = &mut self.queues[r.class * 2 + usize::from(r.over_share)];
        if first { queue.push_front(id) } else { queue.push_back(id) }
    }

    /// The request at a position of a queue, not counting those that no longer wait.
    pub(crate) fn waiting_at(&mut self, q: usize, position: usize) -> Option<RequestId> {
        let queue = &mut self.queues[q];
        while queue.get(position).is_some_and(|id| self.requests.get(id).is_none_or(|r| !r.waiting)) {
            queue.remove(position);
        }
        queue.get(position).copied()
    }

    pub(crate) fn dequeue(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.waiting) else { return };
        r.waiting = false;
        self.waiting -= 1;
        if let Some(h) = r.home {
            self.servers[h].home_waiting -= 1;
            if self.servers[h].home_waiting == 0 {
                self.servers[h].home_queue.clear(); // remaining entries no longer wait
            }
        }
    }

    /// Records that a request is sent to a server.
    pub(crate) fn record_send(&mut self, now: Millis, id: RequestId, server: usize, found_idle: bool) {
        self.dequeue(id);
        let held = self.estimated_held(server) + 1;
        let r = self.requests.get_mut(&id).expect("only known requests are sent");
        let health = &mut self.servers[server].by_class[r.class];
        let is_trial = health.is_stalled && !health.is_tested;
        health.is_tested |= is_trial;
        r.attempts.push(Attempt {
            server,
            sent: now,
            end: None,
            is_trial,
            found_idle,
            held,
            silent: false,
            responded_after: None,
        });
        self.running.push(id);
    }

    /// Estimates the speedup of warm servers: compares answers from home servers with all others, adjusted for the
    /// speed of each server.
    pub(crate) fn learn_gain(&mut self, k: usize, class: usize, latency: Millis, home: bool, samples: f64) {
        if self.cfg.warm_keys {
            let s = &self.servers[k];
            let sample =
                latency * s.warm_fraction / (s.relative_latency.0.max(0.05) * self.class_ms[class].0);
            average(&mut self.home_latency[usize::from(home)], sample.min(20.0), samples);
            self.warm_gain = (self.home_latency[0].0 / self.home_latency[1].0.max(0.01)).clamp(1.1, 8.0);
        }
    }

    /// Weighted rendezvous hashing; the bits of a float (exponent and mantissa) approximate its logarithm.
    pub(crate) fn score(&self, k: usize, key: u64) -> f64 {
        let u = hash_to_unit(self.servers[k].info.id.0, key) + 1e-12;
        (1023.0 - u.to_bits() as f64 / (1u64 << 52) as f64) * self.servers[k].weight
    }

    /// Marks a request as answered and removes it once all its attempts have ended.
    pub(crate) fn finish(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.done = true;
        if !r.running() {
            self.requests.remove(&id);
        }
    }

    /// Takes one request from a tenant's allowance; returns false if none is left.
    pub(crate) fn take_allowance(&mut self, tenant: usize) -> bool {
        let Some(left) = self.allowance.get_mut(tenant) else { return true };
        let within = *left >= 1.0;
        *left -= f64::from(u8::from(within));
        within
    }

    /// A request's expected work relative to its class, and its aim as a duration.
    pub(crate) fn size_and_aim(&mut self, class: usize, hint: Option<Millis>) -> (f64, Millis) {
        let c = &self.cfg.classes[class];
        let Some(hint) = hint.filter(|h| h.is_finite() && *h > 0.0) else { return (1.0, c.aim) };
        let (mean, weight) = self.hints[class];
        average(&mut self.hints[class], if weight > 0.0 { hint.min(10.0 * mean) } else { hint }, 100.0);
        ((hint / self.hints[class].0).clamp(0.05, 50.0), (c.aim + c.aim_stretch * hint).min(c.deadline))
    }

    /// Expected latency of a request.
    pub(crate) fn expected_latency(&self, r: &Request) -> Millis {
        self.class_ms[r.class].0 * r.size
    }

    /// Counts the listed servers and those closed as unhealthy. Updates the fraction of servers closed for each class
    /// and the median failure rates.
    pub(crate) fn count_servers(&mut self, now: Millis) -> (f64, f64) {
        let listed: Vec<&Server> = self.servers.iter().filter(|s| s.withdrawn_at.is_none()).collect();
        for (i, median) in self.median_failures.iter_mut().enumerate() {
            let health =
                |s: &&Server| if i == 0 { s.health.failure_rate } else { s.by_class[i - 1].failure_rate };
            let mut fails: Vec<f64> = listed.iter().map(health).collect();
            fails.sort_by(f64::total_cmp);
            *median = fails.get(fails.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
        }
        let count = listed.len() as f64 + 0.01;
        for (class, fraction) in self.closed_fraction.iter_mut().enumerate() {
            *fraction = listed.iter().filter(|s| s.is_closed_for(class, now)).count() as f64 / count;
        }
        (count, listed.iter().filter(|s| s.health.closed_until > now && !s.last_failure_full).count() as f64)
    }

    /// The mean latency over all classes, weighted by their answers.
    pub(crate) fn mean_latency(&self) -> Millis {
        let all = |(s, w): (f64, f64), c: &(f64, f64)| (s + c.0 * (c.1 + 0.01), w + c.1 + 0.01);
        let (sum, weight) = self.class_ms.iter().fold((0.0, 0.0), all);
        if weight > 0.0 { (sum / weight).max(0.01) } else { 1.0 }
    }

    /// Handles a message of another proxy.
    pub(crate) fn receive(&mut self, now: Millis, from: usize, bytes: &[u8]) {
        if let Some(limits) = unpack_limits(bytes, &self.by_short_id) {
            for (k, limit, trial) in limits {
                let s = &mut self.servers[k];
                let ratings = &mut self.kinds[s.kind].ratings;
                match s.limit.told(now, limit, trial, s.rated_slots) {
                    Some(true) => ratings.held(now),
                    Some(false) => ratings.failed(),
                    None => {}
                }
                self.update_slots(k);
                self.update_open(k, now);
            }
            return;
        }
        let Some((zone, blames, holds)) =
            unpack(bytes, &self.by_short_id).filter(|_| from < self.peers.len())
        else {
            return;
        };
        let before = self.forget_peer(from);
        blames.iter().for_each(|&k| self.servers[k].peer_blames += 1);
        holds.iter().for_each(|&k| self.servers[k].peer_attempts += 1);
        for &k in before.iter().chain(&holds) {
            self.update_open(k, now);
        }
        self.zones[from] = zone;
        self.peers[from] = Some(Peer { heard: now, holds, blames });
    }

    /// Discards the last report of a peer; returns the servers where it had attempts.
    fn forget_peer(&mut self, from: usize) -> Vec<usize> {
        let Some(p) = self.peers[from].take() else { return Vec::new() };
        p.blames.iter().for_each(|&k| self.servers[k].peer_blames -= 1);
        p.holds.iter().for_each(|&k| self.servers[k].peer_attempts -= 1);
        p.holds
    }

    /// The fraction of its capacity that a server certainly has: it warms up at least linearly.
    pub(crate) fn warm_fraction(&self, k: usize, now: Millis) -> f64 {
        let l = &self.cfg.limits;
        let age = self.servers[k].info.since.map_or(1.0, |since| ((now - since) / l.cold_ms).clamp(0.0, 1.0));
        l.start_capacity + (1.0 - l.start_capacity) * age
    }

    /// For a keyed request that may have run: the first such server, its dedup group, and the end of the dedup window.
    pub(crate) fn dedup_bound(&self, r: &Request) -> Option<(usize, Group, Millis)> {
        let Effect::Keyed { group, window } = self.cfg.classes[r.class].effect else { return None };
        r.attempts.iter().find(|a| a.may_have_run()).map(|a| (a.server, group, a.sent + window))
    }

    /// Number of server entries, including vacant ones.
    pub fn server_entries(&self) -> usize {
        self.servers.len()
    }

    /// Adds a server, in a vacant entry if there is one.
    fn add_server(&mut self, server: Server) -> usize {
        let id = server.info.id;
        let k = self.vacant.pop().unwrap_or(self.servers.len());
        if k == self.servers.len() {
            self.servers.push(server)
        } else {
            self.servers[k] = server
        }
        self.by_id.insert(id, k);
        self.by_short_id.insert(short_id(id), k);
        k
    }

    /// Marks the entries of removed servers as vacant once no request, slot or peer refers to them. Otherwise
    /// memory would grow, as servers come and go for as long as the process runs.
    pub(crate) fn reclaim_vacant(&mut self, now: Millis) {
        let left = |s: &Server| s.info.state == State::Removed && s.own_attempts == 0 && s.home_waiting == 0;
        let mut free: Vec<bool> = self.servers.iter().map(left).collect();
        self.vacant.iter().for_each(|&k| free[k] = false);
        let requests = self.requests.values();
        let requested = requests.flat_map(|r| r.attempts.iter().map(|a| a.server).chain(r.home));
        let peers = self.peers.iter().flatten().flat_map(|p| [&p.holds, &p.blames]).flatten().copied();
        requested.chain(peers).chain(self.abandoned_slots.iter().map(|g| g.1)).for_each(|k| free[k] = false);
        for k in (0..free.len()).filter(|&k| free[k]) {
            self.update_open(k, now); // removes it from its band
            self.by_id.retain(|_, entry| *entry != k);
            self.by_short_id.retain(|_, entry| *entry != k);
            self.vacant.push(k);
        }
    }

    /// Records an entry of the server list; returns the index of its server.
    fn record(&mut self, now: Millis, mut e: Backend) -> usize {
        e.rating = if e.rating.is_finite() && e.rating > 0.0 { e.rating } else { 1.0 };
        let k = match self.by_id.get(&e.id) {
            Some(&k) => k,
            None => self.add_server(Server::new(e.clone(), self.cfg.classes.len(), now)),
        };
        let s = &mut self.servers[k];
        s.withdrawn_at = if e.state == State::Up { None } else { s.withdrawn_at.or(Some(now)) };
        s.restarted |= s.info.since != e.since || e.since.is_some() && !s.in_cold_start;
        s.kind = e.kind.map_or(0, |k| k.0 as usize + 1);
        let kinds = self.kinds.len().max(s.kind + 1);
        self.kinds.resize_with(kinds, Kind::default);
        s.info = e;
        k
    }

    /// Records the entries of a list; returns their servers and, for a full list, those that it no longer contains.
    pub(crate) fn record_all(&mut self, now: Millis, full: bool, entries: Vec<Backend>) -> Vec<usize> {
        let mut listed: Vec<usize> = entries.into_iter().map(|e| self.record(now, e)).collect();
        if full {
            let mut left = vec![true; self.servers.len()];
            listed.iter().for_each(|&k| left[k] = false);
            for k in (0..left.len()).filter(|&k| left[k]) {
                let s = &mut self.servers[k];
                (s.withdrawn_at, s.info.state) = (s.withdrawn_at.or(Some(now)), State::Removed);
                listed.push(k);
            }
        }
        let ratings = self.servers.iter().filter(|s| s.withdrawn_at.is_none()).map(|s| s.info.rating);
        self.total_rating = ratings.sum::<f64>().max(1e-6);
        listed
    }

    /// Updates time-dependent counters: arrival rate, allowances, slots of attempts given up, silent peers.
    pub(crate) fn update_counters(&mut self, now: Millis, tick: Millis) {
        let span = now - self.rate_at;
        if span >= 10.0 * tick {
            let gain =
                if self.arrival_rate == 0.0 { 1.0 } else { 1.0 - (-span / ARRIVAL_RATE_SPAN_MS).exp() };
            self.arrival_rate += gain * (self.arrivals / span - self.arrival_rate);
            (self.arrivals, self.rate_at) = (0.0, now);
        }
        for (left, tenant) in self.allowance.iter_mut().zip(&self.cfg.tenants) {
            let rate = tenant.allowance_per_s / 1000.0 / f64::from(self.cfg.proxies);
            *left = (*left + rate * tick).min(rate * 1000.0 + 1.0);
        }
        while self.abandoned_slots.front().is_some_and(|g| g.0 <= now) {
            let (_, k) = self.abandoned_slots.pop_front().expect("just seen");
            self.servers[k].own_attempts -= 1;
            self.update_open(k, now);
        }
        for from in 0..self.peers.len() {
            if self.peers[from].as_ref().is_some_and(|p| now - p.heard > PEER_STALE_MS) {
                self.forget_peer(from).into_iter().for_each(|k| self.update_open(k, now));
            }
        }
    }
}

/// Adds a sample to a moving average (value and weight) over about `most` samples.
pub(crate) fn average(mean: &mut (f64, f64), sample: f64, most: f64) {
    mean.1 = (mean.1 + 1.0).min(most);
    mean.0 += (sample - mean.0) / mean.1;
}
