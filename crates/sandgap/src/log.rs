//! The log: structured events, written to standard error as text or as a JSON object a line, a few a second at
//! most, so that no flood of bad input becomes a flood of log. Nothing on the path of a request logs.
//!
//! A thread of its own writes the lines: whoever reads them may be slow or gone, and a write that waits for that would hold
//! up every request of the process. Lines that it can't keep up with are counted and left out.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tracing_subscriber::fmt::MakeWriter;

const BURST: u32 = 20; // lines in a second; the rest are counted and left out
/// Lines that wait to be written.
const QUEUE: usize = 256;
/// What the last lines of a process may take to be written.
const LAST_LINES: Duration = Duration::from_millis(200);

/// For the thread that writes.
enum Message {
    Line(Vec<u8>),
    /// Told once all before it is written.
    Finish(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<Message>> = OnceLock::new();
/// Lines for which there was no room in the queue.
static NO_ROOM: AtomicU32 = AtomicU32::new(0);

/// How lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// Begins to log; a second call changes nothing.
pub fn start(format: Format) {
    let (sender, messages) = sync_channel(QUEUE);
    if WRITER.set(sender).is_err() {
        return;
    }
    // Without a thread the queue fills up, and the log is left out.
    let _ = std::thread::Builder::new().name("log".into()).spawn(move || write_all(&messages));
    let writer = Limited::default();
    let lines = tracing_subscriber::fmt().with_writer(writer).with_target(false).with_ansi(false);
    // A log that nobody reads any more must not end the process: what can't be written is dropped.
    let lines = lines.log_internal_errors(false);
    let _ = match format {
        Format::Text => lines.try_init(),
        Format::Json => lines.json().flatten_event(true).try_init(),
    };
}

/// Waits a little until all that was logged has been written.
pub fn finish() {
    let (done, written) = sync_channel(1);
    if WRITER.get().is_some_and(|writer| writer.try_send(Message::Finish(done)).is_ok()) {
        let _ = written.recv_timeout(LAST_LINES); // past it nobody reads them
    }
}

fn write_all(messages: &Receiver<Message>) {
    for message in messages {
        match message {
            Message::Line(line) => {
                let _ = io::stderr().lock().write_all(&line); // nobody is left to tell
            }
            Message::Finish(done) => {
                let _ = done.send(()); // it has waited for long enough
            }
        }
    }
}

/// This second, as far as it has come.
#[derive(Default)]
struct Window {
    since: Option<Instant>,
    count: u32,
}

impl Window {
    /// Whether a line may be written now, and how many were left out before it.
    fn admit(&mut self, now: Instant) -> (bool, u32) {
        let mut left_out = 0;
        if self.since.is_none_or(|s| now - s >= Duration::from_secs(1)) {
            left_out = self.count.saturating_sub(BURST);
            (self.since, self.count) = (Some(now), 0);
        }
        self.count += 1;
        (self.count <= BURST, left_out)
    }
}

/// The log, a few lines a second.
#[derive(Clone, Default)]
struct Limited(Arc<Mutex<Window>>);

impl<'a> MakeWriter<'a> for Limited {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        let (write, left_out) = self.0.lock().unwrap_or_else(PoisonError::into_inner).admit(Instant::now());
        let no_room = if write { NO_ROOM.swap(0, Ordering::Relaxed) } else { 0 };
        Line { write, left_out: left_out + no_room }
    }
}

/// One line on its way.
struct Line {
    write: bool,
    left_out: u32,
}

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.write {
            let left_out = std::mem::take(&mut self.left_out);
            let mut line = Vec::with_capacity(bytes.len());
            if left_out > 0 {
                writeln!(line, "sandgap: {left_out} lines left out")?;
            }
            line.extend_from_slice(bytes);
            let has_room = WRITER.get().is_some_and(|writer| writer.try_send(Message::Line(line)).is_ok());
            if !has_room {
                NO_ROOM.fetch_add(left_out + 1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs a formatted line; with a level first, at that level.
#[macro_export]
macro_rules! note {
    (error: $($part:tt)*) => { tracing::error!($($part)*) };
    (warn: $($part:tt)*) => { tracing::warn!($($part)*) };
    ($($part:tt)*) => { tracing::info!($($part)*) };
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_cut_and_what_was_left_out_is_counted() {
        let (mut window, start) = (Window::default(), Instant::now());
        let written = (0..100).filter(|_| window.admit(start).0).count();
        assert_eq!(written, BURST as usize);
        assert_eq!(window.admit(start + Duration::from_secs(2)), (true, 80));
        assert_eq!(window.admit(start + Duration::from_secs(2)), (true, 0));
    }
}
