//! A simulated discovery service. Each proxy has its own addresses of it, between which the service can be moved. It can be
//! silent or split, and send stale or broken lists, for some or all proxies.

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

/// Interval of empty lines while nothing changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The health of a backend on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Accepts new requests.
    Up,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Is no longer on the list.
    Removed,
}

struct Entry {
    backend: Rc<Backend>,
    health: Health,
}

/// A change of the list: an entry and its new health.
#[derive(Clone, Copy)]
struct Change {
    entry: usize,
    health: Health,
}

/// The addresses of the service for one proxy: the first until its configuration names the other.
pub type Addresses = [SocketAddr; 2];

/// The discovery service.
pub struct Discovery {
    world: Rc<World>,
    entries: RefCell<Vec<Entry>>,
    /// The log of changes; the version of the list is its length.
    changes: RefCell<Vec<Change>>,
    /// State by proxy.
    views: Vec<ProxyView>,
    silent: Cell<bool>,
    /// Notified of changes of the list and of silence.
    change: Notify,
    /// Ends all watches.
    watch_end: Notify,
}

/// The service as one proxy sees it.
struct ProxyView {
    addresses: Addresses,
    split: Cell<bool>,
    /// A line to be sent once, as it is.
    raw_line: RefCell<Option<String>>,
    /// The latest version that this proxy was told.
    told_version: Cell<usize>,
    servers: RefCell<Vec<JoinHandle<()>>>,
}

impl Discovery {
    /// Starts the service at the addresses for each proxy.
    pub fn start(world: &Rc<World>, addresses: Vec<Addresses>) -> std::io::Result<Rc<Self>> {
        let view = |addresses| ProxyView {
            addresses,
            split: Cell::new(false),
            raw_line: RefCell::default(),
            told_version: Cell::new(0),
            servers: RefCell::default(),
        };
        let discovery = Rc::new(Discovery {
            world: world.clone(),
            entries: RefCell::default(),
            changes: RefCell::default(),
            views: addresses.into_iter().map(view).collect(),
            silent: Cell::new(false),
            change: Notify::new(),
            watch_end: Notify::new(),
        });
        for proxy in 0..discovery.views.len() {
            for address in discovery.views[proxy].addresses {
                let std = std::net::TcpListener::bind(address)?;
                std.set_nonblocking(true)?;
                let listener = TcpListener::from_std(std)?;
                let server = spawn_local(discovery.clone().serve(proxy, listener));
                discovery.views[proxy].servers.borrow_mut().push(server);
            }
        }
        Ok(discovery)
    }

    /// Adds a backend to the list or changes its health. A removed backend stays removed.
    pub fn announce(&self, backend: &Rc<Backend>, health: Health) {
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
        self.change.notify_waiters();
    }

    /// Number of backends that are up, and that drain.
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

