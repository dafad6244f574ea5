//! The records that the choices keep, and the plumbing under them. Nothing is decided here.
use crate::choice::{BACKOFF, BAND_RATIO, BANDS, RATE_SPAN, SPREAD_SAMPLES, STALE, UNMEASURED, WINDOW_LEAST};
use crate::interface::*;
use crate::limit::{Limit, Ratings};
use crate::message::{short, unpack, unpack_limits};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// How well a server does, as a whole or for one class.
#[derive(Clone)]
pub(crate) struct Health {
    pub fails: f64,      // running mean of failures
    pub closed: Millis,  // not open before this
    pub backoff: Millis, // the next closing's length
    pub trial: bool,     // back from a closing, still to prove itself
}

impl Health {
    /// Nothing is held against a server.
    pub fn clean(now: Millis) -> Self {
        Health { fails: 0.0, closed: now, backoff: BACKOFF, trial: false }
    }
}

/// What is known of a server.
pub(crate) struct Server {
    pub info: Backend,
    pub told: Option<Millis>,  // when its drain or end was told
    pub own: u32,              // this proxy's attempts there, those given up but plausibly running included
    pub peers: u32,            // attempts of other proxies, as told by them
    pub blame: u32,            // other proxies that hold it for ill
    pub slow: (f64, f64),      // mean latency relative to its classes' means over the fleet, and its weight
    pub health: Health,        // as a whole
    pub by_class: Vec<Health>, // and for each class
    pub full: bool,            // its last failure was mere fullness
    pub progress: Millis,      // last answer, or the send that ended its idleness
    pub restarted: bool,       // the list has just told of a new process
    pub fresh: bool,           // seen within its cold span: budgeted
    pub tokens: f64,           // sends that a cold server's budget still allows
    pub tokens_at: Millis,
    pub kind: usize,               // its kind of machine; 0 if none is told
    pub prior: f64,                // slots as the rating has them
    pub room: f64,                 // slots for all proxies together
    pub mine: f64,                 // those of them that are this proxy's own
    pub limit: Limit,              // what is learned of how much it can hold
    pub news: bool,                // the others are to be told of it
    pub band: usize,               // the speed band of that cost
    pub warmth: f64,               // part of its capacity that it surely has
    pub cost: f64,                 // expected latency relative to the fleet's mean, crossing included
    pub weight: f64,               // inverse weight in the choice of a key's home
    pub line: VecDeque<RequestId>, // waiting requests of its keys, some perhaps no longer
    pub free: bool,                // a request of its keys may come
    pub wanted: u32,               // waiting requests whose key is at home here
    slot_band: usize,
    slots: f64,
    place: Option<(usize, usize)>, // band and position while open
}

impl Server {
    pub fn new(info: Backend, classes: usize, now: Millis) -> Self {
        Server {
            info,
            told: None,
            own: 0,
            peers: 0,
            blame: 0,
            slow: (1.0, 0.0),
            health: Health::clean(now),
            by_class: vec![Health::clean(now); classes],
            full: false,
            progress: now,
            restarted: false,
            fresh: false,
            tokens: 0.0,
            tokens_at: now,
            kind: 0,
            prior: 1.0,
            room: 1.0,
            mine: 0.0,
            limit: Limit::new(now),
            news: false,
            band: 0,
            warmth: 1.0,
            cost: 1.0,
            weight: 1.0,
            line: VecDeque::new(),
            free: false,
            wanted: 0,
            slot_band: 0,
            slots: 0.0,
            place: None,
        }
    }

    /// Whether it is in one group with the server of an earlier attempt.
    pub fn drops_repeats_of(&self, first: &Server, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => first.info.zone.is_some() && self.info.zone == first.info.zone,
            Group::Cell => first.info.cell.is_some() && self.info.cell == first.info.cell,
        }
    }

    /// Nothing is held against it any more.
    pub fn forgive(&mut self, now: Millis) {
        self.health = Health::clean(now);
        self.by_class.fill(Health::clean(now));
    }

    /// Requests there, as far as this proxy knows.
    pub fn held(&self) -> u32 {
        self.own.saturating_add(self.peers)
    }

    pub fn open(&self) -> bool {
        self.place.is_some()
    }
}

