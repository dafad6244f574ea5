//! The one place that says whether something may be sent, repeated, written or refused now, and why not.
//!
//! Whoever is about to do such a thing asks here, with the facts of that moment, and does not go on without a yes. The
//! decision module has its own reasons and is expected to keep within these rules: where it does not, the core does not
//! follow it, and counts a [`Violation`].

use std::time::Duration;

use smallvec::SmallVec;
use wharfhitch::{CellId, Effect, Group, Millis, ZoneId};

use crate::core::Time;

/// Nothing begins for a client with less time than this left. A process may be held up for 0.15 s between a look at its
/// clock and a write, and what begins more than 0.1 s after a client has given up is lost.
pub const LEAST_TIME_LEFT: Duration = Duration::from_millis(50);
/// Nothing is sent by a view of backends and clients that is older than this: nothing may begin more than 0.1 s after its
/// client has left, and a process may be held up once more before it writes.
pub const MAX_VIEW_AGE: Duration = Duration::from_millis(50);
/// A head tells what its client had left when it was made, and may be wrong by 0.15 s: an older one is not written.
pub const MAX_HEAD_AGE: Duration = Duration::from_millis(50);
/// An answer may come up to this long after its client's time, and then only earns nothing; a later one is lost.
pub const LATEST_ANSWER: Duration = Duration::from_millis(500);

/// Why something may not be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// The request has its answer, or its client has left.
    Answered,
    /// Its client's time is over, or nearly.
    DeadlineOver,
    /// The endpoint drains, or is gone or replaced.
    EndpointClosed,
    /// The lease under which it was taken has ended.
    LeaseLapsed,
    /// An earlier attempt may have run, and another must not.
    MayHaveRun,
    /// An earlier attempt may have run, and nobody there drops the repeat any more.
    RepeatNotDropped,
    /// The process stood still since the request's head was made, which tells more time than its client has left.
    HeadOutdated,
}

impl Denial {
    /// A word for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Denial::Answered => "answered",
            Denial::DeadlineOver => "deadline_over",
            Denial::EndpointClosed => "endpoint_closed",
            Denial::LeaseLapsed => "lease_lapsed",
            Denial::MayHaveRun => "may_have_run",
            Denial::RepeatNotDropped => "repeat_not_dropped",
            Denial::HeadOutdated => "head_outdated",
        }
    }
}

/// The module wanted something that may not be. Each is a defect of this program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A send for a request that is not held.
    SendOfUnknown,
    /// A send for a request that has its answer.
    SendAfterAnswer,
    /// A send to an endpoint that is not open.
    SendToClosedEndpoint,
    /// A repeat of what may have run and must not run twice.
    RepeatOfUnsafe,
    /// A repeat of what may have run, where nobody drops it.
    RepeatNotDropped,
    /// A refusal of what may have run.
    RefusalAfterRun,
}

impl Violation {
    /// A word for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Violation::SendOfUnknown => "send_of_unknown",
            Violation::SendAfterAnswer => "send_after_answer",
            Violation::SendToClosedEndpoint => "send_to_closed_endpoint",
            Violation::RepeatOfUnsafe => "repeat_of_unsafe",
            Violation::RepeatNotDropped => "repeat_not_dropped",
            Violation::RefusalAfterRun => "refusal_after_run",
        }
    }

    /// What a module that keeps within the rules never runs into; `None` for what may happen to it at any moment.
    pub fn of(denial: Denial) -> Option<Self> {
        match denial {
            Denial::Answered => Some(Violation::SendAfterAnswer),
            Denial::EndpointClosed => Some(Violation::SendToClosedEndpoint),
            Denial::MayHaveRun => Some(Violation::RepeatOfUnsafe),
            Denial::RepeatNotDropped => Some(Violation::RepeatNotDropped),
            Denial::DeadlineOver | Denial::LeaseLapsed | Denial::HeadOutdated => None,
        }
    }
}

/// Where an endpoint stands among those that drop each other's repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Place {
    /// Its zone, if that is told.
    pub zone: Option<ZoneId>,
    /// Its cell, if that is told.
    pub cell: Option<CellId>,
}

