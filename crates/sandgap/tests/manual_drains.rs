//! Backends from discovery that staff drain by hand, `sandgap fleet drain`: the drain holds at each proxy whichever came
//! first, the list or the rules, until it is taken back (issue 85).

mod processes;
mod sockets;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use processes::*;
use sockets::*;

/// Requests sent to see which backends are used.
const REQUESTS: usize = 30;
/// Number of voters.
const VOTERS: usize = 3;
/// The proxy that is observed, which is no voter.
const OBSERVED: usize = VOTERS;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// A fleet of voters and an observed proxy, whose backends `b` and `b1` come from discovery.
struct Drained<'a> {
    fleet: Fleet<'a>,
    discovery: Discovery,
    backends: [Backend; 2],
    _voters: Vec<Proxy>,
}

impl<'a> Drained<'a> {
    fn new(folder: &'a TempFolder) -> Self {
        let backends = std::array::from_fn(|_| Backend::new(Action::Write(ok("served"))));
        let discovery = Discovery::new();
        let mut fleet = Fleet::new(folder, VOTERS, &[&backends[0], &backends[1]]);
        let source = discovery_source(&fleet, &discovery);
        let voters = (0..VOTERS).map(|n| fleet.start_at(n, any_port(), &source)).collect();
        fleet.addresses.push(free_address());
        let drained = Drained { fleet, discovery, backends, _voters: voters };
        drained.discovery.publish(&drained.list(1, ["up", "up"]));
        let rules = folder.0.join("rules.toml");
        std::fs::write(&rules, format!("[proxy]\nlisten = \"127.0.0.1:1\"\n{source}")).expect("a file");
        drained.command(&["publish", &rules.to_string_lossy()]);
        drained
    }

    /// A whole list with the states of `b` and `b1`.
    fn list(&self, seq: u64, states: [&str; 2]) -> String {
        let hosts = [("b", 0), ("b1", 1)].map(|(name, n)| host(name, self.backends[n].address, states[n], 0));
        list(seq, true, &hosts)
    }

    fn start(&self) -> Proxy {
        self.start_on(any_port())
    }

    fn start_on(&self, listen: SocketAddr) -> Proxy {
        self.start_with(listen, &discovery_source(&self.fleet, &self.discovery))
    }

    fn start_with(&self, listen: SocketAddr, source: &str) -> Proxy {
        let settings = self.fleet.settings(OBSERVED, listen, source);
        let address = self.fleet.addresses[OBSERVED];
        let voter = format!("[[voter]]\nname = \"v{OBSERVED}\"\naddress = \"{address}\"\n");
        assert!(settings.contains(&voter));
        Proxy::serve(&settings.replace(&voter, ""))
    }

    /// Starts the observed proxy without kept rules, with links to the voters that delay what it is told by them.
    fn start_with_late_rules(&self, delay: Duration) -> Proxy {
        let _ = std::fs::remove_file(self.kept_rules()); // there may be none
        let source = discovery_source(&self.fleet, &self.discovery);
        let ways = self.fleet.delayed_ways(delay);
        self.start_with(any_port(), &format!("{ways}{source}"))
    }

    /// The file in which the observed proxy keeps the rules for its next start.
    fn kept_rules(&self) -> PathBuf {
        self.fleet.folder.join(format!("v{OBSERVED}.kept"))
    }

    fn command(&self, words: &[&str]) {
        let done = self.fleet.fleet_command(0, words);
        assert!(done.status.success(), "{done:?}");
    }

    /// Runs a command and waits until every live proxy acts on the version that it makes.
    fn command_in_force(&self, words: &[&str], version: u64) {
        self.command(words);
        self.command(&["wait", &version.to_string()]);
    }

    /// Sends requests through a proxy and returns how many each backend got of them.
    fn used(&self, proxy: &Proxy, play: &str) -> [usize; 2] {
        wait_for("a lease", || send_request(proxy, "submit", &format!("{play}-lease")).status() == 200);
        for n in 0..REQUESTS {
            assert_eq!(send_request(proxy, "submit", &format!("{play}-{n}-")).status(), 200, "request {n}");
        }
        let counted = |backend: &Backend| {
            let of_play = |m: &&Message| m.id().starts_with(play) && !m.id().ends_with("-lease");
            backend.requests().iter().filter(of_play).count()
        };
        [counted(&self.backends[0]), counted(&self.backends[1])]
    }

    /// Checks that a proxy sends nothing to `b`, and everything to `b1`.
    fn assert_drained(&self, proxy: &Proxy, play: &str) {
        assert_eq!(self.used(proxy, play), [0, REQUESTS], "{play}");
    }

    /// Takes the drain of `b` back and drains `b1` instead, as `version` and the next one. Checks that a proxy sends
    /// everything to `b`.
    fn assert_in_use_once_undrained(&self, proxy: &Proxy, version: u64) {
        self.command(&["undrain", "b"]);
        self.command_in_force(&["drain", "b1"], version + 1);
        assert_eq!(self.used(proxy, "undrained"), [REQUESTS, 0]);
    }
}

