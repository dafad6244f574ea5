//! What a leader makes of what proxies tell: who is lost, which permit is due, what the rules have to say about those
//! that are out, and the two proofs, *drained* and *back*. All of it is proposed to the log; a leader that is wrong or
//! late proposes what the [`Ledger`] passes over.
//!
//! **Drained** is told of a backend once its drain stands in the rules, and every proxy that was ever heard of either
//! acts on those rules and holds nothing there, or has been silent for so long that its lease is over and the last
//! request that it may have had has met its deadline. A proxy of which some classes are served without a lease gives no
//! such bound: then its silence proves nothing, and the drain waits until it is heard again or forgotten by hand.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use sandgap_agree::rider::{View, Wish};
use sandgap_agree::rulebook::OnLapse;
use sandgap_agree::{Rulebook, Version};
use sandgap_fleet::Time;

use crate::bounds::Evidence;
use crate::carry::{TAG, encode};
use crate::ledger::{Entry, Fence, Known, Ledger, Phase};
use crate::limits::{LATE, SEEN, STABLE, TARGETS};
use crate::news::News;
use crate::steer::Steer;
use crate::target::{Labels, Side, Target};

/// What a leader remembers beside the log. A new one begins with none of it, and proves everything anew.
#[derive(Debug, Default)]
pub struct Conductor {
    led: Option<Time>,
    /// The rules in force, read once a version.
    rules: Option<(Version, Rc<Rulebook>)>,
    /// When each proxy was heard last.
    heard: BTreeMap<String, Time>,
    /// Since when each target has been seen well without a break.
    well: BTreeMap<Target, Time>,
    /// The version at which each drain was first seen to stand.
    drained: BTreeMap<(Target, Fence), Version>,
    /// The version at which each target was first seen to be in use again.
    used: BTreeMap<(Target, Fence), Version>,
    /// Since when it has been in use everywhere, and well.
    warming: BTreeMap<(Target, Fence), Time>,
    /// Releases.
    steer: Steer,
}

/// A member's own process beside the one that will take its place: it has no target of its own.
fn is_guest(name: &str) -> bool {
    name.contains('~')
}

/// What is known now of all who matter.
struct Scene<'a> {
    ledger: &'a Ledger,
    view: &'a View<'a>,
    rules: Rc<Rulebook>,
    standing: Version,
    /// Proxies that may hold a lease, with what they told last.
    live: BTreeMap<&'a String, News>,
}

/// Proxies that may hold a lease, with what they told last.
fn live<'a>(view: &'a View<'a>) -> BTreeMap<&'a String, News> {
    let news = |told: &[(u8, Vec<u8>)]| {
        let own = told.iter().find(|(tag, _)| *tag == TAG);
        own.and_then(|(_, bytes)| News::decode(bytes)).unwrap_or_default()
    };
    view.live().map(|(name, known)| (name, news(&known.report.told))).collect()
}

impl Scene<'_> {
    /// How long after its last word a proxy may still have something under way; nothing where no time is long enough.
    fn silence(&self) -> Option<Duration> {
        let serves = self.rules.classes.iter().any(|c| c.on_lapse == OnLapse::Serve);
        let longest = self.rules.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        let longest = Duration::from_secs_f64(longest.clamp(0.0, 1e7) / 1000.0);
        (!serves).then(|| self.view.terms.live() + longest + LATE)
    }

    /// The backends in the rules; nothing where a discovery service lists them.
    fn backends(&self) -> impl Iterator<Item = (Target, Labels, bool)> {
        self.rules.backends.iter().flatten().map(|b| {
            let labels = Labels { zone: b.zone.clone(), cell: b.cell, kind: b.kind.clone() };
            (Target::backend(&b.name), labels, b.draining)
        })
    }
}

