//! What the module tells of its beliefs, to those who look on. Nothing is decided here.
use crate::interface::*;
use crate::limit::Why;
use crate::state::Balancer;

/// What is believed of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Which server.
    pub backend: BackendId,
    /// Requests that its rating says it holds.
    pub rated: f64,
    /// Requests that it is believed to hold, of all proxies.
    pub limit: f64,
    /// Whether that is but tried at present.
    pub trial: bool,
    /// Why the limit moved last.
    pub why: Why,
}

impl Balancer {
    /// What is believed of each listed server.
    pub fn beliefs(&self) -> impl Iterator<Item = Belief> {
        self.servers.iter().filter(|s| s.told.is_none()).map(|s| Belief {
            backend: s.info.id,
            rated: s.prior,
            limit: s.room,
            trial: s.limit.known().1,
            why: s.limit.why(),
        })
    }
}
