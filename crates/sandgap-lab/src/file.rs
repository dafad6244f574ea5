//! The experiment file: its format, and checks in three stages (syntax, keys and types, values). The first stage that
//! fails reports all problems that it finds.

use std::path::{Path, PathBuf};

use sandgap_problem::{Problem, line_number, suggestion};
use serde::{Deserialize, Serialize};
use toml::de::{DeTable, DeValue};
use toml::{Table, Value};

use crate::defects::Defect;
use crate::limits::{FILE, PROBLEMS, PROXIES, RUNS, SECONDS, SERVERS};
use crate::model::arrivals::Load;
use crate::model::faults::FaultSpec;
use crate::model::laws::Law;
use crate::model::network::Network;
use crate::model::server::{Build, ColdRule};
use crate::rivals::PolicyKind;

/// Why an experiment file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It can't be read.
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// It is larger than [`FILE`] bytes.
    #[error("{0}: {1} bytes are more than {FILE}")]
    Large(PathBuf, u64),
    /// Its contents are invalid; these are the problems found.
    #[error("{}", .1.iter().map(|p| format!("{}: {p}", .0.display())).collect::<Vec<_>>().join("\n"))]
    Wrong(PathBuf, Vec<Problem>),
}

/// Collects invalid values, each with its dotted key.
#[derive(Debug, Default)]
pub struct Checks {
    found: Vec<(String, String)>,
}

impl Checks {
    /// Reports a number that is out of range or NaN.
    pub fn within(&mut self, key: &str, x: f64, least: f64, most: f64) {
        if !(x >= least && x <= most) {
            self.wrong(key, format!("{x} is not from {least} to {most}"));
        }
    }

    /// Reports a problem of a key.
    pub fn wrong(&mut self, key: &str, text: String) {
        self.found.push((key.to_owned(), text));
    }
}

/// An experiment, at one point of its sweeps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// The question that it answers.
    #[serde(default)]
    pub about: String,
    /// The first seed; each repetition takes the next one.
    #[serde(default)]
    pub seed: u64,
    /// Runs per point and policy, each with a seed of its own.
    #[serde(default = "ten")]
    pub repetitions: u32,
    /// Virtual seconds that are measured.
    pub seconds: f64,
    /// Virtual seconds of warm-up before them, which are not measured.
    #[serde(default = "ten_seconds")]
    pub warm_seconds: f64,
    /// The policies to compare.
    #[serde(default = "default_policies")]
    pub policies: Vec<PolicyKind>,
    /// The proxies.
    #[serde(default)]
    pub fleet: Fleet,
    /// Groups of identical servers.
    #[serde(rename = "server")]
    pub servers: Vec<Group>,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSpec>,
    /// Tenants.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<TenantSpec>,
    /// When requests arrive.
    pub load: Load,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// Delays and losses of the network.
    #[serde(default)]
    pub network: Network,
    /// How proxies get the list of servers.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// How cold servers behave.
    #[serde(default)]
    pub cold: ColdRule,
    /// Faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultSpec>,
    /// Whether to add faults of every kind, drawn from the seed, as `hunt` does.
    #[serde(default)]
    pub mixed_faults: bool,
    /// Keys that take several values; points are all their combinations.
    #[serde(default, rename = "sweep")]
    pub sweeps: Vec<Sweep>,
}

fn ten() -> u32 {
    10
}

fn ten_seconds() -> f64 {
    10.0
}

fn default_policies() -> Vec<PolicyKind> {
    vec![PolicyKind::Sandgap]
}

/// The proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Number of proxies.
    pub proxies: u32,
    /// Zones, to which proxies are assigned in turn; empty for a fleet without zones.
    pub zones: Vec<String>,
    /// Whether proxies may send each other messages.
    pub may_tell: bool,
    /// What the ratings in the server list mean.
    pub rating: RatingKind,
    /// Unanswered requests that one proxy may hold.
    pub most_held: usize,
    /// Attempts per request, at most.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight at once.
    pub second_copies: bool,
    /// The cost of a crossing between zones, as a multiple of a mean request's worth.
    pub crossing_price: f64,
    /// The worth of a request beyond its tenant's allowance, as a part of its full worth, 0 to 1.
    pub over_share_worth: f64,
    /// How long the front, the load balancer in front of the proxies, still sends to a proxy that was killed, ms.
    pub front_notices_ms: f64,
    /// A defect that makes the driver break a rule, to show that the checker finds it.
    pub defect: Option<Defect>,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            proxies: 1,
            zones: Vec::new(),
            may_tell: true,
            rating: RatingKind::Size,
            most_held: 1_000_000,
            max_attempts: 6,
            second_copies: false,
            crossing_price: 0.0,
            over_share_worth: 1.0,
            front_notices_ms: 1000.0,
            defect: None,
        }
    }
}

