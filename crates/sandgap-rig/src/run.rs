//! Runs a plan: stand-ins, proxies, load, faults, and the verdict at the end.

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
use crate::limits::PATIENCE;
use crate::peers::{Network, Weather};
use crate::proxy::{Place, Program, Proxy, ProxyError};
use crate::schedule::{Fault, GRACE_MS, Plan};
use crate::system_faults::{FaultLibrary, SystemFaults};
use crate::world::{Addresses, World};
use sandgap_rules::{Effect, Ledger, Record, Terms, Verdict, Writer};

/// What sockets and schedulers may cost, on each of the rules' time limits.
pub const SLACK: Micros = 50_000;
/// An attempt that begins later than this after its client has left is a lost request, by the operators' terms.
const AFTER_LEAVING: Micros = 100_000;
/// How long a process is held up at most where the plan says so.
const HELD_UP: Micros = 150_000;
/// The front goes on dealing connections to a proxy for this long after its SIGTERM; by the protocol 0.2 to 0.4 s.
const TERM_NOTICE: Duration = Duration::from_millis(250);

/// Why there is no verdict.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The system gave no address, file or thread.
    #[error("the rig can't run here: {0}")]
    System(#[from] std::io::Error),
    /// A proxy could not be run.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    /// A process may not hold as many links as its hollow proxies would have.
    #[error(
        "{in_one} hollow proxies in one process need {needed} descriptors, and it may have {limit}: let fewer share one"
    )]
    Descriptors {
        /// Hollow proxies that share a process.
        in_one: usize,
        /// What their links take once each knows all others.
        needed: usize,
        /// What the system allows a process.
        limit: u64,
    },
    /// Something never came to its end.
    #[error("{0} has no end after {1:?}")]
    Endless(&'static str, Duration),
}

/// What a run found beside its verdict.
pub struct Outcome {
    /// The verdict.
    pub verdict: Verdict,
    /// Requests that found no proxy in service.
    pub untaken: u32,
    /// Datagrams over the protocol's size.
    pub oversized: u32,
    /// Clients that stopped in the middle of a request and had no end in time: the request, its proxy, bytes sent.
    pub unended: Vec<(usize, usize, usize)>,
    /// Rules that the proxies say they would have broken, by their traces.
    pub violations: Vec<String>,
    /// Spans in which the machine kept the rig waiting, and their sum, ms.
    pub stalls: (usize, f64),
    /// Wall time of the load, s.
    pub seconds: f64,
    /// Where the proxies' logs are; the folder goes with this value.
    pub logs: Folder,
}

/// A folder for one run's files, removed with the value.
pub struct Folder {
    /// Where.
    pub path: PathBuf,
    keep: bool,
}

impl Folder {
    /// A folder named after `tag`.
    ///
    /// # Errors
    /// The system's.
    pub fn new(tag: &str) -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("sandgap-rig-{tag}"));
        std::fs::create_dir_all(&path)?;
        Ok(Folder { path, keep: false })
    }

    /// Leaves the files where they are.
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
    /// Whether all rules were seen to hold, whoever saw it.
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

/// What the proxies' traces say of rules that would have been broken.
fn violations(folder: &std::path::Path) -> std::io::Result<Vec<String>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "trace") {
            let text = std::fs::read_to_string(&path)?;
            let said = text.lines().filter(|line| line.contains(r#""event":"violation""#));
            found.extend(said.map(str::to_owned));
        }
    }
    Ok(found)
}

/// A run in progress.
pub struct Stage {
    /// What all share.
    pub world: Rc<World>,
    /// Discovery.
    pub discovery: Rc<Discovery>,
    /// Backends, those that joined later too.
    pub backends: RefCell<Vec<Rc<Backend>>>,
    /// Proxies.
    pub proxies: Vec<Rc<Proxy>>,
    /// The front layer and its clients.
    pub front: Rc<Front>,
    network: Rc<Network>,
    addresses: Addresses,
    /// The first thing that made a verdict impossible.
    error: RefCell<Option<RunError>>,
    /// When a proxy was stopped.
    stopped: RefCell<Vec<Option<Micros>>>,
    busy: RefCell<Vec<bool>>,
    /// Those that have been killed and not started again.
    killed: RefCell<Vec<bool>>,
}

