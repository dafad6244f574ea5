//! `sandgap-lab`: fleets in virtual time from the command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use sandgap_lab::checks::Part;
use sandgap_lab::defects::Defect;
use sandgap_lab::file::{self, Experiment, Point};
use sandgap_lab::fleet::Plan;
use sandgap_lab::rivals::PolicyKind;
use sandgap_lab::run::MEASURES;
use sandgap_lab::{agree, checks, cost, hunt, limiters, report, run, takeover};

/// A file or a call that is wrong.
const WRONG: u8 = 2;

#[derive(Parser)]
#[command(
    name = "sandgap-lab",
    version,
    about = "Whole fleets in virtual time, with the real decision module inside"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays an experiment file and writes what came of it
    Run {
        /// The file
        file: PathBuf,
        /// Runs that go side by side; all processors where it is left out
        #[arg(long)]
        jobs: Option<usize>,
        /// The folder for CSV, JSON and the HTML report
        #[arg(long)]
        out: Option<PathBuf>,
        /// Also measures what a decision costs, in cost.csv
        #[arg(long)]
        cost: bool,
    },
    /// Tells all that is wrong with an experiment file
    Check {
        /// The file
        file: PathBuf,
    },
    /// Tells what moved beyond noise between two folders of results
    Compare {
        /// The first
        a: PathBuf,
        /// The second
        b: PathBuf,
    },
    /// Searches seeds for broken rules
    Hunt {
        /// How many seeds
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// The first of them
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Runs that go side by side
        #[arg(long)]
        jobs: Option<usize>,
        /// What to explain of what is found, at most
        #[arg(long, default_value_t = 3)]
        explain: usize,
        #[command(flatten)]
        fleet: Which,
    },
    /// Tells the story of a seed, or of one request of it
    Replay {
        /// The seed
        seed: u64,
        /// The request
        #[arg(long)]
        request: Option<u32>,
        #[command(flatten)]
        fleet: Which,
    },
    /// Holds the model against what is known exactly (minutes)
    Theory {
        /// What
        #[arg(value_enum)]
        part: Part,
        /// Requests for each point of the M/M/m check, over all its runs
        #[arg(long, default_value_t = 4_000_000)]
        requests: u64,
    },
    /// Measures what a decision costs by the number of servers
    Cost {
        /// Requests at each size
        #[arg(long, default_value_t = 200_000)]
        requests: u64,
        /// Numbers of servers
        #[arg(long, value_delimiter = ',', default_value = "10,100,1000,10000")]
        servers: Vec<u32>,
        /// Requests a second at most
        #[arg(long, default_value_t = 2500.0)]
        rate: f64,
    },
    /// Holds the module's limiter against those in common use, on servers of hidden size
    Limiters {
        /// The seed of the works
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Works of exponential spread
        #[arg(long)]
        spread: bool,
    },
    /// Plays agreed rules under faults; exits 1 where proxies could contradict each other for longer than stated
    Agree {
        /// How many seeds
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        /// The first of them
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Voters
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=9))]
        voters: u16,
        /// Other proxies
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(0..=1000))]
        observers: u16,
        /// The stated time, ms
        #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
        bound_ms: u64,
        /// The stated drift, ppm
        #[arg(long, default_value_t = 1000)]
        ppm: u32,
        /// Contradicting versions are kept apart by waiting
        #[arg(long)]
        apart: bool,
        /// Nothing goes wrong
        #[arg(long)]
        calm: bool,
        /// One partition of this shape in place of all faults
        #[arg(long, value_enum)]
        only: Option<agree::faults::PartitionShape>,
        /// Something wrong by intent
        #[arg(long, value_enum)]
        flaw: Option<agree::Flaw>,
    },
    /// Plays takeover under faults; exits 1 where a request took effect twice or got two answers
    Takeover {
        /// How many seeds
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// The first of them
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Proxies that do not vote, beside five that do
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u16).range(0..=1000))]
        observers: u16,
        /// Proxies beside its owner that keep each request
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=2))]
        keepers: u8,
        /// Between two requests in the mean, ms
        #[arg(long, default_value_t = 8)]
        every_ms: u64,
        /// Nothing goes wrong
        #[arg(long)]
        calm: bool,
        /// Something wrong by intent
        #[arg(long, value_enum)]
        flaw: Option<takeover::Flaw>,
    },
    /// Measures how fast the laboratory itself is
    Speed,
}

/// Which fleet, and who decides there.
#[derive(Args)]
struct Which {
    /// An experiment file, at the first point of its sweeps; the mixed schedule where it is left out
    #[arg(long)]
    file: Option<PathBuf>,
    /// Who decides
    #[arg(long, value_enum, default_value = "sandgap")]
    policy: PolicyKind,
    /// A driver that breaks a rule
    #[arg(long, value_enum)]
    defect: Option<Defect>,
}

impl Which {
    fn experiment(&self) -> Result<Experiment, String> {
        let mut e = match &self.file {
            Some(path) => read(path)?.remove(0).experiment,
            None => hunt::mixed(),
        };
        e.fleet.defect = self.defect.or(e.fleet.defect);
        Ok(e)
    }
}

fn read(path: &Path) -> Result<Vec<Point>, String> {
    file::read(path).map_err(|e| e.to_string())
}

fn threads(jobs: Option<usize>) -> Result<(), String> {
    let Some(jobs) = jobs else { return Ok(()) };
    let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs);
    pool.build_global().map_err(|e| format!("{jobs} threads can't be had: {e}"))
}

fn main() -> ExitCode {
    match act(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(text) => {
            eprintln!("{text}");
            ExitCode::from(WRONG)
        }
    }
}

