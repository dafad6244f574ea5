//! wharfhitch decides, for one reverse proxy, which HTTP server gets which request and when.
//!
//! It performs no I/O: pass each [`Event`] that the proxy observes to [`Balancer::handle`] and carry out the
//! [`Action`]s that it returns.
#![doc = include_str!("../README.md")]

mod belief;
mod change;
mod choice;
pub mod interface;
pub mod limit;
mod long;
mod message;
#[cfg(feature = "settings")]
pub mod settings;
mod slots;
mod state;

pub use belief::Belief;
pub use choice::{ASK_AGAIN, threshold};
pub use interface::*;
pub use state::Balancer;
