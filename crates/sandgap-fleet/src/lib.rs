//! What proxies need to act together, whatever they act on: sealed [`frame`]s and the [`link`]s that carry them,
//! [`members`] that come, go and are missed, and [`lease`]s counted on each holder's own monotonic clock.
//!
//! Rules, hands and budgets live in crates of their own above this one; nothing here knows of them. All but
//! [`link`] does no I/O: time and input go in, and what is to be done comes out.

pub mod clock;
pub mod frame;
pub mod lease;
pub mod limits;
pub mod link;
pub mod members;

pub use clock::{Drift, Time};
pub use lease::{Asker, Lease, Right};
pub use members::{Identity, Members};
