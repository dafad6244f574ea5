//! What staff call: `sandgap fleet ...`. A call speaks to the voters over the fleet's own links, under a name of its
//! own, with the key of the settings file that it is given.

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
use sandgap_agree::machine::{Fate, Proposal, Seat, Verdict};
use sandgap_agree::store::{Opened, Store};
use sandgap_agree::voter::fresh_seat;
use sandgap_agree::words::{Seating, Status, Word};
use sandgap_agree::{Rulebook, Version, contradicts};
use sandgap_fleet::link::{Incoming, Links};
use sandgap_rollout::Entry;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use super::book;
use super::runtime::RULES;
use super::{outs, releases, riders};
use crate::config::{Config, Fleet};
use crate::{load, settings};

/// One voter's answer is waited for so long before another is asked.
const ANSWER: Duration = Duration::from_millis(700);
/// Between two looks at what has become of a version.
pub(super) const LOOK: Duration = Duration::from_millis(50);
/// Lines that two rulebooks differ by, at most.
const LINES: usize = 200;

/// Which settings tell who the fleet is.
#[derive(Args)]
pub struct Whose {
    /// The proxy's settings file: its tables fleet and voter tell whom to ask.
    #[arg(long, env = "NODE_CONFIG", global = true, default_value = "deploy/sandgap.toml")]
    settings: PathBuf,
    /// Prints JSON.
    #[arg(long, global = true)]
    json: bool,
    /// Seconds after which a call gives up.
    #[arg(long, global = true, default_value_t = 15)]
    patience: u64,
}

/// Calls by hand.
#[derive(Subcommand)]
pub enum Call {
    /// Makes this voter's store, once in the life of a fleet, on each voter.
    Found,
    /// Puts the rules of a settings file in force on all proxies, or on none.
    Publish {
        /// The file: its classes, tenants, backends, limits and cold rules.
        file: PathBuf,
        /// Why, for the history.
        #[arg(long, default_value = "")]
        why: String,
        /// The version that must be in force; the one that is, if left out.
        #[arg(long)]
        parent: Option<Version>,
        /// Only tells what would change.
        #[arg(long)]
        dry_run: bool,
    },
    /// Puts an old version's content in force under a new number.
    Rollback {
        /// The old version.
        version: Version,
    },
    /// Drains a backend on all proxies.
    Drain {
        /// Its name.
        backend: String,
    },
    /// Takes it into use again.
    Undrain {
        /// Its name.
        backend: String,
    },
    /// Tells on which rules two versions contradict each other, and which lines differ.
    Diff {
        /// The older.
        old: Version,
        /// The newer; the one in force, if left out.
        new: Option<Version>,
    },
    /// Prints a version as a settings file has it.
    Show {
        /// The version; the one in force, if left out.
        version: Option<Version>,
    },
    /// Lists the versions that are kept, with what became of them.
    History,
    /// Tells how each proxy stands: version, lease, what it refused and why.
    Status,
    /// Waits until every live proxy acts on a version, or a later one.
    Wait {
        /// The version.
        version: Version,
    },
    /// Takes targets out under a permit: backends by name, proxies as proxy:NAME.
    Out(outs::Out),
    /// Says that targets run again, after a permit's holder is done with them.
    Back {
        /// Which.
        #[arg(required = true)]
        targets: Vec<String>,
        /// The permit under which they are out, as 'out' told it: a call that comes late or twice then brings nothing
        /// back that is another's by now. Needed where the permit is not the caller's own.
        #[arg(long)]
        permit: Option<u64>,
        /// What they run now; has to be said where they were out for a release.
        #[arg(long, value_name = "LABEL")]
        runs: Option<String>,
    },
    /// Lists permits, what is out, and what it waits for.
    Outs,
    /// Gives a permit up, whether it waits or is out; what is out comes back.
    Withdraw {
        /// Its number, as 'out' and 'outs' tell it.
        wish: String,
    },
    /// Lets nothing go out from here on, and brings back what has not been emptied.
    Halt {
        /// Why.
        #[arg(long)]
        why: String,
    },
    /// Lets permits be granted again.
    Resume,
    /// Says that a proxy that is silent has ended for good.
    Forget {
        /// Its name.
        proxy: String,
    },
    /// Releases in waves: planned, begun, halted, taken back.
    Release {
        /// How.
        #[command(subcommand)]
        how: releases::How,
    },
    /// Tells or sets how many may be out at once.
    Budget(outs::Budget),
    /// Changes who votes.
    Voters {
        /// How.
        #[command(subcommand)]
        how: Voters,
    },
    /// After a majority of the voters is lost for good: makes this voter's store that of a fleet of one.
    LastResort {
        /// Does not ask.
        #[arg(long)]
        i_know_that_the_others_never_come_back: bool,
    },
}

