//! Drains just after a process has started with an outdated list, and during shutdown, between SIGTERM and its exit.
mod sockets;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

/// Processes of one fleet, each with an agent of its own.
const PROXIES: usize = 6;
/// Clients of each process from its start on.
const CLIENTS: usize = 8;
/// A drain takes effect within this time of being published.
const DRAIN_GRACE: Duration = Duration::from_millis(550);

fn whole(seq: u64, backends: &[Backend; 2], first: &str) -> String {
    let line = |n: usize, health| host(&format!("s-{n}"), backends[n].address, health, 0);
    list(seq, true, &[line(0, first), line(1, "up")])
}

/// Starts processes whose agents have a drain that the processes' known lists lack and answer calls `late_ms` late, sends
/// each process requests from its start on, and returns the ids of those that reached the draining backend.
fn sent_to_drained_at_start(late_ms: usize) -> Vec<String> {
    let backends = fast_and_slow_backends();
    let known = whole(1, &backends, "up");
    let agent = || {
        let agent = Discovery::new();
        agent.publish(&whole(2, &backends, "draining"));
        agent.delay_answers(late_ms);
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
                    // Connections fail until the process listens; a front that has not noticed its absence goes on sending.
                    let Ok(stream) = std::net::TcpStream::connect(address) else {
                        thread::sleep(Duration::from_millis(1));
                        continue;
                    };
                    Client::from_stream(stream).request(&page(&format!("early-{n}-{request}")));
                }
            })
        })
        .collect();
    let proxies: Vec<Proxy> =
        agents.iter().zip(&held).map(|(agent, (address, _))| Proxy::start(agent, &setup(*address))).collect();
    wait_for("answers", || backends[1].requests().len() > 20 * PROXIES);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().expect("no panic"));
    drop(proxies);
    backends[0].requests().iter().map(|m| m.id().to_owned()).collect()
}

#[test]
fn a_drain_the_agent_has_is_kept_from_the_process_s_start() {
    let sent = sent_to_drained_at_start(100);
    assert!(sent.is_empty(), "{} requests at a draining backend: {sent:?}", sent.len());
}

#[test]
fn the_process_waits_for_a_slow_agent_at_its_start() {
    let sent = sent_to_drained_at_start(700);
    assert!(sent.is_empty(), "{} requests at a draining backend: {sent:?}", sent.len());
}

#[test]
fn a_drain_published_between_sigterm_and_exit_is_kept() {
    let slow = |body: &'static str| {
        Backend::with(move |_| {
            thread::sleep(Duration::from_millis(40));
            Action::Write(ok(body))
        })
    };
    let backends = [slow("one"), slow("two")];
    let agents: Vec<Discovery> = (0..PROXIES).map(|_| Discovery::new()).collect();
    agents.iter().for_each(|a| a.publish(&whole(1, &backends, "up")));
    let setup = Setup { sockets: 1024, ..Setup::default() };
    let mut proxies: Vec<Proxy> = agents.iter().map(|a| Proxy::up(a, &setup)).collect();
    // Far more requests than the backends have room for: they wait and are sent one after the other until the exit.
    let mut clients: Vec<Client> = Vec::new();
    for (p, proxy) in proxies.iter().enumerate() {
        for c in 0..60 {
            let mut client = Client::new(proxy);
            client.send(&page(&format!("last-{p}-{c}")));
            clients.push(client);
        }
    }
    wait_for("load at both", || backends.iter().all(|b| b.requests().len() > 2 * PROXIES));
    proxies.iter().for_each(Proxy::terminate);
    thread::sleep(Duration::from_millis(50));
    agents.iter().for_each(|a| a.publish(&whole(2, &backends, "draining")));
    let published = Instant::now();
    thread::sleep(DRAIN_GRACE.saturating_sub(published.elapsed()));
    let before = backends[0].requests().len();
    let answered = clients.iter_mut().filter_map(Client::answer).count();
    proxies.iter_mut().for_each(|p| assert!(p.wait().success()));
    println!("{answered} of {} answered, {} at the other one", clients.len(), backends[1].requests().len());
    assert_eq!(answered, clients.len(), "each request is answered");
    assert_eq!(backends[0].requests().len() - before, 0, "requests at a draining backend");
}
