//! A proxy's part in permits: it observes what the leader asks for and reports the observations. No task runs while no
//! bound is set and no target is out.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sandgap_rollout::TAG;
use sandgap_rollout::gate::AttemptCounts;
use sandgap_rollout::messages::{BackendAttempts, Instructions, ProxyReport};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, timeout};

use super::SharedAgent;
use super::runtime::Dependencies;
use crate::event::{Input, StatusQuery};

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two rounds that dial all backends.
const DIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for connecting to a backend.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of concurrent dials: descriptors are needed for clients.
const MAX_DIALS: usize = 16;

/// Observes and reports for permits; see the module documentation.
pub struct Watch {
    dependencies: Dependencies,
    agent: SharedAgent,
    is_voter: bool,
    zone: Option<String>,
    instructions: RefCell<Instructions>,
    /// Whether the reporting task runs.
    reporting: Cell<bool>,
    /// Whether the dialling task runs.
    dialling: Cell<bool>,
    dialled: RefCell<Dialled>,
}

/// Results of dialling all backends: the address that was dialled, and the number of consecutive failures. `None`
/// before the first round.
type Dialled = Option<BTreeMap<String, (SocketAddr, u32)>>;

fn ended((all, failed): (u64, u64)) -> AttemptCounts {
    AttemptCounts { all, failed }
}

impl Watch {
    /// A watch without instructions.
    pub fn new(
        dependencies: Dependencies, agent: SharedAgent, is_voter: bool, zone: Option<String>,
    ) -> Rc<Self> {
        let (instructions, reporting, dialling, dialled) = Default::default();
        Rc::new(Watch { dependencies, agent, is_voter, zone, instructions, reporting, dialling, dialled })
    }

    /// Applies new instructions; empty instructions stop both tasks.
    pub fn apply_instructions(self: &Rc<Self>, tagged: &[(u8, Vec<u8>)]) {
        let instructions =
            tagged.iter().find(|(tag, _)| *tag == TAG).map(|(_, bytes)| Instructions::decode(bytes));
        let instructions = instructions.unwrap_or_default();
        self.dependencies.front.serving().set_fleet_drain(instructions.out);
        let dials = instructions.dial && self.is_voter;
        *self.instructions.borrow_mut() = instructions;
        if self.has_instructions() && !self.reporting.replace(true) {
            spawn_local(self.clone().report());
        }
        if dials && !self.dialling.replace(true) {
            spawn_local(self.clone().dial_backends());
        }
    }

    fn has_instructions(&self) -> bool {
        *self.instructions.borrow() != Instructions::default()
    }

    async fn report(self: Rc<Self>) {
        while self.has_instructions() {
            if let Some(report) = self.observe().await {
                self.agent.borrow_mut().set_rider_message(TAG, report.encode());
            }
            sleep(REPORT_INTERVAL).await;
        }
        self.agent.borrow_mut().set_rider_message(TAG, Vec::new());
        self.reporting.set(false);
    }

    async fn observe(&self) -> Option<ProxyReport> {
        let instructions = self.instructions.borrow().clone();
        // The version in force now is already in the driver's input queue, ahead of the query.
        let version = self.agent.borrow().follower().acting();
        let measured = match instructions.measure && self.is_voter {
            true => self.backends().into_iter().map(|(name, _)| name).collect(),
            false => Vec::new(),
        };
        let (answer, observed) = oneshot::channel();
        let (number, cohort) = instructions.cohort.unzip();
        let cohort = cohort.unwrap_or_default();
        self.dependencies.input_sender.send(Input::StatusQuery(Box::new(StatusQuery {
            in_flight_at: instructions.watch,
            limits_of: measured,
            cohort,
            answer,
        })));
        let observed = observed.await.ok()?;
        let missed = self.unreachable();
        let front = &self.dependencies.front;
        Some(ProxyReport {
            version,
            out: front.serving().is_fleet_drained(),
            open: u32::try_from(front.busy()).unwrap_or(u32::MAX),
            held: observed.in_flight_total,
            backend_attempts: observed
                .in_flight
                .into_iter()
                .map(|(name, held)| BackendAttempts { name, held })
                .collect(),
            dialled: missed.is_some(),
            missed: missed.unwrap_or_default(),
            holds: observed.limits,
            zone: self.zone.clone(),
            ended: ended(observed.ended[1]),
            cohort: number.map(|n| (n, ended(observed.ended[0]))),
        })
    }

    /// Backends of the rules in force that don't answer or have not been dialled at their current address.
    fn unreachable(&self) -> Option<Vec<String>> {
        let dialled = self.dialled.borrow();
        let dialled = dialled.as_ref()?;
        let answers = |(name, address): &(String, SocketAddr)| {
            dialled.get(name).is_some_and(|(at, misses)| at == address && *misses < 2)
        };
        Some(self.backends().into_iter().filter(|b| !answers(b)).map(|(name, _)| name).collect())
    }

    fn backends(&self) -> Vec<(String, SocketAddr)> {
        let agent = self.agent.borrow();
        let listed = agent.follower().acting_book().and_then(|book| book.backends.as_ref());
        listed.into_iter().flatten().map(|b| (b.name.clone(), b.address)).collect()
    }

    async fn dial_backends(self: Rc<Self>) {
        while self.has_instructions() && self.instructions.borrow().dial {
            let mut round = BTreeMap::new();
            let (mut waiting, mut under_way) = (self.backends().into_iter(), JoinSet::new());
            loop {
                while under_way.len() < MAX_DIALS
                    && let Some((name, address)) = waiting.next()
                {
                    under_way.spawn_local(async move {
                        let connected = timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await;
                        (name, address, matches!(connected, Ok(Ok(_))))
                    });
                }
                let Some(ended) = under_way.join_next().await else { break };
                if let Ok((name, address, answered)) = ended {
                    let before = self.dialled.borrow().as_ref().and_then(|d| d.get(&name)).map_or(0, |d| d.1);
                    round.insert(name, (address, if answered { 0 } else { before + 1 }));
                }
            }
            *self.dialled.borrow_mut() = Some(round);
            sleep(DIAL_INTERVAL).await;
        }
        *self.dialled.borrow_mut() = None;
        self.dialling.set(false);
    }
}
