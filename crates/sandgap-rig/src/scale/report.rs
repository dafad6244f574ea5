//! The results of a run, per proxy and per voter.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use super::hollow::{Tally, Traffic};
use super::{FaultResult, Setup, Snapshot};

/// One change of the rules.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Change {
    /// For each proxy, in ascending order: the time from the start of the publication until it acted on the change, µs.
    pub after_us: Vec<u64>,
}

impl Change {
    /// The time by which this fraction of the proxies acted on the change, ms.
    fn quantile_ms(&self, fraction: f64) -> f64 {
        let last = self.after_us.len().saturating_sub(1);
        self.after_us.get((last as f64 * fraction).ceil() as usize).map_or(f64::NAN, |us| *us as f64 / 1000.0)
    }
}

/// What one voter used while nothing idle_start published.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct VoterCost {
    /// Fraction of a core.
    pub core: f64,
    /// Peak memory by the end of the measured changes, KiB.
    pub peak_kib: u64,
    /// Bytes written to disk per second.
    pub written_a_second: f64,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Hollow proxies.
    pub proxies: usize,
    /// Time until all proxies acted on the first version, s.
    pub settled_s: f64,
    /// The smallest number of members that any proxy knew after the idle time.
    pub fewest_members: usize,
    /// Bytes per second on a proxy's links, in both directions, while nothing idle_start published; likewise the figures below.
    pub bytes_a_second: f64,
    /// Bytes of membership messages sent per second by a proxy.
    pub membership_bytes_a_second: f64,
    /// Membership messages sent per second by a proxy.
    pub membership_a_second: f64,
    /// Lease requests sent per second by a proxy.
    pub asks_a_second: f64,
    /// Links of a proxy that are up.
    pub links: f64,
    /// Fraction of a core that a proxy uses; hollow proxies share processes.
    pub core: f64,
    /// Peak memory of the hollow proxies' processes divided by the number of proxies, KiB.
    pub peak_kib: f64,
    /// Leases lost from the start to the end of the measured changes.
    pub leases_lost: u64,
    /// The cost of each voter.
    pub voters: Vec<VoterCost>,
    /// Bytes per second between voters.
    pub between_voters: f64,
    /// Copies sent of each lease request.
    pub copies_a_question: f64,
    /// Rulebook requests sent per change and proxy.
    pub fetches_a_change: f64,
    /// Rulebooks received per change and proxy.
    pub books_a_change: f64,
    /// Notices received per change and proxy that another version is in force.
    pub news_a_change: f64,
    /// Log entries per change.
    pub entries_a_change: f64,
    /// Bytes of a received rulebook.
    pub book_bytes: f64,
    /// All measured changes.
    pub changes: Vec<Change>,
    /// The results of all faults.
    pub faults: Vec<FaultResult>,
}

impl Report {
    /// The longest time, over all changes, until this fraction of the proxies acted on one, ms.
    pub fn in_force_ms(&self, fraction: f64) -> f64 {
        self.changes.iter().map(|c| c.quantile_ms(fraction)).fold(0.0, f64::max)
    }

    /// Processor use of all voters together, in cores.
    pub fn voters_core(&self) -> f64 {
        self.voters.iter().map(|v| v.core).sum()
    }
}

/// Messages and bytes, each over the divisor.
fn per_unit(traffic: Traffic, divisor: f64) -> (f64, f64) {
    (traffic.messages as f64 / divisor, traffic.bytes as f64 / divisor)
}

