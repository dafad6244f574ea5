//! Bounds of every structure that input can grow.

use std::time::Duration;

/// Largest encoded rulebook, in bytes: a thousand backends, a hundred classes and a thousand tenants take 150 kB.
pub const MAX_RULEBOOK_BYTES: usize = 1 << 20;
/// Versions whose rulebooks are kept, for `history` and `rollback`.
pub const MAX_VERSIONS: usize = 32;
/// Total size of all kept rulebooks, in bytes; the oldest are evicted first. A snapshot has to fit into one frame.
pub const MAX_VERSIONS_BYTES: usize = 2 << 20;
/// Log entries after the last snapshot before the log is compacted: a few seconds of changes, never the whole history.
pub const SNAPSHOT_INTERVAL_ENTRIES: u64 = 256;
/// Log entries that compaction retains for voters that lag slightly.
pub const RETAINED_ENTRIES: u64 = 64;
/// Members whose state a voter tracks: the fleet's own bound, [`sandgap_fleet::limits::MAX_MEMBERS`].
pub const MAX_MEMBERS: usize = sandgap_fleet::limits::MAX_MEMBERS;
/// Ended lives whose requests nobody has settled yet: several per member.
pub const MAX_UNSETTLED_LIVES: usize = 4 * MAX_MEMBERS;
/// How long ended lives are remembered: longer than any other component remembers the end of a request.
pub const RECENTLY_ENDED_RETENTION: Duration = Duration::from_secs(60);
/// Lease requests that wait for one confirmation by a majority; excess ones are dropped, and their senders retry.
pub const MAX_WAITING_ASKS: usize = 2 * MAX_MEMBERS;
/// Confirmation rounds in flight at once.
pub const MAX_ROUNDS: usize = 16;
/// Publishers that wait for a verdict at one voter.
pub const MAX_PUBLISHERS: usize = 64;
/// Longest reason, note or publisher name, in bytes.
pub const MAX_TEXT_BYTES: usize = 400;
/// Largest message of a rider to a proxy with a grant, or of a proxy to a rider with a lease request, in bytes: 1,024
/// watched names.
pub const MAX_RIDER_MESSAGE_BYTES: usize = 128 << 10;
/// Largest rider entry or question, in bytes: a plan for 1,024 targets.
pub const MAX_RIDER_ENTRY_BYTES: usize = 128 << 10;
/// Riders that a proxy sends messages to.
pub const MAX_RIDER_MESSAGES: usize = 8;
/// Lease requests that a proxy relays for others between two of its own.
pub const MAX_RELAYED_ASKS: usize = 256;
/// Writes that may wait for the disk. A voter with more has a stalled disk and steps down.
pub const MAX_PENDING_WRITES: usize = 64;
/// How long live proxies have to report that they hold a proposed version, before it is abandoned.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Truncates a text to [`MAX_TEXT_BYTES`] bytes at a character boundary.
pub fn truncate_text(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_TEXT_BYTES)].to_owned()
}
