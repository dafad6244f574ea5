//! Three of five proxies are killed at once, the voters among them, after a backend was drained by hand. One of them is
//! started again at once, the others some seconds later.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::common::*;

/// Five proxies, of which the first three vote and are killed: three in five. The page allows seven in ten.
const GATES: usize = 5;
const VOTERS: usize = 3;
const NODES: usize = 3;
/// Time after which a drain that a proxy was told of has to be kept: the grace of the deployment and 50 ms.
const GRACE_S: f64 = 0.55;
/// The first killed proxy is started again after this time, the others after that time.
const FIRST_BACK_MS: u64 = 500;
const OTHERS_BACK_MS: u64 = 8_000;
/// The version in force after all changes.
const LAST_VERSION: &str = "8";
/// Learners that read pages at each proxy.
const LEARNERS: usize = 4;
const CLASSES: &str = "[[class]]\nname = \"lesson-page\"\neffect = \"safe\"\naim_ms = 810\ndeadline_ms = 2000\nworth = 3\n\
    [[class]]\nname = \"answer-submit\"\neffect = \"unsafe\"\naim_ms = 1600\ndeadline_ms = 4000\nworth = 3\n\
    [limits]\nmax_attempts = 6\ndial_timeout_ms = 120\nidle_close_ms = 30000\n\
    [cold]\nstart_capacity = 0.3\nwarm_ms = 8700\nfall_multiple = 2.5\nfall_ms = 1500\n";

