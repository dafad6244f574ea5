//! Stand-ins that all cases share: the platform, discovery's agent, backends, clients and the record.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::parent_id;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, mpsc};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Error = Box<dyn std::error::Error + Send + Sync>;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Whether the disruption is wanted.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A loopback address that nobody uses.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// What was sent, answered and run, a line each with seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, text: impl Into<String>) {
        lock(&self.lines).push((self.start.elapsed().as_secs_f64(), text.into()));
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:9.4} {line}");
        }
        fs::write(path, text)
    }
}

/// The root of the repository.
pub fn root() -> PathBuf {
    std::env::var_os("ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from)
}

/// A command of the deploy file.
fn deploy_command(key: &str) -> Result<String, Error> {
    let text = fs::read_to_string(root().join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
    let value = line.ok_or("the deploy file lacks the command")?.trim();
    Ok(value.trim_matches('"').to_owned())
}

/// One proxy, started as the platform starts it.
pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
    config: PathBuf,
    fields: String,
    discovery: SocketAddr,
}

impl Proxy {
    /// Writes the configuration, starts `run` and waits until `GET /up` says 200.
    pub fn start(name: &str, discovery: SocketAddr, settings: &str) -> Result<Proxy, Error> {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        fs::create_dir_all(folder.join("tmp"))?;
        let address = free_address()?;
        let config = folder.join("config.json");
        let fields = format!(
            "\"name\":\"{name}\",\"listen\":\"{address}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}}"
        );
        write_config(&config, &fields, discovery, settings)?;
        let log = fs::File::create(folder.join("proxy.log"))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(deploy_command("run")?)
            .current_dir(root())
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_process(child.id())?;
        let proxy = Proxy { child, address, folder, config, fields, discovery };
        let until = Instant::now() + ms(20_000);
        while Instant::now() < until {
            if proxy.is_up() {
                return Ok(proxy);
            }
            thread::sleep(ms(50));
        }
        Err("the proxy has not become ready".into())
    }

    pub fn is_up(&self) -> bool {
        let asked = Client::connect(self.address).and_then(|mut client| {
            client.send(b"GET /up HTTP/1.1\r\nHost: origin.svc\r\n\r\n")?;
            client.answer(Instant::now() + ms(1000))
        });
        asked.is_ok_and(|answer| answer.status == 200)
    }

    /// Replaces the settings in the configuration by a rename.
    pub fn write_settings(&self, settings: &str) -> Result<(), Error> {
        let next = self.folder.join("config.next");
        write_config(&next, &self.fields, self.discovery, settings)?;
        Ok(fs::rename(next, &self.config)?)
    }

    /// Sends a signal to the process that `run` has become by `exec`.
    pub fn signal(&self, name: &str) -> Result<(), Error> {
        let status =
            Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status()?;
        if status.success() { Ok(()) } else { Err("the signal could not be sent".into()) }
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Ends the process at once. Once it has been waited for, its id is not used any more.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget_process(self.child.id());
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("proxy.log")).unwrap_or_default()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Tells the script which process to end if the case is stopped.
pub fn note_process(id: u32) -> io::Result<()> {
    let Some(path) = std::env::var_os("PIDS") else { return Ok(()) };
    writeln!(fs::OpenOptions::new().create(true).append(true).open(path)?, "{id}")
}

/// Ends the case if it takes too long or if its script has gone, with everything that it has started.
pub fn watch_over(record: &Record, path: &Path) {
    let (start, script) = (Instant::now(), parent_id());
    while start.elapsed() < ms(110_000) && parent_id() == script {
        thread::sleep(ms(100));
    }
    IS_ENDING.store(true, Ordering::SeqCst);
    eprintln!("the case has not ended in time, or its script has gone");
    record.note("verdict: the case could not run: it has not ended in time, or its script has gone");
    let _ = record.write(path);
    if let Some(path) = std::env::var_os("PIDS") {
        // Twice, as a process may have been started meanwhile.
        for _ in 0..2 {
            for id in fs::read_to_string(&path).unwrap_or_default().lines() {
                let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).status();
            }
            thread::sleep(ms(50));
        }
        // What still runs may write a file meanwhile.
        for _ in 0..10 {
            if fs::remove_dir_all(std::env::temp_dir()).is_ok() {
                break;
            }
            thread::sleep(ms(20));
        }
    }
    std::process::exit(2);
}

/// Waits for the end of the process if [`watch_over`] has begun to end it.
pub fn yield_to_the_end() {
    while IS_ENDING.load(Ordering::SeqCst) {
        thread::sleep(ms(10));
    }
}

static IS_ENDING: AtomicBool = AtomicBool::new(false);

/// A process has ended, and its id is not used any more.
pub fn forget_process(id: u32) {
    let Some(path) = std::env::var_os("PIDS") else { return };
    let all = fs::read_to_string(&path).unwrap_or_default();
    let left = all.lines().filter(|line| *line != id.to_string());
    let _ = fs::write(&path, left.map(|line| format!("{line}\n")).collect::<String>());
}

/// A process that was started by `run` with a settings file of the project's own.
pub struct Running(Proxy);

impl Running {
    /// Starts it; what it writes goes to `log`.
    pub fn start(settings: &Path, log: &Path) -> Result<Running, Error> {
        let log = fs::File::create(log)?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(deploy_command("run")?)
            .current_dir(root())
            .env("NODE_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_process(child.id())?;
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let (folder, config, fields) = Default::default();
        Ok(Running(Proxy { child, address: nowhere, folder, config, fields, discovery: nowhere }))
    }
}

impl Running {
    pub fn has_ended(&mut self) -> bool {
        self.0.has_ended()
    }

    /// Ends it as at a planned restart: SIGTERM, and SIGKILL if it still runs after `wait`.
    pub fn end(&mut self, wait: Duration) -> Result<(), Error> {
        self.0.signal("TERM")?;
        let until = Instant::now() + wait;
        while !self.0.has_ended() && Instant::now() < until {
            thread::sleep(ms(10));
        }
        self.0.kill();
        Ok(())
    }
}

fn write_config(path: &Path, fields: &str, discovery: SocketAddr, settings: &str) -> io::Result<()> {
    let text = format!("{{{fields},\"discovery\":\"{discovery}\",\"known\":null,\"settings\":{settings}}}");
    fs::write(path, text)
}

/// A class of the settings: its name, effect, wanted time and deadline in ms, and further keys.
pub fn class(name: &str, effect: &str, promise: u32, deadline: u32, more: &str) -> String {
    format!(
        "{{\"deadline\":{deadline}.0,\"dedupScope\":\"cell\",\"effect\":\"{effect}\",\"lateShare\":0.0,\
         \"name\":\"{name}\",\"promise\":{promise}.0,\"streaming\":false,\"window\":2500.0,\"worth\":3.0{more}}}"
    )
}

/// Settings with the form and figures of the wire page's example, for one proxy.
pub fn settings(classes: &[String], second_copies: bool, warm_keys: bool) -> String {
    format!(
        "{{\"accounts\":[{{\"allowancePerS\":399.0,\"name\":\"hogeschool-noord\",\"share\":0.72}},\
         {{\"allowancePerS\":155.0,\"name\":\"atheneum-zuid\",\"share\":0.28}}],\
         \"callers\":{{\"marksRetry\":true}},\
         \"ceilings\":{{\"cancel\":true,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":2263749,\"dialTimeout\":120.0,\
         \"idleClose\":30000.0,\"maxAttempts\":6,\"maxOpen\":56593,\"maxRetryAfter\":1500.0,\"mayTell\":false,\
         \"probes\":false,\"retryAfter\":true,\"secondCopies\":{second_copies},\"streamsPerConn\":1}},\
         \"classes\":[{}],\"discovery\":\"pushed\",\"domainType\":\"proxy\",\"extra\":{{\"warmKeys\":{warm_keys}}},\
         \"flavors\":[\"large-node\",\"small-node\"],\
         \"goal\":{{\"whole\":0.6,\"worstClass\":0.2,\"worstTenant\":0.1,\"worstWindow\":0.1}},\
         \"myNumber\":0,\"nInstances\":1,\"overShareWorth\":0.2,\
         \"prices\":{{\"connection\":0.0,\"crossZone\":0.06,\"discovery\":0.0,\"handshake\":0.0,\"lateFail\":0.08,\
         \"moves\":0.0,\"origin\":0.0,\"peer\":0.01,\"probe\":0.01,\"waste\":0.02}},\
         \"rules\":{{\"answerSlack\":20.0,\"askWithin\":10000.0,\"cold\":8700.0,\"drainGrace\":500.0,\"fall\":1500.0,\
         \"fallMultiple\":2.5,\"startCapacity\":0.3}},\
         \"step\":5.0,\"telemetry\":{{\"fields\":[],\"via\":\"silent\"}},\"tier\":0,\"tiers\":[\"lesson-web\"],\
         \"weightSource\":\"nominal\",\"worthBy\":\"request\",\"zone\":\"leuven\",\
         \"zones\":[\"leuven\",\"gent\",\"namur\"]}}",
        classes.join(",")
    )
}

/// One entry of the list.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub site: &'static str,
    pub block: u32,
    pub health: &'static str,
}

impl Host {
    fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"large-node\",\"block\":{},\
             \"health\":\"{}\",\"share\":7.0,\"born_ms\":0}}",
            self.name, self.dial, self.site, self.block, self.health
        )
    }
}

