//! The list of backends: a watch that resumes where it broke off, and single whole lists.

mod assembly;
mod clocks;
mod lines;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sandgap_driver::list_order::{Arrived, ListOrder, Verdict};
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use wharfhitch::Scope;

use crate::event::{Host, Inbox, Input};
use crate::note;
use assembly::{Assembly, Item};
use clocks::{BACKOFF, CALL, CALM, HEDGE, MAX_DOUBLINGS, PATIENCE, REST, SAY, SILENCE, WHOLE};
use lines::{Lines, get, open};

/// Reads what can be read: one odd entry must not hide what the rest of the list says.
fn host(entry: &Value) -> Option<Host> {
    let text = |key: &str| entry[key].as_str().map(str::to_owned);
    let Some(host) = text("host") else {
        note!(warn: "discovery: an entry without a name");
        return None;
    };
    let dial = entry["dial"].as_str().and_then(|d| d.parse().ok());
    if dial.is_none() && entry["health"] != "removed" {
        note!(warn: "discovery: {host} has no address");
    }
    Some(Host {
        host,
        dial,
        site: text("site"),
        class: text("class"),
        block: entry["block"].as_u64(),
        health: text("health").unwrap_or_default(),
        share: entry["share"].as_f64(),
        born_ms: entry["born_ms"].as_f64().unwrap_or(0.0),
    })
}

/// The whole list or what has changed.
#[derive(Debug, Deserialize)]
struct List {
    seq: u64,
    whole: bool,
    hosts: Vec<Value>,
}

impl List {
    fn entries(&self) -> Vec<Host> {
        self.hosts.iter().filter_map(host).collect()
    }
}

/// Reads the list that the configuration remembers; a broken one is as good as none.
pub fn remembered(known: &Value) -> Option<Vec<Host>> {
    if known.is_null() {
        return None;
    }
    match List::deserialize(known) {
        Ok(list) => Some(list.entries()),
        Err(e) => {
            note!(warn: "the remembered list is of no use: {e}");
            None
        }
    }
}

/// How long discovery may take to tell its list before it counts as silent. An agent answers at once; one that has not
/// within a whole call is silent. Elsewhere what is told counts only once it is, and a call may wait for its turn.
pub fn patience(pushed: bool) -> Duration {
    if pushed { CALL } else { PATIENCE }
}

/// Follows discovery wherever the configuration says that it is. With `asked` a watch is opened only when the
/// module wants one. After a move the old service is listened to until the new one has told its list.
pub async fn follow(mut addresses: watch::Receiver<SocketAddr>, inbox: Inbox, asked: Option<Rc<Notify>>) {
    let start = Instant::now();
    let believed = Rc::new(Cell::new(0));
    let mut serving = JoinSet::new();
    for number in 0.. {
        let (told, first) = oneshot::channel();
        let address = *addresses.borrow_and_update();
        let source = Discovery {
            address,
            inbox: inbox.clone(),
            start,
            order: ListOrder::new(number > 0),
            number,
            believed: believed.clone(),
            told: Some(told),
            heard: 0,
            pushed: asked.is_none(),
            asked: None,
            regressions: 0,
            regressed_at: None,
        };
        let mut next = JoinSet::new();
        next.spawn_local(source.keep(asked.clone()));
        tokio::select! {
            biased; // a list that has been taken makes its source the one that counts
            Ok(()) = first => serving = next, // ends the one before
            moved = addresses.changed() => match moved {
                Ok(()) => continue,
                Err(_) => std::future::pending().await, // nobody is left who could move it
            },
        }
        note!("discovery at {address} has told its list");
        if addresses.changed().await.is_err() {
            while serving.join_next().await.is_some() {}
        }
    }
}

