//! Lines on standard error, a few a second at most, so that no flood of bad input becomes a flood of log.

use std::cell::Cell;
use std::fmt::Arguments;
use std::io::Write as _;
use std::time::{Duration, Instant};

const BURST: u32 = 20; // lines in a second; the rest are counted and left out

thread_local! {
    static WINDOW: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Writes a line unless too many came within this second.
pub fn line(text: Arguments) {
    let now = Instant::now();
    let (since, count) = WINDOW.get();
    let (since, count) = match since {
        Some(since) if now - since < Duration::from_secs(1) => (since, count + 1),
        _ => {
            if count > BURST {
                write(format_args!("{} lines left out", count - BURST));
            }
            (now, 1)
        }
    };
    WINDOW.set((Some(since), count));
    if count <= BURST {
        write(text);
    }
}

/// Writes a line. Unlike `eprintln!` it survives a log that nobody reads any more.
fn write(text: Arguments) {
    let _ = writeln!(std::io::stderr(), "sandgap: {text}");
}

/// Logs a formatted line, rate-limited.
#[macro_export]
macro_rules! note {
    ($($part:tt)*) => { $crate::log::line(format_args!($($part)*)) };
}
