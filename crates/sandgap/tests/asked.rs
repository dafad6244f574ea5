//! Lists that are asked for, by proxies among many: whatever goes wrong with a call, a change that discovery had and
//! could have told is acted on in time.
mod sockets;

use std::time::Duration;

use sockets::*;

const ASKED: Setup = Setup {
    known: String::new(),
    sockets: 256,
    idle_close: 30_000,
    dial_timeout: 400,
    deadline: 5000,
    may_tell: None,
    admin: false,
    listen: None,
    shared: None,
    descriptors: None,
    window: 2500,
    discovery: "on_request",
};

fn asked() -> Setup {
    Setup { known: "null".into(), ..ASKED }
}

/// Until the proxy answers by one backend alone.
fn only(proxy: &Proxy, what: &str, which: &str) {
    let mut n = 0;
    wait_for(what, || {
        n += 1;
        (0..10).all(|i| {
            let answer = Client::new(proxy).ask(&page(&format!("r-{which}-{n}-{i}"))).expect("an answer");
            answer.text() == which
        })
    });
}

struct Site {
    backends: [Backend; 2],
    discovery: Discovery,
}

impl Site {
    fn new() -> Self {
        // As long as the first, which is faster, may be used, it is.
        let second = Backend::with(|_| {
            std::thread::sleep(Duration::from_millis(25));
            Deed::Write(ok("two"))
        });
        let backends = [Backend::new(Deed::Write(ok("one"))), second];
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
        let line = |n: usize, health| host(&format!("s-{n}"), self.backends[n].address, health, 0);
        self.discovery.say(&list(2, true, &[line(0, "draining"), line(1, "up")]));
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
