//! A fleet of real processes that agree on their rules, under network faults between them, paused and killed processes,
//! continuous publications, and load on every proxy. The checks use what the backends received.

pub mod cost;
pub mod net;
mod outs;
pub mod plan;
pub mod site;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use sandgap_rules::{Acted, Agreement, Outs};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::clock::{Clock, Micros};
use crate::http::Conn;
use crate::run::{Folder, RunError};
use crate::world::Addresses;
use net::Net;
use plan::{Fault, Size};
use site::{CLASSES, DEADLINE, Site, VERSION_HEADER};

/// The time that a backend takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// What sockets and schedulers may cost, beyond the machine's measured stalls, µs.
const SLACK_US: Micros = 100_000;
/// How long after the deadline an answer may come.
const LATE_MARGIN: Duration = Duration::from_millis(500);
/// The longest wait for any condition; long, because the machine may be loaded.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The `max_attempts` of the first publication. Each later publication has the next value, which identifies it.
const FIRST_MAX_ATTEMPTS: u64 = 1;
/// The largest `max_attempts` that a settings file allows, and so the most publications in a run.
const MAX_ATTEMPTS_LIMIT: u64 = 100;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEnd {
    /// 200.
    Served,
    /// 503.
    Refused,
    /// Another status.
    Failed,
    /// The connection ended without an answer, at a proxy that was killed, paused, or not running.
    Broken,
    /// The connection ended without an answer, at a proxy under no fault.
    Lost,
    /// No answer by the deadline and the margin after it, at a proxy under no fault and without stalls of the machine.
    Late,
}

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The number of requests with each end.
    pub ends: BTreeMap<RequestEnd, u64>,
    /// The number of versions that requests were sent under.
    pub versions: u64,
    /// The number of versions that a publisher was told to be in force.
    pub acknowledged: u64,
    /// The longest time that two contradicting versions were acted on together, µs.
    pub longest_overlap: Micros,
    /// The limit for that time: the bound T, the slack, and the machine's longest stall, µs.
    pub allowed_overlap: Micros,
    /// How often a holder was told that its backend is empty, and the most backends out at once.
    pub outs: (u64, usize),
    /// The time from the last publication, without faults, until the last proxy sent a request under it, ms.
    pub switch_ms: f64,
    /// Bytes per second between proxies, divided by the number of proxies.
    pub bytes_per_proxy: f64,
    /// Descriptions of the failed checks.
    pub broken: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "seed {}: {} versions, {} acknowledged, longest contradiction {:.1} ms ({:.0} allowed), last change after {:.0} ms, \
             {:.0} bytes/s per proxy, {:?}",
            self.seed,
            self.versions,
            self.acknowledged,
            self.longest_overlap as f64 / 1000.0,
            self.allowed_overlap as f64 / 1000.0,
            self.switch_ms,
            self.bytes_per_proxy,
            self.ends
        )?;
        if self.outs.0 > 0 {
            write!(f, ", {} backends taken out, at most {} at once", self.outs.0, self.outs.1)?;
        }
        self.broken.iter().take(5).try_for_each(|b| write!(f, "\n  {b}"))
    }
}

struct Run {
    size: Size,
    seed: u64,
    clock: Clock,
    site: Site,
    net: Rc<Net>,
    agreement: RefCell<Agreement>,
    /// How often each unsafe request ran, by request ID.
    unsafe_runs: RefCell<BTreeMap<String, u32>>,
    ends: RefCell<BTreeMap<RequestEnd, u64>>,
    /// Whether each proxy is under a fault of its process at present.
    under_fault: RefCell<Vec<bool>>,
    /// When each proxy's last fault ended.
    healthy_since: RefCell<Vec<Micros>>,
    load: Cell<bool>,
    requests_sent: Cell<u64>,
    last_max_attempts: Cell<u64>,
    /// The latest version that each proxy has sent a request under, and when it first did.
    acting: RefCell<Vec<(u64, Micros)>>,
    broken: RefCell<Vec<String>>,
    outs: RefCell<Outs>,
    /// Backends are still being taken out.
    holders_go_on: Cell<bool>,
    /// Holders, and the task that halts them, that have not finished.
    active_holders: Cell<usize>,
    /// The versions that a publisher was told to be in force, with their `max_attempts`.
    acknowledged: RefCell<BTreeMap<u64, u64>>,
}

