//! The in-memory log that the consensus engine reads: the last snapshot and the entries around and after it. Whatever
//! goes beyond the last [`Write`] that the disk has acknowledged is not durable, and no message may depend on it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

use crate::limits::RETAINED_ENTRIES;
use crate::machine::{Entry as AgreedEntry, RulesMachine, Seat};
use crate::rider::{RiderMessages, Riders, Unreadable};

/// Numbers that a recovered voter skips, to stay clear of whatever a lost majority may have assigned.
const RECOVERY_GAP: u64 = 1_000_000;

/// A write to the disk. Writes are persisted in order, each before [`crate::Agent::written`] gets its number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Write {
    /// Increasing; the acknowledgement of a number covers all earlier writes.
    pub number: u64,
    /// The encoded hard state: term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
    /// Indexes and encoded entries. They replace all stored entries from the first index on.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Index and encoded snapshot. If the index lies beyond all stored entries, they are deleted.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Stored entries up to this index are deleted; compaction retains a few before the snapshot.
    pub cut: Option<u64>,
}

/// The contents of a voter's store at startup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Saved {
    /// The number of this voter's seat.
    pub seat: u64,
    /// See [`Write::hard_state`].
    pub hard_state: Option<Vec<u8>>,
    /// See [`Write::entries`].
    pub entries: Vec<(u64, Vec<u8>)>,
    /// See [`Write::snapshot`].
    pub snapshot: Option<(u64, Vec<u8>)>,
}

/// Why the contents of a store can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damaged {
    /// The contents differ from what was written.
    #[error("the voter's store is damaged: {0}")]
    Corrupt(&'static str),
    /// Another build of the program wrote them.
    #[error("the voter's store: {0}")]
    OtherBuild(#[from] Unreadable),
    /// A later build of the program wrote them.
    #[error(
        "the voter's store has format {0}, but this build of sandgap reads formats up to {SNAPSHOT_FORMAT}: \
         start the later build"
    )]
    LaterFormat(u8),
}

/// The contents of a snapshot: the state that the log has built, with that of its riders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    /// Rules, voters and lives.
    pub machine: RulesMachine,
    /// The states of the riders, by tag.
    pub parts: RiderMessages,
}

/// The first bytes of a snapshot. Snapshots of the first format have no mark, and none can begin with these bytes, as
/// no encoded number does.
const FORMAT_MARK: [u8; 10] = [0xff; 10];
/// The snapshot format that this build writes, and the latest that it reads.
const SNAPSHOT_FORMAT: u8 = 1;

impl Saved {
    /// The initial store of a voter of a new fleet: its seat, and the set of voters.
    pub fn initial(seat: u64, seats: &BTreeMap<u64, Seat>) -> Self {
        let image = Image { machine: RulesMachine::new(seats.clone()), parts: RiderMessages::new() };
        let snapshot = encode_snapshot(&image, 1, 1, conf_state(seats));
        Saved { seat, snapshot: Some((1, encode_proto(&snapshot))), ..Saved::default() }
    }

    /// An empty store, for a voter that has lost its disk, until the other voters have rebuilt it.
    pub fn empty(seat: u64) -> Self {
        Saved { seat, ..Saved::default() }
    }

