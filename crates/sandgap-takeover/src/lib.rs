//! Work in hand that survives the loss of its proxy: what others keep of it, who takes it over, and what may be done
//! with it then. Nothing here does I/O; `docs/takeover-design.md` has the table of states and the argument for *once*.
//!
//! [`owner`] is what a proxy does with its own requests, [`keeper`] with those of others, [`heir`] with those of one
//! that ended. Lives, leases and epochs are those of [`sandgap_agree::lives`].

pub mod hands;
pub mod heir;
pub mod identity;
pub mod keeper;
pub mod limits;
pub mod owner;
pub mod record;
pub mod words;

pub use hands::{Hands, Output, Terms};
pub use identity::{Content, Identity};
pub use record::{Answer, Effect, End, Known, Plan, Record, Sent};
