//! Drains in the first moments of a process, whose list is an old one, and in the last ones, between SIGTERM and its end.
mod sockets;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

/// Processes of one fleet, each with an agent of its own.
const PROXIES: usize = 6;
/// Clients of each from its first moment on.
const CLIENTS: usize = 8;
/// A drain is acted on within this span of being told.
const DRAIN_GRACE: Duration = Duration::from_millis(550);

fn whole(seq: u64, backends: &[Backend; 2], first: &str) -> String {
    let line = |n: usize, health| host(&format!("s-{n}"), backends[n].address, health, 0);
    list(seq, true, &[line(0, first), line(1, "up")])
}

/// Starts processes whose agents have a drain that their own lists lack and answer `late_ms` after they are asked, sends
/// each requests from its first moment on, and returns what came to the draining backend.
fn sent_to_drained_at_start(late_ms: usize) -> Vec<String> {
    let backends = quick_and_slower();
    let known = whole(1, &backends, "up");
    let agent = || {
        let agent = Discovery::new();
        agent.say(&whole(2, &backends, "draining"));
        agent.answer_late(late_ms);
        agent
    };
    let agents: Vec<Discovery> = (0..PROXIES).map(|_| agent()).collect();
    let setup = |listen| Setup { known: known.clone(), listen: Some(listen), ..Setup::default() };
    let held: Vec<_> = (0..PROXIES).map(|_| held_address()).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..PROXIES * CLIENTS)
        .map(|n| {
            let (address, stop) = (held[n % PROXIES].0, stop.clone());
            thread::spawn(move || {
                for request in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    // Nobody listens there until the process does; a front that has not noticed its end sends on.
                    let Ok(stream) = std::net::TcpStream::connect(address) else {
                        thread::sleep(Duration::from_millis(1));
                        continue;
                    };
                    Client::on(stream).ask(&page(&format!("early-{n}-{request}")));
                }
            })
        })
        .collect();
    let proxies: Vec<Proxy> =
        agents.iter().zip(&held).map(|(agent, (address, _))| Proxy::start(agent, &setup(*address))).collect();
    wait_for("answers", || backends[1].seen().len() > 20 * PROXIES);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().expect("no panic"));
    drop(proxies);
    backends[0].seen().iter().map(|m| m.id().to_owned()).collect()
}

#[test]
fn what_the_agent_has_counts_from_a_process_s_first_moment() {
    let sent = sent_to_drained_at_start(100);
    assert!(sent.is_empty(), "{} requests at a draining backend: {sent:?}", sent.len());
}

#[test]
fn an_agent_that_is_slow_at_a_start_is_waited_for() {
    let sent = sent_to_drained_at_start(700);
    assert!(sent.is_empty(), "{} requests at a draining backend: {sent:?}", sent.len());
}

#[test]
fn a_drain_told_between_sigterm_and_the_end_is_kept() {
    let slow = |body: &'static str| {
        Backend::with(move |_| {
            thread::sleep(Duration::from_millis(40));
            Deed::Write(ok(body))
        })
    };
    let backends = [slow("one"), slow("two")];
    let agents: Vec<Discovery> = (0..PROXIES).map(|_| Discovery::new()).collect();
    agents.iter().for_each(|a| a.say(&whole(1, &backends, "up")));
    let setup = Setup { sockets: 1024, ..Setup::default() };
    let mut proxies: Vec<Proxy> = agents.iter().map(|a| Proxy::up(a, &setup)).collect();
    // Far more than the backends have room for: they wait, and go out one after the other until the end.
    let mut clients: Vec<Client> = Vec::new();
    for (p, proxy) in proxies.iter().enumerate() {
        for c in 0..60 {
            let mut client = Client::new(proxy);
            client.send(&page(&format!("last-{p}-{c}")));
            clients.push(client);
        }
    }
    wait_for("load at both", || backends.iter().all(|b| b.seen().len() > 2 * PROXIES));
    proxies.iter().for_each(Proxy::terminate);
    thread::sleep(Duration::from_millis(50));
    agents.iter().for_each(|a| a.say(&whole(2, &backends, "draining")));
    let told = Instant::now();
    thread::sleep(DRAIN_GRACE.saturating_sub(told.elapsed()));
    let before = backends[0].seen().len();
    let answered = clients.iter_mut().filter_map(Client::answer).count();
    proxies.iter_mut().for_each(|p| assert!(p.wait().success()));
    println!("{answered} of {} answered, {} at the other one", clients.len(), backends[1].seen().len());
    assert_eq!(answered, clients.len(), "each has its answer");
    assert_eq!(backends[0].seen().len() - before, 0, "requests at a draining backend");
}
