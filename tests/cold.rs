//! The load that all proxies together send to a cold server, compared with what it can take: `fall_multiple` times its
//! present capacity, plus random variation. The proxies exchange no messages here.
mod common;

use common::*;
use wharfhitch::*;

const COLD: u64 = 99;
/// Number of warm servers: few, so that a surge fills them at once, as when most of a fleet has been replaced.
const WARM: u64 = 3;
/// Work of a request on one core, in ms.
const WORK: Millis = 50.0;
/// Largest number of cores per server.
const CORES: f64 = 12.0;

fn fleet_settings(proxies: u32, me: u32) -> Settings {
    let limits = Limits {
        start_capacity: 0.3,
        cold_ms: 8700.0,
        fall_multiple: 2.5,
        fall_ms: 1500.0,
        max_attempts: 4,
        second_copies: true,
        may_cancel: true,
        max_held: usize::MAX,
    };
    Settings { proxy_index: me, limits, ..settings(proxies) }
}

fn sized(id: u64, cores: f64) -> Backend {
    Backend { rating: cores, ..server(id) }
}

/// A fleet of proxies that have already learned the latency of a request.
struct Fleet {
    cores: f64,
    harnesses: Vec<Harness>,
    /// Times of the sends to the cold server.
    sent: Vec<Millis>,
    next: u64,
    out: Vec<(Millis, usize, u64)>,
}

impl Fleet {
    fn new(proxies: u32, cores: f64) -> Self {
        let harness = |me| {
            let warm = (1..=WARM).map(|id| sized(id, cores)).collect();
            let mut harness = Harness::seeded(fleet_settings(proxies, me), warm, u64::from(me) + 1);
            harness.train(0, 80, |_| WORK);
            harness
        };
        Fleet {
            cores,
            harnesses: (0..proxies).map(harness).collect(),
            sent: vec![],
            next: 1_000_000,
            out: vec![],
        }
    }

    /// Announces to the proxies `who` that the cold server started at `born`.
    fn announce(&mut self, born: Millis, who: impl Iterator<Item = usize>) {
        for i in who {
            let cold = Backend { since: Some(born), ..sized(COLD, self.cores) };
            self.harnesses[i].give(Event::List { scope: Scope::Delta, entries: vec![cold] });
        }
    }

    /// Restarts a proxy; its first list contains the cold server.
    fn restart(&mut self, i: usize, born: Millis) {
        let (proxies, now) = (self.harnesses.len() as u32, self.harnesses[i].now);
        let mut all: Vec<Backend> = (1..=WARM).map(|id| sized(id, self.cores)).collect();
        all.push(Backend { since: Some(born), ..sized(COLD, self.cores) });
        let mut harness = Harness::seeded(fleet_settings(proxies, i as u32), vec![], self.next + i as u64);
        harness.now = now;
        harness.give(full(all));
        self.harnesses[i] = harness;
        self.out.retain(|o| o.1 != i);
    }

    fn record_sends(&mut self, i: usize, actions: &[Action]) {
        let now = self.harnesses[i].now;
        for (id, to) in sends(actions) {
            if to == COLD {
                self.sent.push(now);
            }
            self.out.push((now + WORK, i, id));
        }
    }

    /// Each proxy gets `each` requests, spread over `span`; each is answered after its work.
    fn run_load(&mut self, span: Millis, each: u64) {
        const STEP: Millis = 10.0;
        let steps = (span / STEP) as u64;
        for step in 0..steps {
            for i in 0..self.harnesses.len() {
                let actions = self.harnesses[i].pass(STEP);
                self.record_sends(i, &actions);
                let asked = each * (step + 1) / steps - each * step / steps;
                for _ in 0..asked {
                    self.next += 1;
                    let actions = self.harnesses[i].give(request(self.next, 0, 2000.0));
                    self.record_sends(i, &actions);
                }
            }
            let now = self.harnesses[0].now;
            let (over, still) = std::mem::take(&mut self.out).into_iter().partition(|o| o.0 <= now);
            self.out = still;
            let over: Vec<(Millis, usize, u64)> = over;
            for (_, i, id) in over {
                let actions = self.harnesses[i].give(ended(id, 0, WORK, Outcome::Served));
                self.record_sends(i, &actions);
            }
        }
    }

