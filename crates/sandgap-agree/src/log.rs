//! The log as the consensus engine reads it: in memory, small, with the last snapshot. What is in it beyond the last
//! [`Write`] that the disk has acknowledged is promised to nobody.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

use crate::limits::LAG;
use crate::machine::{Entry as Agreed, Machine, Seat};
use crate::rider::{Riders, Told, Unreadable};

/// Room between what one voter has and whatever a lost majority may have agreed on beyond it.
const GAP: u64 = 1_000_000;

/// What a disk has to keep, in this order, before [`crate::Agent::written`] tells its number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Write {
    /// Counted up; a number acknowledged covers all before it.
    pub number: u64,
    /// Term, vote and commit index, encoded.
    pub hard: Option<Vec<u8>>,
    /// Index and entry, encoded. Whatever is kept from the first index on goes.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// A snapshot, encoded; entries up to its index go, less a few.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Entries up to this index go.
    pub cut: Option<u64>,
}

/// What a disk had at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Saved {
    /// The number of this voter's seat.
    pub seat: u64,
    /// See [`Write::hard`].
    pub hard: Option<Vec<u8>>,
    /// See [`Write::entries`].
    pub entries: Vec<(u64, Vec<u8>)>,
    /// See [`Write::snapshot`].
    pub snapshot: Option<(u64, Vec<u8>)>,
}

/// Why what a disk had can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damaged {
    /// It is not what was written.
    #[error("the voter's store is damaged: {0}")]
    Broken(&'static str),
    /// It was written by another build of the program.
    #[error("the voter's store: {0}")]
    Foreign(#[from] Unreadable),
    /// It was written by a later build of the program.
    #[error(
        "the voter's store has form {0}, and this build of sandgap reads up to {FORM}: start the later build"
    )]
    Later(u8),
}

/// What a log has built: rules and lives, and the states of the machines that it carries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    /// Rules, voters and lives.
    pub machine: Machine,
    /// The others, by tag.
    pub parts: Told,
}

/// What a snapshot's bytes begin with, but for those of the form before there were any: no number of that form begins
/// so.
const MARK: [u8; 10] = [0xff; 10];
/// The form of snapshots that this build writes, and the latest that it reads.
const FORM: u8 = 1;

impl Saved {
    /// What each voter's disk has at the founding of a fleet: its seat, and who the voters are.
    pub fn founding(seat: u64, seats: &BTreeMap<u64, Seat>) -> Self {
        let image = Image { machine: Machine::new(seats.clone()), parts: Told::new() };
        let snapshot = snapshot_of(&image, 1, 1, conf(seats));
        Saved { seat, snapshot: Some((1, encoded(&snapshot))), ..Saved::default() }
    }

    /// A seat without anything: of a voter that has lost its disk, until the others have rebuilt it.
    pub fn blank(seat: u64) -> Self {
        Saved { seat, ..Saved::default() }
    }

    /// What this voter's disk has as the store of a fleet whose only voter it is: the last resort after a majority is
    /// lost for good. What the lost ones had agreed on since is forgotten; if one of them comes back, two fleets may
    /// contradict each other without end.
    ///
    /// # Errors
    /// Where the store is damaged, or has no seat among the voters.
    pub fn alone(&self, mut riders: Riders) -> Result<Saved, Damaged> {
        let (log, image) = Log::load(self)?;
        riders.restore(&image.parts)?;
        let mut machine = image.machine;
        let seated = machine.seats.get(&self.seat).cloned();
        let seat = seated.ok_or(Damaged::Broken("it has no seat among the voters"))?;
        let from = self.snapshot.as_ref().map_or(0, |(index, _)| *index);
        // What stands at the end may have been agreed on by others that are lost: it counts.
        for entry in log.entries.iter().filter(|e| e.index > from) {
            match postcard::from_bytes(entry.get_data()) {
                Ok(Agreed::Rider(tag, entry)) => drop(riders.apply(tag, &entry)?),
                Ok(entry) => drop(machine.apply(entry)),
                Err(_) => {} // a leader's first one, or a change of seats
            }
        }
        machine.seats = BTreeMap::from([(self.seat, seat)]);
        machine.skip(GAP);
        riders.skip(GAP);
        let term = log.entries.back().map_or(log.before.1, |e| e.term).max(log.hard.term);
        let (index, term) = (log.last() + GAP, term + GAP);
        let conf = conf(&machine.seats);
        let snapshot = snapshot_of(&Image { machine, parts: riders.snapshot() }, index, term, conf);
        Ok(Saved { seat: self.seat, snapshot: Some((index, encoded(&snapshot))), ..Saved::default() })
    }

