//! Datagrams between proxies: short, unordered, perhaps lost.

use std::io;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::config::PeerAddresses;
use crate::event::{Inbox, Input};
use crate::note;

const MOST: usize = 256; // bytes of a message, by the protocol

/// Sends to the other proxies.
pub struct Peers {
    socket: UdpSocket,
    addresses: PeerAddresses,
}

impl Peers {
    /// Binds the socket.
    pub async fn bind(addresses: PeerAddresses) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Peers { socket: UdpSocket::bind(addresses.listen).await?, addresses }))
    }

    /// Tells every other proxy. What the socket can't take at once is lost, as on the way.
    pub fn tell(&self, bytes: &[u8]) {
        if bytes.len() > MOST {
            note!(warn: "a message of {} bytes is not sent", bytes.len());
        } else if let Err(e) = self.socket.try_send_to(bytes, self.addresses.all) {
            note!(warn: "peers: {e}");
        }
    }

    /// Hands on what the others send; a datagram from elsewhere or over the size is dropped.
    pub async fn listen(self: Rc<Self>, inbox: Inbox) {
        let mut buffer = [0; MOST + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((size, from)) => match self.addresses.peers.iter().position(|p| *p == from) {
                    Some(number) if size <= MOST => {
                        inbox.put(Input::Datagram { from: number as u32, bytes: buffer[..size].to_vec() });
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
