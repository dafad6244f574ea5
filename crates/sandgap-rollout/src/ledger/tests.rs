use super::*;
use crate::bounds::Scope;

fn labels(zone: &str) -> Labels {
    Labels { zone: Some(zone.into()), ..Labels::default() }
}

fn known(zone: &str, lost: bool) -> Option<TargetState> {
    Some(TargetState { labels: labels(zone), lost })
}

/// Healthy backends b0 to b5 in two zones, with a bound of at most `most` out in the fleet.
fn ledger(most: u32) -> Ledger {
    let mut ledger = Ledger::default();
    let all = (0..6).map(|n| (b(n), known(["x", "y"][n % 2], false))).collect();
    ledger.apply(Entry::UpdateTargets(all));
    bound(&mut ledger, most);
    ledger
}

fn bound(ledger: &mut Ledger, most: u32) {
    let bounds = vec![Bound { kind: TargetKind::Backend, scope: Scope::Fleet, limit: Limit::Count(most) }];
    assert_eq!(ledger.apply(Entry::Bounds { bounds, by: "ops".into(), why: "test".into() }), Verdict::Done);
}

fn b(n: usize) -> Target {
    Target::backend(&format!("b{n}"))
}

fn request(id: u64, targets: &[usize]) -> PermitRequest {
    let targets = targets.iter().map(|n| b(*n)).collect();
    PermitRequest {
        id,
        holder: format!("h{id}"),
        why: "w".into(),
        priority: 5,
        targets,
        waits: true,
        bypass_reason: None,
        release: None,
    }
}

fn ask(ledger: &mut Ledger, id: u64, targets: &[usize]) -> Verdict {
    ledger.apply(Entry::RequestPermit(request(id, targets)))
}

/// Grants all permits that are due; returns their request ids.
fn grant_due(ledger: &mut Ledger) -> Vec<u64> {
    let mut all = Vec::new();
    while let Some(id) = ledger.next_grant(None) {
        assert!(matches!(ledger.apply(Entry::Grant { id, evidence: None }), Verdict::Granted(_)));
        all.push(id);
    }
    all
}

fn fence(ledger: &Ledger, n: usize) -> Fence {
    ledger.phase(&b(n)).expect("out").0
}

fn bring_back(ledger: &mut Ledger, n: usize) {
    let fence = fence(ledger, n);
    assert_eq!(ledger.apply(Entry::Returned { target: b(n), fence, runs: None }), Verdict::Done);
    ledger.apply(Entry::Restored { target: b(n), fence });
}

#[test]
fn a_request_waits_while_the_bound_is_full_and_is_granted_after_a_return() {
    let mut l = ledger(1);
    assert_eq!(ask(&mut l, 1, &[0]), Verdict::Waits(0));
    assert_eq!(ask(&mut l, 2, &[1]), Verdict::Waits(1));
    assert_eq!(grant_due(&mut l), [1]);
    assert_eq!(ask(&mut l, 1, &[0]), Verdict::Granted(1), "a duplicate of the request");
    assert!(grant_due(&mut l).is_empty());
    bring_back(&mut l, 0);
    assert_eq!(grant_due(&mut l), [2]);
    assert_eq!(ask(&mut l, 1, &[0]), Verdict::Ended(1), "a late duplicate takes nothing out");
}

#[test]
fn a_lost_target_counts_as_out_until_it_is_observed_healthy() {
    let mut l = ledger(2);
    l.apply(Entry::UpdateTargets(vec![(b(5), known("y", true)), (b(4), known("x", true))]));
    ask(&mut l, 1, &[0]);
    assert!(grant_due(&mut l).is_empty());
    l.apply(Entry::UpdateTargets(vec![(b(5), known("y", false))]));
    assert_eq!(grant_due(&mut l), [1]);
    ask(&mut l, 2, &[4]);
    assert_eq!(
        grant_due(&mut l),
        [2],
        "a lost target may be repaired under a permit, as no further target goes out"
    );
    assert_eq!(l.out().len(), 2);
}

