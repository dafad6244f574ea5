//! Links on loopback sockets: what strangers, cuts and floods do to them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sandgap_fleet::frame::{Hello, Key, Side, session};
use sandgap_fleet::limits::QUEUE;
use sandgap_fleet::link::{Incoming, Links};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Far longer than anything takes, however loaded the machine is.
const PATIENCE: Duration = Duration::from_secs(30);

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
        timeout(PATIENCE, self.incoming.recv()).await.expect("in time").expect("open")
    }
}

fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { timeout(2 * PATIENCE, test).await.expect("in time") });
}

#[test]
fn frames_go_both_ways_on_one_link() {
    play(async {
        let (mut a, mut b) = (Proxy::start("a", 1).await, Proxy::start("b", 1).await);
        a.links.send("b", Some(b.address), 3, *b"to b");
        let got = b.next().await;
        assert_eq!((got.from.as_str(), got.channel, got.body.as_slice()), ("a", 3, &b"to b"[..]));
        // b was told no address, and answers on the link that a has made.
        b.links.send("a", None, 4, *b"back");
        let got = a.next().await;
        assert_eq!((got.from.as_str(), got.channel, got.body.as_slice()), ("b", 4, &b"back"[..]));
    });
}

#[test]
fn another_key_or_another_name_gets_nowhere() {
    play(async {
        let mut b = Proxy::start("b", 1).await;
        let (stranger, friend) = (Proxy::start("x", 2).await, Proxy::start("a", 1).await);
        stranger.links.send("b", Some(b.address), 3, *b"mine");
        friend.links.send("not-b", Some(b.address), 3, *b"theirs");
        while b.links.counts().refused == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        friend.links.send("b", Some(b.address), 3, *b"good");
        assert_eq!(b.next().await.body, b"good");
        assert!(b.incoming.try_recv().is_err());
    });
}

/// Connects by hand and proves the key.
async fn by_hand(address: SocketAddr) -> (TcpStream, sandgap_fleet::frame::Sealer) {
    let own = Hello { chance: [5; 16], name: "hand".into() };
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
fn a_frame_cut_in_the_middle_doubled_or_changed_changes_nothing() {
    play(async {
        let mut b = Proxy::start("b", 1).await;
        for fault in 0..3 {
            let (mut stream, mut sealer) = by_hand(b.address).await;
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
            let _ = timeout(PATIENCE, stream.read_to_end(&mut rest)).await.expect("b ends the link");
        }
        assert!(b.incoming.try_recv().is_err());
    });
}

#[test]
fn silent_strangers_are_let_go_and_others_still_come_in() {
    play(async {
        let mut b = Proxy::start("b", 1).await;
        let mut idle = Vec::new();
        for _ in 0..sandgap_fleet::limits::UNPROVED + 8 {
            idle.push(TcpStream::connect(b.address).await.expect("accepted or queued"));
        }
        let a = Proxy::start("a", 1).await;
        // Until the strangers' time is up no link may come up; then one does, as asking goes on.
        loop {
            a.links.send("b", Some(b.address), 3, *b"here");
            if timeout(Duration::from_millis(100), b.incoming.recv()).await.is_ok() {
                break;
            }
        }
    });
}

#[test]
fn a_peer_that_restarts_is_found_again() {
    play(async {
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
fn what_waits_for_a_peer_that_does_not_read_is_bounded() {
    play(async {
        let a = Proxy::start("a", 1).await;
        let mut b = Proxy::start("b", 1).await;
        a.links.send("b", Some(b.address), 3, *b"first");
        assert_eq!(b.next().await.body, b"first");
        let total = 16 * QUEUE;
        for n in 0..total as u32 {
            a.links.send("b", Some(b.address), 3, n.to_le_bytes());
        }
        let mut got = Vec::new();
        while got.last() != Some(&(total as u32 - 1)) {
            got.push(u32::from_le_bytes(b.next().await.body.try_into().expect("four")));
        }
        assert!(got.len() <= QUEUE, "{} came", got.len());
        assert!(got.is_sorted(), "what was kept came in order");
    });
}
