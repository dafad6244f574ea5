//! A proxy is cut off from the others; then the first bound is set and a backend is taken out. Not a case of its own.

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

pub fn run(case: &Case) -> ! {
    let handler: Handler = Arc::new(|request, stream| {
        use std::io::Write;
        sleep_ms(20);
        stream.write_all(&ok(format!("answer to {}", request.id()).as_bytes())).is_ok()
    });
    let nodes: Vec<Backend> =
        (1..=4).map(|n| Backend::start(case, &format!("node-{n}"), handler.clone())).collect();
    case.file("fleet.key", &"5a".repeat(32));
    let fleet_at: Vec<SocketAddr> = (0..GATES).map(|_| free_address()).collect();
    let clients_at: Vec<SocketAddr> = (0..GATES).map(|_| free_address()).collect();
    let cut: Arc<AtomicBool> = Arc::default();
    let ways: Vec<SocketAddr> =
        fleet_at.iter().map(|at| cuttable_way(*at, Duration::ZERO, cut.clone())).collect();
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
                 {store}{voters}{own_ways}{rules}",
                clients_at[n],
                fleet_at[n],
                case.folder.join("fleet.key")
            );
            case.file(&format!("{name}.toml"), &text)
        })
        .collect();
    let rules = case.file("rules.toml", &format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{rules}"));
    for file in &settings[..VOTERS] {
        fleet_ok(case, file, &["found"]);
    }
    let _gates: Vec<Proxy> =
        (0..GATES).map(|n| Proxy::start(case, &format!("gate-{}", n + 1), &settings[n])).collect();
    fleet_ok(case, &settings[0], &["publish", &rules.to_string_lossy(), "--why", "term begins"]);
    for (n, at) in clients_at.iter().enumerate() {
        case.wait_for(&format!("gate-{} serves", n + 1), 20, || {
            let text = request("POST", "/answer-submit/x", &new_id(), 4.0, None, b"2+2=4");
            Client::new(*at).ask(&text, Duration::from_secs(5)).is_ok_and(|answer| answer.status == 200)
        });
    }
    sleep_ms(500);
    if case.trouble {
        case.record.line("gate-4 is cut off from the other proxies");
        cut.store(true, Ordering::SeqCst);
    }
    sleep_ms(1700);
    fleet_ok(case, &settings[0], &["budget", "--set", "backend:fleet:1", "--why", "term begins"]);
    sleep_ms(2600);
    let out = fleet(case, &settings[0], &["out", "node-2", "--why", "new disk", "--wait", "--patience", "5"]);
    let limit = case.record.seconds() + 0.55;
    for round in 0..60 {
        let id = new_id();
        let text = request("GET", &format!("/lesson-page/p{round}"), &id, 2.0, None, b"");
        let answer = Client::new(clients_at[GATES - 1]).ask(&text, Duration::from_secs(3));
        case.record.line(format!("client: {id} by gate-4: {:?}", answer.map(|a| a.status)));
        sleep_ms(30);
    }
    fleet(case, &settings[0], &["outs"]);
    let broken: Vec<String> = match out.status.success() {
        true => nodes[1]
            .since(limit)
            .iter()
            .map(|r| format!("node-2 is called empty and got {}", r.id()))
            .collect(),
        false => Vec::new(),
    };
    case.finish(&broken)
}
