//! A model of takeover, searched whole: an owner, a keeper, two heirs, a proxy to which the client comes back, a
//! backend and a client, with loss, crashes, and processes that stand still (any step may wait for any number of
//! ticks). Repeats at the backend are dropped within its window where the request is keyed.
//!
//! Words between proxies wait as long as they like or never arrive; what goes to the backend arrives within its tick
//! or never. What a step needs is checked when it is taken, and a process may stand still right after any of them.

use stateright::{Checker, Model, Property};

/// Leases, ticks.
const T: u8 = 1;
/// The window within which the backend's group drops repeats, ticks.
const WINDOW: u8 = 3;
const END: u8 = 4;
/// Of those whose leases are not looked at.
const ALWAYS: u8 = u8::MAX;
/// A fence whose leases have all ended.
const PAST: u8 = u8::MAX;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// The first byte goes before the keeper has the step.
    SendBeforeKeeping,
    /// Nobody looks at the lease before it sends or answers.
    NoLeaseCheck,
    /// A second heir begins without an epoch of its own, while the first acts.
    HeirWithoutEpoch,
    /// An heir begins before old leases have ended, and the keeper does not hold the old owner off.
    HeirTooSoon,
    /// That an attempt goes out is told to nobody.
    SentNotRecorded,
    /// An answer is given before it is recorded.
    AnswerByBoth,
}

#[derive(Clone, Debug)]
struct Takeover {
    keyed: bool,
    defect: Defect,
}

/// What the keeper has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Copy {
    Taken,
    /// And until when repeats are surely dropped.
    Sent(u8),
    Done,
    Unknown,
}

/// How far a process is with the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Step {
    #[default]
    Idle,
    /// It has asked the keeper to keep that it was taken.
    Asks,
    /// The keeper has that.
    Taken,
    /// It has asked the keeper to keep that it goes out.
    Sends,
    /// The keeper has that.
    MaySend,
    /// The backend's answer is here.
    Answered,
    /// It has asked the keeper to keep the answer.
    Records,
    /// The keeper has it.
    MayTell,
    /// It has asked the keeper to keep that nobody knows.
    GivesUp,
    MaySayUnknown,
    Over,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Proc {
    step: Step,
    /// Until when it may act.
    lease: u8,
    /// Fenced since.
    fenced: Option<u8>,
    dead: bool,
    /// Of an heir that repeats: until when repeats are surely dropped, 0 for no matter.
    until: u8,
}

const OWNER: usize = 0;
const OTHER: usize = 1;
const HEIRS: [usize; 2] = [2, 3];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    procs: [Proc; 4],
    /// What the keeper has, and who acts for it.
    keeper: Option<(Copy, usize)>,
    /// Nothing of these is taken in any more.
    followed: [bool; 4],
    /// Heirs that have been named.
    named: [bool; 4],
    /// The backend: when it ran first, and how often in all.
    ran: Option<u8>,
    runs: u8,
    /// What the client has been told: an answer, that nobody knows.
    told: (bool, bool),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Tick,
    Renew(usize),
    Fence(usize),
    Die(usize),
    Name(usize),
    /// The client comes (to the owner at first, to another later).
    Come(usize),
    /// An heir asks the keeper for the hand.
    Gather(usize),
    /// The keeper takes in what a process asked, and the process hears of it.
    Keep(usize),
    /// A process goes on where nothing need be kept.
    Next(usize),
    Write(usize, bool),
    Tell(usize),
    /// The client comes back where the end is known.
    Back,
}

impl Takeover {
    fn leased(&self, state: &State, p: usize) -> bool {
        self.defect == Defect::NoLeaseCheck || state.now < state.procs[p].lease
    }

    /// Whether all that may have acted before an heir have stopped for good.
    fn may_name(&self, state: &State, heir: usize) -> bool {
        let past = |p: usize| match state.procs[p].fenced {
            Some(at) => at == PAST || self.defect == Defect::HeirTooSoon,
            None => false,
        };
        let before = if heir == HEIRS[1] { HEIRS[0] } else { OWNER };
        let first = heir == HEIRS[0] || state.named[HEIRS[0]];
        let followed = past(before) || heir == HEIRS[1] && self.defect == Defect::HeirWithoutEpoch;
        first && past(OWNER) && followed && !state.named[heir] && state.procs[heir].fenced.is_none()
    }

    fn wants(step: Step) -> Option<(Step, Option<Copy>)> {
        match step {
            Step::Asks => Some((Step::Taken, Some(Copy::Taken))),
            Step::Sends => Some((Step::MaySend, Some(Copy::Sent(0)))),
            Step::Records => Some((Step::MayTell, Some(Copy::Done))),
            Step::GivesUp => Some((Step::MaySayUnknown, Some(Copy::Unknown))),
            _ => None,
        }
    }

