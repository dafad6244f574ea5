//! Diagnostics: counters of closes, retries, refusals, denials, violations and so on by reason, and an optional trace with
//! one JSON object per line that contains request ids.
//!
//! Counting costs a few nanoseconds per event. The trace is off unless `SANDGAP_TRACE` names its file; a write error ends
//! the trace and affects nothing else.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::rc::Rc;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::note;

/// Maximum size of a trace in bytes: about a million events. Later events are dropped.
const MAX_TRACE_BYTES: usize = 256 << 20;

/// Events that are counted by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A client's connection has closed.
    Close,
    /// A client got a response of the proxy instead of a backend's answer.
    Refusal,
    /// An attempt has ended, by its outcome.
    Attempt,
    /// A further attempt has begun, by the outcome of the one before.
    Retry,
    /// An attempt was not sent, by the rule that forbade it.
    Denial,
    /// A safety rule was nearly violated by a bug in this program, see [`sandgap_driver::permit::Violation`].
    Violation,
    /// An answer was given far too late, because the process stood still or the answer was delayed.
    Late,
    /// The process has entered another state.
    State,
    /// The process stood still, by range of length.
    Standstill,
    /// A connection to a backend was opened, or reused for another request.
    Upstream,
    /// A backend has sent bytes that no request asked for.
    Unsolicited,
    /// The first bytes of a long answer were passed on, by what was known of its length.
    Stream,
    /// A long answer has ended, by the reason.
    StreamEnd,
    /// A long request was given up while it was sent, by the reason.
    UploadEnd,
    /// A backend's answers in a class have begun to hang, or have gone on.
    Stall,
    /// Backends of a list were not taken, by the reason.
    List,
}

impl Event {
    /// Name for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Event::Close => "close",
            Event::Refusal => "refusal",
            Event::Attempt => "attempt",
            Event::Retry => "retry",
            Event::Denial => "denial",
            Event::Violation => "violation",
            Event::Late => "late",
            Event::State => "state",
            Event::Standstill => "standstill",
            Event::Upstream => "upstream",
            Event::Unsolicited => "unsolicited",
            Event::Stream => "stream",
            Event::StreamEnd => "stream_end",
            Event::UploadEnd => "upload_end",
            Event::Stall => "stall",
            Event::List => "list",
        }
    }
}

/// Counters and the trace of one process.
pub struct Diagnostics {
    start: Instant,
    /// Bounded by the number of reasons, which are constants of this program.
    counts: RefCell<BTreeMap<(Event, &'static str), u64>>,
    trace: RefCell<Option<Trace>>,
    /// Whether there is a trace; checked for each event of a request.
    is_tracing: Cell<bool>,
}

struct Trace {
    file: File,
    /// Bytes that may still be written.
    left: usize,
}

impl Diagnostics {
    /// Creates zeroed counters; events are traced to the file `trace`, if there is one.
    pub fn new(trace: Option<&Path>) -> Rc<Self> {
        let trace = trace.and_then(|path| match File::options().create(true).append(true).open(path) {
            Ok(file) => Some(Trace { file, left: MAX_TRACE_BYTES }),
            Err(e) => {
                note!(warn: "trace file {} can't be opened, tracing is off: {e}", path.display());
                None
            }
        });
        Rc::new(Diagnostics {
            start: Instant::now(),
            counts: RefCell::default(),
            is_tracing: Cell::new(trace.is_some()),
            trace: RefCell::new(trace),
        })
    }

    /// Counts an event.
    pub fn count(&self, event: Event, reason: &'static str) {
        *self.counts.borrow_mut().entry((event, reason)).or_default() += 1;
    }

    /// Total count of an event over all reasons.
    pub fn total(&self, event: Event) -> u64 {
        self.counts.borrow().iter().filter(|((e, _), _)| *e == event).map(|(_, n)| n).sum()
    }

    /// All counters.
    pub fn counts(&self) -> Vec<(Event, &'static str, u64)> {
        self.counts.borrow().iter().map(|((event, reason), n)| (*event, *reason, *n)).collect()
    }

    /// All counters on one line.
    pub fn summary(&self) -> String {
        let counts = self.counts();
        let entries = counts.iter().map(|(event, reason, n)| {
            format!("{}.{}={n}", event.name(), reason.replace(|c: char| !c.is_ascii_alphanumeric(), "_"))
        });
        entries.collect::<Vec<_>>().join(" ")
    }

    /// Writes an event into the trace, if there is one; `fields` is an object.
    pub fn trace(&self, event: &'static str, fields: impl FnOnce() -> Value) {
        if !self.is_tracing.get() {
            return;
        }
        let mut line = fields();
        line["event"] = json!(event);
        line["ms"] = json!(self.start.elapsed().as_secs_f64() * 1000.0);
        let mut trace = self.trace.borrow_mut();
        if let Some(e) = trace.as_mut().and_then(|trace| trace.write(&line).err()) {
            note!(warn: "trace file can't be written, tracing stops: {e}");
            (*trace, _) = (None, self.is_tracing.set(false));
        }
    }
}

impl Trace {
    fn write(&mut self, line: &Value) -> io::Result<()> {
        let text = format!("{line}\n");
        let left = self.left.checked_sub(text.len()).ok_or(io::ErrorKind::FileTooLarge)?;
        self.left = left;
        self.file.write_all(text.as_bytes()) // one write per line, so that a kill leaves no partial line
    }
}

#[cfg(test)]
mod tests;
