//! What a decision costs: the module alone, fed with requests and ends at a steady load, by the number of servers.

use std::time::Instant;

use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use serde::Serialize;
use wharfhitch::{
    Action, Backend, BackendId, Balancer, CellId, Class, ClassId, Discovery, Effect, Event, KindId, Limits,
    Outcome, Prices, Rating, RequestId, Scope, Settings, State,
};

use crate::calendar::{Calendar, MS, Nanos, nanos};
use crate::streams::stream;

/// The cost at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// Servers.
    pub servers: u32,
    /// Requests that were decided.
    pub requests: u64,
    /// Median over the rounds: wall nanoseconds for each event given to the module, ticks among them.
    pub event_ns: f64,
    /// The same for each request: all events over all requests.
    pub request_ns: f64,
    /// The part of it that ticks take.
    pub tick_part: f64,
}

fn settings() -> Settings {
    let class = |aim, worth, effect| Class {
        aim,
        deadline: aim * 2.5,
        aim_stretch: 0.0,
        worth,
        late_worth: 0.0,
        effect,
    };
    Settings {
        proxy_index: 0,
        proxies: 1,
        zone: None,
        classes: vec![class(500.0, 3.0, Effect::Safe), class(900.0, 3.0, Effect::Unsafe)],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        worth_by_work: false,
        discovery: Discovery::Pushed,
        rating: Rating::Size,
        warm_keys: false,
        messages_allowed: false,
        prices: Prices::default(),
        limits: Limits {
            start_capacity: 0.3,
            cold_ms: 8700.0,
            fall_multiple: 2.5,
            fall_ms: 1500.0,
            max_held: 1_000_000,
            max_attempts: 6,
        },
    }
}

enum Next {
    Arrive,
    End(u64, f64),
    Timer(u64),
}

/// Feeds the module at 60% of what the servers can do, 4 cores each, and times it. The load grows with the servers
/// up to `most_rate` requests a second, so that ticks weigh as they would.
pub fn measure(servers: u32, requests: u64, most_rate: f64) -> Cost {
    let mut rng = stream(1, "cost", u64::from(servers));
    let mut module = Balancer::new(settings(), 1);
    let mut out: Vec<Action> = Vec::new();
    let entries = (0..servers)
        .map(|i| Backend {
            id: BackendId(u64::from(i) * 0x9e37_79b9 + 1),
            zone: None,
            kind: Some(KindId(i % 2)),
            cell: Some(CellId(u64::from(i / 3))),
            state: State::Up,
            rating: 4.0,
            since: None,
        })
        .collect();
    let mut cal: Calendar<Next> = Calendar::default();
    module.handle(0.0, Event::List { scope: Scope::Full, entries }, &mut out);
    cal.push(0, Next::Arrive);
    let rate = (f64::from(servers) * 4.0 * 0.6 / 0.020).min(most_rate);
    let (mut count, mut events) = (0u64, 0u64);
    let (mut rounds, mut in_ticks, mut in_all) = (Vec::new(), 0.0, 0.0);
    let per_round = (requests / 10).max(1);
    let (mut round, mut round_events) = (0.0, 0u64);
    loop {
        for action in out.drain(..) {
            match action {
                Action::Send { request, .. } => {
                    let took = 20.0 * (0.5 + rng.random::<f64>());
                    cal.push(cal.now() + nanos(took), Next::End(request.0, took));
                }
                Action::Timer { token, at } => {
                    cal.push((nanos(at) as Nanos).max(cal.now()), Next::Timer(token))
                }
                _ => {}
            }
        }
        let Some((at, next)) = cal.pop() else { break };
        let (event, tick) = match next {
            Next::Arrive => {
                if count >= requests {
                    break;
                }
                let step: f64 = Exp1.sample(&mut rng);
                cal.push(at + nanos(step * 1000.0 / rate), Next::Arrive);
                count += 1;
                let class = ClassId(usize::from(rng.random::<f64>() < 0.4));
                let id = RequestId(count);
                (Event::Request { id, class, tenant: None, key: None, budget: 1000.0, hint: None }, false)
            }
            Next::End(request, latency) => {
                let (request, outcome) = (RequestId(request), Outcome::Served);
                (Event::Ended { request, attempt: 0, latency, outcome, closed: true }, false)
            }
            Next::Timer(token) => (Event::Timer(token), true),
        };
        let start = Instant::now();
        module.handle(at as f64 / MS as f64, event, &mut out);
        let spent = start.elapsed().as_secs_f64() * 1e9;
        (events, round_events) = (events + 1, round_events + 1);
        (in_all, round) = (in_all + spent, round + spent);
        in_ticks += if tick { spent } else { 0.0 };
        if count % per_round == 0 && round_events >= per_round {
            rounds.push(round / round_events as f64);
            (round, round_events) = (0.0, 0);
        }
    }
    rounds.sort_by(f64::total_cmp);
    let event_ns = rounds.get(rounds.len() / 2).copied().unwrap_or(in_all / events.max(1) as f64);
    Cost {
        servers,
        requests: count,
        event_ns,
        request_ns: in_all / count.max(1) as f64,
        tick_part: in_ticks / in_all.max(1e-9),
    }
}
