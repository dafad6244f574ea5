//! Limiters side by side: how many requests one server should hold, learned under demand that never ends, by the
//! module's own and by those that proxies commonly use. All see the same servers, works and troubles.
//!
//! | limiter | source |
//! | --- | --- |
//! | AIMD | Chiu and Jain, "Analysis of the Increase and Decrease Algorithms", 1989; a late or refused answer cuts |
//! | Vegas | Brakmo and Peterson, "TCP Vegas", 1994, on requests as the public concurrency-limits library has it |
//! | gradient | the same library's second gradient: a long mean latency over the sample at hand |
//! | USL | Gunther, "Guerrilla Capacity Planning": N/X fitted as a line and a square in N, the crest taken |

use std::collections::VecDeque;
use std::fmt;

use rand::RngExt;
use wharfhitch::Millis;
use wharfhitch::limit::Limit;

use crate::calendar::{MS, Nanos};
use crate::model::server::{Build, ColdRule, Discipline, Server, Taken};
use crate::streams::{Stream, stream};

/// Mean work of a request, ms.
const WORK: Millis = 20.0;
/// Between two looks of a limiter, as the module has it, ms.
const LOOK: Millis = 100.0;
/// A run: calm, a neighbour that takes half, calm again; each this long, s.
const THIRD: f64 = 15.0;
/// Requests that any limiter may ask for: a bound on a run's memory.
const MOST: f64 = 1024.0;

/// What a limiter sees and says.
trait Limiter {
    /// Requests to hold now.
    fn slots(&self) -> f64;
    /// An answer, or `None` for one that was turned away.
    fn seen(&mut self, now: Millis, sent: Millis, held: f64, latency: Option<Millis>);
    /// A look every 100 ms.
    fn look(&mut self, _now: Millis) {}
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

    fn seen(&mut self, now: Millis, sent: Millis, held: f64, latency: Option<Millis>) {
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

    fn look(&mut self, now: Millis) {
        self.limit.review(now, self.prior, true, self.mean > 2.5 * WORK);
    }
}

struct Aimd(f64);

impl Limiter for Aimd {
    fn slots(&self) -> f64 {
        self.0
    }

    fn seen(&mut self, _: Millis, _: Millis, held: f64, latency: Option<Millis>) {
        if latency.is_none_or(|ms| ms > 5.0 * WORK) {
            self.0 = (0.9 * self.0).max(1.0);
        } else if 2.0 * held >= self.0 {
            self.0 = (self.0 + 1.0 / self.0).min(MOST);
        }
    }
}

struct Vegas {
    limit: f64,
    least: Millis,
}

impl Limiter for Vegas {
    fn slots(&self) -> f64 {
        self.limit
    }

    fn seen(&mut self, _: Millis, _: Millis, held: f64, latency: Option<Millis>) {
        let step = self.limit.log10().max(1.0);
        let Some(ms) = latency else {
            self.limit = (self.limit - step).max(1.0);
            return;
        };
        self.least = self.least.min(ms);
        let queue = (self.limit * (1.0 - self.least / ms)).ceil();
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
        self.limit = (self.limit + change).clamp(1.0, MOST);
    }
}

struct Gradient {
    limit: f64,
    long: (f64, f64),
}

impl Limiter for Gradient {
    fn slots(&self) -> f64 {
        self.limit
    }

    fn seen(&mut self, _: Millis, _: Millis, held: f64, latency: Option<Millis>) {
        let Some(ms) = latency else { return };
        self.long.1 = (self.long.1 + 1.0).min(600.0);
        self.long.0 += (ms - self.long.0) / self.long.1;
        if self.long.0 / ms > 2.0 {
            self.long.0 *= 0.95;
        }
        if 2.0 * held < self.limit {
            return;
        }
        let gradient = (1.5 * self.long.0 / ms).clamp(0.5, 1.0);
        let aim = self.limit * gradient + 4.0;
        self.limit = (0.8 * self.limit + 0.2 * aim).clamp(1.0, MOST);
    }
}

/// Fits N/X = a + bN + cN² to what windows brought, with N swung about the limit so that there is a slope.
struct Usl {
    limit: f64,
    swing: f64,
    windows: VecDeque<(f64, f64)>,
    window: (f64, f64),
    looks: u32,
}

impl Limiter for Usl {
    fn slots(&self) -> f64 {
        // By one at least: a limit of one has no other slope.
        (self.limit * self.swing).max(self.limit + 2.0 * (self.swing - 0.8)).clamp(1.0, MOST)
    }

    fn seen(&mut self, _: Millis, _: Millis, held: f64, latency: Option<Millis>) {
        if latency.is_some() {
            self.window = (self.window.0 + 1.0, self.window.1 + held);
        }
    }

