//! The exchange of open request ids with another process of the same proxy, over a Unix socket. Neither side ever waits for
//! the other: what the socket does not accept is kept, and an id that was opened and closed meanwhile is not sent at all.

use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;

use rustc_hash::{FxHashMap, FxHashSet};

/// Bytes of a change: its tag and an id.
const FRAME_BYTES: usize = 9;
/// Bytes that are read at once.
const READ_BYTES: usize = 512 * FRAME_BYTES;
const OPENED: u8 = b'O';
const CLOSED: u8 = b'C';
const SNAPSHOT_END: u8 = b'E';

/// A change of the ids in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// A request with this id is open.
    Opened(u64),
    /// It is not open any more.
    Closed(u64),
    /// All ids in use when the link began have been told.
    SnapshotEnd,
}

impl Change {
    fn encode(self) -> [u8; FRAME_BYTES] {
        let (tag, id) = match self {
            Change::Opened(id) => (OPENED, id),
            Change::Closed(id) => (CLOSED, id),
            Change::SnapshotEnd => (SNAPSHOT_END, 0),
        };
        let mut frame = [tag; FRAME_BYTES];
        frame[1..].copy_from_slice(&id.to_le_bytes());
        frame
    }

    fn decode(frame: &[u8; FRAME_BYTES]) -> Option<Self> {
        let [tag, id @ ..] = frame;
        let id = u64::from_le_bytes(*id);
        match *tag {
            OPENED => Some(Change::Opened(id)),
            CLOSED => Some(Change::Closed(id)),
            SNAPSHOT_END => Some(Change::SnapshotEnd),
            _ => None,
        }
    }
}

/// The link to one other process.
pub(super) struct IdLink {
    stream: UnixStream,
    /// Ids in use there.
    open: FxHashSet<u64>,
    has_snapshot: bool,
    has_ended: bool,
    /// Bytes of an incomplete frame that has been read.
    read: Vec<u8>,
    /// Bytes of frames that the socket has not accepted yet.
    unwritten: Vec<u8>,
    /// Changes that come after those, by id: whether it is open. Bounded by the ids in use here and known there.
    pending: FxHashMap<u64, bool>,
    /// Ids that are open as far as the other process has been told.
    told: FxHashSet<u64>,
    is_snapshot_end_pending: bool,
}

impl IdLink {
    /// Creates the link over a connected socket.
    pub(super) fn new(stream: UnixStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        Ok(IdLink {
            stream,
            open: FxHashSet::default(),
            has_snapshot: false,
            has_ended: false,
            read: Vec::new(),
            unwritten: Vec::new(),
            pending: FxHashMap::default(),
            told: FxHashSet::default(),
            is_snapshot_end_pending: false,
        })
    }

    /// Whether an id is in use there.
    pub(super) fn has_open(&self, id: u64) -> bool {
        self.open.contains(&id)
    }

    /// The ids in use there.
    pub(super) fn open(&self) -> impl Iterator<Item = u64> {
        self.open.iter().copied()
    }

    /// Whether the other process has told all ids that were in use there when the link began.
    pub(super) fn has_snapshot(&self) -> bool {
        self.has_snapshot
    }

    /// Whether the other process has ended.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Queues a change for the other process.
    pub(super) fn announce(&mut self, change: Change) {
        match change {
            Change::Opened(id) => drop(self.pending.insert(id, true)),
            Change::Closed(id) => drop(self.pending.insert(id, false)),
            Change::SnapshotEnd => self.is_snapshot_end_pending = true,
        }
    }

    /// Writes what is queued, and returns the changes that have arrived.
    pub(super) fn exchange(&mut self) -> Vec<Change> {
        self.flush();
        let mut changes = Vec::new();
        while !self.has_ended && self.read_some(&mut changes) {}
        for change in &changes {
            match change {
                Change::Opened(id) => drop(self.open.insert(*id)),
                Change::Closed(id) => drop(self.open.remove(id)),
                Change::SnapshotEnd => self.has_snapshot = true,
            }
        }
        changes.retain(|change| *change != Change::SnapshotEnd);
        changes
    }

    /// Writes what is queued, as far as the socket accepts it.
    pub(super) fn flush(&mut self) {
        if self.unwritten.is_empty() {
            for (id, is_open) in self.pending.drain() {
                let is_news = if is_open { self.told.insert(id) } else { self.told.remove(&id) };
                let change = if is_open { Change::Opened(id) } else { Change::Closed(id) };
                self.unwritten.extend(change.encode().into_iter().filter(|_| is_news));
            }
            if std::mem::take(&mut self.is_snapshot_end_pending) {
                self.unwritten.extend(Change::SnapshotEnd.encode());
            }
        }
        while !self.unwritten.is_empty() && !self.has_ended {
            match self.stream.write(&self.unwritten) {
                Ok(written) => drop(self.unwritten.drain(..written)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return, // the end is read behind what the other process has written
            }
        }
    }

    /// Reads some changes; false if there are no more for now.
    fn read_some(&mut self, changes: &mut Vec<Change>) -> bool {
        let mut buffer = [0; READ_BYTES];
        let count = match self.stream.read(&mut buffer) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return true,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
            Ok(0) | Err(_) => {
                self.has_ended = true;
                return false;
            }
            Ok(count) => count,
        };
        self.read.extend_from_slice(&buffer[..count]);
        let (frames, rest) = self.read.as_chunks::<FRAME_BYTES>();
        for frame in frames {
            match Change::decode(frame) {
                Some(change) => changes.push(change),
                None => self.has_ended = true, // a process that speaks otherwise tells nothing
            }
        }
        self.read = rest.to_vec();
        true
    }
}

#[cfg(test)]
mod tests;
