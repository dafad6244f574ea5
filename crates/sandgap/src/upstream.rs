//! Attempts at backends. One attempt is one request on one connection, and nothing is ever resent here.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::{JoinHandle, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use wharfhitch::Outcome;

use crate::body::{self, Answering, Broken, End, Progress, Sending, Stream, Upload};
use crate::event::{self, AnswerBy, Attempt, Back, Endpoint, Exchange, Licence};
use crate::socket::Socket;

/// A pooled connection is retired after this part of the span after which a backend closes it.
const IDLE_PART: f64 = 0.7;
/// After an answer a connection rests: a second one may come some milliseconds late, and written behind the next request
/// it would pass for that one's. It rests for this part of the time that the answer took, which bounds what that costs,
/// and no longer than this. Waiting is cheaper than another connection, which the backend pays for too: with 30 ms and
/// another one dialled meanwhile a tenth of the short days' score was lost.
const REST: (u32, Duration) = (8, Duration::from_millis(10));
const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");
/// Longest wait until a connection is ready for its next request.
const READY: Duration = Duration::from_secs(1);

/// Once an answer has begun, a part of it must come at least every so often. An answer that is told longer than it
/// is would else keep its request until the client gives up.
const STALL: Duration = Duration::from_millis(500);
/// The reader of an answer that is told to be long has what has come so far after this span at the latest. What breaks
/// before can still be answered as failed, or made good elsewhere.
const GATHER_LONG: Duration = Duration::from_millis(150);
/// An answer whose length is not told is most likely a short one, of which the last byte counts. It is gathered for this
/// part of the time left, so that one that stops short can be made good elsewhere, and the first bytes of one that turns
/// out long are still in time.
const GATHER_PART: u32 = 2;
/// A backend that says nothing for this long within a long answer has gone.
const SILENCE: Duration = Duration::from_secs(10);
/// Span between looks for that.
const LOOK: Duration = Duration::from_secs(1);
/// The same where the time of an answer that may be short is over, but its reader has not taken what there is of it.
const LOOK_OVERDUE: Duration = Duration::from_millis(100);
/// Bytes of a connection's buffer: room for any head, and a long body passes in pieces of it.
const BUFFER: usize = 16 << 10;

/// A client's request in the form in which it goes on.
pub struct Outgoing {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Without those of one connection alone.
    pub headers: HeaderMap,
    /// What goes with it.
    pub body: Payload,
    /// How long the client waits, from the request's last byte.
    pub patience: Duration,
}

/// A request's body.
pub enum Payload {
    /// At most [`body::WHOLE`] bytes.
    Short(Bytes),
    /// More, as they come.
    Long(Rc<Upload>),
}

/// A backend's answer.
pub struct Reply {
    /// Without those of one connection alone.
    pub headers: HeaderMap,
    /// Whole, or as it comes.
    pub body: Answering,
}

struct Idle {
    connection: Connection,
    since: Instant,
    /// It is not used again before, see [`REST`].
    rested: Instant,
}

/// A connection to a backend; dropping it closes the socket.
struct Connection {
    sender: SendRequest<Sending>,
    meter: Rc<Meter>,
    stream: Socket,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Whether a request may be written to it: the backend has neither closed it nor said anything unasked.
    fn is_alive(&self) -> bool {
        self.sender.is_ready() && self.stream.is_quiet()
    }
}

/// Follows the bytes of a request onto the socket, and holds the first one back where it may not go.
#[derive(Default)]
struct Meter {
    /// What must still hold when the first byte is written; there is none between requests.
    gate: RefCell<Option<Gate>>,
    begun: Cell<bool>,
    denied: Cell<bool>,
    /// How much of the blank line that ends the head has been seen.
    blank: Cell<usize>,
    /// Bytes of the body still to be written.
    left: Cell<u64>,
    /// A body whose length is not told ends with its last chunk.
    chunked: RefCell<Option<Rc<Upload>>>,
    tail: Cell<[u8; LAST_CHUNK.len()]>,
    /// Told when a request's last byte is written.
    finished: Notify,
    /// When the last part of an answer came that has not come to its end.
    partial: Cell<Option<Instant>>,
    /// The answer's head has come: what stops now is its body.
    in_body: Cell<bool>,
    read: Notify,
}

