//! A soak: long transfers, stalled answers and small requests on kept connections, beside settings that change, drains, upgrades
//! and kills. Nothing is cut off but by the end of its process, every final answer comes in time, nothing unsafe runs twice.
mod sockets;
mod transfers;

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use sockets::answers::*;
use sockets::random::Random;
use sockets::*;
use transfers::{lumps, uploads};

/// Requests of each kind in a play, and the interval between two of them.
const LUMPS: u64 = 60;
const UPLOADS: u64 = 16;
const STALLED: u64 = 16;
const DURATION: Duration = Duration::from_secs(9);
/// Clients that send small requests on kept connections.
const POLITE: usize = 4;
/// Connections of a crowd, which send half a head and stay.
const CROWD: usize = 200;
/// Longest deadline of the settings, and the earliest SIGKILL after SIGTERM, by the protocol.
const DEADLINE: Duration = Duration::from_secs(3);
const EARLIEST_KILL: Duration = Duration::from_millis(3700);
/// New connections come for this long after SIGTERM, by the protocol.
const LAST_NEW_CONNECTION: Duration = Duration::from_millis(380);
/// A final answer may come this long after the client's time, by the protocol.
const SLACK: Duration = Duration::from_millis(500);
/// What ends within this time of the end of a process may have been ended by it.
const END_WINDOW: Duration = Duration::from_millis(150);
/// How long a client pauses that reads in lumps.
const READER_PAUSE: Duration = Duration::from_millis(700);
/// How long the clients of stalled answers wait, in seconds.
const STALLED_PATIENCE: f64 = 1.0;

const LUMP_RANGES: lumps::Ranges = lumps::Ranges {
    forms: &ALL_FORMS,
    bytes: (2e3, 230e3),
    lump: (6e3, 64e3),
    gap: (0.1, 1.5),
    patience: (0.7, 2.5),
};
const UPLOAD_RANGES: uploads::Ranges = uploads::Ranges {
    requests: UPLOADS,
    interval: Duration::ZERO,
    bytes: (0.1e6, 9e6),
    rate: (0.5e6, 5e6),
    write_rate: (1e6, 10e6),
};

/// Held by the play that runs: each one keeps the processors busy.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn one_at_a_time() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What happens to the proxy or its backends in a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// SIGHUP with other deadlines.
    Settings,
    /// One backend drains, and is taken back.
    Drain,
    /// One backend is gone from the list, and comes back.
    Removal,
    /// SIGTERM, SIGKILL as early as that may come, and a start.
    Restart,
    /// A newer process takes over; the older one gets SIGTERM, and SIGKILL as early as that may come.
    Upgrade,
    /// SIGKILL and a start.
    Kill,
}

/// The plans of a play, by number.
struct Plans {
    lumps: Vec<lumps::Plan>,
    uploads: Vec<uploads::Plan>,
}

/// Runs of each request at all backends.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// Answers a request by the first letter of its id.
fn backend(plans: Arc<Plans>, runs: Runs) -> SocketAddr {
    serve(move |mut reader, mut stream| {
        let _ = stream.set_nodelay(true);
        while let Some((id, length)) = uploads::read_head(&mut reader) {
            let (kind, number) = id.split_once('-').expect("a kind and a number");
            let number: usize = number.parse().expect("a number");
            let is_read = match kind {
                "u" => plans.uploads[number].read(&mut reader, length),
                _ => skip(&mut reader, length.unwrap_or(0)),
            };
            if !is_read {
                return;
            }
            *runs.lock().expect("no panic").entry(id.clone()).or_default() += 1;
            let goes_on = match kind {
                "l" => {
                    let plan = plans.lumps[number];
                    plan.answer(&mut stream) == plan.bytes && plan.form != Form::Close
                }
                "s" => {
                    let form = UNKNOWN_LENGTH[number % 2];
                    let _ = stream.write_all(form.head(0).as_bytes());
                    let _ = stream.write_all(&form.part(5 + number * 100));
                    skip(&mut reader, 1); // until the proxy closes the connection
                    false
                }
                _ => stream.write_all(ok(&id).as_bytes()).is_ok(),
            };
            if !goes_on {
                return;
            }
        }
    })
}

