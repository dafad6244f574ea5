//! Admission of new backends: which entries of a list are taken where memory has no room for all of them.
//!
//! Entries about known backends are always taken, so that a drain or removal takes effect however long the list is, and a known
//! backend is not taken for a missing one. New ones are taken in the order of the list while there is room.

use std::cell::RefCell;
use std::rc::Rc;

use rustc_hash::FxHashSet;
use wharfhitch::settings::number_of;

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

    /// The names that are taken, in order, and the number of those that are not.
    fn taken<'a>(names: &[&'a str], known: &[&str], room: usize) -> (Vec<&'a str>, usize) {
        let listed = ListedBackends::default();
        known.iter().for_each(|name| listed.insert(number_of(name)));
        let mut admission = ListAdmission::new(&listed, room);
        let taken = names.iter().copied().filter(|name| admission.admits(name)).collect();
        (taken, admission.refused())
    }

    #[test]
    fn a_list_that_fits_is_taken_whole() {
        assert_eq!(taken(&["a", "b", "c"], &[], 3), (vec!["a", "b", "c"], 0));
    }

    #[test]
    fn known_backends_are_taken_without_room() {
        assert_eq!(taken(&["a", "b", "c"], &["c"], 0), (vec!["c"], 2));
        assert_eq!(taken(&["a", "b", "c"], &["c"], 1), (vec!["a", "c"], 1));
    }

    #[test]
    fn a_backend_that_has_left_the_list_is_new_again() {
        let listed = ListedBackends::default();
        listed.insert(number_of("a"));
        listed.remove(number_of("a"));
        assert!(!ListAdmission::new(&listed, 0).admits("a"));
    }
}
