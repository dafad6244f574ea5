//! Admission of answers that are passed on before their length is known.
//!
//! An answer that has begun is never ended by the proxy, so one whose backend hangs holds its sockets for as long as its client
//! waits. Whether it may begin is therefore decided before its first byte: answers that have not shown yet that they are
//! long may hold only a part of the sockets to backends, and those of one backend only half of that part, so that one
//! broken backend does not take the others' room. An answer that is not admitted is gathered until it is complete, has shown
//! that it is long, or its client's time is over.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rustc_hash::FxHashMap;

/// Part of the sockets to backends that such answers may hold, as numerator and denominator.
const SOCKETS_PART: (usize, usize) = (3, 4);
/// One backend may hold this part of them.
const BACKEND_DIVISOR: usize = 2;

/// Counts the answers in progress whose length is not known, and decides whether another one may begin.
pub struct StreamAdmission {
    sockets: Cell<usize>,
    /// Answers by the number of the backend's endpoint; those without an answer are removed.
    open: RefCell<FxHashMap<u64, usize>>,
    total: Cell<usize>,
}

impl StreamAdmission {
    /// Creates the admission for a number of sockets to backends.
    pub fn new(sockets: usize) -> Rc<Self> {
        Rc::new(StreamAdmission {
            sockets: Cell::new(sockets),
            open: RefCell::default(),
            total: Cell::default(),
        })
    }

    /// Changes the number of sockets to backends. Answers that have begun go on.
    pub fn set_sockets(&self, sockets: usize) {
        self.sockets.set(sockets);
    }

    /// Whether another answer of this backend may begin.
    pub fn admits(&self, backend: u64) -> bool {
        let limit = self.sockets.get() * SOCKETS_PART.0 / SOCKETS_PART.1;
        let of_backend = self.open.borrow().get(&backend).copied().unwrap_or(0);
        self.total.get() < limit && of_backend < limit.div_ceil(BACKEND_DIVISOR)
    }

    /// Number of answers that have begun and whose length is not known.
    pub fn total(&self) -> usize {
        self.total.get()
    }

    /// Records that an answer of this backend has begun; it counts until the returned value is dropped.
    pub fn begin(self: &Rc<Self>, backend: u64) -> StreamSlot {
        *self.open.borrow_mut().entry(backend).or_default() += 1;
        self.total.set(self.total.get() + 1);
        StreamSlot { admission: self.clone(), backend }
    }
}

/// An answer in progress whose length is not known.
pub struct StreamSlot {
    admission: Rc<StreamAdmission>,
    backend: u64,
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        let mut open = self.admission.open.borrow_mut();
        self.admission.total.set(self.admission.total.get() - 1);
        if let Some(count) = open.get_mut(&self.backend) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.backend);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Begins answers of a backend until one is not admitted.
    fn fill(admission: &Rc<StreamAdmission>, backend: u64) -> Vec<StreamSlot> {
        let mut slots = Vec::new();
        while admission.admits(backend) {
            slots.push(admission.begin(backend));
        }
        slots
    }

    #[test]
    fn one_backend_leaves_room_for_the_answers_of_others() {
        let admission = StreamAdmission::new(256);
        let broken = fill(&admission, 1);
        assert_eq!(broken.len(), 96);
        let other = fill(&admission, 2);
        assert_eq!((other.len(), admission.total()), (96, 192), "a quarter of the sockets stays free");
        assert!(!admission.admits(3));
        drop(other);
        assert!(admission.admits(3) && !admission.admits(1));
        drop(broken);
        assert!(admission.admits(1) && admission.total() == 0 && admission.open.borrow().is_empty());
    }

    #[test]
    fn fewer_sockets_end_no_answer_that_has_begun() {
        let admission = StreamAdmission::new(256);
        let slots = fill(&admission, 1);
        admission.set_sockets(64);
        assert!(!admission.admits(2) && admission.total() == slots.len());
        drop(slots);
        assert_eq!(fill(&admission, 2).len(), 24);
    }

    #[test]
    fn with_few_sockets_one_answer_is_admitted() {
        for sockets in 2..8 {
            assert!(StreamAdmission::new(sockets).admits(1), "{sockets}");
        }
    }
}
