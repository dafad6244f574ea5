//! Processes that stand still for a while, as on a machine that is suspended or short of processor time: what was told
//! meanwhile counts when they go on, and whoever left meanwhile has gone.
mod sockets;

use std::collections::BTreeSet;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

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
