//! Client side: accepts connections, reads and validates requests, and gives each exactly one final answer.

mod admission;
mod answer;
mod closing;
mod connection;
mod head;
mod id_link;
mod limits;
mod memory_relief;
mod receive;
mod receiving;
mod request_ids;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use wharfhitch::settings::Names;
use wharfhitch::{Change, Settings};

use crate::diagnostics::Diagnostics;
use crate::event::{Input, InputSender};
use crate::generation::Generations;
use crate::memory::Memory;
use crate::note;
use crate::retry;
use crate::rules::Rules;
use crate::serving::Serving;
use crate::socket::Socket;
use crate::upstream::Upstreams;
use admission::{Client, Stage};
use limits::{
    ACCEPT_AFTER_STOP, ACCEPT_RETRY_DELAY, BACKLOG, FINISH_TIME, LAST_ANSWER_AFTER, MAX_DEADLINE_MS,
    MAX_QUEUE_WAIT, MIN_STAGE_AGE, QUEUE_QUIET, SILENT_WAIT, SWEEP_INTERVAL,
};
use receiving::Receiving;
pub use request_ids::{RequestIds, RequestProgress};

/// State shared by all client connections.
pub struct Frontend {
    input_sender: InputSender,
    generations: RefCell<Generations>,
    upstreams: Rc<Upstreams>,
    /// Maximum number of sockets for clients and backends together.
    budget: Cell<usize>,
    /// Whether the proxy accepts clients.
    serving: Rc<Serving>,
    /// Next connection, request or sequence number.
    next_number: Cell<u64>,
    /// Number of connections: all, and those with an open request (`busy`); for the others see `by_stage`.
    open_connections: Cell<usize>,
    busy: Cell<usize>,
    /// Long answers being sent, and long requests in progress.
    long_answers: Cell<usize>,
    long_requests: Cell<usize>,
    /// Budgets for what clients and backends make the process hold.
    memory: Rc<Memory>,
    /// When a log line last told that memory is short.
    memory_reported: Cell<Option<Instant>>,
    /// See [`crate::config::Config::grace`].
    grace: Duration,
    /// When the process was told to stop, if it was.
    stopped_at: Cell<Option<Instant>>,
    /// When the accept queue was last seen empty.
    queue_empty_at: Cell<Instant>,
    /// When an accept last failed for lack of descriptors or buffers.
    last_shortage: Cell<Option<Instant>>,
    /// Connections without an open request, by stage, oldest first.
    by_stage: RefCell<[BTreeMap<u64, Rc<Client>>; MIN_STAGE_AGE.len()]>,
    request_ids: Rc<RequestIds>,
    /// Requests whose bodies are being received.
    receiving: Receiving,
    /// Notified when a connection, a long request or a long answer ends.
    released: Notify,
    diagnostics: Rc<Diagnostics>,
    /// If rules are agreed: decides whether a request may be accepted.
    rules: OnceCell<Rc<Rules>>,
}

impl Frontend {
    /// Creates the client side. `budget` counts sockets of clients and backends together; `serving` tells whether
    /// clients are accepted; `memory` bounds what they hold; for `grace` see [`crate::config::Config`].
    pub fn new(
        input_sender: InputSender, generations: Generations, upstreams: Rc<Upstreams>, budget: usize,
        serving: Rc<Serving>, memory: Rc<Memory>, grace: Duration,
    ) -> Rc<Self> {
        let diagnostics = upstreams.diagnostics().clone();
        Rc::new(Frontend {
            input_sender,
            generations: RefCell::new(generations),
            upstreams,
            budget: Cell::new(budget),
            serving,
            next_number: Cell::new(0),
            open_connections: Cell::new(0),
            busy: Cell::new(0),
            long_answers: Cell::new(0),
            long_requests: Cell::new(0),
            memory,
            memory_reported: Cell::default(),
            grace,
            stopped_at: Cell::default(),
            queue_empty_at: Cell::new(Instant::now()),
            last_shortage: Cell::default(),
            by_stage: RefCell::default(),
            request_ids: Rc::default(),
            receiving: Receiving::default(),
            released: Notify::new(),
            diagnostics,
            rules: OnceCell::new(),
        })
    }

