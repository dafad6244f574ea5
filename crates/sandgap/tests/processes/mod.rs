//! Test harness: fleets of sandgap processes, each with a settings file in one folder, and operator commands on them.
#![allow(dead_code)] // each test file uses only some of these items

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use sandgap_rig::system_faults::FailingFolder;
use socket2::{Domain, Socket, Type};

use crate::sockets::*;

/// A temporary folder, removed when the test ends.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates the folder with the fleet's key file in it.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("sandgap-agreed-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        std::fs::write(path.join("key"), "7c".repeat(32)).expect("a file");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
        let _ = std::fs::remove_dir_all(self.0.with_extension("faults"));
    }
}

/// An address for a listener of a proxy. A socket that does not listen holds it until the test's process ends, as the system
/// gives a free port to any connection.
pub fn free_address() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("a socket");
    socket.set_reuse_port(true).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    let address = socket.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
    std::mem::forget(socket);
    address
}

/// A fleet in which each proxy is a voter.
pub struct Fleet<'a> {
    /// Holds settings, stores, keys and rules.
    pub folder: &'a Path,
    /// The voters' fleet addresses.
    pub addresses: Vec<SocketAddr>,
    /// The backends that published rules name.
    pub backends: Vec<SocketAddr>,
    /// Fault injection for writes to the folder, if the test uses it.
    pub failing: Option<FailingFolder>,
}

impl<'a> Fleet<'a> {
    /// A fleet of `size` voters, none of them started.
    pub fn new(folder: &'a TempFolder, size: usize, backends: &[&Backend]) -> Self {
        Fleet {
            folder: &folder.0,
            addresses: (0..size).map(|_| free_address()).collect(),
            backends: backends.iter().map(|b| b.address).collect(),
            failing: None,
        }
    }

    /// A fleet in which all writes to the folder can be made to fail.
    pub fn with_failing_folder(folder: &'a TempFolder, size: usize, backends: &[&Backend]) -> Self {
        Fleet::with_failing_files(folder, "", size, backends)
    }

    /// A fleet in which writes to those files of the folder whose names begin with `names` can be made to fail.
    pub fn with_failing_files(
        folder: &'a TempFolder, names: &str, size: usize, backends: &[&Backend],
    ) -> Self {
        let beside = folder.0.with_extension("faults");
        let failing =
            FailingFolder::new(&folder.0.join(names), &beside).expect("the fault injection library");
        Fleet { failing: Some(failing), ..Fleet::new(folder, size, backends) }
    }

    /// Starts or ends the failure of writes.
    pub fn set_folder_failing(&self, fails: bool) {
        let failing = self.failing.as_ref().expect("a fleet with a failing folder");
        let switched = if fails { failing.begin() } else { failing.end() };
        switched.expect("a file");
    }

    fn prepare(&self, command: &mut Command) {
        if let Some(failing) = &self.failing {
            failing.load_into(command);
        }
    }

    /// Rules with this number of attempts, as TOML.
    pub fn rules(&self, attempts: u32) -> String {
        let one = |(n, address): (usize, &SocketAddr)| {
            let name = if n == 0 { "b".to_owned() } else { format!("b{n}") };
            format!("[[backend]]\nname = \"{name}\"\naddress = \"{address}\"\ncell = 1\n")
        };
        let backends: String = self.backends.iter().enumerate().map(one).collect();
        format!(
            "{backends}[[class]]\nname = \"page\"\neffect = \"safe\"\n\
             deadline_ms = 5000\n[[class]]\nname = \"submit\"\neffect = \"unsafe\"\ndeadline_ms = 5000\n\
             [limits]\nmax_attempts = {attempts}\n[cold]\nwarm_ms = 500\n"
        )
    }

    /// The settings of proxy `n`: its own part, the voters, then `source`.
    pub fn settings(&self, n: usize, listen: SocketAddr, source: &str) -> String {
        let file = |name: String| self.folder.join(name);
        let mut text = format!(
            "[proxy]\nname = \"v{n}\"\nlisten = \"{listen}\"\nupgrade = {:?}\n[fleet]\nlisten = \"{}\"\nkey = {:?}\n\
             bound_ms = 500\nstore = {:?}\nkeep = {:?}\nheader = \"X-Version\"\n",
            self.folder,
            self.addresses[n],
            file("key".into()),
            file(format!("v{n}.redb")),
            file(format!("v{n}.kept")),
        );
        for (v, address) in self.addresses.iter().enumerate() {
            let _ = write!(text, "[[voter]]\nname = \"v{v}\"\naddress = \"{address}\"\n");
        }
        text + source
    }

