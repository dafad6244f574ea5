//! What a leader does about releases: asks for the permits that are due, watches waves, halts, turns back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sandgap_fleet::Time;

use crate::gate::{Ended, Finding, Gate, Terms};
use crate::ledger::{Asking, Entry, Ledger};
use crate::limits::RELEASING;
use crate::news::News;
use crate::release::{Plan, Release, Stage, number_of};
use crate::target::{Side, Target};

/// Who halts where a gate has found.
pub const GATE: &str = "the gate";
/// Priority of what a release asks for, and of what a way back does: hands' own is between them.
const PRIORITY: (u8, u8) = (3, 7);

/// What a leader remembers of releases. A new one begins with none of it: a soak and a gate begin anew.
#[derive(Debug, Default)]
pub struct Steer {
    watched: BTreeMap<u64, Watched>,
}

#[derive(Debug, Default)]
struct Watched {
    wave: usize,
    /// Since when the wave is through.
    since: Option<Time>,
    gate: Gate,
    /// Has ended and not been looked at: a look wants some of both.
    old: Ended,
    new: Ended,
    /// Each proxy's last counts: the cohort's number, at the cohort, at all.
    last: BTreeMap<String, (u64, Ended, Ended)>,
}

/// Backends that run a release which is judged, and the number that changes with them.
pub fn cohort(ledger: &Ledger) -> Option<(u64, Vec<String>)> {
    let judged = |r: &&Release| {
        matches!(r.stage, Stage::Wave(_) | Stage::Soaking(_)) && side(&r.plan) == Side::Backend
    };
    let release = ledger.releases().find(judged)?;
    let names: Vec<String> = ledger.released(release).map(|t| t.name.clone()).collect();
    let number = number_of(&format!("{} {}", release.plan.id, names.join(" ")));
    Some((number, names))
}

fn side(plan: &Plan) -> Side {
    plan.targets().next().map_or(Side::Backend, |t| t.side)
}

fn terms(plan: &Plan) -> Terms {
    Terms::new(f64::from(plan.margin.clamp(1, 999)) / 1000.0)
}

impl Steer {
    /// What is wanted in the log now.
    pub fn lead(&mut self, ledger: &Ledger, now: Time, live: &BTreeMap<&String, News>) -> Vec<Entry> {
        let active: Vec<&Release> = ledger.releases().filter(|r| !r.stage.has_ended()).collect();
        let kept: BTreeSet<u64> = active.iter().map(|r| r.plan.id).collect();
        self.watched.retain(|id, _| kept.contains(id));
        active.into_iter().flat_map(|r| self.one(ledger, r, now, live)).collect()
    }

    fn one(
        &mut self, ledger: &Ledger, release: &Release, now: Time, live: &BTreeMap<&String, News>,
    ) -> Vec<Entry> {
        let id = release.plan.id;
        if let Stage::Halted { by, back: false, .. } = &release.stage
            && by == GATE
            && release.plan.backs
        {
            return vec![Entry::TurnBack { release: id, by: "the plan".into() }];
        }
        if let Some(bad) = self.watch(ledger, release, live) {
            return vec![bad];
        }
        match &release.stage {
            Stage::GoingBack if ledger.is_through(release) => {
                vec![Entry::Advance { release: id, to: Stage::WentBack, seen: None }]
            }
            Stage::Wave(k) if ledger.is_through(release) => {
                vec![Entry::Advance { release: id, to: Stage::Soaking(*k), seen: None }]
            }
            Stage::Wave(_) | Stage::GoingBack => asks(ledger, release),
            Stage::Soaking(k) => self.soak(ledger, release, *k, now).into_iter().collect(),
            _ => Vec::new(),
        }
    }

