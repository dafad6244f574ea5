//! Central checks of whether a request may be sent, repeated, written or refused now, and why not.
//!
//! Callers check here with the current facts immediately before they act. The decision module is expected to keep within
//! these rules; the core does not perform an action of the module that breaks them, and counts a [`Violation`].

use std::time::Duration;

use smallvec::SmallVec;
use wharfhitch::{CellId, Effect, Group, Millis, ZoneId};

use crate::core::Time;

/// No attempt starts for a client with less time than this left. A process may be delayed by 0.15 s between reading its
/// clock and a write, and work that starts more than 0.1 s after a client has given up is lost.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(50);
/// Maximum age of the view of backends and clients on which a send is based: nothing may start more than 0.1 s after its
/// client has left, and the process may be delayed once more before it writes.
pub const MAX_VIEW_AGE: Duration = Duration::from_millis(50);
/// Maximum age of a request head when it is written. The head states the time its client had left when it was made, which
/// may be wrong by 0.15 s.
pub const MAX_HEAD_AGE: Duration = Duration::from_millis(50);
/// An answer up to this long after its client's deadline has no worth but is not counted as lost; a later one is lost.
pub const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);

/// Why an action is not allowed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// The request is already answered, or its client has left.
    Answered,
    /// The client's deadline has passed or is too close.
    DeadlineOver,
    /// The endpoint is draining, gone or replaced.
    EndpointClosed,
    /// The lease under which the request was accepted has ended.
    LeaseLapsed,
    /// As many attempts of the request are in flight as the settings permit at once.
    TooManyInFlight,
    /// An earlier attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// An earlier attempt may have run, and the duplicate would not be dropped at this place and time.
    RepeatNotDropped,
    /// After a standstill of the process since the request's head was made, the head states more time than the client has
    /// left.
    HeadOutdated,
}

impl Denial {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Denial::Answered => "answered",
            Denial::DeadlineOver => "deadline_over",
            Denial::EndpointClosed => "endpoint_closed",
            Denial::LeaseLapsed => "lease_lapsed",
            Denial::TooManyInFlight => "too_many_in_flight",
            Denial::MayHaveRun => "may_have_run",
            Denial::RepeatNotDropped => "repeat_not_dropped",
            Denial::HeadOutdated => "head_outdated",
        }
    }
}

/// A rule that an action of the module would have broken. Each occurrence is a bug in this program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A send for a request that is not held.
    SendOfUnknown,
    /// A send for a request that is already answered.
    SendAfterAnswer,
    /// A send to an endpoint that is not open.
    SendToClosedEndpoint,
    /// A send beside as many attempts in flight as are permitted at once.
    TooManyInFlight,
    /// A repeat of a request that may have run and must not run twice.
    RepeatOfUnsafe,
    /// A repeat of a request that may have run, where the duplicate would not be dropped.
    RepeatNotDropped,
    /// A refusal of a request that may have run.
    RefusalAfterRun,
}

impl Violation {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Violation::SendOfUnknown => "send_of_unknown",
            Violation::SendAfterAnswer => "send_after_answer",
            Violation::SendToClosedEndpoint => "send_to_closed_endpoint",
            Violation::TooManyInFlight => "too_many_in_flight",
            Violation::RepeatOfUnsafe => "repeat_of_unsafe",
            Violation::RepeatNotDropped => "repeat_not_dropped",
            Violation::RefusalAfterRun => "refusal_after_run",
        }
    }

    /// The violation behind a denial; `None` for denials that can also happen to a correct module at any time.
    pub fn of(denial: Denial) -> Option<Self> {
        match denial {
            Denial::Answered => Some(Violation::SendAfterAnswer),
            Denial::EndpointClosed => Some(Violation::SendToClosedEndpoint),
            Denial::TooManyInFlight => Some(Violation::TooManyInFlight),
            Denial::MayHaveRun => Some(Violation::RepeatOfUnsafe),
            Denial::RepeatNotDropped => Some(Violation::RepeatNotDropped),
            Denial::DeadlineOver | Denial::LeaseLapsed | Denial::HeadOutdated => None,
        }
    }
}

/// Zone and cell of an endpoint, which decide where duplicates are dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Place {
    /// Zone, if known.
    pub zone: Option<ZoneId>,
    /// Cell, if known.
    pub cell: Option<CellId>,
}

