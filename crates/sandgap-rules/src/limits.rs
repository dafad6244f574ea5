//! The bounds of everything that a run can grow here.

use crate::Micros;

/// Records that a ledger keeps; a run that writes more is incomplete and can't pass. About 100 bytes each.
pub const RECORDS: usize = 4_000_000;
/// Breaches that a verdict spells out; all are counted.
pub const SPELLED: usize = 20;
/// Requests that a stream holds open at once, in flight or lingering; past it the verdict is incomplete. About
/// 250 bytes each.
pub const OPEN: usize = 4_000_000;
/// How long a stream waits after a request's last line before it is judged, in microseconds: what a broken
/// proxy sends in this span is held against it in full, and what comes later still is a breach of its own.
pub const LINGER: Micros = 1_000_000;
/// The same for a request whose client left, or lost its proxy: nothing forbids a proxy that could not hear of it to
/// go on with what it had begun, so that it must still be known then. Longer than any pause.
pub const LINGER_UNANSWERED: Micros = 60_000_000;
/// How long a stream remembers news of backends, kills and pauses that newer ones have overtaken: longer than
/// any deadline, linger and grace together.
pub const MEMORY: Micros = 120_000_000;
