//! An exhaustively checked model of takeover: an owner, a keeper, two successors, a proxy that receives the client's
//! retry, a backend and a client, with message loss, crashes, and standstills of processes (any step may be delayed for
//! any number of ticks). For a keyed request the backend drops repeats within its dedup window.
//!
//! Messages between proxies may be delayed without bound or lost; a message to the backend arrives within its tick or
//! never. The preconditions of a step are checked when it is taken, and a process may stand still after any step.

use stateright::{Checker, Model, Property};

/// Length of a lease, ticks.
const LEASE: u8 = 1;
/// The window within which the backend's group drops repeats, ticks.
const WINDOW: u8 = 3;
/// Last tick of the model.
const LAST_TICK: u8 = 4;
/// Lease of processes whose leases are not modelled.
const ALWAYS: u8 = u8::MAX;
/// A fence after which all leases have ended, or a run whose dedup window has passed.
const PAST: u8 = u8::MAX;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// The first byte is sent before the keeper has stored the step.
    SendBeforeKeeping,
    /// Processes do not check the lease before they send or answer.
    NoLeaseCheck,
    /// A second successor begins without its own epoch while the first is active.
    HeirWithoutEpoch,
    /// A successor begins before old leases have ended, and the keeper does not refuse the old owner.
    HeirTooSoon,
    /// Attempts are sent without a record.
    SentNotRecorded,
    /// An answer is given before it is recorded.
    AnswerByBoth,
}

#[derive(Clone, Debug)]
struct Takeover {
    keyed: bool,
    defect: Defect,
}

/// The step that the keeper has stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stored {
    Taken,
    /// With the time until which repeats are guaranteed to be dropped.
    Sent(u8),
    Done,
    Unknown,
}

/// The progress of a process with the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Step {
    #[default]
    Idle,
    /// It asked the keeper to store that the request was accepted.
    Asks,
    /// The keeper has stored it.
    Taken,
    /// It asked the keeper to store that an attempt is sent.
    Sends,
    /// The keeper has stored it.
    MaySend,
    /// The backend's answer has arrived.
    Answered,
    /// It asked the keeper to store the answer.
    Records,
    /// The keeper has stored it.
    MayTell,
    /// It asked the keeper to store that the outcome is unknown.
    GivesUp,
    MaySayUnknown,
    Over,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Proc {
    step: Step,
    /// End of its lease.
    lease: u8,
    /// When it was fenced.
    fenced: Option<u8>,
    dead: bool,
    /// For a successor that repeats: time until which repeats are guaranteed to be dropped; 0 for no limit.
    until: u8,
}

const OWNER: usize = 0;
const OTHER: usize = 1;
const SUCCESSORS: [usize; 2] = [2, 3];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    procs: [Proc; 4],
    /// The stored step, and the process that acts for the request.
    keeper: Option<(Stored, usize)>,
    /// Processes whose steps the keeper refuses.
    superseded: [bool; 4],
    /// Successors that have been appointed.
    appointed: [bool; 4],
    /// At the backend: when the request last took effect, and how often it did.
    ran: Option<u8>,
    runs: u8,
    /// Whether the client was told an answer, and whether it was told that the outcome is unknown.
    told: (bool, bool),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    Tick,
    Renew(usize),
    Fence(usize),
    Crash(usize),
    AppointSuccessor(usize),
    /// The client sends its request (first to the owner, later to the other proxy).
    Request(usize),
    /// A successor asks the keeper for the orphaned request.
    Collect(usize),
    /// The keeper stores a process's step, and the process receives the reply.
    Keep(usize),
    /// A process takes a step that need not be stored.
    Next(usize),
    Write(usize, bool),
    Tell(usize),
    /// The client retries where the end is known.
    Retry,
}

impl Takeover {
    fn leased(&self, state: &State, p: usize) -> bool {
        self.defect == Defect::NoLeaseCheck || state.now < state.procs[p].lease
    }

    /// Whether all processes that may have acted before a successor have stopped permanently.
    fn may_appoint(&self, state: &State, successor: usize) -> bool {
        let past = |p: usize| match state.procs[p].fenced {
            Some(at) => at == PAST || self.defect == Defect::HeirTooSoon,
            None => false,
        };
        let before = if successor == SUCCESSORS[1] { SUCCESSORS[0] } else { OWNER };
        let first = successor == SUCCESSORS[0] || state.appointed[SUCCESSORS[0]];
        let superseded =
            past(before) || successor == SUCCESSORS[1] && self.defect == Defect::HeirWithoutEpoch;
        first
            && past(OWNER)
            && superseded
            && !state.appointed[successor]
            && state.procs[successor].fenced.is_none()
    }

    fn requested_store(step: Step) -> Option<(Step, Option<Stored>)> {
        match step {
            Step::Asks => Some((Step::Taken, Some(Stored::Taken))),
            Step::Sends => Some((Step::MaySend, Some(Stored::Sent(0)))),
            Step::Records => Some((Step::MayTell, Some(Stored::Done))),
            Step::GivesUp => Some((Step::MaySayUnknown, Some(Stored::Unknown))),
            _ => None,
        }
    }

