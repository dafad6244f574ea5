//! What all cases share: the record, processes under test, a backend, a discovery service, a client, a relay.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::{CommandExt as _, ExitStatusExt as _, parent_id};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Sleeps for this many milliseconds.
pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a run: one line for each event, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record(Arc::new((Mutex::new(file), Instant::now())))
    }

    pub fn seconds(&self) -> f64 {
        self.0.1.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3}  {}\n", self.seconds(), text.as_ref());
        let mut file = self.0.0.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// The frame of a case: its record, a temporary folder, and whether the disruption is played.
pub struct Case {
    pub record: Record,
    pub folder: PathBuf,
    pub trouble: bool,
}

impl Case {
    pub fn new(record: &Path) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        start_guard(&folder);
        // No case takes longer; one that hangs ends its processes here.
        thread::spawn(|| {
            sleep_ms(100_000);
            print("can't run: it took over 100 s");
            end_all();
            std::process::exit(2);
        });
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::new(record);
        record.line(format!("disruption: {}", if trouble { "played" } else { "left out (TROUBLE=0)" }));
        Case { record, folder, trouble }
    }

    /// Writes a file into the temporary folder and returns its path.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// Waits for a condition. The case can't run if it does not come true in time.
    pub fn wait_for(&self, what: &str, seconds: u64, mut is_true: impl FnMut() -> bool) {
        let end = Instant::now() + Duration::from_secs(seconds);
        while !is_true() {
            if Instant::now() > end {
                self.cannot_run(&format!("waited in vain for {what}"));
            }
            sleep_ms(20);
        }
        self.record.line(format!("seen: {what}"));
    }

    /// Ends the run with exit code 2.
    pub fn cannot_run(&self, why: &str) -> ! {
        self.record.line(format!("CAN'T RUN: {why}"));
        print(&format!("can't run: {why}"));
        end_all();
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(2);
    }

    /// Ends the run with the verdict.
    pub fn finish(&self, broken: &[String]) -> ! {
        end_all();
        for line in broken {
            self.record.line(format!("BROKEN: {line}"));
        }
        let verdict = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
        self.record.line(format!("verdict: {verdict} ({} findings)", broken.len()));
        print(&format!("{verdict} ({} findings)", broken.len()));
        for line in broken.iter().take(5) {
            print(&format!("  {line}"));
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        std::process::exit(i32::from(!broken.is_empty()));
    }
}

/// Ids of all processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The guard's input.
static GUARD: Mutex<Option<ChildStdin>> = Mutex::new(None);

/// Ends the processes of which it was told, and removes the folder $1, once its input ends, however that came.
const GUARD_SCRIPT: &str = r#"trap "" INT TERM HUP; pids=
while read -r what pid; do
  case $what in
    start) pids="$pids $pid" ;;
    end) left=; for p in $pids; do [ "$p" = "$pid" ] || left="$left $p"; done; pids=$left ;;
  esac
done
[ -z "$pids" ] || kill -KILL $pids 2>/dev/null
[ -n "$KEEP" ] || rm -rf "$1""#;

/// Starts the guard, which outlives this process if that is killed.
fn start_guard(folder: &Path) {
    let mut command = Command::new("/bin/sh");
    command.args(["-c", GUARD_SCRIPT, "guard"]).arg(folder);
    command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
    let mut guard = command.spawn().expect("a shell starts");
    *GUARD.lock().unwrap_or_else(PoisonError::into_inner) = guard.stdin.take();
}

fn tell_guard(what: &str, pid: u32) {
    if let Some(guard) = &mut *GUARD.lock().unwrap_or_else(PoisonError::into_inner) {
        let _ = writeln!(guard, "{what} {pid}");
    }
}

