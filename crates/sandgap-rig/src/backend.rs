//! Stand-in backends: a machine behind one listener for each proxy, so that it is known who sent what.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::clock::Micros;
use crate::http::{Conn, Message};
use crate::machine::{Machine, Taken};
use crate::schedule::{CELL, Mode};
use crate::world::World;
use sandgap_rules::{Ran, Record, Writer};

/// Connections that fill the accept queue of a black hole.
const FILL: usize = 4;
/// One of them that is not up by then finds the queue full.
const FULL: Duration = Duration::from_millis(30);
const BACKLOG: u32 = 1024;
/// Where idle connections are closed early, they are after this span.
const IDLE_CLOSE: Duration = Duration::from_millis(12);
/// Longer than any run.
const FOREVER: Duration = Duration::from_secs(86_400);

/// What a backend is doing. It only ever ends once.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Life {
    Runs(Mode),
    Gone,
}

/// A stand-in backend.
pub struct Backend {
    /// Its number in the plan.
    pub number: usize,
    /// One address for each proxy.
    pub addresses: Vec<SocketAddr>,
    /// When it started; `None` for long ago.
    pub born: Option<Micros>,
    machine: RefCell<Machine>,
    life: watch::Sender<Life>,
    handled: Cell<u32>,
}

impl Backend {
    /// Starts a backend that listens at `addresses`.
    pub fn start(world: &Rc<World>, number: usize, addresses: Vec<SocketAddr>, fresh: bool) -> Rc<Self> {
        let born = fresh.then(|| world.now());
        let build = world.plan.machines[number].clone();
        let machine = Machine::new(build, world.plan.cold, born.map(ms));
        let backend = Rc::new(Backend {
            number,
            addresses,
            born,
            machine: RefCell::new(machine),
            life: watch::channel(Life::Runs(Mode::Normal)).0,
            handled: Cell::new(0),
        });
        for proxy in 0..backend.addresses.len() {
            spawn_local(backend.clone().listen(world.clone(), proxy));
        }
        backend
    }

    /// Its name in the list.
    pub fn name(&self) -> String {
        format!("b-{:02}", self.number)
    }

    /// Its cell.
    pub fn cell(&self) -> usize {
        self.number / CELL
    }

    /// Requests that it has read so far.
    pub fn handled(&self) -> u32 {
        self.handled.get()
    }

    /// Behaves so from now on, unless it has ended.
    pub fn set(&self, mode: Mode) {
        self.life.send_if_modified(|life| {
            let new = Life::Runs(mode);
            *life != Life::Gone && std::mem::replace(life, new) != new
        });
        self.machine.borrow_mut().slow = if let Mode::Slow(times) = mode { times } else { 1.0 };
    }

    /// Ends its process: what is in work is finished, nothing new is taken.
    pub fn end(&self) {
        self.life.send_replace(Life::Gone);
    }

    /// Whether it has ended or fallen over.
    pub fn is_gone(&self) -> bool {
        *self.life.borrow() == Life::Gone
    }

    async fn listen(self: Rc<Self>, world: Rc<World>, proxy: usize) {
        let mut life = self.life.subscribe();
        loop {
            let now = *life.borrow_and_update();
            match now {
                Life::Gone => return,
                Life::Runs(Mode::Refuse) => {
                    let _ = life.changed().await;
                }
                Life::Runs(Mode::BlackHole) => {
                    let hole = self.hole(proxy).await;
                    let _ = life.changed().await;
                    drop(hole);
                }
                Life::Runs(_) => {
                    let Ok(listener) = bind(self.addresses[proxy], BACKLOG) else {
                        sleep(Duration::from_millis(5)).await; // the one before may still be closing
                        continue;
                    };
                    self.accept(&world, proxy, &listener, &mut life).await;
                }
            }
        }
    }

    async fn accept(
        self: &Rc<Self>, world: &Rc<World>, proxy: usize, listener: &TcpListener,
        life: &mut watch::Receiver<Life>,
    ) {
        loop {
            tokio::select! {
                biased;
                _ = life.changed() => {
                    let now = *life.borrow_and_update();
                    if matches!(now, Life::Gone | Life::Runs(Mode::Refuse | Mode::BlackHole)) {
                        life.mark_changed();
                        return;
                    }
                }
                next = listener.accept() => if let Ok((stream, _)) = next {
                    if self.mode() == Mode::ResetBefore {
                        reset(&stream);
                    } else {
                        spawn_local(self.clone().serve(world.clone(), proxy, Conn::new(stream)));
                    }
                },
            }
        }
    }

    /// A listener whose accept queue is full: connections to it don't come up.
    async fn hole(&self, proxy: usize) -> (Option<TcpListener>, Vec<TcpStream>) {
        let address = self.addresses[proxy];
        let Ok(listener) = bind(address, 0) else { return (None, Vec::new()) };
        let mut fill = Vec::new();
        while fill.len() < FILL {
            match timeout(FULL, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => fill.push(stream),
                _ => break,
            }
        }
        (Some(listener), fill)
    }

    fn mode(&self) -> Mode {
        match *self.life.borrow() {
            Life::Runs(mode) => mode,
            Life::Gone => Mode::Refuse,
        }
    }

