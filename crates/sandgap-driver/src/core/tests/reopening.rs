//! Tests of lists that may be outdated (uncertain): which closed backends they reopen, and when.

use super::*;
use crate::REOPEN_AFTER;

pub(super) fn id(name: &str) -> BackendId {
    BackendId(number_of(name))
}

/// Whether a backend accepts requests.
pub(super) fn is_open(core: &Core<ScriptedPolicy, RecordedEffects>, name: &str) -> bool {
    core.endpoints.get(&id(name)).is_some_and(|e| e.is_open())
}

pub(super) fn host_started_at(name: &str, port: u16, health: &str, start_time_ms: f64) -> Host {
    Host { start_time_ms, ..host(name, port, health) }
}

#[test]
fn an_uncertain_list_closes_at_once_and_reopens_after_a_delay() {
    let mut core = core();
    core.uncertain_list(at(1000), Scope::Full, vec![host("a", 1, "draining"), host("b", 2, "up")]);
    assert!(!is_open(&core, "a") && is_open(&core, "b"));
    core.uncertain_list(at(2000), Scope::Full, vec![host("a", 1, "up")]);
    assert!(!is_open(&core, "a") && !is_open(&core, "b"), "b is not listed");
    let effective_at = at(1000) + REOPEN_AFTER;
    assert!(core.next_due().is_some_and(|due| due <= effective_at));
    core.run_due_timers(effective_at - at(1));
    assert!(!is_open(&core, "a"));
    core.run_due_timers(effective_at);
    assert!(is_open(&core, "a"), "no discovery service lags behind for longer than this");
    assert!(!is_open(&core, "b"));
}

#[test]
fn a_newer_list_reopens_at_once_and_another_closing_restarts_the_delay() {
    let mut core = core();
    core.list(at(1000), Scope::Delta, vec![host("a", 1, "draining"), host("b", 2, "removed")]);
    core.uncertain_list(at(2000), Scope::Delta, vec![host("a", 1, "up"), host("b", 2, "up")]);
    assert!(!is_open(&core, "a") && !is_open(&core, "b"));
    core.list(at(3000), Scope::Delta, vec![host("a", 1, "up"), host("b", 2, "draining")]);
    assert!(is_open(&core, "a"));
    core.run_due_timers(at(2000) + REOPEN_AFTER);
    assert!(!is_open(&core, "b"), "it was closed again meanwhile");
    core.uncertain_list(at(4000) + REOPEN_AFTER, Scope::Delta, vec![host("b", 2, "up")]);
    assert!(is_open(&core, "b"), "the closing is no longer recent");
}

#[test]
fn a_new_process_is_opened_at_once_and_an_entry_of_an_older_one_does_not_replace_it() {
    let mut core = core();
    core.list(at(1000), Scope::Delta, vec![host_started_at("a", 1, "draining", 100.0)]);
    core.uncertain_list(at(2000), Scope::Delta, vec![host_started_at("a", 3, "up", 200.0)]);
    assert!(is_open(&core, "a"));
    core.uncertain_list(at(3000), Scope::Full, vec![host_started_at("a", 1, "up", 100.0)]);
    assert_eq!(core.address(id("a")).map(|a| a.port()), Some(3));
    assert!(is_open(&core, "a"));
}

#[test]
fn a_closing_without_a_start_time_applies_to_the_known_process() {
    let mut core = core();
    core.list(at(1000), Scope::Delta, vec![host_started_at("a", 1, "up", 100.0)]);
    core.list(at(2000), Scope::Delta, vec![host_started_at("a", 1, "removed", 0.0)]);
    core.uncertain_list(at(3000), Scope::Delta, vec![host_started_at("a", 1, "up", 100.0)]);
    assert!(!is_open(&core, "a"));
}

/// Expected state of a backend.
#[derive(Clone, Copy, Default)]
struct Expected {
    closed_at: Option<Time>,
    /// An uncertain list has said since the closing that the backend accepts requests.
    opened_by_uncertain: bool,
    open: bool,
}

#[test]
fn with_random_lists_a_closed_backend_reopens_only_by_a_newer_list_or_after_the_delay() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut core = core();
        let mut expected = [Expected { open: true, ..Expected::default() }; 2];
        let mut now = at(0);
        for step in 0..60 {
            now += at(rng.u64(1..2500));
            core.run_due_timers(now);
            for state in &mut expected {
                let delay_is_over = state.closed_at.is_some_and(|closed| now >= closed + REOPEN_AFTER);
                if delay_is_over && state.opened_by_uncertain {
                    *state = Expected { open: true, ..Expected::default() };
                }
            }
            let (which, up, certain) = (rng.usize(0..2), rng.bool(), rng.bool());
            let entry = host(["a", "b"][which], which as u16 + 1, if up { "up" } else { "draining" });
            let state = &mut expected[which];
            let closed_recently = state.closed_at.is_some_and(|closed| now < closed + REOPEN_AFTER);
            match (up, certain) {
                (false, _) => *state = Expected { closed_at: Some(now), ..Expected::default() },
                (true, false) if closed_recently => state.opened_by_uncertain = true,
                (true, _) => *state = Expected { open: true, ..Expected::default() },
            }
            match certain {
                true => core.list(now, Scope::Delta, vec![entry]),
                false => core.uncertain_list(now, Scope::Delta, vec![entry]),
            }
            for (n, name) in ["a", "b"].into_iter().enumerate() {
                assert_eq!(is_open(&core, name), expected[n].open, "seed {seed}, step {step}, {name}");
            }
        }
    }
}
