//! Clients: reads whole requests, checks them, and gives each exactly one final answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use wharfhitch::settings::{Names, number_of};
use wharfhitch::{Class, ClassId, Effect, Key, RequestId, TenantId};

use crate::driver::{Answer, Arrival, Inbox, Input};
use crate::note;
use crate::upstream::{BODY, Outgoing, Upstreams, strip};

/// A head must be whole after this span; it also bounds how long a connection stands idle.
const HEAD: Duration = Duration::from_secs(60);
const HEAD_SIZE: usize = 64 << 10;
const BACKLOG: u32 = 1024;
/// After SIGTERM connections still come for up to 0.4 s.
const LINGER: Duration = Duration::from_millis(500);
/// Then the accept queue counts as empty once nothing comes for this span.
const QUIET: Duration = Duration::from_millis(20);
/// A connection that has sent nothing is waited for this much longer.
const SILENT: Duration = Duration::from_millis(200);
/// What the last answers may take to go out, after the longest deadline.
const FINISH: Duration = Duration::from_millis(200);
/// A connection asked to close that neither reads nor writes for this span is cut.
const CUT: Duration = Duration::from_secs(1);
/// Span within which a new connection's first request is waited for when sockets run short.
const FIRST: Duration = Duration::from_secs(2);
/// Wait after a failed accept, lest it spin.
const PAUSE: Duration = Duration::from_millis(10);

/// What is known of a connection.
struct Client {
    busy: Cell<bool>,
    /// It has had an answer. Before that its first request may be on the way at any moment.
    used: Cell<bool>,
    since: Cell<Instant>,
    close: Notify,
}

/// What all connections share.
pub struct Frontend {
    pub inbox: Inbox,
    pub names: Names,
    pub classes: Vec<Class>,
    pub upstreams: Rc<Upstreams>,
    /// Connections that are served; the few beyond it are only refused.
    pub most: usize,
    /// Whether the module has a list.
    pub ready: Rc<Cell<bool>>,
    next: Cell<u64>,
    draining: Cell<bool>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    left: Notify,
}

impl Frontend {
    pub fn new(
        inbox: Inbox, names: Names, classes: Vec<Class>, upstreams: Rc<Upstreams>, most: usize,
        ready: Rc<Cell<bool>>,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            inbox,
            names,
            classes,
            upstreams,
            most,
            ready,
            next: Cell::new(0),
            draining: Cell::new(false),
            clients: RefCell::default(),
            left: Notify::new(),
        })
    }

    /// Accepts and serves until `stop`, then finishes what has been taken.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
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
        self.close_idle(usize::MAX, Duration::MAX);
        let end = Instant::now() + LINGER;
        while timeout_at(end, self.clone().accept(&listener)).await.is_ok() {}
        let end = Instant::now() + LINGER; // a bound, should they never cease to come
        while Instant::now() < end && timeout(QUIET, self.clone().accept(&listener)).await.is_ok() {}
        drop(listener);
        sleep(SILENT).await;
        self.close_idle(usize::MAX, Duration::ZERO);
        let longest = self.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let end = Instant::now() + Duration::from_secs_f64(longest.min(1e6) / 1000.0) + FINISH;
        while self.clients.borrow().values().any(|c| c.busy.get()) {
            if timeout_at(end, self.left.notified()).await.is_err() {
                return note!("ended with connections open");
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        // Over the budget only a few are let in, to be refused; the rest wait until one has left.
        if self.clients.borrow().len() >= self.most + self.most / 8 {
            self.close_idle(1, FIRST);
            let _ = timeout(PAUSE, self.left.notified()).await;
            return;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true); // slower without, no worse
                if self.clients.borrow().len() >= self.most * 7 / 8 {
                    self.close_idle(1, FIRST);
                }
                let id = self.next.replace(self.next.get() + 1);
                let client = Rc::new(Client {
                    busy: Cell::new(false),
                    used: Cell::new(false),
                    since: Cell::new(Instant::now()),
                    close: Notify::new(),
                });
                self.clients.borrow_mut().insert(id, client.clone());
                tokio::task::spawn_local(async move {
                    self.connection(stream, client).await;
                    self.clients.borrow_mut().remove(&id);
                    self.left.notify_waiters();
                });
            }
            // Out of descriptors or the like: make room, wait a moment, go on.
            Err(e) => {
                note!("accept: {e}");
                self.upstreams.close_idle();
                self.close_idle(1, FIRST);
                sleep(PAUSE).await;
            }
        }
    }

    /// Asks up to `most` connections that stand between requests to close, those idle longest first. One that
    /// has had no request yet is spared for a while: to close it would lose the request on its way.
    fn close_idle(&self, most: usize, spare: Duration) {
        let clients = self.clients.borrow();
        let idle = |c: &&Rc<Client>| !c.busy.get() && (c.used.get() || c.since.get().elapsed() >= spare);
        let mut idle: Vec<&Rc<Client>> = clients.values().filter(idle).collect();
        idle.sort_by_key(|c| c.since.get());
        idle.into_iter().take(most).for_each(|c| c.close.notify_one());
    }

    async fn connection(self: &Rc<Self>, stream: TcpStream, client: Rc<Client>) {
        let over = self.clients.borrow().len() > self.most;
        let service = service_fn(|request| {
            let (front, client) = (self.clone(), client.clone());
            async move {
                client.busy.set(true);
                let mut response = if over {
                    plain(StatusCode::SERVICE_UNAVAILABLE, "too many connections")
                } else {
                    front.respond(request).await
                };
                if over || front.draining.get() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                } else {
                    client.busy.set(false);
                }
                client.used.set(true);
                client.since.set(Instant::now());
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD)
            .max_buf_size(HEAD_SIZE)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut cut = None;
        loop {
            let wait = cut.unwrap_or_else(|| Instant::now() + HEAD);
            tokio::select! {
                biased; // what has come in counts before a wish to close
                // Malformed HTTP has been answered by hyper; a client that left needs nothing.
                _ = connection.as_mut() => return,
                () = client.close.notified() => {
                    connection.as_mut().graceful_shutdown();
                    cut = cut.or(Some(Instant::now() + CUT));
                }
                // A half-sent head or an answer that nobody reads would hold its socket for ever.
                () = sleep_until(wait), if cut.is_some() => {
                    if !client.busy.get() {
                        return;
                    }
                    cut = Some(Instant::now() + CUT);
                }
            }
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let came = Instant::now();
        if request.uri().path() == "/up" {
            let up = self.ready.get() && !self.draining.get();
            return plain(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let (head, body) = request.into_parts();
        let asked = match self.check(&head.method, &head.uri, &head.headers) {
            Ok(asked) => asked,
            Err((status, text)) => return plain(status, text),
        };
        let deadline = came + asked.patience;
        let body = match timeout_at(deadline, Limited::new(body, BODY).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body is malformed"),
            Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body came too late"),
        };
        let mut headers = head.headers;
        strip(&mut headers);
        let id = RequestId(self.next.replace(self.next.get() + 1));
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
        if one(headers, "x-request-id")?.is_none_or(str::is_empty) {
            return Err(bad("X-Request-ID is missing"));
        }
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
        Ok(Asked { class: ClassId(class), tenant, key: sid.map(|s| Key(number_of(s))), hint, patience })
    }
}

/// What a request's head says.
struct Asked {
    class: ClassId,
    tenant: Option<TenantId>,
    key: Option<Key>,
    hint: Option<f64>,
    patience: Duration,
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
