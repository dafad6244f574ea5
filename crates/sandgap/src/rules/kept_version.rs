//! The version in force, kept in a file for the next start of the process.

use std::fs::File;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::note;

/// Between two tries to write a file that could not be written.
const RETRY_WAIT: Duration = Duration::from_millis(500);
/// Between two lines about it in the log.
const LOG_WAIT: Duration = Duration::from_secs(10);

/// Writes the version in force to a file, one at a time and the latest last, on a thread of its own: a slow disk holds up
/// nobody. What can't be written is tried again until it is, or a later version takes its place.
#[derive(Clone)]
pub struct KeptVersion(Arc<Shared>);

struct Shared {
    path: PathBuf,
    slot: Mutex<Slot>,
}

#[derive(Default)]
struct Slot {
    /// What is to be written next; a later version takes the place of one that waits.
    next: Option<Vec<u8>>,
    /// A thread writes.
    busy: bool,
}

impl KeptVersion {
    /// Nothing is written yet.
    pub fn new(path: PathBuf) -> Self {
        KeptVersion(Arc::new(Shared { path, slot: Mutex::default() }))
    }

    fn slot(&self) -> MutexGuard<'_, Slot> {
        self.0.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has a version written.
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
            if logged.is_none_or(|at| at.elapsed() >= LOG_WAIT) {
                note!(warn: "{}: {e}; the version in force is not kept yet, and is tried again", path.display());
                logged = Some(Instant::now());
            }
            self.slot().next.get_or_insert(bytes);
            thread::sleep(RETRY_WAIT);
        }
    }
}

/// Puts other contents in the place of a file's, at once or not at all. All of it is written anew at each try: what a
/// failed sync leaves in the file is anyone's guess (fsync(2)).
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut new = path.as_os_str().to_owned();
    new.push(".new"); // added, as other files beside it may differ in their ending alone
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&new, path)
}

#[cfg(test)]
mod tests;
