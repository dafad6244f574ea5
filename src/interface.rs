//! Interface of the decision module: settings, events and actions.
//!
//! Times are milliseconds on one monotonic clock; durations are milliseconds too.

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;

/// Number of a request, assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Number of a server. Every proxy must use the same number for the same server, for example a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u64);

/// An index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassId(pub usize);

/// An index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// Number of a network zone, assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// Number of a kind of machine, assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub u32);

/// A small group of servers that drop each other's duplicates of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u64);

/// Number of the object that a request is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Repeating the request is harmless.
    Safe,
    /// Servers of one group drop duplicates for a limited time after the first attempt was sent.
    Keyed {
        /// The servers that drop duplicates.
        group: Group,
        /// Dedup window, counted from the send of the first attempt that may have run.
        window: Millis,
    },
    /// The request must never run twice.
    Unsafe,
}

/// The servers among which a keyed request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers in the zone of the server tried first.
    Zone,
    /// The servers in the cell of the server tried first.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Millis,
    /// The time after which the client gives up.
    pub deadline: Millis,
    /// The aim is extended by this multiple of a request's expected work, up to the deadline.
    pub aim_stretch: f64,
    /// Worth of an answer within the aim.
    pub worth: f64,
    /// Fraction of the worth that a late answer still earns.
    pub late_worth: f64,
    /// Whether a request of this class may run more than once.
    pub effect: Effect,
}

/// A tenant and its allowance.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, over all proxies, that have their full worth.
    pub allowance_per_s: f64,
}

/// How updates of the server list arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Without being requested.
    Pushed,
    /// Only after [`Action::Subscribe`] or [`Action::FetchList`].
    OnRequest,
}

/// What a server's rating means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rating {
    /// Nothing: there is no usable rating.
    Silent,
    /// The server's size, at least approximately.
    Size,
    /// The server's size, reduced by its load some time ago.
    Live,
}

/// Costs charged by the benchmark or the operator, as a fraction of the worth of a mean request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// Cost of an attempt that crosses zones.
    pub cross_zone: f64,
}

/// Parameters of the rules that every proxy follows. One rule has no parameter: nothing is sent to a server once its
/// drain or removal is announced.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Fraction of its capacity that a newly started server has at least.
    pub start_capacity: f64,
    /// Time after which a started server has its full capacity at the latest.
    pub cold_ms: Millis,
    /// A cold server falls over if it is sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_ms: Millis,
    /// Maximum number of unanswered requests.
    pub max_held: usize,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight at once; otherwise it may have one.
    pub second_copies: bool,
    /// Whether an attempt may be given up although its client still waits.
    pub may_cancel: bool,
}

impl Limits {
    /// Maximum number of attempts that one request may have in flight at once.
    pub fn max_concurrent_attempts(&self) -> u32 {
        if self.second_copies { 2 } else { 1 }
    }
}

/// Settings of a proxy, given at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This proxy's number, counted from 0.
    pub proxy_index: u32,
    /// Number of proxies that share the servers.
    pub proxies: u32,
    /// This proxy's zone.
    pub zone: Option<ZoneId>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// The worth of a request beyond its tenant's allowance, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// Whether worth counts per unit of work instead of per request.
    pub worth_by_work: bool,
    /// How updates of the server list arrive.
    pub discovery: Discovery,
    /// What ratings mean.
    pub rating: Rating,
    /// Whether a server does less work for a key that it has served before.
    pub warm_keys: bool,
    /// Whether messages between proxies are allowed.
    pub messages_allowed: bool,
    /// Costs that placement takes into account.
    pub prices: Prices,
    /// Parameters of the rules.
    pub limits: Limits,
}

/// The state of a server on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts requests.
    Up,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The server.
    pub id: BackendId,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its kind of machine.
    pub kind: Option<KindId>,
    /// Its cell.
    pub cell: Option<CellId>,
    /// Its state.
    pub state: State,
    /// Its rating, see [`Settings::rating`].
    pub rating: f64,
    /// Time of its last start; `None` if that was long ago.
    pub since: Option<Millis>,
}

