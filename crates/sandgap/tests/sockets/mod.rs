//! A proxy process on loopback, with a small discovery and small backends for it. All ports are the system's
//! choice, and all waits end on a condition or after a generous limit.
#![allow(dead_code)] // each test file uses its own part
pub mod full;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// No wait takes longer, however loaded the machine.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Waits until something holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A message as read off a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// An answer's status; there has to be one.
pub fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

/// Reads a message; `None` where the connection ends before one is whole.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            break;
        } else {
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").map_or(0, |v| v.parse().expect("a length"));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a backend does with a request.
#[derive(Clone)]
pub enum Deed {
    /// Writes these bytes and keeps the connection.
    Write(String),
    /// Writes these bytes and closes.
    WriteAndClose(String),
    /// Says nothing until the gate opens, then writes these bytes.
    Hold(Gate, String),
}

/// Something that opens once.
#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicUsize>);

impl Gate {
    pub fn open(&self) {
        self.0.store(1, Ordering::SeqCst);
    }

    pub fn wait(&self) {
        wait_for("a gate", || self.0.load(Ordering::SeqCst) == 1);
    }
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Own: kept\r\n\r\n{body}", body.len())
}

pub fn empty(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
}

type Seen = Arc<Mutex<Vec<Message>>>;

/// A backend that does the same to each request, and remembers them.
pub struct Backend {
    pub address: SocketAddr,
    seen: Seen,
    /// Connections that have come, and those of them that have ended.
    pub came: Arc<AtomicUsize>,
    pub ended: Arc<AtomicUsize>,
}

impl Backend {
    pub fn new(deed: Deed) -> Self {
        Backend::with(move |_| deed.clone())
    }

    pub fn with(deed: impl Fn(&Message) -> Deed + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (seen, came, ended) = (Seen::default(), Arc::default(), Arc::default());
        let backend = Backend { address, seen, came, ended };
        let (seen, came, ended) = (backend.seen.clone(), backend.came.clone(), backend.ended.clone());
        let deed = Arc::new(deed);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (seen, ended, deed) = (seen.clone(), ended.clone(), deed.clone());
                came.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    backend_connection(stream.expect("a connection"), &seen, &*deed);
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    pub fn seen(&self) -> Vec<Message> {
        self.seen.lock().expect("no panic").clone()
    }

    pub fn came(&self) -> usize {
        self.came.load(Ordering::SeqCst)
    }

    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }
}

fn backend_connection(stream: TcpStream, seen: &Seen, deed: &dyn Fn(&Message) -> Deed) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut stream = stream;
    while let Some(request) = read_message(&mut reader) {
        let deed = deed(&request);
        seen.lock().expect("no panic").push(request);
        // The proxy may have gone away meanwhile, which is its right.
        let wrote = match deed {
            Deed::Write(text) => stream.write_all(text.as_bytes()),
            Deed::WriteAndClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Deed::Hold(gate, text) => {
                gate.wait();
                stream.write_all(text.as_bytes())
            }
        };
        if wrote.is_err() {
            return;
        }
    }
}

/// Discovery for one proxy: each watch gets the lines sent so far and those that follow.
pub struct Discovery {
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    pub asked: Seen,
    hushed: Arc<AtomicUsize>,
    /// So many watches, the first ones, stay open and say nothing more.
    frozen: Arc<AtomicUsize>,
    /// Calls that have ended.
    pub ended: Arc<AtomicUsize>,
    /// What comes next is answered this many ms late, and so many of them are turned away.
    turn: Arc<(AtomicUsize, AtomicUsize)>,
    /// How often it has lost its state and begun to count its versions anew.
    epoch: Arc<AtomicUsize>,
    _stop: Sender<()>,
}

