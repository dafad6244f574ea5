//! Clients that leave behind a long request, of which much stands unread: nothing begins for them any more, and one that
//! is merely slow is not taken for gone.
mod sockets;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use sockets::full::Full;
use sockets::*;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    /// It ends its sending and still reads.
    HalfClose,
    /// It resets the connection.
    Reset,
}

/// How a body tells where it ends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Counted,
    Chunked,
}

const LEAVINGS: [Leaving; 2] = [Leaving::HalfClose, Leaving::Reset];
const FRAMINGS: [Framing; 2] = [Framing::Counted, Framing::Chunked];
/// More than the system holds of a body that nobody reads.
const OVER_BUFFER: usize = 300_000;

fn request(id: &str, framing: Framing, size: usize) -> Vec<u8> {
    let (told, body) = match framing {
        Framing::Counted => (format!("Content-Length: {size}"), "x".repeat(size)),
        Framing::Chunked => (
            "Transfer-Encoding: chunked".to_owned(),
            format!("{size:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(size)),
        ),
    };
    let head = submit(id, "25", "").replace("Content-Length: 0", &told);
    (head + &body).into_bytes()
}

/// A client that does not wait until the proxy takes what it sends.
struct Uploader(TcpStream);

impl Uploader {
    fn new(proxy: &Proxy) -> Self {
        let stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
        stream.set_nonblocking(true).expect("a socket");
        Uploader(stream)
    }

    /// Sends what is taken at once; returns how much that is.
    fn send(&mut self, bytes: &[u8]) -> usize {
        let mut sent = 0;
        while sent < bytes.len() {
            match self.0.write(&bytes[sent..]) {
                Ok(n) => sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => panic!("{e}"),
            }
        }
        sent
    }

    /// Leaves; what is returned keeps the socket, so that the client still reads where it has only ended its sending.
    fn leave(self, how: Leaving) -> Option<TcpStream> {
        match how {
            Leaving::HalfClose => {
                self.0.shutdown(Shutdown::Write).expect("a connection");
                Some(self.0)
            }
            Leaving::Reset => {
                socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).expect("a connection");
                None
            }
        }
    }
}

/// Whether the proxy ends the connection with no answer on it.
fn is_dropped(mut stream: TcpStream) -> bool {
    stream.set_nonblocking(false).expect("a socket");
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    match stream.read(&mut [0; 1]) {
        Ok(n) => n == 0,
        Err(e) => e.kind() == ErrorKind::ConnectionReset,
    }
}

#[test]
fn one_that_left_a_long_request_before_its_first_attempt_has_gone() {
    let full = Full::new();
    let before = full.proxy.descriptors();
    for size in [65_535, 65_536, 65_537, 150_000, OVER_BUFFER, 1_000_000, 32 << 20] {
        for (framing, how) in FRAMINGS.iter().flat_map(|f| LEAVINGS.map(|l| (*f, l))) {
            let mut client = Uploader::new(&full.proxy);
            client.send(&request(&format!("r-gone-{size}-{framing:?}-{how:?}"), framing, size));
            assert!(full.proxy.is_up());
            if let Some(rest) = client.leave(how) {
                assert!(is_dropped(rest), "{size} {framing:?} {how:?}: its end is seen");
            }
        }
    }
    wait_for("their ends", || full.proxy.descriptors() <= before);
    let seen = full.finish();
    assert!(!seen.iter().any(|id| id.contains("gone")), "{seen:?}");
}

#[test]
fn many_that_left_long_requests_in_one_burst_have_all_gone() {
    let full = Full::new();
    let before = full.proxy.descriptors();
    let mut clients: Vec<Uploader> = (0..60).map(|_| Uploader::new(&full.proxy)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request(&format!("r-gone-{n}"), FRAMINGS[n % 2], OVER_BUFFER));
    }
    assert!(full.proxy.is_up());
    let left: Vec<TcpStream> =
        clients.into_iter().enumerate().filter_map(|(n, c)| c.leave(LEAVINGS[n / 2 % 2])).collect();
    assert!(left.into_iter().all(is_dropped));
    wait_for("their ends", || full.proxy.descriptors() <= before);
    let seen = full.finish();
    assert!(!seen.iter().any(|id| id.contains("gone")), "{seen:?}");
}