impl Fleet {
    /// Maximum number of attempts that one request may have in flight at once.
    pub fn max_concurrent_attempts(&self) -> u32 {
        if self.second_copies { 2 } else { 1 }
    }
}

/// What ratings mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RatingKind {
    /// A server's size.
    #[default]
    Size,
    /// Nothing: there is no usable rating.
    Silent,
}

/// A group of identical servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Number of servers.
    pub count: u32,
    /// Their kind, as the server list states it.
    #[serde(default)]
    pub kind: Option<String>,
    /// Their zone; servers without one are assigned to all zones in turn.
    #[serde(default)]
    pub zone: Option<String>,
    /// The capacity and limits of each.
    #[serde(default)]
    pub build: Build,
    /// Each server's speed is drawn from the build's speed, plus or minus this part of it.
    #[serde(default)]
    pub spread: f64,
    /// The size of each in the server list; the build's cores times its speed, before `spread`, where it is left out.
    #[serde(default)]
    pub rating: Option<f64>,
    /// Servers per cell; those of a cell drop each other's duplicates.
    #[serde(default = "three")]
    pub cell: u32,
}

fn three() -> u32 {
    3
}

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectKind {
    /// Any number of times.
    Safe,
    /// Only within a cell and for the class's window, where duplicates are dropped.
    Keyed,
    /// At most once.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Whether it may run more than once.
    pub effect: EffectKind,
    /// For a keyed class, how long a cell drops duplicates, ms.
    #[serde(default = "default_window_ms")]
    pub window_ms: f64,
    /// Target response time, ms.
    pub aim_ms: f64,
    /// When the client gives up, ms.
    pub deadline_ms: f64,
    /// The worth of an answer within the aim.
    #[serde(default = "one")]
    pub worth: f64,
    /// Its share of the requests, relative to the other classes' shares.
    #[serde(default = "one")]
    pub share: f64,
    /// Its work, in ms on a standard core.
    pub work: Law,
}

fn default_window_ms() -> f64 {
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
    /// Its share of the requests, relative to the other tenants' shares.
    #[serde(default = "one")]
    pub share: f64,
    /// Requests per second that have their full worth.
    pub allowance_per_s: f64,
}

/// How clients behave.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Whether and how they retry.
    pub retry: Retry,
    /// Retries of a task, at most.
    pub tries: u32,
    /// The smallest part of a class's deadline that a client waits, 0.01 to 1; each task draws from there to 1.
    pub patience: f64,
    /// Part of the tasks whose client may disconnect early, 0 to 1: after a time drawn up to twice its work.
    pub leave: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retry: Retry::Never, tries: 3, patience: 1.0, leave: 0.0 }
    }
}

/// How clients retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Retry {
    /// Not at all.
    Never,
    /// Only after a refusal or if no proxy accepted, after the stated delay (or a default) and some random extra.
    Well,
    /// After any end but an answer or the client's own disconnect, after 1 ms.
    Badly,
}

/// How proxies get the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoverySpec {
    /// Whether discovery sends the list only after a proxy subscribes.
    pub asked: bool,
    /// How long a change takes to reach a proxy.
    pub delay: Law,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec { asked: false, delay: Law::Constant { mean_ms: 50.0 } }
    }
}

/// A key that takes several values, given as a list or a range.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The dotted key; entries of a list are numbered from 0, and `*` is all of them.
    pub key: String,
    /// The values.
    #[serde(default)]
    pub values: Vec<Value>,
    /// The first value of a range.
    #[serde(default)]
    pub from: Option<f64>,
    /// The last value of the range.
    #[serde(default)]
    pub to: Option<f64>,
    /// The number of values in the range.
    #[serde(default)]
    pub steps: Option<u32>,
    /// Whether the values have equal ratios instead of equal differences.
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
            checks.wrong(&format!("{at}.ratio"), "equal ratios need from and to above 0".into());
        }
    }
}

/// A point of an experiment: the values that its sweeps set, and the experiment with them.
#[derive(Clone, Debug)]
pub struct Point {
    /// The key and value of each sweep.
    pub set: Vec<(String, String)>,
    /// The experiment at this point.
    pub experiment: Experiment,
}