/// What is known of a kind of machine.
pub(crate) struct Kind {
    pub slow: (f64, f64), // mean relative latency, and its weight
    pub lone: (f64, f64), // mean latency of requests that found a server idle, and its weight
    pub core: Millis,     // mean latency on a core of its own
    pub cores: f64,       // cores of a server, as inferred
    pub calm: Millis,     // the least mean latency of late
    pub throttle: f64,    // the part of its slots that it is given
    pub ratings: Ratings, // whether its servers' ratings prove right
}

impl Default for Kind {
    fn default() -> Self {
        Kind {
            slow: (1.0, 0.0),
            lone: (0.0, 0.0),
            core: f64::INFINITY,
            cores: 1.0,
            calm: f64::INFINITY,
            throttle: UNMEASURED,
            ratings: Ratings::default(),
        }
    }
}

pub(crate) struct Attempt {
    pub server: usize,
    pub sent: Millis,
    pub over: bool,
    pub lone: bool,   // it found the server idle
    pub held: u32,    // requests there at its send, itself among them
    pub silent: bool, // it was out for so long that its server was blamed
    pub ran: bool,    // it runs or may have run
}

pub(crate) struct Request {
    pub class: usize,
    pub over_share: bool,
    pub size: f64,   // its expected work, relative to its class
    pub aim: Millis, // the clock time until which it earns its full worth
    pub due: Millis, // the clock time at which its client leaves
    pub key: u64,
    pub home: Option<usize>,
    pub attempts: Vec<Attempt>,
    pub waiting: bool,
    pub done: bool,
    pub started: bool,
}

impl Request {
    pub fn new(
        class: usize, size: f64, over_share: bool, aim: Millis, due: Millis, key: u64, home: Option<usize>,
    ) -> Self {
        let (attempts, waiting, done, started) = (Vec::new(), false, false, false);
        Request { class, size, over_share, aim, due, key, home, attempts, waiting, done, started }
    }

    pub fn running(&self) -> bool {
        self.attempts.iter().any(|a| !a.over)
    }

    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.ran)
    }

    pub fn tried(&self, server: usize) -> bool {
        self.attempts.iter().any(|a| a.server == server)
    }
}

/// The servers in bands of like speed, so that the fastest open one is found without a scan.
pub(crate) struct Bands {
    pub bands: Vec<Band>,
    per_ln: f64,
}

#[derive(Default)]
pub(crate) struct Band {
    pub speed: f64, // relative to the fleet's mean
    pub open: Vec<u32>,
    pub slots: f64,
}

impl Bands {
    pub fn new(count: usize, ratio: f64) -> Self {
        let middle = count as f64 / 2.0;
        let speed = |b: usize| ratio.powf(middle - b as f64);
        let bands = (0..count).map(|b| Band { speed: speed(b), ..Band::default() }).collect();
        Bands { bands, per_ln: 1.0 / ratio.ln() }
    }

    /// The band for a relative cost.
    pub fn of(&self, cost: f64) -> usize {
        let b = cost.max(1e-9).ln() * self.per_ln + self.bands.len() as f64 / 2.0 + 0.5;
        b.clamp(0.0, self.bands.len() as f64 - 1.0) as usize
    }