/// The backend must still take work, the request still lack its answer, and a repeat still be dropped: each may have
/// changed while the connection came up.
struct Gate {
    endpoint: Rc<Endpoint>,
    wanted: Rc<Cell<bool>>,
    licence: Option<Rc<dyn Licence>>,
    before: Option<Instant>,
}

const BLANK: &[u8] = b"\r\n\r\n";
const LAST_CHUNK: [u8; 5] = *b"0\r\n\r\n";

impl Meter {
    fn start(&self, gate: Gate, body: &Payload) {
        self.gate.replace(Some(gate));
        self.begun.set(false);
        self.denied.set(false);
        self.blank.set(0);
        let (left, chunked) = match body {
            Payload::Short(bytes) => (bytes.len() as u64, None),
            Payload::Long(upload) => {
                (upload.length().unwrap_or(0), Some(upload).filter(|u| u.length().is_none()))
            }
        };
        self.left.set(left);
        self.chunked.replace(chunked.cloned());
        self.tail.take();
        self.partial.set(None);
        self.in_body.set(false);
    }

    /// The answer's head has come.
    fn body_begins(&self) {
        self.in_body.set(true);
        self.partial.set(Some(Instant::now()));
        self.read.notify_one();
    }

    /// Notes what has been read of an answer. What stops at a blank line may be an interim answer's whole head,
    /// after which the real one takes its time.
    fn got(&self, bytes: &[u8]) {
        self.partial.set((self.in_body.get() || !bytes.ends_with(BLANK)).then(Instant::now));
        self.read.notify_one();
    }

    /// Waits until the request's last byte is written.
    async fn finished(&self) {
        while !self.complete() {
            self.finished.notified().await; // perhaps of a request before it
        }
    }

    /// Waits until an answer has begun and not come to its end for too long.
    async fn stalled(&self) {
        loop {
            match self.partial.get() {
                Some(since) if since.elapsed() >= STALL => return,
                Some(since) => sleep_until(since + STALL).await,
                None => self.read.notified().await,
            }
        }
    }

    /// Whether a write may go on.
    fn admit(&self) -> bool {
        let licensed = |g: &Gate| g.licence.as_ref().is_none_or(|l| l.holds());
        let in_time = |g: &Gate| g.before.is_none_or(|before| Instant::now() < before);
        let fits = |g: &Gate| g.endpoint.is_open() && g.wanted.get() && licensed(g) && in_time(g);
        let go = self.begun.get() || self.gate.borrow().as_ref().is_some_and(fits);
        self.denied.set(!go);
        go
    }

    fn wrote(&self, bytes: &[u8]) {
        self.begun.set(self.begun.get() || !bytes.is_empty());
        let mut rest = bytes;
        while self.blank.get() < BLANK.len() {
            let Some((&byte, after)) = rest.split_first() else { return };
            rest = after;
            let seen = self.blank.get();
            self.blank.set(if byte == BLANK[seen] { seen + 1 } else { usize::from(byte == b'\r') });
        }
        self.left.set(self.left.get().saturating_sub(rest.len() as u64));
        if self.chunked.borrow().is_some() {
            let mut tail = self.tail.get();
            let kept = rest.len().min(tail.len());
            tail.rotate_left(kept);
            let at = tail.len() - kept;
            tail[at..].copy_from_slice(&rest[rest.len() - kept..]);
            self.tail.set(tail);
        }
        if self.complete() {
            self.finished.notify_one();
        }
    }

    /// Whether the request's last byte has been written: from then on it may have run.
    fn complete(&self) -> bool {
        let whole = match &*self.chunked.borrow() {
            Some(upload) => upload.has_ended() && self.tail.get() == LAST_CHUNK,
            None => self.left.get() == 0,
        };
        self.blank.get() == BLANK.len() && whole
    }
}

