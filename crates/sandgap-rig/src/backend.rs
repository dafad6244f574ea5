//! Simulated backends: a machine behind one listener for each proxy, so that the sender of each request is known.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::clock::Micros;
use crate::http::{Conn, Message};
use crate::machine::{Admission, Machine};
use crate::schedule::{CELL, Mode, SecondAnswers};
use crate::world::World;
use sandgap_rules::{AttemptEnd, Record, Writer};

/// Largest number of connections that fill the accept queue of a black hole.
const MAX_FILLERS: usize = 4;
/// The accept queue of a black hole counts as full if a connection is not established within this time.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(30);
/// Accept queue of a normal listener.
const BACKLOG: u32 = 1024;
/// Idle time after which connections are closed in the mode that closes them early.
const IDLE_CLOSE: Duration = Duration::from_millis(12);
/// What follows the declared length of an answer in the mode that sends more.
const UNDECLARED_BYTES: &str = "undeclared";
/// Bytes of an answer's head before the pause in the mode that splits heads.
const HEAD_PART_BYTES: usize = 20;
/// Longer than any run.
const FOREVER: Duration = Duration::from_secs(86_400);

/// Whether a backend runs. The end is final.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Running(Mode),
    Ended,
}

/// A simulated backend.
pub struct Backend {
    /// Its number in the plan.
    pub number: usize,
    /// One address for each proxy.
    pub addresses: Vec<SocketAddr>,
    /// When it started; `None` if it was up and warm before the run.
    pub started: Option<Micros>,
    machine: RefCell<Machine>,
    state: watch::Sender<State>,
    handled: Cell<u32>,
}

