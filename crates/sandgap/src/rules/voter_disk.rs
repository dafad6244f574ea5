//! The disk of a voter: writes go to a separate thread, and a failed disk is retried until it can be written again.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use sandgap_agree::log::{Saved, Write};
use sandgap_agree::store::{Opened, Store, StoreWriter};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::note;

/// Wait between two attempts to open a store whose disk has failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Minimum interval between two log lines about a failed disk.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// An event of a voter's disk.
pub enum DiskEvent {
    /// The write with this number is on the disk.
    Written(u64),
    /// The disk has failed: no further write succeeds until it recovers, and the voter takes no part meanwhile.
    Failed(String),
    /// The disk can be written again and holds this state, from which a new voter state may start.
    Back(Saved),
}

/// A message from one of the store's threads.
enum DiskMessage {
    Kept(Result<u64, String>),
    Reopened(Store, Saved),
}

/// A voter's disk; see the module documentation.
pub struct VoterDisk {
    path: PathBuf,
    /// None while the disk has failed.
    writer: Option<StoreWriter>,
    /// Messages of the current writer, or of the thread that reopens the store. Messages of earlier threads are
    /// discarded.
    messages: mpsc::UnboundedReceiver<DiskMessage>,
}

impl VoterDisk {
    /// Starts the writer thread of an open store.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(path: &Path, store: Store) -> io::Result<Self> {
        let (writer, messages) = start_writer(store)?;
        Ok(VoterDisk { path: path.to_owned(), writer: Some(writer), messages })
    }

    /// Queues a write.
    ///
    /// # Errors
    /// If the disk has failed or is far behind: the voter must take no further part, and the store is reopened.
    pub fn write(&mut self, write: Write) -> Result<(), &'static str> {
        let writer = self.writer.as_ref().ok_or("it has failed")?;
        writer.write(write).inspect_err(|_| self.reopen())
    }

    /// The next event.
    pub async fn next(&mut self) -> DiskEvent {
        loop {
            match self.messages.recv().await {
                Some(DiskMessage::Kept(Ok(number))) => return DiskEvent::Written(number),
                Some(DiskMessage::Kept(Err(why))) => {
                    self.reopen();
                    return DiskEvent::Failed(why);
                }
                Some(DiskMessage::Reopened(store, saved)) => match start_writer(store) {
                    Ok((writer, messages)) => {
                        (self.writer, self.messages) = (Some(writer), messages);
                        return DiskEvent::Back(saved);
                    }
                    Err(_) => self.reopen(), // no thread is available at present
                },
                // The thread has ended without a message, or could not be started.
                None => {
                    sleep(RETRY_DELAY).await;
                    self.reopen();
                }
            }
        }
    }

    /// Reopens the store on a separate thread, with retries.
    fn reopen(&mut self) {
        self.writer = None; // its thread finishes its writes, closes the store and ends
        let (sender, messages) = mpsc::unbounded_channel(); // carries one message
        self.messages = messages;
        let path = self.path.clone();
        let thread = std::thread::Builder::new().name("rules-disk-again".into());
        if let Err(e) = thread.spawn(move || reopen_store(&path, &sender)) {
            note!(error: "rules: {}: no thread to reopen it: {e}", self.path.display());
        }
    }
}

/// Starts the writer of a store; returns it with its messages.
fn start_writer(store: Store) -> io::Result<(StoreWriter, mpsc::UnboundedReceiver<DiskMessage>)> {
    let (sender, messages) = mpsc::unbounded_channel(); // one message per write, and the number of writes is bounded
    let writer = StoreWriter::start(store, move |kept| drop(sender.send(DiskMessage::Kept(kept))))?;
    Ok((writer, messages))
}

/// Tries to open a store until that succeeds or the receiver is dropped. A store that is now missing or damaged is only
/// logged and left for a restart of the process: a blank store needs the other voters, and operators should know.
fn reopen_store(path: &Path, sender: &mpsc::UnboundedSender<DiskMessage>) {
    let mut logged: Option<Instant> = None;
    while !sender.is_closed() {
        std::thread::sleep(RETRY_DELAY);
        let why = match Store::rewrite(path) {
            Opened::Intact(store, saved) => {
                let _ = sender.send(DiskMessage::Reopened(store, saved)); // the receiver is gone while the process ends
                return;
            }
            Opened::Unavailable(why) => why,
            Opened::Missing => "no store".to_owned(),
            Opened::Damaged(why) => format!("damaged: {why}"),
        };
        if logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            note!(warn: "rules: {}: {why}; it is tried again", path.display());
            logged = Some(Instant::now());
        }
    }
}
