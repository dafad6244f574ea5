//! The log: structured events, written to standard error as text or as one JSON object per line. The rate is limited,
//! so that a flood of bad input does not become a flood of log lines. Nothing on the path of a request logs.
//!
//! A separate thread writes the lines: the reader may be slow or gone, and a blocking write would hold up every request
//! of the process. Lines beyond the thread's queue are counted and dropped.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines per second; the rest are counted and dropped.
const MAX_LINES_PER_SECOND: u32 = 20;
/// Queue capacity in lines.
const QUEUE: usize = 256;
/// Time limit for writing the last lines of a process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A message to the writer thread.
enum Message {
    Line(Vec<u8>),
    /// Answered once all earlier lines are written.
    Finish(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<Message>> = OnceLock::new();
/// Lines for which there was no room in the queue.
static QUEUE_FULL: AtomicU32 = AtomicU32::new(0);

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Starts logging; a second call has no effect.
pub fn start(format: Format) {
    let (sender, messages) = sync_channel(QUEUE);
    if WRITER.set(sender).is_err() {
        return;
    }
    // Without the thread the queue fills up and lines are dropped.
    let _ = std::thread::Builder::new().name("log".into()).spawn(move || write_all(&messages));
    let writer = Limited::default();
    let lines = tracing_subscriber::fmt().with_writer(writer).with_target(false).with_ansi(false);
    // A closed log must not end the process: lines that can't be written are dropped.
    let lines = lines.log_internal_errors(false);
    let _ = match format {
        Format::Text => lines.try_init(),
        Format::Json => lines.json().flatten_event(true).try_init(),
    };
}

/// Waits up to `FLUSH_TIMEOUT` until all queued lines are written.
pub fn finish() {
    let (done, written) = sync_channel(1);
    if WRITER.get().is_some_and(|writer| writer.try_send(Message::Finish(done)).is_ok()) {
        let _ = written.recv_timeout(FLUSH_TIMEOUT); // a reader that takes longer is given up
    }
}

fn write_all(messages: &Receiver<Message>) {
    for message in messages {
        match message {
            Message::Line(line) => {
                let _ = io::stderr().lock().write_all(&line); // there is no other place to report the error
            }
            Message::Finish(done) => {
                let _ = done.send(()); // the caller may have timed out
            }
        }
    }
}

/// Line count of the current second.
#[derive(Default)]
struct Window {
    since: Option<Instant>,
    count: u32,
}

impl Window {
    /// Whether a line may be written now, and how many were dropped before it.
    fn admit(&mut self, now: Instant) -> (bool, u32) {
        let mut dropped = 0;
        if self.since.is_none_or(|s| now - s >= Duration::from_secs(1)) {
            dropped = self.count.saturating_sub(MAX_LINES_PER_SECOND);
            (self.since, self.count) = (Some(now), 0);
        }
        self.count += 1;
        (self.count <= MAX_LINES_PER_SECOND, dropped)
    }
}

/// Rate-limited log writer.
#[derive(Clone, Default)]
struct Limited(Arc<Mutex<Window>>);

impl<'a> MakeWriter<'a> for Limited {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        let (write, dropped) = self.0.lock().unwrap_or_else(PoisonError::into_inner).admit(Instant::now());
        let queue_full = if write { QUEUE_FULL.swap(0, Ordering::Relaxed) } else { 0 };
        Line { write, dropped: dropped + queue_full }
    }
}

/// One line to be written or dropped.
struct Line {
    write: bool,
    dropped: u32,
}

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.write {
            let dropped = std::mem::take(&mut self.dropped);
            let mut line = Vec::with_capacity(bytes.len());
            if dropped > 0 {
                writeln!(line, "sandgap: {dropped} log lines dropped")?;
            }
            line.extend_from_slice(bytes);
            let has_room = WRITER.get().is_some_and(|writer| writer.try_send(Message::Line(line)).is_ok());
            if !has_room {
                QUEUE_FULL.fetch_add(dropped + 1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs a formatted line at info level, or at the level given first.
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
    fn a_flood_is_limited_and_dropped_lines_are_counted() {
        let (mut window, start) = (Window::default(), Instant::now());
        let written = (0..100).filter(|_| window.admit(start).0).count();
        assert_eq!(written, MAX_LINES_PER_SECOND as usize);
        assert_eq!(window.admit(start + Duration::from_secs(2)), (true, 80));
        assert_eq!(window.admit(start + Duration::from_secs(2)), (true, 0));
    }
}
