//! UDP datagrams between proxies: short, unordered and possibly lost.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::rc::Rc;

use rustc_hash::FxHashMap;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};

use crate::config::PeerAddresses;
use crate::event::{Input, InputSender};
use crate::note;

/// Maximum size of a message in the protocol, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Queue capacity for datagrams relayed to the other process of an upgrade; more are lost, as on the network.
const RELAY_QUEUE: usize = 64;

/// A datagram and the number of the proxy that sent it.
pub type Datagram = (u32, Vec<u8>);

/// The socket for messages to and from the other proxies.
pub struct Peers {
    socket: UdpSocket,
    /// Messages to this address reach every other proxy.
    all: SocketAddr,
    /// Proxy numbers by address.
    numbers: FxHashMap<SocketAddr, u32>,
    /// This proxy's own number, the sender in datagrams that it relays to the other process of an upgrade.
    me: u32,
    /// Whether this process reads the socket; during an upgrade the process that shares it may read instead.
    reads: Cell<bool>,
    changed: Notify,
    /// Queue to the other process while an upgrade lasts.
    relay: RefCell<Option<mpsc::Sender<Datagram>>>,
}

impl Peers {
    /// Uses a socket from [`bind`], or one handed over by an older process. `reads` tells whether this process reads
    /// it; an older process does so until this one serves.
    ///
    /// # Errors
    /// The system's error if the socket can't be used.
    pub fn new(addresses: PeerAddresses, me: u32, socket: StdSocket, reads: bool) -> io::Result<Rc<Self>> {
        let reads = Cell::new(reads);
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        let (changed, relay) = (Notify::new(), RefCell::default());
        let numbers = addresses.peers.iter().zip(0..).map(|(address, number)| (*address, number)).collect();
        Ok(Rc::new(Peers { socket, all: addresses.all, numbers, me, reads, changed, relay }))
    }

    /// The socket, to be handed over.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Sets whether this process reads the socket.
    pub fn set_reading(&self, reads: bool) {
        self.reads.set(reads);
        self.changed.notify_one();
    }

    /// Relays all received and sent datagrams to the other process of an upgrade, until [`Peers::stop_relay`].
    pub fn start_relay(&self) -> mpsc::Receiver<Datagram> {
        let (sender, receiver) = mpsc::channel(RELAY_QUEUE);
        self.relay.replace(Some(sender));
        receiver
    }

    /// Stops the relay that [`Peers::start_relay`] started.
    pub fn stop_relay(&self) {
        self.relay.replace(None);
    }

    fn relay_datagram(&self, from: u32, bytes: &[u8]) {
        if let Some(relay) = &*self.relay.borrow() {
            let _ = relay.try_send((from, bytes.to_vec())); // a datagram may always be lost
        }
    }

    /// Sends a message to every other proxy. What the socket can't accept at once is lost, as on the network.
    pub fn broadcast(&self, bytes: &[u8]) {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return note!(warn:
                "peers: a message of {} bytes is not sent; the limit is {MAX_MESSAGE_BYTES} bytes", bytes.len()
            );
        }
        self.relay_datagram(self.me, bytes);
        if let Err(e) = self.socket.try_send_to(bytes, self.all) {
            note!(warn: "peers: {e}");
        }
    }

    /// Receives datagrams of the other proxies; one from an unknown address or over the size limit is dropped.
    pub async fn receive(self: Rc<Self>, input_sender: InputSender) {
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            let received = tokio::select! {
                received = self.socket.recv_from(&mut buffer), if self.reads.get() => received,
                () = self.changed.notified() => continue,
            };
            match received {
                Ok((size, from)) => match self.numbers.get(&from) {
                    Some(&number) if size <= MAX_MESSAGE_BYTES => {
                        self.relay_datagram(number, &buffer[..size]);
                        input_sender.send(Input::Datagram { from: number, bytes: buffer[..size].to_vec() });
                    }
                    _ => note!(warn: "a datagram of {size} bytes or more from {from} is dropped"),
                },
                // The error of an earlier send may be reported here.
                Err(e) => {
                    note!(warn: "peers: {e}");
                    tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                }
            }
        }
    }
}

/// Binds a datagram socket. Two processes may bind the same address while an upgrade lasts.
///
/// # Errors
/// The system's error if the address can't be used.
pub fn bind(address: SocketAddr) -> io::Result<StdSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
