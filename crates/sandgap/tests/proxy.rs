//! The proxy on loopback sockets, one failure a test.
mod sockets;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sockets::*;

/// A proxy with these backends, all up.
fn proxy_with(backends: &[&Backend]) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.say(&all_up(backends));
    let proxy = Proxy::up(&discovery, &Setup::default());
    (discovery, proxy)
}

#[test]
fn a_request_goes_on_unchanged_and_so_does_the_answer() {
    let backend = Backend::new(Deed::Write(ok("the answer")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut client = Client::new(&proxy);
    let request = "POST /booking/7?sid=a%20b&x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: r-1\r\n\
        X-Tenant-Id: acme\r\nX-Timeout: 3.5\r\nIdempotency-Key: k-1\r\nConnection: keep-alive, X-Hop\r\n\
        X-Hop: 1\r\nContent-Length: 4\r\n\r\nbody";
    let answer = client.ask(request).expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "the answer"));
    assert_eq!(answer.header("x-own"), Some("kept"));
    let seen = &backend.seen()[0];
    assert_eq!(seen.first, "POST /booking/7?sid=a%20b&x=1 HTTP/1.1");
    assert_eq!(
        (seen.id(), seen.header("idempotency-key"), seen.text().as_str()),
        ("r-1", Some("k-1"), "body")
    );
    assert_eq!((seen.header("host"), seen.header("x-hop")), (Some("origin.svc"), None));
    let left: f64 = seen.header("x-timeout").expect("a time").parse().expect("a number");
    assert!(left > 0.0 && left <= 3.5, "{left}");
    // The connections on both sides are used again.
    assert_eq!(status(client.ask(&page("r-2"))), 200);
    assert_eq!(backend.seen().len(), 2);
    assert_eq!(backend.came.load(std::sync::atomic::Ordering::SeqCst), 1);
}

#[test]
fn it_is_up_only_once_it_has_the_list() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    let proxy = Proxy::start(&discovery, &Setup::default());
    wait_for("the watch", || !discovery.asked.lock().unwrap().is_empty());
    assert!(!proxy.is_up());
    discovery.say(&all_up(&[&backend]));
    wait_for("/up", || proxy.is_up());
}

#[test]
fn without_discovery_it_serves_from_the_list_it_remembers() {
    let backend = Backend::new(Deed::Write(ok("")));
    let mut discovery = Discovery::new();
    let (nobody, _held) = dead_address();
    discovery.address = nobody;
    let proxy = Proxy::up(&discovery, &Setup { known: all_up(&[&backend]), ..Setup::default() });
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
}

#[test]
fn broken_and_stale_news_is_survived_and_a_watch_resumes() {
    let (old, new) = (Backend::new(Deed::Write(ok("old"))), Backend::new(Deed::Write(ok("new"))));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&old]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    // A broken line may hide a change: the watch is taken up again from the last good one.
    discovery.say(r#"{"seq":2,"whole":false,"hosts":"#);
    let resumed = || discovery.asked.lock().unwrap().iter().any(|m| m.first.contains("watch=1&after=1 "));
    wait_for("a watch that resumes", resumed);
    // An odd entry hides nothing of the rest.
    let odd = [r#"{"host":3}"#, "null", r#"{"host":"s-odd","dial":"nowhere","health":"up","born_ms":"x"}"#];
    let mut lines: Vec<String> = odd.iter().map(|o| o.to_string()).collect();
    lines.push(host("s-new", new.address, "up", 0));
    discovery.say(&list(5, true, &lines));
    let text = |id: &str| Client::new(&proxy).ask(&page(id)).expect("an answer").text();
    wait_for("the new list", || text("r-1") == "new");
    discovery.say(&list(4, true, &[host("s-0", old.address, "up", 0)]));
    wait_for("a line about it", || proxy.log.lock().unwrap().contains("stale"));
    assert_eq!(text("r-2"), "new");
}

#[test]
fn a_drain_told_behind_a_broken_line_counts_while_no_new_watch_comes_up() {
    let (one, two) = (Backend::new(Deed::Write(ok("one"))), Backend::new(Deed::Write(ok("two"))));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&one, &two]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    discovery.hush(); // whoever asks anew hears nothing
    discovery.say(r#"{"seq":2,"whole":false,"hosts":"#);
    wait_for("another watch", || discovery.asked.lock().unwrap().len() > 1);
    discovery.say(&list(3, false, &[host("s-0", one.address, "draining", 0)]));
    let text = |id: &str| Client::new(&proxy).ask(&page(id)).expect("an answer").text();
    let mut n = 0;
    wait_for("the drain's effect", || {
        n += 1;
        (0..20).all(|i| text(&format!("r-{n}-{i}")) == "two")
    });
}

#[test]
fn a_request_whose_last_bytes_crossed_the_end_of_its_time_is_answered() {
    // The process stands still while both come: the end of the time for a head, and the head's last bytes.
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut clients: Vec<Client> = (0..10).map(|_| Client::new(&proxy)).collect();
    let texts: Vec<String> = (0..10).map(|n| page(&format!("r-{n}"))).collect();
    clients.iter_mut().zip(&texts).for_each(|(client, text)| client.send(&text[..text.len() / 2]));
    assert!(proxy.is_up()); // what was sent before has most likely been read
    proxy.signal("-STOP");
    clients.iter_mut().zip(&texts).for_each(|(client, text)| client.send(&text[text.len() / 2..]));
    std::thread::sleep(Duration::from_millis(2600)); // a head may take 2.2 s
    proxy.signal("-CONT");
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(status(client.answer()), 200, "{n}");
    }
}