#[test]
fn a_set_is_granted_whole_or_not_and_an_impossible_one_is_refused_at_once() {
    let mut l = ledger(3);
    ask(&mut l, 1, &[0, 1]);
    ask(&mut l, 2, &[2, 3]);
    assert_eq!(grant_due(&mut l), [1]);
    assert_eq!(l.out().len(), 2);
    assert!(matches!(
        ask(&mut l, 3, &[1, 2, 3, 4]),
        Verdict::Refused(Refusal::BoundConflict(BoundConflict::Never { .. }))
    ));
    assert!(matches!(ask(&mut l, 4, &[9]), Verdict::Refused(Refusal::Unknown(_))));
    assert_eq!(ask(&mut l, 5, &[]), Verdict::Refused(Refusal::Nothing));
}

#[test]
fn a_target_of_another_permit_is_refused_with_its_holder_or_waited_for() {
    let mut l = ledger(3);
    ask(&mut l, 1, &[0]);
    grant_due(&mut l);
    let not_waiting = PermitRequest { waits: false, ..request(2, &[0, 1]) };
    let Verdict::Refused(held) = l.apply(Entry::RequestPermit(not_waiting)) else { panic!("refused") };
    assert!(held.to_string().contains("b0 is out under permit 1 of h1"), "{held}");
    assert_eq!(ask(&mut l, 3, &[0, 1]), Verdict::Waits(0));
    assert!(grant_due(&mut l).is_empty());
    bring_back(&mut l, 0);
    assert_eq!(grant_due(&mut l), [3]);
}

#[test]
fn a_waiting_permit_does_not_starve_behind_higher_priorities() {
    let mut l = ledger(2);
    ask(&mut l, 1, &[0]);
    grant_due(&mut l);
    // One request needs both backends, while single requests of a higher priority keep arriving.
    ask(&mut l, 2, &[4, 5]);
    let mut overtakes = 0;
    for n in 0..20 {
        l.apply(Entry::RequestPermit(PermitRequest {
            priority: 9,
            ..request(10 + n, &[1 + n as usize % 2])
        }));
        let granted = grant_due(&mut l);
        if granted.contains(&2) {
            break;
        }
        if !granted.is_empty() {
            overtakes += 1;
            bring_back(&mut l, 1 + n as usize % 2);
        } else {
            bring_back(&mut l, 0);
        }
    }
    assert_eq!(overtakes, MAX_OVERTAKES as usize);
    assert!(l.phase(&b(4)).is_some());
}

#[test]
fn a_halt_stops_grants_and_returns_targets_that_are_not_drained() {
    let mut l = ledger(3);
    ask(&mut l, 1, &[0]);
    ask(&mut l, 2, &[1]);
    grant_due(&mut l);
    let first = fence(&l, 0);
    l.apply(Entry::Drained { target: b(0), fence: first, version: 7 });
    ask(&mut l, 3, &[2]);
    l.apply(Entry::Halt { by: "ops".into(), why: "errors".into() });
    assert_eq!(l.next_grant(None), None);
    l.apply(Entry::Grant { id: 3, evidence: None });
    assert!(l.phase(&b(2)).is_none(), "proposed by a leader that did not know of the halt");
    assert_eq!(
        l.phase(&b(0)),
        Some((first, Phase::Drained(7))),
        "it belongs to its holder and may be stopped"
    );
    assert!(matches!(l.phase(&b(1)), Some((_, Phase::Returning))));
    l.apply(Entry::Drained { target: b(1), fence: fence(&l, 1), version: 8 });
    assert!(matches!(l.phase(&b(1)), Some((_, Phase::Returning))), "a late drained entry has no effect");
    l.apply(Entry::Resume { by: "ops".into() });
    assert_eq!(grant_due(&mut l), [3]);
}

#[test]
fn an_old_fence_returns_nothing() {
    let mut l = ledger(1);
    ask(&mut l, 1, &[0]);
    grant_due(&mut l);
    bring_back(&mut l, 0);
    ask(&mut l, 2, &[0]);
    grant_due(&mut l);
    let late = Entry::Returned { target: b(0), fence: 1, runs: None };
    assert_eq!(l.apply(late), Verdict::Ended(1));
    let never = Entry::Returned { target: b(0), fence: 99, runs: None };
    assert!(matches!(l.apply(never), Verdict::Refused(Refusal::Stale { .. })));
    l.apply(Entry::Restored { target: b(0), fence: 1 });
    assert_eq!(l.phase(&b(0)), Some((2, Phase::Granted)));
}

