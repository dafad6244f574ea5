//! What a proxy of a fleet says and hears does not grow with the fleet: hollow proxies beside real voters, judged by
//! counts that hang on no clock. `sandgap-rig scale` plays larger ones, and times them.
//!
//! Each hollow proxy holds links to most of the others, so that a process which held them all would run out of
//! descriptors. This program therefore starts itself again for parts of them, and has a `main` of its own for that.
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use libtest_mimic::{Arguments, Failed, Trial};
use sandgap_rig::run::RunError;
use sandgap_rig::scale::hollow::Defect;
use sandgap_rig::scale::{BLOCK_COMMAND, Report, Setup, run, serve_block};

/// Sizes that are held against each other.
const SIZES: [usize; 2] = [50, 200];
/// Hollow proxies of one process: with links to all others each way they stay far below its descriptors.
const PER_PROCESS: usize = 25;
/// Hollow proxies whose links are more than the system lets any process open (nr_open, proc(5)).
const MORE_THAN_ANY_LIMIT: usize = 40_000;
/// By how much a count for each proxy may differ between them: a repeat where the machine stands still.
const SLACK: f64 = 0.25;

fn setup(hollows: usize, defect: Option<Defect>) -> Setup {
    Setup {
        hollows,
        per_process: Some(PER_PROCESS),
        rig: std::env::current_exe().expect("this program"),
        voters: 3,
        bound: Duration::from_millis(4000), // long, so that a busy machine costs no lease
        idle: Duration::from_secs(2),
        changes: 2,
        faults: false,
        defect,
    }
}

fn play(hollows: usize, defect: Option<Defect>) -> Report {
    let report = run(Path::new(env!("CARGO_BIN_EXE_sandgap")), &setup(hollows, defect)).expect("figures");
    println!("{report}");
    report
}

/// What is wrong with a play by its counts, for each proxy.
fn wrong(report: &Report) -> Vec<String> {
    let bounds = [
        ("copies of a question", report.copies_a_question, 1.0),
        ("rulebooks asked for at a change", report.fetches_a_change, FETCHES),
        ("rulebooks that came at a change", report.books_a_change, FETCHES),
        ("words that something else stands at a change", report.news_a_change, NEWS),
        ("entries of the log at a change", report.entries_a_change, ENTRIES),
    ];
    let over = bounds.iter().filter(|(_, seen, most)| *seen > most * (1.0 + SLACK));
    over.map(|(what, seen, most)| format!("{what}: {seen:.2}, {most} at most")).collect()
}

/// Of the voter that tells of it first; some hear of it from a second one before the first has answered.
const FETCHES: f64 = 2.0;
/// Put forward, in force: each from one voter.
const NEWS: f64 = 2.0;
/// The same as entries of the log, and what proxies report between them.
const ENTRIES: f64 = 4.0;

fn what_a_proxy_says_and_hears_at_a_change_does_not_grow_with_the_fleet() {
    let plays = SIZES.map(|size| play(size, None));
    for report in &plays {
        assert!(wrong(report).is_empty(), "{} proxies: {:?}", report.proxies, wrong(report));
        assert_eq!(report.changes.iter().map(|c| c.after_us.len()).min(), Some(report.proxies));
    }
    assert_eq!(plays[0].book_bytes, plays[1].book_bytes, "a rulebook is the same for any fleet");
}

fn a_message_to_all_in_place_of_one_is_found_out() {
    assert!(wrong(&play(SIZES[0], Some(Defect::AskEveryVoter))).iter().any(|w| w.starts_with("copies")));
    assert!(
        wrong(&play(SIZES[0], Some(Defect::FetchEverywhere)))
            .iter()
            .any(|w| w.starts_with("rulebooks asked"))
    );
}

/// More links than a process may have descriptors are refused before they fail somewhere in the middle.
fn a_process_that_cannot_hold_its_links_is_refused_at_once() {
    let setup = Setup { per_process: None, ..setup(MORE_THAN_ANY_LIMIT, None) };
    let refused = run(Path::new(env!("CARGO_BIN_EXE_sandgap")), &setup).map(|report| report.proxies);
    assert!(matches!(refused, Err(RunError::Descriptors { .. })), "{refused:?}");
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    if let [_, command, setup] = &words[..]
        && command == BLOCK_COMMAND
    {
        return match serve_block(setup) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("{e}");
                ExitCode::FAILURE
            }
        };
    }
    let trial = |name: &str, test: fn()| {
        let run = move || {
            test();
            Ok::<(), Failed>(())
        };
        Trial::test(name, run)
    };
    let trials = vec![
        trial(
            "what_a_proxy_says_and_hears_at_a_change_does_not_grow_with_the_fleet",
            what_a_proxy_says_and_hears_at_a_change_does_not_grow_with_the_fleet,
        ),
        trial(
            "a_process_that_cannot_hold_its_links_is_refused_at_once",
            a_process_that_cannot_hold_its_links_is_refused_at_once,
        ),
        trial("a_message_to_all_in_place_of_one_is_found_out", a_message_to_all_in_place_of_one_is_found_out),
    ];
    libtest_mimic::run(&Arguments::from_args(), trials).exit_code()
}
