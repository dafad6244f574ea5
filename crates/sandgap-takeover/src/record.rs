//! The replicated record of a request, the state it implies, and what a successor may do with it.
//!
//! An owner acts on a step only after every keeper listed in the record has stored it. So each keeper's copy covers
//! at least everything that may have happened: a request in state *taken* was never sent.

use std::time::Duration;

use sandgap_agree::Version;
use sandgap_agree::lives::ProcessId;
use sandgap_fleet::{Drift, Time};
use serde::{Deserialize, Serialize};

use crate::identity::{Content, Identity};
use crate::limits::MAX_ATTEMPTS;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// May be repeated at any time.
    Safe,
    /// Backends of one group drop repeats within the dedup window.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// An attempt that may have been sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The backend that it was sent to.
    pub backend: String,
    /// The backend's zone, if it has one.
    pub zone: Option<String>,
    /// The backend's cell, if it has one.
    pub cell: Option<String>,
    /// Dedup window of the backend's group, counted from the attempt's first byte; `None` if repeats are not dropped.
    pub window: Option<Duration>,
}

/// An answer that a client may have received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The complete answer: status, headers, body.
    Whole(u16, Vec<(String, Vec<u8>)>, Vec<u8>),
    /// An answer too long to be stored: its status and the digest of its body.
    Digest(u16, [u8; 16]),
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// A backend's answer.
    Answered(Answer),
    /// It never ran, and the client was told to retry.
    Refused,
    /// It may have run; the outcome is unknown, and it is not repeated.
    Unknown,
}

/// The state of a request that its record implies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No attempt was sent.
    Taken,
    /// It ran once or not at all.
    MayHaveRun,
    /// It ran once, and the client may have the answer.
    Done,
    /// It never ran, and the client may have been told so.
    Failed,
    /// The client may have been told that the outcome is unknown.
    Unknown,
}

/// What keepers store of a request beside its bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request's identity.
    pub identity: Identity,
    /// The hash of its content.
    pub content: Content,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// Version of the rules in force when it was accepted.
    pub version: Version,
    /// All processes that keep the record. Changed only after one of them has ended.
    pub keepers: Vec<ProcessId>,
    /// The owner may continue without its keepers. A record without attempts then does not prove that none was sent.
    pub may_continue_without_keepers: bool,
    /// Increases with each step: of two records of one owner, the one with the higher step is later.
    pub step: u32,
    /// Attempts that may have been sent.
    pub sent: Vec<Sent>,
    /// How the request ended, if it has ended.
    pub end: Option<End>,
}

impl Record {
    /// The state that the record implies.
    pub fn state(&self) -> State {
        match &self.end {
            Some(End::Answered(_)) => State::Done,
            Some(End::Refused) => State::Failed,
            Some(End::Unknown) => State::Unknown,
            None if self.sent.is_empty() && !self.may_continue_without_keepers => State::Taken,
            None => State::MayHaveRun,
        }
    }

    /// The next step before an attempt is sent. `None` if the request has ended or has too many attempts.
    #[must_use]
    pub fn sending(&self, sent: Sent) -> Option<Record> {
        if self.sent.len() >= MAX_ATTEMPTS || self.end.is_some() {
            return None;
        }
        let mut next = Record { step: self.step + 1, ..self.clone() };
        next.sent.push(sent);
        Some(next)
    }

    /// The next step after an attempt was not sent, or was rejected without being processed.
    #[must_use]
    pub fn unsent(&self, attempt: u32) -> Record {
        let mut next = Record { step: self.step + 1, ..self.clone() };
        next.sent.retain(|sent| sent.attempt != attempt);
        next
    }

    /// The last step, with the end of the request.
    #[must_use]
    pub fn ended(&self, end: End) -> Record {
        Record { step: self.step + 1, end: Some(end), ..self.clone() }
    }
}

