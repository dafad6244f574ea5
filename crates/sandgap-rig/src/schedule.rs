//! What will happen in a run: requests, and faults at counts of requests. No I/O and no clock: the same scenario
//! and seed give the same schedule on any machine. Load has a rate in time, faults follow the count of requests.

use fastrand::Rng;
use serde::Serialize;

use crate::clock::Micros;
use crate::machine::{Build, ColdRule};
use crate::system_faults::SystemFaults;
use sandgap_rules::Effect;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name, the first part of the path.
    pub name: &'static str,
    /// Whether it may run again.
    pub effect: Effect,
    /// Wanted time, ms.
    pub aim_ms: f64,
    /// Given up after, ms.
    pub deadline_ms: f64,
    /// Mean work on a standard core, ms.
    pub work_ms: f64,
    /// What an answer in time is worth.
    pub worth: f64,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Request {
    /// When it is asked, from the start of the load.
    pub at: Micros,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// What it concerns.
    pub sid: u64,
    /// How long its client waits, ms.
    pub timeout_ms: f64,
    /// Its work on a standard core, ms.
    pub work_ms: f64,
    /// Decides at which proxy the front deals it.
    pub deal: u32,
    /// The client leaves after this long.
    pub leaves_ms: Option<f64>,
    /// Bytes of its body, where it is a long one.
    pub upload: Option<usize>,
    /// The client stops in its middle and stays.
    pub stops: bool,
}

/// What a backend does.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Its work.
    Normal,
    /// Takes requests and answers none.
    Hang,
    /// Takes this many times as long.
    Slow(f64),
    /// Fails this part of its requests at once.
    FastErrors(f64),
    /// Resets connections as they come.
    ResetBefore,
    /// Resets a connection when a request has begun to come.
    ResetDuring,
    /// Runs a request, then resets.
    ResetAfter,
    /// Breaks off in the middle of its answers.
    CutAnswer,
    /// Answers with no HTTP.
    Noise,
    /// Refuses connections.
    Refuse,
    /// Does its work, and closes connections that stand idle for a moment.
    ClosesIdle,
    /// Says nothing at all: connections never come up, and those that are up are silent.
    BlackHole,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A backend begins to behave so.
    Mode(usize, Mode),
    /// Discovery hears that a backend drains.
    Drain(usize),
    /// Discovery hears that it takes work again.
    Undrain(usize),
    /// A backend's process ends and discovery hears of it.
    Remove(usize),
    /// A new backend starts cold and discovery hears of it.
    Join(usize),
    /// Discovery says nothing to anyone, then goes on.
    DiscoverySilent(bool),
    /// Discovery says nothing to one proxy, then goes on.
    DiscoverySplit(usize, bool),
    /// Discovery repeats an old list.
    DiscoveryStale,
    /// Discovery writes a broken line.
    DiscoveryBroken,
    /// Discovery ends all watches.
    DiscoveryEnds,
    /// Of the datagrams between proxies this part is lost, late (behind the next ones) and doubled.
    Datagrams(f64, f64, f64),
    /// Its configuration is written anew with other figures, and SIGHUP.
    Reload(usize),
    /// The same with discovery at another address.
    MoveDiscovery(usize),
    /// SIGTERM; the proxy starts anew once it has ended.
    Term(usize),
    /// SIGKILL.
    Kill(usize),
    /// Start after a kill.
    Start(usize),
    /// SIGSTOP.
    Stop(usize),
    /// SIGCONT.
    Continue(usize),
    /// The front has noticed that a proxy is not there.
    FrontNotices(usize),
}

/// A fault and the count of requests at which it happens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Just before this request is asked.
    pub at: usize,
    /// What happens.
    pub fault: Fault,
}

