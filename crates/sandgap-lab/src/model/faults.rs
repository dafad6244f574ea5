//! Faults and their schedule. A fault names its kind, its targets and its duration; which servers or proxies it hits
//! is drawn once, from the run's seed, when the plan is made, so that a plan can be written down, shortened and run
//! again.

use rand::RngExt;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::calendar::{Nanos, SECOND, nanos};
use crate::file::Checks;
use crate::streams::Stream;

/// How a server treats the requests that reach it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Serves them.
    #[default]
    Normal,
    /// Accepts requests and answers none; its work stands still.
    Hang,
    /// Fails this part of its requests at once; a failed request may have run.
    Errors(f64),
    /// Resets connections before a request is complete, so that it never runs.
    ResetBefore,
    /// Runs a request, then resets the connection.
    ResetAfter,
    /// Refuses connections.
    Refuse,
    /// Is silent on the wire: new requests are neither read nor answered.
    BlackHole,
}

/// One action of a fault; servers and proxies are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepAction {
    /// Sets a server's mode.
    Mode(u32, Mode),
    /// Sets the part of its speed that a server has.
    Vigour(u32, f64),
    /// Discovery learns that a server drains.
    Drain(u32),
    /// Discovery learns that a draining server accepts work again.
    Undrain(u32),
    /// A server's process ends and discovery learns of it.
    Remove(u32),
    /// A new server of the same group, zone and cell starts cold and discovery learns of it.
    Join(u32),
    /// Discovery sends nothing to any proxy (`true`), or resumes (`false`).
    Silent(bool),
    /// Discovery sends nothing to one proxy (`true`), or resumes (`false`).
    Split(u32, bool),
    /// Discovery sends every proxy a list whose version is this many changes old.
    Stale(u32),
    /// Sets the part of the datagrams that is lost; a negative value restores that of the experiment.
    Loss(f64),
    /// What one proxy sends to one server is lost (`true`), or no longer (`false`).
    Partition(u32, u32, bool),
    /// A proxy is killed and starts again after this long, ns.
    Kill(u32, Nanos),
    /// A proxy stops accepting requests, finishes those that it holds, then starts again.
    Restart(u32),
    /// A proxy is paused for this long, ns.
    Pause(u32, Nanos),
}

/// A fault in an experiment file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Its kind.
    pub kind: FaultKind,
    /// When it begins, s from the start of the run.
    pub at_s: f64,
    /// How long it lasts, s, for kinds that have a duration.
    #[serde(default)]
    pub for_s: f64,
    /// Part of the servers (or proxies) that it hits, 0 to 1; always at least one.
    #[serde(default)]
    pub part: f64,
    /// The servers (or proxies) that it hits, by number from 0, instead of a drawn part.
    #[serde(default)]
    pub targets: Vec<u32>,
    /// Its strength from 0 to 1: the part of requests that fails, of the speed that is left, or of datagrams that is
    /// lost. For a stale list, ten times the level plus 1 is its age in changes.
    #[serde(default)]
    pub level: f64,
    /// Delay between one target and the next, s; 0 hits all at once.
    #[serde(default)]
    pub step_s: f64,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers accept requests and answer none.
    Hang,
    /// Servers have `level` of their speed (fail-slow).
    Slow,
    /// A noisy neighbour: servers drop to `level` of their speed, on and off.
    Neighbour,
    /// Servers fail `level` of their requests fast.
    Errors,
    /// Servers reset connections before a request runs.
    ResetBefore,
    /// Servers reset connections after a request has run.
    ResetAfter,
    /// Servers refuse connections.
    Refuse,
    /// Servers are silent on the wire.
    BlackHole,
    /// Discovery drains servers and undrains them after `for_s`.
    Drain,
    /// Servers are replaced by cold ones: drained, ended after 3 s, and succeeded within another second.
    Deploy,
    /// Servers end without a drain; cold ones replace them after `for_s`.
    Crash,
    /// Discovery sends nothing to any proxy.
    Silent,
    /// Discovery sends nothing to some proxies.
    Split,
    /// Discovery sends an old list.
    Stale,
    /// Datagrams are lost.
    Loss,
    /// What a proxy sends to a server is lost.
    Partition,
    /// Proxies are killed and start again after `for_s`.
    Kill,
    /// Proxies shut down gracefully and start again.
    Restart,
    /// Proxies are paused.
    Pause,
}

impl FaultSpec {
    /// Reports values that are out of range.
    pub fn check(&self, at: &str, servers: usize, proxies: usize, checks: &mut Checks) {
        checks.within(&format!("{at}.at_s"), self.at_s, 0.0, 1e7);
        checks.within(&format!("{at}.for_s"), self.for_s, 0.0, 1e7);
        checks.within(&format!("{at}.part"), self.part, 0.0, 1.0);
        checks.within(&format!("{at}.level"), self.level, 0.0, 1.0);
        checks.within(&format!("{at}.step_s"), self.step_s, 0.0, 1e7);
        let limit = if self.hits_proxies() { proxies } else { servers };
        for t in &self.targets {
            checks.within(&format!("{at}.targets"), f64::from(*t), 0.0, limit as f64 - 1.0);
        }
    }

    fn hits_proxies(&self) -> bool {
        use FaultKind::{Kill, Pause, Restart, Split};
        matches!(self.kind, Kill | Pause | Restart | Split)
    }

    /// The numbers of the servers or proxies that it hits.
    fn draw_targets(&self, servers: u32, proxies: u32, rng: &mut Stream) -> Vec<u32> {
        if !self.targets.is_empty() {
            return self.targets.clone();
        }
        let total = if self.hits_proxies() { proxies } else { servers };
        let mut all: Vec<u32> = (0..total).collect();
        all.shuffle(rng);
        let count = (self.part * f64::from(total)).round().max(1.0) as usize;
        all.truncate(count);
        all
    }

    /// Draws the fault's actions and adds them to `out`.
    pub fn draw(&self, servers: u32, proxies: u32, rng: &mut Stream, out: &mut Vec<Step>) {
        let (from, span) = (nanos(self.at_s * 1000.0), nanos(self.for_s * 1000.0));
        let mut put = |at: Nanos, what: StepAction| out.push(Step { at, what });
        let everywhere = |put: &mut dyn FnMut(Nanos, StepAction), on: StepAction, off: StepAction| {
            put(from, on);
            put(from + span, off);
        };
        match self.kind {
            FaultKind::Silent => {
                return everywhere(&mut put, StepAction::Silent(true), StepAction::Silent(false));
            }
            FaultKind::Stale => return put(from, StepAction::Stale(1 + (self.level * 10.0) as u32)),
            FaultKind::Loss => {
                return everywhere(&mut put, StepAction::Loss(self.level), StepAction::Loss(-1.0));
            }
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

/// A fault action at a time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// When it happens, ns.
    pub at: Nanos,
    /// The action.
    pub what: StepAction,
}

/// Draws faults of every kind, some of them several times, over a span, as `hunt` uses them. The actions are sorted
/// by time.
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
    fn the_same_seed_draws_the_same_faults_and_every_fault_that_begins_also_ends() {
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
