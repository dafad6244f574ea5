//! A small reverse proxy on hyper with round robin and pooled connections. [`Kind::Bare`] is the baseline for the
//! proxy's cost. [`Kind::Plain`] keeps drains and deadlines, and passes the ledger's checks as long as backends do not
//! start cold. Each other kind breaks one rule, to verify that the ledger detects it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use crate::limits::IDLE;

/// How a relay behaves, and which rule it breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Kind {
    /// No deadlines, and drains only as far as it takes drained backends off its list: the baseline for costs.
    Bare,
    /// Keeps drains and deadlines.
    Plain,
    /// Retries whatever failed, unsafe requests too.
    Resends,
    /// Keeps sending to backends that drain.
    IgnoresDrains,
    /// Drops the answer to one request in fifty, together with the connection.
    DropsAnswers,
    /// Answers 503, as if refused, after any failed attempt, although the request may have run.
    RefusesRan,
    /// Delays one answer in fifty past its deadline.
    AnswersLate,
    /// Forges one answer in fifty.
    Forges,
    /// Sends all requests to the backend that was started last.
    PushesCold,
    /// Sends one request in fifty a second time after it was answered.
    SendsAfter,
    /// Sends a safe request to a second backend when the first has not answered soon.
    Copies,
    /// Serves on for a long time after SIGTERM.
    EndsLate,
}

/// The kinds with a defect.
pub const DEFECTS: [Kind; 10] = [
    Kind::Resends,
    Kind::IgnoresDrains,
    Kind::DropsAnswers,
    Kind::RefusesRan,
    Kind::AnswersLate,
    Kind::Forges,
    Kind::PushesCold,
    Kind::SendsAfter,
    Kind::Copies,
    Kind::EndsLate,
];

/// Every 50th request is affected by the defects that would mask all other behaviour if they affected every request.
const DEFECT_INTERVAL: u32 = 50;
/// Time after SIGTERM of an end that is late.
const LATE_END: Duration = Duration::from_secs(8);
/// An answer takes long after this time.
const COPY_DELAY: Duration = Duration::from_millis(300);
/// Attempts end this long before the client's timeout, which is counted from the end of the request body.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
}

#[derive(Deserialize)]
struct List {
    whole: bool,
    hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct Host {
    host: String,
    dial: SocketAddr,
    health: String,
    born_ms: u64,
}

#[derive(Clone)]
struct Target {
    host: String,
    address: SocketAddr,
    born_ms: u64,
}

type Sender = SendRequest<Full<Bytes>>;

struct Relay {
    kind: Kind,
    targets: RefCell<Vec<Target>>,
    pools: RefCell<HashMap<SocketAddr, Vec<Sender>>>,
    next_turn: Cell<usize>,
    request_count: Cell<u32>,
    has_list: Cell<bool>,
}

/// Runs a relay until SIGTERM, with the platform's configuration from a JSON file.
///
/// # Errors
/// A configuration that can't be read, or an address that can't be listened on.
pub fn serve(kind: Kind, config: &Path) -> std::io::Result<()> {
    let config: Config = serde_json::from_str(&std::fs::read_to_string(config)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(config.listen).await?;
        let relay = Rc::new(Relay {
            kind,
            targets: RefCell::default(),
            pools: RefCell::default(),
            next_turn: Cell::new(0),
            request_count: Cell::new(0),
            has_list: Cell::new(false),
        });
        spawn_local(relay.clone().follow_discovery(config.discovery));
        let _reloads = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup())?; // none changes a relay
        let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        loop {
            tokio::select! {
                _ = term.recv() => if kind == Kind::EndsLate {
                    spawn_local(async { sleep(LATE_END).await; std::process::exit(0) });
                } else {
                    return Ok(());
                },
                next = listener.accept() => if let Ok((stream, _)) = next {
                    let _ = stream.set_nodelay(true);
                    spawn_local(relay.clone().connection(stream));
                },
            }
        }
    })
}

