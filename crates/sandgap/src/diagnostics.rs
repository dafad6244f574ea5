//! What happened, for whoever asks why: counters of each close, retry, refusal, denial and violation by its reason, and
//! where wanted a trace, a JSON object a line with the ids of requests.
//!
//! Counting costs a few nanoseconds an event. The trace is off unless `SANDGAP_TRACE` names its file; a file that can't
//! be written any more ends the trace and nothing else.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::rc::Rc;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::note;

/// Bytes of a trace: about a million events; more are left out.
const LONGEST_TRACE: usize = 256 << 20;

/// What is counted, each by its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A client's connection has ended.
    Close,
    /// A client was answered with something else than a backend's answer.
    Refusal,
    /// An attempt has ended, by its outcome.
    Attempt,
    /// A further attempt has begun, by the outcome of the one before.
    Retry,
    /// An attempt was held back, by what forbade it.
    Denial,
    /// A rule was nearly broken, by this program's own fault: see [`sandgap_driver::permit::Violation`].
    Violation,
    /// An answer came far too late: the process stood still, or something held it up.
    Late,
    /// The process has come to another state.
    State,
    /// The process stood still, by how long at least.
    Standstill,
}

impl Event {
    /// A word for logs and counters.
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
        }
    }
}

/// Counters and the trace of one process.
pub struct Diagnostics {
    start: Instant,
    /// Bounded by the reasons, which are words of this program.
    counts: RefCell<BTreeMap<(Event, &'static str), u64>>,
    trace: RefCell<Option<Trace>>,
    /// Whether there is one; asked on the path of each request.
    traces: Cell<bool>,
}

struct Trace {
    file: File,
    left: usize,
}

impl Diagnostics {
    /// Counters at zero; events are traced to `trace`, if there is one.
    pub fn new(trace: Option<&Path>) -> Rc<Self> {
        let trace = trace.and_then(|path| match File::options().create(true).append(true).open(path) {
            Ok(file) => Some(Trace { file, left: LONGEST_TRACE }),
            Err(e) => {
                note!(warn: "no trace at {}: {e}", path.display());
                None
            }
        });
        Rc::new(Diagnostics {
            start: Instant::now(),
            counts: RefCell::default(),
            traces: Cell::new(trace.is_some()),
            trace: RefCell::new(trace),
        })
    }

    /// Counts an event.
    pub fn count(&self, event: Event, reason: &'static str) {
        *self.counts.borrow_mut().entry((event, reason)).or_default() += 1;
    }

    /// How often an event was counted, whatever its reason.
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
        let words = counts.iter().map(|(event, reason, n)| {
            format!("{}.{}={n}", event.name(), reason.replace(|c: char| !c.is_ascii_alphanumeric(), "_"))
        });
        words.collect::<Vec<_>>().join(" ")
    }

    /// Writes an event into the trace, if there is one; `fields` is an object.
    pub fn trace(&self, event: &'static str, fields: impl FnOnce() -> Value) {
        if !self.traces.get() {
            return;
        }
        let mut line = fields();
        line["event"] = json!(event);
        line["ms"] = json!(self.start.elapsed().as_secs_f64() * 1000.0);
        let mut trace = self.trace.borrow_mut();
        if let Some(e) = trace.as_mut().and_then(|trace| trace.write(&line).err()) {
            note!(warn: "the trace ends: {e}");
            (*trace, _) = (None, self.traces.set(false));
        }
    }
}

impl Trace {
    fn write(&mut self, line: &Value) -> io::Result<()> {
        let text = format!("{line}\n");
        let left = self.left.checked_sub(text.len()).ok_or(io::ErrorKind::FileTooLarge)?;
        self.left = left;
        self.file.write_all(text.as_bytes()) // a line at once, so that a kill leaves whole ones
    }
}

#[cfg(test)]
mod tests;