/// Writes a line to the standard output, which nobody need read.
fn print(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

fn kill(pid: u32, signal: &str) {
    let _ =
        Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {pid}")]).stderr(Stdio::null()).status();
}

/// Has the system kill a process once the thread that started it has ended, also if that is killed before the guard is told.
fn end_with_parent(command: &mut Command) {
    const SET_PARENT_DEATH_SIGNAL: i32 = 1;
    const KILL: usize = 9;
    let parent = std::process::id();
    let set = move || {
        // SAFETY: prctl(2) with this option takes one number and touches no memory.
        unsafe { prctl(SET_PARENT_DEATH_SIGNAL, KILL) };
        if parent_id() == parent { Ok(()) } else { Err(io::ErrorKind::Interrupted.into()) }
    };
    // SAFETY: between fork and exec, only system calls are made.
    unsafe { command.pre_exec(set) };
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
}

/// Kills all processes that were started, and waits for their end.
pub fn end_all() {
    let pids: Vec<u32> = STARTED.lock().unwrap_or_else(PoisonError::into_inner).drain(..).collect();
    for pid in &pids {
        kill(*pid, "CONT");
        kill(*pid, "KILL");
    }
    for pid in pids {
        // SAFETY: a null status is allowed. A process that another thread has waited for is an error, returned at once.
        unsafe { waitpid(pid as i32, std::ptr::null_mut(), 0) };
        tell_guard("end", pid);
    }
}

/// The command that starts a proxy, from the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("run from the repository's root");
    let line = text.lines().find(|line| line.starts_with("run")).expect("a 'run' line");
    line.split('"').nth(1).expect("a quoted command").to_owned()
}

/// A process of the program under test.
pub struct Proxy {
    child: Child,
    record: Record,
    name: String,
}

impl Proxy {
    /// Starts a proxy with the deploy file's command and this configuration file.
    pub fn start(case: &Case, name: &str, config: &Path) -> Self {
        let temporary = case.folder.join(format!("tmp-{name}"));
        std::fs::create_dir_all(&temporary).expect("a folder");
        Proxy::start_in(case, name, config, &temporary)
    }

    /// The same with a given $TMPDIR.
    pub fn start_in(case: &Case, name: &str, config: &Path, temporary: &Path) -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let log = case.folder.join(format!("{name}-{}.log", COUNT.fetch_add(1, Ordering::Relaxed)));
        let out = File::create(&log).expect("a log");
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run_command()]).env("NODE_CONFIG", config).env("TMPDIR", temporary);
        command.stdin(Stdio::null()).stdout(out.try_clone().expect("a log")).stderr(out);
        end_with_parent(&mut command);
        let child = command.spawn().expect("the proxy starts");
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        tell_guard("start", child.id());
        case.record.line(format!("{name}: started, process {}", child.id()));
        Proxy { child, record: case.record.clone(), name: name.to_owned() }
    }

    pub fn signal(&self, signal: &str) {
        self.record.line(format!("{}: SIG{signal}", self.name));
        kill(self.child.id(), signal);
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether it runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Whether somebody else has ended it by SIGKILL or SIGTERM: then it has not ended by itself.
    pub fn was_ended_from_outside(&mut self) -> bool {
        const KILL: i32 = 9;
        const TERM: i32 = 15;
        let signal = self.child.try_wait().ok().flatten().and_then(|status| status.signal());
        matches!(signal, Some(KILL | TERM))
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        self.signal("KILL");
        let _ = self.child.wait();
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).retain(|pid| *pid != self.child.id());
        tell_guard("end", self.child.id());
    }
}

/// Runs `sandgap fleet WORDS --settings FILE` to its end.
pub fn fleet(case: &Case, settings: &Path, words: &[&str]) -> Output {
    let program = run_command().trim_start_matches("exec ").to_owned();
    case.record.line(format!("operator: sandgap fleet {}", words.join(" ")));
    let mut command = Command::new(program);
    command.arg("fleet").args(words).arg("--settings").arg(settings);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    end_with_parent(&mut command);
    let child = command.spawn().expect("the program runs");
    let pid = child.id();
    STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(pid);
    tell_guard("start", pid);
    let output = child.wait_with_output().expect("the program ends");
    STARTED.lock().unwrap_or_else(PoisonError::into_inner).retain(|p| *p != pid);
    tell_guard("end", pid);
    let text =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    let code = output.status.code().unwrap_or(-1);
    case.record.line(format!("operator: 'fleet {}' ended with {code}: {}", words.join(" "), text.trim()));
    output
}

/// The same; the case can't run if the call fails.
pub fn fleet_ok(case: &Case, settings: &Path, words: &[&str]) -> Output {
    let output = fleet(case, settings, words);
    if !output.status.success() {
        case.cannot_run(&format!("'fleet {}' failed", words.join(" ")));
    }
    output
}

