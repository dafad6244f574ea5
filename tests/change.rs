//! Changes of the settings while requests are open.
mod common;
use common::*;
use std::collections::{HashMap, HashSet};
use wharfhitch::*;

fn harness() -> (Harness, Settings) {
    let settings = settings(1);
    let servers = (1..5).map(server).collect();
    (Harness::new(settings.clone(), servers), settings)
}

/// A change to new settings. `live` says for each class whether it still accepts requests; `new_classes` lists the new
/// classes, each with the class whose learned values carry over, if any.
fn change(settings: Settings, live: Vec<bool>, new_classes: Vec<(usize, Option<usize>)>) -> Event {
    let new_classes =
        new_classes.into_iter().map(|(id, previous)| (ClassId(id), previous.map(ClassId))).collect();
    Event::Settings(Box::new(Change { settings, live, new_classes }))
}

/// Number of attempts among the actions.
fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

#[test]
fn an_open_request_keeps_the_rules_under_which_it_arrived() {
    let (mut harness, mut settings) = harness();
    assert_eq!(sends(&harness.give(request(1, 0, 2000.0))), 1);
    // While request 1 of class 0 (safe) is open, class 3 (unsafe) replaces classes 0 to 2, and a request of it gets only
    // one attempt.
    settings.classes.push(class(Effect::Unsafe, 800.0));
    settings.limits.max_attempts = 1;
    harness.give(change(settings, vec![false, false, false, true], vec![(3, None)]));
    assert_eq!(
        sends(&harness.give(ended(1, 0, 10.0, Outcome::Error))),
        1,
        "request 1 is still safe to repeat"
    );
    assert_eq!(sends(&harness.give(request(2, 3, 2000.0))), 1);
    assert_eq!(harness.give(ended(2, 0, 10.0, Outcome::Error)), [Action::Fail(RequestId(2))]);
    assert_eq!(sends(&harness.give(request(3, 3, 2000.0))), 1);
    let refused = harness.give(ended(3, 0, 10.0, Outcome::ConnectFailed));
    assert!(matches!(refused[..], [Action::Refuse { .. }]), "no second attempt for class 3: {refused:?}");
}

#[test]
fn a_new_class_takes_over_learned_values_only_from_the_class_that_it_replaces() {
    // Class 1 has learned that its answers take 2 ms. Class 3 replaces it, and is a new class the second time.
    for (previous, expects_retry) in [(Some(1), true), (None, false)] {
        let (mut harness, mut settings) = harness();
        for id in 0..200 {
            let sent = harness.give(request(id, 1, 3000.0));
            assert_eq!(sends(&sent), 1, "{id}");
            harness.pass(2.0);
            harness.give(ended(id, 0, 2.0, Outcome::Served));
        }
        settings.classes.push(class(Effect::Unsafe, 1300.0));
        harness.give(change(settings, vec![true, false, true, true], vec![(3, previous)]));
        assert_eq!(sends(&harness.give(request(1000, 3, 200.0))), 1);
        // The request is retried only if an answer is expected within the 200 ms that its client waits: by the learned values
        // it is, by the initial ones of a new class it is not.
        let next = harness.give(ended(1000, 0, 1.0, Outcome::ConnectFailed));
        assert_eq!(sends(&next) > 0, expects_retry, "{previous:?}: {next:?}");
    }
}

#[test]
fn with_random_changes_between_random_requests_each_gets_at_most_one_answer_and_one_attempt_at_a_time() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut harness, mut settings) = harness();
        let mut live = vec![true; settings.classes.len()];
        let mut view = DriverView::default();
        let mut request_count = 0;
        for step in 0..300 {
            let passed = harness.pass(rng.f64() * 30.0);
            view.note(&passed);
            let actions = match rng.u32(0..10) {
                0 => {
                    let effect = [Effect::Safe, Effect::Unsafe, KEYED][rng.usize(0..3)];
                    let previous = rng.bool().then(|| rng.usize(0..settings.classes.len()));
                    settings.classes.push(class(effect, 200.0 + 1000.0 * rng.f64()));
                    live.iter_mut().for_each(|l| *l &= rng.bool());
                    live.push(true);
                    settings.limits.max_attempts = rng.u32(1..5);
                    let id = settings.classes.len() - 1;
                    harness.give(change(settings.clone(), live.clone(), vec![(id, previous)]))
                }
                1..=5 => {
                    let newest_live =
                        (0..live.len()).rev().find(|i| live[*i]).expect("the newest class is always live");
                    request_count += 1;
                    harness.give(request(step, newest_live, 1500.0))
                }
                _ if !view.in_flight.is_empty() => {
                    let (id, attempt) = view.in_flight.swap_remove(rng.usize(0..view.in_flight.len()));
                    let outcome = [Outcome::Served, Outcome::Error, Outcome::ConnectFailed][rng.usize(0..3)];
                    if outcome == Outcome::Served {
                        view.answered.insert(id);
                    }
                    let (request, closed) = (RequestId(id), view.answered.contains(&id));
                    harness.give(Event::Ended { request, attempt, latency: 5.0, outcome, closed })
                }
                _ => Vec::new(),
            };
            view.note(&actions);
        }
        assert!(!view.answered.is_empty() && view.answered.len() <= request_count, "seed {seed}");
    }
}

/// What the driver of a balancer knows about its requests. Checks each action against it.
#[derive(Default)]
struct DriverView {
    /// Attempts in flight: request id, and number of the attempt within the request.
    in_flight: Vec<(u64, u32)>,
    /// Number of attempts of each request.
    attempts: HashMap<u64, u32>,
    /// Requests that have their only answer.
    answered: HashSet<u64>,
}

impl DriverView {
    fn note(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, .. } => {
                    assert!(self.in_flight.iter().all(|(id, _)| *id != request.0), "two attempts at once");
                    assert!(!self.answered.contains(&request.0), "an attempt after the answer");
                    let count = self.attempts.entry(request.0).or_default();
                    self.in_flight.push((request.0, *count));
                    *count += 1;
                }
                Action::Refuse { request, .. } | Action::Fail(request) => {
                    assert!(self.answered.insert(request.0), "two answers to one request");
                }
                _ => {}
            }
        }
    }
}
