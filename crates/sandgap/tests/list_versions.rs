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
