//! The sole owner of the decision module: feeds it what the sockets see and does what it says, in order.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustc_hash::FxHashMap;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};
use wharfhitch::settings::{Names, index_of, number_of};
use wharfhitch::{
    Action, Backend, BackendId, Balancer, CellId, Event, KindId, Millis, Outcome, RequestId, Scope, State,
    ZoneId,
};

use crate::discovery;
use crate::event::{Answer, Arrival, Attempt, Back, Endpoint, Exchange, Host, Inbox, Input, Reply, Report};
use crate::note;
use crate::peers::Peers;

/// What the client is told has to be on its way this long before the client gives up, whatever happens.
const LAST_RESORT: Duration = Duration::from_millis(4);
/// Inputs taken between two looks at the timers; a few microseconds each.
const BATCH: usize = 32;
const SWEEP: Duration = Duration::from_secs(1); // between looks at idle connections
/// Zones and kinds that are told apart: a bound, whatever discovery comes up with over the years.
const NAMES: usize = 250;

/// The module's clock is monotonic and starts with the process; Unix time is converted here alone, by an
/// offset taken once, so that the same start always gives the same time.
struct Clock {
    start: Instant,
    unix_start: Millis,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start: unix.as_secs_f64() * 1000.0 }
    }

    fn at(&self, instant: Instant) -> Millis {
        instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_secs_f64(at.clamp(0.0, 1e12) / 1000.0)
    }

    fn born(&self, born_ms: f64) -> Option<Millis> {
        (born_ms.is_finite() && born_ms > 0.0).then_some(born_ms - self.unix_start)
    }
}

/// A request that lacks its answer or has attempts out.
struct Live {
    answer: Option<oneshot::Sender<Answer>>,
    /// Whether an attempt may still begin for it.
    wanted: Rc<Cell<bool>>,
    exchange: Rc<dyn Exchange>,
    deadline: Instant,
    attempts: u32,
    out: u32,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    LastResort(RequestId),
}

/// What the driver needs of the other parts.
pub struct Parts {
    /// Where attempts report.
    pub inbox: Inbox,
    /// The senders of each protocol.
    pub backs: Vec<Rc<dyn Back>>,
    /// The other proxies, if they may be told anything.
    pub peers: Option<Rc<Peers>>,
    /// Where discovery is at present, if there is one.
    pub discovery: Option<watch::Receiver<SocketAddr>>,
    /// Told when the module wants a watch.
    pub watch: Rc<Notify>,
    /// Set once discovery has told the list.
    pub ready: Rc<Cell<bool>>,
    /// Set once there is a remembered list to serve from.
    pub remembered: Rc<Cell<bool>>,
}

/// Runs the module on what comes in.
pub struct Driver {
    balancer: Balancer,
    names: Names,
    parts: Parts,
    clock: Clock,
    endpoints: FxHashMap<BackendId, Rc<Endpoint>>,
    /// Endpoints numbered so far.
    numbered: u64,
    live: FxHashMap<RequestId, Live>,
    due: BinaryHeap<Reverse<(Instant, Due)>>,
    actions: Vec<Action>,
}

impl Driver {
    /// A driver with nothing in it yet.
    pub fn new(balancer: Balancer, names: Names, parts: Parts) -> Self {
        Driver {
            balancer,
            names,
            parts,
            clock: Clock::new(),
            endpoints: FxHashMap::default(),
            numbered: 0,
            live: FxHashMap::default(),
            due: BinaryHeap::new(),
            actions: Vec::new(),
        }
    }

