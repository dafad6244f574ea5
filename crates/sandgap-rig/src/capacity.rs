//! What the proxy makes of a roster that says nothing true of what backends hold: against the same proxy told the
//! true limits, in turn, with the ledger on.

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

/// Cores of the backends, in turn.
const CORES: [usize; 2] = [2, 12];
/// Requests that wait at a backend before it turns one away.
const QUEUE: usize = 2;
/// Work of each request, ms on a core.
const WORK_MS: f64 = 40.0;
/// Wanted time of every class, ms.
const AIM_MS: f64 = 500.0;
/// Width of the windows in which service is counted, µs.
const WINDOW: Micros = 1_000_000;

/// What the list says of each backend's size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Shares {
    /// What it holds.
    True,
    /// 1 of each.
    One,
    /// 50 of each.
    Fifty,
    /// The true ones, dealt out to the wrong backends.
    Shuffled,
}

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// What the list says.
    pub shares: Shares,
    /// Load as a part of what the backends can do.
    pub load: f64,
    /// Proxies.
    pub proxies: usize,
    /// Backends.
    pub backends: usize,
    /// Length of a run, s; the first 3 s are not counted.
    pub seconds: f64,
    /// Every other backend takes twice as long from the first to the second third.
    pub neighbour: bool,
    /// Seed of load and shares.
    pub seed: u64,
}

/// One run's figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Answered within the aim, of what was asked, second by second.
    pub windows: Vec<f64>,
    /// The same from the third second on.
    pub in_time: f64,
    /// Median latency of what was served, ms.
    pub p50_ms: f64,
    /// Its 99th percentile.
    pub p99_ms: f64,
    /// Refused, as a part.
    pub refused: f64,
    /// Median time to a refusal, ms.
    pub refusal_ms: f64,
    /// Most over least served among the proxies, from the third second on.
    pub unfairness: f64,
    /// Whether the ledger found a rule broken.
    pub broken: bool,
}

/// Requests a second that the backends can do.
pub fn capacity(backends: usize) -> f64 {
    (0..backends).map(|b| CORES[b % 2]).sum::<usize>() as f64 / WORK_MS * 1000.0
}

fn plan(setup: &Setup) -> Plan {
    let rate = capacity(setup.backends) * setup.load;
    let requests = (rate * setup.seconds) as usize;
    let size = Size { requests, rate, proxies: setup.proxies, backends: setup.backends };
    let mut plan = scenario("calm").expect("it is on the list").plan(setup.seed, size);
    let mut dealt: Vec<usize> = (0..setup.backends).map(|b| CORES[b % 2]).collect();
    fastrand::Rng::with_seed(setup.seed).shuffle(&mut dealt);
    for (b, machine) in plan.machines.iter_mut().enumerate() {
        let cores = CORES[b % 2];
        let share = match setup.shares {
            Shares::True => cores as f64,
            Shares::One => 1.0,
            Shares::Fifty => 50.0,
            Shares::Shuffled => dealt[b] as f64,
        };
        *machine = Build { cores, speed: 1.0, queue: QUEUE, share };
    }
    for class in &mut plan.classes {
        (class.aim_ms, class.deadline_ms, class.work_ms) = (AIM_MS, 2.5 * AIM_MS, WORK_MS);
    }
    for request in &mut plan.requests {
        // 0.8 to 1.2 times the mean, by what was drawn for it before.
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

/// Plays one run.
///
/// # Errors
/// Whatever kept it from its end.
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
        let mut early = (Vec::new(), [0; 3]);
        for (n, request) in world.plan.requests.iter().enumerate() {
            while request.at >= next {
                let served: u32 = front.in_time.borrow().iter().sum();
                windows.push(f64::from(served - before) / f64::max(asked, 1.0));
                (before, asked, next) = (served, 0.0, next + WINDOW);
                if windows.len() == 3 {
                    early = (front.in_time.borrow().clone(), front.ends.get());
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
        let late: Vec<f64> =
            front.in_time.borrow().iter().zip(&early.0).map(|(a, b)| f64::from(a - b)).collect();
        let (ends, first) = (front.ends.get(), early.1);
        let all = f64::from((0..3).map(|i| ends[i] - first[i]).sum::<u32>()).max(1.0);
        let least = late.iter().copied().fold(f64::INFINITY, f64::min).max(1.0);
        Ok(Figures {
            windows,
            in_time: late.iter().sum::<f64>() / all,
            p50_ms: front.latencies.borrow().quantile_ms(0.5).unwrap_or(f64::NAN),
            p99_ms: front.latencies.borrow().quantile_ms(0.99).unwrap_or(f64::NAN),
            refused: f64::from(ends[1] - first[1]) / all,
            refusal_ms: front.refusals.borrow().quantile_ms(0.5).unwrap_or(0.0),
            unfairness: late.iter().copied().fold(0.0, f64::max) / least,
            broken: !stage.verdict().passes(),
        })
    })
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let windows: Vec<String> = self.windows.iter().map(|w| format!("{:.0}", w * 100.0)).collect();
        write!(
            f,
            "in time {:.4}, p50 {:.1} ms, p99 {:.1} ms, refused {:.3} (after {:.0} ms), unfairness {:.2}{}; % by second: {}",
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