struct List {
    seq: u64,
    hosts: Vec<Host>,
    /// The entries of each change, by version.
    changes: BTreeMap<u64, Host>,
}

/// The agent that pushes the list of backends.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Agent {
    pub fn start(hosts: Vec<Host>) -> Result<Agent, Error> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let list = List { seq: 41, hosts, changes: BTreeMap::new() };
        let agent =
            Agent { address: listener.local_addr()?, list: Arc::new((Mutex::new(list), Condvar::new())) };
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        Ok(agent)
    }

    /// Changes one entry.
    pub fn change(&self, name: &str, health: &'static str) {
        let mut list = lock(&self.list.0);
        list.seq += 1;
        let seq = list.seq;
        if let Some(host) = list.hosts.iter_mut().find(|host| host.name == name) {
            host.health = health;
            let changed = host.clone();
            list.changes.insert(seq, changed);
        }
        self.list.1.notify_all();
    }

    fn whole(list: &List) -> String {
        let hosts: Vec<String> = list.hosts.iter().map(Host::json).collect();
        format!("{{\"seq\":{},\"whole\":true,\"hosts\":[{}]}}", list.seq, hosts.join(","))
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let request = read_head(&mut reader).ok()??;
            let target = request.target.clone();
            if !target.contains("watch=1") {
                let body = Agent::whole(&lock(&self.list.0));
                write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
                continue;
            }
            let after = target.split("after=").nth(1).and_then(|t| t.split('&').next()?.parse::<u64>().ok());
            write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
            let mut told = after.unwrap_or(0);
            let mut list = lock(&self.list.0);
            if told < 41 {
                let line = Agent::whole(&list);
                told = list.seq;
                write_line(&mut writer, &line).ok()?;
            }
            loop {
                let news: Vec<(u64, Host)> =
                    list.changes.range(told + 1..).map(|(seq, host)| (*seq, host.clone())).collect();
                for (seq, host) in news {
                    told = seq;
                    let line = format!("{{\"seq\":{seq},\"whole\":false,\"hosts\":[{}]}}", host.json());
                    write_line(&mut writer, &line).ok()?;
                }
                let (next, waited) =
                    self.list.1.wait_timeout(list, ms(2000)).unwrap_or_else(|e| e.into_inner());
                list = next;
                if waited.timed_out() {
                    write_line(&mut writer, "").ok()?;
                }
            }
        }
    }
}

