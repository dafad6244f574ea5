//! Things numbered one after another, of which only the last ones are still there: requests and attempts in
//! flight. Finding one costs an index, and memory follows what is in flight, not the length of the run.

use std::collections::VecDeque;

/// Numbered things.
pub struct Window<T> {
    first: u32,
    all: VecDeque<Option<T>>,
    held: usize,
}

impl<T> Default for Window<T> {
    fn default() -> Self {
        Window { first: 0, all: VecDeque::new(), held: 0 }
    }
}

impl<T> Window<T> {
    /// Adds a thing and tells its number.
    pub fn add(&mut self, thing: T) -> u32 {
        self.all.push_back(Some(thing));
        self.held += 1;
        self.first + (self.all.len() - 1) as u32
    }

    /// The thing of a number, if it is still there.
    pub fn get(&self, number: u32) -> Option<&T> {
        self.all.get(number.checked_sub(self.first)? as usize)?.as_ref()
    }

    /// The same, to change it.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut T> {
        self.all.get_mut(number.checked_sub(self.first)? as usize)?.as_mut()
    }

    /// Takes a thing out.
    pub fn remove(&mut self, number: u32) -> Option<T> {
        let thing = self.all.get_mut(number.checked_sub(self.first)? as usize)?.take();
        self.held -= usize::from(thing.is_some());
        while let Some(None) = self.all.front() {
            self.all.pop_front();
            self.first += 1;
        }
        thing
    }

    /// What is there, in the order of the numbers.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        let first = self.first;
        self.all.iter().enumerate().filter_map(move |(i, t)| Some((first + i as u32, t.as_ref()?)))
    }

    /// How many are there.
    pub fn held(&self) -> usize {
        self.held
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_stay_and_what_is_gone_takes_no_room() {
        let mut w = Window::default();
        for i in 0..1000u32 {
            assert_eq!(w.add(i), i);
            if i >= 10 {
                assert_eq!(w.remove(i - 10), Some(i - 10));
                assert_eq!(w.remove(i - 10), None);
            }
            assert!(w.all.len() <= 11 && w.held() <= 11);
        }
        assert_eq!(w.get(995), Some(&995));
        assert_eq!(w.get(1), None);
        assert_eq!(w.iter().map(|(n, _)| n).collect::<Vec<_>>(), (990..1000).collect::<Vec<_>>());
    }
}
