//! Hollow proxies: the real agent of agreed rules, the real membership and the real links on loopback sockets, and no
//! data path. Many of them run in one process, each with a name, a listener and connections of its own.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sandgap_agree::words::Word;
use sandgap_agree::{Agent, Output, Version};
use sandgap_fleet::frame::Key;
use sandgap_fleet::link::{Incoming, Links};
use sandgap_fleet::members::{Gossip, Pace};
use sandgap_fleet::{Identity, Members};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// The channel of membership on the links, as the daemon has it.
const MEMBERSHIP_CHANNEL: u8 = 1;
/// The channel of rules.
const RULES_CHANNEL: u8 = 2;
/// Messages that wait to be taken in by one proxy.
const INCOMING: usize = 256;
/// The longest wait between two looks at the timers; a lease that has lapsed is seen by then.
const LONGEST_WAIT: Duration = Duration::from_millis(100);

/// A defect put in by hand: a check that does not find it is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
pub enum Defect {
    /// Each question for a lease goes to all voters in place of one.
    AskEveryVoter,
    /// What has been fetched is fetched once more from each voter.
    FetchEverywhere,
}

/// What all hollow proxies of a process share.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BlockSetup {
    /// The number of the first.
    pub first: usize,
    /// How many there are.
    pub count: usize,
    /// The voters.
    pub voters: Vec<(String, SocketAddr)>,
    /// The stated time T, ms.
    pub bound_ms: u64,
    /// The shared key, 64 hexadecimal digits.
    pub key: String,
    /// What is wrong with them.
    pub defect: Option<Defect>,
}

/// Messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes of their bodies.
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// What has come since an earlier count.
    pub fn since(self, before: Traffic) -> Traffic {
        Traffic { messages: self.messages - before.messages, bytes: self.bytes - before.bytes }
    }
}

/// What is counted over all hollow proxies of a process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Hollow proxies.
    pub proxies: usize,
    /// Membership messages sent.
    pub membership: Traffic,
    /// Questions for a lease.
    pub questions: u64,
    /// The same as they were sent, copies included.
    pub asks: Traffic,
    /// Rulebooks that were asked for.
    pub fetches: Traffic,
    /// Answers that brought a lease.
    pub grants: Traffic,
    /// Words that something else stands.
    pub news: Traffic,
    /// Rulebooks that came.
    pub books: Traffic,
    /// Whatever else was said about rules, either way.
    pub other: Traffic,
    /// Bytes on the links, seals and proofs included, both ways.
    pub link_bytes: u64,
    /// Links that are up, counted at each end.
    pub links: usize,
    /// Members that the one which knows the fewest knows.
    pub fewest_members: usize,
    /// Times that a proxy which had a lease was without one.
    pub leases_lost: u64,
    /// Proxies that began to act on each version.
    pub acting: BTreeMap<Version, usize>,
    /// When each of them began to act on the latest version, µs of Unix time.
    pub latest: Vec<u64>,
    /// How far the log had been applied, by the answer that was furthest on.
    pub log_index: u64,
    /// Processor time of this process so far, µs.
    pub cpu_us: u64,
    /// Peak of its resident memory, KiB.
    pub peak_kib: u64,
}

impl Tally {
    /// Adds another process's.
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

/// Time since the first look at it in this process.
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
    /// The number of the question asked last.
    asked: Option<u64>,
}

impl Hollow {
    async fn start(
        setup: &BlockSetup, key: Key, number: usize, tally: Rc<RefCell<Tally>>,
    ) -> std::io::Result<Rc<RefCell<Self>>> {
        let name = format!("hollow{number}");
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (sender, incoming) = mpsc::channel(INCOMING);
        let links = Links::new(key, name.clone(), sender);
        let terms = super::terms(Duration::from_millis(setup.bound_ms));
        let chance = fastrand::Rng::with_seed(unix_us().wrapping_add(number as u64)).u64(1..);
        let address = listener.local_addr()?;
        let me = Identity { name: name.clone(), address, incarnation: unix_us(), zone: None };
        tokio::task::spawn_local(links.clone().serve(listener));
        Ok(Rc::new(RefCell::new(Hollow {
            agent: Agent::new(now(), &name, terms, setup.voters.clone(), chance),
            members: Members::new(me, Pace::default(), chance),
            name,
            links,
            incoming,
            voters: setup.voters.clone(),
            defect: setup.defect,
            tally,
            has_lease: false,
            asked: None,
        })))
    }

    fn join(&mut self) {
        for (voter, address) in self.voters.clone() {
            let gossip = self.members.join(now(), &voter, address);
            self.gossip(gossip);
        }
    }

    fn wait(&self) -> Duration {
        let due = self.agent.next_due();
        let due = self.members.next_due().map_or(due, |at| at.min(due));
        due.saturating_sub(now()).min(LONGEST_WAIT)
    }

    fn fire(&mut self) {
        let at = now();
        let gossip = self.members.fire(at);
        self.gossip(gossip);
        if self.agent.next_due() <= at {
            let others = self.members.present().into_iter().map(|m| m.name);
            self.agent.present(others.filter(|name| *name != self.name).collect());
            self.agent.fire(at);
        }
        self.carry_out();
        let has_lease = self.agent.take(now()).is_some();
        if self.has_lease && !has_lease {
            self.tally.borrow_mut().leases_lost += 1;
        }
        self.has_lease = has_lease;
    }

