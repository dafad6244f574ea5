//! Types that the components of the daemon exchange. They are independent of the protocol: apart from what the
//! decision library must know, a request is an [`Exchange`] that is made and read only by code of its own protocol, so
//! that front ends of several protocols can share one driver and one decision library.

use std::any::Any;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use sandgap_driver::stalls::Stall;
pub use sandgap_driver::{Endpoint, Host, InFlightGuard};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;
use wharfhitch::{ClassId, Effect, Key, Millis, Outcome, RequestId, Scope, TenantId};

/// An event handled by the driver.
pub enum Input {
    /// A request has been read, except for the rest of a long body.
    Request(Box<Arrival>),
    /// The client of a request has disconnected.
    Disconnected(RequestId),
    /// The process shuts down: every accepted request is answered by this time.
    Shutdown(Instant),
    /// The last byte of a long request arrived from its client.
    Received(RequestId, Instant),
    /// A long request has been sent completely.
    Uploaded(RequestId),
    /// A long answer has started.
    Started {
        /// The request.
        request: RequestId,
        /// Attempt number, from 0.
        attempt: u32,
        /// The first part of the answer and the stream of the rest.
        reply: Reply,
    },
    /// The head of an answer has arrived, and its body is being written.
    Responding {
        /// The request.
        request: RequestId,
        /// Attempt number, from 0.
        attempt: u32,
    },
    /// The backend of an answer that has begun has paused.
    Paused {
        /// The request.
        request: RequestId,
        /// Attempt number, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// Attempt number, from 0.
        attempt: u32,
        /// Time since the request was sent.
        latency: Millis,
        /// How the attempt ended.
        outcome: Outcome,
        /// The answer, if the outcome is `Served`.
        reply: Option<Reply>,
    },
    /// The settings have changed.
    Change(Box<wharfhitch::Change>),
    /// Discovery has confirmed that nothing has changed.
    DiscoveryAlive,
    /// An update of the backend list, newer than all before.
    List(Scope, Vec<Host>),
    /// An update of the backend list that may be older than the known state.
    UncertainList(Scope, Vec<Host>),
    /// The list of the previous process, used until discovery has delivered one.
    PreviousList(Vec<Host>),
    /// Backends that are drained by hand, regardless of their state in the list. Replaces the ones before.
    ManualDrains {
        /// The backends' names.
        names: BTreeSet<String>,
        /// Notified once the drains and all earlier changes of settings and backends are in effect.
        in_effect: oneshot::Sender<()>,
    },
    /// A query for the attempts in flight.
    StatusQuery(Box<StatusQuery>),
    /// A message from another proxy.
    Datagram {
        /// Number of the sending proxy.
        from: u32,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
}

impl Input {
    /// Whether it updates which backends accept requests. Such an input depends on no other.
    pub fn is_backend_update(&self) -> bool {
        matches!(
            self,
            Input::DiscoveryAlive | Input::List(..) | Input::UncertainList(..) | Input::ManualDrains { .. }
        )
    }
}

/// A query for the attempts in flight. Its reply reflects all inputs queued before it.
pub struct StatusQuery {
    /// Backends whose attempts in flight are reported.
    pub in_flight_at: Vec<String>,
    /// Backends whose estimated concurrency limit is reported.
    pub limits_of: Vec<String>,
    /// Backends whose ended attempts are reported as one sum.
    pub cohort: Vec<String>,
    /// Channel for the reply.
    pub answer: oneshot::Sender<StatusReply>,
}

/// The reply to a [`StatusQuery`].
pub struct StatusReply {
    /// Attempts in flight at the requested backends.
    pub in_flight: Vec<(String, u32)>,
    /// Attempts in flight at all backends.
    pub in_flight_total: u32,
    /// Estimated concurrency limits, in thousandths of requests.
    pub limits: Vec<(String, u64)>,
    /// Pairs of ended attempts (served or failed) and failed attempts: first of the cohort, then of all backends.
    pub ended: [(u64, u64); 2],
}

/// A client's request: what the decision library has to know, and the protocol's part in `exchange`.
pub struct Arrival {
    /// Number of the request, never reused.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Whether the request may run more than once.
    pub effect: Effect,
    /// Maximum number of attempts that it may have in flight at once.
    pub max_concurrent_attempts: u32,
    /// Tenant, if tenants are configured.
    pub tenant: Option<TenantId>,
    /// Key of the object that the request is about.
    pub key: Option<Key>,
    /// Expected work.
    pub hint: Option<Millis>,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// For a long request, which may be forwarded while it is received: how long the client waits after its last byte.
    pub upload: Option<Duration>,
    /// The request as it is forwarded.
    pub exchange: Rc<dyn Exchange>,
    /// Checked before each attempt and at its first byte, if rules are agreed and the class requires a lease.
    pub lease: Option<Rc<dyn Lease>>,
    /// Channel for the single final answer.
    pub answer: oneshot::Sender<Answer>,
}

/// A permission to send that may expire at any time by the clock alone.
pub trait Lease {
    /// Whether a request may be sent under it now.
    fn holds(&self) -> bool;
}

/// A request in the form in which its protocol forwards it. It lives until its answer is given and its last attempt
/// has ended.
pub trait Exchange {
    /// Starts one attempt. It must write nothing once `attempt.wanted` is cleared, and it never sends twice. The
    /// attempt's report gives its outcome in every case.
    fn attempt(self: Rc<Self>, attempt: Attempt);