#[test]
fn a_bound_below_the_number_out_revokes_nothing_and_grants_nothing() {
    let mut l = ledger(3);
    ask(&mut l, 1, &[0, 1, 2]);
    grant_due(&mut l);
    bound(&mut l, 1);
    ask(&mut l, 2, &[3]);
    assert!(grant_due(&mut l).is_empty());
    (0..3).for_each(|n| bring_back(&mut l, n));
    assert_eq!(grant_due(&mut l), [2]);
}

#[test]
fn the_reason_for_bypassing_bounds_stays_in_the_record() {
    let mut l = ledger(0);
    l.apply(Entry::RequestPermit(PermitRequest {
        bypass_reason: Some("fire in the hall".into()),
        ..request(1, &[0, 1])
    }));
    assert_eq!(grant_due(&mut l), [1]);
    for n in 0..2 * RECORD_LINES as u64 {
        l.apply(Entry::Halt { by: "ops".into(), why: n.to_string() });
    }
    assert_eq!(l.record().0.count(), RECORD_LINES);
    assert!(l.record().1.any(|line| line.text.contains("past all bounds: fire in the hall")));
}

#[test]
fn a_target_that_leaves_the_fleet_frees_its_permit() {
    let mut l = ledger(1);
    ask(&mut l, 1, &[0]);
    grant_due(&mut l);
    l.apply(Entry::UpdateTargets(vec![(b(0), None)]));
    ask(&mut l, 2, &[1]);
    assert_eq!(grant_due(&mut l), [2]);
    l.apply(Entry::UpdateTargets(vec![(Target::proxy("p"), known("x", false))]));
    let forget = || Entry::Forget { proxy: "p".into(), by: "ops".into() };
    assert!(matches!(l.apply(forget()), Verdict::Refused(Refusal::Alive(_))));
    l.apply(Entry::UpdateTargets(vec![(Target::proxy("p"), known("x", true))]));
    assert_eq!(l.apply(forget()), Verdict::Done);
}

#[test]
fn rules_drain_backends_only_under_a_permit_and_undrain_none_that_is_out() {
    use sandgap_agree::rulebook::{Backend, Limits, Rulebook};
    let backend = |n: u16| Backend {
        name: format!("b{n}"),
        address: ([127, 0, 0, 1], 9000 + n).into(),
        zone: None,
        kind: None,
        cell: None,
        share: 1.0,
        draining: false,
    };
    let limits = Limits {
        max_attempts: 1,
        over_share_worth: 0.0,
        cross_zone: 0.0,
        start_capacity: 1.0,
        warm_ms: 1.0,
        fall_multiple: 1.0,
        fall_ms: 1.0,
    };
    let backends = Some((0..6).map(backend).collect());
    let old = Rulebook { classes: vec![], tenants: vec![], backends, drained: BTreeSet::new(), limits };
    let drains = |n: usize| Rulebook { drained: [format!("b{n}")].into(), ..old.clone() };
    let without = |n: usize| {
        let mut book = old.clone();
        book.backends.as_mut().expect("listed").remove(n);
        book
    };
    let mut moved = old.clone();
    moved.backends.as_mut().expect("listed")[0].address = ([127, 0, 0, 1], 1).into();
    let mut l = ledger(1);
    assert!(l.rules_conflict(&old, &drains(0)).expect("no permit").contains("sandgap fleet out b0"));
    assert!(l.rules_conflict(&old, &without(0)).is_some() && l.rules_conflict(&old, &moved).is_some());
    ask(&mut l, 1, &[0]);
    grant_due(&mut l);
    assert_eq!(l.rules_conflict(&old, &drains(0)), None);
    assert!(l.rules_conflict(&old, &drains(1)).is_some());
    assert!(l.rules_conflict(&old, &without(0)).is_some(), "requests may still go there");
    assert!(
        l.rules_conflict(&drains(0), &old)
            .expect("it is out under a permit")
            .contains("sandgap fleet back b0")
    );
    l.apply(Entry::Drained { target: b(0), fence: 1, version: 3 });
    assert_eq!(l.rules_conflict(&drains(0), &Rulebook { drained: ["b0".into()].into(), ..without(0) }), None);
    l.apply(Entry::Returned { target: b(0), fence: 1, runs: None });
    assert_eq!(l.rules_conflict(&drains(0), &old), None);
    assert!(
        l.rules_conflict(&old, &drains(0)).is_some(),
        "after it was returned, it must not be drained again"
    );
    l.apply(Entry::Bounds { bounds: vec![], by: "ops".into(), why: String::new() });
    assert_eq!(l.rules_conflict(&old, &without(3)), None, "without bounds rules are not restricted");
}

