//! Runs a plan: simulated peers, proxies, load and faults, and the verdict at the end.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

use crate::backend::Backend;
use crate::client::{Front, ask};
use crate::clock::Micros;
use crate::discovery::{Discovery, Health};
use crate::limits::WAIT_TIMEOUT;
use crate::peers::{DatagramFaults, Network};
use crate::proxy::{Place, Program, Proxy, ProxyError};
use crate::schedule::{Fault, GRACE_MS, Plan};
use crate::system_faults::{FaultLibrary, SystemFaults};
use crate::world::{Addresses, World};
use sandgap_rules::{Effect, Ledger, Record, Terms, Verdict, Writer};

/// Tolerance on each time limit of the rules for the delay of sockets and schedulers, µs.
pub const SLACK: Micros = 50_000;
/// An attempt that begins later than this after its client has left counts as a lost request, by the operators' terms, µs.
const AFTER_LEAVING: Micros = 100_000;
/// The longest that a process is delayed by a `held_up` system fault, µs.
const MAX_HOLD_UP: Micros = 150_000;
/// The front keeps assigning connections to a proxy for this long after its SIGTERM; 0.2 to 0.4 s by the protocol.
const TERM_NOTICE: Duration = Duration::from_millis(250);

/// Why a run has no verdict.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The system provided no address, file or thread.
    #[error("the rig can't run here: {0}")]
    System(#[from] std::io::Error),
    /// A proxy could not be run.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    /// A process may not open as many descriptors as the links of its hollow proxies need.
    #[error(
        "{in_one} hollow proxies in one process need {needed} descriptors, and it may have {limit}: let fewer share one"
    )]
    Descriptors {
        /// Hollow proxies that share a process.
        in_one: usize,
        /// Descriptors that their links need once each knows all others.
        needed: usize,
        /// The system's limit for a process.
        limit: u64,
    },
    /// Something did not end in time.
    #[error("{0} has no end after {1:?}")]
    Endless(&'static str, Duration),
}

/// The verdict of a run and further findings.
pub struct Outcome {
    /// The verdict.
    pub verdict: Verdict,
    /// Requests that no proxy accepted.
    pub untaken: u32,
    /// Datagrams larger than the protocol allows.
    pub oversized: u32,
    /// Clients that stopped within a request and got no response or close in time: the request, its proxy, bytes sent.
    pub unended: Vec<(usize, usize, usize)>,
    /// Violations that the proxies recorded in their traces.
    pub violations: Vec<String>,
    /// Number of spans in which the machine delayed the rig, and their total, ms.
    pub stalls: (usize, f64),
    /// Wall-clock time of the load, s.
    pub seconds: f64,
    /// The folder of the proxies' logs, removed when this value is dropped unless it is kept.
    pub logs: Folder,
}

/// A folder for the files of a run, removed on drop unless it is kept.
pub struct Folder {
    /// Its path.
    pub path: PathBuf,
    keep: bool,
}

impl Folder {
    /// Creates a folder in the system's temporary directory, named after `tag`.
    ///
    /// # Errors
    /// The system's, if it can't be created.
    pub fn new(tag: &str) -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("sandgap-rig-{tag}"));
        std::fs::create_dir_all(&path)?;
        Ok(Folder { path, keep: false })
    }

    /// Keeps the folder after this value is dropped.
    pub fn keep(&mut self) {
        self.keep = true;
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

impl Outcome {
    /// Whether all rules held by the ledger and by the proxies' traces, and every stopped client got an end.
    pub fn passes(&self) -> bool {
        self.verdict.passes() && self.violations.is_empty() && self.unended.is_empty()
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        self.verdict.fmt(f)?;
        self.violations.iter().try_for_each(|violation| write!(f, "\nviolation: {violation}"))?;
        self.unended.iter().try_for_each(|(request, proxy, bytes)| {
            write!(f, "\nno end for request {request} at proxy {proxy}, which stopped after {bytes} bytes")
        })
    }
}

/// The violation events in the proxies' traces.
fn violations(folder: &std::path::Path) -> std::io::Result<Vec<String>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "trace") {
            let text = std::fs::read_to_string(&path)?;
            let events = text.lines().filter(|line| line.contains(r#""event":"violation""#));
            found.extend(events.map(str::to_owned));
        }
    }
    Ok(found)
}