/// An address with a port that is free at present.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// The head of an HTTP message: its first line and its headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// A connection with a buffer for what was read beyond a message.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        Ok(Wire::new(TcpStream::connect_timeout(&to, Duration::from_secs(2))?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let n = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..n]);
        Ok(n)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                let clean = self.buffer.is_empty();
                return if clean { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let pair = |line: &str| line.split_once(':').map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
        Ok(Some(Head { first, headers: lines.filter_map(pair).collect() }))
    }

    /// Reads up to `most` bytes of a body; empty at the end of the connection.
    pub fn some(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() {
            let mut part = vec![0; most.min(16 << 10)];
            let n = self.stream.read(&mut part)?;
            part.truncate(n);
            return Ok(part);
        }
        let n = most.min(self.buffer.len());
        Ok(self.buffer.drain(..n).collect())
    }

    /// Reads a body by its length or chunks; without either, up to the end of the connection if `to_end`.
    pub fn body(&mut self, head: &Head, to_end: bool) -> io::Result<Vec<u8>> {
        let eof = || io::Error::from(io::ErrorKind::UnexpectedEof);
        if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = usize::from_str_radix(self.text_line()?.trim(), 16).map_err(io::Error::other)?;
                let part = self.exactly(size)?;
                self.text_line()?;
                if size == 0 {
                    return Ok(body);
                }
                body.extend(part);
            }
        }
        match head.get("content-length").map(str::parse::<usize>) {
            Some(Ok(length)) => self.exactly(length),
            Some(Err(e)) => Err(io::Error::other(e)),
            None if to_end => {
                while self.fill().map_err(|_| eof())? > 0 {}
                Ok(std::mem::take(&mut self.buffer))
            }
            None => Ok(Vec::new()),
        }
    }

    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..n).collect())
    }
}

/// An answer that a client has got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// A request that a backend has got.
#[derive(Clone, Debug)]
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
    /// Number of the connection, and of the request on it, from 0.
    pub connection: usize,
    pub on_connection: usize,
    /// Seconds since the record's start.
    pub at: f64,
    /// How many requests have come on the connection by now.
    pub come: Arc<AtomicUsize>,
}

impl Request {
    pub fn id(&self) -> &str {
        self.head.get("x-request-id").unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.head.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Answers a request; false closes the connection.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

/// A backend: a thread a connection, one request at a time on each.
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Request>>>,
    is_off: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Backend {
    pub fn start(case: &Case, name: &str, handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen: Arc<Mutex<Vec<Request>>> = Arc::default();
        let (record, log, own) = (case.record.clone(), seen.clone(), name.to_owned());
        let is_off: Arc<AtomicBool> = Arc::default();
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (off, open) = (is_off.clone(), streams.clone());
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                if off.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                open.lock().unwrap().extend(stream.try_clone());
                let (record, log, own, handler) = (record.clone(), log.clone(), own.clone(), handler.clone());
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    let come: Arc<AtomicUsize> = Arc::default();
                    for on_connection in 0.. {
                        let Ok(Some(head)) = wire.head() else { return };
                        let Ok(body) = wire.body(&head, false) else { return };
                        come.fetch_add(1, Ordering::SeqCst);
                        let (at, come) = (record.seconds(), come.clone());
                        let request = Request { head, body, connection, on_connection, at, come };
                        record.line(format!(
                            "{own}: got {} of {} on connection {connection}",
                            request.id(),
                            request.head.first
                        ));
                        log.lock().unwrap().push(request.clone());
                        if !handler(&request, &mut wire.stream) {
                            return;
                        }
                    }
                });
            }
        });
        Backend { name: name.to_owned(), address, seen, is_off, streams }
    }

    /// Switches the machine off: it listens no more, and its connections end.
    pub fn switch_off(&self) {
        self.is_off.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address)); // wakes the thread that listens
        self.streams.lock().unwrap().iter().for_each(|s| drop(s.shutdown(std::net::Shutdown::Both)));
    }

    /// Requests that have come after a time.
    pub fn since(&self, at: f64) -> Vec<Request> {
        self.seen.lock().unwrap().iter().filter(|r| r.at > at).cloned().collect()
    }
}

/// The bytes of a 200 answer.
pub fn ok(body: &[u8]) -> Vec<u8> {
    let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    answer.extend_from_slice(body);
    answer
}