/// The rules' classes and limits, with backends from discovery.
fn discovery_source(fleet: &Fleet, discovery: &Discovery) -> String {
    let rules = fleet.rules(1);
    let (_, classes) = rules.split_once("[[class]]").expect("classes");
    format!("[discovery]\naddress = \"{}\"\n[[class]]{classes}", discovery.address)
}

/// Guards against a drain that does nothing on a proxy that has had one list since its start, with no restart at all.
#[test]
fn a_drain_holds_on_a_proxy_that_has_had_one_list() {
    let folder = TempFolder::new("drain-one-list");
    let fleet = Drained::new(&folder);
    let proxy = fleet.start_with_late_rules(Duration::from_millis(60));
    fleet.used(&proxy, "before");
    fleet.command_in_force(&["drain", "b"], 2);
    fleet.assert_drained(&proxy, "drained");
    fleet.assert_in_use_once_undrained(&proxy, 3);
}

/// Guards against a drain that a planned restart or a kill loses, where the list comes before the rules (review case 10).
#[test]
fn a_drain_holds_after_a_restart_and_after_a_kill() {
    let folder = TempFolder::new("drain-restart");
    let fleet = Drained::new(&folder);
    let mut proxy = fleet.start();
    fleet.used(&proxy, "before");
    fleet.command_in_force(&["drain", "b"], 2);
    proxy.terminate();
    proxy.wait();
    let restarted = fleet.start_with_late_rules(Duration::from_millis(5));
    fleet.assert_drained(&restarted, "restarted");
    restarted.signal("-KILL");
    drop(restarted);
    let killed = fleet.start_with_late_rules(Duration::from_millis(5));
    fleet.assert_drained(&killed, "killed");
    fleet.assert_in_use_once_undrained(&killed, 3);
}

/// Guards against a drain that is lost at an upgrade, in which the newer process first asks as a guest.
#[test]
fn a_drain_holds_through_an_upgrade() {
    let folder = TempFolder::new("drain-upgrade");
    let fleet = Drained::new(&folder);
    let listen = free_address();
    let mut old = fleet.start_on(listen);
    fleet.used(&old, "before");
    fleet.command_in_force(&["drain", "b"], 2);
    let new = fleet.start_on(listen);
    wait_for("the guest's lease", || new.log_contains("as a guest") && new.log_contains("in force"));
    fleet.assert_drained(&new, "beside");
    old.terminate();
    old.wait();
    fleet.assert_drained(&new, "alone");
    wait_for("the takeover", || new.log_contains("this process's now"));
    fleet.assert_drained(&new, "member");
    fleet.assert_in_use_once_undrained(&new, 3);
}

/// Guards against a kept version from before the drain that undoes the drain when a guest becomes a member: its file could
/// not be written meanwhile.
#[test]
fn an_older_kept_version_does_not_undo_a_drain_at_the_end_of_an_upgrade() {
    let folder = TempFolder::new("drain-kept");
    let fleet = Drained::new(&folder);
    let listen = free_address();
    let mut old = fleet.start_on(listen);
    fleet.used(&old, "before");
    let path = fleet.kept_rules();
    wait_for("the kept rules", || path.exists());
    let kept = std::fs::read(&path).expect("the kept rules");
    fleet.command_in_force(&["drain", "b"], 2);
    let new = fleet.start_on(listen);
    wait_for("the guest's lease", || new.log_contains("as a guest") && new.log_contains("in force"));
    wait_for("the newer rules", || std::fs::read(&path).is_ok_and(|now| now != kept));
    std::fs::write(&path, &kept).expect("a file");
    old.terminate();
    old.wait();
    wait_for("the takeover", || new.log_contains("this process's now"));
    assert!(!new.log_contains("was kept"), "an older version would be put in force");
    fleet.assert_drained(&new, "member");
}

/// Guards against a drain of a name that no list has yet: it holds once the name is listed, and staff are told.
#[test]
fn a_drain_of_a_backend_that_is_not_listed_yet_holds_once_it_is() {
    let folder = TempFolder::new("drain-unlisted");
    let fleet = Drained::new(&folder);
    fleet.discovery.publish(&list(2, true, &[host("b1", fleet.backends[1].address, "up", 0)]));
    let proxy = fleet.start();
    fleet.assert_drained(&proxy, "unlisted");
    let told = fleet.fleet.fleet_command(0, &["drain", "b"]);
    assert!(told.status.success() && output_text(&told).contains("from discovery"), "{told:?}");
    fleet.command(&["wait", "2"]);
    fleet.discovery.publish(&fleet.list(3, ["up", "up"]));
    wait_for("the list", || proxy.log_contains("version 3, the whole list"));
    fleet.assert_drained(&proxy, "listed");
    fleet.assert_in_use_once_undrained(&proxy, 3);
}

