//! What agreed rules cost as a fleet grows: hollow proxies by the hundred beside real voters on disk.
//!
//! A hollow proxy is all of a proxy but its data path, so that what it sends, and what voters bear of it, is what whole
//! ones would cost. What is counted (messages a question, entries and rulebooks a change) hangs on no clock; what is
//! timed is told as measured.

mod blocks;
pub mod books;
mod faults;
pub mod fit;
pub mod hollow;
mod report;

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sandgap_agree::{Span, Terms};
use sandgap_fleet::Drift;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

use crate::fleet::net::Net;
use crate::fleet::plan::Size;
use crate::fleet::site::Site;
use crate::process::Usage;
use crate::run::{Folder, RunError};
use crate::world::Addresses;
use blocks::Blocks;
pub use blocks::{BLOCK_COMMAND, serve_block};
pub use faults::Fault;
use hollow::{BlockSetup, Defect, Tally};
pub use report::{Change, Report, VoterCost};

/// The shared key of these fleets.
const KEY: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";
/// A condition is waited for so long, however loaded the machine is.
const PATIENCE: Duration = Duration::from_secs(90);
/// Between two looks at a condition.
const LOOK: Duration = Duration::from_millis(50);
/// Attempts that a settings file allows, by which publications differ: the first, and the most.
const ATTEMPTS: std::ops::Range<u64> = 1..100;

/// Plays of this process so far: several go on side by side, each with a folder of its own.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// One play.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Hollow proxies.
    pub hollows: usize,
    /// How many of them share a process; none where all run in the process that calls.
    pub per_process: Option<usize>,
    /// The program whose `scale-block` runs a part of them in another process.
    pub rig: PathBuf,
    /// Voters, each a real process with a store on disk.
    pub voters: usize,
    /// The stated time T.
    pub bound: Duration,
    /// How long nothing is published while messages are counted.
    pub idle: Duration,
    /// Versions that are published then.
    pub changes: u64,
    /// Whether voters and proxies are killed after that.
    pub faults: bool,
    /// What is wrong by intent.
    pub defect: Option<Defect>,
}

/// What the installation states, for hollow proxies as for the voters.
fn terms(bound: Duration) -> Terms {
    const DRIFT_PPM: u32 = 1000; // the daemon's default
    Terms::new(Span { bound, drift: Drift::ppm(DRIFT_PPM) }, false)
}

/// Plays one fleet.
///
/// # Errors
/// Whatever makes figures impossible.
pub fn run(program: &Path, setup: &Setup) -> Result<Report, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let folder = Folder::new(&format!("scale-{}-{run}", std::process::id()))?;
    LocalSet::new().block_on(&runtime, play(program, setup, &folder))
}

async fn play(program: &Path, setup: &Setup, folder: &Folder) -> Result<Report, RunError> {
    let addresses = Addresses::default();
    let draw = |n: usize| (0..n).map(|_| addresses.draw()).collect::<std::io::Result<Vec<_>>>();
    let (listen, fleet) = (draw(setup.voters)?, draw(setup.voters)?);
    let net = Net::start(&fleet).await?;
    let backend = TcpListener::bind("127.0.0.1:0").await?; // rules name one; nobody dials it
    let size = Size { voters: setup.voters, observers: 0, bound: setup.bound, ..Size::default() };
    let site = Site::new(program, &folder.path, size, listen, fleet.clone(), vec![backend.local_addr()?]);
    site.prepare(&net)?;
    for voter in 0..setup.voters {
        site.start(voter)?;
    }
    let voters = fleet.iter().enumerate().map(|(n, address)| (format!("p{n}"), *address)).collect();
    let block = BlockSetup {
        first: 0,
        count: setup.hollows,
        voters,
        bound_ms: setup.bound.as_millis() as u64,
        key: KEY.into(),
        defect: setup.defect,
    };
    let blocks = Blocks::start(setup, &block).await?;
    let scale = Scale { setup, site, net, blocks, attempts: ATTEMPTS.start };
    scale.measure().await
}

/// A play under way.
struct Scale<'a> {
    setup: &'a Setup,
    site: Site,
    net: Rc<Net>,
    blocks: Blocks,
    /// By which the next publication differs from the one before.
    attempts: u64,
}

/// What is counted at one moment.
struct Moment {
    at: Instant,
    tally: Tally,
    voters: Vec<Usage>,
    between_voters: u64,
}

impl Scale<'_> {
    async fn measure(mut self) -> Result<Report, RunError> {
        let began = Instant::now();
        let first = self.publish_first().await?;
        self.all_act_on(first).await?;
        let settled = began.elapsed();
        let before = self.moment().await?;
        sleep(self.setup.idle).await;
        let after = self.moment().await?;
        let mut changes = Vec::new();
        for _ in 0..self.setup.changes {
            changes.push(self.change().await?);
        }
        let end = self.moment().await?;
        let faults = if self.setup.faults { self.faults().await? } else { Vec::new() };
        Ok(report::compile(self.setup, settled, [before, after, end], changes, faults))
    }

    async fn moment(&mut self) -> Result<Moment, RunError> {
        let tally = self.blocks.tally().await?;
        let voters = (0..self.setup.voters).map(|n| self.site.usage(n)).collect();
        Ok(Moment { at: Instant::now(), tally, voters, between_voters: self.net.passed.get() })
    }

    /// Publishes a version; returns its number, and none where it was not put in force.
    async fn publish(&mut self) -> Result<Option<u64>, RunError> {
        let path = self.site.publication(self.attempts)?;
        self.attempts = (self.attempts + 1).min(ATTEMPTS.end - 1);
        let patience = PATIENCE.as_secs().to_string();
        let words = ["publish", &path.to_string_lossy(), "--patience", &patience];
        let output = self.site.hand(&words).output().await?;
        Ok(crate::fleet::in_force(&output.stdout))
    }

    /// Publishes the first version, which needs a leader.
    async fn publish_first(&mut self) -> Result<u64, RunError> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some(version) = self.publish().await? {
                return Ok(version);
            }
        }
        Err(RunError::Endless("the first publication", PATIENCE))
    }

    /// Waits until every hollow proxy acts on a version or a later one.
    async fn all_act_on(&mut self, version: u64) -> Result<Vec<u64>, RunError> {
        let mut latest = Vec::new();
        let wait = async {
            loop {
                let tally = self.blocks.tally().await?;
                latest.extend(tally.latest);
                let acting: usize = tally.acting.range(version..).map(|(_, count)| count).sum();
                if acting >= self.blocks.proxies() {
                    return Ok::<(), RunError>(());
                }
                sleep(LOOK).await;
            }
        };
        timeout(PATIENCE, wait).await.map_err(|_| RunError::Endless("a version everywhere", PATIENCE))??;
        Ok(latest)
    }

    /// One change: how long it took until each proxy acted on it, counted from its publishing.
    async fn change(&mut self) -> Result<Change, RunError> {
        let began = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let Some(version) = self.publish().await? else { return Ok(Change::default()) };
        let mut after: Vec<u64> =
            self.all_act_on(version).await?.into_iter().map(|at| at.saturating_sub(began)).collect();
        after.sort_unstable();
        Ok(Change { after_us: after })
    }
}
