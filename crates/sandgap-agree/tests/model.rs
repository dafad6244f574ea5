//! A model of version switches and leases, checked exhaustively: three voters, one or two proxies that ask for leases,
//! deposed leaders that do not know it, delayed and lost messages, crashes, and standstills of processes (any step may
//! be delayed by any number of ticks).
//!
//! The log is modelled as a level instead of entries. With overlapping versions, it goes from the old version (0) to
//! the new one (1). With versions kept apart, it goes from the old one (0) via closed (1) to the new one (2), and the
//! last step waits until old leases have ended. No proxy can act on the new version before a leader knows that it is
//! committed. The model takes that moment as the first time at which a proxy acts on it, so that schedules of news need
//! not be explored.
//!
//! Proxies use the model's clock: the tests of `sandgap_fleet::Drift` cover clock drift.

use stateright::{Checker, Model, Property};

const VOTERS: usize = 3;
/// The bound T, in ticks.
const T: u8 = 2;
/// The last tick of the model.
const LAST_TICK: u8 = 4;
/// The highest raft term of the model.
const MAX_TERM: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// The lease counts from the grant instead of from the request.
    LeaseFromGrant,
    /// A leader grants a lease without a confirmation round.
    NoRound,
    /// With versions kept apart, the switch does not wait for old leases.
    NoWait,
    /// A new leader grants leases before it has committed an entry in its term.
    GrantBeforeCommit,
}

