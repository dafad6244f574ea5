//! Links: TCP connections that carry [`crate::frame`]s between proxies. The only module of this crate that does I/O.
//!
//! A link is dialled when a frame is to be sent and no link is up, and carries frames in both directions. Delivery is at
//! most once: a frame is lost with its link, or dropped if the queue is full. The protocols above retransmit.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use sandgap_socket::SharedStream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::frame::{FrameError, Hello, Key, Opener, Sealer, Side, session};
use crate::limits::{
    IDLE_TIMEOUT, MAX_BACKOFF, MAX_BODY_BYTES, MAX_LINKS, MAX_NAME_BYTES, MAX_QUEUED_BYTES,
    MAX_QUEUED_FRAMES, MAX_TOTAL_QUEUED_BYTES, MAX_UNPROVED, MIN_BACKOFF, PROOF_TIMEOUT, STALL_TIMEOUT,
};

/// Bytes per read, and threshold for batching queued frames into one write.
const IO_BUFFER_BYTES: usize = 16 << 10;
/// Delay after a failed accept, to avoid a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Channel of the first frame, which proves the key.
const PROOF_CHANNEL: u8 = 0;

/// The socket of a link.
type Link = SharedStream<TcpStream>;

/// A frame received from another proxy.
#[derive(Debug)]
pub struct Incoming {
    /// The sender's name, authenticated by the shared key.
    pub from: String,
    /// Channel, 1 to 255.
    pub channel: u8,
    /// Body.
    pub body: Vec<u8>,
}

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    System(#[from] io::Error),
    #[error("the peer did not prove the shared key within {PROOF_TIMEOUT:?}")]
    ProofTimeout,
    #[error("the peer's name is {0:?}, expected {1:?}")]
    WrongName(String, String),
    #[error("the peer did not read or answer for {STALL_TIMEOUT:?}")]
    Stalled,
}

/// Send queue and connection state of one peer.
#[derive(Default)]
struct Peer {
    address: Cell<Option<SocketAddr>>,
    queue: RefCell<VecDeque<(u8, Rc<[u8]>)>>,
    /// Bytes in `queue`.
    queued_bytes: Cell<usize>,
    /// Bytes queued for all peers together.
    total_queued_bytes: Rc<Cell<usize>>,
    queue_changed: Notify,
    /// Established links.
    link_count: Cell<usize>,
    dialling: Cell<bool>,
    /// Backoff before the next dial, and when it ends.
    backoff: Cell<Duration>,
    backoff_until: Cell<Option<Instant>>,
}

impl Peer {
    fn enqueue(&self, channel: u8, body: Rc<[u8]>) {
        let mut queue = self.queue.borrow_mut();
        self.adjust_queued(body.len() as isize);
        queue.push_back((channel, body));
        while queue.len() > MAX_QUEUED_FRAMES
            || self.queued_bytes.get() > MAX_QUEUED_BYTES
            || self.total_queued_bytes.get() > MAX_TOTAL_QUEUED_BYTES
        {
            let Some((_, old)) = queue.pop_front() else { break };
            self.adjust_queued(-(old.len() as isize));
        }
        self.queue_changed.notify_one();
    }

    fn adjust_queued(&self, bytes: isize) {
        for count in [&self.queued_bytes, &self.total_queued_bytes] {
            count.set(count.get().saturating_add_signed(bytes));
        }
    }

    fn clear(&self) {
        self.queue.borrow_mut().clear();
        self.adjust_queued(-(self.queued_bytes.get() as isize));
    }

    fn seal_queued(&self, sealer: &mut Sealer, out: &mut Vec<u8>) -> Result<(), FrameError> {
        while out.len() < IO_BUFFER_BYTES {
            let Some((channel, body)) = self.queue.borrow_mut().pop_front() else { break };
            self.adjust_queued(-(body.len() as isize));
            sealer.seal(channel, &body, out)?;
        }
        Ok(())
    }
}

/// Counters for operators and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Inbound connections whose handshake failed, and links that ended because of an invalid frame.
    pub refused: u64,
    /// Bytes written, including MACs.
    pub written: u64,
    /// Bytes read.
    pub read: u64,
}

/// All links of one proxy.
pub struct Links {
    key: Key,
    name: String,
    incoming: mpsc::Sender<Incoming>,
    peers: RefCell<FxHashMap<String, Rc<Peer>>>,
    /// Bytes queued for all peers together.
    queued_bytes: Rc<Cell<usize>>,
    /// Inbound connections whose handshake is not complete.
    unproved: Cell<usize>,
    link_count: Cell<usize>,
    counts: Cell<Counts>,
}

impl Links {
    /// No links yet. Received frames go to `incoming`; if that is full, the links stop reading, so that backpressure fills
    /// the bounded queues of the peers.
    pub fn new(key: Key, name: String, incoming: mpsc::Sender<Incoming>) -> Rc<Self> {
        Rc::new(Links {
            key,
            name,
            incoming,
            peers: RefCell::default(),
            queued_bytes: Rc::default(),
            unproved: Cell::default(),
            link_count: Cell::default(),
            counts: Cell::default(),
        })
    }