/// A run, drawn.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenario's name.
    pub scenario: &'static str,
    /// The seed.
    pub seed: u64,
    /// Classes.
    pub classes: Vec<Class>,
    /// Proxies.
    pub proxies: usize,
    /// Backends that are up from the start; those that join later follow them.
    pub initial: usize,
    /// Machines, by backend.
    pub machines: Vec<Build>,
    /// The rule on cold backends.
    pub cold: ColdRule,
    /// Whether proxies have to ask discovery.
    pub asked: bool,
    /// Requests, in order.
    pub requests: Vec<Request>,
    /// Faults, in order.
    pub steps: Vec<Step>,
    /// System calls that fail under the proxies.
    pub system_faults: SystemFaults,
}

/// Requests that one backend process belongs with: cells of three.
pub const CELL: usize = 3;
/// Grace after a drain is told, ms.
pub const GRACE_MS: u64 = 500;
/// Repeats of a keyed request are dropped for this long, ms.
pub const WINDOW_MS: u64 = 2500;
/// Tenants of every scenario.
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

/// A scenario: its name, what it is for, and how its faults are drawn.
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// What it shows.
    pub about: &'static str,
    draw: fn(&mut Draw),
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    Scenario { name: "calm", about: "no fault at all: what service costs", draw: |_| {} },
    Scenario {
        name: "backend-faults",
        about: "each fault of a backend, one after another",
        draw: backend_faults,
    },
    Scenario {
        name: "drains",
        about: "drains, returns and removals in quick turn, at full load",
        draw: drains,
    },
    Scenario {
        name: "cold-starts",
        about: "backends replaced by cold ones, two at a time",
        draw: cold_starts,
    },
    Scenario { name: "discovery", about: "discovery silent, stale, split, broken, ended", draw: discovery },
    Scenario { name: "discovery-asked", about: "the same where proxies have to ask", draw: discovery_asked },
    Scenario { name: "datagrams", about: "words between proxies lost, late and doubled", draw: datagrams },
    Scenario { name: "restarts", about: "proxies told to stop, killed and started anew", draw: restarts },
    Scenario { name: "pauses", about: "proxies that stand still for a while", draw: pauses },
    Scenario {
        name: "wrong-weights",
        about: "the list is wrong by up to 10 times about what backends hold; slow neighbours",
        draw: wrong_weights,
    },
    Scenario { name: "demo", about: "one backend hangs for a while, one drains and is replaced", draw: demo },
    Scenario { name: "mixed", about: "all of these at once", draw: mixed },
    Scenario {
        name: "crossings",
        about: "two or three troubles at a time of proxies, backends, discovery, clients and system calls",
        draw: crossings,
    },
];

/// The scenario of a name.
pub fn scenario(name: &str) -> Option<&'static Scenario> {
    SCENARIOS.iter().find(|s| s.name == name)
}

/// What may be set from outside.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Requests.
    pub requests: usize,
    /// Requests a second.
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

/// A plan in the making.
struct Draw {
    rng: Rng,
    plan: Plan,
}

impl Scenario {
    /// Draws the run of a seed.
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
            proxies: size.proxies,
            initial: size.backends,
            machines,
            cold,
            asked: false,
            requests,
            steps: Vec::new(),
            system_faults: SystemFaults::default(),
        };
        let mut draw = Draw { rng, plan };
        (self.draw)(&mut draw);
        draw.plan.steps.sort_by_key(|s| s.at);
        draw.plan
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
            stops: false,
        }
    };
    (0..size.requests).map(draw).collect()
}

impl Draw {
    fn step(&mut self, at: usize, fault: Fault) {
        let at = at.min(self.plan.requests.len().saturating_sub(1));
        self.plan.steps.push(Step { at, fault });
    }

    /// A span of so many parts of a hundred of the run, somewhere within it.
    fn span(&mut self, percent: (usize, usize)) -> (usize, usize) {
        let n = self.plan.requests.len();
        let length = n * self.rng.usize(percent.0..=percent.1) / 100;
        let from = self.rng.usize(n / 20..=(n - length - n / 20).max(n / 20));
        (from, from + length)
    }

    fn backend(&mut self) -> usize {
        self.rng.usize(0..self.plan.initial)
    }

    fn mode(&mut self, backend: usize, mode: Mode, percent: (usize, usize)) {
        let (from, to) = self.span(percent);
        self.step(from, Fault::Mode(backend, mode));
        self.step(to, Fault::Mode(backend, Mode::Normal));
    }

