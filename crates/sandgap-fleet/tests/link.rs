//! Links on loopback sockets with unauthenticated peers, broken connections and full queues.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sandgap_fleet::frame::{Hello, Key, Side, session};
use sandgap_fleet::limits::MAX_QUEUED_FRAMES;
use sandgap_fleet::link::{Incoming, Links};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Far longer than any step takes, even on a loaded machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

struct Proxy {
    links: Rc<Links>,
    address: SocketAddr,
    incoming: mpsc::Receiver<Incoming>,
    serving: JoinHandle<()>,
}

impl Proxy {
    async fn start(name: &str, key: u8) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self::on(listener, name, key)
    }

    fn on(listener: TcpListener, name: &str, key: u8) -> Self {
        let address = listener.local_addr().expect("bound");
        let (sender, incoming) = mpsc::channel(64);
        let links = Links::new(Key::new([key; 32]), name.into(), sender);
        let serving = spawn_local(links.clone().serve(listener));
        Proxy { links, address, incoming, serving }
    }

    async fn next(&mut self) -> Incoming {
        timeout(STEP_TIMEOUT, self.incoming.recv()).await.expect("in time").expect("open")
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { timeout(2 * STEP_TIMEOUT, test).await.expect("in time") });
}

#[test]
fn one_link_carries_frames_in_both_directions() {
    run(async {
        let (mut a, mut b) = (Proxy::start("a", 1).await, Proxy::start("b", 1).await);
        a.links.send("b", Some(b.address), 3, *b"to b");
        let got = b.next().await;
        assert_eq!((got.from.as_str(), got.channel, got.body.as_slice()), ("a", 3, &b"to b"[..]));
        // b has no address for a and answers on the link that a opened.
        b.links.send("a", None, 4, *b"back");
        let got = a.next().await;
        assert_eq!((got.from.as_str(), got.channel, got.body.as_slice()), ("b", 4, &b"back"[..]));
    });
}

#[test]
fn a_wrong_key_or_name_is_rejected() {
    run(async {
        let mut b = Proxy::start("b", 1).await;
        let (wrong_key, member) = (Proxy::start("x", 2).await, Proxy::start("a", 1).await);
        wrong_key.links.send("b", Some(b.address), 3, *b"mine");
        member.links.send("not-b", Some(b.address), 3, *b"theirs");
        while b.links.counts().refused == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        member.links.send("b", Some(b.address), 3, *b"good");
        assert_eq!(b.next().await.body, b"good");
        assert!(b.incoming.try_recv().is_err());
    });
}

/// Performs the handshake on a plain socket.
async fn connect_raw(address: SocketAddr) -> (TcpStream, sandgap_fleet::frame::Sealer) {
    let own = Hello { nonce: [5; 16], name: "hand".into() };
    let mut stream = TcpStream::connect(address).await.expect("up");
    stream.write_all(&own.encode()).await.expect("written");
    let mut bytes = vec![0; 4 + 16 + 1 + 1];
    stream.read_exact(&mut bytes).await.expect("a hello");
    let (other, _) = Hello::decode(&bytes).expect("good").expect("whole");
    let (mut sealer, _) = session(&Key::new([1; 32]), Side::Dialled, &own, &other);
    let mut out = Vec::new();
    sealer.seal(0, &[], &mut out).expect("short");
    stream.write_all(&out).await.expect("written");
    (stream, sealer)
}

#[test]
fn a_truncated_repeated_or_changed_frame_ends_the_link_and_is_not_delivered() {
    run(async {
        let mut b = Proxy::start("b", 1).await;
        for fault in 0..3 {
            let (mut stream, mut sealer) = connect_raw(b.address).await;
            let (mut good, mut bad) = (Vec::new(), Vec::new());
            sealer.seal(7, b"good", &mut good).expect("short");
            sealer.seal(7, b"never", &mut bad).expect("short");
            match fault {
                0 => bad.truncate(bad.len() - 3),
                1 => bad.clone_from(&good),
                _ => bad[6] ^= 1,
            }
            stream.write_all(&[&good[..], &bad].concat()).await.expect("written");
            stream.shutdown().await.expect("ended");
            assert_eq!(b.next().await.body, b"good");
            let mut rest = Vec::new();
            let _ = timeout(STEP_TIMEOUT, stream.read_to_end(&mut rest)).await.expect("b ends the link");
        }
        assert!(b.incoming.try_recv().is_err());
    });
}

#[test]
fn silent_unauthenticated_connections_time_out_and_a_member_gets_in() {
    run(async {
        let mut b = Proxy::start("b", 1).await;
        let mut idle = Vec::new();
        for _ in 0..sandgap_fleet::limits::MAX_UNPROVED + 8 {
            idle.push(TcpStream::connect(b.address).await.expect("accepted or queued"));
        }
        let a = Proxy::start("a", 1).await;
        // No link can come up until the silent connections time out; after that a retry succeeds.
        loop {
            a.links.send("b", Some(b.address), 3, *b"here");
            if timeout(Duration::from_millis(100), b.incoming.recv()).await.is_ok() {
                break;
            }
        }
    });
}

#[test]
fn a_restarted_peer_is_reconnected() {
    run(async {
        let a = Proxy::start("a", 1).await;
        let mut b = Proxy::start("b", 1).await;
        a.links.send("b", Some(b.address), 3, *b"one");
        assert_eq!(b.next().await.body, b"one");
        let address = b.address;
        b.serving.abort();
        drop(b);
        let listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        };
        let mut b = Proxy::on(listener, "b", 1);
        loop {
            a.links.send("b", Some(address), 3, *b"two");
            if let Ok(Some(got)) = timeout(Duration::from_millis(50), b.incoming.recv()).await {
                assert_eq!(got.body, b"two");
                break;
            }
        }
    });
}

#[test]
fn the_queue_for_a_peer_that_does_not_read_is_bounded() {
    run(async {
        let a = Proxy::start("a", 1).await;
        let mut b = Proxy::start("b", 1).await;
        a.links.send("b", Some(b.address), 3, *b"first");
        assert_eq!(b.next().await.body, b"first");
        let total = 16 * MAX_QUEUED_FRAMES;
        for n in 0..total as u32 {
            a.links.send("b", Some(b.address), 3, n.to_le_bytes());
        }
        let mut got = Vec::new();
        while got.last() != Some(&(total as u32 - 1)) {
            got.push(u32::from_le_bytes(b.next().await.body.try_into().expect("four")));
        }
        assert!(got.len() <= MAX_QUEUED_FRAMES, "{} frames arrived", got.len());
        assert!(got.is_sorted(), "the kept frames arrive in order");
    });
}
