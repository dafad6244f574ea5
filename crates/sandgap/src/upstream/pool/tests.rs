use sandgap_driver::Endpoint;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::sleep;
use wharfhitch::settings::Connections;

use super::*;

/// Test timeout, generous for a loaded machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Sockets to backends in these tests.
const SOCKETS: usize = 4;

/// A pool of [`SOCKETS`] sockets, and two endpoints of one listener.
struct Play {
    upstreams: Rc<Upstreams>,
    listener: TcpListener,
    endpoints: [Rc<Endpoint>; 2],
}

/// Runs a scenario.
fn run(dial_timeout: f64, scenario: impl AsyncFnOnce(Play)) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    let play = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a loopback port");
        let address = listener.local_addr().expect("get the listener's address");
        let times = Connections { dial_timeout, idle_close: 30_000.0 };
        let memory = Memory::new(16 << 20, false);
        let upstreams = Upstreams::new(&times, SOCKETS, Diagnostics::new(None), Rc::default(), memory);
        let endpoints = [1, 2].map(|number| Endpoint::new(number, address, 0.0));
        scenario(Play { upstreams: Rc::new(upstreams), listener, endpoints }).await;
    };
    LocalSet::new().block_on(&runtime, async {
        timeout(TEST_TIMEOUT, play).await.expect("the test ends before its timeout")
    });
}

/// Opens [`SOCKETS`] connections.
async fn open_all(upstreams: &Upstreams, endpoint: &Rc<Endpoint>) -> Vec<Connection> {
    let mut all = Vec::new();
    for _ in 0..SOCKETS {
        all.push(upstreams.connection(endpoint).await.expect("connect to the listener"));
    }
    all
}

#[test]
fn each_request_gets_the_socket_of_an_idle_connection_whenever_it_comes() {
    for gap in 0..12 {
        run(1000.0, async |Play { upstreams, listener: _listener, endpoints: [first, second] }| {
            for connection in open_all(&upstreams, &first).await {
                upstreams.reuse.keep(&first, connection);
            }
            let connect = |turns: usize| {
                let (upstreams, second) = (upstreams.clone(), second.clone());
                tokio::task::spawn_local(async move {
                    for _ in 0..turns {
                        yield_now().await;
                    }
                    upstreams.connection(&second).await
                })
            };
            let opened: Vec<_> = (0..SOCKETS).map(|n| connect(n * gap)).collect();
            let mut held = Vec::new();
            for task in opened {
                let connection = task.await.expect("no panic");
                held.push(connection.unwrap_or_else(|e| panic!("{gap} turns apart: {e}")));
            }
        });
    }
}

#[test]
fn a_request_that_waits_for_a_socket_gets_that_of_the_next_connection_that_becomes_idle() {
    run(5000.0, async |Play { upstreams, listener: _listener, endpoints: [first, second] }| {
        let mut busy = open_all(&upstreams, &first).await;
        let waiting = {
            let (upstreams, second) = (upstreams.clone(), second.clone());
            tokio::task::spawn_local(async move { upstreams.connection(&second).await })
        };
        sleep(Duration::from_millis(20)).await;
        assert!(!waiting.is_finished());
        let began = Instant::now();
        upstreams.keep(&first, busy.pop().expect("all are open"), true).await;
        waiting.await.expect("no panic").expect("a connection");
        assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    });
}

#[test]
fn a_request_that_finds_no_socket_in_time_is_not_held_against_its_backend() {
    run(50.0, async |Play { upstreams, listener: _listener, endpoints: [first, second] }| {
        let _busy = open_all(&upstreams, &first).await;
        let error = upstreams.connection(&second).await.err().expect("all sockets are in use");
        assert_eq!(error.kind(), io::ErrorKind::QuotaExceeded);
    });
}

#[test]
fn a_connection_counts_as_in_use_for_as_long_as_its_socket_is_open() {
    run(5000.0, async |Play { upstreams, listener, endpoints: [endpoint, _] }| {
        let connection = upstreams.connection(&endpoint).await.expect("connect to the listener");
        let (backend, _) = listener.accept().await.expect("the connection is accepted");
        upstreams.reuse.keep(&endpoint, connection);
        assert_eq!(upstreams.in_use(), 1);
        drop(backend); // the backend closes it while it is idle
        while !upstreams.reuse.idle.all_finished(1) {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(upstreams.in_use(), 1, "the pool still holds its socket");
        upstreams.sweep(); // drops connections that the backend has closed
        assert_eq!(upstreams.in_use(), 0);
    });
}
