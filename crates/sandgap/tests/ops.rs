//! What staff do to a running proxy by hand.

mod sockets;

use std::io::{Read, Write};
use std::net::TcpStream;

use sockets::*;

fn by_hand(backends: &[&Backend]) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.say(&all_up(backends));
    let proxy = Proxy::up(&discovery, &Setup { admin: true, ..Setup::default() });
    (discovery, proxy)
}

#[test]
fn each_call_gets_one_line_and_bad_ones_a_reason() {
    let backend = Backend::new(Deed::Write(ok("served")));
    let (_discovery, proxy) = by_hand(&[&backend]);
    for (call, begins) in [
        (&b"ready\n"[..], "200"),
        (b"ready\r\n", "200"),
        (b"\n", "400 an empty line"),
        (b"reload\n", "400 no such call"),
        (b"ready now\n", "400 no such call"),
        (b"\xff\xfe\n", "400 the line is no text"),
        (b"drain\nresume\n", "400 one call"),
        (&[b'x'; 5000], "400 the line is too long"),
    ] {
        let answer = proxy.call(call);
        assert!(answer.starts_with(begins) && answer.ends_with('\n'), "{answer}");
        assert_eq!(answer.lines().count(), 1, "{answer}");
    }
    assert!(proxy.is_up(), "a call that is refused does nothing");
}

#[test]
fn ready_is_no_until_there_is_a_list() {
    let discovery = Discovery::new();
    let proxy = Proxy::start(&discovery, &Setup { admin: true, ..Setup::default() });
    assert!(proxy.call(b"ready\n").starts_with("400"));
    let backend = Backend::new(Deed::Write(ok("served")));
    discovery.say(&all_up(&[&backend]));
    wait_for("ready", || proxy.call(b"ready\n").starts_with("200"));
}

#[test]
fn callers_with_half_a_call_keep_nobody_out() {
    let backend = Backend::new(Deed::Write(ok("served")));
    let (_discovery, proxy) = by_hand(&[&backend]);
    let address = proxy.admin.expect("asked for");
    let mut held: Vec<TcpStream> = Vec::new();
    for _ in 0..60 {
        let mut stream = TcpStream::connect(address).expect("it is heard");
        stream.write_all(b"rea").expect("a connection");
        held.push(stream);
    }
    assert!(proxy.call(b"ready\n").starts_with("200"));
    let gone = |s: &mut TcpStream| {
        s.set_nonblocking(true).expect("a socket");
        !matches!(s.read(&mut [0; 1]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    };
    assert!(held.iter_mut().map(gone).filter(|gone| *gone).count() >= 40, "the oldest gave way");
}

#[test]
fn a_drained_proxy_serves_who_comes_and_keeps_no_connection() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |m| match m.id() {
        "slow" => Deed::Hold(held.clone(), ok("served")),
        _ => Deed::Write(ok("served")),
    });
    let (_discovery, proxy) = by_hand(&[&backend]);
    let (mut idle, mut busy) = (Client::new(&proxy), Client::new(&proxy));
    let (mut silent, mut half) = (Client::new(&proxy), Client::new(&proxy));
    assert_eq!(status(idle.ask(&page("a"))), 200);
    busy.send(&page("slow"));
    half.send("GET /page HT");
    wait_for("the slow request", || backend.seen().len() == 2);
    assert!(proxy.call(b"drain\n").starts_with("200") && proxy.call(b"drain\n").starts_with("200"));
    assert!(!proxy.is_up());
    assert!(idle.is_closed(), "an idle connection closes");
    let mut late = Client::new(&proxy);
    let answer = late.ask(&page("b")).expect("who comes is served");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(late.is_closed());
    let mut pipelined = Client::new(&proxy);
    pipelined.send(&(page("c") + &page("d")));
    assert_eq!(pipelined.last_answer(), Some((200, true)), "one answer, then the end");
    gate.open();
    assert_eq!(busy.last_answer(), Some((200, true)), "what is in progress is answered, then the end");
    assert!(silent.is_closed(), "who says nothing is closed");
    let _ = half.last_answer(); // closed, with or without a word
    assert!(proxy.call(b"resume\n").starts_with("200") && proxy.call(b"resume\n").starts_with("200"));
    assert!(proxy.is_up());
    let mut again = Client::new(&proxy);
    for id in ["e", "f"] {
        assert_eq!(status(again.ask(&page(id))), 200, "connections are kept again");
    }
}