#[test]
fn bad_requests_get_a_plain_4xx_and_reach_no_backend() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, mut proxy) = proxy_with(&[&backend]);
    let good = submit("r-1", "5", "body");
    let cases = [
        (good.replace("/submit", "/nothing"), 404),
        (good.replace("POST", "GET"), 405),
        (page("r-1").replace("GET", "POST"), 405),
        (good.replace("X-Request-ID: r-1\r\n", ""), 400),
        (good.replace("X-Tenant-Id: acme\r\n", ""), 400),
        (good.replace("acme", "nobody"), 400),
        (good.replace("X-Timeout: 5\r\n", ""), 400),
        (good.replace("X-Timeout: 5", "X-Timeout: soon"), 400),
        (good.replace("X-Timeout: 5", "X-Timeout: -1"), 400),
        (good.replace("X-Timeout: 5", "X-Timeout: inf"), 400),
        (good.replace("X-Timeout: 5", "X-Timeout: 5\r\nX-Timeout: 6"), 400),
        (good.replace("X-Timeout: 5", "X-Timeout: 5\r\nX-Cost: much"), 400),
        (good.replace("Host: x", "Host: x\r\nIdempotency-Key: k"), 400),
        (good.replace("/submit", "/booking"), 400),
        (good.replace("Host: x", "no header"), 400),
        ("\u{1}\u{2}\u{3}\r\n\r\n".into(), 400),
        (submit("r-1", "5", "").replace("Length: 0", &format!("Length: {}", (32 << 20) + 1)), 413),
    ];
    for (request, wanted) in &cases {
        assert_eq!(status(Client::new(&proxy).ask(request)), *wanted, "{:.200}", request);
    }
    assert!(backend.seen().is_empty());
    let largest = "x".repeat(64 << 10);
    assert_eq!(status(Client::new(&proxy).ask(&submit("r-2", "1e300", &largest))), 200);
    assert_eq!(backend.seen()[0].body.len(), 64 << 10);
    assert!(proxy.runs());
}

/// How two backends of which both do the same leave a request that must not run twice.
fn unsafe_twice(answer: Deed) -> (u16, usize) {
    let (one, two) = (Backend::new(answer.clone()), Backend::new(answer));
    let (_discovery, proxy) = proxy_with(&[&one, &two]);
    let status = status(Client::new(&proxy).ask(&submit("r-1", "2", "x")));
    (status, one.seen().len() + two.seen().len())
}

