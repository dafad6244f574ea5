//! Settings as immutable generations. A request holds the one under which it was taken; a class whose rules change
//! gets another number, and a number is given anew only once no generation holds it.

use std::rc::{Rc, Weak};

use rustc_hash::FxHashMap;
use wharfhitch::settings::Names;
use wharfhitch::{Change, Class, ClassId, Settings, Tenant, TenantId};

/// Class numbers at once, of all generations that open requests still hold. The module keeps a few words for each
/// number at each backend.
const CLASSES: usize = 256;
/// Tenants ever named, in a process. Their numbers are kept, as the module counts what each has asked for.
pub const MAX_TENANTS: usize = 65_536;

/// What is in force for the requests that come.
pub struct Generation {
    classes: Vec<(String, ClassId, Class)>,
    tenants: FxHashMap<String, TenantId>,
}

impl Generation {
    /// The class of a name.
    pub fn class(&self, name: &str) -> Option<(ClassId, &Class)> {
        self.classes.iter().find(|(n, ..)| n == name).map(|(_, id, class)| (*id, class))
    }

    /// The tenant of a name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied()
    }

    /// Whether requests have to name a tenant.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    fn holds(&self, id: ClassId) -> bool {
        self.classes.iter().any(|(_, other, _)| *other == id)
    }
}

/// The generation in force and those that open requests hold.
pub struct Generations {
    current: Rc<Generation>,
    past: Vec<Weak<Generation>>,
    /// By number, the rules given last.
    table: Vec<Class>,
    max_attempts: u32,
    /// All that were ever named, by number, and their numbers.
    tenants: Vec<Tenant>,
    tenant_ids: FxHashMap<String, TenantId>,
    longest: f64,
}

impl Generations {
    /// The first generation: numbers are those of the settings.
    pub fn new(settings: &Settings, names: &Names) -> Self {
        let named = names.classes.iter().cloned().zip(settings.classes.iter().cloned());
        let classes = named.enumerate().map(|(i, (name, class))| (name, ClassId(i), class)).collect();
        let tenant_ids: FxHashMap<String, TenantId> =
            names.tenants.iter().enumerate().map(|(i, name)| (name.clone(), TenantId(i))).collect();
        Generations {
            current: Rc::new(Generation { classes, tenants: tenant_ids.clone() }),
            past: Vec::new(),
            table: settings.classes.clone(),
            max_attempts: settings.limits.max_attempts,
            tenants: settings.tenants.clone(),
            tenant_ids,
            longest: longest(&settings.classes),
        }
    }

    /// What is in force.
    pub fn current(&self) -> &Rc<Generation> {
        &self.current
    }

    /// The longest deadline of any class that has been in force, in ms.
    pub fn longest(&self) -> f64 {
        self.longest
    }

    /// Whether other settings could be put in force now.
    ///
    /// # Errors
    /// See [`Generations::change`].
    pub fn fits(&self, settings: &Settings, names: &Names) -> Result<(), String> {
        self.number(settings, names).map(drop)?;
        self.room_for_tenants(names)
    }

    /// Puts other settings in force and returns what the module has to be told.
    ///
    /// # Errors
    /// Where open requests hold too many classes; nothing has changed then.
    pub fn change(&mut self, settings: &Settings, names: &Names) -> Result<Change, String> {
        self.past.retain(|g| g.strong_count() > 0);
        let (classes, fresh) = self.number(settings, names)?;
        let tenants = self.number_tenants(settings, names)?;
        self.table.resize_with(self.table.len().max(1 + top(&classes)), || settings.classes[0].clone());
        classes.iter().for_each(|(_, id, class)| self.table[id.0] = class.clone());
        self.longest = self.longest.max(longest(&settings.classes));
        self.max_attempts = settings.limits.max_attempts;
        let new = Rc::new(Generation { classes, tenants });
        self.past.push(Rc::downgrade(&std::mem::replace(&mut self.current, new)));
        let live = (0..self.table.len()).map(|id| self.current.holds(ClassId(id))).collect();
        let mut settings = settings.clone();
        settings.classes = self.table.clone();
        settings.tenants = self.tenants.clone();
        Ok(Change { settings, live, fresh })
    }

