//! The experiment file: what it may hold, and everything that is wrong with it at once.

use std::path::{Path, PathBuf};

use sandgap_problem::{Problem, line, nearest};
use serde::{Deserialize, Serialize};
use toml::de::{DeTable, DeValue};
use toml::{Table, Value};
use wharfhitch as module;

use crate::defects::Defect;
use crate::limits::{FILE, PROBLEMS, PROXIES, RUNS, SECONDS, SERVERS};
use crate::model::arrivals::Load;
use crate::model::faults::FaultSpec;
use crate::model::laws::Law;
use crate::model::network::Network;
use crate::model::server::{Build, ColdRule};
use crate::rivals::PolicyKind;

/// A file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It can't be read.
    #[error("{0}: {1}")]
    Unread(PathBuf, std::io::Error),
    /// It is larger than a file may be.
    #[error("{0}: {1} bytes are more than {FILE}")]
    Large(PathBuf, u64),
    /// It is wrong.
    #[error("{}", .1.iter().map(|p| format!("{}: {p}", .0.display())).collect::<Vec<_>>().join("\n"))]
    Wrong(PathBuf, Vec<Problem>),
}

/// Problems of values, named by dotted keys.
#[derive(Debug, Default)]
pub struct Checks {
    found: Vec<(String, String)>,
}

impl Checks {
    /// Notes a number that is out of bounds or none.
    pub fn within(&mut self, key: &str, x: f64, least: f64, most: f64) {
        if !(x >= least && x <= most) {
            self.wrong(key, format!("{x} is not from {least} to {most}"));
        }
    }

    /// Notes what is wrong with a key.
    pub fn wrong(&mut self, key: &str, text: String) {
        self.found.push((key.to_owned(), text));
    }
}

/// A whole experiment, at one point of its sweeps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it asks.
    #[serde(default)]
    pub about: String,
    /// The first seed; repetitions take the next ones.
    #[serde(default)]
    pub seed: u64,
    /// Runs a point, each with a seed of its own.
    #[serde(default = "ten")]
    pub repetitions: u32,
    /// Virtual seconds that are counted.
    pub seconds: f64,
    /// Virtual seconds before them that are not.
    #[serde(default = "ten_seconds")]
    pub warm_seconds: f64,
    /// Who decides.
    #[serde(default = "ours")]
    pub policies: Vec<PolicyKind>,
    /// Proxies.
    #[serde(default)]
    pub fleet: Fleet,
    /// Groups of like servers.
    #[serde(rename = "server")]
    pub servers: Vec<Group>,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSpec>,
    /// Tenants.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<TenantSpec>,
    /// When requests come.
    pub load: Load,
    /// What clients do.
    #[serde(default)]
    pub clients: Clients,
    /// Delays and losses.
    #[serde(default)]
    pub network: Network,
    /// How the list of servers is told.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// How cold servers behave.
    #[serde(default)]
    pub cold: ColdRule,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultSpec>,
    /// Adds every kind of fault, drawn from the seed, as `hunt` does.
    #[serde(default)]
    pub mixed_faults: bool,
    /// Keys that take several values, one after another.
    #[serde(default, rename = "sweep")]
    pub sweeps: Vec<Sweep>,
}

fn ten() -> u32 {
    10
}

fn ten_seconds() -> f64 {
    10.0
}

fn ours() -> Vec<PolicyKind> {
    vec![PolicyKind::Sandgap]
}

/// The proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// How many.
    pub proxies: u32,
    /// Zones; proxies stand in them in turn. None: no zones.
    pub zones: Vec<String>,
    /// Whether proxies may tell each other what they hold.
    pub may_tell: bool,
    /// What the list's ratings tell.
    pub rating: RatingWord,
    /// Requests that one proxy may hold unanswered.
    pub most_held: usize,
    /// Attempts for one request.
    pub max_attempts: u32,
    /// What a crossing between zones costs, as a part of a mean request's worth.
    pub crossing_price: f64,
    /// What a request beyond its tenant's allowance is worth.
    pub over_share_worth: f64,
    /// The front sends to a proxy that is gone for this long, ms.
    pub front_notices_ms: f64,
    /// A driver that breaks a rule, to see it caught.
    pub defect: Option<Defect>,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            proxies: 1,
            zones: Vec::new(),
            may_tell: true,
            rating: RatingWord::Size,
            most_held: 1_000_000,
            max_attempts: 6,
            crossing_price: 0.0,
            over_share_worth: 1.0,
            front_notices_ms: 1000.0,
            defect: None,
        }
    }
}

