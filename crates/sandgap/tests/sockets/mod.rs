//! Test harness: a proxy process on loopback with a minimal discovery service and minimal backends. The system assigns
//! all ports, and every wait ends when its condition holds or after a generous time-out.
#![allow(dead_code)] // each test file uses only some of these items
pub mod answers;
pub mod random;
pub mod saturated;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upper bound of every wait, generous enough for a loaded machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until `holds` returns true; panics after [`WAIT_TIMEOUT`], naming `what` it waited for.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP request or response read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    /// Names and values in the order received.
    pub headers: Vec<(String, String)>,
    /// The body, as long as its Content-Length.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header of that name, whatever its case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The status code of a response; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The `X-Request-ID`; empty if there is none.
    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or("")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// The status of an answer; panics if there is none.
pub fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

/// Reads one message; `None` if the connection ends before it is complete.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.start_line.is_empty() {
            message.start_line = line.to_owned();
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

/// What a test backend does with a request.
#[derive(Clone)]
pub enum Action {
    /// Writes these bytes and keeps the connection open.
    Write(String),
    /// Writes these bytes and closes the connection.
    WriteAndClose(String),
    /// Sends nothing until the gate opens, then writes these bytes.
    Hold(Gate, String),
}

/// A one-shot latch shared between threads.
#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicUsize>);

impl Gate {
    /// Opens the gate for good.
    pub fn open(&self) {
        self.0.store(1, Ordering::SeqCst);
    }

    /// Blocks until the gate is open.
    pub fn wait(&self) {
        wait_for("a gate", || self.0.load(Ordering::SeqCst) == 1);
    }
}

/// A 200 response with this body and a header `X-Own: kept`.
pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Own: kept\r\n\r\n{body}", body.len())
}

/// A response with this status line and no body.
pub fn empty(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
}

type Requests = Arc<Mutex<Vec<Message>>>;

/// A backend that records each request and handles it by a given action.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    requests: Requests,
    /// Connections accepted.
    pub opened: Arc<AtomicUsize>,
    /// Accepted connections that have ended.
    pub closed: Arc<AtomicUsize>,
}

impl Backend {
    /// Starts a backend that handles all requests alike.
    pub fn new(action: Action) -> Self {
        Backend::with(move |_| action.clone())
    }

    /// Starts a backend that picks an action for each request.
    pub fn with(action: impl Fn(&Message) -> Action + Send + Sync + 'static) -> Self {
        Backend::on(TcpListener::bind("127.0.0.1:0").expect("a port"), action)
    }

    /// Starts a backend that accepts connections from a listener and picks an action for each request.
    pub fn on(listener: TcpListener, action: impl Fn(&Message) -> Action + Send + Sync + 'static) -> Self {
        let address = listener.local_addr().expect("an address");
        let (requests, opened, closed) = (Requests::default(), Arc::default(), Arc::default());
        let backend = Backend { address, requests, opened, closed };
        let (requests, opened, closed) =
            (backend.requests.clone(), backend.opened.clone(), backend.closed.clone());
        let action = Arc::new(action);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (requests, closed, action) = (requests.clone(), closed.clone(), action.clone());
                opened.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    backend_connection(stream.expect("a connection"), &requests, &*action);
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    /// All requests received so far.
    pub fn requests(&self) -> Vec<Message> {
        self.requests.lock().expect("no panic").clone()
    }

    /// Connections accepted so far.
    pub fn connections_opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }

    /// Accepted connections that have ended.
    pub fn connections_closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }
}

fn backend_connection(stream: TcpStream, requests: &Requests, action: &dyn Fn(&Message) -> Action) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut stream = stream;
    while let Some(request) = read_message(&mut reader) {
        let action = action(&request);
        requests.lock().expect("no panic").push(request);
        // The proxy may have closed the connection meanwhile, which is allowed.
        let wrote = match action {
            Action::Write(text) => stream.write_all(text.as_bytes()),
            Action::WriteAndClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Action::Hold(gate, text) => {
                gate.wait();
                stream.write_all(text.as_bytes())
            }
        };
        if wrote.is_err() {
            return;
        }
    }
}

