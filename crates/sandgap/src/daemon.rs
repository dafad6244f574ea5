//! The daemon: runs one proxy from its configuration to the end of its shutdown.

use std::cell::RefCell;
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

use crate::config::{Config, Source};
use crate::diagnostics::{Diagnostics, Event};
use crate::driver::{Dependencies, Driver};
use crate::event::{Host, Input, InputSender};
use crate::front::Frontend;
use crate::generation::Generations;
use crate::handover::{self, ReceivedSockets, Upgrade};
use crate::limit_report::LimitReport;
use crate::memory::Memory;
use crate::rules::{self, Rules};
use crate::serving::Serving;
use crate::upstream::Upstreams;
use crate::view::View;
use crate::{admin, change, discovery, front, load, note, peers, retry};

/// Descriptors reserved for everything except clients and backends: standard streams, runtime, signals, listener, UDP,
/// the discovery watch and admin calls.
const RESERVED_DESCRIPTORS: usize = 32;
const _: () = assert!(admin::MAX_CALLERS < RESERVED_DESCRIPTORS - 12);
/// Environment variable that names a file for the event trace.
const TRACE_VARIABLE: &str = "SANDGAP_TRACE";

/// The state that a reload reads and changes.
struct Reload {
    path: PathBuf,
    /// The platform's file in force, or null for sandgap's own settings.
    platform_file: Value,
    restart_only: RestartOnly,
    discovery: Option<watch::Sender<SocketAddr>>,
    input_sender: InputSender,
    front: Rc<Frontend>,
    upstreams: Rc<Upstreams>,
    /// Whether rules are agreed by the fleet, so that no file changes them.
    agreed: bool,
}

/// Settings that only a restart changes.
#[derive(PartialEq)]
struct RestartOnly {
    listen: SocketAddr,
    sockets: usize,
    proxy: (u32, u32, Option<ZoneId>),
    lists: (Discovery, Rating),
    may_tell: bool,
}

impl RestartOnly {
    fn of(config: &Config) -> Self {
        let s = &config.settings;
        RestartOnly {
            listen: config.listen,
            sockets: config.sockets,
            proxy: (s.proxy_index, s.proxies, s.zone),
            lists: (s.discovery, s.rating),
            may_tell: s.messages_allowed,
        }
    }
}

impl Reload {
    /// Reads the configuration file again at each SIGHUP, and applies all of it or nothing.
    async fn run(mut self, mut hup: Signal) {
        while hup.recv().await.is_some() {
            if let Err(e) = load::read(&self.path).and_then(|config| self.apply(config)) {
                note!(warn: "the configuration stays as it was: {e}");
            }
        }
    }

    fn apply(&mut self, config: Config) -> Result<(), String> {
        // sandgap's own settings are checked completely by their schema.
        if !self.platform_file.is_null() {
            change::check(&self.platform_file, &config.platform_file)?;
        }
        if matches!(config.source, Source::Discovery(_)) != self.discovery.is_some() {
            return Err("a change between discovery and a fixed list needs a restart".into());
        }
        if self.agreed {
            note!(
                "the fleet agrees on the rules: 'sandgap fleet publish' changes them; only the file's connection \
                 timeouts apply"
            );
            self.upstreams.change(&config.connections);
            return Ok(());
        }
        let change = self.front.change(&config.settings, &config.names)?;
        if RestartOnly::of(&config) != self.restart_only {
            note!(warn:
                "changes of listen address, limits, proxy number, zone, discovery mode, weights and peers \
                 need a new start; they stay"
            );
        }
        note!("settings in force: classes {}", config.names.classes.join(", "));
        self.input_sender.send(Input::Change(Box::new(change)));
        self.upstreams.change(&config.connections);
        self.platform_file = config.platform_file;
        match (config.source, &self.discovery) {
            (Source::Discovery(address), Some(discovery)) => {
                note!("the configuration names discovery at {address}");
                discovery.send_if_modified(|old| std::mem::replace(old, address) != address);
            }
            (Source::Fixed(hosts), _) => {
                note!("the configuration names {} backends", hosts.len());
                self.input_sender.send(Input::List(Scope::Full, hosts));
            }
            (Source::Discovery(_), None) => {}
        }
        Ok(())
    }
}

