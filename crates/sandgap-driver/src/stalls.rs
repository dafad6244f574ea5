//! Detection of backends that begin answers and then hang.
//!
//! One answer that pauses tells nothing: its backend may be working on the rest. A backend is taken for hung in a class once
//! several of its answers in that class have been silent for longer than its pauses usually are, and nothing of any other
//! has arrived meanwhile. No answer is ended for it; it only decides where further requests go.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use wharfhitch::ClassId;

use crate::core::Time;

/// Silence after which an answer counts as stalled, at least.
const MIN_STALL: Duration = Duration::from_millis(750);
/// Bytes that come within this time of an answer's begin belong to its begin.
const BEGIN: Duration = Duration::from_millis(250);
/// A backend that has paused before and gone on is silent for this multiple of its longest pause before it counts.
const PAUSE_FACTOR: u32 = 2;
/// Answers that have to stall.
const MIN_STALLED: usize = 3;

/// A change of what is known about a backend in a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Number of the backend's endpoint.
    pub endpoint: u64,
    /// The class of the answers.
    pub class: ClassId,
    /// More of its answers have stalled; false if it goes on.
    pub is_stalled: bool,
}

/// Watches the answers that have begun and are incomplete.
#[derive(Default)]
pub struct StallDetector {
    backends: RefCell<FxHashMap<(u64, ClassId), Rc<BackendClass>>>,
}

/// The answers of one backend in one class.
#[derive(Default)]
struct BackendClass {
    answers: RefCell<Vec<Rc<AnswerWatch>>>,
    /// Answers given up while they stalled, since the backend last went on.
    given_up: Cell<usize>,
    /// The longest pause after which an answer went on.
    longest_pause: Cell<Duration>,
    /// When the backend last went on with an answer or completed one.
    went_on_at: Cell<Option<Time>>,
    /// When the backend was last reported as stalled, and for how many answers.
    reported: Cell<Option<(Time, usize)>>,
}

impl BackendClass {
    fn went_on(&self, now: Time) {
        self.went_on_at.set(Some(now));
        self.given_up.set(0);
    }

    /// Silence after which an answer counts as stalled.
    fn limit(&self) -> Duration {
        MIN_STALL.max(self.longest_pause.get() * PAUSE_FACTOR)
    }

    /// Number of answers that have stalled since the backend last went on.
    fn stalled(&self, now: Time) -> usize {
        let limit = self.limit();
        self.given_up.get() + self.answers.borrow().iter().filter(|a| a.silence(now) >= limit).count()
    }

    /// What has changed; `None` for nothing.
    fn review(&self, now: Time) -> Option<bool> {
        let stalled = self.stalled(now);
        match self.reported.get() {
            Some((at, _)) if self.went_on_at.get().is_some_and(|went_on| went_on > at) => {
                self.reported.set(None);
                Some(false)
            }
            Some((_, known)) if stalled > known => {
                self.reported.set(Some((now, stalled)));
                Some(true)
            }
            None if stalled >= MIN_STALLED && self.is_silent(now) => {
                self.reported.set(Some((now, stalled)));
                Some(true)
            }
            _ => None,
        }
    }

    fn is_silent(&self, now: Time) -> bool {
        self.went_on_at.get().is_none_or(|at| now.saturating_sub(at) >= self.limit())
    }

    fn is_unused(&self) -> bool {
        self.answers.borrow().is_empty() && self.given_up.get() == 0 && self.reported.get().is_none()
    }
}

/// An answer that has begun and is incomplete.
pub struct AnswerWatch {
    backend: Rc<BackendClass>,
    began: Time,
    last_byte: Cell<Time>,
    waits_for_client: Cell<bool>,
}

impl AnswerWatch {
    /// Bytes of it have arrived. The first ones after its begin don't show that its backend goes on.
    pub fn received(&self, now: Time) {
        let pause = now.saturating_sub(self.last_byte.replace(now));
        if now.saturating_sub(self.began) < BEGIN {
            return;
        }
        let backend = &self.backend;
        if !self.waits_for_client.get() {
            backend.longest_pause.set(backend.longest_pause.get().max(pause));
        }
        backend.went_on(now);
    }

    /// Whether the client, and not the backend, is awaited.
    pub fn set_waits_for_client(&self, now: Time, waits: bool) {
        if self.waits_for_client.replace(waits) {
            self.last_byte.set(now);
        }
    }

    /// It is given up or has broken off, or its backend has completed it.
    pub fn end(self: &Rc<Self>, now: Time, is_complete: bool) {
        let backend = &self.backend;
        if is_complete {
            backend.went_on(now);
        } else if self.silence(now) >= backend.limit() {
            backend.given_up.set(backend.given_up.get() + 1);
        }
        backend.answers.borrow_mut().retain(|answer| !Rc::ptr_eq(answer, self));
    }

    /// Whether an earlier answer of its backend has stalled until it was given up, and nothing has come of any since.
    pub fn follows_stalled(&self) -> bool {
        self.backend.given_up.get() > 0
    }

    /// Whether its backend is known to go on after as long a pause as the present one, and by `until`.
    pub fn is_expected_by(&self, now: Time, until: Time) -> bool {
        let (silence, pause) = (self.silence(now), self.backend.longest_pause.get());
        silence <= pause && (now + pause).saturating_sub(silence) <= until
    }