/// Changes of the voters.
#[derive(Subcommand)]
pub enum Voters {
    /// One more.
    Add {
        /// Its name.
        name: String,
        /// Where it listens for the fleet.
        address: SocketAddr,
    },
    /// One less.
    Remove {
        /// Its name.
        name: String,
    },
    /// One in the place of another.
    Replace {
        /// Who goes.
        old: String,
        /// Who comes.
        name: String,
        /// Where it listens for the fleet.
        address: SocketAddr,
    },
}

/// How a call came out, apart from well.
#[derive(Debug, thiserror::Error)]
pub(super) enum Failed {
    /// Exit code 2.
    #[error("{0}")]
    Wrong(String),
    /// Exit code 1.
    #[error("{0}")]
    Refused(String),
    /// Exit code 3.
    #[error("{0}")]
    Overtaken(String),
    /// Exit code 4.
    #[error("{0}")]
    Nobody(String),
}

impl Failed {
    fn code(&self) -> u8 {
        match self {
            Failed::Refused(_) => 1,
            Failed::Wrong(_) => 2,
            Failed::Overtaken(_) => 3,
            Failed::Nobody(_) => 4,
        }
    }
}

pub(super) type Result<T> = std::result::Result<T, Failed>;

/// Carries a call out. Exit codes: 0 done, 1 the proxies refuse it, 2 the call or a file is wrong, 3 somebody else was
/// first, 4 no voter answers or no majority does.
pub fn call(whose: &Whose, call: Call) -> ExitCode {
    match act(whose, call) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            if whose.json {
                println!("{}", json!({"error": e.to_string(), "code": e.code()}));
            } else {
                eprintln!("sandgap: {e}");
            }
            ExitCode::from(e.code())
        }
    }
}

fn act(whose: &Whose, call: Call) -> Result<()> {
    let config = load::read(&whose.settings).map_err(Failed::Wrong)?;
    let path = whose.settings.display();
    let fleet =
        config.fleet.clone().ok_or_else(|| Failed::Wrong(format!("{path}: [fleet] listen is not set")))?;
    match call {
        Call::Found => return found(&fleet),
        Call::LastResort { i_know_that_the_others_never_come_back: sure } => {
            return last_resort(&fleet, sure);
        }
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Failed::Wrong(e.to_string()))?;
    LocalSet::new().block_on(&runtime, async {
        let patience = Duration::from_secs(whose.patience);
        Caller::new(fleet, whose.json, patience).act(call, &config).await
    })
}

fn store(fleet: &Fleet) -> Result<&Path> {
    let wanted = "this proxy is no voter with a store: name it in a [[voter]], and set [fleet] store";
    fleet.store.as_deref().filter(|_| fleet.votes()).ok_or_else(|| Failed::Wrong(wanted.into()))
}

fn found(fleet: &Fleet) -> Result<()> {
    let path = store(fleet)?;
    let seats: BTreeMap<u64, Seat> = fleet
        .voters
        .iter()
        .map(|(name, address)| (fresh_seat(name, 0), Seat { name: name.clone(), address: *address }))
        .collect();
    let saved = Saved::founding(fresh_seat(&fleet.name, 0), &seats);
    Store::create(path, &saved).map_err(|e| Failed::Wrong(e.to_string()))?;
    let names: Vec<&str> = fleet.voters.iter().map(|(name, _)| name.as_str()).collect();
    println!("{}: made; the voters are {}", path.display(), names.join(", "));
    Ok(())
}

fn last_resort(fleet: &Fleet, sure: bool) -> Result<()> {
    let path = store(fleet)?;
    let saved = match Store::open(path) {
        Opened::Sound(_, saved) => saved,
        Opened::Missing => return Err(Failed::Wrong(format!("{}: there is no store", path.display()))),
        Opened::Damaged(why) | Opened::Unavailable(why) => {
            return Err(Failed::Wrong(format!("{}: {why}", path.display())));
        }
    };
    if !sure {
        let word = format!("only {} is left", fleet.name);
        println!(
            "Whatever the other voters agreed on that this one has not heard of is forgotten. If one of them ever comes\n\
             back with its disk, there are two fleets, and their proxies may contradict each other without end. Stop\n\
             all other voters and move their stores away first. To go on, type: {word}"
        );
        let _ = std::io::stdout().flush();
        let mut line = String::new();
        let _ = std::io::stdin().lock().read_line(&mut line);
        if line.trim() != word {
            return Err(Failed::Refused("nothing was changed".into()));
        }
    }
    let alone = saved.alone(riders()).map_err(|e| Failed::Wrong(e.to_string()))?;
    let aside = Store::replace(path, &alone).map_err(|e| Failed::Wrong(e.to_string()))?;
    println!(
        "{}: the store of a fleet of one; the old one is {}. Start this proxy, then 'sandgap fleet voters add' others, \
         which begin without a store",
        path.display(),
        aside.display()
    );
    Ok(())
}

