//! Fleets of sandgap processes that agree on their rules, with faults injected between them. For longer runs with more
//! seeds: `sandgap-rig fleet --seed 1 --seeds 200`.

mod fleet_plan;

use std::time::Duration;

use fleet_plan::run_fleet_plan;
use sandgap_rig::fleet::net::Way;
use sandgap_rig::fleet::plan::{Fault, Size, draw};

fn assert_rules_hold(seeds: std::ops::Range<u64>) {
    let size = Size { faulty: Duration::from_secs(5), ..Size::default() };
    for seed in seeds {
        let report = run_fleet_plan(size, seed, draw(&size, seed));
        assert!(report.broken.is_empty(), "{report}");
        assert!(report.versions > 1, "{report}");
    }
}

#[test]
fn processes_contradict_each_other_for_no_longer_than_the_bound_a() {
    assert_rules_hold(3..5);
}

#[test]
fn processes_contradict_each_other_for_no_longer_than_the_bound_b() {
    assert_rules_hold(20..22);
}

#[test]
fn processes_contradict_each_other_for_no_longer_than_the_bound_c() {
    assert_rules_hold(60..62);
}

/// Checks the checker: proxies that keep their leases far longer than the stated time are detected.
#[test]
fn proxies_that_keep_leases_for_too_long_are_detected() {
    let size = Size { faulty: Duration::from_secs(5), told: Some(Duration::from_secs(8)), ..Size::default() };
    let last = size.voters + size.observers - 1;
    let alone = (0..last).flat_map(|n| [(n, last, Way::Hole), (last, n, Way::Hole)]).collect();
    let report = run_fleet_plan(size, 91, vec![(Duration::from_millis(500), Fault::Ways(alone))]);
    assert!(report.broken.iter().any(|b| b.contains("acted on together")), "{report}");
}

/// Voters are killed throughout, during writes as at any other time: acknowledged versions stay.
#[test]
fn acknowledged_versions_survive_killed_voters() {
    let size =
        Size { faulty: Duration::from_secs(5), publish: Duration::from_millis(150), ..Size::default() };
    let kills = (0..20).map(|n| {
        (
            Duration::from_millis(300 + n * 230),
            Fault::Kill(n as usize % size.voters, Duration::from_millis(120)),
        )
    });
    let report = run_fleet_plan(size, 92, kills.collect());
    assert!(report.broken.is_empty(), "{report}");
    assert!(report.acknowledged > 0, "{report}");
}
