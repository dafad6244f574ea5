//! System calls that fail or transfer less than asked, in the ways that Linux documents: all four rules hold.

use std::path::PathBuf;
use std::sync::Mutex;

use sandgap_rig::machine::ColdRule;
use sandgap_rig::proxy::Program;
use sandgap_rig::run::run;
use sandgap_rig::schedule::{Plan, Size, scenario};
use sandgap_rig::system_faults::SystemFaults;
use sandgap_rules::Ledger;

/// Serialises the runs: in parallel they would only slow each other down.
static TURN: Mutex<()> = Mutex::new(());

fn size(requests: usize, rate: f64) -> Size {
    Size { requests, rate, ..Size::default() }
}

fn assert_rules_hold_under(faults: SystemFaults, name: &str, seed: u64) {
    let mut plan = scenario(name).expect("named").plan(seed, size(1600, 400.0));
    plan.system_faults = faults;
    assert_rules_hold(plan);
}

fn assert_rules_hold(plan: Plan) {
    let (name, seed, faults) = (plan.scenario, plan.seed, plan.system_faults);
    let _turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
    let program = Program::new(PathBuf::from(env!("CARGO_BIN_EXE_sandgap")), Vec::new());
    let mut outcome = run(plan, &program, Ledger::default()).expect("a verdict");
    println!("{name} seed {seed}, {faults:?}: {outcome}");
    if !outcome.passes() {
        outcome.logs.keep();
        panic!("{name} seed {seed}, logs in {}: {outcome}", outcome.logs.path.display());
    }
}

#[test]
fn the_rules_hold_under_short_and_interrupted_calls() {
    assert_rules_hold_under(SystemFaults { short_read: 20, ..SystemFaults::default() }, "calm", 5);
    assert_rules_hold_under(SystemFaults { short_write: 20, ..SystemFaults::default() }, "calm", 25);
    assert_rules_hold_under(
        SystemFaults { short_read: 200, interrupted: 20, ..SystemFaults::default() },
        "discovery",
        5,
    );
    let all = SystemFaults { short_read: 10, short_write: 10, interrupted: 10, ..SystemFaults::default() };
    assert_rules_hold_under(all, "mixed", 5);
}

#[test]
fn the_rules_hold_when_socket_and_accept_fail_during_restarts() {
    let faults = SystemFaults { socket: 300, accept: 100, ..SystemFaults::default() };
    [5, 25, 45].into_iter().for_each(|seed| assert_rules_hold_under(faults, "restarts", seed));
}

#[test]
fn a_wall_clock_that_is_wrong_by_an_hour_overloads_no_cold_backend() {
    // The lower the starting capacity, the larger the effect of a wrong age.
    let cold = ColdRule { start: 0.1, warm_ms: 8000.0, multiple: 1.5, span_ms: 1500.0 };
    for (seed, clock_ahead_ms) in [(5, 3_600_000), (25, -3_600_000)] {
        let mut plan = scenario("cold-starts").expect("named").plan(seed, size(3000, 600.0));
        plan.cold = cold;
        plan.system_faults = SystemFaults { clock_ahead_ms, ..SystemFaults::default() };
        assert_rules_hold(plan);
    }
}
