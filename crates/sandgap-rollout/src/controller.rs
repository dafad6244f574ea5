//! Leader logic for permits, based on the reports of proxies: which targets are lost, which permit is due, which rules
//! the targets that are out require, and whether a target is *drained* or *back*. The leader proposes all of it to the
//! log. The [`Ledger`] ignores proposals that are wrong or outdated.
//!
//! A backend is proposed as **drained** once its drain is in the rules and every proxy ever heard of meets one of two
//! conditions: it applies those rules and has nothing in flight there, or it has been silent for so long that its lease
//! has expired and the last request it may have had has passed its deadline. If some class is served without a lease,
//! silence has no such time limit: the drain waits until the proxy is heard again or an operator forgets it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use sandgap_agree::rider::{LeaderView, RiderProposal};
use sandgap_agree::rulebook::OnLapse;
use sandgap_agree::{Rulebook, Version};
use sandgap_fleet::Time;

use crate::bounds::Evidence;
use crate::ledger::{Entry, Fence, Ledger, Phase, TargetState};
use crate::limits::{MAX_SEEN_CHANGES, MAX_TARGETS, REQUEST_END_GRACE, STABLE_TIME};
use crate::messages::ProxyReport;
use crate::release_controller::ReleaseController;
use crate::state_machine::{TAG, encode};
use crate::target::{Labels, Target, TargetKind};

/// Leader state that is not replicated. A new leader starts without it and collects all evidence again.
#[derive(Debug, Default)]
pub struct Controller {
    leading_since: Option<Time>,
    /// The rules in force, decoded once per version.
    rules: Option<(Version, Rc<Rulebook>)>,
    /// Time at which each proxy was last heard.
    last_heard: BTreeMap<String, Time>,
    /// Start of the uninterrupted time in which each target was observed healthy.
    healthy_since: BTreeMap<Target, Time>,
    /// Rules version at which each drain was first in force.
    drained_version: BTreeMap<(Target, Fence), Version>,
    /// Rules version at which each target was first in use again.
    used_version: BTreeMap<(Target, Fence), Version>,
    /// Time since which each target has been in use at all live proxies and healthy.
    warming_since: BTreeMap<(Target, Fence), Time>,
    /// Leader logic for releases.
    release_controller: ReleaseController,
}

/// Whether a name belongs to a second process of a member during an upgrade. Such a process is not a target itself.
fn is_guest(name: &str) -> bool {
    name.contains('~')
}

/// Input of one decision round: ledger, rules and the reports of live proxies.
struct Context<'a> {
    ledger: &'a Ledger,
    view: &'a LeaderView<'a>,
    rules: Rc<Rulebook>,
    rules_version: Version,
    /// Proxies that may hold a lease, with their last report.
    reports: BTreeMap<&'a String, ProxyReport>,
}

/// Returns proxies that may hold a lease, with their last report.
fn reports_of_live_proxies<'a>(view: &'a LeaderView<'a>) -> BTreeMap<&'a String, ProxyReport> {
    let decode_report = |parts: &[(u8, Vec<u8>)]| {
        let own_part = parts.iter().find(|(tag, _)| *tag == TAG);
        own_part.and_then(|(_, bytes)| ProxyReport::decode(bytes)).unwrap_or_default()
    };
    view.live().map(|(name, known)| (name, decode_report(&known.report.rider_messages))).collect()
}

impl Context<'_> {
    /// How long after its last report a proxy may still have requests in flight; `None` if there is no upper bound.
    fn max_silence(&self) -> Option<Duration> {
        let serves_without_lease = self.rules.classes.iter().any(|c| c.on_lapse == OnLapse::Serve);
        let longest_ms = self.rules.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        let longest = Duration::from_secs_f64(longest_ms.clamp(0.0, 1e7) / 1000.0);
        (!serves_without_lease).then(|| self.view.timing.lease_horizon() + longest + REQUEST_END_GRACE)
    }

    /// Backends in the rules; empty if a discovery service lists them.
    fn backends(&self) -> impl Iterator<Item = (Target, Labels, bool)> {
        self.rules.backends.iter().flatten().map(|b| {
            let labels = Labels { zone: b.zone.clone(), cell: b.cell, kind: b.kind.clone() };
            (Target::backend(&b.name), labels, b.draining)
        })
    }
}

