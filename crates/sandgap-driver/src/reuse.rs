//! Decides when a connection to a backend may carry another request, and whether an answer on it belongs to the request that
//! was sent last.
//!
//! HTTP/1.1 ties an answer to its request by its place on the connection alone. If a backend sends an answer that no request
//! asked for, the next request on that connection gets the wrong one, and the connection stays one answer behind. So an
//! answer proves something about its request only if none of an earlier exchange can still arrive: on a new connection, or
//! after the connection has been quiet for long enough.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use wharfhitch::ClassId;

use crate::core::Time;

/// A connection that has been quiet for this long is taken to owe no further answer. A segment that was sent along with the
/// answer and lost is sent again after TCP's minimum retransmission timeout, 200 ms on Linux.
pub const QUIET: Duration = Duration::from_millis(250);
/// Pause of a connection after an answer that proves its request: the answer's duration divided by the first value, at most
/// the second.
const PAUSE: (u32, Duration) = (8, Duration::from_millis(10));
/// Upper bound of the quiet time that is required of a backend that sends unsolicited answers.
const MAX_QUIET: Duration = Duration::from_secs(2);
/// The quiet time required of such a backend, as a multiple of the longest delay seen.
const QUIET_PER_DELAY: u32 = 2;
/// How long such a backend is distrusted after its latest unsolicited answer: at first, and at most. The time doubles each
/// time it sends one after it was trusted again.
const DISTRUST: (Duration, Duration) = (Duration::from_secs(60), Duration::from_secs(960));
/// Equal answers are unusual in a class if there are at least this many different ones for each.
const DIFFERENT_PER_EQUAL: u32 = 64;
/// Answers of one connection that are compared with later ones, at most. A connection with more of them within the required
/// quiet time has to be quiet first.
const MAX_RECENT: usize = 1024;
/// The counts of equal and different answers are halved when they reach this value, so that they follow changes.
const MAX_COUNT: u32 = 1 << 16;

/// A request and its answer, as far as they matter here.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// Class of the request.
    pub class: ClassId,
    /// Hash of what the request asks for: its target and its idempotency key.
    pub question: u64,
    /// Whether an equal question may get an equal answer, because the request may be repeated.
    pub is_repeatable: bool,
    /// The answer began before the request's last byte was written.
    pub is_early: bool,
    /// Until when the backend was asked to answer.
    pub until: Time,
    /// The answer.
    pub answer: AnswerKind,
}

/// The answer of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// A success, with a hash of its body.
    Success(u64),
    /// A long success, whose body is passed on as it arrives.
    LongSuccess,
    /// A rejection that says that the request was not processed.
    Rejection,
    /// Any other answer.
    Failure,
}

/// Why an answer may belong to another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// It began before the request was complete.
    Early,
    /// It repeats a recent answer on the connection, where answers differ.
    Repeated,
    /// The backend has sent an unsolicited answer on another connection meanwhile.
    Distrusted,
}

impl Doubt {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Doubt::Early => "early",
            Doubt::Repeated => "repeated",
            Doubt::Distrusted => "distrusted",
        }
    }
}

/// What an answer says about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It belongs to the request.
    Proven,
    /// It is taken for the request's answer, but does not prove that the request has not run.
    Unproven,
    /// It may belong to another request and must not be used.
    Doubtful(Doubt),
}

/// The latest answer on a connection.
#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    at: Time,
    /// How long the request was out.
    took: Duration,
    /// Until when the request's true answer, or a second one that can't be told from the next, may still come.
    behind_until: Time,
}

/// The body of an answer with which later ones on the connection are compared.
#[derive(Clone, Copy, Debug)]
struct RecentBody {
    at: Time,
    class: ClassId,
    body: u64,
    question: u64,
}

/// What is known of a connection.
#[derive(Clone, Debug)]
pub struct ConnectionHistory {
    /// Number of the connection, unique within the process.
    pub number: u64,
    /// Answers received so far.
    pub answers: u32,
    last: Option<LastAnswer>,
    /// Bodies of the answers within the required quiet time, the latest last.
    recent: VecDeque<RecentBody>,
    /// Whether the connection had been quiet for long enough when the present request was sent.
    was_quiet: bool,
}

impl ConnectionHistory {
    /// A new connection.
    pub fn new(number: u64) -> Self {
        ConnectionHistory { number, answers: 0, last: None, recent: VecDeque::new(), was_quiet: true }
    }

    /// The latest answer, which was long, has ended.
    pub fn extend_last(&mut self, now: Time) {
        if let Some(last) = &mut self.last {
            last.at = now;
            last.behind_until = last.behind_until.max(now + QUIET);
        }
    }

