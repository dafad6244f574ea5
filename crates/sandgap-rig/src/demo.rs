//! A demonstration: a few backends, one proxy, a steady load, one backend that hangs and one that drains, a line
//! each second, and the ledger's verdict.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

use sandgap_rules::{Ledger, Verdict};

use crate::proxy::Program;
use crate::run::{Folder, RunError, Stage};
use crate::schedule::{Size, scenario};

/// Backends of the demonstration.
const BACKENDS: usize = 6;

/// Plays it for `seconds` at `rate` requests a second, with its lines on standard output.
///
/// # Errors
/// Whatever makes a verdict impossible.
pub fn play(program: &Program, rate: f64, seconds: f64, seed: u64) -> Result<Verdict, RunError> {
    let size = Size { requests: (rate * seconds) as usize, rate, proxies: 1, backends: BACKENDS };
    let plan = scenario("demo").expect("it is on the list").plan(seed, size);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut logs = Folder::new(&format!("demo-{}", std::process::id()))?;
    let played = LocalSet::new().block_on(&runtime, async {
        let stage = Stage::set(plan, Ledger::default(), program, &logs, false).await?;
        stage.start().await?;
        println!("a proxy at {}, {BACKENDS} backends, seed {seed}", stage.proxies[0].place.listen);
        println!("{HEAD}");
        let teller = spawn_local(tell(stage.clone()));
        let played = stage.play().await;
        teller.abort();
        played.map(|()| stage.verdict())
    });
    if played.is_err() {
        logs.keep();
    }
    played
}

const HEAD: &str = "  s   asked/s  served  refused  failed  p50 ms  p99 ms   up  draining  left out";

/// A line each second. A backend is left out when it is up on the list and was sent nothing within the second.
async fn tell(stage: Rc<Stage>) {
    let mut beat = interval(Duration::from_secs(1));
    beat.set_missed_tick_behavior(MissedTickBehavior::Skip);
    beat.tick().await;
    let (mut ends, mut handled) = ([0; 3], vec![0; BACKENDS + 1]);
    for second in 1.. {
        beat.tick().await;
        let now = stage.front.ends.get();
        let [served, refused, failed] = std::array::from_fn(|i| now[i] - ends[i]);
        ends = now;
        let latencies = stage.front.latencies.take();
        let at = |q| latencies.quantile_ms(q).unwrap_or(0.0);
        let (up, draining) = stage.discovery.census();
        let backends = stage.backends.borrow();
        handled.resize(backends.len(), 0);
        let mut idle = 0;
        for (before, b) in handled.iter_mut().zip(backends.iter()) {
            idle += usize::from(*before == b.handled() && stage.discovery.is_up(b));
            *before = b.handled();
        }
        println!(
            "{second:>3}  {:>8}  {served:>6}  {refused:>7}  {failed:>6}  {:>6.1}  {:>6.1}  {up:>3}  {draining:>8}  {idle:>8}",
            served + refused + failed,
            at(0.5),
            at(0.99),
        );
    }
}
