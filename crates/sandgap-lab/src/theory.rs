//! Exact results to check the simulator against: Erlang's formulas, the two-speed model of Shenker and Weinrib ("The
//! optimal control of heterogeneous queueing systems", IEEE ToC 1989; formula numbers are theirs) and, for any number of
//! speeds, the exact optimum as a Markov decision process.

use serde::Serialize;

/// Erlang B: the fraction of arrivals that find all `m` servers busy in a system without a queue; `load` is the
/// arrival rate over the rate of one server.
pub fn erlang_b(m: u32, load: f64) -> f64 {
    (1..=m).fold(1.0, |b, k| load * b / (f64::from(k) + load * b))
}

/// Erlang C: the fraction of arrivals that wait in a system with an unlimited queue; `rho` is the load of each server,
/// below 1.
pub fn erlang_c(m: u32, rho: f64) -> f64 {
    let b = erlang_b(m, f64::from(m) * rho);
    b / (1.0 - rho * (1.0 - b))
}

/// Mean time of a job in an M/M/m system, in mean service times.
pub fn mmm_delay(m: u32, rho: f64) -> f64 {
    1.0 + erlang_c(m, rho) / (f64::from(m) * (1.0 - rho))
}

/// The two-speed model: `m` fast servers of rate 1 and any number of slow ones of rate 1/`ratio`.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TwoSpeed {
    /// Number of fast servers.
    pub m: u32,
    /// Arrival rate over the capacity of the fast servers.
    pub rho: f64,
    /// Rate of a fast server over that of a slow one.
    pub ratio: f64,
}

impl TwoSpeed {
    /// The stationary distribution of the M/M/m/K system that a threshold makes of the fast servers, with K = m + tau.
    fn states(&self, tau: u32) -> Vec<f64> {
        let load = f64::from(self.m) * self.rho;
        let mut p = vec![1.0f64];
        for x in 1..=self.m + tau {
            let last = p[p.len() - 1];
            p.push(last * load / f64::from(x.min(self.m)));
            if p[p.len() - 1] > 1e200 {
                p.iter_mut().for_each(|q| *q *= 1e-200);
            }
        }
        let sum: f64 = p.iter().sum();
        p.iter().map(|q| q / sum).collect()
    }

    /// Mean number in the fast system, by (3.2a). `None` at rho = 1, where the formula divides by zero.
    pub fn n_formula(&self, tau: u32) -> Option<f64> {
        let (m, r) = (f64::from(self.m), self.rho);
        if (r - 1.0).abs() < 1e-9 {
            return None;
        }
        let (t, b) = (f64::from(tau), erlang_b(self.m, m * r));
        let g = (1.0 - r.powf(t)) / (1.0 - r);
        let tail = (1.0 - (1.0 + t) * r.powf(t) + t * r.powf(t + 1.0)) / (1.0 - r).powi(2);
        Some((m * r + b * m * r * (g - 1.0) + b * r * tail) / (1.0 + b * r * g))
    }

    /// Fraction of the jobs that go to slow servers, by (3.2b). `None` at rho = 1.
    pub fn z_formula(&self, tau: u32) -> Option<f64> {
        let r = self.rho;
        if (r - 1.0).abs() < 1e-9 {
            return None;
        }
        let b = erlang_b(self.m, f64::from(self.m) * r);
        Some(b * r.powi(tau as i32) / (1.0 + b * r * (1.0 - r.powi(tau as i32)) / (1.0 - r)))
    }

    /// Mean number in the fast system (N), by the stationary distribution.
    pub fn n(&self, tau: u32) -> f64 {
        self.states(tau).iter().enumerate().map(|(x, p)| x as f64 * p).sum()
    }

    /// Fraction of the jobs that go to slow servers (Z), by the stationary distribution.
    pub fn z(&self, tau: u32) -> f64 {
        self.states(tau)[(self.m + tau) as usize]
    }

    /// Mean delay by (3.1).
    pub fn d(&self, tau: u32) -> f64 {
        self.n(tau) / (f64::from(self.m) * self.rho) + self.z(tau) * self.ratio
    }