    fn look(&mut self, _: Millis) {
        self.looks += 1;
        if !self.looks.is_multiple_of(3) {
            return;
        }
        let (count, held) = std::mem::take(&mut self.window);
        if count >= 3.0 {
            self.windows.push_back((held / count, count / (3.0 * LOOK)));
        }
        if self.windows.len() > 30 {
            self.windows.pop_front();
        }
        self.swing = [0.7, 1.0, 1.5][self.looks as usize / 3 % 3];
        if let Some(crest) = crest(&self.windows) {
            self.limit += 0.3 * (crest.clamp(0.5 * self.limit, 2.0 * self.limit) - self.limit);
            self.limit = self.limit.clamp(1.0, MOST);
        }
    }
}

/// Where the fitted throughput is greatest, a little short of it as the crest is flat.
fn crest(windows: &VecDeque<(f64, f64)>) -> Option<f64> {
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
    let top = windows.iter().map(|w| w.0).fold(1.0, f64::max);
    Some(if c > 1e-9 && a > 0.0 { 0.8 * (a / c).sqrt() } else { 1.5 * top })
}

/// What became of one limiter on one server.
#[derive(Clone, Debug)]
pub struct Figures {
    /// The server, the first limit and the limiter.
    pub name: (&'static str, f64, &'static str),
    /// Answers as a part of the most that the server can do: calm, with the neighbour, calm again.
    pub goodput: [f64; 3],
    /// Mean latency over that of a request alone, in the same thirds.
    pub slowness: [f64; 3],
    /// Turned away, as a part of what was sent.
    pub full: f64,
    /// Seconds to the first second with nine tenths of the most; infinite if there is none.
    pub ready: f64,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (server, first, limiter) = self.name;
        write!(f, "{server:<22}{first:>5.0}  {limiter:<9}")?;
        self.goodput.iter().zip(self.slowness).try_for_each(|(g, s)| write!(f, "{g:>8.2}{s:>7.2}"))?;
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
        ("module", Box::new(Module { limit, prior: first, mean: WORK })),
        ("AIMD", Box::new(Aimd(first))),
        ("Vegas", Box::new(Vegas { limit: first, least: f64::INFINITY })),
        ("gradient", Box::new(Gradient { limit: first, long: (0.0, 0.0) })),
        ("USL", Box::new(Usl { limit: first, swing: 1.0, windows, window, looks: 0 })),
    ]
}

/// Plays every limiter on every server from a limit far too low and one far too high. `spread`: work is drawn
/// from an exponential law, otherwise from 0.7 to 1.3 of its mean.
pub fn compare(seed: u64, spread: bool) -> Vec<Figures> {
    let mut all = Vec::new();
    for (server, build) in servers() {
        for first in [1.0, 50.0] {
            for (limiter, mut l) in limiters(first) {
                let mut rng = stream(seed, "limiters", 0);
                all.push(play((server, first, limiter), build, l.as_mut(), &mut rng, spread));
            }
        }
    }
    all
}

fn work(rng: &mut Stream, spread: bool) -> Millis {
    let u: f64 = rng.random();
    WORK * if spread { -(1.0 - u).ln() } else { 0.7 + 0.6 * u }
}

fn play(
    name: (&'static str, f64, &'static str), build: Build, l: &mut dyn Limiter, rng: &mut Stream,
    spread: bool,
) -> Figures {
    let ms = |at: Nanos| at as f64 / MS as f64;
    let mut server = Server::new(build, ColdRule::default(), None);
    let mut sent: Vec<(Nanos, f64)> = Vec::new();
    let seconds = (3.0 * THIRD) as usize;
    let mut served = vec![0.0; seconds];
    let (mut waited, mut full, mut done) = (vec![0.0; seconds], 0.0, Vec::new());
    let (mut now, mut next_look, mut end): (Nanos, Nanos, Option<Nanos>) = (0, 0, None);
    let mut vigour = 1.0;
    while ms(now) < 3000.0 * THIRD {
        let new = if (1.0..2.0).contains(&(ms(now) / 1000.0 / THIRD)) { 0.5 } else { 1.0 };
        if new != vigour {
            vigour = new;
            server.set_vigour(now, vigour);
        }
        while (server.held() as f64) < l.slots().floor().max(1.0) {
            let (held, number) = (server.held() as f64 + 1.0, sent.len() as u32);
            if server.take(now, number, work(rng, spread)) != Taken::In {
                full += 1.0;
                l.seen(ms(now), ms(now), held, None);
                break; // the next one goes when something has ended
            }
            sent.push((now, held));
        }
        if let Some((at, _)) = server.announce(now) {
            end = Some(at);
        }
        now = end.map_or(next_look, |at| at.min(next_look)).max(now);
        if Some(now) == end {
            let held = server.held() as f64;
            server.done(now, &mut done);
            for number in done.drain(..) {
                let (at, before) = sent[number as usize];
                let second = ((ms(now) / 1000.0) as usize).min(seconds - 1);
                served[second] += 1.0;
                waited[second] += ms(now - at);
                l.seen(ms(now), ms(at), 0.5 * (held + before), Some(ms(now - at)));
            }
            end = None;
        }
        if now >= next_look {
            l.look(ms(now));
            next_look = now + (LOOK * MS as f64) as Nanos;
        }
    }
    figures(name, f64::from(build.cores) / WORK * 1000.0, &served, &waited, full / (full + sent.len() as f64))
}

fn figures(
    name: (&'static str, f64, &'static str), most: f64, served: &[f64], waited: &[f64], full: f64,
) -> Figures {
    let third = THIRD as usize;
    let span = |i: usize| i * third..(i + 1) * third;
    let goodput = [0, 1, 2].map(|i| {
        let could = most * if i == 1 { 0.5 } else { 1.0 };
        served[span(i)].iter().sum::<f64>() / THIRD / could
    });
    let slowness = [0, 1, 2].map(|i| {
        let alone = WORK * if i == 1 { 2.0 } else { 1.0 };
        waited[span(i)].iter().sum::<f64>() / served[span(i)].iter().sum::<f64>().max(1.0) / alone
    });
    let ready = served.iter().position(|s| *s >= 0.9 * most).map_or(f64::INFINITY, |s| s as f64);
    Figures { name, goodput, slowness, full, ready }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_module_comes_near_the_most_from_either_side_and_back_after_a_neighbour() {
        for f in compare(3, false).iter().filter(|f| f.name.2 == "module") {
            assert!(f.goodput[2] > 0.85 && f.slowness[2] < 2.5, "{f}");
        }
    }
}
