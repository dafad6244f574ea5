//! Limits how long a slow client is waited for.

use std::time::Duration;

use tokio::time::Instant;

use super::MAX_BUFFERED_BODY;

/// Initial wait credit, used in one or several waits: a client may take 2 s to write a request. One that stops sending
/// gets its error well within the 3 s in which it must get one.
const INITIAL_CREDIT: Duration = Duration::from_secs(2);
/// Bytes that earn a further second of credit; half the rate of a slow client.
const MIN_BYTES_PER_S: f64 = 32e3;
/// Maximum credit for a single wait, regardless of the bytes received: a client that stops must be closed within 3 s.
const MAX_CREDIT: Duration = Duration::from_millis(2500);

/// How long a peer is waited for, by what it has sent: a token bucket of time that received bytes refill.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    waiting_since: Option<Instant>,
    credit: Duration,
    has_waited: bool,
    passed: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { waiting_since: None, credit: INITIAL_CREDIT, has_waited: false, passed: 0 }
    }
}

impl Pace {
    /// No bytes are available; returns the time until which to wait for them.
    pub fn blocked(&mut self, now: Instant) -> Instant {
        *self.waiting_since.get_or_insert(now) + self.credit
    }

    /// Records that bytes have arrived.
    pub fn received(&mut self, now: Instant, bytes: usize) {
        let waited = self.waiting_since.take().map_or(Duration::ZERO, |since| now - since);
        self.has_waited |= waited > Duration::from_millis(1);
        self.passed += bytes as u64;
        let max_credit =
            (INITIAL_CREDIT + earned(self.passed.saturating_sub(MAX_BUFFERED_BODY as u64))).min(MAX_CREDIT);
        self.credit = (self.credit.saturating_sub(waited) + earned(bytes as u64)).min(max_credit);
    }

    /// Number of bytes received.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Whether the peer has been waited for at all (for more than 1 ms).
    pub fn has_waited(&self) -> bool {
        self.has_waited
    }
}

/// The wait credit earned by a number of bytes.
fn earned(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_S)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_wait_for_a_peer_depends_on_the_bytes_received() {
        let start = Instant::now();
        let ms = Duration::from_millis;
        let mut pace = Pace::default();
        assert_eq!(pace.blocked(start), start + INITIAL_CREDIT);
        assert_eq!(pace.blocked(start + ms(100)), start + INITIAL_CREDIT, "the wait began at the start");
        pace.received(start + ms(1500), 32_000);
        assert!(pace.has_waited());
        assert_eq!(pace.blocked(start + ms(1900)), start + ms(1900) + ms(1000) + INITIAL_CREDIT - ms(1500));
        // Bytes of a short body earn nothing beyond the initial credit, so that a client that stops is closed soon.
        let mut pace = Pace::default();
        pace.received(start, 64_000);
        assert_eq!(pace.blocked(start), start + INITIAL_CREDIT);
        // Chunks too small to earn credit share the initial one.
        let mut pace = Pace::default();
        for piece in 0..3 {
            pace.blocked(start + ms(600 * piece));
            pace.received(start + ms(600 * (piece + 1)), 1);
        }
        assert!(pace.blocked(start + ms(1800)) < start + ms(2001));
        // At twice the minimum rate a client is never cut off.
        let (mut pace, mut now) = (Pace::default(), start);
        for _ in 0..500 {
            assert!(pace.blocked(now) > now + ms(500));
            now += ms(500);
            pace.received(now, 32_000);
        }
        assert_eq!(
            pace.blocked(now),
            now + MAX_CREDIT,
            "a client that then stops is cut off after the maximum credit"
        );
    }

    #[test]
    fn a_client_that_stops_is_waited_for_less_than_the_protocol_allows() {
        let start = Instant::now();
        for bytes in [1, 64 << 10, 100_000, 150_000, 32 << 20] {
            let mut pace = Pace::default();
            pace.received(start, bytes);
            let waited = pace.blocked(start) - start;
            assert!(waited < Duration::from_millis(2800), "{waited:?} after {bytes} bytes");
        }
    }
}
