//! Settings changes while requests are open. The rules of a class number never change: a changed class gets a new
//! number, so that a request keeps the rules under which it arrived.
use crate::interface::*;
use crate::state::{Balancer, Health};
use std::collections::VecDeque;

impl Balancer {
    /// Applies new settings. This proxy's number and zone, the number of proxies, the discovery and rating modes, the
    /// use of warm keys and of messages, and `most_held` keep their initial values.
    pub(crate) fn apply_settings(&mut self, now: Millis, change: Change) {
        let Change { settings, live, new_classes } = change;
        let Settings { classes, tenants, over_share_worth, worth_by_work, prices, limits, .. } = settings;
        let first = |c: &Class| (c.aim / 4.0, 0.0);
        for (id, previous) in new_classes {
            let (id, new) = (id.0, &classes[id.0]);
            self.resize_classes(now, classes.len());
            // Learned values carry over if the class is the same except for its figures.
            let previous = previous.map(|l| l.0).filter(|l| *l < self.class_ms.len());
            self.class_ms[id] = previous.map_or(first(new), |l| self.class_ms[l]);
            self.hints[id] = previous.map_or((1.0, 0.0), |l| self.hints[l]);
            self.class_scale[id] = previous.map_or(0.0, |l| self.class_scale[l]);
            self.closed_fraction[id] = previous.map_or(0.0, |l| self.closed_fraction[l]);
            self.median_failures[id + 1] = previous.map_or(0.0, |l| self.median_failures[l + 1]);
            self.max_attempts_by_class[id] = limits.max_attempts;
            self.max_concurrent_by_class[id] = limits.max_concurrent_attempts();
            for s in &mut self.servers {
                let same = |l: usize| Health { is_tested: false, ..s.by_class[l].clone() };
                s.by_class[id] = previous.map_or_else(|| Health::clean(now), same);
            }
        }
        self.cfg = Settings {
            classes,
            tenants,
            over_share_worth,
            worth_by_work,
            prices,
            limits: Limits { max_held: self.cfg.limits.max_held, ..limits },
            ..self.cfg.clone()
        };
        self.allowance.resize(self.cfg.tenants.len(), 1.0);
        self.live = live;
        self.summarize_classes();
    }

    fn resize_classes(&mut self, now: Millis, classes: usize) {
        self.class_ms.resize(classes, (0.0, 0.0));
        self.hints.resize(classes, (1.0, 0.0));
        self.class_scale.resize(classes, 0.0);
        self.closed_fraction.resize(classes, 0.0);
        self.median_failures.resize(classes + 1, 0.0);
        self.max_attempts_by_class.resize(classes, 1);
        self.max_concurrent_by_class.resize(classes, 1);
        self.queues.resize(classes * 2, VecDeque::new());
        self.servers.iter_mut().for_each(|s| s.by_class.resize(classes, Health::clean(now)));
    }

    /// Updates the summary of the classes in force: longest and shortest aim, and whether any class is safe.
    pub(crate) fn summarize_classes(&mut self) {
        let in_force = || self.cfg.classes.iter().zip(&self.live).filter(|(_, live)| **live).map(|(c, _)| c);
        let longest = in_force().map(|c| c.aim).fold(0.0, f64::max);
        let least = in_force().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        let safe = in_force().any(|c| c.effect == Effect::Safe);
        (self.longest_aim, self.shortest_aim, self.has_safe_class) = (longest, least, safe);
    }
}
