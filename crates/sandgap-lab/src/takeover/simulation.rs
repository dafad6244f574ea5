//! The simulation of one run: processes with their clocks, the network, clients and backends.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::RngExt;
use sandgap_agree::log::Write;
use sandgap_agree::messages::Message;
use sandgap_agree::{Agent, Output as AgentOutput};
use sandgap_fleet::Time;
use sandgap_takeover::messages::Envelope;
use sandgap_takeover::takeover::Settings;
use sandgap_takeover::{Content, Effect, Identity, Output, Record, Takeover};

use super::Setup;
use super::checker::{Checker, ClientResult, Findings, Request};
use super::proxy::{Action, DEDUP_WINDOW, Proxy, duration};
use crate::agree::faults::{Fault, draw_faults};
use crate::agree::host::{self, Host, LINK_DELAY, MEMBERSHIP_INTERVAL, Network};
use crate::calendar::{Calendar, MS, Nanos, SECOND};
use crate::streams::{Stream, stream};

/// Time without faults at the end of a run, ns, in which everything has to recover.
const RECOVERY_TIME: Nanos = 12 * SECOND;
/// Time that a backend takes for a request, ns.
const SERVICE_TIME: std::ops::Range<Nanos> = MS..80 * MS;
/// How long a client waits for an answer to one try, ns.
const CLIENT_TIMEOUT: Nanos = 2 * SECOND;
/// Maximum number of tries of a client.
const MAX_TRIES: u32 = 3;
/// Delay before a client's next try, ns.
const RETRY_DELAY: std::ops::Range<Nanos> = 30 * MS..400 * MS;
/// About the fraction of attempts whose connection breaks, half of them before the request ran and half after it.
const BROKEN_FRACTION: f64 = 0.02;

enum Event {
    /// An agreement message arrives at a process.
    Message {
        to: usize,
        from: String,
        message: Message,
    },
    /// A takeover message arrives at a process.
    TakeoverMessage {
        to: usize,
        message: Envelope,
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
    UpdateMembers,
    /// A process (the first) finds that nothing listens at the address of another (the second).
    Missed(usize, usize),
    /// A client has a new request.
    NewRequest,
    /// A client tries its request, for the first time or again.
    Try(usize),
    /// A try reaches its proxy: the request, the node, the number of the try.
    TryArrives(usize, usize, u32),
    /// The client of a try stops waiting for an answer.
    TryTimeout(usize, u32),
    /// An attempt reaches a backend.
    AttemptArrives {
        backend: u64,
        index: usize,
        origin: Origin,
    },
    /// An attempt's answer, or `None` for a broken connection, reaches the proxy.
    Reply {
        origin: Origin,
        answer: Option<u64>,
    },
}

/// The process and request that an attempt belongs to.
#[derive(Clone, Copy)]
struct Origin {
    node: usize,
    incarnation: u32,
    seq: u64,
    attempt: u32,
}

struct Process {
    agent: Agent,
    takeover: Takeover,
    proxy: Proxy,
}

struct Node {
    host: Host<Event>,
    process: Option<Process>,
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
    found: Findings,
    /// Request numbers by identity.
    identities: BTreeMap<Identity, usize>,
    /// Runs by cell and request: the time and the answer's number.
    cells: BTreeMap<(u64, usize), (Nanos, u64)>,
    answers: u64,
}

impl Simulation {
    /// A simulation at time 0, with the fleet founded and faults scheduled.
    pub fn new(setup: Setup, seed: u64) -> Self {
        let mut rng = stream(seed, "takeover", 0);
        let max_drift = f64::from(setup.fleet.drift_ppm) / 1e6;
        let nodes = (0..setup.fleet.voters + setup.fleet.observers)
            .map(|n| Node { host: Host::new(n, max_drift, &mut rng), process: None });
        let mut simulation = Simulation {
            nodes: nodes.collect(),
            setup,
            seed,
            events: Calendar::default(),
            network: Network::default(),
            rng,
            checker: Checker::default(),
            found: Findings { runs: 1, ..Findings::default() },
            identities: BTreeMap::new(),
            cells: BTreeMap::new(),
            answers: 0,
        };
        simulation.found_fleet();
        simulation
    }

