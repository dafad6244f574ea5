//! Which request it is, and who keeps it.

use std::collections::BTreeMap;

use sandgap_agree::lives::{Enrolled, Life, weight};
use serde::{Deserialize, Serialize};

/// What makes two requests the same wish: tenant, class and key (the Idempotency-Key, else the request's id).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity([u8; 16]);

/// What is asked under an identity: another content under the same identity is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Content([u8; 16]);

fn hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // With its length, so that no two lists of parts run into each other.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().as_bytes()[..16].try_into().expect("sixteen of thirty-two")
}

impl Identity {
    /// The identity of a request.
    pub fn of(tenant: Option<&str>, class: &str, key: &str) -> Self {
        let (some, tenant): (&[u8], _) = match tenant {
            Some(tenant) => (b"1", tenant),
            None => (b"0", ""),
        };
        Identity(hash([some, tenant.as_bytes(), class.as_bytes(), key.as_bytes()]))
    }

    /// All of these by how they rank for it, the first first.
    pub(crate) fn rank<'a>(&self, lives: impl Iterator<Item = &'a Life>) -> Vec<Life> {
        let mut all: Vec<(u64, Life)> = lives.map(|life| (weight(&self.0, *life), *life)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().map(|(_, life)| life).collect()
    }
}

impl Content {
    /// The content of a request.
    pub fn of(method: &str, target: &str, body: &[u8]) -> Self {
        Content(hash([method.as_bytes(), target.as_bytes(), body]))
    }
}

/// Who is asked about an identity, and who keeps it: the first of them decides whose it is. All proxies with the same
/// list of who is enrolled name the same, whoever owns the request; `count` of them are others than its owner.
///
/// After the first, those of another zone than the first's come before those of its own.
pub fn keepers(identity: Identity, roll: &BTreeMap<Life, Enrolled>, owner: Life, count: usize) -> Vec<Life> {
    let ranked = identity.rank(roll.keys());
    let Some(first) = ranked.first().copied() else { return Vec::new() };
    let zone = |life: Life| roll.get(&life).and_then(|e| e.zone.as_deref());
    let (away, near): (Vec<Life>, Vec<Life>) = ranked
        .into_iter()
        .filter(|life| *life != first)
        .partition(|life| zone(first).is_some() && zone(*life) != zone(first));
    let mut all = vec![first];
    for life in away.into_iter().chain(near) {
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

    fn roll(lives: &[(Life, &str)]) -> BTreeMap<Life, Enrolled> {
        let one = |(life, zone): &(Life, &str)| {
            let who = Enrolled { draw: *life, name: format!("p{life}"), zone: Some((*zone).to_owned()) };
            (*life, who)
        };
        lives.iter().map(one).collect()
    }

    #[test]
    fn parts_do_not_run_into_each_other() {
        assert_ne!(Identity::of(None, "ab", "c"), Identity::of(None, "a", "bc"));
        assert_ne!(Identity::of(Some(""), "a", "b"), Identity::of(None, "a", "b"));
        assert_ne!(Content::of("GET", "/a", b"b"), Content::of("GET", "/ab", b""));
    }

    #[test]
    fn the_first_is_the_same_for_each_owner_and_enough_are_others() {
        let roll = roll(&[(1, "a"), (2, "a"), (3, "b"), (4, "b"), (5, "b")]);
        for n in 0..200 {
            let identity = Identity::of(None, "book", &n.to_string());
            let sets: Vec<Vec<Life>> = (1..6).map(|owner| keepers(identity, &roll, owner, 2)).collect();
            for (set, owner) in sets.iter().zip(1..) {
                assert_eq!(set[0], sets[0][0]);
                assert_eq!(set.iter().filter(|life| **life != owner).count(), 2);
            }
            let zone = |life: &Life| roll[life].zone.clone();
            assert_ne!(zone(&sets[0][0]), zone(&sets[0][1]), "the second stands in another zone");
        }
    }

    #[test]
    fn who_joins_or_leaves_moves_only_its_own_part() {
        let before = roll(&[(1, "a"), (2, "a"), (3, "a"), (4, "a")]);
        let mut after = before.clone();
        after.remove(&3);
        let first = |n: u32, roll| keepers(Identity::of(None, "book", &n.to_string()), roll, 0, 1)[0];
        let moved = (0..1000).filter(|n| first(*n, &before) != first(*n, &after)).count();
        assert!((180..320).contains(&moved), "{moved}");
        assert!((0..1000).all(|n| first(n, &before) == first(n, &after) || first(n, &before) == 3));
    }

    #[test]
    fn alone_there_is_nobody_else() {
        let alone = roll(&[(1, "a")]);
        assert_eq!(keepers(Identity::default(), &alone, 1, 2), [1]);
        assert!(keepers(Identity::default(), &BTreeMap::new(), 1, 2).is_empty());
    }
}
