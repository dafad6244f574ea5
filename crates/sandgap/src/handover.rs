//! Upgrades: a new process receives the listening socket itself from the old process, so that both accept from the same
//! queue and no queued connection is lost when the old process stops.
//!
//! The old process listens on a Unix socket in a shared directory. The new process sends `HELLO` and receives one
//! header with the descriptors (SCM_RIGHTS, unix(7)). After that, frames go both ways until one process ends: `S`, the
//! new process serves now and the old one finishes its requests; `D`, a datagram of another proxy or of the other
//! process. The end of the stream means the end of the process: the old process continues to accept, or the new one is
//! alone. Over a socket of its own the processes tell each other the ids of their open requests, see
//! [`crate::front::RequestIds`]. If any step fails, the new process starts independently beside the old one, see [`crate::front::listen`].

use std::cell::RefCell;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener as StdListener, UdpSocket as StdUdp};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::UnixStream as StdUnixStream;
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

use crate::event::{Input, InputSender};
use crate::front::Frontend;
use crate::note;
use crate::peers::{Datagram, MAX_MESSAGE_BYTES, Peers};
use crate::retry;
use crate::serving::Serving;

/// First bytes of each side: protocol name and version.
const HELLO: &[u8; 16] = b"sandgap-upgrade1";
/// Maximum number of descriptors in a header: the listener and the datagram socket.
const MAX_DESCRIPTORS: usize = 2;
/// Timeout for the other side's first bytes. A new process starts by itself within a second if the old one hangs.
const HELLO_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait after a failed accept, to avoid a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Processes that share the limits during an upgrade.
const PROCESSES: usize = 2;

const SERVES: u8 = b'S';
const DATAGRAM: u8 = b'D';

/// Path of the upgrade socket for a listening address.
pub fn path(directory: &Path, listen: SocketAddr) -> PathBuf {
    directory.join(format!("sandgap-{}-{}.sock", listen.ip(), listen.port()))
}

/// Path of the socket for exchanging open request ids, beside the upgrade socket. A process of an older release has none.
fn ids_path(path: &Path) -> PathBuf {
    path.with_extension("ids")
}

/// The connection between two processes.
type HandoverStream = SharedStream<UnixStream>;

/// The sockets that a new process received from the old one.
pub struct ReceivedSockets {
    /// The listening socket, shared with the old process.
    pub listener: StdListener,
    /// The datagram socket, if any.
    pub datagrams: Option<StdUdp>,
    /// Carries frames both ways until one of the two processes ends.
    pub stream: HandoverStream,
    /// Carries the ids of open requests both ways, if the old process tells them.
    pub ids: Option<StdUnixStream>,
}

