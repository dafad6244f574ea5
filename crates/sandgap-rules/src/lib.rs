//! The four rules of sandgap, as a checker of what clients asked and got, what backends were sent and ran, and
//! what proxies were told. The rig feeds it from sockets, the laboratory from virtual time; neither decides on
//! its own what a broken rule is.
//!
//! [`judge`] holds the rules, one request's history at a time. [`ledger`] keeps every line of a run until its end
//! and proves that none was lost; [`stream`] judges a request soon after its end and forgets it, so that a run
//! may be as long as one likes. No I/O and no clock: the same lines give the same verdict.

pub mod agreement;
pub mod judge;
pub mod latencies;
pub mod ledger;
pub mod limits;
pub mod outs;
pub mod record;
pub mod stream;

pub use agreement::{Acted, Agreement, Overlap};
pub use judge::{Asking, History, Judge, Sent, Terms};
pub use latencies::Latencies;
pub use ledger::Ledger;
pub use outs::{OutBreach, Outs};
pub use record::{Breach, Effect, End, Figures, Ran, Record, Rule, Verdict, Writer};
pub use stream::Stream;

/// Microseconds since the run began.
pub type Micros = u64;
