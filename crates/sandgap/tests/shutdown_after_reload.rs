//! Planned restarts after changes of settings. The platform kills a process by the longest deadline of the settings in
//! force, so no bound may rest on a class that is gone.
mod sockets;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use sockets::random::Random;
use sockets::*;

/// SIGKILL comes no sooner than this after SIGTERM and the longest deadline, of which 3 s count.
const KILL_AFTER_DEADLINE_MS: u64 = 700;
/// Longest deadline that counts.
const MAX_COUNTED_DEADLINE_MS: u64 = 3000;
/// Time in which a client writes its request.
const WRITE_MS: u64 = 1000;
/// Pieces in which it writes the body, of 1 KiB each.
const PIECES: u32 = 64;
/// The last client connects this long after SIGTERM.
const LAST_CONNECT_MS: u64 = 360;
/// Clients of a play.
const CLIENTS: usize = 12;
/// Seed of the moments at which they connect.
const SEED: u64 = 8101;

/// Deadlines in ms of the class `submit`, and of the class `booking` where there is one.
#[derive(Clone, Copy)]
struct Deadlines {
    submit: u64,
    booking: Option<u64>,
}

const SHORT: Deadlines = Deadlines { submit: 1000, booking: None };
const WITH_LONG_CLASS: Deadlines = Deadlines { submit: 1000, booking: Some(4000) };

impl Deadlines {
    fn config(self, discovery: &Discovery) -> String {
        self.config_at(discovery, None)
    }

    /// The configuration of a process that listens at an address, or where the system lets it.
    fn config_at(self, discovery: &Discovery, listen: Option<SocketAddr>) -> String {
        let text =
            config(discovery.address, &Setup { sockets: 1024, admin: true, listen, ..Setup::default() });
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        let classes = config["settings"]["classes"].as_array_mut().expect("classes");
        classes.retain_mut(|class| {
            let deadline = match class["name"].as_str() {
                Some("submit") => Some(self.submit),
                Some("booking") => self.booking,
                _ => None,
            };
            class["deadline"] = deadline.into();
            class["promise"] = deadline.into();
            deadline.is_some()
        });
        config.to_string()
    }

    fn longest(self) -> u64 {
        self.submit.max(self.booking.unwrap_or(0))
    }

