//! What agreed rules cost: the processor time of one proxy for a request, with a fleet and without, in turn.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
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
/// What is not measured at the begin of a run: connections come up, speeds are learned.
const WARM: Duration = Duration::from_secs(2);

/// One pair of runs: processor time a request, µs, and the latency that clients saw, µs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Pair {
    /// Without a fleet.
    pub off_us: f64,
    /// With one.
    pub on_us: f64,
    /// The median's and the 99th percentile's latency without.
    pub off_latency: (f64, f64),
    /// And with.
    pub on_latency: (f64, f64),
}

impl Pair {
    /// With over without.
    pub fn ratio(&self) -> f64 {
        self.on_us / self.off_us
    }
}

/// Measures so many pairs at a rate.
///
/// # Errors
/// Whatever makes a figure impossible.
pub fn measure(program: &Path, rate: f64, seconds: f64, pairs: usize) -> Result<Vec<Pair>, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let one = |on: bool, n: usize| {
        let folder = Folder::new(&format!("cost-{}-{n}-{on}", std::process::id()))?;
        LocalSet::new().block_on(&runtime, run(program, rate, seconds, on, &folder))
    };
    let pair = |n: usize| {
        // Which comes first changes, so that a machine that grows slower favours neither.
        let (off, on) = match n % 2 {
            0 => {
                let off = one(false, n)?;
                (off, one(true, n)?)
            }
            _ => {
                let on = one(true, n)?;
                (one(false, n)?, on)
            }
        };
        Ok(Pair { off_us: off.0, on_us: on.0, off_latency: off.1, on_latency: on.1 })
    };
    (0..pairs).map(pair).collect()
}

async fn run(
    program: &Path, rate: f64, seconds: f64, on: bool, folder: &Folder,
) -> Result<(f64, (f64, f64)), RunError> {
    let size = Size { voters: 3, observers: 1, ..Size::default() };
    let addresses = Addresses::default();
    let draw = |n: usize| (0..n).map(|_| addresses.draw()).collect::<std::io::Result<Vec<_>>>();
    let (listen, fleet) = (draw(4)?, draw(4)?);
    let net = Net::start(&fleet).await?;
    let backend = TcpListener::bind("127.0.0.1:0").await?;
    let site = Site::new(program, &folder.path, size, listen, fleet, vec![backend.local_addr()?]);
    site.prepare(&net)?;
    let clock = Clock::default();
    spawn_local(serve(backend, clock.clone()));
    let measured = 3;
    if on {
        for n in 0..4 {
            site.start(n)?;
        }
        let path = site.publication(2)?;
        let done = site.hand(&["publish", &path.to_string_lossy()]).output().await?;
        if !done.status.success() {
            return Err(RunError::Endless("the first publication", Duration::from_secs(15)));
        }
    } else {
        site.without_fleet(measured)?;
        site.start(measured)?;
    }
    while TcpStream::connect(site.listen[measured]).await.is_err() {
        sleep(Duration::from_millis(10)).await;
    }
    let latencies = Rc::new(std::cell::RefCell::new(Vec::new()));
    let begin = Instant::now() + WARM;
    let end = begin + Duration::from_secs_f64(seconds);
    let tasks: Vec<_> = (0..CONNECTIONS)
        .map(|c| {
            let (to, clock, seen) = (site.listen[measured], clock.clone(), latencies.clone());
            spawn_local(async move { load(to, c, rate / CONNECTIONS as f64, begin, end, clock, seen).await })
        })
        .collect();
    sleep_until(begin).await;
    let before = site.cpu_us(measured);
    sleep_until(end).await;
    let used = site.cpu_us(measured) - before;
    for task in tasks {
        let _ = task.await; // a load that ended early shows in the count of its answers
    }
    let mut all = latencies.borrow().clone();
    all.sort_by(f64::total_cmp);
    let at = |part: f64| {
        all.get((all.len().saturating_sub(1) as f64 * part) as usize).copied().unwrap_or(f64::NAN)
    };
    Ok((used / all.len().max(1) as f64, (at(0.5), at(0.99))))
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

/// Asks at a rate on one connection, and notes the latencies of what is answered 200 within the measured span.
async fn load(
    to: std::net::SocketAddr, number: usize, rate: f64, begin: Instant, end: Instant, clock: Clock,
    seen: Rc<std::cell::RefCell<Vec<f64>>>,
) {
    let Ok(stream) = TcpStream::connect(to).await else { return };
    let mut conn = Conn::new(stream);
    let mut next = Instant::now();
    let mut turn = 0;
    while Instant::now() < end {
        turn += 1;
        next += Duration::from_secs_f64(1.0 / rate);
        sleep_until(next).await;
        let text = format!(
            "GET /page/x HTTP/1.1\r\nHost: x\r\nX-Request-ID: c{number}-{turn}\r\nX-Timeout: 1\r\n\r\n"
        );
        let asked = Instant::now();
        if conn.write(text.as_bytes()).await.is_err() {
            return;
        }
        let Ok(answer) = conn.answer(&clock).await else { return };
        if answer.status() == 200 && asked >= begin && asked < end {
            seen.borrow_mut().push(asked.elapsed().as_secs_f64() * 1e6);
        }
    }
}
