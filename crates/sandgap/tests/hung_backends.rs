//! Backends that begin answers and then hang lose their requests to the others; backends that pause and go on keep them.
mod sockets;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use sockets::answers::{ALL_FORMS, AnswerReader, Form};
use sockets::random::Random;
use sockets::*;

/// Clients that send one request after another.
const CLIENTS: usize = 24;
/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time after which a backend that hangs has been found.
const FOUND_AFTER: Duration = Duration::from_secs(5);
/// Duration of a play.
const PLAY: Duration = Duration::from_secs(13);
/// Requests that a hung backend may get after it has been found, as trials.
const MAX_TRIALS: usize = 8;

/// A backend that writes a part of each answer, waits, and writes the rest.
struct Pauser {
    address: SocketAddr,
    /// When its requests came.
    requests: Arc<Mutex<Vec<Instant>>>,
    /// It has recovered: it no longer waits.
    is_well: Arc<AtomicBool>,
}

impl Pauser {
    /// Answers of `bytes` bytes in the framing, with a pause after `first` bytes of the body; `None` hangs.
    fn new(form: Form, bytes: usize, first: usize, pause: Option<Duration>) -> Self {
        let (requests, is_well) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let (seen, well) = (requests.clone(), is_well.clone());
        let address = serve(move |mut reader, mut stream| {
            let _ = stream.set_nodelay(true);
            while read_message(&mut reader).is_some() {
                seen.lock().expect("no panic").push(Instant::now());
                let head = form.head(bytes);
                if stream.write_all(head.as_bytes()).is_err() || stream.write_all(&form.part(first)).is_err()
                {
                    return;
                }
                if !well.load(Ordering::SeqCst) {
                    thread::sleep(pause.unwrap_or(WAIT_TIMEOUT));
                }
                if stream.write_all(&form.part(bytes - first)).is_err() || !form.end(&mut stream) {
                    return;
                }
                if form == Form::Close {
                    return;
                }
            }
        });
        Pauser { address, requests, is_well }
    }

    /// Requests that came from a time on.
    fn requests_since(&self, from: Instant) -> usize {
        self.requests.lock().expect("no panic").iter().filter(|at| **at >= from).count()
    }
}

/// How long a sound backend works on a request. With it the sound ones have all their slots in use.
const WORK: Duration = Duration::from_millis(30);

/// The backend that pauses and two sound ones, which have too few slots for all requests.
fn publish_beside_sound_ones(pauser: &Pauser) -> Discovery {
    let quick = || {
        serve(|mut reader, mut stream| {
            while let Some(request) = read_message(&mut reader) {
                thread::sleep(WORK);
                if stream.write_all(ok(request.id()).as_bytes()).is_err() {
                    return;
                }
            }
        })
    };
    let hosts = [pauser.address, quick(), quick()];
    let hosts = hosts.iter().enumerate().map(|(n, address)| host(&format!("s-{n}"), *address, "up", 0));
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &hosts.collect::<Vec<_>>()));
    discovery
}

fn setup() -> Setup {
    Setup { sockets: 1024, ..Setup::default() }
}

/// Clients that ask the proxies until `end`; returns how many answers were whole.
fn ask_until(proxies: &[SocketAddr], end: Instant, seed: u64, patience: Duration) -> usize {
    let whole = AtomicUsize::new(0);
    thread::scope(|scope| {
        for c in 0..CLIENTS {
            let (whole, address) = (&whole, proxies[c % proxies.len()]);
            scope.spawn(move || {
                let mut random = Random(seed * 1000 + c as u64);
                for n in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let id = format!("h{seed}-{c}-{n}");
                    let request = if c % 2 == 0 { page(&id) } else { submit(&id, "5", "x") };
                    let request =
                        request.replace("Timeout: 5", &format!("Timeout: {}", patience.as_secs_f64()));
                    let answer = AnswerReader::ask(address, &request).read_for(patience);
                    whole.fetch_add(usize::from(answer.looks_whole()), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(20 + random.below(60)));
                }
            });
        }
    });
    whole.into_inner()
}

#[test]
fn a_backend_that_hangs_in_begun_answers_loses_its_requests_until_it_goes_on() {
    thread::scope(|scope| {
        for (n, form) in ALL_FORMS.into_iter().enumerate() {
            scope.spawn(move || check_hung(7410 + n as u64, form));
        }
    });
}

fn check_hung(seed: u64, form: Form) {
    let mut random = Random(seed);
    let bytes = 70_000 + random.below(300_000) as usize;
    let first = random.below(60_000) as usize;
    let hung = Pauser::new(form, bytes, first, None);
    let discovery = publish_beside_sound_ones(&hung);
    let proxy = Proxy::up(&discovery, &setup());
    let began = Instant::now();
    ask_until(&[proxy.address], began + PLAY, seed, PATIENCE);
    let (all, late) = (hung.requests_since(began), hung.requests_since(began + FOUND_AFTER));
    println!("seed {seed}, {form:?}, {first} of {bytes} bytes: {all} requests, {late} after {FOUND_AFTER:?}");
    assert!(late <= MAX_TRIALS, "seed {seed}, {form:?}: {late} of {all}");
    check_recovery(&hung, &[proxy.address], seed);
}