    /// Files a server: its own slots under `slot_band`, itself under `open_band` if it is open.
    pub fn file(
        &mut self, servers: &mut [Server], k: usize, slot_band: usize, slots: f64, open_band: Option<usize>,
    ) {
        let s = &mut servers[k];
        let old = &mut self.bands[s.slot_band].slots;
        *old -= s.slots;
        if *old < 1e-6 {
            *old = 0.0; // no residue of rounding may pass for a slot
        }
        self.bands[slot_band].slots += slots;
        (s.slot_band, s.slots) = (slot_band, slots);
        if s.place.map(|p| p.0) == open_band {
            return;
        }
        if let Some((band, at)) = s.place.take() {
            self.bands[band].open.swap_remove(at);
            if let Some(&moved) = self.bands[band].open.get(at) {
                servers[moved as usize].place = Some((band, at));
            }
        }
        if let Some(band) = open_band {
            servers[k].place = Some((band, self.bands[band].open.len()));
            self.bands[band].open.push(k as u32);
        }
    }
}

/// What another proxy told last.
pub(crate) struct Peer {
    pub heard: Millis,
    pub holds: Vec<usize>,
    pub blames: Vec<usize>,
}

/// Spreads the bits of a number.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number in [0, 1) that depends on both arguments alone: the same at every proxy.
pub(crate) fn draw(a: u64, b: u64) -> f64 {
    (mix(a ^ mix(b.wrapping_add(0x9e37_79b9_7f4a_7c15))) >> 11) as f64 / (1u64 << 53) as f64
}

/// The proxy to which a seed falls, by a draw that all proxies make alike.
pub(crate) fn falls_to(seed: u64, proxies: impl Iterator<Item = u32>) -> Option<u32> {
    let score = |i: u32| draw(seed, u64::from(i));
    proxies.max_by(|&a, &b| score(a).total_cmp(&score(b)))
}

/// Waiting requests, by class and by whether they are beyond their tenant's share, oldest first.
pub(crate) type Queues = Vec<VecDeque<RequestId>>;

/// The decisions of one proxy: feed it with [`Balancer::handle`].
pub struct Balancer {
    pub(crate) cfg: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) servers: Vec<Server>,
    pub(crate) vacant: Vec<usize>, // places of servers that have left and that nothing refers to
    pub(crate) index: FxHashMap<BackendId, usize>,
    pub(crate) names: FxHashMap<u16, usize>,
    pub(crate) bands: Bands,
    pub(crate) requests: FxHashMap<RequestId, Request>,
    pub(crate) queues: Queues,
    pub(crate) waiting: usize,
    pub(crate) running: Vec<RequestId>,
    pub(crate) ghosts: VecDeque<(Millis, usize)>, // slots of attempts given up, and until when they stay taken
    pub(crate) class_ms: Vec<(f64, f64)>,         // mean latency by class, and its weight
    pub(crate) kinds: Vec<Kind>,
    pub(crate) live: Vec<bool>,         // classes for which requests may come
    pub(crate) most_attempts: Vec<u32>, // for a request of a class
    pub(crate) some_safe: bool,         // some class may be repeated
    pub(crate) longest_aim: Millis,
    pub(crate) least_aim: Millis,
    pub(crate) blocked: Vec<f64>, // part of the servers that is closed to a class alone
    pub(crate) spread: (f64, f64), // mean square of latency over its expected value, and its weight
    pub(crate) window: f64,       // requests that this proxy may have out where it shares all servers
    pub(crate) mean_room: f64,    // slots of a mean server
    pub(crate) terms: Vec<f64>,   // by which a class's latency becomes a mean request's; 0 if not known
    pub(crate) mean: Millis,      // mean latency over all classes
    pub(crate) slowest: f64,      // calm latency of the slowest kind
    pub(crate) rating: f64,       // sum of the ratings of listed servers
    pub(crate) gain: f64,         // how much faster a warm server is
    pub(crate) temper: [(f64, f64); 2], // mean relative latency away from home and at home, and its weight
    pub(crate) arrivals: f64,
    pub(crate) rate: f64, // arrivals per ms
    pub(crate) rate_at: Millis,
    pub(crate) allowance: Vec<f64>, // requests that each tenant may still ask for within its share
    pub(crate) retries: f64,        // further attempts that the budget allows
    pub(crate) hints: Vec<(f64, f64)>, // mean hint by class, and its weight
    pub(crate) ambient: Vec<f64>,   // failure mean of a middling server, as a whole and for each class
    pub(crate) doubt: bool,         // so many servers look ill that health is not believed
    pub(crate) success: f64,        // running mean of attempts that were served
    pub(crate) ticks: u64,
    pub(crate) peers: Vec<Option<Peer>>,
    pub(crate) zones: Vec<Option<ZoneId>>, // where the proxies stand, as told
    pub(crate) credit: f64,                // bytes that may be told
    pub(crate) told_at: Millis,
    pub(crate) news: Millis, // mean span between this proxy's messages
    pub(crate) subscribed: bool,
    pub(crate) ask_at: Millis,
}

