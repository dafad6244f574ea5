//! Limits and timeouts of the client side.

use std::time::Duration;

use crate::body::STREAM_IDLE_TIMEOUT;

/// Maximum size of a request head: enough for any client of the protocol, and small enough for all connections at once.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Length of the accept queue.
pub(super) const BACKLOG: u32 = 1024;
/// Time for a complete head, from its first byte; for the first head, from the accept. A client may take 2 s, and one
/// that sends nothing useful must be closed within 3 s. For bodies see [`crate::body::Pace`].
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// A client that reads nothing of an answer for this long is treated as disconnected: the idle time-out of streams.
pub(super) const READER_TIMEOUT: Duration = STREAM_IDLE_TIMEOUT;
/// Minimum idle time before a connection is closed when descriptors run short; the protocol allows it after 2 s.
pub(super) const MIN_IDLE: Duration = Duration::from_millis(2050);
/// Idle time after which a connection is always closed: some clients send one request and never close.
pub(super) const MAX_IDLE: Duration = Duration::from_secs(15);
/// Wait for the first byte of a new connection even when descriptors run short.
pub(super) const FIRST_BYTE_GRACE: Duration = Duration::from_millis(50);
/// If no connection can be evicted, new ones wait in the accept queue for this long and are then closed.
pub(super) const MAX_QUEUE_WAIT: Duration = Duration::from_millis(100);
/// Interval between checks for connections that have timed out.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time and bytes for which input is read and discarded after a refusal: the client may still be sending, and a close
/// over unread data would reset the connection before the client has read the answer.
pub(super) const LINGER: (Duration, usize) = (Duration::from_millis(1500), 72 << 20);
/// How long connections are still accepted after SIGTERM; new ones arrive for up to 0.4 s.
pub(super) const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);
/// After that, the accept queue counts as empty once no connection arrives for this long.
pub(super) const QUEUE_QUIET: Duration = Duration::from_millis(20);
/// Extra wait for connections that have sent nothing by then.
pub(super) const SILENT_WAIT: Duration = Duration::from_millis(200);
/// Time for sending the last answers, after the longest deadline.
pub(super) const FINISH_TIME: Duration = Duration::from_millis(200);
/// Time of the last answer after the longest deadline (as far as the platform counts that) following SIGTERM. The
/// platform kills the process 0.7 s after the deadline, and open requests are lost then, so this is a little less.
pub(super) const LAST_ANSWER_AFTER: Duration = Duration::from_millis(500);
/// Longer deadlines count as this long for the end of the process, ms.
pub(super) const MAX_DEADLINE_MS: f64 = 1e6;
/// Interval at which a closing connection is checked and, unless a request is open on it, cut.
pub(super) const CLOSE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum bytes kept of what a client sends after a request and before its answer. There should be none: any excess
/// is dropped, and the connection is closed with the answer.
pub(super) const MAX_READ_AHEAD: usize = 4 << 10;
/// Delay after a failed accept, to avoid a busy loop.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// An idle connection frees its parser after this time.
pub(super) const PARK_AFTER: Duration = Duration::from_millis(100);
/// Maximum number of connections of a kind that are given up at once when memory is short.
pub(super) const MAX_RELIEF: usize = 16;

/// Least time between two log lines about short memory.
pub(super) const MEMORY_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Turns of the runtime in which the task of a request that was given up, its attempt and the driver free what they hold.
pub(super) const MAX_EVICTION_TURNS: usize = 8;

/// One socket in this many is kept free for the next backend connections.
pub(super) const BACKEND_FREE_DIVISOR: usize = 16;
/// One socket in this many is reserved for backends, even if they don't need it at present.
pub(super) const BACKEND_RESERVE_DIVISOR: usize = 8;
/// Fraction of the socket budget that may have open requests; further requests are refused.
pub(super) const MAX_BUSY_PART: (usize, usize) = (5, 8);

/// Minimum time in a stage before a connection may be evicted, indexed by [`super::admission::Stage`].
pub(super) const MIN_STAGE_AGE: [Duration; 4] =
    [FIRST_BYTE_GRACE, FIRST_BYTE_GRACE, MIN_IDLE, FIRST_BYTE_GRACE];
