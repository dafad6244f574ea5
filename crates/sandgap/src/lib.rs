//! The reverse proxy: it handles the sockets of clients, backends, discovery and peers, and leaves every decision to
//! the decision library `wharfhitch`.
//!
//! [`event`] has the types that all parts share; `driver` owns the library's state and alone calls it; `front` serves
//! clients; `upstream` makes attempts; `discovery` and `peers` receive updates.

pub mod admin;
pub mod body;
pub mod change;
pub mod config;
pub mod daemon;
pub mod diagnostics;
pub mod discovery;
pub mod driver;
pub mod event;
pub mod front;
pub mod generation;
pub mod handover;
pub mod limit_report;
pub mod load;
pub mod log;
pub mod memory;
pub mod peers;
pub mod platform;
pub mod retry;
pub mod rules;
pub mod serving;
pub mod settings;
pub mod socket;
pub mod upstream;
pub mod view;
