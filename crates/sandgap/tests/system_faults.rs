//! System calls that fail or fall short, in the ways that Linux documents: all four rules hold.

use std::path::PathBuf;
use std::sync::Mutex;

use sandgap_rig::proxy::Program;
use sandgap_rig::run::run;
use sandgap_rig::schedule::{Size, scenario};
use sandgap_rig::system_faults::SystemFaults;
use sandgap_rules::Ledger;

/// One run at a time: a loaded machine would only make them slower.
static TURN: Mutex<()> = Mutex::new(());

fn held(name: &str, seed: u64, faults: SystemFaults) {
    let _turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
    let program = Program::new(PathBuf::from(env!("CARGO_BIN_EXE_sandgap")), Vec::new());
    let mut plan = scenario(name).expect("named").plan(seed, Size { requests: 1600, ..Size::default() });
    plan.system_faults = faults;
    let mut outcome = run(plan, &program, Ledger::default()).expect("a verdict");
    println!("{name} seed {seed}, {faults:?}: {}", outcome.verdict);
    if !outcome.verdict.passes() {
        outcome.logs.keep();
        panic!("{name} seed {seed}, logs in {}: {}", outcome.logs.path.display(), outcome.verdict);
    }
}

#[test]
fn short_and_interrupted_calls_lose_nothing() {
    held("calm", 5, SystemFaults { short_read: 20, ..SystemFaults::default() });
    held("calm", 25, SystemFaults { short_write: 20, ..SystemFaults::default() });
    held("discovery", 5, SystemFaults { short_read: 200, interrupted: 20, ..SystemFaults::default() });
    let all = SystemFaults { short_read: 10, short_write: 10, interrupted: 10, ..SystemFaults::default() };
    held("mixed", 5, all);
}

#[test]
fn a_socket_that_cannot_be_had_for_a_moment_ends_no_start() {
    let faults = SystemFaults { socket: 300, accept: 100, ..SystemFaults::default() };
    [5, 25, 45].into_iter().for_each(|seed| held("restarts", seed, faults));
}
