use wharfhitch::State;
use wharfhitch::settings::number_of;

use super::*;
use crate::endpoint::Host;

mod manual_drains;
mod reopening;
mod reused_addresses;

const fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

/// Policy that returns scripted actions and records the events it receives.
#[derive(Default)]
struct ScriptedPolicy {
    script: VecDeque<Vec<Action>>,
    events: Vec<Event>,
}

impl Policy for ScriptedPolicy {
    fn handle(&mut self, _: Millis, event: Event, out: &mut Vec<Action>) {
        self.events.push(event);
        out.extend(self.script.pop_front().unwrap_or_default());
    }
}

/// Records the effects.
#[derive(Default)]
struct RecordedEffects {
    attempts: Vec<Attempt>,
    answers: Vec<(RequestId, String)>,
    retired: Vec<u64>,
    violations: Vec<Violation>,
    late: usize,
    /// The lease has lapsed: nothing may be sent any more.
    lease_lapsed: bool,
}

impl Effects for RecordedEffects {
    type Context = ();
    type Reply = &'static str;

    fn attempt(&mut self, (): &(), attempt: Attempt) {
        self.attempts.push(attempt);
    }

    fn answer(&mut self, (): &mut (), request: RequestId, answer: Answer<&'static str>, _: Cause) {
        self.answers.push((request, format!("{answer:?}")));
    }

    fn may_send(&self, (): &()) -> bool {
        !self.lease_lapsed
    }

    fn retire(&mut self, endpoint: &Endpoint) {
        self.retired.push(endpoint.number);
    }

    fn broadcast(&mut self, _: Vec<u8>) {}
    fn subscribe(&mut self) {}
    fn fetch_list(&mut self) {}
    fn listed(&mut self, _: Scope, _: bool) {}

    fn violation(&mut self, violation: Violation, _: RequestId) {
        self.violations.push(violation);
    }

    fn late_answer(&mut self, _: RequestId) {
        self.late += 1;
    }
}

fn core() -> Core<ScriptedPolicy, RecordedEffects> {
    let mut core =
        Core::new(ScriptedPolicy::default(), RecordedEffects::default(), Names::default(), UNIX_ZERO);
    core.list(at(0), Scope::Full, vec![host("a", 1, "up"), host("b", 2, "up")]);
    core
}

fn host(name: &str, port: u16, health: &str) -> Host {
    Host {
        host: name.to_owned(),
        address: Some(([127, 0, 0, 1], port).into()),
        zone: None,
        kind: None,
        cell: None,
        health: Host::health_of(health),
        rating: None,
        start_time_ms: 0.0,
    }
}

fn arrival(id: u64, deadline: Time) -> Arrival<()> {
    let (class, id) = (ClassId(0), RequestId(id));
    let effect = Effect::Safe;
    Arrival {
        id,
        class,
        effect,
        max_concurrent_attempts: 2,
        tenant: None,
        key: None,
        hint: None,
        deadline,
        upload: None,
        context: (),
    }
}

fn send(id: u64, name: &str) -> Action {
    Action::Send { request: RequestId(id), backend: BackendId(number_of(name)), timeout: None, before: None }
}

fn submit(core: &mut Core<ScriptedPolicy, RecordedEffects>, id: u64, actions: Vec<Action>) {
    core.policy.script.push_back(actions);
    core.request(at(0), arrival(id, at(1000)));
}

#[test]
fn a_request_without_actions_is_answered_just_before_its_deadline() {
    let mut core = core();
    submit(&mut core, 1, vec![]);
    assert_eq!(core.next_due(), Some(at(996)));
    core.run_due_timers(at(995));
    assert!(core.effects.answers.is_empty());
    core.run_due_timers(at(996));
    // It was never sent, so it is refused; a failure would leave the client uncertain whether it ran.
    assert_eq!(core.effects.answers, [(RequestId(1), "Refused(None)".to_owned())]);
    assert!(matches!(core.policy.events.last(), Some(Event::Abandoned(RequestId(1)))));
    assert_eq!((core.pending_count(), core.next_due()), (0, None));
}

