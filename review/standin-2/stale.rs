//! A proxy of a fleet is cut off from the others and goes on by rules that serve without a lease. Meanwhile the fleet
//! switches to rules that don't, and a backend is taken out. Once `out --wait` has said that it is empty, nothing may be
//! sent to it until it is brought back.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::common::{Asked, Client, Error, Record, lock, ms, ok, run_number, start_backend, trouble};
use crate::fleet::{CUT, Fleet};

const WORK_MS: u64 = 40;

pub fn play(record: &Record) -> Result<Vec<String>, Error> {
    let runs = Arc::new(Mutex::new(Vec::<(Instant, usize, String)>::new()));
    let mut backends = Vec::new();
    for server in 0..3 {
        let (runs, record) = (runs.clone(), record.clone());
        let behaviour = move |asked: &Asked, writer: &mut TcpStream| {
            lock(&runs).push((asked.at, server, asked.id().to_owned()));
            record.note(format!("backend b{server}: runs {}", asked.id()));
            thread::sleep(ms(WORK_MS));
            writer.write_all(ok(&format!("{{\"request\":\"{}\"}}", asked.id())).as_bytes()).is_ok()
        };
        backends.push(start_backend(server, Arc::new(behaviour))?);
    }
    let fleet = Fleet::start(record, backends, "serve")?;
    // Learners of the proxy that will be cut off: a page each 50 ms.
    let is_over = Arc::new(AtomicBool::new(false));
    let learners = {
        let (is_over, record, p) = (is_over.clone(), record.clone(), fleet.p);
        thread::spawn(move || load(p, &is_over, &record))
    };
    thread::sleep(ms(1000));
    if trouble() {
        fleet.cut(record, true);
    }
    let cut_at = Instant::now();
    fleet.publish(record, "refuse")?;
    fleet.must(record, &["out", "b0", "--why", "new disk", "--wait"])?;
    let empty_at = Instant::now();
    let empty_after = (empty_at - cut_at).as_millis();
    record.note(format!("staff: b0 is said to be empty, {empty_after} ms after the cut"));
    thread::sleep((cut_at + CUT).saturating_duration_since(Instant::now()));
    fleet.cut(record, false);
    thread::sleep(ms(1000));
    is_over.store(true, Ordering::Relaxed);
    let served = learners.join().map_err(|_| "the learners have failed")??;
    record.note(format!("clients: {served} pages were served"));
    record.note(format!("log of p:\n{}", fleet.log_of_p()));
    let runs = lock(&runs);
    let late: Vec<_> = runs.iter().filter(|(at, server, _)| *server == 0 && *at > empty_at).collect();
    let (Some(first), Some(last)) = (late.first(), late.last()) else { return Ok(Vec::new()) };
    Ok(vec![format!(
        "b0 got {} requests after 'out b0 --wait' had ended with 0, from {} to {} ms after it: {} to {}",
        late.len(),
        (first.0 - empty_at).as_millis(),
        (last.0 - empty_at).as_millis(),
        first.2,
        last.2
    )])
}

/// Loads a page each 50 ms until told to stop; returns how many were served.
fn load(address: SocketAddr, is_over: &AtomicBool, record: &Record) -> Result<u32, Error> {
    let (run, mut served) = (run_number(), 0);
    let mut client = Client::connect(address)?;
    for number in 0..1200u32 {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("{run:08x}{number:08x}");
        let request = format!(
            "GET /lesson-page HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Timeout: 2.000\r\n\r\n"
        );
        client.send(request.as_bytes())?;
        let answer = client.answer(Instant::now() + ms(2600))?;
        record.note(format!("client: {id} is answered {}", answer.status));
        served += u32::from(answer.status == 200);
        if answer.closes() {
            client = Client::connect(address)?;
        }
        thread::sleep(ms(50));
    }
    Ok(served)
}
