//! The queue of events in virtual time: a calendar queue (R. Brown, "Calendar queues: a fast O(1) priority queue
//! implementation for the simulation event set problem", CACM 31, 1988) with a heap for what lies far ahead.
//!
//! Events come out by time and, at the same time, in the order in which they were put in: never by an address, a
//! hash or a thread. The width of a day follows the events' density; it changes the cost, never the order.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Nanoseconds of virtual time since the run began.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
pub const MS: Nanos = 1_000_000;
/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;

/// A span in milliseconds as whole nanoseconds; what is no span is none.
pub fn nanos(ms: f64) -> Nanos {
    (ms * 1e6).clamp(0.0, 1e18).round() as Nanos
}

/// Days of the calendar; what lies further ahead waits in the heap.
const DAYS: usize = 4096;
/// Pops between two looks at the width of a day.
const LOOK: u32 = 8192;
/// Events that a day should hold: finding the next one costs a sort of so many, and few days are empty.
const PER_DAY: u64 = 4;

struct Entry<E> {
    at: Nanos,
    turn: u64,
    event: E,
}

impl<E> Entry<E> {
    fn key(&self) -> (Nanos, u64) {
        (self.at, self.turn)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// The events to come.
pub struct Calendar<E> {
    /// A day is 2^shift nanoseconds long.
    shift: u32,
    days: Vec<Vec<Entry<E>>>,
    /// Events in `days`.
    near: usize,
    /// The number of the day in hand.
    today: u64,
    /// The day in hand, the next event last.
    hand: Vec<Entry<E>>,
    far: BinaryHeap<Reverse<Entry<E>>>,
    now: Nanos,
    turn: u64,
    pops: u32,
    looked: Nanos,
}

impl<E> Default for Calendar<E> {
    fn default() -> Self {
        Calendar {
            shift: 16,
            days: (0..DAYS).map(|_| Vec::new()).collect(),
            near: 0,
            today: 0,
            hand: Vec::new(),
            far: BinaryHeap::new(),
            now: 0,
            turn: 0,
            pops: 0,
            looked: 0,
        }
    }
}

impl<E> Calendar<E> {
    /// The time of the event that came out last.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Events to come.
    pub fn len(&self) -> usize {
        self.near + self.hand.len() + self.far.len()
    }

    /// Whether nothing is to come.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Puts in an event.
    ///
    /// # Panics
    /// If `at` lies before [`Calendar::now`]: time would run backwards for whoever gets it.
    pub fn push(&mut self, at: Nanos, event: E) {
        assert!(at >= self.now, "an event for {at} ns was put in at {} ns", self.now);
        self.turn += 1;
        let entry = Entry { at, turn: self.turn, event };
        self.file(entry);
    }

    fn file(&mut self, entry: Entry<E>) {
        let day = entry.at >> self.shift;
        if day <= self.today {
            let place = self.hand.partition_point(|e| *e > entry);
            self.hand.insert(place, entry);
        } else if day < self.today + DAYS as u64 {
            self.days[day as usize % DAYS].push(entry);
            self.near += 1;
        } else {
            self.far.push(Reverse(entry));
        }
    }

    /// Takes out the next event and its time.
    pub fn pop(&mut self) -> Option<(Nanos, E)> {
        while self.hand.is_empty() {
            if self.near == 0 {
                let Reverse(first) = self.far.peek()?;
                self.today = first.at >> self.shift;
            } else {
                self.today += 1;
            }
            self.turn_page();
        }
        let entry = self.hand.pop()?;
        self.now = entry.at;
        self.pops += 1;
        if self.pops == LOOK {
            self.look();
        }
        Some((entry.at, entry.event))
    }

    /// Takes today's events in hand and files what has come within the year.
    fn turn_page(&mut self) {
        std::mem::swap(&mut self.hand, &mut self.days[self.today as usize % DAYS]);
        self.near -= self.hand.len();
        while self.far.peek().is_some_and(|Reverse(e)| (e.at >> self.shift) < self.today + DAYS as u64) {
            let Some(Reverse(e)) = self.far.pop() else { break };
            if e.at >> self.shift <= self.today {
                self.hand.push(e);
            } else {
                self.days[(e.at >> self.shift) as usize % DAYS].push(e);
                self.near += 1;
            }
        }
        self.hand.sort_unstable_by_key(|e| Reverse(e.key()));
    }

    /// Sets the width of a day by how dense events were of late, if it is off by much.
    fn look(&mut self) {
        let span = (self.now - self.looked) * PER_DAY / u64::from(LOOK);
        (self.pops, self.looked) = (0, self.now);
        let wanted = u64::BITS - span.max(1).leading_zeros();
        if wanted.abs_diff(self.shift) < 2 {
            return;
        }
        let mut all: Vec<Entry<E>> = Vec::with_capacity(self.len());
        all.append(&mut self.hand);
        self.days.iter_mut().for_each(|d| all.append(d));
        all.extend(std::mem::take(&mut self.far).into_iter().map(|Reverse(e)| e));
        (self.near, self.shift, self.today) = (0, wanted, self.now >> wanted);
        all.into_iter().for_each(|e| self.file(e));
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    /// What it must give: a plain heap with the same order.
    #[derive(Default)]
    struct Plain {
        heap: BinaryHeap<Reverse<Entry<u32>>>,
        turn: u64,
    }

    impl Plain {
        fn push(&mut self, at: Nanos, event: u32) {
            self.turn += 1;
            self.heap.push(Reverse(Entry { at, turn: self.turn, event }));
        }

        fn pop(&mut self) -> Option<(Nanos, u32)> {
            self.heap.pop().map(|Reverse(e)| (e.at, e.event))
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 60, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

        /// The same events in the same order as a heap, at any density and through changes of it.
        #[test]
        fn it_gives_what_a_heap_gives(
            steps in prop::collection::vec((0u32..4, 0u32..40, any::<u16>()), 1..600),
            repeat in 1usize..60,
        ) {
            let (mut calendar, mut plain, mut n) = (Calendar::default(), Plain::default(), 0);
            for _ in 0..repeat {
                for &(kind, scale, by) in &steps {
                    if kind < 2 {
                        let at = calendar.now() + (u64::from(by) << scale >> 12);
                        calendar.push(at, n);
                        plain.push(at, n);
                        n += 1;
                    } else {
                        prop_assert_eq!(calendar.pop(), plain.pop());
                    }
                }
            }
            while let Some(want) = plain.pop() {
                prop_assert_eq!(calendar.pop(), Some(want));
            }
            prop_assert!(calendar.pop().is_none() && calendar.is_empty());
        }
    }

    #[test]
    fn a_thousand_events_of_one_instant_keep_their_order_and_may_cause_more() {
        let mut c = Calendar::default();
        (0..1000).for_each(|i| c.push(5 * SECOND, i));
        for i in 0..1000 {
            assert_eq!(c.pop(), Some((5 * SECOND, i)));
            c.push(5 * SECOND, 1000 + i);
        }
        (0..1000).for_each(|i| assert_eq!(c.pop(), Some((5 * SECOND, 1000 + i))));
    }

    #[test]
    #[should_panic(expected = "an event for 9 ns was put in at 10 ns")]
    fn time_never_runs_backwards() {
        let mut c = Calendar::default();
        c.push(10, ());
        c.pop();
        c.push(9, ());
    }
}
