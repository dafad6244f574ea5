//! What the log builds: bounds, what is known of each target, and permits.
//!
//! *Out* is whoever is under a granted permit, from its grant until it has been seen back, and whoever is lost. The
//! ledger keeps one promise in every state: no grant takes the number that is out in any scope past its bound. It
//! decides on grants itself, at their place in the log; what a leader thinks of them is a proposal.
//!
//! Nothing is given back by time. A holder that dies keeps its targets out until somebody says that they are back and
//! proxies have seen them well.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sandgap_agree::limits::cut;
use sandgap_agree::{Rulebook, Version};
use serde::{Deserialize, Serialize};

use crate::bounds::{Against, Bound, Evidence, Fleet, Most};
use crate::gate::Ended;
use crate::limits::{BOUNDS, ENDED, OVERTAKEN, PERMITS, RECORD, SET, TARGETS};
use crate::release::{Plan, Release, Stage};
use crate::target::{Labels, Side, Target};

/// Grows with each grant: whoever acts under a lower number for a target acts for a permit that has ended.
pub type Fence = u64;

/// A wish to take targets out, all or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asking {
    /// Drawn by whoever asks: the same wish that arrives twice counts once.
    pub id: u64,
    /// Who asks.
    pub holder: String,
    /// Why.
    pub why: String,
    /// Higher goes first, but see [`OVERTAKEN`].
    pub priority: u8,
    /// Which.
    pub targets: BTreeSet<Target>,
    /// Waits for targets that another permit holds, instead of being refused.
    pub waits: bool,
    /// Why no bound counts for it; in the record for good.
    pub beyond: Option<String>,
    /// The release that it is for; only a leader asks so.
    pub release: Option<u64>,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// By hand: somebody wants targets out.
    Ask(Asking),
    /// By hand: a permit is given up; what is out under it is brought back.
    Withdraw {
        /// The wish's number.
        id: u64,
        /// Who gives it up.
        by: String,
    },
    /// By hand: its holder is done with a target, which runs again.
    Returned {
        /// Which.
        target: Target,
        /// Under which grant.
        fence: Fence,
        /// What it runs now; has to be told where it was out for a release.
        runs: Option<String>,
    },
    /// By hand: a release is planned.
    Plan(Box<Plan>),
    /// By hand: it begins.
    Begin {
        /// Which.
        release: u64,
        /// Who says so.
        by: String,
    },
    /// By hand, or by a leader for the gate: nothing more goes out for a release.
    Hold {
        /// Which.
        release: u64,
        /// Who says so.
        by: String,
        /// Why.
        why: String,
    },
    /// By hand: it goes on where it was held.
    GoOn {
        /// Which.
        release: u64,
        /// Who says so.
        by: String,
    },
    /// By hand, or by a leader where the plan says so: all that run it go back.
    TurnBack {
        /// Which.
        release: u64,
        /// Who says so.
        by: String,
    },
    /// By a leader: a release is a stage further.
    Advance {
        /// Which.
        release: u64,
        /// To where.
        to: Stage,
        /// What was seen of what is not released and of what is, in failures of all.
        seen: Option<(Ended, Ended)>,
    },
    /// By hand: nothing goes out from here on, and what has not been emptied yet comes back.
    Halt {
        /// Who.
        by: String,
        /// Why.
        why: String,
    },
    /// By hand: grants go on.
    Resume {
        /// Who.
        by: String,
    },
    /// By hand: other bounds; none at all takes them off.
    Bounds {
        /// All of them.
        bounds: Vec<Bound>,
        /// Who sets them.
        by: String,
        /// Why.
        why: String,
    },
    /// By hand: a proxy has ended for good.
    Forget {
        /// Its name.
        proxy: String,
        /// Who says so.
        by: String,
    },
    /// By a leader: what is known of targets; nothing for one that is no part of the fleet any more.
    Seen(Vec<(Target, Option<Known>)>),
    /// By a leader: a permit that waits is due.
    Grant {
        /// Its wish's number.
        id: u64,
        /// What was measured, where a bound asks for it.
        evidence: Option<Evidence>,
    },
    /// By a leader: nobody sends anything there any more, and nothing is under way.
    Drained {
        /// Which.
        target: Target,
        /// Under which grant.
        fence: Fence,
        /// Since which version of the rules all proxies know that it takes nothing.
        version: Version,
    },
    /// By a leader: it is back, seen by proxies, ready and warm.
    Back {
        /// Which.
        target: Target,
        /// Under which grant.
        fence: Fence,
    },
}

