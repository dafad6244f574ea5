//! A fleet of proxies that agree on their rules: three voters, and a proxy `p` that can be cut off from them.

use std::fs;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    Error, Record, Running, forget_process, forward, free_address, lock, ms, note_process, root,
};

/// How long the proxy is cut off from the others.
pub const CUT: Duration = Duration::from_secs(6);
const VOTERS: usize = 3;
/// The proxy p stands in another data centre than the voters.
const ONE_WAY: Duration = Duration::from_millis(5);

/// A way between two proxies that can be cut: open connections stay open and silent, new ones get no answer.
#[derive(Clone)]
struct Way {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Way {
    fn to(target: SocketAddr, is_cut: Arc<AtomicBool>) -> Result<Way, Error> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let way = Way { address: listener.local_addr()?, is_cut, open: Arc::default() };
        let serving = way.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                serving.keep(&near);
                if serving.is_cut.load(Ordering::Relaxed) {
                    continue;
                }
                let Ok(far) = TcpStream::connect(target) else { continue };
                serving.keep(&far);
                forward(&near, &far, ONE_WAY, serving.is_cut.clone());
                forward(&far, &near, ONE_WAY, serving.is_cut.clone());
            }
        });
        Ok(way)
    }

    fn keep(&self, stream: &TcpStream) {
        lock(&self.open).extend(stream.try_clone());
    }

    /// Ends all connections, as what was cut off is back.
    fn reset(&self) {
        lock(&self.open).drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }
}

/// Where the rules take the backends from.
pub enum Source {
    /// The rules name them: `b0` and so on.
    Rules(Vec<SocketAddr>),
    /// A service at this address lists them.
    Discovery(SocketAddr),
}

/// The fleet, its files and addresses.
pub struct Fleet {
    folder: PathBuf,
    voters: Vec<SocketAddr>,
    source: Source,
    /// Where clients reach the proxy that can be cut off.
    pub p: SocketAddr,
    is_cut: Arc<AtomicBool>,
    ways: Vec<Way>,
    proxies: Vec<Running>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.proxies.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts the proxies. Safe requests are served or refused without a lease (`on_lapse`).
    pub fn start(record: &Record, source: Source, on_lapse: &str) -> Result<Fleet, Error> {
        let folder = std::env::temp_dir().join(format!("review-2-{}-fleet", std::process::id()));
        fs::create_dir_all(&folder)?;
        fs::write(folder.join("key"), "7c".repeat(32))?;
        let voters = (0..VOTERS).map(|_| free_address()).collect::<Result<Vec<_>, _>>()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let (ways, proxies) = (Vec::new(), Vec::new());
        let mut fleet = Fleet { folder, voters, source, p: free_address()?, is_cut, ways, proxies };
        // The ways between the proxy p and the others, in both directions.
        let p_fleet = free_address()?;
        let to_p = Way::to(p_fleet, fleet.is_cut.clone())?;
        let way_to_p = format!("[[way]]\nto = \"p\"\naddress = \"{}\"\n", to_p.address);
        fleet.ways.push(to_p);
        let mut ways_of_p = String::new();
        for (number, address) in fleet.voters.iter().enumerate() {
            let way = Way::to(*address, fleet.is_cut.clone())?;
            ways_of_p += &format!("[[way]]\nto = \"v{number}\"\naddress = \"{}\"\n", way.address);
            fleet.ways.push(way);
        }
        for number in 0..VOTERS {
            let name = format!("v{number}");
            let path = fleet.settings(&name, free_address()?, fleet.voters[number], &way_to_p)?;
            let founded = fleet.call_with(&path, &["found"])?;
            if !founded.status.success() {
                return Err(String::from_utf8_lossy(&founded.stderr).into_owned().into());
            }
            let log = fleet.folder.join(format!("{name}.log"));
            fleet.proxies.push(Running::start(&path, &log)?);
        }
        let path = fleet.settings("p", fleet.p, p_fleet, &ways_of_p)?;
        fleet.proxies.push(Running::start(&path, &fleet.folder.join("p.log"))?);
        fleet.publish(record, on_lapse)?;
        Ok(fleet)
    }

    /// From now on one backend may be out at once, under a permit.
    pub fn bound(&self, record: &Record) -> Result<(), Error> {
        self.must(record, &["budget", "--set", "backend:fleet:1"])?;
        self.wait_until_healthy()
    }

    /// A planned restart of p: SIGTERM, its end, and a start under its name and addresses.
    pub fn restart_p(&mut self, record: &Record) -> Result<(), Error> {
        let p = self.proxies.last_mut().ok_or("there is no proxy")?;
        p.end(ms(3700))?;
        record.note("platform: p has ended after SIGTERM");
        let (settings, log) = (self.folder.join("p.toml"), self.folder.join("p-again.log"));
        *p = Running::start(&settings, &log)?;
        record.note("platform: p is started again");
        Ok(())
    }