/// Speaks to the voters.
pub(super) struct Caller {
    fleet: Fleet,
    pub(super) json: bool,
    pub(super) end: Instant,
    links: Rc<Links>,
    incoming: mpsc::Receiver<Incoming>,
    next: u64,
}

impl Caller {
    fn new(fleet: Fleet, json: bool, patience: Duration) -> Self {
        let (sender, incoming) = mpsc::channel(64);
        let chance = super::now().as_nanos() as u64 ^ u64::from(std::process::id()) << 32;
        let links = Links::new(fleet.key.clone(), format!("hand-{chance:x}"), sender);
        Caller { fleet, json, end: Instant::now() + patience, links, incoming, next: chance }
    }

    async fn act(mut self, call: Call, config: &Config) -> Result<()> {
        match call {
            Call::Publish { file, why, parent, dry_run } => self.publish(&file, why, parent, dry_run).await,
            Call::Rollback { version } => {
                let book = self.book(version).await?;
                self.put_forward(&book, format!("rollback to {version}"), None).await
            }
            Call::Drain { backend } => self.drain(&backend, true).await,
            Call::Undrain { backend } => self.drain(&backend, false).await,
            Call::Diff { old, new } => self.diff(old, new).await,
            Call::Show { version } => {
                let version = self.or_standing(version).await?;
                print!("{}", book::text(&self.book(version).await?));
                Ok(())
            }
            Call::History => self.history().await,
            Call::Status => self.status(config).await,
            Call::Wait { version } => self.wait(version).await,
            Call::Voters { how } => self.voters(how).await,
            Call::Out(out) => self.take_out(out).await,
            Call::Back { targets, permit, runs } => self.bring_back(&targets, permit, runs).await,
            Call::Release { how } => self.release(how).await,
            Call::Outs => self.outs().await,
            Call::Withdraw { wish } => self.withdraw(&wish).await,
            Call::Halt { why } => self.do_by_hand(|by| Entry::Halt { by, why }).await,
            Call::Resume => self.do_by_hand(|by| Entry::Resume { by }).await,
            Call::Forget { proxy } => self.do_by_hand(|by| Entry::Forget { proxy, by }).await,
            Call::Budget(budget) => self.budget(budget).await,
            Call::Found | Call::LastResort { .. } => Ok(()),
        }
    }

    /// Asks the voters in turn, `first` before the others, until one's answer is taken.
    pub(super) async fn ask<T>(
        &mut self, first: Option<&str>, word: Word, mut take: impl FnMut(Word) -> Option<T>,
    ) -> Result<T> {
        let mut voters = self.fleet.voters.clone();
        voters.sort_by_key(|(name, _)| Some(name.as_str()) != first);
        while Instant::now() < self.end {
            for (name, address) in &voters {
                let address = self.fleet.ways.get(name).copied().unwrap_or(*address);
                self.links.send(name, Some(address), RULES, word.encode());
                let until = Instant::now() + ANSWER;
                while let Some(left) = until.checked_duration_since(Instant::now()) {
                    let Ok(Some(heard)) = timeout(left, self.incoming.recv()).await else { break };
                    if let Some(taken) = Word::decode(&heard.body).and_then(&mut take) {
                        return Ok(taken);
                    }
                }
            }
        }
        let names: Vec<&str> = voters.iter().map(|(name, _)| name.as_str()).collect();
        Err(Failed::Nobody(format!("no voter answers as it should: {}", names.join(", "))))
    }

    pub(super) fn number(&mut self) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    async fn one_status(&mut self, first: Option<&str>) -> Result<Status> {
        let number = self.number();
        let take = move |word| match word {
            Word::Status(n, status) if n == number => Some(status),
            _ => None,
        };
        let status = self.ask(first, Word::Query(number), take).await?;
        // The file may be older than the voters: the one that leads may not be named in it.
        for voter in &status.voters {
            if !self.fleet.voters.iter().any(|(name, _)| *name == voter.0) {
                self.fleet.voters.push(voter.clone());
            }
        }
        Ok(status)
    }

