//! Safe maintenance and releases in a fleet: which proxies and backends may be out at once, agreed in the fleet's log.
//!
//! [`ledger`] is the replicated state machine: [`bounds`], and permits that take targets out and end only once the
//! targets have been observed back. [`release`] is a plan that changes targets in waves; [`gate`] tests whether the
//! release raises the failure rate. [`controller`] and [`release_controller`] run on the leader: they propose entries
//! from what proxies report ([`news`]), and the ledger decides. [`carry`] implements [`sandgap_agree::Rider`] with
//! them. Nothing here does I/O; `docs/rollout-design.md` has the safety argument.

pub mod bounds;
pub mod carry;
pub mod controller;
pub mod gate;
pub mod ledger;
pub mod limits;
pub mod news;
pub mod release;
pub mod release_controller;
pub mod target;

pub use bounds::{Bound, Evidence, Most, Per};
pub use carry::{Rollout, TAG};
pub use ledger::{Asking, Entry, Ledger, Permit, Phase, Verdict};
pub use release::{Plan, Release, Stage};
pub use target::{Labels, Side, Target};
