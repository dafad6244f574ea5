//! The plan of a run: requests, and faults at counts of requests. No I/O and no clock: the same scenario and seed give the
//! same schedule on any machine. The load has a rate in time; faults follow the count of requests.

use std::time::Duration;

use fastrand::Rng;
use serde::Serialize;

use crate::clock::Micros;
use crate::machine::{Build, ColdRule};
use crate::system_faults::SystemFaults;
use sandgap_rules::Effect;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name, which is the first part of the path of its requests.
    pub name: &'static str,
    /// Whether its requests may run more than once.
    pub effect: Effect,
    /// The response time aimed at, ms.
    pub aim_ms: f64,
    /// The longest time that a client waits, ms.
    pub deadline_ms: f64,
    /// Mean work on a standard core, ms.
    pub work_ms: f64,
    /// The worth of a response in time.
    pub worth: f64,
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Request {
    /// When it is sent, µs after the start of the load.
    pub at: Micros,
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant in [`TENANTS`].
    pub tenant: usize,
    /// The key in its query (`sid`): what it concerns.
    pub sid: u64,
    /// How long its client waits, ms.
    pub timeout_ms: f64,
    /// Its work on a standard core, ms.
    pub work_ms: f64,
    /// Random number by which the front selects the proxy.
    pub deal: u32,
    /// The client leaves after this time, ms, if it does.
    pub leaves_ms: Option<f64>,
    /// Bytes of its body, if it is a long one.
    pub upload: Option<usize>,
    /// Time in which the client writes it, if it is slow, ms.
    pub write_ms: Option<f64>,
    /// Whether the client stops within the request and keeps the connection open.
    pub stops: bool,
}

/// The behaviour of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Works normally.
    Normal,
    /// Accepts requests and never responds.
    Hang,
    /// Needs this many times as long.
    Slow(f64),
    /// Fails this part of its requests, from 0 to 1, at once.
    FastErrors(f64),
    /// Resets connections when they are opened.
    ResetBefore,
    /// Resets a connection when the first bytes of a request arrive.
    ResetDuring,
    /// Runs a request, then resets the connection.
    ResetAfter,
    /// Closes the connection within its responses.
    CutAnswer,
    /// Responds with bytes that are not HTTP.
    Noise,
    /// Refuses connections.
    Refuse,
    /// Works normally, but closes connections that are idle for a moment.
    ClosesIdle,
    /// Does not react: new connections are never established, and established ones are silent.
    BlackHole,
    /// Works normally, but sends some answers that no request asked for.
    SecondAnswers(SecondAnswers),
    /// Works normally, but sends more bytes than declared in this part of its answers, from 0 to 1.
    LongBodies(f64),
    /// Works normally, but pauses for this time within the head of its answers, ms.
    SplitHeads(f64),
    /// Works normally, but pauses within the body of this part of its answers, from 0 to 1, for this time, ms.
    PausesInBody(f64, f64),
}

/// Answers that no request asked for: each follows a due answer on the same connection, and is that answer once more, a
/// rejection or an error.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SecondAnswers {
    /// The part of the answers that are followed by another one, from 0 to 1.
    pub share: f64,
    /// The shortest time after the due answer, ms.
    pub earliest_ms: f64,
    /// The longest time after the due answer, ms.
    pub latest_ms: f64,
}

/// A fault or a change during a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A backend changes its behaviour.
    Mode(usize, Mode),
    /// Discovery reports that a backend drains.
    Drain(usize),
    /// Discovery reports that a backend accepts requests again.
    Undrain(usize),
    /// A backend ends and discovery removes it from the list.
    Remove(usize),
    /// A new backend starts cold and discovery adds it to the list.
    Join(usize),
    /// Discovery becomes silent to all proxies (true), or ends that (false).
    DiscoverySilent(bool),
    /// Discovery becomes silent to one proxy (true), or ends that (false).
    DiscoverySplit(usize, bool),
    /// Discovery sends an old list.
    DiscoveryStale,
    /// Discovery sends a malformed line.
    DiscoveryBroken,
    /// Discovery ends all watches.
    DiscoveryEnds,
    /// The parts of datagrams between proxies, from 0 to 1, that are lost, late (after the next one) and duplicated.
    Datagrams(f64, f64, f64),
    /// A proxy's configuration is rewritten with other values; SIGHUP.
    Reload(usize),
    /// A proxy's configuration is rewritten without the retired class; SIGHUP.
    DropClass(usize),
    /// The same with discovery at another address.
    MoveDiscovery(usize),
    /// SIGTERM; the proxy is started again after it has ended.
    Term(usize),
    /// SIGKILL.
    Kill(usize),
    /// The proxy is started after a kill.
    Start(usize),
    /// SIGSTOP.
    Stop(usize),
    /// SIGCONT.
    Continue(usize),
    /// The front takes a proxy that does not respond out of service.
    FrontNotices(usize),
}

