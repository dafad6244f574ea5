//! Faults in a fleet of hollow proxies, and how long a change that is published during each takes to be in force
//! everywhere.

use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use super::{Change, ScaleRun};
use crate::run::RunError;

/// Pause between the restart of a voter and the kill of the next, so that the restarted voter catches up and proxies
/// connect to it again.
const VOTER_RESTART_PAUSE: Duration = Duration::from_secs(2);

/// One fault, and the change that was published during it.
#[derive(Clone, Debug, Serialize)]
pub struct FaultResult {
    /// Description of the fault.
    pub what: String,
    /// How long the change took to be in force.
    pub change: Change,
    /// Hollow proxies that were running and had to act on the change.
    pub proxies: usize,
    /// Leases lost by the running proxies until the change was in force.
    pub leases_lost: u64,
}

impl ScaleRun<'_> {
    /// Injects all faults, one after the other.
    pub(super) async fn inject_faults(&mut self) -> Result<Vec<FaultResult>, RunError> {
        let mut all = Vec::new();
        for voter in 0..self.setup.voters {
            self.site.kill(voter);
            all.push(self.measure_fault(format!("voter {voter} killed")).await?);
            self.site.start(voter)?;
            sleep(VOTER_RESTART_PAUSE).await;
        }
        if let Some(killed) = self.blocks.kill_one().await {
            all.push(self.measure_fault(format!("{killed} proxies lost at once")).await?);
            self.blocks.restart_killed()?;
            all.push(self.measure_fault(format!("{killed} proxies started at once")).await?);
        }
        Ok(all)
    }

    async fn measure_fault(&mut self, what: String) -> Result<FaultResult, RunError> {
        let before = self.blocks.tally().await?.leases_lost;
        let change = self.measure_change().await?;
        let after = self.blocks.tally().await?.leases_lost;
        let (proxies, leases_lost) = (self.blocks.proxies(), after.saturating_sub(before));
        Ok(FaultResult { what, change, proxies, leases_lost })
    }
}
