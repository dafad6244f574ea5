//! Plays a plan of faults on a fleet of the program's processes.
use std::path::PathBuf;
use std::time::Duration;

use sandgap_rig::fleet::plan::{Fault, Size};
use sandgap_rig::fleet::{Report, run_plan};

pub fn play(size: Size, seed: u64, plan: Vec<(Duration, Fault)>) -> Report {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_sandgap"));
    let (report, folder) = run_plan(&program, size, seed, plan).expect("a verdict");
    println!("{report}\n{}", folder.path.display());
    report
}
