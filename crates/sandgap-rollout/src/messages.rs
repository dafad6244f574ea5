//! Messages between the leader and proxies: instructions sent with leases, and reports sent with lease requests.

use sandgap_agree::Version;
use serde::{Deserialize, Serialize};

use crate::gate::AttemptCounts;
use crate::limits::MAX_WATCHED;

/// Instructions of the leader to a proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instructions {
    /// The proxy is out: it turns clients away while this is set.
    pub out: bool,
    /// Backends for which the proxy reports its attempts in flight.
    pub watch: Vec<String>,
    /// Voters connect to every backend about once a second and report those that do not answer.
    pub dial: bool,
    /// Voters report the estimated capacity of backends.
    pub measure: bool,
    /// Backends that run the release under test, with an id that changes with the set.
    pub cohort: Option<(u64, Vec<String>)>,
}

/// Attempts of a proxy at a backend that it watches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendAttempts {
    /// Name of the backend.
    pub name: String,
    /// Attempts in flight there, including those still transferring a body or an answer.
    pub held: u32,
}

/// Report of a proxy to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyReport {
    /// Rules version in use when the report was made; no attempt has been started under an older one since.
    pub version: Version,
    /// The proxy turns clients away.
    pub out: bool,
    /// Client requests that are not answered yet.
    pub open: u32,
    /// Attempts in flight at all backends.
    pub held: u32,
    /// Attempts in flight at watched backends; see [`Instructions::watch`].
    pub backend_attempts: Vec<BackendAttempts>,
    /// The proxy connects to backends; see [`Instructions::dial`].
    pub dialled: bool,
    /// Backends of this version that did not answer twice in a row, or have not been dialled yet.
    pub missed: Vec<String>,
    /// Estimated capacity of backends in thousandths of requests; see [`Instructions::measure`].
    pub holds: Vec<(String, u64)>,
    /// Zone of the proxy.
    pub zone: Option<String>,
    /// Ended attempts at all backends.
    pub ended: AttemptCounts,
    /// Ended attempts at the cohort, with its id; see [`Instructions::cohort`].
    pub cohort: Option<(u64, AttemptCounts)>,
}

impl Instructions {
    /// Encodes the message with postcard.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default() // encoding plain data can't fail
    }

    /// Decodes instructions; unreadable bytes give empty instructions.
    pub fn decode(bytes: &[u8]) -> Instructions {
        let mut instructions: Instructions = postcard::from_bytes(bytes).unwrap_or_default();
        instructions.watch.truncate(MAX_WATCHED);
        if let Some((_, names)) = &mut instructions.cohort {
            names.truncate(MAX_WATCHED);
        }
        instructions
    }
}

impl ProxyReport {
    /// Encodes the message with postcard.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default() // encoding plain data can't fail
    }

    /// Decodes a report; `None` if the bytes are unreadable.
    pub fn decode(bytes: &[u8]) -> Option<ProxyReport> {
        postcard::from_bytes(bytes).ok()
    }

    /// Attempts in flight at a backend, if the proxy watches it.
    pub fn held_at(&self, backend: &str) -> Option<u32> {
        self.backend_attempts.iter().find(|s| s.name == backend).map(|s| s.held)
    }
}
