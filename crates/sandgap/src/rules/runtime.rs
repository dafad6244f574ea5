//! Drives the agent of agreed rules: links and membership on sockets, the voter's disk on a separate thread, and
//! version changes in the daemon.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sandgap_agree::log::{Saved, Write};
use sandgap_agree::messages::Message;
use sandgap_agree::store::{Opened, Store};
use sandgap_agree::{Agent, Output, Rulebook, Version};
use sandgap_fleet::link::{Incoming, Links};
use sandgap_fleet::members::{Gossip, ProbeTiming};
use sandgap_fleet::{Identity, Members};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;
use wharfhitch::{Scope, Settings};

use super::kept_version::KeptVersion;
use super::voter_disk::{DiskEvent, VoterDisk};
use super::watch::Watch;
use super::{Rules, SharedAgent, book, now, riders};
use crate::config::Fleet;
use crate::event::{Input, InputSender};
use crate::front::Frontend;
use crate::note;
use crate::retry;
use crate::socket;

/// Link channel for membership messages.
pub const MEMBERS_CHANNEL: u8 = 1;
/// Link channel for messages about rules.
pub const RULES_CHANNEL: u8 = 2;
/// Queue capacity for incoming messages; links wait when it is full.
const INCOMING_QUEUE: usize = 256;
/// Maximum number of further messages handled before timers are checked.
const MAX_BATCH: usize = 64;
/// How long a stopping leader waits for the handover of its leadership.
const RETIRE_WAIT: Duration = Duration::from_millis(100);
/// Interval between two attempts to join while the fleet address is in use, and between two log lines about it.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Longest wait before timers are checked.
const MAX_TIMER_WAIT: Duration = Duration::from_secs(1);

/// The parts of the process that the runtime uses.
#[derive(Clone)]
pub struct Dependencies {
    /// Decides whether requests may be admitted.
    pub rules: Rc<Rules>,
    /// Takes over changed settings.
    pub front: Rc<Frontend>,
    /// Passes changes to the decision library.
    pub input_sender: InputSender,
    /// The settings at the start, for everything that rules don't cover.
    pub base: Settings,
    /// Whether its backends come from discovery.
    pub discovery: bool,
}

/// The runtime of an agent; see the module documentation.
pub struct Runtime {
    dependencies: Dependencies,
    /// The driven agent, which is in use or will be.
    agent: SharedAgent,
    fleet: Fleet,
    members: Members,
    links: Rc<Links>,
    incoming: mpsc::Receiver<Incoming>,
    /// The voter's disk, if this proxy is a voter.
    disk: Option<VoterDisk>,
    /// Keeps the version in force for the next start.
    kept_version: Option<KeptVersion>,
    watch: Rc<Watch>,
    /// The version that is being put into effect.
    activation: Option<Activation>,
}

/// A version that the driver puts into effect.
struct Activation {
    version: Version,
    in_effect: oneshot::Receiver<()>,
}

/// Random bits for query numbers and elections.
fn random_u64() -> u64 {
    let mut bytes = [0; 8];
    match getrandom::fill(&mut bytes) {
        Ok(()) => u64::from_le_bytes(bytes),
        Err(_) => now().as_nanos() as u64 ^ u64::from(std::process::id()) << 40,
    }
}

/// An agent of this fleet without any state.
pub fn agent(fleet: &Fleet) -> Agent {
    Agent::new(now(), &fleet.name, fleet.timing, fleet.voters.clone(), random_u64())
}

impl Runtime {
    /// Joins the fleet under this proxy's name and address, as a voter if it is one.
    ///
    /// # Errors
    /// If the address or the disk can't be used.
    async fn as_member(dependencies: Dependencies, fleet: Fleet) -> Result<Self, String> {
        let on = fleet.listen;
        let what = format!("fleet on {on}");
        let listener = retry::retry_transient(&what, || socket::listen(on)).await;
        let listener = listener.map_err(|e| format!("{what}: {e}"))?;
        let agent = Rc::new(RefCell::new(agent(&fleet)));
        let mut runtime = Self::new(dependencies, fleet, agent);
        if let Some(path) = runtime.fleet.store.clone().filter(|_| runtime.fleet.is_voter()) {
            runtime.open_voter_store(&path)?;
        }
        spawn_local(runtime.links.clone().serve(listener));
        runtime.load_kept_version();
        Ok(runtime)
    }

