//! A whole fleet in virtual time: clients, a front, proxies with the daemon's own core and the real module,
//! servers, discovery, the network, faults. One thread, one calendar, one stream of chance a component.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use sandgap_driver::Endpoint;
use sandgap_rules::Stream as Rules;
use wharfhitch::{BackendId, Millis, Outcome as Ends};

use crate::calendar::{Calendar, MS, Nanos, SECOND, nanos};
use crate::file::Experiment;
use crate::limits::{IN_FLIGHT, SERVERS};
use crate::measure::{Measures, Outcome};
use crate::model::arrivals::{Load, Recorded, Source};
use crate::model::faults::{Happening, Mode, Step, mixed};
use crate::model::server::Server;
use crate::proxy::Proxy;
use crate::rivals::{PolicyKind, Truth};
use crate::streams::{Stream, stream};
use crate::window::Window;

/// Unix time at which virtual time is zero, ms: any, so long as births lie after 0.
const UNIX_ZERO: Millis = 1e12;
/// Looks for requests whose client has waited in vain are this far apart.
const SWEEP: Nanos = 50 * MS;
/// A client notes that nothing came this long after its deadline: late answers are seen as late until then.
const GIVES_UP: Nanos = 500 * MS;
/// Grace after a drain, as the platform states it, µs.
pub const GRACE_US: u64 = 500_000;
/// A proxy that is told to stop is out of the front's sight after this long.
const STOP_NOTICED: Nanos = 500 * MS;

/// A run that can't go on.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RunError {
    /// The load is far beyond what the fleet can do.
    #[error(
        "more than {IN_FLIGHT} requests in flight at {0} s: the load is far beyond the fleet; lower load.rate or clients.tries"
    )]
    Overrun(u64),
    /// More servers than records can number.
    #[error("more than {SERVERS} servers over the run; shorten it or lower the part that faults replace")]
    Servers,
    /// A recorded load names what the experiment does not have.
    #[error("the recorded load names {0} '{1}', which the experiment does not have")]
    Unknown(&'static str, String),
    /// A recorded load can't be read.
    #[error("{0}")]
    Recorded(String),
}

/// A run, drawn: the same plan gives the same run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The experiment at one point.
    pub experiment: Experiment,
    /// Who decides.
    pub policy: PolicyKind,
    /// The seed.
    pub seed: u64,
    /// What happens.
    pub steps: Vec<Step>,
    /// A recorded load, where that is what comes.
    pub recorded: Vec<Recorded>,
    /// Tasks that are asked, as ranges of their numbers; `None` for all.
    pub keep: Option<Vec<(u32, u32)>>,
}

