//! What a proxy does for permits: it looks at what a leader orders and tells what it sees. Nothing of it runs while no
//! bound is set and nobody is out.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sandgap_rollout::TAG;
use sandgap_rollout::gate::Ended;
use sandgap_rollout::news::{News, Orders, Sight};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, timeout};

use super::Shared;
use super::runtime::Parts;
use crate::event::{Input, StatusQuery};

/// Between two looks at what is under way.
const EACH: Duration = Duration::from_millis(100);
/// Between two dials of all backends.
const DIAL: Duration = Duration::from_secs(1);
/// A backend that has not taken a connection for this span has not answered.
const ANSWER: Duration = Duration::from_millis(500);
/// Dials at once: descriptors are for clients.
const DIALS: usize = 16;

/// See the module.
pub struct Watch {
    parts: Parts,
    agent: Shared,
    votes: bool,
    zone: Option<String>,
    orders: RefCell<Orders>,
    /// A task looks.
    looks: Cell<bool>,
    /// A task dials.
    dials: Cell<bool>,
    dialled: RefCell<Dialled>,
}

/// What came of dialling all backends: where each was dialled, and dials without an answer in a row. Nothing before the
/// first round.
type Dialled = Option<BTreeMap<String, (SocketAddr, u32)>>;

fn ended((all, failed): (u64, u64)) -> Ended {
    Ended { all, failed }
}

impl Watch {
    /// One that is ordered nothing yet.
    pub fn new(parts: Parts, agent: Shared, votes: bool, zone: Option<String>) -> Rc<Self> {
        let (orders, looks, dials, dialled) = Default::default();
        Rc::new(Watch { parts, agent, votes, zone, orders, looks, dials, dialled })
    }

    /// Takes orders; none at all end everything.
    pub fn take(self: &Rc<Self>, told: &[(u8, Vec<u8>)]) {
        let orders = told.iter().find(|(tag, _)| *tag == TAG).map(|(_, bytes)| Orders::decode(bytes));
        let orders = orders.unwrap_or_default();
        self.parts.front.serving().order_out(orders.out);
        let dials = orders.dial && self.votes;
        *self.orders.borrow_mut() = orders;
        if self.wanted() && !self.looks.replace(true) {
            spawn_local(self.clone().look());
        }
        if dials && !self.dials.replace(true) {
            spawn_local(self.clone().dial());
        }
    }

    fn wanted(&self) -> bool {
        *self.orders.borrow() != Orders::default()
    }

    async fn look(self: Rc<Self>) {
        while self.wanted() {
            if let Some(news) = self.news().await {
                self.agent.borrow_mut().tell(TAG, news.encode());
            }
            sleep(EACH).await;
        }
        self.agent.borrow_mut().tell(TAG, Vec::new());
        self.looks.set(false);
    }

    async fn news(&self) -> Option<News> {
        let orders = self.orders.borrow().clone();
        // What is acted on now is in the driver's inbox by now, ahead of the question.
        let version = self.agent.borrow().follower().acting();
        let measured = match orders.measure && self.votes {
            true => self.backends().into_iter().map(|(name, _)| name).collect(),
            false => Vec::new(),
        };
        let (answer, looked) = oneshot::channel();
        let (number, cohort) = orders.cohort.unzip();
        let cohort = cohort.unwrap_or_default();
        self.parts.inbox.put(Input::StatusQuery(Box::new(StatusQuery {
            at: orders.watch,
            measured,
            cohort,
            answer,
        })));
        let looked = looked.await.ok()?;
        let missed = self.missed();
        let front = &self.parts.front;
        Some(News {
            version,
            out: front.serving().is_out(),
            open: u32::try_from(front.busy()).unwrap_or(u32::MAX),
            held: looked.held,
            sights: looked.sights.into_iter().map(|(name, held)| Sight { name, held }).collect(),
            dialled: missed.is_some(),
            missed: missed.unwrap_or_default(),
            holds: looked.holds,
            zone: self.zone.clone(),
            ended: ended(looked.ended[1]),
            cohort: number.map(|n| (n, ended(looked.ended[0]))),
        })
    }

    /// Backends in the rules acted on that don't answer, or have not been dialled where they are now.
    fn missed(&self) -> Option<Vec<String>> {
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

    async fn dial(self: Rc<Self>) {
        while self.wanted() && self.orders.borrow().dial {
            let mut round = BTreeMap::new();
            let (mut waiting, mut under_way) = (self.backends().into_iter(), JoinSet::new());
            loop {
                while under_way.len() < DIALS
                    && let Some((name, address)) = waiting.next()
                {
                    under_way.spawn_local(async move {
                        let came = timeout(ANSWER, TcpStream::connect(address)).await;
                        (name, address, matches!(came, Ok(Ok(_))))
                    });
                }
                let Some(ended) = under_way.join_next().await else { break };
                if let Ok((name, address, answered)) = ended {
                    let before = self.dialled.borrow().as_ref().and_then(|d| d.get(&name)).map_or(0, |d| d.1);
                    round.insert(name, (address, if answered { 0 } else { before + 1 }));
                }
            }
            *self.dialled.borrow_mut() = Some(round);
            sleep(DIAL).await;
        }
        *self.dialled.borrow_mut() = None;
        self.dials.set(false);
    }
}
