//! A backend answers one request twice: the second, equal answer comes some milliseconds later. No client may get an
//! answer that was made for another request.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::common::{
    Agent, Client, Error, Host, Proxy, Record, class, lock, ms, ok, run_number, settings, start_backend,
    trouble,
};

/// Time that a backend works on a request.
const WORK_MS: u64 = 90;
/// How much later the second answer comes.
const SECOND_AFTER_MS: u64 = 20;
const BACKENDS: usize = 3;

/// The bodies that backends have made, and which did, by request id.
type Bodies = Arc<Mutex<BTreeMap<String, Vec<(usize, String)>>>>;

pub fn play(record: &Record) -> Result<Vec<String>, Error> {
    let bodies = Bodies::default();
    // The learner whose page is answered twice, once.
    let doubled = Arc::new(Mutex::new(trouble().then(|| "sid=learner-100".to_owned())));
    let mut hosts = Vec::new();
    for server in 0..BACKENDS {
        let (bodies, doubled, record) = (bodies.clone(), doubled.clone(), record.clone());
        let behaviour = move |asked: &crate::common::Asked, writer: &mut std::net::TcpStream| {
            record.note(format!(
                "backend {server}, connection {}: runs {} {}",
                asked.connection,
                asked.id(),
                asked.target
            ));
            thread::sleep(ms(WORK_MS));
            let body = format!("{{\"page for\":\"{}\",\"request\":\"{}\"}}", asked.target, asked.id());
            lock(&bodies).entry(asked.id().to_owned()).or_default().push((server, body.clone()));
            record.note(format!("backend {server}, connection {}: answers {}", asked.connection, asked.id()));
            let is_open = writer.write_all(ok(&body).as_bytes()).is_ok();
            let is_doubled = lock(&doubled).take_if(|sid| asked.target.ends_with(sid.as_str())).is_some();
            if is_doubled {
                let (second, record) = (writer.try_clone(), record.clone());
                let (id, connection) = (asked.id().to_owned(), asked.connection);
                thread::spawn(move || {
                    thread::sleep(ms(SECOND_AFTER_MS));
                    record.note(format!(
                        "backend {server}, connection {connection}: answers {id} a second time"
                    ));
                    second.is_ok_and(|mut second| second.write_all(ok(&body).as_bytes()).is_ok())
                });
            }
            is_open
        };
        let dial = start_backend(server, Arc::new(behaviour))?;
        hosts.push(Host { name: format!("s-{server}"), dial, block: 1, health: "up" });
    }
    let agent = Agent::start(hosts)?;
    // Requests have a subject, and a backend that has served it lately does less work for it.
    let settings = settings(&[class("lesson-page", "idempotent", 810, 2000, "")], true, true);
    let proxy = Proxy::start("n0", agent.address, &settings)?;
    let mut load =
        Load { run: run_number(), number: 0, proxy: &proxy, bodies: &bodies, record, broken: Vec::new() };
    // A quiet hour: learners load their pages one after the other.
    let mut served_by = Vec::new();
    for learner in 0..12 {
        served_by.push((learner, load.page(learner)?));
        thread::sleep(ms(300));
    }
    // Learner 100 loads the page and at once loads it again; others, whose pages come from the same backend, follow.
    let server = load.page(100)?;
    load.page(100)?;
    for (learner, _) in served_by.iter().filter(|(_, by)| *by == server) {
        load.page(*learner)?;
    }
    let broken = load.broken;
    record.note(format!("log of the proxy:\n{}", proxy.log()));
    Ok(broken)
}

/// The clients: each page is loaded on a connection of its own.
struct Load<'a> {
    run: u64,
    number: u64,
    proxy: &'a Proxy,
    bodies: &'a Bodies,
    record: &'a Record,
    broken: Vec<String>,
}

impl Load<'_> {
    /// Loads a learner's page and checks it; returns the backend that the request went to.
    fn page(&mut self, learner: u32) -> Result<Option<usize>, Error> {
        let id = format!("{:08x}{:08x}", self.run, self.number);
        self.number += 1;
        let target = format!("/lesson-page?sid=learner-{learner}");
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
        let made = lock(self.bodies).get(&id).cloned().unwrap_or_default();
        if answer.status == 200 && !made.iter().any(|(_, body)| *body == text) {
            self.broken.push(format!("{id} {target} got an answer that no backend made for it: {text}"));
        }
        Ok(made.first().map(|(server, _)| *server))
    }
}
