//! Checks that a process token that ended and its successor, or two successors of it, never have the right to act at
//! the same time.

use std::collections::BTreeMap;

use sandgap_agree::lives::{ProcessId, Succession};

use crate::calendar::{MS, Nanos};

/// Tracks until when each process token may act and which tokens succeed it.
#[derive(Default)]
pub struct SuccessionChecker {
    /// The latest time until which each token could act.
    act_until: BTreeMap<ProcessId, Nanos>,
    /// The successors that each token has had.
    successors: BTreeMap<ProcessId, Vec<ProcessId>>,
    /// When a token's process was killed.
    killed_at: BTreeMap<ProcessId, Nanos>,
    /// For each killed token, the time from the kill and from the end of its lease to its first successor.
    pub delays: Vec<(Nanos, Nanos)>,
    /// Descriptions of what broke the rules.
    pub violations: Vec<String>,
}

impl SuccessionChecker {
    /// Records that a token's process now holds the right to act until that time.
    pub fn record_right(&mut self, token: ProcessId, until: Nanos) {
        let last = self.act_until.entry(token).or_default();
        *last = (*last).max(until);
    }

    /// Records that a token's process has been killed: it can't act from now on.
    pub fn record_kill(&mut self, token: ProcessId, now: Nanos) {
        self.killed_at.insert(token, now);
    }

    /// Records that a token has been named the successor of the succession's token, and checks that no other token can
    /// still act there.
    pub fn record_successor(&mut self, now: Nanos, successor: ProcessId, succession: &Succession) {
        let mut candidates = self.successors.get(&succession.life).cloned().unwrap_or_default();
        candidates.push(succession.life);
        for other in candidates.iter().filter(|other| **other != successor) {
            let until = self.act_until.get(other).copied().unwrap_or(0);
            let until = self.killed_at.get(other).map_or(until, |killed| until.min(*killed));
            if until > now {
                let over = (until - now) / MS;
                self.violations.push(format!(
                    "process token {successor} acts for process token {}, while process token {other} may still act for {over} ms",
                    succession.life
                ));
            }
        }
        let successors = self.successors.entry(succession.life).or_default();
        if successors.is_empty()
            && let (Some(killed), Some(until)) =
                (self.killed_at.get(&succession.life), self.act_until.get(&succession.life))
        {
            self.delays.push((now - killed, now.saturating_sub(*until)));
        }
        successors.push(successor);
    }
}
