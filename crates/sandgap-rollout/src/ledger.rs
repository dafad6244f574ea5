//! The replicated state machine: bounds, the known state of each target, permits and releases.
//!
//! A target is *out* from the grant of a permit for it until it has been observed back in service, or while it is
//! lost. Invariant in every state: no grant raises the number of targets that are out in any scope above its bound.
//! The ledger decides on grants itself, when their entry is applied; a leader only proposes them.
//!
//! Permits do not expire. If a holder dies, its targets stay out until an operator reports them returned and proxies
//! have observed them healthy.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sandgap_agree::limits::truncate_text;
use sandgap_agree::{Rulebook, Version};
use serde::{Deserialize, Serialize};

use crate::bounds::{Bound, BoundConflict, Evidence, Fleet, Limit};
use crate::gate::AttemptCounts;
use crate::limits::{
    ENDED_PERMITS, MAX_BOUNDS, MAX_OVERTAKES, MAX_PERMIT_TARGETS, MAX_PERMITS, MAX_TARGETS, RECORD_LINES,
};
use crate::release::{Plan, Release, Stage};
use crate::target::{Labels, Target, TargetKind};

/// Fencing token, incremented with each grant. A lower fence for a target belongs to a permit that has ended.
pub type Fence = u64;

/// A request to take a set of targets out, all of them or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Request id chosen by the client; a duplicate with the same id has no further effect.
    pub id: u64,
    /// Name of the requester.
    pub holder: String,
    /// Reason given by the requester.
    pub why: String,
    /// Higher priorities are granted first, except that a permit overtaken [`MAX_OVERTAKES`] times precedes them.
    pub priority: u8,
    /// Targets to take out.
    pub targets: BTreeSet<Target>,
    /// Waits for targets held by another permit instead of being refused.
    pub waits: bool,
    /// Reason for bypassing all bounds, if it does; kept in a separate record that ordinary lines do not push out.
    pub bypass_reason: Option<String>,
    /// The release that this request belongs to; only a leader may set it.
    pub release: Option<u64>,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// By an operator: requests a permit to take targets out.
    RequestPermit(PermitRequest),
    /// By an operator: withdraws a permit; targets that are out under it are returned to service.
    Withdraw {
        /// Request id.
        id: u64,
        /// Name of the operator.
        by: String,
    },
    /// By an operator: the holder has finished with a target, which runs again.
    Returned {
        /// The target.
        target: Target,
        /// Fence of the grant.
        fence: Fence,
        /// Version that the target runs now; required if it was out for a release.
        runs: Option<String>,
    },
    /// By an operator: adds a planned release.
    Plan(Box<Plan>),
    /// By an operator: starts a release.
    Begin {
        /// Id of the release.
        release: u64,
        /// Who requests this.
        by: String,
    },
    /// By an operator, or by a leader for the gate: halts a release; no further targets are taken out for it.
    HaltRelease {
        /// Id of the release.
        release: u64,
        /// Who requests this.
        by: String,
        /// Reason.
        why: String,
    },
    /// By an operator: resumes a halted release where it was halted.
    ResumeRelease {
        /// Id of the release.
        release: u64,
        /// Who requests this.
        by: String,
    },
    /// By an operator, or by a leader if the plan allows it: rolls back all targets that run the release.
    RollBack {
        /// Id of the release.
        release: u64,
        /// Who requests this.
        by: String,
    },
    /// By a leader: moves a release to its next stage.
    Advance {
        /// Id of the release.
        release: u64,
        /// The next stage.
        to: Stage,
        /// Observed attempts and failures: first of targets without the release, then of targets with it.
        seen: Option<(AttemptCounts, AttemptCounts)>,
    },
    /// By an operator: stops all grants; targets that are not fully drained yet return to service.
    Halt {
        /// Name of the operator.
        by: String,
        /// Reason.
        why: String,
    },
    /// By an operator: resumes grants after a halt.
    Resume {
        /// Name of the operator.
        by: String,
    },
    /// By an operator: replaces the bounds; an empty list removes them.
    Bounds {
        /// The complete new list.
        bounds: Vec<Bound>,
        /// Name of the operator.
        by: String,
        /// Reason.
        why: String,
    },
    /// By an operator: a proxy has terminated permanently.
    Forget {
        /// Name of the proxy.
        proxy: String,
        /// Who requests this.
        by: String,
    },
    /// By a leader: updates the known state of targets; `None` for a target that has left the fleet.
    UpdateTargets(Vec<(Target, Option<TargetState>)>),
    /// By a leader: proposes to grant a waiting permit.
    Grant {
        /// Request id of the permit.
        id: u64,
        /// Measured load and capacity, if a bound requires them.
        evidence: Option<Evidence>,
    },
    /// By a leader: no proxy sends to the target any more, and no request is in flight there.
    Drained {
        /// The target.
        target: Target,
        /// Fence of the grant.
        fence: Fence,
        /// Rules version since which all proxies treat the target as drained.
        version: Version,
    },
    /// By a leader: the target is back in service: reached by proxies, ready and past its slow start.
    Restored {
        /// The target.
        target: Target,
        /// Fence of the grant.
        fence: Fence,
    },
}

