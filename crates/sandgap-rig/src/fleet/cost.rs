//! What agreed rules cost: the processor time of one proxy for a request, with a fleet,
//! without one, and of an earlier build, in turn.

use std::path::Path;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use super::net::Net;
use super::plan::Size;
use super::site::Site;
use crate::clock::Clock;
use crate::http::Conn;
use crate::run::{Folder, RunError};
use crate::world::Addresses;

/// Connections on which the load comes; each waits for its answer before it asks again.
const CONNECTIONS: usize = 8;
/// How long it is left without requests.
const IDLE: Duration = Duration::from_secs(2);
/// Before anything is measured: leases, lists.
const WARM: Duration = Duration::from_secs(2);
/// One proxy's part of a turn.
const SLICE: Duration = Duration::from_millis(250);
/// After it.
const REST: Duration = Duration::from_millis(10);
/// Turns that are not counted: connections come up, speeds are learned.
const WARM_TURNS: usize = 4;

/// What the measured proxy is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// An earlier build, without a fleet.
    Before,
    /// This build, without a fleet.
    Off,
    /// This build, in a fleet.
    On,
}

/// What one slice showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slice {
    /// Processor time a request, µs.
    pub each_us: f64,
    /// The latency that clients saw: the median and the 99th percentile, µs.
    pub latency_us: (f64, f64),
}

/// Slices of the same load, one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    /// An earlier build's, where one is given.
    pub before: Option<Slice>,
    /// Without a fleet.
    pub off: Slice,
    /// With one.
    pub on: Slice,
}

impl Turn {
    /// Processor time with a fleet over that without.
    pub fn on_over_off(&self) -> f64 {
        self.on.each_us / self.off.each_us
    }

    /// Processor time of this build without a fleet over the earlier build's.
    pub fn off_over_before(&self) -> Option<f64> {
        self.before.map(|before| self.off.each_us / before.each_us)
    }
}

/// What was measured.
pub struct Cost {
    /// Processor time a second without any request, µs: without a fleet, and with one.
    pub idle_us: (f64, f64),
    /// All turns.
    pub turns: Vec<Turn>,
}

/// What is measured, and how.
pub struct Load<'a> {
    /// The program.
    pub program: &'a Path,
    /// An earlier build of it.
    pub before: Option<&'a Path>,
    /// Requests a second.
    pub rate: f64,
    /// Turns: a slice of each.
    pub turns: usize,
}

/// Measures. All proxies run beside each other, the three voters among them, and take turns in slices so short that a
/// machine that grows slower or faster does so for all of them.
///
/// # Errors
/// Whatever makes a figure impossible.
pub fn measure(load: &Load<'_>) -> Result<Cost, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let folder = Folder::new(&format!("cost-{}", std::process::id()))?;
    LocalSet::new().block_on(&runtime, run(load, &folder))
}

const KINDS: [Kind; 3] = [Kind::On, Kind::Off, Kind::Before];

