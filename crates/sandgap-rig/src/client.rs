//! Simulated clients behind a plain front layer, which distributes them over the proxies that it considers in service.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at};

use crate::backend::parse_body;
use crate::clock::Micros;
use crate::http::{Conn, ReadError};
use crate::limits::{IDLE, MAX_TRIES};
use crate::schedule::TENANTS;
use crate::world::World;
use sandgap_rules::{Effect, End, Latencies, Record, Writer};

/// A connection that is not established by then counts as refused.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a client that stops within a request waits for a response or close: 3 s by the operators' terms, plus the time that
/// a process may be delayed by system faults.
const HALF_REQUEST_TIMEOUT: Duration = Duration::from_millis(3400);
/// Pieces in which a slow client writes its request.
const SLOW_PIECES: u32 = 16;
/// A client whose bytes are not taken for this long gives up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How much longer than its deadline a client waits for a response, to distinguish late from lost responses, µs.
const LATE_RESPONSE_WAIT: Micros = 1_000_000;

/// The front layer: assigns connections to the proxies in service.
pub struct Front {
    addresses: Vec<SocketAddr>,
    in_service: RefCell<Vec<bool>>,
    /// Proxies that were told to end: clients go on using the connections that they have.
    ending: RefCell<Vec<bool>>,
    /// Idle connections, by proxy.
    idle: Vec<RefCell<Vec<Conn>>>,
    /// Requests that no proxy accepted.
    pub untaken: Cell<u32>,
    /// Clients that stopped within a request and got no response or close in time: the request, its proxy, bytes sent.
    pub unended: RefCell<Vec<(usize, usize, usize)>>,
    /// Number of requests in progress.
    pub open: Cell<u32>,
    /// Counts of requests by end: served, refused, and all others.
    pub ends: Cell<[u32; 3]>,
    /// Response times of served requests, µs, since they were last taken.
    pub latencies: RefCell<Latencies>,
    /// Requests served within the aim of their class, by proxy.
    pub in_time: RefCell<Vec<u32>>,
    /// Response times of refusals, µs, since they were last taken.
    pub refusals: RefCell<Latencies>,
}

impl Front {
    /// A front layer for proxies at these addresses, none of them in service.
    pub fn new(addresses: Vec<SocketAddr>) -> Rc<Self> {
        Rc::new(Front {
            in_service: RefCell::new(vec![false; addresses.len()]),
            ending: RefCell::new(vec![false; addresses.len()]),
            in_time: RefCell::new(vec![0; addresses.len()]),
            refusals: RefCell::default(),
            idle: addresses.iter().map(|_| RefCell::default()).collect(),
            addresses,
            untaken: Cell::new(0),
            unended: RefCell::default(),
            open: Cell::new(0),
            ends: Cell::new([0; 3]),
            latencies: RefCell::default(),
        })
    }

    /// Puts a proxy into service or takes it out.
    pub fn set_in_service(&self, proxy: usize, up: bool) {
        self.in_service.borrow_mut()[proxy] = up;
        self.ending.borrow_mut()[proxy] = false;
    }

    /// Takes a proxy that was told to end out of service. Clients go on using the connections that they have.
    pub fn set_ending(&self, proxy: usize) {
        self.set_in_service(proxy, false);
        self.ending.borrow_mut()[proxy] = true;
    }

    /// The proxy for a drawn number, in service or with an idle connection; the next number gives the next proxy.
    fn pick_proxy(&self, draw: u32) -> Option<usize> {
        let (in_service, ending) = (self.in_service.borrow(), self.ending.borrow());
        let is_usable = |p: &usize| in_service[*p] || ending[*p] && !self.idle[*p].borrow().is_empty();
        let up: Vec<usize> = (0..in_service.len()).filter(is_usable).collect();
        (!up.is_empty()).then(|| up[draw as usize % up.len()])
    }

