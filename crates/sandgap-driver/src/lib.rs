//! Sans-IO driver between the decision module and its environment. It owns the module, gives each request exactly one
//! answer, answers at the deadline if nothing else has, and tracks which process of each backend accepts new attempts.
//! It has no clock, socket or channel: callers pass in time and inputs, and effects come out through [`Effects`]. The
//! daemon performs them on sockets, the simulator in virtual time, so that both run the same code.

mod address_owners;
mod closings;
mod core;
mod endpoint;
pub mod list_admission;
pub mod list_order;
pub mod permit;
pub mod reuse;
pub mod stalls;
mod starts;
pub mod stream_admission;

pub use crate::closings::REOPEN_AFTER;
pub use crate::core::{Answer, Arrival, Attempt, Cause, Core, Effects, Policy, Time};
pub use crate::endpoint::{Endpoint, Host, InFlightGuard};