/// What is known of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// By what bounds count it.
    pub labels: Labels,
    /// It is silent, not yet seen well, or taken out past all permits: it counts as out.
    pub lost: bool,
}

/// How far a target is that is out by intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It is being emptied.
    Granted,
    /// It is empty, and its holder's; the version of the rules since which nobody sends there.
    Drained(Version),
    /// It is taken into use again, and has not been seen well yet.
    Returning,
}

/// A permit, waiting or granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The wish.
    pub asking: Asking,
    /// Its place among all that were ever asked.
    pub order: u64,
    /// How often later ones went first.
    pub overtaken: u32,
    /// Once granted: its fence, and the targets that are still out.
    pub grant: Option<(Fence, BTreeMap<Target, Phase>)>,
}

/// A line of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Counted up.
    pub number: u64,
    /// What happened.
    pub text: String,
}

/// Why something is refused; each says what can be done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// No target is named.
    #[error("no target is named: name backends, or proxies as proxy:NAME")]
    Nothing,
    /// Too many are.
    #[error("{0} targets at once; {SET} at most: ask for a part of them")]
    Large(usize),
    /// Not a target.
    #[error(
        "'{0}' is no proxy or backend that the fleet knows: 'sandgap fleet outs' lists those that it does"
    )]
    Unknown(Target),
    /// It is out already.
    #[error(
        "{target} is out under permit {fence} of {holder} ({why}): wait for it with --wait, or ask {holder}"
    )]
    Held {
        /// Which.
        target: Target,
        /// Under which grant.
        fence: Fence,
        /// Whose.
        holder: String,
        /// Why.
        why: String,
    },
    /// A bound will always stand against it.
    #[error("{0}")]
    Against(#[from] Against),
    /// Too much is under way.
    #[error("{PERMITS} permits wait or are out already: withdraw some that nobody needs")]
    Full,
    /// There is no such permit.
    #[error("no permit {0:x} waits or is out: it has ended, or was never asked for")]
    NoPermit(u64),
    /// There was no such grant.
    #[error("no permit {fence} was ever granted for {target}: 'sandgap fleet outs' lists permits")]
    Stale {
        /// Which.
        target: Target,
        /// Under which grant.
        fence: Fence,
    },
    /// Not a set of bounds.
    #[error("{0} bounds; {BOUNDS} at most: leave some out")]
    Bounds(usize),
    /// Nobody said what it runs.
    #[error("{target} was out for release '{release}': say what it runs now, with --runs")]
    Runs {
        /// Which.
        target: Target,
        /// For which release.
        release: String,
    },
    /// Not a plan.
    #[error("the plan: {0}")]
    Plan(String),
    /// There is none.
    #[error("no such release: 'sandgap fleet release status' lists them")]
    NoRelease,
    /// Not from where it is.
    #[error("release '{name}' is at: {stage}; that can't follow")]
    Stage {
        /// Its name.
        name: String,
        /// Where it is.
        stage: String,
    },
    /// It is alive.
    #[error("proxy '{0}' is not silent: a proxy that runs is not forgotten; end it first")]
    Alive(String),
}