fn write_line(writer: &mut TcpStream, line: &str) -> io::Result<()> {
    let text = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    writer.write_all(text.as_bytes())
}

/// A request that a server has read.
#[derive(Clone, Debug)]
pub struct Asked {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// When its last byte was read.
    pub at: Instant,
    /// The connection, by number.
    pub connection: u64,
    /// The server.
    pub server: usize,
}

impl Asked {
    pub fn id(&self) -> &str {
        self.headers.get("x-request-id").map_or("", String::as_str)
    }
}

/// Reads a head; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Asked>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(str::to_owned);
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let headers = read_headers(reader)?;
    let (body, at) = (Vec::new(), Instant::now());
    Ok(Some(Asked { method, target, headers, body, at, connection: 0, server: 0 }))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> io::Result<Vec<u8>> {
    if headers.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        return read_chunks(reader);
    }
    let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// What a server does with a request; false closes the connection.
pub type Behaviour = Arc<dyn Fn(&Asked, &mut TcpStream) -> bool + Send + Sync>;

static CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// Starts a backend: a thread for each connection, one request at a time on it.
pub fn start_backend(server: usize, behaviour: Behaviour) -> Result<SocketAddr, Error> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let behaviour = behaviour.clone();
            let connection = CONNECTIONS.fetch_add(1, Ordering::Relaxed) + 1;
            thread::spawn(move || serve_backend(server, connection, stream, &behaviour));
        }
    });
    Ok(address)
}