/// Counts and traces each serving state.
async fn record_states(serving: Rc<Serving>, diagnostics: Rc<Diagnostics>) {
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

/// Offers the remembered list once discovery has been silent for `delay`. It waits because discovery's own list counts
/// from the start of a process, and the remembered one may be older.
async fn offer_remembered(hosts: Vec<Host>, delay: Duration, input_sender: InputSender) {
    if !hosts.is_empty() {
        tokio::time::sleep(delay).await;
        input_sender.send(Input::PreviousList(hosts));
    }
}

async fn run(path: PathBuf, config: Config) -> Result<(), String> {
    let context = |what: &str| {
        let what = what.to_owned();
        move |e: std::io::Error| format!("{what}: {e}")
    };
    let mut term = signal(SignalKind::terminate()).map_err(context("SIGTERM"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(context("SIGINT"))?;
    let hup = signal(SignalKind::hangup()).map_err(context("SIGHUP"))?;
    let serving = Rc::new(Serving::default());
    let diagnostics = Diagnostics::new(std::env::var_os(TRACE_VARIABLE).map(PathBuf::from).as_deref());
    spawn_local(record_states(serving.clone(), diagnostics.clone()));
    let taken = match config.upgrade.as_ref().filter(|_| config.listen.port() != 0) {
        Some(directory) => {
            handover::request_sockets(&handover::path(directory, config.listen), config.listen).await
        }
        None => None,
    };
    let (listener, datagrams, older, ids) = match taken {
        Some(ReceivedSockets { listener, datagrams, stream, ids }) => {
            note!("upgrade: taking over from the process before");
            serving.wait_for_older();
            (listener, datagrams, Some(stream), ids)
        }
        None => {
            let on = format!("listen on {}", config.listen);
            let listener = retry::retry_transient(&on, || front::listen(config.listen)).await;
            (listener.map_err(context(&on))?, None, None, None)
        }
    };
    let shared = listener.try_clone().map_err(context("the listener"))?;
    let listener = TcpListener::from_std(listener).map_err(context("the listener"))?;
    if let Some(listener) = match config.admin {
        Some(address) => admin::listen(address).await,
        None => None,
    } {
        spawn_local(admin::serve(listener, serving.clone(), diagnostics.clone()));
    }
    let (input_sender, inputs) = InputSender::new();
    let (discovery, addresses) = match &config.source {
        Source::Discovery(address) => Some(watch::channel(*address)).unzip(),
        Source::Fixed(_) => (None, None),
    };
    let restart_only = RestartOnly::of(&config);
    let peers = match config.peers {
        Some(addresses) => {
            let on = format!("peers on {}", addresses.listen);
            let reads = datagrams.is_none(); // otherwise the older process reads until this one serves
            let socket = match datagrams {
                Some(handed) => handed,
                None => retry::retry_transient(&on, || peers::bind(addresses.listen))
                    .await
                    .map_err(context(&on))?,
            };
            let peers = peers::Peers::new(addresses, config.settings.proxy_index, socket, reads)
                .map_err(context(&on))?;
            spawn_local(peers.clone().receive(input_sender.clone()));
            Some(peers)
        }
        None => None,
    };
    let budget = config.sockets - RESERVED_DESCRIPTORS;
    let view = Rc::new(View::default());
    let memory = Memory::new(config.memory_bytes, config.upgrade.is_some());
    // The decision library sends to a backend only while it has a free slot there, but the number of clients is not
    // controlled, so they get most of the budget.
    let upstreams = Rc::new(Upstreams::new(
        &config.connections,
        budget / 4,
        diagnostics.clone(),
        view.clone(),
        memory.clone(),
    ));
    let asked = Rc::new(Notify::new());
    let lists = discovery::ListReader::new(memory.gauge.clone(), diagnostics.clone());
    let dependencies = Dependencies {
        input_sender: input_sender.clone(),
        pools: vec![upstreams.clone()],
        peers: peers.clone(),
        discovery: addresses.clone(),
        subscribe: asked.clone(),
        serving: serving.clone(),
        diagnostics: diagnostics.clone(),
        view,
        lists: lists.clone(),
    };
    let (fleet, base) = (config.fleet, config.settings.clone());
    let generations = Generations::new(&config.settings, &config.names);
    let pushed = config.settings.discovery == wharfhitch::Discovery::Pushed;
    let balancer = Balancer::new(config.settings, config.seed);
    let driver = spawn_local(
        Driver::new(balancer, config.names, dependencies, LimitReport::new(config.metrics)).run(inputs),
    );
    match config.source {
        Source::Fixed(hosts) => input_sender.send(Input::List(Scope::Full, hosts)),
        Source::Discovery(_) => {
            input_sender.send(Input::List(Scope::Cached, Vec::new())); // starts the decision library's clock
            let remembered = lists.parse_remembered(&config.remembered_list).unwrap_or_default();
            spawn_local(offer_remembered(
                remembered,
                discovery::remembered_list_delay(pushed),
                input_sender.clone(),
            ));
        }
    }
    if let Some(addresses) = addresses {
        let asked = (!pushed).then_some(asked);
        spawn_local(discovery::follow(addresses, lists.clone(), input_sender.clone(), asked));
    }
    let address = listener.local_addr().map_err(context("the listener"))?;
    let front = front::Frontend::new(
        input_sender.clone(),
        generations,
        upstreams.clone(),
        budget,
        serving.clone(),
        memory,
        config.grace,
    );
    if let Some(ids) = ids {
        // Before the first request is accepted.
        front.request_ids().link(ids);
        front.request_ids().receive_snapshots().await;
    }
    let (platform_file, reloaded) = (config.platform_file, front.clone());
    let agreed = fleet.is_some();
    let from_discovery = discovery.is_some();
    let reload = Reload {
        path,
        platform_file,
        restart_only,
        discovery,
        input_sender: input_sender.clone(),
        front: reloaded,
        upstreams,
        agreed,
    };
    spawn_local(reload.run(hup));
    let agreed_input_sender = input_sender.clone();
    if let Some(directory) = config.upgrade {
        let path = handover::path(&directory, address);
        let front = front.clone();
        let listener = RefCell::new(Some(shared));
        let upgrade = Upgrade { path, listener, serving, input_sender, peers, front, budget };
        spawn_local(upgrade.run(older));
    }
    let rules = fleet.map(|fleet| {
        let rules =
            Rules::new(rules::runtime::agent(&fleet), fleet.timing.lease_bound.bound, fleet.header.clone());
        front.set_rules(rules.clone());
        let (input_sender, front) = (agreed_input_sender, front.clone());
        let dependencies = rules::runtime::Dependencies {
            rules: rules.clone(),
            front,
            input_sender,
            base,
            discovery: from_discovery,
        };
        spawn_local(rules::runtime::serve(dependencies, fleet));
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
    // If the driver ends, the proxy could only fail every request, so the process ends and is restarted. The front is
    // a separate task, because a future polled here is polled whenever any task has run.
    let front = spawn_local(front.serve(listener, stop));
    let ended = tokio::select! {
        end = front => end.map_err(|e| format!("the front has ended: {e}")),
        end = driver => Err(format!("the driver has ended: {end:?}")),
    };
    note!("events: {}", diagnostics.summary());
    ended
}

/// Runs one proxy with the configuration in `path` until it is told to stop and has finished its requests.
///
/// # Errors
/// A text that names the problem: a configuration that can't be read, an address that can't be used, or the end of the
/// driver.
pub fn serve(path: PathBuf) -> Result<(), String> {
    let config = load::read(&path)?;
    let runtime = retry::retry_transient_blocking(|| {
        tokio::runtime::Builder::new_current_thread().enable_all().build()
    });
    let runtime = runtime.map_err(|e| format!("the runtime: {e}"))?;
    let outcome = LocalSet::new().block_on(&runtime, run(path, config));
    runtime.shutdown_background();
    outcome
}
