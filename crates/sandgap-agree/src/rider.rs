//! Riders: state machines of other crates that share the replicated log with rulebooks and lives. The log knows only
//! their tags and their opaque bytes.
//!
//! A [`Rider`] decides when an entry is applied, from the entry and its own state alone, so every voter reaches the
//! same result whichever leader proposed the entry. What a leader observes outside the log, and proposes, may be stale
//! or wrong; it has no effect unless [`Rider::apply`] accepts it.

use std::collections::BTreeMap;
use std::fmt;

use sandgap_fleet::Time;

use crate::limits::MAX_RIDER_MESSAGE_BYTES;
use crate::machine::RulesMachine;
use crate::messages::Report;
use crate::rulebook::Rulebook;
use crate::timing::Timing;

/// Identifies a rider in the log and on links. A tag is never reused.
pub type Tag = u8;

/// Messages between riders and a proxy, by tag.
pub type RiderMessages = Vec<(Tag, Vec<u8>)>;

/// Why the log or a snapshot can't be read by this build.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// An entry or a part of a snapshot was written by another build.
    #[error("{what} of machine {tag} was written by another build of sandgap: start the build that wrote it")]
    OtherBuild {
        /// What can't be read.
        what: &'static str,
        /// The rider that it belongs to.
        tag: Tag,
    },
    /// The log carries a rider that this build does not know.
    #[error(
        "the log carries machine {0}, which this build of sandgap does not know: start a build that does"
    )]
    Unknown(Tag),
}

/// A member's last report, and when it came.
#[derive(Clone, Debug)]
pub struct MemberReport {
    /// When it came, on this voter's clock.
    pub at: Time,
    /// The report.
    pub report: Report,
}

/// The leader's knowledge beyond a rider's own state.
pub struct LeaderView<'a> {
    /// The leader's clock.
    pub now: Time,
    /// Since when it has led.
    pub led: Time,
    /// The timing parameters.
    pub timing: &'a Timing,
    /// Rules, voters and lives.
    pub machine: &'a RulesMachine,
    /// Members that have asked for a lease recently.
    pub members: &'a BTreeMap<String, MemberReport>,
}

impl LeaderView<'_> {
    /// Whether the leader has led for long enough to have a report of every member that holds a lease.
    pub fn knows_all(&self) -> bool {
        self.now >= self.led + self.timing.lease_horizon()
    }

    /// Members that may hold a lease, as far as the leader knows.
    pub fn live(&self) -> impl Iterator<Item = (&String, &MemberReport)> {
        let (now, live) = (self.now, self.timing.lease_horizon());
        self.members.iter().filter(move |(_, k)| k.at + live >= now)
    }

    /// The rulebook in force, if there is one.
    pub fn rules(&self) -> Option<Rulebook> {
        let record = self.machine.version(self.machine.standing())?;
        Rulebook::decode(record.book()).ok()
    }
}

/// An entry that a rider asks the leader to propose.
#[derive(Clone, Debug, PartialEq)]
pub enum RiderProposal {
    /// An entry for the rider itself.
    Own(Vec<u8>),
    /// New rules, and the reason. They take effect only if the rules that the rider saw are still in force.
    Rules(Box<Rulebook>, String),
}

/// A state machine that shares the log, see the module.
pub trait Rider {
    /// The tag of its entries.
    fn tag(&self) -> Tag;

    /// Encodes its state for a snapshot.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces its state by that of a snapshot; `None` is the initial state.
    ///
    /// # Errors
    /// If another build wrote it.
    fn restore(&mut self, bytes: Option<&[u8]>) -> Result<(), Unreadable>;

    /// Applies a committed entry; returns the result for the proxy that proposed it.
    ///
    /// # Errors
    /// If another build wrote it.
    fn apply(&mut self, entry: &[u8]) -> Result<Vec<u8>, Unreadable>;

    /// Checks whether a proxy other than the leader may propose an entry.
    ///
    /// # Errors
    /// The reason why it may not.
    fn check_submission(&self, entry: &[u8]) -> Result<(), String>;

    /// Entries that the leader should propose now. Called at each of its ticks.
    fn proposals(&mut self, view: &LeaderView) -> Vec<RiderProposal>;

    /// Answers an operator's question, as far as this voter knows.
    fn answer(&self, question: &[u8], view: &LeaderView) -> Vec<u8>;

