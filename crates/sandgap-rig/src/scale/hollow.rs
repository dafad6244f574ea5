//! Hollow proxies: the real rules agent, membership and fleet links on loopback sockets, without a data path. Many of
//! them run in one process, each with a name, a listener and connections of its own.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sandgap_agree::messages::Message;
use sandgap_agree::{Agent, Output, Version};
use sandgap_fleet::frame::Key;
use sandgap_fleet::link::{Incoming, Links};
use sandgap_fleet::members::{Gossip, ProbeTiming};
use sandgap_fleet::{Identity, Members};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// The links' channel for membership, the same as the daemon's.
const MEMBERSHIP_CHANNEL: u8 = 1;
/// The links' channel for rules, the same as the daemon's.
const RULES_CHANNEL: u8 = 2;
/// Capacity of one proxy's queue of incoming messages.
const INCOMING_CAPACITY: usize = 256;
/// The longest wait between two checks of the timers, and so the longest delay until a lapsed lease is noticed.
const MAX_TIMER_WAIT: Duration = Duration::from_millis(100);

/// A deliberate defect, to verify that a check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
pub enum Defect {
    /// Each lease request is sent to all voters instead of one.
    AskEveryVoter,
    /// Each fetch of a rulebook is sent to all voters instead of one.
    FetchEverywhere,
}

/// The setup of a block, which all hollow proxies of a process share.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BlockSetup {
    /// The number of the first hollow proxy.
    pub first: usize,
    /// How many hollow proxies the block has.
    pub count: usize,
    /// Names and fleet addresses of the voters.
    pub voters: Vec<(String, SocketAddr)>,
    /// The configured bound T on how long two contradicting versions may be acted on together, ms.
    pub bound_ms: u64,
    /// The shared key, 64 hexadecimal digits.
    pub key: String,
    /// The deliberate defect of the proxies, if any.
    pub defect: Option<Defect>,
}

/// A count of messages and of their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes of the message bodies.
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// The difference from an earlier count.
    pub fn since(self, before: Traffic) -> Traffic {
        Traffic { messages: self.messages - before.messages, bytes: self.bytes - before.bytes }
    }
}

/// Counters over all hollow proxies of a process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Hollow proxies.
    pub proxies: usize,
    /// Membership messages sent.
    pub membership: Traffic,
    /// Distinct lease requests.
    pub questions: u64,
    /// Lease requests sent, repeats and copies to other voters included.
    pub asks: Traffic,
    /// Rulebook requests sent.
    pub fetches: Traffic,
    /// Lease grants received.
    pub grants: Traffic,
    /// Notices received that another version is in force.
    pub news: Traffic,
    /// Rulebooks received.
    pub books: Traffic,
    /// All other messages on the rules channel, sent or received.
    pub other: Traffic,
    /// Bytes on the links, the authentication of frames and connections included, in both directions.
    pub link_bytes: u64,
    /// Links that are up, counted once at each end.
    pub links: usize,
    /// The smallest number of members that any of the proxies knows.
    pub fewest_members: usize,
    /// How often a proxy lost its lease.
    pub leases_lost: u64,
    /// By version, the number of proxies that began to act on it.
    pub acting: BTreeMap<Version, usize>,
    /// Times at which proxies began to act on a version since the last tally, µs of Unix time.
    pub latest: Vec<u64>,
    /// The highest applied log index that any lease grant reported.
    pub log_index: u64,
    /// Processor time of the process so far, µs.
    pub cpu_us: u64,
    /// Peak resident memory of the process, KiB.
    pub peak_kib: u64,
}

impl Tally {
    /// Adds the counters of another process.
    pub fn merge(&mut self, other: Tally) {
        self.proxies += other.proxies;
        let pairs = [
            (&mut self.membership, other.membership),
            (&mut self.asks, other.asks),
            (&mut self.fetches, other.fetches),
            (&mut self.grants, other.grants),
            (&mut self.news, other.news),
            (&mut self.books, other.books),
            (&mut self.other, other.other),
        ];
        for (mine, theirs) in pairs {
            mine.messages += theirs.messages;
            mine.bytes += theirs.bytes;
        }
        self.questions += other.questions;
        self.log_index = self.log_index.max(other.log_index);
        self.link_bytes += other.link_bytes;
        self.links += other.links;
        self.fewest_members = match self.fewest_members {
            0 => other.fewest_members,
            fewest => fewest.min(other.fewest_members),
        };
        self.leases_lost += other.leases_lost;
        for (version, count) in other.acting {
            *self.acting.entry(version).or_default() += count;
        }
        self.latest.extend(other.latest);
        self.cpu_us += other.cpu_us;
        self.peak_kib += other.peak_kib;
    }
}

