//! What goes into the decision module and what comes out: settings, events and actions.
//!
//! Times are milliseconds on one clock that never runs backwards; spans are milliseconds too.

/// A point in time or a span, in milliseconds.
pub type Millis = f64;

/// A request, as numbered by the caller; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A server. Every proxy must use the same number for the same server (a hash of its name, say).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u64);

/// An index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// An index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// A zone of the network, as numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// A kind of machine, as numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub u32);

/// A handful of servers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u64);

/// The thing that a request concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Repeating it does no harm.
    Safe,
    /// Servers of one group drop a repeat, for a while after the first attempt was sent.
    Keyed {
        /// Who drops repeats.
        group: Group,
        /// For how long, from the send of the first attempt that may have run.
        window: Millis,
    },
    /// It must never run twice.
    Unsafe,
}

/// The servers among which a keyed request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// Those in the zone of the server tried first.
    Zone,
    /// Those in the cell of the server tried first.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this span earns the full worth.
    pub aim: Millis,
    /// The whole wait that a client is ready for.
    pub deadline: Millis,
    /// The aim extends by this multiple of a request's expected work, up to the deadline.
    pub aim_stretch: f64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// The fraction of the worth that a late answer still earns.
    pub late_worth: f64,
    /// Whether it may run more than once.
    pub effect: Effect,
}

/// A tenant and what it may ask for.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second over all proxies that count in full.
    pub allowance_per_s: f64,
}

/// How news of the server list arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Unasked.
    Pushed,
    /// Only after [`Action::Subscribe`] or [`Action::FetchList`].
    OnRequest,
}

/// What a server's rating tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rating {
    /// Nothing.
    Silent,
    /// Its size, exactly or nearly so.
    Size,
    /// Its size, lowered by what it held a while ago.
    Live,
}

/// What the bench or the operator charges for, as a part of the worth of a mean request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
}

/// The figures of the rules that every proxy keeps. Two rules need none: nothing is sent to a server from
/// the moment that its drain or end is told, and no request has two attempts out at once.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A fresh server has at least this part of its capacity.
    pub start_capacity: f64,
    /// And all of it after this span at the latest.
    pub cold: Millis,
    /// Sent more than this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for this span, a cold server falls over.
    pub fall: Millis,
    /// Requests that may be held unanswered at once.
    pub most_held: usize,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
}

/// What a proxy is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This proxy's number, from 0.
    pub me: u32,
    /// How many proxies share the servers.
    pub proxies: u32,
    /// Where this proxy stands.
    pub zone: Option<ZoneId>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// The worth of a request beyond its tenant's allowance, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// Whether worth is counted per unit of work instead of per request.
    pub worth_by_work: bool,
    /// How the server list arrives.
    pub discovery: Discovery,
    /// What ratings tell.
    pub rating: Rating,
    /// Whether a server that met a key does less work for it.
    pub warm_keys: bool,
    /// Whether messages between proxies are allowed.
    pub may_tell: bool,
    /// Prices.
    pub prices: Prices,
    /// Figures of the rules.
    pub limits: Limits,
}

/// The state of a server on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Up,
    /// Finishes what it holds.
    Draining,
    /// Left the list.
    Gone,
}

/// One line of the server list.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Which server.
    pub id: BackendId,
    /// Where it stands.
    pub zone: Option<ZoneId>,
    /// Its kind of machine.
    pub kind: Option<KindId>,
    /// Its cell.
    pub cell: Option<CellId>,
    /// Its state.
    pub state: State,
    /// Its rating, see [`Settings::rating`].
    pub rating: f64,
    /// When it last started; `None` if long ago.
    pub since: Option<Millis>,
}

/// How far a list update reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed lines only.
    Delta,
    /// The whole list: what it lacks has left.
    Full,
    /// The whole list as last seen before a restart, perhaps stale.
    Cached,
    /// The call failed; the old list stands.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The server answered with an error.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the attempt may have had its effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// Settings that take the place of others while requests are open.
#[derive(Clone, Debug)]
pub struct Change {
    /// All of them. Classes are by number, with those that only open requests hold.
    pub settings: Settings,
    /// By class number, whether requests may still come for it.
    pub live: Vec<bool>,
    /// Numbers that are new, or given anew as no request holds them, with the class that each was before under
    /// other figures, if any: what was learned of that holds on.
    pub fresh: Vec<(ClassId, Option<ClassId>)>,
}

/// What a proxy sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    List {
        /// How far it reaches.
        scope: Scope,
        /// Its lines.
        entries: Vec<Backend>,
    },
    /// The settings have changed. Rules of a class number never change while requests hold it.
    Settings(Box<Change>),
    /// A request has come in and is owed exactly one final answer.
    Request {
        /// Its number.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: Option<TenantId>,
        /// What it concerns.
        key: Option<Key>,
        /// How long the client waits.
        budget: Millis,
        /// Its expected work on a standard core.
        hint: Option<Millis>,
    },
    /// A long request has gone out in part: its server does nothing for it until its last byte has come.
    Uploading(RequestId),
    /// It has gone out whole, or never will.
    Uploaded {
        /// The request.
        request: RequestId,
        /// How long the client waits from now on; 0 where the request can't be sent again.
        budget: Millis,
    },
    /// A streamed answer has begun: the client owns it now.
    Started {
        /// The request.
        request: RequestId,
        /// Its attempt, counted from 0 in the order of sends.
        attempt: u32,
    },
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: u32,
        /// Time since the send.
        latency: Millis,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request is finished.
        closed: bool,
    },
    /// The client has gone; no answer is owed any more.
    Abandoned(RequestId),
    /// A timer set with [`Action::Timer`] is due.
    Timer(u64),
    /// Another proxy's message.
    Message {
        /// Its number.
        from: u32,
        /// What it said.
        bytes: Vec<u8>,
    },
}

/// What a proxy is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        backend: BackendId,
        /// When to give the attempt up; `None` is the client's patience.
        timeout: Option<Millis>,
        /// Nothing of it may go out later: from then on nobody would drop it as the repeat that it may be.
        before: Option<Millis>,
    },
    /// Final answer: refused; a retry does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it tries again.
        retry_after: Option<Millis>,
    },
    /// Final answer: failed; no word on what was done.
    Fail(RequestId),
    /// Give [`Event::Timer`] back at a time.
    Timer {
        /// What to give back.
        token: u64,
        /// When.
        at: Millis,
    },
    /// Send a message of at most 256 bytes to every other proxy.
    Broadcast(Vec<u8>),
    /// Subscribe to list changes.
    Subscribe,
    /// Ask for the whole list once.
    FetchList,
}