/// What an entry came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It was done, or changed nothing.
    Done,
    /// A permit waits, with so many before it.
    Waits(usize),
    /// A permit is granted, under this fence.
    Granted(Fence),
    /// It has ended, under this fence; 0 if it was never granted.
    Ended(Fence),
    /// It is not done.
    Refused(Refusal),
}

/// See the module.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    bounds: Vec<Bound>,
    targets: BTreeMap<Target, Known>,
    /// By order.
    permits: BTreeMap<u64, Permit>,
    orders: u64,
    fences: Fence,
    /// Who has halted grants, and why.
    halted: Option<(String, String)>,
    /// By the plan's number.
    releases: BTreeMap<u64, Release>,
    /// What targets run, as their holders told.
    runs: BTreeMap<Target, String>,
    /// Permits that have ended, by the wish's number, with their fence.
    ended: VecDeque<(u64, Fence)>,
    lines: u64,
    record: VecDeque<Line>,
    /// Lines about bounds that were passed by intent.
    beyond: VecDeque<Line>,
}

impl Ledger {
    /// What is set.
    pub fn bounds(&self) -> &[Bound] {
        &self.bounds
    }

    /// All that are known.
    pub fn targets(&self) -> &BTreeMap<Target, Known> {
        &self.targets
    }

    /// All permits, in the order in which they were asked for.
    pub fn permits(&self) -> impl Iterator<Item = &Permit> {
        self.permits.values()
    }

    /// Who has halted grants, and why.
    pub fn halted(&self) -> Option<&(String, String)> {
        self.halted.as_ref()
    }

    /// The record, older lines first; those about bounds that were passed by intent apart.
    pub fn record(&self) -> (impl Iterator<Item = &Line>, impl Iterator<Item = &Line>) {
        (self.record.iter(), self.beyond.iter())
    }

    /// The same without its record, which decides nothing: of two that are equal so each decides as the other.
    #[must_use]
    pub fn without_record(self) -> Self {
        Ledger { lines: 0, record: VecDeque::new(), beyond: VecDeque::new(), ..self }
    }

    /// Whether there is anything to look after.
    pub fn is_idle(&self) -> bool {
        self.bounds.is_empty()
            && self.permits.is_empty()
            && self.releases.values().all(|r| r.stage.has_ended())
    }

    /// Targets that are out by intent, with their permit's fence and how far they are.
    pub fn granted(&self) -> impl Iterator<Item = (&Target, Fence, Phase)> {
        let grants = self.permits.values().filter_map(|p| p.grant.as_ref());
        grants.flat_map(|(fence, all)| all.iter().map(move |(t, phase)| (t, *fence, *phase)))
    }

    /// How far a target is that is out by intent.
    pub fn phase(&self, target: &Target) -> Option<(Fence, Phase)> {
        self.granted().find(|(t, ..)| *t == target).map(|(_, fence, phase)| (fence, phase))
    }

    /// Everything that is out, by intent or by accident.
    pub fn out(&self) -> BTreeSet<Target> {
        let lost = self.targets.iter().filter(|(_, k)| k.lost).map(|(t, _)| t.clone());
        lost.chain(self.granted().map(|(t, ..)| t.clone())).collect()
    }

    /// Whether a bound asks for what is measured.
    pub fn wants_evidence(&self) -> bool {
        self.bounds.iter().any(|b| matches!(b.most, Most::Need { .. }))
    }

    /// Why a permit that waits could not be granted now, by what is out and measured.
    ///
    /// # Errors
    /// The first thing that stands against it.
    pub fn may_go(&self, permit: &Permit, evidence: Option<&Evidence>) -> Result<(), Refusal> {
        if let Some(held) = self.held(&permit.asking.targets) {
            return Err(held);
        }
        if permit.asking.beyond.is_some() {
            return Ok(());
        }
        let known = self.targets.iter().map(|(t, k)| (t.clone(), k.labels.clone())).collect();
        let out = self.out();
        let fleet = Fleet { known: &known, out: &out };
        fleet.may_go(&permit.asking.targets, &self.bounds, evidence).map_err(Refusal::from)
    }