/// A fault and the count of requests at which it happens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Step {
    /// It happens just before the request of this index is sent.
    pub at: usize,
    /// The fault.
    pub fault: Fault,
}

/// The drawn plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenario's name.
    pub scenario: &'static str,
    /// The seed.
    pub seed: u64,
    /// Classes.
    pub classes: Vec<Class>,
    /// A class that proxies start with and that is dropped by [`Fault::DropClass`]; no request is of it.
    pub retired_class: Option<Class>,
    /// Proxies.
    pub proxies: usize,
    /// Number of backends that are up from the start; those that join later have higher numbers.
    pub initial: usize,
    /// Machines by backend.
    pub machines: Vec<Build>,
    /// Behaviour of cold backends.
    pub cold: ColdRule,
    /// Whether proxies have to poll discovery instead of watching it.
    pub asked: bool,
    /// Whether a request may have two attempts at once.
    pub second_copies: bool,
    /// Requests, in order.
    pub requests: Vec<Request>,
    /// Faults, in order.
    pub steps: Vec<Step>,
    /// System calls of the proxies that fail.
    pub system_faults: SystemFaults,
}

/// Longest deadline that counts for the time after SIGTERM, ms.
const LONGEST_COUNTED_DEADLINE_MS: f64 = 3000.0;
/// Time beyond that deadline after which a process that was told to end may be killed.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

impl Plan {
    /// How long after SIGTERM a proxy's process is killed, at the earliest: by then the retired class has been dropped.
    pub fn time_to_end(&self) -> Duration {
        let longest = self.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        Duration::from_secs_f64(longest.min(LONGEST_COUNTED_DEADLINE_MS) / 1000.0) + KILL_AFTER_DEADLINE
    }
}

/// Name of the retired class.
pub const RETIRED_CLASS: &str = "exam";
/// Number of backends in a cell.
pub const CELL: usize = 3;
/// Time after a proxy was told of a drain in which it may still send to the backend, ms.
pub const GRACE_MS: u64 = 500;
/// Backends drop repeats of a keyed request within this time, ms.
pub const WINDOW_MS: u64 = 2500;
/// The tenants of every scenario.
pub const TENANTS: [&str; 2] = ["noord", "zuid"];

/// The classes of every scenario.
pub fn classes() -> Vec<Class> {
    let class = |name, effect, aim_ms, work_ms, worth| Class {
        name,
        effect,
        aim_ms,
        deadline_ms: aim_ms * 2.5,
        work_ms,
        worth,
    };
    vec![
        class("page", Effect::Safe, 500.0, 20.0, 3.0),
        class("submit", Effect::Unsafe, 900.0, 36.0, 3.0),
        class("booking", Effect::Keyed(WINDOW_MS * 1000), 450.0, 18.0, 10.0),
    ]
}

