//! Benchmark of the decision module by the number of servers: it gets requests and their ends at a steady load,
//! without a proxy around it.

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

/// The cost for one number of servers.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// Number of servers.
    pub servers: u32,
    /// Number of requests that were decided.
    pub requests: u64,
    /// Wall time for each event given to the module, ticks included, ns; the median over the rounds.
    pub event_ns: f64,
    /// Wall time of all events over the number of requests, ns.
    pub request_ns: f64,
    /// Fraction of the time that ticks take.
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
            second_copies: false,
            may_cancel: true,
        },
    }
}

enum LoadEvent {
    Arrive,
    End(u64, f64),
    Timer(u64),
}

/// Times the module under a load of 60% of the capacity of the servers, 4 cores each. The load grows with the number of
/// servers up to `max_rate` requests a second, so that ticks have a realistic share.
pub fn measure(servers: u32, requests: u64, max_rate: f64) -> Cost {
    let mut rng = stream(1, "cost", u64::from(servers));
    let mut balancer = Balancer::new(settings(), 1);
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
    let mut calendar: Calendar<LoadEvent> = Calendar::default();
    balancer.handle(0.0, Event::List { scope: Scope::Full, entries }, &mut out);
    calendar.push(0, LoadEvent::Arrive);
    let rate = (f64::from(servers) * 4.0 * 0.6 / 0.020).min(max_rate);
    let (mut count, mut events) = (0u64, 0u64);
    let (mut round_means, mut tick_ns, mut total_ns) = (Vec::new(), 0.0, 0.0);
    let per_round = (requests / 10).max(1);
    let (mut round_ns, mut round_events) = (0.0, 0u64);
    loop {
        for action in out.drain(..) {
            match action {
                Action::Send { request, .. } => {
                    let service_ms = 20.0 * (0.5 + rng.random::<f64>());
                    calendar.push(calendar.now() + nanos(service_ms), LoadEvent::End(request.0, service_ms));
                }
                Action::Timer { token, at } => {
                    calendar.push((nanos(at) as Nanos).max(calendar.now()), LoadEvent::Timer(token))
                }
                _ => {}
            }
        }
        let Some((at, next)) = calendar.pop() else { break };
        let (event, tick) = match next {
            LoadEvent::Arrive => {
                if count >= requests {
                    break;
                }
                let step: f64 = Exp1.sample(&mut rng);
                calendar.push(at + nanos(step * 1000.0 / rate), LoadEvent::Arrive);
                count += 1;
                let class = ClassId(usize::from(rng.random::<f64>() < 0.4));
                let id = RequestId(count);
                (Event::Request { id, class, tenant: None, key: None, budget: 1000.0, hint: None }, false)
            }
            LoadEvent::End(request, latency) => {
                let (request, outcome) = (RequestId(request), Outcome::Served);
                (Event::Ended { request, attempt: 0, latency, outcome, closed: true }, false)
            }
            LoadEvent::Timer(token) => (Event::Timer(token), true),
        };
        let start = Instant::now();
        balancer.handle(at as f64 / MS as f64, event, &mut out);
        let elapsed_ns = start.elapsed().as_secs_f64() * 1e9;
        (events, round_events) = (events + 1, round_events + 1);
        (total_ns, round_ns) = (total_ns + elapsed_ns, round_ns + elapsed_ns);
        tick_ns += if tick { elapsed_ns } else { 0.0 };
        if count % per_round == 0 && round_events >= per_round {
            round_means.push(round_ns / round_events as f64);
            (round_ns, round_events) = (0.0, 0);
        }
    }
    round_means.sort_by(f64::total_cmp);
    let event_ns = round_means.get(round_means.len() / 2).copied().unwrap_or(total_ns / events.max(1) as f64);
    Cost {
        servers,
        requests: count,
        event_ns,
        request_ns: total_ns / count.max(1) as f64,
        tick_part: tick_ns / total_ns.max(1e-9),
    }
}
