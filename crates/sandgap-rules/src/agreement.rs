//! Measures for how long proxies acted on two contradicting versions of the fleet's rules at the same time, from the requests
//! that backends received.
//!
//! A version is in use from the first request that a proxy sent under it to the last. Of two contradicting versions, the
//! overlap is the time from the first request under the later one to the last request under the earlier one; the caller bounds
//! it.

use std::collections::BTreeMap;

use crate::Micros;

/// A request that a proxy sent under a version, as its backend saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acted {
    /// The version.
    pub version: u64,
    /// The proxy that sent it.
    pub proxy: u16,
    /// When its first byte arrived at the backend.
    pub at: Micros,
}

/// The time during which two contradicting versions were both in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// Duration of the overlap.
    pub span: Micros,
    /// The last request under the earlier version.
    pub old: Acted,
    /// The first request under the later version.
    pub new: Acted,
}

/// Records the use of versions during a run.
#[derive(Clone, Debug, Default)]
pub struct Agreement {
    first: BTreeMap<u64, Acted>,
    last: BTreeMap<u64, Acted>,
}

impl Agreement {
    /// Records a request. Requests may be recorded in any order.
    pub fn note(&mut self, acted: Acted) {
        let first = self.first.entry(acted.version).or_insert(acted);
        if acted.at < first.at {
            *first = acted;
        }
        let last = self.last.entry(acted.version).or_insert(acted);
        if acted.at > last.at {
            *last = acted;
        }
    }

    /// Versions under which at least one request was sent, in ascending order.
    pub fn versions(&self) -> impl Iterator<Item = u64> {
        self.first.keys().copied()
    }

    /// The longest overlap of two versions that contradict each other.
    pub fn longest(&self, contradict: impl Fn(u64, u64) -> bool) -> Option<Overlap> {
        let mut longest: Option<Overlap> = None;
        for (old, last) in &self.last {
            for (new, first) in self.first.range(old + 1..) {
                let span = last.at.saturating_sub(first.at);
                if span > longest.map_or(0, |l| l.span) && contradict(*old, *new) {
                    longest = Some(Overlap { span, old: *last, new: *first });
                }
            }
        }
        longest
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn acted(version: u64, proxy: u16, at: Micros) -> Acted {
        Acted { version, proxy, at }
    }

    #[test]
    fn the_longest_overlap_is_from_the_first_new_to_the_last_old_request() {
        let mut all = Agreement::default();
        for (version, proxy, at) in [(1, 0, 10), (2, 1, 50), (1, 2, 90), (2, 0, 95), (1, 0, 40), (3, 1, 94)] {
            all.note(acted(version, proxy, at));
        }
        let longest = all.longest(|_, _| true).expect("an overlap");
        assert_eq!(longest, Overlap { span: 40, old: acted(1, 2, 90), new: acted(2, 1, 50) });
        assert_eq!(all.versions().collect::<Vec<_>>(), [1, 2, 3]);
    }

    #[test]
    fn compatible_versions_may_overlap_and_successive_versions_do_not_overlap() {
        let mut all = Agreement::default();
        all.note(acted(1, 0, 10));
        all.note(acted(1, 0, 100));
        all.note(acted(2, 0, 20));
        assert_eq!(all.longest(|a, b| (a, b) != (1, 2)), None);
        let mut turn = Agreement::default();
        turn.note(acted(1, 0, 10));
        turn.note(acted(2, 0, 11));
        assert_eq!(turn.longest(|_, _| true), None);
    }
}
