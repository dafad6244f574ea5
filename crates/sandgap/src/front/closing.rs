//! Decides whether a client's connection may be closed now. Performs no I/O.

use super::admission::Stage;

/// Why a connection is asked to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Evicted because sockets run short.
    Evicted,
    /// Evicted because memory runs short.
    NoMemory,
    /// Its head was not complete in time, or nothing was received at all.
    TimeUp,
    /// It was idle for too long.
    IdleTooLong,
    /// The process is draining or stopping and sends its clients away.
    SentAway,
}

impl CloseReason {
    /// Name for logs and counters.
    pub(super) fn name(self) -> &'static str {
        match self {
            CloseReason::Evicted => "evicted",
            CloseReason::NoMemory => "no_memory",
            CloseReason::TimeUp => "time_up",
            CloseReason::IdleTooLong => "idle_too_long",
            CloseReason::SentAway => "sent_away",
        }
    }
}

/// What to do with a connection that is asked to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseAction {
    /// Close it.
    Now,
    /// The system holds unread bytes: read them first.
    ReadFirst,
    /// Keep it: it has started a request since it was asked, and has the full time for that.
    Keep,
    /// Accept no further request, and close once the accepted ones are answered.
    AfterAnswer,
    /// Refuse the request that is being received, and close.
    Refuse,
}

/// Decides by the stage of a connection. `is_quiet` asks the system whether there are no unread bytes.
///
/// A connection that has sent nothing closes only while there are no unread bytes: a request on a new connection counts
/// as accepted once its last byte has arrived, read or not. A partial head has its full time; after that, or to make room
/// for others, its connection closes once no more bytes of it are there.
pub(super) fn decide(stage: Stage, reason: CloseReason, is_quiet: impl Fn() -> bool) -> CloseAction {
    match (stage, reason) {
        (Stage::Refused, _) => CloseAction::Now,
        (Stage::ReadingHead, CloseReason::IdleTooLong | CloseReason::SentAway) => CloseAction::Keep,
        (Stage::ReadingHead, CloseReason::NoMemory) => CloseAction::Refuse,
        (Stage::Silent | Stage::ReadingHead, _) if is_quiet() => CloseAction::Now,
        (Stage::Silent | Stage::ReadingHead, _) => CloseAction::ReadFirst,
        (Stage::Idle | Stage::Busy, _) => CloseAction::AfterAnswer,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_head_that_must_make_room_is_refused_and_not_dropped() {
        for is_quiet in [true, false] {
            let action = decide(Stage::ReadingHead, CloseReason::NoMemory, || is_quiet);
            assert_eq!(action, CloseAction::Refuse);
        }
    }

    #[test]
    fn no_connection_is_closed_over_unread_bytes() {
        let all =
            [CloseReason::Evicted, CloseReason::TimeUp, CloseReason::IdleTooLong, CloseReason::SentAway];
        for reason in all {
            assert_eq!(decide(Stage::Silent, reason, || false), CloseAction::ReadFirst);
            assert_eq!(decide(Stage::Silent, reason, || true), CloseAction::Now);
            assert_eq!(
                decide(Stage::Idle, reason, || panic!("the parser checks for unread bytes")),
                CloseAction::AfterAnswer
            );
            assert_eq!(
                decide(Stage::Busy, reason, || panic!("the request was accepted")),
                CloseAction::AfterAnswer
            );
        }
        for reason in [CloseReason::IdleTooLong, CloseReason::SentAway] {
            assert_eq!(
                decide(Stage::ReadingHead, reason, || true),
                CloseAction::Keep,
                "the head may still be completed"
            );
        }
        for reason in [CloseReason::TimeUp, CloseReason::Evicted] {
            assert_eq!(
                decide(Stage::ReadingHead, reason, || false),
                CloseAction::ReadFirst,
                "the rest may have arrived"
            );
            assert_eq!(decide(Stage::ReadingHead, reason, || true), CloseAction::Now);
        }
    }
}
