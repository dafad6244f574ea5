//! Bodies that pass on as they come. Each side is asked for the next chunk only when the other has taken the one before,
//! so that whoever is slower sets the pace and a long body takes no more room than a short one.

mod answer;
mod pace;
mod upload;

use bytes::Bytes;

pub use answer::{Answering, End, Progress, Stream};
pub use pace::Pace;
pub use upload::{ReadAheadBudget, Sending, Trouble, Upload};

/// Bytes up to which a body is held whole and may be sent again, by the protocol.
pub const WHOLE: usize = 64 << 10;
/// Longest body of a request.
pub const LONGEST: u64 = 32 << 20;
/// Longest answer: twice the longest that backends give; more is spoilt.
pub const LONGEST_ANSWER: u64 = 64 << 20;

/// Why a body has not passed.
pub type Broken = Box<dyn std::error::Error + Send + Sync>;

/// Makes one piece of chunks. Most bodies come in one, which is not copied.
pub fn join(mut chunks: Vec<Bytes>) -> Bytes {
    if chunks.len() > 1 { chunks.concat().into() } else { chunks.pop().unwrap_or_default() }
}
