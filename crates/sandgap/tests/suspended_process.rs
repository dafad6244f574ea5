//! Processes that are stopped for a while, as on a suspended machine or one short of processor time: list changes and
//! client disconnects during that time must be in effect when the process continues.
mod sockets;

use std::collections::BTreeSet;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sockets::random::Random;
use sockets::*;

/// Processes in a run, each with an agent and backends of its own, and each stopped separately.
const PROXIES: usize = 6;
/// Clients of each process, far more than its backends have room for: most of their requests wait.
const CLIENTS: usize = 48;
/// How long a process is stopped; longer than a drain may be late.
const STOPPED_FOR: Duration = Duration::from_millis(800);
/// Time after which everything sent in consequence of the stop has been sent.
const SETTLED: Duration = Duration::from_millis(500);
/// Additional backends on the list, so that it arrives in several pieces.
const FURTHER: usize = 300;

/// What one process sent wrongly after it was stopped.
struct Outcome {
    /// Requests sent to a draining backend.
    to_drained: Vec<String>,
    /// Requests sent for clients that had disconnected.
    for_disconnected: Vec<String>,
}

/// The whole list: two backends, and many that drain.
fn whole(seq: u64, addresses: [SocketAddr; 2], first: &str) -> String {
    let mut hosts = vec![host("s-0", addresses[0], first, 0), host("s-1", addresses[1], "up", 0)];
    hosts.extend((0..FURTHER).map(|n| host(&format!("s-{}", n + 2), addresses[1], "draining", 0)));
    list(seq, true, &hosts)
}

/// Sends one request after another. If `disconnects`, the client resets its connection with a request in progress once
/// `stop` is set; returns the id of that request.
fn request_until(stop: &AtomicBool, proxy: &Proxy, name: &str, disconnects: bool) -> Option<String> {
    for n in 0.. {
        let mut client = Client::new(proxy);
        let id = format!("{name}-{n}");
        client.send(&page(&id));
        if !disconnects {
            client.answer();
        }
        while disconnects && !client.has_answer() {
            if stop.load(Ordering::SeqCst) {
                client.reset();
                return Some(id);
            }
        }
        if stop.load(Ordering::SeqCst) {
            return None;
        }
    }
    None
}

fn run(number: usize) -> Outcome {
    let slow = |body: &'static str| {
        Backend::with(move |_| {
            thread::sleep(Duration::from_millis(40));
            Action::Write(ok(body))
        })
    };
    let backends = [slow("one"), slow("two")];
    let addresses = [backends[0].address, backends[1].address];
    let discovery = Discovery::new();
    discovery.publish(&whole(1, addresses, "up"));
    let proxy = Arc::new(Proxy::up(&discovery, &Setup { sockets: 1024, ..Setup::default() }));
    let stop = Arc::new(AtomicBool::new(false));
    let client = |c: usize| {
        let (proxy, stop) = (proxy.clone(), stop.clone());
        thread::spawn(move || request_until(&stop, &proxy, &format!("p{number}-c{c}"), c % 2 == 1))
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    wait_for("load at both", || backends.iter().all(|b| b.requests().len() > 2 * CLIENTS));
    proxy.signal("-STOP");
    discovery.publish(&whole(2, addresses, "draining"));
    stop.store(true, Ordering::SeqCst);
    thread::sleep(STOPPED_FOR);
    let before: Vec<usize> = backends.iter().map(|b| b.requests().len()).collect();
    proxy.signal("-CONT");
    let disconnected: BTreeSet<String> =
        clients.into_iter().filter_map(|c| c.join().expect("no panic")).collect();
    thread::sleep(SETTLED);
    let after = |n: usize| -> Vec<String> {
        backends[n].requests()[before[n]..].iter().map(|m| m.id().to_owned()).collect()
    };
    let for_disconnected =
        [after(0), after(1)].concat().into_iter().filter(|id| disconnected.contains(id)).collect();
    Outcome { to_drained: after(0), for_disconnected }
}

