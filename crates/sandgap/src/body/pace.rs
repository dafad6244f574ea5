//! How long a slow client is waited for.

use std::time::Duration;

use tokio::time::Instant;

/// A client may keep us waiting this long at first ...
const GRACE: Duration = Duration::from_millis(700);
/// ... a second more for so many bytes that have come, half of what a slow one sends ...
const LEAST_RATE: f64 = 32e3;
/// ... and so long at once.
const CREDIT: Duration = Duration::from_secs(5);

/// How long a peer may keep us waiting, by what it has sent: a bucket of time that bytes fill.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    waiting: Option<Instant>,
    credit: Duration,
    waited: bool,
    passed: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { waiting: None, credit: GRACE, waited: false, passed: 0 }
    }
}

impl Pace {
    /// Nothing is there at present; returns until when that may last.
    pub fn blocked(&mut self, now: Instant) -> Instant {
        *self.waiting.get_or_insert(now) + self.credit
    }

    /// Some bytes have come.
    pub fn moved(&mut self, now: Instant, bytes: usize) {
        let waited = self.waiting.take().map_or(Duration::ZERO, |since| now - since);
        self.waited |= waited > Duration::from_millis(1);
        let earned = Duration::from_secs_f64(bytes as f64 / LEAST_RATE);
        self.credit = (self.credit.saturating_sub(waited) + earned).min(CREDIT);
        self.passed += bytes as u64;
    }

    /// Bytes that have come.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Whether the peer has been waited for at all.
    pub fn has_waited(&self) -> bool {
        self.waited
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_peer_is_waited_for_by_what_it_has_sent() {
        let start = Instant::now();
        let ms = Duration::from_millis;
        let mut pace = Pace::default();
        assert_eq!(pace.blocked(start), start + GRACE);
        assert_eq!(pace.blocked(start + ms(100)), start + GRACE, "it has been waited for since the start");
        pace.moved(start + ms(500), 32_000);
        assert!(pace.has_waited());
        assert_eq!(pace.blocked(start + ms(900)), start + ms(900) + ms(1000) + GRACE - ms(500));
        // At twice the least rate it is never cut off, however long that lasts.
        let (mut pace, mut now) = (Pace::default(), start);
        for _ in 0..500 {
            assert!(pace.blocked(now) > now + ms(500));
            now += ms(500);
            pace.moved(now, 32_000);
        }
        assert_eq!(pace.blocked(now), now + CREDIT, "one that then falls silent is");
    }
}