/// A discovery service for one proxy: each watch receives the lines published so far and those that follow.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    /// All requests received.
    pub requests: Requests,
    /// 1 while new watches get no answer.
    unresponsive: Arc<AtomicUsize>,
    /// Number of watches, counted from the first, that stay open and send nothing more.
    frozen: Arc<AtomicUsize>,
    /// Calls that have ended.
    pub ended_calls: Arc<AtomicUsize>,
    /// Delay of each answer in ms, and how many of the next calls are rejected.
    delay_and_rejections: Arc<(AtomicUsize, AtomicUsize)>,
    /// How often the service has lost its state and restarted its version numbers.
    epoch: Arc<AtomicUsize>,
    _stop: Sender<()>,
}

impl Discovery {
    /// Starts a service that has no list yet.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (lines, requests) = (Arc::new(Mutex::new(Vec::new())), Requests::default());
        let (stop, stopped) = channel();
        let stopped = Arc::new(Mutex::new(stopped));
        let (published, received) = (lines.clone(), requests.clone());
        let [unresponsive, frozen, ended_calls] = std::array::from_fn(|_| Arc::<AtomicUsize>::default());
        let (unresponsive_flag, frozen_count, ended_count) =
            (unresponsive.clone(), frozen.clone(), ended_calls.clone());
        let delay_and_rejections = Arc::<(AtomicUsize, AtomicUsize)>::default();
        let delays = delay_and_rejections.clone();
        let epoch = Arc::<AtomicUsize>::default();
        let epoch_counter = epoch.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (published, received, stopped) = (published.clone(), received.clone(), stopped.clone());
                let (unresponsive_flag, frozen_count, ended_count, delays) =
                    (unresponsive_flag.clone(), frozen_count.clone(), ended_count.clone(), delays.clone());
                let epoch_counter = epoch_counter.clone();
                thread::spawn(move || {
                    let stream = stream.expect("a connection");
                    watch(
                        stream,
                        &published,
                        &received,
                        &stopped,
                        &unresponsive_flag,
                        &frozen_count,
                        &delays,
                        &epoch_counter,
                    );
                    ended_count.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Discovery {
            address,
            lines,
            requests,
            unresponsive,
            frozen,
            ended_calls,
            delay_and_rejections,
            epoch,
            _stop: stop,
        }
    }

    /// Simulates a service that has lost its state: its watches end, and its version numbers restart with that of `line`,
    /// a whole list. A watch that resumes from a version the service does not have yet gets that list.
    pub fn reset_versions(&self, line: &str) {
        let mut lines = self.lines.lock().expect("no panic");
        *lines = vec![line.to_owned()];
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Delays the answer to each call from now on by `ms` milliseconds.
    pub fn delay_answers(&self, ms: usize) {
        self.delay_and_rejections.0.store(ms, Ordering::SeqCst);
    }

    /// Answers the next `next` calls with 503.
    pub fn reject_calls(&self, next: usize) {
        self.delay_and_rejections.1.store(next, Ordering::SeqCst);
    }

    /// The request lines of all calls so far.
    pub fn request_lines(&self) -> Vec<String> {
        self.requests.lock().expect("no panic").iter().map(|m| m.start_line.clone()).collect()
    }

    /// Leaves watches that are opened from now on without an answer.
    pub fn stop_answering(&self) {
        self.unresponsive.store(1, Ordering::SeqCst);
    }

    /// Answers new watches again; those opened while the service did not answer never are.
    pub fn resume_answering(&self) {
        self.unresponsive.store(0, Ordering::SeqCst);
    }

    /// Keeps all watches that are open now, and the next `next` ones, open without sending anything more.
    pub fn freeze_watches(&self, next: usize) {
        self.frozen.store(self.calls() + next, Ordering::SeqCst);
    }

    /// Number of calls so far.
    pub fn calls(&self) -> usize {
        self.requests.lock().expect("no panic").len()
    }

    /// Sends a line to all watches that are not frozen, present and future.
    pub fn publish(&self, line: &str) {
        self.lines.lock().expect("no panic").push(line.to_owned());
    }
}

#[allow(clippy::too_many_arguments)] // each parameter controls one way to misbehave
fn watch(
    mut stream: TcpStream, lines: &Mutex<Vec<String>>, requests: &Requests, stop: &Mutex<Receiver<()>>,
    unresponsive: &AtomicUsize, frozen: &AtomicUsize, delay_and_rejections: &(AtomicUsize, AtomicUsize),
    epoch: &AtomicUsize,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let Some(request) = read_message(&mut reader) else { return };
    // A watch that resumes gets what was published after that version; a line that can't be parsed has no version.
    let after =
        request.start_line.split_once("after=").map(|(_, rest)| rest.split(' ').next().unwrap_or(rest));
    let after: Option<u64> = after.and_then(|n| n.parse().ok());
    let mut all = requests.lock().expect("no panic");
    let number = all.len();
    all.push(request);
    drop(all);
    if unresponsive.load(Ordering::SeqCst) == 1 {
        let _ = stream.read(&mut [0; 1]); // until the proxy closes it
        return;
    }
    let rejected =
        delay_and_rejections.1.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok();
    if rejected {
        let _ = stream.write_all(empty("503 Busy").as_bytes());
        return;
    }
    thread::sleep(Duration::from_millis(delay_and_rejections.0.load(Ordering::SeqCst) as u64));
    let seq = |line: &String| serde_json::from_str::<serde_json::Value>(line).ok()?["seq"].as_u64();
    let epoch_at_start = epoch.load(Ordering::SeqCst);
    let mut sent = match after {
        Some(after) => {
            let lines = lines.lock().expect("no panic");
            let is_ahead = lines.iter().filter_map(seq).max().is_some_and(|last| after > last);
            let next_line =
                || lines.iter().position(|l| seq(l).is_some_and(|s| s > after)).unwrap_or(lines.len());
            if is_ahead { 0 } else { next_line() }
        }
        None => 0,
    };
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut silence = 0;
    while epoch.load(Ordering::SeqCst) == epoch_at_start {
        let is_frozen = number < frozen.load(Ordering::SeqCst);
        let unsent = match is_frozen {
            true => Vec::new(),
            false => lines.lock().expect("no panic")[sent..].to_vec(),
        };
        sent += unsent.len();
        silence = if unsent.is_empty() { silence + 1 } else { 0 };
        let heartbeat = if silence % 100 == 99 && !is_frozen { "\n" } else { "" };
        let text = unsent.iter().map(|l| format!("{l}\n")).collect::<String>() + heartbeat;
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

/// An entry of the list of backends.
pub fn host(name: &str, dial: SocketAddr, health: &str, born_ms: u64) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"k","block":1,"health":"{health}","share":4.0,"born_ms":{born_ms}}}"#
    )
}

