//! For how long a client's last byte may have waited unread.
//!
//! The client of a large request counts its time from when it has written the last byte. Where the proxy pauses reading, that
//! byte may wait in the buffers of either machine, whose sizes the proxy does not know. But it can't have been delayed by more
//! than the pauses since everything that the client had written was last known to be read.

use std::time::Duration;

use tokio::time::Instant;

/// Time in which what a client has written arrives once everything before it has been read.
const DELIVERY_TIME: Duration = Duration::from_millis(200);

/// What the reader of a body is doing.
#[derive(Clone, Copy, Debug)]
enum Reading {
    /// Bytes may be unread.
    Paused,
    /// Everything that has arrived is read, and the client is awaited.
    Awaiting,
}

/// Adds up the pauses in reading a client's body.
#[derive(Clone, Copy, Debug)]
pub struct ReadDelay {
    reading: Reading,
    since: Instant,
    /// Ended pauses since everything the client had written was known to be read.
    paused: Duration,
    /// For how long the client has been awaited since then, less the pauses; [`DELIVERY_TIME`] at most.
    awaited: Duration,
}

impl ReadDelay {
    /// Starts with everything read that has arrived.
    pub fn new(now: Instant) -> Self {
        ReadDelay { reading: Reading::Awaiting, since: now, paused: Duration::ZERO, awaited: Duration::ZERO }
    }

    /// From now on bytes may arrive unread.
    pub fn pause(&mut self, now: Instant) {
        self.enter(Reading::Paused, now);
    }

    /// Everything that has arrived is read; the client is awaited.
    pub fn wait(&mut self, now: Instant) {
        self.enter(Reading::Awaiting, now);
    }

    /// Whether the client is awaited.
    pub fn awaits_client(&self) -> bool {
        matches!(self.reading, Reading::Awaiting)
    }

    /// For how long the client's last byte, if it has been written, may have waited to be read.
    pub fn get(&self, now: Instant) -> Duration {
        let mut current = *self;
        current.enter(self.reading, now);
        current.paused
    }

    fn enter(&mut self, reading: Reading, now: Instant) {
        let span = now.saturating_duration_since(self.since);
        match self.reading {
            Reading::Paused => {
                self.paused += span;
                self.awaited = self.awaited.saturating_sub(span);
            }
            Reading::Awaiting => {
                self.awaited = (self.awaited + span).min(DELIVERY_TIME);
                if self.awaited == DELIVERY_TIME {
                    self.paused = Duration::ZERO;
                }
            }
        }
        (self.reading, self.since) = (reading, now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// The delay after spans in ms: pauses, and waits for the client in turn.
    fn after(spans: &[(u32, u32)]) -> Duration {
        let mut now = Instant::now();
        let mut delay = ReadDelay::new(now);
        for (paused, awaited) in spans {
            delay.pause(now);
            now += *paused * MS;
            delay.wait(now);
            now += *awaited * MS;
        }
        delay.get(now)
    }

    #[test]
    fn pauses_add_up_until_everything_written_has_arrived() {
        assert_eq!(after(&[(300, 0), (400, 0)]), 700 * MS);
        // A window that opens after a pause lets bytes come only a round trip later.
        assert_eq!(after(&[(100, 50); 20]), 2000 * MS);
        assert_eq!(after(&[(300, 199)]), 300 * MS);
        assert_eq!(after(&[(300, 200)]), Duration::ZERO, "the client had written nothing more");
        assert_eq!(after(&[(300, 200), (50, 0)]), 50 * MS);
    }

    #[test]
    fn a_client_that_writes_in_small_parts_is_not_charged_for_an_old_pause() {
        let parts = [(1, 45); 8];
        assert!(after(&[&[(1000, 45)], &parts[..]].concat()) < 5 * MS);
    }

    #[test]
    fn a_pause_counts_while_it_lasts() {
        let now = Instant::now();
        let mut delay = ReadDelay::new(now);
        delay.pause(now);
        assert_eq!(delay.get(now + 700 * MS), 700 * MS);
        assert!(!delay.awaits_client());
    }
}
