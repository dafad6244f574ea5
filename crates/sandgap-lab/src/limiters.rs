//! Compares concurrency limiters: how many requests one server should hold, learned under unlimited demand by the
//! decision module's limiter and by those in common use. All get the same servers, work and disturbances.
//!
//! | limiter | source |
//! | --- | --- |
//! | AIMD | Chiu and Jain, "Analysis of the Increase and Decrease Algorithms", 1989; a late or refused answer cuts |
//! | Vegas | Brakmo and Peterson, "TCP Vegas", 1994, applied to requests as in the public concurrency-limits library |
//! | gradient | the same library's second gradient: the long-term mean latency over the current sample |
//! | USL | Gunther, "Guerrilla Capacity Planning": N/X fitted as a quadratic in N, the limit set near the peak |

use std::collections::VecDeque;
use std::fmt;

use rand::RngExt;
use wharfhitch::Millis;
use wharfhitch::limit::Limit;

use crate::calendar::{MS, Nanos};
use crate::model::server::{Build, ColdRule, Discipline, Server, Taken};
use crate::streams::{Stream, stream};

/// Mean work of a request, ms.
const MEAN_WORK: Millis = 20.0;
/// Interval between reviews of a limiter, ms, as in the module.
const REVIEW_INTERVAL: Millis = 100.0;
/// Length of each of the three phases of a run, s: calm, a neighbour that takes half of the server, calm again.
const PHASE: f64 = 15.0;
/// Largest limit of the common limiters, in requests; bounds the memory of a run.
const MAX_LIMIT: f64 = 1024.0;

/// A concurrency limiter.
trait Limiter {
    /// Number of requests that the server should hold now.
    fn slots(&self) -> f64;
    /// Records an answer's latency, or `None` for a request that the server turned away.
    fn record(&mut self, now: Millis, sent: Millis, held: f64, latency: Option<Millis>);
    /// Called every 100 ms.
    fn review(&mut self, _now: Millis) {}
}

struct Module {
    limit: Limit,
    prior: f64,
    mean: Millis,
}

impl Limiter for Module {
    fn slots(&self) -> f64 {
        self.limit.slots(self.prior)
    }

    fn record(&mut self, now: Millis, sent: Millis, held: f64, latency: Option<Millis>) {
        match latency {
            Some(ms) => {
                self.mean += 0.1 * (ms - self.mean);
                self.limit.answer(now, sent, held, ms);
            }
            None => {
                self.limit.full(now, sent, held - 1.0, true, self.prior);
            }
        }
    }

    fn review(&mut self, now: Millis) {
        self.limit.review(now, self.prior, true, self.mean > 2.5 * MEAN_WORK);
    }
}

struct Aimd(f64);

impl Limiter for Aimd {
    fn slots(&self) -> f64 {
        self.0
    }

    fn record(&mut self, _: Millis, _: Millis, held: f64, latency: Option<Millis>) {
        if latency.is_none_or(|ms| ms > 5.0 * MEAN_WORK) {
            self.0 = (0.9 * self.0).max(1.0);
        } else if 2.0 * held >= self.0 {
            self.0 = (self.0 + 1.0 / self.0).min(MAX_LIMIT);
        }
    }
}

struct Vegas {
    limit: f64,
    min_latency: Millis,
}

impl Limiter for Vegas {
    fn slots(&self) -> f64 {
        self.limit
    }

    fn record(&mut self, _: Millis, _: Millis, held: f64, latency: Option<Millis>) {
        let step = self.limit.log10().max(1.0);
        let Some(ms) = latency else {
            self.limit = (self.limit - step).max(1.0);
            return;
        };
        self.min_latency = self.min_latency.min(ms);
        let queue = (self.limit * (1.0 - self.min_latency / ms)).ceil();
        if 2.0 * held < self.limit {
            return;
        }
        let change = if queue <= step {
            6.0 * step
        } else if queue < 3.0 * step {
            step
        } else if queue > 6.0 * step {
            -step
        } else {
            0.0
        };
        self.limit = (self.limit + change).clamp(1.0, MAX_LIMIT);
    }
}

struct Gradient {
    limit: f64,
    long_term: (f64, f64),
}

impl Limiter for Gradient {
    fn slots(&self) -> f64 {
        self.limit
    }

    fn record(&mut self, _: Millis, _: Millis, held: f64, latency: Option<Millis>) {
        let Some(ms) = latency else { return };
        self.long_term.1 = (self.long_term.1 + 1.0).min(600.0);
        self.long_term.0 += (ms - self.long_term.0) / self.long_term.1;
        if self.long_term.0 / ms > 2.0 {
            self.long_term.0 *= 0.95;
        }
        if 2.0 * held < self.limit {
            return;
        }
        let gradient = (1.5 * self.long_term.0 / ms).clamp(0.5, 1.0);
        let aim = self.limit * gradient + 4.0;
        self.limit = (0.8 * self.limit + 0.2 * aim).clamp(1.0, MAX_LIMIT);
    }
}