/// Known state of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// Labels that determine the scopes of bounds.
    pub labels: Labels,
    /// The target is silent, has not been observed healthy yet, or was drained without a permit; it counts as out.
    pub lost: bool,
}

/// Phase of a target that is out under a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The target is draining.
    Granted,
    /// The target is drained and handed to the holder; carries the rules version since which no proxy sends to it.
    Drained(Version),
    /// The target is returning to service and has not been observed healthy yet.
    Returning,
}

/// A permit, waiting or granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The request.
    pub request: PermitRequest,
    /// Sequence number among all requests.
    pub order: u64,
    /// Number of later requests that were granted first.
    pub overtaken: u32,
    /// Once granted: the fence, and the targets that are still out with their phase.
    pub grant: Option<(Fence, BTreeMap<Target, Phase>)>,
}

/// A line of the audit record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Sequence number of the line.
    pub number: u64,
    /// Description of the event.
    pub text: String,
}

/// Reason for a refusal; each message says what can be done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// No target is named.
    #[error("no target is named: name backends, or proxies as proxy:NAME")]
    Nothing,
    /// The request names more than [`MAX_PERMIT_TARGETS`] targets.
    #[error("{0} targets in one request, {MAX_PERMIT_TARGETS} at most: request fewer at once")]
    Large(usize),
    /// The fleet does not know the target.
    #[error(
        "'{0}' is no proxy or backend that the fleet knows: 'sandgap fleet outs' lists those that it does"
    )]
    Unknown(Target),
    /// The target is out under another permit.
    #[error(
        "{target} is out under permit {fence} of {holder} ({why}): wait for it with --wait, or ask {holder}"
    )]
    Held {
        /// The target.
        target: Target,
        /// Fence of the grant.
        fence: Fence,
        /// Holder of the permit.
        holder: String,
        /// Reason.
        why: String,
    },
    /// A bound does not allow it.
    #[error("{0}")]
    BoundConflict(#[from] BoundConflict),
    /// Too many permits, or a leader's request that its release does not allow now.
    #[error("{MAX_PERMITS} permits are waiting or granted, which is the maximum: withdraw unneeded ones")]
    Full,
    /// The permit is not known.
    #[error("no permit {0:x} is waiting or granted: it has ended or was never requested")]
    NoPermit(u64),
    /// This fence was never granted.
    #[error("permit {fence} was never granted for {target}: 'sandgap fleet outs' lists permits")]
    Stale {
        /// The target.
        target: Target,
        /// Fence of the grant.
        fence: Fence,
    },
    /// More than [`MAX_BOUNDS`] bounds.
    #[error("{0} bounds given, {MAX_BOUNDS} at most: remove some")]
    Bounds(usize),
    /// The version that the target runs is missing.
    #[error("{target} was out for release '{release}': say what it runs now, with --runs")]
    Runs {
        /// The target.
        target: Target,
        /// Name of the release.
        release: String,
    },
    /// The plan is invalid.
    #[error("the plan: {0}")]
    Plan(String),
    /// The release is not known.
    #[error("no such release: 'sandgap fleet release status' lists them")]
    NoRelease,
    /// The operation is not possible at the release's current stage.
    #[error("release '{name}' is at: {stage}; that can't follow")]
    Stage {
        /// Name of the release.
        name: String,
        /// Current stage.
        stage: String,
    },
    /// The proxy is not silent, so it can't be forgotten.
    #[error("proxy '{0}' is not silent: a running proxy can't be forgotten; stop it first")]
    Alive(String),
}