/// Draws an answer in lumps; the head of one in six long ones comes late in its client's time.
fn draw_lumps(random: &mut Random, number: u64) -> lumps::Plan {
    let plan = lumps::Plan::draw(random, &LUMP_RANGES);
    let is_late = number.is_multiple_of(6) && plan.bytes > 64 << 10;
    if is_late { lumps::Plan { work: plan.patience - 0.3, ..plan } } else { plan }
}

fn skip(reader: &mut impl std::io::Read, bytes: usize) -> bool {
    reader.read_exact(&mut vec![0; bytes]).is_ok()
}

/// When processes of the proxy have ended, from the first to the last moment at which they may have ended a transfer.
type Ends = Arc<Mutex<Vec<(Instant, Instant)>>>;

/// What is wrong with a play, collected by all clients.
struct Findings {
    ends: Ends,
    faults: Mutex<Vec<String>>,
    served: Mutex<HashMap<char, (u32, u32)>>,
}

impl Findings {
    /// Records a transfer that ended at `at`; a fault is none if the end of a process explains it.
    fn record(&self, kind: char, at: Instant, is_served: bool, fault: Option<String>) {
        let mut served = self.served.lock().expect("no panic");
        let (whole, all) = served.entry(kind).or_default();
        (*whole, *all) = (*whole + u32::from(is_served), *all + 1);
        if let Some(fault) = fault {
            self.faults.lock().expect("no panic").push(format!("{at:?} {fault}"));
        }
    }

    /// Whether the end of a process may have ended a transfer then.
    fn is_process_end(&self, at: Instant) -> bool {
        self.is_process_end_within(at, at)
    }

    /// Whether the end of a process may have ended a transfer that its client saw end within a span.
    fn is_process_end_within(&self, from: Instant, to: Instant) -> bool {
        let ends = self.ends.lock().expect("no panic");
        ends.iter().any(|(first, last)| *first <= to + END_WINDOW && from <= *last + END_WINDOW)
    }
}

/// Deals out new connections, as the front before the proxies does.
struct Front {
    address: SocketAddr,
    /// It has noticed that the process was told to end, and waits for the next one.
    is_closed: AtomicBool,
}

impl Front {
    /// Connects, and tries again while nobody listens.
    fn connect(&self) -> TcpStream {
        let mut stream = None;
        wait_for("a connection", || {
            stream = TcpStream::connect(self.address).ok().filter(|_| !self.is_closed.load(Ordering::SeqCst));
            stream.is_some()
        });
        stream.expect("just seen")
    }
}

/// An answer in lumps: it is never cut off, and the final answer of what has not begun is in time.
fn ask_lumps(front: &Front, number: usize, plan: &lumps::Plan, findings: &Findings) {
    let id = format!("l-{number}");
    let mut reader = AnswerReader::on(front.connect(), &plan.request(&id));
    let mut limit = Duration::from_secs_f64(plan.patience) + SLACK;
    if number % 4 == 1 {
        // A client that reads in lumps as well.
        reader.read_for(Duration::from_millis(300));
        thread::sleep(READER_PAUSE);
        limit += READER_PAUSE;
    }
    let read_again_at = Instant::now();
    let answer = reader.read();
    let ended_at = reader.asked() + answer.last_after;
    // What has ended while it did not read, it sees at once when it reads again.
    let is_unread_end = ended_at <= read_again_at + END_WINDOW;
    let seen_from = if is_unread_end { reader.asked() } else { ended_at };
    let is_whole = answer.looks_whole() && answer.body == plan.bytes;
    let is_late = answer.last_after > limit;
    let fault = match answer.status {
        200 if is_whole => None,
        429 | 502 | 503 if !is_late => None,
        _ if findings.is_process_end_within(seen_from, ended_at) => None,
        _ => Some(format!("{id}: {answer:?}, {plan:?}")),
    };
    findings.record('l', ended_at, is_whole, fault);
}

/// A large request: its final answer is in time.
fn ask_upload(front: &Front, number: usize, plan: &uploads::Plan, findings: &Findings) {
    let id = format!("u-{number}");
    let outcome = uploads::ask_on(front.connect(), &id, plan);
    let now = Instant::now();
    let is_answered = outcome.answered.is_some();
    let is_late = is_answered && outcome.late_by(plan) > SLACK.as_secs_f64();
    let is_fault = is_late || (!is_answered && !findings.is_process_end(now));
    let fault = is_fault.then(|| format!("{id}: {:.2} s late, {outcome:?}, {plan:?}", outcome.late_by(plan)));
    findings.record('u', now, outcome.status == 200, fault);
}

