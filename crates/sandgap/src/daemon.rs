//! The daemon: one proxy from its configuration until it has finished.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use wharfhitch::{Balancer, Discovery, Rating, Scope, ZoneId};

use crate::beliefs::Beliefs;
use crate::config::{Config, Source};
use crate::diagnostics::{Diagnostics, Event};
use crate::driver::{Driver, Parts};
use crate::event::{Host, Inbox, Input};
use crate::front::{Frontend, UploadLimits};
use crate::generation::Generations;
use crate::handover::{self, Taken, Upgrade};
use crate::rules::{self, Rules};
use crate::serving::Serving;
use crate::upstream::Upstreams;
use crate::view::View;
use crate::{admin, body, change, discovery, front, load, note, peers, retry};

/// Descriptors for all but clients and backends: standard streams, runtime, signals, listener, UDP, watch, and
/// those who call by hand.
const RESERVE: usize = 32;
const _: () = assert!(admin::CALLERS < RESERVE - 12);
/// Part of the memory that long requests may hold together, as 1 over it.
const MEMORY_PART: usize = 4;
/// Bytes that a long request holds at most: the part that is kept, and a chunk on each side.
const UPLOAD: usize = body::WHOLE + 2 * (32 << 10);
/// Part of the memory, as 1 over it, into which they may read ahead besides, while they wait for a backend.
const READ_AHEAD_PART: usize = 8;
/// The environment's variable that names a file for the trace of events.
const TRACE: &str = "SANDGAP_TRACE";
/// What a reload changes.
struct Reload {
    path: PathBuf,
    /// The platform's file in force.
    shape: Value,
    fixed: Fixed,
    discovery: Option<watch::Sender<SocketAddr>>,
    inbox: Inbox,
    front: Rc<Frontend>,
    upstreams: Rc<Upstreams>,
    /// Rules are the fleet's to change, and no file's.
    agreed: bool,
}

/// What stays as it was at the start.
#[derive(PartialEq)]
struct Fixed {
    listen: SocketAddr,
    sockets: usize,
    proxy: (u32, u32, Option<ZoneId>),
    lists: (Discovery, Rating),
    may_tell: bool,
}

impl Fixed {
    fn of(config: &Config) -> Self {
        let s = &config.settings;
        Fixed {
            listen: config.listen,
            sockets: config.sockets,
            proxy: (s.me, s.proxies, s.zone),
            lists: (s.discovery, s.rating),
            may_tell: s.may_tell,
        }
    }
}

impl Reload {
    /// At each SIGHUP reads the configuration's file again, and uses all of it or none.
    async fn run(mut self, mut hup: Signal) {
        while hup.recv().await.is_some() {
            if let Err(e) = load::read(&self.path).and_then(|config| self.take(config)) {
                note!(warn: "the configuration stays as it was: {e}");
            }
        }
    }

    fn take(&mut self, config: Config) -> Result<(), String> {
        // sandgap's own settings have been checked whole by their schema.
        if !self.shape.is_null() {
            change::check(&self.shape, &config.shape)?;
        }
        if matches!(config.source, Source::Discovery(_)) != self.discovery.is_some() {
            return Err("a change between discovery and a fixed list needs a new start".into());
        }
        if self.agreed {
            note!(
                "the fleet agrees on rules: 'sandgap fleet publish' changes them; of the file connections' times count"
            );
            self.upstreams.change(&config.connections);
            return Ok(());
        }
        let change = self.front.change(&config.settings, &config.names)?;
        if Fixed::of(&config) != self.fixed {
            note!(warn: "listen, limits, number, zone, discovery's way, weights and peers need a new start; they stay");
        }
        note!("settings in force: classes {}", config.names.classes.join(", "));
        self.inbox.put(Input::Change(Box::new(change)));
        self.upstreams.change(&config.connections);
        self.shape = config.shape;
        match (config.source, &self.discovery) {
            (Source::Discovery(address), Some(discovery)) => {
                note!("the configuration names discovery at {address}");
                discovery.send_if_modified(|old| std::mem::replace(old, address) != address);
            }
            (Source::Fixed(hosts), _) => {
                note!("the configuration names {} backends", hosts.len());
                self.inbox.put(Input::List(Scope::Full, hosts));
            }
            (Source::Discovery(_), None) => {}
        }
        Ok(())
    }
}

