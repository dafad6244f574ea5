//! A majority of the voters is lost for good, and the last resort is taken as docs/fleet.md has it. Another proxy, which no
//! operator touches, goes on with a version that the lost voters agreed on alone.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::common::*;

/// Four proxies; the first three vote.
const GATES: usize = 4;
const VOTERS: usize = 3;
const NODES: usize = 3;
/// `bound_ms` if left out.
const T_S: f64 = 1.0;
/// How long requests are sent to the proxies at the end.
const LOAD_S: f64 = 6.0;
const CLASSES: &str = "[[class]]\nname = \"lesson-page\"\neffect = \"safe\"\naim_ms = 810\ndeadline_ms = 2000\nworth = 3\n\
    [[class]]\nname = \"answer-submit\"\neffect = \"unsafe\"\naim_ms = 1600\ndeadline_ms = 4000\nworth = 3\n\
    [limits]\nmax_attempts = 6\ndial_timeout_ms = 120\nidle_close_ms = 30000\n";

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
    rules += CLASSES;
    let store = |n: usize| case.folder.join(format!("gate-{}.redb", n + 1));
    let settings: Vec<PathBuf> = (0..GATES)
        .map(|n| {
            let name = format!("gate-{}", n + 1);
            let text = format!(
                "[proxy]\nname = \"{name}\"\nlisten = \"{}\"\n[fleet]\nlisten = \"{}\"\nkey = {:?}\nstore = {:?}\n\
                 header = \"X-Rules-Version\"\n{voters}{rules}",
                clients_at[n],
                fleet_at[n],
                case.folder.join("fleet.key"),
                store(n),
            );
            case.file(&format!("{name}.toml"), &text)
        })
        .collect();
    let rules = case.file("rules.toml", &format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{rules}"));
    for file in &settings[..VOTERS] {
        fleet_ok(case, file, &["found"]);
    }
    let start = |n: usize| Proxy::start(case, &format!("gate-{}", n + 1), &settings[n]);
    let mut gates: Vec<Proxy> = (0..GATES).map(start).collect();
    fleet_ok(case, &settings[0], &["publish", &rules.to_string_lossy(), "--why", "term begins"]);
    for (n, at) in clients_at.iter().enumerate() {
        case.wait_for(&format!("gate-{} serves", n + 1), 20, || serves(*at));
    }
    fleet_ok(case, &settings[0], &["drain", "node-2"]);
    fleet_ok(case, &settings[0], &["wait", "2"]);
    sleep_ms(500);
    // One voter is down for some seconds; changes go on.
    gates[2].kill();
    sleep_ms(2500);
    fleet_ok(case, &settings[0], &["undrain", "node-2"]);
    fleet_ok(case, &settings[0], &["wait", "3"]);
    case.wait_for("gate-4 acts on version 3", 20, || {
        let id = new_id();
        let text = request("POST", "/answer-submit/x", &id, 4.0, None, b"2+2=4");
        let served =
            Client::new(clients_at[3]).ask(&text, Duration::from_secs(5)).is_ok_and(|a| a.status == 200);
        let got = nodes.iter().flat_map(|node| node.since(0.0)).find(|r| r.id() == id);
        served && got.is_some_and(|r| r.head.get("x-rules-version") == Some("3"))
    });
    sleep_ms(500);
    if case.trouble {
        // The two others are lost for good, with their disks.
        for n in 0..2 {
            gates[n].kill();
            std::fs::rename(store(n), case.folder.join(format!("lost-{n}"))).expect("a store to move away");
        }
        last_resort(case, &settings[2]);
    }
    gates[2] = start(2);
    case.wait_for("gate-3 serves again", 20, || serves(clients_at[2]));
    let in_force = if case.trouble { "2" } else { "3" };
    fleet_ok(case, &settings[2], &["wait", in_force]);
    fleet(case, &settings[2], &["status"]);
    fleet(case, &settings[2], &["history"]);
    fleet(case, &settings[2], &["show"]);
    let from = case.record.seconds();
    case.record.line(format!(
        "gate-3 acts on version {in_force} from {from:.3} at the latest; from {:.3} on no proxy may act on another one",
        from + T_S
    ));
    load(case, &[(3, clients_at[2]), (4, clients_at[3])], from + LOAD_S);
    fleet(case, &settings[2], &["status"]);
    for n in 2..GATES {
        if !gates[n].runs() {
            case.cannot_run("a proxy has ended");
        }
    }
    // What the backends have seen: the version, by the header that the settings ask for.
    let seen: Vec<(String, Request)> =
        nodes.iter().flat_map(|node| node.since(from).into_iter().map(|r| (node.name.clone(), r))).collect();
    let version = |r: &Request| r.head.get("x-rules-version").unwrap_or("").to_owned();
    let last = |is_new: bool| {
        let of = seen.iter().filter(|(_, r)| (version(r) == in_force) == is_new);
        of.map(|(_, r)| r.at).fold(0.0, f64::max)
    };
    let count = |v: &str| seen.iter().filter(|(_, r)| version(r) == v).count();
    case.record.line(format!(
        "at the backends after {from:.3}: {} requests under version 2, {} under version 3; the last under {in_force} at \
         {:.3}, under another at {:.3}",
        count("2"),
        count("3"),
        last(true),
        last(false)
    ));
    if count(in_force) < 10 {
        case.cannot_run("too few requests under the version in force");
    }
    // Broken: a request under another version, over T after one proxy acts on the version in force, beside it.
    let mut broken: Vec<String> = seen
        .iter()
        .filter(|(_, r)| version(r) != in_force && r.at > from + T_S + 0.05 && r.at < last(true))
        .map(|(node, r)| {
            let drained = if node == "node-2" { ", which version 2 drains" } else { "" };
            format!(
                "{node}{drained} got {} under version {} at {:.3}, {:.1} s after version {in_force} was in force again",
                r.id(),
                version(r),
                r.at,
                r.at - from
            )
        })
        .collect();
    broken.sort_by_key(|line| !line.starts_with("node-2"));
    case.finish(&broken)
}