/// Reads an experiment file and returns all points, in the order of the sweeps; the last sweep varies fastest.
///
/// # Errors
/// If the file can't be read, or all problems of the first stage that fails: every syntax error, or at most
/// [`PROBLEMS`] invalid keys or values.
pub fn read(path: &Path) -> Result<Vec<Point>, FileError> {
    let unreadable = |e| FileError::Unreadable(path.to_owned(), e);
    let size = std::fs::metadata(path).map_err(unreadable)?.len();
    if size > FILE {
        return Err(FileError::Large(path.to_owned(), size));
    }
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    parse(&text).map_err(|problems| FileError::Wrong(path.to_owned(), problems))
}

/// Parses the text of an experiment file; see [`read`].
///
/// # Errors
/// All problems of the first stage that fails: every syntax error, or at most [`PROBLEMS`] invalid keys or values.
pub fn parse(text: &str) -> Result<Vec<Point>, Vec<Problem>> {
    let (spanned, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        let problem = |e: &toml::de::Error| Problem {
            line: e.span().map_or(0, |s| line_number(text, s.start)),
            text: e.message().to_owned(),
        };
        return Err(errors.iter().map(problem).collect());
    }
    let table: Table = text.parse().map_err(|e: toml::de::Error| {
        vec![Problem {
            line: e.span().map_or(0, |s| line_number(text, s.start)),
            text: e.message().to_owned(),
        }]
    })?;
    let problem =
        |key: &str, what: String| Problem { line: line_of_key(text, spanned.get_ref(), key), text: what };
    let base = deserialize(table.clone())
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
            if let Err(what) = set_key(&mut at, key, value) {
                problems.push(problem("sweep", format!("sweep over '{key}': {what}")));
            }
        }
        let Value::Table(at) = at else { break };
        let found = match deserialize(at) {
            Ok(experiment) => {
                let mut checks = Checks::default();
                experiment.check(&mut checks);
                let set = set.iter().map(|(k, v)| (k.clone(), value_text(v))).collect();
                points.push(Point { set, experiment });
                checks.found
            }
            Err(found) => found,
        };
        problems.extend(found.into_iter().map(|(key, what)| {
            let about =
                if set.is_empty() { String::new() } else { format!(" (with {})", settings_text(&set)) };
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

/// A value as text, strings without quotes.
fn value_text(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

fn settings_text(set: &[(String, Value)]) -> String {
    set.iter().map(|(k, v)| format!("{k} = {}", value_text(v))).collect::<Vec<_>>().join(", ")
}

/// Deserializes an experiment. On failure it returns the keys that are unknown, missing or of a wrong type: it removes
/// each bad key and tries again, until a key can't be removed (such as a missing one) or [`PROBLEMS`] are found.
fn deserialize(table: Table) -> Result<Experiment, Vec<(String, String)>> {
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
                // A key that is missing because it was removed as wrong is not reported twice.
                let known = missing.is_some_and(|m| {
                    let full = if key.is_empty() { m.to_owned() } else { format!("{key}.{m}") };
                    found.iter().any(|(k, _)| *k == full || k.starts_with(&format!("{full}.")))
                });
                if !known {
                    found.push((key.clone(), with_suggestion(&message)));
                }
                if found.len() >= PROBLEMS || !remove_key(&mut at, &key) {
                    return Err(found);
                }
            }
        }
    }
}

/// A deserializer's message; a list of expected names is replaced by the nearest of them, if one is near.
fn with_suggestion(message: &str) -> String {
    let first = message.lines().next().unwrap_or(message);
    let Some((what, expected)) = first.split_once(", expected ") else { return first.to_owned() };
    let Some(given) = what.split('`').nth(1) else { return first.to_owned() };
    let names = expected.split('`').skip(1).step_by(2);
    match suggestion(given, names) {
        meant if meant.is_empty() => first.to_owned(),
        meant => format!("{what}{meant}"),
    }
}

/// The parts of a dotted key; `a[0].b` is the same as `a.0.b`.
fn key_parts(key: &str) -> Vec<String> {
    key.replace('[', ".").replace(']', "").split('.').filter(|p| !p.is_empty()).map(str::to_owned).collect()
}

/// Removes a key of a table, or overwrites an entry of a list with another one; returns whether anything changed.
fn remove_key(at: &mut Value, key: &str) -> bool {
    let parts = key_parts(key);
    let Some((last, path)) = parts.split_last() else { return false };
    let mut here = at;
    for part in path {
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
                // Another entry replaces it, so that the numbers of the entries after it stay right.
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

/// Sets a key; `*` is all entries of a list.
fn set_key(at: &mut Value, key: &str, value: &Value) -> Result<(), String> {
    fn descend(at: &mut Value, path: &[String], value: &Value) -> Result<(), String> {
        let [part, rest @ ..] = path else {
            *at = match (&*at, value) {
                // A range gives floats; one without a fraction replaces an integer as an integer.
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
                descend(next, rest, value)
            }
            Value::Array(a) if part == "*" => a.iter_mut().try_for_each(|e| descend(e, rest, value)),
            Value::Array(a) => {
                let count = a.len();
                let entry = part.parse::<usize>().ok().and_then(|i| a.get_mut(i));
                descend(entry.ok_or(format!("there is no entry {part} among {count}"))?, rest, value)
            }
            _ => Err(format!("'{part}' is below a value that is neither a table nor a list")),
        }
    }
    if key.starts_with("sweep") {
        return Err("a sweep can't change a sweep".into());
    }
    descend(at, &key_parts(key), value)
}

/// All combinations of the sweeps' values; the last sweep varies fastest.
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

/// The line of a dotted key, or of its nearest parent that is in the file.
fn line_of_key(text: &str, table: &DeTable, key: &str) -> usize {
    fn descend(text: &str, at: &DeValue, path: &[String], found: usize) -> usize {
        let [part, rest @ ..] = path else { return found };
        match at {
            DeValue::Table(t) => match t.iter().find(|(k, _)| k.get_ref() == part) {
                Some((k, v)) => descend(text, v.get_ref(), rest, line_number(text, k.span().start)),
                None => found,
            },
            DeValue::Array(a) => match part.parse::<usize>().ok().and_then(|i| a.get(i)) {
                Some(v) => descend(text, v.get_ref(), rest, line_number(text, v.span().start)),
                None => found,
            },
            _ => found,
        }
    }
    descend(text, &DeValue::Table(table.clone()), &key_parts(key), 0)
}

impl Experiment {
    /// Reports values that are out of range or contradict each other, which types alone can't rule out.
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
            checks.wrong("policies", "name at least one policy".into());
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

    /// The settings of the decision library at proxy number `me`.
    pub fn settings(&self, me: u32) -> wharfhitch::Settings {
        let f = &self.fleet;
        let zone = (!f.zones.is_empty()).then(|| wharfhitch::ZoneId(me % f.zones.len() as u32));
        wharfhitch::Settings {
            proxy_index: me,
            proxies: f.proxies,
            zone,
            classes: self.classes.iter().map(ClassSpec::settings).collect(),
            tenants: self
                .tenants
                .iter()
                .map(|t| wharfhitch::Tenant { allowance_per_s: t.allowance_per_s })
                .collect(),
            over_share_worth: f.over_share_worth,
            worth_by_work: false,
            discovery: if self.discovery.asked {
                wharfhitch::Discovery::OnRequest
            } else {
                wharfhitch::Discovery::Pushed
            },
            rating: match f.rating {
                RatingKind::Size => wharfhitch::Rating::Size,
                RatingKind::Silent => wharfhitch::Rating::Silent,
            },
            warm_keys: false,
            messages_allowed: f.may_tell && f.proxies > 1,
            prices: wharfhitch::Prices { cross_zone: f.crossing_price },
            limits: wharfhitch::Limits {
                start_capacity: self.cold.start,
                cold_ms: self.cold.warm_ms,
                fall_multiple: self.cold.multiple,
                fall_ms: self.cold.span_ms,
                max_held: f.most_held,
                max_attempts: f.max_attempts,
                second_copies: f.second_copies,
                may_cancel: true,
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

    fn settings(&self) -> wharfhitch::Class {
        wharfhitch::Class {
            aim: self.aim_ms,
            deadline: self.deadline_ms,
            aim_stretch: 0.0,
            worth: self.worth,
            late_worth: 0.0,
            effect: self.library_effect(),
        }
    }

    /// The effect as the decision library's type.
    pub fn library_effect(&self) -> wharfhitch::Effect {
        match self.effect {
            EffectKind::Safe => wharfhitch::Effect::Safe,
            EffectKind::Keyed => {
                wharfhitch::Effect::Keyed { group: wharfhitch::Group::Cell, window: self.window_ms }
            }
            EffectKind::Unsafe => wharfhitch::Effect::Unsafe,
        }
    }

    /// The effect as the rule checker's type.
    pub fn effect(&self) -> sandgap_rules::Effect {
        match self.effect {
            EffectKind::Safe => sandgap_rules::Effect::Safe,
            EffectKind::Keyed => sandgap_rules::Effect::Keyed((self.window_ms * 1000.0) as u64),
            EffectKind::Unsafe => sandgap_rules::Effect::Unsafe,
        }
    }
}

#[cfg(test)]
mod tests;
