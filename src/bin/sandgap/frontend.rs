//! Clients: reads whole requests, checks them, and gives each exactly one final answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use rustc_hash::FxHashSet;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use wharfhitch::settings::{Names, number_of};
use wharfhitch::{Class, ClassId, Effect, Key, RequestId, TenantId};

use crate::driver::{Answer, Arrival, Inbox, Input};
use crate::note;
use crate::upstream::{BODY, Outgoing, Upstreams, end_sending, poll_read, poll_write, strip};

/// Longest head. Large enough for any client of the protocol, small enough for all connections at once.
const HEAD_SIZE: usize = 16 << 10;
const BACKLOG: u32 = 1024;
/// A request must be whole this long after its first byte; the first one this long after its connection came
/// up, for a client that sends nothing of use is owed an end within 3 s.
const WHOLE: Duration = Duration::from_millis(2200);
/// A connection between requests may be closed after 2 s, no sooner, and is when descriptors run short.
const IDLE_LEAST: Duration = Duration::from_millis(2050);
/// It is closed in any case after this span: some clients ask once and keep their connection for good.
const IDLE_MOST: Duration = Duration::from_secs(15);
/// A new connection's first byte is waited for this long even when descriptors run short.
const GRACE: Duration = Duration::from_millis(50);
/// Where nobody can give way, those who come wait in the accept queue for this long, then they are turned away.
const QUEUE: Duration = Duration::from_millis(100);
/// Span between looks for connections whose time is up.
const SWEEP: Duration = Duration::from_millis(100);
/// After a refusal the client may still be sending, and a close would reset the connection before it has read
/// the answer. What it sends is read and dropped for this span and up to this many bytes.
const LINGER: (Duration, usize) = (Duration::from_millis(1500), 72 << 20);
/// After SIGTERM connections still come for up to 0.4 s.
const STAY: Duration = Duration::from_millis(500);
/// Then the accept queue counts as empty once nothing comes for this span.
const QUIET: Duration = Duration::from_millis(20);
/// A connection that has sent nothing is waited for this much longer.
const SILENT: Duration = Duration::from_millis(200);
/// What the last answers may take to go out, after the longest deadline.
const FINISH: Duration = Duration::from_millis(200);
/// A connection asked to close that neither reads nor writes for this span is cut.
const CUT: Duration = Duration::from_secs(1);
/// Wait after a failed accept, lest it spin.
const PAUSE: Duration = Duration::from_millis(10);

/// One socket in so many is kept free for backends.
const NEXT: usize = 16;
/// Part of the budget that may have requests open at once; those beyond it are refused.
const BUSY: (usize, usize) = (5, 8);

/// How far a connection has come. The order is the one in which connections give way to others.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// Refused; only what it still sends is waited for.
    Refused,
    /// It has sent nothing yet.
    Silent,
    /// Between requests.
    Idle,
    /// A part of a head has come.
    Begun,
    /// A request is open. These give way to nobody.
    Busy,
}

/// What those that give way have stood at least.
const SPARED: [Duration; 4] = [GRACE, GRACE, IDLE_LEAST, GRACE];

/// What is known of a connection.
struct Client {
    stage: Cell<Stage>,
    /// Its place among those of its stage, oldest first.
    ticket: Cell<u64>,
    /// When the stage began.
    since: Cell<Instant>,
    /// When its next request has to be whole.
    due: Cell<Instant>,
    accepted: Instant,
    /// The earliest time at which it may have come, until its first request has been read.
    queued: Cell<Option<Instant>>,
    /// It has ended its sending.
    ended: Cell<bool>,
    close: Notify,
}

/// The ids of open requests. A second request under one of them could be taken for the first.
type OpenIds = Rc<RefCell<FxHashSet<Rc<str>>>>;

/// Holds an id until the request and its attempts have ended.
pub struct OpenId {
    ids: OpenIds,
    id: Rc<str>,
}