    /// A number for each class: its old one where nothing about it has changed. A new one takes over what was
    /// learned if the class is known by that name and repeats as before.
    #[allow(clippy::type_complexity)]
    fn number(
        &self, settings: &Settings, names: &Names,
    ) -> Result<(Vec<(String, ClassId, Class)>, Vec<(ClassId, Option<ClassId>)>), String> {
        let held: Vec<Rc<Generation>> = self.past.iter().filter_map(Weak::upgrade).collect();
        let (mut classes, mut fresh): (Vec<(String, ClassId, Class)>, Vec<_>) = Default::default();
        for (name, class) in names.classes.iter().zip(&settings.classes) {
            let before = self.current.class(name);
            let same = |c: &Class| c == class && self.max_attempts == settings.limits.max_attempts;
            let id = match before {
                Some((id, old)) if same(old) => id,
                _ => {
                    let taken = |id: &ClassId| {
                        self.current.holds(*id)
                            || held.iter().any(|g| g.holds(*id))
                            || classes.iter().any(|(_, other, _)| other == id)
                    };
                    let id = (0..CLASSES).map(ClassId).find(|id| !taken(id));
                    let id = id.ok_or(format!(
                        "open requests hold the rules of {CLASSES} classes; try again when some have ended"
                    ))?;
                    let like = before.filter(|(_, old)| old.effect == class.effect).map(|(id, _)| id);
                    fresh.push((id, like));
                    id
                }
            };
            classes.push((name.clone(), id, class.clone()));
        }
        Ok((classes, fresh))
    }

    fn room_for_tenants(&self, names: &Names) -> Result<(), String> {
        let new = names.tenants.iter().filter(|name| !self.tenant_ids.contains_key(*name)).count();
        if self.tenants.len() + new > MAX_TENANTS {
            return Err(format!(
                "more than {MAX_TENANTS} tenants have been named since the start; start anew"
            ));
        }
        Ok(())
    }

    fn number_tenants(
        &mut self, settings: &Settings, names: &Names,
    ) -> Result<FxHashMap<String, TenantId>, String> {
        self.room_for_tenants(names)?;
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

fn top(classes: &[(String, ClassId, Class)]) -> usize {
    classes.iter().map(|(_, id, _)| id.0).max().unwrap_or(0)
}

fn longest(classes: &[Class]) -> f64 {
    classes.iter().map(|c| c.deadline).fold(0.0, f64::max)
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
    fn what_has_not_changed_keeps_its_number() {
        let mut g = start(&[("page", "idempotent", 900.0), ("submit", "unsafe", 900.0)]);
        let told = change(&mut g, &[("submit", "unsafe", 900.0), ("page", "idempotent", 800.0)], 3);
        assert_eq!(g.current().class("submit").expect("there").0, ClassId(1));
        assert_eq!(told.fresh, [(ClassId(2), Some(ClassId(0)))], "other figures, the same thing");
        assert_eq!(told.live, [false, true, true]);
        assert_eq!(told.settings.classes[0].deadline, 900.0, "who came before keeps the old figures");
        assert_eq!(g.longest(), 900.0);
    }

    #[test]
    fn another_effect_is_another_class_and_fewer_attempts_concern_all() {
        let mut g = start(&[("page", "idempotent", 900.0)]);
        assert_eq!(change(&mut g, &[("page", "unsafe", 900.0)], 3).fresh, [(ClassId(1), None)]);
        assert_eq!(change(&mut g, &[("page", "unsafe", 900.0)], 2).fresh, [(ClassId(0), Some(ClassId(1)))]);
    }

    #[test]
    fn a_number_that_a_request_holds_is_not_given_anew() {
        let mut g = start(&[("page", "idempotent", 900.0)]);
        let held = g.current().clone();
        for round in 0..40 {
            let effect = if round % 2 == 0 { "unsafe" } else { "idempotent" };
            let told = change(&mut g, &[("page", effect, 900.0)], 3);
            assert_ne!(told.fresh[0].0, ClassId(0), "round {round}");
            assert!(told.live.len() <= 3, "numbers are given anew once they are free");
        }
        drop(held);
        let told = change(&mut g, &[("other", "unsafe", 900.0)], 3);
        assert_eq!(told.fresh, [(ClassId(0), None)]);
    }

    #[test]
    fn too_many_held_classes_change_nothing() {
        let mut g = start(&[("page", "idempotent", 900.0)]);
        let mut held = vec![g.current().clone()];
        for round in 1..CLASSES {
            change(&mut g, &[("page", "idempotent", 900.0 + round as f64)], 3);
            held.push(g.current().clone());
        }
        let (next, names) = settings(&[("page", "unsafe", 5.0)], 3);
        assert!(g.change(&next, &names).is_err());
        assert_eq!(g.current().class("page").expect("there").1.deadline, 900.0 + (CLASSES - 1) as f64);
        held.clear();
        assert!(g.change(&next, &names).is_ok());
    }
}
