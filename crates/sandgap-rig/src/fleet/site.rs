//! The processes of a fleet: settings files, starts, signals, and the program's own calls by hand.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use super::net::Net;
use super::plan::Size;
use crate::process::{self, Usage};
use crate::proxy::cpu_ns;

/// Classes of the fleet: safe, keyed and unsafe.
pub const CLASSES: [&str; 3] = ["page", "book", "submit"];
/// The longest wait of a client.
pub const DEADLINE: Duration = Duration::from_secs(1);
/// The header that tells a backend the version.
pub const HEADER: &str = "X-Rules-Version";

/// Files and processes.
pub struct Site {
    program: PathBuf,
    folder: PathBuf,
    size: Size,
    /// Where clients connect.
    pub listen: Vec<SocketAddr>,
    /// Where proxies reach each other.
    pub fleet: Vec<SocketAddr>,
    backends: Vec<SocketAddr>,
    children: RefCell<Vec<Option<Child>>>,
}

impl Site {
    /// A site in a folder; no process runs yet.
    pub fn new(
        program: &Path, folder: &Path, size: Size, listen: Vec<SocketAddr>, fleet: Vec<SocketAddr>,
        backends: Vec<SocketAddr>,
    ) -> Self {
        let children = RefCell::new((0..listen.len()).map(|_| None).collect());
        Site { program: program.into(), folder: folder.into(), size, listen, fleet, backends, children }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Settings of a proxy; the last number is the hand's, which dials everybody directly.
    fn settings(&self, n: usize, net: &Net) -> String {
        let hand = n == self.listen.len();
        let (name, listen, fleet) = match hand {
            true => ("hand".to_owned(), "127.0.0.1:1".to_owned(), "127.0.0.1:1".to_owned()),
            false => (format!("p{n}"), self.listen[n].to_string(), self.fleet[n].to_string()),
        };
        let key = self.path("key");
        let (store, keep) = (self.path(&format!("{name}.redb")), self.path(&format!("{name}.kept")));
        let mut text = format!(
            "[proxy]\nname = {name:?}\nlisten = {listen:?}\n[fleet]\nlisten = {fleet:?}\nkey = {key:?}\n\
             bound_ms = {}\nstore = {store:?}\nkeep = {keep:?}\nheader = {HEADER:?}\n",
            self.size.told.filter(|_| n >= self.size.voters && !hand).unwrap_or(self.size.bound).as_millis()
        );
        for v in 0..self.size.voters {
            let _ = write!(text, "[[voter]]\nname = \"p{v}\"\naddress = \"{}\"\n", self.fleet[v]);
        }
        for to in (0..self.listen.len()).filter(|to| !hand && *to != n) {
            if let Some(address) = net.address(n, to) {
                let _ = write!(text, "[[way]]\nto = \"p{to}\"\naddress = \"{address}\"\n");
            }
        }
        text + &self.rules(1)
    }

    /// The rules of a publication: each contradicts every other one by its number of attempts.
    fn rules(&self, attempts: u64) -> String {
        // Each class is refused without a lease, so that every request is held against T.
        self.rules_with(attempts, "on_lapse = \"refuse\"\n")
    }

    /// These rules with more lines in each class.
    fn rules_with(&self, attempts: u64, more: &str) -> String {
        let mut text = String::new();
        for (b, address) in self.backends.iter().enumerate() {
            let _ =
                write!(text, "[[backend]]\nname = \"b{b}\"\naddress = \"{address}\"\ncell = 1\nshare = 8\n");
        }
        for class in CLASSES {
            let effect = match class {
                "page" => "safe",
                "book" => "keyed\"\nwindow_ms = 2500\ngroup = \"cell",
                _ => "unsafe",
            };
            let _ = write!(
                text,
                "[[class]]\nname = {class:?}\neffect = \"{effect}\"\ndeadline_ms = {}\n{more}",
                DEADLINE.as_millis()
            );
        }
        let _ = write!(text, "[limits]\nmax_attempts = {attempts}\n[cold]\nwarm_ms = 200\n");
        text
    }

    /// Writes all files and founds the voters' stores.
    ///
    /// # Errors
    /// The system's, or what the program says.
    pub fn prepare(&self, net: &Net) -> std::io::Result<()> {
        std::fs::write(self.path("key"), "5a".repeat(32))?;
        for n in 0..=self.listen.len() {
            let name = if n == self.listen.len() { "hand".into() } else { format!("p{n}") };
            std::fs::write(self.path(&format!("{name}.toml")), self.settings(n, net))?;
        }
        for v in 0..self.size.voters {
            let output = Command::new(&self.program)
                .args(["fleet", "found", "--settings"])
                .arg(self.path(&format!("p{v}.toml")))
                .output()?;
            if !output.status.success() {
                let text = String::from_utf8_lossy(&output.stderr).into_owned();
                return Err(std::io::Error::other(format!("p{v} can't be founded: {text}")));
            }
        }
        Ok(())
    }

    /// Takes the fleet out of a proxy's settings.
    ///
    /// # Errors
    /// The system's.
    pub fn without_fleet(&self, n: usize) -> std::io::Result<()> {
        let own = format!("[proxy]\nname = \"p{n}\"\nlisten = \"{}\"\n", self.listen[n]);
        std::fs::write(self.path(&format!("p{n}.toml")), own + &self.rules_with(2, ""))
    }

    /// Processor time that a proxy has used so far, µs.
    pub fn cpu_us(&self, n: usize) -> f64 {
        let children = self.children.borrow();
        children[n].as_ref().map_or(0.0, cpu_ns) / 1e3
    }

    /// What a proxy's process has used since its start.
    pub fn usage(&self, n: usize) -> Usage {
        let children = self.children.borrow();
        children[n].as_ref().map_or_else(Usage::default, |child| process::usage(child.id()))
    }

    /// Starts a proxy.
    ///
    /// # Errors
    /// The system's.
    pub fn start(&self, n: usize) -> std::io::Result<()> {
        self.start_program(&self.program, n)
    }

    /// Starts a proxy of another build.
    ///
    /// # Errors
    /// The system's.
    pub fn start_program(&self, program: &Path, n: usize) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(self.path(&format!("p{n}.log")))?;
        let child = Command::new(program)
            .arg("serve")
            .arg(self.path(&format!("p{n}.toml")))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.children.borrow_mut()[n] = Some(child);
        Ok(())
    }

