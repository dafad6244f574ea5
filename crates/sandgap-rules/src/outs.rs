//! Checks maintenance permits, called outs: how many backends were out of service at once, whether a request arrived at one
//! after its holder had been told that it is empty, and whether an out was granted after a halt. The input is what backends
//! received and holders were told; the contents of permits are not looked at.

use std::collections::BTreeMap;

use crate::Micros;

/// A breach of the rules for outs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutBreach {
    /// More backends were out at once than the bound allows.
    TooMany {
        /// When the last of them was reported empty.
        at: Micros,
        /// The backends that were out.
        out: Vec<usize>,
    },
    /// A request arrived at a backend after its holder had been told that it is empty.
    Sent {
        /// The backend.
        backend: usize,
        /// When the holder was told that it is empty.
        empty: Micros,
        /// When the request arrived.
        at: Micros,
        /// The request's id, as its sender gave it.
        id: String,
    },
    /// The out was requested after a halt had been acknowledged, and the backend was reported empty before grants resumed.
    AfterHalt {
        /// The backend.
        backend: usize,
        /// When the halt was acknowledged.
        halted: Micros,
        /// When the holder was told that the backend is empty.
        at: Micros,
    },
}

/// Checks the outs of a run.
#[derive(Clone, Debug, Default)]
pub struct Outs {
    bound: usize,
    /// Backends that are out, and since when.
    empty: BTreeMap<usize, Micros>,
    /// When the current halt was acknowledged, if one is surely in force.
    halted: Option<Micros>,
    breaches: Vec<OutBreach>,
    /// How often a holder was told that its backend is empty.
    pub outs: u64,
    /// The largest number of backends that were out at once.
    pub most: usize,
}

impl Outs {
    /// A checker that allows at most `bound` backends to be out at once.
    pub fn new(bound: usize) -> Self {
        Outs { bound, ..Outs::default() }
    }

    /// A holder that requested its out at `asked` was told at `at` that its backend is empty.
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

    /// The holder of a backend is about to report that it is done with it.
    pub fn back(&mut self, backend: usize) {
        self.empty.remove(&backend);
    }

    /// The first byte of a request arrived at a backend.
    pub fn request(&mut self, backend: usize, at: Micros, id: &str) {
        if let Some(empty) = self.empty.get(&backend).copied().filter(|empty| at > *empty) {
            self.breaches.push(OutBreach::Sent { backend, empty, at, id: id.to_owned() });
        }
    }

    /// A halt has been acknowledged.
    pub fn halted(&mut self, at: Micros) {
        self.halted = self.halted.or(Some(at));
    }

    /// Grants are about to resume.
    pub fn resumes(&mut self) {
        self.halted = None;
    }

    /// The breaches found so far.
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
    fn an_out_requested_before_a_halt_may_complete_and_one_requested_after_it_may_not() {
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
