//! Processes that stand still for a while, as on a machine that is suspended or short of processor time: what was told
//! meanwhile counts when they go on, and whoever left meanwhile has gone.
mod sockets;

use std::collections::BTreeSet;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

/// Processes in a play, each with an agent and backends of its own, and each stopped by itself.
const PROXIES: usize = 6;
/// Clients of each, far more than its backends have room for: most of their requests wait.
const CLIENTS: usize = 48;
/// A process stands still for this span, longer than a drain may be late.
const STANDSTILL: Duration = Duration::from_millis(800);
/// What goes out behind a standstill has gone out by then.
const SETTLED: Duration = Duration::from_millis(500);
/// Backends that are on the list besides, so that it comes in several pieces.
const FURTHER: usize = 300;

/// What came of one process that stood still.
struct Outcome {
    to_drained: Vec<String>,
    for_gone: Vec<String>,
}

/// The whole list: two backends, and many that drain.
fn whole(seq: u64, addresses: [SocketAddr; 2], first: &str) -> String {
    let mut hosts = vec![host("s-0", addresses[0], first, 0), host("s-1", addresses[1], "up", 0)];
    hosts.extend((0..FURTHER).map(|n| host(&format!("s-{}", n + 2), addresses[1], "draining", 0)));
    list(seq, true, &hosts)
}

/// A client that asks again and again. One that `leaves` is gone with its request under way once `stop` is set; returns that
/// request.
fn ask_until(stop: &AtomicBool, proxy: &Proxy, name: &str, leaves: bool) -> Option<String> {
    for n in 0.. {
        let mut client = Client::new(proxy);
        let id = format!("{name}-{n}");
        client.send(&page(&id));
        if !leaves {
            client.answer();
        }
        while leaves && !client.has_answer() {
            if stop.load(Ordering::SeqCst) {
                client.vanish();
                return Some(id);
            }
        }
        if stop.load(Ordering::SeqCst) {
            return None;
        }
    }
    None
}

fn play(number: usize) -> Outcome {
    let slow = |body: &'static str| {
        Backend::with(move |_| {
            thread::sleep(Duration::from_millis(40));
            Deed::Write(ok(body))
        })
    };
    let backends = [slow("one"), slow("two")];
    let addresses = [backends[0].address, backends[1].address];
    let discovery = Discovery::new();
    discovery.say(&whole(1, addresses, "up"));
    let proxy = Arc::new(Proxy::up(&discovery, &Setup { sockets: 1024, ..Setup::default() }));
    let stop = Arc::new(AtomicBool::new(false));
    let client = |c: usize| {
        let (proxy, stop) = (proxy.clone(), stop.clone());
        thread::spawn(move || ask_until(&stop, &proxy, &format!("p{number}-c{c}"), c % 2 == 1))
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    wait_for("load at both", || backends.iter().all(|b| b.seen().len() > 2 * CLIENTS));
    proxy.signal("-STOP");
    discovery.say(&whole(2, addresses, "draining"));
    stop.store(true, Ordering::SeqCst);
    thread::sleep(STANDSTILL);
    let before: Vec<usize> = backends.iter().map(|b| b.seen().len()).collect();
    proxy.signal("-CONT");
    let gone: BTreeSet<String> = clients.into_iter().filter_map(|c| c.join().expect("no panic")).collect();
    thread::sleep(SETTLED);
    let after = |n: usize| -> Vec<String> {
        backends[n].seen()[before[n]..].iter().map(|m| m.id().to_owned()).collect()
    };
    let for_gone = [after(0), after(1)].concat().into_iter().filter(|id| gone.contains(id)).collect();
    Outcome { to_drained: after(0), for_gone }
}

#[test]
fn what_was_told_and_who_left_while_a_process_stood_still_counts_when_it_goes_on() {
    let plays: Vec<_> = (0..PROXIES).map(|n| thread::spawn(move || play(n))).collect();
    let outcomes: Vec<Outcome> = plays.into_iter().map(|p| p.join().expect("no panic")).collect();
    let to_drained: Vec<&String> = outcomes.iter().flat_map(|o| &o.to_drained).collect();
    let for_gone: Vec<&String> = outcomes.iter().flat_map(|o| &o.for_gone).collect();
    println!("{} sent to a drained backend: {to_drained:?}", to_drained.len());
    println!("{} sent for clients that had left: {for_gone:?}", for_gone.len());
    assert!(to_drained.is_empty() && for_gone.is_empty());
}

/// Whether anything is read from the connections that come to a listener.
fn hears_anything(listener: &TcpListener) -> bool {
    listener.set_nonblocking(true).expect("a listener");
    while let Ok((mut stream, _)) = listener.accept() {
        stream.set_nonblocking(false).expect("a connection");
        stream.set_read_timeout(Some(SETTLED)).expect("a time-out");
        if stream.read(&mut [0; 64]).is_ok_and(|read| read > 0) {
            return true;
        }
    }
    false
}

