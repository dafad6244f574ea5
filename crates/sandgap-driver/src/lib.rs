//! What stands between the decision module and the world: it owns the module, gives each request its one answer,
//! keeps the last resort, and knows which process of which backend may get something new. No clock, no socket, no
//! channel: time and inputs go in, and what is to be done comes out through [`Effects`]. The daemon carries that
//! out on sockets, the laboratory in virtual time, so that both run the same code.

mod closings;
mod core;
mod endpoint;
pub mod list_order;
pub mod permit;
mod starts;

pub use crate::closings::REOPEN_AFTER;
pub use crate::core::{Answer, Arrival, Attempt, Cause, Core, Effects, Policy, Time};
pub use crate::endpoint::{Endpoint, Holding, Host};