/// Computes the report from the counters before and after the idle time and after the changes.
pub(super) fn compile(
    setup: &Setup, settled: Duration, [before, after, end]: [Snapshot; 3], changes: Vec<Change>,
    faults: Vec<FaultResult>,
) -> Report {
    let seconds = (after.at - before.at).as_secs_f64();
    let proxies = setup.hollows as f64;
    let proxy_seconds = proxies * seconds;
    let (idle_start, idle_end, last): (&Tally, &Tally, &Tally) = (&before.tally, &after.tally, &end.tally);
    let membership = per_unit(idle_end.membership.since(idle_start.membership), proxy_seconds);
    let questions = last.questions.max(1) as f64;
    let proxy_changes = proxies * setup.changes.max(1) as f64;
    let books = last.books.since(idle_end.books);
    let voter = |n: usize| VoterCost {
        core: (after.voters[n].cpu_us - before.voters[n].cpu_us) as f64 / 1e6 / seconds,
        peak_kib: end.voters[n].peak_kib,
        written_a_second: (after.voters[n].written - before.voters[n].written) as f64 / seconds,
    };
    Report {
        proxies: setup.hollows,
        settled_s: settled.as_secs_f64(),
        fewest_members: idle_end.fewest_members,
        bytes_a_second: (idle_end.link_bytes - idle_start.link_bytes) as f64 / proxy_seconds,
        membership_a_second: membership.0,
        membership_bytes_a_second: membership.1,
        asks_a_second: per_unit(idle_end.asks.since(idle_start.asks), proxy_seconds).0,
        links: idle_end.links as f64 / proxies,
        core: (idle_end.cpu_us - idle_start.cpu_us) as f64 / 1e6 / proxy_seconds,
        peak_kib: last.peak_kib as f64 / proxies,
        leases_lost: last.leases_lost,
        voters: (0..setup.voters).map(voter).collect(),
        between_voters: (after.between_voters - before.between_voters) as f64 / seconds,
        copies_a_question: last.asks.messages as f64 / questions,
        fetches_a_change: per_unit(last.fetches.since(idle_end.fetches), proxy_changes).0,
        books_a_change: per_unit(books, proxy_changes).0,
        news_a_change: per_unit(last.news.since(idle_end.news), proxy_changes).0,
        entries_a_change: (last.log_index - idle_end.log_index) as f64 / setup.changes.max(1) as f64,
        book_bytes: books.bytes as f64 / books.messages.max(1) as f64,
        changes,
        faults,
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(
            f,
            "{} hollow proxies, all on the first version after {:.1} s, each knows at least {} members",
            self.proxies, self.settled_s, self.fewest_members
        )?;
        writeln!(
            f,
            "  per proxy: {:.0} bytes/s on {:.1} links, of which membership sends {:.0} in {:.2} messages/s; \
             {:.2} lease requests/s; {:.2}% of a core, {:.0} KiB",
            self.bytes_a_second,
            self.links,
            self.membership_bytes_a_second,
            self.membership_a_second,
            self.asks_a_second,
            self.core * 100.0,
            self.peak_kib
        )?;
        for (n, voter) in self.voters.iter().enumerate() {
            writeln!(
                f,
                "  voter {n}: {:.1}% of a core, {} KiB, {:.0} bytes/s to disk",
                voter.core * 100.0,
                voter.peak_kib,
                voter.written_a_second
            )?;
        }
        writeln!(
            f,
            "  between voters: {:.0} bytes/s; leases lost: {}",
            self.between_voters, self.leases_lost
        )?;
        writeln!(
            f,
            "  {} changes: in force at 50% after {:.0} ms, at 99% after {:.0} ms, everywhere after {:.0} ms",
            self.changes.len(),
            self.in_force_ms(0.5),
            self.in_force_ms(0.99),
            self.in_force_ms(1.0)
        )?;
        write!(
            f,
            "  counts: {:.2} copies per lease request; per change and proxy: {:.2} rulebook requests, \
             {:.2} rulebooks of {:.0} bytes, {:.2} version notices; {:.1} log entries per change",
            self.copies_a_question,
            self.fetches_a_change,
            self.books_a_change,
            self.book_bytes,
            self.news_a_change,
            self.entries_a_change
        )?;
        for fault in &self.faults {
            write!(
                f,
                "\n  {}: change in force at 50% after {:.0} ms, everywhere after {:.0} ms; {} leases lost over {} running proxies",
                fault.what,
                fault.change.quantile_ms(0.5),
                fault.change.quantile_ms(1.0),
                fault.leases_lost,
                fault.proxies
            )?;
        }
        Ok(())
    }
}
