//! Read-only view of the learned limits, for monitoring. Nothing is decided here.
use crate::interface::*;
use crate::limit::ChangeReason;
use crate::state::Balancer;

/// The current estimate of a server's concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitEstimate {
    /// The server.
    pub backend: BackendId,
    /// Requests that it can hold according to its rating.
    pub rated: f64,
    /// Requests of all proxies that it is assumed to be able to hold.
    pub limit: f64,
    /// Whether that limit is only being probed at present.
    pub trial: bool,
    /// Reason for the last change of the limit.
    pub why: ChangeReason,
}

impl Balancer {
    /// The current estimate for each listed server.
    pub fn limit_estimates(&self) -> impl Iterator<Item = LimitEstimate> {
        self.servers.iter().filter(|s| s.withdrawn_at.is_none()).map(|s| LimitEstimate {
            backend: s.info.id,
            rated: s.rated_slots,
            limit: s.total_slots,
            trial: s.limit.known().1,
            why: s.limit.why(),
        })
    }
}
