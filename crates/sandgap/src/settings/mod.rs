//! sandgap's own settings file, for installations without the platform. `deploy/sandgap.toml` is an example.

mod check;
mod fleet;
pub mod schema;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use sandgap_agree::rulebook::OnLapse;
use serde::Deserialize;
use serde_json::Value as Json;
use wharfhitch::settings::{Connections, Names, index_of, number_of};
use wharfhitch::{Class, Discovery, Effect, Group, Limits, Prices, Rating, Settings, Tenant, ZoneId};

use crate::config::{Config, Fleet, Source, max_held_requests};
use crate::event::Host;
use check::Reader;
pub use sandgap_problem::Problem;

#[derive(Deserialize)]
struct File {
    proxy: Proxy,
    discovery: Service,
    backend: Vec<Backend>,
    class: Vec<ClassTable>,
    tenant: Vec<TenantTable>,
    limits: LimitsTable,
    cold: Cold,
    metrics: Metrics,
    fleet: FleetTable,
    voter: Vec<Voter>,
    way: Vec<Way>,
}

#[derive(Deserialize)]
struct FleetTable {
    listen: Option<SocketAddr>,
    key: Option<String>,
    bound_ms: f64,
    drift_ppm: u32,
    order: String,
    store: Option<PathBuf>,
    keep: Option<PathBuf>,
    header: Option<String>,
}

#[derive(Deserialize)]
struct Voter {
    name: String,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Way {
    to: String,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Proxy {
    name: String,
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    upgrade: Option<String>,
    sockets: usize,
    memory_mb: usize,
    zone: Option<String>,
    seed: Option<String>,
}

#[derive(Deserialize)]
struct Service {
    address: Option<SocketAddr>,
    mode: String,
}

#[derive(Deserialize)]
struct Backend {
    name: String,
    address: SocketAddr,
    zone: Option<String>,
    kind: Option<String>,
    cell: Option<u64>,
    share: f64,
    state: String,
}

#[derive(Deserialize)]
struct ClassTable {
    name: String,
    effect: String,
    aim_ms: Option<f64>,
    deadline_ms: f64,
    worth: f64,
    group: String,
    window_ms: f64,
    on_lapse: Option<String>,
}

#[derive(Deserialize)]
struct TenantTable {
    name: String,
    allowance_per_s: f64,
}

#[derive(Deserialize)]
struct Metrics {
    file: Option<String>,
}

#[derive(Deserialize)]
struct LimitsTable {
    max_attempts: u32,
    second_copies: bool,
    dial_timeout_ms: f64,
    idle_close_ms: f64,
    over_share_worth: f64,
}

#[derive(Deserialize)]
struct Cold {
    start_capacity: f64,
    warm_ms: f64,
    fall_multiple: f64,
    fall_ms: f64,
}

/// Reads a settings file.
///
/// # Errors
/// All problems, each with its line and what would be valid.
pub fn read(path: &Path) -> Result<Config, Vec<Problem>> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| vec![Problem { line: 0, text: format!("the file can't be read: {e}") }])?;
    parse(&text)
}

/// Parses the text of a settings file; see [`read`].
///
/// # Errors
/// All problems.
pub fn parse(text: &str) -> Result<Config, Vec<Problem>> {
    let (values, mut reader) = Reader::read(text);
    // Relations between tables can be checked only if each table is valid.
    if reader.problems.is_empty() {
        match values.try_into::<File>() {
            Ok(file) => {
                check_relations(&file, &mut reader);
                let fleet = fleet::read(&file, &mut reader);
                if reader.problems.is_empty() {
                    return Ok(config(file, fleet));
                }
            }
            Err(e) => reader.add_without_line(e.message().to_owned()),
        }
    }
    let mut problems = reader.problems;
    problems.sort_by_key(|p| p.line);
    Err(problems)
}

/// Checks what involves more than one key.
fn check_relations(file: &File, reader: &mut Reader) {
    match (file.discovery.address, file.backend.is_empty()) {
        (None, true) => {
            reader.add_without_line("name the backends: [discovery] with 'address', or [[backend]]".into())
        }
        (Some(_), false) => {
            reader.add_without_line("backends come from [discovery] or from [[backend]], not both".into())
        }
        _ => {}
    }
    if file.class.is_empty() {
        reader.add_without_line("name at least one [[class]]".into());
    }
    for class in &file.class {
        if class.name.contains(['/', '?', '#']) || class.name == "up" {
            reader.add_without_line(format!("class '{}' can't be the first part of a path", class.name));
        }
        if class.aim_ms.is_some_and(|aim| aim > class.deadline_ms) {
            reader.add_without_line(format!("class '{}': aim_ms is beyond deadline_ms", class.name));
        }
        if (class.effect == "keyed") != (class.window_ms > 0.0) {
            let text = "window_ms goes with effect = \"keyed\", and a keyed class needs one";
            reader.add_without_line(format!("class '{}': {text}", class.name));
        }
    }
    check_unique("class", file.class.iter().map(|c| c.name.as_str()), reader);
    check_unique("tenant", file.tenant.iter().map(|t| t.name.as_str()), reader);
    check_unique("backend", file.backend.iter().map(|b| b.name.as_str()), reader);
    let addresses: Vec<String> = file.backend.iter().map(|b| b.address.to_string()).collect();
    check_unique("backend's address", addresses.iter().map(String::as_str), reader);
}