/// What ratings tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RatingWord {
    /// A server's size.
    #[default]
    Size,
    /// Nothing.
    Silent,
}

/// Like servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// How many.
    pub count: u32,
    /// Their kind, as the list tells it.
    #[serde(default)]
    pub kind: Option<String>,
    /// Their zone; without one they stand in all zones in turn.
    #[serde(default)]
    pub zone: Option<String>,
    /// What each is like.
    #[serde(default)]
    pub build: Build,
    /// The speed of each lies within this part of the build's, to either side.
    #[serde(default)]
    pub spread: f64,
    /// What the list says of the size of each; cores times speed where it is left out.
    #[serde(default)]
    pub rating: Option<f64>,
    /// Servers of a cell, which drop each other's repeats.
    #[serde(default = "three")]
    pub cell: u32,
}

fn three() -> u32 {
    3
}

/// Whether a class may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectWord {
    /// As often as one likes.
    Safe,
    /// Within a cell, for a while.
    Keyed,
    /// Never.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Whether it may run again.
    pub effect: EffectWord,
    /// For a keyed class, how long a cell drops repeats, ms.
    #[serde(default = "window")]
    pub window_ms: f64,
    /// Wanted time.
    pub aim_ms: f64,
    /// The client gives up.
    pub deadline_ms: f64,
    /// What an answer in time is worth.
    #[serde(default = "one")]
    pub worth: f64,
    /// Its part of the requests, against the other classes' parts.
    #[serde(default = "one")]
    pub share: f64,
    /// Its work on a standard core.
    pub work: Law,
}

fn window() -> f64 {
    2500.0
}

fn one() -> f64 {
    1.0
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its part of the requests, against the other tenants' parts.
    #[serde(default = "one")]
    pub share: f64,
    /// Requests a second that count in full.
    pub allowance_per_s: f64,
}

/// What clients do.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Whether and how they try again.
    pub retry: Retry,
    /// Tries after the first, at most.
    pub tries: u32,
    /// The least part of a class's deadline that a client waits; each draws its own up to the whole.
    pub patience: f64,
    /// Part of the clients that leave before their answer.
    pub leave: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retry: Retry::Never, tries: 3, patience: 1.0, leave: 0.0 }
    }
}

/// How clients try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Retry {
    /// Not at all.
    Never,
    /// After a refusal alone, once the told span has passed, spread out.
    Well,
    /// After whatever is no answer, at once.
    Badly,
}

/// How the list is told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoverySpec {
    /// Only after it was asked.
    pub asked: bool,
    /// What a change takes to reach a proxy.
    pub delay: Law,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec { asked: false, delay: Law::Constant { mean_ms: 50.0 } }
    }
}

/// A key that takes several values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The key, dotted; entries of a list by number from 0, or `*` for all of them.
    pub key: String,
    /// Its values.
    #[serde(default)]
    pub values: Vec<Value>,
    /// Or the first of a range...
    #[serde(default)]
    pub from: Option<f64>,
    /// ...and the last...
    #[serde(default)]
    pub to: Option<f64>,
    /// ...in so many steps.
    #[serde(default)]
    pub steps: Option<u32>,
    /// Steps of equal ratio instead of equal difference.
    #[serde(default)]
    pub ratio: bool,
}

impl Sweep {
    /// The values, in order.
    pub fn values(&self) -> Vec<Value> {
        let (Some(from), Some(to), Some(steps)) = (self.from, self.to, self.steps) else {
            return self.values.clone();
        };
        let part = |i: u32| if steps < 2 { 0.0 } else { f64::from(i) / f64::from(steps - 1) };
        let at = |i| if self.ratio { from * (to / from).powf(part(i)) } else { from + (to - from) * part(i) };
        (0..steps).map(|i| Value::Float(at(i))).collect()
    }

