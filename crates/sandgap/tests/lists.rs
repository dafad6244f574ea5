//! News of backends that comes oddly, late or not at all: whatever counts as told has to be acted on, and an outage of
//! discovery closes nothing.
mod sockets;

use std::sync::atomic::Ordering;
use std::time::Instant;

use sockets::*;

/// Two backends behind a proxy.
struct Site {
    backends: [Backend; 2],
    discovery: Discovery,
    proxy: Proxy,
}

impl Site {
    fn new() -> Self {
        let backends = quick_and_slower();
        let discovery = Discovery::new();
        discovery.say(&all_up(&[&backends[0], &backends[1]]));
        let proxy = Proxy::up(&discovery, &Setup::default());
        let site = Site { backends, discovery, proxy };
        site.only("the first, which is faster", "one");
        site
    }

    fn first_drains(&self, seq: u64) -> String {
        list(seq, false, &[host("s-0", self.backends[0].address, "draining", 0)])
    }

    /// What is known then as a whole.
    fn first_drains_whole(&self, seq: u64) -> String {
        first_drains_whole(&self.backends, seq)
    }

    /// Waits until all that is asked is answered by one of them.
    fn only(&self, what: &str, which: &str) {
        only(&self.proxy, what, which);
    }

    /// Waits until the first is sent nothing.
    fn only_the_second(&self, what: &str) {
        self.only(what, "two");
    }
}

fn indented(line: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(line).expect("JSON");
    serde_json::to_string_pretty(&value).expect("JSON")
}

#[test]
fn a_list_may_come_indented_as_a_whole_and_as_changes() {
    let backends = quick_and_slower();
    let discovery = Discovery::new();
    discovery.say(&indented(&all_up(&[&backends[0], &backends[1]])));
    let proxy = Proxy::up(&discovery, &Setup::default());
    let site = Site { backends, discovery, proxy };
    site.only("the first", "one");
    site.discovery.say(&indented(&site.first_drains(2)));
    site.only_the_second("the drain");
    assert_eq!(site.discovery.calls(), 1, "no watch was taken for broken");
}

#[test]
fn a_watch_that_falls_silent_but_stays_open_is_opened_anew() {
    let site = Site::new();
    site.discovery.freeze(0);
    site.discovery.say(&site.first_drains_whole(2)); // told on no watch that is open
    let silent = Instant::now();
    site.only_the_second("the drain");
    println!("a drain missed on one silent watch is kept after {} ms", silent.elapsed().as_millis());
}

#[test]
fn one_that_is_silent_again_after_that_is_followed_by_the_whole_list() {
    let site = Site::new();
    site.discovery.freeze(1);
    site.discovery.say(&site.first_drains_whole(2));
    let silent = Instant::now();
    site.only_the_second("the drain");
    println!("one missed on two silent watches is kept after {} ms", silent.elapsed().as_millis());
    let asked = site.discovery.asked.lock().expect("no panic").clone();
    let whole = asked.iter().skip(1).find(|m| !m.first.contains("after=")).expect("the whole list asked for");
    assert!(whole.first.contains("watch=1"), "{}", whole.first);
}

#[test]
fn while_discovery_is_silent_all_go_on_and_its_return_is_seen_though_no_older_call_is_answered() {
    let site = Site::new();
    site.discovery.hush();
    site.discovery.freeze(0);
    wait_for("calls beside each other", || {
        let (calls, ended) = (site.discovery.calls(), site.discovery.ended.load(Ordering::SeqCst));
        calls >= ended + 4 // one is the watch that stays open
    });
    // Nothing is known to be wrong: all is in use as before.
    site.only("the first", "one");
    // What the agent gets at its return counts at once.
    site.discovery.say(&site.first_drains_whole(2));
    let back = Instant::now();
    site.discovery.freeze(0);
    site.discovery.speak();
    site.only_the_second("the drain");
    println!("a drain told at discovery's return is kept after {} ms", back.elapsed().as_millis());
}

#[test]
fn a_new_process_while_discovery_is_down_serves_by_its_list_and_hears_the_return() {
    let backends = quick_and_slower();
    let discovery = Discovery::new();
    discovery.hush();
    let known = all_up(&[&backends[0], &backends[1]]);
    let proxy = Proxy::up(&discovery, &Setup { known, ..Setup::default() });
    let site = Site { backends, discovery, proxy };
    site.only("the first", "one");
    site.discovery.say(&site.first_drains_whole(2));
    site.discovery.speak();
    site.only_the_second("the drain");
}

#[test]
fn a_reload_that_moves_discovery_while_it_is_down_loses_no_drain() {
    let site = Site::new();
    let (silent, moved) = (Discovery::new(), Discovery::new());
    // The old address falls silent; the new one is not there yet either.
    site.discovery.hush();
    site.discovery.freeze(0);
    silent.hush();
    let setup = Setup::default();
    site.proxy.reload(&config(silent.address, &setup));
    wait_for("a call at the new address", || silent.calls() > 0);
    site.only("the first", "one");
    moved.say(&site.first_drains_whole(1));
    site.proxy.reload(&config(moved.address, &setup));
    site.only_the_second("the drain");
}

#[test]
fn a_drain_told_only_in_the_part_that_was_torn_is_kept() {
    let site = Site::new();
    let torn = site.first_drains(2);
    site.discovery.say(&torn[..torn.len() - 9]);
    // The new watch begins after the last whole list, and gets what the torn line said.
    wait_for("another watch", || site.discovery.calls() > 1);
    site.discovery.say(&site.first_drains(2));
    site.only_the_second("the drain");
}
