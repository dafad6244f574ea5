//! The bounds of everything that input can grow in the rig.

use std::time::Duration;

/// Records that a ledger keeps; a run that writes more is incomplete and can't pass. About 100 bytes each.
pub const RECORDS: usize = 4_000_000;
/// Bytes of a message's head and body together that a stand-in reads: the longest request of a plan, and room to spare.
pub const MESSAGE: usize = 512 << 10;
/// Headers of a message.
pub const HEADERS: usize = 64;
/// Idle connections that the stand-in clients keep for one proxy.
pub const IDLE: usize = 128;
/// Connections that a client's request may try before it counts as taken by nobody.
pub const TRIES: u32 = 8;
/// Bytes of a datagram between proxies, by the protocol.
pub const DATAGRAM: usize = 256;
/// Wait for a condition, however loaded the machine is.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Breaches that a verdict spells out; all are counted.
pub const SPELLED: usize = 20;