impl Plan {
    /// Draws what happens.
    ///
    /// # Errors
    /// A recorded load that can't be read; `folder` is where its name starts from.
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

/// What a run tells on the way, for those who ask.
#[derive(Default)]
pub struct Trace {
    /// Whose story; `None` for everybody's.
    pub request: Option<u32>,
    /// Lines: when, which request (`u32::MAX` for none), what.
    pub lines: Vec<(Nanos, u32, String)>,
}

enum Event {
    Arrive,
    User(u32),
    Again(u32),
    FirstByte(u32),
    Deliver(u32),
    Done(u32, u32),
    Warm(u32),
    Reply(u32),
    TimedOut(u32),
    Due(u16, u16),
    Ask(u32),
    Leave(u32),
    Gone(u16, u16, u32),
    LateAnswer(u32, u32),
    Resend(u32),
    Step(u32),
    News(u16, u16, u32),
    Whole(u16, u16, u32),
    Datagram(u16, u32),
    Stop(u16, u16),
    Start(u16),
    FrontSees(u16, bool),
    Sweep,
}

/// A client's request.
struct Asked {
    task: Task,
    proxy: u16,
    process: u16,
    deadline: Nanos,
    /// Whether its proxy has read it.
    read: bool,
}

/// What a client wants, over all its tries.
#[derive(Clone, Copy)]
struct Task {
    number: u32,
    class: u16,
    tenant: u16,
    first: Nanos,
    tries: u32,
    user: u32,
    work: f64,
    patience: Nanos,
    leaves: Option<Nanos>,
}

const NOBODY: u32 = u32::MAX;

/// What has to hold at an attempt's first byte.
struct Gate {
    wanted: Rc<Cell<bool>>,
    endpoint: Rc<Endpoint>,
    before: Option<Duration>,
}

struct Out {
    request: u32,
    /// Its number at the core; `RAW` for what a defect sent.
    number: u32,
    proxy: u16,
    process: u16,
    server: u32,
    sent: Nanos,
    until: Nanos,
    work: f64,
    outcome: Ends,
    gate: Option<Gate>,
    /// Whether the proxy has its end.
    told: bool,
    /// Whether its server is done with it.
    over: bool,
}

const RAW: u32 = u32::MAX;

impl Out {
    /// An attempt of a proxy's process at a server, sent at a time and given up at another.
    fn new(request: u32, from: (u16, u16), server: u32, (sent, until): (Nanos, Nanos), work: f64) -> Self {
        Out {
            request,
            number: RAW,
            proxy: from.0,
            process: from.1,
            server,
            sent,
            until,
            work,
            outcome: Ends::Served,
            gate: None,
            told: false,
            over: false,
        }
    }
}

struct Place {
    server: Server,
    name: String,
    id: BackendId,
    group: usize,
    zone: Option<usize>,
    cell: u16,
    mode: Mode,
    lives: bool,
    health: &'static str,
    born_ms: f64,
    rating: f64,
    on_way: u32,
    idle: bool,
}

/// Everything.
struct Fleet<'a> {
    plan: &'a Plan,
    e: &'a Experiment,
    cal: Calendar<Event>,
    rules: Rules,
    places: Vec<Place>,
    proxies: Vec<Proxy>,
    requests: Window<Asked>,
    attempts: Window<Out>,
    again: Window<Task>,
    datagrams: Window<(u16, Vec<u8>)>,
    /// Changes of the list: which server, and its health from then on.
    changes: Vec<(u32, &'static str)>,
    silent: bool,
    loss: f64,
    cut: Vec<(u32, u32)>,
    processes: u16,
    tasks: u32,
    cells: u16,
    odd: Vec<&'static str>,
    source: Source,
    net: Stream,
    front: Stream,
    list: Stream,
    whims: Stream,
    truth: Rc<RefCell<Truth>>,
    wants_truth: bool,
    timing: Option<Rc<Cell<(f64, u64)>>>,
    measures: Measures,
    trace: Option<&'a mut Trace>,
    done: Vec<u32>,
    class_parts: Vec<f64>,
    tenant_parts: Vec<f64>,
    longest: Nanos,
}

/// Plays a plan to its end. `timed` adds what decisions cost in wall time, which is no part of a result.
///
/// # Errors
/// What a run can't go on with.
pub fn run(plan: &Plan, timed: bool, trace: Option<&mut Trace>) -> Result<Outcome, RunError> {
    let mut fleet = Fleet::new(plan, timed, trace)?;
    fleet.play()?;
    let decided = fleet.timing.as_ref().map(|t| t.get());
    let Fleet { rules, measures, odd, .. } = fleet;
    let verdict = rules.verdict();
    Ok(Outcome { measures, verdict, odd, decided })
}

/// Parts of a whole as a running sum.
fn parts(shares: impl Iterator<Item = f64>) -> Vec<f64> {
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

fn pick(parts: &[f64], x: f64) -> usize {
    parts.partition_point(|p| *p <= x).min(parts.len().saturating_sub(1))
}

fn us(at: Nanos) -> u64 {
    at / 1000
}

fn time(at: Nanos) -> Duration {
    Duration::from_nanos(at)
}

mod client;
mod lists;
mod play;
mod sends;
mod setup;
