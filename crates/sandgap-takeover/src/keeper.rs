//! Stores the records of other proxies' requests, and decides which process acts for an identity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::FxHashMap;
use sandgap_agree::enrolment::MemberList;
use sandgap_agree::lives::{Enrolled, Epoch, ProcessId, Succession};
use sandgap_fleet::{Drift, Time};

use crate::identity::{Content, Identity, keepers};
use crate::limits::{
    MAX_ASKED_LIVES, MAX_BYTES, MAX_ENTRIES, MAX_LOST_LIVES, MAX_OWNER_ENTRIES, MAX_REQUEST_BYTES,
    PAGE_BYTES, TENANT_SHARE_DIVISOR,
};
use crate::messages::{Actor, Bytes, Keep, Orphan, Verdict};
use crate::record::{Answer, End, Known, State};

/// Settings of the keeper.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Bound on clock drift.
    pub drift: Drift,
    /// Proxies other than the owner that keep each request.
    pub keepers: usize,
    /// How long an ended request is remembered, and how long after its deadline an unfinished one is.
    pub retention: Duration,
}

/// Bytes of an entry beside the request and the answer: the record, its strings and its map entries.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// A stored request.
struct Kept {
    actor: Actor,
    /// The owner's sequence number: a retry with the same identity is a different request.
    seq: u64,
    known: Known,
    request: Bytes,
    /// Another process has to be asked first, and no later step has shown that this was done.
    unverified: bool,
    /// When the entry may be removed.
    expires: Time,
    /// Bytes accounted to the entry.
    bytes: usize,
}

impl Kept {
    fn size_bytes(&self) -> usize {
        let answer = match &self.known.record.end {
            Some(End::Answered(Answer::Whole(_, headers, body))) => {
                body.len() + headers.iter().map(|(name, value)| name.len() + value.len()).sum::<usize>()
            }
            _ => 0,
        };
        self.request.len() + answer + ENTRY_OVERHEAD_BYTES
    }

    fn is_open(&self) -> bool {
        self.known.record.end.is_none()
    }
}

/// Records that one process keeps for others; see the module.
pub struct Keeper {
    me: ProcessId,
    settings: Settings,
    kept: FxHashMap<Identity, Kept>,
    /// Ended and unfinished requests by expiry.
    ended: BTreeSet<(Time, Identity)>,
    open: BTreeSet<(Time, Identity)>,
    bytes: usize,
    /// Entries by owner.
    owners: BTreeMap<ProcessId, usize>,
    /// Entries and bytes by tenant.
    tenants: BTreeMap<Option<String>, (usize, usize)>,
    /// The enrolled processes, and when each was first seen; `None` for those enrolled before this process.
    member_list: MemberList,
    since: BTreeMap<ProcessId, Option<Time>>,
    /// Processes that ended, and when this keeper learned of it.
    lost: BTreeMap<ProcessId, (Enrolled, Time)>,
    /// Processes that the last list named as ended.
    recently_ended: BTreeSet<ProcessId>,
    /// Processes that a successor has taken over from: their steps are refused.
    superseded: BTreeMap<ProcessId, Epoch>,
}

impl Keeper {
    /// Creates an empty keeper.
    pub fn new(me: ProcessId, settings: Settings) -> Self {
        Keeper {
            me,
            settings,
            kept: FxHashMap::default(),
            ended: BTreeSet::new(),
            open: BTreeSet::new(),
            bytes: 0,
            owners: BTreeMap::new(),
            tenants: BTreeMap::new(),
            member_list: MemberList::default(),
            since: BTreeMap::new(),
            lost: BTreeMap::new(),
            recently_ended: BTreeSet::new(),
            superseded: BTreeMap::new(),
        }
    }

    /// Number of stored requests, number of unfinished ones, and total bytes.
    pub fn load(&self) -> (usize, usize, usize) {
        (self.kept.len(), self.open.len(), self.bytes)
    }