impl Conductor {
    /// What a leader wants in the log now.
    pub fn lead(&mut self, ledger: &Ledger, view: &View) -> Vec<Wish> {
        if self.led != Some(view.led) {
            *self = Conductor { led: Some(view.led), ..Conductor::default() };
        }
        if ledger.is_idle() {
            return Vec::new();
        }
        let Some(scene) = self.scene(ledger, view) else { return Vec::new() };
        if !view.knows_all() {
            return Vec::new();
        }
        let mut entries: Vec<Entry> = Vec::new();
        entries.extend(self.observe(&scene));
        entries.extend(self.due(&scene));
        entries.extend(self.steer.lead(ledger, view.now, &scene.live));
        self.note_rules(&scene);
        for (target, fence, phase) in ledger.granted() {
            let proof = match phase {
                Phase::Granted if self.waits_to_drain(&scene, target, fence).is_none() => {
                    Some(Entry::Drained { target: target.clone(), fence, version: scene.standing })
                }
                Phase::Returning if self.waits_to_return(&scene, target, fence).is_none() => {
                    Some(Entry::Back { target: target.clone(), fence })
                }
                _ => None,
            };
            entries.extend(proof);
        }
        let own = entries.iter().map(|e| Wish::Own(encode(e)));
        own.chain(wanted_rules(&scene)).collect()
    }