    /// Makes the service silent to all proxies, or ends that.
    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
        self.change.notify_waiters();
    }

    /// Makes the service silent to one proxy, or ends that.
    pub fn set_split(&self, proxy: usize, split: bool) {
        self.views[proxy].split.set(split);
        self.change.notify_waiters();
    }

    /// Sends the initial list again to all proxies, under its old version.
    pub fn send_stale_list(&self) {
        let n = self.world.plan.initial.min(self.entries.borrow().len());
        for (proxy, view) in self.views.iter().enumerate() {
            let lines: Vec<String> = (0..n).map(|e| self.entry_json(proxy, e, Health::Up)).collect();
            // A proxy can recognize the list as stale only if its version is lower than the one it knows.
            if view.told_version.get() > n {
                *view.raw_line.borrow_mut() = Some(list_json(n, true, &lines));
            }
        }
        self.change.notify_waiters();
    }

    /// Sends a malformed line to all proxies.
    pub fn send_broken_line(&self) {
        for view in &self.views {
            let version = self.changes.borrow().len();
            *view.raw_line.borrow_mut() = Some(format!("{{\"seq\":{version},\"whole\":tr"));
        }
        self.change.notify_waiters();
    }

    /// Ends all watches.
    pub fn end_watches(&self) {
        self.watch_end.notify_waiters();
    }

    /// Its addresses for a proxy.
    pub fn addresses(&self, proxy: usize) -> Addresses {
        self.views[proxy].addresses
    }

    /// The list as a proxy last had it, as JSON for its configuration. Records that the proxy is told all entries of it.
    pub fn known_list(&self, proxy: usize) -> String {
        let version = self.views[proxy].told_version.get();
        if version == 0 {
            return "null".into();
        }
        let health = self.health_at(version);
        self.record_all(proxy, &health);
        self.full_list(proxy, version, &health)
    }

    /// The health of each entry at a version.
    fn health_at(&self, version: usize) -> Vec<Option<Health>> {
        let mut health = vec![None; self.entries.borrow().len()];
        self.changes.borrow()[..version].iter().for_each(|c| health[c.entry] = Some(c.health));
        health
    }

    /// The full list at a version.
    fn full_list(&self, proxy: usize, version: usize, health: &[Option<Health>]) -> String {
        let listed = |(e, h): (usize, &Option<Health>)| match h {
            Some(Health::Removed) | None => None,
            Some(h) => Some(self.entry_json(proxy, e, *h)),
        };
        list_json(version, true, &health.iter().enumerate().filter_map(listed).collect::<Vec<_>>())
    }

    /// An entry of the list as JSON.
    fn entry_json(&self, proxy: usize, entry: usize, health: Health) -> String {
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
            b.started.map_or(0, |at| self.world.clock.unix_ms(at)),
        )
    }

    /// Records that a proxy was told the health of all entries.
    fn record_all(&self, proxy: usize, health: &[Option<Health>]) {
        for (e, health) in health.iter().enumerate() {
            if let Some(h) = health {
                self.record_told(proxy, e, *h);
            }
        }
    }

    /// Records that a proxy was told the health of an entry.
    fn record_told(&self, proxy: usize, entry: usize, health: Health) {
        let backend = self.entries.borrow()[entry].backend.number as u16;
        let (proxy, up, at) = (proxy as u16, health == Health::Up, self.world.now());
        self.world.record(Writer::Discovery, Record::HealthTold { proxy, backend, up, at });
    }

    async fn serve(self: Rc<Self>, proxy: usize, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                spawn_local(self.clone().respond(proxy, Conn::new(stream)));
            }
        }
    }

    /// Waits until the service is not silent to a proxy.
    async fn wait_while_silent(&self, proxy: usize) {
        while self.silent.get() || self.views[proxy].split.get() {
            self.change.notified().await;
        }
    }

    /// Answers a request for the list, or a watch of it.
    async fn respond(self: Rc<Self>, proxy: usize, mut conn: Conn) {
        let Ok(request) = conn.request(&self.world.clock).await else { return };
        self.wait_while_silent(proxy).await;
        let parameter = |name: &str| {
            let query = request.target.split_once('?').map_or("", |(_, q)| q);
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
        };
        if parameter("watch").is_none() {
            let version = self.changes.borrow().len();
            let health = self.health_at(version);
            let text = self.full_list(proxy, version, &health);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            if conn.write((head + &text).as_bytes()).await.is_ok() {
                self.views[proxy].told_version.set(version);
                self.record_all(proxy, &health);
            }
            return;
        }
        let after = parameter("after").and_then(|a| a.parse().ok());
        tokio::select! {
            () = self.watch(proxy, &mut conn, after) => {}
            () = self.watch_end.notified() => {}
        }
    }

    /// Streams the list and its changes to a proxy.
    async fn watch(&self, proxy: usize, conn: &mut Conn, after: Option<usize>) {
        if conn.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        let version = self.changes.borrow().len();
        let mut at = match after.filter(|a| *a <= version) {
            Some(after) => after,
            None => {
                let health = self.health_at(version);
                if !write_chunk(conn, &self.full_list(proxy, version, &health)).await {
                    return;
                }
                self.record_all(proxy, &health);
                version
            }
        };
        let view = &self.views[proxy];
        view.told_version.set(view.told_version.get().max(at));
        loop {
            let changed = self.change.notified();
            if !self.silent.get() && !view.split.get() {
                let raw_line = view.raw_line.borrow_mut().take();
                if let Some(raw_line) = raw_line
                    && !write_chunk(conn, &raw_line).await
                {
                    return;
                }
                let new_changes: Vec<Change> = self.changes.borrow()[at..].to_vec();
                if !new_changes.is_empty() {
                    at += new_changes.len();
                    let lines: Vec<String> =
                        new_changes.iter().map(|c| self.entry_json(proxy, c.entry, c.health)).collect();
                    if !write_chunk(conn, &list_json(at, false, &lines)).await {
                        return;
                    }
                    view.told_version.set(view.told_version.get().max(at));
                    new_changes.iter().for_each(|c| self.record_told(proxy, c.entry, c.health));
                    continue;
                }
            }
            let quiet = self.silent.get() || view.split.get();
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => if !quiet && !write_chunk(conn, "").await { return },
            }
        }
    }
}

/// Writes a line as one HTTP chunk.
async fn write_chunk(conn: &mut Conn, line: &str) -> bool {
    let mut text = String::with_capacity(line.len() + 16);
    let _ = write!(text, "{:x}\r\n{line}\n\r\n", line.len() + 1);
    conn.write(text.as_bytes()).await.is_ok()
}

/// A message of the protocol: the full list or changes of it.
fn list_json(version: usize, whole: bool, lines: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, lines.join(","))
}
