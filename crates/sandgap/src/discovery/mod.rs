//! Client of the discovery service: a watch of the backend list that resumes at the last version, and requests for
//! single full lists.

mod assembly;
mod lines;
mod list;
mod timing;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sandgap_driver::list_order::{ListOrder, ReceivedList, Verdict};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use wharfhitch::Scope;

use crate::event::{Host, Input, InputSender};
use crate::note;
use assembly::{LineResult, ListAssembler};
use lines::{Lines, get, open_watch};
use list::List;
pub use list::ListReader;
use timing::{
    BACKOFF, CALL_TIMEOUT, FULL_LIST_TIMEOUT, HEARTBEAT_TIMEOUT, HEDGE_DELAY, LINE_GAP_TIMEOUT, LOG_INTERVAL,
    MAX_DOUBLINGS, REGRESSION_RESET, REMEMBERED_LIST_DELAY,
};

/// How long discovery may take to send its list before the remembered list is used. A local agent answers at once: one
/// that has not answered within a call's timeout is silent. Elsewhere a list counts only once it has arrived, and a
/// call may wait in discovery's queue.
pub fn remembered_list_delay(pushed: bool) -> Duration {
    if pushed { CALL_TIMEOUT } else { REMEMBERED_LIST_DELAY }
}

/// Follows discovery at the configured address. With `asked`, a watch is opened only when the decision library requests
/// one. After a change of address the old service is read until the new one has sent its list.
pub async fn follow(
    mut addresses: watch::Receiver<SocketAddr>, lists: Rc<ListReader>, input_sender: InputSender,
    asked: Option<Rc<Notify>>,
) {
    let start = Instant::now();
    let active_number = Rc::new(Cell::new(0));
    let mut serving = JoinSet::new();
    for number in 0.. {
        let (first_list, first_list_sent) = oneshot::channel();
        let address = *addresses.borrow_and_update();
        let source = Watcher {
            address,
            lists: lists.clone(),
            input_sender: input_sender.clone(),
            start,
            order: ListOrder::new(number > 0),
            number,
            active_number: active_number.clone(),
            first_list: Some(first_list),
            lines_read: 0,
            pushed: asked.is_none(),
            last_call: None,
            refused: 0,
            regressions: 0,
            regressed_at: None,
        };
        let mut next = JoinSet::new();
        next.spawn_local(source.run(asked.clone()));
        tokio::select! {
            biased; // once a source's list is applied, that source replaces the one before
            Ok(()) = first_list_sent => serving = next, // dropping the old value ends its source
            moved = addresses.changed() => match moved {
                Ok(()) => continue,
                Err(_) => std::future::pending().await, // the sender is gone: the address can't change
            },
        }
        note!("discovery at {address} has told its list");
        if addresses.changed().await.is_err() {
            while serving.join_next().await.is_some() {}
        }
    }
}

/// The watch of one address, with the list version known there.
struct Watcher {
    address: SocketAddr,
    lists: Rc<ListReader>,
    input_sender: InputSender,
    /// Origin of the times that order calls and lists.
    start: Instant,
    /// Orders the lists from this address by age.
    order: ListOrder,
    /// Number of this address. The highest number that has sent a full list is in use; lower ones are ignored.
    number: u64,
    active_number: Rc<Cell<u64>>,
    /// Notified of the first full list.
    first_list: Option<oneshot::Sender<()>>,
    /// Lines read so far, of any kind.
    lines_read: u64,
    /// Whether lists are pushed to an agent on this machine, so that calls are cheap.
    pushed: bool,
    /// When discovery was last called.
    last_call: Option<Instant>,
    /// Entries of the last list that there was no room for.
    refused: usize,
    /// Recent times that versions went backwards, and when that last happened.
    regressions: u32,
    regressed_at: Option<Instant>,
}

impl Watcher {
    /// Keeps a watch open and resumes it after the last version when it breaks. Where discovery is asked, each watch
    /// except the first after a change of address waits for the decision library's request, and its end is reported.
    async fn run(self, asked: Option<Rc<Notify>>) {
        match asked {
            Some(asked) => self.watch_on_request(&asked).await,
            None => self.watch_pushed().await,
        }
    }