    /// Takes inputs and timers for as long as the process runs.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut sweep = Instant::now() + SWEEP;
        // One timer for all that is due, set anew only when it must fire sooner or has fired: each setting may
        // cost a system call to wake the runtime that is awake.
        let timer = sleep_until(sweep);
        tokio::pin!(timer);
        loop {
            let next = self.next_due().map_or(sweep, |at| at.min(sweep));
            if next < timer.deadline() || timer.is_elapsed() {
                timer.as_mut().reset(next);
            }
            tokio::select! {
                biased;
                () = &mut timer => {}
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
            // What else has come in meanwhile, but no more than leaves timers on time.
            for _ in 0..BATCH {
                let Ok(input) = inputs.try_recv() else { break };
                self.take(input);
            }
            let now = Instant::now();
            while self.due.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((_, due))) = self.due.pop() else { break };
                match due {
                    Due::Module(token) => self.handle(Event::Timer(token)),
                    Due::LastResort(id) => self.last_resort(id),
                }
            }
            if now >= sweep {
                self.parts.backs.iter().for_each(|b| b.sweep());
                sweep = now + SWEEP;
            }
        }
    }

    /// When something is due next. Last resorts of requests that have their answer by now are dropped here:
    /// nearly all do, and each would wake the process for nothing.
    fn next_due(&mut self) -> Option<Instant> {
        loop {
            let Reverse((at, due)) = self.due.peek()?;
            match due {
                Due::LastResort(id) if self.live.get(id).is_none_or(|l| l.answer.is_none()) => {
                    self.due.pop();
                }
                _ => return Some(*at),
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request(arrival) => self.request(*arrival),
            Input::Gone(id) => {
                if self.close(id).is_some() {
                    self.handle(Event::Abandoned(id));
                }
            }
            Input::Ended { request, attempt, latency, outcome, reply } => {
                self.ended(request, attempt, latency, outcome, reply);
            }
            Input::List(scope, hosts) => self.list(scope, hosts),
            Input::Datagram { from, bytes } => self.handle(Event::Message { from, bytes }),
        }
    }

    fn request(&mut self, arrival: Arrival) {
        let Arrival { id, class, tenant, key, hint, deadline, exchange, answer } = arrival;
        let last = deadline - LAST_RESORT;
        let budget = last.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        self.live.insert(
            id,
            Live {
                answer: Some(answer),
                wanted: Rc::new(Cell::new(true)),
                exchange,
                deadline,
                attempts: 0,
                out: 0,
            },
        );
        self.due.push(Reverse((last, Due::LastResort(id))));
        self.handle(Event::Request { id, class, tenant, key, budget, hint });
    }

    /// Answers a request that nobody else has answered in time. It may have run, so it has failed.
    fn last_resort(&mut self, id: RequestId) {
        if let Some(answer) = self.close(id) {
            let _ = answer.send(Answer::Failed); // a client that has left needs none
            self.handle(Event::Abandoned(id));
        }
    }

    fn ended(
        &mut self, request: RequestId, attempt: u32, latency: Millis, outcome: Outcome, reply: Option<Reply>,
    ) {
        let Some(live) = self.live.get_mut(&request) else { return };
        live.out -= 1;
        let was_open = live.answer.is_some();
        if let (Outcome::Served, Some(reply)) = (outcome, reply)
            && let Some(answer) = self.close(request)
        {
            let _ = answer.send(Answer::Served(reply)); // else the client has just left
        }
        let closed = !was_open || outcome == Outcome::Served;
        self.forget(request);
        self.handle(Event::Ended { request, attempt, latency, outcome, closed });
    }

    /// Takes the right to answer a request; from here on nothing more begins for it.
    fn close(&mut self, id: RequestId) -> Option<oneshot::Sender<Answer>> {
        let live = self.live.get_mut(&id)?;
        live.wanted.set(false);
        let answer = live.answer.take();
        self.forget(id);
        answer
    }

    fn forget(&mut self, id: RequestId) {
        if self.live.get(&id).is_some_and(|l| l.answer.is_none() && l.out == 0) {
            self.live.remove(&id);
        }
    }

    fn list(&mut self, scope: Scope, hosts: Vec<Host>) {
        let whole = matches!(scope, Scope::Full | Scope::Cached);
        let entries: Vec<Backend> = hosts.into_iter().map(|host| self.backend(host)).collect();
        if whole {
            let listed: rustc_hash::FxHashSet<BackendId> = entries.iter().map(|e| e.id).collect();
            // Attempts that are out keep what they need of a backend that has left.
            self.endpoints.retain(|id, endpoint| {
                let stays = listed.contains(id);
                if !stays {
                    close(endpoint, &self.parts.backs);
                }
                stays
            });
        }
        let some = !entries.is_empty();
        self.handle(Event::List { scope, entries });
        match scope {
            Scope::Full => self.parts.ready.set(true),
            Scope::Cached => self.parts.remembered.set(some),
            Scope::Delta | Scope::Failed => {}
        }
    }

    /// Notes where a backend is, and whether something new may go there.
    fn backend(&mut self, host: Host) -> Backend {
        let id = BackendId(number_of(&host.host));
        let state = match host.health.as_str() {
            "up" if host.dial.is_some() => State::Up,
            "removed" => State::Gone,
            _ => State::Draining, // draining, unknown or nowhere: nothing new goes there
        };
        if let Some(address) = host.dial {
            let same = |e: &Rc<Endpoint>| e.address == address && e.born_ms == host.born_ms;
            if !self.endpoints.get(&id).is_some_and(same) {
                self.numbered += 1;
                let endpoint = Endpoint::new(self.numbered, address, host.born_ms);
                if let Some(old) = self.endpoints.insert(id, endpoint) {
                    close(&old, &self.parts.backs);
                }
            }
        }
        if let Some(endpoint) = self.endpoints.get(&id) {
            match state {
                State::Up => endpoint.set_open(true),
                State::Draining | State::Gone => close(endpoint, &self.parts.backs),
            }
        }
        if state == State::Gone {
            self.endpoints.remove(&id);
        }
        Backend {
            id,
            zone: host.site.and_then(|z| Some(ZoneId(known(&mut self.names.zones, &z)?))),
            kind: host.class.and_then(|k| Some(KindId(known(&mut self.names.kinds, &k)?))),
            cell: host.block.map(CellId),
            state,
            rating: host.share.unwrap_or(1.0),
            since: self.clock.born(host.born_ms),
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.at(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, backend, timeout } => self.send(request, backend, timeout),
            Action::Refuse { request, retry_after } => {
                if let Some(answer) = self.close(request) {
                    let _ = answer.send(Answer::Refused(retry_after));
                }
            }
            Action::Fail(request) => {
                if let Some(answer) = self.close(request) {
                    let _ = answer.send(Answer::Failed);
                }
            }
            Action::Timer { token, at } => {
                self.due.push(Reverse((self.clock.instant(at), Due::Module(token))));
            }
            Action::Broadcast(bytes) => {
                if let Some(peers) = &self.parts.peers {
                    peers.tell(&bytes);
                }
            }
            Action::Subscribe => self.parts.watch.notify_one(),
            Action::FetchList => {
                if let Some(discovery) = &self.parts.discovery {
                    let address = *discovery.borrow();
                    tokio::task::spawn_local(discovery::fetch(address, self.parts.inbox.clone()));
                }
            }
        }
    }

    fn send(&mut self, request: RequestId, backend: BackendId, timeout: Option<Millis>) {
        let Some(live) = self.live.get_mut(&request) else {
            return note!("a send for a request that is not held");
        };
        let report = Report::new(self.parts.inbox.clone(), request, live.attempts);
        live.attempts += 1;
        live.out += 1;
        let Some(endpoint) = self.endpoints.get(&backend).filter(|e| live.wanted.get() && e.is_open()) else {
            return report.tell(Outcome::Moot, None);
        };
        let until = timeout.map_or(live.deadline, |t| {
            live.deadline.min(report.sent() + Duration::from_secs_f64(t.clamp(0.0, 1e9) / 1000.0))
        });
        let (endpoint, wanted) = (endpoint.clone(), live.wanted.clone());
        live.exchange.clone().attempt(Attempt { endpoint, wanted, until, report });
    }
}

/// Nothing new goes there any more, and nothing is kept for it.
fn close(endpoint: &Endpoint, backs: &[Rc<dyn Back>]) {
    endpoint.set_open(false);
    backs.iter().for_each(|b| b.retire(endpoint));
}

/// The number of a zone or kind; past `NAMES` of them, what is new has none.
fn known(names: &mut Vec<String>, name: &str) -> Option<u32> {
    (names.len() < NAMES || names.iter().any(|n| n == name)).then(|| index_of(names, name) as u32)
}
