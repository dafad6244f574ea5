//! The faults of a fleet run, drawn from a seed.

use std::time::Duration;

use super::net::Way;

/// A fault of a process or of the network.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Restores all directions, then sets the given ones: from a proxy, to a proxy, and what happens to the bytes.
    Ways(Vec<(usize, usize, Way)>),
    /// Breaks the connections between two proxies, also in the middle of a frame.
    Break(usize, usize),
    /// Restores all directions.
    Heal,
    /// SIGSTOP, then SIGCONT after a span.
    Pause(usize, Duration),
    /// SIGKILL, then a restart after a span.
    Kill(usize, Duration),
    /// The same, and the files on its disk are lost.
    LoseDisk(usize, Duration),
    /// SIGTERM, then a restart after the process has exited.
    Restart(usize),
}

/// The setup of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of proxies that vote.
    pub voters: usize,
    /// Number of proxies that don't vote.
    pub observers: usize,
    /// The configured bound T on how long two contradicting versions may be acted on together.
    pub bound: Duration,
    /// A wrong bound in the settings of the proxies that don't vote, to verify that the checker detects it.
    pub told: Option<Duration>,
    /// How long faults are injected.
    pub faulty: Duration,
    /// Mean time between two publications.
    pub publish: Duration,
    /// Requests per second at each proxy.
    pub rate: f64,
    /// Number of backends.
    pub backends: usize,
    /// Number of holders, each of which takes out one backend after another.
    pub holders: usize,
    /// Backends that may be out at once.
    pub bound_out: usize,
    /// The deliberate defect in how backends are taken out.
    pub hasty: Hasty,
}

/// A deliberate defect in how backends are taken out, to verify that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hasty {
    /// No defect.
    No,
    /// Holders take a grant to mean that their backend is empty.
    Grant,
    /// The bound set in the fleet is one too high.
    Bound,
    /// A halt is not sent to the fleet, so that grants continue.
    Halt,
}

impl Default for Size {
    fn default() -> Self {
        Size {
            voters: 3,
            observers: 3,
            bound: Duration::from_secs(1),
            told: None,
            faulty: Duration::from_secs(12),
            publish: Duration::from_millis(700),
            rate: 60.0,
            backends: 3,
            holders: 0,
            bound_out: 0,
            hasty: Hasty::No,
        }
    }
}

/// `count` kills of random voters at random times; times are from the start of the run.
pub fn kills(size: &Size, count: usize, seed: u64) -> Vec<(Duration, Fault)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let each = size.faulty / (count as u32 + 1);
    let one = |n: u32| {
        let at = each * n + each * rng.u32(0..100) / 100;
        (at, Fault::Kill(rng.usize(..size.voters), Duration::from_millis(rng.u64(20..300))))
    };
    (0..count as u32).map(one).collect()
}

/// Draws the faults; times are from the start of the run.
pub fn draw(size: &Size, seed: u64) -> Vec<(Duration, Fault)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let nodes = size.voters + size.observers;
    let span = |rng: &mut fastrand::Rng, most: u64| Duration::from_millis(rng.u64(100..most));
    let mut all = Vec::new();
    let mut at = Duration::from_millis(500);
    let mut disks_lost = 0;
    while at < size.faulty {
        let (node, voter) = (rng.usize(..nodes), rng.usize(..size.voters));
        let fault = match rng.u32(..14) {
            0..5 => Fault::Ways(draw_partition(size, &mut rng)),
            5 => Fault::Heal,
            6 => Fault::Break(node, (node + 1) % nodes),
            7 | 8 => Fault::Pause(if rng.bool() { node } else { voter }, span(&mut rng, 3000)),
            9 | 10 => Fault::Kill(voter, span(&mut rng, 1500)),
            11 => Fault::Kill(node, span(&mut rng, 1500)),
            12 if disks_lost == 0 => {
                disks_lost += 1;
                Fault::LoseDisk(voter, span(&mut rng, 800))
            }
            _ => Fault::Restart(node),
        };
        let heals = matches!(fault, Fault::Ways(_)) && rng.bool();
        all.push((at, fault));
        at += span(&mut rng, 1500);
        if heals {
            all.push((at, Fault::Heal));
        }
    }
    all
}

/// Draws the shape of a partition and what happens to the bytes in the directions that it affects.
fn draw_partition(size: &Size, rng: &mut fastrand::Rng) -> Vec<(usize, usize, Way)> {
    let nodes = size.voters + size.observers;
    let way = match rng.u32(..4) {
        0 => Way::Open(Duration::from_millis(rng.u64(20..400)), 0),
        1 => Way::Open(Duration::ZERO, rng.u64(500..20_000)),
        _ => Way::Hole,
    };
    let pairs = || (0..nodes).flat_map(|a| (0..nodes).filter(move |b| *b != a).map(move |b| (a, b)));
    let (one, voter) = (rng.usize(..nodes), rng.usize(..size.voters));
    let side: Vec<bool> = (0..nodes).map(|_| rng.bool()).collect();
    let chosen: Vec<(usize, usize)> = match rng.u32(..7) {
        0 => pairs().filter(|(a, b)| side[*a] != side[*b]).collect(),
        // Two halves with one proxy that reaches both.
        1 => pairs().filter(|(a, b)| side[*a] != side[*b] && *a != one && *b != one).collect(),
        2 => pairs().filter(|(a, b)| *a == one || *b == one).collect(),
        // A voter that reaches no other voter, but all other proxies.
        3 => pairs().filter(|(a, b)| (*a == voter || *b == voter) && a.max(b) < &size.voters).collect(),
        // A proxy that receives nothing, or a voter whose messages are lost.
        4 => pairs().filter(|(_, b)| *b == one).collect(),
        5 => pairs().filter(|(a, _)| *a == voter).collect(),
        // A ring, in which each proxy reaches only its two neighbours.
        _ => pairs().filter(|(a, b)| (a + 1) % nodes != *b && (b + 1) % nodes != *a).collect(),
    };
    chosen.into_iter().map(|(a, b)| (a, b, way)).collect()
}
