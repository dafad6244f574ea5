//! The clock of a run, shared by all simulated peers, and the detection of stalls of the machine.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use sandgap_rules::Micros;

/// A wake-up that is this much late shows that the machine stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(8);
/// Interval of wake-ups.
const WAKE_INTERVAL: Duration = Duration::from_millis(4);

/// The run's clock.
#[derive(Clone)]
pub struct Clock {
    start: Instant,
    unix_ms: f64,
    stalls: Rc<RefCell<Vec<(Micros, Micros)>>>,
}

impl Default for Clock {
    fn default() -> Self {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Clock { start: Instant::now(), unix_ms, stalls: Rc::default() }
    }
}

impl Clock {
    /// The current time of the run.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The instant of a time of the run.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at)).into()
    }

    /// Unix time of a time of the run in whole milliseconds, as discovery reports it.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        (self.unix_ms + at as f64 / 1000.0) as u64
    }

    /// Records stalls of the machine for as long as it is polled.
    pub async fn watch(self) {
        loop {
            let before = Instant::now();
            tokio::time::sleep(WAKE_INTERVAL).await;
            if before.elapsed() > WAKE_INTERVAL + STALL_THRESHOLD {
                let end = self.now();
                self.stalls.borrow_mut().push((end - before.elapsed().as_micros() as Micros, end));
            }
        }
    }

    /// The stalls so far: start and end.
    pub fn stalls(&self) -> Vec<(Micros, Micros)> {
        self.stalls.borrow().clone()
    }
}