/// Result of applying an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The entry was applied, or changed nothing.
    Done,
    /// The permit waits, behind this number of others.
    Waits(usize),
    /// The permit is granted under this fence.
    Granted(Fence),
    /// The permit has ended; carries its fence, or 0 if it was never granted.
    Ended(Fence),
    /// The entry was refused.
    Refused(Refusal),
}

/// State built from the log: bounds, targets, permits, releases and the audit record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    bounds: Vec<Bound>,
    targets: BTreeMap<Target, TargetState>,
    /// Permits by sequence number.
    permits: BTreeMap<u64, Permit>,
    last_order: u64,
    last_fence: Fence,
    /// Who halted grants and the reason, while they are halted.
    halted: Option<(String, String)>,
    /// Releases by plan id.
    releases: BTreeMap<u64, Release>,
    /// Version that each target runs, as reported by its holder.
    runs: BTreeMap<Target, String>,
    /// Request id and fence of recently ended permits.
    ended: VecDeque<(u64, Fence)>,
    last_line: u64,
    record: VecDeque<Line>,
    /// Audit lines about permits that bypassed the bounds.
    bypass_record: VecDeque<Line>,
}

impl Ledger {
    /// The bounds in force.
    pub fn bounds(&self) -> &[Bound] {
        &self.bounds
    }

    /// All known targets.
    pub fn targets(&self) -> &BTreeMap<Target, TargetState> {
        &self.targets
    }

    /// All permits, in request order.
    pub fn permits(&self) -> impl Iterator<Item = &Permit> {
        self.permits.values()
    }

    /// Who halted grants and the reason, while they are halted.
    pub fn halted(&self) -> Option<&(String, String)> {
        self.halted.as_ref()
    }

    /// The audit record, oldest lines first; the second iterator has the lines about bypassed bounds.
    pub fn record(&self) -> (impl Iterator<Item = &Line>, impl Iterator<Item = &Line>) {
        (self.record.iter(), self.bypass_record.iter())
    }

    /// Returns the ledger without its audit record. The record affects no decision, so two ledgers that are equal
    /// without it decide alike.
    #[must_use]
    pub fn without_record(self) -> Self {
        Ledger { last_line: 0, record: VecDeque::new(), bypass_record: VecDeque::new(), ..self }
    }

    /// Whether there are no bounds, no permits and no active releases.
    pub fn is_idle(&self) -> bool {
        self.bounds.is_empty()
            && self.permits.is_empty()
            && self.releases.values().all(|r| r.stage.has_ended())
    }

    /// Targets that are out under a permit, with its fence and their phase.
    pub fn granted(&self) -> impl Iterator<Item = (&Target, Fence, Phase)> {
        let grants = self.permits.values().filter_map(|permit| permit.grant.as_ref());
        grants.flat_map(|(fence, phases)| phases.iter().map(move |(target, phase)| (target, *fence, *phase)))
    }

    /// Fence and phase of a target, if it is out under a permit.
    pub fn phase(&self, target: &Target) -> Option<(Fence, Phase)> {
        self.granted().find(|(t, ..)| *t == target).map(|(_, fence, phase)| (fence, phase))
    }

    /// All targets that are out under a permit or lost.
    pub fn out(&self) -> BTreeSet<Target> {
        let lost = self.targets.iter().filter(|(_, k)| k.lost).map(|(t, _)| t.clone());
        lost.chain(self.granted().map(|(t, ..)| t.clone())).collect()
    }

    /// Whether a bound requires measured load and capacity.
    pub fn wants_evidence(&self) -> bool {
        self.bounds.iter().any(|b| matches!(b.limit, Limit::Need { .. }))
    }

    /// Checks whether a waiting permit could be granted now, given the targets that are out and the measurements.
    ///
    /// # Errors
    /// The first conflict that prevents the grant.
    pub fn check_grant(&self, permit: &Permit, evidence: Option<&Evidence>) -> Result<(), Refusal> {
        if let Some(conflict) = self.conflicting_grant(&permit.request.targets) {
            return Err(conflict);
        }
        if permit.request.bypass_reason.is_some() {
            return Ok(());
        }
        let known = self.targets.iter().map(|(t, k)| (t.clone(), k.labels.clone())).collect();
        let out = self.out();
        let fleet = Fleet { known: &known, out: &out };
        fleet.check_out(&permit.request.targets, &self.bounds, evidence).map_err(Refusal::from)
    }

