//! What a play came to, for each proxy and each voter.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use super::hollow::{Tally, Traffic};
use super::{Fault, Moment, Setup};

/// One change of the rules.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Change {
    /// By proxy, from the shortest: how long after it was published it was acted on, µs.
    pub after_us: Vec<u64>,
}

impl Change {
    /// The time by which this part of the proxies acted, ms.
    fn by(&self, part: f64) -> f64 {
        let last = self.after_us.len().saturating_sub(1);
        self.after_us.get((last as f64 * part).ceil() as usize).map_or(f64::NAN, |us| *us as f64 / 1000.0)
    }
}

/// What one voter used while nothing changed.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct VoterCost {
    /// Part of a core.
    pub core: f64,
    /// Peak memory so far, KiB.
    pub peak_kib: u64,
    /// Bytes to disk a second.
    pub written_a_second: f64,
}

/// What a play came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Hollow proxies.
    pub proxies: usize,
    /// Until all acted on the first version, s.
    pub settled_s: f64,
    /// Members that the proxy knew which knew the fewest, after the idle span.
    pub fewest_members: usize,
    /// For each proxy while nothing changed: bytes a second on its links, both ways.
    pub bytes_a_second: f64,
    /// The same of membership messages alone, sent.
    pub membership_bytes_a_second: f64,
    /// Membership messages sent a second.
    pub membership_a_second: f64,
    /// Questions for a lease a second.
    pub asks_a_second: f64,
    /// Links that are up.
    pub links: f64,
    /// Part of a core, as hollow proxies share processes.
    pub core: f64,
    /// Peak memory of their processes, KiB for each proxy.
    pub peak_kib: f64,
    /// Leases lost over the whole play.
    pub leases_lost: u64,
    /// By voter.
    pub voters: Vec<VoterCost>,
    /// Bytes a second between voters.
    pub between_voters: f64,
    /// Copies of each question that were sent.
    pub copies_a_question: f64,
    /// For each change and proxy: rulebooks that were asked for and that came, and words that something else stands.
    pub fetches_a_change: f64,
    /// See there.
    pub books_a_change: f64,
    /// See there.
    pub news_a_change: f64,
    /// Entries of the log for each change.
    pub entries_a_change: f64,
    /// Bytes of a rulebook that came.
    pub book_bytes: f64,
    /// All changes.
    pub changes: Vec<Change>,
    /// All faults.
    pub faults: Vec<Fault>,
}

impl Report {
    /// The longest time until this part of the proxies acted on a change, ms.
    pub fn in_force_ms(&self, part: f64) -> f64 {
        self.changes.iter().map(|c| c.by(part)).fold(0.0, f64::max)
    }

    /// Part of a core that all voters use together.
    pub fn voters_core(&self) -> f64 {
        self.voters.iter().map(|v| v.core).sum()
    }
}

fn per(traffic: Traffic, divisor: f64) -> (f64, f64) {
    (traffic.messages as f64 / divisor, traffic.bytes as f64 / divisor)
}

pub(super) fn compile(
    setup: &Setup, settled: Duration, [before, after, end]: [Moment; 3], changes: Vec<Change>,
    faults: Vec<Fault>,
) -> Report {
    let seconds = (after.at - before.at).as_secs_f64();
    let proxies = setup.hollows as f64;
    let proxy_seconds = proxies * seconds;
    let (was, is, last): (&Tally, &Tally, &Tally) = (&before.tally, &after.tally, &end.tally);
    let membership = per(is.membership.since(was.membership), proxy_seconds);
    let questions = last.questions.max(1) as f64;
    let proxy_changes = proxies * setup.changes.max(1) as f64;
    let books = last.books.since(is.books);
    let voter = |n: usize| VoterCost {
        core: (after.voters[n].cpu_us - before.voters[n].cpu_us) as f64 / 1e6 / seconds,
        peak_kib: end.voters[n].peak_kib,
        written_a_second: (after.voters[n].written - before.voters[n].written) as f64 / seconds,
    };
    Report {
        proxies: setup.hollows,
        settled_s: settled.as_secs_f64(),
        fewest_members: is.fewest_members,
        bytes_a_second: (is.link_bytes - was.link_bytes) as f64 / proxy_seconds,
        membership_a_second: membership.0,
        membership_bytes_a_second: membership.1,
        asks_a_second: per(is.asks.since(was.asks), proxy_seconds).0,
        links: is.links as f64 / proxies,
        core: (is.cpu_us - was.cpu_us) as f64 / 1e6 / proxy_seconds,
        peak_kib: last.peak_kib as f64 / proxies,
        leases_lost: last.leases_lost,
        voters: (0..setup.voters).map(voter).collect(),
        between_voters: (after.between_voters - before.between_voters) as f64 / seconds,
        copies_a_question: last.asks.messages as f64 / questions,
        fetches_a_change: per(last.fetches.since(is.fetches), proxy_changes).0,
        books_a_change: per(books, proxy_changes).0,
        news_a_change: per(last.news.since(is.news), proxy_changes).0,
        entries_a_change: (last.log_index - is.log_index) as f64 / setup.changes.max(1) as f64,
        book_bytes: books.bytes as f64 / books.messages.max(1) as f64,
        changes,
        faults,
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(
            f,
            "{} hollow proxies, settled after {:.1} s, each knows {} members or more",
            self.proxies, self.settled_s, self.fewest_members
        )?;
        writeln!(
            f,
            "  a proxy: {:.0} bytes/s on {:.1} links, of which membership sends {:.0} in {:.2} messages/s; \
             {:.2} questions/s; {:.2}% of a core, {:.0} KiB",
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
            "  {} changes: in force at half after {:.0} ms, at 99% after {:.0} ms, everywhere after {:.0} ms",
            self.changes.len(),
            self.in_force_ms(0.5),
            self.in_force_ms(0.99),
            self.in_force_ms(1.0)
        )?;
        write!(
            f,
            "  counts: {:.2} copies a question; a change and proxy: {:.2} fetches, {:.2} books of {:.0} bytes, \
             {:.2} news; {:.1} entries a change",
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
                "\n  {}: a change in force at half after {:.0} ms, everywhere after {:.0} ms; {} of {} proxies' leases lost",
                fault.what,
                fault.change.by(0.5),
                fault.change.by(1.0),
                fault.leases_lost,
                fault.proxies
            )?;
        }
        Ok(())
    }
}