#[test]
fn a_second_answer_is_never_given() {
    let mut core = core();
    submit(&mut core, 1, vec![send(1, "a"), Action::Fail(RequestId(1)), Action::Fail(RequestId(1))]);
    core.ended(at(5), RequestId(1), 0, 5.0, Outcome::Served, Some("late"));
    core.run_due_timers(at(2000));
    assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
    assert_eq!(core.pending_count(), 0);
}

#[test]
fn sends_after_the_answer_or_to_a_closed_endpoint_are_denied_and_reported() {
    let mut core = core();
    let refuse = Action::Refuse { request: RequestId(1), retry_after: None };
    submit(&mut core, 1, vec![send(1, "a"), refuse, send(1, "b")]);
    assert_eq!(core.effects.violations, [Violation::SendAfterAnswer], "the violation is counted");
    assert_eq!(core.effects.attempts.len(), 1);
    assert!(!core.effects.attempts[0].wanted.get());
    let not_sent = |e: &&Event| matches!(e, Event::Ended { attempt: 1, outcome: Outcome::NotSent, .. });
    assert_eq!(core.policy.events.iter().filter(not_sent).count(), 1);
    core.list(at(1), Scope::Delta, vec![host("b", 2, "draining")]);
    submit(&mut core, 2, vec![send(2, "b")]);
    assert_eq!(core.effects.attempts.len(), 1);
    assert_eq!(core.effects.retired, [2]);
}

#[test]
fn a_new_address_creates_a_new_endpoint_and_closes_the_old_one() {
    let mut core = core();
    submit(&mut core, 1, vec![send(1, "a")]);
    let old = core.effects.attempts[0].endpoint.clone();
    core.list(at(1), Scope::Delta, vec![host("a", 9, "up")]);
    assert!(!old.is_open() && core.effects.retired == [old.number]);
    submit(&mut core, 2, vec![send(2, "a")]);
    assert_eq!(core.effects.attempts[1].endpoint.address.port(), 9);
    // A whole list closes the endpoints that it does not contain.
    core.list(at(2), Scope::Full, vec![host("b", 2, "up")]);
    assert!(!core.effects.attempts[1].endpoint.is_open());
}

#[test]
fn a_timeout_counts_from_the_send_and_is_limited_by_the_deadline() {
    let mut core = core();
    core.policy.script.push_back(vec![]);
    core.request(at(100), arrival(1, at(1000)));
    for (timeout, until) in [(Some(200.0), at(500)), (Some(9000.0), at(1000)), (None, at(1000))] {
        let send =
            Action::Send { request: RequestId(1), backend: BackendId(number_of("a")), timeout, before: None };
        core.policy.script.push_back(vec![send]);
        core.message(at(300), 0, Vec::new());
        assert_eq!(core.effects.attempts.last().expect("sent").until, until);
    }
}

/// Policy that returns random actions.
struct RandomPolicy(fastrand::Rng);

impl Policy for RandomPolicy {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        // At most one new attempt for each ended one, or the run would not terminate.
        let max_actions = if matches!(event, Event::Ended { .. }) { 2 } else { 3 };
        for _ in 0..self.0.usize(0..max_actions) {
            let request = RequestId(self.0.u64(0..60));
            out.push(match self.0.u32(0..10) {
                0..5 => send(request.0, ["a", "b", "c"][self.0.usize(0..3)]),
                5 => Action::Refuse { request, retry_after: None },
                6 => Action::Fail(request),
                7 => Action::Timer { token: 1, at: now + 50.0 * self.0.f64() },
                _ => continue,
            });
        }
    }
}

