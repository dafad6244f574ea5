//! The bounds of everything that a file or a run can grow in the laboratory.

/// Servers of one fleet, those that replace others included: what the rules' records can number.
pub const SERVERS: usize = 60_000;
/// Proxies of one fleet.
pub const PROXIES: usize = 1_000;
/// Points of one experiment: the product of its sweeps, policies and repetitions.
pub const RUNS: usize = 200_000;
/// Virtual seconds of one run.
pub const SECONDS: f64 = 10_000_000.0;
/// Requests a second over all proxies.
pub const RATE: f64 = 10_000_000.0;
/// Requests in flight at once, over all proxies: past it the load is far beyond what the fleet can do and the
/// run ends with an error. About 200 bytes each.
pub const IN_FLIGHT: usize = 4_000_000;
/// Bytes of an experiment file or of a recorded load.
pub const FILE: u64 = 256 << 20;
/// Problems that are told of one file.
pub const PROBLEMS: usize = 50;
/// Runs of the model that a shrink may take.
pub const SHRINKS: usize = 400;
/// Windows in which a run's course is kept; longer runs get wider windows.
pub const WINDOWS: usize = 240;
/// Faults of one plan.
pub const FAULTS: usize = 100_000;