#[test]
fn nothing_is_written_of_a_long_request_whose_client_left_while_the_connection_came_up() {
    for (framing, how) in FRAMINGS.iter().flat_map(|f| LEAVINGS.map(|l| (*f, l))) {
        let (slow, full) = full_listener();
        let discovery = Discovery::new();
        discovery.say(&list(1, true, &[host("s-0", slow.local_addr().unwrap(), "up", 0)]));
        let patient = Setup { dial_timeout: 30_000, deadline: 40_000, ..Setup::default() };
        let proxy = Proxy::up(&discovery, &patient);
        let mut client = Uploader::new(&proxy);
        client.send(&request("r-gone", framing, OVER_BUFFER));
        assert!(proxy.is_up()); // by now its connection has most likely been begun
        let with_client = proxy.descriptors();
        assert!(client.leave(how).is_none_or(is_dropped), "{framing:?} {how:?}: its end is seen");
        wait_for("its end", || proxy.descriptors() < with_client);
        full.iter().for_each(|_| drop(slow.accept().unwrap()));
        let (mut connection, _) = slow.accept().unwrap();
        connection.set_read_timeout(Some(LIMIT)).unwrap();
        let mut bytes = Vec::new();
        let _ = connection.read_to_end(&mut bytes); // an end or a reset
        assert!(bytes.is_empty(), "{framing:?} {how:?}: {} bytes", bytes.len());
    }
}

#[test]
fn one_that_left_in_the_middle_of_its_upload_is_cut_off_at_the_backend() {
    for (framing, how) in FRAMINGS.iter().flat_map(|f| LEAVINGS.map(|l| (*f, l))) {
        // A backend that begins to read and then waits until the client has left.
        let (begun, go) = (Gate::default(), Gate::default());
        let (begins, goes) = (begun.clone(), go.clone());
        let (told, read) = std::sync::mpsc::channel();
        let told = std::sync::Mutex::new(told);
        let address = serve(move |_, mut stream| {
            let mut bytes = vec![0; 1000];
            stream.read_exact(&mut bytes).expect("its beginning");
            begins.open();
            goes.wait();
            let _ = stream.read_to_end(&mut bytes); // an end or a reset
            let _ = told.lock().expect("no panic").send(bytes);
        });
        let discovery = Discovery::new();
        discovery.say(&list(1, true, &[host("s-0", address, "up", 0)]));
        let proxy = Proxy::up(&discovery, &Setup { deadline: 25_000, ..Setup::default() });
        let bytes = request("r-gone", framing, 20 << 20);
        let mut client = Uploader::new(&proxy);
        let mut sent = client.send(&bytes);
        begun.wait();
        sent += client.send(&bytes[sent..]);
        assert!(sent < bytes.len(), "it can't have sent all of it");
        let _rest = client.leave(how);
        go.open();
        let got = read.recv_timeout(LIMIT).expect("the backend's end");
        assert!(
            got.len() < bytes.len() && !got.ends_with(b"0\r\n\r\n"),
            "{framing:?} {how:?}: {}",
            got.len()
        );
    }
}

#[test]
fn one_that_is_merely_slow_has_not_gone() {
    let full = Full::new();
    let mut stream = TcpStream::connect(full.proxy.address).expect("the proxy accepts");
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let bytes = request("r-slow", Framing::Counted, OVER_BUFFER);
    for piece in bytes.chunks(32_000) {
        stream.write_all(piece).expect("taken");
        std::thread::sleep(Duration::from_millis(100)); // five times as fast as the slowest that is allowed
    }
    full.gate.open();
    let mut head = [0; 15];
    stream.read_exact(&mut head).expect("its answer");
    assert_eq!(&head, b"HTTP/1.1 200 OK");
    assert!(full.backend.seen().iter().any(|message| message.id() == "r-slow"));
}

#[test]
fn one_that_stops_in_a_long_request_while_it_waits_has_its_end_soon() {
    // Its own time would be over after 25 s only; whoever stops in the middle is owed an end within 3.
    let full = Full::new();
    for framing in FRAMINGS {
        let mut client = Uploader::new(&full.proxy);
        let request = request(&format!("r-stops-{framing:?}"), framing, OVER_BUFFER);
        let half = &request[..request.len() / 2];
        assert_eq!(client.send(half), half.len());
        let mut stream = client.0;
        stream.set_nonblocking(false).expect("a socket");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).expect("an answer");
        assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 408");
    }
    assert!(full.finish().iter().all(|id| !id.contains("stops")));
}