    /// Current counters.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Number of established links.
    pub fn up(&self) -> usize {
        self.link_count.get()
    }

    /// Accepts links from other proxies; never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _))
                    if self.unproved.get() < MAX_UNPROVED && self.link_count.get() < MAX_LINKS =>
                {
                    let links = self.clone();
                    spawn_local(async move {
                        let _ = links.accepted(stream).await; // failed handshakes are only counted
                    });
                }
                Ok(_) => {} // too many at once: the connection is closed, and the peer dials again
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Queues a frame for the named proxy, which is dialled at `address` if no link is up. Without an address, the last known
    /// one is used. Frames with an invalid name or an oversized body are dropped; the protocols above produce none.
    pub fn send(
        self: &Rc<Self>, to: &str, address: Option<SocketAddr>, channel: u8, body: impl Into<Rc<[u8]>>,
    ) {
        let body = body.into();
        if body.len() > MAX_BODY_BYTES || to == self.name || to.is_empty() || to.len() > MAX_NAME_BYTES {
            return;
        }
        let Some(peer) = self.peer(to) else { return };
        if address.is_some() {
            peer.address.set(address);
        }
        if peer.link_count.get() == 0 && !self.dial(to, &peer) {
            return;
        }
        peer.enqueue(channel, body);
    }

    /// The state of a peer, created if needed. At the bound, peers without a link or a dial in progress are removed first.
    fn peer(&self, name: &str) -> Option<Rc<Peer>> {
        let mut peers = self.peers.borrow_mut();
        if peers.len() >= MAX_LINKS && !peers.contains_key(name) {
            peers.retain(|_, p| {
                let stays = p.link_count.get() > 0 || p.dialling.get();
                if !stays {
                    p.clear();
                }
                stays
            });
            if peers.len() >= MAX_LINKS {
                return None;
            }
        }
        let new = || Rc::new(Peer { total_queued_bytes: self.queued_bytes.clone(), ..Peer::default() });
        Some(peers.entry(name.to_owned()).or_insert_with(new).clone())
    }

    /// Starts to dial unless a dial is in progress. Returns whether a link may come up soon.
    fn dial(self: &Rc<Self>, name: &str, peer: &Rc<Peer>) -> bool {
        if peer.dialling.get() {
            return true;
        }
        let Some(address) = peer.address.get() else { return false };
        if peer.backoff_until.get().is_some_and(|at| Instant::now() < at) {
            return false;
        }
        peer.dialling.set(true);
        let (links, peer, name) = (self.clone(), peer.clone(), name.to_owned());
        spawn_local(async move {
            let up = links.dialled(&name, address, &peer).await;
            peer.dialling.set(false);
            if up.is_err() {
                let wait = (peer.backoff.get() * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
                peer.backoff.set(wait);
                // Half of it is jitter, so that proxies that lost the same peer don't all reconnect at once.
                let mut jitter = [0; 1];
                let _ = getrandom::fill(&mut jitter); // without random numbers there is no jitter
                let wait = wait / 2 + wait / 2 * u32::from(jitter[0]) / 255;
                peer.backoff_until.set(Some(Instant::now() + wait));
                if peer.link_count.get() == 0 {
                    peer.clear(); // queued frames would be outdated when the peer is reachable again
                }
            }
        });
        true
    }

    async fn dialled(
        self: &Rc<Self>, name: &str, address: SocketAddr, peer: &Rc<Peer>,
    ) -> Result<(), LinkError> {
        let handshake = async {
            let mut stream = Link::from(TcpStream::connect(address).await?);
            let _ = stream.set_nodelay(true);
            let own = self.hello()?;
            stream.write_all(&own.encode()).await?;
            let (other, rest) = read_hello(&mut stream).await?;
            if other.name != name {
                return Err(LinkError::WrongName(other.name, name.to_owned()));
            }
            let (mut sealer, mut opener) = session(&self.key, Side::Dialled, &own, &other);
            opener.push_bytes(&rest);
            exchange_proofs(&mut stream, &mut sealer, &mut opener).await?;
            Ok((stream, sealer, opener))
        };
        let (stream, sealer, opener) =
            timeout(PROOF_TIMEOUT, handshake).await.map_err(|_| LinkError::ProofTimeout)??;
        peer.backoff.set(Duration::ZERO);
        peer.dialling.set(false);
        self.run(name, peer, stream, sealer, opener).await;
        Ok(())
    }

    async fn accepted(self: &Rc<Self>, stream: TcpStream) -> Result<(), LinkError> {
        let _ = stream.set_nodelay(true);
        let mut stream = Link::from(stream);
        let unproved = CountGuard::new(&self.unproved);
        let handshake = async {
            let own = self.hello()?;
            let (other, rest) = read_hello(&mut stream).await?;
            stream.write_all(&own.encode()).await?;
            let (mut sealer, mut opener) = session(&self.key, Side::Accepted, &own, &other);
            opener.push_bytes(&rest);
            exchange_proofs(&mut stream, &mut sealer, &mut opener).await?;
            Ok((other.name, sealer, opener))
        };
        let outcome = timeout(PROOF_TIMEOUT, handshake).await.unwrap_or(Err(LinkError::ProofTimeout));
        drop(unproved);
        let (name, sealer, opener) = outcome.inspect_err(|_| self.count(|c| c.refused += 1))?;
        if name == self.name {
            return Ok(()); // another process with this name, or this process itself
        }
        let Some(peer) = self.peer(&name) else { return Ok(()) };
        self.run(&name, &peer, stream, sealer, opener).await;
        Ok(())
    }

    fn hello(&self) -> Result<Hello, LinkError> {
        let mut nonce = [0; 16];
        getrandom::fill(&mut nonce).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Hello { nonce, name: self.name.clone() })
    }

