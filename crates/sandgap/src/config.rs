//! What a proxy is told at its start: NODE_CONFIG, read into typed settings.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;
use wharfhitch::Settings;

use wharfhitch::settings::{self, Connections, Names, number_of};

use crate::event::Host;

/// Part of the descriptors that requests may hold. Clients use a third at most; what the module gives up a
/// little before that leaves room to hear of better requests.
const HELD: (usize, usize) = (5, 16);

/// The file as it stands; unknown keys are passed over.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
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
}

/// Where proxies exchange datagrams.
pub struct PeerAddresses {
    /// Where this proxy's datagrams arrive.
    pub listen: SocketAddr,
    /// One address a proxy, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
    /// What is sent here reaches every other proxy.
    pub all: SocketAddr,
}

/// Where the list of backends comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// A discovery service at this address.
    Discovery(SocketAddr),
    /// The settings file itself.
    Fixed(Vec<Host>),
}

/// All that the parts of the proxy need to know.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the list of backends comes from.
    pub source: Source,
    /// The source of all chance.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Where the other proxies are, if they may be told anything.
    pub peers: Option<PeerAddresses>,
    /// The list of backends as last seen, in discovery's form; perhaps old, perhaps nothing.
    pub known: Value,
    /// What the module is told.
    pub settings: Settings,
    /// The names that its numbers stand for.
    pub names: Names,
    /// Figures of connections.
    pub connections: Connections,
}

/// Reads the file: sandgap's own settings where its name ends in `.toml`, the platform's JSON elsewhere.
///
/// # Errors
/// A text that names what is wrong with it.
pub fn read(path: &Path) -> Result<Config, String> {
    if path.extension().is_some_and(|e| e == "toml") {
        let told = |p: &crate::settings::Problem| format!("{}: {p}", path.display());
        return crate::settings::read(path)
            .map_err(|all| all.iter().map(told).collect::<Vec<_>>().join("\n"));
    }
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn parse(text: &str) -> Result<Config, String> {
    let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
    if !file.settings.is_object() {
        return Err("'settings' is no object".into());
    }
    let (mut settings, names) = settings::parse(&file.settings);
    if settings.classes.is_empty() || names.classes.iter().any(String::is_empty) {
        return Err("'settings' has no named classes".into());
    }
    // A wrong number would make this proxy claim another's part of the servers.
    if settings.me >= settings.proxies {
        return Err(format!("'settings': proxy number {} of {}", settings.me, settings.proxies));
    }
    let peers = match (file.peer_listen, file.peers_all) {
        (Some(listen), Some(all)) if settings.may_tell => {
            Some(PeerAddresses { listen, peers: file.peers, all })
        }
        _ => None,
    };
    let sockets = file.limits.sockets.unwrap_or(1024).max(64);
    settings.limits.most_held = held(sockets);
    Ok(Config {
        name: file.name,
        listen: file.listen,
        source: Source::Discovery(file.discovery),
        seed: seed(&file.seed).ok_or("'seed' is neither text nor a whole number")?,
        sockets,
        peers,
        known: file.known,
        connections: settings::connections(&file.settings),
        settings,
        names,
    })
}

/// Requests that may be held unanswered with so many descriptors.
pub fn held(sockets: usize) -> usize {
    sockets * HELD.0 / HELD.1
}

/// Hexadecimal as a rule; other text still gives the same number each time.
fn seed(value: &Value) -> Option<u64> {
    match value {
        Value::String(text) => Some(u64::from_str_radix(text, 16).unwrap_or_else(|_| number_of(text))),
        other => other.as_u64(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f",
        "limits":{"sockets":512},"peer_listen":"127.0.0.1:1","peers":["127.0.0.1:1"],"peers_all":"127.0.0.1:2",
        "known":null,"settings":{"classes":[{"name":"page","effect":"idempotent","deadline":900}],
        "nInstances":1,"myNumber":0,"ceilings":{"mayTell":true,"dialTimeout":120,"idleClose":30000}}}"#;

    #[test]
    fn a_good_file_is_read_whole() {
        let config = parse(GOOD).expect("good");
        assert_eq!((config.seed, config.sockets), (0x8c1f, 512));
        assert_eq!(config.connections, Connections { dial_timeout: 120.0, idle_close: 30_000.0 });
        assert_eq!(config.names.classes, ["page"]);
        assert_eq!(config.peers.expect("peers are allowed").peers.len(), 1);
    }

    #[test]
    fn peers_are_left_alone_where_the_settings_forbid_them() {
        assert!(parse(&GOOD.replace("\"mayTell\":true", "\"mayTell\":false")).expect("good").peers.is_none());
    }

    #[test]
    fn what_is_wrong_is_named() {
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
