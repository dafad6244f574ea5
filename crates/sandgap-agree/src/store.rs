//! A voter's store: one `redb` database with its seat, term and vote, log and snapshot. The only part of this crate
//! that does I/O.
//!
//! Guarantees after a crash: an acknowledged write is completely there, any other write completely or not at all (the
//! database commits copy-on-write with checksums and syncs each commit). Every value is stored with a BLAKE3 hash of
//! itself and its key, and all values are read at startup: a flipped bit, a swapped value or a missing record makes the
//! store [`Opened::Damaged`], and a voter must not resume from it under its old seat.
//!
//! An I/O error is different: the disk may be full or unreachable for a while, which says nothing about its contents
//! ([`Opened::Unavailable`]). Stores are created atomically: written under a temporary name, synced and renamed. After
//! a failed write or sync, the contents on the disk are unknown whatever can be read (fsync(2)): [`Store::rewrite`]
//! writes the store again.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

use crate::limits::MAX_PENDING_WRITES;
use crate::log::Damaged::{Corrupt, LaterFormat, OtherBuild};
use crate::log::{Log, Saved, Write};

const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

const SEAT: &str = "seat";
const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const HASH_BYTES: usize = 32;

/// What went wrong with a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk or the database reported an error.
    #[error("{path}: {what}")]
    Disk {
        /// The file.
        path: PathBuf,
        /// The error.
        what: String,
    },
    /// The store exists already.
    #[error(
        "{0}: the store exists already; founding a new fleet over it would lose the rules that were agreed"
    )]
    Exists(PathBuf),
}

/// The result of opening a store.
pub enum Opened {
    /// The store is intact.
    Intact(Store, Saved),
    /// There is no store.
    Missing,
    /// The store is damaged and must not be used.
    Damaged(String),
    /// The store can't be checked now: another process has it open, or the system refuses access.
    Unavailable(String),
}

/// Why a store can't be used.
enum Unusable {
    /// The system refused access, or another build wrote the store: it may be intact.
    Unavailable(String),
    /// The contents differ from what was written.
    Damaged(String),
}

impl<E: Into<redb::Error>> From<E> for Unusable {
    fn from(error: E) -> Self {
        let error = error.into();
        if is_io_error(&error) {
            Unusable::Unavailable(error.to_string())
        } else {
            Unusable::Damaged(error.to_string())
        }
    }
}

/// Whether an error comes from the disk or from another process, not from the contents of the file. For a foreign or
/// truncated file the database reports `InvalidData` and `UnexpectedEof`, which the system itself never returns.
fn is_io_error(error: &redb::Error) -> bool {
    match error {
        redb::Error::Io(e) => !matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof),
        redb::Error::DatabaseAlreadyOpen | redb::Error::PreviousIo => true,
        _ => false,
    }
}

/// A voter's store, see the module.
pub struct Store {
    db: Database,
    path: PathBuf,
}

fn with_hash(key: &[u8], value: &[u8]) -> Vec<u8> {
    let hash = blake3::Hasher::new().update(key).update(&[0]).update(value).finalize();
    [hash.as_bytes(), value].concat()
}

fn verify_hash(key: &[u8], bytes: &[u8]) -> Option<Vec<u8>> {
    let value = bytes.get(HASH_BYTES..)?;
    (with_hash(key, value) == bytes).then(|| value.to_vec())
}

impl Store {
    /// Creates a store.
    ///
    /// # Errors
    /// If it exists already, or on an I/O error; then no file of that name is created.
    pub fn create(path: &Path, saved: &Saved) -> Result<Self, StoreError> {
        if path.exists() {
            return Err(StoreError::Exists(path.to_owned()));
        }
        Store::write_atomically(path, saved)
    }

    /// Writes a store under a temporary name, and renames it once all of it is on the disk.
    fn write_atomically(path: &Path, saved: &Saved) -> Result<Self, StoreError> {
        let new = temporary_path(path);
        let made = Store::write_new(&new, saved).map_err(|e| disk_error(&new, e));
        let made = made.and_then(|db| {
            std::fs::rename(&new, path)
                .and_then(|()| sync_directory(path))
                .map_err(|e| disk_error(path, e))?;
            Ok(Store { db, path: path.to_owned() })
        });
        if made.is_err() {
            let _ = std::fs::remove_file(&new); // if this fails, the next attempt removes the file first
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
            hard_state: saved.hard_state.clone(),
            entries: saved.entries.clone(),
            snapshot: saved.snapshot.clone(),
            ..Write::default()
        };
        store.commit(&all, Some(saved.seat))?;
        Ok(store.db)
    }

