//! Clients that disconnect during a long request, much of which is still unread: nothing is started for them any more, and
//! a client that is merely slow is not taken for disconnected.
mod sockets;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use sockets::saturated::Saturated;
use sockets::*;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    /// It shuts down its write side and still reads.
    HalfClose,
    /// It resets the connection.
    Reset,
}

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Counted,
    Chunked,
}

const DISCONNECTS: [Disconnect; 2] = [Disconnect::HalfClose, Disconnect::Reset];
const FRAMINGS: [Framing; 2] = [Framing::Counted, Framing::Chunked];
/// More bytes than the system buffers of a body that is not read.
const OVER_BUFFER: usize = 300_000;

fn request(id: &str, framing: Framing, size: usize) -> Vec<u8> {
    let (header, body) = match framing {
        Framing::Counted => (format!("Content-Length: {size}"), "x".repeat(size)),
        Framing::Chunked => (
            "Transfer-Encoding: chunked".to_owned(),
            format!("{size:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(size)),
        ),
    };
    let head = submit(id, "25", "").replace("Content-Length: 0", &header);
    (head + &body).into_bytes()
}

/// A client that does not block until the proxy reads what it sends.
struct Uploader(TcpStream);

impl Uploader {
    fn new(proxy: &Proxy) -> Self {
        let stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
        stream.set_nonblocking(true).expect("a socket");
        Uploader(stream)
    }

    /// Sends what the system accepts at once; returns how many bytes that is.
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

    /// Disconnects; returns the socket, still open for reading, if only the write side was shut down.
    fn disconnect(self, how: Disconnect) -> Option<TcpStream> {
        match how {
            Disconnect::HalfClose => {
                self.0.shutdown(Shutdown::Write).expect("a connection");
                Some(self.0)
            }
            Disconnect::Reset => {
                socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).expect("a connection");
                None
            }
        }
    }
}

/// Whether the proxy closes the connection without an answer.
fn is_dropped(mut stream: TcpStream) -> bool {
    stream.set_nonblocking(false).expect("a socket");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
    match stream.read(&mut [0; 1]) {
        Ok(n) => n == 0,
        Err(e) => e.kind() == ErrorKind::ConnectionReset,
    }
}

#[test]
fn a_disconnect_during_a_queued_upload_is_detected() {
    let full = Saturated::new();
    let before = full.proxy.descriptors();
    for size in [65_535, 65_536, 65_537, 150_000, OVER_BUFFER, 1_000_000, 32 << 20] {
        for (framing, how) in FRAMINGS.iter().flat_map(|f| DISCONNECTS.map(|l| (*f, l))) {
            let mut client = Uploader::new(&full.proxy);
            client.send(&request(&format!("r-gone-{size}-{framing:?}-{how:?}"), framing, size));
            assert!(full.proxy.is_up());
            if let Some(rest) = client.disconnect(how) {
                assert!(is_dropped(rest), "{size} {framing:?} {how:?}: its disconnect is seen");
            }
        }
    }
    wait_for("their ends", || full.proxy.descriptors() <= before);
    let seen = full.finish();
    assert!(!seen.iter().any(|id| id.contains("gone")), "{seen:?}");
}

#[test]
fn many_simultaneous_disconnects_during_queued_uploads_are_detected() {
    let full = Saturated::new();
    let before = full.proxy.descriptors();
    let mut clients: Vec<Uploader> = (0..60).map(|_| Uploader::new(&full.proxy)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request(&format!("r-gone-{n}"), FRAMINGS[n % 2], OVER_BUFFER));
    }
    assert!(full.proxy.is_up());
    let half_closed: Vec<TcpStream> =
        clients.into_iter().enumerate().filter_map(|(n, c)| c.disconnect(DISCONNECTS[n / 2 % 2])).collect();
    assert!(half_closed.into_iter().all(is_dropped));
    wait_for("their ends", || full.proxy.descriptors() <= before);
    let seen = full.finish();
    assert!(!seen.iter().any(|id| id.contains("gone")), "{seen:?}");
}

