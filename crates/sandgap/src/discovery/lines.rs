//! HTTP calls to discovery, with the response body read line by line.

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

use super::timing::{ANSWER_TIMEOUT, CALL_TIMEOUT, CONNECT_TIMEOUT};

/// Opens a watch: a call to discovery that stays open and delivers changes line by line. `after` is the last version
/// that is known, if any. `pushed` says that lists are pushed by a local agent, for which other timeouts apply; see
/// [`super::timing`]. A line has at most `max_bytes`.
pub(super) async fn open_watch(
    address: SocketAddr, after: Option<u64>, pushed: bool, max_bytes: usize,
) -> Result<Lines, String> {
    let began = Instant::now();
    let after = after.map_or(String::new(), |seq| format!("&after={seq}"));
    let query = format!("watch=1{after}");
    let (connect_timeout, answer_timeout) =
        if pushed { (CALL_TIMEOUT, CALL_TIMEOUT) } else { (CONNECT_TIMEOUT, ANSWER_TIMEOUT) };
    let call = async {
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| "no connection".to_owned())?;
        get_over(stream.map_err(|e| e.to_string())?, address, &query, began, max_bytes).await
    };
    timeout(answer_timeout, call).await.unwrap_or_else(|_| Err("no answer".into()))
}

/// A response body that is read line by line, or as a whole with [`Lines::rest`].
pub(super) struct Lines {
    /// When the call began.
    pub(super) began: Instant,
    body: hyper::body::Incoming,
    /// Bytes that were received and not returned yet.
    buffer: Vec<u8>,
    /// Maximum length of that buffer in bytes.
    max_bytes: usize,
    /// Task that drives the connection; dropping it closes the connection.
    _connection: JoinSet<()>,
    _sender: http1::SendRequest<Empty<Bytes>>,
}

impl Lines {
    /// The next line, without its line end; `None` at the end of the body, where an incomplete line is dropped.
    pub(super) async fn next(&mut self) -> Result<Option<Vec<u8>>, String> {
        let mut searched = 0;
        loop {
            if let Some(at) = self.buffer[searched..].iter().position(|b| *b == b'\n') {
                let rest = self.buffer.split_off(searched + at + 1);
                let mut line = std::mem::replace(&mut self.buffer, rest);
                line.pop();
                return Ok(Some(line));
            }
            searched = self.buffer.len();
            if !self.read_frame().await? {
                return Ok(None);
            }
        }
    }

    /// The rest of the body.
    pub(super) async fn rest(mut self) -> Result<Vec<u8>, String> {
        while self.read_frame().await? {}
        Ok(self.buffer)
    }

    /// Reads more of the body into the buffer; `false` at its end.
    async fn read_frame(&mut self) -> Result<bool, String> {
        let Some(frame) = self.body.frame().await else { return Ok(false) };
        if let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() {
            if self.buffer.len() + data.len() > self.max_bytes {
                return Err(too_long(self.max_bytes));
            }
            self.buffer.extend_from_slice(&data);
        }
        Ok(true)
    }
}

/// What is wrong with a list of more than `max_bytes`.
pub(super) fn too_long(max_bytes: usize) -> String {
    format!(
        "a line or list is longer than {max_bytes} bytes, which memory_mb allows: raise it, or list fewer backends"
    )
}

/// Requests the list and returns the response, whose body of at most `max_bytes` has not been read yet.
pub(super) async fn get(address: SocketAddr, query: &str, max_bytes: usize) -> Result<Lines, String> {
    let began = Instant::now();
    let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    get_over(stream, address, query, began, max_bytes).await
}

async fn get_over(
    stream: TcpStream, address: SocketAddr, query: &str, began: Instant, max_bytes: usize,
) -> Result<Lines, String> {
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(SharedStream::from(stream))).await.map_err(|e| e.to_string())?;
    let mut task = JoinSet::new();
    task.spawn_local(async move {
        let _ = connection.await; // an error of the connection also ends the request or its body with an error
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
    Ok(Lines {
        began,
        body: answer.into_body(),
        buffer: Vec::new(),
        max_bytes,
        _connection: task,
        _sender: sender,
    })
}
