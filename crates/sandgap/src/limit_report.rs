//! Reports the estimated concurrency limit of each backend to operators: a log line when a limit has changed
//! significantly, and a gauge for each backend in a file that a metrics collector reads.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use metrics::{Recorder, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusRecorder};
use rustc_hash::FxHashMap;
use wharfhitch::limit::ChangeReason;
use wharfhitch::{BackendId, LimitEstimate};

use crate::diagnostics::Event;
use crate::note;

/// Ratio by which a limit must have changed since it was last logged; smaller changes are daily fluctuation.
const LOG_RATIO: f64 = 1.3;
/// Maximum log lines per update; the rest is logged at the next ones.
const MAX_LINES: usize = 8;
/// Interval between writes of the file.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// The state of the reports.
pub struct LimitReport {
    /// The limit of each backend as last logged.
    last_logged: FxHashMap<BackendId, f64>,
    file: Option<MetricsFile>,
}

/// The metrics file and the state of its writes.
struct MetricsFile {
    path: PathBuf,
    /// When the latest write started.
    written: Option<Instant>,
    /// A write is in progress.
    busy: Arc<AtomicBool>,
    /// The latest write failed.
    failing: Arc<AtomicBool>,
}

impl LimitReport {
    /// Creates the reports; gauges are written to `file`, if there is one.
    pub fn new(file: Option<PathBuf>) -> Self {
        let file = file.map(|path| MetricsFile {
            path,
            written: None,
            busy: Arc::default(),
            failing: Arc::default(),
        });
        LimitReport { last_logged: FxHashMap::default(), file }
    }

    /// Logs significant changes and writes the file if due. The work is bounded by the number of listed backends.
    pub fn update(
        &mut self, now: Instant, estimates: impl Iterator<Item = LimitEstimate>,
        counts: &[(Event, &'static str, u64)], address: impl Fn(BackendId) -> Option<SocketAddr>,
    ) {
        let due = self.file.as_ref().is_some_and(|f| f.written.is_none_or(|at| now - at >= WRITE_INTERVAL));
        // Created for each write: a recorder never drops a gauge, and over the years many backends are added and
        // removed.
        let recorder = due.then(recorder);
        let (mut lines, mut listed) = (0, 0);
        for estimate in estimates {
            listed += 1;
            let Some(address) = address(estimate.backend) else { continue };
            if lines < MAX_LINES && self.should_log(&estimate) {
                lines += 1;
                self.last_logged.insert(estimate.backend, estimate.limit);
                note!(
                    "{address} is believed to hold {:.1} requests (its rating says {:.1}): {}",
                    estimate.limit,
                    estimate.rated,
                    estimate.why.text()
                );
            }
            if let Some(recorder) = &recorder {
                gauge(recorder, &estimate, address);
            }
        }
        if self.last_logged.len() > 2 * listed {
            self.last_logged.clear(); // drops removed backends; the others are logged again
        }
        if let (Some(recorder), Some(file)) = (recorder, &mut self.file) {
            counts.iter().for_each(|(event, reason, count)| counter(&recorder, *event, reason, *count));
            file.write(now, recorder.handle().render());
        }
    }

    fn should_log(&self, estimate: &LimitEstimate) -> bool {
        let before = self.last_logged.get(&estimate.backend).copied();
        let is_unchanged = estimate.why == ChangeReason::Rating && before.is_none();
        let ratio = estimate.limit / before.unwrap_or(estimate.rated);
        !estimate.trial && !is_unchanged && !(1.0 / LOG_RATIO..=LOG_RATIO).contains(&ratio)
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

fn gauge(recorder: &PrometheusRecorder, estimate: &LimitEstimate, address: SocketAddr) {
    let backend = address.to_string();
    with_local_recorder(recorder, || {
        metrics::gauge!("sandgap_backend_limit", "backend" => backend.clone()).set(estimate.limit);
        metrics::gauge!("sandgap_backend_rated", "backend" => backend).set(estimate.rated);
    });
}

impl MetricsFile {
    /// Writes the file atomically on a separate thread, so that a slow disk delays no request. Skipped while another
    /// write is in progress.
    fn write(&mut self, now: Instant, text: String) {
        self.written = Some(now);
        if self.busy.swap(true, Ordering::Relaxed) {
            return;
        }
        let (path, busy, failing) = (self.path.clone(), self.busy.clone(), self.failing.clone());
        tokio::task::spawn_blocking(move || {
            let temporary = path.with_extension("new");
            let outcome = fs::write(&temporary, text).and_then(|()| fs::rename(&temporary, &path));
            let before = failing.swap(outcome.is_err(), Ordering::Relaxed);
            if let Err(e) = outcome
                && !before
            {
                note!(
                    warn: "metrics can't be written to {}: {e}; correct the setting [metrics] file",
                    path.display()
                );
            }
            busy.store(false, Ordering::Relaxed);
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn estimate(backend: u64, limit: f64) -> LimitEstimate {
        LimitEstimate {
            backend: BackendId(backend),
            rated: 1.0,
            limit,
            trial: false,
            why: ChangeReason::Grew,
        }
    }

    #[tokio::test]
    async fn the_file_contains_exactly_the_currently_listed_backends() {
        let path = std::env::temp_dir().join(format!("sandgap-beliefs-{}.prom", std::process::id()));
        let mut report = LimitReport::new(Some(path.clone()));
        let address = |b: BackendId| Some(SocketAddr::from(([127, 0, 0, 1], b.0 as u16)));
        let start = Instant::now();
        for (i, (backend, gone)) in [(7001, 7002), (7002, 7001)].into_iter().enumerate() {
            let file = report.file.as_ref().expect("a file");
            let busy = file.busy.clone();
            report.update(
                start + 2 * WRITE_INTERVAL * i as u32,
                [estimate(backend, 12.0)].into_iter(),
                &[],
                address,
            );
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
