//! Property test over long random histories: no grant exceeds a bound, whatever was lost before it, also when a leader
//! proposes from an outdated state; and permits end.

use std::collections::BTreeSet;

use proptest::prelude::*;
use sandgap_rollout::ledger::TargetState;
use sandgap_rollout::{
    Bound, Entry, Labels, Ledger, Limit, PermitRequest, Phase, Scope, Target, TargetKind, Verdict,
};

const BACKENDS: usize = 12;
const PROXIES: usize = 4;
const ZONES: [&str; 3] = ["a", "b", "c"];

fn target(n: usize) -> Target {
    match n % (BACKENDS + PROXIES) {
        n if n < BACKENDS => Target::backend(&format!("b{n}")),
        n => Target::proxy(&format!("p{n}")),
    }
}

fn labels(n: usize) -> Labels {
    Labels { zone: Some(ZONES[n % 3].into()), cell: Some(n as u64 % 5), kind: None }
}

#[derive(Clone, Debug)]
enum Step {
    Ask {
        targets: Vec<usize>,
        priority: u8,
        bypasses: bool,
    },
    /// `None`: a leader grants the permit that is due. `Some`: an outdated leader proposes an arbitrary request.
    Grant(Option<usize>),
    Drained(usize),
    Returned(usize),
    Back(usize),
    Seen(usize, bool),
    Gone(usize),
    Halt,
    Resume,
    Withdraw(usize),
    Bound(usize),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let any = 0..BACKENDS + PROXIES;
    prop_oneof![
        4 => (prop::collection::vec(any.clone(), 1..5), 0..10u8, prop::bool::weighted(0.05))
            .prop_map(|(targets, priority, bypasses)| Step::Ask { targets, priority, bypasses }),
        8 => prop::option::weighted(0.2, 0..40usize).prop_map(Step::Grant),
        4 => any.clone().prop_map(Step::Drained),
        4 => any.clone().prop_map(Step::Returned),
        4 => any.clone().prop_map(Step::Back),
        4 => (any.clone(), prop::bool::ANY).prop_map(|(n, lost)| Step::Seen(n, lost)),
        1 => any.prop_map(Step::Gone),
        1 => Just(Step::Halt),
        2 => Just(Step::Resume),
        1 => (0..40usize).prop_map(Step::Withdraw),
        1 => (0..4usize).prop_map(Step::Bound),
        1 => Just(Step::Restart),
    ]
}

fn bounds(n: usize) -> Vec<Bound> {
    let bound = |kind, scope, limit| Bound { kind, scope, limit };
    let (fleet, zone) = ([4, 3, 1, 0][n], [1, 2, 1, 1][n]);
    vec![
        bound(TargetKind::Backend, Scope::Fleet, Limit::Count(fleet)),
        bound(TargetKind::Backend, Scope::Zone, Limit::Count(zone)),
        bound(TargetKind::Backend, Scope::Cell, Limit::PerMille(500)),
        bound(TargetKind::Proxy, Scope::Fleet, Limit::PerMille(500)),
    ]
}

/// Scopes in which more are out than a bound allows, counted independently of the ledger's code.
fn exceeded_bounds(ledger: &Ledger) -> Vec<(String, String)> {
    let out = ledger.out();
    let mut exceeded = Vec::new();
    for bound in ledger.bounds() {
        let scopes: BTreeSet<Option<String>> =
            ledger.targets().values().map(|k| scope_of(bound.scope, &k.labels)).collect();
        for scope in scopes {
            let here = |t: &&Target| {
                t.kind == bound.kind
                    && ledger.targets().get(t).is_some_and(|k| scope_of(bound.scope, &k.labels) == scope)
            };
            let (total, out_here) =
                (ledger.targets().keys().filter(here).count(), out.iter().filter(here).count());
            let limit = match bound.limit {
                Limit::Count(n) => n as usize,
                Limit::PerMille(n) => total * n as usize / 1000,
                Limit::Need { .. } => usize::MAX,
            };
            if out_here > limit {
                exceeded.push((format!("{bound} in {scope:?}"), format!("{out_here} of {total}")));
            }
        }
    }
    exceeded
}

fn scope_of(scope: Scope, labels: &Labels) -> Option<String> {
    match scope {
        Scope::Fleet => None,
        Scope::Zone => labels.zone.clone(),
        Scope::Cell => labels.cell.map(|c| c.to_string()),
        Scope::Kind => labels.kind.clone(),
    }
}

struct History {
    ledger: Ledger,
    request_ids: Vec<u64>,
}

impl History {
    fn new() -> Self {
        let mut ledger = Ledger::default();
        let known = |n| Some(TargetState { labels: labels(n), lost: false });
        ledger.apply(Entry::UpdateTargets((0..BACKENDS + PROXIES).map(|n| (target(n), known(n))).collect()));
        ledger.apply(Entry::Bounds { bounds: bounds(0), by: "t".into(), why: String::new() });
        History { ledger, request_ids: Vec::new() }
    }

    fn fence(&self, n: usize) -> u64 {
        self.ledger.phase(&target(n)).map_or(0, |(fence, _)| fence)
    }