    /// The keeper takes a step in, or not; `true` where the process may go on.
    fn keep(&self, state: &mut State, p: usize, copy: Copy) -> bool {
        if state.followed[p] {
            return false;
        }
        let copy = match (copy, state.keeper) {
            // The window counts from the first attempt.
            (Copy::Sent(_), Some((Copy::Sent(until), _))) => Copy::Sent(until),
            (Copy::Sent(_), _) => Copy::Sent(state.now + WINDOW),
            (copy, _) => copy,
        };
        match state.keeper {
            None => {}
            Some((Copy::Done | Copy::Unknown, actor)) if actor != p => return false,
            Some((_, actor)) if actor == p => {}
            // Only a later heir takes the place of one that was followed.
            Some((_, actor)) if state.followed[actor] && HEIRS.contains(&p) && p > actor => {}
            Some(_) if self.defect == Defect::HeirTooSoon => {}
            // Without epochs all heirs look the same.
            Some((_, actor))
                if self.defect == Defect::HeirWithoutEpoch
                    && HEIRS.contains(&p)
                    && HEIRS.contains(&actor) => {}
            Some(_) => return false,
        }
        state.keeper = Some((copy, p));
        true
    }

    fn gather(&self, state: &mut State, heir: usize) {
        for before in [OWNER, HEIRS[0]] {
            // Without an epoch the keeper can't tell a follower from a stranger, and holds nobody off.
            if before != heir && self.defect != Defect::HeirTooSoon && self.defect != Defect::HeirWithoutEpoch
            {
                state.followed[before] = true;
            }
        }
        let mine = |actor: usize| actor == OWNER || actor == HEIRS[0];
        state.procs[heir].step = match state.keeper {
            Some((copy, actor)) if mine(actor) => {
                if self.defect == Defect::HeirTooSoon || self.defect == Defect::HeirWithoutEpoch {
                    state.keeper = Some((copy, heir));
                }
                match copy {
                    Copy::Taken => Step::Taken,
                    Copy::Sent(until) if self.keyed && state.now < until => {
                        state.procs[heir].until = until;
                        Step::Taken
                    }
                    Copy::Sent(_) => Step::GivesUp,
                    Copy::Done | Copy::Unknown => Step::Over,
                }
            }
            _ => Step::Over,
        };
    }

    /// Where a step that need not be kept takes a process.
    fn goes_on(&self, step: Step) -> Option<Step> {
        match step {
            Step::Taken if self.defect == Defect::SentNotRecorded => Some(Step::MaySend),
            Step::Taken => Some(Step::Sends),
            Step::Sends if self.defect == Defect::SendBeforeKeeping => Some(Step::MaySend),
            Step::Answered if self.defect == Defect::AnswerByBoth => Some(Step::MayTell),
            Step::Answered => Some(Step::Records),
            _ => None,
        }
    }

    /// One form for states between which no rule and no property can tell.
    fn settle(state: &mut State) {
        for proc in &mut state.procs {
            if proc.dead {
                (proc.step, proc.lease) = (Step::Over, 0);
            }
            if proc.step == Step::Over {
                proc.until = 0;
            }
            if proc.lease <= state.now {
                proc.lease = 0;
            }
            if proc.fenced.is_some_and(|at| at != PAST && state.now >= at + T) {
                proc.fenced = Some(PAST);
            }
        }
        if let Some((Copy::Sent(until), actor)) = state.keeper
            && until <= state.now
        {
            state.keeper = Some((Copy::Sent(0), actor));
        }
        if state.ran.is_some_and(|at| at != PAST && state.now >= at + WINDOW) {
            state.ran = Some(PAST);
        }
    }

    fn run(&self, state: &mut State) {
        let dropped = self.keyed && state.ran.is_some_and(|at| at != PAST);
        if !dropped {
            state.runs += 1;
            state.ran = Some(state.now);
        }
    }
}

