//! Safe maintenance and releases in a fleet: which proxies and backends may be out at once, agreed in the fleet's log.
//!
//! [`ledger`] is the replicated state machine: [`bounds`], and permits that take targets out and end only once the
//! targets have been observed back. [`release`] is a plan that changes targets in waves; [`gate`] tests whether the
//! release raises the failure rate. [`controller`] and [`release_controller`] run on the leader: they propose entries
//! from what proxies report ([`messages`]), and the ledger decides. [`state_machine`] implements
//! [`sandgap_agree::Rider`] with them. Nothing here does I/O; `docs/rollout-design.md` has the safety argument.

pub mod bounds;
pub mod controller;
pub mod gate;
pub mod ledger;
pub mod limits;
pub mod messages;
pub mod release;
pub mod release_controller;
pub mod state_machine;
pub mod target;

pub use bounds::{Bound, Evidence, Limit, Scope};
pub use ledger::{Entry, Ledger, Permit, PermitRequest, Phase, Verdict};
pub use release::{Plan, Release, Stage};
pub use state_machine::{Rollout, TAG};
pub use target::{Labels, Target, TargetKind};
