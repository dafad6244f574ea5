//! Fleet commands about releases.

use clap::{Args, Subcommand};
use sandgap_rollout::state_machine::Status;
use sandgap_rollout::{Entry, Phase, Plan, Release, Stage, Target};
use serde_json::{Value, json};

use super::commands::{CallError, Caller, Result, caller_name};
use super::outs::{phase_name, targets};

/// The release commands.
#[derive(Subcommand)]
pub enum ReleaseCommand {
    /// Records a plan: which targets change from one version to another, in waves.
    Plan(PlanArguments),
    /// Starts the first wave.
    Begin {
        /// The release's name.
        name: String,
    },
    /// Halts a release: no further targets go out for it.
    Halt {
        /// Its name.
        name: String,
        /// Reason.
        #[arg(long)]
        why: String,
    },
    /// Resumes a halted release.
    Resume {
        /// Its name.
        name: String,
    },
    /// Rolls back all targets that run the new version.
    Back {
        /// Its name.
        name: String,
    },
    /// Lists releases, with what each target runs and waits for.
    Status,
    /// Lists targets that are out for a release and empty, with their permit and the version to install, one per line
    /// for the tool that updates them.
    Work {
        /// The release's name.
        name: String,
        /// Waits until there is such a target or the release has ended.
        #[arg(long)]
        wait: bool,
    },
}

/// Options of `release plan`.
#[derive(Args)]
pub struct PlanArguments {
    /// Name of the release.
    name: String,
    /// The version that targets run now.
    #[arg(long)]
    from: String,
    /// The version that they change to.
    #[arg(long)]
    to: String,
    /// Targets of a wave, separated by commas; the first wave is the canary.
    #[arg(long = "wave", required = true, value_name = "TARGETS")]
    waves: Vec<String>,
    /// Minimum time in seconds for which a wave is observed.
    #[arg(long, default_value_t = 60.0)]
    soak: f64,
    /// Further time in seconds after which it is halted without a finding.
    #[arg(long, default_value_t = 600.0)]
    patience_for_finding: f64,
    /// Increase in failures, in percent of all requests, that causes a halt.
    #[arg(long, default_value_t = 1.0)]
    margin: f64,
    /// Stays halted after a bad finding, instead of an automatic rollback.
    #[arg(long)]
    no_way_back: bool,
    /// Reason, for the record.
    #[arg(long, default_value = "")]
    why: String,
}

fn ms(seconds: f64) -> u64 {
    (seconds.clamp(0.0, 1e6) * 1000.0) as u64
}

fn find<'a>(status: &'a Status, name: &str) -> Result<&'a Release> {
    // Earlier releases of the same name have ended; an active one is preferred.
    let mut all: Vec<&Release> = status.ledger.releases().filter(|r| r.plan.name == name).collect();
    all.sort_by_key(|r| !r.stage.has_ended());
    let known = || status.ledger.releases().map(|r| r.plan.name.as_str()).collect::<Vec<_>>().join(", ");
    all.pop().ok_or_else(|| CallError::Invalid(format!("no release '{name}'; known releases: {}", known())))
}

/// The version that targets should run at the release's current stage.
fn wanted_version(release: &Release) -> &str {
    match release.stage {
        Stage::Wave(_) | Stage::Soaking(_) | Stage::Done => &release.plan.to,
        _ => &release.plan.from,
    }
}

impl Caller {
    pub(super) async fn release(&mut self, how: ReleaseCommand) -> Result<()> {
        match how {
            ReleaseCommand::Plan(planned) => self.plan(planned).await,
            ReleaseCommand::Begin { name } => {
                self.change_release(&name, |release, by| Entry::Begin { release, by }).await
            }
            ReleaseCommand::Halt { name, why } => {
                self.change_release(&name, |release, by| Entry::HaltRelease { release, by, why }).await
            }
            ReleaseCommand::Resume { name } => {
                self.change_release(&name, |release, by| Entry::ResumeRelease { release, by }).await
            }
            ReleaseCommand::Back { name } => {
                self.change_release(&name, |release, by| Entry::RollBack { release, by }).await
            }
            ReleaseCommand::Status => self.releases().await,
            ReleaseCommand::Work { name, wait } => self.work(&name, wait).await,
        }
    }

