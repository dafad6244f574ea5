//! The words that the parts of the daemon exchange. They name no protocol: beside what the module must know,
//! a request is an [`Exchange`] that its own front made and only its own back reads, so that fronts of several
//! protocols can feed one driver and obey one module.

use std::any::Any;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use wharfhitch::{ClassId, Key, Millis, Outcome, RequestId, Scope, TenantId};

/// What happens outside the module.
pub enum Input {
    /// A whole request has been read.
    Request(Box<Arrival>),
    /// Its client has left.
    Gone(RequestId),
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// Its attempt, counted from 0.
        attempt: u32,
        /// Time since the send.
        latency: Millis,
        /// How it ended.
        outcome: Outcome,
        /// The answer, where it was served.
        reply: Option<Reply>,
    },
    /// News of the list.
    List(Scope, Vec<Host>),
    /// Another proxy's message.
    Datagram {
        /// Its number.
        from: u32,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
}

/// A client's request: what the module has to know, and the rest behind `exchange`.
pub struct Arrival {
    /// Its number, never used twice.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where requests have one.
    pub tenant: Option<TenantId>,
    /// What it concerns.
    pub key: Option<Key>,
    /// Its expected work.
    pub hint: Option<Millis>,
    /// When the client gives up.
    pub deadline: Instant,
    /// What goes to backends.
    pub exchange: Rc<dyn Exchange>,
    /// Takes the one final answer.
    pub answer: oneshot::Sender<Answer>,
}

/// A request in the form in which its protocol sends it on. It lives until its answer is given and its last
/// attempt has ended.
pub trait Exchange {
    /// Begins one attempt. It must write nothing once `attempt` says that it is not wanted, and never sends
    /// twice; the report tells how it ended, whatever happens.
    fn attempt(self: Rc<Self>, attempt: Attempt);
}

/// One attempt: where to, until when, and who is told.
pub struct Attempt {
    /// Where it goes.
    pub endpoint: Rc<Endpoint>,
    /// Cleared once the request has its answer.
    pub wanted: Rc<Cell<bool>>,
    /// When it is given up.
    pub until: Instant,
    /// Tells how it ended.
    pub report: Report,
}

/// A backend's whole answer, for the front of the same protocol.
pub type Reply = Box<dyn Any>;

/// The one final answer.
pub enum Answer {
    /// A backend's answer.
    Served(Reply),
    /// Trying again is harmless, after a while if one is named.
    Refused(Option<Millis>),
    /// No word on what was done.
    Failed,
}

/// One line of the list of backends.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name, the same at every proxy.
    pub host: String,
    /// Where it is reached; `None` if that can't be read.
    pub dial: Option<SocketAddr>,
    /// Its zone.
    pub site: Option<String>,
    /// Its kind of machine.
    pub class: Option<String>,
    /// Its cell.
    pub block: Option<u64>,
    /// `up`, `draining` or `removed`.
    pub health: String,
    /// Its rating.
    pub share: Option<f64>,
    /// Unix time of its start in milliseconds; 0 for long ago.
    pub born_ms: f64,
}

/// One process of a backend at one address. A restart or a new address makes a new one.
pub struct Endpoint {
    /// Never used twice in a process: what backs keep for an endpoint they file under it.
    pub number: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, see [`Host::born_ms`].
    pub born_ms: f64,
    open: Cell<bool>,
}

impl Endpoint {
    /// An endpoint that takes work.
    pub fn new(number: u64, address: SocketAddr, born_ms: f64) -> Rc<Self> {
        Rc::new(Endpoint { number, address, born_ms, open: Cell::new(true) })
    }

    /// Whether something new may go there: it neither drains, nor is it gone or replaced.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Opens or closes it; the backs are told apart, see [`Back::retire`].
    pub fn set_open(&self, open: bool) {
        self.open.set(open);
    }
}

/// What the driver asks of the senders of a protocol.
pub trait Back {
    /// An endpoint takes nothing new any more: what is pooled for it goes at once.
    fn retire(&self, endpoint: &Endpoint);
    /// A look at what has stood idle, about once a second.
    fn sweep(&self);
}

/// Tells how an attempt ended, exactly once: an attempt that dies on the way may have run.
pub struct Report {
    inbox: Inbox,
    request: RequestId,
    attempt: u32,
    sent: Instant,
    told: bool,
}

impl Report {
    /// A report on an attempt that begins now.
    pub fn new(inbox: Inbox, request: RequestId, attempt: u32) -> Self {
        Report { inbox, request, attempt, sent: Instant::now(), told: false }
    }

    /// When the attempt began.
    pub fn sent(&self) -> Instant {
        self.sent
    }

    /// Tells the end.
    pub fn tell(mut self, outcome: Outcome, reply: Option<Reply>) {
        self.put(outcome, reply);
    }

    fn put(&mut self, outcome: Outcome, reply: Option<Reply>) {
        self.told = true;
        let latency = self.sent.elapsed().as_secs_f64() * 1000.0;
        let (request, attempt) = (self.request, self.attempt);
        self.inbox.put(Input::Ended { request, attempt, latency, outcome, reply });
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        if !self.told {
            self.put(Outcome::Reset, None);
        }
    }
}

/// Where all parts put what they have seen.
#[derive(Clone)]
pub struct Inbox(mpsc::UnboundedSender<Input>);

impl Inbox {
    /// An inbox and the end that the driver reads. Its length is bounded by the budget of sockets: each
    /// connection holds one request, and each request a few attempts.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Inbox(sender), receiver)
    }

    /// Puts in what has been seen.
    pub fn put(&self, input: Input) {
        let _ = self.0.send(input); // fails only while the process ends
    }
}
