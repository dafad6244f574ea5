//! Upper bounds of everything that grows with a run.

use crate::Micros;

/// Records that a ledger keeps; a run that writes more is incomplete and can't pass. About 100 bytes per record.
pub const MAX_RECORDS: usize = 4_000_000;
/// Breaches, and reasons for incompleteness, that a verdict describes in text; all breaches are counted.
pub const MAX_DETAILS: usize = 20;
/// Requests that a stream holds at once, in flight or waiting for their check; beyond it the verdict is incomplete.
/// About 250 bytes per request.
pub const MAX_OPEN_REQUESTS: usize = 4_000_000;
/// How long a stream waits after the last record of a request before it checks it, in microseconds. Attempts of a faulty
/// proxy within this span are checked against all rules; an attempt after it is a breach by itself.
pub const CHECK_DELAY: Micros = 1_000_000;
/// The same for a request whose client left or lost its proxy, in microseconds. A proxy that could not learn of it may
/// continue what it had begun, so the request must still be known then. Longer than any pause.
pub const CHECK_DELAY_UNANSWERED: Micros = 60_000_000;
/// How long a stream keeps superseded backend health, kills and pauses, in microseconds: longer than any deadline, check
/// delay and grace together.
pub const EVENT_RETENTION: Micros = 120_000_000;
