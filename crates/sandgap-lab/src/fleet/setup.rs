//! A fleet before its first event, and the processes that start later.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rand::{Rng, RngExt};
use sandgap_driver::Core;
use sandgap_rules::{Stream as Rules, Terms};
use wharfhitch::settings::{Names, number_of};
use wharfhitch::{BackendId, Balancer, Scope};

use super::{
    Calendar, Event, Fleet, GRACE_US, Load, MS, Mode, Nanos, Place, Plan, RunError, SERVERS, SWEEP, Server,
    Source, Trace, Truth, UNIX_ZERO, Window, nanos, parts, stream,
};
use crate::measure::Measures;
use crate::proxy::{Notes, Proxy};
use crate::rivals::{AnyPolicy, PolicyKind, Rival, Timed};

/// A proxy that comes back is seen by the front after this long.
const SEEN_AGAIN: Nanos = 100 * MS;

impl<'a> Fleet<'a> {
    pub(super) fn new(plan: &'a Plan, timed: bool, trace: Option<&'a mut Trace>) -> Result<Self, RunError> {
        let e = &plan.experiment;
        let of = |name| stream(plan.seed, name, 0);
        let longest = e.classes.iter().map(|c| nanos(c.deadline_ms)).max().unwrap_or(0);
        let mut fleet = Fleet {
            plan,
            e,
            cal: Calendar::default(),
            rules: Rules::new(Terms {
                grace: GRACE_US,
                slack: 0,
                stalls: Vec::new(),
                after_leaving: None,
                pauses_excuse: true,
            }),
            places: Vec::new(),
            proxies: Vec::new(),
            requests: Window::default(),
            attempts: Window::default(),
            again: Window::default(),
            datagrams: Window::default(),
            changes: Vec::new(),
            silent: false,
            loss: e.network.loss,
            cut: Vec::new(),
            processes: 0,
            tasks: 0,
            cells: 0,
            odd: Vec::new(),
            source: Source::new(&e.load, of("arrivals")),
            net: of("network"),
            front: of("front"),
            list: of("discovery"),
            whims: of("whims"),
            truth: Rc::new(RefCell::new(Truth::default())),
            wants_truth: plan.policy.wants_truth(),
            timing: timed.then(|| Rc::new(Cell::new((0.0, 0)))),
            measures: Measures::new(e),
            trace,
            done: Vec::new(),
            class_parts: parts(e.classes.iter().map(|c| c.share)),
            tenant_parts: parts(e.tenants.iter().map(|t| t.share)),
            longest,
        };
        fleet.truth.borrow_mut().idle.resize_with(e.fleet.proxies as usize, Default::default);
        for (g, group) in e.servers.iter().enumerate() {
            for i in 0..group.count {
                if fleet.places.len().is_multiple_of(group.cell as usize) {
                    fleet.cells += 1;
                }
                fleet.add_place(g, i as usize, None)?;
            }
        }
        for p in 0..e.fleet.proxies as u16 {
            let proxy = fleet.process(p)?;
            fleet.proxies.push(proxy);
            fleet.whole(0, p, Scope::Full);
        }
        for (i, step) in plan.steps.iter().enumerate() {
            fleet.cal.push(step.at, Event::Step(i as u32));
        }
        fleet.cal.push(SWEEP, Event::Sweep);
        match &e.load {
            Load::Closed { users, think } => {
                for u in 0..*users {
                    let first = think.draw(&mut stream(plan.seed, "user", u64::from(u)));
                    fleet.cal.push(nanos(first), Event::User(u));
                }
            }
            _ => fleet.next_arrival(0),
        }
        Ok(fleet)
    }

    /// A server of a group. The `i`th of them, or the successor of one in its cell.
    pub(super) fn add_place(
        &mut self, group: usize, i: usize, born: Option<(Nanos, u16)>,
    ) -> Result<u32, RunError> {
        let number = self.places.len();
        if number >= SERVERS {
            return Err(RunError::Servers);
        }
        let g = &self.e.servers[group];
        let name = format!("server-{number}");
        let mut build = g.build;
        let mut rng = stream(self.plan.seed, "machine", number as u64);
        build.speed *= 1.0 + g.spread * (2.0 * rng.random::<f64>() - 1.0);
        let zones = &self.e.fleet.zones;
        let zone = match &g.zone {
            Some(name) => zones.iter().position(|z| z == name),
            None => (!zones.is_empty()).then(|| i % zones.len()),
        };
        let size = f64::from(g.build.cores.max(1)) * g.build.speed;
        self.places.push(Place {
            server: Server::new(build, self.e.cold, born.map(|b| b.0)),
            id: BackendId(number_of(&name)),
            name,
            group,
            zone,
            cell: born.map_or(self.cells, |b| b.1),
            mode: Mode::Normal,
            lives: true,
            health: "up",
            born_ms: born.map_or(0.0, |(at, _)| UNIX_ZERO + (at as f64 / MS as f64).max(0.001)),
            rating: g.rating.unwrap_or(size),
            on_way: 0,
            idle: false,
        });
        self.touch(number as u32);
        Ok(number as u32)
    }

    /// A new process of a proxy, which knows nothing yet.
    fn process(&mut self, p: u16) -> Result<Proxy, RunError> {
        self.processes = self.processes.checked_add(1).ok_or(RunError::Servers)?;
        let process = self.processes;
        let settings = self.e.settings(u32::from(p));
        let mut rng = stream(self.plan.seed, "proxy", u64::from(process));
        let inner = match self.plan.policy {
            PolicyKind::Sandgap => AnyPolicy::Sandgap(Box::new(Balancer::new(settings, rng.next_u64()))),
            kind => AnyPolicy::Rival(Box::new(Rival::new(kind, &settings, rng, self.truth.clone()))),
        };
        let names = Names { zones: self.e.fleet.zones.clone(), ..Names::default() };
        let decider = Timed { inner, spent: self.timing.clone() };
        Ok(Proxy {
            core: Core::new(decider, Notes::default(), names, UNIX_ZERO),
            process,
            takes: true,
            runs: true,
            front: true,
            paused: 0,
            armed: Nanos::MAX,
            subscribed: !self.e.discovery.asked,
            split: false,
            version: 0,
            zone: usize::from(p) % self.e.fleet.zones.len().max(1),
            answers: 0,
        })
    }

    /// A proxy starts anew with nothing but its last list.
    pub(super) fn restart(&mut self, now: Nanos, p: u16) -> Result<(), RunError> {
        let old = &self.proxies[usize::from(p)];
        if old.runs && old.takes {
            return Ok(());
        }
        let (version, split, process) = (old.version, old.split, old.process);
        self.forget(process);
        let mut proxy = self.process(p)?;
        (proxy.split, proxy.front) = (split, false);
        self.proxies[usize::from(p)] = proxy;
        self.remembered(now, p, version);
        let delay = nanos(self.e.discovery.delay.draw(&mut self.list));
        let process = self.proxies[usize::from(p)].process;
        if self.proxies[usize::from(p)].subscribed {
            self.cal.push(now + delay, Event::Whole(p, process, u32::MAX));
        }
        self.cal.push(now + SEEN_AGAIN, Event::FrontSees(p, true));
        Ok(())
    }
}