    /// Handles a new list of enrolled processes; `recently_ended` are recently ended ones, including those never seen
    /// here.
    pub fn set_member_list(&mut self, now: Time, member_list: MemberList, recently_ended: &MemberList) {
        let first = self.member_list.is_empty();
        for life in member_list.keys() {
            // This process asks those enrolled before it; they know whether they are older than others.
            let since = (!first || *life >= self.me).then_some(now);
            self.since.entry(*life).or_insert(since);
        }
        let old = std::mem::replace(&mut self.member_list, member_list);
        let member_list = &self.member_list;
        let unmet = recently_ended.iter().filter(|(life, _)| !self.recently_ended.contains(life));
        for (life, who) in old.iter().filter(|(life, _)| !member_list.contains_key(life)).chain(unmet) {
            self.lost.entry(*life).or_insert_with(|| (who.clone(), now));
        }
        self.recently_ended = recently_ended.keys().copied().collect();
        self.since.retain(|life, _| member_list.contains_key(life));
        while self.lost.len() > MAX_LOST_LIVES {
            self.lost.pop_first();
        }
    }

    /// Whether the list of enrolled processes is known; without it the keeper can't tell who else may know an identity.
    pub fn is_ready(&self) -> bool {
        !self.member_list.is_empty()
    }

    /// Stores a step. Returns the verdict and the processes that have to be asked before the step counts.
    pub fn keep(&mut self, now: Time, keep: Keep) -> (Verdict, Vec<ProcessId>) {
        if let Some(epoch) = self.superseded.get(&keep.actor.life) {
            return (Verdict::Superseded(*epoch), Vec::new());
        }
        let identity = keep.record.identity;
        match self.kept.get(&identity) {
            Some(kept) if kept.known.record.content != keep.record.content => (Verdict::Differs, Vec::new()),
            Some(kept) if (kept.actor, kept.seq) == (keep.actor, keep.seq) => {
                let again = kept.unverified && keep.fresh;
                self.advance(now, keep);
                if !again {
                    return (Verdict::Kept, Vec::new());
                }
                // The reply was lost, or a process that had to be asked has ended.
                match self.who_knows(now, identity) {
                    Ok(ask_also) => (Verdict::Kept, ask_also),
                    Err(unknown_for) => (Verdict::Indeterminate(unknown_for), Vec::new()),
                }
            }
            // The refused request never ran and never will, so its client may retry. Other processes still have to be
            // asked, as the refusal may have come before any of them was.
            Some(kept) if kept.known.record.end == Some(End::Refused) => {
                self.forget(identity);
                self.keep_new(now, keep)
            }
            Some(kept) => {
                if let Some(end) = &kept.known.record.end {
                    return (Verdict::Ended(end.clone()), Vec::new());
                }
                // Only a successor of the acting process may replace it; no other process may, whatever its epoch.
                let ended = self.superseded.contains_key(&kept.actor.life);
                if !ended || keep.actor.epoch <= kept.actor.epoch {
                    return (Verdict::Held(kept.actor), Vec::new());
                }
                let request = keep.request.clone().unwrap_or_else(|| kept.request.clone());
                self.forget(identity);
                self.insert(now, keep, request, false);
                (Verdict::Kept, Vec::new())
            }
            None => self.keep_new(now, keep),
        }
    }

    fn keep_new(&mut self, now: Time, keep: Keep) -> (Verdict, Vec<ProcessId>) {
        let Some(request) = keep.request.clone() else { return (Verdict::MissingRequest, Vec::new()) };
        if request.len() > MAX_REQUEST_BYTES || !self.has_room(&keep, request.len()) {
            return (Verdict::Full, Vec::new());
        }
        let first = keep.record.keepers.first() == Some(&self.me);
        let who =
            if first && keep.fresh { self.who_knows(now, keep.record.identity) } else { Ok(Vec::new()) };
        match who {
            Err(unknown_for) => (Verdict::Indeterminate(unknown_for), Vec::new()),
            Ok(ask_also) => {
                self.insert(now, keep, request, !ask_also.is_empty());
                (Verdict::Kept, ask_also)
            }
        }
    }

