//! The settings permit no second copies. A backend begins its answer, pauses in the middle of its work and goes on. No
//! request may have two attempts out at once.

use std::io::{ErrorKind, Write as _};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    Agent, Client, Error, Host, Proxy, Record, class, lock, ms, ok, run_number, settings, start_backend,
    trouble,
};

const WORK_MS: u64 = 90;
/// How long a backend pauses in the middle of an answer.
const PAUSE_MS: u64 = 1000;
/// One of them is in trouble.
const BACKENDS: usize = 6;
/// Two attempts that are out together for less than this don't count.
const SLACK: Duration = Duration::from_millis(50);
const REQUESTS: usize = 60;

/// One attempt: the request, its backend, and from when to when it was out on an open connection.
struct Attempt {
    id: String,
    server: usize,
    from: Instant,
    to: Option<Instant>,
}

pub fn play(record: &Record) -> Result<Vec<String>, Error> {
    let attempts = Arc::new(Mutex::new(Vec::<Attempt>::new()));
    let mut hosts = Vec::new();
    for server in 0..BACKENDS {
        let (attempts, record) = (attempts.clone(), record.clone());
        let behaviour = move |asked: &crate::common::Asked, writer: &mut TcpStream| {
            let id = asked.id().to_owned();
            record.note(format!("backend {server}, connection {}: runs {id}", asked.connection));
            let at = {
                let mut all = lock(&attempts);
                all.push(Attempt { id: id.clone(), server, from: asked.at, to: None });
                all.len() - 1
            };
            thread::sleep(ms(WORK_MS));
            // One of the backends is in trouble.
            let pauses = trouble() && server == 0;
            let answer = ok(&format!("{{\"request\":\"{id}\"}}"));
            let (first, rest) = answer.split_at(answer.len() - 8);
            let mut is_open = writer.write_all(first.as_bytes()).is_ok();
            if pauses {
                record.note(format!("backend {server}: pauses in the answer to {id}"));
                let until = Instant::now() + ms(PAUSE_MS);
                while is_open && Instant::now() < until {
                    thread::sleep(ms(5));
                    is_open = !has_closed(writer);
                }
            }
            is_open = is_open && writer.write_all(rest.as_bytes()).is_ok();
            let how = if is_open { "has answered" } else { "sees the connection closed on" };
            record.note(format!("backend {server}: {how} {id}"));
            lock(&attempts)[at].to = Some(Instant::now());
            is_open
        };
        let dial = start_backend(server, Arc::new(behaviour))?;
        hosts.push(Host { name: format!("s-{server}"), dial, site: "leuven", block: 1, health: "up" });
    }
    let agent = Agent::start(hosts)?;
    let settings = settings(&[class("lesson-page", "idempotent", 810, 2000, "")], false, false);
    let proxy = Proxy::start("n0", agent.address, &settings)?;
    let run = run_number();
    let mut client = Client::connect(proxy.address)?;
    for number in 0..REQUESTS {
        let id = format!("{run:08x}{number:08x}");
        record.note(format!("client: sends {id}"));
        client.send(
            format!(
                "GET /lesson-page HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n\
                 X-Tenant-Id: hogeschool-noord\r\nX-Timeout: 2.000\r\n\r\n"
            )
            .as_bytes(),
        )?;
        let answer = client.answer(Instant::now() + ms(2600))?;
        record.note(format!("client: {id} is answered {} {}", answer.status, answer.text()));
        if answer.closes() {
            client = Client::connect(proxy.address)?;
        }
    }
    thread::sleep(ms(PAUSE_MS + 200));
    let attempts = lock(&attempts);
    if attempts.len() < REQUESTS / 2 {
        return Err("fewer than half of the requests have come to a backend".into());
    }
    let mut broken = Vec::new();
    for (at, later) in attempts.iter().enumerate() {
        for earlier in attempts[..at].iter().filter(|earlier| earlier.id == later.id) {
            if earlier.to.is_none_or(|to| to > later.from + SLACK) {
                let open_for = earlier.to.map_or(0, |to| (to - later.from).as_millis());
                broken.push(format!(
                    "{}: backend {} got it at {:.3} s while backend {} had it, for {open_for} ms",
                    later.id,
                    later.server,
                    record.seconds(later.from),
                    earlier.server
                ));
            }
        }
    }
    record.note(format!("log of the proxy:\n{}", proxy.log()));
    Ok(broken)
}

/// Whether the other side has closed the connection.
fn has_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
