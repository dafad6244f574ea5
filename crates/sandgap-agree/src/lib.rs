//! Rules on which the proxies of a fleet agree: [`rulebook`]s in numbered versions, put into a replicated log by a
//! majority of [`voter`]s, held and acted on by every proxy's [`follower`] under a lease, so that no two act on
//! contradicting rules together for longer than a stated time T. `docs/agree-design.md` has the proof.
//!
//! All but [`store`] does no I/O: [`agent::Agent`] takes time and words and gives back what is to be done. The daemon
//! drives it on sockets, the laboratory in virtual time.

pub mod agent;
pub mod contradict;
pub mod follower;
pub mod limits;
pub mod lives;
pub mod log;
pub mod machine;
pub mod rider;
pub mod rulebook;
pub mod store;
pub mod tenure;
pub mod terms;
pub mod voter;
pub mod words;

pub use agent::{Agent, Output};
pub use contradict::{Contradiction, contradicts};
pub use rider::{Rider, Tag};
pub use rulebook::{Digest, Rulebook, Version};
pub use terms::{Span, Terms};
