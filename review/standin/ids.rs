//! A bad client sends the id of another client's open request while the proxy is upgraded.

use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::*;

/// A backend works on a submitted answer for this long: within the class's deadline of 4 s.
const WORK_MS: u64 = 1500;
const SUBMIT_TIMEOUT_S: f64 = 4.0;
/// Upgrades, one after another; in each of them a learner and a bad client.
const ROUNDS: usize = 4;

pub fn run(case: &Case) -> ! {
    let handler: Handler = Arc::new(|request, stream| {
        sleep_ms(if request.target().contains("answer-submit") { WORK_MS } else { 30 });
        stream
            .write_all(&ok(format!("answer to '{}'", String::from_utf8_lossy(&request.body)).as_bytes()))
            .is_ok()
    });
    let nodes: Vec<Backend> =
        (1..=3).map(|n| Backend::start(case, &format!("node-{n}"), handler.clone())).collect();
    let entry =
        |b: &Backend| Entry { name: b.name.clone(), address: b.address, state: "up", share: 6.0, cell: 1 };
    let discovery = Discovery::start(case, nodes.iter().map(entry).collect());
    let listen = free_address();
    let temporary = case.folder.join("tmp");
    std::fs::create_dir_all(&temporary).expect("a folder");
    let start = |round: usize| {
        let admin = free_address();
        let more = format!("\"admin\":\"{admin}\",");
        let config =
            case.file(&format!("config-{round}.json"), &platform_config(listen, discovery.address, &more));
        let proxy = Proxy::start_in(case, &format!("process-{round}"), &config, &temporary);
        case.wait_for(&format!("the yes of process-{round}"), 6, || call(admin, "ready").starts_with("200"));
        proxy
    };
    let mut proxy = start(0);
    case.wait_for("the proxy is up", 5, || is_up(listen));
    // Speeds are known.
    for n in 0..20 {
        let text = request("GET", &format!("/lesson-page/p{n}"), &new_id(), 2.0, None, b"");
        let _ = Client::new(listen).ask(&text, Duration::from_secs(3));
    }
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut judged = 0;
    for round in 1..=ROUNDS {
        let id = new_id();
        let learner = {
            let (record, id) = (case.record.clone(), id.clone());
            thread::spawn(move || {
                let text =
                    request("POST", "/answer-submit/quiz", &id, SUBMIT_TIMEOUT_S, None, b"of the learner");
                let sent = record.seconds();
                let answer = Client::new(listen).ask(&text, Duration::from_secs(5));
                let answer = answer.map(|a| (a.status, String::from_utf8_lossy(&a.body).into_owned()));
                record.line(format!("learner: {id}, sent at {sent:.3}: {answer:?}"));
                (record.seconds(), answer)
            })
        };
        case.wait_for("the learner's request is at a backend", 3, || at_nodes(&nodes, &id) == 1);
        let newer = case.trouble.then(|| start(round));
        // The old process has not even been told to end yet.
        let sent = case.record.seconds();
        let text = request("POST", "/answer-submit/quiz", &id, SUBMIT_TIMEOUT_S, None, b"of the bad client");
        let answer = Client::new(listen).ask(&text, Duration::from_secs(5));
        let answer = answer.map(|a| (a.status, String::from_utf8_lossy(&a.body).into_owned()));
        case.record.line(format!("bad client: {id}, sent at {sent:.3}: {answer:?}"));
        let (learner_ended, of_learner) = learner.join().expect("the learner ends");
        if !matches!(&of_learner, Ok((200, _))) {
            case.record.line("the learner was not served; this round is not judged");
        } else if sent + 0.2 < learner_ended {
            judged += 1;
            if matches!(&answer, Ok((200, _))) {
                broken.lock().unwrap().push(format!(
                    "{id} was open from before {sent:.3} to {learner_ended:.3}; a bad client that sent it at {sent:.3} was \
                     served: {answer:?}; it ran {} times",
                    at_nodes(&nodes, &id)
                ));
            }
        }
        if let Some(newer) = newer {
            proxy.signal("TERM");
            case.wait_for("the end of the process before", 8, || !proxy.runs());
            proxy = newer;
        }
        sleep_ms(300);
    }
    if !proxy.runs() {
        case.cannot_run("the proxy has ended");
    }
    if judged < ROUNDS / 2 {
        case.cannot_run("too few rounds in which the id was open");
    }
    let broken = broken.lock().unwrap().clone();
    case.finish(&broken)
}

/// How often a request has come to a backend.
fn at_nodes(nodes: &[Backend], id: &str) -> usize {
    nodes.iter().flat_map(|node| node.since(0.0)).filter(|r| r.id() == id).count()
}
