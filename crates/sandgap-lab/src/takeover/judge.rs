//! What backends ran and clients were told.

use std::fmt;

use sandgap_takeover::Effect;

use crate::agree::judge::quantile_ms;
use crate::calendar::Nanos;

/// Breaches that are spelled out.
const SPELLED: usize = 8;

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The answer of a run.
    Answer(u64),
    /// It may have run; nobody knows.
    Unknown,
    /// It never ran, and that was recorded.
    Refused,
    /// Nothing about it: come again.
    NoWord,
}

/// One request, as its client and the backends know it.
#[derive(Clone, Debug)]
pub struct Wish {
    /// Whether it may run more than once.
    pub effect: Effect,
    /// How often it took effect.
    pub runs: u32,
    /// What its client has been told for good.
    pub told: Option<Told>,
    /// Visits so far.
    pub visits: u32,
    /// Its client waits for an answer to the visit of that number at a process.
    pub at: Option<(usize, u32)>,
    /// At which visit it was told last that it never ran.
    pub refused: Option<u32>,
    /// Its owner was killed while it was kept, and when.
    pub lost: Option<Nanos>,
    /// It went on after that.
    pub went_on: bool,
}

/// What came of runs.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Runs.
    pub runs: u64,
    /// What broke, and on which seed.
    pub broken: Vec<(u64, String)>,
    /// Requests.
    pub requests: u64,
    /// Those that got an answer.
    pub answered: u64,
    /// Those whose client was told that nobody knows.
    pub unknown: u64,
    /// Those kept whose owner was killed while it had them in hand.
    pub lost: u64,
    /// Of them: got their one true answer.
    pub saved: u64,
    /// Of them: ended as unknown.
    pub lost_unknown: u64,
    /// From the kill to the first step of another.
    pub delays: Vec<Nanos>,
    /// From the wish to its end, of those never lost.
    pub words: u64,
    /// Bytes of them.
    pub bytes: u64,
}

impl Findings {
    /// Two runs' findings as one.
    #[must_use]
    pub fn merge(mut self, other: Findings) -> Findings {
        self.runs += other.runs;
        self.broken.extend(other.broken);
        self.requests += other.requests;
        self.answered += other.answered;
        self.unknown += other.unknown;
        self.lost += other.lost;
        self.saved += other.saved;
        self.lost_unknown += other.lost_unknown;
        self.delays.extend(other.delays);
        self.words += other.words;
        self.bytes += other.bytes;
        self
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let part = |n: u64, of: u64| 100.0 * n as f64 / of.max(1) as f64;
        writeln!(
            f,
            "{} runs, {} requests: {:.2}% answered, {:.3}% unknown; {} words of {:.0} bytes between proxies",
            self.runs,
            self.requests,
            part(self.answered, self.requests),
            part(self.unknown, self.requests),
            self.words,
            self.bytes as f64 / self.words.max(1) as f64
        )?;
        writeln!(
            f,
            "{} kept ones lost their owner: {:.2}% got their answer, {:.2}% unknown; to the next step p50 {:.0}, p99 {:.0} ms",
            self.lost,
            part(self.saved, self.lost),
            part(self.lost_unknown, self.lost),
            quantile_ms(&self.delays, 0.5),
            quantile_ms(&self.delays, 0.99)
        )?;
        write!(f, "{} broken", self.broken.len())?;
        self.broken.iter().take(SPELLED).try_for_each(|(seed, what)| write!(f, "\n  seed {seed}: {what}"))
    }
}

/// Follows every request.
#[derive(Default)]
pub struct Judge {
    /// All requests.
    pub wishes: Vec<Wish>,
    /// What is wrong.
    pub broken: Vec<String>,
}

impl Judge {
    /// A request took effect at a backend.
    pub fn ran(&mut self, n: usize, how: &str) {
        let wish = &mut self.wishes[n];
        wish.runs += 1;
        if wish.effect != Effect::Safe && wish.runs > 1 {
            self.broken.push(format!("request {n} ({:?}) took effect twice ({how})", wish.effect));
        }
        if wish.effect != Effect::Safe && wish.refused == Some(wish.visits) {
            self.broken
                .push(format!("request {n} took effect after its client had been told that it never will"));
        }
    }

    /// A client was told something.
    pub fn told(&mut self, n: usize, told: Told) {
        let wish = &mut self.wishes[n];
        if told == Told::NoWord {
            return;
        }
        if told == Told::Refused {
            wish.refused = Some(wish.visits);
            if wish.runs > 0 && wish.effect != Effect::Safe {
                self.broken.push(format!("request {n} was told that it never ran, and it did"));
            }
            return;
        }
        let safe = wish.effect == Effect::Safe;
        let differs = wish.told.is_some_and(|before| before != told);
        if differs && !safe {
            self.broken.push(format!("request {n} was told {:?} and {told:?}", wish.told));
        }
        wish.told = Some(told);
    }

    /// Adds up.
    pub fn close(self, seed: u64, found: &mut Findings) {
        for wish in &self.wishes {
            let answered = matches!(wish.told, Some(Told::Answer(_)));
            let unknown = wish.told == Some(Told::Unknown);
            found.requests += 1;
            found.answered += u64::from(answered);
            found.unknown += u64::from(unknown);
            if wish.lost.is_some() {
                found.lost += 1;
                found.saved += u64::from(answered);
                found.lost_unknown += u64::from(unknown);
            }
        }
        found.broken = self.broken.into_iter().map(|b| (seed, b)).collect();
    }
}
