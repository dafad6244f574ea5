//! A proxy of a fleet is cut off from the others while a client downloads a long answer through it. A backend is taken out,
//! and is stopped once `out --wait` has said that it is empty, as the page says. The download has to be whole.

use std::io::Write as _;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::common::{Asked, Client, Error, Record, lock, ms, ok, run_number, start_backend, trouble};
use crate::fleet::{CUT, Fleet, Source};

const WORK_MS: u64 = 40;
/// A long answer: 1 MB in pieces of 10 kB, each 100 ms.
const PIECES: usize = 100;
const PIECE_BYTES: usize = 10_000;
const PIECE_MS: u64 = 100;

pub fn play(record: &Record) -> Result<Vec<String>, Error> {
    // Which backend serves the download, and whether it has been stopped.
    let serving = Arc::new(Mutex::new(None::<usize>));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let mut backends = Vec::new();
    for server in 0..3 {
        let (serving, is_stopped, record) = (serving.clone(), is_stopped.clone(), record.clone());
        let behaviour = move |asked: &Asked, writer: &mut TcpStream| {
            record.note(format!("backend b{server}: runs {} {}", asked.id(), asked.target));
            thread::sleep(ms(WORK_MS));
            if !asked.target.contains("recording") {
                return writer.write_all(ok("{}").as_bytes()).is_ok();
            }
            *lock(&serving) = Some(server);
            let length = PIECES * PIECE_BYTES;
            let mut is_open = writer
                .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes())
                .is_ok();
            for piece in 0..PIECES {
                if is_stopped.load(Ordering::Relaxed) {
                    record.note(format!("backend b{server}: is stopped after {piece} pieces"));
                    let _ = writer.shutdown(Shutdown::Both);
                    return false;
                }
                is_open = is_open && writer.write_all(&[b'r'; PIECE_BYTES]).is_ok();
                thread::sleep(ms(PIECE_MS));
            }
            record.note(format!("backend b{server}: has answered {}: {is_open}", asked.id()));
            is_open
        };
        backends.push(start_backend(server, Arc::new(behaviour))?);
    }
    let mut fleet = Fleet::start(record, Source::Rules(backends), "refuse")?;
    fleet.bound(record)?;
    let id = format!("{:08x}0000000a", run_number());
    let mut client = Client::connect(fleet.p)?;
    client.send(
        format!(
            "GET /lesson-page/recording HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Timeout: 2.000\r\n\r\n"
        )
        .as_bytes(),
    )?;
    record.note(format!("client: begins the download {id}"));
    let learner = {
        let record = record.clone();
        thread::spawn(move || {
            let answer = client.answer(Instant::now() + ms(30_000));
            let ended =
                answer.map(|answer| (answer.status, answer.body.len())).map_err(|error| error.to_string());
            record.note(format!("client: the download ends: {ended:?}"));
            ended
        })
    };
    thread::sleep(ms(1000));
    let server = lock(&serving).ok_or("the download has not begun")?;
    if trouble() {
        fleet.cut(record);
    }
    let cut_at = Instant::now();
    fleet.must(record, &["out", &format!("b{server}"), "--why", "new disk", "--wait"])?;
    let empty_after = cut_at.elapsed().as_millis();
    record
        .note(format!("staff: b{server} is said to be empty, {empty_after} ms after the cut; it is stopped"));
    is_stopped.store(true, Ordering::Relaxed);
    thread::sleep((cut_at + CUT + ms(200)).saturating_duration_since(Instant::now()));
    let ended = learner.join().map_err(|_| "the learner has failed")?;
    fleet.check_running()?;
    record.note(format!("log of p:\n{}", fleet.log_of_p()));
    Ok(match ended {
        Ok((200, length)) if length == PIECES * PIECE_BYTES => Vec::new(),
        ended => vec![format!(
            "b{server} was said to be empty {empty_after} ms after the cut, while it wrote {id}; it was stopped, and the \
             download ended: {ended:?}"
        )],
    })
}
