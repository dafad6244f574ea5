//! Checks which rulebook versions proxies could act on at each moment, and whether two contradicting versions could be
//! acted on together for longer than stated.

use std::collections::BTreeMap;
use std::fmt;

use sandgap_agree::contradictions::contradicts;
use sandgap_agree::{Digest, Rulebook, Version};

use crate::calendar::{MS, Nanos};

/// Violations that the summary prints in full; the rest are only counted.
const MAX_LISTED: usize = 8;

/// Results of one or more runs.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Number of runs.
    pub runs: u64,
    /// Violations, each with its seed.
    pub violations: Vec<(u64, String)>,
    /// The longest time for which two contradicting versions could be acted on together, ns.
    pub longest_overlap: Nanos,
    /// The stated bound of that time, ns.
    pub bound: Nanos,
    /// Number of versions that any proxy acted on.
    pub switches: u64,
    /// Time from a publication until all proxies acted on its version or a later one, ns, for publications where that
    /// happened.
    pub switch_delays: Vec<Nanos>,
    /// Time from a kill, and from the end of the killed process's lease, to its first successor, ns.
    pub successor_delays: Vec<(Nanos, Nanos)>,
    /// Total time in which proxies that had held a lease could take no request, ns.
    pub unavailable: Nanos,
    /// Length of the runs times the number of proxies, ns.
    pub proxy_time: Nanos,
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Total virtual time, ns.
    pub virtual_time: Nanos,
}

impl Findings {
    /// Adds the findings of two runs.
    #[must_use]
    pub fn merge(mut self, other: Findings) -> Findings {
        self.runs += other.runs;
        self.violations.extend(other.violations);
        self.longest_overlap = self.longest_overlap.max(other.longest_overlap);
        self.bound = self.bound.max(other.bound);
        self.switches += other.switches;
        self.switch_delays.extend(other.switch_delays);
        self.successor_delays.extend(other.successor_delays);
        self.unavailable += other.unavailable;
        self.proxy_time += other.proxy_time;
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.virtual_time += other.virtual_time;
        self
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ms = |n: Nanos| n as f64 / MS as f64;
        writeln!(
            f,
            "{} runs, {} versions in force, {} messages of {:.0} bytes on average",
            self.runs,
            self.switches,
            self.messages,
            self.bytes as f64 / self.messages.max(1) as f64
        )?;
        writeln!(
            f,
            "longest contradiction {:.1} ms (stated bound {:.0}); publish to last switch p50 {:.1}, p99 {:.1} ms ({} observed)",
            ms(self.longest_overlap),
            ms(self.bound),
            quantile_ms(&self.switch_delays, 0.5),
            quantile_ms(&self.switch_delays, 0.99),
            self.switch_delays.len()
        )?;
        let (kills, leases): (Vec<Nanos>, Vec<Nanos>) = self.successor_delays.iter().copied().unzip();
        writeln!(
            f,
            "{} kills followed by a successor: p50 {:.0}, p99 {:.0} ms after the kill; p50 {:.0}, p99 {:.0} ms after the lease",
            self.successor_delays.len(),
            quantile_ms(&kills, 0.5),
            quantile_ms(&kills, 0.99),
            quantile_ms(&leases, 0.5),
            quantile_ms(&leases, 0.99)
        )?;
        let available = 1.0 - self.unavailable as f64 / self.proxy_time.max(1) as f64;
        write!(
            f,
            "proxies could take requests {:.3}% of the time; {} violations",
            available * 100.0,
            self.violations.len()
        )?;
        self.violations
            .iter()
            .take(MAX_LISTED)
            .try_for_each(|(seed, what)| write!(f, "\n  seed {seed}: {what}"))
    }
}

/// A quantile (0 to 1) of times in ns, in ms; NaN if there are none.
pub fn quantile_ms(samples: &[Nanos], quantile: f64) -> f64 {
    let mut samples = samples.to_vec();
    samples.sort_unstable();
    let at = (samples.len().saturating_sub(1) as f64 * quantile).round() as usize;
    samples.get(at).map_or(f64::NAN, |n| *n as f64 / MS as f64)
}

/// How a version was used by proxies.
#[derive(Default)]
struct VersionUse {
    first: Option<Nanos>,
    last: Nanos,
    digest: Option<Digest>,
    book: Option<Rulebook>,
}

/// Tracks what each proxy could do.
#[derive(Default)]
pub struct Checker {
    versions: BTreeMap<Version, VersionUse>,
    /// Digests of the versions that were acknowledged to a publisher.
    acknowledged: BTreeMap<Version, Digest>,
    /// Descriptions of what broke the rules.
    pub violations: Vec<String>,
}

impl Checker {
    /// Records that a proxy could act on a version from one time to another.
    pub fn record_use(&mut self, version: Version, from: Nanos, to: Nanos) {
        let usage = self.versions.entry(version).or_default();
        usage.first = Some(usage.first.map_or(from, |first| first.min(from)));
        usage.last = usage.last.max(to);
    }

    /// Records the content on which a proxy acts as a version, and checks that all proxies have the same.
    pub fn record_content(&mut self, version: Version, digest: Digest, book: &Rulebook) {
        let usage = self.versions.entry(version).or_default();
        match usage.digest {
            Some(other) if other != digest => {
                self.violations.push(format!(
                    "version {version} has digest {other} at one proxy and {digest} at another"
                ));
            }
            _ => {
                usage.digest = Some(digest);
                usage.book = Some(book.clone());
            }
        }
    }

    /// Records that a publisher has been told that its rulebook is this version.
    pub fn record_acknowledged(&mut self, version: Version, digest: Digest) {
        self.check_content(version, digest, "a publisher");
        self.acknowledged.insert(version, digest);
    }

    /// Checks the content that `who` has for a version against the acknowledged one.
    pub fn check_content(&mut self, version: Version, digest: Digest, who: &str) {
        if self.acknowledged.get(&version).is_some_and(|told| *told != digest) {
            self.violations
                .push(format!("version {version} was acknowledged with other content than {who} has"));
        }
    }

    /// The longest time for which two contradicting versions could be acted on together, ns, and these versions.
    pub fn longest_overlap(&self) -> (Nanos, Option<(Version, Version)>) {
        let mut longest = (0, None);
        for (v, a) in &self.versions {
            for (w, b) in self.versions.range(v + 1..) {
                let Some(first) = b.first else { continue };
                let overlap = a.last.saturating_sub(first);
                let books = a.book.as_ref().zip(b.book.as_ref());
                if overlap > longest.0 && books.is_none_or(|(a, b)| !contradicts(a, b).is_empty()) {
                    longest = (overlap, Some((*v, *w)));
                }
            }
        }
        longest
    }

    /// Number of versions that any proxy acted on.
    pub fn versions_used(&self) -> u64 {
        self.versions.values().filter(|a| a.first.is_some()).count() as u64
    }
}