impl Discovery {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (lines, asked) = (Arc::new(Mutex::new(Vec::new())), Seen::default());
        let (stop, stopped) = channel();
        let stopped = Arc::new(Mutex::new(stopped));
        let (told, heard) = (lines.clone(), asked.clone());
        let [hushed, frozen, ended] = std::array::from_fn(|_| Arc::<AtomicUsize>::default());
        let (quiet, still, over) = (hushed.clone(), frozen.clone(), ended.clone());
        let turn = Arc::<(AtomicUsize, AtomicUsize)>::default();
        let waits = turn.clone();
        let epoch = Arc::<AtomicUsize>::default();
        let counts = epoch.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (told, heard, stopped) = (told.clone(), heard.clone(), stopped.clone());
                let (quiet, still, over, waits) = (quiet.clone(), still.clone(), over.clone(), waits.clone());
                let counts = counts.clone();
                thread::spawn(move || {
                    let stream = stream.expect("a connection");
                    watch(stream, &told, &heard, &stopped, &quiet, &still, &waits, &counts);
                    over.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Discovery { address, lines, asked, hushed, frozen, ended, turn, epoch, _stop: stop }
    }

    /// It has lost its state: its watches end, and its versions begin with that of `line`, a whole list. Whoever resumes
    /// from a version that it does not have yet gets that.
    pub fn count_anew(&self, line: &str) {
        let mut lines = self.lines.lock().expect("no panic");
        *lines = vec![line.to_owned()];
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Calls wait for their turn from now on.
    pub fn answer_late(&self, ms: usize) {
        self.turn.0.store(ms, Ordering::SeqCst);
    }

    /// The next calls are turned away.
    pub fn turn_away(&self, next: usize) {
        self.turn.1.store(next, Ordering::SeqCst);
    }

    /// The heads of all calls so far.
    pub fn heads(&self) -> Vec<String> {
        self.asked.lock().expect("no panic").iter().map(|m| m.first.clone()).collect()
    }

    /// Watches that are opened from now on get no answer.
    pub fn hush(&self) {
        self.hushed.store(1, Ordering::SeqCst);
    }

    /// Whoever asks from now on is answered; those that asked before never are.
    pub fn speak(&self) {
        self.hushed.store(0, Ordering::SeqCst);
    }

    /// All watches that are open now, and so many that come next, stay open and say nothing more.
    pub fn freeze(&self, next: usize) {
        self.frozen.store(self.calls() + next, Ordering::SeqCst);
    }

    /// Calls so far.
    pub fn calls(&self) -> usize {
        self.asked.lock().expect("no panic").len()
    }

    pub fn say(&self, line: &str) {
        self.lines.lock().expect("no panic").push(line.to_owned());
    }
}

#[allow(clippy::too_many_arguments)] // each is one way to misbehave
fn watch(
    mut stream: TcpStream, lines: &Mutex<Vec<String>>, asked: &Seen, stop: &Mutex<Receiver<()>>,
    hushed: &AtomicUsize, frozen: &AtomicUsize, turn: &(AtomicUsize, AtomicUsize), epoch: &AtomicUsize,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let Some(request) = read_message(&mut reader) else { return };
    // A watch that resumes gets what has been said since that version; what can't be read has none.
    let after = request.first.split_once("after=").map(|(_, rest)| rest.split(' ').next().unwrap_or(rest));
    let after: Option<u64> = after.and_then(|n| n.parse().ok());
    let mut all = asked.lock().expect("no panic");
    let number = all.len();
    all.push(request);
    drop(all);
    if hushed.load(Ordering::SeqCst) == 1 {
        let _ = stream.read(&mut [0; 1]); // until the proxy gives it up
        return;
    }
    let turned_away = turn.1.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok();
    if turned_away {
        let _ = stream.write_all(empty("503 Busy").as_bytes());
        return;
    }
    thread::sleep(Duration::from_millis(turn.0.load(Ordering::SeqCst) as u64));
    let seq = |line: &String| serde_json::from_str::<serde_json::Value>(line).ok()?["seq"].as_u64();
    let began = epoch.load(Ordering::SeqCst);
    let mut sent = match after {
        Some(after) => {
            let lines = lines.lock().expect("no panic");
            let is_ahead = lines.iter().filter_map(seq).max().is_some_and(|last| after > last);
            let news = || lines.iter().position(|l| seq(l).is_some_and(|s| s > after)).unwrap_or(lines.len());
            if is_ahead { 0 } else { news() }
        }
        None => 0,
    };
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut silence = 0;
    while epoch.load(Ordering::SeqCst) == began {
        let still = number < frozen.load(Ordering::SeqCst);
        let fresh = match still {
            true => Vec::new(),
            false => lines.lock().expect("no panic")[sent..].to_vec(),
        };
        sent += fresh.len();
        silence = if fresh.is_empty() { silence + 1 } else { 0 };
        let beat = if silence % 100 == 99 && !still { "\n" } else { "" };
        let text = fresh.iter().map(|l| format!("{l}\n")).collect::<String>() + beat;
        if !text.is_empty() && write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
        if matches!(
            stop.lock().expect("no panic").try_recv(),
            Err(std::sync::mpsc::TryRecvError::Disconnected)
        ) {
            return;
        }
    }
}

/// A line of the list.
pub fn host(name: &str, dial: SocketAddr, health: &str, born_ms: u64) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"k","block":1,"health":"{health}","share":4.0,"born_ms":{born_ms}}}"#
    )
}

