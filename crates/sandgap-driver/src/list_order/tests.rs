use std::time::Duration;

use super::*;

const fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn whole(version: u64, call_began: u64) -> Arrived {
    let (whole, empty, behind_gap) = (true, false, false);
    Arrived { version, whole, empty, behind_gap, call_began: at(call_began) }
}

fn changes(version: u64) -> Arrived {
    Arrived { whole: false, ..whole(version, 0) }
}

/// An address that has told version 41 at 100 ms on a call that began at 0.
fn told() -> ListOrder {
    let mut order = ListOrder::new(false);
    assert_eq!(order.judge(at(100), whole(41, 0)), Verdict::Newer);
    order
}

const UNCERTAIN: Verdict = Verdict::Uncertain { ask_again: false };
const ASK_AGAIN: Verdict = Verdict::Uncertain { ask_again: true };

#[test]
fn versions_that_rise_are_in_order() {
    let mut order = told();
    assert_eq!(order.judge(at(200), changes(43)), Verdict::Newer);
    assert_eq!(order.judge(at(300), whole(43, 250)), Verdict::Newer);
    assert_eq!(order.held(), Some(43));
    assert_eq!(order.judge(at(400), Arrived { empty: true, ..changes(43) }), Verdict::Repeated);
    assert_eq!(order.judge(at(500), changes(43)), UNCERTAIN, "changes of one version on several lines");
}

#[test]
fn a_service_that_counts_anew_is_believed_on_a_call_that_began_later() {
    let mut order = told();
    assert_eq!(order.judge(at(300), whole(1, 200)), UNCERTAIN);
    assert_eq!(order.held(), Some(1));
    assert_eq!(order.judge(at(400), changes(2)), Verdict::Newer);
}

#[test]
fn on_the_same_call_or_an_earlier_one_a_lower_version_is_asked_about() {
    let mut order = told();
    assert_eq!(order.judge(at(200), whole(1, 0)), ASK_AGAIN);
    assert_eq!(order.judge(at(200), changes(2)), ASK_AGAIN);
    assert_eq!(order.judge(at(200), Arrived { empty: true, ..changes(2) }), ASK_AGAIN);
    assert_eq!(order.held(), Some(41), "a watch resumes as before");
    assert_eq!(order.judge(at(300), whole(2, 250)), UNCERTAIN, "the answer to that");
}

#[test]
fn a_late_answer_does_not_undo_what_came_behind_a_gap() {
    let mut order = told();
    let drain = Arrived { behind_gap: true, ..changes(43) };
    assert_eq!(order.judge(at(200), drain), Verdict::Newer);
    assert_eq!(order.held(), Some(41), "what the gap hid is asked for");
    assert_eq!(order.judge(at(300), whole(42, 150)), UNCERTAIN);
    assert_eq!(order.judge(at(310), changes(43)), UNCERTAIN, "told again by the watch that resumed");
    assert_eq!(order.held(), Some(43));
    assert_eq!(order.judge(at(400), changes(44)), Verdict::Newer);
}

#[test]
fn the_first_list_of_another_address_may_be_older_and_changes_need_a_list() {
    let mut order = ListOrder::new(true);
    assert_eq!(order.judge(at(100), changes(3)), Verdict::Baseless);
    assert_eq!(order.judge(at(100), whole(3, 50)), UNCERTAIN);
    assert_eq!(order.judge(at(200), changes(4)), Verdict::Newer);
    order.forget();
    assert_eq!(order.judge(at(300), changes(5)), Verdict::Baseless);
}
