//! What stands for a proxy's front and decision module: it takes a request in hand, sends it, repeats what may be
//! repeated, and ends it. Each first byte and each answer needs the keepers' word and the right to act.

use std::collections::BTreeMap;
use std::time::Duration;

use sandgap_agree::lives::drawn;
use sandgap_fleet::Time;
use sandgap_takeover::hands::Begun;
use sandgap_takeover::owner::Why;
use sandgap_takeover::{Answer, Effect, End, Hands, Plan, Sent};

use super::Flaw;
use super::judge::Told;
use crate::calendar::Nanos;

/// For how long a cell drops repeats.
pub const WINDOW: Duration = Duration::from_millis(2500);
/// Cells; each backend stands in one.
pub const CELLS: u64 = 2;
/// Attempts at most.
const ATTEMPTS: u32 = 3;

/// What a job waits for.
#[derive(Clone, Debug, PartialEq)]
enum Waits {
    /// Its keepers.
    Kept,
    /// Their word on an attempt, to a backend, and the step.
    Clear(u64, u32),
    /// The backend.
    Reply,
    /// Their word on its end, and the step.
    End(Told, u32),
}

/// One request in hand.
pub struct Job {
    /// Which.
    pub wish: usize,
    effect: Effect,
    waits: Waits,
    attempts: u32,
    /// The cell and until when it drops repeats, once it may have run.
    bound: Option<(u64, Time)>,
    deadline: Time,
    /// Its keepers have it.
    pub kept: bool,
}

/// What the world does for a proxy.
pub enum Deed {
    /// A request goes to a backend: which, the request's number here, its attempt.
    Write(u64, u64, u32),
    /// A client is told.
    Tell(usize, Told),
    /// An inherited request goes on.
    GoesOn(usize),
}

/// See the module.
pub struct Proxy {
    /// What it has in hand.
    pub jobs: BTreeMap<u64, Job>,
    flaw: Option<Flaw>,
    draw: u64,
}

fn told(end: &End) -> Told {
    match end {
        End::Answered(Answer::Whole(_, _, body)) => {
            Told::Answer(body.first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes)))
        }
        End::Answered(Answer::Digest(..)) => Told::NoWord,
        End::Unknown => Told::Unknown,
        End::Refused => Told::Refused,
    }
}

impl Proxy {
    /// One with nothing in hand.
    pub fn new(flaw: Option<Flaw>, draw: u64) -> Self {
        Proxy { jobs: BTreeMap::new(), flaw, draw }
    }

    /// A client's request has been taken in hand.
    pub fn taken(&mut self, seq: u64, wish: usize, effect: Effect, deadline: Time) {
        let waits = Waits::Kept;
        let job = Job { wish, effect, waits, attempts: 0, bound: None, deadline, kept: false };
        self.jobs.insert(seq, job);
    }

    fn drawn(&mut self, of: u64) -> u64 {
        self.draw = drawn(self.draw);
        (self.draw >> 33) % of
    }

    /// An inherited request may go on.
    pub fn begin(&mut self, now: Time, begun: Begun, wish: usize, hands: &mut Hands, deeds: &mut Vec<Deed>) {
        let Begun { seq, record, deadline, plan, .. } = begun;
        let cell = record.sent.first().and_then(|s| s.cell.as_ref()?.parse().ok());
        let bound = match (plan, cell) {
            (Plan::Again(until), Some(cell)) => Some((cell, until)),
            _ => None,
        };
        let attempts = record.sent.iter().map(|s| s.attempt + 1).max().unwrap_or(0);
        let job =
            Job { wish, effect: record.effect, waits: Waits::Kept, attempts, bound, deadline, kept: true };
        self.jobs.insert(seq, job);
        deeds.push(Deed::GoesOn(wish));
        self.send(now, seq, hands);
    }

    fn send(&mut self, now: Time, seq: u64, hands: &mut Hands) {
        let backend = self.drawn(4 / CELLS);
        let any = self.drawn(CELLS);
        let Some(job) = self.jobs.get_mut(&seq) else { return };
        let cell = job.bound.map_or(any, |(cell, _)| cell);
        let backend = backend * CELLS + cell;
        let window = (job.effect == Effect::Keyed).then_some(WINDOW);
        let sent = Sent {
            attempt: job.attempts,
            backend: format!("b{backend}"),
            zone: None,
            cell: Some(cell.to_string()),
            window,
        };
        job.attempts += 1;
        if self.flaw == Some(Flaw::SentNotRecorded) {
            job.waits = Waits::Clear(backend, 0);
            return;
        }
        if let Some(step) = hands.sending(now, seq, sent) {
            job.waits = Waits::Clear(backend, step);
        }
    }

    fn end(&mut self, now: Time, seq: u64, end: End, hands: &mut Hands) {
        let Some(job) = self.jobs.get_mut(&seq) else { return };
        let told = told(&end);
        if let Some(step) = hands.ended(now, seq, end) {
            job.waits = Waits::End(told, step);
        }
    }