impl Model for Takeover {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let live = |lease| Proc { lease, ..Proc::default() };
        vec![State {
            now: 0,
            procs: [live(T), live(ALWAYS), live(T), live(ALWAYS)],
            keeper: None,
            followed: [false; 4],
            named: [false; 4],
            ran: None,
            runs: 0,
            told: (false, false),
        }]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Act>) {
        if state.now < END {
            acts.push(Act::Tick);
        }
        for (p, proc) in state.procs.iter().enumerate() {
            if proc.dead {
                continue;
            }
            // A question asked before the fence may be answered until it is there; none after.
            if proc.fenced.is_none() && proc.lease < state.now + T && proc.step != Step::Over {
                acts.push(Act::Renew(p));
            }
            if p != HEIRS[1] && p != OTHER && proc.fenced.is_none() {
                acts.push(Act::Fence(p));
            }
            if p == OWNER || p == HEIRS[0] {
                acts.push(Act::Die(p));
            }
            if p < 2 && proc.step == Step::Idle {
                acts.push(Act::Come(p));
            }
            if HEIRS.contains(&p) && state.named[p] && proc.step == Step::Idle && self.leased(state, p) {
                acts.push(Act::Gather(p));
            }
            if Self::wants(proc.step).is_some() {
                acts.push(Act::Keep(p));
            }
            if self.goes_on(proc.step).is_some() {
                acts.push(Act::Next(p));
            }
            if proc.step == Step::MaySend && self.leased(state, p) {
                // The window is looked at again with the first byte: it may have ended since the hand was gathered.
                let dropped = proc.until == 0 || state.now < proc.until;
                acts.extend(
                    [true, false].into_iter().filter(|arrives| dropped || !arrives).map(|a| Act::Write(p, a)),
                );
            }
            if matches!(proc.step, Step::MayTell | Step::MaySayUnknown) && self.leased(state, p) {
                acts.push(Act::Tell(p));
            }
        }
        acts.extend(HEIRS.into_iter().filter(|h| self.may_name(state, *h)).map(Act::Name));
        if matches!(state.keeper, Some((Copy::Done | Copy::Unknown, _))) {
            acts.push(Act::Back);
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut state = last.clone();
        match act {
            Act::Tick => state.now += 1,
            Act::Renew(p) => state.procs[p].lease = state.now + T,
            Act::Fence(p) => state.procs[p].fenced = Some(state.now),
            Act::Die(p) => state.procs[p].dead = true,
            Act::Name(heir) => state.named[heir] = true,
            Act::Come(p) => state.procs[p].step = Step::Asks,
            Act::Gather(heir) => self.gather(&mut state, heir),
            Act::Keep(p) => {
                let (next, copy) = Self::wants(state.procs[p].step)?;
                let kept = copy.is_none_or(|copy| self.keep(&mut state, p, copy));
                state.procs[p].step = if kept { next } else { Step::Over };
            }
            Act::Next(p) => state.procs[p].step = self.goes_on(state.procs[p].step)?,
            Act::Write(p, arrives) => {
                state.procs[p].step = if arrives { Step::Answered } else { Step::GivesUp };
                if arrives {
                    self.run(&mut state);
                }
            }
            Act::Tell(p) => {
                match state.procs[p].step {
                    Step::MayTell => state.told.0 = true,
                    _ => state.told.1 = true,
                }
                state.procs[p].step = Step::Over;
            }
            Act::Back => match state.keeper {
                Some((Copy::Done, _)) => state.told.0 = true,
                Some((Copy::Unknown, _)) => state.told.1 = true,
                _ => {}
            },
        }
        Self::settle(&mut state);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONCE, |_: &Takeover, state: &State| state.runs <= 1),
            Property::always(ONE, |_: &Takeover, state: &State| state.told != (true, true)),
            Property::sometimes("an heir's answer is told", |_, state: &State| {
                state.told.0 && HEIRS.into_iter().any(|h| state.procs[h].step == Step::Over)
            }),
            Property::sometimes("nobody knows, and it is said", |_, state: &State| state.told.1),
            Property::sometimes("the second heir ends it", |_, state: &State| {
                state.procs[HEIRS[1]].step == Step::Over && state.told != (false, false)
            }),
        ]
    }
}

const ONCE: &str = "nothing takes effect twice";
const ONE: &str = "no identity gets two different answers";

fn check(keyed: bool, defect: Defect) -> (usize, Vec<&'static str>) {
    let checker = Takeover { keyed, defect }.checker().threads(4).spawn_bfs().join();
    let broken: Vec<&str> =
        [ONCE, ONE].into_iter().filter(|rule| checker.discovery(rule).is_some()).collect();
    if defect == Defect::None {
        for rule in &broken {
            println!("{}", checker.discovery(rule).expect("just seen"));
        }
        for lively in ["an heir's answer is told", "nobody knows, and it is said", "the second heir ends it"]
        {
            checker.assert_any_discovery(lively);
        }
    }
    (checker.unique_state_count(), broken)
}

#[test]
fn nothing_runs_twice_and_nobody_gets_two_answers() {
    for keyed in [false, true] {
        let (states, broken) = check(keyed, Defect::None);
        println!("keyed {keyed}: {states} states");
        assert!(broken.is_empty(), "{broken:?}");
        assert!(states > 10_000, "{states}: the model has been cut down to nothing");
    }
}

#[test]
fn each_of_six_defects_is_caught() {
    // Leases and keepers each hold an old owner off. So an heir that begins too soon is caught only at keepers that
    // don't, and a lease that is not looked at only where a repeat is allowed.
    for defect in [
        Defect::SendBeforeKeeping,
        Defect::NoLeaseCheck,
        Defect::HeirWithoutEpoch,
        Defect::HeirTooSoon,
        Defect::SentNotRecorded,
        Defect::AnswerByBoth,
    ] {
        // What the keeper alone can hold off shows only where repeats are allowed.
        let found = [false, true].into_iter().any(|keyed| {
            let (states, broken) = check(keyed, defect);
            println!("{defect:?}, keyed {keyed}: {states} states, {broken:?}");
            !broken.is_empty()
        });
        assert!(found, "{defect:?}");
    }
}