#[derive(Clone, Debug)]
struct Switch {
    /// Number of proxies. One is enough to find each defect, as a second proxy is assumed to act on the new version
    /// from its commit on.
    proxies: usize,
    apart: bool,
    defect: Defect,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Voter {
    term: u8,
    level: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Leader {
    term: u8,
    voter: usize,
    level: u8,
    commit: u8,
    /// Bit set of the voters that have its log.
    replicated: u8,
    /// Whether it has committed an entry in its term.
    ready: bool,
    /// When it saw the close committed.
    closed_at: Option<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Read {
    leader: usize,
    term: u8,
    commit: u8,
    acks: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Proxy {
    level: u8,
    end: u8,
    asked: Option<u8>,
    read: Option<Read>,
    answer: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    voters: [Voter; VOTERS],
    leaders: Vec<Leader>,
    proxies: Vec<Proxy>,
    /// When a leader first knew that the new version is committed.
    new_committed_at: Option<u8>,
    crashed: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    Propose(usize),
    Accept(usize, usize),
    Elect(usize, usize),
    Crash(usize),
    Ask(usize),
    Lose(usize),
    Begin(usize, usize),
    Ack(usize, usize),
    Answer(usize),
    Hear(usize),
    News(usize, usize),
}

fn majority(bits: u8) -> bool {
    bits.count_ones() as usize > VOTERS / 2
}

impl Switch {
    fn last_level(&self) -> u8 {
        if self.apart { 2 } else { 1 }
    }

    /// The version that a level represents: `false` for the old one, `true` for the new one, `None` for neither.
    fn version(&self, level: u8) -> Option<bool> {
        match (self.apart, level) {
            (_, 0) => Some(false),
            (true, 1) => None,
            _ => Some(true),
        }
    }

    /// Whether a proxy may act on the old or the new version now.
    fn acts(&self, state: &State, proxy: &Proxy, new: bool) -> bool {
        state.now < proxy.end && self.version(proxy.level) == Some(new)
    }

    fn may_propose(&self, state: &State, leader: &Leader) -> bool {
        let must_wait = self.apart && leader.level == 1 && self.defect != Defect::NoWait;
        let has_waited = leader.closed_at.is_some_and(|at| state.now >= at + T);
        leader.ready
            && leader.level == leader.commit
            && leader.level < self.last_level()
            && (!must_wait || has_waited)
    }

    /// Maps states that no step and no property distinguishes to the same state, to reduce the search.
    fn normalize(&self, state: &mut State) {
        if state.new_committed_at.is_none() && state.leaders.iter().any(|l| l.commit == self.last_level()) {
            state.new_committed_at = Some(state.now);
        }
        for proxy in &mut state.proxies {
            if proxy.end <= state.now {
                proxy.end = 0;
            }
        }
        state.proxies.sort();
    }

    /// Removes leaders that have learned of a later term or have crashed, and the rounds that they led.
    fn depose(state: &mut State, is_deposed: impl Fn(&Leader) -> bool) {
        while let Some(l) = state.leaders.iter().position(&is_deposed) {
            state.leaders.remove(l);
            for proxy in &mut state.proxies {
                match &mut proxy.read {
                    Some(read) if read.leader == l => proxy.read = None,
                    Some(read) if read.leader > l => read.leader -= 1,
                    _ => {}
                }
            }
        }
    }
}

impl Model for Switch {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let voters = [Voter { term: 1, level: 0 }; VOTERS];
        let leader = Leader {
            term: 1,
            voter: 0,
            level: 0,
            commit: 0,
            replicated: 0b111,
            ready: true,
            closed_at: None,
        };
        let proxies = vec![Proxy::default(); self.proxies];
        vec![State { now: 0, voters, leaders: vec![leader], proxies, new_committed_at: None, crashed: false }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < LAST_TICK {
            steps.push(Step::Tick);
        }
        for (l, leader) in state.leaders.iter().enumerate() {
            if self.may_propose(state, leader) {
                steps.push(Step::Propose(l));
            }
            for v in 0..VOTERS {
                if leader.replicated & (1 << v) == 0 && state.voters[v].term <= leader.term {
                    steps.push(Step::Accept(l, v));
                }
            }
            if !state.crashed {
                steps.push(Step::Crash(l));
            }
            for (p, proxy) in state.proxies.iter().enumerate() {
                if proxy.asked.is_some() && proxy.read.is_none() && proxy.answer.is_none() {
                    steps.push(Step::Begin(p, l));
                }
                if leader.commit > proxy.level {
                    steps.push(Step::News(p, l));
                }
            }
        }
        for a in 0..VOTERS {
            for b in (0..VOTERS).filter(|b| *b != a) {
                let term = state.voters[a].term.max(state.voters[b].term) + 1;
                if term <= MAX_TERM && state.voters[a].level >= state.voters[b].level {
                    steps.push(Step::Elect(a, b));
                }
            }
        }
        for (p, proxy) in state.proxies.iter().enumerate() {
            match (proxy.asked, proxy.read, proxy.answer) {
                (None, ..) => steps.push(Step::Ask(p)),
                (_, _, Some(_)) => steps.extend([Step::Hear(p), Step::Lose(p)]),
                (_, Some(read), None) => {
                    let more = (0..VOTERS).filter(|v| read.acks & (1 << v) == 0);
                    steps
                        .extend(more.filter(|v| state.voters[*v].term <= read.term).map(|v| Step::Ack(p, v)));
                    if majority(read.acks) || self.defect == Defect::NoRound {
                        steps.push(Step::Answer(p));
                    }
                    steps.push(Step::Lose(p));
                }
                (_, None, None) => {}
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick => state.now += 1,
            Step::Propose(l) => {
                let leader = &mut state.leaders[l];
                leader.level += 1;
                leader.replicated = 1 << leader.voter;
                state.voters[leader.voter].level = leader.level;
            }
            Step::Accept(l, v) => {
                let leader = &mut state.leaders[l];
                state.voters[v] = Voter { term: leader.term, level: leader.level };
                leader.replicated |= 1 << v;
                if majority(leader.replicated) {
                    leader.ready = true;
                    leader.commit = leader.level;
                    if leader.commit == 1 {
                        leader.closed_at.get_or_insert(state.now);
                    }
                }
            }
            Step::Elect(a, b) => {
                let term = state.voters[a].term.max(state.voters[b].term) + 1;
                let level = state.voters[a].level;
                state.voters[a].term = term;
                state.voters[b].term = term;
                let (commit, replicated, ready) = (0, 1 << a, self.defect == Defect::GrantBeforeCommit);
                state.leaders.push(Leader {
                    term,
                    voter: a,
                    level,
                    commit,
                    replicated,
                    ready,
                    closed_at: None,
                });
            }
            Step::Crash(l) => {
                // Term and level survive on the voter's disk; its leadership does not.
                let crashed = state.leaders[l];
                Self::depose(&mut state, |leader| *leader == crashed);
                state.crashed = true;
            }
            Step::Ask(p) => state.proxies[p].asked = Some(state.now),
            Step::Lose(p) => {
                let Proxy { level, end, .. } = state.proxies[p];
                state.proxies[p] = Proxy { level, end, ..Proxy::default() };
            }
            Step::Begin(p, l) => {
                let Leader { term, voter, commit, ready, .. } = state.leaders[l];
                if !ready {
                    return None;
                }
                state.proxies[p].read = Some(Read { leader: l, term, commit, acks: 1 << voter });
            }
            Step::Ack(p, v) => {
                let read = state.proxies[p].read.as_mut()?;
                read.acks |= 1 << v;
                state.voters[v].term = read.term;
            }
            Step::Answer(p) => {
                let proxy = &mut state.proxies[p];
                proxy.answer = proxy.read.take().map(|r| r.commit);
            }
            Step::Hear(p) => {
                let proxy = &mut state.proxies[p];
                let (level, asked) = (proxy.answer.take()?, proxy.asked.take()?);
                let from = if self.defect == Defect::LeaseFromGrant { state.now } else { asked };
                // As in `Follower`: knowledge only grows, and is as fresh as the request.
                proxy.level = proxy.level.max(level);
                proxy.end = proxy.end.max(from + T);
            }
            Step::News(p, l) => state.proxies[p].level = state.leaders[l].commit,
        }
        let voters = state.voters;
        Self::depose(&mut state, |leader| voters[leader.voter].term > leader.term);
        self.normalize(&mut state);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_LONG_CONTRADICTION, |model: &Switch, state: &State| {
                let old = state.proxies.iter().any(|p| model.acts(state, p, false));
                let Some(committed_at) = state.new_committed_at.filter(|_| old) else { return true };
                if model.apart { false } else { state.now < committed_at + T }
            }),
            Property::sometimes("the new version is acted on", |model: &Switch, state: &State| {
                state.proxies.iter().any(|p| model.acts(state, p, true))
            }),
            Property::sometimes(
                "both may be acted on together, overlapping",
                |model: &Switch, state: &State| {
                    model.apart
                        || state.new_committed_at.is_some()
                            && state.proxies.iter().any(|p| model.acts(state, p, false))
                },
            ),
        ]
    }
}

const NO_LONG_CONTRADICTION: &str = "no contradiction for longer than T";

fn check(proxies: usize, apart: bool, defect: Defect) -> (usize, bool) {
    let checker = Switch { proxies, apart, defect }.checker().spawn_bfs().join();
    let discovery = checker.discovery(NO_LONG_CONTRADICTION);
    let broken = discovery.is_some();
    if defect == Defect::None
        && let Some(path) = &discovery
    {
        println!("{path}");
    }
    if !broken {
        checker.assert_any_discovery("the new version is acted on");
        checker.assert_any_discovery("both may be acted on together, overlapping");
    }
    (checker.unique_state_count(), broken)
}

#[test]
fn contradictions_never_last_longer_than_t() {
    for apart in [false, true] {
        let (states, broken) = check(1, apart, Defect::None);
        println!("apart {apart}: {states} states");
        assert!(!broken);
        assert!(states > 10_000, "{states} states: the model does not explore enough");
    }
}

/// Takes minutes and gigabytes of memory.
#[test]
#[ignore = "takes minutes and gigabytes of memory; run by hand"]
fn contradictions_never_last_longer_than_t_with_two_proxies() {
    for apart in [false, true] {
        let (states, broken) = check(2, apart, Defect::None);
        println!("apart {apart}: {states} states");
        assert!(!broken);
    }
}

#[test]
fn each_defect_is_found() {
    for (apart, defect) in [
        (false, Defect::LeaseFromGrant),
        (false, Defect::NoRound),
        (false, Defect::GrantBeforeCommit),
        (true, Defect::NoWait),
        (true, Defect::LeaseFromGrant),
    ] {
        assert!(check(1, apart, defect).1, "{defect:?}");
    }
}