    /// Opens watches only on request, where calls cost discovery something.
    async fn watch_on_request(mut self, asked: &Notify) {
        let (mut backoff, mut silent) = (BACKOFF.0, false);
        loop {
            let waits = self.number == 0 || self.order.resume_version().is_some();
            if waits {
                asked.notified().await;
            }
            // After a silent watch the full list is requested: a resumed watch sends nothing while nothing changes,
            // and a second silence would be noticed too late.
            let after = self.order.resume_version().filter(|_| !silent);
            let first = if silent { FULL_LIST_TIMEOUT } else { HEARTBEAT_TIMEOUT };
            let error = match open_watch(self.address, after, false, self.lists.max_bytes()).await {
                Ok(lines) => {
                    let error = self.read_and_renew(lines, first).await;
                    silent = matches!(error, WatchError::Silent);
                    error.to_string()
                }
                Err(e) => e,
            };
            if self.is_superseded() {
                return; // its result is out of date
            }
            // Once there is a list, the next watch waits for the decision library's request, and the library makes none
            // before it learns that this watch has ended. That includes the first watch after a change of address,
            // which the library did not request.
            if waits || self.order.resume_version().is_some() {
                note!(warn: "discovery: {error}");
                self.input_sender.send(Input::List(Scope::Failed, Vec::new()));
                continue;
            }
            note!(warn: "discovery: {error}; retrying in {} ms", backoff.as_millis());
            sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF.1);
        }
    }

    /// Reads a watch until it ends. After a malformed line a new watch resumes from the last good version.
    async fn read_and_renew(&mut self, mut lines: Lines, mut first: Duration) -> WatchError {
        loop {
            let error = self.read(&mut lines, first).await;
            let whole = match &error {
                WatchError::Malformed(_) => false,
                WatchError::Regressed(_) | WatchError::Incomplete(_) => true,
                _ => return error,
            };
            note!(warn: "discovery: {error}; another watch is opened");
            match self.reopen(Some(lines), whole).await {
                Some(new) => (lines, first) = (new, HEARTBEAT_TIMEOUT),
                None => return WatchError::Unusable("discovery has moved".into()),
            }
        }
    }

    /// Watches pushed lists, where calls are cheap: whenever the watch is in doubt another one is opened, and the old
    /// one is read until the new one is established.
    async fn watch_pushed(mut self) {
        let (mut old, mut silent, mut is_doubtful) = (None, 0, false);
        loop {
            // A resumed watch sends no list while nothing changes. After two silent watches the full list is requested,
            // which has to arrive at once.
            let whole = silent > 1 || is_doubtful || self.order.resume_version().is_none();
            let Some(mut lines) = self.reopen(old.take(), whole).await else { return };
            let before = self.lines_read;
            let error =
                self.read(&mut lines, if whole { FULL_LIST_TIMEOUT } else { HEARTBEAT_TIMEOUT }).await;
            if self.is_superseded() {
                return; // its result is out of date
            }
            silent = match &error {
                WatchError::Silent if self.lines_read == before => silent + 1,
                WatchError::Silent => 1,
                _ => 0,
            };
            note!(warn: "discovery: {error}; another watch is opened");
            is_doubtful = matches!(error, WatchError::Regressed(_) | WatchError::Incomplete(_));
            match error {
                WatchError::Silent
                | WatchError::Malformed(_)
                | WatchError::Regressed(_)
                | WatchError::Incomplete(_) => old = Some(lines),
                WatchError::Unusable(_) => self.order.forget(),
                WatchError::Ended(_) => {}
            }
        }
    }

    /// Whether a later address has sent its list.
    fn is_superseded(&self) -> bool {
        self.number < self.active_number.get()
    }

    /// Reads a watch until it fails. `first` is the timeout for its first line.
    async fn read(&mut self, lines: &mut Lines, first: Duration) -> WatchError {
        let mut assembly = ListAssembler::default();
        let mut line_timeout = first;
        loop {
            let wait = if assembly.is_partial() { LINE_GAP_TIMEOUT } else { line_timeout };
            let line = match timeout(wait, lines.next()).await {
                Err(_) if assembly.is_partial() => return WatchError::Malformed(assembly.discard()),
                Err(_) => return WatchError::Silent,
                Ok(Err(e)) => return WatchError::Ended(e),
                Ok(Ok(None)) => return WatchError::Ended("the watch has ended".into()),
                Ok(Ok(Some(line))) => line,
            };
            line_timeout = HEARTBEAT_TIMEOUT;
            self.lines_read += 1;
            let result = assembly.push(&line, &self.lists);
            drop(line); // a long one would be held beside what is made of it
            let truncated = match result {
                LineResult::Blank => {
                    self.input_sender.send(Input::DiscoveryAlive);
                    if self.refused > 0 && self.lists.has_room_for(self.refused) {
                        return WatchError::Incomplete(self.refused);
                    }
                    continue;
                }
                LineResult::Partial => continue,
                LineResult::Complete(list) => match self.apply(list, false, lines.began) {
                    Ok(()) => continue,
                    Err(error) => return error,
                },
                LineResult::Truncated(why, list) => (why, list),
            };
            if let Some(Err(error)) = truncated.1.map(|list| self.apply(list, true, lines.began)) {
                return error;
            }
            return WatchError::Malformed(truncated.0);
        }
    }

    /// Opens a watch, with retries, and reads the old one until the new one is established: a drain that the old watch
    /// reports takes effect however late the new one is. Where calls are cheap, an unanswered call is hedged by
    /// another; elsewhere calls follow one another with backoff. `None` once discovery has moved to another address.
    async fn reopen(&mut self, mut old: Option<Lines>, whole: bool) -> Option<Lines> {
        let after = self.order.resume_version().filter(|_| !whole);
        let old_began = old.as_ref().map(|lines| lines.began);
        let mut calls: JoinSet<Result<Lines, String>> = JoinSet::new();
        let mut wait = if self.pushed { HEDGE_DELAY } else { self.backoff() };
        let (mut assembly, mut logged_at) = (ListAssembler::default(), None::<Instant>);
        let mut next = self.last_call.map_or_else(Instant::now, |at| at + wait);
        while !self.is_superseded() {
            tokio::select! {
                biased;
                Some(call) = calls.join_next(), if !calls.is_empty() => match call {
                    Ok(Ok(lines)) => return Some(lines),
                    Ok(Err(e)) if logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) => {
                        logged_at = Some(Instant::now());
                        note!(warn: "discovery: {e}; retrying");
                    }
                    Ok(Err(_)) | Err(_) => {}
                },
                () = sleep_until(next), if self.pushed || calls.is_empty() => {
                    let address = self.address;
                    let (pushed, max_bytes) = (self.pushed, self.lists.max_bytes());
                    calls.spawn_local(async move { open_watch(address, after, pushed, max_bytes).await });
                    let now = Instant::now();
                    (self.last_call, next) = (Some(now), now + wait);
                    if !self.pushed {
                        wait = (wait * 2).min(BACKOFF.1);
                    }
                }
                line = next_line(&mut old) => match line.map(|line| assembly.push(&line, &self.lists)) {
                    Some(LineResult::Complete(list) | LineResult::Truncated(_, Some(list))) => {
                        let began = old_began.unwrap_or(self.start);
                        if self.apply(list, true, began).is_err() {
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

    /// Records that versions went backwards. Without the count, a service that mixes two lists would be called again
    /// and again by each proxy.
    fn record_regression(&mut self) {
        self.regressions = self.recent_regressions().saturating_add(1);
        self.regressed_at = Some(Instant::now());
    }

    /// How often versions went backwards, 0 if they have not for a while.
    fn recent_regressions(&self) -> u32 {
        let is_calm = self.regressed_at.is_none_or(|at| at.elapsed() >= REGRESSION_RESET);
        if is_calm { 0 } else { self.regressions }
    }

    /// Wait between two calls where each costs discovery something; it grows while versions keep going backwards.
    fn backoff(&self) -> Duration {
        let doublings = self.recent_regressions().min(MAX_DOUBLINGS);
        (BACKOFF.0 * 2u32.pow(doublings)).min(BACKOFF.1)
    }

    /// Applies a list that arrived on a call begun at `call_began`. Changes after a `gap` are applied, but a watch
    /// resumes from the last list before the gap.
    fn apply(&mut self, list: List, gap: bool, call_began: Instant) -> Result<(), WatchError> {
        if self.is_superseded() {
            return Err(WatchError::Unusable("discovery has moved".into()));
        }
        self.lists.report(&list);
        self.refused = if list.whole { list.refused } else { self.refused + list.refused };
        let List { seq, whole, hosts, .. } = list;
        let arrived = ReceivedList {
            version: seq,
            whole,
            empty: hosts.is_empty(),
            after_gap: gap,
            call_began: call_began.saturating_duration_since(self.start),
        };
        let resume_version = self.order.resume_version();
        let verdict = self.order.compare(self.start.elapsed(), arrived);
        log_list(seq, whole, &hosts, verdict);
        let scope = if whole { Scope::Full } else { Scope::Delta };
        match verdict {
            Verdict::MissingBase => {
                return Err(WatchError::Unusable("changes arrived before any full list".into()));
            }
            Verdict::Unchanged => return Ok(()),
            Verdict::Newer => self.input_sender.send(Input::List(scope, hosts)),
            Verdict::Uncertain { refetch: false } => {
                self.input_sender.send(Input::UncertainList(scope, hosts))
            }
            Verdict::Uncertain { refetch: true } => {
                // Backends that it omits may have been added after it: only those that it names count.
                self.input_sender.send(Input::UncertainList(Scope::Delta, hosts));
                self.record_regression();
                return Err(WatchError::Regressed(format!(
                    "{seq} after {}",
                    resume_version.unwrap_or_default()
                )));
            }
        }
        self.active_number.set(self.number);
        if let Some(first_list) = self.first_list.take() {
            let _ = first_list.send(()); // the receiver is gone while the process ends
        }
        Ok(())
    }
}

/// Logs a summary of a list.
fn log_list(seq: u64, whole: bool, hosts: &[Host], verdict: Verdict) {
    let count = |health: &str| hosts.iter().filter(|h| h.health == health).count();
    let form = if whole { "the whole list" } else { "changes" };
    let (up, draining, removed) = (count("up"), count("draining"), count("removed"));
    let order = match verdict {
        Verdict::Newer => "newer",
        Verdict::Unchanged => "nothing new",
        Verdict::Uncertain { refetch: true } => "stale or counted anew",
        Verdict::Uncertain { refetch: false } => "perhaps older",
        Verdict::MissingBase => "of an unknown list",
    };
    note!("discovery: version {seq}, {form}, {order}: {up} up, {draining} draining, {removed} removed");
}

/// The next line of a watch; pending for ever without a watch.
async fn next_line(lines: &mut Option<Lines>) -> Option<Vec<u8>> {
    match lines {
        Some(lines) => lines.next().await.ok().flatten(),
        None => std::future::pending().await,
    }
}

/// Why a watch is no longer used.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    /// A line can't be parsed and may hide a change.
    #[error("a malformed line: {0}")]
    Malformed(String),
    /// Versions went backwards: an old list was repeated, or the service restarted its count.
    #[error("version {0}")]
    Regressed(String),
    /// Entries were left out for lack of memory, and there is room for them now.
    #[error("there is room now for {0} backends that were left out")]
    Incomplete(usize),
    /// No heartbeat arrived in time.
    #[error("the watch is silent")]
    Silent,
    /// The watch has ended.
    #[error("{0}")]
    Ended(String),
    /// Nothing on the watch can be used.
    #[error("{0}")]
    Unusable(String),
}

/// Requests the full list once.
pub async fn fetch(address: SocketAddr, lists: Rc<ListReader>, input_sender: InputSender) {
    let list = timeout(HEARTBEAT_TIMEOUT, async {
        let body = get(address, "", lists.max_bytes()).await?.rest().await?;
        lists.parse(&body).map_err(|e| format!("a malformed list: {e}"))
    });
    match list.await.unwrap_or_else(|_| Err("no answer".into())) {
        // It may be older than changes that a watch has delivered meanwhile.
        Ok(list) => {
            lists.report(&list);
            input_sender.send(Input::UncertainList(Scope::Full, list.hosts));
        }
        Err(e) => {
            note!(warn: "discovery: {e}");
            input_sender.send(Input::List(Scope::Failed, Vec::new()));
        }
    }
}
