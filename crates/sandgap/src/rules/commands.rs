//! The commands `sandgap fleet ...` for operators. A command talks to the voters over the fleet's own links, under a
//! temporary name, with the key from its settings file.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, Write as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use sandgap_agree::log::Saved;
use sandgap_agree::machine::{Proposal, Seat, Verdict, VersionState};
use sandgap_agree::messages::{Message, Status, VoterChange};
use sandgap_agree::store::{Opened, Store};
use sandgap_agree::voter::new_seat_number;
use sandgap_agree::{Rulebook, Version, contradicts};
use sandgap_fleet::link::{Incoming, Links};
use sandgap_rollout::Entry;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use super::book;
use super::runtime::RULES_CHANNEL;
use super::{outs, releases, riders};
use crate::config::{Config, Fleet};
use crate::{load, settings};

/// Timeout for one voter's answer; then the next voter is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between two status queries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of differing lines to print.
const MAX_DIFF_LINES: usize = 200;

/// Options of all fleet commands.
#[derive(Args)]
pub struct FleetArguments {
    /// The proxy's settings file; its fleet and voter tables name the voters to ask.
    #[arg(long, env = "NODE_CONFIG", global = true, default_value = "deploy/sandgap.toml")]
    settings: PathBuf,
    /// Prints JSON.
    #[arg(long, global = true)]
    json: bool,
    /// Seconds after which a call gives up.
    #[arg(long, global = true, default_value_t = 15)]
    patience: u64,
}

/// The fleet commands.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Creates this voter's store. Done on each voter, once in the life of a fleet.
    Found,
    /// Puts the rules of a settings file in force on all proxies, or on none.
    Publish {
        /// The file with classes, tenants, backends, limits and cold rules.
        file: PathBuf,
        /// Reason, for the history.
        #[arg(long, default_value = "")]
        why: String,
        /// The version that must be in force; defaults to the current one.
        #[arg(long)]
        parent: Option<Version>,
        /// Only prints what would change.
        #[arg(long)]
        dry_run: bool,
    },
    /// Puts the content of an old version in force under a new number.
    Rollback {
        /// The version to restore.
        version: Version,
    },
    /// Drains a backend on all proxies.
    Drain {
        /// Its name.
        backend: String,
    },
    /// Ends the drain of a backend on all proxies.
    Undrain {
        /// Its name.
        backend: String,
    },
    /// Prints the rules on which two versions contradict each other, and the lines that differ.
    Diff {
        /// The older version.
        old: Version,
        /// The newer version; defaults to the one in force.
        new: Option<Version>,
    },
    /// Prints a version in the format of a settings file.
    Show {
        /// The version; defaults to the one in force.
        version: Option<Version>,
    },
    /// Lists the kept versions and their outcome.
    History,
    /// Prints the state of each proxy: version, lease, refused requests and the reason.
    Status,
    /// Waits until a version or a later one is in force at every live proxy.
    Wait {
        /// The version.
        version: Version,
    },
    /// Takes targets out of service under a permit: backends by name, proxies as proxy:NAME.
    Out(outs::OutArguments),
    /// Reports that targets run again after the holder of a permit has finished with them.
    Back {
        /// The targets.
        #[arg(required = true)]
        targets: Vec<String>,
        /// The permit under which they are out, as 'out' printed it. With it, a late or repeated call does not return
        /// targets that are out under another permit by now. Required unless the permit is the caller's own.
        #[arg(long)]
        permit: Option<u64>,
        /// The version they run now; required if they were out for a release.
        #[arg(long, value_name = "LABEL")]
        runs: Option<String>,
    },
    /// Lists permits, the targets that are out, and what they wait for.
    Outs,
    /// Withdraws a permit, granted or waiting; its targets return to service.
    Withdraw {
        /// Its number, as printed by 'out' and 'outs'.
        wish: String,
    },
    /// Stops granting permits, and returns targets that are not yet empty.
    Halt {
        /// Reason.
        #[arg(long)]
        why: String,
    },
    /// Grants permits again.
    Resume,
    /// Declares that a silent proxy has ended for good.
    Forget {
        /// Its name.
        proxy: String,
    },
    /// Manages releases in waves: plan, begin, halt, roll back.
    Release {
        /// The command.
        #[command(subcommand)]
        how: releases::ReleaseCommand,
    },
    /// Shows or sets how many targets may be out at once.
    Budget(outs::BudgetArguments),
    /// Changes the set of voters.
    Voters {
        /// The command.
        #[command(subcommand)]
        how: VotersCommand,
    },
    /// Turns this voter's store into that of a fleet with one voter, after a majority of the voters is lost for good.
    LastResort {
        /// Does not ask for confirmation.
        #[arg(long)]
        i_know_that_the_others_never_come_back: bool,
    },
}