    fn hear(&mut self, incoming: Incoming) {
        let Incoming { from, channel, body } = incoming;
        match channel {
            MEMBERSHIP_CHANNEL => {
                let gossip = self.members.hear(now(), &body);
                self.gossip(gossip);
            }
            RULES_CHANNEL => {
                let Some(word) = Word::decode(&body) else { return };
                self.count_heard(&word, body.len());
                self.agent.hear(now(), &from, word);
                self.carry_out();
            }
            _ => {}
        }
    }

    fn count_heard(&self, word: &Word, bytes: usize) {
        let mut tally = self.tally.borrow_mut();
        if let Word::Grant(grant) = word {
            tally.log_index = tally.log_index.max(grant.standing.index);
        }
        let traffic = match word {
            Word::Grant(_) => &mut tally.grants,
            Word::News(_) => &mut tally.news,
            Word::Book(..) => &mut tally.books,
            _ => &mut tally.other,
        };
        traffic.add(bytes);
    }

    fn count_said(&self, word: &Word, bytes: usize) {
        let mut tally = self.tally.borrow_mut();
        let traffic = match word {
            Word::Ask(_) => &mut tally.asks,
            Word::Fetch(_) => &mut tally.fetches,
            _ => &mut tally.other,
        };
        traffic.add(bytes);
    }

    fn gossip(&mut self, all: Vec<Gossip>) {
        for Gossip { to, bytes } in all {
            self.tally.borrow_mut().membership.add(bytes.len());
            self.links.send(&to.name, Some(to.address), MEMBERSHIP_CHANNEL, bytes);
        }
    }

    fn carry_out(&mut self) {
        while let Some(output) = self.agent.poll() {
            match output {
                Output::Say(to, address, word) => self.say(&to, address, &word),
                Output::Check(version, _) => self.agent.checked(now(), version, Ok(())),
                Output::Act(version, _) => self.act(version),
                Output::Write(_) | Output::Turn(_) | Output::Told(_) | Output::Note(_) => {}
            }
        }
    }

    fn say(&mut self, to: &str, address: Option<SocketAddr>, word: &Word) {
        let bytes = word.encode();
        if let Word::Ask(ask) = word
            && ask.origin.is_none()
            && self.asked.replace(ask.number) != Some(ask.number)
        {
            self.tally.borrow_mut().questions += 1;
        }
        let copies: Vec<(String, SocketAddr)> = match (self.defect, word) {
            (Some(Defect::AskEveryVoter), Word::Ask(_)) | (Some(Defect::FetchEverywhere), Word::Fetch(_)) => {
                self.voters.iter().filter(|(voter, _)| voter != to).cloned().collect()
            }
            _ => Vec::new(),
        };
        let known = address.or_else(|| self.members.find(to).map(|m| m.address));
        self.count_said(word, bytes.len());
        self.links.send(to, known, RULES_CHANNEL, bytes.clone());
        for (voter, address) in copies {
            self.count_said(word, bytes.len());
            self.links.send(&voter, Some(address), RULES_CHANNEL, bytes.clone());
        }
    }

    fn act(&self, version: Version) {
        let mut tally = self.tally.borrow_mut();
        *tally.acting.entry(version).or_default() += 1;
        tally.latest.push(unix_us());
    }
}

async fn run(hollow: Rc<RefCell<Hollow>>) {
    // The receiver is taken out, so that nothing is borrowed while it waits.
    let (_, closed) = mpsc::channel(1);
    let mut incoming = std::mem::replace(&mut hollow.borrow_mut().incoming, closed);
    hollow.borrow_mut().join();
    loop {
        let wait = hollow.borrow().wait();
        tokio::select! {
            Some(next) = incoming.recv() => {
                hollow.borrow_mut().hear(next);
                while let Ok(more) = incoming.try_recv() {
                    hollow.borrow_mut().hear(more);
                }
            }
            () = sleep(wait) => {}
        }
        hollow.borrow_mut().fire();
    }
}

/// The hollow proxies of one process.
pub struct Block {
    hollows: Vec<Rc<RefCell<Hollow>>>,
    tally: Rc<RefCell<Tally>>,
}

impl Block {
    /// Starts them, on the calling task's thread.
    ///
    /// # Errors
    /// The system's, or a key that is none.
    pub async fn start(setup: &BlockSetup) -> std::io::Result<Self> {
        let key = Key::parse(&setup.key).map_err(|e| std::io::Error::other(e.to_string()))?;
        let tally = Rc::new(RefCell::new(Tally::default()));
        let mut hollows = Vec::new();
        for number in setup.first..setup.first + setup.count {
            let hollow = Hollow::start(setup, key.clone(), number, tally.clone()).await?;
            tokio::task::spawn_local(run(hollow.clone()));
            hollows.push(hollow);
        }
        Ok(Block { hollows, tally })
    }

    /// How many they are.
    pub fn proxies(&self) -> usize {
        self.hollows.len()
    }

    /// What has been counted so far. Times at which the latest version was acted on are forgotten.
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
