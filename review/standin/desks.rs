//! Two operators at once: one publishes over a slow way, the other drains a backend meanwhile. Not a case of its own.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::common::*;

const GATES: usize = 3;
/// The first operator's way to the proxies takes this long each way.
const ONE_WAY_MS: u64 = 150;

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
    let (mut voters, mut backends, mut ways) = (String::new(), String::new(), String::new());
    for (n, address) in fleet_at.iter().enumerate() {
        let _ = write!(voters, "[[voter]]\nname = \"gate-{}\"\naddress = \"{address}\"\n", n + 1);
        let way = way(*address, Duration::from_millis(ONE_WAY_MS));
        let _ = write!(ways, "[[way]]\nto = \"gate-{}\"\naddress = \"{way}\"\n", n + 1);
    }
    for b in &nodes {
        let (name, address) = (&b.name, b.address);
        let _ = write!(
            backends,
            "[[backend]]\nname = \"{name}\"\naddress = \"{address}\"\ncell = 1\nshare = 6\n"
        );
    }
    let rules = |attempts: u32| {
        format!(
            "{backends}[[class]]\nname = \"lesson-page\"\neffect = \"safe\"\naim_ms = 810\ndeadline_ms = 2000\n\
             [[class]]\nname = \"answer-submit\"\neffect = \"unsafe\"\naim_ms = 1600\ndeadline_ms = 4000\n\
             [limits]\nmax_attempts = {attempts}\n"
        )
    };
    let settings = |name: &str, listen: SocketAddr, fleet: SocketAddr, own: &str| -> PathBuf {
        let text = format!(
            "[proxy]\nname = \"{name}\"\nlisten = \"{listen}\"\n[fleet]\nlisten = \"{fleet}\"\nkey = {:?}\n\
             store = {:?}\n{voters}{own}{}",
            case.folder.join("fleet.key"),
            case.folder.join(format!("{name}.redb")),
            rules(6)
        );
        case.file(&format!("{name}.toml"), &text)
    };
    let gates: Vec<PathBuf> =
        (0..GATES).map(|n| settings(&format!("gate-{}", n + 1), clients_at[n], fleet_at[n], "")).collect();
    let far_desk = settings("far-desk", free_address(), free_address(), &ways);
    let file = |name: &str, attempts| {
        case.file(name, &format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{}", rules(attempts)))
    };
    let (first, second) = (file("rules-1.toml", 6), file("rules-2.toml", 5));
    for gate in &gates {
        fleet_ok(case, gate, &["found"]);
    }
    let _running: Vec<Proxy> =
        (0..GATES).map(|n| Proxy::start(case, &format!("gate-{}", n + 1), &gates[n])).collect();
    fleet_ok(case, &gates[0], &["publish", &first.to_string_lossy(), "--why", "term begins"]);
    for (n, at) in clients_at.iter().enumerate() {
        case.wait_for(&format!("gate-{} serves", n + 1), 20, || {
            let text = request("POST", "/answer-submit/x", &new_id(), 4.0, None, b"2+2=4");
            Client::new(*at).ask(&text, Duration::from_secs(5)).is_ok_and(|answer| answer.status == 200)
        });
    }
    let published = thread::scope(|scope| {
        let publish = || {
            scope.spawn(|| {
                fleet(case, &far_desk, &["publish", &second.to_string_lossy(), "--why", "attempts"])
            })
        };
        let mut publishing = case.trouble.then(publish);
        if case.trouble {
            sleep_ms(1200);
        }
        fleet_ok(case, &gates[0], &["drain", "node-2"]);
        // Without the disruption one call follows the other.
        let publishing = publishing.take().unwrap_or_else(publish);
        publishing.join().expect("a call")
    });
    fleet(case, &gates[0], &["history"]);
    if !published.status.success() {
        case.record.line("the first operator is told that somebody else was first, as it should be");
    }
    sleep_ms(1600);
    let limit = case.record.seconds();
    for round in 0..30 {
        for at in &clients_at {
            let id = new_id();
            let text = request("GET", &format!("/lesson-page/p{round}"), &id, 2.0, None, b"");
            let answer = Client::new(*at).ask(&text, Duration::from_secs(3));
            case.record.line(format!("client: {id}: {:?}", answer.map(|a| a.status)));
        }
        sleep_ms(20);
    }
    let seen = nodes[1].since(limit);
    let broken: Vec<String> = seen
        .iter()
        .map(|r| format!("node-2 is drained by hand, nobody took it back, and it got {}", r.id()))
        .collect();
    case.finish(&broken)
}