    /// Waits until it behaves otherwise.
    async fn other_than(&self, mode: Mode) {
        let _ = self.life.subscribe().wait_for(|l| *l != Life::Runs(mode)).await;
    }

    async fn serve(self: Rc<Self>, world: Rc<World>, proxy: usize, mut conn: Conn) {
        let mut life = self.life.subscribe();
        loop {
            let idle = sleep(if self.mode() == Mode::ClosesIdle { IDLE_CLOSE } else { FOREVER });
            tokio::select! {
                begun = conn.begin() => if !begun { return },
                _ = life.wait_for(|l| *l == Life::Gone) => return,
                () = idle => return,
            }
            match self.mode() {
                Mode::BlackHole => {
                    self.other_than(Mode::BlackHole).await;
                    return reset(&conn.stream);
                }
                Mode::ResetBefore | Mode::ResetDuring => return reset(&conn.stream),
                _ => {}
            }
            let Ok(request) = conn.request(&world.clock).await else { return };
            if request.header("x-request-id").is_none() {
                let _ = conn.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            }
            if !self.handle(&world, proxy, &mut conn, &request).await {
                return;
            }
        }
    }

    /// Does what its mode says with a request; whether the connection goes on.
    async fn handle(&self, world: &Rc<World>, proxy: usize, conn: &mut Conn, message: &Message) -> bool {
        self.handled.set(self.handled.get() + 1);
        let request = message.header("x-request-id").and_then(|id| world.request(id));
        let attempt = world.attempt();
        let came = Record::AttemptReceived {
            attempt,
            request,
            backend: self.number as u16,
            cell: self.cell() as u16,
            proxy: proxy as u16,
            first: message.first,
            last: message.last,
            told: message.header("x-timeout").and_then(told),
        };
        world.note(Writer::Backends, came);
        let over = Over { world, attempt, ran: Cell::new(Ran::Perhaps) };
        let Some(request) = request else {
            return conn.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").await.is_ok();
        };
        let mode = self.mode();
        match mode {
            Mode::Hang => {
                drop(over); // it never ends by itself
                self.other_than(Mode::Hang).await;
                reset(&conn.stream);
                return false;
            }
            Mode::Noise => {
                let _ = conn.write(b"\x01\x02 what is this \xff\r\n\r\n").await;
                return false;
            }
            Mode::FastErrors(part) if chance(request, attempt) < part => {
                return conn.write(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n").await.is_ok();
            }
            _ => {}
        }
        let work = world.plan.requests[request as usize].work_ms;
        let now = ms(world.now());
        let fallen = self.machine.borrow().has_fallen();
        let taken = self.machine.borrow_mut().take(now, work);
        match taken {
            Taken::Falls => {
                if !fallen {
                    let (backend, at) = (self.number as u16, world.now());
                    world.note(Writer::Backends, Record::BackendOverloaded { backend, at });
                }
                self.end();
                reset(&conn.stream);
                return false;
            }
            Taken::Full => {
                over.ran.set(Ran::Never);
                let text = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                return conn.write(text).await.is_ok();
            }
            Taken::Done(at) => tokio::time::sleep_until(world.clock.instant((at * 1000.0) as Micros)).await,
        }
        match mode {
            Mode::ResetAfter => {
                reset(&conn.stream);
                false
            }
            Mode::CutAnswer => {
                let text = answer(request, attempt);
                let _ = conn.write(&text.as_bytes()[..text.len() - 8]).await;
                false
            }
            _ => {
                // Noted before the bytes go out, since the client may have them before this task runs again.
                over.ran.set(Ran::Answered);
                drop(over);
                conn.write(answer(request, attempt).as_bytes()).await.is_ok()
            }
        }
    }
}

/// Notes the end of an attempt, whatever ends it.
struct Over<'a> {
    world: &'a World,
    attempt: u32,
    ran: Cell<Ran>,
}

impl Drop for Over<'_> {
    fn drop(&mut self) {
        self.world
            .note(Writer::Backends, Record::AttemptEnded { attempt: self.attempt, ran: self.ran.get() });
        self.world.over();
    }
}

/// What a header tells in seconds.
fn told(seconds: &str) -> Option<Micros> {
    let seconds = seconds.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0)?;
    Some((seconds * 1e6) as Micros)
}

/// The body names the request and the attempt that made it.
fn answer(request: u32, attempt: u32) -> String {
    let body = format!("request {request} attempt {attempt} {:=<200}", "");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// What a body says: the request and the attempt that made it.
pub fn stamp(body: &[u8]) -> Option<(u32, u32)> {
    let text = std::str::from_utf8(body).ok()?;
    let mut words = text.split(' ');
    let mut next = |name: &str| (words.next() == Some(name)).then(|| words.next()?.parse().ok()).flatten();
    Some((next("request")?, next("attempt")?))
}

/// A number in [0, 1) that depends on both alone.
fn chance(a: u32, b: u32) -> f64 {
    fastrand::Rng::with_seed(u64::from(a) << 32 | u64::from(b)).f64()
}

fn ms(at: Micros) -> f64 {
    at as f64 / 1000.0
}

/// Ends a connection with a reset.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn bind(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}
