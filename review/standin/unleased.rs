//! A proxy is cut off from the others for some seconds and serves pages without a lease, as its rules say. Meanwhile the
//! operators publish rules by which no class is served without a lease, and take a backend out.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::common::*;

const GATES: usize = 4;
/// The last proxy is no voter.
const VOTERS: usize = 3;
const NODES: usize = 4;
/// The way is cut for no longer than this.
const CUT_S: f64 = 6.0;
/// Learners that read pages at the proxy that is cut off.
const LEARNERS: usize = 40;

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
    let cut: Arc<AtomicBool> = Arc::default();
    let ways: Vec<SocketAddr> =
        fleet_at.iter().map(|at| cuttable_way(*at, Duration::ZERO, cut.clone())).collect();
    let (mut voters, mut backends) = (String::new(), String::new());
    for (n, address) in fleet_at.iter().enumerate().take(VOTERS) {
        let _ = write!(voters, "[[voter]]\nname = \"gate-{}\"\naddress = \"{address}\"\n", n + 1);
    }
    for b in &nodes {
        let _ = write!(
            backends,
            "[[backend]]\nname = \"{}\"\naddress = \"{}\"\ncell = 1\nshare = 6\n",
            b.name, b.address
        );
    }
    // Left out, 'on_lapse' is "serve" for safe classes and "refuse" for others.
    let classes = |pages: &str| {
        format!(
            "[[class]]\nname = \"lesson-page\"\neffect = \"safe\"\naim_ms = 810\ndeadline_ms = 2000\n{pages}\
             [[class]]\nname = \"answer-submit\"\neffect = \"unsafe\"\naim_ms = 800\ndeadline_ms = 1600\n"
        )
    };
    let settings: Vec<PathBuf> = (0..GATES)
        .map(|n| {
            let name = format!("gate-{}", n + 1);
            let store = if n < VOTERS {
                format!("store = {:?}\n", case.folder.join(format!("{name}.redb")))
            } else {
                String::new()
            };
            // All ways between the last proxy and the others lead over relays.
            let others: Vec<usize> = if n < VOTERS { vec![GATES - 1] } else { (0..VOTERS).collect() };
            let mut own_ways = String::new();
            for k in others {
                let _ = write!(own_ways, "[[way]]\nto = \"gate-{}\"\naddress = \"{}\"\n", k + 1, ways[k]);
            }
            let text = format!(
                "[proxy]\nname = \"{name}\"\nlisten = \"{}\"\n[fleet]\nlisten = \"{}\"\nkey = {:?}\n\
                 header = \"X-Rules-Version\"\n{store}{voters}{own_ways}{backends}{}",
                clients_at[n],
                fleet_at[n],
                case.folder.join("fleet.key"),
                classes("")
            );
            case.file(&format!("{name}.toml"), &text)
        })
        .collect();
    let rules = |name: &str, pages: &str| {
        case.file(name, &format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{backends}{}", classes(pages)))
    };
    let (first, second) = (rules("rules-1.toml", ""), rules("rules-2.toml", "on_lapse = \"refuse\"\n"));
    for file in &settings[..VOTERS] {
        fleet_ok(case, file, &["found"]);
    }
    let mut gates: Vec<Proxy> =
        (0..GATES).map(|n| Proxy::start(case, &format!("gate-{}", n + 1), &settings[n])).collect();
    fleet_ok(case, &settings[0], &["publish", &first.to_string_lossy(), "--why", "term begins"]);
    for (n, at) in clients_at.iter().enumerate() {
        case.wait_for(&format!("gate-{} serves", n + 1), 20, || {
            let text = request("POST", "/answer-submit/x", &new_id(), 1.6, None, b"2+2=4");
            Client::new(*at).ask(&text, Duration::from_secs(3)).is_ok_and(|answer| answer.status == 200)
        });
    }
    fleet_ok(case, &settings[0], &["budget", "--set", "backend:fleet:1", "--why", "term begins"]);
    // All proxies and backends have been seen well for some seconds.
    sleep_ms(5000);
    fleet(case, &settings[0], &["outs"]);
    let cut_at = case.record.seconds();
    if case.trouble {
        case.record.line("gate-4 is cut off from the other proxies");
        cut.store(true, Ordering::SeqCst);
    }
    let stop: Arc<AtomicBool> = Arc::default();
    let learners: Vec<_> = (0..LEARNERS)
        .map(|k| {
            let (at, record, stop) = (clients_at[GATES - 1], case.record.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(at);
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id();
                    let text = request("GET", &format!("/lesson-page/p{k}"), &id, 2.0, None, b"");
                    let answer = client.ask(&text, Duration::from_secs(3)).map(|answer| answer.status);
                    record.line(format!("client: {id} by gate-4: {answer:?}"));
                    sleep_ms(20);
                }
            })
        })
        .collect();
    fleet_ok(case, &settings[0], &["publish", &second.to_string_lossy(), "--why", "leases for all"]);
    let out = fleet(case, &settings[0], &["out", "node-2", "--why", "new disk", "--wait", "--patience", "5"]);
    let empty_at = case.record.seconds();
    case.record.line(format!("'out node-2 --wait' has ended, {:.3} s after the cut", empty_at - cut_at));
    while case.record.seconds() < (cut_at + CUT_S - 0.1).max(empty_at + 0.3) {
        sleep_ms(10);
    }
    let healed_at = case.record.seconds();
    if case.trouble {
        case.record.line("gate-4 is no longer cut off");
        cut.store(false, Ordering::SeqCst);
    }
    stop.store(true, Ordering::SeqCst);
    learners.into_iter().for_each(|learner| drop(learner.join()));
    fleet(case, &settings[0], &["outs"]);
    if gates.iter_mut().any(|gate| !gate.runs()) {
        case.cannot_run("a proxy has ended");
    }
    if healed_at - cut_at > CUT_S {
        case.cannot_run("the cut lasted too long");
    }
    if !out.status.success() {
        case.record.line("'out' did not say that node-2 is empty");
    }
    let after: Vec<Request> = if out.status.success() { nodes[1].since(empty_at) } else { Vec::new() };
    let broken: Vec<String> = after
        .iter()
        .map(|r| {
            format!(
                "node-2 was told empty at {empty_at:.3}, and got {} at {:.3} under version {}",
                r.id(),
                r.at,
                r.head.get("x-rules-version").unwrap_or("?")
            )
        })
        .collect();
    case.finish(&broken)
}
