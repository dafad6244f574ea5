//! The bounds of everything that requests and other proxies can grow here.

use std::time::Duration;

/// Bytes of a request that is kept: method, path, headers and body. What is larger does not survive its proxy.
pub const REQUEST: usize = 64 << 10;
/// Bytes of an answer that is kept whole; of a longer one its digest is.
pub const ANSWER: usize = 16 << 10;
/// Attempts that are noted of one request; the module makes fewer.
pub const ATTEMPTS: usize = 8;
/// Requests kept for all others: a hand of 10,000 and as many of other owners, several times over.
pub const ENTRIES: usize = 1 << 16;
/// Requests kept for one owner.
pub const OWNER_ENTRIES: usize = 1 << 14;
/// Bytes kept for all others.
pub const BYTES: usize = 256 << 20;
/// The part of all entries and bytes that one tenant may fill: a fourth, so that none keeps the others out.
pub const TENANT_PART: usize = 4;
/// Bytes of one page of what an owner left behind; a frame of the links takes more.
pub const PAGE: usize = 256 << 10;
/// Lives that ended of late and that a keeper remembers; the oldest go first.
pub const LOST: usize = 2048;
/// Others that are asked about one identity: after so many changes of who is enrolled in so short a time more would be
/// of little use.
pub const ROLLS: usize = 64;
/// Between two looks at a request that another has in hand: its client waits for that one's end.
pub const JOIN: Duration = Duration::from_millis(25);
/// Between two tries to reach a keeper: several ways there and back.
pub const AGAIN: Duration = Duration::from_millis(20);
