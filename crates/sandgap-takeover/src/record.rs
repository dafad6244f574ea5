//! What is kept of a request, what may be true of it then, and what an heir may do.
//!
//! An owner acts on a step only once every keeper that the record lists has it. So any one keeper's copy says at
//! least as much as may have happened: what it calls *taken* was never sent.

use std::time::Duration;

use sandgap_agree::Version;
use sandgap_agree::lives::Life;
use sandgap_fleet::{Drift, Time};
use serde::{Deserialize, Serialize};

use crate::identity::{Content, Identity};
use crate::limits::ATTEMPTS;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Repeating it does no harm.
    Safe,
    /// Backends of one group drop a repeat for a while.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// An attempt that may have gone out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// Counted from 0.
    pub attempt: u32,
    /// Where to.
    pub backend: String,
    /// Its zone, where it has one.
    pub zone: Option<String>,
    /// Its cell, where it has one.
    pub cell: Option<String>,
    /// For how long its group drops repeats of it, from its first byte; none where nobody does.
    pub window: Option<Duration>,
}

/// An answer that a client may have got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// All of it: status, headers, body.
    Whole(u16, Vec<(String, Vec<u8>)>, Vec<u8>),
    /// One too long to be kept: its status and its body's digest.
    Digest(u16, [u8; 16]),
}

/// How it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// A backend's answer.
    Answered(Answer),
    /// It never ran, and its client was told to come again.
    Refused,
    /// It may have run; nobody knows, and nobody repeats it.
    Unknown,
}

/// What may be true of a request, as far as a record tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing was sent.
    Taken,
    /// Anything up to: it ran once.
    MayHaveRun,
    /// It ran once, and its client may have the answer.
    Done,
    /// It never ran, and its client may know.
    Failed,
    /// Its client may have been told that nobody knows.
    Unknown,
}

/// All that is kept of a request beside its bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Which wish it is.
    pub identity: Identity,
    /// What is asked.
    pub content: Content,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// The rules under which it was taken.
    pub version: Version,
    /// All that keep it. Changed only once one of them has ended.
    pub keepers: Vec<Life>,
    /// Its owner may go on without its keepers: then *taken* does not say that nothing was sent.
    pub alone: bool,
    /// Grows with each step: of two records of one owner the higher is the later.
    pub step: u32,
    /// Attempts that may have gone out.
    pub sent: Vec<Sent>,
    /// How it ended, once it has.
    pub end: Option<End>,
}

impl Record {
    /// What may be true of it.
    pub fn state(&self) -> State {
        match &self.end {
            Some(End::Answered(_)) => State::Done,
            Some(End::Refused) => State::Failed,
            Some(End::Unknown) => State::Unknown,
            None if self.sent.is_empty() && !self.alone => State::Taken,
            None => State::MayHaveRun,
        }
    }

    /// The next step: an attempt is about to go out. `None` where there were too many.
    #[must_use]
    pub fn sending(&self, sent: Sent) -> Option<Record> {
        if self.sent.len() >= ATTEMPTS || self.end.is_some() {
            return None;
        }
        let mut next = Record { step: self.step + 1, ..self.clone() };
        next.sent.push(sent);
        Some(next)
    }

    /// The next step: an attempt has not gone out after all, or was turned away unseen.
    #[must_use]
    pub fn unsent(&self, attempt: u32) -> Record {
        let mut next = Record { step: self.step + 1, ..self.clone() };
        next.sent.retain(|sent| sent.attempt != attempt);
        next
    }

    /// The last step.
    #[must_use]
    pub fn ended(&self, end: End) -> Record {
        Record { step: self.step + 1, end: Some(end), ..self.clone() }
    }
}

/// A record as a keeper or an heir has it, on its own clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// The record.
    pub record: Record,
    /// When its client gives up.
    pub deadline: Time,
    /// Until when the group of the first attempt that may have run surely drops repeats.
    pub until: Option<Time>,
}

impl Known {
    /// A record that has come from its owner at `now`. The owner lets no first byte go before this keeper has the
    /// step, so the group's window begins after now.
    pub fn new(now: Time, record: Record, left: Duration, drift: Drift) -> Self {
        let mut known = Known { record, deadline: now + left, until: None };
        known.note_window(now, drift);
        known
    }

