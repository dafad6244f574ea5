//! Fleet commands about permits: which targets are out, under which permit, and how many may be out at once.

use std::collections::BTreeSet;
use std::time::Instant;

use clap::Args;
use sandgap_agree::messages::Message;
use sandgap_rollout::state_machine::{self, Status, TAG};
use sandgap_rollout::{Bound, Entry, Permit, PermitRequest, Phase, Target, Verdict};
use serde_json::{Value, json};

use super::commands::{CallError, Caller, Result, caller_name};

/// Options of `out`, which requests a permit to take targets out.
#[derive(Args)]
pub struct OutArguments {
    /// Backends by name, proxies as proxy:NAME. All of them go out, or none.
    #[arg(required = true)]
    targets: Vec<String>,
    /// Reason, for the record.
    #[arg(long, default_value = "")]
    why: String,
    /// Waits until all targets are empty: only then may the holder stop them.
    #[arg(long)]
    wait: bool,
    /// Queues for targets that are out under another permit, instead of being refused.
    #[arg(long)]
    queue: bool,
    /// Priority from 0 to 9; higher goes first.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u8).range(0..10))]
    priority: u8,
    /// The request's number in hexadecimal, chosen by the caller: repeated calls with the same number count once.
    #[arg(long, value_name = "HEX")]
    wish: Option<String>,
    /// Overrides all bounds for this reason, which is kept in the record.
    #[arg(long, value_name = "REASON")]
    beyond_bound: Option<String>,
}

/// Options of `budget`: how many targets may be out at once.
#[derive(Args)]
pub struct BudgetArguments {
    /// Replaces all bounds, each as SIDE:PER:MOST. SIDE is backend or proxy; PER is fleet, zone, cell or kind; MOST is
    /// a count, a percentage (10%), need:25% or need:25%:zone-lost.
    #[arg(long = "set", value_name = "BOUND")]
    bounds: Vec<Bound>,
    /// Removes all bounds.
    #[arg(long, conflicts_with = "bounds")]
    clear: bool,
    /// Reason, for the record.
    #[arg(long, default_value = "")]
    why: String,
}

pub(super) fn targets(names: &[String]) -> BTreeSet<Target> {
    names.iter().map(|name| name.parse().unwrap_or_else(|never| match never {})).collect()
}

fn parse_wish(wish: &str) -> Result<u64> {
    let wrong = || {
        format!("'{wish}' is not the number of a wish, which is hexadecimal: 'sandgap fleet outs' lists them")
    };
    u64::from_str_radix(wish, 16).map_err(|_| CallError::Invalid(wrong()))
}

impl Caller {
    /// Submits an entry to the log; an entry that arrives twice counts once.
    pub(super) async fn submit(&mut self, entry: &Entry) -> Result<Verdict> {
        let leader = self.leader().await?;
        let number = self.next_number();
        let take = move |message| match message {
            Message::RiderEntryApplied(n, bytes) if n == number => state_machine::verdict(&bytes).map(Ok),
            Message::RiderRefused(n, why) if n == number => Some(Err(why)),
            _ => None,
        };
        let answer = self
            .ask(
                Some(&leader.voter),
                Message::ProposeRiderEntry(number, TAG, state_machine::encode(entry)),
                take,
            )
            .await?;
        match answer {
            Ok(Verdict::Refused(why)) => Err(CallError::Rejected(why.to_string())),
            Ok(verdict) => Ok(verdict),
            Err(why) => Err(CallError::Invalid(why)),
        }
    }

    /// The status of permits, from the leader.
    pub(super) async fn permit_status(&mut self) -> Result<Status> {
        loop {
            let leader = self.leader().await?;
            let number = self.next_number();
            let take = move |message| match message {
                Message::RiderAnswer(n, leads, bytes) if n == number => {
                    Some(state_machine::status(&bytes).filter(|_| leads))
                }
                Message::RiderRefused(n, _) if n == number => Some(None),
                _ => None,
            };
            if let Some(status) =
                self.ask(Some(&leader.voter), Message::QueryRider(number, TAG, vec![]), take).await?
            {
                return Ok(status);
            }
            if Instant::now() >= self.query_end {
                return Err(CallError::Unavailable("the leader changes: try again".into()));
            }
        }
    }

    /// Submits an entry and reports that it is done.
    pub(super) async fn submit_and_report(&mut self, entry: impl FnOnce(String) -> Entry) -> Result<()> {
        self.submit(&entry(caller_name())).await?;
        if self.json {
            println!("{}", json!({"done": true}));
        } else {
            println!("done");
        }
        Ok(())
    }

    pub(super) async fn request_out(&mut self, out: OutArguments) -> Result<()> {
        let id = match &out.wish {
            Some(wish) => parse_wish(wish)?,
            None => self.next_number(),
        };
        let (holder, why, waits, bypass_reason) = (caller_name(), out.why, out.queue, out.beyond_bound);
        let request = PermitRequest {
            id,
            holder,
            why,
            priority: out.priority,
            targets: targets(&out.targets),
            waits,
            bypass_reason,
            release: None,
        };
        let verdict = self.submit(&Entry::RequestPermit(request)).await?;
        match out.wait {
            true => self.wait_until_empty(id).await,
            false => self.print_permit(id, &verdict, false),
        }
    }

