//! How well the proxy serves when the discovery list gives wrong backend sizes, compared with the same proxy given the
//! true ones, in turn and with the ledger's checks.

use std::fmt;

use serde::Serialize;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep_until;

use crate::client::ask;
use crate::clock::Micros;
use crate::machine::Build;
use crate::proxy::Program;
use crate::run::{Folder, RunError, Stage};
use crate::schedule::{Fault, Mode, Plan, Size, Step, scenario};
use sandgap_rules::Ledger;

/// Cores of the backends, in alternation.
const CORES: [usize; 2] = [2, 12];
/// Requests that may wait at a backend before it rejects further ones.
const QUEUE: usize = 2;
/// Mean work of a request, ms on a core.
const WORK_MS: f64 = 40.0;
/// Aim of every class: the wanted latency, ms.
const AIM_MS: f64 = 500.0;
/// Length of the windows in which service is counted, µs.
const WINDOW: Micros = 1_000_000;

/// The backend sizes in the discovery list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Shares {
    /// The true sizes.
    True,
    /// 1 for each backend.
    One,
    /// 50 for each backend.
    Fifty,
    /// The true sizes, assigned to backends at random.
    Shuffled,
}

/// The setup of a run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The backend sizes in the discovery list.
    pub shares: Shares,
    /// Load as a fraction of the backends' capacity.
    pub load: f64,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of backends.
    pub backends: usize,
    /// Length of a run, s; the first 3 s are not counted.
    pub seconds: f64,
    /// Half the backends, of both sizes, take twice as long in the second third of the run.
    pub neighbour: bool,
    /// Seed of load and shares.
    pub seed: u64,
}

/// One run's figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Fraction of requests answered within the aim, for each second.
    pub windows: Vec<f64>,
    /// The same over the whole run after the first 3 s.
    pub in_time: f64,
    /// Median latency of served requests, ms.
    pub p50_ms: f64,
    /// 99th percentile of that latency, ms.
    pub p99_ms: f64,
    /// Fraction of requests refused.
    pub refused: f64,
    /// Median time to a refusal, ms.
    pub refusal_ms: f64,
    /// Ratio of the most to the fewest requests answered within the aim by one proxy, after the first 3 s.
    pub unfairness: f64,
    /// Whether the ledger found a broken rule.
    pub broken: bool,
}

/// Requests per second that the backends can serve.
pub fn capacity(backends: usize) -> f64 {
    (0..backends).map(|b| CORES[b % 2]).sum::<usize>() as f64 / WORK_MS * 1000.0
}

fn plan(setup: &Setup) -> Plan {
    let rate = capacity(setup.backends) * setup.load;
    let requests = (rate * setup.seconds) as usize;
    let size = Size { requests, rate, proxies: setup.proxies, backends: setup.backends };
    let mut plan = scenario("calm").expect("calm is a known scenario").plan(setup.seed, size);
    let mut shuffled: Vec<usize> = (0..setup.backends).map(|b| CORES[b % 2]).collect();
    fastrand::Rng::with_seed(setup.seed).shuffle(&mut shuffled);
    for (b, machine) in plan.machines.iter_mut().enumerate() {
        let cores = CORES[b % 2];
        let share = match setup.shares {
            Shares::True => cores as f64,
            Shares::One => 1.0,
            Shares::Fifty => 50.0,
            Shares::Shuffled => shuffled[b] as f64,
        };
        *machine = Build { cores, speed: 1.0, queue: QUEUE, share };
    }
    for class in &mut plan.classes {
        (class.aim_ms, class.deadline_ms, class.work_ms) = (AIM_MS, 2.5 * AIM_MS, WORK_MS);
    }
    for request in &mut plan.requests {
        // 0.8 to 1.2 times the mean, by the request's random number in the plan.
        let part = f64::from(request.deal % 1000) / 1000.0;
        request.work_ms = WORK_MS * (0.8 + 0.4 * part);
        (request.leaves_ms, request.timeout_ms) = (None, 2.5 * AIM_MS);
    }
    if setup.neighbour {
        let n = plan.requests.len();
        for b in (0..setup.backends).step_by(2).map(|b| b + (b / 2) % 2) {
            plan.steps.push(Step { at: n / 3, fault: Fault::Mode(b, Mode::Slow(2.0)) });
            plan.steps.push(Step { at: 2 * n / 3, fault: Fault::Mode(b, Mode::Normal) });
        }
        plan.steps.sort_by_key(|s| s.at);
    }
    plan
}

/// Runs and measures once.
///
/// # Errors
/// Whatever prevents the run from finishing.
pub fn measure(setup: &Setup, program: &Program) -> Result<Figures, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let logs = Folder::new(&format!("capacity-{}", std::process::id()))?;
    LocalSet::new().block_on(&runtime, async {
        let stage = Stage::set(plan(setup), Ledger::default(), program, &logs, setup.proxies > 1).await?;
        stage.start().await?;
        let (world, front) = (&stage.world, &stage.front);
        let begin = world.now();
        let mut steps = world.plan.steps.iter().peekable();
        let (mut windows, mut asked, mut before, mut next) = (Vec::new(), 0.0, 0, WINDOW);
        let mut at_3_s = (Vec::new(), [0; 3]);
        for (n, request) in world.plan.requests.iter().enumerate() {
            while request.at >= next {
                let served: u32 = front.in_time.borrow().iter().sum();
                windows.push(f64::from(served - before) / f64::max(asked, 1.0));
                (before, asked, next) = (served, 0.0, next + WINDOW);
                if windows.len() == 3 {
                    at_3_s = (front.in_time.borrow().clone(), front.ends.get());
                    front.latencies.take();
                    front.refusals.take();
                }
            }
            sleep_until(world.clock.instant(begin + request.at)).await;
            while let Some(step) = steps.next_if(|s| s.at <= n) {
                stage.happen(step.fault);
            }
            asked += 1.0;
            spawn_local(ask(world.clone(), front.clone(), n));
        }
        stage.finish().await?;
        let in_time_later: Vec<f64> =
            front.in_time.borrow().iter().zip(&at_3_s.0).map(|(a, b)| f64::from(a - b)).collect();
        let (ends, first) = (front.ends.get(), at_3_s.1);
        let all = f64::from((0..3).map(|i| ends[i] - first[i]).sum::<u32>()).max(1.0);
        let least = in_time_later.iter().copied().fold(f64::INFINITY, f64::min).max(1.0);
        Ok(Figures {
            windows,
            in_time: in_time_later.iter().sum::<f64>() / all,
            p50_ms: front.latencies.borrow().quantile_ms(0.5).unwrap_or(f64::NAN),
            p99_ms: front.latencies.borrow().quantile_ms(0.99).unwrap_or(f64::NAN),
            refused: f64::from(ends[1] - first[1]) / all,
            refusal_ms: front.refusals.borrow().quantile_ms(0.5).unwrap_or(0.0),
            unfairness: in_time_later.iter().copied().fold(0.0, f64::max) / least,
            broken: !stage.verdict().passes(),
        })
    })
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let windows: Vec<String> = self.windows.iter().map(|w| format!("{:.0}", w * 100.0)).collect();
        write!(
            f,
            "in time {:.4}, p50 {:.1} ms, p99 {:.1} ms, refused {:.3} (after {:.0} ms), unfairness {:.2}{}; % in time by second: {}",
            self.in_time,
            self.p50_ms,
            self.p99_ms,
            self.refused,
            self.refusal_ms,
            self.unfairness,
            if self.broken { ", BROKEN" } else { "" },
            windows.join(" ")
        )
    }
}
