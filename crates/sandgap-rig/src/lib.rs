//! The test environment of a proxy process: simulated backends, discovery, front layer, clients and the network between
//! proxies, all on loopback; faults drawn from a seed; and the ledger of [`sandgap_rules`], which checks the four rules.
//!
//! `schedule` and `machine` do no I/O. The rig depends on the wire formats only, not on the daemon.

pub mod backend;
pub mod bench;
pub mod capacity;
pub mod client;
pub mod clock;
pub mod demo;
pub mod discovery;
pub mod export;
pub mod fleet;
pub mod http;
pub mod limits;
pub mod machine;
pub mod peers;
pub mod process;
pub mod proxy;
pub mod relay;
pub mod run;
pub mod scale;
pub mod schedule;
pub mod system_faults;
pub mod world;
