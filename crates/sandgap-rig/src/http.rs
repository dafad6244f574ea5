//! Reads HTTP/1.1 messages from a socket, with the times of their first and last byte. Simulated peers write messages as plain
//! text, since many are malformed on purpose.

use bytes::{Buf as _, Bytes, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::clock::{Clock, Micros};
use crate::limits::{MAX_HEADERS, MAX_MESSAGE_BYTES};

/// Why no message could be read.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone, Copy)]
pub enum ReadError {
    /// The connection ended before the first byte of a message.
    #[error("the connection ended before a message")]
    Ended,
    /// The connection ended or failed within a message.
    #[error("the connection ended within a message")]
    Truncated,
    /// The bytes are no message of a known length within the limits.
    #[error("not a valid HTTP message")]
    Malformed,
}

/// A request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    /// The method of a request; empty for a response.
    pub method: String,
    /// The target of a request; the digits of a response's status.
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
    /// The value of a header, whose name is compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        if self.method.is_empty() { self.target.parse().unwrap_or(0) } else { 0 }
    }
}

/// A connection and the bytes read from it ahead.
pub struct Conn {
    /// The socket.
    pub stream: TcpStream,
    buffer: BytesMut,
}

/// The head of a message, its size and that of the body, bytes.
struct Head {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    size: usize,
    body: usize,
}

impl Conn {
    /// A connection from which nothing has been read.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // without it the connection is only slower
        Conn { stream, buffer: BytesMut::new() }
    }

    /// Whether bytes of a message have been read.
    pub fn has_begun(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits for the first byte of a message; false if the connection ended.
    pub async fn begin(&mut self) -> bool {
        self.has_begun() || self.read_more().await
    }

    /// Reads more bytes; false if the connection ended or failed.
    async fn read_more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(n) if n > 0)
    }

    /// Reads a request.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn request(&mut self, clock: &Clock) -> Result<Message, ReadError> {
        self.message(clock, request_head).await
    }

    /// Reads a response.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn answer(&mut self, clock: &Clock) -> Result<Message, ReadError> {
        self.message(clock, response_head).await
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
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(ReadError::Malformed);
            }
            if !self.read_more().await {
                return Err(ReadError::Truncated);
            }
        };
        if head.body > MAX_MESSAGE_BYTES {
            return Err(ReadError::Malformed);
        }
        while self.buffer.len() < head.size + head.body {
            if !self.read_more().await {
                return Err(ReadError::Truncated);
            }
        }
        self.buffer.advance(head.size);
        let body = self.buffer.split_to(head.body).freeze();
        let Head { method, target, headers, .. } = head;
        Ok(Message { method, target, headers, body, first, last: clock.now() })
    }
}

fn request_head(bytes: &[u8]) -> Result<Option<Head>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
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

fn response_head(bytes: &[u8]) -> Result<Option<Head>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(bytes) {
        Ok(httparse::Status::Partial) => Ok(None),
        Ok(httparse::Status::Complete(size)) => {
            head("", response.code.unwrap_or(0).to_string(), response.headers, size)
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
