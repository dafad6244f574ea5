//! The encoded size of a rulebook, by the number of backends, tenants and classes in it.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

use sandgap_agree::Rulebook;
use sandgap_agree::rulebook::{Backend, BookError, Class, Effect, Limits, OnLapse, Tenant};
use serde::Serialize;

/// How many entries of each kind a rulebook has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Backends.
    pub backends: usize,
    /// Tenants.
    pub tenants: usize,
    /// Classes; in practice one for each service.
    pub classes: usize,
}

/// The encoded size, in bytes, of a rulebook with names as long as the operators'; also for one that is too large to be
/// published.
///
/// # Errors
/// A rulebook that can't be encoded.
pub fn encoded_size(counts: Counts) -> Result<usize, BookError> {
    match rulebook(counts).encode() {
        Ok(bytes) => Ok(bytes.len()),
        Err(BookError::Large(bytes)) => Ok(bytes),
        Err(e) => Err(e),
    }
}

fn rulebook(counts: Counts) -> Rulebook {
    let limits = Limits {
        max_attempts: 3,
        over_share_worth: 0.2,
        cross_zone: 0.0,
        start_capacity: 0.3,
        warm_ms: 10_000.0,
        fall_multiple: 2.5,
        fall_ms: 1500.0,
    };
    Rulebook {
        classes: (0..counts.classes).map(class).collect(),
        tenants: (0..counts.tenants)
            .map(|n| Tenant { name: format!("tenant-{n:06}"), allowance_per_s: 100.0 })
            .collect(),
        backends: Some((0..counts.backends).map(backend).collect()),
        drained: BTreeSet::new(),
        limits,
    }
    .canonical()
}

fn class(n: usize) -> Class {
    Class {
        name: format!("service-{n:04}"),
        effect: Effect::Safe,
        aim_ms: 200.0,
        deadline_ms: 1000.0,
        worth: 1.0,
        on_lapse: OnLapse::Serve,
    }
}

fn backend(n: usize) -> Backend {
    let address = Ipv4Addr::from(0x0a00_0000 + n as u32);
    Backend {
        name: format!("s-{n:08x}"),
        address: SocketAddr::from((address, 9000)),
        zone: Some(format!("zone-{:02}", n % 22)),
        kind: Some("m2".into()),
        cell: Some(n as u64 / 8),
        share: 4.0,
        draining: false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn encoded_size_grows_with_the_number_of_entries() {
        let of = |backends, tenants| {
            encoded_size(Counts { backends, tenants, classes: 3 }).expect("the rulebook can be encoded")
        };
        let (none, some, many) = (of(0, 0), of(100, 0), of(30_000, 0));
        let each = (some - none) as f64 / 100.0;
        assert!(
            (many - none) as f64 / 30_000.0 < each * 1.1,
            "the size stays linear beyond the largest rulebook that can be published"
        );
        assert!(of(0, 100) > none);
    }
}
