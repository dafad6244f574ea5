//! Request and answer bodies larger than what the proxy buffers whole (64 KiB).

mod sockets;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use sockets::*;

/// What a backend has read of one request: its id, its body, and whether the body was complete.
type ReadRequest = (String, Vec<u8>, bool);

/// A backend that reads bodies of either framing and lets a closure answer.
struct RawBackend {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<ReadRequest>>>,
}

impl RawBackend {
    fn new(answer: impl Fn(&ReadRequest, &mut TcpStream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (address, seen) = (listener.local_addr().expect("bound"), Arc::new(Mutex::new(Vec::new())));
        let (answer, kept) = (Arc::new(answer), seen.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (answer, seen) = (answer.clone(), kept.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
                    let mut stream = stream;
                    while let Some(read) = read_request(&mut reader) {
                        let whole = read.2;
                        seen.lock().expect("no panic").push(read.clone());
                        answer(&read, &mut stream);
                        if !whole {
                            return;
                        }
                    }
                });
            }
        });
        RawBackend { address, seen }
    }

    fn requests(&self) -> Vec<ReadRequest> {
        self.seen.lock().expect("no panic").clone()
    }
}

fn headers(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => return Some(lines),
            text => lines.push(text.to_owned()),
        }
    }
}

fn value<'a>(lines: &'a [String], name: &str) -> Option<&'a str> {
    let pairs = lines.iter().filter_map(|l| l.split_once(':'));
    pairs.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next()
}

/// Reads a body by its length or its chunks, or to the connection's end without either; and whether it was complete.
fn read_body(reader: &mut impl BufRead, lines: &[String]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if value(lines, "transfer-encoding").is_none() {
        let Some(length) = value(lines, "content-length") else {
            let whole = reader.read_to_end(&mut body).is_ok();
            return (body, whole);
        };
        let length: u64 = length.parse().expect("a length");
        let _ = reader.take(length).read_to_end(&mut body);
        let whole = body.len() as u64 == length;
        return (body, whole);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).is_err() {
            return (body, false);
        }
        let Ok(size) = u64::from_str_radix(line.trim(), 16) else { return (body, false) };
        let before = body.len();
        let _ = reader.take(size).read_to_end(&mut body);
        line.clear();
        let ended = reader.read_line(&mut line).is_err() || line != "\r\n";
        if (body.len() - before) as u64 != size || ended {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<ReadRequest> {
    let lines = headers(reader)?;
    let id = value(&lines, "x-request-id").unwrap_or_default().to_owned();
    if value(&lines, "content-length").or(value(&lines, "transfer-encoding")).is_none() {
        return Some((id, Vec::new(), true));
    }
    let (body, whole) = read_body(reader, &lines);
    Some((id, body, whole))
}

/// Bytes with a long period, so that a missing piece is noticed.
fn content(size: usize) -> Vec<u8> {
    (0..size as u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 24) as u8).collect()
}

fn chunked(body: &[u8], chunk: usize) -> Vec<u8> {
    let mut out = Vec::new();
    for part in body.chunks(chunk) {
        out.extend(format!("{:x}\r\n", part.len()).bytes());
        out.extend(part);
        out.extend(b"\r\n");
    }
    out.extend(b"0\r\n\r\n");
    out
}

fn proxy(backends: &[&RawBackend], sockets: usize) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    let hosts: Vec<String> =
        backends.iter().enumerate().map(|(i, b)| host(&format!("s-{i}"), b.address, "up", 0)).collect();
    discovery.publish(&list(1, true, &hosts));
    let proxy = Proxy::up(&discovery, &Setup { sockets, ..Setup::default() });
    (discovery, proxy)
}

