//! Parser of the platform's configuration, the JSON file that NODE_CONFIG names, into a [`Config`].

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use wharfhitch::settings::{self, number_of};

use crate::config::{Config, PeerAddresses, Source, max_held_requests};

/// The file's contents; unknown keys are ignored.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    admin: Option<SocketAddr>,
    seed: Value,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// Limit on finishing requests after SIGTERM: the platform allows for deadlines up to this long when it sets how long a
/// process may live.
const MAX_GRACE: Duration = Duration::from_secs(3);

/// Parses a configuration.
///
/// # Errors
/// The first problem.
pub fn parse(text: &str) -> Result<Config, String> {
    let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let mut platform_file: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    platform_file["known"].take(); // long, and read only at the start
    if !file.settings.is_object() {
        return Err("'settings' is not an object".into());
    }
    let (mut settings, names) = settings::parse(&file.settings);
    if settings.classes.is_empty() || names.classes.iter().any(String::is_empty) {
        return Err("'settings' has no named classes".into());
    }
    // With a wrong number, this proxy would claim another proxy's share of the backends.
    if settings.proxy_index >= settings.proxies {
        return Err(format!("'settings': proxy number {} of {}", settings.proxy_index, settings.proxies));
    }
    let peers = match (file.peer_listen, file.peers_all) {
        (Some(listen), Some(all)) if settings.messages_allowed => {
            Some(PeerAddresses { listen, peers: file.peers, all })
        }
        _ => None,
    };
    let sockets = file.limits.sockets.unwrap_or(1024).max(64);
    settings.limits.max_held = max_held_requests(sockets);
    Ok(Config {
        name: file.name,
        listen: file.listen,
        admin: file.admin,
        upgrade: None,
        source: Source::Discovery(file.discovery),
        seed: seed(&file.seed).ok_or("'seed' is neither a string nor a whole number")?,
        memory_bytes: (file.limits.memory_mb.unwrap_or(192.0).clamp(16.0, 1e6) * (1 << 20) as f64) as usize,
        sockets,
        grace: MAX_GRACE,
        peers,
        remembered_list: file.known,
        connections: settings::connections(&file.settings),
        platform_file,
        metrics: None,
        on_lapse: Vec::new(),
        fleet: None,
        settings,
        names,
    })
}

/// Parses a seed. It is usually hexadecimal; other text is hashed to a fixed number.
fn seed(value: &Value) -> Option<u64> {
    match value {
        Value::String(text) => Some(u64::from_str_radix(text, 16).unwrap_or_else(|_| number_of(text))),
        other => other.as_u64(),
    }
}

#[cfg(test)]
mod tests {
    use wharfhitch::settings::Connections;

    use super::*;

    const GOOD: &str = r#"{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f",
        "limits":{"sockets":512},"peer_listen":"127.0.0.1:1","peers":["127.0.0.1:1"],"peers_all":"127.0.0.1:2",
        "known":null,"settings":{"classes":[{"name":"page","effect":"idempotent","deadline":900}],
        "nInstances":1,"myNumber":0,"ceilings":{"mayTell":true,"dialTimeout":120,"idleClose":30000}}}"#;

    #[test]
    fn a_valid_file_is_read_completely() {
        let config = parse(GOOD).expect("good");
        assert_eq!((config.seed, config.sockets), (0x8c1f, 512));
        assert_eq!(config.connections, Connections { dial_timeout: 120.0, idle_close: 30_000.0 });
        assert_eq!(config.names.classes, ["page"]);
        assert_eq!(config.peers.expect("peers are allowed").peers.len(), 1);
    }

    #[test]
    fn peers_are_not_used_if_the_settings_forbid_them() {
        assert!(parse(&GOOD.replace("\"mayTell\":true", "\"mayTell\":false")).expect("good").peers.is_none());
    }

    #[test]
    fn errors_name_the_problem() {
        for (from, to, word) in [
            ("127.0.0.1:9000", "nowhere", "socket address"),
            ("\"seed\":\"8c1f\",", "", "seed"),
            ("\"name\":\"page\",", "", "classes"),
            ("\"myNumber\":0", "\"myNumber\":3", "number 3 of 1"),
            ("{\"name\"", "{\"name", "line"),
        ] {
            let error = parse(&GOOD.replace(from, to)).err().expect(to);
            assert!(error.contains(word), "{to}: {error}");
        }
    }
}
