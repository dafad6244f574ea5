//! Stand-in discovery: one service, with addresses for each proxy alone between which it can be moved, where it can be silent, stale, split or
//! broken for some or all of them.

use std::cell::{Cell, RefCell};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};

use crate::backend::Backend;
use crate::http::Conn;
use crate::world::World;
use sandgap_rules::{Record, Writer};

/// An empty line comes this often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);

/// A backend's state on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Takes work.
    Up,
    /// Finishes what it has.
    Draining,
    /// Has left.
    Removed,
}

struct Entry {
    backend: Rc<Backend>,
    health: Health,
}

/// One change of the list: the entry, its health then.
#[derive(Clone, Copy)]
struct Change {
    entry: usize,
    health: Health,
}

/// Where a proxy finds the service: at the first of these until its configuration names another.
pub type Addresses = [SocketAddr; 2];

/// The service.
pub struct Discovery {
    world: Rc<World>,
    entries: RefCell<Vec<Entry>>,
    /// The log of changes; the version of the list is its length.
    changes: RefCell<Vec<Change>>,
    /// For each proxy.
    sides: Vec<Side>,
    silent: Cell<bool>,
    news: Notify,
    end: Notify,
}

struct Side {
    addresses: Addresses,
    split: Cell<bool>,
    /// A line that goes out as it is.
    odd: RefCell<Option<String>>,
    /// Version that this proxy has been told.
    told: Cell<usize>,
    servers: RefCell<Vec<JoinHandle<()>>>,
}

impl Discovery {
    /// Starts the service at the addresses for each proxy.
    pub fn start(world: &Rc<World>, addresses: Vec<Addresses>) -> std::io::Result<Rc<Self>> {
        let side = |addresses| Side {
            addresses,
            split: Cell::new(false),
            odd: RefCell::default(),
            told: Cell::new(0),
            servers: RefCell::default(),
        };
        let discovery = Rc::new(Discovery {
            world: world.clone(),
            entries: RefCell::default(),
            changes: RefCell::default(),
            sides: addresses.into_iter().map(side).collect(),
            silent: Cell::new(false),
            news: Notify::new(),
            end: Notify::new(),
        });
        for proxy in 0..discovery.sides.len() {
            for address in discovery.sides[proxy].addresses {
                let std = std::net::TcpListener::bind(address)?;
                std.set_nonblocking(true)?;
                let listener = TcpListener::from_std(std)?;
                let server = spawn_local(discovery.clone().serve(proxy, listener));
                discovery.sides[proxy].servers.borrow_mut().push(server);
            }
        }
        Ok(discovery)
    }

    /// Adds a backend or says what has become of it.
    pub fn say(&self, backend: &Rc<Backend>, health: Health) {
        let mut entries = self.entries.borrow_mut();
        let known = entries.iter().position(|e| e.backend.number == backend.number);
        let entry = known.unwrap_or_else(|| {
            entries.push(Entry { backend: backend.clone(), health });
            entries.len() - 1
        });
        if known.is_some() && (entries[entry].health == health || entries[entry].health == Health::Removed) {
            return;
        }
        entries[entry].health = health;
        self.changes.borrow_mut().push(Change { entry, health });
        self.news.notify_waiters();
    }

    /// Health of the backends on the list: up, draining.
    pub fn census(&self) -> (usize, usize) {
        let entries = self.entries.borrow();
        let count = |h| entries.iter().filter(|e| e.health == h).count();
        (count(Health::Up), count(Health::Draining))
    }

    /// Whether a backend is up on the list.
    pub fn is_up(&self, backend: &Backend) -> bool {
        let entries = self.entries.borrow();
        entries.iter().any(|e| e.backend.number == backend.number && e.health == Health::Up)
    }

