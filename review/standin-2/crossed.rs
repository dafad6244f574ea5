//! A backend answers one request twice: the second, equal answer comes some milliseconds later. No client may get an
//! answer that was made for another request.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    Agent, Asked, Client, Error, Host, Proxy, Record, class, lock, ms, ok, run_number, settings,
    start_backend, trouble, way,
};

/// Time that a backend works on a request.
const WORK_MS: u64 = 90;
/// How much later the second answer comes.
const SECOND_AFTER_MS: u64 = 15;
/// The backends stand in another data centre.
const ONE_WAY: Duration = Duration::from_millis(5);
const BACKENDS: usize = 3;
/// The classes of requests; all are safe to repeat.
const PAGES: [&str; 3] = ["lesson-page", "course-page", "exam-page"];

/// What the backends have done.
#[derive(Default)]
struct World {
    /// The bodies that backends have made, and which did, by request id.
    bodies: BTreeMap<String, Vec<(usize, String)>>,
    /// How many requests have come on each connection.
    asked: BTreeMap<u64, usize>,
    /// The target whose next answer comes twice.
    doubled: Option<String>,
}

pub fn play(record: &Record) -> Result<Vec<String>, Error> {
    let world = Arc::new(Mutex::new(World::default()));
    let mut hosts = Vec::new();
    for server in 0..BACKENDS {
        let (world, record) = (world.clone(), record.clone());
        let behaviour =
            move |asked: &Asked, writer: &mut TcpStream| answer(server, asked, writer, &world, &record);
        let dial = way(start_backend(server, Arc::new(behaviour))?, ONE_WAY)?;
        hosts.push(Host { name: format!("s-{server}"), dial, site: "gent", block: 1, health: "up" });
    }
    let agent = Agent::start(hosts)?;
    // Requests have a subject, and a backend that has served it lately does less work for it.
    let classes = PAGES.map(|page| class(page, "idempotent", 810, 2000, ""));
    let proxy = Proxy::start("n0", agent.address, &settings(&classes, true, true))?;
    let mut load =
        Load { run: run_number(), number: 0, proxy: &proxy, world: &world, record, broken: Vec::new() };
    for page in PAGES {
        // A quiet hour: learners load their pages one after the other.
        let mut served_by = Vec::new();
        for learner in 0..8 {
            served_by.push((learner, load.page(page, learner)?));
            thread::sleep(ms(300));
        }
        // Another one loads the page and at once loads it again; the first of these answers comes twice. Then others load
        // theirs, whose pages come from the same backend.
        if trouble() {
            lock(&world).doubled = Some(target(page, 100));
        }
        let server = load.page(page, 100)?;
        load.page(page, 100)?;
        for (learner, _) in served_by.iter().filter(|(_, by)| *by == server) {
            load.page(page, *learner)?;
        }
        if !load.broken.is_empty() {
            break; // else the moments did not fall together, and it is tried once more, with other pages
        }
        thread::sleep(ms(300));
    }
    let broken = load.broken;
    record.note(format!("log of the proxy:\n{}", proxy.log()));
    Ok(broken)
}

fn target(page: &str, learner: u32) -> String {
    format!("/{page}?sid=learner-{learner}")
}

/// A backend's answer; false closes the connection.
fn answer(
    server: usize, asked: &Asked, writer: &mut TcpStream, world: &Arc<Mutex<World>>, record: &Record,
) -> bool {
    let (id, connection) = (asked.id().to_owned(), asked.connection);
    record.note(format!("backend {server}, connection {connection}: runs {id} {}", asked.target));
    let number = {
        let mut world = lock(world);
        let count = world.asked.entry(connection).or_default();
        *count += 1;
        *count
    };
    thread::sleep(ms(WORK_MS));
    let body = format!("{{\"page for\":\"{}\",\"request\":\"{id}\"}}", asked.target);
    let is_doubled = {
        let mut world = lock(world);
        world.bodies.entry(id.clone()).or_default().push((server, body.clone()));
        world.doubled.take_if(|target| *target == asked.target).is_some()
    };
    record.note(format!("backend {server}, connection {connection}: answers {id}"));
    let is_open = writer.write_all(ok(&body).as_bytes()).is_ok();
    if is_doubled {
        let (second, world, record) = (writer.try_clone(), world.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(ms(SECOND_AFTER_MS));
            // Only if nothing else waits on the connection.
            if lock(&world).asked.get(&connection) != Some(&number) {
                return record
                    .note(format!("backend {server}, connection {connection}: another request has come"));
            }
            record.note(format!("backend {server}, connection {connection}: answers {id} a second time"));
            let _ = second.and_then(|mut second| second.write_all(ok(&body).as_bytes()));
        });
    }
    is_open
}

/// The clients: each page is loaded on a connection of its own.
struct Load<'a> {
    run: u64,
    number: u64,
    proxy: &'a Proxy,
    world: &'a Mutex<World>,
    record: &'a Record,
    broken: Vec<String>,
}

impl Load<'_> {
    /// Loads a learner's page and checks it; returns the backend that the request went to.
    fn page(&mut self, page: &str, learner: u32) -> Result<Option<usize>, Error> {
        let id = format!("{:08x}{:08x}", self.run, self.number);
        self.number += 1;
        let target = target(page, learner);
        self.record.note(format!("client: sends {id} {target}"));
        let mut client = Client::connect(self.proxy.address)?;
        client.send(
            format!(
                "GET {target} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n\
                 X-Tenant-Id: hogeschool-noord\r\nX-Timeout: 2.000\r\n\r\n"
            )
            .as_bytes(),
        )?;
        let answer = client.answer(Instant::now() + ms(2600))?;
        let text = answer.text();
        self.record.note(format!("client: {id} is answered {} {text}", answer.status));
        let made = lock(self.world).bodies.get(&id).cloned().unwrap_or_default();
        if answer.status == 200 && !made.iter().any(|(_, body)| *body == text) {
            self.broken.push(format!("{id} {target} got an answer that no backend made for it: {text}"));
        }
        Ok(made.first().map(|(server, _)| *server))
    }
}
