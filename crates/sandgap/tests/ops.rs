//! What staff do to a running proxy by hand.

mod sockets;

use std::io::{Read, Write};
use std::net::TcpStream;

use sockets::*;

fn status(answer: Option<Message>) -> u16 {
    answer.map_or(0, |m| m.status())
}

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
fn drain_and_resume_may_cross_sigterm() {
    let backend = Backend::new(Deed::Write(ok("served")));
    let (_discovery, mut proxy) = by_hand(&[&backend]);
    assert!(proxy.call(b"drain\n").starts_with("200"));
    proxy.terminate();
    wait_for("the end's beginning", || proxy.call(b"ready\n") != "200 ready, and drained\n");
    assert!(!proxy.call(b"resume\n").starts_with("200"), "nothing undoes SIGTERM");
    assert!(proxy.wait().success());
}