pub fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// An address at which nobody listens, and nobody else will for as long as the socket is held: the system may give a port
/// that is free to the next test that asks for one.
pub fn dead_address() -> (SocketAddr, socket2::Socket) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    let address = socket.local_addr().expect("an address").as_socket().expect("of IPv4");
    (address, socket)
}

/// An address for a proxy's clients that nobody else is given for as long as the socket is held. Proxies share their
/// addresses with newer processes, and so with a socket that does not listen.
pub fn held_address() -> (SocketAddr, socket2::Socket) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_reuse_port(true).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    let address = socket.local_addr().expect("an address").as_socket().expect("of IPv4");
    (address, socket)
}

/// A server of a test's own making, a thread a connection.
pub fn serve(each: impl Fn(BufReader<TcpStream>, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, each) = (stream.expect("a connection"), each.clone());
            thread::spawn(move || each(BufReader::new(stream.try_clone().expect("a handle")), stream));
        }
    });
    address
}

/// Two backends that answer `one` and `two`. As long as the first, which is faster, may be used, it is.
pub fn quick_and_slower() -> [Backend; 2] {
    let second = Backend::with(|_| {
        thread::sleep(Duration::from_millis(25));
        Deed::Write(ok("two"))
    });
    [Backend::new(Deed::Write(ok("one"))), second]
}

/// Waits until all that is asked is answered by one of them.
pub fn only(proxy: &Proxy, what: &str, which: &str) {
    let mut n = 0;
    wait_for(what, || {
        n += 1;
        (0..10).all(|i| {
            let answer = Client::new(proxy).ask(&page(&format!("r-{which}-{n}-{i}"))).expect("an answer");
            answer.text() == which
        })
    });
}

/// The whole list once the first of two drains.
pub fn first_drains_whole(backends: &[Backend; 2], seq: u64) -> String {
    let line = |n: usize, health| host(&format!("s-{n}"), backends[n].address, health, 0);
    list(seq, true, &[line(0, "draining"), line(1, "up")])
}

/// A listener whose accept queue is full: connections to it don't come up until `accept` has made room.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    socket.listen(0).expect("a queue");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let mut fill = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        fill.push(stream);
        assert!(fill.len() < 100, "the queue never fills");
    }
    (listener, fill)
}

/// All backends up, the first version of the list.
pub fn all_up(backends: &[&Backend]) -> String {
    let line = |(i, b): (usize, &&Backend)| host(&format!("s-{i}"), b.address, "up", 0);
    list(1, true, &backends.iter().enumerate().map(line).collect::<Vec<_>>())
}

/// What a test may set otherwise.
pub struct Setup {
    pub known: String,
    pub sockets: usize,
    pub idle_close: u32,
    pub dial_timeout: u32,
    /// Of every class; its aim is four fifths of it.
    pub deadline: u32,
    pub may_tell: Option<(SocketAddr, SocketAddr)>,
    /// Proxies besides these two, at addresses where nobody is; the other one's number is the last.
    pub further_peers: usize,
    /// Whether it listens for calls by hand.
    pub admin: bool,
    /// Where clients connect; the system's choice if not told.
    pub listen: Option<SocketAddr>,
    /// The directory in which processes find each other.
    pub shared: Option<std::path::PathBuf>,
    /// Descriptors that the system allows the process.
    pub descriptors: Option<u32>,
    /// For how long a repeat of what is keyed is dropped.
    pub window: u32,
    /// How lists come.
    pub discovery: &'static str,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            known: "null".into(),
            sockets: 256,
            idle_close: 30_000,
            dial_timeout: 400,
            deadline: 5000,
            may_tell: None,
            further_peers: 0,
            admin: false,
            listen: None,
            shared: None,
            descriptors: None,
            window: 2500,
            discovery: "pushed",
        }
    }
}

