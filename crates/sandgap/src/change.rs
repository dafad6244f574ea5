//! Whether the platform's file may take the place of the one in force: whole or not at all. What was there before has
//! to be there still, of the same kind, since a file that was cut short or written half lacks something.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// A span or count above this is a slip: a day in milliseconds.
const MOST: f64 = 86_400_000.0;
/// Attempts above this are a slip.
const ATTEMPTS: f64 = 1000.0;
/// Keys of the whole file that may come and go; discovery's remembered list is read at the start alone.
const OPTIONAL: [&str; 5] = ["known", "admin", "peer_listen", "peers", "peers_all"];

/// Checks `new` against the file in force.
///
/// # Errors
/// The first key that is wrong, and why.
pub fn check(old: &Value, new: &Value) -> Result<(), String> {
    let (old, new) = match (old, new) {
        (Value::Object(old), Value::Object(new)) => (old, new),
        (_, Value::Object(_)) => return Ok(()),
        _ => return Err("the file holds no object".into()),
    };
    for (key, before) in old.iter().filter(|(key, _)| !OPTIONAL.contains(&key.as_str())) {
        same_shape(before, new.get(key), key)?;
    }
    let settings = &new["settings"];
    classes(settings)?;
    unique(settings, "accounts")?;
    positive(&settings["ceilings"], "maxAttempts", ATTEMPTS, "settings.ceilings")
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// All that was there is there, of the same kind; entries of lists have what all entries before had.
fn same_shape(old: &Value, new: Option<&Value>, path: &str) -> Result<(), String> {
    let new = new.ok_or_else(|| format!("'{path}' is missing"))?;
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old
            .iter()
            .try_for_each(|(key, before)| same_shape(before, new.get(key), &format!("{path}.{key}"))),
        (Value::Array(old), Value::Array(new)) => entries(old, new, path),
        (Value::Null, _) | (_, Value::Null) if old == new || old.is_null() => Ok(()),
        _ if kind(old) == kind(new) => Ok(()),
        _ => Err(format!("'{path}' is {}, it was {}", kind(new), kind(old))),
    }
}

fn entries(old: &[Value], new: &[Value], path: &str) -> Result<(), String> {
    let objects: Vec<&Map<String, Value>> = old.iter().filter_map(Value::as_object).collect();
    let Some(first) = objects.first() else { return Ok(()) };
    let common: Vec<&String> =
        first.keys().filter(|key| objects.iter().all(|o| o.contains_key(*key))).collect();
    for (at, entry) in new.iter().enumerate() {
        let path = format!("{path}[{at}]");
        let Value::Object(entry) = entry else { return Err(format!("'{path}' is {}", kind(entry))) };
        for key in &common {
            let path = format!("{path}.{key}");
            let value = entry.get(*key).ok_or_else(|| format!("'{path}' is missing"))?;
            if kind(value) != kind(&first[*key]) && !first[*key].is_null() {
                return Err(format!("'{path}' is {}, it was {}", kind(value), kind(&first[*key])));
            }
        }
    }
    Ok(())
}

fn classes(settings: &Value) -> Result<(), String> {
    let path = "settings.classes";
    let all = settings["classes"].as_array().filter(|all| !all.is_empty());
    let all = all.ok_or_else(|| format!("'{path}' names no class"))?;
    for (at, class) in all.iter().enumerate() {
        let path = format!("{path}[{at}]");
        if class["name"].as_str().is_none_or(|n| n.is_empty() || n.contains(['/', '?', '#'])) {
            return Err(format!("'{path}.name' can't be the first part of a path"));
        }
        positive(class, "deadline", MOST, &path)?;
        for key in ["promise", "window"].into_iter().filter(|key| !class[*key].is_null()) {
            positive(class, key, MOST, &path)?;
        }
        for key in ["worth", "lateShare", "aimStretch"].into_iter().filter(|key| !class[*key].is_null()) {
            if class[key].as_f64().is_none_or(|x| x < 0.0) {
                return Err(format!("'{path}.{key}' is negative or no number"));
            }
        }
        if class["effect"] == "deduplicated" && (class["dedupScope"].is_null() || class["window"].is_null()) {
            return Err(format!("'{path}': a deduplicated class needs dedupScope and window"));
        }
    }
    unique(settings, "classes")
}

fn unique(settings: &Value, list: &str) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    let names = settings[list].as_array().into_iter().flatten().filter_map(|entry| entry["name"].as_str());
    for name in names {
        if !seen.insert(name) {
            return Err(format!("'settings.{list}': '{name}' stands twice"));
        }
    }
    Ok(())
}

fn positive(object: &Value, key: &str, most: f64, path: &str) -> Result<(), String> {
    match object[key].as_f64() {
        Some(x) if x > 0.0 && x <= most => Ok(()),
        _ if object[key].is_null() => Err(format!("'{path}.{key}' is missing")),
        _ => Err(format!("'{path}.{key}' is {}, not a number above 0 and up to {most}", object[key])),
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
    fn each_fault_is_named_with_its_key() {
        let faults: [(&str, Value, &str); 15] = [
            ("/settings/classes/0/deadline", json!(0), "settings.classes[0].deadline"),
            ("/settings/classes/0/deadline", json!(-3), "settings.classes[0].deadline"),
            ("/settings/classes/0/deadline", json!("900"), "settings.classes[0].deadline"),
            ("/settings/classes/1/deadline", json!(1e300), "settings.classes[1].deadline"),
            ("/settings/classes/0/promise", json!(0), "settings.classes[0].promise"),
            ("/settings/classes/0/worth", json!(-1), "settings.classes[0].worth"),
            ("/settings/classes/0/name", json!(""), "settings.classes[0].name"),
            ("/settings/classes/0/name", json!("book"), "'book' stands twice"),
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
    fn whatever_key_is_left_out_is_missed() {
        fn places(value: &Value, at: String, out: &mut Vec<(String, String)>) {
            for (key, inner) in value.as_object().into_iter().flatten() {
                out.push((at.clone(), key.clone()));
                places(inner, format!("{at}/{key}"), out);
            }
            for (i, inner) in value.as_array().into_iter().flatten().enumerate() {
                places(inner, format!("{at}/{i}"), out);
            }
        }
        let mut all = Vec::new();
        places(&good(), String::new(), &mut all);
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