#[test]
fn what_may_have_run_is_neither_sent_again_nor_refused() {
    let short = ok("0123456789").replace("0123456789", "01234");
    for answer in [
        Deed::Write(empty("500 Oops")),
        // 503 and 504 prove nothing by themselves.
        Deed::Write(empty("503 Busy")),
        Deed::Write(empty("504 Late")),
        Deed::Write(empty("503 Busy\r\nX-Not-Processed: 0")),
        Deed::Write(empty("302 Elsewhere")),
        // Half a body is no answer, and neither is one whose end nobody can tell.
        Deed::WriteAndClose(short),
        Deed::WriteAndClose("HTTP/1.1 200 OK\r\n\r\nperhaps all".into()),
        Deed::WriteAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n".into()),
        Deed::WriteAndClose("garbage \u{1}\r\n\r\n".into()),
        Deed::WriteAndClose(String::new()),
    ] {
        let text = match &answer {
            Deed::Write(text) | Deed::WriteAndClose(text) | Deed::Hold(_, text) => text.clone(),
        };
        assert_eq!(unsafe_twice(answer), (502, 1), "{text:.200}");
    }
}

#[test]
fn what_surely_never_ran_is_tried_elsewhere_and_may_be_refused() {
    for status in ["503 Busy", "504 Late"] {
        let full = Deed::Write(empty(&format!("{status}\r\nX-Not-Processed: 1")));
        assert_eq!(unsafe_twice(full), (503, 2));
    }
}

#[test]
fn a_cut_answer_to_what_may_be_repeated_is_made_good_elsewhere() {
    let short = Deed::WriteAndClose(ok("0123456789").replace("0123456789", "01234"));
    let (cut, whole) = (Backend::new(short), Backend::new(Deed::Write(ok("0123456789"))));
    let (_discovery, proxy) = proxy_with(&[&cut, &whole]);
    let mut n = 0;
    wait_for("the one that cuts", || {
        n += 1;
        let answer = Client::new(&proxy).ask(&page(&format!("r-{n}"))).expect("an answer");
        assert_eq!((answer.status(), answer.text().as_str()), (200, "0123456789"));
        !cut.seen().is_empty()
    });
}

#[test]
fn a_backend_that_refuses_or_never_takes_connections_costs_nothing() {
    // Nobody listens at the one; the other's accept queue is full, so that connections never come up.
    let (dead, _held) = dead_address();
    let (mute, _full) = full_listener();
    let at = mute.local_addr().unwrap();
    for address in [dead, at] {
        let backend = Backend::new(Deed::Write(ok("")));
        let discovery = Discovery::new();
        let hosts = [host("s-0", address, "up", 0), host("s-1", backend.address, "up", 0)];
        discovery.say(&list(1, true, &hosts));
        let proxy = Proxy::up(&discovery, &Setup::default());
        for n in 0..6 {
            let answer = Client::new(&proxy).ask(&submit(&format!("r-{n}"), "5", "x"));
            assert_eq!(status(answer), 200, "request {n} at {address}");
        }
    }
}

#[test]
fn nothing_new_goes_to_a_backend_that_drains_is_gone_or_has_moved() {
    let (one, two) = (Backend::new(Deed::Write(ok("one"))), Backend::new(Deed::Write(ok("two"))));
    let (discovery, proxy) = proxy_with(&[&one]);
    let text = |id: &str| Client::new(&proxy).ask(&page(id)).map(|m| m.text());
    assert_eq!(text("r-0").as_deref(), Some("one"));
    let mut seq = 1;
    let mut tell = |lines: &[String], whole: bool| {
        seq += 1;
        discovery.say(&list(seq, whole, lines));
    };
    // Drain: the pooled connection goes at once, and later requests go to the other.
    tell(&[host("s-0", one.address, "draining", 0), host("s-1", two.address, "up", 0)], false);
    wait_for("the pooled connections' end", || one.came() > 0 && one.ended() == one.came());
    let before = one.seen().len();
    (0..5).for_each(|n| assert_eq!(text(&format!("r-a{n}")).as_deref(), Some("two")));
    assert_eq!(one.seen().len(), before);
    // Gone from a whole list.
    let three = Backend::new(Deed::Write(ok("three")));
    tell(&[host("s-2", three.address, "up", 0)], true);
    wait_for("the pooled connections' end", || two.came() > 0 && two.ended() == two.came());
    let before = two.seen().len();
    (0..5).for_each(|n| assert_eq!(text(&format!("r-b{n}")).as_deref(), Some("three")));
    assert_eq!(two.seen().len(), before);
    // Restarted at another address.
    let four = Backend::new(Deed::Write(ok("four")));
    tell(&[host("s-2", four.address, "up", 0)], false);
    wait_for("the pooled connections' end", || three.came() > 0 && three.ended() == three.came());
    (0..5).for_each(|n| assert_eq!(text(&format!("r-c{n}")).as_deref(), Some("four")));
}

