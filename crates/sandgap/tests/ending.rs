//! The end of a process among requests that nobody answers, answers that nobody reads yet, and idle clients.
mod sockets;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sandgap::socket::Socket;
use sockets::*;

/// Longer than a process may go on after SIGTERM: what is answered by this deadline is answered too late.
const PATIENT: u32 = 25_000;

#[test]
fn at_sigterm_each_request_has_its_answer_while_the_process_may_live() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |_| Deed::Hold(held.clone(), ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let mut proxy = Proxy::up(&discovery, &Setup { deadline: PATIENT, ..Setup::default() });
    let mut clients: Vec<Client> = (0..12).map(|_| Client::new(&proxy)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("r-{n}"), "25", "x"));
    }
    let mut half = Client::new(&proxy);
    let text = submit("r-half", "25", "x");
    half.send(&text[..text.len() / 2]);
    wait_for("the first", || !backend.seen().is_empty());
    assert!(proxy.is_up());
    proxy.terminate();
    let began = Instant::now();
    std::thread::sleep(Duration::from_millis(1000));
    half.send(&text[text.len() / 2..]);
    let statuses: Vec<u16> = clients.iter_mut().map(|c| status(c.answer())).collect();
    let last = status(half.answer());
    assert!(proxy.wait().success());
    // No verdict by a stopwatch: by the requests' own deadlines it would have been 25 s.
    assert!(began.elapsed() < Duration::from_secs(18), "{:?}", began.elapsed());
    let sent = backend.seen().len();
    assert_eq!(
        statuses.iter().filter(|s| **s == 502).count(),
        sent,
        "{statuses:?}: what may have run has failed"
    );
    assert!(statuses.iter().all(|s| matches!(s, 502 | 503)), "{statuses:?}: the others never went out");
    assert_eq!(last, 503);
}

/// A backend whose one answer is long, and that counts what it has written whole.
fn long_backend(size: usize) -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let written = Arc::new(AtomicUsize::new(0));
    let done = written.clone();
    let address = serve(move |mut reader, mut stream| {
        if read_message(&mut reader).is_some() {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\nConnection: close\r\n\r\n");
            let body = vec![b'y'; size];
            if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body)).is_ok() {
                done.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    (address, written)
}

/// An answer whose reader stands still with so many bytes more read than when the proxy had taken all of it, at SIGTERM.
/// What came of it, over its length.
fn tail(more: usize) -> Result<usize, String> {
    const SIZE: usize = 12 << 20;
    const STEP: usize = 4 << 10;
    let (address, written) = long_backend(SIZE);
    let discovery = Discovery::new();
    discovery.say(&list(1, true, &[host("s-0", address, "up", 0)]));
    let proxy = Proxy::up(&discovery, &Setup { deadline: PATIENT, ..Setup::default() });
    let before = proxy.descriptors();
    let mut client = TcpStream::connect(proxy.address).expect("the proxy accepts");
    client.set_read_timeout(Some(LIMIT)).expect("a time-out");
    client.write_all(page("r-long").as_bytes()).expect("a connection");
    let (mut got, mut buffer) = (0, vec![0; 64 << 10]);
    while written.load(Ordering::SeqCst) == 0 {
        got += client.read(&mut buffer[..STEP]).expect("bytes");
        std::thread::sleep(Duration::from_micros(20));
    }
    // Its backend ends the connection behind the answer, and it goes once the answer is in.
    while proxy.descriptors() > before + 1 {
        got += client.read(&mut buffer[..STEP]).expect("bytes");
        std::thread::sleep(Duration::from_millis(1));
    }
    for _ in 0..more {
        got += client.read(&mut buffer[..STEP]).expect("bytes");
    }
    proxy.terminate();
    // Longer than a process takes that has nothing left to do.
    std::thread::sleep(Duration::from_millis(2000));
    loop {
        match client.read(&mut buffer) {
            Ok(0) => return Ok(got.saturating_sub(SIZE)),
            Ok(n) => got += n,
            Err(e) => return Err(format!("{more}: after {got} bytes of {SIZE}: {e}")),
        }
    }
}

#[test]
fn the_tail_of_an_answer_that_waits_for_its_reader_is_not_cut_off_at_sigterm() {
    let all: Vec<_> = (0..12).map(|more| std::thread::spawn(move || tail(more))).collect();
    let all: Vec<_> = all.into_iter().map(|t| t.join().expect("no panic")).collect();
    assert!(all.iter().all(|r| matches!(r, Ok(head) if *head > 0)), "0 is an answer cut off: {all:?}");
}

#[test]
fn clients_that_stay_and_backends_together_keep_within_the_descriptors() {
    const MOST: usize = 256;
    let gate = Gate::default();
    let backends: Vec<Backend> = (0..30)
        .map(|_| {
            let held = gate.clone();
            Backend::with(move |_| Deed::Hold(held.clone(), ok("")))
        })
        .collect();
    let discovery = Discovery::new();
    discovery.say(&all_up(&backends.iter().collect::<Vec<_>>()));
    let proxy = Proxy::up(&discovery, &Setup { sockets: MOST, deadline: PATIENT, ..Setup::default() });
    // They come first, and ask together once they fill all that clients may.
    let mut clients: Vec<Client> = (0..240).map(|_| Client::new(&proxy)).collect();
    assert!(proxy.is_up());
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("r-{n}"), "25", "x"));
    }
    let seen = || backends.iter().map(|b| b.seen().len()).sum::<usize>();
    wait_for("requests at backends", || seen() >= 25);
    let mut most = 0;
    for _ in 0..200 {
        most = most.max(proxy.descriptors());
        std::thread::sleep(Duration::from_millis(5));
    }
    gate.open();
    println!("{most} descriptors, {} requests at backends", seen());
    assert!(most <= MOST, "{most}");
}

