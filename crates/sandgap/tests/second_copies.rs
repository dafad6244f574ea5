//! Attempts of one request that are out at once: as many as the settings permit, whatever backends do, and no answer is
//! lost for it.
mod sockets;

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use sockets::answers::{ALL_FORMS, Form};
use sockets::random::Random;
use sockets::*;

/// Two attempts that are out together for less than this do not count.
const SLACK: Duration = Duration::from_millis(50);
/// Time that a backend works on a request.
const WORK: Duration = Duration::from_millis(30);
/// Bytes of an answer's body.
const BYTES: usize = 400;
/// Interval at which a pausing backend looks whether its connection is still open.
const CLOSE_CHECK: Duration = Duration::from_millis(5);
/// Backends of a play.
const BACKENDS: usize = 6;
/// Begin of the ids of requests whose answers do not pause.
const QUICK: &str = "quick";
/// Seed of the plays.
const SEED: u64 = 8201;

/// Where in its answers a backend pauses.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Point {
    BeforeHead,
    BeforeBody,
    InBody,
}

/// What some of the backends do.
#[derive(Clone, Copy, Debug)]
struct Pause {
    point: Point,
    /// `None` for ever.
    length: Option<Duration>,
    form: Form,
    /// The first so many backends pause.
    backends: usize,
    /// One in this many of their answers pauses.
    one_in: u64,
}

/// One attempt: when it was out on an open connection.
struct Out {
    id: String,
    from: Instant,
    to: Option<Instant>,
}

#[derive(Clone, Default)]
struct Outs(Arc<Mutex<Vec<Out>>>);

impl Outs {
    fn begin(&self, id: &str) -> usize {
        let mut all = self.0.lock().expect("no panic");
        all.push(Out { id: id.to_owned(), from: Instant::now(), to: None });
        all.len() - 1
    }

    fn end(&self, number: usize) {
        self.0.lock().expect("no panic")[number].to = Some(Instant::now());
    }

    /// The most attempts of one request that were out together for longer than the slack.
    fn most_at_once(&self) -> usize {
        let all = self.0.lock().expect("no panic");
        let earlier = |number: usize| {
            let later = &all[number];
            let is_out = |out: &&Out| out.id == later.id && out.to.is_none_or(|to| to > later.from + SLACK);
            all[..number].iter().filter(is_out).count()
        };
        (0..all.len()).map(|number| 1 + earlier(number)).max().unwrap_or(0)
    }

    fn count(&self) -> usize {
        self.0.lock().expect("no panic").len()
    }
}

/// Whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Waits; false if the connection closes meanwhile.
fn pause(stream: &TcpStream, length: Option<Duration>) -> bool {
    let until = Instant::now() + length.unwrap_or(WAIT_TIMEOUT);
    while Instant::now() < until {
        if is_closed(stream) {
            return false;
        }
        thread::sleep(CLOSE_CHECK);
    }
    true
}

/// Answers a request, with a pause at a point if there is one; false once the connection has ended.
fn answer(stream: &mut TcpStream, form: Form, paused: Option<Pause>) -> bool {
    thread::sleep(WORK);
    let pauses_at = |point: Point| paused.filter(|p| p.point == point);
    let mut is_open = pauses_at(Point::BeforeHead).is_none_or(|p| pause(stream, p.length));
    is_open = is_open && stream.write_all(form.head(BYTES).as_bytes()).is_ok();
    is_open = is_open && pauses_at(Point::BeforeBody).is_none_or(|p| pause(stream, p.length));
    is_open = is_open && stream.write_all(&form.part(BYTES / 2)).is_ok();
    is_open = is_open && pauses_at(Point::InBody).is_none_or(|p| pause(stream, p.length));
    is_open && stream.write_all(&form.part(BYTES / 2)).is_ok() && form.end(stream)
}

