//! Checks whether a new platform file may replace the one in force. It is accepted or rejected as a whole. Every key of
//! the old file must still be present with the same type, because a truncated or partly written file lacks some.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Durations and counts above this are taken for mistakes: one day in milliseconds.
const MAX_MS: f64 = 86_400_000.0;
/// Attempt counts above this are taken for mistakes.
const MAX_ATTEMPTS: f64 = 1000.0;
/// Top-level keys that may appear and disappear. The remembered list (`known`) is read only at the start.
const OPTIONAL: [&str; 5] = ["known", "admin", "peer_listen", "peers", "peers_all"];

/// Checks `new` against the file in force.
///
/// # Errors
/// The first wrong key, and why it is wrong.
pub fn check(old: &Value, new: &Value) -> Result<(), String> {
    let (old, new) = match (old, new) {
        (Value::Object(old), Value::Object(new)) => (old, new),
        (_, Value::Object(_)) => return Ok(()),
        _ => return Err("the file does not hold an object".into()),
    };
    for (key, before) in old.iter().filter(|(key, _)| !OPTIONAL.contains(&key.as_str())) {
        check_same_types(before, new.get(key), key)?;
    }
    let settings = &new["settings"];
    check_classes(settings)?;
    check_unique(settings, "accounts")?;
    check_positive(&settings["ceilings"], "maxAttempts", MAX_ATTEMPTS, "settings.ceilings")
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// Checks that every old key is present with the same type, and that list entries have the keys that all old entries
/// have.
fn check_same_types(old: &Value, new: Option<&Value>, path: &str) -> Result<(), String> {
    let new = new.ok_or_else(|| format!("'{path}' is missing"))?;
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old
            .iter()
            .try_for_each(|(key, before)| check_same_types(before, new.get(key), &format!("{path}.{key}"))),
        (Value::Array(old), Value::Array(new)) => check_entries(old, new, path),
        (Value::Null, _) | (_, Value::Null) if old == new || old.is_null() => Ok(()),
        _ if type_name(old) == type_name(new) => Ok(()),
        _ => Err(format!("'{path}' is {}, it was {}", type_name(new), type_name(old))),
    }
}

fn check_entries(old: &[Value], new: &[Value], path: &str) -> Result<(), String> {
    let objects: Vec<&Map<String, Value>> = old.iter().filter_map(Value::as_object).collect();
    let Some(first) = objects.first() else { return Ok(()) };
    let common: Vec<&String> =
        first.keys().filter(|key| objects.iter().all(|o| o.contains_key(*key))).collect();
    for (at, entry) in new.iter().enumerate() {
        let path = format!("{path}[{at}]");
        let Value::Object(entry) = entry else { return Err(format!("'{path}' is {}", type_name(entry))) };
        for key in &common {
            let path = format!("{path}.{key}");
            let value = entry.get(*key).ok_or_else(|| format!("'{path}' is missing"))?;
            if type_name(value) != type_name(&first[*key]) && !first[*key].is_null() {
                return Err(format!("'{path}' is {}, it was {}", type_name(value), type_name(&first[*key])));
            }
        }
    }
    Ok(())
}

fn check_classes(settings: &Value) -> Result<(), String> {
    let path = "settings.classes";
    let all = settings["classes"].as_array().filter(|all| !all.is_empty());
    let all = all.ok_or_else(|| format!("'{path}' holds no class"))?;
    for (at, class) in all.iter().enumerate() {
        let path = format!("{path}[{at}]");
        if class["name"].as_str().is_none_or(|n| n.is_empty() || n.contains(['/', '?', '#'])) {
            return Err(format!("'{path}.name' can't be the first part of a path"));
        }
        check_positive(class, "deadline", MAX_MS, &path)?;
        for key in ["promise", "window"].into_iter().filter(|key| !class[*key].is_null()) {
            check_positive(class, key, MAX_MS, &path)?;
        }
        for key in ["worth", "lateShare", "aimStretch"].into_iter().filter(|key| !class[*key].is_null()) {
            if class[key].as_f64().is_none_or(|x| x < 0.0) {
                return Err(format!("'{path}.{key}' is negative or not a number"));
            }
        }
        if class["effect"] == "deduplicated" && (class["dedupScope"].is_null() || class["window"].is_null()) {
            return Err(format!("'{path}': a deduplicated class needs dedupScope and window"));
        }
    }
    check_unique(settings, "classes")
}

