//! One random stream per component, all derived from one seed. What one component draws changes no other component's
//! draws, so two variants of a fleet see the same load and the same faults.

use rand::SeedableRng;
pub use rand_pcg::Pcg64Mcg as Stream;

/// The random stream of a component; `index` distinguishes several of a kind.
pub fn stream(seed: u64, component: &str, index: u64) -> Stream {
    let name = wharfhitch::settings::number_of(component);
    Stream::seed_from_u64(mix(seed ^ mix(name ^ mix(index))))
}

/// Mixes the bits of a number (the finalizer of splitmix64).
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests {
    use rand::Rng;

    use super::*;

    #[test]
    fn a_stream_depends_only_on_seed_name_and_index() {
        let first = |seed, name, index| stream(seed, name, index).next_u64();
        assert_eq!(first(1, "arrivals", 0), first(1, "arrivals", 0));
        let all =
            [first(1, "arrivals", 0), first(2, "arrivals", 0), first(1, "work", 0), first(1, "arrivals", 1)];
        let distinct: std::collections::BTreeSet<u64> = all.into_iter().collect();
        assert_eq!(distinct.len(), all.len());
    }
}
