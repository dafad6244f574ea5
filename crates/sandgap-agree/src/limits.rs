//! The bounds of everything that input can grow here.

use std::time::Duration;

/// Bytes of an encoded rulebook: a thousand backends, a hundred classes and a thousand tenants take 150 kB.
pub const BOOK: usize = 1 << 20;
/// Versions whose books are kept, for `history` and `rollback`.
pub const HISTORY: usize = 32;
/// Bytes of all kept books together: older ones are forgotten first. A snapshot has to fit into one frame.
pub const HISTORY_BYTES: usize = 2 << 20;
/// Entries behind the last snapshot before the log is cut: some seconds of changes, never the whole history.
pub const LOG: u64 = 256;
/// Entries that stay for a voter that lags a little, when the log is cut.
pub const LAG: u64 = 64;
/// Members that a voter knows the state of. The fleet's own bound, [`sandgap_fleet::limits::MEMBERS`].
pub const MEMBERS: usize = sandgap_fleet::limits::MEMBERS;
/// Lives that ended and whose hands nobody has settled yet: several ends of each member.
pub const ESTATES: usize = 4 * MEMBERS;
/// How long it stays known who has ended: longer than any end of a request is remembered elsewhere.
pub const REMEMBER: Duration = Duration::from_secs(60);
/// Questions that wait for one confirmation by a majority; more are dropped and asked again.
pub const ASKS: usize = 2 * MEMBERS;
/// Confirmations under way at once.
pub const ROUNDS: usize = 16;
/// Publishers that wait for the outcome of theirs, at one voter.
pub const PUBLISHERS: usize = 64;
/// Bytes of a reason, a note or who published.
pub const TEXT: usize = 400;
/// Bytes that a rider says to a proxy with a lease, or a proxy to it with a question: 1,024 names that are watched.
pub const TOLD: usize = 128 << 10;
/// Bytes of a rider's entry or question: a plan for 1,024 targets.
pub const ENTRY: usize = 128 << 10;
/// Riders that a proxy says something to.
pub const RIDERS: usize = 8;
/// Questions that are passed on for others at once.
pub const RELAYED: usize = 256;
/// Writes that wait for the disk. A voter with more has a disk that stalls, and steps down.
pub const WRITES: usize = 64;
/// How long the live proxies have to say that they hold a version that was put forward, before it is abandoned.
pub const HOLD: Duration = Duration::from_secs(10);

/// Cuts a text to [`TEXT`] bytes at a character's edge.
pub fn cut(text: &str) -> String {
    text[..text.floor_char_boundary(TEXT)].to_owned()
}
