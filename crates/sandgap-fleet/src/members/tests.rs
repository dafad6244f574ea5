//! A small fleet in virtual time, on a simulated network with loss, delay and partitions.

use std::collections::BTreeSet;

use super::*;

/// Arrival time, sequence number, receiver, bytes.
type InFlight = Reverse<(Time, u64, usize, Vec<u8>)>;

struct Network {
    members: Vec<Members>,
    in_flight: BinaryHeap<InFlight>,
    sent: u64,
    now: Time,
    rng: fastrand::Rng,
    /// Partitioned pairs (sender, receiver), whose messages are lost.
    partitioned: BTreeSet<(usize, usize)>,
    /// Probability that a message is lost.
    loss: f64,
}

fn identity(n: usize, incarnation: u64) -> Identity {
    let address = SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16));
    Identity { name: format!("p{n}"), address, incarnation, zone: None }
}

impl Network {
    fn new(size: usize, seed: u64) -> Self {
        let members = (0..size)
            .map(|n| Members::new(identity(n, 1), ProbeTiming::default(), seed ^ n as u64))
            .collect();
        let rng = fastrand::Rng::with_seed(seed);
        let (now, partitioned) = (Time::ZERO, BTreeSet::new());
        let mut network =
            Network { members, in_flight: BinaryHeap::new(), sent: 0, now, rng, partitioned, loss: 0.0 };
        for n in 1..size {
            let first = network.members[n].join(now, "p0", identity(0, 0).address);
            network.send(n, first);
        }
        network
    }

    fn send(&mut self, from: usize, messages: Vec<Gossip>) {
        for gossip in messages {
            let to: usize = gossip.to.name[1..].parse().expect("p and a number");
            if self.partitioned.contains(&(from, to)) || self.rng.f64() < self.loss {
                continue;
            }
            self.sent += 1;
            let at = self.now + Duration::from_micros(self.rng.u64(200..20_000));
            self.in_flight.push(Reverse((at, self.sent, to, gossip.bytes)));
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let timer = (0..self.members.len()).filter_map(|n| Some((self.members[n].next_due()?, n))).min();
            let arrival = self.in_flight.peek().map(|Reverse(m)| m.0);
            let next = timer.map(|t| t.0).into_iter().chain(arrival).min().filter(|at| *at <= end);
            let Some(at) = next else { break };
            self.now = at;
            if arrival == Some(at) {
                let Some(Reverse((_, _, to, bytes))) = self.in_flight.pop() else { break };
                let out = self.members[to].handle_message(at, &bytes);
                self.send(to, out);
            } else if let Some((_, n)) = timer {
                let out = self.members[n].run_due_timers(at);
                self.send(n, out);
            }
        }
        self.now = end;
    }

    fn present_at(&self, n: usize) -> Vec<String> {
        self.members[n].present().into_iter().map(|m| m.name).collect()
    }

    fn partition(&mut self, n: usize, others: impl Iterator<Item = usize>) {
        self.partitioned.extend(others.flat_map(|o| [(n, o), (o, n)]));
    }
}

const SECONDS: fn(u64) -> Duration = Duration::from_secs;

#[test]
fn members_find_each_other_through_one_seed_and_detect_a_partitioned_one() {
    let mut network = Network::new(8, 1);
    network.run(SECONDS(10));
    assert!((0..8).all(|n| network.present_at(n).len() == 8));
    network.partition(5, 0..8);
    network.run(SECONDS(15));
    assert!((0..8).filter(|n| *n != 5).all(|n| !network.present_at(n).contains(&"p5".into())));
    assert_eq!(network.present_at(5), ["p5"]);
    network.partitioned.clear();
    network.run(SECONDS(30));
    assert!((0..8).all(|n| network.present_at(n).len() == 8), "the partitioned member rejoins by itself");
}

#[test]
fn two_members_that_cannot_reach_each_other_stay_members() {
    let mut network = Network::new(8, 2);
    network.run(SECONDS(10));
    // p1 and p2 can't reach each other, but all others reach both.
    network.partition(1, std::iter::once(2));
    network.run(SECONDS(60));
    assert!((0..8).all(|n| network.present_at(n).len() == 8));
}

#[test]
fn ten_percent_message_loss_removes_no_member() {
    let mut network = Network::new(8, 3);
    network.run(SECONDS(10));
    network.loss = 0.1;
    network.run(SECONDS(60));
    assert!((0..8).all(|n| network.present_at(n).len() == 8));
}

#[test]
fn a_restarted_process_replaces_the_previous_one() {
    let mut network = Network::new(4, 4);
    network.run(SECONDS(10));
    network.members[3] = Members::new(identity(3, 2), ProbeTiming::default(), 9);
    let announcement = network.members[3].join(network.now, "p1", identity(1, 0).address);
    network.send(3, announcement);
    network.run(SECONDS(10));
    assert!((0..3).all(|n| network.members[n].find("p3").is_some_and(|m| m.incarnation >= 2)));
}

#[test]
fn a_member_that_leaves_is_removed_before_a_probe_would_fail() {
    let mut network = Network::new(4, 5);
    network.run(SECONDS(10));
    let leave = network.members[2].leave(network.now);
    network.send(2, leave);
    network.partition(2, 0..4);
    network.run(Duration::from_millis(1500));
    assert!([0, 1, 3].iter().all(|n| !network.present_at(*n).contains(&"p2".into())));
}

#[test]
fn random_bytes_are_ignored() {
    let mut members = Members::new(identity(0, 1), ProbeTiming::default(), 1);
    let mut rng = fastrand::Rng::with_seed(6);
    for length in 0..600 {
        let bytes: Vec<u8> = (0..length).map(|_| rng.u8(..)).collect();
        members.handle_message(Time::ZERO, &bytes);
    }
    assert!(members.present().len() <= 1 + MAX_MEMBERS);
    assert_eq!(members.present().iter().filter(|m| m.name == "p0").count(), 1);
}

#[test]
fn members_whose_first_announcement_was_lost_join_by_retrying() {
    for seed in 0..20 {
        let mut network = Network::new(12, seed);
        network.in_flight.clear();
        network.run(Duration::from_secs(10));
        for members in &network.members {
            assert_eq!(members.present().len(), 12, "seed {seed}, {}", members.me.name);
        }
    }
}
