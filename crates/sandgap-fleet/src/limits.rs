//! Bounds on everything that other proxies can make this process store or keep open.

use std::time::Duration;

/// Maximum bytes of a frame's body. A rulebook of a thousand backends takes about 100 kB; a snapshot holds several.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum bytes of a proxy's name.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum frames queued for one peer. Further frames displace the oldest; the protocols above retransmit what matters.
pub const MAX_QUEUED_FRAMES: usize = 1024;
/// Maximum bytes queued for one peer, so that a slow reader can't fill the memory. Room for two frames of maximum size.
pub const MAX_QUEUED_BYTES: usize = 2 * MAX_BODY_BYTES;
/// Maximum bytes queued for all peers together, for when this proxy is cut off from all of them.
pub const MAX_TOTAL_QUEUED_BYTES: usize = 32 << 20;
/// Maximum concurrent links, inbound and outbound: 1,024 proxies, each twice while it restarts, and as many again that
/// are about to close.
pub const MAX_LINKS: usize = 4096;
/// Maximum inbound connections that have not proved the key yet. Unauthenticated peers can use up only these.
pub const MAX_UNPROVED: usize = 64;
/// Timeout of the handshake that proves the key. Longer than a slow handshake between zones.
pub const PROOF_TIMEOUT: Duration = Duration::from_secs(2);
/// A link without traffic for this long is closed; it is dialled again when needed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A link is closed if its writes stall, or frames are written and nothing is received, for this long: its peer has
/// stopped, or the network is partitioned.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// First backoff before a failed peer is dialled again; doubled up to [`MAX_BACKOFF`], half of it random jitter.
pub const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff: the maximum delay before frames flow again after a partition has healed.
pub const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum unanswered lease requests that a holder remembers. A holder sends about four per lease term, so more than this
/// means that all are lost.
pub const MAX_PENDING_ASKS: usize = 32;
/// Maximum known members; further ones are ignored. Several times the size of a fleet of 300 proxies.
pub const MAX_MEMBERS: usize = 2048;
/// Maximum bytes of a membership message, which holds a few dozen members.
pub const MAX_GOSSIP_BYTES: usize = 1400;
/// Maximum seed members that a proxy announces itself to, as its settings name them: the voters.
pub const MAX_SEEDS: usize = 16;
/// A proxy that knows no other member announces itself again after this time plus up to as much jitter.
pub const REJOIN_INTERVAL: Duration = Duration::from_secs(1);