pub fn config(discovery: SocketAddr, setup: &Setup) -> String {
    let tells = setup.may_tell.is_some();
    let listen = setup.listen.map_or_else(|| "127.0.0.1:0".to_owned(), |l| l.to_string());
    let admin = if setup.admin { r#""admin":"127.0.0.1:0","# } else { "" };
    let (deadline, aim) = (setup.deadline, setup.deadline / 5 * 4);
    let peers = setup.may_tell.map_or(String::new(), |(own, other)| {
        let further = |n: usize| format!(r#","127.111.{}.{}:9""#, n / 256, n % 256);
        let further: String = (0..setup.further_peers).map(further).collect();
        format!(r#""peer_listen":"{own}","peers":["{own}"{further},"{other}"],"peers_all":"{other}","#)
    });
    format!(
        r#"{{"name":"n0",{admin}"listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},{peers}"known":{},
        "settings":{{"zone":"a","zones":["a"],"flavors":["k"],"nInstances":{},"myNumber":0,"discovery":"{}",
        "weightSource":"nominal","accounts":[{{"name":"acme","allowancePerS":1000}}],
        "classes":[{{"name":"page","effect":"idempotent","promise":{aim},"deadline":{deadline},"worth":1}},
        {{"name":"submit","effect":"at_most_once","promise":{aim},"deadline":{deadline},"worth":1}},
        {{"name":"booking","effect":"deduplicated","dedupScope":"cell","window":{},"promise":{aim},"deadline":{deadline},"worth":1}}],
        "ceilings":{{"maxAttempts":6,"dialTimeout":{},"idleClose":{},"mayTell":{tells}}},
        "rules":{{"startCapacity":0.3,"cold":8700,"fall":1500,"fallMultiple":2.5,"drainGrace":500}}}}}}"#,
        setup.sockets,
        setup.known,
        if tells { 2 + setup.further_peers } else { 1 },
        setup.discovery,
        setup.window,
        setup.dial_timeout,
        setup.idle_close,
    )
}

/// A running proxy.
pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    /// Where it takes calls by hand.
    pub admin: Option<SocketAddr>,
    pub log: Arc<Mutex<String>>,
    file: std::path::PathBuf,
}

static COUNT: AtomicUsize = AtomicUsize::new(0);

/// Writes a configuration where the process finds it.
pub fn config_file(text: &str) -> std::path::PathBuf {
    file(text, "json")
}

/// The same for sandgap's own settings.
pub fn toml_file(text: &str) -> std::path::PathBuf {
    file(text, "toml")
}

