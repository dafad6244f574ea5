//! Upper bounds of everything that an experiment file or a run can make grow.

/// Servers of one fleet over a run, replacements included: what the rule checker's records can number.
pub const SERVERS: usize = 60_000;
/// Proxies of one fleet.
pub const PROXIES: usize = 1_000;
/// Runs of one experiment: the product of its sweeps' values, policies and repetitions.
pub const RUNS: usize = 200_000;
/// Virtual seconds of one run.
pub const SECONDS: f64 = 10_000_000.0;
/// Requests per second over all proxies.
pub const RATE: f64 = 10_000_000.0;
/// Requests in flight at once, over all proxies. More means that the load far exceeds the fleet's capacity, and the
/// run ends with an error. Each takes about 200 bytes.
pub const IN_FLIGHT: usize = 4_000_000;
/// Bytes of an experiment file or of a recorded load.
pub const FILE: u64 = 256 << 20;
/// Problems reported for one file.
pub const PROBLEMS: usize = 50;
/// Runs of the simulator that shrinking a failing plan may take.
pub const SHRINKS: usize = 400;
/// Time windows in which a run's goodput over time is kept; longer runs get wider windows.
pub const WINDOWS: usize = 240;
/// Fault actions of one plan.
pub const FAULTS: usize = 100_000;
