//! Releases in the ledger: what may follow what.

use std::collections::BTreeSet;

use sandgap_agree::limits::cut;

use super::{Entry, Fence, Ledger, Permit, Phase, Refusal, Verdict};
use crate::gate::Ended;
use crate::limits::{PLANNED, RELEASES, RELEASING, WAVES};
use crate::release::{Plan, Release, Stage, number_of};
use crate::target::Target;

type Done = Result<Verdict, Refusal>;

impl Ledger {
    /// All releases that are kept.
    pub fn releases(&self) -> impl Iterator<Item = &Release> {
        self.releases.values()
    }

    /// One of them.
    pub fn release(&self, id: u64) -> Option<&Release> {
        self.releases.get(&id)
    }

    /// What a target runs, as far as a release is concerned: what its holder told last, else what the plan says that all
    /// run before it.
    pub fn runs<'a>(&'a self, release: &'a Release, target: &Target) -> &'a str {
        self.runs.get(target).map_or(&release.plan.from, String::as_str)
    }

    /// Targets of a release that run it.
    pub fn released<'a>(&'a self, release: &'a Release) -> impl Iterator<Item = &'a Target> {
        release.plan.targets().filter(move |t| self.runs(release, t) == release.plan.to)
    }

    /// The permit that a release has for a target, waiting or granted.
    pub fn permit_for(&self, release: u64, target: &Target) -> Option<&Permit> {
        let of = |p: &&Permit| p.asking.release == Some(release) && p.asking.targets.contains(target);
        self.permits.values().find(of)
    }

    /// Targets that a release has still to take out where it is, without a permit yet.
    pub fn due(&self, release: &Release) -> Vec<Target> {
        let id = release.plan.id;
        let wanting = |t: &&Target| self.permit_for(id, t).is_none() && self.targets.contains_key(*t);
        match &release.stage {
            Stage::Wave(k) => {
                let wave = release.plan.waves.get(*k).into_iter().flatten();
                wave.filter(|t| self.runs(release, t) != release.plan.to).filter(wanting).cloned().collect()
            }
            Stage::GoingBack => {
                let mut all: Vec<Target> = self.released(release).filter(wanting).cloned().collect();
                all.reverse();
                all
            }
            _ => Vec::new(),
        }
    }

    /// Whether all that a release takes out where it is has changed and is back.
    pub fn is_through(&self, release: &Release) -> bool {
        let id = release.plan.id;
        let settled = |t: &Target| self.permit_for(id, t).is_none();
        match &release.stage {
            Stage::Wave(k) => release.plan.waves.get(*k).into_iter().flatten().all(|t| {
                !self.targets.contains_key(t) || settled(t) && self.runs(release, t) == release.plan.to
            }),
            Stage::GoingBack => {
                release.plan.targets().all(settled)
                    && self.released(release).all(|t| !self.targets.contains_key(t))
            }
            _ => false,
        }
    }

    /// The number under which a leader asks for a target. Another once anything has been asked for or granted: a wish
    /// that was given up is not made again under its old number, which has ended.
    pub fn wish_for(&self, release: u64, target: &Target) -> u64 {
        number_of(&format!("{release} {target} {} {}", self.fences, self.orders))
    }

    /// Whether a permit may be granted as far as its release goes.
    pub(super) fn may_act(&self, permit: &Permit) -> bool {
        let Some(id) = permit.asking.release else { return true };
        self.releases.get(&id).is_some_and(|r| r.stage.takes_out())
    }

    /// A leader asks for a release: once for each target, and within bounds.
    pub(super) fn asks_for(&self, id: u64, targets: &BTreeSet<Target>) -> Result<(), Refusal> {
        let release = self.releases.get(&id).ok_or(Refusal::NoRelease)?;
        let releasing = self.permits.values().filter(|p| p.asking.release.is_some()).count();
        let doubled = targets.iter().any(|t| self.permit_for(id, t).is_some());
        match doubled || releasing >= RELEASING || !release.stage.takes_out() {
            true => Err(Refusal::Full),
            false => Ok(()),
        }
    }

    pub(super) fn plan(&mut self, plan: Plan) -> Done {
        if self.releases.contains_key(&plan.id) {
            return Ok(Verdict::Done);
        }
        self.check(&plan)?;
        if self.releases.len() >= RELEASES {
            let ended = self.releases.iter().find(|(_, r)| r.stage.has_ended()).map(|(id, _)| *id);
            let full = || Refusal::Plan(format!("{RELEASES} releases are under way: end one"));
            self.releases.remove(&ended.ok_or_else(full)?);
        }
        let [name, from, to, by, why] =
            [&plan.name, &plan.from, &plan.to, &plan.by, &plan.why].map(|t| cut(t));
        self.line(
            format!("{by} plans release '{name}' ({why}): {from} to {to} in {} waves", plan.waves.len()),
            false,
        );
        let plan = Plan { name, from, to, by, why, ..plan };
        self.releases.insert(plan.id, Release { plan, stage: Stage::Planned });
        Ok(Verdict::Done)
    }