    fn check(&self, at: &str, checks: &mut Checks) {
        let range = [self.from.is_some(), self.to.is_some(), self.steps.is_some()];
        if range.contains(&true) && range.contains(&false) {
            checks.wrong(at, "a range needs from, to and steps".into());
        }
        if range.contains(&true) != self.values.is_empty() {
            checks.wrong(at, "give either values or a range".into());
        }
        if let Some(steps) = self.steps {
            checks.within(&format!("{at}.steps"), f64::from(steps), 1.0, 1000.0);
        }
        if self.ratio && !(self.from > Some(0.0) && self.to > Some(0.0)) {
            checks.wrong(&format!("{at}.ratio"), "equal ratios need a range above 0".into());
        }
    }
}

/// A point of an experiment: what its sweeps set, and the experiment with it set.
#[derive(Clone, Debug)]
pub struct Point {
    /// Of each sweep its key and value.
    pub set: Vec<(String, String)>,
    /// The experiment there.
    pub experiment: Experiment,
}

/// Reads a file: all points, in the order of the sweeps, the last one running fastest.
///
/// # Errors
/// All that is wrong with it.
pub fn read(path: &Path) -> Result<Vec<Point>, FileError> {
    let unread = |e| FileError::Unread(path.to_owned(), e);
    let size = std::fs::metadata(path).map_err(unread)?.len();
    if size > FILE {
        return Err(FileError::Large(path.to_owned(), size));
    }
    let text = std::fs::read_to_string(path).map_err(unread)?;
    parse(&text).map_err(|problems| FileError::Wrong(path.to_owned(), problems))
}

