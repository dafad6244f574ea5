//! The program `sandgap-rig`: runs scenarios and measurements against the proxy on loopback.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use sandgap_rig::bench::{self, compare};
use sandgap_rig::capacity::{self, Setup, Shares};
use sandgap_rig::fleet;
use sandgap_rig::proxy::Program;
use sandgap_rig::relay::{self, Kind};
use sandgap_rig::run;
use sandgap_rig::scale;
use sandgap_rig::scale::hollow::Defect;
use sandgap_rig::schedule::{SCENARIOS, Scenario, Size, scenario};
use sandgap_rules::Ledger;

/// Runs proxies under faults and load on loopback, and checks the four rules with the ledger.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Lists the scenarios.
    List,
    /// Runs a scenario; exits 1 on a broken rule, 2 if there is no verdict.
    Run {
        /// Name of the scenario; see `list`.
        scenario: String,
        /// Seed of load and faults; drawn and printed if not given.
        #[arg(long)]
        seed: Option<u64>,
        /// Number of consecutive seeds to run, from the first on.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Prints one JSON object per run.
        #[arg(long)]
        json: bool,
        /// Keeps the proxies' logs and prints where they are.
        #[arg(long)]
        keep_logs: bool,
        /// Total number of requests.
        #[arg(long, default_value_t = Size::default().requests)]
        requests: usize,
        /// Requests per second.
        #[arg(long, default_value_t = Size::default().rate)]
        rate: f64,
        /// Number of proxies.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=64))]
        proxies: u16,
        /// Number of backends at the start.
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(3..=200))]
        backends: u16,
        /// Path of the proxy program; by default `sandgap` in the folder of this program.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
        /// Runs against the rig's own relay of this kind instead.
        #[arg(long, conflicts_with = "proxy")]
        relay: Option<Kind>,
    },
    /// Measures the proxy's cost against the bare relay's, in alternating runs.
    Bench {
        /// Requests per second.
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
        /// Length of each run, in seconds.
        #[arg(long, default_value_t = 8.0)]
        seconds: f64,
        /// Number of backends.
        #[arg(long, default_value_t = 12)]
        backends: usize,
        /// Service time of each request at its backend, ms.
        #[arg(long, default_value_t = 2.0)]
        work: f64,
        /// Size of each backend in the discovery list.
        #[arg(long, default_value_t = 7.0)]
        share: f64,
        /// Number of pairs of runs.
        #[arg(long, default_value_t = 3)]
        pairs: usize,
        /// Processor to which the proxies are bound.
        #[arg(long, default_value_t = 0)]
        cpu: usize,
        /// Seed of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
        /// Path of the proxy program; by default `sandgap` in the folder of this program.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
    },
    /// Measures service with wrong backend sizes in the discovery list, in turn with the same proxy given the true
    /// sizes; exits 1 on a broken rule.
    Capacity {
        /// Backend sizes in the discovery list.
        #[arg(long, value_enum, value_delimiter = ',', default_value = "one,fifty,shuffled")]
        shares: Vec<Shares>,
        /// Loads, as fractions of the backends' capacity.
        #[arg(long, value_delimiter = ',', default_value = "0.7,0.95,1.3")]
        loads: Vec<f64>,
        /// Number of proxies.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
        proxies: u16,
        /// Number of backends; they have 2 and 12 cores in alternation.
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(2..=200))]
        backends: u16,
        /// Length of each run, in seconds.
        #[arg(long, default_value_t = 12.0)]
        seconds: f64,
        /// Makes half the backends take twice as long in the second third of the run.
        #[arg(long)]
        neighbour: bool,
        /// Seed of load and shares.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Path of the proxy program; by default `sandgap` in the folder of this program.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
    },
    /// Writes a scenario's servers and requests as an experiment for `sandgap-lab`; faults are left out.
    Export {
        /// Name of the scenario; see `list`.
        scenario: String,
        /// Folder to write to.
        folder: PathBuf,
        /// Seed of the scenario.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Total number of requests.
        #[arg(long, default_value_t = Size::default().requests)]
        requests: usize,
        /// Requests per second.
        #[arg(long, default_value_t = Size::default().rate)]
        rate: f64,
        /// Number of proxies.
        #[arg(long, default_value_t = 3)]
        proxies: usize,
        /// Number of backends.
        #[arg(long, default_value_t = 12)]
        backends: usize,
    },
    /// Runs a fleet that agrees on its rules under faults of its network and processes; exits 1 on a failed check.
    Fleet {
        /// First seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run, from the first on.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Number of proxies that vote.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=9))]
        voters: u16,
        /// Number of proxies that don't vote.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(0..=40))]
        observers: u16,
        /// Bound on how long two contradicting versions may be acted on together, ms.
        #[arg(long, default_value_t = 1000)]
        bound_ms: u64,
        /// How long faults are injected, in seconds; 0 for none.
        #[arg(long, default_value_t = 12.0)]
        seconds: f64,
        /// Injects only this many kills of voters instead of all faults, and publishes more often.
        #[arg(long)]
        kills: Option<usize>,
        /// Number of backends.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=64))]
        backends: u16,
        /// Number of holders that repeatedly take backends out and bring them back.
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=32))]
        holders: u16,
        /// Number of backends that may be out at once.
        #[arg(long, default_value_t = 2)]
        bound_out: u16,
        /// Path of the proxy program; by default `sandgap` in the folder of this program.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
    },
    /// Measures what agreement on rules costs a proxy, against the same proxy without a fleet, in alternation.
    FleetCost {
        /// Requests per second.
        #[arg(long, default_value_t = 2500.0)]
        rate: f64,
        /// Number of turns; each proxy is measured for a quarter of a second per turn.
        #[arg(long, default_value_t = 100)]
        turns: usize,
        /// Path of an earlier build, which is measured without a fleet in the same turns.
        #[arg(long)]
        before: Option<PathBuf>,
        /// Path of the proxy program; by default `sandgap` in the folder of this program.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
    },
    /// Measures what agreement on rules costs as a fleet grows, with hollow proxies (without a data path) and real
    /// voters.
    Scale {
        /// Numbers of hollow proxies, one run for each; from the third run on, the figures are also predicted from the
        /// runs before.
        #[arg(long, value_delimiter = ',', default_values_t = [100, 300, 1000])]
        sizes: Vec<usize>,
        /// Hollow proxies per process.
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u16).range(1..=400))]
        per_process: u16,
        /// Number of proxies that vote.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=9))]
        voters: u16,
        /// Bound on how long two contradicting versions may be acted on together, ms.
        #[arg(long, default_value_t = 1000)]
        bound_ms: u64,
        /// How long messages are counted while nothing is published, in seconds.
        #[arg(long, default_value_t = 20.0)]
        idle: f64,
        /// Number of versions that are published after that.
        #[arg(long, default_value_t = 5)]
        changes: u64,
        /// Finally kills each voter in turn and a process of hollow proxies, and publishes a change after each fault.
        #[arg(long)]
        faults: bool,
        /// Deliberate defect of the hollow proxies, to verify the checks.
        #[arg(long)]
        defect: Option<Defect>,
        /// Prints one JSON object per run.
        #[arg(long)]
        json: bool,
        /// Path of the voters' program; by default `sandgap` in the folder of this program.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
    },
    /// Prints the encoded size of rulebooks with given numbers of backends, tenants and classes.
    Books,
    /// Runs hollow proxies for `scale` until its standard input ends.
    #[command(hide = true)]
    ScaleBlock {
        /// Their setup, as JSON.
        setup: String,
    },
    /// Runs a relay with the configuration file that NODE_CONFIG names.
    #[command(hide = true)]
    Relay {
        /// The kind of relay.
        kind: Kind,
    },
}