    /// Opens a store, and reads and verifies all of it.
    pub fn open(path: &Path) -> Opened {
        if !path.exists() {
            return Opened::Missing;
        }
        // The database may panic on a file that it can't parse.
        match std::panic::catch_unwind(|| Store::open_checked(path)) {
            Ok(Ok((store, saved))) => Opened::Intact(store, saved),
            Ok(Err(Unusable::Unavailable(why))) => Opened::Unavailable(why),
            Ok(Err(Unusable::Damaged(why))) => Opened::Damaged(why),
            Err(_) => Opened::Damaged("the database failed while reading the file".into()),
        }
    }

    fn open_checked(path: &Path) -> Result<(Store, Saved), Unusable> {
        let mut db = Database::open(path)?;
        // Verifies the checksum of every page and the free-page lists, over which the database would fail later.
        db.check_integrity()?;
        let store = Store { db, path: path.to_owned() };
        let saved = store.read()?;
        match Log::load(&saved) {
            Ok(_) => Ok((store, saved)),
            Err(Corrupt(what)) => Err(Unusable::Damaged(Corrupt(what).to_string())),
            // A store of another build is intact: it must be neither moved aside nor replaced by a blank one.
            Err(e @ (OtherBuild(_) | LaterFormat(_))) => Err(Unusable::Unavailable(e.to_string())),
        }
    }

    /// Opens a store after the disk has failed, and writes all of it again: data that can be read need not be on the
    /// disk.
    pub fn rewrite(path: &Path) -> Opened {
        match Store::open(path) {
            Opened::Intact(store, saved) => {
                drop(store);
                match Store::write_atomically(path, &saved) {
                    Ok(store) => Opened::Intact(store, saved),
                    Err(e) => Opened::Unavailable(e.to_string()),
                }
            }
            other => other,
        }
    }

    /// Renames a damaged store, so that it can be examined. Returns its new path.
    ///
    /// # Errors
    /// On an I/O error.
    pub fn move_aside(path: &Path) -> Result<PathBuf, StoreError> {
        let aside = unused_path(path, "damaged");
        std::fs::rename(path, &aside).map_err(|e| disk_error(path, e))?;
        Ok(aside)
    }

    /// Atomically replaces a store that no process has open. Returns the path under which the old one is kept.
    ///
    /// # Errors
    /// On an I/O error; the old store is then still in place.
    pub fn replace(path: &Path, saved: &Saved) -> Result<PathBuf, StoreError> {
        let aside = unused_path(path, "replaced");
        std::fs::hard_link(path, &aside).map_err(|e| disk_error(path, e))?;
        Store::write_atomically(path, saved)?;
        Ok(aside)
    }

    fn read(&self) -> Result<Saved, Unusable> {
        let read = self.db.begin_read()?;
        let state = read.open_table(STATE)?;
        let value_of = |key: &str| -> Result<Option<Vec<u8>>, Unusable> {
            let Some(bytes) = state.get(key)? else { return Ok(None) };
            verify_hash(key.as_bytes(), bytes.value())
                .map(Some)
                .ok_or_else(|| Unusable::Damaged(format!("the hash of '{key}' does not match")))
        };
        let seat = value_of(SEAT)?.and_then(|b| b.try_into().ok()).map(u64::from_le_bytes);
        let seat = seat.ok_or_else(|| Unusable::Damaged("the seat is missing or malformed".into()))?;
        let hard_state = value_of(HARD)?;
        let snapshot = match value_of(SNAPSHOT)? {
            Some(bytes) => {
                let malformed = || Unusable::Damaged("the snapshot has no index".into());
                let (index, rest) = bytes.split_first_chunk::<8>().ok_or_else(malformed)?;
                Some((u64::from_le_bytes(*index), rest.to_vec()))
            }
            None => None,
        };
        let mut entries = Vec::new();
        for entry in read.open_table(ENTRIES)?.iter()? {
            let (index, bytes) = entry?;
            let index = index.value();
            let value = verify_hash(&index.to_le_bytes(), bytes.value());
            let mismatch = || Unusable::Damaged(format!("the hash of entry {index} does not match"));
            entries.push((index, value.ok_or_else(mismatch)?));
        }
        Ok(Saved { seat, hard_state, entries, snapshot })
    }

    /// Persists a write: when this returns `Ok`, it is on the disk.
    ///
    /// # Errors
    /// On an I/O error (full, missing or broken disk). Nothing is guaranteed then.
    pub fn write(&self, write: &Write) -> Result<(), StoreError> {
        self.commit(write, None).map_err(|e| disk_error(&self.path, e))
    }

