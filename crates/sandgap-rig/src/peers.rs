//! The network between proxies, with datagrams that may be lost, late or duplicated.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use crate::limits::MAX_DATAGRAM_BYTES;

/// Parts of the datagrams, from 0 to 1, that are lost, late and duplicated.
#[derive(Clone, Copy, Debug, Default)]
pub struct DatagramFaults {
    /// Lost.
    pub lost: f64,
    /// Held back until after the next one.
    pub late: f64,
    /// Sent twice.
    pub duplicated: f64,
}

/// The network. A datagram that a proxy sends to its `all` address reaches every other proxy, from an address that stands for
/// the sender.
pub struct Network {
    /// For each proxy, the address that forwards to all others.
    pub all: Vec<SocketAddr>,
    /// For each proxy, the addresses of all proxies as it sees them.
    pub seen: Vec<Vec<SocketAddr>>,
    faults: Cell<DatagramFaults>,
    rng: RefCell<fastrand::Rng>,
    /// Datagrams larger than the protocol allows; there should be none.
    pub oversized: Cell<u32>,
}

impl Network {
    /// Starts the network between proxies that will listen at `listen`. Its own sockets are bound to `own`, an address
    /// that nobody else uses: on a proxy's address it could take the port that was drawn for the proxy.
    pub async fn start(listen: &[SocketAddr], own: IpAddr, seed: u64) -> std::io::Result<Rc<Self>> {
        let bind = || UdpSocket::bind((own, 0));
        let mut inbound_sockets = Vec::new();
        let mut outbound: Vec<Vec<Rc<UdpSocket>>> = Vec::new(); // outbound[from][to]
        for _ in listen {
            inbound_sockets.push(bind().await?);
            let mut row = Vec::new();
            for _ in listen {
                row.push(Rc::new(bind().await?));
            }
            outbound.push(row);
        }
        let address = |s: &UdpSocket| s.local_addr();
        let all = inbound_sockets.iter().map(address).collect::<Result<Vec<_>, _>>()?;
        let mut seen = Vec::new();
        for to in 0..listen.len() {
            let row = (0..listen.len())
                .map(|from| if from == to { Ok(listen[to]) } else { outbound[from][to].local_addr() });
            seen.push(row.collect::<Result<Vec<_>, _>>()?);
        }
        let network = Rc::new(Network {
            all,
            seen,
            faults: Cell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            oversized: Cell::new(0),
        });
        for (from, (inbound, row)) in inbound_sockets.into_iter().zip(outbound).enumerate() {
            let to = row.into_iter().zip(listen.iter().copied()).enumerate();
            let to = to.filter(|(n, _)| *n != from).map(|(_, t)| t).collect();
            spawn_local(network.clone().forward(inbound, to));
        }
        Ok(network)
    }

    /// Sets the faults of datagrams from now on.
    pub fn set(&self, faults: DatagramFaults) {
        self.faults.set(faults);
    }

    /// Forwards the datagrams of one proxy to all others.
    async fn forward(self: Rc<Self>, inbound: UdpSocket, outbound: Vec<(Rc<UdpSocket>, SocketAddr)>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut held: Vec<Option<Vec<u8>>> = vec![None; outbound.len()];
        loop {
            let Ok((size, _)) = inbound.recv_from(&mut buffer).await else { continue };
            if size > MAX_DATAGRAM_BYTES {
                self.oversized.set(self.oversized.get() + 1);
                continue;
            }
            let bytes = &buffer[..size];
            for ((socket, to), held) in outbound.iter().zip(&mut held) {
                let faults = self.faults.get();
                let draw = || self.rng.borrow_mut().f64();
                if draw() < faults.lost {
                    continue;
                }
                if draw() < faults.late && held.is_none() {
                    *held = Some(bytes.to_vec());
                    continue;
                }
                // The port of a proxy that is down refuses it; the error is reported on a later send and ignored.
                let _ = socket.try_send_to(bytes, *to);
                if draw() < faults.duplicated {
                    let _ = socket.try_send_to(bytes, *to);
                }
                if let Some(late) = held.take() {
                    let _ = socket.try_send_to(&late, *to);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[tokio::test]
    async fn datagrams_reach_all_others_from_the_senders_address() {
        tokio::task::LocalSet::new().run_until(send_to_all()).await;
    }

    async fn send_to_all() {
        let mut sockets = Vec::new();
        for _ in 0..3 {
            sockets.push(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
        }
        let listen: Vec<_> = sockets.iter().map(|s| s.local_addr().expect("an address")).collect();
        let network = Network::start(&listen, listen[0].ip(), 1).await.expect("a network");
        sockets[0].send_to(b"data", network.all[0]).await.expect("sent");
        for n in [1, 2] {
            let mut buffer = [0; 16];
            let got = tokio::time::timeout(Duration::from_secs(20), sockets[n].recv_from(&mut buffer)).await;
            let (size, from) = got.expect("in time").expect("a datagram");
            assert_eq!((&buffer[..size], from), (&b"data"[..], network.seen[n][0]));
        }
    }
}