impl OpenId {
    fn take(ids: &OpenIds, id: &str) -> Option<Self> {
        let id: Rc<str> = id.into();
        ids.borrow_mut().insert(id.clone()).then(|| OpenId { ids: ids.clone(), id })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// What all connections share.
pub struct Frontend {
    pub inbox: Inbox,
    pub names: Names,
    pub classes: Vec<Class>,
    pub upstreams: Rc<Upstreams>,
    /// Sockets for clients and backends together.
    pub budget: usize,
    /// Whether the module has a list.
    pub ready: Rc<Cell<bool>>,
    next: Cell<u64>,
    draining: Cell<bool>,
    /// Connections, those of them with an open request, and the others by stage and age.
    open: Cell<usize>,
    busy: Cell<usize>,
    /// When the accept queue was last seen empty.
    empty: Cell<Instant>,
    standing: RefCell<[BTreeMap<u64, Rc<Client>>; SPARED.len()]>,
    ids: OpenIds,
    left: Notify,
}

impl Frontend {
    pub fn new(
        inbox: Inbox, names: Names, classes: Vec<Class>, upstreams: Rc<Upstreams>, budget: usize,
        ready: Rc<Cell<bool>>,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            inbox,
            names,
            classes,
            upstreams,
            budget,
            ready,
            next: Cell::new(0),
            draining: Cell::new(false),
            open: Cell::new(0),
            busy: Cell::new(0),
            empty: Cell::new(Instant::now()),
            standing: RefCell::default(),
            ids: OpenIds::default(),
            left: Notify::new(),
        })
    }

