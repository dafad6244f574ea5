//! The number of requests that a server should hold, and which of its slots belong to this proxy. Combines the rating,
//! the proxies' shares and the limits learned in `src/limit.rs`.
use crate::choice::{LATE_AIM_FRACTION, MIN_WINDOW};
use crate::interface::*;
use crate::limit::{ChangeReason, MAX_LIMIT};
use crate::state::*;

/// Requests that a core may hold; slightly more than one keeps it busy between answers.
pub(crate) const REQUESTS_PER_CORE: f64 = 1.1;
/// Number of own slots below which proxies share all slots, for exponentially distributed latencies.
const POOLING_MIN_SLOTS: f64 = 8.0;
/// Factor by which a late or rejected attempt shrinks the in-flight window.
const WINDOW_CUT: f64 = 0.9;
/// Answers of a class before its latencies count as evidence about limits.
pub(crate) const CLASS_MIN_ANSWERS: f64 = 20.0;
/// Greatest limit assumed for a server of unknown size before anything is learned, in requests.
const MAX_UNRATED_SLOTS: f64 = 32.0;
/// Length of a proxy's turn to probe a server's limit, in ms.
const PROBE_TURN_MS: Millis = 300.0;

impl Balancer {
    /// Whether this proxy's share of all slots is too small to work with alone: with few own slots, waits are
    /// long, in proportion to (1 + cv²) / slots (Pollaczek and Khinchine).
    pub(crate) fn shares_slots(&self) -> bool {
        let own = self.mean_slots * self.servers.len() as f64 / f64::from(self.cfg.proxies);
        !self.cfg.messages_allowed
            && self.cfg.proxies > 1
            && own < POOLING_MIN_SLOTS * self.latency_spread.0 / 2.0
    }

    /// Requests that this proxy may have in flight.
    pub(crate) fn max_in_flight(&self) -> usize {
        if self.shares_slots() { self.in_flight_window as usize } else { usize::MAX }
    }

    /// Shrinks the in-flight window for answers that use up too much of their aim, against congestion and servers
    /// that slow down under load. May do harm where only a few slow servers cause the late answers.
    pub(crate) fn adjust_window(&mut self, good: bool) {
        let used = self.running.len() as f64 + 2.0 > self.in_flight_window;
        let window = if good {
            self.in_flight_window + if used { 0.5 } else { 0.0 }
        } else {
            self.in_flight_window * WINDOW_CUT
        };
        self.in_flight_window = window.clamp(MIN_WINDOW, self.servers.len().max(4) as f64);
    }

    /// Updates a server's slots and the number of them that belong to this proxy.
    pub(crate) fn update_slots(&mut self, k: usize) {
        let s = &self.servers[k];
        // A rating is cores times speed; a core of the slowest kind has about the reference speed.
        let size = if self.cfg.rating == Rating::Size { s.info.rating } else { 1.0 };
        let kind = &self.kinds[s.kind];
        let cores = size * (kind.core_latency / self.slowest_core_ms).min(1.0);
        let rated_slots = if self.cfg.rating == Rating::Size {
            (REQUESTS_PER_CORE * kind.throttle * cores).max(1.0)
        } else {
            // The size is unknown: as many requests as one core would answer within a fraction of the shortest aim,
            // at the present latency, so that congestion lowers the value automatically.
            (LATE_AIM_FRACTION * self.shortest_aim / (self.mean_ms * kind.relative_latency.0.max(0.05)))
                .clamp(1.0, MAX_UNRATED_SLOTS)
        };
        let total_slots = s.limit.slots(rated_slots);
        let own_slots = if self.shares_slots() && !s.limit.learned() {
            1.0 // one slot on every server
        } else {
            // Each slot belongs to one proxy, in the server's zone if possible, so that no two proxies see it open.
            f64::from(self.owned_slots(k, (total_slots + hash_to_unit(s.info.id.0, 0)).floor() as u32))
        };
        self.kinds[s.kind].cores = cores.max(1.0);
        let s = &mut self.servers[k];
        (s.rated_slots, s.total_slots, s.own_slots) = (rated_slots, total_slots, own_slots);
        s.weight = 1.0 / (s.info.rating * s.warm_fraction).max(1e-6);
    }

