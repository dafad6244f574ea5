//! Upgrades: a new process takes the listening socket itself from the one before it, so that both accept from one
//! queue and none of its connections is lost when the old one stops.
//!
//! The old process listens on a Unix socket in a directory that both share. The new one says `HELLO` and gets one
//! head with the descriptors (SCM_RIGHTS, unix(7)). From then on frames go both ways until one of them ends: `S`, the
//! new one serves now and the old one finishes what it holds; `D`, a datagram of another proxy or of the other
//! process. The end of the stream is the end of the process: the old one takes the queue back, or the new one has it
//! for good. Whatever goes wrong, the new process starts by itself beside the old one, see [`crate::front::listen`].

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener as StdListener, UdpSocket as StdUdp};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use sandgap_socket::SharedStream;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::event::{Inbox, Input};
use crate::front::Frontend;
use crate::note;
use crate::peers::{Datagram, MAX_MESSAGE_BYTES, Peers};
use crate::retry;
use crate::serving::Serving;

/// What the new process says first: the format and its version.
const HELLO: &[u8; 16] = b"sandgap-upgrade1";
/// Descriptors that a head brings at most: the listener and the socket of datagrams.
const DESCRIPTORS: usize = 2;
/// Each side waits this long for the other's first words. A new process that finds a peer that hangs has started
/// by itself within a second.
const PATIENCE: Duration = Duration::from_millis(400);
/// Wait after a failed accept, lest it spin.
const PAUSE: Duration = Duration::from_millis(10);

const SERVES: u8 = b'S';
const DATAGRAM: u8 = b'D';

/// Where processes that serve one address find each other.
pub fn path(directory: &Path, listen: SocketAddr) -> PathBuf {
    directory.join(format!("sandgap-{}-{}.sock", listen.ip(), listen.port()))
}

/// The connection between two processes.
type HandoverStream = SharedStream<UnixStream>;

/// What a new process has got from the one before.
pub struct Taken {
    /// The listening socket, shared with the old process.
    pub listener: StdListener,
    /// The socket of datagrams, if there is one.
    pub datagrams: Option<StdUdp>,
    /// Frames go both ways on it until one of the two processes ends.
    pub stream: HandoverStream,
}

/// Asks the process that serves `listen`, if there is one, for its sockets.
pub async fn take(path: &Path, listen: SocketAddr) -> Option<Taken> {
    match timeout(PATIENCE, ask(path)).await {
        Ok(Ok(taken)) if taken.listener.local_addr().is_ok_and(|at| at == listen) => Some(taken),
        Ok(Ok(_)) => {
            note!(warn: "upgrade: the process before listens elsewhere; starting beside it");
            None
        }
        // No file or nobody behind it: there is no process before this one.
        Ok(Err(e)) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => None,
        Ok(Err(e)) => {
            note!(warn: "upgrade: {e}; starting beside the process before");
            None
        }
        Err(_) => {
            note!(warn: "upgrade: the process before does not answer; starting beside it");
            None
        }
    }
}

async fn ask(path: &Path) -> io::Result<Taken> {
    let mut stream = HandoverStream::from(UnixStream::connect(path).await?);
    stream.write_all(HELLO).await?;
    let descriptors = stream.async_io(Interest::READABLE, || receive(&stream)).await?;
    let mut all = descriptors.into_iter();
    let listener = all.next().ok_or_else(|| io::Error::other("no listening socket came"))?;
    let (listener, datagrams) = (StdListener::from(listener), all.next().map(StdUdp::from));
    Ok(Taken { listener, datagrams, stream })
}

fn receive(stream: &UnixStream) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut head = [0; HELLO.len()];
    let got = recvmsg(stream, &mut [IoSliceMut::new(&mut head)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let descriptors = control.drain().flat_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => descriptors.collect(),
        _ => Vec::new(),
    });
    let descriptors = descriptors.collect();
    if got.bytes != HELLO.len() || head != *HELLO {
        return Err(io::Error::other("the process before speaks another version"));
    }
    Ok(descriptors)
}

fn give(stream: &UnixStream, descriptors: &[BorrowedFd]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(descriptors));
    let sent = sendmsg(stream, &[IoSlice::new(HELLO)], &mut control, SendFlags::NOSIGNAL)?;
    if sent == HELLO.len() { Ok(()) } else { Err(io::ErrorKind::WriteZero.into()) }
}

/// What both sides of an upgrade need of the process.
pub struct Upgrade {
    /// Where a newer process finds this one.
    pub path: PathBuf,
    /// The socket on which clients come.
    pub listener: StdListener,
    /// Whether clients are taken.
    pub serving: Rc<Serving>,
    /// Where datagrams go in.
    pub inbox: Inbox,
    /// The other proxies.
    pub peers: Option<Rc<Peers>>,
    /// Holds the clients' connections.
    pub front: Rc<Frontend>,
    /// Sockets for clients and backends, while this process is alone.
    pub budget: usize,
}

impl Upgrade {
    /// Takes the place of the process before, if `taken` is the way to one, and waits to be replaced itself.
    pub async fn run(self, taken: Option<HandoverStream>) {
        match taken {
            Some(stream) => drop(tokio::join!(self.replace(stream), self.wait())),
            None => self.wait().await,
        }
    }

