//! The world of one run: processes, their clocks and disks, the net, publishers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::RngExt;
use sandgap_agree::Span;
use sandgap_agree::lives::{Claim, Epoch, Life};
use sandgap_agree::log::Write;
use sandgap_agree::machine::{Proposal, Verdict};
use sandgap_agree::rulebook::{Class, Effect, Limits, OnLapse, digest};
use sandgap_agree::tenure::Turn;
use sandgap_agree::words::Word;
use sandgap_agree::{Agent, Digest, Output, Rulebook, Terms, Version};
use sandgap_fleet::{Drift, Time};

use super::faults::{Fault, draw};
use super::hands::Hands;
use super::host::{self, Host, LOOK, Net, WAY};
use super::judge::{Findings, Judge};
use super::{Flaw, Setup};
use crate::calendar::{Calendar, MS, Nanos, SECOND};
use crate::streams::{Stream, stream};

/// The publisher, among the senders of words.
const HAND: &str = "hand";
/// How long all has to be well again after the last fault: elections, a rebuilt disk, members that are missed.
const HEALED: Nanos = 15 * SECOND;

enum Event {
    /// A word arrives at a process.
    Word {
        to: usize,
        from: String,
        word: Word,
    },
    /// A process's timer.
    Timer {
        node: usize,
        life: u32,
    },
    /// A disk has kept a write.
    Kept {
        node: usize,
        life: u32,
        write: Write,
    },
    Fault(Fault),
    Wake(usize),
    Start(usize, bool),
    Publish,
    Look,
    /// An heir has settled what it inherited.
    Settled {
        node: usize,
        life: u32,
        epoch: Epoch,
    },
    /// Somebody finds that nothing listens at a process's address.
    Missed(usize, usize),
}

struct Node {
    host: Host<Event>,
    agent: Option<Agent>,
    /// The version that it can act on, since when, and until when at the most.
    right: Option<(Version, Nanos, Nanos)>,
    /// When it last held none, once it has held one.
    without: Option<Nanos>,
    unusable: BTreeSet<u32>,
}

/// See the module.
pub struct World {
    setup: Setup,
    seed: u64,
    nodes: Vec<Node>,
    events: Calendar<Event>,
    net: Net,
    rng: Stream,
    judge: Judge,
    hands: Hands,
    found: Findings,
    published: BTreeMap<u64, (Nanos, Digest)>,
    /// Publications by version, until all have switched.
    open: BTreeMap<Version, Nanos>,
    drawn: u64,
}

fn book(attempts: u32, worth: f64) -> Rulebook {
    let class = Class {
        name: "page".into(),
        effect: Effect::Safe,
        aim_ms: 500.0,
        deadline_ms: 1000.0,
        worth,
        on_lapse: OnLapse::Refuse,
    };
    let limits = Limits {
        max_attempts: attempts,
        over_share_worth: 0.2,
        cross_zone: 0.0,
        start_capacity: 0.3,
        warm_ms: 1e4,
        fall_multiple: 2.0,
        fall_ms: 1e3,
    };
    Rulebook { classes: vec![class], tenants: vec![], backends: None, drained: BTreeSet::new(), limits }
}

impl World {
    /// A world in which nothing has happened.
    pub fn new(setup: Setup, seed: u64) -> Self {
        let mut rng = stream(seed, "agree", 0);
        let part = f64::from(setup.ppm) / 1e6 * if setup.flaw == Some(Flaw::Drift) { 60.0 } else { 1.0 };
        let nodes = (0..setup.voters + setup.observers).map(|n| Node {
            host: Host::new(n, part, &mut rng),
            agent: None,
            right: None,
            without: None,
            unusable: BTreeSet::new(),
        });
        let mut world = World {
            nodes: nodes.collect(),
            setup,
            seed,
            events: Calendar::default(),
            net: Net::default(),
            rng,
            judge: Judge::default(),
            hands: Hands::default(),
            found: Findings { runs: 1, bound: setup.bound.as_nanos() as Nanos, ..Findings::default() },
            published: BTreeMap::new(),
            open: BTreeMap::new(),
            drawn: 0,
        };
        world.found_fleet();
        world
    }

