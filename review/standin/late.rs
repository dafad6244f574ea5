//! An operator's word reaches the leader some seconds late, after it has been said again by another way; meanwhile another
//! operator halts everything.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

const GATES: usize = 3;
const NODES: usize = 4;
/// How late the word comes.
const LATE: Duration = Duration::from_secs(3);
/// What the fleet's frames look like on the way: a hello (magic, nonce, name with its length), then frames of a length, a
/// channel, a body and a MAC.
const HELLO_BYTES: usize = 4 + 16 + 1;
const FRAME_HEAD_BYTES: usize = 4 + 1;
const MAC_BYTES: usize = 16;
/// Channel of words about rules and permits.
const RULES_CHANNEL: u8 = 2;

pub fn run(case: &Case) -> ! {
    let handler: Handler = Arc::new(|request, stream| {
        sleep_ms(20);
        stream.write_all(&ok(format!("answer to {}", request.id()).as_bytes())).is_ok()
    });
    let nodes: Vec<Backend> =
        (1..=NODES).map(|n| Backend::start(case, &format!("node-{n}"), handler.clone())).collect();
    case.file("fleet.key", &"5a".repeat(32));
    let fleet_at: Vec<SocketAddr> = (0..GATES).map(|_| free_address()).collect();
    let clients_at: Vec<SocketAddr> = (0..GATES).map(|_| free_address()).collect();
    let is_late: Arc<AtomicBool> = Arc::default();
    let (mut voters, mut ways, mut rules) = (String::new(), String::new(), String::new());
    for (n, address) in fleet_at.iter().enumerate() {
        let _ = write!(voters, "[[voter]]\nname = \"gate-{}\"\naddress = \"{address}\"\n", n + 1);
        let way = late_way(*address, is_late.clone(), case.record.clone());
        let _ = write!(ways, "[[way]]\nto = \"gate-{}\"\naddress = \"{way}\"\n", n + 1);
    }
    for b in &nodes {
        let (name, address) = (&b.name, b.address);
        let _ =
            write!(rules, "[[backend]]\nname = \"{name}\"\naddress = \"{address}\"\ncell = 1\nshare = 6\n");
    }
    rules += "[[class]]\nname = \"lesson-page\"\neffect = \"safe\"\naim_ms = 810\ndeadline_ms = 2000\n\
        [[class]]\nname = \"answer-submit\"\neffect = \"unsafe\"\naim_ms = 1600\ndeadline_ms = 4000\n";
    let settings = |name: &str, listen: SocketAddr, fleet: SocketAddr, own: &str| -> PathBuf {
        let text = format!(
            "[proxy]\nname = \"{name}\"\nlisten = \"{listen}\"\n[fleet]\nlisten = \"{fleet}\"\nkey = {:?}\n\
             store = {:?}\n{voters}{own}{rules}",
            case.folder.join("fleet.key"),
            case.folder.join(format!("{name}.redb")),
        );
        case.file(&format!("{name}.toml"), &text)
    };
    let gates: Vec<PathBuf> =
        (0..GATES).map(|n| settings(&format!("gate-{}", n + 1), clients_at[n], fleet_at[n], "")).collect();
    // The first operator's ways to the proxies lead over relays; the second sits beside them.
    let first = settings("desk-1", free_address(), free_address(), &ways);
    let second = &gates[0];
    let file = case.file("rules.toml", &format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{rules}"));
    for gate in &gates {
        fleet_ok(case, gate, &["found"]);
    }
    let mut running: Vec<Proxy> =
        (0..GATES).map(|n| Proxy::start(case, &format!("gate-{}", n + 1), &gates[n])).collect();
    fleet_ok(case, second, &["publish", &file.to_string_lossy(), "--why", "term begins"]);
    for (n, at) in clients_at.iter().enumerate() {
        case.wait_for(&format!("gate-{} serves", n + 1), 20, || {
            let text = request("POST", "/answer-submit/x", &new_id(), 4.0, None, b"2+2=4");
            Client::new(*at).ask(&text, Duration::from_secs(5)).is_ok_and(|answer| answer.status == 200)
        });
    }
    fleet_ok(case, second, &["budget", "--set", "backend:fleet:1", "--why", "term begins"]);
    case.wait_for("every backend has been seen well", 20, || {
        let outs = fleet(case, second, &["outs", "--json"]);
        let text = String::from_utf8_lossy(&outs.stdout).into_owned();
        text.matches("\"lost\":false").count() == NODES + GATES && !text.contains("\"lost\":true")
    });
    fleet_ok(case, second, &["halt", "--why", "errors rise"]);
    sleep_ms(300);

    // The first operator lets it go on. The word is on its way to the leader for some seconds; it is said again to another
    // voter, as the program does by itself, and the operator is told that it is done.
    is_late.store(case.trouble, Ordering::SeqCst);
    let asked = Instant::now();
    fleet_ok(case, &first, &["resume"]);
    is_late.store(false, Ordering::SeqCst);
    sleep_ms(300);
    // Errors rise again, and the second operator halts. Nobody says 'resume' after that.
    fleet_ok(case, second, &["halt", "--why", "errors rise again"]);
    let halted_at = case.record.seconds();
    case.record.line("from here on nothing may go out");
    if case.trouble && asked.elapsed() > LATE - Duration::from_millis(200) {
        case.cannot_run("the halt took too long");
    }
    let out = fleet(case, second, &["out", "node-2", "--why", "new disk", "--wait", "--patience", "12"]);
    let out_at = case.record.seconds();
    fleet(case, second, &["outs"]);
    sleep_ms(600);
    // What clients and backends see of it.
    let from = case.record.seconds();
    for round in 0..40 {
        for at in &clients_at {
            let id = new_id();
            let text = request("GET", &format!("/lesson-page/p{round}"), &id, 2.0, None, b"");
            let answer = Client::new(*at).ask(&text, Duration::from_secs(3));
            case.record.line(format!("client: {id}: {:?}", answer.map(|a| a.status)));
        }
        sleep_ms(20);
    }
    for node in &nodes {
        case.record.line(format!("{} got {} requests at the end", node.name, node.since(from).len()));
    }
    if running.iter_mut().any(|gate| !gate.runs()) {
        case.cannot_run("a proxy has ended");
    }
    let mut broken = Vec::new();
    // The operator's call says that node-2 is out and empty, and node-2 sees that nobody sends to it any more.
    let (got, all) = (nodes[1].since(from).len(), 40 * GATES);
    if out.status.success() && got == 0 {
        broken.push(format!(
            "'halt' was acknowledged at {halted_at:.3} s and nobody said 'resume' after it; 'out node-2 --wait' ended with 0 \
             at {out_at:.3} s ({}), and node-2 got {got} of {all} requests after that",
            String::from_utf8_lossy(&out.stdout).trim(),
        ));
    }
    case.finish(&broken)
}

/// A way to an address. While `is_late` is set, the first word that is no question about the state, and all that follows it
/// on its connection, comes [`LATE`].
fn late_way(to: SocketAddr, is_late: Arc<AtomicBool>, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let once = Arc::new(AtomicBool::new(false));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(near) = stream else { continue };
            let Ok(far) = TcpStream::connect(to) else { continue };
            let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { continue };
            let (is_late, record, once) = (is_late.clone(), record.clone(), once.clone());
            thread::spawn(move || forward(near, far, &is_late, &once, &record));
            thread::spawn(move || back(far_copy, near_copy));
        }
    });
    address
}