/// Changes to the set of voters.
#[derive(Subcommand)]
pub enum VotersCommand {
    /// Adds a voter.
    Add {
        /// Its name.
        name: String,
        /// Where it listens for the fleet.
        address: SocketAddr,
    },
    /// Removes a voter.
    Remove {
        /// Its name.
        name: String,
    },
    /// Replaces a voter by another.
    Replace {
        /// Name of the voter to remove.
        old: String,
        /// Name of the voter to add.
        name: String,
        /// Where it listens for the fleet.
        address: SocketAddr,
    },
}

/// Why a command failed; each variant has its exit code.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// The command or a file is invalid: exit code 2.
    #[error("{0}")]
    Invalid(String),
    /// The fleet refuses the change: exit code 1.
    #[error("{0}")]
    Rejected(String),
    /// Another change came first: exit code 3.
    #[error("{0}")]
    Conflict(String),
    /// No voter or no majority answers: exit code 4.
    #[error("{0}")]
    Unavailable(String),
}

impl CallError {
    fn code(&self) -> u8 {
        match self {
            CallError::Rejected(_) => 1,
            CallError::Invalid(_) => 2,
            CallError::Conflict(_) => 3,
            CallError::Unavailable(_) => 4,
        }
    }
}

pub(super) type Result<T> = std::result::Result<T, CallError>;

/// Runs a command. Exit codes: 0 success, 1 refused by the proxies, 2 invalid command or file, 3 another change came
/// first, 4 no voter or no majority answers.
pub fn run_command(arguments: &FleetArguments, call: FleetCommand) -> ExitCode {
    match execute(arguments, call) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            if arguments.json {
                println!("{}", json!({"error": e.to_string(), "code": e.code()}));
            } else {
                eprintln!("sandgap: {e}");
            }
            ExitCode::from(e.code())
        }
    }
}

fn execute(arguments: &FleetArguments, call: FleetCommand) -> Result<()> {
    let config = load::read(&arguments.settings).map_err(CallError::Invalid)?;
    let path = arguments.settings.display();
    let fleet = config
        .fleet
        .clone()
        .ok_or_else(|| CallError::Invalid(format!("{path}: [fleet] listen is not set")))?;
    match call {
        FleetCommand::Found => return create_store(&fleet),
        FleetCommand::LastResort { i_know_that_the_others_never_come_back: sure } => {
            return last_resort(&fleet, sure);
        }
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| CallError::Invalid(e.to_string()))?;
    LocalSet::new().block_on(&runtime, async {
        let patience = Duration::from_secs(arguments.patience);
        Caller::new(fleet, arguments.json, patience).execute(call, &config).await
    })
}

fn voter_store_path(fleet: &Fleet) -> Result<&Path> {
    let wanted = "this proxy is not a voter with a store: name it in a [[voter]], and set [fleet] store";
    fleet.store.as_deref().filter(|_| fleet.is_voter()).ok_or_else(|| CallError::Invalid(wanted.into()))
}

