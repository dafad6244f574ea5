//! Limits on how many targets may be out at once: per scope, as a count, as a fraction, or by required capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::target::{Labels, Target, TargetKind};

/// Scope over which a bound counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// The whole fleet.
    Fleet,
    /// Each zone separately.
    Zone,
    /// Each cell separately.
    Cell,
    /// Each kind of machine separately.
    Kind,
}

/// Number of targets that may be out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Limit {
    /// An absolute number.
    Count(u32),
    /// Per mille of the known targets in the scope, rounded down.
    PerMille(u32),
    /// The remaining backends must have capacity for the currently measured load plus headroom.
    Need {
        /// Capacity required beyond the load, in per mille of it.
        headroom: u32,
        /// The capacity must suffice without the zone that has the most of it.
        zone_lost: bool,
    },
}

/// One bound. All bounds that are set apply together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Bound {
    /// Kind of process that it limits.
    pub kind: TargetKind,
    /// Scope over which it counts.
    pub scope: Scope,
    /// Number that may be out.
    pub limit: Limit,
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let kind = match self.kind {
            TargetKind::Proxy => "proxies",
            TargetKind::Backend => "backends",
        };
        let scope = match self.scope {
            Scope::Fleet => "of the fleet",
            Scope::Zone => "of each zone",
            Scope::Cell => "of each cell",
            Scope::Kind => "of each kind",
        };
        match self.limit {
            Limit::Count(n) => write!(f, "{n} {kind} {scope}"),
            Limit::PerMille(n) => write!(f, "{}% of the {kind} {scope}", f64::from(n) / 10.0),
            Limit::Need { headroom, zone_lost } => {
                let lost = if zone_lost { " with the largest zone lost" } else { "" };
                write!(
                    f,
                    "{kind} beyond those that hold the load and {}% more{lost}",
                    f64::from(headroom) / 10.0
                )
            }
        }
    }
}

/// Error for text that is not a valid bound.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "'{0}' is not a valid bound: write SIDE:PER:MOST, such as backend:zone:1, proxy:fleet:10% or backend:fleet:need:25%:zone-lost"
)]
pub struct ParseBoundError(String);

impl FromStr for Bound {
    type Err = ParseBoundError;

    fn from_str(text: &str) -> Result<Self, ParseBoundError> {
        let read = || {
            let mut parts = text.split(':');
            let kind = match parts.next()? {
                "backend" => TargetKind::Backend,
                "proxy" => TargetKind::Proxy,
                _ => return None,
            };
            let scope = match parts.next()? {
                "fleet" => Scope::Fleet,
                "zone" => Scope::Zone,
                "cell" => Scope::Cell,
                "kind" => Scope::Kind,
                _ => return None,
            };
            let per_mille = |text: &str| -> Option<u32> {
                let part: f64 = text.strip_suffix('%')?.parse().ok()?;
                (0.0..=1000.0).contains(&part).then_some((part * 10.0).round() as u32)
            };
            let limit = match parts.next()? {
                // Total capacity is a property of the whole fleet, so no smaller scope is accepted.
                "need" if kind == TargetKind::Backend && scope == Scope::Fleet => {
                    let headroom = per_mille(parts.next()?)?;
                    let zone_lost = match parts.next() {
                        None => false,
                        Some("zone-lost") => true,
                        Some(_) => return None,
                    };
                    Limit::Need { headroom, zone_lost }
                }
                part if part.ends_with('%') => Limit::PerMille(per_mille(part)?),
                count => Limit::Count(count.parse().ok()?),
            };
            parts.next().is_none().then_some(Bound { kind, scope, limit })
        };
        read().ok_or_else(|| ParseBoundError(text.to_owned()))
    }
}

/// Measurements at the time of a grant. They are part of the entry, so that every voter decides alike. The unit is
/// thousandths of a concurrent request, both for the load and for the capacity of backends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Requests that all proxies have in flight at backends.
    pub load: u64,
    /// Estimated capacity of each backend, over all proxies.
    pub holds: BTreeMap<String, u64>,
}

/// Reason why a bound does not allow a set of targets to go out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum BoundConflict {
    /// Too many targets would be out.
    #[error("{bound} may be out, and in {scope} {would} would be ({out}): wait until these are back")]
    Full {
        /// The bound.
        bound: String,
        /// The scope, such as a zone.
        scope: String,
        /// Number that would be out.
        would: usize,
        /// Targets that are out already.
        out: String,
    },
    /// The requested set alone exceeds the bound.
    #[error("{bound} may be out, and in {scope} this takes {asked} at once: ask for fewer at once")]
    Never {
        /// The bound.
        bound: String,
        /// The scope, such as a zone.
        scope: String,
        /// Number of requested targets in the scope.
        asked: usize,
    },
    /// The remaining capacity would not suffice for the load.
    #[error(
        "what remains would hold {holds} requests at once, and {needs} are needed: wait for less load, or for backends that are out"
    )]
    Need {
        /// Remaining capacity, in concurrent requests.
        holds: u64,
        /// Required capacity, in concurrent requests.
        needs: u64,
    },
    /// No capacity has been measured.
    #[error("nobody has measured what backends hold: wait until a voter has reported")]
    Unmeasured,
}

