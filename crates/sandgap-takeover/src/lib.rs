//! In-flight requests that survive the loss of their proxy: what other proxies replicate, which proxy takes a request
//! over, and what it may do with it. This crate does no I/O; `docs/takeover-design.md` has the table of states and the
//! argument that a request runs at most once.
//!
//! [`owner`] replicates a proxy's own requests, [`keeper`] stores the records of other proxies, and [`successor`] takes
//! over the requests of a process that ended. Lives, leases and epochs are those of [`sandgap_agree::lives`].

pub mod identity;
pub mod keeper;
pub mod limits;
pub mod messages;
pub mod owner;
pub mod record;
pub mod successor;
pub mod takeover;

pub use identity::{Content, Identity};
pub use record::{Answer, Effect, End, Known, Plan, Record, Sent};
pub use takeover::{Output, Settings, Takeover};
