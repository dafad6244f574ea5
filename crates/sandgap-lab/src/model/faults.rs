//! What goes wrong, and when. A fault names its kind, its targets and its span; which servers or proxies it hits
//! is drawn once, from the run's seed, when the plan is made, so that a plan can be written down, cut and played
//! again.

use rand::RngExt;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::calendar::{Nanos, SECOND, nanos};
use crate::file::Checks;
use crate::streams::Stream;

/// What a server does to the requests that reach it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Its work.
    #[default]
    Normal,
    /// Takes requests and answers none.
    Hang,
    /// Fails this part of its requests at once; what failed may have run.
    Errors(f64),
    /// Resets connections before a request is whole: it never ran.
    ResetBefore,
    /// Runs a request, then resets.
    ResetAfter,
    /// Refuses connections.
    Refuse,
    /// Says nothing at all: what is sent there is neither read nor answered.
    BlackHole,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepAction {
    /// A server behaves so from now on.
    Mode(u32, Mode),
    /// A server has this part of its speed from now on.
    Vigour(u32, f64),
    /// Discovery hears that a server drains.
    Drain(u32),
    /// Discovery hears that it takes work again.
    Undrain(u32),
    /// A server's process ends and discovery hears of it.
    Remove(u32),
    /// A fresh server like this one starts cold and discovery hears of it.
    Join(u32),
    /// Discovery says nothing to anyone, then goes on.
    Silent(bool),
    /// Discovery says nothing to one proxy, then goes on.
    Split(u32, bool),
    /// Discovery sends every proxy a list as it was this many changes ago.
    Stale(u32),
    /// This part of the datagrams is lost from now on.
    Loss(f64),
    /// What one proxy sends to one server is lost, then not.
    Partition(u32, u32, bool),
    /// A proxy is killed and starts again after this long.
    Kill(u32, Nanos),
    /// A proxy takes nothing new, finishes what it holds, then starts again.
    Restart(u32),
    /// A proxy stands still for this long.
    Pause(u32, Nanos),
}

/// A fault in an experiment file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Which.
    pub kind: FaultKind,
    /// When it begins, s from the start of the run.
    pub at_s: f64,
    /// How long it lasts, s, where it lasts.
    #[serde(default)]
    pub for_s: f64,
    /// Part of the servers (or proxies) that it hits, at least one.
    #[serde(default)]
    pub part: f64,
    /// These instead, by number from 0.
    #[serde(default)]
    pub targets: Vec<u32>,
    /// How strong: part of requests that fail, part of the speed that is left, part of datagrams lost.
    #[serde(default)]
    pub level: f64,
    /// The targets follow each other by this much, s, instead of all at once.
    #[serde(default)]
    pub step_s: f64,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers take requests and answer none.
    Hang,
    /// Servers have `level` of their speed (fail-slow).
    Slow,
    /// Another program takes the rest of `level` of the speed, on and off.
    Neighbour,
    /// Servers fail `level` of their requests fast.
    Errors,
    /// Servers reset before the effect.
    ResetBefore,
    /// Servers reset after the effect.
    ResetAfter,
    /// Servers refuse connections.
    Refuse,
    /// Servers are silent on the wire.
    BlackHole,
    /// Servers are told to drain, and back after `for_s`.
    Drain,
    /// Servers are replaced by cold ones: drain, end after 3 s, successor.
    Deploy,
    /// Servers end without a word and come back cold after `for_s`.
    Crash,
    /// Discovery is silent.
    Silent,
    /// Discovery is silent to some proxies.
    Split,
    /// Discovery tells an old list.
    Stale,
    /// Datagrams are lost.
    Loss,
    /// Some proxies' words to some servers are lost.
    Partition,
    /// Proxies are killed and start again after `for_s`.
    Kill,
    /// Proxies are told to stop and start again.
    Restart,
    /// Proxies stand still.
    Pause,
}

impl FaultSpec {
    /// Notes what is out of bounds.
    pub fn check(&self, at: &str, servers: usize, proxies: usize, checks: &mut Checks) {
        checks.within(&format!("{at}.at_s"), self.at_s, 0.0, 1e7);
        checks.within(&format!("{at}.for_s"), self.for_s, 0.0, 1e7);
        checks.within(&format!("{at}.part"), self.part, 0.0, 1.0);
        checks.within(&format!("{at}.level"), self.level, 0.0, 1.0);
        checks.within(&format!("{at}.step_s"), self.step_s, 0.0, 1e7);
        let most = if self.hits_proxies() { proxies } else { servers };
        for t in &self.targets {
            checks.within(&format!("{at}.targets"), f64::from(*t), 0.0, most as f64 - 1.0);
        }
    }

    fn hits_proxies(&self) -> bool {
        use FaultKind::{Kill, Pause, Restart, Split};
        matches!(self.kind, Kill | Pause | Restart | Split)
    }

    fn draw_targets(&self, servers: u32, proxies: u32, rng: &mut Stream) -> Vec<u32> {
        if !self.targets.is_empty() {
            return self.targets.clone();
        }
        let of = if self.hits_proxies() { proxies } else { servers };
        let mut all: Vec<u32> = (0..of).collect();
        all.shuffle(rng);
        let hit = (self.part * f64::from(of)).round().max(1.0) as usize;
        all.truncate(hit);
        all
    }