    /// The leader's word, if there is one; without a leader nothing can change.
    pub(super) async fn leader(&mut self) -> Result<Status> {
        let mut first: Option<String> = None;
        while Instant::now() < self.end {
            let status = self.one_status(first.as_deref()).await?;
            if status.leader.as_deref() == Some(status.voter.as_str()) {
                return Ok(status);
            }
            first = status.leader;
            if first.is_none() {
                sleep(LOOK).await;
            }
        }
        Err(Failed::Nobody(
            "the voters that answer have no leader: a majority of them is lost or cut off".into(),
        ))
    }

    async fn or_standing(&mut self, version: Option<Version>) -> Result<Version> {
        let version = match version {
            Some(version) => version,
            None => self.leader().await?.standing.version,
        };
        if version == 0 { Err(Failed::Refused("no version is in force yet".into())) } else { Ok(version) }
    }

    async fn book(&mut self, version: Version) -> Result<Rulebook> {
        let status = self.leader().await?;
        if !status.history.iter().any(|line| line.version == version) {
            return Err(Failed::Wrong(format!("version {version} is not kept; see 'sandgap fleet history'")));
        }
        let take = move |word| match word {
            Word::Book(v, bytes) if v == version => Some(bytes),
            _ => None,
        };
        let bytes = self.ask(Some(&status.voter), Word::Fetch(version), take).await?;
        Rulebook::decode(&bytes).map_err(|e| Failed::Wrong(e.to_string()))
    }

    async fn publish(
        &mut self, file: &Path, why: String, parent: Option<Version>, dry_run: bool,
    ) -> Result<()> {
        let told = |all: Vec<settings::Problem>| {
            let lines: Vec<String> = all.iter().map(|p| format!("{}: {p}", file.display())).collect();
            Failed::Wrong(lines.join("\n"))
        };
        let config = settings::read(file).map_err(told)?;
        let mut new = book::of(&config).map_err(Failed::Wrong)?;
        let status = self.leader().await?;
        let old = match status.standing.version {
            0 => None,
            version => Some(self.book(version).await?),
        };
        // Drains by hand stand in no file: they last until they are taken back by hand.
        new.drained = old.as_ref().map(|o| o.drained.clone()).unwrap_or_default();
        if dry_run {
            match &old {
                Some(old) => self.tell_difference(old, &new),
                None => println!("the first version: nothing is in force yet"),
            }
            return Ok(());
        }
        self.put_forward(&new, why, parent).await
    }

    async fn drain(&mut self, backend: &str, drained: bool) -> Result<()> {
        let version = self.or_standing(None).await?;
        let mut book = self.book(version).await?;
        let listed = book.backends.as_ref().is_none_or(|all| all.iter().any(|b| b.name == backend));
        if drained && !listed {
            return Err(Failed::Wrong(format!("version {version} lists no backend '{backend}'")));
        }
        let changed =
            if drained { book.drained.insert(backend.to_owned()) } else { book.drained.remove(backend) };
        if !changed {
            println!("{backend} is {} already", if drained { "drained" } else { "in use" });
            return Ok(());
        }
        let why = format!("{} {backend}", if drained { "drain" } else { "undrain" });
        self.put_forward(&book, why, Some(version)).await
    }

    /// Publishes, and follows what becomes of it.
    async fn put_forward(&mut self, book: &Rulebook, why: String, parent: Option<Version>) -> Result<()> {
        let book = book.encode().map_err(|e| Failed::Wrong(e.to_string()))?;
        let leader = self.leader().await?;
        let parent = parent.unwrap_or(leader.standing.version);
        let id = self.number();
        let word = Word::Publish(Proposal { id, parent, book, by: who(), why });
        let take = move |word| match word {
            Word::Published(n, verdict) if n == id => Some(verdict),
            _ => None,
        };
        let version = match self.ask(Some(&leader.voter), word, take).await? {
            Verdict::PutForward(version) | Verdict::Again(version) => version,
            Verdict::Lost { standing } => {
                let text =
                    format!("version {standing} is in force, not {parent}: look at it, and publish anew");
                return Err(Failed::Overtaken(text));
            }
            Verdict::Busy(other) => {
                return Err(Failed::Overtaken(format!(
                    "version {other} is under way: wait for it, and publish anew"
                )));
            }
            Verdict::Unreadable(why) => return Err(Failed::Wrong(why)),
        };
        loop {
            let status = self.leader().await?;
            let fate = status.history.iter().find(|l| l.version == version).map(|l| l.fate.clone());
            match fate {
                Some(Fate::Stood) => {
                    if self.json {
                        println!("{}", json!({"version": version, "in_force": true}));
                    } else {
                        println!("version {version} is in force");
                    }
                    return Ok(());
                }
                Some(Fate::Abandoned(why)) => {
                    let told: Vec<String> = why.iter().map(|(who, why)| format!("{who}: {why}")).collect();
                    let text = format!("version {version} was not switched to:\n  {}", told.join("\n  "));
                    return Err(Failed::Refused(text));
                }
                Some(Fate::Pending) | None => sleep(LOOK).await,
            }
        }
    }