    /// Whether a permit could be granted if nobody else were out, by the bounds that are set.
    ///
    /// # Errors
    /// The first of them that will always stand against it.
    fn could_go(&self, permit: &Permit) -> Result<(), Against> {
        match permit.asking.beyond {
            Some(_) => Ok(()),
            None => self.could_ever(&permit.asking.targets),
        }
    }

    fn could_ever(&self, set: &BTreeSet<Target>) -> Result<(), Against> {
        let known = self.targets.iter().map(|(t, k)| (t.clone(), k.labels.clone())).collect();
        let counts: Vec<Bound> =
            self.bounds.iter().filter(|b| !matches!(b.most, Most::Need { .. })).copied().collect();
        Fleet { known: &known, out: &BTreeSet::new() }.may_go(set, &counts, None)
    }

    /// The permit that is due next: of those that fit the first by priority and age, unless one that has been passed
    /// over too often waits for the same side.
    pub fn next(&self, evidence: Option<&Evidence>) -> Option<u64> {
        if self.halted.is_some() {
            return None;
        }
        let mut kept: BTreeSet<Side> = BTreeSet::new();
        for permit in self.queue().into_iter().filter(|p| self.may_act(p)) {
            let sides: BTreeSet<Side> = permit.asking.targets.iter().map(|t| t.side).collect();
            if !sides.is_disjoint(&kept) {
                continue;
            }
            match self.may_go(permit, evidence) {
                Ok(()) => return Some(permit.asking.id),
                // What will not fit as long as bounds are what they are keeps nobody waiting.
                Err(_) if permit.overtaken >= OVERTAKEN && self.could_go(permit).is_ok() => {
                    kept.extend(sides)
                }
                Err(_) => {}
            }
        }
        None
    }

    /// Permits that wait, in the order in which they are looked at.
    fn queue(&self) -> Vec<&Permit> {
        let mut all: Vec<&Permit> = self.permits.values().filter(|p| p.grant.is_none()).collect();
        all.sort_by_key(|p| (p.overtaken < OVERTAKEN, std::cmp::Reverse(p.asking.priority), p.order));
        all
    }

    fn held(&self, set: &BTreeSet<Target>) -> Option<Refusal> {
        let permits = self.permits.values().filter_map(|p| Some((p, p.grant.as_ref()?)));
        permits.flat_map(|(p, (fence, all))| all.keys().map(move |t| (p, *fence, t))).find_map(
            |(p, fence, t)| {
                let (holder, why) = (p.asking.holder.clone(), p.asking.why.clone());
                set.contains(t).then(|| Refusal::Held { target: t.clone(), fence, holder, why })
            },
        )
    }

    /// Applies an entry that a majority has.
    pub fn apply(&mut self, entry: Entry) -> Verdict {
        let done = match entry {
            Entry::Ask(asking) => self.ask(asking),
            Entry::Withdraw { id, by } => self.withdraw(id, &by),
            Entry::Returned { target, fence, runs } => self.returned(&target, fence, runs),
            Entry::Plan(plan) => self.plan(*plan),
            Entry::Begin { release, by } => self.begin(release, &by),
            Entry::Hold { release, by, why } => self.hold(release, &by, &why),
            Entry::GoOn { release, by } => self.go_on(release, &by),
            Entry::TurnBack { release, by } => self.turn_back(release, &by),
            Entry::Advance { release, to, seen } => Ok(self.advance(release, to, seen)),
            Entry::Halt { by, why } => Ok(self.halt(cut(&by), cut(&why))),
            Entry::Resume { by } => {
                if self.halted.take().is_some() {
                    self.line(format!("{} lets grants go on", cut(&by)), false);
                }
                Ok(Verdict::Done)
            }
            Entry::Bounds { bounds, by, why } => self.set_bounds(bounds, &by, &why),
            Entry::Forget { proxy, by } => self.forget(&proxy, &by),
            Entry::Seen(all) => Ok(self.seen(all)),
            Entry::Grant { id, evidence } => Ok(self.grant(id, evidence.as_ref())),
            Entry::Drained { target, fence, version } => Ok(self.drained(&target, fence, version)),
            Entry::Back { target, fence } => Ok(self.back(&target, fence)),
        };
        done.unwrap_or_else(Verdict::Refused)
    }