/// A scenario: its name, its purpose, and how its faults are drawn.
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// A short description.
    pub about: &'static str,
    add_faults: fn(&mut PlanBuilder),
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    Scenario { name: "calm", about: "no faults: the cost of normal operation", add_faults: |_| {} },
    Scenario {
        name: "backend-faults",
        about: "each fault of a backend, in sequence",
        add_faults: backend_faults,
    },
    Scenario {
        name: "drains",
        about: "drains, undrains and removals in quick succession, at full load",
        add_faults: drains,
    },
    Scenario {
        name: "cold-starts",
        about: "backends replaced by cold ones, two at a time",
        add_faults: cold_starts,
    },
    Scenario {
        name: "discovery",
        about: "discovery silent, stale, split, broken, and watches ended",
        add_faults: discovery,
    },
    Scenario {
        name: "discovery-asked",
        about: "the same with proxies that poll discovery",
        add_faults: discovery_asked,
    },
    Scenario {
        name: "datagrams",
        about: "datagrams between proxies lost, late and duplicated",
        add_faults: datagrams,
    },
    Scenario { name: "restarts", about: "proxies stopped, killed and restarted", add_faults: restarts },
    Scenario { name: "pauses", about: "proxies suspended for a while", add_faults: pauses },
    Scenario {
        name: "wrong-weights",
        about: "the list states capacities that are wrong by up to 10 times; some backends are slow",
        add_faults: wrong_weights,
    },
    Scenario {
        name: "demo",
        about: "one backend hangs for a while, one drains and is replaced",
        add_faults: demo,
    },
    Scenario { name: "mixed", about: "all of these at once", add_faults: mixed },
    Scenario {
        name: "second-answers",
        about: "backends send answers that no request asked for, beside drains, restarts and reloads",
        add_faults: second_answers,
    },
    Scenario {
        name: "dropped-class",
        about: "proxies drop the class with the longest deadline, later restart, and no backend answers meanwhile",
        add_faults: dropped_class,
    },
    Scenario {
        name: "paused-answers",
        about: "backends pause within answers, where one attempt or two are permitted at once",
        add_faults: paused_answers,
    },
    Scenario {
        name: "crossings",
        about: "two or three simultaneous faults of proxies, backends, discovery, clients and system calls",
        add_faults: crossings,
    },
];

/// The scenario with a name.
pub fn scenario(name: &str) -> Option<&'static Scenario> {
    SCENARIOS.iter().find(|s| s.name == name)
}

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Requests.
    pub requests: usize,
    /// Requests per second.
    pub rate: f64,
    /// Proxies.
    pub proxies: usize,
    /// Backends at the start.
    pub backends: usize,
}

impl Default for Size {
    fn default() -> Self {
        Size { requests: 2400, rate: 400.0, proxies: 3, backends: 12 }
    }
}

/// Builds a plan from random numbers.
struct PlanBuilder {
    rng: Rng,
    plan: Plan,
}

impl Scenario {
    /// Draws the plan for a seed.
    pub fn plan(&self, seed: u64, size: Size) -> Plan {
        let name = self.name.bytes().fold(0u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        let mut rng = Rng::with_seed(seed ^ name.rotate_left(32));
        let classes = classes();
        let requests = requests(&mut rng, &classes, size);
        let machines = (0..size.backends).map(|_| machine(&mut rng)).collect();
        let cold = ColdRule { start: 0.3, warm_ms: 2500.0, multiple: 2.5, span_ms: 1500.0 };
        let plan = Plan {
            scenario: self.name,
            seed,
            classes,
            retired_class: None,
            proxies: size.proxies,
            initial: size.backends,
            machines,
            cold,
            asked: false,
            second_copies: true,
            requests,
            steps: Vec::new(),
            system_faults: SystemFaults::default(),
        };
        let mut builder = PlanBuilder { rng, plan };
        (self.add_faults)(&mut builder);
        builder.plan.steps.sort_by_key(|s| s.at);
        builder.plan
    }
}

fn machine(rng: &mut Rng) -> Build {
    // Two kinds: large and fast, small and slow.
    match rng.u32(0..3) {
        0 => Build { cores: 4, speed: 1.4 + 0.4 * rng.f64(), queue: 4, share: 4.0 },
        _ => Build { cores: 3, speed: 0.8 + 0.2 * rng.f64(), queue: 4, share: 3.0 },
    }
}

fn requests(rng: &mut Rng, classes: &[Class], size: Size) -> Vec<Request> {
    let mut at = 0.0;
    let draw = |_| {
        at += -(1.0 - rng.f64()).ln() / size.rate;
        let class = [0, 0, 0, 1, 1, 1, 2, 2, 2, 2][rng.usize(0..10)];
        let c = &classes[class];
        Request {
            at: (at * 1e6) as Micros,
            class,
            tenant: usize::from(rng.u32(0..100) >= 72),
            sid: rng.u64(0..500),
            timeout_ms: c.deadline_ms * (0.4 + 0.6 * rng.f64()),
            work_ms: c.work_ms * (0.7 + 0.6 * rng.f64()),
            deal: rng.u32(..),
            leaves_ms: (rng.u32(0..100) == 0).then(|| c.work_ms * 2.0 * rng.f64()),
            upload: None,
            write_ms: None,
            stops: false,
        }
    };
    (0..size.requests).map(draw).collect()
}

impl PlanBuilder {
    fn add_step(&mut self, at: usize, fault: Fault) {
        let at = at.min(self.plan.requests.len().saturating_sub(1));
        self.plan.steps.push(Step { at, fault });
    }