#[test]
fn a_request_that_crosses_an_idle_connection_s_close_is_taken_by_nobody() {
    let backend = Backend::new(Deed::Write(ok("served")));
    let (_discovery, proxy) = by_hand(&[&backend]);
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    stream.write_all(page("a").as_bytes()).expect("taken");
    let mut answer = Vec::new();
    while !answer.ends_with(b"served") {
        let mut byte = [0; 1];
        stream.read_exact(&mut byte).expect("an answer");
        answer.push(byte[0]);
    }
    assert!(proxy.call(b"drain\n").starts_with("200"));
    assert!(matches!(stream.read(&mut [0; 1]), Ok(0)), "closed between requests");
    // Nobody is there to read what comes now, and the client is told so by a reset. Only once is written: after bytes
    // that were read and dropped no reset would ever come.
    if stream.write_all(page("b").as_bytes()).is_ok() {
        wait_for("a reset", || matches!(stream.take_error(), Ok(Some(_))));
    }
    assert_eq!(backend.seen().len(), 1);
}

#[test]
fn drain_and_resume_may_cross_sigterm() {
    let backend = Backend::new(Deed::Write(ok("served")));
    let (_discovery, mut proxy) = by_hand(&[&backend]);
    assert!(proxy.call(b"drain\n").starts_with("200"));
    proxy.terminate();
    wait_for("the end's beginning", || proxy.call(b"ready\n") != "200 ready, and drained\n");
    assert!(!proxy.call(b"resume\n").starts_with("200"), "nothing undoes SIGTERM");
    assert!(proxy.wait().success());
}

#[test]
fn settings_change_whole_or_not_at_all_and_open_requests_keep_theirs() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |m| match m.id() {
        "held" => Deed::Hold(held.clone(), empty("500 Oops")),
        id if id.starts_with("fails") => Deed::Write(empty("500 Oops")),
        _ => Deed::Write(ok("served")),
    });
    let (discovery, proxy) = by_hand(&[&backend]);
    let good = config(discovery.address, &Setup { admin: true, ..Setup::default() });
    let page_class = r#""name":"page","effect":"idempotent""#;
    let ask = |text: &str| status(Client::new(&proxy).ask(text));
    let as_submit = |id: &str| submit(id, "5", "x").replace("/submit", "/page");
    // Broken ones first: each leaves everything as it was.
    let broken = [
        String::new(),
        good[..good.len() / 2].to_owned(),
        good.replace("\"maxAttempts\":6,", ""),
        good.replace("\"maxAttempts\":6", "\"maxAttempts\":0"),
        good.replace("\"maxAttempts\":6", "\"maxAttempts\":\"6\""),
        good.replace("\"deadline\":5000", "\"deadline\":-1"),
        good.replace("\"deadline\":5000", "\"deadline\":NaN"),
        good.replace("\"deadline\":5000,", ""),
        good.replace("\"name\":\"submit\"", "\"name\":\"page\""),
        good.replace("\"promise\":4000,", ""),
        good.replace(&discovery.address.to_string(), "nowhere"),
    ];
    for (i, text) in broken.iter().enumerate() {
        assert_ne!(*text, good, "{i}");
        proxy.reload(text);
        let told = || proxy.log.lock().expect("no panic").matches("stays as it was").count();
        wait_for("a word on it", || told() == i + 1);
        assert_eq!((ask(&page("a")), ask(&submit("b", "5", "x"))), (200, 200), "{i}");
    }
    // A request that must not run twice is open when its class becomes one that may, and another goes.
    let mut open = Client::new(&proxy);
    open.send(&submit("held", "5", "x"));
    wait_for("it to be sent", || backend.seen().iter().any(|m| m.id() == "held"));
    let changed = good
        .replace(page_class, r#""name":"page","effect":"at_most_once""#)
        .replace(r#""name":"submit","effect":"at_most_once""#, r#""name":"submit","effect":"idempotent""#)
        .replace(r#""name":"booking""#, r#""name":"lesson""#);
    proxy.reload(&changed);
    wait_for("the change", || ask(&as_submit("c")) == 200);
    assert_eq!(ask(&page("d")), 405, "a class that must not run twice takes no GET");
    // Not at once on a machine that stalls: the one backend is not trusted for a while once the held request has been
    // silent for long, and what comes then is refused.
    wait_for("a class that may be repeated now", || ask(&page("e").replace("/page", "/submit")) == 200);
    let lesson = submit("f", "5", "x")
        .replace("/submit", "/lesson")
        .replace("X-Tenant", "Idempotency-Key: k\r\nX-Tenant");
    wait_for("a class that is new", || ask(&lesson) == 200);
    assert_eq!(ask(&lesson.replace("/lesson", "/booking")), 404, "a class that has gone");
    gate.open();
    assert_eq!(status(open.answer()), 502, "it may have run, and is neither refused nor sent again");
    assert_eq!(backend.seen().iter().filter(|m| m.id() == "held").count(), 1);
    // Fewer attempts count for those that come.
    proxy.reload(&changed.replace("\"maxAttempts\":6", "\"maxAttempts\":1"));
    wait_for("the change", || proxy.log.lock().expect("no panic").matches("settings in force").count() == 2);
    wait_for("it to be in force", || {
        let id = format!("fails-{}", backend.seen().len());
        let _ = ask(&page(&id).replace("/page", "/submit"));
        backend.seen().iter().filter(|m| m.id() == id).count() == 1
    });
}
