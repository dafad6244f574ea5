//! Stand-in clients behind a plain front layer, which deals them out among the proxies it believes in.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

use crate::backend::stamp;
use crate::clock::Micros;
use crate::http::{Conn, ReadError};
use crate::limits::{IDLE, TRIES};
use crate::schedule::TENANTS;
use crate::world::World;
use sandgap_rules::{Effect, End, Latencies, Record, Writer};

/// A connection that is not up by then counts as refused.
const CONNECT: Duration = Duration::from_millis(500);
/// Who stops in the middle of a request is owed an end within 3 s, by the operators' terms, and what a process may be
/// held up by.
const END_OWED: Duration = Duration::from_millis(3400);
/// A client whose bytes nobody takes for this long gives up.
const STUCK: Duration = Duration::from_secs(5);
/// An answer is waited for this much longer than the client's patience, to tell late from lost.
const LATER: Micros = 1_000_000;

/// The front: which proxies it deals connections to.
pub struct Front {
    addresses: Vec<SocketAddr>,
    believed: RefCell<Vec<bool>>,
    /// Idle connections by proxy.
    idle: Vec<RefCell<Vec<Conn>>>,
    /// Requests that no proxy took.
    pub untaken: Cell<u32>,
    /// Clients that stopped in the middle of a request and had no end in time: the request, its proxy, bytes sent.
    pub unended: RefCell<Vec<(usize, usize, usize)>>,
    /// Requests that are under way.
    pub open: Cell<u32>,
    /// Ends of requests: served, refused, failed.
    pub ends: Cell<[u32; 3]>,
    /// Times of served answers, µs, until somebody takes them; bounded by the requests of the plan.
    pub latencies: RefCell<Latencies>,
    /// Answers within their class's aim, by proxy.
    pub in_time: RefCell<Vec<u32>>,
    /// Times of refusals, µs, until somebody takes them.
    pub refusals: RefCell<Latencies>,
}

