//! Lists of backends that arrive in unusual form, late or not at all: every change that was delivered has to take effect,
//! and an outage of discovery takes no backend out of use.
mod sockets;

use std::sync::atomic::Ordering;
use std::time::Instant;

use sockets::*;

/// Two backends behind a proxy.
struct TestSite {
    backends: [Backend; 2],
    discovery: Discovery,
    proxy: Proxy,
}

impl TestSite {
    fn new() -> Self {
        let backends = fast_and_slow_backends();
        let discovery = Discovery::new();
        discovery.publish(&list_all_up(&[&backends[0], &backends[1]]));
        let proxy = Proxy::up(&discovery, &Setup::default());
        let site = TestSite { backends, discovery, proxy };
        site.wait_until_only("the first, which is faster", "one");
        site
    }

    /// A change by which the first backend drains.
    fn change_first_draining(&self, seq: u64) -> String {
        list(seq, false, &[host("s-0", self.backends[0].address, "draining", 0)])
    }

    /// The whole list with the first backend draining.
    fn whole_list_first_draining(&self, seq: u64) -> String {
        whole_list_first_draining(&self.backends, seq)
    }

    /// Waits until requests are answered only by the backend whose body is `which`.
    fn wait_until_only(&self, what: &str, which: &str) {
        wait_until_only(&self.proxy, what, which);
    }

    /// Waits until the first backend is sent no requests.
    fn wait_until_only_second(&self, what: &str) {
        self.wait_until_only(what, "two");
    }
}

fn indented(line: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(line).expect("JSON");
    serde_json::to_string_pretty(&value).expect("JSON")
}

#[test]
fn whole_lists_and_changes_may_be_indented_json() {
    let backends = fast_and_slow_backends();
    let discovery = Discovery::new();
    discovery.publish(&indented(&list_all_up(&[&backends[0], &backends[1]])));
    let proxy = Proxy::up(&discovery, &Setup::default());
    let site = TestSite { backends, discovery, proxy };
    site.wait_until_only("the first", "one");
    site.discovery.publish(&indented(&site.change_first_draining(2)));
    site.wait_until_only_second("the drain");
    assert_eq!(site.discovery.calls(), 1, "the watch was not taken for broken");
}

#[test]
fn an_open_watch_that_falls_silent_is_reopened() {
    let site = TestSite::new();
    site.discovery.freeze_watches(0);
    site.discovery.publish(&site.whole_list_first_draining(2)); // not sent on any open watch
    let silent = Instant::now();
    site.wait_until_only_second("the drain");
    println!("a drain missed on one silent watch is kept after {} ms", silent.elapsed().as_millis());
}

#[test]
fn after_two_silent_watches_the_whole_list_is_requested() {
    let site = TestSite::new();
    site.discovery.freeze_watches(1);
    site.discovery.publish(&site.whole_list_first_draining(2));
    let silent = Instant::now();
    site.wait_until_only_second("the drain");
    println!("a drain missed on two silent watches is kept after {} ms", silent.elapsed().as_millis());
    let requests = site.discovery.requests.lock().expect("no panic").clone();
    let whole = requests
        .iter()
        .skip(1)
        .find(|m| !m.start_line.contains("after="))
        .expect("a request for the whole list");
    assert!(whole.start_line.contains("watch=1"), "{}", whole.start_line);
}

#[test]
fn an_outage_of_discovery_changes_nothing_and_its_return_is_noticed_while_older_calls_hang() {
    let site = TestSite::new();
    site.discovery.stop_answering();
    site.discovery.freeze_watches(0);
    wait_for("concurrent calls", || {
        let (calls, ended) = (site.discovery.calls(), site.discovery.ended_calls.load(Ordering::SeqCst));
        calls >= ended + 4 // one of them is the watch that stays open
    });
    // No backend is known to be unavailable: all are in use as before.
    site.wait_until_only("the first", "one");
    // A change that the agent has when it returns takes effect at once.
    site.discovery.publish(&site.whole_list_first_draining(2));
    let back = Instant::now();
    site.discovery.freeze_watches(0);
    site.discovery.resume_answering();
    site.wait_until_only_second("the drain");
    println!("a drain published when discovery returns is kept after {} ms", back.elapsed().as_millis());
}

#[test]
fn a_process_started_during_an_outage_serves_by_its_known_list_and_notices_the_return() {
    let backends = fast_and_slow_backends();
    let discovery = Discovery::new();
    discovery.stop_answering();
    let known = list_all_up(&[&backends[0], &backends[1]]);
    let proxy = Proxy::up(&discovery, &Setup { known, ..Setup::default() });
    let site = TestSite { backends, discovery, proxy };
    site.wait_until_only("the first", "one");
    site.discovery.publish(&site.whole_list_first_draining(2));
    site.discovery.resume_answering();
    site.wait_until_only_second("the drain");
}

#[test]
fn a_reload_that_moves_discovery_during_an_outage_loses_no_drain() {
    let site = TestSite::new();
    let (silent, moved) = (Discovery::new(), Discovery::new());
    // The old service falls silent, and the new one does not answer yet.
    site.discovery.stop_answering();
    site.discovery.freeze_watches(0);
    silent.stop_answering();
    let setup = Setup::default();
    site.proxy.reload(&config(silent.address, &setup));
    wait_for("a call at the new address", || silent.calls() > 0);
    site.wait_until_only("the first", "one");
    moved.publish(&site.whole_list_first_draining(1));
    site.proxy.reload(&config(moved.address, &setup));
    site.wait_until_only_second("the drain");
}

#[test]
fn a_drain_on_a_truncated_line_is_kept() {
    let site = TestSite::new();
    let line = site.change_first_draining(2);
    site.discovery.publish(&line[..line.len() - 9]);
    // The new watch resumes after the last valid version and gets what the truncated line was to say.
    wait_for("another watch", || site.discovery.calls() > 1);
    site.discovery.publish(&site.change_first_draining(2));
    site.wait_until_only_second("the drain");
}