/// Time since the first call of this function in the process.
fn now() -> Duration {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// One hollow proxy.
struct Hollow {
    name: String,
    agent: Agent,
    members: Members,
    links: Rc<Links>,
    incoming: mpsc::Receiver<Incoming>,
    voters: Vec<(String, SocketAddr)>,
    defect: Option<Defect>,
    tally: Rc<RefCell<Tally>>,
    has_lease: bool,
    /// The number of the latest lease request.
    last_request: Option<u64>,
}

impl Hollow {
    async fn start(
        setup: &BlockSetup, key: Key, number: usize, tally: Rc<RefCell<Tally>>,
    ) -> std::io::Result<Rc<RefCell<Self>>> {
        let name = format!("hollow{number}");
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (sender, incoming) = mpsc::channel(INCOMING_CAPACITY);
        let links = Links::new(key, name.clone(), sender);
        let timing = super::timing(Duration::from_millis(setup.bound_ms));
        let seed = fastrand::Rng::with_seed(unix_us().wrapping_add(number as u64)).u64(1..);
        let address = listener.local_addr()?;
        let me = Identity { name: name.clone(), address, incarnation: unix_us(), zone: None };
        tokio::task::spawn_local(links.clone().serve(listener));
        Ok(Rc::new(RefCell::new(Hollow {
            agent: Agent::new(now(), &name, timing, setup.voters.clone(), seed),
            members: Members::new(me, ProbeTiming::default(), seed),
            name,
            links,
            incoming,
            voters: setup.voters.clone(),
            defect: setup.defect,
            tally,
            has_lease: false,
            last_request: None,
        })))
    }

    fn join(&mut self) {
        for (voter, address) in self.voters.clone() {
            let gossip = self.members.join(now(), &voter, address);
            self.send_gossip(gossip);
        }
    }

    fn timer_wait(&self) -> Duration {
        let due = self.agent.next_due();
        let due = self.members.next_due().map_or(due, |at| at.min(due));
        due.saturating_sub(now()).min(MAX_TIMER_WAIT)
    }

    fn run_due_timers(&mut self) {
        let at = now();
        let gossip = self.members.run_due_timers(at);
        self.send_gossip(gossip);
        if self.agent.next_due() <= at {
            let others = self.members.present().into_iter().map(|m| m.name);
            self.agent.set_peers(others.filter(|name| *name != self.name).collect());
            self.agent.fire(at);
        }
        self.handle_outputs();
        let has_lease = self.agent.take(now()).is_some();
        if self.has_lease && !has_lease {
            self.tally.borrow_mut().leases_lost += 1;
        }
        self.has_lease = has_lease;
    }

    fn receive(&mut self, incoming: Incoming) {
        let Incoming { from, channel, body } = incoming;
        match channel {
            MEMBERSHIP_CHANNEL => {
                let gossip = self.members.handle_message(now(), &body);
                self.send_gossip(gossip);
            }
            RULES_CHANNEL => {
                let Some(message) = Message::decode(&body) else { return };
                self.count_received(&message, body.len());
                self.agent.receive(now(), &from, message);
                self.handle_outputs();
            }
            _ => {}
        }
    }

    fn count_received(&self, message: &Message, bytes: usize) {
        let mut tally = self.tally.borrow_mut();
        if let Message::Grant(grant) = message {
            tally.log_index = tally.log_index.max(grant.standing.index);
        }
        let traffic = match message {
            Message::Grant(_) => &mut tally.grants,
            Message::News(_) => &mut tally.news,
            Message::Book(..) => &mut tally.books,
            _ => &mut tally.other,
        };
        traffic.add(bytes);
    }

    fn count_sent(&self, message: &Message, bytes: usize) {
        let mut tally = self.tally.borrow_mut();
        let traffic = match message {
            Message::Ask(_) => &mut tally.asks,
            Message::Fetch(_) => &mut tally.fetches,
            _ => &mut tally.other,
        };
        traffic.add(bytes);
    }

    fn send_gossip(&mut self, all: Vec<Gossip>) {
        for Gossip { to, bytes } in all {
            self.tally.borrow_mut().membership.add(bytes.len());
            self.links.send(&to.name, Some(to.address), MEMBERSHIP_CHANNEL, bytes);
        }
    }

    fn handle_outputs(&mut self) {
        while let Some(output) = self.agent.poll() {
            match output {
                Output::Send(to, address, message) => self.send(&to, address, &message),
                Output::Check(version, _) => self.agent.checked(now(), version, Ok(())),
                Output::Act(version, _) => {
                    self.record_acting(version);
                    self.agent.in_effect(now(), version);
                }
                Output::Write(_) | Output::Enrolment(_) | Output::RiderMessages(_) | Output::Log(_) => {}
            }
        }
    }

    fn send(&mut self, to: &str, address: Option<SocketAddr>, message: &Message) {
        let bytes = message.encode();
        if let Message::Ask(ask) = message
            && ask.origin.is_none()
            && self.last_request.replace(ask.number) != Some(ask.number)
        {
            self.tally.borrow_mut().questions += 1;
        }
        let copies: Vec<(String, SocketAddr)> = match (self.defect, message) {
            (Some(Defect::AskEveryVoter), Message::Ask(_))
            | (Some(Defect::FetchEverywhere), Message::Fetch(_)) => {
                self.voters.iter().filter(|(voter, _)| voter != to).cloned().collect()
            }
            _ => Vec::new(),
        };
        let known_address = address.or_else(|| self.members.find(to).map(|m| m.address));
        self.count_sent(message, bytes.len());
        self.links.send(to, known_address, RULES_CHANNEL, bytes.clone());
        for (voter, address) in copies {
            self.count_sent(message, bytes.len());
            self.links.send(&voter, Some(address), RULES_CHANNEL, bytes.clone());
        }
    }

    fn record_acting(&self, version: Version) {
        let mut tally = self.tally.borrow_mut();
        *tally.acting.entry(version).or_default() += 1;
        tally.latest.push(unix_us());
    }
}

async fn run_proxy(hollow: Rc<RefCell<Hollow>>) {
    // The receiver is moved out, so that the `RefCell` is not borrowed while waiting for messages.
    let (_, closed) = mpsc::channel(1);
    let mut incoming = std::mem::replace(&mut hollow.borrow_mut().incoming, closed);
    hollow.borrow_mut().join();
    loop {
        let wait = hollow.borrow().timer_wait();
        tokio::select! {
            Some(next) = incoming.recv() => {
                hollow.borrow_mut().receive(next);
                while let Ok(more) = incoming.try_recv() {
                    hollow.borrow_mut().receive(more);
                }
            }
            () = sleep(wait) => {}
        }
        hollow.borrow_mut().run_due_timers();
    }
}

/// The hollow proxies of one process.
pub struct Block {
    hollows: Vec<Rc<RefCell<Hollow>>>,
    tally: Rc<RefCell<Tally>>,
}

impl Block {
    /// Starts the block on the calling task's thread.
    ///
    /// # Errors
    /// An I/O error, or a key that can't be parsed.
    pub async fn start(setup: &BlockSetup) -> std::io::Result<Self> {
        let key = Key::parse(&setup.key).map_err(|e| std::io::Error::other(e.to_string()))?;
        let tally = Rc::new(RefCell::new(Tally::default()));
        let mut hollows = Vec::new();
        for number in setup.first..setup.first + setup.count {
            let hollow = Hollow::start(setup, key.clone(), number, tally.clone()).await?;
            tokio::task::spawn_local(run_proxy(hollow.clone()));
            hollows.push(hollow);
        }
        Ok(Block { hollows, tally })
    }

    /// The number of hollow proxies in the block.
    pub fn proxies(&self) -> usize {
        self.hollows.len()
    }

    /// The counters so far. Clears [`Tally::latest`], so that each time is reported once.
    pub fn tally(&self) -> Tally {
        let latest = std::mem::take(&mut self.tally.borrow_mut().latest);
        let mut tally = Tally { latest, ..self.tally.borrow().clone() };
        tally.proxies = self.hollows.len();
        for hollow in &self.hollows {
            let hollow = hollow.borrow();
            let counts = hollow.links.counts();
            tally.link_bytes += counts.written + counts.read;
            tally.links += hollow.links.up();
            let members = hollow.members.present().len();
            tally.fewest_members =
                if tally.fewest_members == 0 { members } else { tally.fewest_members.min(members) };
        }
        let usage = crate::process::own();
        (tally.cpu_us, tally.peak_kib) = (usage.cpu_us, usage.peak_kib);
        tally
    }
}
