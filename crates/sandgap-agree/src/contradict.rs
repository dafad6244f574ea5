//! Whether two rulebooks contradict each other, rule by rule.
//!
//! Two rulebooks contradict where a proxy that follows one may do something, or turn something away, that a proxy that
//! follows the other must not: then the two together break a promise that each keeps alone. What only says how well a
//! thing is done (worth, aim, a backend's size or kind) contradicts nothing, and neither does a backend that one of
//! them does not know yet.

use std::collections::BTreeMap;
use std::fmt;

use crate::rulebook::{Backend, Class, Rulebook, Tenant};

/// One rule on which two rulebooks contradict each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// The rule and what it is about.
    pub rule: String,
    /// In the older book.
    pub old: String,
    /// In the newer one.
    pub new: String,
}

impl fmt::Display for Contradiction {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {} and {}", self.rule, self.old, self.new)
    }
}

/// A name, how its rule is told, and how to read it.
type Field<T> = (&'static str, fn(&T) -> String);

const CLASS: [Field<Class>; 3] = [
    ("effect", |c| format!("{:?}", c.effect)),
    ("deadline_ms", |c| c.deadline_ms.to_string()),
    ("on_lapse", |c| format!("{:?}", c.on_lapse)),
];

const TENANT: [Field<Tenant>; 1] = [("allowance_per_s", |t| t.allowance_per_s.to_string())];

/// Zone and cell decide which backends drop each other's repeats.
const BACKEND: [Field<Backend>; 4] = [
    ("address", |b| b.address.to_string()),
    ("zone", |b| format!("{:?}", b.zone)),
    ("cell", |b| format!("{:?}", b.cell)),
    ("state", |b| if b.draining { "draining".into() } else { "up".into() }),
];

const LIMITS: [Field<Rulebook>; 7] = [
    ("max_attempts", |r| r.limits.max_attempts.to_string()),
    ("over_share_worth", |r| r.limits.over_share_worth.to_string()),
    ("cross_zone", |r| r.limits.cross_zone.to_string()),
    ("start_capacity", |r| r.limits.start_capacity.to_string()),
    ("warm_ms", |r| r.limits.warm_ms.to_string()),
    ("fall_multiple", |r| r.limits.fall_multiple.to_string()),
    ("fall_ms", |r| r.limits.fall_ms.to_string()),
];

/// All on which two rulebooks contradict each other; nothing where proxies may follow either side by side.
pub fn contradicts(old: &Rulebook, new: &Rulebook) -> Vec<Contradiction> {
    let mut all = Vec::new();
    let (a, b) = (by_name(&old.classes, |c| &c.name), by_name(&new.classes, |c| &c.name));
    entries("class", &a, &b, &CLASS, OneSide::Contradicts, &mut all);
    let (a, b) = (by_name(&old.tenants, |t| &t.name), by_name(&new.tenants, |t| &t.name));
    // Where no tenants are named, none is asked for: that is another rule for every request.
    entries("tenant", &a, &b, &TENANT, OneSide::Contradicts, &mut all);
    match (&old.backends, &new.backends) {
        (Some(a), Some(b)) => {
            let (a, b) = (by_name(a, |b| &b.name), by_name(b, |b| &b.name));
            entries("backend", &a, &b, &BACKEND, OneSide::NewIsNone, &mut all);
        }
        (None, None) => {}
        (a, _) => {
            let told =
                |listed: bool| if listed { "listed in the rules" } else { "from discovery" }.to_owned();
            let (old, new) = (told(a.is_some()), told(a.is_none()));
            all.push(Contradiction { rule: "backends".into(), old, new });
        }
    }
    for name in old.drained.symmetric_difference(&new.drained) {
        let told =
            |book: &Rulebook| if book.drained.contains(name) { "drained" } else { "in use" }.to_owned();
        let rule = format!("drain by hand of '{name}'");
        all.push(Contradiction { rule, old: told(old), new: told(new) });
    }
    fields("limits", old, new, &LIMITS, &mut all);
    all
}

/// What an entry that only one of two books has means.
#[derive(Clone, Copy, PartialEq)]
enum OneSide {
    Contradicts,
    /// One that only the newer has contradicts nothing: who does not know it leaves it alone.
    NewIsNone,
}

fn by_name<T>(all: &[T], name: fn(&T) -> &String) -> BTreeMap<&str, &T> {
    all.iter().map(|one| (name(one).as_str(), one)).collect()
}

fn entries<T>(
    what: &str, old: &BTreeMap<&str, &T>, new: &BTreeMap<&str, &T>, rules: &[Field<T>], one_side: OneSide,
    all: &mut Vec<Contradiction>,
) {
    let there = |there: bool| if there { "there" } else { "not there" }.to_owned();
    for (name, a) in old {
        let rule = format!("{what} '{name}'");
        match new.get(name) {
            Some(b) => fields(&rule, *a, *b, rules, all),
            None => all.push(Contradiction { rule, old: there(true), new: there(false) }),
        }
    }
    for name in new.keys().filter(|name| one_side == OneSide::Contradicts && !old.contains_key(*name)) {
        let rule = format!("{what} '{name}'");
        all.push(Contradiction { rule, old: there(false), new: there(true) });
    }
}

fn fields<T>(what: &str, old: &T, new: &T, rules: &[Field<T>], all: &mut Vec<Contradiction>) {
    for (field, read) in rules {
        let (old, new) = (read(old), read(new));
        if old != new {
            all.push(Contradiction { rule: format!("{what}: {field}"), old, new });
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::rulebook::{Effect, Group, OnLapse, example};

    type Case = (&'static str, fn(&mut Rulebook), Option<&'static str>);

    fn backend(book: &mut Rulebook) -> &mut Backend {
        &mut book.backends.as_mut().expect("listed")[0]
    }

    /// A change, and the rule that it contradicts, if any.
    const CASES: [Case; 30] = [
        ("nothing", |_| {}, None),
        ("worth", |b| b.classes[0].worth = 9.0, None),
        ("aim", |b| b.classes[0].aim_ms = 9.0, None),
        ("share", |b| backend(b).share = 9.0, None),
        ("kind", |b| backend(b).kind = Some("large".into()), None),
        ("order", |b| b.classes.reverse(), None),
        ("keyed to safe", |b| b.classes[0].effect = Effect::Safe, Some("class 'book': effect")),
        ("keyed to unsafe", |b| b.classes[0].effect = Effect::Unsafe, Some("class 'book': effect")),
        (
            "window",
            |b| b.classes[0].effect = Effect::Keyed { group: Group::Cell, window_ms: 1.0 },
            Some("class 'book': effect"),
        ),
        (
            "group",
            |b| b.classes[0].effect = Effect::Keyed { group: Group::All, window_ms: 2500.0 },
            Some("class 'book': effect"),
        ),
        ("deadline", |b| b.classes[1].deadline_ms = 5.0, Some("class 'page': deadline_ms")),
        ("on_lapse", |b| b.classes[1].on_lapse = OnLapse::Refuse, Some("class 'page': on_lapse")),
        ("class gone", |b| drop(b.classes.remove(2)), Some("class 'submit'")),
        (
            "class new",
            |b| {
                let class = Class { name: "new".into(), ..b.classes[0].clone() };
                b.classes.push(class);
            },
            Some("class 'new'"),
        ),
        ("allowance", |b| b.tenants[0].allowance_per_s = 1.0, Some("tenant 'north': allowance_per_s")),
        ("tenant gone", |b| b.tenants.clear(), Some("tenant 'north'")),
        (
            "tenant new",
            |b| b.tenants.push(Tenant { name: "east".into(), allowance_per_s: 1.0 }),
            Some("tenant 'east'"),
        ),
        (
            "backend new",
            |b| {
                let more = Backend { name: "b9".into(), ..backend(b).clone() };
                b.backends.as_mut().expect("listed").push(more);
            },
            None,
        ),
        ("backend gone", |b| drop(b.backends.as_mut().expect("listed").pop()), Some("backend 'b2'")),
        ("moved", |b| backend(b).address.set_port(1), Some("backend 'b1': address")),
        ("zone", |b| backend(b).zone = None, Some("backend 'b1': zone")),
        ("cell", |b| backend(b).cell = None, Some("backend 'b1': cell")),
        ("draining", |b| backend(b).draining = true, Some("backend 'b1': state")),
        ("discovery", |b| b.backends = None, Some("backends")),
        ("by hand", |b| b.drained.extend(["b1".to_owned()]), Some("drain by hand of 'b1'")),
        ("attempts", |b| b.limits.max_attempts = 1, Some("limits: max_attempts")),
        ("over share", |b| b.limits.over_share_worth = 0.0, Some("limits: over_share_worth")),
        ("zone price", |b| b.limits.cross_zone = 1.0, Some("limits: cross_zone")),
        ("cold part", |b| b.limits.start_capacity = 0.5, Some("limits: start_capacity")),
        ("cold span", |b| b.limits.warm_ms = 1.0, Some("limits: warm_ms")),
    ];

    #[test]
    fn rule_by_rule() {
        for (what, change, rule) in CASES {
            let mut other = example();
            change(&mut other);
            let found: Vec<String> = contradicts(&example(), &other).into_iter().map(|c| c.rule).collect();
            assert_eq!(found, rule.into_iter().map(str::to_owned).collect::<Vec<_>>(), "{what}");
        }
        for fall in
            [|b: &mut Rulebook| b.limits.fall_ms = 1.0, |b: &mut Rulebook| b.limits.fall_multiple = 1.0]
        {
            let mut other = example();
            fall(&mut other);
            assert_eq!(contradicts(&example(), &other).len(), 1);
        }
    }

    proptest! {
        /// It is about the pair: whichever came first, the same rules stand against each other, but for a backend
        /// that only one knows.
        #[test]
        fn changes_add_up_and_go_back(picks in proptest::collection::vec(0usize..CASES.len(), 0..6)) {
            let mut other = example();
            let mut wanted = std::collections::BTreeSet::new();
            for pick in &picks {
                // A change that removes what another one changes would take its rule along.
                let (what, change, rule) = CASES[*pick];
                if ["class gone", "tenant gone", "discovery", "order", "backend gone", "backend new"].contains(&what) {
                    continue;
                }
                change(&mut other);
                wanted.extend(rule);
            }
            let found: std::collections::BTreeSet<String> =
                contradicts(&example(), &other).into_iter().map(|c| c.rule).collect();
            prop_assert_eq!(&found, &wanted.into_iter().map(str::to_owned).collect());
            let back: std::collections::BTreeSet<String> =
                contradicts(&other, &example()).into_iter().map(|c| c.rule).collect();
            prop_assert_eq!(found, back);
        }
    }
}