/// Parses the output of `fleet publish`: the version that is in force.
pub(crate) fn in_force(said: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(said);
    text.trim().strip_prefix("version ")?.strip_suffix(" is in force")?.parse().ok()
}

/// Runs a program under the faults that a seed draws.
///
/// # Errors
/// Whatever prevents a verdict.
pub fn run(program: &Path, size: Size, seed: u64) -> Result<(Report, Folder), RunError> {
    run_plan(program, size, seed, plan::draw(&size, seed))
}

/// Runs a program under the given faults, each with its time from the start.
///
/// # Errors
/// See [`run`].
pub fn run_plan(
    program: &Path, size: Size, seed: u64, plan: Vec<(Duration, Fault)>,
) -> Result<(Report, Folder), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut folder = Folder::new(&format!("fleet-{}-{seed:x}", std::process::id()))?;
    let report = LocalSet::new().block_on(&runtime, run_to_end(program, size, seed, plan, &folder));
    if report.as_ref().map_or(true, |r| !r.broken.is_empty()) {
        folder.keep();
    }
    Ok((report?, folder))
}

async fn run_to_end(
    program: &Path, size: Size, seed: u64, plan: Vec<(Duration, Fault)>, folder: &Folder,
) -> Result<Report, RunError> {
    let nodes = size.voters + size.observers;
    let addresses = Addresses::default();
    let draw = |n: usize| (0..n).map(|_| addresses.draw()).collect::<std::io::Result<Vec<_>>>();
    let (listen, fleet) = (draw(nodes)?, draw(nodes)?);
    let net = Net::start(&fleet).await?;
    let mut listeners = Vec::new();
    for _ in 0..size.backends {
        listeners.push(TcpListener::bind("127.0.0.1:0").await?);
    }
    let backends = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<Vec<_>>>()?;
    let site = Site::new(program, &folder.path, size, listen, fleet, backends);
    site.prepare(&net)?;
    let run = Rc::new(Run {
        size,
        seed,
        clock: Clock::default(),
        site,
        net,
        agreement: RefCell::default(),
        unsafe_runs: RefCell::default(),
        ends: RefCell::default(),
        under_fault: RefCell::new(vec![false; nodes]),
        healthy_since: RefCell::new(vec![0; nodes]),
        load: Cell::new(true),
        requests_sent: Cell::new(0),
        last_max_attempts: Cell::new(FIRST_MAX_ATTEMPTS),
        acting: RefCell::new(vec![(0, 0); nodes]),
        broken: RefCell::default(),
        outs: RefCell::new(Outs::new(size.bound_out)),
        holders_go_on: Cell::new(false),
        active_holders: Cell::new(0),
        acknowledged: RefCell::default(),
    });
    spawn_local(run.clock.clone().watch());
    for (n, listener) in listeners.into_iter().enumerate() {
        spawn_local(run.clone().backend(n, listener));
    }
    run.run_to_end(plan).await
}

impl Run {
    async fn run_to_end(self: Rc<Self>, plan: Vec<(Duration, Fault)>) -> Result<Report, RunError> {
        let nodes = self.site.listen.len();
        for n in 0..nodes {
            self.site.start(n)?;
        }
        // All proxies join before the first version: a publication doesn't wait for one that no voter has heard of.
        self.publish_first().await?;
        for n in 0..nodes {
            spawn_local(self.clone().client(n));
        }
        self.wait_until_all_act("at the start", 1).await?;
        self.set_bounds().await?;
        let begin = Instant::now();
        let bytes = self.net.bytes_passed.get();
        self.start_holders();
        spawn_local(self.clone().publisher(begin + self.size.faulty));
        for (at, fault) in plan {
            sleep_until(begin + at).await;
            self.inject(fault);
        }
        sleep_until(begin + self.size.faulty).await;
        self.stop_holders().await;
        self.net.heal();
        let seconds = begin.elapsed().as_secs_f64();
        let bytes_per_proxy = (self.net.bytes_passed.get() - bytes) as f64 / seconds / nodes as f64;
        self.wait_until_restarted().await?;
        self.end_all_permits().await?;
        let switch_ms = self.publish_last().await?;
        self.load.set(false);
        sleep(DEADLINE + LATE_MARGIN).await;
        self.check_acknowledged().await?;
        Ok(self.report(switch_ms, bytes_per_proxy))
    }

