//! The lease used for rules, handovers between processes and budgets, and the right to act under it.
//!
//! A holder sends a request at a time *a* on its own clock. The grantor confirms that something held at some moment after
//! it received the request, thus after *a*. The lease ends a fixed term after *a*, on the holder's clock, minus the
//! configured drift (Gray and Cheriton, "Leases", 1989, section 3.1, with the term counted from the request). The transit
//! time of the answer therefore doesn't matter: a late answer grants less time or none. After a standstill the holder
//! finds its lease expired, since its clock has kept running.
//!
//! Functions that may only be called under a lease take a [`LeasePermission`], which only [`Lease::permission`] creates, so that a
//! forgotten check does not compile.

use std::collections::VecDeque;
use std::marker::PhantomData;
use std::time::Duration;

use crate::clock::{Drift, Time};
use crate::limits::MAX_PENDING_ASKS;

/// A holder's lease, with its end on the holder's own clock.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// End of the lease; `None` before the first grant and after it was released.
    end: Option<Time>,
}

/// Permission to act now under a live lease. It can't outlive the borrow of the lease, and only [`Lease::permission`] creates
/// it.
#[derive(Debug)]
pub struct LeasePermission<'a> {
    until: Time,
    lease: PhantomData<&'a Lease>,
}

impl LeasePermission<'_> {
    /// End of the underlying lease, on the holder's clock.
    pub fn until(&self) -> Time {
        self.until
    }
}

impl Lease {
    /// Applies a grant for a request sent at `asked`: the lease ends at most `length` of true time after that. A delayed
    /// older grant never shortens a newer one.
    pub fn granted(&mut self, asked: Time, length: Duration, drift: Drift) {
        let end = asked.saturating_add(drift.at_most(length));
        self.end = Some(self.end.map_or(end, |old| old.max(end)));
    }

    /// Permission to act at `now`, if the lease has not ended.
    pub fn permission(&self, now: Time) -> Option<LeasePermission<'_>> {
        let until = self.end.filter(|end| now < *end)?;
        Some(LeasePermission { until, lease: PhantomData })
    }

    /// Remaining time.
    pub fn left(&self, now: Time) -> Duration {
        self.end.map_or(Duration::ZERO, |end| end.saturating_sub(now))
    }

    /// End of the lease, if it was granted.
    pub fn end(&self) -> Option<Time> {
        self.end
    }

    /// Releases the lease: it is no longer held.
    pub fn release(&mut self) {
        self.end = None;
    }
}

/// Numbers a holder's lease requests and remembers when each was sent.
///
/// Numbers start at a random value at each process start, so that an answer to the previous process matches no request.
#[derive(Clone, Debug)]
pub struct RequestTracker {
    next: u64,
    asked: VecDeque<(u64, Time)>,
}

impl RequestTracker {
    /// A tracker whose numbers begin at `first`, a fresh random value for each process.
    pub fn new(first: u64) -> Self {
        RequestTracker { next: first, asked: VecDeque::new() }
    }

    /// Records a request sent now and returns its number.
    pub fn record_request(&mut self, now: Time) -> u64 {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        if self.asked.len() == MAX_PENDING_ASKS {
            self.asked.pop_front();
        }
        self.asked.push_back((number, now));
        number
    }

    /// When the request that an answer names was sent. Each answer counts once. Requests older than an answered one are
    /// dropped, since their answers could not extend the lease.
    pub fn take_request(&mut self, number: u64) -> Option<Time> {
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
    fn it_ends_a_fixed_term_after_the_request_however_late_the_answer() {
        let mut lease = Lease::default();
        assert!(lease.permission(ms(0)).is_none());
        let mut tracker = RequestTracker::new(7);
        let number = tracker.record_request(ms(100));
        // The answer arrives 900 ms later: 100 ms are left, minus the drift.
        lease.granted(tracker.take_request(number).expect("asked"), LENGTH, Drift::ppm(10_000));
        assert!(lease.permission(ms(1000)).is_some());
        assert_eq!(lease.left(ms(1000)), ms(90));
        assert!(lease.permission(ms(1090)).is_none());
    }

    #[test]
    fn late_repeated_and_unknown_answers_change_nothing() {
        let mut tracker = RequestTracker::new(u64::MAX);
        let (first, second) = (tracker.record_request(ms(0)), tracker.record_request(ms(10)));
        assert_eq!(second, 0, "numbers wrap around");
        assert_eq!(tracker.take_request(second), Some(ms(10)));
        assert_eq!(tracker.take_request(second), None);
        assert_eq!(tracker.take_request(first), None);
        let mut lease = Lease::default();
        lease.granted(ms(10), LENGTH, Drift::ppm(0));
        lease.granted(ms(0), LENGTH, Drift::ppm(0));
        assert_eq!(lease.end(), Some(ms(1010)));
    }

    #[test]
    fn unanswered_requests_are_bounded() {
        let mut tracker = RequestTracker::new(0);
        let all: Vec<u64> =
            (0..2 * MAX_PENDING_ASKS as u64).map(|at| tracker.record_request(ms(at))).collect();
        assert_eq!(tracker.take_request(all[0]), None);
        assert_eq!(tracker.take_request(all[MAX_PENDING_ASKS]), Some(ms(MAX_PENDING_ASKS as u64)));
    }

    proptest! {
        /// In true time no lease lasts longer than its length after the request, at any clock rate within the drift.
        #[test]
        fn no_lease_outlives_its_length_with_a_clock_within_the_drift(
            asked in 0.0..1e6f64, rate in -1.0..1.0f64, ppm in 0u32..50_000, length in 1u64..60_000,
        ) {
            let rate = 1.0 + rate * f64::from(ppm) / 1e6; // rate of the holder's clock
            let shown = |true_ms: f64| Duration::from_nanos((true_ms * rate * 1e6) as u64);
            let mut lease = Lease::default();
            lease.granted(shown(asked), Duration::from_millis(length), Drift::ppm(ppm));
            let past = asked + length as f64 + 1e-3;
            prop_assert!(lease.permission(shown(past)).is_none());
        }
    }
}