mod releases {
    use super::*;

    const ID: u64 = 77;

    fn plan(waves: &[&[usize]]) -> Plan {
        Plan {
            id: ID,
            name: "spring".into(),
            from: "1.4".into(),
            to: "1.5".into(),
            waves: waves.iter().map(|w| w.iter().map(|n| b(*n)).collect()).collect(),
            soak_ms: 1000,
            patience_ms: 1000,
            margin: 10,
            auto_rollback: true,
            by: "ops".into(),
            why: String::new(),
        }
    }

    fn stage(l: &Ledger) -> Stage {
        l.release(ID).expect("planned").stage.clone()
    }

    /// Requests permits for all due targets, as a leader does; returns the targets.
    fn request_due(l: &mut Ledger) -> Vec<Target> {
        let due = l.targets_due(l.release(ID).expect("planned"));
        for target in &due {
            let id = l.request_id_for(ID, target);
            let request =
                PermitRequest { id, targets: [target.clone()].into(), release: Some(ID), ..request(0, &[]) };
            l.apply(Entry::RequestPermit(request));
        }
        due
    }

    /// Takes out, changes and returns all targets that can go; returns their number.
    fn change_all(l: &mut Ledger, runs: &str) -> usize {
        let mut changed = 0;
        for _ in 0..50 {
            request_due(l);
            grant_due(l);
            let Some((target, fence, _)) = l.granted().next().map(|(t, f, p)| (t.clone(), f, p)) else {
                break;
            };
            l.apply(Entry::Drained { target: target.clone(), fence, version: 1 });
            let runs = Some(runs.to_owned());
            assert_eq!(l.apply(Entry::Returned { target: target.clone(), fence, runs }), Verdict::Done);
            l.apply(Entry::Restored { target, fence });
            changed += 1;
        }
        changed
    }

    fn advance(l: &mut Ledger, to: Stage) -> Stage {
        l.apply(Entry::Advance { release: ID, to, seen: None });
        stage(l)
    }

    fn begun(waves: &[&[usize]]) -> Ledger {
        let mut l = ledger(1);
        assert_eq!(l.apply(Entry::Plan(Box::new(plan(waves)))), Verdict::Done);
        assert_eq!(l.apply(Entry::Begin { release: ID, by: "ops".into() }), Verdict::Done);
        l
    }

    #[test]
    fn a_wave_starts_only_after_the_one_before_is_complete() {
        let mut l = begun(&[&[0], &[1, 2]]);
        assert_eq!(advance(&mut l, Stage::Soaking(0)), Stage::Wave(0), "nothing has changed yet");
        assert_eq!(request_due(&mut l), [b(0)]);
        assert!(request_due(&mut l).is_empty(), "one request per target");
        assert_eq!(change_all(&mut l, "1.5"), 1);
        assert_eq!(advance(&mut l, Stage::Wave(1)), Stage::Wave(0), "not before the soak");
        assert_eq!(advance(&mut l, Stage::Soaking(0)), Stage::Soaking(0));
        assert!(request_due(&mut l).is_empty(), "no target goes out during the soak");
        assert_eq!(advance(&mut l, Stage::Done), Stage::Soaking(0));
        assert_eq!(advance(&mut l, Stage::Wave(1)), Stage::Wave(1));
        assert_eq!(change_all(&mut l, "1.5"), 2);
        assert_eq!(advance(&mut l, Stage::Soaking(1)), Stage::Soaking(1));
        assert_eq!(advance(&mut l, Stage::Done), Stage::Done);
        assert!(l.apply(Entry::ResumeRelease { release: ID, by: "ops".into() }) != Verdict::Done);
    }