    fn has_room(&mut self, keep: &Keep, bytes: usize) -> bool {
        if self.owners.get(&keep.actor.life).is_some_and(|n| *n >= MAX_OWNER_ENTRIES) {
            return false;
        }
        let (entries, held) = self.tenants.get(&keep.record.tenant).copied().unwrap_or_default();
        if keep.record.tenant.is_some()
            && (entries >= MAX_ENTRIES / TENANT_SHARE_DIVISOR
                || held + bytes > MAX_BYTES / TENANT_SHARE_DIVISOR)
        {
            return false;
        }
        // Ended requests are evicted, oldest first; unfinished ones are never removed before they expire.
        while self.kept.len() >= MAX_ENTRIES || self.bytes + bytes > MAX_BYTES {
            let Some((_, oldest)) = self.ended.first().copied() else { return false };
            self.forget(oldest);
        }
        true
    }

    /// The expiry index of unfinished (`open`) or ended requests.
    fn expiry_index(&mut self, open: bool) -> &mut BTreeSet<(Time, Identity)> {
        if open { &mut self.open } else { &mut self.ended }
    }

    fn insert(&mut self, now: Time, keep: Keep, request: Bytes, unverified: bool) {
        let Keep { actor, seq, record, left, .. } = keep;
        let known = Known::new(now, record, left, self.settings.drift);
        let expires = self.expiry(now, &known);
        let identity = known.record.identity;
        let mut kept = Kept { actor, seq, known, request, unverified, expires, bytes: 0 };
        kept.bytes = kept.size_bytes();
        self.bytes += kept.bytes;
        *self.owners.entry(actor.life).or_default() += 1;
        let tenant = self.tenants.entry(kept.known.record.tenant.clone()).or_default();
        *tenant = (tenant.0 + 1, tenant.1 + kept.bytes);
        self.expiry_index(kept.is_open()).insert((expires, identity));
        self.kept.insert(identity, kept);
    }

    fn expiry(&self, now: Time, known: &Known) -> Time {
        let from = if known.record.end.is_some() { now } else { known.deadline };
        from.max(known.until.unwrap_or_default()) + self.settings.retention
    }

    fn advance(&mut self, now: Time, keep: Keep) {
        let (drift, identity) = (self.settings.drift, keep.record.identity);
        let Some(mut kept) = self.kept.remove(&identity) else { return };
        let (was_open, expired) = (kept.is_open(), kept.expires);
        kept.unverified &= keep.fresh;
        if kept.known.advance(now, keep.record, drift) {
            if !kept.is_open() {
                kept.request = Bytes::from([]); // it is not sent again
            }
            kept.expires = self.expiry(now, &kept.known);
            let bytes = kept.size_bytes();
            self.bytes = self.bytes + bytes - kept.bytes;
            if let Some((_, held)) = self.tenants.get_mut(&kept.known.record.tenant) {
                *held = *held + bytes - kept.bytes;
            }
            kept.bytes = bytes;
            self.expiry_index(was_open).remove(&(expired, identity));
            self.expiry_index(kept.is_open()).insert((kept.expires, identity));
        }
        self.kept.insert(identity, kept);
    }

    fn forget(&mut self, identity: Identity) {
        let Some(kept) = self.kept.remove(&identity) else { return };
        self.bytes -= kept.bytes;
        self.expiry_index(kept.is_open()).remove(&(kept.expires, identity));
        if let Some(n) = self.owners.get_mut(&kept.actor.life) {
            *n -= 1;
            if *n == 0 {
                self.owners.remove(&kept.actor.life);
            }
        }
        let tenant = kept.known.record.tenant;
        if let Some((n, bytes)) = self.tenants.get_mut(&tenant) {
            (*n, *bytes) = (*n - 1, *bytes - kept.bytes);
            if *n == 0 {
                self.tenants.remove(&tenant);
            }
        }
    }