#[test]
fn a_drain_told_while_the_connection_comes_up_still_counts() {
    let (slow, full) = full_listener();
    let discovery = Discovery::new();
    discovery.say(&list(1, true, &[host("s-0", slow.local_addr().unwrap(), "up", 0)]));
    let patient = Setup { dial_timeout: 30_000, deadline: 40_000, ..Setup::default() };
    let proxy = Proxy::up(&discovery, &patient);
    let mut first = Client::new(&proxy);
    first.send(&submit("r-first", "40", "x"));
    assert!(proxy.is_up()); // by now the first has most likely been read, and its connection begun
    let other = Backend::new(Deed::Write(ok("other")));
    let gone = host("s-0", slow.local_addr().unwrap(), "draining", 0);
    discovery.say(&list(2, false, &[gone, host("s-1", other.address, "up", 0)]));
    // Nobody else can serve these before the drain has been told.
    let mut n = 0;
    wait_for("the news", || {
        n += 1;
        let quick = page(&format!("r-{n}")).replace("X-Timeout: 5", "X-Timeout: 0.3");
        Client::new(&proxy).ask(&quick).is_some_and(|m| m.text() == "other")
    });
    for _ in &full {
        slow.accept().unwrap();
    }
    // Now there is room, and the first one's connection comes up, but nothing may be written to it.
    let (mut connection, _) = slow.accept().unwrap();
    connection.set_read_timeout(Some(LIMIT)).unwrap();
    let mut bytes = Vec::new();
    let _ = connection.read_to_end(&mut bytes); // an end or a reset, after whatever was written
    assert!(bytes.is_empty(), "{}", String::from_utf8_lossy(&bytes));
    assert_eq!(first.answer().expect("an answer").text(), "other");
}

#[test]
fn half_sent_requests_and_unread_connections_give_way_to_others() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup { sockets: 64, ..Setup::default() });
    // More than the budget allows, and none of them ever finishes its head.
    let _stuck: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut stream = TcpStream::connect(proxy.address).unwrap();
            stream.write_all(b"GET /page HTTP/1.1\r\nHost").unwrap();
            stream
        })
        .collect();
    wait_for("room for a whole request", || {
        Client::new(&proxy).ask(&page("r-1")).is_some_and(|m| m.status() == 200)
    });
}

#[test]
fn an_idle_connection_is_retired_before_the_backend_closes_it() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup { idle_close: 1000, ..Setup::default() });
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    wait_for("its end", || backend.ended() == 1);
}

#[test]
fn a_connection_that_the_backend_has_closed_is_never_used() {
    let backend = Backend::new(Deed::WriteAndClose(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    for n in 1..20 {
        assert_eq!(status(Client::new(&proxy).ask(&submit(&format!("r-{n}"), "5", "x"))), 200);
        wait_for("the backend's close", || backend.ended() == n);
    }
}

#[test]
fn a_silent_backend_s_request_fails_in_time_and_its_late_answer_goes_nowhere() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-held" => Deed::Hold(held.clone(), ok("late")),
        _ => Deed::Write(ok("prompt")),
    });
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut client = Client::new(&proxy);
    assert_eq!(status(client.ask(&submit("r-held", "0.5", "x"))), 502);
    wait_for("the request", || backend.seen().len() == 1);
    std::thread::sleep(Duration::from_millis(100)); // the failure goes out a little before the attempt ends
    gate.open();
    // Its connection is not used again, and the client gets the next answer and no other.
    assert_eq!(client.ask(&page("r-next")).expect("an answer").text(), "prompt");
    wait_for("the connection's end", || backend.ended() == 1);
}

#[test]
fn nothing_goes_out_for_a_client_that_has_left() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |_| Deed::Hold(held.clone(), ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    // Enough to fill the backend's slots, so that the last ones wait in the proxy.
    let mut clients: Vec<Client> = (0..12).map(|_| Client::new(&proxy)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("r-{n}"), "5", "x"));
    }
    wait_for("the first", || !backend.seen().is_empty());
    for client in &mut clients {
        client.leave();
        assert!(client.is_closed(), "no answer is owed");
    }
    let before = backend.seen().len();
    assert!(before < 12, "the proxy queues");
    gate.open();
    let mut last = Client::new(&proxy);
    assert_eq!(status(last.ask(&submit("r-last", "5", "x"))), 200);
    assert_eq!(backend.seen().len(), before + 1);
}

