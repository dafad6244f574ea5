//! One clock for all stand-ins, and the stalls of the machine under it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use sandgap_rules::Micros;

/// A beat that comes this much late shows that the machine stood still meanwhile.
const LATE: Duration = Duration::from_millis(8);
const BEAT: Duration = Duration::from_millis(4);

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
    /// Now.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The instant of a time.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at)).into()
    }

    /// Unix time in whole milliseconds, as discovery tells it.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        (self.unix_ms + at as f64 / 1000.0) as u64
    }

    /// Notes for as long as it is polled when the machine kept this process waiting.
    pub async fn watch(self) {
        loop {
            let before = Instant::now();
            tokio::time::sleep(BEAT).await;
            if before.elapsed() > BEAT + LATE {
                let end = self.now();
                self.stalls.borrow_mut().push((end - before.elapsed().as_micros() as Micros, end));
            }
        }
    }

    /// The stalls seen so far.
    pub fn stalls(&self) -> Vec<(Micros, Micros)> {
        self.stalls.borrow().clone()
    }
}
