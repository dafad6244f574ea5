//! A fleet of real processes that agree on their rules, with a net between them that breaks, processes that stand still
//! and die, publications all the while, and load on every proxy; judged by what the backends saw.

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
use site::{CLASSES, DEADLINE, HEADER, Site};

/// What a backend takes for a request.
const WORK: Duration = Duration::from_millis(2);
/// What sockets and schedulers may cost beside the machine's stalls.
const SLACK: Micros = 100_000;
/// An answer may come so long after the deadline.
const LATE: Duration = Duration::from_millis(500);
/// A condition is waited for so long, however loaded the machine is.
const PATIENCE: Duration = Duration::from_secs(60);
/// A version is checked by its first number of attempts; publications count up from here.
const FIRST: u64 = 1;
/// Attempts that a settings file allows: publications in a run.
const MOST: u64 = 100;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// 200.
    Served,
    /// 503.
    Refused,
    /// Another status.
    Failed,
    /// The connection ended, at a proxy that was killed, stopped or not there.
    Broken,
    /// The same at one that was well.
    Lost,
    /// Later than the deadline and the slack, at a proxy that ran all the while.
    Late,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Requests by their end.
    pub ends: BTreeMap<End, u64>,
    /// Versions that requests were sent under.
    pub versions: u64,
    /// Versions that a publisher was told to be in force.
    pub acknowledged: u64,
    /// The longest that two contradicting versions were acted on together, µs.
    pub longest: Micros,
    /// What the machine's stalls and the slack allow beside T, µs.
    pub allowed: Micros,
    /// Times that a holder was told that its backend is empty, and the most at once.
    pub outs: (u64, usize),
    /// From publishing without faults to the first request of the last proxy, ms.
    pub switch_ms: f64,
    /// Bytes a second between proxies, for each.
    pub bytes_each: f64,
    /// What is wrong.
    pub broken: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "seed {}: {} versions, {} acknowledged, longest contradiction {:.1} ms ({:.0} allowed), last switch after {:.0} ms, \
             {:.0} bytes/s each, {:?}",
            self.seed,
            self.versions,
            self.acknowledged,
            self.longest as f64 / 1000.0,
            self.allowed as f64 / 1000.0,
            self.switch_ms,
            self.bytes_each,
            self.ends
        )?;
        if self.outs.0 > 0 {
            write!(f, ", {} outs, {} at once", self.outs.0, self.outs.1)?;
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
    /// How often each unsafe request ran.
    ran: RefCell<BTreeMap<String, u32>>,
    ends: RefCell<BTreeMap<End, u64>>,
    /// A proxy was killed, stopped or restarted at present.
    troubled: RefCell<Vec<bool>>,
    /// When each proxy's last trouble ended.
    well_since: RefCell<Vec<Micros>>,
    load: Cell<bool>,
    asked: Cell<u64>,
    published: Cell<u64>,
    /// The latest version each proxy has sent under, and when it first did.
    acting: RefCell<Vec<(u64, Micros)>>,
    broken: RefCell<Vec<String>>,
    outs: RefCell<Outs>,
    /// Holders that have not ended.
    holding: Cell<usize>,
    /// Versions that a publisher was told to be in force, with their number of attempts.
    acknowledged: RefCell<BTreeMap<u64, u64>>,
}

/// The version that a call said to be in force.
pub(crate) fn in_force(said: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(said);
    text.trim().strip_prefix("version ")?.strip_suffix(" is in force")?.parse().ok()
}

/// Plays a seed against a program.
///
/// # Errors
/// Whatever makes a verdict impossible.
pub fn run(program: &Path, size: Size, seed: u64) -> Result<(Report, Folder), RunError> {
    run_plan(program, size, seed, plan::draw(&size, seed))
}

/// Plays what goes wrong as told.
///
/// # Errors
/// See [`run`].
pub fn run_plan(
    program: &Path, size: Size, seed: u64, plan: Vec<(Duration, Fault)>,
) -> Result<(Report, Folder), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut folder = Folder::new(&format!("fleet-{}-{seed:x}", std::process::id()))?;
    let report = LocalSet::new().block_on(&runtime, play(program, size, seed, plan, &folder));
    if report.as_ref().map_or(true, |r| !r.broken.is_empty()) {
        folder.keep();
    }
    Ok((report?, folder))
}

