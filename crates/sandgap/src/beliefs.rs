//! Tells operators what the module believes of each backend: a log line when a limit has moved by more than a
//! little, and a gauge for each backend in a file that a collector reads.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use metrics::{Recorder, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusRecorder};
use rustc_hash::FxHashMap;
use wharfhitch::limit::Why;
use wharfhitch::{BackendId, Belief};

use crate::diagnostics::Event;
use crate::note;

/// Ratio by which a limit must have moved since it was last logged: less is the daily up and down.
const MOVED: f64 = 1.3;
/// Lines at one look; the rest is logged at the next ones.
const LINES: usize = 8;
/// Between two writes of the file.
const WRITE: Duration = Duration::from_secs(5);

/// What was told of the module's beliefs.
pub struct Beliefs {
    told: FxHashMap<BackendId, f64>,
    file: Option<File>,
}

struct File {
    path: PathBuf,
    written: Option<Instant>,
    busy: Arc<AtomicBool>,
    failing: Arc<AtomicBool>,
}

impl Beliefs {
    /// Nothing told yet; gauges go to `file`, if there is one.
    pub fn new(file: Option<PathBuf>) -> Self {
        let file =
            file.map(|path| File { path, written: None, busy: Arc::default(), failing: Arc::default() });
        Beliefs { told: FxHashMap::default(), file }
    }

    /// Looks at what is believed now. Bounded by the number of listed backends.
    pub fn look(
        &mut self, now: Instant, beliefs: impl Iterator<Item = Belief>,
        counts: &[(Event, &'static str, u64)], address: impl Fn(BackendId) -> Option<SocketAddr>,
    ) {
        let due = self.file.as_ref().is_some_and(|f| f.written.is_none_or(|at| now - at >= WRITE));
        // Anew for each write: a recorder never forgets a gauge, and backends come and go for years.
        let recorder = due.then(recorder);
        let (mut lines, mut listed) = (0, 0);
        for belief in beliefs {
            listed += 1;
            let Some(address) = address(belief.backend) else { continue };
            if lines < LINES && self.is_news(&belief) {
                lines += 1;
                self.told.insert(belief.backend, belief.limit);
                note!(
                    "{address} is believed to hold {:.1} requests (its rating says {:.1}): {}",
                    belief.limit,
                    belief.rated,
                    belief.why.text()
                );
            }
            if let Some(recorder) = &recorder {
                gauge(recorder, &belief, address);
            }
        }
        if self.told.len() > 2 * listed {
            self.told.clear(); // backends that have left; the rest is told again
        }
        if let (Some(recorder), Some(file)) = (recorder, &mut self.file) {
            counts.iter().for_each(|(event, reason, count)| counter(&recorder, *event, reason, *count));
            file.write(now, recorder.handle().render());
        }
    }

    fn is_news(&self, belief: &Belief) -> bool {
        let before = self.told.get(&belief.backend).copied();
        let unmoved = belief.why == Why::Rating && before.is_none();
        let ratio = belief.limit / before.unwrap_or(belief.rated);
        !belief.trial && !unmoved && !(1.0 / MOVED..=MOVED).contains(&ratio)
    }
}

fn recorder() -> PrometheusRecorder {
    let recorder = PrometheusBuilder::new().build_recorder();
    let about = "requests that a backend is believed to hold, of all proxies";
    recorder.describe_gauge("sandgap_backend_limit".into(), None, about.into());
    recorder.describe_gauge(
        "sandgap_backend_rated".into(),
        None,
        "requests that its rating says it holds".into(),
    );
    recorder.describe_counter(
        "sandgap_events_total".into(),
        None,
        "closes, refusals, attempts, retries, denials and violations by their reasons".into(),
    );
    recorder
}

fn counter(recorder: &PrometheusRecorder, event: Event, reason: &'static str, count: u64) {
    with_local_recorder(recorder, || {
        metrics::counter!("sandgap_events_total", "event" => event.name(), "reason" => reason)
            .absolute(count);
    });
}

fn gauge(recorder: &PrometheusRecorder, belief: &Belief, address: SocketAddr) {
    let backend = address.to_string();
    with_local_recorder(recorder, || {
        metrics::gauge!("sandgap_backend_limit", "backend" => backend.clone()).set(belief.limit);
        metrics::gauge!("sandgap_backend_rated", "backend" => backend).set(belief.rated);
    });
}

impl File {
    /// Writes the file, whole or not at all, on a thread of its own: a slow disk holds up no request. While one
    /// write is under way no other begins.
    fn write(&mut self, now: Instant, text: String) {
        self.written = Some(now);
        if self.busy.swap(true, Ordering::Relaxed) {
            return;
        }
        let (path, busy, failing) = (self.path.clone(), self.busy.clone(), self.failing.clone());
        tokio::task::spawn_blocking(move || {
            let whole = path.with_extension("new");
            let outcome = fs::write(&whole, text).and_then(|()| fs::rename(&whole, &path));
            let before = failing.swap(outcome.is_err(), Ordering::Relaxed);
            if let Err(e) = outcome
                && !before
            {
                note!(warn: "metrics can't be written to {}: {e}; mend [metrics] file", path.display());
            }
            busy.store(false, Ordering::Relaxed);
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn believed(backend: u64, limit: f64) -> Belief {
        Belief { backend: BackendId(backend), rated: 1.0, limit, trial: false, why: Why::Grew }
    }

    #[tokio::test]
    async fn the_file_names_the_backends_that_are_listed_now_and_no_others() {
        let path = std::env::temp_dir().join(format!("sandgap-beliefs-{}.prom", std::process::id()));
        let mut beliefs = Beliefs::new(Some(path.clone()));
        let address = |b: BackendId| Some(SocketAddr::from(([127, 0, 0, 1], b.0 as u16)));
        let start = Instant::now();
        for (i, (backend, gone)) in [(7001, 7002), (7002, 7001)].into_iter().enumerate() {
            let file = beliefs.file.as_ref().expect("a file");
            let busy = file.busy.clone();
            beliefs.look(start + 2 * WRITE * i as u32, [believed(backend, 12.0)].into_iter(), &[], address);
            while busy.load(Ordering::Relaxed) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let text = fs::read_to_string(&path).expect("written");
            assert!(
                text.contains(&format!("sandgap_backend_limit{{backend=\"127.0.0.1:{backend}\"}} 12")),
                "{text}"
            );
            assert!(!text.contains(&format!(":{gone}")), "{text}");
        }
        let _ = fs::remove_file(path);
    }
}