    /// What is known now; notes who has been heard and seen well.
    fn scene<'a>(&mut self, ledger: &'a Ledger, view: &'a View<'a>) -> Option<Scene<'a>> {
        let rules = self.rules(view)?;
        self.rules = Some((view.machine.standing(), rules.clone()));
        for (name, known) in view.members {
            self.heard.insert(name.clone(), known.at.max(view.led));
        }
        for target in ledger.targets().keys().filter(|t| t.side == Side::Proxy) {
            self.heard.entry(target.name.clone()).or_insert(view.led);
        }
        if self.heard.len() > TARGETS {
            let oldest = self.heard.iter().min_by_key(|(_, at)| **at).map(|(name, _)| name.clone());
            if let Some(name) = oldest {
                self.heard.remove(&name);
            }
        }
        let live = live(view);
        let scene = Scene { ledger, view, rules, standing: view.machine.standing(), live };
        self.note_well(&scene);
        Some(scene)
    }

    /// The rules in force. What a version says never changes.
    fn rules(&self, view: &View) -> Option<Rc<Rulebook>> {
        match &self.rules {
            Some((version, rules)) if *version == view.machine.standing() => Some(rules.clone()),
            _ => view.rules().map(Rc::new),
        }
    }

    fn note_well(&mut self, scene: &Scene) {
        let mut well: BTreeSet<Target> = scene
            .live
            .iter()
            .filter(|(name, news)| !is_guest(name) && news.version > 0)
            .map(|(name, _)| Target::proxy(name))
            .collect();
        let dialled: Vec<&News> = scene.live.values().filter(|n| n.dialled).collect();
        for (target, _, draining) in scene.backends() {
            let missed = dialled.iter().filter(|n| n.missed.contains(&target.name)).count();
            if !dialled.is_empty() && 2 * missed < dialled.len() && !draining {
                well.insert(target);
            }
        }
        self.well.retain(|target, _| well.contains(target));
        for target in well {
            self.well.entry(target).or_insert(scene.view.now);
        }
    }

    /// Whether a target has been well for long enough to count as well.
    fn is_well(&self, now: Time, target: &Target) -> bool {
        self.well.get(target).is_some_and(|since| now >= *since + STABLE)
    }

    /// What the ledger knows otherwise of targets than is seen here.
    fn observe(&self, scene: &Scene) -> Option<Entry> {
        let now = scene.view.now;
        let measured = scene.live.values().any(|n| n.dialled);
        let mut all: Vec<(Target, Option<Known>)> = Vec::new();
        let mut note = |target: Target, labels: Labels, lost: Option<bool>| {
            let old = scene.ledger.targets().get(&target);
            // Where nothing is seen, what was known stays; what is new counts as out until it has been seen.
            let lost = lost.unwrap_or_else(|| old.is_none_or(|k| k.lost));
            let known = Known { labels, lost };
            if old != Some(&known) {
                all.push((target, Some(known)));
            }
        };
        let mut listed: BTreeSet<Target> = BTreeSet::new();
        for (target, labels, _) in scene.backends() {
            let by_hand = scene.rules.drained.contains(&target.name) && scene.ledger.phase(&target).is_none();
            // Lost at once, well only after a while: a backend that flaps is out.
            let lost = match self.well.contains_key(&target) {
                _ if by_hand => Some(true),
                _ if !measured => None,
                true if self.is_well(now, &target) => Some(false),
                true => None,
                false => Some(true),
            };
            listed.insert(target.clone());
            note(target, labels, lost);
        }
        for (name, news) in scene.live.iter().filter(|(name, _)| !is_guest(name)) {
            let target = Target::proxy(name);
            let lost = if self.is_well(now, &target) { Some(false) } else { None };
            note(target, Labels { zone: news.zone.clone(), ..Labels::default() }, lost);
        }
        let silent = |t: &&Target| t.side == Side::Proxy && !scene.live.contains_key(&t.name);
        for (target, known) in scene.ledger.targets().iter().filter(|(t, _)| silent(t)) {
            note(target.clone(), known.labels.clone(), Some(true));
        }
        if scene.rules.backends.is_some() {
            let gone =
                scene.ledger.targets().keys().filter(|t| t.side == Side::Backend && !listed.contains(*t));
            all.extend(gone.map(|t| (t.clone(), None)));
        }
        all.truncate(SEEN);
        (!all.is_empty()).then_some(Entry::Seen(all))
    }

    /// The permit that is due, if one is.
    fn due(&self, scene: &Scene) -> Option<Entry> {
        let evidence = scene.ledger.wants_evidence().then(|| evidence(scene)).flatten();
        let id = scene.ledger.next(evidence.as_ref())?;
        Some(Entry::Grant { id, evidence })
    }

    /// Notes since which version each target that is out takes nothing, or is in use again.
    fn note_rules(&mut self, scene: &Scene) {
        let out: BTreeMap<(Target, Fence), Phase> =
            scene.ledger.granted().map(|(t, fence, phase)| ((t.clone(), fence), phase)).collect();
        let drains = |target: &Target| scene.rules.drained.contains(&target.name);
        let stands = |key: &(Target, Fence), used: bool| {
            let returning = out.get(key).map(|phase| *phase == Phase::Returning);
            returning == Some(used) && (key.0.side == Side::Proxy || drains(&key.0) != used)
        };
        self.drained.retain(|key, _| stands(key, false));
        self.used.retain(|key, _| stands(key, true));
        for key in out.keys() {
            if stands(key, false) {
                self.drained.entry(key.clone()).or_insert(scene.standing);
            }
            if stands(key, true) {
                self.used.entry(key.clone()).or_insert(scene.standing);
            }
        }
        // In use everywhere, and well, without a break since.
        let (now, live) = (scene.view.now, &scene.live);
        let everywhere = |version: &Version| live.values().all(|n| n.version >= *version);
        let warms: Vec<(Target, Fence)> = self
            .used
            .iter()
            .filter(|(key, version)| everywhere(version) && self.well.contains_key(&key.0))
            .map(|(key, _)| key.clone())
            .collect();
        self.warming.retain(|key, _| warms.contains(key));
        for key in warms {
            self.warming.entry(key).or_insert(now);
        }
    }

    /// What a target that is to be emptied waits for; nothing once it is.
    fn waits_to_drain(&self, scene: &Scene, target: &Target, fence: Fence) -> Option<String> {
        match target.side {
            Side::Backend => {
                let Some(since) = self.drained.get(&(target.clone(), fence)) else {
                    return Some("its drain to stand in the rules".into());
                };
                let still = |name: &String| self.may_still_send(scene, name, &target.name, *since);
                self.heard.keys().find_map(still)
            }
            Side::Proxy => match scene.live.get(&target.name) {
                Some(news) if news.out && news.open == 0 && news.held == 0 => None,
                Some(news) if news.out => {
                    Some(format!("{} requests that it has open", news.open.max(news.held)))
                }
                Some(_) => Some("its word that it sends clients away".into()),
                None => self.is_silent_for_good(scene, &target.name).err(),
            },
        }
    }

    /// Why a proxy may still send to a backend, or have something there.
    fn may_still_send(&self, scene: &Scene, proxy: &String, backend: &str, since: Version) -> Option<String> {
        match scene.live.get(proxy) {
            Some(news) if news.version < since => Some(format!("{proxy} to act on version {since}")),
            Some(news) => match news.held_at(backend) {
                Some(0) => None,
                Some(n) => Some(format!("{n} requests of {proxy} that are under way there")),
                None => Some(format!("{proxy} to say what it has there")),
            },
            None => self.is_silent_for_good(scene, proxy).err(),
        }
    }

    /// Whether nothing can be under way any more at a proxy that is not heard.
    fn is_silent_for_good(&self, scene: &Scene, proxy: &String) -> Result<(), String> {
        let Some(silence) = scene.silence() else {
            // Another process of the same proxy has taken its place, or it has ended: it is no member of its own.
            if is_guest(proxy) || !scene.ledger.targets().contains_key(&Target::proxy(proxy)) {
                return Ok(());
            }
            return Err(format!(
                "{proxy}, which is silent and may serve without a lease: bring it back, or end it and say so with \
                 'sandgap fleet forget {proxy}'"
            ));
        };
        let at = self.heard.get(proxy).copied().unwrap_or(scene.view.led);
        match scene.view.now >= at + silence {
            true => Ok(()),
            false => Err(format!("{proxy}, which is silent, until its last request must have ended")),
        }
    }

    /// What a target that is brought back waits for; nothing once it has been seen well for as long as it is cold.
    fn waits_to_return(&self, scene: &Scene, target: &Target, fence: Fence) -> Option<String> {
        let key = (target.clone(), fence);
        let Some(version) = self.used.get(&key) else { return Some("the rules to use it again".into()) };
        if target.side == Side::Proxy && scene.live.get(&target.name).is_none_or(|n| n.out) {
            return Some("the proxy to be heard, taking clients".into());
        }
        let Some(since) = self.warming.get(&key) else {
            let behind = scene.live.iter().find(|(_, n)| n.version < *version).map(|(name, _)| name);
            return Some(match behind {
                Some(name) => format!("{name} to act on version {version}"),
                None => "being reached from most voters".into(),
            });
        };
        let warm = match target.side {
            Side::Backend => Duration::from_secs_f64(scene.rules.limits.warm_ms.clamp(0.0, 1e7) / 1000.0),
            Side::Proxy => Duration::ZERO,
        };
        let until = *since + warm.max(STABLE);
        (scene.view.now < until).then(|| "being warm".to_owned())
    }

    /// What each target that is out waits for, as far as this voter knows.
    pub fn explain(&self, ledger: &Ledger, view: &View) -> Vec<(Target, String)> {
        let Some(rules) = self.rules(view) else { return Vec::new() };
        let live = live(view);
        let scene = Scene { ledger, view, rules, standing: view.machine.standing(), live };
        let wait = |(target, fence, phase): (&Target, Fence, Phase)| {
            let for_what = match phase {
                Phase::Granted => self.waits_to_drain(&scene, target, fence),
                Phase::Drained(_) => Some("its holder to bring it back".into()),
                Phase::Returning => self.waits_to_return(&scene, target, fence),
            };
            Some((target.clone(), for_what?))
        };
        ledger.granted().filter_map(wait).collect()
    }
}