/// A run in progress.
pub struct Stage {
    /// The clock, the plan and the ledger.
    pub world: Rc<World>,
    /// The discovery service.
    pub discovery: Rc<Discovery>,
    /// The backends, including those that joined later.
    pub backends: RefCell<Vec<Rc<Backend>>>,
    /// The proxies under test.
    pub proxies: Vec<Rc<Proxy>>,
    /// The front layer and its clients.
    pub front: Rc<Front>,
    network: Rc<Network>,
    addresses: Addresses,
    /// The first error that made a verdict impossible.
    error: RefCell<Option<RunError>>,
    /// By proxy: since when it is suspended by SIGSTOP.
    stopped: RefCell<Vec<Option<Micros>>>,
    /// By proxy: whether it is ending or starting.
    busy: RefCell<Vec<bool>>,
    /// By proxy: whether it was killed and not started again.
    killed: RefCell<Vec<bool>>,
}

impl Stage {
    /// Starts the backends, discovery and the network, and creates the proxies without starting them.
    pub async fn set(
        plan: Plan, ledger: Ledger, program: &Program, folder: &Folder, peers: bool,
    ) -> Result<Rc<Self>, RunError> {
        let proxies = plan.proxies;
        let world = World::new(plan, ledger);
        spawn_local(world.clock.clone().watch());
        let addresses = Addresses::default();
        let draw = |n: usize| (0..n).map(|_| addresses.draw()).collect::<Result<Vec<_>, _>>();
        let (first, second) = (draw(proxies)?, draw(proxies)?);
        let discovery = first.into_iter().zip(second).map(|(one, other)| [one, other]).collect();
        let discovery = Discovery::start(&world, discovery)?;
        let listen = draw(proxies)?;
        let peer_listen = draw(proxies)?;
        let network = Network::start(&peer_listen, addresses.network(), world.plan.seed).await?;
        let place = |n: usize| Place {
            listen: listen[n],
            peers: peers.then(|| (peer_listen[n], network.seen[n].clone(), network.all[n])),
            discovery: discovery.addresses(n),
        };
        let made = (0..proxies).map(|n| Proxy::new(n, place(n), program.clone(), &folder.path)).collect();
        let stage = Rc::new(Stage {
            front: Front::new(listen.clone()),
            discovery,
            backends: RefCell::default(),
            proxies: made,
            network,
            addresses,
            error: RefCell::default(),
            stopped: RefCell::new(vec![None; proxies]),
            busy: RefCell::new(vec![false; proxies]),
            killed: RefCell::new(vec![false; proxies]),
            world,
        });
        for number in 0..stage.world.plan.initial {
            stage.start_backend(number, false)?;
        }
        Ok(stage)
    }

    fn start_backend(&self, number: usize, fresh: bool) -> std::io::Result<()> {
        let addresses =
            (0..self.proxies.len()).map(|_| self.addresses.draw()).collect::<Result<Vec<_>, _>>()?;
        let backend = Backend::start(&self.world, number, addresses, fresh);
        self.discovery.announce(&backend, Health::Up);
        self.backends.borrow_mut().push(backend);
        Ok(())
    }

    /// Starts all proxies, waits until they are up and puts them into service.
    pub async fn start(&self) -> Result<(), RunError> {
        for proxy in &self.proxies {
            proxy.start(&self.world, "null")?;
        }
        for proxy in &self.proxies {
            proxy.wait_until_up(&self.world).await?;
            self.front.set_in_service(proxy.number, true);
        }
        Ok(())
    }

    fn backend(&self, number: usize) -> Option<Rc<Backend>> {
        self.backends.borrow().iter().find(|b| b.number == number).cloned()
    }

    fn record_error(&self, error: impl Into<RunError>) {
        self.error.borrow_mut().get_or_insert(error.into());
    }

    /// Injects a fault.
    pub fn happen(self: &Rc<Self>, fault: Fault) {
        match fault {
            Fault::Mode(b, mode) => {
                if let Some(backend) = self.backend(b) {
                    backend.set(mode);
                }
            }
            Fault::Drain(b) => self.announce(b, Health::Draining),
            Fault::Undrain(b) => self.announce(b, Health::Up),
            Fault::Remove(b) => {
                if let Some(backend) = self.backend(b) {
                    backend.end();
                }
                self.announce(b, Health::Removed);
            }
            Fault::Join(b) => {
                if let Err(e) = self.start_backend(b, true) {
                    self.record_error(e);
                }
            }
            Fault::DiscoverySilent(silent) => self.discovery.set_silent(silent),
            Fault::DiscoverySplit(p, split) => self.discovery.set_split(p, split),
            Fault::DiscoveryStale => self.discovery.send_stale_list(),
            Fault::DiscoveryBroken => self.discovery.send_broken_line(),
            Fault::DiscoveryEnds => self.discovery.end_watches(),
            Fault::Datagrams(lost, late, duplicated) => {
                self.network.set(DatagramFaults { lost, late, duplicated })
            }
            Fault::FrontNotices(p) => self.front.set_in_service(p, false),
            Fault::Reload(p) => self.reconfigure(p, Proxy::reload),
            Fault::DropClass(p) => self.reconfigure(p, Proxy::drop_retired_class),
            Fault::MoveDiscovery(p) => self.reconfigure(p, Proxy::move_discovery),
            Fault::Term(p) => self.terminate(p),
            Fault::Kill(p) => self.kill(p),
            // A proxy that was busy at the time of the kill was not killed, so there is nothing to start.
            Fault::Start(p) => {
                if std::mem::take(&mut self.killed.borrow_mut()[p]) {
                    self.restart(p);
                }
            }
            Fault::Stop(p) => self.stop(p),
            Fault::Continue(p) => self.resume(p),
        }
    }

