//! The model of the systems around the proxies: load, servers, network and faults. Each module names its sources.

pub mod arrivals;
pub mod faults;
pub mod laws;
pub mod network;
pub mod server;
