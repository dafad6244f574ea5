//! State machines of other crates that the log carries beside rulebooks and lives. The log knows their tags and bytes,
//! and nothing of what they are about.
//!
//! What a [`Rider`] decides it decides when an entry is applied, by the entry and its own state alone: so every voter
//! comes to the same, whoever led when the entry was put forward. What a leader sees beside the log, and proposes, may
//! be old or wrong; it changes nothing that [`Rider::apply`] does not find right at its place.

use std::collections::BTreeMap;
use std::fmt;

use sandgap_fleet::Time;

use crate::limits::TOLD;
use crate::machine::Machine;
use crate::rulebook::Rulebook;
use crate::terms::Terms;
use crate::words::Report;

/// Tells riders apart, in the log and on links. Given once each, never anew.
pub type Tag = u8;

/// What a rider says of itself to a proxy, or a proxy to it, by tag.
pub type Told = Vec<(Tag, Vec<u8>)>;

/// Why a rider can't go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// An entry or a part of a snapshot is of another build.
    #[error("{what} of machine {tag} was written by another build of sandgap: start the build that wrote it")]
    Foreign {
        /// What can't be read.
        what: &'static str,
        /// Whose it is.
        tag: Tag,
    },
    /// The log carries a machine that this build does not know.
    #[error(
        "the log carries machine {0}, which this build of sandgap does not know: start a build that does"
    )]
    Unknown(Tag),
}

/// What a member said last, and when.
#[derive(Clone, Debug)]
pub struct Known {
    /// When that was, on this voter's clock.
    pub at: Time,
    /// What it said.
    pub report: Report,
}

/// What a leader knows beside a rider's own state.
pub struct View<'a> {
    /// Its clock.
    pub now: Time,
    /// Since when it leads.
    pub led: Time,
    /// What the installation states.
    pub terms: &'a Terms,
    /// Rules, voters and lives.
    pub machine: &'a Machine,
    /// Members that have asked lately.
    pub members: &'a BTreeMap<String, Known>,
}

impl View<'_> {
    /// Whether this one has led for long enough to have heard of every member that holds a lease.
    pub fn knows_all(&self) -> bool {
        self.now >= self.led + self.terms.live()
    }

    /// Members that may hold a lease, as far as is known.
    pub fn live(&self) -> impl Iterator<Item = (&String, &Known)> {
        let (now, live) = (self.now, self.terms.live());
        self.members.iter().filter(move |(_, k)| k.at + live >= now)
    }

    /// The rulebook in force, if there is one.
    pub fn rules(&self) -> Option<Rulebook> {
        let record = self.machine.version(self.machine.standing())?;
        Rulebook::decode(record.book()).ok()
    }
}

/// What a rider wants put into the log by the leader that carries it.
#[derive(Clone, Debug, PartialEq)]
pub enum Wish {
    /// An entry of its own.
    Own(Vec<u8>),
    /// Other rules, if the ones in force are still those that it saw; why.
    Rules(Box<Rulebook>, String),
}

/// See the module.
pub trait Rider {
    /// Under which its entries stand.
    fn tag(&self) -> Tag;

    /// Its state, for a snapshot.
    fn snapshot(&self) -> Vec<u8>;

    /// Takes over a state; nothing for the one before the first entry.
    ///
    /// # Errors
    /// Where it is of another build.
    fn restore(&mut self, bytes: Option<&[u8]>) -> Result<(), Unreadable>;

    /// Applies an entry that a majority has; returns what it came to, for whoever put it forward.
    ///
    /// # Errors
    /// Where it is of another build.
    fn apply(&mut self, entry: &[u8]) -> Result<Vec<u8>, Unreadable>;

    /// Whether somebody other than a leader may put an entry forward.
    ///
    /// # Errors
    /// Why not.
    fn admits(&self, entry: &[u8]) -> Result<(), String>;

    /// What a leader wants in the log now. Called at each of its ticks.
    fn lead(&mut self, view: &View) -> Vec<Wish>;

    /// An answer to a question by hand, as far as this voter knows.
    fn answer(&self, question: &[u8], view: &View) -> Vec<u8>;

    /// What a proxy that asks for a lease is told; empty for nothing.
    fn tell(&self, proxy: &str) -> Vec<u8>;

    /// Why rules must not take the place of others, at this place in the log; nothing where they may. Asked when they
    /// are put forward, and again with the entry that would put them in force.
    fn bars(&self, _old: &Rulebook, _new: &Rulebook) -> Option<String> {
        None
    }

    /// Leaves room for numbers that a lost majority may have given since.
    fn skip(&mut self, numbers: u64);
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
    /// None.
    pub fn none() -> Self {
        Riders::default()
    }

    /// One more.
    #[must_use]
    pub fn with(mut self, rider: impl Rider + 'static) -> Self {
        self.0.insert(rider.tag(), Box::new(rider));
        self
    }

    /// Their states.
    pub fn snapshot(&self) -> Told {
        self.0.iter().map(|(tag, rider)| (*tag, rider.snapshot())).collect()
    }

    /// Takes over their states.
    ///
    /// # Errors
    /// Where one is of another build, or of a machine that is not here.
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
    /// Where this build can't.
    pub fn apply(&mut self, tag: Tag, entry: &[u8]) -> Result<Vec<u8>, Unreadable> {
        self.0.get_mut(&tag).ok_or(Unreadable::Unknown(tag))?.apply(entry)
    }

    /// Whether somebody other than a leader may put an entry forward.
    ///
    /// # Errors
    /// Why not.
    pub fn admits(&self, tag: Tag, entry: &[u8]) -> Result<(), String> {
        match self.0.get(&tag) {
            Some(rider) => rider.admits(entry),
            None => Err(Unreadable::Unknown(tag).to_string()),
        }
    }

    /// What they want in the log.
    pub fn lead(&mut self, view: &View) -> Vec<(Tag, Wish)> {
        let wishes = |(tag, rider): (&Tag, &mut Box<dyn Rider>)| {
            let tag = *tag;
            rider.lead(view).into_iter().map(move |wish| (tag, wish)).collect::<Vec<_>>()
        };
        self.0.iter_mut().flat_map(wishes).collect()
    }

    /// An answer to a question by hand.
    pub fn answer(&self, tag: Tag, question: &[u8], view: &View) -> Option<Vec<u8>> {
        Some(self.0.get(&tag)?.answer(question, view))
    }

    /// What a proxy is told.
    pub fn tell(&self, proxy: &str) -> Told {
        let told = self.0.iter().map(|(tag, rider)| (*tag, rider.tell(proxy)));
        told.filter(|(_, bytes)| !bytes.is_empty() && bytes.len() <= TOLD).collect()
    }

    /// Why rules must not take the place of others, and which machine says so.
    pub fn bars(&self, old: &Rulebook, new: &Rulebook) -> Option<(Tag, String)> {
        self.0.iter().find_map(|(tag, rider)| Some((*tag, rider.bars(old, new)?)))
    }

    /// See [`Rider::skip`].
    pub fn skip(&mut self, numbers: u64) {
        self.0.values_mut().for_each(|rider| rider.skip(numbers));
    }
}
