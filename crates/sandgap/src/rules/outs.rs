//! Staff's calls about permits: who is out, for how long, and how many may be at once.

use std::collections::BTreeSet;
use std::time::Instant;

use clap::Args;
use sandgap_agree::words::Word;
use sandgap_rollout::carry::{self, Status, TAG};
use sandgap_rollout::{Asking, Bound, Entry, Permit, Phase, Target, Verdict};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::commands::{Caller, Failed, LOOK, Result, who};

/// A wish to take targets out.
#[derive(Args)]
pub struct Out {
    /// Backends by name, proxies as proxy:NAME. All go, or none.
    #[arg(required = true)]
    targets: Vec<String>,
    /// Why, for the record.
    #[arg(long, default_value = "")]
    why: String,
    /// Waits until all are empty: only then may their holder stop them.
    #[arg(long)]
    wait: bool,
    /// Waits for targets that are out under another permit, instead of being refused.
    #[arg(long)]
    queue: bool,
    /// 0 to 9; higher goes first.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u8).range(0..10))]
    priority: u8,
    /// The wish's number, drawn by the caller, in hexadecimal: a call that is repeated with the same one counts once.
    #[arg(long, value_name = "HEX")]
    wish: Option<String>,
    /// Passes all bounds for this reason, which stays in the record.
    #[arg(long, value_name = "REASON")]
    beyond_bound: Option<String>,
}

/// How many may be out at once.
#[derive(Args)]
pub struct Budget {
    /// Sets the bounds; all of them, as SIDE:PER:MOST. SIDE is backend or proxy, PER fleet, zone, cell or kind, MOST a
    /// count, a part (10%), or need:25% or need:25%:zone-lost.
    #[arg(long = "set", value_name = "BOUND")]
    bounds: Vec<Bound>,
    /// Takes all bounds off.
    #[arg(long, conflicts_with = "bounds")]
    clear: bool,
    /// Why, for the record.
    #[arg(long, default_value = "")]
    why: String,
}

pub(super) fn targets(names: &[String]) -> BTreeSet<Target> {
    names.iter().map(|name| name.parse().unwrap_or_else(|never| match never {})).collect()
}

fn number(wish: &str) -> Result<u64> {
    let wrong =
        || format!("'{wish}' is no wish's number, which is hexadecimal: 'sandgap fleet outs' lists them");
    u64::from_str_radix(wish, 16).map_err(|_| Failed::Wrong(wrong()))
}

impl Caller {
    /// Puts an entry into the log; the same entry that arrives twice counts once.
    pub(super) async fn put(&mut self, entry: &Entry) -> Result<Verdict> {
        let leader = self.leader().await?;
        let number = self.number();
        let take = move |word| match word {
            Word::Came(n, bytes) if n == number => carry::verdict(&bytes).map(Ok),
            Word::Unput(n, why) if n == number => Some(Err(why)),
            _ => None,
        };
        let came = self.ask(Some(&leader.voter), Word::Put(number, TAG, carry::encode(entry)), take).await?;
        match came {
            Ok(Verdict::Refused(why)) => Err(Failed::Refused(why.to_string())),
            Ok(verdict) => Ok(verdict),
            Err(why) => Err(Failed::Wrong(why)),
        }
    }

    /// How things stand, as the voter that leads has it.
    pub(super) async fn permits(&mut self) -> Result<Status> {
        loop {
            let leader = self.leader().await?;
            let number = self.number();
            let take = move |word| match word {
                Word::Seen(n, leads, bytes) if n == number => Some(carry::status(&bytes).filter(|_| leads)),
                Word::Unput(n, _) if n == number => Some(None),
                _ => None,
            };
            if let Some(status) = self.ask(Some(&leader.voter), Word::Look(number, TAG, vec![]), take).await?
            {
                return Ok(status);
            }
            if Instant::now() >= self.end {
                return Err(Failed::Nobody("the lead changes: ask again".into()));
            }
        }
    }

    /// A call that is done at once.
    pub(super) async fn do_by_hand(&mut self, entry: impl FnOnce(String) -> Entry) -> Result<()> {
        self.put(&entry(who())).await?;
        if self.json {
            println!("{}", json!({"done": true}));
        } else {
            println!("done");
        }
        Ok(())
    }

