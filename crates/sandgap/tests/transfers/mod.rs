//! Sound transfers that take long: answers and requests whose backends pause or are slow.
#![allow(dead_code)] // each test file uses only some of these items

pub mod lumps;
pub mod uploads;