/// A watch at one address and what it knows of the list's version there.
struct Discovery {
    address: SocketAddr,
    inbox: Inbox,
    /// Zero of the times by which calls and lists are ordered.
    start: Instant,
    /// Which lists from here are newer than which.
    order: ListOrder,
    /// Addresses are counted up; the highest that has told a whole list is believed, and none before it.
    number: u64,
    believed: Rc<Cell<u64>>,
    /// Told of the first whole list.
    told: Option<oneshot::Sender<()>>,
    /// Lines read so far, whatever they brought.
    heard: u64,
    /// Lists are pushed to an agent on this machine: asking it costs nothing.
    pushed: bool,
    /// When it was asked last.
    asked: Option<Instant>,
    /// Times that versions have fallen of late, and when that was last.
    regressions: u32,
    regressed_at: Option<Instant>,
}

impl Discovery {
    /// Keeps a watch open for ever, and takes it up again where it broke off. Where discovery is asked, each
    /// watch but the first one after a move waits for the module's wish, and its end is told.
    async fn keep(self, asked: Option<Rc<Notify>>) {
        match asked {
            Some(asked) => self.keep_asked(&asked).await,
            None => self.keep_pushed().await,
        }
    }

    /// Where calls cost discovery something: no more of them than are wished for.
    async fn keep_asked(mut self, asked: &Notify) {
        let (mut backoff, mut silent) = (BACKOFF.0, false);
        loop {
            let waits = self.number == 0 || self.order.held().is_some();
            if waits {
                asked.notified().await;
            }
            // After a silent watch the whole list is asked for: one that resumes says nothing while nothing changes,
            // and a second silence would be seen too late.
            let after = self.order.held().filter(|_| !silent);
            let first = if silent { WHOLE } else { SILENCE };
            let error = match open(self.address, after, false).await {
                Ok(lines) => {
                    let trouble = self.watch_on(lines, first).await;
                    silent = matches!(trouble, Trouble::Silent);
                    trouble.to_string()
                }
                Err(e) => e,
            };
            if self.is_past() {
                return; // what it would say is late
            }
            // Once there is a list the next watch waits for the module's wish, and the module wishes for none before it
            // is told of this one's end: also of the first one after a move, which it did not wish for.
            if waits || self.order.held().is_some() {
                note!(warn: "discovery: {error}");
                self.inbox.put(Input::List(Scope::Failed, Vec::new()));
                continue;
            }
            note!(warn: "discovery: {error}; again in {} ms", backoff.as_millis());
            sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF.1);
        }
    }

    /// Reads a watch until it ends; a broken line is mended by a new watch from the last good one.
    async fn watch_on(&mut self, mut lines: Lines, mut first: Duration) -> Trouble {
        loop {
            let trouble = self.read(&mut lines, first).await;
            let whole = match &trouble {
                Trouble::Broken(_) => false,
                Trouble::Regressed(_) => true,
                _ => return trouble,
            };
            note!(warn: "discovery: {trouble}; another watch is opened");
            match self.renew(Some(lines), whole).await {
                Some(new) => (lines, first) = (new, SILENCE),
                None => return Trouble::Useless("discovery has moved".into()),
            }
        }
    }

    /// Where lists are pushed, calls cost nothing: whenever there is doubt, another watch is opened, and the one before
    /// is listened to until that is up.
    async fn keep_pushed(mut self) {
        let (mut old, mut silent, mut regressed) = (None, 0, false);
        loop {
            // A watch that resumes says nothing for as long as nothing changes. After two silent ones the whole list is
            // asked for, which has to come at once.
            let whole = silent > 1 || regressed || self.order.held().is_none();
            let Some(mut lines) = self.renew(old.take(), whole).await else { return };
            let before = self.heard;
            let trouble = self.read(&mut lines, if whole { WHOLE } else { SILENCE }).await;
            if self.is_past() {
                return; // what it would say is late
            }
            silent = match &trouble {
                Trouble::Silent if self.heard == before => silent + 1,
                Trouble::Silent => 1,
                _ => 0,
            };
            note!(warn: "discovery: {trouble}; another watch is opened");
            regressed = matches!(trouble, Trouble::Regressed(_));
            match trouble {
                Trouble::Silent | Trouble::Broken(_) | Trouble::Regressed(_) => old = Some(lines),
                Trouble::Useless(_) => self.order.forget(),
                Trouble::Over(_) => {}
            }
        }
    }

    /// Whether a later address has told its list.
    fn is_past(&self) -> bool {
        self.number < self.believed.get()
    }

    /// Reads a watch until something is wrong with it. `first` is how long its first sign of life may take.
    async fn read(&mut self, lines: &mut Lines, first: Duration) -> Trouble {
        let mut assembly = Assembly::default();
        let mut patience = first;
        loop {
            let wait = if assembly.waits() { REST } else { patience };
            let line = match timeout(wait, lines.next()).await {
                Err(_) if assembly.waits() => return Trouble::Broken(assembly.give_up()),
                Err(_) => return Trouble::Silent,
                Ok(Err(e)) => return Trouble::Over(e),
                Ok(Ok(None)) => return Trouble::Over("the watch has ended".into()),
                Ok(Ok(Some(line))) => line,
            };
            patience = SILENCE;
            self.heard += 1;
            let torn = match assembly.push(&line) {
                Item::Blank => {
                    self.inbox.put(Input::DiscoveryAlive);
                    continue;
                }
                Item::Part => continue,
                Item::Whole(list) => match self.take(list, false, lines.began) {
                    Ok(()) => continue,
                    Err(trouble) => return trouble,
                },
                Item::Torn(why, list) => (why, list),
            };
            if let Some(Err(trouble)) = torn.1.map(|list| self.take(list, true, lines.began)) {
                return trouble;
            }
            return Trouble::Broken(torn.0);
        }
    }

    /// Opens a watch however often it takes, and listens to the one before until it is up: a drain that that one tells
    /// has been told, however late the new one is. Where calls cost nothing, one that is not answered is joined by
    /// another; elsewhere one follows the other, later each time. `None` once discovery has moved.
    async fn renew(&mut self, mut old: Option<Lines>, whole: bool) -> Option<Lines> {
        let after = self.order.held().filter(|_| !whole);
        let old_began = old.as_ref().map(|lines| lines.began);
        let mut calls: JoinSet<Result<Lines, String>> = JoinSet::new();
        let mut wait = if self.pushed { HEDGE } else { self.backoff() };
        let (mut assembly, mut said) = (Assembly::default(), None::<Instant>);
        let mut next = self.asked.map_or_else(Instant::now, |at| at + wait);
        while !self.is_past() {
            tokio::select! {
                biased;
                Some(call) = calls.join_next(), if !calls.is_empty() => match call {
                    Ok(Ok(lines)) => return Some(lines),
                    Ok(Err(e)) if said.is_none_or(|at| at.elapsed() >= SAY) => {
                        said = Some(Instant::now());
                        note!(warn: "discovery: {e}; it is asked again");
                    }
                    Ok(Err(_)) | Err(_) => {}
                },
                () = sleep_until(next), if self.pushed || calls.is_empty() => {
                    let address = self.address;
                    let pushed = self.pushed;
                    calls.spawn_local(async move { open(address, after, pushed).await });
                    let now = Instant::now();
                    (self.asked, next) = (Some(now), now + wait);
                    if !self.pushed {
                        wait = (wait * 2).min(BACKOFF.1);
                    }
                }
                line = next_of(&mut old) => match line.map(|line| assembly.push(&line)) {
                    Some(Item::Whole(list) | Item::Torn(_, Some(list))) => {
                        let began = old_began.unwrap_or(self.start);
                        if self.take(list, true, began).is_err() {
                            old = None;
                        }
                    }
                    Some(_) => {}
                    None => old = None,
                },
            }
        }
        None
    }

    /// Versions have fallen. A service that mixes two lists would have each proxy ask it again and again.
    fn note_regression(&mut self) {
        let is_calm = self.regressed_at.is_none_or(|at| at.elapsed() >= CALM);
        self.regressions = if is_calm { 1 } else { self.regressions.saturating_add(1) };
        self.regressed_at = Some(Instant::now());
    }

    /// Between two calls where each costs discovery something: longer while its versions keep falling.
    fn backoff(&self) -> Duration {
        let is_calm = self.regressed_at.is_none_or(|at| at.elapsed() >= CALM);
        let doublings = if is_calm { 0 } else { self.regressions.min(MAX_DOUBLINGS) };
        (BACKOFF.0 * 2u32.pow(doublings)).min(BACKOFF.1)
    }

    /// Takes a list that came on a call which began then. Behind a `gap` changes count, but a watch resumes from the last
    /// list before it.
    fn take(&mut self, list: List, gap: bool, call_began: Instant) -> Result<(), Trouble> {
        if self.is_past() {
            return Err(Trouble::Useless("discovery has moved".into()));
        }
        let hosts = list.entries();
        let arrived = Arrived {
            version: list.seq,
            whole: list.whole,
            empty: hosts.is_empty(),
            behind_gap: gap,
            call_began: call_began.saturating_duration_since(self.start),
        };
        let held = self.order.held();
        let verdict = self.order.judge(self.start.elapsed(), arrived);
        note_list(&list, &hosts, verdict);
        let scope = if list.whole { Scope::Full } else { Scope::Delta };
        match verdict {
            Verdict::Baseless => return Err(Trouble::Useless("changes without a list".into())),
            Verdict::Repeated => return Ok(()),
            Verdict::Newer => self.inbox.put(Input::List(scope, hosts)),
            Verdict::Uncertain { ask_again: false } => self.inbox.put(Input::UncertainList(scope, hosts)),
            Verdict::Uncertain { ask_again: true } => {
                // What it leaves out may have come after it: only what it names counts.
                self.inbox.put(Input::UncertainList(Scope::Delta, hosts));
                self.note_regression();
                return Err(Trouble::Regressed(format!("{} after {}", list.seq, held.unwrap_or_default())));
            }
        }
        self.believed.set(self.number);
        if let Some(told) = self.told.take() {
            let _ = told.send(()); // nobody waits for it while the process ends
        }
        Ok(())
    }
}

