//! The list of backends in the core: applies lists and changes to them to the endpoints, and tells the policy.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use rustc_hash::FxHashSet;
use wharfhitch::settings::{index_of, number_of};
use wharfhitch::{Backend, BackendId, CellId, Event, KindId, Scope, State, ZoneId};

use super::{Core, Effects, Policy, Time, TimerKind};
use crate::address_owners::Claim;
use crate::endpoint::{DRAINING, Endpoint, Host, UP};
use crate::list_admission::ListedBackends;
use crate::permit::Place;

/// Maximum number of distinct zone names, and of kind names, so that discovery can't grow the tables without bound.
const MAX_NAMES: usize = 250;

impl<P: Policy, O: Effects> Core<P, O> {
    /// Records the listed backends in `listed`, for those that read lists. Called before the first list.
    pub fn record_listed_in(&mut self, listed: ListedBackends) {
        self.listed_backends = listed;
    }

    /// A list, or changes to it, that is certainly newer than what is known.
    pub fn list(&mut self, now: Time, scope: Scope, hosts: Vec<Host>) {
        for host in &hosts {
            let id = BackendId(number_of(&host.host));
            match host.state() {
                State::Up => self.closings.record_opening(id),
                State::Draining | State::Removed => self.record_closing(now, id, host.start_time_ms),
            }
        }
        self.apply_list(now, scope, hosts);
    }

    /// A list, or changes to it, that may be older than what is known. Backends that it closes are closed at once. A
    /// recently closed process of a backend is reopened only [`crate::REOPEN_AFTER`] after its closing, when no discovery
    /// service can lag behind any more.
    pub fn uncertain_list(&mut self, now: Time, scope: Scope, hosts: Vec<Host>) {
        let hosts = hosts.into_iter().map(|host| self.adjust_uncertain_entry(now, host)).collect();
        self.apply_list(now, scope, hosts);
    }

