//! A list of backends as discovery sends it, in JSON. Its entries are parsed one by one, so that a long list takes little more
//! memory than its backends.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use rustc_hash::FxHashSet;
use sandgap_driver::list_admission::{ListAdmission, ListedBackends};
use serde::de::{DeserializeSeed, Deserializer, Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;

use crate::diagnostics::{Diagnostics, Event};
use crate::event::Host;
use crate::memory::MemoryGauge;
use crate::note;

/// Least and largest maximum size in bytes of a list, and of the buffer in which it is read; a thousand backends take 130 kB.
const MAX_BYTES: (usize, usize) = (4 << 20, 32 << 20);
/// Between these it is this part of the memory limit.
const MAX_BYTES_DIVISOR: usize = 4;

/// A full list or the changes since a version, as discovery sends it.
#[derive(Debug)]
pub(super) struct List {
    pub(super) seq: u64,
    pub(super) whole: bool,
    pub(super) hosts: Vec<Host>,
    /// Entries that there was no room for.
    pub(super) refused: usize,
}

/// Reads lists of backends, and takes of them what the memory limit has room for.
pub struct ListReader {
    listed: ListedBackends,
    memory: Rc<MemoryGauge>,
    diagnostics: Rc<Diagnostics>,
}

impl ListReader {
    /// Creates a reader for a process that holds no backends yet.
    pub fn new(memory: Rc<MemoryGauge>, diagnostics: Rc<Diagnostics>) -> Rc<Self> {
        Rc::new(ListReader { listed: ListedBackends::default(), memory, diagnostics })
    }

    /// The backends that are on the list.
    pub fn listed(&self) -> &ListedBackends {
        &self.listed
    }

    /// Maximum size of a list in bytes.
    pub(super) fn max_bytes(&self) -> usize {
        (self.memory.limit() / MAX_BYTES_DIVISOR).clamp(MAX_BYTES.0, MAX_BYTES.1)
    }

    /// Parses a list.
    ///
    /// # Errors
    /// The text is not a list in JSON.
    pub(super) fn parse(&self, text: &[u8]) -> serde_json::Result<List> {
        let mut deserializer = serde_json::Deserializer::from_slice(text);
        let list = self.seed().deserialize(&mut deserializer)?;
        deserializer.end()?;
        Ok(list)
    }

    /// Parses the list that the configuration remembers; a malformed one is logged and ignored.
    pub fn parse_remembered(&self, known: &Value) -> Option<Vec<Host>> {
        if known.is_null() {
            return None;
        }
        match self.seed().deserialize(known) {
            Ok(list) => {
                self.report(&list);
                Some(list.hosts)
            }
            Err(e) => {
                note!(warn: "the remembered list can't be used: {e}");
                None
            }
        }
    }

    /// Whether there is room for so many further backends.
    pub(super) fn has_room_for(&self, backends: usize) -> bool {
        self.memory.room_for_backends() >= backends
    }

    /// Logs the entries of a list that there was no room for.
    pub(super) fn report(&self, list: &List) {
        if list.refused == 0 {
            return;
        }
        self.diagnostics.count(Event::List, "refused_backends");
        let total = list.hosts.len() + list.refused;
        note!(
            error: "discovery: the memory limit has no room for {} of {total} backends of version {}, which get no requests: \
            raise memory_mb by {} or more, or list fewer backends",
            list.refused,
            list.seq,
            MemoryGauge::megabytes_for_backends(list.refused)
        );
    }

    fn seed(&self) -> ListSeed {
        ListSeed(ListAdmission::new(&self.listed, self.memory.room_for_backends()))
    }
}

/// Reads a list and admits its entries.
struct ListSeed(ListAdmission);

impl<'de> DeserializeSeed<'de> for ListSeed {
    type Value = List;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<List, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ListSeed {
    type Value = List;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a list of backends")
    }

    fn visit_map<A: MapAccess<'de>>(mut self, mut fields: A) -> Result<List, A::Error> {
        let (mut seq, mut whole, mut hosts) = (None, None, None);
        while let Some(field) = fields.next_key::<String>()? {
            match field.as_str() {
                "seq" => seq = Some(fields.next_value()?),
                "whole" => whole = Some(fields.next_value()?),
                "hosts" => hosts = Some(fields.next_value_seed(EntriesSeed(&mut self.0))?),
                _ => drop(fields.next_value::<IgnoredAny>()?),
            }
        }
        Ok(List {
            seq: seq.ok_or_else(|| A::Error::missing_field("seq"))?,
            whole: whole.ok_or_else(|| A::Error::missing_field("whole"))?,
            hosts: hosts.ok_or_else(|| A::Error::missing_field("hosts"))?,
            refused: self.0.refused(),
        })
    }
}

/// Reads the entries of a list.
struct EntriesSeed<'a>(&'a mut ListAdmission);

impl<'de> DeserializeSeed<'de> for EntriesSeed<'_> {
    type Value = Vec<Host>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Vec<Host>, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EntriesSeed<'_> {
    type Value = Vec<Host>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a sequence of backends")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<Host>, A::Error> {
        let (mut hosts, mut names) = (Vec::new(), SharedNames::default());
        while let Some(entry) = entries.next_element::<Value>()? {
            let Some(name) = entry["host"].as_str() else {
                note!(warn: "discovery: an entry has no name; it is ignored");
                continue;
            };
            if self.0.admits(name) {
                hosts.push(parse_entry(name, &entry, &mut names));
            }
        }
        Ok(hosts)
    }
}

/// The names of zones and kinds in a list, each of which many entries share.
#[derive(Default)]
struct SharedNames(FxHashSet<Arc<str>>);

impl SharedNames {
    fn share(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.0.get(name) {
            return known.clone();
        }
        let name: Arc<str> = name.into();
        self.0.insert(name.clone());
        name
    }
}

/// Parses an entry as far as possible: one malformed entry must not hide the rest of the list.
fn parse_entry(name: &str, entry: &Value, names: &mut SharedNames) -> Host {
    let text = |key: &str| entry[key].as_str();
    let address = text("dial").and_then(|d| d.parse().ok());
    if address.is_none() && entry["health"] != "removed" {
        note!(warn: "discovery: {name} has no address");
    }
    Host {
        host: name.to_owned(),
        address,
        zone: text("site").map(|zone| names.share(zone)),
        kind: text("class").map(|kind| names.share(kind)),
        cell: entry["block"].as_u64(),
        health: Host::health_of(text("health").unwrap_or_default()),
        rating: entry["share"].as_f64(),
        start_time_ms: entry["born_ms"].as_f64().unwrap_or(0.0),
    }
}
