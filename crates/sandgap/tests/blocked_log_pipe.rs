//! A log pipe that nobody reads: log lines are dropped, and nothing blocks.
mod sockets;

use std::io::Write;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use sockets::*;

/// Number of independent processes tested.
const PROXIES: usize = 4;
/// Capacity of a pipe in bytes, by pipe(7).
const PIPE_CAPACITY: usize = 65_536;

#[test]
fn a_full_log_pipe_blocks_neither_requests_nor_shutdown() {
    for _ in 0..PROXIES {
        let backends = fast_and_slow_backends();
        let discovery = Discovery::new();
        discovery.publish(&list_all_up(&[&backends[0], &backends[1]]));
        let (listen, _held) = held_address();
        let file =
            config_file(&config(discovery.address, &Setup { listen: Some(listen), ..Setup::default() }));
        let (_reader, mut writer) = std::io::pipe().expect("a pipe");
        writer.write_all(&vec![b'\n'; PIPE_CAPACITY]).expect("a pipe with room for its capacity");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sandgap"))
            .env("NODE_CONFIG", &file)
            .env_remove("TMPDIR")
            .stderr(Stdio::from(writer))
            .spawn()
            .expect("the proxy starts");
        let answer = |id: &str| {
            let stream = std::net::TcpStream::connect(listen).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
            Client::from_stream(stream).request(&page(id))
        };
        let mut n = 0;
        let mut answered = || {
            n += 1;
            answer(&format!("full-{n}")).is_some_and(|m| m.status() == 200)
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
        assert!(ended, "SIGTERM ends the process");
    }
}