impl Place {
    /// Whether a duplicate of a request that ran at `first` is dropped here.
    fn drops_repeats_of(self, first: Place, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => first.zone.is_some() && self.zone == first.zone,
            Group::Cell => first.cell.is_some() && self.cell == first.cell,
        }
    }
}

/// The facts of an attempt that matter for further attempts.
#[derive(Clone, Copy, Debug)]
struct AttemptRecord {
    sent: Time,
    place: Place,
    /// It is in flight, or has ended in a way that may have had an effect.
    may_have_run: bool,
}

/// The attempts of a request; their number is bounded by the settings.
#[derive(Clone, Debug, Default)]
pub struct Attempts(SmallVec<[AttemptRecord; 1]>);

impl Attempts {
    /// Records a sent attempt: until its end is known it may have run.
    pub fn begin(&mut self, now: Time, place: Place) {
        self.0.push(AttemptRecord { sent: now, place, may_have_run: true });
    }

    /// Number of attempts, including those that were not started.
    pub fn count(&self) -> u32 {
        self.0.len() as u32
    }

    /// Records an attempt that was not started.
    pub fn skip(&mut self, now: Time) {
        self.0.push(AttemptRecord { sent: now, place: Place::default(), may_have_run: false });
    }

    /// Records the end of attempt `number`, counted from 0.
    pub fn end(&mut self, number: u32, may_have_run: bool) {
        if let Some(attempt) = self.0.get_mut(number as usize) {
            attempt.may_have_run = may_have_run;
        }
    }

    /// Checks whether another attempt may go to `place` now.
    ///
    /// # Errors
    /// The reason if it may not.
    pub fn may_repeat(&self, effect: Effect, now: Time, place: Place) -> Result<(), Denial> {
        let Some(first) = self.0.iter().find(|a| a.may_have_run) else { return Ok(()) };
        match effect {
            Effect::Safe => Ok(()),
            Effect::Unsafe => Err(Denial::MayHaveRun),
            Effect::Keyed { group, window } => {
                let within_window = now < first.sent + to_duration(window);
                let dropped = within_window && place.drops_repeats_of(first.place, group);
                if dropped { Ok(()) } else { Err(Denial::RepeatNotDropped) }
            }
        }
    }

    /// Checks whether the client may be told now that a retry is safe, after `retry_after` ms if given.
    ///
    /// # Errors
    /// The reason if it may not.
    pub fn may_refuse(&self, effect: Effect, now: Time, retry_after: Option<Millis>) -> Result<(), Denial> {
        let Some(first) = self.0.iter().find(|a| a.may_have_run) else { return Ok(()) };
        match effect {
            Effect::Safe => Ok(()),
            Effect::Keyed { group: Group::All, window }
                if now + to_duration(retry_after.unwrap_or(0.0)) < first.sent + to_duration(window) =>
            {
                Ok(())
            }
            Effect::Keyed { .. } | Effect::Unsafe => Err(Denial::MayHaveRun),
        }
    }
}

fn to_duration(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 1e12) / 1000.0)
}

/// Facts that decide whether an attempt may start or its first byte be written; each may change at any time.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// The request is unanswered and its client is connected.
    pub wanted: bool,
    /// The endpoint accepts requests.
    pub endpoint_open: bool,
    /// The lease under which the request was accepted holds, or none is needed.
    pub lease_holds: bool,
    /// Time until the client's deadline.
    pub time_left: Duration,
    /// If it may be a duplicate, it would still be dropped as one.
    pub repeat_dropped: bool,
    /// Time since its head was made; zero if it has not been.
    pub head_age: Duration,
}

impl SendFacts {
    /// Checks whether it may be sent now.
    ///
    /// # Errors
    /// The reason if it may not.
    pub fn may_send(self) -> Result<(), Denial> {
        match self {
            SendFacts { wanted: false, .. } => Err(Denial::Answered),
            SendFacts { endpoint_open: false, .. } => Err(Denial::EndpointClosed),
            SendFacts { lease_holds: false, .. } => Err(Denial::LeaseLapsed),
            SendFacts { repeat_dropped: false, .. } => Err(Denial::RepeatNotDropped),
            SendFacts { time_left, .. } if time_left < MIN_TIME_LEFT => Err(Denial::DeadlineOver),
            SendFacts { head_age, .. } if head_age > MAX_HEAD_AGE => Err(Denial::HeadOutdated),
            SendFacts { .. } => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