    fn commit(&self, write: &Write, seat: Option<u64>) -> Result<(), redb::Error> {
        let change = self.db.begin_write()?;
        {
            let mut state = change.open_table(STATE)?;
            let mut put = |key: &str, value: &[u8]| {
                state.insert(key, with_hash(key.as_bytes(), value).as_slice()).map(drop)
            };
            if let Some(seat) = seat {
                put(SEAT, &seat.to_le_bytes())?;
            }
            if let Some(hard_state) = &write.hard_state {
                put(HARD, hard_state)?;
            }
            if let Some((index, snapshot)) = &write.snapshot {
                put(SNAPSHOT, &[&index.to_le_bytes()[..], snapshot].concat())?;
            }
            let mut entries = change.open_table(ENTRIES)?;
            if let Some((index, _)) = &write.snapshot {
                // A snapshot beyond all stored entries replaces them.
                let last = entries.last()?.map(|(last, _)| last.value());
                if last.is_some_and(|last| last < *index) {
                    entries.retain(|_, _| false)?;
                }
            }
            if let Some((first, _)) = write.entries.first() {
                entries.retain_in::<u64, _>(*first.., |_, _| false)?;
            }
            for (index, entry) in &write.entries {
                entries.insert(index, with_hash(&index.to_le_bytes(), entry).as_slice())?;
            }
            if let Some(cut) = write.cut {
                entries.retain_in::<u64, _>(..=cut, |_, _| false)?;
            }
        }
        change.commit()?;
        Ok(())
    }
}

/// The temporary path of a store that is being written. The suffix is appended instead of replacing the extension, as
/// other files in the directory may differ in their extension alone.
fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    name.into()
}

/// A path next to a store's that does not exist yet.
fn unused_path(path: &Path, what: &str) -> PathBuf {
    let free = (1..).map(|n| path.with_extension(format!("{what}-{n}"))).find(|p| !p.exists());
    free.unwrap_or_else(|| path.with_extension(what))
}