    async fn diff(&mut self, old: Version, new: Option<Version>) -> Result<()> {
        let new = self.or_standing(new).await?;
        let (old, new) = (self.book(old).await?, self.book(new).await?);
        self.tell_difference(&old, &new);
        Ok(())
    }

    fn tell_difference(&self, old: &Rulebook, new: &Rulebook) {
        let against = contradicts(old, new);
        let (a, b) = (book::text(old), book::text(new));
        let lines = difference(&a, &b);
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
            let fate = match &line.fate {
                Fate::Pending => "put forward".to_owned(),
                Fate::Stood if line.version == status.standing.version => "in force".to_owned(),
                Fate::Stood => "was in force".to_owned(),
                Fate::Abandoned(why) => {
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
                // Without a leader one voter's own word is better than none.
                self.end = Instant::now() + 2 * ANSWER;
                let status = self.one_status(None).await.map_err(|_| e)?;
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
        let bound = config.fleet.as_ref().map_or(Duration::ZERO, |f| f.terms.span.bound);
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
            let live = self.fleet.terms.live().as_millis() as u64;
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
            if Instant::now() + LOOK >= self.end {
                let text =
                    format!("version {} is in force; behind: {}", status.standing.version, behind.join(", "));
                return Err(Failed::Refused(text));
            }
            sleep(LOOK).await;
        }
    }

    async fn voters(&mut self, how: Voters) -> Result<()> {
        match how {
            Voters::Add { name, address } => self.seat(Seating::Add(name, address)).await,
            Voters::Remove { name } => self.seat(Seating::Remove(name)).await,
            Voters::Replace { old, name, address } => {
                // The new one first: there is never a voter less than before.
                self.seat(Seating::Add(name, address)).await?;
                self.seat(Seating::Remove(old)).await
            }
        }
    }

    /// Asks for another set of voters until the leader has it.
    async fn seat(&mut self, change: Seating) -> Result<()> {
        let there = |status: &Status| match &change {
            Seating::Add(name, _) | Seating::Rebuild { name, .. } => {
                status.voters.iter().any(|(v, _)| v == name)
            }
            Seating::Remove(name) => status.voters.iter().all(|(v, _)| v != name),
        };
        let mut why = String::new();
        while Instant::now() < self.end {
            let status = self.leader().await?;
            if there(&status) {
                let names: Vec<&str> = status.voters.iter().map(|(name, _)| name.as_str()).collect();
                println!("the voters are {}", names.join(", "));
                return Ok(());
            }
            let number = self.number();
            let take = move |word| match word {
                Word::Seated(n, why) if n == number => Some(why),
                _ => None,
            };
            why = self.ask(Some(&status.voter), Word::Seat(number, change.clone()), take).await?;
            sleep(LOOK).await;
        }
        Err(Failed::Refused(if why.is_empty() { "it was not agreed on in time".into() } else { why }))
    }
}

/// Who calls.
pub(super) fn who() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".into())
}

/// Lines that only one of two texts has, in their order.
fn difference(old: &str, new: &str) -> Vec<String> {
    let diff = similar::TextDiff::from_lines(old, new);
    let mut lines: Vec<String> = Vec::new();
    for change in diff.iter_all_changes().filter(|c| c.tag() != similar::ChangeTag::Equal) {
        let mut line = String::new();
        let _ = write!(line, "{}{}", change.tag(), change.value().trim_end());
        lines.push(line);
    }
    if lines.len() > LINES {
        let more = lines.len() - LINES;
        lines.truncate(LINES);
        lines.push(format!("... and {more} lines more"));
    }
    lines
}
