//! Who could act for whom: a life that ended and its heir, or two heirs, never at once.

use std::collections::BTreeMap;

use sandgap_agree::lives::{Claim, Life};

use crate::calendar::{MS, Nanos};

/// Follows lives and their heirs.
#[derive(Default)]
pub struct Hands {
    /// Until when each life could act at the most.
    until: BTreeMap<Life, Nanos>,
    /// Which lives have been heirs to each.
    heirs: BTreeMap<Life, Vec<Life>>,
    /// When a life's process was killed.
    died: BTreeMap<Life, Nanos>,
    /// From a kill, and from the end of the last lease, to the first heir.
    pub delays: Vec<(Nanos, Nanos)>,
    /// What is wrong.
    pub broken: Vec<String>,
}

impl Hands {
    /// A life may act until then, as its process sees it now.
    pub fn acts(&mut self, life: Life, until: Nanos) {
        let last = self.until.entry(life).or_default();
        *last = (*last).max(until);
    }

    /// Its process has been killed: it does nothing from now on.
    pub fn died(&mut self, life: Life, now: Nanos) {
        self.died.insert(life, now);
    }

    /// A life has heard that it is the heir to another.
    pub fn heir(&mut self, now: Nanos, heir: Life, claim: &Claim) {
        let mut before = self.heirs.get(&claim.life).cloned().unwrap_or_default();
        before.push(claim.life);
        for other in before.iter().filter(|other| **other != heir) {
            let until = self.until.get(other).copied().unwrap_or(0);
            let until = self.died.get(other).map_or(until, |died| until.min(*died));
            if until > now {
                let over = (until - now) / MS;
                self.broken.push(format!(
                    "life {heir} acts for life {}, while life {other} may for {over} ms more",
                    claim.life
                ));
            }
        }
        let heirs = self.heirs.entry(claim.life).or_default();
        if heirs.is_empty()
            && let (Some(died), Some(until)) = (self.died.get(&claim.life), self.until.get(&claim.life))
        {
            self.delays.push((now - died, now.saturating_sub(*until)));
        }
        heirs.push(heir);
    }
}
