//! The leader's decisions: about the pending version, lives, entries of riders, and voters that lag.

use raft::{ProgressState, SnapshotStatus};
use sandgap_fleet::Time;

use super::{Action, ELECTION_TICKS, REPROPOSE_TICKS, Voter};
use crate::limits::{MAX_MEMBERS, RECENTLY_ENDED_RETENTION};
use crate::lives::{LifeEntry, ProcessId};
use crate::machine::{Entry, Proposal};
use crate::messages::{Message, Report};
use crate::rider::{MemberReport, RiderProposal, Tag};
use crate::rulebook::{Rulebook, Version, digest};

/// Ticks after which a snapshot that its receiver has not acknowledged counts as lost.
const SNAPSHOT_TIMEOUT_TICKS: u64 = 3 * ELECTION_TICKS as u64;

impl Voter {
    /// Proposes the next entry about lives and the pending version, if this voter leads.
    pub(super) fn decide_pending(&mut self, now: Time) {
        if !self.leads() {
            self.leading_since = None;
            return;
        }
        let led = *self.leading_since.get_or_insert(now);
        self.decide_lives(now, led);
        let Some(version) = self.machine.pending() else { return };
        // Members that have not asked since this voter became leader may still hold a lease. After this wait, every
        // holder has asked.
        if now < led + self.timing.lease_horizon()
            || self.ticks < self.proposed_tick + REPROPOSE_TICKS && self.proposed_tick > 0
        {
            return;
        }
        let Some(entry) = self.decision(now, version) else { return };
        if self.propose(&entry) {
            self.proposed_tick = self.ticks;
        }
    }

    /// Proposes the entries about lives that are due, for each life at most every [`REPROPOSE_TICKS`].
    pub(super) fn decide_lives(&mut self, now: Time, led: Time) {
        let due = self.monitor.due_entries(
            now,
            led,
            self.machine.lives(),
            self.timing.lease_bound,
            RECENTLY_ENDED_RETENTION,
        );
        for entry in due {
            let (LifeEntry::Fence { life, .. }
            | LifeEntry::Succession { life, .. }
            | LifeEntry::Forget(life)) = entry
            else {
                continue;
            };
            let is_due = self.life_proposed.get(&life).is_none_or(|at| self.ticks >= at + REPROPOSE_TICKS);
            if is_due && self.propose(&Entry::Life(entry)) {
                self.life_proposed.insert(life, self.ticks);
            }
        }
    }

    /// The entry to propose about the pending version: abandon it, switch to it, or close the version in force first.
    /// `None` to wait.
    pub(super) fn decision(&self, now: Time, version: Version) -> Option<Entry> {
        let view = self.view(now);
        let (mut refused, mut missing) = (Vec::new(), Vec::new());
        for (name, known) in view.live() {
            match &known.report.looked {
                Some((looked, None)) if *looked == version => {}
                Some((looked, Some(why))) if *looked == version => refused.push((name.clone(), why.clone())),
                _ => missing.push((name.clone(), "has not said that it holds the version".to_owned())),
            }
        }
        refused.extend(self.pending_block_reason(version));
        if !refused.is_empty() {
            return Some(Entry::Abandon(version, refused));
        }
        if !missing.is_empty() {
            let since = self.pending_since.filter(|(v, _)| *v == version).map_or(now, |(_, at)| at);
            return (now >= since + self.timing.proposal_timeout).then_some(Entry::Abandon(version, missing));
        }
        let apart = self.timing.keep_apart && self.machine.version(version).is_some_and(|r| r.contradicts);
        if !apart {
            return Some(Entry::Switch(version));
        }
        if !self.machine.is_closed() {
            return Some(Entry::Close(version));
        }
        // By then, all leases requested before the close have ended, even on a drifting clock.
        let lease_bound = self.timing.lease_bound;
        let closed = self.closed_since.filter(|(v, _)| *v == version)?.1;
        (now > closed + lease_bound.drift.at_least(lease_bound.bound)).then_some(Entry::Switch(version))
    }

    /// Lets a leader decide at once when a report arrives, instead of at its next tick.
    pub(super) fn decide_if_leading(&mut self, now: Time) {
        if self.leads() && self.leading_since.is_some() {
            self.decide_pending(now);
        }
    }