    /// A connection, idle or new, and whether it was used before.
    async fn connect(&self, proxy: usize) -> Option<(Conn, bool)> {
        if let Some(conn) = self.idle[proxy].borrow_mut().pop() {
            return Some((conn, true));
        }
        self.open_connection(proxy).await
    }

    /// A new connection; the front assigns none to a proxy that was told to end.
    async fn open_connection(&self, proxy: usize) -> Option<(Conn, bool)> {
        if self.ending.borrow()[proxy] {
            return None;
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addresses[proxy])).await.ok()?.ok()?;
        Some((Conn::new(stream), false))
    }

    /// Keeps a connection for reuse, up to the limit.
    fn keep_idle(&self, proxy: usize, conn: Conn) {
        let mut idle = self.idle[proxy].borrow_mut();
        if idle.len() < IDLE {
            idle.push(conn);
        }
    }

    /// Closes all idle connections, as clients do that have no more requests.
    pub fn close(&self) {
        self.idle.iter().for_each(|i| i.borrow_mut().clear());
    }

    /// Counts the end of a request.
    fn count_end(&self, proxy: usize, end: End, took: Micros, aim: Micros) {
        let mut ends = self.ends.get();
        match end {
            End::Served(_) => {
                ends[0] += 1;
                self.latencies.borrow_mut().add(took);
                self.in_time.borrow_mut()[proxy] += u32::from(took <= aim);
            }
            End::Refused => {
                ends[1] += 1;
                self.refusals.borrow_mut().add(took);
            }
            _ => ends[2] += 1,
        }
        self.ends.set(ends);
    }
}

/// The Content-Length header, the end of the head and the body: `upload` bytes, or the short body.
fn length_and_body(upload: Option<usize>, short: &str) -> String {
    match upload {
        Some(bytes) => format!("Content-Length: {bytes}\r\n\r\n{}", "u".repeat(bytes)),
        None => format!("Content-Length: {}\r\n\r\n{short}", short.len()),
    }
}

/// The text of a request on the wire.
fn request_text(world: &World, number: usize, left_ms: f64) -> String {
    let r = &world.plan.requests[number];
    let class = &world.plan.classes[r.class];
    let id = world.request_id(number);
    let common = format!(
        "Host: origin.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: {}\r\nX-Timeout: {:.3}\r\n",
        TENANTS[r.tenant],
        left_ms / 1000.0
    );
    let (name, sid) = (class.name, r.sid);
    match class.effect {
        Effect::Safe => format!("GET /{name}/x?sid={sid:x} HTTP/1.1\r\n{common}\r\n"),
        Effect::Unsafe => {
            format!("POST /{name}?sid={sid:x} HTTP/1.1\r\n{common}{}", length_and_body(r.upload, "answer"))
        }
        Effect::Keyed(_) => {
            let body = length_and_body(r.upload, "book");
            format!("POST /{name}?sid={sid:x} HTTP/1.1\r\n{common}Idempotency-Key: k-{id}\r\n{body}")
        }
    }
}

