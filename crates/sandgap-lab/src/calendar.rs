//! The queue of events in virtual time: a calendar queue (R. Brown, "Calendar queues: a fast O(1) priority queue
//! implementation for the simulation event set problem", CACM 31, 1988) with a heap for events far ahead.
//!
//! Events are popped by time and, at the same time, in the order in which they were pushed; the order never depends on
//! an address, a hash or a thread. The width of a day follows the events' density, which affects only the cost.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Nanoseconds of virtual time since the run began.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
pub const MS: Nanos = 1_000_000;
/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;

/// A duration in milliseconds as whole nanoseconds, clamped to 0 to 10^18; NaN gives 0.
pub fn nanos(ms: f64) -> Nanos {
    (ms * 1e6).clamp(0.0, 1e18).round() as Nanos
}

/// Days of the calendar; later events wait in the heap.
const DAYS: usize = 4096;
/// Pops between two adjustments of the width of a day.
const ADJUST_INTERVAL: u32 = 8192;
/// Events that a day should hold: small, since a day's events are sorted, but enough that few days are empty.
const PER_DAY: u64 = 4;

struct Entry<E> {
    at: Nanos,
    sequence: u64,
    event: E,
}

impl<E> Entry<E> {
    fn key(&self) -> (Nanos, u64) {
        (self.at, self.sequence)
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

/// A queue of events in virtual time.
pub struct Calendar<E> {
    /// A day is 2^shift nanoseconds long.
    shift: u32,
    days: Vec<Vec<Entry<E>>>,
    /// Events in `days`.
    near: usize,
    /// The number of the current day.
    today: u64,
    /// The events of the current day, the next one last.
    current: Vec<Entry<E>>,
    /// Events after the days of the calendar.
    far: BinaryHeap<Reverse<Entry<E>>>,
    now: Nanos,
    sequence: u64,
    /// Pops since the last adjustment of the width, and when that was.
    pops: u32,
    adjusted_at: Nanos,
}

impl<E> Default for Calendar<E> {
    fn default() -> Self {
        Calendar {
            shift: 16,
            days: (0..DAYS).map(|_| Vec::new()).collect(),
            near: 0,
            today: 0,
            current: Vec::new(),
            far: BinaryHeap::new(),
            now: 0,
            sequence: 0,
            pops: 0,
            adjusted_at: 0,
        }
    }
}

impl<E> Calendar<E> {
    /// The time of the event that was popped last.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Number of events in the queue.
    pub fn len(&self) -> usize {
        self.near + self.current.len() + self.far.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Pushes an event.
    ///
    /// # Panics
    /// If `at` is before [`Calendar::now`], since time would then run backwards.
    pub fn push(&mut self, at: Nanos, event: E) {
        assert!(at >= self.now, "an event for {at} ns was pushed at {} ns", self.now);
        self.sequence += 1;
        let entry = Entry { at, sequence: self.sequence, event };
        self.insert(entry);
    }

    /// Puts an entry where it belongs: the current day, a later day or the heap.
    fn insert(&mut self, entry: Entry<E>) {
        let day = entry.at >> self.shift;
        if day <= self.today {
            let index = self.current.partition_point(|e| *e > entry);
            self.current.insert(index, entry);
        } else if day < self.today + DAYS as u64 {
            self.days[day as usize % DAYS].push(entry);
            self.near += 1;
        } else {
            self.far.push(Reverse(entry));
        }
    }

    /// Pops the next event with its time.
    pub fn pop(&mut self) -> Option<(Nanos, E)> {
        while self.current.is_empty() {
            if self.near == 0 {
                let Reverse(first) = self.far.peek()?;
                self.today = first.at >> self.shift;
            } else {
                self.today += 1;
            }
            self.start_day();
        }
        let entry = self.current.pop()?;
        self.now = entry.at;
        self.pops += 1;
        if self.pops == ADJUST_INTERVAL {
            self.adjust_width();
        }
        Some((entry.at, entry.event))
    }

    /// Makes today's events the current ones, and moves events from the heap that the days now cover.
    fn start_day(&mut self) {
        std::mem::swap(&mut self.current, &mut self.days[self.today as usize % DAYS]);
        self.near -= self.current.len();
        while self.far.peek().is_some_and(|Reverse(e)| (e.at >> self.shift) < self.today + DAYS as u64) {
            let Some(Reverse(e)) = self.far.pop() else { break };
            if e.at >> self.shift <= self.today {
                self.current.push(e);
            } else {
                self.days[(e.at >> self.shift) as usize % DAYS].push(e);
                self.near += 1;
            }
        }
        self.current.sort_unstable_by_key(|e| Reverse(e.key()));
    }

    /// Adapts the width of a day to the recent density of events, if the two differ by a factor of 4 or more.
    fn adjust_width(&mut self) {
        let span = (self.now - self.adjusted_at) * PER_DAY / u64::from(ADJUST_INTERVAL);
        (self.pops, self.adjusted_at) = (0, self.now);
        let wanted = u64::BITS - span.max(1).leading_zeros();
        if wanted.abs_diff(self.shift) < 2 {
            return;
        }
        let mut all: Vec<Entry<E>> = Vec::with_capacity(self.len());
        all.append(&mut self.current);
        self.days.iter_mut().for_each(|d| all.append(d));
        all.extend(std::mem::take(&mut self.far).into_iter().map(|Reverse(e)| e));
        (self.near, self.shift, self.today) = (0, wanted, self.now >> wanted);
        all.into_iter().for_each(|e| self.insert(e));
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    /// The reference: a binary heap with the same order.
    #[derive(Default)]
    struct ReferenceHeap {
        heap: BinaryHeap<Reverse<Entry<u32>>>,
        sequence: u64,
    }

    impl ReferenceHeap {
        fn push(&mut self, at: Nanos, event: u32) {
            self.sequence += 1;
            self.heap.push(Reverse(Entry { at, sequence: self.sequence, event }));
        }

        fn pop(&mut self) -> Option<(Nanos, u32)> {
            self.heap.pop().map(|Reverse(e)| (e.at, e.event))
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 60, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

        /// Pops the same events in the same order as a heap, at any density and through changes of it.
        #[test]
        fn it_pops_in_the_order_of_a_heap(
            steps in prop::collection::vec((0u32..4, 0u32..40, any::<u16>()), 1..600),
            repeat in 1usize..60,
        ) {
            let (mut calendar, mut reference, mut n) = (Calendar::default(), ReferenceHeap::default(), 0);
            for _ in 0..repeat {
                for &(kind, scale, by) in &steps {
                    if kind < 2 {
                        let at = calendar.now() + (u64::from(by) << scale >> 12);
                        calendar.push(at, n);
                        reference.push(at, n);
                        n += 1;
                    } else {
                        prop_assert_eq!(calendar.pop(), reference.pop());
                    }
                }
            }
            while let Some(want) = reference.pop() {
                prop_assert_eq!(calendar.pop(), Some(want));
            }
            prop_assert!(calendar.pop().is_none() && calendar.is_empty());
        }
    }

    #[test]
    fn a_thousand_simultaneous_events_keep_their_order_and_may_add_more() {
        let mut c = Calendar::default();
        (0..1000).for_each(|i| c.push(5 * SECOND, i));
        for i in 0..1000 {
            assert_eq!(c.pop(), Some((5 * SECOND, i)));
            c.push(5 * SECOND, 1000 + i);
        }
        (0..1000).for_each(|i| assert_eq!(c.pop(), Some((5 * SECOND, 1000 + i))));
    }

    #[test]
    #[should_panic(expected = "an event for 9 ns was pushed at 10 ns")]
    fn time_never_runs_backwards() {
        let mut c = Calendar::default();
        c.push(10, ());
        c.pop();
        c.push(9, ());
    }
}
