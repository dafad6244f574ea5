//! The search for broken rules: many seeds of a faulty fleet, and for what is found the shortest history that
//! still shows it.

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

/// A seed on which something broke.
#[derive(Clone, Debug)]
pub struct Found {
    /// The seed.
    pub seed: u64,
    /// Which rules.
    pub rules: BTreeSet<Rule>,
    /// Whose request showed it first.
    pub request: Option<u32>,
    /// What was seen first, or why nothing could be told.
    pub what: String,
}

/// What a hunt came to.
#[derive(Clone, Debug, Default)]
pub struct Catch {
    /// Seeds played.
    pub seeds: u64,
    /// Requests that clients sent in all.
    pub requests: u64,
    /// Of them served.
    pub served: u64,
    /// What broke.
    pub found: Vec<Found>,
}

/// Plays seeds, many at once.
///
/// # Errors
/// The first run that can't be played.
pub fn hunt(
    experiment: &Experiment, policy: PolicyKind, seeds: std::ops::Range<u64>, bar: bool,
) -> Result<Catch, RunError> {
    let progress = if bar { ProgressBar::new(seeds.end - seeds.start) } else { ProgressBar::hidden() };
    let one = |seed: u64| -> Result<(u64, u64, Option<Found>), RunError> {
        let plan = Plan::draw(experiment, policy, seed, Path::new("."))?;
        let end = fleet::run(&plan, false, None)?;
        progress.inc(1);
        let v = &end.verdict;
        let rules: BTreeSet<Rule> = v.counts.keys().copied().collect();
        let what = v.breaches.first().map(|b| b.what.clone());
        let what =
            what.or_else(|| v.incomplete.first().cloned()).or_else(|| end.odd.first().map(|o| (*o).into()));
        let found =
            what.map(|what| Found { seed, rules, request: v.breaches.first().and_then(|b| b.request), what });
        Ok((end.measures.requests, u64::from(v.figures.served), found))
    };
    let ends: Vec<_> = seeds.clone().into_par_iter().map(one).collect();
    progress.finish_and_clear();
    let mut caught = Catch { seeds: seeds.end - seeds.start, ..Catch::default() };
    for end in ends {
        let (requests, served, found) = end?;
        caught.requests += requests;
        caught.served += served;
        caught.found.extend(found);
    }
    Ok(caught)
}

/// A plan cut down as far as it still breaks one of the rules that it broke, and how many runs that took.
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
    // The load first: fewer requests make every later run shorter.
    let all = (plan.experiment.warm_seconds + plan.experiment.seconds).ceil() as u32;
    let most = fleet::run(plan, false, None).map_or(all, |o| o.measures.requests as u32 + 1);
    let mut ranges = vec![(0, most)];
    best.keep = Some(ranges.clone());
    let mut size = most;
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

/// The story of a plan: of one request, or of everything.
///
/// # Errors
/// A plan that can't be played.
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

/// Everything that is to be known of a find: the seed, what broke, and the shortest history that shows it.
///
/// # Errors
/// A run that can't be played.
pub fn explain(experiment: &Experiment, policy: PolicyKind, found: &Found) -> Result<String, RunError> {
    let plan = Plan::draw(experiment, policy, found.seed, Path::new("."))?;
    let mut out = format!("seed {}: {:?}: {}\n", found.seed, found.rules, found.what);
    let end = fleet::run(&plan, false, None)?;
    if broken(&end.verdict) == 0 {
        out.push_str("no rule is broken; the records are not enough for a verdict\n");
        return Ok(out);
    }
    let (short, runs) = shrink(&plan, &found.rules);
    let kept: u32 = short.keep.iter().flatten().map(|r| r.1 - r.0).sum();
    let _ = writeln!(out, "shortest found in {runs} runs: {kept} requests, {} faults", short.steps.len());
    // The guilty request has another number in the shorter run.
    let guilty = fleet::run(&short, false, None)?.verdict.breaches.iter().find_map(|b| b.request);
    let lines = story(&short, guilty)?;
    for line in lines.lines().take(60) {
        let _ = writeln!(out, "  {line}");
    }
    Ok(out)
}

/// The fleet of the mixed schedule: three proxies and twelve servers of two kinds, every kind of fault.
///
/// # Panics
/// Never: the text is part of the program, and a test reads it.
pub fn mixed() -> Experiment {
    let points = crate::file::parse(include_str!("mixed.toml"));
    points.expect("the built-in file is in order").remove(0).experiment
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::defects::{DEFECTS, Defect};

    #[test]
    fn a_fixed_set_of_seeds_breaks_no_rule() {
        let caught = hunt(&mixed(), PolicyKind::Sandgap, 0..150, false).expect("it can be played");
        assert!(caught.found.is_empty(), "{:?}", caught.found);
        assert!(caught.served * 10 > caught.requests * 8, "{caught:?}");
    }

    #[test]
    fn every_defect_is_caught_by_its_rule_and_shrinks_to_little() {
        for defect in DEFECTS {
            let mut experiment = mixed();
            experiment.fleet.defect = Some(defect);
            // The module soon takes a server that turns everything away for ill and sends no more; the rest of it
            // can't be broken by a driver that sends it all to one place.
            let careless = defect == Defect::PushesCold;
            let policy = if careless { PolicyKind::Random } else { PolicyKind::Sandgap };
            let caught = hunt(&experiment, policy, 0..4, false).expect("it can be played");
            let rule = match defect {
                Defect::Resends | Defect::RefusesRan => Rule::NothingTwice,
                Defect::IgnoresDrains => Rule::DrainsKept,
                Defect::PushesCold => Rule::NoColdPushedOver,
                _ => Rule::NoRequestLost,
            };
            let found = caught.found.iter().find(|f| f.rules.contains(&rule));
            let found = found.unwrap_or_else(|| panic!("{defect:?} was not caught: {:?}", caught.found));
            if matches!(defect, Defect::Resends | Defect::IgnoresDrains) {
                let plan =
                    Plan::draw(&experiment, PolicyKind::Sandgap, found.seed, Path::new(".")).expect("drawn");
                let (short, runs) = shrink(&plan, &BTreeSet::from([rule]));
                let kept: u32 = short.keep.iter().flatten().map(|r| r.1 - r.0).sum();
                assert!(kept <= 200 && short.steps.len() < plan.steps.len() / 2, "{kept} after {runs} runs");
            }
        }
    }
}