/// The socket under a connection, with its meter. It holds its part of the budget of sockets.
struct Metered {
    stream: Socket,
    meter: Rc<Meter>,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for Metered {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        std::task::ready!(self.stream.poll_read(cx, buf))?;
        self.meter.got(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if !self.meter.admit() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        let n = std::task::ready!(self.stream.poll_write(cx, bytes))?;
        self.meter.wrote(&bytes[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.end_sending())
    }
}

/// What all attempts share: time-outs and the budget of sockets.
pub struct Upstreams {
    dial_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    sockets: Arc<Semaphore>,
    most: usize,
    /// Sockets that clients leave to backends at present, see [`Upstreams::leave`].
    left: Cell<usize>,
    /// Idle connections by the number of their endpoint, in the order of their last use. Each holds a permit,
    /// so that the budget of sockets bounds them all together.
    idle: RefCell<FxHashMap<u64, Vec<Idle>>>,
}

impl Upstreams {
    /// Time-outs from the settings, and how many sockets all attempts may hold together.
    pub fn new(connections: &wharfhitch::settings::Connections, sockets: usize) -> Self {
        let new = Upstreams {
            dial_timeout: Cell::default(),
            idle_limit: Cell::default(),
            sockets: Arc::new(Semaphore::new(sockets)),
            most: sockets,
            left: Cell::new(sockets),
            idle: RefCell::default(),
        };
        new.change(connections);
        new
    }

    /// Takes over other time-outs.
    pub fn change(&self, connections: &wharfhitch::settings::Connections) {
        let span = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3.6e6) / 1000.0);
        self.dial_timeout.set(span(connections.dial_timeout));
        self.idle_limit.set(span(connections.idle_close * IDLE_PART));
    }

    /// Sockets in use.
    pub fn in_use(&self) -> usize {
        self.most - self.sockets.available_permits()
    }

    /// So many sockets are left to backends: clients hold the others.
    pub fn leave(&self, sockets: usize) {
        self.left.set(sockets);
    }

    /// Closes idle connections until no more than so many sockets are in use, or none is idle.
    pub fn shrink(&self, most: usize) {
        while self.in_use() > most && self.idle.borrow().values().any(|all| !all.is_empty()) {
            self.close_idle();
        }
    }