/// Whether all was well; a broken rule is not.
fn act(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { file, jobs, out, cost } => {
            threads(jobs)?;
            play(&file, out, cost)
        }
        Command::Check { file } => {
            let points = read(&file)?;
            let runs: u64 = points
                .iter()
                .map(|p| p.experiment.policies.len() as u64 * u64::from(p.experiment.repetitions))
                .sum();
            println!("good: {} points, {runs} runs", points.len());
            Ok(true)
        }
        Command::Compare { a, b } => {
            let of = |f: &Path| report::read(f).map_err(|e| e.to_string());
            print!("{}", report::compare(&of(&a)?, &of(&b)?));
            Ok(true)
        }
        Command::Hunt { seeds, from, jobs, explain, fleet } => {
            threads(jobs)?;
            let e = fleet.experiment()?;
            let caught = hunt::hunt(&e, fleet.policy, from..from + seeds, true).map_err(|e| e.to_string())?;
            println!(
                "{} seeds from {from}: {} requests, {} served, {} seeds broke a rule",
                caught.seeds,
                caught.requests,
                caught.served,
                caught.found.len()
            );
            for found in caught.found.iter().take(explain) {
                print!("{}", hunt::explain(&e, fleet.policy, found).map_err(|e| e.to_string())?);
            }
            for found in caught.found.iter().skip(explain).take(50) {
                println!("seed {}: {:?}: {}", found.seed, found.rules, found.what);
            }
            Ok(caught.found.is_empty())
        }
        Command::Replay { seed, request, fleet } => {
            let e = fleet.experiment()?;
            let folder = fleet.file.as_deref().and_then(Path::parent).unwrap_or(Path::new("."));
            let plan = Plan::draw(&e, fleet.policy, seed, folder).map_err(|e| e.to_string())?;
            println!("{}", hunt::story(&plan, request).map_err(|e| e.to_string())?);
            Ok(true)
        }
        Command::Theory { part, requests } => {
            print!("{}", checks::theory(part, requests).map_err(|e| e.to_string())?);
            Ok(true)
        }
        Command::Cost { requests, servers, rate } => {
            println!("{:>8}  {:>9}  {:>10}  {:>9}", "servers", "ns/event", "ns/request", "in ticks");
            for n in servers {
                let c = cost::measure(n, requests, rate);
                println!(
                    "{n:>8}  {:>9.0}  {:>10.0}  {:>8.1}%",
                    c.event_ns,
                    c.request_ns,
                    c.tick_part * 100.0
                );
            }
            Ok(true)
        }
        Command::Limiters { seed, spread } => {
            println!(
                "{:<22}{:>5}  {:<9}{:>8}{:>7}{:>8}{:>7}{:>8}{:>7}{:>8}{:>7}",
                "server of 12 cores",
                "first",
                "limiter",
                "calm",
                "slow",
                "half",
                "slow",
                "after",
                "slow",
                "full",
                "ready"
            );
            limiters::compare(seed, spread).iter().for_each(|f| println!("{f}"));
            Ok(true)
        }
        Command::Agree { seeds, from, voters, observers, bound_ms, ppm, apart, calm, only, flaw } => {
            let (voters, observers) = (voters.into(), observers.into());
            let bound = std::time::Duration::from_millis(bound_ms);
            let setup = agree::Setup {
                voters,
                observers,
                bound,
                drift_ppm: ppm,
                apart,
                faults: !calm,
                partition: only,
                flaw,
                ..Default::default()
            };
            let found = agree::run_seeds(&setup, from..from.saturating_add(seeds));
            println!("{found}");
            Ok(found.violations.is_empty())
        }
        Command::Takeover { seeds, from, observers, keepers, every_ms, calm, flaw } => {
            let fleet =
                agree::Setup { observers: observers.into(), faults: !calm, ..agree::Setup::default() };
            let request_interval = every_ms.max(1) * sandgap_lab::calendar::MS;
            let setup = takeover::Setup { fleet, keepers: keepers.into(), request_interval, flaw };
            let found = takeover::run_seeds(&setup, from..from.saturating_add(seeds));
            println!("{found}");
            Ok(found.violations.is_empty())
        }
        Command::Speed => {
            print!("{}", checks::speed().map_err(|e| e.to_string())?);
            Ok(true)
        }
    }
}

fn play(path: &Path, out: Option<PathBuf>, cost: bool) -> Result<bool, String> {
    let points = read(path)?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let (results, costs) = run::play(&points, folder, cost, true).map_err(|e| e.to_string())?;
    let shown = [0, 1, 3, 5, 7];
    print!("{:<34} {:<16}", "point", "policy");
    shown.iter().for_each(|i| print!(" {:>20}", MEASURES[*i].0));
    println!(" {:>7}", "broken");
    let mut broken = 0;
    for c in &results.cells {
        print!("{:<34} {:<16}", run::words(&c.set), c.policy.name());
        for i in shown {
            let e = &c.estimates[i];
            print!(" {:>20}", format!("{:.4} ± {:.4}", e.mean, e.half));
        }
        let of: usize = c.runs.iter().map(|r| r.broken + usize::from(r.incomplete)).sum();
        println!(" {of:>7}");
        broken += of;
    }
    if cost {
        costs
            .iter()
            .for_each(|c| println!("{} {}: {:.0} ns a decision", c.point, c.policy.name(), c.decision_ns));
    }
    if let Some(out) = out {
        report::write(&results, cost.then_some(&costs[..]), &out).map_err(|e| e.to_string())?;
        println!("written to {}", out.display());
    }
    Ok(broken == 0)
}