    /// Whether it can't be sent again because a part of it has been sent and was not kept.
    fn is_spent(&self) -> bool {
        false
    }
}

/// One attempt: its target, its time limits and its report.
pub struct Attempt {
    /// The backend to send to.
    pub endpoint: Rc<Endpoint>,
    /// Cleared once the request has been answered.
    pub wanted: Rc<Cell<bool>>,
    /// See [`Arrival::lease`].
    pub lease: Option<Rc<dyn Lease>>,
    /// When the attempt times out.
    pub until: Instant,
    /// Time by which the client's answer must be completely sent, unless it is a long one.
    pub answer_by: AnswerBy,
    /// No other attempt may be made beside it.
    pub is_alone: bool,
    /// For an attempt that may be a duplicate: from this time on nothing of it may be written.
    pub before: Option<Instant>,
    /// Asks for its end, if its answer has paused.
    pub give_up: Rc<GiveUp>,
    /// Reports how the attempt ended.
    pub report: Report,
}

/// Asks a running attempt to end if its answer has paused, so that another one may be sent.
#[derive(Default)]
pub struct GiveUp(Notify);

impl GiveUp {
    /// Asks for the end.
    pub fn request(&self) {
        self.0.notify_one();
    }

    /// Waits until the end is asked for.
    pub async fn requested(&self) {
        self.0.notified().await;
    }
}

/// The time by which a client's answer must be sent. It changes when a long request has been sent completely and
/// when the process shuts down.
pub struct AnswerBy {
    /// Zero of the driver's clock.
    pub start: Instant,
    /// Time after `start`.
    pub after: Rc<Cell<Duration>>,
}

impl AnswerBy {
    /// The current value.
    pub fn instant(&self) -> Instant {
        self.start + self.after.get()
    }
}

/// A backend's answer, for the front end of the same protocol.
pub type Reply = Box<dyn Any>;

/// The single final answer to a request.
pub type Answer = sandgap_driver::Answer<Reply>;

/// The operations that the driver needs from the upstream side of a protocol.
pub trait BackendPool {
    /// Closes the pooled connections of an endpoint that accepts no new requests.
    fn retire(&self, endpoint: &Endpoint);
    /// Closes expired idle connections; called about once a second.
    fn sweep(&self);
    /// The backends whose answers have begun to hang, or have gone on; called about once a second.
    fn review_stalls(&self) -> Vec<Stall>;
}

/// Reports the outcome of an attempt exactly once. An attempt dropped without an outcome is reported as reset, since
/// it may have run.
pub struct Report {
    input_sender: InputSender,
    request: RequestId,
    attempt: u32,
    sent: Instant,
    /// For a long answer, the time from the request's last byte to the answer's first.
    latency: Option<Millis>,
    is_sent: bool,
    /// Counts the attempt as in flight at its backend until it ends.
    holding: InFlightGuard,
}

impl Report {
    /// Creates the report of an attempt that starts now.
    pub fn new(input_sender: InputSender, request: RequestId, attempt: u32, holding: InFlightGuard) -> Self {
        Report {
            input_sender,
            request,
            attempt,
            sent: Instant::now(),
            latency: None,
            is_sent: false,
            holding,
        }
    }

    /// Number of the request.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Attempt number, from 0.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// When the attempt started or, for a long request, when its last byte was sent.
    pub fn sent(&self) -> Instant {
        self.sent
    }

    /// Reports that a long request has been sent completely: the backend's latency counts from here.
    pub fn uploaded(&mut self) {
        self.sent = Instant::now();
        self.input_sender.send(Input::Uploaded(self.request));
    }

    /// Reports that a long answer has started.
    pub fn started(&mut self, reply: Reply) {
        self.latency = Some(self.elapsed());
        let (request, attempt) = (self.request, self.attempt);
        self.input_sender.send(Input::Started { request, attempt, reply });
    }

    /// Reports that the head of an answer has arrived and its body is awaited.
    pub fn responding(&self) {
        self.input_sender.send(Input::Responding { request: self.request, attempt: self.attempt });
    }

    /// Reports that the backend of an answer that has begun has paused.
    pub fn paused(&self) {
        self.input_sender.send(Input::Paused { request: self.request, attempt: self.attempt });
    }

    fn elapsed(&self) -> Millis {
        self.sent.elapsed().as_secs_f64() * 1000.0
    }

    /// Reports the outcome.
    pub fn finish(mut self, outcome: Outcome, reply: Option<Reply>) {
        self.send(outcome, reply);
    }

    fn send(&mut self, outcome: Outcome, reply: Option<Reply>) {
        self.is_sent = true;
        match outcome {
            Outcome::Served => self.holding.ended(true),
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.holding.ended(false);
            }
            // These outcomes say nothing about the backend's health.
            Outcome::Full | Outcome::FullUnproven | Outcome::Cancelled | Outcome::NotSent => {}
        }
        let latency = self.latency.unwrap_or_else(|| self.elapsed());
        let (request, attempt) = (self.request, self.attempt);
        self.input_sender.send(Input::Ended { request, attempt, latency, outcome, reply });
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        if !self.is_sent {
            self.send(Outcome::Reset, None);
        }
    }
}

/// Sending end of the driver's input queue.
#[derive(Clone)]
pub struct InputSender(mpsc::UnboundedSender<Input>);

impl InputSender {
    /// Creates the queue and the receiver for the driver. The queue's length is bounded by the socket budget: each
    /// connection holds one request, and each request a few attempts.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (InputSender(sender), receiver)
    }

    /// Queues an input.
    pub fn send(&self, input: Input) {
        let _ = self.0.send(input); // fails only during shutdown
    }
}