    /// Says nothing to anybody, or goes on.
    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
        self.news.notify_waiters();
    }

    /// Says nothing to one proxy, or goes on.
    pub fn set_split(&self, proxy: usize, split: bool) {
        self.sides[proxy].split.set(split);
        self.news.notify_waiters();
    }

    /// Repeats the very first list to everybody, under its old version.
    pub fn repeat_old(&self) {
        let n = self.world.plan.initial.min(self.entries.borrow().len());
        for (proxy, side) in self.sides.iter().enumerate() {
            let lines: Vec<String> = (0..n).map(|e| self.line(proxy, e, Health::Up)).collect();
            // Only news that is older than what a proxy knows can be told from a list that counts anew.
            if side.told.get() > n {
                *side.odd.borrow_mut() = Some(list(n, true, &lines));
            }
        }
        self.news.notify_waiters();
    }

    /// Writes a line that can't be read to everybody.
    pub fn garble(&self) {
        for side in &self.sides {
            let version = self.changes.borrow().len();
            *side.odd.borrow_mut() = Some(format!("{{\"seq\":{version},\"whole\":tr"));
        }
        self.news.notify_waiters();
    }

    /// Ends all watches.
    pub fn end_watches(&self) {
        self.end.notify_waiters();
    }

    /// Where a proxy finds it.
    pub fn addresses(&self, proxy: usize) -> Addresses {
        self.sides[proxy].addresses
    }

    /// The list as a proxy last had it, in the form of its configuration, and the words that this tells it.
    pub fn known(&self, proxy: usize) -> String {
        let told = self.sides[proxy].told.get();
        if told == 0 {
            return "null".into();
        }
        let state = self.state_at(told);
        self.note_all(proxy, &state);
        self.whole(proxy, told, &state)
    }

    /// Health of each entry at a version.
    fn state_at(&self, version: usize) -> Vec<Option<Health>> {
        let mut state = vec![None; self.entries.borrow().len()];
        self.changes.borrow()[..version].iter().for_each(|c| state[c.entry] = Some(c.health));
        state
    }

    fn whole(&self, proxy: usize, version: usize, state: &[Option<Health>]) -> String {
        let listed = |(e, h): (usize, &Option<Health>)| match h {
            Some(Health::Removed) | None => None,
            Some(h) => Some(self.line(proxy, e, *h)),
        };
        list(version, true, &state.iter().enumerate().filter_map(listed).collect::<Vec<_>>())
    }

    fn line(&self, proxy: usize, entry: usize, health: Health) -> String {
        let entries = self.entries.borrow();
        let b = &entries[entry].backend;
        let health = match health {
            Health::Up => "up",
            Health::Draining => "draining",
            Health::Removed => "removed",
        };
        let build = &self.world.plan.machines[b.number];
        let kind = crate::export::kind(build.speed);
        format!(
            r#"{{"host":"{}","dial":"{}","site":"z","class":"{kind}","block":{},"health":"{health}","share":{:?},"born_ms":{}}}"#,
            b.name(),
            b.addresses[proxy],
            b.cell(),
            build.share,
            b.born.map_or(0, |at| self.world.clock.unix_ms(at)),
        )
    }

    /// Writes into the ledger what a proxy has now been told.
    fn note_all(&self, proxy: usize, state: &[Option<Health>]) {
        for (e, health) in state.iter().enumerate() {
            if let Some(h) = health {
                self.note(proxy, e, *h);
            }
        }
    }

    fn note(&self, proxy: usize, entry: usize, health: Health) {
        let backend = self.entries.borrow()[entry].backend.number as u16;
        let (proxy, up, at) = (proxy as u16, health == Health::Up, self.world.now());
        self.world.note(Writer::Discovery, Record::HealthTold { proxy, backend, up, at });
    }

    async fn serve(self: Rc<Self>, proxy: usize, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                spawn_local(self.clone().answer(proxy, Conn::new(stream)));
            }
        }
    }

    async fn hush(&self, proxy: usize) {
        while self.silent.get() || self.sides[proxy].split.get() {
            self.news.notified().await;
        }
    }

    async fn answer(self: Rc<Self>, proxy: usize, mut conn: Conn) {
        let Ok(request) = conn.request(&self.world.clock).await else { return };
        self.hush(proxy).await;
        let parameter = |name: &str| {
            let query = request.target.split_once('?').map_or("", |(_, q)| q);
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
        };
        if parameter("watch").is_none() {
            let version = self.changes.borrow().len();
            let state = self.state_at(version);
            let text = self.whole(proxy, version, &state);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            if conn.write((head + &text).as_bytes()).await.is_ok() {
                self.sides[proxy].told.set(version);
                self.note_all(proxy, &state);
            }
            return;
        }
        let after = parameter("after").and_then(|a| a.parse().ok());
        tokio::select! {
            () = self.watch(proxy, &mut conn, after) => {}
            () = self.end.notified() => {}
        }
    }

    async fn watch(&self, proxy: usize, conn: &mut Conn, after: Option<usize>) {
        if conn.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        let version = self.changes.borrow().len();
        let mut at = match after.filter(|a| *a <= version) {
            Some(after) => after,
            None => {
                let state = self.state_at(version);
                if !chunk(conn, &self.whole(proxy, version, &state)).await {
                    return;
                }
                self.note_all(proxy, &state);
                version
            }
        };
        let side = &self.sides[proxy];
        side.told.set(side.told.get().max(at));
        loop {
            let news = self.news.notified();
            if !self.silent.get() && !side.split.get() {
                let odd = side.odd.borrow_mut().take();
                if let Some(odd) = odd
                    && !chunk(conn, &odd).await
                {
                    return;
                }
                let fresh: Vec<Change> = self.changes.borrow()[at..].to_vec();
                if !fresh.is_empty() {
                    at += fresh.len();
                    let lines: Vec<String> =
                        fresh.iter().map(|c| self.line(proxy, c.entry, c.health)).collect();
                    if !chunk(conn, &list(at, false, &lines)).await {
                        return;
                    }
                    side.told.set(side.told.get().max(at));
                    fresh.iter().for_each(|c| self.note(proxy, c.entry, c.health));
                    continue;
                }
            }
            let quiet = self.silent.get() || side.split.get();
            tokio::select! {
                () = news => {}
                () = tokio::time::sleep(BEAT) => if !quiet && !chunk(conn, "").await { return },
            }
        }
    }
}

/// Writes a line as a chunk of its own.
async fn chunk(conn: &mut Conn, line: &str) -> bool {
    let mut text = String::with_capacity(line.len() + 16);
    let _ = write!(text, "{:x}\r\n{line}\n\r\n", line.len() + 1);
    conn.write(text.as_bytes()).await.is_ok()
}

fn list(version: usize, whole: bool, lines: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, lines.join(","))
}