/// Sends one request of the plan, with retries on other proxies, and records the outcome.
pub async fn ask(world: Rc<World>, front: Rc<Front>, number: usize) {
    front.open.set(front.open.get() + 1);
    let r = &world.plan.requests[number];
    let deadline = world.now() + (r.timeout_ms * 1000.0) as Micros;
    let mut needs_new = false;
    for attempt in 0..MAX_TRIES {
        let left = deadline.saturating_sub(world.now()) as f64 / 1000.0;
        let Some(proxy) = front.pick_proxy(r.deal.wrapping_add(attempt)) else { break };
        if left <= 0.0 {
            break;
        }
        // After a reused connection was closed in the moment of the send, the client opens a new one.
        let conn = if needs_new { front.open_connection(proxy).await } else { front.connect(proxy).await };
        let Some((mut conn, used)) = conn else { continue };
        let request = request_text(&world, number, left);
        if r.stops {
            send_half(&world, &front, (number, proxy), conn, &request).await;
            return front.open.set(front.open.get() - 1);
        }
        let at = world.now();
        let wrote = match timeout(WRITE_TIMEOUT, write(&mut conn, &request, r.write_ms)).await {
            Ok(wrote) => wrote,
            Err(_) => break, // the proxy does not read the rest and owes no response yet
        };
        // A client's time starts with the last byte of its request.
        let is_long = r.upload.is_some() || r.write_ms.is_some();
        let deadline = if is_long { world.now() + (left * 1000.0) as Micros } else { deadline };
        let submitted = Record::Submitted { request: number as u32, proxy: proxy as u16, at, deadline };
        if wrote.is_err() && !used {
            continue; // reset before a byte of it was read
        }
        world.record(Writer::Clients, submitted);
        let end = wait_for_end(&world, number, &mut conn, used, deadline).await;
        let (request, at) = (number as u32, world.now());
        world.record(Writer::Clients, Record::Finished { request, at, end: end.0 });
        if end.1 {
            front.keep_idle(proxy, conn);
        }
        if end.0 != End::ClosedBeforeResponse {
            let took = (at + (r.timeout_ms * 1000.0) as Micros).saturating_sub(deadline);
            let aim = (world.plan.classes[r.class].aim_ms * 1000.0) as Micros;
            front.count_end(proxy, end.0, took, aim);
            front.open.set(front.open.get() - 1);
            return;
        }
        needs_new = true;
    }
    front.untaken.set(front.untaken.get() + 1);
    front.open.set(front.open.get() - 1);
}

/// Writes a request, in pieces if its client is slow.
async fn write(conn: &mut Conn, request: &str, write_ms: Option<f64>) -> std::io::Result<()> {
    let Some(write_ms) = write_ms else { return conn.write(request.as_bytes()).await };
    let pause = Duration::from_secs_f64(write_ms / 1000.0) / SLOW_PIECES;
    for piece in request.as_bytes().chunks(request.len().div_ceil(SLOW_PIECES as usize)) {
        sleep(pause).await;
        conn.write(piece).await?;
    }
    Ok(())
}

/// Writes half of a request and keeps the connection open: the proxy has to respond or to close it.
async fn send_half(
    world: &World, front: &Front, (number, proxy): (usize, usize), mut conn: Conn, request: &str,
) {
    let half = &request.as_bytes()[..request.len() / 2];
    if conn.write(half).await.is_err() {
        return;
    }
    let begun = world.now();
    let ended = timeout(HALF_REQUEST_TIMEOUT, conn.answer(&world.clock)).await.is_ok();
    let stalled: Micros = world.clock.stalls().iter().filter(|s| s.1 > begun).map(|(a, b)| b - a).sum();
    if !ended && stalled == 0 && front.in_service.borrow()[proxy] {
        front.unended.borrow_mut().push((number, proxy, half.len()));
    }
}

/// Waits for the end of a request; the flag tells whether the connection may be reused.
async fn wait_for_end(
    world: &World, number: usize, conn: &mut Conn, used: bool, deadline: Micros,
) -> (End, bool) {
    let r = &world.plan.requests[number];
    let patience = world.clock.instant(deadline + LATE_RESPONSE_WAIT);
    let leaves = r.leaves_ms.map(|ms| world.clock.instant(world.now() + (ms * 1000.0) as Micros));
    let until = leaves.map_or(patience, |l| l.min(patience));
    match timeout_at(until, conn.answer(&world.clock)).await {
        Err(_) if until < patience => (End::Left, false),
        Err(_) => (End::NoResponse, false),
        Ok(Err(ReadError::Ended)) if used => (End::ClosedBeforeResponse, false),
        Ok(Err(_)) => (End::Broken, false),
        Ok(Ok(answer)) => {
            let keep = answer.header("connection") != Some("close");
            let end = match answer.status() {
                200 => match parse_body(&answer.body) {
                    Some((request, attempt)) if request as usize == number => End::Served(Some(attempt)),
                    _ => End::Served(None),
                },
                429 | 503 => End::Refused,
                _ => End::Failed,
            };
            (end, keep)
        }
    }
}
