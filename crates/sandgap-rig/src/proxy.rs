//! Processes of proxies under test: configuration, signals, processor time and memory.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::discovery;
use crate::http::Conn;
use crate::limits::WAIT_TIMEOUT;
use crate::schedule::{GRACE_MS, Plan, RETIRED_CLASS, TENANTS};
use crate::system_faults::FaultLibrary;
use crate::world::World;
use sandgap_rules::Effect;

/// How a proxy is started: a program and its arguments. The environment variable NODE_CONFIG names its configuration.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
    /// The processor that it is bound to.
    pub cpu: Option<usize>,
    /// Whether it writes a trace beside its log; measurements run without one.
    pub traces: bool,
    /// Library that makes its system calls fail, if any.
    pub faults: Option<FaultLibrary>,
}

impl Program {
    /// A program that runs on any processor, with no system call failing.
    pub fn new(path: PathBuf, args: Vec<String>) -> Self {
        Program { path, args, cpu: None, traces: false, faults: None }
    }
}

/// A proxy process that did not behave as the scenario requires.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// It did not start.
    #[error("proxy {0} does not start: {1}; is it built? (cargo build --release)")]
    Start(usize, std::io::Error),
    /// It ended by itself.
    #[error("proxy {0} ended by itself ({1}); its log: {2}")]
    Ended(usize, String, PathBuf),
    /// It did not come up in time.
    #[error("proxy {0} is not up after {1:?}; its log: {2}")]
    NotUp(usize, Duration, PathBuf),
    /// It did not stop after SIGTERM.
    #[error("proxy {0} has not ended {1:?} after SIGTERM; its log: {2}")]
    NotEnded(usize, Duration, PathBuf),
}

/// The addresses of a proxy.
pub struct Place {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where it receives datagrams, the addresses of all proxies as seen by it, and the address that reaches all others.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)>,
    /// Addresses of discovery, among which it can be moved.
    pub discovery: discovery::Addresses,
}

/// A proxy under test.
pub struct Proxy {
    /// Its number.
    pub number: usize,
    /// Its addresses.
    pub place: Place,
    program: Program,
    folder: PathBuf,
    child: RefCell<Option<std::process::Child>>,
    starts: Cell<u64>,
    reloads: Cell<u64>,
    /// How often its discovery was moved.
    moves: Cell<usize>,
}

/// The settings object, in the form of the platform's first message.
pub fn settings(plan: &Plan, me: usize, peers: bool) -> Value {
    let class = |c: &crate::schedule::Class| {
        let mut value =
            json!({"name": c.name, "promise": c.aim_ms, "deadline": c.deadline_ms, "worth": c.worth});
        value["effect"] = match c.effect {
            Effect::Safe => "idempotent",
            Effect::Keyed(_) => "deduplicated",
            Effect::Unsafe => "at_most_once",
        }
        .into();
        if let Effect::Keyed(window) = c.effect {
            value["dedupScope"] = "cell".into();
            value["window"] = (window / 1000).into();
        }
        value
    };
    let rate =
        plan.requests.len() as f64 / (plan.requests.last().map_or(1.0, |r| r.at as f64 / 1e6)).max(0.1);
    let tenant = |(name, share): (&&str, f64)| json!({"name": name, "allowancePerS": rate * share * 1.5});
    json!({
        "myNumber": me,
        "nInstances": plan.proxies,
        "zone": "z",
        "zones": ["z"],
        "flavors": ["large", "small"],
        "discovery": if plan.asked { "on_request" } else { "pushed" },
        "weightSource": "nominal",
        "overShareWorth": 0.2,
        "accounts": TENANTS.iter().zip([0.72, 0.28]).map(tenant).collect::<Vec<_>>(),
        "classes": plan.classes.iter().chain(&plan.retired_class).map(class).collect::<Vec<_>>(),
        "ceilings": {"maxAttempts": 6, "dialTimeout": 250, "idleClose": 15000, "mayTell": peers,
            "cancel": true, "secondCopies": plan.second_copies},
        "rules": {"startCapacity": plan.cold.start, "cold": plan.cold.warm_ms, "fall": plan.cold.span_ms,
            "fallMultiple": plan.cold.multiple, "drainGrace": GRACE_MS},
    })
}

impl Proxy {
    /// A proxy whose process has not started.
    pub fn new(number: usize, place: Place, program: Program, folder: &Path) -> Rc<Self> {
        let (child, starts, reloads, moves) = Default::default();
        Rc::new(Proxy { number, place, program, folder: folder.to_owned(), child, starts, reloads, moves })
    }

    /// Starts its process; `known` is the list of backends as it last had it, as JSON.
    ///
    /// # Errors
    /// [`ProxyError::Start`].
    pub fn start(&self, world: &World, known: &str) -> Result<(), ProxyError> {
        let spawn = || {
            let start = self.starts.replace(self.starts.get() + 1);
            let seed =
                world.plan.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (start << 8) ^ self.number as u64;
            let mut config = json!({
                "name": format!("n{}", self.number),
                "listen": self.place.listen,
                "discovery": self.discovery(),
                "seed": format!("{seed:016x}"),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": serde_json::from_str::<Value>(known).unwrap_or(Value::Null),
                "settings": settings(&world.plan, self.number, self.place.peers.is_some()),
            });
            if let Some((listen, peers, all)) = &self.place.peers {
                config["peer_listen"] = json!(listen);
                config["peers"] = json!(peers);
                config["peers_all"] = json!(all);
            }
            let path = self.folder.join(format!("n{}.json", self.number));
            std::fs::write(&path, config.to_string())?;
            let log = File::options().create(true).append(true).open(self.log())?;
            let mut command = Command::new(&self.program.path);
            command.args(&self.program.args).env("NODE_CONFIG", &path).stdin(Stdio::null());
            command.stdout(log.try_clone()?).stderr(log);
            if self.program.traces {
                command.env("SANDGAP_TRACE", self.folder.join(format!("n{}.trace", self.number)));
            }
            if let Some(faults) = &self.program.faults {
                faults.load_into(&mut command, seed);
            }
            let child = command.spawn()?;
            if let (Some(cpu), Some(pid)) = (self.program.cpu, Pid::from_raw(child.id() as i32)) {
                let mut set = rustix::thread::CpuSet::new();
                set.set(cpu);
                rustix::thread::sched_setaffinity(Some(pid), &set)?;
            }
            *self.child.borrow_mut() = Some(child);
            Ok(())
        };
        spawn().map_err(|e| ProxyError::Start(self.number, e))
    }

