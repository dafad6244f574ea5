//! What agreement on rules costs a proxy: its processor time per request with a fleet, without one, and with an earlier
//! build, measured in alternation.

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

/// Connections that carry the load; each waits for the answer to a request before it sends the next.
const CONNECTIONS: usize = 8;
/// How long the proxies are measured without requests.
const IDLE: Duration = Duration::from_secs(2);
/// Wait before the first measurement, in which proxies obtain leases and lists.
const WARM_UP: Duration = Duration::from_secs(2);
/// The length of one proxy's slice of a turn.
const SLICE: Duration = Duration::from_millis(250);
/// Wait after a slice, for the work that its last answers cause.
const SLICE_PAUSE: Duration = Duration::from_millis(10);
/// Turns that are not counted, in which connections are opened and backend speeds are learned.
const WARM_UP_TURNS: usize = 4;

/// The variants of the measured proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    /// An earlier build, without a fleet.
    Before,
    /// This build, without a fleet.
    Off,
    /// This build, in a fleet.
    On,
}

/// The measurements of one slice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slice {
    /// Processor time per request, µs.
    pub cpu_us_per_request: f64,
    /// The latency that clients saw: the median and the 99th percentile, µs.
    pub latency_us: (f64, f64),
}

/// One slice of each variant under the same load, one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    /// The earlier build, if one is given.
    pub before: Option<Slice>,
    /// This build without a fleet.
    pub off: Slice,
    /// This build in a fleet.
    pub on: Slice,
}

impl Turn {
    /// The ratio of processor time with a fleet to that without.
    pub fn on_over_off(&self) -> f64 {
        self.on.cpu_us_per_request / self.off.cpu_us_per_request
    }

    /// The ratio of this build's processor time without a fleet to the earlier build's.
    pub fn off_over_before(&self) -> Option<f64> {
        self.before.map(|before| self.off.cpu_us_per_request / before.cpu_us_per_request)
    }
}

/// The results of a measurement.
pub struct Cost {
    /// Processor time per second without requests, µs: without a fleet, and in one.
    pub idle_us: (f64, f64),
    /// All turns that count.
    pub turns: Vec<Turn>,
}

/// The setup of a measurement.
pub struct Load<'a> {
    /// The program to measure.
    pub program: &'a Path,
    /// An earlier build of the program.
    pub before: Option<&'a Path>,
    /// Requests per second.
    pub rate: f64,
    /// Number of turns; each has one slice of every variant.
    pub turns: usize,
}

/// Measures all variants. The proxies and the three voters run at the same time, and the proxies are loaded in
/// alternating slices, so short that a change in the machine's speed affects all of them.
///
/// # Errors
/// Whatever prevents the measurement.
pub fn measure(load: &Load<'_>) -> Result<Cost, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let folder = Folder::new(&format!("cost-{}", std::process::id()))?;
    LocalSet::new().block_on(&runtime, measure_variants(load, &folder))
}

/// The variants, in the order of their proxies behind the voters.
const VARIANTS: [Variant; 3] = [Variant::On, Variant::Off, Variant::Before];

async fn measure_variants(load: &Load<'_>, folder: &Folder) -> Result<Cost, RunError> {
    let size = Size { voters: 3, observers: VARIANTS.len(), ..Size::default() };
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
    let path = site.write_publication(2)?;
    let done = site.cli(&["publish", &path.to_string_lossy()]).output().await?;
    if !done.status.success() {
        return Err(RunError::Endless("the first publication", Duration::from_secs(15)));
    }
    let mut proxies = Vec::new();
    for (n, variant) in (size.voters..).zip(VARIANTS) {
        match (variant, load.before) {
            (Variant::On, _) => site.start(n)?,
            (Variant::Off, _) => {
                site.without_fleet(n)?;
                site.start(n)?;
            }
            (Variant::Before, Some(program)) => {
                site.without_fleet(n)?;
                site.start_program(program, n)?;
            }
            (Variant::Before, None) => continue,
        }
        proxies.push((n, variant));
    }
    let mut loads = Vec::new();
    for (n, variant) in proxies {
        while TcpStream::connect(site.listen[n]).await.is_err() {
            sleep(Duration::from_millis(10)).await;
        }
        loads.push((n, variant));
    }
    sleep(WARM_UP).await;
    let used = |n: usize| site.cpu_us(n);
    let before = (used(size.voters + 1), used(size.voters));
    sleep(IDLE).await;
    let idle = |now: f64, before: f64| (now - before) / IDLE.as_secs_f64();
    let idle_us = (idle(used(size.voters + 1), before.0), idle(used(size.voters), before.1));
    let mut turns = Vec::new();
    for n in 0..WARM_UP_TURNS + load.turns {
        let mut turn = Turn::default();
        // The order changes, so that no variant always follows the same other one.
        loads.rotate_left(1);
        if n % 3 == 0 {
            loads.swap(0, 1);
        }
        for (proxy, variant) in &loads {
            let slice = slice(load.rate, &site, *proxy, &clock, n).await?;
            match variant {
                Variant::Before => turn.before = Some(slice),
                Variant::Off => turn.off = slice,
                Variant::On => turn.on = slice,
            }
        }
        if n >= WARM_UP_TURNS {
            turns.push(turn);
        }
    }
    Ok(Cost { idle_us, turns })
}

/// Loads one proxy at the rate for one slice, on new connections: the proxy would close idle ones between its slices.
async fn slice(rate: f64, site: &Site, proxy: usize, clock: &Clock, turn: usize) -> Result<Slice, RunError> {
    let before = site.cpu_us(proxy);
    let each = rate / CONNECTIONS as f64;
    let mut tasks = Vec::new();
    for lane in 0..CONNECTIONS {
        let conn = Conn::new(TcpStream::connect(site.listen[proxy]).await?);
        tasks.push(spawn_local(send_requests(conn, format!("{proxy}-{lane}-{turn}"), each, clock.clone())));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.unwrap_or_default());
    }
    sleep(SLICE_PAUSE).await; // work caused by the last answers
    let used = site.cpu_us(proxy) - before;
    if all.is_empty() {
        return Err(RunError::Endless("waiting for answers in a slice", SLICE));
    }
    all.sort_by(f64::total_cmp);
    let at = |part: f64| all[(all.len().saturating_sub(1) as f64 * part) as usize];
    Ok(Slice { cpu_us_per_request: used / all.len() as f64, latency_us: (at(0.5), at(0.99)) })
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

/// Sends requests at a rate on one connection for one slice; returns the latencies of those answered 200, µs.
async fn send_requests(mut conn: Conn, name: String, rate: f64, clock: Clock) -> Vec<f64> {
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
