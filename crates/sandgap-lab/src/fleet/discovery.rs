//! Discovery, and the datagrams between proxies.

use sandgap_driver::Host;
use wharfhitch::Scope;

use super::{Event, Fleet, Nanos, duration, micros, nanos};
use crate::defects::Defect;
use crate::proxy::address;

impl Fleet<'_> {
    /// Records a server's new health at discovery and sends it to the subscribed proxies.
    pub(super) fn set_health(&mut self, now: Nanos, s: u32, health: &'static str) {
        self.servers[s as usize].health = health;
        self.changes.push((s, health));
        self.update_truth(s);
        if self.discovery_silent {
            return;
        }
        let version = self.changes.len() as u32;
        for p in 0..self.proxies.len() {
            let proxy = &self.proxies[p];
            if proxy.running && proxy.subscribed && !proxy.discovery_silent {
                let delay = nanos(self.experiment.discovery.delay.draw(&mut self.discovery_rng));
                self.calendar.push(now + delay, Event::ListChange(p as u16, proxy.process, version));
            }
        }
    }

    /// The changes up to a version arrive at a proxy. A watch keeps their order, so any earlier ones come with them.
    pub(super) fn list_change_arrives(&mut self, now: Nanos, p: u16, process: u16, version: u32) {
        let proxy = &self.proxies[usize::from(p)];
        if proxy.process != process || !proxy.running || proxy.discovery_silent || self.discovery_silent {
            return;
        }
        if proxy.paused_until > now {
            return self.calendar.push(proxy.paused_until, Event::ListChange(p, process, version));
        }
        let from = proxy.list_version as usize;
        let entries: Vec<(u32, &'static str)> =
            self.changes.get(from..version as usize).unwrap_or_default().to_vec();
        if entries.is_empty() {
            return;
        }
        self.proxies[usize::from(p)].list_version = u64::from(version);
        let hosts = entries.iter().map(|(s, health)| self.host(*s, health)).collect();
        self.give_list(now, p, Scope::Delta, &entries, hosts);
    }

    /// A proxy requests the full list.
    pub(super) fn request_full_list(&mut self, now: Nanos, p: u16) {
        let delay = nanos(self.experiment.discovery.delay.draw(&mut self.discovery_rng));
        let process = self.proxies[usize::from(p)].process;
        self.calendar.push(now + delay, Event::FullList(p, process, u32::MAX));
    }

    /// The full list arrives at a proxy, marked with a version (`u32::MAX` for the present one). It is ignored if that
    /// is older than what the proxy knows, as the daemon does by the version that discovery sends.
    pub(super) fn full_list_arrives(&mut self, now: Nanos, p: u16, process: u16, version: u32) {
        let proxy = &self.proxies[usize::from(p)];
        if proxy.process != process || !proxy.running || proxy.discovery_silent || self.discovery_silent {
            return;
        }
        if proxy.paused_until > now {
            return self.calendar.push(proxy.paused_until, Event::FullList(p, process, version));
        }
        if u64::from(version) >= proxy.list_version {
            self.give_full_list(now, p, Scope::Full);
        }
    }

    /// Gives a proxy the full list as it is at present.
    pub(super) fn give_full_list(&mut self, now: Nanos, p: u16, scope: Scope) {
        self.proxies[usize::from(p)].list_version = self.changes.len() as u64;
        let listed = self.servers.iter().enumerate().filter(|(_, s)| s.health != "removed");
        let entries: Vec<(u32, &'static str)> = listed.map(|(i, s)| (i as u32, s.health)).collect();
        let hosts = entries.iter().map(|(s, health)| self.host(*s, health)).collect();
        // A server that is missing from the list has left; the checker records that too.
        for (i, _) in self.servers.iter().enumerate().filter(|(_, s)| s.health == "removed") {
            self.rules.health_told(self.proxies[usize::from(p)].process, i as u16, false, micros(now));
        }
        self.give_list(now, p, scope, &entries, hosts);
    }

    /// Gives a proxy that has just started the list that its predecessor knew.
    pub(super) fn give_cached_list(&mut self, now: Nanos, p: u16, version: u64) {
        let mut health: Vec<Option<&'static str>> = self.servers.iter().map(|_| None).collect();
        for (i, server) in self.servers.iter().enumerate() {
            // Servers that were present from the start have no entry in the change log.
            if server.born_ms == 0.0 {
                health[i] = Some("up");
            }
        }
        for (s, h) in self.changes.iter().take(version as usize) {
            health[*s as usize] = Some(h);
        }
        let entries: Vec<(u32, &'static str)> = health
            .iter()
            .enumerate()
            .filter_map(|(i, h)| Some((i as u32, (*h)?)))
            .filter(|l| l.1 != "removed")
            .collect();
        self.proxies[usize::from(p)].list_version = version;
        let hosts = entries.iter().map(|(s, health)| self.host(*s, health)).collect();
        self.give_list(now, p, Scope::Cached, &entries, hosts);
    }

    /// Records list entries at the checker and passes them to the proxy's core.
    fn give_list(
        &mut self, now: Nanos, p: u16, scope: Scope, entries: &[(u32, &'static str)], mut hosts: Vec<Host>,
    ) {
        let proxy = &mut self.proxies[usize::from(p)];
        for (s, health) in entries {
            self.rules.health_told(proxy.process, *s as u16, *health == "up", micros(now));
        }
        let mut scope = scope;
        if self.experiment.fleet.defect == Some(Defect::IgnoresDrains) {
            hosts.retain(|h| h.health == "up");
            scope = Scope::Delta;
        }
        proxy.core.list(duration(now), scope, hosts);
        self.apply_commands(now, p);
    }

    /// A server as an entry of the list.
    fn host(&self, s: u32, health: &str) -> Host {
        let server = &self.servers[s as usize];
        Host {
            host: server.name.clone(),
            address: Some(address(s)),
            zone: server.zone.map(|z| self.experiment.fleet.zones[z].as_str().into()),
            kind: self.experiment.servers[server.group].kind.as_deref().map(Into::into),
            cell: Some(u64::from(server.cell)),
            health: Host::health_of(health),
            rating: Some(server.rating),
            start_time_ms: server.born_ms,
        }
    }

    /// Silences discovery for all proxies or for one. When it resumes, it sends the full list.
    pub(super) fn set_discovery_silent(&mut self, now: Nanos, only: Option<u32>, on: bool) {
        match only {
            None => self.discovery_silent = on,
            Some(p) => self.proxies[p as usize].discovery_silent = on,
        }
        if on {
            return;
        }
        for p in 0..self.proxies.len() as u16 {
            let proxy = &self.proxies[usize::from(p)];
            if only.is_none_or(|w| w == u32::from(p)) && proxy.running && proxy.subscribed {
                self.request_full_list(now, p);
            }
        }
    }

    /// A proxy sends a datagram to all others.
    pub(super) fn broadcast(&mut self, now: Nanos, from: u16, bytes: &[u8]) {
        for to in 0..self.proxies.len() as u16 {
            if to == from || !self.proxies[usize::from(to)].running {
                continue;
            }
            self.measures.datagrams += 1;
            for delay in self.experiment.network.datagram(self.loss, &mut self.network_rng) {
                let n = self.datagrams.add((from, bytes.to_vec()));
                self.calendar.push(now + delay, Event::Datagram(to, n));
            }
        }
    }

    /// A datagram arrives at a proxy.
    pub(super) fn datagram(&mut self, now: Nanos, to: u16, n: u32) {
        let proxy = &mut self.proxies[usize::from(to)];
        if proxy.running && proxy.paused_until > now {
            return self.calendar.push(proxy.paused_until, Event::Datagram(to, n));
        }
        let Some((from, bytes)) = self.datagrams.remove(n) else { return };
        if proxy.running {
            proxy.core.message(duration(now), u32::from(from), bytes);
            self.apply_commands(now, to);
        }
    }
}