    /// Asks for leases under a separate name while the older process still holds this proxy's name and address.
    fn as_guest(dependencies: Dependencies, mut fleet: Fleet) -> Self {
        fleet.name = format!("{:.40}~{}", fleet.name, std::process::id());
        let agent = Rc::new(RefCell::new(agent(&fleet)));
        dependencies.rules.use_agent(agent.clone());
        Self::new(dependencies, fleet, agent)
    }

    fn new(dependencies: Dependencies, fleet: Fleet, agent: SharedAgent) -> Self {
        let (sender, incoming) = mpsc::channel(INCOMING_QUEUE);
        let links = Links::new(fleet.key.clone(), fleet.name.clone(), sender);
        let incarnation = now().as_millis() as u64;
        let (name, zone) = (fleet.name.clone(), fleet.zone.clone());
        let me = Identity { name, address: fleet.listen, incarnation, zone };
        let members = Members::new(me, ProbeTiming::default(), random_u64());
        let kept_version = fleet.kept_version_path.clone().map(KeptVersion::new);
        let watch = Watch::new(dependencies.clone(), agent.clone(), fleet.is_voter(), fleet.zone.clone());
        Runtime {
            dependencies,
            agent,
            fleet,
            members,
            links,
            incoming,
            disk: None,
            kept_version,
            watch,
            activation: None,
        }
    }