fn back(mut from: TcpStream, mut into: TcpStream) {
    let mut part = [0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut part) {
        if into.write_all(&part[..n]).is_err() {
            break; // the caller has gone; what it has sent still goes on
        }
    }
    let _ = into.shutdown(Shutdown::Write);
}

/// Carries an operator's bytes, frame by frame.
fn forward(
    mut from: TcpStream, mut into: TcpStream, is_late: &AtomicBool, once: &AtomicBool, record: &Record,
) {
    let mut carry = || -> std::io::Result<()> {
        let mut hello = vec![0; HELLO_BYTES];
        from.read_exact(&mut hello)?;
        let mut name = vec![0; usize::from(hello[HELLO_BYTES - 1])];
        from.read_exact(&mut name)?;
        into.write_all(&[hello, name].concat())?;
        let mut question: Option<u8> = None;
        loop {
            let mut head = [0; FRAME_HEAD_BYTES];
            from.read_exact(&mut head)?;
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let mut body = vec![0; length + MAC_BYTES];
            from.read_exact(&mut body)?;
            if head[4] == RULES_CHANNEL {
                // A call begins with a question; its kind is the first byte.
                let kind = *question.get_or_insert(body[0]);
                if body[0] != kind && is_late.load(Ordering::SeqCst) && !once.swap(true, Ordering::SeqCst) {
                    record.line("way: the first operator's word is on its way");
                    thread::sleep(LATE);
                    record.line("way: the first operator's word arrives");
                }
            }
            into.write_all(&[&head[..], &body[..]].concat())?;
        }
    };
    let _ = carry();
    let _ = into.shutdown(Shutdown::Write);
}