async fn play(
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
        ran: RefCell::default(),
        ends: RefCell::default(),
        troubled: RefCell::new(vec![false; nodes]),
        well_since: RefCell::new(vec![0; nodes]),
        load: Cell::new(true),
        asked: Cell::new(0),
        published: Cell::new(FIRST),
        acting: RefCell::new(vec![(0, 0); nodes]),
        broken: RefCell::default(),
        outs: RefCell::new(Outs::new(size.bound_out)),
        holding: Cell::new(0),
        acknowledged: RefCell::default(),
    });
    spawn_local(run.clock.clone().watch());
    for (n, listener) in listeners.into_iter().enumerate() {
        spawn_local(run.clone().backend(n, listener));
    }
    run.play(plan).await
}

impl Run {
    async fn play(self: Rc<Self>, plan: Vec<(Duration, Fault)>) -> Result<Report, RunError> {
        let nodes = self.site.listen.len();
        for n in 0..nodes {
            self.site.start(n)?;
        }
        // All find each other before the first version: a proxy that no voter has heard of is not waited for.
        self.publish_until_well().await?;
        for n in 0..nodes {
            spawn_local(self.clone().client(n));
        }
        self.all_act("at the start", 1).await?;
        self.set_bounds().await?;
        let begin = Instant::now();
        let bytes = self.net.passed.get();
        self.hold_all(begin + self.size.faulty);
        spawn_local(self.clone().publisher(begin + self.size.faulty));
        for (at, fault) in plan {
            sleep_until(begin + at).await;
            self.happen(fault);
        }
        sleep_until(begin + self.size.faulty).await;
        self.net.heal();
        let seconds = begin.elapsed().as_secs_f64();
        let bytes_each = (self.net.passed.get() - bytes) as f64 / seconds / nodes as f64;
        self.settle().await?;
        self.all_back().await?;
        let switch_ms = self.last_publication().await?;
        self.load.set(false);
        sleep(DEADLINE + LATE).await;
        self.acknowledged_stand().await?;
        Ok(self.report(switch_ms, bytes_each))
    }