fn create_store(fleet: &Fleet) -> Result<()> {
    let path = voter_store_path(fleet)?;
    let seats: BTreeMap<u64, Seat> = fleet
        .voters
        .iter()
        .map(|(name, address)| (new_seat_number(name, 0), Seat { name: name.clone(), address: *address }))
        .collect();
    let saved = Saved::initial(new_seat_number(&fleet.name, 0), &seats);
    Store::create(path, &saved).map_err(|e| CallError::Invalid(e.to_string()))?;
    let names: Vec<&str> = fleet.voters.iter().map(|(name, _)| name.as_str()).collect();
    println!("{}: created; the voters are {}", path.display(), names.join(", "));
    Ok(())
}

fn last_resort(fleet: &Fleet, sure: bool) -> Result<()> {
    let path = voter_store_path(fleet)?;
    let saved = match Store::open(path) {
        Opened::Intact(_, saved) => saved,
        Opened::Missing => return Err(CallError::Invalid(format!("{}: there is no store", path.display()))),
        Opened::Damaged(why) | Opened::Unavailable(why) => {
            return Err(CallError::Invalid(format!("{}: {why}", path.display())));
        }
    };
    if !sure {
        let confirmation = format!("only {} is left", fleet.name);
        println!(
            "Everything that the other voters agreed on and this one has not received is lost. If one of them ever\n\
             returns with its disk, there are two fleets, and their proxies may contradict each other for an unlimited\n\
             time. Stop all other voters and move their stores away first. To continue, type: {confirmation}"
        );
        let _ = std::io::stdout().flush();
        let mut line = String::new();
        let _ = std::io::stdin().lock().read_line(&mut line);
        if line.trim() != confirmation {
            return Err(CallError::Rejected("nothing was changed".into()));
        }
    }
    let recovered = saved.recover_as_sole_voter(riders()).map_err(|e| CallError::Invalid(e.to_string()))?;
    let aside = Store::replace(path, &recovered).map_err(|e| CallError::Invalid(e.to_string()))?;
    println!(
        "{}: now the store of a fleet with one voter; the old store is {}. Start this proxy, then add other voters \
         with 'sandgap fleet voters add'; they start without a store",
        path.display(),
        aside.display()
    );
    Ok(())
}

/// Connection of a command to the voters.
pub(super) struct Caller {
    fleet: Fleet,
    pub(super) json: bool,
    /// When waiting commands stop polling.
    patience_end: Instant,
    /// When queries are given up.
    pub(super) query_end: Instant,
    links: Rc<Links>,
    incoming: mpsc::Receiver<Incoming>,
    next: u64,
}

impl Caller {
    fn new(fleet: Fleet, json: bool, patience: Duration) -> Self {
        let (sender, incoming) = mpsc::channel(64);
        let seed = super::now().as_nanos() as u64 ^ u64::from(std::process::id()) << 32;
        let links = Links::new(fleet.key.clone(), format!("hand-{seed:x}"), sender);
        let end = Instant::now() + patience;
        Caller { fleet, json, patience_end: end, query_end: end, links, incoming, next: seed }
    }

    async fn execute(mut self, call: FleetCommand, config: &Config) -> Result<()> {
        match call {
            FleetCommand::Publish { file, why, parent, dry_run } => {
                self.publish(&file, why, parent, dry_run).await
            }
            FleetCommand::Rollback { version } => {
                let book = self.book(version).await?;
                self.propose(&book, format!("rollback to {version}"), None).await
            }
            FleetCommand::Drain { backend } => self.drain(&backend, true).await,
            FleetCommand::Undrain { backend } => self.drain(&backend, false).await,
            FleetCommand::Diff { old, new } => self.diff(old, new).await,
            FleetCommand::Show { version } => {
                let version = self.version_or_current(version).await?;
                print!("{}", book::to_toml(&self.book(version).await?));
                Ok(())
            }
            FleetCommand::History => self.history().await,
            FleetCommand::Status => self.status(config).await,
            FleetCommand::Wait { version } => self.wait(version).await,
            FleetCommand::Voters { how } => self.voters(how).await,
            FleetCommand::Out(out) => self.request_out(out).await,
            FleetCommand::Back { targets, permit, runs } => self.bring_back(&targets, permit, runs).await,
            FleetCommand::Release { how } => self.release(how).await,
            FleetCommand::Outs => self.outs().await,
            FleetCommand::Withdraw { wish } => self.withdraw(&wish).await,
            FleetCommand::Halt { why } => self.submit_and_report(|by| Entry::Halt { by, why }).await,
            FleetCommand::Resume => self.submit_and_report(|by| Entry::Resume { by }).await,
            FleetCommand::Forget { proxy } => self.submit_and_report(|by| Entry::Forget { proxy, by }).await,
            FleetCommand::Budget(budget) => self.budget(budget).await,
            FleetCommand::Found | FleetCommand::LastResort { .. } => Ok(()),
        }
    }