/// Takes the last resort on a voter that is stopped, and types what the program asks for.
fn last_resort(case: &Case, settings: &Path) {
    use std::io::Write;
    case.record.line("operator: sandgap fleet last-resort");
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run")).expect("a 'run' line");
    let program = line.split('"').nth(1).expect("a command").trim_start_matches("exec ");
    let mut command = Command::new(program);
    command.args(["fleet", "last-resort", "--settings"]).arg(settings);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the program runs");
    let _ = child.stdin.take().expect("an input").write_all(b"only gate-3 is left\n");
    let output = child.wait_with_output().expect("the program ends"); // it only reads and writes the store
    case.record.line(format!(
        "operator: 'last-resort' ended with {:?}: {}{}",
        output.status.code(),
        String::from_utf8_lossy(&output.stdout).trim(),
        String::from_utf8_lossy(&output.stderr).trim()
    ));
    if !output.status.success() {
        case.cannot_run("the last resort failed");
    }
}

/// Learners submit answers at these proxies until a time.
fn load(case: &Case, gates: &[(usize, SocketAddr)], until: f64) {
    let stop: Arc<AtomicBool> = Arc::default();
    let learners: Vec<_> = gates
        .iter()
        .flat_map(|gate| [*gate; 4])
        .map(|(gate, at)| {
            let (record, stop) = (case.record.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(at);
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id();
                    let text = request("POST", "/answer-submit/quiz", &id, 4.0, None, b"2+2=4");
                    let answer = client.ask(&text, Duration::from_secs(5)).map(|answer| answer.status);
                    record.line(format!("client: {id} by gate-{gate}: {answer:?}"));
                    sleep_ms(30);
                }
            })
        })
        .collect();
    while case.record.seconds() < until {
        sleep_ms(20);
    }
    stop.store(true, Ordering::SeqCst);
    learners.into_iter().for_each(|learner| drop(learner.join()));
}

/// Whether a request that needs a lease on the agreed rules is served.
fn serves(at: SocketAddr) -> bool {
    let text = request("POST", "/answer-submit/x", &new_id(), 4.0, None, b"2+2=4");
    Client::new(at).ask(&text, Duration::from_secs(5)).is_ok_and(|answer| answer.status == 200)
}