    /// Publishes the first version; retries until the voters have a leader.
    async fn publish_first(&self) -> Result<(), RunError> {
        let end = Instant::now() + MAX_WAIT;
        while Instant::now() < end {
            let path = self.site.write_publication(FIRST_MAX_ATTEMPTS)?;
            let mut call = self.site.cli(&["publish", &path.to_string_lossy(), "--patience", "10"]);
            if call.output().await?.status.success() {
                return Ok(());
            }
        }
        Err(RunError::Endless("the first publication", MAX_WAIT))
    }

    async fn publisher(self: Rc<Self>, until: Instant) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0x9e37);
        while Instant::now() < until && self.last_max_attempts.get() < MAX_ATTEMPTS_LIMIT - 2 {
            let each = self.size.publish.as_millis() as u64;
            sleep(Duration::from_millis(rng.u64(each / 2..each * 3 / 2))).await;
            let attempts = self.last_max_attempts.get() + 1;
            self.last_max_attempts.set(attempts);
            let Ok(path) = self.site.write_publication(attempts) else { continue };
            let mut call = self.site.cli(&["publish", &path.to_string_lossy(), "--patience", "3"]);
            // The publication may be refused, overtaken, or lack a majority; what the backends receive shows the outcome.
            if let Ok(output) = call.output().await
                && let Some(version) = in_force(&output.stdout)
            {
                self.acknowledged.borrow_mut().insert(version, attempts);
            }
        }
    }

    /// Checks that each version that was acknowledged as in force still has the content that was published, as far as
    /// the history reaches back.
    async fn check_acknowledged(&self) -> Result<(), RunError> {
        let history = self.site.cli(&["history", "--json"]).output().await?;
        let lines = String::from_utf8_lossy(&history.stdout).into_owned();
        let kept = lines.lines().filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok());
        let kept: Vec<u64> = kept.filter_map(|l| l["version"].as_u64()).collect();
        let oldest = kept.first().copied().unwrap_or(u64::MAX);
        let acknowledged = self.acknowledged.borrow().clone();
        for (version, attempts) in acknowledged.into_iter().filter(|(v, _)| *v >= oldest) {
            let shown = self.site.cli(&["show", &version.to_string()]).output().await?;
            let text = String::from_utf8_lossy(&shown.stdout).into_owned();
            if !text.contains(&format!("max_attempts = {attempts}\n")) {
                let what = format!(
                    "version {version} was acknowledged with max_attempts {attempts}, but is now: {text}"
                );
                self.broken.borrow_mut().push(what);
            }
        }
        Ok(())
    }

    /// Waits until no proxy is under a fault of its process, and checks that every process runs.
    async fn wait_until_restarted(&self) -> Result<(), RunError> {
        let wait = async {
            while self.under_fault.borrow().iter().any(|t| *t) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(MAX_WAIT, wait).await.map_err(|_| RunError::Endless("a restart", MAX_WAIT))?;
        for n in 0..self.site.listen.len() {
            if !self.site.runs(n) {
                self.broken.borrow_mut().push(format!("p{n} exited by itself"));
            }
        }
        Ok(())
    }

    /// Publishes after all faults have ended, and checks that the version comes into force everywhere; returns how long
    /// that took, ms.
    async fn publish_last(&self) -> Result<f64, RunError> {
        let end = Instant::now() + MAX_WAIT;
        let attempts = self.last_max_attempts.get() + 1;
        self.last_max_attempts.set(attempts);
        let path = self.site.write_publication(attempts)?;
        let before = self.acting.borrow().iter().map(|(v, _)| *v).max().unwrap_or(0);
        let mut began;
        loop {
            began = self.clock.now();
            let mut call = self.site.cli(&["publish", &path.to_string_lossy(), "--patience", "20"]);
            let output = call.output().await?;
            if output.status.success() {
                break;
            }
            if Instant::now() > end {
                let why = String::from_utf8_lossy(&output.stderr).into_owned();
                self.broken
                    .borrow_mut()
                    .push(format!("publication failed after all faults had ended: {why}"));
                return Ok(f64::NAN);
            }
        }
        self.wait_until_all_act("at the end", before + 1).await?;
        let last = self.acting.borrow().iter().map(|(_, at)| *at).max().unwrap_or(0);
        Ok(last.saturating_sub(began) as f64 / 1000.0)
    }

    /// Waits until requests of every proxy bear the same version, which is `least` or later.
    async fn wait_until_all_act(&self, when: &str, least: u64) -> Result<(), RunError> {
        let wait = async {
            loop {
                let acting = self.acting.borrow().clone();
                let latest = acting.iter().map(|(v, _)| *v).max().unwrap_or(0);
                if latest >= least && acting.iter().all(|(v, _)| *v == latest) {
                    return;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        if timeout(MAX_WAIT, wait).await.is_err() {
            let text =
                format!("{when}: the proxies do not all act on one version: {:?}", self.acting.borrow());
            self.broken.borrow_mut().push(text);
        }
        Ok(())
    }

    fn inject(self: &Rc<Self>, fault: Fault) {
        match fault {
            Fault::Ways(ways) => {
                self.net.heal();
                ways.into_iter().for_each(|(from, to, way)| self.net.set(from, to, way));
            }
            Fault::Break(a, b) => self.net.cut(a, b),
            Fault::Heal => self.net.heal(),
            Fault::Pause(n, span) if self.begin_fault(n) => {
                let run = self.clone();
                spawn_local(async move {
                    run.site.signal(n, Signal::STOP);
                    sleep(span).await;
                    run.site.signal(n, Signal::CONT);
                    run.end_fault(n);
                });
            }
            Fault::Kill(n, span) if self.begin_fault(n) => self.kill_and_restart(n, span, false),
            Fault::LoseDisk(n, span) if self.begin_fault(n) => self.kill_and_restart(n, span, true),
            Fault::Restart(n) if self.begin_fault(n) => {
                let run = self.clone();
                spawn_local(async move {
                    run.site.signal(n, Signal::TERM);
                    while run.site.runs(n) {
                        sleep(Duration::from_millis(10)).await;
                    }
                    run.restart(n).await;
                });
            }
            Fault::Pause(..) | Fault::Kill(..) | Fault::LoseDisk(..) | Fault::Restart(_) => {}
        }
    }

    fn kill_and_restart(self: &Rc<Self>, n: usize, span: Duration, lose_disk: bool) {
        let run = self.clone();
        spawn_local(async move {
            run.site.kill(n);
            if lose_disk {
                run.site.lose_disk(n);
            }
            sleep(span).await;
            run.restart(n).await;
        });
    }

    async fn restart(&self, n: usize) {
        if let Err(e) = self.site.start(n) {
            self.broken.borrow_mut().push(format!("p{n} can't be restarted: {e}"));
        }
        while TcpStream::connect(self.site.listen[n]).await.is_err() && self.site.runs(n) {
            sleep(Duration::from_millis(10)).await;
        }
        self.end_fault(n);
    }

    /// Marks a proxy as under a fault; false if it already is.
    fn begin_fault(&self, n: usize) -> bool {
        !std::mem::replace(&mut self.under_fault.borrow_mut()[n], true)
    }

    fn end_fault(&self, n: usize) {
        self.healthy_since.borrow_mut()[n] = self.clock.now();
        self.under_fault.borrow_mut()[n] = false;
    }

    /// Whether a proxy has been under no fault since a time.
    fn was_healthy(&self, n: usize, since: Micros) -> bool {
        !self.under_fault.borrow()[n] && self.healthy_since.borrow()[n] < since
    }

    async fn client(self: Rc<Self>, n: usize) {
        let gap = Duration::from_secs_f64(1.0 / self.size.rate);
        let mut next = Instant::now();
        while self.load.get() {
            next += gap;
            sleep_until(next).await;
            spawn_local(self.clone().send_request(n));
        }
    }

    async fn send_request(self: Rc<Self>, n: usize) {
        let number = self.requests_sent.get();
        self.requests_sent.set(number + 1);
        let class = CLASSES[number as usize % CLASSES.len()];
        let (method, key) = match class {
            "page" => ("GET", String::new()),
            "book" => ("POST", format!("Idempotency-Key: k{number}\r\n")),
            _ => ("POST", String::new()),
        };
        let text = format!(
            "{method} /{class}/x HTTP/1.1\r\nHost: x\r\nX-Request-ID: r{number}-p{n}\r\nX-Timeout: {}\r\n{key}\
             Content-Length: 0\r\n\r\n",
            DEADLINE.as_secs_f64()
        );
        let begin = self.clock.now();
        let exchange = async {
            let mut conn = Conn::new(TcpStream::connect(self.site.listen[n]).await.ok()?);
            conn.write(text.as_bytes()).await.ok()?;
            conn.answer(&self.clock).await.ok().map(|a| a.status())
        };
        let end = match timeout(DEADLINE + LATE_MARGIN, exchange).await {
            Ok(Some(200)) => RequestEnd::Served,
            Ok(Some(503)) => RequestEnd::Refused,
            Ok(Some(_)) => RequestEnd::Failed,
            Ok(None) if self.was_healthy(n, begin) => RequestEnd::Lost,
            Err(_) if self.was_healthy(n, begin) && self.clock.stalls().iter().all(|(_, to)| *to < begin) => {
                RequestEnd::Late
            }
            Ok(None) | Err(_) => RequestEnd::Broken,
        };
        *self.ends.borrow_mut().entry(end).or_default() += 1;
    }

    async fn backend(self: Rc<Self>, n: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let run = self.clone();
            spawn_local(async move {
                let mut conn = Conn::new(stream);
                while let Ok(request) = conn.request(&run.clock).await {
                    run.record_request(n, &request);
                    sleep(SERVICE_TIME).await;
                    if conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.is_err() {
                        return;
                    }
                }
            });
        }
    }

    fn record_request(&self, backend: usize, request: &crate::http::Message) {
        let id = request.header("X-Request-ID").unwrap_or_default();
        let proxy: usize = id.rsplit_once("-p").and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        let version = request.header(VERSION_HEADER).and_then(|v| v.parse().ok());
        let Some(version) = version else {
            self.broken.borrow_mut().push(format!("request {id} arrived without a version"));
            return;
        };
        self.outs.borrow_mut().request(backend, request.first, id);
        self.agreement.borrow_mut().note(Acted { version, proxy: proxy as u16, at: request.first });
        if let Some(acting) = self.acting.borrow_mut().get_mut(proxy)
            && acting.0 < version
        {
            *acting = (version, request.first);
        }
        if request.target.starts_with("/submit") {
            *self.unsafe_runs.borrow_mut().entry(id.to_owned()).or_default() += 1;
        }
    }

    fn report(&self, switch_ms: f64, bytes_per_proxy: f64) -> Report {
        let agreement = self.agreement.borrow();
        let overlap = agreement.longest(|_, _| true);
        let stalls: Micros = self.clock.stalls().iter().map(|(from, to)| to - from).max().unwrap_or(0);
        let allowed = self.size.bound.as_micros() as Micros + SLACK_US + stalls;
        let mut broken = self.broken.borrow().clone();
        if let Some(o) = overlap.filter(|o| o.span > allowed) {
            broken.push(format!("contradicting versions were acted on together: {o:?}"));
        }
        broken.extend(self.outs.borrow().breaches().iter().map(|b| format!("{b:?}")));
        let twice = self
            .unsafe_runs
            .borrow()
            .iter()
            .filter(|(_, n)| **n > 1)
            .map(|(id, _)| id.clone())
            .collect::<Vec<_>>();
        if !twice.is_empty() {
            broken.push(format!("unsafe requests ran twice: {twice:?}"));
        }
        let ends = self.ends.borrow().clone();
        for end in [RequestEnd::Lost, RequestEnd::Late] {
            if let Some(n) = ends.get(&end) {
                broken.push(format!("{n} requests were {end:?} at proxies under no fault"));
            }
        }
        Report {
            seed: self.seed,
            ends,
            versions: agreement.versions().count() as u64,
            acknowledged: self.acknowledged.borrow().len() as u64,
            longest_overlap: overlap.map_or(0, |o| o.span),
            outs: (self.outs.borrow().outs, self.outs.borrow().most),
            allowed_overlap: allowed,
            switch_ms,
            bytes_per_proxy,
            broken,
        }
    }
}