    /// Checks whether the bounds in force would allow a permit if no other target were out.
    ///
    /// # Errors
    /// The first bound that the permit can never satisfy.
    fn fits_bounds_alone(&self, permit: &Permit) -> Result<(), BoundConflict> {
        match permit.request.bypass_reason {
            Some(_) => Ok(()),
            None => self.set_fits_bounds_alone(&permit.request.targets),
        }
    }

    fn set_fits_bounds_alone(&self, targets: &BTreeSet<Target>) -> Result<(), BoundConflict> {
        let known = self.targets.iter().map(|(t, k)| (t.clone(), k.labels.clone())).collect();
        let static_bounds: Vec<Bound> =
            self.bounds.iter().filter(|b| !matches!(b.limit, Limit::Need { .. })).copied().collect();
        Fleet { known: &known, out: &BTreeSet::new() }.check_out(targets, &static_bounds, None)
    }

    /// The next permit to grant: the first in queue order that fits the bounds. A permit that has been overtaken too
    /// often blocks later ones for targets of the same kind, which prevents starvation.
    pub fn next_grant(&self, evidence: Option<&Evidence>) -> Option<u64> {
        if self.halted.is_some() {
            return None;
        }
        let mut blocked_kinds: BTreeSet<TargetKind> = BTreeSet::new();
        for permit in self.queue().into_iter().filter(|p| self.release_allows_grant(p)) {
            let kinds: BTreeSet<TargetKind> = permit.request.targets.iter().map(|t| t.kind).collect();
            if !kinds.is_disjoint(&blocked_kinds) {
                continue;
            }
            match self.check_grant(permit, evidence) {
                Ok(()) => return Some(permit.request.id),
                // A permit that can never fit the current bounds does not block others.
                Err(_) if permit.overtaken >= MAX_OVERTAKES && self.fits_bounds_alone(permit).is_ok() => {
                    blocked_kinds.extend(kinds)
                }
                Err(_) => {}
            }
        }
        None
    }

    /// Waiting permits in queue order: permits overtaken too often first, then by priority, then by age.
    fn queue(&self) -> Vec<&Permit> {
        let mut waiting: Vec<&Permit> = self.permits.values().filter(|p| p.grant.is_none()).collect();
        waiting
            .sort_by_key(|p| (p.overtaken < MAX_OVERTAKES, std::cmp::Reverse(p.request.priority), p.order));
        waiting
    }

    fn conflicting_grant(&self, targets: &BTreeSet<Target>) -> Option<Refusal> {
        let permits = self.permits.values().filter_map(|p| Some((p, p.grant.as_ref()?)));
        permits.flat_map(|(p, (fence, phases))| phases.keys().map(move |t| (p, *fence, t))).find_map(
            |(p, fence, t)| {
                let (holder, why) = (p.request.holder.clone(), p.request.why.clone());
                targets.contains(t).then(|| Refusal::Held { target: t.clone(), fence, holder, why })
            },
        )
    }

    /// Applies a committed entry.
    pub fn apply(&mut self, entry: Entry) -> Verdict {
        let verdict = match entry {
            Entry::RequestPermit(request) => self.request_permit(request),
            Entry::Withdraw { id, by } => self.withdraw(id, &by),
            Entry::Returned { target, fence, runs } => self.returned(&target, fence, runs),
            Entry::Plan(plan) => self.plan(*plan),
            Entry::Begin { release, by } => self.begin(release, &by),
            Entry::HaltRelease { release, by, why } => self.halt_release(release, &by, &why),
            Entry::ResumeRelease { release, by } => self.resume_release(release, &by),
            Entry::RollBack { release, by } => self.roll_back(release, &by),
            Entry::Advance { release, to, seen } => Ok(self.advance(release, to, seen)),
            Entry::Halt { by, why } => Ok(self.halt(truncate_text(&by), truncate_text(&why))),
            Entry::Resume { by } => {
                if self.halted.take().is_some() {
                    self.record_line(format!("{} lets grants go on", truncate_text(&by)), false);
                }
                Ok(Verdict::Done)
            }
            Entry::Bounds { bounds, by, why } => self.set_bounds(bounds, &by, &why),
            Entry::Forget { proxy, by } => self.forget(&proxy, &by),
            Entry::UpdateTargets(changes) => Ok(self.update_targets(changes)),
            Entry::Grant { id, evidence } => Ok(self.grant(id, evidence.as_ref())),
            Entry::Drained { target, fence, version } => Ok(self.drained(&target, fence, version)),
            Entry::Restored { target, fence } => Ok(self.restored(&target, fence)),
        };
        verdict.unwrap_or_else(Verdict::Refused)
    }

