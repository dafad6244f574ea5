//! Request identities, and which proxies keep a request's record.

use std::collections::BTreeMap;

use sandgap_agree::lives::{Enrolled, ProcessId, rendezvous_weight};
use serde::{Deserialize, Serialize};

/// Identifies a request: a hash of tenant, class and key (the Idempotency-Key, else the request's id). Two requests
/// with the same identity are duplicates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity([u8; 16]);

/// A hash of a request's content. A request with a known identity and a different content is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Content([u8; 16]);

fn hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // Each part is prefixed with its length, so that different lists of parts never give the same input.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().as_bytes()[..16].try_into().expect("a hash of 32 bytes has a prefix of 16")
}

impl Identity {
    /// Computes the identity of a request.
    pub fn of(tenant: Option<&str>, class: &str, key: &str) -> Self {
        let (has_tenant, tenant): (&[u8], _) = match tenant {
            Some(tenant) => (b"1", tenant),
            None => (b"0", ""),
        };
        Identity(hash([has_tenant, tenant.as_bytes(), class.as_bytes(), key.as_bytes()]))
    }

    /// Sorts processes by their rendezvous-hashing rank for this identity, highest first.
    pub(crate) fn rank<'a>(&self, lives: impl Iterator<Item = &'a ProcessId>) -> Vec<ProcessId> {
        let mut all: Vec<(u64, ProcessId)> =
            lives.map(|life| (rendezvous_weight(&self.0, *life), *life)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().map(|(_, life)| life).collect()
    }
}

impl Content {
    /// Computes the content hash of a request.
    pub fn of(method: &str, target: &str, body: &[u8]) -> Self {
        Content(hash([method.as_bytes(), target.as_bytes(), body]))
    }
}

/// The keepers of an identity. The first one decides which process owns the identity. All proxies that have the same
/// list of enrolled processes compute the same first keeper, independent of the owner; `count` of the keepers are
/// processes other than the owner.
///
/// After the first keeper, processes in a different zone come before those in the first keeper's zone.
pub fn keepers(
    identity: Identity, member_list: &BTreeMap<ProcessId, Enrolled>, owner: ProcessId, count: usize,
) -> Vec<ProcessId> {
    let ranked = identity.rank(member_list.keys());
    let Some(first) = ranked.first().copied() else { return Vec::new() };
    let zone = |life: ProcessId| member_list.get(&life).and_then(|e| e.zone.as_deref());
    let (other_zones, same_zone): (Vec<ProcessId>, Vec<ProcessId>) = ranked
        .into_iter()
        .filter(|life| *life != first)
        .partition(|life| zone(first).is_some() && zone(*life) != zone(first));
    let mut all = vec![first];
    for life in other_zones.into_iter().chain(same_zone) {
        if all.iter().filter(|keeper| **keeper != owner).count() >= count {
            break;
        }
        all.push(life);
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member_list(lives: &[(ProcessId, &str)]) -> BTreeMap<ProcessId, Enrolled> {
        let entry = |(life, zone): &(ProcessId, &str)| {
            let enrolled =
                Enrolled { process_token: *life, name: format!("p{life}"), zone: Some((*zone).to_owned()) };
            (*life, enrolled)
        };
        lives.iter().map(entry).collect()
    }

    #[test]
    fn different_parts_give_different_hashes() {
        assert_ne!(Identity::of(None, "ab", "c"), Identity::of(None, "a", "bc"));
        assert_ne!(Identity::of(Some(""), "a", "b"), Identity::of(None, "a", "b"));
        assert_ne!(Content::of("GET", "/a", b"b"), Content::of("GET", "/ab", b""));
    }

    #[test]
    fn first_keeper_is_the_same_for_each_owner_and_enough_keepers_are_other_processes() {
        let member_list = member_list(&[(1, "a"), (2, "a"), (3, "b"), (4, "b"), (5, "b")]);
        for n in 0..200 {
            let identity = Identity::of(None, "book", &n.to_string());
            let sets: Vec<Vec<ProcessId>> =
                (1..6).map(|owner| keepers(identity, &member_list, owner, 2)).collect();
            for (set, owner) in sets.iter().zip(1..) {
                assert_eq!(set[0], sets[0][0]);
                assert_eq!(set.iter().filter(|life| **life != owner).count(), 2);
            }
            let zone = |life: &ProcessId| member_list[life].zone.clone();
            assert_ne!(zone(&sets[0][0]), zone(&sets[0][1]), "the second keeper is in another zone");
        }
    }

    #[test]
    fn leaving_process_moves_only_its_own_identities() {
        let before = member_list(&[(1, "a"), (2, "a"), (3, "a"), (4, "a")]);
        let mut after = before.clone();
        after.remove(&3);
        let first =
            |n: u32, member_list| keepers(Identity::of(None, "book", &n.to_string()), member_list, 0, 1)[0];
        let moved = (0..1000).filter(|n| first(*n, &before) != first(*n, &after)).count();
        assert!((180..320).contains(&moved), "{moved}");
        assert!((0..1000).all(|n| first(n, &before) == first(n, &after) || first(n, &before) == 3));
    }

    #[test]
    fn single_process_is_its_own_only_keeper() {
        let alone = member_list(&[(1, "a")]);
        assert_eq!(keepers(Identity::default(), &alone, 1, 2), [1]);
        assert!(keepers(Identity::default(), &BTreeMap::new(), 1, 2).is_empty());
    }
}