    fn reconfigure(&self, p: usize, change: impl FnOnce(&Proxy) -> Result<(), ProxyError>) {
        if self.is_free(p)
            && let Err(e) = change(&self.proxies[p])
        {
            self.record_error(e);
        }
    }

    fn announce(&self, backend: usize, health: Health) {
        if let Some(backend) = self.backend(backend).filter(|b| !b.has_ended() || health == Health::Removed) {
            self.discovery.announce(&backend, health);
        }
    }

    /// Whether a proxy is neither restarting nor suspended. Faults skip a proxy that is.
    fn is_free(&self, p: usize) -> bool {
        !self.busy.borrow()[p] && self.stopped.borrow()[p].is_none()
    }

    fn terminate(self: &Rc<Self>, p: usize) {
        if !self.is_free(p) {
            return;
        }
        self.busy.borrow_mut()[p] = true;
        let stage = self.clone();
        spawn_local(async move {
            let proxy = &stage.proxies[p];
            proxy.signal(Signal::TERM);
            sleep(TERM_NOTICE).await;
            stage.front.set_ending(p);
            // The kill excuses nothing: what it finds unanswered is lost.
            let until_kill = stage.world.plan.time_to_end().saturating_sub(TERM_NOTICE);
            match timeout(until_kill, proxy.wait_until_ended()).await {
                Ok(Err(e)) => return stage.record_error(e),
                Ok(Ok(())) => {}
                Err(_) => proxy.kill(),
            }
            stage.restart(p);
        });
    }

    fn kill(&self, p: usize) {
        if !self.is_free(p) {
            return;
        }
        self.busy.borrow_mut()[p] = true;
        self.killed.borrow_mut()[p] = true;
        self.world.record(Writer::Runner, Record::ProxyKilled { proxy: p as u16, at: self.world.now() });
        self.proxies[p].kill();
        // Recorded again after the process has ended: nothing listens on its port from here on.
        self.world.record(Writer::Runner, Record::ProxyKilled { proxy: p as u16, at: self.world.now() });
    }

    fn restart(self: &Rc<Self>, p: usize) {
        let stage = self.clone();
        spawn_local(async move {
            stage.front.set_in_service(p, false);
            let known_list = stage.discovery.known_list(p);
            let proxy = &stage.proxies[p];
            let up = match proxy.start(&stage.world, &known_list) {
                Ok(()) => proxy.wait_until_up(&stage.world).await,
                Err(e) => Err(e),
            };
            match up {
                Ok(()) => stage.front.set_in_service(p, true),
                Err(e) => stage.record_error(e),
            }
            stage.busy.borrow_mut()[p] = false;
        });
    }

    fn stop(&self, p: usize) {
        if self.is_free(p) {
            self.stopped.borrow_mut()[p] = Some(self.world.now());
            self.proxies[p].signal(Signal::STOP);
        }
    }

    fn resume(self: &Rc<Self>, p: usize) {
        let Some(from) = self.stopped.borrow_mut()[p].take() else { return };
        self.proxies[p].signal(Signal::CONT);
        let to = self.world.now();
        self.world.record(Writer::Runner, Record::ProxyPaused { proxy: p as u16, from, to });
        let stage = self.clone();
        spawn_local(async move {
            match stage.proxies[p].wait_until_up(&stage.world).await {
                Ok(()) => stage.front.set_in_service(p, true),
                Err(e) => stage.record_error(e),
            }
        });
    }

