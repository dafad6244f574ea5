//! The backends of a fleet come from discovery, and staff drain one of them by hand. A proxy is restarted by plan. From then
//! on, too, nothing may go to the drained backend until the drain is taken back.

use std::io::Write as _;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::common::{
    Agent, Asked, Client, Error, Host, Record, lock, ms, ok, run_number, start_backend, trouble,
};
use crate::fleet::{Fleet, Source};

const WORK_MS: u64 = 40;
/// The grace of a drain and 50 ms.
const GRACE_MS: u64 = 550;
const PAGES: u32 = 60;

pub fn play(record: &Record) -> Result<Vec<String>, Error> {
    let runs = Arc::new(Mutex::new(Vec::<(Instant, usize, String)>::new()));
    let mut hosts = Vec::new();
    for server in 0..3 {
        let (runs, record) = (runs.clone(), record.clone());
        let behaviour = move |asked: &Asked, writer: &mut TcpStream| {
            lock(&runs).push((asked.at, server, asked.id().to_owned()));
            record.note(format!("backend s-{server}: runs {}", asked.id()));
            thread::sleep(ms(WORK_MS));
            writer.write_all(ok(&format!("{{\"request\":\"{}\"}}", asked.id())).as_bytes()).is_ok()
        };
        let dial = start_backend(server, Arc::new(behaviour))?;
        hosts.push(Host { name: format!("s-{server}"), dial, site: "leuven", block: 1, health: "up" });
    }
    let agent = Agent::start(hosts)?;
    let mut fleet = Fleet::start(record, Source::Discovery(agent.address), "refuse")?;
    wait_until_up(&fleet)?;
    wait_until_served(&fleet)?;
    // An ordinary change of the list, in which discovery tells all backends once more.
    ["s-0", "s-1", "s-2"].iter().for_each(|name| agent.change(name, "up"));
    record.note("discovery: tells all backends once more");
    thread::sleep(ms(500));
    fleet.must(record, &["drain", "s-0"])?;
    if trouble() {
        fleet.restart_p(record)?;
        wait_until_up(&fleet)?;
    }
    // p serves, so that it has a lease on the version in force; every live proxy acts on the version with the drain.
    wait_until_served(&fleet)?;
    fleet.must(record, &["wait", "2"])?;
    let told_at = Instant::now();
    thread::sleep(ms(GRACE_MS + 500));
    let run = run_number();
    let mut client = Client::connect(fleet.p)?;
    let mut served = 0;
    for number in 0..PAGES {
        let id = format!("{run:08x}{number:08x}");
        let request = format!(
            "GET /lesson-page HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Timeout: 2.000\r\n\r\n"
        );
        client.send(request.as_bytes())?;
        let answer = client.answer(Instant::now() + ms(2600))?;
        record.note(format!("client: {id} is answered {}", answer.status));
        served += u32::from(answer.status == 200);
        if answer.closes() {
            client = Client::connect(fleet.p)?;
        }
        thread::sleep(ms(50));
    }
    fleet.check_running()?;
    record.note(format!("log of p:\n{}", fleet.log_of_p()));
    if served == 0 {
        return Err("p has served nothing".into());
    }
    let runs = lock(&runs);
    let from = told_at + ms(GRACE_MS);
    let late: Vec<_> = runs.iter().filter(|(at, server, _)| *server == 0 && *at > from).collect();
    let Some(last) = late.last() else { return Ok(Vec::new()) };
    Ok(vec![format!(
        "s-0 got {} of {PAGES} requests of p, the last {} ms after 'wait' had said that every proxy acts on its drain",
        late.len(),
        (last.0 - told_at).as_millis()
    )])
}

/// Waits until p serves a page.
fn wait_until_served(fleet: &Fleet) -> Result<(), Error> {
    let (run, until) = (run_number(), Instant::now() + ms(20_000));
    for number in 0..400 {
        let asked = Client::connect(fleet.p).and_then(|mut client| {
            client.send(
                format!(
                    "GET /lesson-page HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: w{run:07x}{number:08x}\r\n\
                     X-Timeout: 2.000\r\n\r\n"
                )
                .as_bytes(),
            )?;
            client.answer(Instant::now() + ms(2600))
        });
        if asked.is_ok_and(|answer| answer.status == 200) {
            return Ok(());
        }
        if Instant::now() > until {
            break;
        }
        thread::sleep(ms(50));
    }
    Err("p has served no page".into())
}

/// Waits until p says that it is up.
fn wait_until_up(fleet: &Fleet) -> Result<(), Error> {
    let until = Instant::now() + ms(20_000);
    while Instant::now() < until {
        let asked = Client::connect(fleet.p).and_then(|mut client| {
            client.send(b"GET /up HTTP/1.1\r\nHost: origin.svc\r\n\r\n")?;
            client.answer(Instant::now() + ms(1000))
        });
        if asked.is_ok_and(|answer| answer.status == 200) {
            return Ok(());
        }
        thread::sleep(ms(50));
    }
    Err("p does not serve".into())
}