    /// Puts a write on top, as a disk does.
    pub fn put(&mut self, write: &Write) {
        if let Some(hard) = &write.hard {
            self.hard = Some(hard.clone());
        }
        if let Some((index, snapshot)) = &write.snapshot {
            self.snapshot = Some((*index, snapshot.clone()));
            if self.entries.last().is_none_or(|(last, _)| last < index) {
                self.entries.clear();
            }
        }
        if let Some((first, _)) = write.entries.first() {
            self.entries.retain(|(index, _)| index < first);
            self.entries.extend(write.entries.iter().cloned());
        }
        if let Some(cut) = write.cut {
            self.entries.retain(|(index, _)| *index > cut);
        }
    }
}

fn conf(seats: &BTreeMap<u64, Seat>) -> ConfState {
    let voters: Vec<u64> = seats.keys().copied().collect();
    ConfState::from((voters, Vec::new()))
}

/// The bytes of the engine's own records. They hold nothing that can't be encoded.
pub(crate) fn encoded(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

pub(crate) fn decoded<M: protobuf::Message>(bytes: &[u8]) -> Option<M> {
    M::parse_from_bytes(bytes).ok()
}

pub(crate) fn snapshot_of(image: &Image, index: u64, term: u64, conf: ConfState) -> Snapshot {
    let mut data = [&MARK[..], &[FORM]].concat();
    data.extend(postcard::to_stdvec(&(&image.machine, &image.parts)).unwrap_or_default());
    let mut snapshot = Snapshot::default();
    snapshot.set_data(data.into());
    let meta = snapshot.mut_metadata();
    meta.index = index;
    meta.term = term;
    meta.set_conf_state(conf);
    snapshot
}

/// What is in a snapshot. One of the form before there were forms is read as what it was: rules and lives alone.
pub(crate) fn image_in(snapshot: &Snapshot) -> Result<Image, Damaged> {
    let data = snapshot.get_data();
    let broken = Damaged::Broken("the snapshot's contents");
    match data.strip_prefix(&MARK).map(<[u8]>::split_first) {
        Some(Some((&FORM, rest))) => match postcard::take_from_bytes(rest) {
            Ok(((machine, parts), [])) => Ok(Image { machine, parts }),
            _ => Err(broken),
        },
        Some(Some((form, _))) if *form > FORM => Err(Damaged::Later(*form)),
        Some(_) => Err(broken),
        None => match postcard::take_from_bytes(data) {
            Ok((machine, [])) => Ok(Image { machine, parts: Told::new() }),
            _ => Err(broken),
        },
    }
}

/// See the module.
pub struct Log {
    hard: HardState,
    conf: ConfState,
    entries: VecDeque<Entry>,
    /// Index and term of the entry before the first.
    before: (u64, u64),
    snapshot: Snapshot,
}

impl Log {
    /// The log that a disk had, and the machine of its snapshot.
    pub fn load(saved: &Saved) -> Result<(Self, Image), Damaged> {
        let hard = match &saved.hard {
            Some(bytes) => decoded(bytes).ok_or(Damaged::Broken("term and vote"))?,
            None => HardState::default(),
        };
        let (snapshot, image) = match &saved.snapshot {
            Some((_, bytes)) => {
                let snapshot: Snapshot = decoded(bytes).ok_or(Damaged::Broken("the snapshot"))?;
                let image = image_in(&snapshot)?;
                (snapshot, image)
            }
            None => Default::default(),
        };
        let meta = snapshot.get_metadata();
        let at = (meta.index, meta.term);
        let mut log = Log {
            hard,
            conf: meta.get_conf_state().clone(),
            entries: VecDeque::new(),
            before: at,
            snapshot: snapshot.clone(),
        };
        for (index, bytes) in &saved.entries {
            let entry: Entry = decoded(bytes).ok_or(Damaged::Broken("an entry"))?;
            if entry.index != *index {
                return Err(Damaged::Broken("an entry's number"));
            }
            match log.entries.back().map(|e| e.index) {
                None if *index <= at.0 => log.before = (index - 1, 0), // entries kept for those that lag
                None if *index == at.0 + 1 => {}
                Some(last) if last + 1 == *index => {}
                _ => return Err(Damaged::Broken("a gap between entries")),
            }
            log.entries.push_back(entry);
        }
        if log.last() < at.0 {
            log.entries.clear();
            log.before = at;
        }
        log.hard.commit = log.hard.commit.max(at.0);
        log.hard.term = log.hard.term.max(at.1);
        if log.hard.commit > log.last() {
            return Err(Damaged::Broken("entries that were acknowledged are missing"));
        }
        Ok((log, image))
    }

    fn first(&self) -> u64 {
        self.before.0 + 1
    }

    fn last(&self) -> u64 {
        self.entries.back().map_or(self.before.0, |e| e.index)
    }

    pub(crate) fn set_hard(&mut self, hard: HardState) {
        self.hard = hard;
    }

    pub(crate) fn set_conf(&mut self, conf: ConfState) {
        self.conf = conf;
    }

    pub(crate) fn conf(&self) -> &ConfState {
        &self.conf
    }

    /// Puts entries on top; what stood at their places goes.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        if let Some(first) = entries.first() {
            self.entries.truncate((first.index - self.first()) as usize);
            self.entries.extend(entries.iter().cloned());
        }
    }

    /// Takes the place of all that is here.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.before = (meta.index, meta.term);
        self.hard.commit = meta.index;
        self.hard.term = self.hard.term.max(meta.term);
        self.conf = meta.get_conf_state().clone();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Keeps a snapshot of what has been applied, and cuts the log behind it. Returns the last index that went.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) -> u64 {
        let to = snapshot.get_metadata().index.saturating_sub(LAG);
        self.snapshot = snapshot;
        while self.entries.front().is_some_and(|e| e.index <= to) {
            if let Some(e) = self.entries.pop_front() {
                self.before = (e.index, e.term);
            }
        }
        self.before.0
    }

    /// Entries that stand behind the snapshot.
    pub(crate) fn behind_snapshot(&self, applied: u64) -> u64 {
        applied.saturating_sub(self.snapshot.get_metadata().index)
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self, low: u64, high: u64, max_size: impl Into<Option<u64>>, _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let at = |index: u64| (index - self.first()) as usize;
        let mut entries: Vec<Entry> = self.entries.range(at(low)..at(high)).cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let meta = self.snapshot.get_metadata();
        if index == meta.index {
            return Ok(meta.term);
        }
        if index == self.before.0 && self.before.1 > 0 {
            return Ok(self.before.1);
        }
        if index < self.first() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.first()) as usize);
        entry.map(|e| e.term).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(index: u64, term: u64) -> (u64, Vec<u8>) {
        let entry = Entry { index, term, ..Entry::default() };
        (index, encoded(&entry))
    }

    fn seats() -> BTreeMap<u64, Seat> {
        let seat = |n: u16| Seat { name: format!("v{n}"), address: ([127, 0, 0, 1], n).into() };
        (1..=3).map(|n| (u64::from(n), seat(n))).collect()
    }

    #[test]
    fn a_founded_store_knows_the_voters() {
        let (log, image) = Log::load(&Saved::founding(2, &seats())).expect("good");
        assert_eq!(image.machine.seats, seats());
        assert_eq!(log.conf().get_voters(), [1, 2, 3]);
        assert_eq!((log.first(), log.last()), (2, 1));
    }

    #[test]
    fn writes_are_put_on_top_of_each_other() {
        let mut saved = Saved::founding(1, &seats());
        saved.put(&Write { entries: vec![entry(2, 1), entry(3, 1), entry(4, 1)], ..Write::default() });
        saved.put(&Write { entries: vec![entry(3, 2)], ..Write::default() });
        let (log, _) = Log::load(&saved).expect("good");
        assert_eq!((log.last(), log.term(3).expect("there")), (3, 2));
        saved.put(&Write { cut: Some(2), ..Write::default() });
        assert!(Log::load(&saved).is_err(), "a gap behind the snapshot");
    }

    #[test]
    fn a_voter_left_alone_goes_on_from_what_it_has() {
        let mut saved = Saved::founding(2, &seats());
        saved.put(&Write { entries: vec![entry(2, 5), entry(3, 5)], ..Write::default() });
        let alone = saved.alone(Riders::none()).expect("sound");
        let (log, image) = Log::load(&alone).expect("sound");
        assert_eq!(log.conf().get_voters(), [2]);
        assert_eq!(image.machine.seats.len(), 1);
        assert!(log.last() > 3 + GAP / 2 && log.term(log.last()).expect("there") > 5);
        assert!(Saved::blank(9).alone(Riders::none()).is_err());
    }

    #[test]
    fn missing_and_broken_pieces_are_found() {
        let mut saved = Saved::founding(1, &seats());
        saved.put(&Write { entries: vec![entry(2, 1), entry(3, 1)], ..Write::default() });
        let hard = HardState { term: 1, vote: 1, commit: 3, ..HardState::default() };
        saved.put(&Write { hard: Some(encoded(&hard)), ..Write::default() });
        assert!(Log::load(&saved).is_ok());
        let mut torn = saved.clone();
        torn.entries.pop();
        assert_eq!(
            Log::load(&torn).err(),
            Some(Damaged::Broken("entries that were acknowledged are missing"))
        );
        let mut swapped = saved.clone();
        swapped.entries[0].0 = 3;
        assert!(Log::load(&swapped).is_err());
        saved.snapshot.as_mut().expect("founded").1[5] ^= 0xff;
        assert!(Log::load(&saved).is_err());
    }

    #[test]
    fn an_older_snapshot_is_read_and_a_later_one_refused_by_its_form() {
        let machine = Machine::new(seats());
        let mut saved = Saved::founding(1, &seats());
        let mut with = |data: Vec<u8>| {
            let mut snapshot = Snapshot::default();
            snapshot.set_data(data.into());
            snapshot.mut_metadata().index = 1;
            snapshot.mut_metadata().set_conf_state(conf(&seats()));
            saved.snapshot = Some((1, encoded(&snapshot)));
            Log::load(&saved).map(|(_, image)| image)
        };
        let old = postcard::to_stdvec(&machine).expect("plain");
        assert_eq!(with(old), Ok(Image { machine: machine.clone(), parts: vec![] }));
        assert_eq!(with([&MARK[..], &[FORM + 1, 3, 4]].concat()), Err(Damaged::Later(FORM + 1)));
        let parts = vec![(9, vec![1])];
        let new = postcard::to_stdvec(&(&machine, &parts)).expect("plain");
        let image = with([&MARK[..], &[FORM], &new].concat()).expect("of this form");
        assert_eq!(image.parts, parts);
        assert_eq!(Riders::none().restore(&image.parts), Err(Unreadable::Unknown(9)));
    }

    #[test]
    fn a_cut_log_still_tells_terms_at_its_edge() {
        let mut saved = Saved::founding(1, &seats());
        saved.put(&Write { entries: (2..200).map(|i| entry(i, 1)).collect(), ..Write::default() });
        let (mut log, image) = Log::load(&saved).expect("good");
        let went = log.compact(snapshot_of(&image, 150, 1, log.conf().clone()));
        assert_eq!(went, 150 - LAG);
        assert_eq!(log.term(went).expect("the edge"), 1);
        assert!(log.term(went - 1).is_err());
        assert_eq!(log.behind_snapshot(199), 49);
    }
}
