//! Each key of the settings that states a permission or a figure has a reader, or a reason why it has none.
use serde_json::{Value, json};
use wharfhitch::settings::{connections, parse};

/// What a key does.
enum Use {
    /// Another value changes the settings.
    Read(Value, Value),
    /// Nothing reads it, for this reason.
    Unread(&'static str),
}

use Use::{Read, Unread};

fn keys() -> Vec<(&'static str, &'static str, Use)> {
    vec![
        ("ceilings", "cancel", Read(json!(false), json!(true))),
        ("ceilings", "cpuUsPerRequest", Unread("a figure of the simulator's account")),
        ("ceilings", "cpuUsPerS", Unread("a figure of the simulator's account")),
        ("ceilings", "dialTimeout", Read(json!(100.0), json!(200.0))),
        ("ceilings", "idleClose", Read(json!(100.0), json!(200.0))),
        ("ceilings", "maxAttempts", Read(json!(2), json!(3))),
        ("ceilings", "maxOpen", Unread("excess requests are rejected before they arrive")),
        ("ceilings", "maxRetryAfter", Unread("a client that comes back earlier breaks no rule")),
        ("ceilings", "mayTell", Read(json!(false), json!(true))),
        ("ceilings", "probes", Unread("no probe is ever sent")),
        ("ceilings", "retryAfter", Unread("a delay that clients do not get changes no answer")),
        ("ceilings", "secondCopies", Read(json!(false), json!(true))),
        ("ceilings", "streamsPerConn", Unread("a connection carries one attempt at a time")),
        ("rules", "answerSlack", Unread("answers are given before the deadline")),
        (
            "rules",
            "askWithin",
            Unread("the list is asked for more often: DISCOVERY_RETRY_MS and a subscription"),
        ),
        ("rules", "cold", Read(json!(1000.0), json!(2000.0))),
        ("rules", "drainGrace", Unread("nothing is sent once a drain is known")),
        ("rules", "fall", Read(json!(1000.0), json!(2000.0))),
        ("rules", "fallMultiple", Read(json!(2.0), json!(3.0))),
        ("rules", "startCapacity", Read(json!(0.2), json!(0.3))),
        ("callers", "marksRetry", Unread("a repeat is treated like a first request")),
    ]
}

/// The settings with a value of one key, as text.
fn read(group: &str, key: &str, value: &Value) -> String {
    let params = json!({"classes": [{"name": "page", "effect": "idempotent"}], group: {key: value}});
    format!("{:?} {:?}", parse(&params).0, connections(&params))
}

#[test]
fn every_key_is_read_or_has_a_reason_why_not() {
    for (group, key, usage) in keys() {
        match usage {
            Read(one, other) => {
                assert_ne!(read(group, key, &one), read(group, key, &other), "nothing reads {group}.{key}");
            }
            Unread(reason) => {
                assert!(!reason.is_empty());
                let all = [json!(false), json!(true), json!(1.0), json!(2.0)].map(|v| read(group, key, &v));
                assert!(all.iter().all(|text| *text == all[0]), "{group}.{key} is read now: name its reader");
            }
        }
    }
}

#[test]
fn a_missing_permission_is_none() {
    let (settings, _) = parse(&json!({"classes": [], "ceilings": {}}));
    assert!(!settings.limits.second_copies && !settings.limits.may_cancel && !settings.messages_allowed);
    assert_eq!((settings.limits.max_attempts, settings.limits.max_concurrent_attempts()), (1, 1));
}