/// Prints what a fleet costs: medians over all turns, and for the ratios their quartiles too.
fn print_cost(cost: &fleet::cost::Cost) {
    type Of = fn(&fleet::cost::Turn) -> Option<f64>;
    let quantile = |of: Of, part: f64| {
        let mut all: Vec<f64> = cost.turns.iter().filter_map(of).collect();
        all.sort_by(f64::total_cmp);
        all.get((all.len().saturating_sub(1) as f64 * part) as usize).copied()
    };
    let slices: [(&str, [Of; 3]); 3] = [
        (
            "before",
            [
                |t| Some(t.before?.cpu_us_per_request),
                |t| Some(t.before?.latency_us.0),
                |t| Some(t.before?.latency_us.1),
            ],
        ),
        (
            "off",
            [|t| Some(t.off.cpu_us_per_request), |t| Some(t.off.latency_us.0), |t| Some(t.off.latency_us.1)],
        ),
        ("on", [|t| Some(t.on.cpu_us_per_request), |t| Some(t.on.latency_us.0), |t| Some(t.on.latency_us.1)]),
    ];
    for (name, [cpu_us, p50, p99]) in slices {
        if let (Some(cpu_us), Some(p50), Some(p99)) =
            (quantile(cpu_us, 0.5), quantile(p50, 0.5), quantile(p99, 0.5))
        {
            println!("{name:6} {cpu_us:6.1} us cpu/request; p50 {p50:.0} us, p99 {p99:.0} us");
        }
    }
    println!("idle: off {:.0} us cpu/s, on {:.0} us cpu/s", cost.idle_us.0, cost.idle_us.1);
    let ratios: [(&str, Of); 2] =
        [("on/off", |t| Some(t.on_over_off())), ("off/before", fleet::cost::Turn::off_over_before)];
    for (name, ratio) in ratios {
        if let (Some(low), Some(mid), Some(high)) =
            (quantile(ratio, 0.25), quantile(ratio, 0.5), quantile(ratio, 0.75))
        {
            println!("{name}: {mid:.3} (quartiles {low:.3} to {high:.3}, {} turns)", cost.turns.len());
        }
    }
}