pub fn run(case: &Case) -> ! {
    let handler: Handler = Arc::new(|request, stream| {
        use std::io::Write;
        sleep_ms(60);
        stream.write_all(&ok(format!("answer to {}", request.id()).as_bytes())).is_ok()
    });
    let nodes: Vec<Backend> =
        (1..=NODES).map(|n| Backend::start(case, &format!("node-{n}"), handler.clone())).collect();
    case.file("fleet.key", &"5a".repeat(32));
    let fleet_at: Vec<SocketAddr> = (0..GATES).map(|_| free_address()).collect();
    let clients_at: Vec<SocketAddr> = (0..GATES).map(|_| free_address()).collect();
    let (mut voters, mut backends) = (String::new(), String::new());
    for (n, address) in fleet_at.iter().enumerate().take(VOTERS) {
        let _ = write!(voters, "[[voter]]\nname = \"gate-{}\"\naddress = \"{address}\"\n", n + 1);
    }
    for b in &nodes {
        let _ = write!(
            backends,
            "[[backend]]\nname = \"{}\"\naddress = \"{}\"\ncell = 1\nshare = 2\n",
            b.name, b.address
        );
    }
    // As docs/fleet.md sets a fleet up, with 'keep' on every proxy.
    let settings: Vec<PathBuf> = (0..GATES)
        .map(|n| {
            let name = format!("gate-{}", n + 1);
            let store = if n < VOTERS {
                format!("store = {:?}\n", case.folder.join(format!("{name}.redb")))
            } else {
                String::new()
            };
            let text = format!(
                "[proxy]\nname = \"{name}\"\nlisten = \"{}\"\n[fleet]\nlisten = \"{}\"\nkey = {:?}\nkeep = {:?}\n\
                 header = \"X-Rules-Version\"\n{store}{voters}{backends}{CLASSES}",
                clients_at[n],
                fleet_at[n],
                case.folder.join("fleet.key"),
                case.folder.join(format!("{name}.kept")),
            );
            case.file(&format!("{name}.toml"), &text)
        })
        .collect();
    let rules = case.file("rules.toml", &format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{backends}{CLASSES}"));
    for file in &settings[..VOTERS] {
        fleet_ok(case, file, &["found"]);
    }
    let mut gates: Vec<Proxy> =
        (0..GATES).map(|n| Proxy::start(case, &format!("gate-{}", n + 1), &settings[n])).collect();
    fleet_ok(case, &settings[0], &["publish", &rules.to_string_lossy(), "--why", "term begins"]);
    for (n, at) in clients_at.iter().enumerate() {
        case.wait_for(&format!("gate-{} serves", n + 1), 20, || serves(*at));
    }
    // Some days pass; as in any fleet, the voters have been restarted since, one after another, by plan.
    for n in 0..VOTERS {
        gates[n].signal("TERM");
        case.wait_for(&format!("gate-{} has ended", n + 1), 10, || !gates[n].runs());
        gates[n] = Proxy::start(case, &format!("gate-{}", n + 1), &settings[n]);
        let at = clients_at[n];
        case.wait_for(&format!("gate-{} serves again", n + 1), 20, || serves(at));
        sleep_ms(1000);
    }
    fleet_ok(case, &settings[0], &["drain", "node-2"]);
    // Other changes follow on other days.
    for _ in 0..3 {
        sleep_ms(300);
        fleet_ok(case, &settings[0], &["drain", "node-3"]);
        sleep_ms(300);
        fleet_ok(case, &settings[0], &["undrain", "node-3"]);
    }
    fleet_ok(case, &settings[0], &["wait", LAST_VERSION]);
    let limit = case.record.seconds() + GRACE_S;
    case.record.line(format!(
        "all proxies act on version {LAST_VERSION}; from {limit:.3} on nothing may go to node-2"
    ));
    let stop: Arc<AtomicBool> = Arc::default();
    let learners: Vec<_> = (0..GATES * LEARNERS)
        .map(|k| {
            let (gate, at) = (k % GATES + 1, clients_at[k % GATES]);
            let (record, stop) = (case.record.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(at);
                let mut sent: Vec<(String, usize, bool)> = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id();
                    let text = request("GET", &format!("/lesson-page/p{k}"), &id, 2.0, None, b"");
                    let answer = client.ask(&text, Duration::from_secs(3)).map(|answer| answer.status);
                    record.line(format!("client: {id} by gate-{gate}: {answer:?}"));
                    sent.push((id, gate, answer.is_ok_and(|status| status == 200)));
                    sleep_ms(80);
                }
                sent
            })
        })
        .collect();
    sleep_ms(3000);
    if case.trouble {
        case.record.line("gate-1, gate-2 and gate-3 are killed at once");
        gates[..VOTERS].iter().for_each(|gate| gate.signal("KILL"));
        gates[..VOTERS].iter_mut().for_each(Proxy::kill);
        sleep_ms(FIRST_BACK_MS);
        gates[0] = Proxy::start(case, "gate-1", &settings[0]);
        sleep_ms(OTHERS_BACK_MS - FIRST_BACK_MS);
        for n in 1..VOTERS {
            gates[n] = Proxy::start(case, &format!("gate-{}", n + 1), &settings[n]);
        }
        sleep_ms(4000);
    } else {
        sleep_ms(OTHERS_BACK_MS + 4000);
    }
    stop.store(true, Ordering::SeqCst);
    let sent: Vec<(String, usize, bool)> =
        learners.into_iter().filter_map(|learner| learner.join().ok()).flatten().collect();
    fleet(case, &settings[0], &["status"]);
    fleet(case, &settings[0], &["history"]);
    if gates.iter_mut().any(|gate| !gate.runs()) {
        case.cannot_run("a proxy has ended");
    }
    for gate in 1..=GATES {
        let all = sent.iter().filter(|(_, g, _)| *g == gate).count();
        let served = sent.iter().filter(|(_, g, served)| *g == gate && *served).count();
        case.record.line(format!("client: {served} of {all} served by gate-{gate}"));
    }
    let broken: Vec<String> = nodes[1]
        .since(limit)
        .iter()
        .map(|r| {
            let by = sent.iter().find(|(id, ..)| id == r.id()).map_or(0, |(_, gate, _)| *gate);
            let version = r.head.get("x-rules-version").unwrap_or("none");
            format!(
                "node-2 is drained by hand, and got {} from gate-{by} at {:.3} s, under version {version}",
                r.id(),
                r.at
            )
        })
        .collect();
    case.finish(&broken)
}

/// Whether a request that needs a lease on the agreed rules is served.
fn serves(at: SocketAddr) -> bool {
    let text = request("POST", "/answer-submit/x", &new_id(), 4.0, None, b"2+2=4");
    Client::new(at).ask(&text, Duration::from_secs(5)).is_ok_and(|answer| answer.status == 200)
}
