//! Timeouts and intervals of the discovery client.
//!
//! A change in discovery counts as known to this proxy at most [`NOTIFICATION_DEADLINE`] after the watch that should
//! have reported it fell silent, whether or not the change arrived. Where lists are pushed, a change that the local
//! agent has counts as known at once, with or without a watch; while discovery is down the agent is silent and has no
//! changes, and what it receives when it returns counts at once.
//!
//! So a proxy can miss a change for two reasons only. Either its watch is broken: then it opens a new one, well before
//! [`NOTIFICATION_DEADLINE`]. Or the agent is silent: then there is no change to miss, and the proxy only has to notice
//! the agent's return, which takes at most [`HEDGE_DELAY`], less than the time within which a drain must be kept.
//! Known backends stay in use meanwhile, so a discovery outage closes no connections, and no backend is used after a
//! late report that drains it.

use std::time::Duration;

use wharfhitch::DISCOVERY_RETRY_MS;

/// A change that a silent watch missed counts as known this long after the watch fell silent.
pub(super) const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// Interval between heartbeats on a watch while nothing changes.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// A watch without a heartbeat for this long is broken: one interval plus an allowance for delay.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2600);
/// Timeout for the full list that is requested after two silent watches; then it is requested again.
pub(super) const FULL_LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a call where lists are pushed.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Connect timeout where discovery is asked: a lost packet does not arrive later.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Answer timeout on an established connection where discovery is asked. Discovery works through calls in turn and
/// rejects those that would wait for more than 2 s; a call that is given up sooner loses its place in the queue.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(2200);
/// Where discovery is asked, the remembered list is used if no list has arrived this long after the start.
pub(super) const REMEMBERED_LIST_DELAY: Duration = Duration::from_millis(500);
/// Where lists are pushed, a second call is started after this wait: an agent that was silent may never answer calls
/// that were made before its return.
pub(super) const HEDGE_DELAY: Duration = Duration::from_millis(200);
/// First and longest wait between two calls where each call costs discovery something.
pub(super) const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Versions that have not gone backwards for this long count as in order again.
pub(super) const REGRESSION_RESET: Duration = Duration::from_secs(10);
/// Doublings of the first backoff that reach the longest.
pub(super) const MAX_DOUBLINGS: u32 = 5;
/// A list of several lines is truncated if the next line does not arrive within this time.
pub(super) const LINE_GAP_TIMEOUT: Duration = Duration::from_millis(100);
/// Minimum interval between two log lines about failed calls.
pub(super) const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Two silent watches and the full list after them fit into the deadline, and a new watch is seen to be alive.
const _: () = assert!(
    2 * HEARTBEAT_TIMEOUT.as_millis() + FULL_LIST_TIMEOUT.as_millis() <= NOTIFICATION_DEADLINE.as_millis()
);
/// Where discovery is asked, the decision library waits for up to this long after each failed call.
const RETRY_DELAY_MS: u128 = DISCOVERY_RETRY_MS.1 as u128 + 50;
/// Each of these sequences fits into the deadline: a silent watch, then a call that waits for its whole answer timeout;
/// or a silent watch, then three calls that are refused at once or never connect, then one that is answered; or a new
/// watch that is silent again, then the full list.
const _: () = assert!(
    HEARTBEAT_TIMEOUT.as_millis() + RETRY_DELAY_MS + CONNECT_TIMEOUT.as_millis() + ANSWER_TIMEOUT.as_millis()
        <= NOTIFICATION_DEADLINE.as_millis()
);
const _: () = assert!(
    HEARTBEAT_TIMEOUT.as_millis()
        + 3 * (RETRY_DELAY_MS + CONNECT_TIMEOUT.as_millis())
        + FULL_LIST_TIMEOUT.as_millis()
        <= NOTIFICATION_DEADLINE.as_millis()
);
const _: () = assert!(HEARTBEAT_INTERVAL.as_millis() + 500 <= HEARTBEAT_TIMEOUT.as_millis());
/// Within 500 ms, the shortest drain time that settings allow, with as much time again to notice the agent and to act.
const _: () = assert!(2 * HEDGE_DELAY.as_millis() < 500);