    pub(super) fn record_report(&mut self, now: Time, who: String, report: Report) {
        self.monitor.record_ask(now, report.process_token);
        // A reordered older report must not replace a later one. The numbers of a new process start at a random value,
        // so a lower number is accepted once the known report is no longer fresh.
        let reordered = |k: &MemberReport| {
            report.serial < k.report.serial && now < k.at + self.timing.lease_horizon() / 6
        };
        if self.members.get(&who).is_some_and(reordered) {
            return;
        }
        if self.members.len() < MAX_MEMBERS || self.members.contains_key(&who) {
            self.members.insert(who, MemberReport { at: now, report });
        }
    }

    /// Lets a leader notify a successor at once instead of with its next grant.
    pub(super) fn notify_successor(&mut self, life: ProcessId, successor: ProcessId, out: &mut Vec<Action>) {
        let Some(successor) = self.machine.lives().enrolled().get(&successor).filter(|_| self.leads()) else {
            return;
        };
        out.push(Action::Log(format!("lives: '{}' is the heir to life {life}", successor.name)));
        out.push(Action::Send(successor.name.clone(), Message::BecameSuccessor));
    }

    /// Records when the pending version, and its close, were first seen here.
    pub(super) fn record_first_seen(&mut self, now: Time) {
        let pending = self.machine.pending();
        if self.pending_since.map(|(v, _)| v) != pending {
            self.pending_since = pending.map(|v| (v, now));
        }
        let closed = pending.filter(|_| self.machine.is_closed());
        if self.closed_since.map(|(v, _)| v) != closed {
            self.closed_since = closed.map(|v| (v, now));
        }
    }

    /// Reports snapshots that are not acknowledged in time as failed. Without this, a lost acknowledgement would make
    /// the receiver wait forever: the engine leaves this timeout to its caller.
    pub(super) fn fail_lost_snapshots(&mut self) {
        let prs = self.node.raft.prs();
        let under_way = |id: u64| prs.get(id).is_some_and(|p| p.state == ProgressState::Snapshot);
        self.snapshots.retain(|id, _| under_way(*id));
        for (id, progress) in prs.iter() {
            if progress.state == ProgressState::Snapshot {
                self.snapshots.entry(*id).or_insert(self.ticks);
            }
        }
        let lost: Vec<u64> = self
            .snapshots
            .iter()
            .filter(|(_, at)| self.ticks > **at + SNAPSHOT_TIMEOUT_TICKS)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.snapshots.remove(&id);
            self.node.report_snapshot(id, SnapshotStatus::Failure);
        }
    }

    /// Proposes the entries that riders ask for, each at most every [`REPROPOSE_TICKS`].
    pub(super) fn propose_for_riders(&mut self, now: Time) {
        let Some(led) = self.leading_since.filter(|_| self.leads()) else { return };
        let (timing, machine, members) = (&self.timing, &self.machine, &self.members);
        let view = crate::rider::LeaderView { now, led, timing, machine, members };
        for (tag, proposal) in self.riders.proposals(&view) {
            match proposal {
                RiderProposal::Own(entry) => self.propose_for_rider(tag, entry),
                RiderProposal::Rules(book, why) => self.propose_rules(tag, &book, why),
            }
        }
    }

    fn propose_for_rider(&mut self, tag: Tag, entry: Vec<u8>) {
        let key = (tag, entry);
        let is_due = self.rider_proposed.get(&key).is_none_or(|at| self.ticks >= at + REPROPOSE_TICKS);
        if is_due && self.propose(&Entry::Rider(tag, key.1.clone())) {
            self.rider_proposed.insert(key, self.ticks);
        }
    }

    /// Proposes a rider's rules, unless a version is pending: the rider then asks again, based on that version.
    fn propose_rules(&mut self, tag: Tag, book: &Rulebook, why: String) {
        let (Ok(book), None) = (book.encode(), self.machine.pending()) else { return };
        let parent = self.machine.standing();
        let digest = digest(&book);
        let key = (tag, [&digest.0[..], &parent.to_le_bytes()].concat());
        if self.rider_proposed.get(&key).is_some_and(|at| self.ticks < at + REPROPOSE_TICKS) {
            return;
        }
        // The ticks make the id unique: an abandoned rulebook may be proposed again on the same parent.
        let id = u64::from_le_bytes(digest.0[..8].try_into().expect("eight of thirty-two"))
            ^ self.ticks.rotate_left(32);
        let proposal = Proposal { id, parent, book, by: format!("{} as leader", self.name), why };
        if self.propose(&Entry::Propose(proposal)) {
            self.rider_proposed.insert(key, self.ticks);
        }
    }
}