    /// Accepts and serves until `stop`, then finishes what has been taken.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let sweeper = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(SWEEP).await;
                sweeper.sweep();
            }
        });
        tokio::pin!(stop);
        loop {
            tokio::select! {
                biased;
                () = &mut stop => break,
                () = self.clone().accept(&listener) => {}
            }
        }
        // Idle connections close now: a request that crosses that comes again while connections still do.
        self.draining.set(true);
        self.close_all(Stage::Idle);
        let end = Instant::now() + STAY;
        while timeout_at(end, self.clone().accept(&listener)).await.is_ok() {}
        let end = Instant::now() + STAY; // a bound, should they never cease to come
        while Instant::now() < end && timeout(QUIET, self.clone().accept(&listener)).await.is_ok() {}
        drop(listener);
        sleep(SILENT).await;
        self.close_all(Stage::Silent);
        let longest = self.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let end = Instant::now() + Duration::from_secs_f64(longest.min(1e6) / 1000.0) + FINISH;
        while self.busy.get() > 0 {
            if timeout_at(end, self.left.notified()).await.is_err() {
                return note!("ended with connections open");
            }
        }
    }

    /// Connections that are let in: what backends leave of the budget, less a little for what they need next.
    fn most(&self) -> usize {
        self.budget - self.budget / NEXT - self.upstreams.in_use()
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        // Over the budget one leaves for each that comes, and if none can, the next waits a little for it. To
        // let them wait on would age all that come, until their answers are too late.
        let most = self.most();
        if self.open.get() >= most {
            let late = self.empty.get().elapsed() >= QUEUE;
            if self.make_room(late) || !late {
                let _ = timeout(PAUSE, self.left.notified()).await;
                return;
            }
            match timeout(Duration::ZERO, listener.accept()).await {
                Ok(Ok(turned_away)) => drop(turned_away),
                Ok(Err(_)) => sleep(PAUSE).await,
                Err(_) => self.empty.set(Instant::now()),
            }
            return;
        }
        let next = tokio::select! {
            biased;
            next = listener.accept() => next,
            () = std::future::ready(()) => {
                let next = listener.accept().await;
                self.empty.set(Instant::now()); // until this one came
                next
            }
        };
        match next {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true); // slower without, no worse
                if self.open.get() >= most * 7 / 8 {
                    self.make_room(false);
                }
                let now = Instant::now();
                let client = Rc::new(Client {
                    stage: Cell::new(Stage::Busy),
                    ticket: Cell::new(0),
                    since: Cell::new(now),
                    due: Cell::new(now + WHOLE),
                    accepted: now,
                    queued: Cell::new(Some(self.empty.get())),
                    ended: Cell::new(false),
                    close: Notify::new(),
                });
                self.open.set(self.open.get() + 1);
                self.busy.set(self.busy.get() + 1);
                self.turn(&client, Stage::Silent);
                tokio::task::spawn_local(async move {
                    self.connection(Rc::new(stream), &client).await;
                    self.turn(&client, Stage::Busy);
                    self.busy.set(self.busy.get() - 1);
                    self.open.set(self.open.get() - 1);
                    self.left.notify_waiters();
                });
            }
            // Out of descriptors or the like: make room, wait a moment, go on.
            Err(e) => {
                note!("accept: {e}");
                self.upstreams.close_idle();
                self.make_room(false);
                sleep(PAUSE).await;
            }
        }
    }

    /// Moves a connection to another stage.
    fn turn(&self, client: &Rc<Client>, stage: Stage) {
        let mut standing = self.standing.borrow_mut();
        match standing.get_mut(client.stage.get() as usize) {
            Some(old) => drop(old.remove(&client.ticket.get())),
            None => self.busy.set(self.busy.get() - 1),
        }
        client.ticket.set(self.number());
        client.stage.set(stage);
        client.since.set(Instant::now());
        match standing.get_mut(stage as usize) {
            Some(new) => drop(new.insert(client.ticket.get(), client.clone())),
            None => self.busy.set(self.busy.get() + 1),
        }
    }

    fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// Asks the one that is the first to give way to close, if any has stood long enough; it is asked once. With
    /// `late`, those that have sent nothing are not spared: who comes is at least as likely to.
    fn make_room(&self, late: bool) -> bool {
        let mut standing = self.standing.borrow_mut();
        for (stage, (all, spared)) in standing.iter_mut().zip(SPARED).enumerate() {
            let spared = if late && stage <= Stage::Silent as usize { Duration::ZERO } else { spared };
            let oldest = all.first_entry().filter(|e| e.get().since.get().elapsed() >= spared);
            if let Some(oldest) = oldest {
                oldest.remove().close.notify_one();
                return true;
            }
        }
        false
    }

    fn close_all(&self, stage: Stage) {
        self.standing.borrow()[stage as usize].values().for_each(|c| c.close.notify_one());
    }

    /// Closes the connections whose time is up.
    fn sweep(&self) {
        let now = Instant::now();
        let standing = self.standing.borrow();
        let unheard = [Stage::Silent, Stage::Begun];
        let unheard =
            unheard.iter().flat_map(|s| standing[*s as usize].values()).filter(|c| c.due.get() <= now);
        let idle = standing[Stage::Idle as usize].values();
        let idle = idle.take_while(|c| now - c.since.get() >= IDLE_MOST);
        unheard.chain(idle).for_each(|c| c.close.notify_one());
    }

    async fn connection(self: &Rc<Self>, stream: Rc<TcpStream>, client: &Rc<Client>) {
        let service = service_fn(|request| {
            let (front, client) = (self.clone(), client.clone());
            async move {
                if client.stage.get() == Stage::Idle {
                    client.due.set(Instant::now() + WHOLE); // its head came along with the request before
                }
                // A request that came while its connection was waiting to be accepted is as old as that.
                let queued = client.queued.take().filter(|_| client.accepted.elapsed() < GRACE);
                let came = queued.unwrap_or_else(Instant::now);
                front.turn(&client, Stage::Busy);
                let over = front.busy.get() > front.budget / BUSY.1 * BUSY.0;
                let mut response = if over {
                    plain(StatusCode::SERVICE_UNAVAILABLE, "too many connections")
                } else {
                    front.respond(request, came, client.due.get()).await
                };
                // Where one request was wrong, nobody knows where the next one would begin.
                if over || front.draining.get() || response.status().is_client_error() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                } else {
                    front.turn(&client, Stage::Idle);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let io = Heard { stream: stream.clone(), client: client.clone(), front: self.clone() };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(HEAD_SIZE)
            .serve_connection(TokioIo::new(io), service);
        tokio::pin!(connection);
        let mut cut = None;
        loop {
            let wait = cut.unwrap_or_else(Instant::now);
            tokio::select! {
                biased; // what has come in counts before a wish to close
                _ = connection.as_mut() => break,
                () = client.close.notified() => {
                    if matches!(client.stage.get(), Stage::Silent | Stage::Begun) {
                        return;
                    }
                    connection.as_mut().graceful_shutdown();
                    cut = cut.or(Some(Instant::now() + CUT));
                }
                // An answer that nobody reads would hold its socket for ever.
                () = sleep_until(wait), if cut.is_some() => {
                    if client.stage.get() != Stage::Busy {
                        return;
                    }
                    cut = Some(Instant::now() + CUT);
                }
            }
        }
        // Malformed HTTP has been answered by hyper; a client that left needs nothing.
        if !client.ended.get() {
            self.turn(client, Stage::Refused);
            tokio::select! {
                _ = timeout(LINGER.0, drain(&stream)) => {}
                () = client.close.notified() => {}
            }
        }
    }

    /// Answers a request that came at `came` and has to be whole when it is `due`.
    async fn respond(
        &self, request: Request<Incoming>, came: Instant, due: Instant,
    ) -> Response<Full<Bytes>> {
        if request.uri().path() == "/up" {
            let up = self.ready.get() && !self.draining.get();
            return plain(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let (head, body) = request.into_parts();
        let asked = match self.check(&head.method, &head.uri, &head.headers) {
            Ok(asked) => asked,
            Err((status, text)) => return plain(status, text),
        };
        // Its length lies or hides a second request where both are told: hyper shows only one of them.
        if head.headers.contains_key(header::TRANSFER_ENCODING) {
            return plain(StatusCode::LENGTH_REQUIRED, "the length must be told");
        }
        if body.size_hint().lower() > BODY as u64 {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        let Some(open) = OpenId::take(&self.ids, &asked.id) else {
            return plain(StatusCode::CONFLICT, "a request with this id is open");
        };
        let deadline = came + asked.patience;
        let body = match timeout_at(deadline.min(due), Limited::new(body, BODY).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body is malformed"),
            Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body came too late"),
        };
        let mut headers = head.headers;
        strip(&mut headers);
        let id = RequestId(self.number());
        let (answer, answered) = oneshot::channel();
        let message = Outgoing { method: head.method, uri: target(&head.uri), headers, body };
        let Asked { class, tenant, key, hint, .. } = asked;
        self.inbox.put(Input::Request(Box::new(Arrival {
            id,
            class,
            tenant,
            key,
            hint,
            deadline,
            message,
            answer,
            open,
        })));
        // Hyper drops this future when the client leaves.
        let mut leaves = Leaves { inbox: &self.inbox, id, waits: true };
        let answer = answered.await;
        leaves.waits = false;
        match answer {
            Ok(Answer::Served(reply)) => {
                let mut response = Response::new(Full::new(reply.body));
                *response.headers_mut() = reply.headers;
                response
            }
            Ok(Answer::Refused(after)) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again");
                if let Some(after) = after.and_then(|ms| format!("{:.3}", ms / 1000.0).parse().ok()) {
                    response.headers_mut().insert(header::RETRY_AFTER, after);
                }
                response
            }
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
        }
    }

    /// Reads what the module has to know; what can't be right goes no further.
    fn check(
        &self, method: &Method, uri: &Uri, headers: &HeaderMap,
    ) -> Result<Asked, (StatusCode, &'static str)> {
        let bad = |text| (StatusCode::BAD_REQUEST, text);
        let name = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.names.classes.iter().position(|c| c == name);
        let class = class.ok_or((StatusCode::NOT_FOUND, "no such class"))?;
        let wanted = if self.classes[class].effect == Effect::Safe { Method::GET } else { Method::POST };
        if *method != wanted {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class"));
        }
        let keyed = matches!(self.classes[class].effect, Effect::Keyed { .. });
        if keyed != one(headers, "idempotency-key")?.is_some() && *method == Method::POST {
            return Err(bad("Idempotency-Key does not fit the class"));
        }
        let id = one(headers, "x-request-id")?.filter(|id| !id.is_empty());
        let id = id.ok_or(bad("X-Request-ID is missing"))?.to_owned();
        let tenant = match one(headers, "x-tenant-id")? {
            _ if self.names.tenants.is_empty() => None,
            Some(name) => {
                let tenant = self.names.tenants.iter().position(|t| t == name);
                Some(TenantId(tenant.ok_or(bad("no such tenant"))?))
            }
            None => return Err(bad("X-Tenant-Id is missing")),
        };
        let number = |name: &'static str| -> Result<Option<f64>, _> {
            let Some(text) = one(headers, name)? else { return Ok(None) };
            let number = text.trim().parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
            number.map(Some).ok_or(bad("a header is no number"))
        };
        let patience = number("x-timeout")?.ok_or(bad("X-Timeout is missing"))?;
        let patience = Duration::from_secs_f64(patience.min(self.classes[class].deadline / 1000.0));
        let query = uri.query().unwrap_or_default();
        let sid = query.split('&').find_map(|p| p.strip_prefix("sid="));
        let hint = number("x-cost")?.map(|us| us / 1000.0);
        Ok(Asked { id, class: ClassId(class), tenant, key: sid.map(|s| Key(number_of(s))), hint, patience })
    }
}

/// What a request's head says.
struct Asked {
    id: String,
    class: ClassId,
    tenant: Option<TenantId>,
    key: Option<Key>,
    hint: Option<f64>,
    patience: Duration,
}

/// A client's socket. It notes when a request begins, and when the client has ended its sending.
struct Heard {
    stream: Rc<TcpStream>,
    client: Rc<Client>,
    front: Rc<Frontend>,
}

impl AsyncRead for Heard {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        std::task::ready!(poll_read(&self.stream, cx, buf))?;
        if buf.filled().len() == before {
            self.client.ended.set(true);
        }
        let stage = self.client.stage.get();
        if matches!(stage, Stage::Silent | Stage::Idle) {
            if stage == Stage::Idle {
                self.client.due.set(Instant::now() + WHOLE);
            }
            self.front.turn(&self.client, Stage::Begun);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Heard {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.stream, cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(end_sending(&self.stream))
    }
}

/// Ends the sending and reads on until the client ends its own, within bounds.
async fn drain(stream: &TcpStream) {
    if end_sending(stream).is_err() {
        return;
    }
    let mut buffer = vec![0; HEAD_SIZE];
    let mut left = LINGER.1;
    while left > 0 && stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(n) => left = left.saturating_sub(n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Tells the driver when the client leaves before its answer.
struct Leaves<'a> {
    inbox: &'a Inbox,
    id: RequestId,
    waits: bool,
}

impl Drop for Leaves<'_> {
    fn drop(&mut self) {
        if self.waits {
            self.inbox.put(Input::Gone(self.id));
        }
    }
}

/// A header that may stand once.
fn one<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, (StatusCode, &'static str)> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().map(|v| v.to_str()).transpose();
    match (value, values.next()) {
        (Ok(value), None) => Ok(value),
        _ => Err((StatusCode::BAD_REQUEST, "a header is malformed or stands twice")),
    }
}

/// Path and query alone, as they came, also of a request in absolute form.
fn target(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(Uri::default, |p| Uri::from(p.clone()))
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Listens on the one address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // a restart finds old connections in TIME_WAIT
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