/// A list of backends with a version: a whole list, or changes to it.
pub fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// An address at which nothing listens for as long as the returned socket is held. Without the socket the system might
/// assign the free port to another test.
pub fn dead_address() -> (SocketAddr, socket2::Socket) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    let address = socket.local_addr().expect("an address").as_socket().expect("of IPv4");
    (address, socket)
}

/// An address for a proxy's clients, reserved for as long as the returned socket is held. Proxies share their address with
/// newer processes (SO_REUSEPORT), and therefore also with this socket, which does not listen.
pub fn held_address() -> (SocketAddr, socket2::Socket) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_reuse_port(true).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    let address = socket.local_addr().expect("an address").as_socket().expect("of IPv4");
    (address, socket)
}

/// Starts a server that runs `each` in a thread of its own for every connection.
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

/// Two backends that answer `one` and `two`. The proxy prefers the first, which is faster, as long as it may be used.
pub fn fast_and_slow_backends() -> [Backend; 2] {
    let second = Backend::with(|_| {
        thread::sleep(Duration::from_millis(25));
        Action::Write(ok("two"))
    });
    [Backend::new(Action::Write(ok("one"))), second]
}

/// Waits until ten requests in a row are answered by the backend whose body is `which`.
pub fn wait_until_only(proxy: &Proxy, what: &str, which: &str) {
    let mut n = 0;
    wait_for(what, || {
        n += 1;
        (0..10).all(|i| {
            let answer = Client::new(proxy).request(&page(&format!("r-{which}-{n}-{i}"))).expect("an answer");
            answer.text() == which
        })
    });
}

