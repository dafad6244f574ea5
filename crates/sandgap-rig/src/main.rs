//! The program `sandgap-rig`.

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

/// Faults, load and the ledger of the four rules, on loopback.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Names the scenarios.
    List,
    /// Plays a scenario; exits 1 on a broken rule, 2 where there is no verdict.
    Run {
        /// Its name, see `list`.
        scenario: String,
        /// The seed of load and faults; drawn and printed where none is given.
        #[arg(long)]
        seed: Option<u64>,
        /// Further seeds, counted up from the first.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Prints one JSON object a run.
        #[arg(long)]
        json: bool,
        /// Keeps the proxies' logs and says where.
        #[arg(long)]
        keep_logs: bool,
        /// Requests in all.
        #[arg(long, default_value_t = Size::default().requests)]
        requests: usize,
        /// Requests a second.
        #[arg(long, default_value_t = Size::default().rate)]
        rate: f64,
        /// Proxies.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=64))]
        proxies: u16,
        /// Backends at the start.
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(3..=200))]
        backends: u16,
        /// The proxy's program; where none is given, `sandgap` beside this one.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
        /// Plays against the rig's own relay of this kind instead.
        #[arg(long, conflicts_with = "proxy")]
        relay: Option<Kind>,
    },
    /// Measures the proxy's cost against the bare relay's, in turn.
    Bench {
        /// Requests a second.
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
        /// Length of each run, s.
        #[arg(long, default_value_t = 8.0)]
        seconds: f64,
        /// Backends.
        #[arg(long, default_value_t = 12)]
        backends: usize,
        /// Time of each request at its backend, ms.
        #[arg(long, default_value_t = 2.0)]
        work: f64,
        /// What the list says of each backend's size.
        #[arg(long, default_value_t = 7.0)]
        share: f64,
        /// Pairs of runs.
        #[arg(long, default_value_t = 3)]
        pairs: usize,
        /// The proxies' processor.
        #[arg(long, default_value_t = 0)]
        cpu: usize,
        /// The seed of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
        /// The proxy's program; where none is given, `sandgap` beside this one.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
    },
    /// Measures service where the list says nothing true of what backends hold, in turn with the same proxy told
    /// the truth; exits 1 on a broken rule.
    Capacity {
        /// What the list says.
        #[arg(long, value_enum, value_delimiter = ',', default_value = "one,fifty,shuffled")]
        shares: Vec<Shares>,
        /// Loads, as parts of what the backends can do.
        #[arg(long, value_delimiter = ',', default_value = "0.7,0.95,1.3")]
        loads: Vec<f64>,
        /// Proxies.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
        proxies: u16,
        /// Backends: every other one holds 2, the rest 12.
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(2..=200))]
        backends: u16,
        /// Length of each run, s.
        #[arg(long, default_value_t = 12.0)]
        seconds: f64,
        /// Half the backends take twice as long in the second third of the run.
        #[arg(long)]
        neighbour: bool,
        /// The seed of load and shares.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The proxy's program; where none is given, `sandgap` beside this one.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
    },
    /// Writes a scenario's servers and requests as an experiment of the laboratory; faults are left out.
    Export {
        /// Its name, see `list`.
        scenario: String,
        /// The folder.
        folder: PathBuf,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Requests in all.
        #[arg(long, default_value_t = Size::default().requests)]
        requests: usize,
        /// Requests a second.
        #[arg(long, default_value_t = Size::default().rate)]
        rate: f64,
        /// Proxies.
        #[arg(long, default_value_t = 3)]
        proxies: usize,
        /// Backends.
        #[arg(long, default_value_t = 12)]
        backends: usize,
    },
    /// Plays a fleet that agrees on its rules under faults between its processes; exits 1 on what is broken.
    Fleet {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Further seeds, counted up from it.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Proxies that vote.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=9))]
        voters: u16,
        /// Others.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(0..=40))]
        observers: u16,
        /// The stated time, ms.
        #[arg(long, default_value_t = 1000)]
        bound_ms: u64,
        /// How long faults go on, s; 0 for none.
        #[arg(long, default_value_t = 12.0)]
        seconds: f64,
        /// Instead of all faults so many kills of voters, while much is published.
        #[arg(long)]
        kills: Option<usize>,
        /// Backends.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=64))]
        backends: u16,
        /// Holders that take backends out and bring them back all the while.
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=32))]
        holders: u16,
        /// Backends that may be out at once.
        #[arg(long, default_value_t = 2)]
        bound_out: u16,
        /// The proxy's program; where none is given, `sandgap` beside this one.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
    },
    /// Measures what agreed rules cost a proxy, against the same proxy without a fleet, in turn.
    FleetCost {
        /// Requests a second.
        #[arg(long, default_value_t = 2500.0)]
        rate: f64,
        /// Turns: a quarter of a second of each.
        #[arg(long, default_value_t = 100)]
        turns: usize,
        /// An earlier build, to be measured without a fleet in the same turns.
        #[arg(long)]
        before: Option<PathBuf>,
        /// The proxy's program; where none is given, `sandgap` beside this one.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
    },
    /// Measures what agreed rules cost as a fleet grows: hollow proxies beside real voters.
    Scale {
        /// Hollow proxies, one play for each size; more than 1,000 are foretold from the plays before.
        #[arg(long, value_delimiter = ',', default_values_t = [100, 300, 1000])]
        sizes: Vec<usize>,
        /// How many of them share a process.
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u16).range(1..=400))]
        per_process: u16,
        /// Proxies that vote.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=9))]
        voters: u16,
        /// The stated time, ms.
        #[arg(long, default_value_t = 1000)]
        bound_ms: u64,
        /// How long nothing is published while messages are counted, s.
        #[arg(long, default_value_t = 20.0)]
        idle: f64,
        /// Versions that are published then.
        #[arg(long, default_value_t = 5)]
        changes: u64,
        /// Then voters are killed in turn, and a process of proxies, a change published each time.
        #[arg(long)]
        faults: bool,
        /// What is wrong by intent.
        #[arg(long)]
        defect: Option<Defect>,
        /// One JSON object a play.
        #[arg(long)]
        json: bool,
        /// The voters' program; where none is given, `sandgap` beside this one.
        #[arg(long, env = "SANDGAP")]
        proxy: Option<PathBuf>,
    },
    /// Tells what rulebooks take on the wire, by the numbers of what they name.
    Books,
    /// Holds hollow proxies for `scale`, until its standard input ends.
    #[command(hide = true)]
    ScaleBlock {
        /// What they are, as JSON.
        setup: String,
    },
    /// Is a relay; its configuration is named by NODE_CONFIG.
    #[command(hide = true)]
    Relay {
        /// What is wrong with it.
        kind: Kind,
    },
}