    /// Closes the connection that has stood idle longest, whosever it is.
    pub fn close_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = |all: &Vec<Idle>| all.first().map(|i| i.since);
        if let Some(all) = idle.values_mut().filter(|a| !a.is_empty()).min_by_key(|a| oldest(a)) {
            all.remove(0);
        }
    }

    fn park(&self, endpoint: &Endpoint, connection: Connection, took: Duration) {
        if endpoint.is_open() {
            let since = Instant::now();
            let idle = Idle { connection, since, rested: since + (took / REST.0).min(REST.1) };
            self.idle.borrow_mut().entry(endpoint.number).or_default().push(idle);
        }
    }

    /// Of those that have rested the one used last, as it is the least likely to have been closed; else the one that has
    /// rested longest.
    fn unpark(&self, endpoint: &Endpoint) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let all = idle.get_mut(&endpoint.number)?;
        let now = Instant::now();
        let rested = all.iter().rposition(|i| i.rested <= now);
        (!all.is_empty()).then(|| all.remove(rested.unwrap_or(0)))
    }

    async fn connection(&self, endpoint: &Endpoint) -> io::Result<Connection> {
        while let Some(idle) = self.unpark(endpoint) {
            if idle.since.elapsed() >= self.idle_limit.get() || !idle.connection.is_alive() {
                continue;
            }
            if idle.rested > Instant::now() {
                sleep_until(idle.rested).await;
                if !idle.connection.is_alive() {
                    continue;
                }
            }
            return Ok(idle.connection);
        }
        // Boxed, so that the many attempts that need no new connection don't carry the room for one.
        Box::pin(timeout(self.dial_timeout.get(), self.open(endpoint.address))).await?
    }

    async fn open(&self, address: SocketAddr) -> io::Result<Connection> {
        if self.sockets.available_permits() == 0 || self.in_use() >= self.left.get() {
            self.close_idle();
            yield_now().await; // its task lets go of it
        }
        let permit = self.sockets.clone().acquire_owned().await.map_err(io::Error::other)?;
        if self.in_use() > self.left.get() {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let stream = Socket::new(TcpStream::connect(address).await?);
        let meter = Rc::new(Meter::default());
        let io = Metered { stream: stream.clone(), meter: meter.clone(), _permit: permit };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER)
            .handshake(TokioIo::new(io))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            let _ = connection.await; // errors show at the request
        });
        Ok(Connection { sender, meter, stream, driver })
    }

    /// Makes one attempt and tells how it ended; the report gets that before the connection is pooled.
    async fn attempt(&self, message: &Outgoing, attempt: Attempt) {
        let Attempt { endpoint, wanted, licence, mut until, answer_by, before, mut report } = attempt;
        let mut uploads = match &message.body {
            Payload::Long(upload) if upload.is_spent() => return report.tell(Outcome::Moot, None),
            body => matches!(body, Payload::Long(_)),
        };
        // Whatever goes wrong before the request's last byte is written proves that it never ran.
        let mut connection = match timeout_at(until, self.connection(&endpoint)).await {
            Ok(Ok(connection)) => connection,
            // No descriptor of this process is left, which is no fault of the backend's.
            Ok(Err(e)) if e.kind() == io::ErrorKind::QuotaExceeded => {
                return report.tell(Outcome::Moot, None);
            }
            Ok(Err(_)) | Err(_) => return report.tell(Outcome::ConnectFailed, None),
        };
        if !endpoint.is_open() || !wanted.get() {
            return report.tell(Outcome::Moot, None);
        }
        let Some(request) = message.request(until) else { return report.tell(Outcome::Moot, None) };
        let meter = connection.meter.clone();
        meter.start(Gate { endpoint: endpoint.clone(), wanted, licence, before }, &message.body);
        let sender = &mut connection.sender;
        let answer = async {
            tokio::select! {
                biased;
                answer = exchange(sender, request, &meter, &answer_by) => answer,
                () = meter.stalled() => Err("the answer has no end".into()),
            }
        };
        // A long request may take its time; the backend's begins with its last byte.
        let answer = {
            tokio::pin!(answer);
            loop {
                tokio::select! {
                    biased;
                    answer = &mut answer => break Some(answer),
                    () = meter.finished(), if uploads => {
                        uploads = false;
                        report.uploaded();
                        until = Instant::now() + message.patience;
                    }
                    () = sleep_until(until), if !uploads => break None,
                    // Its last byte would come when its repeat is no longer dropped.
                    () = sleep_until(before.unwrap_or(until)), if uploads && before.is_some() => break None,
                }
            }
        };
        let took = report.sent().elapsed();
        match answer {
            Some(Ok(Got::Whole(outcome, reply, keep))) => {
                report.tell(outcome, reply.map(|r| Box::new(r) as event::Reply));
                meter.gate.replace(None);
                self.keep(&endpoint, connection, keep && meter.complete(), took).await;
            }
            Some(Ok(Got::Long(reply, progress, end))) => {
                report.started(Box::new(reply));
                meter.gate.replace(None);
                let (outcome, keep) = follow(&progress, end, &answer_by).await;
                report.tell(outcome, None);
                self.keep(&endpoint, connection, keep && meter.complete(), took).await;
            }
            Some(Err(_)) if meter.denied.get() && !meter.begun.get() => report.tell(Outcome::Moot, None),
            Some(Err(_)) | None if !meter.complete() => report.tell(Outcome::ConnectFailed, None),
            Some(Err(_)) => report.tell(Outcome::Reset, None),
            None => report.tell(Outcome::TimedOut, None), // the connection is dropped, never used again
        }
    }

    /// Pools a connection once it is ready for another request.
    async fn keep(&self, endpoint: &Endpoint, mut connection: Connection, keep: bool, took: Duration) {
        if keep && matches!(timeout(READY, connection.sender.ready()).await, Ok(Ok(()))) {
            self.park(endpoint, connection, took);
        }
    }
}

/// Waits for the end of a long answer; the flag says whether its connection may be kept. A reader that leaves or
/// takes nothing is no fault of the backend. One that has not shown to be long ends with its client's time: the reader
/// sees it cut.
async fn follow(progress: &Progress, mut end: End, answer_by: &AnswerBy) -> (Outcome, bool) {
    loop {
        let left = answer_by.instant().saturating_duration_since(Instant::now());
        let look = match progress.may_be_short() {
            true if left.is_zero() => LOOK_OVERDUE,
            true => left.min(LOOK),
            false => LOOK,
        };
        tokio::select! {
            biased;
            end = &mut end => return match end {
                Ok(true) => (Outcome::Served, true),
                Ok(false) => (Outcome::Reset, false),
                Err(_) => (Outcome::Served, false),
            },
            () = sleep(look) => {
                let over = progress.may_be_short() && Instant::now() >= answer_by.instant();
                if progress.silence() >= SILENCE || over && progress.waits_for_backend() {
                    return (Outcome::Reset, false); // the connection goes, and the reader sees the answer cut
                }
            }
        }
    }
}