    /// What is known of an identity; if nothing, the processes that have to be asked instead.
    pub fn find(&self, now: Time, identity: Identity, content: Content) -> (Option<Verdict>, Vec<ProcessId>) {
        match self.kept.get(&identity) {
            Some(kept) if kept.known.record.content != content => (Some(Verdict::Differs), Vec::new()),
            // A refused request may have ended before other processes were asked: it tells nothing about their
            // requests.
            Some(kept) if kept.known.record.end != Some(End::Refused) => {
                let end = kept.known.record.end.clone();
                (Some(end.map_or(Verdict::Held(kept.actor), Verdict::Ended)), Vec::new())
            }
            _ => match self.who_knows(now, identity) {
                Ok(ask_also) => (None, ask_also),
                Err(unknown_for) => (Some(Verdict::Indeterminate(unknown_for)), Vec::new()),
            },
        }
    }

    /// The processes that may know an identity unknown to this keeper, or for how long that can't be determined.
    ///
    /// The process that ranks first is asked about an identity. So a process that joined or left recently and ranks
    /// above all long-enrolled ones may have been asked. If it is live it has to be asked now; if it ended, a process
    /// that kept records together with it has to be.
    fn who_knows(&self, now: Time, identity: Identity) -> Result<Vec<ProcessId>, Duration> {
        let long_enrolled = |life: &ProcessId| match self.since.get(life) {
            Some(Some(since)) => now >= *since + self.settings.retention,
            Some(None) => true,
            None => false,
        };
        let (mut ask_also, mut lost_count) = (Vec::new(), 0);
        for life in identity.rank(self.member_list.keys().chain(self.lost.keys())) {
            if let Some((who, at)) = self.lost.get(&life) {
                let left = (*at + self.settings.retention).saturating_sub(now);
                if left.is_zero() {
                    continue;
                }
                lost_count += 1;
                if lost_count >= self.settings.keepers {
                    // As many processes as keep one request have ended: together they may have held all copies.
                    return Err(left);
                }
                let mut former_members: BTreeMap<ProcessId, Enrolled> = (*self.member_list).clone();
                former_members.insert(life, who.clone());
                let co_keepers = keepers(identity, &former_members, 0, self.settings.keepers);
                match co_keepers.into_iter().find(|other| *other != life && long_enrolled(other)) {
                    Some(other) if other == self.me => {}
                    Some(other) => ask_also.push(other),
                    None => return Err(left),
                }
            } else {
                if life != self.me {
                    ask_also.push(life);
                }
                if long_enrolled(&life) {
                    break;
                }
            }
        }
        ask_also.sort_unstable();
        ask_also.dedup();
        ask_also.truncate(MAX_ASKED_LIVES);
        Ok(ask_also)
    }

    /// Returns one page of the unfinished requests of an ended process to its successor; from then on, steps of that
    /// process are refused. Each page starts after the last identity of the previous one.
    pub fn orphans_page(
        &mut self, now: Time, succession: &Succession, after: Option<Identity>,
    ) -> (Vec<Orphan>, bool) {
        let superseded = self.superseded.entry(succession.life).or_insert(succession.epoch);
        if succession.epoch < *superseded {
            return (Vec::new(), false); // a later successor has taken over from this successor
        }
        *superseded = succession.epoch;
        let left = |(_, kept): &(&Identity, &Kept)| kept.actor.life == succession.life && kept.is_open();
        let mut all: Vec<(&Identity, &Kept)> = self.kept.iter().filter(left).collect();
        all.sort_unstable_by_key(|(identity, _)| **identity);
        let (mut page, mut bytes) = (Vec::new(), 0);
        for (identity, kept) in all {
            if after.is_some_and(|after| *identity <= after) {
                continue;
            }
            if bytes > PAGE_BYTES {
                return (page, true);
            }
            bytes += kept.bytes;
            page.push(Orphan {
                record: kept.known.record.clone(),
                left: kept.known.deadline.saturating_sub(now),
                unverified: kept.unverified,
                window: kept.known.until.map(|until| until.saturating_sub(now)),
                request: kept.request.clone(),
            });
        }
        (page, false)
    }

