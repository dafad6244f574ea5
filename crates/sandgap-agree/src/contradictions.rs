//! Finds the rules on which two rulebooks contradict each other.
//!
//! Two rulebooks contradict each other if a proxy that follows one may do or refuse something that a proxy that follows
//! the other must not: the two proxies together then break a guarantee that each keeps alone. Fields that only affect
//! the quality of service (worth, aim, a backend's size or kind) never contradict, and neither does a backend that only
//! the newer rulebook has.

use std::collections::BTreeMap;
use std::fmt;

use crate::rulebook::{Backend, Class, Rulebook, Tenant};

/// A rule on which two rulebooks contradict each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// The entry and the field, as text.
    pub rule: String,
    /// The value in the older rulebook.
    pub old: String,
    /// The value in the newer rulebook.
    pub new: String,
}

impl fmt::Display for Contradiction {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {} and {}", self.rule, self.old, self.new)
    }
}

/// The name of a field, and a function that formats its value.
type Field<T> = (&'static str, fn(&T) -> String);

const CLASS_FIELDS: [Field<Class>; 3] = [
    ("effect", |c| format!("{:?}", c.effect)),
    ("deadline_ms", |c| c.deadline_ms.to_string()),
    ("on_lapse", |c| format!("{:?}", c.on_lapse)),
];

const TENANT_FIELDS: [Field<Tenant>; 1] = [("allowance_per_s", |t| t.allowance_per_s.to_string())];

/// Zone and cell are included because they decide which backends deduplicate together.
const BACKEND_FIELDS: [Field<Backend>; 4] = [
    ("address", |b| b.address.to_string()),
    ("zone", |b| format!("{:?}", b.zone)),
    ("cell", |b| format!("{:?}", b.cell)),
    ("state", |b| if b.draining { "draining".into() } else { "up".into() }),
];

const LIMITS_FIELDS: [Field<Rulebook>; 7] = [
    ("max_attempts", |r| r.limits.max_attempts.to_string()),
    ("over_share_worth", |r| r.limits.over_share_worth.to_string()),
    ("cross_zone", |r| r.limits.cross_zone.to_string()),
    ("start_capacity", |r| r.limits.start_capacity.to_string()),
    ("warm_ms", |r| r.limits.warm_ms.to_string()),
    ("fall_multiple", |r| r.limits.fall_multiple.to_string()),
    ("fall_ms", |r| r.limits.fall_ms.to_string()),
];

/// All contradictions between two rulebooks; empty if proxies may follow both at the same time.
pub fn contradicts(old: &Rulebook, new: &Rulebook) -> Vec<Contradiction> {
    let mut all = Vec::new();
    let (a, b) = (by_name(&old.classes, |c| &c.name), by_name(&new.classes, |c| &c.name));
    compare_entries("class", &a, &b, &CLASS_FIELDS, OnlyInNew::Contradicts, &mut all);
    let (a, b) = (by_name(&old.tenants, |t| &t.name), by_name(&new.tenants, |t| &t.name));
    // If no tenants are listed, requests need no tenant: adding the first one changes the rule for every request.
    compare_entries("tenant", &a, &b, &TENANT_FIELDS, OnlyInNew::Contradicts, &mut all);
    match (&old.backends, &new.backends) {
        (Some(a), Some(b)) => {
            let (a, b) = (by_name(a, |b| &b.name), by_name(b, |b| &b.name));
            compare_entries("backend", &a, &b, &BACKEND_FIELDS, OnlyInNew::Allowed, &mut all);
        }
        (None, None) => {}
        (a, _) => {
            let source =
                |listed: bool| if listed { "listed in the rules" } else { "from discovery" }.to_owned();
            let (old, new) = (source(a.is_some()), source(a.is_none()));
            all.push(Contradiction { rule: "backends".into(), old, new });
        }
    }
    for name in old.drained.symmetric_difference(&new.drained) {
        let state =
            |book: &Rulebook| if book.drained.contains(name) { "drained" } else { "in use" }.to_owned();
        let rule = format!("drain by hand of '{name}'");
        all.push(Contradiction { rule, old: state(old), new: state(new) });
    }
    compare_fields("limits", old, new, &LIMITS_FIELDS, &mut all);
    all
}

/// Whether an entry that only the newer rulebook has is a contradiction.
#[derive(Clone, Copy, PartialEq)]
enum OnlyInNew {
    Contradicts,
    /// It is none: a proxy that does not know the entry does not use it.
    Allowed,
}

fn by_name<T>(all: &[T], name: fn(&T) -> &String) -> BTreeMap<&str, &T> {
    all.iter().map(|entry| (name(entry).as_str(), entry)).collect()
}

fn compare_entries<T>(
    what: &str, old: &BTreeMap<&str, &T>, new: &BTreeMap<&str, &T>, fields: &[Field<T>],
    only_in_new: OnlyInNew, all: &mut Vec<Contradiction>,
) {
    let presence = |present: bool| if present { "there" } else { "not there" }.to_owned();
    for (name, a) in old {
        let rule = format!("{what} '{name}'");
        match new.get(name) {
            Some(b) => compare_fields(&rule, *a, *b, fields, all),
            None => all.push(Contradiction { rule, old: presence(true), new: presence(false) }),
        }
    }
    for name in new.keys().filter(|name| only_in_new == OnlyInNew::Contradicts && !old.contains_key(*name)) {
        let rule = format!("{what} '{name}'");
        all.push(Contradiction { rule, old: presence(false), new: presence(true) });
    }
}

fn compare_fields<T>(what: &str, old: &T, new: &T, fields: &[Field<T>], all: &mut Vec<Contradiction>) {
    for (field, format_value) in fields {
        let (old, new) = (format_value(old), format_value(new));
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

    /// Name of the case, change, and the rule that it contradicts, if any.
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
    fn each_change_contradicts_its_rule_only() {
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
        /// Several changes contradict the union of their rules, and the relation is symmetric except for a backend that
        /// only one rulebook has.
        #[test]
        fn contradictions_accumulate_and_are_symmetric(picks in proptest::collection::vec(0usize..CASES.len(), 0..6)) {
            let mut other = example();
            let mut expected = std::collections::BTreeSet::new();
            for pick in &picks {
                // A change that removes an entry would hide the contradictions of other changes to that entry.
                let (what, change, rule) = CASES[*pick];
                if ["class gone", "tenant gone", "discovery", "order", "backend gone", "backend new"].contains(&what) {
                    continue;
                }
                change(&mut other);
                expected.extend(rule);
            }
            let found: std::collections::BTreeSet<String> =
                contradicts(&example(), &other).into_iter().map(|c| c.rule).collect();
            prop_assert_eq!(&found, &expected.into_iter().map(str::to_owned).collect());
            let back: std::collections::BTreeSet<String> =
                contradicts(&other, &example()).into_iter().map(|c| c.rule).collect();
            prop_assert_eq!(found, back);
        }
    }
}
