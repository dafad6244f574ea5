//! Runs an experiment: every point of its sweeps under every policy, with a separate seed for each repetition. Runs
//! are parallel, each on one thread; the results depend on the file alone.

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

/// The figures of each run, in this order: name and description.
pub const MEASURES: [(&str, &str); 12] = [
    ("goodput", "worth answered within its aim over worth asked for"),
    ("served", "part of the tasks that got an answer"),
    ("in_time", "part of the tasks answered within their aim"),
    ("refused", "part of the tasks refused for good"),
    ("failed", "part of the tasks that failed for good, lost ones and those that no proxy accepted included"),
    ("mean_ms", "mean time of served tasks, from the first try on"),
    ("p50_ms", "median of it"),
    ("p99_ms", "99th percentile of it"),
    ("p999_ms", "99.9th percentile of it"),
    ("attempts", "attempts at servers for each request"),
    ("crossing", "part of the attempts that cross zones"),
    ("worst_class", "goodput of the worst-served class"),
];

/// The results of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// Its seed.
    pub seed: u64,
    /// In the order of [`MEASURES`].
    pub figures: Vec<f64>,
    /// Broken rules, and violations that the driver core reported.
    pub broken: usize,
    /// Whether some rules could not be checked completely.
    pub incomplete: bool,
    /// Cold servers that fell over from overload.
    pub fallen: u64,
}

/// The runs of one point under one policy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cell {
    /// The keys that the sweeps set, with their values.
    pub set: Vec<(String, String)>,
    /// The policy that decided.
    pub policy: PolicyKind,
    /// One per repetition.
    pub runs: Vec<Run>,
    /// Estimates over the runs, in the order of [`MEASURES`].
    pub estimates: Vec<Estimate>,
    /// Goodput over time, over all runs: seconds from the start of the run, and goodput from 0 to 1.
    pub course: Vec<(f64, f64)>,
}

/// The results of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Results {
    /// The experiment's name.
    pub name: String,
    /// The question that it answers.
    pub about: String,
    /// How the confidence intervals were computed.
    pub method: String,
    /// One per point and policy, in the order of the sweeps, then of the policies.
    pub cells: Vec<Cell>,
}

/// A run that was aborted.
#[derive(Debug, thiserror::Error)]
#[error("{policy:?} with seed {seed}{at}: {why}")]
pub struct RunFailed {
    policy: PolicyKind,
    seed: u64,
    at: String,
    why: RunError,
}

/// What a decision costs, by point and policy: wall time, so no part of the results.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// The point, as text.
    pub point: String,
    /// The policy that decided.
    pub policy: PolicyKind,
    /// Mean time of a decision, ns.
    pub decision_ns: f64,
    /// Number of decisions.
    pub decisions: u64,
}

/// The figures of an outcome, in the order of [`MEASURES`].
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

/// What a point's sweeps set, as text.
pub fn point_text(set: &[(String, String)]) -> String {
    if set.is_empty() {
        return "all".into();
    }
    set.iter().map(|(k, v)| format!("{k} = {v}")).collect::<Vec<_>>().join(", ")
}

/// Runs an experiment. The path of a recorded load is relative to `folder`; `timed` measures the wall time of decisions;
/// `bar` shows a progress bar.
///
/// # Errors
/// The first run, in the order of the file, that was aborted.
pub fn run_points(
    points: &[Point], folder: &Path, timed: bool, bar: bool,
) -> Result<(Results, Vec<Cost>), RunFailed> {
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
        let result =
            Plan::draw(&p.experiment, policy, seed, folder).and_then(|plan| fleet::run(&plan, timed, None));
        progress.inc(1);
        result.map_err(|why| RunFailed { policy, seed, at: format!(" at {}", point_text(&p.set)), why })
    };
    // In the order of the jobs, whichever thread finished first.
    let finished: Vec<Result<Outcome, RunFailed>> = jobs.par_iter().map(one).collect();
    progress.finish_and_clear();
    let outcomes = finished.into_iter().collect::<Result<Vec<Outcome>, RunFailed>>()?;
    let mut cells = Vec::new();
    let mut costs = Vec::new();
    let mut rest = outcomes.iter().zip(&jobs);
    for p in points {
        for &policy in &p.experiment.policies {
            let group: Vec<(&Outcome, u64)> =
                rest.by_ref().take(p.experiment.repetitions as usize).map(|(o, j)| (o, j.2)).collect();
            cells.push(cell(p, policy, &group));
            let spent = group.iter().filter_map(|(o, _)| o.decided);
            let (sum, decisions) = spent.fold((0.0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
            let decision_ns = sum * 1e9 / decisions.max(1) as f64;
            costs.push(Cost { point: point_text(&p.set), policy, decision_ns, decisions });
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

/// The cell of a point and policy, from its outcomes and their seeds.
fn cell(point: &Point, policy: PolicyKind, outcomes: &[(&Outcome, u64)]) -> Cell {
    let runs: Vec<Run> = outcomes
        .iter()
        .map(|(o, seed)| Run {
            seed: *seed,
            figures: figures(o),
            broken: broken(&o.verdict) + o.violations.len(),
            incomplete: !o.verdict.incomplete.is_empty(),
            fallen: o.measures.fallen,
        })
        .collect();
    let estimate = |i: usize| independent(&runs.iter().map(|r| r.figures[i]).collect::<Vec<f64>>());
    let estimates = (0..MEASURES.len()).map(estimate).collect();
    Cell { set: point.set.clone(), policy, runs, estimates, course: course(outcomes) }
}

/// The number of broken rules of a verdict.
pub fn broken(verdict: &Verdict) -> usize {
    verdict.counts.values().sum()
}

/// Goodput over time, over all runs.
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