    /// Turns this store into that of a fleet with this voter alone: the last resort after a majority is lost for good.
    /// Whatever the lost voters have committed beyond this store is lost. If one of them comes back, two fleets may
    /// contradict each other indefinitely.
    ///
    /// # Errors
    /// If the store is damaged, or its seat does not belong to the set of voters.
    pub fn recover_as_sole_voter(&self, mut riders: Riders) -> Result<Saved, Damaged> {
        let (log, image) = Log::load(self)?;
        riders.restore(&image.parts)?;
        let mut machine = image.machine;
        let seated = machine.seats.get(&self.seat).cloned();
        let seat = seated.ok_or(Damaged::Corrupt("it has no seat among the voters"))?;
        let from = self.snapshot.as_ref().map_or(0, |(index, _)| *index);
        // Entries at the end may have been committed by voters that are lost, so all of them are applied.
        for entry in log.entries.iter().filter(|e| e.index > from) {
            match postcard::from_bytes(entry.get_data()) {
                Ok(AgreedEntry::Rider(tag, entry)) => drop(riders.apply(tag, &entry)?),
                Ok(entry) => drop(machine.apply(entry)),
                Err(_) => {} // the empty entry that begins a term, or a change of seats
            }
        }
        machine.seats = BTreeMap::from([(self.seat, seat)]);
        machine.skip_numbers(RECOVERY_GAP);
        riders.skip_numbers(RECOVERY_GAP);
        let term = log.entries.back().map_or(log.preceding.1, |e| e.term).max(log.hard_state.term);
        let (index, term) = (log.last() + RECOVERY_GAP, term + RECOVERY_GAP);
        let conf = conf_state(&machine.seats);
        let snapshot = encode_snapshot(&Image { machine, parts: riders.snapshot() }, index, term, conf);
        Ok(Saved { seat: self.seat, snapshot: Some((index, encode_proto(&snapshot))), ..Saved::default() })
    }