    /// A span of requests within the run whose length, in percent of the run, is drawn from a range.
    fn draw_span(&mut self, percent: (usize, usize)) -> (usize, usize) {
        let n = self.plan.requests.len();
        let length = n * self.rng.usize(percent.0..=percent.1) / 100;
        let from = self.rng.usize(n / 20..=(n - length - n / 20).max(n / 20));
        (from, from + length)
    }

    fn draw_backend(&mut self) -> usize {
        self.rng.usize(0..self.plan.initial)
    }

    /// Sets a mode of a backend for a drawn span.
    fn set_mode(&mut self, backend: usize, mode: Mode, percent: (usize, usize)) {
        let (from, to) = self.draw_span(percent);
        self.add_step(from, Fault::Mode(backend, mode));
        self.add_step(to, Fault::Mode(backend, Mode::Normal));
    }

    /// All faulty modes, with drawn parameters.
    fn faulty_modes(&mut self) -> [Mode; 10] {
        [
            Mode::Hang,
            Mode::Slow(2.0 + 4.0 * self.rng.f64()),
            Mode::FastErrors(0.5 + 0.5 * self.rng.f64()),
            Mode::ResetBefore,
            Mode::ResetDuring,
            Mode::ResetAfter,
            Mode::CutAnswer,
            Mode::Noise,
            Mode::Refuse,
            Mode::BlackHole,
        ]
    }

    /// A backend drains if `drain`, ends, and is replaced by a cold one.
    fn replace(&mut self, backend: usize, at: usize, drain: bool) {
        let n = self.plan.requests.len();
        if drain {
            self.add_step(at, Fault::Drain(backend));
        }
        let gone = at + n / 4; // well after the grace, so that attempts that ignore the drain are detected
        self.add_step(gone, Fault::Remove(backend));
        let machine = machine(&mut self.rng);
        self.plan.machines.push(machine);
        let new = self.plan.machines.len() - 1;
        let joins = gone + self.rng.usize(0..=n / 40);
        self.add_step(joins, Fault::Join(new));
    }

    /// Backends drain and accept requests again after at most `most` requests.
    fn drain_and_undrain(&mut self, times: usize, most: usize) {
        let n = self.plan.requests.len();
        for _ in 0..times {
            let (backend, at) = (self.draw_backend(), self.rng.usize(n / 20..n * 9 / 10));
            self.add_step(at, Fault::Drain(backend));
            let back = at + self.rng.usize(1..=most);
            self.add_step(back, Fault::Undrain(backend));
        }
    }

    /// A proxy is killed and started again; the front takes it out of service some time after the kill.
    fn kill(&mut self, proxy: usize, at: usize) {
        let n = self.plan.requests.len();
        self.add_step(at, Fault::Kill(proxy));
        self.add_step(at + n / 30, Fault::FrontNotices(proxy));
        self.add_step(at + n / 20, Fault::Start(proxy));
    }