    fn check(&self, plan: &Plan) -> Result<(), Refusal> {
        let wrong = |what: String| Err(Refusal::Plan(what));
        let all: Vec<&Target> = plan.targets().collect();
        if all.is_empty() || plan.waves.iter().any(Vec::is_empty) {
            return wrong("a wave without a target: name some in each".into());
        }
        if plan.waves.len() > WAVES || all.len() > PLANNED {
            return wrong(format!("{WAVES} waves and {PLANNED} targets at most: plan two releases"));
        }
        if plan.from == plan.to || plan.to.is_empty() {
            return wrong("it has to lead from one release to another".into());
        }
        if all.iter().collect::<BTreeSet<_>>().len() < all.len() {
            return wrong("a target stands in it twice: name each once".into());
        }
        if all.iter().any(|t| t.side != all[0].side) {
            return wrong("proxies and backends in one: plan them apart".into());
        }
        if let Some(unknown) = all.iter().find(|t| !self.targets.contains_key(t)) {
            return Err(Refusal::Unknown((*unknown).clone()));
        }
        if self.releases.values().any(|r| r.plan.name == plan.name && !r.stage.has_ended()) {
            return wrong(format!("'{}' is the name of one under way: choose another", plan.name));
        }
        let taken = |t: &&&Target| {
            self.releases.values().any(|r| !r.stage.has_ended() && r.plan.targets().any(|o| o == **t))
        };
        if let Some(target) = all.iter().find(taken) {
            return wrong(format!("{target} is part of a release under way: end that first"));
        }
        for target in all {
            self.could_ever(&BTreeSet::from([target.clone()]))?;
        }
        Ok(())
    }

    fn stage(&mut self, id: u64, follows: impl Fn(&Stage) -> Option<Stage>) -> Result<&mut Release, Refusal> {
        let release = self.releases.get_mut(&id).ok_or(Refusal::NoRelease)?;
        let next = follows(&release.stage).ok_or_else(|| Refusal::Stage {
            name: release.plan.name.clone(),
            stage: release.stage.to_string(),
        })?;
        release.stage = next;
        Ok(release)
    }

    fn said(&mut self, id: u64, by: &str) {
        if let Some(release) = self.releases.get(&id) {
            let text = format!("release '{}': {} ({})", release.plan.name, release.stage, cut(by));
            self.line(text, false);
        }
    }

    pub(super) fn begin(&mut self, id: u64, by: &str) -> Done {
        self.stage(id, |s| (*s == Stage::Planned).then_some(Stage::Wave(0)))?;
        self.said(id, by);
        Ok(Verdict::Done)
    }

    pub(super) fn hold(&mut self, id: u64, by: &str, why: &str) -> Done {
        let (who, why) = (cut(by), cut(why));
        self.stage(id, |s| match s {
            Stage::Wave(wave) | Stage::Soaking(wave) => {
                Some(Stage::Halted { by: who.clone(), why: why.clone(), wave: *wave, back: false })
            }
            Stage::GoingBack => {
                Some(Stage::Halted { by: who.clone(), why: why.clone(), wave: 0, back: true })
            }
            Stage::Halted { .. } => Some(s.clone()),
            _ => None,
        })?;
        self.rest(id);
        self.said(id, by);
        Ok(Verdict::Done)
    }

    pub(super) fn go_on(&mut self, id: u64, by: &str) -> Done {
        self.stage(id, |s| match s {
            Stage::Halted { back: true, .. } => Some(Stage::GoingBack),
            Stage::Halted { wave, .. } => Some(Stage::Wave(*wave)),
            _ => None,
        })?;
        self.said(id, by);
        Ok(Verdict::Done)
    }

    pub(super) fn turn_back(&mut self, id: u64, by: &str) -> Done {
        self.stage(id, |s| match s {
            Stage::Planned | Stage::WentBack => None,
            _ => Some(Stage::GoingBack),
        })?;
        self.rest(id);
        self.said(id, by);
        Ok(Verdict::Done)
    }

    /// What a release has not emptied comes back as it is, and what it waits for is given up. What is its holder's comes
    /// back by its holder.
    fn rest(&mut self, id: u64) {
        let (mut given_up, mut returning): (Vec<u64>, Vec<(Target, Fence)>) = Default::default();
        for permit in self.permits.values().filter(|p| p.asking.release == Some(id)) {
            match &permit.grant {
                None => given_up.push(permit.asking.id),
                Some((fence, all)) => {
                    let early = all.iter().filter(|(_, phase)| **phase == Phase::Granted);
                    returning.extend(early.map(|(t, _)| (t.clone(), *fence)));
                }
            }
        }
        for (target, fence) in returning {
            if let Some(phase) = self.phase_mut(&target, fence) {
                *phase = Phase::Returning;
            }
        }
        for wish in given_up {
            self.apply(Entry::Withdraw { id: wish, by: "the release".into() });
        }
    }

    /// A leader's word that a stage is over, if the ledger finds so too; what only a leader sees, soak and gate, it has
    /// to be believed.
    pub(super) fn advance(&mut self, id: u64, to: Stage, seen: Option<(Ended, Ended)>) -> Verdict {
        let Some(release) = self.releases.get(&id) else { return Verdict::Done };
        let last = release.plan.waves.len() - 1;
        let follows = match (&release.stage, &to) {
            (Stage::Wave(k), Stage::Soaking(next)) => k == next && self.is_through(release),
            (Stage::Soaking(k), Stage::Wave(next)) => *next == k + 1 && *k < last,
            (Stage::Soaking(k), Stage::Done) => *k == last,
            (Stage::GoingBack, Stage::WentBack) => self.is_through(release),
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
            self.said(id, &format!("the fleet{seen}"));
        }
        Verdict::Done
    }
}
