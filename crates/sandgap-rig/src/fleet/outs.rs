//! Holders that take backends out and bring them back all the while, and somebody who halts, through the program's own
//! calls by hand.

use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::plan::Hasty;
use super::{PATIENCE, Run, RunError};

/// How long a holder has its backend.
const WORK_MS: std::ops::Range<u64> = 100..400;
/// Between two halts, and how long one stands.
const HALT_MS: std::ops::Range<u64> = 1500..3500;
const HALTED_MS: std::ops::Range<u64> = 300..1500;
/// How long a halt that nobody was told of stands: long enough for several outs.
const KEPT_BY_NOBODY: Duration = Duration::from_secs(6);
/// How long a holder waits for a backend before it gives its wish up, s.
const PATIENT: &str = "5";

impl Run {
    /// Sets how many backends may be out.
    pub(super) async fn set_bounds(&self) -> Result<(), RunError> {
        if self.size.holders == 0 {
            return Ok(());
        }
        let most = self.size.bound_out + usize::from(self.size.hasty == Hasty::Bound);
        let bound = format!("backend:fleet:{most}");
        self.must("the bounds", &["budget", "--set", &bound]).await;
        // What has not been seen well yet counts as out.
        let all = self.size.backends + self.size.voters + self.size.observers;
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let told = self.call(&["outs", "--json"]).await;
            let told = told.and_then(|t| serde_json::from_slice::<Value>(&t.stdout).ok()).unwrap_or_default();
            let targets = told["targets"].as_array().cloned().unwrap_or_default();
            if targets.len() == all && targets.iter().all(|t| t["lost"] == false) {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(RunError::Endless("all targets to be seen well", PATIENCE))
    }

    /// Starts the holders, and whoever halts them.
    pub(super) fn hold_all(self: &Rc<Self>, until: Instant) {
        if self.size.holders == 0 {
            return;
        }
        self.holding.set(self.size.holders + 1);
        for n in 0..self.size.holders {
            let run = self.clone();
            spawn_local(async move {
                run.hold(n as u64, until).await;
                run.holding.set(run.holding.get() - 1);
            });
        }
        let run = self.clone();
        spawn_local(async move {
            run.halt(until).await;
            run.holding.set(run.holding.get() - 1);
        });
    }

    async fn call(&self, words: &[&str]) -> Option<std::process::Output> {
        self.site.hand(words).output().await.ok()
    }

    /// Makes a call until it is done.
    async fn must(&self, what: &str, words: &[&str]) {
        let end = Instant::now() + PATIENCE;
        let mut said = String::new();
        while Instant::now() < end {
            if let Some(output) = self.call(words).await {
                if output.status.success() {
                    return;
                }
                said = String::from_utf8_lossy(&output.stderr).into_owned();
            }
            sleep(Duration::from_millis(50)).await;
        }
        self.broken.borrow_mut().push(format!("{what}: not done in {PATIENCE:?}: {said}"));
    }

    async fn hold(&self, holder: u64, until: Instant) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ (holder + 1).wrapping_mul(0x9e37_79b9));
        while Instant::now() < until {
            let backend = rng.usize(..self.size.backends);
            let name = format!("b{backend}");
            let wish = format!("{:x}", rng.u64(1..));
            let mut words = vec!["out", &name, "--queue", "--json", "--wish", &wish, "--patience", PATIENT];
            if self.size.hasty != Hasty::Grant {
                words.push("--wait");
            }
            let asked = self.clock.now();
            let out = self.call(&words).await;
            let told = out.filter(|o| o.status.success()).map(|o| serde_json::from_slice::<Value>(&o.stdout));
            if let Some(told) = told {
                self.outs.borrow_mut().empty(backend, asked, self.clock.now());
                sleep(Duration::from_millis(rng.u64(WORK_MS))).await;
                self.outs.borrow_mut().back(backend);
                // By the permit's number: a call whose answer was lost is made again, and must not bring back what is
                // another's by then.
                let permit = told.ok().and_then(|t| t["permit"].as_u64());
                let permit = permit.map(|p| p.to_string());
                let mut words = vec!["back", &name];
                words.extend(permit.iter().flat_map(|p| ["--permit", p.as_str()]));
                self.must("a backend that is brought back", &words).await;
            } else {
                // Whether it was heard or not, whether it waits or is out by now.
                let _ = self.call(&["withdraw", &wish, "--patience", "2"]).await;
            }
            sleep(Duration::from_millis(rng.u64(..150))).await;
        }
    }

    async fn halt(&self, until: Instant) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0x4a17);
        loop {
            sleep(Duration::from_millis(rng.u64(HALT_MS))).await;
            if Instant::now() >= until {
                return;
            }
            let heard = match self.size.hasty {
                Hasty::Halt => true,
                _ => {
                    let halted = self.call(&["halt", "--why", "by the rig", "--patience", "3"]).await;
                    halted.is_some_and(|o| o.status.success())
                }
            };
            if heard {
                self.outs.borrow_mut().halted(self.clock.now());
            }
            let span = match self.size.hasty {
                Hasty::Halt => KEPT_BY_NOBODY,
                _ => Duration::from_millis(rng.u64(HALTED_MS)),
            };
            sleep(span).await;
            self.outs.borrow_mut().resumes();
            // Also where nobody acknowledged the halt: it may have been heard.
            self.must("grants that go on", &["resume"]).await;
        }
    }

    /// After all has healed every permit ends: wishes whose holders gave up are given up, what is out comes back.
    pub(super) async fn all_back(&self) -> Result<(), RunError> {
        if self.size.holders == 0 {
            return Ok(());
        }
        let end = Instant::now() + 2 * PATIENCE;
        while self.holding.get() > 0 && Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
        }
        let mut last = Value::Null;
        while Instant::now() < end {
            if let Some(told) = self.call(&["outs", "--json"]).await
                && let Ok(told) = serde_json::from_slice::<Value>(&told.stdout)
            {
                let permits = told["permits"].as_array().cloned().unwrap_or_default();
                if permits.is_empty() {
                    return Ok(());
                }
                for permit in &permits {
                    if let Some(wish) = permit["wish"].as_str() {
                        let _ = self.call(&["withdraw", wish]).await;
                    }
                }
                last = told;
            }
            sleep(Duration::from_millis(100)).await;
        }
        self.broken.borrow_mut().push(format!("permits that never end after all has healed: {last}"));
        Ok(())
    }
}
