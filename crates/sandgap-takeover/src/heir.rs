//! What a proxy does with the work in hand of one that ended: it gathers it from all that may keep some, and lets it go
//! on a little at a time, the most pressing first.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use sandgap_agree::lives::{Claim, Life};
use sandgap_agree::tenure::Roll;
use sandgap_fleet::{Drift, Time};

use crate::identity::Identity;
use crate::limits::AGAIN;
use crate::record::{End, Known, Plan};
use crate::words::{Bytes, Remains, Word};

/// A request that an heir has to see to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inherited {
    /// What is known of it.
    pub known: Known,
    /// The request.
    pub request: Bytes,
    /// What may be done with it, as things stand now.
    pub plan: Plan,
}

/// One that is still to be asked for its part.
struct Asked {
    after: Option<Identity>,
    /// When the question in hand went out first, and when it goes again.
    since: Time,
    again: Time,
    number: u64,
}

/// Takes over the hand of one life.
pub struct Heir {
    claim: Claim,
    drift: Drift,
    asked: BTreeMap<Life, Asked>,
    /// The list of who is enrolled has to be at least this new: whoever may keep something is on it.
    least: u64,
    numbered: u64,
    seen: BTreeSet<Identity>,
    waiting: BinaryHeap<Reverse<(Time, Identity)>>,
    held: BTreeMap<Identity, (Known, Bytes, bool)>,
    out: usize,
    /// Requests let go at once.
    at_once: usize,
}

impl Heir {
    /// An heir under a claim that came with the news that the list of who is enrolled had changed `least` times.
    pub fn new(claim: Claim, least: u64, drift: Drift, at_once: usize) -> Self {
        Heir {
            claim,
            drift,
            asked: BTreeMap::new(),
            least,
            numbered: 0,
            seen: BTreeSet::new(),
            waiting: BinaryHeap::new(),
            held: BTreeMap::new(),
            out: 0,
            at_once: at_once.max(1),
        }
    }

    /// Under which claim.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Requests inherited so far.
    pub fn inherited(&self) -> usize {
        self.seen.len()
    }

    /// Who is enrolled: the first time all are asked; later on nobody waits for those that ended. Whoever comes later
    /// keeps nothing of this hand.
    pub fn roll(&mut self, now: Time, number: u64, roll: &Roll, say: &mut Vec<(Life, Word)>) {
        if number < self.least {
            return;
        }
        if self.numbered == 0 {
            for life in roll.keys() {
                self.ask(now, *life, None, say);
            }
        }
        self.asked.retain(|life, _| roll.contains_key(life));
    }

    fn ask(&mut self, now: Time, whom: Life, after: Option<Identity>, say: &mut Vec<(Life, Word)>) {
        self.numbered += 1;
        let number = self.numbered;
        self.asked.insert(whom, Asked { after, since: now, again: now + AGAIN, number });
        say.push((whom, Word::Estate(number, self.claim.clone(), after)));
    }

    /// A part has come. Each request counts once: any one keeper's copy says at least as much as may have happened.
    pub fn left(
        &mut self, now: Time, from: Life, number: u64, all: Vec<Remains>, more: bool,
        say: &mut Vec<(Life, Word)>,
    ) {
        let Some(asked) = self.asked.get(&from).filter(|a| a.number == number) else { return };
        let since = asked.since;
        let last = all.last().map(|r| r.record.identity);
        for remains in all {
            let Remains { record, left, doubtful, window, request } = remains;
            let identity = record.identity;
            if !self.seen.insert(identity) {
                continue;
            }
            // On this clock: counted from the question, which was before the keeper looked.
            let until = window.map(|window| since + self.drift.at_most(window));
            let known = Known { record, deadline: now + left, until };
            self.waiting.push(Reverse((known.deadline, identity)));
            self.held.insert(identity, (known, request, doubtful));
        }
        match last.filter(|_| more) {
            Some(last) => self.ask(now, from, Some(last), say),
            None => drop(self.asked.remove(&from)),
        }
    }

    /// The next request that may go on now, if any: those with the least time left come first, and only so many are
    /// out at once, so that a hand inherited whole is no storm.
    pub fn next(&mut self, now: Time) -> Option<Inherited> {
        if self.out >= self.at_once {
            return None;
        }
        let Reverse((_, identity)) = self.waiting.pop()?;
        let (known, request, doubtful) = self.held.remove(&identity)?;
        self.out += 1;
        // Nothing went out under it, and perhaps another has it: its client finds that out when it comes again.
        let plan = if doubtful { Plan::End(End::Refused) } else { known.plan(now) };
        Some(Inherited { known, request, plan })
    }

    /// One that was let go has ended.
    pub fn ended(&mut self) {
        self.out = self.out.saturating_sub(1);
    }

