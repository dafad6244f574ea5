//! Changes that a fleet survives: who of its proxies and backends may be out at once, agreed in the fleet's log.
//!
//! [`ledger`] is the state that the log builds: [`bounds`], and permits that take targets out and are given back only by
//! what has been seen. [`release`] is a plan that takes them out in waves, [`gate`] whether it hurts. [`conduct`] and [`steer`] are what a leader makes of what proxies tell ([`news`]): it proposes, and the ledger
//! decides. [`carry`] is both behind [`sandgap_agree::Rider`]. Nothing here does I/O; `docs/rollout-design.md` has the
//! argument for the promise.

pub mod bounds;
pub mod carry;
pub mod conduct;
pub mod gate;
pub mod ledger;
pub mod limits;
pub mod news;
pub mod release;
pub mod steer;
pub mod target;

pub use bounds::{Bound, Evidence, Most, Per};
pub use carry::{Rollout, TAG};
pub use ledger::{Asking, Entry, Ledger, Permit, Phase, Verdict};
pub use release::{Plan, Release, Stage};
pub use target::{Labels, Side, Target};