    fn modes(&mut self) -> [Mode; 10] {
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

    /// A backend drains, ends, and is replaced by a cold one.
    fn replace(&mut self, backend: usize, at: usize, drain: bool) {
        let n = self.plan.requests.len();
        if drain {
            self.step(at, Fault::Drain(backend));
        }
        let gone = at + n / 4; // well after the grace, so that a send that ignores the drain is seen
        self.step(gone, Fault::Remove(backend));
        let machine = machine(&mut self.rng);
        self.plan.machines.push(machine);
        let new = self.plan.machines.len() - 1;
        let joins = gone + self.rng.usize(0..=n / 40);
        self.step(joins, Fault::Join(new));
    }

    /// Backends drain and take work again after at most so many requests.
    fn flap(&mut self, times: usize, most: usize) {
        let n = self.plan.requests.len();
        for _ in 0..times {
            let (backend, at) = (self.backend(), self.rng.usize(n / 20..n * 9 / 10));
            self.step(at, Fault::Drain(backend));
            let back = at + self.rng.usize(1..=most);
            self.step(back, Fault::Undrain(backend));
        }
    }

    /// A proxy is killed and started again; the front notices a while after its end.
    fn kill(&mut self, proxy: usize, at: usize) {
        let n = self.plan.requests.len();
        self.step(at, Fault::Kill(proxy));
        self.step(at + n / 30, Fault::FrontNotices(proxy));
        self.step(at + n / 20, Fault::Start(proxy));
    }

    fn pause(&mut self, proxy: usize, at: usize) {
        let n = self.plan.requests.len();
        let length = self.rng.usize(n / 40..=n / 12);
        self.step(at, Fault::Stop(proxy));
        self.step(at + length / 2, Fault::FrontNotices(proxy));
        self.step(at + length, Fault::Continue(proxy));
    }
}

fn backend_faults(d: &mut Draw) {
    for (i, mode) in d.modes().into_iter().enumerate() {
        // One at a time, each on a backend of its own.
        let n = d.plan.requests.len();
        let from = n / 20 + i * n * 9 / 100;
        let backend = i % d.plan.initial;
        d.step(from, Fault::Mode(backend, mode));
        d.step(from + n * 8 / 100, Fault::Mode(backend, Mode::Normal));
    }
}

fn drains(d: &mut Draw) {
    let n = d.plan.requests.len();
    d.flap(24, n / 3);
    let last = d.plan.initial - 1;
    d.replace(last, n / 3, true);
    d.replace(0, n / 2, false);
}

fn cold_starts(d: &mut Draw) {
    let n = d.plan.requests.len();
    for i in 0..d.plan.initial * 2 / 3 {
        let drain = d.rng.bool();
        d.replace(i, n / 20 + i / 2 * n / 6, drain);
    }
}

fn discovery(d: &mut Draw) {
    let (from, to) = d.span((10, 20));
    d.step(from, Fault::DiscoverySilent(true));
    d.step(to, Fault::DiscoverySilent(false));
    for _ in 0..3 {
        let proxy = d.rng.usize(0..d.plan.proxies);
        let (from, to) = d.span((8, 20));
        d.step(from, Fault::DiscoverySplit(proxy, true));
        d.step(to, Fault::DiscoverySplit(proxy, false));
    }
    for fault in [Fault::DiscoveryStale, Fault::DiscoveryBroken, Fault::DiscoveryEnds] {
        for _ in 0..3 {
            let (at, _) = d.span((1, 5));
            d.step(at, fault);
        }
    }
    let n = d.plan.requests.len();
    d.flap(8, n / 8);
}

fn discovery_asked(d: &mut Draw) {
    d.plan.asked = true;
    discovery(d);
}

fn datagrams(d: &mut Draw) {
    let (from, to) = d.span((50, 80));
    let part = |rng: &mut Rng| 0.1 + 0.4 * rng.f64();
    let fault = Fault::Datagrams(part(&mut d.rng), part(&mut d.rng), part(&mut d.rng));
    d.step(from, fault);
    d.step(to, Fault::Datagrams(1.0, 0.0, 0.0)); // then none arrives
}

fn restarts(d: &mut Draw) {
    let n = d.plan.requests.len();
    for proxy in 0..d.plan.proxies {
        let at = n / 15 + proxy * n / 4;
        d.kill(proxy, at);
        d.step(at + n / 8, Fault::Term(proxy));
    }
}

fn pauses(d: &mut Draw) {
    let n = d.plan.requests.len();
    for i in 0..4 {
        let proxy = d.rng.usize(0..d.plan.proxies);
        d.pause(proxy, n / 15 + i * n / 5);
    }
}

fn wrong_weights(d: &mut Draw) {
    for machine in &mut d.plan.machines {
        machine.share = [0.3, 1.0, 10.0, 40.0][d.rng.usize(0..4)];
        machine.queue = [0, 2, 64][d.rng.usize(0..3)]; // turns away at once, a little later, or hardly ever
    }
    let n = d.plan.requests.len();
    for _ in 0..3 {
        let backend = d.backend();
        let slow = Mode::Slow(2.0 + d.rng.f64());
        d.mode(backend, slow, (15, 30));
    }
    let last = d.plan.initial - 1;
    d.replace(last, n / 4, true);
    let proxy = d.rng.usize(0..d.plan.proxies);
    d.kill(proxy, n / 2);
}

fn demo(d: &mut Draw) {
    let n = d.plan.requests.len();
    d.step(n / 4, Fault::Mode(1, Mode::Hang));
    d.step(n / 2, Fault::Mode(1, Mode::Normal));
    d.replace(2, n / 2, true);
}

fn mixed(d: &mut Draw) {
    for mode in d.modes() {
        let backend = d.backend();
        d.mode(backend, mode, (4, 12));
    }
    let n = d.plan.requests.len();
    d.flap(6, n / 3);
    let first = d.backend();
    for (i, drain) in [true, false, true].into_iter().enumerate() {
        let at = d.rng.usize(n / 20..n * 5 / 10);
        d.replace((first + 4 * i) % d.plan.initial, at, drain);
    }
    discovery(d);
    datagrams(d);
    let first = d.rng.usize(0..d.plan.proxies);
    let proxies = d.plan.proxies;
    d.kill(first, n / 8);
    d.step(n * 2 / 5, Fault::Term((first + 1) % proxies));
    d.pause((first + 2) % proxies, n * 7 / 10);
}

/// Windows of a run in each of which two or three troubles overlap.
const WINDOWS: usize = 6;
/// Long requests of the crossings, in parts of a hundred, and their bytes.
const UPLOADS: (u32, std::ops::Range<usize>) = (6, 66_000..260_000);
/// Clients that stop in the middle of a request and stay, in parts of a thousand.
const STOPPERS: u32 = 8;

/// Trouble after trouble on drawn proxies and backends, two or three kinds at a time, under system calls that fail, long
/// requests, and clients that leave or stop.
fn crossings(d: &mut Draw) {
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
        request.stops = d.rng.u32(0..1000) < STOPPERS;
    }
    let n = d.plan.requests.len();
    let kinds: [fn(&mut Draw, usize, usize); 9] = [
        stops_at_once,
        kills_at_once,
        reloads_in_a_row,
        discovery_moves,
        backends_misbehave,
        backends_close_idle,
        drains_within,
        outage_within,
        replacements_within,
    ];
    for window in 0..WINDOWS {
        let from = n / 20 + window * n * 9 / 10 / WINDOWS;
        let to = from + n * 9 / 10 / WINDOWS;
        let troubles = d.rng.usize(2..=3);
        let mut order: Vec<usize> = (0..kinds.len()).collect();
        d.rng.shuffle(&mut order);
        order.into_iter().take(troubles).for_each(|k| kinds[k](d, from, to));
    }
}