#[test]
fn at_sigterm_what_is_taken_is_answered_and_new_connections_are_too() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-held" => Deed::Hold(held.clone(), ok("held")),
        _ => Deed::Write(ok("prompt")),
    });
    let (_discovery, mut proxy) = proxy_with(&[&backend]);
    let (mut busy, mut idle) = (Client::new(&proxy), Client::new(&proxy));
    assert_eq!(status(idle.ask(&page("r-1"))), 200);
    busy.send(&submit("r-held", "5", "x"));
    wait_for("the request", || backend.seen().iter().any(|m| m.id() == "r-held"));
    // This one waits in the accept queue or is fresh when the signal comes.
    let mut fresh = Client::new(&proxy);
    proxy.terminate();
    let answer = fresh.ask(&page("r-2")).expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(idle.is_closed(), "an idle connection closes");
    gate.open();
    let answer = busy.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(proxy.wait().success());
}

#[test]
fn past_its_budget_of_sockets_every_client_still_gets_an_answer() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    // Once by its own budget, once by the system's limit, where accepting fails.
    for setup in [
        Setup { sockets: 64, ..Setup::default() },
        Setup { sockets: 1024, descriptors: Some(24), ..Setup::default() },
    ] {
        let mut proxy = Proxy::up(&discovery, &setup);
        let mut clients: Vec<Client> = (0..40).map(|_| Client::new(&proxy)).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&page(&format!("r-{n}")));
        }
        for mut client in clients {
            let status = status(client.answer());
            assert!(status == 200 || status == 503, "{status}");
        }
        assert!(proxy.runs());
        wait_for("service as before", || {
            Client::new(&proxy).ask(&page("r-x")).is_some_and(|m| m.status() == 200)
        });
    }
}

#[test]
fn odd_datagrams_are_survived_and_others_are_told() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    other.set_read_timeout(Some(LIMIT)).unwrap();
    // An address of this test's own, so that nobody else takes the port meanwhile.
    let own = UdpSocket::bind("127.93.17.5:0").unwrap().local_addr().unwrap();
    let tell = Some((own, other.local_addr().unwrap()));
    let mut proxy = Proxy::up(&discovery, &Setup { may_tell: tell, ..Setup::default() });
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for size in [0, 1, 3, 255, 256, 257, 2000] {
        for first in [0u8, 1, 255] {
            let mut bytes = vec![255; size];
            bytes.iter_mut().take(1).for_each(|b| *b = first);
            other.send_to(&bytes, own).unwrap();
            stranger.send_to(&bytes, own).unwrap();
        }
    }
    let (size, from) = other.recv_from(&mut [0; 512]).expect("this proxy's word");
    assert!(size > 0 && size <= 256 && from == own);
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    assert!(proxy.runs());
}

#[test]
fn a_bad_configuration_ends_it_with_a_word_why() {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let good = config(nowhere, &Setup::default());
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap().to_string();
    for (text, word) in [
        ("{".to_owned(), "EOF"),
        (good.replace("\"127.0.0.1:0\"", "17"), "socket address"),
        (good.replace("\"classes\"", "\"glasses\""), "classes"),
        (good.replace("127.0.0.1:0", "192.0.2.1:1"), "listen on 192.0.2.1:1"),
        (good.replace("\"seed\":\"8c1f30d27a5be964\"", &format!("\"seed\":{{\"x\":\"{taken}\"}}")), "seed"),
    ] {
        let file = config_file(&text);
        let run = Command::new(env!("CARGO_BIN_EXE_sandgap")).env("NODE_CONFIG", &file).output().unwrap();
        let _ = std::fs::remove_file(&file);
        let log = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(!run.status.success() && log.contains(word), "{word}: {log}");
    }
    let run = Command::new(env!("CARGO_BIN_EXE_sandgap")).env_remove("NODE_CONFIG").output().unwrap();
    assert!(!run.status.success());
}