fn file(text: &str, ending: &str) -> std::path::PathBuf {
    let number = COUNT.fetch_add(1, Ordering::SeqCst);
    let file = std::env::temp_dir().join(format!("sandgap-{}-{number}.{ending}", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    file
}

impl Proxy {
    pub fn start(discovery: &Discovery, setup: &Setup) -> Self {
        let file = config_file(&config(discovery.address, setup));
        let program = env!("CARGO_BIN_EXE_sandgap");
        let mut command = match setup.descriptors {
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {limit}; exec \"$0\""), program]);
                shell
            }
            None => Command::new(program),
        };
        command.env("NODE_CONFIG", &file).env_remove("TMPDIR");
        if let Some(directory) = &setup.shared {
            command.env("TMPDIR", directory);
        }
        Proxy::watched(command, file)
    }

    /// Starts one by a file of sandgap's own settings.
    pub fn serve(settings: &str) -> Self {
        Proxy::serve_prepared(settings, |_| {})
    }

    /// The same, with a command that is prepared for it.
    pub fn serve_prepared(settings: &str, prepare: impl FnOnce(&mut Command)) -> Self {
        let file = toml_file(settings);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandgap"));
        command.arg("serve").arg(&file);
        prepare(&mut command);
        Proxy::watched(command, file)
    }

    fn watched(mut command: Command, file: std::path::PathBuf) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the proxy starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let log = Arc::new(Mutex::new(String::new()));
        let after = |line: &str, words| line.split_once(words).map(|(_, a)| a.parse().expect("an address"));
        let (mut admin, mut said) = (None, String::new());
        let address = lines.by_ref().map_while(Result::ok).find_map(|line| {
            admin = admin.or_else(|| after(&line, "admin calls at "));
            said.push_str(&(line.clone() + "\n"));
            after(&line, "listens on ")
        });
        let address = address.unwrap_or_else(|| panic!("the proxy does not listen: {said}"));
        let kept = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                eprintln!("{line}");
                kept.lock().expect("no panic").push_str(&(line + "\n"));
            }
        });
        Proxy { child, address, admin, log, file }
    }

    /// Starts a proxy and waits until it is up.
    pub fn up(discovery: &Discovery, setup: &Setup) -> Self {
        let proxy = Proxy::start(discovery, setup);
        wait_for("/up", || proxy.is_up());
        proxy
    }

    pub fn is_up(&self) -> bool {
        Client::new(self).ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").is_some_and(|m| m.status() == 200)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Says something at the admin address; returns all that comes back, nothing if the process has ended.
    pub fn call(&self, text: &[u8]) -> String {
        let Ok(mut stream) = TcpStream::connect(self.admin.expect("an admin address")) else {
            return String::new();
        };
        stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
        let _ = stream.write_all(text); // an answer may come before the last byte
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer); // what came counts, however it ended
        answer
    }

    /// Replaces the configuration and says so.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).expect("a file");
        self.signal("-HUP");
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    /// Descriptors that the process holds at present.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the process runs").count()
    }

    /// Resident memory in KiB.
    pub fn memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a line");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Whether the log holds a text.
    pub fn said(&self, text: &str) -> bool {
        self.log.lock().expect("no panic").contains(text)
    }

    /// How often the log holds a text.
    pub fn log_count(&self, text: &str) -> usize {
        self.log.lock().expect("no panic").matches(text).count()
    }

    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the proxy's end", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.expect("just seen")
    }

    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn new(proxy: &Proxy) -> Self {
        Client::at(proxy.address)
    }

    pub fn at(address: SocketAddr) -> Self {
        Client::on(TcpStream::connect(address).expect("the proxy accepts"))
    }

    /// One whose connection is up.
    pub fn on(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes()); // a closed connection shows at the answer
    }

    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    /// Whether something of an answer comes within some milliseconds, which stays unread.
    pub fn has_answer(&mut self) -> bool {
        self.0.get_ref().set_read_timeout(Some(Duration::from_millis(5))).expect("a time-out");
        let has = self.0.fill_buf().is_ok_and(|bytes| !bytes.is_empty());
        self.0.get_ref().set_read_timeout(Some(LIMIT)).expect("a time-out");
        has
    }

    pub fn ask(&mut self, text: &str) -> Option<Message> {
        self.send(text);
        self.answer()
    }

    /// The answer as far as it tells where it ends, then whether the connection ends with nothing more on it.
    pub fn last_answer(&mut self) -> Option<(u16, bool)> {
        let answer = self.answer()?;
        Some((answer.status(), self.is_closed()))
    }

    /// Ends the sending, as a client that leaves does.
    pub fn leave(&self) {
        self.0.get_ref().shutdown(Shutdown::Write).expect("a connection");
    }

    /// Is gone at once, with a reset, whatever is still on its way.
    pub fn vanish(self) {
        let socket = socket2::SockRef::from(self.0.get_ref());
        socket.set_linger(Some(Duration::ZERO)).expect("a connection");
    }

    /// Whether the proxy closes the connection with nothing more on it.
    pub fn is_closed(&mut self) -> bool {
        match self.0.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }
}

/// A request that is safe to repeat.
pub fn page(id: &str) -> String {
    format!(
        "GET /page?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: 5\r\n\r\n"
    )
}

/// One whose repeat is dropped within a cell.
pub fn booking(id: &str, timeout: &str) -> String {
    format!(
        "POST /booking?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {timeout}\r\nIdempotency-Key: k-{id}\r\nContent-Length: 1\r\n\r\nx"
    )
}

/// One that must not run twice.
pub fn submit(id: &str, timeout: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /submit?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {timeout}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
