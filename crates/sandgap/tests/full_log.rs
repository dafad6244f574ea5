//! A log that nobody reads: it is left out, and holds up nothing.
mod sockets;

use std::io::Write;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use sockets::*;

/// Processes that share nothing but their faults.
const PROXIES: usize = 4;
/// Bytes that the system keeps for a pipe's reader, by pipe(7).
const PIPE: usize = 65_536;

#[test]
fn a_log_that_nobody_reads_holds_up_no_request_and_no_end() {
    for _ in 0..PROXIES {
        let backends = quick_and_slower();
        let discovery = Discovery::new();
        discovery.say(&all_up(&[&backends[0], &backends[1]]));
        let (listen, _held) = held_address();
        let file =
            config_file(&config(discovery.address, &Setup { listen: Some(listen), ..Setup::default() }));
        let (_reader, mut writer) = std::io::pipe().expect("a pipe");
        writer.write_all(&vec![b'\n'; PIPE]).expect("a pipe that takes as much as it holds");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sandgap"))
            .env("NODE_CONFIG", &file)
            .env_remove("TMPDIR")
            .stderr(Stdio::from(writer))
            .spawn()
            .expect("the proxy starts");
        let asked = |id: &str| {
            let stream = std::net::TcpStream::connect(listen).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
            Client::on(stream).ask(&page(id))
        };
        let mut n = 0;
        let mut answered = || {
            n += 1;
            asked(&format!("full-{n}")).is_some_and(|m| m.status() == 200)
        };
        let end = Instant::now() + Duration::from_secs(5);
        while !answered() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
        let serves = (0..50).all(|_| answered());
        let pid = child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs").success());
        let end = Instant::now() + Duration::from_secs(10);
        let mut ended = false;
        while !ended && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
            ended = child.try_wait().expect("a child").is_some();
        }
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(file);
        assert!(serves, "requests are answered");
        assert!(ended, "SIGTERM ends it");
    }
}
