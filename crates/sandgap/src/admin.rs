//! The admin address: a connection carries one request line and one answer line.

use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use sandgap_socket::SharedStream;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::diagnostics::Diagnostics;
use crate::note;
use crate::retry;
use crate::serving::{Serving, State};
use crate::socket;

/// Maximum number of connections, which use reserved descriptors. At the limit the oldest connection without a complete
/// call is closed.
pub const MAX_CALLERS: usize = 8;
/// Maximum line length in bytes, line end included; a call is one word.
const MAX_LINE: usize = 256;
/// Timeout for a complete call; the caller then gets an error.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Remaining input is read for this long after the answer, since closing with unread input would send a reset that may
/// discard the answer.
const LINGER: Duration = Duration::from_millis(200);
/// Wait after a failed accept, to avoid a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Parses a call from the bytes so far; `None` if more are needed. `ended` means that no more will arrive.
fn parse_line(bytes: &[u8], ended: bool) -> Option<Result<&str, &'static str>> {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return match bytes.len() {
            MAX_LINE.. => Some(Err("the line is too long")),
            _ if ended => Some(Err("the line has no end")),
            _ => None,
        };
    };
    if !bytes[end..].trim_ascii().is_empty() {
        return Some(Err("one call a connection"));
    }
    Some(std::str::from_utf8(&bytes[..end]).map(str::trim).map_err(|_| "the line is no text"))
}

/// Carries out a call and returns the answer line.
fn answer(call: Result<&str, &'static str>, serving: &Serving, diagnostics: &Diagnostics) -> String {
    match call {
        Ok("counters") => format!("200 {}", diagnostics.summary()),
        Ok("ready") if serving.is_ready() => match serving.state() {
            State::Drained => "200 ready, and drained".into(),
            _ => "200 ready".into(),
        },
        Ok("ready") if serving.state() == State::Stopping => "400 stopping".into(),
        Ok("ready") => "400 no list of backends yet".into(),
        Ok("drain" | "resume") if serving.state() == State::Stopping => "400 stopping".into(),
        Ok("drain") => {
            serving.drain();
            note!("drained by hand: clients are sent away");
            "200 draining".into()
        }
        Ok("resume") => {
            serving.resume();
            note!("resumed by hand: clients are taken");
            "200 taking clients".into()
        }
        Ok("") => "400 an empty line; calls are ready, drain, resume, counters".into(),
        Ok(_) => "400 no such call; calls are ready, drain, resume, counters".into(),
        Err(why) => format!("400 {why}"),
    }
}

async fn read_call(stream: &mut SharedStream<TcpStream>) -> io::Result<Result<String, &'static str>> {
    let mut bytes = [0; MAX_LINE];
    let mut filled = 0;
    loop {
        let n = stream.read(&mut bytes[filled..]).await?;
        filled += n;
        if let Some(call) = parse_line(&bytes[..filled], n == 0) {
            return Ok(call.map(str::to_owned));
        }
    }
}

async fn serve_one(
    stream: TcpStream, call_complete: impl FnOnce(), serving: Rc<Serving>, diagnostics: Rc<Diagnostics>,
) -> io::Result<()> {
    let mut stream = SharedStream::from(stream);
    let call =
        timeout(CALL_TIMEOUT, read_call(&mut stream)).await.unwrap_or(Ok(Err("no whole line in time")))?;
    call_complete();
    let text = answer(call.as_deref().map_err(|e| *e), &serving, &diagnostics) + "\n";
    stream.write_all(text.as_bytes()).await?;
    SockRef::from(&*stream).shutdown(Shutdown::Write)?;
    let mut rest = [0; MAX_LINE];
    let _ = timeout(LINGER, async { while matches!(stream.read(&mut rest).await, Ok(1..)) {} }).await;
    Ok(())
}

/// Answers admin calls for as long as the process runs. A call changes the state and determines its
/// answer before any other task observes the change.
pub async fn serve(listener: TcpListener, serving: Rc<Serving>, diagnostics: Rc<Diagnostics>) {
    let callers: Rc<std::cell::RefCell<VecDeque<(u64, AbortHandle)>>> = Rc::default();
    for number in 0.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                note!(warn: "admin: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let mut all = callers.borrow_mut();
        all.retain(|(_, task)| !task.is_finished());
        if all.len() >= MAX_CALLERS
            && let Some((_, oldest)) = all.pop_front()
        {
            oldest.abort();
        }
        // A caller with a complete call is no longer closed in favour of others.
        let mark_complete = {
            let callers = callers.clone();
            move || callers.borrow_mut().retain(|(n, _)| *n != number)
        };
        let (serving, diagnostics) = (serving.clone(), diagnostics.clone());
        let task = spawn_local(async move {
            let _ = serve_one(stream, mark_complete, serving, diagnostics).await; // an error means the caller has left
        });
        all.push_back((number, task.abort_handle()));
    }
}

/// Opens the admin listener. If the address can't be used, that is logged and the proxy serves without it.
pub async fn listen(address: SocketAddr) -> Option<TcpListener> {
    let on = format!("admin on {address}");
    match retry::retry_transient(&on, || socket::listen(address)).await {
        Ok(listener) => {
            let at = listener.local_addr().unwrap_or(address);
            note!("admin calls at {at}");
            Some(listener)
        }
        Err(e) => {
            note!(error: "admin: {address} can't be used: {e}; this proxy can't be drained by hand");
            None
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_complete_or_rejected() {
        for (bytes, ended, expected) in [
            (&b""[..], false, None),
            (b"rea", false, None),
            (b"ready\n", false, Some(Ok("ready"))),
            (b"ready\r\n", false, Some(Ok("ready"))),
            (b"\n", false, Some(Ok(""))),
            (b"drain", true, Some(Err("the line has no end"))),
            (b"drain\nresume\n", false, Some(Err("one call a connection"))),
            (b"dr\xffin\n", false, Some(Err("the line is no text"))),
            (&[b'a'; MAX_LINE], false, Some(Err("the line is too long"))),
        ] {
            assert_eq!(parse_line(bytes, ended), expected, "{}", String::from_utf8_lossy(bytes));
        }
    }

    #[test]
    fn answers_follow_the_serving_state() {
        let (serving, diagnostics) = (Serving::default(), Diagnostics::new(None));
        let ask = |call| answer(Ok(call), &serving, &diagnostics);
        assert!(ask("ready").starts_with("400"));
        serving.set_has_list();
        assert!(ask("ready").starts_with("200"));
        assert!(ask("drain").starts_with("200") && ask("drain").starts_with("200"));
        assert!(!serving.is_up() && ask("ready").starts_with("200"));
        assert!(ask("resume").starts_with("200") && serving.is_up());
        assert!(ask("explode").starts_with("400") && ask("").starts_with("400"));
        serving.stop();
        for call in ["ready", "drain", "resume"] {
            assert!(ask(call).starts_with("400"), "{call}");
        }
    }
}
