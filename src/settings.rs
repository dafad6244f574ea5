//! The start-up parameters, from JSON to [`Settings`].

use serde_json::Value;

use crate::{Class, Discovery, Effect, Group, Limits, Millis, Prices, Rating, Settings, Tenant, ZoneId};

/// The names that later lines refer to.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Zones, those met later included.
    pub zones: Vec<String>,
    /// Kinds of machine, those met later included.
    pub kinds: Vec<String>,
}

/// What concerns connections and no decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Connections {
    /// A connection that is not up within this span has failed.
    pub dial_timeout: Millis,
    /// A server closes a connection that has stood idle for this span, at the latest.
    pub idle_close: Millis,
}

/// The same number for the same name at every proxy (FNV-1a).
pub fn number_of(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Where `name` stands among `names`; a new name is added.
pub fn index_of(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

fn number(value: &Value, key: &str, default: f64) -> f64 {
    value[key].as_f64().filter(|x| x.is_finite() && *x >= 0.0).unwrap_or(default)
}

fn flag(value: &Value, key: &str, default: bool) -> bool {
    value[key].as_bool().unwrap_or(default)
}

fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("")
}

fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value[key].as_array().map_or(&[], Vec::as_slice)
}

fn strings(value: &Value, key: &str) -> Vec<String> {
    list(value, key).iter().filter_map(Value::as_str).map(str::to_owned).collect()
}

fn class(value: &Value) -> Class {
    let deadline = number(value, "deadline", 1000.0);
    Class {
        aim: number(value, "promise", deadline).min(deadline),
        deadline,
        aim_stretch: number(value, "aimStretch", 0.0),
        worth: number(value, "worth", 1.0),
        late_worth: number(value, "lateShare", 0.0),
        // What is not known to be repeatable must never run twice.
        effect: match text(value, "effect") {
            "idempotent" => Effect::Safe,
            "deduplicated" => match text(value, "dedupScope") {
                "all" => keyed(value, Group::All),
                "zone" => keyed(value, Group::Zone),
                "cell" => keyed(value, Group::Cell),
                _ => Effect::Unsafe,
            },
            _ => Effect::Unsafe,
        },
    }
}

fn keyed(value: &Value, group: Group) -> Effect {
    Effect::Keyed { group, window: number(value, "window", 0.0) }
}

/// Reads the figures that concern connections from the same object.
pub fn connections(all: &Value) -> Connections {
    let ceilings = &all["ceilings"];
    Connections {
        dial_timeout: number(ceilings, "dialTimeout", 250.0),
        idle_close: number(ceilings, "idleClose", 15_000.0),
    }
}

/// Reads the settings; what is missing gets the careful default.
pub fn parse(all: &Value) -> (Settings, Names) {
    let mut names = Names {
        classes: list(all, "classes").iter().map(|c| text(c, "name").to_owned()).collect(),
        tenants: list(all, "accounts").iter().map(|t| text(t, "name").to_owned()).collect(),
        zones: strings(all, "zones"),
        kinds: strings(all, "flavors"),
    };
    let (ceilings, rules, prices) = (&all["ceilings"], &all["rules"], &all["prices"]);
    let zone = all["zone"].as_str().map(|z| ZoneId(index_of(&mut names.zones, z) as u32));
    let settings = Settings {
        me: number(all, "myNumber", 0.0) as u32,
        proxies: number(all, "nInstances", 1.0).clamp(1.0, 65_536.0) as u32,
        zone,
        classes: list(all, "classes").iter().map(class).collect(),
        tenants: list(all, "accounts")
            .iter()
            .map(|t| Tenant { allowance_per_s: number(t, "allowancePerS", f64::MAX) })
            .collect(),
        over_share_worth: number(all, "overShareWorth", 1.0),
        worth_by_work: text(all, "worthBy") == "work",
        discovery: match text(all, "discovery") {
            "on_request" => Discovery::OnRequest,
            _ => Discovery::Pushed,
        },
        rating: match text(all, "weightSource") {
            "nominal" | "rough" => Rating::Size,
            "live" => Rating::Live,
            _ => Rating::Silent,
        },
        warm_keys: flag(&all["extra"], "warmKeys", false),
        may_tell: flag(ceilings, "mayTell", false),
        prices: Prices { cross_zone: number(prices, "crossZone", 0.0) },
        limits: Limits {
            start_capacity: number(rules, "startCapacity", 0.0),
            cold: number(rules, "cold", 30_000.0),
            fall_multiple: number(rules, "fallMultiple", 1.0),
            fall: number(rules, "fall", 1000.0),
            most_held: usize::MAX,
            max_attempts: number(ceilings, "maxAttempts", 1.0).max(1.0) as u32,
        },
    };
    (settings, names)
}