    /// The threshold with the least delay, by trying all candidates.
    pub fn best_tau(&self) -> u32 {
        let largest = (f64::from(self.m) * (self.ratio - 1.0)).floor() as u32;
        (0..=largest)
            .fold((0, f64::INFINITY), |best, tau| {
                let d = self.d(tau);
                if d < best.1 - 1e-12 { (tau, d) } else { best }
            })
            .0
    }

    /// The threshold of shortest expected delay (SED), by (2.1).
    pub fn tau_sed(&self) -> u32 {
        (f64::from(self.m) * (self.ratio - 1.0) + 1e-9).floor() as u32
    }

    /// The threshold of greedy throughput (GT), by (3.4).
    pub fn tau_gt(&self) -> u32 {
        let load = f64::from(self.m) * self.rho;
        (((1.0 + self.ratio * load) / (1.0 + load)).ln() / (1.0 + self.rho).ln() + 1e-9).floor() as u32
    }

    /// The cost of one more job at each position of the queue up to the threshold, by (4.2): upwards from an empty
    /// system if the load is at least 1, else downwards from the threshold; in the other direction, rounding errors
    /// would grow with each step.
    fn costs(&self, tau: u32, g: f64) -> Vec<f64> {
        let (m, lambda) = (f64::from(self.m), f64::from(self.m) * self.rho);
        let mut costs = vec![0.0; tau as usize + 1];
        if self.rho < 1.0 {
            let mut cost = (f64::from(self.m + tau) + lambda * self.ratio - g) / m;
            for x in (1..=tau).rev() {
                costs[x as usize] = cost;
                cost = (f64::from(self.m + x - 1) + lambda * cost - g) / m;
            }
        } else {
            let mut cost = 0.0; // of the job that brings the system to x jobs
            for x in 0..self.m + tau {
                cost = (g - f64::from(x) + f64::from(x.min(self.m)) * cost) / lambda;
                if x >= self.m {
                    costs[(x + 1 - self.m) as usize] = cost;
                }
            }
        }
        costs
    }

    /// The threshold and the least delay of any policy, by policy iteration (Howard): a policy's relative values follow
    /// from (4.1) and (4.2), and a job is admitted where that costs no more than a slow server.
    pub fn optimum(&self) -> (u32, f64) {
        let (m, lambda) = (f64::from(self.m), f64::from(self.m) * self.rho);
        let mut tau = 0u32;
        loop {
            let g = self.d(tau) * lambda;
            let admits = |cost: f64| cost <= self.ratio + 1e-12;
            // (4.1), beyond the threshold.
            let beyond = |x: u32| (f64::from(self.m + x) + lambda * self.ratio - g) / m;
            let within = self.costs(tau, g);
            let mut next = (1..=tau).rev().find(|x| admits(within[*x as usize])).unwrap_or(0);
            while next >= tau && admits(beyond(next + 1)) {
                next += 1;
            }
            // Each step improves the delay; if it does not by more than rounding, the two thresholds are equally good.
            if next == tau || self.d(next) > self.d(tau) * (1.0 - 1e-13) {
                return (tau, self.d(tau));
            }
            tau = next;
        }
    }
}

/// A system with one queue, a few classes with a finite number of servers, and any number of slow servers, as in the
/// paper's simulations. Rates are in jobs per unit of time.
#[derive(Clone, Debug, Serialize)]
pub struct ManySpeed {
    /// Rate and number of servers of the finite classes, the fastest first.
    pub classes: Vec<(f64, u32)>,
    /// Rate of a slow server; their number is unlimited.
    pub slow: f64,
    /// Arrival rate.
    pub lambda: f64,
}

/// Heuristics that decide whether a job goes to the fastest free server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Heuristic {
    /// Shortest expected delay.
    Sed,
    /// Never queue.
    Nq,
    /// Greedy throughput.
    Gt,
    /// The paper's D, with the threshold of the decision module.
    D,
}