impl Relay {
    async fn follow_discovery(self: Rc<Self>, address: SocketAddr) {
        loop {
            if let Ok(stream) = TcpStream::connect(address).await {
                let _ = self.watch(stream).await;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn watch(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.write_all(b"GET /discovery/hosts?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n").await?;
        let mut lines = BufReader::new(stream).lines();
        while let Some(line) = lines.next_line().await? {
            // All other lines are the response head or chunk framing.
            if let Ok(list) = serde_json::from_str::<List>(&line) {
                self.update_targets(list);
            }
        }
        Ok(())
    }

    fn update_targets(&self, list: List) {
        let mut targets = self.targets.borrow_mut();
        if list.whole && self.kind != Kind::IgnoresDrains {
            targets.clear();
        }
        for h in list.hosts {
            if self.kind == Kind::IgnoresDrains && targets.iter().any(|t| t.host == h.host) {
                continue;
            }
            targets.retain(|t| t.host != h.host);
            if h.health == "up" {
                targets.push(Target { host: h.host, address: h.dial, born_ms: h.born_ms });
            }
        }
        self.has_list.set(true);
    }

    fn target(&self) -> Option<SocketAddr> {
        let targets = self.targets.borrow();
        if self.kind == Kind::PushesCold
            && let Some(newest) = targets.iter().filter(|t| t.born_ms > 0).max_by_key(|t| t.born_ms)
        {
            return Some(newest.address);
        }
        let turn = self.next_turn.replace(self.next_turn.get().wrapping_add(1));
        (!targets.is_empty()).then(|| targets[turn % targets.len()].address)
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let relay = self.clone();
            async move { relay.answer(request).await.ok_or(std::io::Error::other("request dropped")) }
        });
        let _ =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    /// Answers a request; `None` drops the request and its connection.
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        if request.uri().path() == "/up" {
            let up = self.has_list.get();
            return Some(empty_response(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
        }
        if self.kind == Kind::Bare {
            return Some(
                self.forward_unchanged(request)
                    .await
                    .unwrap_or_else(|()| empty_response(StatusCode::BAD_GATEWAY)),
            );
        }
        let n = self.request_count.replace(self.request_count.get() + 1);
        let defective = n % DEFECT_INTERVAL == DEFECT_INTERVAL - 1;
        let wait = request.headers().get("x-timeout").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let wait = Duration::from_secs_f64(wait.unwrap_or(1.0).clamp(0.0, 60.0));
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let copy_request = || {
            let mut request = Request::new(Full::new(body.clone()));
            *request.method_mut() = head.method.clone();
            *request.uri_mut() = head.uri.clone();
            *request.headers_mut() = head.headers.clone();
            request
        };
        if defective && self.kind == Kind::Forges {
            return Some(Response::new(Full::new(Bytes::from_static(b"made up"))));
        }
        let tries = if self.kind == Kind::Resends { 3 } else { 1 };
        let until = tokio::time::Instant::now() + wait.saturating_sub(RESPONSE_MARGIN);
        let mut response = Err(());
        for _ in 0..tries {
            let copies = self.kind == Kind::Copies && head.method == Method::GET;
            let attempt = async {
                if copies {
                    self.forward_copies(&copy_request).await
                } else {
                    self.forward(copy_request()).await
                }
            };
            response = tokio::time::timeout_at(until, attempt).await.unwrap_or(Err(()));
            if response.as_ref().is_ok_and(|r| r.status() == StatusCode::OK) {
                break;
            }
        }
        match self.kind {
            Kind::DropsAnswers if defective => return None,
            Kind::AnswersLate if defective => sleep(wait + Duration::from_millis(200)).await,
            Kind::SendsAfter if defective => {
                let (relay, again) = (self.clone(), copy_request());
                spawn_local(async move {
                    sleep(Duration::from_millis(150)).await;
                    let _ = relay.forward(again).await;
                });
            }
            _ => {}
        }
        Some(match response {
            Ok(r) if r.status() == StatusCode::OK => r,
            _ if self.kind == Kind::RefusesRan => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            _ => empty_response(StatusCode::BAD_GATEWAY),
        })
    }

    /// Forwards a request as it is.
    async fn forward_unchanged(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, ()> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(drop)?.to_bytes();
        self.forward(Request::from_parts(head, Full::new(body))).await
    }

    /// Forwards a request, and a copy of it to another backend if the answer takes long; the first answer counts.
    async fn forward_copies(
        &self, request: impl Fn() -> Request<Full<Bytes>>,
    ) -> Result<Response<Full<Bytes>>, ()> {
        let first = self.forward(request());
        tokio::pin!(first);
        tokio::select! {
            response = &mut first => return response,
            () = sleep(COPY_DELAY) => {}
        }
        tokio::select! {
            response = first => response,
            response = self.forward(request()) => response,
        }
    }

    async fn forward(&self, request: Request<Full<Bytes>>) -> Result<Response<Full<Bytes>>, ()> {
        let address = self.target().ok_or(())?;
        let mut sender = self.sender(address).await.ok_or(())?;
        let (mut head, body) = sender.send_request(request).await.map_err(drop)?.into_parts();
        let body = body.collect().await.map_err(drop)?.to_bytes();
        head.headers.remove(CONNECTION);
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(address).or_default();
        if pool.len() < IDLE {
            pool.push(sender);
        }
        Ok(Response::from_parts(head, Full::new(body)))
    }

    async fn sender(&self, address: SocketAddr) -> Option<Sender> {
        loop {
            let Some(mut sender) = self.pools.borrow_mut().get_mut(&address).and_then(Vec::pop) else {
                break;
            };
            if !sender.is_closed() && sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        let stream = timeout(Duration::from_millis(250), TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move {
            let _ = connection.await; // its end is noticed at the next request
        });
        Some(sender)
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    if status != StatusCode::OK {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
