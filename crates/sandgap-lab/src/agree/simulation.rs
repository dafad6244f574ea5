//! The simulation of one run: processes with their clocks and disks, the network, publishers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::RngExt;
use sandgap_agree::LeaseBound;
use sandgap_agree::enrolment::EnrolmentEvent;
use sandgap_agree::lives::{Epoch, ProcessId, Succession};
use sandgap_agree::log::Write;
use sandgap_agree::machine::{Proposal, Verdict};
use sandgap_agree::messages::Message;
use sandgap_agree::rulebook::{Class, Effect, Limits, OnLapse, digest};
use sandgap_agree::{Agent, Digest, Output, Rulebook, Timing, Version};
use sandgap_fleet::{Drift, Time};

use super::checker::{Checker, Findings};
use super::faults::{Fault, draw_faults};
use super::host::{self, Host, LINK_DELAY, MEMBERSHIP_INTERVAL, Network};
use super::succession::SuccessionChecker;
use super::{Flaw, Setup};
use crate::calendar::{Calendar, MS, Nanos, SECOND};
use crate::streams::{Stream, stream};

/// The publisher's name as a sender of messages.
const PUBLISHER: &str = "hand";
/// Time without faults at the end of a run, ns, in which everything has to recover: elections, a rebuilt disk, members
/// that are noticed as missing.
const RECOVERY_TIME: Nanos = 15 * SECOND;

enum Event {
    /// A message arrives at a process.
    Message {
        to: usize,
        from: String,
        message: Message,
    },
    /// A process's timer fires.
    Timer {
        node: usize,
        incarnation: u32,
    },
    /// A disk write is durable.
    Written {
        node: usize,
        incarnation: u32,
        write: Write,
    },
    Fault(Fault),
    Wake(usize),
    Start(usize, bool),
    Publish,
    UpdateMembers,
    /// A successor has settled what it took over.
    Settled {
        node: usize,
        incarnation: u32,
        epoch: Epoch,
    },
    /// A process (the first) finds that nothing listens at the address of another (the second).
    Missed(usize, usize),
}

struct Node {
    host: Host<Event>,
    agent: Option<Agent>,
    /// The version that it can act on, since when, and until when at the latest.
    right: Option<(Version, Nanos, Nanos)>,
    /// Since when it has no right to act, once it has had one.
    no_right_since: Option<Nanos>,
    unusable: BTreeSet<u32>,
}

/// The simulation of one run.
pub struct Simulation {
    setup: Setup,
    seed: u64,
    nodes: Vec<Node>,
    events: Calendar<Event>,
    network: Network,
    rng: Stream,
    checker: Checker,
    succession: SuccessionChecker,
    found: Findings,
    published: BTreeMap<u64, (Nanos, Digest)>,
    /// Publication times by version, until all processes have switched.
    unfinished: BTreeMap<Version, Nanos>,
    proposals: u64,
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

impl Simulation {
    /// A simulation at time 0, with the fleet founded and faults scheduled.
    pub fn new(setup: Setup, seed: u64) -> Self {
        let mut rng = stream(seed, "agree", 0);
        let max_drift =
            f64::from(setup.drift_ppm) / 1e6 * if setup.flaw == Some(Flaw::Drift) { 60.0 } else { 1.0 };
        let nodes = (0..setup.voters + setup.observers).map(|n| Node {
            host: Host::new(n, max_drift, &mut rng),
            agent: None,
            right: None,
            no_right_since: None,
            unusable: BTreeSet::new(),
        });
        let mut simulation = Simulation {
            nodes: nodes.collect(),
            setup,
            seed,
            events: Calendar::default(),
            network: Network::default(),
            rng,
            checker: Checker::default(),
            succession: SuccessionChecker::default(),
            found: Findings { runs: 1, bound: setup.bound.as_nanos() as Nanos, ..Findings::default() },
            published: BTreeMap::new(),
            unfinished: BTreeMap::new(),
            proposals: 0,
        };
        simulation.found_fleet();
        simulation
    }

