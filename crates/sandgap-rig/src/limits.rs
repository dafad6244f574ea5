//! Upper bounds of everything in the rig that grows with its input.

use std::time::Duration;

/// Records that a ledger keeps; a run that writes more is incomplete and can't pass. About 100 bytes per record.
pub const RECORDS: usize = 4_000_000;
/// Bytes of a message, head and body, that a simulated peer reads: more than the longest request of a plan.
pub const MAX_MESSAGE_BYTES: usize = 512 << 10;
/// Headers of a message that are read.
pub const MAX_HEADERS: usize = 64;
/// Idle connections that the simulated clients keep for each proxy.
pub const IDLE: usize = 128;
/// Connections that a client tries for a request before it counts as accepted by no proxy.
pub const MAX_TRIES: u32 = 8;
/// Largest datagram between proxies, by the protocol, bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Longest wait for any condition, ample even on a loaded machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Breaches that a verdict describes in text; all are counted.
pub const SPELLED: usize = 20;
