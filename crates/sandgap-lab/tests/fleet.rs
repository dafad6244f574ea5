//! Tests of whole simulated fleets: reproducible output, accounting that adds up, and extreme cases.

use std::path::Path;

use sandgap_lab::file::{Experiment, parse};
use sandgap_lab::fleet::{Plan, RunError, run};
use sandgap_lab::hunt::{mixed, story};
use sandgap_lab::measure::Outcome;
use sandgap_lab::rivals::PolicyKind;
use sandgap_lab::run::{MEASURES, broken, run_points};
use sandgap_lab::theory::mmm_delay;
use sandgap_lab::{report, stats};

const ALL: [PolicyKind; 8] = [
    PolicyKind::Sandgap,
    PolicyKind::Random,
    PolicyKind::RoundRobin,
    PolicyKind::LeastRequests,
    PolicyKind::PowerOfTwo,
    PolicyKind::PeakEwma,
    PolicyKind::JoinIdleQueue,
    PolicyKind::Oracle,
];

fn plan(e: &Experiment, policy: PolicyKind, seed: u64) -> Plan {
    Plan::draw(e, policy, seed, Path::new(".")).expect("the plan can be drawn")
}

fn once(e: &Experiment, policy: PolicyKind, seed: u64) -> Outcome {
    run(&plan(e, policy, seed), false, None).expect("the run completes")
}

/// A small fleet; `head` is inserted after the first keys of its file, `more` is appended.
fn small(head: &str, more: &str) -> Experiment {
    let text = format!(
        "name = \"small\"\nseconds = 5\nwarm_seconds = 1\nrepetitions = 3\n{head}\n[[server]]\ncount = 4\n\
         build = {{ cores = 2 }}\n[[class]]\nname = \"page\"\neffect = \"safe\"\naim_ms = 300\ndeadline_ms = 900\n\
         work = {{ law = \"exponential\", mean_ms = 20 }}\n{more}\n"
    );
    parse(&text).unwrap_or_else(|p| panic!("{p:?}")).remove(0).experiment
}

#[test]
fn a_seed_gives_the_same_trace_each_time_and_another_seed_gives_another() {
    let e = mixed();
    for policy in ALL {
        let trace = |seed| story(&plan(&e, policy, seed), None).expect("the run completes");
        assert!(trace(5) == trace(5), "{policy:?} with seed 5 gave two traces");
        assert!(trace(5) != trace(6));
    }
}

#[test]
fn results_do_not_depend_on_the_number_of_threads() {
    let sweep = "[load]\nkind = \"poisson\"\nrate = 250\n[[sweep]]\nkey = \"load.rate\"\nvalues = [100.0, 250.0, 600.0]\n";
    let text = format!(
        "name = \"t\"\nseconds = 3\nwarm_seconds = 0\nrepetitions = 4\npolicies = [\"sandgap\", \"oracle\"]\n[[server]]\n\
         count = 4\n[[class]]\nname = \"p\"\neffect = \"unsafe\"\naim_ms = 300\ndeadline_ms = 900\n\
         work = {{ law = \"exponential\", mean_ms = 20 }}\n{sweep}"
    );
    let points = parse(&text).expect("a valid file");
    let written = |threads| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        let (results, _) =
            pool.install(|| run_points(&points, Path::new("."), false, false)).expect("played");
        let folder = std::env::temp_dir().join(format!("sandgap-lab-{}-{threads}", std::process::id()));
        report::write(&results, None, &folder).expect("written");
        let read = |f: &str| std::fs::read(folder.join(f)).expect("the file was written");
        let all = ["runs.csv", "summary.csv", "results.json", "report.html"].map(read);
        let _ = std::fs::remove_dir_all(&folder);
        all
    };
    let one = written(1);
    assert!(one == written(4), "the written files depend on the number of threads");
    let page = String::from_utf8_lossy(&one[3]).into_owned();
    assert!(page.contains("<svg") && page.contains("<table>") && !page.contains("http://localhost"));
}

#[test]
fn every_task_ends_once_and_the_rules_hold_under_every_policy() {
    for policy in ALL {
        for seed in 0..6 {
            let o = once(&mixed(), policy, seed);
            let a = &o.measures.all;
            let ends = a.served + a.refused + a.failed + a.left + a.lost + a.untaken;
            assert_eq!(a.asked, ends, "{policy:?} {seed}");
            assert!(
                o.violations.is_empty() && o.verdict.incomplete.is_empty(),
                "{policy:?} {seed}: {}",
                o.verdict
            );
            // Rivals don't know about cold servers; the core enforces all other rules for them too.
            let cold = usize::try_from(o.measures.fallen).expect("few");
            assert!(broken(&o.verdict) <= cold, "{policy:?} {seed}: {}", o.verdict);
            assert!(policy != PolicyKind::Sandgap || cold == 0);
        }
    }
}

