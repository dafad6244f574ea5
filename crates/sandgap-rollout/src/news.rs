//! What a leader tells proxies with their leases, and what they tell it with their questions.

use sandgap_agree::Version;
use serde::{Deserialize, Serialize};

use crate::gate::Ended;
use crate::limits::WATCHED;

/// To a proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// It is out itself: it sends its clients away until this is taken back.
    pub out: bool,
    /// Backends of which it tells what it holds there.
    pub watch: Vec<String>,
    /// Those that vote dial every backend about once a second, and tell which do not answer.
    pub dial: bool,
    /// Those that vote tell what backends are believed to hold.
    pub measure: bool,
    /// Backends that run a release which is judged, under a number that changes with them.
    pub cohort: Option<(u64, Vec<String>)>,
}

/// What a proxy has at a backend that it watches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    /// Its name.
    pub name: String,
    /// Attempts there that have not come to their end, long bodies and answers included.
    pub held: u32,
}

/// From a proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The version that it acted on when it looked: nothing was begun since under an older one.
    pub version: Version,
    /// It sends clients away.
    pub out: bool,
    /// Requests of its clients that lack their answer.
    pub open: u32,
    /// Its attempts at all backends.
    pub held: u32,
    /// See [`Orders::watch`].
    pub sights: Vec<Sight>,
    /// It dials backends; see [`Orders::dial`].
    pub dialled: bool,
    /// Those of this version that did not answer twice in a row, or have not been dialled yet.
    pub missed: Vec<String>,
    /// See [`Orders::measure`]; in thousandths of requests.
    pub holds: Vec<(String, u64)>,
    /// Where it stands.
    pub zone: Option<String>,
    /// Attempts at all backends that have ended.
    pub ended: Ended,
    /// Those of them at the cohort of a number, see [`Orders::cohort`].
    pub cohort: Option<(u64, Ended)>,
}

impl Orders {
    /// The bytes of it.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default() // plain data always encodes
    }

    /// Reads it; what can't be read orders nothing.
    pub fn decode(bytes: &[u8]) -> Orders {
        let mut orders: Orders = postcard::from_bytes(bytes).unwrap_or_default();
        orders.watch.truncate(WATCHED);
        if let Some((_, names)) = &mut orders.cohort {
            names.truncate(WATCHED);
        }
        orders
    }
}

impl News {
    /// The bytes of it.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default() // plain data always encodes
    }

    /// Reads it.
    pub fn decode(bytes: &[u8]) -> Option<News> {
        postcard::from_bytes(bytes).ok()
    }

    /// What it holds at a backend, if it watches that one.
    pub fn held_at(&self, backend: &str) -> Option<u32> {
        self.sights.iter().find(|s| s.name == backend).map(|s| s.held)
    }
}
