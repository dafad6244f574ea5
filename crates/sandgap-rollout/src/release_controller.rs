//! Leader logic for releases: requests the permits that are due, observes waves, halts and rolls back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sandgap_fleet::Time;

use crate::gate::{Ended, ErrorLimits, Finding, Gate};
use crate::ledger::{Asking, Entry, Ledger};
use crate::limits::MAX_RELEASE_PERMITS;
use crate::news::News;
use crate::release::{Plan, Release, Stage, hash_text};
use crate::target::{Side, Target};

/// Name given as the author of a halt by the gate; it marks halts that may be rolled back automatically.
pub const GATE: &str = "the gate";
/// Permit priorities of a release and of a rollback; the default priority of operators' requests, 5, is between them.
const PRIORITY: (u8, u8) = (3, 7);

/// Leader state about releases. It is not replicated: after an election the soak and the gate start again.
#[derive(Debug, Default)]
pub struct ReleaseController {
    /// State of the current wave of each release, by release id.
    waves: BTreeMap<u64, WaveState>,
}

#[derive(Debug, Default)]
struct WaveState {
    /// Index of the wave.
    wave: usize,
    /// Start of the soak.
    soak_start: Option<Time>,
    gate: Gate,
    /// Attempts that have ended and are not yet passed to the gate, which needs some of both groups.
    old: Ended,
    new: Ended,
    /// Last counts of each proxy: cohort id, attempts at the cohort, all attempts.
    last_counts: BTreeMap<String, (u64, Ended, Ended)>,
}

/// Backends that run the release under test, with an id that changes with the set of backends.
pub fn cohort(ledger: &Ledger) -> Option<(u64, Vec<String>)> {
    let under_test = |r: &&Release| {
        matches!(r.stage, Stage::Wave(_) | Stage::Soaking(_)) && side(&r.plan) == Side::Backend
    };
    let release = ledger.releases().find(under_test)?;
    let names: Vec<String> = ledger.released(release).map(|t| t.name.clone()).collect();
    let cohort_id = hash_text(&format!("{} {}", release.plan.id, names.join(" ")));
    Some((cohort_id, names))
}

fn side(plan: &Plan) -> Side {
    plan.targets().next().map_or(Side::Backend, |t| t.side)
}

fn error_limits(plan: &Plan) -> ErrorLimits {
    ErrorLimits::new(f64::from(plan.margin.clamp(1, 999)) / 1000.0)
}

impl ReleaseController {
    /// Entries that the leader proposes now for all active releases.
    pub fn lead(&mut self, ledger: &Ledger, now: Time, live: &BTreeMap<&String, News>) -> Vec<Entry> {
        let active: Vec<&Release> = ledger.releases().filter(|r| !r.stage.has_ended()).collect();
        let active_ids: BTreeSet<u64> = active.iter().map(|r| r.plan.id).collect();
        self.waves.retain(|id, _| active_ids.contains(id));
        active.into_iter().flat_map(|r| self.propose(ledger, r, now, live)).collect()
    }

    fn propose(
        &mut self, ledger: &Ledger, release: &Release, now: Time, live: &BTreeMap<&String, News>,
    ) -> Vec<Entry> {
        let id = release.plan.id;
        if let Stage::Halted { by, back: false, .. } = &release.stage
            && by == GATE
            && release.plan.backs
        {
            return vec![Entry::TurnBack { release: id, by: "the plan".into() }];
        }
        if let Some(halt) = self.observe(ledger, release, live) {
            return vec![halt];
        }
        match &release.stage {
            Stage::GoingBack if ledger.stage_complete(release) => {
                vec![Entry::Advance { release: id, to: Stage::WentBack, seen: None }]
            }
            Stage::Wave(k) if ledger.stage_complete(release) => {
                vec![Entry::Advance { release: id, to: Stage::Soaking(*k), seen: None }]
            }
            Stage::Wave(_) | Stage::GoingBack => permit_requests(ledger, release),
            Stage::Soaking(k) => self.finish_soak(ledger, release, *k, now).into_iter().collect(),
            _ => Vec::new(),
        }
    }

