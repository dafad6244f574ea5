//! `sandgap-lab`: simulates whole fleets in virtual time, from the command line.

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

/// Exit code if the command could not be carried out, for example because of an invalid file.
const COMMAND_ERROR: u8 = 2;

#[derive(Parser)]
#[command(
    name = "sandgap-lab",
    version,
    about = "Whole fleets in virtual time, with the real decision library inside"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an experiment file and writes its results
    Run {
        /// The experiment file
        file: PathBuf,
        /// Number of parallel runs; defaults to the number of processors
        #[arg(long)]
        jobs: Option<usize>,
        /// The folder for CSV, JSON and the HTML report
        #[arg(long)]
        out: Option<PathBuf>,
        /// Also measures the wall time of decisions, in cost.csv
        #[arg(long)]
        cost: bool,
    },
    /// Reports the errors in an experiment file: all of its syntax, or else up to 50 invalid keys or values
    Check {
        /// The experiment file
        file: PathBuf,
    },
    /// Reports the figures that differ significantly between two folders of results
    Compare {
        /// The first folder
        a: PathBuf,
        /// The second folder
        b: PathBuf,
    },
    /// Searches seeds for runs in which the rule checker finds a broken rule
    Hunt {
        /// Number of seeds
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// The first seed
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Number of parallel runs
        #[arg(long)]
        jobs: Option<usize>,
        /// Maximum number of failing seeds to explain
        #[arg(long, default_value_t = 3)]
        explain: usize,
        #[command(flatten)]
        fleet: FleetArgs,
    },
    /// Prints the history of a seed's run, or of one request of it
    Replay {
        /// The seed
        seed: u64,
        /// The request's number
        #[arg(long)]
        request: Option<u32>,
        #[command(flatten)]
        fleet: FleetArgs,
    },
    /// Compares the simulator with exact results and prints the deviations (takes minutes)
    Theory {
        /// The results to compare with
        #[arg(value_enum)]
        part: Part,
        /// Requests for each point of the M/M/m check, over all its runs
        #[arg(long, default_value_t = 4_000_000)]
        requests: u64,
    },
    /// Measures the cost of a decision by the number of servers
    Cost {
        /// Requests for each number of servers
        #[arg(long, default_value_t = 200_000)]
        requests: u64,
        /// Numbers of servers
        #[arg(long, value_delimiter = ',', default_value = "10,100,1000,10000")]
        servers: Vec<u32>,
        /// Upper limit of the requests per second, which are otherwise 120 for each server
        #[arg(long, default_value_t = 2500.0)]
        rate: f64,
    },
    /// Compares the decision library's limiter with those in common use, on servers whose size it does not know
    ///
    /// Servers have 12 cores unless their name says otherwise. Columns: "first" is the initial limit; "calm", "half" and
    /// "after" are the answers as a fraction of the capacity in three phases (alone, with a neighbour that takes half of
    /// the server, alone again), each followed by "slow", the mean latency divided by that of a request alone on the
    /// server; "full" is the fraction of requests that were turned away; "ready" is the time to the first second with
    /// 90% of the capacity, s.
    Limiters {
        /// The seed of the requests' work
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Draws the work from an exponential distribution
        #[arg(long)]
        spread: bool,
    },
    /// Simulates proxies that agree on versions of the fleet's rules, under faults; exits 1 if a violation is found, such
    /// as proxies that could contradict each other for longer than stated
    Agree {
        /// Number of seeds
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        /// The first seed
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Number of voters
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=9))]
        voters: u16,
        /// Number of proxies that do not vote
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(0..=1000))]
        observers: u16,
        /// The stated bound on contradictions, ms
        #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
        bound_ms: u64,
        /// The stated clock drift, ppm
        #[arg(long, default_value_t = 1000)]
        ppm: u32,
        /// Makes voters wait, so that contradicting versions are never acted on together
        #[arg(long)]
        apart: bool,
        /// Runs without faults
        #[arg(long)]
        calm: bool,
        /// A single partition of this shape in place of all other faults; with --calm, there is none either
        #[arg(long, value_enum)]
        only: Option<agree::faults::PartitionShape>,
        /// A flaw to inject, which the run should find
        #[arg(long, value_enum)]
        flaw: Option<agree::Flaw>,
    },
    /// Simulates request takeover under faults; exits 1 if a violation is found, such as a request that took effect twice
    /// or got two answers
    Takeover {
        /// Number of seeds
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// The first seed
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Number of proxies that do not vote, besides five voters
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u16).range(0..=1000))]
        observers: u16,
        /// Number of proxies that keep a record of each request, besides its owner
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=2))]
        keepers: u8,
        /// Mean interval between requests, ms
        #[arg(long, default_value_t = 8)]
        every_ms: u64,
        /// Runs without faults
        #[arg(long)]
        calm: bool,
        /// A flaw to inject, which the run should find
        #[arg(long, value_enum)]
        flaw: Option<takeover::Flaw>,
    },
    /// Measures the speed of the simulator itself
    Speed,
}