    /// The message to a proxy that asks for a lease; empty for none.
    fn message_for(&self, proxy: &str) -> Vec<u8>;

    /// Why one rulebook must not replace another at this place in the log; `None` if it may. Checked while the new one
    /// is pending, and again with the entry that would put it in force.
    fn objection(&self, _old: &Rulebook, _new: &Rulebook) -> Option<String> {
        None
    }

    /// Skips numbers that a lost majority may have assigned.
    fn skip_numbers(&mut self, numbers: u64);
}

/// All riders of a log, by tag.
#[derive(Default)]
pub struct Riders(BTreeMap<Tag, Box<dyn Rider>>);

impl fmt::Debug for Riders {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_set().entries(self.0.keys()).finish()
    }
}

impl Riders {
    /// An empty set.
    pub fn none() -> Self {
        Riders::default()
    }

    /// Adds a rider.
    #[must_use]
    pub fn with(mut self, rider: impl Rider + 'static) -> Self {
        self.0.insert(rider.tag(), Box::new(rider));
        self
    }

    /// Encodes their states.
    pub fn snapshot(&self) -> RiderMessages {
        self.0.iter().map(|(tag, rider)| (*tag, rider.snapshot())).collect()
    }

    /// Replaces their states by those of a snapshot.
    ///
    /// # Errors
    /// If another build wrote one, or one belongs to an unknown rider.
    pub fn restore(&mut self, parts: &[(Tag, Vec<u8>)]) -> Result<(), Unreadable> {
        if let Some((tag, _)) = parts.iter().find(|(tag, _)| !self.0.contains_key(tag)) {
            return Err(Unreadable::Unknown(*tag));
        }
        for (tag, rider) in &mut self.0 {
            rider.restore(parts.iter().find(|(t, _)| t == tag).map(|(_, bytes)| &bytes[..]))?;
        }
        Ok(())
    }

    /// Applies an entry of one of them.
    ///
    /// # Errors
    /// If this build does not know the rider or can't read the entry.
    pub fn apply(&mut self, tag: Tag, entry: &[u8]) -> Result<Vec<u8>, Unreadable> {
        self.0.get_mut(&tag).ok_or(Unreadable::Unknown(tag))?.apply(entry)
    }

    /// Checks whether a proxy other than the leader may propose an entry.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn check_submission(&self, tag: Tag, entry: &[u8]) -> Result<(), String> {
        match self.0.get(&tag) {
            Some(rider) => rider.check_submission(entry),
            None => Err(Unreadable::Unknown(tag).to_string()),
        }
    }

    /// Entries that the leader should propose now, see [`Rider::proposals`].
    pub fn proposals(&mut self, view: &LeaderView) -> Vec<(Tag, RiderProposal)> {
        let proposals = |(tag, rider): (&Tag, &mut Box<dyn Rider>)| {
            let tag = *tag;
            rider.proposals(view).into_iter().map(move |proposal| (tag, proposal)).collect::<Vec<_>>()
        };
        self.0.iter_mut().flat_map(proposals).collect()
    }

    /// Answers an operator's question; `None` for an unknown rider.
    pub fn answer(&self, tag: Tag, question: &[u8], view: &LeaderView) -> Option<Vec<u8>> {
        Some(self.0.get(&tag)?.answer(question, view))
    }

    /// The messages to a proxy that asks for a lease; empty or oversized ones are left out.
    pub fn message_for(&self, proxy: &str) -> RiderMessages {
        let messages = self.0.iter().map(|(tag, rider)| (*tag, rider.message_for(proxy)));
        messages.filter(|(_, bytes)| !bytes.is_empty() && bytes.len() <= MAX_RIDER_MESSAGE_BYTES).collect()
    }

    /// Why one rulebook must not replace another, and the rider that objects, see [`Rider::objection`].
    pub fn objection(&self, old: &Rulebook, new: &Rulebook) -> Option<(Tag, String)> {
        self.0.iter().find_map(|(tag, rider)| Some((*tag, rider.objection(old, new)?)))
    }

    /// See [`Rider::skip_numbers`].
    pub fn skip_numbers(&mut self, numbers: u64) {
        self.0.values_mut().for_each(|rider| rider.skip_numbers(numbers));
    }
}
