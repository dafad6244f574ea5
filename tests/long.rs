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

fn responding(id: u64) -> Event {
    Event::Responding { request: RequestId(id), attempt: 0 }
}

fn paused(id: u64) -> Event {
    Event::Paused { request: RequestId(id), attempt: 0 }
}

#[test]
fn a_server_whose_answers_are_written_slowly_is_neither_hung_nor_slow() {
    let mut harness = harness(1);
    harness.train(100, 20, |_| 5.0);
    // Each answer takes hundreds of times as long as usual, and none is given up before its client does.
    for id in 1..=20 {
        assert_eq!(sends(&harness.give(request(id, 1, 3000.0))), 1, "request {id}");
        harness.pass(5.0);
        harness.give(responding(id));
        assert!(harness.pass(2500.0).is_empty(), "request {id}");
        assert!(harness.give(ended(id, 0, 2505.0, Outcome::Served)).is_empty());
    }
    assert_eq!(sends(&harness.give(request(30, 1, 3000.0))), 1, "the server is open");
}

#[test]
fn another_server_is_tried_beside_a_paused_answer_only_if_the_request_may_be_repeated() {
    for (class, expected) in [(0, 1), (1, 0), (2, 1)] {
        let mut harness = harness(2);
        assert_eq!(sends(&harness.give(request(1, class, 2500.0))), 1);
        harness.pass(5.0);
        harness.give(responding(1));
        assert_eq!(sends(&harness.give(paused(1))), expected, "class {class}");
        assert_eq!(sends(&harness.give(paused(1))), 0, "class {class}: one is enough");
        let answered = harness.give(ended(1, 0, 900.0, Outcome::Served));
        assert!(answered.is_empty(), "class {class}: the first answer counts: {answered:?}");
    }
}

#[test]
fn a_failure_of_the_second_attempt_does_not_end_the_paused_first() {
    for outcome in [Outcome::Reset, Outcome::Error, Outcome::Full, Outcome::ConnectFailed] {
        let mut harness = harness(2);
        harness.give(request(1, 0, 2500.0));
        harness.pass(5.0);
        harness.give(responding(1));
        assert_eq!(sends(&harness.give(paused(1))), 1);
        let actions = harness.give(ended(1, 1, 5.0, outcome));
        assert!(actions.is_empty(), "{outcome:?}: {actions:?}");
        assert!(harness.pass(1500.0).is_empty(), "{outcome:?}: awaited");
        assert!(harness.give(ended(1, 0, 1510.0, Outcome::Served)).is_empty());
    }
}

#[test]
fn a_server_that_answers_after_it_was_taken_for_hung_gets_unsafe_requests_again() {
    let mut taken_for_hung = 0;
    // At any time between two reviews of the servers.
    for offset in (0..100).step_by(10) {
        let mut harness = Harness::new(settings(1), vec![Backend { rating: 8.0, ..server(1) }]);
        harness.train(100, 8, |_| 0.2);
        harness.pass(f64::from(offset));
        assert_eq!(sends(&harness.give(request(1, 0, 800.0))), 1);
        harness.pass(40.0); // many usual latencies
        let mut sent = harness.give(request(2, 1, 1200.0));
        taken_for_hung += usize::from(sends(&sent) == 0);
        sent.extend(harness.give(ended(1, 0, 40.0, Outcome::Served)));
        assert_eq!(sends(&sent), 1, "offset {offset}: no safe request comes that could test it: {sent:?}");
    }
    assert!(taken_for_hung > 0);
}

#[test]
fn a_retry_beside_a_paused_answer_does_not_wait_for_the_server_that_pauses() {
    for slower in [1.0, 2.0, 4.0, 10.0, 30.0] {
        let servers = (1..=2).map(|id| Backend { rating: 4.0, ..server(id) }).collect();
        let mut harness = Harness::new(settings(1), servers);
        harness.train(100, 60, |id| if id == 1 { 2.0 } else { 2.0 * slower });
        for id in 1..=4 {
            assert_eq!(common::sends(&harness.give(request(id, 0, 4000.0))).len(), 1);
            harness.pass(5.0);
            harness.give(responding(id));
            harness.pass(500.0);
            let retried = harness.give(paused(id));
            assert_eq!(sends(&retried), 1, "{slower} times slower, request {id}: {retried:?}");
            harness.give(ended(id, 1, 2.0 * slower, Outcome::Served));
            harness.pass(100.0);
        }
    }
}

