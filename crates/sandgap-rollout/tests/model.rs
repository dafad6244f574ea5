//! Exhaustive model check of permits with the real ledger: two holders with one target each, a third target that
//! crashes, a bound of one, late and duplicate messages, a deposed leader that proposes from an old ledger, a halt, and
//! holders that die.
//!
//! The model keeps the true state of a target apart from the ledger's view. A holder stops its target once it is told
//! that the target is drained. If the target counts as back while it is stopped, another grant would exceed the bound.

use std::collections::BTreeSet;

use sandgap_rollout::ledger::TargetState;
use sandgap_rollout::{Bound, Entry, Labels, Ledger, Limit, PermitRequest, Phase, Scope, Target, TargetKind};
use stateright::{Checker, Model, Property};

const GRANT_SAFETY: &str = "no grant exceeds the bound or ignores a halt";
const STOPPED_IS_OUT: &str = "a stopped or broken target is out, and a stopped one is drained";

const HOLDERS: usize = 2;
const TARGETS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// A grant is applied as the leader proposed it, without the ledger's own check.
    TrustsLeader,
    /// Lost targets are not counted as out.
    IgnoresLost,
    /// Targets of a dead holder count as back after a timeout.
    PermitExpires,
    /// A return is accepted with any fence.
    NoFence,
    /// A target counts as back as soon as its holder reports it returned.
    TrustsHolder,
    /// A halt stops later requests but not waiting ones.
    HaltSkipsWaiting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum TrueState {
    Up,
    Stopped,
    /// The holder has restarted it and reported it, but it does not work.
    Broken,
    Crashed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Holder {
    /// Carries the number of permits that the holder has had.
    Wants(u8),
    Asked(u8),
    Working(u8, u64),
    Done,
    Dead,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The encoded ledger without its audit record.
    ledger: Vec<u8>,
    /// The ledger as a deposed leader knows it.
    old_ledger: Option<Vec<u8>>,
    true_states: [TrueState; TARGETS],
    holders: [Holder; HOLDERS],
    /// Messages in flight; each may be delivered more than once.
    messages: BTreeSet<Message>,
    /// A halt has been acknowledged and grants have not been resumed.
    halted: bool,
    halts: u8,
    /// A grant has violated the bound or a halt.
    unsafe_grant: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Ask(usize, u8),
    Returned(usize, u64),
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Ask(usize),
    Deliver(Message),
    Depose,
    Grant(u64),
    GrantByDeposed(u64),
    Drained(usize),
    Stop(usize),
    Start(usize, bool),
    Repair(usize),
    Die(usize),
    Crash,
    SeenLost,
    SeenBack(usize),
    Expire(usize),
    Halt,
    Resume,
}

struct PermitModel(Defect);

fn target(n: usize) -> Target {
    Target::backend(&format!("b{n}"))
}

fn read(bytes: &[u8]) -> Ledger {
    postcard::from_bytes(bytes).expect("decode the encoded ledger")
}

fn bounds(most: u32) -> Entry {
    let bounds = vec![Bound { kind: TargetKind::Backend, scope: Scope::Fleet, limit: Limit::Count(most) }];
    Entry::Bounds { bounds, by: String::new(), why: String::new() }
}

fn seen(n: usize, lost: bool) -> Entry {
    Entry::UpdateTargets(vec![(target(n), Some(TargetState { labels: Labels::default(), lost }))])
}

/// Number of permits that each holder requests in sequence for its target.
const WANTED: [u8; HOLDERS] = [2, 1];

fn request(holder: usize, round: u8) -> PermitRequest {
    let (id, targets) = (holder as u64 + 1 + 10 * u64::from(round), BTreeSet::from([target(holder)]));
    PermitRequest {
        id,
        holder: String::new(),
        why: String::new(),
        priority: 5,
        targets,
        waits: true,
        bypass_reason: None,
        release: None,
    }
}

/// Whether the holder's latest request reports its target as drained.
fn is_told_drained(ledger: &Ledger, holder: usize, round: u8) -> bool {
    let id = request(holder, round).id;
    let grant = ledger.permits().find(|p| p.request.id == id).and_then(|p| p.grant.as_ref());
    grant.is_some_and(|(_, phases)| matches!(phases.get(&target(holder)), Some(Phase::Drained(_))))
}

impl State {
    fn apply(&mut self, entries: impl IntoIterator<Item = Entry>) {
        let mut ledger = read(&self.ledger);
        entries.into_iter().for_each(|entry| drop(ledger.apply(entry)));
        self.ledger = postcard::to_stdvec(&ledger.without_record()).expect("encode the ledger");
    }

    fn phase(&self, n: usize) -> Option<(u64, Phase)> {
        read(&self.ledger).phase(&target(n))
    }
}

impl PermitModel {
    fn grant(&self, state: &mut State, id: u64) {
        let before = read(&state.ledger);
        let (out, granted) = (before.out().len(), before.granted().count());
        let entry = Entry::Grant { id, evidence: None };
        let halt = || Entry::Halt { by: String::new(), why: String::new() };
        match self.0 {
            Defect::TrustsLeader => state.apply([bounds(9), entry, bounds(1)]),
            Defect::IgnoresLost if state.true_states[2] == TrueState::Crashed => {
                let lost = before.targets()[&target(2)].lost;
                state.apply([seen(2, false), entry, seen(2, lost)]);
            }
            Defect::HaltSkipsWaiting if before.halted().is_some() => {
                state.apply([Entry::Resume { by: String::new() }, entry]);
                if read(&state.ledger).granted().count() == granted {
                    state.apply([halt()]);
                }
            }
            _ => state.apply([entry]),
        }
        let after = read(&state.ledger);
        let has_granted = after.granted().count() > granted;
        state.unsafe_grant |=
            has_granted && (after.out().len() > 1.max(out) || state.halted || after.out().len() > 1);
    }

    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Ask(holder, round) => state.apply([Entry::RequestPermit(request(holder, round))]),
            Message::Returned(n, fence) => {
                let current_fence = state.phase(n).map(|(current, _)| current);
                let fence = if self.0 == Defect::NoFence { current_fence.unwrap_or(fence) } else { fence };
                state.apply([Entry::Returned { target: target(n), fence, runs: None }]);
                if self.0 == Defect::TrustsHolder {
                    state.apply([Entry::Restored { target: target(n), fence }]);
                }
            }
        }
    }
}