/// Fits N/X = a + bN + cN² to the concurrency N and throughput X of recent windows; N is varied around the limit so
/// that a slope can be seen.
struct Usl {
    limit: f64,
    variation: f64,
    windows: VecDeque<(f64, f64)>,
    window: (f64, f64),
    reviews: u32,
}

impl Limiter for Usl {
    fn slots(&self) -> f64 {
        // Varied by about one at least: a limit of one would show no slope otherwise.
        (self.limit * self.variation).max(self.limit + 2.0 * (self.variation - 0.8)).clamp(1.0, MAX_LIMIT)
    }

    fn record(&mut self, _: Millis, _: Millis, held: f64, latency: Option<Millis>) {
        if latency.is_some() {
            self.window = (self.window.0 + 1.0, self.window.1 + held);
        }
    }

    fn review(&mut self, _: Millis) {
        self.reviews += 1;
        if !self.reviews.is_multiple_of(3) {
            return;
        }
        let (count, held) = std::mem::take(&mut self.window);
        if count >= 3.0 {
            self.windows.push_back((held / count, count / (3.0 * REVIEW_INTERVAL)));
        }
        if self.windows.len() > 30 {
            self.windows.pop_front();
        }
        self.variation = [0.7, 1.0, 1.5][self.reviews as usize / 3 % 3];
        if let Some(peak) = peak(&self.windows) {
            self.limit += 0.3 * (peak.clamp(0.5 * self.limit, 2.0 * self.limit) - self.limit);
            self.limit = self.limit.clamp(1.0, MAX_LIMIT);
        }
    }
}

/// The concurrency a little (20%) below the peak of the fitted throughput, since the peak is flat.
fn peak(windows: &VecDeque<(f64, f64)>) -> Option<f64> {
    let mut m = [[0.0; 4]; 3];
    for &(n, x) in windows {
        let (row, y) = ([1.0, n, n * n], n / x);
        for i in 0..3 {
            (0..3).for_each(|j| m[i][j] += row[i] * row[j]);
            m[i][3] += row[i] * y;
        }
    }
    for i in 0..3 {
        let pivot = m[i];
        if pivot[i].abs() < 1e-9 {
            return None;
        }
        for j in (0..3).filter(|j| *j != i) {
            let part = m[j][i] / pivot[i];
            (0..4).for_each(|k| m[j][k] -= part * pivot[k]);
        }
    }
    let [a, _, c] = [m[0][3] / m[0][0], m[1][3] / m[1][1], m[2][3] / m[2][2]];
    let largest = windows.iter().map(|w| w.0).fold(1.0, f64::max);
    Some(if c > 1e-9 && a > 0.0 { 0.8 * (a / c).sqrt() } else { 1.5 * largest })
}

/// Results of one limiter on one server.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Names of the server and the limiter, with the initial limit between them.
    pub name: (&'static str, f64, &'static str),
    /// Answers as a fraction of the server's capacity in each phase: calm, with the neighbour, calm again.
    pub goodput: [f64; 3],
    /// Mean latency over that of a request alone on the server, in the same phases.
    pub latency_ratio: [f64; 3],
    /// Requests turned away, as a fraction of those sent.
    pub full: f64,
    /// Time to the first second with 90% of the capacity, s; infinite if there is none.
    pub ready: f64,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (server, first, limiter) = self.name;
        write!(f, "{server:<22}{first:>5.0}  {limiter:<9}")?;
        self.goodput.iter().zip(self.latency_ratio).try_for_each(|(g, s)| write!(f, "{g:>8.2}{s:>7.2}"))?;
        write!(f, "{:>8.3}{:>7.1}", self.full, self.ready)
    }
}

