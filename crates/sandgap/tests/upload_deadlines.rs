//! Long requests and their clients' time: it runs from the last byte that the client has sent, wherever that byte stands.
mod sockets;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use sockets::full::Full;
use sockets::*;

/// What may lie between reading a clock and writing what it says.
const SLACK: f64 = 0.15;
/// How long the request stands behind another at least.
const WAIT: Duration = Duration::from_millis(700);

fn upload(id: &str, timeout: &str, size: usize, chunked: bool) -> Vec<u8> {
    let (told, body) = match chunked {
        false => (format!("Content-Length: {size}"), "x".repeat(size)),
        true => {
            let parts = (0..size / 1000).map(|_| format!("3e8\r\n{}\r\n", "x".repeat(1000)));
            ("Transfer-Encoding: chunked".to_owned(), parts.collect::<String>() + "0\r\n\r\n")
        }
    };
    (submit(id, timeout, "").replace("Content-Length: 0", &told) + &body).into_bytes()
}

fn send(proxy: SocketAddr, request: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(proxy).expect("the proxy accepts");
    stream.write_all(request).expect("the proxy reads");
    stream
}

#[test]
fn a_long_request_that_waited_tells_its_backend_what_is_left() {
    for (size, chunked) in [(70_000, false), (150_000, false), (3_000_000, false)] {
        let full = Full::new();
        let sent = Instant::now();
        let _client = send(full.proxy.address, &upload("r-waits", "20", size, chunked));
        let written = sent.elapsed();
        thread::sleep(WAIT);
        // The client's last byte went out after `sent`, and `written` later at the latest.
        let waited = sent.elapsed().saturating_sub(written).as_secs_f64();
        full.gate.open();
        let told = || {
            let seen = full.backend.seen();
            let request = seen.iter().find(|m| m.id() == "r-waits")?;
            request.header("x-timeout").map(|t| t.parse::<f64>().expect("a number"))
        };
        wait_for("the long request", || told().is_some());
        let told = told().expect("just seen");
        assert!(told <= 20.0 - waited + SLACK, "{size} {chunked}: {told} s told, {waited:.3} s waited");
    }
}

#[test]
fn an_upload_that_waited_is_answered_by_its_clients_time() {
    // It has come whole while it waited; then its backend says nothing. Its client's time has run all the while.
    let [first, silent] = [Gate::default(), Gate::default()];
    let (opened, held) = (first.clone(), silent.clone());
    let backend = Backend::with(move |message| match message.id() {
        "r-long" | "r-short" => Deed::Hold(held.clone(), ok("")),
        _ => Deed::Hold(opened.clone(), ok("")),
    });
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup { deadline: 4000, ..Setup::default() });
    let mut others: Vec<Client> = (0..12).map(|_| Client::new(&proxy)).collect();
    for (n, client) in others.iter_mut().enumerate() {
        client.send(&page(&format!("r-{n}")));
    }
    wait_for("the first", || !backend.seen().is_empty());
    let long = send(proxy.address, &upload("r-long", "3", 150_000, false));
    let mut short = send(proxy.address, submit("r-short", "4", "x").as_bytes());
    thread::sleep(Duration::from_millis(2000));
    first.open();
    // The short one's time is over 1 s after the long one's; counted from when it went out, the long one's came last.
    short.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let mut answer = [0; 12];
    short.read_exact(&mut answer).expect("an answer");
    long.set_nonblocking(true).expect("a socket");
    let before = long.peek(&mut answer);
    silent.open();
    assert!(matches!(before, Ok(1..)), "the long one is not answered before: {before:?}");
}

/// A listener whose connections buffer little of what nobody reads.
fn with_small_buffers() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    socket.listen(16).expect("a queue");
    TcpListener::from(socket)
}

/// A backend that takes connections and reads nothing of what comes on them, until the receiver's sender is dropped.
fn deaf_backend() -> (SocketAddr, mpsc::Sender<()>) {
    let listener = with_small_buffers();
    let address = listener.local_addr().expect("an address");
    let (hold, held) = mpsc::channel::<()>();
    thread::spawn(move || {
        listener.set_nonblocking(true).expect("a socket");
        let mut connections = Vec::new();
        while let Err(mpsc::TryRecvError::Empty) = held.try_recv() {
            connections.extend(listener.accept());
            thread::sleep(Duration::from_millis(5));
        }
    });
    (address, hold)
}

#[test]
fn a_backend_that_takes_nothing_of_a_long_request_holds_up_no_answer() {
    let (deaf, _hold) = deaf_backend();
    let discovery = Discovery::new();
    discovery.say(&list(1, true, &[host("s-0", deaf, "up", 0)]));
    let proxy = Proxy::up(&discovery, &Setup { deadline: 1500, ..Setup::default() });
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    let mut writer = stream.try_clone().expect("a socket");
    let writing = thread::spawn(move || {
        let _ = writer.write_all(&upload("r-deaf", "1.5", 20_000_000, false)); // it may be answered before its end
    });
    // What the system buffers is far less than that: the backend stops in the middle.
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).expect("an answer, though the backend never takes the request");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.starts_with("HTTP/1.1 5"), "{answer}");
    drop(stream);
    let _ = writing.join();
}

/// A backend that reads what comes on its first connection at a steady, slow pace; the receiver hears once that was
/// so many bytes.
fn slow_backend(bytes: usize) -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = with_small_buffers();
    let address = listener.local_addr().expect("an address");
    let (done, is_done) = mpsc::channel::<()>();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let (mut piece, mut read) = (vec![0; SLOW_PIECE], 0);
        while read < bytes {
            match stream.read_exact(&mut piece) {
                Ok(()) => read += piece.len(),
                Err(_) => break, // the proxy has given it up
            }
            thread::sleep(SLOW_PAUSE);
        }
        if read >= bytes {
            let _ = done.send(()); // the test may have ended
        }
    });
    (address, is_done)
}

/// What a slow backend reads at once, and how long it rests then: less than 700 kB a second. The system tells of room
/// only once a third of its buffer is free, which is about 800 kB here.
const SLOW_PIECE: usize = 32 << 10;
const SLOW_PAUSE: Duration = Duration::from_millis(45);

#[test]
fn a_backend_that_takes_a_long_request_slowly_is_given_up_with_its_clients_time() {
    const SIZE: usize = 9_000_000;
    let (slow, has_read) = slow_backend(SIZE / 4 * 3);
    let discovery = Discovery::new();
    discovery.say(&list(1, true, &[host("s-0", slow, "up", 0)]));
    let proxy = Proxy::up(&discovery, &Setup { deadline: 2500, ..Setup::default() });
    // The client has written its last byte long before the backend has read most of it: systems and proxy hold the rest.
    let mut stream = send(proxy.address, &upload("r-slow", "2.5", SIZE, false));
    let written = Instant::now();
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).expect("an answer");
    let waited = written.elapsed();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.starts_with("HTTP/1.1 5"), "{answer}");
    assert!(has_read.try_recv().is_err(), "answered only {waited:?} after the last byte");
}