#[test]
fn a_client_that_sends_slowly_or_not_at_all_holds_nobody_up() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut slow = TcpStream::connect(proxy.address).unwrap();
    let request = submit("r-slow", "5", "body");
    let (start, rest) = request.split_at(request.len() - 2);
    slow.write_all(start.as_bytes()).unwrap();
    let _silent = TcpStream::connect(proxy.address).unwrap();
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    assert_eq!(backend.seen().len(), 1, "a request goes on only once it is whole");
    slow.write_all(rest.as_bytes()).unwrap();
    wait_for("the slow one", || backend.seen().len() == 2);
    assert_eq!(backend.seen()[1].body, b"body");
}

#[test]
fn at_sighup_the_watch_moves_to_where_discovery_is_now() {
    let [one, two, three] = ["one", "two", "three"].map(|text| Backend::new(Deed::Write(ok(text))));
    let line =
        |seq: u64, name: &str, backend: &Backend| list(seq, true, &[host(name, backend.address, "up", 0)]);
    let setup = Setup::default();
    let (first, second, third) = (Discovery::new(), Discovery::new(), Discovery::new());
    first.say(&line(50, "s-1", &one));
    let mut proxy = Proxy::up(&first, &setup);
    let text = |proxy: &Proxy| Client::new(proxy).ask(&page("r-1")).map(|m| m.text());
    assert_eq!(text(&proxy).as_deref(), Some("one"));
    // What can't be read changes nothing.
    proxy.reload("{");
    wait_for("a line about it", || proxy.said("stays as it was"));
    // Twice in a row: the service in between never says a thing, and until the last one does the old list holds.
    proxy.reload(&config(second.address, &setup));
    wait_for("a watch of the second", || !second.asked.lock().unwrap().is_empty());
    proxy.reload(&config(third.address, &setup));
    wait_for("a watch of the third", || !third.asked.lock().unwrap().is_empty());
    first.say(&line(51, "s-2", &two));
    wait_for("the old service's word", || text(&proxy).as_deref() == Some("two"));
    // The new one counts its versions anew and asks for no others' past.
    third.say(&line(3, "s-3", &three));
    wait_for("the new list", || text(&proxy).as_deref() == Some("three"));
    assert!(third.asked.lock().unwrap().iter().all(|m| !m.first.contains("after=")));
    // Nothing late from the others gets in.
    first.say(&line(99, "s-1", &one));
    second.say(&line(99, "s-1", &one));
    third.say(&line(4, "s-2", &two));
    wait_for("the newest list", || text(&proxy).as_deref() == Some("two"));
    (0..50).for_each(|_| assert_eq!(text(&proxy).as_deref(), Some("two")));
    assert!(proxy.runs());
}

#[test]
fn a_client_that_never_sends_a_whole_request_is_closed() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let whole = submit("r-1", "5", "body");
    for sent in ["", "GET /page HTTP/1.1\r\nHost", &whole[..whole.len() - 2]] {
        let mut client = Client::new(&proxy);
        client.send(sent);
        let end = client.last_answer(); // an error or nothing, and then the end
        assert!(end.is_none_or(|(status, closed)| status == 408 && closed), "{sent}: {end:?}");
    }
    // A later request that never ends, on a connection that has had an answer.
    let mut client = Client::new(&proxy);
    assert_eq!(status(client.ask(&page("r-2"))), 200);
    client.send("GET /pa");
    assert!(client.is_closed());
    assert_eq!(backend.seen().len(), 1);
}

#[test]
fn lengths_that_lie_hide_no_second_request() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let hidden = submit("r-hidden", "5", "x");
    let good = submit("r-1", "5", &format!("0\r\n\r\n{hidden}"));
    let length = good.lines().find(|l| l.starts_with("Content-Length")).unwrap().to_owned();
    let with = |lines: &str| good.replace(&length, lines);
    let cases = [
        with(&format!("{length}\r\nTransfer-Encoding: chunked")),
        with(&format!("Transfer-Encoding: chunked\r\n{length}")),
        with(&format!("Transfer-Encoding: identity\r\n{length}")),
        with("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
        with("Transfer-Encoding: chunked, gzip"),
        with("Transfer-Encoding: gzip"),
        with("Content-Length: 4\r\nContent-Length: 5"),
        with("Content-Length: -1"),
        with("Content-Length: 0x10"),
        with("Content-Length: 99999999999999999999999999"),
        with("Content-Length: 5000000000"),
    ];
    for case in &cases {
        let mut client = Client::new(&proxy);
        client.send(case);
        let (status, closed) = client.last_answer().expect("an answer");
        assert!((400..500).contains(&status) && closed, "{status} {closed} to {case}");
    }
    assert!(backend.seen().is_empty());
}