#[test]
fn with_random_actions_each_request_gets_at_most_one_answer_and_no_state_is_left() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let policy = RandomPolicy(fastrand::Rng::with_seed(seed + 1000));
        let mut core = Core::new(policy, RecordedEffects::default(), Names::default(), 0.0);
        let (mut now, mut request_count, mut ended_count) = (at(0), 0, 0);
        for _ in 0..400 {
            now += Duration::from_micros(rng.u64(0..8000));
            match rng.u32(0..4) {
                0 if request_count < 60 => {
                    core.request(now, arrival(request_count, now + at(rng.u64(0..400))));
                    request_count += 1;
                }
                1 => {
                    let health = ["up", "draining", "removed"][rng.usize(0..3)];
                    let name = ["a", "b", "c"][rng.usize(0..3)];
                    core.list(now, Scope::Delta, vec![host(name, rng.u16(1..3), health)]);
                }
                2 => core.client_disconnected(now, RequestId(rng.u64(0..60))),
                _ => {}
            }
            core.run_due_timers(now);
            // Attempts end in any order.
            while ended_count < core.effects.attempts.len() && rng.bool() {
                let (request, number) = {
                    let a = &core.effects.attempts[ended_count];
                    assert!(a.until <= now + at(400));
                    (a.request, a.number)
                };
                ended_count += 1;
                let outcome = [Outcome::Served, Outcome::Reset, Outcome::Full][rng.usize(0..3)];
                core.ended(now, request, number, 1.0, outcome, Some("x"));
            }
        }
        core.run_due_timers(now + at(1000));
        while ended_count < core.effects.attempts.len() && ended_count < 100_000 {
            let (request, number) =
                (core.effects.attempts[ended_count].request, core.effects.attempts[ended_count].number);
            ended_count += 1;
            core.ended(now + at(1000), request, number, 1.0, Outcome::Reset, None);
        }
        let mut answered: Vec<RequestId> = core.effects.answers.iter().map(|a| a.0).collect();
        let count = answered.len();
        answered.sort_unstable();
        answered.dedup();
        assert_eq!(answered.len(), count, "seed {seed}: a second answer");
        assert_eq!(core.pending_count(), 0, "seed {seed}");
    }
}

#[test]
fn without_a_lease_nothing_is_sent_and_the_client_is_refused_at_once() {
    let mut core = core();
    core.effects.lease_lapsed = true;
    core.policy.script = [vec![send(1, "a")]].into();
    core.request(at(1), arrival(1, at(900)));
    assert!(core.effects.attempts.is_empty());
    assert_eq!(core.effects.answers, [(RequestId(1), "Refused(None)".to_owned())]);
    assert_eq!(core.pending_count(), 0);
    let ended = |e: &Event| matches!(e, Event::Ended { outcome: Outcome::NotSent, closed: true, .. });
    assert!(
        core.policy.events.iter().any(ended),
        "the module is notified of the attempt that was not started"
    );
    assert!(core.policy.events.iter().any(|e| matches!(e, Event::Abandoned(RequestId(1)))));
}

#[test]
fn a_request_that_may_have_run_before_the_lease_lapsed_fails_without_a_retry() {
    let mut core = core();
    core.policy.script = [vec![send(1, "a")]].into();
    core.request(at(1), arrival(1, at(900)));
    core.effects.lease_lapsed = true;
    core.policy.script = [vec![send(1, "b")]].into();
    core.ended(at(9), RequestId(1), 0, 8.0, Outcome::Reset, None);
    assert_eq!(core.effects.attempts.len(), 1);
    assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
}

