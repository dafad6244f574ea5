//! Times in bounded memory, whatever their number.

use hdrhistogram::Histogram;

use crate::Micros;

/// The longest time told apart, an hour; longer ones count as that.
const MOST: Micros = 3_600_000_000;
/// Digits that a quantile is exact to: 0.1%.
const DIGITS: u8 = 3;

/// How long answers took.
#[derive(Clone, Debug)]
pub struct Latencies {
    times: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        let times = Histogram::new_with_bounds(1, MOST, DIGITS).expect("constant bounds that are in order");
        Latencies { times }
    }
}

impl Latencies {
    /// Adds a time.
    pub fn add(&mut self, time: Micros) {
        self.times.saturating_record(time);
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.times.len()
    }

    /// A quantile in milliseconds, from 0 to 1; `None` of none.
    pub fn quantile_ms(&self, q: f64) -> Option<f64> {
        (self.count() > 0).then(|| self.times.value_at_quantile(q) as f64 / 1000.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_are_exact_to_a_thousandth_and_none_has_none() {
        let mut l = Latencies::default();
        assert_eq!(l.quantile_ms(0.5), None);
        (1..=100_000).for_each(|us| l.add(us));
        for q in [0.01, 0.5, 0.99, 0.999] {
            let (seen, want) = (l.quantile_ms(q).expect("some"), q * 100.0);
            assert!((seen / want - 1.0).abs() < 0.002, "{q}: {seen} for {want}");
        }
        l.add(u64::MAX); // past the bound it counts as the bound
        assert_eq!(l.count(), 100_001);
    }
}
