//! The ledger and its controller as a state machine on the fleet's replicated log.

use sandgap_agree::Rulebook;
use sandgap_agree::rider::{LeaderView, Rider, RiderProposal, Tag, Unreadable};
use serde::{Deserialize, Serialize};

use crate::controller::Controller;
use crate::ledger::{Entry, Ledger, Phase, Verdict};
use crate::limits::MAX_WATCHED;
use crate::messages::Instructions;
use crate::release_controller::cohort;
use crate::target::{Target, TargetKind};

/// Tag of this state machine in the log.
pub const TAG: Tag = 1;

/// State reported by a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The replicated ledger.
    pub ledger: Ledger,
    /// What each target that is out waits for; valid only from the leader.
    pub waits: Vec<(Target, String)>,
    /// Why each waiting permit is not granted, by request id.
    pub against: Vec<(u64, String)>,
}

/// The state machine: the replicated ledger, and the controller that proposes entries on the leader.
#[derive(Debug, Default)]
pub struct Rollout {
    ledger: Ledger,
    controller: Controller,
}

impl Rollout {
    /// The replicated ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}

/// Encodes an entry.
pub fn encode(entry: &Entry) -> Vec<u8> {
    postcard::to_stdvec(entry).unwrap_or_default() // encoding plain data can't fail
}

/// Decodes a verdict.
pub fn verdict(bytes: &[u8]) -> Option<Verdict> {
    postcard::from_bytes(bytes).ok()
}

/// Decodes a status report.
pub fn status(bytes: &[u8]) -> Option<Status> {
    postcard::from_bytes(bytes).ok()
}

fn decode(entry: &[u8]) -> Result<Entry, Unreadable> {
    match postcard::take_from_bytes(entry) {
        Ok((entry, [])) => Ok(entry),
        _ => Err(Unreadable::OtherBuild { what: "an entry", tag: TAG }),
    }
}

impl Rider for Rollout {
    fn tag(&self) -> Tag {
        TAG
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.ledger).unwrap_or_default()
    }

    fn restore(&mut self, bytes: Option<&[u8]>) -> Result<(), Unreadable> {
        self.ledger = match bytes.map(postcard::take_from_bytes) {
            None => Ledger::default(),
            Some(Ok((ledger, []))) => ledger,
            Some(_) => return Err(Unreadable::OtherBuild { what: "its part of a snapshot", tag: TAG }),
        };
        self.controller = Controller::default();
        Ok(())
    }

    fn apply(&mut self, entry: &[u8]) -> Result<Vec<u8>, Unreadable> {
        let verdict = self.ledger.apply(decode(entry)?);
        Ok(postcard::to_stdvec(&verdict).unwrap_or_default())
    }

    fn check_submission(&self, entry: &[u8]) -> Result<(), String> {
        match decode(entry).map_err(|e| e.to_string())? {
            Entry::UpdateTargets(_)
            | Entry::Grant { .. }
            | Entry::Drained { .. }
            | Entry::Restored { .. }
            | Entry::Advance { .. } => Err("only the leader may propose this entry".into()),
            Entry::RequestPermit(request) if request.release.is_some() => {
                Err("only the leader may request permits for a release".into())
            }
            _ => Ok(()),
        }
    }

    fn proposals(&mut self, view: &LeaderView) -> Vec<RiderProposal> {
        self.controller.lead(&self.ledger, view)
    }

    fn answer(&self, _: &[u8], view: &LeaderView) -> Vec<u8> {
        let waits = self.controller.explain(&self.ledger, view);
        let reason = |permit: &crate::Permit| {
            let reason = match self.ledger.halted() {
                Some((by, why)) => format!("{by} has halted grants: {why}"),
                None => match self.ledger.check_grant(permit, None) {
                    Err(e) => e.to_string(),
                    Ok(()) => "others before it, or a word of the leader".into(),
                },
            };
            (permit.request.id, reason)
        };
        let against = self.ledger.permits().filter(|p| p.grant.is_none()).map(reason).collect();
        postcard::to_stdvec(&Status { ledger: self.ledger.clone(), waits, against }).unwrap_or_default()
    }

    fn message_for(&self, proxy: &str) -> Vec<u8> {
        if self.ledger.is_idle() {
            return Vec::new();
        }
        let out =
            self.ledger.phase(&Target::proxy(proxy)).is_some_and(|(_, phase)| phase != Phase::Returning);
        let backends = self.ledger.granted().filter(|(t, ..)| t.kind == TargetKind::Backend);
        let watch = backends.map(|(t, ..)| t.name.clone()).take(MAX_WATCHED).collect();
        let (measure, cohort) = (self.ledger.wants_evidence(), cohort(&self.ledger));
        Instructions { out, watch, dial: true, measure, cohort }.encode()
    }

    fn objection(&self, old: &Rulebook, new: &Rulebook) -> Option<String> {
        self.ledger.rules_conflict(old, new)
    }

    fn skip_numbers(&mut self, numbers: u64) {
        self.ledger.skip(numbers);
    }
}
