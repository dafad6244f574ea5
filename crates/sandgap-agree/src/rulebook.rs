//! A rulebook: everything on which two proxies could contradict each other, in one immutable piece.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::limits::BOOK;

/// The number of a version, given by the log in the order in which versions were put forward; 0 is none.
pub type Version = u64;

/// The name of a rulebook's content: BLAKE3 of its canonical bytes.
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

/// Which backends drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    /// Every one.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// It may.
    Safe,
    /// Within a group and a span.
    Keyed {
        /// Who drops repeats.
        group: Group,
        /// For how long, ms.
        window_ms: f64,
    },
    /// Never.
    Unsafe,
}

/// What a proxy without a lease does with requests of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnLapse {
    /// They are refused at once: nobody knows whether the rules still hold.
    Refuse,
    /// They are served by the rules known last, however old. Two proxies may then contradict each other for longer
    /// than T.
    Serve,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The first part of the path.
    pub name: String,
    /// Whether it may run again.
    pub effect: Effect,
    /// Wanted time, ms.
    pub aim_ms: f64,
    /// Longest wait of a client, ms.
    pub deadline_ms: f64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// Without a lease.
    pub on_lapse: OnLapse,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second over all proxies that count in full.
    pub allowance_per_s: f64,
}

/// A backend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Option<String>,
    /// Its kind of machine.
    pub kind: Option<String>,
    /// Its cell.
    pub cell: Option<u64>,
    /// Its size, about.
    pub share: f64,
    /// Whether it finishes what it holds and takes nothing new.
    pub draining: bool,
}

/// Bounds that all proxies keep.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: u32,
    /// Worth of a request beyond its tenant's allowance, as a part.
    pub over_share_worth: f64,
    /// The price of an attempt that crosses zones.
    pub cross_zone: f64,
    /// Part of its capacity that a fresh backend has at least.
    pub start_capacity: f64,
    /// It has all of it after this, ms.
    pub warm_ms: f64,
    /// Sent more than this multiple of what it can do...
    pub fall_multiple: f64,
    /// ...for this long, it falls over, ms.
    pub fall_ms: f64,
}

/// The whole of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rulebook {
    /// Classes, by name.
    pub classes: Vec<Class>,
    /// Tenants, by name.
    pub tenants: Vec<Tenant>,
    /// Backends, by name; `None` where a discovery service lists them.
    pub backends: Option<Vec<Backend>>,
    /// Backends that are drained by hand, whatever a list says of them.
    pub drained: BTreeSet<String>,
    /// Bounds.
    pub limits: Limits,
}

/// What is wrong with a rulebook's bytes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BookError {
    /// Too large.
    #[error("a rulebook of {0} bytes; {BOOK} at most: fewer backends, or shorter names")]
    Large(usize),
    /// Not a rulebook of this version of the program.
    #[error(
        "these bytes are no rulebook of this version of sandgap: publish from a proxy of the fleet's version"
    )]
    Unknown,
}

impl Rulebook {
    /// Puts everything in its canonical order: two books of the same content have the same bytes.
    #[must_use]
    pub fn canonical(mut self) -> Self {
        self.classes.sort_by(|a, b| a.name.cmp(&b.name));
        self.tenants.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(backends) = &mut self.backends {
            backends.sort_by(|a, b| a.name.cmp(&b.name));
        }
        self
    }

    /// Its bytes.
    ///
    /// # Errors
    /// Where there are too many.
    pub fn encode(&self) -> Result<Vec<u8>, BookError> {
        let bytes = postcard::to_stdvec(self).map_err(|_| BookError::Unknown)?;
        if bytes.len() > BOOK { Err(BookError::Large(bytes.len())) } else { Ok(bytes) }
    }

    /// Reads its bytes.
    ///
    /// # Errors
    /// Where they are none, or too many.
    pub fn decode(bytes: &[u8]) -> Result<Self, BookError> {
        if bytes.len() > BOOK {
            return Err(BookError::Large(bytes.len()));
        }
        match postcard::take_from_bytes(bytes) {
            Ok((book, [])) => Ok(book),
            _ => Err(BookError::Unknown),
        }
    }

    /// The class of a name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|c| c.name == name)
    }
}

/// The name of a rulebook's bytes.
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
    fn the_same_content_in_another_order_has_the_same_name() {
        let mut other = example();
        other.classes.reverse();
        other.backends.as_mut().expect("listed").reverse();
        let name = |book: Rulebook| digest(&book.canonical().encode().expect("small"));
        assert_eq!(name(other.clone()), name(example()));
        other.limits.max_attempts = 4;
        assert_ne!(name(other), name(example()));
    }

    #[test]
    fn bytes_come_back_whole_or_not_at_all() {
        let bytes = example().encode().expect("small");
        assert_eq!(Rulebook::decode(&bytes), Ok(example()));
        for cut in 0..bytes.len() {
            assert!(Rulebook::decode(&bytes[..cut]).is_err(), "{cut}");
        }
        assert_eq!(Rulebook::decode(&[&bytes[..], &[0]].concat()), Err(BookError::Unknown));
        assert_eq!(Rulebook::decode(&vec![0; BOOK + 1]), Err(BookError::Large(BOOK + 1)));
    }
}