/// Scope of a list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Only the changed entries.
    Delta,
    /// The whole list: servers missing from it are removed.
    Full,
    /// The last list seen before a restart, possibly stale.
    Cached,
    /// The discovery call failed; the old list remains in force.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered successfully.
    Served,
    /// The server answered with an error.
    Error,
    /// Rejected without being processed, because the server was full.
    Full,
    /// Rejected like [`Outcome::Full`], but the rejection may have been sent for an earlier request on the connection, so that
    /// the attempt may have run.
    FullUnproven,
    /// No answer arrived in time.
    TimedOut,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection broke after the request was sent.
    Reset,
    /// Cancelled.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
    }

    /// Whether the server has rejected the attempt because it was full.
    pub fn is_rejection(self) -> bool {
        matches!(self, Outcome::Full | Outcome::FullUnproven)
    }
}

/// New settings, applied while requests are open.
#[derive(Clone, Debug)]
pub struct Change {
    /// The complete settings. Classes are indexed by number, including those used by open requests only.
    pub settings: Settings,
    /// For each class number, whether it still accepts requests.
    pub live: Vec<bool>,
    /// Class numbers that are new, or reused because no request holds them, each with the class whose learned values
    /// carry over, if any: the same class under its earlier figures.
    pub new_classes: Vec<(ClassId, Option<ClassId>)>,
}

/// Input of a proxy.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the server list.
    List {
        /// Its scope.
        scope: Scope,
        /// Its entries.
        entries: Vec<Backend>,
    },
    /// The settings have changed. The rules of a class number never change while requests hold it.
    Settings(Box<Change>),
    /// A request has arrived. It must get exactly one final answer.
    Request {
        /// Its number.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: Option<TenantId>,
        /// The object that it is about.
        key: Option<Key>,
        /// Time that the client waits.
        budget: Millis,
        /// Its expected work on a reference core.
        hint: Option<Millis>,
    },
    /// A long request is partly sent; its server does not work on it until the last byte has arrived.
    Uploading(RequestId),
    /// The upload has completed or was abandoned.
    Uploaded {
        /// The request.
        request: RequestId,
        /// Time that the client waits from now on; 0 if the request cannot be sent again.
        budget: Millis,
    },
    /// The answer has begun to reach the client and can no longer be replaced.
    Started {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0 in the order of sends.
        attempt: u32,
    },
    /// The head of an answer has arrived, and its server is writing the body.
    Responding {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// The server of an answer that has begun has paused. It may go on: another attempt may be made beside this one, if
    /// the settings permit it.
    Paused {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// The answers of a server in a class begin and then hang, or go on again. Each report of a stall names one more.
    Stalled {
        /// The server.
        backend: BackendId,
        /// The class.
        class: ClassId,
        /// Whether they hang.
        is_stalled: bool,
    },
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// Time from the send to the end.
        latency: Millis,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request is finished.
        closed: bool,
    },
    /// The client has disconnected; no answer is needed any more.
    Abandoned(RequestId),
    /// A timer set with [`Action::Timer`] is due.
    Timer(u64),
    /// A message from another proxy.
    Message {
        /// Its number.
        from: u32,
        /// Its content.
        bytes: Vec<u8>,
    },
}

/// Output of a proxy, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        backend: BackendId,
        /// Time after which to give up the attempt; `None` to wait as long as the client does.
        timeout: Option<Millis>,
        /// No part of it may be sent after this time, when the servers no longer drop duplicates of the request.
        before: Option<Millis>,
    },
    /// Give up an attempt whose answer has paused, so that another one may be sent: its connection is closed, and its end
    /// is reported as [`Outcome::Cancelled`]. Nothing is done if its server is known to go on after such pauses, or the
    /// request can't be sent again.
    GiveUpPaused {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: refused; the client may safely retry.
    Refuse {
        /// The request.
        request: RequestId,
        /// Time that the client should wait before it retries.
        retry_after: Option<Millis>,
    },
    /// Final answer: failed; the request may or may not have taken effect.
    Fail(RequestId),
    /// Deliver [`Event::Timer`] at a given time.
    Timer {
        /// Token of the event.
        token: u64,
        /// Time of delivery.
        at: Millis,
    },
    /// Send a message of at most 256 bytes to every other proxy.
    Broadcast(Vec<u8>),
    /// Subscribe to list changes.
    Subscribe,
    /// Request the whole list once.
    FetchList,
}
