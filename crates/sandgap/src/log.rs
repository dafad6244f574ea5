//! The log: structured events, written to standard error as text or as a JSON object a line, a few a second at
//! most, so that no flood of bad input becomes a flood of log. Nothing on the path of a request logs.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tracing_subscriber::fmt::MakeWriter;

const BURST: u32 = 20; // lines in a second; the rest are counted and left out

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
    let writer = Limited::default();
    let lines = tracing_subscriber::fmt().with_writer(writer).with_target(false).with_ansi(false);
    // A log that nobody reads any more must not end the process: what can't be written is dropped.
    let lines = lines.log_internal_errors(false);
    let _ = match format {
        Format::Text => lines.try_init(),
        Format::Json => lines.json().flatten_event(true).try_init(),
    };
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

/// Standard error, a few lines a second.
#[derive(Clone, Default)]
struct Limited(Arc<Mutex<Window>>);

impl<'a> MakeWriter<'a> for Limited {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        let (write, left_out) = self.0.lock().unwrap_or_else(PoisonError::into_inner).admit(Instant::now());
        Line { write, left_out }
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
            let mut out = io::stderr().lock();
            if self.left_out > 0 {
                let _ = writeln!(out, "sandgap: {} lines left out", self.left_out);
                self.left_out = 0;
            }
            let _ = out.write_all(bytes);
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