fn check_unique<'a>(what: &str, names: impl Iterator<Item = &'a str>, reader: &mut Reader) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            reader.add_without_line(format!("{what} '{name}' is listed twice"));
        }
    }
}

fn class(c: &ClassTable) -> Class {
    let group = match c.group.as_str() {
        "all" => Group::All,
        "zone" => Group::Zone,
        _ => Group::Cell,
    };
    Class {
        aim: c.aim_ms.unwrap_or(c.deadline_ms),
        deadline: c.deadline_ms,
        aim_stretch: 0.0,
        worth: c.worth,
        late_worth: 0.0,
        effect: match c.effect.as_str() {
            "safe" => Effect::Safe,
            "keyed" => Effect::Keyed { group, window: c.window_ms },
            _ => Effect::Unsafe,
        },
    }
}

/// The policy without a lease. The default is the safe choice: only requests that may run again are served under rules
/// that may be outdated.
fn on_lapse(c: &ClassTable) -> OnLapse {
    match (c.on_lapse.as_deref(), c.effect.as_str()) {
        (Some("serve"), _) | (None, "safe") => OnLapse::Serve,
        _ => OnLapse::Refuse,
    }
}

fn host(b: Backend) -> Host {
    Host {
        host: b.name,
        address: Some(b.address),
        zone: b.zone.map(Into::into),
        kind: b.kind.map(Into::into),
        cell: b.cell,
        health: b.state.into(),
        rating: Some(b.share),
        start_time_ms: 0.0,
    }
}

fn config(file: File, fleet: Option<Fleet>) -> Config {
    let on_lapse = file.class.iter().map(on_lapse).collect();
    let mut names = Names {
        classes: file.class.iter().map(|c| c.name.clone()).collect(),
        tenants: file.tenant.iter().map(|t| t.name.clone()).collect(),
        ..Names::default()
    };
    let zone = file.proxy.zone.map(|z| ZoneId(index_of(&mut names.zones, &z) as u32));
    let settings = Settings {
        proxy_index: 0,
        proxies: 1,
        zone,
        classes: file.class.iter().map(class).collect(),
        tenants: file.tenant.iter().map(|t| Tenant { allowance_per_s: t.allowance_per_s }).collect(),
        over_share_worth: file.limits.over_share_worth,
        worth_by_work: false,
        discovery: if file.discovery.mode == "asked" { Discovery::OnRequest } else { Discovery::Pushed },
        rating: Rating::Size,
        warm_keys: false,
        messages_allowed: false,
        prices: Prices::default(),
        limits: Limits {
            start_capacity: file.cold.start_capacity,
            cold_ms: file.cold.warm_ms,
            fall_multiple: file.cold.fall_multiple,
            fall_ms: file.cold.fall_ms,
            max_held: max_held_requests(file.proxy.sockets),
            max_attempts: file.limits.max_attempts,
            second_copies: file.limits.second_copies,
            may_cancel: true,
        },
    };
    let seed = file
        .proxy
        .seed
        .map_or_else(fresh_seed, |s| u64::from_str_radix(&s, 16).unwrap_or_else(|_| number_of(&s)));
    Config {
        name: file.proxy.name,
        listen: file.proxy.listen,
        admin: file.proxy.admin,
        upgrade: file.proxy.upgrade.map(Into::into),
        source: match file.discovery.address {
            Some(address) => Source::Discovery(address),
            None => Source::Fixed(file.backend.into_iter().map(host).collect()),
        },
        seed,
        memory_bytes: file.proxy.memory_mb << 20,
        sockets: file.proxy.sockets,
        grace: std::time::Duration::MAX, // the supervisor decides when to end the process
        peers: None,
        remembered_list: Json::Null,
        connections: Connections {
            dial_timeout: file.limits.dial_timeout_ms,
            idle_close: file.limits.idle_close_ms,
        },
        settings,
        names,
        platform_file: Json::Null,
        metrics: file.metrics.file.map(Into::into),
        on_lapse,
        fleet,
    }
}

/// A new seed for each start, as the platform provides it.
fn fresh_seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    now.as_nanos() as u64 ^ u64::from(std::process::id()) << 32
}

#[cfg(test)]
mod tests;
