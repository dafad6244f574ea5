//! A client that has gone, at each stage of its request: nothing begins for it any more, however it left and whatever
//! it left behind. Clients that have gone are told from those that wait by their end alone: one that ends its sending
//! has gone.
mod sockets;

use std::io::Read;
use std::time::{Duration, Instant};

use sockets::full::Full;
use sockets::*;

/// What a client may have sent behind its request.
fn strays() -> Vec<(&'static str, String)> {
    vec![
        ("nothing", String::new()),
        ("an empty line", "\r\n".into()),
        ("half a head", "GET /page?sid=1 HTTP/1.1\r\nHo".into()),
        ("a whole request", page("r-behind")),
        ("more than is kept", "x".repeat(10_000)),
        ("a flood", "x".repeat(1 << 20)),
    ]
}

#[test]
fn one_that_left_while_it_waited_is_seen_to_have_gone_behind_whatever_it_left_unread() {
    let full = Full::new();
    for (n, (what, stray)) in strays().into_iter().enumerate() {
        let mut client = Client::new(&full.proxy);
        client.send(&(submit(&format!("r-gone-{n}"), "25", "x") + &stray));
        client.leave();
        assert!(client.is_closed(), "{what}: no answer is owed, and its end is seen at once");
    }
    let seen = full.finish();
    assert!(!seen.iter().any(|id| id.contains("gone") || id == "r-behind"), "{seen:?}");
}

#[test]
fn one_that_is_reset_while_it_waits_has_gone_too() {
    let full = Full::new();
    let before = full.proxy.descriptors();
    for (n, (_, stray)) in strays().into_iter().enumerate() {
        let mut client = Client::new(&full.proxy);
        client.send(&(submit(&format!("r-gone-{n}"), "25", "x") + &stray));
        client.vanish();
    }
    wait_for("their ends", || full.proxy.descriptors() <= before);
    let seen = full.finish();
    assert!(!seen.iter().any(|id| id.contains("gone")), "{seen:?}");
}

#[test]
fn many_that_leave_in_one_burst_have_all_gone() {
    let full = Full::new();
    let mut clients: Vec<Client> = (0..60).map(|_| Client::new(&full.proxy)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&(submit(&format!("r-gone-{n}"), "25", "x") + if n % 2 == 0 { "GET" } else { "" }));
    }
    assert!(full.proxy.is_up());
    clients.iter().for_each(Client::leave);
    assert!(clients.iter_mut().all(Client::is_closed));
    let seen = full.finish();
    assert!(!seen.iter().any(|id| id.contains("gone")), "{seen:?}");
}

#[test]
fn what_was_sent_behind_a_request_is_answered_in_its_turn_by_one_that_stays() {
    // What is read ahead to see an end must not be lost, nor be read twice.
    let backend = Backend::with(|request| Deed::Write(ok(request.id())));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    for size in [1, 2, 5, 20] {
        let mut client = Client::new(&proxy);
        let ids: Vec<String> = (0..size).map(|n| format!("r-{size}-{n}")).collect();
        client.send(&ids.iter().map(|id| page(id)).collect::<String>());
        for id in &ids {
            assert_eq!(client.answer().expect("an answer").text(), *id);
        }
    }
    let mut client = Client::new(&proxy);
    client.send(&(page("r-flood") + &"x".repeat(40_000)));
    let answer = client.answer().expect("its own answer");
    assert_eq!(answer.text(), "r-flood");
}

#[test]
fn nothing_is_written_for_one_that_left_while_the_connection_came_up() {
    for stray in ["", "GET /half"] {
        let (slow, full) = full_listener();
        let discovery = Discovery::new();
        discovery.say(&list(1, true, &[host("s-0", slow.local_addr().unwrap(), "up", 0)]));
        let patient = Setup { dial_timeout: 30_000, deadline: 40_000, ..Setup::default() };
        let proxy = Proxy::up(&discovery, &patient);
        let mut client = Client::new(&proxy);
        client.send(&(submit("r-gone", "40", "x") + stray));
        assert!(proxy.is_up()); // by now its connection has most likely been begun
        client.leave();
        assert!(client.is_closed(), "its end is seen");
        full.iter().for_each(|_| drop(slow.accept().unwrap()));
        let (mut connection, _) = slow.accept().unwrap();
        connection.set_read_timeout(Some(LIMIT)).unwrap();
        let mut bytes = Vec::new();
        let _ = connection.read_to_end(&mut bytes); // an end or a reset
        assert!(bytes.is_empty(), "{}", String::from_utf8_lossy(&bytes));
    }
}

