//! A voter's disk: one `redb` database with its seat, term and vote, log and snapshot. The only part of this crate that
//! does I/O.
//!
//! What is promised after a crash: a write that was acknowledged is there whole, one that was not is there whole or not
//! at all (the engine commits copy-on-write with checksums and syncs each commit). Every value bears a BLAKE3 hash of
//! itself and its key, and all are read at the start: a flipped bit, a swapped value or a missing piece makes the
//! store [`Opened::Damaged`], and a voter must not go on from it under its old seat.
//!
//! A disk that says no is something else: it may be full or out of reach for a while, and says nothing about what it holds
//! ([`Opened::Unavailable`]). A store comes to its name whole: it is made under another one, synced and renamed. And
//! after a write or a sync that failed nobody can tell what of the file is on the disk (fsync(2)), whatever can be read:
//! [`Store::renew`] writes it anew.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

use crate::limits::WRITES;
use crate::log::Damaged::{Broken, Foreign, Later};
use crate::log::{Log, Saved, Write};

const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

const SEAT: &str = "seat";
const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const HASH: usize = 32;

/// What went wrong with a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk or the engine said no.
    #[error("{path}: {what}")]
    Disk {
        /// Where.
        path: PathBuf,
        /// What it said.
        what: String,
    },
    /// There is a store already.
    #[error("{0}: there is a store already; founding a fleet anew over it would forget what it has agreed")]
    Exists(PathBuf),
}

/// What was found at the start.
pub enum Opened {
    /// All of it.
    Sound(Store, Saved),
    /// Nothing.
    Missing,
    /// Something that must not be gone on from.
    Damaged(String),
    /// It can't be told now: another process has it open, or the system denies it.
    Unavailable(String),
}

/// Why a store can't be gone on from.
enum Unusable {
    /// The system said no: what is there may be sound.
    Disk(String),
    /// It is not what was written.
    Damaged(String),
}

impl<E: Into<redb::Error>> From<E> for Unusable {
    fn from(error: E) -> Self {
        let error = error.into();
        if is_of_the_disk(&error) {
            Unusable::Disk(error.to_string())
        } else {
            Unusable::Damaged(error.to_string())
        }
    }
}

/// Whether an error tells of the disk or of another process, and not of what the file holds. The engine tells of a file
/// that is none of its own, or is cut short, by two errors that the system itself has no number for.
fn is_of_the_disk(error: &redb::Error) -> bool {
    match error {
        redb::Error::Io(e) => !matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof),
        redb::Error::DatabaseAlreadyOpen | redb::Error::PreviousIo => true,
        _ => false,
    }
}

/// See the module.
pub struct Store {
    db: Database,
    path: PathBuf,
}

fn sealed(key: &[u8], value: &[u8]) -> Vec<u8> {
    let hash = blake3::Hasher::new().update(key).update(&[0]).update(value).finalize();
    [hash.as_bytes(), value].concat()
}

fn opened(key: &[u8], bytes: &[u8]) -> Option<Vec<u8>> {
    let value = bytes.get(HASH..)?;
    (sealed(key, value) == bytes).then(|| value.to_vec())
}

impl Store {
    /// Makes a store for a seat.
    ///
    /// # Errors
    /// Where there is one already, or the disk says no; nothing bears its name then.
    pub fn create(path: &Path, saved: &Saved) -> Result<Self, StoreError> {
        if path.exists() {
            return Err(StoreError::Exists(path.to_owned()));
        }
        Store::write_whole(path, saved)
    }

    /// Makes a store under another name, and gives it its own once all of it is on the disk.
    fn write_whole(path: &Path, saved: &Saved) -> Result<Self, StoreError> {
        let new = unfinished(path);
        let made = Store::write_new(&new, saved).map_err(|e| disk(&new, e));
        let made = made.and_then(|db| {
            std::fs::rename(&new, path).and_then(|()| sync_folder(path)).map_err(|e| disk(path, e))?;
            Ok(Store { db, path: path.to_owned() })
        });
        if made.is_err() {
            let _ = std::fs::remove_file(&new); // the next try removes it before it begins
        }
        made
    }