    fn found_fleet(&mut self) {
        host::found_voter_disks(self.nodes[..self.setup.voters].iter_mut().map(|node| &mut node.host));
        for n in 0..self.nodes.len() {
            self.events.push(0, Event::Start(n, true));
        }
        for (at, fault) in draw_faults(&self.setup, &mut stream(self.seed, "agree faults", 0)) {
            self.events.push(at, Event::Fault(fault));
        }
        self.events.push(self.setup.fault_phase, Event::Fault(Fault::Heal));
        // A leader switches to no version before it knows which members are up.
        self.events.push(3 * SECOND, Event::Publish);
        // The last publication comes after all faults are healed, and has to come into force.
        self.events.push(self.setup.fault_phase + RECOVERY_TIME / 2, Event::Publish);
        self.events.push(MEMBERSHIP_INTERVAL, Event::UpdateMembers);
    }

    /// Runs to the end.
    pub fn run(mut self) -> Findings {
        let end = self.setup.fault_phase + RECOVERY_TIME;
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                break;
            }
            self.handle(event);
        }
        self.finish(end)
    }

    fn now(&self) -> Nanos {
        self.events.now()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message { to, from, message } => self.receive(to, from, message),
            Event::Timer { node, incarnation } => self.timer(node, incarnation),
            Event::Written { node, incarnation, write } => self.written(node, incarnation, write),
            Event::Fault(fault) => self.fault(fault),
            Event::Wake(n) => self.wake(n),
            Event::Start(n, disk) => self.start(n, disk),
            Event::Publish => self.publish(),
            Event::UpdateMembers => self.update_members(),
            Event::Settled { node, incarnation, epoch } => {
                if self.nodes[node].host.incarnation == incarnation {
                    self.with(node, |agent, now| agent.report_settled(now, epoch));
                }
            }
            Event::Missed(node, gone) => {
                if self.nodes[gone].agent.is_none() && !self.nodes[node].host.paused {
                    let name = self.nodes[gone].host.name.clone();
                    self.with(node, |agent, now| agent.report_unreachable(now, &name));
                }
            }
        }
    }

    fn timing(&self, node: usize) -> Timing {
        let timing = self.setup.timing();
        let lease_bound = |bound, drift| LeaseBound { bound, drift };
        match self.setup.flaw {
            Some(Flaw::LongLease) => Timing {
                lease_bound: lease_bound(self.setup.bound * 3 / 2, timing.lease_bound.drift),
                ..timing
            },
            Some(Flaw::HeirTooSoon) if node < self.setup.voters => {
                Timing { lease_bound: lease_bound(self.setup.bound / 4, Drift::ppm(0)), ..timing }
            }
            Some(Flaw::NoWait) if node < self.setup.voters => Timing {
                lease_bound: lease_bound(self.setup.bound, Drift::ppm(0)),
                keep_apart: false,
                ..timing
            },
            _ => timing,
        }
    }

    fn start(&mut self, n: usize, with_disk: bool) {
        let timing = self.timing(n);
        let voters: Vec<(String, SocketAddr)> =
            self.nodes[..self.setup.voters].iter().map(|v| (v.host.name.clone(), v.host.address)).collect();
        let now = self.now();
        let random = self.rng.random();
        let node = &mut self.nodes[n];
        if node.agent.is_some() {
            return;
        }
        let (agent, votes) = node.host.start(now, with_disk, timing, voters, random);
        if let Err(e) = votes {
            self.checker.violations.push(format!("p{n} can't start from its disk: {e}"));
        }
        self.nodes[n].agent = Some(agent);
        self.poll(n);
    }

    fn timer(&mut self, n: usize, incarnation: u32) {
        if self.nodes[n].host.incarnation != incarnation {
            return;
        }
        if self.nodes[n].host.paused {
            self.nodes[n].host.deferred.push_back(Event::Timer { node: n, incarnation });
            return;
        }
        self.nodes[n].host.timer_fired();
        self.with(n, |agent, now| agent.fire(now));
    }

    fn receive(&mut self, to: usize, from: String, message: Message) {
        if self.nodes[to].host.paused {
            self.nodes[to].host.deferred.push_back(Event::Message { to, from, message });
            return;
        }
        self.with(to, |agent, now| agent.receive(now, &from, message));
    }

    fn written(&mut self, n: usize, incarnation: u32, write: Write) {
        if self.nodes[n].host.incarnation != incarnation {
            return; // lost with the process before it was durable
        }
        let number = write.number;
        if self.setup.flaw != Some(Flaw::Unsynced)
            && let Some(disk) = &mut self.nodes[n].host.disk
        {
            disk.apply(&write);
        }
        if self.nodes[n].host.paused {
            // The disk goes on while the process is paused; the process learns of the write when it resumes.
            self.nodes[n].host.deferred.push_back(Event::Written {
                node: n,
                incarnation,
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
            self.poll(n);
        }
    }

    /// Carries out a process's outputs, then records its rights and arms its timer.
    fn poll(&mut self, n: usize) {
        while let Some(output) = self.nodes[n].agent.as_mut().and_then(Agent::poll) {
            self.carry_out(n, output);
        }
        self.update_right(n);
        let (now, node) = (self.now(), &mut self.nodes[n]);
        let Some(due) = node.agent.as_ref().map(Agent::next_due) else { return };
        if let Some(at) = node.host.arm_timer(now, due) {
            let incarnation = node.host.incarnation;
            self.events.push(at, Event::Timer { node: n, incarnation });
        }
    }

    fn carry_out(&mut self, n: usize, output: Output) {
        match output {
            Output::Send(to, _, message) => self.send(n, &to, message),
            Output::Write(write) => self.write(n, write),
            Output::Check(version, book) => {
                let usable = match self.nodes[n].unusable.contains(&book.limits.max_attempts) {
                    true => Err("not usable at this proxy".to_owned()),
                    false => Ok(()),
                };
                let now = self.nodes[n].host.clock.local(self.now());
                if let Some(agent) = &mut self.nodes[n].agent {
                    agent.checked(now, version, usable);
                }
            }
            Output::Act(version, book) => {
                let name = digest(&book.encode().unwrap_or_default());
                self.checker.record_content(version, name, &book);
                let now = self.nodes[n].host.clock.local(self.now());
                if let Some(agent) = &mut self.nodes[n].agent {
                    agent.in_effect(now, version);
                }
            }
            Output::Enrolment(EnrolmentEvent::BecameSuccessor(succession)) => self.succeed(n, &succession),
            Output::Enrolment(_) | Output::RiderMessages(..) | Output::Log(_) => {}
        }
    }

    fn succeed(&mut self, n: usize, succession: &Succession) {
        let (now, node) = (self.now(), &self.nodes[n]);
        let (incarnation, epoch) = (node.host.incarnation, succession.epoch);
        if let Some((token, until)) = Self::token(node, now) {
            self.succession.record_right(token, until);
            self.succession.record_successor(now, token, succession);
        }
        let settling = self.rng.random_range(MS..300 * MS);
        self.events.push(now + settling, Event::Settled { node: n, incarnation, epoch });
    }

    /// The process token under which a process may act, and until when.
    fn token(node: &Node, now: Nanos) -> Option<(ProcessId, Nanos)> {
        let enrolment = node.agent.as_ref()?.enrolment()?;
        let until = enrolment.permission(node.host.clock.local(now))?.until();
        Some((enrolment.life()?, node.host.clock.shown(until)))
    }

    fn send(&mut self, from: usize, to: &str, message: Message) {
        if let Message::Published(id, verdict) = &message {
            return self.publish_answered(*id, verdict);
        }
        let Some(to) = self.nodes.iter().position(|node| node.host.name == to) else { return };
        self.found.messages += 1;
        self.found.bytes += message.encode().len() as u64;
        for at in self.network.arrival_times(self.now(), from, to, &mut self.rng) {
            let from = self.nodes[from].host.name.clone();
            self.events.push(at, Event::Message { to, from, message: message.clone() });
        }
    }

    fn write(&mut self, n: usize, write: Write) {
        let (now, node) = (self.now(), &mut self.nodes[n]);
        let (at, incarnation) = (node.host.queue_write(now, &mut self.rng), node.host.incarnation);
        if self.setup.flaw == Some(Flaw::Unsynced) {
            // Reports the write as durable at once, and makes only about half of the writes.
            let number = write.number;
            let acknowledged = Write { number, ..Write::default() };
            self.events.push(now + 1, Event::Written { node: n, incarnation, write: acknowledged });
            let late = self.rng.random_range(0..50 * MS);
            if late < 25 * MS
                && let Some(disk) = &mut self.nodes[n].host.disk
            {
                disk.apply(&write);
            }
            return;
        }
        self.events.push(at, Event::Written { node: n, incarnation, write });
    }

    /// Records what a process could do until now with the checker, and notes what it can do from now on.
    fn update_right(&mut self, n: usize) {
        let now = self.now();
        if let Some((token, until)) = Self::token(&self.nodes[n], now) {
            self.succession.record_right(token, until);
        }
        let node = &mut self.nodes[n];
        let local = node.host.clock.local(now);
        let right =
            node.agent.as_ref().and_then(|a| a.take(local)).map(|t| (t.version, t.permission.until()));
        let right = right.map(|(version, until)| (version, node.host.clock.shown(until)));
        let before = node.right.take();
        if let Some((version, from, until)) = before {
            self.checker.record_use(version, from, until.min(now));
        }
        let held_until = before.map_or(now, |(_, _, until)| until.min(now));
        let node = &mut self.nodes[n];
        if before.is_some() && held_until < now {
            self.found.unavailable += now - held_until;
        }
        match right {
            Some((version, until)) => {
                if let Some(since) = node.no_right_since.take() {
                    self.found.unavailable += now - since;
                }
                self.checker.record_use(version, now, now);
                self.nodes[n].right = Some((version, now, until));
                self.switched(version);
            }
            None => {
                if before.is_some() {
                    node.no_right_since = Some(now);
                }
            }
        }
    }

    /// Ends a version's publication once all processes act on it or on a later version.
    fn switched(&mut self, version: Version) {
        let Some(at) = self.unfinished.get(&version).copied() else { return };
        let all = self.nodes.iter().all(|n| n.right.is_some_and(|(v, ..)| v >= version));
        if all {
            self.found.switch_delays.push(self.now() - at);
            self.unfinished.retain(|v, _| *v > version);
        }
    }

    fn publish(&mut self) {
        let now = self.now();
        let interval = self.setup.publish_interval;
        let in_fault_phase = now < self.setup.fault_phase;
        let next = now + self.rng.random_range(interval / 2..interval * 3 / 2);
        if next < self.setup.fault_phase {
            self.events.push(next, Event::Publish);
        }
        let voter = self.rng.random_range(0..self.setup.voters);
        let Some(parent) =
            self.nodes[voter].agent.as_ref().and_then(|a| a.voter()).map(|v| v.machine().standing())
        else {
            return;
        };
        self.proposals += 1;
        // About two of three contradict the version before.
        let attempts =
            if in_fault_phase && self.rng.random_range(0..3) == 0 { 1 } else { 1 + self.proposals as u32 };
        if self.setup.faults && in_fault_phase && self.rng.random_range(0..8) == 0 {
            let n = self.rng.random_range(0..self.nodes.len());
            self.nodes[n].unusable.insert(attempts);
        }
        let Ok(book) = book(attempts, self.proposals as f64).encode() else { return };
        let id = self.proposals;
        self.published.insert(id, (now, digest(&book)));
        let proposal = Proposal { id, parent, book, by: PUBLISHER.into(), why: String::new() };
        let message = Message::Publish(proposal);
        self.events.push(now + MS, Event::Message { to: voter, from: PUBLISHER.into(), message });
    }

    fn publish_answered(&mut self, id: u64, verdict: &Verdict) {
        let Some((at, name)) = self.published.get(&id).copied() else { return };
        if let Verdict::Pending(version) = verdict {
            self.checker.record_acknowledged(*version, name);
            self.unfinished.insert(*version, at);
        }
    }

    fn update_members(&mut self) {
        self.events.push(self.now() + MEMBERSHIP_INTERVAL, Event::UpdateMembers);
        let up: Vec<String> = self
            .nodes
            .iter()
            .filter(|n| n.agent.is_some() && !n.host.paused)
            .map(|n| n.host.name.clone())
            .collect();
        for node in &mut self.nodes {
            let others = up.iter().filter(|name| **name != node.host.name).cloned().collect();
            if let Some(agent) = &mut node.agent {
                agent.set_peers(others);
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
            Fault::LoseDisk(n, span) => self.kill(n, now + span, false),
            Fault::StallDisk(n, span) => self.nodes[n].host.disk_stalled_until = now + span,
            Fault::Pause(..) => {}
            fault => self.network.apply(&fault),
        }
    }

    fn kill(&mut self, n: usize, restart_at: Nanos, with_disk: bool) {
        self.update_right(n);
        let token = self.nodes[n].agent.as_ref().and_then(|a| a.enrolment()).and_then(|h| h.life());
        if self.nodes[n].agent.take().is_none() {
            return;
        }
        if let Some(token) = token {
            self.succession.record_kill(token, self.now());
            let finder = self.rng.random_range(0..self.nodes.len());
            let at = self.now() + self.rng.random_range(LINK_DELAY);
            self.events.push(at, Event::Missed(finder, n));
        }
        self.update_right(n);
        let node = &mut self.nodes[n];
        node.host.stop();
        node.no_right_since = None;
        self.events.push(restart_at, Event::Start(n, with_disk));
    }

    fn wake(&mut self, n: usize) {
        if !std::mem::take(&mut self.nodes[n].host.paused) {
            return;
        }
        for event in std::mem::take(&mut self.nodes[n].host.deferred) {
            self.handle(event);
        }
    }

    fn finish(mut self, end: Nanos) -> Findings {
        for n in 0..self.nodes.len() {
            self.update_right(n);
        }
        let (longest, which) = self.checker.longest_overlap();
        self.found.longest_overlap = longest;
        let bound = self.setup.bound.as_nanos() as Nanos;
        let allowed = if self.setup.apart { 0 } else { bound };
        if longest > allowed {
            let (v, w) = which.unwrap_or_default();
            let text = format!("versions {v} and {w} could be acted on together for {longest} ns");
            self.checker.violations.push(text);
        }
        self.check_recovery();
        self.checker.violations.append(&mut self.succession.violations);
        self.found.successor_delays = std::mem::take(&mut self.succession.delays);
        let seed = self.seed;
        self.found.violations =
            std::mem::take(&mut self.checker.violations).into_iter().map(|b| (seed, b)).collect();
        self.found.switches = self.checker.versions_used();
        self.found.proxy_time = end * self.nodes.len() as u64;
        self.found.virtual_time = end;
        self.found
    }

    /// Checks that after the faults every proxy acts on the version in force, and every voter has what was
    /// acknowledged.
    fn check_recovery(&mut self) {
        let voters: Vec<&Agent> = self.nodes.iter().filter_map(|n| n.agent.as_ref()).collect();
        let standing =
            voters.iter().filter_map(|a| a.voter()).map(|v| v.machine().standing()).max().unwrap_or(0);
        let mut failures = Vec::new();
        for (n, node) in self.nodes.iter().enumerate() {
            let Some(agent) = &node.agent else {
                failures.push(format!("p{n} is not running after recovery"));
                continue;
            };
            // A proxy that can't use the version in force rightly acts on none.
            let usable = agent.follower().unusable().is_none();
            if usable && node.right.is_none_or(|(v, ..)| v != standing) {
                let acting = agent.follower().acting();
                let lease = node.right.is_some();
                failures.push(format!(
                    "p{n} acts on version {acting} (lease: {lease}) after recovery, but {standing} is in force"
                ));
            }
            if agent
                .enrolment()
                .is_none_or(|h| h.permission(node.host.clock.local(self.events.now())).is_none())
            {
                failures.push(format!("p{n} has no valid process token after recovery"));
            }
            if n < self.setup.voters {
                let Some(voter) = agent.voter() else {
                    failures.push(format!("p{n} no longer votes"));
                    continue;
                };
                if !voter.machine().lives().unsettled().is_empty() {
                    failures.push(format!("p{n}: process tokens that ended were never settled"));
                }
                if voter.machine().standing() != standing || !voter.is_seated() {
                    failures.push(format!("p{n} votes, but has not caught up to version {standing}"));
                }
                for (version, record) in voter.machine().versions() {
                    self.checker.check_content(version, record.digest, &node.host.name);
                }
            }
        }
        let last = self.published.last_key_value().map(|(_, (_, name))| *name);
        let stands = voters.iter().filter_map(|a| a.voter()).any(|v| Some(v.standing().digest) == last);
        if !stands {
            failures.push("the rulebook published after all faults had healed never came into force".into());
        }
        self.checker.violations.extend(failures);
    }
}
