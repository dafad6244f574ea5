//! What a rulebook takes on the wire, by the numbers of what it names.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

use sandgap_agree::Rulebook;
use sandgap_agree::rulebook::{Backend, BookError, Class, Effect, Limits, OnLapse, Tenant};
use serde::Serialize;

/// Numbers of what a rulebook names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Numbers {
    /// Backends.
    pub backends: usize,
    /// Tenants.
    pub tenants: usize,
    /// Classes: services, in effect.
    pub classes: usize,
}

/// Bytes of a rulebook with names as long as the operators', also where it is too large to be published.
///
/// # Errors
/// Where it can't be encoded.
pub fn bytes(numbers: Numbers) -> Result<usize, BookError> {
    match book(numbers).encode() {
        Ok(bytes) => Ok(bytes.len()),
        Err(BookError::Large(bytes)) => Ok(bytes),
        Err(e) => Err(e),
    }
}

fn book(numbers: Numbers) -> Rulebook {
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
        classes: (0..numbers.classes).map(class).collect(),
        tenants: (0..numbers.tenants)
            .map(|n| Tenant { name: format!("tenant-{n:06}"), allowance_per_s: 100.0 })
            .collect(),
        backends: Some((0..numbers.backends).map(backend).collect()),
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
    fn what_a_book_takes_grows_by_what_it_names() {
        let of = |backends, tenants| bytes(Numbers { backends, tenants, classes: 3 }).expect("plain data");
        let (none, some, many) = (of(0, 0), of(100, 0), of(30_000, 0));
        let each = (some - none) as f64 / 100.0;
        assert!((many - none) as f64 / 30_000.0 < each * 1.1, "also beyond what can be published");
        assert!(of(0, 100) > none);
    }
}
