//! Tests of backends drained by hand: the list and the drains are two states, and what applies follows from both,
//! whichever came first.

use super::reopening::{host_started_at, id, is_open};
use super::*;
use crate::REOPEN_AFTER;

type TestCore = Core<ScriptedPolicy, RecordedEffects>;

fn empty_core() -> TestCore {
    Core::new(ScriptedPolicy::default(), RecordedEffects::default(), Names::default(), UNIX_ZERO)
}

fn drain(core: &mut TestCore, now: Time, names: &[&str]) {
    core.set_manual_drains(now, names.iter().copied());
}

/// The state of a backend as the policy was last told; `None` if it has been told none.
fn told(core: &TestCore, name: &str) -> Option<State> {
    let lists = core.policy.events.iter().filter_map(|event| match event {
        Event::List { entries, .. } => Some(entries),
        _ => None,
    });
    lists.flatten().rfind(|backend| backend.id == id(name)).map(|backend| backend.state)
}

/// Checks that endpoint and policy agree on whether a backend accepts requests.
fn assert_open(core: &TestCore, name: &str, open: bool) {
    assert_eq!(is_open(core, name), open, "the endpoint of {name}");
    assert_eq!(told(core, name) == Some(State::Up), open, "the policy's state of {name}");
}

/// Guards against drains that take effect only where a list comes after them (issue 85).
#[test]
fn a_drain_holds_whether_the_first_list_comes_before_or_after_it() {
    let mut listed_first = core();
    drain(&mut listed_first, at(1), &["a"]);
    assert_open(&listed_first, "a", false);
    let mut drained_first = empty_core();
    drain(&mut drained_first, at(0), &["a"]);
    assert!(drained_first.policy.events.is_empty(), "there is nothing to tell");
    drained_first.list(at(1), Scope::Full, vec![host("a", 1, "up"), host("b", 2, "up")]);
    for core in [&mut listed_first, &mut drained_first] {
        assert_open(core, "a", false);
        assert_open(core, "b", true);
        drain(core, at(2), &[]);
        assert_open(core, "a", true);
    }
}

/// Guards against a drain that is lost with the list that it came with.
#[test]
fn a_drain_holds_on_the_list_of_the_previous_process_and_on_discoverys_list_after_it() {
    let mut core = empty_core();
    core.list(at(0), Scope::Cached, vec![]);
    drain(&mut core, at(1), &["a"]);
    core.list(at(2), Scope::Cached, vec![host("a", 1, "up")]);
    assert_open(&core, "a", false);
    core.list(at(3), Scope::Full, vec![host("a", 1, "up")]);
    assert_open(&core, "a", false);
    core.uncertain_list(at(4), Scope::Full, vec![host("a", 1, "up")]);
    assert_open(&core, "a", false);
}

/// Guards against a list that undoes a drain by hand.
#[test]
fn a_list_update_never_ends_a_manual_drain() {
    let mut core = core();
    drain(&mut core, at(1), &["a"]);
    assert_open(&core, "a", false);
    core.list(at(2), Scope::Delta, vec![host("a", 1, "up"), host("b", 2, "draining")]);
    assert_open(&core, "a", false);
    assert_open(&core, "b", false);
    drain(&mut core, at(3), &[]);
    assert_open(&core, "a", true);
    assert_open(&core, "b", false);
}

/// Guards against the end of a drain that brings back what the list has dropped.
#[test]
fn a_removed_backend_is_not_restored() {
    for removal in [(Scope::Delta, vec![host("a", 1, "removed")]), (Scope::Full, vec![host("b", 2, "up")])] {
        let mut core = core();
        drain(&mut core, at(1), &["a"]);
        core.list(at(2), removal.0, removal.1);
        assert!(!core.endpoints.contains_key(&id("a")));
        let events = core.policy.events.len();
        drain(&mut core, at(3), &[]);
        assert_eq!(core.policy.events.len(), events, "there is nothing to tell");
        assert!(!is_open(&core, "a"));
        drain(&mut core, at(4), &["a"]);
        core.list(at(5), Scope::Delta, vec![host("a", 7, "up")]);
        assert_open(&core, "a", false);
        drain(&mut core, at(6), &[]);
        assert_open(&core, "a", true);
        assert_eq!(core.address(id("a")).map(|a| a.port()), Some(7));
    }
}

/// Guards against a drain that ends with the process that it was meant for, or with its address.
#[test]
fn a_drain_holds_for_a_new_process_and_a_new_address_of_the_backend() {
    let mut core = core();
    drain(&mut core, at(1), &["a"]);
    core.list(at(2), Scope::Delta, vec![host_started_at("a", 1, "up", 100.0)]);
    assert_open(&core, "a", false);
    core.uncertain_list(at(3), Scope::Delta, vec![host_started_at("a", 5, "up", 200.0)]);
    assert_open(&core, "a", false);
    drain(&mut core, at(4), &[]);
    assert_open(&core, "a", true);
    assert_eq!(core.address(id("a")).map(|a| a.port()), Some(5));
}

/// Guards against the end of a drain that opens a backend which discovery drains.
#[test]
fn the_end_of_a_drain_opens_nothing_that_discovery_drains() {
    let mut core = core();
    drain(&mut core, at(1), &["a"]);
    core.list(at(2), Scope::Delta, vec![host("a", 1, "draining")]);
    // It may be older than the draining, so it has to wait.
    core.uncertain_list(at(3), Scope::Full, vec![host("a", 1, "up"), host("b", 2, "up")]);
    drain(&mut core, at(4), &[]);
    assert_open(&core, "a", false);
    core.run_due_timers(at(2) + REOPEN_AFTER);
    assert_open(&core, "a", true);
}