    /// Applies a write, as the store on the disk does.
    pub fn apply(&mut self, write: &Write) {
        if let Some(hard_state) = &write.hard_state {
            self.hard_state = Some(hard_state.clone());
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

fn conf_state(seats: &BTreeMap<u64, Seat>) -> ConfState {
    let voters: Vec<u64> = seats.keys().copied().collect();
    ConfState::from((voters, Vec::new()))
}

/// Encodes a record of the engine. Its records contain nothing for which encoding can fail.
pub(crate) fn encode_proto(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

pub(crate) fn decode_proto<M: protobuf::Message>(bytes: &[u8]) -> Option<M> {
    M::parse_from_bytes(bytes).ok()
}

pub(crate) fn encode_snapshot(image: &Image, index: u64, term: u64, conf: ConfState) -> Snapshot {
    let mut data = [&FORMAT_MARK[..], &[SNAPSHOT_FORMAT]].concat();
    data.extend(postcard::to_stdvec(&(&image.machine, &image.parts)).unwrap_or_default());
    let mut snapshot = Snapshot::default();
    snapshot.set_data(data.into());
    let meta = snapshot.mut_metadata();
    meta.index = index;
    meta.term = term;
    meta.set_conf_state(conf);
    snapshot
}

/// Decodes the contents of a snapshot. One without a mark is of the first format, with rules and lives alone.
pub(crate) fn decode_snapshot(snapshot: &Snapshot) -> Result<Image, Damaged> {
    let data = snapshot.get_data();
    let corrupt = Damaged::Corrupt("the snapshot's contents");
    match data.strip_prefix(&FORMAT_MARK).map(<[u8]>::split_first) {
        Some(Some((&SNAPSHOT_FORMAT, rest))) => match postcard::take_from_bytes(rest) {
            Ok(((machine, parts), [])) => Ok(Image { machine, parts }),
            _ => Err(corrupt),
        },
        Some(Some((format, _))) if *format > SNAPSHOT_FORMAT => Err(Damaged::LaterFormat(*format)),
        Some(_) => Err(corrupt),
        None => match postcard::take_from_bytes(data) {
            Ok((machine, [])) => Ok(Image { machine, parts: RiderMessages::new() }),
            _ => Err(corrupt),
        },
    }
}

/// The in-memory log, see the module.
pub struct Log {
    hard_state: HardState,
    conf: ConfState,
    entries: VecDeque<Entry>,
    /// Index and term of the entry before the first.
    preceding: (u64, u64),
    snapshot: Snapshot,
}

impl Log {
    /// Loads the log and the contents of its snapshot from a store.
    pub fn load(saved: &Saved) -> Result<(Self, Image), Damaged> {
        let hard_state = match &saved.hard_state {
            Some(bytes) => decode_proto(bytes).ok_or(Damaged::Corrupt("term and vote"))?,
            None => HardState::default(),
        };
        let (snapshot, image) = match &saved.snapshot {
            Some((_, bytes)) => {
                let snapshot: Snapshot = decode_proto(bytes).ok_or(Damaged::Corrupt("the snapshot"))?;
                let image = decode_snapshot(&snapshot)?;
                (snapshot, image)
            }
            None => Default::default(),
        };
        let meta = snapshot.get_metadata();
        let at = (meta.index, meta.term);
        let mut log = Log {
            hard_state,
            conf: meta.get_conf_state().clone(),
            entries: VecDeque::new(),
            preceding: at,
            snapshot: snapshot.clone(),
        };
        for (index, bytes) in &saved.entries {
            let entry: Entry = decode_proto(bytes).ok_or(Damaged::Corrupt("an entry"))?;
            if entry.index != *index {
                return Err(Damaged::Corrupt("an entry's number"));
            }
            match log.entries.back().map(|e| e.index) {
                None if *index <= at.0 => log.preceding = (index - 1, 0), // entries retained for voters that lag
                None if *index == at.0 + 1 => {}
                Some(last) if last + 1 == *index => {}
                _ => return Err(Damaged::Corrupt("a gap between entries")),
            }
            log.entries.push_back(entry);
        }
        if log.last() < at.0 {
            log.entries.clear();
            log.preceding = at;
        }
        log.hard_state.commit = log.hard_state.commit.max(at.0);
        log.hard_state.term = log.hard_state.term.max(at.1);
        if log.hard_state.commit > log.last() {
            return Err(Damaged::Corrupt("entries that were acknowledged are missing"));
        }
        Ok((log, image))
    }

    fn first(&self) -> u64 {
        self.preceding.0 + 1
    }

    fn last(&self) -> u64 {
        self.entries.back().map_or(self.preceding.0, |e| e.index)
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
    }

    pub(crate) fn set_conf(&mut self, conf: ConfState) {
        self.conf = conf;
    }

    pub(crate) fn conf(&self) -> &ConfState {
        &self.conf
    }

    /// Appends entries; they replace all existing ones from the first index on.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        if let Some(first) = entries.first() {
            self.entries.truncate((first.index - self.first()) as usize);
            self.entries.extend(entries.iter().cloned());
        }
    }

    /// Replaces the whole log by a snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.preceding = (meta.index, meta.term);
        self.hard_state.commit = meta.index;
        self.hard_state.term = self.hard_state.term.max(meta.term);
        self.conf = meta.get_conf_state().clone();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Stores a snapshot of the applied state and compacts the log before it. Returns the last index that was removed.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) -> u64 {
        let to = snapshot.get_metadata().index.saturating_sub(RETAINED_ENTRIES);
        self.snapshot = snapshot;
        while self.entries.front().is_some_and(|e| e.index <= to) {
            if let Some(e) = self.entries.pop_front() {
                self.preceding = (e.index, e.term);
            }
        }
        self.preceding.0
    }

    /// The number of applied entries since the snapshot.
    pub(crate) fn applied_since_snapshot(&self, applied: u64) -> u64 {
        applied.saturating_sub(self.snapshot.get_metadata().index)
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), self.conf.clone()))
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
        if index == self.preceding.0 && self.preceding.1 > 0 {
            return Ok(self.preceding.1);
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
        (index, encode_proto(&entry))
    }

    fn seats() -> BTreeMap<u64, Seat> {
        let seat = |n: u16| Seat { name: format!("v{n}"), address: ([127, 0, 0, 1], n).into() };
        (1..=3).map(|n| (u64::from(n), seat(n))).collect()
    }

    #[test]
    fn an_initial_store_contains_the_voters() {
        let (log, image) = Log::load(&Saved::initial(2, &seats())).expect("good");
        assert_eq!(image.machine.seats, seats());
        assert_eq!(log.conf().get_voters(), [1, 2, 3]);
        assert_eq!((log.first(), log.last()), (2, 1));
    }

    #[test]
    fn later_writes_replace_earlier_entries() {
        let mut saved = Saved::initial(1, &seats());
        saved.apply(&Write { entries: vec![entry(2, 1), entry(3, 1), entry(4, 1)], ..Write::default() });
        saved.apply(&Write { entries: vec![entry(3, 2)], ..Write::default() });
        let (log, _) = Log::load(&saved).expect("good");
        assert_eq!((log.last(), log.term(3).expect("there")), (3, 2));
        saved.apply(&Write { cut: Some(2), ..Write::default() });
        assert!(Log::load(&saved).is_err(), "a gap after the snapshot");
    }

    #[test]
    fn a_sole_voter_resumes_from_its_store() {
        let mut saved = Saved::initial(2, &seats());
        saved.apply(&Write { entries: vec![entry(2, 5), entry(3, 5)], ..Write::default() });
        let recovered = saved.recover_as_sole_voter(Riders::none()).expect("sound");
        let (log, image) = Log::load(&recovered).expect("sound");
        assert_eq!(log.conf().get_voters(), [2]);
        assert_eq!(image.machine.seats.len(), 1);
        assert!(log.last() > 3 + RECOVERY_GAP / 2 && log.term(log.last()).expect("there") > 5);
        assert!(Saved::empty(9).recover_as_sole_voter(Riders::none()).is_err());
    }

    #[test]
    fn missing_and_damaged_records_are_detected() {
        let mut saved = Saved::initial(1, &seats());
        saved.apply(&Write { entries: vec![entry(2, 1), entry(3, 1)], ..Write::default() });
        let hard_state = HardState { term: 1, vote: 1, commit: 3, ..HardState::default() };
        saved.apply(&Write { hard_state: Some(encode_proto(&hard_state)), ..Write::default() });
        assert!(Log::load(&saved).is_ok());
        let mut torn = saved.clone();
        torn.entries.pop();
        assert_eq!(
            Log::load(&torn).err(),
            Some(Damaged::Corrupt("entries that were acknowledged are missing"))
        );
        let mut swapped = saved.clone();
        swapped.entries[0].0 = 3;
        assert!(Log::load(&swapped).is_err());
        saved.snapshot.as_mut().expect("founded").1[5] ^= 0xff;
        assert!(Log::load(&saved).is_err());
    }

    #[test]
    fn snapshots_of_the_first_format_are_read_and_of_later_ones_refused() {
        let machine = RulesMachine::new(seats());
        let mut saved = Saved::initial(1, &seats());
        let mut load_snapshot = |data: Vec<u8>| {
            let mut snapshot = Snapshot::default();
            snapshot.set_data(data.into());
            snapshot.mut_metadata().index = 1;
            snapshot.mut_metadata().set_conf_state(conf_state(&seats()));
            saved.snapshot = Some((1, encode_proto(&snapshot)));
            Log::load(&saved).map(|(_, image)| image)
        };
        let old = postcard::to_stdvec(&machine).expect("plain");
        assert_eq!(load_snapshot(old), Ok(Image { machine: machine.clone(), parts: vec![] }));
        assert_eq!(
            load_snapshot([&FORMAT_MARK[..], &[SNAPSHOT_FORMAT + 1, 3, 4]].concat()),
            Err(Damaged::LaterFormat(SNAPSHOT_FORMAT + 1))
        );
        let parts = vec![(9, vec![1])];
        let new = postcard::to_stdvec(&(&machine, &parts)).expect("plain");
        let image =
            load_snapshot([&FORMAT_MARK[..], &[SNAPSHOT_FORMAT], &new].concat()).expect("of this format");
        assert_eq!(image.parts, parts);
        assert_eq!(Riders::none().restore(&image.parts), Err(Unreadable::Unknown(9)));
    }

    #[test]
    fn a_compacted_log_knows_the_term_of_its_last_removed_entry() {
        let mut saved = Saved::initial(1, &seats());
        saved.apply(&Write { entries: (2..200).map(|i| entry(i, 1)).collect(), ..Write::default() });
        let (mut log, image) = Log::load(&saved).expect("good");
        let removed = log.compact(encode_snapshot(&image, 150, 1, log.conf().clone()));
        assert_eq!(removed, 150 - RETAINED_ENTRIES);
        assert_eq!(log.term(removed).expect("the last removed entry"), 1);
        assert!(log.term(removed - 1).is_err());
        assert_eq!(log.applied_since_snapshot(199), 49);
    }
}
