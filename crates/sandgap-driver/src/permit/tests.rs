use super::*;

const fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn place(cell: u64) -> Place {
    Place { zone: Some(ZoneId(1)), cell: Some(CellId(cell)) }
}

const KEYED_CELL: Effect = Effect::Keyed { group: Group::Cell, window: 1000.0 };
const KEYED_ALL: Effect = Effect::Keyed { group: Group::All, window: 1000.0 };

#[test]
fn a_request_that_may_have_run_is_repeated_only_where_duplicates_are_dropped() {
    let mut attempts = Attempts::default();
    for effect in [Effect::Safe, KEYED_CELL, Effect::Unsafe] {
        assert_eq!(attempts.may_repeat(effect, at(0), place(1)), Ok(()), "the first attempt is not a repeat");
    }
    attempts.begin(at(100), place(1));
    assert_eq!(attempts.may_repeat(Effect::Safe, at(200), place(2)), Ok(()));
    assert_eq!(attempts.may_repeat(Effect::Unsafe, at(200), place(1)), Err(Denial::MayHaveRun));
    assert_eq!(attempts.may_repeat(KEYED_CELL, at(1099), place(1)), Ok(()));
    assert_eq!(attempts.may_repeat(KEYED_CELL, at(200), place(2)), Err(Denial::RepeatNotDropped));
    assert_eq!(attempts.may_repeat(KEYED_CELL, at(200), Place::default()), Err(Denial::RepeatNotDropped));
    assert_eq!(attempts.may_repeat(KEYED_CELL, at(1100), place(1)), Err(Denial::RepeatNotDropped));
    assert_eq!(attempts.may_repeat(KEYED_ALL, at(1099), place(2)), Ok(()));
    attempts.end(0, false);
    assert_eq!(
        attempts.may_repeat(Effect::Unsafe, at(1500), place(2)),
        Ok(()),
        "the first attempt certainly did not run"
    );
}

#[test]
fn the_window_counts_from_the_first_attempt_that_may_have_run() {
    let mut attempts = Attempts::default();
    attempts.begin(at(100), place(1));
    attempts.end(0, false);
    attempts.skip(at(150));
    attempts.begin(at(500), place(2));
    attempts.begin(at(900), place(2));
    attempts.end(3, false);
    assert_eq!(attempts.may_repeat(KEYED_CELL, at(1499), place(2)), Ok(()));
    assert_eq!(attempts.may_repeat(KEYED_CELL, at(1499), place(1)), Err(Denial::RepeatNotDropped));
    assert_eq!(attempts.may_repeat(KEYED_CELL, at(1500), place(2)), Err(Denial::RepeatNotDropped));
}

#[test]
fn a_refusal_is_allowed_only_if_a_retry_is_safe() {
    let mut attempts = Attempts::default();
    assert_eq!(attempts.may_refuse(Effect::Unsafe, at(0), None), Ok(()));
    attempts.begin(at(100), place(1));
    assert_eq!(attempts.may_refuse(Effect::Safe, at(200), None), Ok(()));
    assert_eq!(attempts.may_refuse(Effect::Unsafe, at(200), None), Err(Denial::MayHaveRun));
    assert_eq!(
        attempts.may_refuse(KEYED_CELL, at(200), None),
        Err(Denial::MayHaveRun),
        "the retry may reach another cell"
    );
    assert_eq!(attempts.may_refuse(KEYED_ALL, at(200), Some(800.0)), Ok(()));
    assert_eq!(attempts.may_refuse(KEYED_ALL, at(200), Some(900.0)), Err(Denial::MayHaveRun));
}

#[test]
fn each_fact_alone_can_deny_a_send() {
    let good = SendFacts {
        wanted: true,
        endpoint_open: true,
        lease_holds: true,
        time_left: MIN_TIME_LEFT,
        repeat_dropped: true,
        head_age: MAX_HEAD_AGE,
    };
    assert_eq!(good.may_send(), Ok(()));
    for (facts, denial) in [
        (SendFacts { wanted: false, ..good }, Denial::Answered),
        (SendFacts { endpoint_open: false, ..good }, Denial::EndpointClosed),
        (SendFacts { lease_holds: false, ..good }, Denial::LeaseLapsed),
        (SendFacts { repeat_dropped: false, ..good }, Denial::RepeatNotDropped),
        (SendFacts { time_left: MIN_TIME_LEFT - at(1), ..good }, Denial::DeadlineOver),
        (SendFacts { head_age: MAX_HEAD_AGE + at(1), ..good }, Denial::HeadOutdated),
    ] {
        assert_eq!(facts.may_send(), Err(denial));
    }
}
