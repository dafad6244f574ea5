//! A small reverse proxy on hyper: round robin, pooled connections. Bare, it is what the proxy's cost is measured
//! against. Plain, it keeps drains and deadlines, and the ledger finds nothing wrong with it where backends do not
//! start cold. With a defect it breaks one rule, to show that the ledger sees it.

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
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use crate::limits::IDLE;

/// What is wrong with a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Kind {
    /// No rules, no deadlines: the yardstick.
    Bare,
    /// Drains and deadlines kept.
    Plain,
    /// Sends again whatever failed, unsafe requests too.
    Resends,
    /// Goes on sending to backends that drain.
    IgnoresDrains,
    /// Drops the answer of one request in fifty.
    DropsAnswers,
    /// Refuses what may have run.
    RefusesRan,
    /// Holds one answer in fifty back past its deadline.
    AnswersLate,
    /// Makes one answer in fifty up.
    Forges,
    /// Sends everything to the newest backend.
    PushesCold,
    /// Sends one request in fifty once more after its answer.
    SendsAfter,
}

/// Kinds with a defect.
pub const DEFECTS: [Kind; 8] = [
    Kind::Resends,
    Kind::IgnoresDrains,
    Kind::DropsAnswers,
    Kind::RefusesRan,
    Kind::AnswersLate,
    Kind::Forges,
    Kind::PushesCold,
    Kind::SendsAfter,
];

/// One request in so many meets a defect that would otherwise hide all others.
const SOME: u32 = 50;
/// An answer has to be on its way this long before the client gives up.
const MARGIN: Duration = Duration::from_millis(10);

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
    turn: Cell<usize>,
    count: Cell<u32>,
    listed: Cell<bool>,
}

/// Runs a relay by the platform's configuration until SIGTERM.
///
/// # Errors
/// A configuration or address that is of no use.
pub fn serve(kind: Kind, config: &Path) -> std::io::Result<()> {
    let config: Config = serde_json::from_str(&std::fs::read_to_string(config)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(config.listen).await?;
        let relay = Rc::new(Relay {
            kind,
            targets: RefCell::default(),
            pools: RefCell::default(),
            turn: Cell::new(0),
            count: Cell::new(0),
            listed: Cell::new(false),
        });
        spawn_local(relay.clone().follow(config.discovery));
        let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        loop {
            tokio::select! {
                _ = term.recv() => return Ok(()),
                next = listener.accept() => if let Ok((stream, _)) = next {
                    let _ = stream.set_nodelay(true);
                    spawn_local(relay.clone().connection(stream));
                },
            }
        }
    })
}

impl Relay {
    async fn follow(self: Rc<Self>, address: SocketAddr) {
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
            // Everything else is head or framing.
            if let Ok(list) = serde_json::from_str::<List>(&line) {
                self.take(list);
            }
        }
        Ok(())
    }

    fn take(&self, list: List) {
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
        self.listed.set(true);
    }

    fn target(&self) -> Option<SocketAddr> {
        let targets = self.targets.borrow();
        if self.kind == Kind::PushesCold
            && let Some(newest) = targets.iter().filter(|t| t.born_ms > 0).max_by_key(|t| t.born_ms)
        {
            return Some(newest.address);
        }
        let turn = self.turn.replace(self.turn.get().wrapping_add(1));
        (!targets.is_empty()).then(|| targets[turn % targets.len()].address)
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let relay = self.clone();
            async move { relay.answer(request).await.ok_or(std::io::Error::other("dropped")) }
        });
        let _ =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    /// Answers a request; `None` drops it with its connection.
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        if request.uri().path() == "/up" {
            let up = self.listed.get();
            return Some(plain(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
        }
        if self.kind == Kind::Bare {
            return Some(self.pass(request).await.unwrap_or_else(|()| plain(StatusCode::BAD_GATEWAY)));
        }
        let n = self.count.replace(self.count.get() + 1);
        let odd = n % SOME == SOME - 1;
        let wait = request.headers().get("x-timeout").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let wait = Duration::from_secs_f64(wait.unwrap_or(1.0).clamp(0.0, 60.0));
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let remake = || {
            let mut request = Request::new(Full::new(body.clone()));
            *request.method_mut() = head.method.clone();
            *request.uri_mut() = head.uri.clone();
            *request.headers_mut() = head.headers.clone();
            request
        };
        if odd && self.kind == Kind::Forges {
            return Some(Response::new(Full::new(Bytes::from_static(b"made up"))));
        }
        let tries = if self.kind == Kind::Resends { 3 } else { 1 };
        let until = tokio::time::Instant::now() + wait.saturating_sub(MARGIN);
        let mut response = Err(());
        for _ in 0..tries {
            let attempt = tokio::time::timeout_at(until, self.forward(remake()));
            response = attempt.await.unwrap_or(Err(()));
            if response.as_ref().is_ok_and(|r| r.status() == StatusCode::OK) {
                break;
            }
        }
        match self.kind {
            Kind::DropsAnswers if odd => return None,
            Kind::AnswersLate if odd => sleep(wait + Duration::from_millis(200)).await,
            Kind::SendsAfter if odd => {
                let (relay, again) = (self.clone(), remake());
                spawn_local(async move {
                    sleep(Duration::from_millis(150)).await;
                    let _ = relay.forward(again).await;
                });
            }
            _ => {}
        }
        Some(match response {
            Ok(r) if r.status() == StatusCode::OK => r,
            _ if self.kind == Kind::RefusesRan => plain(StatusCode::SERVICE_UNAVAILABLE),
            _ => plain(StatusCode::BAD_GATEWAY),
        })
    }

    /// Passes a request on with nothing looked at.
    async fn pass(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, ()> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(drop)?.to_bytes();
        self.forward(Request::from_parts(head, Full::new(body))).await
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
            let _ = connection.await; // its end shows at the next request
        });
        Some(sender)
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    if status != StatusCode::OK {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
