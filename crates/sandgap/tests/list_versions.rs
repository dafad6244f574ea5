//! What orders two lists where their versions can't: a service that has lost its state counts anew, one that has moved may
//! know less for a moment than the one before it. Whatever was told as draining is kept, and a fleet goes on.
mod sockets;

use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

/// Processes of one fleet, each with an agent of its own.
const PROXIES: usize = 5;
/// A drain is acted on within this span of being told.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// How long the requests are watched that come after that.
const WATCHED: Duration = Duration::from_millis(1500);

struct Fleet {
    backends: [Backend; 2],
    agents: Vec<Discovery>,
    proxies: Vec<Proxy>,
    asked: usize,
}

impl Fleet {
    fn new(way: &'static str) -> Self {
        let backends = quick_and_slower();
        let agents: Vec<Discovery> = (0..PROXIES).map(|_| Discovery::new()).collect();
        agents.iter().for_each(|a| a.say(&whole(41, &backends, "up")));
        let setup = Setup { discovery: way, ..Setup::default() };
        let proxies: Vec<Proxy> = agents.iter().map(|a| Proxy::up(a, &setup)).collect();
        proxies.iter().for_each(|p| only(p, "the first, which is faster", "one"));
        Fleet { backends, agents, proxies, asked: 0 }
    }

    /// Waits until each proxy's agent has been asked `calls` times more than `before` says.
    fn wait_for_calls(&self, before: &[usize], calls: usize) {
        wait_for("calls", || self.agents.iter().zip(before).all(|(a, b)| a.calls() >= b + calls));
    }

    fn calls(&self) -> Vec<usize> {
        self.agents.iter().map(|a| a.calls()).collect()
    }

    /// Asks all proxies for a while, and returns how many requests the first backend got.
    fn sent_to_first(&mut self) -> usize {
        let before = self.backends[0].seen().len();
        let end = Instant::now() + WATCHED;
        while Instant::now() < end {
            for proxy in &self.proxies {
                self.asked += 1;
                let answer = Client::new(proxy).ask(&page(&format!("watched-{}", self.asked)));
                assert_eq!(status(answer), 200);
            }
        }
        self.backends[0].seen().len() - before
    }

    /// Nothing new goes to the first backend later than the grace after `told`.
    fn keeps_the_drain(&mut self, told: Instant) {
        thread::sleep(DRAIN_GRACE.saturating_sub(told.elapsed()));
        assert_eq!(self.sent_to_first(), 0, "requests at a draining backend");
    }
}

fn whole(seq: u64, backends: &[Backend; 2], first: &str) -> String {
    let line = |n: usize, health| host(&format!("s-{n}"), backends[n].address, health, 0);
    list(seq, true, &[line(0, first), line(1, "up")])
}

#[test]
fn a_service_that_counts_anew_after_an_outage_is_believed() {
    for way in ["pushed", "on_request"] {
        let mut fleet = Fleet::new(way);
        let before = fleet.calls();
        let list = whole(1, &fleet.backends, "draining");
        fleet.agents.iter().for_each(|a| a.count_anew(&list));
        fleet.wait_for_calls(&before, 1); // each is told with the answer
        println!("{way}");
        fleet.keeps_the_drain(Instant::now());
    }
}

#[test]
fn drains_told_as_changes_after_that_are_kept() {
    let mut fleet = Fleet::new("pushed");
    let before = fleet.calls();
    let list_of_all = whole(1, &fleet.backends, "up");
    fleet.agents.iter().for_each(|a| a.count_anew(&list_of_all));
    fleet.wait_for_calls(&before, 1);
    thread::sleep(Duration::from_millis(300));
    let drain = list(2, false, &[host("s-0", fleet.backends[0].address, "draining", 0)]);
    fleet.agents.iter().for_each(|a| a.say(&drain));
    fleet.keeps_the_drain(Instant::now());
}

#[test]
fn a_whole_list_counted_anew_on_a_watch_that_stays_open_is_believed() {
    for way in ["pushed", "on_request"] {
        let mut fleet = Fleet::new(way);
        let list = whole(1, &fleet.backends, "draining");
        fleet.agents.iter().for_each(|a| a.say(&list)); // the agent stays, what it asks has begun anew
        println!("{way}");
        fleet.keeps_the_drain(Instant::now());
    }
}

#[test]
fn changes_counted_anew_on_a_watch_that_stays_open_are_believed() {
    let mut fleet = Fleet::new("pushed");
    let drain = list(2, false, &[host("s-0", fleet.backends[0].address, "draining", 0)]);
    fleet.agents.iter().for_each(|a| a.say(&drain));
    fleet.keeps_the_drain(Instant::now());
}

#[test]
fn changes_of_one_version_may_come_on_several_lines() {
    let mut fleet = Fleet::new("pushed");
    let line = |n: usize, health| host(&format!("s-{n}"), fleet.backends[n].address, health, 0);
    let parts = [list(42, false, &[line(1, "up")]), list(42, false, &[line(0, "draining")])];
    parts.iter().for_each(|part| fleet.agents.iter().for_each(|a| a.say(part)));
    fleet.keeps_the_drain(Instant::now());
}

#[test]
fn an_older_list_at_another_address_takes_back_no_drain() {
    let mut fleet = Fleet::new("pushed");
    let list = whole(42, &fleet.backends, "draining");
    fleet.agents.iter().for_each(|a| a.say(&list));
    fleet.keeps_the_drain(Instant::now());
    // The service at the next address has not heard of it yet.
    let late = whole(41, &fleet.backends, "up");
    let moved: Vec<Discovery> = (0..PROXIES).map(|_| Discovery::new()).collect();
    moved.iter().for_each(|d| d.say(&late));
    for (proxy, next) in fleet.proxies.iter().zip(&moved) {
        proxy.reload(&config(next.address, &Setup::default()));
    }
    wait_for("its lists", || {
        fleet.proxies.iter().zip(&moved).all(|(p, d)| p.said(&format!("{} has told its list", d.address)))
    });
    assert_eq!(fleet.sent_to_first(), 0, "requests at a draining backend");
}

#[test]
fn a_drain_that_was_taken_back_is_believed_in_the_end() {
    let fleet = Fleet::new("pushed");
    let list = whole(42, &fleet.backends, "draining");
    fleet.agents.iter().for_each(|a| a.say(&list));
    fleet.proxies.iter().for_each(|p| only(p, "the drain", "two"));
    let list = whole(1, &fleet.backends, "up");
    fleet.agents.iter().for_each(|a| a.count_anew(&list));
    fleet.proxies.iter().for_each(|p| only(p, "the first, once the list has stood for long enough", "one"));
}
