//! A backend is drained by hand in a fleet whose backends come from discovery; then three of four proxies are killed
//! and started again, one after another.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::common::*;

/// Time after which a drain that a proxy was told of has to be kept: the grace of the deployment and 50 ms.
const GRACE_S: f64 = 0.55;
const NODES: usize = 3;
/// Four proxies, so that one of them is a quarter; the first three vote, all but the first are restarted.
const GATES: usize = 4;
const VOTERS: usize = 3;
/// The last of three restarts comes over 8.1 s after the first.
const BETWEEN_RESTARTS_MS: u64 = 4_100;
/// The way from one proxy to another takes this long.
const ONE_WAY_MS: u64 = 4;
/// Learners that ask at each proxy at once.
const LEARNERS: usize = 6;
/// A backend works on a submitted answer for this long.
const SUBMIT_MS: u64 = 180;
/// Rounds of requests at the end; in the last third the drained backend is off.
const ROUNDS: usize = 30;
const CLASSES: &str = "[[class]]\nname = \"lesson-page\"\neffect = \"safe\"\naim_ms = 810\ndeadline_ms = 2000\nworth = 3\n\
    [[class]]\nname = \"answer-submit\"\neffect = \"unsafe\"\naim_ms = 1600\ndeadline_ms = 4000\nworth = 3\n\
    [limits]\nmax_attempts = 6\ndial_timeout_ms = 120\nidle_close_ms = 30000\n\
    [cold]\nstart_capacity = 0.3\nwarm_ms = 8700\nfall_multiple = 2.5\nfall_ms = 1500\n";