fn serve_backend(server: usize, connection: u64, stream: TcpStream, behaviour: &Behaviour) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let mut asked = read_head(&mut reader).ok()??;
        asked.body = read_body(&mut reader, &asked.headers).ok()?;
        (asked.at, asked.connection, asked.server) = (Instant::now(), connection, server);
        if !behaviour(&asked, &mut writer) {
            let _ = writer.shutdown(Shutdown::Both);
            return None;
        }
    }
}

/// A way to an address on which bytes take this long, in each direction; returns its near end.
pub fn way(target: SocketAddr, one_way: Duration) -> Result<SocketAddr, Error> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            forward(&near, &far, one_way, Arc::default());
            forward(&far, &near, one_way, Arc::default());
        }
    });
    Ok(address)
}

/// Passes bytes on, each this long after it has come, and then the end. While the way is cut, what comes is dropped, and the
/// other side hears nothing.
pub fn forward(from: &TcpStream, into: &TcpStream, one_way: Duration, is_cut: Arc<AtomicBool>) {
    let (Ok(mut from), Ok(mut into)) = (from.try_clone(), into.try_clone()) else { return };
    let _ = into.set_nodelay(true);
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            if sender.send((Instant::now() + one_way, buffer[..count].to_vec())).is_err() {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if !is_cut.load(Ordering::Relaxed) && into.write_all(&bytes).is_err() {
                break;
            }
        }
        if !is_cut.load(Ordering::Relaxed) {
            let _ = into.shutdown(Shutdown::Both);
        }
    });
}

/// A whole answer with status 200.
pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An answer as a client has read it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// When its last byte was read.
    pub at: Instant,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads an answer until a time; the error tells why there is none.
    pub fn answer(&mut self, until: Instant) -> io::Result<Answer> {
        let left = until.saturating_duration_since(Instant::now()).max(ms(1));
        self.stream.set_read_timeout(Some(left))?;
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let headers = read_headers(&mut self.reader)?;
        let body = read_body(&mut self.reader, &headers)?;
        Ok(Answer { status, headers, body, at: Instant::now() })
    }
}

impl Answer {
    pub fn closes(&self) -> bool {
        self.headers.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A number that differs from run to run, for ids.
pub fn run_number() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_nanos() as u64 & 0xffff_ffff
}
