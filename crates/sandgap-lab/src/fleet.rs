//! Simulates a whole fleet in virtual time: clients, a front (the load balancer in front of the proxies), proxies that
//! run the daemon's own driver core with the real decision library or a baseline policy, servers, discovery, the
//! network and faults. A run uses one thread, one event calendar, and separate random streams for each component, task
//! and think time.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use sandgap_driver::Endpoint;
use sandgap_rules::StreamingChecker as RuleChecker;
use wharfhitch::{BackendId, Millis, Outcome as AttemptOutcome};

use crate::calendar::{Calendar, MS, Nanos, SECOND, nanos};
use crate::file::Experiment;
use crate::limits::{IN_FLIGHT, SERVERS};
use crate::measure::{Measures, Outcome};
use crate::model::arrivals::{Load, Recorded, Source};
use crate::model::faults::{Mode, Step, StepAction, mixed};
use crate::model::server::Server;
use crate::proxy::Proxy;
use crate::rivals::{PolicyKind, Truth};
use crate::streams::{Stream, stream};
use crate::window::Window;

/// Unix time at which virtual time is zero, ms. Any value works as long as server start times are above 0.
const UNIX_EPOCH_OFFSET_MS: Millis = 1e12;
/// Interval between two searches for requests whose client has given up.
const EXPIRY_INTERVAL: Nanos = 50 * MS;
/// How long past its deadline a client still listens, so that a late answer is recorded as late and not as none.
const LATE_ANSWER_WAIT: Nanos = 500 * MS;
/// Time after a drain notice in which attempts may still be sent, as the platform states it, µs.
pub const DRAIN_GRACE_US: u64 = 500_000;
/// Delay between a proxy's stop request and the moment it stops accepting; the front removes it within this span.
const STOP_DELAY: Nanos = 500 * MS;

/// Why a run was aborted.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RunError {
    /// The load far exceeds the fleet's capacity; the value is the virtual second at which it was seen.
    #[error(
        "more than {IN_FLIGHT} requests in flight at {0} s: the load is far beyond the fleet; lower load.rate or clients.tries"
    )]
    Overrun(u64),
    /// The run needs more servers (or proxy processes) than the records can number.
    #[error(
        "more than {SERVERS} servers or 65535 proxy processes over the run; shorten it, or let faults replace fewer servers or restart fewer proxies"
    )]
    Servers,
    /// A recorded load names a class or tenant that the experiment does not define.
    #[error("the recorded load names {0} '{1}', which the experiment does not have")]
    Unknown(&'static str, String),
    /// A recorded load could not be read.
    #[error("{0}")]
    Recorded(String),
}

/// Everything that determines a run: the same plan gives the same run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The experiment at one point of its sweeps.
    pub experiment: Experiment,
    /// The policy that decides.
    pub policy: PolicyKind,
    /// The seed of all random streams.
    pub seed: u64,
    /// Fault actions, by time.
    pub steps: Vec<Step>,
    /// The lines of a recorded load; empty for other kinds of load.
    pub recorded: Vec<Recorded>,
    /// Tasks that are submitted, as half-open ranges of their numbers; `None` for all.
    pub keep: Option<Vec<(u32, u32)>>,
}

impl Plan {
    /// Draws the fault schedule and reads the recorded load, if any, whose path is relative to `folder`.
    ///
    /// # Errors
    /// If the recorded load can't be read.
    pub fn draw(
        experiment: &Experiment, policy: PolicyKind, seed: u64, folder: &std::path::Path,
    ) -> Result<Self, RunError> {
        let mut rng = stream(seed, "faults", 0);
        let servers: u32 = experiment.servers.iter().map(|g| g.count).sum();
        let proxies = experiment.fleet.proxies;
        let mut steps = Vec::new();
        experiment.faults.iter().for_each(|f| f.draw(servers, proxies, &mut rng, &mut steps));
        if experiment.mixed_faults {
            let span = nanos((experiment.warm_seconds + experiment.seconds) * 1000.0);
            steps.extend(mixed(servers, proxies, span, &mut rng));
        }
        steps.sort_by_key(|s| s.at);
        let recorded = match &experiment.load {
            Load::Replay { file, .. } => {
                crate::model::arrivals::recorded(&folder.join(file)).map_err(RunError::Recorded)?
            }
            _ => Vec::new(),
        };
        Ok(Plan { experiment: experiment.clone(), policy, seed, steps, recorded, keep: None })
    }
}

