//! What proxies tell each other, in at most 256 bytes: what they hold and blame, and limits that they learned.
use crate::interface::*;
use crate::state::{Server, mix};
use rustc_hash::FxHashMap;

const VERSION: u8 = 1;
const LIMITS: u8 = 2; // the version byte of a message of limits; who knows none passes it over
pub(crate) const HEAD: usize = 3; // bytes of a message before its servers
pub(crate) const MESSAGE: usize = 256; // bytes of a full message
const ENTRY: usize = 4; // bytes of a limit: its server's name, and 16 times the limit
const TRIAL: u16 = 1 << 15; // marks a limit that is but tried
/// Limits that one message holds.
pub(crate) const MOST_LIMITS: usize = (MESSAGE - 1) / ENTRY;

/// Packs what this proxy holds and blames; servers are named by 16 bits of their hash.
pub(crate) fn pack(zone: Option<ZoneId>, servers: &[Server], now: Millis) -> Vec<u8> {
    let name = |s: &Server| short(s.info.id).to_le_bytes();
    let mut bytes = vec![VERSION, zone.map_or(u8::MAX, |z| z.0 as u8), 0];
    for s in servers.iter().filter(|s| s.health.closed > now && s.told.is_none()).take(30) {
        bytes.extend(name(s));
        bytes[2] += 1;
    }
    for s in servers.iter().filter(|s| s.own > 0) {
        for _ in 0..s.own.min((MESSAGE - bytes.len()) as u32 / 2) {
            bytes.extend(name(s));
        }
    }
    bytes
}

/// Unpacks a message: the sender's zone, what it blames, what it holds.
pub(crate) fn unpack(
    bytes: &[u8], names: &FxHashMap<u16, usize>,
) -> Option<(Option<ZoneId>, Vec<usize>, Vec<usize>)> {
    if bytes.len() < HEAD || bytes[0] != VERSION {
        return None;
    }
    let zone = (bytes[1] != u8::MAX).then_some(ZoneId(u32::from(bytes[1])));
    let (mut blames, mut holds) = (Vec::new(), Vec::new());
    for (i, pair) in bytes[HEAD..].chunks_exact(2).enumerate() {
        if let Some(&k) = names.get(&u16::from_le_bytes([pair[0], pair[1]])) {
            if i < usize::from(bytes[2]) { blames.push(k) } else { holds.push(k) }
        }
    }
    Some((zone, blames, holds))
}

/// The 16 bits by which messages name a server.
pub(crate) fn short(id: BackendId) -> u16 {
    mix(id.0) as u16
}

/// Packs limits, 16ths of a request each.
pub(crate) fn pack_limits(limits: impl Iterator<Item = (BackendId, (Option<f64>, bool))>) -> Vec<u8> {
    let mut bytes = vec![LIMITS];
    for (id, (limit, trial)) in limits.take(MOST_LIMITS) {
        bytes.extend(short(id).to_le_bytes());
        bytes.extend(((limit.unwrap_or(0.0) * 16.0) as u16 | if trial { TRIAL } else { 0 }).to_le_bytes());
    }
    bytes
}

/// Unpacks limits, if the message holds any.
pub(crate) fn unpack_limits(
    bytes: &[u8], names: &FxHashMap<u16, usize>,
) -> Option<Vec<(usize, Option<f64>, bool)>> {
    let entries = bytes.strip_prefix(&[LIMITS])?.chunks_exact(ENTRY);
    let read = |e: &[u8]| {
        let k = names.get(&u16::from_le_bytes([e[0], e[1]]))?;
        let word = u16::from_le_bytes([e[2], e[3]]);
        let limit = f64::from(word & !TRIAL) / 16.0;
        Some((*k, (limit >= 1.0).then_some(limit), word & TRIAL != 0)) // none: the rating stands
    };
    Some(entries.filter_map(read).collect())
}