impl Place {
    /// Whether what ran at `first` is dropped here when it comes again.
    fn drops_repeats_of(self, first: Place, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => first.zone.is_some() && self.zone == first.zone,
            Group::Cell => first.cell.is_some() && self.cell == first.cell,
        }
    }
}

/// One attempt of a request, as far as it decides on further ones.
#[derive(Clone, Copy, Debug)]
struct Attempted {
    sent: Time,
    place: Place,
    /// It is out, or has ended so that it may have had its effect.
    may_have_run: bool,
}

/// The attempts of a request; bounded by the settings' attempts for one.
#[derive(Clone, Debug, Default)]
pub struct Attempts(SmallVec<[Attempted; 1]>);

impl Attempts {
    /// An attempt goes out: until its end is known it may run.
    pub fn begin(&mut self, now: Time, place: Place) {
        self.0.push(Attempted { sent: now, place, may_have_run: true });
    }

    /// How many there were, those that were never begun included.
    pub fn count(&self) -> u32 {
        self.0.len() as u32
    }

    /// An attempt that was never begun.
    pub fn skip(&mut self, now: Time) {
        self.0.push(Attempted { sent: now, place: Place::default(), may_have_run: false });
    }

    /// An attempt, counted from 0, has ended.
    pub fn end(&mut self, number: u32, may_have_run: bool) {
        if let Some(attempt) = self.0.get_mut(number as usize) {
            attempt.may_have_run = may_have_run;
        }
    }

    /// Whether another attempt may go to `place` now.
    ///
    /// # Errors
    /// Why it may not.
    pub fn may_repeat(&self, effect: Effect, now: Time, place: Place) -> Result<(), Denial> {
        let Some(first) = self.0.iter().find(|a| a.may_have_run) else { return Ok(()) };
        match effect {
            Effect::Safe => Ok(()),
            Effect::Unsafe => Err(Denial::MayHaveRun),
            Effect::Keyed { group, window } => {
                let remembered = now < first.sent + span(window);
                let dropped = remembered && place.drops_repeats_of(first.place, group);
                if dropped { Ok(()) } else { Err(Denial::RepeatNotDropped) }
            }
        }
    }

    /// Whether the client may be told now that asking again does no harm, after so many ms if that is said.
    ///
    /// # Errors
    /// Why it may not.
    pub fn may_refuse(&self, effect: Effect, now: Time, retry_after: Option<Millis>) -> Result<(), Denial> {
        let Some(first) = self.0.iter().find(|a| a.may_have_run) else { return Ok(()) };
        match effect {
            Effect::Safe => Ok(()),
            Effect::Keyed { group: Group::All, window }
                if now + span(retry_after.unwrap_or(0.0)) < first.sent + span(window) =>
            {
                Ok(())
            }
            Effect::Keyed { .. } | Effect::Unsafe => Err(Denial::MayHaveRun),
        }
    }
}

fn span(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 1e12) / 1000.0)
}

/// The facts that decide whether an attempt may begin, or its first byte be written: each may change at any moment.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// The request lacks its answer and its client is there.
    pub wanted: bool,
    /// The endpoint takes work.
    pub endpoint_open: bool,
    /// The lease under which it was taken holds, or there is none.
    pub lease_holds: bool,
    /// What the client has left.
    pub time_left: Duration,
    /// If it may be a repeat: it is still dropped as one.
    pub repeat_dropped: bool,
    /// How long ago its head was made, if it has been.
    pub head_age: Duration,
}

impl SendFacts {
    /// Whether it may go out now.
    ///
    /// # Errors
    /// Why it may not.
    pub fn may_send(self) -> Result<(), Denial> {
        match self {
            SendFacts { wanted: false, .. } => Err(Denial::Answered),
            SendFacts { endpoint_open: false, .. } => Err(Denial::EndpointClosed),
            SendFacts { lease_holds: false, .. } => Err(Denial::LeaseLapsed),
            SendFacts { repeat_dropped: false, .. } => Err(Denial::RepeatNotDropped),
            SendFacts { time_left, .. } if time_left < LEAST_TIME_LEFT => Err(Denial::DeadlineOver),
            SendFacts { head_age, .. } if head_age > MAX_HEAD_AGE => Err(Denial::HeadOutdated),
            SendFacts { .. } => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
