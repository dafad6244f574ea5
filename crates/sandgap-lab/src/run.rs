//! Experiments: every point of the sweeps under every policy, with a seed of its own for each repetition. Many
//! runs go side by side, each on one thread; what is written depends on the file alone.

use std::path::Path;

use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use sandgap_rules::Verdict;
use serde::{Deserialize, Serialize};

use crate::calendar::{Nanos, SECOND};
use crate::file::Point;
use crate::fleet::{self, Plan, RunError};
use crate::measure::{Outcome, Sums};
use crate::rivals::PolicyKind;
use crate::stats::{Estimate, independent};

/// What is measured of each run, in this order: its name and what a reader is to know of it.
pub const MEASURES: [(&str, &str); 12] = [
    ("goodput", "worth answered within its aim over worth asked for"),
    ("served", "part of the tasks that got an answer"),
    ("in_time", "part of the tasks answered within their aim"),
    ("refused", "part of the tasks refused for good"),
    ("failed", "part of the tasks that failed for good, lost and untaken ones included"),
    ("mean_ms", "mean time of served tasks, from the first try on"),
    ("p50_ms", "median of it"),
    ("p99_ms", "99th percentile of it"),
    ("p999_ms", "99.9th percentile of it"),
    ("attempts", "attempts at servers for each request"),
    ("crossing", "part of the attempts that cross zones"),
    ("worst_class", "goodput of the worst-served class"),
];

/// One run's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// Its seed.
    pub seed: u64,
    /// In the order of [`MEASURES`].
    pub figures: Vec<f64>,
    /// Broken rules.
    pub broken: usize,
    /// Why the rules could not be checked, if so.
    pub incomplete: bool,
    /// Cold servers pushed over.
    pub fallen: u64,
}

/// The runs of one point under one policy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cell {
    /// What the sweeps set.
    pub set: Vec<(String, String)>,
    /// Who decided.
    pub policy: PolicyKind,
    /// One a repetition.
    pub runs: Vec<Run>,
    /// Estimates over the runs, in the order of [`MEASURES`].
    pub estimates: Vec<Estimate>,
    /// Goodput over time, the mean of all runs: seconds from the start of each run, and the part.
    pub course: Vec<(f64, f64)>,
}

/// All of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Results {
    /// Its name.
    pub name: String,
    /// What it asks.
    pub about: String,
    /// How the intervals were made.
    pub method: String,
    /// In the order of the sweeps, then of the policies.
    pub cells: Vec<Cell>,
}

/// A run that could not be played.
#[derive(Debug, thiserror::Error)]
#[error("{policy:?} with seed {seed}{at}: {why}")]
pub struct Unplayed {
    policy: PolicyKind,
    seed: u64,
    at: String,
    why: RunError,
}

/// What a decision cost, by point and policy: wall time, so no part of a result.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// Which point, in words.
    pub point: String,
    /// Who decided.
    pub policy: PolicyKind,
    /// Mean nanoseconds a decision.
    pub decision_ns: f64,
    /// Decisions.
    pub decisions: u64,
}

/// The figures of an outcome.
pub fn figures(o: &Outcome) -> Vec<f64> {
    let (m, a) = (&o.measures, &o.measures.all);
    let at = |q| m.latencies.quantile_ms(q).unwrap_or(0.0);
    vec![
        a.goodput(),
        a.part(a.served),
        a.part(a.in_time),
        a.part(a.refused),
        a.part(a.failed + a.lost + a.untaken),
        m.mean_ms(),
        at(0.5),
        at(0.99),
        at(0.999),
        m.attempts as f64 / m.requests.max(1) as f64,
        m.crossings as f64 / m.attempts.max(1) as f64,
        m.by_class.iter().filter(|c| c.asked > 0).map(Sums::goodput).fold(1.0, f64::min),
    ]
}

/// A point's sweeps in words.
pub fn words(set: &[(String, String)]) -> String {
    if set.is_empty() {
        return "all".into();
    }
    set.iter().map(|(k, v)| format!("{k} = {v}")).collect::<Vec<_>>().join(", ")
}