/// Prints what a fleet costs: medians over all turns, and the ratios' with their quartiles.
fn show_cost(cost: &fleet::cost::Cost) {
    type Of = fn(&fleet::cost::Turn) -> Option<f64>;
    let middle = |of: Of, part: f64| {
        let mut all: Vec<f64> = cost.turns.iter().filter_map(of).collect();
        all.sort_by(f64::total_cmp);
        all.get((all.len().saturating_sub(1) as f64 * part) as usize).copied()
    };
    let slices: [(&str, [Of; 3]); 3] = [
        (
            "before",
            [|t| Some(t.before?.each_us), |t| Some(t.before?.latency_us.0), |t| Some(t.before?.latency_us.1)],
        ),
        ("off", [|t| Some(t.off.each_us), |t| Some(t.off.latency_us.0), |t| Some(t.off.latency_us.1)]),
        ("on", [|t| Some(t.on.each_us), |t| Some(t.on.latency_us.0), |t| Some(t.on.latency_us.1)]),
    ];
    for (name, [each, p50, p99]) in slices {
        if let (Some(each), Some(p50), Some(p99)) = (middle(each, 0.5), middle(p50, 0.5), middle(p99, 0.5)) {
            println!("{name:6} {each:6.1} us a request; p50 {p50:.0} us, p99 {p99:.0} us");
        }
    }
    println!("idle: off {:.0} us a second, on {:.0} us", cost.idle_us.0, cost.idle_us.1);
    let ratios: [(&str, Of); 2] =
        [("on over off", |t| Some(t.on_over_off())), ("off over before", fleet::cost::Turn::off_over_before)];
    for (name, ratio) in ratios {
        if let (Some(low), Some(mid), Some(high)) =
            (middle(ratio, 0.25), middle(ratio, 0.5), middle(ratio, 0.75))
        {
            println!("{name} {mid:.3} (quartiles {low:.3} to {high:.3}, {} turns)", cost.turns.len());
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
    match act(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("sandgap-rig: {e}");
            ExitCode::from(2)
        }
    }
}

fn act(command: Command) -> Result<bool, Box<dyn std::error::Error>> {
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
                    "{rate} requests/s, {backends} backends of {work} ms, {seconds} s a run\n{comparison}"
                );
            }
            Ok(true)
        }
        Command::Capacity { shares, loads, proxies, backends, seconds, neighbour, seed, proxy: path } => {
            let program = proxy(path)?;
            let mut held = true;
            for load in loads {
                let play = |shares| {
                    let (proxies, backends) = (proxies.into(), backends.into());
                    let setup = Setup { shares, load, proxies, backends, seconds, neighbour, seed };
                    capacity::measure(&setup, &program)
                };
                let told = play(Shares::True)?;
                println!("load {load}, told the truth: {told}");
                held &= !told.broken;
                for shares in &shares {
                    let learned = play(*shares)?;
                    let ratio = learned.in_time / told.in_time;
                    println!("load {load}, shares {shares:?}: {ratio:.3} of that; {learned}");
                    held &= !learned.broken;
                }
            }
            Ok(held)
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
            let mut held = true;
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
                    held = false;
                    eprintln!("logs: {}", folder.path.display());
                }
            }
            Ok(held)
        }
        Command::FleetCost { rate, turns, before, proxy: path } => {
            let program = proxy(path)?.path;
            let load = fleet::cost::Load { program: &program, before: before.as_deref(), rate, turns };
            show_cost(&fleet::cost::measure(&load)?);
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
            play_sizes(&proxy(path)?.path, &setup, &sizes, json)?;
            Ok(true)
        }
        Command::Books => {
            for (backends, tenants, classes) in BOOKS {
                let bytes = scale::books::bytes(scale::books::Numbers { backends, tenants, classes })?;
                println!("{backends} backends, {tenants} tenants, {classes} classes: {bytes} bytes");
            }
            Ok(true)
        }
        Command::ScaleBlock { setup } => {
            scale::serve_block(&setup)?;
            Ok(true)
        }
        Command::Export { scenario: name, folder, seed, requests, rate, proxies, backends } => {
            let plan = named(&name)?.plan(seed, Size { requests, rate, proxies, backends });
            sandgap_rig::export::write(&plan, &folder)?;
            println!("{name} seed {seed} is in {}", folder.display());
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
            let scenario = named(&name)?;
            let program = relay.map_or_else(|| proxy(path), relay_program)?;
            let first = seed.unwrap_or_else(fresh_seed);
            let size = Size { requests, rate, proxies: proxies.into(), backends: backends.into() };
            let mut held = true;
            for seed in first..first.saturating_add(seeds) {
                let mut outcome = run::run(scenario.plan(seed, size), &program, Ledger::default())?;
                let passes = outcome.passes();
                held &= passes;
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
            Ok(held)
        }
    }
}