fn servers() -> [(&'static str, Build); 4] {
    let build = |discipline, queue, cap| Build { cores: 12, discipline, queue, cap, ..Build::default() };
    let thrash = Build { thrash_at: 1.2, thrash: 1.0, ..build(Discipline::Shared, 0, u32::MAX) };
    [
        ("queues silently", build(Discipline::Queue, 100_000, u32::MAX)),
        ("turns away over 14", build(Discipline::Queue, 2, u32::MAX)),
        ("thrashes over 14.4", thrash),
        ("2 cores, silent queue", Build { cores: 2, ..build(Discipline::Queue, 100_000, u32::MAX) }),
    ]
}

fn limiters(first: f64) -> [(&'static str, Box<dyn Limiter>); 5] {
    let limit = Limit::new(0.0);
    let (windows, window) = (VecDeque::new(), (0.0, 0.0));
    [
        ("module", Box::new(Module { limit, prior: first, mean: MEAN_WORK })),
        ("AIMD", Box::new(Aimd(first))),
        ("Vegas", Box::new(Vegas { limit: first, min_latency: f64::INFINITY })),
        ("gradient", Box::new(Gradient { limit: first, long_term: (0.0, 0.0) })),
        ("USL", Box::new(Usl { limit: first, variation: 1.0, windows, window, reviews: 0 })),
    ]
}

/// Runs every limiter on every server from an initial limit far too low and one far too high. With `spread`, work is
/// exponentially distributed, otherwise uniform from 0.7 to 1.3 times its mean.
pub fn compare(seed: u64, spread: bool) -> Vec<Figures> {
    let mut all = Vec::new();
    for (server, build) in servers() {
        for first in [1.0, 50.0] {
            for (limiter, mut l) in limiters(first) {
                let mut rng = stream(seed, "limiters", 0);
                all.push(run((server, first, limiter), build, l.as_mut(), &mut rng, spread));
            }
        }
    }
    all
}

fn work(rng: &mut Stream, spread: bool) -> Millis {
    let u: f64 = rng.random();
    MEAN_WORK * if spread { -(1.0 - u).ln() } else { 0.7 + 0.6 * u }
}

fn run(
    name: (&'static str, f64, &'static str), build: Build, l: &mut dyn Limiter, rng: &mut Stream,
    spread: bool,
) -> Figures {
    let ms = |at: Nanos| at as f64 / MS as f64;
    let mut server = Server::new(build, ColdRule::default(), None);
    let mut sent: Vec<(Nanos, f64)> = Vec::new();
    let seconds = (3.0 * PHASE) as usize;
    let mut served = vec![0.0; seconds];
    let (mut waited, mut full, mut done) = (vec![0.0; seconds], 0.0, Vec::new());
    let (mut now, mut next_review, mut end): (Nanos, Nanos, Option<Nanos>) = (0, 0, None);
    let mut speed = 1.0;
    while ms(now) < 3000.0 * PHASE {
        let new = if (1.0..2.0).contains(&(ms(now) / 1000.0 / PHASE)) { 0.5 } else { 1.0 };
        if new != speed {
            speed = new;
            server.set_vigour(now, speed);
        }
        while (server.held() as f64) < l.slots().floor().max(1.0) {
            let (held, number) = (server.held() as f64 + 1.0, sent.len() as u32);
            if server.take(now, number, work(rng, spread)) != Taken::In {
                full += 1.0;
                l.record(ms(now), ms(now), held, None);
                break; // the next request is sent once one has ended
            }
            sent.push((now, held));
        }
        if let Some((at, _)) = server.announce(now) {
            end = Some(at);
        }
        now = end.map_or(next_review, |at| at.min(next_review)).max(now);
        if Some(now) == end {
            let held = server.held() as f64;
            server.done(now, &mut done);
            for number in done.drain(..) {
                let (at, before) = sent[number as usize];
                let second = ((ms(now) / 1000.0) as usize).min(seconds - 1);
                served[second] += 1.0;
                waited[second] += ms(now - at);
                l.record(ms(now), ms(at), 0.5 * (held + before), Some(ms(now - at)));
            }
            end = None;
        }
        if now >= next_review {
            l.review(ms(now));
            next_review = now + (REVIEW_INTERVAL * MS as f64) as Nanos;
        }
    }
    figures(
        name,
        f64::from(build.cores) / MEAN_WORK * 1000.0,
        &served,
        &waited,
        full / (full + sent.len() as f64),
    )
}

fn figures(
    name: (&'static str, f64, &'static str), capacity: f64, served: &[f64], waited: &[f64], full: f64,
) -> Figures {
    let phase = PHASE as usize;
    let span = |i: usize| i * phase..(i + 1) * phase;
    let goodput = [0, 1, 2].map(|i| {
        let capacity_in_phase = capacity * if i == 1 { 0.5 } else { 1.0 };
        served[span(i)].iter().sum::<f64>() / PHASE / capacity_in_phase
    });
    let latency_ratio = [0, 1, 2].map(|i| {
        let alone = MEAN_WORK * if i == 1 { 2.0 } else { 1.0 };
        waited[span(i)].iter().sum::<f64>() / served[span(i)].iter().sum::<f64>().max(1.0) / alone
    });
    let ready = served.iter().position(|s| *s >= 0.9 * capacity).map_or(f64::INFINITY, |s| s as f64);
    Figures { name, goodput, latency_ratio, full, ready }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_module_nears_the_capacity_from_both_sides_and_recovers_after_a_neighbour() {
        for f in compare(3, false).iter().filter(|f| f.name.2 == "module") {
            assert!(f.goodput[2] > 0.85 && f.latency_ratio[2] < 2.5, "{f}");
        }
    }
}