/// A client's connection to a proxy; it is opened anew when it has ended.
pub struct Client {
    to: SocketAddr,
    wire: Option<Wire>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        Client { to, wire: None }
    }

    /// Sends a request and reads its answer. A request that crosses the close of a resting connection is sent once more
    /// on a new one, as the protocol has it.
    pub fn ask(&mut self, text: &[u8], patience: Duration) -> io::Result<Answer> {
        let rested = self.wire.is_some();
        match self.once(text, patience) {
            Err(e) if rested && e.kind() != io::ErrorKind::WouldBlock => self.once(text, patience),
            other => other,
        }
    }

    fn once(&mut self, text: &[u8], patience: Duration) -> io::Result<Answer> {
        let mut wire = match self.wire.take() {
            Some(wire) => wire,
            None => Wire::connect(self.to)?,
        };
        wire.stream.set_read_timeout(Some(patience))?;
        wire.stream.write_all(text)?;
        let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let body = wire.body(&head, true)?;
        let closes = head.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if !closes {
            self.wire = Some(wire);
        }
        Ok(Answer { status, body })
    }
}

/// A request id that is new in this run.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("r{:07x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The text of a request. `key` is for keyed classes.
pub fn request(
    method: &str, target: &str, id: &str, timeout: f64, key: Option<&str>, body: &[u8],
) -> Vec<u8> {
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let mut text = format!(
        "{method} {target} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: hogeschool-noord\r\n\
         X-Timeout: {timeout:.3}\r\n{key}{length}\r\n"
    )
    .into_bytes();
    text.extend_from_slice(body);
    text
}

/// One backend as discovery lists it.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub state: &'static str,
    pub share: f64,
    pub cell: u32,
}

impl Entry {
    fn json(&self) -> String {
        let site = if self.name.starts_with("gent") { "gent" } else { "leuven" };
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{site}\",\"class\":\"small-node\",\"block\":{},\"health\":\"{}\",\
             \"share\":{},\"born_ms\":0}}",
            self.name, self.address, self.cell, self.state, self.share
        )
    }
}

type Lists = Arc<(Mutex<Vec<Vec<Entry>>>, Condvar)>;

/// A discovery service with pushed lists: version n is the n-th list.
pub struct Discovery {
    pub address: SocketAddr,
    lists: Lists,
    record: Record,
}

impl Discovery {
    /// Starts with this list as its version 1.
    pub fn start(case: &Case, first: Vec<Entry>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let lists: Lists = Arc::new((Mutex::new(vec![first]), Condvar::new()));
        let (shared, record) = (lists.clone(), case.record.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let (lists, record) = (shared.clone(), record.clone());
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Ok(Some(head)) = wire.head() {
                        if serve_list(&head, &mut wire.stream, &lists, &record).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Discovery { address, lists, record: case.record.clone() }
    }

    /// Tells a new list.
    pub fn tell(&self, list: Vec<Entry>) {
        let states: Vec<String> =
            list.iter().map(|e| format!("{} {} share {}", e.name, e.state, e.share)).collect();
        self.record.line(format!("discovery: told {}", states.join(", ")));
        self.lists.0.lock().unwrap().push(list);
        self.lists.1.notify_all();
    }
}

fn list_line(seq: usize, whole: bool, entries: &[String]) -> String {
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}\n", entries.join(","))
}

/// What has changed between two lists.
fn changes(old: &[Entry], new: &[Entry]) -> Vec<String> {
    let mut all: Vec<String> =
        new.iter().map(Entry::json).filter(|j| !old.iter().any(|o| o.json() == *j)).collect();
    let gone = old.iter().filter(|o| !new.iter().any(|n| n.name == o.name));
    all.extend(gone.map(|o| Entry { state: "removed", ..o.clone() }.json()));
    all
}

fn serve_list(head: &Head, stream: &mut TcpStream, lists: &Lists, record: &Record) -> io::Result<()> {
    let target = head.first.split(' ').nth(1).unwrap_or("").to_owned();
    let after =
        target.split(['?', '&']).find_map(|p| p.strip_prefix("after=")).and_then(|v| v.parse::<usize>().ok());
    record.line(format!("discovery: asked for {target}"));
    let all = lists.0.lock().unwrap().clone();
    let whole = |n: usize| list_line(n, true, &all[n - 1].iter().map(Entry::json).collect::<Vec<_>>());
    if !target.contains("watch=1") {
        return stream.write_all(&ok(whole(all.len()).as_bytes()));
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let chunk = |stream: &mut TcpStream, text: &str| {
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    };
    let mut known = all.len();
    let first = match after {
        Some(n) if n >= 1 && n <= all.len() => {
            list_line(known, false, &changes(&all[n - 1], &all[known - 1]))
        }
        _ => whole(known),
    };
    chunk(stream, &first)?;
    loop {
        let guard = lists.0.lock().unwrap();
        let (guard, _) =
            lists.1.wait_timeout_while(guard, Duration::from_secs(2), |all| all.len() == known).unwrap();
        let all = guard.clone();
        drop(guard);
        if all.len() == known {
            chunk(stream, "\n")?;
            continue;
        }
        let line = list_line(all.len(), false, &changes(&all[known - 1], &all[all.len() - 1]));
        known = all.len();
        chunk(stream, &line)?;
    }
}

/// A way to an address on which all bytes take this long each way. Returns its near end.
pub fn way(to: SocketAddr, one_way: Duration) -> SocketAddr {
    cuttable_way(to, one_way, Arc::default())
}

/// The same; while `cut` is set, its connections end and new ones are closed.
pub fn cuttable_way(to: SocketAddr, one_way: Duration, cut: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(near) = stream else { continue };
            if cut.load(Ordering::SeqCst) {
                continue;
            }
            let Ok(far) = TcpStream::connect(to) else { continue };
            for (from, into) in [(&near, &far), (&far, &near)] {
                let (from, into) = (from.try_clone().expect("a socket"), into.try_clone().expect("a socket"));
                let cut = cut.clone();
                thread::spawn(move || carry(from, into, one_way, &cut));
            }
        }
    });
    address
}