/// Syncs the directory of a file, so that its name survives a crash.
fn sync_directory(path: &Path) -> std::io::Result<()> {
    match path.parent().filter(|p| !p.as_os_str().is_empty()) {
        Some(folder) => std::fs::File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

fn disk_error(path: &Path, e: impl std::fmt::Display) -> StoreError {
    StoreError::Disk { path: path.to_owned(), what: e.to_string() }
}

/// A store that is written by its own thread, so that a slow disk blocks no one else.
pub struct StoreWriter {
    writes: SyncSender<Write>,
}

impl StoreWriter {
    /// Starts the thread. `on_result` gets each write's number once it is on the disk, or the error after which the
    /// thread ends.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(
        store: Store, mut on_result: impl FnMut(Result<u64, String>) + Send + 'static,
    ) -> std::io::Result<Self> {
        // Twice the number of unacknowledged writes at which a voter steps down.
        let (writes, waiting) = sync_channel::<Write>(2 * MAX_PENDING_WRITES);
        std::thread::Builder::new().name("rules-disk".into()).spawn(move || {
            while let Ok(write) = waiting.recv() {
                let kept = store.write(&write).map(|()| write.number).map_err(|e| e.to_string());
                let failed = kept.is_err();
                on_result(kept);
                if failed {
                    return;
                }
            }
        })?;
        Ok(StoreWriter { writes })
    }

    /// Queues a write.
    ///
    /// # Errors
    /// If the queue is full or the thread has ended: the voter must take no further part.
    pub fn write(&self, write: Write) -> Result<(), &'static str> {
        self.writes.try_send(write).map_err(|e| match e {
            TrySendError::Full(_) => "its write queue is full",
            TrySendError::Disconnected(_) => "its writer has stopped",
        })
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;
    use crate::log::encode_proto;
    use crate::machine::Seat;

    struct TempDir(PathBuf);

    impl TempDir {
        fn new(name: &str) -> Self {
            let path = std::env::temp_dir().join(format!("sandgap-store-{name}-{}", std::process::id()));
            let _ = std::fs::remove_dir_all(&path);
            std::fs::create_dir_all(&path).expect("a directory");
            TempDir(path)
        }

        fn file(&self) -> PathBuf {
            self.0.join("voter.redb")
        }
    }

    impl Drop for TempDir {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    fn initial() -> Saved {
        let seat = |n: u16| Seat { name: format!("v{n}"), address: ([127, 0, 0, 1], n).into() };
        let seats: BTreeMap<u64, Seat> = (1..=3).map(|n| (u64::from(n), seat(n))).collect();
        Saved::initial(2, &seats)
    }

    fn entries(range: std::ops::Range<u64>, term: u64) -> Vec<(u64, Vec<u8>)> {
        let entry =
            |index| raft::eraftpb::Entry { index, term, data: vec![7; 40].into(), ..Default::default() };
        range.map(|i| (i, encode_proto(&entry(i)))).collect()
    }

    fn hard_state(term: u64, commit: u64) -> Option<Vec<u8>> {
        Some(encode_proto(&raft::eraftpb::HardState { term, vote: 2, commit, ..Default::default() }))
    }

    /// Typical writes of a voter.
    fn writes() -> Vec<Write> {
        vec![
            Write { number: 1, hard_state: hard_state(1, 1), entries: entries(2..6, 1), ..Write::default() },
            Write { number: 2, entries: entries(4..9, 2), hard_state: hard_state(2, 3), ..Write::default() },
            Write { number: 3, hard_state: hard_state(3, 8), ..Write::default() },
            Write {
                number: 4,
                cut: Some(3),
                snapshot: initial().snapshot.map(|(_, s)| (1, s)),
                ..Write::default()
            },
        ]
    }

    fn saved_at(path: &Path) -> Option<Saved> {
        match Store::open(path) {
            Opened::Intact(_, saved) => Some(saved),
            _ => None,
        }
    }

    #[test]
    fn a_reopened_store_contains_all_writes() {
        let dir = TempDir::new("kept");
        let mut expected = initial();
        let mut store = Store::create(&dir.file(), &expected).expect("made");
        assert!(matches!(Store::create(&dir.file(), &expected), Err(StoreError::Exists(_))));
        for write in writes().into_iter().take(3) {
            store.write(&write).expect("kept");
            expected.apply(&write);
            drop(store);
            store = match Store::open(&dir.file()) {
                Opened::Intact(store, saved) => {
                    assert_eq!(saved, expected);
                    store
                }
                _ => panic!("not sound after write {}", write.number),
            };
        }
    }

    #[test]
    fn missing_empty_and_foreign_files_are_told_apart() {
        let dir = TempDir::new("missing");
        assert!(matches!(Store::open(&dir.file()), Opened::Missing));
        std::fs::write(dir.file(), b"").expect("written");
        assert!(!matches!(Store::open(&dir.file()), Opened::Intact(..)));
        std::fs::write(dir.file(), vec![0x5a; 70_000]).expect("written");
        assert!(matches!(Store::open(&dir.file()), Opened::Damaged(_)));
        let aside = Store::move_aside(&dir.file()).expect("moved");
        assert!(aside.exists() && !dir.file().exists());
    }

    /// A store with a flipped bit or a truncated file is either detected as damaged or returns exactly what was
    /// written.
    #[test]
    fn flipped_bits_and_truncation_never_change_what_is_read() {
        let dir = TempDir::new("flipped");
        let store = Store::create(&dir.file(), &initial()).expect("made");
        for write in writes().iter().take(3) {
            store.write(write).expect("kept");
        }
        drop(store);
        let good = std::fs::read(dir.file()).expect("read");
        let expected = saved_at(&dir.file()).expect("sound");
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
            std::fs::write(dir.file(), &bad).expect("written");
            match saved_at(&dir.file()) {
                Some(saved) => assert_eq!(saved, expected, "round {round}, byte {at}"),
                None => found += 1,
            }
        }
        assert!(found > 50, "{found} of 150 found");
    }

    #[test]
    fn a_store_that_is_open_elsewhere_is_unavailable_not_damaged() {
        let dir = TempDir::new("busy");
        let store = Store::create(&dir.file(), &initial()).expect("made");
        assert!(matches!(Store::open(&dir.file()), Opened::Unavailable(_)));
        drop(store);
        assert!(matches!(Store::open(&dir.file()), Opened::Intact(..)));
    }

    #[test]
    fn a_renewed_store_has_the_same_contents_and_leftover_temporary_files_are_replaced() {
        let dir = TempDir::new("renewed");
        std::fs::write(temporary_path(&dir.file()), b"half").expect("written");
        let store = Store::create(&dir.file(), &initial()).expect("made");
        for write in writes().iter().take(3) {
            store.write(write).expect("kept");
        }
        assert!(matches!(Store::rewrite(&dir.file()), Opened::Unavailable(_)), "it is still open");
        drop(store);
        let before = saved_at(&dir.file()).expect("sound");
        let Opened::Intact(renewed, saved) = Store::rewrite(&dir.file()) else { panic!("not renewed") };
        assert_eq!(saved, before);
        renewed.write(&Write { number: 1, hard_state: hard_state(4, 8), ..Write::default() }).expect("kept");
        drop(renewed);
        let after = saved_at(&dir.file()).expect("sound");
        assert_eq!(after, Saved { hard_state: hard_state(4, 8), ..before });
        assert!(!temporary_path(&dir.file()).exists());
    }

    #[test]
    fn the_writer_thread_acknowledges_writes_in_order() {
        let dir = TempDir::new("thread");
        let store = Store::create(&dir.file(), &initial()).expect("made");
        let (sender, results) = std::sync::mpsc::channel();
        let writer = StoreWriter::start(store, move |kept| drop(sender.send(kept))).expect("a thread");
        for write in writes().into_iter().take(3) {
            writer.write(write).expect("handed over");
        }
        let numbers: Vec<u64> = (0..3).map(|_| results.recv().expect("sent").expect("kept")).collect();
        assert_eq!(numbers, [1, 2, 3]);
    }
}
