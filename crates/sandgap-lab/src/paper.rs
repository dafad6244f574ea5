//! Simulation of the queue in the paper of Shenker and Weinrib (see [`crate::theory`]): one queue, exponential servers
//! of several speeds, any number of slow ones. All times are memoryless, so the next event is drawn from the rates
//! alone. It checks the exact figures of [`crate::theory`] independently.

use rand::RngExt;
use rand_distr::{Distribution, Exp1};

use crate::stats::{Estimate, batches};
use crate::streams::Stream;
use crate::theory::ManySpeed;

/// Estimates from a run of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// Mean delay of a job.
    pub delay: Estimate,
    /// Mean number of jobs at the servers of the finite classes and in the queue.
    pub n: Estimate,
    /// Fraction of the jobs that went to slow servers.
    pub z: Estimate,
}

/// Number of batches of a run.
const BATCHES: usize = 25;

/// Simulates this number of jobs under thresholds, after a warm-up of a sixth of them (as in the paper).
pub fn play(system: &ManySpeed, thresholds: &[u32], jobs: u64, rng: &mut Stream) -> Seen {
    let k = system.classes.len();
    let (mut busy, mut waiting) = (vec![0u32; k], 0u32);
    let per_batch = jobs / BATCHES as u64;
    let (mut delays, mut numbers, mut slows) = (Vec::new(), Vec::new(), Vec::new());
    for batch in 0..=BATCHES {
        let count = if batch == 0 { jobs / 6 } else { per_batch };
        let (mut time, mut area, mut slow, mut arrived) = (0.0, 0.0, 0u64, 0u64);
        while arrived < count {
            let serving: f64 = busy.iter().zip(&system.classes).map(|(b, c)| f64::from(*b) * c.0).sum();
            let rate = system.lambda + serving;
            let interval: f64 = Exp1.sample(rng);
            let jobs_in_system = f64::from(busy.iter().sum::<u32>() + waiting);
            time += interval / rate;
            area += jobs_in_system * interval / rate;
            let mut x = rng.random::<f64>() * rate;
            if x < system.lambda {
                arrived += 1;
                waiting += 1;
            } else {
                x -= system.lambda;
                for (b, c) in busy.iter_mut().zip(&system.classes) {
                    let part = f64::from(*b) * c.0;
                    if x < part {
                        *b -= 1;
                        break;
                    }
                    x -= part;
                }
            }
            while waiting > 0 {
                let open = busy.iter().zip(&system.classes).position(|(b, c)| *b < c.1);
                if waiting <= thresholds[open.unwrap_or(k)] {
                    break;
                }
                waiting -= 1;
                match open {
                    Some(c) => busy[c] += 1,
                    None => slow += 1,
                }
            }
        }
        if batch > 0 {
            // Little's law for the finite part; a slow server holds a job for 1/slow on average.
            let z = slow as f64 / arrived as f64;
            delays.push(area / arrived as f64 + z / system.slow);
            numbers.push(area / time);
            slows.push(z);
        }
    }
    Seen { delay: batches(&delays), n: batches(&numbers), z: batches(&slows) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::streams::stream;
    use crate::theory::{Heuristic, TwoSpeed};

    #[test]
    fn the_simulation_agrees_with_the_formulas() {
        let s = TwoSpeed { m: 5, rho: 0.8, ratio: 4.0 };
        let system = ManySpeed { classes: vec![(1.0, 5)], slow: 0.25, lambda: 4.0 };
        let tau = system.thresholds(Heuristic::D);
        let seen = play(&system, &tau, 1_000_000, &mut stream(5, "paper", 0));
        for (what, got, want) in
            [("D", seen.delay, s.d(tau[1])), ("N", seen.n, s.n(tau[1])), ("Z", seen.z, s.z(tau[1]))]
        {
            let tolerance = 3.0 * got.half + 1e-9;
            assert!((got.mean - want).abs() < tolerance, "{what}: {got:?} for {want}");
        }
    }
}