    /// A proxy is suspended and resumed; the front takes it out of service halfway.
    fn pause(&mut self, proxy: usize, at: usize) {
        let n = self.plan.requests.len();
        let length = self.rng.usize(n / 40..=n / 12);
        self.add_step(at, Fault::Stop(proxy));
        self.add_step(at + length / 2, Fault::FrontNotices(proxy));
        self.add_step(at + length, Fault::Continue(proxy));
    }
}

fn backend_faults(d: &mut PlanBuilder) {
    for (i, mode) in d.faulty_modes().into_iter().enumerate() {
        // One at a time, on different backends.
        let n = d.plan.requests.len();
        let from = n / 20 + i * n * 9 / 100;
        let backend = i % d.plan.initial;
        d.add_step(from, Fault::Mode(backend, mode));
        d.add_step(from + n * 8 / 100, Fault::Mode(backend, Mode::Normal));
    }
}

fn drains(d: &mut PlanBuilder) {
    let n = d.plan.requests.len();
    d.drain_and_undrain(24, n / 3);
    let last = d.plan.initial - 1;
    d.replace(last, n / 3, true);
    d.replace(0, n / 2, false);
}

fn cold_starts(d: &mut PlanBuilder) {
    let n = d.plan.requests.len();
    for i in 0..d.plan.initial * 2 / 3 {
        let drain = d.rng.bool();
        d.replace(i, n / 20 + i / 2 * n / 6, drain);
    }
}

fn discovery(d: &mut PlanBuilder) {
    let (from, to) = d.draw_span((10, 20));
    d.add_step(from, Fault::DiscoverySilent(true));
    d.add_step(to, Fault::DiscoverySilent(false));
    for _ in 0..3 {
        let proxy = d.rng.usize(0..d.plan.proxies);
        let (from, to) = d.draw_span((8, 20));
        d.add_step(from, Fault::DiscoverySplit(proxy, true));
        d.add_step(to, Fault::DiscoverySplit(proxy, false));
    }
    for fault in [Fault::DiscoveryStale, Fault::DiscoveryBroken, Fault::DiscoveryEnds] {
        for _ in 0..3 {
            let (at, _) = d.draw_span((1, 5));
            d.add_step(at, fault);
        }
    }
    let n = d.plan.requests.len();
    d.drain_and_undrain(8, n / 8);
}

fn discovery_asked(d: &mut PlanBuilder) {
    d.plan.asked = true;
    discovery(d);
}

fn datagrams(d: &mut PlanBuilder) {
    let (from, to) = d.draw_span((50, 80));
    let part = |rng: &mut Rng| 0.1 + 0.4 * rng.f64();
    let fault = Fault::Datagrams(part(&mut d.rng), part(&mut d.rng), part(&mut d.rng));
    d.add_step(from, fault);
    d.add_step(to, Fault::Datagrams(1.0, 0.0, 0.0)); // all are lost from then on
}

fn restarts(d: &mut PlanBuilder) {
    let n = d.plan.requests.len();
    for proxy in 0..d.plan.proxies {
        let at = n / 15 + proxy * n / 4;
        d.kill(proxy, at);
        d.add_step(at + n / 8, Fault::Term(proxy));
    }
}

fn pauses(d: &mut PlanBuilder) {
    let n = d.plan.requests.len();
    for i in 0..4 {
        let proxy = d.rng.usize(0..d.plan.proxies);
        d.pause(proxy, n / 15 + i * n / 5);
    }
}

fn wrong_weights(d: &mut PlanBuilder) {
    for machine in &mut d.plan.machines {
        machine.share = [0.3, 1.0, 10.0, 40.0][d.rng.usize(0..4)];
        machine.queue = [0, 2, 64][d.rng.usize(0..3)]; // refuses at once, a little later, or hardly ever
    }
    let n = d.plan.requests.len();
    for _ in 0..3 {
        let backend = d.draw_backend();
        let slow = Mode::Slow(2.0 + d.rng.f64());
        d.set_mode(backend, slow, (15, 30));
    }
    let last = d.plan.initial - 1;
    d.replace(last, n / 4, true);
    let proxy = d.rng.usize(0..d.plan.proxies);
    d.kill(proxy, n / 2);
}

fn demo(d: &mut PlanBuilder) {
    let n = d.plan.requests.len();
    d.add_step(n / 4, Fault::Mode(1, Mode::Hang));
    d.add_step(n / 2, Fault::Mode(1, Mode::Normal));
    d.replace(2, n / 2, true);
}

fn mixed(d: &mut PlanBuilder) {
    for mode in d.faulty_modes() {
        let backend = d.draw_backend();
        d.set_mode(backend, mode, (4, 12));
    }
    let n = d.plan.requests.len();
    d.drain_and_undrain(6, n / 3);
    let first = d.draw_backend();
    for (i, drain) in [true, false, true].into_iter().enumerate() {
        let at = d.rng.usize(n / 20..n * 5 / 10);
        d.replace((first + 4 * i) % d.plan.initial, at, drain);
    }
    discovery(d);
    datagrams(d);
    let first = d.rng.usize(0..d.plan.proxies);
    let proxies = d.plan.proxies;
    d.kill(first, n / 8);
    d.add_step(n * 2 / 5, Fault::Term((first + 1) % proxies));
    d.pause((first + 2) % proxies, n * 7 / 10);
}

/// Number of windows of a run; in each of them two or three kinds of faults overlap.
const WINDOWS: usize = 6;
/// Long requests of the scenario `crossings`, in percent, and the range of their bytes.
const UPLOADS: (u32, std::ops::Range<usize>) = (6, 66_000..260_000);
/// Clients that stop within a request and keep the connection open, in parts of a thousand.
const STOPPING_CLIENTS: u32 = 8;

/// Successive faults of drawn proxies and backends, two or three kinds at a time, with failing system calls, long requests, and
/// clients that leave or stop.
fn crossings(d: &mut PlanBuilder) {
    d.plan.asked = d.rng.bool();
    d.plan.system_faults = SystemFaults {
        short_read: d.rng.u32(0..20),
        short_write: d.rng.u32(0..20),
        interrupted: d.rng.u32(0..10),
        socket: d.rng.u32(0..30),
        connect: d.rng.u32(0..30),
        accept: d.rng.u32(0..30),
        held_up: d.rng.u32(0..3),
        clock_step_ms: [0, 3000, 3_600_000][d.rng.usize(0..3)],
        clock_ahead_ms: 0,
    };
    for request in &mut d.plan.requests {
        let long = d.plan.classes[request.class].effect != Effect::Safe && d.rng.u32(0..100) < UPLOADS.0;
        request.upload = long.then(|| d.rng.usize(UPLOADS.1));
        request.stops = d.rng.u32(0..1000) < STOPPING_CLIENTS;
    }
    let n = d.plan.requests.len();
    let kinds: [fn(&mut PlanBuilder, usize, usize); 9] = [
        restarts_together,
        kills_together,
        reloads,
        moves_of_discovery,
        backends_misbehave,
        backends_close_idle,
        drains_within,
        outage_within,
        replacements_within,
    ];
    for window in 0..WINDOWS {
        let from = n / 20 + window * n * 9 / 10 / WINDOWS;
        let to = from + n * 9 / 10 / WINDOWS;
        let faults = d.rng.usize(2..=3);
        let mut order: Vec<usize> = (0..kinds.len()).collect();
        d.rng.shuffle(&mut order);
        order.into_iter().take(faults).for_each(|k| kinds[k](d, from, to));
    }
}

/// Ranges of the time between a due answer and the one that follows it unasked, ms.
const SECOND_ANSWER_MS: [(f64, f64); 6] =
    [(0.0, 1.0), (1.0, 3.0), (1.0, 10.0), (1.0, 40.0), (10.0, 60.0), (0.0, 200.0)];

/// One, half or all of the backends send second answers, from the start or after a quiet time, some until the end. Others
/// send more than declared or pause within heads. Drains, signals and replacements happen meanwhile.
fn second_answers(d: &mut PlanBuilder) {
    let n = d.plan.requests.len();
    let affected = [1, d.plan.initial / 2, d.plan.initial][d.rng.usize(0..3)];
    let from = [0, n / 20, n / 3][d.rng.usize(0..3)];
    let to = [n * 2 / 3, n - 1][d.rng.usize(0..2)];
    for backend in 0..affected {
        let (earliest_ms, latest_ms) = SECOND_ANSWER_MS[d.rng.usize(0..SECOND_ANSWER_MS.len())];
        let mode = match d.rng.u32(0..10) {
            0 => Mode::LongBodies(0.2),
            1 => Mode::SplitHeads(1.0 + 49.0 * d.rng.f64()),
            _ => Mode::SecondAnswers(SecondAnswers { share: 0.2, earliest_ms, latest_ms }),
        };
        d.add_step(from, Fault::Mode(backend, mode));
        d.add_step(to, Fault::Mode(backend, Mode::Normal));
    }
    let kinds: [fn(&mut PlanBuilder, usize, usize); 4] =
        [restarts_together, reloads, drains_within, replacements_within];
    for (i, kind) in kinds.into_iter().enumerate() {
        if d.rng.bool() {
            let begin = n / 10 + i * n / 5;
            kind(d, begin, begin + n / 5);
        }
    }
}

/// Range of the time in which slow clients write their requests, ms.
const SLOW_WRITE_MS: (f64, f64) = (1700.0, 2000.0);

/// Two proxies drop the class with the longest deadline. Later they are told to end while clients are writing requests, which
/// no backend answers.
fn dropped_class(d: &mut PlanBuilder) {
    d.plan.retired_class = Some(Class {
        name: RETIRED_CLASS,
        effect: Effect::Unsafe,
        aim_ms: 3000.0,
        deadline_ms: 4000.0,
        work_ms: 40.0,
        worth: 1.0,
    });
    for request in &mut d.plan.requests {
        let is_slow = d.plan.classes[request.class].effect == Effect::Unsafe;
        let (least, most) = SLOW_WRITE_MS;
        request.write_ms = is_slow.then(|| least + (most - least) * d.rng.f64());
    }
    let n = d.plan.requests.len();
    for (proxy, term) in [(0, n / 6), (1, n / 5)] {
        d.add_step(n / 50, Fault::DropClass(proxy));
        d.add_step(term, Fault::Term(proxy));
    }
    for backend in 0..d.plan.initial {
        d.add_step(n * 2 / 5, Fault::Mode(backend, Mode::Hang));
        d.add_step(n - 1, Fault::Mode(backend, Mode::Normal));
    }
}

/// Half of the backends pause within answers, some for longer than clients wait, beside reloads and drains. Even seeds permit
/// two attempts at once.
fn paused_answers(d: &mut PlanBuilder) {
    d.plan.second_copies = d.plan.seed.is_multiple_of(2);
    let n = d.plan.requests.len();
    for backend in 0..d.plan.initial / 2 {
        let mode = Mode::PausesInBody(0.1 + 0.4 * d.rng.f64(), 400.0 + 1000.0 * d.rng.f64());
        d.add_step(n / 20, Fault::Mode(backend, mode));
        d.add_step(n * 4 / 5, Fault::Mode(backend, Mode::Normal));
    }
    reloads(d, n / 10, n * 9 / 10);
    drains_within(d, n / 3, n / 2);
}

/// A fifth of the proxies get SIGTERM in quick succession.
fn restarts_together(d: &mut PlanBuilder, from: usize, to: usize) {
    for i in 0..(d.plan.proxies / 5).max(1) {
        let proxy = d.rng.usize(0..d.plan.proxies);
        d.add_step(from + i * (to - from) / 40, Fault::Term(proxy));
    }
}

/// A sixth of the proxies are killed.
fn kills_together(d: &mut PlanBuilder, from: usize, to: usize) {
    for _ in 0..(d.plan.proxies / 6).max(1) {
        let (proxy, at) = (d.rng.usize(0..d.plan.proxies), d.rng.usize(from..to));
        d.kill(proxy, at);
    }
}

/// As many reloads as there are proxies, each of a drawn proxy.
fn reloads(d: &mut PlanBuilder, from: usize, to: usize) {
    for _ in 0..d.plan.proxies {
        let (proxy, at) = (d.rng.usize(0..d.plan.proxies), d.rng.usize(from..to));
        d.add_step(at, Fault::Reload(proxy));
    }
}

/// Discovery is moved for a third of the proxies, for some of them twice in succession, with a drain right after each move.
fn moves_of_discovery(d: &mut PlanBuilder, from: usize, to: usize) {
    for _ in 0..(d.plan.proxies / 3).max(1) {
        let (proxy, at, twice) = (d.rng.usize(0..d.plan.proxies), d.rng.usize(from..to), d.rng.bool());
        d.add_step(at, Fault::MoveDiscovery(proxy));
        if twice {
            d.add_step(at + 1, Fault::MoveDiscovery(proxy));
        }
        let backend = d.draw_backend();
        d.add_step(at + 2, Fault::Drain(backend));
        d.add_step(at + (to - from) / 2, Fault::Undrain(backend));
    }
}

/// A sixth of the backends get a faulty mode until the end of the window.
fn backends_misbehave(d: &mut PlanBuilder, from: usize, to: usize) {
    for _ in 0..(d.plan.initial / 6).max(1) {
        let (backend, modes) = (d.draw_backend(), d.faulty_modes());
        let mode = modes[d.rng.usize(0..modes.len())];
        let at = d.rng.usize(from..to);
        d.add_step(at, Fault::Mode(backend, mode));
        d.add_step(to, Fault::Mode(backend, Mode::Normal));
    }
}

/// A third of the backends close idle connections early during the window.
fn backends_close_idle(d: &mut PlanBuilder, from: usize, to: usize) {
    for _ in 0..d.plan.initial / 3 {
        let backend = d.draw_backend();
        d.add_step(from, Fault::Mode(backend, Mode::ClosesIdle));
        d.add_step(to, Fault::Mode(backend, Mode::Normal));
    }
}

/// A sixth of the backends drain for the length of a window.
fn drains_within(d: &mut PlanBuilder, from: usize, to: usize) {
    for _ in 0..(d.plan.initial / 6).max(1) {
        let (backend, at) = (d.draw_backend(), d.rng.usize(from..to));
        d.add_step(at, Fault::Drain(backend));
        d.add_step(at + (to - from), Fault::Undrain(backend));
    }
}

/// Discovery falls silent, then ends its watches; backends drain during the silence and right after it.
fn outage_within(d: &mut PlanBuilder, from: usize, to: usize) {
    let middle = (from + to) / 2;
    d.add_step(from, Fault::DiscoverySilent(true));
    let (first, second) = (d.draw_backend(), d.draw_backend());
    d.add_step(middle - 1, Fault::Drain(first));
    d.add_step(middle, Fault::DiscoverySilent(false));
    d.add_step(middle + 1, Fault::Drain(second));
    d.add_step(middle + 2, Fault::DiscoveryEnds);
    d.add_step(to, Fault::Undrain(first));
    d.add_step(to, Fault::Undrain(second));
}

/// Two backends are replaced by cold ones.
fn replacements_within(d: &mut PlanBuilder, from: usize, to: usize) {
    for _ in 0..2 {
        let (backend, drain) = (d.draw_backend(), d.rng.bool());
        let at = d.rng.usize(from..to);
        d.replace(backend, at, drain);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn equal_seeds_give_equal_schedules_and_different_seeds_different_ones() {
        for s in SCENARIOS {
            let (a, b, c) =
                (s.plan(7, Size::default()), s.plan(7, Size::default()), s.plan(8, Size::default()));
            assert_eq!((&a.requests, &a.steps), (&b.requests, &b.steps), "{}", s.name);
            assert_ne!(a.requests, c.requests, "{}", s.name);
        }
    }

    #[test]
    fn mixed_contains_every_fault_and_all_lie_within_the_run() {
        for seed in 0..50 {
            let plan = scenario("mixed").expect("named").plan(seed, Size::default());
            let text = format!("{:?}", plan.steps);
            for word in [
                "Hang",
                "Slow",
                "FastErrors",
                "ResetBefore",
                "ResetDuring",
                "ResetAfter",
                "CutAnswer",
                "Noise",
                "Refuse",
                "BlackHole",
                "Drain(",
                "Undrain",
                "Remove",
                "Join",
                "Silent",
                "Split",
                "Stale",
                "Broken",
                "Ends",
                "Datagrams",
                "Term",
                "Kill",
                "Start",
                "Stop",
                "Continue",
                "FrontNotices",
            ] {
                assert!(text.contains(word), "seed {seed}: no {word}");
            }
            assert!(plan.steps.iter().all(|s| s.at < plan.requests.len()));
        }
    }
}
