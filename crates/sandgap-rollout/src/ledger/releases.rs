//! Releases in the ledger: stage transitions and the permits that a release needs.

use std::collections::BTreeSet;

use sandgap_agree::limits::truncate_text;

use super::{Entry, Fence, Ledger, Permit, Phase, Refusal, Verdict};
use crate::gate::AttemptCounts;
use crate::limits::{MAX_PLAN_TARGETS, MAX_RELEASE_PERMITS, MAX_RELEASES, MAX_WAVES};
use crate::release::{Plan, Release, Stage, hash_text};
use crate::target::Target;

type Applied = Result<Verdict, Refusal>;

impl Ledger {
    /// All stored releases, including ended ones.
    pub fn releases(&self) -> impl Iterator<Item = &Release> {
        self.releases.values()
    }

    /// The release with this id.
    pub fn release(&self, id: u64) -> Option<&Release> {
        self.releases.get(&id)
    }

    /// Version that a target runs: the one last reported by its holder, otherwise the version that the plan names as
    /// running before the release.
    pub fn runs<'a>(&'a self, release: &'a Release, target: &Target) -> &'a str {
        self.runs.get(target).map_or(&release.plan.from, String::as_str)
    }

    /// Targets of a release that run its new version.
    pub fn targets_running<'a>(&'a self, release: &'a Release) -> impl Iterator<Item = &'a Target> {
        release.plan.targets().filter(move |t| self.runs(release, t) == release.plan.to)
    }

    /// The permit of a release for a target, waiting or granted.
    pub fn permit_for(&self, release: u64, target: &Target) -> Option<&Permit> {
        let of = |p: &&Permit| p.request.release == Some(release) && p.request.targets.contains(target);
        self.permits.values().find(of)
    }

    /// Targets that a release still has to take out in its current stage and that have no permit yet.
    pub fn targets_due(&self, release: &Release) -> Vec<Target> {
        let id = release.plan.id;
        let needs_permit = |t: &&Target| self.permit_for(id, t).is_none() && self.targets.contains_key(*t);
        match &release.stage {
            Stage::Wave(k) => {
                let wave = release.plan.waves.get(*k).into_iter().flatten();
                wave.filter(|t| self.runs(release, t) != release.plan.to)
                    .filter(needs_permit)
                    .cloned()
                    .collect()
            }
            Stage::RollingBack => {
                let mut all: Vec<Target> =
                    self.targets_running(release).filter(needs_permit).cloned().collect();
                all.reverse();
                all
            }
            _ => Vec::new(),
        }
    }

    /// Whether all targets of the current stage have changed and are back in service.
    pub fn stage_complete(&self, release: &Release) -> bool {
        let id = release.plan.id;
        let settled = |t: &Target| self.permit_for(id, t).is_none();
        match &release.stage {
            Stage::Wave(k) => release.plan.waves.get(*k).into_iter().flatten().all(|t| {
                !self.targets.contains_key(t) || settled(t) && self.runs(release, t) == release.plan.to
            }),
            Stage::RollingBack => {
                release.plan.targets().all(settled)
                    && self.targets_running(release).all(|t| !self.targets.contains_key(t))
            }
            _ => false,
        }
    }

    /// Request id under which a leader requests a target. It changes with each request and grant, so that a withdrawn
    /// request is not repeated under its old id, which has ended.
    pub fn request_id_for(&self, release: u64, target: &Target) -> u64 {
        hash_text(&format!("{release} {target} {} {}", self.last_fence, self.last_order))
    }

    /// Whether the stage of the permit's release allows the grant; true for permits without a release.
    pub(super) fn release_allows_grant(&self, permit: &Permit) -> bool {
        let Some(id) = permit.request.release else { return true };
        self.releases.get(&id).is_some_and(|r| r.stage.takes_out())
    }

