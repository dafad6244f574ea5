//! What can be out: proxies and backends, by name, with the labels by which bounds count them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Which kind of process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// One of the fleet's own.
    Proxy,
    /// One that requests are sent to.
    Backend,
}

/// A proxy or a backend.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Which kind of process.
    pub side: Side,
    /// Its name.
    pub name: String,
}

impl Target {
    /// A proxy.
    pub fn proxy(name: &str) -> Self {
        Target { side: Side::Proxy, name: name.to_owned() }
    }

    /// A backend.
    pub fn backend(name: &str) -> Self {
        Target { side: Side::Backend, name: name.to_owned() }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.side {
            Side::Proxy => write!(f, "proxy:{}", self.name),
            Side::Backend => write!(f, "{}", self.name),
        }
    }
}

impl FromStr for Target {
    type Err = std::convert::Infallible;

    /// `proxy:NAME` or a backend's name.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(text.strip_prefix("proxy:").map_or_else(|| Target::backend(text), Target::proxy))
    }
}

/// By what bounds count.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Labels {
    /// Its zone.
    pub zone: Option<String>,
    /// Its cell.
    pub cell: Option<u64>,
    /// Its kind of machine.
    pub kind: Option<String>,
}