/// Guards against an `undrain` that opens what discovery drains.
#[test]
fn the_end_of_a_drain_opens_only_what_discovery_has_up() {
    let folder = TempFolder::new("drain-both");
    let fleet = Drained::new(&folder);
    let proxy = fleet.start();
    fleet.used(&proxy, "before");
    fleet.command_in_force(&["drain", "b"], 2);
    fleet.discovery.publish(&fleet.list(2, ["draining", "up"]));
    wait_for("the list", || proxy.log_contains("version 2, the whole list"));
    fleet.command_in_force(&["undrain", "b"], 3);
    fleet.assert_drained(&proxy, "by discovery");
    fleet.discovery.publish(&fleet.list(3, ["up", "up"]));
    wait_for("the list", || proxy.log_contains("version 3, the whole list"));
    fleet.command_in_force(&["drain", "b1"], 4);
    assert_eq!(fleet.used(&proxy, "after"), [REQUESTS, 0]);
}

/// What happens to a proxy beside a drain.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    Restart,
    Kill,
    Upgrade,
}

/// When staff drain the backend.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    BeforeStart,
    WhileStarting,
    WhileServing,
}

/// A course of events drawn from a seed.
#[derive(Debug)]
struct Course {
    list_delay_ms: usize,
    rules_delay: Duration,
    moment: Moment,
    trouble: Trouble,
}

impl Course {
    fn draw(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Course {
            list_delay_ms: [0, 400][rng.usize(..2)],
            rules_delay: Duration::from_millis([0, 5, 60][rng.usize(..3)]),
            moment: [Moment::BeforeStart, Moment::WhileStarting, Moment::WhileServing][rng.usize(..3)],
            trouble: [Trouble::None, Trouble::Restart, Trouble::Kill, Trouble::Upgrade][rng.usize(..4)],
        }
    }

    /// Starts a proxy, has staff drain `b` and plays the trouble; returns the proxy that is left.
    fn play(&self, fleet: &Drained, seed: u64) -> Proxy {
        fleet.discovery.delay_answers(self.list_delay_ms);
        let drain_at = |moment| {
            if moment == self.moment {
                fleet.command(&["drain", "b"]);
            }
        };
        drain_at(Moment::BeforeStart);
        let mut proxy = fleet.start_with_late_rules(self.rules_delay);
        drain_at(Moment::WhileStarting);
        if self.moment == Moment::WhileServing {
            fleet.used(&proxy, &format!("{seed}-before"));
        }
        drain_at(Moment::WhileServing);
        match self.trouble {
            Trouble::None => return proxy,
            Trouble::Restart => proxy.terminate(),
            Trouble::Kill => proxy.signal("-KILL"),
            Trouble::Upgrade => {
                let newer = fleet.start_on(proxy.address);
                wait_for("the newer process", || newer.log_contains("as a guest"));
                proxy.terminate();
                proxy.wait();
                return newer;
            }
        }
        proxy.wait();
        fleet.start_with_late_rules(self.rules_delay)
    }
}

/// Draws the order of first list, first rules, drain and trouble. Once `wait` is done, nothing goes to the drained backend,
/// and after `undrain` it is used again. `DRAIN_SEEDS=FIRST..LAST` plays other seeds.
#[test]
fn a_drain_holds_in_each_order_of_first_list_first_rules_and_trouble() {
    let folder = TempFolder::new("drain-orders");
    let fleet = Drained::new(&folder);
    let seeds = std::env::var("DRAIN_SEEDS").unwrap_or_else(|_| "8501..8513".to_owned());
    let (first, last) = seeds.split_once("..").expect("FIRST..LAST");
    let seeds: std::ops::Range<u64> = first.parse().expect("a seed")..last.parse().expect("a seed");
    let (mut lists_first, mut rules_first, mut version) = (0, 0, 1);
    for seed in seeds {
        let course = Course::draw(seed);
        println!("seed {seed}: {course:?}");
        let proxy = course.play(&fleet, seed);
        fleet.command(&["wait", &(version + 1).to_string()]);
        fleet.assert_drained(&proxy, &format!("{seed}-drained"));
        let log = proxy.log();
        let came_first = log.find("the whole list") < log.find("in force");
        *(if came_first { &mut lists_first } else { &mut rules_first }) += 1;
        fleet.command(&["undrain", "b"]);
        fleet.command_in_force(&["drain", "b1"], version + 3);
        assert_eq!(fleet.used(&proxy, &format!("{seed}-undrained")), [REQUESTS, 0], "seed {seed}");
        fleet.command_in_force(&["undrain", "b1"], version + 4);
        version += 4;
    }
    println!("the list came first {lists_first} times, the rules {rules_first} times");
    assert!(lists_first > 0 && rules_first > 0, "one order was not played");
}
