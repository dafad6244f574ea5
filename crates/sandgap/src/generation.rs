//! Settings as immutable generations. A request holds the generation under which it was admitted. A class whose rules
//! change gets another number, and a number is reused only once no live generation holds it.

use std::rc::{Rc, Weak};

use rustc_hash::FxHashMap;
use wharfhitch::settings::Names;
use wharfhitch::{Change, Class, ClassId, Settings, Tenant, TenantId};

/// Maximum number of class numbers in use, over all generations that open requests still hold. The decision library
/// keeps a few machine words for each number at each backend.
const MAX_CLASSES: usize = 256;
/// Maximum number of tenants named in the life of a process. Their numbers are never reused, because the decision
/// library counts each tenant's requests by number.
pub const MAX_TENANTS: usize = 65_536;

/// The classes and tenants in force for new requests.
pub struct Generation {
    classes: Vec<(String, ClassId, Class)>,
    tenants: FxHashMap<String, TenantId>,
    max_concurrent_attempts: u32,
}

impl Generation {
    /// Maximum number of attempts that one request may have in flight at once.
    pub fn max_concurrent_attempts(&self) -> u32 {
        self.max_concurrent_attempts
    }

    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<(ClassId, &Class)> {
        self.classes.iter().find(|(n, ..)| n == name).map(|(_, id, class)| (*id, class))
    }

    /// The tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied()
    }

    /// Whether requests must name a tenant.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    fn holds(&self, id: ClassId) -> bool {
        self.classes.iter().any(|(_, other, _)| *other == id)
    }
}

/// The generation in force and those that open requests still hold.
pub struct Generations {
    current: Rc<Generation>,
    past: Vec<Weak<Generation>>,
    /// The latest rules by class number.
    class_rules: Vec<Class>,
    max_attempts: u32,
    /// All tenants named since the start, by number; `tenant_ids` has their numbers by name.
    tenants: Vec<Tenant>,
    tenant_ids: FxHashMap<String, TenantId>,
}

impl Generations {
    /// The first generation, with the numbers of the settings.
    pub fn new(settings: &Settings, names: &Names) -> Self {
        let named = names.classes.iter().cloned().zip(settings.classes.iter().cloned());
        let classes = named.enumerate().map(|(i, (name, class))| (name, ClassId(i), class)).collect();
        let tenant_ids: FxHashMap<String, TenantId> =
            names.tenants.iter().enumerate().map(|(i, name)| (name.clone(), TenantId(i))).collect();
        Generations {
            current: Rc::new(Generation {
                classes,
                tenants: tenant_ids.clone(),
                max_concurrent_attempts: settings.limits.max_concurrent_attempts(),
            }),
            past: Vec::new(),
            class_rules: settings.classes.clone(),
            max_attempts: settings.limits.max_attempts,
            tenants: settings.tenants.clone(),
            tenant_ids,
        }
    }

    /// The generation in force.
    pub fn current(&self) -> &Rc<Generation> {
        &self.current
    }

    /// The longest deadline of any class in force, in ms. Classes that only open requests still hold do not count.
    pub fn longest_deadline_ms(&self) -> f64 {
        self.current.classes.iter().map(|(.., class)| class.deadline).fold(0.0, f64::max)
    }

    /// Whether other settings could be put in force now.
    ///
    /// # Errors
    /// See [`Generations::change`].
    pub fn check_change(&self, settings: &Settings, names: &Names) -> Result<(), String> {
        self.assign_class_numbers(settings, names).map(drop)?;
        self.check_tenant_limit(names)
    }