/// Requests the sockets of the process that serves `listen`, if there is one.
pub async fn request_sockets(path: &Path, listen: SocketAddr) -> Option<ReceivedSockets> {
    match timeout(HELLO_TIMEOUT, receive_sockets(path)).await {
        Ok(Ok(taken)) if taken.listener.local_addr().is_ok_and(|at| at == listen) => Some(taken),
        Ok(Ok(_)) => {
            note!(warn: "upgrade: the process before listens elsewhere; starting beside it");
            None
        }
        // No socket file or no listener behind it: there is no older process.
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

async fn receive_sockets(path: &Path) -> io::Result<ReceivedSockets> {
    let mut stream = HandoverStream::from(UnixStream::connect(path).await?);
    stream.write_all(HELLO).await?;
    let descriptors = stream.async_io(Interest::READABLE, || receive_descriptors(&stream)).await?;
    let mut all = descriptors.into_iter();
    let listener =
        all.next().ok_or_else(|| io::Error::other("the process before sent no listening socket"))?;
    let (listener, datagrams) = (StdListener::from(listener), all.next().map(StdUdp::from));
    let ids = UnixStream::connect(ids_path(path)).await.and_then(UnixStream::into_std).ok();
    Ok(ReceivedSockets { listener, datagrams, stream, ids })
}

fn receive_descriptors(stream: &UnixStream) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
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

fn send_descriptors(stream: &UnixStream, descriptors: &[BorrowedFd]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(descriptors));
    let sent = sendmsg(stream, &[IoSlice::new(HELLO)], &mut control, SendFlags::NOSIGNAL)?;
    if sent == HELLO.len() { Ok(()) } else { Err(io::ErrorKind::WriteZero.into()) }
}

/// The parts of the process that an upgrade uses, on either side.
pub struct Upgrade {
    /// Where a newer process finds this one.
    pub path: PathBuf,
    /// The listening socket for clients, until this process is told to end.
    pub listener: RefCell<Option<StdListener>>,
    /// Whether clients are taken.
    pub serving: Rc<Serving>,
    /// Receives relayed datagrams.
    pub input_sender: InputSender,
    /// The other proxies.
    pub peers: Option<Rc<Peers>>,
    /// Holds the clients' connections.
    pub front: Rc<Frontend>,
    /// Socket budget for clients and backends while this process runs alone.
    pub budget: usize,
}

impl Upgrade {
    /// Replaces the older process if `taken` leads to one, and waits for newer processes.
    pub async fn run(self, taken: Option<HandoverStream>) {
        let replace_older = async {
            if let Some(stream) = taken {
                self.replace_older(stream).await;
            }
        };
        tokio::join!(replace_older, self.wait_for_newer(), self.close_listener());
    }

    /// Closes this process's handle of the listening socket once it is told to end. Otherwise the system would go on accepting
    /// connections that nobody serves.
    async fn close_listener(&self) {
        let mut changes = self.serving.changes();
        while !self.serving.is_stopping() {
            let _ = changes.changed().await; // can't fail: `self.serving` owns the sender
        }
        drop(self.listener.take());
    }

    /// Notifies the older process once this one serves, and exchanges frames until it ends.
    async fn replace_older(&self, mut stream: HandoverStream) {
        self.front.set_budget(self.budget / PROCESSES, PROCESSES, process_id(&stream));
        let read = stream.clone();
        let relay = self.peers.as_ref().map(|p| p.start_relay());
        let sender = async {
            self.serving.ready().await;
            self.set_reading(true);
            stream.write_all(&[SERVES]).await?;
            send_datagrams(&mut stream, relay).await
        };
        self.exchange_frames(read, sender, || {}).await;
        note!("upgrade: the process before has ended");
        self.serving.take_over_queue();
        self.resume_alone();
    }

    /// Waits for newer processes, one at a time.
    async fn wait_for_newer(&self) {
        self.serving.ready().await;
        loop {
            // Without this one, a newer process does not learn which ids are open here.
            let ids_path = ids_path(&self.path);
            let ids = retry::retry_transient("upgrade", || Published::new(&ids_path)).await.ok();
            let published = retry::retry_transient("upgrade", || Published::new(&self.path)).await;
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
                        if let Err(e) = self.hand_over_to(stream.into(), ids.as_ref()).await {
                            note!(warn: "upgrade: {e}");
                        }
                    }
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
            self.serving.hand_over(false); // the newer process replaced the socket file and has ended: publish it again
        }
    }

    /// Hands the sockets to a newer process and exchanges frames until it ends.
    async fn hand_over_to(&self, mut stream: HandoverStream, ids: Option<&Published>) -> io::Result<()> {
        let mut hello = [0; HELLO.len()];
        timeout(HELLO_TIMEOUT, stream.read_exact(&mut hello)).await??;
        if hello != *HELLO || !self.serving.is_ready() {
            return Err(io::Error::other(
                "the newer process speaks another version, or this process is stopping",
            ));
        }
        stream.async_io(Interest::WRITABLE, || self.send_sockets(&stream)).await?;
        note!("upgrade: a newer process has come");
        self.link_ids(ids).await;
        self.front.set_budget(self.budget / PROCESSES, PROCESSES, process_id(&stream));
        let read = stream.clone();
        let relay = self.peers.as_ref().map(|p| p.start_relay());
        let serves = || {
            note!("upgrade: the newer process serves");
            self.set_reading(false);
            self.serving.hand_over(true);
        };
        self.exchange_frames(read, send_datagrams(&mut stream, relay), serves).await;
        note!(warn: "upgrade: the newer process has gone; this one goes on");
        self.resume_alone();
        Ok(())
    }

    /// Sends the sockets that a newer process takes over.
    fn send_sockets(&self, stream: &HandoverStream) -> io::Result<()> {
        let listener = self.listener.borrow();
        let listener = listener.as_ref().ok_or_else(|| io::Error::other("this process is stopping"))?;
        let mut descriptors = vec![listener.as_fd()];
        descriptors.extend(self.peers.as_ref().map(|p| p.socket().as_fd()));
        send_descriptors(stream, &descriptors)
    }

    /// Links the newer process, which connects at once unless it is of an older release.
    async fn link_ids(&self, ids: Option<&Published>) {
        let Some(ids) = ids else { return };
        match timeout(HELLO_TIMEOUT, ids.listener.accept()).await.map(|accepted| accepted?.0.into_std()) {
            Ok(Ok(stream)) => self.front.request_ids().link(stream),
            Ok(Err(e)) => note!(warn: "upgrade: the newer process is not told the open ids: {e}"),
            Err(_) => note!(warn: "upgrade: the newer process does not ask for the open ids"),
        }
    }

    /// Exchanges frames with the other process until it ends.
    async fn exchange_frames(
        &self, read: HandoverStream, sender: impl Future<Output = io::Result<()>>, serves: impl Fn(),
    ) {
        let sender = async {
            if sender.await.is_err() {
                std::future::pending::<()>().await; // the reader notices the end once it has read everything
            }
        };
        tokio::select! {
            () = read_frames(read, &self.input_sender, serves) => {}
            () = sender => {}
        }
    }

    fn set_reading(&self, reads: bool) {
        if let Some(peers) = &self.peers {
            peers.set_reading(reads);
        }
    }

    /// Resumes sole use of the sockets and the budget after the other process has ended.
    fn resume_alone(&self) {
        if let Some(peers) = &self.peers {
            peers.stop_relay();
        }
        self.set_reading(true);
        self.front.set_budget(self.budget, 1, None);
    }
}