/// A fifth of the proxies are told to stop in quick turn.
fn stops_at_once(d: &mut Draw, from: usize, to: usize) {
    for i in 0..(d.plan.proxies / 5).max(1) {
        let proxy = d.rng.usize(0..d.plan.proxies);
        d.step(from + i * (to - from) / 40, Fault::Term(proxy));
    }
}

fn kills_at_once(d: &mut Draw, from: usize, to: usize) {
    for _ in 0..(d.plan.proxies / 6).max(1) {
        let (proxy, at) = (d.rng.usize(0..d.plan.proxies), d.rng.usize(from..to));
        d.kill(proxy, at);
    }
}

fn reloads_in_a_row(d: &mut Draw, from: usize, to: usize) {
    for _ in 0..d.plan.proxies {
        let (proxy, at) = (d.rng.usize(0..d.plan.proxies), d.rng.usize(from..to));
        d.step(at, Fault::Reload(proxy));
    }
}

/// Discovery is moved for a third of the proxies, for some of them twice in a row, with a drain right after each move.
fn discovery_moves(d: &mut Draw, from: usize, to: usize) {
    for _ in 0..(d.plan.proxies / 3).max(1) {
        let (proxy, at, twice) = (d.rng.usize(0..d.plan.proxies), d.rng.usize(from..to), d.rng.bool());
        d.step(at, Fault::MoveDiscovery(proxy));
        if twice {
            d.step(at + 1, Fault::MoveDiscovery(proxy));
        }
        let backend = d.backend();
        d.step(at + 2, Fault::Drain(backend));
        d.step(at + (to - from) / 2, Fault::Undrain(backend));
    }
}

