//! Settings that change while requests are open. Each class number keeps its rules for good: a class that changes gets
//! a new number, so that a request keeps the rules under which it came.
use crate::interface::*;
use crate::state::{Balancer, Health};
use std::collections::VecDeque;

impl Balancer {
    /// Takes over settings. Who this proxy is, how many there are, how lists and ratings come and what may be told
    /// stay as they were at the start.
    pub(crate) fn change(&mut self, now: Millis, change: Change) {
        let Change { settings, live, fresh } = change;
        let Settings { classes, tenants, over_share_worth, worth_by_work, prices, limits, .. } = settings;
        let first = |c: &Class| (c.aim / 4.0, 0.0);
        for (id, like) in fresh {
            let (id, new) = (id.0, &classes[id.0]);
            self.room_for(now, classes.len());
            // What was learned holds where the class is still the same thing under other figures.
            let like = like.map(|l| l.0).filter(|l| *l < self.class_ms.len());
            self.class_ms[id] = like.map_or(first(new), |l| self.class_ms[l]);
            self.hints[id] = like.map_or((1.0, 0.0), |l| self.hints[l]);
            self.terms[id] = like.map_or(0.0, |l| self.terms[l]);
            self.blocked[id] = like.map_or(0.0, |l| self.blocked[l]);
            self.ambient[id + 1] = like.map_or(0.0, |l| self.ambient[l + 1]);
            self.most_attempts[id] = limits.max_attempts;
            for s in &mut self.servers {
                s.by_class[id] = like.map_or_else(|| Health::clean(now), |l| s.by_class[l].clone());
            }
        }
        self.cfg = Settings {
            classes,
            tenants,
            over_share_worth,
            worth_by_work,
            prices,
            limits: Limits { most_held: self.cfg.limits.most_held, ..limits },
            ..self.cfg.clone()
        };
        self.allowance.resize(self.cfg.tenants.len(), 1.0);
        self.live = live;
        self.survey();
    }

    fn room_for(&mut self, now: Millis, classes: usize) {
        self.class_ms.resize(classes, (0.0, 0.0));
        self.hints.resize(classes, (1.0, 0.0));
        self.terms.resize(classes, 0.0);
        self.blocked.resize(classes, 0.0);
        self.ambient.resize(classes + 1, 0.0);
        self.most_attempts.resize(classes, 1);
        self.queues.resize(classes * 2, VecDeque::new());
        self.servers.iter_mut().for_each(|s| s.by_class.resize(classes, Health::clean(now)));
    }

    /// Notes what the classes in force have in common.
    pub(crate) fn survey(&mut self) {
        let in_force = || self.cfg.classes.iter().zip(&self.live).filter(|(_, live)| **live).map(|(c, _)| c);
        let longest = in_force().map(|c| c.aim).fold(0.0, f64::max);
        let least = in_force().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        let safe = in_force().any(|c| c.effect == Effect::Safe);
        (self.longest_aim, self.least_aim, self.some_safe) = (longest, least, safe);
    }
}
