//! A demonstration: one proxy and a few backends under steady load, of which one hangs and one drains. It prints a line
//! of figures each second, and ends with the ledger's verdict.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

use sandgap_rules::{Ledger, Verdict};

use crate::proxy::Program;
use crate::run::{Folder, RunError, Stage};
use crate::schedule::{Size, scenario};

/// Number of backends at the start.
const BACKENDS: usize = 6;

/// Runs the demonstration for `seconds` at `rate` requests per second and prints to standard output.
///
/// # Errors
/// Whatever prevents a verdict.
pub fn play(program: &Program, rate: f64, seconds: f64, seed: u64) -> Result<Verdict, RunError> {
    let size = Size { requests: (rate * seconds) as usize, rate, proxies: 1, backends: BACKENDS };
    let plan = scenario("demo").expect("demo is a known scenario").plan(seed, size);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut logs = Folder::new(&format!("demo-{}", std::process::id()))?;
    let played = LocalSet::new().block_on(&runtime, async {
        let stage = Stage::set(plan, Ledger::default(), program, &logs, false).await?;
        stage.start().await?;
        println!("a proxy at {}, {BACKENDS} backends, seed {seed}", stage.proxies[0].place.listen);
        println!("{HEADINGS}");
        let printer = spawn_local(print_each_second(stage.clone()));
        let played = stage.play().await;
        printer.abort();
        played.map(|()| stage.verdict())
    });
    if played.is_err() {
        logs.keep();
    }
    played
}

/// The column headings of the lines.
const HEADINGS: &str = "  s   asked/s  served  refused  failed  p50 ms  p99 ms   up  draining  left out";

/// Prints a line of figures each second. The column "left out" counts the backends that are up on the discovery list and
/// handled no request within that second.
async fn print_each_second(stage: Rc<Stage>) {
    let mut ticks = interval(Duration::from_secs(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    ticks.tick().await;
    let (mut ends, mut handled) = ([0; 3], vec![0; BACKENDS + 1]);
    for second in 1.. {
        ticks.tick().await;
        let now = stage.front.ends.get();
        let [served, refused, failed] = std::array::from_fn(|i| now[i] - ends[i]);
        ends = now;
        let latencies = stage.front.latencies.take();
        let at = |q| latencies.quantile_ms(q).unwrap_or(0.0);
        let (up, draining) = stage.discovery.census();
        let backends = stage.backends.borrow();
        handled.resize(backends.len(), 0);
        let mut left_out = 0;
        for (before, b) in handled.iter_mut().zip(backends.iter()) {
            left_out += usize::from(*before == b.handled() && stage.discovery.is_up(b));
            *before = b.handled();
        }
        println!(
            "{second:>3}  {:>8}  {served:>6}  {refused:>7}  {failed:>6}  {:>6.1}  {:>6.1}  {up:>3}  {draining:>8}  {left_out:>8}",
            served + refused + failed,
            at(0.5),
            at(0.99),
        );
    }
}