/// Backends, tenants and classes of rulebooks that are told: each by itself, and the targets.
const BOOKS: [(usize, usize, usize); 9] = [
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

/// Plays one fleet after another, and holds each figure of a size against what the sizes before foretold of it.
fn play_sizes(
    program: &std::path::Path, setup: &scale::Setup, sizes: &[usize], json: bool,
) -> Result<(), Box<dyn std::error::Error>> {
    type Figure = (&'static str, fn(&scale::Report) -> f64);
    const FIGURES: [Figure; 6] = [
        ("bytes/s a proxy", |r| r.bytes_a_second),
        ("links a proxy", |r| r.links),
        ("cores of all voters", scale::Report::voters_core),
        ("peak KiB of a voter", |r| r.voters.iter().map(|v| v.peak_kib as f64).fold(0.0, f64::max)),
        ("ms until in force everywhere", |r| r.in_force_ms(1.0)),
        ("core a proxy", |r| r.core),
    ];
    let mut played: Vec<scale::Report> = Vec::new();
    for hollows in sizes {
        let report = scale::run(program, &scale::Setup { hollows: *hollows, ..setup.clone() })?;
        if json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            println!("{report}");
        }
        for (name, of) in FIGURES.iter().filter(|_| played.len() > 1 && !json) {
            let points: Vec<(f64, f64)> = played.iter().map(|r| (r.proxies as f64, of(r))).collect();
            let (line, seen) = (scale::fit::Line::fit(&points), of(&report));
            println!(
                "  {name}: {:.4} + {:.6} x size foretold {:.3}, seen {seen:.3}: {:+.0}%",
                line.intercept,
                line.slope,
                line.at(*hollows as f64),
                (line.at(*hollows as f64) / seen - 1.0) * 100.0
            );
        }
        played.push(report);
    }
    Ok(())
}

fn named(name: &str) -> Result<&'static Scenario, String> {
    scenario(name).ok_or_else(|| {
        let names: Vec<_> = SCENARIOS.iter().map(|s| s.name).collect();
        format!("there is no scenario {name:?}; there are {}", names.join(", "))
    })
}

/// A seed that another run will hardly have; it is printed with the result.
fn fresh_seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::from(now.subsec_nanos()) % 1_000_000
}
