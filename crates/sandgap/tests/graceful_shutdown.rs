//! Graceful shutdown with requests that no backend answers, answers that clients have not read yet, and idle clients.
mod sockets;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sandgap::socket::Socket;
use sockets::*;

/// A deadline in ms, longer than a process may run after SIGTERM: an answer at this deadline would be too late.
const LONG_DEADLINE_MS: u32 = 25_000;

#[test]
fn after_sigterm_each_request_is_answered_within_the_shutdown_time() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |_| Action::Hold(held.clone(), ok("")));
    let discovery = Discovery::new();
    discovery.publish(&list_all_up(&[&backend]));
    let mut proxy = Proxy::up(&discovery, &Setup { deadline: LONG_DEADLINE_MS, ..Setup::default() });
    let mut clients: Vec<Client> = (0..12).map(|_| Client::new(&proxy)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("r-{n}"), "25", "x"));
    }
    let mut half = Client::new(&proxy);
    let text = submit("r-half", "25", "x");
    half.send(&text[..text.len() / 2]);
    wait_for("the first request", || !backend.requests().is_empty());
    assert!(proxy.is_up());
    proxy.terminate();
    let began = Instant::now();
    std::thread::sleep(Duration::from_millis(1000));
    half.send(&text[text.len() / 2..]);
    let statuses: Vec<u16> = clients.iter_mut().map(|c| status(c.answer())).collect();
    let last = status(half.answer());
    assert!(proxy.wait().success());
    // The bound is loose on purpose: by the requests' own deadlines it would have been 25 s.
    assert!(began.elapsed() < Duration::from_secs(18), "{:?}", began.elapsed());
    let sent = backend.requests().len();
    assert_eq!(
        statuses.iter().filter(|s| **s == 502).count(),
        sent,
        "{statuses:?}: what may have run is answered 502"
    );
    assert!(statuses.iter().all(|s| matches!(s, 502 | 503)), "{statuses:?}: the others were never sent");
    assert_eq!(last, 503);
}

/// A backend with one large answer, which counts the answers it has written in full.
fn large_answer_backend(size: usize) -> (std::net::SocketAddr, Arc<AtomicUsize>) {
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

/// Sends SIGTERM while a client has stopped reading an answer, `more` reads of 4 KiB after the proxy had received all of
/// it. Returns how many bytes the client got beyond the length of the body, which are those of the head.
fn bytes_beyond_body(more: usize) -> Result<usize, String> {
    const SIZE: usize = 12 << 20;
    const STEP: usize = 4 << 10;
    let (address, written) = large_answer_backend(SIZE);
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", address, "up", 0)]));
    let proxy = Proxy::up(&discovery, &Setup { deadline: LONG_DEADLINE_MS, ..Setup::default() });
    let before = proxy.descriptors();
    let mut client = TcpStream::connect(proxy.address).expect("the proxy accepts");
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
    client.write_all(page("r-long").as_bytes()).expect("a connection");
    let (mut got, mut buffer) = (0, vec![0; 64 << 10]);
    while written.load(Ordering::SeqCst) == 0 {
        got += client.read(&mut buffer[..STEP]).expect("bytes");
        std::thread::sleep(Duration::from_micros(20));
    }
    // The backend closes its connection after the answer, and the proxy's descriptor goes once the answer is read.
    while proxy.descriptors() > before + 1 {
        got += client.read(&mut buffer[..STEP]).expect("bytes");
        std::thread::sleep(Duration::from_millis(1));
    }
    for _ in 0..more {
        got += client.read(&mut buffer[..STEP]).expect("bytes");
    }
    proxy.terminate();
    // Longer than a process with nothing left to do takes to exit.
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
fn sigterm_does_not_truncate_an_answer_whose_client_reads_slowly() {
    let all: Vec<_> = (0..12).map(|more| std::thread::spawn(move || bytes_beyond_body(more))).collect();
    let all: Vec<_> = all.into_iter().map(|t| t.join().expect("no panic")).collect();
    assert!(all.iter().all(|r| matches!(r, Ok(head) if *head > 0)), "0 is a truncated answer: {all:?}");
}

#[test]
fn client_and_backend_connections_together_stay_within_the_socket_limit() {
    const MOST: usize = 256;
    let gate = Gate::default();
    let backends: Vec<Backend> = (0..30)
        .map(|_| {
            let held = gate.clone();
            Backend::with(move |_| Action::Hold(held.clone(), ok("")))
        })
        .collect();
    let discovery = Discovery::new();
    discovery.publish(&list_all_up(&backends.iter().collect::<Vec<_>>()));
    let proxy =
        Proxy::up(&discovery, &Setup { sockets: MOST, deadline: LONG_DEADLINE_MS, ..Setup::default() });
    // The clients connect first and send their requests together once they fill the clients' part of the budget.
    let mut clients: Vec<Client> = (0..240).map(|_| Client::new(&proxy)).collect();
    assert!(proxy.is_up());
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("r-{n}"), "25", "x"));
    }
    let seen = || backends.iter().map(|b| b.requests().len()).sum::<usize>();
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
fn a_request_that_arrives_after_shutdown_of_the_write_side_is_reset() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut client = TcpStream::connect(address).expect("a connection");
        client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        let socket = Socket::new(listener.accept().await.expect("a connection").0);
        socket.shutdown_write().expect("a connection");
        client.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("a connection");
        socket.readable().await;
        drop(socket);
        assert_eq!(client.read(&mut [0; 1]).map_err(|e| e.kind()).unwrap_or(0), 0, "an end or a reset");
        // A reset, which tells the client that its request was not read.
        wait_for("the reset", || {
            let error = client.take_error().expect("a socket").map(|e| e.kind());
            let broken = client.write_all(b"x").map_err(|e| e.kind());
            error.is_some() || broken.is_err()
        });
    });
}

