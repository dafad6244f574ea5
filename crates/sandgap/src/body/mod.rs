//! Streaming of message bodies. The next chunk is read from one side only when the other side has taken the previous
//! one (backpressure), so that a long body needs no more memory than a short one.

use std::time::Duration;

mod answer;
mod buffer;
mod pace;
mod read_delay;
mod upload;

pub use answer::{AnswerBody, AnswerEnd, AnswerProgress, AnswerStream};
pub use buffer::{BodyBuffer, BufferedBody, Unbuffered, detach};
pub use pace::Pace;
pub use upload::{BodyFault, ReadAheadBudget, RequestBody, Upload};

/// Maximum size in bytes of a body that is buffered and may be sent again, by the protocol.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;
/// Maximum length of a request's body in bytes.
pub const MAX_REQUEST_BODY: u64 = 32 << 20;
/// Maximum declared length of an answer in bytes: twice the longest that backends give. Anything longer is an error. An
/// answer of unknown length may have any, as it is not ended once it has begun.
pub const MAX_ANSWER_BODY: u64 = 64 << 20;

/// Idle time after which a stream that nobody ends is closed, in either direction: a peer that has vanished without a word
/// would hold its connection forever.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// Why a body was not transferred completely.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