/// The whole list with the first of two backends draining.
pub fn whole_list_first_draining(backends: &[Backend; 2], seq: u64) -> String {
    let line = |n: usize, health| host(&format!("s-{n}"), backends[n].address, health, 0);
    list(seq, true, &[line(0, "draining"), line(1, "up")])
}

/// A listener whose accept queue is full, and the connections that fill it: further connections are not established until
/// `accept` has made room.
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

/// The first version of the list, with all backends up.
pub fn list_all_up(backends: &[&Backend]) -> String {
    let line = |(i, b): (usize, &&Backend)| host(&format!("s-{i}"), b.address, "up", 0);
    list(1, true, &backends.iter().enumerate().map(line).collect::<Vec<_>>())
}

/// Settings of a proxy that a test may change.
pub struct Setup {
    /// The list known at the start, as JSON.
    pub known: String,
    /// Limit of open sockets.
    pub sockets: usize,
    /// Memory limit in MB.
    pub memory_mb: usize,
    /// Idle time in ms after which backends may close a connection; the proxy closes it earlier.
    pub idle_close: u32,
    /// Time in ms for connecting to a backend.
    pub dial_timeout: u32,
    /// Deadline of every class in ms; its aim is four fifths of it.
    pub deadline: u32,
    /// The proxy's own peer address and that of the other proxy, if proxies may send each other reports.
    pub may_tell: Option<(SocketAddr, SocketAddr)>,
    /// Proxies besides these two, at addresses where nothing listens; the other proxy has the last number.
    pub further_peers: usize,
    /// Whether the proxy has an admin address.
    pub admin: bool,
    /// The address for clients; the system assigns one if `None`.
    pub listen: Option<SocketAddr>,
    /// The directory (TMPDIR) in which processes of an upgrade find each other.
    pub shared: Option<std::path::PathBuf>,
    /// Limit of file descriptors (ulimit -n) of the process.
    pub descriptor_limit: Option<u32>,
    /// Time in ms for which a repeat of a keyed request is deduplicated.
    pub window: u32,
    /// How lists arrive: `pushed` or `on_request`.
    pub discovery: &'static str,
    /// Whether a request may have two attempts at once.
    pub second_copies: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            known: "null".into(),
            sockets: 256,
            memory_mb: 192,
            idle_close: 30_000,
            dial_timeout: 400,
            deadline: 5000,
            may_tell: None,
            further_peers: 0,
            admin: false,
            listen: None,
            shared: None,
            descriptor_limit: None,
            window: 2500,
            discovery: "pushed",
            second_copies: true,
        }
    }
}

/// A configuration in the platform's JSON format.
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
        "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},{peers}"known":{},
        "settings":{{"zone":"a","zones":["a"],"flavors":["k"],"nInstances":{},"myNumber":0,"discovery":"{}",
        "weightSource":"nominal","accounts":[{{"name":"acme","allowancePerS":1000}}],
        "classes":[{{"name":"page","effect":"idempotent","promise":{aim},"deadline":{deadline},"worth":1}},
        {{"name":"submit","effect":"at_most_once","promise":{aim},"deadline":{deadline},"worth":1}},
        {{"name":"booking","effect":"deduplicated","dedupScope":"cell","window":{},"promise":{aim},"deadline":{deadline},"worth":1}}],
        "ceilings":{{"maxAttempts":6,"dialTimeout":{},"idleClose":{},"mayTell":{tells},"cancel":true,"secondCopies":{}}},
        "rules":{{"startCapacity":0.3,"cold":8700,"fall":1500,"fallMultiple":2.5,"drainGrace":500}}}}}}"#,
        setup.memory_mb,
        setup.sockets,
        setup.known,
        if tells { 2 + setup.further_peers } else { 1 },
        setup.discovery,
        setup.window,
        setup.dial_timeout,
        setup.idle_close,
        setup.second_copies,
    )
}