/// A process dials a backend whose connection comes up while it stands still, and is told then that the backend drains.
/// Returns whether it wrote anything to it.
fn writes_to_one_that_came_up_late(number: usize) -> bool {
    let (listener, fill) = full_listener();
    let second = Backend::new(Deed::Write(ok("two")));
    let addresses = [listener.local_addr().expect("an address"), second.address];
    let discovery = Discovery::new();
    discovery.say(&list(1, true, &[host("s-0", addresses[0], "up", 0)]));
    let proxy = Proxy::up(&discovery, &Setup { dial_timeout: 4000, ..Setup::default() });
    let mut client = Client::new(&proxy);
    client.send(&submit(&format!("late-{number}"), "5", "body"));
    thread::sleep(Duration::from_millis(200));
    proxy.signal("-STOP");
    drop(fill);
    while listener.set_nonblocking(true).is_ok() && listener.accept().is_ok() {} // room in the queue
    discovery.say(&whole(2, addresses, "draining"));
    thread::sleep(Duration::from_millis(1800)); // a second try of the system's has come through by then
    proxy.signal("-CONT");
    let heard = hears_anything(&listener);
    drop(client);
    heard
}

#[test]
fn a_connection_that_comes_up_while_a_process_stands_still_is_not_written_to_once_its_backend_drains() {
    let plays: Vec<_> =
        (0..PROXIES).map(|n| thread::spawn(move || writes_to_one_that_came_up_late(n))).collect();
    let wrote = plays.into_iter().map(|p| p.join().expect("no panic")).filter(|wrote| *wrote).count();
    assert_eq!(wrote, 0, "of {PROXIES} processes");
}

/// How long a backend was told that its answer is waited for, by the request's id.
fn told_seconds(backend: &Backend, id: &str) -> f64 {
    let mut told = None;
    wait_for("the request at its backend", || {
        told = backend.seen().iter().find(|m| m.id() == id).and_then(|m| m.header("x-timeout")?.parse().ok());
        told.is_some()
    });
    told.expect("just seen")
}

/// What was sent while a process stood still, and by how many seconds its backend was told too much.
fn told_too_much(number: usize) -> Vec<(String, f64)> {
    let backend = Backend::new(Deed::Write(ok("well")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    let name = |kind: &str| format!("{kind}-{number}");
    let mut kept = Client::new(&proxy);
    assert_eq!(status(kept.ask(&submit(&name("before"), "2.0", "body"))), 200);
    let mut half = Client::new(&proxy);
    let text = submit(&name("half"), "2.0", "body");
    half.send(&text[..text.len() - 2]);
    thread::sleep(Duration::from_millis(100));
    proxy.signal("-STOP");
    let mut new = Client::new(&proxy);
    new.send(&submit(&name("new"), "2.0", "body"));
    kept.send(&submit(&name("kept"), "2.0", "body"));
    half.send(&text[text.len() - 2..]);
    let sent = Instant::now();
    thread::sleep(Duration::from_millis(600));
    let passed = sent.elapsed().as_secs_f64();
    proxy.signal("-CONT");
    ["new", "kept", "half"]
        .map(|kind| (name(kind), told_seconds(&backend, &name(kind)) - (2.0 - passed)))
        .into_iter()
        .collect()
}

/// A backend may be told this much more than its client has left, in seconds.
const DEADLINE_SLACK: f64 = 0.15;

#[test]
fn the_time_for_which_a_process_stood_still_is_told_to_no_backend() {
    let plays: Vec<_> = (0..PROXIES).map(|n| thread::spawn(move || told_too_much(n))).collect();
    let all: Vec<_> = plays.into_iter().flat_map(|p| p.join().expect("no panic")).collect();
    println!("{all:?}");
    let over: Vec<_> = all.iter().filter(|(_, too_much)| *too_much > DEADLINE_SLACK).collect();
    assert!(over.is_empty(), "{} of {}: {over:?}", over.len(), all.len());
}

/// SIGKILL comes so long after SIGTERM at the earliest, where the longest deadline is 3 s or more.
const LIFE_AFTER_SIGTERM: Duration = Duration::from_millis(3700);

#[test]
fn a_process_told_to_end_while_it_stood_still_has_answered_before_it_may_be_killed() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::new(Deed::Hold(held, ok("late")));
    let agents: Vec<Discovery> = (0..PROXIES).map(|_| Discovery::new()).collect();
    agents.iter().for_each(|a| a.say(&all_up(&[&backend])));
    let proxies: Vec<Proxy> = agents.iter().map(|a| Proxy::up(a, &Setup::default())).collect();
    let mut clients: Vec<Client> = proxies.iter().map(Client::new).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("held-{n}"), "5", "body"));
    }
    wait_for("the requests", || backend.seen().len() == PROXIES);
    proxies.iter().for_each(|p| p.signal("-STOP"));
    proxies.iter().for_each(Proxy::terminate);
    let told = Instant::now();
    thread::sleep(STANDSTILL);
    proxies.iter().for_each(|p| p.signal("-CONT"));
    let answered = clients.iter_mut().filter_map(|c| c.answer().map(|_| told.elapsed()));
    let times: Vec<Duration> = answered.collect();
    gate.open();
    println!("{times:?}");
    assert!(times.len() == PROXIES && times.iter().all(|t| *t < LIFE_AFTER_SIGTERM), "{times:?}");
}