    pub(super) async fn take_out(&mut self, out: Out) -> Result<()> {
        let id = match &out.wish {
            Some(wish) => number(wish)?,
            None => self.number(),
        };
        let (holder, why, waits, beyond) = (who(), out.why, out.queue, out.beyond_bound);
        let asking = Asking {
            id,
            holder,
            why,
            priority: out.priority,
            targets: targets(&out.targets),
            waits,
            beyond,
            release: None,
        };
        let verdict = self.put(&Entry::Ask(asking)).await?;
        match out.wait {
            true => self.wait_until_empty(id).await,
            false => self.told_out(id, &verdict, false),
        }
    }

    /// Waits until all that a wish names is out and empty.
    async fn wait_until_empty(&mut self, id: u64) -> Result<()> {
        loop {
            let status = self.permits().await?;
            let permit = status.ledger.permits().find(|p| p.asking.id == id);
            let Some(permit) = permit else {
                let text = format!("wish {id:x} was given up, or its targets have left the fleet");
                return Err(Failed::Refused(text));
            };
            if let Some((fence, all)) = &permit.grant {
                if all.values().any(|phase| *phase == Phase::Returning) {
                    let halted = status.ledger.halted();
                    let halted = halted.map_or(String::new(), |(by, why)| format!(": {by} halts: {why}"));
                    return Err(Failed::Refused(format!("permit {fence} is taken back{halted}")));
                }
                if all.values().all(|phase| matches!(phase, Phase::Drained(_))) {
                    return self.told_out(id, &Verdict::Granted(*fence), true);
                }
            }
            if Instant::now() + LOOK >= self.end {
                return Err(Failed::Refused(format!(
                    "still waiting ({}); the wish stands: wait on with 'sandgap fleet outs', or give it up with \
                     'sandgap fleet withdraw {id:x}'",
                    waiting_for(&status, permit)
                )));
            }
            sleep(LOOK).await;
        }
    }

    fn told_out(&self, id: u64, verdict: &Verdict, empty: bool) -> Result<()> {
        let (fence, place) = match verdict {
            Verdict::Granted(fence) => (Some(*fence), None),
            Verdict::Waits(place) => (None, Some(*place)),
            _ => (None, None),
        };
        if self.json {
            println!(
                "{}",
                json!({"wish": format!("{id:x}"), "permit": fence, "before": place, "empty": empty})
            );
        } else {
            match (fence, empty) {
                (Some(fence), true) => println!("permit {fence}: out, and empty"),
                (Some(fence), false) => {
                    println!("permit {fence}: going out; 'sandgap fleet outs' tells when it is empty")
                }
                (None, _) => println!("wish {id:x} waits, {} before it", place.unwrap_or(0)),
            }
        }
        Ok(())
    }

    pub(super) async fn bring_back(
        &mut self, names: &[String], permit: Option<u64>, runs: Option<String>,
    ) -> Result<()> {
        let status = self.permits().await?;
        for target in targets(names) {
            let fence = match permit {
                Some(fence) => fence,
                None => own_permit(&status, &target)?,
            };
            self.put(&Entry::Returned { target, fence, runs: runs.clone() }).await?;
        }
        if !self.json {
            println!("coming back; 'sandgap fleet outs' tells when they have been seen well");
        }
        Ok(())
    }

    pub(super) async fn withdraw(&mut self, wish: &str) -> Result<()> {
        let id = number(wish)?;
        self.do_by_hand(|by| Entry::Withdraw { id, by }).await
    }

    pub(super) async fn budget(&mut self, budget: Budget) -> Result<()> {
        if budget.clear || !budget.bounds.is_empty() {
            let (bounds, why) = (budget.bounds, budget.why);
            return self.do_by_hand(|by| Entry::Bounds { bounds, by, why }).await;
        }
        let status = self.permits().await?;
        if self.json {
            let all: Vec<String> = status.ledger.bounds().iter().map(ToString::to_string).collect();
            println!("{}", json!({"bounds": all}));
        } else if status.ledger.bounds().is_empty() {
            println!("no bound is set");
        } else {
            status.ledger.bounds().iter().for_each(|b| println!("at most {b}"));
        }
        Ok(())
    }