/// A record as stored by a keeper or a successor, with times on that process's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// The latest record received.
    pub record: Record,
    /// The client's deadline.
    pub deadline: Time,
    /// Time until which the group of the first attempt that may have run is guaranteed to drop repeats.
    pub until: Option<Time>,
}

impl Known {
    /// Stores a record that arrived from its owner at `now`. The owner sends no first byte before this keeper has
    /// the step, so the group's dedup window begins after `now`.
    pub fn new(now: Time, record: Record, left: Duration, drift: Drift) -> Self {
        let mut known = Known { record, deadline: now + left, until: None };
        known.note_window(now, drift);
        known
    }

    /// Replaces the record by a later one of the same request and returns true. A delayed earlier record changes
    /// nothing.
    pub fn advance(&mut self, now: Time, record: Record, drift: Drift) -> bool {
        let later = record.step > self.record.step;
        if later {
            self.record = record;
            self.note_window(now, drift);
        }
        later
    }

    fn note_window(&mut self, now: Time, drift: Drift) {
        match self.record.sent.first() {
            None => self.until = None,
            Some(first) if self.until.is_none() => {
                self.until = first.window.map(|window| now + drift.at_most(window));
            }
            // If the first attempt did not run and a later one did, the window starts later; the earlier bound stays
            // safe.
            Some(_) => {}
        }
    }

    /// What a successor may do with the request now.
    pub fn plan(&self, now: Time) -> Plan {
        let left = self.deadline.saturating_sub(now);
        match (self.record.state(), self.record.effect) {
            (State::Done | State::Failed | State::Unknown, _) => Plan::Tell,
            (State::Taken, _) if left.is_zero() => Plan::End(End::Refused),
            (State::Taken, _) => Plan::Send,
            (State::MayHaveRun, Effect::Safe) if left.is_zero() => Plan::End(End::Refused),
            (State::MayHaveRun, Effect::Safe) => Plan::Send,
            (State::MayHaveRun, Effect::Unsafe) => Plan::End(End::Unknown),
            // An owner that continues alone does not wait for keepers: the window may have begun before this record
            // came.
            (State::MayHaveRun, Effect::Keyed) if self.record.may_continue_without_keepers => {
                Plan::End(End::Unknown)
            }
            (State::MayHaveRun, Effect::Keyed) => match self.until {
                Some(until) if now < until && !left.is_zero() => Plan::Repeat(until),
                _ => Plan::End(End::Unknown),
            },
        }
    }
}

/// What a successor may do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Send it to any backend within the remaining deadline.
    Send,
    /// Send it within the group that deduplicates its first attempt, and not after this time.
    Repeat(Time),
    /// Record this end, and tell the client when it retries.
    End(End),
    /// It has already ended: tell the client when it retries.
    Tell,
}

#[cfg(test)]
pub(crate) mod tests {
    use sandgap_agree::enrolment::MemberList;
    use sandgap_agree::lives::Enrolled;

    use super::*;

    pub(crate) fn ms(ms: u64) -> Time {
        Duration::from_millis(ms)
    }

    pub(crate) fn member_list(lives: &[ProcessId]) -> MemberList {
        let enrolled =
            |life: &ProcessId| Enrolled { process_token: *life, name: format!("p{life}"), zone: None };
        MemberList::new(lives.iter().map(|life| (*life, enrolled(life))).collect())
    }

    pub(crate) fn record(effect: Effect) -> Record {
        Record {
            identity: Identity::of(None, "book", "k1"),
            content: Content::of("POST", "/book/x", b"body"),
            class: "book".into(),
            tenant: None,
            effect,
            version: 3,
            keepers: vec![2],
            may_continue_without_keepers: false,
            step: 0,
            sent: vec![],
            end: None,
        }
    }

    pub(crate) fn sent(attempt: u32) -> Sent {
        let window = Some(ms(2000));
        Sent { attempt, backend: "b1".into(), zone: None, cell: Some("c1".into()), window }
    }

    fn known(record: Record) -> Known {
        Known::new(ms(100), record, ms(1000), Drift::ppm(0))
    }

