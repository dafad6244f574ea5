//! Whether outs were kept: how many backends were their holders' at once, what came to one after it had been told empty,
//! and what went out after a halt. Fed by what backends saw and holders were told; it knows no permit's inside.

use std::collections::BTreeMap;

use crate::Micros;

/// Something that was wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutBreach {
    /// More were told empty at once than the bound allows.
    TooMany {
        /// When.
        at: Micros,
        /// Which.
        out: Vec<usize>,
    },
    /// A request came to a backend that its holder had been told to be empty.
    Sent {
        /// Which backend.
        backend: usize,
        /// When it was told empty.
        empty: Micros,
        /// When the request came.
        at: Micros,
        /// Which one, as its sender named it.
        id: String,
    },
    /// Asked for after a halt was acknowledged, and told empty before anybody let grants go on.
    AfterHalt {
        /// Which backend.
        backend: usize,
        /// When the halt was acknowledged.
        halted: Micros,
        /// When it was told empty.
        at: Micros,
    },
}

/// Follows outs through a run.
#[derive(Clone, Debug, Default)]
pub struct Outs {
    bound: usize,
    /// Backends that are their holders', since when.
    empty: BTreeMap<usize, Micros>,
    /// Since when a halt stands, as far as is surely known.
    halted: Option<Micros>,
    breaches: Vec<OutBreach>,
    /// Times that a backend was told empty.
    pub outs: u64,
    /// The most at once.
    pub most: usize,
}

impl Outs {
    /// At most so many may be out at once.
    pub fn new(bound: usize) -> Self {
        Outs { bound, ..Outs::default() }
    }

    /// A holder that asked at `asked` was told now that its backend is empty.
    pub fn empty(&mut self, backend: usize, asked: Micros, at: Micros) {
        self.outs += 1;
        self.empty.insert(backend, at);
        self.most = self.most.max(self.empty.len());
        if self.empty.len() > self.bound {
            self.breaches.push(OutBreach::TooMany { at, out: self.empty.keys().copied().collect() });
        }
        if let Some(halted) = self.halted.filter(|halted| asked > *halted) {
            self.breaches.push(OutBreach::AfterHalt { backend, halted, at });
        }
    }

    /// A holder is about to say that it is done.
    pub fn back(&mut self, backend: usize) {
        self.empty.remove(&backend);
    }

    /// A request's first byte came to a backend.
    pub fn request(&mut self, backend: usize, at: Micros, id: &str) {
        if let Some(empty) = self.empty.get(&backend).copied().filter(|empty| at > *empty) {
            self.breaches.push(OutBreach::Sent { backend, empty, at, id: id.to_owned() });
        }
    }

    /// A halt has been acknowledged.
    pub fn halted(&mut self, at: Micros) {
        self.halted = self.halted.or(Some(at));
    }

    /// Somebody is about to let grants go on.
    pub fn resumes(&mut self) {
        self.halted = None;
    }

    /// What was wrong.
    pub fn breaches(&self) -> &[OutBreach] {
        &self.breaches
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_breach_is_found_and_nothing_else() {
        let mut outs = Outs::new(2);
        outs.request(0, 5, "early");
        outs.empty(0, 1, 10);
        outs.request(0, 10, "under way when it was told");
        outs.request(1, 20, "another");
        outs.empty(1, 2, 30);
        outs.back(0);
        outs.request(0, 40, "back");
        outs.empty(2, 3, 50);
        assert!(outs.breaches().is_empty());
        outs.empty(3, 4, 60);
        assert_eq!(outs.breaches(), [OutBreach::TooMany { at: 60, out: vec![1, 2, 3] }]);
        outs.request(1, 70, "r");
        assert!(matches!(outs.breaches()[1], OutBreach::Sent { backend: 1, empty: 30, at: 70, .. }));
        assert_eq!((outs.outs, outs.most), (4, 3));
    }

    #[test]
    fn what_was_asked_before_a_halt_may_still_end_well_and_what_is_asked_after_it_may_not() {
        let mut outs = Outs::new(9);
        outs.halted(100);
        outs.empty(0, 99, 120);
        assert!(outs.breaches().is_empty());
        outs.empty(1, 101, 130);
        assert_eq!(outs.breaches(), [OutBreach::AfterHalt { backend: 1, halted: 100, at: 130 }]);
        outs.resumes();
        outs.empty(2, 131, 140);
        assert_eq!(outs.breaches().len(), 1);
    }
}
