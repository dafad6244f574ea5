//! Lists that may be older than what is known.

use super::*;
use crate::REOPEN_AFTER;

fn id(name: &str) -> BackendId {
    BackendId(number_of(name))
}

/// Whether a backend takes work.
fn is_open(core: &Core<Script, Seen>, name: &str) -> bool {
    core.endpoints.get(&id(name)).is_some_and(|e| e.is_open())
}

fn born(name: &str, port: u16, health: &str, born_ms: f64) -> Host {
    Host { born_ms, ..host(name, port, health) }
}

#[test]
fn what_an_uncertain_list_closes_is_closed_at_once_and_what_it_opens_waits() {
    let mut core = core();
    core.uncertain_list(at(1000), Scope::Full, vec![host("a", 1, "draining"), host("b", 2, "up")]);
    assert!(!is_open(&core, "a") && is_open(&core, "b"));
    core.uncertain_list(at(2000), Scope::Full, vec![host("a", 1, "up")]);
    assert!(!is_open(&core, "a") && !is_open(&core, "b"), "b is not listed");
    let counts_at = at(1000) + REOPEN_AFTER;
    assert!(core.next_due().is_some_and(|due| due <= counts_at));
    core.fire(counts_at - at(1));
    assert!(!is_open(&core, "a"));
    core.fire(counts_at);
    assert!(is_open(&core, "a"), "no service is behind for so long");
    assert!(!is_open(&core, "b"));
}

#[test]
fn a_newer_list_opens_at_once_and_a_further_closing_waits_anew() {
    let mut core = core();
    core.list(at(1000), Scope::Delta, vec![host("a", 1, "draining"), host("b", 2, "removed")]);
    core.uncertain_list(at(2000), Scope::Delta, vec![host("a", 1, "up"), host("b", 2, "up")]);
    assert!(!is_open(&core, "a") && !is_open(&core, "b"));
    core.list(at(3000), Scope::Delta, vec![host("a", 1, "up"), host("b", 2, "draining")]);
    assert!(is_open(&core, "a"));
    core.fire(at(2000) + REOPEN_AFTER);
    assert!(!is_open(&core, "b"), "it was told to drain again since");
    core.uncertain_list(at(4000) + REOPEN_AFTER, Scope::Delta, vec![host("b", 2, "up")]);
    assert!(is_open(&core, "b"), "that was long ago");
}

#[test]
fn a_new_process_is_opened_and_an_older_one_takes_nothing_from_it() {
    let mut core = core();
    core.list(at(1000), Scope::Delta, vec![born("a", 1, "draining", 100.0)]);
    core.uncertain_list(at(2000), Scope::Delta, vec![born("a", 3, "up", 200.0)]);
    assert!(is_open(&core, "a"));
    core.uncertain_list(at(3000), Scope::Full, vec![born("a", 1, "up", 100.0)]);
    assert_eq!(core.address(id("a")).map(|a| a.port()), Some(3));
    assert!(is_open(&core, "a"));
}

#[test]
fn a_line_that_leaves_out_the_start_makes_no_new_process_of_the_old_one() {
    let mut core = core();
    core.list(at(1000), Scope::Delta, vec![born("a", 1, "up", 100.0)]);
    core.list(at(2000), Scope::Delta, vec![born("a", 1, "removed", 0.0)]);
    core.uncertain_list(at(3000), Scope::Delta, vec![born("a", 1, "up", 100.0)]);
    assert!(!is_open(&core, "a"));
}

/// What a test knows of one backend.
#[derive(Clone, Copy, Default)]
struct Told {
    closed_at: Option<Time>,
    /// The last word of an uncertain list since, if that was that it takes work.
    opened_by_uncertain: bool,
    open: bool,
}

#[test]
fn under_any_lists_a_closed_backend_is_opened_by_a_newer_list_or_after_the_span() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut core = core();
        let mut told = [Told { open: true, ..Told::default() }; 2];
        let mut now = at(0);
        for step in 0..60 {
            now += at(rng.u64(1..2500));
            core.fire(now);
            for told in &mut told {
                let is_over = told.closed_at.is_some_and(|closed| now >= closed + REOPEN_AFTER);
                if is_over && told.opened_by_uncertain {
                    *told = Told { open: true, ..Told::default() };
                }
            }
            let (which, up, certain) = (rng.usize(0..2), rng.bool(), rng.bool());
            let line = host(["a", "b"][which], which as u16 + 1, if up { "up" } else { "draining" });
            let t = &mut told[which];
            let of_late = t.closed_at.is_some_and(|closed| now < closed + REOPEN_AFTER);
            match (up, certain) {
                (false, _) => *t = Told { closed_at: Some(now), ..Told::default() },
                (true, false) if of_late => t.opened_by_uncertain = true,
                (true, _) => *t = Told { open: true, ..Told::default() },
            }
            match certain {
                true => core.list(now, Scope::Delta, vec![line]),
                false => core.uncertain_list(now, Scope::Delta, vec![line]),
            }
            for (n, name) in ["a", "b"].into_iter().enumerate() {
                assert_eq!(is_open(&core, name), told[n].open, "seed {seed}, step {step}, {name}");
            }
        }
    }
}
