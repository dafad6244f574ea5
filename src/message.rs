//! Messages between proxies, of at most 256 bytes: in-flight attempts and closed servers, and learned limits.
use crate::interface::*;
use crate::state::{Server, mix_bits};
use rustc_hash::FxHashMap;

/// First byte of a message of attempts and closed servers.
const STATE_VERSION: u8 = 1;
/// First byte of a message of limits; proxies that do not know it ignore the message.
const LIMITS_VERSION: u8 = 2;
/// Size of the header before the servers, in bytes.
pub(crate) const HEADER_BYTES: usize = 3;
/// Size of a full message, in bytes.
pub(crate) const MESSAGE_BYTES: usize = 256;
/// Size of one limit, in bytes: its server's short id, and 16 times the limit.
const LIMIT_BYTES: usize = 4;
/// Bit that marks a limit that is only being probed.
const TRIAL_BIT: u16 = 1 << 15;
/// Maximum number of limits in one message.
pub(crate) const MOST_LIMITS: usize = (MESSAGE_BYTES - 1) / LIMIT_BYTES;

/// Encodes this proxy's attempts and closed servers; a server is identified by 16 bits of its hash.
pub(crate) fn pack(zone: Option<ZoneId>, servers: &[Server], now: Millis) -> Vec<u8> {
    let name = |s: &Server| short_id(s.info.id).to_le_bytes();
    let mut bytes = vec![STATE_VERSION, zone.map_or(u8::MAX, |z| z.0 as u8), 0];
    for s in servers.iter().filter(|s| s.health.closed_until > now && s.withdrawn_at.is_none()).take(30) {
        bytes.extend(name(s));
        bytes[2] += 1;
    }
    for s in servers.iter().filter(|s| s.own_attempts > 0) {
        for _ in 0..s.own_attempts.min((MESSAGE_BYTES - bytes.len()) as u32 / 2) {
            bytes.extend(name(s));
        }
    }
    bytes
}

/// Decodes a message: the sender's zone, the servers it has closed, the servers of its attempts.
pub(crate) fn unpack(
    bytes: &[u8], names: &FxHashMap<u16, usize>,
) -> Option<(Option<ZoneId>, Vec<usize>, Vec<usize>)> {
    if bytes.len() < HEADER_BYTES || bytes[0] != STATE_VERSION {
        return None;
    }
    let zone = (bytes[1] != u8::MAX).then_some(ZoneId(u32::from(bytes[1])));
    let (mut blames, mut holds) = (Vec::new(), Vec::new());
    for (i, pair) in bytes[HEADER_BYTES..].chunks_exact(2).enumerate() {
        if let Some(&k) = names.get(&u16::from_le_bytes([pair[0], pair[1]])) {
            if i < usize::from(bytes[2]) { blames.push(k) } else { holds.push(k) }
        }
    }
    Some((zone, blames, holds))
}

/// The 16 bits that identify a server in messages.
pub(crate) fn short_id(id: BackendId) -> u16 {
    mix_bits(id.0) as u16
}

/// Encodes limits in 16ths of a request.
pub(crate) fn pack_limits(limits: impl Iterator<Item = (BackendId, (Option<f64>, bool))>) -> Vec<u8> {
    let mut bytes = vec![LIMITS_VERSION];
    for (id, (limit, trial)) in limits.take(MOST_LIMITS) {
        bytes.extend(short_id(id).to_le_bytes());
        bytes
            .extend(((limit.unwrap_or(0.0) * 16.0) as u16 | if trial { TRIAL_BIT } else { 0 }).to_le_bytes());
    }
    bytes
}

/// Decodes limits; `None` if it is a message of another type.
pub(crate) fn unpack_limits(
    bytes: &[u8], names: &FxHashMap<u16, usize>,
) -> Option<Vec<(usize, Option<f64>, bool)>> {
    let entries = bytes.strip_prefix(&[LIMITS_VERSION])?.chunks_exact(LIMIT_BYTES);
    let read = |e: &[u8]| {
        let k = names.get(&u16::from_le_bytes([e[0], e[1]]))?;
        let value = u16::from_le_bytes([e[2], e[3]]);
        let limit = f64::from(value & !TRIAL_BIT) / 16.0;
        Some((*k, (limit >= 1.0).then_some(limit), value & TRIAL_BIT != 0)) // `None`: the rating applies
    };
    Some(entries.filter_map(read).collect())
}