fn backends_misbehave(d: &mut Draw, from: usize, to: usize) {
    for _ in 0..(d.plan.initial / 6).max(1) {
        let (backend, modes) = (d.backend(), d.modes());
        let mode = modes[d.rng.usize(0..modes.len())];
        let at = d.rng.usize(from..to);
        d.step(at, Fault::Mode(backend, mode));
        d.step(to, Fault::Mode(backend, Mode::Normal));
    }
}

fn backends_close_idle(d: &mut Draw, from: usize, to: usize) {
    for _ in 0..d.plan.initial / 3 {
        let backend = d.backend();
        d.step(from, Fault::Mode(backend, Mode::ClosesIdle));
        d.step(to, Fault::Mode(backend, Mode::Normal));
    }
}

fn drains_within(d: &mut Draw, from: usize, to: usize) {
    for _ in 0..(d.plan.initial / 6).max(1) {
        let (backend, at) = (d.backend(), d.rng.usize(from..to));
        d.step(at, Fault::Drain(backend));
        d.step(at + (to - from), Fault::Undrain(backend));
    }
}

/// Discovery falls silent or ends its watches; something changes meanwhile and right after.
fn outage_within(d: &mut Draw, from: usize, to: usize) {
    let middle = (from + to) / 2;
    d.step(from, Fault::DiscoverySilent(true));
    let (first, second) = (d.backend(), d.backend());
    d.step(middle - 1, Fault::Drain(first));
    d.step(middle, Fault::DiscoverySilent(false));
    d.step(middle + 1, Fault::Drain(second));
    d.step(middle + 2, Fault::DiscoveryEnds);
    d.step(to, Fault::Undrain(first));
    d.step(to, Fault::Undrain(second));
}

fn replacements_within(d: &mut Draw, from: usize, to: usize) {
    for _ in 0..2 {
        let (backend, drain) = (d.backend(), d.rng.bool());
        let at = d.rng.usize(from..to);
        d.replace(backend, at, drain);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_same_seed_gives_the_same_schedule_and_another_one_another() {
        for s in SCENARIOS {
            let (a, b, c) =
                (s.plan(7, Size::default()), s.plan(7, Size::default()), s.plan(8, Size::default()));
            assert_eq!((&a.requests, &a.steps), (&b.requests, &b.steps), "{}", s.name);
            assert_ne!(a.requests, c.requests, "{}", s.name);
        }
    }

    #[test]
    fn mixed_holds_every_fault_and_all_lie_within_the_run() {
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
