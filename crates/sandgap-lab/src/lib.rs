//! A simulator of whole fleets in virtual time. It runs the real decision library and the daemon's own driver core,
//! compares them with rival policies on the same model, checks the four rules on every run, and reports experiments.
//!
//! The same file and seed give the same output, bit for bit: no result depends on a clock, a thread or a hash order.
//! Runs of several seeds are parallel; each run uses one thread.

pub mod agree;
pub mod calendar;
pub mod checks;
pub mod cost;
pub mod defects;
pub mod file;
pub mod fleet;
pub mod hunt;
pub mod limiters;
pub mod limits;
pub mod measure;
pub mod model;
pub mod paper;
pub mod proxy;
pub mod report;
pub mod rivals;
pub mod run;
pub mod skew;
pub mod stats;
pub mod streams;
pub mod takeover;
pub mod theory;
pub mod window;