fn proxy(path: Option<PathBuf>) -> std::io::Result<Program> {
    let path = match path {
        Some(path) => path,
        None => std::env::current_exe()?.with_file_name("sandgap"),
    };
    Ok(Program::new(path, Vec::new()))
}

fn relay_program(kind: Kind) -> std::io::Result<Program> {
    let name =
        clap::ValueEnum::to_possible_value(&kind).map_or_else(String::new, |v| v.get_name().to_owned());
    Ok(Program::new(std::env::current_exe()?, vec!["relay".into(), name]))
}

fn main() -> ExitCode {
    match run_command(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("sandgap-rig: {e}");
            ExitCode::from(2)
        }
    }
}

fn run_command(command: Command) -> Result<bool, Box<dyn std::error::Error>> {
    match command {
        Command::List => {
            SCENARIOS.iter().for_each(|s| println!("{:<16} {}", s.name, s.about));
            Ok(true)
        }
        Command::Relay { kind } => {
            let config = std::env::var_os("NODE_CONFIG").ok_or("NODE_CONFIG is not set")?;
            relay::serve(kind, config.as_ref())?;
            Ok(true)
        }
        Command::Bench { rate, seconds, backends, work, share, pairs, cpu, seed, json, proxy: path } => {
            let setup = bench::Setup { rate, seconds, backends, work_ms: work, share, pairs, cpu, seed };
            let comparison = compare(&setup, &proxy(path)?, &relay_program(Kind::Bare)?)?;
            if json {
                println!("{}", serde_json::to_string(&comparison)?);
            } else {
                println!(
                    "{rate} requests/s, {backends} backends with {work} ms per request, {seconds} s per run\n{comparison}"
                );
            }
            Ok(true)
        }
        Command::Capacity { shares, loads, proxies, backends, seconds, neighbour, seed, proxy: path } => {
            let program = proxy(path)?;
            let mut passed = true;
            for load in loads {
                let measure = |shares| {
                    let (proxies, backends) = (proxies.into(), backends.into());
                    let setup = Setup { shares, load, proxies, backends, seconds, neighbour, seed };
                    capacity::measure(&setup, &program)
                };
                let with_true_shares = measure(Shares::True)?;
                println!("load {load}, true shares: {with_true_shares}");
                passed &= !with_true_shares.broken;
                for shares in &shares {
                    let with_given_shares = measure(*shares)?;
                    let ratio = with_given_shares.in_time / with_true_shares.in_time;
                    println!(
                        "load {load}, shares {shares:?}: {ratio:.3} of in-time answers with true shares; {with_given_shares}"
                    );
                    passed &= !with_given_shares.broken;
                }
            }
            Ok(passed)
        }
        Command::Fleet {
            seed,
            seeds,
            voters,
            observers,
            bound_ms,
            seconds,
            kills,
            backends,
            holders,
            bound_out,
            proxy: path,
        } => {
            let mut size = fleet::plan::Size {
                voters: voters.into(),
                observers: observers.into(),
                bound: Duration::from_millis(bound_ms),
                faulty: Duration::from_secs_f64(seconds.clamp(0.0, 3600.0)),
                backends: backends.into(),
                holders: holders.into(),
                bound_out: bound_out.into(),
                ..Default::default()
            };
            let program = proxy(path)?.path;
            let mut passed = true;
            for seed in seed..seed.saturating_add(seeds) {
                let plan = match kills {
                    Some(count) => {
                        size.publish = Duration::from_millis(200);
                        fleet::plan::kills(&size, count, seed)
                    }
                    None => fleet::plan::draw(&size, seed),
                };
                let (report, folder) = fleet::run_plan(&program, size, seed, plan)?;
                println!("{report}");
                if !report.broken.is_empty() {
                    passed = false;
                    eprintln!("logs: {}", folder.path.display());
                }
            }
            Ok(passed)
        }
        Command::FleetCost { rate, turns, before, proxy: path } => {
            let program = proxy(path)?.path;
            let load = fleet::cost::Load { program: &program, before: before.as_deref(), rate, turns };
            print_cost(&fleet::cost::measure(&load)?);
            Ok(true)
        }
        Command::Scale {
            sizes,
            per_process,
            voters,
            bound_ms,
            idle,
            changes,
            faults,
            defect,
            json,
            proxy: path,
        } => {
            let setup = scale::Setup {
                hollows: 0,
                per_process: Some(per_process.into()),
                rig: std::env::current_exe()?,
                voters: voters.into(),
                bound: Duration::from_millis(bound_ms),
                idle: Duration::from_secs_f64(idle.clamp(0.1, 600.0)),
                changes,
                faults,
                defect,
            };
            run_sizes(&proxy(path)?.path, &setup, &sizes, json)?;
            Ok(true)
        }
        Command::Books => {
            for (backends, tenants, classes) in RULEBOOK_COUNTS {
                let bytes = scale::rulebook_size::encoded_size(scale::rulebook_size::Counts {
                    backends,
                    tenants,
                    classes,
                })?;
                println!("{backends} backends, {tenants} tenants, {classes} classes: {bytes} bytes");
            }
            Ok(true)
        }
        Command::ScaleBlock { setup } => {
            scale::serve_block(&setup)?;
            Ok(true)
        }
        Command::Export { scenario: name, folder, seed, requests, rate, proxies, backends } => {
            let plan = find_scenario(&name)?.plan(seed, Size { requests, rate, proxies, backends });
            sandgap_rig::export::write(&plan, &folder)?;
            println!("{name} with seed {seed} is written to {}", folder.display());
            Ok(true)
        }
        Command::Run {
            scenario: name,
            seed,
            seeds,
            json,
            keep_logs,
            requests,
            rate,
            proxies,
            backends,
            proxy: path,
            relay,
        } => {
            let scenario = find_scenario(&name)?;
            let program = relay.map_or_else(|| proxy(path), relay_program)?;
            let first = seed.unwrap_or_else(fresh_seed);
            let size = Size { requests, rate, proxies: proxies.into(), backends: backends.into() };
            let mut passed = true;
            for seed in first..first.saturating_add(seeds) {
                let mut outcome = run::run(scenario.plan(seed, size), &program, Ledger::default())?;
                let passes = outcome.passes();
                passed &= passes;
                if json {
                    let line = serde_json::json!({
                        "scenario": name, "seed": seed, "passes": passes, "verdict": outcome.verdict,
                        "untaken": outcome.untaken, "stalls": outcome.stalls.0, "stalled_ms": outcome.stalls.1,
                        "seconds": outcome.seconds, "unended": outcome.unended, "violations": outcome.violations,
                    });
                    println!("{line}");
                } else {
                    println!(
                        "{name} seed {seed}: {:.1} s, {} untaken, machine stood still {} times, {:.0} ms in all",
                        outcome.seconds, outcome.untaken, outcome.stalls.0, outcome.stalls.1
                    );
                    println!("{outcome}");
                }
                if keep_logs || !passes {
                    outcome.logs.keep();
                    eprintln!("logs: {}", outcome.logs.path.display());
                }
            }
            Ok(passed)
        }
    }
}

