//! HTTP/1.1 messages read off a socket with the times of their first and last byte. Stand-ins write theirs as
//! plain text, since many are meant to be wrong.

use bytes::{Buf as _, Bytes, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::clock::{Clock, Micros};
use crate::limits::{HEADERS, MESSAGE};

/// Why no message came.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone, Copy)]
pub enum ReadError {
    /// The connection ended before the first byte of a message.
    #[error("the connection ended between messages")]
    Ended,
    /// It ended or broke within one.
    #[error("the connection ended within a message")]
    Cut,
    /// What came is no message of a known length.
    #[error("what came is no HTTP message")]
    Malformed,
}

/// A message: the first line's parts are kept apart by the reader of each side.
#[derive(Debug, Clone)]
pub struct Message {
    /// Method and target of a request; empty and the status' digits of an answer.
    pub method: String,
    /// The target or the status.
    pub target: String,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// When its first byte was read.
    pub first: Micros,
    /// When its last byte was read.
    pub last: Micros,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// An answer's status; 0 for a request.
    pub fn status(&self) -> u16 {
        if self.method.is_empty() { self.target.parse().unwrap_or(0) } else { 0 }
    }
}

/// A connection and what has been read ahead of it.
pub struct Conn {
    /// The socket.
    pub stream: TcpStream,
    buffer: BytesMut,
}

/// The head of a message: where it ends, and how long the body is.
struct Head {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    size: usize,
    body: usize,
}

impl Conn {
    /// A connection that nothing has been read from.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // slower without, no worse
        Conn { stream, buffer: BytesMut::new() }
    }

    /// Whether a message has begun.
    pub fn has_begun(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Writes bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits until the first byte of a message is there; false at the end of the connection.
    pub async fn begin(&mut self) -> bool {
        self.has_begun() || self.more().await
    }

    async fn more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(n) if n > 0)
    }

    /// Reads a request.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn request(&mut self, clock: &Clock) -> Result<Message, ReadError> {
        self.message(clock, request_head).await
    }

    /// Reads an answer.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn answer(&mut self, clock: &Clock) -> Result<Message, ReadError> {
        self.message(clock, answer_head).await
    }

    async fn message(
        &mut self, clock: &Clock, parse: fn(&[u8]) -> Result<Option<Head>, ReadError>,
    ) -> Result<Message, ReadError> {
        if !self.begin().await {
            return Err(ReadError::Ended);
        }
        let first = clock.now();
        let head = loop {
            if let Some(head) = parse(&self.buffer)? {
                break head;
            }
            if self.buffer.len() > MESSAGE {
                return Err(ReadError::Malformed);
            }
            if !self.more().await {
                return Err(ReadError::Cut);
            }
        };
        if head.body > MESSAGE {
            return Err(ReadError::Malformed);
        }
        while self.buffer.len() < head.size + head.body {
            if !self.more().await {
                return Err(ReadError::Cut);
            }
        }
        self.buffer.advance(head.size);
        let body = self.buffer.split_to(head.body).freeze();
        let Head { method, target, headers, .. } = head;
        Ok(Message { method, target, headers, body, first, last: clock.now() })
    }
}

fn request_head(bytes: &[u8]) -> Result<Option<Head>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) => Ok(None),
        Ok(httparse::Status::Complete(size)) => {
            let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
            head(method, target.to_owned(), request.headers, size)
        }
        Err(_) => Err(ReadError::Malformed),
    }
}

fn answer_head(bytes: &[u8]) -> Result<Option<Head>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    match answer.parse(bytes) {
        Ok(httparse::Status::Partial) => Ok(None),
        Ok(httparse::Status::Complete(size)) => {
            head("", answer.code.unwrap_or(0).to_string(), answer.headers, size)
        }
        Err(_) => Err(ReadError::Malformed),
    }
}

fn head(
    method: &str, target: String, headers: &[httparse::Header], size: usize,
) -> Result<Option<Head>, ReadError> {
    let text = |v: &[u8]| String::from_utf8_lossy(v).trim().to_owned();
    let headers: Vec<_> = headers.iter().map(|h| (h.name.to_owned(), text(h.value))).collect();
    let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let body = length.map_or(Ok(0), |(_, v)| v.parse()).map_err(|_| ReadError::Malformed)?;
    Ok(Some(Head { method: method.to_owned(), target, headers, size, body }))
}
