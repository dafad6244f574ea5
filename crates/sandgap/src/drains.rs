//! Drains by hand over a list from discovery: a backend that the agreed rules drain stays drained, whatever the list
//! says of it, and takes work again when both say so.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;
use wharfhitch::Scope;

use crate::event::Host;

/// Lines of the list that are remembered, so that a drain that ends can put them in force again. Discovery's own
/// bound on a list is far below.
const LINES: usize = 20_000;

/// What is drained, and what the list says.
#[derive(Default)]
pub struct Drains {
    names: BTreeSet<String>,
    /// The list's last word on each backend, before any drain.
    lines: FxHashMap<String, Host>,
}

impl Drains {
    /// Puts the drains over news of the list, and remembers what it said.
    pub fn overlay(&mut self, scope: Scope, hosts: &mut [Host]) {
        if matches!(scope, Scope::Full | Scope::Cached) {
            self.lines.clear();
        }
        for host in hosts {
            if host.health == "removed" {
                self.lines.remove(&host.host);
            } else if self.lines.len() < LINES || self.lines.contains_key(&host.host) {
                self.lines.insert(host.host.clone(), host.clone());
            }
            self.drain(host);
        }
    }

    /// Takes over another set of drains; returns the lines that it changes.
    pub fn change(&mut self, names: BTreeSet<String>) -> Vec<Host> {
        let before = std::mem::replace(&mut self.names, names);
        let changed: Vec<&String> = before.symmetric_difference(&self.names).collect();
        let lines = changed.into_iter().filter_map(|name| self.lines.get(name)).cloned();
        let mut lines: Vec<Host> = lines.collect();
        lines.iter_mut().for_each(|line| self.drain(line));
        lines
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
            dial: Some(([127, 0, 0, 1], 1).into()),
            site: None,
            class: None,
            block: None,
            health: health.into(),
            share: None,
            born_ms: 0.0,
        }
    }

    fn told(lines: &[Host]) -> Vec<(&str, &str)> {
        lines.iter().map(|h| (h.host.as_str(), h.health.as_str())).collect()
    }

    #[test]
    fn a_list_never_takes_back_a_drain_by_hand() {
        let mut drains = Drains::default();
        let mut list = [host("a", "up"), host("b", "up")];
        drains.overlay(Scope::Full, &mut list);
        assert_eq!(told(&drains.change(["a".to_owned()].into())), [("a", "draining")]);
        let mut news = [host("a", "up"), host("b", "draining")];
        drains.overlay(Scope::Delta, &mut news);
        assert_eq!(told(&news), [("a", "draining"), ("b", "draining")]);
        assert_eq!(told(&drains.change(BTreeSet::new())), [("a", "up")]);
    }

    #[test]
    fn what_left_the_list_is_not_brought_back() {
        let mut drains = Drains::default();
        drains.change(["a".to_owned()].into());
        drains.overlay(Scope::Full, &mut [host("a", "up")]);
        drains.overlay(Scope::Delta, &mut [host("a", "removed")]);
        assert!(drains.change(BTreeSet::new()).is_empty());
        drains.change(["a".to_owned()].into());
        drains.overlay(Scope::Full, &mut [host("a", "up")]);
        drains.overlay(Scope::Full, &mut []);
        assert!(drains.change(BTreeSet::new()).is_empty());
    }
}