    /// The highest load of the cold server within `fall_ms`, relative to its capacity plus random variation (at most 1
    /// is allowed), with the sends and the capacity.
    fn worst(&self, born: Millis) -> (f64, usize, f64) {
        let limits = fleet_settings(1, 0).limits;
        let load = |&at: &Millis| {
            let from = at - limits.fall_ms;
            let got = self.sent.iter().filter(|t| **t > from && **t <= at).count();
            let age = ((from.max(born) - born) / limits.cold_ms).clamp(0.0, 1.0);
            let warm_fraction = limits.start_capacity + (1.0 - limits.start_capacity) * age;
            let capacity = limits.fall_multiple * warm_fraction * self.cores / WORK * limits.fall_ms;
            (got as f64 / (capacity + 2.0 * capacity.sqrt() + 2.0), got, capacity)
        };
        self.sent.iter().map(load).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0, 0.0))
    }

    fn assert_within_capacity(&self, what: &str, born: Millis) {
        let (part, got, capacity) = self.worst(born);
        println!(
            "{what}: {got} of {capacity:.0} plus variation, {part:.2} of what is allowed; {} in total",
            self.sent.len()
        );
        assert!(part <= 1.0, "{what}: {got} sends where {capacity:.0} are allowed");
    }
}

/// A quiet period in which budgets could accumulate, then more load at all proxies than the warm servers can take.
fn surge(proxies: u32, cores: f64, quiet: Millis) -> (Fleet, Millis) {
    let mut fleet = Fleet::new(proxies, cores);
    let born = fleet.harnesses[0].now;
    fleet.announce(born, 0..proxies as usize);
    fleet.run_load(quiet, 0);
    fleet.run_load(400.0, 60.max(3000 / u64::from(proxies)));
    (fleet, born)
}

#[test]
fn a_surge_at_all_proxies_stays_within_a_cold_servers_capacity() {
    for cores in [2.0, 4.0, CORES] {
        for (proxies, quiet) in
            [(3, 1000.0), (20, 1000.0), (30, 4000.0), (30, 7500.0), (300, 1000.0), (300, 7500.0)]
        {
            let (fleet, born) = surge(proxies, cores, quiet);
            fleet.assert_within_capacity(
                &format!("{proxies} proxies, {cores} cores, a surge after {quiet} ms"),
                born,
            );
        }
    }
}

#[test]
fn restarted_proxies_bring_no_budget_of_their_own() {
    for proxies in [30, 300] {
        let mut fleet = Fleet::new(proxies, CORES);
        let born = fleet.harnesses[0].now;
        fleet.announce(born, 0..proxies as usize);
        // A tenth of the proxies at a time, all within `fall_ms`, under load.
        for part in 0..10 {
            for i in (0..proxies as usize).filter(|i| i % 10 == part) {
                fleet.restart(i, born);
            }
            fleet.run_load(150.0, 20.max(1500 / u64::from(proxies)));
        }
        fleet.assert_within_capacity(&format!("{proxies} proxies, all restarted"), born);
    }
}

#[test]
fn a_start_announced_at_different_times_is_one_start() {
    for proxies in [30, 300] {
        let mut fleet = Fleet::new(proxies, CORES);
        let born = fleet.harnesses[0].now;
        for part in 0..6 {
            fleet.announce(born, (0..proxies as usize).filter(|i| i % 6 == part));
            fleet.run_load(300.0, 40.max(3000 / u64::from(proxies)));
        }
        fleet.assert_within_capacity(&format!("{proxies} proxies that hear late"), born);
    }
}

#[test]
fn a_cold_server_gets_work_from_fleets_of_any_size() {
    for proxies in [1, 30, 300] {
        let mut fleet = Fleet::new(proxies, CORES);
        let born = fleet.harnesses[0].now;
        fleet.announce(born, 0..proxies as usize);
        fleet.run_load(3000.0, 240.max(24_000 / u64::from(proxies)));
        println!("{proxies} proxies: {} in 3 s of load", fleet.sent.len());
        assert!(fleet.sent.len() >= 60, "{proxies} proxies: {}", fleet.sent.len());
        fleet.assert_within_capacity(&format!("{proxies} proxies, steady load"), born);
    }
}
