//! Clients take seconds to read long answers while the proxy is drained by hand. Not a case of its own.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::*;

/// Answers differ in length by this much; the proxy's library holds about 16 KiB of an answer that it can't write yet.
const STEP_BYTES: usize = 8 << 10;
const CLIENTS: usize = 160;
/// A client reads nothing for this long, then all.
const PAUSE_MS: u64 = 5000;

pub fn run(case: &Case) -> ! {
    // What the system holds between a writer and a reader that reads nothing: answers of about that length are asked for.
    let held = held_by_system().unwrap_or(4 << 20);
    let first = held.saturating_sub(CLIENTS / 2 * STEP_BYTES).max(100 << 10);
    case.record.line(format!(
        "the system holds {held} bytes for a reader that pauses; answers from {first} bytes on"
    ));
    let body: Arc<Vec<u8>> = Arc::new((0..first + CLIENTS * STEP_BYTES).map(|n| (n % 251) as u8).collect());
    let handler: Handler = {
        let body = body.clone();
        Arc::new(move |request, stream| {
            sleep_ms(30);
            let bytes = request.target().split("bytes=").nth(1).and_then(|v| v.parse().ok()).unwrap_or(1);
            stream.write_all(&ok(&body[..bytes])).is_ok()
        })
    };
    let nodes: Vec<Backend> =
        (1..=3).map(|n| Backend::start(case, &format!("node-{n}"), handler.clone())).collect();
    let list = nodes.iter().map(|b| Entry {
        name: b.name.clone(),
        address: b.address,
        state: "up",
        share: 6.0,
        cell: 1,
    });
    let discovery = Discovery::start(case, list.collect());
    let (listen, admin) = (free_address(), free_address());
    let config = platform_config(listen, discovery.address, &format!("\"admin\":\"{admin}\","));
    let config = case.file("config.json", &config);
    let mut proxy = Proxy::start(case, "n1", &config);
    case.wait_for("the proxy is up", 20, || is_up(listen));
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            sleep_ms(5);
            let (broken, record, body) = (broken.clone(), case.record.clone(), body.clone());
            thread::spawn(move || {
                let bytes = first + n * STEP_BYTES;
                let id = new_id();
                let (got, how) = read_late(listen, &id, &body[..bytes]);
                record.line(format!("client: {id}: {got} of {bytes} bytes: {how:?}"));
                if got != bytes {
                    broken
                        .lock()
                        .unwrap()
                        .push(format!("{id}: cut off after {got} of {bytes} bytes ({how:?})"));
                }
            })
        })
        .collect();
    sleep_ms(1000);
    if case.trouble {
        case.record.line(format!("operator: drain: {}", call(admin, "drain")));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    if !proxy.runs() {
        case.cannot_run("the proxy has ended");
    }
    let broken = broken.lock().unwrap().clone();
    case.finish(&broken)
}

/// Asks for a long answer, pauses, and reads it; how many right bytes came.
fn read_late(proxy: SocketAddr, id: &str, body: &[u8]) -> (usize, io::Result<()>) {
    let mut got = 0;
    let mut read = || -> io::Result<()> {
        let mut wire = Wire::connect(proxy)?;
        wire.stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let target = format!("/lesson-page/film?sid=1&bytes={}", body.len());
        wire.stream.write_all(&request("GET", &target, id, 2.0, None, b""))?;
        sleep_ms(PAUSE_MS);
        let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if !head.first.contains(" 200 ") {
            return Err(io::Error::other(head.first));
        }
        while got < body.len() {
            let part = wire.some(body.len() - got)?;
            if part.is_empty() || body[got..got + part.len()] != part[..] {
                break;
            }
            got += part.len();
        }
        Ok(())
    };
    let how = read();
    (got, how)
}

/// How many bytes a connection takes of a writer while its reader reads nothing.
fn held_by_system() -> io::Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let mut writer = TcpStream::connect(listener.local_addr()?)?;
    let _reader = listener.accept()?;
    writer.set_nonblocking(true)?;
    let (part, mut held, mut waits) = ([0; 16 << 10], 0, 0);
    while waits < 50 {
        match writer.write(&part) {
            Ok(n) => (held, waits) = (held + n, 0),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                waits += 1;
                sleep_ms(2);
            }
            Err(e) => return Err(e),
        }
    }
    Ok(held)
}