pub fn run(case: &Case) -> ! {
    let handler: Handler = Arc::new(|request, stream| {
        use std::io::Write;
        sleep_ms(if request.target().contains("quiz") { SUBMIT_MS } else { 20 });
        stream.write_all(&ok(format!("answer to {}", request.id()).as_bytes())).is_ok()
    });
    let nodes: Vec<Backend> =
        (1..=NODES).map(|n| Backend::start(case, &format!("node-{n}"), handler.clone())).collect();
    let list = |share: f64| -> Vec<Entry> {
        let entry =
            |b: &Backend| Entry { name: b.name.clone(), address: b.address, state: "up", share, cell: 1 };
        nodes.iter().map(entry).collect()
    };
    let discovery = Discovery::start(case, list(1.9));

    // Four proxies, three of them voters, as docs/fleet.md sets them up (without 'keep').
    case.file("fleet.key", &"5a".repeat(32));
    let fleet_at: Vec<SocketAddr> = (0..GATES).map(|_| free_address()).collect();
    let clients_at: Vec<SocketAddr> = (0..GATES).map(|_| free_address()).collect();
    let mut voters = String::new();
    for (n, address) in fleet_at.iter().enumerate().take(VOTERS) {
        let _ = write!(voters, "[[voter]]\nname = \"gate-{}\"\naddress = \"{address}\"\n", n + 1);
    }
    // They stand in three data centres.
    let ways: Vec<SocketAddr> =
        fleet_at.iter().map(|at| way(*at, Duration::from_millis(ONE_WAY_MS))).collect();
    let source = format!("[discovery]\naddress = \"{}\"\n", discovery.address);
    let settings: Vec<PathBuf> = (0..GATES)
        .map(|n| {
            let name = format!("gate-{}", n + 1);
            let mut own = String::new();
            for (k, way) in ways.iter().enumerate().filter(|(k, _)| *k != n) {
                let _ = write!(own, "[[way]]\nto = \"gate-{}\"\naddress = \"{way}\"\n", k + 1);
            }
            let text = format!(
                "[proxy]\nname = \"{name}\"\nlisten = \"{}\"\n[fleet]\nlisten = \"{}\"\nkey = {:?}\nstore = {:?}\n\
                 {voters}{own}{source}{CLASSES}",
                clients_at[n],
                fleet_at[n],
                case.folder.join("fleet.key"),
                case.folder.join(format!("{name}.redb")),
            );
            case.file(&format!("{name}.toml"), &text)
        })
        .collect();
    let rules = case.file("rules.toml", &format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{source}{CLASSES}"));
    for file in &settings[..VOTERS] {
        fleet_ok(case, file, &["found"]);
    }
    let mut gates: Vec<Proxy> =
        (0..GATES).map(|n| Proxy::start(case, &format!("gate-{}", n + 1), &settings[n])).collect();
    fleet_ok(case, &settings[0], &["publish", &rules.to_string_lossy(), "--why", "term begins"]);
    for (n, at) in clients_at.iter().enumerate() {
        case.wait_for(&format!("gate-{} serves", n + 1), 20, || serves(*at));
    }
    // An ordinary change of the list: the backends' sizes are corrected.
    discovery.tell(list(2.0));
    sleep_ms(500);

    fleet_ok(case, &settings[0], &["drain", "node-2"]);
    fleet_ok(case, &settings[0], &["wait", "2"]);
    sleep_ms(1000);
    if case.trouble {
        for n in 1..GATES {
            if gates.iter_mut().any(|gate| !gate.runs()) {
                case.cannot_run("a proxy has ended");
            }
            gates[n].kill();
            gates[n] = Proxy::start(case, &format!("gate-{}", n + 1), &settings[n]);
            case.wait_for(&format!("gate-{} serves again", n + 1), 30, || serves(clients_at[n]));
            sleep_ms(BETWEEN_RESTARTS_MS);
        }
    }
    fleet_ok(case, &settings[0], &["wait", "2"]);
    let told_at = case.record.seconds();
    let limit = told_at + GRACE_S;
    case.record.line(format!("from {limit:.3} on nothing new may go to node-2"));
    while case.record.seconds() < limit + 0.1 {
        sleep_ms(20);
    }
    // A few learners ask at each proxy at once, so that one backend is not enough.
    let mut sent: Vec<(String, usize, bool)> = Vec::new();
    let mut lost = 0;
    for round in 0..ROUNDS {
        let asks: Vec<_> = (0..GATES * LEARNERS)
            .map(|k| {
                let (gate, at, record) = (k % GATES + 1, clients_at[k % GATES], case.record.clone());
                let submits = k / GATES % 2 == 1;
                std::thread::spawn(move || {
                    let id = new_id();
                    let text = if submits {
                        let target = format!("/answer-submit/quiz{round}?sid={k}");
                        request("POST", &target, &id, 4.0, None, b"2+2=4")
                    } else {
                        request("GET", &format!("/lesson-page/p{round}?sid={k}"), &id, 2.0, None, b"")
                    };
                    let status =
                        Client::new(at).ask(&text, Duration::from_secs(5)).map(|answer| answer.status);
                    record.line(format!("client: {id} by gate-{gate}: {status:?}"));
                    (id, gate, status.is_ok_and(|status| status == 200))
                })
            })
            .collect();
        let switches_off = round == ROUNDS * 2 / 3;
        if switches_off {
            // It has been empty for long, as far as the operators know.
            sleep_ms(SUBMIT_MS / 2);
            case.record.line("operator: switches node-2 off");
            nodes[1].switch_off();
        }
        let ended: Vec<(String, usize, bool)> = asks.into_iter().filter_map(|ask| ask.join().ok()).collect();
        if switches_off {
            let at_node = nodes[1].since(limit);
            lost = ended.iter().filter(|(id, _, ok)| !ok && at_node.iter().any(|r| r.id() == id)).count();
        }
        sent.extend(ended);
        sleep_ms(50);
    }
    case.record.line(format!("{lost} requests were at node-2 when it was switched off, and failed"));
    let served = sent.iter().filter(|(.., served)| *served).count();
    case.record.line(format!("client: {served} of {} served", sent.len()));
    if gates.iter_mut().any(|gate| !gate.runs()) {
        case.cannot_run("a proxy has ended");
    }
    if served * 2 < sent.len() {
        case.cannot_run("under half of the requests were served");
    }
    fleet(case, &settings[0], &["status"]);
    fleet(case, &settings[0], &["history"]);
    let broken: Vec<String> = nodes[1]
        .since(limit)
        .iter()
        .map(|r| {
            let by = sent.iter().find(|(id, ..)| id == r.id()).map_or(0, |(_, gate, _)| *gate);
            format!("node-2 is drained by hand, and got {} from gate-{by} at {:.3} s", r.id(), r.at)
        })
        .collect();
    case.finish(&broken)
}

/// Whether a request that needs a lease on the agreed rules is served.
fn serves(at: SocketAddr) -> bool {
    let text = request("POST", "/answer-submit/x", &new_id(), 4.0, None, b"2+2=4");
    Client::new(at).ask(&text, Duration::from_secs(5)).is_ok_and(|answer| answer.status == 200)
}
