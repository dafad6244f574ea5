//! Admin calls and settings reloads on a running proxy.

mod sockets;

use std::io::{Read, Write};
use std::net::TcpStream;

use sockets::*;

fn proxy_with_admin(backends: &[&Backend]) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&list_all_up(backends));
    let proxy = Proxy::up(&discovery, &Setup { admin: true, ..Setup::default() });
    (discovery, proxy)
}

#[test]
fn each_call_is_answered_with_one_line_and_a_bad_one_with_a_reason() {
    let backend = Backend::new(Action::Write(ok("served")));
    let (_discovery, proxy) = proxy_with_admin(&[&backend]);
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
        let answer = proxy.admin_call(call);
        assert!(answer.starts_with(begins) && answer.ends_with('\n'), "{answer}");
        assert_eq!(answer.lines().count(), 1, "{answer}");
    }
    assert!(proxy.is_up(), "a refused call has no effect");
}

#[test]
fn ready_is_refused_until_a_list_has_arrived() {
    let discovery = Discovery::new();
    let proxy = Proxy::start(&discovery, &Setup { admin: true, ..Setup::default() });
    assert!(proxy.admin_call(b"ready\n").starts_with("400"));
    let backend = Backend::new(Action::Write(ok("served")));
    discovery.publish(&list_all_up(&[&backend]));
    wait_for("ready", || proxy.admin_call(b"ready\n").starts_with("200"));
}

