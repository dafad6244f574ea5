//! The bounds of everything that input can grow here.

use std::time::Duration;

/// Bounds that a fleet sets: a few scopes for proxies and backends.
pub const BOUNDS: usize = 16;
/// Targets known: each proxy and each backend of a large fleet.
pub const TARGETS: usize = 16_384;
/// Permits that wait or are out, together. Each is somebody's work in hand.
pub const PERMITS: usize = 128;
/// Targets of one permit: a zone of a large fleet. An entry of the log has room for them.
pub const SET: usize = 1024;
/// Releases that are kept, those that have ended included.
pub const RELEASES: usize = 16;
/// Targets of one release: its plan has to fit into an entry of the log.
pub const PLANNED: usize = 1024;
/// Waves of one.
pub const WAVES: usize = 64;
/// Permits that releases have waiting or out at once; the rest is for hands.
pub const RELEASING: usize = PERMITS / 2;
/// Lines of the record; older ones are forgotten. Lines about a bound that was passed by intent have a room of their
/// own, so that ordinary ones never push them out.
pub const RECORD: usize = 256;
/// Permits that have ended and whose numbers are remembered, so that a late copy of a wish finds that it was granted.
pub const ENDED: usize = 512;
/// How often a waiting permit is passed over by later ones before it goes first, whatever its priority.
pub const OVERTAKEN: u32 = 3;
/// Targets that proxies watch for a leader at once: all that are out. What a leader may say to a proxy has room for
/// them.
pub const WATCHED: usize = 1024;
/// Changes of what is known of targets in one entry.
pub const SEEN: usize = 512;
/// How long a target must be seen well without a break before it counts as well: it may flap.
pub const STABLE: Duration = Duration::from_secs(2);
/// Beside the longest deadline, what the end of a request may take at a proxy that nobody hears.
pub const LATE: Duration = Duration::from_secs(1);
