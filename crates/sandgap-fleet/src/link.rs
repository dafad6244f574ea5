//! Links: TCP connections that carry [`crate::frame`]s between proxies, the only part of this crate that does I/O.
//!
//! A link is dialled when something is to be sent and none is up, and serves both ways. Nothing is promised: a frame
//! may be lost with its link, or dropped where too much waits, and comes at most once. Protocols above ask again.

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
    BACKOFF, BACKOFF_MOST, BODY, IDLE, LINKS, NAME, PROOF, QUEUE, QUEUED, QUEUED_ALL, STUCK, UNPROVED,
};

/// Bytes read at once.
const READ: usize = 16 << 10;
/// Wait after a failed accept, lest it spin.
const PAUSE: Duration = Duration::from_millis(50);
/// The channel of the first frame, which proves the key.
const PROVE: u8 = 0;

/// The socket under a link.
type Link = SharedStream<TcpStream>;

/// What has come from another proxy.
#[derive(Debug)]
pub struct Incoming {
    /// Its name, proved by the shared key.
    pub from: String,
    /// The channel, 1 to 255.
    pub channel: u8,
    /// The body.
    pub body: Vec<u8>,
}

/// How a link came to its end.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    System(#[from] io::Error),
    #[error("no proof of the key in time")]
    Unproved,
    #[error("it is {0:?}, not {1:?}")]
    Other(String, String),
    #[error("nothing moves")]
    Stuck,
}

/// What waits for one proxy, and how to reach it.
#[derive(Default)]
struct Peer {
    address: Cell<Option<SocketAddr>>,
    queue: RefCell<VecDeque<(u8, Rc<[u8]>)>>,
    queued: Cell<usize>,
    /// The same of all peers together.
    all: Rc<Cell<usize>>,
    more: Notify,
    /// Links that are up.
    links: Cell<usize>,
    dialling: Cell<bool>,
    /// The wait before the next dial, and when it is over.
    backoff: Cell<Duration>,
    not_before: Cell<Option<Instant>>,
}

impl Peer {
    fn put(&self, channel: u8, body: Rc<[u8]>) {
        let mut queue = self.queue.borrow_mut();
        self.count(body.len() as isize);
        queue.push_back((channel, body));
        while queue.len() > QUEUE || self.queued.get() > QUEUED || self.all.get() > QUEUED_ALL {
            let Some((_, old)) = queue.pop_front() else { break };
            self.count(-(old.len() as isize));
        }
        self.more.notify_one();
    }

    fn count(&self, bytes: isize) {
        for count in [&self.queued, &self.all] {
            count.set(count.get().saturating_add_signed(bytes));
        }
    }

    fn clear(&self) {
        self.queue.borrow_mut().clear();
        self.count(-(self.queued.get() as isize));
    }

    fn take(&self, sealer: &mut Sealer, out: &mut Vec<u8>) -> Result<(), FrameError> {
        while out.len() < READ {
            let Some((channel, body)) = self.queue.borrow_mut().pop_front() else { break };
            self.count(-(body.len() as isize));
            sealer.seal(channel, &body, out)?;
        }
        Ok(())
    }
}

/// Counts, for staff and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections that came to an end for a frame or hello that was wrong.
    pub refused: u64,
    /// Bytes written, seals included.
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
    /// Bytes that wait for all peers together.
    queued: Rc<Cell<usize>>,
    unproved: Cell<usize>,
    links: Cell<usize>,
    counts: Cell<Counts>,
}

impl Links {
    /// No link yet. What comes is put into `incoming`; where that is full, links wait, and their peers' queues grow to
    /// their bounds instead of this one's.
    pub fn new(key: Key, name: String, incoming: mpsc::Sender<Incoming>) -> Rc<Self> {
        Rc::new(Links {
            key,
            name,
            incoming,
            peers: RefCell::default(),
            queued: Rc::default(),
            unproved: Cell::default(),
            links: Cell::default(),
            counts: Cell::default(),
        })
    }

    /// What has been counted so far.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Links that are up at present.
    pub fn up(&self) -> usize {
        self.links.get()
    }

