//! Conversion of wire lines to events and of actions to wire lines.

use std::collections::HashMap;
use std::fmt::Write as _;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use rustc_hash::FxHashMap;
use wharfhitch::{
    Action, Backend, BackendId, Balancer, CellId, ClassId, Event, Key, KindId, Outcome, RequestId, Scope,
    State, TenantId, ZoneId,
};

use wharfhitch::settings::{self, Names, index_of, number_of};

/// Whether this version handles messages of this name.
pub fn is_known_message(name: &str) -> bool {
    matches!(
        name,
        "UP" | "CRASH_NOW"
            | "TOPOLOGY"
            | "ARRIVAL"
            | "ESTABLISHED"
            | "OUTCOME"
            | "HANGUP"
            | "DEADLINE_HIT"
            | "NOTE_FROM"
    )
}

/// The `name=value` parts of a line.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Splits a line; the text fields `params` and `message` extend to the end of the line.
    pub fn new(rest: &'a str) -> Result<Self, String> {
        let mut fields = Vec::new();
        let mut rest = rest.trim_end_matches(['\r', '\n']);
        while !rest.is_empty() {
            let (part, after) = rest.split_once('\t').unwrap_or((rest, ""));
            if part.is_empty() {
                rest = after;
                continue;
            }
            let (name, value) = part.split_once('=').ok_or_else(|| format!("'{part}' has no '='"))?;
            if name == "params" || name == "message" {
                fields.push((name, &rest[name.len() + 1..]));
                break;
            }
            fields.push((name, value));
            rest = after;
        }
        Ok(Fields(fields))
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    fn text(&self, name: &str) -> Result<&'a str, String> {
        self.get(name).ok_or_else(|| format!("'{name}' is missing"))
    }

    /// A required number.
    pub fn number(&self, name: &str) -> Result<f64, String> {
        self.optional_number(name)?.ok_or_else(|| format!("'{name}' is missing"))
    }

    fn optional_number(&self, name: &str) -> Result<Option<f64>, String> {
        let Some(value) = self.get(name) else { return Ok(None) };
        match value.parse::<f64>() {
            Ok(x) if x.is_finite() => Ok(Some(x)),
            _ => Err(format!("'{name}={value}' is not a finite number")),
        }
    }

    /// A required unsigned integer.
    pub fn whole(&self, name: &str) -> Result<u64, String> {
        self.optional_whole(name)?.ok_or_else(|| format!("'{name}' is missing"))
    }

    /// An optional unsigned integer.
    pub fn optional_whole(&self, name: &str) -> Result<Option<u64>, String> {
        let Some(value) = self.get(name) else { return Ok(None) };
        value.parse().map(Some).map_err(|_| format!("'{name}={value}' is not an unsigned integer"))
    }
}

/// A request's name on the wire, its number of open attempts, and whether it has its final answer.
struct OpenRequest {
    name: String,
    open_attempts: u32,
    done: bool,
}

/// One proxy: its balancer, and the wire names of its numbers.
pub struct Instance {
    balancer: Balancer,
    names: Names,
    backends: FxHashMap<u64, String>,
    ids: HashMap<String, u64, rustc_hash::FxBuildHasher>,
    requests: FxHashMap<u64, OpenRequest>,
    next_id: u64,
    actions: Vec<Action>,
}

fn outcome(reason: &str) -> Outcome {
    match reason {
        "completed" => Outcome::Served,
        "saturated" => Outcome::Full,
        "overdue" => Outcome::TimedOut,
        "refused_conn" => Outcome::ConnectFailed,
        "severed" => Outcome::Reset,
        "recalled" => Outcome::Cancelled,
        "superseded" => Outcome::NotSent,
        _ => Outcome::Error, // an error or an unknown reason: it may have run
    }
}

impl Instance {
    /// Starts a proxy from its `UP` line.
    pub fn new(fields: &Fields) -> Result<Self, String> {
        let seed = fields.optional_whole("randomSeed")?.unwrap_or(0);
        let params = serde_json::from_str(fields.text("params")?).map_err(|e| format!("settings: {e}"))?;
        let (settings, names) = settings::parse(&params);
        Ok(Instance {
            balancer: Balancer::new(settings, seed),
            names,
            backends: FxHashMap::default(),
            ids: HashMap::default(),
            requests: FxHashMap::default(),
            next_id: 0,
            actions: Vec::new(),
        })
    }

    fn backend(&mut self, (line, text): &(usize, String)) -> Result<Backend, String> {
        let at = |e: String| format!("line {line}: {e}");
        let fields = Fields::new(text).map_err(at)?;
        let name = fields.text("backend").map_err(at)?;
        let id = number_of(name);
        self.backends.entry(id).or_insert_with(|| name.to_owned());
        let zone = fields.get("failureDomain").map(|z| ZoneId(index_of(&mut self.names.zones, z) as u32));
        let kind = fields.get("shape").map(|k| KindId(index_of(&mut self.names.kinds, k) as u32));
        Ok(Backend {
            id: BackendId(id),
            zone,
            kind,
            cell: fields.optional_whole("cell").map_err(at)?.map(CellId),
            state: match fields.get("state") {
                Some("up") | None => State::Up,
                Some("removed") => State::Removed,
                Some(_) => State::Draining, // draining or unknown: it gets no new requests
            },
            rating: fields.optional_number("rating").map_err(at)?.unwrap_or(1.0),
            since: fields.optional_number("since").map_err(at)?.filter(|s| *s > 0.0),
        })
    }

    fn request(&self, fields: &Fields) -> Result<Option<RequestId>, String> {
        Ok(self.ids.get(fields.text("rid")?).copied().map(RequestId))
    }