fn backend(number: usize, paused: Pause, outs: &Outs, seed: u64) -> SocketAddr {
    let outs = outs.clone();
    let random = Mutex::new(Random(seed + number as u64));
    serve(move |mut reader, mut stream| {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_message(&mut reader) {
            let attempt = outs.begin(request.id());
            let is_drawn = random.lock().expect("no panic").below(paused.one_in) == 0;
            let pauses = number < paused.backends && is_drawn && !request.id().starts_with(QUICK);
            let is_open = answer(&mut stream, paused.form, pauses.then_some(paused));
            outs.end(attempt);
            if !is_open || paused.form == Form::Close {
                return;
            }
        }
    })
}

/// The kind of requests of a play.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Safe,
    Keyed,
}

impl Kind {
    fn text(self, id: &str, patience_s: f64) -> String {
        match self {
            Kind::Safe => page(id).replace("Timeout: 5", &format!("Timeout: {patience_s}")),
            Kind::Keyed => booking(id, &patience_s.to_string()),
        }
    }
}

/// A play: requests one after the other by some clients.
#[derive(Clone, Copy, Debug)]
struct Play {
    pause: Pause,
    kind: Kind,
    permits_two: bool,
    /// The permission is withdrawn by SIGHUP after this many requests of a client.
    withdrawn_after: Option<usize>,
    patience_s: f64,
    clients: usize,
    /// Requests of a client before backends pause, and then.
    quick_requests: usize,
    requests: usize,
}

const PAUSE: Pause = Pause {
    point: Point::InBody,
    length: Some(Duration::from_millis(1000)),
    form: Form::Length,
    backends: 1,
    one_in: 1,
};
const PLAY: Play = Play {
    pause: PAUSE,
    kind: Kind::Safe,
    permits_two: false,
    withdrawn_after: None,
    patience_s: 2.0,
    clients: 2,
    quick_requests: 0,
    requests: 20,
};

/// What a play has shown.
#[derive(Debug)]
struct Seen {
    most_at_once: usize,
    attempts: usize,
    served: usize,
    asked: usize,
}

fn play(play: Play, seed: u64) -> Seen {
    let outs = Outs::default();
    let hosts = (0..BACKENDS).map(|n| host(&format!("s-{n}"), backend(n, play.pause, &outs, seed), "up", 0));
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &hosts.collect::<Vec<_>>()));
    let setup = |second_copies| Setup { second_copies, sockets: 1024, window: 4000, ..Setup::default() };
    let permits_two = play.permits_two || play.withdrawn_after.is_some();
    let proxy = Proxy::up(&discovery, &setup(permits_two));
    let is_served = |id: &str| {
        let mut answer =
            sockets::answers::AnswerReader::ask(proxy.address, &play.kind.text(id, play.patience_s));
        let received = answer.read_for(Duration::from_secs_f64(play.patience_s + 1.0));
        received.looks_whole() && received.body == BYTES
    };
    let ask = |numbers: std::ops::Range<usize>, part: &str| -> usize {
        thread::scope(|scope| {
            let clients: Vec<_> = (0..play.clients)
                .map(|client| {
                    let numbers = numbers.clone();
                    let is_served = &is_served;
                    scope.spawn(move || {
                        numbers.filter(|n| is_served(&format!("{part}-{seed}-{client}-{n}"))).count()
                    })
                })
                .collect();
            clients.into_iter().map(|client| client.join().expect("no panic")).sum()
        })
    };
    if let Some(before) = play.withdrawn_after {
        ask(0..before, "before");
        proxy.reload(&config(discovery.address, &setup(false)));
        wait_for("the new settings", || proxy.log_contains("settings in force"));
    }
    ask(0..play.quick_requests, QUICK);
    outs.0.lock().expect("no panic").clear();
    let served = ask(0..play.requests, "r");
    let asked = play.clients * play.requests;
    Seen { most_at_once: outs.most_at_once(), attempts: outs.count(), served, asked }
}

/// Runs plays side by side, prints what each has shown, and returns it.
fn play_all(plays: &[Play]) -> Vec<Seen> {
    thread::scope(|scope| {
        let running: Vec<_> = plays.iter().map(|p| scope.spawn(|| play(*p, SEED))).collect();
        let seen: Vec<Seen> = running.into_iter().map(|p| p.join().expect("no panic")).collect();
        plays.iter().zip(&seen).for_each(|(play, seen)| println!("seed {SEED}, {play:?}: {seen:?}"));
        seen
    })
}