/// What was measured: nothing until a voter has told what backends hold.
fn evidence(scene: &Scene) -> Option<Evidence> {
    let load = scene.live.values().map(|n| u64::from(n.held) * 1000).sum();
    let mut told: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for (name, holds) in scene.live.values().flat_map(|n| n.holds.iter().cloned()) {
        told.entry(name).or_default().push(holds);
    }
    // The middle one of several beliefs; of two the lower.
    let middle = |mut all: Vec<u64>| {
        all.sort_unstable();
        all[(all.len() - 1) / 2]
    };
    let holds: BTreeMap<String, u64> = told.into_iter().map(|(name, all)| (name, middle(all))).collect();
    (!holds.is_empty()).then_some(Evidence { load, holds })
}

/// The rules that those that are out ask for, where they are not in force.
fn wanted_rules(scene: &Scene) -> Option<Wish> {
    let mut rules = Rulebook::clone(&scene.rules);
    let listed =
        |name: &str| scene.rules.backends.as_ref().is_none_or(|all| all.iter().any(|b| b.name == name));
    let (mut drains, mut uses) = (Vec::new(), Vec::new());
    for (target, _, phase) in scene.ledger.granted().filter(|(t, ..)| t.side == Side::Backend) {
        match phase {
            Phase::Granted | Phase::Drained(_)
                if listed(&target.name) && rules.drained.insert(target.name.clone()) =>
            {
                drains.push(target.name.as_str());
            }
            Phase::Returning if rules.drained.remove(&target.name) => uses.push(target.name.as_str()),
            _ => {}
        }
    }
    if drains.is_empty() && uses.is_empty() {
        return None;
    }
    let part = |what: &str, names: &[&str]| match names {
        [] => None,
        names => Some(format!("{what} {}", names.join(", "))),
    };
    let why: Vec<String> = [part("drain", &drains), part("undrain", &uses)].into_iter().flatten().collect();
    Some(Wish::Rules(Box::new(rules), format!("permits: {}", why.join("; "))))
}
