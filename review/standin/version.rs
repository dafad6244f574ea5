//! A backend words one answer as HTTP/1.0 and keeps the connection; a long request in chunks follows on it. Not a case: the
//! protocol page says that all of it is HTTP/1.1.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::*;

const BODY_BYTES: usize = 150_000;
const CHUNK_BYTES: usize = 10_000;
const ROUNDS: usize = 10;

/// How often each request ran, and with how many bytes.
type Runs = Arc<Mutex<BTreeMap<String, Vec<(String, usize)>>>>;

pub fn run(case: &Case) -> ! {
    let runs: Runs = Arc::default();
    let pages: Arc<AtomicUsize> = Arc::default();
    let node = |name: &str| {
        let (runs, pages, own, trouble) = (runs.clone(), pages.clone(), name.to_owned(), case.trouble);
        let handler: Handler = Arc::new(move |request, stream| {
            sleep_ms(30);
            let is_page = request.target().contains("lesson-page");
            if !is_page {
                let run = (own.clone(), request.body.len());
                runs.lock().unwrap().entry(request.id().to_owned()).or_default().push(run);
            }
            let body = format!("answer to {}", request.id());
            let is_old = trouble && is_page && pages.fetch_add(1, Ordering::SeqCst) % 2 == 0;
            let head = if is_old { "HTTP/1.0 200 OK\r\nConnection: keep-alive" } else { "HTTP/1.1 200 OK" };
            let text = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(text.as_bytes()).is_ok()
        });
        Backend::start(case, name, handler)
    };
    let nodes = [node("node-1"), node("node-2")];
    let entry =
        |b: &Backend| Entry { name: b.name.clone(), address: b.address, state: "up", share: 6.0, cell: 1 };
    let discovery = Discovery::start(case, nodes.iter().map(entry).collect());
    let listen = free_address();
    let config = case.file("config.json", &platform_config(listen, discovery.address, ""));
    let mut proxy = Proxy::start(case, "proxy", &config);
    case.wait_for("the proxy is up", 10, || is_up(listen));
    let mut client = Client::new(listen);
    for round in 0..ROUNDS {
        for page in 0..4 {
            let text = request("GET", &format!("/lesson-page/p{round}-{page}"), &new_id(), 2.0, None, b"");
            let _ = client.ask(&text, Duration::from_secs(3));
        }
        sleep_ms(400); // the connections to the backends are quiet
        let id = new_id();
        let mut text = format!(
            "POST /answer-submit/essay HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: hogeschool-noord\r\n\
             X-Timeout: 4.000\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        .into_bytes();
        for _ in 0..BODY_BYTES / CHUNK_BYTES {
            text.extend(format!("{CHUNK_BYTES:x}\r\n").into_bytes());
            text.extend(vec![b'e'; CHUNK_BYTES]);
            text.extend(b"\r\n");
        }
        text.extend(b"0\r\n\r\n");
        let answer = client.ask(&text, Duration::from_secs(5)).map(|a| a.status);
        case.record.line(format!("client: {id}, an essay of {BODY_BYTES} bytes: {answer:?}"));
    }
    if !proxy.runs() {
        case.cannot_run("the proxy has ended");
    }
    let broken: Vec<String> = runs
        .lock()
        .unwrap()
        .iter()
        .filter(|(_, all)| all.len() > 1 || all.iter().any(|(_, bytes)| *bytes != BODY_BYTES))
        .map(|(id, all)| format!("{id} (unsafe, {BODY_BYTES} bytes) ran {} times: {all:?}", all.len()))
        .collect();
    case.finish(&broken)
}
