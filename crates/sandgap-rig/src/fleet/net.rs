//! The net between processes: each pair of proxies that talk do so through a relay, one for each that dials, which can
//! cut a way or one direction of it, delay, throttle, and break what is under way in the middle of a frame.
//!
//! Relays carry TCP, so that nothing is doubled or reordered within a connection; what a broken one loses, its ends
//! have to make up for.

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

/// Bytes that a relay takes at once, and holds for one direction.
const CHUNK: usize = 16 << 10;

/// What happens to bytes in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// They pass after a span, at most so many bytes a second (0: as they come).
    Open(Duration, u64),
    /// They are taken and go nowhere: the connection lives on, and is broken once the way opens again.
    Hole,
}

impl Way {
    /// They pass at once.
    pub const FREE: Way = Way::Open(Duration::ZERO, 0);
}

/// All relays.
pub struct Net {
    size: usize,
    /// From one proxy to another, whoever dialled.
    ways: RefCell<Vec<Way>>,
    /// Connections from one to another are broken when this moves.
    broken: RefCell<Vec<u64>>,
    changed: Notify,
    /// Where one proxy dials another.
    addresses: RefCell<Vec<Option<SocketAddr>>>,
    /// Bytes passed.
    pub passed: Cell<u64>,
}

impl Net {
    /// Relays for each that dials each other; `real` is where the proxies are.
    ///
    /// # Errors
    /// The system's.
    pub async fn start(real: &[SocketAddr]) -> std::io::Result<Rc<Self>> {
        let size = real.len();
        let net = Rc::new(Net {
            size,
            ways: RefCell::new(vec![Way::FREE; size * size]),
            broken: RefCell::new(vec![0; size * size]),
            changed: Notify::new(),
            addresses: RefCell::new(vec![None; size * size]),
            passed: Cell::new(0),
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

    /// Where `from` dials `to`.
    pub fn address(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.addresses.borrow()[from * self.size + to]
    }

    /// Sets what happens from one to another. A way that was a hole loses its connections when it opens.
    pub fn set(&self, from: usize, to: usize, way: Way) {
        let at = from * self.size + to;
        let before = std::mem::replace(&mut self.ways.borrow_mut()[at], way);
        if before == Way::Hole && way != Way::Hole {
            self.cut(from, to);
        }
        self.changed.notify_waiters();
    }

    /// Breaks what is under way between two, in the middle of whatever it is.
    pub fn cut(&self, from: usize, to: usize) {
        let mut broken = self.broken.borrow_mut();
        broken[from * self.size + to] += 1;
        broken[to * self.size + from] += 1;
        drop(broken);
        self.changed.notify_waiters();
    }

    /// All ways are free.
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

    fn breaks(&self, from: usize, to: usize) -> u64 {
        self.broken.borrow()[from * self.size + to]
    }

    async fn listen(self: Rc<Self>, listener: TcpListener, from: usize, to: usize, real: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            spawn_local(self.clone().relay(near, from, to, real));
        }
    }

    async fn relay(self: Rc<Self>, near: TcpStream, from: usize, to: usize, real: SocketAddr) {
        let breaks = self.breaks(from, to);
        let Ok(far) = TcpStream::connect(real).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
        let broken = async {
            while self.breaks(from, to) == breaks {
                self.changed.notified().await;
            }
        };
        tokio::select! {
            () = self.pass(near_read, far_write, from, to) => {}
            () = self.pass(far_read, near_write, to, from) => {}
            () = broken => {}
        }
    }

    async fn pass(&self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf, from: usize, to: usize) {
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
            // What became a hole meanwhile swallows this, too.
            if self.way(from, to) != Way::Hole && write.write_all(&bytes[..n]).await.is_err() {
                return;
            }
            self.passed.set(self.passed.get() + n as u64);
        }
    }
}
