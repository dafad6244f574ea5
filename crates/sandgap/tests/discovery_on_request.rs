//! Lists that are fetched on request, by one of many proxies: whatever goes wrong with a call, a change that discovery had
//! and could have sent takes effect in time.
mod sockets;

use sockets::*;

fn on_request() -> Setup {
    Setup { discovery: "on_request", ..Setup::default() }
}

struct TestSite {
    backends: [Backend; 2],
    discovery: Discovery,
}

impl TestSite {
    fn new() -> Self {
        let backends = fast_and_slow_backends();
        let discovery = Discovery::new();
        discovery.publish(&list_all_up(&[&backends[0], &backends[1]]));
        TestSite { backends, discovery }
    }

    /// Starts a proxy and waits until it prefers the faster backend.
    fn up(&self) -> Proxy {
        let proxy = Proxy::up(&self.discovery, &on_request());
        wait_until_only(&proxy, "the first, which is faster", "one");
        proxy
    }

    /// Publishes the whole list with the first backend draining.
    fn drain_first(&self) {
        self.discovery.publish(&whole_list_first_draining(&self.backends, 2));
    }
}

#[test]
fn a_slow_answer_is_waited_for() {
    // When calls were abandoned after a second, none was ever answered and the proxy did not start at all.
    let site = TestSite::new();
    site.discovery.delay_answers(1600);
    let proxy = site.up();
    assert_eq!(site.discovery.calls(), 1, "one call, and it is waited for");
    site.discovery.freeze_watches(0);
    site.drain_first();
    wait_until_only(&proxy, "the drain, behind a silent watch and a call that waits", "two");
}

#[test]
fn rejected_calls_are_retried_in_time() {
    let site = TestSite::new();
    site.discovery.reject_calls(4);
    let proxy = site.up();
    assert_eq!(site.discovery.calls(), 5);
    site.discovery.freeze_watches(0);
    site.discovery.reject_calls(3);
    site.drain_first();
    wait_until_only(&proxy, "the drain, behind a silent watch and three rejected calls", "two");
}

#[test]
fn after_a_silent_watch_the_whole_list_is_requested() {
    // The silence of a resumed watch would be noticed only after 6 s.
    let site = TestSite::new();
    let proxy = site.up();
    let before = site.discovery.calls();
    site.discovery.freeze_watches(1);
    site.drain_first();
    wait_until_only(&proxy, "the drain, behind two silent watches", "two");
    let heads = site.discovery.request_lines();
    assert!(!heads[before].contains("after="), "{heads:?}");
}

#[test]
fn discovery_that_is_down_from_the_start_is_used_once_it_is_back() {
    let site = TestSite::new();
    site.discovery.reject_calls(usize::MAX / 2);
    let known = list_all_up(&[&site.backends[0], &site.backends[1]]);
    let proxy = Proxy::up(&site.discovery, &Setup { known, ..on_request() });
    site.drain_first();
    wait_for("failed calls", || site.discovery.calls() > 5);
    site.discovery.reject_calls(0);
    wait_until_only(&proxy, "the drain, once discovery is back", "two");
}

#[test]
fn after_a_move_a_watch_that_falls_silent_is_reopened() {
    // The first watch after a move is opened without a request of the decision library. Its end was once reported to no
    // one, and no other watch followed it.
    let site = TestSite::new();
    let proxy = site.up();
    let moved = Discovery::new();
    moved.publish(&list_all_up(&[&site.backends[0], &site.backends[1]]));
    proxy.reload(&config(moved.address, &on_request()));
    wait_for("its list", || proxy.log_contains(&format!("{} has told its list", moved.address)));
    moved.freeze_watches(0);
    moved.publish(&whole_list_first_draining(&site.backends, 2));
    wait_until_only(&proxy, "the drain, behind a silent watch after a move", "two");
}