    /// The keeper stores or refuses a step; `true` if the process may continue.
    fn keep(&self, state: &mut State, p: usize, stored: Stored) -> bool {
        if state.superseded[p] {
            return false;
        }
        let stored = match (stored, state.keeper) {
            // The window counts from the first attempt.
            (Stored::Sent(_), Some((Stored::Sent(until), _))) => Stored::Sent(until),
            (Stored::Sent(_), _) => Stored::Sent(state.now + WINDOW),
            (stored, _) => stored,
        };
        match state.keeper {
            None => {}
            Some((Stored::Done | Stored::Unknown, actor)) if actor != p => return false,
            Some((_, actor)) if actor == p => {}
            // Only a later successor replaces a process that was taken over.
            Some((_, actor)) if state.superseded[actor] && SUCCESSORS.contains(&p) && p > actor => {}
            Some(_) if self.defect == Defect::HeirTooSoon => {}
            // Without epochs the keeper can't distinguish successors.
            Some((_, actor))
                if self.defect == Defect::HeirWithoutEpoch
                    && SUCCESSORS.contains(&p)
                    && SUCCESSORS.contains(&actor) => {}
            Some(_) => return false,
        }
        state.keeper = Some((stored, p));
        true
    }

    fn collect(&self, state: &mut State, successor: usize) {
        for before in [OWNER, SUCCESSORS[0]] {
            // Without an epoch the keeper can't recognize a successor, and refuses no process.
            if before != successor
                && self.defect != Defect::HeirTooSoon
                && self.defect != Defect::HeirWithoutEpoch
            {
                state.superseded[before] = true;
            }
        }
        let may_inherit = |actor: usize| actor == OWNER || actor == SUCCESSORS[0];
        state.procs[successor].step = match state.keeper {
            Some((stored, actor)) if may_inherit(actor) => {
                if self.defect == Defect::HeirTooSoon || self.defect == Defect::HeirWithoutEpoch {
                    state.keeper = Some((stored, successor));
                }
                match stored {
                    Stored::Taken => Step::Taken,
                    Stored::Sent(until) if self.keyed && state.now < until => {
                        state.procs[successor].until = until;
                        Step::Taken
                    }
                    Stored::Sent(_) => Step::GivesUp,
                    Stored::Done | Stored::Unknown => Step::Over,
                }
            }
            _ => Step::Over,
        };
    }

    /// The next state of a process after a step that need not be stored.
    fn next_step(&self, step: Step) -> Option<Step> {
        match step {
            Step::Taken if self.defect == Defect::SentNotRecorded => Some(Step::MaySend),
            Step::Taken => Some(Step::Sends),
            Step::Sends if self.defect == Defect::SendBeforeKeeping => Some(Step::MaySend),
            Step::Answered if self.defect == Defect::AnswerByBoth => Some(Step::MayTell),
            Step::Answered => Some(Step::Records),
            _ => None,
        }
    }

    /// Normalizes states that no rule and no property can distinguish.
    fn normalize(state: &mut State) {
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
            if proc.fenced.is_some_and(|at| at != PAST && state.now >= at + LEASE) {
                proc.fenced = Some(PAST);
            }
        }
        if let Some((Stored::Sent(until), actor)) = state.keeper
            && until <= state.now
        {
            state.keeper = Some((Stored::Sent(0), actor));
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
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let live = |lease| Proc { lease, ..Proc::default() };
        vec![State {
            now: 0,
            procs: [live(LEASE), live(ALWAYS), live(LEASE), live(ALWAYS)],
            keeper: None,
            superseded: [false; 4],
            appointed: [false; 4],
            ran: None,
            runs: 0,
            told: (false, false),
        }]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Action>) {
        if state.now < LAST_TICK {
            acts.push(Action::Tick);
        }
        for (p, proc) in state.procs.iter().enumerate() {
            if proc.dead {
                continue;
            }
            // A lease renewal may succeed until the fence, and not after it.
            if proc.fenced.is_none() && proc.lease < state.now + LEASE && proc.step != Step::Over {
                acts.push(Action::Renew(p));
            }
            if p != SUCCESSORS[1] && p != OTHER && proc.fenced.is_none() {
                acts.push(Action::Fence(p));
            }
            if p == OWNER || p == SUCCESSORS[0] {
                acts.push(Action::Crash(p));
            }
            if p < 2 && proc.step == Step::Idle {
                acts.push(Action::Request(p));
            }
            if SUCCESSORS.contains(&p)
                && state.appointed[p]
                && proc.step == Step::Idle
                && self.leased(state, p)
            {
                acts.push(Action::Collect(p));
            }
            if Self::requested_store(proc.step).is_some() {
                acts.push(Action::Keep(p));
            }
            if self.next_step(proc.step).is_some() {
                acts.push(Action::Next(p));
            }
            if proc.step == Step::MaySend && self.leased(state, p) {
                // The window is checked again at the first byte: it may have ended since the successor collected the
                // request.
                let dropped = proc.until == 0 || state.now < proc.until;
                acts.extend(
                    [true, false]
                        .into_iter()
                        .filter(|arrives| dropped || !arrives)
                        .map(|a| Action::Write(p, a)),
                );
            }
            if matches!(proc.step, Step::MayTell | Step::MaySayUnknown) && self.leased(state, p) {
                acts.push(Action::Tell(p));
            }
        }
        acts.extend(
            SUCCESSORS.into_iter().filter(|h| self.may_appoint(state, *h)).map(Action::AppointSuccessor),
        );
        if matches!(state.keeper, Some((Stored::Done | Stored::Unknown, _))) {
            acts.push(Action::Retry);
        }
    }

