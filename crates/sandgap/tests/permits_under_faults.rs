//! Fleets of sandgap processes whose backends are taken out and brought back throughout, with faults injected between the
//! processes. For longer runs with more seeds: `sandgap-rig fleet --backends 6 --holders 4 --seed 1 --seeds 200`.

mod fleet_plan;

use std::time::Duration;

use fleet_plan::run_fleet_plan;
use sandgap_rig::fleet::plan::{Hasty, Size, draw};

fn size() -> Size {
    Size { faulty: Duration::from_secs(6), backends: 6, holders: 4, bound_out: 2, ..Size::default() }
}

fn assert_rules_hold(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let report = run_fleet_plan(size(), seed, draw(&size(), seed));
        assert!(report.broken.is_empty(), "{report}");
    }
}

#[test]
fn outs_stay_within_the_budget_and_empty_backends_get_no_requests_a() {
    assert_rules_hold(1..4);
}

#[test]
fn outs_stay_within_the_budget_and_empty_backends_get_no_requests_b() {
    assert_rules_hold(11..14);
}

#[test]
fn without_faults_backends_go_out_and_come_back() {
    let report = run_fleet_plan(size(), 21, Vec::new());
    assert!(report.broken.is_empty() && report.outs.0 > 0, "{report}");
}

#[test]
fn a_violation_that_comes_after_the_play_s_time_is_detected() {
    let size = Size { hasty: Hasty::Halt, holders: 6, faulty: Duration::from_millis(300), ..size() };
    let report = run_fleet_plan(size, 34, Vec::new());
    assert!(report.broken.iter().any(|b| b.contains("AfterHalt")), "{report}");
}

/// Checks the checker: holders that don't wait, a bound that is too high, a halt that is ignored.
#[test]
fn violations_of_the_permit_rules_are_detected() {
    let flaws = [(31, Hasty::Grant, "Sent"), (32, Hasty::Bound, "TooMany"), (33, Hasty::Halt, "AfterHalt")];
    for (seed, hasty, words) in flaws {
        let size = Size { hasty, holders: 6, faulty: Duration::from_secs(8), ..size() };
        let report = run_fleet_plan(size, seed, Vec::new());
        assert!(report.broken.iter().any(|b| b.contains(words)), "{hasty:?}: {report}");
    }
}
