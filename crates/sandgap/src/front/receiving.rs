//! The requests whose bodies are being received. Where connections or memory run short, the one whose client has sent
//! nothing for longest is given up first, so that clients that stop half-way hold nothing that others need.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::admission::Client;

/// A client that has sent nothing for less than this is not given up.
const MIN_STALL: Duration = Duration::from_millis(50);

/// Tells a request that it is given up.
#[derive(Default)]
pub(super) struct Eviction {
    is_evicted: Cell<bool>,
    changed: Notify,
}

impl Eviction {
    /// Completes when the request is given up.
    pub(super) async fn evicted(&self) {
        while !self.is_evicted.get() {
            self.changed.notified().await; // the notification may be of an earlier request
        }
    }
}

/// The clients whose requests are being received, by connection number.
#[derive(Clone, Default)]
pub(super) struct Receiving(Rc<RefCell<BTreeMap<u64, Rc<Client>>>>);

impl Receiving {
    /// Adds a client until the returned guard is dropped.
    pub(super) fn add(&self, client: &Rc<Client>) -> ReceivingGuard {
        client.eviction.is_evicted.set(false);
        self.0.borrow_mut().insert(client.number, client.clone());
        ReceivingGuard { receiving: self.clone(), number: client.number }
    }

    /// Gives up the request whose client has sent nothing for longest. Everything that had arrived at `now` has been read.
    /// Returns whether there was one.
    pub(super) fn evict_most_stalled(&self, now: Instant) -> bool {
        let is_stalled = |client: &&Rc<Client>| {
            client.awaits_body() && now.saturating_duration_since(client.last_read.get()) >= MIN_STALL
        };
        let mut all = self.0.borrow_mut();
        let most_stalled = all.values().filter(is_stalled).min_by_key(|client| client.last_read.get());
        let Some(number) = most_stalled.map(|client| client.number) else { return false };
        let Some(client) = all.remove(&number) else { return false };
        client.eviction.is_evicted.set(true);
        client.eviction.changed.notify_one();
        true
    }
}

/// Guard: the request of a client is being received while this exists.
pub(super) struct ReceivingGuard {
    receiving: Receiving,
    number: u64,
}

impl Drop for ReceivingGuard {
    fn drop(&mut self) {
        self.receiving.0.borrow_mut().remove(&self.number);
    }
}
