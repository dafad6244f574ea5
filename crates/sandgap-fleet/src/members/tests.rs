//! A small fleet in virtual time, with a net that loses, delays and cuts.

use std::collections::BTreeSet;

use super::*;

/// Arrival, number, receiver, bytes.
type UnderWay = Reverse<(Time, u64, usize, Vec<u8>)>;

struct Net {
    all: Vec<Members>,
    under_way: BinaryHeap<UnderWay>,
    sent: u64,
    now: Time,
    rng: fastrand::Rng,
    /// Pairs whose messages are lost, from one to the other.
    cut: BTreeSet<(usize, usize)>,
    lost: f64,
}

fn identity(n: usize, incarnation: u64) -> Identity {
    let address = SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16));
    Identity { name: format!("p{n}"), address, incarnation, zone: None }
}

impl Net {
    fn new(size: usize, seed: u64) -> Self {
        let all = (0..size).map(|n| Members::new(identity(n, 1), Pace::default(), seed ^ n as u64)).collect();
        let rng = fastrand::Rng::with_seed(seed);
        let (now, cut) = (Time::ZERO, BTreeSet::new());
        let mut net = Net { all, under_way: BinaryHeap::new(), sent: 0, now, rng, cut, lost: 0.0 };
        for n in 1..size {
            let first = net.all[n].join(now, "p0", identity(0, 0).address);
            net.send(n, first);
        }
        net
    }

    fn send(&mut self, from: usize, all: Vec<Gossip>) {
        for gossip in all {
            let to: usize = gossip.to.name[1..].parse().expect("p and a number");
            if self.cut.contains(&(from, to)) || self.rng.f64() < self.lost {
                continue;
            }
            self.sent += 1;
            let at = self.now + Duration::from_micros(self.rng.u64(200..20_000));
            self.under_way.push(Reverse((at, self.sent, to, gossip.bytes)));
        }
    }

    fn play(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let timer = (0..self.all.len()).filter_map(|n| Some((self.all[n].next_due()?, n))).min();
            let arrival = self.under_way.peek().map(|Reverse(m)| m.0);
            let next = timer.map(|t| t.0).into_iter().chain(arrival).min().filter(|at| *at <= end);
            let Some(at) = next else { break };
            self.now = at;
            if arrival == Some(at) {
                let Some(Reverse((_, _, to, bytes))) = self.under_way.pop() else { break };
                let out = self.all[to].hear(at, &bytes);
                self.send(to, out);
            } else if let Some((_, n)) = timer {
                let out = self.all[n].fire(at);
                self.send(n, out);
            }
        }
        self.now = end;
    }

    fn sees(&self, n: usize) -> Vec<String> {
        self.all[n].present().into_iter().map(|m| m.name).collect()
    }

    fn cut_off(&mut self, n: usize, others: impl Iterator<Item = usize>) {
        self.cut.extend(others.flat_map(|o| [(n, o), (o, n)]));
    }
}

const SECONDS: fn(u64) -> Duration = Duration::from_secs;

#[test]
fn all_find_each_other_through_one_and_a_lost_one_is_missed() {
    let mut net = Net::new(8, 1);
    net.play(SECONDS(10));
    assert!((0..8).all(|n| net.sees(n).len() == 8));
    net.cut_off(5, 0..8);
    net.play(SECONDS(15));
    assert!((0..8).filter(|n| *n != 5).all(|n| !net.sees(n).contains(&"p5".into())));
    assert_eq!(net.sees(5), ["p5"]);
    net.cut.clear();
    net.play(SECONDS(30));
    assert!((0..8).all(|n| net.sees(n).len() == 8), "what was cut off comes back by itself");
}

#[test]
fn one_that_hears_nobody_well_accuses_nobody() {
    let mut net = Net::new(8, 2);
    net.play(SECONDS(10));
    // p1 and p2 can't reach each other, but all others reach both.
    net.cut_off(1, std::iter::once(2));
    net.play(SECONDS(60));
    assert!((0..8).all(|n| net.sees(n).len() == 8));
}

#[test]
fn a_tenth_of_all_messages_lost_costs_no_member() {
    let mut net = Net::new(8, 3);
    net.play(SECONDS(10));
    net.lost = 0.1;
    net.play(SECONDS(60));
    assert!((0..8).all(|n| net.sees(n).len() == 8));
}

#[test]
fn a_restarted_process_takes_the_place_of_the_one_before() {
    let mut net = Net::new(4, 4);
    net.play(SECONDS(10));
    net.all[3] = Members::new(identity(3, 2), Pace::default(), 9);
    let hello = net.all[3].join(net.now, "p1", identity(1, 0).address);
    net.send(3, hello);
    net.play(SECONDS(10));
    assert!((0..3).all(|n| net.all[n].find("p3").is_some_and(|m| m.incarnation >= 2)));
}

#[test]
fn one_that_takes_leave_is_not_waited_for() {
    let mut net = Net::new(4, 5);
    net.play(SECONDS(10));
    let bye = net.all[2].leave(net.now);
    net.send(2, bye);
    net.cut_off(2, 0..4);
    net.play(Duration::from_millis(1500));
    assert!([0, 1, 3].iter().all(|n| !net.sees(*n).contains(&"p2".into())));
}

#[test]
fn noise_is_passed_over() {
    let mut members = Members::new(identity(0, 1), Pace::default(), 1);
    let mut rng = fastrand::Rng::with_seed(6);
    for length in 0..600 {
        let bytes: Vec<u8> = (0..length).map(|_| rng.u8(..)).collect();
        members.hear(Time::ZERO, &bytes);
    }
    assert!(members.present().len() <= 1 + MEMBERS);
    assert_eq!(members.present().iter().filter(|m| m.name == "p0").count(), 1);
}

#[test]
fn those_whose_first_word_was_lost_are_known_all_the_same() {
    for seed in 0..20 {
        let mut net = Net::new(12, seed);
        net.under_way.clear();
        net.play(Duration::from_secs(10));
        for members in &net.all {
            assert_eq!(members.present().len(), 12, "seed {seed}, {}", members.me.name);
        }
    }
}
