//! The one lease that rules, hands and budgets share, and the right that only a live one gives.
//!
//! A holder asks at a time *a* on its own clock. Whoever grants says that something held at some moment after it
//! heard the question, thus at some moment after *a*. The lease ends a fixed span after *a*, on the holder's clock,
//! less the stated drift (Gray and Cheriton, "Leases", 1989, section 3.1, with the term counted from the asking).
//! So nobody needs to know how long the answer was under way, and a late one brings less or nothing; a holder that
//! stood still finds its lease gone, since its clock has gone on.
//!
//! What may only be done under a lease takes a [`Right`], which [`Lease::right`] alone makes: a check that was
//! forgotten does not compile.

use std::collections::VecDeque;
use std::marker::PhantomData;
use std::time::Duration;

use crate::clock::{Drift, Time};
use crate::limits::ASKS;

/// What a holder has been granted, and until when on its own clock.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// The end; `None` until the first grant, and once it has been given back.
    end: Option<Time>,
}

/// The right to act once, now. It can't be stored beyond the borrow of the lease nor made anywhere else.
#[derive(Debug)]
pub struct Right<'a> {
    until: Time,
    lease: PhantomData<&'a Lease>,
}

impl Right<'_> {
    /// When the lease behind it ends, on the holder's clock.
    pub fn until(&self) -> Time {
        self.until
    }
}

impl Lease {
    /// Takes over a grant for what was asked at `asked`: it ends `length` of true time after that at the latest. An
    /// older grant that comes late never shortens a newer one.
    pub fn granted(&mut self, asked: Time, length: Duration, drift: Drift) {
        let end = asked.saturating_add(drift.at_most(length));
        self.end = Some(self.end.map_or(end, |old| old.max(end)));
    }

    /// The right to act at `now`, if the lease has not ended.
    pub fn right(&self, now: Time) -> Option<Right<'_>> {
        let until = self.end.filter(|end| now < *end)?;
        Some(Right { until, lease: PhantomData })
    }

    /// How long it still lasts.
    pub fn left(&self, now: Time) -> Duration {
        self.end.map_or(Duration::ZERO, |end| end.saturating_sub(now))
    }

    /// When it ends, where there was a grant.
    pub fn end(&self) -> Option<Time> {
        self.end
    }

    /// Gives it back: nothing is held from here on.
    pub fn give_back(&mut self) {
        self.end = None;
    }
}

/// Numbers a holder's questions and knows when each was asked.
///
/// Numbers begin at a chance value drawn at each start, so that an answer to the process before is taken for none.
#[derive(Clone, Debug)]
pub struct Asker {
    next: u64,
    asked: VecDeque<(u64, Time)>,
}

impl Asker {
    /// An asker whose numbers begin at `first`, drawn anew at each start of the process.
    pub fn new(first: u64) -> Self {
        Asker { next: first, asked: VecDeque::new() }
    }

    /// Numbers a question asked now.
    pub fn ask(&mut self, now: Time) -> u64 {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        if self.asked.len() == ASKS {
            self.asked.pop_front();
        }
        self.asked.push_back((number, now));
        number
    }

    /// When the question that an answer names was asked. An answer counts once; older questions count no more after
    /// a newer one's answer, as they can bring nothing.
    pub fn answered(&mut self, number: u64) -> Option<Time> {
        let at = self.asked.iter().position(|(n, _)| *n == number)?;
        let asked = self.asked[at].1;
        self.asked.drain(..=at);
        Some(asked)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const LENGTH: Duration = Duration::from_millis(1000);

    fn ms(ms: u64) -> Time {
        Duration::from_millis(ms)
    }

    #[test]
    fn it_ends_a_length_after_the_asking_however_late_the_answer() {
        let mut lease = Lease::default();
        assert!(lease.right(ms(0)).is_none());
        let mut asker = Asker::new(7);
        let number = asker.ask(ms(100));
        // The answer comes 900 ms later: 100 ms are left, less the drift.
        lease.granted(asker.answered(number).expect("asked"), LENGTH, Drift::ppm(10_000));
        assert!(lease.right(ms(1000)).is_some());
        assert_eq!(lease.left(ms(1000)), ms(90));
        assert!(lease.right(ms(1090)).is_none());
    }

    #[test]
    fn late_doubled_and_unknown_answers_change_nothing() {
        let mut asker = Asker::new(u64::MAX);
        let (first, second) = (asker.ask(ms(0)), asker.ask(ms(10)));
        assert_eq!(second, 0, "numbers go round");
        assert_eq!(asker.answered(second), Some(ms(10)));
        assert_eq!(asker.answered(second), None);
        assert_eq!(asker.answered(first), None);
        let mut lease = Lease::default();
        lease.granted(ms(10), LENGTH, Drift::ppm(0));
        lease.granted(ms(0), LENGTH, Drift::ppm(0));
        assert_eq!(lease.end(), Some(ms(1010)));
    }

    #[test]
    fn unanswered_questions_are_bounded() {
        let mut asker = Asker::new(0);
        let all: Vec<u64> = (0..2 * ASKS as u64).map(|at| asker.ask(ms(at))).collect();
        assert_eq!(asker.answered(all[0]), None);
        assert_eq!(asker.answered(all[ASKS]), Some(ms(ASKS as u64)));
    }

    proptest! {
        /// In true time no lease lasts longer than its length after the asking, whatever the clock's rate.
        #[test]
        fn no_clock_within_the_drift_outlives_the_length(
            asked in 0.0..1e6f64, rate in -1.0..1.0f64, ppm in 0u32..50_000, length in 1u64..60_000,
        ) {
            let rate = 1.0 + rate * f64::from(ppm) / 1e6; // of the holder's clock
            let shown = |true_ms: f64| Duration::from_nanos((true_ms * rate * 1e6) as u64);
            let mut lease = Lease::default();
            lease.granted(shown(asked), Duration::from_millis(length), Drift::ppm(ppm));
            let past = asked + length as f64 + 1e-3;
            prop_assert!(lease.right(shown(past)).is_none());
        }
    }
}
