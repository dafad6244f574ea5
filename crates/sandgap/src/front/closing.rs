//! Whether a client's connection may be closed now. No I/O: the facts go in, what is to be done comes out.

use super::admission::Stage;

/// Why a connection is asked to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// It gives way to others, as sockets run short.
    Evicted,
    /// What it has begun has not come whole in its time, or nothing has come at all.
    TimeUp,
    /// It has stood between requests for long.
    IdleTooLong,
    /// The process sends its clients away.
    SentAway,
}

impl CloseReason {
    /// A word for logs and counters.
    pub(super) fn name(self) -> &'static str {
        match self {
            CloseReason::Evicted => "evicted",
            CloseReason::TimeUp => "time_up",
            CloseReason::IdleTooLong => "idle_too_long",
            CloseReason::SentAway => "sent_away",
        }
    }
}

/// What is to be done with a connection that is asked to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closing {
    /// It closes.
    Now,
    /// The system holds bytes that have not been read: they are read first.
    ReadFirst,
    /// It has begun a request since it was asked, and has its whole time for that.
    Keep,
    /// It takes nothing more, and closes once what it has taken is answered.
    AfterAnswer,
}

/// Decides by how far a connection has come. `is_quiet` asks the system whether nothing stands unread.
///
/// What has sent nothing closes only while nothing stands unread: a request on a new connection has been taken once its
/// last byte has come, read or not. Half a head has its whole time; past it, or to make room for others, it closes once
/// nothing more of it is there.
pub(super) fn decide(stage: Stage, reason: CloseReason, is_quiet: impl Fn() -> bool) -> Closing {
    match (stage, reason) {
        (Stage::Refused, _) => Closing::Now,
        (Stage::Begun, CloseReason::IdleTooLong | CloseReason::SentAway) => Closing::Keep,
        (Stage::Silent | Stage::Begun, _) if is_quiet() => Closing::Now,
        (Stage::Silent | Stage::Begun, _) => Closing::ReadFirst,
        (Stage::Idle | Stage::Busy, _) => Closing::AfterAnswer,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_that_has_come_is_closed_over_unread() {
        let all =
            [CloseReason::Evicted, CloseReason::TimeUp, CloseReason::IdleTooLong, CloseReason::SentAway];
        for reason in all {
            assert_eq!(decide(Stage::Silent, reason, || false), Closing::ReadFirst);
            assert_eq!(decide(Stage::Silent, reason, || true), Closing::Now);
            assert_eq!(decide(Stage::Idle, reason, || panic!("asked by the parser")), Closing::AfterAnswer);
            assert_eq!(decide(Stage::Busy, reason, || panic!("it has been taken")), Closing::AfterAnswer);
        }
        for reason in [CloseReason::IdleTooLong, CloseReason::SentAway] {
            assert_eq!(decide(Stage::Begun, reason, || true), Closing::Keep, "a head may still come whole");
        }
        for reason in [CloseReason::TimeUp, CloseReason::Evicted] {
            assert_eq!(decide(Stage::Begun, reason, || false), Closing::ReadFirst, "the rest may have come");
            assert_eq!(decide(Stage::Begun, reason, || true), Closing::Now);
        }
    }
}