/// Writes a whole request, though the answer may come first, and reads the answer: status, body, whether it is complete.
fn send_request(proxy: &Proxy, request: &[u8]) -> (u16, Vec<u8>, bool) {
    let stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
    let mut writer = stream.try_clone().expect("a socket");
    let request = request.to_vec();
    let writing = thread::spawn(move || drop(writer.write_all(&request)));
    let mut reader = BufReader::new(stream);
    let (mut status, mut lines) = (100, Vec::new());
    while status == 100 {
        let Some(head) = headers(&mut reader) else { return (0, Vec::new(), false) };
        status = head[0].split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        lines = head;
    }
    let (body, whole) = read_body(&mut reader, &lines);
    drop(reader);
    let _ = writing.join();
    (status, body, whole)
}

fn upload(id: &str, framing: &str, body: &[u8]) -> Vec<u8> {
    let mut request = submit(id, "5", "").replace("Content-Length: 0", framing).into_bytes();
    request.extend(body);
    request
}

#[test]
fn large_answers_pass_unchanged_in_each_framing() {
    let body = content(3_000_000);
    for form in ["length", "chunked", "close"] {
        let text = body.clone();
        let backend = RawBackend::new(move |_, stream| {
            let (head, bytes) = match form {
                "length" => (format!("Content-Length: {}", text.len()), text.clone()),
                "chunked" => ("Transfer-Encoding: chunked".to_owned(), chunked(&text, 7001)),
                _ => ("Connection: close".to_owned(), text.clone()),
            };
            let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").as_bytes());
            let _ = stream.write_all(&bytes);
            if form == "close" {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        });
        let (_discovery, proxy) = proxy(&[&backend], 256);
        for id in ["a", "b"] {
            let (status, got, whole) = send_request(&proxy, page(id).as_bytes());
            assert!(status == 200 && whole && got == body, "{form} {id}: {status} {whole} {}", got.len());
        }
        // For HTTP/1.0 the close of the connection ends an answer without a length.
        let old = page("c").replace("HTTP/1.1", "HTTP/1.0");
        let (status, got, whole) = send_request(&proxy, old.as_bytes());
        assert!(status == 200 && whole && got == body, "{form}, 1.0: {status} {whole} {}", got.len());
        assert_eq!(backend.requests().len(), 3);
    }
}

#[test]
fn a_truncated_answer_is_never_taken_for_complete_and_its_request_not_repeated() {
    let body = content(300_000);
    let pieces = chunked(&body, 10_000);
    for (head, bytes) in [("Content-Length: 300000", &body), ("Transfer-Encoding: chunked", &pieces)] {
        for cut in [0, 1, 100, 65_536, 65_537, 70_000, 200_000, bytes.len() - 1] {
            let part = bytes[..cut].to_vec();
            let backend = RawBackend::new(move |_, stream| {
                let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").as_bytes());
                let _ = stream.write_all(&part);
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
            let other = RawBackend::new(|_, stream| drop(stream.write_all(ok("other").as_bytes())));
            let (_discovery, proxy) = proxy(&[&backend, &other], 256);
            // Either backend may get the request; a truncated answer must show as a 502 or as truncated.
            for id in 0..4 {
                let (status, got, whole) =
                    send_request(&proxy, &upload(&id.to_string(), "Content-Length: 1", b"x"));
                let fits = status == 502 || status == 200 && (!whole || got == b"other");
                assert!(fits, "{head}, cut at {cut}: {status} {whole} {}", got.len());
            }
            let all = [backend.requests(), other.requests()].concat();
            assert_eq!(all.len(), 4, "{head}, cut at {cut}: nothing runs twice");
        }
    }
}

#[test]
fn large_uploads_pass_unchanged_in_each_framing() {
    let backend = RawBackend::new(|_, stream| drop(stream.write_all(ok("done").as_bytes())));
    let (_discovery, proxy) = proxy(&[&backend], 256);
    for size in [65_536, 65_537, 100_000, 2_000_000] {
        let body = content(size);
        for (id, framing, bytes) in [
            (format!("l-{size}"), format!("Content-Length: {size}"), body.clone()),
            (format!("c-{size}"), "Transfer-Encoding: chunked".into(), chunked(&body, 999)),
            (format!("e-{size}"), format!("Expect: 100-continue\r\nContent-Length: {size}"), body.clone()),
        ] {
            let (status, ..) = send_request(&proxy, &upload(&id, &framing, &bytes));
            assert_eq!(status, 200, "{id}");
            let seen = backend.requests();
            let one: Vec<_> = seen.iter().filter(|r| r.0 == id).collect();
            assert!(one.len() == 1 && one[0].2 && one[0].1 == body, "{id}: {} times", one.len());
        }
    }
}

#[test]
fn large_uploads_that_waited_pass_unchanged_in_each_framing() {
    // The part read ahead while an upload waits must go out before what arrives later. The first requests fill the backend.
    let gate = Gate::default();
    let held = gate.clone();
    let backend = RawBackend::new(move |_, stream| {
        held.wait();
        let _ = stream.write_all(ok("done").as_bytes());
    });
    let (_discovery, proxy) = proxy(&[&backend], 256);
    let short_requests: Vec<_> =
        (0..12).map(|n| upload(&format!("r-{n}"), "Content-Length: 1", b"x")).collect();
    thread::scope(|scope| {
        let (proxy, backend) = (&proxy, &backend);
        for request in &short_requests {
            scope.spawn(move || send_request(proxy, request));
        }
        wait_for("the first request", || !backend.requests().is_empty());
        assert!(proxy.is_up());
        let mut waiting = Vec::new();
        for size in [65_537, 300_000, 2_000_000, 9_000_000] {
            let body = content(size);
            let counted = upload(&format!("l-{size}"), &format!("Content-Length: {size}"), &body);
            let pieces = upload(&format!("c-{size}"), "Transfer-Encoding: chunked", &chunked(&body, 999));
            for request in [counted, pieces] {
                waiting.push(scope.spawn(move || send_request(proxy, &request).0));
            }
        }
        thread::sleep(Duration::from_millis(300)); // much of the uploads has arrived by now
        gate.open();
        assert!(waiting.into_iter().all(|one| one.join().expect("no panic") == 200));
        for (id, body, whole) in backend.requests().iter().filter(|r| !r.0.starts_with("r-")) {
            let size: usize = id[2..].parse().expect("a size");
            assert!(*whole && *body == content(size), "{id}");
        }
    });
}

#[test]
fn an_upload_cut_off_by_its_client_never_runs() {
    let backend = RawBackend::new(|read, stream| {
        if read.2 {
            let _ = stream.write_all(ok("done").as_bytes());
        }
    });
    let (_discovery, proxy) = proxy(&[&backend], 256);
    let body = content(200_000);
    let pieces = chunked(&body, 5000);
    for (framing, bytes) in [("Content-Length: 200000", &body), ("Transfer-Encoding: chunked", &pieces)] {
        for cut in [0, 1, 1000, 65_536, 70_000, 150_000, bytes.len() - 1] {
            let id = format!("{}-{cut}", framing.len());
            let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
            stream.write_all(&upload(&id, framing, &bytes[..cut])).expect("taken");
            drop(stream);
            assert_eq!(send_request(&proxy, page(&format!("after-{id}")).as_bytes()).0, 200, "{id}");
        }
    }
    assert!(backend.requests().iter().all(|r| r.2 || r.0.contains('-')));
    assert!(backend.requests().iter().filter(|r| r.2).all(|r| r.0.starts_with("after")), "none ran");
}

#[test]
fn a_stalled_upload_gets_a_408_and_one_too_long_a_413() {
    let backend = RawBackend::new(|_, stream| drop(stream.write_all(ok("done").as_bytes())));
    let (_discovery, proxy) = proxy(&[&backend], 256);
    for (sent, framing) in
        [(0, "Content-Length: 10"), (5, "Content-Length: 10"), (80_000, "Content-Length: 9000000")]
    {
        let id = format!("s-{sent}");
        let mut client = Client::new(&proxy);
        client.send(&String::from_utf8(upload(&id, framing, &vec![b'x'; sent])).expect("text"));
        assert_eq!(client.last_answer(), Some((408, true)), "{id}");
    }
    let (status, ..) = send_request(
        &proxy,
        &upload("long", "Transfer-Encoding: chunked", &chunked(&content(34 << 20), 60_000)),
    );
    assert_eq!(status, 413);
    assert!(backend.requests().iter().all(|r| !r.2), "none ran");
}

#[test]
fn a_short_body_may_arrive_late_and_in_pieces() {
    let backend = RawBackend::new(|_, stream| drop(stream.write_all(ok("done").as_bytes())));
    let (_discovery, proxy) = proxy(&[&backend], 256);
    let pauses: [&[u64]; 3] = [&[1200], &[300, 300, 300, 300], &[900, 300]];
    thread::scope(|scope| {
        for (n, pauses) in pauses.iter().enumerate() {
            let address = proxy.address;
            scope.spawn(move || {
                let body = content(1000);
                let request = upload(&format!("p-{n}"), "Content-Length: 1000", &body);
                let mut stream = TcpStream::connect(address).expect("the proxy accepts");
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
                let (mut sent, head) = (0, request.len() - body.len());
                for (piece, pause) in pauses.iter().enumerate() {
                    stream.write_all(&request[sent..head + piece]).expect("taken");
                    sent = head + piece;
                    thread::sleep(Duration::from_millis(*pause));
                }
                stream.write_all(&request[sent..]).expect("taken");
                let lines = headers(&mut BufReader::new(stream)).expect("an answer");
                assert!(lines[0].contains(" 200 "), "{pauses:?}: {}", lines[0]);
            });
        }
    });
}

#[test]
fn an_upload_is_retried_only_while_its_beginning_is_still_buffered() {
    // An unreachable backend fails no upload; one that breaks off in the middle leads to a 503, as the request never ran.
    let (dead, _held) = dead_address();
    let good = RawBackend::new(|_, stream| drop(stream.write_all(ok("done").as_bytes())));
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", dead, "up", 0), host("s-1", good.address, "up", 0)]));
    let served = Proxy::up(&discovery, &Setup::default());
    for id in 0..6 {
        let body = content(500_000);
        assert_eq!(send_request(&served, &upload(&id.to_string(), "Content-Length: 500000", &body)).0, 200);
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let broken = listener.local_addr().expect("bound");
    let taken = Arc::new(Mutex::new(0));
    let count = taken.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.read_exact(&mut vec![0; 300_000]);
            *count.lock().expect("no panic") += 1; // and it closes the connection with much unread
        }
    });
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", broken, "up", 0)]));
    let refused = Proxy::up(&discovery, &Setup::default());
    let (status, ..) = send_request(&refused, &upload("r", "Content-Length: 9000000", &content(9_000_000)));
    assert_eq!((status, *taken.lock().expect("no panic")), (503, 1), "refused at once, and not sent again");
}

#[test]
fn many_large_answers_to_slow_readers_take_little_memory() {
    const READERS: usize = 200;
    let backend = RawBackend::new(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
        let piece = [b'x'; 32 << 10];
        for _ in 0..1024 {
            if stream.write_all(&piece).is_err() {
                return;
            }
        }
    });
    let (_discovery, proxy) = proxy(&[&backend], 1024);
    let before = proxy.resident_kib();
    let mut readers: Vec<TcpStream> = Vec::new();
    for id in 0..READERS {
        let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        stream.write_all(page(&format!("r-{id}")).as_bytes()).expect("taken");
        readers.push(stream);
    }
    // Each answer has begun, and then no client reads for a while.
    for stream in &mut readers {
        let mut head = [0; 64];
        stream.read_exact(&mut head).expect("it begins");
        assert!(head.starts_with(b"HTTP/1.1 200"));
    }
    let held = proxy.resident_kib() - before;
    assert!(held < 40_000, "{held} KiB for {READERS} answers of 32 MiB");
    // A client that goes on reading gets the rest.
    let first = &mut readers[0];
    let mut got = 0u64;
    while got < 33_000_000 {
        let n = first.read(&mut [0; 65_536]).expect("it goes on");
        assert!(n > 0, "cut after {got}");
        got += n as u64;
    }
}
