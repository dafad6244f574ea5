//! Sets up a fleet before its first event, and starts servers and proxy processes later on.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rand::{Rng, RngExt};
use sandgap_driver::Core;
use sandgap_rules::{StreamingChecker as RuleChecker, Terms};
use wharfhitch::settings::{Names, number_of};
use wharfhitch::{BackendId, Balancer, Scope};

use super::{
    Calendar, DRAIN_GRACE_US, EXPIRY_INTERVAL, Event, Fleet, Load, MS, Mode, Nanos, Plan, RunError, SERVERS,
    Server, ServerState, Source, Trace, Truth, UNIX_EPOCH_OFFSET_MS, Window, cumulative_shares, nanos,
    stream,
};
use crate::measure::Measures;
use crate::proxy::{CommandQueue, Proxy};
use crate::rivals::{AnyPolicy, PolicyKind, Rival, Timed};

/// Delay until the front sends to a proxy that has started again.
const FRONT_READMIT_DELAY: Nanos = 100 * MS;

impl<'a> Fleet<'a> {
    /// A fleet at the start of a plan, with its first events scheduled.
    pub(super) fn new(plan: &'a Plan, timed: bool, trace: Option<&'a mut Trace>) -> Result<Self, RunError> {
        let e = &plan.experiment;
        let rng_of = |name| stream(plan.seed, name, 0);
        let longest_deadline = e.classes.iter().map(|c| nanos(c.deadline_ms)).max().unwrap_or(0);
        let mut fleet = Fleet {
            plan,
            experiment: e,
            calendar: Calendar::default(),
            rules: RuleChecker::new(Terms {
                grace: DRAIN_GRACE_US,
                slack: 0,
                stalls: Vec::new(),
                max_concurrent_attempts: e.fleet.max_concurrent_attempts(),
                after_leaving: None,
                pauses_excuse: true,
            }),
            servers: Vec::new(),
            proxies: Vec::new(),
            requests: Window::default(),
            attempts: Window::default(),
            retries: Window::default(),
            datagrams: Window::default(),
            changes: Vec::new(),
            discovery_silent: false,
            loss: e.network.loss,
            partitions: Vec::new(),
            processes: 0,
            tasks: 0,
            cells: 0,
            violations: Vec::new(),
            source: Source::new(&e.load, rng_of("arrivals")),
            network_rng: rng_of("network"),
            front_rng: rng_of("front"),
            discovery_rng: rng_of("discovery"),
            choices_rng: rng_of("whims"),
            truth: Rc::new(RefCell::new(Truth::default())),
            wants_truth: plan.policy.wants_truth(),
            timing: timed.then(|| Rc::new(Cell::new((0.0, 0)))),
            measures: Measures::new(e),
            trace,
            completed_buffer: Vec::new(),
            class_distribution: cumulative_shares(e.classes.iter().map(|c| c.share)),
            tenant_distribution: cumulative_shares(e.tenants.iter().map(|t| t.share)),
            longest_deadline,
        };
        fleet.truth.borrow_mut().idle.resize_with(e.fleet.proxies as usize, Default::default);
        for (g, group) in e.servers.iter().enumerate() {
            for i in 0..group.count {
                if fleet.servers.len().is_multiple_of(group.cell as usize) {
                    fleet.cells += 1;
                }
                fleet.add_server(g, i as usize, None)?;
            }
        }
        for p in 0..e.fleet.proxies as u16 {
            let proxy = fleet.new_process(p)?;
            fleet.proxies.push(proxy);
            fleet.give_full_list(0, p, Scope::Full);
        }
        for (i, step) in plan.steps.iter().enumerate() {
            fleet.calendar.push(step.at, Event::PlanStep(i as u32));
        }
        fleet.calendar.push(EXPIRY_INTERVAL, Event::EndExpired);
        match &e.load {
            Load::Closed { users, think } => {
                for u in 0..*users {
                    let first = think.draw(&mut stream(plan.seed, "user", u64::from(u)));
                    fleet.calendar.push(nanos(first), Event::UserReady(u));
                }
            }
            _ => fleet.next_arrival(0),
        }
        Ok(fleet)
    }

