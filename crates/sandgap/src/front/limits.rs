//! The bounds of the client side, with their reasons.

use std::time::Duration;

/// Longest head. Large enough for any client of the protocol, small enough for all connections at once.
pub(super) const HEAD_SIZE: usize = 16 << 10;
/// Connections that the system holds until they are accepted.
pub(super) const BACKLOG: u32 = 1024;
/// A head must be whole this long after its first byte; the first one this long after its connection came up, for a
/// client may take 2 s, and one that sends nothing of use is owed an end within 3 s. Bodies go by their pace, see
/// [`crate::body::Pace`].
pub(super) const WHOLE: Duration = Duration::from_millis(2200);
/// A reader that takes nothing of a long answer for this span has gone.
pub(super) const READER: Duration = Duration::from_secs(30);
/// A connection between requests may be closed after 2 s, no sooner, and is when descriptors run short.
pub(super) const IDLE_LEAST: Duration = Duration::from_millis(2050);
/// It is closed in any case after this span: some clients ask once and keep their connection for good.
pub(super) const IDLE_MOST: Duration = Duration::from_secs(15);
/// A new connection's first byte is waited for this long even when descriptors run short.
pub(super) const GRACE: Duration = Duration::from_millis(50);
/// Where nobody can give way, those who come wait in the accept queue for this long, then they are turned away.
pub(super) const QUEUE: Duration = Duration::from_millis(100);
/// Span between looks for connections whose time is up.
pub(super) const SWEEP: Duration = Duration::from_millis(100);
/// After a refusal the client may still be sending, and a close would reset the connection before it has read
/// the answer. What it sends is read and dropped for this span and up to this many bytes.
pub(super) const LINGER: (Duration, usize) = (Duration::from_millis(1500), 72 << 20);
/// After SIGTERM connections still come for up to 0.4 s.
pub(super) const STAY: Duration = Duration::from_millis(500);
/// Then the accept queue counts as empty once nothing comes for this span.
pub(super) const QUIET: Duration = Duration::from_millis(20);
/// A connection that has sent nothing is waited for this much longer.
pub(super) const SILENT: Duration = Duration::from_millis(200);
/// What the last answers may take to go out, after the longest deadline.
pub(super) const FINISH: Duration = Duration::from_millis(200);
/// After SIGTERM the process lives for the longest deadline, as far as the platform counts it, and 0.7 s more. What it
/// holds then is lost, so that its last answer is out a little before: so long after that deadline.
pub(super) const LAST_ANSWER: Duration = Duration::from_millis(500);
/// A connection asked to close that neither reads nor writes for this span is cut.
pub(super) const CUT: Duration = Duration::from_secs(1);
/// Bytes that a client sends behind a request and that are kept until its answer is out. There should be none: what
/// comes beyond them is dropped, and the connection ends with the answer.
pub(super) const AHEAD: usize = 4 << 10;
/// Wait after a failed accept, lest it spin.
pub(super) const PAUSE: Duration = Duration::from_millis(10);

/// One socket in so many is kept free for backends.
pub(super) const NEXT: usize = 16;
/// One socket in so many is left to backends, whether they need it at present or not.
pub(super) const BACKENDS: usize = 8;
/// Part of the budget that may have requests open at once; those beyond it are refused.
pub(super) const BUSY: (usize, usize) = (5, 8);

/// What those that give way have stood at least, by stage.
pub(super) const SPARED: [Duration; 4] = [GRACE, GRACE, IDLE_LEAST, GRACE];
