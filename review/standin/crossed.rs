//! Some of one backend's answers come twice, the second some milliseconds after the first.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::*;

/// A backend takes this long for a request.
const WORK_MS: u64 = 80;
/// Of one backend's answers, one of this many comes a second time ...
const ONE_OF: usize = 20;
/// ... this long after the first.
const LATER_MS: u64 = 14;
/// The way to a backend and back takes this long each.
const ONE_WAY_MS: u64 = 4;
/// Requests of the learner who is early.
const EARLY: usize = 6;
const CLIENTS: usize = 8;
const REQUESTS: usize = 40;

pub fn run(case: &Case) -> ! {
    let doubled = Arc::new(AtomicUsize::new(0));
    let nodes: Vec<Backend> = (1..=3)
        .map(|n| {
            let (record, doubled, trouble) = (case.record.clone(), doubled.clone(), case.trouble);
            let count = AtomicUsize::new(0);
            let handler: Handler = Arc::new(move |request, stream| {
                sleep_ms(WORK_MS);
                let answer = ok(reply(&request.body).as_bytes());
                let written = stream.write_all(&answer).is_ok();
                let number = count.fetch_add(1, Ordering::Relaxed);
                if trouble && number >= 20 && number % ONE_OF == 0 {
                    let (stream, record) = (stream.try_clone().expect("a socket"), record.clone());
                    let (request, doubled) = (request.clone(), doubled.clone());
                    thread::spawn(move || send_again(n, &request, stream, &answer, &record, &doubled));
                }
                written
            });
            Backend::start(case, &format!("gent-node-{n}"), handler)
        })
        .collect();
    // The backends stand in another data centre, gent.
    let list = nodes.iter().map(|b| {
        let address = way(b.address, Duration::from_millis(ONE_WAY_MS));
        Entry { name: b.name.clone(), address, state: "up", share: 0.9, cell: 1 }
    });
    let discovery = Discovery::start(case, list.collect());
    let listen = free_address();
    let config = case.file("config.json", &platform_config(listen, discovery.address, ""));
    let mut proxy = Proxy::start(case, "n1", &config);
    case.wait_for("the proxy is up", 20, || is_up(listen));

    // A learner who is early asks again and again for a slot that has gone.
    let mut early = Client::new(listen);
    for _ in 0..EARLY {
        let (id, wish) = (new_id(), "learner early wishes slot 0");
        let text = request("POST", "/tutor-booking/slot?sid=early", &id, 1.9, Some(&id), wish.as_bytes());
        let status = early.ask(&text, Duration::from_secs(4)).map(|answer| answer.status);
        case.record.line(format!("early client: {id} '{wish}': {status:?}"));
        sleep_ms(300);
    }

    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let counts: Arc<Mutex<[usize; 3]>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (broken, counts, record) = (broken.clone(), counts.clone(), case.record.clone());
            thread::spawn(move || {
                let mut client = Client::new(listen);
                for n in 0..REQUESTS {
                    let wish = format!("learner {c} wishes slot {}", n + 1);
                    let id = new_id();
                    let target = format!("/tutor-booking/slot?sid={c}");
                    let text = request("POST", &target, &id, 1.9, Some(&id), wish.as_bytes());
                    let answer = client.ask(&text, Duration::from_secs(4));
                    let right = reply(wish.as_bytes());
                    match answer {
                        Ok(answer) => {
                            let body = String::from_utf8_lossy(&answer.body).into_owned();
                            let kind = if answer.status == 200 { 0 } else { 1 };
                            counts.lock().unwrap()[kind] += 1;
                            record.line(format!("client {c}: {id} '{wish}': {} '{body}'", answer.status));
                            if answer.status == 200 && body != right {
                                broken.lock().unwrap().push(format!(
                                    "{id} '{wish}': its backend's answer is '{right}', and it was told '{body}'"
                                ));
                            }
                        }
                        Err(e) => {
                            counts.lock().unwrap()[2] += 1;
                            record.line(format!("client {c}: {id} '{wish}': {e}"));
                        }
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let [served, other, none] = *counts.lock().unwrap();
    let doubled = doubled.load(Ordering::Relaxed);
    case.record.line(format!(
        "{served} served, {other} refused or failed, {none} without an answer, {doubled} came twice"
    ));
    if !proxy.runs() {
        case.cannot_run("the proxy has ended");
    }
    let broken = broken.lock().unwrap().clone();
    case.finish(&broken)
}

/// Sends an answer a second time, unless another request has come on its connection meanwhile.
fn send_again(
    node: usize, request: &Request, mut stream: TcpStream, answer: &[u8], record: &Record,
    doubled: &AtomicUsize,
) {
    sleep_ms(LATER_MS);
    let (id, connection) = (request.id(), request.connection);
    if request.come.load(Ordering::SeqCst) != request.on_connection + 1 {
        return record.line(format!("gent-node-{node}: no second answer to {id}: another request has come"));
    }
    let sent = stream.write_all(answer).is_ok();
    doubled.fetch_add(1, Ordering::Relaxed);
    record
        .line(format!("gent-node-{node}: the answer to {id} once more on connection {connection} ({sent})"));
}

/// A backend's answer to a booking: depends on the request alone. About every fourth slot has gone, and
/// those answers are alike.
fn reply(wish: &[u8]) -> String {
    let text = String::from_utf8_lossy(wish);
    let mut words = text.split(' ');
    let (learner, slot) = (words.nth(1).unwrap_or(""), words.nth(2).unwrap_or(""));
    let number = |text: &str| text.bytes().fold(7u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b)));
    if slot == "0" || (number(learner) + 5 * number(slot)).is_multiple_of(4) {
        "this slot has gone".into()
    } else {
        format!("learner {learner} has slot {slot}")
    }
}