/// Plays an experiment. `folder` is where a recorded load's name starts from; `bar` shows how far it is.
///
/// # Errors
/// The first run, in the order of the file, that could not be played.
pub fn play(
    points: &[Point], folder: &Path, timed: bool, bar: bool,
) -> Result<(Results, Vec<Cost>), Unplayed> {
    let mut jobs = Vec::new();
    for (i, p) in points.iter().enumerate() {
        for &policy in &p.experiment.policies {
            jobs.extend((0..u64::from(p.experiment.repetitions)).map(|r| (i, policy, p.experiment.seed + r)));
        }
    }
    let progress = if bar { ProgressBar::new(jobs.len() as u64) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} to go");
    progress.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let one = |&(i, policy, seed): &(usize, PolicyKind, u64)| {
        let p = &points[i];
        let end =
            Plan::draw(&p.experiment, policy, seed, folder).and_then(|plan| fleet::run(&plan, timed, None));
        progress.inc(1);
        end.map_err(|why| Unplayed { policy, seed, at: format!(" at {}", words(&p.set)), why })
    };
    // In order, whichever thread was first.
    let ends: Vec<Result<Outcome, Unplayed>> = jobs.par_iter().map(one).collect();
    progress.finish_and_clear();
    let outcomes = ends.into_iter().collect::<Result<Vec<Outcome>, Unplayed>>()?;
    let mut cells = Vec::new();
    let mut costs = Vec::new();
    let mut rest = outcomes.iter().zip(&jobs);
    for p in points {
        for &policy in &p.experiment.policies {
            let mine: Vec<(&Outcome, u64)> =
                rest.by_ref().take(p.experiment.repetitions as usize).map(|(o, j)| (o, j.2)).collect();
            cells.push(cell(p, policy, &mine));
            let spent = mine.iter().filter_map(|(o, _)| o.decided);
            let (sum, decisions) = spent.fold((0.0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
            let decision_ns = sum * 1e9 / decisions.max(1) as f64;
            costs.push(Cost { point: words(&p.set), policy, decision_ns, decisions });
        }
    }
    let first = points.first().map(|p| &p.experiment);
    let warm = first.map_or(0.0, |e| e.warm_seconds);
    let results = Results {
        name: first.map_or_else(String::new, |e| e.name.clone()),
        about: first.map_or_else(String::new, |e| e.about.clone()),
        method: format!(
            "independent replications, one seed each; the first {warm} s of each run are not counted; \
             95% intervals by Student's t"
        ),
        cells,
    };
    Ok((results, costs))
}

fn cell(point: &Point, policy: PolicyKind, outcomes: &[(&Outcome, u64)]) -> Cell {
    let runs: Vec<Run> = outcomes
        .iter()
        .map(|(o, seed)| Run {
            seed: *seed,
            figures: figures(o),
            broken: broken(&o.verdict) + o.odd.len(),
            incomplete: !o.verdict.incomplete.is_empty(),
            fallen: o.measures.fallen,
        })
        .collect();
    let estimate = |i: usize| independent(&runs.iter().map(|r| r.figures[i]).collect::<Vec<f64>>());
    let estimates = (0..MEASURES.len()).map(estimate).collect();
    Cell { set: point.set.clone(), policy, runs, estimates, course: course(outcomes) }
}

/// Broken rules of a verdict.
pub fn broken(verdict: &Verdict) -> usize {
    verdict.counts.values().sum()
}

/// Goodput over time, all runs together.
fn course(outcomes: &[(&Outcome, u64)]) -> Vec<(f64, f64)> {
    let Some((first, _)) = outcomes.first() else { return Vec::new() };
    let seconds = |w: Nanos| w as f64 / SECOND as f64;
    let window = first.measures.window;
    (0..first.measures.course.len())
        .filter_map(|i| {
            let all = outcomes.iter().filter_map(|(o, _)| o.measures.course.get(i));
            let (asked, got) = all.fold((0.0, 0.0), |a, s| (a.0 + s.worth, a.1 + s.worth_in_time));
            (asked > 0.0).then(|| (seconds(window * i as Nanos), got / asked))
        })
        .collect()
}
