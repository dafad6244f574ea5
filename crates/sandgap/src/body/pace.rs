//! How long a slow client is waited for.

use std::time::Duration;

use tokio::time::Instant;

use super::WHOLE;

/// A client may keep us waiting this long at first, in as many pieces as it likes: it may take 2 s to write a request.
/// One that stops for good has its error well within the 3 s that it is owed one in ...
const GRACE: Duration = Duration::from_secs(2);
/// ... a second more for so many bytes that have come, half of what a slow one sends ...
const LEAST_RATE: f64 = 32e3;
/// ... and so long at once, however much has come: who stops for good is owed its end within 3 s.
const CREDIT: Duration = Duration::from_millis(2500);

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
        self.passed += bytes as u64;
        let most = (GRACE + earned(self.passed.saturating_sub(WHOLE as u64))).min(CREDIT);
        self.credit = (self.credit.saturating_sub(waited) + earned(bytes as u64)).min(most);
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

/// The time that bytes earn.
fn earned(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / LEAST_RATE)
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
        pace.moved(start + ms(1500), 32_000);
        assert!(pace.has_waited());
        assert_eq!(pace.blocked(start + ms(1900)), start + ms(1900) + ms(1000) + GRACE - ms(1500));
        // Bytes of a short body earn nothing beyond the first span: whoever stops has its end soon.
        let mut pace = Pace::default();
        pace.moved(start, 64_000);
        assert_eq!(pace.blocked(start), start + GRACE);
        // Pieces that earn nothing share it.
        let mut pace = Pace::default();
        for piece in 0..3 {
            pace.blocked(start + ms(600 * piece));
            pace.moved(start + ms(600 * (piece + 1)), 1);
        }
        assert!(pace.blocked(start + ms(1800)) < start + ms(2001));
        // At twice the least rate it is never cut off, however long that lasts.
        let (mut pace, mut now) = (Pace::default(), start);
        for _ in 0..500 {
            assert!(pace.blocked(now) > now + ms(500));
            now += ms(500);
            pace.moved(now, 32_000);
        }
        assert_eq!(pace.blocked(now), now + CREDIT, "one that then falls silent is");
    }

    #[test]
    fn whoever_stops_for_good_is_waited_for_less_than_its_end_is_owed_in() {
        let start = Instant::now();
        for bytes in [1, 64 << 10, 100_000, 150_000, 32 << 20] {
            let mut pace = Pace::default();
            pace.moved(start, bytes);
            let waited = pace.blocked(start) - start;
            assert!(waited < Duration::from_millis(2800), "{waited:?} after {bytes} bytes");
        }
    }
}
