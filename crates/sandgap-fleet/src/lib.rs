//! Base of the protocols between proxies: authenticated [`frame`]s, the [`link`]s that carry them, fleet membership with
//! failure detection ([`members`]), and [`lease`]s measured on each holder's own monotonic clock.
//!
//! Rules, handovers between processes and budgets are separate crates built on this one. All modules but [`link`] are
//! sans-IO: callers pass in time and input, and get back what has to be done.

pub mod clock;
pub mod frame;
pub mod lease;
pub mod limits;
pub mod link;
pub mod members;

pub use clock::{Drift, Time};
pub use lease::{Lease, LeasePermission, RequestTracker};
pub use members::{Identity, Members};