impl Stage {
    /// Sets the stage: backends, discovery, network; proxies are made and not started.
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
            stage.join(number, false)?;
        }
        Ok(stage)
    }

    fn join(&self, number: usize, fresh: bool) -> std::io::Result<()> {
        let addresses =
            (0..self.proxies.len()).map(|_| self.addresses.draw()).collect::<Result<Vec<_>, _>>()?;
        let backend = Backend::start(&self.world, number, addresses, fresh);
        self.discovery.say(&backend, Health::Up);
        self.backends.borrow_mut().push(backend);
        Ok(())
    }

    /// Starts all proxies and waits until they are up.
    pub async fn start(&self) -> Result<(), RunError> {
        for proxy in &self.proxies {
            proxy.start(&self.world, "null")?;
        }
        for proxy in &self.proxies {
            proxy.up(&self.world).await?;
            self.front.believe(proxy.number, true);
        }
        Ok(())
    }

    fn backend(&self, number: usize) -> Option<Rc<Backend>> {
        self.backends.borrow().iter().find(|b| b.number == number).cloned()
    }

    fn fail(&self, error: impl Into<RunError>) {
        self.error.borrow_mut().get_or_insert(error.into());
    }

    /// Lets a fault happen.
    pub fn happen(self: &Rc<Self>, fault: Fault) {
        match fault {
            Fault::Mode(b, mode) => {
                if let Some(backend) = self.backend(b) {
                    backend.set(mode);
                }
            }
            Fault::Drain(b) => self.say(b, Health::Draining),
            Fault::Undrain(b) => self.say(b, Health::Up),
            Fault::Remove(b) => {
                if let Some(backend) = self.backend(b) {
                    backend.end();
                }
                self.say(b, Health::Removed);
            }
            Fault::Join(b) => {
                if let Err(e) = self.join(b, true) {
                    self.fail(e);
                }
            }
            Fault::DiscoverySilent(silent) => self.discovery.set_silent(silent),
            Fault::DiscoverySplit(p, split) => self.discovery.set_split(p, split),
            Fault::DiscoveryStale => self.discovery.repeat_old(),
            Fault::DiscoveryBroken => self.discovery.garble(),
            Fault::DiscoveryEnds => self.discovery.end_watches(),
            Fault::Datagrams(lost, late, doubled) => self.network.set(Weather { lost, late, doubled }),
            Fault::FrontNotices(p) => self.front.believe(p, false),
            Fault::Reload(p) => self.reconfigure(p, Proxy::reload),
            Fault::MoveDiscovery(p) => self.reconfigure(p, Proxy::move_discovery),
            Fault::Term(p) => self.term(p),
            Fault::Kill(p) => self.kill(p),
            // Of one that was busy when it should have been killed nothing has to be started.
            Fault::Start(p) => {
                if std::mem::take(&mut self.killed.borrow_mut()[p]) {
                    self.restart(p);
                }
            }
            Fault::Stop(p) => self.stop(p),
            Fault::Continue(p) => self.go_on(p),
        }
    }

    fn reconfigure(&self, p: usize, change: impl FnOnce(&Proxy) -> Result<(), ProxyError>) {
        if self.is_free(p)
            && let Err(e) = change(&self.proxies[p])
        {
            self.fail(e);
        }
    }

    fn say(&self, backend: usize, health: Health) {
        if let Some(backend) = self.backend(backend).filter(|b| !b.is_gone() || health == Health::Removed) {
            self.discovery.say(&backend, health);
        }
    }

    /// A proxy that restarts at present is left alone by further faults.
    fn is_free(&self, p: usize) -> bool {
        !self.busy.borrow()[p] && self.stopped.borrow()[p].is_none()
    }

    fn term(self: &Rc<Self>, p: usize) {
        if !self.is_free(p) {
            return;
        }
        self.busy.borrow_mut()[p] = true;
        let stage = self.clone();
        spawn_local(async move {
            stage.proxies[p].signal(Signal::TERM);
            sleep(TERM_NOTICE).await;
            stage.front.believe(p, false);
            match stage.proxies[p].end().await {
                Ok(()) => stage.restart(p),
                Err(e) => stage.fail(e),
            }
        });
    }

    fn kill(&self, p: usize) {
        if !self.is_free(p) {
            return;
        }
        self.busy.borrow_mut()[p] = true;
        self.killed.borrow_mut()[p] = true;
        self.world.note(Writer::Runner, Record::ProxyKilled { proxy: p as u16, at: self.world.now() });
        self.proxies[p].kill();
        // What reaches its port from here on meets nobody.
        self.world.note(Writer::Runner, Record::ProxyKilled { proxy: p as u16, at: self.world.now() });
    }

    fn restart(self: &Rc<Self>, p: usize) {
        let stage = self.clone();
        spawn_local(async move {
            stage.front.believe(p, false);
            let known = stage.discovery.known(p);
            let proxy = &stage.proxies[p];
            let up = match proxy.start(&stage.world, &known) {
                Ok(()) => proxy.up(&stage.world).await,
                Err(e) => Err(e),
            };
            match up {
                Ok(()) => stage.front.believe(p, true),
                Err(e) => stage.fail(e),
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

    fn go_on(self: &Rc<Self>, p: usize) {
        let Some(from) = self.stopped.borrow_mut()[p].take() else { return };
        self.proxies[p].signal(Signal::CONT);
        let to = self.world.now();
        self.world.note(Writer::Runner, Record::ProxyPaused { proxy: p as u16, from, to });
        let stage = self.clone();
        spawn_local(async move {
            match stage.proxies[p].up(&stage.world).await {
                Ok(()) => stage.front.believe(p, true),
                Err(e) => stage.fail(e),
            }
        });
    }

    /// Plays the load and the faults, and waits until all that was asked has its end.
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

    /// Waits until all that was asked has its end, and ends the proxies.
    ///
    /// # Errors
    /// What went wrong meanwhile, or that it takes too long.
    pub async fn finish(self: &Rc<Self>) -> Result<(), RunError> {
        (0..self.proxies.len()).for_each(|p| self.go_on(p));
        self.front_settled().await?;
        self.discovery.set_silent(false);
        self.settle_backends().await
    }

    /// Waits until all that clients asked has its end.
    ///
    /// # Errors
    /// What went wrong meanwhile, or that it takes too long.
    pub async fn front_settled(&self) -> Result<(), RunError> {
        let wait = async {
            while self.front.open.get() > 0
                || self.busy.borrow().iter().any(|b| *b) && self.error.borrow().is_none()
            {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(PATIENCE, wait).await.map_err(|_| RunError::Endless("a request", PATIENCE))?;
        self.error.borrow_mut().take().map_or(Ok(()), Err)
    }

    async fn settle_backends(&self) -> Result<(), RunError> {
        // Attempts that are on their way arrive before their proxies end.
        sleep(Duration::from_micros(2 * SLACK)).await;
        for proxy in &self.proxies {
            if let Some(end) = proxy.ended() {
                return Err(ProxyError::Ended(proxy.number, end, proxy.log()).into());
            }
        }
        self.front.close();
        self.proxies.iter().for_each(|p| p.signal(Signal::TERM));
        for proxy in &self.proxies {
            proxy.end().await?;
        }
        timeout(PATIENCE, self.world.settled()).await.map_err(|_| RunError::Endless("an attempt", PATIENCE))
    }

    /// The verdict on what has been written.
    pub fn verdict(&self) -> Verdict {
        let plan = &self.world.plan;
        let effects: Vec<Effect> = plan.requests.iter().map(|r| plan.classes[r.class].effect).collect();
        // A process that is held up may be late by that, and its clients' time with it.
        let held_up = if plan.system_faults.held_up > 0 { HELD_UP } else { 0 };
        let terms = Terms {
            grace: GRACE_MS * 1000,
            slack: SLACK + held_up,
            stalls: self.world.clock.stalls(),
            after_leaving: Some(AFTER_LEAVING),
            pauses_excuse: false,
        };
        self.world.ledger().check(&effects, &terms, &self.world.written())
    }
}

/// Runs a plan from its beginning to the verdict.
///
/// # Errors
/// Whatever makes a verdict impossible; it is never taken for a pass.
pub fn run(plan: Plan, program: &Program, ledger: Ledger) -> Result<Outcome, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tag = format!("{}-{}-{:x}", plan.scenario, std::process::id(), plan.seed);
    let mut logs = Folder::new(&tag)?;
    let mut program = Program { traces: true, ..program.clone() };
    if plan.system_faults != SystemFaults::default() {
        program.faults = Some(FaultLibrary::build(&logs.path, plan.system_faults)?);
    }
    let local = LocalSet::new();
    let played = local.block_on(&runtime, async {
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
    match played {
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
