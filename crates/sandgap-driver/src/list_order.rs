//! Which of two lists of backends is the newer one.
//!
//! Versions order the lists of one service for as long as it keeps its state. A service that has lost it counts anew, and
//! one at another address may know less for a moment than the one before it. What orders two lists then is the calls that
//! they came on: what a call tells that began after a list had come is no older than that list, unless the service itself
//! lags. As that can't be excluded, such a list is *uncertain*: what it closes counts at once, what it opens again has to
//! wait, see [`crate::Core::uncertain_list`].

use crate::core::Time;

/// One list as it has come.
#[derive(Clone, Copy, Debug)]
pub struct Arrived {
    /// Its version.
    pub version: u64,
    /// All backends, or those that have changed.
    pub whole: bool,
    /// It names no backend.
    pub empty: bool,
    /// Something before it on its watch could not be read.
    pub behind_gap: bool,
    /// When the call began on which it came.
    pub call_began: Time,
}

/// What is to be done with a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It follows what is known.
    Newer,
    /// It says nothing new.
    Repeated,
    /// It may be older than what is known.
    Uncertain {
        /// It can't be told from a repeated old one: the whole list has to be asked for with a new call.
        ask_again: bool,
    },
    /// Changes to a list that is not known.
    Baseless,
}

/// The order of the lists of one address.
#[derive(Debug)]
pub struct ListOrder {
    /// Version of the list from which a watch resumes.
    held: Option<u64>,
    /// The highest version that has been heard, behind gaps too.
    heard: u64,
    /// When a list was last believed.
    believed_at: Time,
    /// Another address has told lists before.
    follows_another: bool,
}

impl ListOrder {
    /// Nothing has come from this address yet.
    pub fn new(follows_another: bool) -> Self {
        ListOrder { held: None, heard: 0, believed_at: Time::ZERO, follows_another }
    }

    /// Version of the list from which a watch resumes.
    pub fn held(&self) -> Option<u64> {
        self.held
    }

    /// Nothing is known from here any more.
    pub fn forget(&mut self) {
        self.held = None;
    }

    /// Takes in a list.
    pub fn judge(&mut self, now: Time, list: Arrived) -> Verdict {
        let Some(held) = self.held else { return self.judge_first(now, list) };
        let is_newer = list.version > self.heard || list.whole && list.version == self.heard;
        if is_newer {
            self.believe(now, list);
            return Verdict::Newer;
        }
        if list.whole && list.call_began > self.believed_at {
            self.believe(now, list);
            return Verdict::Uncertain { ask_again: false };
        }
        if list.version < held {
            return Verdict::Uncertain { ask_again: true };
        }
        if list.whole || !list.behind_gap {
            self.held = Some(list.version);
        }
        if list.empty && !list.whole { Verdict::Repeated } else { Verdict::Uncertain { ask_again: false } }
    }

    fn judge_first(&mut self, now: Time, list: Arrived) -> Verdict {
        if !list.whole {
            return Verdict::Baseless;
        }
        let follows = std::mem::replace(&mut self.follows_another, true);
        self.believe(now, list);
        if follows { Verdict::Uncertain { ask_again: false } } else { Verdict::Newer }
    }

    fn believe(&mut self, now: Time, list: Arrived) {
        self.heard = list.version;
        self.believed_at = now;
        if list.whole || !list.behind_gap {
            self.held = Some(list.version);
        }
    }
}

#[cfg(test)]
mod tests;