    /// For how long its backend has been silent.
    pub fn silence(&self, now: Time) -> Duration {
        if self.waits_for_client.get() { Duration::ZERO } else { now.saturating_sub(self.last_byte.get()) }
    }
}

impl StallDetector {
    /// Watches an answer whose head has arrived; until [`AnswerWatch::end`] is called.
    pub fn begin(&self, now: Time, endpoint: u64, class: ClassId) -> Rc<AnswerWatch> {
        let backend = self.backends.borrow_mut().entry((endpoint, class)).or_default().clone();
        let watch = Rc::new(AnswerWatch {
            backend: backend.clone(),
            began: now,
            last_byte: Cell::new(now),
            waits_for_client: Cell::new(false),
        });
        backend.answers.borrow_mut().push(watch.clone());
        watch
    }

    /// A backend has given a whole answer that was not watched.
    pub fn completed(&self, now: Time, endpoint: u64, class: ClassId) {
        if let Some(backend) = self.backends.borrow().get(&(endpoint, class)) {
            backend.went_on(now);
        }
    }

    /// An endpoint gets no more requests.
    pub fn forget(&self, endpoint: u64) {
        self.backends.borrow_mut().retain(|(number, _), _| *number != endpoint);
    }

    /// Finds the backends that have stalled, or gone on after it; called about once a second.
    pub fn review(&self, now: Time) -> Vec<Stall> {
        let mut changes = Vec::new();
        self.backends.borrow_mut().retain(|(endpoint, class), backend| {
            let change = backend.review(now);
            changes.extend(change.map(|is_stalled| Stall { endpoint: *endpoint, class: *class, is_stalled }));
            !backend.is_unused()
        });
        changes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CLASS: ClassId = ClassId(0);

    fn at(ms: u64) -> Time {
        Time::from_millis(ms)
    }

    /// Reviews once a second up to a time; returns what changed, with the second.
    fn review_until(detector: &StallDetector, seconds: std::ops::RangeInclusive<u64>) -> Vec<(u64, bool)> {
        let review =
            |second: u64| detector.review(at(second * 1000)).into_iter().map(move |s| (second, s.is_stalled));
        seconds.flat_map(review).collect()
    }

    #[test]
    fn a_backend_whose_answers_all_hang_is_found() {
        let detector = StallDetector::default();
        let watches: Vec<_> = (0..3).map(|n| detector.begin(at(n * 100), 1, CLASS)).collect();
        watches.iter().for_each(|watch| watch.received(at(240)));
        assert_eq!(review_until(&detector, 1..=5), [(1, true)]);
        detector.begin(at(5000), 1, CLASS);
        assert_eq!(review_until(&detector, 6..=9), [(6, true)], "one more is enough then");
    }

    #[test]
    fn one_pause_and_two_are_no_fault() {
        let detector = StallDetector::default();
        let _watches: Vec<_> = (0..2).map(|_| detector.begin(at(0), 1, CLASS)).collect();
        assert_eq!(review_until(&detector, 1..=60), []);
    }

    #[test]
    fn a_backend_that_goes_on_with_any_answer_is_not_hung() {
        let detector = StallDetector::default();
        let watches: Vec<_> = (0..9).map(|_| detector.begin(at(0), 1, CLASS)).collect();
        for second in 1..60 {
            watches[0].received(at(second * 1000 - 100));
            assert_eq!(detector.review(at(second * 1000)), []);
        }
    }

    #[test]
    fn a_backend_that_usually_pauses_for_long_is_given_longer() {
        let detector = StallDetector::default();
        let watches: Vec<_> = (0..4).map(|_| detector.begin(at(0), 1, CLASS)).collect();
        watches[0].received(at(2500));
        assert_eq!(review_until(&detector, 3..=7), []);
        assert_eq!(review_until(&detector, 8..=8), [(8, true)], "twice the longest pause has passed");
    }

    #[test]
    fn answers_given_up_while_they_stall_count_until_the_backend_completes_one() {
        let detector = StallDetector::default();
        for n in 0..3 {
            detector.begin(at(n * 2000), 1, CLASS).end(at(n * 2000 + 1500), false);
        }
        assert_eq!(review_until(&detector, 6..=8), [(6, true)]);
        detector.completed(at(8500), 1, CLASS);
        assert_eq!(review_until(&detector, 9..=12), [(9, false)]);
        assert!(detector.backends.borrow().is_empty());
    }

    #[test]
    fn a_client_that_reads_nothing_is_not_its_backend_s_stall() {
        let detector = StallDetector::default();
        let watches: Vec<_> = (0..5).map(|_| detector.begin(at(0), 1, CLASS)).collect();
        watches.iter().for_each(|watch| watch.set_waits_for_client(at(100), true));
        assert_eq!(review_until(&detector, 1..=30), []);
        watches.iter().for_each(|watch| watch.set_waits_for_client(at(30_000), false));
        assert_eq!(review_until(&detector, 30..=32), [(31, true)]);
    }

    #[test]
    fn classes_and_backends_are_told_apart() {
        let detector = StallDetector::default();
        for n in 0..9 {
            detector.begin(at(0), n % 3, ClassId((n / 3) as usize % 3));
        }
        detector.begin(at(0), 1, CLASS);
        detector.begin(at(0), 1, CLASS);
        detector.forget(7);
        assert_eq!(detector.review(at(2000)), [Stall { endpoint: 1, class: CLASS, is_stalled: true }]);
        detector.forget(1);
        assert_eq!(detector.review(at(3000)), []);
    }
}