    /// Puts other settings in force and returns the change for the decision library.
    ///
    /// # Errors
    /// If open requests hold too many classes or too many tenants have been named; the rules in force stay then.
    pub fn change(&mut self, settings: &Settings, names: &Names) -> Result<Change, String> {
        self.past.retain(|g| g.strong_count() > 0);
        let (classes, new_classes) = self.assign_class_numbers(settings, names)?;
        let tenants = self.assign_tenant_numbers(settings, names)?;
        self.class_rules.resize_with(self.class_rules.len().max(1 + highest_id(&classes)), || {
            settings.classes[0].clone()
        });
        classes.iter().for_each(|(_, id, class)| self.class_rules[id.0] = class.clone());
        self.max_attempts = settings.limits.max_attempts;
        let max_concurrent_attempts = settings.limits.max_concurrent_attempts();
        let new = Rc::new(Generation { classes, tenants, max_concurrent_attempts });
        self.past.push(Rc::downgrade(&std::mem::replace(&mut self.current, new)));
        let live = (0..self.class_rules.len()).map(|id| self.current.holds(ClassId(id))).collect();
        let mut settings = settings.clone();
        settings.classes = self.class_rules.clone();
        settings.tenants = self.tenants.clone();
        Ok(Change { settings, live, new_classes })
    }

    /// Assigns a number to each class: its old one if nothing about the class has changed. A new number inherits the
    /// learned state if a class of the same name and effect is in force.
    #[allow(clippy::type_complexity)]
    fn assign_class_numbers(
        &self, settings: &Settings, names: &Names,
    ) -> Result<(Vec<(String, ClassId, Class)>, Vec<(ClassId, Option<ClassId>)>), String> {
        let held: Vec<Rc<Generation>> = self.past.iter().filter_map(Weak::upgrade).collect();
        let (mut classes, mut new_classes): (Vec<(String, ClassId, Class)>, Vec<_>) = Default::default();
        let has_same_limits = self.max_attempts == settings.limits.max_attempts
            && self.current.max_concurrent_attempts == settings.limits.max_concurrent_attempts();
        for (name, class) in names.classes.iter().zip(&settings.classes) {
            let before = self.current.class(name);
            let same = |c: &Class| c == class && has_same_limits;
            let id = match before {
                Some((id, old)) if same(old) => id,
                _ => {
                    let taken = |id: &ClassId| {
                        self.current.holds(*id)
                            || held.iter().any(|g| g.holds(*id))
                            || classes.iter().any(|(_, other, _)| other == id)
                    };
                    let id = (0..MAX_CLASSES).map(ClassId).find(|id| !taken(id));
                    let id = id.ok_or(format!(
                        "open requests hold the rules of {MAX_CLASSES} classes; try again when some have ended"
                    ))?;
                    let inherits_from =
                        before.filter(|(_, old)| old.effect == class.effect).map(|(id, _)| id);
                    new_classes.push((id, inherits_from));
                    id
                }
            };
            classes.push((name.clone(), id, class.clone()));
        }
        Ok((classes, new_classes))
    }

    fn check_tenant_limit(&self, names: &Names) -> Result<(), String> {
        let new = names.tenants.iter().filter(|name| !self.tenant_ids.contains_key(*name)).count();
        if self.tenants.len() + new > MAX_TENANTS {
            return Err(format!(
                "more than {MAX_TENANTS} tenants have been named since the start; start anew"
            ));
        }
        Ok(())
    }

    fn assign_tenant_numbers(
        &mut self, settings: &Settings, names: &Names,
    ) -> Result<FxHashMap<String, TenantId>, String> {
        self.check_tenant_limit(names)?;
        let mut tenants = FxHashMap::default();
        for (name, tenant) in names.tenants.iter().zip(&settings.tenants) {
            let next = TenantId(self.tenants.len());
            let id = *self.tenant_ids.entry(name.clone()).or_insert(next);
            if id == next {
                self.tenants.push(tenant.clone());
            }
            self.tenants[id.0] = tenant.clone();
            tenants.insert(name.clone(), id);
        }
        Ok(tenants)
    }
}