fn ms(ms: u64) -> Option<Duration> {
    Some(Duration::from_millis(ms))
}

/// Guards against a second attempt beside a paused one where the settings permit one (`ceilings.secondCopies` false): each
/// paused request had two. No sound answer may be lost for it.
#[test]
fn a_request_has_one_attempt_at_once_where_one_is_permitted() {
    let mut plays = Vec::new();
    for point in [Point::BeforeHead, Point::BeforeBody, Point::InBody] {
        for kind in [Kind::Safe, Kind::Keyed] {
            for (length, form) in [400, 800, 1000].into_iter().zip(ALL_FORMS) {
                plays.push(Play { pause: Pause { point, length: ms(length), form, ..PAUSE }, kind, ..PLAY });
            }
        }
    }
    plays.push(Play { withdrawn_after: Some(2), ..PLAY });
    plays.push(Play { withdrawn_after: Some(6), kind: Kind::Keyed, ..PLAY });
    for (play, seen) in plays.iter().zip(play_all(&plays)) {
        assert_eq!(seen.most_at_once, 1, "{play:?}: {seen:?}");
        assert_eq!(seen.served, seen.asked, "{play:?}: {seen:?}");
        assert_eq!(seen.attempts, seen.asked, "no sound answer is given up: {play:?}: {seen:?}");
    }
}

/// Guards against a third attempt beside two paused ones where two are permitted.
#[test]
fn a_request_has_two_attempts_at_once_where_two_are_permitted() {
    let all = |length, kind| Play {
        pause: Pause { length: ms(length), backends: BACKENDS, ..PAUSE },
        kind,
        permits_two: true,
        patience_s: 4.0,
        clients: 4,
        quick_requests: 30, // the budget of retries is full
        requests: 4,
        ..PLAY
    };
    let plays =
        [all(1500, Kind::Safe), all(1500, Kind::Keyed), all(3200, Kind::Safe), all(3200, Kind::Keyed)];
    for (play, seen) in plays.iter().zip(play_all(&plays)) {
        assert_eq!(seen.most_at_once, 2, "{play:?}: {seen:?}");
        assert_eq!(seen.served, seen.asked, "{play:?}: {seen:?}");
    }
}

/// Plays in which one backend hangs for ever within its answers, after requests whose answers do not pause.
fn hung_plays(points_and_forms: &[(Point, Kind, Form)]) -> Vec<Play> {
    let play = |(point, kind, form): (Point, Kind, Form), one_in| Play {
        pause: Pause { point, length: None, form, one_in, ..PAUSE },
        kind,
        quick_requests: 30,
        requests: 30,
        ..PLAY
    };
    points_and_forms.iter().flat_map(|case| [1, 3].map(|one_in| play(*case, one_in))).collect()
}

fn assert_hung_are_replaced(plays: &[Play]) {
    for (play, seen) in plays.iter().zip(play_all(plays)) {
        assert_eq!(seen.most_at_once, 1, "{play:?}: {seen:?}");
        assert_eq!(seen.served, seen.asked, "{play:?}: {seen:?}");
    }
}

/// Guards against a fall of the served share where one attempt is permitted: a request whose backend hangs within its
/// answer is served by another one in its time, and not by two at once.
#[test]
fn a_hung_answer_is_replaced_in_time_where_one_attempt_is_permitted() {
    assert_hung_are_replaced(&hung_plays(&[
        (Point::BeforeBody, Kind::Safe, Form::Length),
        (Point::BeforeBody, Kind::Safe, Form::Chunked),
        (Point::BeforeBody, Kind::Keyed, Form::Length),
        (Point::InBody, Kind::Safe, Form::Length),
        (Point::InBody, Kind::Keyed, Form::Length),
    ]));
}

/// The same for answers of unknown length that hang after their first part, which is passed on after half of their time.
#[test]
fn a_hung_chunked_answer_is_replaced_in_time_where_one_attempt_is_permitted() {
    assert_hung_are_replaced(&hung_plays(&[(Point::InBody, Kind::Safe, Form::Chunked)]));
}