#[test]
fn a_request_that_crosses_the_close_stays_unread_and_is_reset() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut client = TcpStream::connect(address).expect("a connection");
        client.set_read_timeout(Some(LIMIT)).expect("a time-out");
        let socket = Socket::new(listener.accept().await.expect("a connection").0);
        socket.shutdown_write().expect("a connection");
        client.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("a connection");
        socket.readable().await;
        drop(socket);
        assert_eq!(client.read(&mut [0; 1]).map_err(|e| e.kind()).unwrap_or(0), 0, "an end or a reset");
        // A reset, which tells the client that nobody has read it.
        wait_for("the reset", || {
            let error = client.take_error().expect("a socket").map(|e| e.kind());
            let broken = client.write_all(b"x").map_err(|e| e.kind());
            error.is_some() || broken.is_err()
        });
    });
}

#[test]
fn idle_clients_that_fill_the_descriptors_keep_neither_news_nor_signals_out() {
    for descriptors in [None, Some(64)] {
        let backends = ["one", "two"].map(|text| Backend::new(Deed::Write(ok(text))));
        let discovery = Discovery::new();
        discovery.say(&all_up(&[&backends[0], &backends[1]]));
        let setup = Setup { sockets: 64, descriptors, admin: true, ..Setup::default() };
        let proxy = Proxy::up(&discovery, &setup);
        // Discovery is silent from here on, and all of the room is taken by clients that ask once and stay.
        discovery.hush();
        discovery.freeze(0);
        let mut idle: Vec<Client> = (0..200).map(|_| Client::new(&proxy)).collect();
        for (n, client) in idle.iter_mut().enumerate() {
            client.send(&page(&format!("r-idle-{n}")));
        }
        let served = idle.iter_mut().filter_map(Client::answer).count();
        assert!(served >= 20, "{served}");
        assert!(proxy.descriptors() <= 64, "{}", proxy.descriptors());
        assert!(proxy.call(b"ready\n").contains("200 ready"), "staff are answered");
        proxy.reload(&config(discovery.address, &Setup { sockets: 64, admin: true, ..Setup::default() }));
        wait_for("the settings", || proxy.said("settings in force"));
        discovery.say(&first_drains_whole(&backends, 2));
        discovery.speak();
        let mut n = 0;
        wait_for("the drain", || {
            n += 1;
            (0..10).all(|i| {
                let answer = Client::new(&proxy).ask(&page(&format!("r-{n}-{i}")));
                answer.is_some_and(|a| a.text() == "two")
            })
        });
        assert!(proxy.descriptors() <= 64, "{}", proxy.descriptors());
    }
}

#[test]
fn sigterm_before_the_first_list_leaves_nobody_without_an_answer() {
    let discovery = Discovery::new();
    discovery.hush();
    let mut proxy = Proxy::start(&discovery, &Setup { deadline: PATIENT, ..Setup::default() });
    let mut early = Client::new(&proxy);
    early.send(&submit("r-early", "25", "x"));
    wait_for("a call to discovery", || discovery.calls() > 0);
    proxy.terminate();
    let mut late = Client::new(&proxy);
    late.send(&submit("r-late", "25", "x"));
    assert_eq!((status(early.answer()), status(late.answer())), (503, 503), "neither went out");
    assert!(proxy.wait().success());
}

#[test]
fn further_signals_while_it_ends_change_nothing() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |_| Deed::Hold(held.clone(), ok("well")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let mut proxy = Proxy::up(&discovery, &Setup { deadline: PATIENT, ..Setup::default() });
    let mut client = Client::new(&proxy);
    client.send(&submit("r-1", "25", "x"));
    wait_for("the request", || backend.seen().len() == 1);
    proxy.terminate();
    proxy.reload("half a file");
    proxy.terminate();
    proxy.reload(&config(discovery.address, &Setup { deadline: PATIENT, ..Setup::default() }));
    wait_for("the settings", || proxy.said("settings in force"));
    proxy.terminate();
    gate.open();
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "well"));
    assert!(client.is_closed());
    assert!(proxy.wait().success());
    assert_eq!(backend.seen().len(), 1);
}
