use super::*;
use crate::Micros;
use crate::record::{AttemptEnd, End};

const MS: Micros = 1000;

/// A ledger under test, the number of records of each writer, and the effects of the requests.
struct Case {
    ledger: Ledger,
    written: BTreeMap<Writer, u64>,
    effects: Vec<Effect>,
    /// Attempts that may be out at once.
    permitted: u32,
}

impl Case {
    fn new(effects: &[Effect]) -> Self {
        let mut case = Case {
            ledger: Ledger::default(),
            written: BTreeMap::new(),
            effects: effects.to_vec(),
            permitted: 1,
        };
        (0..4).for_each(|backend| case.told(backend, true, 0));
        case
    }

    fn put(&mut self, writer: Writer, record: Record) {
        *self.written.entry(writer).or_default() += 1;
        self.ledger.put(writer, record);
    }

    fn told(&mut self, backend: u16, up: bool, at: Micros) {
        self.put(Writer::Discovery, Record::HealthTold { proxy: 0, backend, up, at });
    }

    fn submit(&mut self, request: u32, at: Micros) {
        let record = Record::Submitted { request, proxy: 0, at, deadline: at + 1000 * MS };
        self.put(Writer::Clients, record);
    }

    fn finished(&mut self, request: u32, at: Micros, end: End) {
        self.put(Writer::Clients, Record::Finished { request, at, end });
    }

    fn received(&mut self, attempt: u32, request: u32, backend: u16, at: Micros, ran: Option<AttemptEnd>) {
        let cell = backend / 2;
        let request = Some(request);
        let received = Record::AttemptReceived {
            attempt,
            request,
            backend,
            cell,
            proxy: 0,
            first: at,
            last: at + 1,
            told: None,
        };
        self.put(Writer::Backends, received);
        if let Some(ran) = ran {
            self.put(Writer::Backends, Record::AttemptEnded { attempt, ran, out_until: None });
        }
    }

    fn check(&self) -> Verdict {
        let terms = Terms {
            grace: 500 * MS,
            max_concurrent_attempts: self.permitted,
            slack: 50 * MS,
            stalls: Vec::new(),
            after_leaving: Some(100 * MS),
            pauses_excuse: false,
        };
        self.ledger.check(&self.effects, &terms, &self.written)
    }

    /// The broken rules; the ledger must be complete.
    fn broken(&self) -> Vec<Rule> {
        let verdict = self.check();
        assert!(verdict.incomplete.is_empty(), "{verdict}");
        verdict.counts.into_keys().collect()
    }
}

const KEYED: Effect = Effect::Keyed(2500 * MS);

/// One request, with its first attempt at backend 0 at 10 ms.
fn one(effect: Effect, ran: AttemptEnd) -> Case {
    let mut case = Case::new(&[effect]);
    case.submit(0, 0);
    case.received(0, 0, 0, 10 * MS, Some(ran));
    case
}

#[test]
fn a_request_served_in_time_with_a_response_of_a_backend_breaks_no_rule() {
    let mut case = one(Effect::Unsafe, AttemptEnd::Answered);
    case.finished(0, 1050 * MS, End::Served(Some(0)));
    let verdict = case.check();
    assert!(verdict.passes() && verdict.figures.served == 1, "{verdict}");
}

#[test]
fn late_dropped_duplicate_and_forged_responses_are_lost_requests() {
    for (at, end) in [
        (1051 * MS, End::Served(Some(0))),
        (1051 * MS, End::Refused),
        (20 * MS, End::Served(None)),
        (20 * MS, End::Served(Some(7))),
        (20 * MS, End::Broken),
        (2000 * MS, End::NoResponse),
        (20 * MS, End::ClosedBeforeResponse), // the proxy had read the request
    ] {
        let mut case = one(Effect::Safe, AttemptEnd::Answered);
        case.finished(0, at, end);
        assert_eq!(case.broken(), [Rule::NoRequestLost], "{end:?} at {at}");
    }
    let mut case = one(Effect::Safe, AttemptEnd::Answered);
    case.finished(0, 20 * MS, End::Served(Some(0)));
    case.finished(0, 30 * MS, End::Served(Some(0)));
    assert_eq!(case.broken(), [Rule::NoRequestLost]);
    // A part of an answer is not a response that a backend made.
    let mut case = one(Effect::Safe, AttemptEnd::MayHaveRun);
    case.finished(0, 20 * MS, End::Served(Some(0)));
    assert_eq!(case.broken(), [Rule::NoRequestLost]);
}

#[test]
fn no_attempt_may_start_after_the_answer() {
    for (at, broken) in [(80 * MS, false), (81 * MS + 1, true)] {
        let mut case = one(Effect::Safe, AttemptEnd::Answered);
        case.finished(0, 31 * MS, End::Served(Some(0)));
        case.received(1, 0, 1, at, Some(AttemptEnd::Answered));
        assert_eq!(!case.broken().is_empty(), broken, "{at}");
    }
}

