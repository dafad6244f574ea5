//! A backend sends the head of a long answer, and takes most of a second for the rest. Not a case of its own.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::*;

/// Bytes of an answer: more than 64 KiB.
const ANSWER_BYTES: usize = 1_000_000;
/// Time between the head and the first bytes of the body.
const PAUSE_MS: u64 = 800;
const LEARNERS: usize = 6;

pub fn run(case: &Case) -> ! {
    let trouble = case.trouble;
    let handler: Handler = Arc::new(move |request, stream| {
        sleep_ms(100);
        let answer = ok(&vec![b'x'; ANSWER_BYTES]);
        let head = answer.len() - ANSWER_BYTES;
        let _ = request;
        if trouble {
            let sent = stream.write_all(&answer[..head]).is_ok();
            sleep_ms(PAUSE_MS);
            return sent && stream.write_all(&answer[head..]).is_ok();
        }
        sleep_ms(PAUSE_MS);
        stream.write_all(&answer).is_ok()
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
    let config = case.file("config.json", &platform_config(listen, discovery.address, ""));
    let mut proxy = Proxy::start(case, "n1", &config);
    case.wait_for("the proxy is up", 20, || is_up(listen));
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let learners: Vec<_> = (0..LEARNERS)
        .map(|n| {
            let (broken, record) = (broken.clone(), case.record.clone());
            thread::spawn(move || {
                let id = new_id();
                let text = request("POST", &format!("/answer-submit/{n}"), &id, 4.0, None, b"2+2=4");
                let answer = Client::new(listen).ask(&text, Duration::from_secs(6));
                let how = answer.map(|a| (a.status, a.body.len()));
                record.line(format!("client: {id}: {how:?}"));
                if !matches!(how, Ok((200, ANSWER_BYTES))) {
                    broken
                        .lock()
                        .unwrap()
                        .push(format!("{id}: its backend gave {ANSWER_BYTES} bytes, it got {how:?}"));
                }
            })
        })
        .collect();
    learners.into_iter().for_each(|l| drop(l.join()));
    if !proxy.runs() {
        case.cannot_run("the proxy has ended");
    }
    let broken = broken.lock().unwrap().clone();
    case.finish(&broken)
}