impl Controller {
    /// Proposals of the leader for this round.
    pub fn lead(&mut self, ledger: &Ledger, view: &LeaderView) -> Vec<RiderProposal> {
        if self.leading_since != Some(view.led) {
            *self = Controller { leading_since: Some(view.led), ..Controller::default() };
        }
        if ledger.is_idle() {
            return Vec::new();
        }
        let Some(context) = self.context(ledger, view) else { return Vec::new() };
        if !view.knows_all() {
            return Vec::new();
        }
        let mut entries: Vec<Entry> = Vec::new();
        entries.extend(self.observe(&context));
        entries.extend(self.due_grant(&context));
        entries.extend(self.release_controller.lead(ledger, view.now, &context.reports));
        self.note_rules(&context);
        for (target, fence, phase) in ledger.granted() {
            let entry = match phase {
                Phase::Granted if self.waits_to_drain(&context, target, fence).is_none() => {
                    Some(Entry::Drained { target: target.clone(), fence, version: context.rules_version })
                }
                Phase::Returning if self.waits_to_return(&context, target, fence).is_none() => {
                    Some(Entry::Restored { target: target.clone(), fence })
                }
                _ => None,
            };
            entries.extend(entry);
        }
        let proposals = entries.iter().map(|e| RiderProposal::Own(encode(e)));
        proposals.chain(required_rules(&context)).collect()
    }

