//! Time as one proxy sees it, and how far two proxies' clocks may drift apart.

use std::time::Duration;

/// A point on one process's monotonic clock, counted from any zero of its own. Two processes' times have nothing
/// in common but their rate, and that only up to [`Drift`].
pub type Time = Duration;

/// How much faster or slower than true time a monotonic clock may run, in parts per million.
///
/// NTP slews by 500 ppm at most and crystals stay within 100; what is stated to be safe is the installation's choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drift {
    ppm: u32,
}

const MILLION: u128 = 1_000_000;

impl Drift {
    /// A drift of at most `ppm` parts per million; a tenth at the very most, so that every span keeps a length.
    pub fn ppm(ppm: u32) -> Self {
        Drift { ppm: ppm.min(100_000) }
    }

    /// The span that may pass on a clock, however slow, while at most `span` of true time passes.
    pub fn at_most(self, span: Duration) -> Duration {
        scale(span, MILLION - u128::from(self.ppm), MILLION)
    }

    /// The span that has to pass on a clock, however fast, until at least `span` of true time has passed.
    pub fn at_least(self, span: Duration) -> Duration {
        // One nanosecond for the division's rest.
        scale(span, MILLION + u128::from(self.ppm), MILLION) + Duration::from_nanos(1)
    }
}

fn scale(span: Duration, by: u128, over: u128) -> Duration {
    Duration::from_nanos(u64::try_from(span.as_nanos() * by / over).unwrap_or(u64::MAX))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_slow_clock_shows_at_most_and_a_fast_one_at_least() {
        let second = Duration::from_secs(1);
        let drift = Drift::ppm(1000);
        assert_eq!(drift.at_most(second), Duration::from_millis(999));
        assert!(drift.at_least(second) > Duration::from_millis(1001));
        assert_eq!(Drift::ppm(0).at_most(second), second);
        // What a clock shows at most, run at its slowest, takes no more than the span of true time.
        let shown = drift.at_most(second).as_secs_f64();
        assert!(shown / (1.0 - 1000e-6) <= 1.0 + 1e-9);
    }

    #[test]
    fn a_drift_beyond_reason_leaves_a_length() {
        assert!(Drift::ppm(u32::MAX).at_most(Duration::from_secs(1)) >= Duration::from_millis(900));
        assert_eq!(Drift::ppm(10).at_least(Duration::MAX).as_nanos(), u128::from(u64::MAX) + 1);
    }
}
