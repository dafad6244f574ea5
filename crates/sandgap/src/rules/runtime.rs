//! Drives the agent of agreed rules: links and members on sockets, the voter's disk on a thread of its own, switches
//! into the daemon.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sandgap_agree::log::{Saved, Write};
use sandgap_agree::store::{Opened, Store};
use sandgap_agree::words::Word;
use sandgap_agree::{Agent, Output, Rulebook, Version};
use sandgap_fleet::link::{Incoming, Links};
use sandgap_fleet::members::{Gossip, Pace};
use sandgap_fleet::{Identity, Members};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;
use wharfhitch::{Scope, Settings};

use super::kept_version::KeptVersion;
use super::voter_disk::{DiskNews, VoterDisk};
use super::watch::Watch;
use super::{Rules, Shared, book, now, riders};
use crate::config::Fleet;
use crate::event::{Inbox, Input};
use crate::front::Frontend;
use crate::note;
use crate::retry;
use crate::socket;

/// The channel of membership on the links.
pub const MEMBERS: u8 = 1;
/// The channel of rules.
pub const RULES: u8 = 2;
/// Words that wait to be taken in; links wait beyond it.
const INCOMING: usize = 256;
/// Words taken in between two looks at the timers.
const BATCH: usize = 64;
/// How long a leader that ends waits for another to lead.
const RETIRE: Duration = Duration::from_millis(100);
/// Between two tries to take a place that is not free, and between two lines about it.
const AGAIN: Duration = Duration::from_millis(100);
const TELL: Duration = Duration::from_secs(10);
/// The longest wait between two looks at the timers, whatever is due.
const LOOK: Duration = Duration::from_secs(1);

/// What the runtime needs of the process.
#[derive(Clone)]
pub struct Parts {
    /// Whether requests may be taken.
    pub rules: Rc<Rules>,
    /// Whose settings change.
    pub front: Rc<Frontend>,
    /// Where the module hears of it.
    pub inbox: Inbox,
    /// What this proxy was started with, where rules say nothing.
    pub base: Settings,
    /// Whether its backends come from discovery.
    pub discovery: bool,
}

/// See the module.
pub struct Runtime {
    parts: Parts,
    /// What it drives: the one that counts, or the one that will.
    agent: Shared,
    fleet: Fleet,
    members: Members,
    links: Rc<Links>,
    incoming: mpsc::Receiver<Incoming>,
    /// The voter's, if there is one.
    disk: Option<VoterDisk>,
    /// Where the version in force is kept for the next start.
    kept_version: Option<KeptVersion>,
    watch: Rc<Watch>,
}

/// Chance for names of questions and elections.
fn chance() -> u64 {
    let mut bytes = [0; 8];
    match getrandom::fill(&mut bytes) {
        Ok(()) => u64::from_le_bytes(bytes),
        Err(_) => now().as_nanos() as u64 ^ u64::from(std::process::id()) << 40,
    }
}

/// An agent of this fleet that knows nothing yet.
pub fn agent(fleet: &Fleet) -> Agent {
    Agent::new(now(), &fleet.name, fleet.terms, fleet.voters.clone(), chance())
}

impl Runtime {
    /// Takes this proxy's place in the fleet, and takes up a voter's part if it has one.
    ///
    /// # Errors
    /// Where the address or the disk can't be used.
    async fn member(parts: Parts, fleet: Fleet) -> Result<Self, String> {
        let on = fleet.listen;
        let what = format!("fleet on {on}");
        let listener = retry::until_had(&what, || socket::listen(on)).await;
        let listener = listener.map_err(|e| format!("{what}: {e}"))?;
        let agent = Rc::new(RefCell::new(agent(&fleet)));
        let mut runtime = Self::new(parts, fleet, agent);
        if let Some(path) = runtime.fleet.store.clone().filter(|_| runtime.fleet.votes()) {
            runtime.vote(&path)?;
        }
        spawn_local(runtime.links.clone().serve(listener));
        runtime.take_up_kept();
        Ok(runtime)
    }

    /// Asks for leases under a name of its own, while the process before this one still has the place.
    fn guest(parts: Parts, mut fleet: Fleet) -> Self {
        fleet.name = format!("{:.40}~{}", fleet.name, std::process::id());
        let agent = Rc::new(RefCell::new(agent(&fleet)));
        parts.rules.adopt(agent.clone());
        Self::new(parts, fleet, agent)
    }

    fn new(parts: Parts, fleet: Fleet, agent: Shared) -> Self {
        let (sender, incoming) = mpsc::channel(INCOMING);
        let links = Links::new(fleet.key.clone(), fleet.name.clone(), sender);
        let incarnation = now().as_millis() as u64;
        let (name, zone) = (fleet.name.clone(), fleet.zone.clone());
        let me = Identity { name, address: fleet.listen, incarnation, zone };
        let members = Members::new(me, Pace::default(), chance());
        let kept_version = fleet.keep.clone().map(KeptVersion::new);
        let watch = Watch::new(parts.clone(), agent.clone(), fleet.votes(), fleet.zone.clone());
        Runtime { parts, agent, fleet, members, links, incoming, disk: None, kept_version, watch }
    }