impl Backend {
    /// Starts a backend that listens at `addresses`.
    pub fn start(world: &Rc<World>, number: usize, addresses: Vec<SocketAddr>, fresh: bool) -> Rc<Self> {
        let started = fresh.then(|| world.now());
        let build = world.plan.machines[number].clone();
        let machine = Machine::new(build, world.plan.cold, started.map(ms));
        let backend = Rc::new(Backend {
            number,
            addresses,
            started,
            machine: RefCell::new(machine),
            state: watch::channel(State::Running(Mode::Normal)).0,
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

    /// Requests with an `x-request-id` that it has read so far; connections that its mode resets first are not counted.
    pub fn handled(&self) -> u32 {
        self.handled.get()
    }

    /// Sets its mode, unless it has ended; the machine's slowdown is set in any case.
    pub fn set(&self, mode: Mode) {
        self.state.send_if_modified(|state| {
            let new = State::Running(mode);
            *state != State::Ended && std::mem::replace(state, new) != new
        });
        self.machine.borrow_mut().slow = if let Mode::Slow(times) = mode { times } else { 1.0 };
    }

    /// Ends it: requests in progress are finished, except hung ones, which are reset; no new ones are accepted.
    pub fn end(&self) {
        self.state.send_replace(State::Ended);
    }

    /// Whether it has ended or failed from overload.
    pub fn has_ended(&self) -> bool {
        *self.state.borrow() == State::Ended
    }

    async fn listen(self: Rc<Self>, world: Rc<World>, proxy: usize) {
        let mut state = self.state.subscribe();
        loop {
            let current = *state.borrow_and_update();
            match current {
                State::Ended => return,
                State::Running(Mode::Refuse) => {
                    let _ = state.changed().await;
                }
                State::Running(Mode::BlackHole) => {
                    let hole = self.black_hole(proxy).await;
                    let _ = state.changed().await;
                    drop(hole);
                }
                State::Running(_) => {
                    let Ok(listener) = bind(self.addresses[proxy], BACKLOG) else {
                        sleep(Duration::from_millis(5)).await; // the previous listener may still be closing
                        continue;
                    };
                    self.accept(&world, proxy, &listener, &mut state).await;
                }
            }
        }
    }

    async fn accept(
        self: &Rc<Self>, world: &Rc<World>, proxy: usize, listener: &TcpListener,
        state: &mut watch::Receiver<State>,
    ) {
        loop {
            tokio::select! {
                biased;
                _ = state.changed() => {
                    let current = *state.borrow_and_update();
                    if matches!(current, State::Ended | State::Running(Mode::Refuse | Mode::BlackHole)) {
                        state.mark_changed();
                        return;
                    }
                }
                next = listener.accept() => if let Ok((stream, _)) = next {
                    if self.mode() == Mode::ResetBefore {
                        reset_on_drop(&stream);
                    } else {
                        spawn_local(self.clone().serve(world.clone(), proxy, Conn::new(stream)));
                    }
                },
            }
        }
    }

    /// A listener whose accept queue is full: connections to it are not established.
    async fn black_hole(&self, proxy: usize) -> (Option<TcpListener>, Vec<TcpStream>) {
        let address = self.addresses[proxy];
        let Ok(listener) = bind(address, 0) else { return (None, Vec::new()) };
        let mut fillers = Vec::new();
        while fillers.len() < MAX_FILLERS {
            match timeout(FULL_QUEUE_TIMEOUT, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => fillers.push(stream),
                _ => break,
            }
        }
        (Some(listener), fillers)
    }

    fn mode(&self) -> Mode {
        match *self.state.borrow() {
            State::Running(mode) => mode,
            State::Ended => Mode::Refuse,
        }
    }

    /// Waits until the backend is no longer in `mode`.
    async fn wait_until_mode_ends(&self, mode: Mode) {
        let _ = self.state.subscribe().wait_for(|s| *s != State::Running(mode)).await;
    }

    async fn serve(self: Rc<Self>, world: Rc<World>, proxy: usize, conn: Conn) {
        let mut state = self.state.subscribe();
        let mut peer = Peer { conn, late: None };
        loop {
            let idle = sleep(if self.mode() == Mode::ClosesIdle { IDLE_CLOSE } else { FOREVER });
            let late = peer.late.as_ref().map_or_else(|| Instant::now() + FOREVER, |late| late.due);
            tokio::select! {
                begun = peer.conn.begin() => if !begun { return },
                _ = state.wait_for(|s| *s == State::Ended) => return,
                () = idle => return,
                () = sleep_until(late) => {
                    if peer.write_late().await.is_err() {
                        return;
                    }
                    continue;
                }
            }
            let conn = &mut peer.conn;
            match self.mode() {
                Mode::BlackHole => {
                    self.wait_until_mode_ends(Mode::BlackHole).await;
                    return reset_on_drop(&conn.stream);
                }
                Mode::ResetBefore | Mode::ResetDuring => return reset_on_drop(&conn.stream),
                _ => {}
            }
            let Ok(request) = conn.request(&world.clock).await else { return };
            if request.header("x-request-id").is_none() {
                let _ = conn.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            }
            if !self.handle(&world, proxy, &mut peer, &request).await {
                return;
            }
        }
    }

    /// Handles a request as the backend's mode requires; returns whether the connection continues.
    async fn handle(&self, world: &Rc<World>, proxy: usize, peer: &mut Peer, message: &Message) -> bool {
        self.handled.set(self.handled.get() + 1);
        let request = message.header("x-request-id").and_then(|id| world.request_number(id));
        let attempt = world.begin_attempt();
        let received = Record::AttemptReceived {
            attempt,
            request,
            backend: self.number as u16,
            cell: self.cell() as u16,
            proxy: proxy as u16,
            first: message.first,
            last: message.last,
            told: message.header("x-timeout").and_then(parse_seconds),
        };
        world.record(Writer::Backends, received);
        let guard = AttemptGuard {
            world,
            attempt,
            ran: Cell::new(AttemptEnd::MayHaveRun),
            out_until: Cell::new(None),
        };
        let Some(request) = request else {
            return peer.conn.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").await.is_ok();
        };
        let mode = self.mode();
        match mode {
            Mode::Hang => {
                drop(guard); // recorded now, since it never ends by itself
                self.wait_until_mode_ends(Mode::Hang).await;
                reset_on_drop(&peer.conn.stream);
                return false;
            }
            Mode::Noise => {
                let _ = peer.conn.write(b"\x01\x02 what is this \xff\r\n\r\n").await;
                return false;
            }
            Mode::FastErrors(part) if chance(request, attempt) < part => {
                return peer.conn.write(ERROR.as_bytes()).await.is_ok();
            }
            _ => {}
        }
        let work = world.plan.requests[request as usize].work_ms;
        let now = ms(world.now());
        let had_failed = self.machine.borrow().has_failed();
        let admission = self.machine.borrow_mut().take(now, work);
        match admission {
            Admission::Fails => {
                if !had_failed {
                    let (backend, at) = (self.number as u16, world.now());
                    world.record(Writer::Backends, Record::BackendOverloaded { backend, at });
                }
                self.end();
                reset_on_drop(&peer.conn.stream);
                return false;
            }
            Admission::Rejected => {
                guard.ran.set(AttemptEnd::NotProcessed);
                return peer.conn.write(REJECTION.as_bytes()).await.is_ok();
            }
            Admission::Done(at) => {
                if peer.work_until(world.clock.instant((at * 1000.0) as Micros)).await.is_err() {
                    return false;
                }
            }
        }
        match mode {
            Mode::PausesInBody(share, pause_ms) if chance(request, attempt) < share => {
                let text = response(request, attempt);
                let (first, rest) = text.as_bytes().split_at(text.len() / 2);
                let is_open = peer.conn.write(first).await.is_ok() && peer.pause(pause_ms).await;
                guard.out_until.set(Some(world.now()));
                if !is_open {
                    return false;
                }
                guard.ran.set(AttemptEnd::Answered);
                drop(guard);
                peer.conn.write(rest).await.is_ok()
            }
            Mode::ResetAfter => {
                reset_on_drop(&peer.conn.stream);
                false
            }
            Mode::CutAnswer => {
                let text = response(request, attempt);
                let _ = peer.conn.write(&text.as_bytes()[..text.len() - 8]).await;
                false
            }
            _ => {
                // Recorded before the write, since the client may have the bytes before this task runs again.
                guard.ran.set(AttemptEnd::Answered);
                drop(guard);
                peer.answer(mode, request, attempt).await.is_ok()
            }
        }
    }
}

/// An error in answer to a request that may have run.
const ERROR: &str = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
/// The rejection of a request that has not run.
const REJECTION: &str = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

/// An answer that no request asked for.
struct LateAnswer {
    due: Instant,
    text: String,
}

/// A proxy's connection, and the answer that is yet to be sent on it unasked.
struct Peer {
    conn: Conn,
    late: Option<LateAnswer>,
}

impl Peer {
    /// Sends the answer that no request asked for.
    async fn write_late(&mut self) -> std::io::Result<()> {
        let Some(late) = self.late.take() else { return Ok(()) };
        self.conn.write(late.text.as_bytes()).await
    }

    /// Waits for the end of a request's work; an answer that is due before it is sent meanwhile.
    async fn work_until(&mut self, end: Instant) -> std::io::Result<()> {
        if let Some(due) = self.late.as_ref().map(|late| late.due).filter(|due| *due < end) {
            sleep_until(due).await;
            self.write_late().await?;
        }
        sleep_until(end).await;
        Ok(())
    }

    /// Waits; false if the connection ends meanwhile.
    async fn pause(&mut self, pause_ms: f64) -> bool {
        tokio::select! {
            has_begun = self.conn.begin() => has_begun,
            () = sleep(Duration::from_secs_f64(pause_ms / 1000.0)) => true,
        }
    }

    /// Answers a request in a mode that answers it whole.
    async fn answer(&mut self, mode: Mode, request: u32, attempt: u32) -> std::io::Result<()> {
        let mut text = response(request, attempt);
        let drawn = chance(request, attempt);
        match mode {
            Mode::SecondAnswers(second) if drawn < second.share => {
                self.late = Some(late_answer(second, &text, drawn / second.share));
            }
            Mode::LongBodies(share) if drawn < share => text.push_str(UNDECLARED_BYTES),
            Mode::SplitHeads(pause_ms) => {
                self.conn.write(&text.as_bytes()[..HEAD_PART_BYTES]).await?;
                sleep(Duration::from_secs_f64(pause_ms / 1000.0)).await;
                return self.conn.write(&text.as_bytes()[HEAD_PART_BYTES..]).await;
            }
            _ => {}
        }
        self.conn.write(text.as_bytes()).await
    }
}

/// The answer that follows `due` unasked; `drawn` from 0 to 1 selects its kind and its time.
fn late_answer(second: SecondAnswers, due: &str, drawn: f64) -> LateAnswer {
    let kinds = [due, REJECTION, ERROR];
    let scaled = drawn * kinds.len() as f64;
    let text = kinds[(scaled as usize).min(kinds.len() - 1)].to_owned();
    let after_ms = second.earliest_ms + scaled.fract() * (second.latest_ms - second.earliest_ms);
    LateAnswer { due: Instant::now() + Duration::from_secs_f64(after_ms / 1000.0), text }
}

/// Records the end of an attempt on drop, however it ends.
struct AttemptGuard<'a> {
    world: &'a World,
    attempt: u32,
    ran: Cell<AttemptEnd>,
    /// See [`Record::AttemptEnded`].
    out_until: Cell<Option<Micros>>,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let (attempt, ran, out_until) = (self.attempt, self.ran.get(), self.out_until.get());
        self.world.record(Writer::Backends, Record::AttemptEnded { attempt, ran, out_until });
        self.world.end_attempt();
    }
}

/// Parses a number of seconds in a header.
fn parse_seconds(seconds: &str) -> Option<Micros> {
    let seconds = seconds.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0)?;
    Some((seconds * 1e6) as Micros)
}

/// A response whose body names the request and the attempt that made it.
fn response(request: u32, attempt: u32) -> String {
    let body = format!("request {request} attempt {attempt} {:=<200}", "");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Reads the request and the attempt that made it from the body of a response.
pub fn parse_body(body: &[u8]) -> Option<(u32, u32)> {
    let text = std::str::from_utf8(body).ok()?;
    let mut words = text.split(' ');
    let mut next = |name: &str| (words.next() == Some(name)).then(|| words.next()?.parse().ok()).flatten();
    Some((next("request")?, next("attempt")?))
}

/// A pseudo-random number in [0, 1) that depends on both arguments only.
fn chance(a: u32, b: u32) -> f64 {
    fastrand::Rng::with_seed(u64::from(a) << 32 | u64::from(b)).f64()
}

fn ms(at: Micros) -> f64 {
    at as f64 / 1000.0
}

/// Makes the connection end with a reset when it is dropped, by a linger time of 0.
fn reset_on_drop(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn bind(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}
