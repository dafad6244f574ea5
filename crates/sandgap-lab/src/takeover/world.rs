//! The world of one run: processes, their clocks, the net, clients and backends.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::RngExt;
use sandgap_agree::log::Write;
use sandgap_agree::words::Word;
use sandgap_agree::{Agent, Output as AgentOutput};
use sandgap_fleet::Time;
use sandgap_takeover::hands::Terms;
use sandgap_takeover::words::Letter;
use sandgap_takeover::{Content, Effect, Hands, Identity, Output, Record};

use super::Setup;
use super::judge::{Findings, Judge, Told, Wish};
use super::proxy::{Deed, Proxy, WINDOW, span};
use crate::agree::faults::{Fault, draw};
use crate::agree::host::{self, Host, LOOK, Net, WAY};
use crate::calendar::{Calendar, MS, Nanos, SECOND};
use crate::streams::{Stream, stream};

/// How long all is well again after the last fault, and after the last request.
const HEALED: Nanos = 12 * SECOND;
/// What a backend takes.
const SERVICE: std::ops::Range<Nanos> = MS..80 * MS;
/// How long a client waits at one proxy, how often it comes, and how soon again.
const PATIENCE: Nanos = 2 * SECOND;
const VISITS: u32 = 3;
const BACK: std::ops::Range<Nanos> = 30 * MS..400 * MS;
/// The part of attempts that break after they have run, and before.
const BROKEN: f64 = 0.02;

enum Event {
    Word {
        to: usize,
        from: String,
        word: Word,
    },
    Letter {
        to: usize,
        letter: Letter,
    },
    Timer {
        node: usize,
        life: u32,
    },
    Kept {
        node: usize,
        life: u32,
        write: Write,
    },
    Fault(Fault),
    Wake(usize),
    Start(usize, bool),
    Look,
    Missed(usize, usize),
    /// A new wish comes up.
    Wish,
    /// A client comes with a wish.
    Visit(usize),
    /// A visit reaches its proxy.
    Asks(usize, usize, u32),
    /// A visit's client has waited long enough.
    GivesUp(usize, u32),
    /// An attempt reaches a backend.
    Runs {
        backend: u64,
        wish: usize,
        back: Back,
    },
    /// Its answer, or its break, reaches the proxy.
    Reply {
        back: Back,
        answer: Option<u64>,
    },
}

/// Where an attempt came from.
#[derive(Clone, Copy)]
struct Back {
    node: usize,
    life: u32,
    seq: u64,
    attempt: u32,
}

struct Process {
    agent: Agent,
    hands: Hands,
    proxy: Proxy,
}

struct Node {
    host: Host<Event>,
    process: Option<Process>,
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
    found: Findings,
    /// By identity, which wish.
    identities: BTreeMap<Identity, usize>,
    /// What each cell has run, when, and its answer.
    cells: BTreeMap<(u64, usize), (Nanos, u64)>,
    answers: u64,
}

impl World {
    /// A world in which nothing has happened.
    pub fn new(setup: Setup, seed: u64) -> Self {
        let mut rng = stream(seed, "takeover", 0);
        let part = f64::from(setup.fleet.ppm) / 1e6;
        let nodes = (0..setup.fleet.voters + setup.fleet.observers)
            .map(|n| Node { host: Host::new(n, part, &mut rng), process: None });
        let mut world = World {
            nodes: nodes.collect(),
            setup,
            seed,
            events: Calendar::default(),
            net: Net::default(),
            rng,
            judge: Judge::default(),
            found: Findings { runs: 1, ..Findings::default() },
            identities: BTreeMap::new(),
            cells: BTreeMap::new(),
            answers: 0,
        };
        world.found_fleet();
        world
    }

    fn found_fleet(&mut self) {
        host::found(self.nodes[..self.setup.fleet.voters].iter_mut().map(|node| &mut node.host));
        for n in 0..self.nodes.len() {
            self.events.push(0, Event::Start(n, true));
        }
        for (at, fault) in draw(&self.setup.fleet, &mut stream(self.seed, "takeover faults", 0)) {
            self.events.push(at, Event::Fault(fault));
        }
        self.events.push(self.setup.fleet.faulty, Event::Fault(Fault::Heal));
        self.events.push(SECOND, Event::Wish);
        self.events.push(LOOK, Event::Look);
    }

