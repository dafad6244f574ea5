//! A class hands in its work over slow lines: bodies of 64,000 bytes at 64 kB a second, in small pieces.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// Learners who hand in their work at once.
const LEARNERS: usize = 40;
/// Bytes of a body: less than 64 KiB, and at 64 kB a second it takes one second.
const BODY_BYTES: usize = 64_000;
/// Bytes of a piece, and the time from one piece to the next: 64 kB a second.
const PIECE_BYTES: usize = 48;
const PIECE_EVERY: Duration = Duration::from_micros(750);
/// Learners that one thread writes for.
const PER_THREAD: usize = 10;
/// The memory limit that the configuration tells.
const MEMORY_MB: u64 = 96;
/// Other learners, who send small requests one after another, whole.
const OTHERS: usize = 6;

pub fn run(case: &Case) -> ! {
    let handler: Handler = Arc::new(|request, stream| {
        sleep_ms(100);
        stream.write_all(&ok(format!("got {} bytes", request.body.len()).as_bytes())).is_ok()
    });
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
    let listen = free_address();
    let config = platform_config(listen, discovery.address, "");
    let config = config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let config = case.file("config.json", &config);
    let proxy = Proxy::start(case, "n1", &config);
    let pid = proxy.id();
    let proxy = Arc::new(Mutex::new(proxy));
    case.wait_for("the proxy is up", 20, || is_up(listen));
    let platform = Platform::start(case, pid, proxy.clone());
    let stop: Arc<AtomicBool> = Arc::default();
    let others: Vec<_> = (0..OTHERS)
        .map(|n| {
            let (record, stop) = (case.record.clone(), stop.clone());
            thread::spawn(move || ask_on(listen, n, &record, &stop))
        })
        .collect();
    sleep_ms(500);
    let learners: Vec<_> = (0..LEARNERS / PER_THREAD)
        .map(|_| {
            let (record, trouble) = (case.record.clone(), case.trouble);
            thread::spawn(move || hand_in(listen, &record, trouble))
        })
        .collect();
    let unanswered: usize = learners.into_iter().map(|l| l.join().unwrap_or(PER_THREAD)).sum();
    stop.store(true, Ordering::SeqCst);
    let cut: usize = others.into_iter().map(|o| o.join().unwrap_or(1)).sum();
    platform.stop.store(true, Ordering::SeqCst);
    let most = platform.most.load(Ordering::SeqCst) as f64 / 1_048_576.0;
    case.record.line(format!("the proxy's memory: {most:.1} MB at most; the limit: {MEMORY_MB} MB"));
    case.record.line(format!("{unanswered} of {LEARNERS} who handed in got no answer, {cut} of the others"));
    if most == 0.0 {
        case.cannot_run("the system tells no memory of the proxy");
    }
    let mut broken = Vec::new();
    if platform.killed.load(Ordering::SeqCst) {
        broken.push(format!(
            "the proxy took {most:.1} MB, over its limit of {MEMORY_MB} MB, and was killed for it; {} requests that it held got no answer",
            unanswered + cut
        ));
    } else if proxy.lock().unwrap().was_ended_from_outside() {
        case.cannot_run("the proxy was ended from outside");
    } else if !proxy.lock().unwrap().runs() {
        broken.push("the proxy ended".to_owned());
    } else if unanswered == LEARNERS {
        case.cannot_run("nobody who handed in got an answer");
    }
    case.finish(&broken)
}

/// The platform: looks at the proxy's memory, and kills it once that is over the limit.
struct Platform {
    most: Arc<AtomicU64>,
    killed: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

impl Platform {
    fn start(case: &Case, pid: u32, proxy: Arc<Mutex<Proxy>>) -> Self {
        let platform = Platform { most: Arc::default(), killed: Arc::default(), stop: Arc::default() };
        let (most, killed, stop) = (platform.most.clone(), platform.killed.clone(), platform.stop.clone());
        let record = case.record.clone();
        thread::spawn(move || {
            let mut noted = 0;
            while !stop.load(Ordering::SeqCst) {
                let used = memory(pid);
                most.fetch_max(used, Ordering::SeqCst);
                if used > noted + (8 << 20) {
                    noted = used;
                    record.line(format!("platform: the proxy takes {:.1} MB", used as f64 / 1_048_576.0));
                }
                if used > MEMORY_MB << 20 {
                    record.line(format!("platform: over {MEMORY_MB} MB, the proxy is killed"));
                    killed.store(true, Ordering::SeqCst);
                    return proxy.lock().unwrap().kill();
                }
                sleep_ms(10);
            }
        });
        platform
    }
}

/// Bytes of memory that a process holds for itself alone, without the pages of its program file.
fn memory(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("RssAnon:"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// Hands in the work of [`PER_THREAD`] learners; returns how many got no answer.
fn hand_in(proxy: SocketAddr, record: &Record, trouble: bool) -> usize {
    let body: Vec<u8> = (0..BODY_BYTES).map(|n| b'a' + (n % 26) as u8).collect();
    let mut learners: Vec<(String, Wire)> = Vec::new();
    for _ in 0..PER_THREAD {
        let id = new_id();
        let Ok(mut wire) = Wire::connect(proxy) else { return PER_THREAD };
        let text = request("POST", "/answer-submit/course", &id, 4.0, None, &body);
        let _ = wire.stream.write_all(&text[..text.len() - body.len()]);
        record.line(format!("learner: {id}: head sent, {BODY_BYTES} bytes to follow"));
        learners.push((id, wire));
    }
    let began = Instant::now();
    if trouble {
        let mut next = Instant::now();
        for piece in body.chunks(PIECE_BYTES) {
            next += PIECE_EVERY;
            thread::sleep(next.saturating_duration_since(Instant::now()));
            learners.iter_mut().for_each(|(_, wire)| drop(wire.stream.write_all(piece)));
        }
    } else {
        thread::sleep(PIECE_EVERY * (BODY_BYTES / PIECE_BYTES) as u32);
        learners.iter_mut().for_each(|(_, wire)| drop(wire.stream.write_all(&body)));
    }
    record.line(format!("learners: {PER_THREAD} bodies sent in {:.3} s", began.elapsed().as_secs_f64()));
    let mut unanswered = 0;
    for (id, mut wire) in learners {
        let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(5)));
        match wire.head() {
            Ok(Some(head)) => record.line(format!("learner: {id}: {}", head.first)),
            other => {
                unanswered += 1;
                record.line(format!("learner: {id}: no answer ({:?})", other.err()));
            }
        }
    }
    unanswered
}

/// Sends small requests one after another; returns 1 if one that was sent got no answer.
fn ask_on(proxy: SocketAddr, n: usize, record: &Record, stop: &AtomicBool) -> usize {
    let mut client = Client::new(proxy);
    while !stop.load(Ordering::SeqCst) {
        let id = new_id();
        let text = request("POST", &format!("/answer-submit/quiz{n}"), &id, 4.0, None, b"2+2=4");
        match client.ask(&text, Duration::from_secs(5)) {
            Ok(answer) => record.line(format!("other learner: {id}: {}", answer.status)),
            Err(e) => {
                record.line(format!("other learner: {id}: no answer ({e})"));
                return 1;
            }
        }
    }
    0
}