    fn found_fleet(&mut self) {
        host::found_voter_disks(self.nodes[..self.setup.fleet.voters].iter_mut().map(|node| &mut node.host));
        for n in 0..self.nodes.len() {
            self.events.push(0, Event::Start(n, true));
        }
        for (at, fault) in draw_faults(&self.setup.fleet, &mut stream(self.seed, "takeover faults", 0)) {
            self.events.push(at, Event::Fault(fault));
        }
        self.events.push(self.setup.fleet.fault_phase, Event::Fault(Fault::Heal));
        self.events.push(SECOND, Event::NewRequest);
        self.events.push(MEMBERSHIP_INTERVAL, Event::UpdateMembers);
    }

    /// Runs to the end.
    pub fn run(mut self) -> Findings {
        let end = self.setup.fleet.fault_phase + RECOVERY_TIME;
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                break;
            }
            self.handle(event);
        }
        self.check_recovery();
        let Simulation { checker, mut found, seed, .. } = self;
        checker.finish(seed, &mut found);
        found
    }

    /// Checks that after the faults every proxy has a valid process token and nothing is left to take over.
    fn check_recovery(&mut self) {
        for (n, node) in self.nodes.iter().enumerate() {
            let local = node.host.clock.local(self.events.now());
            let Some(process) = &node.process else { continue };
            if process.agent.enrolment().is_none_or(|h| h.permission(local).is_none()) {
                self.checker.violations.push(format!("p{n} has no valid process token after recovery"));
            }
            if process.agent.voter().is_some_and(|v| !v.machine().lives().unsettled().is_empty()) {
                self.checker.violations.push(format!("p{n}: process tokens that ended were never settled"));
            }
        }
    }

    fn now(&self) -> Nanos {
        self.events.now()
    }

    /// The paused process that an event has to wait for, if any.
    fn paused_target(&self, event: &Event) -> Option<usize> {
        let n = match event {
            Event::Message { to, .. } | Event::TakeoverMessage { to, .. } => *to,
            Event::Timer { node, .. } => *node,
            Event::TryArrives(_, node, _) => *node,
            Event::Reply { origin, .. } => origin.node,
            _ => return None,
        };
        self.nodes[n].host.paused.then_some(n)
    }

    fn handle(&mut self, event: Event) {
        if let Some(n) = self.paused_target(&event) {
            return self.nodes[n].host.deferred.push_back(event);
        }
        match event {
            Event::Message { to, from, message } => {
                self.with(to, |p, now| p.agent.receive(now, &from, message))
            }
            Event::TakeoverMessage { to, message } => self.receive(to, message),
            Event::Timer { node, incarnation } => self.timer(node, incarnation),
            Event::Written { node, incarnation, write } => self.written(node, incarnation, write),
            Event::Fault(fault) => self.fault(fault),
            Event::Wake(n) => self.wake(n),
            Event::Start(n, disk) => self.start(n, disk),
            Event::UpdateMembers => self.update_members(),
            Event::Missed(node, gone) => {
                if self.nodes[gone].process.is_none() && !self.nodes[node].host.paused {
                    let name = self.nodes[gone].host.name.clone();
                    self.with(node, |p, now| p.agent.report_unreachable(now, &name));
                }
            }
            Event::NewRequest => self.new_request(),
            Event::Try(index) => self.try_request(index),
            Event::TryArrives(index, n, number) => self.arrive(index, n, number),
            Event::TryTimeout(index, number) => {
                if self.checker.requests[index].waiting_at.is_some_and(|(_, waiting)| waiting == number) {
                    self.tell(index, ClientResult::Retry);
                }
            }
            Event::AttemptArrives { backend, index, origin } => self.run_attempt(backend, index, origin),
            Event::Reply { origin, answer } => self.reply(origin, answer),
        }
    }

    // ---- processes ----

    fn start(&mut self, n: usize, with_disk: bool) {
        let timing = self.setup.fleet.timing();
        let voters: Vec<(String, SocketAddr)> = self.nodes[..self.setup.fleet.voters]
            .iter()
            .map(|v| (v.host.name.clone(), v.host.address))
            .collect();
        let now = self.now();
        let random: u64 = self.rng.random();
        let node = &mut self.nodes[n];
        if node.process.is_some() {
            return;
        }
        let (agent, votes) = node.host.start(now, with_disk, timing, voters, random);
        if let Err(e) = votes {
            self.checker.violations.push(format!("p{n} can't start from its disk: {e}"));
        }
        let takeover = Takeover::new(Settings {
            drift: timing.lease_bound.drift,
            keepers: self.setup.keepers,
            keeper_timeout: duration(100 * MS),
            retention: duration(8 * SECOND),
            max_concurrent_resumes: 32,
        });
        let proxy = Proxy::new(self.setup.flaw, random);
        self.nodes[n].process = Some(Process { agent, takeover, proxy });
        self.poll(n);
    }

    fn with(&mut self, n: usize, act: impl FnOnce(&mut Process, Time)) {
        let now = self.now();
        let node = &mut self.nodes[n];
        let local = node.host.clock.local(now);
        if let Some(process) = &mut node.process {
            act(process, local);
            self.poll(n);
        }
    }

    fn may_act(process: &Process, local: Time) -> bool {
        process.agent.enrolment().is_some_and(|h| h.permission(local).is_some())
    }

    fn timer(&mut self, n: usize, incarnation: u32) {
        if self.nodes[n].host.incarnation != incarnation {
            return;
        }
        self.nodes[n].host.timer_fired();
        self.with(n, |p, now| {
            p.agent.fire(now);
            // Without the right to act it sends nothing; pending messages are repeated once it has the right.
            if Self::may_act(p, now) {
                p.takeover.fire(now);
            }
        });
    }

    fn receive(&mut self, n: usize, message: Envelope) {
        self.with(n, |p, now| {
            let may_act = Self::may_act(p, now);
            p.takeover.handle_envelope(now, message, may_act);
        });
    }

    /// Carries out a process's outputs and arms its timer.
    fn poll(&mut self, n: usize) {
        loop {
            let Some(process) = &mut self.nodes[n].process else { return };
            if let Some(output) = process.agent.poll() {
                self.carry_out(n, output);
            } else if let Some(output) = process.takeover.poll() {
                self.carry_out_takeover(n, output);
            } else {
                break;
            }
        }
        let (now, node) = (self.now(), &mut self.nodes[n]);
        let Some(process) = &node.process else { return };
        // Timers that are due while the process lacks the right to act are checked again after 1 ms at the earliest.
        let local = node.host.clock.local(now);
        let takeover = process.takeover.next_due().map(|at| at.max(local + duration(MS)));
        let due = process.agent.next_due();
        let due = takeover.map_or(due, |at| at.min(due));
        if let Some(at) = node.host.arm_timer(now, due) {
            let incarnation = node.host.incarnation;
            self.events.push(at, Event::Timer { node: n, incarnation });
        }
    }

    fn carry_out(&mut self, n: usize, output: AgentOutput) {
        match output {
            AgentOutput::Send(to, _, message) => {
                for (to, at) in self.arrivals(n, &to) {
                    let (from, message) = (self.nodes[n].host.name.clone(), message.clone());
                    self.events.push(at, Event::Message { to, from, message });
                }
            }
            AgentOutput::Write(write) => {
                let (now, node) = (self.now(), &mut self.nodes[n]);
                let (at, incarnation) = (node.host.queue_write(now, &mut self.rng), node.host.incarnation);
                self.events.push(at, Event::Written { node: n, incarnation, write });
            }
            AgentOutput::Enrolment(event) => {
                let local = self.nodes[n].host.clock.local(self.now());
                if let Some(process) = &mut self.nodes[n].process {
                    process.takeover.handle_enrolment(local, event);
                }
            }
            AgentOutput::Act(version, _) => {
                let local = self.nodes[n].host.clock.local(self.now());
                if let Some(process) = &mut self.nodes[n].process {
                    process.agent.in_effect(local, version);
                }
            }
            AgentOutput::Check(..) | AgentOutput::RiderMessages(..) | AgentOutput::Log(_) => {}
        }
    }

    fn carry_out_takeover(&mut self, n: usize, output: Output) {
        let now = self.now();
        let local = self.nodes[n].host.clock.local(now);
        let Some(process) = &mut self.nodes[n].process else { return };
        let may_act = Self::may_act(process, local);
        let mut actions = Vec::new();
        let Process { agent, takeover, proxy } = process;
        match output {
            Output::Send(to, message) => return self.send(n, &to, message),
            Output::StepConfirmed(seq, step) => {
                proxy.confirmed(local, seq, step, may_act, takeover, &mut actions)
            }
            Output::Stopped(seq, why) => proxy.stop(local, seq, why, takeover, &mut actions),
            Output::Resume(resumed) => {
                if let Some(index) = self.identities.get(&resumed.record.identity) {
                    proxy.resume(local, *resumed, *index, takeover, &mut actions);
                }
            }
            Output::Settled(epoch) => agent.report_settled(local, epoch),
            Output::LifeEnded(_) => proxy.drop_all(&mut actions),
            Output::Log(_) => {}
        }
        self.perform(n, actions);
    }

    fn perform(&mut self, n: usize, actions: Vec<Action>) {
        let now = self.now();
        for action in actions {
            match action {
                Action::Send(backend, seq, attempt) => {
                    let Some(request) = self.nodes[n].process.as_ref().and_then(|p| p.proxy.active.get(&seq))
                    else {
                        continue;
                    };
                    let index = request.index;
                    let origin =
                        Origin { node: n, incarnation: self.nodes[n].host.incarnation, seq, attempt };
                    self.events.push(now, Event::AttemptArrives { backend, index, origin });
                }
                Action::Tell(index, result) => {
                    if self.checker.requests[index].waiting_at.is_some_and(|(at, _)| at == n) {
                        self.tell(index, result);
                    }
                }
                Action::Resumed(index) => {
                    let request = &mut self.checker.requests[index];
                    if let Some(orphaned_at) =
                        request.orphaned_at.filter(|_| !std::mem::replace(&mut request.resumed, true))
                    {
                        self.found.takeover_delays.push(now - orphaned_at);
                    }
                }
            }
        }
    }

    fn written(&mut self, n: usize, incarnation: u32, write: Write) {
        if self.nodes[n].host.incarnation != incarnation {
            return;
        }
        let number = write.number;
        if let Some(disk) = &mut self.nodes[n].host.disk {
            disk.apply(&write);
        }
        if self.nodes[n].host.paused {
            let write = Write { number, ..Write::default() };
            return self.nodes[n].host.deferred.push_back(Event::Written { node: n, incarnation, write });
        }
        self.with(n, |p, now| p.agent.written(now, number));
    }

    // ---- network ----

    /// The node of a proxy's name and the arrival time of each copy of a message sent there now.
    fn arrivals(&mut self, from: usize, to: &str) -> Vec<(usize, Nanos)> {
        let Some(to) = self.nodes.iter().position(|node| node.host.name == to) else { return Vec::new() };
        let arrivals = self.network.arrival_times(self.events.now(), from, to, &mut self.rng);
        arrivals.into_iter().map(|at| (to, at)).collect()
    }

    fn send(&mut self, n: usize, to: &str, message: Envelope) {
        self.found.messages += 1;
        self.found.bytes += message.encode().len() as u64;
        for (to, at) in self.arrivals(n, to) {
            self.events.push(at, Event::TakeoverMessage { to, message: message.clone() });
        }
    }

    fn update_members(&mut self) {
        self.events.push(self.now() + MEMBERSHIP_INTERVAL, Event::UpdateMembers);
        let up: Vec<String> = self
            .nodes
            .iter()
            .filter(|n| n.process.is_some() && !n.host.paused)
            .map(|n| n.host.name.clone())
            .collect();
        for node in &mut self.nodes {
            let others = up.iter().filter(|name| **name != node.host.name).cloned().collect();
            if let Some(process) = &mut node.process {
                process.agent.set_peers(others);
            }
        }
    }

    // ---- faults ----

    fn fault(&mut self, fault: Fault) {
        let now = self.now();
        match fault {
            Fault::Pause(n, span) if !self.nodes[n].host.paused && self.nodes[n].process.is_some() => {
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
        let now = self.now();
        let node = &mut self.nodes[n];
        let Some(process) = node.process.take() else { return };
        node.host.stop();
        for request in process.proxy.active.values().filter(|request| request.kept) {
            let request = &mut self.checker.requests[request.index];
            if request.result.is_none() && request.waiting_at.is_some_and(|(at, _)| at == n) {
                (request.orphaned_at, request.resumed) = (Some(now), false);
            }
        }
        // Its sockets close: its clients notice, and so does a process that dials it.
        let here = |request: &Request| request.waiting_at.is_some_and(|(at, _)| at == n);
        let waiting: Vec<usize> =
            (0..self.checker.requests.len()).filter(|index| here(&self.checker.requests[*index])).collect();
        waiting.into_iter().for_each(|index| self.tell(index, ClientResult::Retry));
        let finder = self.rng.random_range(0..self.nodes.len());
        let at = now + self.rng.random_range(LINK_DELAY);
        self.events.push(at, Event::Missed(finder, n));
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

    // ---- clients ----

    fn new_request(&mut self) {
        let next = self.now() + self.rng.random_range(0..2 * self.setup.request_interval);
        if next < self.setup.fleet.fault_phase + SECOND {
            self.events.push(next, Event::NewRequest);
        }
        let effect = [Effect::Safe, Effect::Keyed, Effect::Unsafe][self.rng.random_range(0..3)];
        let n = self.checker.requests.len();
        self.checker.requests.push(Request {
            effect,
            runs: 0,
            result: None,
            tries: 0,
            waiting_at: None,
            refused_on_try: None,
            orphaned_at: None,
            resumed: false,
        });
        self.identities.insert(Identity::of(None, "c", &n.to_string()), n);
        self.try_request(n);
        // 2% of clients send the same request a second time at once.
        if self.rng.random_bool(0.02) {
            let (node, number) = (self.rng.random_range(0..self.nodes.len()), 0);
            self.checker.requests[n].tries += 1;
            self.events.push(self.now() + MS, Event::TryArrives(n, node, number));
        }
    }

    fn try_request(&mut self, n: usize) {
        if self.checker.requests[n].result.is_some() || self.checker.requests[n].tries >= MAX_TRIES {
            return;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let at = self.now() + self.rng.random_range(LINK_DELAY);
        let request = &mut self.checker.requests[n];
        request.tries += 1;
        let number = request.tries;
        request.waiting_at = Some((node, number));
        self.events.push(at, Event::TryArrives(n, node, number));
        self.events.push(at + CLIENT_TIMEOUT, Event::TryTimeout(n, number));
    }

    fn arrive(&mut self, n: usize, node: usize, number: u32) {
        let waits = self.checker.requests[n].waiting_at == Some((node, number));
        if !waits && number > 0 {
            return; // its client no longer waits
        }
        let identity = Identity::of(None, "c", &n.to_string());
        let effect = self.checker.requests[n].effect;
        let record = Record {
            identity,
            content: Content::of("POST", "/c", &[]),
            class: "c".into(),
            tenant: None,
            effect,
            version: 1,
            keepers: Vec::new(),
            may_continue_without_keepers: false,
            step: 0,
            sent: Vec::new(),
            end: None,
        };
        let mut accepted = None;
        self.with(node, |p, now| {
            let left = duration(CLIENT_TIMEOUT);
            // The front handles a second request of an identity that is already open at the same proxy.
            if p.proxy.active.values().any(|request| request.index == n) {
                return;
            }
            accepted = p.takeover.accept(now, record, left, (&b"request"[..]).into());
            if let Some(seq) = accepted {
                p.proxy.accept(seq, n, effect, now + left);
            }
        });
        if accepted.is_none() && waits {
            self.tell(n, ClientResult::Retry); // refused: no right to act, no process, or already open there
        }
    }

    /// Tells a client a result; the client tries again if that was not final.
    fn tell(&mut self, n: usize, result: ClientResult) {
        self.checker.record_result(n, result);
        let request = &mut self.checker.requests[n];
        if request.waiting_at.take().is_some() && request.result.is_none() {
            let at = self.now() + self.rng.random_range(RETRY_DELAY);
            self.events.push(at, Event::Try(n));
        }
    }

    // ---- backends ----

    fn run_attempt(&mut self, backend: u64, index: usize, origin: Origin) {
        let now = self.now();
        let effect = self.checker.requests[index].effect;
        let arrived = self.rng.random_bool(1.0 - BROKEN_FRACTION / 2.0);
        let reply_arrives = self.rng.random_bool(1.0 - BROKEN_FRACTION / 2.0);
        let service_time = self.rng.random_range(SERVICE_TIME);
        let mut answer = None;
        if arrived {
            let cell = (backend % super::proxy::CELLS, index);
            let window = DEDUP_WINDOW.as_nanos() as Nanos;
            let before = self.cells.get(&cell).filter(|(at, _)| now < at + window);
            match (effect, before) {
                (Effect::Keyed, Some((_, before))) => answer = Some(*before),
                _ => {
                    self.answers += 1;
                    answer = Some(self.answers);
                    self.cells.insert(cell, (now, self.answers));
                    let attempt = format!("p{} attempt {} in cell {}", origin.node, origin.attempt, cell.0);
                    self.checker.record_run(index, &attempt);
                }
            }
        }
        self.events
            .push(now + service_time, Event::Reply { origin, answer: answer.filter(|_| reply_arrives) });
    }

    fn reply(&mut self, origin: Origin, answer: Option<u64>) {
        if self.nodes[origin.node].host.incarnation != origin.incarnation {
            return;
        }
        let mut actions = Vec::new();
        self.with(origin.node, |p, now| {
            let may_act = Self::may_act(p, now);
            let Process { takeover, proxy, .. } = p;
            proxy.reply(now, origin.seq, answer, may_act, takeover, &mut actions);
        });
        self.perform(origin.node, actions);
    }
}