    async fn plan(&mut self, planned: PlanArguments) -> Result<()> {
        let wave = |text: &String| {
            let names: Vec<String> =
                text.split(',').map(|t| t.trim().to_owned()).filter(|t| !t.is_empty()).collect();
            targets(&names).into_iter().collect::<Vec<Target>>()
        };
        let plan = Plan {
            id: self.next_number(),
            waves: planned.waves.iter().map(wave).collect(),
            name: planned.name,
            from: planned.from,
            to: planned.to,
            soak_ms: ms(planned.soak),
            patience_ms: ms(planned.patience_for_finding),
            margin: (planned.margin.clamp(0.1, 99.0) * 10.0).round() as u32,
            auto_rollback: !planned.no_way_back,
            by: caller_name(),
            why: planned.why,
        };
        self.submit_and_report(|_| Entry::Plan(Box::new(plan))).await
    }

    async fn change_release(&mut self, name: &str, entry: impl FnOnce(u64, String) -> Entry) -> Result<()> {
        let id = find(&self.permit_status().await?, name)?.plan.id;
        self.submit_and_report(|by| entry(id, by)).await
    }

    async fn releases(&mut self) -> Result<()> {
        let status = self.permit_status().await?;
        for release in status.ledger.releases() {
            let plan = &release.plan;
            if self.json {
                println!("{}", to_json(&status, release));
                continue;
            }
            println!("{}  {} to {}  {}", plan.name, plan.from, plan.to, release.stage);
            for (k, wave) in plan.waves.iter().enumerate() {
                for target in wave {
                    let (phase, waits) = state(&status, release, target);
                    let waits = waits.map_or(String::new(), |w| format!("  waits for {w}"));
                    println!(
                        "    {:>3}  {target:<20} {:<16} {phase}{waits}",
                        k + 1,
                        status.ledger.runs(release, target)
                    );
                }
            }
        }
        Ok(())
    }

    async fn work(&mut self, name: &str, wait: bool) -> Result<()> {
        loop {
            let status = self.permit_status().await?;
            let release = find(&status, name)?;
            let empty: Vec<(Target, u64)> = status
                .ledger
                .granted()
                .filter(|(_, _, phase)| matches!(phase, Phase::Drained(_)))
                .filter(|(t, ..)| status.ledger.permit_for(release.plan.id, t).is_some())
                .map(|(t, fence, _)| (t.clone(), fence))
                .collect();
            let has_ended = !wait || !empty.is_empty() || release.stage.has_ended();
            if has_ended || !self.next_poll().await {
                for (target, fence) in empty {
                    if self.json {
                        println!(
                            "{}",
                            json!({"target": target.to_string(), "permit": fence, "runs": wanted_version(release)})
                        );
                    } else {
                        println!("{target} {fence} {}", wanted_version(release));
                    }
                }
                return Ok(());
            }
        }
    }
}

/// The phase of a target, and what it waits for.
fn state(status: &Status, release: &Release, target: &Target) -> (&'static str, Option<String>) {
    let Some(permit) = status.ledger.permit_for(release.plan.id, target) else { return ("in use", None) };
    match permit.grant.as_ref().and_then(|(_, all)| all.get(target)) {
        Some(phase) => {
            let waits = status.waits.iter().find(|(t, _)| t == target).map(|(_, w)| w.clone());
            (phase_name(*phase), waits)
        }
        None => {
            let why =
                status.against.iter().find(|(id, _)| *id == permit.request.id).map(|(_, why)| why.clone());
            ("waits", why)
        }
    }
}

fn to_json(status: &Status, release: &Release) -> Value {
    let target = |t: &Target| {
        let (phase, waits) = state(status, release, t);
        json!({"target": t.to_string(), "runs": status.ledger.runs(release, t), "phase": phase, "waits_for": waits})
    };
    let waves: Vec<Vec<Value>> = release.plan.waves.iter().map(|w| w.iter().map(target).collect()).collect();
    json!({"release": release.plan.name, "stage": release.stage.to_string(), "ended": release.stage.has_ended(),
        "waves": waves})
}
