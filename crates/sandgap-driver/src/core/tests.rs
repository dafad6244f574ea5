use super::*;

mod reopening;

const fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

/// Says whatever it is told to say, and keeps what it hears.
#[derive(Default)]
struct Script {
    says: VecDeque<Vec<Action>>,
    heard: Vec<Event>,
}

impl Policy for Script {
    fn handle(&mut self, _: Millis, event: Event, out: &mut Vec<Action>) {
        self.heard.push(event);
        out.extend(self.says.pop_front().unwrap_or_default());
    }
}

#[derive(Default)]
struct Seen {
    attempts: Vec<Attempt>,
    answers: Vec<(RequestId, String)>,
    retired: Vec<u64>,
    violations: Vec<Violation>,
    late: usize,
    /// Nothing may be sent any more.
    lapsed: bool,
}

impl Effects for Seen {
    type Held = ();
    type Reply = &'static str;

    fn attempt(&mut self, (): &(), attempt: Attempt) {
        self.attempts.push(attempt);
    }

    fn answer(&mut self, (): &mut (), request: RequestId, answer: Answer<&'static str>, _: Cause) {
        self.answers.push((request, format!("{answer:?}")));
    }

    fn may_send(&self, (): &()) -> bool {
        !self.lapsed
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

fn core() -> Core<Script, Seen> {
    let mut core = Core::new(Script::default(), Seen::default(), Names::default(), UNIX_ZERO);
    core.list(at(0), Scope::Full, vec![host("a", 1, "up"), host("b", 2, "up")]);
    core
}

fn host(name: &str, port: u16, health: &str) -> Host {
    Host {
        host: name.to_owned(),
        dial: Some(([127, 0, 0, 1], port).into()),
        site: None,
        class: None,
        block: None,
        health: health.to_owned(),
        share: None,
        born_ms: 0.0,
    }
}

fn arrival(id: u64, deadline: Time) -> Arrival<()> {
    let (class, id) = (ClassId(0), RequestId(id));
    let effect = Effect::Safe;
    Arrival { id, class, effect, tenant: None, key: None, hint: None, deadline, upload: None, held: () }
}

fn send(id: u64, name: &str) -> Action {
    Action::Send { request: RequestId(id), backend: BackendId(number_of(name)), timeout: None, before: None }
}

fn ask(core: &mut Core<Script, Seen>, id: u64, says: Vec<Action>) {
    core.decider.says.push_back(says);
    core.request(at(0), arrival(id, at(1000)));
}

#[test]
fn a_request_that_the_module_forgets_is_answered_just_before_its_deadline() {
    let mut core = core();
    ask(&mut core, 1, vec![]);
    assert_eq!(core.next_due(), Some(at(996)));
    core.fire(at(995));
    assert!(core.effects.answers.is_empty());
    core.fire(at(996));
    // It was never sent: that is certain, and a failure would leave its client in doubt.
    assert_eq!(core.effects.answers, [(RequestId(1), "Refused(None)".to_owned())]);
    assert!(matches!(core.decider.heard.last(), Some(Event::Abandoned(RequestId(1)))));
    assert_eq!((core.held(), core.next_due()), (0, None));
}

#[test]
fn a_second_answer_is_never_given() {
    let mut core = core();
    ask(&mut core, 1, vec![send(1, "a"), Action::Fail(RequestId(1)), Action::Fail(RequestId(1))]);
    core.ended(at(5), RequestId(1), 0, 5.0, Outcome::Served, Some("late"));
    core.fire(at(2000));
    assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
    assert_eq!(core.held(), 0);
}

#[test]
fn nothing_begins_after_the_answer_or_at_a_closed_endpoint_and_the_module_hears_it() {
    let mut core = core();
    let refuse = Action::Refuse { request: RequestId(1), retry_after: None };
    ask(&mut core, 1, vec![send(1, "a"), refuse, send(1, "b")]);
    assert_eq!(core.effects.violations, [Violation::SendAfterAnswer], "and it is counted");
    assert_eq!(core.effects.attempts.len(), 1);
    assert!(!core.effects.attempts[0].wanted.get());
    let moot = |e: &&Event| matches!(e, Event::Ended { attempt: 1, outcome: Outcome::NotSent, .. });
    assert_eq!(core.decider.heard.iter().filter(moot).count(), 1);
    core.list(at(1), Scope::Delta, vec![host("b", 2, "draining")]);
    ask(&mut core, 2, vec![send(2, "b")]);
    assert_eq!(core.effects.attempts.len(), 1);
    assert_eq!(core.effects.retired, [2]);
}

#[test]
fn a_new_address_or_process_is_a_new_endpoint_and_the_old_one_is_shut() {
    let mut core = core();
    ask(&mut core, 1, vec![send(1, "a")]);
    let old = core.effects.attempts[0].endpoint.clone();
    core.list(at(1), Scope::Delta, vec![host("a", 9, "up")]);
    assert!(!old.is_open() && core.effects.retired == [old.number]);
    ask(&mut core, 2, vec![send(2, "a")]);
    assert_eq!(core.effects.attempts[1].endpoint.address.port(), 9);
    // A whole list shuts what it lacks.
    core.list(at(2), Scope::Full, vec![host("b", 2, "up")]);
    assert!(!core.effects.attempts[1].endpoint.is_open());
}

#[test]
fn a_time_out_counts_from_the_send_and_ends_with_the_deadline() {
    let mut core = core();
    core.decider.says.push_back(vec![]);
    core.request(at(100), arrival(1, at(1000)));
    for (timeout, until) in [(Some(200.0), at(500)), (Some(9000.0), at(1000)), (None, at(1000))] {
        let send =
            Action::Send { request: RequestId(1), backend: BackendId(number_of("a")), timeout, before: None };
        core.decider.says.push_back(vec![send]);
        core.message(at(300), 0, Vec::new());
        assert_eq!(core.effects.attempts.last().expect("sent").until, until);
    }
}

/// Says anything at all, by chance.
struct Chaos(fastrand::Rng);

impl Policy for Chaos {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        // At most one attempt for each that ends, or it would never come to rest.
        let budget = if matches!(event, Event::Ended { .. }) { 2 } else { 3 };
        for _ in 0..self.0.usize(0..budget) {
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
fn whatever_the_module_says_each_request_gets_one_answer_in_time_and_nothing_is_kept() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let chaos = Chaos(fastrand::Rng::with_seed(seed + 1000));
        let mut core = Core::new(chaos, Seen::default(), Names::default(), 0.0);
        let (mut now, mut asked, mut told) = (at(0), 0, 0);
        for _ in 0..400 {
            now += Duration::from_micros(rng.u64(0..8000));
            match rng.u32(0..4) {
                0 if asked < 60 => {
                    core.request(now, arrival(asked, now + at(rng.u64(0..400))));
                    asked += 1;
                }
                1 => {
                    let health = ["up", "draining", "removed"][rng.usize(0..3)];
                    let name = ["a", "b", "c"][rng.usize(0..3)];
                    core.list(now, Scope::Delta, vec![host(name, rng.u16(1..3), health)]);
                }
                2 => core.client_disconnected(now, RequestId(rng.u64(0..60))),
                _ => {}
            }
            core.fire(now);
            // Attempts end in any order.
            while told < core.effects.attempts.len() && rng.bool() {
                let (request, number) = {
                    let a = &core.effects.attempts[told];
                    assert!(a.until <= now + at(400));
                    (a.request, a.number)
                };
                told += 1;
                let outcome = [Outcome::Served, Outcome::Reset, Outcome::Full][rng.usize(0..3)];
                core.ended(now, request, number, 1.0, outcome, Some("x"));
            }
        }
        core.fire(now + at(1000));
        while told < core.effects.attempts.len() && told < 100_000 {
            let (request, number) = (core.effects.attempts[told].request, core.effects.attempts[told].number);
            told += 1;
            core.ended(now + at(1000), request, number, 1.0, Outcome::Reset, None);
        }
        let mut answered: Vec<RequestId> = core.effects.answers.iter().map(|a| a.0).collect();
        let count = answered.len();
        answered.sort_unstable();
        answered.dedup();
        assert_eq!(answered.len(), count, "seed {seed}: a second answer");
        assert_eq!(core.held(), 0, "seed {seed}");
    }
}

#[test]
fn without_a_licence_nothing_goes_out_and_the_client_is_told_at_once() {
    let mut core = core();
    core.effects.lapsed = true;
    core.decider.says = [vec![send(1, "a")]].into();
    core.request(at(1), arrival(1, at(900)));
    assert!(core.effects.attempts.is_empty());
    assert_eq!(core.effects.answers, [(RequestId(1), "Refused(None)".to_owned())]);
    assert_eq!(core.held(), 0);
    let ended = |e: &Event| matches!(e, Event::Ended { outcome: Outcome::NotSent, closed: true, .. });
    assert!(core.decider.heard.iter().any(ended), "the module hears the end of what it wanted sent");
    assert!(core.decider.heard.iter().any(|e| matches!(e, Event::Abandoned(RequestId(1)))));
}

#[test]
fn what_may_have_run_before_the_licence_ended_has_failed_and_is_not_sent_again() {
    let mut core = core();
    core.decider.says = [vec![send(1, "a")]].into();
    core.request(at(1), arrival(1, at(900)));
    core.effects.lapsed = true;
    core.decider.says = [vec![send(1, "b")]].into();
    core.ended(at(9), RequestId(1), 0, 8.0, Outcome::Reset, None);
    assert_eq!(core.effects.attempts.len(), 1);
    assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
}

#[test]
fn at_the_end_of_the_process_whoever_waits_longer_has_an_answer_before_it() {
    let mut core = core();
    // One that runs, one that waits, one that is answered sooner anyway, and one that comes after the signal.
    ask(&mut core, 1, vec![send(1, "a")]);
    ask(&mut core, 2, vec![]);
    core.request(at(0), arrival(3, at(300)));
    core.end_by(at(500));
    core.request(at(100), arrival(4, at(900)));
    core.fire(at(296));
    assert_eq!(core.effects.answers, [(RequestId(3), "Refused(None)".to_owned())]);
    core.fire(at(495));
    assert_eq!(core.effects.answers.len(), 1);
    core.fire(at(496));
    let mut answers = core.effects.answers.split_off(1);
    answers.sort();
    let told = |id, what: &str| (RequestId(id), what.to_owned());
    assert_eq!(answers, [told(1, "Failed"), told(2, "Refused(None)"), told(4, "Refused(None)")]);
    core.ended(at(600), RequestId(1), 0, 600.0, Outcome::TimedOut, None);
    assert_eq!(core.held(), 0);
}

#[test]
fn a_long_request_that_still_comes_in_does_not_outlive_the_process() {
    let mut core = core();
    core.decider.says.push_back(vec![send(1, "a")]);
    core.request(at(0), Arrival { upload: Some(at(9000)), ..arrival(1, at(9000)) });
    core.end_by(at(500));
    core.uploaded(at(400), RequestId(1));
    core.fire(at(496));
    assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
}

#[test]
fn until_when_a_repeat_may_go_out_is_told_to_whoever_writes_it() {
    let mut core = core();
    let before = Some(700.0);
    let send =
        Action::Send { request: RequestId(1), backend: BackendId(number_of("a")), timeout: None, before };
    ask(&mut core, 1, vec![send]);
    assert_eq!(core.effects.attempts[0].before, Some(at(700)));
}

#[test]
fn a_long_requests_time_runs_from_its_last_byte_wherever_it_stands() {
    for repeated in [false, true] {
        let mut core = core();
        core.request(at(0), Arrival { upload: Some(at(900)), ..arrival(1, at(900)) });
        core.received(RequestId(1), at(100)); // it has come whole while it waits
        core.decider.says.push_back(vec![send(1, "a")]);
        core.list(at(500), Scope::Delta, Vec::new());
        let attempt = core.effects.attempts.last().expect("sent");
        assert_eq!((attempt.until, attempt.answer_by.get()), (at(1000), at(996)));
        if repeated {
            core.decider.says.push_back(vec![send(1, "b")]);
            core.ended(at(600), RequestId(1), 0, 100.0, Outcome::ConnectFailed, None);
            let attempt = core.effects.attempts.last().expect("sent again");
            assert_eq!((attempt.until, attempt.answer_by.get()), (at(1000), at(996)));
        }
        core.uploaded(at(700), RequestId(1));
        core.fire(at(995));
        assert!(core.effects.answers.is_empty());
        core.fire(at(996));
        assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
    }
}

#[test]
fn no_deadline_counts_while_a_long_request_still_comes_in() {
    let mut core = core();
    core.decider.says.push_back(vec![send(1, "a")]);
    core.request(at(0), Arrival { upload: Some(at(900)), ..arrival(1, at(900)) });
    core.fire(at(5000));
    assert!(core.effects.answers.is_empty());
    core.received(RequestId(1), at(5000));
    core.fire(at(5895));
    assert!(core.effects.answers.is_empty());
    core.fire(at(5896));
    assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
}

/// Unix time of the core's zero, as its wall clock has it; the true one is told in `born`.
const UNIX_ZERO: f64 = 1e12;

/// What the module was told last of when a backend started.
fn since(core: &Core<Script, Seen>, name: &str) -> Option<Millis> {
    let id = BackendId(number_of(name));
    let entries = core.decider.heard.iter().rev().filter_map(|event| match event {
        Event::List { entries, .. } => entries.iter().find(|e| e.id == id),
        _ => None,
    });
    entries.map(|e| e.since).next().flatten()
}

#[test]
fn a_wrong_wall_clock_makes_no_backend_older_or_younger_than_it_was_seen_to_be() {
    const HOUR: f64 = 3.6e6;
    for ahead in [-HOUR, -2000.0, 0.0, 2000.0, HOUR] {
        let mut core = core();
        core.list(at(60_000), Scope::Delta, vec![host("a", 1, "draining")]);
        // It starts at 60,500 of the true time and is told at 60,700.
        let born_ms = UNIX_ZERO - ahead + 60_500.0;
        let started = Host { born_ms, ..host("c", 3, "up") };
        core.list(at(60_700), Scope::Delta, vec![started.clone()]);
        let first = since(&core, "c").expect("told");
        assert!(
            (60_000.0..=60_700.0).contains(&first),
            "{ahead} ms ahead: believed to have started at {first}"
        );
        if ahead == 0.0 {
            assert_eq!(first, 60_500.0, "a right clock is believed");
        }
        core.list(at(90_000), Scope::Delta, vec![Host { health: "draining".into(), ..started.clone() }]);
        core.list(at(91_000), Scope::Full, vec![started]);
        assert_eq!(since(&core, "c"), Some(first), "one start gives one time");
    }
}

#[test]
fn what_may_have_run_is_neither_repeated_nor_refused_whatever_the_module_wants() {
    let refuse = || Action::Refuse { request: RequestId(1), retry_after: None };
    let mut core = core();
    core.decider.says.push_back(vec![send(1, "a")]);
    core.request(at(0), Arrival { effect: Effect::Unsafe, ..arrival(1, at(1000)) });
    core.decider.says.push_back(vec![send(1, "b"), refuse()]);
    core.ended(at(10), RequestId(1), 0, 10.0, Outcome::Reset, None);
    assert_eq!(core.effects.attempts.len(), 1);
    assert_eq!(core.effects.violations, [Violation::RepeatOfUnsafe, Violation::RefusalAfterRun]);
    assert_eq!(core.effects.answers, [(RequestId(1), "Failed".to_owned())]);
    assert_eq!(core.held(), 0);
}

#[test]
fn nothing_begins_for_a_client_whose_time_is_nearly_over_and_it_is_told_at_once() {
    let mut core = core();
    ask(&mut core, 1, vec![]);
    core.decider.says.push_back(vec![send(1, "a")]);
    core.list(at(960), Scope::Delta, Vec::new()); // a process that was held up: what was due before has not been done
    assert!(core.effects.attempts.is_empty());
    assert_eq!(core.effects.answers, [(RequestId(1), "Refused(None)".to_owned())]);
    assert_eq!((core.effects.violations.len(), core.held()), (0, 0), "it may happen to any module");
}

#[test]
fn an_answer_that_comes_far_too_late_is_counted() {
    let mut core = core();
    ask(&mut core, 1, vec![send(1, "a")]);
    core.ended(at(1501), RequestId(1), 0, 1501.0, Outcome::Served, Some("late"));
    assert_eq!(core.effects.late, 1);
}