    /// Adds the `i`th server of a group, or, if `born` holds a start time and a cell, a new cold server of that cell.
    pub(super) fn add_server(
        &mut self, group: usize, i: usize, born: Option<(Nanos, u16)>,
    ) -> Result<u32, RunError> {
        let number = self.servers.len();
        if number >= SERVERS {
            return Err(RunError::Servers);
        }
        let g = &self.experiment.servers[group];
        let name = format!("server-{number}");
        let mut build = g.build;
        let mut rng = stream(self.plan.seed, "machine", number as u64);
        build.speed *= 1.0 + g.spread * (2.0 * rng.random::<f64>() - 1.0);
        let zones = &self.experiment.fleet.zones;
        let zone = match &g.zone {
            Some(name) => zones.iter().position(|z| z == name),
            None => (!zones.is_empty()).then(|| i % zones.len()),
        };
        let size = f64::from(g.build.cores.max(1)) * g.build.speed;
        self.servers.push(ServerState {
            server: Server::new(build, self.experiment.cold, born.map(|b| b.0)),
            id: BackendId(number_of(&name)),
            name,
            group,
            zone,
            cell: born.map_or(self.cells, |b| b.1),
            mode: Mode::Normal,
            running: true,
            health: "up",
            born_ms: born.map_or(0.0, |(at, _)| UNIX_EPOCH_OFFSET_MS + (at as f64 / MS as f64).max(0.001)),
            rating: g.rating.unwrap_or(size),
            in_transit: 0,
            idle: false,
        });
        self.update_truth(number as u32);
        Ok(number as u32)
    }

    /// A new process of a proxy, with no state yet.
    fn new_process(&mut self, p: u16) -> Result<Proxy, RunError> {
        self.processes = self.processes.checked_add(1).ok_or(RunError::Servers)?;
        let process = self.processes;
        let settings = self.experiment.settings(u32::from(p));
        let mut rng = stream(self.plan.seed, "proxy", u64::from(process));
        let inner = match self.plan.policy {
            PolicyKind::Sandgap => AnyPolicy::Sandgap(Box::new(Balancer::new(settings, rng.next_u64()))),
            kind => AnyPolicy::Rival(Box::new(Rival::new(kind, &settings, rng, self.truth.clone()))),
        };
        let names = Names { zones: self.experiment.fleet.zones.clone(), ..Names::default() };
        let decider = Timed { inner, spent: self.timing.clone() };
        Ok(Proxy {
            core: Core::new(decider, CommandQueue::default(), names, UNIX_EPOCH_OFFSET_MS),
            process,
            accepting: true,
            running: true,
            front: true,
            paused_until: 0,
            timer_at: Nanos::MAX,
            subscribed: !self.experiment.discovery.asked,
            discovery_silent: false,
            list_version: 0,
            zone: usize::from(p) % self.experiment.fleet.zones.len().max(1),
            answers: 0,
        })
    }

    /// Starts a proxy's next process with nothing but the last list of its predecessor.
    pub(super) fn restart(&mut self, now: Nanos, p: u16) -> Result<(), RunError> {
        let old = &self.proxies[usize::from(p)];
        if old.running && old.accepting {
            return Ok(());
        }
        let (version, silent, process) = (old.list_version, old.discovery_silent, old.process);
        self.abandon_attempts(process);
        let mut proxy = self.new_process(p)?;
        (proxy.discovery_silent, proxy.front) = (silent, false);
        self.proxies[usize::from(p)] = proxy;
        self.give_cached_list(now, p, version);
        let delay = nanos(self.experiment.discovery.delay.draw(&mut self.discovery_rng));
        let process = self.proxies[usize::from(p)].process;
        if self.proxies[usize::from(p)].subscribed {
            self.calendar.push(now + delay, Event::FullList(p, process, u32::MAX));
        }
        self.calendar.push(now + FRONT_READMIT_DELAY, Event::FrontNotices(p, true));
        Ok(())
    }
}