    /// A later record of the same request. An earlier one that comes late changes nothing; says whether it was later.
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
            // A later attempt may have run where the first did not: the group counts from whichever ran first.
            Some(_) => {}
        }
    }

    /// What an heir may do with it now.
    pub fn plan(&self, now: Time) -> Plan {
        let left = self.deadline.saturating_sub(now);
        match (self.record.state(), self.record.effect) {
            (State::Done | State::Failed | State::Unknown, _) => Plan::Tell,
            (State::Taken, _) if left.is_zero() => Plan::End(End::Refused),
            (State::Taken, _) => Plan::Send,
            (State::MayHaveRun, Effect::Safe) if left.is_zero() => Plan::End(End::Refused),
            (State::MayHaveRun, Effect::Safe) => Plan::Send,
            (State::MayHaveRun, Effect::Unsafe) => Plan::End(End::Unknown),
            // Who goes on alone waits for nobody: its window may have begun before it was told here.
            (State::MayHaveRun, Effect::Keyed) if self.record.alone => Plan::End(End::Unknown),
            (State::MayHaveRun, Effect::Keyed) => match self.until {
                Some(until) if now < until && !left.is_zero() => Plan::Again(until),
                _ => Plan::End(End::Unknown),
            },
        }
    }
}

/// What an heir may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Send it, to any backend, within the deadline that is left.
    Send,
    /// Send it where the group of its first attempt drops repeats, and not after this.
    Again(Time),
    /// It ends so, and its client is told when it comes.
    End(End),
    /// It has ended: tell that to its client when it comes.
    Tell,
}

#[cfg(test)]
pub(crate) mod tests {
    use sandgap_agree::lives::Enrolled;
    use sandgap_agree::tenure::Roll;

    use super::*;

    pub(crate) fn ms(ms: u64) -> Time {
        Duration::from_millis(ms)
    }

    pub(crate) fn roll(lives: &[Life]) -> Roll {
        let who = |life: &Life| Enrolled { draw: *life, name: format!("p{life}"), zone: None };
        Roll::new(lives.iter().map(|life| (*life, who(life))).collect())
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
            alone: false,
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
    fn the_table_of_states_and_plans() {
        let answered = End::Answered(Answer::Whole(200, vec![], vec![]));
        for effect in [Effect::Safe, Effect::Keyed, Effect::Unsafe] {
            let taken = record(effect);
            let out = taken.sending(sent(0)).expect("room");
            let alone = Record { alone: true, ..taken.clone() };
            let again = match effect {
                Effect::Safe => Plan::Send,
                Effect::Keyed => Plan::Again(ms(2100)),
                Effect::Unsafe => Plan::End(End::Unknown),
            };
            let doubtful = match effect {
                Effect::Safe => Plan::Send,
                _ => Plan::End(End::Unknown), // in which group nobody knows
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
    fn nothing_is_sent_past_its_deadline_or_its_group_s_window() {
        let late = |effect, sends: bool| {
            let record = record(effect);
            let record = if sends { record.sending(sent(0)).expect("room") } else { record };
            known(record).plan(ms(1100))
        };
        assert_eq!(late(Effect::Keyed, false), Plan::End(End::Refused));
        assert_eq!(late(Effect::Safe, true), Plan::End(End::Refused));
        assert_eq!(late(Effect::Keyed, true), Plan::End(End::Unknown));
        let patient = Known::new(
            ms(100),
            record(Effect::Keyed).sending(sent(0)).expect("room"),
            ms(9000),
            Drift::ppm(1000),
        );
        assert_eq!(patient.plan(ms(2097)), Plan::Again(ms(2098)), "a slow clock shows less");
        assert_eq!(patient.plan(ms(2098)), Plan::End(End::Unknown));
    }

    #[test]
    fn the_window_counts_from_the_first_attempt_that_may_have_run() {
        let mut kept = known(record(Effect::Keyed));
        let first = kept.record.sending(sent(0)).expect("room");
        assert!(kept.advance(ms(200), first.clone(), Drift::ppm(0)));
        let second = first.sending(sent(1)).expect("room");
        assert!(kept.advance(ms(700), second.clone(), Drift::ppm(0)));
        assert_eq!(kept.until, Some(ms(2200)));
        assert!(!kept.advance(ms(800), first, Drift::ppm(0)), "it was overtaken on its way");
        // The first was turned away unseen: only the second counts, from a time that is surely early enough.
        assert!(kept.advance(ms(900), second.unsent(0), Drift::ppm(0)));
        assert_eq!(kept.until, Some(ms(2200)));
        assert!(kept.advance(ms(950), second.unsent(0).unsent(1), Drift::ppm(0)));
        assert_eq!((kept.until, kept.record.state()), (None, State::Taken));
    }

    #[test]
    fn attempts_are_bounded_and_none_follows_the_end() {
        let mut next = record(Effect::Safe);
        for attempt in 0..ATTEMPTS as u32 {
            next = next.sending(sent(attempt)).expect("room");
        }
        assert_eq!(next.sending(sent(99)), None);
        assert_eq!(record(Effect::Safe).ended(End::Refused).sending(sent(0)), None);
    }
}
