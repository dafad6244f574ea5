//! The network between the processes of a fleet: every proxy reaches every other one through a TCP relay for that pair.
//! A relay can drop one or both directions, delay or throttle bytes, and break connections in the middle of a frame.
//!
//! Relays carry TCP, so that nothing is duplicated or reordered within a connection; the ends of a broken connection
//! have to recover what it lost.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes that a relay reads at once, and so the most it buffers for one direction.
const CHUNK: usize = 16 << 10;

/// What happens to the bytes in one direction between two proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// They are forwarded after a delay, at no more than so many bytes per second (0: unlimited).
    Open(Duration, u64),
    /// They are read and discarded. The connection stays open until the direction is restored, and is then broken.
    Hole,
}

impl Way {
    /// They are forwarded at once.
    pub const FREE: Way = Way::Open(Duration::ZERO, 0);
}

/// The relays between all pairs of proxies.
pub struct Net {
    size: usize,
    /// By the sending and the receiving proxy, whichever of them opened the connection.
    ways: RefCell<Vec<Way>>,
    /// For each pair, a counter whose increase cut_count the pair's connections.
    cut_counts: RefCell<Vec<u64>>,
    changed: Notify,
    /// The relay's address, by the connecting proxy and the one it connects to.
    addresses: RefCell<Vec<Option<SocketAddr>>>,
    /// Bytes forwarded by all relays.
    pub bytes_passed: Cell<u64>,
}

impl Net {
    /// Starts a relay for each ordered pair of proxies; `real` holds the proxies' own addresses.
    ///
    /// # Errors
    /// An I/O error.
    pub async fn start(real: &[SocketAddr]) -> std::io::Result<Rc<Self>> {
        let size = real.len();
        let net = Rc::new(Net {
            size,
            ways: RefCell::new(vec![Way::FREE; size * size]),
            cut_counts: RefCell::new(vec![0; size * size]),
            changed: Notify::new(),
            addresses: RefCell::new(vec![None; size * size]),
            bytes_passed: Cell::new(0),
        });
        for from in 0..size {
            for to in (0..size).filter(|to| *to != from) {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                net.addresses.borrow_mut()[from * size + to] = Some(listener.local_addr()?);
                spawn_local(net.clone().listen(listener, from, to, real[to]));
            }
        }
        Ok(net)
    }

    /// The address at which `from` connects to `to`.
    pub fn address(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.addresses.borrow()[from * self.size + to]
    }

    /// Sets what happens to bytes from one proxy to another. Breaks the connections between the two when it ends a
    /// [`Way::Hole`].
    pub fn set(&self, from: usize, to: usize, way: Way) {
        let at = from * self.size + to;
        let before = std::mem::replace(&mut self.ways.borrow_mut()[at], way);
        if before == Way::Hole && way != Way::Hole {
            self.cut(from, to);
        }
        self.changed.notify_waiters();
    }

    /// Breaks all connections between two proxies, also in the middle of a frame.
    pub fn cut(&self, from: usize, to: usize) {
        let mut cut_counts = self.cut_counts.borrow_mut();
        cut_counts[from * self.size + to] += 1;
        cut_counts[to * self.size + from] += 1;
        drop(cut_counts);
        self.changed.notify_waiters();
    }

    /// Restores all directions.
    pub fn heal(&self) {
        for from in 0..self.size {
            for to in (0..self.size).filter(|to| *to != from) {
                self.set(from, to, Way::FREE);
            }
        }
    }

    fn way(&self, from: usize, to: usize) -> Way {
        self.ways.borrow()[from * self.size + to]
    }

    fn cut_count(&self, from: usize, to: usize) -> u64 {
        self.cut_counts.borrow()[from * self.size + to]
    }

    async fn listen(self: Rc<Self>, listener: TcpListener, from: usize, to: usize, real: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            spawn_local(self.clone().relay(client, from, to, real));
        }
    }

    async fn relay(self: Rc<Self>, client: TcpStream, from: usize, to: usize, real: SocketAddr) {
        let cut_count = self.cut_count(from, to);
        let Ok(server) = TcpStream::connect(real).await else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let ((client_read, client_write), (server_read, server_write)) =
            (client.into_split(), server.into_split());
        let broken = async {
            while self.cut_count(from, to) == cut_count {
                self.changed.notified().await;
            }
        };
        tokio::select! {
            () = self.forward(client_read, server_write, from, to) => {}
            () = self.forward(server_read, client_write, to, from) => {}
            () = broken => {}
        }
    }

    async fn forward(&self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf, from: usize, to: usize) {
        let mut bytes = vec![0; CHUNK];
        loop {
            let n = match read.read(&mut bytes).await {
                Ok(n) if n > 0 => n,
                _ => return,
            };
            let came = Instant::now();
            match self.way(from, to) {
                Way::Hole => continue,
                Way::Open(delay, rate) => {
                    if !delay.is_zero() {
                        sleep_until(came + delay).await;
                    }
                    if rate > 0 {
                        sleep(Duration::from_secs_f64(n as f64 / rate as f64)).await;
                    }
                }
            }
            // The direction may have become a hole while these bytes were delayed.
            if self.way(from, to) != Way::Hole && write.write_all(&bytes[..n]).await.is_err() {
                return;
            }
            self.bytes_passed.set(self.bytes_passed.get() + n as u64);
        }
    }
}