    fn entry(&mut self, step: Step) -> Option<Entry> {
        let by = || "t".to_owned();
        Some(match step {
            Step::Ask { targets, priority, bypasses } => {
                let id = self.request_ids.len() as u64 + 1;
                self.request_ids.push(id);
                let targets = targets.into_iter().map(target).collect();
                let bypass_reason = bypasses.then(|| "bypass".to_owned());
                Entry::RequestPermit(PermitRequest {
                    id,
                    holder: by(),
                    why: by(),
                    priority,
                    targets,
                    waits: !id.is_multiple_of(3),
                    bypass_reason,
                    release: None,
                })
            }
            Step::Grant(Some(n)) => Entry::Grant { id: *self.request_ids.get(n)?, evidence: None },
            Step::Grant(None) => Entry::Grant { id: self.ledger.next_grant(None)?, evidence: None },
            Step::Drained(n) => Entry::Drained { target: target(n), fence: self.fence(n), version: 1 },
            Step::Returned(n) => Entry::Returned { target: target(n), fence: self.fence(n), runs: None },
            Step::Back(n) => Entry::Restored { target: target(n), fence: self.fence(n) },
            Step::Seen(n, lost) => {
                Entry::UpdateTargets(vec![(target(n), Some(TargetState { labels: labels(n), lost }))])
            }
            Step::Gone(n) => Entry::UpdateTargets(vec![(target(n), None)]),
            Step::Halt => Entry::Halt { by: by(), why: by() },
            Step::Resume => Entry::Resume { by: by() },
            Step::Withdraw(n) => Entry::Withdraw { id: *self.request_ids.get(n)?, by: by() },
            Step::Bound(n) => Entry::Bounds { bounds: bounds(n), by: by(), why: by() },
            Step::Restart => {
                let bytes = postcard::to_stdvec(&self.ledger).expect("encode the ledger");
                self.ledger = postcard::from_bytes(&bytes).expect("decode the encoded ledger");
                return None;
            }
        })
    }

    /// Applies a step and checks the invariant across it.
    fn step(&mut self, step: Step) {
        let Some(entry) = self.entry(step) else { return };
        let (before, exceeded_before) = (self.ledger.clone(), exceeded_bounds(&self.ledger));
        let grants = matches!(entry, Entry::Grant { .. });
        let bypasses_bounds = match &entry {
            Entry::Grant { id, .. } => {
                self.ledger.permits().any(|p| p.request.id == *id && p.request.bypass_reason.is_some())
            }
            _ => false,
        };
        let verdict = self.ledger.apply(entry.clone());
        let granted_after: BTreeSet<Target> = self.ledger.granted().map(|(t, ..)| t.clone()).collect();
        let granted_before: BTreeSet<Target> = before.granted().map(|(t, ..)| t.clone()).collect();
        if !grants {
            assert!(granted_after.is_subset(&granted_before), "only a grant takes anything out: {entry:?}");
        } else if granted_after != granted_before && !bypasses_bounds {
            let exceeded_after = exceeded_bounds(&self.ledger);
            let scopes = |t: &Target| -> Vec<String> {
                let labels = before.targets().get(t).map(|k| k.labels.clone()).unwrap_or_default();
                let of_kind = before.bounds().iter().filter(|b| b.kind == t.kind);
                of_kind.map(|b| format!("{b} in {:?}", scope_of(b.scope, &labels))).collect()
            };
            let affected_scopes: BTreeSet<String> =
                granted_after.difference(&granted_before).flat_map(scopes).collect();
            let exceeded_by_grant = exceeded_after.iter().find(|(scope, _)| affected_scopes.contains(scope));
            assert!(
                exceeded_by_grant.is_none(),
                "{entry:?} {verdict:?} {exceeded_after:?} {exceeded_before:?}"
            );
            assert!(before.halted().is_none(), "granted while halted");
        }
        let mut seen = BTreeSet::new();
        assert!(self.ledger.granted().all(|(t, ..)| seen.insert(t.clone())), "one target under two permits");
    }

    /// Makes all targets healthy, then grants and ends every permit that can be granted.
    fn settle(&mut self) {
        let known = |n| Some(TargetState { labels: labels(n), lost: false });
        self.ledger
            .apply(Entry::UpdateTargets((0..BACKENDS + PROXIES).map(|n| (target(n), known(n))).collect()));
        self.ledger.apply(Entry::Bounds { bounds: bounds(0), by: "t".into(), why: String::new() });
        self.ledger.apply(Entry::Resume { by: "t".into() });
        for _ in 0..500 {
            if let Some(id) = self.ledger.next_grant(None) {
                assert!(matches!(
                    self.ledger.apply(Entry::Grant { id, evidence: None }),
                    Verdict::Granted(_)
                ));
            }
            let out: Vec<(Target, u64, Phase)> =
                self.ledger.granted().map(|(t, fence, phase)| (t.clone(), fence, phase)).collect();
            let Some((target, fence, _)) = out.into_iter().next() else { break };
            self.ledger.apply(Entry::Returned { target: target.clone(), fence, runs: None });
            self.ledger.apply(Entry::Restored { target, fence });
        }
        let grantable: Vec<_> =
            self.ledger.permits().filter(|p| self.ledger.check_grant(p, None).is_ok()).collect();
        assert!(grantable.is_empty(), "{grantable:?}");
        assert!(self.ledger.granted().next().is_none());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn no_grant_exceeds_a_bound_and_permits_end(steps in prop::collection::vec(step(), 1..120)) {
        let mut history = History::new();
        steps.into_iter().for_each(|step| history.step(step));
        history.settle();
    }
}