    /// From now on, accepts requests only under the agreed rules.
    pub fn set_rules(&self, rules: Rc<Rules>) {
        let _ = self.rules.set(rules); // called once, at startup
    }

    /// The ids of open requests.
    pub fn request_ids(&self) -> &Rc<RequestIds> {
        &self.request_ids
    }

    /// Number of connections with an unanswered request.
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Whether the proxy accepts clients.
    pub fn serving(&self) -> &Serving {
        &self.serving
    }

    /// Checks whether other settings could be applied now.
    ///
    /// # Errors
    /// If open requests hold too many classes.
    pub fn check_settings(&self, settings: &Settings, names: &Names) -> Result<(), String> {
        self.generations.borrow().check_change(settings, names)
    }

    /// Accepts and serves connections until `stop`, then finishes the accepted requests.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let sweeper = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(SWEEP_INTERVAL).await;
                sweeper.sweep();
                while sweeper.open_connections.get() > sweeper.max_connections() && sweeper.make_room(false) {
                }
            }
        });
        tokio::pin!(stop);
        let mut changes = self.serving.changes();
        loop {
            tokio::select! {
                biased;
                () = &mut stop => break,
                _ = changes.changed() => self.close_idle(),
                () = self.clone().accept(&listener), if self.serving.accepts() => {}
            }
        }
        self.stopped_at.set(Some(self.upstreams.view().arrived_at()));
        self.limit_answers();
        // If another process accepts from the same queue, nothing in it is lost. That is a newer process, or the previous
        // one while this one has not served yet.
        let other_process_accepts = !self.serving.accepts();
        // Idle connections close now: a request that crosses the close is retried while connections are still accepted.
        self.serving.stop();
        self.close_all(Stage::Idle);
        let end = Instant::now() + ACCEPT_AFTER_STOP;
        if other_process_accepts {
            sleep(ACCEPT_AFTER_STOP).await; // connections accepted just before may still send a request
        } else {
            while timeout_at(end, self.clone().accept(&listener)).await.is_ok() {}
            let end = Instant::now() + ACCEPT_AFTER_STOP; // upper bound, in case connections keep arriving
            while Instant::now() < end && timeout(QUEUE_QUIET, self.clone().accept(&listener)).await.is_ok() {
            }
        }
        drop(listener);
        sleep(SILENT_WAIT).await;
        self.close_all(Stage::Silent);
        let begin = Instant::now();
        while self.unfinished() > 0 {
            let end = begin + self.longest_deadline() + FINISH_TIME;
            // A long answer that has started is not cut off while the process may run.
            let end =
                if self.long_answers.get() > 0 { end.max(Instant::now() + SWEEP_INTERVAL) } else { end };
            if timeout_at(end, self.released.notified()).await.is_err() && self.long_answers.get() == 0 {
                return note!(warn: "shutdown: ended with client connections still open");
            }
        }
    }

    /// The longest deadline of the classes in force.
    fn longest_deadline(&self) -> Duration {
        let longest_ms = self.generations.borrow().longest_deadline_ms();
        Duration::from_secs_f64(longest_ms.min(MAX_DEADLINE_MS) / 1000.0)
    }

    /// Once the process was told to stop, limits the time of the last answer by the settings in force: the platform kills the
    /// process by their longest deadline, whatever older settings open requests still hold.
    fn limit_answers(&self) {
        let Some(stopped_at) = self.stopped_at.get() else { return };
        let last_answer_at = stopped_at + self.longest_deadline().min(self.grace) + LAST_ANSWER_AFTER;
        self.input_sender.send(Input::Shutdown(last_answer_at));
        self.upstreams.shut_down(last_answer_at);
    }

    /// Accepts one connection and spawns its task, or makes room for it.
    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        // Over the budget, one connection is evicted for each new one; if none can be, the new one waits for a short time.
        // A longer wait would age all new connections until their answers are too late.
        let max_connections = self.max_connections();
        if self.open_connections.get() >= max_connections {
            let is_overdue = self.queue_empty_at.get().elapsed() >= MAX_QUEUE_WAIT;
            // A client that has stopped half-way through a body is given up only once nothing else can be.
            let has_made_room = self.make_room(is_overdue) || self.receiving.evict_most_stalled(self.now());
            if has_made_room || !is_overdue {
                let _ = timeout(ACCEPT_RETRY_DELAY, self.released.notified()).await;
                return;
            }
            match timeout(Duration::ZERO, listener.accept()).await {
                Ok(Ok(connection)) => drop(connection),
                Ok(Err(_)) => sleep(ACCEPT_RETRY_DELAY).await,
                Err(_) => self.queue_empty_at.set(Instant::now()),
            }
            return;
        }
        let next = tokio::select! {
            biased;
            next = listener.accept() => next,
            () = std::future::ready(()) => {
                let next = listener.accept().await;
                self.queue_empty_at.set(self.upstreams.view().arrived_at()); // empty until this connection arrived
                next
            }
        };
        match next {
            Ok((stream, _)) => {
                if self.open_connections.get() >= max_connections * 7 / 8 {
                    self.make_room(false);
                }
                let client = Client::new(self.next_number(), self.queue_empty_at.get());
                self.set_open(self.open_connections.get() + 1);
                self.busy.set(self.busy.get() + 1);
                self.set_stage(&client, Stage::Silent);
                tokio::task::spawn_local(async move {
                    self.connection(Socket::new(stream), &client).await;
                    self.set_stage(&client, Stage::Busy);
                    self.busy.set(self.busy.get() - 1);
                    self.set_open(self.open_connections.get() - 1);
                    self.released.notify_waiters();
                });
            }
            Err(e) => self.accept_failed(&e).await,
        }
    }

    /// Handles a failed accept. Freeing sockets doesn't help after a connection aborted by its client or an interrupted
    /// call. If descriptors or buffers are short, an idle backend connection is closed first; a client is evicted only
    /// if the shortage lasts.
    async fn accept_failed(&self, error: &io::Error) {
        note!(warn: "accept: {error}");
        if matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) {
            return;
        }
        if !retry::is_transient(error) {
            return sleep(ACCEPT_RETRY_DELAY).await; // the unknown error may recur at once
        }
        let is_lasting = self
            .last_shortage
            .replace(Some(Instant::now()))
            .is_some_and(|at| at.elapsed() < 3 * ACCEPT_RETRY_DELAY);
        self.upstreams.close_idle();
        if is_lasting {
            self.make_room(false);
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Applies other settings to the requests that arrive from now on, and returns the change that the decision library
    /// must process before the first of them.
    ///
    /// # Errors
    /// If open requests hold too many classes; nothing is changed then.
    pub fn change(&self, settings: &Settings, names: &Names) -> Result<Change, String> {
        let change = self.generations.borrow_mut().change(settings, names)?;
        self.limit_answers();
        Ok(change)
    }

    /// Sets the socket budget of clients and backends together, and the number of processes that share the memory limit:
    /// during an upgrade two processes share both, and `other` is the id of the other one.
    pub fn set_budget(&self, budget: usize, processes: usize, other: Option<u32>) {
        self.memory.share(processes, other);
        self.budget.set(budget);
        self.set_open(self.open_connections.get());
        self.upstreams.shrink(budget / 4);
    }

    /// Records the number of connections, and leaves the remaining sockets to backends.
    fn set_open(&self, open: usize) {
        self.open_connections.set(open);
        self.upstreams.set_available(self.budget.get().saturating_sub(open));
    }

    /// Next unique number.
    fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }
}

/// Listens for clients on an address.
pub fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // after a restart old connections may be in TIME_WAIT
    socket.set_reuseport(true)?; // during an upgrade the new process listens beside the old one
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}