fn highest_id(classes: &[(String, ClassId, Class)]) -> usize {
    classes.iter().map(|(_, id, _)| id.0).max().unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use serde_json::json;
    use wharfhitch::settings::parse;

    use super::*;

    fn settings(classes: &[(&str, &str, f64)], attempts: u32) -> (Settings, Names) {
        let classes: Vec<_> = classes
            .iter()
            .map(|(name, effect, deadline)| json!({"name": name, "effect": effect, "deadline": deadline}))
            .collect();
        parse(&json!({"classes": classes, "ceilings": {"maxAttempts": attempts}}))
    }

    fn start(classes: &[(&str, &str, f64)]) -> Generations {
        let (settings, names) = settings(classes, 3);
        Generations::new(&settings, &names)
    }

    fn change(g: &mut Generations, classes: &[(&str, &str, f64)], attempts: u32) -> Change {
        let (settings, names) = settings(classes, attempts);
        g.change(&settings, &names).expect("few classes")
    }

    #[test]
    fn an_unchanged_class_keeps_its_number() {
        let mut g = start(&[("page", "idempotent", 900.0), ("submit", "unsafe", 900.0)]);
        let change_sent = change(&mut g, &[("submit", "unsafe", 900.0), ("page", "idempotent", 800.0)], 3);
        assert_eq!(g.current().class("submit").expect("there").0, ClassId(1));
        assert_eq!(
            change_sent.new_classes,
            [(ClassId(2), Some(ClassId(0)))],
            "a changed deadline inherits the learned state"
        );
        assert_eq!(change_sent.live, [false, true, true]);
        assert_eq!(change_sent.settings.classes[0].deadline, 900.0, "earlier requests keep the old deadline");
        assert_eq!(g.longest_deadline_ms(), 900.0);
        let held = g.current().clone();
        change(&mut g, &[("submit", "unsafe", 400.0)], 3);
        assert_eq!(g.longest_deadline_ms(), 400.0, "a class that only a request holds is not in force");
        drop(held);
    }

    #[test]
    fn a_new_effect_or_attempt_limit_gives_a_new_number() {
        let mut g = start(&[("page", "idempotent", 900.0)]);
        assert_eq!(change(&mut g, &[("page", "unsafe", 900.0)], 3).new_classes, [(ClassId(1), None)]);
        assert_eq!(
            change(&mut g, &[("page", "unsafe", 900.0)], 2).new_classes,
            [(ClassId(0), Some(ClassId(1)))]
        );
    }

    #[test]
    fn another_number_of_attempts_at_once_gives_a_new_number() {
        let classes = [("page", "idempotent", 900.0)];
        let mut g = start(&classes);
        let held = g.current().clone();
        let (mut next, names) = settings(&classes, 3);
        next.limits.second_copies = true;
        let change_sent = g.change(&next, &names).expect("few classes");
        assert_eq!(change_sent.new_classes, [(ClassId(1), Some(ClassId(0)))]);
        assert_eq!((held.max_concurrent_attempts(), g.current().max_concurrent_attempts()), (1, 2));
    }

    #[test]
    fn a_number_that_a_request_holds_is_not_reused() {
        let mut g = start(&[("page", "idempotent", 900.0)]);
        let held = g.current().clone();
        for round in 0..40 {
            let effect = if round % 2 == 0 { "unsafe" } else { "idempotent" };
            let change_sent = change(&mut g, &[("page", effect, 900.0)], 3);
            assert_ne!(change_sent.new_classes[0].0, ClassId(0), "round {round}");
            assert!(change_sent.live.len() <= 3, "numbers are reused once they are free");
        }
        drop(held);
        let change_sent = change(&mut g, &[("other", "unsafe", 900.0)], 3);
        assert_eq!(change_sent.new_classes, [(ClassId(0), None)]);
    }

    #[test]
    fn too_many_held_classes_change_nothing() {
        let mut g = start(&[("page", "idempotent", 900.0)]);
        let mut held = vec![g.current().clone()];
        for round in 1..MAX_CLASSES {
            change(&mut g, &[("page", "idempotent", 900.0 + round as f64)], 3);
            held.push(g.current().clone());
        }
        let (next, names) = settings(&[("page", "unsafe", 5.0)], 3);
        assert!(g.change(&next, &names).is_err());
        assert_eq!(g.current().class("page").expect("there").1.deadline, 900.0 + (MAX_CLASSES - 1) as f64);
        held.clear();
        assert!(g.change(&next, &names).is_ok());
    }
}