    /// Translates a line; `None` if it concerns a request that this proxy no longer knows, or is of an unknown type.
    pub fn event(
        &mut self, name: &str, fields: &Fields, items: &[(usize, String)],
    ) -> Result<Option<Event>, String> {
        Ok(Some(match name {
            "TOPOLOGY" => Event::List {
                scope: match fields.text("scope")? {
                    "delta" => Scope::Delta,
                    "full" => Scope::Full,
                    "cached" => Scope::Cached,
                    "failed" => Scope::Failed,
                    _ => return Ok(None),
                },
                entries: items.iter().map(|item| self.backend(item)).collect::<Result<_, _>>()?,
            },
            "ARRIVAL" => {
                let name = fields.text("rid")?;
                let class = fields.text("tierClass")?;
                let class = self
                    .names
                    .classes
                    .iter()
                    .position(|c| c == class)
                    .ok_or_else(|| format!("class '{class}' is not in the settings"))?;
                let tenant =
                    fields.get("userGroup").and_then(|t| self.names.tenants.iter().position(|n| n == t));
                let event = Event::Request {
                    id: RequestId(self.next_id),
                    class: ClassId(class),
                    tenant: tenant.map(TenantId),
                    key: fields.optional_whole("nameKey")?.map(Key),
                    budget: fields.number("timeBudget")?,
                    hint: fields.optional_number("predicted")?,
                };
                self.ids.insert(name.to_owned(), self.next_id);
                self.requests.insert(
                    self.next_id,
                    OpenRequest { name: name.to_owned(), open_attempts: 0, done: false },
                );
                self.next_id += 1;
                event
            }
            "ESTABLISHED" => {
                let Some(request) = self.request(fields)? else { return Ok(None) };
                Event::Started { request, attempt: fields.whole("sendNo")? as u32 }
            }
            "OUTCOME" => {
                let Some(request) = self.request(fields)? else { return Ok(None) };
                let closed = fields.get("closed").is_some_and(|c| c != "0");
                if let Some(open) = self.requests.get_mut(&request.0) {
                    open.open_attempts = open.open_attempts.saturating_sub(1);
                    open.done |= closed;
                }
                Event::Ended {
                    request,
                    attempt: fields.whole("sendNo")? as u32,
                    latency: fields.optional_number("latency")?.unwrap_or(0.0),
                    outcome: outcome(fields.text("reason")?),
                    closed,
                }
            }
            "HANGUP" => {
                let Some(request) = self.request(fields)? else { return Ok(None) };
                if let Some(open) = self.requests.get_mut(&request.0) {
                    open.done = true;
                }
                Event::Abandoned(request)
            }
            "DEADLINE_HIT" => Event::Timer(fields.whole("keyBack")?),
            "NOTE_FROM" => {
                let text = fields.text("msg")?;
                let bytes = if text == "-" {
                    Vec::new()
                } else {
                    BASE64.decode(text).map_err(|e| format!("'msg': {e}"))?
                };
                Event::Message { from: fields.whole("who")? as u32, bytes }
            }
            _ => return Ok(None),
        }))
    }

    /// Passes an event to the balancer and writes the resulting actions.
    pub fn handle(&mut self, now: f64, event: Event, i: u64, reply: &mut String) {
        let ended_request = match &event {
            Event::Ended { request, .. } | Event::Abandoned(request) => Some(*request),
            _ => None,
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.write(action, i, reply);
        }
        self.actions = actions;
        if let Some(request) = ended_request {
            self.forget(request);
        }
    }

    fn write(&mut self, action: Action, i: u64, reply: &mut String) {
        // Writing to a String cannot fail.
        let _ = match action {
            Action::Send { request, backend, timeout, .. } => {
                let Some(open) = self.requests.get_mut(&request.0) else { return };
                open.open_attempts += 1;
                let backend = self.backends.get(&backend.0).map_or("-", String::as_str);
                let _ = write!(reply, "SUBMIT_TO\ti={i}\trid={}\tbackend={backend}", open.name);
                match timeout {
                    Some(t) => writeln!(reply, "\tmaxWait={t:.3}"),
                    None => writeln!(reply),
                }
            }
            Action::Refuse { request, retry_after } => {
                let Some(open) = self.requests.get_mut(&request.0) else { return };
                open.done = true;
                let _ = write!(reply, "TURN_AWAY\ti={i}\trid={}", open.name);
                let wrote = match retry_after {
                    Some(t) => writeln!(reply, "\tretryAfter={t:.3}"),
                    None => writeln!(reply),
                };
                self.forget(request);
                wrote
            }
            Action::Fail(request) => {
                let Some(open) = self.requests.get_mut(&request.0) else { return };
                open.done = true;
                let wrote = writeln!(reply, "REPORT_FAILURE\ti={i}\trid={}", open.name);
                self.forget(request);
                wrote
            }
            Action::Timer { token, at } => writeln!(reply, "WAKE_ME\ti={i}\tkeyBack={token}\tdueAt={at:.3}"),
            Action::GiveUpPaused { .. } => Ok(()), // the simulator reports no pauses
            Action::Broadcast(bytes) => {
                let text = if bytes.is_empty() { "-".to_owned() } else { BASE64.encode(bytes) };
                writeln!(reply, "SAY\ti={i}\trecipient=-1\tmsg={text}")
            }
            Action::Subscribe => writeln!(reply, "SUBSCRIBE\ti={i}\tactive=1"),
            Action::FetchList => writeln!(reply, "RELOAD\ti={i}"),
        };
    }

    /// Drops the name of a finished request once all its attempts have ended.
    fn forget(&mut self, request: RequestId) {
        if self.requests.get(&request.0).is_some_and(|k| k.done && k.open_attempts == 0)
            && let Some(open) = self.requests.remove(&request.0)
        {
            self.ids.remove(&open.name);
        }
    }
}