/// A running proxy process, killed on drop.
pub struct Proxy {
    child: Child,
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// The admin address.
    pub admin: Option<SocketAddr>,
    /// What the process has logged since it began to listen.
    pub log: Arc<Mutex<String>>,
    file: std::path::PathBuf,
}

static COUNT: AtomicUsize = AtomicUsize::new(0);

/// Writes a configuration in the platform's JSON format to a temporary file.
pub fn config_file(text: &str) -> std::path::PathBuf {
    file(text, "json")
}

/// Writes sandgap's own settings (TOML) to a temporary file.
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
    /// Starts a proxy by the platform's configuration and waits until it listens.
    pub fn start(discovery: &Discovery, setup: &Setup) -> Self {
        let file = config_file(&config(discovery.address, setup));
        let program = env!("CARGO_BIN_EXE_sandgap");
        let mut command = match setup.descriptor_limit {
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
        Proxy::spawn(command, file)
    }

    /// Starts a proxy by a text of the platform's configuration and waits until it listens.
    pub fn start_with(text: &str) -> Self {
        Proxy::start_in(text, None)
    }

    /// Like [`Proxy::start_with`]; processes of an upgrade find each other in the directory `shared`.
    pub fn start_in(text: &str, shared: Option<&std::path::Path>) -> Self {
        let file = config_file(text);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandgap"));
        command.env("NODE_CONFIG", &file).env_remove("TMPDIR");
        command.envs(shared.map(|directory| ("TMPDIR", directory)));
        Proxy::spawn(command, file)
    }

    /// Starts `sandgap serve` with a file of sandgap's own settings.
    pub fn serve(settings: &str) -> Self {
        Proxy::serve_with(settings, |_| {})
    }

    /// Like [`Proxy::serve`], with a hook that changes the command before it runs.
    pub fn serve_with(settings: &str, prepare: impl FnOnce(&mut Command)) -> Self {
        let file = toml_file(settings);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandgap"));
        command.arg("serve").arg(&file);
        prepare(&mut command);
        Proxy::spawn(command, file)
    }

    fn spawn(mut command: Command, file: std::path::PathBuf) -> Self {
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

    /// Whether `/up` answers 200.
    pub fn is_up(&self) -> bool {
        Client::new(self).request("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").is_some_and(|m| m.status() == 200)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends text to the admin address and returns the whole answer; empty if the process has ended.
    pub fn admin_call(&self, text: &[u8]) -> String {
        let Ok(mut stream) = TcpStream::connect(self.admin.expect("an admin address")) else {
            return String::new();
        };
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        let _ = stream.write_all(text); // an answer may come before the last byte
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer); // an answer cut by an error still counts
        answer
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).expect("a file");
        self.signal("-HUP");
    }

    /// Sends a signal, given as an option of kill(1).
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    /// File descriptors the process has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the process runs").count()
    }

    /// Resident memory of the process in KiB.
    pub fn resident_kib(&self) -> usize {
        self.status_kib("VmRSS:")
    }

    /// The largest memory of the process alone (RssAnon) in MB, looked at every few ms while `play` runs.
    pub fn peak_memory_mb<T>(&self, play: impl FnOnce() -> T) -> (f64, T) {
        peak_mb(&[self], "RssAnon:", play)
    }

    /// The largest resident memory of the process in MB, with the pages of its program.
    pub fn peak_resident_mb<T>(&self, play: impl FnOnce() -> T) -> (T, f64) {
        let (peak, result) = peak_mb(&[self], "VmRSS:", play);
        (result, peak)
    }

    /// Largest resident memory of the process so far, in KiB.
    pub fn peak_resident_kib(&self) -> usize {
        self.status_kib("VmHWM:")
    }

    /// A figure of /proc/PID/status in KiB; 0 once the process has ended.
    fn status_kib(&self, figure: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(figure));
        line.map_or(0, |line| line.trim().trim_end_matches(" kB").parse().expect("a number"))
    }

    /// The log so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("no panic").clone()
    }

    /// Whether the log contains a text.
    pub fn log_contains(&self, text: &str) -> bool {
        self.log.lock().expect("no panic").contains(text)
    }

    /// How often the log contains a text.
    pub fn log_count(&self, text: &str) -> usize {
        self.log.lock().expect("no panic").matches(text).count()
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the proxy's end", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.expect("just seen")
    }

    /// Whether the process has not exited yet.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }
}