    fn write_new(new: &Path, saved: &Saved) -> Result<Database, redb::Error> {
        match std::fs::remove_file(new) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e.into()),
            _ => {}
        }
        let store = Store { db: Database::create(new)?, path: new.to_owned() };
        let all = Write {
            hard: saved.hard.clone(),
            entries: saved.entries.clone(),
            snapshot: saved.snapshot.clone(),
            ..Write::default()
        };
        store.commit(&all, Some(saved.seat))?;
        Ok(store.db)
    }

    /// Opens what is there and reads all of it.
    pub fn open(path: &Path) -> Opened {
        if !path.exists() {
            return Opened::Missing;
        }
        // A file of which the engine can make nothing may make it fail in ways of its own.
        match std::panic::catch_unwind(|| Store::open_checked(path)) {
            Ok(Ok((store, saved))) => Opened::Sound(store, saved),
            Ok(Err(Unusable::Disk(why))) => Opened::Unavailable(why),
            Ok(Err(Unusable::Damaged(why))) => Opened::Damaged(why),
            Err(_) => Opened::Damaged("the engine could make nothing of it".into()),
        }
    }

    fn open_checked(path: &Path) -> Result<(Store, Saved), Unusable> {
        let mut db = Database::open(path)?;
        // Every page's checksum, and what the engine thinks of its free ones: it would fail over these later.
        db.check_integrity()?;
        let store = Store { db, path: path.to_owned() };
        let saved = store.read()?;
        match Log::load(&saved) {
            Ok(_) => Ok((store, saved)),
            Err(Broken(what)) => Err(Unusable::Damaged(Broken(what).to_string())),
            // Another build's is no less sound for that: it is neither moved away nor begun anew.
            Err(e @ (Foreign(_) | Later(_))) => Err(Unusable::Disk(e.to_string())),
        }
    }

    /// Opens what is there after the disk has failed, and writes all of it anew: what can be read need not be on the disk.
    pub fn renew(path: &Path) -> Opened {
        match Store::open(path) {
            Opened::Sound(store, saved) => {
                drop(store);
                match Store::write_whole(path, &saved) {
                    Ok(store) => Opened::Sound(store, saved),
                    Err(e) => Opened::Unavailable(e.to_string()),
                }
            }
            other => other,
        }
    }

    /// Moves a damaged store out of the way, for whoever wants to look at it. Returns where it went.
    ///
    /// # Errors
    /// The disk's.
    pub fn set_aside(path: &Path) -> Result<PathBuf, StoreError> {
        let aside = free_name(path, "damaged");
        std::fs::rename(path, &aside).map_err(|e| disk(path, e))?;
        Ok(aside)
    }

    /// Puts another store in the place of one that nobody has open, at once or not at all, and keeps the old one under a
    /// name that it returns.
    ///
    /// # Errors
    /// The disk's; the old one is still in its place then.
    pub fn replace(path: &Path, saved: &Saved) -> Result<PathBuf, StoreError> {
        let aside = free_name(path, "replaced");
        std::fs::hard_link(path, &aside).map_err(|e| disk(path, e))?;
        Store::write_whole(path, saved)?;
        Ok(aside)
    }

    fn read(&self) -> Result<Saved, Unusable> {
        let read = self.db.begin_read()?;
        let state = read.open_table(STATE)?;
        let piece = |key: &str| -> Result<Option<Vec<u8>>, Unusable> {
            let Some(bytes) = state.get(key)? else { return Ok(None) };
            opened(key.as_bytes(), bytes.value())
                .map(Some)
                .ok_or_else(|| Unusable::Damaged(format!("'{key}' is not as it was written")))
        };
        let seat = piece(SEAT)?.and_then(|b| b.try_into().ok()).map(u64::from_le_bytes);
        let seat = seat.ok_or_else(|| Unusable::Damaged("it names no seat".into()))?;
        let hard = piece(HARD)?;
        let snapshot = match piece(SNAPSHOT)? {
            Some(bytes) => {
                let without = || Unusable::Damaged("a snapshot without a place".into());
                let (index, rest) = bytes.split_first_chunk::<8>().ok_or_else(without)?;
                Some((u64::from_le_bytes(*index), rest.to_vec()))
            }
            None => None,
        };
        let mut entries = Vec::new();
        for entry in read.open_table(ENTRIES)?.iter()? {
            let (index, bytes) = entry?;
            let index = index.value();
            let value = opened(&index.to_le_bytes(), bytes.value());
            let torn = || Unusable::Damaged(format!("entry {index} is not as it was written"));
            entries.push((index, value.ok_or_else(torn)?));
        }
        Ok(Saved { seat, hard, entries, snapshot })
    }

    /// Keeps a write: when this returns well, it is on the disk.
    ///
    /// # Errors
    /// The disk's: full, gone, broken. Nothing is promised then.
    pub fn keep(&self, write: &Write) -> Result<(), StoreError> {
        self.commit(write, None).map_err(|e| disk(&self.path, e))
    }

    fn commit(&self, write: &Write, seat: Option<u64>) -> Result<(), redb::Error> {
        let change = self.db.begin_write()?;
        {
            let mut state = change.open_table(STATE)?;
            let mut put = |key: &str, value: &[u8]| {
                state.insert(key, sealed(key.as_bytes(), value).as_slice()).map(drop)
            };
            if let Some(seat) = seat {
                put(SEAT, &seat.to_le_bytes())?;
            }
            if let Some(hard) = &write.hard {
                put(HARD, hard)?;
            }
            if let Some((index, snapshot)) = &write.snapshot {
                put(SNAPSHOT, &[&index.to_le_bytes()[..], snapshot].concat())?;
            }
            let mut entries = change.open_table(ENTRIES)?;
            if let Some((index, _)) = &write.snapshot {
                // A snapshot beyond all that is here takes the place of all of it.
                let last = entries.last()?.map(|(last, _)| last.value());
                if last.is_some_and(|last| last < *index) {
                    entries.retain(|_, _| false)?;
                }
            }
            if let Some((first, _)) = write.entries.first() {
                entries.retain_in::<u64, _>(*first.., |_, _| false)?;
            }
            for (index, entry) in &write.entries {
                entries.insert(index, sealed(&index.to_le_bytes(), entry).as_slice())?;
            }
            if let Some(cut) = write.cut {
                entries.retain_in::<u64, _>(..=cut, |_, _| false)?;
            }
        }
        change.commit()?;
        Ok(())
    }
}

