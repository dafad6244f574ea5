//! The processes of a fleet: their settings files, starts and signals, and the program's `fleet` commands.

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

/// The classes of requests: safe, keyed and unsafe, in this order.
pub const CLASSES: [&str; 3] = ["page", "book", "submit"];
/// The deadline of every class and the longest wait of a client.
pub const DEADLINE: Duration = Duration::from_secs(1);
/// The header in which a proxy tells a backend its rules version.
pub const VERSION_HEADER: &str = "X-Rules-Version";

/// The files and processes of a fleet.
pub struct Site {
    program: PathBuf,
    folder: PathBuf,
    size: Size,
    /// By proxy, the address for clients.
    pub listen: Vec<SocketAddr>,
    /// By proxy, the address for other proxies.
    pub fleet: Vec<SocketAddr>,
    backends: Vec<SocketAddr>,
    children: RefCell<Vec<Option<Child>>>,
}

impl Site {
    /// A fleet with its files in a folder; starts no process.
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

    /// The settings of a proxy. The number after the last proxy's gives the settings of the `fleet` commands, which
    /// connect to every proxy directly instead of through relays.
    fn settings(&self, n: usize, net: &Net) -> String {
        let is_cli = n == self.listen.len();
        let (name, listen, fleet) = match is_cli {
            true => ("hand".to_owned(), "127.0.0.1:1".to_owned(), "127.0.0.1:1".to_owned()),
            false => (format!("p{n}"), self.listen[n].to_string(), self.fleet[n].to_string()),
        };
        let key = self.path("key");
        let (store, keep) = (self.path(&format!("{name}.redb")), self.path(&format!("{name}.kept")));
        let mut text = format!(
            "[proxy]\nname = {name:?}\nlisten = {listen:?}\n[fleet]\nlisten = {fleet:?}\nkey = {key:?}\n\
             bound_ms = {}\nstore = {store:?}\nkeep = {keep:?}\nheader = {VERSION_HEADER:?}\n",
            self.size
                .told
                .filter(|_| n >= self.size.voters && !is_cli)
                .unwrap_or(self.size.bound)
                .as_millis()
        );
        for v in 0..self.size.voters {
            let _ = write!(text, "[[voter]]\nname = \"p{v}\"\naddress = \"{}\"\n", self.fleet[v]);
        }
        for to in (0..self.listen.len()).filter(|to| !is_cli && *to != n) {
            if let Some(address) = net.address(n, to) {
                let _ = write!(text, "[[way]]\nto = \"p{to}\"\naddress = \"{address}\"\n");
            }
        }
        text + &self.rules(1)
    }

    /// The rules of a publication; publications contradict each other by their `max_attempts`.
    fn rules(&self, attempts: u64) -> String {
        // Each class is refused without a lease, so that every request is checked against the bound T.
        self.rules_with(attempts, "on_lapse = \"refuse\"\n")
    }

    /// The same rules with more lines in each class.
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

    /// Writes all files and creates the voters' stores with `fleet found`.
    ///
    /// # Errors
    /// An I/O error, or the program's error message.
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
                return Err(std::io::Error::other(format!("`fleet found` failed for p{v}: {text}")));
            }
        }
        Ok(())
    }

    /// Rewrites a proxy's settings without a fleet.
    ///
    /// # Errors
    /// An I/O error.
    pub fn without_fleet(&self, n: usize) -> std::io::Result<()> {
        let own = format!("[proxy]\nname = \"p{n}\"\nlisten = \"{}\"\n", self.listen[n]);
        std::fs::write(self.path(&format!("p{n}.toml")), own + &self.rules_with(2, ""))
    }

    /// Processor time that a proxy's process has used so far, µs.
    pub fn cpu_us(&self, n: usize) -> f64 {
        let children = self.children.borrow();
        children[n].as_ref().map_or(0.0, cpu_ns) / 1e3
    }

    /// The resource usage of a proxy's process since its start; zeros if it was not started.
    pub fn usage(&self, n: usize) -> Usage {
        let children = self.children.borrow();
        children[n].as_ref().map_or_else(Usage::default, |child| process::usage(child.id()))
    }

    /// Starts a proxy.
    ///
    /// # Errors
    /// An I/O error.
    pub fn start(&self, n: usize) -> std::io::Result<()> {
        self.start_program(&self.program, n)
    }

    /// Starts a proxy with another build of the program.
    ///
    /// # Errors
    /// An I/O error.
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
            let _ = kill_process(pid, signal); // it may have exited already
        }
    }

    /// Kills a proxy's process and waits for its exit.
    pub fn kill(&self, n: usize) {
        if let Some(mut child) = self.children.borrow_mut()[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Removes the files that a proxy has stored.
    pub fn lose_disk(&self, n: usize) {
        let _ = std::fs::remove_file(self.path(&format!("p{n}.redb")));
        let _ = std::fs::remove_file(self.path(&format!("p{n}.kept")));
    }

    /// A `fleet` command of the program with these arguments.
    pub fn cli(&self, arguments: &[&str]) -> tokio::process::Command {
        let mut command = tokio::process::Command::new(&self.program);
        command.arg("fleet").args(arguments).arg("--settings").arg(self.path("hand.toml"));
        command.stdin(Stdio::null()).kill_on_drop(true);
        command
    }

    /// Writes the rules of a publication to a file and returns its path.
    ///
    /// # Errors
    /// An I/O error.
    pub fn write_publication(&self, attempts: u64) -> std::io::Result<PathBuf> {
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
