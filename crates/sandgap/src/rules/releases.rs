//! Staff's calls about releases.

use std::time::Instant;

use clap::{Args, Subcommand};
use sandgap_rollout::carry::Status;
use sandgap_rollout::{Entry, Phase, Plan, Release, Stage, Target};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::commands::{Caller, Failed, LOOK, Result, who};
use super::outs::{targets, word};

/// What is done with a release.
#[derive(Subcommand)]
pub enum How {
    /// Writes down which targets go from what to what, in waves.
    Plan(Planned),
    /// Begins with the first wave.
    Begin {
        /// The release's name.
        name: String,
    },
    /// Lets nothing more go out for it.
    Halt {
        /// Its name.
        name: String,
        /// Why.
        #[arg(long)]
        why: String,
    },
    /// Goes on where it was halted.
    Resume {
        /// Its name.
        name: String,
    },
    /// Takes back all that run it.
    Back {
        /// Its name.
        name: String,
    },
    /// Lists releases, and for each target what it runs and waits for.
    Status,
    /// Lists targets that are out for a release and empty, with their permit and what they are to run: a line each for
    /// whoever changes them.
    Work {
        /// The release's name.
        name: String,
        /// Waits until there is one, or the release has ended.
        #[arg(long)]
        wait: bool,
    },
}

/// A plan.
#[derive(Args)]
pub struct Planned {
    /// Its name.
    name: String,
    /// What targets run now.
    #[arg(long)]
    from: String,
    /// What they are to run.
    #[arg(long)]
    to: String,
    /// Targets of a wave, set apart by commas; the first wave is the canary.
    #[arg(long = "wave", required = true, value_name = "TARGETS")]
    waves: Vec<String>,
    /// Seconds that a wave is watched at least.
    #[arg(long, default_value_t = 60.0)]
    soak: f64,
    /// Seconds more after which it is halted, if nothing is found until then.
    #[arg(long, default_value_t = 600.0)]
    patience_for_finding: f64,
    /// Failures more, in percent of all, that are worth a halt.
    #[arg(long, default_value_t = 1.0)]
    margin: f64,
    /// Stays halted where it is found bad, instead of going back by itself.
    #[arg(long)]
    no_way_back: bool,
    /// Why, for the record.
    #[arg(long, default_value = "")]
    why: String,
}

fn ms(seconds: f64) -> u64 {
    (seconds.clamp(0.0, 1e6) * 1000.0) as u64
}

fn find<'a>(status: &'a Status, name: &str) -> Result<&'a Release> {
    // The latest of a name: earlier ones have ended.
    let mut all: Vec<&Release> = status.ledger.releases().filter(|r| r.plan.name == name).collect();
    all.sort_by_key(|r| !r.stage.has_ended());
    let known = || status.ledger.releases().map(|r| r.plan.name.as_str()).collect::<Vec<_>>().join(", ");
    all.pop().ok_or_else(|| Failed::Wrong(format!("no release '{name}'; there are: {}", known())))
}

/// What a target of a release is to run where the release stands.
fn wanted(release: &Release) -> &str {
    match release.stage {
        Stage::Wave(_) | Stage::Soaking(_) | Stage::Done => &release.plan.to,
        _ => &release.plan.from,
    }
}

impl Caller {
    pub(super) async fn release(&mut self, how: How) -> Result<()> {
        match how {
            How::Plan(planned) => self.plan(planned).await,
            How::Begin { name } => self.turn(&name, |release, by| Entry::Begin { release, by }).await,
            How::Halt { name, why } => self.turn(&name, |release, by| Entry::Hold { release, by, why }).await,
            How::Resume { name } => self.turn(&name, |release, by| Entry::GoOn { release, by }).await,
            How::Back { name } => self.turn(&name, |release, by| Entry::TurnBack { release, by }).await,
            How::Status => self.releases().await,
            How::Work { name, wait } => self.work(&name, wait).await,
        }
    }

    async fn plan(&mut self, planned: Planned) -> Result<()> {
        let wave = |text: &String| {
            let names: Vec<String> =
                text.split(',').map(|t| t.trim().to_owned()).filter(|t| !t.is_empty()).collect();
            targets(&names).into_iter().collect::<Vec<Target>>()
        };
        let plan = Plan {
            id: self.number(),
            waves: planned.waves.iter().map(wave).collect(),
            name: planned.name,
            from: planned.from,
            to: planned.to,
            soak_ms: ms(planned.soak),
            patience_ms: ms(planned.patience_for_finding),
            margin: (planned.margin.clamp(0.1, 99.0) * 10.0).round() as u32,
            backs: !planned.no_way_back,
            by: who(),
            why: planned.why,
        };
        self.do_by_hand(|_| Entry::Plan(Box::new(plan))).await
    }

    async fn turn(&mut self, name: &str, entry: impl FnOnce(u64, String) -> Entry) -> Result<()> {
        let id = find(&self.permits().await?, name)?.plan.id;
        self.do_by_hand(|by| entry(id, by)).await
    }

    async fn releases(&mut self) -> Result<()> {
        let status = self.permits().await?;
        for release in status.ledger.releases() {
            let plan = &release.plan;
            if self.json {
                println!("{}", in_json(&status, release));
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
            let status = self.permits().await?;
            let release = find(&status, name)?;
            let empty: Vec<(Target, u64)> = status
                .ledger
                .granted()
                .filter(|(_, _, phase)| matches!(phase, Phase::Drained(_)))
                .filter(|(t, ..)| status.ledger.permit_for(release.plan.id, t).is_some())
                .map(|(t, fence, _)| (t.clone(), fence))
                .collect();
            let over = release.stage.has_ended() || Instant::now() + LOOK >= self.end;
            if !wait || !empty.is_empty() || over {
                for (target, fence) in empty {
                    if self.json {
                        println!(
                            "{}",
                            json!({"target": target.to_string(), "permit": fence, "runs": wanted(release)})
                        );
                    } else {
                        println!("{target} {fence} {}", wanted(release));
                    }
                }
                return Ok(());
            }
            sleep(LOOK).await;
        }
    }
}

/// How far a target is, and what it waits for.
fn state(status: &Status, release: &Release, target: &Target) -> (&'static str, Option<String>) {
    let Some(permit) = status.ledger.permit_for(release.plan.id, target) else { return ("in use", None) };
    match permit.grant.as_ref().and_then(|(_, all)| all.get(target)) {
        Some(phase) => {
            let waits = status.waits.iter().find(|(t, _)| t == target).map(|(_, w)| w.clone());
            (word(*phase), waits)
        }
        None => {
            let why =
                status.against.iter().find(|(id, _)| *id == permit.asking.id).map(|(_, why)| why.clone());
            ("waits", why)
        }
    }
}

fn in_json(status: &Status, release: &Release) -> Value {
    let target = |t: &Target| {
        let (phase, waits) = state(status, release, t);
        json!({"target": t.to_string(), "runs": status.ledger.runs(release, t), "phase": phase, "waits_for": waits})
    };
    let waves: Vec<Vec<Value>> = release.plan.waves.iter().map(|w| w.iter().map(target).collect()).collect();
    json!({"release": release.plan.name, "stage": release.stage.to_string(), "ended": release.stage.has_ended(),
        "waves": waves})
}