    /// Tells the older process once this one serves, and follows it to its end.
    async fn replace(&self, mut stream: HandoverStream) {
        self.front.set_budget(self.budget / 2);
        let read = stream.clone();
        let relay = self.peers.as_ref().map(|p| p.relay());
        let tells = async {
            self.serving.ready().await;
            self.reads(true);
            stream.write_all(&[SERVES]).await?;
            datagrams(&mut stream, relay).await
        };
        self.follow(read, tells, || {}).await;
        note!("upgrade: the process before has ended");
        self.serving.release();
        self.alone();
    }

    /// Waits for newer processes, one at a time.
    async fn wait(&self) {
        self.serving.ready().await;
        loop {
            let published = retry::until_had("upgrade", || Published::new(&self.path)).await;
            let published = match published {
                Ok(published) => published,
                Err(e) => {
                    let path = self.path.display();
                    return note!(warn: "upgrade: {path}: {e}; a newer process will start beside this one");
                }
            };
            while !self.serving.is_handed_over() {
                match published.listener.accept().await {
                    Ok((stream, _)) => {
                        if let Err(e) = self.give_way(stream.into()).await {
                            note!(warn: "upgrade: {e}");
                        }
                    }
                    Err(_) => sleep(PAUSE).await,
                }
            }
            self.serving.hand_over(false); // the newer one took the path and has gone: it is taken again
        }
    }

    /// Hands the sockets to a newer process and follows it for as long as it runs.
    async fn give_way(&self, mut stream: HandoverStream) -> io::Result<()> {
        let mut hello = [0; HELLO.len()];
        timeout(PATIENCE, stream.read_exact(&mut hello)).await??;
        if hello != *HELLO || !self.serving.is_ready() {
            return Err(io::Error::other("a process of another version has come, or this one ends"));
        }
        let mut descriptors = vec![self.listener.as_fd()];
        descriptors.extend(self.peers.as_ref().map(|p| p.socket().as_fd()));
        stream.async_io(Interest::WRITABLE, || give(&stream, &descriptors)).await?;
        note!("upgrade: a newer process has come");
        self.front.set_budget(self.budget / 2);
        let read = stream.clone();
        let relay = self.peers.as_ref().map(|p| p.relay());
        let serves = || {
            note!("upgrade: the newer process serves");
            self.reads(false);
            self.serving.hand_over(true);
        };
        self.follow(read, datagrams(&mut stream, relay), serves).await;
        note!(warn: "upgrade: the newer process has gone; this one goes on");
        self.alone();
        Ok(())
    }

    /// Exchanges frames with the other process until it ends.
    async fn follow(
        &self, read: HandoverStream, tells: impl Future<Output = io::Result<()>>, serves: impl Fn(),
    ) {
        let tells = async {
            if tells.await.is_err() {
                std::future::pending::<()>().await; // its end shows at the reader, when all has been read
            }
        };
        tokio::select! {
            () = frames(read, &self.inbox, serves) => {}
            () = tells => {}
        }
    }

    fn reads(&self, reads: bool) {
        if let Some(peers) = &self.peers {
            peers.read(reads);
        }
    }

    /// The other process has gone: all is this one's.
    fn alone(&self) {
        if let Some(peers) = &self.peers {
            peers.unrelay();
        }
        self.reads(true);
        self.front.set_budget(self.budget);
    }
}

async fn datagrams(write: &mut HandoverStream, relay: Option<mpsc::Receiver<Datagram>>) -> io::Result<()> {
    let Some(mut relay) = relay else { return std::future::pending().await };
    let mut frame = Vec::with_capacity(7 + MAX_MESSAGE_BYTES);
    while let Some((from, bytes)) = relay.recv().await {
        frame.clear();
        frame.push(DATAGRAM);
        frame.extend(from.to_le_bytes());
        frame.extend((bytes.len() as u16).to_le_bytes());
        frame.extend(bytes);
        write.write_all(&frame).await?;
    }
    std::future::pending().await // the stream stays open: its end would be this process's
}

/// Reads frames until the other process ends or says what can't be right.
async fn frames(mut read: HandoverStream, inbox: &Inbox, serves: impl Fn()) {
    loop {
        match read.read_u8().await {
            Ok(SERVES) => serves(),
            Ok(DATAGRAM) => {
                let Ok(from) = read.read_u32_le().await else { return };
                let Ok(size) = read.read_u16_le().await else { return };
                let mut bytes = vec![0; usize::from(size)];
                if usize::from(size) > MAX_MESSAGE_BYTES || read.read_exact(&mut bytes).await.is_err() {
                    return;
                }
                inbox.put(Input::Datagram { from, bytes });
            }
            _ => return,
        }
    }
}

/// A listener at a path, which is removed with it unless another process has taken it.
struct Published {
    listener: UnixListener,
    path: PathBuf,
    inode: u64,
}

impl Published {
    /// Listens at a path whatever stood there before. The new file takes its place whole, so that a newer process
    /// finds either the old one or this one.
    fn new(path: &Path) -> io::Result<Self> {
        let own = path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&own); // of a process of the same number, long ago
        let listener = UnixListener::bind(&own)?;
        let inode = std::fs::metadata(&own)?.ino();
        std::fs::rename(&own, path)?;
        Ok(Published { listener, path: path.to_owned(), inode })
    }
}

impl Drop for Published {
    fn drop(&mut self) {
        if std::fs::metadata(&self.path).is_ok_and(|m| m.ino() == self.inode) {
            let _ = std::fs::remove_file(&self.path); // a file left behind does no harm
        }
    }
}
