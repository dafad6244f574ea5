//! Each broken relay is caught by the rule that it breaks, and a plain one by none.
use std::path::PathBuf;
use std::sync::Mutex;

use sandgap_rig::proxy::Program;
use sandgap_rig::relay::Kind;
use sandgap_rig::run::run;
use sandgap_rig::schedule::{Size, scenario};
use sandgap_rules::{Ledger, Rule, Verdict};

/// One run at a time: a loaded machine would only make them slower.
static TURN: Mutex<()> = Mutex::new(());

fn play(name: &str, kind: Kind, requests: usize, ledger: Ledger) -> Verdict {
    let _turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
    let kind = clap::ValueEnum::to_possible_value(&kind).expect("named").get_name().to_owned();
    let path = PathBuf::from(env!("CARGO_BIN_EXE_sandgap-rig"));
    let program = Program::new(path, vec!["relay".into(), kind.clone()]);
    let plan = scenario(name).expect("named").plan(11, Size { requests, ..Size::default() });
    let outcome = run(plan, &program, ledger).expect("a verdict");
    println!("{name} seed 11, {kind}: {}", outcome.verdict);
    outcome.verdict
}

fn caught(name: &str, kind: Kind, rule: Rule) {
    let verdict = play(name, kind, 1200, Ledger::default());
    assert!(!verdict.passes() && verdict.counts.contains_key(&rule), "{verdict}");
}

#[test]
fn a_plain_relay_keeps_the_rules_under_faults_and_drains() {
    for name in ["backend-faults", "drains"] {
        let verdict = play(name, Kind::Plain, 1200, Ledger::default());
        assert!(verdict.passes(), "{verdict}");
    }
}

#[test]
fn one_that_resends_unsafe_requests_is_caught() {
    caught("backend-faults", Kind::Resends, Rule::NothingTwice);
}

#[test]
fn one_that_ignores_drains_is_caught() {
    caught("drains", Kind::IgnoresDrains, Rule::DrainsKept);
}

#[test]
fn one_that_drops_answers_is_caught() {
    caught("calm", Kind::DropsAnswers, Rule::NoRequestLost);
}

#[test]
fn one_that_refuses_what_may_have_run_is_caught() {
    caught("backend-faults", Kind::RefusesRan, Rule::NothingTwice);
}

#[test]
fn one_that_answers_late_is_caught() {
    caught("calm", Kind::AnswersLate, Rule::NoRequestLost);
}

#[test]
fn one_that_makes_answers_up_is_caught() {
    caught("calm", Kind::Forges, Rule::NoRequestLost);
}

#[test]
fn one_that_sends_after_its_answer_is_caught() {
    caught("calm", Kind::SendsAfter, Rule::NoRequestLost);
}

#[test]
fn one_that_pushes_cold_backends_over_is_caught() {
    caught("cold-starts", Kind::PushesCold, Rule::NoColdPushedOver);
}

#[test]
fn a_ledger_that_loses_a_line_says_so() {
    let ledger = Ledger::losing_every(1000);
    let verdict = play("calm", Kind::Plain, 600, ledger);
    assert!(!verdict.passes() && !verdict.incomplete.is_empty(), "{verdict}");
}
