//! Lists that are asked for, by proxies among many: whatever goes wrong with a call, a change that discovery had and
//! could have told is acted on in time.
mod sockets;

use sockets::*;

fn asked() -> Setup {
    Setup { discovery: "on_request", ..Setup::default() }
}

struct Site {
    backends: [Backend; 2],
    discovery: Discovery,
}

impl Site {
    fn new() -> Self {
        let backends = quick_and_slower();
        let discovery = Discovery::new();
        discovery.say(&all_up(&[&backends[0], &backends[1]]));
        Site { backends, discovery }
    }

    /// A proxy that has learned which is the faster.
    fn up(&self) -> Proxy {
        let proxy = Proxy::up(&self.discovery, &asked());
        only(&proxy, "the first, which is faster", "one");
        proxy
    }

    fn first_drains(&self) {
        self.discovery.say(&first_drains_whole(&self.backends, 2));
    }
}

#[test]
fn a_call_waits_for_its_turn_where_many_ask_at_once() {
    // Given up after a second, no call ever had its turn: the proxy did not come up at all.
    let site = Site::new();
    site.discovery.answer_late(1600);
    let proxy = site.up();
    assert_eq!(site.discovery.calls(), 1, "one call, and it is waited for");
    site.discovery.freeze(0);
    site.first_drains();
    only(&proxy, "the drain, behind a silent watch and a call that waits", "two");
}

#[test]
fn calls_that_are_turned_away_are_made_again_in_time() {
    let site = Site::new();
    site.discovery.turn_away(4);
    let proxy = site.up();
    assert_eq!(site.discovery.calls(), 5);
    site.discovery.freeze(0);
    site.discovery.turn_away(3);
    site.first_drains();
    only(&proxy, "the drain, behind a silent watch and three calls turned away", "two");
}

#[test]
fn after_a_silent_watch_the_whole_list_is_asked_for() {
    // A watch that resumes and is silent too would be seen to be so after 6 s only.
    let site = Site::new();
    let proxy = site.up();
    let before = site.discovery.calls();
    site.discovery.freeze(1);
    site.first_drains();
    only(&proxy, "the drain, behind two silent watches", "two");
    let heads = site.discovery.heads();
    assert!(!heads[before].contains("after="), "{heads:?}");
}

#[test]
fn discovery_that_is_down_from_the_start_is_heard_once_it_is_back() {
    let site = Site::new();
    site.discovery.turn_away(usize::MAX / 2);
    let known = all_up(&[&site.backends[0], &site.backends[1]]);
    let proxy = Proxy::up(&site.discovery, &Setup { known, ..asked() });
    site.first_drains();
    wait_for("calls in vain", || site.discovery.calls() > 5);
    site.discovery.turn_away(0);
    only(&proxy, "the drain, once discovery is back", "two");
}

#[test]
fn after_a_move_a_watch_that_falls_silent_is_opened_anew() {
    // The first watch after a move is opened unasked; its end was told to nobody, and no other one followed it.
    let site = Site::new();
    let proxy = site.up();
    let moved = Discovery::new();
    moved.say(&all_up(&[&site.backends[0], &site.backends[1]]));
    proxy.reload(&config(moved.address, &asked()));
    wait_for("its list", || proxy.said(&format!("{} has told its list", moved.address)));
    moved.freeze(0);
    moved.say(&first_drains_whole(&site.backends, 2));
    only(&proxy, "the drain, behind a silent watch after a move", "two");
}
