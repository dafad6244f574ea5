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
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a loopback port");
        Self::on(listener, name, key)
    }

    fn on(listener: TcpListener, name: &str, key: u8) -> Self {
        let address = listener.local_addr().expect("get the listener's address");
        let (sender, incoming) = mpsc::channel(64);
        let links = Links::new(Key::new([key; 32]), name.into(), sender);
        let serving = spawn_local(links.clone().serve(listener));
        Proxy { links, address, incoming, serving }
    }

    async fn next(&mut self) -> Incoming {
        timeout(STEP_TIMEOUT, self.incoming.recv())
            .await
            .expect("a frame arrives before the timeout")
            .expect("the channel of received frames is open")
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(2 * STEP_TIMEOUT, test).await.expect("the test ends before its timeout")
    });
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
fn a_link_is_rejected_if_the_key_or_the_name_of_its_peer_is_wrong() {
    run(async {
        let mut b = Proxy::start("b", 1).await;
        // The first proxy has another key. The second has the right one, but dials b under a name that is not b's.
        let (wrong_key, member) = (Proxy::start("x", 2).await, Proxy::start("a", 1).await);
        wrong_key.links.send("b", Some(b.address), 3, *b"wrong key");
        member.links.send("not-b", Some(b.address), 3, *b"wrong name");
        while b.links.counts().refused == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        member.links.send("b", Some(b.address), 3, *b"good");
        assert_eq!(b.next().await.body, b"good");
        assert!(b.incoming.try_recv().is_err());
    });
}

/// Connects to the proxy "b" and performs the handshake without [`Links`]. Returns the socket, and what seals further
/// frames.
async fn connect_raw(address: SocketAddr) -> (TcpStream, sandgap_fleet::frame::Sealer) {
    let own_hello = Hello { nonce: [5; 16], name: "hand".into() };
    let mut stream = TcpStream::connect(address).await.expect("connect to the proxy");
    stream.write_all(&own_hello.encode()).await.expect("write the hello");
    // The peer's hello: magic number, nonce, length of the name, and the name "b".
    let mut bytes = vec![0; 4 + 16 + 1 + 1];
    stream.read_exact(&mut bytes).await.expect("read the proxy's hello");
    let (peer_hello, _) = Hello::decode(&bytes).expect("the hello is valid").expect("the hello is complete");
    let (mut sealer, _) = session(&Key::new([1; 32]), Side::Dialled, &own_hello, &peer_hello);
    // The first frame, on channel 0, proves the key.
    let mut proof = Vec::new();
    sealer.seal(0, &[], &mut proof).expect("seal a short frame");
    stream.write_all(&proof).await.expect("write the proof");
    (stream, sealer)
}

#[test]
fn a_truncated_repeated_or_changed_frame_ends_the_link_and_is_not_delivered() {
    run(async {
        let mut b = Proxy::start("b", 1).await;
        for fault in 0..3 {
            let (mut stream, mut sealer) = connect_raw(b.address).await;
            let (mut good, mut bad) = (Vec::new(), Vec::new());
            sealer.seal(7, b"good", &mut good).expect("seal a short frame");
            sealer.seal(7, b"never", &mut bad).expect("seal a short frame");
            match fault {
                0 => bad.truncate(bad.len() - 3),
                1 => bad.clone_from(&good),
                _ => bad[6] ^= 1,
            }
            stream.write_all(&[&good[..], &bad].concat()).await.expect("write both frames");
            stream.shutdown().await.expect("shut down the sending side");
            assert_eq!(b.next().await.body, b"good");
            // b closes the link, with or without an error on this side.
            let mut rest = Vec::new();
            let _ = timeout(STEP_TIMEOUT, stream.read_to_end(&mut rest))
                .await
                .expect("b closes the link before the timeout");
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
            idle.push(TcpStream::connect(b.address).await.expect("the connection is accepted or queued"));
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
fn a_full_send_queue_drops_its_oldest_frames() {
    run(async {
        let a = Proxy::start("a", 1).await;
        let mut b = Proxy::start("b", 1).await;
        a.links.send("b", Some(b.address), 3, *b"first");
        assert_eq!(b.next().await.body, b"first");
        // All of them are queued before the link's task can write one.
        let total = 16 * MAX_QUEUED_FRAMES;
        for n in 0..total as u32 {
            a.links.send("b", Some(b.address), 3, n.to_le_bytes());
        }
        let mut got = Vec::new();
        while got.last() != Some(&(total as u32 - 1)) {
            got.push(u32::from_le_bytes(b.next().await.body.try_into().expect("the body has four bytes")));
        }
        assert!(got.len() <= MAX_QUEUED_FRAMES, "{} frames arrived", got.len());
        assert!(got.is_sorted(), "the kept frames arrive in order");
    });
}