    /// Time since the latest answer.
    pub fn quiet(&self, now: Time) -> Option<Duration> {
        self.last.map(|last| now.saturating_sub(last.at))
    }
}

/// A backend that has sent an unsolicited answer.
#[derive(Clone, Copy, Debug)]
struct Distrust {
    until: Time,
    span: Duration,
    /// How long a connection has to be quiet before it is used again.
    quiet: Duration,
}

/// An answer with which the next one is compared.
#[derive(Clone, Copy, Debug)]
struct LastBody {
    at: Time,
    body: u64,
    question: u64,
    connection: u64,
}

/// How often an answer differed from the one before.
#[derive(Clone, Copy, Debug, Default)]
struct Variety {
    different: u32,
    equal: u32,
}

impl Variety {
    fn is_known(self) -> bool {
        self.different + self.equal > 0
    }

    /// Whether an equal answer would be unusual.
    fn is_distinctive(self) -> bool {
        self.is_known() && self.equal.saturating_mul(DIFFERENT_PER_EQUAL) <= self.different
    }

    /// Compares an answer with the one before. An equal one on the same connection counts only if that had been quiet, as it
    /// may be a repeated answer.
    fn compare(&mut self, before: &LastBody, latest: &LastBody, was_quiet: bool) {
        if before.body != latest.body {
            self.different += 1;
        } else if before.connection != latest.connection || was_quiet {
            self.equal += 1;
        }
        if self.different.max(self.equal) >= MAX_COUNT {
            (self.different, self.equal) = (self.different / 2, self.equal / 2);
        }
    }
}

/// How much the answers of a class differ from one another.
#[derive(Clone, Debug, Default)]
struct AnswerVariety {
    /// The latest answer of any backend.
    last: Option<LastBody>,
    /// Answers to different questions, of all backends together.
    other_question: Variety,
    /// Answers of one backend to the same question.
    same_question: Variety,
}

impl AnswerVariety {
    /// Whether an equal answer would be unusual. Where answers to the same question differ, others do, too.
    fn is_distinctive(&self, is_same_question: bool) -> bool {
        let is_other_known = !is_same_question && self.other_question.is_known();
        if is_other_known { self.other_question } else { self.same_question }.is_distinctive()
    }
}

/// When a connection may be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Availability {
    /// From then on at the earliest.
    pub from: Time,
    /// From then on its answers prove something about their requests.
    pub quiet_from: Time,
}

/// The rules and what has been learned of backends, which are named by their endpoint numbers. A backend that has restarted
/// has a new number and is trusted.
#[derive(Debug, Default)]
pub struct ConnectionReuse {
    distrusted: FxHashMap<u64, Distrust>,
    /// Bounded by the number of classes.
    varieties: FxHashMap<ClassId, AnswerVariety>,
    /// The latest answer of each backend and class; old ones are removed.
    last_bodies: FxHashMap<(u64, ClassId), LastBody>,
}

impl ConnectionReuse {
    fn distrust(&self, now: Time, endpoint: u64) -> Option<&Distrust> {
        self.distrusted.get(&endpoint).filter(|distrust| now < distrust.until)
    }

    /// How long a connection to a backend has to be quiet before its next answer proves something.
    pub fn required_quiet(&self, now: Time, endpoint: u64) -> Duration {
        self.distrust(now, endpoint).map_or(QUIET, |distrust| distrust.quiet)
    }

    /// Whether a backend is distrusted: its connections are used only when they have been quiet for long enough.
    pub fn is_distrusted(&self, now: Time, endpoint: u64) -> bool {
        self.distrust(now, endpoint).is_some()
    }

    /// When a connection on which an answer has ended may be used again.
    pub fn availability(&self, now: Time, endpoint: u64, history: &ConnectionHistory) -> Availability {
        let Some(last) = history.last else { return Availability { from: now, quiet_from: now } };
        let quiet_from = (last.at + self.required_quiet(now, endpoint)).max(last.behind_until);
        let pause = (last.took / PAUSE.0).min(PAUSE.1);
        let needs_quiet = self.is_distrusted(now, endpoint) || history.recent.len() >= MAX_RECENT;
        let from = if needs_quiet { quiet_from } else { (last.at + pause).max(last.behind_until) };
        Availability { from, quiet_from }
    }

    /// A request is about to be sent.
    pub fn begin(&self, now: Time, endpoint: u64, history: &mut ConnectionHistory) {
        history.was_quiet = self.availability(now, endpoint, history).quiet_from <= now;
        let oldest = now.saturating_sub(self.required_quiet(now, endpoint));
        while history.recent.front().is_some_and(|recent| recent.at < oldest) {
            history.recent.pop_front();
        }
    }