    /// Waits until all targets of a request are out and empty.
    async fn wait_until_empty(&mut self, id: u64) -> Result<()> {
        self.allow_one_answer();
        loop {
            let status = self.permit_status().await?;
            let permit = status.ledger.permits().find(|p| p.request.id == id);
            let Some(permit) = permit else {
                let text = format!("wish {id:x} was given up, or its targets have left the fleet");
                return Err(CallError::Rejected(text));
            };
            if let Some((fence, all)) = &permit.grant {
                if all.values().any(|phase| *phase == Phase::Returning) {
                    let halted = status.ledger.halted();
                    let halted = halted.map_or(String::new(), |(by, why)| format!(": {by} halts: {why}"));
                    return Err(CallError::Rejected(format!("permit {fence} is taken back{halted}")));
                }
                if all.values().all(|phase| matches!(phase, Phase::Drained(_))) {
                    return self.print_permit(id, &Verdict::Granted(*fence), true);
                }
            }
            if !self.next_poll().await {
                return Err(CallError::Rejected(format!(
                    "still waiting ({}); the wish stands: wait on with 'sandgap fleet outs', or give it up with \
                     'sandgap fleet withdraw {id:x}'",
                    waiting_for(&status, permit)
                )));
            }
        }
    }

    fn print_permit(&self, id: u64, verdict: &Verdict, empty: bool) -> Result<()> {
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
        let status = self.permit_status().await?;
        for target in targets(names) {
            let fence = match permit {
                Some(fence) => fence,
                None => own_permit(&status, &target)?,
            };
            self.submit(&Entry::Returned { target, fence, runs: runs.clone() }).await?;
        }
        if !self.json {
            println!("coming back; 'sandgap fleet outs' tells when they have been seen well");
        }
        Ok(())
    }

    pub(super) async fn withdraw(&mut self, wish: &str) -> Result<()> {
        let id = parse_wish(wish)?;
        self.submit_and_report(|by| Entry::Withdraw { id, by }).await
    }

    pub(super) async fn budget(&mut self, budget: BudgetArguments) -> Result<()> {
        if budget.clear || !budget.bounds.is_empty() {
            let (bounds, why) = (budget.bounds, budget.why);
            return self.submit_and_report(|by| Entry::Bounds { bounds, by, why }).await;
        }
        let status = self.permit_status().await?;
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
        let status = self.permit_status().await?;
        if self.json {
            println!("{}", to_json(&status));
            return Ok(());
        }
        if let Some((by, why)) = status.ledger.halted() {
            println!("HALTED by {by}: {why}");
        }
        status.ledger.bounds().iter().for_each(|b| println!("at most {b}"));
        for permit in status.ledger.permits() {
            let request = &permit.request;
            let what =
                permit.grant.as_ref().map_or("waits".to_owned(), |(fence, _)| format!("permit {fence}"));
            println!("wish {:x}  {what}  {}  {}", request.id, request.holder, request.why);
            match &permit.grant {
                None => println!("    {}", waiting_for(&status, permit)),
                Some((_, all)) => all.iter().for_each(|(target, phase)| {
                    let wait = status.waits.iter().find(|(t, _)| t == target).map_or("", |(_, w)| w);
                    println!("    {target:<20} {:<10} waits for {wait}", phase_name(*phase));
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

pub(super) fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Granted => "going out",
        Phase::Drained(_) => "empty",
        Phase::Returning => "returning",
    }
}

/// The caller's own permit under which a target is out.
fn own_permit(status: &Status, target: &Target) -> Result<u64> {
    let out = |p: &&Permit| p.grant.as_ref().is_some_and(|(_, all)| all.contains_key(target));
    let Some(permit) = status.ledger.permits().find(out) else {
        return Err(CallError::Rejected(format!("{target} is not out: 'sandgap fleet outs' lists what is")));
    };
    let (fence, holder) = (permit.grant.as_ref().map_or(0, |(fence, _)| *fence), &permit.request.holder);
    match *holder == caller_name() {
        true => Ok(fence),
        false => Err(CallError::Rejected(format!(
            "{target} is out under permit {fence} of {holder}: ask {holder}, or say '--permit {fence}'"
        ))),
    }
}

/// What a permit waits for, as text.
fn waiting_for(status: &Status, permit: &Permit) -> String {
    match &permit.grant {
        None => {
            let why = status.against.iter().find(|(id, _)| *id == permit.request.id);
            why.map_or("its turn".into(), |(_, why)| why.clone())
        }
        Some((_, all)) => {
            let waits = status.waits.iter().filter(|(t, _)| all.contains_key(t));
            let all: Vec<String> = waits.map(|(t, w)| format!("{t}: {w}")).collect();
            if all.is_empty() { "the voter that leads to say so".into() } else { all.join("; ") }
        }
    }
}

fn to_json(status: &Status) -> Value {
    let permit = |p: &Permit| {
        let target = |(t, phase): (&Target, &Phase)| {
            let wait = status.waits.iter().find(|(w, _)| w == t).map(|(_, w)| w.clone());
            json!({"target": t.to_string(), "phase": phase_name(*phase), "waits_for": wait})
        };
        let out: Vec<Value> = p.grant.iter().flat_map(|(_, all)| all.iter().map(target)).collect();
        let asked: Vec<String> = p.request.targets.iter().map(ToString::to_string).collect();
        json!({"wish": format!("{:x}", p.request.id), "holder": p.request.holder, "why": p.request.why,
            "permit": p.grant.as_ref().map(|(fence, _)| fence), "asked": asked, "out": out})
    };
    let all = status.ledger.targets().iter();
    let targets: Vec<Value> = all.map(|(t, k)| json!({"target": t.to_string(), "lost": k.lost})).collect();
    let permits: Vec<Value> = status.ledger.permits().map(permit).collect();
    let bounds: Vec<String> = status.ledger.bounds().iter().map(ToString::to_string).collect();
    json!({"halted": status.ledger.halted(), "bounds": bounds, "permits": permits, "targets": targets})
}
