//! wharfhitch decides, for one reverse proxy, which HTTP server gets which request and when.
//!
//! It performs no I/O: pass each [`Event`] that the proxy observes to [`Balancer::handle`] and carry out the
//! [`Action`]s that it returns.
#![doc = include_str!("../README.md")]

mod change;
mod choice;
pub mod interface;
pub mod limit;
mod limit_estimate;
mod long;
mod message;
mod retry;
#[cfg(feature = "settings")]
pub mod settings;
mod slots;
mod state;

pub use choice::{DISCOVERY_RETRY_MS, threshold};
pub use interface::*;
pub use limit_estimate::LimitEstimate;
pub use state::Balancer;
