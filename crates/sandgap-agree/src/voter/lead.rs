//! What a leader does: about the version put forward, about lives, for riders, for voters that lag.

use raft::{ProgressState, SnapshotStatus};
use sandgap_fleet::Time;

use super::{AGAIN, Action, ELECTION, Voter};
use crate::limits::{MEMBERS, REMEMBER};
use crate::lives::{Life, LifeEntry};
use crate::machine::{Entry, Proposal};
use crate::rider::{Known, Tag, Wish};
use crate::rulebook::{Rulebook, Version, digest};
use crate::words::{Report, Word};

/// Ticks after which a snapshot counts as lost, if nothing was heard of the voter's having it.
const SNAPSHOT: u64 = 3 * ELECTION as u64;

impl Voter {
    /// What the leader does about the version put forward.
    pub(super) fn decide(&mut self, now: Time) {
        if !self.leads() {
            self.leading = None;
            return;
        }
        let led = *self.leading.get_or_insert(now);
        self.decide_lives(now, led);
        let Some(version) = self.machine.pending() else { return };
        // Who has not asked since this one leads may still be there: all that hold a lease have asked within its span.
        if now < led + self.terms.live() || self.ticks < self.proposed + AGAIN && self.proposed > 0 {
            return;
        }
        let Some(entry) = self.decision(now, version) else { return };
        if self.propose(&entry) {
            self.proposed = self.ticks;
        }
    }

    /// What the leader does about lives. Each is said again only after a while.
    pub(super) fn decide_lives(&mut self, now: Time, led: Time) {
        let due = self.watch.decide(now, led, self.machine.lives(), self.terms.span, REMEMBER);
        for entry in due {
            let (LifeEntry::Fence { life, .. } | LifeEntry::Claim { life, .. } | LifeEntry::Forget(life)) =
                entry
            else {
                continue;
            };
            let again = self.life_proposed.get(&life).is_none_or(|at| self.ticks >= at + AGAIN);
            if again && self.propose(&Entry::Life(entry)) {
                self.life_proposed.insert(life, self.ticks);
            }
        }
    }

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
        refused.extend(self.bars_pending(version));
        if !refused.is_empty() {
            return Some(Entry::Abandon(version, refused));
        }
        if !missing.is_empty() {
            let since = self.pending.filter(|(v, _)| *v == version).map_or(now, |(_, at)| at);
            return (now >= since + self.terms.hold).then_some(Entry::Abandon(version, missing));
        }
        let apart = self.terms.apart && self.machine.version(version).is_some_and(|r| r.contradicts);
        if !apart {
            return Some(Entry::Switch(version));
        }
        if !self.machine.is_closed() {
            return Some(Entry::Close(version));
        }
        // All leases asked for before the close have ended by then, on whichever clock.
        let span = self.terms.span;
        let closed = self.closed.filter(|(v, _)| *v == version)?.1;
        (now > closed + span.drift.at_least(span.bound)).then_some(Entry::Switch(version))
    }

    /// A leader that hears the last report decides at once instead of at its next tick.
    pub(super) fn decide_soon(&mut self, now: Time) {
        if self.leads() && self.leading.is_some() {
            self.decide(now);
        }
    }

    pub(super) fn reported(&mut self, now: Time, who: String, report: Report) {
        self.watch.heard(now, report.draw);
        // A report that was overtaken on the way must not unsay the later one; a new process's numbers begin anywhere,
        // and are heard once the old one's are no longer fresh.
        let overtaken = |k: &Known| report.serial < k.report.serial && now < k.at + self.terms.live() / 6;
        if self.members.get(&who).is_some_and(overtaken) {
            return;
        }
        if self.members.len() < MEMBERS || self.members.contains_key(&who) {
            self.members.insert(who, Known { at: now, report });
        }
    }

    /// A leader lets an heir know at once; it would hear with its next question at any rate.
    pub(super) fn tell_heir(&mut self, life: Life, heir: Life, out: &mut Vec<Action>) {
        let Some(heir) = self.machine.lives().enrolled().get(&heir).filter(|_| self.leads()) else { return };
        out.push(Action::Note(format!("lives: '{}' is the heir to life {life}", heir.name)));
        out.push(Action::Say(heir.name.clone(), Word::Heir));
    }

    /// Notes when what is under way was first seen here.
    pub(super) fn times(&mut self, now: Time) {
        let pending = self.machine.pending();
        if self.pending.map(|(v, _)| v) != pending {
            self.pending = pending.map(|v| (v, now));
        }
        let closed = pending.filter(|_| self.machine.is_closed());
        if self.closed.map(|(v, _)| v) != closed {
            self.closed = closed.map(|v| (v, now));
        }
    }

    /// A snapshot whose answer was lost would keep its voter waiting for ever: the engine leaves that to its caller.
    pub(super) fn give_up_snapshots(&mut self) {
        let prs = self.node.raft.prs();
        let under_way = |id: u64| prs.get(id).is_some_and(|p| p.state == ProgressState::Snapshot);
        self.snapshots.retain(|id, _| under_way(*id));
        for (id, progress) in prs.iter() {
            if progress.state == ProgressState::Snapshot {
                self.snapshots.entry(*id).or_insert(self.ticks);
            }
        }
        let lost: Vec<u64> =
            self.snapshots.iter().filter(|(_, at)| self.ticks > **at + SNAPSHOT).map(|(id, _)| *id).collect();
        for id in lost {
            self.snapshots.remove(&id);
            self.node.report_snapshot(id, SnapshotStatus::Failure);
        }
    }

    /// Puts into the log what riders want there. The same is said again only after a while.
    pub(super) fn lead_riders(&mut self, now: Time) {
        let Some(led) = self.leading.filter(|_| self.leads()) else { return };
        let (terms, machine, members) = (&self.terms, &self.machine, &self.members);
        let view = crate::rider::View { now, led, terms, machine, members };
        for (tag, wish) in self.riders.lead(&view) {
            match wish {
                Wish::Own(entry) => self.wish(tag, entry),
                Wish::Rules(book, why) => self.wish_rules(tag, &book, why),
            }
        }
    }

    fn wish(&mut self, tag: Tag, entry: Vec<u8>) {
        let wished = (tag, entry);
        let again = self.wished.get(&wished).is_none_or(|at| self.ticks >= at + AGAIN);
        if again && self.propose(&Entry::Rider(tag, wished.1.clone())) {
            self.wished.insert(wished, self.ticks);
        }
    }

    /// Other rules, unless some are under way already: then the wish is made again, on the ground of those.
    fn wish_rules(&mut self, tag: Tag, book: &Rulebook, why: String) {
        let (Ok(book), None) = (book.encode(), self.machine.pending()) else { return };
        let parent = self.machine.standing();
        let name = digest(&book);
        let wished = (tag, [&name.0[..], &parent.to_le_bytes()].concat());
        if self.wished.get(&wished).is_some_and(|at| self.ticks < at + AGAIN) {
            return;
        }
        // Not the same number twice: one that was abandoned may be wanted again, on the same ground.
        let id = u64::from_le_bytes(name.0[..8].try_into().expect("eight of thirty-two"))
            ^ self.ticks.rotate_left(32);
        let proposal = Proposal { id, parent, book, by: format!("{} as leader", self.name), why };
        if self.propose(&Entry::Propose(proposal)) {
            self.wished.insert(wished, self.ticks);
        }
    }
}