async fn run(load: &Load<'_>, folder: &Folder) -> Result<Cost, RunError> {
    let size = Size { voters: 3, observers: KINDS.len(), ..Size::default() };
    let all = size.voters + size.observers;
    let addresses = Addresses::default();
    let draw = |n: usize| (0..n).map(|_| addresses.draw()).collect::<std::io::Result<Vec<_>>>();
    let (listen, fleet) = (draw(all)?, draw(all)?);
    let net = Net::start(&fleet).await?;
    let backend = TcpListener::bind("127.0.0.1:0").await?;
    let site = Site::new(load.program, &folder.path, size, listen, fleet, vec![backend.local_addr()?]);
    site.prepare(&net)?;
    let clock = Clock::default();
    spawn_local(serve(backend, clock.clone()));
    for voter in 0..size.voters {
        site.start(voter)?;
    }
    let path = site.publication(2)?;
    let done = site.hand(&["publish", &path.to_string_lossy()]).output().await?;
    if !done.status.success() {
        return Err(RunError::Endless("the first publication", Duration::from_secs(15)));
    }
    let mut proxies = Vec::new();
    for (n, kind) in (size.voters..).zip(KINDS) {
        match (kind, load.before) {
            (Kind::On, _) => site.start(n)?,
            (Kind::Off, _) => {
                site.without_fleet(n)?;
                site.start(n)?;
            }
            (Kind::Before, Some(program)) => {
                site.without_fleet(n)?;
                site.start_program(program, n)?;
            }
            (Kind::Before, None) => continue,
        }
        proxies.push((n, kind));
    }
    let mut loads = Vec::new();
    for (n, kind) in proxies {
        while TcpStream::connect(site.listen[n]).await.is_err() {
            sleep(Duration::from_millis(10)).await;
        }
        loads.push((n, kind));
    }
    sleep(WARM).await;
    let used = |n: usize| site.cpu_us(n);
    let before = (used(size.voters + 1), used(size.voters));
    sleep(IDLE).await;
    let idle = |now: f64, before: f64| (now - before) / IDLE.as_secs_f64();
    let idle_us = (idle(used(size.voters + 1), before.0), idle(used(size.voters), before.1));
    let mut turns = Vec::new();
    for n in 0..WARM_TURNS + load.turns {
        let mut turn = Turn::default();
        // Which comes first changes, so that no one always follows the same other.
        loads.rotate_left(1);
        if n % 3 == 0 {
            loads.swap(0, 1);
        }
        for (proxy, kind) in &loads {
            let slice = slice(load.rate, &site, *proxy, &clock, n).await?;
            match kind {
                Kind::Before => turn.before = Some(slice),
                Kind::Off => turn.off = slice,
                Kind::On => turn.on = slice,
            }
        }
        if n >= WARM_TURNS {
            turns.push(turn);
        }
    }
    Ok(Cost { idle_us, turns })
}

/// Asks one proxy at the rate for a slice's time, on new connections: it would close them in between.
async fn slice(rate: f64, site: &Site, proxy: usize, clock: &Clock, turn: usize) -> Result<Slice, RunError> {
    let before = site.cpu_us(proxy);
    let each = rate / CONNECTIONS as f64;
    let mut tasks = Vec::new();
    for lane in 0..CONNECTIONS {
        let conn = Conn::new(TcpStream::connect(site.listen[proxy]).await?);
        tasks.push(spawn_local(ask(conn, format!("{proxy}-{lane}-{turn}"), each, clock.clone())));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.unwrap_or_default());
    }
    sleep(REST).await; // what was set off by the last answers
    let used = site.cpu_us(proxy) - before;
    if all.is_empty() {
        return Err(RunError::Endless("a slice without answers", SLICE));
    }
    all.sort_by(f64::total_cmp);
    let at = |part: f64| all[(all.len().saturating_sub(1) as f64 * part) as usize];
    Ok(Slice { each_us: used / all.len() as f64, latency_us: (at(0.5), at(0.99)) })
}

async fn serve(listener: TcpListener, clock: Clock) {
    while let Ok((stream, _)) = listener.accept().await {
        let clock = clock.clone();
        spawn_local(async move {
            let mut conn = Conn::new(stream);
            while conn.request(&clock).await.is_ok() {
                if conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Asks at a rate on one connection for a slice's time; returns the latencies of what was answered 200, µs.
async fn ask(mut conn: Conn, name: String, rate: f64, clock: Clock) -> Vec<f64> {
    let mut next = Instant::now();
    let end = next + SLICE;
    let mut seen = Vec::new();
    for turn in 0.. {
        next += Duration::from_secs_f64(1.0 / rate);
        if next >= end {
            break;
        }
        sleep_until(next).await;
        let text =
            format!("GET /page/x HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}-{turn}\r\nX-Timeout: 1\r\n\r\n");
        let asked = Instant::now();
        if conn.write(text.as_bytes()).await.is_err() {
            break;
        }
        let Ok(answer) = conn.answer(&clock).await else { break };
        if answer.status() == 200 {
            seen.push(asked.elapsed().as_secs_f64() * 1e6);
        }
    }
    seen
}
