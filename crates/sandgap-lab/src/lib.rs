//! The laboratory: whole fleets in virtual time, with the real decision module and the daemon's own driver core
//! inside, rivals on the same model, the four rules on every run, experiments and reports.
//!
//! The same file and seed give the same output, bit for bit: no clock, thread or hash order is part of a result.
//! Runs of several seeds go side by side; one run is one thread.

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