#[test]
fn the_mean_delay_of_a_queue_agrees_with_erlang_c() {
    let head = "policies = [\"random\"]";
    let mut e = small(head, "[load]\nkind = \"poisson\"\nrate = 160\n");
    e.servers[0].count = 1;
    (e.servers[0].build.cores, e.servers[0].build.queue) = (4, u32::MAX);
    (e.seconds, e.warm_seconds) = (400.0, 10.0);
    (e.classes[0].aim_ms, e.classes[0].deadline_ms) = (1e7, 1e7);
    let all: Vec<f64> = (0..8).map(|s| once(&e, PolicyKind::Random, s).measures.mean_ms() / 20.0).collect();
    let (got, want) = (stats::independent(&all), mmm_delay(4, 0.8));
    assert!((got.mean - want).abs() < 2.0 * got.half, "{got:?} for {want}");
}

#[test]
fn an_overloaded_run_ends_and_refuses_most_requests_without_losing_any() {
    let e = small("", "[load]\nkind = \"poisson\"\nrate = 4000\n");
    let o = once(&e, PolicyKind::Sandgap, 1);
    let a = &o.measures.all;
    assert!(a.refused > a.served && broken(&o.verdict) == 0 && a.lost == 0, "{a:?} {}", o.verdict);
}

#[test]
fn a_thousand_simultaneous_requests_all_end_and_most_are_served() {
    let e = small("", "[load]\nkind = \"replay\"\nfile = \"none.csv\"\n");
    let mut p = Plan {
        experiment: e.clone(),
        policy: PolicyKind::Sandgap,
        seed: 1,
        steps: Vec::new(),
        recorded: Vec::new(),
        keep: None,
    };
    p.recorded = vec![
        sandgap_lab::model::arrivals::Recorded {
            at_ms: 2000.0,
            class: Some("page".into()),
            tenant: None,
            work_ms: Some(1.0),
            timeout_ms: None,
        };
        1000
    ];
    let o = run(&p, false, None).expect("the run completes");
    assert_eq!((o.measures.all.asked, broken(&o.verdict)), (1000, 0));
    assert!(o.measures.all.served > 900, "{:?}", o.measures.all);
    p.recorded[0].class = Some("pag".into());
    assert_eq!(run(&p, false, None).err(), Some(RunError::Unknown("class", "pag".into())));
}

#[test]
fn users_of_a_closed_loop_wait_for_their_answers() {
    let load = "[load]\nkind = \"closed\"\nusers = 4\nthink = { law = \"constant\", mean_ms = 30 }\n";
    let o = once(&small("", load), PolicyKind::Sandgap, 1);
    // Four users, each of whom sends at most one request every 30 ms and about one every 50 ms on average.
    let asked = o.measures.all.asked as f64 / 5.0;
    assert!((60.0..100.0).contains(&asked), "{asked} a second");
}

#[test]
fn draws_of_one_component_do_not_change_those_of_another() {
    let load = "[load]\nkind = \"poisson\"\nrate = 100\n";
    let asked = |more: &str, policy| {
        let o = once(&small("", &format!("{load}{more}")), policy, 4);
        (o.measures.all.asked, o.measures.all.worth.to_bits())
    };
    let plain = asked("", PolicyKind::Sandgap);
    assert_eq!(
        plain,
        asked(
            "[network]\nservers = { law = \"exponential\", mean_ms = 3 }\nloss = 0.3\n",
            PolicyKind::Random
        )
    );
    assert_eq!(
        plain,
        asked("[[fault]]\nkind = \"errors\"\nat_s = 1\nfor_s = 3\nlevel = 0.5\n", PolicyKind::Oracle)
    );
}

#[test]
fn clients_that_retry_at_once_send_more_requests_than_those_that_wait() {
    let faults = "[[fault]]\nkind = \"hang\"\nat_s = 1\nfor_s = 3\npart = 1.0\n";
    let requests = |retry: &str| {
        let more =
            format!("[load]\nkind = \"poisson\"\nrate = 200\n[clients]\nretry = \"{retry}\"\n{faults}");
        once(&small("", &more), PolicyKind::Sandgap, 2).measures.requests
    };
    let (never, well, badly) = (requests("never"), requests("well"), requests("badly"));
    assert!(never < well && well < badly, "{never} {well} {badly}");
}

#[test]
fn compare_reports_differences_only_between_different_results() {
    let of = |rate: f64| {
        let e = small("policies = [\"sandgap\"]", &format!("[load]\nkind = \"poisson\"\nrate = {rate:?}\n"));
        let point = sandgap_lab::file::Point { set: Vec::new(), experiment: e };
        run_points(&[point], Path::new("."), false, false).expect("played").0
    };
    let (a, b) = (of(100.0), of(600.0));
    assert!(report::compare(&a, &a).starts_with("0 figures moved"), "{}", report::compare(&a, &a));
    assert!(report::compare(&a, &b).contains("goodput"), "{}", report::compare(&a, &b));
    assert_eq!(a.cells[0].estimates.len(), MEASURES.len());
}

#[test]
fn the_experiment_files_in_the_repository_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let mut count = 0;
    for file in std::fs::read_dir(folder).expect("the folder of experiments exists").flatten() {
        if file.path().extension().is_some_and(|e| e == "toml") {
            count += 1;
            sandgap_lab::file::read(&file.path()).unwrap_or_else(|e| panic!("{e}"));
        }
    }
    assert!(count >= 5, "{count}");
}
