//! The words that the parts of the daemon exchange. They name no protocol: beside what the module must know,
//! a request is an [`Exchange`] that its own front made and only its own back reads, so that fronts of several
//! protocols can feed one driver and obey one module.

use std::any::Any;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

pub use sandgap_driver::{Endpoint, Holding, Host};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use wharfhitch::{ClassId, Effect, Key, Millis, Outcome, RequestId, Scope, TenantId};

/// What happens outside the module.
pub enum Input {
    /// A whole request has been read.
    Request(Box<Arrival>),
    /// Its client has left.
    Gone(RequestId),
    /// This process ends: all that it has taken has its answer by then.
    End(Instant),
    /// The last byte of a long request came from its client.
    Received(RequestId, Instant),
    /// A long request has gone out whole.
    Uploaded(RequestId),
    /// A long answer has begun.
    Started {
        /// The request.
        request: RequestId,
        /// Its attempt, counted from 0.
        attempt: u32,
        /// What there is of the answer, and the rest as it comes.
        reply: Reply,
    },
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
    /// The settings have changed.
    Change(Box<wharfhitch::Change>),
    /// Discovery has shown that it has nothing new to tell.
    DiscoveryAlive,
    /// News of the list, newer than all before.
    List(Scope, Vec<Host>),
    /// News of the list that may be older than what is known.
    UncertainList(Scope, Vec<Host>),
    /// The list as a process before this one had it: for as long as discovery has told none.
    Remembered(Vec<Host>),
    /// Backends that are drained by hand, whatever the list says of them.
    Drains(BTreeSet<String>),
    /// Somebody asks what is under way.
    StatusQuery(Box<StatusQuery>),
    /// Another proxy's message.
    Datagram {
        /// Its number.
        from: u32,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
}

impl Input {
    /// Whether it tells which backends take work: it depends on no other input.
    pub fn is_news_of_backends(&self) -> bool {
        matches!(self, Input::DiscoveryAlive | Input::List(..) | Input::UncertainList(..) | Input::Drains(_))
    }
}

/// A question about what is under way. Its answer is of a moment after all that was put in before it.
pub struct StatusQuery {
    /// Backends of which the attempts are told.
    pub at: Vec<String>,
    /// Backends of which it is told what they are believed to hold.
    pub measured: Vec<String>,
    /// Backends of which the attempts that have ended are told together.
    pub cohort: Vec<String>,
    /// Who asks.
    pub answer: oneshot::Sender<StatusReply>,
}

/// Its answer.
pub struct StatusReply {
    /// Attempts at backends that have not come to their end.
    pub sights: Vec<(String, u32)>,
    /// The same at all backends.
    pub held: u32,
    /// What backends are believed to hold, in thousandths of requests.
    pub holds: Vec<(String, u64)>,
    /// Attempts that were served or failed, and those that failed: at the cohort, and at all.
    pub ended: [(u64, u64); 2],
}

/// A client's request: what the module has to know, and the rest behind `exchange`.
pub struct Arrival {
    /// Its number, never used twice.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Whether it may run again.
    pub effect: Effect,
    /// Its tenant, where requests have one.
    pub tenant: Option<TenantId>,
    /// What it concerns.
    pub key: Option<Key>,
    /// Its expected work.
    pub hint: Option<Millis>,
    /// When the client gives up.
    pub deadline: Instant,
    /// Of one that may go out while it still comes in: how long the client waits from its last byte.
    pub upload: Option<Duration>,
    /// What goes to backends.
    pub exchange: Rc<dyn Exchange>,
    /// Asked before each attempt and at its first byte, where rules are agreed and the class wants it.
    pub lease: Option<Rc<dyn Lease>>,
    /// Takes the one final answer.
    pub answer: oneshot::Sender<Answer>,
}

/// A right that may end at any moment by the clock alone.
pub trait Lease {
    /// Whether something may go out under it now.
    fn holds(&self) -> bool;
}

/// A request in the form in which its protocol sends it on. It lives until its answer is given and its last
/// attempt has ended.
pub trait Exchange {
    /// Begins one attempt. It must write nothing once `attempt` says that it is not wanted, and never sends
    /// twice; the report tells how it ended, whatever happens.
    fn attempt(self: Rc<Self>, attempt: Attempt);

    /// Whether it can't be sent again, as a part of it has gone out and is kept nowhere.
    fn is_spent(&self) -> bool {
        false
    }
}

/// One attempt: where to, until when, and who is told.
pub struct Attempt {
    /// Where it goes.
    pub endpoint: Rc<Endpoint>,
    /// Cleared once the request has its answer.
    pub wanted: Rc<Cell<bool>>,
    /// See [`Arrival::lease`].
    pub lease: Option<Rc<dyn Lease>>,
    /// When it is given up.
    pub until: Instant,
    /// When the client's answer has to be on its way whole, unless it is a long one.
    pub answer_by: AnswerBy,
    /// Nothing of it may be written from then on, if it may be a repeat.
    pub before: Option<Instant>,
    /// Tells how it ended.
    pub report: Report,
}

/// The time by which a client's answer has to be on its way. It moves when a long request has gone out and when the
/// process ends.
pub struct AnswerBy {
    /// The clock's zero.
    pub start: Instant,
    /// Counted from there.
    pub after: Rc<Cell<Duration>>,
}

impl AnswerBy {
    /// As it is set at present.
    pub fn instant(&self) -> Instant {
        self.start + self.after.get()
    }
}

/// A backend's whole answer, for the front of the same protocol.
pub type Reply = Box<dyn Any>;

/// The one final answer.
pub type Answer = sandgap_driver::Answer<Reply>;

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
    /// Time from the request's last byte to the answer's first, of a long one.
    latency: Option<Millis>,
    told: bool,
    /// Until its end it is under way at its backend.
    holding: Holding,
}

impl Report {
    /// A report on an attempt that begins now.
    pub fn new(inbox: Inbox, request: RequestId, attempt: u32, holding: Holding) -> Self {
        Report { inbox, request, attempt, sent: Instant::now(), latency: None, told: false, holding }
    }

    /// The request's number.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// When the attempt began.
    pub fn sent(&self) -> Instant {
        self.sent
    }

    /// Tells that a long request has gone out whole: its backend's time counts from here.
    pub fn uploaded(&mut self) {
        self.sent = Instant::now();
        self.inbox.put(Input::Uploaded(self.request));
    }

    /// Tells that a long answer has begun.
    pub fn started(&mut self, reply: Reply) {
        self.latency = Some(self.elapsed());
        let (request, attempt) = (self.request, self.attempt);
        self.inbox.put(Input::Started { request, attempt, reply });
    }

    fn elapsed(&self) -> Millis {
        self.sent.elapsed().as_secs_f64() * 1000.0
    }

    /// Tells the end.
    pub fn tell(mut self, outcome: Outcome, reply: Option<Reply>) {
        self.put(outcome, reply);
    }

    fn put(&mut self, outcome: Outcome, reply: Option<Reply>) {
        self.told = true;
        match outcome {
            Outcome::Served => self.holding.ended(true),
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.holding.ended(false);
            }
            // Nothing that a backend did well or badly.
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent => {}
        }
        let latency = self.latency.unwrap_or_else(|| self.elapsed());
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
