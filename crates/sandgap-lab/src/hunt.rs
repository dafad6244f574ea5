//! Searches for broken rules: runs many seeds of a fleet with faults, and shrinks each failing run to a short history
//! that still breaks the rule.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::Path;

use indicatif::ProgressBar;
use rayon::prelude::*;
use sandgap_rules::Rule;

use crate::calendar::{Nanos, SECOND};
use crate::file::Experiment;
use crate::fleet::{self, Plan, RunError, Trace};
use crate::limits::SHRINKS;
use crate::model::faults::Step;
use crate::rivals::PolicyKind;
use crate::run::broken;

/// A seed whose run broke a rule, could not be checked, or had an invalid action.
#[derive(Clone, Debug)]
pub struct FailingSeed {
    /// The seed.
    pub seed: u64,
    /// The broken rules.
    pub rules: BTreeSet<Rule>,
    /// The request of the first violation.
    pub request: Option<u32>,
    /// The first violation, or why the run could not be checked, or the first invalid action.
    pub description: String,
}

/// The result of a search over seeds.
#[derive(Clone, Debug, Default)]
pub struct HuntResult {
    /// Number of seeds that were run.
    pub seeds: u64,
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// The failing seeds.
    pub found: Vec<FailingSeed>,
}

/// Runs seeds in parallel.
///
/// # Errors
/// The first run that can't be simulated.
pub fn hunt(
    experiment: &Experiment, policy: PolicyKind, seeds: std::ops::Range<u64>, bar: bool,
) -> Result<HuntResult, RunError> {
    let progress = if bar { ProgressBar::new(seeds.end - seeds.start) } else { ProgressBar::hidden() };
    let one = |seed: u64| -> Result<(u64, u64, Option<FailingSeed>), RunError> {
        let plan = Plan::draw(experiment, policy, seed, Path::new("."))?;
        let end = fleet::run(&plan, false, None)?;
        progress.inc(1);
        let v = &end.verdict;
        let rules: BTreeSet<Rule> = v.counts.keys().copied().collect();
        let description = v.breaches.first().map(|b| b.what.clone());
        let description = description
            .or_else(|| v.incomplete.first().cloned())
            .or_else(|| end.violations.first().map(|o| (*o).into()));
        let found = description.map(|description| FailingSeed {
            seed,
            rules,
            request: v.breaches.first().and_then(|b| b.request),
            description,
        });
        Ok((end.measures.requests, u64::from(v.figures.served), found))
    };
    let ends: Vec<_> = seeds.clone().into_par_iter().map(one).collect();
    progress.finish_and_clear();
    let mut result = HuntResult { seeds: seeds.end - seeds.start, ..HuntResult::default() };
    for end in ends {
        let (requests, served, found) = end?;
        result.requests += requests;
        result.served += served;
        result.found.extend(found);
    }
    Ok(result)
}

/// Shrinks a plan as far as it still breaks one of these rules; returns it with the number of runs that took, at most
/// the limit on shrinking runs.
pub fn shrink(plan: &Plan, rules: &BTreeSet<Rule>) -> (Plan, usize) {
    let mut runs = 0;
    let mut breaks = |plan: &Plan| {
        if runs == SHRINKS {
            return false;
        }
        runs += 1;
        fleet::run(plan, false, None).is_ok_and(|o| o.verdict.counts.keys().any(|r| rules.contains(r)))
    };
    let mut best = plan.clone();
    // Requests are removed first: fewer requests make every later run shorter.
    let fallback = (plan.experiment.warm_seconds + plan.experiment.seconds).ceil() as u32;
    let count = fleet::run(plan, false, None).map_or(fallback, |o| o.measures.requests as u32 + 1);
    let mut ranges = vec![(0, count)];
    best.keep = Some(ranges.clone());
    let mut size = count;
    while size > 1 {
        size = size.div_ceil(2);
        let mut i = 0;
        ranges = ranges.iter().flat_map(|r| split(*r, size)).collect();
        while i < ranges.len() {
            let mut fewer = ranges.clone();
            fewer.remove(i);
            let tried = Plan { keep: Some(fewer.clone()), ..best.clone() };
            if breaks(&tried) {
                (best, ranges) = (tried, fewer);
            } else {
                i += 1;
            }
        }
    }
    let mut size = best.steps.len().div_ceil(2).max(1);
    loop {
        let mut at = 0;
        while at < best.steps.len() {
            let mut steps: Vec<Step> = best.steps.clone();
            steps.drain(at..(at + size).min(best.steps.len()));
            let tried = Plan { steps, ..best.clone() };
            if breaks(&tried) { best = tried } else { at += size }
        }
        if size == 1 {
            break;
        }
        size = size.div_ceil(2);
    }
    (best, runs)
}