/// The fleet to simulate and the policy that decides there.
#[derive(Args)]
struct FleetArgs {
    /// An experiment file, of which the first point of the sweeps is used; defaults to the built-in mixed schedule
    #[arg(long)]
    file: Option<PathBuf>,
    /// The policy that decides
    #[arg(long, value_enum, default_value = "sandgap")]
    policy: PolicyKind,
    /// A defect of the driver that breaks a rule
    #[arg(long, value_enum)]
    defect: Option<Defect>,
}

impl FleetArgs {
    fn experiment(&self) -> Result<Experiment, String> {
        let mut e = match &self.file {
            Some(path) => read_points(path)?.remove(0).experiment,
            None => hunt::mixed(),
        };
        e.fleet.defect = self.defect.or(e.fleet.defect);
        Ok(e)
    }
}

fn read_points(path: &Path) -> Result<Vec<Point>, String> {
    file::read(path).map_err(|e| e.to_string())
}

fn set_threads(jobs: Option<usize>) -> Result<(), String> {
    let Some(jobs) = jobs else { return Ok(()) };
    let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs);
    pool.build_global().map_err(|e| format!("can't start {jobs} threads: {e}"))
}

fn main() -> ExitCode {
    match run_command(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(text) => {
            eprintln!("{text}");
            ExitCode::from(COMMAND_ERROR)
        }
    }
}

/// Runs a command and returns whether it found nothing wrong, such as a broken rule.
fn run_command(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { file, jobs, out, cost } => {
            set_threads(jobs)?;
            run_experiment(&file, out, cost)
        }
        Command::Check { file } => {
            let points = read_points(&file)?;
            let runs: u64 = points
                .iter()
                .map(|p| p.experiment.policies.len() as u64 * u64::from(p.experiment.repetitions))
                .sum();
            println!("good: {} points, {runs} runs", points.len());
            Ok(true)
        }
        Command::Compare { a, b } => {
            let results = |f: &Path| report::read(f).map_err(|e| e.to_string());
            print!("{}", report::compare(&results(&a)?, &results(&b)?));
            Ok(true)
        }
        Command::Hunt { seeds, from, jobs, explain, fleet } => {
            set_threads(jobs)?;
            let e = fleet.experiment()?;
            let result = hunt::hunt(&e, fleet.policy, from..from + seeds, true).map_err(|e| e.to_string())?;
            println!(
                "{} seeds from {from}: {} requests, {} served, {} seeds broke a rule",
                result.seeds,
                result.requests,
                result.served,
                result.found.len()
            );
            for found in result.found.iter().take(explain) {
                print!("{}", hunt::explain(&e, fleet.policy, found).map_err(|e| e.to_string())?);
            }
            for found in result.found.iter().skip(explain).take(50) {
                println!("seed {}: {:?}: {}", found.seed, found.rules, found.description);
            }
            Ok(result.found.is_empty())
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
                "server",
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

fn run_experiment(path: &Path, out: Option<PathBuf>, cost: bool) -> Result<bool, String> {
    let points = read_points(path)?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let (results, costs) = run::run_points(&points, folder, cost, true).map_err(|e| e.to_string())?;
    let measures = [0, 1, 3, 5, 7];
    print!("{:<34} {:<16}", "point", "policy");
    measures.iter().for_each(|i| print!(" {:>20}", MEASURES[*i].0));
    println!(" {:>7}", "broken");
    let mut broken = 0;
    for c in &results.cells {
        print!("{:<34} {:<16}", run::point_text(&c.set), c.policy.name());
        for i in measures {
            let e = &c.estimates[i];
            print!(" {:>20}", format!("{:.4} ± {:.4}", e.mean, e.half));
        }
        let failures: usize = c.runs.iter().map(|r| r.broken + usize::from(r.incomplete)).sum();
        println!(" {failures:>7}");
        broken += failures;
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