/// An optional trace of a run.
#[derive(Default)]
pub struct Trace {
    /// The request to trace; `None` for all of them.
    pub request: Option<u32>,
    /// Trace lines: time, request (`u32::MAX` for none) and text.
    pub lines: Vec<(Nanos, u32, String)>,
}

/// An event of the calendar.
enum Event {
    /// The next request of the load arrives.
    Arrival,
    /// A user of a closed load submits its next task: the user.
    UserReady(u32),
    /// A client retries: the number of its task in [`Fleet::retries`].
    Retry(u32),
    /// The first byte of an attempt is about to be sent: the attempt.
    FirstByte(u32),
    /// An attempt reaches its server: the attempt.
    Delivery(u32),
    /// A server completes a request: the server and the stamp of the announcement, to detect an outdated one.
    Completion(u32, u32),
    /// A cold server's capacity grows by a step: the server.
    WarmStep(u32),
    /// The end of an attempt reaches its proxy: the attempt.
    AttemptEnd(u32),
    /// A proxy abandons an attempt: the attempt.
    AttemptTimeout(u32),
    /// A timer of a proxy's core is due: the proxy and its process.
    Timer(u16, u16),
    /// A proxy reads a request: the request.
    ReadRequest(u32),
    /// A client disconnects: the request.
    ClientLeaves(u32),
    /// A proxy learns that a client has disconnected: the proxy, its process and the request.
    ClientGone(u16, u16, u32),
    /// A defect sends an answer after the deadline: the request and its attempt that was answered, `NOT_OF_CORE` for
    /// none.
    LateAnswer(u32, u32),
    /// A defect sends a request once more: the attempt.
    Resend(u32),
    /// A fault action is due: its index in the plan's steps.
    PlanStep(u32),
    /// A change of the server list reaches a proxy: the proxy, its process and the version of the list.
    ListChange(u16, u16, u32),
    /// The present whole server list reaches a proxy: the proxy, its process and the version that it is marked with,
    /// `u32::MAX` for the present one.
    FullList(u16, u16, u32),
    /// A message of another proxy arrives: the receiving proxy and the datagram.
    Datagram(u16, u32),
    /// A proxy stops accepting requests, since it restarts: the proxy and its process.
    ProxyStop(u16, u16),
    /// A proxy starts a new process: the proxy.
    ProxyStart(u16),
    /// The front adds a proxy to its rotation or removes it: the proxy and whether it is up.
    FrontNotices(u16, bool),
    /// Requests whose client has given up are ended.
    EndExpired,
}

/// A client's request that is still unanswered.
struct PendingRequest {
    task: Task,
    proxy: u16,
    process: u16,
    deadline: Nanos,
    /// Whether its proxy has read the request.
    read: bool,
}

/// A unit of work that a client wants done, over all its tries.
#[derive(Clone, Copy)]
struct Task {
    number: u32,
    class: u16,
    tenant: u16,
    first_try: Nanos,
    /// Retries so far, by the client or by [`Defect::Resends`](crate::defects::Defect::Resends).
    retries: u32,
    user: u32,
    work: f64,
    patience: Nanos,
    /// The client disconnects this long after the start of each try, unless the try ends earlier; `None` if it does not.
    leaves_after: Option<Nanos>,
}

/// The `user` of a task from an open load.
const NO_USER: u32 = u32::MAX;

/// What must hold when an attempt's first byte is about to be sent.
struct SendCondition {
    wanted: Rc<Cell<bool>>,
    endpoint: Rc<Endpoint>,
    write_before: Option<Duration>,
}

/// An attempt at a server.
struct AttemptState {
    request: u32,
    /// Its number at the core; `NOT_OF_CORE` for an attempt sent by a defect.
    number: u32,
    proxy: u16,
    process: u16,
    server: u32,
    sent: Nanos,
    until: Nanos,
    work: f64,
    outcome: AttemptOutcome,
    condition: Option<SendCondition>,
    /// Whether the proxy was told how it ended.
    reported: bool,
    /// Whether the server is done with it.
    finished: bool,
}

