//! A change of settings drops the class with the longest deadline. Later the proxy is told to end, as at a planned
//! restart. Every request that it takes has to be answered before the kill, which comes no sooner than the longest
//! deadline of the deployment and 0.7 s after SIGTERM.

use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    Agent, Client, Error, Host, Proxy, Record, class, lock, ms, ok, run_number, settings, start_backend,
    trouble,
};

/// Time that a backend works on a request.
const WORK_MS: u64 = 600;
/// The deadline of the class in use, and the longest of the deployment after the change.
const DEADLINE_MS: u64 = 1000;
/// The platform's kill, counted from SIGTERM: the longest deadline and 0.7 s, and a little more.
const KILL_MS: u64 = DEADLINE_MS + 700 + 20;
const BACKENDS: usize = 3;
/// Body of a request, written in pieces of 1 KiB at 64 kB a second or a little more.
const BODY_BYTES: usize = 64 << 10;

/// How a client's request ended.
struct Sent {
    id: String,
    /// When its last byte was written.
    taken: Instant,
    answered: Result<u16, String>,
}

pub fn play(record: &Record) -> Result<Vec<String>, Error> {
    let mut hosts = Vec::new();
    for server in 0..BACKENDS {
        let record = record.clone();
        let behaviour = move |asked: &crate::common::Asked, writer: &mut std::net::TcpStream| {
            record.note(format!("backend {server}: runs {}", asked.id()));
            thread::sleep(ms(WORK_MS));
            record.note(format!("backend {server}: answers {}", asked.id()));
            writer.write_all(ok(&format!("{{\"request\":\"{}\"}}", asked.id())).as_bytes()).is_ok()
        };
        let dial = start_backend(server, Arc::new(behaviour))?;
        hosts.push(Host { name: format!("s-{server}"), dial, site: "leuven", block: 1, health: "up" });
    }
    let agent = Agent::start(hosts)?;
    let submit = class("answer-submit", "at_most_once", 900, DEADLINE_MS as u32, "");
    let exam = class("exam-upload", "at_most_once", 3000, 4000, "");
    let (with_exam, without) =
        (settings(&[submit.clone(), exam], true, false), settings(&[submit], true, false));
    let mut proxy = Proxy::start("n0", agent.address, if trouble() { &with_exam } else { &without })?;
    if trouble() {
        proxy.write_settings(&without)?;
        proxy.signal("HUP")?;
        record.note("platform: SIGHUP; the class exam-upload is gone, the longest deadline is 1 s");
    }
    // Long after any request of the class that was dropped.
    thread::sleep(ms(8000));
    let run = run_number();
    let term = Instant::now() + ms(600);
    let sent = Arc::new(Mutex::new(Vec::<Sent>::new()));
    let mut clients = Vec::new();
    // Clients on slow lines, each of which takes a second for its request. The last connects 0.36 s after
    // SIGTERM; their last bytes are written between 1.0 and 1.4 s after it.
    for number in 0..10u64 {
        let (sent, record, address) = (sent.clone(), record.clone(), proxy.address);
        let begin = term + ms(40 * number);
        let id = format!("{run:08x}{number:08x}");
        clients.push(thread::spawn(move || -> Option<()> {
            thread::sleep(begin.saturating_duration_since(Instant::now()));
            let mut client = Client::connect(address).ok()?;
            let head = format!(
                "POST /answer-submit HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n\
                 X-Tenant-Id: hogeschool-noord\r\nX-Timeout: 1.000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            );
            client.send(head.as_bytes()).ok()?;
            for piece in 0..64u32 {
                let due = begin + Duration::from_micros(15_600) * (piece + 1);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                client.send(&[b'x'; BODY_BYTES / 64]).ok()?;
            }
            let taken = Instant::now();
            record.note(format!("client: has sent {id}, {} ms after SIGTERM", ms_after(taken, term)));
            let answered = client.answer(taken + ms(DEADLINE_MS + 600)).map(|answer| answer.status);
            let answered = answered.map_err(|error| error.to_string());
            record.note(format!(
                "client: {id} is answered {answered:?}, {} ms after SIGTERM",
                ms_after(Instant::now(), term)
            ));
            lock(&sent).push(Sent { id, taken, answered });
            Some(())
        }));
    }
    thread::sleep(term.saturating_duration_since(Instant::now()));
    if proxy.has_ended() {
        return Err("the proxy has ended before SIGTERM".into());
    }
    proxy.signal("TERM")?;
    let term = Instant::now();
    record.note("platform: SIGTERM");
    thread::sleep((term + ms(KILL_MS)).saturating_duration_since(Instant::now()));
    let killed = Instant::now();
    if proxy.has_ended() {
        record.note("platform: the process had ended by itself");
    } else {
        proxy.kill();
        record.note(format!("platform: SIGKILL, {} ms after SIGTERM", ms_after(killed, term)));
    }
    for client in clients {
        let _ = client.join();
    }
    record.note(format!("log of the proxy:\n{}", proxy.log()));
    let sent = lock(&sent);
    if sent.len() < 5 {
        return Err("fewer than half of the clients have sent a whole request".into());
    }
    let lost = sent.iter().filter(|request| request.taken < killed);
    let lost = lost.filter_map(|request| {
        let why = request.answered.as_ref().err()?;
        Some(format!(
            "{}: taken {} ms after SIGTERM and never answered: {why}",
            request.id,
            ms_after(request.taken, term)
        ))
    });
    Ok(lost.collect())
}

fn ms_after(at: Instant, from: Instant) -> i128 {
    if at >= from { (at - from).as_millis() as i128 } else { -((from - at).as_millis() as i128) }
}
