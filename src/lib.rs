//! wharfhitch decides, for one reverse proxy, which HTTP server gets which request and when.
//!
//! It does no input or output of its own: feed [`Balancer::handle`] with what the proxy sees
//! and carry out the [`Action`]s that it returns.
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