    /// An answer has been received; `took` since its request was sent. It is recorded unless it is doubtful.
    pub fn judge(
        &mut self, now: Time, endpoint: u64, history: &mut ConnectionHistory, exchange: Exchange,
        took: Duration,
    ) -> Verdict {
        if let Some(doubt) = self.doubt(now, endpoint, history, &exchange) {
            if doubt == Doubt::Repeated {
                self.record_unsolicited(now, endpoint, history);
            }
            return Verdict::Doubtful(doubt);
        }
        history.answers += 1;
        let behind_until = match exchange.answer {
            // Used again at once only if a second copy of this answer would be recognized.
            AnswerKind::Success(body) if self.record_body(now, endpoint, history, body, &exchange) => now,
            AnswerKind::Success(_) => now + QUIET,
            _ if !history.was_quiet => exchange.until.max(now) + QUIET,
            AnswerKind::LongSuccess => now + QUIET,
            AnswerKind::Rejection | AnswerKind::Failure => now,
        };
        history.last = Some(LastAnswer { at: now, took, behind_until });
        match exchange.answer {
            AnswerKind::Rejection if !history.was_quiet => Verdict::Unproven,
            _ => Verdict::Proven,
        }
    }

    fn doubt(
        &self, now: Time, endpoint: u64, history: &ConnectionHistory, exchange: &Exchange,
    ) -> Option<Doubt> {
        if history.was_quiet {
            None
        } else if exchange.is_early {
            Some(Doubt::Early)
        } else if self.is_repeated(history, exchange) {
            Some(Doubt::Repeated)
        } else {
            self.is_distrusted(now, endpoint).then_some(Doubt::Distrusted)
        }
    }

    /// Whether an answer has the body of a recent one on its connection, where answers are known to differ.
    fn is_repeated(&self, history: &ConnectionHistory, exchange: &Exchange) -> bool {
        let AnswerKind::Success(body) = exchange.answer else { return false };
        let is_unusual = |recent: &RecentBody| {
            let is_same_question = exchange.is_repeatable && recent.question == exchange.question;
            self.varieties.get(&recent.class).is_some_and(|variety| variety.is_distinctive(is_same_question))
        };
        history.recent.iter().any(|recent| recent.body == body && is_unusual(recent))
    }

    /// Records the body of an answer, for comparison with others of its class and with later ones on its connection. Returns
    /// whether a second copy of it would be recognized as the answer to another question.
    fn record_body(
        &mut self, now: Time, endpoint: u64, history: &mut ConnectionHistory, body: u64, exchange: &Exchange,
    ) -> bool {
        let question = exchange.question;
        if history.recent.len() < MAX_RECENT {
            history.recent.push_back(RecentBody { at: now, class: exchange.class, body, question });
        }
        let latest = LastBody { at: now, body, question, connection: history.number };
        let variety = self.varieties.entry(exchange.class).or_default();
        let is_same_question = |before: &LastBody| exchange.is_repeatable && before.question == question;
        if let Some(before) = variety.last.replace(latest).filter(|before| !is_same_question(before)) {
            variety.other_question.compare(&before, &latest, history.was_quiet);
        }
        let before = self.last_bodies.insert((endpoint, exchange.class), latest);
        if let Some(before) = before.filter(is_same_question) {
            variety.same_question.compare(&before, &latest, history.was_quiet);
        }
        variety.is_distinctive(false)
    }

    /// A backend has sent an answer that no request asked for, on a connection with this history. Returns whether its
    /// connections have to be quiet for longer than before.
    pub fn record_unsolicited(&mut self, now: Time, endpoint: u64, history: &ConnectionHistory) -> bool {
        let delay = history.quiet(now).unwrap_or_default();
        let before = self.distrusted.get(&endpoint).copied();
        let span = match before {
            None => DISTRUST.0,
            Some(before) if now < before.until => before.span,
            Some(before) => (before.span * 2).min(DISTRUST.1),
        };
        let known = before.map_or(QUIET, |before| before.quiet);
        let quiet = (delay * QUIET_PER_DELAY).clamp(known, MAX_QUIET);
        self.distrusted.insert(endpoint, Distrust { until: now + span, span, quiet });
        before.is_none_or(|before| now >= before.until || before.quiet < quiet)
    }

    /// Forgets backends that have been trusted again for long, and old answers.
    pub fn prune(&mut self, now: Time) {
        self.distrusted.retain(|_, distrust| now < distrust.until + DISTRUST.1);
        self.last_bodies.retain(|_, last| now < last.at + DISTRUST.0);
    }
}

#[cfg(test)]
mod tests;