    /// The number of a server's slots that belong to this proxy. Each slot has one owner among the proxies of the
    /// server's zone, or among all if that zone has none, by a hash common to all proxies.
    pub(crate) fn owned_slots(&self, k: usize, slots: u32) -> u32 {
        let info = &self.servers[k].info;
        let near = |i: &u32| self.zones[*i as usize].is_none() || self.zones[*i as usize] == info.zone;
        let any = (0..self.cfg.proxies).any(|i| near(&i));
        let near = || (0..self.cfg.proxies).filter(|i| near(i) || !any);
        let is_own =
            |slot: &u32| hash_owner(info.id.0 ^ u64::from(*slot), near()) == Some(self.cfg.proxy_index);
        (0..slots.min(MAX_LIMIT as u32)).filter(is_own).count() as u32 // bounds the work whatever rating a list holds
    }

    /// Estimated requests at a server: if no peer has reported, each is assumed to have as many there as this proxy.
    pub(crate) fn estimated_held(&self, k: usize) -> u32 {
        let s = &self.servers[k];
        let silent = self.cfg.proxies > 1 && self.peers.iter().all(Option::is_none);
        if silent { s.own_attempts.saturating_mul(self.cfg.proxies) } else { s.held() }
    }

    /// Passes an answer to a server's limit, its latency scaled to that of a mean request.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn record_answer(
        &mut self, now: Millis, k: usize, class: usize, sent: Millis, held: f64, ms: Millis, home: bool,
    ) {
        let ms = ms * self.class_scale[class] * if home { self.warm_gain } else { 1.0 };
        let s = &mut self.servers[k];
        if s.warm_fraction >= 1.0 {
            s.limit.answer(now, sent, held, ms);
        }
    }

    /// Passes a rejection to a server's limit. Returns whether it is evidence about the limit rather than about health.
    pub(crate) fn record_rejection(&mut self, now: Millis, k: usize, sent: Millis, held: f64) -> bool {
        let alone = self.cfg.proxies == 1;
        let s = &mut self.servers[k];
        let moved = s.limit.full(now, sent, held - 1.0, alone, s.rated_slots);
        s.limit_changed |= moved;
        self.update_slots(k);
        moved
    }

    /// Whether this proxy may probe a server's limit now. Proxies take turns by a hash of the server and the current
    /// interval of their own clock, so that only one probes at a time.
    fn may_probe(&self, now: Millis, k: usize) -> bool {
        let (s, span) = (&self.servers[k], (now / PROBE_TURN_MS) as u64);
        let turn = || hash_owner(s.info.id.0 ^ span, 0..self.cfg.proxies) == Some(self.cfg.proxy_index);
        let due = || {
            let chance = hash_to_unit(span, s.info.id.0);
            s.limit.learned() || self.kinds[s.kind].ratings.may_try(now, chance)
        };
        f64::from(self.estimated_held(k)) + 0.5 > s.total_slots && (s.limit.growing(now) || turn()) && due()
    }

    /// Reviews the learned limits of all servers.
    pub(crate) fn review_limits(&mut self, now: Millis) {
        let saturated = self.waiting > 0 && self.bands.bands.iter().all(|b| b.open.is_empty());
        for k in 0..self.servers.len() {
            let probe = saturated && self.may_probe(now, k);
            let s = &mut self.servers[k];
            // With several proxies, low concurrency levels occur by chance. A rating is doubted only if answers use
            // up too much of the time that requests have.
            let late = s.relative_latency.0 * self.mean_ms > LATE_AIM_FRACTION * self.shortest_aim;
            let may_reduce = late || s.limit.learned() && self.cfg.proxies == 1;
            let rated = !s.limit.proven();
            if s.withdrawn_at.is_none()
                && s.warm_fraction >= 1.0
                && let Some(why) = s.limit.review(now, s.rated_slots, probe, may_reduce)
            {
                s.limit_changed = true;
                match why {
                    ChangeReason::Grew if rated => self.kinds[s.kind].ratings.failed(),
                    ChangeReason::NoGain | ChangeReason::Fits if rated => {
                        self.kinds[s.kind].ratings.held(now)
                    }
                    _ => {}
                }
                self.update_slots(k);
            }
        }
    }
}