    #[test]
    fn a_halt_withdraws_waiting_requests_and_returns_undrained_targets() {
        let mut l = begun(&[&[0, 1, 2]]);
        request_due(&mut l);
        grant_due(&mut l);
        let out = l.granted().next().map(|(t, f, _)| (t.clone(), f)).expect("one is out");
        l.apply(Entry::HaltRelease { release: ID, by: "ops".into(), why: "no".into() });
        assert!(matches!(l.phase(&out.0), Some((_, Phase::Returning))));
        assert_eq!(l.permits().count(), 1, "the others are withdrawn");
        assert!(request_due(&mut l).is_empty());
        let back = Entry::Returned { target: out.0.clone(), fence: out.1, runs: None };
        assert!(
            matches!(l.apply(back), Verdict::Refused(Refusal::Runs { .. })),
            "the version it runs is required"
        );
        l.apply(Entry::Restored { target: out.0, fence: out.1 });
        l.apply(Entry::ResumeRelease { release: ID, by: "ops".into() });
        assert_eq!(stage(&l), Stage::Wave(0));
        assert_eq!(change_all(&mut l, "1.5"), 3);
    }

    #[test]
    fn a_rollback_takes_out_exactly_the_targets_that_run_the_release() {
        let mut l = begun(&[&[0], &[1, 2], &[3]]);
        change_all(&mut l, "1.5");
        advance(&mut l, Stage::Soaking(0));
        advance(&mut l, Stage::Wave(1));
        // The first wave runs the release and one target of the second wave is out when an operator starts the
        // rollback.
        request_due(&mut l);
        grant_due(&mut l);
        l.apply(Entry::RollBack { release: ID, by: "ops".into() });
        let early = l.granted().next().map(|(t, f, _)| (t.clone(), f)).expect("one was out");
        l.apply(Entry::Restored { target: early.0, fence: early.1 });
        assert_eq!(advance(&mut l, Stage::RolledBack), Stage::RollingBack, "b0 still runs it");
        assert_eq!(request_due(&mut l), [b(0)]);
        // A rollback can be halted, and resumes as a rollback.
        l.apply(Entry::HaltRelease { release: ID, by: "ops".into(), why: "wait".into() });
        l.apply(Entry::ResumeRelease { release: ID, by: "ops".into() });
        assert_eq!(stage(&l), Stage::RollingBack);
        assert_eq!(change_all(&mut l, "1.4"), 1);
        assert_eq!(advance(&mut l, Stage::RolledBack), Stage::RolledBack);
    }

    #[test]
    fn invalid_plans_are_refused_with_the_reason() {
        let mut l = ledger(1);
        let mut refused = |plan: Plan| match l.apply(Entry::Plan(Box::new(plan))) {
            Verdict::Refused(why) => why.to_string(),
            other => panic!("{other:?}"),
        };
        assert!(refused(plan(&[])).contains("without a target"));
        assert!(refused(plan(&[&[0], &[0]])).contains("twice"));
        assert!(refused(plan(&[&[9]])).contains("no proxy or backend"));
        assert!(refused(Plan { to: "1.4".into(), ..plan(&[&[0]]) }).contains("from one release to another"));
        let mixed = Plan { waves: vec![vec![b(0), Target::proxy("p")]], ..plan(&[]) };
        assert!(refused(mixed).contains("apart"));
        assert_eq!(l.apply(Entry::Plan(Box::new(plan(&[&[0]])))), Verdict::Done);
        let second = Plan { id: 78, name: "other".into(), ..plan(&[&[0, 1]]) };
        let Verdict::Refused(why) = l.apply(Entry::Plan(Box::new(second))) else { panic!("refused") };
        assert!(why.to_string().contains("b0 is part of a release under way"), "{why}");
        bound(&mut l, 0);
        let third = Plan { id: 79, name: "third".into(), ..plan(&[&[3]]) };
        assert!(matches!(l.apply(Entry::Plan(Box::new(third))), Verdict::Refused(Refusal::BoundConflict(_))));
    }
}
