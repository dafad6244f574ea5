//! Answers in all framings, as backends write them and clients receive them. The content of a body is the letter `x`.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::WAIT_TIMEOUT;

/// How the end of an answer is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// By a Content-Length.
    Length,
    /// By its last chunk.
    Chunked,
    /// By the end of its connection.
    Close,
}

/// All framings.
pub const ALL_FORMS: [Form; 3] = [Form::Length, Form::Chunked, Form::Close];
/// The framings that don't tell the length of an answer at its start.
pub const UNKNOWN_LENGTH: [Form; 2] = [Form::Chunked, Form::Close];

impl Form {
    /// The head of an answer of `bytes` bytes.
    pub fn head(self, bytes: usize) -> String {
        match self {
            Form::Length => format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n"),
            Form::Chunked => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            Form::Close => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".into(),
        }
    }

    /// A part of the body; nothing for no bytes, as an empty chunk would be the last.
    pub fn part(self, bytes: usize) -> Vec<u8> {
        let content = "x".repeat(bytes);
        match self {
            Form::Chunked if bytes == 0 => Vec::new(),
            Form::Chunked => format!("{bytes:x}\r\n{content}\r\n").into_bytes(),
            Form::Length | Form::Close => content.into_bytes(),
        }
    }

    /// Ends the answer; false if the connection has ended before.
    pub fn end(self, stream: &mut TcpStream) -> bool {
        match self {
            Form::Length => true,
            Form::Chunked => stream.write_all(b"0\r\n\r\n").is_ok(),
            Form::Close => stream.shutdown(Shutdown::Write).is_ok(),
        }
    }
}

/// How the connection of a client has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// In order.
    Closed,
    /// By a reset.
    Reset,
    /// It was still open when the client stopped waiting.
    Open,
}

/// What a client has received on a connection that closes after the answer.
#[derive(Debug)]
pub struct Received {
    /// Status of the answer; 0 if there is none.
    pub status: u16,
    /// Bytes of the body's content.
    pub body: usize,
    /// The body is chunked.
    pub is_chunked: bool,
    /// The last chunk has come.
    pub has_last_chunk: bool,
    /// How the connection has ended.
    pub end: End,
    /// When the first bytes came, counted from the request.
    pub first_after: Option<Duration>,
    /// When the last bytes or the end of the connection came, counted from the request.
    pub last_after: Duration,
}

impl Received {
    /// Whether a client would take it for a whole answer with status 200.
    pub fn looks_whole(&self) -> bool {
        self.status == 200 && self.end == End::Closed && (!self.is_chunked || self.has_last_chunk)
    }
}

/// Reads an answer on a connection that closes after it.
pub struct AnswerReader {
    stream: TcpStream,
    asked: Instant,
    bytes: Vec<u8>,
    first_after: Option<Duration>,
    last_after: Duration,
}

impl AnswerReader {
    /// Sends a request on a connection of its own, which closes after the answer.
    pub fn ask(proxy: SocketAddr, request: &str) -> Self {
        AnswerReader::on(TcpStream::connect(proxy).expect("the proxy accepts"), request)
    }

    /// Sends a request on a new connection, which closes after the answer.
    pub fn on(mut stream: TcpStream, request: &str) -> Self {
        let request = match request.contains("Connection: close") {
            true => request.to_owned(),
            false => request.replace("Host: x", "Host: x\r\nConnection: close"),
        };
        let _ = stream.write_all(request.as_bytes()); // a closed connection is noticed when the answer is read
        AnswerReader {
            stream,
            asked: Instant::now(),
            bytes: Vec::new(),
            first_after: None,
            last_after: Duration::ZERO,
        }
    }

    /// When the request was sent.
    pub fn asked(&self) -> Instant {
        self.asked
    }

    /// Reads until the connection ends or nothing has come for long.
    pub fn read(&mut self) -> Received {
        self.read_until(None)
    }

    /// Reads until the connection ends or so much time has passed since the request.
    pub fn read_for(&mut self, span: Duration) -> Received {
        self.read_until(Some(self.asked + span))
    }

    /// Reads until the connection ends or `until`; returns all that has come so far.
    pub fn read_until(&mut self, until: Option<Instant>) -> Received {
        let mut part = vec![0; 64 << 10];
        let end = loop {
            let left = until.map_or(WAIT_TIMEOUT, |until| until.saturating_duration_since(Instant::now()));
            let left = left.max(Duration::from_millis(1)); // what has come is read in any case
            self.stream.set_read_timeout(Some(left)).expect("a time-out");
            let read = match self.stream.read(&mut part) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break End::Open,
                read => read,
            };
            self.last_after = self.asked.elapsed();
            match read {
                Ok(0) => break End::Closed,
                Err(_) => break End::Reset,
                Ok(count) => {
                    self.first_after = self.first_after.or(Some(self.last_after));
                    self.bytes.extend_from_slice(&part[..count]);
                }
            }
            if until.is_some_and(|until| until <= Instant::now()) {
                break End::Open;
            }
        };
        self.received(end)
    }

    fn received(&self, end: End) -> Received {
        let head_end = self.bytes.windows(4).position(|w| w == b"\r\n\r\n");
        let (head, body) = self.bytes.split_at(head_end.map_or(self.bytes.len(), |at| at + 4));
        let head = String::from_utf8_lossy(head).to_ascii_lowercase();
        Received {
            status: head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0),
            body: body.iter().filter(|b| **b == b'x').count(),
            is_chunked: head.contains("transfer-encoding: chunked"),
            has_last_chunk: body.ends_with(b"0\r\n\r\n"),
            end,
            first_after: self.first_after,
            last_after: self.last_after,
        }
    }
}
