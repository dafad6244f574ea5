//! A histogram of durations whose memory does not grow with their number.

use hdrhistogram::Histogram;

use crate::Micros;

/// The longest duration that is recorded exactly, one hour; longer ones count as one hour.
const LONGEST: Micros = 3_600_000_000;
/// Significant digits of a quantile: exact to 0.1%.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Response times.
#[derive(Clone, Debug)]
pub struct Latencies {
    times: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        let times = Histogram::new_with_bounds(1, LONGEST, SIGNIFICANT_DIGITS)
            .expect("constant bounds that are in order");
        Latencies { times }
    }
}

impl Latencies {
    /// Adds a response time in microseconds.
    pub fn add(&mut self, time: Micros) {
        self.times.saturating_record(time);
    }

    /// Number of recorded response times.
    pub fn count(&self) -> u64 {
        self.times.len()
    }

    /// The quantile `q`, from 0 to 1, in milliseconds; `None` if nothing was recorded.
    pub fn quantile_ms(&self, q: f64) -> Option<f64> {
        (self.count() > 0).then(|| self.times.value_at_quantile(q) as f64 / 1000.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_are_exact_to_a_thousandth_and_an_empty_histogram_has_none() {
        let mut l = Latencies::default();
        assert_eq!(l.quantile_ms(0.5), None);
        (1..=100_000).for_each(|us| l.add(us));
        for q in [0.01, 0.5, 0.99, 0.999] {
            let (seen, want) = (l.quantile_ms(q).expect("some"), q * 100.0);
            assert!((seen / want - 1.0).abs() < 0.002, "{q}: {seen} for {want}");
        }
        l.add(u64::MAX); // counts as the longest duration
        assert_eq!(l.count(), 100_001);
    }
}