#[test]
fn nothing_is_written_if_the_client_disconnects_while_the_backend_connection_is_established() {
    for (framing, how) in FRAMINGS.iter().flat_map(|f| DISCONNECTS.map(|l| (*f, l))) {
        let (slow, full) = full_listener();
        let discovery = Discovery::new();
        discovery.publish(&list(1, true, &[host("s-0", slow.local_addr().unwrap(), "up", 0)]));
        let patient = Setup { dial_timeout: 30_000, deadline: 40_000, ..Setup::default() };
        let proxy = Proxy::up(&discovery, &patient);
        let mut client = Uploader::new(&proxy);
        client.send(&request("r-gone", framing, OVER_BUFFER));
        assert!(proxy.is_up()); // by now its backend connection has most likely been begun
        let with_client = proxy.descriptors();
        assert!(client.disconnect(how).is_none_or(is_dropped), "{framing:?} {how:?}: its disconnect is seen");
        wait_for("its end", || proxy.descriptors() < with_client);
        full.iter().for_each(|_| drop(slow.accept().unwrap()));
        let (mut connection, _) = slow.accept().unwrap();
        connection.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut bytes = Vec::new();
        let _ = connection.read_to_end(&mut bytes); // an end or a reset
        assert!(bytes.is_empty(), "{framing:?} {how:?}: {} bytes", bytes.len());
    }
}

#[test]
fn a_disconnect_in_the_middle_of_an_upload_cuts_it_off_at_the_backend() {
    for (framing, how) in FRAMINGS.iter().flat_map(|f| DISCONNECTS.map(|l| (*f, l))) {
        // A backend that begins to read and then waits until the client has disconnected.
        let (begun, go) = (Gate::default(), Gate::default());
        let (begins, goes) = (begun.clone(), go.clone());
        let (sender, read) = std::sync::mpsc::channel();
        let sender = std::sync::Mutex::new(sender);
        let address = serve(move |_, mut stream| {
            let mut bytes = vec![0; 1000];
            stream.read_exact(&mut bytes).expect("its beginning");
            begins.open();
            goes.wait();
            let _ = stream.read_to_end(&mut bytes); // an end or a reset
            let _ = sender.lock().expect("no panic").send(bytes);
        });
        let discovery = Discovery::new();
        discovery.publish(&list(1, true, &[host("s-0", address, "up", 0)]));
        let proxy = Proxy::up(&discovery, &Setup { deadline: 25_000, ..Setup::default() });
        let bytes = request("r-gone", framing, 20 << 20);
        let mut client = Uploader::new(&proxy);
        let mut sent = client.send(&bytes);
        begun.wait();
        sent += client.send(&bytes[sent..]);
        assert!(sent < bytes.len(), "it can't have sent all of it");
        let _rest = client.disconnect(how);
        go.open();
        let got = read.recv_timeout(WAIT_TIMEOUT).expect("the backend's end");
        assert!(
            got.len() < bytes.len() && !got.ends_with(b"0\r\n\r\n"),
            "{framing:?} {how:?}: {}",
            got.len()
        );
    }
}

#[test]
fn a_slow_client_is_not_taken_for_disconnected() {
    let full = Saturated::new();
    let mut stream = TcpStream::connect(full.proxy.address).expect("the proxy accepts");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
    let bytes = request("r-slow", Framing::Counted, OVER_BUFFER);
    for piece in bytes.chunks(32_000) {
        stream.write_all(piece).expect("taken");
        std::thread::sleep(Duration::from_millis(100)); // five times as fast as the slowest rate allowed
    }
    full.gate.open();
    let mut head = [0; 15];
    stream.read_exact(&mut head).expect("its answer");
    assert_eq!(&head, b"HTTP/1.1 200 OK");
    assert!(full.backend.requests().iter().any(|message| message.id() == "r-slow"));
}

#[test]
fn an_upload_that_stalls_while_it_waits_soon_gets_a_408() {
    // Its deadline is 25 s away; a client that stalls in the middle of a request has to get its answer within 3 s.
    let full = Saturated::new();
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