#[test]
fn drains_and_disconnects_during_a_stop_are_in_effect_when_the_process_continues() {
    let runs: Vec<_> = (0..PROXIES).map(|n| thread::spawn(move || run(n))).collect();
    let outcomes: Vec<Outcome> = runs.into_iter().map(|p| p.join().expect("no panic")).collect();
    let to_drained: Vec<&String> = outcomes.iter().flat_map(|o| &o.to_drained).collect();
    let for_disconnected: Vec<&String> = outcomes.iter().flat_map(|o| &o.for_disconnected).collect();
    println!("{} sent to a drained backend: {to_drained:?}", to_drained.len());
    println!("{} sent for clients that had disconnected: {for_disconnected:?}", for_disconnected.len());
    assert!(to_drained.is_empty() && for_disconnected.is_empty());
}

/// Whether anything arrives on the connections in a listener's queue.
fn receives_anything(listener: &TcpListener) -> bool {
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

/// A process connects to a backend, and while the process is stopped the connection is established and a drain of the
/// backend arrives. Returns whether the process wrote anything to the backend.
fn writes_to_a_drained_backend(number: usize) -> bool {
    let (listener, fill) = full_listener();
    let second = Backend::new(Action::Write(ok("two")));
    let addresses = [listener.local_addr().expect("an address"), second.address];
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", addresses[0], "up", 0)]));
    let proxy = Proxy::up(&discovery, &Setup { dial_timeout: 4000, ..Setup::default() });
    let mut client = Client::new(&proxy);
    client.send(&submit(&format!("late-{number}"), "5", "body"));
    thread::sleep(Duration::from_millis(200));
    proxy.signal("-STOP");
    drop(fill);
    while listener.set_nonblocking(true).is_ok() && listener.accept().is_ok() {} // room in the queue
    discovery.publish(&whole(2, addresses, "draining"));
    thread::sleep(Duration::from_millis(1800)); // the system's second connection attempt has succeeded by then
    proxy.signal("-CONT");
    let received = receives_anything(&listener);
    drop(client);
    received
}

#[test]
fn a_connection_established_during_a_stop_is_not_written_to_once_its_backend_drains() {
    let runs: Vec<_> = (0..PROXIES).map(|n| thread::spawn(move || writes_to_a_drained_backend(n))).collect();
    let wrote = runs.into_iter().map(|p| p.join().expect("no panic")).filter(|wrote| *wrote).count();
    assert_eq!(wrote, 0, "of {PROXIES} processes");
}

/// The remaining time (X-Timeout, in seconds) that a backend received with a request.
fn remaining_seconds(backend: &Backend, id: &str) -> f64 {
    let mut remaining = None;
    wait_for("the request at its backend", || {
        remaining = backend
            .requests()
            .iter()
            .find(|m| m.id() == id)
            .and_then(|m| m.header("x-timeout")?.parse().ok());
        remaining.is_some()
    });
    remaining.expect("just seen")
}

/// Requests that arrived while a process was stopped, and by how many seconds the remaining time sent to the backend was
/// too long.
fn excess_remaining_time(number: usize) -> Vec<(String, f64)> {
    let backend = Backend::new(Action::Write(ok("well")));
    let discovery = Discovery::new();
    discovery.publish(&list_all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    let name = |kind: &str| format!("{kind}-{number}");
    let mut kept = Client::new(&proxy);
    assert_eq!(status(kept.request(&submit(&name("before"), "2.0", "body"))), 200);
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
        .map(|kind| (name(kind), remaining_seconds(&backend, &name(kind)) - (2.0 - passed)))
        .into_iter()
        .collect()
}

/// Tolerated excess of the time sent to a backend over what its client has left, in seconds.
const DEADLINE_SLACK: f64 = 0.15;

#[test]
fn the_time_sent_to_a_backend_excludes_the_time_for_which_the_process_was_stopped() {
    let runs: Vec<_> = (0..PROXIES).map(|n| thread::spawn(move || excess_remaining_time(n))).collect();
    let all: Vec<_> = runs.into_iter().flat_map(|p| p.join().expect("no panic")).collect();
    println!("{all:?}");
    let over: Vec<_> = all.iter().filter(|(_, excess)| *excess > DEADLINE_SLACK).collect();
    assert!(over.is_empty(), "{} of {}: {over:?}", over.len(), all.len());
}

/// Earliest time of SIGKILL after SIGTERM, where the longest deadline is 3 s or more.
const SIGKILL_DELAY: Duration = Duration::from_millis(3700);

#[test]
fn a_process_that_got_sigterm_while_stopped_answers_before_it_may_be_killed() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::new(Action::Hold(held, ok("late")));
    let agents: Vec<Discovery> = (0..PROXIES).map(|_| Discovery::new()).collect();
    agents.iter().for_each(|a| a.publish(&list_all_up(&[&backend])));
    let proxies: Vec<Proxy> = agents.iter().map(|a| Proxy::up(a, &Setup::default())).collect();
    let mut clients: Vec<Client> = proxies.iter().map(Client::new).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("held-{n}"), "5", "body"));
    }
    wait_for("the requests", || backend.requests().len() == PROXIES);
    proxies.iter().for_each(|p| p.signal("-STOP"));
    proxies.iter().for_each(Proxy::terminate);
    let terminated = Instant::now();
    thread::sleep(STOPPED_FOR);
    proxies.iter().for_each(|p| p.signal("-CONT"));
    let answered = clients.iter_mut().filter_map(|c| c.answer().map(|_| terminated.elapsed()));
    let times: Vec<Duration> = answered.collect();
    gate.open();
    println!("{times:?}");
    assert!(times.len() == PROXIES && times.iter().all(|t| *t < SIGKILL_DELAY), "{times:?}");
}

