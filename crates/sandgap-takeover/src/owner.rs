//! What a proxy does about its own requests: each step is told to the keepers, and counts once all of them have it.

use std::collections::BTreeMap;
use std::time::Duration;

use sandgap_agree::lives::Life;
use sandgap_agree::tenure::Roll;
use sandgap_fleet::Time;

use crate::identity::keepers;
use crate::limits::{AGAIN, JOIN, ROLLS};
use crate::record::{End, Record, Sent};
use crate::words::{Actor, Bytes, Heard, Keep, Verdict, Word};

/// What the installation states.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Proxies beside its owner that keep each request.
    pub keepers: usize,
    /// How long a step waits for its keepers.
    pub wait: Duration,
}

/// Why a request can't go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Why {
    /// No keeper has said in time that it has the step.
    NoKeeper,
    /// A keeper has no room.
    Full,
    /// Another acts for this identity: join it there.
    Held(Actor),
    /// It has ended so.
    Ended(End),
    /// The identity stands for another content.
    Differs,
    /// For so long nobody can say whether it ran.
    Blind(Duration),
    /// This process has been followed by an heir, or has too many attempts out.
    Over,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Say this to a process, perhaps to this one's own keeper.
    Say(Life, Word),
    /// All keepers have the steps of a request up to this one: what they allow may be done.
    Clear(u64, u32),
    /// It can't go on.
    Stop(u64, Why),
}

struct Own {
    actor: Actor,
    record: Record,
    deadline: Time,
    request: Bytes,
    /// By keeper, the step that it has.
    has: BTreeMap<Life, u32>,
    /// Others that have to be asked before the first step counts, and those that have been: each is asked once, as two
    /// of them may name each other.
    finds: Vec<Life>,
    asked: Vec<Life>,
    /// When the step in hand was first told, and when it is told again.
    since: Time,
    again: Time,
    /// The last step that was cleared.
    cleared: Option<u32>,
    /// It was stopped at the step in hand.
    stopped: bool,
    retried: bool,
    /// Another acts for its identity: it waits for that one's end, or to be let in.
    joined: Option<Actor>,
}

impl Own {
    /// Whether somebody has still to say something about the step in hand.
    fn waits(&self) -> bool {
        !self.is_clear() && !self.stopped
    }

    fn is_clear(&self) -> bool {
        let all = |life: &Life| self.has.get(life).is_some_and(|step| *step >= self.record.step);
        self.finds.is_empty() && !self.record.keepers.is_empty() && self.record.keepers.iter().all(all)
    }
}

/// Who keeps a record: those of its keepers that live, and others until there are enough.
fn named(record: &Record, stays: &[Life], roll: &Roll, owner: Life, count: usize) -> Vec<Life> {
    let mut all: Vec<Life> = stays.iter().copied().filter(|keeper| roll.contains_key(keeper)).collect();
    for keeper in keepers(record.identity, roll, owner, count) {
        if !all.contains(&keeper) && all.iter().filter(|k| **k != owner).count() < count {
            all.push(keeper);
        }
    }
    all
}

/// See the module.
pub struct Owner {
    life: Life,
    terms: Terms,
    roll: Roll,
    own: BTreeMap<u64, Own>,
    next: u64,
}

impl Owner {
    /// An owner of nothing yet.
    pub fn new(life: Life, terms: Terms) -> Self {
        Owner { life, terms, roll: Roll::default(), own: BTreeMap::new(), next: 1 }
    }

    /// Requests in hand.
    pub fn held(&self) -> usize {
        self.own.len()
    }

    /// A request's record.
    pub fn record(&self, seq: u64) -> Option<&Record> {
        self.own.get(&seq).map(|own| &own.record)
    }