/// Guards against a deferred reopening that undoes a drain by hand, also after a drain that was taken back in between.
#[test]
fn a_deferred_reopening_opens_nothing_that_is_drained_by_hand() {
    for taken_back in [false, true] {
        let mut core = core();
        core.list(at(1), Scope::Delta, vec![host("a", 1, "draining")]);
        core.uncertain_list(at(2), Scope::Delta, vec![host("a", 1, "up")]);
        drain(&mut core, at(3), &["a"]);
        if taken_back {
            drain(&mut core, at(4), &[]);
            assert_open(&core, "a", false);
            drain(&mut core, at(5), &["a"]);
        }
        core.run_due_timers(at(1) + REOPEN_AFTER);
        assert_open(&core, "a", false);
        drain(&mut core, at(2) + REOPEN_AFTER, &[]);
        assert_open(&core, "a", true);
    }
}

/// Guards against an entry of an older process that is applied in the state of the drain, which then would outlast it.
#[test]
fn an_entry_of_an_older_process_does_not_turn_a_manual_drain_into_one_of_the_list() {
    let mut core = empty_core();
    core.list(at(0), Scope::Full, vec![host_started_at("a", 3, "up", 200.0)]);
    drain(&mut core, at(1), &["a"]);
    core.uncertain_list(at(2), Scope::Full, vec![host_started_at("a", 1, "up", 100.0)]);
    assert_open(&core, "a", false);
    drain(&mut core, at(3), &[]);
    assert_open(&core, "a", true);
    assert_eq!(core.address(id("a")).map(|a| a.port()), Some(3));
}

/// Guards against the end of a drain that opens a backend whose address another one has taken.
#[test]
fn the_end_of_a_drain_does_not_open_a_displaced_backend() {
    let mut core = empty_core();
    core.list(at(0), Scope::Full, vec![host_started_at("a", 1, "up", 100.0)]);
    drain(&mut core, at(1), &["a"]);
    core.list(at(2), Scope::Delta, vec![host_started_at("c", 1, "up", 200.0)]);
    drain(&mut core, at(3), &[]);
    assert_open(&core, "a", false);
    assert_open(&core, "c", true);
}

/// Guards against a bound below what the list itself may hold: 20,000 entries were remembered, and no drain beyond.
#[test]
fn the_last_of_many_backends_can_be_drained() {
    let names: Vec<String> = (0..30_000).map(|n| format!("s-{n}")).collect();
    let hosts = names.iter().map(|name| host(name, 1, "up")).collect();
    let mut core = empty_core();
    core.list(at(0), Scope::Full, hosts);
    drain(&mut core, at(1), &["s-29999"]);
    assert_open(&core, "s-29999", false);
    assert_open(&core, "s-29998", true);
}

/// Guards against drains that count as news from discovery, whose start times it bounds.
#[test]
fn a_drain_is_no_news_from_discovery() {
    let mut core = empty_core();
    core.list(at(0), Scope::Full, vec![host("a", 1, "up")]);
    drain(&mut core, at(50_000), &["a"]);
    let started_at_ms = 10_000.0;
    core.list(at(60_000), Scope::Delta, vec![host_started_at("c", 3, "up", UNIX_ZERO + started_at_ms)]);
    assert_eq!(since(&core, "c"), Some(started_at_ms));
}

/// A step of a drawn course of events.
fn draw_step(rng: &mut fastrand::Rng, core: &mut TestCore, now: Time) {
    let names = ["a", "b", "c"];
    let mut hosts = Vec::new();
    for (n, name) in names.iter().enumerate() {
        if rng.bool() {
            continue;
        }
        let health = ["up", "up", "draining", "removed"][rng.usize(..4)];
        hosts.push(host_started_at(name, 1 + n as u16, health, f64::from(rng.u32(..3))));
    }
    let scope = [Scope::Full, Scope::Delta, Scope::Cached][rng.usize(..3)];
    match rng.u32(..4) {
        0 => core.list(now, scope, hosts),
        1 => core.uncertain_list(now, scope, hosts),
        2 => core.run_due_timers(now),
        _ => drain(core, now, &names.into_iter().filter(|_| rng.bool()).collect::<Vec<_>>()),
    }
}

/// Draws the order of lists, uncertain lists, reopenings and drains. What applies is at each step what a core without drains
/// has, less what is drained, and the drains' place in the order doesn't matter.
#[test]
fn what_applies_is_the_list_less_the_drains_in_any_order() {
    for seed in 0..2_000 {
        let (mut core, mut undrained) = (empty_core(), empty_core());
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut now = at(0);
        for step in 0..40 {
            now += at(rng.u64(..2_000));
            let mut same = rng.clone();
            draw_step(&mut rng, &mut core, now);
            draw_step(&mut same, &mut undrained, now);
            undrained.set_manual_drains(now, []);
            for name in ["a", "b", "c"] {
                let is_drained = core.manual_drains.contains(&id(name));
                let expected = is_open(&undrained, name) && !is_drained;
                assert_eq!(is_open(&core, name), expected, "{name}, seed {seed}, step {step}");
                let told_up = told(&core, name) == Some(State::Up);
                let is_listed = core.endpoints.contains_key(&id(name));
                assert_eq!(told_up && is_listed, expected, "{name} at the policy, seed {seed}, step {step}");
            }
        }
    }
}
