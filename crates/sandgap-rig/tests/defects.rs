//! Each defective relay is detected by the rule that it breaks, and the plain relay breaks none.

use std::path::PathBuf;
use std::sync::Mutex;

use sandgap_rig::proxy::Program;
use sandgap_rig::relay::Kind;
use sandgap_rig::run::run;
use sandgap_rig::schedule::{Size, scenario};
use sandgap_rules::{Ledger, Rule, Verdict};

/// Held during a run: runs in parallel only slow each other down.
static ONE_RUN: Mutex<()> = Mutex::new(());

fn run_relay(name: &str, kind: Kind, requests: usize, ledger: Ledger) -> Verdict {
    run_seed(name, kind, requests, ledger, 11)
}

fn run_seed(name: &str, kind: Kind, requests: usize, ledger: Ledger, seed: u64) -> Verdict {
    let _guard = ONE_RUN.lock().unwrap_or_else(|e| e.into_inner());
    let kind = clap::ValueEnum::to_possible_value(&kind).expect("named").get_name().to_owned();
    let path = PathBuf::from(env!("CARGO_BIN_EXE_sandgap-rig"));
    let program = Program::new(path, vec!["relay".into(), kind.clone()]);
    let plan = scenario(name).expect("named").plan(seed, Size { requests, ..Size::default() });
    let outcome = run(plan, &program, ledger).expect("a verdict");
    println!("{name} seed {seed}, {kind}: {}", outcome.verdict);
    outcome.verdict
}

fn assert_detected(name: &str, kind: Kind, rule: Rule) {
    let verdict = run_relay(name, kind, 1200, Ledger::default());
    assert!(!verdict.passes() && verdict.counts.contains_key(&rule), "{verdict}");
}

#[test]
fn a_plain_relay_keeps_the_rules_under_faults_and_drains() {
    for name in ["backend-faults", "drains"] {
        let verdict = run_relay(name, Kind::Plain, 1200, Ledger::default());
        assert!(verdict.passes(), "{verdict}");
    }
}

#[test]
fn a_relay_that_takes_any_answer_for_the_due_one_is_detected() {
    assert_detected("second-answers", Kind::Plain, Rule::NoRequestLost);
}

#[test]
fn a_relay_that_resends_unsafe_requests_is_detected() {
    assert_detected("backend-faults", Kind::Resends, Rule::NothingTwice);
}

#[test]
fn a_relay_that_ignores_drains_is_detected() {
    assert_detected("drains", Kind::IgnoresDrains, Rule::DrainsKept);
}

#[test]
fn a_relay_that_drops_answers_is_detected() {
    assert_detected("calm", Kind::DropsAnswers, Rule::NoRequestLost);
}

#[test]
fn a_relay_that_refuses_what_may_have_run_is_detected() {
    assert_detected("backend-faults", Kind::RefusesRan, Rule::NothingTwice);
}

#[test]
fn a_relay_that_answers_late_is_detected() {
    assert_detected("calm", Kind::AnswersLate, Rule::NoRequestLost);
}

#[test]
fn a_relay_that_forges_answers_is_detected() {
    assert_detected("calm", Kind::Forges, Rule::NoRequestLost);
}

#[test]
fn a_relay_that_sends_after_its_answer_is_detected() {
    assert_detected("calm", Kind::SendsAfter, Rule::NoRequestLost);
}

#[test]
fn a_relay_that_overloads_cold_backends_is_detected() {
    assert_detected("cold-starts", Kind::PushesCold, Rule::NoColdPushedOver);
}

/// Seeds of the scenario `paused-answers` that permit one attempt at once, and two.
const ONE_AT_ONCE: u64 = 11;
const TWO_AT_ONCE: u64 = 12;

#[test]
fn a_relay_that_sends_copies_is_detected_where_none_are_permitted() {
    let permits = |seed| scenario("paused-answers").expect("named").plan(seed, Size::default()).second_copies;
    assert!(permits(TWO_AT_ONCE) && !permits(ONE_AT_ONCE));
    let verdict = run_seed("paused-answers", Kind::Copies, 1200, Ledger::default(), ONE_AT_ONCE);
    assert!(verdict.counts.contains_key(&Rule::NothingTwice), "{verdict}");
    let verdict = run_seed("paused-answers", Kind::Copies, 1200, Ledger::default(), TWO_AT_ONCE);
    assert!(!verdict.counts.contains_key(&Rule::NothingTwice), "{verdict}");
}

#[test]
fn a_relay_that_does_not_end_in_its_time_is_detected() {
    let verdict = run_relay("dropped-class", Kind::EndsLate, 2400, Ledger::default());
    assert!(verdict.counts.contains_key(&Rule::NoRequestLost), "{verdict}");
}

#[test]
fn a_ledger_that_loses_a_record_is_incomplete() {
    let ledger = Ledger::losing_every(1000);
    let verdict = run_relay("calm", Kind::Plain, 600, ledger);
    assert!(!verdict.passes() && !verdict.incomplete.is_empty(), "{verdict}");
}