#[test]
fn at_shutdown_requests_with_later_deadlines_are_answered_before_the_end() {
    let mut core = core();
    // One in flight, one queued, one with an earlier deadline, and one that arrives after the signal.
    submit(&mut core, 1, vec![send(1, "a")]);
    submit(&mut core, 2, vec![]);
    core.request(at(0), arrival(3, at(300)));
    core.end_by(at(500));
    core.request(at(100), arrival(4, at(900)));
    core.run_due_timers(at(296));
    assert_eq!(core.effects.answers, [(RequestId(3), "Refused(None)".to_owned())]);
    core.run_due_timers(at(495));
    assert_eq!(core.effects.answers.len(), 1);
    core.run_due_timers(at(496));
    let mut answers = core.effects.answers.split_off(1);
    answers.sort();
    let answer = |id, what: &str| (RequestId(id), what.to_owned());
    assert_eq!(answers, [answer(1, "Failed"), answer(2, "Refused(None)"), answer(4, "Refused(None)")]);
    core.ended(at(600), RequestId(1), 0, 600.0, Outcome::TimedOut, None);
    assert_eq!(core.pending_count(), 0);
}

#[test]
fn a_long_request_that_is_still_being_received_is_answered_at_shutdown() {
    let mut core = core();
    core.policy.script.push_back(vec![send(1, "a")]);
    core.request(at(0), Arrival { upload: Some(at(9000)), ..arrival(1, at(9000)) });
    core.end_by(at(500));
    core.uploaded(at(400), RequestId(1));
    core.run_due_timers(at(496));
    assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
}

#[test]
fn an_attempt_carries_the_time_limit_for_writing_a_repeat() {
    let mut core = core();
    let before = Some(700.0);
    let send =
        Action::Send { request: RequestId(1), backend: BackendId(number_of("a")), timeout: None, before };
    submit(&mut core, 1, vec![send]);
    assert_eq!(core.effects.attempts[0].write_before, Some(at(700)));
}

#[test]
fn a_long_requests_deadline_counts_from_its_last_byte_queued_or_in_flight() {
    for repeated in [false, true] {
        let mut core = core();
        core.request(at(0), Arrival { upload: Some(at(900)), ..arrival(1, at(900)) });
        core.received(RequestId(1), at(100)); // received completely while it is queued
        core.policy.script.push_back(vec![send(1, "a")]);
        core.list(at(500), Scope::Delta, Vec::new());
        let attempt = core.effects.attempts.last().expect("sent");
        assert_eq!((attempt.until, attempt.answer_by.get()), (at(1000), at(996)));
        if repeated {
            core.policy.script.push_back(vec![send(1, "b")]);
            core.ended(at(600), RequestId(1), 0, 100.0, Outcome::ConnectFailed, None);
            let attempt = core.effects.attempts.last().expect("sent again");
            assert_eq!((attempt.until, attempt.answer_by.get()), (at(1000), at(996)));
        }
        core.uploaded(at(700), RequestId(1));
        core.run_due_timers(at(995));
        assert!(core.effects.answers.is_empty());
        core.run_due_timers(at(996));
        assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
    }
}

#[test]
fn no_deadline_applies_while_a_long_request_is_being_received() {
    let mut core = core();
    core.policy.script.push_back(vec![send(1, "a")]);
    core.request(at(0), Arrival { upload: Some(at(900)), ..arrival(1, at(900)) });
    core.run_due_timers(at(5000));
    assert!(core.effects.answers.is_empty());
    core.received(RequestId(1), at(5000));
    core.run_due_timers(at(5895));
    assert!(core.effects.answers.is_empty());
    core.run_due_timers(at(5896));
    assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
}

/// Unix time of the core's zero by its own wall clock; the tests derive the true start times from it.
const UNIX_ZERO: f64 = 1e12;

/// The start time of a backend in the last list that the module received.
fn since(core: &Core<ScriptedPolicy, RecordedEffects>, name: &str) -> Option<Millis> {
    let id = BackendId(number_of(name));
    let entries = core.policy.events.iter().rev().filter_map(|event| match event {
        Event::List { entries, .. } => entries.iter().find(|e| e.id == id),
        _ => None,
    });
    entries.map(|e| e.since).next().flatten()
}

