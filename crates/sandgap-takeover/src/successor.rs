//! Takes over the in-flight requests of an ended process: collects them from all processes that may keep some, and
//! resumes a few at a time, earliest deadline first.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use sandgap_agree::enrolment::MemberList;
use sandgap_agree::lives::{ProcessId, Succession};
use sandgap_fleet::{Drift, Time};

use crate::identity::Identity;
use crate::limits::RESEND_INTERVAL;
use crate::messages::{Bytes, Message, Orphan};
use crate::record::{End, Known, Plan};

/// A request that a successor has to finish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inherited {
    /// The record and its deadline on this clock.
    pub known: Known,
    /// The bytes of the request.
    pub request: Bytes,
    /// What may be done with it now.
    pub plan: Plan,
}

/// A query to a process whose reply is not complete.
struct Query {
    after: Option<Identity>,
    /// When the current query was first sent, and when it is resent.
    since: Time,
    resend_at: Time,
    number: u64,
}

/// Takes over the in-flight requests of one process.
pub struct Successor {
    succession: Succession,
    drift: Drift,
    queries: BTreeMap<ProcessId, Query>,
    /// Minimum version of the list of enrolled processes: from there on it includes every possible keeper.
    min_list_number: u64,
    /// Number of the last query sent; 0 before the first.
    last_query: u64,
    seen: BTreeSet<Identity>,
    waiting: BinaryHeap<Reverse<(Time, Identity)>>,
    /// Collected requests that wait to be resumed: record, request bytes, and whether the request is unverified.
    held: BTreeMap<Identity, (Known, Bytes, bool)>,
    /// Resumed requests that have not ended.
    in_progress: usize,
    /// Limit on concurrently resumed requests.
    max_concurrent_resumes: usize,
}

impl Successor {
    /// Creates a successor under a succession that arrived when the list of enrolled processes had changed
    /// `min_list_number` times.
    pub fn new(
        succession: Succession, min_list_number: u64, drift: Drift, max_concurrent_resumes: usize,
    ) -> Self {
        Successor {
            succession,
            drift,
            queries: BTreeMap::new(),
            min_list_number,
            last_query: 0,
            seen: BTreeSet::new(),
            waiting: BinaryHeap::new(),
            held: BTreeMap::new(),
            in_progress: 0,
            max_concurrent_resumes: max_concurrent_resumes.max(1),
        }
    }

    /// The succession that this successor acts under.
    pub fn succession(&self) -> &Succession {
        &self.succession
    }

    /// Requests inherited so far.
    pub fn inherited(&self) -> usize {
        self.seen.len()
    }

    /// Handles a list of enrolled processes: all processes of the first list are queried; later lists remove ended
    /// processes from the pending queries. Processes that join later keep none of these requests.
    pub fn set_member_list(
        &mut self, now: Time, number: u64, member_list: &MemberList, messages: &mut Vec<(ProcessId, Message)>,
    ) {
        if number < self.min_list_number {
            return;
        }
        if self.last_query == 0 {
            for life in member_list.keys() {
                self.ask(now, *life, None, messages);
            }
        }
        self.queries.retain(|life, _| member_list.contains_key(life));
    }

    fn ask(
        &mut self, now: Time, life: ProcessId, after: Option<Identity>,
        messages: &mut Vec<(ProcessId, Message)>,
    ) {
        self.last_query += 1;
        let number = self.last_query;
        self.queries.insert(life, Query { after, since: now, resend_at: now + RESEND_INTERVAL, number });
        messages.push((life, Message::QueryOrphans(number, self.succession.clone(), after)));
    }

    /// Handles a page of requests. The first copy of each request suffices: every keeper's copy covers all that may
    /// have happened.
    pub fn add_page(
        &mut self, now: Time, from: ProcessId, number: u64, all: Vec<Orphan>, more: bool,
        messages: &mut Vec<(ProcessId, Message)>,
    ) {
        let Some(query) = self.queries.get(&from).filter(|query| query.number == number) else { return };
        let since = query.since;
        let last = all.last().map(|r| r.record.identity);
        for orphan in all {
            let Orphan { record, left, unverified, window, request } = orphan;
            let identity = record.identity;
            if !self.seen.insert(identity) {
                continue;
            }
            // Converted to this clock, counted from the query, which was sent before the keeper computed the rest.
            let until = window.map(|window| since + self.drift.at_most(window));
            let known = Known { record, deadline: now + left, until };
            self.waiting.push(Reverse((known.deadline, identity)));
            self.held.insert(identity, (known, request, unverified));
        }
        match last.filter(|_| more) {
            Some(last) => self.ask(now, from, Some(last), messages),
            None => drop(self.queries.remove(&from)),
        }
    }

    /// The next request to resume, if any, earliest deadline first. The number of concurrent ones is limited, so that
    /// a takeover causes no burst of load.
    pub fn next(&mut self, now: Time) -> Option<Inherited> {
        if self.in_progress >= self.max_concurrent_resumes {
            return None;
        }
        let Reverse((_, identity)) = self.waiting.pop()?;
        let (known, request, unverified) = self.held.remove(&identity)?;
        self.in_progress += 1;
        // No attempt was sent, and another process may have the request: the client's retry will find it.
        let plan = if unverified { Plan::End(End::Refused) } else { known.plan(now) };
        Some(Inherited { known, request, plan })
    }

