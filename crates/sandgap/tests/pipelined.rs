//! Requests that their client sent behind another on one connection: their time runs from when they came, not from when
//! the one before had its answer.
mod sockets;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

/// What may lie between reading a clock and writing what it says.
const SLACK: f64 = 0.15;
/// How long the first request takes at least.
const WORK: Duration = Duration::from_millis(800);

/// A proxy before one backend that takes its time with `r-first` alone, and what came of two requests sent at once, or
/// the second 100 ms after the first.
fn ask_both(second: &str, at_once: bool) -> (Backend, f64, [u16; 2]) {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |message| match message.id() {
        "r-first" => Deed::Hold(held.clone(), ok("")),
        _ => Deed::Write(ok("")),
    });
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let (first, second) = (submit("r-first", "5", "x"), submit("r-second", second, "y"));
    if at_once {
        stream.write_all((first + &second).as_bytes()).expect("the proxy reads");
    } else {
        stream.write_all(first.as_bytes()).expect("the proxy reads");
        wait_for("the first", || !backend.seen().is_empty());
        stream.write_all(second.as_bytes()).expect("the proxy reads");
    }
    let sent = Instant::now();
    thread::sleep(WORK);
    let waited = sent.elapsed().as_secs_f64();
    gate.open();
    let mut reader = BufReader::new(stream);
    let answers = [(); 2].map(|()| status(read_message(&mut reader)));
    (backend, waited, answers)
}

#[test]
fn a_request_behind_another_tells_its_backend_what_is_left() {
    for at_once in [true, false] {
        let (backend, waited, answers) = ask_both("4", at_once);
        assert_eq!(answers, [200, 200]);
        let seen = backend.seen();
        let second = seen.iter().find(|m| m.id() == "r-second").expect("it was sent on");
        let told: f64 = second.header("x-timeout").and_then(|t| t.parse().ok()).expect("a number");
        assert!(told <= 4.0 - waited + SLACK, "at once {at_once}: {told} s told, {waited:.3} s waited");
    }
}

#[test]
fn one_whose_time_is_over_before_its_turn_is_refused_and_never_sent_on() {
    for at_once in [true, false] {
        let (backend, _, answers) = ask_both("0.4", at_once);
        assert_eq!(answers, [200, 503]);
        assert!(backend.seen().iter().all(|m| m.id() != "r-second"));
    }
}