#[test]
fn incomplete_calls_block_no_other_caller() {
    let backend = Backend::new(Action::Write(ok("served")));
    let (_discovery, proxy) = proxy_with_admin(&[&backend]);
    let address = proxy.admin.expect("asked for");
    let mut held: Vec<TcpStream> = Vec::new();
    for _ in 0..60 {
        let mut stream = TcpStream::connect(address).expect("the admin address accepts");
        stream.write_all(b"rea").expect("a connection");
        held.push(stream);
    }
    assert!(proxy.admin_call(b"ready\n").starts_with("200"));
    let gone = |s: &mut TcpStream| {
        s.set_nonblocking(true).expect("a socket");
        !matches!(s.read(&mut [0; 1]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    };
    assert!(
        held.iter_mut().map(gone).filter(|gone| *gone).count() >= 40,
        "the oldest connections were closed"
    );
}

#[test]
fn a_drained_proxy_serves_new_connections_and_keeps_none_open() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |m| match m.id() {
        "slow" => Action::Hold(held.clone(), ok("served")),
        _ => Action::Write(ok("served")),
    });
    let (_discovery, proxy) = proxy_with_admin(&[&backend]);
    let (mut idle, mut busy) = (Client::new(&proxy), Client::new(&proxy));
    let (mut silent, mut half) = (Client::new(&proxy), Client::new(&proxy));
    assert_eq!(status(idle.request(&page("a"))), 200);
    busy.send(&page("slow"));
    half.send("GET /page HT");
    wait_for("the slow request", || backend.requests().len() == 2);
    assert!(
        proxy.admin_call(b"drain\n").starts_with("200") && proxy.admin_call(b"drain\n").starts_with("200")
    );
    assert!(!proxy.is_up());
    assert!(idle.is_closed(), "an idle connection closes");
    let mut late = Client::new(&proxy);
    let answer = late.request(&page("b")).expect("a new connection is served");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(late.is_closed());
    let mut pipelined = Client::new(&proxy);
    pipelined.send(&(page("c") + &page("d")));
    assert_eq!(pipelined.last_answer(), Some((200, true)), "one answer, then the close");
    gate.open();
    assert_eq!(busy.last_answer(), Some((200, true)), "a request in progress is answered, then the close");
    assert!(silent.is_closed(), "a silent connection is closed");
    let _ = half.last_answer(); // closed, with or without an answer
    assert!(
        proxy.admin_call(b"resume\n").starts_with("200") && proxy.admin_call(b"resume\n").starts_with("200")
    );
    assert!(proxy.is_up());
    let mut again = Client::new(&proxy);
    for id in ["e", "f"] {
        assert_eq!(status(again.request(&page(id))), 200, "connections are kept again");
    }
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_reset_and_not_forwarded() {
    let backend = Backend::new(Action::Write(ok("served")));
    let (_discovery, proxy) = proxy_with_admin(&[&backend]);
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
    stream.write_all(page("a").as_bytes()).expect("taken");
    let mut answer = Vec::new();
    while !answer.ends_with(b"served") {
        let mut byte = [0; 1];
        stream.read_exact(&mut byte).expect("an answer");
        answer.push(byte[0]);
    }
    assert!(proxy.admin_call(b"drain\n").starts_with("200"));
    assert!(matches!(stream.read(&mut [0; 1]), Ok(0)), "closed between requests");
    // What arrives now is not read, and a reset tells the client so. The client writes only once: after bytes that were
    // read and dropped no reset would ever come.
    if stream.write_all(page("b").as_bytes()).is_ok() {
        wait_for("a reset", || matches!(stream.take_error(), Ok(Some(_))));
    }
    assert_eq!(backend.requests().len(), 1);
}

#[test]
fn resume_after_sigterm_does_not_undo_the_shutdown() {
    let backend = Backend::new(Action::Write(ok("served")));
    let (_discovery, mut proxy) = proxy_with_admin(&[&backend]);
    assert!(proxy.admin_call(b"drain\n").starts_with("200"));
    proxy.terminate();
    wait_for("the beginning of the shutdown", || proxy.admin_call(b"ready\n") != "200 ready, and drained\n");
    assert!(!proxy.admin_call(b"resume\n").starts_with("200"), "nothing undoes SIGTERM");
    assert!(proxy.wait().success());
}

#[test]
fn settings_are_replaced_completely_or_not_at_all_and_open_requests_keep_theirs() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |m| match m.id() {
        "held" => Action::Hold(held.clone(), empty("500 Oops")),
        id if id.starts_with("fails") => Action::Write(empty("500 Oops")),
        _ => Action::Write(ok("served")),
    });
    let (discovery, proxy) = proxy_with_admin(&[&backend]);
    let good = config(discovery.address, &Setup { admin: true, ..Setup::default() });
    let page_class = r#""name":"page","effect":"idempotent""#;
    let send_request = |text: &str| status(Client::new(&proxy).request(text));
    let as_submit = |id: &str| submit(id, "5", "x").replace("/submit", "/page");
    // Invalid settings first: each leaves everything as it was.
    let invalid = [
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
    for (i, text) in invalid.iter().enumerate() {
        assert_ne!(*text, good, "{i}");
        proxy.reload(text);
        let rejections = || proxy.log.lock().expect("no panic").matches("stays as it was").count();
        wait_for("a log line about it", || rejections() == i + 1);
        assert_eq!((send_request(&page("a")), send_request(&submit("b", "5", "x"))), (200, 200), "{i}");
    }
    // An unsafe request is open while its class becomes safe and another class is removed.
    let mut open = Client::new(&proxy);
    open.send(&submit("held", "5", "x"));
    wait_for("it to be sent", || backend.requests().iter().any(|m| m.id() == "held"));
    let changed = good
        .replace(page_class, r#""name":"page","effect":"at_most_once""#)
        .replace(r#""name":"submit","effect":"at_most_once""#, r#""name":"submit","effect":"idempotent""#)
        .replace(r#""name":"booking""#, r#""name":"lesson""#);
    proxy.reload(&changed);
    wait_for("the change", || send_request(&as_submit("c")) == 200);
    assert_eq!(send_request(&page("d")), 405, "a class that must not run twice takes no GET");
    // Polled, as on a stalled machine it may take a while: once the held request has been without an answer for long, the
    // only backend is not trusted for some time, and requests are refused.
    wait_for("a class that may be repeated now", || {
        send_request(&page("e").replace("/page", "/submit")) == 200
    });
    let lesson = submit("f", "5", "x")
        .replace("/submit", "/lesson")
        .replace("X-Tenant", "Idempotency-Key: k\r\nX-Tenant");
    wait_for("a class that is new", || send_request(&lesson) == 200);
    assert_eq!(send_request(&lesson.replace("/lesson", "/booking")), 404, "a class that was removed");
    gate.open();
    assert_eq!(status(open.answer()), 502, "it may have run: neither answered 503 nor repeated");
    assert_eq!(backend.requests().iter().filter(|m| m.id() == "held").count(), 1);
    // A lower limit of attempts applies to new requests.
    proxy.reload(&changed.replace("\"maxAttempts\":6", "\"maxAttempts\":1"));
    wait_for("the change", || proxy.log.lock().expect("no panic").matches("settings in force").count() == 2);
    wait_for("it to be in force", || {
        let id = format!("fails-{}", backend.requests().len());
        let _ = send_request(&page(&id).replace("/page", "/submit"));
        backend.requests().iter().filter(|m| m.id() == id).count() == 1
    });
}
