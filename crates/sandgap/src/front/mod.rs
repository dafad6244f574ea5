//! Clients: reads whole requests, checks them, and gives each exactly one final answer.

mod admission;
mod answer;
mod closing;
mod connection;
mod head;
mod limits;
mod receive;

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

use crate::body::ReadAheadBudget;
use crate::diagnostics::Diagnostics;
use crate::event::{Inbox, Input};
use crate::generation::Generations;
use crate::note;
use crate::retry;
use crate::rules::Rules;
use crate::serving::Serving;
use crate::socket::Socket;
use crate::upstream::Upstreams;
use admission::{Client, Stage};
use head::OpenIds;
use limits::{BACKLOG, FINISH, LAST_ANSWER, PAUSE, QUEUE, QUIET, SILENT, SPARED, STAY, SWEEP};

/// What all connections share.
pub struct Frontend {
    inbox: Inbox,
    generations: RefCell<Generations>,
    upstreams: Rc<Upstreams>,
    /// Sockets for clients and backends together.
    budget: Cell<usize>,
    /// Whether clients are taken.
    serving: Rc<Serving>,
    next: Cell<u64>,
    /// Connections, those of them with an open request, and the others by stage and age.
    open: Cell<usize>,
    busy: Cell<usize>,
    /// Those of them with a long answer on its way, and those with a long request.
    answering: Cell<usize>,
    uploading: Cell<usize>,
    /// Long requests at once.
    uploads: usize,
    /// What they may read ahead together.
    read_ahead: Rc<ReadAheadBudget>,
    /// See [`crate::config::Config::grace`].
    grace: Duration,
    /// When the accept queue was last seen empty.
    empty: Cell<Instant>,
    /// When a connection could not be accepted last for want of descriptors or buffers.
    short: Cell<Option<Instant>>,
    standing: RefCell<[BTreeMap<u64, Rc<Client>>; SPARED.len()]>,
    ids: OpenIds,
    left: Notify,
    diagnostics: Rc<Diagnostics>,
    /// Where rules are agreed: whether a request may be taken.
    rules: OnceCell<Rc<Rules>>,
}

/// Bounds on long requests.
#[derive(Clone, Copy, Debug)]
pub struct UploadLimits {
    /// How many may go on at once.
    pub at_once: usize,
    /// Bytes that they may hold together of what no backend has asked for yet.
    pub read_ahead_bytes: usize,
}

impl Frontend {
    /// A front for clients. `budget` counts sockets of clients and backends together; `serving` says
    /// whether clients are taken; `uploads` bounds long requests; for `grace` see
    /// [`crate::config::Config`].
    pub fn new(
        inbox: Inbox, generations: Generations, upstreams: Rc<Upstreams>, budget: usize,
        serving: Rc<Serving>, uploads: UploadLimits, grace: Duration,
    ) -> Rc<Self> {
        let diagnostics = upstreams.diagnostics().clone();
        Rc::new(Frontend {
            inbox,
            generations: RefCell::new(generations),
            upstreams,
            budget: Cell::new(budget),
            serving,
            next: Cell::new(0),
            open: Cell::new(0),
            busy: Cell::new(0),
            answering: Cell::new(0),
            uploading: Cell::new(0),
            uploads: uploads.at_once,
            read_ahead: ReadAheadBudget::new(uploads.read_ahead_bytes),
            grace,
            empty: Cell::new(Instant::now()),
            short: Cell::default(),
            standing: RefCell::default(),
            ids: OpenIds::default(),
            left: Notify::new(),
            diagnostics,
            rules: OnceCell::new(),
        })
    }

    /// From now on a request is taken only by agreed rules.
    pub fn agree(&self, rules: Rc<Rules>) {
        let _ = self.rules.set(rules); // once, at the start
    }

    /// Connections with a request that lacks its answer.
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Whether clients are taken.
    pub fn serving(&self) -> &Serving {
        &self.serving
    }

    /// Whether other settings could be put in force now.
    ///
    /// # Errors
    /// Where open requests hold too many classes.
    pub fn would_change(&self, settings: &Settings, names: &Names) -> Result<(), String> {
        self.generations.borrow().fits(settings, names)
    }