#[test]
fn no_attempt_may_start_after_the_client_has_left() {
    for (at, broken) in [(170 * MS, false), (171 * MS, true)] {
        let mut case = one(Effect::Safe, AttemptEnd::NotProcessed);
        case.finished(0, 20 * MS, End::Left);
        case.received(1, 0, 1, at, Some(AttemptEnd::Answered));
        assert_eq!(case.broken() == [Rule::NoRequestLost], broken, "{at}");
    }
}

#[test]
fn a_paused_proxy_must_follow_a_drain_told_during_the_pause_once_it_resumes() {
    for (at, broken) in [(1500 * MS, false), (1501 * MS, true)] {
        let mut case = Case::new(&[Effect::Safe]);
        case.told(0, false, 100 * MS);
        case.put(Writer::Runner, Record::ProxyPaused { proxy: 0, from: 90 * MS, to: 1500 * MS });
        case.submit(0, 800 * MS);
        case.received(0, 0, 0, at, Some(AttemptEnd::Answered));
        case.finished(0, at + 10 * MS, End::Served(Some(0)));
        assert_eq!(case.broken() == [Rule::DrainsKept], broken, "{at}");
    }
}

#[test]
fn a_request_that_may_have_run_is_repeated_only_as_its_class_allows() {
    for (effect, first, backend, at, broken) in [
        (Effect::Safe, AttemptEnd::MayHaveRun, 3, 100 * MS, false),
        (Effect::Unsafe, AttemptEnd::NotProcessed, 3, 100 * MS, false),
        (Effect::Unsafe, AttemptEnd::MayHaveRun, 3, 100 * MS, true),
        (KEYED, AttemptEnd::MayHaveRun, 1, 100 * MS, false),
        (KEYED, AttemptEnd::MayHaveRun, 2, 100 * MS, true),
        (KEYED, AttemptEnd::NotProcessed, 2, 100 * MS, false),
        (KEYED, AttemptEnd::MayHaveRun, 1, 2600 * MS, true),
    ] {
        let mut case = one(effect, first);
        case.received(1, 0, backend, at, Some(AttemptEnd::Answered));
        case.finished(0, 120 * MS, End::Left);
        assert_eq!(!case.broken().is_empty(), broken, "{effect:?} {first:?} {backend} {at}");
    }
}

#[test]
fn a_refused_request_must_not_have_run_unless_it_is_safe() {
    for (effect, ran, broken) in [
        (Effect::Safe, AttemptEnd::MayHaveRun, false),
        (Effect::Unsafe, AttemptEnd::NotProcessed, false),
        (Effect::Unsafe, AttemptEnd::MayHaveRun, true),
        (KEYED, AttemptEnd::MayHaveRun, true),
    ] {
        let mut case = one(effect, ran);
        case.finished(0, 50 * MS, End::Refused);
        assert_eq!(
            case.broken(),
            if broken { vec![Rule::NothingTwice] } else { vec![] },
            "{effect:?} {ran:?}"
        );
    }
}

#[test]
fn a_drain_applies_from_the_end_of_its_grace_until_it_is_reverted() {
    for (at, broken) in [(100, false), (640, false), (651, true), (1900, true), (2100, false)] {
        let mut case = Case::new(&[Effect::Safe]);
        case.told(0, false, 100 * MS);
        case.told(0, false, 900 * MS); // a repeated drain does not restart the grace
        case.told(0, true, 2000 * MS);
        case.submit(0, at * MS);
        case.received(0, 0, 0, at * MS, Some(AttemptEnd::Answered));
        case.finished(0, (at + 10) * MS, End::Served(Some(0)));
        assert_eq!(case.broken(), if broken { vec![Rule::DrainsKept] } else { vec![] }, "{at}");
    }
}

#[test]
fn a_proxy_must_not_send_to_a_backend_that_it_was_never_told_of() {
    let mut case = Case::new(&[Effect::Safe]);
    case.submit(0, 0);
    case.received(0, 0, 9, 10 * MS, Some(AttemptEnd::Answered));
    case.finished(0, 20 * MS, End::Served(Some(0)));
    assert_eq!(case.broken(), [Rule::DrainsKept]);
}