impl ManySpeed {
    /// The threshold of a heuristic for each class of free server, the slow ones last: a job in queue position x goes
    /// there if x is above the threshold.
    pub fn thresholds(&self, heuristic: Heuristic) -> Vec<u32> {
        let mut all = Vec::new();
        for open in 0..=self.classes.len() {
            let faster = &self.classes[..open];
            let mu = self.classes.get(open).map_or(self.slow, |c| c.0);
            let m: f64 = faster.iter().map(|c| f64::from(c.1)).sum();
            let sum: f64 = faster.iter().map(|c| c.0 * f64::from(c.1)).sum();
            if m < 0.5 {
                all.push(0);
                continue;
            }
            let (rho, ratio) = (self.lambda / sum, sum / m / mu);
            all.push(match heuristic {
                Heuristic::Nq => 0,
                Heuristic::Sed => (m * (ratio - 1.0) + 1e-9).floor() as u32,
                Heuristic::Gt => TwoSpeed { m: m as u32, rho, ratio }.tau_gt(),
                Heuristic::D => wharfhitch::threshold(m, rho, ratio),
            });
        }
        all
    }

    /// The mean delay under thresholds, or with `None` the least of any policy, by exact relative value iteration with
    /// the queue truncated at `longest`. The second figure bounds its error.
    pub fn delay(&self, thresholds: Option<&[u32]>, longest: usize) -> (f64, f64) {
        let mdp = Mdp::new(self, longest);
        mdp.solve(thresholds)
    }
}

/// The Markov decision process: states are the number of busy servers of each class and the queue's length.
struct Mdp<'a> {
    system: &'a ManySpeed,
    longest: usize,
    /// How much a state's index grows with one more busy server of each class.
    stride: Vec<usize>,
    states: usize,
    /// Total rate of the uniformized process.
    uniform: f64,
}

/// Limit of iterations; the value reached by then is returned with its error bound.
const MAX_ITERATIONS: usize = 400_000;
/// Relative width of the bound at which the iteration stops.
const TOLERANCE: f64 = 1e-5;

impl<'a> Mdp<'a> {
    fn new(system: &'a ManySpeed, longest: usize) -> Self {
        let mut stride = Vec::new();
        let mut states = longest + 1;
        for c in &system.classes {
            stride.push(states);
            states *= c.1 as usize + 1;
        }
        let uniform = system.lambda + system.classes.iter().map(|c| c.0 * f64::from(c.1)).sum::<f64>();
        Mdp { system, longest, stride, states, uniform }
    }

    fn busy(&self, state: usize, class: usize) -> u32 {
        (state / self.stride[class]) as u32 % (self.system.classes[class].1 + 1)
    }

    /// The value of a state after the decisions about its waiting jobs.
    fn value_after_decisions(&self, values: &[f64], mut state: usize, thresholds: Option<&[u32]>) -> f64 {
        let mut slow_cost = 0.0;
        let mut best = f64::INFINITY;
        loop {
            let x = state % (self.longest + 1);
            if x == 0 {
                return best.min(slow_cost + values[state]);
            }
            let open = (0..self.stride.len()).find(|c| self.busy(state, *c) < self.system.classes[*c].1);
            let forced = open == Some(0) || x >= self.longest;
            let sends = match thresholds {
                _ if forced => true,
                Some(t) => x as u32 > t[open.unwrap_or(self.stride.len())],
                None => {
                    best = best.min(slow_cost + values[state]);
                    true
                }
            };
            if !sends {
                return best.min(slow_cost + values[state]);
            }
            match open {
                Some(c) => state += self.stride[c] - 1,
                None => {
                    slow_cost += 1.0 / self.system.slow;
                    state -= 1;
                }
            }
        }
    }