    /// Takes in what has ended since the last look; a halt, if that shows that the release is worse.
    fn watch(&mut self, ledger: &Ledger, release: &Release, live: &BTreeMap<&String, News>) -> Option<Entry> {
        let (Stage::Wave(wave) | Stage::Soaking(wave)) = release.stage else { return None };
        let watched = self.watched.entry(release.plan.id).or_default();
        if watched.wave != wave {
            *watched = Watched { wave, ..Watched::default() }; // each wave by itself: a zone may be what it fails in
        }
        match side(&release.plan) {
            Side::Backend => watched.at_backends(cohort(ledger)?.0, live),
            Side::Proxy => watched.at_proxies(&ledger.released(release).map(|t| &t.name).collect(), live),
        }
        let terms = terms(&release.plan);
        if watched.old.all > 0 && watched.new.all > 0 {
            watched.gate.look(terms, std::mem::take(&mut watched.old), std::mem::take(&mut watched.new));
        }
        if watched.gate.finding(terms) != Finding::Bad {
            return None;
        }
        let (old, new) = watched.gate.seen();
        let why = format!("{} of {} failed, {} of {} elsewhere", new.failed, new.all, old.failed, old.all);
        Some(Entry::Hold { release: release.plan.id, by: GATE.into(), why })
    }

    /// Whether a wave has been watched for long enough, and what follows.
    fn soak(&mut self, ledger: &Ledger, release: &Release, wave: usize, now: Time) -> Option<Entry> {
        let plan = &release.plan;
        let watched = self.watched.get_mut(&plan.id)?;
        let since = *watched.since.get_or_insert(now);
        let soaked = since + Duration::from_millis(plan.soak_ms);
        if now < soaked {
            return None;
        }
        let to = if wave + 1 < plan.waves.len() { Stage::Wave(wave + 1) } else { Stage::Done };
        let passes = || Entry::Advance { release: plan.id, to: to.clone(), seen: Some(watched.gate.seen()) };
        if watched.gate.finding(terms(plan)) == Finding::Good {
            return Some(passes());
        }
        if now < soaked + Duration::from_millis(plan.patience_ms) {
            return None;
        }
        // Where nothing is left that runs what was before, there is nothing to hold it against.
        let runs_old = |t: &&Target| t.side == side(plan) && ledger.runs(release, t) != plan.to;
        if ledger.targets().keys().any(|t| runs_old(&t)) {
            let why = "no finding in time: too few requests to tell it from what was before".into();
            return Some(Entry::Hold { release: plan.id, by: "want of a finding".into(), why });
        }
        Some(passes())
    }
}

impl Watched {
    fn at_backends(&mut self, number: u64, live: &BTreeMap<&String, News>) {
        for (name, news) in live {
            let Some((set, new)) = news.cohort.filter(|(set, _)| *set == number) else { continue };
            let before = self.last.insert((*name).clone(), (set, new, news.ended));
            let Some((_, old_new, old_all)) = before.filter(|(old, ..)| *old == set) else { continue };
            if let (Some(new), Some(all)) = (new.since(old_new), news.ended.since(old_all)) {
                self.new = self.new.and(new);
                self.old = self.old.and(all.since(new).unwrap_or_default());
            }
        }
    }

    fn at_proxies(&mut self, released: &BTreeSet<&String>, live: &BTreeMap<&String, News>) {
        for (name, news) in live {
            let set = u64::from(released.contains(name));
            let before = self.last.insert((*name).clone(), (set, Ended::default(), news.ended));
            let since = before.filter(|(old, ..)| *old == set).and_then(|(_, _, all)| news.ended.since(all));
            let Some(since) = since else { continue };
            let cohort = if set == 1 { &mut self.new } else { &mut self.old };
            *cohort = cohort.and(since);
        }
    }
}

/// Wishes for the targets that are due, one each: a target that can't go holds up no other.
fn asks(ledger: &Ledger, release: &Release) -> Vec<Entry> {
    let back = release.stage == Stage::GoingBack;
    let used = ledger.permits().filter(|p| p.asking.release.is_some()).count();
    let room = RELEASING.saturating_sub(used);
    let ask = |target: Target| {
        let plan = &release.plan;
        Entry::Ask(Asking {
            id: ledger.wish_for(plan.id, &target),
            holder: format!("release {}", plan.name),
            why: if back { format!("back to {}", plan.from) } else { format!("to {}", plan.to) },
            priority: if back { PRIORITY.1 } else { PRIORITY.0 },
            targets: BTreeSet::from([target]),
            waits: true,
            beyond: None,
            release: Some(plan.id),
        })
    };
    ledger.due(release).into_iter().take(room).map(ask).collect()
}
