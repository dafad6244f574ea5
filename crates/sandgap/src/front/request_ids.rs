//! The ids of open requests. A second request with the id of an open one is refused, as its answers could not be told apart
//! and it would run twice; so is one with the id of a request that may have run and whose client left without an answer.
//!
//! During an upgrade the processes of one proxy know each other's ids. Each announces an id before it looks at what the
//! others have announced, so that of two processes that take the same id at the same moment at least one sees the other.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashSet;
use tokio::time::{Instant, sleep};
use wharfhitch::settings::number_of;

use super::id_link::{Change, IdLink};

/// How long the id of a request is refused whose client left without an answer. Longer than any deadline, as the request
/// may still be running.
const ABANDONED_TIME: Duration = Duration::from_secs(60);
/// Maximum number of such ids; the oldest are forgotten.
const MAX_ABANDONED: usize = 1 << 14;
/// Interval at which changes of other processes are read while no request arrives.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// How long a new process waits for the ids that are open in the older one.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between two looks for them.
const SNAPSHOT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What becomes of a request, as far as its id is concerned.
#[derive(Default)]
pub struct RequestProgress {
    /// An attempt has been made, so that it may have run.
    pub was_attempted: Cell<bool>,
    /// Its client has left without an answer.
    pub was_abandoned: Cell<bool>,
}

/// The ids of open and of abandoned requests, of this process and of others that are linked to it.
#[derive(Default)]
pub struct RequestIds {
    open: RefCell<FxHashSet<u64>>,
    abandoned: RefCell<Abandoned>,
    links: RefCell<Vec<IdLink>>,
}

/// Ids of abandoned requests, oldest first.
#[derive(Default)]
struct Abandoned {
    ids: FxHashSet<u64>,
    order: VecDeque<(Instant, u64)>,
}

impl RequestIds {
    /// Reserves an id; `None` if it is in use here or in a linked process, or has been abandoned.
    pub(super) fn take(self: &Rc<Self>, id: &str) -> Option<OpenId> {
        let id = number_of(id);
        self.expire(Instant::now());
        if self.open.borrow().contains(&id) || self.abandoned.borrow().ids.contains(&id) {
            return None;
        }
        self.announce(Change::Opened(id));
        self.exchange();
        if self.links.borrow().iter().any(|link| link.has_open(id)) {
            self.announce_closed(id);
            return None;
        }
        self.open.borrow_mut().insert(id);
        Some(OpenId { ids: self.clone(), id, progress: Rc::default() })
    }

    /// Links another process, and tells it all ids in use.
    pub fn link(self: &Rc<Self>, stream: std::os::unix::net::UnixStream) {
        let Ok(mut link) = IdLink::new(stream) else { return }; // without it the processes know less of each other
        let open = self.open.borrow();
        let abandoned = self.abandoned.borrow();
        let links = self.links.borrow();
        let elsewhere = links.iter().flat_map(IdLink::open);
        let all = open.iter().chain(&abandoned.ids).copied().chain(elsewhere);
        all.for_each(|id| link.announce(Change::Opened(id)));
        link.announce(Change::SnapshotEnd);
        drop((open, abandoned, links));
        let is_first = self.links.borrow().is_empty();
        self.links.borrow_mut().push(link);
        self.exchange();
        if is_first {
            tokio::task::spawn_local(self.clone().exchange_regularly());
        }
    }

    /// Waits until all linked processes have told the ids in use there, but not longer than 400 ms.
    pub async fn receive_snapshots(&self) {
        let end = Instant::now() + SNAPSHOT_TIMEOUT;
        while Instant::now() < end && self.links.borrow().iter().any(|link| !link.has_snapshot()) {
            sleep(SNAPSHOT_POLL_INTERVAL).await;
            self.exchange();
        }
    }

    async fn exchange_regularly(self: Rc<Self>) {
        while !self.links.borrow().is_empty() {
            sleep(EXCHANGE_INTERVAL).await;
            self.expire(Instant::now());
            self.exchange();
        }
    }

    fn announce(&self, change: Change) {
        self.links.borrow_mut().iter_mut().for_each(|link| link.announce(change));
    }

    /// Writes what has been announced and reads what others have, and passes that on to further processes. What a process
    /// that has ended had open may have run.
    fn exchange(&self) {
        let mut links = self.links.borrow_mut();
        for at in 0..links.len() {
            let changes = links[at].exchange();
            for (_, other) in links.iter_mut().enumerate().filter(|(other, _)| *other != at) {
                changes.iter().for_each(|change| other.announce(*change));
            }
        }
        let ended: Vec<IdLink> = links.extract_if(.., |link| link.has_ended()).collect();
        links.iter_mut().for_each(IdLink::flush);
        drop(links);
        ended.iter().flat_map(IdLink::open).for_each(|id| self.abandon(id));
    }

    fn close(&self, id: u64, progress: &RequestProgress) {
        self.open.borrow_mut().remove(&id);
        if progress.was_attempted.get() && progress.was_abandoned.get() {
            return self.abandon(id);
        }
        self.announce_closed(id);
    }

    fn announce_closed(&self, id: u64) {
        self.announce(Change::Closed(id));
        self.links.borrow_mut().iter_mut().for_each(IdLink::flush);
    }

    fn abandon(&self, id: u64) {
        let mut abandoned = self.abandoned.borrow_mut();
        if abandoned.ids.insert(id) {
            abandoned.order.push_back((Instant::now(), id));
        }
    }

    /// Forgets abandoned ids whose time is over, and the oldest if there are too many.
    fn expire(&self, now: Instant) {
        let mut abandoned = self.abandoned.borrow_mut();
        while let Some((since, id)) = abandoned.order.front().copied() {
            if abandoned.order.len() <= MAX_ABANDONED && now.saturating_duration_since(since) < ABANDONED_TIME
            {
                return;
            }
            abandoned.order.pop_front();
            abandoned.ids.remove(&id);
            self.announce(Change::Closed(id));
        }
    }
}

/// Reserves an id until the request and its attempts have ended.
pub(super) struct OpenId {
    ids: Rc<RequestIds>,
    id: u64,
    /// What becomes of the request.
    pub(super) progress: Rc<RequestProgress>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.close(self.id, &self.progress);
    }
}

#[cfg(test)]
mod tests;
