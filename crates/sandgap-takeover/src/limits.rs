//! Limits on all state that requests and other proxies can make grow.

use std::time::Duration;

/// Largest request that is stored, bytes: method, path, headers and body. A larger one does not survive its proxy.
pub const MAX_REQUEST_BYTES: usize = 64 << 10;
/// Largest answer that is stored completely, bytes; of a longer one only the digest is stored.
pub const MAX_ANSWER_BYTES: usize = 16 << 10;
/// Attempts recorded per request; the proxy makes fewer.
pub const MAX_ATTEMPTS: usize = 8;
/// Requests stored for all other processes: several times 10,000 in-flight requests of one owner plus as many of others.
pub const MAX_ENTRIES: usize = 1 << 16;
/// Requests stored for one owner.
pub const MAX_OWNER_ENTRIES: usize = 1 << 14;
/// Bytes stored for all other processes.
pub const MAX_BYTES: usize = 256 << 20;
/// One tenant may use 1/4 of all entries and bytes, so that no tenant crowds out the others.
pub const TENANT_SHARE_DIVISOR: usize = 4;
/// Size of one page of orphaned requests, bytes; below the frame limit of the fleet links.
pub const PAGE_BYTES: usize = 256 << 10;
/// Recently ended processes that a keeper remembers; the oldest are dropped first.
pub const MAX_LOST_LIVES: usize = 2048;
/// Processes asked about one identity. After this many membership changes in a short time, asking more gains little.
pub const MAX_ASKED_LIVES: usize = 64;
/// Polling interval for a request that another process handles, while the client waits for its end.
pub const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between two messages to a keeper that has not replied: several round trips.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(20);