impl Model for PermitModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            ledger: postcard::to_stdvec(&Ledger::default()).expect("encode the ledger"),
            old_ledger: None,
            true_states: [TrueState::Up; TARGETS],
            holders: [Holder::Wants(0); HOLDERS],
            messages: BTreeSet::new(),
            halted: false,
            halts: 0,
            unsafe_grant: false,
        };
        state.apply((0..TARGETS).map(|n| seen(n, false)).chain([bounds(1)]));
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let ledger = read(&state.ledger);
        for n in 0..HOLDERS {
            match state.holders[n] {
                Holder::Wants(_) => actions.push(Step::Ask(n)),
                Holder::Asked(round) if is_told_drained(&ledger, n, round) => actions.push(Step::Stop(n)),
                Holder::Working(..) => {
                    actions.extend([Step::Start(n, true), Step::Start(n, false), Step::Die(n)]);
                }
                _ => {}
            }
        }
        actions.extend(state.messages.iter().map(|m| Step::Deliver(*m)));
        if state.old_ledger.is_none() {
            actions.push(Step::Depose);
        }
        actions.extend(ledger.next_grant(None).map(Step::Grant));
        if self.0 == Defect::HaltSkipsWaiting {
            actions.extend(ledger.permits().filter(|p| p.grant.is_none()).map(|p| Step::Grant(p.request.id)));
        }
        if let Some(old_ledger) = &state.old_ledger {
            actions.extend(read(old_ledger).next_grant(None).map(Step::GrantByDeposed));
        }
        for n in 0..TARGETS {
            match state.phase(n) {
                Some((_, Phase::Granted)) => actions.push(Step::Drained(n)),
                Some((_, Phase::Returning)) if state.true_states[n] == TrueState::Up => {
                    actions.push(Step::SeenBack(n))
                }
                Some(_) if self.0 == Defect::PermitExpires => actions.push(Step::Expire(n)),
                _ => {}
            }
        }
        actions.extend((0..HOLDERS).filter(|n| state.true_states[*n] == TrueState::Broken).map(Step::Repair));
        match state.true_states[2] {
            TrueState::Crashed if !ledger.targets()[&target(2)].lost => actions.push(Step::SeenLost),
            TrueState::Up => actions.push(Step::Crash),
            _ => {}
        }
        match state.halted {
            false if state.halts == 0 => actions.push(Step::Halt),
            true => actions.push(Step::Resume),
            false => {}
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Ask(n) => {
                let Holder::Wants(round) = last.holders[n] else { return None };
                state.holders[n] = Holder::Asked(round);
                state.messages.insert(Message::Ask(n, round));
            }
            // The message stays in flight: it may be delivered again or never.
            Step::Deliver(message) => self.deliver(&mut state, message),
            Step::Depose => state.old_ledger = Some(state.ledger.clone()),
            Step::Grant(id) | Step::GrantByDeposed(id) => self.grant(&mut state, id),
            Step::Drained(n) => {
                let fence = last.phase(n)?.0;
                state.apply([Entry::Drained { target: target(n), fence, version: 1 }]);
            }
            Step::Stop(n) => {
                let Holder::Asked(round) = last.holders[n] else { return None };
                state.true_states[n] = TrueState::Stopped;
                state.holders[n] = Holder::Working(round, last.phase(n)?.0);
            }
            Step::Repair(n) => state.true_states[n] = TrueState::Up,
            Step::Start(n, works) => {
                let Holder::Working(round, fence) = last.holders[n] else { return None };
                state.true_states[n] = if works { TrueState::Up } else { TrueState::Broken };
                state.messages.insert(Message::Returned(n, fence));
                let wants_another = round + 1 < WANTED[n];
                state.holders[n] = if wants_another { Holder::Wants(round + 1) } else { Holder::Done };
            }
            Step::Die(n) => state.holders[n] = Holder::Dead,
            Step::Crash => state.true_states[2] = TrueState::Crashed,
            Step::SeenLost => state.apply([seen(2, true)]),
            Step::SeenBack(n) | Step::Expire(n) => {
                let fence = last.phase(n)?.0;
                state.apply([
                    Entry::Returned { target: target(n), fence, runs: None },
                    Entry::Restored { target: target(n), fence },
                ]);
            }
            Step::Halt => {
                state.apply([Entry::Halt { by: String::new(), why: String::new() }]);
                (state.halted, state.halts) = (true, 1);
            }
            Step::Resume => {
                state.apply([Entry::Resume { by: String::new() }]);
                state.halted = false;
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(GRANT_SAFETY, |_, state: &State| !state.unsafe_grant),
            Property::always(STOPPED_IS_OUT, |_, state: &State| {
                (0..TARGETS).all(|n| match state.true_states[n] {
                    TrueState::Stopped => matches!(state.phase(n), Some((_, Phase::Drained(_)))),
                    TrueState::Broken => state.phase(n).is_some(),
                    TrueState::Up | TrueState::Crashed => true,
                })
            }),
            Property::sometimes("both holders have finished and no permit is left", |_, state: &State| {
                state.holders == [Holder::Done; HOLDERS] && read(&state.ledger).permits().next().is_none()
            }),
        ]
    }
}

fn check(defect: Defect) -> impl Checker<PermitModel> {
    PermitModel(defect).checker().threads(2).spawn_bfs().join()
}

#[test]
fn no_grant_exceeds_a_bound_or_ignores_a_halt_in_any_state() {
    let checker = check(Defect::None);
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn each_of_six_defects_is_found() {
    for defect in [
        Defect::TrustsLeader,
        Defect::IgnoresLost,
        Defect::PermitExpires,
        Defect::NoFence,
        Defect::TrustsHolder,
        Defect::HaltSkipsWaiting,
    ] {
        let checker = check(defect);
        assert!(
            [GRANT_SAFETY, STOPPED_IS_OUT].iter().any(|name| checker.discovery(name).is_some()),
            "{defect:?}"
        );
    }
}