/// Numbers of backends, tenants and classes of the rulebooks whose size is printed: first each alone, then the target
/// sizes.
const RULEBOOK_COUNTS: [(usize, usize, usize); 9] = [
    (0, 0, 0),
    (200, 0, 0),
    (1000, 0, 0),
    (36_000, 0, 0),
    (0, 1000, 0),
    (0, 230_000, 0),
    (0, 0, 1800),
    (200, 100, 10),
    (36_000, 230_000, 1800),
];

/// Runs one fleet after another. From the third on, compares the figures with a linear prediction from the runs before.
fn run_sizes(
    program: &std::path::Path, setup: &scale::Setup, sizes: &[usize], json: bool,
) -> Result<(), Box<dyn std::error::Error>> {
    type Figure = (&'static str, fn(&scale::Report) -> f64);
    const FIGURES: [Figure; 6] = [
        ("bytes/s per proxy", |r| r.bytes_a_second),
        ("links per proxy", |r| r.links),
        ("cores of all voters", scale::Report::voters_core),
        ("largest peak KiB of a voter", |r| r.voters.iter().map(|v| v.peak_kib as f64).fold(0.0, f64::max)),
        ("ms until in force everywhere", |r| r.in_force_ms(1.0)),
        ("cores per proxy", |r| r.core),
    ];
    let mut reports: Vec<scale::Report> = Vec::new();
    for hollows in sizes {
        let report = scale::run(program, &scale::Setup { hollows: *hollows, ..setup.clone() })?;
        if json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            println!("{report}");
        }
        for (name, of) in FIGURES.iter().filter(|_| reports.len() > 1 && !json) {
            let points: Vec<(f64, f64)> = reports.iter().map(|r| (r.proxies as f64, of(r))).collect();
            let (line, measured) = (scale::fit::Line::fit(&points), of(&report));
            println!(
                "  {name}: {:.4} + {:.6} x size predicts {:.3}, measured {measured:.3}: {:+.0}%",
                line.intercept,
                line.slope,
                line.at(*hollows as f64),
                (line.at(*hollows as f64) / measured - 1.0) * 100.0
            );
        }
        reports.push(report);
    }
    Ok(())
}

fn find_scenario(name: &str) -> Result<&'static Scenario, String> {
    scenario(name).ok_or_else(|| {
        let names: Vec<_> = SCENARIOS.iter().map(|s| s.name).collect();
        format!("unknown scenario {name:?}; the scenarios are {}", names.join(", "))
    })
}

/// A seed from the clock, unlikely to repeat between runs; it is printed with the result.
fn fresh_seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::from(now.subsec_nanos()) % 1_000_000
}