#[test]
fn requests_held_by_a_killed_proxy_are_excused() {
    // The kill and the response race: whichever comes first, the proxy has broken no rule.
    for end in [End::Broken, End::ClosedBeforeResponse, End::Served(Some(0))] {
        let mut case = one(Effect::Unsafe, AttemptEnd::Answered);
        case.put(Writer::Runner, Record::ProxyKilled { proxy: 0, at: 15 * MS });
        case.finished(0, 16 * MS, end);
        if end == End::ClosedBeforeResponse {
            case.put(
                Writer::Clients,
                Record::Submitted { request: 0, proxy: 1, at: 17 * MS, deadline: 1000 * MS },
            );
            let (request, cell, proxy) = (Some(0), 1, 1);
            let received = Record::AttemptReceived {
                attempt: 1,
                request,
                backend: 2,
                cell,
                proxy,
                first: 18 * MS,
                last: 18 * MS,
                told: None,
            };
            case.put(Writer::Discovery, Record::HealthTold { proxy: 1, backend: 2, up: true, at: 0 });
            case.put(Writer::Backends, received);
            case.put(
                Writer::Backends,
                Record::AttemptEnded { attempt: 1, ran: AttemptEnd::Answered, out_until: None },
            );
            case.finished(0, 30 * MS, End::Served(Some(1)));
        }
        assert_eq!(case.broken(), [], "{end:?}");
    }
    // Without a kill the same end is a lost request.
    let mut case = one(Effect::Unsafe, AttemptEnd::Answered);
    case.finished(0, 16 * MS, End::Broken);
    assert_eq!(case.broken(), [Rule::NoRequestLost]);
    // A process that started after the kill is not excused by it.
    let mut later = Case::new(&[Effect::Unsafe]);
    later.put(Writer::Runner, Record::ProxyKilled { proxy: 0, at: 5 * MS });
    later.submit(0, 20 * MS);
    later.finished(0, 30 * MS, End::Broken);
    assert_eq!(later.broken(), [Rule::NoRequestLost]);
}

#[test]
fn pauses_and_stalls_extend_time_limits_by_no_more_than_they_took() {
    for (length, broken) in [(300, false), (100, true)] {
        let mut case = one(Effect::Safe, AttemptEnd::Answered);
        case.put(Writer::Runner, Record::ProxyPaused { proxy: 0, from: 500 * MS, to: (500 + length) * MS });
        case.finished(0, 1300 * MS, End::Failed);
        assert_eq!(!case.broken().is_empty(), broken, "{length}");
    }
}

#[test]
fn a_ledger_that_has_lost_a_record_never_passes() {
    let whole = |lose_every| {
        let mut case = Case::new(&[Effect::Safe; 50]);
        case.ledger.lose_every = lose_every;
        for r in 0..50 {
            case.submit(r, 0);
            case.received(r, r, 0, 10 * MS, Some(AttemptEnd::Answered));
            case.finished(r, 20 * MS, End::Served(Some(r)));
        }
        case.check()
    };
    assert!(whole(None).passes());
    for n in 2..204 {
        let verdict = whole(Some(n));
        assert!(!verdict.passes() && !verdict.incomplete.is_empty(), "every {n}th record: {verdict}");
    }
}

#[test]
fn a_request_or_attempt_without_an_end_makes_the_verdict_incomplete() {
    let mut case = Case::new(&[Effect::Safe]);
    case.submit(0, 0);
    assert!(case.check().incomplete[0].contains("no end"));
    case.received(0, 0, 0, 10 * MS, None);
    case.finished(0, 20 * MS, End::Failed);
    assert!(case.check().incomplete[0].contains("attempt 0"));
}

#[test]
fn an_overloaded_cold_backend_and_an_attempt_without_a_request_are_breaches() {
    let mut case = Case::new(&[Effect::Safe]);
    case.put(Writer::Backends, Record::BackendOverloaded { backend: 3, at: 7 });
    assert_eq!(case.broken(), [Rule::NoColdPushedOver]);
    let mut case = Case::new(&[Effect::Safe]);
    case.received(0, 0, 0, 10 * MS, Some(AttemptEnd::Answered));
    assert_eq!(case.broken(), [Rule::NoRequestLost]);
}

#[test]
fn no_more_attempts_may_be_out_at_once_than_are_permitted() {
    // The first is out until 600 ms; the second begins 50 ms before that or earlier.
    for (permitted, begins, broken) in [(1, 549, true), (1, 551, false), (2, 100, false)] {
        let mut case = Case::new(&[Effect::Safe]);
        case.permitted = permitted;
        case.submit(0, 0);
        for (attempt, at, out_until) in [(0, 10, 600), (1, begins, 700)] {
            case.received(attempt, 0, attempt as u16, at * MS, None);
            let (ran, out_until) = (AttemptEnd::Answered, Some(out_until * MS));
            case.put(Writer::Backends, Record::AttemptEnded { attempt, ran, out_until });
        }
        case.finished(0, 700 * MS, End::Served(Some(1)));
        assert_eq!(case.broken() == [Rule::NothingTwice], broken, "{permitted}, {begins} ms");
    }
}