    /// When the platform may kill the process, after SIGTERM.
    fn time_to_kill(self) -> Duration {
        Duration::from_millis(self.longest().min(MAX_COUNTED_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS)
    }
}

/// A planned restart and the changes of settings round it.
struct Play {
    /// The settings of the start, and those of each SIGHUP before SIGTERM, each in force before the next.
    before: &'static [Deadlines],
    /// A SIGHUP that the process has not handled when SIGTERM comes.
    at_once: Option<Deadlines>,
    /// A SIGHUP this many ms after SIGTERM.
    after: Option<(u64, Deadlines)>,
    /// How long backends work, ms.
    work_ms: u64,
    /// Whether a request of the class `booking` is open from before the first SIGHUP that no backend answers.
    holds_old_request: bool,
}

const PLAY: Play =
    Play { before: &[SHORT], at_once: None, after: None, work_ms: 600, holds_old_request: false };

/// How a request ended: when its last byte was written and when its answer came, after SIGTERM in ms, and the status.
#[derive(Debug)]
struct Ended {
    written_ms: i128,
    answered_ms: i128,
    status: Option<u16>,
}

fn ms_after(at: Instant, from: Instant) -> i128 {
    at.checked_duration_since(from)
        .map_or_else(|| -((from - at).as_millis() as i128), |span| span.as_millis() as i128)
}

/// Writes a request of 64 KiB in [`WRITE_MS`] from `begin` on.
fn send_slowly(proxy: SocketAddr, id: &str, begin: Instant, term: Instant, deadline_ms: u64) -> Ended {
    sleep_until(begin);
    let mut stream = TcpStream::connect(proxy).expect("the proxy accepts");
    let text = submit(id, &(deadline_ms as f64 / 1000.0).to_string(), &"x".repeat(PIECES as usize * 1024));
    let (head, body) = text.split_at(text.len() - PIECES as usize * 1024);
    let mut write = |bytes: &[u8]| stream.write_all(bytes).is_ok();
    let mut is_written = write(head.as_bytes());
    for (number, piece) in (1..).zip(body.as_bytes().chunks(1024)) {
        sleep_until(begin + Duration::from_millis(WRITE_MS) * number / PIECES);
        is_written = is_written && write(piece);
    }
    let written_ms = ms_after(Instant::now(), term);
    let answer = if is_written { read_message(&mut BufReader::new(stream)) } else { None };
    Ended { written_ms, answered_ms: ms_after(Instant::now(), term), status: answer.map(|a| a.status()) }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Plays a restart; returns the ends of all requests, that of the old request last, and when the process may be killed.
fn restart(play: &Play, seed: u64) -> (Vec<Ended>, Duration) {
    let discovery = Discovery::new();
    let work = Duration::from_millis(play.work_ms);
    let backends: Vec<Backend> = (0..3)
        .map(|_| {
            Backend::with(move |message| {
                if message.id() == "old" {
                    return Action::Hold(Gate::default(), ok(""));
                }
                thread::sleep(work);
                Action::Write(ok(""))
            })
        })
        .collect();
    discovery.publish(&list_all_up(&backends.iter().collect::<Vec<_>>()));
    let proxy = Proxy::start_with(&play.before[0].config(&discovery));
    wait_for("the proxy", || proxy.is_up());
    let mut old = play.holds_old_request.then(|| {
        let mut client = Client::new(&proxy);
        client.send(&booking("old", "4"));
        wait_for("the old request", || backends.iter().any(|b| b.requests().iter().any(|m| m.id() == "old")));
        client
    });
    for (number, settings) in (1..).zip(&play.before[1..]) {
        proxy.reload(&settings.config(&discovery));
        wait_for("the new settings", || proxy.log_count("settings in force") == number);
    }
    let mut in_force = *play.before.last().expect("settings");
    let term = Instant::now() + Duration::from_millis(WRITE_MS + 100);
    let mut random = Random(seed);
    let mut ends = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let offset = Duration::from_millis(random.below(WRITE_MS + LAST_CONNECT_MS));
                let begin = term + offset - Duration::from_millis(WRITE_MS);
                let (address, id) = (proxy.address, format!("r-{seed}-{n}"));
                scope.spawn(move || send_slowly(address, &id, begin, term, in_force.submit))
            })
            .collect();
        sleep_until(term);
        if let Some(settings) = play.at_once {
            proxy.reload(&settings.config(&discovery));
            in_force = settings;
        }
        proxy.terminate();
        if let Some((after_ms, settings)) = play.after {
            sleep_until(term + Duration::from_millis(after_ms));
            proxy.reload(&settings.config(&discovery));
            in_force = settings;
        }
        clients.into_iter().map(|client| client.join().expect("no panic")).collect::<Vec<_>>()
    });
    if let Some(client) = &mut old {
        let status = client.answer().map(|answer| answer.status());
        ends.push(Ended { written_ms: 0, answered_ms: 0, status });
    }
    (ends, in_force.time_to_kill())
}

/// Checks that everything is answered before the platform may kill the process.
fn assert_answered_before_kill(name: &str, play: &Play) -> Vec<Ended> {
    let (ends, kill) = restart(play, SEED);
    println!("{name}, seed {SEED}: {ends:?}");
    let kill_ms = kill.as_millis() as i128;
    let taken = ends.iter().filter(|end| end.written_ms < kill_ms);
    let lost: Vec<&Ended> = taken.filter(|end| end.status.is_none() || end.answered_ms > kill_ms).collect();
    assert!(lost.is_empty(), "{name}: not answered {kill_ms} ms after SIGTERM: {lost:?}");
    ends
}

/// Guards against an end of the process that counts the deadline of a class which is gone: requests taken after SIGTERM
/// were unanswered at the kill, however long ago the class was dropped.
#[test]
fn requests_taken_after_sigterm_are_answered_by_the_deadlines_in_force() {
    const DROPPED_TWICE: &[Deadlines] = &[WITH_LONG_CLASS, SHORT, WITH_LONG_CLASS, SHORT];
    const FALLING: &[Deadlines] = &[Deadlines { submit: 4000, booking: None }, SHORT];
    let plays = [
        ("the longest class is dropped", Play { before: &[WITH_LONG_CLASS, SHORT], ..PLAY }),
        ("the deadline falls", Play { before: FALLING, ..PLAY }),
        ("dropped, put back, dropped", Play { before: DROPPED_TWICE, ..PLAY }),
        (
            "dropped with an open request",
            Play { before: &[WITH_LONG_CLASS, SHORT], holds_old_request: true, ..PLAY },
        ),
        ("dropped at SIGTERM", Play { before: &[WITH_LONG_CLASS], at_once: Some(SHORT), ..PLAY }),
        ("dropped after SIGTERM", Play { before: &[WITH_LONG_CLASS], after: Some((300, SHORT)), ..PLAY }),
        (
            "dropped later after SIGTERM",
            Play { before: &[WITH_LONG_CLASS], after: Some((1000, SHORT)), ..PLAY },
        ),
    ];
    thread::scope(|scope| {
        for (name, play) in &plays {
            scope.spawn(move || assert_answered_before_kill(name, play));
        }
    });
}