/// A stalled answer: it stays open for twice its client's time, or has failed in time; it never looks whole.
fn ask_stalled(front: &Front, number: usize, findings: &Findings) {
    let id = format!("s-{number}");
    let request = submit(&id, &format!("{STALLED_PATIENCE:.3}"), "x");
    let patience = Duration::from_secs_f64(STALLED_PATIENCE);
    let mut reader = AnswerReader::on(front.connect(), &request);
    let answer = reader.read_for(2 * patience);
    let ended_at = reader.asked() + answer.last_after;
    let fault = match answer.status {
        200 if answer.end == End::Open => None,
        429 | 502 | 503 if answer.first_after.is_some_and(|at| at <= patience + SLACK) => None,
        _ if findings.is_process_end(ended_at) && !answer.looks_whole() => None,
        _ => Some(format!("{id}: {answer:?}")),
    };
    findings.record('s', ended_at, answer.status == 200, fault);
}

/// Small requests on a kept connection, until the play ends: each has its final answer in time.
fn ask_politely(front: &Front, client: usize, stop: &AtomicBool, findings: &Findings) {
    let mut connection = None;
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(15));
        let id = format!("p-{}", client * 100_000 + count);
        count += 1;
        let text = if count % 2 == 0 { page(&id) } else { submit(&id, "2", "x") };
        let text = text.replace("X-Timeout: 5", "X-Timeout: 2");
        let was_kept = connection.is_some();
        let mut client = connection.take().unwrap_or_else(|| Client::from_stream(front.connect()));
        let mut sent = Instant::now();
        let mut answer = client.request(&text);
        if answer.is_none() && was_kept && !findings.is_process_end(Instant::now()) {
            // A connection may be closed between two requests: the request is sent once more on a new one.
            client = Client::from_stream(front.connect());
            sent = Instant::now();
            answer = client.request(&text);
        }
        let is_in_time = sent.elapsed() <= Duration::from_secs(2) + SLACK;
        let status = answer.as_ref().map_or(0, Message::status);
        let is_other = answer.as_ref().is_some_and(|a| a.status() == 200 && a.text() != id);
        let is_final = matches!(status, 200 | 429 | 502 | 503) && is_in_time && !is_other;
        let is_fault = !is_final && (is_other || !findings.is_process_end(Instant::now()));
        let fault = is_fault.then(|| format!("{id}: {status} after {:?}: {answer:?}", sent.elapsed()));
        findings.record('p', Instant::now(), status == 200, fault);
        if answer.is_some_and(|a| a.header("connection") != Some("close")) {
            connection = Some(client);
        }
    }
}

/// The processes of one proxy, and what happens to them.
struct Operator {
    discovery: Discovery,
    hosts: Vec<SocketAddr>,
    version: u64,
    directory: PathBuf,
    listen: SocketAddr,
    memory_mb: usize,
    current: Proxy,
    ends: Ends,
    front: Arc<Front>,
}

impl Operator {
    fn setup(directory: &std::path::Path, listen: SocketAddr, memory_mb: usize) -> Setup {
        Setup {
            memory_mb,
            sockets: 1024,
            admin: true,
            deadline: DEADLINE.as_millis() as u32,
            listen: Some(listen),
            shared: Some(directory.to_owned()),
            ..Setup::default()
        }
    }

    fn entries(hosts: &[SocketAddr], draining: Option<usize>) -> Vec<String> {
        let health = |n| if draining == Some(n) { "draining" } else { "up" };
        let entry = |(n, address): (usize, &SocketAddr)| {
            host(&format!("s-{n}"), *address, health(n), 0).replace("\"share\":4.0", "\"share\":40.0")
        };
        hosts.iter().enumerate().map(entry).collect()
    }

    fn publish(&mut self, draining: Option<usize>) {
        self.version += 1;
        self.discovery.publish(&list(self.version, true, &Operator::entries(&self.hosts, draining)));
    }

