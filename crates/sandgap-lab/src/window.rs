//! A table of consecutively numbered items of which only recent ones remain, such as requests and attempts in flight.
//! A lookup is one index operation, and memory grows with what is in flight, not with the length of the run.

use std::collections::VecDeque;

/// Items with consecutive numbers.
pub struct Window<T> {
    first: u32,
    slots: VecDeque<Option<T>>,
    held: usize,
}

impl<T> Default for Window<T> {
    fn default() -> Self {
        Window { first: 0, slots: VecDeque::new(), held: 0 }
    }
}

impl<T> Window<T> {
    /// Adds an item and returns its number.
    pub fn add(&mut self, item: T) -> u32 {
        self.slots.push_back(Some(item));
        self.held += 1;
        self.first + (self.slots.len() - 1) as u32
    }

    /// The item of a number, if it was not removed.
    pub fn get(&self, number: u32) -> Option<&T> {
        self.slots.get(number.checked_sub(self.first)? as usize)?.as_ref()
    }

    /// The item of a number as a mutable reference, if it was not removed.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut T> {
        self.slots.get_mut(number.checked_sub(self.first)? as usize)?.as_mut()
    }

    /// Removes and returns an item.
    pub fn remove(&mut self, number: u32) -> Option<T> {
        let item = self.slots.get_mut(number.checked_sub(self.first)? as usize)?.take();
        self.held -= usize::from(item.is_some());
        while let Some(None) = self.slots.front() {
            self.slots.pop_front();
            self.first += 1;
        }
        item
    }

    /// The remaining items, in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        let first = self.first;
        self.slots.iter().enumerate().filter_map(move |(i, t)| Some((first + i as u32, t.as_ref()?)))
    }

    /// How many items remain.
    pub fn held(&self) -> usize {
        self.held
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_stable_and_removed_items_take_no_memory() {
        let mut w = Window::default();
        for i in 0..1000u32 {
            assert_eq!(w.add(i), i);
            if i >= 10 {
                assert_eq!(w.remove(i - 10), Some(i - 10));
                assert_eq!(w.remove(i - 10), None);
            }
            assert!(w.slots.len() <= 11 && w.held() <= 11);
        }
        assert_eq!(w.get(995), Some(&995));
        assert_eq!(w.get(1), None);
        assert_eq!(w.iter().map(|(n, _)| n).collect::<Vec<_>>(), (990..1000).collect::<Vec<_>>());
    }
}
