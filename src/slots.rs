//! How many requests a server should hold, and which of its slots are this proxy's own. What is learned of that is
//! in `src/limit.rs`; here the rating, the proxies' parts and the limits are brought together.
use crate::choice::{LATE, WINDOW_LEAST};
use crate::interface::*;
use crate::limit::{MOST, Why};
use crate::state::*;

pub(crate) const FULLNESS: f64 = 1.1; // requests a core may hold: a little over one keeps it busy between answers
const OWN_LEAST: f64 = 8.0; // own slots under which proxies share all, for answers of exponential spread
const WINDOW_CUT: f64 = 0.9; // by which such an answer shrinks the in-flight window
pub(crate) const CLASS_KNOWN: f64 = 20.0; // answers of a class before it tells of limits
const UNRATED: f64 = 32.0; // greatest limit believed of a server of unknown size before anything is learned
const TURN: Millis = 300.0; // span for which a proxy's turn to try a server's limit lasts

impl Balancer {
    /// Whether this proxy's part of all slots is too small to do without the others': a few servers of one's
    /// own leave long waits, in proportion to (1 + cv²) / slots (Pollaczek and Khinchine).
    pub(crate) fn pools(&self) -> bool {
        let own = self.mean_room * self.servers.len() as f64 / f64::from(self.cfg.proxies);
        !self.cfg.may_tell && self.cfg.proxies > 1 && own < OWN_LEAST * self.spread.0 / 2.0
    }

    /// Requests that this proxy may have out.
    pub(crate) fn most_out(&self) -> usize {
        if self.pools() { self.window as usize } else { usize::MAX }
    }

    /// Answers that eat up their aim narrow that window: against jams, and servers that slow when crowded.
    /// Could harm where a few slow servers alone make the late answers.
    pub(crate) fn fit_window(&mut self, good: bool) {
        let used = self.running.len() as f64 + 2.0 > self.window;
        let window = if good { self.window + if used { 0.5 } else { 0.0 } } else { self.window * WINDOW_CUT };
        self.window = window.clamp(WINDOW_LEAST, self.servers.len().max(4) as f64);
    }

    /// How many slots a server has, and which of them are this proxy's own.
    pub(crate) fn size(&mut self, k: usize) {
        let s = &self.servers[k];
        // A rating is cores times speed; on the slowest kind a core has about the speed of the yardstick.
        let rating = if self.cfg.rating == Rating::Size { s.info.rating } else { 1.0 };
        let kind = &self.kinds[s.kind];
        let cores = rating * (kind.core / self.slowest).min(1.0);
        let prior = if self.cfg.rating == Rating::Size {
            (FULLNESS * kind.throttle * cores).max(1.0)
        } else {
            // Nobody tells its size: as many as one core alone would answer within a part of the least aim, by what
            // answers take at present, so that crowds lower it by themselves.
            (LATE * self.least_aim / (self.mean * kind.slow.0.max(0.05))).clamp(1.0, UNRATED)
        };
        let room = s.limit.slots(prior);
        let mine = if self.pools() && !s.limit.learned() {
            1.0 // one slot on every server
        } else {
            // Each slot belongs to one proxy, of the server's zone if there is one: no two see it open.
            f64::from(self.owned(k, (room + draw(s.info.id.0, 0)).floor() as u32))
        };
        self.kinds[s.kind].cores = cores.max(1.0);
        let s = &mut self.servers[k];
        (s.prior, s.room, s.mine) = (prior, room, mine);
        s.weight = 1.0 / (s.info.rating * s.warmth).max(1e-6);
    }

    /// How many of a server's slots are this proxy's own: each has one owner among the proxies of the
    /// server's zone, or among all where there is none, by a hash that all of them share.
    pub(crate) fn owned(&self, k: usize, slots: u32) -> u32 {
        let info = &self.servers[k].info;
        let near = |i: &u32| self.zones[*i as usize].is_none() || self.zones[*i as usize] == info.zone;
        let any = (0..self.cfg.proxies).any(|i| near(&i));
        let near = || (0..self.cfg.proxies).filter(|i| near(i) || !any);
        let mine = |slot: &u32| falls_to(info.id.0 ^ u64::from(*slot), near()) == Some(self.cfg.me);
        (0..slots.min(MOST as u32)).filter(mine).count() as u32 // whatever a list says
    }

    /// Requests at a server as far as this proxy can tell: where the others are silent, as many each as it has.
    pub(crate) fn seen(&self, k: usize) -> u32 {
        let s = &self.servers[k];
        let silent = self.cfg.proxies > 1 && self.peers.iter().all(Option::is_none);
        if silent { s.own.saturating_mul(self.cfg.proxies) } else { s.held() }
    }

    /// Tells a server's limit of an answer, in the terms of a mean request.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn weigh(
        &mut self, now: Millis, k: usize, class: usize, sent: Millis, held: f64, ms: Millis, home: bool,
    ) {
        let ms = ms * self.terms[class] * if home { self.gain } else { 1.0 };
        let s = &mut self.servers[k];
        if s.warmth >= 1.0 {
            s.limit.answer(now, sent, held, ms);
        }
    }

    /// Tells it that a request was turned away; whether that says more of the limit than of the server.
    pub(crate) fn turned_away(&mut self, now: Millis, k: usize, sent: Millis, held: f64) -> bool {
        let alone = self.cfg.proxies == 1;
        let s = &mut self.servers[k];
        let moved = s.limit.full(now, sent, held - 1.0, alone, s.prior);
        s.news |= moved;
        self.size(k);
        moved
    }

    /// Whether this proxy may try a server's limit now. Only one does at a time: they take turns by a hash of the
    /// server and of the span in which it is, by each one's own clock.
    fn may_probe(&self, now: Millis, k: usize) -> bool {
        let (s, span) = (&self.servers[k], (now / TURN) as u64);
        let turn = || falls_to(s.info.id.0 ^ span, 0..self.cfg.proxies) == Some(self.cfg.me);
        let due = || {
            let chance = draw(span, s.info.id.0);
            s.limit.learned() || self.kinds[s.kind].ratings.may_try(now, chance)
        };
        f64::from(self.seen(k)) + 0.5 > s.room && (s.limit.growing(now) || turn()) && due()
    }

    /// Looks the limits over.
    pub(crate) fn limits(&mut self, now: Millis) {
        let pressed = self.waiting > 0 && self.bands.bands.iter().all(|b| b.open.is_empty());
        for k in 0..self.servers.len() {
            let probe = pressed && self.may_probe(now, k);
            let s = &mut self.servers[k];
            // Where several proxies send, low levels are met by chance; a rating is doubted only where answers
            // eat up what requests have time for.
            let late = s.slow.0 * self.mean > LATE * self.least_aim;
            let look = late || s.limit.learned() && self.cfg.proxies == 1;
            let rated = !s.limit.proven();
            if s.told.is_none()
                && s.warmth >= 1.0
                && let Some(why) = s.limit.review(now, s.prior, probe, look)
            {
                s.news = true;
                match why {
                    Why::Grew if rated => self.kinds[s.kind].ratings.failed(),
                    Why::NoGain | Why::Fits if rated => self.kinds[s.kind].ratings.held(now),
                    _ => {}
                }
                self.size(k);
            }
        }
    }
}
