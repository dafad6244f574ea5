//! A voter's disk as its proxy sees it: writes go to a thread of their own, and a disk that has failed is tried again until
//! it can be written.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use sandgap_agree::log::{Saved, Write};
use sandgap_agree::store::{Opened, Store, StoreWriter};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::note;

/// Between two tries to open a store whose disk has failed.
const RETRY_WAIT: Duration = Duration::from_millis(200);
/// Between two lines about it in the log.
const LOG_WAIT: Duration = Duration::from_secs(10);

/// What there is to tell of a voter's disk.
pub enum DiskNews {
    /// The write of this number is on the disk.
    Written(u64),
    /// No further write will be, until the disk is back: the voter takes no part meanwhile.
    Failed(String),
    /// It can be written again, and has this: another voter may go on from it.
    Back(Saved),
}

/// What the store's threads say.
enum Word {
    Kept(Result<u64, String>),
    Reopened(Store, Saved),
}

/// See the module.
pub struct VoterDisk {
    path: PathBuf,
    /// None while the disk has failed.
    writer: Option<StoreWriter>,
    /// Of the writer in use, or of the thread that opens the store again: nothing that an earlier one says is heard.
    words: mpsc::UnboundedReceiver<Word>,
}

impl VoterDisk {
    /// Takes over an open store.
    ///
    /// # Errors
    /// Where the system gives no thread.
    pub fn start(path: &Path, store: Store) -> io::Result<Self> {
        let (writer, words) = keep(store)?;
        Ok(VoterDisk { path: path.to_owned(), writer: Some(writer), words })
    }

    /// Hands a write over.
    ///
    /// # Errors
    /// Where the disk has failed or is far behind: the voter must take no further part. The store is opened again then.
    pub fn write(&mut self, write: Write) -> Result<(), &'static str> {
        let writer = self.writer.as_ref().ok_or("it has failed")?;
        writer.keep(write).inspect_err(|_| self.reopen())
    }

    /// The next news.
    pub async fn next(&mut self) -> DiskNews {
        loop {
            match self.words.recv().await {
                Some(Word::Kept(Ok(number))) => return DiskNews::Written(number),
                Some(Word::Kept(Err(why))) => {
                    self.reopen();
                    return DiskNews::Failed(why);
                }
                Some(Word::Reopened(store, saved)) => match keep(store) {
                    Ok((writer, words)) => {
                        (self.writer, self.words) = (Some(writer), words);
                        return DiskNews::Back(saved);
                    }
                    Err(_) => self.reopen(), // no thread at present
                },
                // Its thread has ended without a word, or there was none to be had.
                None => {
                    sleep(RETRY_WAIT).await;
                    self.reopen();
                }
            }
        }
    }

    /// Opens the store again, on a thread of its own, however often that takes.
    fn reopen(&mut self) {
        self.writer = None; // its thread ends once its writes have, and lets go of the store
        let (sender, words) = mpsc::unbounded_channel(); // one word
        self.words = words;
        let path = self.path.clone();
        let thread = std::thread::Builder::new().name("rules-disk-again".into());
        if let Err(e) = thread.spawn(move || open_again(&path, &sender)) {
            note!(error: "rules: {}: no thread to open it again: {e}", self.path.display());
        }
    }
}

/// A writer of a store, and where it is heard.
fn keep(store: Store) -> io::Result<(StoreWriter, mpsc::UnboundedReceiver<Word>)> {
    let (sender, words) = mpsc::unbounded_channel(); // one word a write, and writes are bounded
    let writer = StoreWriter::start(store, move |kept| drop(sender.send(Word::Kept(kept))))?;
    Ok((writer, words))
}

/// Tries to open a store until that succeeds, or nobody waits for it any more. One that is missing or damaged now is left
/// to whoever starts the process anew: to begin blank takes other voters, and staff should know.
fn open_again(path: &Path, sender: &mpsc::UnboundedSender<Word>) {
    let mut logged: Option<Instant> = None;
    while !sender.is_closed() {
        std::thread::sleep(RETRY_WAIT);
        let why = match Store::renew(path) {
            Opened::Sound(store, saved) => {
                let _ = sender.send(Word::Reopened(store, saved)); // the process may end
                return;
            }
            Opened::Unavailable(why) => why,
            Opened::Missing => "no store".to_owned(),
            Opened::Damaged(why) => format!("damaged: {why}"),
        };
        if logged.is_none_or(|at| at.elapsed() >= LOG_WAIT) {
            note!(warn: "rules: {}: {why}; it is tried again", path.display());
            logged = Some(Instant::now());
        }
    }
}