    /// Takes a request in hand: `record` as for step 0, its keepers still to be named. An heir takes what it
    /// inherited under its claim's epoch, with the steps that it knows of.
    pub fn take(
        &mut self, now: Time, epoch: u64, mut record: Record, left: Duration, request: Bytes,
        orders: &mut Vec<Order>,
    ) -> u64 {
        let seq = self.next;
        self.next += 1;
        // What an heir inherits stays where it is kept: there its client looks for it.
        let stays: &[Life] = if epoch > 0 { &record.keepers } else { &[] };
        record.keepers = named(&record, stays, &self.roll, self.life, self.terms.keepers);
        let own = Own {
            actor: Actor { epoch, life: self.life },
            record,
            deadline: now + left,
            request,
            has: BTreeMap::new(),
            finds: Vec::new(),
            asked: Vec::new(),
            since: now,
            again: now + AGAIN,
            cleared: None,
            stopped: false,
            retried: false,
            joined: None,
        };
        self.own.insert(seq, own);
        self.tell(now, seq, orders);
        seq
    }

    /// An attempt is about to go out: it may once [`Order::Clear`] names the step that this returns.
    pub fn sending(&mut self, now: Time, seq: u64, sent: Sent, orders: &mut Vec<Order>) -> Option<u32> {
        let next = self.own.get(&seq)?.record.sending(sent);
        match next {
            Some(record) => Some(self.step(now, seq, record, orders)),
            None => {
                orders.push(Order::Stop(seq, Why::Over));
                None
            }
        }
    }

    /// An attempt has not gone out, or was turned away unseen.
    pub fn unsent(&mut self, now: Time, seq: u64, attempt: u32, orders: &mut Vec<Order>) {
        if let Some(record) = self.own.get(&seq).map(|own| own.record.unsent(attempt)) {
            self.step(now, seq, record, orders);
        }
    }

    /// It has ended: its client may be told once [`Order::Clear`] names the step that this returns.
    pub fn ended(&mut self, now: Time, seq: u64, end: End, orders: &mut Vec<Order>) -> Option<u32> {
        let record = self.own.get(&seq)?.record.ended(end);
        Some(self.step(now, seq, record, orders))
    }

    /// Lets go of a request: nothing more is said of it.
    pub fn release(&mut self, seq: u64) {
        self.own.remove(&seq);
    }

    fn step(&mut self, now: Time, seq: u64, record: Record, orders: &mut Vec<Order>) -> u32 {
        let step = record.step;
        if let Some(own) = self.own.get_mut(&seq) {
            own.record = record;
            (own.since, own.stopped) = (now, false);
        }
        self.tell(now, seq, orders);
        step
    }

    /// Tells the keepers that lack the step in hand.
    fn tell(&mut self, now: Time, seq: u64, orders: &mut Vec<Order>) {
        let Some(own) = self.own.get_mut(&seq) else { return };
        own.again = now + if own.joined.is_some() { JOIN } else { AGAIN };
        let others = own.record.keepers.iter().any(|life| *life != self.life);
        if !others {
            // At once the first time; one that is tried again is stopped only after its wait.
            if !std::mem::replace(&mut own.retried, true) {
                own.stopped = true;
                orders.push(Order::Stop(seq, Why::NoKeeper));
            }
            return;
        }
        // The first decides whose it is: nobody else keeps anything before it has said so, or two that come at once
        // would each be held at another keeper.
        // Nor before those have answered that may know more: an heir would take its copy for a request that may go out.
        let has_it = own.record.keepers.first().is_some_and(|first| own.has.contains_key(first));
        let decided = has_it && own.finds.is_empty();
        let told = if decided { own.record.keepers.len() } else { 1 };
        for life in &own.record.keepers[..told] {
            if own.has.get(life).is_none_or(|step| *step < own.record.step) {
                // A keeper that has an earlier step has the request itself.
                let request = (!own.has.contains_key(life)).then(|| own.request.clone());
                let left = own.deadline.saturating_sub(now);
                let (actor, record) = (own.actor, own.record.clone());
                let fresh = own.cleared.is_none() && actor.epoch == 0 && record.end.is_none();
                let keep = Keep { seq, actor, record, fresh, left, request };
                orders.push(Order::Say(*life, Word::Keep(Box::new(keep))));
            }
        }
        for life in &own.finds {
            let Record { identity, content, .. } = own.record;
            orders.push(Order::Say(*life, Word::Find(seq, identity, content)));
        }
    }

