//! Keeps the version in force in a file for the next start of the process.

use std::fs::File;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::note;

/// Wait before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Minimum interval between two log lines about failed writes.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Writes the version in force to a file, one write at a time and the latest version last. A separate thread writes, so
/// that a slow disk does not block the event loop. A failed write is retried until it succeeds or a later version
/// replaces it.
#[derive(Clone)]
pub struct KeptVersion(Arc<Shared>);

struct Shared {
    path: PathBuf,
    slot: Mutex<Slot>,
}

#[derive(Default)]
struct Slot {
    /// The next version to write; a later version replaces a waiting one.
    next: Option<Vec<u8>>,
    /// Whether a thread is writing.
    busy: bool,
}

impl KeptVersion {
    /// A writer for this path; nothing is written yet.
    pub fn new(path: PathBuf) -> Self {
        KeptVersion(Arc::new(Shared { path, slot: Mutex::default() }))
    }

    fn slot(&self) -> MutexGuard<'_, Slot> {
        self.0.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Schedules a version to be written.
    pub fn put(&self, bytes: Vec<u8>) {
        let mut slot = self.slot();
        slot.next = Some(bytes);
        if std::mem::replace(&mut slot.busy, true) {
            return;
        }
        let kept = self.clone();
        let thread = thread::Builder::new().name("rules-keep".into());
        if thread.spawn(move || kept.write_all()).is_err() {
            slot.busy = false; // without a thread nothing is kept; the next version tries again
        }
    }

    fn write_all(&self) {
        let path = &self.0.path;
        let mut logged: Option<Instant> = None;
        loop {
            let mut slot = self.slot();
            let Some(bytes) = slot.next.take() else {
                slot.busy = false;
                return;
            };
            drop(slot);
            let Err(e) = replace(path, &bytes) else { continue };
            if logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
                note!(warn: "{}: {e}; the version in force is not kept yet; retrying", path.display());
                logged = Some(Instant::now());
            }
            self.slot().next.get_or_insert(bytes);
            thread::sleep(RETRY_DELAY);
        }
    }
}

/// Replaces a file's contents by an atomic rename. Each attempt writes the whole file again, because its contents after
/// a failed sync are undefined (fsync(2)).
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut new = path.as_os_str().to_owned();
    new.push(".new"); // appended, because files in the same directory may differ only in their extension
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&new, path)
}

#[cfg(test)]
mod tests;
