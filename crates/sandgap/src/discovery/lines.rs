//! Discovery's calls on sockets: an answer's body, line by line.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use sandgap_socket::SharedStream;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use super::clocks::{CALL, CONNECT, TURN};

/// Bytes of a list, and of what is not yet a whole line: a thousand backends take 200 kB.
pub(super) const MOST: usize = 4 << 20;

/// Opens a watch of what came after a version; see [`super::clocks`] for how long that may take.
pub(super) async fn open(address: SocketAddr, after: Option<u64>, pushed: bool) -> Result<Lines, String> {
    let began = Instant::now();
    let after = after.map_or(String::new(), |seq| format!("&after={seq}"));
    let query = format!("watch=1{after}");
    let (up, answered) = if pushed { (CALL, CALL) } else { (CONNECT, TURN) };
    let call = async {
        let stream =
            timeout(up, TcpStream::connect(address)).await.map_err(|_| "no connection".to_owned())?;
        get_on(stream.map_err(|e| e.to_string())?, address, &query, began).await
    };
    timeout(answered, call).await.unwrap_or_else(|_| Err("no answer".into()))
}

/// An answer's body, line by line.
pub(super) struct Lines {
    /// When the call began.
    pub(super) began: Instant,
    body: hyper::body::Incoming,
    buffer: Vec<u8>,
    /// Ends the connection with the answer.
    _connection: JoinSet<()>,
    _sender: http1::SendRequest<Empty<Bytes>>,
}

impl Lines {
    /// The next line; `None` at the end.
    pub(super) async fn next(&mut self) -> Result<Option<Vec<u8>>, String> {
        let mut seen = 0;
        loop {
            if let Some(at) = self.buffer[seen..].iter().position(|b| *b == b'\n') {
                let mut line: Vec<u8> = self.buffer.drain(..=seen + at).collect();
                line.pop();
                return Ok(Some(line));
            }
            seen = self.buffer.len();
            if !self.more().await? {
                return Ok(None);
            }
        }
    }

    pub(super) async fn rest(mut self) -> Result<Vec<u8>, String> {
        while self.more().await? {}
        Ok(self.buffer)
    }

    async fn more(&mut self) -> Result<bool, String> {
        let Some(frame) = self.body.frame().await else { return Ok(false) };
        if let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() {
            if self.buffer.len() + data.len() > MOST {
                return Err("a line over the size".into());
            }
            self.buffer.extend_from_slice(&data);
        }
        Ok(true)
    }
}

pub(super) async fn get(address: SocketAddr, query: &str) -> Result<Lines, String> {
    let began = Instant::now();
    let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    get_on(stream, address, query, began).await
}

async fn get_on(
    stream: TcpStream, address: SocketAddr, query: &str, began: Instant,
) -> Result<Lines, String> {
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(SharedStream::from(stream))).await.map_err(|e| e.to_string())?;
    let mut task = JoinSet::new();
    task.spawn_local(async move {
        let _ = connection.await; // its end shows in the body
    });
    let separator = if query.is_empty() { "" } else { "?" };
    let request = Request::get(format!("/discovery/hosts{separator}{query}"))
        .header("host", address.to_string())
        .body(Empty::new())
        .map_err(|e| e.to_string())?;
    let answer = sender.send_request(request).await.map_err(|e| e.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("status {}", answer.status()));
    }
    Ok(Lines { began, body: answer.into_body(), buffer: Vec::new(), _connection: task, _sender: sender })
}