    /// Replaces the set of backends that are drained by hand, by name. A backend in the set gets no new requests whatever the
    /// list says of it, also if it is listed only later. One that leaves the set gets requests again if the list, as it has
    /// been applied by then, has it up.
    pub fn set_manual_drains<'a>(&mut self, now: Time, names: impl IntoIterator<Item = &'a str>) {
        let drained: BTreeSet<BackendId> = names.into_iter().map(|name| BackendId(number_of(name))).collect();
        let before = std::mem::replace(&mut self.manual_drains, drained);
        let changed = before.symmetric_difference(&self.manual_drains);
        let listed: Vec<Backend> = changed.filter_map(|id| self.listed.get(id)).cloned().collect();
        if listed.is_empty() {
            return;
        }
        let entries = listed.into_iter().map(|backend| self.apply_state(backend)).collect();
        self.handle(now, Event::List { scope: Scope::Delta, entries });
    }

    /// Opens or closes the endpoint of a backend by its state in the list and by manual drains. Returns the backend in the
    /// state that applies.
    fn apply_state(&mut self, mut backend: Backend) -> Backend {
        if backend.state == State::Up && self.manual_drains.contains(&backend.id) {
            backend.state = State::Draining;
        }
        if let Some(endpoint) = self.endpoints.get(&backend.id) {
            match backend.state {
                State::Up => endpoint.set_open(true),
                State::Draining | State::Removed => close_endpoint(endpoint, &mut self.effects),
            }
        }
        backend
    }

    /// Whether a backend is up according to the list.
    fn is_listed_up(&self, id: BackendId) -> bool {
        self.listed.get(&id).is_some_and(|backend| backend.state == State::Up)
    }

    /// Records that a backend drains or is gone; the list entry may lack its start time.
    fn record_closing(&mut self, now: Time, id: BackendId, start_time_ms: f64) {
        let known = self.endpoints.get(&id).map_or(0.0, |endpoint| endpoint.start_time_ms);
        self.closings.record_closing(now, id, start_time_ms.max(known));
    }

    /// Changes an entry of an uncertain list to what may be applied now. An entry about an older process than the known one
    /// becomes the known state. An opening that has to wait is stored with a timer and becomes a draining.
    fn adjust_uncertain_entry(&mut self, now: Time, mut host: Host) -> Host {
        let id = BackendId(number_of(&host.host));
        if host.state() != State::Up {
            self.record_closing(now, id, host.start_time_ms);
            return host;
        }
        // The entry is about an older process than the known one, whose address and state it must not replace.
        if let Some(known) = self.endpoints.get(&id).filter(|known| known.start_time_ms > host.start_time_ms)
        {
            (host.address, host.start_time_ms) = (Some(known.address), known.start_time_ms);
            host.health = if self.is_listed_up(id) { UP } else { DRAINING }.into();
            return host;
        }
        if let Some(effective_at) = self.closings.defer_opening(now, id, &host) {
            self.timers.push(Reverse((effective_at, TimerKind::Reopening(id))));
            host.health = DRAINING.into();
        }
        host
    }

    /// Applies the deferred reopening of a backend, unless a newer update has replaced it.
    pub(super) fn reopen(&mut self, now: Time, id: BackendId) {
        if let Some(host) = self.closings.take_due(now, id) {
            self.apply_list(now, Scope::Delta, vec![host]);
        }
    }

    fn apply_list(&mut self, now: Time, scope: Scope, hosts: Vec<Host>) {
        let whole = matches!(scope, Scope::Full | Scope::Cached);
        if whole {
            self.release_missing(&hosts);
        }
        let mut entries = Vec::with_capacity(hosts.len());
        for mut host in hosts {
            let displaced = self.claim_address(&mut host);
            entries.push(self.update_backend(now, host));
            entries.extend(displaced);
        }
        if whole {
            let listed: FxHashSet<BackendId> = entries.iter().map(|e| e.id).collect();
            let (effects, closings) = (&mut self.effects, &mut self.closings);
            // Attempts in flight hold their own reference to the endpoint of a backend that has left.
            self.listed.retain(|id, _| listed.contains(id));
            self.listed_backends.retain(|number| listed.contains(&BackendId(number)));
            self.endpoints.retain(|id, endpoint| {
                let stays = listed.contains(id);
                if !stays {
                    close_endpoint(endpoint, effects);
                    closings.record_closing(now, *id, endpoint.start_time_ms);
                }
                stays
            });
        }
        self.closings.remove_expired(now);
        if matches!(scope, Scope::Full | Scope::Delta) {
            self.starts.record_complete(now);
        }
        if whole {
            self.starts.prune(|id| self.endpoints.contains_key(id));
        }
        let has_backends = !entries.is_empty();
        self.handle(now, Event::List { scope, entries });
        self.effects.listed(scope, has_backends);
    }

    /// Records that the backends that are missing from a whole list have left their addresses.
    fn release_missing(&mut self, hosts: &[Host]) {
        let listed: FxHashSet<u64> = hosts.iter().map(|host| number_of(&host.host)).collect();
        for (id, endpoint) in self.endpoints.iter().filter(|(id, _)| !listed.contains(&id.0)) {
            self.address_owners.release(endpoint.address, *id);
        }
    }

    /// Checks which process stands at an entry's address. An entry whose process has gone becomes a draining one. If it
    /// shows that another backend's process has gone, that backend is closed, and its new state is returned.
    fn claim_address(&mut self, host: &mut Host) -> Option<Backend> {
        let id = BackendId(number_of(&host.host));
        if let Some(known) = self.endpoints.get(&id) {
            let has_left = host.address != Some(known.address) || host.state() == State::Removed;
            if has_left {
                self.address_owners.release(known.address, id);
            }
        }
        let address = host.address.filter(|_| host.state() != State::Removed)?;
        match self.address_owners.claim(address, id, host.start_time_ms) {
            Claim::Outdated => {
                host.health = DRAINING.into();
                None
            }
            Claim::Latest(displaced) => self.close_displaced(displaced?, address),
        }
    }

    /// Closes a backend at whose address another one has come up, and returns its new state.
    fn close_displaced(&mut self, id: BackendId, address: SocketAddr) -> Option<Backend> {
        let endpoint = self.endpoints.get(&id).filter(|endpoint| endpoint.address == address)?;
        close_endpoint(endpoint, &mut self.effects);
        let listed = self.listed.get_mut(&id)?;
        listed.state = State::Draining;
        Some(listed.clone())
    }

    /// Updates a backend's endpoint from its list entry.
    fn update_backend(&mut self, now: Time, host: Host) -> Backend {
        let id = BackendId(number_of(&host.host));
        let state = host.state();
        let zone = host.zone.and_then(|z| Some(ZoneId(bounded_index_of(&mut self.names.zones, &z)?)));
        let cell = host.cell.map(CellId);
        if let Some(address) = host.address {
            let same = |e: &Rc<Endpoint>| e.address == address && e.start_time_ms == host.start_time_ms;
            if !self.endpoints.get(&id).is_some_and(same) {
                self.last_endpoint_number += 1;
                let old = self.endpoints.get(&id).map(|e| &**e);
                let endpoint = Endpoint::after(old, self.last_endpoint_number, address, host.start_time_ms);
                if let Some(old) = self.endpoints.insert(id, endpoint) {
                    close_endpoint(&old, &mut self.effects);
                }
            }
        }
        if let Some(endpoint) = self.endpoints.get(&id) {
            endpoint.set_place(Place { zone, cell });
        }
        let backend = Backend {
            id,
            zone,
            kind: host.kind.and_then(|k| Some(KindId(bounded_index_of(&mut self.names.kinds, &k)?))),
            cell,
            state,
            rating: host.rating.unwrap_or(1.0),
            since: self.starts.started_at(now, id, host.start_time_ms),
        };
        let applied = self.apply_state(backend.clone());
        if state == State::Removed {
            self.endpoints.remove(&id);
            self.listed.remove(&id);
            self.listed_backends.remove(id.0);
        } else {
            self.listed.insert(id, backend);
            self.listed_backends.insert(id.0);
        }
        applied
    }
}

/// Closes an endpoint to new attempts and releases what is kept for it.
fn close_endpoint<O: Effects>(endpoint: &Endpoint, effects: &mut O) {
    endpoint.set_open(false);
    effects.retire(endpoint);
}

/// The index of a zone or kind name; `None` for a new name once there are [`MAX_NAMES`].
fn bounded_index_of(names: &mut Vec<String>, name: &str) -> Option<u32> {
    (names.len() < MAX_NAMES || names.iter().any(|n| n == name)).then(|| index_of(names, name) as u32)
}