    /// Adds the attempts that ended since the last look; returns a halt if the gate finds the release worse.
    fn observe(
        &mut self, ledger: &Ledger, release: &Release, live: &BTreeMap<&String, News>,
    ) -> Option<Entry> {
        let (Stage::Wave(wave) | Stage::Soaking(wave)) = release.stage else { return None };
        let state = self.waves.entry(release.plan.id).or_default();
        if state.wave != wave {
            // Each wave is tested separately, because the release may fail in one zone only.
            *state = WaveState { wave, ..WaveState::default() };
        }
        match side(&release.plan) {
            Side::Backend => state.count_at_backends(cohort(ledger)?.0, live),
            Side::Proxy => state.count_at_proxies(&ledger.released(release).map(|t| &t.name).collect(), live),
        }
        let limits = error_limits(&release.plan);
        if state.old.all > 0 && state.new.all > 0 {
            state.gate.update(limits, std::mem::take(&mut state.old), std::mem::take(&mut state.new));
        }
        if state.gate.finding(limits) != Finding::Bad {
            return None;
        }
        let (old, new) = state.gate.seen();
        let why = format!("{} of {} failed, {} of {} elsewhere", new.failed, new.all, old.failed, old.all);
        Some(Entry::Hold { release: release.plan.id, by: GATE.into(), why })
    }

    /// Returns the next stage, or a halt, once the soak time is over.
    fn finish_soak(&mut self, ledger: &Ledger, release: &Release, wave: usize, now: Time) -> Option<Entry> {
        let plan = &release.plan;
        let state = self.waves.get_mut(&plan.id)?;
        let soak_start = *state.soak_start.get_or_insert(now);
        let soak_end = soak_start + Duration::from_millis(plan.soak_ms);
        if now < soak_end {
            return None;
        }
        let to = if wave + 1 < plan.waves.len() { Stage::Wave(wave + 1) } else { Stage::Done };
        let advance = || Entry::Advance { release: plan.id, to: to.clone(), seen: Some(state.gate.seen()) };
        if state.gate.finding(error_limits(plan)) == Finding::Good {
            return Some(advance());
        }
        if now < soak_end + Duration::from_millis(plan.patience_ms) {
            return None;
        }
        // If no target runs the old version any more, there is nothing to compare with.
        let runs_old = |t: &&Target| t.side == side(plan) && ledger.runs(release, t) != plan.to;
        if ledger.targets().keys().any(|t| runs_old(&t)) {
            let why = "no finding in time: too few requests to tell it from what was before".into();
            return Some(Entry::Hold { release: plan.id, by: "want of a finding".into(), why });
        }
        Some(advance())
    }
}

impl WaveState {
    /// Adds the difference to the last counts of each proxy: attempts at the cohort, and at all other backends.
    fn count_at_backends(&mut self, cohort_id: u64, live: &BTreeMap<&String, News>) {
        for (name, news) in live {
            let Some((current_id, new)) = news.cohort.filter(|(id, _)| *id == cohort_id) else { continue };
            let before = self.last_counts.insert((*name).clone(), (current_id, new, news.ended));
            let Some((_, old_new, old_all)) = before.filter(|(old_id, ..)| *old_id == current_id) else {
                continue;
            };
            if let (Some(new), Some(all)) = (new.since(old_new), news.ended.since(old_all)) {
                self.new = self.new.and(new);
                self.old = self.old.and(all.since(new).unwrap_or_default());
            }
        }
    }

    /// Adds the difference to the last counts of each proxy, by whether the proxy runs the release.
    fn count_at_proxies(&mut self, released: &BTreeSet<&String>, live: &BTreeMap<&String, News>) {
        for (name, news) in live {
            let set = u64::from(released.contains(name));
            let before = self.last_counts.insert((*name).clone(), (set, Ended::default(), news.ended));
            let new_counts =
                before.filter(|(old, ..)| *old == set).and_then(|(_, _, all)| news.ended.since(all));
            let Some(new_counts) = new_counts else { continue };
            let cohort = if set == 1 { &mut self.new } else { &mut self.old };
            *cohort = cohort.and(new_counts);
        }
    }
}

/// One request per target that is due, so that a blocked target does not delay others.
fn permit_requests(ledger: &Ledger, release: &Release) -> Vec<Entry> {
    let rollback = release.stage == Stage::GoingBack;
    let used = ledger.permits().filter(|p| p.asking.release.is_some()).count();
    let available = MAX_RELEASE_PERMITS.saturating_sub(used);
    let request = |target: Target| {
        let plan = &release.plan;
        Entry::Ask(Asking {
            id: ledger.request_id_for(plan.id, &target),
            holder: format!("release {}", plan.name),
            why: if rollback { format!("back to {}", plan.from) } else { format!("to {}", plan.to) },
            priority: if rollback { PRIORITY.1 } else { PRIORITY.0 },
            targets: BTreeSet::from([target]),
            waits: true,
            beyond: None,
            release: Some(plan.id),
        })
    };
    ledger.due(release).into_iter().take(available).map(request).collect()
}