/// Sets a flag when it is dropped.
struct StoreOnDrop<'a>(&'a AtomicUsize);

impl Drop for StoreOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(1, Ordering::SeqCst);
    }
}

/// The largest sum in MB of a figure of some processes, looked at every few ms while `play` runs.
pub fn peak_mb<T>(processes: &[&Proxy], figure: &str, play: impl FnOnce() -> T) -> (f64, T) {
    let has_ended = AtomicUsize::new(0);
    thread::scope(|scope| {
        let sampler = scope.spawn(|| {
            let mut peak_kib = 0;
            while has_ended.load(Ordering::SeqCst) == 0 {
                peak_kib = peak_kib.max(processes.iter().map(|process| process.status_kib(figure)).sum());
                thread::sleep(Duration::from_millis(5));
            }
            peak_kib as f64 / 1024.0
        });
        let end = StoreOnDrop(&has_ended); // also if the play panics
        let result = play();
        drop(end);
        (sampler.join().expect("no panic"), result)
    })
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
        if !thread::panicking() {
            assert!(!self.log_contains("internal error"), "the proxy has reported an error of its own");
        }
    }
}

/// A client connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to a proxy.
    pub fn new(proxy: &Proxy) -> Self {
        Client::connect(proxy.address)
    }

    /// Connects to an address.
    pub fn connect(address: SocketAddr) -> Self {
        Client::from_stream(TcpStream::connect(address).expect("the proxy accepts"))
    }

    /// A client on an established connection.
    pub fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        Client(BufReader::new(stream))
    }

    /// Sends bytes without waiting for an answer.
    pub fn send(&mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes()); // a closed connection is noticed when the answer is read
    }

    /// Reads one answer; `None` if the connection ends before it is complete.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    /// Whether the first bytes of an answer arrive within 5 ms; they stay unread.
    pub fn has_answer(&mut self) -> bool {
        self.0.get_ref().set_read_timeout(Some(Duration::from_millis(5))).expect("a time-out");
        let has = self.0.fill_buf().is_ok_and(|bytes| !bytes.is_empty());
        self.0.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        has
    }

    /// Sends a request and reads its answer.
    pub fn request(&mut self, text: &str) -> Option<Message> {
        self.send(text);
        self.answer()
    }

    /// The status of the next answer, and whether the connection then closes with nothing more on it.
    pub fn last_answer(&mut self) -> Option<(u16, bool)> {
        let answer = self.answer()?;
        Some((answer.status(), self.is_closed()))
    }

    /// Shuts down the write side, as a disconnecting client does.
    pub fn shutdown_write(&self) {
        self.0.get_ref().shutdown(Shutdown::Write).expect("a connection");
    }

    /// Resets the connection (SO_LINGER 0), whatever is still in transit.
    pub fn reset(self) {
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

/// A request of class `page`, which is safe to repeat.
pub fn page(id: &str) -> String {
    format!(
        "GET /page?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: 5\r\n\r\n"
    )
}

/// A request of class `booking`, whose repeats are deduplicated within a cell.
pub fn booking(id: &str, timeout: &str) -> String {
    format!(
        "POST /booking?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {timeout}\r\nIdempotency-Key: k-{id}\r\nContent-Length: 1\r\n\r\nx"
    )
}

/// A request of class `submit`, which must not run twice.
pub fn submit(id: &str, timeout: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /submit?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {timeout}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