    /// Whether all has been seen to.
    pub fn is_settled(&self) -> bool {
        self.numbered > 0 && self.asked.is_empty() && self.waiting.is_empty() && self.out == 0
    }

    /// Whom nobody has heard of yet.
    pub fn missing(&self) -> impl Iterator<Item = &Life> {
        self.asked.keys()
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Time> {
        self.asked.values().map(|a| a.again).min()
    }

    /// Asks again where no answer came.
    pub fn fire(&mut self, now: Time, say: &mut Vec<(Life, Word)>) {
        for (life, asked) in &mut self.asked {
            if asked.again <= now {
                // Slower each time: one that can't be reached is waited for until it is fenced itself.
                let waited = now.saturating_sub(asked.since);
                asked.again = now + waited.clamp(AGAIN, Duration::from_millis(250));
                say.push((*life, Word::Estate(asked.number, self.claim.clone(), asked.after)));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::tests::{ms, record, roll, sent};
    use crate::record::{Effect, Record};

    fn heir() -> Heir {
        Heir::new(Claim { life: 7, name: "p7".into(), epoch: 3 }, 5, Drift::ppm(0), 2)
    }

    fn remains(n: u32, effect: Effect, out: bool, left: u64) -> Remains {
        let record = Record { identity: Identity::of(None, "book", &n.to_string()), ..record(effect) };
        let record = if out { record.sending(sent(0)).expect("room") } else { record };
        let window = out.then(|| ms(800));
        Remains { record, left: ms(left), doubtful: false, window, request: Bytes::from(&b"r"[..]) }
    }

    fn number(word: &Word) -> u64 {
        match word {
            Word::Estate(number, ..) => *number,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn it_asks_all_on_a_list_that_is_new_enough_and_again_until_they_answer() {
        let (mut heir, mut say) = (heir(), Vec::new());
        heir.roll(ms(0), 4, &roll(&[1, 2]), &mut say);
        assert!(say.is_empty() && !heir.is_settled(), "somebody may be missing from an old list");
        heir.roll(ms(1), 5, &roll(&[1, 2, 3]), &mut say);
        assert_eq!(say.len(), 3);
        let first = number(&say[0].1);
        heir.left(ms(2), 1, first, vec![], false, &mut say);
        say.clear();
        heir.fire(ms(30), &mut say);
        assert_eq!(say.iter().map(|(life, _)| *life).collect::<Vec<_>>(), [2, 3]);
        heir.roll(ms(40), 6, &roll(&[1, 3, 9]), &mut say);
        assert_eq!(heir.missing().collect::<Vec<_>>(), [&3], "2 has ended, and 9 came later");
        let last = number(&say.iter().find(|(life, _)| *life == 3).expect("asked").1);
        heir.left(ms(50), 3, last, vec![], false, &mut say);
        assert!(heir.is_settled());
    }

    #[test]
    fn each_request_counts_once_the_most_pressing_first_and_few_at_once() {
        let (mut heir, mut say) = (heir(), Vec::new());
        heir.roll(ms(0), 5, &roll(&[1, 2]), &mut say);
        let numbers: Vec<u64> = say.iter().map(|(_, word)| number(word)).collect();
        let part = vec![remains(1, Effect::Safe, false, 900), remains(2, Effect::Safe, false, 300)];
        heir.left(ms(10), 1, numbers[0], part.clone(), true, &mut say);
        heir.left(ms(10), 1, numbers[0], part.clone(), true, &mut say);
        heir.left(ms(11), 2, numbers[1], part, false, &mut say);
        let more = number(&say.last().expect("asked on").1);
        heir.left(ms(12), 1, more, vec![remains(3, Effect::Unsafe, true, 600)], false, &mut say);
        assert_eq!(heir.inherited(), 3);
        let order: Vec<Plan> =
            [heir.next(ms(20)), heir.next(ms(20))].into_iter().flatten().map(|i| i.plan).collect();
        assert_eq!(order, [Plan::Send, Plan::End(End::Unknown)]);
        assert_eq!(heir.next(ms(20)), None, "two are out");
        heir.ended();
        assert!(heir.next(ms(20)).is_some() && !heir.is_settled());
        heir.ended();
        heir.ended();
        assert!(heir.is_settled());
    }

    #[test]
    fn a_window_counts_from_the_question() {
        let (mut heir, mut say) = (heir(), Vec::new());
        heir.roll(ms(0), 5, &roll(&[1]), &mut say);
        let number = number(&say[0].1);
        heir.left(ms(500), 1, number, vec![remains(1, Effect::Keyed, true, 5000)], false, &mut say);
        assert_eq!(heir.next(ms(510)).expect("one").plan, Plan::Again(ms(800)));
    }
}