    /// Starts proxy `n` with the rules of one attempt; creates its store first if there is none.
    pub fn start(&self, n: usize) -> Proxy {
        self.start_at(n, "127.0.0.1:0".parse().expect("an address"), &self.rules(1))
    }

    /// Starts proxy `n` at a given address and with a given source of rules; creates its store first if there is none.
    pub fn start_at(&self, n: usize, listen: SocketAddr, source: &str) -> Proxy {
        let text = self.settings(n, listen, source);
        std::fs::write(self.folder.join(format!("v{n}.toml")), &text).expect("a file");
        if !self.folder.join(format!("v{n}.redb")).exists() {
            let founded = self.fleet_command(n, &["found"]);
            assert!(founded.status.success(), "{founded:?}");
        }
        Proxy::serve_with(&text, |command| self.prepare(command))
    }

    /// Runs `sandgap fleet` with the settings of proxy `n`, by default with a patience of 25 s.
    pub fn fleet_command(&self, n: usize, words: &[&str]) -> Output {
        let settings = self.folder.join(format!("v{n}.toml"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandgap"));
        command.arg("fleet").args(words).arg("--settings").arg(settings);
        if !words.contains(&"--patience") {
            command.args(["--patience", "25"]);
        }
        self.prepare(&mut command);
        command.output().expect("the program runs")
    }

    /// Runs `sandgap fleet` like [`Fleet::fleet_command`], over links to the voters that delay bytes in each direction.
    pub fn delayed_fleet_command(&self, n: usize, delay: Duration, words: &[&str]) -> Output {
        let settings = std::fs::read_to_string(self.folder.join(format!("v{n}.toml"))).expect("settings");
        let delayed = self.folder.join("delayed.toml");
        std::fs::write(&delayed, settings + &self.delayed_ways(delay)).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandgap"));
        command.arg("fleet").args(words).arg("--settings").arg(delayed);
        command.output().expect("the program runs")
    }

    /// Settings by which a process reaches the voters over links that delay bytes in each direction.
    pub fn delayed_ways(&self, delay: Duration) -> String {
        let relays = self.addresses.iter().map(|to| delaying_relay(*to, delay)).enumerate();
        relays.map(|(v, address)| format!("[[way]]\nto = \"v{v}\"\naddress = \"{address}\"\n")).collect()
    }

    /// Writes rules with this number of attempts to a file and returns its path.
    pub fn rules_file(&self, attempts: u32) -> String {
        let path = self.folder.join(format!("rules-{attempts}.toml"));
        let text = format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{}", self.rules(attempts));
        std::fs::write(&path, text).expect("a file");
        path.to_string_lossy().into_owned()
    }

    /// Publishes rules with this number of attempts; panics if that fails.
    pub fn publish(&self, attempts: u32) {
        let done = self.fleet_command(0, &["publish", &self.rules_file(attempts)]);
        assert!(done.status.success(), "{done:?}");
    }
}

/// Starts a TCP relay to an address that delays bytes in each direction; returns the relay's address.
fn delaying_relay(to: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            for (from, into) in [(&near, &far), (&far, &near)] {
                let (from, into) = (from.try_clone().expect("a socket"), into.try_clone().expect("a socket"));
                std::thread::spawn(move || forward_delayed(from, into, delay));
            }
        }
    });
    address
}

fn forward_delayed(mut from: TcpStream, mut into: TcpStream, delay: Duration) {
    let mut buffer = [0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        std::thread::sleep(delay);
        if into.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = into.shutdown(Shutdown::Both);
}

/// What a command wrote to stdout, then to stderr.
pub fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Sends a request of a class to a proxy and returns the answer.
pub fn send_request(proxy: &Proxy, class: &str, id: &str) -> Message {
    let method = if class == "page" { "GET" } else { "POST" };
    let text = format!(
        "{method} /{class}/x HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Timeout: 5\r\nContent-Length: 0\r\n\r\n"
    );
    Client::new(proxy).request(&text).expect("an answer")
}