/// Once the backend is well, a trial shows it, and it gets its part again.
fn check_recovery(hung: &Pauser, proxies: &[SocketAddr], seed: u64) {
    hung.is_well.store(true, Ordering::SeqCst);
    let well = Instant::now();
    wait_for("the recovered backend's requests", || {
        ask_until(proxies, Instant::now() + Duration::from_millis(300), seed + 100, PATIENCE);
        hung.requests_since(well) > 5 * MAX_TRIALS
    });
}

/// When the trouble of a play begins.
const TROUBLE_AFTER: Duration = Duration::from_secs(5);

#[test]
fn a_newer_process_finds_a_hung_backend_as_well() {
    let directory = std::env::temp_dir().join(format!("sandgap-hung-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let hung = Pauser::new(Form::Chunked, 200_000, 30_000, None);
    let discovery = publish_beside_sound_ones(&hung);
    let mut older = Proxy::up(&discovery, &Setup { shared: Some(directory.clone()), ..setup() });
    let address = older.address;
    let upgrade = || {
        let newer = Setup { shared: Some(directory.clone()), listen: Some(address), ..setup() };
        let newer = Proxy::start(&discovery, &newer);
        wait_for("the newer one", || older.log_contains("the newer process serves"));
        older.terminate();
        assert!(older.wait().success());
        newer
    };
    let (_newer, late) = play_beside(&hung, &[address], 7430, upgrade);
    assert!(late <= MAX_TRIALS, "{late}");
    check_recovery(&hung, &[address], 7430);
    let _ = std::fs::remove_dir_all(&directory);
}

#[test]
fn a_hung_backend_that_is_drained_and_listed_again_is_found_again() {
    let hung = Pauser::new(Form::Length, 200_000, 30_000, None);
    let discovery = publish_beside_sound_ones(&hung);
    let proxy = Proxy::up(&discovery, &setup());
    let drain = || {
        discovery.publish(&list(2, false, &[host("s-0", hung.address, "draining", 0)]));
        thread::sleep(PATIENCE);
        discovery.publish(&list(3, false, &[host("s-0", hung.address, "up", 0)]));
    };
    let ((), late) = play_beside(&hung, &[proxy.address], 7431, drain);
    assert!(late <= MAX_TRIALS, "{late}");
    check_recovery(&hung, &[proxy.address], 7431);
}

#[test]
fn each_of_several_proxies_finds_a_hung_backend() {
    let hung = Pauser::new(Form::Close, 200_000, 30_000, None);
    let discovery = publish_beside_sound_ones(&hung);
    let proxies = [(); 2].map(|()| Proxy::up(&discovery, &setup()));
    let addresses = proxies.each_ref().map(|proxy| proxy.address);
    let ((), late) = play_beside(&hung, &addresses, 7432, || {});
    assert!(late <= MAX_TRIALS * proxies.len(), "{late}");
    check_recovery(&hung, &addresses, 7432);
}

/// Clients ask while trouble comes; returns its result, and the requests that the hung backend got after it had to be found again.
fn play_beside<T>(
    hung: &Pauser, proxies: &[SocketAddr], seed: u64, trouble: impl FnOnce() -> T,
) -> (T, usize) {
    let began = Instant::now();
    let (result, after) = thread::scope(|scope| {
        scope.spawn(|| ask_until(proxies, began + TROUBLE_AFTER + PATIENCE + PLAY, seed, PATIENCE));
        thread::sleep(TROUBLE_AFTER);
        (trouble(), Instant::now())
    });
    let (all, late) = (hung.requests_since(began), hung.requests_since(after + FOUND_AFTER));
    println!("seed {seed}: {all} requests, {late} later than {FOUND_AFTER:?} after the trouble");
    (result, late)
}

#[test]
fn a_backend_that_pauses_and_goes_on_keeps_its_requests() {
    thread::scope(|scope| {
        for (n, form) in ALL_FORMS.into_iter().enumerate() {
            scope.spawn(move || check_pausing(7420 + n as u64, form));
        }
    });
}

fn check_pausing(seed: u64, form: Form) {
    let mut random = Random(seed);
    let pause = Duration::from_millis(600 + random.below(1200));
    let (bytes, first) = (70_000 + random.below(300_000) as usize, random.below(60_000) as usize);
    let pauser = Pauser::new(form, bytes, first, Some(pause));
    let discovery = publish_beside_sound_ones(&pauser);
    let proxy = Proxy::up(&discovery, &setup());
    let began = Instant::now();
    ask_until(&[proxy.address], began + PLAY, seed, Duration::from_secs(5));
    let (all, late) = (pauser.requests_since(began), pauser.requests_since(began + FOUND_AFTER));
    println!("seed {seed}, {form:?}, pauses of {pause:?}: {all} requests, {late} after {FOUND_AFTER:?}");
    assert!(late > 5 * MAX_TRIALS, "seed {seed}, {form:?}, pauses of {pause:?}: {late} of {all}");
}