/// Reads a text; see [`read`].
///
/// # Errors
/// All that is wrong with it.
pub fn parse(text: &str) -> Result<Vec<Point>, Vec<Problem>> {
    let (spanned, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        let problem = |e: &toml::de::Error| Problem {
            line: e.span().map_or(0, |s| line(text, s.start)),
            text: e.message().to_owned(),
        };
        return Err(errors.iter().map(problem).collect());
    }
    let table: Table = text.parse().map_err(|e: toml::de::Error| {
        vec![Problem { line: e.span().map_or(0, |s| line(text, s.start)), text: e.message().to_owned() }]
    })?;
    let problem = |key: &str, what: String| Problem { line: find(text, spanned.get_ref(), key), text: what };
    let base = typed(table.clone())
        .map_err(|found| found.into_iter().map(|(key, what)| problem(&key, what)).collect::<Vec<_>>())?;
    let mut problems = Vec::new();
    let mut points = Vec::new();
    let runs = base.sweeps.iter().map(|s| s.values().len().max(1)).product::<usize>()
        * base.policies.len().max(1)
        * base.repetitions.max(1) as usize;
    if runs > RUNS {
        return Err(vec![problem("sweep", format!("{runs} runs are more than {RUNS}"))]);
    }
    for set in combinations(&base.sweeps) {
        let mut at = Value::Table(table.clone());
        for (key, value) in &set {
            if let Err(what) = put(&mut at, key, value) {
                problems.push(problem("sweep", format!("sweep over '{key}': {what}")));
            }
        }
        let Value::Table(at) = at else { break };
        let found = match typed(at) {
            Ok(experiment) => {
                let mut checks = Checks::default();
                experiment.check(&mut checks);
                let set = set.iter().map(|(k, v)| (k.clone(), plain(v))).collect();
                points.push(Point { set, experiment });
                checks.found
            }
            Err(found) => found,
        };
        problems.extend(found.into_iter().map(|(key, what)| {
            let about = if set.is_empty() { String::new() } else { format!(" (with {})", told(&set)) };
            problem(&key, format!("{key}: {what}{about}"))
        }));
        if problems.len() >= PROBLEMS {
            break;
        }
    }
    if problems.is_empty() {
        return Ok(points);
    }
    problems.sort_by(|a, b| (a.line, &a.text).cmp(&(b.line, &b.text)));
    problems.dedup();
    problems.truncate(PROBLEMS);
    Err(problems)
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

fn told(set: &[(String, Value)]) -> String {
    set.iter().map(|(k, v)| format!("{k} = {}", plain(v))).collect::<Vec<_>>().join(", ")
}

/// A table as an experiment; else every key that is unknown or of a wrong kind, by taking each out and going on.
fn typed(table: Table) -> Result<Experiment, Vec<(String, String)>> {
    let (mut at, mut found) = (Value::Table(table), Vec::new());
    loop {
        match serde_path_to_error::deserialize::<_, Experiment>(at.clone()) {
            Ok(experiment) if found.is_empty() => return Ok(experiment),
            Ok(_) => return Err(found),
            Err(e) => {
                let (path, message) = (e.path().to_string(), e.inner().message().to_owned());
                let unknown = message.strip_prefix("unknown field `").and_then(|m| m.split('`').next());
                let key = match unknown {
                    Some(name) if path.rsplit('.').next() != Some(name) => format!("{path}.{name}"),
                    _ => path.clone(),
                };
                let key = key.trim_start_matches('.').to_owned();
                let missing = message.strip_prefix("missing field `").and_then(|m| m.split('`').next());
                // What lacks a key that was itself wrong and taken out needs no second word.
                let known = missing.is_some_and(|m| {
                    let full = if key.is_empty() { m.to_owned() } else { format!("{key}.{m}") };
                    found.iter().any(|(k, _)| *k == full || k.starts_with(&format!("{full}.")))
                });
                if !known {
                    found.push((key.clone(), helped(&message)));
                }
                if found.len() >= PROBLEMS || !take_out(&mut at, &key) {
                    return Err(found);
                }
            }
        }
    }
}

/// A reader's message, shortened to the nearest name where it lists what it expected.
fn helped(message: &str) -> String {
    let first = message.lines().next().unwrap_or(message);
    let Some((what, expected)) = first.split_once(", expected ") else { return first.to_owned() };
    let Some(given) = what.split('`').nth(1) else { return first.to_owned() };
    let names = expected.split('`').skip(1).step_by(2);
    match nearest(given, names) {
        meant if meant.is_empty() => first.to_owned(),
        meant => format!("{what}{meant}"),
    }
}

/// The parts of a dotted key, `a[0].b` and `a.0.b` alike.
fn parts(key: &str) -> Vec<String> {
    key.replace('[', ".").replace(']', "").split('.').filter(|p| !p.is_empty()).map(str::to_owned).collect()
}

fn take_out(at: &mut Value, key: &str) -> bool {
    let parts = parts(key);
    let Some((last, way)) = parts.split_last() else { return false };
    let mut here = at;
    for part in way {
        let next = match here {
            Value::Table(t) => t.get_mut(part),
            Value::Array(a) => part.parse::<usize>().ok().and_then(|i| a.get_mut(i)),
            _ => None,
        };
        match next {
            Some(next) => here = next,
            None => return false,
        }
    }
    match here {
        Value::Table(table) => table.remove(last).is_some(),
        Value::Array(all) => match last.parse::<usize>() {
            Ok(i) if i < all.len() => {
                // A like entry holds its place, so that the numbers after it stay right.
                let like = (0..all.len()).find(|k| *k != i).map(|k| all[k].clone());
                match like {
                    Some(like) if like != all[i] => all[i] = like,
                    _ => return false,
                }
                true
            }
            _ => false,
        },
        _ => false,
    }
}

/// Sets a key; `*` stands for all entries of a list.
fn put(at: &mut Value, key: &str, value: &Value) -> Result<(), String> {
    fn go(at: &mut Value, way: &[String], value: &Value) -> Result<(), String> {
        let [part, rest @ ..] = way else {
            *at = match (&*at, value) {
                // A range gives numbers with a point; where a whole one stood, a whole one goes.
                (Value::Integer(_), Value::Float(x)) if x.fract() == 0.0 => Value::Integer(*x as i64),
                _ => value.clone(),
            };
            return Ok(());
        };
        match at {
            Value::Table(t) if rest.is_empty() && !t.contains_key(part) => {
                t.insert(part.clone(), value.clone());
                Ok(())
            }
            Value::Table(t) => {
                let next = t.entry(part.clone()).or_insert_with(|| Value::Table(Table::new()));
                go(next, rest, value)
            }
            Value::Array(a) if part == "*" => a.iter_mut().try_for_each(|e| go(e, rest, value)),
            Value::Array(a) => {
                let count = a.len();
                let entry = part.parse::<usize>().ok().and_then(|i| a.get_mut(i));
                go(entry.ok_or(format!("there is no entry {part} among {count}"))?, rest, value)
            }
            _ => Err(format!("'{part}' lies below a plain value")),
        }
    }
    if key.starts_with("sweep") {
        return Err("a sweep can't change a sweep".into());
    }
    go(at, &parts(key), value)
}

fn combinations(sweeps: &[Sweep]) -> Vec<Vec<(String, Value)>> {
    sweeps.iter().fold(vec![Vec::new()], |all, sweep| {
        let longer = |set: &Vec<(String, Value)>| {
            let set = set.clone();
            sweep.values().into_iter().map(move |v| {
                let mut set = set.clone();
                set.push((sweep.key.clone(), v));
                set
            })
        };
        all.iter().flat_map(longer).collect()
    })
}

/// The line of a dotted key, or of the nearest thing above it that stands in the file.
fn find(text: &str, table: &DeTable, key: &str) -> usize {
    fn go(text: &str, at: &DeValue, way: &[String], found: usize) -> usize {
        let [part, rest @ ..] = way else { return found };
        match at {
            DeValue::Table(t) => match t.iter().find(|(k, _)| k.get_ref() == part) {
                Some((k, v)) => go(text, v.get_ref(), rest, line(text, k.span().start)),
                None => found,
            },
            DeValue::Array(a) => match part.parse::<usize>().ok().and_then(|i| a.get(i)) {
                Some(v) => go(text, v.get_ref(), rest, line(text, v.span().start)),
                None => found,
            },
            _ => found,
        }
    }
    go(text, &DeValue::Table(table.clone()), &parts(key), 0)
}

impl Experiment {
    /// Notes what no single key's kind can tell.
    pub fn check(&self, checks: &mut Checks) {
        checks.within("seconds", self.seconds, 0.001, SECONDS);
        checks.within("warm_seconds", self.warm_seconds, 0.0, SECONDS);
        checks.within("repetitions", f64::from(self.repetitions), 1.0, RUNS as f64);
        let f = &self.fleet;
        checks.within("fleet.proxies", f64::from(f.proxies), 1.0, PROXIES as f64);
        checks.within("fleet.max_attempts", f64::from(f.max_attempts), 1.0, 100.0);
        checks.within("fleet.crossing_price", f.crossing_price, 0.0, 100.0);
        checks.within("fleet.over_share_worth", f.over_share_worth, 0.0, 1.0);
        checks.within("fleet.front_notices_ms", f.front_notices_ms, 0.0, 60_000.0);
        checks.within("fleet.most_held", f.most_held as f64, 1.0, 1e9);
        if self.policies.is_empty() {
            checks.wrong("policies", "name at least one".into());
        }
        let servers: u64 = self.servers.iter().map(|g| u64::from(g.count)).sum();
        if servers == 0 || servers > SERVERS as u64 {
            checks.wrong("server", format!("{servers} servers are not from 1 to {SERVERS}"));
        }
        for (i, g) in self.servers.iter().enumerate() {
            g.check(&format!("server.{i}"), &f.zones, checks);
        }
        if self.classes.is_empty() || self.classes.len() > 64 {
            checks.wrong("class", "name 1 to 64 classes".into());
        }
        for (i, c) in self.classes.iter().enumerate() {
            c.check(&format!("class.{i}"), checks);
        }
        for (i, t) in self.tenants.iter().enumerate() {
            checks.within(&format!("tenant.{i}.share"), t.share, 0.0, 1e9);
            checks.within(&format!("tenant.{i}.allowance_per_s"), t.allowance_per_s, 0.0, 1e12);
        }
        self.load.check(checks);
        checks.within("clients.patience", self.clients.patience, 0.01, 1.0);
        checks.within("clients.leave", self.clients.leave, 0.0, 1.0);
        checks.within("clients.tries", f64::from(self.clients.tries), 0.0, 100.0);
        self.network.check(checks);
        self.discovery.delay.check("discovery.delay", checks);
        self.cold.check(checks);
        for (i, fault) in self.faults.iter().enumerate() {
            fault.check(&format!("fault.{i}"), servers as usize, f.proxies as usize, checks);
        }
        for (i, s) in self.sweeps.iter().enumerate() {
            s.check(&format!("sweep.{i}"), checks);
        }
    }

    /// What the decision module of one proxy is told.
    pub fn settings(&self, me: u32) -> module::Settings {
        let f = &self.fleet;
        let zone = (!f.zones.is_empty()).then(|| module::ZoneId(me % f.zones.len() as u32));
        module::Settings {
            proxy_index: me,
            proxies: f.proxies,
            zone,
            classes: self.classes.iter().map(ClassSpec::settings).collect(),
            tenants: self
                .tenants
                .iter()
                .map(|t| module::Tenant { allowance_per_s: t.allowance_per_s })
                .collect(),
            over_share_worth: f.over_share_worth,
            worth_by_work: false,
            discovery: if self.discovery.asked {
                module::Discovery::OnRequest
            } else {
                module::Discovery::Pushed
            },
            rating: match f.rating {
                RatingWord::Size => module::Rating::Size,
                RatingWord::Silent => module::Rating::Silent,
            },
            warm_keys: false,
            messages_allowed: f.may_tell && f.proxies > 1,
            prices: module::Prices { cross_zone: f.crossing_price },
            limits: module::Limits {
                start_capacity: self.cold.start,
                cold_ms: self.cold.warm_ms,
                fall_multiple: self.cold.multiple,
                fall_ms: self.cold.span_ms,
                max_held: f.most_held,
                max_attempts: f.max_attempts,
            },
        }
    }
}

impl Group {
    fn check(&self, at: &str, zones: &[String], checks: &mut Checks) {
        self.build.check(&format!("{at}.build"), checks);
        checks.within(&format!("{at}.spread"), self.spread, 0.0, 0.99);
        checks.within(&format!("{at}.cell"), f64::from(self.cell), 1.0, 1e6);
        if let Some(rating) = self.rating {
            checks.within(&format!("{at}.rating"), rating, 0.0, 1e9);
        }
        if let Some(zone) = self.zone.as_ref().filter(|z| !zones.contains(z)) {
            checks.wrong(&format!("{at}.zone"), format!("'{zone}' is not among fleet.zones"));
        }
    }
}

impl ClassSpec {
    fn check(&self, at: &str, checks: &mut Checks) {
        checks.within(&format!("{at}.aim_ms"), self.aim_ms, 0.001, 1e9);
        checks.within(&format!("{at}.deadline_ms"), self.deadline_ms, self.aim_ms, 1e9);
        checks.within(&format!("{at}.worth"), self.worth, 0.0, 1e9);
        checks.within(&format!("{at}.share"), self.share, 0.0, 1e9);
        checks.within(&format!("{at}.window_ms"), self.window_ms, 0.0, 1e9);
        self.work.check(&format!("{at}.work"), checks);
    }

    fn settings(&self) -> module::Class {
        module::Class {
            aim: self.aim_ms,
            deadline: self.deadline_ms,
            aim_stretch: 0.0,
            worth: self.worth,
            late_worth: 0.0,
            effect: self.module_effect(),
        }
    }

    /// Whether it may run again, in the module's words.
    pub fn module_effect(&self) -> module::Effect {
        match self.effect {
            EffectWord::Safe => module::Effect::Safe,
            EffectWord::Keyed => module::Effect::Keyed { group: module::Group::Cell, window: self.window_ms },
            EffectWord::Unsafe => module::Effect::Unsafe,
        }
    }

    /// The same for the four rules.
    pub fn effect(&self) -> sandgap_rules::Effect {
        match self.effect {
            EffectWord::Safe => sandgap_rules::Effect::Safe,
            EffectWord::Keyed => sandgap_rules::Effect::Keyed((self.window_ms * 1000.0) as u64),
            EffectWord::Unsafe => sandgap_rules::Effect::Unsafe,
        }
    }
}

#[cfg(test)]
mod tests;
