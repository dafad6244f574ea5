use super::*;
use crate::bounds::Per;

fn labels(zone: &str) -> Labels {
    Labels { zone: Some(zone.into()), ..Labels::default() }
}

fn known(zone: &str, lost: bool) -> Option<Known> {
    Some(Known { labels: labels(zone), lost })
}

/// Backends b0 to b5 in two zones, all well; at most `most` of the fleet out.
fn ledger(most: u32) -> Ledger {
    let mut ledger = Ledger::default();
    let all = (0..6).map(|n| (b(n), known(["x", "y"][n % 2], false))).collect();
    ledger.apply(Entry::Seen(all));
    bound(&mut ledger, most);
    ledger
}

fn bound(ledger: &mut Ledger, most: u32) {
    let bounds = vec![Bound { side: Side::Backend, per: Per::Fleet, most: Most::Count(most) }];
    assert_eq!(ledger.apply(Entry::Bounds { bounds, by: "ops".into(), why: "test".into() }), Verdict::Done);
}

fn b(n: usize) -> Target {
    Target::backend(&format!("b{n}"))
}

fn asking(id: u64, targets: &[usize]) -> Asking {
    let targets = targets.iter().map(|n| b(*n)).collect();
    Asking {
        id,
        holder: format!("h{id}"),
        why: "w".into(),
        priority: 5,
        targets,
        waits: true,
        beyond: None,
        release: None,
    }
}

fn ask(ledger: &mut Ledger, id: u64, targets: &[usize]) -> Verdict {
    ledger.apply(Entry::Ask(asking(id, targets)))
}