/// Whether an answer says, once and plainly, that its request was not processed.
fn is_unseen(headers: &HeaderMap) -> bool {
    let mut words = headers.get_all("x-not-processed").iter();
    words.next().is_some_and(|v| v.as_bytes().trim_ascii() == b"1") && words.next().is_none()
}

impl Back for Upstreams {
    fn retire(&self, endpoint: &Endpoint) {
        self.idle.borrow_mut().remove(&endpoint.number);
    }

    fn sweep(&self) {
        let now = Instant::now();
        let fresh = |i: &Idle| now - i.since < self.idle_limit.get() && i.connection.is_alive();
        self.idle.borrow_mut().retain(|_, all| {
            all.retain(fresh);
            !all.is_empty()
        });
    }
}

/// A client's request and the connections by which it goes on. `T` is what is held until it is done with.
pub struct Forwarded<T> {
    /// The request.
    pub message: Outgoing,
    /// How it reaches backends.
    pub upstreams: Rc<Upstreams>,
    /// Held as long as the request.
    pub hold: T,
}

impl<T: 'static> Exchange for Forwarded<T> {
    fn attempt(self: Rc<Self>, attempt: Attempt) {
        tokio::task::spawn_local(async move { self.upstreams.attempt(&self.message, attempt).await });
    }

    fn is_spent(&self) -> bool {
        matches!(&self.message.body, Payload::Long(upload) if upload.is_spent())
    }
}

/// What has come of an answer.
enum Got {
    /// All of it; the flag says whether the connection may be kept.
    Whole(Outcome, Option<Reply>, bool),
    /// The beginning of a long one.
    Long(Reply, Rc<Progress>, End),
}