/// Longest time until an answer of an idle backend, beside stops of a tenth of a second; the clients wait for 5 s.
const LONGEST_ANSWER: Duration = Duration::from_millis(1500);

#[test]
fn requests_held_back_as_the_process_stood_still_are_sent_and_do_not_wait_until_their_time_is_over() {
    let seed = 7401;
    println!("seed {seed}");
    let backend = Backend::new(Action::Write(ok("well")));
    let discovery = Discovery::new();
    discovery.publish(&list_all_up(&[&backend]).replace("\"share\":4.0", "\"share\":100.0"));
    let proxy = Arc::new(Proxy::up(&discovery, &Setup { sockets: 1024, ..Setup::default() }));
    let stop = Arc::new(AtomicBool::new(false));
    let client = |c: usize| {
        let (proxy, stop) = (proxy.clone(), stop.clone());
        thread::spawn(move || slow_answers(&stop, &proxy, c))
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    let mut random = Random(seed);
    for _ in 0..20 {
        thread::sleep(Duration::from_millis(random.below(60)));
        proxy.signal("-STOP");
        thread::sleep(Duration::from_millis(60 + random.below(60)));
        proxy.signal("-CONT");
    }
    stop.store(true, Ordering::SeqCst);
    let slow: Vec<_> = clients.into_iter().flat_map(|c| c.join().expect("no panic")).collect();
    proxy.terminate();
    wait_for("the counters", || proxy.log_contains("events:"));
    assert!(proxy.log_contains("denial.head_outdated="), "no request was held back");
    assert!(slow.is_empty(), "{} answers: {slow:?}", slow.len());
}

/// Sends one request after another; returns those that were answered too late, or by anything but the backend.
fn slow_answers(stop: &AtomicBool, proxy: &Proxy, number: usize) -> Vec<(String, u16, Duration)> {
    let mut slow = Vec::new();
    let mut client = Client::new(proxy);
    for n in 0.. {
        let (id, began) = (format!("c{number}-{n}"), Instant::now());
        let status = status(client.request(&page(&id)));
        if status != 200 || began.elapsed() > LONGEST_ANSWER {
            slow.push((id, status, began.elapsed()));
        }
        if stop.load(Ordering::SeqCst) {
            break;
        }
    }
    slow
}