    fn next_state(&self, last: &State, act: Action) -> Option<State> {
        let mut state = last.clone();
        match act {
            Action::Tick => state.now += 1,
            Action::Renew(p) => state.procs[p].lease = state.now + LEASE,
            Action::Fence(p) => state.procs[p].fenced = Some(state.now),
            Action::Crash(p) => state.procs[p].dead = true,
            Action::AppointSuccessor(successor) => state.appointed[successor] = true,
            Action::Request(p) => state.procs[p].step = Step::Asks,
            Action::Collect(successor) => self.collect(&mut state, successor),
            Action::Keep(p) => {
                let (next, stored) = Self::requested_store(state.procs[p].step)?;
                let kept = stored.is_none_or(|stored| self.keep(&mut state, p, stored));
                state.procs[p].step = if kept { next } else { Step::Over };
            }
            Action::Next(p) => state.procs[p].step = self.next_step(state.procs[p].step)?,
            Action::Write(p, arrives) => {
                state.procs[p].step = if arrives { Step::Answered } else { Step::GivesUp };
                if arrives {
                    self.run(&mut state);
                }
            }
            Action::Tell(p) => {
                match state.procs[p].step {
                    Step::MayTell => state.told.0 = true,
                    _ => state.told.1 = true,
                }
                state.procs[p].step = Step::Over;
            }
            Action::Retry => match state.keeper {
                Some((Stored::Done, _)) => state.told.0 = true,
                Some((Stored::Unknown, _)) => state.told.1 = true,
                _ => {}
            },
        }
        Self::normalize(&mut state);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(AT_MOST_ONCE, |_: &Takeover, state: &State| state.runs <= 1),
            Property::always(ONE_ANSWER, |_: &Takeover, state: &State| state.told != (true, true)),
            Property::sometimes("a successor's answer is told", |_, state: &State| {
                state.told.0 && SUCCESSORS.into_iter().any(|h| state.procs[h].step == Step::Over)
            }),
            Property::sometimes("the client is told that the outcome is unknown", |_, state: &State| {
                state.told.1
            }),
            Property::sometimes("the second successor ends it", |_, state: &State| {
                state.procs[SUCCESSORS[1]].step == Step::Over && state.told != (false, false)
            }),
        ]
    }
}

const AT_MOST_ONCE: &str = "nothing takes effect twice";
const ONE_ANSWER: &str = "no identity gets two different answers";

fn check(keyed: bool, defect: Defect) -> (usize, Vec<&'static str>) {
    let checker = Takeover { keyed, defect }.checker().threads(4).spawn_bfs().join();
    let broken: Vec<&str> =
        [AT_MOST_ONCE, ONE_ANSWER].into_iter().filter(|rule| checker.discovery(rule).is_some()).collect();
    if defect == Defect::None {
        for rule in &broken {
            println!("{}", checker.discovery(rule).expect("just seen"));
        }
        for reachable in [
            "a successor's answer is told",
            "the client is told that the outcome is unknown",
            "the second successor ends it",
        ] {
            checker.assert_any_discovery(reachable);
        }
    }
    (checker.unique_state_count(), broken)
}

#[test]
fn nothing_runs_twice_and_no_client_gets_two_answers() {
    for keyed in [false, true] {
        let (states, broken) = check(keyed, Defect::None);
        println!("keyed {keyed}: {states} states");
        assert!(broken.is_empty(), "{broken:?}");
        assert!(states > 10_000, "{states}: too few; the model no longer covers its state space");
    }
}

#[test]
fn each_of_six_defects_is_caught() {
    // Leases and keepers each stop an old owner. So a successor that begins too soon is caught only with keepers that
    // do not refuse the old owner, and an unchecked lease only if repeats are allowed.
    for defect in [
        Defect::SendBeforeKeeping,
        Defect::NoLeaseCheck,
        Defect::HeirWithoutEpoch,
        Defect::HeirTooSoon,
        Defect::SentNotRecorded,
        Defect::AnswerByBoth,
    ] {
        // Defects that the keeper alone can stop show only if repeats are allowed.
        let found = [false, true].into_iter().any(|keyed| {
            let (states, broken) = check(keyed, defect);
            println!("{defect:?}, keyed {keyed}: {states} states, {broken:?}");
            !broken.is_empty()
        });
        assert!(found, "{defect:?}");
    }
}
