//! The four rules of sandgap, as a checker of what clients requested and received, what backends received and
//! executed, and what discovery told the proxies. The rig feeds it with observations from sockets, the simulator with events in
//! virtual time; the definition of a broken rule is here alone.
//!
//! [`checker`] implements the rules for the history of one request at a time. [`ledger`] keeps every record of a run until its
//! end and proves that none was lost; [`streaming_checker`] checks a request soon after its end and then drops it, so that the length of a
//! run is not bounded. No I/O and no clock: the same records give the same verdict.

pub mod agreement;
pub mod checker;
pub mod latencies;
pub mod ledger;
pub mod limits;
pub mod outs;
pub mod record;
pub mod streaming_checker;

pub use agreement::{Acted, Agreement, Overlap};
pub use checker::{Checker, History, Sent, Submission, Terms};
pub use latencies::Latencies;
pub use ledger::Ledger;
pub use outs::{OutBreach, Outs};
pub use record::{AttemptEnd, Breach, Effect, End, Figures, Record, Rule, Verdict, Writer};
pub use streaming_checker::StreamingChecker;

/// Microseconds since the run began.
pub type Micros = u64;