#[test]
fn idle_clients_that_fill_the_descriptors_block_neither_discovery_nor_signals() {
    for descriptor_limit in [None, Some(64)] {
        let backends = ["one", "two"].map(|text| Backend::new(Action::Write(ok(text))));
        let discovery = Discovery::new();
        discovery.publish(&list_all_up(&[&backends[0], &backends[1]]));
        let setup = Setup { sockets: 64, descriptor_limit, admin: true, ..Setup::default() };
        let proxy = Proxy::up(&discovery, &setup);
        // Discovery is silent from here on, and clients that send one request and stay connected take all of the room.
        discovery.stop_answering();
        discovery.freeze_watches(0);
        let mut idle: Vec<Client> = (0..200).map(|_| Client::new(&proxy)).collect();
        for (n, client) in idle.iter_mut().enumerate() {
            client.send(&page(&format!("r-idle-{n}")));
        }
        let served = idle.iter_mut().filter_map(Client::answer).count();
        assert!(served >= 20, "{served}");
        assert!(proxy.descriptors() <= 64, "{}", proxy.descriptors());
        assert!(proxy.admin_call(b"ready\n").contains("200 ready"), "the admin call is answered");
        proxy.reload(&config(discovery.address, &Setup { sockets: 64, admin: true, ..Setup::default() }));
        wait_for("the settings", || proxy.log_contains("settings in force"));
        discovery.publish(&whole_list_first_draining(&backends, 2));
        discovery.resume_answering();
        let mut n = 0;
        wait_for("the drain", || {
            n += 1;
            (0..10).all(|i| {
                let answer = Client::new(&proxy).request(&page(&format!("r-{n}-{i}")));
                answer.is_some_and(|a| a.text() == "two")
            })
        });
        assert!(proxy.descriptors() <= 64, "{}", proxy.descriptors());
    }
}

#[test]
fn sigterm_before_the_first_list_answers_every_request() {
    let discovery = Discovery::new();
    discovery.stop_answering();
    let mut proxy = Proxy::start(&discovery, &Setup { deadline: LONG_DEADLINE_MS, ..Setup::default() });
    let mut early = Client::new(&proxy);
    early.send(&submit("r-early", "25", "x"));
    wait_for("a call to discovery", || discovery.calls() > 0);
    proxy.terminate();
    let mut late = Client::new(&proxy);
    late.send(&submit("r-late", "25", "x"));
    assert_eq!((status(early.answer()), status(late.answer())), (503, 503), "neither was sent to a backend");
    assert!(proxy.wait().success());
}

#[test]
fn further_signals_during_shutdown_change_nothing() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |_| Action::Hold(held.clone(), ok("well")));
    let discovery = Discovery::new();
    discovery.publish(&list_all_up(&[&backend]));
    let mut proxy = Proxy::up(&discovery, &Setup { deadline: LONG_DEADLINE_MS, ..Setup::default() });
    let mut client = Client::new(&proxy);
    client.send(&submit("r-1", "25", "x"));
    wait_for("the request", || backend.requests().len() == 1);
    proxy.terminate();
    proxy.reload("half a file");
    proxy.terminate();
    proxy.reload(&config(discovery.address, &Setup { deadline: LONG_DEADLINE_MS, ..Setup::default() }));
    wait_for("the settings", || proxy.log_contains("settings in force"));
    proxy.terminate();
    gate.open();
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "well"));
    assert!(client.is_closed());
    assert!(proxy.wait().success());
    assert_eq!(backend.requests().len(), 1);
}
