//! Runs a fleet of sandgap processes under a plan of faults.
use std::path::PathBuf;
use std::time::Duration;

use sandgap_rig::fleet::plan::{Fault, Size};
use sandgap_rig::fleet::{Report, run_plan};

/// Runs the plan and returns the checker's report; prints it with the folder of the run.
pub fn run_fleet_plan(size: Size, seed: u64, plan: Vec<(Duration, Fault)>) -> Report {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_sandgap"));
    let (report, folder) = run_plan(&program, size, seed, plan).expect("a verdict");
    println!("{report}\n{}", folder.path.display());
    report
}