    #[test]
    fn states_and_plans_follow_from_effect_and_record() {
        let answered = End::Answered(Answer::Whole(200, vec![], vec![]));
        for effect in [Effect::Safe, Effect::Keyed, Effect::Unsafe] {
            let taken = record(effect);
            let out = taken.sending(sent(0)).expect("room");
            let alone = Record { may_continue_without_keepers: true, ..taken.clone() };
            let again = match effect {
                Effect::Safe => Plan::Send,
                Effect::Keyed => Plan::Repeat(ms(2100)),
                Effect::Unsafe => Plan::End(End::Unknown),
            };
            let doubtful = match effect {
                Effect::Safe => Plan::Send,
                _ => Plan::End(End::Unknown), // the group of the attempt is unknown
            };
            for (record, state, plan) in [
                (taken.clone(), State::Taken, Plan::Send),
                (alone.clone(), State::MayHaveRun, doubtful.clone()),
                (alone.sending(sent(0)).expect("room"), State::MayHaveRun, doubtful),
                (out.clone(), State::MayHaveRun, again),
                (out.unsent(0), State::Taken, Plan::Send),
                (out.ended(answered.clone()), State::Done, Plan::Tell),
                (taken.ended(End::Refused), State::Failed, Plan::Tell),
                (out.ended(End::Unknown), State::Unknown, Plan::Tell),
            ] {
                assert_eq!((record.state(), known(record).plan(ms(500))), (state, plan), "{effect:?}");
            }
        }
    }

    #[test]
    fn nothing_is_sent_after_the_deadline_or_the_dedup_window() {
        let late = |effect, sends: bool| {
            let record = record(effect);
            let record = if sends { record.sending(sent(0)).expect("room") } else { record };
            known(record).plan(ms(1100))
        };
        assert_eq!(late(Effect::Keyed, false), Plan::End(End::Refused));
        assert_eq!(late(Effect::Safe, true), Plan::End(End::Refused));
        assert_eq!(late(Effect::Keyed, true), Plan::End(End::Unknown));
        let long_deadline = Known::new(
            ms(100),
            record(Effect::Keyed).sending(sent(0)).expect("room"),
            ms(9000),
            Drift::ppm(1000),
        );
        assert_eq!(
            long_deadline.plan(ms(2097)),
            Plan::Repeat(ms(2098)),
            "a slow clock measures less than the window"
        );
        assert_eq!(long_deadline.plan(ms(2098)), Plan::End(End::Unknown));
    }

    #[test]
    fn window_starts_at_the_first_attempt_that_may_have_run() {
        let mut kept = known(record(Effect::Keyed));
        let first = kept.record.sending(sent(0)).expect("room");
        assert!(kept.advance(ms(200), first.clone(), Drift::ppm(0)));
        let second = first.sending(sent(1)).expect("room");
        assert!(kept.advance(ms(700), second.clone(), Drift::ppm(0)));
        assert_eq!(kept.until, Some(ms(2200)));
        assert!(!kept.advance(ms(800), first, Drift::ppm(0)), "a delayed earlier step is ignored");
        // The first attempt was rejected unprocessed: only the second counts; the earlier time is a safe bound.
        assert!(kept.advance(ms(900), second.unsent(0), Drift::ppm(0)));
        assert_eq!(kept.until, Some(ms(2200)));
        assert!(kept.advance(ms(950), second.unsent(0).unsent(1), Drift::ppm(0)));
        assert_eq!((kept.until, kept.record.state()), (None, State::Taken));
    }

    #[test]
    fn attempts_are_bounded_and_stop_after_the_end() {
        let mut next = record(Effect::Safe);
        for attempt in 0..MAX_ATTEMPTS as u32 {
            next = next.sending(sent(attempt)).expect("room");
        }
        assert_eq!(next.sending(sent(99)), None);
        assert_eq!(record(Effect::Safe).ended(End::Refused).sending(sent(0)), None);
    }
}