/// Carries bytes one way until the connection ends or the way is cut.
fn carry(mut from: TcpStream, mut into: TcpStream, one_way: Duration, cut: &AtomicBool) {
    let _ = into.set_nodelay(true);
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    let writer = thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if into.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = into.shutdown(std::net::Shutdown::Both);
    });
    let mut part = [0; 16 << 10];
    while !cut.load(Ordering::SeqCst) {
        match from.read(&mut part) {
            Ok(0) => break,
            Ok(n) if sender.send((Instant::now() + one_way, part[..n].to_vec())).is_ok() => {}
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Ok(_) | Err(_) => break,
        }
    }
    drop(sender);
    let _ = writer.join();
    let _ = from.shutdown(std::net::Shutdown::Both);
}

/// The platform's configuration of one proxy.
pub fn platform_config(listen: SocketAddr, discovery: SocketAddr, more: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}",{more}"seed":"51ab",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"seq":0,"whole":true,"hosts":[]}},
        "settings":{{"classes":[
            {{"name":"lesson-page","effect":"idempotent","deadline":2000.0,"promise":810.0,"worth":3.0}},
            {{"name":"answer-submit","effect":"at_most_once","deadline":4000.0,"promise":1600.0,"worth":3.0}},
            {{"name":"tutor-booking","effect":"deduplicated","dedupScope":"cell","window":2500.0,"deadline":1900.0,
              "promise":750.0,"worth":10.0}}],
          "accounts":[{{"name":"hogeschool-noord","allowancePerS":399.0,"share":0.72}},
            {{"name":"atheneum-zuid","allowancePerS":155.0,"share":0.28}}],
          "ceilings":{{"maxAttempts":6,"dialTimeout":120.0,"idleClose":30000.0,"mayTell":false}},
          "rules":{{"drainGrace":500.0,"cold":8700.0,"startCapacity":0.3,"fallMultiple":2.5,"fall":1500.0}},
          "discovery":"pushed","weightSource":"nominal","nInstances":1,"myNumber":0,"zone":"leuven","zones":["leuven","gent","namur"],
          "flavors":["large-node","small-node"]}}}}"#
    )
}

/// Whether the proxy says that it takes clients.
pub fn is_up(proxy: SocketAddr) -> bool {
    Client::new(proxy)
        .ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n", Duration::from_secs(1))
        .is_ok_and(|answer| answer.status == 200)
}

/// A call at a second address.
pub fn call(admin: SocketAddr, word: &str) -> String {
    let talk = || -> io::Result<String> {
        let mut stream = TcpStream::connect(admin)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(format!("{word}\n").as_bytes())?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text.trim().to_owned())
    };
    talk().unwrap_or_else(|e| e.to_string())
}
