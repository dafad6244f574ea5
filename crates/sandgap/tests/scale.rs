//! What a proxy sends and receives does not grow with its fleet: simulated (`hollow`) proxies beside real voters, checked
//! by counts that depend on no clock. `sandgap-rig scale` runs larger fleets and measures times.
//!
//! Each hollow proxy has links to most of the others, so a process with all of them would run out of descriptors. This
//! program therefore starts itself again for parts of them, and has a `main` of its own for that.
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use libtest_mimic::{Arguments, Failed, Trial};
use sandgap_rig::run::RunError;
use sandgap_rig::scale::hollow::Defect;
use sandgap_rig::scale::{BLOCK_COMMAND, Report, Setup, run, serve_block};

/// Fleet sizes that are compared.
const SIZES: [usize; 2] = [50, 200];
/// Hollow proxies per process: with links to all others in both directions they stay far below its descriptor limit.
const PER_PROCESS: usize = 25;
/// Number of hollow proxies whose links exceed what the system lets any process open (nr_open, proc(5)).
const MORE_THAN_ANY_LIMIT: usize = 40_000;
/// Tolerated excess of a count per proxy, for repeats where the machine stalls.
const SLACK: f64 = 0.25;

fn setup(hollows: usize, defect: Option<Defect>) -> Setup {
    Setup {
        hollows,
        per_process: Some(PER_PROCESS),
        rig: std::env::current_exe().expect("this program"),
        voters: 3,
        bound: Duration::from_millis(4000), // long, so that no lease expires on a busy machine
        idle: Duration::from_secs(2),
        changes: 2,
        faults: false,
        defect,
    }
}

fn run_scale(hollows: usize, defect: Option<Defect>) -> Report {
    let report = run(Path::new(env!("CARGO_BIN_EXE_sandgap")), &setup(hollows, defect)).expect("figures");
    println!("{report}");
    report
}

/// The counts per proxy that exceed their bounds in a run.
fn exceeded(report: &Report) -> Vec<String> {
    let bounds = [
        ("copies of a question", report.copies_a_question, 1.0),
        ("rulebooks asked for at a change", report.fetches_a_change, FETCHES),
        ("rulebooks received at a change", report.books_a_change, FETCHES),
        ("notices of another state at a change", report.news_a_change, NEWS),
        ("entries of the log at a change", report.entries_a_change, ENTRIES),
    ];
    let over = bounds.iter().filter(|(_, seen, most)| *seen > most * (1.0 + SLACK));
    over.map(|(what, seen, most)| format!("{what}: {seen:.2}, {most} at most")).collect()
}

/// One from the voter that announces the change first; some proxies hear of it from a second one before the first has
/// answered.
const FETCHES: f64 = 2.0;
/// One for the proposal and one when it comes into force, each from one voter.
const NEWS: f64 = 2.0;
/// The same as entries of the log, and the proxies' reports between them.
const ENTRIES: f64 = 4.0;

fn traffic_per_proxy_at_a_change_does_not_grow_with_the_fleet() {
    let reports = SIZES.map(|size| run_scale(size, None));
    for report in &reports {
        assert!(exceeded(report).is_empty(), "{} proxies: {:?}", report.proxies, exceeded(report));
        assert_eq!(report.changes.iter().map(|c| c.after_us.len()).min(), Some(report.proxies));
    }
    assert_eq!(reports[0].book_bytes, reports[1].book_bytes, "a rulebook is the same for any fleet");
}

fn a_message_to_all_instead_of_one_is_detected() {
    assert!(
        exceeded(&run_scale(SIZES[0], Some(Defect::AskEveryVoter))).iter().any(|w| w.starts_with("copies"))
    );
    assert!(
        exceeded(&run_scale(SIZES[0], Some(Defect::FetchEverywhere)))
            .iter()
            .any(|w| w.starts_with("rulebooks asked"))
    );
}

/// A setup that needs more links than a process may have descriptors is refused before the run, not in the middle of it.
fn a_setup_with_too_many_links_per_process_is_refused_at_once() {
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
            "traffic_per_proxy_at_a_change_does_not_grow_with_the_fleet",
            traffic_per_proxy_at_a_change_does_not_grow_with_the_fleet,
        ),
        trial(
            "a_setup_with_too_many_links_per_process_is_refused_at_once",
            a_setup_with_too_many_links_per_process_is_refused_at_once,
        ),
        trial("a_message_to_all_instead_of_one_is_detected", a_message_to_all_instead_of_one_is_detected),
    ];
    libtest_mimic::run(&Arguments::from_args(), trials).exit_code()
}