    fn ask(&mut self, asking: Asking) -> Result<Verdict, Refusal> {
        if let Some(known) = self.known(asking.id) {
            return Ok(known);
        }
        match asking.targets.len() {
            0 => return Err(Refusal::Nothing),
            n if n > SET => return Err(Refusal::Large(n)),
            _ => {}
        }
        if let Some(unknown) = asking.targets.iter().find(|t| !self.targets.contains_key(t)) {
            return Err(Refusal::Unknown(unknown.clone()));
        }
        if let Some(held) = self.held(&asking.targets).filter(|_| !asking.waits) {
            return Err(held);
        }
        if self.permits.len() >= PERMITS {
            return Err(Refusal::Full);
        }
        if let Some(release) = asking.release {
            self.asks_for(release, &asking.targets)?;
        }
        self.orders += 1;
        let (holder, why) = (cut(&asking.holder), cut(&asking.why));
        let beyond = asking.beyond.as_deref().map(cut);
        let asking = Asking { holder, why, beyond, ..asking };
        let permit = Permit { asking, order: self.orders, overtaken: 0, grant: None };
        self.could_go(&permit)?;
        let id = permit.asking.id;
        self.permits.insert(self.orders, permit);
        Ok(self.known(id).unwrap_or(Verdict::Done))
    }

    /// How a wish stands that was made before.
    fn known(&self, id: u64) -> Option<Verdict> {
        if let Some(permit) = self.permits.values().find(|p| p.asking.id == id) {
            return Some(match &permit.grant {
                Some((fence, _)) => Verdict::Granted(*fence),
                None => Verdict::Waits(self.queue().iter().take_while(|p| p.asking.id != id).count()),
            });
        }
        self.ended.iter().find(|(i, _)| *i == id).map(|(_, fence)| Verdict::Ended(*fence))
    }

    fn withdraw(&mut self, id: u64, by: &str) -> Result<Verdict, Refusal> {
        let order = self.permits.values().find(|p| p.asking.id == id).map(|p| p.order);
        let Some(permit) = order.and_then(|o| self.permits.get_mut(&o)) else {
            return match self.known(id) {
                Some(ended) => Ok(ended),
                None => Err(Refusal::NoPermit(id)),
            };
        };
        let text = format!("{} gives up what {} asked for", cut(by), permit.asking.holder);
        match &mut permit.grant {
            Some((_, all)) => all.values_mut().for_each(|phase| *phase = Phase::Returning),
            None => {
                let order = permit.order;
                self.permits.remove(&order);
                self.end(id, 0);
            }
        }
        self.line(text, false);
        Ok(Verdict::Done)
    }

    fn end(&mut self, id: u64, fence: Fence) {
        if self.ended.len() == ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back((id, fence));
    }

    fn phase_mut(&mut self, target: &Target, fence: Fence) -> Option<&mut Phase> {
        let grants = self.permits.values_mut().filter_map(|p| p.grant.as_mut());
        grants.filter(|(f, _)| *f == fence).find_map(|(_, all)| all.get_mut(target))
    }