    /// Asks the voters in turn, `first` before the others, until `take` accepts an answer.
    pub(super) async fn ask<T>(
        &mut self, first: Option<&str>, message: Message, mut take: impl FnMut(Message) -> Option<T>,
    ) -> Result<T> {
        let mut voters = self.fleet.voters.clone();
        voters.sort_by_key(|(name, _)| Some(name.as_str()) != first);
        while Instant::now() < self.query_end {
            for (name, address) in &voters {
                let address = self.fleet.dial_addresses.get(name).copied().unwrap_or(*address);
                self.links.send(name, Some(address), RULES_CHANNEL, message.encode());
                let until = Instant::now() + ANSWER_TIMEOUT;
                while let Some(left) = until.checked_duration_since(Instant::now()) {
                    let Ok(Some(incoming)) = timeout(left, self.incoming.recv()).await else { break };
                    if let Some(taken) = Message::decode(&incoming.body).and_then(&mut take) {
                        return Ok(taken);
                    }
                }
            }
        }
        let names: Vec<&str> = voters.iter().map(|(name, _)| name.as_str()).collect();
        Err(CallError::Unavailable(format!("no voter gives a usable answer: {}", names.join(", "))))
    }

    /// Sleeps until the next poll of a waiting command; false when its patience ends before. A poll that begins has the
    /// time for an answer, so that the end of the patience is not taken for a lost voter.
    pub(super) async fn next_poll(&mut self) -> bool {
        if Instant::now() + POLL_INTERVAL >= self.patience_end {
            return false;
        }
        sleep(POLL_INTERVAL).await;
        self.allow_one_answer();
        true
    }

