//! The bounds of everything that other proxies can grow here.

use std::time::Duration;

/// Bytes of a frame's body. A rulebook of a thousand backends takes about 100 kB; a snapshot holds several.
pub const BODY: usize = 4 << 20;
/// Bytes of a proxy's name.
pub const NAME: usize = 64;
/// Frames that wait for one link. Every protocol above repeats what matters, so that more are dropped, oldest first.
pub const QUEUE: usize = 1024;
/// Bytes that wait for one link; a peer that reads slowly must not fill the memory. Room for two largest frames.
pub const QUEUED: usize = 2 * BODY;
/// Bytes that wait for all links together: what a cut from everybody may hold.
pub const QUEUED_ALL: usize = 32 << 20;
/// Links at once, both ways: 1,024 proxies, each twice while it restarts, and as many again that are about to go.
pub const LINKS: usize = 4096;
/// Connections that have not proved the key yet. Strangers share these and nothing else.
pub const UNPROVED: usize = 64;
/// A peer has proved the key by then, or goes. Longer than a slow handshake between zones.
pub const PROOF: Duration = Duration::from_secs(2);
/// A link that nothing was sent on for this long is closed; it is dialled anew when it is needed.
pub const IDLE: Duration = Duration::from_secs(30);
/// A write that makes no progress for this long ends the link: its peer has stopped, or the way is cut.
pub const STUCK: Duration = Duration::from_secs(3);
/// The first wait before a failed peer is dialled again; doubled up to [`BACKOFF_MOST`], half of it drawn.
pub const BACKOFF: Duration = Duration::from_millis(50);
/// The longest such wait: what a healed cut costs at most before frames flow.
pub const BACKOFF_MOST: Duration = Duration::from_millis(500);
/// Asks without an answer that are remembered, by one holder of leases. Asked about four times a lease, more than
/// this means that all are lost.
pub const ASKS: usize = 32;
/// Members that are known at once; further ones are not learned of. 300 proxies, several times over.
pub const MEMBERS: usize = 2048;
/// Bytes of a membership message: a few dozen members told in one.
pub const GOSSIP: usize = 1400;
/// Members that a proxy is made known to by its settings: the voters.
pub const SEEDS: usize = 16;
/// After this span, and up to as much again, a proxy that knows nobody makes itself known once more.
pub const REJOIN: Duration = Duration::from_secs(1);