    /// Opens the voter's store. A missing or damaged store is replaced by a blank one with a new seat.
    fn open_voter_store(&mut self, path: &Path) -> Result<(), String> {
        let (store, saved) = match Store::open(path) {
            Opened::Intact(store, saved) => (store, saved),
            Opened::Unavailable(why) => return Err(format!("{}: {why}", path.display())),
            Opened::Missing => {
                note!(warn:
                    "{}: no store; the other voters are asked for a new seat. A new fleet is founded with \
                     'sandgap fleet found'", path.display()
                );
                create_blank_store(path)?
            }
            Opened::Damaged(why) => {
                let aside = Store::move_aside(path).map_err(|e| e.to_string())?;
                note!(error:
                    "{}: {why}; moved to {}. This voter takes no part until the others have rebuilt it",
                    path.display(), aside.display()
                );
                create_blank_store(path)?
            }
        };
        self.disk = Some(VoterDisk::start(path, store).map_err(|e| format!("{}: {e}", path.display()))?);
        self.start_voting(&saved).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Starts the agent's voter from the state on its disk.
    fn start_voting(&self, saved: &Saved) -> Result<(), String> {
        let address = self.fleet.listen;
        self.agent.borrow_mut().vote(now(), saved, riders(), address).map_err(|e| e.to_string())
    }

    /// Loads the version kept from before the start, which serves the classes that need no lease. It is not loaded once this
    /// process has agreed rules as a guest, which it might undo.
    fn load_kept_version(&mut self) {
        if self.dependencies.rules.agreed_version.get() > 0 {
            return;
        }
        let Some(path) = &self.fleet.kept_version_path else { return };
        let Ok(bytes) = std::fs::read(path) else { return };
        let kept = bytes.split_first_chunk::<8>();
        let kept = kept.map(|(version, book)| (u64::from_le_bytes(*version), Rulebook::decode(book)));
        match kept {
            Some((version, Ok(book))) => match self.put_in_force(&book) {
                Ok(_) => {
                    note!("rules: version {version} was kept; classes that serve without a lease go by it");
                    self.dependencies.rules.record_unleased_classes(&book);
                    self.dependencies.rules.kept_version.set(version);
                }
                Err(e) => note!(warn: "rules: the kept version {version} can't be used: {e}"),
            },
            _ => note!(warn: "{}: the kept version can't be read", path.display()),
        }
    }

    /// Announces this proxy to the voters.
    fn announce(&mut self) {
        for (name, address) in self.fleet.voters.clone() {
            if name != self.fleet.name {
                let gossip = self.members.join(now(), &name, address);
                self.send_gossip(gossip);
            }
        }
    }

    /// Runs as long as the process does, or with `until_leased` until the agent may admit requests.
    async fn run(&mut self, until_leased: bool) {
        loop {
            if until_leased && self.agent.borrow().take(now()).is_some() {
                return;
            }
            let due = self.agent.borrow().next_due();
            let due = self.members.next_due().map_or(due, |at| at.min(due));
            let wait = due.saturating_sub(now()).min(MAX_TIMER_WAIT);
            tokio::select! {
                Some(incoming) = self.incoming.recv() => {
                    self.handle_message(incoming);
                    for _ in 0..MAX_BATCH {
                        let Ok(more) = self.incoming.try_recv() else { break };
                        self.handle_message(more);
                    }
                }
                event = next_disk_event(&mut self.disk) => self.handle_disk_event(event),
                version = next_in_effect(&mut self.activation) => self.confirm(version),
                () = sleep(wait) => {}
            }
            self.run_timers();
        }
    }

    fn run_timers(&mut self) {
        let at = now();
        let gossip = self.members.run_due_timers(at);
        self.send_gossip(gossip);
        if self.agent.borrow().next_due() <= at {
            let others = self.members.present().into_iter().map(|m| m.name);
            let others = others.filter(|name| *name != self.fleet.name).collect();
            let mut agent = self.agent.borrow_mut();
            agent.set_peers(others);
            agent.fire(at);
        }
        self.process_outputs();
    }

    fn handle_message(&mut self, incoming: Incoming) {
        let Incoming { from, channel, body } = incoming;
        match channel {
            MEMBERS_CHANNEL => {
                let gossip = self.members.handle_message(now(), &body);
                self.send_gossip(gossip);
            }
            RULES_CHANNEL => {
                if let Some(message) = Message::decode(&body) {
                    self.agent.borrow_mut().receive(now(), &from, message);
                    self.process_outputs();
                }
            }
            _ => {} // a channel of a later version of the program
        }
    }

    fn handle_disk_event(&mut self, event: DiskEvent) {
        match event {
            DiskEvent::Written(number) => self.agent.borrow_mut().written(now(), number),
            DiskEvent::Failed(why) => self.agent.borrow_mut().disk_failed(&why),
            DiskEvent::Back(saved) => match self.start_voting(&saved) {
                Ok(()) => note!("rules: the voter's disk can be written again; this proxy votes"),
                Err(why) => {
                    note!(error: "rules: the voter's disk is back, but the voter can't start from it: {why}")
                }
            },
        }
    }

    fn write(&mut self, write: Write) {
        let handed_over = self.disk.as_mut().map_or(Err("there is no disk"), |disk| disk.write(write));
        if let Err(why) = handed_over {
            self.agent.borrow_mut().disk_failed(why);
        }
    }

    fn send_gossip(&mut self, all: Vec<Gossip>) {
        for Gossip { to, bytes } in all {
            let address = self.dial_address(&to.name, Some(to.address));
            self.links.send(&to.name, address, MEMBERS_CHANNEL, bytes);
        }
    }

    /// The address to dial a proxy: the configured one, otherwise the advertised one.
    fn dial_address(&self, name: &str, advertised: Option<SocketAddr>) -> Option<SocketAddr> {
        self.fleet.dial_addresses.get(name).copied().or(advertised)
    }

    fn process_outputs(&mut self) {
        loop {
            let output = self.agent.borrow_mut().poll();
            let Some(output) = output else { return };
            match output {
                Output::Send(to, address, message) => {
                    let known = address.or_else(|| self.members.find(&to).map(|m| m.address));
                    self.links.send(&to, self.dial_address(&to, known), RULES_CHANNEL, message.encode());
                }
                Output::Write(write) => self.write(write),
                Output::Check(version, rules) => {
                    let usable = self.check(&rules);
                    if let Err(why) = &usable {
                        note!(warn: "rules: version {version} can't be used here: {why}");
                    }
                    self.agent.borrow_mut().checked(now(), version, usable);
                }
                Output::Act(version, rules) => self.activate(version, &rules),
                Output::RiderMessages(messages) => self.watch.apply_instructions(&messages),
                Output::Enrolment(_) => {} // the daemon does not use lives yet
                Output::Log(text) => note!("{text}"),
            }
        }
    }

    fn check(&self, rules: &Rulebook) -> Result<(), String> {
        book::check(rules, self.dependencies.discovery)?;
        let (settings, names) = book::settings(rules, &self.dependencies.base);
        self.dependencies.front.check_settings(&settings, &names)
    }

    fn activate(&mut self, version: Version, rules: &Rulebook) {
        let agreed_version = &self.dependencies.rules.agreed_version;
        if version < agreed_version.get() {
            // As a guest this process has a newer version in force already.
            return self.confirm(version);
        }
        // The version was checked just before. If requests hold too many classes by now, no version is put in force
        // here.
        match self.put_in_force(rules) {
            Ok(in_effect) => {
                agreed_version.set(version);
                self.dependencies.rules.record_unleased_classes(rules);
                self.activation = Some(Activation { version, in_effect });
                self.keep(version, rules);
            }
            Err(why) => {
                note!(error: "rules: version {version} can't be put in force: {why}");
                self.agent.borrow_mut().cannot_act(version, &why);
            }
        }
    }

    /// Reports that a version is in effect.
    fn confirm(&mut self, version: Version) {
        note!("rules: version {version} in force");
        self.agent.borrow_mut().in_effect(now(), version);
    }

    /// Passes rules to the driver; the receiver is notified once they are in effect. Drains hold even if the settings can't
    /// be changed.
    fn put_in_force(&self, rules: &Rulebook) -> Result<oneshot::Receiver<()>, String> {
        let changed = self.change_settings(rules);
        let (sender, in_effect) = oneshot::channel();
        let drains = Input::ManualDrains { names: rules.drained.clone(), in_effect: sender };
        self.dependencies.input_sender.send(drains);
        changed.map(|()| in_effect)
    }

    /// Passes the settings of rules, and their backends if they name any, to the driver.
    fn change_settings(&self, rules: &Rulebook) -> Result<(), String> {
        let (settings, names) = book::settings(rules, &self.dependencies.base);
        let change = self.dependencies.front.change(&settings, &names)?;
        self.dependencies.input_sender.send(Input::Change(Box::new(change)));
        if let Some(hosts) = book::hosts(rules) {
            self.dependencies.input_sender.send(Input::List(Scope::Full, hosts));
        }
        Ok(())
    }

    /// Keeps the version for the next start, on another thread so that a slow disk does not block the event loop.
    fn keep(&self, version: Version, rules: &Rulebook) {
        if let (Some(kept), Ok(bytes)) = (&self.kept_version, rules.encode()) {
            kept.put([&version.to_le_bytes()[..], &bytes].concat());
        }
    }
}

/// The next event of the voter's disk; pending for ever without a disk.
async fn next_disk_event(disk: &mut Option<VoterDisk>) -> DiskEvent {
    match disk {
        Some(disk) => disk.next().await,
        None => std::future::pending().await,
    }
}

/// The version that has been put into effect next; pending for ever while none is being put into effect.
async fn next_in_effect(activation: &mut Option<Activation>) -> Version {
    if let Some(pending) = activation
        && (&mut pending.in_effect).await.is_ok()
    {
        let version = pending.version;
        *activation = None;
        return version;
    }
    std::future::pending().await // without a driver the process ends
}

/// Joins the fleet. While an older process still holds the address, as in an upgrade, this process asks for leases as a
/// guest. Once the address is free it joins as a member, and switches over when it has a lease as a member.
pub async fn serve(dependencies: Dependencies, fleet: Fleet) {
    let mut guest: Option<JoinHandle<()>> = None;
    let mut logged_at: Option<Instant> = None;
    let mut member = loop {
        match Runtime::as_member(dependencies.clone(), fleet.clone()).await {
            Ok(runtime) => break runtime,
            Err(e) => {
                if logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
                    note!(warn: "rules: {e}; this process asks as a guest until the place is free");
                    logged_at = Some(Instant::now());
                }
                let start_guest = || {
                    let mut runtime = Runtime::as_guest(dependencies.clone(), fleet.clone());
                    spawn_local(async move { runtime.run(false).await })
                };
                guest.get_or_insert_with(start_guest);
                sleep(JOIN_RETRY_DELAY).await;
            }
        }
    };
    member.announce();
    if let Some(guest) = guest {
        member.run(true).await;
        dependencies.rules.use_agent(member.agent.clone());
        guest.abort();
        note!("rules: the place in the fleet is this process's now");
    } else {
        dependencies.rules.use_agent(member.agent.clone());
    }
    member.run(false).await;
}

/// Prepares a proxy for shutdown: a leader transfers its leadership, so that the fleet need not wait for an election.
pub async fn retire(rules: &Rules) {
    let agent = rules.agent();
    let leads = agent.borrow().voter().is_some_and(|v| v.leads());
    if leads {
        agent.borrow_mut().hand_over_lead(now());
        sleep(RETIRE_WAIT).await;
    }
}

/// Creates a blank store with a new seat.
fn create_blank_store(path: &Path) -> Result<(Store, Saved), String> {
    let saved = Saved::empty(random_u64().max(1));
    Ok((Store::create(path, &saved).map_err(|e| e.to_string())?, saved))
}
