//! Holders that repeatedly take backends out and bring them back, and a task that halts and resumes grants, through the
//! program's `fleet` commands.

use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::plan::Hasty;
use super::{MAX_WAIT, Run, RunError};

/// How long a holder keeps its backend out, ms.
const HOLD_MS: std::ops::Range<u64> = 100..400;
/// Time between two halts, ms.
const HALT_INTERVAL_MS: std::ops::Range<u64> = 1500..3500;
/// How long a halt lasts, ms.
const HALT_LENGTH_MS: std::ops::Range<u64> = 300..1500;
/// How long a halt lasts that is deliberately not sent to the fleet: long enough for several backends to go out.
const UNSENT_HALT_LENGTH: Duration = Duration::from_secs(6);
/// How long a holder waits for a backend before it withdraws its wish, s.
const HOLDER_PATIENCE_S: &str = "5";

impl Run {
    /// Sets how many backends may be out at once, and waits until all targets count as available.
    pub(super) async fn set_bounds(&self) -> Result<(), RunError> {
        if self.size.holders == 0 {
            return Ok(());
        }
        let most = self.size.bound_out + usize::from(self.size.hasty == Hasty::Bound);
        let bound = format!("backend:fleet:{most}");
        self.call_until_done("setting the bounds", &["budget", "--set", &bound]).await;
        // A target that has not yet been seen healthy counts as out.
        let all = self.size.backends + self.size.voters + self.size.observers;
        let end = Instant::now() + MAX_WAIT;
        while Instant::now() < end {
            let status = self.call(&["outs", "--json"]).await;
            let status =
                status.and_then(|t| serde_json::from_slice::<Value>(&t.stdout).ok()).unwrap_or_default();
            let targets = status["targets"].as_array().cloned().unwrap_or_default();
            if targets.len() == all && targets.iter().all(|t| t["lost"] == false) {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(RunError::Endless("waiting until all targets are seen healthy", MAX_WAIT))
    }

    /// Starts the holders and the task that halts grants.
    pub(super) fn start_holders(self: &Rc<Self>) {
        if self.size.holders == 0 {
            return;
        }
        self.holders_go_on.set(true);
        self.active_holders.set(self.size.holders + 1);
        for n in 0..self.size.holders {
            let run = self.clone();
            spawn_local(async move {
                run.run_holder(n as u64).await;
                run.active_holders.set(run.active_holders.get() - 1);
            });
        }
        let run = self.clone();
        spawn_local(async move {
            run.run_halts().await;
            run.active_holders.set(run.active_holders.get() - 1);
        });
    }

    /// Ends the taking out of backends. With a deliberate defect it goes on first until the checker has found a breach: on a busy
    /// machine so few backends may be out at once that there is none yet.
    pub(super) async fn stop_holders(&self) {
        let end = Instant::now() + MAX_WAIT;
        let is_awaited = || self.size.hasty != Hasty::No && self.outs.borrow().breaches().is_empty();
        while is_awaited() && Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
        }
        self.holders_go_on.set(false);
    }

    async fn call(&self, arguments: &[&str]) -> Option<std::process::Output> {
        self.site.cli(arguments).output().await.ok()
    }

    /// Repeats a command until it succeeds; a failed check if it doesn't in time.
    async fn call_until_done(&self, what: &str, arguments: &[&str]) {
        let end = Instant::now() + MAX_WAIT;
        let mut said = String::new();
        while Instant::now() < end {
            if let Some(output) = self.call(arguments).await {
                if output.status.success() {
                    return;
                }
                said = String::from_utf8_lossy(&output.stderr).into_owned();
            }
            sleep(Duration::from_millis(50)).await;
        }
        self.broken.borrow_mut().push(format!("{what} did not succeed within {MAX_WAIT:?}: {said}"));
    }

    async fn run_holder(&self, holder: u64) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ (holder + 1).wrapping_mul(0x9e37_79b9));
        while self.holders_go_on.get() {
            let backend = rng.usize(..self.size.backends);
            let name = format!("b{backend}");
            let wish = format!("{:x}", rng.u64(1..));
            let mut arguments =
                vec!["out", &name, "--queue", "--json", "--wish", &wish, "--patience", HOLDER_PATIENCE_S];
            if self.size.hasty != Hasty::Grant {
                arguments.push("--wait");
            }
            let asked = self.clock.now();
            let out = self.call(&arguments).await;
            let answer =
                out.filter(|o| o.status.success()).map(|o| serde_json::from_slice::<Value>(&o.stdout));
            if let Some(answer) = answer {
                self.outs.borrow_mut().empty(backend, asked, self.clock.now());
                sleep(Duration::from_millis(rng.u64(HOLD_MS))).await;
                self.outs.borrow_mut().back(backend);
                // By the permit's number: a command whose answer was lost is repeated, and must not bring back a backend
                // that another holder has taken out meanwhile.
                let permit = answer.ok().and_then(|t| t["permit"].as_u64());
                let permit = permit.map(|p| p.to_string());
                let mut arguments = vec!["back", &name];
                arguments.extend(permit.iter().flat_map(|p| ["--permit", p.as_str()]));
                self.call_until_done("bringing back a backend", &arguments).await;
            } else {
                // The wish may have been lost, still wait, or have been granted by now.
                let _ = self.call(&["withdraw", &wish, "--patience", "2"]).await;
            }
            sleep(Duration::from_millis(rng.u64(..150))).await;
        }
    }

    async fn run_halts(&self) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0x4a17);
        loop {
            sleep(Duration::from_millis(rng.u64(HALT_INTERVAL_MS))).await;
            if !self.holders_go_on.get() {
                return;
            }
            let acknowledged = match self.size.hasty {
                Hasty::Halt => true,
                _ => {
                    let halted = self.call(&["halt", "--why", "by the rig", "--patience", "3"]).await;
                    halted.is_some_and(|o| o.status.success())
                }
            };
            if acknowledged {
                self.outs.borrow_mut().halted(self.clock.now());
            }
            let span = match self.size.hasty {
                Hasty::Halt => UNSENT_HALT_LENGTH,
                _ => Duration::from_millis(rng.u64(HALT_LENGTH_MS)),
            };
            sleep(span).await;
            self.outs.borrow_mut().resumes();
            // Also after a halt that was not acknowledged: it may have taken effect.
            self.call_until_done("resuming grants", &["resume"]).await;
        }
    }

    /// Checks that every permit ends once all faults have: waits for the holders to finish, and withdraws the wishes
    /// that remain.
    pub(super) async fn end_all_permits(&self) -> Result<(), RunError> {
        if self.size.holders == 0 {
            return Ok(());
        }
        let end = Instant::now() + 2 * MAX_WAIT;
        while self.active_holders.get() > 0 && Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
        }
        let mut last = Value::Null;
        while Instant::now() < end {
            if let Some(status) = self.call(&["outs", "--json"]).await
                && let Ok(status) = serde_json::from_slice::<Value>(&status.stdout)
            {
                let permits = status["permits"].as_array().cloned().unwrap_or_default();
                if permits.is_empty() {
                    return Ok(());
                }
                for permit in &permits {
                    if let Some(wish) = permit["wish"].as_str() {
                        let _ = self.call(&["withdraw", wish]).await;
                    }
                }
                last = status;
            }
            sleep(Duration::from_millis(100)).await;
        }
        self.broken.borrow_mut().push(format!("permits did not end after all faults had ended: {last}"));
        Ok(())
    }
}