    /// All keepers have a step.
    pub fn cleared(
        &mut self, now: Time, seq: u64, step: u32, right: bool, hands: &mut Hands, deeds: &mut Vec<Deed>,
    ) {
        let Some(job) = self.jobs.get_mut(&seq) else { return };
        job.kept = true;
        match job.waits.clone() {
            Waits::Kept => {
                self.send(now, seq, hands);
                self.hurry(now, seq, right, hands, deeds);
            }
            Waits::Clear(backend, wanted) if step >= wanted => {
                self.write(now, seq, backend, right, hands, deeds);
            }
            Waits::End(told, wanted) if step >= wanted => {
                let Some(job) = self.jobs.remove(&seq) else { return };
                let told = if right { told } else { Told::NoWord };
                deeds.push(Deed::Tell(job.wish, told));
                hands.release(seq);
            }
            _ => {}
        }
    }

    /// Flaws that wait for nobody.
    fn hurry(&mut self, now: Time, seq: u64, right: bool, hands: &mut Hands, deeds: &mut Vec<Deed>) {
        let hurries = matches!(self.flaw, Some(Flaw::SendBeforeKeeping | Flaw::SentNotRecorded));
        if let Some(Waits::Clear(backend, _)) =
            self.jobs.get(&seq).map(|j| j.waits.clone()).filter(|_| hurries)
        {
            self.write(now, seq, backend, right, hands, deeds);
        }
    }

    fn write(
        &mut self, now: Time, seq: u64, backend: u64, right: bool, hands: &mut Hands, deeds: &mut Vec<Deed>,
    ) {
        let Some(job) = self.jobs.get_mut(&seq) else { return };
        if !right {
            return; // the lease has lapsed: an heir goes on from here, or this one once it holds it again
        }
        let dropped = job.bound.is_none_or(|(_, until)| now < until);
        if !dropped || now >= job.deadline {
            let ran = job.bound.is_some() || job.effect == Effect::Unsafe && job.attempts > 1;
            hands.unsent(now, seq, job.attempts - 1);
            let end = if ran { End::Unknown } else { End::Refused };
            return self.end(now, seq, end, hands);
        }
        if job.effect == Effect::Keyed && job.bound.is_none() {
            job.bound = Some((backend % CELLS, now + WINDOW));
        }
        job.waits = Waits::Reply;
        deeds.push(Deed::Write(backend, seq, job.attempts - 1));
    }

    /// A backend has answered, or its connection broke.
    pub fn reply(
        &mut self, now: Time, seq: u64, answer: Option<u64>, right: bool, hands: &mut Hands,
        deeds: &mut Vec<Deed>,
    ) {
        let Some(job) = self.jobs.get_mut(&seq).filter(|job| job.waits == Waits::Reply) else { return };
        match answer {
            Some(answer) => {
                let body = answer.to_le_bytes().to_vec();
                self.end(now, seq, End::Answered(Answer::Whole(200, Vec::new(), body)), hands);
            }
            None if job.effect == Effect::Unsafe => self.end(now, seq, End::Unknown, hands),
            None if job.attempts >= ATTEMPTS || now >= job.deadline => {
                let end = if job.effect == Effect::Safe { End::Refused } else { End::Unknown };
                self.end(now, seq, end, hands);
            }
            None => {
                self.send(now, seq, hands);
                self.hurry(now, seq, right, hands, deeds);
            }
        }
    }

    /// A request can't go on.
    pub fn stopped(&mut self, now: Time, seq: u64, why: Why, hands: &mut Hands, deeds: &mut Vec<Deed>) {
        let Some(job) = self.jobs.get_mut(&seq) else { return };
        match why {
            Why::Ended(end) => {
                deeds.push(Deed::Tell(job.wish, told(&end)));
                self.jobs.remove(&seq);
                hands.release(seq);
            }
            // Its client is told to come again, and the record ends once a keeper is in reach.
            Why::NoKeeper | Why::Full => {
                deeds.push(Deed::Tell(job.wish, Told::NoWord));
                match job.waits {
                    // A keeper may have it, unheard: there it has to end.
                    Waits::Kept => {
                        let step = hands.ended(now, seq, End::Refused).unwrap_or_default();
                        job.waits = Waits::End(Told::NoWord, step);
                    }
                    _ if now < job.deadline + WINDOW => hands.retry(now, seq),
                    _ => {
                        self.jobs.remove(&seq);
                        hands.release(seq);
                    }
                }
            }
            Why::Held(_) | Why::Differs | Why::Blind(_) | Why::Over => {
                deeds.push(Deed::Tell(job.wish, Told::NoWord));
                self.jobs.remove(&seq);
                hands.release(seq);
            }
        }
    }

    /// This process may act for none of these any more.
    pub fn over(&mut self, deeds: &mut Vec<Deed>) {
        for job in std::mem::take(&mut self.jobs).into_values() {
            deeds.push(Deed::Tell(job.wish, Told::NoWord));
        }
    }
}

/// A span of virtual time as a duration.
pub fn span(ns: Nanos) -> Duration {
    Duration::from_nanos(ns)
}