/// Logs what a list says.
fn note_list(list: &List, hosts: &[Host], verdict: Verdict) {
    let count = |health: &str| hosts.iter().filter(|h| h.health == health).count();
    let form = if list.whole { "the whole list" } else { "changes" };
    let (up, draining, removed) = (count("up"), count("draining"), count("removed"));
    let order = match verdict {
        Verdict::Newer => "newer",
        Verdict::Repeated => "nothing new",
        Verdict::Uncertain { ask_again: true } => "stale or counted anew",
        Verdict::Uncertain { ask_again: false } => "perhaps older",
        Verdict::Baseless => "of an unknown list",
    };
    note!(
        "discovery: version {}, {form}, {order}: {up} up, {draining} draining, {removed} removed",
        list.seq
    );
}

/// The next line of a watch; never, where there is none.
async fn next_of(lines: &mut Option<Lines>) -> Option<Vec<u8>> {
    match lines {
        Some(lines) => lines.next().await.ok().flatten(),
        None => std::future::pending().await,
    }
}

/// What is wrong with a watch.
#[derive(Debug, thiserror::Error)]
enum Trouble {
    /// A line can't be read, and may hide a change.
    #[error("a broken line: {0}")]
    Broken(String),
    /// Versions have fallen: an old list was repeated, or the service counts anew.
    #[error("version {0}")]
    Regressed(String),
    /// No sign of life.
    #[error("the watch is silent")]
    Silent,
    /// It has ended.
    #[error("{0}")]
    Over(String),
    /// Nothing on it can be used.
    #[error("{0}")]
    Useless(String),
}

/// Asks for the whole list once.
pub async fn fetch(address: SocketAddr, inbox: Inbox) {
    let list = timeout(SILENCE, async {
        let body = get(address, "").await?.rest().await?;
        serde_json::from_slice::<List>(&body).map_err(|e| format!("a broken list: {e}"))
    });
    match list.await.unwrap_or_else(|_| Err("no answer".into())) {
        // It may have been on its way for longer than the news of a watch.
        Ok(list) => inbox.put(Input::UncertainList(Scope::Full, list.entries())),
        Err(e) => {
            note!(warn: "discovery: {e}");
            inbox.put(Input::List(Scope::Failed, Vec::new()));
        }
    }
}
