use std::time::Duration;

use super::*;

const fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn whole(version: u64, call_began: u64) -> ReceivedList {
    let (whole, empty, after_gap) = (true, false, false);
    ReceivedList { version, whole, empty, after_gap, call_began: at(call_began) }
}

fn changes(version: u64) -> ReceivedList {
    ReceivedList { whole: false, ..whole(version, 0) }
}

/// An address that delivered version 41 at 100 ms on a call that began at 0.
fn order_at_version_41() -> ListOrder {
    let mut order = ListOrder::new(false);
    assert_eq!(order.compare(at(100), whole(41, 0)), Verdict::Newer);
    order
}

const UNCERTAIN: Verdict = Verdict::Uncertain { refetch: false };
const ASK_AGAIN: Verdict = Verdict::Uncertain { refetch: true };

#[test]
fn rising_versions_are_newer() {
    let mut order = order_at_version_41();
    assert_eq!(order.compare(at(200), changes(43)), Verdict::Newer);
    assert_eq!(order.compare(at(300), whole(43, 250)), Verdict::Newer);
    assert_eq!(order.resume_version(), Some(43));
    assert_eq!(order.compare(at(400), ReceivedList { empty: true, ..changes(43) }), Verdict::Unchanged);
    assert_eq!(
        order.compare(at(500), changes(43)),
        UNCERTAIN,
        "changes of one version may come in several lines"
    );
}

#[test]
fn a_service_that_restarted_its_versions_is_accepted_on_a_later_call() {
    let mut order = order_at_version_41();
    assert_eq!(order.compare(at(300), whole(1, 200)), UNCERTAIN);
    assert_eq!(order.resume_version(), Some(1));
    assert_eq!(order.compare(at(400), changes(2)), Verdict::Newer);
}

#[test]
fn a_lower_version_on_the_same_or_an_earlier_call_is_fetched_again() {
    let mut order = order_at_version_41();
    assert_eq!(order.compare(at(200), whole(1, 0)), ASK_AGAIN);
    assert_eq!(order.compare(at(200), changes(2)), ASK_AGAIN);
    assert_eq!(order.compare(at(200), ReceivedList { empty: true, ..changes(2) }), ASK_AGAIN);
    assert_eq!(order.resume_version(), Some(41), "the version from which a watch resumes is unchanged");
    assert_eq!(order.compare(at(300), whole(2, 250)), UNCERTAIN, "the answer to the new fetch");
}

#[test]
fn a_late_answer_does_not_undo_changes_after_a_gap() {
    let mut order = order_at_version_41();
    let drain = ReceivedList { after_gap: true, ..changes(43) };
    assert_eq!(order.compare(at(200), drain), Verdict::Newer);
    assert_eq!(order.resume_version(), Some(41), "the watch resumes before the gap");
    assert_eq!(order.compare(at(300), whole(42, 150)), UNCERTAIN);
    assert_eq!(order.compare(at(310), changes(43)), UNCERTAIN, "repeated by the resumed watch");
    assert_eq!(order.resume_version(), Some(43));
    assert_eq!(order.compare(at(400), changes(44)), Verdict::Newer);
}

#[test]
fn the_first_list_of_another_address_is_uncertain_and_changes_need_a_list() {
    let mut order = ListOrder::new(true);
    assert_eq!(order.compare(at(100), changes(3)), Verdict::MissingBase);
    assert_eq!(order.compare(at(100), whole(3, 50)), UNCERTAIN);
    assert_eq!(order.compare(at(200), changes(4)), Verdict::Newer);
    order.forget();
    assert_eq!(order.compare(at(300), changes(5)), Verdict::MissingBase);
}
