//! The proxy's cost: open-loop load at a fixed rate on one proxy that is bound to one processor, in alternation with the
//! bare relay, so that each ratio comes from two successive runs.

use std::fmt;

use rustix::thread::{CpuSet, sched_setaffinity};
use serde::Serialize;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep_until;

use crate::client::ask;
use sandgap_rules::Ledger;

use crate::machine::Build;
use crate::proxy::Program;
use crate::run::{Folder, RunError, Stage};
use crate::schedule::{Plan, Size, scenario};

/// One in so many of the requests warms up the proxy and is not counted.
const WARM_UP_DIVISOR: usize = 5;

/// The setup of a comparison.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Requests per second.
    pub rate: f64,
    /// Length of each run, s.
    pub seconds: f64,
    /// Number of backends; each serves any number of requests at once.
    pub backends: usize,
    /// Service time of each request at its backend, ms.
    pub work_ms: f64,
    /// Size of each backend in the discovery list.
    pub share: f64,
    /// Number of pairs of runs.
    pub pairs: usize,
    /// The processor to which the proxies are bound; the rig itself runs on the others.
    pub cpu: usize,
    /// Seed of the load.
    pub seed: u64,
}

/// One run's figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    /// Fraction of the requests that were served.
    pub served: f64,
    /// Median latency of served requests, ms.
    pub p50_ms: f64,
    /// 99th percentile of that latency, ms.
    pub p99_ms: f64,
    /// 99.9th percentile of that latency, ms.
    pub p999_ms: f64,
    /// Processor time per request, µs.
    pub cpu_us: f64,
    /// Peak resident memory, KiB.
    pub peak_kib: f64,
}

/// The figures of the proxy and of the relay, pair by pair.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// The proxy's and the relay's figures of each pair, in the order of the runs.
    pub pairs: Vec<(Cost, Cost)>,
}

fn plan(setup: &Setup) -> Plan {
    let size = Size {
        requests: (setup.rate * setup.seconds) as usize,
        rate: setup.rate,
        proxies: 1,
        backends: setup.backends,
    };
    let mut plan = scenario("calm").expect("calm is a known scenario").plan(setup.seed, size);
    plan.machines.fill(Build { cores: 0, speed: 1.0, queue: 0, share: setup.share });
    for request in &mut plan.requests {
        request.work_ms = setup.work_ms;
        request.leaves_ms = None;
    }
    plan
}

fn run_once(setup: &Setup, program: &Program, name: &str) -> Result<Cost, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let logs = Folder::new(&format!("bench-{name}-{}", std::process::id()))?;
    let program = Program { cpu: Some(setup.cpu), ..program.clone() };
    LocalSet::new().block_on(&runtime, async {
        let stage = Stage::set(plan(setup), Ledger::default(), &program, &logs, false).await?;
        stage.start().await?;
        let (world, front, proxy) = (&stage.world, &stage.front, &stage.proxies[0]);
        let begin = world.now();
        let warm = world.plan.requests.len() / WARM_UP_DIVISOR;
        let (mut cpu, mut ends) = (0.0, [0; 3]);
        for (n, request) in world.plan.requests.iter().enumerate() {
            sleep_until(world.clock.instant(begin + request.at)).await;
            if n == warm {
                (cpu, ends) = (proxy.cpu_ms(), front.ends.get());
                front.latencies.take();
            }
            spawn_local(ask(world.clone(), front.clone(), n));
        }
        stage.front_settled().await?;
        let counted = (world.plan.requests.len() - warm) as f64;
        let cpu_us = (proxy.cpu_ms() - cpu) * 1000.0 / counted;
        let served = f64::from(front.ends.get()[0] - ends[0]);
        let latencies = front.latencies.borrow();
        let at = |q| latencies.quantile_ms(q).unwrap_or(f64::NAN);
        Ok(Cost {
            served: (served / counted).min(1.0),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            cpu_us,
            peak_kib: proxy.peak_kib() as f64,
        })
    })
}

/// Measures the proxy and the relay in alternation.
///
/// # Errors
/// Whatever prevents a run from finishing.
pub fn compare(setup: &Setup, proxy: &Program, relay: &Program) -> Result<Comparison, RunError> {
    let processors = std::thread::available_parallelism()?.get();
    if processors > 1 {
        let mut others = CpuSet::new();
        (0..processors).filter(|c| *c != setup.cpu).for_each(|c| others.set(c));
        sched_setaffinity(None, &others).map_err(std::io::Error::from)?;
    }
    let mut pairs = Vec::new();
    for _ in 0..setup.pairs {
        pairs.push((run_once(setup, proxy, "proxy")?, run_once(setup, relay, "relay")?));
    }
    Ok(Comparison { pairs })
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        type Figure = (&'static str, fn(&Cost) -> f64);
        let figures: [Figure; 6] = [
            ("served", |c| c.served),
            ("p50 ms", |c| c.p50_ms),
            ("p99 ms", |c| c.p99_ms),
            ("p99.9 ms", |c| c.p999_ms),
            ("cpu us/request", |c| c.cpu_us),
            ("peak KiB", |c| c.peak_kib),
        ];
        writeln!(
            f,
            "{:<16}{:>10}{:>10}{:>10}{:>10}{:>10}",
            "median", "proxy", "relay", "ratio", "least", "most"
        )?;
        for (name, figure) in figures {
            let proxy = median(self.pairs.iter().map(|p| figure(&p.0)).collect());
            let relay = median(self.pairs.iter().map(|p| figure(&p.1)).collect());
            let mut ratios: Vec<f64> = self.pairs.iter().map(|p| figure(&p.0) / figure(&p.1)).collect();
            ratios.sort_by(f64::total_cmp);
            let (least, most) = (ratios[0], ratios[ratios.len() - 1]);
            writeln!(
                f,
                "{name:<16}{proxy:>10.3}{relay:>10.3}{:>10.3}{least:>10.3}{most:>10.3}",
                median(ratios.clone())
            )?;
        }
        write!(f, "{} pairs; ratio is the median of the ratios within a pair", self.pairs.len())
    }
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    match all.len() {
        0 => f64::NAN,
        n if n % 2 == 1 => all[n / 2],
        n => (all[n / 2 - 1] + all[n / 2]) / 2.0,
    }
}