/// The known targets with their labels, and those that are out.
pub struct Fleet<'a> {
    /// All known targets.
    pub known: &'a BTreeMap<Target, Labels>,
    /// Targets that are out under a permit or lost.
    pub out: &'a BTreeSet<Target>,
}

fn name_of_scope(scope: Scope, labels: &Labels) -> String {
    match scope {
        Scope::Fleet => "the fleet".into(),
        Scope::Zone => labels.zone.as_ref().map_or("no zone".into(), |z| format!("zone {z}")),
        Scope::Cell => labels.cell.map_or("no cell".into(), |c| format!("cell {c}")),
        Scope::Kind => labels.kind.as_ref().map_or("no kind".into(), |k| format!("kind {k}")),
    }
}

impl Fleet<'_> {
    /// Checks whether a set may go out in addition to the targets that are out. A target of the set that is lost
    /// already is not counted twice. It still has to fit the bound, because it may recover by itself and would then be
    /// out under the permit.
    ///
    /// # Errors
    /// The first bound that does not allow it.
    pub fn check_out(
        &self, set: &BTreeSet<Target>, bounds: &[Bound], evidence: Option<&Evidence>,
    ) -> Result<(), BoundConflict> {
        for bound in bounds.iter().filter(|b| set.iter().any(|t| t.kind == b.kind)) {
            match bound.limit {
                Limit::Need { headroom, zone_lost } => {
                    self.check_capacity(
                        set,
                        evidence.ok_or(BoundConflict::Unmeasured)?,
                        headroom,
                        zone_lost,
                    )?;
                }
                Limit::Count(_) | Limit::PerMille(_) => self.check_count(set, bound)?,
            }
        }
        Ok(())
    }

    fn check_count(&self, set: &BTreeSet<Target>, bound: &Bound) -> Result<(), BoundConflict> {
        let no_labels = Labels::default();
        let labels = |t: &Target| self.known.get(t).unwrap_or(&no_labels);
        let scopes: BTreeSet<String> = set
            .iter()
            .filter(|t| t.kind == bound.kind)
            .map(|t| name_of_scope(bound.scope, labels(t)))
            .collect();
        for scope_name in scopes {
            let here =
                |t: &&Target| t.kind == bound.kind && name_of_scope(bound.scope, labels(t)) == scope_name;
            let all = self.known.keys().filter(here).count();
            let limit = match bound.limit {
                Limit::Count(n) => n as usize,
                Limit::PerMille(n) => all * n as usize / 1000,
                Limit::Need { .. } => usize::MAX,
            };
            let asked = set.iter().filter(here).count();
            let out: Vec<&Target> = self.out.iter().filter(here).filter(|t| !set.contains(t)).collect();
            if asked > limit {
                return Err(BoundConflict::Never { bound: bound.to_string(), scope: scope_name, asked });
            }
            let would = asked + out.len();
            if would > limit {
                let names: Vec<String> = out.iter().take(5).map(ToString::to_string).collect();
                let more = if out.len() > 5 { ", ..." } else { "" };
                let out = format!("out: {}{more}", names.join(", "));
                return Err(BoundConflict::Full { bound: bound.to_string(), scope: scope_name, would, out });
            }
        }
        Ok(())
    }

    /// Checks that the remaining backends have the capacity for the load.
    fn check_capacity(
        &self, set: &BTreeSet<Target>, evidence: &Evidence, headroom: u32, zone_lost: bool,
    ) -> Result<(), BoundConflict> {
        let remains =
            |t: &&Target| t.kind == TargetKind::Backend && !self.out.contains(*t) && !set.contains(*t);
        let mut by_zone: BTreeMap<Option<&String>, u64> = BTreeMap::new();
        for target in self.known.keys().filter(remains) {
            let zone = self.known.get(target).and_then(|l| l.zone.as_ref());
            *by_zone.entry(zone).or_default() += evidence.holds.get(&target.name).copied().unwrap_or(0);
        }
        let all: u64 = by_zone.values().sum();
        let lost = by_zone.values().max().copied().filter(|_| zone_lost).unwrap_or(0);
        let needs = evidence.load.saturating_mul(1000 + u64::from(headroom)) / 1000;
        match all - lost >= needs {
            true => Ok(()),
            false => Err(BoundConflict::Need { holds: (all - lost) / 1000, needs: needs.div_ceil(1000) }),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(per_zone: usize) -> BTreeMap<Target, Labels> {
        let one = |n: usize| {
            let zone = Some(["a", "b", "c"][n % 3].to_owned());
            (Target::backend(&format!("b{n}")), Labels { zone, cell: Some(n as u64 / 2), kind: None })
        };
        (0..3 * per_zone).map(one).collect()
    }

    fn set(names: &[usize]) -> BTreeSet<Target> {
        names.iter().map(|n| Target::backend(&format!("b{n}"))).collect()
    }

    fn bound(scope: Scope, limit: Limit) -> Bound {
        Bound { kind: TargetKind::Backend, scope, limit }
    }

    #[test]
    fn counts_and_fractions_apply_to_each_scope_separately() {
        let (known, out) = (fleet(4), set(&[0]));
        let fleet = Fleet { known: &known, out: &out };
        let zone = [bound(Scope::Zone, Limit::Count(1))];
        assert!(fleet.check_out(&set(&[1]), &zone, None).is_ok(), "another zone");
        let full = fleet.check_out(&set(&[3]), &zone, None).expect_err("the same zone");
        assert!(full.to_string().contains("in zone a 2 would be (out: b0)"), "{full}");
        assert!(
            fleet.check_out(&set(&[0]), &zone, None).is_ok(),
            "it is out already, so the count stays the same"
        );
        let (two, none) = (set(&[0, 3]), [bound(Scope::Zone, Limit::Count(1))]);
        let over_bound = Fleet { known: &known, out: &two };
        assert!(
            over_bound.check_out(&set(&[0]), &none, None).is_err(),
            "more are lost than the bound allows, so none may go out under a permit"
        );
        let never = fleet.check_out(&set(&[1, 4]), &zone, None).expect_err("two of one zone");
        assert!(matches!(never, BoundConflict::Never { asked: 2, .. }));
        let quarter = [bound(Scope::Fleet, Limit::PerMille(250))];
        assert!(fleet.check_out(&set(&[1, 2]), &quarter, None).is_ok(), "3 of 12");
        assert!(fleet.check_out(&set(&[1, 2, 3]), &quarter, None).is_err());
        assert!(
            fleet.check_out(&set(&[1]), &[bound(Scope::Fleet, Limit::PerMille(80))], None).is_err(),
            "0.96 of one"
        );
    }

    #[test]
    fn valid_bounds_are_parsed_and_invalid_ones_rejected() {
        let read = |text: &str| text.parse::<Bound>().map(|b| b.limit);
        assert_eq!(read("backend:zone:1"), Ok(Limit::Count(1)));
        assert_eq!(read("proxy:fleet:2.5%"), Ok(Limit::PerMille(25)));
        assert_eq!(
            read("backend:fleet:need:25%:zone-lost"),
            Ok(Limit::Need { headroom: 250, zone_lost: true })
        );
        for bad in [
            "",
            "backend",
            "backend:zone",
            "proxy:fleet:need:1%",
            "backend:zone:need:1%",
            "backend:zone:-1",
            "backend:zone:1:2",
            "disk:zone:1",
            "backend:zone:101e9%",
        ] {
            assert!(read(bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn bounds_of_one_side_do_not_limit_the_other() {
        let (known, out) = (fleet(2), BTreeSet::new());
        let fleet = Fleet { known: &known, out: &out };
        let none = [bound(Scope::Fleet, Limit::Count(0))];
        assert!(fleet.check_out(&BTreeSet::from([Target::proxy("p1")]), &none, None).is_ok());
        assert!(fleet.check_out(&set(&[1]), &none, None).is_err());
    }

    #[test]
    fn remaining_capacity_must_cover_the_load_also_with_a_zone_lost() {
        let (known, out) = (fleet(2), set(&[5]));
        let fleet = Fleet { known: &known, out: &out };
        let holds: BTreeMap<String, u64> = (0..6).map(|n| (format!("b{n}"), 10_000)).collect();
        let evidence = |load| Evidence { load, holds: holds.clone() };
        let need = |zone_lost| [bound(Scope::Fleet, Limit::Need { headroom: 250, zone_lost })];
        // Five are in service; taking one more out leaves four with a capacity of 40.
        assert!(fleet.check_out(&set(&[0]), &need(false), Some(&evidence(32_000))).is_ok());
        assert!(fleet.check_out(&set(&[0]), &need(false), Some(&evidence(32_001))).is_err());
        // The largest zone has 20 of these.
        assert!(fleet.check_out(&set(&[0]), &need(true), Some(&evidence(16_000))).is_ok());
        assert!(fleet.check_out(&set(&[0]), &need(true), Some(&evidence(16_100))).is_err());
        assert_eq!(fleet.check_out(&set(&[0]), &need(false), None), Err(BoundConflict::Unmeasured));
    }
}
