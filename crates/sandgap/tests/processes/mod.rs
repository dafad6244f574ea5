//! Fleets of the program's own processes, each with a settings file in one folder, and staff's calls.
#![allow(dead_code)] // each test file uses its own part

use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use sandgap_rig::system_faults::FailingFolder;

use crate::sockets::*;

/// A folder that goes with the test.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("sandgap-agreed-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        std::fs::write(path.join("key"), "7c".repeat(32)).expect("a file");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
        let _ = std::fs::remove_dir_all(self.0.with_extension("faults"));
    }
}

pub fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// A fleet of which each proxy votes.
pub struct Fleet<'a> {
    pub folder: &'a Path,
    pub addresses: Vec<SocketAddr>,
    /// The rules of a publication, all but the number of attempts.
    pub backends: Vec<SocketAddr>,
    /// The folder of stores, where it fails for a while.
    pub failing: Option<FailingFolder>,
}

impl<'a> Fleet<'a> {
    pub fn new(folder: &'a Folder, size: usize, backends: &[&Backend]) -> Self {
        Fleet {
            folder: &folder.0,
            addresses: (0..size).map(|_| free()).collect(),
            backends: backends.iter().map(|b| b.address).collect(),
            failing: None,
        }
    }

    /// The same, whose processes can be made to find that nothing can be written to the folder.
    pub fn whose_folder_fails(folder: &'a Folder, size: usize, backends: &[&Backend]) -> Self {
        Fleet::where_writes_fail(folder, "", size, backends)
    }

    /// The same, for those files of the folder whose names begin so.
    pub fn where_writes_fail(folder: &'a Folder, names: &str, size: usize, backends: &[&Backend]) -> Self {
        let beside = folder.0.with_extension("faults");
        let failing = FailingFolder::new(&folder.0.join(names), &beside).expect("the library of faults");
        Fleet { failing: Some(failing), ..Fleet::new(folder, size, backends) }
    }

    /// Has the folder fail from now on, or no longer.
    pub fn fail_folder(&self, fails: bool) {
        let failing = self.failing.as_ref().expect("a folder that fails");
        let switched = if fails { failing.begin() } else { failing.end() };
        switched.expect("a file");
    }

    fn prepare(&self, command: &mut Command) {
        if let Some(failing) = &self.failing {
            failing.load_into(command);
        }
    }

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

    /// Starts a proxy; founds its store if there is none.
    pub fn start(&self, n: usize) -> Proxy {
        self.start_at(n, "127.0.0.1:0".parse().expect("an address"), &self.rules(1))
    }

    pub fn start_at(&self, n: usize, listen: SocketAddr, source: &str) -> Proxy {
        let text = self.settings(n, listen, source);
        std::fs::write(self.folder.join(format!("v{n}.toml")), &text).expect("a file");
        if !self.folder.join(format!("v{n}.redb")).exists() {
            let founded = self.call(n, &["found"]);
            assert!(founded.status.success(), "{founded:?}");
        }
        Proxy::serve_prepared(&text, |command| self.prepare(command))
    }

    /// A call by hand with the settings of a proxy.
    pub fn call(&self, n: usize, words: &[&str]) -> Output {
        let settings = self.folder.join(format!("v{n}.toml"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandgap"));
        command.arg("fleet").args(words).arg("--settings").arg(settings);
        if !words.contains(&"--patience") {
            command.args(["--patience", "25"]);
        }
        self.prepare(&mut command);
        command.output().expect("the program runs")
    }

    pub fn publication(&self, attempts: u32) -> String {
        let path = self.folder.join(format!("rules-{attempts}.toml"));
        let text = format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{}", self.rules(attempts));
        std::fs::write(&path, text).expect("a file");
        path.to_string_lossy().into_owned()
    }

    pub fn publish(&self, attempts: u32) {
        let done = self.call(0, &["publish", &self.publication(attempts)]);
        assert!(done.status.success(), "{done:?}");
    }
}

pub fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

pub fn ask(proxy: &Proxy, class: &str, id: &str) -> Message {
    let method = if class == "page" { "GET" } else { "POST" };
    let text = format!(
        "{method} /{class}/x HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Timeout: 5\r\nContent-Length: 0\r\n\r\n"
    );
    Client::new(proxy).ask(&text).expect("an answer")
}