    /// Under an old fence nothing is brought back: the target may be another's by now. A call that is repeated finds
    /// that it was heard.
    fn returned(&mut self, target: &Target, fence: Fence, runs: Option<String>) -> Result<Verdict, Refusal> {
        let given = self.fences;
        let under =
            |p: &&Permit| p.grant.as_ref().is_some_and(|(f, all)| *f == fence && all.contains_key(target));
        let Some(permit) = self.permits.values().find(under) else {
            return match fence <= given {
                true => Ok(Verdict::Ended(fence)),
                false => Err(Refusal::Stale { target: target.clone(), fence }),
            };
        };
        if let (Some(release), None) = (permit.asking.release.and_then(|id| self.releases.get(&id)), &runs) {
            return Err(Refusal::Runs { target: target.clone(), release: release.plan.name.clone() });
        }
        if let Some(runs) = runs {
            self.runs.insert(target.clone(), cut(&runs));
        }
        if let Some(phase) = self.phase_mut(target, fence) {
            *phase = Phase::Returning;
        }
        Ok(Verdict::Done)
    }

    /// What has not been emptied comes back at once. What is its holder's by now can't be hurried: it counts as out
    /// until it is seen back.
    fn halt(&mut self, by: String, why: String) -> Verdict {
        let grants = self.permits.values_mut().filter_map(|p| p.grant.as_mut());
        for phase in grants.flat_map(|(_, all)| all.values_mut()).filter(|p| **p == Phase::Granted) {
            *phase = Phase::Returning;
        }
        self.line(format!("{by} halts: {why}"), false);
        self.halted = Some((by, why));
        Verdict::Done
    }

    fn set_bounds(&mut self, bounds: Vec<Bound>, by: &str, why: &str) -> Result<Verdict, Refusal> {
        if bounds.len() > BOUNDS {
            return Err(Refusal::Bounds(bounds.len()));
        }
        let all: Vec<String> = bounds.iter().map(ToString::to_string).collect();
        let told = if all.is_empty() { "none".into() } else { all.join("; ") };
        self.line(format!("{} sets bounds ({}): {told}", cut(by), cut(why)), false);
        self.bounds = bounds;
        Ok(Verdict::Done)
    }

    fn forget(&mut self, proxy: &str, by: &str) -> Result<Verdict, Refusal> {
        let target = Target::proxy(proxy);
        match self.targets.get(&target) {
            None => Err(Refusal::Unknown(target)),
            Some(known) if !known.lost => Err(Refusal::Alive(proxy.to_owned())),
            Some(_) => {
                self.gone(&target);
                self.line(format!("{} says that proxy {proxy} has ended for good", cut(by)), false);
                Ok(Verdict::Done)
            }
        }
    }

    fn seen(&mut self, all: Vec<(Target, Option<Known>)>) -> Verdict {
        for (target, known) in all {
            match known {
                None => self.gone(&target),
                Some(known) if self.targets.contains_key(&target) || self.targets.len() < TARGETS => {
                    self.targets.insert(target, known);
                }
                Some(_) => {} // more than any fleet has: it can't be asked for either
            }
        }
        Verdict::Done
    }

    /// A target is no part of the fleet any more: nobody has to bring it back.
    fn gone(&mut self, target: &Target) {
        self.targets.remove(target);
        self.runs.remove(target);
        self.drop_target(target);
    }

    fn drop_target(&mut self, target: &Target) {
        let mut ended = Vec::new();
        for permit in self.permits.values_mut() {
            match &mut permit.grant {
                Some((fence, all)) => {
                    if all.remove(target).is_some() && all.is_empty() {
                        ended.push((permit.order, permit.asking.id, *fence));
                    }
                }
                None => {
                    if permit.asking.targets.remove(target) && permit.asking.targets.is_empty() {
                        ended.push((permit.order, permit.asking.id, 0));
                    }
                }
            }
        }
        for (order, id, fence) in ended {
            self.permits.remove(&order);
            self.end(id, fence);
        }
    }

