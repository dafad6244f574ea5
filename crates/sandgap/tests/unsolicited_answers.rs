//! Backends that send an answer which no request asked for. HTTP/1.1 ties an answer to its request by its place on the
//! connection alone, so the next request on that connection may get it.
mod sockets;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

/// Time that a backend works on a request.
const WORK: Duration = Duration::from_millis(40);
/// Longest time after an answer at which another one follows it unasked.
const LATEST: Duration = Duration::from_millis(200);
/// Requests before the first unsolicited answer.
const WARM_UP: usize = 8;
/// Processes that are tried where the first answer of each matters.
const PROCESSES: usize = 5;
const REJECTION: &str = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";

/// The answer that a backend sends unasked after some of its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Second {
    Repeated,
    Rejection,
    Error,
}

/// What the backends of a test have seen.
#[derive(Default)]
struct Seen {
    /// Id of each request, and the backend's number.
    requests: Vec<(String, usize)>,
    /// Ids of the requests that got an unsolicited answer before their own.
    crossed: Vec<String>,
}

/// A backend that answers each request with its id. After the answer to a request whose id begins with `spoilt`, another
/// answer is sent, as soon as the next request on that connection has been read.
fn backend(number: usize, second: Second, seen: &Arc<Mutex<Seen>>) -> SocketAddr {
    let seen = seen.clone();
    serve(move |mut reader, mut stream| {
        let mut late: Option<(Instant, String)> = None;
        while let Some(request) = read_message(&mut reader) {
            seen.lock().expect("no panic").requests.push((request.id().to_owned(), number));
            if let Some((_, text)) = late.take().filter(|(answered, _)| answered.elapsed() < LATEST) {
                seen.lock().expect("no panic").crossed.push(request.id().to_owned());
                let _ = stream.write_all(text.as_bytes());
            }
            if request.id().starts_with("warm") {
                // Leaves no idle connection behind.
                let closing = ok(request.id()).replace("\r\nX-Own", "\r\nConnection: close\r\nX-Own");
                let _ = stream.write_all(closing.as_bytes());
                return;
            }
            thread::sleep(WORK);
            let answer = ok(request.id());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if request.id().starts_with("spoilt") {
                let text = match second {
                    Second::Repeated => answer,
                    Second::Rejection => REJECTION.to_owned(),
                    Second::Error => ERROR.to_owned(),
                };
                late = Some((Instant::now(), text));
            }
        }
    })
}

/// A proxy before backends that send second answers of a kind.
struct Scene {
    seen: Arc<Mutex<Seen>>,
    proxy: Proxy,
    _discovery: Discovery,
}

impl Scene {
    /// A proxy that has served some requests, so that it knows that answers differ.
    fn new(backends: usize, second: Second) -> Self {
        let scene = Scene::unused(backends, second);
        let mut client = Client::new(&scene.proxy);
        for n in 0..WARM_UP {
            let id = format!("warm-{n}");
            assert_eq!(client.request(&page(&id)).expect("an answer").text(), id);
        }
        scene
    }

    /// A proxy that has served nothing yet.
    fn unused(backends: usize, second: Second) -> Self {
        let seen = Arc::<Mutex<Seen>>::default();
        let discovery = Discovery::new();
        let lines: Vec<String> =
            (0..backends).map(|n| host(&format!("s-{n}"), backend(n, second, &seen), "up", 0)).collect();
        discovery.publish(&list(1, true, &lines));
        let proxy = Proxy::up(&discovery, &Setup { admin: true, ..Setup::default() });
        Scene { seen, proxy, _discovery: discovery }
    }

    /// Sends a request that is followed by an unsolicited answer, and then the request that `next` makes for an id, until
    /// one of these has got the unsolicited answer first. Returns its id and its answer.
    fn cross(&self, next: impl Fn(&str) -> String) -> (String, Message) {
        let mut client = Client::new(&self.proxy);
        let mut round = 0;
        let mut result = None;
        wait_for("an unsolicited answer before the due one", || {
            round += 1;
            client.request(&page(&format!("spoilt-{round}"))).expect("an answer");
            let id = format!("next-{round}");
            let answer = client.request(&next(&id)).expect("an answer");
            result = Some((id.clone(), answer));
            self.seen.lock().expect("no panic").crossed.contains(&id)
        });
        result.expect("just set")
    }