    /// Lets the next queries go on for the time of one answer, also where the patience ends before.
    pub(super) fn allow_one_answer(&mut self) {
        self.query_end = self.query_end.max(Instant::now() + ANSWER_TIMEOUT);
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    async fn any_status(&mut self, first: Option<&str>) -> Result<Status> {
        let number = self.next_number();
        let take = move |message| match message {
            Message::Status(n, status) if n == number => Some(status),
            _ => None,
        };
        let status = self.ask(first, Message::Query(number), take).await?;
        // The file may be older than the set of voters, so it may not name the leader.
        for voter in &status.voters {
            if !self.fleet.voters.iter().any(|(name, _)| *name == voter.0) {
                self.fleet.voters.push(voter.clone());
            }
        }
        Ok(status)
    }

    /// The leader's status; without a leader nothing can change.
    pub(super) async fn leader(&mut self) -> Result<Status> {
        let mut first: Option<String> = None;
        while Instant::now() < self.query_end {
            let status = self.any_status(first.as_deref()).await?;
            if status.leader.as_deref() == Some(status.voter.as_str()) {
                return Ok(status);
            }
            first = status.leader;
            if first.is_none() {
                sleep(POLL_INTERVAL).await;
            }
        }
        Err(CallError::Unavailable(
            "the voters that answer have no leader: a majority of them is lost or cut off".into(),
        ))
    }

    async fn version_or_current(&mut self, version: Option<Version>) -> Result<Version> {
        let version = match version {
            Some(version) => version,
            None => self.leader().await?.standing.version,
        };
        if version == 0 { Err(CallError::Rejected("no version is in force yet".into())) } else { Ok(version) }
    }

    async fn book(&mut self, version: Version) -> Result<Rulebook> {
        let status = self.leader().await?;
        if !status.history.iter().any(|line| line.version == version) {
            return Err(CallError::Invalid(format!(
                "version {version} is not kept; see 'sandgap fleet history'"
            )));
        }
        let take = move |message| match message {
            Message::Book(v, bytes) if v == version => Some(bytes),
            _ => None,
        };
        let bytes = self.ask(Some(&status.voter), Message::Fetch(version), take).await?;
        Rulebook::decode(&bytes).map_err(|e| CallError::Invalid(e.to_string()))
    }

    async fn publish(
        &mut self, file: &Path, why: String, parent: Option<Version>, dry_run: bool,
    ) -> Result<()> {
        let join_problems = |all: Vec<settings::Problem>| {
            let lines: Vec<String> = all.iter().map(|p| format!("{}: {p}", file.display())).collect();
            CallError::Invalid(lines.join("\n"))
        };
        let config = settings::read(file).map_err(join_problems)?;
        let mut new = book::from_config(&config).map_err(CallError::Invalid)?;
        let status = self.leader().await?;
        let old = match status.standing.version {
            0 => None,
            version => Some(self.book(version).await?),
        };
        // Manual drains are in no file: they last until they are ended manually.
        new.drained = old.as_ref().map(|o| o.drained.clone()).unwrap_or_default();
        if dry_run {
            match &old {
                Some(old) => self.print_difference(old, &new),
                None => println!("this is the first version: none is in force yet"),
            }
            return Ok(());
        }
        self.propose(&new, why, parent).await
    }

    async fn drain(&mut self, backend: &str, drained: bool) -> Result<()> {
        let version = self.version_or_current(None).await?;
        let mut book = self.book(version).await?;
        let listed = book.backends.as_ref().is_none_or(|all| all.iter().any(|b| b.name == backend));
        if drained && !listed {
            return Err(CallError::Invalid(format!("version {version} lists no backend '{backend}'")));
        }
        let changed =
            if drained { book.drained.insert(backend.to_owned()) } else { book.drained.remove(backend) };
        if !changed {
            println!("{backend} is {} already", if drained { "drained" } else { "in use" });
            return Ok(());
        }
        if drained && book.backends.is_none() {
            eprintln!(
                "sandgap: the backends come from discovery, so the name is not checked: {backend} is drained wherever a \
                 list has it, now or later"
            );
        }
        let why = format!("{} {backend}", if drained { "drain" } else { "undrain" });
        self.propose(&book, why, Some(version)).await
    }

    /// Proposes a rulebook and waits for its outcome.
    async fn propose(&mut self, book: &Rulebook, why: String, parent: Option<Version>) -> Result<()> {
        let book = book.encode().map_err(|e| CallError::Invalid(e.to_string()))?;
        let leader = self.leader().await?;
        let parent = parent.unwrap_or(leader.standing.version);
        let id = self.next_number();
        let message = Message::Publish(Proposal { id, parent, book, by: caller_name(), why });
        let take = move |message| match message {
            Message::Published(n, verdict) if n == id => Some(verdict),
            _ => None,
        };
        let version = match self.ask(Some(&leader.voter), message, take).await? {
            Verdict::Pending(version) | Verdict::Duplicate(version) => version,
            Verdict::StaleParent { standing } => {
                let text =
                    format!("version {standing} is in force, not {parent}: review it and publish again");
                return Err(CallError::Conflict(text));
            }
            Verdict::OtherPending(other) => {
                return Err(CallError::Conflict(format!(
                    "version {other} is under way: wait for it and publish again"
                )));
            }
            Verdict::Unreadable(why) => return Err(CallError::Invalid(why)),
        };
        loop {
            let status = self.leader().await?;
            let fate = status.history.iter().find(|l| l.version == version).map(|l| l.state.clone());
            match fate {
                Some(VersionState::InForce) => {
                    if self.json {
                        println!("{}", json!({"version": version, "in_force": true}));
                    } else {
                        println!("version {version} is in force");
                    }
                    return Ok(());
                }
                Some(VersionState::Abandoned(why)) => {
                    let reasons: Vec<String> = why.iter().map(|(who, why)| format!("{who}: {why}")).collect();
                    let text = format!("version {version} was not switched to:\n  {}", reasons.join("\n  "));
                    return Err(CallError::Rejected(text));
                }
                Some(VersionState::Pending) | None if self.next_poll().await => {}
                Some(VersionState::Pending) | None => {
                    return Err(CallError::Unavailable(format!(
                        "version {version} is put forward, but not in force yet: 'sandgap fleet history' tells its fate"
                    )));
                }
            }
        }
    }

    async fn diff(&mut self, old: Version, new: Option<Version>) -> Result<()> {
        let new = self.version_or_current(new).await?;
        let (old, new) = (self.book(old).await?, self.book(new).await?);
        self.print_difference(&old, &new);
        Ok(())
    }

    fn print_difference(&self, old: &Rulebook, new: &Rulebook) {
        let against = contradicts(old, new);
        let (a, b) = (book::to_toml(old), book::to_toml(new));
        let lines = line_difference(&a, &b);
        if self.json {
            let rules: Vec<_> =
                against.iter().map(|c| json!({"rule": c.rule, "old": c.old, "new": c.new})).collect();
            println!("{}", json!({"contradicts": rules, "lines": lines}));
            return;
        }
        match against.len() {
            0 => println!("they contradict each other on nothing"),
            _ => against.iter().for_each(|c| println!("contradicts  {c}")),
        }
        lines.iter().for_each(|line| println!("{line}"));
    }

    async fn history(&mut self) -> Result<()> {
        let status = self.leader().await?;
        for line in &status.history {
            let fate = match &line.state {
                VersionState::Pending => "put forward".to_owned(),
                VersionState::InForce if line.version == status.standing.version => "in force".to_owned(),
                VersionState::InForce => "was in force".to_owned(),
                VersionState::Abandoned(why) => {
                    let who: Vec<&str> = why.iter().map(|(who, _)| who.as_str()).collect();
                    format!("abandoned for {}", who.join(", "))
                }
            };
            if self.json {
                let name = line.digest.to_string();
                let all = json!({"version": line.version, "content": name, "fate": fate, "by": line.by,
                    "why": line.why, "contradicts": line.contradicts});
                println!("{all}");
            } else {
                let mark = if line.contradicts { "contradicts" } else { "" };
                println!(
                    "{:>6}  {}  {fate:<24} {mark:<12} {} {}",
                    line.version, line.digest, line.by, line.why
                );
            }
        }
        Ok(())
    }

    async fn status(&mut self, config: &Config) -> Result<()> {
        let status = match self.leader().await {
            Ok(status) => status,
            Err(e) => {
                // Without a leader, one voter's own status is better than none.
                self.query_end = Instant::now() + 2 * ANSWER_TIMEOUT;
                let status = self.any_status(None).await.map_err(|_| e)?;
                eprintln!(
                    "sandgap: no leader: nothing can change; what follows is {}'s word alone",
                    status.voter
                );
                status
            }
        };
        if self.json {
            println!("{}", serde_json::to_string(&status).unwrap_or_default());
            return Ok(());
        }
        let s = &status.standing;
        let bound = config.fleet.as_ref().map_or(Duration::ZERO, |f| f.timing.lease_bound.bound);
        println!("version {} ({}) in force, T {} ms", s.version, s.digest, bound.as_millis());
        if let Some((version, digest)) = &s.pending {
            println!(
                "version {version} ({digest}) is put forward{}",
                if s.closed { ", the old one closed" } else { "" }
            );
        }
        let names: Vec<&str> = status.voters.iter().map(|(name, _)| name.as_str()).collect();
        println!("voters {}; leader {}", names.join(", "), status.leader.as_deref().unwrap_or("none"));
        println!("{:<20} {:>8} {:>10} {:>8} {:>8}  why", "proxy", "version", "lease ms", "heard", "refused");
        for m in &status.members {
            let why = match &m.report.looked {
                Some((version, Some(why))) => format!("{version}: {why}"),
                _ => String::new(),
            };
            let ago = format!("{} ms", m.ago_ms);
            let (acting, lease, refused) = (m.report.acting, m.report.lease_ms, m.report.refused);
            println!("{:<20} {acting:>8} {lease:>10} {ago:>8} {refused:>8}  {why}", m.name);
        }
        Ok(())
    }

    async fn wait(&mut self, version: Version) -> Result<()> {
        loop {
            let status = self.leader().await?;
            let live = self.fleet.timing.lease_horizon().as_millis() as u64;
            let behind: Vec<&str> = status
                .members
                .iter()
                .filter(|m| m.ago_ms <= live && m.report.acting < version)
                .map(|m| m.name.as_str())
                .collect();
            if status.standing.version >= version && behind.is_empty() && !status.members.is_empty() {
                println!("every live proxy acts on version {version} or a later one");
                return Ok(());
            }
            if !self.next_poll().await {
                let version = status.standing.version;
                let text = match status.members.is_empty() {
                    true => format!(
                        "version {version} is in force; the leader is new and has not heard of all proxies"
                    ),
                    false => format!("version {version} is in force; behind: {}", behind.join(", ")),
                };
                return Err(CallError::Rejected(text));
            }
        }
    }

    async fn voters(&mut self, how: VotersCommand) -> Result<()> {
        match how {
            VotersCommand::Add { name, address } => self.change_voters(VoterChange::Add(name, address)).await,
            VotersCommand::Remove { name } => self.change_voters(VoterChange::Remove(name)).await,
            VotersCommand::Replace { old, name, address } => {
                // The new voter is added first, so that the number of voters never drops.
                self.change_voters(VoterChange::Add(name, address)).await?;
                self.change_voters(VoterChange::Remove(old)).await
            }
        }
    }

    /// Requests a change of the voters until the leader reports it as done.
    async fn change_voters(&mut self, change: VoterChange) -> Result<()> {
        let is_done = |status: &Status| match &change {
            VoterChange::Add(name, _) | VoterChange::Rebuild { name, .. } => {
                status.voters.iter().any(|(v, _)| v == name)
            }
            VoterChange::Remove(name) => status.voters.iter().all(|(v, _)| v != name),
        };
        loop {
            let status = self.leader().await?;
            if is_done(&status) {
                let names: Vec<&str> = status.voters.iter().map(|(name, _)| name.as_str()).collect();
                println!("the voters are {}", names.join(", "));
                return Ok(());
            }
            let number = self.next_number();
            let take = move |message| match message {
                Message::VotersChanged(n, why) if n == number => Some(why),
                _ => None,
            };
            let why =
                self.ask(Some(&status.voter), Message::ChangeVoters(number, change.clone()), take).await?;
            if !self.next_poll().await {
                let late = || "the change was not agreed in time".to_owned();
                return Err(CallError::Rejected(if why.is_empty() { late() } else { why }));
            }
        }
    }
}

/// Name of the calling user.
pub(super) fn caller_name() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".into())
}

/// The lines that differ between two texts, in order.
fn line_difference(old: &str, new: &str) -> Vec<String> {
    let diff = similar::TextDiff::from_lines(old, new);
    let mut lines: Vec<String> = Vec::new();
    for change in diff.iter_all_changes().filter(|c| c.tag() != similar::ChangeTag::Equal) {
        let mut line = String::new();
        let _ = write!(line, "{}{}", change.tag(), change.value().trim_end());
        lines.push(line);
    }
    if lines.len() > MAX_DIFF_LINES {
        let more = lines.len() - MAX_DIFF_LINES;
        lines.truncate(MAX_DIFF_LINES);
        lines.push(format!("... and {more} lines more"));
    }
    lines
}
