//! Admission of new backends: which entries of a list are taken where memory has no room for all of them.
//!
//! Entries about known backends are always taken, so that a drain or removal takes effect however long the list is, and a known
//! backend is not taken for a missing one. New ones are taken in the order of the list while there is room, and up to
//! [`ALWAYS_ADMITTED`] in any case: without backends a process that starts beside a crowd could serve nobody.

use std::cell::RefCell;
use std::rc::Rc;

use rustc_hash::FxHashSet;
use wharfhitch::settings::number_of;

/// Number of backends that are listed however little memory is left.
pub const ALWAYS_ADMITTED: usize = 1024;

/// The numbers of the backends that are on the list, shared by the core and those that read lists.
#[derive(Clone, Default)]
pub struct ListedBackends(Rc<RefCell<FxHashSet<u64>>>);

impl ListedBackends {
    pub(crate) fn insert(&self, number: u64) {
        self.0.borrow_mut().insert(number);
    }

    pub(crate) fn remove(&self, number: u64) {
        self.0.borrow_mut().remove(&number);
    }

    pub(crate) fn retain(&self, stays: impl Fn(u64) -> bool) {
        self.0.borrow_mut().retain(|number| stays(*number));
    }

    fn len(&self) -> usize {
        self.0.borrow().len()
    }

    fn contains(&self, number: u64) -> bool {
        self.0.borrow().contains(&number)
    }
}

/// Admits the entries of one list.
pub struct ListAdmission {
    listed: ListedBackends,
    /// New backends that there is room for.
    room: usize,
    refused: usize,
}

impl ListAdmission {
    /// Admission of a list while `listed` are known and there is room for `room` further backends.
    pub fn new(listed: &ListedBackends, room: usize) -> Self {
        let room = room.max(ALWAYS_ADMITTED.saturating_sub(listed.len()));
        ListAdmission { listed: listed.clone(), room, refused: 0 }
    }

    /// Whether the entry of a backend is taken, by the backend's name.
    pub fn admits(&mut self, name: &str) -> bool {
        if self.listed.contains(number_of(name)) {
            return true;
        }
        match self.room.checked_sub(1) {
            Some(room) => {
                self.room = room;
                true
            }
            None => {
                self.refused += 1;
                false
            }
        }
    }

    /// Number of entries that were not taken.
    pub fn refused(&self) -> usize {
        self.refused
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The backends `0..count` by name.
    fn names(count: usize) -> Vec<String> {
        (0..count).map(|n| format!("s-{n}")).collect()
    }

    /// How many names are taken and refused while `known` backends with the first of these names are listed.
    fn taken(names: &[String], known: usize, room: usize) -> (usize, usize) {
        let listed = ListedBackends::default();
        names[..known].iter().for_each(|name| listed.insert(number_of(name)));
        let mut admission = ListAdmission::new(&listed, room);
        let taken = names.iter().filter(|name| admission.admits(name)).count();
        (taken, admission.refused())
    }

    #[test]
    fn a_list_that_fits_is_taken_whole() {
        assert_eq!(taken(&names(5000), 0, 5000), (5000, 0));
        assert_eq!(taken(&names(5000), 2000, 3000), (5000, 0));
    }

    #[test]
    fn known_backends_are_taken_without_room() {
        assert_eq!(taken(&names(5000), 2000, 0), (2000, 3000));
        assert_eq!(taken(&names(5000), 2000, 10), (2010, 2990));
    }

    #[test]
    fn a_thousand_backends_are_taken_without_room() {
        assert_eq!(taken(&names(5000), 0, 0), (ALWAYS_ADMITTED, 5000 - ALWAYS_ADMITTED));
        assert_eq!(taken(&names(5000), 1000, 0), (ALWAYS_ADMITTED, 5000 - ALWAYS_ADMITTED));
    }

    #[test]
    fn a_backend_that_has_left_the_list_is_new_again() {
        let (listed, names) = (ListedBackends::default(), names(ALWAYS_ADMITTED + 1));
        names.iter().for_each(|name| listed.insert(number_of(name)));
        assert!(ListAdmission::new(&listed, 0).admits(&names[0]));
        listed.remove(number_of(&names[0]));
        assert!(!ListAdmission::new(&listed, 0).admits(&names[0]));
    }
}
