//! The faults of a run, drawn from its seed.

use rand::RngExt;

use super::Setup;
use crate::calendar::{MS, Nanos, SECOND};
use crate::streams::Stream;

/// A fault of a process, of its disk or of the network.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Messages on these directed links (from, to) are lost; replaces the previous partition.
    Partition(Vec<(usize, usize)>),
    /// All network faults end.
    Heal,
    /// Fractions of all messages that are lost and duplicated, and the largest extra delay, ns.
    Degrade(f64, f64, Nanos),
    /// A process is paused for a time, ns.
    Pause(usize, Nanos),
    /// A process is killed, its unfinished disk writes are lost, and it restarts after a time, ns.
    Kill(usize, Nanos),
    /// A process is killed and restarts after a time, ns, with an empty disk.
    LoseDisk(usize, Nanos),
    /// A disk starts no write for a time, ns.
    StallDisk(usize, Nanos),
}

/// Shapes of network partitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum PartitionShape {
    /// Two sides that don't reach each other; each process is on a random one.
    Halves,
    /// Two sides with one process that reaches both.
    Bridge,
    /// One process is cut off from all others.
    Alone,
    /// A voter that reaches no other voter, but all proxies that don't vote.
    LoneVoter,
    /// One process whose messages arrive, but that receives none.
    Deaf,
    /// A voter that receives messages, but whose own are lost.
    Mute,
    /// Each process reaches only its two neighbours in a ring.
    Ring,
    /// All links of a majority of the voters are cut, those within it included.
    Majority,
}

impl PartitionShape {
    /// All but `Majority`, which is only used when asked for.
    const DRAWN_SHAPES: [PartitionShape; 7] = [
        PartitionShape::Halves,
        PartitionShape::Bridge,
        PartitionShape::Alone,
        PartitionShape::LoneVoter,
        PartitionShape::Deaf,
        PartitionShape::Mute,
        PartitionShape::Ring,
    ];
}

/// Draws the faults of a run with their times, sorted by time.
pub fn draw_faults(setup: &Setup, rng: &mut Stream) -> Vec<(Nanos, Fault)> {
    let mut faults = Vec::new();
    if !setup.faults {
        return faults;
    }
    let nodes = setup.voters + setup.observers;
    if let Some(partition) = setup.partition {
        // A single partition from 4 s on, and no other fault; the simulation heals it at the end of the fault phase.
        return vec![(4 * SECOND, Fault::Partition(cut_links(setup, partition, nodes, rng)))];
    }
    let mut at = SECOND;
    let mut lost_disks = 0;
    while at < setup.fault_phase {
        let node = rng.random_range(0..nodes);
        let voter = rng.random_range(0..setup.voters);
        let span = rng.random_range(50 * MS..3 * SECOND);
        let fault = match rng.random_range(0..12) {
            0..4 => Fault::Partition(draw_partition(setup, nodes, rng)),
            4 => Fault::Heal,
            5 => Fault::Degrade(rng.random_range(0.0..0.3), rng.random_range(0.0..0.2), span / 8),
            6 | 7 => Fault::Pause(if rng.random() { node } else { voter }, span),
            8 => Fault::Kill(node, span),
            9 => Fault::Kill(voter, span),
            // At most one disk is lost: a minority of three or more voters, and the others have time to rebuild it. Further
            // draws stall a disk instead.
            10 if lost_disks == 0 => {
                lost_disks += 1;
                Fault::LoseDisk(voter, span)
            }
            _ => Fault::StallDisk(voter, span),
        };
        let heals = matches!(fault, Fault::Partition(_) | Fault::Degrade(..)) && rng.random();
        faults.push((at, fault));
        if heals {
            faults.push((at + span, Fault::Heal));
        }
        at += rng.random_range(50 * MS..1500 * MS);
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// Draws a partition of a random shape. A shape in the setup would take precedence, but `draw_faults` handles that case
/// itself.
fn draw_partition(setup: &Setup, nodes: usize, rng: &mut Stream) -> Vec<(usize, usize)> {
    let shape = PartitionShape::DRAWN_SHAPES[rng.random_range(0..PartitionShape::DRAWN_SHAPES.len())];
    cut_links(setup, setup.partition.unwrap_or(shape), nodes, rng)
}

/// The directed links that a partition of this shape cuts.
fn cut_links(setup: &Setup, shape: PartitionShape, nodes: usize, rng: &mut Stream) -> Vec<(usize, usize)> {
    let links = || (0..nodes).flat_map(|a| (0..nodes).filter(move |b| *b != a).map(move |b| (a, b)));
    let one = rng.random_range(0..nodes);
    let voter = rng.random_range(0..setup.voters);
    match shape {
        PartitionShape::Halves => {
            let side: Vec<bool> = (0..nodes).map(|_| rng.random()).collect();
            links().filter(|(a, b)| side[*a] != side[*b]).collect()
        }
        PartitionShape::Bridge => {
            let side: Vec<bool> = (0..nodes).map(|_| rng.random()).collect();
            links().filter(|(a, b)| side[*a] != side[*b] && *a != one && *b != one).collect()
        }
        PartitionShape::Alone => links().filter(|(a, b)| *a == one || *b == one).collect(),
        PartitionShape::LoneVoter => links()
            .filter(|(a, b)| (*a == voter || *b == voter) && *a < setup.voters && *b < setup.voters)
            .collect(),
        PartitionShape::Deaf => links().filter(|(_, b)| *b == one).collect(),
        PartitionShape::Mute => links().filter(|(a, _)| *a == voter).collect(),
        PartitionShape::Ring => {
            links().filter(|(a, b)| (a + 1) % nodes != *b && (b + 1) % nodes != *a).collect()
        }
        PartitionShape::Majority => {
            let isolated = setup.voters / 2 + 1;
            links().filter(|(a, b)| *a < isolated || *b < isolated).collect()
        }
    }
}
