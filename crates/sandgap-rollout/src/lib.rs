//! Changes that a fleet survives: who of its proxies and backends may be out at once, agreed in the fleet's log.
//!
//! [`ledger`] is the state that the log builds: [`bounds`], and permits that take targets out and are given back only by
//! what has been seen. [`conduct`] is what a leader makes of what proxies tell ([`news`]): it proposes, and the ledger
//! decides. [`carry`] is both behind [`sandgap_agree::Rider`]. Nothing here does I/O; `docs/rollout-design.md` has the
//! argument for the promise.

pub mod bounds;
pub mod carry;
pub mod conduct;
pub mod ledger;
pub mod limits;
pub mod news;
pub mod target;

pub use bounds::{Bound, Evidence, Most, Per};
pub use carry::{Rollout, TAG};
pub use ledger::{Asking, Entry, Ledger, Permit, Phase, Verdict};
pub use target::{Labels, Side, Target};