    /// Publishes the first version, which needs a leader.
    async fn publish_until_well(&self) -> Result<(), RunError> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let path = self.site.publication(FIRST)?;
            let mut call = self.site.hand(&["publish", &path.to_string_lossy(), "--patience", "10"]);
            if call.output().await?.status.success() {
                return Ok(());
            }
        }
        Err(RunError::Endless("the first publication", PATIENCE))
    }

    async fn publisher(self: Rc<Self>, until: Instant) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0x9e37);
        while Instant::now() < until && self.published.get() < MOST - 2 {
            let each = self.size.publish.as_millis() as u64;
            sleep(Duration::from_millis(rng.u64(each / 2..each * 3 / 2))).await;
            let attempts = self.published.get() + 1;
            self.published.set(attempts);
            let Ok(path) = self.site.publication(attempts) else { continue };
            let mut call = self.site.hand(&["publish", &path.to_string_lossy(), "--patience", "3"]);
            // Refused, overtaken or without a majority: all may be. What came of it the backends tell.
            if let Ok(output) = call.output().await
                && let Some(version) = in_force(&output.stdout)
            {
                self.acknowledged.borrow_mut().insert(version, attempts);
            }
        }
    }

    /// What a publisher was told to be in force has that content for good, as long as it is kept.
    async fn acknowledged_stand(&self) -> Result<(), RunError> {
        let history = self.site.hand(&["history", "--json"]).output().await?;
        let lines = String::from_utf8_lossy(&history.stdout).into_owned();
        let kept = lines.lines().filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok());
        let kept: Vec<u64> = kept.filter_map(|l| l["version"].as_u64()).collect();
        let oldest = kept.first().copied().unwrap_or(u64::MAX);
        let acknowledged = self.acknowledged.borrow().clone();
        for (version, attempts) in acknowledged.into_iter().filter(|(v, _)| *v >= oldest) {
            let shown = self.site.hand(&["show", &version.to_string()]).output().await?;
            let text = String::from_utf8_lossy(&shown.stdout).into_owned();
            if !text.contains(&format!("max_attempts = {attempts}\n")) {
                let what = format!(
                    "version {version} was acknowledged with {attempts} attempts, and is now: {text}"
                );
                self.broken.borrow_mut().push(what);
            }
        }
        Ok(())
    }

    /// Waits until every proxy runs and acts on one version.
    async fn settle(&self) -> Result<(), RunError> {
        let wait = async {
            while self.troubled.borrow().iter().any(|t| *t) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(PATIENCE, wait).await.map_err(|_| RunError::Endless("a restart", PATIENCE))?;
        for n in 0..self.site.listen.len() {
            if !self.site.runs(n) {
                self.broken.borrow_mut().push(format!("p{n} has ended by itself"));
            }
        }
        Ok(())
    }

    /// After all has healed, what is published comes into force everywhere.
    async fn last_publication(&self) -> Result<f64, RunError> {
        let end = Instant::now() + PATIENCE;
        let attempts = self.published.get() + 1;
        self.published.set(attempts);
        let path = self.site.publication(attempts)?;
        let before = self.acting.borrow().iter().map(|(v, _)| *v).max().unwrap_or(0);
        let mut began;
        loop {
            began = self.clock.now();
            let mut call = self.site.hand(&["publish", &path.to_string_lossy(), "--patience", "20"]);
            let output = call.output().await?;
            if output.status.success() {
                break;
            }
            if Instant::now() > end {
                let why = String::from_utf8_lossy(&output.stderr).into_owned();
                self.broken
                    .borrow_mut()
                    .push(format!("nothing can be published after all has healed: {why}"));
                return Ok(f64::NAN);
            }
        }
        self.all_act("at the end", before + 1).await?;
        let last = self.acting.borrow().iter().map(|(_, at)| *at).max().unwrap_or(0);
        Ok(last.saturating_sub(began) as f64 / 1000.0)
    }

    /// Waits until requests of every proxy bear the latest version, and that is no earlier one than `least`.
    async fn all_act(&self, when: &str, least: u64) -> Result<(), RunError> {
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
        if timeout(PATIENCE, wait).await.is_err() {
            let text = format!("{when} not all act on one version: {:?}", self.acting.borrow());
            self.broken.borrow_mut().push(text);
        }
        Ok(())
    }

    fn happen(self: &Rc<Self>, fault: Fault) {
        match fault {
            Fault::Ways(ways) => {
                self.net.heal();
                ways.into_iter().for_each(|(from, to, way)| self.net.set(from, to, way));
            }
            Fault::Break(a, b) => self.net.cut(a, b),
            Fault::Heal => self.net.heal(),
            Fault::Pause(n, span) if self.trouble(n) => {
                let run = self.clone();
                spawn_local(async move {
                    run.site.signal(n, Signal::STOP);
                    sleep(span).await;
                    run.site.signal(n, Signal::CONT);
                    run.well(n);
                });
            }
            Fault::Kill(n, span) if self.trouble(n) => self.again(n, span, false),
            Fault::LoseDisk(n, span) if self.trouble(n) => self.again(n, span, true),
            Fault::Restart(n) if self.trouble(n) => {
                let run = self.clone();
                spawn_local(async move {
                    run.site.signal(n, Signal::TERM);
                    while run.site.runs(n) {
                        sleep(Duration::from_millis(10)).await;
                    }
                    run.start_again(n).await;
                });
            }
            Fault::Pause(..) | Fault::Kill(..) | Fault::LoseDisk(..) | Fault::Restart(_) => {}
        }
    }

    fn again(self: &Rc<Self>, n: usize, span: Duration, lose_disk: bool) {
        let run = self.clone();
        spawn_local(async move {
            run.site.kill(n);
            if lose_disk {
                run.site.lose_disk(n);
            }
            sleep(span).await;
            run.start_again(n).await;
        });
    }

    async fn start_again(&self, n: usize) {
        if let Err(e) = self.site.start(n) {
            self.broken.borrow_mut().push(format!("p{n} can't be started again: {e}"));
        }
        while TcpStream::connect(self.site.listen[n]).await.is_err() && self.site.runs(n) {
            sleep(Duration::from_millis(10)).await;
        }
        self.well(n);
    }

    /// Takes a proxy for a fault, unless one is on it already.
    fn trouble(&self, n: usize) -> bool {
        !std::mem::replace(&mut self.troubled.borrow_mut()[n], true)
    }

    fn well(&self, n: usize) {
        self.well_since.borrow_mut()[n] = self.clock.now();
        self.troubled.borrow_mut()[n] = false;
    }

    /// Whether a proxy was well since a time.
    fn was_well(&self, n: usize, since: Micros) -> bool {
        !self.troubled.borrow()[n] && self.well_since.borrow()[n] < since
    }

    async fn client(self: Rc<Self>, n: usize) {
        let gap = Duration::from_secs_f64(1.0 / self.size.rate);
        let mut next = Instant::now();
        while self.load.get() {
            next += gap;
            sleep_until(next).await;
            spawn_local(self.clone().ask(n));
        }
    }

    async fn ask(self: Rc<Self>, n: usize) {
        let number = self.asked.get();
        self.asked.set(number + 1);
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
        let end = match timeout(DEADLINE + LATE, exchange).await {
            Ok(Some(200)) => End::Served,
            Ok(Some(503)) => End::Refused,
            Ok(Some(_)) => End::Failed,
            Ok(None) if self.was_well(n, begin) => End::Lost,
            Err(_) if self.was_well(n, begin) && self.clock.stalls().iter().all(|(_, to)| *to < begin) => {
                End::Late
            }
            Ok(None) | Err(_) => End::Broken,
        };
        *self.ends.borrow_mut().entry(end).or_default() += 1;
    }

    async fn backend(self: Rc<Self>, n: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let run = self.clone();
            spawn_local(async move {
                let mut conn = Conn::new(stream);
                while let Ok(request) = conn.request(&run.clock).await {
                    run.came(n, &request);
                    sleep(WORK).await;
                    if conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.is_err() {
                        return;
                    }
                }
            });
        }
    }

    fn came(&self, backend: usize, request: &crate::http::Message) {
        let id = request.header("X-Request-ID").unwrap_or_default();
        let proxy: usize = id.rsplit_once("-p").and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        let version = request.header(HEADER).and_then(|v| v.parse().ok());
        let Some(version) = version else {
            self.broken.borrow_mut().push(format!("request {id} came without a version"));
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
            *self.ran.borrow_mut().entry(id.to_owned()).or_default() += 1;
        }
    }

    fn report(&self, switch_ms: f64, bytes_each: f64) -> Report {
        let agreement = self.agreement.borrow();
        let overlap = agreement.longest(|_, _| true);
        let stalls: Micros = self.clock.stalls().iter().map(|(from, to)| to - from).max().unwrap_or(0);
        let allowed = self.size.bound.as_micros() as Micros + SLACK + stalls;
        let mut broken = self.broken.borrow().clone();
        if let Some(o) = overlap.filter(|o| o.span > allowed) {
            broken.push(format!("contradicting versions were acted on together: {o:?}"));
        }
        broken.extend(self.outs.borrow().breaches().iter().map(|b| format!("{b:?}")));
        let twice =
            self.ran.borrow().iter().filter(|(_, n)| **n > 1).map(|(id, _)| id.clone()).collect::<Vec<_>>();
        if !twice.is_empty() {
            broken.push(format!("unsafe requests that ran twice: {twice:?}"));
        }
        let ends = self.ends.borrow().clone();
        for end in [End::Lost, End::Late] {
            if let Some(n) = ends.get(&end) {
                broken.push(format!("{n} requests were {end:?} at proxies that were well"));
            }
        }
        Report {
            seed: self.seed,
            ends,
            versions: agreement.versions().count() as u64,
            acknowledged: self.acknowledged.borrow().len() as u64,
            longest: overlap.map_or(0, |o| o.span),
            outs: (self.outs.borrow().outs, self.outs.borrow().most),
            allowed,
            switch_ms,
            bytes_each,
            broken,
        }
    }
}
