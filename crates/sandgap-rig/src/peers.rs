//! The network between proxies: datagrams that may be lost, late or doubled.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use crate::limits::DATAGRAM;

/// Parts of the datagrams that are lost, late and doubled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Lost.
    pub lost: f64,
    /// Held back until the next ones have gone.
    pub late: f64,
    /// Sent twice.
    pub doubled: f64,
}

/// The network: what a proxy sends to its `all` address reaches every other, from the sender's own address.
pub struct Network {
    /// Where each proxy sends what all others are to get.
    pub all: Vec<SocketAddr>,
    /// Seen from each proxy, the address of each other.
    pub seen: Vec<Vec<SocketAddr>>,
    weather: Cell<Weather>,
    rng: RefCell<fastrand::Rng>,
    /// Datagrams that were over the protocol's size; none should be.
    pub oversized: Cell<u32>,
}

impl Network {
    /// Starts the network among proxies that will listen at `listen`. Its own sockets stand at `own`, an address
    /// of which nobody else uses a port: on a proxy's it could take the port that was drawn for the proxy.
    pub async fn start(listen: &[SocketAddr], own: IpAddr, seed: u64) -> std::io::Result<Rc<Self>> {
        let bind = || UdpSocket::bind((own, 0));
        let mut entrances = Vec::new();
        let mut exits: Vec<Vec<Rc<UdpSocket>>> = Vec::new(); // exits[from][to]
        for _ in listen {
            entrances.push(bind().await?);
            let mut row = Vec::new();
            for _ in listen {
                row.push(Rc::new(bind().await?));
            }
            exits.push(row);
        }
        let address = |s: &UdpSocket| s.local_addr();
        let all = entrances.iter().map(address).collect::<Result<Vec<_>, _>>()?;
        let mut seen = Vec::new();
        for to in 0..listen.len() {
            let row = (0..listen.len())
                .map(|from| if from == to { Ok(listen[to]) } else { exits[from][to].local_addr() });
            seen.push(row.collect::<Result<Vec<_>, _>>()?);
        }
        let network = Rc::new(Network {
            all,
            seen,
            weather: Cell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            oversized: Cell::new(0),
        });
        for (from, (entrance, row)) in entrances.into_iter().zip(exits).enumerate() {
            let to = row.into_iter().zip(listen.iter().copied()).enumerate();
            let to = to.filter(|(n, _)| *n != from).map(|(_, t)| t).collect();
            spawn_local(network.clone().carry(entrance, to));
        }
        Ok(network)
    }

    /// Changes the weather.
    pub fn set(&self, weather: Weather) {
        self.weather.set(weather);
    }

    async fn carry(self: Rc<Self>, entrance: UdpSocket, exits: Vec<(Rc<UdpSocket>, SocketAddr)>) {
        let mut buffer = [0; DATAGRAM + 1];
        let mut held: Vec<Option<Vec<u8>>> = vec![None; exits.len()];
        loop {
            let Ok((size, _)) = entrance.recv_from(&mut buffer).await else { continue };
            if size > DATAGRAM {
                self.oversized.set(self.oversized.get() + 1);
                continue;
            }
            let bytes = &buffer[..size];
            for ((socket, to), held) in exits.iter().zip(&mut held) {
                let weather = self.weather.get();
                let draw = || self.rng.borrow_mut().f64();
                if draw() < weather.lost {
                    continue;
                }
                if draw() < weather.late && held.is_none() {
                    *held = Some(bytes.to_vec());
                    continue;
                }
                // A proxy that is down refuses; the next datagram finds out.
                let _ = socket.try_send_to(bytes, *to);
                if draw() < weather.doubled {
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
    async fn words_reach_all_others_from_the_senders_address() {
        tokio::task::LocalSet::new().run_until(words()).await;
    }

    async fn words() {
        let mut sockets = Vec::new();
        for _ in 0..3 {
            sockets.push(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
        }
        let listen: Vec<_> = sockets.iter().map(|s| s.local_addr().expect("an address")).collect();
        let network = Network::start(&listen, listen[0].ip(), 1).await.expect("a network");
        sockets[0].send_to(b"word", network.all[0]).await.expect("sent");
        for n in [1, 2] {
            let mut buffer = [0; 16];
            let got = tokio::time::timeout(Duration::from_secs(20), sockets[n].recv_from(&mut buffer)).await;
            let (size, from) = got.expect("in time").expect("a datagram");
            assert_eq!((&buffer[..size], from), (&b"word"[..], network.seen[n][0]));
        }
    }
}