    fn request_permit(&mut self, request: PermitRequest) -> Result<Verdict, Refusal> {
        if let Some(verdict) = self.request_verdict(request.id) {
            return Ok(verdict);
        }
        match request.targets.len() {
            0 => return Err(Refusal::Nothing),
            n if n > MAX_PERMIT_TARGETS => return Err(Refusal::Large(n)),
            _ => {}
        }
        if let Some(unknown) = request.targets.iter().find(|t| !self.targets.contains_key(t)) {
            return Err(Refusal::Unknown(unknown.clone()));
        }
        if let Some(conflict) = self.conflicting_grant(&request.targets).filter(|_| !request.waits) {
            return Err(conflict);
        }
        if self.permits.len() >= MAX_PERMITS {
            return Err(Refusal::Full);
        }
        if let Some(release) = request.release {
            self.check_release_request(release, &request.targets)?;
        }
        self.last_order += 1;
        let (holder, why) = (truncate_text(&request.holder), truncate_text(&request.why));
        let bypass_reason = request.bypass_reason.as_deref().map(truncate_text);
        let request = PermitRequest { holder, why, bypass_reason, ..request };
        let permit = Permit { request, order: self.last_order, overtaken: 0, grant: None };
        self.fits_bounds_alone(&permit)?;
        let id = permit.request.id;
        self.permits.insert(self.last_order, permit);
        Ok(self.request_verdict(id).unwrap_or(Verdict::Done))
    }

    /// Current verdict for a request id that was seen before.
    fn request_verdict(&self, id: u64) -> Option<Verdict> {
        if let Some(permit) = self.permits.values().find(|p| p.request.id == id) {
            return Some(match &permit.grant {
                Some((fence, _)) => Verdict::Granted(*fence),
                None => Verdict::Waits(self.queue().iter().take_while(|p| p.request.id != id).count()),
            });
        }
        self.ended.iter().find(|(ended_id, _)| *ended_id == id).map(|(_, fence)| Verdict::Ended(*fence))
    }

    fn withdraw(&mut self, id: u64, by: &str) -> Result<Verdict, Refusal> {
        let order = self.permits.values().find(|p| p.request.id == id).map(|p| p.order);
        let Some(permit) = order.and_then(|order| self.permits.get_mut(&order)) else {
            return match self.request_verdict(id) {
                Some(ended) => Ok(ended),
                None => Err(Refusal::NoPermit(id)),
            };
        };
        let text = format!("{} gives up what {} asked for", truncate_text(by), permit.request.holder);
        match &mut permit.grant {
            Some((_, phases)) => phases.values_mut().for_each(|phase| *phase = Phase::Returning),
            None => {
                let order = permit.order;
                self.permits.remove(&order);
                self.remember_ended(id, 0);
            }
        }
        self.record_line(text, false);
        Ok(Verdict::Done)
    }

    fn remember_ended(&mut self, id: u64, fence: Fence) {
        if self.ended.len() == ENDED_PERMITS {
            self.ended.pop_front();
        }
        self.ended.push_back((id, fence));
    }

    fn phase_mut(&mut self, target: &Target, fence: Fence) -> Option<&mut Phase> {
        let grants = self.permits.values_mut().filter_map(|permit| permit.grant.as_mut());
        grants.filter(|(granted, _)| *granted == fence).find_map(|(_, phases)| phases.get_mut(target))
    }

