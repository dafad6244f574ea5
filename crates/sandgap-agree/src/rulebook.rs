//! A rulebook: all rules on which two proxies could contradict each other, as one immutable value. It is encoded with
//! postcard: the order and the types of fields and variants are the stored format.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::limits::MAX_RULEBOOK_BYTES;

/// The number of a version, assigned by the log in the order of proposals; 0 is none.
pub type Version = u64;

/// The BLAKE3 hash of a rulebook's canonical bytes.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0[..6].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Which backends drop repeats of a keyed request: the scope of its deduplication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    /// All backends.
    All,
    /// The backends of a zone.
    Zone,
    /// The backends of a cell.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// It may.
    Safe,
    /// It may, within a group and a dedup window.
    Keyed {
        /// The backends that drop repeats.
        group: Group,
        /// The dedup window, in ms.
        window_ms: f64,
    },
    /// It must not.
    Unsafe,
}

/// What a proxy does with requests of a class while it holds no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnLapse {
    /// Refuses them at once, as the rules may no longer be in force.
    Refuse,
    /// Serves them by the last known rules, however old. Two proxies may then contradict each other for longer than
    /// T.
    Serve,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The first segment of the path.
    pub name: String,
    /// Whether its requests may run more than once.
    pub effect: Effect,
    /// Target response time, in ms.
    pub aim_ms: f64,
    /// Longest time that a client waits, in ms.
    pub deadline_ms: f64,
    /// The value of an answer in time.
    pub worth: f64,
    /// What to do while the proxy holds no lease.
    pub on_lapse: OnLapse,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests per second over all proxies that have their full worth.
    pub allowance_per_s: f64,
}

/// A backend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Option<String>,
    /// Its kind of machine.
    pub kind: Option<String>,
    /// Its cell.
    pub cell: Option<u64>,
    /// Its approximate size.
    pub share: f64,
    /// Whether it finishes the requests that it holds and gets no new ones.
    pub draining: bool,
}

/// Bounds that all proxies respect.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Worth of a request beyond its tenant's allowance, as a fraction of its full worth.
    pub over_share_worth: f64,
    /// The price of an attempt that crosses zones.
    pub cross_zone: f64,
    /// The least fraction of its capacity that a freshly started backend has.
    pub start_capacity: f64,
    /// The time until a freshly started backend has its full capacity, in ms.
    pub warm_ms: f64,
    /// A backend fails if it gets more than this multiple of its capacity for [`Limits::fall_ms`].
    pub fall_multiple: f64,
    /// How long a backend withstands that overload, in ms.
    pub fall_ms: f64,
}

/// A rulebook.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rulebook {
    /// Classes, sorted by name in the canonical form.
    pub classes: Vec<Class>,
    /// Tenants, sorted by name in the canonical form.
    pub tenants: Vec<Tenant>,
    /// Backends, sorted by name in the canonical form; `None` if a discovery service lists them.
    pub backends: Option<Vec<Backend>>,
    /// Names of backends that are drained by hand, whatever state a list gives them.
    pub drained: BTreeSet<String>,
    /// Bounds.
    pub limits: Limits,
}

/// Why a rulebook can't be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BookError {
    /// It is too large.
    #[error(
        "the rulebook has {0} bytes, more than the limit of {MAX_RULEBOOK_BYTES}: use fewer backends or shorter names"
    )]
    Large(usize),
    /// The bytes are not a rulebook of this version of the program.
    #[error(
        "the bytes are not a rulebook of this version of sandgap: publish from a proxy that runs the fleet's version"
    )]
    Unknown,
}

impl Rulebook {
    /// Sorts classes, tenants and backends by name, so that rulebooks of the same content have the same bytes.
    #[must_use]
    pub fn canonical(mut self) -> Self {
        self.classes.sort_by(|a, b| a.name.cmp(&b.name));
        self.tenants.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(backends) = &mut self.backends {
            backends.sort_by(|a, b| a.name.cmp(&b.name));
        }
        self
    }

    /// Encodes the rulebook.
    ///
    /// # Errors
    /// If it has more than [`MAX_RULEBOOK_BYTES`] bytes.
    pub fn encode(&self) -> Result<Vec<u8>, BookError> {
        let bytes = postcard::to_stdvec(self).map_err(|_| BookError::Unknown)?;
        if bytes.len() > MAX_RULEBOOK_BYTES { Err(BookError::Large(bytes.len())) } else { Ok(bytes) }
    }

    /// Decodes a rulebook.
    ///
    /// # Errors
    /// If the bytes are not a rulebook, or more than [`MAX_RULEBOOK_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Self, BookError> {
        if bytes.len() > MAX_RULEBOOK_BYTES {
            return Err(BookError::Large(bytes.len()));
        }
        match postcard::take_from_bytes(bytes) {
            Ok((book, [])) => Ok(book),
            _ => Err(BookError::Unknown),
        }
    }

    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|c| c.name == name)
    }
}

/// The digest of a rulebook's bytes.
pub fn digest(bytes: &[u8]) -> Digest {
    Digest(*blake3::hash(bytes).as_bytes())
}

#[cfg(test)]
pub(crate) fn example() -> Rulebook {
    let class = |name: &str, effect, on_lapse| Class {
        name: name.into(),
        effect,
        aim_ms: 500.0,
        deadline_ms: 1000.0,
        worth: 1.0,
        on_lapse,
    };
    let backend = |n: u16| Backend {
        name: format!("b{n}"),
        address: ([127, 0, 0, 1], 9000 + n).into(),
        zone: Some("a".into()),
        kind: None,
        cell: Some(1),
        share: 4.0,
        draining: false,
    };
    let keyed = Effect::Keyed { group: Group::Cell, window_ms: 2500.0 };
    Rulebook {
        classes: vec![
            class("book", keyed, OnLapse::Refuse),
            class("page", Effect::Safe, OnLapse::Serve),
            class("submit", Effect::Unsafe, OnLapse::Refuse),
        ],
        tenants: vec![Tenant { name: "north".into(), allowance_per_s: 100.0 }],
        backends: Some(vec![backend(1), backend(2)]),
        drained: BTreeSet::new(),
        limits: Limits {
            max_attempts: 3,
            over_share_worth: 0.2,
            cross_zone: 0.0,
            start_capacity: 0.3,
            warm_ms: 10_000.0,
            fall_multiple: 2.5,
            fall_ms: 1500.0,
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn digest_does_not_depend_on_order() {
        let mut other = example();
        other.classes.reverse();
        other.backends.as_mut().expect("listed").reverse();
        let canonical_digest = |book: Rulebook| digest(&book.canonical().encode().expect("small"));
        assert_eq!(canonical_digest(other.clone()), canonical_digest(example()));
        other.limits.max_attempts = 4;
        assert_ne!(canonical_digest(other), canonical_digest(example()));
    }

    #[test]
    fn decoding_needs_the_exact_bytes() {
        let bytes = example().encode().expect("small");
        assert_eq!(Rulebook::decode(&bytes), Ok(example()));
        for length in 0..bytes.len() {
            assert!(Rulebook::decode(&bytes[..length]).is_err(), "{length}");
        }
        assert_eq!(Rulebook::decode(&[&bytes[..], &[0]].concat()), Err(BookError::Unknown));
        assert_eq!(
            Rulebook::decode(&vec![0; MAX_RULEBOOK_BYTES + 1]),
            Err(BookError::Large(MAX_RULEBOOK_BYTES + 1))
        );
    }
}
