//! What goes wrong in a fleet, drawn from a seed.

use std::time::Duration;

use super::net::Way;

/// Something that happens to a process or the net.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// What happens from one to another, by pair.
    Ways(Vec<(usize, usize, Way)>),
    /// What is under way between two breaks in the middle.
    Break(usize, usize),
    /// All ways are free.
    Heal,
    /// SIGSTOP, and SIGCONT after a span.
    Pause(usize, Duration),
    /// SIGKILL, and a new start after a span.
    Kill(usize, Duration),
    /// The same without its disk.
    LoseDisk(usize, Duration),
    /// SIGTERM, and a new start after it has ended.
    Restart(usize),
}

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Voters.
    pub voters: usize,
    /// Other proxies.
    pub observers: usize,
    /// The stated time.
    pub bound: Duration,
    /// What those that do not vote are told instead, by intent: a judge that does not find that out is none.
    pub told: Option<Duration>,
    /// How long faults go on.
    pub faulty: Duration,
    /// Between two publications.
    pub publish: Duration,
    /// Requests a second at each proxy.
    pub rate: f64,
    /// Backends.
    pub backends: usize,
    /// Holders that take backends out, one after another; none if 0.
    pub holders: usize,
    /// Backends that may be out at once.
    pub bound_out: usize,
    /// What holders do wrong by intent.
    pub hasty: Hasty,
}

/// What is done wrong by intent: a judge that does not find that out is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hasty {
    /// Nothing.
    No,
    /// Holders take a grant for the word that their backend is empty.
    Grant,
    /// The fleet is told a bound that is higher by one.
    Bound,
    /// Grants go on after a halt.
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

/// Voters that are killed again and again, at drawn moments.
pub fn kills(size: &Size, count: usize, seed: u64) -> Vec<(Duration, Fault)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let each = size.faulty / (count as u32 + 1);
    let one = |n: u32| {
        let at = each * n + each * rng.u32(0..100) / 100;
        (at, Fault::Kill(rng.usize(..size.voters), Duration::from_millis(rng.u64(20..300))))
    };
    (0..count as u32).map(one).collect()
}

/// Draws when what goes wrong; times are from the run's begin.
pub fn draw(size: &Size, seed: u64) -> Vec<(Duration, Fault)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let nodes = size.voters + size.observers;
    let span = |rng: &mut fastrand::Rng, most: u64| Duration::from_millis(rng.u64(100..most));
    let mut all = Vec::new();
    let mut at = Duration::from_millis(500);
    let mut disks = 0;
    while at < size.faulty {
        let (node, voter) = (rng.usize(..nodes), rng.usize(..size.voters));
        let fault = match rng.u32(..14) {
            0..5 => Fault::Ways(shape(size, &mut rng)),
            5 => Fault::Heal,
            6 => Fault::Break(node, (node + 1) % nodes),
            7 | 8 => Fault::Pause(if rng.bool() { node } else { voter }, span(&mut rng, 3000)),
            9 | 10 => Fault::Kill(voter, span(&mut rng, 1500)),
            11 => Fault::Kill(node, span(&mut rng, 1500)),
            12 if disks == 0 => {
                disks += 1;
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

/// The shape of a partition, and what happens on the ways that it concerns.
fn shape(size: &Size, rng: &mut fastrand::Rng) -> Vec<(usize, usize, Way)> {
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
        // Halves with a bridge between them.
        1 => pairs().filter(|(a, b)| side[*a] != side[*b] && *a != one && *b != one).collect(),
        2 => pairs().filter(|(a, b)| *a == one || *b == one).collect(),
        // A voter that reaches no other voter, but all others.
        3 => pairs().filter(|(a, b)| (*a == voter || *b == voter) && a.max(b) < &size.voters).collect(),
        // One that hears nothing, or is not heard.
        4 => pairs().filter(|(_, b)| *b == one).collect(),
        5 => pairs().filter(|(a, _)| *a == voter).collect(),
        // A ring.
        _ => pairs().filter(|(a, b)| (a + 1) % nodes != *b && (b + 1) % nodes != *a).collect(),
    };
    chosen.into_iter().map(|(a, b)| (a, b, way)).collect()
}