    /// Checks a leader's request for a release: one per target, and at most [`MAX_RELEASE_PERMITS`] in total.
    pub(super) fn check_release_request(&self, id: u64, targets: &BTreeSet<Target>) -> Result<(), Refusal> {
        let release = self.releases.get(&id).ok_or(Refusal::NoRelease)?;
        let releasing = self.permits.values().filter(|p| p.request.release.is_some()).count();
        let duplicate = targets.iter().any(|t| self.permit_for(id, t).is_some());
        match duplicate || releasing >= MAX_RELEASE_PERMITS || !release.stage.takes_out() {
            true => Err(Refusal::Full),
            false => Ok(()),
        }
    }

    pub(super) fn plan(&mut self, plan: Plan) -> Applied {
        if self.releases.contains_key(&plan.id) {
            return Ok(Verdict::Done);
        }
        self.check_plan(&plan)?;
        if self.releases.len() >= MAX_RELEASES {
            let ended = self.releases.iter().find(|(_, r)| r.stage.has_ended()).map(|(id, _)| *id);
            let full = || Refusal::Plan(format!("{MAX_RELEASES} releases are under way: end one"));
            self.releases.remove(&ended.ok_or_else(full)?);
        }
        let [name, from, to, by, why] =
            [&plan.name, &plan.from, &plan.to, &plan.by, &plan.why].map(|t| truncate_text(t));
        self.record_line(
            format!("{by} plans release '{name}' ({why}): {from} to {to} in {} waves", plan.waves.len()),
            false,
        );
        let plan = Plan { name, from, to, by, why, ..plan };
        self.releases.insert(plan.id, Release { plan, stage: Stage::Planned });
        Ok(Verdict::Done)
    }

    fn check_plan(&self, plan: &Plan) -> Result<(), Refusal> {
        let invalid = |what: String| Err(Refusal::Plan(what));
        let all: Vec<&Target> = plan.targets().collect();
        if all.is_empty() || plan.waves.iter().any(Vec::is_empty) {
            return invalid("a wave without a target: name some in each".into());
        }
        if plan.waves.len() > MAX_WAVES || all.len() > MAX_PLAN_TARGETS {
            return invalid(format!(
                "{MAX_WAVES} waves and {MAX_PLAN_TARGETS} targets at most: plan two releases"
            ));
        }
        if plan.from == plan.to || plan.to.is_empty() {
            return invalid("it has to lead from one release to another".into());
        }
        if all.iter().collect::<BTreeSet<_>>().len() < all.len() {
            return invalid("a target stands in it twice: name each once".into());
        }
        if all.iter().any(|t| t.kind != all[0].kind) {
            return invalid("proxies and backends in one: plan them apart".into());
        }
        if let Some(unknown) = all.iter().find(|t| !self.targets.contains_key(t)) {
            return Err(Refusal::Unknown((*unknown).clone()));
        }
        if self.releases.values().any(|r| r.plan.name == plan.name && !r.stage.has_ended()) {
            return invalid(format!("'{}' is the name of one under way: choose another", plan.name));
        }
        let in_active_release = |t: &&&Target| {
            self.releases.values().any(|r| !r.stage.has_ended() && r.plan.targets().any(|o| o == **t))
        };
        if let Some(target) = all.iter().find(in_active_release) {
            return invalid(format!("{target} is part of a release under way: end that first"));
        }
        for target in all {
            self.set_fits_bounds_alone(&BTreeSet::from([target.clone()]))?;
        }
        Ok(())
    }

    fn set_stage(
        &mut self, id: u64, follows: impl Fn(&Stage) -> Option<Stage>,
    ) -> Result<&mut Release, Refusal> {
        let release = self.releases.get_mut(&id).ok_or(Refusal::NoRelease)?;
        let next = follows(&release.stage).ok_or_else(|| Refusal::Stage {
            name: release.plan.name.clone(),
            stage: release.stage.to_string(),
        })?;
        release.stage = next;
        Ok(release)
    }

    fn record_stage(&mut self, id: u64, by: &str) {
        if let Some(release) = self.releases.get(&id) {
            let text = format!("release '{}': {} ({})", release.plan.name, release.stage, truncate_text(by));
            self.record_line(text, false);
        }
    }

