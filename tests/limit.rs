//! The learned limit: it grows only where demand shows that it pays, and comes back from what befalls a server.
use wharfhitch::limit::{Limit, MOST, Ratings, Why};

const LOOK: f64 = 100.0;

/// A server under demand that never ends, in rounds: each request takes what `latency` says of the number held.
struct Played {
    limit: Limit,
    now: f64,
    prior: f64,
    pressed: bool,
}

impl Played {
    fn new(prior: f64) -> Self {
        Played { limit: Limit::new(0.0), now: 0.0, prior, pressed: true }
    }

    fn slots(&self) -> f64 {
        self.limit.slots(self.prior)
    }

    /// Plays so many looks; returns why the limit moved at each.
    fn play(&mut self, looks: usize, latency: impl Fn(f64) -> f64) -> Vec<Why> {
        let mut moves = Vec::new();
        for _ in 0..looks {
            let held = self.slots().floor().max(1.0);
            let takes = latency(held);
            let (mut at, end) = (self.now, self.now + LOOK);
            while at + takes <= end {
                for i in 0..held as u32 {
                    let spread = [0.9, 1.1, 1.0][i as usize % 3];
                    self.limit.answer(at + takes, at + 0.001, held, takes * spread);
                }
                at += takes;
            }
            self.now = end;
            moves.extend(self.limit.review(self.now, self.prior, self.pressed, latency(held) > 50.0));
        }
        moves
    }
}

fn cores(n: f64) -> impl Fn(f64) -> f64 {
    move |held: f64| 20.0 * (held / n).max(1.0)
}

#[test]
fn without_demand_a_rating_stands_whatever_the_answers_say() {
    let mut p = Played::new(3.0);
    p.pressed = false;
    assert_eq!(p.play(100, cores(50.0)), []);
    assert_eq!((p.slots(), p.limit.learned()), (3.0, false));
}

#[test]
fn under_demand_a_limit_grows_while_more_requests_bring_more_answers() {
    let mut p = Played::new(1.0);
    p.play(60, cores(12.0));
    assert!((10.0..18.0).contains(&p.slots()), "{}", p.slots());
}

#[test]
fn a_right_rating_is_tried_ever_more_rarely_and_left_where_it_is() {
    let mut p = Played::new(12.0);
    let tries: Vec<usize> =
        (0..4).map(|_| p.play(150, cores(11.0)).iter().filter(|w| **w == Why::Probing).count()).collect();
    assert!((10.0..15.0).contains(&p.slots()), "{}", p.slots());
    assert!(tries[3] < tries[0] && tries[3] <= 4, "{tries:?}");
}

#[test]
fn a_rating_far_too_high_is_cut_once_crowding_shows() {
    let mut p = Played::new(50.0);
    (1..8).for_each(|held| {
        (0..8).for_each(|_| p.limit.answer(p.now + 20.0, p.now + 0.001, f64::from(held), 20.0));
    });
    let moves = p.play(40, cores(12.0));
    println!("{moves:?}");
    assert!((10.0..16.0).contains(&p.slots()), "{}", p.slots());
}

#[test]
fn a_neighbour_costs_slots_only_while_it_is_there() {
    let mut p = Played::new(1.0);
    p.play(60, cores(12.0));
    let before = p.slots();
    p.play(100, cores(6.0));
    let during = p.slots();
    p.play(40, cores(12.0));
    assert!(p.slots() > 0.8 * before, "{before} {during} {}", p.slots());
}

#[test]
fn latency_from_outside_takes_no_slots_for_good() {
    let mut p = Played::new(1.0);
    p.play(60, cores(12.0));
    let before = p.slots();
    p.play(150, |held| 40.0 + cores(12.0)(held)); // a slow network, at all loads alike
    assert!(p.slots() > 0.8 * before, "{before} {}", p.slots());
}

#[test]
fn alone_a_full_names_the_limit_and_served_requests_are_its_floor() {
    let mut limit = Limit::new(0.0);
    assert!(limit.full(1.0, 0.5, 4.0, true, 50.0));
    assert_eq!(limit.slots(50.0), 4.0);
    let mut limit = Limit::new(0.0);
    (0..8).for_each(|i| limit.answer(f64::from(i), 0.5, 9.0, 20.0));
    assert!(limit.full(9.0, 0.5, 3.0, true, 50.0), "from 50 down");
    assert_eq!(limit.slots(50.0), 9.0, "it has just served nine");
    // Where others send too, one 'full' is chance.
    let mut limit = Limit::new(0.0);
    assert!(!limit.full(100.0, 99.0, 3.0, false, 50.0));
    assert!((0..20).any(|i| limit.full(200.0 + f64::from(i), 199.0, 3.0, false, 50.0)));
    assert!(limit.slots(50.0) < 50.0);
}

#[test]
fn a_trial_whose_end_is_never_told_ends_by_itself() {
    let mut limit = Limit::new(0.0);
    limit.told(0.0, Some(16.0), true, 8.0);
    assert_eq!((limit.slots(8.0), limit.known()), (16.0, (Some(16.0), true)));
    limit.review(1000.0, 8.0, false, false);
    assert_eq!(limit.slots(8.0), 16.0);
    limit.review(3000.0, 8.0, true, false);
    assert_eq!((limit.slots(8.0), limit.learned()), (8.0, false));
}

#[test]
fn what_another_proxy_found_is_taken_over_and_its_failure_lets_the_kind_rest() {
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
            assert!(slots.is_none_or(|s| (1.0..=MOST).contains(&s)), "seed {seed}: {slots:?}");
        }
    }
}
