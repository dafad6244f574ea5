//! What goes wrong in a fleet of hollow proxies, and how long a change takes to be in force everywhere meanwhile.

use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use super::{Change, Scale};
use crate::run::RunError;

/// After a voter has come back, before the next one goes: it catches up, and proxies find it.
const REST: Duration = Duration::from_secs(2);

/// One fault, and the change that was published in its midst.
#[derive(Clone, Debug, Serialize)]
pub struct Fault {
    /// What went wrong.
    pub what: String,
    /// The change.
    pub change: Change,
    /// Proxies that were to act on it.
    pub proxies: usize,
    /// Leases lost by proxies that the fault left alone, until the change was in force.
    pub leases_lost: u64,
}

impl Scale<'_> {
    /// Plays all faults, one after the other.
    pub(super) async fn faults(&mut self) -> Result<Vec<Fault>, RunError> {
        let mut all = Vec::new();
        for voter in 0..self.setup.voters {
            self.site.kill(voter);
            all.push(self.fault(format!("voter {voter} killed")).await?);
            self.site.start(voter)?;
            sleep(REST).await;
        }
        if let Some(lost) = self.blocks.lose_one().await {
            all.push(self.fault(format!("{lost} proxies lost at once")).await?);
            self.blocks.restore()?;
            all.push(self.fault(format!("{lost} proxies started at once")).await?);
        }
        Ok(all)
    }

    async fn fault(&mut self, what: String) -> Result<Fault, RunError> {
        let before = self.blocks.tally().await?.leases_lost;
        let change = self.change().await?;
        let after = self.blocks.tally().await?.leases_lost;
        let (proxies, leases_lost) = (self.blocks.proxies(), after.saturating_sub(before));
        Ok(Fault { what, change, proxies, leases_lost })
    }
}