#[test]
fn a_refusal_reaches_a_client_that_is_still_sending() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let head = submit("r-1", "5", "");
    let cases = [
        (head.replace("Content-Length: 0", "Content-Length: 60000000"), 413),
        (head.replace("Content-Length: 0", "Content-Length: 60000000").replace("/submit", "/nothing"), 404),
        ("GET /page HTTP/1.1\r\nX-Endless: ".to_owned(), 431),
    ];
    for (head, wanted) in cases {
        let mut client = Client::new(&proxy);
        client.send(&head);
        // It reads only once it has sent all it wants to send.
        (0..60).for_each(|_| client.send(&"x".repeat(1_000_000)));
        client.leave();
        assert_eq!(client.last_answer(), Some((wanted, true)), "{head}");
    }
    assert!(backend.seen().is_empty());
}

#[test]
fn an_id_that_is_open_is_turned_away_and_free_again_afterwards() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |_| Deed::Hold(held.clone(), ok("first")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut first = Client::new(&proxy);
    first.send(&submit("r-1", "5", "x"));
    wait_for("the first", || backend.seen().len() == 1);
    assert_eq!(status(Client::new(&proxy).ask(&submit("r-1", "5", "y"))), 409);
    gate.open();
    assert_eq!(first.answer().expect("an answer").text(), "first");
    assert_eq!(backend.seen().len(), 1);
    assert_eq!(status(Client::new(&proxy).ask(&submit("r-1", "5", "z"))), 200);
}

#[test]
fn a_flood_of_silent_connections_keeps_nobody_waiting() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup { sockets: 64, ..Setup::default() });
    let _silent: Vec<TcpStream> = (0..600).map(|_| TcpStream::connect(proxy.address).unwrap()).collect();
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
}

#[test]
fn spoilt_answers_fail_at_once_and_may_have_run() {
    let long = format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}", "x".repeat(1000));
    for answer in [
        "\u{1}\u{2} noise \r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nX-Endless: ".into(),
        format!("HTTP/1.1 200 OK\r\nX-Endless: {}", "x".repeat(100_000)),
        ok("0123456789").replace("0123456789", "01234"),
        long,
        empty("503 Busy\r\nX-Not-Processed: 1").replace("Length: 0", "Length: 5"),
        empty("503 Busy\r\nX-Not-Processed: 1\r\nX-Not-Processed: 0"),
        "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: x\r\n\r\n".into(),
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n01234".into(),
    ] {
        // Its connection stays open, so that only the time-out of a client with much patience would end it.
        let (spoilt, good) =
            (Backend::new(Deed::Write(answer.clone())), Backend::new(Deed::Write(ok("good"))));
        let discovery = Discovery::new();
        discovery.say(&all_up(&[&spoilt]));
        let setup = Setup { deadline: 90_000, ..Setup::default() };
        let proxy = Proxy::up(&discovery, &setup);
        assert_eq!(status(Client::new(&proxy).ask(&submit("r-1", "90", "x"))), 502, "{answer:.80}");
        wait_for("the connection's end", || spoilt.ended() == 1);
        // What may be repeated is made good elsewhere.
        discovery.say(&list(2, false, &[host("s-good", good.address, "up", 0)]));
        let answer = Client::new(&proxy).ask(&page("r-2").replace("Timeout: 5", "Timeout: 90"));
        assert_eq!(answer.expect("an answer").text(), "good");
    }
}

#[test]
fn what_follows_an_answer_is_nobody_s() {
    let backend = Backend::with(|request| {
        let answer = ok(request.id());
        let interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
        Deed::Write(match request.id().len() % 3 {
            0 => format!("{interim}{answer}{answer}"),
            1 => format!("{answer}\u{1} noise"),
            _ => answer.replace("X-Own: kept", "X-Server-Load: {not readable"),
        })
    });
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut client = Client::new(&proxy);
    for n in 0..60 {
        let id = format!("r-{}{n}", "x".repeat(n % 3));
        assert_eq!(client.ask(&page(&id)).expect("an answer").text(), id);
    }
    assert_eq!(backend.seen().len(), 60);
}