/// The number of an attempt that the core does not know of.
const NOT_OF_CORE: u32 = u32::MAX;

impl AttemptState {
    /// An attempt of a proxy's process at a server, with the times at which it is sent and abandoned.
    fn new(request: u32, from: (u16, u16), server: u32, (sent, until): (Nanos, Nanos), work: f64) -> Self {
        AttemptState {
            request,
            number: NOT_OF_CORE,
            proxy: from.0,
            process: from.1,
            server,
            sent,
            until,
            work,
            outcome: AttemptOutcome::Served,
            condition: None,
            reported: false,
            finished: false,
        }
    }
}

/// A server and what the simulator knows about it.
struct ServerState {
    server: Server,
    name: String,
    id: BackendId,
    group: usize,
    zone: Option<usize>,
    cell: u16,
    mode: Mode,
    running: bool,
    health: &'static str,
    born_ms: f64,
    rating: f64,
    /// Attempts that were sent and have not arrived yet.
    in_transit: u32,
    /// Whether it was announced as idle in [`Truth`] since the last attempt was sent to it.
    idle: bool,
}

/// The state of a run.
struct Fleet<'a> {
    plan: &'a Plan,
    experiment: &'a Experiment,
    calendar: Calendar<Event>,
    rules: RuleChecker,
    servers: Vec<ServerState>,
    proxies: Vec<Proxy>,
    requests: Window<PendingRequest>,
    attempts: Window<AttemptState>,
    /// Tasks that wait for their next try.
    retries: Window<Task>,
    datagrams: Window<(u16, Vec<u8>)>,
    /// The change log of the server list: the server and its new health.
    changes: Vec<(u32, &'static str)>,
    discovery_silent: bool,
    /// Part of the datagrams that is lost at present.
    loss: f64,
    /// Pairs of a proxy and a server: the proxy's new attempts at the server are lost.
    partitions: Vec<(u32, u32)>,
    processes: u16,
    tasks: u32,
    cells: u16,
    /// Kinds of violations that the driver core reported, each once.
    violations: Vec<&'static str>,
    source: Source,
    network_rng: Stream,
    front_rng: Stream,
    discovery_rng: Stream,
    choices_rng: Stream,
    truth: Rc<RefCell<Truth>>,
    wants_truth: bool,
    timing: Option<Rc<Cell<(f64, u64)>>>,
    measures: Measures,
    trace: Option<&'a mut Trace>,
    /// A buffer for completed attempts, kept for its capacity.
    completed_buffer: Vec<u32>,
    class_distribution: Vec<f64>,
    tenant_distribution: Vec<f64>,
    longest_deadline: Nanos,
}

/// Runs a plan to its end. `timed` also measures the wall time of decisions, which is returned but kept out of the
/// reproducible results.
///
/// # Errors
/// If the run has to be aborted; see [`RunError`].
pub fn run(plan: &Plan, timed: bool, trace: Option<&mut Trace>) -> Result<Outcome, RunError> {
    let mut fleet = Fleet::new(plan, timed, trace)?;
    fleet.run_events()?;
    let decided = fleet.timing.as_ref().map(|t| t.get());
    let Fleet { rules, measures, violations, .. } = fleet;
    let verdict = rules.verdict();
    Ok(Outcome { measures, verdict, violations, decided })
}

/// The cumulative distribution of shares, normalised to 1.
fn cumulative_shares(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut all: Vec<f64> = shares
        .map(|s| {
            sum += s;
            sum
        })
        .collect();
    all.iter_mut().for_each(|p| *p /= sum.max(1e-300));
    all
}

/// The index that a uniform draw `x` from [0, 1) selects in a cumulative distribution.
fn pick_index(distribution: &[f64], x: f64) -> usize {
    distribution.partition_point(|p| *p <= x).min(distribution.len().saturating_sub(1))
}

fn micros(at: Nanos) -> u64 {
    at / 1000
}

fn duration(at: Nanos) -> Duration {
    Duration::from_nanos(at)
}

mod attempts;
mod client;
mod discovery;
mod events;
mod setup;