    /// Grants a permit if it is the one that is due by this state.
    fn grant(&mut self, id: u64, evidence: Option<&Evidence>) -> Verdict {
        if self.next(evidence) != Some(id) {
            return self.known(id).unwrap_or(Verdict::Done); // of a leader that knew less
        }
        let Some(order) = self.permits.values().find(|p| p.asking.id == id).map(|p| p.order) else {
            return Verdict::Done;
        };
        // Whoever asked earlier and still waits has been passed over once more.
        for passed in self.permits.range_mut(..order).map(|(_, p)| p).filter(|p| p.grant.is_none()) {
            passed.overtaken = passed.overtaken.saturating_add(1);
        }
        self.fences += 1;
        let fence = self.fences;
        let Some(permit) = self.permits.get_mut(&order) else { return Verdict::Done };
        let targets = permit.asking.targets.iter().map(|t| (t.clone(), Phase::Granted)).collect();
        permit.grant = Some((fence, targets));
        let names: Vec<String> = permit.asking.targets.iter().take(8).map(ToString::to_string).collect();
        let more = if permit.asking.targets.len() > 8 { ", ..." } else { "" };
        let asking = &permit.asking;
        let past = asking.beyond.as_ref().map_or(String::new(), |b| format!(", past all bounds: {b}"));
        let text = format!(
            "permit {fence} of {} ({}): {}{more} out{past}",
            asking.holder,
            asking.why,
            names.join(", ")
        );
        let beyond = asking.beyond.is_some();
        self.line(text, beyond);
        Verdict::Granted(fence)
    }

    fn drained(&mut self, target: &Target, fence: Fence, version: Version) -> Verdict {
        if let Some(phase) = self.phase_mut(target, fence).filter(|p| **p == Phase::Granted) {
            *phase = Phase::Drained(version);
        }
        Verdict::Done
    }

    fn back(&mut self, target: &Target, fence: Fence) -> Verdict {
        if self.phase_mut(target, fence).is_some_and(|p| *p == Phase::Returning) {
            self.drop_target(target);
            if let Some(known) = self.targets.get_mut(target) {
                known.lost = false;
            }
            self.line(format!("{target} is back from permit {fence}"), false);
        }
        Verdict::Done
    }

    fn line(&mut self, text: String, beyond: bool) {
        self.lines += 1;
        let line = Line { number: self.lines, text };
        let room = if beyond { &mut self.beyond } else { &mut self.record };
        if room.len() == RECORD {
            room.pop_front();
        }
        room.push_back(line);
    }

    /// Why rules must not take the place of others now; nothing where they may. A backend leaves the rules, or is
    /// drained by them, only under a permit, and nobody brings one back that is another's.
    pub fn bars(&self, old: &Rulebook, new: &Rulebook) -> Option<String> {
        let phase = |name: &String| self.phase(&Target::backend(name));
        for name in old.drained.difference(&new.drained) {
            if let Some((fence, Phase::Granted | Phase::Drained(_))) = phase(name) {
                return Some(format!(
                    "{name} is out under permit {fence}: 'sandgap fleet back {name}' takes it into use again"
                ));
            }
        }
        if !self.bounds.iter().any(|b| b.side == Side::Backend) {
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
            let stays = after
                .iter()
                .any(|a| a.name == b.name && a.address == b.address && (b.draining || !a.draining));
            let free = self.targets.get(&Target::backend(&b.name)).is_none_or(|k| k.lost);
            !stays && !free && !matches!(phase(&b.name), Some((_, Phase::Drained(_))))
        });
        let name = &moved?.name;
        Some(format!(
            "{name} would be taken out of use, or moved, while requests go there: 'sandgap fleet out {name} --wait' first"
        ))
    }

    /// Leaves room for numbers that a lost majority may have given since, and lets nothing go on by itself.
    pub fn skip(&mut self, numbers: u64) {
        self.orders += numbers;
        self.fences += numbers;
        self.halt(
            "the last resort".into(),
            "a majority of the voters is lost for good; what is out is uncertain".into(),
        );
    }
}

mod releases;
#[cfg(test)]
mod tests;