    /// A resumed request has ended.
    pub fn ended(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Whether all requests have been collected and have ended.
    pub fn is_settled(&self) -> bool {
        self.last_query > 0 && self.queries.is_empty() && self.waiting.is_empty() && self.in_progress == 0
    }

    /// Processes that have not replied completely.
    pub fn missing(&self) -> impl Iterator<Item = &ProcessId> {
        self.queries.keys()
    }

    /// The time of the next timer.
    pub fn next_due(&self) -> Option<Time> {
        self.queries.values().map(|query| query.resend_at).min()
    }

    /// Resends queries without a reply.
    pub fn fire(&mut self, now: Time, messages: &mut Vec<(ProcessId, Message)>) {
        for (life, query) in &mut self.queries {
            if query.resend_at <= now {
                // With backoff: an unreachable process is queried until it is fenced itself.
                let waited = now.saturating_sub(query.since);
                query.resend_at = now + waited.clamp(RESEND_INTERVAL, Duration::from_millis(250));
                messages
                    .push((*life, Message::QueryOrphans(query.number, self.succession.clone(), query.after)));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::tests::{member_list, ms, record, sent};
    use crate::record::{Effect, Record};

    fn successor() -> Successor {
        Successor::new(Succession { life: 7, name: "p7".into(), epoch: 3 }, 5, Drift::ppm(0), 2)
    }

    fn orphan(n: u32, effect: Effect, out: bool, left: u64) -> Orphan {
        let record = Record { identity: Identity::of(None, "book", &n.to_string()), ..record(effect) };
        let record = if out { record.sending(sent(0)).expect("room") } else { record };
        let window = out.then(|| ms(800));
        Orphan { record, left: ms(left), unverified: false, window, request: Bytes::from(&b"r"[..]) }
    }

    fn number(message: &Message) -> u64 {
        match message {
            Message::QueryOrphans(number, ..) => *number,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn all_processes_of_a_new_enough_list_are_queried_until_they_reply() {
        let (mut successor, mut messages) = (successor(), Vec::new());
        successor.set_member_list(ms(0), 4, &member_list(&[1, 2]), &mut messages);
        assert!(messages.is_empty() && !successor.is_settled(), "a keeper may be missing from an old list");
        successor.set_member_list(ms(1), 5, &member_list(&[1, 2, 3]), &mut messages);
        assert_eq!(messages.len(), 3);
        let first = number(&messages[0].1);
        successor.add_page(ms(2), 1, first, vec![], false, &mut messages);
        messages.clear();
        successor.fire(ms(30), &mut messages);
        assert_eq!(messages.iter().map(|(life, _)| *life).collect::<Vec<_>>(), [2, 3]);
        successor.set_member_list(ms(40), 6, &member_list(&[1, 3, 9]), &mut messages);
        assert_eq!(successor.missing().collect::<Vec<_>>(), [&3], "2 has ended, and 9 joined later");
        let last = number(&messages.iter().find(|(life, _)| *life == 3).expect("asked").1);
        successor.add_page(ms(50), 3, last, vec![], false, &mut messages);
        assert!(successor.is_settled());
    }

    #[test]
    fn each_request_is_resumed_once_by_deadline_within_the_limit() {
        let (mut successor, mut messages) = (successor(), Vec::new());
        successor.set_member_list(ms(0), 5, &member_list(&[1, 2]), &mut messages);
        let numbers: Vec<u64> = messages.iter().map(|(_, message)| number(message)).collect();
        let part = vec![orphan(1, Effect::Safe, false, 900), orphan(2, Effect::Safe, false, 300)];
        successor.add_page(ms(10), 1, numbers[0], part.clone(), true, &mut messages);
        successor.add_page(ms(10), 1, numbers[0], part.clone(), true, &mut messages);
        successor.add_page(ms(11), 2, numbers[1], part, false, &mut messages);
        let more = number(&messages.last().expect("asked on").1);
        successor.add_page(ms(12), 1, more, vec![orphan(3, Effect::Unsafe, true, 600)], false, &mut messages);
        assert_eq!(successor.inherited(), 3);
        let order: Vec<Plan> =
            [successor.next(ms(20)), successor.next(ms(20))].into_iter().flatten().map(|i| i.plan).collect();
        assert_eq!(order, [Plan::Send, Plan::End(End::Unknown)]);
        assert_eq!(successor.next(ms(20)), None, "two are in progress");
        successor.ended();
        assert!(successor.next(ms(20)).is_some() && !successor.is_settled());
        successor.ended();
        successor.ended();
        assert!(successor.is_settled());
    }

    #[test]
    fn window_is_counted_from_the_query() {
        let (mut successor, mut messages) = (successor(), Vec::new());
        successor.set_member_list(ms(0), 5, &member_list(&[1]), &mut messages);
        let number = number(&messages[0].1);
        successor.add_page(
            ms(500),
            1,
            number,
            vec![orphan(1, Effect::Keyed, true, 5000)],
            false,
            &mut messages,
        );
        assert_eq!(successor.next(ms(510)).expect("one").plan, Plan::Repeat(ms(800)));
    }
}