    /// Publishes the rules; see [`Fleet::start`].
    pub fn publish(&self, record: &Record, on_lapse: &str) -> Result<(), Error> {
        let path = self.folder.join(format!("{on_lapse}.toml"));
        fs::write(&path, format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{}", self.rules(on_lapse)))?;
        self.must(record, &["publish", &path.to_string_lossy()])
    }

    /// Cuts p off from the other proxies for [`CUT`].
    pub fn cut(&self, record: &Record) {
        let (is_cut, ways, record) = (self.is_cut.clone(), self.ways.clone(), record.clone());
        is_cut.store(true, Ordering::Relaxed);
        record.note("network: p is cut off from the other proxies");
        thread::spawn(move || {
            thread::sleep(CUT);
            is_cut.store(false, Ordering::Relaxed);
            ways.iter().for_each(Way::reset);
            record.note("network: p is back");
        });
    }

    /// Checks that no proxy has ended by itself, which the case isn't about.
    pub fn check_running(&mut self) -> Result<(), Error> {
        match self.proxies.iter_mut().any(Running::has_ended) {
            true => Err("a proxy has ended".into()),
            false => Ok(()),
        }
    }

    pub fn log_of_p(&self) -> String {
        let log = |name| fs::read_to_string(self.folder.join(name)).unwrap_or_default();
        log("p.log") + &log("p-again.log")
    }

    /// Rules in which the class of safe requests is served or refused without a lease.
    fn rules(&self, on_lapse: &str) -> String {
        let backends: String = match &self.source {
            Source::Discovery(address) => format!("[discovery]\naddress = \"{address}\"\n"),
            Source::Rules(all) => {
                let entry = |(number, address)| {
                    format!(
                        "[[backend]]\nname = \"b{number}\"\naddress = \"{address}\"\ncell = 1\nshare = 7\n"
                    )
                };
                all.iter().enumerate().map(entry).collect()
            }
        };
        format!(
            "{backends}[[class]]\nname = \"lesson-page\"\neffect = \"safe\"\naim_ms = 810\ndeadline_ms = 2000\n\
             on_lapse = \"{on_lapse}\"\n[[class]]\nname = \"answer-submit\"\neffect = \"unsafe\"\ndeadline_ms = 2000\n\
             [limits]\nmax_attempts = 6\n[cold]\nwarm_ms = 500\n"
        )
    }

    /// Writes the settings of a proxy.
    fn settings(
        &self, name: &str, listen: SocketAddr, fleet: SocketAddr, more: &str,
    ) -> Result<PathBuf, Error> {
        let file = |name: String| self.folder.join(name);
        let mut text = format!(
            "[proxy]\nname = \"{name}\"\nlisten = \"{listen}\"\n[fleet]\nlisten = \"{fleet}\"\nkey = {:?}\n",
            file("key".into())
        );
        if name.starts_with('v') {
            text += &format!("store = {:?}\n", file(format!("{name}.redb")));
        }
        for (number, address) in self.voters.iter().enumerate() {
            text += &format!("[[voter]]\nname = \"v{number}\"\naddress = \"{address}\"\n");
        }
        let path = file(format!("{name}.toml"));
        fs::write(&path, text + &self.rules("serve") + more)?;
        Ok(path)
    }

    /// Staff's call `sandgap fleet`.
    fn call(&self, words: &[&str]) -> Result<Output, Error> {
        self.call_with(&self.folder.join("v0.toml"), words)
    }

    fn call_with(&self, settings: &Path, words: &[&str]) -> Result<Output, Error> {
        let mut command = Command::new(root().join("target/release/sandgap"));
        command.arg("fleet").args(words).arg("--settings").arg(settings).args(["--patience", "25"]);
        let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        let id = child.id();
        note_process(id)?;
        let output = child.wait_with_output();
        forget_process(id);
        Ok(output?)
    }

    /// A call that has to succeed.
    pub fn must(&self, record: &Record, words: &[&str]) -> Result<(), Error> {
        let output = self.call(words)?;
        let said =
            String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
        let code = output.status.code();
        record.note(format!(
            "staff: fleet {}: exit {code:?}: {}",
            words[..words.len().min(2)].join(" "),
            said.trim()
        ));
        if output.status.success() { Ok(()) } else { Err(format!("fleet {words:?}: {said}").into()) }
    }

    /// Waits until the fleet has seen all backends healthy, which a permit needs.
    fn wait_until_healthy(&self) -> Result<(), Error> {
        let until = Instant::now() + ms(20_000);
        while Instant::now() < until {
            let output = self.call(&["outs", "--json"])?;
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            let compact: String = text.chars().filter(|c| !c.is_whitespace()).collect();
            if compact.matches("\"lost\":false").count() >= 3 + VOTERS + 1
                && !compact.contains("\"lost\":true")
            {
                return Ok(());
            }
            thread::sleep(ms(200));
        }
        Err("the backends are not seen healthy".into())
    }
}
