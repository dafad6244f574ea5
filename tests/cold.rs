//! What all proxies together send a cold server, against what it bears: the multiple of its present capacity that the
//! settings name, and beyond it no more than chance. No proxy hears of another here.
mod common;

use common::*;
use wharfhitch::*;

const COLD: u64 = 99;
/// Few servers that are warm: a surge fills them at once, as where most of a fleet has been replaced.
const WARM: u64 = 3;
/// A request's work on one core.
const WORK: Millis = 50.0;
/// Cores of each server.
const CORES: f64 = 12.0;

fn fleet_settings(proxies: u32, me: u32) -> Settings {
    let limits = Limits {
        start_capacity: 0.3,
        cold: 8700.0,
        fall_multiple: 2.5,
        fall: 1500.0,
        max_attempts: 4,
        most_held: usize::MAX,
    };
    Settings { me, limits, ..settings(proxies) }
}

fn sized(id: u64, cores: f64) -> Backend {
    Backend { rating: cores, ..server(id) }
}

/// A fleet whose proxies know what a request costs.
struct Fleet {
    cores: f64,
    hands: Vec<Hand>,
    /// When something was sent to the cold server.
    sent: Vec<Millis>,
    next: u64,
    out: Vec<(Millis, usize, u64)>,
}

impl Fleet {
    fn new(proxies: u32, cores: f64) -> Self {
        let hand = |me| {
            let warm = (1..=WARM).map(|id| sized(id, cores)).collect();
            let mut hand = Hand::seeded(fleet_settings(proxies, me), warm, u64::from(me) + 1);
            hand.train(0, 80, |_| WORK);
            hand
        };
        Fleet { cores, hands: (0..proxies).map(hand).collect(), sent: vec![], next: 1_000_000, out: vec![] }
    }

    /// The server starts, or has started a while ago, and these proxies hear of it now.
    fn tell(&mut self, born: Millis, who: impl Iterator<Item = usize>) {
        for i in who {
            let cold = Backend { since: Some(born), ..sized(COLD, self.cores) };
            self.hands[i].give(Event::List { scope: Scope::Delta, entries: vec![cold] });
        }
    }

    /// A proxy dies and starts anew; its first list holds the cold server.
    fn restart(&mut self, i: usize, born: Millis) {
        let (proxies, now) = (self.hands.len() as u32, self.hands[i].now);
        let mut all: Vec<Backend> = (1..=WARM).map(|id| sized(id, self.cores)).collect();
        all.push(Backend { since: Some(born), ..sized(COLD, self.cores) });
        let mut hand = Hand::seeded(fleet_settings(proxies, i as u32), vec![], self.next + i as u64);
        hand.now = now;
        hand.give(full(all));
        self.hands[i] = hand;
        self.out.retain(|o| o.1 != i);
    }

    fn note(&mut self, i: usize, actions: &[Action]) {
        let now = self.hands[i].now;
        for (id, to) in sends(actions) {
            if to == COLD {
                self.sent.push(now);
            }
            self.out.push((now + WORK, i, id));
        }
    }

    /// Each proxy gets `each` requests, spread over `span`; all are answered after their work.
    fn ask(&mut self, span: Millis, each: u64) {
        const STEP: Millis = 10.0;
        let steps = (span / STEP) as u64;
        for step in 0..steps {
            for i in 0..self.hands.len() {
                let actions = self.hands[i].pass(STEP);
                self.note(i, &actions);
                let asked = each * (step + 1) / steps - each * step / steps;
                for _ in 0..asked {
                    self.next += 1;
                    let actions = self.hands[i].give(request(self.next, 0, 2000.0));
                    self.note(i, &actions);
                }
            }
            let now = self.hands[0].now;
            let (over, still) = std::mem::take(&mut self.out).into_iter().partition(|o| o.0 <= now);
            self.out = still;
            let over: Vec<(Millis, usize, u64)> = over;
            for (_, i, id) in over {
                let actions = self.hands[i].give(ended(id, 0, WORK, Outcome::Served));
                self.note(i, &actions);
            }
        }
    }

