//! Rules on which the proxies of a fleet agree. A majority of [`voter`]s commits numbered versions of a [`rulebook`] to
//! a replicated log; every proxy's [`follower`] acts on them under a lease, so that no two proxies act on contradicting
//! rules at the same time for longer than a configured bound T. `docs/agree-design.md` has the proof.
//!
//! Only [`store`] does I/O: [`agent::Agent`] takes the time and messages, and returns what is to be done. The daemon
//! drives it over sockets, the simulator (`sandgap-lab`) in virtual time.

pub mod agent;
pub mod contradictions;
pub mod enrolment;
pub mod follower;
pub mod limits;
pub mod lives;
pub mod log;
pub mod machine;
pub mod messages;
pub mod rider;
pub mod rulebook;
pub mod store;
pub mod timing;
pub mod voter;

pub use agent::{Agent, Output};
pub use contradictions::{Contradiction, contradicts};
pub use rider::{Rider, Tag};
pub use rulebook::{Digest, Rulebook, Version};
pub use timing::{LeaseBound, Timing};
