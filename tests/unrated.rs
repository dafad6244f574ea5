//! Servers of unknown size: they are not limited to one request each until probes have shown more.
mod common;

use common::*;
use wharfhitch::*;

fn unrated(proxies: u32, may_tell: bool, aim: Millis) -> Settings {
    let classes = vec![class(Effect::Safe, aim)];
    Settings { rating: Rating::Silent, messages_allowed: may_tell, classes, ..settings(proxies) }
}

/// Requests that one of `proxies` has in flight at 12 servers when many arrive at once, after answers of 25 ms.
fn in_flight_at_once(proxies: u32, may_tell: bool, aim: Millis) -> usize {
    let mut harness = Harness::new(unrated(proxies, may_tell, aim), (1..=12).map(server).collect());
    harness.train(0, 120, |_| 25.0);
    harness.pass(2000.0);
    (5000..5200).flat_map(|id| sends(&harness.give(request(id, 0, 600.0)))).count()
}

#[test]
fn a_server_of_unknown_size_may_hold_what_one_core_answers_in_half_the_aim() {
    // deploy/sites/kaart-ferry: 12 servers of 4 cores were limited to one request each, and a quarter was served.
    let of_four = in_flight_at_once(4, true, 300.0);
    assert!(
        (12..=60).contains(&of_four),
        "{of_four}: a quarter of 12 times 6, and what the silent others leave"
    );
    let alone = in_flight_at_once(1, false, 300.0);
    assert!((50..=90).contains(&alone), "{alone}: 12 times 6");
    // Where a request takes much of its aim, the limit is still one request.
    assert!(in_flight_at_once(1, false, 50.0) <= 14);
}

#[test]
fn congestion_lowers_the_estimate_before_anything_is_learned() {
    let mut harness = Harness::new(unrated(1, false, 300.0), (1..=12).map(server).collect());
    harness.train(0, 120, |_| 25.0);
    let before: f64 = harness.balancer.limit_estimates().map(|b| b.rated).sum();
    harness.train(1000, 400, |_| 100.0);
    harness.pass(2000.0);
    let after: f64 = harness.balancer.limit_estimates().map(|b| b.rated).sum();
    assert!(after < before / 2.0, "{after} of {before}");
}