#[test]
fn a_second_answer_that_comes_late_is_not_the_next_request_s() {
    // A machine that stalls makes it later than the proxy can know of: such a one proves nothing.
    let latest = Arc::new(AtomicUsize::new(0));
    let late = latest.clone();
    let address = serve(move |mut reader, mut stream| {
        while let Some(request) = read_message(&mut reader) {
            let answer = ok(request.id());
            std::thread::sleep(Duration::from_millis(40));
            let _ = stream.write_all(answer.as_bytes()); // the proxy may have closed it
            let (mut again, late) = (stream.try_clone().expect("a handle"), late.clone());
            let first = Instant::now();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(1));
                let _ = again.write_all(answer.as_bytes());
                late.fetch_max(first.elapsed().as_millis() as usize, Ordering::SeqCst);
            });
        }
    });
    let discovery = Discovery::new();
    discovery.say(&list(1, true, &[host("s-0", address, "up", 0)]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    let mut client = Client::new(&proxy);
    for n in 0..20 {
        let id = format!("r-{n}");
        let got = client.ask(&page(&id)).expect("an answer").text();
        assert!(got == id || latest.load(Ordering::SeqCst) > 4, "{id} got {got}");
    }
}

/// A backend that answers with no length, and ends it in order or by a reset.
fn unmeasured(head: &'static str, reset: bool) -> std::net::SocketAddr {
    serve(move |mut reader, mut stream| {
        if read_message(&mut reader).is_none() {
            return;
        }
        let _ = stream.write_all(format!("{head}\r\n\r\nhalf").as_bytes()); // the proxy may have gone
        std::thread::sleep(Duration::from_millis(20));
        if reset {
            let linger = Some(Duration::ZERO);
            socket2::SockRef::from(&stream).set_linger(linger).expect("a connection");
        } else {
            let _ = stream.write_all(b" and half");
        }
    })
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection_where_it_says_so_and_never_with_a_reset() {
    for (head, says_so) in [("HTTP/1.1 200 OK", false), ("HTTP/1.1 200 OK\r\nConnection: close", true)] {
        for reset in [false, true] {
            let discovery = Discovery::new();
            discovery.say(&list(1, true, &[host("s-0", unmeasured(head, reset), "up", 0)]));
            let proxy = Proxy::up(&discovery, &Setup::default());
            let answer = Client::new(&proxy).ask(&submit("r-1", "5", "x")).expect("an answer");
            let (status, text) = (answer.status(), answer.text());
            match says_so && !reset {
                true => assert_eq!((status, text.as_str()), (200, "half and half"), "{head}"),
                false => {
                    assert_eq!(status, 502, "{head}: it may have run, and nobody knows whether it is whole")
                }
            }
        }
    }
}

#[test]
fn a_refused_client_is_told_when_to_come_back() {
    let backend = Backend::new(Deed::Write(empty("503 Busy\r\nX-Not-Processed: 1")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let answer = Client::new(&proxy).ask(&submit("r-1", "5", "x")).expect("an answer");
    let after: f64 = answer.header("retry-after").expect("a time").parse().expect("a number");
    assert!(answer.status() == 503 && after > 0.0 && after <= 6.0, "{after}");
}

#[test]
fn thousands_of_backends_that_come_and_go_leave_nothing_behind() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (discovery, proxy) = proxy_with(&[&backend]);
    let round = |n: usize, health: &'static str| (0..400).map(move |i| (format!("s-{n}-{i}"), health));
    let mut after_some = 0;
    for n in 1..=60 {
        let changes = round(n, "up").chain(round(n - 1, "removed"));
        let lines: Vec<String> =
            changes.map(|(name, health)| host(&name, backend.address, health, 0)).collect();
        discovery.say(&list(n as u64 + 1, false, &lines));
        std::thread::sleep(Duration::from_millis(120)); // between two looks of the module at its servers
        assert_eq!(status(Client::new(&proxy).ask(&page(&format!("r-{n}")))), 200);
        if n == 10 {
            after_some = proxy.memory();
        }
    }
    let grown = proxy.memory().saturating_sub(after_some);
    assert!(grown < 6 << 10, "{grown} KiB for 20,000 backends that are gone");
}
