//! Targets: proxies and backends that can be taken out, by name, with the labels that define the scopes of bounds.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Kind of process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TargetKind {
    /// A proxy of the fleet.
    Proxy,
    /// A backend that proxies send requests to.
    Backend,
}

/// A proxy or a backend.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Kind of process.
    pub kind: TargetKind,
    /// Name of the process.
    pub name: String,
}

impl Target {
    /// Creates a proxy target.
    pub fn proxy(name: &str) -> Self {
        Target { kind: TargetKind::Proxy, name: name.to_owned() }
    }

    /// Creates a backend target.
    pub fn backend(name: &str) -> Self {
        Target { kind: TargetKind::Backend, name: name.to_owned() }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.kind {
            TargetKind::Proxy => write!(f, "proxy:{}", self.name),
            TargetKind::Backend => write!(f, "{}", self.name),
        }
    }
}

impl FromStr for Target {
    type Err = std::convert::Infallible;

    /// Parses `proxy:NAME` or a backend's name.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(text.strip_prefix("proxy:").map_or_else(|| Target::backend(text), Target::proxy))
    }
}

/// Labels that define the scopes of bounds.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Labels {
    /// Zone of the target.
    pub zone: Option<String>,
    /// Cell of the target.
    pub cell: Option<u64>,
    /// Kind of machine it runs on.
    pub kind: Option<String>,
}
