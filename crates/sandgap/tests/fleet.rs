//! Fleets of the program's processes that agree on their rules, with faults between them. More seeds, longer:
//! `sandgap-rig fleet --seed 1 --seeds 200`.

mod play;

use std::time::Duration;

use play::play;
use sandgap_rig::fleet::net::Way;
use sandgap_rig::fleet::plan::{Fault, Size, draw};

fn holds(seeds: std::ops::Range<u64>) {
    let size = Size { faulty: Duration::from_secs(5), ..Size::default() };
    for seed in seeds {
        let report = play(size, seed, draw(&size, seed));
        assert!(report.broken.is_empty(), "{report}");
        assert!(report.versions > 1, "{report}");
    }
}

#[test]
fn no_two_processes_contradict_each_other_for_longer_than_stated_a() {
    holds(3..5);
}

#[test]
fn no_two_processes_contradict_each_other_for_longer_than_stated_b() {
    holds(20..22);
}

#[test]
fn no_two_processes_contradict_each_other_for_longer_than_stated_c() {
    holds(60..62);
}

/// The judge itself: proxies that hold their leases for far longer than the stated time are found out.
#[test]
fn proxies_that_hold_on_for_too_long_are_found_out() {
    let size = Size { faulty: Duration::from_secs(5), told: Some(Duration::from_secs(8)), ..Size::default() };
    let last = size.voters + size.observers - 1;
    let alone = (0..last).flat_map(|n| [(n, last, Way::Hole), (last, n, Way::Hole)]).collect();
    let report = play(size, 91, vec![(Duration::from_millis(500), Fault::Ways(alone))]);
    assert!(report.broken.iter().any(|b| b.contains("acted on together")), "{report}");
}

/// Voters that die all the while, at their writes as at any other moment: what a publisher was told stays.
#[test]
fn versions_that_were_acknowledged_survive_voters_that_die() {
    let size =
        Size { faulty: Duration::from_secs(5), publish: Duration::from_millis(150), ..Size::default() };
    let kills = (0..20).map(|n| {
        (
            Duration::from_millis(300 + n * 230),
            Fault::Kill(n as usize % size.voters, Duration::from_millis(120)),
        )
    });
    let report = play(size, 92, kills.collect());
    assert!(report.broken.is_empty(), "{report}");
    assert!(report.acknowledged > 0, "{report}");
}
