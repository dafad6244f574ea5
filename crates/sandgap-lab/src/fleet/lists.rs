//! Discovery and the words between proxies.

use sandgap_driver::Host;
use wharfhitch::Scope;

use super::{Event, Fleet, Nanos, nanos, time, us};
use crate::defects::Defect;
use crate::proxy::address;

impl Fleet<'_> {
    /// Discovery hears of a server.
    pub(super) fn change(&mut self, now: Nanos, s: u32, health: &'static str) {
        self.places[s as usize].health = health;
        self.changes.push((s, health));
        self.touch(s);
        if self.silent {
            return;
        }
        let version = self.changes.len() as u32;
        for p in 0..self.proxies.len() {
            let proxy = &self.proxies[p];
            if proxy.runs && proxy.subscribed && !proxy.split {
                let delay = nanos(self.e.discovery.delay.draw(&mut self.list));
                self.cal.push(now + delay, Event::News(p as u16, proxy.process, version));
            }
        }
    }

    /// Changes up to a version are at a proxy. A watch keeps their order: those before come first.
    pub(super) fn news(&mut self, now: Nanos, p: u16, process: u16, version: u32) {
        let proxy = &self.proxies[usize::from(p)];
        if proxy.process != process || !proxy.runs || proxy.split || self.silent {
            return;
        }
        if proxy.paused > now {
            return self.cal.push(proxy.paused, Event::News(p, process, version));
        }
        let from = proxy.version as usize;
        let lines: Vec<(u32, &'static str)> =
            self.changes.get(from..version as usize).unwrap_or_default().to_vec();
        if lines.is_empty() {
            return;
        }
        self.proxies[usize::from(p)].version = u64::from(version);
        let hosts = lines.iter().map(|(s, health)| self.host(*s, health)).collect();
        self.tell_list(now, p, Scope::Delta, &lines, hosts);
    }

    /// A proxy wants the whole list.
    pub(super) fn ask_whole(&mut self, now: Nanos, p: u16) {
        let delay = nanos(self.e.discovery.delay.draw(&mut self.list));
        let process = self.proxies[usize::from(p)].process;
        self.cal.push(now + delay, Event::Whole(p, process, u32::MAX));
    }

    /// The whole list, or one as it was at an old version, is at a proxy. An older one than it knows is passed over,
    /// as the daemon does by the version that discovery tells.
    pub(super) fn whole_at(&mut self, now: Nanos, p: u16, process: u16, version: u32) {
        let proxy = &self.proxies[usize::from(p)];
        if proxy.process != process || !proxy.runs || proxy.split || self.silent {
            return;
        }
        if proxy.paused > now {
            return self.cal.push(proxy.paused, Event::Whole(p, process, version));
        }
        if u64::from(version) >= proxy.version {
            self.whole(now, p, Scope::Full);
        }
    }

    /// Tells a proxy the list as it is.
    pub(super) fn whole(&mut self, now: Nanos, p: u16, scope: Scope) {
        self.proxies[usize::from(p)].version = self.changes.len() as u64;
        let listed = self.places.iter().enumerate().filter(|(_, s)| s.health != "removed");
        let lines: Vec<(u32, &'static str)> = listed.map(|(i, s)| (i as u32, s.health)).collect();
        let hosts = lines.iter().map(|(s, health)| self.host(*s, health)).collect();
        // What the list lacks has left; it is told so too.
        for (i, _) in self.places.iter().enumerate().filter(|(_, s)| s.health == "removed") {
            self.rules.told(self.proxies[usize::from(p)].process, i as u16, false, us(now));
        }
        self.tell_list(now, p, scope, &lines, hosts);
    }

    /// A proxy that has just started serves from the list that its predecessor knew.
    pub(super) fn remembered(&mut self, now: Nanos, p: u16, version: u64) {
        let mut health: Vec<Option<&'static str>> = self.places.iter().map(|_| None).collect();
        for (i, place) in self.places.iter().enumerate() {
            // Those that were there from the start have no line of their joining.
            if place.born_ms == 0.0 {
                health[i] = Some("up");
            }
        }
        for (s, h) in self.changes.iter().take(version as usize) {
            health[*s as usize] = Some(h);
        }
        let lines: Vec<(u32, &'static str)> = health
            .iter()
            .enumerate()
            .filter_map(|(i, h)| Some((i as u32, (*h)?)))
            .filter(|l| l.1 != "removed")
            .collect();
        self.proxies[usize::from(p)].version = version;
        let hosts = lines.iter().map(|(s, health)| self.host(*s, health)).collect();
        self.tell_list(now, p, Scope::Cached, &lines, hosts);
    }

    fn tell_list(
        &mut self, now: Nanos, p: u16, scope: Scope, lines: &[(u32, &'static str)], mut hosts: Vec<Host>,
    ) {
        let proxy = &mut self.proxies[usize::from(p)];
        for (s, health) in lines {
            self.rules.told(proxy.process, *s as u16, *health == "up", us(now));
        }
        let mut scope = scope;
        if self.e.fleet.defect == Some(Defect::IgnoresDrains) {
            hosts.retain(|h| h.health == "up");
            scope = Scope::Delta;
        }
        proxy.core.list(time(now), scope, hosts);
        self.after(now, p);
    }

    fn host(&self, s: u32, health: &str) -> Host {
        let place = &self.places[s as usize];
        Host {
            host: place.name.clone(),
            dial: Some(address(s)),
            site: place.zone.map(|z| self.e.fleet.zones[z].clone()),
            class: self.e.servers[place.group].kind.clone(),
            block: Some(u64::from(place.cell)),
            health: health.to_owned(),
            share: Some(place.rating),
            born_ms: place.born_ms,
        }
    }

    /// Discovery says nothing to some, or goes on; then it tells the whole list.
    pub(super) fn hush(&mut self, now: Nanos, whom: Option<u32>, on: bool) {
        match whom {
            None => self.silent = on,
            Some(p) => self.proxies[p as usize].split = on,
        }
        if on {
            return;
        }
        for p in 0..self.proxies.len() as u16 {
            let proxy = &self.proxies[usize::from(p)];
            if whom.is_none_or(|w| w == u32::from(p)) && proxy.runs && proxy.subscribed {
                self.ask_whole(now, p);
            }
        }
    }

    /// A proxy tells the others something.
    pub(super) fn broadcast(&mut self, now: Nanos, from: u16, bytes: &[u8]) {
        for to in 0..self.proxies.len() as u16 {
            if to == from || !self.proxies[usize::from(to)].runs {
                continue;
            }
            self.measures.datagrams += 1;
            for delay in self.e.network.datagram(self.loss, &mut self.net) {
                let n = self.datagrams.add((from, bytes.to_vec()));
                self.cal.push(now + delay, Event::Datagram(to, n));
            }
        }
    }

    /// A datagram is at a proxy.
    pub(super) fn datagram(&mut self, now: Nanos, to: u16, n: u32) {
        let proxy = &mut self.proxies[usize::from(to)];
        if proxy.runs && proxy.paused > now {
            return self.cal.push(proxy.paused, Event::Datagram(to, n));
        }
        let Some((from, bytes)) = self.datagrams.remove(n) else { return };
        if proxy.runs {
            proxy.core.message(time(now), u32::from(from), bytes);
            self.after(now, to);
        }
    }
}
