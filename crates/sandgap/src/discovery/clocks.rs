//! The clocks of lists, each with its reason, in one place.
//!
//! What discovery has to tell counts as told to this proxy at the latest [`TOLD`] after the watch that should have
//! told it fell silent, whether or not it came. Where lists are pushed, what the agent on this machine has counts as
//! told at once, watch or no watch; while discovery is down the agent is silent and has nothing new, and what it gets
//! at its return counts at once.
//!
//! So a proxy can be ignorant for two reasons only. Its watch is broken: then it asks again, in good time before
//! [`TOLD`]. Or the agent is silent: then there is nothing that it should know, and what it must not miss is the
//! agent's return, which it sees within [`HEDGE`], less than the span within which a drain has to be kept. Backends
//! that it knows stay in use meanwhile, so that an outage of discovery closes nothing, and nothing that is told late
//! keeps being sent to.

use std::time::Duration;

use wharfhitch::ASK_AGAIN;

/// What a silent watch missed counts as told this long after it fell silent.
pub(super) const TOLD: Duration = Duration::from_secs(6);
/// Between two signs of life on a watch while nothing changes.
pub(super) const BEAT: Duration = Duration::from_secs(2);
/// A watch without a sign of life for this span is broken: a beat, and what it may be late by.
pub(super) const SILENCE: Duration = Duration::from_millis(2600);
/// The whole list, asked for after two silent watches, comes within this span or is asked for again.
pub(super) const WHOLE: Duration = Duration::from_millis(400);
/// Where lists are pushed, a call is given up after this span.
pub(super) const CALL: Duration = Duration::from_secs(1);
/// Where discovery is asked, a connection to it that is not up by then is given up: what is lost on the way does not
/// come later.
pub(super) const CONNECT: Duration = Duration::from_millis(500);
/// And a call on one that is up after this span: discovery works through calls in turn, and turns away those that would
/// wait for more than 2 s. One that is given up sooner has waited in vain, and waits anew at the end.
pub(super) const TURN: Duration = Duration::from_millis(2200);
/// Where discovery is asked, the remembered list is served from if nothing has been told this long after the start.
pub(super) const PATIENCE: Duration = Duration::from_millis(500);
/// Where lists are pushed, a call that waits for longer is joined by another: an agent that was silent may never
/// answer those that came before its return.
pub(super) const HEDGE: Duration = Duration::from_millis(200);
/// Between two calls where each costs discovery something, at first and at most.
pub(super) const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Versions that have not fallen for this span are in order again.
pub(super) const CALM: Duration = Duration::from_secs(10);
/// Doublings of the first backoff that reach the longest.
pub(super) const MAX_DOUBLINGS: u32 = 5;
/// A list whose lines stop coming for this span in its middle is torn.
pub(super) const REST: Duration = Duration::from_millis(100);
/// Between two lines in the log about calls that fail.
pub(super) const SAY: Duration = Duration::from_secs(1);

/// Two silent watches and the whole list after them fit into the span, and a new watch is seen to be alive.
const _: () = assert!(2 * SILENCE.as_millis() + WHOLE.as_millis() <= TOLD.as_millis());
/// Where discovery is asked, the module waits for up to this span after each call that failed.
const AGAIN: u128 = ASK_AGAIN.1 as u128 + 50;
/// A silent watch, and then a call that waits for all of its turn; or one that is refused at once or never comes up,
/// three times over, before one that is answered; or a new watch that is silent again, and the whole list after that.
const _: () =
    assert!(SILENCE.as_millis() + AGAIN + CONNECT.as_millis() + TURN.as_millis() <= TOLD.as_millis());
const _: () =
    assert!(SILENCE.as_millis() + 3 * (AGAIN + CONNECT.as_millis()) + WHOLE.as_millis() <= TOLD.as_millis());
const _: () = assert!(BEAT.as_millis() + 500 <= SILENCE.as_millis());
/// Within the least span that settings give to keep a drain, with as much again to see and to act on it.
const _: () = assert!(2 * HEDGE.as_millis() < 500);