    /// Plays to the end.
    pub fn play(mut self) -> Findings {
        let end = self.setup.fleet.faulty + HEALED;
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                break;
            }
            self.happen(event);
        }
        self.recovered();
        let World { judge, mut found, seed, .. } = self;
        judge.close(seed, &mut found);
        found
    }

    /// Once all is healed, every proxy has a life and nothing is left to inherit.
    fn recovered(&mut self) {
        for (n, node) in self.nodes.iter().enumerate() {
            let local = node.host.clock.local(self.events.now());
            let Some(process) = &node.process else { continue };
            if process.agent.holder().is_none_or(|h| h.right(local).is_none()) {
                self.judge.broken.push(format!("p{n} has no life, long after"));
            }
            if process.agent.voter().is_some_and(|v| !v.machine().lives().estates().is_empty()) {
                self.judge.broken.push(format!("p{n}: what lives left was never settled"));
            }
        }
    }

    fn now(&self) -> Nanos {
        self.events.now()
    }

    /// What has to wait while its process stands still.
    fn stands(&self, event: &Event) -> Option<usize> {
        let n = match event {
            Event::Word { to, .. } | Event::Letter { to, .. } => *to,
            Event::Timer { node, .. } => *node,
            Event::Asks(_, node, _) => *node,
            Event::Reply { back, .. } => back.node,
            _ => return None,
        };
        self.nodes[n].host.paused.then_some(n)
    }

    fn happen(&mut self, event: Event) {
        if let Some(n) = self.stands(&event) {
            return self.nodes[n].host.waiting.push_back(event);
        }
        match event {
            Event::Word { to, from, word } => self.with(to, |p, now| p.agent.hear(now, &from, word)),
            Event::Letter { to, letter } => self.letter(to, letter),
            Event::Timer { node, life } => self.timer(node, life),
            Event::Kept { node, life, write } => self.kept(node, life, write),
            Event::Fault(fault) => self.fault(fault),
            Event::Wake(n) => self.wake(n),
            Event::Start(n, disk) => self.start(n, disk),
            Event::Look => self.look(),
            Event::Missed(node, gone) => {
                if self.nodes[gone].process.is_none() && !self.nodes[node].host.paused {
                    let name = self.nodes[gone].host.name.clone();
                    self.with(node, |p, now| p.agent.missed(now, &name));
                }
            }
            Event::Wish => self.wish(),
            Event::Visit(wish) => self.visit(wish),
            Event::Asks(wish, n, visit) => self.asks(wish, n, visit),
            Event::GivesUp(wish, visit) => {
                if self.judge.wishes[wish].at.is_some_and(|(_, v)| v == visit) {
                    self.tell(wish, Told::NoWord);
                }
            }
            Event::Runs { backend, wish, back } => self.runs(backend, wish, back),
            Event::Reply { back, answer } => self.reply(back, answer),
        }
    }

    // ---- processes ----

    fn start(&mut self, n: usize, with_disk: bool) {
        let terms = self.setup.fleet.terms();
        let voters: Vec<(String, SocketAddr)> = self.nodes[..self.setup.fleet.voters]
            .iter()
            .map(|v| (v.host.name.clone(), v.host.address))
            .collect();
        let now = self.now();
        let chance: u64 = self.rng.random();
        let node = &mut self.nodes[n];
        if node.process.is_some() {
            return;
        }
        let (agent, votes) = node.host.start(now, with_disk, terms, voters, chance);
        if let Err(e) = votes {
            self.judge.broken.push(format!("p{n} can't start from its disk: {e}"));
        }
        let hands = Hands::new(Terms {
            drift: terms.span.drift,
            keepers: self.setup.keepers,
            wait: span(100 * MS),
            retention: span(8 * SECOND),
            at_once: 32,
        });
        let proxy = Proxy::new(self.setup.flaw, chance);
        self.nodes[n].process = Some(Process { agent, hands, proxy });
        self.after(n);
    }

    fn with(&mut self, n: usize, act: impl FnOnce(&mut Process, Time)) {
        let now = self.now();
        let node = &mut self.nodes[n];
        let local = node.host.clock.local(now);
        if let Some(process) = &mut node.process {
            act(process, local);
            self.after(n);
        }
    }

    fn right(process: &Process, local: Time) -> bool {
        process.agent.holder().is_some_and(|h| h.right(local).is_some())
    }

    fn timer(&mut self, n: usize, life: u32) {
        if self.nodes[n].host.life != life {
            return;
        }
        self.nodes[n].host.fired();
        self.with(n, |p, now| {
            p.agent.fire(now);
            // Without the right to act it says nothing; what it waits for is said again once it has it.
            if Self::right(p, now) {
                p.hands.fire(now);
            }
        });
    }

    fn letter(&mut self, n: usize, letter: Letter) {
        self.with(n, |p, now| {
            let right = Self::right(p, now);
            p.hands.hear(now, letter, right);
        });
    }

    /// Carries out what a process wants done.
    fn after(&mut self, n: usize) {
        loop {
            let Some(process) = &mut self.nodes[n].process else { return };
            if let Some(output) = process.agent.poll() {
                self.carry_out(n, output);
            } else if let Some(output) = process.hands.poll() {
                self.carry_out_hands(n, output);
            } else {
                break;
            }
        }
        let (now, node) = (self.now(), &mut self.nodes[n]);
        let Some(process) = &node.process else { return };
        // Hands without the right to act are looked at again with the next question.
        let local = node.host.clock.local(now);
        let hands = process.hands.next_due().map(|at| at.max(local + span(MS)));
        let due = process.agent.next_due();
        let due = hands.map_or(due, |at| at.min(due));
        if let Some(at) = node.host.arm(now, due) {
            let life = node.host.life;
            self.events.push(at, Event::Timer { node: n, life });
        }
    }

    fn carry_out(&mut self, n: usize, output: AgentOutput) {
        match output {
            AgentOutput::Say(to, _, word) => {
                for (to, at) in self.ways(n, &to) {
                    let (from, word) = (self.nodes[n].host.name.clone(), word.clone());
                    self.events.push(at, Event::Word { to, from, word });
                }
            }
            AgentOutput::Write(write) => {
                let (now, node) = (self.now(), &mut self.nodes[n]);
                let (at, life) = (node.host.writes(now, &mut self.rng), node.host.life);
                self.events.push(at, Event::Kept { node: n, life, write });
            }
            AgentOutput::Turn(turn) => {
                let local = self.nodes[n].host.clock.local(self.now());
                if let Some(process) = &mut self.nodes[n].process {
                    process.hands.turn(local, turn);
                }
            }
            AgentOutput::Check(..) | AgentOutput::Act(..) | AgentOutput::Told(..) | AgentOutput::Note(_) => {}
        }
    }

    fn carry_out_hands(&mut self, n: usize, output: Output) {
        let now = self.now();
        let local = self.nodes[n].host.clock.local(now);
        let Some(process) = &mut self.nodes[n].process else { return };
        let right = Self::right(process, local);
        let mut deeds = Vec::new();
        let Process { agent, hands, proxy } = process;
        match output {
            Output::Say(to, letter) => return self.post(n, &to, letter),
            Output::Clear(seq, step) => proxy.cleared(local, seq, step, right, hands, &mut deeds),
            Output::Stop(seq, why) => proxy.stopped(local, seq, why, hands, &mut deeds),
            Output::Begin(begun) => {
                if let Some(wish) = self.identities.get(&begun.record.identity) {
                    proxy.begin(local, *begun, *wish, hands, &mut deeds);
                }
            }
            Output::Settled(epoch) => agent.settled(local, epoch),
            Output::Over(_) => proxy.over(&mut deeds),
            Output::Note(_) => {}
        }
        self.do_all(n, deeds);
    }

    fn do_all(&mut self, n: usize, deeds: Vec<Deed>) {
        let now = self.now();
        for deed in deeds {
            match deed {
                Deed::Write(backend, seq, attempt) => {
                    let Some(job) = self.nodes[n].process.as_ref().and_then(|p| p.proxy.jobs.get(&seq))
                    else {
                        continue;
                    };
                    let wish = job.wish;
                    let back = Back { node: n, life: self.nodes[n].host.life, seq, attempt };
                    self.events.push(now, Event::Runs { backend, wish, back });
                }
                Deed::Tell(wish, told) => {
                    if self.judge.wishes[wish].at.is_some_and(|(at, _)| at == n) {
                        self.tell(wish, told);
                    }
                }
                Deed::GoesOn(wish) => {
                    let wish = &mut self.judge.wishes[wish];
                    if let Some(lost) = wish.lost.filter(|_| !std::mem::replace(&mut wish.went_on, true)) {
                        self.found.delays.push(now - lost);
                    }
                }
            }
        }
    }

    fn kept(&mut self, n: usize, life: u32, write: Write) {
        if self.nodes[n].host.life != life {
            return;
        }
        let number = write.number;
        if let Some(disk) = &mut self.nodes[n].host.disk {
            disk.put(&write);
        }
        if self.nodes[n].host.paused {
            let write = Write { number, ..Write::default() };
            return self.nodes[n].host.waiting.push_back(Event::Kept { node: n, life, write });
        }
        self.with(n, |p, now| p.agent.written(now, number));
    }

    // ---- the net ----

    /// Where a proxy of a name is and when a word arrives there, each copy of it.
    fn ways(&mut self, from: usize, to: &str) -> Vec<(usize, Nanos)> {
        let Some(to) = self.nodes.iter().position(|node| node.host.name == to) else { return Vec::new() };
        let all = self.net.ways(self.events.now(), from, to, &mut self.rng);
        all.into_iter().map(|at| (to, at)).collect()
    }

    fn post(&mut self, n: usize, to: &str, letter: Letter) {
        self.found.words += 1;
        self.found.bytes += letter.encode().len() as u64;
        for (to, at) in self.ways(n, to) {
            self.events.push(at, Event::Letter { to, letter: letter.clone() });
        }
    }

    fn look(&mut self) {
        self.events.push(self.now() + LOOK, Event::Look);
        let up: Vec<String> = self
            .nodes
            .iter()
            .filter(|n| n.process.is_some() && !n.host.paused)
            .map(|n| n.host.name.clone())
            .collect();
        for node in &mut self.nodes {
            let others = up.iter().filter(|name| **name != node.host.name).cloned().collect();
            if let Some(process) = &mut node.process {
                process.agent.present(others);
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
            Fault::Disk(n, span) => self.kill(n, now + span, false),
            Fault::Stall(n, span) => self.nodes[n].host.stalled = now + span,
            Fault::Pause(..) => {}
            fault => self.net.suffer(&fault),
        }
    }

    fn kill(&mut self, n: usize, back: Nanos, with_disk: bool) {
        let now = self.now();
        let node = &mut self.nodes[n];
        let Some(process) = node.process.take() else { return };
        node.host.stop();
        for job in process.proxy.jobs.values().filter(|job| job.kept) {
            let wish = &mut self.judge.wishes[job.wish];
            if wish.told.is_none() && wish.at.is_some_and(|(at, _)| at == n) {
                (wish.lost, wish.went_on) = (Some(now), false);
            }
        }
        // Its sockets close: clients see it, and whoever dials it.
        let here = |w: &Wish| w.at.is_some_and(|(at, _)| at == n);
        let waiting: Vec<usize> =
            (0..self.judge.wishes.len()).filter(|w| here(&self.judge.wishes[*w])).collect();
        waiting.into_iter().for_each(|wish| self.tell(wish, Told::NoWord));
        let finder = self.rng.random_range(0..self.nodes.len());
        let at = now + self.rng.random_range(WAY);
        self.events.push(at, Event::Missed(finder, n));
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

    // ---- clients ----

    fn wish(&mut self) {
        let next = self.now() + self.rng.random_range(0..2 * self.setup.every);
        if next < self.setup.fleet.faulty + SECOND {
            self.events.push(next, Event::Wish);
        }
        let effect = [Effect::Safe, Effect::Keyed, Effect::Unsafe][self.rng.random_range(0..3)];
        let n = self.judge.wishes.len();
        self.judge.wishes.push(Wish {
            effect,
            runs: 0,
            told: None,
            visits: 0,
            at: None,
            refused: None,
            lost: None,
            went_on: false,
        });
        self.identities.insert(Identity::of(None, "c", &n.to_string()), n);
        self.visit(n);
        // Some clients are impatient and come twice at once.
        if self.rng.random_bool(0.02) {
            let (node, visit) = (self.rng.random_range(0..self.nodes.len()), 0);
            self.judge.wishes[n].visits += 1;
            self.events.push(self.now() + MS, Event::Asks(n, node, visit));
        }
    }

    fn visit(&mut self, n: usize) {
        if self.judge.wishes[n].told.is_some() || self.judge.wishes[n].visits >= VISITS {
            return;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let at = self.now() + self.rng.random_range(WAY);
        let wish = &mut self.judge.wishes[n];
        wish.visits += 1;
        let visit = wish.visits;
        wish.at = Some((node, visit));
        self.events.push(at, Event::Asks(n, node, visit));
        self.events.push(at + PATIENCE, Event::GivesUp(n, visit));
    }

    fn asks(&mut self, n: usize, node: usize, visit: u32) {
        let waits = self.judge.wishes[n].at == Some((node, visit));
        if !waits && visit > 0 {
            return; // its client has gone
        }
        let identity = Identity::of(None, "c", &n.to_string());
        let effect = self.judge.wishes[n].effect;
        let record = Record {
            identity,
            content: Content::of("POST", "/c", &[]),
            class: "c".into(),
            tenant: None,
            effect,
            version: 1,
            keepers: Vec::new(),
            alone: false,
            step: 0,
            sent: Vec::new(),
            end: None,
        };
        let mut taken = None;
        self.with(node, |p, now| {
            let left = span(PATIENCE);
            // Open requests of one identity at one proxy are the front's to tell apart.
            if p.proxy.jobs.values().any(|job| job.wish == n) {
                return;
            }
            taken = p.hands.take(now, record, left, (&b"request"[..]).into());
            if let Some(seq) = taken {
                p.proxy.taken(seq, n, effect, now + left);
            }
        });
        if taken.is_none() && waits {
            self.tell(n, Told::NoWord); // refused: no life, no process, or open there already
        }
    }

    /// A client is told, and comes again where that was no end.
    fn tell(&mut self, n: usize, told: Told) {
        self.judge.told(n, told);
        let wish = &mut self.judge.wishes[n];
        if wish.at.take().is_some() && wish.told.is_none() {
            let at = self.now() + self.rng.random_range(BACK);
            self.events.push(at, Event::Visit(n));
        }
    }

    // ---- backends ----

    fn runs(&mut self, backend: u64, wish: usize, back: Back) {
        let now = self.now();
        let effect = self.judge.wishes[wish].effect;
        let arrives = self.rng.random_bool(1.0 - BROKEN / 2.0);
        let answers = self.rng.random_bool(1.0 - BROKEN / 2.0);
        let took = self.rng.random_range(SERVICE);
        let mut answer = None;
        if arrives {
            let cell = (backend % super::proxy::CELLS, wish);
            let window = WINDOW.as_nanos() as Nanos;
            let before = self.cells.get(&cell).filter(|(at, _)| now < at + window);
            match (effect, before) {
                (Effect::Keyed, Some((_, before))) => answer = Some(*before),
                _ => {
                    self.answers += 1;
                    answer = Some(self.answers);
                    self.cells.insert(cell, (now, self.answers));
                    let who = format!("p{} attempt {} in cell {}", back.node, back.attempt, cell.0);
                    self.judge.ran(wish, &who);
                }
            }
        }
        self.events.push(now + took, Event::Reply { back, answer: answer.filter(|_| answers) });
    }

    fn reply(&mut self, back: Back, answer: Option<u64>) {
        if self.nodes[back.node].host.life != back.life {
            return;
        }
        let mut deeds = Vec::new();
        self.with(back.node, |p, now| {
            let right = Self::right(p, now);
            let Process { hands, proxy, .. } = p;
            proxy.reply(now, back.seq, answer, right, hands, &mut deeds);
        });
        self.do_all(back.node, deeds);
    }
}