    fn solve(&self, thresholds: Option<&[u32]>) -> (f64, f64) {
        let (mut values, mut next) = (vec![0.0; self.states], vec![0.0; self.states]);
        // Skips states that no policy reaches: a queue while a server of the fastest class is free.
        let fast = self.system.classes.first().map_or(0, |c| c.1);
        let reached: Vec<usize> = (0..self.states)
            .filter(|s| s % (self.longest + 1) == 0 || self.stride.is_empty() || self.busy(*s, 0) == fast)
            .collect();
        let lambda = self.system.lambda;
        for n in 1..=MAX_ITERATIONS {
            let (mut least, mut most) = (f64::INFINITY, f64::NEG_INFINITY);
            for &s in &reached {
                let x = s % (self.longest + 1);
                let mut rest = self.uniform - lambda;
                let mut sum = x as f64;
                sum += lambda
                    * if x < self.longest {
                        self.value_after_decisions(&values, s + 1, thresholds)
                    } else {
                        values[s] + 1.0 / self.system.slow // truncated queue: the job goes to a slow server
                    };
                for (c, (mu, _)) in self.system.classes.iter().enumerate() {
                    let busy = f64::from(self.busy(s, c));
                    sum += busy;
                    if busy > 0.0 {
                        sum +=
                            busy * mu * self.value_after_decisions(&values, s - self.stride[c], thresholds);
                        rest -= busy * mu;
                    }
                }
                next[s] = (sum + rest * values[s]) / self.uniform;
                let step = next[s] - values[s];
                (least, most) = (least.min(step), most.max(step));
            }
            let base = next[0];
            reached.iter().for_each(|&s| values[s] = next[s] - base);
            let done = most - least <= TOLERANCE * least.max(1e-12);
            if done || n == MAX_ITERATIONS {
                let delay = |g: f64| g * self.uniform / lambda;
                return (delay((least + most) / 2.0), delay((most - least) / 2.0));
            }
        }
        unreachable!("the last iteration returns")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn erlang_formulas_match_the_tables() {
        assert!((erlang_b(1, 1.0) - 0.5).abs() < 1e-12);
        assert!((erlang_b(10, 5.0) - 0.018_385).abs() < 1e-6);
        assert!((mmm_delay(1, 0.8) - 5.0).abs() < 1e-9); // 1 / (1 - rho)
        assert!((erlang_c(2, 0.5) - 1.0 / 3.0).abs() < 1e-12);
    }

    #[test]
    fn the_formulas_agree_with_the_stationary_distribution() {
        for m in [1, 2, 5, 10] {
            for rho in [0.5, 0.8, 0.95, 1.2] {
                for tau in [0, 1, 5, 20] {
                    let s = TwoSpeed { m, rho, ratio: 4.0 };
                    let (n, z) =
                        (s.n_formula(tau).expect("rho is not 1"), s.z_formula(tau).expect("as well"));
                    assert!((n / s.n(tau) - 1.0).abs() < 1e-9, "{s:?} {tau}: {n} {}", s.n(tau));
                    assert!((z / s.z(tau) - 1.0).abs() < 1e-9, "{s:?} {tau}: {z} {}", s.z(tau));
                }
            }
        }
    }

    #[test]
    fn the_threshold_of_3_3_is_optimal() {
        for m in [1, 2, 5, 10, 20] {
            for rho in [0.3, 0.5, 0.8, 0.95, 1.0, 1.2, 2.0] {
                for ratio in [1.5, 2.0, 4.0, 16.0, 64.0] {
                    let s = TwoSpeed { m, rho, ratio };
                    let tau = wharfhitch::threshold(f64::from(m), rho, ratio);
                    let (best, optimum) = (s.d(s.best_tau()), s.optimum().1);
                    // Compares delays, since two thresholds may be equally good.
                    assert!((s.d(tau) / best - 1.0).abs() < 1e-9, "{s:?}: {tau} for {}", s.best_tau());
                    assert!((optimum / best - 1.0).abs() < 1e-9, "{s:?}: {:?}", s.optimum());
                }
            }
        }
    }

    #[test]
    fn the_decision_process_agrees_with_the_two_speed_model() {
        let s = TwoSpeed { m: 3, rho: 0.9, ratio: 6.0 };
        let system = ManySpeed { classes: vec![(1.0, 3)], slow: 1.0 / 6.0, lambda: 2.7 };
        let d = system.thresholds(Heuristic::D);
        let (seen, bound) = system.delay(Some(&d), 60);
        assert!((seen - s.d(d[1])).abs() <= bound + 1e-3, "{seen} +- {bound} for {}", s.d(d[1]));
        let (best, bound) = system.delay(None, 60);
        assert!((best - s.optimum().1).abs() <= bound + 1e-3, "{best} +- {bound} for {:?}", s.optimum());
    }
}
