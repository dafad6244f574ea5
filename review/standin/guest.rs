//! A proxy is upgraded by hand and taken out by the fleet at once. Not a case of its own.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::*;

const GATES: usize = 4;
/// The last proxy is no voter.
const VOTERS: usize = 3;
/// The newer process serves for this long before the older one is told to end.
const BY_HAND_MS: u64 = 3500;
const LEARNERS: usize = 5;

pub fn run(case: &Case) -> ! {
    let handler: Handler = Arc::new(|request, stream| {
        use std::io::Write;
        sleep_ms(900);
        stream.write_all(&ok(format!("answer to {}", request.id()).as_bytes())).is_ok()
    });
    let nodes: Vec<Backend> =
        (1..=3).map(|n| Backend::start(case, &format!("node-{n}"), handler.clone())).collect();
    case.file("fleet.key", &"5a".repeat(32));
    let fleet_at: Vec<SocketAddr> = (0..GATES).map(|_| free_address()).collect();
    let clients_at: Vec<SocketAddr> = (0..GATES).map(|_| free_address()).collect();
    let (mut voters, mut rules) = (String::new(), String::new());
    for (n, address) in fleet_at.iter().enumerate().take(VOTERS) {
        let _ = write!(voters, "[[voter]]\nname = \"gate-{}\"\naddress = \"{address}\"\n", n + 1);
    }
    for b in &nodes {
        let _ = write!(
            rules,
            "[[backend]]\nname = \"{}\"\naddress = \"{}\"\ncell = 1\nshare = 6\n",
            b.name, b.address
        );
    }
    rules += "[[class]]\nname = \"lesson-page\"\neffect = \"safe\"\naim_ms = 810\ndeadline_ms = 2000\n\
        [[class]]\nname = \"answer-submit\"\neffect = \"unsafe\"\naim_ms = 1600\ndeadline_ms = 4000\n";
    let write_settings = |n: usize, admin: SocketAddr, file: &str| -> PathBuf {
        let name = format!("gate-{}", n + 1);
        let own = format!(
            "[proxy]\nname = \"{name}\"\nlisten = \"{}\"\nadmin = \"{admin}\"\nupgrade = {:?}\n\
             [fleet]\nlisten = \"{}\"\nkey = {:?}\nstore = {:?}\n{voters}{rules}",
            clients_at[n],
            case.folder.join(format!("tmp-{name}")),
            fleet_at[n],
            case.folder.join("fleet.key"),
            case.folder.join(format!("{name}.redb")),
        );
        case.file(file, &own)
    };
    let settings: Vec<PathBuf> =
        (0..GATES).map(|n| write_settings(n, free_address(), &format!("gate-{}.toml", n + 1))).collect();
    let rules = case.file("rules.toml", &format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{rules}"));
    for file in &settings[..VOTERS] {
        fleet_ok(case, file, &["found"]);
    }
    let gates: Vec<Proxy> =
        (0..GATES).map(|n| Proxy::start(case, &format!("gate-{}", n + 1), &settings[n])).collect();
    fleet_ok(case, &settings[0], &["publish", &rules.to_string_lossy(), "--why", "term begins"]);
    let last = clients_at[GATES - 1];
    case.wait_for("gate-4 serves", 20, || submit(last, &new_id()).is_ok_and(|status| status == 200));
    fleet_ok(case, &settings[0], &["budget", "--set", "proxy:fleet:1", "--why", "term begins"]);
    sleep_ms(4000);
    let newer = case.trouble.then(|| {
        let admin = free_address();
        let file = write_settings(GATES - 1, admin, "gate-4-newer.toml");
        let newer = Proxy::start(case, "gate-4", &file);
        case.wait_for("the newer process's yes", 6, || call(admin, "ready").starts_with("200"));
        newer
    });
    sleep_ms(1000);
    // Learners open a connection for each request, as the front deals them out while '/up' says yes.
    let stop: Arc<AtomicBool> = Arc::default();
    type Spans = Arc<Mutex<Vec<(f64, f64, String)>>>;
    let spans: Spans = Arc::default();
    let learners: Vec<_> = (0..LEARNERS)
        .map(|k| {
            let (record, stop, spans) = (case.record.clone(), stop.clone(), spans.clone());
            thread::spawn(move || {
                sleep_ms(k as u64 * 170);
                while !stop.load(Ordering::SeqCst) {
                    if !is_up(last) {
                        sleep_ms(100);
                        continue;
                    }
                    let (id, from) = (new_id(), record.seconds());
                    let answer = submit(last, &id);
                    record.line(format!("client: {id} by gate-4, sent at {from:.3}: {answer:?}"));
                    spans.lock().unwrap().push((from, record.seconds(), id));
                    sleep_ms(if answer.is_ok_and(|status| status == 200) { 20 } else { 200 });
                }
            })
        })
        .collect();
    sleep_ms(500);
    let out = fleet(case, &settings[0], &["out", "proxy:gate-4", "--wait", "--patience", "6"]);
    let empty_at = case.record.seconds();
    let up = is_up(last);
    case.record.line(format!("'/up' of gate-4 says {}", if up { "yes" } else { "no" }));
    sleep_ms(BY_HAND_MS - 2500);
    stop.store(true, Ordering::SeqCst);
    learners.into_iter().for_each(|learner| drop(learner.join()));
    if newer.is_some() {
        gates[GATES - 1].signal("TERM");
    }
    let mut broken: Vec<String> = Vec::new();
    if out.status.success() {
        for (from, to, id) in spans.lock().unwrap().iter() {
            if *from < empty_at - 0.3 && *to > empty_at + 0.05 {
                broken.push(format!(
                    "gate-4 was called empty at {empty_at:.3} and held {id} from {from:.3} to {to:.3}"
                ));
            }
        }
    }
    case.finish(&broken)
}

fn submit(at: SocketAddr, id: &str) -> std::io::Result<u16> {
    let text = request("POST", "/answer-submit/x", id, 4.0, None, b"2+2=4");
    Ok(Client::new(at).ask(&text, Duration::from_secs(5))?.status)
}