/// Guards against the same at the end of an older process that a newer one replaces after the change of settings.
#[test]
fn requests_at_an_older_process_are_answered_by_the_deadlines_in_force() {
    let directory = std::env::temp_dir().join(format!("sandgap-reload-upgrade-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let discovery = Discovery::new();
    let backend = Backend::with(|_| {
        thread::sleep(Duration::from_millis(600));
        Action::Write(ok(""))
    });
    discovery.publish(&list_all_up(&[&backend]));
    let older = Proxy::start_in(&WITH_LONG_CLASS.config(&discovery), Some(&directory));
    wait_for("the older process", || older.is_up());
    older.reload(&SHORT.config(&discovery));
    wait_for("the new settings", || older.log_count("settings in force") == 1);
    wait_for("the socket of upgrades", || {
        directory.read_dir().is_ok_and(|mut entries| entries.next().is_some())
    });
    // Connections of the older process, on which requests are completed at drawn moments after its SIGTERM.
    let text = |n: usize| submit(&format!("u-{n}"), "1", "xx");
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::new(&older)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let text = text(n);
        client.send(&text[..text.len() - 1]);
    }
    let newer = Proxy::start_in(&SHORT.config_at(&discovery, Some(older.address)), Some(&directory));
    wait_for("the newer process", || newer.is_up());
    let term = Instant::now();
    older.terminate();
    let mut random = Random(SEED);
    thread::scope(|scope| {
        for client in &mut clients {
            let at = term + Duration::from_millis(random.below(1400));
            scope.spawn(move || {
                sleep_until(at);
                client.send("x");
                let status = client.answer().map(|answer| answer.status());
                let answered_ms = ms_after(Instant::now(), term);
                println!("sent {} ms after SIGTERM: {status:?} after {answered_ms} ms", ms_after(at, term));
                assert!(status.is_some() && answered_ms <= SHORT.time_to_kill().as_millis() as i128);
            });
        }
    });
    let _ = std::fs::remove_dir_all(&directory);
}

/// Guards against an end that comes earlier than the settings in force ask: a longer deadline counts from the change on,
/// and 3 s of it at most.
#[test]
fn a_longer_deadline_gives_requests_after_sigterm_more_time() {
    const RISING: &[Deadlines] = &[SHORT, Deadlines { submit: 3000, booking: None }];
    const RISING_FAR: &[Deadlines] = &[SHORT, Deadlines { submit: 10_000, booking: None }];
    thread::scope(|scope| {
        scope.spawn(|| {
            let play = Play { before: RISING, work_ms: 1200, ..PLAY };
            let ends = assert_answered_before_kill("the deadline rises", &play);
            assert!(ends.iter().all(|end| end.status == Some(200)), "{ends:?}");
        });
        scope.spawn(|| {
            let play = Play { before: RISING_FAR, work_ms: 8000, ..PLAY };
            assert_answered_before_kill("the deadline rises to 10 s", &play)
        });
    });
}

/// Guards against new settings that end an open request: it keeps the deadline that it came with, as long as the process
/// need not end.
#[test]
fn an_open_request_keeps_its_deadline_when_its_class_is_dropped() {
    let discovery = Discovery::new();
    let backend = Backend::new(Action::Hold(Gate::default(), ok("")));
    discovery.publish(&list_all_up(&[&backend]));
    let proxy = Proxy::start_with(&WITH_LONG_CLASS.config(&discovery));
    wait_for("the proxy", || proxy.is_up());
    let mut client = Client::new(&proxy);
    let asked = Instant::now();
    client.send(&booking("old", "4"));
    wait_for("the request", || !backend.requests().is_empty());
    proxy.reload(&SHORT.config(&discovery));
    assert_eq!(status(client.answer()), 502);
    let waited = asked.elapsed();
    assert!(waited > Duration::from_millis(3900) && waited < Duration::from_millis(4500), "{waited:?}");
}
