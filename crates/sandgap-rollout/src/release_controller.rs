//! Leader logic for releases: requests the permits that are due, compares targets with and without the release, and
//! proposes to advance, halt or roll back a release.
//!
//! The log entries are named differently: [`Entry::HaltRelease`] halts one release, [`Entry::Halt`] halts all grants of
//! permits, and [`Entry::RollBack`] starts the rollback of a release.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sandgap_fleet::Time;

use crate::gate::{AttemptCounts, ErrorLimits, Finding, Gate};
use crate::ledger::{Entry, Ledger, PermitRequest};
use crate::limits::MAX_RELEASE_PERMITS;
use crate::messages::ProxyReport;
use crate::release::{Plan, Release, Stage, hash_text};
use crate::target::{Target, TargetKind};

/// Author (`by`) of a halt that the gate has caused. Only a release that was halted by this author may be rolled back
/// without an operator, see [`Plan::auto_rollback`].
pub const GATE: &str = "the gate";
/// Priorities of permits: first for a release, then for a rollback. The default priority of operators' requests, 5, is
/// between them.
const RELEASE_AND_ROLLBACK_PRIORITY: (u8, u8) = (3, 7);

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
    /// When this leader first saw the wave soaking.
    soak_start: Option<Time>,
    gate: Gate,
    /// Ended attempts without the release that have not been passed to the gate yet; it needs some of both groups at
    /// once.
    old: AttemptCounts,
    /// The same, of attempts with the release.
    new: AttemptCounts,
    /// Counts of each proxy's last report: the group's id, ended attempts with the release, all ended attempts. For a
    /// release of backends the group is the cohort; for one of proxies the id is 1 if the proxy runs the release, else
    /// 0, and the second value is not used.
    last_counts: BTreeMap<String, (u64, AttemptCounts, AttemptCounts)>,
}

/// Backends that run the release under test, with an id that changes with the set of backends.
pub fn cohort(ledger: &Ledger) -> Option<(u64, Vec<String>)> {
    let under_test = |r: &&Release| {
        matches!(r.stage, Stage::Wave(_) | Stage::Soaking(_)) && kind(&r.plan) == TargetKind::Backend
    };
    let release = ledger.releases().find(under_test)?;
    let names: Vec<String> = ledger.targets_running(release).map(|t| t.name.clone()).collect();
    let cohort_id = hash_text(&format!("{} {}", release.plan.id, names.join(" ")));
    Some((cohort_id, names))
}

fn kind(plan: &Plan) -> TargetKind {
    plan.targets().next().map_or(TargetKind::Backend, |t| t.kind)
}

fn error_limits(plan: &Plan) -> ErrorLimits {
    ErrorLimits::new(f64::from(plan.margin.clamp(1, 999)) / 1000.0)
}

impl ReleaseController {
    /// Entries that the leader proposes now for all active releases. `reports` has the last report of each proxy that
    /// may hold a lease.
    pub fn lead(
        &mut self, ledger: &Ledger, now: Time, reports: &BTreeMap<&String, ProxyReport>,
    ) -> Vec<Entry> {
        let active: Vec<&Release> = ledger.releases().filter(|r| !r.stage.has_ended()).collect();
        let active_ids: BTreeSet<u64> = active.iter().map(|r| r.plan.id).collect();
        self.waves.retain(|id, _| active_ids.contains(id));
        active.into_iter().flat_map(|r| self.propose(ledger, r, now, reports)).collect()
    }

    fn propose(
        &mut self, ledger: &Ledger, release: &Release, now: Time, reports: &BTreeMap<&String, ProxyReport>,
    ) -> Vec<Entry> {
        let id = release.plan.id;
        if let Stage::Halted { by, back: false, .. } = &release.stage
            && by == GATE
            && release.plan.auto_rollback
        {
            // The gate halted the release, and the plan allows an automatic rollback.
            return vec![Entry::RollBack { release: id, by: "the plan".into() }];
        }
        if let Some(halt) = self.observe(ledger, release, reports) {
            return vec![halt];
        }
        match &release.stage {
            Stage::RollingBack if ledger.stage_complete(release) => {
                vec![Entry::Advance { release: id, to: Stage::RolledBack, seen: None }]
            }
            Stage::Wave(k) if ledger.stage_complete(release) => {
                vec![Entry::Advance { release: id, to: Stage::Soaking(*k), seen: None }]
            }
            Stage::Wave(_) | Stage::RollingBack => permit_requests(ledger, release),
            Stage::Soaking(k) => self.finish_soak(ledger, release, *k, now).into_iter().collect(),
            _ => Vec::new(),
        }
    }

