//! Pipelined requests: their deadlines count from their arrival, not from the answer to the request before.
mod sockets;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

/// Tolerance for the time between reading the clock and writing the header, in seconds.
const SLACK: f64 = 0.15;
/// Least time that the first request takes.
const WORK: Duration = Duration::from_millis(800);

/// Sends two pipelined requests, at once or the second after the first has reached the backend, which delays only
/// `r-first`. Returns the backend, how long the second request waited in seconds, and both statuses.
fn send_both(second: &str, at_once: bool) -> (Backend, f64, [u16; 2]) {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |message| match message.id() {
        "r-first" => Action::Hold(held.clone(), ok("")),
        _ => Action::Write(ok("")),
    });
    let discovery = Discovery::new();
    discovery.publish(&list_all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
    let (first, second) = (submit("r-first", "5", "x"), submit("r-second", second, "y"));
    if at_once {
        stream.write_all((first + &second).as_bytes()).expect("the proxy reads");
    } else {
        stream.write_all(first.as_bytes()).expect("the proxy reads");
        wait_for("the first", || !backend.requests().is_empty());
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
fn a_pipelined_request_reaches_its_backend_with_the_remaining_time() {
    for at_once in [true, false] {
        let (backend, waited, answers) = send_both("4", at_once);
        assert_eq!(answers, [200, 200]);
        let seen = backend.requests();
        let second = seen.iter().find(|m| m.id() == "r-second").expect("it was sent on");
        let remaining: f64 = second.header("x-timeout").and_then(|t| t.parse().ok()).expect("a number");
        assert!(
            remaining <= 4.0 - waited + SLACK,
            "at once {at_once}: {remaining} s sent, {waited:.3} s waited"
        );
    }
}

#[test]
fn a_pipelined_request_past_its_deadline_is_refused_and_never_forwarded() {
    for at_once in [true, false] {
        let (backend, _, answers) = send_both("0.4", at_once);
        assert_eq!(answers, [200, 503]);
        assert!(backend.requests().iter().all(|m| m.id() != "r-second"));
    }
}