    /// The most that the cold server got in a span of `fall`, over what it bears with chance: at most 1 is in order.
    fn worst(&self, born: Millis) -> (f64, usize, f64) {
        let limits = fleet_settings(1, 0).limits;
        let load = |&at: &Millis| {
            let from = at - limits.fall;
            let got = self.sent.iter().filter(|t| **t > from && **t <= at).count();
            let age = ((from.max(born) - born) / limits.cold).clamp(0.0, 1.0);
            let warmth = limits.start_capacity + (1.0 - limits.start_capacity) * age;
            let bears = limits.fall_multiple * warmth * self.cores / WORK * limits.fall;
            (got as f64 / (bears + 2.0 * bears.sqrt() + 2.0), got, bears)
        };
        self.sent.iter().map(load).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0, 0.0))
    }

    fn holds(&self, what: &str, born: Millis) {
        let (part, got, bears) = self.worst(born);
        println!(
            "{what}: {got} of {bears:.0} and chance, {part:.2} of what is allowed; {} in all",
            self.sent.len()
        );
        assert!(part <= 1.0, "{what}: {got} where {bears:.0} are borne");
    }
}

/// Quiet for a while, so that whoever may save saves, then more than the warm servers hold, everywhere at once.
fn surge(proxies: u32, cores: f64, quiet: Millis) -> (Fleet, Millis) {
    let mut fleet = Fleet::new(proxies, cores);
    let born = fleet.hands[0].now;
    fleet.tell(born, 0..proxies as usize);
    fleet.ask(quiet, 0);
    fleet.ask(400.0, 60.max(3000 / u64::from(proxies)));
    (fleet, born)
}

#[test]
fn a_surge_everywhere_at_once_is_within_what_a_cold_server_bears() {
    for cores in [2.0, 4.0, CORES] {
        for (proxies, quiet) in
            [(3, 1000.0), (20, 1000.0), (30, 4000.0), (30, 7500.0), (300, 1000.0), (300, 7500.0)]
        {
            let (fleet, born) = surge(proxies, cores, quiet);
            fleet.holds(&format!("{proxies} proxies, {cores} cores, a surge after {quiet} ms"), born);
        }
    }
}

#[test]
fn proxies_that_start_anew_bring_no_budget_of_their_own() {
    for proxies in [30, 300] {
        let mut fleet = Fleet::new(proxies, CORES);
        let born = fleet.hands[0].now;
        fleet.tell(born, 0..proxies as usize);
        // A tenth at a time, all within the span that counts, under load.
        for part in 0..10 {
            for i in (0..proxies as usize).filter(|i| i % 10 == part) {
                fleet.restart(i, born);
            }
            fleet.ask(150.0, 20.max(1500 / u64::from(proxies)));
        }
        fleet.holds(&format!("{proxies} proxies, all restarted"), born);
    }
}

#[test]
fn a_start_that_is_heard_of_at_different_times_is_one_start() {
    for proxies in [30, 300] {
        let mut fleet = Fleet::new(proxies, CORES);
        let born = fleet.hands[0].now;
        for part in 0..6 {
            fleet.tell(born, (0..proxies as usize).filter(|i| i % 6 == part));
            fleet.ask(300.0, 40.max(3000 / u64::from(proxies)));
        }
        fleet.holds(&format!("{proxies} proxies that hear late"), born);
    }
}

#[test]
fn a_cold_server_gets_work_from_fleets_of_any_size() {
    for proxies in [1, 30, 300] {
        let mut fleet = Fleet::new(proxies, CORES);
        let born = fleet.hands[0].now;
        fleet.tell(born, 0..proxies as usize);
        fleet.ask(3000.0, 240.max(24_000 / u64::from(proxies)));
        println!("{proxies} proxies: {} in 3 s of load", fleet.sent.len());
        assert!(fleet.sent.len() >= 60, "{proxies} proxies: {}", fleet.sent.len());
        fleet.holds(&format!("{proxies} proxies, steady load"), born);
    }
}
