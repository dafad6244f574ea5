//! Parser of the start-up parameters, from JSON to [`Settings`].

use serde_json::Value;

use crate::{Class, Discovery, Effect, Group, Limits, Millis, Prices, Rating, Settings, Tenant, ZoneId};

/// Names of classes, tenants, zones and kinds, whose positions are their numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Zones, including those added later by [`index_of`].
    pub zones: Vec<String>,
    /// Kinds of machine, including those added later by [`index_of`].
    pub kinds: Vec<String>,
}

/// Connection parameters, which the decisions do not use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Connections {
    /// Connect timeout.
    pub dial_timeout: Millis,
    /// Time after which a server closes an idle connection, at the latest.
    pub idle_close: Millis,
}

/// Hash of a name (FNV-1a), the same at every proxy.
pub fn number_of(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Position of `name` in `names`; a new name is appended.
pub fn index_of(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

fn number_or(value: &Value, key: &str, default: f64) -> f64 {
    value[key].as_f64().filter(|x| x.is_finite() && *x >= 0.0).unwrap_or(default)
}

fn bool_or(value: &Value, key: &str, default: bool) -> bool {
    value[key].as_bool().unwrap_or(default)
}

fn string<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("")
}

fn array<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value[key].as_array().map_or(&[], Vec::as_slice)
}

fn strings(value: &Value, key: &str) -> Vec<String> {
    array(value, key).iter().filter_map(Value::as_str).map(str::to_owned).collect()
}

fn parse_class(value: &Value) -> Class {
    let deadline = number_or(value, "deadline", 1000.0);
    Class {
        aim: number_or(value, "promise", deadline).min(deadline),
        deadline,
        aim_stretch: number_or(value, "aimStretch", 0.0),
        worth: number_or(value, "worth", 1.0),
        late_worth: number_or(value, "lateShare", 0.0),
        // A request that is not known to be repeatable must never run twice.
        effect: match string(value, "effect") {
            "idempotent" => Effect::Safe,
            "deduplicated" => match string(value, "dedupScope") {
                "all" => keyed_effect(value, Group::All),
                "zone" => keyed_effect(value, Group::Zone),
                "cell" => keyed_effect(value, Group::Cell),
                _ => Effect::Unsafe,
            },
            _ => Effect::Unsafe,
        },
    }
}

fn keyed_effect(value: &Value, group: Group) -> Effect {
    Effect::Keyed { group, window: number_or(value, "window", 0.0) }
}

/// Reads the connection parameters from the same object.
pub fn connections(params: &Value) -> Connections {
    let ceilings = &params["ceilings"];
    Connections {
        dial_timeout: number_or(ceilings, "dialTimeout", 250.0),
        idle_close: number_or(ceilings, "idleClose", 15_000.0),
    }
}

/// Reads the settings; missing values get conservative defaults.
pub fn parse(params: &Value) -> (Settings, Names) {
    let mut names = Names {
        classes: array(params, "classes").iter().map(|c| string(c, "name").to_owned()).collect(),
        tenants: array(params, "accounts").iter().map(|t| string(t, "name").to_owned()).collect(),
        zones: strings(params, "zones"),
        kinds: strings(params, "flavors"),
    };
    let (ceilings, rules, prices) = (&params["ceilings"], &params["rules"], &params["prices"]);
    let zone = params["zone"].as_str().map(|z| ZoneId(index_of(&mut names.zones, z) as u32));
    let settings = Settings {
        proxy_index: number_or(params, "myNumber", 0.0) as u32,
        proxies: number_or(params, "nInstances", 1.0).clamp(1.0, 65_536.0) as u32,
        zone,
        classes: array(params, "classes").iter().map(parse_class).collect(),
        tenants: array(params, "accounts")
            .iter()
            .map(|t| Tenant { allowance_per_s: number_or(t, "allowancePerS", f64::MAX) })
            .collect(),
        over_share_worth: number_or(params, "overShareWorth", 1.0),
        worth_by_work: string(params, "worthBy") == "work",
        discovery: match string(params, "discovery") {
            "on_request" => Discovery::OnRequest,
            _ => Discovery::Pushed,
        },
        rating: match string(params, "weightSource") {
            "nominal" | "rough" => Rating::Size,
            "live" => Rating::Live,
            _ => Rating::Silent,
        },
        warm_keys: bool_or(&params["extra"], "warmKeys", false),
        messages_allowed: bool_or(ceilings, "mayTell", false),
        prices: Prices { cross_zone: number_or(prices, "crossZone", 0.0) },
        limits: Limits {
            start_capacity: number_or(rules, "startCapacity", 0.0),
            cold_ms: number_or(rules, "cold", 30_000.0),
            fall_multiple: number_or(rules, "fallMultiple", 1.0),
            fall_ms: number_or(rules, "fall", 1000.0),
            max_held: usize::MAX,
            max_attempts: number_or(ceilings, "maxAttempts", 1.0).max(1.0) as u32,
            second_copies: bool_or(ceilings, "secondCopies", false),
            may_cancel: bool_or(ceilings, "cancel", false),
        },
    };
    (settings, names)
}
