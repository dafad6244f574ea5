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
    Action, Backend, BackendId, Balancer, CellId, ClassId, Event, Key, KindId, Millis, Outcome, RequestId,
    Scope, State, TenantId, ZoneId,
};

use crate::discovery::{self, Host};
use crate::frontend::OpenId;
use crate::note;
use crate::peers::Peers;
use crate::upstream::{Endpoint, Outgoing, Reply, Upstreams};

/// What the client is told has to be on its way this long before the client gives up, whatever happens.
const LAST_RESORT: Duration = Duration::from_millis(4);
const SWEEP: Duration = Duration::from_secs(1); // between looks at idle connections
/// Zones and kinds that are told apart: a bound, whatever discovery comes up with over the years.
const NAMES: usize = 250;

/// What happens outside the module.
pub enum Input {
    /// A whole request has been read.
    Request(Box<Arrival>),
    /// Its client has left.
    Gone(RequestId),
    /// An attempt has ended.
    Ended { request: RequestId, attempt: u32, latency: Millis, outcome: Outcome, reply: Option<Reply> },
    /// News of the list.
    List(Scope, Vec<Host>),
    /// Another proxy's message.
    Datagram { from: u32, bytes: Vec<u8> },
}

/// A client's request.
pub struct Arrival {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<Key>,
    pub hint: Option<Millis>,
    /// When the client gives up.
    pub deadline: Instant,
    pub message: Outgoing,
    pub answer: oneshot::Sender<Answer>,
    pub open: OpenId,
}

/// The one final answer.
pub enum Answer {
    Served(Reply),
    /// Trying again is harmless, after a while if one is named.
    Refused(Option<Millis>),
    Failed,
}

/// Where all parts put what they have seen.
#[derive(Clone)]
pub struct Inbox(mpsc::UnboundedSender<Input>);

impl Inbox {
    /// An inbox and the end that the driver reads. Its length is bounded by the budget of sockets: each
    /// connection holds one request, and each request a few attempts.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Inbox(sender), receiver)
    }

    pub fn put(&self, input: Input) {
        let _ = self.0.send(input); // fails only while the process ends
    }
}

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
    message: Rc<Outgoing>,
    deadline: Instant,
    attempts: u32,
    out: u32,
    /// Its id is taken for as long.
    _open: OpenId,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    LastResort(RequestId),
}

/// What the driver needs of the other parts.
pub struct Parts {
    pub inbox: Inbox,
    pub upstreams: Rc<Upstreams>,
    pub peers: Option<Rc<Peers>>,
    /// Where discovery is at present.
    pub discovery: watch::Receiver<SocketAddr>,
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
    live: FxHashMap<RequestId, Live>,
    due: BinaryHeap<Reverse<(Instant, Due)>>,
    actions: Vec<Action>,
}

impl Driver {
    pub fn new(balancer: Balancer, names: Names, parts: Parts) -> Self {
        Driver {
            balancer,
            names,
            parts,
            clock: Clock::new(),
            endpoints: FxHashMap::default(),
            live: FxHashMap::default(),
            due: BinaryHeap::new(),
            actions: Vec::new(),
        }
    }

    /// Takes inputs and timers for as long as the process runs.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut sweep = Instant::now() + SWEEP;
        loop {
            let next = self.due.peek().map_or(sweep, |Reverse((at, _))| (*at).min(sweep));
            tokio::select! {
                biased;
                () = sleep_until(next) => {}
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
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
                self.parts.upstreams.sweep();
                sweep = now + SWEEP;
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
        let Arrival { id, class, tenant, key, hint, deadline, message, answer, open } = arrival;
        let last = deadline - LAST_RESORT;
        let budget = last.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        self.live.insert(
            id,
            Live {
                answer: Some(answer),
                wanted: Rc::new(Cell::new(true)),
                message: Rc::new(message),
                deadline,
                attempts: 0,
                out: 0,
                _open: open,
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
                    endpoint.set_open(false);
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
                let endpoint = Endpoint::new(address, host.born_ms);
                self.parts.upstreams.add(&endpoint);
                if let Some(old) = self.endpoints.insert(id, endpoint) {
                    old.set_open(false);
                }
            }
        }
        if let Some(endpoint) = self.endpoints.get(&id) {
            endpoint.set_open(state == State::Up);
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
                let address = *self.parts.discovery.borrow();
                tokio::task::spawn_local(discovery::fetch(address, self.parts.inbox.clone()));
            }
        }
    }

    fn send(&mut self, request: RequestId, backend: BackendId, timeout: Option<Millis>) {
        let Some(live) = self.live.get_mut(&request) else {
            return note!("a send for a request that is not held");
        };
        let mut report = Report {
            inbox: self.parts.inbox.clone(),
            request,
            attempt: live.attempts,
            sent: Instant::now(),
            told: false,
        };
        live.attempts += 1;
        live.out += 1;
        let Some(endpoint) = self.endpoints.get(&backend).filter(|e| live.wanted.get() && e.is_open()) else {
            return report.tell(Outcome::Moot, None);
        };
        let until = timeout.map_or(live.deadline, |t| {
            live.deadline.min(report.sent + Duration::from_secs_f64(t.clamp(0.0, 1e9) / 1000.0))
        });
        let (upstreams, endpoint) = (self.parts.upstreams.clone(), endpoint.clone());
        let (wanted, message) = (live.wanted.clone(), live.message.clone());
        tokio::task::spawn_local(async move {
            upstreams
                .attempt(endpoint, wanted, message, until, |outcome, reply| report.tell(outcome, reply))
                .await;
        });
    }
}

/// The number of a zone or kind; past `NAMES` of them, what is new has none.
fn known(names: &mut Vec<String>, name: &str) -> Option<u32> {
    (names.len() < NAMES || names.iter().any(|n| n == name)).then(|| index_of(names, name) as u32)
}

/// Tells how an attempt ended, exactly once: an attempt that dies on the way may have run.
struct Report {
    inbox: Inbox,
    request: RequestId,
    attempt: u32,
    sent: Instant,
    told: bool,
}

impl Report {
    fn tell(&mut self, outcome: Outcome, reply: Option<Reply>) {
        self.told = true;
        let latency = self.sent.elapsed().as_secs_f64() * 1000.0;
        let (request, attempt) = (self.request, self.attempt);
        self.inbox.put(Input::Ended { request, attempt, latency, outcome, reply });
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        if !self.told {
            self.tell(Outcome::Reset, None);
        }
    }
}