    /// Builds the context; records which proxies have been heard and which targets are healthy.
    fn context<'a>(&mut self, ledger: &'a Ledger, view: &'a LeaderView<'a>) -> Option<Context<'a>> {
        let rules = self.rules(view)?;
        self.rules = Some((view.machine.standing(), rules.clone()));
        for (name, known) in view.members {
            self.last_heard.insert(name.clone(), known.at.max(view.led));
        }
        for target in ledger.targets().keys().filter(|t| t.kind == TargetKind::Proxy) {
            self.last_heard.entry(target.name.clone()).or_insert(view.led);
        }
        if self.last_heard.len() > MAX_TARGETS {
            let oldest = self.last_heard.iter().min_by_key(|(_, at)| **at).map(|(name, _)| name.clone());
            if let Some(name) = oldest {
                self.last_heard.remove(&name);
            }
        }
        let reports = reports_of_live_proxies(view);
        let context = Context { ledger, view, rules, rules_version: view.machine.standing(), reports };
        self.note_healthy(&context);
        Some(context)
    }

    /// The rules in force. The content of a version never changes.
    fn rules(&self, view: &LeaderView) -> Option<Rc<Rulebook>> {
        match &self.rules {
            Some((version, rules)) if *version == view.machine.standing() => Some(rules.clone()),
            _ => view.rules().map(Rc::new),
        }
    }

    fn note_healthy(&mut self, context: &Context) {
        let mut healthy: BTreeSet<Target> = context
            .reports
            .iter()
            .filter(|(name, report)| !is_guest(name) && report.version > 0)
            .map(|(name, _)| Target::proxy(name))
            .collect();
        let dialling: Vec<&ProxyReport> = context.reports.values().filter(|n| n.dialled).collect();
        for (target, _, draining) in context.backends() {
            let missed = dialling.iter().filter(|n| n.missed.contains(&target.name)).count();
            if !dialling.is_empty() && 2 * missed < dialling.len() && !draining {
                healthy.insert(target);
            }
        }
        self.healthy_since.retain(|target, _| healthy.contains(target));
        for target in healthy {
            self.healthy_since.entry(target).or_insert(context.view.now);
        }
    }

    /// Whether a target has been healthy for long enough to count as healthy.
    fn is_healthy(&self, now: Time, target: &Target) -> bool {
        self.healthy_since.get(target).is_some_and(|since| now >= *since + STABLE_TIME)
    }

    /// Differences between the ledger's known targets and what this leader observes.
    fn observe(&self, context: &Context) -> Option<Entry> {
        let now = context.view.now;
        let measured = context.reports.values().any(|n| n.dialled);
        let mut changes: Vec<(Target, Option<TargetState>)> = Vec::new();
        let mut note = |target: Target, labels: Labels, lost: Option<bool>| {
            let old = context.ledger.targets().get(&target);
            // Without observations the known state stays; a new target counts as lost until it has been observed.
            let lost = lost.unwrap_or_else(|| old.is_none_or(|k| k.lost));
            let known = TargetState { labels, lost };
            if old != Some(&known) {
                changes.push((target, Some(known)));
            }
        };
        let mut listed: BTreeSet<Target> = BTreeSet::new();
        for (target, labels, _) in context.backends() {
            let drained_without_permit =
                context.rules.drained.contains(&target.name) && context.ledger.phase(&target).is_none();
            // A backend is lost at once but healthy only after a while, so a flapping backend counts as out.
            let lost = match self.healthy_since.contains_key(&target) {
                _ if drained_without_permit => Some(true),
                _ if !measured => None,
                true if self.is_healthy(now, &target) => Some(false),
                true => None,
                false => Some(true),
            };
            listed.insert(target.clone());
            note(target, labels, lost);
        }
        for (name, report) in context.reports.iter().filter(|(name, _)| !is_guest(name)) {
            let target = Target::proxy(name);
            let lost = if self.is_healthy(now, &target) { Some(false) } else { None };
            note(target, Labels { zone: report.zone.clone(), ..Labels::default() }, lost);
        }
        let silent = |t: &&Target| t.kind == TargetKind::Proxy && !context.reports.contains_key(&t.name);
        for (target, known) in context.ledger.targets().iter().filter(|(t, _)| silent(t)) {
            note(target.clone(), known.labels.clone(), Some(true));
        }
        if context.rules.backends.is_some() {
            let gone = context
                .ledger
                .targets()
                .keys()
                .filter(|t| t.kind == TargetKind::Backend && !listed.contains(*t));
            changes.extend(gone.map(|t| (t.clone(), None)));
        }
        changes.truncate(MAX_SEEN_CHANGES);
        (!changes.is_empty()).then_some(Entry::UpdateTargets(changes))
    }

    /// The next permit to grant, if any.
    fn due_grant(&self, context: &Context) -> Option<Entry> {
        let evidence = context.ledger.wants_evidence().then(|| evidence(context)).flatten();
        let id = context.ledger.next_grant(evidence.as_ref())?;
        Some(Entry::Grant { id, evidence })
    }

    /// Records the rules version since which each target that is out is drained, or is in use again.
    fn note_rules(&mut self, context: &Context) {
        let out: BTreeMap<(Target, Fence), Phase> =
            context.ledger.granted().map(|(t, fence, phase)| ((t.clone(), fence), phase)).collect();
        let drains = |target: &Target| context.rules.drained.contains(&target.name);
        let in_force = |key: &(Target, Fence), used: bool| {
            let returning = out.get(key).map(|phase| *phase == Phase::Returning);
            returning == Some(used) && (key.0.kind == TargetKind::Proxy || drains(&key.0) != used)
        };
        self.drained_version.retain(|key, _| in_force(key, false));
        self.used_version.retain(|key, _| in_force(key, true));
        for key in out.keys() {
            if in_force(key, false) {
                self.drained_version.entry(key.clone()).or_insert(context.rules_version);
            }
            if in_force(key, true) {
                self.used_version.entry(key.clone()).or_insert(context.rules_version);
            }
        }
        // Targets in use at all live proxies and healthy, without interruption since.
        let (now, reports) = (context.view.now, &context.reports);
        let applied_everywhere =
            |version: &Version| reports.values().all(|report| report.version >= *version);
        let warming: Vec<(Target, Fence)> = self
            .used_version
            .iter()
            .filter(|(key, version)| applied_everywhere(version) && self.healthy_since.contains_key(&key.0))
            .map(|(key, _)| key.clone())
            .collect();
        self.warming_since.retain(|key, _| warming.contains(key));
        for key in warming {
            self.warming_since.entry(key).or_insert(now);
        }
    }

    /// What a draining target waits for; `None` once it is drained.
    fn waits_to_drain(&self, context: &Context, target: &Target, fence: Fence) -> Option<String> {
        match target.kind {
            TargetKind::Backend => {
                let Some(since) = self.drained_version.get(&(target.clone(), fence)) else {
                    return Some("its drain to stand in the rules".into());
                };
                let blocker = |name: &String| self.may_still_send(context, name, &target.name, *since);
                self.last_heard.keys().find_map(blocker)
            }
            TargetKind::Proxy => match context.reports.get(&target.name) {
                Some(report) if report.out && report.open == 0 && report.held == 0 => None,
                Some(report) if report.out => {
                    Some(format!("{} requests that it has open", report.open.max(report.held)))
                }
                Some(_) => Some("its word that it sends clients away".into()),
                None => self.silent_proxy_is_idle(context, &target.name).err(),
            },
        }
    }

    /// Why a proxy may still send to a backend or have attempts in flight there; `None` if it can't.
    fn may_still_send(
        &self, context: &Context, proxy: &String, backend: &str, since: Version,
    ) -> Option<String> {
        match context.reports.get(proxy) {
            Some(report) if report.version < since => Some(format!("{proxy} to act on version {since}")),
            Some(report) => match report.held_at(backend) {
                Some(0) => None,
                Some(n) => Some(format!("{n} requests of {proxy} that are under way there")),
                None => Some(format!("{proxy} to say what it has there")),
            },
            None => self.silent_proxy_is_idle(context, proxy).err(),
        }
    }

    /// Checks that a silent proxy can't have requests in flight any more.
    fn silent_proxy_is_idle(&self, context: &Context, proxy: &String) -> Result<(), String> {
        let Some(max_silence) = context.max_silence() else {
            // A second process during an upgrade, or a proxy that has been forgotten: it is not a target itself.
            if is_guest(proxy) || !context.ledger.targets().contains_key(&Target::proxy(proxy)) {
                return Ok(());
            }
            return Err(format!(
                "{proxy}, which is silent and may serve without a lease: bring it back, or end it and say so with \
                 'sandgap fleet forget {proxy}'"
            ));
        };
        let last_heard = self.last_heard.get(proxy).copied().unwrap_or(context.view.led);
        match context.view.now >= last_heard + max_silence {
            true => Ok(()),
            false => Err(format!("{proxy}, which is silent, until its last request must have ended")),
        }
    }

    /// What a returning target waits for; `None` once it has been observed healthy for the length of its slow start.
    fn waits_to_return(&self, context: &Context, target: &Target, fence: Fence) -> Option<String> {
        let key = (target.clone(), fence);
        let Some(version) = self.used_version.get(&key) else {
            return Some("the rules to use it again".into());
        };
        if target.kind == TargetKind::Proxy && context.reports.get(&target.name).is_none_or(|n| n.out) {
            return Some("the proxy to be heard, taking clients".into());
        }
        let Some(since) = self.warming_since.get(&key) else {
            let behind = context.reports.iter().find(|(_, n)| n.version < *version).map(|(name, _)| name);
            return Some(match behind {
                Some(name) => format!("{name} to act on version {version}"),
                None => "being reached from most voters".into(),
            });
        };
        let warm = match target.kind {
            TargetKind::Backend => {
                Duration::from_secs_f64(context.rules.limits.warm_ms.clamp(0.0, 1e7) / 1000.0)
            }
            TargetKind::Proxy => Duration::ZERO,
        };
        let until = *since + warm.max(STABLE_TIME);
        (context.view.now < until).then(|| "being warm".to_owned())
    }

    /// What each target that is out waits for, as far as this voter can tell.
    pub fn explain(&self, ledger: &Ledger, view: &LeaderView) -> Vec<(Target, String)> {
        let Some(rules) = self.rules(view) else { return Vec::new() };
        let reports = reports_of_live_proxies(view);
        let context = Context { ledger, view, rules, rules_version: view.machine.standing(), reports };
        let wait = |(target, fence, phase): (&Target, Fence, Phase)| {
            let for_what = match phase {
                Phase::Granted => self.waits_to_drain(&context, target, fence),
                Phase::Drained(_) => Some("its holder to bring it back".into()),
                Phase::Returning => self.waits_to_return(&context, target, fence),
            };
            Some((target.clone(), for_what?))
        };
        ledger.granted().filter_map(wait).collect()
    }
}