impl Balancer {
    /// Starts a proxy that knows nothing yet; `seed` is the only source of chance.
    pub fn new(cfg: Settings, seed: u64) -> Self {
        let longest_aim = cfg.classes.iter().map(|c| c.aim).fold(0.0, f64::max);
        let first_guess = (longest_aim / 4.0).max(1.0);
        let mut new = Balancer {
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            vacant: Vec::new(),
            index: FxHashMap::default(),
            names: FxHashMap::default(),
            bands: Bands::new(BANDS, BAND_RATIO),
            requests: FxHashMap::default(),
            queues: vec![VecDeque::new(); cfg.classes.len() * 2],
            waiting: 0,
            running: Vec::new(),
            ghosts: VecDeque::new(),
            class_ms: cfg.classes.iter().map(|c| (c.aim / 4.0, 0.0)).collect(),
            kinds: vec![Kind::default()],
            terms: vec![0.0; cfg.classes.len()],
            mean: first_guess,
            slowest: 0.0,
            longest_aim,
            least_aim: longest_aim,
            live: vec![true; cfg.classes.len()],
            most_attempts: vec![cfg.limits.max_attempts; cfg.classes.len()],
            some_safe: false,
            mean_room: 1.0,
            blocked: vec![0.0; cfg.classes.len()],
            spread: (2.0, 0.2 * SPREAD_SAMPLES),
            window: WINDOW_LEAST,
            rating: 0.0,
            gain: if cfg.warm_keys { 2.0 } else { 1.0 },
            temper: [(1.0, 1.0), (1.0, 1.0)],
            arrivals: 0.0,
            rate: 0.0,
            rate_at: 0.0,
            allowance: vec![1.0; cfg.tenants.len()],
            retries: 2.0,
            hints: vec![(1.0, 0.0); cfg.classes.len()],
            ambient: vec![0.0; cfg.classes.len() + 1],
            doubt: false,
            success: 1.0,
            ticks: 0,
            peers: (0..cfg.proxies).map(|_| None).collect(),
            zones: vec![None; cfg.proxies as usize],
            credit: 0.0,
            told_at: 0.0,
            news: STALE,
            subscribed: false,
            ask_at: 0.0,
            cfg,
        };
        new.survey();
        new
    }

    pub(crate) fn enqueue(&mut self, id: RequestId, first: bool) {
        let r = self.requests.get_mut(&id).expect("only known requests wait");
        r.waiting = true;
        self.waiting += 1;
        if let Some(h) = r.home {
            self.servers[h].wanted += 1;
            self.servers[h].line.push_back(id);
        }
        let queue = &mut self.queues[r.class * 2 + usize::from(r.over_share)];
        if first { queue.push_front(id) } else { queue.push_back(id) }
    }

    /// The request at a place of a queue, those that no longer wait left out.
    pub(crate) fn waiting_at(&mut self, q: usize, place: usize) -> Option<RequestId> {
        let queue = &mut self.queues[q];
        while queue.get(place).is_some_and(|id| self.requests.get(id).is_none_or(|r| !r.waiting)) {
            queue.remove(place);
        }
        queue.get(place).copied()
    }

