//! What agreement on rules costs as a fleet grows: hundreds of hollow proxies with real voters that store on disk.
//!
//! A hollow proxy is a whole proxy without its data path, so that its messages, and the load that they put on voters,
//! are those of a whole proxy. Counts (messages per lease request, log entries and rulebooks per change) depend on no
//! clock; times are reported as measured.

mod blocks;
mod faults;
pub mod fit;
pub mod hollow;
mod report;
pub mod rulebook_size;

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sandgap_agree::{LeaseBound, Timing};
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
pub use faults::FaultResult;
use hollow::{BlockSetup, Defect, Tally};
pub use report::{Change, Report, VoterCost};

/// The shared key of these fleets.
const FLEET_KEY: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";
/// The longest wait for any condition; long, because the machine may be loaded.
const MAX_WAIT: Duration = Duration::from_secs(90);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Values of `max_attempts`, by which publications differ: from the first, and up to what a settings file allows.
const MAX_ATTEMPTS: std::ops::Range<u64> = 1..100;

/// Runs of this process so far. Several may go on in parallel, each with its own folder.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// The setup of one run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Hollow proxies.
    pub hollows: usize,
    /// How many of them share a process; `None` runs all in the calling process.
    pub per_process: Option<usize>,
    /// The program whose `scale-block` command runs a block of them in a child process.
    pub rig: PathBuf,
    /// Number of voters, each a real process with a store on disk.
    pub voters: usize,
    /// The configured bound T on how long two contradicting versions may be acted on together.
    pub bound: Duration,
    /// How long messages are counted while nothing is published.
    pub idle: Duration,
    /// Versions that are published after that.
    pub changes: u64,
    /// Whether voters and proxies are killed at the end, one after the other.
    pub faults: bool,
    /// A deliberate defect of the hollow proxies.
    pub defect: Option<Defect>,
}

/// The timing of leases, the same for hollow proxies and voters.
fn timing(bound: Duration) -> Timing {
    const DRIFT_PPM: u32 = 1000; // the daemon's default
    Timing::new(LeaseBound { bound, drift: Drift::ppm(DRIFT_PPM) }, false)
}

/// Runs and measures one fleet.
///
/// # Errors
/// Whatever prevents the measurement.
pub fn run(program: &Path, setup: &Setup) -> Result<Report, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let folder = Folder::new(&format!("scale-{}-{run}", std::process::id()))?;
    LocalSet::new().block_on(&runtime, run_in_folder(program, setup, &folder))
}

async fn run_in_folder(program: &Path, setup: &Setup, folder: &Folder) -> Result<Report, RunError> {
    let addresses = Addresses::default();
    let draw = |n: usize| (0..n).map(|_| addresses.draw()).collect::<std::io::Result<Vec<_>>>();
    let (listen, fleet) = (draw(setup.voters)?, draw(setup.voters)?);
    let net = Net::start(&fleet).await?;
    let backend = TcpListener::bind("127.0.0.1:0").await?; // the rules need a backend; nothing connects to it
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
        key: FLEET_KEY.into(),
        defect: setup.defect,
    };
    let blocks = Blocks::start(setup, &block).await?;
    let scale = ScaleRun { setup, site, net, blocks, max_attempts: MAX_ATTEMPTS.start };
    scale.measure().await
}

/// A run in progress.
struct ScaleRun<'a> {
    setup: &'a Setup,
    site: Site,
    net: Rc<Net>,
    blocks: Blocks,
    /// The `max_attempts` of the next publication, by which it differs from the one before.
    max_attempts: u64,
}

/// All counters at one point in time.
struct Snapshot {
    at: Instant,
    tally: Tally,
    voters: Vec<Usage>,
    between_voters: u64,
}

impl ScaleRun<'_> {
    async fn measure(mut self) -> Result<Report, RunError> {
        let began = Instant::now();
        let first = self.publish_first().await?;
        self.wait_until_all_act_on(first).await?;
        let settled = began.elapsed();
        let before = self.snapshot().await?;
        sleep(self.setup.idle).await;
        let after = self.snapshot().await?;
        let mut changes = Vec::new();
        for _ in 0..self.setup.changes {
            changes.push(self.measure_change().await?);
        }
        let end = self.snapshot().await?;
        let faults = if self.setup.faults { self.inject_faults().await? } else { Vec::new() };
        Ok(report::compile(self.setup, settled, [before, after, end], changes, faults))
    }

    async fn snapshot(&mut self) -> Result<Snapshot, RunError> {
        let tally = self.blocks.tally().await?;
        let voters = (0..self.setup.voters).map(|n| self.site.usage(n)).collect();
        Ok(Snapshot { at: Instant::now(), tally, voters, between_voters: self.net.bytes_passed.get() })
    }

    /// Publishes a version; returns its number, or `None` if it did not come into force.
    async fn publish(&mut self) -> Result<Option<u64>, RunError> {
        let path = self.site.write_publication(self.max_attempts)?;
        self.max_attempts = (self.max_attempts + 1).min(MAX_ATTEMPTS.end - 1);
        let patience = MAX_WAIT.as_secs().to_string();
        let words = ["publish", &path.to_string_lossy(), "--patience", &patience];
        let output = self.site.cli(&words).output().await?;
        Ok(crate::fleet::in_force(&output.stdout))
    }

    /// Publishes the first version; retries until the voters have a leader.
    async fn publish_first(&mut self) -> Result<u64, RunError> {
        let end = Instant::now() + MAX_WAIT;
        while Instant::now() < end {
            if let Some(version) = self.publish().await? {
                return Ok(version);
            }
        }
        Err(RunError::Endless("the first publication", MAX_WAIT))
    }

    /// Waits until every hollow proxy acts on this version or a later one; returns the times at which proxies began to,
    /// µs of Unix time.
    async fn wait_until_all_act_on(&mut self, version: u64) -> Result<Vec<u64>, RunError> {
        let mut latest = Vec::new();
        let wait = async {
            loop {
                let tally = self.blocks.tally().await?;
                latest.extend(tally.latest);
                let acting: usize = tally.acting.range(version..).map(|(_, count)| count).sum();
                if acting >= self.blocks.proxies() {
                    return Ok::<(), RunError>(());
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(MAX_WAIT, wait).await.map_err(|_| RunError::Endless("a version everywhere", MAX_WAIT))??;
        Ok(latest)
    }

    /// Publishes a change and measures how long each proxy took to act on it, from the start of the publication.
    async fn measure_change(&mut self) -> Result<Change, RunError> {
        let began = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let Some(version) = self.publish().await? else { return Ok(Change::default()) };
        let mut after: Vec<u64> = self
            .wait_until_all_act_on(version)
            .await?
            .into_iter()
            .map(|at| at.saturating_sub(began))
            .collect();
        after.sort_unstable();
        Ok(Change { after_us: after })
    }
}