    /// Passes the attempts that ended since the last round to the gate. Returns an entry that halts the release if the
    /// gate finds that it fails more often than the old version.
    fn observe(
        &mut self, ledger: &Ledger, release: &Release, reports: &BTreeMap<&String, ProxyReport>,
    ) -> Option<Entry> {
        let (Stage::Wave(wave) | Stage::Soaking(wave)) = release.stage else { return None };
        let state = self.waves.entry(release.plan.id).or_default();
        if state.wave != wave {
            // Each wave is tested separately, because the release may fail in one zone only.
            *state = WaveState { wave, ..WaveState::default() };
        }
        match kind(&release.plan) {
            TargetKind::Backend => state.count_at_backends(cohort(ledger)?.0, reports),
            TargetKind::Proxy => {
                state.count_at_proxies(&ledger.targets_running(release).map(|t| &t.name).collect(), reports)
            }
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
        Some(Entry::HaltRelease { release: release.plan.id, by: GATE.into(), why })
    }

    /// Once the soak time is over, returns an entry that advances the release to its next stage, or one that halts it
    /// if the gate has reached no finding within the plan's patience.
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
        // The gate is still undecided. If no target runs the old version any more, there is nothing to compare with,
        // and the release advances; otherwise it is halted.
        let runs_old = |t: &&Target| t.kind == kind(plan) && ledger.runs(release, t) != plan.to;
        if ledger.targets().keys().any(|t| runs_old(&t)) {
            let why = "no finding in time: too few requests to tell it from what was before".into();
            return Some(Entry::HaltRelease { release: plan.id, by: "want of a finding".into(), why });
        }
        Some(advance())
    }
}

impl WaveState {
    /// Adds the attempts that each proxy has counted since its last report: those at the cohort to `new`, those at all
    /// other backends to `old`.
    fn count_at_backends(&mut self, cohort_id: u64, reports: &BTreeMap<&String, ProxyReport>) {
        for (name, report) in reports {
            let Some((current_id, at_cohort)) = report.cohort.filter(|(id, _)| *id == cohort_id) else {
                continue;
            };
            let before = self.last_counts.insert((*name).clone(), (current_id, at_cohort, report.ended));
            let Some((_, last_at_cohort, last_at_all)) =
                before.filter(|(last_id, ..)| *last_id == current_id)
            else {
                continue;
            };
            // `None` if the proxy has restarted since.
            if let (Some(new), Some(all)) = (at_cohort.since(last_at_cohort), report.ended.since(last_at_all))
            {
                self.new = self.new.plus(new);
                self.old = self.old.plus(all.since(new).unwrap_or_default());
            }
        }
    }

    /// Adds the attempts that each proxy has counted since its last report: to `new` if the proxy runs the release,
    /// else to `old`.
    fn count_at_proxies(&mut self, released: &BTreeSet<&String>, reports: &BTreeMap<&String, ProxyReport>) {
        for (name, report) in reports {
            let group = u64::from(released.contains(name));
            let before =
                self.last_counts.insert((*name).clone(), (group, AttemptCounts::default(), report.ended));
            let new_counts = before
                .filter(|(last, ..)| *last == group)
                .and_then(|(_, _, last_all)| report.ended.since(last_all));
            let Some(new_counts) = new_counts else { continue };
            let total = if group == 1 { &mut self.new } else { &mut self.old };
            *total = total.plus(new_counts);
        }
    }
}

/// Requests for permits: one for each target that is due, so that a blocked target does not delay others.
fn permit_requests(ledger: &Ledger, release: &Release) -> Vec<Entry> {
    let rollback = release.stage == Stage::RollingBack;
    let (release_priority, rollback_priority) = RELEASE_AND_ROLLBACK_PRIORITY;
    let used = ledger.permits().filter(|p| p.request.release.is_some()).count();
    let available = MAX_RELEASE_PERMITS.saturating_sub(used);
    let request = |target: Target| {
        let plan = &release.plan;
        Entry::RequestPermit(PermitRequest {
            id: ledger.request_id_for(plan.id, &target),
            holder: format!("release {}", plan.name),
            why: if rollback { format!("back to {}", plan.from) } else { format!("to {}", plan.to) },
            priority: if rollback { rollback_priority } else { release_priority },
            targets: BTreeSet::from([target]),
            waits: true,
            bypass_reason: None,
            release: Some(plan.id),
        })
    };
    ledger.targets_due(release).into_iter().take(available).map(request).collect()
}