    /// Takes links from others for as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.unproved.get() < UNPROVED && self.links.get() < LINKS => {
                    let links = self.clone();
                    spawn_local(async move {
                        let _ = links.accepted(stream).await; // a stranger's end is no news
                    });
                }
                Ok(_) => {} // too many at once: it is closed, and comes again
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    /// Sends a frame to the proxy of a name; `address` is where it is dialled if no link is up. Without an address only
    /// a link that is up will do. A body beyond all bounds is dropped: no protocol above makes one.
    pub fn send(
        self: &Rc<Self>, to: &str, address: Option<SocketAddr>, channel: u8, body: impl Into<Rc<[u8]>>,
    ) {
        let body = body.into();
        if body.len() > BODY || to == self.name || to.is_empty() || to.len() > NAME {
            return;
        }
        let Some(peer) = self.peer(to) else { return };
        if address.is_some() {
            peer.address.set(address);
        }
        if peer.links.get() == 0 && !self.dial(to, &peer) {
            return;
        }
        peer.put(channel, body);
    }

    /// What is kept for a proxy. Those that nothing is known of any more give way.
    fn peer(&self, name: &str) -> Option<Rc<Peer>> {
        let mut peers = self.peers.borrow_mut();
        if peers.len() >= LINKS && !peers.contains_key(name) {
            peers.retain(|_, p| {
                let stays = p.links.get() > 0 || p.dialling.get();
                if !stays {
                    p.clear();
                }
                stays
            });
            if peers.len() >= LINKS {
                return None;
            }
        }
        let new = || Rc::new(Peer { all: self.queued.clone(), ..Peer::default() });
        Some(peers.entry(name.to_owned()).or_insert_with(new).clone())
    }

    /// Begins to dial, unless that is on its way. Says whether a link may come up soon.
    fn dial(self: &Rc<Self>, name: &str, peer: &Rc<Peer>) -> bool {
        if peer.dialling.get() {
            return true;
        }
        let Some(address) = peer.address.get() else { return false };
        if peer.not_before.get().is_some_and(|at| Instant::now() < at) {
            return false;
        }
        peer.dialling.set(true);
        let (links, peer, name) = (self.clone(), peer.clone(), name.to_owned());
        spawn_local(async move {
            let up = links.dialled(&name, address, &peer).await;
            peer.dialling.set(false);
            if up.is_err() {
                let wait = (peer.backoff.get() * 2).clamp(BACKOFF, BACKOFF_MOST);
                peer.backoff.set(wait);
                // Half of it is drawn: proxies that lost the same peer at once come back apart.
                let mut drawn = [0; 1];
                let _ = getrandom::fill(&mut drawn); // without chance they come at once
                let wait = wait / 2 + wait / 2 * u32::from(drawn[0]) / 255;
                peer.not_before.set(Some(Instant::now() + wait));
                if peer.links.get() == 0 {
                    peer.clear(); // what waited is old by the time the way is open again
                }
            }
        });
        true
    }

    async fn dialled(
        self: &Rc<Self>, name: &str, address: SocketAddr, peer: &Rc<Peer>,
    ) -> Result<(), LinkError> {
        let begin = async {
            let mut stream = Link::from(TcpStream::connect(address).await?);
            let _ = stream.set_nodelay(true);
            let own = self.hello()?;
            stream.write_all(&own.encode()).await?;
            let (other, rest) = hear_hello(&mut stream).await?;
            if other.name != name {
                return Err(LinkError::Other(other.name, name.to_owned()));
            }
            let (mut sealer, mut opener) = session(&self.key, Side::Dialled, &own, &other);
            opener.take(&rest);
            prove(&mut stream, &mut sealer, &mut opener).await?;
            Ok((stream, sealer, opener))
        };
        let (stream, sealer, opener) = timeout(PROOF, begin).await.map_err(|_| LinkError::Unproved)??;
        peer.backoff.set(Duration::ZERO);
        peer.dialling.set(false);
        self.run(name, peer, stream, sealer, opener).await;
        Ok(())
    }

    async fn accepted(self: &Rc<Self>, stream: TcpStream) -> Result<(), LinkError> {
        let _ = stream.set_nodelay(true);
        let mut stream = Link::from(stream);
        let waits = Held::new(&self.unproved);
        let begin = async {
            let own = self.hello()?;
            let (other, rest) = hear_hello(&mut stream).await?;
            stream.write_all(&own.encode()).await?;
            let (mut sealer, mut opener) = session(&self.key, Side::Accepted, &own, &other);
            opener.take(&rest);
            prove(&mut stream, &mut sealer, &mut opener).await?;
            Ok((other.name, sealer, opener))
        };
        let begun = timeout(PROOF, begin).await.unwrap_or(Err(LinkError::Unproved));
        drop(waits);
        let (name, sealer, opener) = begun.inspect_err(|_| self.count(|c| c.refused += 1))?;
        if name == self.name {
            return Ok(()); // another process of this name, or this one itself
        }
        let Some(peer) = self.peer(&name) else { return Ok(()) };
        self.run(&name, &peer, stream, sealer, opener).await;
        Ok(())
    }

    fn hello(&self) -> Result<Hello, LinkError> {
        let mut chance = [0; 16];
        getrandom::fill(&mut chance).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Hello { chance, name: self.name.clone() })
    }

    fn count(&self, by: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        by(&mut counts);
        self.counts.set(counts);
    }

    /// Carries frames both ways until the link ends.
    async fn run(&self, name: &str, peer: &Rc<Peer>, stream: Link, sealer: Sealer, opener: Opener) {
        let _link = Held::new(&self.links);
        let _up = Held::new(&peer.links);
        let heard = Cell::new(Instant::now());
        tokio::select! {
            _ = self.reads(name, stream.clone(), opener, &heard) => {}
            _ = self.writes(peer, stream, sealer, &heard) => {}
        }
        peer.more.notify_one(); // another link may take what is left
    }

    async fn reads(
        &self, name: &str, mut read: Link, mut opener: Opener, heard: &Cell<Instant>,
    ) -> Result<(), LinkError> {
        let mut buffer = vec![0; READ];
        loop {
            loop {
                let frame = opener.next_frame().inspect_err(|_| self.count(|c| c.refused += 1))?;
                let Some((channel, body)) = frame else { break };
                let (from, body) = (name.to_owned(), body.to_vec());
                if channel != PROVE && self.incoming.send(Incoming { from, channel, body }).await.is_err() {
                    return Ok(()); // the process ends
                }
            }
            let n = read.read(&mut buffer).await?;
            if n == 0 {
                return Ok(());
            }
            heard.set(Instant::now());
            self.count(|c| c.read += n as u64);
            opener.take(&buffer[..n]);
        }
    }

    /// Writes what waits. The link ends where nothing was sent for long, or where much was sent and nothing heard: what
    /// is said between proxies is answered.
    async fn writes(
        &self, peer: &Peer, mut write: Link, mut sealer: Sealer, heard: &Cell<Instant>,
    ) -> Result<(), LinkError> {
        let mut out = Vec::new();
        let mut first_unanswered: Option<Instant> = None;
        loop {
            out.clear();
            peer.take(&mut sealer, &mut out)?;
            if out.is_empty() {
                match timeout(IDLE, peer.more.notified()).await {
                    Ok(()) => continue,
                    Err(_) if heard.get().elapsed() >= IDLE => return Ok(()),
                    Err(_) => continue,
                }
            }
            let since = *first_unanswered.get_or_insert_with(Instant::now);
            if heard.get() >= since {
                first_unanswered = Some(Instant::now());
            } else if since.elapsed() > STUCK {
                return Err(LinkError::Stuck);
            }
            timeout(STUCK, write.write_all(&out)).await.map_err(|_| LinkError::Stuck)??;
            self.count(|c| c.written += out.len() as u64);
        }
    }
}

/// One of something, counted while it lives.
struct Held<'a>(&'a Cell<usize>);

impl<'a> Held<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Held(count)
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Reads the other side's hello, and what came along with it.
async fn hear_hello(stream: &mut Link) -> Result<(Hello, Vec<u8>), LinkError> {
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

/// Sends the first frame and waits for the other side's.
async fn prove(stream: &mut Link, sealer: &mut Sealer, opener: &mut Opener) -> Result<(), LinkError> {
    let mut out = Vec::new();
    sealer.seal(PROVE, &[], &mut out)?;
    stream.write_all(&out).await?;
    let mut buffer = vec![0; READ];
    while opener.next_frame()?.is_none() {
        let n = stream.read(&mut buffer).await?;
        if n == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        opener.take(&buffer[..n]);
    }
    Ok(())
}
