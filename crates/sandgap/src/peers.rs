//! Datagrams between proxies: short, unordered, perhaps lost.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::rc::Rc;

use rustc_hash::FxHashMap;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};

use crate::config::PeerAddresses;
use crate::event::{Inbox, Input};
use crate::note;

/// Bytes of a message, by the protocol.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Datagrams that wait to be handed to the process beside this one; more are lost, as on the way.
const RELAYED: usize = 64;

/// A datagram and the number of the proxy that sent it.
pub type Datagram = (u32, Vec<u8>);

/// Sends to the other proxies.
pub struct Peers {
    socket: UdpSocket,
    /// What is sent here reaches every other proxy.
    all: SocketAddr,
    /// The numbers of the proxies by their addresses.
    numbers: FxHashMap<SocketAddr, u32>,
    /// This proxy's own number, under which the process beside it hears it.
    me: u32,
    /// Whether this process reads the socket; another that shares it may.
    reads: Cell<bool>,
    changed: Notify,
    /// To the process beside this one, while an upgrade lasts.
    relay: RefCell<Option<mpsc::Sender<Datagram>>>,
}

impl Peers {
    /// Takes over a socket from [`bind`], or one that the process before has handed on; that process `reads` it until
    /// this one serves.
    ///
    /// # Errors
    /// The system's, where the socket can't be used.
    pub fn new(addresses: PeerAddresses, me: u32, socket: StdSocket, reads: bool) -> io::Result<Rc<Self>> {
        let reads = Cell::new(reads);
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        let (changed, relay) = (Notify::new(), RefCell::default());
        let numbers = addresses.peers.iter().zip(0..).map(|(address, number)| (*address, number)).collect();
        Ok(Rc::new(Peers { socket, all: addresses.all, numbers, me, reads, changed, relay }))
    }

    /// The socket, to be handed on.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Whether this process reads the socket from now on.
    pub fn read(&self, reads: bool) {
        self.reads.set(reads);
        self.changed.notify_one();
    }

    /// Hands all that is heard and told to the process beside this one, until [`Peers::unrelay`].
    pub fn relay(&self) -> mpsc::Receiver<Datagram> {
        let (sender, receiver) = mpsc::channel(RELAYED);
        self.relay.replace(Some(sender));
        receiver
    }

    /// Ends what [`Peers::relay`] began.
    pub fn unrelay(&self) {
        self.relay.replace(None);
    }

    fn pass_on(&self, from: u32, bytes: &[u8]) {
        if let Some(relay) = &*self.relay.borrow() {
            let _ = relay.try_send((from, bytes.to_vec())); // a datagram may always be lost
        }
    }

    /// Tells every other proxy. What the socket can't take at once is lost, as on the way.
    pub fn tell(&self, bytes: &[u8]) {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return note!(warn: "a message of {} bytes is not sent", bytes.len());
        }
        self.pass_on(self.me, bytes);
        if let Err(e) = self.socket.try_send_to(bytes, self.all) {
            note!(warn: "peers: {e}");
        }
    }

    /// Hands on what the others send; a datagram from elsewhere or over the size is dropped.
    pub async fn listen(self: Rc<Self>, inbox: Inbox) {
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            let heard = tokio::select! {
                heard = self.socket.recv_from(&mut buffer), if self.reads.get() => heard,
                () = self.changed.notified() => continue,
            };
            match heard {
                Ok((size, from)) => match self.numbers.get(&from) {
                    Some(&number) if size <= MAX_MESSAGE_BYTES => {
                        self.pass_on(number, &buffer[..size]);
                        inbox.put(Input::Datagram { from: number, bytes: buffer[..size].to_vec() });
                    }
                    _ => note!(warn: "a datagram of {size} bytes or more from {from} is dropped"),
                },
                // An earlier send's refusal may be reported here.
                Err(e) => {
                    note!(warn: "peers: {e}");
                    tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                }
            }
        }
    }
}

/// Binds a socket for datagrams. Two processes may bind the same address while an upgrade lasts.
///
/// # Errors
/// The system's, where the address can't be used.
pub fn bind(address: SocketAddr) -> io::Result<StdSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
