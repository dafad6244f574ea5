//! The model of the systems that the proxy serves, each part a module with its source stated.

pub mod arrivals;
pub mod faults;
pub mod laws;
pub mod network;
pub mod server;
