//! The first answer of a process comes a second time, and a request that must not run twice then runs at two backends.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// A backend takes this long for a request.
const WORK_MS: u64 = 80;
/// The way to a backend and back takes this long each.
const ONE_WAY_MS: u64 = 4;
/// The second answer comes this long after the first.
const LATER_MS: u64 = 14;
/// The first backend is busy with other proxies' requests for this long after its first answer.
const BUSY_MS: u64 = 1000;
const PAGE_TIMEOUT_S: f64 = 0.7;
const SUBMIT_TIMEOUT_S: f64 = 4.0;
const BOOKING_TIMEOUT_S: f64 = 1.9;
/// The learner reads for this long before the submits.
const READ_MS: u64 = 350;
const SUBMITS: usize = 3;
const PROCESSES: usize = 6;

/// Where each request ran.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// A backend that works on a connection's requests one after another, lets them wait while it is busy, and turns away
/// those whose time is over by then. With `spoils` its answer to the first page comes twice.
fn node(case: &Case, name: String, spoils: bool, runs: &Runs) -> Backend {
    let (record, runs, own) = (case.record.clone(), runs.clone(), name.clone());
    let busy_until: Mutex<Option<Instant>> = Mutex::default();
    let handler: Handler = Arc::new(move |request, stream| {
        let id = request.id().to_owned();
        let timeout = request.head.get("x-timeout").and_then(|v| v.parse().ok()).unwrap_or(1.0);
        let over = Instant::now() + Duration::from_secs_f64(timeout);
        while busy_until.lock().unwrap().is_some_and(|until| Instant::now() < until) {
            if Instant::now() >= over {
                record.line(format!("{own}: turns {id} away, whose time is over"));
                let text = b"HTTP/1.1 504 Gateway Timeout\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                return stream.write_all(text).is_ok();
            }
            sleep_ms(5);
        }
        record.line(format!("{own}: RUNS {id}"));
        runs.lock().unwrap().entry(id.clone()).or_default().push(own.clone());
        sleep_ms(WORK_MS);
        let answer = ok(format!("answer to {id}").as_bytes());
        let written = stream.write_all(&answer).is_ok();
        record.line(format!("{own}: answers {id}"));
        if id.ends_with("-page-1") {
            *busy_until.lock().unwrap() = Some(Instant::now() + Duration::from_millis(BUSY_MS));
            if spoils {
                let (own, record, request) = (own.clone(), record.clone(), request.clone());
                let stream = stream.try_clone().expect("a socket");
                thread::spawn(move || send_again(&own, &request, stream, &answer, &record));
            }
        }
        written
    });
    Backend::start(case, &name, handler)
}

/// Sends an answer a second time, unless another request has come on its connection meanwhile.
fn send_again(own: &str, request: &Request, mut stream: TcpStream, answer: &[u8], record: &Record) {
    sleep_ms(LATER_MS);
    if request.come.load(Ordering::SeqCst) != request.on_connection + 1 {
        return record.line(format!("{own}: no second answer to {}: another request has come", request.id()));
    }
    let sent = stream.write_all(answer).is_ok();
    record.line(format!("{own}: answers {} a second time ({sent})", request.id()));
}

pub fn run(case: &Case) -> ! {
    let runs: Runs = Arc::default();
    let (mut foreign, mut submits) = (0, Vec::new());
    for process in 1..=PROCESSES {
        let first = node(case, format!("gent-node-{process}a"), case.trouble, &runs);
        let second = node(case, format!("gent-node-{process}b"), false, &runs);
        let entry = |b: &Backend, cell: u32| {
            let address = way(b.address, Duration::from_millis(ONE_WAY_MS));
            Entry { name: b.name.clone(), address, state: "up", share: 2.0, cell }
        };
        let (a, b) = (entry(&first, 1), entry(&second, 2));
        let discovery = Discovery::start(case, vec![a.clone()]);
        let listen = free_address();
        let name = format!("n{process}");
        let seed = format!("51ab{process:04x}");
        let config =
            platform_config(listen, discovery.address, "").replace("\"51ab\"", &format!("\"{seed}\""));
        let config = case.file(&format!("{name}.json"), &config);
        let mut proxy = Proxy::start(case, &name, &config);
        case.wait_for("the proxy is up", 20, || is_up(listen));

        // A learner opens two pages, one after the other; then another backend joins.
        let mut learner = Client::new(listen);
        for page in 1..=2 {
            let id = format!("p{process}-page-{page}");
            let text =
                request("GET", &format!("/lesson-page/{page}?sid={page}"), &id, PAGE_TIMEOUT_S, None, b"");
            foreign += usize::from(ask(case, &mut learner, &id, &text));
        }
        discovery.tell(vec![a, b]);
        sleep_ms(READ_MS);
        // Learners submit answers (unsafe), or book sessions (keyed, repeats dropped within a cell), each on a connection
        // of its own.
        let books = process % 2 == 0;
        let clients: Vec<_> = (1..=SUBMITS)
            .map(|n| {
                let id = format!("p{process}-{}-{n}", if books { "booking" } else { "submit" });
                submits.push(id.clone());
                let text = match books {
                    true => request("POST", "/tutor-booking/7", &id, BOOKING_TIMEOUT_S, Some(&id), b"monday"),
                    false => request("POST", "/answer-submit/7", &id, SUBMIT_TIMEOUT_S, None, b"2+2=4"),
                };
                let record = case.record.clone();
                thread::spawn(move || {
                    let answer = Client::new(listen).ask(&text, Duration::from_secs(6));
                    let answer = answer.map(|a| format!("{} {}", a.status, String::from_utf8_lossy(&a.body)));
                    record.line(format!("client: {id}: {answer:?}"));
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
        sleep_ms(BUSY_MS + 300);
        if !proxy.runs() {
            case.cannot_run("a proxy has ended");
        }
        proxy.kill();
    }
    let runs = runs.lock().unwrap();
    let ran = submits.iter().filter(|id| runs.contains_key(*id)).count();
    case.record
        .line(format!("{ran} of {} unsafe and keyed requests ran; {foreign} foreign answers", submits.len()));
    if ran * 2 < submits.len() {
        case.cannot_run("under half of the requests ran");
    }
    let broken: Vec<String> = submits
        .iter()
        .filter_map(|id| Some((id, runs.get(id).filter(|at| at.len() > 1)?)))
        .map(|(id, at)| {
            let what = if id.contains("booking") { "keyed, in two cells" } else { "unsafe" };
            format!("{id} ({what}) ran {} times: at {}", at.len(), at.join(" and "))
        })
        .collect();
    case.finish(&broken)
}

/// Asks for a page and tells whether the answer was made for another request.
fn ask(case: &Case, client: &mut Client, id: &str, text: &[u8]) -> bool {
    match client.ask(text, Duration::from_secs(3)) {
        Ok(answer) => {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let is_foreign = answer.status == 200 && body != format!("answer to {id}");
            let mark = if is_foreign { ", made for another request" } else { "" };
            case.record.line(format!("client: {id}: {} '{body}'{mark}", answer.status));
            is_foreign
        }
        Err(e) => {
            case.record.line(format!("client: {id}: {e}"));
            false
        }
    }
}