/// The id of the process at the other end; `None` if the system does not tell it.
fn process_id(stream: &HandoverStream) -> Option<u32> {
    stream.peer_cred().ok()?.pid()?.try_into().ok()
}

async fn send_datagrams(
    write: &mut HandoverStream, relay: Option<mpsc::Receiver<Datagram>>,
) -> io::Result<()> {
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
    std::future::pending().await // the stream stays open, since its end would mean the end of this process
}

/// Reads frames until the other process ends or sends an invalid frame.
async fn read_frames(mut read: HandoverStream, input_sender: &InputSender, serves: impl Fn()) {
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
                input_sender.send(Input::Datagram { from, bytes });
            }
            _ => return,
        }
    }
}

/// A listener at a path. Dropping it removes the file, unless another process has replaced it.
struct Published {
    listener: UnixListener,
    path: PathBuf,
    inode: u64,
}

impl Published {
    /// Listens at a path and replaces any file there by an atomic rename, so that a newer process finds either the old
    /// file or this one.
    fn new(path: &Path) -> io::Result<Self> {
        let own = path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&own); // left over from an earlier process with the same process ID
        let listener = UnixListener::bind(&own)?;
        let inode = std::fs::metadata(&own)?.ino();
        std::fs::rename(&own, path)?;
        Ok(Published { listener, path: path.to_owned(), inode })
    }
}

impl Drop for Published {
    fn drop(&mut self) {
        if std::fs::metadata(&self.path).is_ok_and(|m| m.ino() == self.inode) {
            let _ = std::fs::remove_file(&self.path); // a file left behind is harmless
        }
    }
}