    /// Whether a proxy's process runs.
    pub fn runs(&self, n: usize) -> bool {
        self.children.borrow_mut()[n].as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Sends a signal to a proxy.
    pub fn signal(&self, n: usize, signal: Signal) {
        let pid = self.children.borrow()[n].as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal); // it may just have ended
        }
    }

    /// Kills a proxy.
    pub fn kill(&self, n: usize) {
        if let Some(mut child) = self.children.borrow_mut()[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Takes a proxy's disk away.
    pub fn lose_disk(&self, n: usize) {
        let _ = std::fs::remove_file(self.path(&format!("p{n}.redb")));
        let _ = std::fs::remove_file(self.path(&format!("p{n}.kept")));
    }

    /// A call by hand.
    pub fn hand(&self, words: &[&str]) -> tokio::process::Command {
        let mut command = tokio::process::Command::new(&self.program);
        command.arg("fleet").args(words).arg("--settings").arg(self.path("hand.toml"));
        command.stdin(Stdio::null()).kill_on_drop(true);
        command
    }

    /// Writes the rules of a publication; returns where.
    ///
    /// # Errors
    /// The system's.
    pub fn publication(&self, attempts: u64) -> std::io::Result<PathBuf> {
        let path = self.path(&format!("rules-{attempts}.toml"));
        std::fs::write(&path, format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{}", self.rules(attempts)))?;
        Ok(path)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        (0..self.listen.len()).for_each(|n| self.kill(n));
    }
}