    /// Opens the voter's store. One that is missing or damaged is replaced by a blank one, under another seat.
    fn vote(&mut self, path: &Path) -> Result<(), String> {
        let (store, saved) = match Store::open(path) {
            Opened::Sound(store, saved) => (store, saved),
            Opened::Unavailable(why) => return Err(format!("{}: {why}", path.display())),
            Opened::Missing => {
                note!(warn:
                    "{}: no store; the other voters are asked for a new seat. A new fleet is founded with \
                     'sandgap fleet found'", path.display()
                );
                blank(path)?
            }
            Opened::Damaged(why) => {
                let aside = Store::set_aside(path).map_err(|e| e.to_string())?;
                note!(error:
                    "{}: {why}; moved to {}. This voter takes no part until the others have rebuilt it",
                    path.display(), aside.display()
                );
                blank(path)?
            }
        };
        self.disk = Some(VoterDisk::start(path, store).map_err(|e| format!("{}: {e}", path.display()))?);
        self.vote_from(&saved).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Has the agent vote from what its disk has.
    fn vote_from(&self, saved: &Saved) -> Result<(), String> {
        let address = self.fleet.listen;
        self.agent.borrow_mut().vote(now(), saved, riders(), address).map_err(|e| e.to_string())
    }

    /// The version acted on before the start serves what may be served without a lease.
    fn take_up_kept(&mut self) {
        let Some(path) = &self.fleet.keep else { return };
        let Ok(bytes) = std::fs::read(path) else { return };
        let kept = bytes.split_first_chunk::<8>();
        let kept = kept.map(|(version, book)| (u64::from_le_bytes(*version), Rulebook::decode(book)));
        match kept {
            Some((version, Ok(book))) => match self.put_in_force(&book) {
                Ok(()) => {
                    note!("rules: version {version} was kept; classes that serve without a lease go by it");
                    self.parts.rules.note(&book);
                    self.parts.rules.kept.set(version);
                }
                Err(e) => note!(warn: "rules: the kept version {version} can't be used: {e}"),
            },
            _ => note!(warn: "{}: no kept version can be read there", path.display()),
        }
    }

    /// Makes this proxy known to the others.
    fn join(&mut self) {
        for (name, address) in self.fleet.voters.clone() {
            if name != self.fleet.name {
                let gossip = self.members.join(now(), &name, address);
                self.gossip(gossip);
            }
        }
    }

    /// Runs for as long as the process does, or, `until_right`, until its agent has a right.
    async fn run(&mut self, until_right: bool) {
        loop {
            if until_right && self.agent.borrow().take(now()).is_some() {
                return;
            }
            let due = self.agent.borrow().next_due();
            let due = self.members.next_due().map_or(due, |at| at.min(due));
            let wait = due.saturating_sub(now()).min(LOOK);
            tokio::select! {
                Some(incoming) = self.incoming.recv() => {
                    self.heard(incoming);
                    for _ in 0..BATCH {
                        let Ok(more) = self.incoming.try_recv() else { break };
                        self.heard(more);
                    }
                }
                news = next_of(&mut self.disk) => self.heard_of_disk(news),
                () = sleep(wait) => {}
            }
            self.fire();
        }
    }

    fn fire(&mut self) {
        let at = now();
        let gossip = self.members.fire(at);
        self.gossip(gossip);
        if self.agent.borrow().next_due() <= at {
            let others = self.members.present().into_iter().map(|m| m.name);
            let others = others.filter(|name| *name != self.fleet.name).collect();
            let mut agent = self.agent.borrow_mut();
            agent.present(others);
            agent.fire(at);
        }
        self.carry_out();
    }

    fn heard(&mut self, incoming: Incoming) {
        let Incoming { from, channel, body } = incoming;
        match channel {
            MEMBERS => {
                let gossip = self.members.hear(now(), &body);
                self.gossip(gossip);
            }
            RULES => {
                if let Some(word) = Word::decode(&body) {
                    self.agent.borrow_mut().hear(now(), &from, word);
                    self.carry_out();
                }
            }
            _ => {} // of a later version of the program
        }
    }

    fn heard_of_disk(&mut self, news: DiskNews) {
        match news {
            DiskNews::Written(number) => self.agent.borrow_mut().written(now(), number),
            DiskNews::Failed(why) => self.agent.borrow_mut().disk_failed(&why),
            DiskNews::Back(saved) => match self.vote_from(&saved) {
                Ok(()) => note!("rules: the voter's disk can be written again; this proxy votes"),
                Err(why) => note!(error: "rules: the voter's disk is back, but can't be voted from: {why}"),
            },
        }
    }

    fn write(&mut self, write: Write) {
        let handed_over = self.disk.as_mut().map_or(Err("there is none"), |disk| disk.write(write));
        if let Err(why) = handed_over {
            self.agent.borrow_mut().disk_failed(why);
        }
    }

    fn gossip(&mut self, all: Vec<Gossip>) {
        for Gossip { to, bytes } in all {
            let address = self.way(&to.name, Some(to.address));
            self.links.send(&to.name, address, MEMBERS, bytes);
        }
    }

    /// Where a proxy is dialled from here.
    fn way(&self, name: &str, told: Option<SocketAddr>) -> Option<SocketAddr> {
        self.fleet.ways.get(name).copied().or(told)
    }

    fn carry_out(&mut self) {
        loop {
            let output = self.agent.borrow_mut().poll();
            let Some(output) = output else { return };
            match output {
                Output::Say(to, address, word) => {
                    let known = address.or_else(|| self.members.find(&to).map(|m| m.address));
                    self.links.send(&to, self.way(&to, known), RULES, word.encode());
                }
                Output::Write(write) => self.write(write),
                Output::Check(version, rules) => {
                    let usable = self.check(&rules);
                    if let Err(why) = &usable {
                        note!(warn: "rules: version {version} can't be used here: {why}");
                    }
                    self.agent.borrow_mut().checked(now(), version, usable);
                }
                Output::Act(version, rules) => self.act(version, &rules),
                Output::Told(told) => self.watch.take(&told),
                Output::Turn(_) => {} // nothing here wants a life yet
                Output::Note(text) => note!("{text}"),
            }
        }
    }

    fn check(&self, rules: &Rulebook) -> Result<(), String> {
        book::check(rules, self.parts.discovery)?;
        let (settings, names) = book::settings(rules, &self.parts.base);
        self.parts.front.would_change(&settings, &names)
    }

    fn act(&mut self, version: Version, rules: &Rulebook) {
        // It has been checked a moment ago; should requests hold too many classes by now, this one acts on nothing.
        match self.put_in_force(rules) {
            Ok(()) => {
                self.parts.rules.note(rules);
                note!("rules: version {version} in force");
                self.keep(version, rules);
            }
            Err(why) => {
                note!(error: "rules: version {version} can't be put in force: {why}");
                self.agent.borrow_mut().cannot_act(version, &why);
            }
        }
    }

    fn put_in_force(&self, rules: &Rulebook) -> Result<(), String> {
        let (settings, names) = book::settings(rules, &self.parts.base);
        let change = self.parts.front.change(&settings, &names)?;
        self.parts.inbox.put(Input::Change(Box::new(change)));
        match book::hosts(rules) {
            Some(hosts) => self.parts.inbox.put(Input::List(Scope::Full, hosts)),
            None => self.parts.inbox.put(Input::Drains(rules.drained.clone())),
        }
        Ok(())
    }

    /// Keeps the version for the next start, off the loop: a slow disk holds up nobody.
    fn keep(&self, version: Version, rules: &Rulebook) {
        if let (Some(kept), Ok(bytes)) = (&self.kept_version, rules.encode()) {
            kept.put([&version.to_le_bytes()[..], &bytes].concat());
        }
    }
}

/// The next news of a voter's disk; never, where there is none.
async fn next_of(disk: &mut Option<VoterDisk>) -> DiskNews {
    match disk {
        Some(disk) => disk.next().await,
        None => std::future::pending().await,
    }
}

/// Takes this proxy's place in the fleet. While the process before it still holds the address, as in an upgrade, this
/// one asks for leases as a guest; once the place is free it takes it, and goes over when it has a lease there.
pub async fn serve(parts: Parts, fleet: Fleet) {
    let mut guest: Option<JoinHandle<()>> = None;
    let mut told: Option<Instant> = None;
    let mut member = loop {
        match Runtime::member(parts.clone(), fleet.clone()).await {
            Ok(runtime) => break runtime,
            Err(e) => {
                if told.is_none_or(|at| at.elapsed() >= TELL) {
                    note!(warn: "rules: {e}; this process asks as a guest until the place is free");
                    told = Some(Instant::now());
                }
                let visit = || {
                    let mut runtime = Runtime::guest(parts.clone(), fleet.clone());
                    spawn_local(async move { runtime.run(false).await })
                };
                guest.get_or_insert_with(visit);
                sleep(AGAIN).await;
            }
        }
    };
    member.join();
    if let Some(guest) = guest {
        member.run(true).await;
        parts.rules.adopt(member.agent.clone());
        guest.abort();
        note!("rules: the place in the fleet is this process's now");
    } else {
        parts.rules.adopt(member.agent.clone());
    }
    member.run(false).await;
}

/// What a proxy that ends does: a leader hands the lead on, so that nobody waits for another to be chosen.
pub async fn retire(rules: &Rules) {
    let agent = rules.agent();
    let leads = agent.borrow().voter().is_some_and(|v| v.leads());
    if leads {
        agent.borrow_mut().retire(now());
        sleep(RETIRE).await;
    }
}

fn blank(path: &Path) -> Result<(Store, Saved), String> {
    let saved = Saved::blank(chance().max(1));
    Ok((Store::create(path, &saved).map_err(|e| e.to_string())?, saved))
}