/// Grants whatever is due; returns the wishes that were.
fn run(ledger: &mut Ledger) -> Vec<u64> {
    let mut all = Vec::new();
    while let Some(id) = ledger.next(None) {
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
    ledger.apply(Entry::Back { target: b(n), fence });
}

#[test]
fn a_wish_waits_while_the_bound_is_full_and_goes_once_somebody_is_back() {
    let mut l = ledger(1);
    assert_eq!(ask(&mut l, 1, &[0]), Verdict::Waits(0));
    assert_eq!(ask(&mut l, 2, &[1]), Verdict::Waits(1));
    assert_eq!(run(&mut l), [1]);
    assert_eq!(ask(&mut l, 1, &[0]), Verdict::Granted(1), "the same wish once more");
    assert!(run(&mut l).is_empty());
    bring_back(&mut l, 0);
    assert_eq!(run(&mut l), [2]);
    assert_eq!(ask(&mut l, 1, &[0]), Verdict::Ended(1), "a late copy takes nothing out");
}

#[test]
fn who_dropped_by_itself_takes_room_and_gives_it_back_only_when_seen() {
    let mut l = ledger(2);
    l.apply(Entry::Seen(vec![(b(5), known("y", true)), (b(4), known("x", true))]));
    ask(&mut l, 1, &[0]);
    assert!(run(&mut l).is_empty());
    l.apply(Entry::Seen(vec![(b(5), known("y", false))]));
    assert_eq!(run(&mut l), [1]);
    ask(&mut l, 2, &[4]);
    assert_eq!(
        run(&mut l),
        [2],
        "what is lost already may be repaired under a permit: nothing more goes out"
    );
    assert_eq!(l.out().len(), 2);
}

#[test]
fn all_of_a_set_go_or_none_and_what_can_never_go_is_refused_at_once() {
    let mut l = ledger(3);
    ask(&mut l, 1, &[0, 1]);
    ask(&mut l, 2, &[2, 3]);
    assert_eq!(run(&mut l), [1]);
    assert_eq!(l.out().len(), 2);
    assert!(matches!(
        ask(&mut l, 3, &[1, 2, 3, 4]),
        Verdict::Refused(Refusal::Against(Against::Never { .. }))
    ));
    assert!(matches!(ask(&mut l, 4, &[9]), Verdict::Refused(Refusal::Unknown(_))));
    assert_eq!(ask(&mut l, 5, &[]), Verdict::Refused(Refusal::Nothing));
}

#[test]
fn a_target_of_another_permit_is_refused_with_its_holder_or_waited_for() {
    let mut l = ledger(3);
    ask(&mut l, 1, &[0]);
    run(&mut l);
    let hasty = Asking { waits: false, ..asking(2, &[0, 1]) };
    let Verdict::Refused(held) = l.apply(Entry::Ask(hasty)) else { panic!("refused") };
    assert!(held.to_string().contains("b0 is out under permit 1 of h1"), "{held}");
    assert_eq!(ask(&mut l, 3, &[0, 1]), Verdict::Waits(0));
    assert!(run(&mut l).is_empty());
    bring_back(&mut l, 0);
    assert_eq!(run(&mut l), [3]);
}

#[test]
fn nobody_starves_whatever_comes_with_a_higher_priority() {
    let mut l = ledger(2);
    ask(&mut l, 1, &[0]);
    run(&mut l);
    // Both are wanted at once, and single ones of a higher priority keep coming.
    ask(&mut l, 2, &[4, 5]);
    let mut passed = 0;
    for n in 0..20 {
        l.apply(Entry::Ask(Asking { priority: 9, ..asking(10 + n, &[1 + n as usize % 2]) }));
        let granted = run(&mut l);
        if granted.contains(&2) {
            break;
        }
        if !granted.is_empty() {
            passed += 1;
            bring_back(&mut l, 1 + n as usize % 2);
        } else {
            bring_back(&mut l, 0);
        }
    }
    assert_eq!(passed, OVERTAKEN as usize);
    assert!(l.phase(&b(4)).is_some());
}

#[test]
fn after_a_halt_nothing_is_granted_and_what_was_not_empty_comes_back() {
    let mut l = ledger(3);
    ask(&mut l, 1, &[0]);
    ask(&mut l, 2, &[1]);
    run(&mut l);
    let first = fence(&l, 0);
    l.apply(Entry::Drained { target: b(0), fence: first, version: 7 });
    ask(&mut l, 3, &[2]);
    l.apply(Entry::Halt { by: "ops".into(), why: "errors".into() });
    assert_eq!(l.next(None), None);
    l.apply(Entry::Grant { id: 3, evidence: None });
    assert!(l.phase(&b(2)).is_none(), "of a leader that had not heard of the halt");
    assert_eq!(l.phase(&b(0)), Some((first, Phase::Drained(7))), "its holder's: it may be stopped by now");
    assert!(matches!(l.phase(&b(1)), Some((_, Phase::Returning))));
    l.apply(Entry::Drained { target: b(1), fence: fence(&l, 1), version: 8 });
    assert!(matches!(l.phase(&b(1)), Some((_, Phase::Returning))), "a proof that comes late drains nothing");
    l.apply(Entry::Resume { by: "ops".into() });
    assert_eq!(run(&mut l), [3]);
}

#[test]
fn an_old_fence_brings_nothing_back() {
    let mut l = ledger(1);
    ask(&mut l, 1, &[0]);
    run(&mut l);
    bring_back(&mut l, 0);
    ask(&mut l, 2, &[0]);
    run(&mut l);
    let late = Entry::Returned { target: b(0), fence: 1, runs: None };
    assert_eq!(l.apply(late), Verdict::Ended(1));
    let never = Entry::Returned { target: b(0), fence: 99, runs: None };
    assert!(matches!(l.apply(never), Verdict::Refused(Refusal::Stale { .. })));
    l.apply(Entry::Back { target: b(0), fence: 1 });
    assert_eq!(l.phase(&b(0)), Some((2, Phase::Granted)));
}

#[test]
fn a_bound_lowered_below_what_is_out_takes_nothing_back_and_grants_nothing() {
    let mut l = ledger(3);
    ask(&mut l, 1, &[0, 1, 2]);
    run(&mut l);
    bound(&mut l, 1);
    ask(&mut l, 2, &[3]);
    assert!(run(&mut l).is_empty());
    (0..3).for_each(|n| bring_back(&mut l, n));
    assert_eq!(run(&mut l), [2]);
}

#[test]
fn beyond_a_bound_needs_a_reason_that_stays_in_the_record() {
    let mut l = ledger(0);
    l.apply(Entry::Ask(Asking { beyond: Some("fire in the hall".into()), ..asking(1, &[0, 1]) }));
    assert_eq!(run(&mut l), [1]);
    for n in 0..2 * RECORD as u64 {
        l.apply(Entry::Halt { by: "ops".into(), why: n.to_string() });
    }
    assert_eq!(l.record().0.count(), RECORD);
    assert!(l.record().1.any(|line| line.text.contains("past all bounds: fire in the hall")));
}

#[test]
fn whoever_leaves_the_fleet_needs_no_permit_any_more() {
    let mut l = ledger(1);
    ask(&mut l, 1, &[0]);
    run(&mut l);
    l.apply(Entry::Seen(vec![(b(0), None)]));
    ask(&mut l, 2, &[1]);
    assert_eq!(run(&mut l), [2]);
    l.apply(Entry::Seen(vec![(Target::proxy("p"), known("x", false))]));
    let forget = || Entry::Forget { proxy: "p".into(), by: "ops".into() };
    assert!(matches!(l.apply(forget()), Verdict::Refused(Refusal::Alive(_))));
    l.apply(Entry::Seen(vec![(Target::proxy("p"), known("x", true))]));
    assert_eq!(l.apply(forget()), Verdict::Done);
}

#[test]
fn rules_take_no_backend_out_but_under_a_permit_and_bring_none_back_that_is_another_s() {
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
    assert!(l.bars(&old, &drains(0)).expect("no permit").contains("sandgap fleet out b0"));
    assert!(l.bars(&old, &without(0)).is_some() && l.bars(&old, &moved).is_some());
    ask(&mut l, 1, &[0]);
    run(&mut l);
    assert_eq!(l.bars(&old, &drains(0)), None);
    assert!(l.bars(&old, &drains(1)).is_some());
    assert!(l.bars(&old, &without(0)).is_some(), "requests may still go there");
    assert!(l.bars(&drains(0), &old).expect("it is locked").contains("sandgap fleet back b0"));
    l.apply(Entry::Drained { target: b(0), fence: 1, version: 3 });
    assert_eq!(l.bars(&drains(0), &Rulebook { drained: ["b0".into()].into(), ..without(0) }), None);
    l.apply(Entry::Returned { target: b(0), fence: 1, runs: None });
    assert_eq!(l.bars(&drains(0), &old), None);
    assert!(
        l.bars(&old, &drains(0)).is_some(),
        "a halt that came first: it must not begin to drain any more"
    );
    l.apply(Entry::Bounds { bounds: vec![], by: "ops".into(), why: String::new() });
    assert_eq!(l.bars(&old, &without(3)), None, "without bounds rules are free");
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
            backs: true,
            by: "ops".into(),
            why: String::new(),
        }
    }

    fn stage(l: &Ledger) -> Stage {
        l.release(ID).expect("planned").stage.clone()
    }

    /// What a leader asks for; returns the targets.
    fn asks(l: &mut Ledger) -> Vec<Target> {
        let due = l.due(l.release(ID).expect("planned"));
        for target in &due {
            let id = l.wish_for(ID, target);
            let asking = Asking { id, targets: [target.clone()].into(), release: Some(ID), ..asking(0, &[]) };
            l.apply(Entry::Ask(asking));
        }
        due
    }

    /// All that can go goes, is changed and comes back.
    fn change(l: &mut Ledger, runs: &str) -> usize {
        let mut changed = 0;
        for _ in 0..50 {
            asks(l);
            run(l);
            let Some((target, fence, _)) = l.granted().next().map(|(t, f, p)| (t.clone(), f, p)) else {
                break;
            };
            l.apply(Entry::Drained { target: target.clone(), fence, version: 1 });
            let runs = Some(runs.to_owned());
            assert_eq!(l.apply(Entry::Returned { target: target.clone(), fence, runs }), Verdict::Done);
            l.apply(Entry::Back { target, fence });
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
    fn waves_follow_each_other_and_none_before_the_last_is_through() {
        let mut l = begun(&[&[0], &[1, 2]]);
        assert_eq!(advance(&mut l, Stage::Soaking(0)), Stage::Wave(0), "nothing has changed yet");
        assert_eq!(asks(&mut l), [b(0)]);
        assert!(asks(&mut l).is_empty(), "one wish for each");
        assert_eq!(change(&mut l, "1.5"), 1);
        assert_eq!(advance(&mut l, Stage::Wave(1)), Stage::Wave(0), "not without its soak");
        assert_eq!(advance(&mut l, Stage::Soaking(0)), Stage::Soaking(0));
        assert!(asks(&mut l).is_empty(), "while it is watched nothing goes out");
        assert_eq!(advance(&mut l, Stage::Done), Stage::Soaking(0));
        assert_eq!(advance(&mut l, Stage::Wave(1)), Stage::Wave(1));
        assert_eq!(change(&mut l, "1.5"), 2);
        assert_eq!(advance(&mut l, Stage::Soaking(1)), Stage::Soaking(1));
        assert_eq!(advance(&mut l, Stage::Done), Stage::Done);
        assert!(l.apply(Entry::GoOn { release: ID, by: "ops".into() }) != Verdict::Done);
    }

    #[test]
    fn a_halt_gives_up_what_waits_and_brings_back_what_is_not_empty() {
        let mut l = begun(&[&[0, 1, 2]]);
        asks(&mut l);
        run(&mut l);
        let out = l.granted().next().map(|(t, f, _)| (t.clone(), f)).expect("one is out");
        l.apply(Entry::Hold { release: ID, by: "ops".into(), why: "no".into() });
        assert!(matches!(l.phase(&out.0), Some((_, Phase::Returning))));
        assert_eq!(l.permits().count(), 1, "the others are given up");
        assert!(asks(&mut l).is_empty());
        let back = Entry::Returned { target: out.0.clone(), fence: out.1, runs: None };
        assert!(
            matches!(l.apply(back), Verdict::Refused(Refusal::Runs { .. })),
            "what it runs has to be told"
        );
        l.apply(Entry::Back { target: out.0, fence: out.1 });
        l.apply(Entry::GoOn { release: ID, by: "ops".into() });
        assert_eq!(stage(&l), Stage::Wave(0));
        assert_eq!(change(&mut l, "1.5"), 3);
    }

    #[test]
    fn the_way_back_takes_all_that_run_it_and_no_other() {
        let mut l = begun(&[&[0], &[1, 2], &[3]]);
        change(&mut l, "1.5");
        advance(&mut l, Stage::Soaking(0));
        advance(&mut l, Stage::Wave(1));
        // One of the second wave is changed, one is out for it, then somebody turns it back.
        asks(&mut l);
        run(&mut l);
        l.apply(Entry::TurnBack { release: ID, by: "ops".into() });
        let early = l.granted().next().map(|(t, f, _)| (t.clone(), f)).expect("one was out");
        l.apply(Entry::Back { target: early.0, fence: early.1 });
        assert_eq!(advance(&mut l, Stage::WentBack), Stage::GoingBack, "b0 still runs it");
        assert_eq!(asks(&mut l), [b(0)]);
        // The way back can be halted, and goes on as a way back.
        l.apply(Entry::Hold { release: ID, by: "ops".into(), why: "wait".into() });
        l.apply(Entry::GoOn { release: ID, by: "ops".into() });
        assert_eq!(stage(&l), Stage::GoingBack);
        assert_eq!(change(&mut l, "1.4"), 1);
        assert_eq!(advance(&mut l, Stage::WentBack), Stage::WentBack);
    }

    #[test]
    fn plans_that_can_t_be_carried_out_are_refused_with_what_is_wrong() {
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
        assert!(matches!(l.apply(Entry::Plan(Box::new(third))), Verdict::Refused(Refusal::Against(_))));
    }
}