fn check_unique(settings: &Value, list: &str) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    let names = settings[list].as_array().into_iter().flatten().filter_map(|entry| entry["name"].as_str());
    for name in names {
        if !seen.insert(name) {
            return Err(format!("'settings.{list}': '{name}' is listed twice"));
        }
    }
    Ok(())
}

fn check_positive(object: &Value, key: &str, max: f64, path: &str) -> Result<(), String> {
    match object[key].as_f64() {
        Some(x) if x > 0.0 && x <= max => Ok(()),
        _ if object[key].is_null() => Err(format!("'{path}.{key}' is missing")),
        _ => Err(format!("'{path}.{key}' is {}, not a number above 0 and up to {max}", object[key])),
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    fn good() -> Value {
        json!({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ab", "known": {"seq": 1},
            "settings": {"zone": null, "classes": [
                {"name": "page", "effect": "idempotent", "deadline": 900, "promise": 700, "worth": 1},
                {"name": "book", "effect": "deduplicated", "dedupScope": "cell", "window": 2500, "deadline": 900,
                    "promise": 700, "worth": 2}],
                "accounts": [{"name": "a", "allowancePerS": 1}], "ceilings": {"maxAttempts": 3}, "rules": {"cold": 1}}})
    }

    #[test]
    fn classes_may_come_go_and_change() {
        let mut new = good();
        new["settings"]["classes"] =
            json!([{"name": "live", "effect": "at_most_once", "deadline": 400, "promise": 300, "worth": 3}]);
        new["settings"]["ceilings"]["maxAttempts"] = json!(1);
        new["settings"]["zone"] = json!("a");
        new.as_object_mut().expect("an object").remove("known");
        assert_eq!(check(&good(), &new), Ok(()));
        assert_eq!(check(&good(), &good()), Ok(()));
    }

    #[test]
    fn each_error_names_its_key() {
        let faults: [(&str, Value, &str); 15] = [
            ("/settings/classes/0/deadline", json!(0), "settings.classes[0].deadline"),
            ("/settings/classes/0/deadline", json!(-3), "settings.classes[0].deadline"),
            ("/settings/classes/0/deadline", json!("900"), "settings.classes[0].deadline"),
            ("/settings/classes/1/deadline", json!(1e300), "settings.classes[1].deadline"),
            ("/settings/classes/0/promise", json!(0), "settings.classes[0].promise"),
            ("/settings/classes/0/worth", json!(-1), "settings.classes[0].worth"),
            ("/settings/classes/0/name", json!(""), "settings.classes[0].name"),
            ("/settings/classes/0/name", json!("book"), "'book' is listed twice"),
            ("/settings/classes", json!([]), "settings.classes"),
            ("/settings/classes", json!({}), "settings.classes"),
            ("/settings/ceilings/maxAttempts", json!(0), "maxAttempts"),
            ("/settings/ceilings/maxAttempts", json!(null), "maxAttempts"),
            ("/settings/ceilings/maxAttempts", json!(1e9), "maxAttempts"),
            ("/settings", json!([]), "'settings'"),
            ("/seed", json!(false), "'seed'"),
        ];
        for (place, value, word) in faults {
            let mut new = good();
            *new.pointer_mut(place).expect("a place") = value;
            let error = check(&good(), &new).expect_err(place);
            assert!(error.contains(word), "{place}: {error}");
        }
    }

    #[test]
    fn any_missing_key_is_an_error() {
        fn key_paths(value: &Value, at: String, out: &mut Vec<(String, String)>) {
            for (key, inner) in value.as_object().into_iter().flatten() {
                out.push((at.clone(), key.clone()));
                key_paths(inner, format!("{at}/{key}"), out);
            }
            for (i, inner) in value.as_array().into_iter().flatten().enumerate() {
                key_paths(inner, format!("{at}/{i}"), out);
            }
        }
        let mut all = Vec::new();
        key_paths(&good(), String::new(), &mut all);
        for (place, key) in
            all.into_iter().filter(|(place, key)| key != "known" && !place.starts_with("/known"))
        {
            let mut new = good();
            let object = new.pointer_mut(&place).and_then(Value::as_object_mut).expect("an object");
            object.remove(&key);
            assert!(check(&good(), &new).is_err(), "{place}/{key}");
        }
        assert!(check(&good(), &Value::Null).is_err());
    }
}