#[test]
fn with_a_wrong_wall_clock_start_times_stay_within_the_observed_bounds() {
    const HOUR: f64 = 3.6e6;
    for ahead in [-HOUR, -2000.0, 0.0, 2000.0, HOUR] {
        let mut core = core();
        core.list(at(60_000), Scope::Delta, vec![host("a", 1, "draining")]);
        // It starts at 60,500 ms of true time and is listed at 60,700 ms.
        let start_time_ms = UNIX_ZERO - ahead + 60_500.0;
        let started = Host { start_time_ms, ..host("c", 3, "up") };
        core.list(at(60_700), Scope::Delta, vec![started.clone()]);
        let first = since(&core, "c").expect("listed");
        assert!((60_000.0..=60_700.0).contains(&first), "wall clock {ahead} ms ahead: start time {first}");
        if ahead == 0.0 {
            assert_eq!(first, 60_500.0, "a correct clock gives the exact time");
        }
        core.list(at(90_000), Scope::Delta, vec![Host { health: "draining".into(), ..started.clone() }]);
        core.list(at(91_000), Scope::Full, vec![started]);
        assert_eq!(since(&core, "c"), Some(first), "the start time of a process does not change");
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() {
    let refuse = || Action::Refuse { request: RequestId(1), retry_after: None };
    let mut core = core();
    core.policy.script.push_back(vec![send(1, "a")]);
    core.request(at(0), Arrival { effect: Effect::Unsafe, ..arrival(1, at(1000)) });
    core.policy.script.push_back(vec![send(1, "b"), refuse()]);
    core.ended(at(10), RequestId(1), 0, 10.0, Outcome::Reset, None);
    assert_eq!(core.effects.attempts.len(), 1);
    assert_eq!(core.effects.violations, [Violation::RepeatOfUnsafe, Violation::RefusalAfterRun]);
    assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
    assert_eq!(core.pending_count(), 0);
}

#[test]
fn no_attempt_starts_shortly_before_the_deadline_and_the_client_is_refused_at_once() {
    let mut core = core();
    submit(&mut core, 1, vec![]);
    core.policy.script.push_back(vec![send(1, "a")]);
    core.list(at(960), Scope::Delta, Vec::new()); // the process was delayed: earlier timers have not fired yet
    assert!(core.effects.attempts.is_empty());
    assert_eq!(core.effects.answers, [(RequestId(1), "Refused(None)".to_owned())]);
    assert_eq!(
        (core.effects.violations.len(), core.pending_count()),
        (0, 0),
        "a correct module may cause this denial"
    );
}

#[test]
fn an_answer_far_past_the_deadline_is_counted() {
    let mut core = core();
    submit(&mut core, 1, vec![send(1, "a")]);
    core.ended(at(1501), RequestId(1), 0, 1501.0, Outcome::Served, Some("late"));
    assert_eq!(core.effects.late, 1);
}

/// Guards against a policy that starts an attempt beside as many as are permitted: it is denied, and reported.
#[test]
fn an_attempt_beside_as_many_as_are_permitted_is_denied() {
    for permitted in [1, 2] {
        let mut core = core();
        core.policy.script.push_back(vec![send(1, "a")]);
        let request = Arrival { max_concurrent_attempts: permitted, ..arrival(1, at(1000)) };
        core.request(at(0), request);
        for n in 1..4 {
            core.policy.script.push_back(vec![send(1, "b")]);
            core.paused(at(n * 10), RequestId(1), 0);
            assert_eq!(core.effects.attempts.len(), permitted as usize);
        }
        let denied = 4 - permitted as usize;
        assert_eq!(core.effects.violations, vec![Violation::TooManyInFlight; denied]);
        // The end of one makes room for another.
        core.policy.script.push_back(vec![send(1, "b")]);
        core.ended(at(100), RequestId(1), 0, 100.0, Outcome::Reset, None);
        assert_eq!(core.effects.attempts.len(), permitted as usize + 1);
    }
}