#[test]
fn a_request_whose_paused_answer_has_started_to_reach_its_client_is_not_sent_elsewhere() {
    let mut harness = harness(2);
    assert_eq!(sends(&harness.give(request(1, 0, 2500.0))), 1);
    harness.pass(1.0);
    harness.give(responding(1));
    // All slots are in use, so that the second attempt waits.
    assert_eq!((10..12).map(|id| sends(&harness.give(request(id, 1, 4000.0)))).sum::<usize>(), 2);
    assert_eq!(sends(&harness.give(paused(1))), 0);
    harness.give(Event::Started { request: RequestId(1), attempt: 0 });
    let mut actions = Vec::new();
    for id in 10..12 {
        actions.extend(harness.give(ended(id, 0, 2.0, Outcome::Served)));
        actions.extend(harness.pass(20.0));
    }
    let again = common::sends(&actions).into_iter().filter(|(id, _)| *id == 1).count();
    assert_eq!(again, 0, "{actions:?}");
}

fn stalled(server: u64, is_stalled: bool) -> Event {
    Event::Stalled { backend: BackendId(server), class: ClassId(0), is_stalled }
}

/// Sends requests whose answers begin and hang; returns to which servers they went.
fn send_hanging(harness: &mut Harness, ids: std::ops::Range<u64>) -> Vec<u64> {
    let mut servers = Vec::new();
    for id in ids {
        for (request, server) in common::sends(&harness.give(request(id, 0, 4000.0))) {
            servers.push(server);
            harness.give(responding(request));
        }
        harness.pass(1.0);
    }
    servers
}

#[test]
fn a_server_whose_answers_hang_is_tested_with_one_request_at_a_time() {
    let servers = (1..=2).map(|id| Backend { rating: 4.0, ..server(id) }).collect();
    let mut harness = Harness::new(settings(1), servers);
    harness.train(100, 60, |_| 2.0);
    harness.give(stalled(1, true));
    assert!(!send_hanging(&mut harness, 1000..1020).contains(&1), "it is closed for the class");
    harness.pass(1200.0);
    let trials = send_hanging(&mut harness, 1020..1060);
    assert_eq!(trials.iter().filter(|server| **server == 1).count(), 1, "{trials:?}");
    let unsafe_sends: Vec<u64> = (2000..2040)
        .flat_map(|id| {
            let sent = common::sends(&harness.give(request(id, 1, 4000.0)));
            harness.give(ended(id, 0, 2.0, Outcome::Served));
            sent.into_iter().map(|(_, server)| server)
        })
        .collect();
    assert!(unsafe_sends.contains(&1), "other classes use it");
}

#[test]
fn a_class_whose_answers_hang_is_tested_beside_a_steady_load_of_others() {
    let servers = (1..=2).map(|id| Backend { rating: 4.0, ..server(id) }).collect();
    let mut harness = Harness::new(settings(1), servers);
    harness.train(100, 60, |_| 2.0);
    harness.give(stalled(1, true));
    harness.pass(1200.0);
    let mut trials = Vec::new();
    for id in 1000..1060 {
        harness.give(request(1000 + id, 1, 4000.0)); // at every moment some of the other class are in flight
        trials.extend(send_hanging(&mut harness, id..id + 1));
        harness.give(ended(994 + id, 0, 2.0, Outcome::Served));
    }
    assert_eq!(trials.iter().filter(|server| **server == 1).count(), 1, "{trials:?}");
}

#[test]
fn a_trial_that_ends_without_an_answer_is_followed_by_another() {
    let servers = (1..=2).map(|id| Backend { rating: 4.0, ..server(id) }).collect();
    let mut harness = Harness::new(settings(1), servers);
    harness.train(100, 60, |_| 2.0);
    harness.give(stalled(1, true));
    harness.pass(1200.0);
    let is_trial = |servers: &[u64]| servers.contains(&1);
    for first in [1000, 1100, 1200] {
        let mut ids = first..first + 60;
        let trial = ids.find(|id| is_trial(&send_hanging(&mut harness, *id..id + 1)));
        let trial = trial.unwrap_or_else(|| panic!("no trial from {first} on"));
        assert!(!is_trial(&send_hanging(&mut harness, ids)), "one at a time");
        harness.give(ended(trial, 0, 2000.0, Outcome::Cancelled));
    }
}

#[test]
fn a_server_whose_answers_go_on_again_gets_its_requests_at_once() {
    let servers = (1..=2).map(|id| Backend { rating: 4.0, ..server(id) }).collect();
    let mut harness = Harness::new(settings(1), servers);
    harness.train(100, 60, |_| 2.0);
    harness.give(stalled(1, true));
    harness.give(stalled(1, true));
    harness.give(stalled(1, false));
    harness.pass(1.0);
    assert!(send_hanging(&mut harness, 1000..1020).iter().filter(|server| **server == 1).count() > 3);
}

#[test]
fn with_all_servers_hanging_requests_are_still_sent() {
    let servers = (1..=3).map(|id| Backend { rating: 4.0, ..server(id) }).collect();
    let mut harness = Harness::new(settings(1), servers);
    harness.train(100, 60, |_| 2.0);
    (1..=3).for_each(|server| drop(harness.give(stalled(server, true))));
    harness.pass(200.0);
    assert!(send_hanging(&mut harness, 1000..1020).len() > 10);
}