/// Sends a request and reads the answer, or the beginning of a long one.
async fn exchange(
    sender: &mut SendRequest<Sending>, request: Request<Sending>, meter: &Meter, answer_by: &AnswerBy,
) -> Result<Got, Broken> {
    let answer = sender.send_request(request).await?;
    meter.body_begins();
    let (head, body) = answer.into_parts();
    let length = body.size_hint().exact();
    // A body that only the connection's end delimits may be cut short and nobody could tell, unless the head says
    // that it will end so.
    let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    if length.is_none() && !chunked && !closes(&head.headers) {
        return Err("the answer's length is not told".into());
    }
    let keep = length.is_some() || chunked;
    let outcome = match head.status {
        StatusCode::OK => {
            let mut headers = head.headers;
            strip(&mut headers);
            return Ok(match gather(body, length, answer_by).await? {
                Gathered::Whole(bytes) => {
                    Got::Whole(Outcome::Served, Some(Reply { headers, body: bytes.into() }), keep)
                }
                Gathered::Begun(first, rest) => {
                    let (stream, progress, end) = Stream::new(first, rest);
                    Got::Long(Reply { headers, body: Answering::Long(Box::new(stream), None) }, progress, end)
                }
            });
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unseen(&head.headers) => {
            Outcome::Full
        }
        _ => Outcome::Error,
    };
    let whole = Limited::new(body, body::WHOLE).collect().await;
    Ok(Got::Whole(outcome, None, keep && whole.is_ok() && head.status != StatusCode::SWITCHING_PROTOCOLS))
}

/// Whether an answer says that its connection ends with it.
fn closes(headers: &HeaderMap) -> bool {
    let words = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    words.flat_map(|v| v.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close"))
}

enum Gathered {
    Whole(Bytes),
    Begun(Bytes, Incoming),
}

/// Gathers a short answer whole, and of a long one no more than it takes to tell that it is long.
async fn gather(
    mut incoming: Incoming, length: Option<u64>, answer_by: &AnswerBy,
) -> Result<Gathered, Broken> {
    let span = match length {
        Some(length) if length <= body::WHOLE as u64 => {
            return Ok(Gathered::Whole(incoming.collect().await?.to_bytes()));
        }
        Some(length) if length > body::LONGEST_ANSWER => return Err("the answer is too long".into()),
        Some(_) => GATHER_LONG,
        None => answer_by.instant().saturating_duration_since(Instant::now()) / GATHER_PART,
    };
    let mut have: Vec<Bytes> = Vec::new();
    let mut size = 0;
    let patience = sleep(span);
    tokio::pin!(patience);
    loop {
        let frame = tokio::select! {
            biased;
            frame = incoming.frame() => frame,
            () = &mut patience, if size > 0 => return Ok(Gathered::Begun(body::join(have), incoming)),
        };
        let Some(frame) = frame else { return Ok(Gathered::Whole(body::join(have))) };
        if let Ok(data) = frame?.into_data() {
            size += data.len();
            have.push(data);
        }
        if size > body::WHOLE {
            return Ok(Gathered::Begun(body::join(have), incoming));
        }
    }
}

/// Takes out the headers that concern one connection alone, and the length, which is set anew.
pub fn strip(headers: &mut HeaderMap) {
    const FIXED: [HeaderName; 9] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    const NAMED: [&str; 2] = ["keep-alive", "proxy-connection"];
    let mut out: Vec<HeaderName> = Vec::new(); // allocates nothing where nothing goes
    for name in headers.keys() {
        if FIXED.contains(name) || NAMED.contains(&name.as_str()) {
            out.push(name.clone());
        }
    }
    if out.contains(&header::CONNECTION) {
        let named = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
        out.extend(named.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse().ok()));
    }
    for name in &out {
        headers.remove(name);
    }
}

impl Outgoing {
    /// The request for one attempt; `X-Timeout` tells how long this proxy will wait.
    fn request(&self, until: Instant) -> Option<Request<Sending>> {
        let (body, until) = match &self.body {
            Payload::Short(bytes) => (Sending::Whole(Some(bytes.clone()).filter(|b| !b.is_empty())), until),
            Payload::Long(upload) => (Sending::long(upload), Instant::now() + self.patience),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        // Whole milliseconds: what an integer costs to write is a part of what a float does.
        let left = until.saturating_duration_since(Instant::now()).as_millis();
        let left = HeaderValue::from_str(&format!("{}.{:03}", left / 1000, left % 1000)).ok()?;
        request.headers_mut().insert(TIMEOUT, left);
        Some(request)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn started(body: &'static [u8]) -> (Meter, Rc<Endpoint>, Rc<Cell<bool>>) {
        let endpoint = Endpoint::new(1, "127.0.0.1:1".parse().expect("an address"), 0.0);
        let wanted = Rc::new(Cell::new(true));
        let meter = Meter::default();
        meter.start(
            Gate { endpoint: endpoint.clone(), wanted: wanted.clone(), licence: None, before: None },
            &Payload::Short(Bytes::from_static(body)),
        );
        (meter, endpoint, wanted)
    }

    #[test]
    fn a_request_is_complete_with_its_last_byte_however_it_is_cut() {
        let text = b"POST /x HTTP/1.1\r\nA: b\r\n\r\n\r\n\r\nbody";
        for cut in 1..text.len() {
            let (meter, ..) = started(b"\r\n\r\nbody");
            meter.wrote(&text[..cut]);
            assert!(meter.begun.get() && !meter.complete(), "cut at {cut}");
            meter.wrote(&text[cut..]);
            assert!(meter.complete(), "cut at {cut}");
        }
    }

    #[test]
    fn the_first_byte_waits_for_an_open_backend_and_a_wanted_request() {
        let (meter, endpoint, _) = started(b"");
        endpoint.set_open(false);
        assert!(!meter.admit() && meter.denied.get());
        let (meter, _, wanted) = started(b"");
        wanted.set(false);
        assert!(!meter.admit());
        let (meter, endpoint, _) = started(b"");
        assert!(meter.admit());
        meter.wrote(b"G");
        endpoint.set_open(false); // what has begun is finished
        assert!(meter.admit());
        assert!(!Meter::default().admit(), "nothing is written between requests");
    }

    #[test]
    fn headers_of_one_connection_go_no_further() {
        let mut headers = HeaderMap::new();
        for (name, value) in
            [("connection", "x-own, close"), ("x-own", "1"), ("x-kept", "2"), ("te", "trailers")]
        {
            headers.insert(name, HeaderValue::from_static(value));
        }
        strip(&mut headers);
        assert_eq!(headers.len(), 1);
        assert!(headers.contains_key("x-kept"));
    }
}