    /// A keeper's word on a step.
    pub fn kept(&mut self, now: Time, from: Life, heard: Heard, orders: &mut Vec<Order>) {
        let Heard { seq, step, verdict, also } = heard;
        let Some(own) = self.own.get_mut(&seq) else { return };
        if !own.record.keepers.contains(&from) {
            return;
        }
        match verdict {
            Verdict::Kept => {
                own.joined = None;
                let first = own.has.is_empty();
                let has = own.has.entry(from).or_insert(step);
                *has = (*has).max(step);
                if first {
                    own.since = now;
                }
                let undecided = own.cleared.is_none();
                if undecided && self.find(now, seq, &also, orders) {
                    return;
                }
                if first {
                    self.tell(now, seq, orders);
                }
                self.clear(seq, orders);
            }
            Verdict::Lacks => {
                own.has.remove(&from);
                self.tell(now, seq, orders);
            }
            Verdict::Held(actor) if own.cleared.is_none() => own.joined = Some(actor),
            other => self.stop(seq, other, orders),
        }
    }

    /// Tries again what no keeper said in time that it has.
    pub fn retry(&mut self, now: Time, seq: u64, orders: &mut Vec<Order>) {
        if let Some(own) = self.own.get_mut(&seq) {
            (own.since, own.stopped, own.retried) = (now, false, true);
            self.tell(now, seq, orders);
        }
    }

    /// All requests in hand.
    pub fn all(&self) -> impl Iterator<Item = u64> {
        self.own.keys().copied()
    }

    /// When the client of a request gives up.
    pub fn deadline(&self, seq: u64) -> Option<Time> {
        self.own.get(&seq).map(|own| own.deadline)
    }

    /// Another's word on whether it knows the identity.
    pub fn found(
        &mut self, now: Time, from: Life, seq: u64, verdict: Option<Verdict>, also: &[Life],
        orders: &mut Vec<Order>,
    ) {
        let Some(own) = self.own.get_mut(&seq).filter(|own| own.finds.contains(&from)) else { return };
        own.finds.retain(|life| *life != from);
        own.joined = None;
        match verdict {
            // What it says of this very request is no news.
            Some(Verdict::Held(actor)) if actor == own.actor => {}
            Some(Verdict::Held(actor)) if own.cleared.is_none() => {
                own.joined = Some(actor);
                own.finds.push(from); // until that one has come to its end
                own.again = now + JOIN;
                return;
            }
            Some(verdict) => return self.stop(seq, verdict, orders),
            None => {}
        }
        let asks = self.find(now, seq, also, orders);
        let unheard = self.own.get(&seq).is_some_and(|own| !own.finds.is_empty());
        if !asks && !unheard {
            self.tell(now, seq, orders);
            self.clear(seq, orders);
        }
    }

    /// Asks those that have not been asked; says whether there are any.
    fn find(&mut self, now: Time, seq: u64, whom: &[Life], orders: &mut Vec<Order>) -> bool {
        let Some(own) = self.own.get_mut(&seq) else { return false };
        let before = own.finds.len();
        for whom in whom {
            if !own.has.contains_key(whom) && !own.asked.contains(whom) && own.asked.len() < ROLLS {
                own.finds.push(*whom);
                own.asked.push(*whom);
            }
        }
        let asks = own.finds.len() > before;
        if asks {
            self.tell(now, seq, orders);
        }
        asks
    }