    /// Removes expired entries.
    pub fn fire(&mut self, now: Time) {
        for ended in [true, false] {
            loop {
                let first = self.expiry_index(!ended).first().copied();
                let Some((_, identity)) = first.filter(|(at, _)| *at <= now) else { break };
                self.forget(identity);
            }
        }
        let retention = self.settings.retention;
        self.lost.retain(|_, (_, at)| now < *at + retention);
    }

    /// Number of stored requests by state.
    pub fn states(&self) -> BTreeMap<&'static str, usize> {
        let mut all = BTreeMap::new();
        for kept in self.kept.values() {
            let name = match kept.known.record.state() {
                State::Taken => "taken",
                State::MayHaveRun => "may have run",
                State::Done => "done",
                State::Failed => "failed",
                State::Unknown => "unknown",
            };
            *all.entry(name).or_default() += 1;
        }
        all
    }

    /// How a request ended, if it is stored here and has ended.
    pub fn end(&self, identity: Identity) -> Option<&End> {
        self.kept.get(&identity)?.known.record.end.as_ref()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::tests::{member_list, ms, record, sent};
    use crate::record::{Answer, Effect, Record};

    const ME: ProcessId = 2;

    fn settings() -> Settings {
        Settings { drift: Drift::ppm(0), keepers: 1, retention: ms(5000) }
    }

    fn keeper() -> Keeper {
        let mut keeper = Keeper::new(ME, settings());
        keeper.set_member_list(ms(0), member_list(&[1, 2]), &MemberList::default());
        // Enrolled long ago: no other process knows more than this one.
        keeper.since.insert(ME, None);
        keeper
    }

    fn keep(life: ProcessId, epoch: Epoch, record: &Record) -> Keep {
        let request = Some(Bytes::from(&b"POST /book/x"[..]));
        let fresh = epoch == 0 && record.step == 0;
        Keep { seq: 1, actor: Actor { epoch, life }, record: record.clone(), fresh, left: ms(1000), request }
    }

    fn succession(life: ProcessId, epoch: Epoch) -> Succession {
        Succession { life, name: String::new(), epoch }
    }

    fn answered() -> End {
        End::Answered(Answer::Whole(200, vec![], b"ok".to_vec()))
    }

    #[test]
    fn second_of_two_concurrent_owners_is_told_of_the_first() {
        let mut k = keeper();
        let taken = record(Effect::Keyed);
        assert_eq!(k.keep(ms(1), keep(7, 0, &taken)), (Verdict::Kept, vec![]));
        assert_eq!(k.keep(ms(2), keep(8, 0, &taken)).0, Verdict::Held(Actor { epoch: 0, life: 7 }));
        let other = Record { content: Content::of("POST", "/book/x", b"else"), ..taken.clone() };
        assert_eq!(k.keep(ms(3), keep(8, 0, &other)).0, Verdict::Differs);
        let done = taken.sending(sent(0)).expect("room").ended(answered());
        assert_eq!(k.keep(ms(4), keep(7, 0, &done)).0, Verdict::Kept);
        assert_eq!(k.keep(ms(5), keep(8, 0, &taken)).0, Verdict::Ended(answered()));
        assert_eq!(k.find(ms(6), taken.identity, taken.content), (Some(Verdict::Ended(answered())), vec![]));
    }

    #[test]
    fn steps_of_the_old_owner_are_refused_after_an_heir_has_asked() {
        let mut k = keeper();
        let taken = record(Effect::Unsafe);
        k.keep(ms(1), keep(7, 0, &taken));
        let (left, more) = k.orphans_page(ms(10), &succession(7, 4), None);
        assert!(left.len() == 1 && !more && left[0].record == taken && left[0].left == ms(991));
        let out = taken.sending(sent(0)).expect("room");
        assert_eq!(k.keep(ms(11), keep(7, 0, &out)).0, Verdict::Superseded(4));
        // The successor continues, and a client's retry finds it.
        assert_eq!(k.keep(ms(12), keep(9, 4, &out)).0, Verdict::Kept);
        assert_eq!(k.keep(ms(13), keep(8, 0, &taken)).0, Verdict::Held(Actor { epoch: 4, life: 9 }));
        // The successor ends too: the next successor finds its progress; a message of the first successor changes
        // nothing.
        assert!(k.orphans_page(ms(14), &succession(7, 3), None).0.is_empty());
        assert!(k.orphans_page(ms(14), &succession(7, 5), None).0.is_empty());
        assert_eq!(k.orphans_page(ms(15), &succession(9, 6), None).0[0].record, out);
    }

    #[test]
    fn refused_request_may_be_retried_and_any_other_end_is_final() {
        let mut k = keeper();
        let taken = record(Effect::Unsafe);
        k.keep(ms(1), keep(7, 0, &taken));
        k.keep(ms(2), keep(7, 0, &taken.ended(End::Refused)));
        let again = Keep { seq: 2, ..keep(7, 0, &taken) };
        assert_eq!(k.keep(ms(3), again.clone()).0, Verdict::Kept);
        assert_eq!(k.states(), BTreeMap::from([("taken", 1)]));
        // A delayed copy of the first request does not change the second.
        assert_eq!(k.keep(ms(4), keep(7, 0, &taken)).0, Verdict::Held(again.actor));
        k.keep(ms(5), Keep { record: taken.ended(End::Unknown), ..again });
        let third = Keep { seq: 3, ..keep(7, 0, &taken) };
        assert_eq!(k.keep(ms(6), third).0, Verdict::Ended(End::Unknown), "also to the same owner");
    }

    #[test]
    fn live_owner_is_not_replaced_by_a_higher_epoch() {
        let mut k = keeper();
        let taken = record(Effect::Unsafe);
        k.keep(ms(1), keep(7, 0, &taken));
        assert_eq!(k.keep(ms(2), keep(9, 8, &taken)).0, Verdict::Held(Actor { epoch: 0, life: 7 }));
    }

    #[test]
    fn keeper_names_processes_that_may_know_more_or_reports_that_all_are_lost() {
        let identities: Vec<Record> = (0..200)
            .map(|n| Record {
                identity: Identity::of(None, "book", &n.to_string()),
                ..record(Effect::Unsafe)
            })
            .collect();
        let mut k = Keeper::new(ME, settings());
        k.set_member_list(ms(0), member_list(&[1, 2, 3]), &MemberList::default());
        k.since.insert(ME, None);
        let was_mine = |r: &Record| keepers(r.identity, &member_list(&[1, 2, 3]), 0, 1)[0];
        k.set_member_list(ms(100), member_list(&[2, 3]), &MemberList::default());
        let mut seen = [0; 2];
        for r in identities.iter().filter(|r| keepers(r.identity, &member_list(&[2, 3]), 0, 1)[0] == ME) {
            let (found, ask_also) = k.find(ms(200), r.identity, r.content);
            match was_mine(r) {
                ME => assert_eq!((found, ask_also), (None, vec![])),
                1 => {
                    assert_eq!(found, Some(Verdict::Indeterminate(ms(4900))), "the only keeper was lost");
                    seen[0] += 1;
                }
                other => panic!("{other} is live and ranks above this keeper"),
            }
            assert_eq!(
                k.find(ms(5100), r.identity, r.content),
                (None, vec![]),
                "the retention time has passed"
            );
        }
        // A new process knows nothing, and names older ones.
        let mut young = Keeper::new(9, settings());
        young.set_member_list(ms(0), member_list(&[1, 2, 9]), &MemberList::default());
        for r in &identities {
            let older = keepers(r.identity, &member_list(&[1, 2]), 0, 1)[0];
            assert_eq!(young.find(ms(1), r.identity, r.content), (None, vec![older]));
            seen[1] += 1;
        }
        assert!(seen.iter().all(|n| *n > 20), "{seen:?}");
        // If all earlier processes have ended, one of them may have known the identity.
        let mut successor = Keeper::new(9, settings());
        successor.set_member_list(ms(0), member_list(&[8, 9]), &member_list(&[1, 2]));
        let mine = identities.iter().filter(|r| keepers(r.identity, &member_list(&[1, 2, 8]), 0, 1)[0] != 8);
        for r in mine {
            assert_eq!(
                successor.find(ms(1), r.identity, r.content),
                (Some(Verdict::Indeterminate(ms(4999))), vec![])
            );
        }
    }

    #[test]
    fn request_is_reported_unknown_if_both_keepers_are_lost() {
        let mut k = Keeper::new(ME, Settings { keepers: 2, ..settings() });
        k.set_member_list(ms(0), member_list(&[1, 2, 3, 4]), &MemberList::default());
        k.since = [1, 2, 3, 4].map(|life| (life, None)).into(); // all were enrolled long ago
        k.set_member_list(ms(100), member_list(&[2, 3]), &member_list(&[1, 4]));
        let mut unknown_for = 0;
        for n in 0..200 {
            let identity = Identity::of(None, "book", &n.to_string());
            let (found, _) = k.find(ms(200), identity, Content::default());
            let both =
                keepers(identity, &member_list(&[1, 2, 3, 4]), 0, 2).iter().all(|life| [1, 4].contains(life));
            assert_eq!(found.is_some(), both, "{found:?}");
            unknown_for += usize::from(both);
        }
        assert!((10..70).contains(&unknown_for), "{unknown_for}");
    }

    #[test]
    fn unfinished_request_expires_after_deadline_and_retention() {
        let mut k = keeper();
        let taken = record(Effect::Keyed);
        k.keep(ms(0), keep(7, 0, &taken));
        k.fire(ms(5999));
        assert_eq!(k.load().0, 1);
        k.fire(ms(6000));
        assert_eq!(k.load(), (0, 0, 0));
        assert!(k.owners.is_empty() && k.tenants.is_empty() && k.open.is_empty());
    }

    #[test]
    fn owner_and_tenant_limits_are_enforced() {
        let mut k = keeper();
        let one = |n: usize| {
            let tenant = Some("t1".to_owned());
            let identity = Identity::of(tenant.as_deref(), "book", &n.to_string());
            Record { identity, tenant, ..record(Effect::Keyed) }
        };
        for n in 0..MAX_OWNER_ENTRIES {
            assert_eq!(k.keep(ms(0), keep(7, 0, &one(n))).0, Verdict::Kept);
        }
        assert_eq!(k.keep(ms(0), keep(7, 0, &one(MAX_OWNER_ENTRIES))).0, Verdict::Full);
        assert_eq!(k.keep(ms(0), keep(8, 0, &one(MAX_OWNER_ENTRIES))).0, Verdict::Full, "the tenant's share");
        let other = Record { tenant: None, ..record(Effect::Keyed) };
        assert_eq!(k.keep(ms(0), keep(8, 0, &other)).0, Verdict::Kept);
        let large = Keep {
            request: Some(vec![0; MAX_REQUEST_BYTES + 1].into()),
            ..keep(8, 0, &record(Effect::Safe))
        };
        let large = Keep { record: Record { identity: Identity::default(), ..large.record }, ..large };
        assert_eq!(k.keep(ms(0), large).0, Verdict::Full);
    }

    #[test]
    fn many_orphaned_requests_come_in_pages_each_once() {
        let mut k = keeper();
        for n in 0..500 {
            let identity = Identity::of(None, "book", &n.to_string());
            let request = Some(vec![b'x'; 4000].into());
            k.keep(ms(0), Keep { request, ..keep(7, 0, &Record { identity, ..record(Effect::Safe) }) });
        }
        let (mut all, mut after, mut pages) = (BTreeSet::new(), None, 0);
        loop {
            let (page, more) = k.orphans_page(ms(1), &succession(7, 1), after);
            pages += 1;
            after = page.last().map(|r| r.record.identity);
            assert!(page.iter().all(|r| all.insert(r.record.identity)));
            if !more {
                break;
            }
        }
        assert!(all.len() == 500 && pages > 5, "{} {pages}", all.len());
    }
}