fn split(range: (u32, u32), size: u32) -> Vec<(u32, u32)> {
    (range.0..range.1).step_by(size.max(1) as usize).map(|a| (a, (a + size).min(range.1))).collect()
}

/// The history of a plan's run, of one request or of everything, with its verdict.
///
/// # Errors
/// A plan that can't be simulated.
pub fn story(plan: &Plan, request: Option<u32>) -> Result<String, RunError> {
    let mut trace = Trace { request, lines: Vec::new() };
    let end = fleet::run(plan, false, Some(&mut trace))?;
    let mut out = String::new();
    for (at, of, what) in trace.lines {
        let who = if of == u32::MAX { "fault".to_owned() } else { format!("request {of}") };
        let _ = writeln!(out, "{:>12.6} s  {who}: {what}", seconds(at));
    }
    let _ = write!(out, "{}", end.verdict);
    Ok(out)
}

fn seconds(at: Nanos) -> f64 {
    at as f64 / SECOND as f64
}

/// Explains a failing seed: the broken rules, the first violation, and the shortest history found that shows it.
///
/// # Errors
/// A run that can't be simulated.
pub fn explain(experiment: &Experiment, policy: PolicyKind, found: &FailingSeed) -> Result<String, RunError> {
    let plan = Plan::draw(experiment, policy, found.seed, Path::new("."))?;
    let mut out = format!("seed {}: {:?}: {}\n", found.seed, found.rules, found.description);
    let end = fleet::run(&plan, false, None)?;
    if broken(&end.verdict) == 0 {
        out.push_str("no rule is broken, but the records are not enough for a verdict\n");
        return Ok(out);
    }
    let (short, runs) = shrink(&plan, &found.rules);
    let requests: u32 = short.keep.iter().flatten().map(|r| r.1 - r.0).sum();
    let _ = writeln!(
        out,
        "shortest failing run after {runs} runs: {requests} requests, {} faults",
        short.steps.len()
    );
    // The failing request has another number in the shorter run.
    let failing = fleet::run(&short, false, None)?.verdict.breaches.iter().find_map(|b| b.request);
    let lines = story(&short, failing)?;
    for line in lines.lines().take(60) {
        let _ = writeln!(out, "  {line}");
    }
    Ok(out)
}

/// The experiment of the built-in mixed schedule: three proxies, twelve servers of two kinds, all kinds of faults.
///
/// # Panics
/// Never: the file is part of the program, and a test parses it.
pub fn mixed() -> Experiment {
    let points = crate::file::parse(include_str!("mixed.toml"));
    points.expect("the built-in experiment file is valid").remove(0).experiment
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::defects::{DEFECTS, Defect};

    #[test]
    fn a_fixed_set_of_seeds_breaks_no_rule() {
        let result = hunt(&mixed(), PolicyKind::Sandgap, 0..150, false).expect("it can be simulated");
        assert!(result.found.is_empty(), "{:?}", result.found);
        assert!(result.served * 10 > result.requests * 8, "{result:?}");
    }

    #[test]
    fn every_defect_breaks_its_rule_and_shrinks_to_a_short_run() {
        for defect in DEFECTS {
            let mut experiment = mixed();
            experiment.fleet.defect = Some(defect);
            // The decision module soon treats a server that refuses everything as unhealthy and sends it no more
            // requests, so a driver that sends everything to one server can't break this rule with it; the random
            // policy takes its place.
            let pushes_cold = defect == Defect::PushesCold;
            let policy = if pushes_cold { PolicyKind::Random } else { PolicyKind::Sandgap };
            let result = hunt(&experiment, policy, 0..4, false).expect("it can be simulated");
            let rule = match defect {
                Defect::Resends | Defect::RefusesRan | Defect::Copies => Rule::NothingTwice,
                Defect::IgnoresDrains => Rule::DrainsKept,
                Defect::PushesCold => Rule::NoColdPushedOver,
                _ => Rule::NoRequestLost,
            };
            let found = result.found.iter().find(|f| f.rules.contains(&rule));
            let found = found.unwrap_or_else(|| panic!("{defect:?} was not found: {:?}", result.found));
            if matches!(defect, Defect::Resends | Defect::IgnoresDrains) {
                let plan =
                    Plan::draw(&experiment, PolicyKind::Sandgap, found.seed, Path::new(".")).expect("drawn");
                let (short, runs) = shrink(&plan, &BTreeSet::from([rule]));
                let requests: u32 = short.keep.iter().flatten().map(|r| r.1 - r.0).sum();
                assert!(
                    requests <= 200 && short.steps.len() < plan.steps.len() / 2,
                    "{requests} after {runs} runs"
                );
            }
        }
    }
}
