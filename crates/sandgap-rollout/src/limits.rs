//! Limits on everything that grows with input, and the time constants.

use std::time::Duration;

/// Maximum number of bounds: enough for a few each for proxies and for backends (by fleet, zone, cell and kind).
pub const MAX_BOUNDS: usize = 16;
/// Maximum number of known targets: all proxies and backends of a large fleet.
pub const MAX_TARGETS: usize = 16_384;
/// Maximum number of permits, waiting and granted together. Each belongs to one task of maintenance that is in progress
/// or about to start.
pub const MAX_PERMITS: usize = 128;
/// Maximum number of targets of one permit: a zone of a large fleet. They fit into one log entry.
pub const MAX_PERMIT_TARGETS: usize = 1024;
/// Maximum number of stored releases, including ended ones.
pub const MAX_RELEASES: usize = 16;
/// Maximum number of targets of one release: its plan has to fit into one log entry.
pub const MAX_PLAN_TARGETS: usize = 1024;
/// Maximum number of waves of one release.
pub const MAX_WAVES: usize = 64;
/// Maximum number of permits that releases have waiting or granted at once; the rest is reserved for operators.
pub const MAX_RELEASE_PERMITS: usize = MAX_PERMITS / 2;
/// Lines kept in the audit record; older ones are dropped. Lines about bypassed bounds have a separate record of this
/// size, so that ordinary lines never push them out.
pub const RECORD_LINES: usize = 256;
/// Number of ended permits whose request ids are remembered, so that a late duplicate of a request is recognized.
pub const ENDED_PERMITS: usize = 512;
/// How often later permits may overtake a waiting one before it goes first, whatever its priority.
pub const MAX_OVERTAKES: u32 = 3;
/// Maximum number of backends in a leader's message to a proxy: those that are out under a permit, at which the proxy
/// reports its attempts in flight, and likewise those of the release under test. Both lists fit into one message.
pub const MAX_WATCHED: usize = 1024;
/// Maximum number of targets whose changed state one log entry reports; the leader proposes the others afterwards.
pub const MAX_SEEN_CHANGES: usize = 512;
/// How long a target must be observed healthy without interruption before it counts as healthy, because it may flap.
pub const STABLE_TIME: Duration = Duration::from_secs(2);
/// A silent proxy may have requests in flight until its lease, then the longest deadline of a class, and then this time
/// have passed since its last report. This time is for a request to end at the proxy once its deadline has been
/// reached.
pub const REQUEST_END_GRACE: Duration = Duration::from_secs(1);