    fn count(&self, update: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        update(&mut counts);
        self.counts.set(counts);
    }

    /// Carries frames in both directions until the link ends.
    async fn run(&self, name: &str, peer: &Rc<Peer>, stream: Link, sealer: Sealer, opener: Opener) {
        let _link = CountGuard::new(&self.link_count);
        let _peer_link = CountGuard::new(&peer.link_count);
        let last_received = Cell::new(Instant::now());
        tokio::select! {
            _ = self.read_frames(name, stream.clone(), opener, &last_received) => {}
            _ = self.write_frames(peer, stream, sealer, &last_received) => {}
        }
        peer.queue_changed.notify_one(); // another link may send what is left
    }

    async fn read_frames(
        &self, name: &str, mut read: Link, mut opener: Opener, last_received: &Cell<Instant>,
    ) -> Result<(), LinkError> {
        let mut buffer = vec![0; IO_BUFFER_BYTES];
        loop {
            loop {
                let frame = opener.next_frame().inspect_err(|_| self.count(|c| c.refused += 1))?;
                let Some((channel, body)) = frame else { break };
                let (from, body) = (name.to_owned(), body.to_vec());
                if channel != PROOF_CHANNEL
                    && self.incoming.send(Incoming { from, channel, body }).await.is_err()
                {
                    return Ok(()); // the receiver is gone: the process is shutting down
                }
            }
            let n = read.read(&mut buffer).await?;
            if n == 0 {
                return Ok(());
            }
            last_received.set(Instant::now());
            self.count(|c| c.read += n as u64);
            opener.push_bytes(&buffer[..n]);
        }
    }

    /// Writes queued frames. The link ends if it is idle for [`IDLE_TIMEOUT`], or if frames are sent for longer than
    /// [`STALL_TIMEOUT`] and nothing is received: messages between proxies are always answered.
    async fn write_frames(
        &self, peer: &Peer, mut write: Link, mut sealer: Sealer, last_received: &Cell<Instant>,
    ) -> Result<(), LinkError> {
        let mut out = Vec::new();
        let mut first_unanswered: Option<Instant> = None;
        loop {
            out.clear();
            peer.seal_queued(&mut sealer, &mut out)?;
            if out.is_empty() {
                match timeout(IDLE_TIMEOUT, peer.queue_changed.notified()).await {
                    Ok(()) => continue,
                    Err(_) if last_received.get().elapsed() >= IDLE_TIMEOUT => return Ok(()),
                    Err(_) => continue,
                }
            }
            let since = *first_unanswered.get_or_insert_with(Instant::now);
            if last_received.get() >= since {
                first_unanswered = Some(Instant::now());
            } else if since.elapsed() > STALL_TIMEOUT {
                return Err(LinkError::Stalled);
            }
            timeout(STALL_TIMEOUT, write.write_all(&out)).await.map_err(|_| LinkError::Stalled)??;
            self.count(|c| c.written += out.len() as u64);
        }
    }
}

/// Counts one while it is alive.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Reads the peer's hello; returns it with the bytes that followed it.
async fn read_hello(stream: &mut Link) -> Result<(Hello, Vec<u8>), LinkError> {
    let mut bytes = Vec::new();
    loop {
        if let Some((hello, used)) = Hello::decode(&bytes)? {
            return Ok((hello, bytes.split_off(used)));
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
    }
}

/// Sends the first frame and waits for the peer's.
async fn exchange_proofs(
    stream: &mut Link, sealer: &mut Sealer, opener: &mut Opener,
) -> Result<(), LinkError> {
    let mut out = Vec::new();
    sealer.seal(PROOF_CHANNEL, &[], &mut out)?;
    stream.write_all(&out).await?;
    let mut buffer = vec![0; IO_BUFFER_BYTES];
    while opener.next_frame()?.is_none() {
        let n = stream.read(&mut buffer).await?;
        if n == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        opener.push_bytes(&buffer[..n]);
    }
    Ok(())
}
