//! Decides which of two lists of backends is newer.
//!
//! Versions order the lists of one discovery service as long as it keeps its state. A service that lost its state restarts
//! its versions, and one at another address may lag behind the previous one. In these cases the calls order the lists: a
//! call that began after a list had arrived returns nothing older than that list, unless the service itself lags. As that
//! can't be ruled out, such a list is *uncertain*: closings in it take effect at once, reopenings have to wait, see
//! [`crate::Core::uncertain_list`].

use crate::core::Time;

/// A received list.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedList {
    /// Its version.
    pub version: u64,
    /// True if it holds all backends, false if only those that have changed.
    pub whole: bool,
    /// It names no backend.
    pub empty: bool,
    /// An earlier message on the same watch could not be read.
    pub after_gap: bool,
    /// When the call that returned it began.
    pub call_began: Time,
}

/// How a list relates to what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is newer.
    Newer,
    /// It contains nothing new.
    Unchanged,
    /// It may be older.
    Uncertain {
        /// It can't be distinguished from a repeated old one: the whole list has to be fetched with a new call.
        refetch: bool,
    },
    /// It holds changes to a list that is not known.
    MissingBase,
}

/// Order of the lists from one address.
#[derive(Debug)]
pub struct ListOrder {
    /// Version from which a watch resumes.
    resume_version: Option<u64>,
    /// Version of the last accepted list, also if it came after a gap.
    last_version: u64,
    /// When a list was last accepted.
    accepted_at: Time,
    /// Another address has delivered lists before.
    follows_other_address: bool,
}

impl ListOrder {
    /// State before the first list of an address; `follows_other_address` if another address has delivered lists before.
    pub fn new(follows_other_address: bool) -> Self {
        ListOrder { resume_version: None, last_version: 0, accepted_at: Time::ZERO, follows_other_address }
    }

    /// Version from which a watch resumes.
    pub fn resume_version(&self) -> Option<u64> {
        self.resume_version
    }

    /// Discards the version, so that the next list has to be a whole one.
    pub fn forget(&mut self) {
        self.resume_version = None;
    }

    /// Compares a received list with what is known, and records it.
    pub fn compare(&mut self, now: Time, list: ReceivedList) -> Verdict {
        let Some(resume_version) = self.resume_version else { return self.judge_first_list(now, list) };
        let is_newer = list.version > self.last_version || list.whole && list.version == self.last_version;
        if is_newer {
            self.accept(now, list);
            return Verdict::Newer;
        }
        if list.whole && list.call_began > self.accepted_at {
            self.accept(now, list);
            return Verdict::Uncertain { refetch: false };
        }
        if list.version < resume_version {
            return Verdict::Uncertain { refetch: true };
        }
        if list.whole || !list.after_gap {
            self.resume_version = Some(list.version);
        }
        if list.empty && !list.whole { Verdict::Unchanged } else { Verdict::Uncertain { refetch: false } }
    }

    fn judge_first_list(&mut self, now: Time, list: ReceivedList) -> Verdict {
        if !list.whole {
            return Verdict::MissingBase;
        }
        let is_follower = std::mem::replace(&mut self.follows_other_address, true);
        self.accept(now, list);
        if is_follower { Verdict::Uncertain { refetch: false } } else { Verdict::Newer }
    }

    fn accept(&mut self, now: Time, list: ReceivedList) {
        self.last_version = list.version;
        self.accepted_at = now;
        if list.whole || !list.after_gap {
            self.resume_version = Some(list.version);
        }
    }
}

#[cfg(test)]
mod tests;
