//! Fleets of the program's processes whose backends are taken out and brought back all the while, with faults between
//! them. More seeds, longer: `sandgap-rig fleet --backends 6 --holders 4 --seed 1 --seeds 200`.

mod play;

use std::time::Duration;

use play::play;
use sandgap_rig::fleet::plan::{Hasty, Size, draw};

fn size() -> Size {
    Size { faulty: Duration::from_secs(6), backends: 6, holders: 4, bound_out: 2, ..Size::default() }
}

fn holds(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let report = play(size(), seed, draw(&size(), seed));
        assert!(report.broken.is_empty(), "{report}");
    }
}

#[test]
fn never_too_many_are_out_and_nothing_comes_to_what_is_empty_a() {
    holds(1..4);
}

#[test]
fn never_too_many_are_out_and_nothing_comes_to_what_is_empty_b() {
    holds(11..14);
}

#[test]
fn without_faults_backends_go_out_and_come_back() {
    let report = play(size(), 21, Vec::new());
    assert!(report.broken.is_empty() && report.outs.0 > 0, "{report}");
}

/// The judge itself: holders that don't wait, a bound that is too high, a halt that nobody keeps.
#[test]
fn outs_past_what_was_agreed_are_found() {
    let wrong = [(31, Hasty::Grant, "Sent"), (32, Hasty::Bound, "TooMany"), (33, Hasty::Halt, "AfterHalt")];
    for (seed, hasty, words) in wrong {
        let size = Size { hasty, holders: 6, faulty: Duration::from_secs(8), ..size() };
        let report = play(size, seed, Vec::new());
        assert!(report.broken.iter().any(|b| b.contains(words)), "{hasty:?}: {report}");
    }
}
