//! The learned limit: it grows only where demand shows that more requests pay off, and it recovers from disturbances.
use wharfhitch::limit::{ChangeReason, Limit, MAX_LIMIT, Ratings};

/// Interval between reviews, in ms.
const REVIEW_INTERVAL_MS: f64 = 100.0;

/// A server under constant demand, simulated in rounds: each request takes `latency(requests held)`.
struct SimulatedServer {
    limit: Limit,
    now: f64,
    prior: f64,
    demand_waits: bool,
}

impl SimulatedServer {
    fn new(prior: f64) -> Self {
        SimulatedServer { limit: Limit::new(0.0), now: 0.0, prior, demand_waits: true }
    }

    fn slots(&self) -> f64 {
        self.limit.slots(self.prior)
    }

    /// Simulates a number of reviews; returns the reason for each change of the limit.
    fn run(&mut self, reviews: usize, latency: impl Fn(f64) -> f64) -> Vec<ChangeReason> {
        let mut moves = Vec::new();
        for _ in 0..reviews {
            let held = self.slots().floor().max(1.0);
            let takes = latency(held);
            let (mut at, end) = (self.now, self.now + REVIEW_INTERVAL_MS);
            while at + takes <= end {
                for i in 0..held as u32 {
                    let spread = [0.9, 1.1, 1.0][i as usize % 3];
                    self.limit.answer(at + takes, at + 0.001, held, takes * spread);
                }
                at += takes;
            }
            self.now = end;
            moves.extend(self.limit.review(self.now, self.prior, self.demand_waits, latency(held) > 50.0));
        }
        moves
    }
}

fn cores(n: f64) -> impl Fn(f64) -> f64 {
    move |held: f64| 20.0 * (held / n).max(1.0)
}

#[test]
fn without_demand_the_rating_applies_whatever_the_answers_show() {
    let mut p = SimulatedServer::new(3.0);
    p.demand_waits = false;
    assert_eq!(p.run(100, cores(50.0)), []);
    assert_eq!((p.slots(), p.limit.learned()), (3.0, false));
}

#[test]
fn under_demand_a_limit_grows_while_more_requests_bring_more_answers() {
    let mut p = SimulatedServer::new(1.0);
    p.run(60, cores(12.0));
    assert!((10.0..18.0).contains(&p.slots()), "{}", p.slots());
}

#[test]
fn an_accurate_rating_is_probed_ever_more_rarely_and_kept() {
    let mut p = SimulatedServer::new(12.0);
    let tries: Vec<usize> = (0..4)
        .map(|_| p.run(150, cores(11.0)).iter().filter(|w| **w == ChangeReason::Probing).count())
        .collect();
    assert!((10.0..15.0).contains(&p.slots()), "{}", p.slots());
    assert!(tries[3] < tries[0] && tries[3] <= 4, "{tries:?}");
}

#[test]
fn a_rating_far_too_high_is_cut_once_congestion_shows() {
    let mut p = SimulatedServer::new(50.0);
    (1..8).for_each(|held| {
        (0..8).for_each(|_| p.limit.answer(p.now + 20.0, p.now + 0.001, f64::from(held), 20.0));
    });
    let moves = p.run(40, cores(12.0));
    println!("{moves:?}");
    assert!((10.0..16.0).contains(&p.slots()), "{}", p.slots());
}

#[test]
fn a_neighbour_costs_slots_only_while_it_is_there() {
    let mut p = SimulatedServer::new(1.0);
    p.run(60, cores(12.0));
    let before = p.slots();
    p.run(100, cores(6.0));
    let during = p.slots();
    p.run(40, cores(12.0));
    assert!(p.slots() > 0.8 * before, "{before} {during} {}", p.slots());
}

#[test]
fn added_network_latency_removes_no_slots_permanently() {
    let mut p = SimulatedServer::new(1.0);
    p.run(60, cores(12.0));
    let before = p.slots();
    p.run(150, |held| 40.0 + cores(12.0)(held)); // a slow network, independent of load
    assert!(p.slots() > 0.8 * before, "{before} {}", p.slots());
}

#[test]
fn for_a_single_proxy_a_rejection_gives_the_limit_and_served_requests_its_floor() {
    let mut limit = Limit::new(0.0);
    assert!(limit.full(1.0, 0.5, 4.0, true, 50.0));
    assert_eq!(limit.slots(50.0), 4.0);
    let mut limit = Limit::new(0.0);
    (0..8).for_each(|i| limit.answer(f64::from(i), 0.5, 9.0, 20.0));
    assert!(limit.full(9.0, 0.5, 3.0, true, 50.0), "from 50 down");
    assert_eq!(limit.slots(50.0), 9.0, "it has just served nine");
    // Where other proxies send too, a single rejection may be due to chance.
    let mut limit = Limit::new(0.0);
    assert!(!limit.full(100.0, 99.0, 3.0, false, 50.0));
    assert!((0..20).any(|i| limit.full(200.0 + f64::from(i), 199.0, 3.0, false, 50.0)));
    assert!(limit.slots(50.0) < 50.0);
}

#[test]
fn a_joined_probe_whose_end_is_never_reported_expires() {
    let mut limit = Limit::new(0.0);
    limit.told(0.0, Some(16.0), true, 8.0);
    assert_eq!((limit.slots(8.0), limit.known()), (16.0, (Some(16.0), true)));
    limit.review(1000.0, 8.0, false, false);
    assert_eq!(limit.slots(8.0), 16.0);
    limit.review(3000.0, 8.0, true, false);
    assert_eq!((limit.slots(8.0), limit.learned()), (8.0, false));
}

#[test]
fn a_peers_result_is_applied_and_its_failed_probe_pauses_the_kind() {
    let mut limit = Limit::new(0.0);
    limit.told(0.0, Some(16.0), true, 8.0);
    assert_eq!(limit.told(300.0, Some(16.0), false, 8.0), Some(false), "the rating proved wrong");
    assert_eq!(limit.known(), (Some(16.0), false));
    let mut limit = Limit::new(0.0);
    limit.told(0.0, Some(16.0), true, 8.0);
    assert_eq!(limit.told(300.0, None, false, 8.0), Some(true), "the rating held");
    assert!(!limit.learned());
    let mut kind = Ratings::default();
    assert!(kind.may_try(0.0, 0.01) && !kind.may_try(0.0, 0.9), "few at a time");
    kind.held(0.0);
    assert!(!kind.may_try(500.0, 0.01) && kind.may_try(5000.0, 0.01));
    kind.failed();
    assert!(kind.may_try(5000.0, 0.9), "all of them once one was found wrong");
}

#[test]
fn any_sequence_keeps_the_limit_within_its_bounds() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut limit = Limit::new(0.0);
        let mut now = 0.0;
        for _ in 0..2000 {
            now += rng.f64() * 30.0;
            let (sent, held) = (now - rng.f64() * 100.0, rng.f64() * 2000.0);
            let odd = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 20.0, 50.0];
            let prior = 1.0 + rng.f64() * 2000.0;
            match rng.u32(0..5) {
                0 | 1 => limit.answer(now, sent, held, odd[rng.usize(0..odd.len())]),
                2 => drop(limit.full(now, sent, held - 1.0, rng.bool(), prior)),
                3 => drop(limit.told(now, rng.bool().then_some(held), rng.bool(), prior)),
                _ => drop(limit.review(now, prior, rng.bool(), rng.bool())),
            }
            let (slots, _) = limit.known();
            assert!(slots.is_none_or(|s| (1.0..=MAX_LIMIT).contains(&s)), "seed {seed}: {slots:?}");
        }
    }
}