    fn play(&mut self, fault: Fault, random: &mut Random) {
        match fault {
            Fault::Settings => {
                let setup = Operator::setup(&self.directory, self.listen, self.memory_mb);
                for deadline in [random.pick(&[1500, 2500]), DEADLINE.as_millis() as u32] {
                    let text = config(self.discovery.address, &Setup { deadline, ..setup_like(&setup) });
                    self.current.reload(&text);
                    thread::sleep(Duration::from_millis(700));
                }
            }
            Fault::Drain => {
                let draining = random.below(self.hosts.len() as u64) as usize;
                self.publish(Some(draining));
                thread::sleep(Duration::from_millis(1500));
                self.publish(None);
            }
            Fault::Removal => {
                let removed = random.below(self.hosts.len() as u64) as usize;
                let mut entries = Operator::entries(&self.hosts, None);
                entries.remove(removed);
                self.version += 1;
                self.discovery.publish(&list(self.version, true, &entries));
                thread::sleep(Duration::from_millis(1500));
                self.publish(None);
            }
            Fault::Upgrade => self.upgrade(),
            Fault::Restart => {
                self.end_gracefully(true);
                self.start();
                self.front.is_closed.store(false, Ordering::SeqCst);
            }
            Fault::Kill => self.kill(),
        }
    }

    fn start(&mut self) {
        let setup = Operator::setup(&self.directory, self.listen, self.memory_mb);
        self.current = Proxy::start(&self.discovery, &setup);
    }

    fn upgrade(&mut self) {
        let setup = Operator::setup(&self.directory, self.listen, self.memory_mb);
        let new = Proxy::start(&self.discovery, &setup);
        wait_for("the newer process", || self.current.log_contains("the newer process serves"));
        self.end_gracefully(false);
        self.current = new;
    }

    /// SIGTERM, and SIGKILL as early as that may come. If `is_alone`, no other process takes the front's connections.
    fn end_gracefully(&mut self, is_alone: bool) {
        let told_at = Instant::now();
        // Its own time to end what hardly advances is the longest deadline and 0.5 s.
        self.ends.lock().expect("no panic").push((told_at + DEADLINE, told_at + EARLIEST_KILL));
        self.current.terminate();
        while told_at.elapsed() < EARLIEST_KILL && self.current.is_running() {
            let has_noticed = is_alone && told_at.elapsed() >= LAST_NEW_CONNECTION;
            self.front.is_closed.store(has_noticed, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(5));
        }
        if self.current.is_running() {
            self.current.signal("-KILL");
        }
        let _ = self.current.wait();
    }

    /// SIGKILL and a start. Until then the system may have accepted connections for the process that was killed.
    fn kill(&mut self) {
        let killed_at = Instant::now();
        self.ends.lock().expect("no panic").push((killed_at, killed_at + END_WINDOW));
        self.current.signal("-KILL");
        let _ = self.current.wait();
        self.start();
    }
}

/// A copy of a setup's plain settings.
fn setup_like(setup: &Setup) -> Setup {
    Setup {
        memory_mb: setup.memory_mb,
        sockets: setup.sockets,
        admin: setup.admin,
        listen: setup.listen,
        ..Setup::default()
    }
}