    /// Draws what happens.
    pub fn draw(&self, servers: u32, proxies: u32, rng: &mut Stream, out: &mut Vec<Step>) {
        let (from, span) = (nanos(self.at_s * 1000.0), nanos(self.for_s * 1000.0));
        let mut put = |at: Nanos, what: StepAction| out.push(Step { at, what });
        let whole = |put: &mut dyn FnMut(Nanos, StepAction), on: StepAction, off: StepAction| {
            put(from, on);
            put(from + span, off);
        };
        match self.kind {
            FaultKind::Silent => return whole(&mut put, StepAction::Silent(true), StepAction::Silent(false)),
            FaultKind::Stale => return put(from, StepAction::Stale(1 + (self.level * 10.0) as u32)),
            FaultKind::Loss => return whole(&mut put, StepAction::Loss(self.level), StepAction::Loss(-1.0)),
            _ => {}
        }
        let step = nanos(self.step_s * 1000.0);
        for (i, t) in self.draw_targets(servers, proxies, rng).into_iter().enumerate() {
            let (at, to) = (from + i as Nanos * step, from + i as Nanos * step + span);
            let mut mode = |m| {
                put(at, StepAction::Mode(t, m));
                put(to, StepAction::Mode(t, Mode::Normal));
            };
            match self.kind {
                FaultKind::Hang => mode(Mode::Hang),
                FaultKind::Errors => mode(Mode::Errors(self.level)),
                FaultKind::ResetBefore => mode(Mode::ResetBefore),
                FaultKind::ResetAfter => mode(Mode::ResetAfter),
                FaultKind::Refuse => mode(Mode::Refuse),
                FaultKind::BlackHole => mode(Mode::BlackHole),
                FaultKind::Slow => {
                    put(at, StepAction::Vigour(t, self.level));
                    put(to, StepAction::Vigour(t, 1.0));
                }
                FaultKind::Neighbour => {
                    let mut on = at + nanos(500.0 * rng.random::<f64>());
                    while on < to {
                        let off = (on + nanos(200.0 + 1800.0 * rng.random::<f64>())).min(to);
                        put(on, StepAction::Vigour(t, self.level));
                        put(off, StepAction::Vigour(t, 1.0));
                        on = off + nanos(200.0 + 1800.0 * rng.random::<f64>());
                    }
                }
                FaultKind::Drain => {
                    put(at, StepAction::Drain(t));
                    put(to, StepAction::Undrain(t));
                }
                FaultKind::Deploy => {
                    put(at, StepAction::Drain(t));
                    put(at + 3 * SECOND, StepAction::Remove(t));
                    put(at + 3 * SECOND + nanos(1000.0 * rng.random::<f64>()), StepAction::Join(t));
                }
                FaultKind::Crash => {
                    put(at, StepAction::Remove(t));
                    put(to, StepAction::Join(t));
                }
                FaultKind::Partition => {
                    let p = rng.random_range(0..proxies);
                    put(at, StepAction::Partition(p, t, true));
                    put(to, StepAction::Partition(p, t, false));
                }
                FaultKind::Split => {
                    put(at, StepAction::Split(t, true));
                    put(to, StepAction::Split(t, false));
                }
                FaultKind::Kill => put(at, StepAction::Kill(t, span)),
                FaultKind::Restart => put(at, StepAction::Restart(t)),
                FaultKind::Pause => put(at, StepAction::Pause(t, span)),
                FaultKind::Silent | FaultKind::Stale | FaultKind::Loss => {}
            }
        }
    }
}

/// Something that happens, and when.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// When.
    pub at: Nanos,
    /// What.
    pub what: StepAction,
}

/// Every kind of fault, several of each, drawn over a span: the schedule of `hunt`.
pub fn mixed(servers: u32, proxies: u32, span: Nanos, rng: &mut Stream) -> Vec<Step> {
    use FaultKind::*;
    let seconds = span as f64 / SECOND as f64;
    let mut out = Vec::new();
    let on_servers = [Hang, Slow, Neighbour, Errors, ResetBefore, ResetAfter, Refuse, BlackHole, Partition];
    let all = on_servers
        .into_iter()
        .chain([Drain, Drain, Drain, Deploy, Deploy, Crash])
        .chain([Silent, Split, Split, Stale, Stale, Loss, Kill, Restart, Pause]);
    for kind in all {
        let mut part = |least: f64, most: f64| least + (most - least) * rng.random::<f64>();
        let spec = FaultSpec {
            kind,
            at_s: seconds * part(0.05, 0.85),
            for_s: match kind {
                Drain => seconds * part(0.001, 0.4),
                Crash | Kill => seconds * part(0.01, 0.1),
                Pause => part(0.02, 1.2),
                _ => seconds * part(0.03, 0.2),
            },
            part: if matches!(kind, Kill | Restart | Pause | Split) { 0.0 } else { part(0.0, 0.25) },
            targets: Vec::new(),
            level: part(0.1, 0.9),
            step_s: part(0.0, 0.3),
        };
        spec.draw(servers, proxies, rng, &mut out);
    }
    out.sort_by_key(|s| s.at);
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::streams::stream;

    #[test]
    fn the_same_seed_draws_the_same_faults_and_each_begin_has_its_end() {
        for seed in 0..50 {
            let draw = || mixed(12, 3, 6 * SECOND, &mut stream(seed, "faults", 0));
            let steps = draw();
            assert_eq!(steps, draw());
            let count = |f: fn(&StepAction) -> bool| steps.iter().filter(|s| f(&s.what)).count();
            let on = count(|h| matches!(h, StepAction::Split(_, true)));
            assert_eq!(on, count(|h| matches!(h, StepAction::Split(_, false))));
            assert!(on > 0 && count(|h| matches!(h, StepAction::Kill(..))) > 0);
            assert_eq!(
                count(|h| matches!(h, StepAction::Remove(_))),
                count(|h| matches!(h, StepAction::Join(_)))
            );
        }
    }
}