#[test]
fn nothing_further_begins_for_one_that_left_between_two_attempts() {
    let gate = Gate::default();
    let held = gate.clone();
    let full = empty("503 Busy\r\nX-Not-Processed: 1");
    let first = Backend::with(move |_| Deed::Hold(held.clone(), full.clone()));
    let second = Backend::new(Deed::Write(ok("two")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&first]));
    let proxy = Proxy::up(&discovery, &Setup { deadline: 25_000, ..Setup::default() });
    let mut client = Client::new(&proxy);
    client.send(&(submit("r-gone", "25", "x") + "GET /ha"));
    wait_for("the first attempt", || !first.seen().is_empty());
    discovery.say(&list(2, false, &[host("s-1", second.address, "up", 0)]));
    client.leave();
    assert!(client.is_closed());
    gate.open();
    wait_for("another's answer", || {
        Client::new(&proxy).ask(&page("r-other")).is_some_and(|m| m.text() == "two")
    });
    assert!(second.seen().iter().all(|m| m.id() == "r-other"));
}

#[test]
fn a_repeat_that_comes_up_when_it_is_no_longer_dropped_is_not_written() {
    // The first attempt is cut, so that it may have run; the second's connection takes longer than repeats are dropped.
    let (came, go) = (Gate::default(), Gate::default());
    let (comes, goes) = (came.clone(), go.clone());
    let cut = ok("0123456789").replace("0123456789", "0");
    let first = Backend::with(move |_| {
        comes.open();
        goes.wait();
        Deed::WriteAndClose(cut.clone())
    });
    let (slow, full) = full_listener();
    let other = Backend::new(Deed::Write(ok("other")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&first]));
    let setup = Setup { dial_timeout: 30_000, deadline: 40_000, window: 3000, ..Setup::default() };
    let proxy = Proxy::up(&discovery, &setup);
    let mut client = Client::new(&proxy);
    client.send(&booking("r-1", "40"));
    came.wait();
    let window = Instant::now() + Duration::from_millis(3000);
    let elsewhere = host("s-2", other.address, "up", 0).replace("\"block\":1", "\"block\":2");
    discovery.say(&list(2, false, &[host("s-1", slow.local_addr().unwrap(), "up", 0), elsewhere]));
    let mut n = 0;
    wait_for("the news", || {
        n += 1;
        let quick = page(&format!("r-n{n}")).replace("X-Timeout: 5", "X-Timeout: 0.3");
        Client::new(&proxy).ask(&quick).is_some_and(|m| m.text() == "other")
    });
    go.open();
    std::thread::sleep(window.saturating_duration_since(Instant::now()));
    full.iter().for_each(|_| drop(slow.accept().unwrap()));
    // Whatever comes up now, quick ones among it, brings no booking.
    let slow = std::thread::spawn(move || {
        let mut all = Vec::new();
        slow.set_nonblocking(true).unwrap();
        let end = Instant::now() + Duration::from_secs(2);
        while Instant::now() < end {
            match slow.accept() {
                Ok((connection, _)) => all.push(connection),
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        }
        let read = |mut c: std::net::TcpStream| {
            c.set_nonblocking(false).unwrap();
            c.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
            let mut bytes = Vec::new();
            let _ = c.read_to_end(&mut bytes);
            String::from_utf8_lossy(&bytes).into_owned()
        };
        all.into_iter().map(read).collect::<Vec<_>>()
    });
    let answer = client.answer().expect("an answer");
    let wrote = slow.join().expect("no panic");
    assert!(!wrote.iter().any(|w| w.contains("booking")), "{wrote:?}");
    assert_eq!(answer.status(), 502, "it may have run, and nobody drops its repeat any more");
    assert!(other.seen().iter().all(|m| m.id() != "r-1"), "another cell knows nothing of it");
}