/// Measured load and capacity; `None` until a voter has reported capacities.
fn evidence(context: &Context) -> Option<Evidence> {
    let load = context.reports.values().map(|n| u64::from(n.held) * 1000).sum();
    let mut reported: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for (name, holds) in context.reports.values().flat_map(|n| n.holds.iter().cloned()) {
        reported.entry(name).or_default().push(holds);
    }
    // Median of the reported estimates; the lower one if their number is even.
    let lower_median = |mut estimates: Vec<u64>| {
        estimates.sort_unstable();
        estimates[(estimates.len() - 1) / 2]
    };
    let holds: BTreeMap<String, u64> =
        reported.into_iter().map(|(name, estimates)| (name, lower_median(estimates))).collect();
    (!holds.is_empty()).then_some(Evidence { load, holds })
}

/// Rules that drain or undrain the targets of permits; `None` if the rules in force do so already.
fn required_rules(context: &Context) -> Option<RiderProposal> {
    let mut rules = Rulebook::clone(&context.rules);
    let listed =
        |name: &str| context.rules.backends.as_ref().is_none_or(|all| all.iter().any(|b| b.name == name));
    let (mut drained, mut undrained) = (Vec::new(), Vec::new());
    for (target, _, phase) in context.ledger.granted().filter(|(t, ..)| t.kind == TargetKind::Backend) {
        match phase {
            Phase::Granted | Phase::Drained(_)
                if listed(&target.name) && rules.drained.insert(target.name.clone()) =>
            {
                drained.push(target.name.as_str());
            }
            Phase::Returning if rules.drained.remove(&target.name) => undrained.push(target.name.as_str()),
            _ => {}
        }
    }
    if drained.is_empty() && undrained.is_empty() {
        return None;
    }
    let part = |what: &str, names: &[&str]| match names {
        [] => None,
        names => Some(format!("{what} {}", names.join(", "))),
    };
    let why: Vec<String> =
        [part("drain", &drained), part("undrain", &undrained)].into_iter().flatten().collect();
    Some(RiderProposal::Rules(Box::new(rules), format!("permits: {}", why.join("; "))))
}