    /// How many attempts of a request the backends have read.
    fn attempts(&self, id: &str) -> usize {
        self.seen.lock().expect("no panic").requests.iter().filter(|(seen, _)| seen == id).count()
    }
}

#[test]
fn a_repeated_answer_is_not_served_to_the_next_request() {
    let scene = Scene::new(3, Second::Repeated);
    let (id, answer) = scene.cross(page);
    assert_eq!((answer.status(), answer.text()), (200, id));
}

#[test]
fn a_repeated_answer_to_the_first_request_of_a_process_is_not_served_to_the_second() {
    for _ in 0..PROCESSES {
        let scene = Scene::unused(1, Second::Repeated);
        let mut client = Client::new(&scene.proxy);
        client.request(&page("spoilt-0")).expect("an answer");
        let answer = client.request(&page("next-0")).expect("an answer");
        assert!(answer.status() != 200 || answer.text() == "next-0", "{answer:?}");
    }
}

#[test]
fn an_unsafe_request_that_gets_a_repeated_answer_is_neither_served_nor_sent_again() {
    let scene = Scene::new(3, Second::Repeated);
    let (id, answer) = scene.cross(|id| submit(id, "5", "x"));
    assert!(answer.status() >= 500 && answer.status() != 503, "{answer:?}");
    assert_eq!(scene.attempts(&id), 1);
}

#[test]
fn an_unsafe_request_that_gets_an_unsolicited_rejection_is_not_sent_again() {
    let scene = Scene::new(3, Second::Rejection);
    let (id, answer) = scene.cross(|id| submit(id, "5", "x"));
    assert!(answer.status() >= 500 && answer.status() != 503, "{answer:?}");
    assert_eq!(scene.attempts(&id), 1);
}

#[test]
fn the_true_answer_behind_an_unsolicited_error_is_not_served_to_the_next_request() {
    let scene = Scene::new(1, Second::Error);
    let (_, answer) = scene.cross(|id| submit(id, "5", "x"));
    assert!(answer.status() >= 500 && answer.status() != 503, "{answer:?}");
    let mut client = Client::new(&scene.proxy);
    for n in 0..10 {
        let id = format!("after-{n}");
        assert_eq!(client.request(&page(&id)).expect("an answer").text(), id);
    }
}

#[test]
fn a_backend_that_has_sent_an_unsolicited_answer_gets_requests_on_quiet_connections_only() {
    let last: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let gaps = last.clone();
    let address = serve(move |mut reader, mut stream| {
        let mut answered: Option<Instant> = None;
        while let Some(request) = read_message(&mut reader) {
            gaps.lock().expect("no panic").extend(answered.map(|at| at.elapsed()));
            thread::sleep(Duration::from_millis(5));
            if stream.write_all(ok(request.id()).as_bytes()).is_err() {
                return;
            }
            answered = Some(Instant::now());
            if request.id() == "spoilt" {
                thread::sleep(Duration::from_millis(30));
                let _ = stream.write_all(ERROR.as_bytes());
            }
        }
    });
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", address, "up", 0)]));
    let proxy = Proxy::up(&discovery, &Setup { admin: true, ..Setup::default() });
    let mut client = Client::new(&proxy);
    assert_eq!(client.request(&page("spoilt")).expect("an answer").text(), "spoilt");
    let counters = || proxy.admin_call(b"counters\n");
    wait_for("the count of unsolicited bytes", || counters().contains("unsolicited.after_answer=1"));
    last.lock().expect("no panic").clear();
    for n in 0..40 {
        let id = format!("after-{n}");
        assert_eq!(client.request(&page(&id)).expect("an answer").text(), id);
    }
    let gaps = last.lock().expect("no panic");
    assert!(gaps.iter().all(|gap| *gap >= LATEST), "{gaps:?}");
}