    /// The address of discovery in its configuration.
    fn discovery(&self) -> SocketAddr {
        self.place.discovery[self.moves.get() % self.place.discovery.len()]
    }

    /// Rewrites its configuration with another worth and another idle time, and sends SIGHUP.
    ///
    /// # Errors
    /// [`ProxyError::Start`], if the file can't be written.
    pub fn reload(&self) -> Result<(), ProxyError> {
        let reloads = self.reloads.replace(self.reloads.get() + 1);
        self.reconfigure(|config| {
            config["settings"]["classes"][0]["worth"] = json!(1.0 + (reloads % 3) as f64);
            config["settings"]["ceilings"]["idleClose"] = json!(15_000 - reloads % 2 * 5000);
        })
    }

    /// Rewrites its configuration without the retired class, and sends SIGHUP.
    ///
    /// # Errors
    /// [`ProxyError::Start`], if the file can't be written.
    pub fn drop_retired_class(&self) -> Result<(), ProxyError> {
        self.reconfigure(|config| {
            if let Some(classes) = config["settings"]["classes"].as_array_mut() {
                classes.retain(|class| class["name"] != RETIRED_CLASS);
            }
        })
    }

    /// Rewrites its configuration with another address of discovery, and sends SIGHUP. Discovery remains reachable at the old
    /// address.
    ///
    /// # Errors
    /// [`ProxyError::Start`], if the file can't be written.
    pub fn move_discovery(&self) -> Result<(), ProxyError> {
        self.moves.set(self.moves.get() + 1);
        self.reconfigure(|config| config["discovery"] = json!(self.discovery()))
    }

    /// Changes its configuration file and sends SIGHUP.
    fn reconfigure(&self, change: impl FnOnce(&mut Value)) -> Result<(), ProxyError> {
        let path = self.folder.join(format!("n{}.json", self.number));
        let write = || {
            let mut config: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
            change(&mut config);
            std::fs::write(&path, config.to_string())
        };
        write().map_err(|e: std::io::Error| ProxyError::Start(self.number, e))?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Path of its log.
    pub fn log(&self) -> PathBuf {
        self.folder.join(format!("n{}.log", self.number))
    }

    /// Waits until `GET /up` returns 200.
    ///
    /// # Errors
    /// [`ProxyError::NotUp`] or [`ProxyError::Ended`].
    pub async fn wait_until_up(&self, world: &World) -> Result<(), ProxyError> {
        let wait = async {
            loop {
                if let Some(end) = self.exit_status() {
                    return Err(ProxyError::Ended(self.number, end, self.log()));
                }
                if self.is_up(world).await {
                    return Ok(());
                }
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(WAIT_TIMEOUT, wait).await.unwrap_or(Err(ProxyError::NotUp(
            self.number,
            WAIT_TIMEOUT,
            self.log(),
        )))
    }

    async fn is_up(&self, world: &World) -> bool {
        let Ok(stream) = TcpStream::connect(self.place.listen).await else { return false };
        let mut conn = Conn::new(stream);
        let asked = conn.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await;
        asked.is_ok() && conn.answer(&world.clock).await.is_ok_and(|a| a.status() == 200)
    }

    /// The exit status of its process, if it has ended.
    pub fn exit_status(&self) -> Option<String> {
        let mut child = self.child.borrow_mut();
        child.as_mut().and_then(|c| c.try_wait().ok().flatten()).map(|s| s.to_string())
    }

    /// Waits for the end of its process after SIGTERM.
    ///
    /// # Errors
    /// [`ProxyError::NotEnded`].
    pub async fn wait_until_ended(&self) -> Result<(), ProxyError> {
        let wait = async {
            while self.exit_status().is_none() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(WAIT_TIMEOUT, wait)
            .await
            .map_err(|_| ProxyError::NotEnded(self.number, WAIT_TIMEOUT, self.log()))
    }

    /// Sends a signal to its process, if there is one.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.borrow();
        if let Some(pid) = child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32)) {
            let _ = kill_process(pid, signal); // the process may just have ended
        }
    }

    /// Kills its process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Processor time of its process so far, ms: user and system together.
    pub fn cpu_ms(&self) -> f64 {
        let child = self.child.borrow();
        child.as_ref().map_or(0.0, cpu_ns) / 1e6
    }

    /// Peak of its resident memory, KiB.
    pub fn peak_kib(&self) -> u64 {
        let child = self.child.borrow();
        child.as_ref().map_or(0, |child| crate::process::usage(child.id()).peak_kib)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.signal(Signal::CONT); // a suspended process, too
        self.kill();
    }
}

/// Processor time of a process so far, ns: user and system together (proc(5), schedstat).
pub fn cpu_ns(child: &std::process::Child) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/schedstat", child.id())).unwrap_or_default();
    text.split(' ').next().and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0)
}