    /// Applies a holder's report that it has finished with a target. An old fence has no effect, because the target may
    /// belong to another permit by now. A repeated report gets [`Verdict::Ended`].
    fn returned(&mut self, target: &Target, fence: Fence, runs: Option<String>) -> Result<Verdict, Refusal> {
        let last_fence = self.last_fence;
        let holds_target = |permit: &&Permit| {
            let grant = permit.grant.as_ref();
            grant.is_some_and(|(granted, phases)| *granted == fence && phases.contains_key(target))
        };
        let Some(permit) = self.permits.values().find(holds_target) else {
            return match fence <= last_fence {
                true => Ok(Verdict::Ended(fence)),
                false => Err(Refusal::Stale { target: target.clone(), fence }),
            };
        };
        if let (Some(release), None) = (permit.request.release.and_then(|id| self.releases.get(&id)), &runs) {
            return Err(Refusal::Runs { target: target.clone(), release: release.plan.name.clone() });
        }
        if let Some(runs) = runs {
            self.runs.insert(target.clone(), truncate_text(&runs));
        }
        if let Some(phase) = self.phase_mut(target, fence) {
            *phase = Phase::Returning;
        }
        Ok(Verdict::Done)
    }

    /// Halts all grants. Targets that are still draining return at once. A drained target belongs to its holder and may
    /// be stopped, so it counts as out until it is observed back.
    fn halt(&mut self, by: String, why: String) -> Verdict {
        let grants = self.permits.values_mut().filter_map(|permit| permit.grant.as_mut());
        for phase in grants.flat_map(|(_, phases)| phases.values_mut()).filter(|p| **p == Phase::Granted) {
            *phase = Phase::Returning;
        }
        self.record_line(format!("{by} halts: {why}"), false);
        self.halted = Some((by, why));
        Verdict::Done
    }

    fn set_bounds(&mut self, bounds: Vec<Bound>, by: &str, why: &str) -> Result<Verdict, Refusal> {
        if bounds.len() > MAX_BOUNDS {
            return Err(Refusal::Bounds(bounds.len()));
        }
        let texts: Vec<String> = bounds.iter().map(ToString::to_string).collect();
        let listed = if texts.is_empty() { "none".into() } else { texts.join("; ") };
        self.record_line(
            format!("{} sets bounds ({}): {listed}", truncate_text(by), truncate_text(why)),
            false,
        );
        self.bounds = bounds;
        Ok(Verdict::Done)
    }

    fn forget(&mut self, proxy: &str, by: &str) -> Result<Verdict, Refusal> {
        let target = Target::proxy(proxy);
        match self.targets.get(&target) {
            None => Err(Refusal::Unknown(target)),
            Some(known) if !known.lost => Err(Refusal::Alive(proxy.to_owned())),
            Some(_) => {
                self.remove_target(&target);
                self.record_line(
                    format!("{} says that proxy {proxy} has ended for good", truncate_text(by)),
                    false,
                );
                Ok(Verdict::Done)
            }
        }
    }

    fn update_targets(&mut self, changes: Vec<(Target, Option<TargetState>)>) -> Verdict {
        for (target, known) in changes {
            match known {
                None => self.remove_target(&target),
                Some(known) if self.targets.contains_key(&target) || self.targets.len() < MAX_TARGETS => {
                    self.targets.insert(target, known);
                }
                // Over the target limit, which is above the size of any fleet: a target that is not stored can't be
                // requested either.
                Some(_) => {}
            }
        }
        Verdict::Done
    }

    /// Removes a target that has left the fleet, also from its permits.
    fn remove_target(&mut self, target: &Target) {
        self.targets.remove(target);
        self.runs.remove(target);
        self.release_from_permits(target);
    }

    fn release_from_permits(&mut self, target: &Target) {
        let mut ended = Vec::new();
        for permit in self.permits.values_mut() {
            match &mut permit.grant {
                Some((fence, phases)) => {
                    if phases.remove(target).is_some() && phases.is_empty() {
                        ended.push((permit.order, permit.request.id, *fence));
                    }
                }
                None => {
                    if permit.request.targets.remove(target) && permit.request.targets.is_empty() {
                        ended.push((permit.order, permit.request.id, 0));
                    }
                }
            }
        }
        for (order, id, fence) in ended {
            self.permits.remove(&order);
            self.remember_ended(id, fence);
        }
    }