    /// Accepts and serves until `stop`, then finishes what has been taken.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let sweeper = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(SWEEP).await;
                sweeper.sweep();
                while sweeper.open.get() > sweeper.most() && sweeper.make_room(false) {}
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
        let longest = Duration::from_secs_f64(self.generations.borrow().longest().min(1e6) / 1000.0);
        let told = self.upstreams.view().arrived_at();
        self.inbox.put(Input::End(told + longest.min(self.grace) + LAST_ANSWER));
        // Where another process accepts from the same queue, nothing in it is lost: a newer one, or the one before while
        // this one has not served yet.
        let queue_is_anothers = !self.serving.accepts();
        // Idle connections close now: a request that crosses that comes again while connections still do.
        self.serving.stop();
        self.close_all(Stage::Idle);
        let end = Instant::now() + STAY;
        if queue_is_anothers {
            sleep(STAY).await; // what was accepted here just before may still be about to say something
        } else {
            while timeout_at(end, self.clone().accept(&listener)).await.is_ok() {}
            let end = Instant::now() + STAY; // a bound, should they never cease to come
            while Instant::now() < end && timeout(QUIET, self.clone().accept(&listener)).await.is_ok() {}
        }
        drop(listener);
        sleep(SILENT).await;
        self.close_all(Stage::Silent);
        let end = Instant::now() + longest + FINISH;
        while self.unfinished() > 0 {
            // A long answer that has begun is not cut off for as long as the process may live.
            let end = if self.answering.get() > 0 { end.max(Instant::now() + SWEEP) } else { end };
            if timeout_at(end, self.left.notified()).await.is_err() && self.answering.get() == 0 {
                return note!(warn: "ended with connections open");
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        // Over the budget one leaves for each that comes, and if none can, the next waits a little for it. To
        // let them wait on would age all that come, until their answers are too late.
        let most = self.most();
        if self.open.get() >= most {
            let late = self.empty.get().elapsed() >= QUEUE;
            if self.make_room(late) || !late {
                let _ = timeout(PAUSE, self.left.notified()).await;
                return;
            }
            match timeout(Duration::ZERO, listener.accept()).await {
                Ok(Ok(turned_away)) => drop(turned_away),
                Ok(Err(_)) => sleep(PAUSE).await,
                Err(_) => self.empty.set(Instant::now()),
            }
            return;
        }
        let next = tokio::select! {
            biased;
            next = listener.accept() => next,
            () = std::future::ready(()) => {
                let next = listener.accept().await;
                self.empty.set(self.upstreams.view().arrived_at()); // until this one came
                next
            }
        };
        match next {
            Ok((stream, _)) => {
                if self.open.get() >= most * 7 / 8 {
                    self.make_room(false);
                }
                let client = Client::new(self.number(), self.empty.get());
                self.set_open(self.open.get() + 1);
                self.busy.set(self.busy.get() + 1);
                self.turn(&client, Stage::Silent);
                tokio::task::spawn_local(async move {
                    self.connection(Socket::new(stream), &client).await;
                    self.turn(&client, Stage::Busy);
                    self.busy.set(self.busy.get() - 1);
                    self.set_open(self.open.get() - 1);
                    self.left.notify_waiters();
                });
            }
            Err(e) => self.accept_failed(&e).await,
        }
    }

    /// A connection could not be accepted. One that its own client gave up, or an interrupted call, is nothing that room
    /// would mend; where descriptors or buffers are short, idle connections go first, and clients give way only to a
    /// shortage that lasts.
    async fn accept_failed(&self, error: &io::Error) {
        note!(warn: "accept: {error}");
        if matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) {
            return;
        }
        if !retry::is_transient(error) {
            return sleep(PAUSE).await; // whatever it is, it may come at once again
        }
        let lasts = self.short.replace(Some(Instant::now())).is_some_and(|at| at.elapsed() < 3 * PAUSE);
        self.upstreams.close_idle();
        if lasts {
            self.make_room(false);
        }
        sleep(PAUSE).await;
    }

    /// Puts other settings in force for the requests that come from now on, and returns what the module has to be
    /// told before the first of them.
    ///
    /// # Errors
    /// Where open requests hold too many classes; nothing has changed then.
    pub fn change(&self, settings: &Settings, names: &Names) -> Result<Change, String> {
        self.generations.borrow_mut().change(settings, names)
    }

    /// Sets how many sockets clients and backends may hold together: two processes share them while both run.
    pub fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
        self.set_open(self.open.get());
        self.upstreams.shrink(budget / 4);
    }

    /// Notes how many connections there are, and how many sockets that leaves to backends.
    fn set_open(&self, open: usize) {
        self.open.set(open);
        self.upstreams.leave(self.budget.get().saturating_sub(open));
    }

    fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }
}

/// Listens on the one address.
pub fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // a restart finds old connections in TIME_WAIT
    socket.set_reuseport(true)?; // an upgrade's new process listens beside the old one
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}
