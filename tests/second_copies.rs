//! How many attempts of a request may be in flight at once, and what becomes of a paused answer beside which none may be.
mod common;
use common::*;
use wharfhitch::*;

/// Usual latency of a request, ms.
const LATENCY_MS: Millis = 20.0;
/// How long clients wait, ms.
const BUDGET_MS: Millis = 2000.0;

/// Servers with four slots each, whose latencies are known.
fn harness(servers: u64, second_copies: bool) -> Harness {
    let mut settings = settings(1);
    settings.limits.second_copies = second_copies;
    harness_with(servers, settings)
}

fn harness_with(servers: u64, settings: Settings) -> Harness {
    let servers = (1..=servers).map(|id| Backend { rating: 4.0, ..server(id) }).collect();
    let mut harness = Harness::new(settings, servers);
    harness.train(100, 60, |_| LATENCY_MS);
    harness
}

fn paused(id: u64, attempt: u32) -> Event {
    Event::Paused { request: RequestId(id), attempt }
}

fn given_up(actions: &[Action]) -> Vec<(u64, u32)> {
    let of = |a: &Action| match a {
        Action::GiveUpPaused { request, attempt } => Some((request.0, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// Sends request 1 of a class whose latency is known; its answer pauses after 0.5 s. Returns the number of sends then.
fn pause(harness: &mut Harness, class: usize) -> usize {
    for id in 5000..5100 {
        harness.give(request(id, class, BUDGET_MS));
        harness.pass(LATENCY_MS);
        harness.give(ended(id, 0, LATENCY_MS, Outcome::Served));
    }
    assert_eq!(sends(&harness.give(request(1, class, BUDGET_MS))).len(), 1);
    harness.pass(500.0);
    sends(&harness.give(paused(1, 0))).len()
}

#[test]
fn a_paused_answer_gets_a_second_attempt_only_where_two_are_permitted() {
    for class in [0, 2] {
        assert_eq!(pause(&mut harness(4, false), class), 0, "class {class}");
        assert_eq!(pause(&mut harness(4, true), class), 1, "class {class}");
    }
}

#[test]
fn two_paused_answers_get_no_third_attempt_where_two_are_permitted() {
    let mut harness = harness(6, true);
    assert_eq!(pause(&mut harness, 0), 1);
    harness.pass(500.0);
    assert_eq!(sends(&harness.give(paused(1, 1))), []);
    // The end of one makes room for another.
    assert_eq!(sends(&harness.give(ended(1, 1, 500.0, Outcome::Reset))).len(), 1);
    harness.pass(300.0);
    assert_eq!(sends(&harness.give(paused(1, 2))), []);
}

#[test]
fn a_paused_answer_is_given_up_only_when_another_one_can_just_come_in_time() {
    for (class, replaced) in [(0, true), (1, false), (2, true)] {
        let mut harness = harness(4, false);
        assert_eq!(pause(&mut harness, class), 0);
        assert_eq!(given_up(&harness.pass(1200.0)), [], "class {class}: it may go on until 1.7 s");
        let late = harness.pass(200.0);
        assert_eq!(!given_up(&late).is_empty(), replaced, "class {class}: {late:?}");
        if replaced {
            assert!(sends(&late).is_empty(), "not before the first has ended");
            let after = harness.give(ended(1, 0, 1900.0, Outcome::Cancelled));
            assert_eq!(sends(&after).len(), 1, "class {class}: {after:?}");
            let past_aim = harness.pass(30.0);
            let is_final = |a: &Action| matches!(a, Action::Refuse { .. } | Action::Fail(_));
            assert!(!past_aim.iter().any(is_final), "it is awaited past its aim: {past_aim:?}");
        }
    }
}

#[test]
fn a_paused_answer_that_nothing_can_replace_is_not_given_up() {
    let no_cancel = {
        let mut settings = settings(1);
        (settings.limits.second_copies, settings.limits.may_cancel) = (false, false);
        harness_with(4, settings)
    };
    let one_attempt = {
        let mut settings = settings(1);
        (settings.limits.second_copies, settings.limits.max_attempts) = (false, 1);
        harness_with(4, settings)
    };
    for (name, mut harness) in
        [("no other server", harness(1, false)), ("no cancel", no_cancel), ("one", one_attempt)]
    {
        assert_eq!(pause(&mut harness, 0), 0);
        assert_eq!(given_up(&harness.pass(1450.0)), [], "{name}");
    }
}

#[test]
fn a_request_keeps_the_permission_under_which_it_arrived() {
    for second_copies in [false, true] {
        let mut harness = harness(4, second_copies);
        let mut settings = settings(1);
        settings.limits.second_copies = !second_copies;
        settings.classes.push(settings.classes[0].clone());
        assert_eq!(sends(&harness.give(request(1, 0, BUDGET_MS))).len(), 1);
        let change = Change {
            settings,
            live: vec![false, true, true, true],
            new_classes: vec![(ClassId(3), Some(ClassId(0)))],
        };
        harness.give(Event::Settings(Box::new(change)));
        assert_eq!(sends(&harness.give(request(2, 3, BUDGET_MS))).len(), 1);
        harness.pass(500.0);
        assert_eq!(sends(&harness.give(paused(1, 0))).len(), usize::from(second_copies));
        assert_eq!(sends(&harness.give(paused(2, 0))).len(), usize::from(!second_copies));
    }
}