    fn found_fleet(&mut self) {
        host::found(self.nodes[..self.setup.voters].iter_mut().map(|node| &mut node.host));
        for n in 0..self.nodes.len() {
            self.events.push(0, Event::Start(n, true));
        }
        for (at, fault) in draw(&self.setup, &mut stream(self.seed, "agree faults", 0)) {
            self.events.push(at, Event::Fault(fault));
        }
        self.events.push(self.setup.faulty, Event::Fault(Fault::Heal));
        // A leader switches nothing before it knows who is there.
        self.events.push(3 * SECOND, Event::Publish);
        // The last one finds all healed, and has to come into force.
        self.events.push(self.setup.faulty + HEALED / 2, Event::Publish);
        self.events.push(LOOK, Event::Look);
    }

    /// Plays to the end.
    pub fn play(mut self) -> Findings {
        let end = self.setup.faulty + HEALED;
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                break;
            }
            self.happen(event);
        }
        self.close(end)
    }

    fn now(&self) -> Nanos {
        self.events.now()
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Word { to, from, word } => self.word(to, from, word),
            Event::Timer { node, life } => self.timer(node, life),
            Event::Kept { node, life, write } => self.kept(node, life, write),
            Event::Fault(fault) => self.fault(fault),
            Event::Wake(n) => self.wake(n),
            Event::Start(n, disk) => self.start(n, disk),
            Event::Publish => self.publish(),
            Event::Look => self.look(),
            Event::Settled { node, life, epoch } => {
                if self.nodes[node].host.life == life {
                    self.with(node, |agent, now| agent.settled(now, epoch));
                }
            }
            Event::Missed(node, gone) => {
                if self.nodes[gone].agent.is_none() && !self.nodes[node].host.paused {
                    let name = self.nodes[gone].host.name.clone();
                    self.with(node, |agent, now| agent.missed(now, &name));
                }
            }
        }
    }

    fn terms(&self, node: usize) -> Terms {
        let terms = self.setup.terms();
        let span = |bound, drift| Span { bound, drift };
        match self.setup.flaw {
            Some(Flaw::LongLease) => {
                Terms { span: span(self.setup.bound * 3 / 2, terms.span.drift), ..terms }
            }
            Some(Flaw::HeirTooSoon) if node < self.setup.voters => {
                Terms { span: span(self.setup.bound / 4, Drift::ppm(0)), ..terms }
            }
            Some(Flaw::NoWait) if node < self.setup.voters => {
                Terms { span: span(self.setup.bound, Drift::ppm(0)), apart: false, ..terms }
            }
            _ => terms,
        }
    }

    fn start(&mut self, n: usize, with_disk: bool) {
        let terms = self.terms(n);
        let voters: Vec<(String, SocketAddr)> =
            self.nodes[..self.setup.voters].iter().map(|v| (v.host.name.clone(), v.host.address)).collect();
        let now = self.now();
        let chance = self.rng.random();
        let node = &mut self.nodes[n];
        if node.agent.is_some() {
            return;
        }
        let (agent, votes) = node.host.start(now, with_disk, terms, voters, chance);
        if let Err(e) = votes {
            self.judge.broken.push(format!("p{n} can't start from its disk: {e}"));
        }
        self.nodes[n].agent = Some(agent);
        self.after(n);
    }

    fn timer(&mut self, n: usize, life: u32) {
        if self.nodes[n].host.life != life {
            return;
        }
        if self.nodes[n].host.paused {
            self.nodes[n].host.waiting.push_back(Event::Timer { node: n, life });
            return;
        }
        self.nodes[n].host.fired();
        self.with(n, |agent, now| agent.fire(now));
    }

    fn word(&mut self, to: usize, from: String, word: Word) {
        if self.nodes[to].host.paused {
            self.nodes[to].host.waiting.push_back(Event::Word { to, from, word });
            return;
        }
        self.with(to, |agent, now| agent.hear(now, &from, word));
    }

    fn kept(&mut self, n: usize, life: u32, write: Write) {
        if self.nodes[n].host.life != life {
            return; // lost with the process, before it was on the disk
        }
        let number = write.number;
        if self.setup.flaw != Some(Flaw::Unsynced)
            && let Some(disk) = &mut self.nodes[n].host.disk
        {
            disk.put(&write);
        }
        if self.nodes[n].host.paused {
            // The disk goes on while the process stands still; it hears of it when it wakes.
            self.nodes[n].host.waiting.push_back(Event::Kept {
                node: n,
                life,
                write: Write { number, ..Write::default() },
            });
            return;
        }
        self.with(n, |agent, now| agent.written(now, number));
    }

    fn with(&mut self, n: usize, act: impl FnOnce(&mut Agent, Time)) {
        let now = self.now();
        let node = &mut self.nodes[n];
        let local = node.host.clock.local(now);
        if let Some(agent) = &mut node.agent {
            act(agent, local);
            self.after(n);
        }
    }

    /// Carries out what a process wants done, and notes what it can do now.
    fn after(&mut self, n: usize) {
        while let Some(output) = self.nodes[n].agent.as_mut().and_then(Agent::poll) {
            self.carry_out(n, output);
        }
        self.rights(n);
        let (now, node) = (self.now(), &mut self.nodes[n]);
        let Some(due) = node.agent.as_ref().map(Agent::next_due) else { return };
        if let Some(at) = node.host.arm(now, due) {
            let life = node.host.life;
            self.events.push(at, Event::Timer { node: n, life });
        }
    }

    fn carry_out(&mut self, n: usize, output: Output) {
        match output {
            Output::Say(to, _, word) => self.send(n, &to, word),
            Output::Write(write) => self.write(n, write),
            Output::Check(version, book) => {
                let usable = match self.nodes[n].unusable.contains(&book.limits.max_attempts) {
                    true => Err("this one can't".to_owned()),
                    false => Ok(()),
                };
                let now = self.nodes[n].host.clock.local(self.now());
                if let Some(agent) = &mut self.nodes[n].agent {
                    agent.checked(now, version, usable);
                }
            }
            Output::Act(version, book) => {
                let name = digest(&book.encode().unwrap_or_default());
                self.judge.content(version, name, &book);
            }
            Output::Turn(Turn::Heir(claim)) => self.heir(n, &claim),
            Output::Turn(_) | Output::Told(..) | Output::Note(_) => {}
        }
    }

    fn heir(&mut self, n: usize, claim: &Claim) {
        let (now, node) = (self.now(), &self.nodes[n]);
        let (of, epoch) = (node.host.life, claim.epoch);
        if let Some((life, until)) = Self::hand(node, now) {
            self.hands.acts(life, until);
            self.hands.heir(now, life, claim);
        }
        let took = self.rng.random_range(MS..300 * MS);
        self.events.push(now + took, Event::Settled { node: n, life: of, epoch });
    }

    /// Under which life a process may act, and until when.
    fn hand(node: &Node, now: Nanos) -> Option<(Life, Nanos)> {
        let holder = node.agent.as_ref()?.holder()?;
        let until = holder.right(node.host.clock.local(now))?.until();
        Some((holder.life()?, node.host.clock.shown(until)))
    }

    fn send(&mut self, from: usize, to: &str, word: Word) {
        if let Word::Published(id, verdict) = &word {
            return self.heard_back(*id, verdict);
        }
        let Some(to) = self.nodes.iter().position(|node| node.host.name == to) else { return };
        self.found.words += 1;
        self.found.bytes += word.encode().len() as u64;
        for at in self.net.ways(self.now(), from, to, &mut self.rng) {
            let from = self.nodes[from].host.name.clone();
            self.events.push(at, Event::Word { to, from, word: word.clone() });
        }
    }

    fn write(&mut self, n: usize, write: Write) {
        let (now, node) = (self.now(), &mut self.nodes[n]);
        let (at, life) = (node.host.writes(now, &mut self.rng), node.host.life);
        if self.setup.flaw == Some(Flaw::Unsynced) {
            // It says so at once, and keeps it when it comes to it.
            let number = write.number;
            let told = Write { number, ..Write::default() };
            self.events.push(now + 1, Event::Kept { node: n, life, write: told });
            let late = self.rng.random_range(0..50 * MS);
            if late < 25 * MS
                && let Some(disk) = &mut self.nodes[n].host.disk
            {
                disk.put(&write);
            }
            return;
        }
        self.events.push(at, Event::Kept { node: n, life, write });
    }

    /// What a process can do from now on; what it could do until now is told to the judge.
    fn rights(&mut self, n: usize) {
        let now = self.now();
        if let Some((life, until)) = Self::hand(&self.nodes[n], now) {
            self.hands.acts(life, until);
        }
        let node = &mut self.nodes[n];
        let local = node.host.clock.local(now);
        let right = node.agent.as_ref().and_then(|a| a.take(local)).map(|t| (t.version, t.right.until()));
        let right = right.map(|(version, until)| (version, node.host.clock.shown(until)));
        let before = node.right.take();
        if let Some((version, from, until)) = before {
            self.judge.acted(version, from, until.min(now));
        }
        let held_until = before.map_or(now, |(_, _, until)| until.min(now));
        let node = &mut self.nodes[n];
        if before.is_some() && held_until < now {
            self.found.lapsed += now - held_until;
        }
        match right {
            Some((version, until)) => {
                if let Some(since) = node.without.take() {
                    self.found.lapsed += now - since;
                }
                self.judge.acted(version, now, now);
                self.nodes[n].right = Some((version, now, until));
                self.switched(version);
            }
            None => {
                if before.is_some() {
                    node.without = Some(now);
                }
            }
        }
    }

    /// Once all that run act on a version, its publication is over.
    fn switched(&mut self, version: Version) {
        let Some(at) = self.open.get(&version).copied() else { return };
        let all = self.nodes.iter().all(|n| n.right.is_some_and(|(v, ..)| v >= version));
        if all {
            self.found.delays.push(self.now() - at);
            self.open.retain(|v, _| *v > version);
        }
    }

    fn publish(&mut self) {
        let now = self.now();
        let every = self.setup.publish;
        let faulty = now < self.setup.faulty;
        let next = now + self.rng.random_range(every / 2..every * 3 / 2);
        if next < self.setup.faulty {
            self.events.push(next, Event::Publish);
        }
        let voter = self.rng.random_range(0..self.setup.voters);
        let Some(parent) =
            self.nodes[voter].agent.as_ref().and_then(|a| a.voter()).map(|v| v.machine().standing())
        else {
            return;
        };
        self.drawn += 1;
        // Two of three contradict what was before.
        let attempts = if faulty && self.rng.random_range(0..3) == 0 { 1 } else { 1 + self.drawn as u32 };
        if self.setup.faults && faulty && self.rng.random_range(0..8) == 0 {
            let n = self.rng.random_range(0..self.nodes.len());
            self.nodes[n].unusable.insert(attempts);
        }
        let Ok(book) = book(attempts, self.drawn as f64).encode() else { return };
        let id = self.drawn;
        self.published.insert(id, (now, digest(&book)));
        let proposal = Proposal { id, parent, book, by: HAND.into(), why: String::new() };
        let word = Word::Publish(proposal);
        self.events.push(now + MS, Event::Word { to: voter, from: HAND.into(), word });
    }

    fn heard_back(&mut self, id: u64, verdict: &Verdict) {
        let Some((at, name)) = self.published.get(&id).copied() else { return };
        if let Verdict::PutForward(version) = verdict {
            self.judge.acknowledged(*version, name);
            self.open.insert(*version, at);
        }
    }

    fn look(&mut self) {
        self.events.push(self.now() + LOOK, Event::Look);
        let up: Vec<String> = self
            .nodes
            .iter()
            .filter(|n| n.agent.is_some() && !n.host.paused)
            .map(|n| n.host.name.clone())
            .collect();
        for node in &mut self.nodes {
            let others = up.iter().filter(|name| **name != node.host.name).cloned().collect();
            if let Some(agent) = &mut node.agent {
                agent.present(others);
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        let now = self.now();
        match fault {
            Fault::Pause(n, span) if !self.nodes[n].host.paused && self.nodes[n].agent.is_some() => {
                self.nodes[n].host.paused = true;
                self.events.push(now + span, Event::Wake(n));
            }
            Fault::Kill(n, span) => self.kill(n, now + span, true),
            Fault::Disk(n, span) => self.kill(n, now + span, false),
            Fault::Stall(n, span) => self.nodes[n].host.stalled = now + span,
            Fault::Pause(..) => {}
            fault => self.net.suffer(&fault),
        }
    }

    fn kill(&mut self, n: usize, back: Nanos, with_disk: bool) {
        self.rights(n);
        let life = self.nodes[n].agent.as_ref().and_then(|a| a.holder()).and_then(|h| h.life());
        if self.nodes[n].agent.take().is_none() {
            return;
        }
        if let Some(life) = life {
            self.hands.died(life, self.now());
            let finder = self.rng.random_range(0..self.nodes.len());
            let at = self.now() + self.rng.random_range(WAY);
            self.events.push(at, Event::Missed(finder, n));
        }
        self.rights(n);
        let node = &mut self.nodes[n];
        node.host.stop();
        node.without = None;
        self.events.push(back, Event::Start(n, with_disk));
    }

    fn wake(&mut self, n: usize) {
        if !std::mem::take(&mut self.nodes[n].host.paused) {
            return;
        }
        for event in std::mem::take(&mut self.nodes[n].host.waiting) {
            self.happen(event);
        }
    }

    fn close(mut self, end: Nanos) -> Findings {
        for n in 0..self.nodes.len() {
            self.rights(n);
        }
        let (longest, which) = self.judge.longest();
        self.found.longest = longest;
        let bound = self.setup.bound.as_nanos() as Nanos;
        let allowed = if self.setup.apart { 0 } else { bound };
        if longest > allowed {
            let (v, w) = which.unwrap_or_default();
            let text = format!("versions {v} and {w} could be acted on together for {longest} ns");
            self.judge.broken.push(text);
        }
        self.recovered();
        self.judge.broken.append(&mut self.hands.broken);
        self.found.heirs = std::mem::take(&mut self.hands.delays);
        let seed = self.seed;
        self.found.broken = std::mem::take(&mut self.judge.broken).into_iter().map(|b| (seed, b)).collect();
        self.found.switches = self.judge.switches();
        self.found.lived = end * self.nodes.len() as u64;
        self.found.time = end;
        self.found
    }

    /// Once all is healed, every proxy acts on the version in force, and every voter has what was acknowledged.
    fn recovered(&mut self) {
        let voters: Vec<&Agent> = self.nodes.iter().filter_map(|n| n.agent.as_ref()).collect();
        let standing =
            voters.iter().filter_map(|a| a.voter()).map(|v| v.machine().standing()).max().unwrap_or(0);
        let mut wrong = Vec::new();
        for (n, node) in self.nodes.iter().enumerate() {
            let Some(agent) = &node.agent else {
                wrong.push(format!("p{n} is not up"));
                continue;
            };
            // One that can't use the version in force rightly acts on nothing.
            let usable = agent.follower().unusable().is_none();
            if usable && node.right.is_none_or(|(v, ..)| v != standing) {
                let acting = agent.follower().acting();
                let lease = node.right.is_some();
                wrong.push(format!(
                    "p{n} acts on {acting} (lease: {lease}), {standing} is in force, long after"
                ));
            }
            if agent.holder().is_none_or(|h| h.right(node.host.clock.local(self.events.now())).is_none()) {
                wrong.push(format!("p{n} has no life, long after"));
            }
            if n < self.setup.voters {
                let Some(voter) = agent.voter() else {
                    wrong.push(format!("p{n} votes no more"));
                    continue;
                };
                if !voter.machine().lives().estates().is_empty() {
                    wrong.push(format!("p{n}: lives that ended were never settled"));
                }
                if voter.machine().standing() != standing || !voter.is_seated() {
                    wrong.push(format!("p{n} votes, but has not been brought up to {standing}"));
                }
                for (version, record) in voter.machine().versions() {
                    self.judge.known(version, record.digest, &node.host.name);
                }
            }
        }
        let last = self.published.last_key_value().map(|(_, (_, name))| *name);
        let stands = voters.iter().filter_map(|a| a.voter()).any(|v| Some(v.standing().digest) == last);
        if !stands {
            wrong.push("what was published after all had healed never came into force".into());
        }
        self.judge.broken.extend(wrong);
    }
}
