//! Applies manual drains to a list from discovery. A backend that the agreed rules drain stays drained whatever the
//! list reports, and is used again once both the rules and the list allow it.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;
use wharfhitch::Scope;

use crate::event::Host;

/// Maximum number of remembered list entries, which are restored when a drain ends. Discovery's own limit on a list is
/// far lower.
const MAX_ENTRIES: usize = 20_000;

/// Manually drained backends and the list's last entries.
#[derive(Default)]
pub struct Drains {
    names: BTreeSet<String>,
    /// The last entry of each backend in the list, without drains.
    entries: FxHashMap<String, Host>,
}

impl Drains {
    /// Applies the drains to a list update and remembers the original entries.
    pub fn apply_to_list(&mut self, scope: Scope, hosts: &mut [Host]) {
        if matches!(scope, Scope::Full | Scope::Cached) {
            self.entries.clear();
        }
        for host in hosts {
            if host.health == "removed" {
                self.entries.remove(&host.host);
            } else if self.entries.len() < MAX_ENTRIES || self.entries.contains_key(&host.host) {
                self.entries.insert(host.host.clone(), host.clone());
            }
            self.drain(host);
        }
    }

    /// Replaces the set of drains and returns the entries that change.
    pub fn replace(&mut self, names: BTreeSet<String>) -> Vec<Host> {
        let before = std::mem::replace(&mut self.names, names);
        let changed: Vec<&String> = before.symmetric_difference(&self.names).collect();
        let entries = changed.into_iter().filter_map(|name| self.entries.get(name)).cloned();
        let mut entries: Vec<Host> = entries.collect();
        entries.iter_mut().for_each(|entry| self.drain(entry));
        entries
    }

    fn drain(&self, host: &mut Host) {
        if host.health == "up" && self.names.contains(&host.host) {
            host.health = "draining".into();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn host(name: &str, health: &str) -> Host {
        Host {
            host: name.into(),
            address: Some(([127, 0, 0, 1], 1).into()),
            zone: None,
            kind: None,
            cell: None,
            health: Host::health_of(health),
            rating: None,
            start_time_ms: 0.0,
        }
    }

    fn states(entries: &[Host]) -> Vec<(&str, &str)> {
        entries.iter().map(|h| (h.host.as_str(), &*h.health)).collect()
    }

    #[test]
    fn a_list_update_never_ends_a_manual_drain() {
        let mut drains = Drains::default();
        let mut list = [host("a", "up"), host("b", "up")];
        drains.apply_to_list(Scope::Full, &mut list);
        assert_eq!(states(&drains.replace(["a".to_owned()].into())), [("a", "draining")]);
        let mut update = [host("a", "up"), host("b", "draining")];
        drains.apply_to_list(Scope::Delta, &mut update);
        assert_eq!(states(&update), [("a", "draining"), ("b", "draining")]);
        assert_eq!(states(&drains.replace(BTreeSet::new())), [("a", "up")]);
    }

    #[test]
    fn a_removed_backend_is_not_restored() {
        let mut drains = Drains::default();
        drains.replace(["a".to_owned()].into());
        drains.apply_to_list(Scope::Full, &mut [host("a", "up")]);
        drains.apply_to_list(Scope::Delta, &mut [host("a", "removed")]);
        assert!(drains.replace(BTreeSet::new()).is_empty());
        drains.replace(["a".to_owned()].into());
        drains.apply_to_list(Scope::Full, &mut [host("a", "up")]);
        drains.apply_to_list(Scope::Full, &mut []);
        assert!(drains.replace(BTreeSet::new()).is_empty());
    }
}