fn play(seed: u64) {
    let _alone = one_at_a_time();
    let mut random = Random(seed);
    let memory_mb = random.pick(&[32, 96, 192]);
    let all = [Fault::Settings, Fault::Drain, Fault::Removal, Fault::Upgrade, Fault::Restart, Fault::Kill];
    let faults: Vec<Fault> = (0..2).map(|_| random.pick(&all)).collect();
    let has_crowd = random.pick(&[true, false, false]);
    println!("seed {seed}: {memory_mb} MB, {faults:?}, crowd: {has_crowd}");
    let plans = Arc::new(Plans {
        lumps: (0..LUMPS).map(|number| draw_lumps(&mut random, number)).collect(),
        uploads: (0..UPLOADS).map(|_| uploads::Plan::draw(&mut random, &UPLOAD_RANGES)).collect(),
    });
    let runs = Runs::default();
    let hosts: Vec<SocketAddr> = (0..4).map(|_| backend(plans.clone(), runs.clone())).collect();
    let directory = std::env::temp_dir().join(format!("sandgap-transfers-{}-{seed}", std::process::id()));
    std::fs::create_dir(&directory).expect("a directory");
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &Operator::entries(&hosts, None)));
    let (listen, _held) = held_address();
    let current = Proxy::up(&discovery, &Operator::setup(&directory, listen, memory_mb));
    let ends = Ends::default();
    let front = Arc::new(Front { address: listen, is_closed: AtomicBool::new(false) });
    let findings = Findings { ends: ends.clone(), faults: Mutex::default(), served: Mutex::default() };
    let mut operator = Operator {
        discovery,
        hosts,
        version: 1,
        directory: directory.clone(),
        listen,
        memory_mb,
        current,
        ends,
        front: front.clone(),
    };
    let stop = AtomicBool::new(false);
    let mut crowd = Vec::new();
    thread::scope(|scope| {
        for client in 0..POLITE {
            let (front, findings, stop) = (&*front, &findings, &stop);
            scope.spawn(move || ask_politely(front, client, stop, findings));
        }
        let (front, findings, plans) = (&*front, &findings, &plans);
        let transfers = scope.spawn(move || {
            thread::scope(|scope| {
                let steps = LUMPS + UPLOADS + STALLED;
                let (mut lump, mut upload, mut stalled) = (0, 0, 0);
                for step in 0..steps as usize {
                    thread::sleep(DURATION / steps as u32);
                    match step % 5 {
                        0 if upload < plans.uploads.len() => {
                            let number = upload;
                            scope.spawn(move || ask_upload(front, number, &plans.uploads[number], findings));
                            upload += 1;
                        }
                        2 if stalled < STALLED as usize => {
                            let number = stalled;
                            scope.spawn(move || ask_stalled(front, number, findings));
                            stalled += 1;
                        }
                        _ if lump < plans.lumps.len() => {
                            let number = lump;
                            scope.spawn(move || ask_lumps(front, number, &plans.lumps[number], findings));
                            lump += 1;
                        }
                        _ => {}
                    }
                }
            });
        });
        if has_crowd {
            crowd.extend((0..CROWD).map(|_| {
                let mut stream = front.connect();
                let _ = stream.write_all(b"GET /page?sid=1 HTTP/1.1\r\nHost: x\r\n"); // it may have been closed
                stream
            }));
        }
        for fault in faults {
            thread::sleep(DURATION / 4);
            operator.play(fault, &mut random);
        }
        transfers.join().expect("no panic");
        stop.store(true, Ordering::SeqCst);
    });
    drop(crowd);
    let _ = std::fs::remove_dir_all(&directory);
    println!("seed {seed}: served of asked {:?}", findings.served.lock().expect("no panic"));
    let runs = runs.lock().expect("no panic");
    let is_unsafe = |id: &str| {
        let (kind, number) = id.split_once('-').expect("a kind and a number");
        let number: usize = number.parse().expect("a number");
        match kind {
            "l" => plans.lumps[number].class == "submit",
            "u" => plans.uploads[number].class == "submit",
            "p" => number.is_multiple_of(2),
            _ => true,
        }
    };
    let twice: Vec<&String> =
        runs.iter().filter(|(id, n)| **n > 1 && is_unsafe(id)).map(|(id, _)| id).collect();
    let faults = findings.faults.into_inner().expect("no panic");
    assert!(faults.is_empty(), "seed {seed}: {} faults:\n{}", faults.len(), faults.join("\n"));
    assert!(twice.is_empty(), "seed {seed}: unsafe requests that ran twice: {twice:?}");
}

#[test]
fn transfers_are_whole_and_in_time_beside_faults() {
    for seed in [73202, 73204, 73223, 73226] {
        play(seed);
    }
}

/// The long search, started by hand: `TRANSFER_SEEDS=74401..74451 cargo test ... -- --ignored`.
#[test]
#[ignore = "takes 15 s a seed"]
fn search_for_transfers_that_are_cut_off_or_late_beside_faults() {
    let range = std::env::var("TRANSFER_SEEDS").unwrap_or_else(|_| "74401..74451".into());
    let (first, end) = range.split_once("..").expect("FIRST..END");
    for seed in first.parse().expect("a number")..end.parse::<u64>().expect("a number") {
        play(seed);
    }
}