/// Where a store is made before it has its name. The ending is added, as other files beside it may differ in theirs alone.
fn unfinished(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    name.into()
}

/// A name beside a store's that no file has yet.
fn free_name(path: &Path, what: &str) -> PathBuf {
    let free = (1..).map(|n| path.with_extension(format!("{what}-{n}"))).find(|p| !p.exists());
    free.unwrap_or_else(|| path.with_extension(what))
}

/// The name of a file has to last as well.
fn sync_folder(path: &Path) -> std::io::Result<()> {
    match path.parent().filter(|p| !p.as_os_str().is_empty()) {
        Some(folder) => std::fs::File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

fn disk(path: &Path, e: impl std::fmt::Display) -> StoreError {
    StoreError::Disk { path: path.to_owned(), what: e.to_string() }
}

/// A store behind a thread of its own, so that a slow disk holds up nobody.
pub struct StoreWriter {
    writes: SyncSender<Write>,
}

impl StoreWriter {
    /// Starts the thread; `told` hears each write's number once it is on the disk, or why none will be any more.
    ///
    /// # Errors
    /// Where the system gives no thread.
    pub fn start(
        store: Store, mut told: impl FnMut(Result<u64, String>) + Send + 'static,
    ) -> std::io::Result<Self> {
        // Twice what a voter leaves unacknowledged before it steps down.
        let (writes, waiting) = sync_channel::<Write>(2 * WRITES);
        std::thread::Builder::new().name("rules-disk".into()).spawn(move || {
            while let Ok(write) = waiting.recv() {
                let kept = store.keep(&write).map(|()| write.number).map_err(|e| e.to_string());
                let failed = kept.is_err();
                told(kept);
                if failed {
                    return;
                }
            }
        })?;
        Ok(StoreWriter { writes })
    }

    /// Hands a write over.
    ///
    /// # Errors
    /// Where the disk is so far behind, or gone, that it can't be: the voter must take no further part.
    pub fn keep(&self, write: Write) -> Result<(), &'static str> {
        self.writes.try_send(write).map_err(|e| match e {
            TrySendError::Full(_) => "it is far behind",
            TrySendError::Disconnected(_) => "it has stopped",
        })
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;
    use crate::log::encoded;
    use crate::machine::Seat;

    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Self {
            let path = std::env::temp_dir().join(format!("sandgap-store-{name}-{}", std::process::id()));
            let _ = std::fs::remove_dir_all(&path);
            std::fs::create_dir_all(&path).expect("a folder");
            Folder(path)
        }

        fn file(&self) -> PathBuf {
            self.0.join("voter.redb")
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    fn founding() -> Saved {
        let seat = |n: u16| Seat { name: format!("v{n}"), address: ([127, 0, 0, 1], n).into() };
        let seats: BTreeMap<u64, Seat> = (1..=3).map(|n| (u64::from(n), seat(n))).collect();
        Saved::founding(2, &seats)
    }

    fn entries(range: std::ops::Range<u64>, term: u64) -> Vec<(u64, Vec<u8>)> {
        let entry =
            |index| raft::eraftpb::Entry { index, term, data: vec![7; 40].into(), ..Default::default() };
        range.map(|i| (i, encoded(&entry(i)))).collect()
    }

    fn hard(term: u64, commit: u64) -> Option<Vec<u8>> {
        Some(encoded(&raft::eraftpb::HardState { term, vote: 2, commit, ..Default::default() }))
    }

    /// Some writes, as a voter makes them.
    fn writes() -> Vec<Write> {
        vec![
            Write { number: 1, hard: hard(1, 1), entries: entries(2..6, 1), ..Write::default() },
            Write { number: 2, entries: entries(4..9, 2), hard: hard(2, 3), ..Write::default() },
            Write { number: 3, hard: hard(3, 8), ..Write::default() },
            Write {
                number: 4,
                cut: Some(3),
                snapshot: founding().snapshot.map(|(_, s)| (1, s)),
                ..Write::default()
            },
        ]
    }

    fn saved_at(path: &Path) -> Option<Saved> {
        match Store::open(path) {
            Opened::Sound(_, saved) => Some(saved),
            _ => None,
        }
    }

    #[test]
    fn what_was_kept_is_there_after_each_write() {
        let folder = Folder::new("kept");
        let mut wanted = founding();
        let mut store = Store::create(&folder.file(), &wanted).expect("made");
        assert!(matches!(Store::create(&folder.file(), &wanted), Err(StoreError::Exists(_))));
        for write in writes().into_iter().take(3) {
            store.keep(&write).expect("kept");
            wanted.put(&write);
            drop(store);
            store = match Store::open(&folder.file()) {
                Opened::Sound(store, saved) => {
                    assert_eq!(saved, wanted);
                    store
                }
                _ => panic!("not sound after write {}", write.number),
            };
        }
    }

    #[test]
    fn a_missing_store_is_missing_and_an_emptied_one_damaged() {
        let folder = Folder::new("missing");
        assert!(matches!(Store::open(&folder.file()), Opened::Missing));
        std::fs::write(folder.file(), b"").expect("written");
        assert!(!matches!(Store::open(&folder.file()), Opened::Sound(..)));
        std::fs::write(folder.file(), vec![0x5a; 70_000]).expect("written");
        assert!(matches!(Store::open(&folder.file()), Opened::Damaged(_)));
        let aside = Store::set_aside(&folder.file()).expect("moved");
        assert!(aside.exists() && !folder.file().exists());
    }

    /// A store with a flipped bit or a torn end is either found out or tells what it was told, nothing else.
    #[test]
    fn a_flipped_bit_or_a_torn_end_is_never_believed() {
        let folder = Folder::new("flipped");
        let store = Store::create(&folder.file(), &founding()).expect("made");
        for write in writes().iter().take(3) {
            store.keep(write).expect("kept");
        }
        drop(store);
        let good = std::fs::read(folder.file()).expect("read");
        let wanted = saved_at(&folder.file()).expect("sound");
        let mut rng = fastrand::Rng::with_seed(3);
        let written: Vec<usize> = (0..good.len()).filter(|i| good[*i] != 0).collect();
        let mut found = 0;
        for round in 0..150 {
            let mut bad = good.clone();
            let at = written[rng.usize(..written.len())];
            match round % 3 {
                0 | 1 => bad[at] ^= 1 << rng.u32(..8),
                _ => bad.truncate(at),
            }
            std::fs::write(folder.file(), &bad).expect("written");
            match saved_at(&folder.file()) {
                Some(saved) => assert_eq!(saved, wanted, "round {round}, byte {at}"),
                None => found += 1,
            }
        }
        assert!(found > 50, "{found} of 150 found");
    }

    #[test]
    fn a_store_that_another_has_open_is_not_taken_for_damaged() {
        let folder = Folder::new("busy");
        let store = Store::create(&folder.file(), &founding()).expect("made");
        assert!(matches!(Store::open(&folder.file()), Opened::Unavailable(_)));
        drop(store);
        assert!(matches!(Store::open(&folder.file()), Opened::Sound(..)));
    }

    #[test]
    fn a_store_that_is_renewed_holds_the_same_and_what_was_half_made_is_in_nobodys_way() {
        let folder = Folder::new("renewed");
        std::fs::write(unfinished(&folder.file()), b"half").expect("written");
        let store = Store::create(&folder.file(), &founding()).expect("made");
        for write in writes().iter().take(3) {
            store.keep(write).expect("kept");
        }
        assert!(matches!(Store::renew(&folder.file()), Opened::Unavailable(_)), "it is still open");
        drop(store);
        let before = saved_at(&folder.file()).expect("sound");
        let Opened::Sound(renewed, saved) = Store::renew(&folder.file()) else { panic!("not renewed") };
        assert_eq!(saved, before);
        renewed.keep(&Write { number: 1, hard: hard(4, 8), ..Write::default() }).expect("kept");
        drop(renewed);
        let after = saved_at(&folder.file()).expect("sound");
        assert_eq!(after, Saved { hard: hard(4, 8), ..before });
        assert!(!unfinished(&folder.file()).exists());
    }

    #[test]
    fn a_disk_that_fails_says_so_once_and_a_thread_keeps_the_order() {
        let folder = Folder::new("thread");
        let store = Store::create(&folder.file(), &founding()).expect("made");
        let (sender, told) = std::sync::mpsc::channel();
        let writer = StoreWriter::start(store, move |kept| drop(sender.send(kept))).expect("a thread");
        for write in writes().into_iter().take(3) {
            writer.keep(write).expect("handed over");
        }
        let numbers: Vec<u64> = (0..3).map(|_| told.recv().expect("told").expect("kept")).collect();
        assert_eq!(numbers, [1, 2, 3]);
    }
}