    pub(super) async fn outs(&mut self) -> Result<()> {
        let status = self.permits().await?;
        if self.json {
            println!("{}", in_json(&status));
            return Ok(());
        }
        if let Some((by, why)) = status.ledger.halted() {
            println!("HALTED by {by}: {why}");
        }
        status.ledger.bounds().iter().for_each(|b| println!("at most {b}"));
        for permit in status.ledger.permits() {
            let asking = &permit.asking;
            let what =
                permit.grant.as_ref().map_or("waits".to_owned(), |(fence, _)| format!("permit {fence}"));
            println!("wish {:x}  {what}  {}  {}", asking.id, asking.holder, asking.why);
            match &permit.grant {
                None => println!("    {}", waiting_for(&status, permit)),
                Some((_, all)) => all.iter().for_each(|(target, phase)| {
                    let wait = status.waits.iter().find(|(t, _)| t == target).map_or("", |(_, w)| w);
                    println!("    {target:<20} {:<10} waits for {wait}", word(*phase));
                }),
            }
        }
        let granted: BTreeSet<&Target> = status.ledger.granted().map(|(t, ..)| t).collect();
        let lost = status.ledger.targets().iter().filter(|(t, k)| k.lost && !granted.contains(t));
        lost.for_each(|(target, _)| println!("{target:<24} lost: counts as out until it has been seen well"));
        let (record, beyond) = status.ledger.record();
        beyond.for_each(|line| println!("{:>6}  BEYOND BOUNDS  {}", line.number, line.text));
        record.for_each(|line| println!("{:>6}  {}", line.number, line.text));
        Ok(())
    }
}

pub(super) fn word(phase: Phase) -> &'static str {
    match phase {
        Phase::Granted => "going out",
        Phase::Drained(_) => "empty",
        Phase::Returning => "returning",
    }
}

/// The caller's permit under which a target is out.
fn own_permit(status: &Status, target: &Target) -> Result<u64> {
    let out = |p: &&Permit| p.grant.as_ref().is_some_and(|(_, all)| all.contains_key(target));
    let Some(permit) = status.ledger.permits().find(out) else {
        return Err(Failed::Refused(format!("{target} is not out: 'sandgap fleet outs' lists what is")));
    };
    let (fence, holder) = (permit.grant.as_ref().map_or(0, |(fence, _)| *fence), &permit.asking.holder);
    match *holder == who() {
        true => Ok(fence),
        false => Err(Failed::Refused(format!(
            "{target} is out under permit {fence} of {holder}: ask {holder}, or say '--permit {fence}'"
        ))),
    }
}

/// What a permit waits for, in words.
fn waiting_for(status: &Status, permit: &Permit) -> String {
    match &permit.grant {
        None => {
            let why = status.against.iter().find(|(id, _)| *id == permit.asking.id);
            why.map_or("its turn".into(), |(_, why)| why.clone())
        }
        Some((_, all)) => {
            let waits = status.waits.iter().filter(|(t, _)| all.contains_key(t));
            let all: Vec<String> = waits.map(|(t, w)| format!("{t}: {w}")).collect();
            if all.is_empty() { "the voter that leads to say so".into() } else { all.join("; ") }
        }
    }
}

fn in_json(status: &Status) -> Value {
    let permit = |p: &Permit| {
        let target = |(t, phase): (&Target, &Phase)| {
            let wait = status.waits.iter().find(|(w, _)| w == t).map(|(_, w)| w.clone());
            json!({"target": t.to_string(), "phase": word(*phase), "waits_for": wait})
        };
        let out: Vec<Value> = p.grant.iter().flat_map(|(_, all)| all.iter().map(target)).collect();
        let asked: Vec<String> = p.asking.targets.iter().map(ToString::to_string).collect();
        json!({"wish": format!("{:x}", p.asking.id), "holder": p.asking.holder, "why": p.asking.why,
            "permit": p.grant.as_ref().map(|(fence, _)| fence), "asked": asked, "out": out})
    };
    let all = status.ledger.targets().iter();
    let targets: Vec<Value> = all.map(|(t, k)| json!({"target": t.to_string(), "lost": k.lost})).collect();
    let permits: Vec<Value> = status.ledger.permits().map(permit).collect();
    let bounds: Vec<String> = status.ledger.bounds().iter().map(ToString::to_string).collect();
    json!({"halted": status.ledger.halted(), "bounds": bounds, "permits": permits, "targets": targets})
}