/// Counts and traces what the process is doing.
async fn note_states(serving: Rc<Serving>, diagnostics: Rc<Diagnostics>) {
    let mut changes = serving.changes();
    loop {
        let state = serving.state().name();
        diagnostics.count(Event::State, state);
        diagnostics.trace("state", || json!({"state": state}));
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// What discovery had told counts from a process's first moment: the remembered list, which may be older, is offered only
/// once discovery has been silent for `patience`.
async fn offer_remembered(hosts: Vec<Host>, patience: Duration, inbox: Inbox) {
    if !hosts.is_empty() {
        tokio::time::sleep(patience).await;
        inbox.put(Input::Remembered(hosts));
    }
}

async fn run(path: PathBuf, config: Config) -> Result<(), String> {
    let at = |what: &str| {
        let what = what.to_owned();
        move |e: std::io::Error| format!("{what}: {e}")
    };
    let mut term = signal(SignalKind::terminate()).map_err(at("SIGTERM"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(at("SIGINT"))?;
    let hup = signal(SignalKind::hangup()).map_err(at("SIGHUP"))?;
    let serving = Rc::new(Serving::default());
    let diagnostics = Diagnostics::new(std::env::var_os(TRACE).map(PathBuf::from).as_deref());
    spawn_local(note_states(serving.clone(), diagnostics.clone()));
    let taken = match config.upgrade.as_ref().filter(|_| config.listen.port() != 0) {
        Some(directory) => handover::take(&handover::path(directory, config.listen), config.listen).await,
        None => None,
    };
    let (listener, datagrams, older) = match taken {
        Some(Taken { listener, datagrams, stream }) => {
            note!("upgrade: taking over from the process before");
            serving.hold();
            (listener, datagrams, Some(stream))
        }
        None => {
            let on = format!("listen on {}", config.listen);
            let listener = retry::until_had(&on, || front::listen(config.listen)).await;
            (listener.map_err(at(&on))?, None, None)
        }
    };
    let shared = listener.try_clone().map_err(at("the listener"))?;
    let listener = TcpListener::from_std(listener).map_err(at("the listener"))?;
    if let Some(listener) = match config.admin {
        Some(address) => admin::listen(address).await,
        None => None,
    } {
        spawn_local(admin::serve(listener, serving.clone(), diagnostics.clone()));
    }
    let (inbox, inputs) = Inbox::new();
    let (discovery, addresses) = match &config.source {
        Source::Discovery(address) => Some(watch::channel(*address)).unzip(),
        Source::Fixed(_) => (None, None),
    };
    let fixed = Fixed::of(&config);
    let peers = match config.peers {
        Some(addresses) => {
            let on = format!("peers on {}", addresses.listen);
            let reads = datagrams.is_none(); // else the process before reads until this one serves
            let socket = match datagrams {
                Some(handed) => handed,
                None => retry::until_had(&on, || peers::bind(addresses.listen)).await.map_err(at(&on))?,
            };
            let peers = peers::Peers::new(addresses, config.settings.me, socket, reads).map_err(at(&on))?;
            spawn_local(peers.clone().listen(inbox.clone()));
            Some(peers)
        }
        None => None,
    };
    let budget = config.sockets - RESERVE;
    let view = Rc::new(View::default());
    // The module sends to a backend only while it has a free slot there, but clients come as they like: most
    // of the budget is theirs.
    let upstreams =
        Rc::new(Upstreams::new(&config.connections, budget / 4, diagnostics.clone(), view.clone()));
    let asked = Rc::new(Notify::new());
    let parts = Parts {
        inbox: inbox.clone(),
        backs: vec![upstreams.clone()],
        peers: peers.clone(),
        discovery: addresses.clone(),
        watch: asked.clone(),
        serving: serving.clone(),
        diagnostics: diagnostics.clone(),
        view,
    };
    let (fleet, base) = (config.fleet, config.settings.clone());
    let generations = Generations::new(&config.settings, &config.names);
    let pushed = config.settings.discovery == wharfhitch::Discovery::Pushed;
    let balancer = Balancer::new(config.settings, config.seed);
    let driver =
        spawn_local(Driver::new(balancer, config.names, parts, Beliefs::new(config.metrics)).run(inputs));
    match config.source {
        Source::Fixed(hosts) => inbox.put(Input::List(Scope::Full, hosts)),
        Source::Discovery(_) => {
            inbox.put(Input::List(Scope::Cached, Vec::new())); // the module's clock begins
            let remembered = discovery::parse_remembered(&config.known).unwrap_or_default();
            spawn_local(offer_remembered(
                remembered,
                discovery::remembered_list_delay(pushed),
                inbox.clone(),
            ));
        }
    }
    if let Some(addresses) = addresses {
        spawn_local(discovery::follow(addresses, inbox.clone(), (!pushed).then_some(asked)));
    }
    let uploads = UploadLimits {
        at_once: config.memory / MEMORY_PART / UPLOAD,
        read_ahead_bytes: config.memory / READ_AHEAD_PART,
    };
    let address = listener.local_addr().map_err(at("the listener"))?;
    let front = front::Frontend::new(
        inbox.clone(),
        generations,
        upstreams.clone(),
        budget,
        serving.clone(),
        uploads,
        config.grace,
    );
    let (shape, reloaded) = (config.shape, front.clone());
    let agreed = fleet.is_some();
    let from_discovery = discovery.is_some();
    let reload =
        Reload { path, shape, fixed, discovery, inbox: inbox.clone(), front: reloaded, upstreams, agreed };
    spawn_local(reload.run(hup));
    let agreed_inbox = inbox.clone();
    if let Some(directory) = config.upgrade {
        let path = handover::path(&directory, address);
        let front = front.clone();
        let upgrade = Upgrade { path, listener: shared, serving, inbox, peers, front, budget };
        spawn_local(upgrade.run(older));
    }
    let rules = fleet.map(|fleet| {
        let rules = Rules::new(rules::runtime::agent(&fleet), fleet.terms.span.bound, fleet.header.clone());
        front.agree(rules.clone());
        let (inbox, front) = (agreed_inbox, front.clone());
        let parts =
            rules::runtime::Parts { rules: rules.clone(), front, inbox, base, discovery: from_discovery };
        spawn_local(rules::runtime::serve(parts, fleet));
        rules
    });
    note!("{} listens on {address}", config.name);
    let stop = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        if let Some(rules) = rules {
            spawn_local(async move { rules::runtime::retire(&rules).await });
        }
    };
    // Without its module a proxy could only fail everything: then it is better dead and started anew.
    // A task of its own: what is polled right here is polled whenever any task has run.
    let front = spawn_local(front.serve(listener, stop));
    let ended = tokio::select! {
        end = front => end.map_err(|e| format!("the front has ended: {e}")),
        end = driver => Err(format!("the driver has ended: {end:?}")),
    };
    note!("events: {}", diagnostics.summary());
    ended
}

/// Runs one proxy by the configuration in `path` until it is told to stop and has finished what it took.
///
/// # Errors
/// A configuration that can't be read, an address that can't be used, or the end of the driver, in a text that
/// names what is wrong.
pub fn serve(path: PathBuf) -> Result<(), String> {
    let config = load::read(&path)?;
    let runtime =
        retry::until_had_blocking(|| tokio::runtime::Builder::new_current_thread().enable_all().build());
    let runtime = runtime.map_err(|e| format!("the runtime: {e}"))?;
    let outcome = LocalSet::new().block_on(&runtime, run(path, config));
    runtime.shutdown_background();
    outcome
}