impl Front {
    /// A front for proxies at these addresses, none of them in service yet.
    pub fn new(addresses: Vec<SocketAddr>) -> Rc<Self> {
        Rc::new(Front {
            believed: RefCell::new(vec![false; addresses.len()]),
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

    /// Takes a proxy into service or out of it.
    pub fn believe(&self, proxy: usize, up: bool) {
        self.believed.borrow_mut()[proxy] = up;
    }

    /// The proxy for a draw; each further try goes to the next one.
    fn deal(&self, draw: u32) -> Option<usize> {
        let believed = self.believed.borrow();
        let up: Vec<usize> = (0..believed.len()).filter(|p| believed[*p]).collect();
        (!up.is_empty()).then(|| up[draw as usize % up.len()])
    }

    /// A connection and whether it was used before.
    async fn connect(&self, proxy: usize) -> Option<(Conn, bool)> {
        if let Some(conn) = self.idle[proxy].borrow_mut().pop() {
            return Some((conn, true));
        }
        self.fresh(proxy).await
    }

    /// A connection that is surely new.
    async fn fresh(&self, proxy: usize) -> Option<(Conn, bool)> {
        let stream = timeout(CONNECT, TcpStream::connect(self.addresses[proxy])).await.ok()?.ok()?;
        Some((Conn::new(stream), false))
    }

    fn park(&self, proxy: usize, conn: Conn) {
        let mut idle = self.idle[proxy].borrow_mut();
        if idle.len() < IDLE {
            idle.push(conn);
        }
    }

    /// Closes all idle connections, as clients do that have no more to ask.
    pub fn close(&self) {
        self.idle.iter().for_each(|i| i.borrow_mut().clear());
    }

    fn count(&self, proxy: usize, end: End, took: Micros, aim: Micros) {
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

/// A body and its length: of so many bytes, if it is a long one.
fn body(upload: Option<usize>, short: &str) -> String {
    match upload {
        Some(bytes) => format!("Content-Length: {bytes}\r\n\r\n{}", "u".repeat(bytes)),
        None => format!("Content-Length: {}\r\n\r\n{short}", short.len()),
    }
}

/// The text of a request.
fn text(world: &World, number: usize, left_ms: f64) -> String {
    let r = &world.plan.requests[number];
    let class = &world.plan.classes[r.class];
    let id = world.id(number);
    let common = format!(
        "Host: origin.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: {}\r\nX-Timeout: {:.3}\r\n",
        TENANTS[r.tenant],
        left_ms / 1000.0
    );
    let (name, sid) = (class.name, r.sid);
    match class.effect {
        Effect::Safe => format!("GET /{name}/x?sid={sid:x} HTTP/1.1\r\n{common}\r\n"),
        Effect::Unsafe => {
            format!("POST /{name}?sid={sid:x} HTTP/1.1\r\n{common}{}", body(r.upload, "answer"))
        }
        Effect::Keyed(_) => {
            let body = body(r.upload, "book");
            format!("POST /{name}?sid={sid:x} HTTP/1.1\r\n{common}Idempotency-Key: k-{id}\r\n{body}")
        }
    }
}

/// Asks one request of the plan and writes down what comes of it.
pub async fn ask(world: Rc<World>, front: Rc<Front>, number: usize) {
    front.open.set(front.open.get() + 1);
    let r = &world.plan.requests[number];
    let deadline = world.now() + (r.timeout_ms * 1000.0) as Micros;
    let mut reused_again = false;
    for attempt in 0..TRIES {
        let left = deadline.saturating_sub(world.now()) as f64 / 1000.0;
        let Some(proxy) = front.deal(r.deal.wrapping_add(attempt)) else { break };
        if left <= 0.0 {
            break;
        }
        // After a crossing the client takes a connection that is surely new.
        let conn = if reused_again { front.fresh(proxy).await } else { front.connect(proxy).await };
        let Some((mut conn, used)) = conn else { continue };
        let request = text(&world, number, left);
        if r.stops {
            stop_in_the_middle(&world, &front, (number, proxy), conn, &request).await;
            return front.open.set(front.open.get() - 1);
        }
        let at = world.now();
        let wrote = match timeout(STUCK, conn.write(request.as_bytes())).await {
            Ok(wrote) => wrote,
            Err(_) => break, // the proxy takes no more of it, and owes nothing yet
        };
        // A client's time runs from its last byte.
        let deadline = if r.upload.is_some() { world.now() + (left * 1000.0) as Micros } else { deadline };
        let asked = Record::Submitted { request: number as u32, proxy: proxy as u16, at, deadline };
        if wrote.is_err() && !used {
            continue; // reset before a byte of it was taken
        }
        world.note(Writer::Clients, asked);
        let end = wait(&world, number, &mut conn, used, deadline).await;
        let (request, at) = (number as u32, world.now());
        world.note(Writer::Clients, Record::Finished { request, at, end: end.0 });
        if end.1 {
            front.park(proxy, conn);
        }
        if end.0 != End::Crossed {
            let took = (at + (r.timeout_ms * 1000.0) as Micros).saturating_sub(deadline);
            let aim = (world.plan.classes[r.class].aim_ms * 1000.0) as Micros;
            front.count(proxy, end.0, took, aim);
            front.open.set(front.open.get() - 1);
            return;
        }
        reused_again = true;
    }
    front.untaken.set(front.untaken.get() + 1);
    front.open.set(front.open.get() - 1);
}

/// Writes half of a request and stays: an answer or an end is owed.
async fn stop_in_the_middle(
    world: &World, front: &Front, (number, proxy): (usize, usize), mut conn: Conn, request: &str,
) {
    let half = &request.as_bytes()[..request.len() / 2];
    if conn.write(half).await.is_err() {
        return;
    }
    let begun = world.now();
    let ended = timeout(END_OWED, conn.answer(&world.clock)).await.is_ok();
    let stood: Micros = world.clock.stalls().iter().filter(|s| s.1 > begun).map(|(a, b)| b - a).sum();
    if !ended && stood == 0 && front.believed.borrow()[proxy] {
        front.unended.borrow_mut().push((number, proxy, half.len()));
    }
}

/// Waits for the end of what was asked; the flag says whether the connection may be used again.
async fn wait(world: &World, number: usize, conn: &mut Conn, used: bool, deadline: Micros) -> (End, bool) {
    let r = &world.plan.requests[number];
    let patience = world.clock.instant(deadline + LATER);
    let leaves = r.leaves_ms.map(|ms| world.clock.instant(world.now() + (ms * 1000.0) as Micros));
    let until = leaves.map_or(patience, |l| l.min(patience));
    match timeout_at(until, conn.answer(&world.clock)).await {
        Err(_) if until < patience => (End::Left, false),
        Err(_) => (End::Silent, false),
        Ok(Err(ReadError::Ended)) if used => (End::Crossed, false),
        Ok(Err(_)) => (End::Broken, false),
        Ok(Ok(answer)) => {
            let keep = answer.header("connection") != Some("close");
            let end = match answer.status() {
                200 => match stamp(&answer.body) {
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
