//! Time on a proxy's monotonic clock, and the bound on clock drift.

use std::time::Duration;

/// A point in time on one process's monotonic clock, counted from an arbitrary zero. Times of two processes are not
/// comparable; only their rates agree, up to [`Drift`].
pub type Time = Duration;

/// How much faster or slower than true time a monotonic clock may run, in parts per million.
///
/// NTP slews by at most 500 ppm and crystals stay within 100 ppm. The safe value is configured per installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drift {
    ppm: u32,
}

const MILLION: u128 = 1_000_000;

impl Drift {
    /// A drift of at most `ppm` parts per million, limited to 100,000 (a tenth) so that no span shrinks to zero.
    pub fn ppm(ppm: u32) -> Self {
        Drift { ppm: ppm.min(100_000) }
    }

    /// The span that even the slowest clock may show while at most `span` of true time has passed.
    pub fn at_most(self, span: Duration) -> Duration {
        scale(span, MILLION - u128::from(self.ppm), MILLION)
    }

    /// The span that even the fastest clock must show before at least `span` of true time has passed.
    pub fn at_least(self, span: Duration) -> Duration {
        // One nanosecond for the remainder of the division.
        scale(span, MILLION + u128::from(self.ppm), MILLION) + Duration::from_nanos(1)
    }
}

fn scale(span: Duration, numerator: u128, denominator: u128) -> Duration {
    Duration::from_nanos(u64::try_from(span.as_nanos() * numerator / denominator).unwrap_or(u64::MAX))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_are_bounded_for_slow_and_fast_clocks() {
        let second = Duration::from_secs(1);
        let drift = Drift::ppm(1000);
        assert_eq!(drift.at_most(second), Duration::from_millis(999));
        assert!(drift.at_least(second) > Duration::from_millis(1001));
        assert_eq!(Drift::ppm(0).at_most(second), second);
        // On the slowest clock, the shortened span takes no more true time than the original span.
        let shown = drift.at_most(second).as_secs_f64();
        assert!(shown / (1.0 - 1000e-6) <= 1.0 + 1e-9);
    }

    #[test]
    fn an_excessive_drift_is_limited_and_spans_saturate() {
        assert!(Drift::ppm(u32::MAX).at_most(Duration::from_secs(1)) >= Duration::from_millis(900));
        assert_eq!(Drift::ppm(10).at_least(Duration::MAX).as_nanos(), u128::from(u64::MAX) + 1);
    }
}
