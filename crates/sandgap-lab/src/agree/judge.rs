//! What proxies could do at each moment, and whether two of them could contradict each other for too long.

use std::collections::BTreeMap;
use std::fmt;

use sandgap_agree::contradict::contradicts;
use sandgap_agree::{Digest, Rulebook, Version};

use crate::calendar::{MS, Nanos};

/// Breaches that are spelled out.
const SPELLED: usize = 8;

/// What came of runs.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Runs.
    pub runs: u64,
    /// What broke, and on which seed.
    pub broken: Vec<(u64, String)>,
    /// The longest time that two contradicting versions could be acted on together.
    pub longest: Nanos,
    /// The stated time.
    pub bound: Nanos,
    /// Versions that came into force.
    pub switches: u64,
    /// From publishing to the last proxy's switch, where every proxy was reached, of runs or spans without faults.
    pub delays: Vec<Nanos>,
    /// From a kill to the first heir, and from the end of the last lease to it.
    pub heirs: Vec<(Nanos, Nanos)>,
    /// Proxy time in which nothing could be taken, and all of it, once each proxy had taken part.
    pub lapsed: Nanos,
    /// All proxy time.
    pub lived: Nanos,
    /// Words sent.
    pub words: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Virtual time, in all.
    pub time: Nanos,
}

impl Findings {
    /// Two runs' findings as one.
    #[must_use]
    pub fn merge(mut self, other: Findings) -> Findings {
        self.runs += other.runs;
        self.broken.extend(other.broken);
        self.longest = self.longest.max(other.longest);
        self.bound = self.bound.max(other.bound);
        self.switches += other.switches;
        self.delays.extend(other.delays);
        self.heirs.extend(other.heirs);
        self.lapsed += other.lapsed;
        self.lived += other.lived;
        self.words += other.words;
        self.bytes += other.bytes;
        self.time += other.time;
        self
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ms = |n: Nanos| n as f64 / MS as f64;
        writeln!(
            f,
            "{} runs, {} versions in force, {} words of {:.0} bytes in the mean",
            self.runs,
            self.switches,
            self.words,
            self.bytes as f64 / self.words.max(1) as f64
        )?;
        writeln!(
            f,
            "longest contradiction {:.1} ms of {:.0} stated; publish to last switch p50 {:.1}, p99 {:.1} ms ({} seen)",
            ms(self.longest),
            ms(self.bound),
            quantile_ms(&self.delays, 0.5),
            quantile_ms(&self.delays, 0.99),
            self.delays.len()
        )?;
        let (kills, leases): (Vec<Nanos>, Vec<Nanos>) = self.heirs.iter().copied().unzip();
        writeln!(
            f,
            "{} kills followed by an heir: p50 {:.0}, p99 {:.0} ms after the kill; p50 {:.0}, p99 {:.0} ms after the lease",
            self.heirs.len(),
            quantile_ms(&kills, 0.5),
            quantile_ms(&kills, 0.99),
            quantile_ms(&leases, 0.5),
            quantile_ms(&leases, 0.99)
        )?;
        let part = 1.0 - self.lapsed as f64 / self.lived.max(1) as f64;
        write!(
            f,
            "proxies could take requests {:.3}% of the time; {} broken",
            part * 100.0,
            self.broken.len()
        )?;
        self.broken.iter().take(SPELLED).try_for_each(|(seed, what)| write!(f, "\n  seed {seed}: {what}"))
    }
}

/// A quantile in ms, from 0 to 1; not a number of none.
pub fn quantile_ms(all: &[Nanos], part: f64) -> f64 {
    let mut all = all.to_vec();
    all.sort_unstable();
    let at = (all.len().saturating_sub(1) as f64 * part).round() as usize;
    all.get(at).map_or(f64::NAN, |n| *n as f64 / MS as f64)
}

/// One version, as far as it was acted on.
#[derive(Default)]
struct Acted {
    first: Option<Nanos>,
    last: Nanos,
    digest: Option<Digest>,
    book: Option<Rulebook>,
}

/// Follows what each proxy could do.
#[derive(Default)]
pub struct Judge {
    versions: BTreeMap<Version, Acted>,
    /// Acknowledged to a publisher.
    acknowledged: BTreeMap<Version, Digest>,
    /// What is wrong.
    pub broken: Vec<String>,
}

impl Judge {
    /// A proxy could act on a version from one moment to another.
    pub fn acted(&mut self, version: Version, from: Nanos, to: Nanos) {
        let acted = self.versions.entry(version).or_default();
        acted.first = Some(acted.first.map_or(from, |first| first.min(from)));
        acted.last = acted.last.max(to);
    }

    /// A proxy acts on this content as a version.
    pub fn content(&mut self, version: Version, digest: Digest, book: &Rulebook) {
        let acted = self.versions.entry(version).or_default();
        match acted.digest {
            Some(other) if other != digest => {
                self.broken
                    .push(format!("version {version} is {other} at one proxy and {digest} at another"));
            }
            _ => {
                acted.digest = Some(digest);
                acted.book = Some(book.clone());
            }
        }
    }

    /// A publisher has been told that its rulebook is this version.
    pub fn acknowledged(&mut self, version: Version, digest: Digest) {
        self.known(version, digest, "a publisher");
        self.acknowledged.insert(version, digest);
    }

    /// A voter has this content as a version.
    pub fn known(&mut self, version: Version, digest: Digest, who: &str) {
        if self.acknowledged.get(&version).is_some_and(|told| *told != digest) {
            self.broken.push(format!("version {version} was acknowledged as another content than {who} has"));
        }
    }

    /// The longest that two contradicting versions could be acted on together, and which.
    pub fn longest(&self) -> (Nanos, Option<(Version, Version)>) {
        let mut longest = (0, None);
        for (v, a) in &self.versions {
            for (w, b) in self.versions.range(v + 1..) {
                let Some(first) = b.first else { continue };
                let together = a.last.saturating_sub(first);
                let books = a.book.as_ref().zip(b.book.as_ref());
                if together > longest.0 && books.is_none_or(|(a, b)| !contradicts(a, b).is_empty()) {
                    longest = (together, Some((*v, *w)));
                }
            }
        }
        longest
    }

    /// Versions that any proxy acted on.
    pub fn switches(&self) -> u64 {
        self.versions.values().filter(|a| a.first.is_some()).count() as u64
    }
}