    pub(super) fn begin(&mut self, id: u64, by: &str) -> Applied {
        self.set_stage(id, |s| (*s == Stage::Planned).then_some(Stage::Wave(0)))?;
        self.record_stage(id, by);
        Ok(Verdict::Done)
    }

    pub(super) fn halt_release(&mut self, id: u64, by: &str, why: &str) -> Applied {
        let (who, why) = (truncate_text(by), truncate_text(why));
        self.set_stage(id, |s| match s {
            Stage::Wave(wave) | Stage::Soaking(wave) => {
                Some(Stage::Halted { by: who.clone(), why: why.clone(), wave: *wave, back: false })
            }
            Stage::RollingBack => {
                Some(Stage::Halted { by: who.clone(), why: why.clone(), wave: 0, back: true })
            }
            Stage::Halted { .. } => Some(s.clone()),
            _ => None,
        })?;
        self.return_undrained(id);
        self.record_stage(id, by);
        Ok(Verdict::Done)
    }

    pub(super) fn resume_release(&mut self, id: u64, by: &str) -> Applied {
        self.set_stage(id, |s| match s {
            Stage::Halted { back: true, .. } => Some(Stage::RollingBack),
            Stage::Halted { wave, .. } => Some(Stage::Wave(*wave)),
            _ => None,
        })?;
        self.record_stage(id, by);
        Ok(Verdict::Done)
    }

    pub(super) fn roll_back(&mut self, id: u64, by: &str) -> Applied {
        self.set_stage(id, |s| match s {
            Stage::Planned | Stage::RolledBack => None,
            _ => Some(Stage::RollingBack),
        })?;
        self.return_undrained(id);
        self.record_stage(id, by);
        Ok(Verdict::Done)
    }

    /// Returns the release's targets that are not drained yet and withdraws its waiting requests. Drained targets are
    /// returned by their holder.
    fn return_undrained(&mut self, id: u64) {
        let (mut waiting, mut returning): (Vec<u64>, Vec<(Target, Fence)>) = Default::default();
        for permit in self.permits.values().filter(|p| p.request.release == Some(id)) {
            match &permit.grant {
                None => waiting.push(permit.request.id),
                Some((fence, all)) => {
                    let undrained = all.iter().filter(|(_, phase)| **phase == Phase::Granted);
                    returning.extend(undrained.map(|(t, _)| (t.clone(), *fence)));
                }
            }
        }
        for (target, fence) in returning {
            if let Some(phase) = self.phase_mut(&target, fence) {
                *phase = Phase::Returning;
            }
        }
        for id in waiting {
            self.apply(Entry::Withdraw { id, by: "the release".into() });
        }
    }

    /// Applies a leader's proposal to advance a release, if it is a valid transition. The ledger checks what it knows
    /// itself; for the soak time and the gate it trusts the leader.
    pub(super) fn advance(
        &mut self, id: u64, to: Stage, seen: Option<(AttemptCounts, AttemptCounts)>,
    ) -> Verdict {
        let Some(release) = self.releases.get(&id) else { return Verdict::Done };
        let last = release.plan.waves.len() - 1;
        let follows = match (&release.stage, &to) {
            (Stage::Wave(k), Stage::Soaking(next)) => k == next && self.stage_complete(release),
            (Stage::Soaking(k), Stage::Wave(next)) => *next == k + 1 && *k < last,
            (Stage::Soaking(k), Stage::Done) => *k == last,
            (Stage::RollingBack, Stage::RolledBack) => self.stage_complete(release),
            _ => false,
        };
        if follows && let Some(release) = self.releases.get_mut(&id) {
            release.stage = to;
            let seen = seen.map_or(String::new(), |(old, new)| {
                format!(
                    "; before it {} of {} failed, with it {} of {}",
                    old.failed, old.all, new.failed, new.all
                )
            });
            self.record_stage(id, &format!("the fleet{seen}"));
        }
        Verdict::Done
    }
}
