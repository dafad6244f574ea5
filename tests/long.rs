//! Long requests and answers: what counts against a server, and what is retried.
mod common;
use common::*;
use wharfhitch::*;

/// Servers with one slot each.
fn harness(servers: u64) -> Harness {
    let one = |id| Backend { rating: 1.0, ..server(id) };
    Harness::new(settings(1), (1..=servers).map(one).collect())
}

fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

fn uploaded(id: u64, budget: Millis) -> Event {
    Event::Uploaded { request: RequestId(id), budget }
}

#[test]
fn an_upload_takes_no_slot_until_it_is_complete() {
    let mut harness = harness(1);
    assert_eq!(sends(&harness.give(request(1, 1, 900.0))), 1);
    assert_eq!(sends(&harness.give(request(2, 1, 900.0))), 0, "the slot is taken");
    assert_eq!(
        sends(&harness.give(Event::Uploading(RequestId(1)))),
        1,
        "and free while the first is uploaded"
    );
    assert!(harness.give(ended(2, 0, 5.0, Outcome::Served)).is_empty());
    // No timeout applies during the upload, however long it takes.
    assert!(harness.pass(60_000.0).is_empty());
    assert!(harness.give(uploaded(1, 900.0)).is_empty());
    assert_eq!(sends(&harness.give(request(3, 1, 900.0))), 0, "the server is at work");
    assert_eq!(sends(&harness.give(ended(1, 0, 20.0, Outcome::Served))), 1);
}

#[test]
fn a_partly_sent_request_is_answered_at_once_and_not_sent_again() {
    let mut harness = harness(2);
    assert_eq!(sends(&harness.give(request(1, 1, 900.0))), 1);
    harness.give(Event::Uploading(RequestId(1)));
    harness.pass(5000.0);
    // Its start is still buffered: it may be sent again, with the client's full budget.
    harness.give(uploaded(1, 900.0));
    assert_eq!(sends(&harness.give(ended(1, 0, 1.0, Outcome::ConnectFailed))), 1);
    harness.give(Event::Uploading(RequestId(1)));
    harness.give(uploaded(1, 0.0));
    let actions = harness.give(ended(1, 1, 1.0, Outcome::ConnectFailed));
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "it never ran: {actions:?}");
}

#[test]
fn a_server_is_free_once_its_long_answer_has_begun() {
    let mut harness = harness(1);
    assert_eq!(sends(&harness.give(request(1, 0, 900.0))), 1);
    assert_eq!(sends(&harness.give(request(2, 0, 900.0))), 0);
    let begun = harness.give(Event::Started { request: RequestId(1), attempt: 0 });
    assert_eq!(sends(&begun), 1, "the slot is free for the next");
    assert!(harness.give(ended(2, 0, 5.0, Outcome::Served)).is_empty());
    assert!(
        harness.pass(60_000.0).is_empty(),
        "a slow reader's request is neither answered again nor given up"
    );
    let request = RequestId(1);
    let broken = Event::Ended { request, attempt: 0, latency: 20.0, outcome: Outcome::Reset, closed: true };
    assert!(
        harness.give(broken).is_empty(),
        "a request whose answer the client has begun to read is not sent again"
    );
}