    /// Runs the load and the faults, and waits until all requests have ended.
    pub async fn play(self: &Rc<Self>) -> Result<(), RunError> {
        let begin = self.world.now();
        let mut steps = self.world.plan.steps.iter().peekable();
        for (number, request) in self.world.plan.requests.iter().enumerate() {
            sleep_until(self.world.clock.instant(begin + request.at)).await;
            while let Some(step) = steps.next_if(|s| s.at <= number) {
                self.happen(step.fault);
            }
            spawn_local(ask(self.world.clone(), self.front.clone(), number));
            if let Some(error) = self.error.borrow_mut().take() {
                return Err(error);
            }
        }
        self.finish().await
    }

    /// Waits until all requests have ended, and stops the proxies.
    ///
    /// # Errors
    /// The first error of the run, or that the wait takes too long.
    pub async fn finish(self: &Rc<Self>) -> Result<(), RunError> {
        (0..self.proxies.len()).for_each(|p| self.resume(p));
        self.front_settled().await?;
        self.discovery.set_silent(false);
        self.stop_proxies().await
    }

    /// Waits until all requests of clients have ended and no proxy is ending or starting.
    ///
    /// # Errors
    /// The first error of the run, or that the wait takes too long.
    pub async fn front_settled(&self) -> Result<(), RunError> {
        let wait = async {
            while self.front.open.get() > 0
                || self.busy.borrow().iter().any(|b| *b) && self.error.borrow().is_none()
            {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(WAIT_TIMEOUT, wait).await.map_err(|_| RunError::Endless("a request", WAIT_TIMEOUT))?;
        self.error.borrow_mut().take().map_or(Ok(()), Err)
    }

    /// Stops the proxies and waits until all attempts at backends have ended.
    async fn stop_proxies(&self) -> Result<(), RunError> {
        // Attempts in transit arrive before their proxies end.
        sleep(Duration::from_micros(2 * SLACK)).await;
        for proxy in &self.proxies {
            if let Some(end) = proxy.exit_status() {
                return Err(ProxyError::Ended(proxy.number, end, proxy.log()).into());
            }
        }
        self.front.close();
        self.proxies.iter().for_each(|p| p.signal(Signal::TERM));
        for proxy in &self.proxies {
            proxy.wait_until_ended().await?;
        }
        timeout(WAIT_TIMEOUT, self.world.attempts_ended())
            .await
            .map_err(|_| RunError::Endless("an attempt", WAIT_TIMEOUT))
    }

    /// The verdict on the records so far.
    pub fn verdict(&self) -> Verdict {
        let plan = &self.world.plan;
        let effects: Vec<Effect> = plan.requests.iter().map(|r| plan.classes[r.class].effect).collect();
        // A delayed process, and the remaining time that it passes on, may be late by the length of the delay.
        let held_up = if plan.system_faults.held_up > 0 { MAX_HOLD_UP } else { 0 };
        let terms = Terms {
            grace: GRACE_MS * 1000,
            max_concurrent_attempts: if plan.second_copies { 2 } else { 1 },
            slack: SLACK + held_up,
            stalls: self.world.clock.stalls(),
            after_leaving: Some(AFTER_LEAVING),
            pauses_excuse: false,
        };
        self.world.ledger().check(&effects, &terms, &self.world.written())
    }
}

/// Runs a plan from start to verdict.
///
/// # Errors
/// Whatever makes a verdict impossible; it never counts as a pass.
pub fn run(plan: Plan, program: &Program, ledger: Ledger) -> Result<Outcome, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tag = format!("{}-{}-{:x}", plan.scenario, std::process::id(), plan.seed);
    let mut logs = Folder::new(&tag)?;
    let mut program = Program { traces: true, ..program.clone() };
    if plan.system_faults != SystemFaults::default() {
        program.faults = Some(FaultLibrary::build(&logs.path, plan.system_faults)?);
    }
    let local = LocalSet::new();
    let outcome = local.block_on(&runtime, async {
        let stage = Stage::set(plan, ledger, &program, &logs, true).await?;
        stage.start().await?;
        let begin = stage.world.now();
        stage.play().await?;
        let stalls = stage.world.clock.stalls();
        let stalled = stalls.iter().map(|(a, b)| b - a).sum::<Micros>() as f64 / 1000.0;
        let seconds = (stage.world.now() - begin) as f64 / 1e6;
        Ok((
            stage.verdict(),
            stage.front.untaken.get(),
            stage.network.oversized.get(),
            stage.front.unended.take(),
            (stalls.len(), stalled),
            seconds,
        ))
    });
    match outcome {
        Ok((verdict, untaken, oversized, unended, stalls, seconds)) => {
            let violations = violations(&logs.path)?;
            Ok(Outcome { verdict, untaken, oversized, unended, violations, stalls, seconds, logs })
        }
        Err(e) => {
            logs.keep();
            Err(e)
        }
    }
}