    /// Grants a permit if it is the next one in this state.
    fn grant(&mut self, id: u64, evidence: Option<&Evidence>) -> Verdict {
        if self.next_grant(evidence) != Some(id) {
            // The leader proposed it from an older state.
            return self.request_verdict(id).unwrap_or(Verdict::Done);
        }
        let Some(order) = self.permits.values().find(|p| p.request.id == id).map(|p| p.order) else {
            return Verdict::Done;
        };
        // Counts one more overtaking for each earlier request that still waits.
        for earlier in self.permits.range_mut(..order).map(|(_, p)| p).filter(|p| p.grant.is_none()) {
            earlier.overtaken = earlier.overtaken.saturating_add(1);
        }
        self.last_fence += 1;
        let fence = self.last_fence;
        let Some(permit) = self.permits.get_mut(&order) else { return Verdict::Done };
        let targets = permit.request.targets.iter().map(|t| (t.clone(), Phase::Granted)).collect();
        permit.grant = Some((fence, targets));
        let names: Vec<String> = permit.request.targets.iter().take(8).map(ToString::to_string).collect();
        let more = if permit.request.targets.len() > 8 { ", ..." } else { "" };
        let request = &permit.request;
        let bypass =
            request.bypass_reason.as_ref().map_or(String::new(), |b| format!(", past all bounds: {b}"));
        let text = format!(
            "permit {fence} of {} ({}): {}{more} out{bypass}",
            request.holder,
            request.why,
            names.join(", ")
        );
        let bypasses_bounds = request.bypass_reason.is_some();
        self.record_line(text, bypasses_bounds);
        Verdict::Granted(fence)
    }

    fn drained(&mut self, target: &Target, fence: Fence, version: Version) -> Verdict {
        if let Some(phase) = self.phase_mut(target, fence).filter(|p| **p == Phase::Granted) {
            *phase = Phase::Drained(version);
        }
        Verdict::Done
    }

    fn restored(&mut self, target: &Target, fence: Fence) -> Verdict {
        if self.phase_mut(target, fence).is_some_and(|p| *p == Phase::Returning) {
            self.release_from_permits(target);
            if let Some(known) = self.targets.get_mut(target) {
                known.lost = false;
            }
            self.record_line(format!("{target} is back from permit {fence}"), false);
        }
        Verdict::Done
    }

    fn record_line(&mut self, text: String, bypasses_bounds: bool) {
        self.last_line += 1;
        let line = Line { number: self.last_line, text };
        let lines = if bypasses_bounds { &mut self.bypass_record } else { &mut self.record };
        if lines.len() == RECORD_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// Checks a change of the rules; returns the reason if it is not allowed now. While bounds for backends are set,
    /// rules may drain a backend only under a permit, and remove, move or mark it as draining only once it is drained
    /// under a permit or lost. A backend that is out under a permit can't be undrained by the rules.
    pub fn rules_conflict(&self, old: &Rulebook, new: &Rulebook) -> Option<String> {
        let phase = |name: &String| self.phase(&Target::backend(name));
        for name in old.drained.difference(&new.drained) {
            if let Some((fence, Phase::Granted | Phase::Drained(_))) = phase(name) {
                return Some(format!(
                    "{name} is out under permit {fence}: 'sandgap fleet back {name}' takes it into use again"
                ));
            }
        }
        if !self.bounds.iter().any(|b| b.kind == TargetKind::Backend) {
            return None;
        }
        for name in new.drained.difference(&old.drained) {
            if !matches!(phase(name), Some((_, Phase::Granted | Phase::Drained(_)))) {
                return Some(format!(
                    "{name} would be drained without a permit: 'sandgap fleet out {name}' asks for one"
                ));
            }
        }
        let (Some(before), Some(after)) = (&old.backends, &new.backends) else { return None };
        let moved = before.iter().find(|b| {
            let unchanged = after
                .iter()
                .any(|a| a.name == b.name && a.address == b.address && (b.draining || !a.draining));
            let not_in_service = self.targets.get(&Target::backend(&b.name)).is_none_or(|k| k.lost);
            !unchanged && !not_in_service && !matches!(phase(&b.name), Some((_, Phase::Drained(_))))
        });
        let name = &moved?.name;
        Some(format!(
            "{name} would be taken out of use, or moved, while requests go there: 'sandgap fleet out {name} --wait' first"
        ))
    }

    /// Skips numbers that a lost majority may have assigned in the meantime, and halts grants.
    pub fn skip(&mut self, numbers: u64) {
        self.last_order += numbers;
        self.last_fence += numbers;
        self.halt(
            "the last resort".into(),
            "a majority of the voters is lost for good; what is out is uncertain".into(),
        );
    }
}

mod releases;
#[cfg(test)]
mod tests;
