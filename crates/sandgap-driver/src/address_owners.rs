//! Which backend process stands at an address. A list may still name a process that has gone after a new one has come up at
//! its address; what is sent to the old one would reach the new one.

use std::net::SocketAddr;

use rustc_hash::FxHashMap;
use wharfhitch::BackendId;

/// The latest process known at each address.
#[derive(Debug, Default)]
pub(crate) struct AddressOwners(FxHashMap<SocketAddr, Owner>);

#[derive(Clone, Copy, Debug)]
struct Owner {
    backend: BackendId,
    start_time_ms: f64,
}

/// What a list entry says about the process at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// Its process is the latest one there. Another backend's process, if one is named, has gone.
    Latest(Option<BackendId>),
    /// A process that started later stands there, so its own has gone.
    Outdated,
}

impl AddressOwners {
    /// Records an entry about a process that started at `start_time_ms` (Unix time, 0 if unknown). Of processes that started
    /// at the same time none is taken to have gone.
    pub(crate) fn claim(&mut self, address: SocketAddr, backend: BackendId, start_time_ms: f64) -> Claim {
        let owner = self.0.entry(address).or_insert(Owner { backend, start_time_ms });
        if owner.backend != backend && start_time_ms < owner.start_time_ms {
            return Claim::Outdated;
        }
        let is_later = start_time_ms > owner.start_time_ms;
        let displaced = Some(owner.backend).filter(|old| is_later && *old != backend);
        if is_later || owner.backend == backend {
            *owner = Owner { backend, start_time_ms };
        }
        Claim::Latest(displaced)
    }

    /// Records that a backend has left an address.
    pub(crate) fn release(&mut self, address: SocketAddr, backend: BackendId) {
        if self.0.get(&address).is_some_and(|owner| owner.backend == backend) {
            self.0.remove(&address);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_two_processes_at_an_address_the_later_one_is_there() {
        let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let [old, new, other] = [1, 2, 3].map(BackendId);
        let mut owners = AddressOwners::default();
        assert_eq!(owners.claim(address, old, 0.0), Claim::Latest(None));
        assert_eq!(owners.claim(address, other, 0.0), Claim::Latest(None), "nothing tells them apart");
        assert_eq!(owners.claim(address, new, 5.0), Claim::Latest(Some(old)));
        assert_eq!(owners.claim(address, old, 0.0), Claim::Outdated);
        assert_eq!(owners.claim(address, old, 9.0), Claim::Latest(Some(new)), "it has started again");
        owners.release(address, new);
        assert_eq!(owners.claim(address, new, 5.0), Claim::Outdated);
        owners.release(address, old);
        assert_eq!(owners.claim(address, new, 5.0), Claim::Latest(None));
    }
}
