//! Large requests that their backends read slowly.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::sockets::random::Random;
use crate::sockets::*;

/// Bytes that a backend reads at once.
const PIECE_BYTES: usize = 32 << 10;

/// Longest time in seconds in which a client writes a request that its backend reads at once.
const LONGEST_WRITE: f64 = 12.0;

/// What requests are drawn from.
#[derive(Clone, Copy, Debug)]
pub struct Ranges {
    pub requests: u64,
    /// Time between two requests.
    pub interval: Duration,
    pub bytes: (f64, f64),
    /// Bytes a second that a backend reads.
    pub rate: (f64, f64),
    /// Bytes a second that a client writes, for one in four of them; the others write at full speed.
    pub write_rate: (f64, f64),
}

/// A large request, and how it is written and read.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub class: &'static str,
    pub is_chunked: bool,
    pub bytes: usize,
    /// Bytes a second that the backend reads.
    pub rate: f64,
    /// Bytes a second that the client writes; all at once if `None`.
    pub write_rate: Option<f64>,
    /// Size of the client's send buffer in bytes, of which the system doubles; its own if `None`.
    pub send_buffer: Option<usize>,
    /// Seconds that the client waits.
    pub patience: f64,
}

impl Plan {
    pub fn draw(random: &mut Random, ranges: &Ranges) -> Self {
        let write_rate = random.between(ranges.write_rate.0, ranges.write_rate.1);
        let bytes = random.between(ranges.bytes.0, ranges.bytes.1);
        let write_rate = write_rate.max(bytes / LONGEST_WRITE);
        Plan {
            class: random.pick(&["submit", "booking"]),
            is_chunked: random.pick(&[false, false, true]),
            bytes: bytes as usize,
            rate: random.between(ranges.rate.0, ranges.rate.1),
            write_rate: random.pick(&[None, None, None, Some(write_rate)]),
            send_buffer: random.pick(&[None, Some(64 << 10), Some(1 << 20), Some(4 << 20), Some(4 << 20)]),
            patience: random.between(1.0, 2.6),
        }
    }

    /// The head, and the body in the pieces in which it is written.
    pub fn request(&self, id: &str) -> (String, Vec<u8>) {
        let timeout = format!("{:.3}", self.patience);
        let head = match self.class {
            "booking" => booking(id, &timeout).replace("Content-Length: 1", "Content-Length: 0"),
            _ => submit(id, &timeout, ""),
        };
        let head = head.trim_end_matches('x').replace("Host: x", "Host: x\r\nConnection: close");
        let content = vec![b'x'; self.bytes];
        match self.is_chunked {
            false => (head.replace("Content-Length: 0", &format!("Content-Length: {}", self.bytes)), content),
            true => {
                let mut body = Vec::with_capacity(self.bytes + self.bytes / 100);
                for chunk in content.chunks(PIECE_BYTES) {
                    body.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    body.extend_from_slice(chunk);
                    body.extend_from_slice(b"\r\n");
                }
                body.extend_from_slice(b"0\r\n\r\n");
                (head.replace("Content-Length: 0", "Transfer-Encoding: chunked"), body)
            }
        }
    }

    /// Reads the body of the request at the backend's pace; false if the connection ends before it does.
    pub fn read(&self, reader: &mut impl BufRead, length: Option<usize>) -> bool {
        match length {
            Some(length) => read_slowly(reader, length, self.rate),
            None => read_chunks_slowly(reader, self.rate),
        }
    }

    /// Writes a body at the client's pace; false if the connection has ended before.
    pub fn write(&self, stream: &mut TcpStream, body: &[u8]) -> bool {
        let Some(rate) = self.write_rate else { return stream.write_all(body).is_ok() };
        body.chunks(PIECE_BYTES).all(|piece| {
            thread::sleep(Duration::from_secs_f64(piece.len() as f64 / rate));
            stream.write_all(piece).is_ok()
        })
    }
}

/// Reads a body at a pace; false if the connection ends before it does.
fn read_slowly(reader: &mut impl Read, mut left: usize, rate: f64) -> bool {
    let mut piece = vec![0; PIECE_BYTES];
    while left > 0 {
        let count = left.min(piece.len());
        if reader.read_exact(&mut piece[..count]).is_err() {
            return false;
        }
        left -= count;
        thread::sleep(Duration::from_secs_f64(count as f64 / rate));
    }
    true
}

/// Reads chunks at a pace; false if the connection ends before the last one.
fn read_chunks_slowly(reader: &mut impl BufRead, rate: f64) -> bool {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).is_err() || line.is_empty() {
            return false;
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return false };
        if !read_slowly(reader, length, rate) || reader.read_line(&mut String::new()).is_err() {
            return false;
        }
        if length == 0 {
            return true;
        }
    }
}

/// The id and the declared length of the next request.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Option<usize>)> {
    let (mut id, mut length, mut is_first) = (String::new(), None, true);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return (!is_first).then_some((id, length));
        }
        is_first = false;
        match line.split_once(": ") {
            Some(("x-request-id", value)) => value.clone_into(&mut id),
            Some(("content-length", value)) => length = value.parse().ok(),
            _ => {}
        }
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub status: u16,
    /// When the system had taken the request's last byte, in seconds since its first; `None` if it never did.
    pub written: Option<f64>,
    /// When the final answer came, in seconds since the request's first byte.
    pub answered: Option<f64>,
}

impl Outcome {
    /// Seconds from the end of the client's time to the final answer.
    pub fn late_by(&self, plan: &Plan) -> f64 {
        match (self.answered, self.written) {
            (Some(answered), Some(written)) => answered - written - plan.patience,
            (Some(_), None) => 0.0, // answered while it was being written
            (None, _) => f64::INFINITY,
        }
    }
}

/// Sends a request and waits for its final answer.
pub fn ask(proxy: SocketAddr, id: &str, plan: &Plan) -> Outcome {
    ask_on(TcpStream::connect(proxy).expect("the proxy accepts"), id, plan)
}

/// Sends a request on a new connection and waits for its final answer.
pub fn ask_on(mut stream: TcpStream, id: &str, plan: &Plan) -> Outcome {
    if let Some(bytes) = plan.send_buffer {
        // The system may allow less.
        socket2::SockRef::from(&stream).set_send_buffer_size(bytes).expect("a socket");
    }
    let (head, body) = plan.request(id);
    let mut answers = BufReader::new(stream.try_clone().expect("a handle"));
    answers.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
    let began = Instant::now();
    let reading = thread::spawn(move || {
        let answer = read_message(&mut answers);
        answer.map(|answer| (answer.status(), began.elapsed().as_secs_f64()))
    });
    let is_written = stream.write_all(head.as_bytes()).is_ok() && plan.write(&mut stream, &body);
    let written = is_written.then(|| began.elapsed().as_secs_f64());
    let answer = reading.join().expect("no panic");
    Outcome { status: answer.map_or(0, |a| a.0), written, answered: answer.map(|a| a.1) }
}
