//! What goes wrong, drawn from a seed.

use rand::RngExt;

use super::Setup;
use crate::calendar::{MS, Nanos, SECOND};
use crate::streams::Stream;

/// Something that happens to processes or to the net between them.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Words from one to another are lost, by pair.
    Cut(Vec<(usize, usize)>),
    /// All ways are open again.
    Heal,
    /// A part of all words is lost, doubled, and late by up to a span.
    Weather(f64, f64, Nanos),
    /// A process stands still for a span.
    Pause(usize, Nanos),
    /// It dies, what its disk had not kept is lost, and it starts again after a span.
    Kill(usize, Nanos),
    /// It dies and comes back without its disk.
    Disk(usize, Nanos),
    /// Its disk is slow for a span.
    Stall(usize, Nanos),
}

/// Shapes of partitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Shape {
    /// Two halves, whoever falls into which.
    Halves,
    /// The same with one that reaches both.
    Bridge,
    /// One alone.
    Alone,
    /// A voter that reaches no voter, but all who ask.
    LoneVoter,
    /// One that is heard and hears nothing.
    Deaf,
    /// A voter that hears and is not heard.
    Mute,
    /// Each reaches its neighbours alone.
    Ring,
    /// A majority of the voters reaches nobody.
    Majority,
}

impl Shape {
    const ALL: [Shape; 7] =
        [Shape::Halves, Shape::Bridge, Shape::Alone, Shape::LoneVoter, Shape::Deaf, Shape::Mute, Shape::Ring];
}

/// Draws when what goes wrong.
pub fn draw(setup: &Setup, rng: &mut Stream) -> Vec<(Nanos, Fault)> {
    let mut all = Vec::new();
    if !setup.faults {
        return all;
    }
    let nodes = setup.voters + setup.observers;
    if let Some(only) = setup.only {
        // One partition for most of the time, and nothing else.
        return vec![(4 * SECOND, Fault::Cut(pairs(setup, only, nodes, rng)))];
    }
    let mut at = SECOND;
    let mut lost_disks = 0;
    while at < setup.faulty {
        let node = rng.random_range(0..nodes);
        let voter = rng.random_range(0..setup.voters);
        let span = rng.random_range(50 * MS..3 * SECOND);
        let fault = match rng.random_range(0..12) {
            0..4 => Fault::Cut(shape(setup, nodes, rng)),
            4 => Fault::Heal,
            5 => Fault::Weather(rng.random_range(0.0..0.3), rng.random_range(0.0..0.2), span / 8),
            6 | 7 => Fault::Pause(if rng.random() { node } else { voter }, span),
            8 => Fault::Kill(node, span),
            9 => Fault::Kill(voter, span),
            // Each lost disk is one of a minority, and the others have time to rebuild it.
            10 if lost_disks == 0 => {
                lost_disks += 1;
                Fault::Disk(voter, span)
            }
            _ => Fault::Stall(voter, span),
        };
        let mends = matches!(fault, Fault::Cut(_) | Fault::Weather(..)) && rng.random();
        all.push((at, fault));
        if mends {
            all.push((at + span, Fault::Heal));
        }
        at += rng.random_range(50 * MS..1500 * MS);
    }
    all.sort_by_key(|(at, _)| *at);
    all
}

/// The shape of a partition: which ways are cut.
fn shape(setup: &Setup, nodes: usize, rng: &mut Stream) -> Vec<(usize, usize)> {
    let kind = Shape::ALL[rng.random_range(0..Shape::ALL.len())];
    pairs(setup, setup.only.unwrap_or(kind), nodes, rng)
}

/// The ways that a partition of a shape cuts.
fn pairs(setup: &Setup, shape: Shape, nodes: usize, rng: &mut Stream) -> Vec<(usize, usize)> {
    let pairs = || (0..nodes).flat_map(|a| (0..nodes).filter(move |b| *b != a).map(move |b| (a, b)));
    let one = rng.random_range(0..nodes);
    let voter = rng.random_range(0..setup.voters);
    match shape {
        Shape::Halves => {
            let side: Vec<bool> = (0..nodes).map(|_| rng.random()).collect();
            pairs().filter(|(a, b)| side[*a] != side[*b]).collect()
        }
        Shape::Bridge => {
            let side: Vec<bool> = (0..nodes).map(|_| rng.random()).collect();
            pairs().filter(|(a, b)| side[*a] != side[*b] && *a != one && *b != one).collect()
        }
        Shape::Alone => pairs().filter(|(a, b)| *a == one || *b == one).collect(),
        Shape::LoneVoter => pairs()
            .filter(|(a, b)| (*a == voter || *b == voter) && *a < setup.voters && *b < setup.voters)
            .collect(),
        Shape::Deaf => pairs().filter(|(_, b)| *b == one).collect(),
        Shape::Mute => pairs().filter(|(a, _)| *a == voter).collect(),
        Shape::Ring => pairs().filter(|(a, b)| (a + 1) % nodes != *b && (b + 1) % nodes != *a).collect(),
        Shape::Majority => {
            let lost = setup.voters / 2 + 1;
            pairs().filter(|(a, b)| *a < lost || *b < lost).collect()
        }
    }
}