    fn clear(&mut self, seq: u64, orders: &mut Vec<Order>) {
        let Some(own) = self.own.get_mut(&seq) else { return };
        if own.is_clear() && own.cleared.is_none_or(|step| step < own.record.step) {
            own.cleared = Some(own.record.step);
            own.stopped = false;
            orders.push(Order::Clear(seq, own.record.step));
        }
    }

    fn stop(&mut self, seq: u64, verdict: Verdict, orders: &mut Vec<Order>) {
        let Some(own) = self.own.get_mut(&seq).filter(|own| !own.stopped) else { return };
        own.stopped = true;
        let why = match verdict {
            Verdict::Full => Why::Full,
            Verdict::Held(actor) => Why::Held(actor),
            Verdict::Ended(end) => Why::Ended(end),
            Verdict::Differs => Why::Differs,
            Verdict::Blind(left) => Why::Blind(left),
            Verdict::Followed(_) => Why::Over,
            Verdict::Kept | Verdict::Lacks => Why::NoKeeper, // no end of anything
        };
        orders.push(Order::Stop(seq, why));
    }

    /// Another list of who is enrolled: keepers that ended are replaced. One that lives is not, as its copy would
    /// stay behind and say less than may have happened.
    pub fn roll(&mut self, now: Time, roll: Roll, orders: &mut Vec<Order>) {
        self.roll = roll;
        let (roll, life, count) = (self.roll.clone(), self.life, self.terms.keepers);
        let mut moved = Vec::new();
        for (seq, own) in &mut self.own {
            let lives = |life: &Life| roll.contains_key(life);
            // What one that ended could have said has to be asked after anew.
            let unheard = !own.finds.iter().all(lives);
            if own.record.keepers.iter().all(lives) && !unheard {
                continue;
            }
            if own.cleared.is_none() {
                own.has.clear();
                own.finds.clear();
                own.asked.clear();
            }
            let keepers = named(&own.record, &own.record.keepers, &roll, life, count);
            own.record = Record { keepers, step: own.record.step + 1, ..own.record.clone() };
            (own.since, own.stopped) = (now, false);
            moved.push(*seq);
        }
        for seq in moved {
            self.tell(now, seq, orders);
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Time> {
        self.own.values().filter(|own| own.waits()).map(|own| own.again).min()
    }

    /// Does what is due by now.
    pub fn fire(&mut self, now: Time, orders: &mut Vec<Order>) {
        let is_due = |(_, own): &(&u64, &Own)| own.again <= now && own.waits();
        let due: Vec<u64> = self.own.iter().filter(is_due).map(|(seq, _)| *seq).collect();
        for seq in due {
            let Some(own) = self.own.get_mut(&seq) else { continue };
            let (end, why) = match own.joined {
                Some(actor) => (own.deadline, Why::Held(actor)),
                None => (own.since + self.terms.wait, Why::NoKeeper),
            };
            if now >= end {
                own.stopped = true;
                orders.push(Order::Stop(seq, why));
            } else {
                self.tell(now, seq, orders);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::tests::{ms, record, roll, sent};
    use crate::record::{Answer, Effect, State};

    const ME: Life = 1;

    struct Case {
        owner: Owner,
        orders: Vec<Order>,
        seq: u64,
    }

    impl Case {
        fn new(lives: &[Life], keepers: usize) -> Self {
            let mut owner = Owner::new(ME, Terms { keepers, wait: ms(50) });
            let mut orders = Vec::new();
            owner.roll(ms(0), roll(lives), &mut orders);
            let request = Bytes::from(&b"request"[..]);
            let seq = owner.take(ms(0), 0, record(Effect::Keyed), ms(1000), request, &mut orders);
            Case { owner, orders, seq }
        }

        /// One whose keepers have it, and whose first keeper names another that may know more.
        fn with_elder() -> (Self, Life) {
            let mut case = Case::new(&[1, 2, 3, 4], 1);
            let keepers = case.keepers();
            let elder = (1..9).find(|life| !keepers.contains(life) && *life != ME).expect("one");
            let heard = Heard { seq: case.seq, step: 0, verdict: Verdict::Kept, also: vec![elder] };
            case.owner.kept(ms(1), keepers[0], heard, &mut case.orders);
            for keeper in &keepers[1..] {
                case.says(1, *keeper, Verdict::Kept);
            }
            (case, elder)
        }

        fn keepers(&self) -> Vec<Life> {
            self.owner.record(self.seq).expect("held").keepers.clone()
        }

        fn says(&mut self, now: u64, from: Life, verdict: Verdict) {
            let step = self.owner.record(self.seq).expect("held").step;
            let heard = Heard { seq: self.seq, step, verdict, also: vec![] };
            self.owner.kept(ms(now), from, heard, &mut self.orders);
        }

        /// What was ordered since the last look.
        fn orders(&mut self) -> Vec<Order> {
            std::mem::take(&mut self.orders)
        }

        fn cleared(&mut self) -> Option<u32> {
            self.orders().into_iter().rev().find_map(|o| match o {
                Order::Clear(_, step) => Some(step),
                _ => None,
            })
        }
    }

    #[test]
    fn a_step_counts_once_all_keepers_have_it() {
        let mut case = Case::new(&[1, 2, 3, 4], 2);
        let keepers = case.keepers();
        let told = |o: &Order| matches!(o, Order::Say(to, _) if *to == keepers[0]);
        assert!(case.orders().iter().all(told), "the first decides before anybody else keeps it");
        case.says(1, keepers[0], Verdict::Kept);
        assert_eq!(case.cleared(), None);
        keepers[1..].iter().for_each(|keeper| case.says(2, *keeper, Verdict::Kept));
        assert_eq!(case.cleared(), Some(0));
        let step = case.owner.sending(ms(3), case.seq, sent(0), &mut case.orders);
        assert_eq!(step, Some(1));
        // An answer to the step before clears nothing.
        let late = Heard { seq: case.seq, step: 0, verdict: Verdict::Kept, also: vec![] };
        case.owner.kept(ms(4), keepers[0], late, &mut case.orders);
        let says = |o: &Order| matches!(o, Order::Say(_, Word::Keep(keep)) if keep.request.is_none());
        let orders = case.orders();
        assert_eq!(orders.iter().filter(|o| says(o)).count(), keepers.len(), "{orders:?}");
        keepers.iter().for_each(|keeper| case.says(5, *keeper, Verdict::Kept));
        assert_eq!(case.cleared(), Some(1));
        let end = End::Answered(Answer::Whole(200, vec![], vec![]));
        assert_eq!(case.owner.ended(ms(6), case.seq, end, &mut case.orders), Some(2));
        assert_eq!(case.owner.record(case.seq).expect("held").state(), State::Done);
    }

    #[test]
    fn a_lost_word_is_said_again_and_none_in_time_stops_it() {
        let mut case = Case::new(&[1, 2], 1);
        case.orders();
        case.owner.fire(ms(19), &mut case.orders);
        assert!(case.orders().is_empty());
        assert_eq!(case.owner.next_due(), Some(ms(20)));
        case.owner.fire(ms(20), &mut case.orders);
        assert!(case.orders().iter().all(|o| matches!(o, Order::Say(..))));
        case.owner.fire(ms(60), &mut case.orders);
        assert_eq!(case.orders(), [Order::Stop(case.seq, Why::NoKeeper)]);
        assert_eq!(case.owner.next_due(), None);
    }

    #[test]
    fn one_that_knows_better_has_to_be_asked_first() {
        let (mut case, elder) = Case::with_elder();
        let orders = case.orders();
        assert!(
            orders.iter().any(|o| matches!(o, Order::Say(to, Word::Find(..)) if *to == elder)),
            "{orders:?}"
        );
        let held = Some(Verdict::Held(Actor { epoch: 0, life: 9 }));
        case.owner.found(ms(2), elder, case.seq, held, &[], &mut case.orders);
        assert!(case.orders().is_empty(), "it waits for that one's end");
        let ended = Some(Verdict::Ended(End::Unknown));
        case.owner.found(ms(30), elder, case.seq, ended, &[], &mut case.orders);
        assert_eq!(case.orders(), [Order::Stop(case.seq, Why::Ended(End::Unknown))]);
    }

    #[test]
    fn with_nothing_known_there_it_goes_on() {
        let (mut case, elder) = Case::with_elder();
        assert_eq!(case.cleared(), None);
        case.owner.found(ms(2), elder, case.seq, None, &[], &mut case.orders);
        assert_eq!(case.cleared(), Some(0));
    }

    #[test]
    fn a_keeper_that_ended_is_replaced_and_one_that_joins_replaces_nobody() {
        let mut case = Case::new(&[1, 2, 3], 1);
        let before = case.keepers();
        case.owner.roll(ms(5), roll(&[1, 2, 3, 4, 5, 6, 7, 8]), &mut case.orders);
        assert_eq!(case.keepers(), before);
        let lost = *before.iter().find(|life| **life != ME).expect("another");
        let rest: Vec<Life> = [1, 2, 3, 4, 5].into_iter().filter(|life| *life != lost).collect();
        case.orders();
        case.owner.roll(ms(6), roll(&rest), &mut case.orders);
        let after = case.keepers();
        assert!(!after.contains(&lost) && after.iter().any(|life| *life != ME), "{after:?}");
        let orders = case.orders();
        let whole = |o: &Order| matches!(o, Order::Say(_, Word::Keep(keep)) if keep.request.is_some());
        assert!(orders.iter().any(whole), "a new keeper gets the request itself: {orders:?}");
        after.iter().for_each(|keeper| case.says(7, *keeper, Verdict::Kept));
        assert_eq!(case.cleared(), Some(1));
    }

    #[test]
    fn alone_in_the_fleet_there_is_no_keeper() {
        let mut case = Case::new(&[1], 2);
        assert_eq!(case.orders(), [Order::Stop(case.seq, Why::NoKeeper)]);
    }

    #[test]
    fn who_meets_another_s_request_waits_for_its_end() {
        let mut case = Case::new(&[1, 2], 1);
        let first = case.keepers()[0];
        let held = Actor { epoch: 0, life: 9 };
        case.orders();
        case.says(1, first, Verdict::Held(held));
        case.owner.fire(ms(500), &mut case.orders);
        assert!(matches!(case.orders()[..], [Order::Say(to, Word::Keep(_))] if to == first));
        case.says(501, first, Verdict::Held(held));
        case.says(530, first, Verdict::Ended(End::Unknown));
        assert_eq!(case.orders(), [Order::Stop(case.seq, Why::Ended(End::Unknown))]);
        let mut patient = Case::new(&[1, 2], 1);
        patient.says(1, first, Verdict::Held(held));
        patient.orders();
        patient.owner.fire(ms(1000), &mut patient.orders);
        assert_eq!(patient.orders(), [Order::Stop(patient.seq, Why::Held(held))]);
    }

    #[test]
    fn each_verdict_has_its_end_and_is_told_once() {
        for (verdict, why) in [
            (Verdict::Full, Why::Full),
            (Verdict::Differs, Why::Differs),
            (Verdict::Ended(End::Unknown), Why::Ended(End::Unknown)),
            (Verdict::Followed(3), Why::Over),
            (Verdict::Blind(ms(7)), Why::Blind(ms(7))),
        ] {
            let mut case = Case::new(&[1, 2], 1);
            let keeper = case.keepers()[0];
            case.orders();
            case.says(1, keeper, verdict.clone());
            case.says(2, keeper, verdict);
            assert_eq!(case.orders(), [Order::Stop(case.seq, why)]);
        }
    }
}