    pub(crate) fn dequeue(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.waiting) else { return };
        r.waiting = false;
        self.waiting -= 1;
        if let Some(h) = r.home {
            self.servers[h].wanted -= 1;
            if self.servers[h].wanted == 0 {
                self.servers[h].line.clear(); // who is left in it no longer waits
            }
        }
    }

    /// Notes that a request goes to a server.
    pub(crate) fn begin(&mut self, now: Millis, id: RequestId, server: usize, lone: bool) {
        self.dequeue(id);
        let held = self.seen(server) + 1;
        let r = self.requests.get_mut(&id).expect("only known requests are sent");
        r.attempts.push(Attempt { server, sent: now, over: false, ran: true, lone, held, silent: false });
        self.running.push(id);
    }

    /// What is the gain of a warm server? Compares answers from homes with the others, each for its
    /// server's speed.
    pub(crate) fn learn_gain(&mut self, k: usize, class: usize, latency: Millis, home: bool, samples: f64) {
        if self.cfg.warm_keys {
            let s = &self.servers[k];
            let sample = latency * s.warmth / (s.slow.0.max(0.05) * self.class_ms[class].0);
            average(&mut self.temper[usize::from(home)], sample.min(20.0), samples);
            self.gain = (self.temper[0].0 / self.temper[1].0.max(0.01)).clamp(1.1, 8.0);
        }
    }

    /// Weighted rendezvous hashing; the exponent and mantissa of a float stand in for its logarithm.
    pub(crate) fn score(&self, k: usize, key: u64) -> f64 {
        let u = draw(self.servers[k].info.id.0, key) + 1e-12;
        (1023.0 - u.to_bits() as f64 / (1u64 << 52) as f64) * self.servers[k].weight
    }

    /// Forgets a request that has its answer, once all its attempts have been heard of.
    pub(crate) fn finish(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.done = true;
        if !r.running() {
            self.requests.remove(&id);
        }
    }

    /// Takes one request off a tenant's allowance, if there is any left.
    pub(crate) fn within_share(&mut self, tenant: usize) -> bool {
        let Some(left) = self.allowance.get_mut(tenant) else { return true };
        let within = *left >= 1.0;
        *left -= f64::from(u8::from(within));
        within
    }

    /// A request's expected work relative to its class, and its aim as a span.
    pub(crate) fn size_and_aim(&mut self, class: usize, hint: Option<Millis>) -> (f64, Millis) {
        let c = &self.cfg.classes[class];
        let Some(hint) = hint.filter(|h| h.is_finite() && *h > 0.0) else { return (1.0, c.aim) };
        let (mean, weight) = self.hints[class];
        average(&mut self.hints[class], if weight > 0.0 { hint.min(10.0 * mean) } else { hint }, 100.0);
        ((hint / self.hints[class].0).clamp(0.05, 50.0), (c.aim + c.aim_stretch * hint).min(c.deadline))
    }

    /// How long a request usually takes.
    pub(crate) fn usual(&self, r: &Request) -> Millis {
        self.class_ms[r.class].0 * r.size
    }

    /// Counts the listed servers and those of them that are closed as ill, and notes for each class the part
    /// that is closed to it and how often a middling server fails.
    pub(crate) fn census(&mut self, now: Millis) -> (f64, f64) {
        let listed: Vec<&Server> = self.servers.iter().filter(|s| s.told.is_none()).collect();
        for (i, middle) in self.ambient.iter_mut().enumerate() {
            let health = |s: &&Server| if i == 0 { s.health.fails } else { s.by_class[i - 1].fails };
            let mut fails: Vec<f64> = listed.iter().map(health).collect();
            fails.sort_by(f64::total_cmp);
            *middle = fails.get(fails.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
        }
        let up = listed.len() as f64 + 0.01;
        for (class, part) in self.blocked.iter_mut().enumerate() {
            *part = listed.iter().filter(|s| s.by_class[class].closed > now).count() as f64 / up;
        }
        (up, listed.iter().filter(|s| s.health.closed > now && !s.full).count() as f64)
    }

    /// The mean latency over all classes, by their answers.
    pub(crate) fn mean_latency(&self) -> Millis {
        let all = |(s, w): (f64, f64), c: &(f64, f64)| (s + c.0 * (c.1 + 0.01), w + c.1 + 0.01);
        let (sum, weight) = self.class_ms.iter().fold((0.0, 0.0), all);
        if weight > 0.0 { (sum / weight).max(0.01) } else { 1.0 }
    }

    pub(crate) fn hear(&mut self, now: Millis, from: usize, bytes: &[u8]) {
        if let Some(limits) = unpack_limits(bytes, &self.names) {
            for (k, limit, trial) in limits {
                let s = &mut self.servers[k];
                let ratings = &mut self.kinds[s.kind].ratings;
                match s.limit.told(now, limit, trial, s.prior) {
                    Some(true) => ratings.held(now),
                    Some(false) => ratings.failed(),
                    None => {}
                }
                self.size(k);
                self.place(k, now);
            }
            return;
        }
        let Some((zone, blames, holds)) = unpack(bytes, &self.names).filter(|_| from < self.peers.len())
        else {
            return;
        };
        let before = self.unhear(from);
        blames.iter().for_each(|&k| self.servers[k].blame += 1);
        holds.iter().for_each(|&k| self.servers[k].peers += 1);
        for &k in before.iter().chain(&holds) {
            self.place(k, now);
        }
        self.zones[from] = zone;
        self.peers[from] = Some(Peer { heard: now, holds, blames });
    }

    /// Takes back what a peer told before; returns the servers where it held something.
    fn unhear(&mut self, from: usize) -> Vec<usize> {
        let Some(p) = self.peers[from].take() else { return Vec::new() };
        p.blames.iter().for_each(|&k| self.servers[k].blame -= 1);
        p.holds.iter().for_each(|&k| self.servers[k].peers -= 1);
        p.holds
    }

    /// The part of its capacity that a server surely has: it warms at least evenly.
    pub(crate) fn warmth(&self, k: usize, now: Millis) -> f64 {
        let l = &self.cfg.limits;
        let age = self.servers[k].info.since.map_or(1.0, |since| ((now - since) / l.cold).clamp(0.0, 1.0));
        l.start_capacity + (1.0 - l.start_capacity) * age
    }

    /// For a keyed request that may have run: the server tried first, who drops repeats, and until when.
    pub(crate) fn bound(&self, r: &Request) -> Option<(usize, Group, Millis)> {
        let Effect::Keyed { group, window } = self.cfg.classes[r.class].effect else { return None };
        r.attempts.iter().find(|a| a.ran).map(|a| (a.server, group, a.sent + window))
    }

    /// Places for servers, vacant ones included.
    pub fn places(&self) -> usize {
        self.servers.len()
    }

    /// Gives a new server a place, one that has become vacant if there is one.
    fn settle_in(&mut self, server: Server) -> usize {
        let id = server.info.id;
        let k = self.vacant.pop().unwrap_or(self.servers.len());
        if k == self.servers.len() {
            self.servers.push(server)
        } else {
            self.servers[k] = server
        }
        self.index.insert(id, k);
        self.names.insert(short(id), k);
        k
    }

    /// Makes the places of servers that have left vacant once no request, slot or peer refers to them:
    /// servers come and go for as long as the process runs.
    pub(crate) fn reclaim(&mut self, now: Millis) {
        let left = |s: &Server| s.info.state == State::Gone && s.own == 0 && s.wanted == 0;
        let mut free: Vec<bool> = self.servers.iter().map(left).collect();
        self.vacant.iter().for_each(|&k| free[k] = false);
        let requests = self.requests.values();
        let asked = requests.flat_map(|r| r.attempts.iter().map(|a| a.server).chain(r.home));
        let peers = self.peers.iter().flatten().flat_map(|p| [&p.holds, &p.blames]).flatten().copied();
        asked.chain(peers).chain(self.ghosts.iter().map(|g| g.1)).for_each(|k| free[k] = false);
        for k in (0..free.len()).filter(|&k| free[k]) {
            self.place(k, now); // takes it out of its band
            self.index.retain(|_, place| *place != k);
            self.names.retain(|_, place| *place != k);
            self.vacant.push(k);
        }
    }

    /// Notes a line of the server list; returns the server.
    fn record(&mut self, now: Millis, mut e: Backend) -> usize {
        e.rating = if e.rating.is_finite() && e.rating > 0.0 { e.rating } else { 1.0 };
        let k = match self.index.get(&e.id) {
            Some(&k) => k,
            None => self.settle_in(Server::new(e.clone(), self.cfg.classes.len(), now)),
        };
        let s = &mut self.servers[k];
        s.told = if e.state == State::Up { None } else { s.told.or(Some(now)) };
        s.restarted |= s.info.since != e.since || e.since.is_some() && !s.fresh;
        s.kind = e.kind.map_or(0, |k| k.0 as usize + 1);
        let kinds = self.kinds.len().max(s.kind + 1);
        self.kinds.resize_with(kinds, Kind::default);
        s.info = e;
        k
    }

    /// Notes the lines of a list; returns their servers, and with a full list those that have left too.
    pub(crate) fn record_all(&mut self, now: Millis, full: bool, entries: Vec<Backend>) -> Vec<usize> {
        let mut listed: Vec<usize> = entries.into_iter().map(|e| self.record(now, e)).collect();
        if full {
            let mut left = vec![true; self.servers.len()];
            listed.iter().for_each(|&k| left[k] = false);
            for k in (0..left.len()).filter(|&k| left[k]) {
                let s = &mut self.servers[k];
                (s.told, s.info.state) = (s.told.or(Some(now)), State::Gone);
                listed.push(k);
            }
        }
        let ratings = self.servers.iter().filter(|s| s.told.is_none()).map(|s| s.info.rating);
        self.rating = ratings.sum::<f64>().max(1e-6);
        listed
    }

    /// Brings counters up to date: arrival rate, allowances, slots of attempts given up, silent peers.
    pub(crate) fn settle(&mut self, now: Millis, tick: Millis) {
        let span = now - self.rate_at;
        if span >= 10.0 * tick {
            let gain = if self.rate == 0.0 { 1.0 } else { 1.0 - (-span / RATE_SPAN).exp() };
            self.rate += gain * (self.arrivals / span - self.rate);
            (self.arrivals, self.rate_at) = (0.0, now);
        }
        for (left, tenant) in self.allowance.iter_mut().zip(&self.cfg.tenants) {
            let rate = tenant.allowance_per_s / 1000.0 / f64::from(self.cfg.proxies);
            *left = (*left + rate * tick).min(rate * 1000.0 + 1.0);
        }
        while self.ghosts.front().is_some_and(|g| g.0 <= now) {
            let (_, k) = self.ghosts.pop_front().expect("just seen");
            self.servers[k].own -= 1;
            self.place(k, now);
        }
        for from in 0..self.peers.len() {
            if self.peers[from].as_ref().is_some_and(|p| now - p.heard > STALE) {
                self.unhear(from).into_iter().for_each(|k| self.place(k, now));
            }
        }
    }
}

/// Adds a sample to a mean, given with its weight, over about `most` samples.
pub(crate) fn average(mean: &mut (f64, f64), sample: f64, most: f64) {
    mean.1 = (mean.1 + 1.0).min(most);
    mean.0 += (sample - mean.0) / mean.1;
}
