//! A model of permits, searched whole, with the real ledger in it: two holders with a target each, a third target that
//! crashes, a bound of one, messages that come late and twice, a leader that is overtaken and proposes by an old ledger,
//! a halt, holders that die.
//!
//! What is true of a target is apart from what the ledger knows: a holder that was told that its target is empty stops
//! it, and whoever thinks it back while it is stopped has given away room that is not there.

use std::collections::BTreeSet;

use sandgap_rollout::ledger::Known;
use sandgap_rollout::{Asking, Bound, Entry, Labels, Ledger, Most, Per, Phase, Side, Target};
use stateright::{Checker, Model, Property};

const PASSED: &str = "no grant passes the bound or a halt";
const STOPPED: &str = "what is stopped or broken is out, and what is stopped nobody uses";

const HOLDERS: usize = 2;
const TARGETS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// A grant is applied because a leader thought it right, whatever the ledger says by then.
    TrustsLeader,
    /// Who is lost is not counted.
    ForgetsLost,
    /// What a dead holder had counts as back after a while.
    TimeGivesBack,
    /// What is returned is returned, whatever the fence.
    NoFence,
    /// It counts as back as soon as its holder says so.
    Unseen,
    /// A halt stops what is asked for after it, and not what waits.
    HaltsLate,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Truth {
    Up,
    Stopped,
    /// Its holder has started it again and says so, and it does not work.
    Broken,
    Crashed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Holder {
    /// With how many permits it has had.
    Wants(u8),
    Asked(u8),
    Working(u8, u64),
    Done,
    Dead,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The ledger's bytes, without its record.
    ledger: Vec<u8>,
    /// As a leader knows it that has been overtaken.
    old: Option<Vec<u8>>,
    truth: [Truth; TARGETS],
    holders: [Holder; HOLDERS],
    /// On their way, perhaps more than once.
    words: BTreeSet<Word>,
    /// A halt is acknowledged, and nobody has let grants go on.
    halted: bool,
    halts: u8,
    /// What was wrong when it happened.
    wrong: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Word {
    Ask(usize, u8),
    Returned(usize, u64),
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Ask(usize),
    Deliver(Word),
    Overtake,
    Grant(u64),
    GrantByOld(u64),
    Drained(usize),
    Stop(usize),
    Start(usize, bool),
    Mend(usize),
    Die(usize),
    Crash,
    SeenLost,
    SeenBack(usize),
    Forgotten(usize),
    Halt,
    Resume,
}

struct Permits(Defect);

fn target(n: usize) -> Target {
    Target::backend(&format!("b{n}"))
}

fn read(bytes: &[u8]) -> Ledger {
    postcard::from_bytes(bytes).expect("its own")
}

fn bounds(most: u32) -> Entry {
    let bounds = vec![Bound { side: Side::Backend, per: Per::Fleet, most: Most::Count(most) }];
    Entry::Bounds { bounds, by: String::new(), why: String::new() }
}

fn seen(n: usize, lost: bool) -> Entry {
    Entry::Seen(vec![(target(n), Some(Known { labels: Labels::default(), lost }))])
}

/// Permits that each holder wants, one after another, for its one target.
const WANTED: [u8; HOLDERS] = [2, 1];

fn asking(holder: usize, round: u8) -> Asking {
    let (id, targets) = (holder as u64 + 1 + 10 * u64::from(round), BTreeSet::from([target(holder)]));
    Asking {
        id,
        holder: String::new(),
        why: String::new(),
        priority: 5,
        targets,
        waits: true,
        beyond: None,
        release: None,
    }
}

/// Whether a holder is told that its target is empty, under the wish that it made last.
fn told_empty(ledger: &Ledger, holder: usize, round: u8) -> bool {
    let id = asking(holder, round).id;
    let own = ledger.permits().find(|p| p.asking.id == id).and_then(|p| p.grant.as_ref());
    own.is_some_and(|(_, all)| matches!(all.get(&target(holder)), Some(Phase::Drained(_))))
}

impl State {
    fn apply(&mut self, entries: impl IntoIterator<Item = Entry>) {
        let mut ledger = read(&self.ledger);
        entries.into_iter().for_each(|entry| drop(ledger.apply(entry)));
        self.ledger = postcard::to_stdvec(&ledger.without_record()).expect("plain");
    }

    fn phase(&self, n: usize) -> Option<(u64, Phase)> {
        read(&self.ledger).phase(&target(n))
    }
}

impl Permits {
    fn grant(&self, state: &mut State, id: u64) {
        let before = read(&state.ledger);
        let (out, granted) = (before.out().len(), before.granted().count());
        let entry = Entry::Grant { id, evidence: None };
        let halt = || Entry::Halt { by: String::new(), why: String::new() };
        match self.0 {
            Defect::TrustsLeader => state.apply([bounds(9), entry, bounds(1)]),
            Defect::ForgetsLost if state.truth[2] == Truth::Crashed => {
                let lost = before.targets()[&target(2)].lost;
                state.apply([seen(2, false), entry, seen(2, lost)]);
            }
            Defect::HaltsLate if before.halted().is_some() => {
                state.apply([Entry::Resume { by: String::new() }, entry]);
                if read(&state.ledger).granted().count() == granted {
                    state.apply([halt()]);
                }
            }
            _ => state.apply([entry]),
        }
        let after = read(&state.ledger);
        let more = after.granted().count() > granted;
        state.wrong |= more && (after.out().len() > 1.max(out) || state.halted || after.out().len() > 1);
    }

    fn deliver(&self, state: &mut State, word: Word) {
        match word {
            Word::Ask(holder, round) => state.apply([Entry::Ask(asking(holder, round))]),
            Word::Returned(n, fence) => {
                let now = state.phase(n).map(|(now, _)| now);
                let fence = if self.0 == Defect::NoFence { now.unwrap_or(fence) } else { fence };
                state.apply([Entry::Returned { target: target(n), fence, runs: None }]);
                if self.0 == Defect::Unseen {
                    state.apply([Entry::Back { target: target(n), fence }]);
                }
            }
        }
    }
}

impl Model for Permits {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            ledger: postcard::to_stdvec(&Ledger::default()).expect("plain"),
            old: None,
            truth: [Truth::Up; TARGETS],
            holders: [Holder::Wants(0); HOLDERS],
            words: BTreeSet::new(),
            halted: false,
            halts: 0,
            wrong: false,
        };
        state.apply((0..TARGETS).map(|n| seen(n, false)).chain([bounds(1)]));
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let ledger = read(&state.ledger);
        for n in 0..HOLDERS {
            match state.holders[n] {
                Holder::Wants(_) => actions.push(Step::Ask(n)),
                Holder::Asked(round) if told_empty(&ledger, n, round) => actions.push(Step::Stop(n)),
                Holder::Working(..) => {
                    actions.extend([Step::Start(n, true), Step::Start(n, false), Step::Die(n)]);
                }
                _ => {}
            }
        }
        actions.extend(state.words.iter().map(|w| Step::Deliver(*w)));
        if state.old.is_none() {
            actions.push(Step::Overtake);
        }
        actions.extend(ledger.next_grant(None).map(Step::Grant));
        if self.0 == Defect::HaltsLate {
            actions.extend(ledger.permits().filter(|p| p.grant.is_none()).map(|p| Step::Grant(p.asking.id)));
        }
        if let Some(old) = &state.old {
            actions.extend(read(old).next_grant(None).map(Step::GrantByOld));
        }
        for n in 0..TARGETS {
            match state.phase(n) {
                Some((_, Phase::Granted)) => actions.push(Step::Drained(n)),
                Some((_, Phase::Returning)) if state.truth[n] == Truth::Up => actions.push(Step::SeenBack(n)),
                Some(_) if self.0 == Defect::TimeGivesBack => actions.push(Step::Forgotten(n)),
                _ => {}
            }
        }
        actions.extend((0..HOLDERS).filter(|n| state.truth[*n] == Truth::Broken).map(Step::Mend));
        match state.truth[2] {
            Truth::Crashed if !ledger.targets()[&target(2)].lost => actions.push(Step::SeenLost),
            Truth::Up => actions.push(Step::Crash),
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
                state.words.insert(Word::Ask(n, round));
            }
            // It stays: it may come again, or not at all.
            Step::Deliver(word) => self.deliver(&mut state, word),
            Step::Overtake => state.old = Some(state.ledger.clone()),
            Step::Grant(id) | Step::GrantByOld(id) => self.grant(&mut state, id),
            Step::Drained(n) => {
                let fence = last.phase(n)?.0;
                state.apply([Entry::Drained { target: target(n), fence, version: 1 }]);
            }
            Step::Stop(n) => {
                let Holder::Asked(round) = last.holders[n] else { return None };
                state.truth[n] = Truth::Stopped;
                state.holders[n] = Holder::Working(round, last.phase(n)?.0);
            }
            Step::Mend(n) => state.truth[n] = Truth::Up,
            Step::Start(n, well) => {
                let Holder::Working(round, fence) = last.holders[n] else { return None };
                state.truth[n] = if well { Truth::Up } else { Truth::Broken };
                state.words.insert(Word::Returned(n, fence));
                let more = round + 1 < WANTED[n];
                state.holders[n] = if more { Holder::Wants(round + 1) } else { Holder::Done };
            }
            Step::Die(n) => state.holders[n] = Holder::Dead,
            Step::Crash => state.truth[2] = Truth::Crashed,
            Step::SeenLost => state.apply([seen(2, true)]),
            Step::SeenBack(n) | Step::Forgotten(n) => {
                let fence = last.phase(n)?.0;
                state.apply([
                    Entry::Returned { target: target(n), fence, runs: None },
                    Entry::Back { target: target(n), fence },
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
            Property::always(PASSED, |_, state: &State| !state.wrong),
            Property::always(STOPPED, |_, state: &State| {
                (0..TARGETS).all(|n| match state.truth[n] {
                    Truth::Stopped => matches!(state.phase(n), Some((_, Phase::Drained(_)))),
                    Truth::Broken => state.phase(n).is_some(),
                    Truth::Up | Truth::Crashed => true,
                })
            }),
            Property::sometimes("both have been out and are back", |_, state: &State| {
                state.holders == [Holder::Done; HOLDERS] && read(&state.ledger).permits().next().is_none()
            }),
        ]
    }
}

fn search(defect: Defect) -> impl Checker<Permits> {
    Permits(defect).checker().threads(2).spawn_bfs().join()
}

#[test]
fn no_grant_passes_a_bound_or_a_halt_in_any_state() {
    let found = search(Defect::None);
    println!("{} states", found.unique_state_count());
    found.assert_properties();
}

#[test]
fn six_defects_are_each_found() {
    for defect in [
        Defect::TrustsLeader,
        Defect::ForgetsLost,
        Defect::TimeGivesBack,
        Defect::NoFence,
        Defect::Unseen,
        Defect::HaltsLate,
    ] {
        let found = search(defect);
        assert!([PASSED, STOPPED].iter().any(|name| found.discovery(name).is_some()), "{defect:?}");
    }
}
